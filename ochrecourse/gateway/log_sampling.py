"""Samples which requests get a log line. Performs no I/O, reads no clock.

Lines are limited to a configured rate by a token bucket that holds one second's worth. Requests served by
their first attempt may use only the upper half of the bucket, so that tokens are left for the others under
load. Dropped lines are counted, and the next line reports how many.
"""

from __future__ import annotations

from ochrecourse.common.time_units import SECOND


class LogSampler:
    """The token bucket of one log. `rate`: lines per second."""

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.burst = max(1.0, rate)
        self.tokens = self.burst
        self.refilled_at = 0
        self.dropped = 0

    def should_log(self, first_attempt_served: bool, now: int) -> bool:
        """Whether this request gets a line; `first_attempt_served`: by its first attempt; `now` in ns."""
        if self.refilled_at:
            self.tokens = min(self.burst, self.tokens + self.rate * (now - self.refilled_at) / SECOND)
        self.refilled_at = now
        reserved = self.burst / 2 if first_attempt_served else 0.0
        if self.tokens - 1 < reserved:
            self.dropped += 1
            return False
        self.tokens -= 1
        return True

    def take_dropped(self) -> int:
        """Returns the number of lines dropped since the last call."""
        dropped, self.dropped = self.dropped, 0
        return dropped
