"""Which jobs get a line in the log. Free of I/O and clocks.

Lines are written at a stated rate at most, from a store that holds a second's worth. Jobs that went as they
should may use only the upper half of the store, so that under load those that did not still find room; what
is left out is counted, and the next line says how many.
"""

from __future__ import annotations

from ochrecourse.common.time_units import SECOND


class LogSampler:
    """One log's store of lines. `rate`: lines a second."""

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.burst = max(1.0, rate)
        self.tokens = self.burst
        self.refilled_at = 0
        self.dropped = 0

    def should_log(self, well: bool, now: int) -> bool:
        """Whether this job gets a line; `well`: fulfilled by its first leg."""
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
        """Lines left out since this was last asked."""
        dropped, self.dropped = self.dropped, 0
        return dropped
