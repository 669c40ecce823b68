"""Twisted's reactor on the monotonic clock: a wall clock that steps moves no timer."""

from __future__ import annotations

import gc
import resource
import sys
import time
from collections.abc import Callable
from typing import Any

from twisted.internet.main import installReactor


def steady_reactor() -> Any:
    """Installs and returns the process's reactor. Call it once, before anything imports the global one."""
    if sys.platform == "linux":
        from twisted.internet.epollreactor import EPollReactor as Base
    else:
        from twisted.internet.selectreactor import SelectReactor as Base

    class Steady(Base):
        seconds = staticmethod(time.monotonic)

    reactor = Steady()  # type: ignore[no-untyped-call]
    installReactor(reactor)  # type: ignore[no-untyped-call]
    return reactor


TIDY = 10.0  # s between looks at whether cycles are worth collecting
MANY = 5_000  # connections closed since the last collection; each leaves a few KiB in cycles


class Collector:
    """Collects cycles when it costs no job its time, or when closed connections have left many.

    Guards against pauses of tens of ms: jobs keep entries until their promised time, and the interpreter's
    own collections walk all of them. Reference counts free nearly everything else.
    """

    def __init__(self, reactor: Any, idle: Callable[[], bool], closed: Callable[[], int]) -> None:
        """`idle`: whether no job is open; `closed`: connections closed so far (of clients: opened)."""
        self.reactor = reactor
        self.idle = idle
        self.closed = closed
        self.seen = 0
        gc.collect()
        gc.freeze()
        gc.disable()
        self.look()

    def look(self) -> None:
        left = self.closed() - self.seen
        if left >= MANY or (left and self.idle()):
            self.seen += left
            gc.collect()
        self.reactor.callLater(TIDY, self.look)


def raise_files() -> int:
    """Raises the soft limit of open files to the hard one; returns it."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and soft < hard:
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
        return hard
    return soft
