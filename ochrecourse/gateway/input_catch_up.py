"""Delays decisions after a long iteration of the event loop until pending input is read.

The event loop calls timers before it reads sockets. After a long iteration a client's close or a node's
response may not be read yet, and a decision made then could be wrong: a request whose client has closed would
be forwarded. Performs no I/O; the clock is injected.
"""

from __future__ import annotations

from collections.abc import Callable

from ochrecourse.common.event_loop_lag import EventLoopLag
from ochrecourse.common.runtime import Clock, now_ns
from ochrecourse.common.time_units import MS

ITERATIONS_BEHIND = 2  # one reads a connection's bytes, the next the end of input after them
# Half of the 0.1 s within which a client's close must be acted on; the rest is for the network.
MAX_UNREAD = 50 * MS


class InputCatchUp:
    """Tracks how long one gateway waits for unread input."""

    def __init__(
        self,
        clock: Clock,
        lag: EventLoopLag,
        unread_since: Callable[[], int] | None,
        on_caught_up: Callable[[], None],
    ) -> None:
        """`unread_since`: returns the clock time, in ns, since when input may be unread, if the event loop
        knows it (common/event_loop.py); `on_caught_up` is called at the end of each wait.
        """
        self.clock = clock
        self.iterations_left = 0  # until all unread input is reported; 0: no wait
        self._lag = lag
        self._unread_since = unread_since
        self._on_caught_up = on_caught_up

    def input_is_unread(self) -> bool:
        """Whether long iterations may have left a client's close unread for more than `MAX_UNREAD`."""
        return self._unread_since is not None and now_ns(self.clock) - self._unread_since() > MAX_UNREAD

    def wait(self, iterations: int) -> None:
        """Waits for at least `iterations` iterations of the event loop."""
        if not self.iterations_left:
            self.clock.callLater(0, self._iteration_finished)
        self.iterations_left = max(iterations, self.iterations_left)

    def _iteration_finished(self) -> None:
        """Counts an iteration, in which the event loop has read once more."""
        self._lag.iteration_finished()
        self.iterations_left -= 1
        if self.iterations_left:
            self.clock.callLater(0, self._iteration_finished)
        else:
            self._on_caught_up()
