"""Manages dials to nodes: concurrency, hedging of slow dials, and time-outs. Performs no I/O.

A dial that takes longer than usual is hedged: a second one is started, and waiting attempts take the
connection that opens first (pool.py). A dial is abandoned after its time-out, unless an attempt with its own
connection time-out may still use it.
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

MAX_DIAL_S = (
    60.0  # transport time-out of a dial that the dispatcher has not abandoned; no client waits longer
)
DIAL_TIME_SAMPLES = 15  # durations kept for the median, which stays typical with a third of the dials late
SLOW_DIAL_FACTOR = 2  # a dial is slow after this multiple of the median duration

AbandonDial = Callable[[], None]


@dataclass(frozen=True, slots=True)
class DialSettings:
    """Time limits of dials, in s.

    `timeout`: after which a dial is abandoned, unless an attempt with its own connection time-out waits for
    it; `min_slow`: lower bound of the duration after which a dial counts as slow.
    """

    timeout: float
    min_slow: float


class DialTimes:
    """Durations of recent successful dials, from which the threshold for slow dials is derived."""

    def __init__(self, settings: DialSettings) -> None:
        self.settings = settings
        self.samples: deque[int] = deque(maxlen=DIAL_TIME_SAMPLES)  # ns

    def record(self, duration: int) -> None:
        """Records the duration (ns) of a successful dial."""
        self.samples.append(duration)

    def slow_after(self) -> float:
        """Returns the duration (s) after which a dial counts as slow."""
        usual = sorted(self.samples)[len(self.samples) // 2] if self.samples else 0
        return min(self.settings.timeout, max(self.settings.min_slow, SLOW_DIAL_FACTOR * usual / SECOND))


class DialOwner(Protocol):
    """What a `DialManager` calls to start and end dials; implemented by the dispatcher."""

    counts: Counter[str]

    def start_dial(self, pooled: PooledConnection) -> AbandonDial | None:
        """Starts a dial; returns a function that abandons it, None if it failed or can't be abandoned."""
        ...

    def dial_overdue(self, pooled: PooledConnection) -> None:
        """Reports that the dial has reached its time-out; it may go on for attempts with their own one."""
        ...

    def dial_failed(self, pooled: PooledConnection, event: AttemptEvent) -> None:
        """Ends the dial and the attempts that wait for it with `event`."""
        ...


class DialManager:
    """The dials in progress of one gateway."""

    def __init__(self, owner: DialOwner, clock: Clock, pool: Pool, settings: DialSettings) -> None:
        self.owner = owner
        self.clock = clock
        self.pool = pool
        self.settings = settings
        self.times = DialTimes(settings)
        self.in_progress: dict[int, Timer] = {}  # the timer of each dial, by connection number
        self.abandon: dict[int, AbandonDial] = {}

    def is_dialling(self, pooled: PooledConnection) -> bool:
        """Whether the dial of this connection is in progress, that is neither finished nor abandoned."""
        return pooled.number in self.in_progress

    def start_dials(self) -> None:
        """Starts queued dials up to the limit on concurrent dials."""
        while (pooled := self.pool.next_dial()) is not None:
            pooled.dialled_at = now_ns(self.clock)
            slow_after = self.times.slow_after()
            self.in_progress[pooled.number] = self.clock.callLater(slow_after, self._dial_is_slow, pooled)
            self.owner.counts["dials"] += 1
            abandon = self.owner.start_dial(pooled)
            if abandon is not None:
                self.abandon[pooled.number] = abandon

    def dial_succeeded(self, pooled: PooledConnection, now: int) -> None:
        """Removes a dial whose connection is open and records its duration; `now` in ns."""
        stop(self.in_progress.pop(pooled.number))
        self.abandon.pop(pooled.number, None)
        self.times.record(now - pooled.dialled_at)

    def dial_failed(self, pooled: PooledConnection, event: AttemptEvent) -> bool:
        """Removes a dial that failed or timed out. Returns False if its end was reported before."""
        timer = self.in_progress.pop(pooled.number, None)
        if timer is None:
            return False
        stop(timer)
        self.owner.counts["dials failed"] += 1
        abandon = self.abandon.pop(pooled.number, None)
        if abandon is not None and event is AttemptEvent.DIAL_TIMEOUT:
            abandon()
        return True

    def cancel_timers(self) -> None:
        """Cancels the timers of all dials in progress and stops tracking them."""
        for timer in self.in_progress.values():
            stop(timer)
        self.in_progress.clear()

    def _dial_is_slow(self, pooled: PooledConnection) -> None:
        """Queues a second dial beside the slow one, since another connection may open sooner."""
        time_left = pooled.dialled_at / SECOND + self.settings.timeout - self.clock.seconds()
        timer = self.clock.callLater(max(0.0, time_left), self._dial_timed_out, pooled)
        self.in_progress[pooled.number] = timer
        if self.pool.hedge_dial(pooled):
            self.owner.counts["dials beside a slow one"] += 1
            self.start_dials()

    def _dial_timed_out(self, pooled: PooledConnection) -> None:
        """Fails the dial, unless it may still serve an attempt that has its own connection time-out."""
        self.owner.dial_overdue(pooled)
        if self.pool.dial_is_useful(pooled):
            timer = self.clock.callLater(self.settings.timeout, self._dial_timed_out, pooled)
            self.in_progress[pooled.number] = timer
        else:
            self.owner.dial_failed(pooled, AttemptEvent.DIAL_TIMEOUT)
