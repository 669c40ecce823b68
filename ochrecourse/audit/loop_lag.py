"""How late the event loop of the clients' process was, by its own records.

A message that a late loop reads arrived earlier, and one that it sends leaves later than recorded. Only
recorded stalls count, so a late gateway or a late network excuses nothing.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable

from ochrecourse.audit import records as r

CLIENTS = "clients"
NODES = "nodes"
SAMPLE_NS = 10_000_000  # between two samples that a process takes of its own event loop


class ClientLag:
    """The stalls of the clients' event loop. All times in ns."""

    def __init__(self, records: Iterable[r.Record]) -> None:
        late = [each for each in records if isinstance(each, r.EventLoopStalled) and each.process == CLIENTS]
        self._stalls = sorted((each.t, each.t - each.duration) for each in late)  # end and start
        self._ends = [end for end, _ in self._stalls]

    def earliest_arrival(self, read_at: int) -> int:
        """The earliest time at which a message read at `read_at` can have arrived.

        As a stall ends, and until its next sample, the loop reads messages that waited.
        """
        first = bisect_left(self._ends, read_at - SAMPLE_NS)
        starts = [start for _, start in self._stalls[first : first + 2]]
        return min([read_at, *starts])

    def latest_departure(self, sent_at: int) -> int:
        """The latest time at which a message sent at `sent_at` can have left the process."""
        first = bisect_left(self._ends, sent_at)
        if first < len(self._stalls) and self._stalls[first][1] <= sent_at:
            return self._ends[first]
        return sent_at
