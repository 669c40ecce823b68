"""Holds back the requests of a client whose input has not been read to its end. Performs no I/O.

A close may stand behind unread input, or may not even have been sent by the client's system, and no attempt
may begin for a client that has gone. So requests start when all that the client sent has been read.
"""

from __future__ import annotations

from ochrecourse.common.client_input import ClientInput
from ochrecourse.common.runtime import Clock

# For a client that sends without end; its requests are rejected then. Input of other clients takes far less.
MAX_INPUT_WAIT_SECONDS = 0.25


class InputGate:
    """The gate of one connection."""

    __slots__ = ("_clock", "_waits_since")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._waits_since: float | None = None  # s, since when requests have waited

    def is_open(self, client_input: ClientInput) -> bool:
        """Whether requests may start now; call it only while any are queued."""
        if client_input is ClientInput.READ:
            self._waits_since = None
            return True
        if self._waits_since is None:
            self._waits_since = self._clock.seconds()
        return False

    def waited_too_long(self) -> bool:
        """Whether the queued requests are to be rejected; a new wait begins then."""
        began = self._waits_since
        if began is None or self._clock.seconds() - began <= MAX_INPUT_WAIT_SECONDS:
            return False
        self._waits_since = None
        return True
