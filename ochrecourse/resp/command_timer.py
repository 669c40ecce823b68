"""The time-out of the command that a client is sending, or of its silence before the first one.

Each command has its own time, from the read in which it began. The time ends with the command, also when the
read that completes it brings the beginning of the next one.
"""

from __future__ import annotations

from collections.abc import Callable

from ochrecourse.common.input_timer import InputTimer
from ochrecourse.common.runtime import Clock
from ochrecourse.resp.codec import MAX_COMMAND_BYTES

SILENCE_TIMEOUT_SECONDS = 2.2  # from the connection's start to the first byte; the error is due within 3 s
COMMAND_TIMEOUT_SECONDS = 2.2  # from a command's first byte to its last; the error is due within 3 s
FIRST_COMMAND_SECONDS = 2.8  # from the connection's start to the last byte of the first command


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
        self._timer = InputTimer(clock, MAX_COMMAND_BYTES)

    def connection_opened(self) -> None:
        """Starts the time of the silence before the first command."""
        self._first_command_due = self.clock.seconds() + FIRST_COMMAND_SECONDS
        self._timer.start(SILENCE_TIMEOUT_SECONDS, self._timed_out)

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
            self._timer.start(self._command_timeout(), self._timed_out)

    def stop(self) -> None:
        """Stops the timer."""
        self._timer.stop()
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

    def _timed_out(self) -> None:
        self.overdue = True
        self._on_timeout()


def _ignore() -> None:
    """The callback of a connection that has ended."""
