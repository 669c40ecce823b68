"""Records each time the event loop of a laboratory process ran late, so that its lateness is not taken for
the gateways'.
"""

from __future__ import annotations

from ochrecourse.audit import records as r
from ochrecourse.audit.loop_lag import SAMPLE_NS
from ochrecourse.common.event_loop_lag import EventLoopLag
from ochrecourse.common.runtime import Clock, now_ns
from ochrecourse.common.time_units import SECOND


class LoopWatch:
    """Looks at the loop of `clock` all the time. `process`: the name under which it records."""

    def __init__(self, clock: Clock, process: str, record: r.Recorder) -> None:
        self.clock = clock
        self.process = process
        self.record = record
        self.lag = EventLoopLag()
        self._stopped = False
        self._due = 0

    def start(self) -> None:
        """Looks at the loop from now on."""
        self._due = now_ns(self.clock) + SAMPLE_NS
        self.clock.callLater(SAMPLE_NS / SECOND, self._look)

    def stop(self) -> None:
        """Records nothing from now on."""
        self._stopped = True

    def _look(self) -> None:
        if self._stopped:
            return
        now = now_ns(self.clock)
        if self.lag.timer_fired(self._due, now):
            self.record(r.EventLoopStalled(t=now, process=self.process, duration=now - self._due))
        self.start()
