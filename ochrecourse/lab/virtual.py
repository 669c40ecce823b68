"""A network and a clock in one process: the shapes of Twisted's reactor, without sockets and without time.

Everything handed a `VirtualNetwork` in place of the reactor runs the very code that runs on sockets. Bytes
take a drawn delay, stay in order, and are held back while the reader is paused; a writer's producer is paused
while too much is on the way. Same seed, same run, byte for byte: calls are ordered by time, then by the order
in which they were made.

Hosts can be named (`VirtualNetwork.host`); then the way from one to another can be cut, lose, repeat or hold
up whole writes, in one direction or both, and a host can stand still as a stopped process does. Parts that
are given the network itself have no name, and nothing of this touches them.

With `tcp` set, connections end as TCP's do: an end is read behind the bytes before it, and not by one who has
paused reading; a close over bytes that were not read, or that still come, resets the connection and takes
with it what the other end has not read. Without it a close waits for what is on its way and is told at once.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet import error
from twisted.internet.address import IPv4Address
from twisted.internet.interfaces import IHalfCloseableProtocol, IPushProducer, ITransport
from twisted.python.failure import Failure
from zope.interface import implementer

HIGH = 65_536  # bytes on the way above which a producer is paused, as a socket's buffers would
CLOSED = "the virtual network has no such port"
NO_WAY = "nothing comes back from there"


@dataclass(frozen=True)
class Way:
    """How the way from one host to another stands. `cut`: nothing arrives until it is mended, then what was
    written does, or, if it `breaks`, connections on which something was written end. `lose`, `repeat`: the
    part of whole writes that are lost, or come twice; `late`: s on top of the usual delay, drawn between the
    two.
    """

    cut: bool = False
    breaks: bool = False
    lose: float = 0.0
    repeat: float = 0.0
    late: tuple[float, float] = (0.0, 0.0)


class Call:
    """A call to come. `home`: the host that makes it, if it has a name."""

    __slots__ = ("args", "at", "call", "done", "home", "network")

    def __init__(
        self,
        network: VirtualNetwork,
        at: float,
        call: Callable[..., object],
        args: tuple[Any, ...],
        home: VirtualHost | None = None,
    ) -> None:
        self.home = home
        self.network = network
        self.at = at
        self.call = call
        self.args = args
        self.done = False

    def active(self) -> bool:
        return not self.done

    def cancel(self) -> None:
        if self.done:
            raise error.AlreadyCalled
        self.done = True

    def reset(self, seconds: float) -> None:
        """Comes due so many seconds from now in place of its time before."""
        if self.done:
            raise error.AlreadyCalled
        self.at = self.network.now + seconds
        self.network.push(self)

    def getTime(self) -> float:
        return self.at


class VirtualNetwork:
    """Clock, ports and connections. Delays one way in seconds, between `least` and `most`."""

    def __init__(self, seed: int, least: float = 0.0001, most: float = 0.0005, start: float = 1000.0) -> None:
        self.now = start
        self.chance = random.Random(seed)
        self.least, self.most = least, most
        self.calls: list[tuple[float, int, Call]] = []
        self.count = 0
        self.ports: dict[int, VirtualPort] = {}
        self.next_port = 10_000
        self.ran = 0
        self.hosts: dict[str, VirtualHost] = {}
        self.ways: dict[tuple[str, str], Way] = {}  # the others are whole
        self.faults = random.Random(f"{seed} faults")  # apart, so that a fault moves no other draw
        self.waiting: dict[tuple[str, str], list[Callable[[], None]]] = {}  # until a cut way is mended
        self.meter: Callable[[str, str, int], None] | None = None  # hears of writes of named hosts
        self.tcp = False  # connections end as TCP's do

    # --- named hosts ---

    def host(self, name: str) -> VirtualHost:
        """The network as one host sees it."""
        if name not in self.hosts:
            self.hosts[name] = VirtualHost(self, name)
        return self.hosts[name]

    def set_way(self, here: str, there: str, way: Way | None = None) -> None:
        """The way from here to there is so from now on; None: whole. The other direction stays as it is."""
        if way is not None:
            self.ways[here, there] = way
        else:
            self.ways.pop((here, there), None)
        if way is None or not way.cut:
            for call in self.waiting.pop((here, there), ()):
                self.callLater(self.delay(), call)

    def cut_off(self, here: str, there: str) -> bool:
        way = self.ways.get((here, there))
        return way is not None and way.cut

    # --- IReactorTime ---

    def seconds(self) -> float:
        return self.now

    def callLater(self, delay: float, callable: Callable[..., object], *args: Any) -> Call:
        call = Call(self, self.now + max(0.0, delay), callable, args)
        self.push(call)
        return call

    def push(self, call: Call) -> None:
        """Puts a call in line by its time; what stands there of it from before is passed over."""
        self.count += 1
        heapq.heappush(self.calls, (call.at, self.count, call))

    def run_until(self, end: float, most: int = 1 << 62) -> None:
        """Runs all calls due by `end`, in order; the clock stands at `end` afterwards."""
        while self.calls and self.calls[0][0] <= end and most > 0:
            at, _, call = heapq.heappop(self.calls)
            if call.done or call.at != at:
                continue
            self.now = max(self.now, at)
            if call.home is not None and call.home.still:
                call.home.held.append(call)
                continue
            call.done = True
            self.ran += 1
            most -= 1
            call.call(*call.args)
        if most > 0:
            self.now = max(self.now, end)

    def advance(self, seconds: float) -> None:
        self.run_until(self.now + seconds)

    # --- IReactorTCP ---

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> VirtualPort:
        if not port:
            self.next_port += 1
            port = self.next_port
        if port in self.ports:
            raise error.CannotListenError(interface, port, OSError("in use"))
        listening = self.ports[port] = VirtualPort(self, port, factory)
        factory.doStart()
        return listening

    def connectTCP(
        self, host: str, port: int, factory: Any, timeout: float = 30, bindAddress: Any = None
    ) -> None:
        self.dial(None, host, port, factory, timeout)

    def dial(self, home: VirtualHost | None, host: str, port: int, factory: Any, timeout: float) -> None:
        factory.doStart()
        self.later(home, self.delay(), self._connect, home, host, port, factory, timeout)

    def later(self, home: VirtualHost | None, delay: float, call: Callable[..., object], *args: Any) -> Call:
        """A call of one host's; it waits while that host stands still."""
        made = Call(self, self.now + max(0.0, delay), call, args, home)
        self.push(made)
        return made

    def delay(self) -> float:
        return self.chance.uniform(self.least, self.most)

    def _connect(self, home: VirtualHost | None, host: str, port: int, factory: Any, timeout: float) -> None:
        listening = self.ports.get(port)
        address = IPv4Address("TCP", host, port)
        there = listening.home if listening else None
        if home is not None and there is not None and self._no_way(home, there):
            failure = Failure(error.TimeoutError(NO_WAY))
            self.later(home, timeout, factory.clientConnectionFailed, None, failure)
            return
        still = there is not None and there.still
        server = listening.factory.buildProtocol(address) if listening and not still else None
        if server is None and not still:
            self.later(
                home,
                self.delay(),
                factory.clientConnectionFailed,
                None,
                Failure(error.ConnectionRefusedError(CLOSED)),
            )
            return
        client = factory.buildProtocol(address)
        if client is None:
            return
        ours, theirs = VirtualTransport(self, client, home), VirtualTransport(self, server, there)
        ours.peer, theirs.peer = theirs, ours
        if server is not None:
            server.makeConnection(theirs)
        else:
            self.later(there, 0, theirs.accept, listening, address)  # once it goes on; till then half open
        client.makeConnection(ours)

    def _no_way(self, here: VirtualHost, there: VirtualHost) -> bool:
        return self.cut_off(here.name, there.name) or self.cut_off(there.name, here.name)


