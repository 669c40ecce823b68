"""The clock that a gateway of a fleet reads: a process that was stalled notices before it decides anything.

After a stall the event loop serves the sockets that are ready first and its timers then, so the beat, at
which rate limits are renewed, may run after the first request. Whoever reads this clock past the time at
which the beat was due has the limits renewed first: a quota that was lent to this gateway may have expired.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from ochrecourse.common.runtime import Clock


class BeatingProcess(Protocol):
    """What beats by a timer."""

    @property
    def beat_overdue_at_s(self) -> float:
        """s of the clock from which on its beat is missing."""

    def stall_detected(self) -> None:
        """The clock was read past `beat_overdue_at_s`, which is to be set anew before anything else."""


class StallDetector:
    """A clock that checks at each reading whether the beat is missing."""

    def __init__(self, clock: Clock, process: BeatingProcess) -> None:
        self.clock = clock
        self.process = process

    def seconds(self) -> float:
        """The clock's time in s."""
        now_s = self.clock.seconds()
        if now_s > self.process.beat_overdue_at_s:
            self.process.stall_detected()
        return now_s

    def callLater(self, delay: float, callable: Callable[..., object], *args: Any) -> Any:
        """Twisted: calls `callable` after `delay` s."""
        return self.clock.callLater(delay, callable, *args)
