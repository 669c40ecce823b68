"""How this side ends a client's connection without losing what the client has still to read.

A close over unread bytes resets a TCP connection, and the reset takes away answers that the client has not
read. So every close lingers: what is owed is written, the sending side is shut, and what still comes is read
and discarded until the client ends its side too, or the time for it is over. Nothing discarded is ever sent
on; a client whose request crossed the shutdown sees the end and sends it again elsewhere.
"""

from __future__ import annotations

from typing import Any

from ochrecourse.common.runtime import Clock, Timer, stop

LINGER = 1.0  # s for a client to read its last answers and to close; clients that are at work take far less
DRAIN = 2.0  # s for a slow reader to take what is still to be written, before the sending side is shut


class LingeringClose:
    """One connection's way from its shutdown to its end."""

    def __init__(self, transport: Any, clock: Clock, blocked: bool, hurry: float | None = None) -> None:
        """`blocked`: the transport holds back answers that the client does not take. `hurry`: s that all of
        this may take, where the process is about to end."""
        self.transport = transport
        self.clock = clock
        self.hurry = hurry
        self.shut = False
        self.over = False
        self.cutting = False
        self._timer: Timer | None = None
        if blocked:
            self._wait(DRAIN)
        else:
            self.drained()

    def drained(self) -> None:
        """The transport has room again: the sending side is shut behind what it still has to write."""
        if self.shut or self.over:
            return
        self.shut = True
        self.transport.unregisterProducer()
        self.transport.loseWriteConnection()
        self._wait(LINGER)

    def hasten(self, seconds: float) -> None:
        """The process is about to end: from now on there are so many seconds left."""
        if not self.over:
            self.hurry = seconds
            self._wait(seconds)

    def cut(self) -> None:
        """Room is needed: closes as soon as what is owed is written, and waits for the client no longer."""
        self.cutting = True
        if self.shut:
            self.transport.loseConnection()  # at once, where the client has been sent all
        else:
            self._end()

    def _end(self) -> None:
        """The time is over. A client that took everything sees an orderly end; one that did not, a reset."""
        self.transport.unregisterProducer()
        self.transport.loseConnection()
        self.transport.abortConnection()  # without effect where the former closed

    def lost(self) -> None:
        """The connection is gone."""
        self.over = True
        stop(self._timer)

    def _wait(self, seconds: float) -> None:
        stop(self._timer)
        patience = seconds if self.hurry is None else min(seconds, self.hurry)
        self._timer = self.clock.callLater(patience, self._end)