class VirtualHost:
    """The network as one named host sees it: the same shapes, its calls and connections under its name."""

    def __init__(self, network: VirtualNetwork, name: str) -> None:
        self.network = network
        self.name = name
        self.still = False
        self.held: list[Call] = []  # came due while it stood still

    def seconds(self) -> float:
        return self.network.now

    def callLater(self, delay: float, callable: Callable[..., object], *args: Any) -> Call:
        return self.network.later(self, delay, callable, *args)

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> VirtualPort:
        listening = self.network.listenTCP(port, factory, backlog, interface)
        listening.home = self
        return listening

    def connectTCP(
        self, host: str, port: int, factory: Any, timeout: float = 30, bindAddress: Any = None
    ) -> None:
        self.network.dial(self, host, port, factory, timeout)

    def stand_still(self, still: bool) -> None:
        """Stops the host's process, or lets it go on: then all that came due meanwhile comes at once, in its
        order. Connections to it are still accepted, as a kernel does for a stopped process.
        """
        self.still = still
        held, self.held = ([], self.held) if still else (self.held, [])
        for call in held:
            if not call.done:
                call.at = self.network.now
                self.network.push(call)


class VirtualPort:
    """A listening port."""

    home: VirtualHost | None = None

    def __init__(self, network: VirtualNetwork, port: int, factory: Any) -> None:
        self.network = network
        self.port = port
        self.factory = factory

    def getHost(self) -> IPv4Address:
        return IPv4Address("TCP", "127.0.0.1", self.port)

    def stopListening(self) -> None:
        self.network.ports.pop(self.port, None)


