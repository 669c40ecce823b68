"""What the library asks of its host program: time, connections and listening ports, all handed in.

The protocols follow Twisted's IReactorTime and IReactorTCP, so the real reactor fits as it is and a virtual
one too.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from ochrecourse.common.time_units import SECOND


class Timer(Protocol):
    """A scheduled call, as `callLater` returns it."""

    def cancel(self) -> None:
        """Cancels the call. Raises if it was made or cancelled before."""

    def active(self) -> int | bool:
        """Whether the call is still to be made."""


class Clock(Protocol):
    """Monotonic time, and scheduled calls (Twisted's IReactorTime)."""

    def seconds(self) -> float:
        """The time in seconds, from any zero."""

    def callLater(self, delay: float, callable: Callable[..., object], *args: Any) -> Any:
        """Schedules a call after `delay` seconds; returns its `Timer`."""


class Network(Clock, Protocol):
    """A clock that also opens and accepts connections (Twisted's IReactorTCP)."""

    def connectTCP(
        self, host: str, port: int, factory: Any, timeout: float = 30, bindAddress: Any = None
    ) -> Any:
        """Opens a connection; `timeout` in seconds."""

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> Any:
        """Accepts connections; returns the listening port. Raises CannotListenError."""


def stop(timer: Timer | None) -> None:
    """Cancels a scheduled call; one that was made already, or none, is left alone."""
    if timer is not None and timer.active():
        timer.cancel()


def now_ns(clock: Clock) -> int:
    """The clock's time in whole nanoseconds."""
    return round(clock.seconds() * SECOND)
