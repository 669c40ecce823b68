"""Twisted's reactor on the monotonic clock: a wall clock that steps moves no timer.

With it what a process needs round its event loop: a port that accepts no more connections than there is
capacity for, a record of polls, garbage collection at idle moments, the limit of open files.
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
from ochrecourse.common.runtime import now_ns

ACCEPT_PAUSE = 0.02  # s in which a port without capacity is not polled; its clients wait in the kernel
COLLECTION_INTERVAL = 10.0  # s between looks at whether cycles are worth collecting
MANY_CLOSED_CONNECTIONS = 5_000  # since the last collection; each leaves a few KiB in cycles


class BoundedAcceptPort(tcp.Port):
    """A listening port that accepts no more than there is capacity for, and no client is left waiting when it
    closes.

    `capacity`: how many more connections may be open now; by default there is no such limit.
    """

    capacity: Callable[[], int] = staticmethod(lambda: sys.maxsize)
    _pause: Any = None

    def doRead(self) -> None:
        """Accepts as many connections as there is capacity for."""
        capacity = self.capacity()
        accepted_before = self.sessionno
        if capacity > 0:
            self.numberAccepts = min(self.numberAccepts, capacity)
            super().doRead()  # type: ignore[no-untyped-call]
        if self.sessionno == accepted_before and self._pause is None:
            # Guards against a loop that spins: a client that waits in the kernel keeps the port readable.
            self.stopReading()  # type: ignore[no-untyped-call]
            self._pause = self.reactor.callLater(ACCEPT_PAUSE, self._resume)

    def _resume(self) -> None:
        self._pause = None
        self.startReading()  # type: ignore[no-untyped-call]

    def loseConnection(self, connDone: Any = None) -> Any:
        """Accepts the clients that wait in the kernel, as far as there is capacity, and closes at once:
        nothing but the close itself follows the call that found none.
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
        """The port is closed."""
        self._stop_polling()
        super().connectionLost(reason)  # type: ignore[no-untyped-call]

    def _stop_polling(self) -> None:
        self.stopReading()  # type: ignore[no-untyped-call]
        if self._pause is not None:
            self._pause.cancel()
            self._pause = None


class RecordingPoller:
    """A reactor's poller, whose polls are recorded in `history`."""

    def __init__(self, poller: Any, reactor: Any, history: PollHistory) -> None:
        self.poller = poller
        self.reactor = reactor
        self.history = history

    def poll(self, timeout: float, most: int) -> Any:
        """Polls as the poller does, for `timeout` seconds and at most `most` events."""
        began = now_ns(self.reactor)
        try:
            return self.poller.poll(timeout, most)
        finally:
            self.history.polled(began, now_ns(self.reactor), timeout != 0)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.poller, name)


def unread_since(reactor: Any) -> Callable[[], int] | None:
    """What returns since when some input may not be read yet in a reactor's loop, in ns of its clock; None
    if the reactor has no poller that can be watched.
    """
    poller = getattr(reactor, "_poller", None)  # Twisted has no public place from which a poll can be seen
    if poller is None:
        return None
    history = PollHistory()
    reactor._poller = RecordingPoller(poller, reactor, history)
    return history.unread_since


def make_reactor(port_type: type[tcp.Port] = tcp.Port) -> Any:
    """A reactor that is not the process's global one; `install_monotonic_reactor` makes and installs that.
    `port_type`: what it listens with.
    """
    if sys.platform == "linux":
        from twisted.internet.epollreactor import EPollReactor as Base
    else:
        from twisted.internet.selectreactor import SelectReactor as Base

    class MonotonicReactor(Base):
        """The platform's reactor with another clock and port."""

        seconds = staticmethod(time.monotonic)

        def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> tcp.Port:
            """Accepts connections with `port_type`."""
            listening = port_type(port, factory, backlog, interface, self)
            listening.startListening()
            return listening

    return MonotonicReactor()  # type: ignore[no-untyped-call]


def install_monotonic_reactor(port_type: type[tcp.Port] = tcp.Port) -> Any:
    """Installs and returns the process's reactor. Call it once, before anything imports the global one."""
    reactor = make_reactor(port_type)
    installReactor(reactor)  # type: ignore[no-untyped-call]
    return reactor


class CycleCollector:
    """Collects garbage cycles when no request waits for it, or when closed connections have left many.

    Guards against pauses of tens of ms: requests keep entries until their deadline, and the interpreter's own
    collections walk all of them. Reference counts free nearly everything else.
    """

    def __init__(self, reactor: Any, idle: Callable[[], bool], closed: Callable[[], int]) -> None:
        """`idle`: whether no request is open; `closed`: connections closed so far (of clients: opened)."""
        self.reactor = reactor
        self.idle = idle
        self.closed = closed
        self.collected = 0  # closed connections before the last collection
        gc.collect()
        gc.freeze()
        gc.disable()
        self.look()

    def look(self) -> None:
        """Collects if it is worth it, and looks again after a while."""
        uncollected = self.closed() - self.collected
        if uncollected >= MANY_CLOSED_CONNECTIONS or (uncollected and self.idle()):
            self.collected += uncollected
            gc.collect()
        self.reactor.callLater(COLLECTION_INTERVAL, self.look)


def raise_open_file_limit() -> int:
    """Raises the soft limit of open files to the hard one; returns the limit in force."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and soft < hard:
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
        return hard
    return soft
