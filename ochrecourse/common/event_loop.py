"""Since when some input may not be read yet in an event loop that polls. Free of I/O and clocks."""

from __future__ import annotations

from collections import deque

from ochrecourse.common.time_units import MS

MIN_WAIT = 1 * MS  # a poll that took longer waited: it found nothing ready when it began
POLLS_UNTIL_READ = (
    3  # one reports bytes, the next the end of input behind them, read somewhere in its iteration
)


class PollHistory:
    """The last polls of one loop."""

    def __init__(self) -> None:
        never = [0] * POLLS_UNTIL_READ
        self._returned_at: deque[int] = deque(never, maxlen=POLLS_UNTIL_READ)  # ns

    def polled(self, began: int, returned: int, may_wait: bool) -> None:
        """A poll is over; times in ns. `may_wait`: it was not asked to return at once."""
        waited = may_wait and returned - began > MIN_WAIT
        self._returned_at.extend([returned] * (POLLS_UNTIL_READ if waited else 1))

    def unread_since(self) -> int:
        """All that arrived before this time (ns) has been read, with the end of input behind it."""
        return self._returned_at[0]
