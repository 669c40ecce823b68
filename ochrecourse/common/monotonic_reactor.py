"""Twisted's reactor on the monotonic clock: a wall clock that steps moves no timer."""

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

FULL = 0.02  # s in which a port that can accept nothing is not asked again; its clients wait in the kernel


class BoundedAcceptPort(tcp.Port):
    """A listening port that accepts no more than there is room for, and leaves nobody behind when it closes.

    `room`: how many more connections may be open now; by default there is no such bound.
    """

    room: Callable[[], int] = staticmethod(lambda: sys.maxsize)
    _pause: Any = None

    def doRead(self) -> None:
        """Accepts as many as there is room for."""
        room = self.room()
        before = self.sessionno
        if room > 0:
            self.numberAccepts = min(self.numberAccepts, room)
            super().doRead()  # type: ignore[no-untyped-call]
        if self.sessionno == before and self._pause is None:
            # Guards against a loop that spins: who waits in the kernel keeps the port readable.
            self.stopReading()  # type: ignore[no-untyped-call]
            self._pause = self.reactor.callLater(FULL, self._go_on)

    def _go_on(self) -> None:
        self._pause = None
        self.startReading()  # type: ignore[no-untyped-call]

    def loseConnection(self, connDone: Any = None) -> Any:
        """Accepts who waits in the kernel, as far as there is room, and closes at once: nothing but the close
        itself comes after the call that found nobody.
        """
        if self.connected:
            self._stop_asking()
            before = -1
            while before != self.sessionno and self.room() > 0:
                before = self.sessionno
                self.numberAccepts = min(sys.maxsize, self.room())
                super().doRead()  # type: ignore[no-untyped-call]
            self._closeSocket(True)  # type: ignore[no-untyped-call]
            self.connectionLost(connDone or Failure(CONNECTION_DONE))  # type: ignore[no-untyped-call]
        return defer.succeed(None)

    stopListening = loseConnection

    def connectionLost(self, reason: Any) -> None:
        self._stop_asking()
        super().connectionLost(reason)  # type: ignore[no-untyped-call]

    def _stop_asking(self) -> None:
        self.stopReading()  # type: ignore[no-untyped-call]
        if self._pause is not None:
            self._pause.cancel()
            self._pause = None


class RecordingPoller:
    """A reactor's poller, whose polls are told to `turns`."""

    def __init__(self, poller: Any, reactor: Any, turns: PollHistory) -> None:
        self.poller = poller
        self.reactor = reactor
        self.turns = turns

    def poll(self, timeout: float, most: int) -> Any:
        began = now_ns(self.reactor)
        try:
            return self.poller.poll(timeout, most)
        finally:
            self.turns.polled(began, now_ns(self.reactor), timeout != 0)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.poller, name)


def unread_since(reactor: Any) -> Callable[[], int] | None:
    """Tells since when something may stand unread in a reactor's loop, ns by its clock; None if it has no
    poller that can be watched.
    """
    poller = getattr(reactor, "_poller", None)  # Twisted has no public place from which a poll can be seen
    if poller is None:
        return None
    turns = PollHistory()
    reactor._poller = RecordingPoller(poller, reactor, turns)
    return turns.unread_since


def make_reactor(port_type: type[tcp.Port] = tcp.Port) -> Any:
    """A reactor that is not the process's; `install_monotonic_reactor` makes and installs that.
    `port_type`: what it listens with.
    """
    if sys.platform == "linux":
        from twisted.internet.epollreactor import EPollReactor as Base
    else:
        from twisted.internet.selectreactor import SelectReactor as Base

    class Steady(Base):
        seconds = staticmethod(time.monotonic)

        def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> tcp.Port:
            listening = port_type(port, factory, backlog, interface, self)
            listening.startListening()
            return listening

    return Steady()  # type: ignore[no-untyped-call]


def install_monotonic_reactor(port_type: type[tcp.Port] = tcp.Port) -> Any:
    """Installs and returns the process's reactor. Call it once, before anything imports the global one."""
    reactor = make_reactor(port_type)
    installReactor(reactor)  # type: ignore[no-untyped-call]
    return reactor


TIDY = 10.0  # s between looks at whether cycles are worth collecting
MANY = 5_000  # connections closed since the last collection; each leaves a few KiB in cycles


class CycleCollector:
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


def raise_open_file_limit() -> int:
    """Raises the soft limit of open files to the hard one; returns it."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and soft < hard:
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
        return hard
    return soft
