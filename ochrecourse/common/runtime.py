"""Interfaces that the host program provides to the library: time, connections and listening ports.

The protocols match Twisted's IReactorTime and IReactorTCP, so the real reactor and a virtual one both
implement them.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from ochrecourse.common.time_units import SECOND


class Timer(Protocol):
    """A scheduled call, as returned by `callLater`."""

    def cancel(self) -> None:
        """Cancels the call. Raises an exception if it was already made or cancelled."""

    def active(self) -> int | bool:
        """Returns whether the call is still pending."""


class Clock(Protocol):
    """Monotonic time, and scheduled calls (Twisted's IReactorTime)."""

    def seconds(self) -> float:
        """Returns the time in seconds since an arbitrary origin."""

    def callLater(self, delay: float, callable: Callable[..., object], *args: Any) -> Any:
        """Schedules a call after `delay` seconds and returns its `Timer`."""


class Network(Clock, Protocol):
    """A clock that also opens and accepts connections (Twisted's IReactorTCP)."""

    def connectTCP(
        self, host: str, port: int, factory: Any, timeout: float = 30, bindAddress: Any = None
    ) -> Any:
        """Opens a connection; `timeout` in seconds."""

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> Any:
        """Listens for connections and returns the listening port. Raises CannotListenError."""


def stop(timer: Timer | None) -> None:
    """Cancels a scheduled call if it is still pending."""
    if timer is not None and timer.active():
        timer.cancel()


def now_ns(clock: Clock) -> int:
    """Returns the clock's time in integer nanoseconds."""
    return round(clock.seconds() * SECOND)
