"""Tracks up to which time all input of a polling event loop has been read. Free of I/O and clocks."""

from __future__ import annotations

from collections import deque

from ochrecourse.common.time_units import MS

MIN_WAIT = 1 * MS  # a poll that took longer waited, so nothing was ready when it started
# One poll reports bytes, the next the end of input after them, which is read within its iteration.
POLLS_UNTIL_READ = 3


class PollHistory:
    """The most recent polls of one event loop."""

    def __init__(self) -> None:
        never = [0] * POLLS_UNTIL_READ
        self._returned_at: deque[int] = deque(never, maxlen=POLLS_UNTIL_READ)  # ns

    def polled(self, began: int, returned: int, may_wait: bool) -> None:
        """Records a finished poll; times in ns. `may_wait`: its time-out was not zero."""
        waited = may_wait and returned - began > MIN_WAIT
        self._returned_at.extend([returned] * (POLLS_UNTIL_READ if waited else 1))

    def unread_since(self) -> int:
        """Returns the time (ns) before which all input, including any end of input after it, was read."""
        return self._returned_at[0]
