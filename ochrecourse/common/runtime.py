"""What the library asks of the world: time, connections and listening ports, all handed in.

The shapes follow Twisted's IReactorTime and IReactorTCP, so the real reactor fits as it is and a virtual one
too.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from ochrecourse.common.time_units import SECOND


class Timer(Protocol):
    """A call to come, as `callLater` returns it."""

    def cancel(self) -> None: ...

    def active(self) -> int | bool: ...


class Clock(Protocol):
    """Monotonic time in seconds, and calls to come (Twisted's IReactorTime)."""

    def seconds(self) -> float: ...

    def callLater(self, delay: float, callable: Callable[..., object], *args: Any) -> Any: ...


class Network(Clock, Protocol):
    """A clock that also opens and accepts connections (Twisted's IReactorTCP)."""

    def connectTCP(
        self, host: str, port: int, factory: Any, timeout: float = 30, bindAddress: Any = None
    ) -> Any: ...

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> Any: ...


def stop(timer: Timer | None) -> None:
    """Cancels a call to come; one that was made already, or none, is left alone."""
    if timer is not None and timer.active():
        timer.cancel()


def now_ns(clock: Clock) -> int:
    """The clock's time in whole nanoseconds."""
    return round(clock.seconds() * SECOND)
