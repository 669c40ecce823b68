"""Which requests get a line in the log. Free of I/O and clocks.

Lines are written at a stated rate at most, by a token bucket that holds one second's worth. Requests that
were served as they should may use only the upper half of the bucket, so that under load the others still
find tokens. Lines that are left out are counted, and the next line says how many.
"""

from __future__ import annotations

from ochrecourse.common.time_units import SECOND


class LogSampler:
    """The token bucket of one log. `rate`: lines a second."""

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.burst = max(1.0, rate)
        self.tokens = self.burst
        self.refilled_at = 0
        self.dropped = 0

    def should_log(self, well: bool, now: int) -> bool:
        """Whether this request gets a line; `well`: served by its first attempt; `now` in ns."""
        if self.refilled_at:
            self.tokens = min(self.burst, self.tokens + self.rate * (now - self.refilled_at) / SECOND)
        self.refilled_at = now
        floor = self.burst / 2 if well else 0.0
        if self.tokens - 1 < floor:
            self.dropped += 1
            return False
        self.tokens -= 1
        return True

    def take_dropped(self) -> int:
        """Lines left out since the last call."""
        dropped, self.dropped = self.dropped, 0
        return dropped
