"""The time-out of the command that a client is sending, or of its silence before the first one.

Each command has its own time, from the read in which it began. The time ends with the command, also when the
read that completes it brings the beginning of the next one. The event loop calls timers before it reads
sockets, so after it was blocked, input that arrived in time is read before a command counts as timed out.
"""

from __future__ import annotations

from collections.abc import Callable

from ochrecourse.common.runtime import Clock, Timer, stop

SILENCE_TIMEOUT_SECONDS = 2.2  # from the connection's start to the first byte; the error is due within 3 s
COMMAND_TIMEOUT_SECONDS = 2.2  # from a command's first byte to its last; the error is due within 3 s
FIRST_COMMAND_SECONDS = 2.8  # from the connection's start to the last byte of the first command
PENDING_READS = 2  # event loop iterations in which the rest of the longest command is read


class CommandTimer:
    """The time-out of one connection; all times are s of the clock."""

    def __init__(self, clock: Clock, on_timeout: Callable[[], None]) -> None:
        """`on_timeout`: called when `overdue` is set."""
        self.clock = clock
        self.overdue = False  # the current command, or the first byte of one, did not arrive in its time
        self._on_timeout = on_timeout
        self._first_command_due = 0.0
        self._first_command_completed = False
        self._command_begun = False  # the timer is that of a partial command
        self._timer: Timer | None = None

    def connection_opened(self) -> None:
        """Starts the time of the silence before the first command."""
        self._first_command_due = self.clock.seconds() + FIRST_COMMAND_SECONDS
        self._start(SILENCE_TIMEOUT_SECONDS)

    def command_completed(self) -> None:
        """Ends the time of a command that is complete; what follows it has its own."""
        self._first_command_completed = True
        self.stop()

    def input_parsed(self, is_partial: bool) -> None:
        """Starts or stops the time of a command; `is_partial`: one has begun in what was received."""
        if not is_partial:
            if self._first_command_completed:
                self.stop()
        elif not self._command_begun:
            self.stop()
            self._command_begun = True
            self._start(self._command_timeout())

    def stop(self) -> None:
        """Stops the timer."""
        stop(self._timer)
        self._timer = None
        self.overdue = self._command_begun = False

    def connection_lost(self) -> None:
        """Stops the timer for good and releases the callback, so that no reference cycle remains."""
        self.stop()
        self._on_timeout = _ignore

    def _command_timeout(self) -> float:
        """Returns the time that a command has which begins now."""
        if self._first_command_completed:
            return COMMAND_TIMEOUT_SECONDS
        time_left = self._first_command_due - self.clock.seconds()
        return max(0.0, min(COMMAND_TIMEOUT_SECONDS, time_left))

    def _start(self, seconds: float) -> None:
        self._timer = self.clock.callLater(seconds, self._expired, PENDING_READS)

    def _expired(self, reads_left: int) -> None:
        self._timer = None
        if reads_left:
            self._timer = self.clock.callLater(0, self._expired, reads_left - 1)
            return
        self.overdue = True
        self._on_timeout()


def _ignore() -> None:
    """The callback of a connection that has ended."""
