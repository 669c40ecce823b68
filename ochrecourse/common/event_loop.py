"""Since when something may stand unread in a loop that polls. Free of I/O and clocks."""

from __future__ import annotations

from collections import deque

from ochrecourse.common.time_units import MS

WAITED = 1 * MS  # a poll that took longer waited: it found nothing ready when it began
POLLS = 3  # one tells of bytes, the next of the end behind them, which is read somewhere in its turn


class PollHistory:
    """The last polls of one loop."""

    def __init__(self) -> None:
        self._returned: deque[int] = deque([0] * POLLS, maxlen=POLLS)  # ns

    def polled(self, began: int, returned: int, may_wait: bool) -> None:
        """A poll is over. `may_wait`: it was not asked to return at once."""
        waited = may_wait and returned - began > WAITED
        self._returned.extend([returned] * (POLLS if waited else 1))

    def unread_since(self) -> int:
        """All that arrived before this time (ns) has been read, with the end that stood behind it."""
        return self._returned[0]
