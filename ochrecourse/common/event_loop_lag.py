"""Event loop lag, and the arrival time of requests read after a stall. Free of I/O and clocks.

A client's time-out starts when the client sends its request. While the event loop is stalled, requests wait
unread, and those that are read first afterwards may have arrived at any time during the stall. A request that
is read in the iteration after a late timer is therefore assumed to have arrived as long ago as the timer was
late. This is the longest it can have waited, so no answer is sent after its deadline; a request may be given
up slightly early.
"""

from __future__ import annotations

from collections import deque

from ochrecourse.common.time_units import MS

NEGLIGIBLE_LAG = 5 * MS  # ns; every event loop lags this much now and then, which is ignored
RECENT_LAGS = 64  # number of late timers that are stored for display to operators


class EventLoopLag:
    """The lag of one event loop. All times are in ns."""

    def __init__(self) -> None:
        self.current_lag = 0  # of the current iteration
        self.recent: deque[tuple[int, int]] = deque(maxlen=RECENT_LAGS)  # time and lag of late timers
        self.worst = 0

    def timer_fired(self, due: int, now: int) -> bool:
        """Records a timer due at `due` that fired at `now`; returns whether the loop lagged.

        If so, requests read in this iteration may have waited.
        """
        late = now - due
        if late <= NEGLIGIBLE_LAG:
            return False
        self.current_lag = max(self.current_lag, late)
        self.recent.append((now, late))
        self.worst = max(self.worst, late)
        return True

    def iteration_finished(self) -> None:
        """Ends the current iteration: input that is read from now on has just arrived."""
        self.current_lag = 0

    def earliest_arrival(self, read_at: int) -> int:
        """Returns the earliest time at which a request read at `read_at` can have arrived."""
        return read_at - self.current_lag

    def worst_since(self, since: int) -> int:
        """Returns the worst stored lag since a time; 0 if there was none."""
        return max((late for when, late in self.recent if when >= since), default=0)
