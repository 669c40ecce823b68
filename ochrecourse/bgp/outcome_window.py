"""Outcomes of the gateway's requests over recent windows of time. Free of I/O and clocks."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from typing import NamedTuple

from ochrecourse.common.request_records import RequestOutcome

WINDOW = 5_000_000_000  # ns; some hundreds of requests on a gateway under load
SHORT_WINDOW = 1_000_000_000  # ns in which a gateway that works serves at least one of many requests


class RecentOutcomes(NamedTuple):
    """Requests answered within the last WINDOW and SHORT_WINDOW.

    `failed_share` is the share of `requests` that failed or were answered too late.
    """

    requests: int
    failed_share: float
    requests_last_second: int  # requests answered within SHORT_WINDOW
    served_last_second: int  # those of them that were served


class OutcomeWindow:
    """Derives recent outcomes from counters that only grow, by keeping samples of their values."""

    def __init__(self) -> None:
        self.samples: deque[tuple[int, int, int, int]] = deque()  # time in ns, answered, failed, served

    def update(self, outcomes: Mapping[RequestOutcome, int], now: int) -> RecentOutcomes:
        """Adds a sample of the counters and returns the recent outcomes. `now` in ns."""
        failed = outcomes.get(RequestOutcome.FAILED, 0) + outcomes.get(RequestOutcome.TOO_LATE, 0)
        served = outcomes.get(RequestOutcome.SERVED, 0)
        answered = failed + served + outcomes.get(RequestOutcome.REJECTED, 0)
        self.samples.append((now, answered, failed, served))
        while self.samples[0][0] < now - WINDOW:
            self.samples.popleft()
        _, answered_before, failed_before, _ = self.samples[0]
        requests = answered - answered_before
        oldest = next(each for each in self.samples if each[0] >= now - SHORT_WINDOW)
        return RecentOutcomes(
            requests,
            (failed - failed_before) / requests if requests else 0.0,
            answered - oldest[1],
            served - oldest[3],
        )
