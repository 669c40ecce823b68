"""A time-out for input that takes effect only once the input that has arrived is read.

The event loop calls timers that are due before it reads sockets. After it was blocked, the rest of a message
may stand unread although it arrived in time, so a time-out that is due lets the event loop read first.
"""

from __future__ import annotations

from collections.abc import Callable

from ochrecourse.common.runtime import Clock, Timer, stop

READ_BYTES = 65_536  # that the event loop reads of a connection in one iteration


class InputTimer:
    """The time-out of a message, or of the silence before one; stopped when the message is complete."""

    def __init__(self, clock: Clock, max_message_bytes: int) -> None:
        """`max_message_bytes`: size of the longest message, which takes so many iterations to read."""
        self.clock = clock
        self._pending_reads = -(-max_message_bytes // READ_BYTES)
        self._timer: Timer | None = None

    def is_running(self) -> bool:
        """Whether the time-out was started and was neither stopped nor took effect."""
        return self._timer is not None

    def start(self, seconds: float, on_timeout: Callable[[], object]) -> None:
        """Starts the time-out, or starts it anew."""
        self.stop()
        self._timer = self.clock.callLater(seconds, self._due, on_timeout, self._pending_reads)

    def stop(self) -> None:
        """Stops the time-out."""
        stop(self._timer)
        self._timer = None

    def _due(self, on_timeout: Callable[[], object], reads_left: int) -> None:
        if reads_left:
            self._timer = self.clock.callLater(0, self._due, on_timeout, reads_left - 1)
            return
        self._timer = None
        on_timeout()
