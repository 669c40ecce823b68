"""How late the event loop runs, and what that means for jobs read just after it stood still. Free of I/O and
clocks.

A job's client timeout runs from when its client sent it. While the loop stands still, jobs wait unread, and
what is read first afterwards may have come at any time of the stall. So a job read in the loop's turn after a
timer came late is taken to have come as long ago as the timer was late. That is the most it can have waited,
so the answer is never later than promised; it may be given up a little early.
"""

from __future__ import annotations

from collections import deque

NEGLIGIBLE_LAG = 5_000_000  # ns of lateness that every loop shows now and then; less is taken as none
KEPT = 64  # the last so many late timers are remembered, for what is shown to operators


class EventLoopLag:
    """The lateness of one loop."""

    def __init__(self) -> None:
        self.current_lag = 0  # ns, of the turn that the loop is in
        self.recent: deque[tuple[int, int]] = deque(maxlen=KEPT)  # when, how late
        self.worst = 0

    def timer_fired(self, due: int, now: int) -> bool:
        """A timer due at `due` was called at `now`. True if jobs read in this turn may have waited unread."""
        late = now - due
        if late <= NEGLIGIBLE_LAG:
            return False
        self.current_lag = max(self.current_lag, late)
        self.recent.append((now, late))
        self.worst = max(self.worst, late)
        return True

    def iteration_finished(self) -> None:
        """The loop has turned once more: what is read from now on has just come."""
        self.current_lag = 0

    def earliest_arrival(self, read_at: int) -> int:
        """The earliest time at which a job read at `read_at` can have come in."""
        return read_at - self.current_lag

    def worst_since(self, since: int) -> int:
        """The worst lateness since a time, of what is remembered; 0 if there was none."""
        return max((late for when, late in self.recent if when >= since), default=0)