@implementer(ITransport, IPushProducer)
class VirtualTransport:
    """One end of a connection."""

    disconnecting = False

    def __init__(self, network: VirtualNetwork, protocol: Any, home: VirtualHost | None = None) -> None:
        self.network = network
        self.home = home
        self.protocol = protocol  # None while its host has not accepted it yet
        self.peer: VirtualTransport | None = None
        self.on_way: deque[bytes] = deque()
        self.on_way_size = 0
        self.arrives = 0.0
        self.paused = False  # this end does not read
        self.lost = False
        self.producer: Any = None
        self.producer_paused = False
        self.frozen = False  # this end's process stands still: nothing is read, as with a stopped process
        self.shut = False  # this end's sending side is shut, behind what is on its way
        self.end_told = False  # and the other end has read that
        self.aborted = False  # this end was cut, and does not wait for what is on its way
        self.reset = False  # a reset came, which an end that does not read has not noticed

    # --- writing ---

    def write(self, data: bytes) -> None:
        if self.lost or self.disconnecting or self.shut or not data:
            return
        if self.home is not None and not self._goes(data):
            return
        self.on_way.append(data)
        self.on_way_size += len(data)
        if self.producer is not None and self.on_way_size > HIGH and not self.producer_paused:
            self.producer_paused = True
            self.producer.pauseProducing()
        if len(self.on_way) == 1:
            self._send()

    def writeSequence(self, data: list[bytes]) -> None:
        self.write(b"".join(data))

    def loseConnection(self, reason: Any = None) -> None:
        if not self.lost and not self.disconnecting:
            self.disconnecting = True
            if not self.on_way or (self.network.tcp and self.on_way_size <= HIGH):
                self._close()

    def loseWriteConnection(self) -> None:
        """Ends the sending side; the other end reads that behind what is on its way."""
        if not self.lost and not self.disconnecting and not self.shut:
            self.shut = True
            if not self.on_way:
                self._send()

    def abortConnection(self) -> None:
        if not self.lost:
            self.on_way.clear()
            self.aborted = True
            self._close()

    def registerProducer(self, producer: Any, streaming: bool) -> None:
        self.producer = producer

    def unregisterProducer(self) -> None:
        self.producer = None

    # --- reading ---

    def pauseProducing(self) -> None:
        self.paused = True

    def resumeProducing(self) -> None:
        self.paused = False
        if self.reset:
            self.network.later(self.home, 0, self._was_reset)
        elif self.peer is not None and (self.peer.on_way or self.peer._end_due()):
            self.peer._send()

    def stopProducing(self) -> None:
        self.loseConnection()

    def freeze(self, frozen: bool) -> None:
        self.frozen = frozen
        if not frozen:
            self.resumeProducing()

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Nothing is ever delayed here to be sent together."""

    def getPeer(self) -> IPv4Address:
        return IPv4Address("TCP", "127.0.0.1", 0)

    getHost = getPeer

    # --- inside ---

    def accept(self, listening: VirtualPort, address: IPv4Address) -> None:
        """A host that stood still takes a connection that was made to it meanwhile."""
        if self.lost:
            return
        open_still = self.network.ports.get(listening.port) is listening
        self.protocol = listening.factory.buildProtocol(address) if open_still else None
        if self.protocol is None:
            self._close()
            return
        self.protocol.makeConnection(self)
        if self.peer is not None and self.peer.on_way:
            self.peer._send()

    def _way(self) -> tuple[tuple[str, str], Way | None]:
        """The way that writes of this end take: its hosts' names, and how it stands if it is not whole."""
        if not self.network.ways or self.home is None or self.peer is None or self.peer.home is None:
            return ("", ""), None
        names = (self.home.name, self.peer.home.name)
        return names, self.network.ways.get(names)

    def _goes(self, data: bytes) -> bool:
        """Whether a whole write is not lost; one that is to come twice is put on the way a first time."""
        network = self.network
        if network.meter is not None and self.home is not None and self.peer is not None and self.peer.home:
            network.meter(self.home.name, self.peer.home.name, len(data))
        _, way = self._way()
        if way is not None and way.lose and network.faults.random() < way.lose:
            return False
        if way is not None and way.repeat and network.faults.random() < way.repeat:
            self.on_way.append(data)
            self.on_way_size += len(data)
            if len(self.on_way) == 1:
                self._send()
        return True

    def _send(self) -> None:
        delay = self.network.delay()
        _, way = self._way()
        if way is not None and way.late[1]:
            delay += self.network.faults.uniform(*way.late)
        self.arrives = max(self.arrives, self.network.now + delay)
        self.network.callLater(self.arrives - self.network.now, self._arrive)

    def _arrive(self) -> None:
        peer = self.peer
        if peer is None or not (self.on_way or self._end_due()):
            return
        if peer.lost and self.network.tcp and self.on_way:
            # What comes in at a socket that is closed is answered with a reset.
            self.on_way.clear()
            self.network.later(self.home, self.network.delay(), self._was_reset)
        if peer.lost or peer.paused or peer.frozen:
            return
        if peer.protocol is None:  # not accepted yet
            return
        names, way = self._way()
        if way is not None and way.cut:
            mended = self._broken if way.breaks else self._arrive
            self.network.waiting.setdefault(names, []).append(mended)
            return
        if peer.home is not None and peer.home.still:
            self.network.later(peer.home, 0, self._arrive)
            return
        if not self.on_way:
            self.end_told = True
            peer._read_end()
            return
        data = b"".join(self.on_way)
        self.on_way.clear()
        self.on_way_size = 0
        if self.producer is not None and self.producer_paused:
            self.producer_paused = False
            self.network.later(self.home, 0, self._resume)
        peer.protocol.dataReceived(data)
        if self.disconnecting and not self.on_way and not self.lost:
            self._close()
        elif not self.on_way and self._end_due():
            self._send()

    def _end_due(self) -> bool:
        """Whether this end's sending side is shut and the other end has not read that."""
        return self.shut and not self.end_told

    def _read_end(self) -> None:
        """The other end's sending side is shut, which ends this side too unless it can go on alone."""
        if self.lost:
            return
        half: Any = IHalfCloseableProtocol(self.protocol, None)
        if half is not None:
            half.readConnectionLost()
            return
        self.lost = True
        if self.network.tcp:
            self._shut_behind()
        else:
            self.on_way.clear()
            if self.peer is not None:
                self.network.later(self.peer.home, self.network.delay(), self.peer._peer_closed)
        self.protocol.connectionLost(Failure(error.ConnectionDone()))

    def _shut_behind(self) -> None:
        """The end of this side goes behind what is on its way."""
        self.shut = True
        if not self.on_way and not self.end_told:
            self._send()

    def _was_reset(self) -> None:
        if self.lost:
            return
        if self.paused:
            self.reset = True
            return
        self.lost = True
        self.on_way.clear()
        if self.protocol is not None:
            self.protocol.connectionLost(Failure(error.ConnectionLost()))

    def _broken(self) -> None:
        """Its way was cut while something was on it, which is lost: both ends hear of that now."""
        for end in (self, self.peer):
            if end is not None and not end.lost:
                end.on_way.clear()
                end.lost = True
                if end.protocol is not None:
                    gone = Failure(error.ConnectionLost())
                    self.network.later(end.home, 0, end.protocol.connectionLost, gone)

    def _resume(self) -> None:
        if self.producer is not None and not self.lost and not self.producer_paused:
            self.producer.resumeProducing()

    def _close(self) -> None:
        if self.lost:
            return
        self.lost = True
        if self.protocol is not None:
            done = Failure(error.ConnectionDone())
            self.network.later(self.home, 0, self.protocol.connectionLost, done)
        if self.network.tcp:
            self._close_as_tcp()
        elif self.peer is not None and not self.peer.lost:
            self.network.later(self.peer.home, self.network.delay(), self.peer._peer_closed)

    def _close_as_tcp(self) -> None:
        if self.peer is None or self.peer.lost:
            return
        if self.aborted or self.peer.on_way:
            self.on_way.clear()
            self.peer.on_way.clear()
            self.network.later(self.peer.home, self.network.delay(), self.peer._was_reset)
        else:
            self._shut_behind()

    def _peer_closed(self) -> None:
        if self.lost:
            return
        names, way = self.peer._way() if self.peer is not None else (("", ""), None)
        if way is not None and way.cut:
            # Guards against an end that knows at once of a close that can't have come to it.
            self.network.waiting.setdefault(names, []).append(self._peer_closed)
            return
        self.lost = True
        self.on_way.clear()
        if self.protocol is not None:
            self.protocol.connectionLost(Failure(error.ConnectionLost()))
