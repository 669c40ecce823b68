"""The clock that a gateway of a fleet reads: a process that stood still is seen before anything is decided.

After a stop the loop serves what is ready on its sockets first and its timers then, so the beat, at which
bounds are told anew, may come after the first job. Who reads this clock past the time at which the beat
should long have come has the bounds made good first: what was lent to this gateway may be over.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from ochrecourse.common.runtime import Clock


class Woken(Protocol):
    """What is beaten by a timer. `overdue`: s of the clock from which on its beat is missing."""

    overdue: float

    def woke(self) -> None:
        """The clock was read past `overdue`, which is set anew before anything else is done."""


class Awake:
    """`clock`, with a look at whether the beat is missing at each reading."""

    def __init__(self, clock: Clock, beaten: Woken) -> None:
        self.clock = clock
        self.beaten = beaten

    def seconds(self) -> float:
        now = self.clock.seconds()
        if now > self.beaten.overdue:
            self.beaten.woke()
        return now

    def callLater(self, delay: float, callable: Callable[..., object], *args: Any) -> Any:
        return self.clock.callLater(delay, callable, *args)
