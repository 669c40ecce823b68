"""Lingering close: closes a client connection without losing replies that the client has not read yet.

Closing a TCP socket with unread input resets the connection, and the reset discards replies that the client
has not read. So every close lingers: pending replies are written, the sending side is closed (half-close),
and further input is read and discarded until the client closes its side too or a time-out ends the wait.
Discarded input is never forwarded; a client whose request crossed the half-close sees the end of the
connection and sends the request again elsewhere.
"""

from __future__ import annotations

from typing import Any

from ochrecourse.common.runtime import Clock, Timer, stop

LINGER_SECONDS = 1.0  # for a client to read its last replies and close; active clients take far less
DRAIN_SECONDS = 2.0  # for a slow client to read the pending replies, before the sending side is closed


class LingeringClose:
    """The lingering close of one connection."""

    def __init__(
        self, transport: Any, clock: Clock, write_blocked: bool, max_seconds: float | None = None
    ) -> None:
        """`write_blocked`: whether the transport buffers replies that the client has not read; `max_seconds`:
        limit of each wait while the process is shutting down, None for no further limit.
        """
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
        """Closes the sending side after what is still buffered, once the transport accepts writes again."""
        if self.half_closed or self.connection_ended:
            return
        self.half_closed = True
        self.transport.unregisterProducer()
        self.transport.loseWriteConnection()
        self._restart_timer(LINGER_SECONDS)

    def limit_time(self, max_seconds: float) -> None:
        """Limits the rest of the close to `max_seconds`, when the process is shutting down."""
        if not self.connection_ended:
            self.max_seconds = max_seconds
            self._restart_timer(max_seconds)

    def close_now(self) -> None:
        """Stops lingering to free the descriptor: closes as soon as pending replies are written."""
        self.closing_now = True
        if self.half_closed:
            self.transport.loseConnection()  # closes at once if all replies are sent
        else:
            self._close_transport()

    def connection_lost(self) -> None:
        """Stops the timer when the connection has ended."""
        self.connection_ended = True
        stop(self._timer)

    def _close_transport(self) -> None:
        """Closes the connection in order if all replies are sent, and resets it otherwise."""
        self.transport.unregisterProducer()
        self.transport.loseConnection()
        self.transport.abortConnection()  # no effect if loseConnection has closed it

    def _restart_timer(self, seconds: float) -> None:
        stop(self._timer)
        timeout = seconds if self.max_seconds is None else min(seconds, self.max_seconds)
        self._timer = self.clock.callLater(timeout, self._close_transport)
