"""Dials to nodes: how many at once, which are slow, and when one is given up. Free of I/O.

A dial that takes longer than usual is hedged: one more is begun beside it, and an attempt takes the
connection that opens first (pool.py). A dial is given up after its time-out, unless an attempt that bounds
its own wait may still use it.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ochrecourse.common.runtime import Clock, Timer, now_ns, stop
from ochrecourse.common.time_units import SECOND
from ochrecourse.nodes.outcome import AttemptEvent
from ochrecourse.nodes.pool import Pool, PooledConnection

MAX_DIAL_S = 60.0  # for a dial that the dispatcher has not given up before; no client waits longer
DIAL_TIME_SAMPLES = 15  # of which the median is the usual time: a third of the dials may be late
SLOW_DIAL_FACTOR = 2  # times the usual time, after which a dial is slow

AbandonDial = Callable[[], None]


@dataclass(frozen=True, slots=True)
class DialSettings:
    """How long dials may take, in s.

    `timeout`: a dial for which no attempt with a wait of its own is waiting; `min_slow`: no dial is slow
    before that.
    """

    timeout: float
    min_slow: float


class DialTimes:
    """How long the last successful dials took, and after how long one is slow."""

    def __init__(self, settings: DialSettings) -> None:
        self.settings = settings
        self.samples: deque[int] = deque(maxlen=DIAL_TIME_SAMPLES)  # ns

    def record(self, duration: int) -> None:
        """A dial succeeded after so many ns."""
        self.samples.append(duration)

    def slow_after(self) -> float:
        """After how many s a dial is slow."""
        usual = sorted(self.samples)[len(self.samples) // 2] if self.samples else 0
        return min(self.settings.timeout, max(self.settings.min_slow, SLOW_DIAL_FACTOR * usual / SECOND))


class DialOwner(Protocol):
    """Whose dials these are: the dispatcher."""

    counts: Counter[str]

    def start_dial(self, pooled: PooledConnection) -> AbandonDial | None:
        """Starts a dial; returns what gives it up, None if it failed or can't be given up."""
        ...

    def dial_overdue(self, pooled: PooledConnection) -> None:
        """The dial has reached its time-out, and may go on for attempts that bound their own wait."""
        ...

    def dial_failed(self, pooled: PooledConnection, event: AttemptEvent) -> None:
        """The dial is given up."""
        ...


class DialManager:
    """The dials of one gateway that are in progress."""

    def __init__(self, owner: DialOwner, clock: Clock, pool: Pool, settings: DialSettings) -> None:
        self.owner = owner
        self.clock = clock
        self.pool = pool
        self.settings = settings
        self.times = DialTimes(settings)
        self.in_progress: dict[int, Timer] = {}  # the timer of each dial, by the connection's number
        self.abandon: dict[int, AbandonDial] = {}

    def is_dialling(self, pooled: PooledConnection) -> bool:
        """Whether the dial of this connection is in progress: neither over nor given up."""
        return pooled.number in self.in_progress

    def start_dials(self) -> None:
        """Starts as many queued dials as may be in progress at once."""
        while (pooled := self.pool.next_dial()) is not None:
            pooled.dialled_at = now_ns(self.clock)
            slow_after = self.times.slow_after()
            self.in_progress[pooled.number] = self.clock.callLater(slow_after, self._dial_is_slow, pooled)
            self.owner.counts["dials"] += 1
            abandon = self.owner.start_dial(pooled)
            if abandon is not None:
                self.abandon[pooled.number] = abandon

    def dial_succeeded(self, pooled: PooledConnection, now: int) -> None:
        """The connection is open; `now` in ns."""
        stop(self.in_progress.pop(pooled.number))
        self.abandon.pop(pooled.number, None)
        self.times.record(now - pooled.dialled_at)

    def dial_failed(self, pooled: PooledConnection, event: AttemptEvent) -> bool:
        """A dial failed or is given up. False if that was reported already."""
        timer = self.in_progress.pop(pooled.number, None)
        if timer is None:
            return False
        stop(timer)
        self.owner.counts["dials failed"] += 1
        abandon = self.abandon.pop(pooled.number, None)
        if abandon is not None and event is AttemptEvent.DIAL_TIMEOUT:
            abandon()
        return True

    def forget_all(self) -> None:
        """No dial is waited for any more."""
        for timer in self.in_progress.values():
            stop(timer)
        self.in_progress.clear()

    def _dial_is_slow(self, pooled: PooledConnection) -> None:
        """Guards against connections that open late: another may be quicker."""
        time_left = pooled.dialled_at / SECOND + self.settings.timeout - self.clock.seconds()
        timer = self.clock.callLater(max(0.0, time_left), self._dial_timed_out, pooled)
        self.in_progress[pooled.number] = timer
        if self.pool.hedge_dial(pooled):
            self.owner.counts["dials beside a slow one"] += 1
            self.start_dials()

    def _dial_timed_out(self, pooled: PooledConnection) -> None:
        """A dial goes on as long as an attempt waits that ends its wait itself."""
        self.owner.dial_overdue(pooled)
        if self.pool.dial_is_useful(pooled):
            timer = self.clock.callLater(self.settings.timeout, self._dial_timed_out, pooled)
            self.in_progress[pooled.number] = timer
        else:
            self.owner.dial_failed(pooled, AttemptEvent.DIAL_TIMEOUT)
