"""How late the event loop runs, and what that means for requests read just after it stood still. Free of I/O
and clocks.

A request's client timeout runs from when its client sent it. While the loop stands still, requests wait
unread, and what is read first afterwards may have arrived at any time of the stall. So a request read in the
iteration after a late timer is taken to have arrived as long ago as the timer was late. That is the most it
can have waited, so the answer is never after its deadline; it may be given up a little early.
"""

from __future__ import annotations

from collections import deque

from ochrecourse.common.time_units import MS

NEGLIGIBLE_LAG = 5 * MS  # ns that every loop shows now and then; less is taken as none
RECENT_LAGS = 64  # late timers that are remembered, for what is shown to operators


class EventLoopLag:
    """The lag of one loop. All times are in ns."""

    def __init__(self) -> None:
        self.current_lag = 0  # of the iteration that the loop is in
        self.recent: deque[tuple[int, int]] = deque(maxlen=RECENT_LAGS)  # when, how late
        self.worst = 0

    def timer_fired(self, due: int, now: int) -> bool:
        """A timer due at `due` fired at `now`. True if requests read in this iteration may have waited."""
        late = now - due
        if late <= NEGLIGIBLE_LAG:
            return False
        self.current_lag = max(self.current_lag, late)
        self.recent.append((now, late))
        self.worst = max(self.worst, late)
        return True

    def iteration_finished(self) -> None:
        """The loop has finished one more iteration: what is read from now on has just arrived."""
        self.current_lag = 0

    def earliest_arrival(self, read_at: int) -> int:
        """The earliest time at which a request read at `read_at` can have arrived."""
        return read_at - self.current_lag

    def worst_since(self, since: int) -> int:
        """The worst lag since a time, of those remembered; 0 if there was none."""
        return max((late for when, late in self.recent if when >= since), default=0)
