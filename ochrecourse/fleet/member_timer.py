"""The one timer of a fleet member: beats at a fixed interval, and pulls between them while work is left."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ochrecourse.common.runtime import Network, Timer, now_ns, stop
from ochrecourse.common.time_units import MS, SECOND

PULL_INTERVAL_S = 0.010  # a pull takes 2 ms or 3: the rest is for requests


@dataclass(frozen=True)
class TimerCallbacks:
    """Who is called: at a beat and at a pull with ns now; `has_work_left` tells whether a pull is needed."""

    on_beat: Callable[[int], None]
    on_pull: Callable[[int], None]
    has_work_left: Callable[[], bool]


class MemberTimer:
    """Times in ns on the network's clock.

    `overdue_at_s`: s of the clock from which on a beat is missing (stall_detector).
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
        """The first beat is now; later ones are counted from `first_beat_at`."""
        self._first_beat_at = first_beat_at
        self._fired()

    def stop(self) -> None:
        """No more beats."""
        self.stopped, self.overdue_at_s = True, float("inf")
        stop(self._timer)
        self._timer = None

    def postpone_overdue(self, now: int) -> None:
        """The next beat is not missing for another interval from now on."""
        self.overdue_at_s = (now + self.beat_interval) / SECOND

    def schedule_pull(self, now: int) -> None:
        """Schedules a pull before the next beat, if there is work left."""
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
        if beat_at <= now:  # this process was stalled: missed beats are not made up for
            self.beat_count = (now - self._first_beat_at) // self.beat_interval + 1
            beat_at = self._first_beat_at + self.beat_count * self.beat_interval
        return beat_at

    def _schedule(self, now: int, at: int) -> None:
        self._due_at = at
        self._timer = self.network.callLater(max(0, at - now) / SECOND, self._fired)
