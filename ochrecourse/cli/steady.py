"""Twisted's reactor on the monotonic clock: a wall clock that steps moves no timer."""

from __future__ import annotations

import gc
import resource
import sys
import time
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


def calm_collector() -> None:
    """Lets the collector of cycles run seldom over what lives long.

    Guards against pauses of tens of ms: jobs keep entries until their promised time, and a full collection
    walks all of them. Reference counts free nearly everything; cycles come from closed connections only.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(50_000, 50, 1000)


def raise_files() -> int:
    """Raises the soft limit of open files to the hard one; returns it."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and soft < hard:
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
        return hard
    return soft
