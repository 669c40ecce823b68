"""What the gateway's own books say of a recent while: shares of jobs by how they ended. Free of I/O and
clocks.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping

from ochrecourse.gateway.ledger import Closing

SPAN = 5_000_000_000  # ns that count as recent; some hundreds of jobs on a working gateway


class Watch:
    """Looks at counters that only grow, and keeps what they were a while ago."""

    def __init__(self) -> None:
        self.looks: deque[tuple[int, int, int]] = deque()  # when, answered, written off or too late

    def look(self, closings: Mapping[Closing, int], now: int) -> tuple[int, float]:
        """Jobs answered in the recent while, and the share of them that were written off or came too late."""
        bad = closings.get(Closing.WRITTEN_OFF, 0) + closings.get(Closing.TOO_LATE, 0)
        whole = bad + closings.get(Closing.FULFILLED, 0) + closings.get(Closing.DENIED, 0)
        self.looks.append((now, whole, bad))
        while self.looks[0][0] < now - SPAN:
            self.looks.popleft()
        _, before, bad_before = self.looks[0]
        jobs = whole - before
        return jobs, (bad - bad_before) / jobs if jobs else 0.0
