"""The clock of a gateway of a fleet, which detects a stall of the process before any decision is made.

After a stall the event loop serves ready sockets before timers, so the first request may run before the
heartbeat timer, which renews rate limits. Reading this clock after the timer was due renews the limits first:
a quota that was lent to this gateway may have expired during the stall.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from ochrecourse.common.runtime import Clock


class BeatingProcess(Protocol):
    """A process with a periodic heartbeat timer."""

    @property
    def beat_overdue_at_s(self) -> float:
        """Time of the clock in s after which the heartbeat is overdue."""

    def stall_detected(self) -> None:
        """The clock was read after `beat_overdue_at_s`; must update that property before anything else."""


class StallDetector:
    """A clock that checks at each reading whether the heartbeat is overdue."""

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
