"""Twisted's reactor on the monotonic clock, so that steps of the wall clock do not shift timers.

Also contains related event loop support: a port that accepts no more connections than there is capacity for,
a history of polls, garbage collection at idle moments, and the limit of open files.
"""

from __future__ import annotations

import gc
import resource
import sys
import time
from collections.abc import Callable
from typing import Any

from twisted.internet import defer, tcp
from twisted.internet.main import CONNECTION_DONE, installReactor
from twisted.python.failure import Failure

from ochrecourse.common.event_loop import PollHistory
from ochrecourse.common.paced_connection import PacedConnection
from ochrecourse.common.runtime import now_ns

ACCEPTS_PER_ITERATION = 16  # of the event loop, so that clients that come and go leave time to the others
ACCEPT_PAUSE = 0.02  # s for which a port without capacity is not polled; its clients wait in the kernel
COLLECTION_INTERVAL = 10.0  # s between checks whether a garbage collection is worthwhile
MANY_CLOSED_CONNECTIONS = 5_000  # since the last collection; each leaves a few KiB in reference cycles


class BoundedAcceptPort(tcp.Port):
    """A listening port that accepts only as many connections as there is capacity for.

    When it closes, it first accepts the clients that still wait in the kernel. `capacity`: how many more
    connections may be open now; unlimited by default.
    """

    transport = PacedConnection
    capacity: Callable[[], int] = staticmethod(lambda: sys.maxsize)
    _pause: Any = None

    def doRead(self) -> None:
        """Accepts connections while there is capacity; pauses polling if none was accepted."""
        capacity = self.capacity()
        accepted_before = self.sessionno
        if capacity > 0:
            self.numberAccepts = min(self.numberAccepts, capacity, ACCEPTS_PER_ITERATION)
            super().doRead()  # type: ignore[no-untyped-call]
        if self.sessionno == accepted_before and self._pause is None:
            # Prevents a busy loop: a client that waits in the kernel keeps the port readable.
            self.stopReading()  # type: ignore[no-untyped-call]
            self._pause = self.reactor.callLater(ACCEPT_PAUSE, self._resume)

    def _resume(self) -> None:
        self._pause = None
        self.startReading()  # type: ignore[no-untyped-call]

    def loseConnection(self, connDone: Any = None) -> Any:
        """Accepts the clients that wait in the kernel, up to the capacity, and closes immediately.

        Nothing but the close itself follows the accept call that finds no client.
        """
        if self.connected:
            self._stop_polling()
            accepted_before = -1
            while accepted_before != self.sessionno and self.capacity() > 0:
                accepted_before = self.sessionno
                self.numberAccepts = min(sys.maxsize, self.capacity())
                super().doRead()  # type: ignore[no-untyped-call]
            self._closeSocket(True)  # type: ignore[no-untyped-call]
            self.connectionLost(connDone or Failure(CONNECTION_DONE))  # type: ignore[no-untyped-call]
        return defer.succeed(None)

    stopListening = loseConnection

    def connectionLost(self, reason: Any) -> None:
        """Stops polling when the port is closed."""
        self._stop_polling()
        super().connectionLost(reason)  # type: ignore[no-untyped-call]

    def _stop_polling(self) -> None:
        self.stopReading()  # type: ignore[no-untyped-call]
        if self._pause is not None:
            self._pause.cancel()
            self._pause = None


class RecordingPoller:
    """Wrapper of a reactor's poller that records its polls in `history`."""

    def __init__(self, poller: Any, reactor: Any, history: PollHistory) -> None:
        self.poller = poller
        self.reactor = reactor
        self.history = history

    def poll(self, timeout: float, max_events: int) -> Any:
        """Polls for up to `timeout` seconds and at most `max_events` events."""
        began = now_ns(self.reactor)
        try:
            return self.poller.poll(timeout, max_events)
        finally:
            self.history.polled(began, now_ns(self.reactor), timeout != 0)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.poller, name)


def unread_since(reactor: Any) -> Callable[[], int] | None:
    """Starts recording a reactor's polls; returns a function, or None if the reactor has no known poller.

    The function returns the time, in ns of the reactor's clock, before which all input has been read.
    """
    poller = getattr(reactor, "_poller", None)  # Twisted has no public interface for observing polls
    if poller is None:
        return None
    history = PollHistory()
    reactor._poller = RecordingPoller(poller, reactor, history)
    return history.unread_since


def make_reactor(port_type: type[tcp.Port] = tcp.Port) -> Any:
    """Creates a reactor without installing it as the global one; see `install_monotonic_reactor`.

    `port_type`: class of its listening ports.
    """
    if sys.platform == "linux":
        from twisted.internet.epollreactor import EPollReactor as Base
    else:
        from twisted.internet.selectreactor import SelectReactor as Base

    class MonotonicReactor(Base):
        """The platform's reactor with the monotonic clock and the given port class."""

        seconds = staticmethod(time.monotonic)

        def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> tcp.Port:
            """Listens on a port with `port_type`."""
            listening = port_type(port, factory, backlog, interface, self)
            listening.startListening()
            return listening

    return MonotonicReactor()  # type: ignore[no-untyped-call]


def install_monotonic_reactor(port_type: type[tcp.Port] = tcp.Port) -> Any:
    """Installs and returns the global reactor. Call it once, before any module imports the global reactor."""
    reactor = make_reactor(port_type)
    installReactor(reactor)  # type: ignore[no-untyped-call]
    return reactor


class CycleCollector:
    """Runs garbage collection when no request is open, or when many connections were closed.

    This prevents pauses of tens of ms: entries of requests exist until their deadline, and the interpreter's
    automatic collections would traverse all of them. Reference counting frees nearly everything else.
    """

    def __init__(self, reactor: Any, idle: Callable[[], bool], closed: Callable[[], int]) -> None:
        """Disables automatic collection and starts the periodic checks.

        `idle`: whether no request is open; `closed`: connections of all kinds closed so far
        (of load tools: opened).
        """
        self.reactor = reactor
        self.idle = idle
        self.closed = closed
        self.collected_connections = 0  # closed connections before the last collection
        gc.collect()
        gc.freeze()
        gc.disable()
        self.check()

    def check(self) -> None:
        """Collects if worthwhile, and schedules the next check."""
        uncollected = self.closed() - self.collected_connections
        if uncollected >= MANY_CLOSED_CONNECTIONS or (uncollected and self.idle()):
            self.collected_connections += uncollected
            gc.collect()
        self.reactor.callLater(COLLECTION_INTERVAL, self.check)


def raise_open_file_limit() -> int:
    """Raises the soft limit of open files to the hard limit; returns the limit in effect."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and soft < hard:
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
        return hard
    return soft
