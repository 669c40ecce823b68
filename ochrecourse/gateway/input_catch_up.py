"""Holds decisions back after a long iteration of the event loop, until the input that waited is read.

A loop calls its timers before it reads sockets. After a long iteration a client's close or a node's answer
may not be read yet, and a decision made then would be wrong: a request whose client has closed would be
forwarded.
Free of I/O; the clock is handed in.
"""

from __future__ import annotations

from collections.abc import Callable

from ochrecourse.common.event_loop_lag import EventLoopLag
from ochrecourse.common.runtime import Clock, now_ns
from ochrecourse.common.time_units import MS

ITERATIONS_BEHIND = 2  # one reads a connection's bytes, the next the end of input that stands behind them
MAX_UNREAD = (
    50 * MS
)  # half of the 0.1 s in which a client's close must be acted on; the rest is for the network


class InputCatchUp:
    """The wait for unread input of one gateway."""

    def __init__(
        self,
        clock: Clock,
        lag: EventLoopLag,
        unread_since: Callable[[], int] | None,
        on_caught_up: Callable[[], None],
    ) -> None:
        """`unread_since`: the clock's time, in ns, since when some input may not be read yet, where the loop
        knows (common/event_loop.py); `on_caught_up` is called at the end of each wait."""
        self.clock = clock
        self.iterations_left = 0  # of the loop, until all that stood unread is reported; 0: no wait
        self._lag = lag
        self._unread_since = unread_since
        self._on_caught_up = on_caught_up

    def input_is_unread(self) -> bool:
        """Whether a client may have closed some time ago, unseen, because iterations take long."""
        return self._unread_since is not None and now_ns(self.clock) - self._unread_since() > MAX_UNREAD

    def wait(self, iterations: int) -> None:
        """Waits for at least so many iterations of the loop."""
        if not self.iterations_left:
            self.clock.callLater(0, self._iteration_finished)
        self.iterations_left = max(iterations, self.iterations_left)

    def _iteration_finished(self) -> None:
        """The loop has read once more since the long iteration."""
        self._lag.iteration_finished()
        self.iterations_left -= 1
        if self.iterations_left:
            self.clock.callLater(0, self._iteration_finished)
        else:
            self._on_caught_up()
