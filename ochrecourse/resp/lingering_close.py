"""Lingering close: ends a client's connection from this side without losing replies that are still unread.

A close over unread bytes resets a TCP connection, and the reset discards replies that the client has not
read. So every close lingers: pending replies are written, the sending side is closed (half-close), and what
still arrives is read and discarded until the client closes its side too or the time for it is over. Nothing
discarded is ever forwarded; a client whose request crossed the half-close sees the end of the connection and
sends the request again elsewhere.
"""

from __future__ import annotations

from typing import Any

from ochrecourse.common.runtime import Clock, Timer, stop

LINGER_SECONDS = 1.0  # for a client to read its last replies and to close; active clients take far less
DRAIN_SECONDS = 2.0  # for a slow reader to take the pending replies, before the sending side is closed


class LingeringClose:
    """One connection from its half-close to its end."""

    def __init__(
        self, transport: Any, clock: Clock, write_blocked: bool, max_seconds: float | None = None
    ) -> None:
        """`write_blocked`: the transport buffers replies that the client does not read. `max_seconds`: limit
        of each wait, where the process is shutting down; None: no further limit."""
        self.transport = transport
        self.clock = clock
        self.max_seconds = max_seconds
        self.half_closed = False
        self.connection_ended = False
        self.closing_now = False
        self._timer: Timer | None = None
        if write_blocked:
            self._restart_timer(DRAIN_SECONDS)
        else:
            self.write_buffer_drained()

    def write_buffer_drained(self) -> None:
        """The transport accepts writes again: the sending side is closed behind what is still buffered."""
        if self.half_closed or self.connection_ended:
            return
        self.half_closed = True
        self.transport.unregisterProducer()
        self.transport.loseWriteConnection()
        self._restart_timer(LINGER_SECONDS)

    def limit_time(self, max_seconds: float) -> None:
        """The process is shutting down: the connection ends within `max_seconds` from now."""
        if not self.connection_ended:
            self.max_seconds = max_seconds
            self._restart_timer(max_seconds)

    def close_now(self) -> None:
        """Its descriptor is needed: closes once pending replies are written, whatever the client does."""
        self.closing_now = True
        if self.half_closed:
            self.transport.loseConnection()  # at once, where all replies are sent
        else:
            self._close_transport()

    def connection_lost(self) -> None:
        """The connection has ended."""
        self.connection_ended = True
        stop(self._timer)

    def _close_transport(self) -> None:
        """A client that has read everything sees an orderly end; one that has not, a reset."""
        self.transport.unregisterProducer()
        self.transport.loseConnection()
        self.transport.abortConnection()  # no effect where loseConnection has closed it

    def _restart_timer(self, seconds: float) -> None:
        stop(self._timer)
        timeout = seconds if self.max_seconds is None else min(seconds, self.max_seconds)
        self._timer = self.clock.callLater(timeout, self._close_transport)
