"""The timer of a fleet member: beats at a fixed interval, and pulls between them while work is pending."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ochrecourse.common.runtime import Network, Timer, now_ns, stop
from ochrecourse.common.time_units import MS, SECOND

PULL_INTERVAL_S = 0.010  # a pull takes 2 to 3 ms; the remaining time is left to requests


@dataclass(frozen=True)
class TimerCallbacks:
    """`on_beat` and `on_pull` receive the time in ns; `has_work_left` returns whether a pull is needed."""

    on_beat: Callable[[int], None]
    on_pull: Callable[[int], None]
    has_work_left: Callable[[], bool]


class MemberTimer:
    """Schedules beats and pulls. Times in ns on the network's clock.

    `overdue_at_s`: time in seconds after which a beat is overdue (stall_detector).
    """

    def __init__(self, network: Network, beat_interval: int, callbacks: TimerCallbacks) -> None:
        self.network = network
        self.beat_interval = beat_interval
        self.callbacks = callbacks
        self.beat_count = 0
        self.overdue_at_s = float("inf")
        self.stopped = False
        self._first_beat_at = self._next_beat_at = now_ns(network)
        self._timer: Timer | None = None
        self._due_at = 0

    def start(self, first_beat_at: int) -> None:
        """Beats at once; later beats are due at multiples of the interval after `first_beat_at`."""
        self._first_beat_at = first_beat_at
        self._fired()

    def stop(self) -> None:
        """Cancels all further beats and pulls."""
        self.stopped, self.overdue_at_s = True, float("inf")
        stop(self._timer)
        self._timer = None

    def postpone_overdue(self, now: int) -> None:
        """Sets the time at which a beat counts as overdue to one interval from `now`."""
        self.overdue_at_s = (now + self.beat_interval) / SECOND

    def schedule_pull(self, now: int) -> None:
        """Schedules a pull if work is pending and the pull is due before the next beat."""
        pull_at = now + round(PULL_INTERVAL_S * SECOND)
        if self.callbacks.has_work_left() and pull_at < self._due_at and not self.stopped:
            stop(self._timer)
            self._schedule(now, pull_at)

    def _fired(self) -> None:
        now = now_ns(self.network)
        if self.stopped:
            return
        if now + MS < self._next_beat_at:
            self._schedule(now, self._next_beat_at)
            self.callbacks.on_pull(now)
            return
        self._next_beat_at = self._following_beat(now)
        self._schedule(now, self._next_beat_at)
        self.overdue_at_s = (self._next_beat_at + self.beat_interval) / SECOND
        self.callbacks.on_beat(now)
        self.schedule_pull(now)

    def _following_beat(self, now: int) -> int:
        self.beat_count += 1
        beat_at = self._first_beat_at + self.beat_count * self.beat_interval
        if beat_at <= now:  # this process was stalled: missed beats are skipped
            self.beat_count = (now - self._first_beat_at) // self.beat_interval + 1
            beat_at = self._first_beat_at + self.beat_count * self.beat_interval
        return beat_at

    def _schedule(self, now: int, at: int) -> None:
        self._due_at = at
        self._timer = self.network.callLater(max(0, at - now) / SECOND, self._fired)
