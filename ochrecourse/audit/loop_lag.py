"""How late the clients' own event loop was, as its process recorded it.

What a late loop reads had arrived earlier, and what it sends leaves later than it wrote down. Only what is
recorded is taken into account, so a late gateway or a late network excuses nothing.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable

from ochrecourse.audit import records as r

CLIENTS = "clients"
NODES = "nodes"
SAMPLE_NS = 10_000_000  # between two looks of a process at its own loop


class ClientLag:
    """The stalls of the clients' process. All times are in ns."""

    def __init__(self, records: Iterable[r.Record]) -> None:
        late = [each for each in records if isinstance(each, r.EventLoopStalled) and each.process == CLIENTS]
        self._stalls = sorted((each.t, each.t - each.duration) for each in late)  # end and start
        self._ends = [end for end, _ in self._stalls]

    def earliest_arrival(self, read_at: int) -> int:
        """The earliest time at which what was read at `read_at` can have arrived: a loop reads what waited
        as a stall ends, until its next look at itself.
        """
        first = bisect_left(self._ends, read_at - SAMPLE_NS)
        starts = [start for _, start in self._stalls[first : first + 2]]
        return min([read_at, *starts])

    def latest_departure(self, sent_at: int) -> int:
        """The latest time at which what was sent at `sent_at` can have left the process."""
        first = bisect_left(self._ends, sent_at)
        if first < len(self._stalls) and self._stalls[first][1] <= sent_at:
            return self._ends[first]
        return sent_at
