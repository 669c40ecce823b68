"""What the gateway's own books say of a recent while: shares of jobs by how they ended. Free of I/O and
clocks.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from typing import NamedTuple

from ochrecourse.common.request_records import RequestOutcome

SPAN = 5_000_000_000  # ns that count as recent; some hundreds of jobs on a working gateway
SHORT = 1_000_000_000  # ns in which a gateway that serves fulfils at least one of many jobs


class Recent(NamedTuple):
    """Jobs answered in the recent while and the share of them written off or too late; then the last second.

    `lately`: how many jobs the last second answered; `fulfilled`: how many of these it fulfilled.
    """

    jobs: int
    written_off: float
    lately: int
    fulfilled: int


class Watch:
    """Looks at counters that only grow, and keeps what they were a while ago."""

    def __init__(self) -> None:
        self.looks: deque[tuple[int, int, int, int]] = deque()  # when, answered, bad, fulfilled

    def look(self, closings: Mapping[RequestOutcome, int], now: int) -> Recent:
        """Takes the counters as they are now."""
        bad = closings.get(RequestOutcome.FAILED, 0) + closings.get(RequestOutcome.TOO_LATE, 0)
        good = closings.get(RequestOutcome.SERVED, 0)
        whole = bad + good + closings.get(RequestOutcome.REJECTED, 0)
        self.looks.append((now, whole, bad, good))
        while self.looks[0][0] < now - SPAN:
            self.looks.popleft()
        _, before, bad_before, _ = self.looks[0]
        jobs = whole - before
        since = next(each for each in self.looks if each[0] >= now - SHORT)
        return Recent(jobs, (bad - bad_before) / jobs if jobs else 0.0, whole - since[1], good - since[3])
