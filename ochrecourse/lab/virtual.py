"""A network and a clock in one process: the shapes of Twisted's reactor, without sockets and without time.

Everything handed a `VirtualNetwork` in place of the reactor runs the very code that runs on sockets. Bytes
take a drawn delay, stay in order, and are held back while the reader is paused; a writer's producer is paused
while too much is on the way. Same seed, same run, byte for byte: calls are ordered by time, then by the order
in which they were made.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable
from typing import Any

from twisted.internet import error
from twisted.internet.address import IPv4Address
from twisted.internet.interfaces import IPushProducer, ITransport
from twisted.python.failure import Failure
from zope.interface import implementer

HIGH = 65_536  # bytes on the way above which a producer is paused, as a socket's buffers would
CLOSED = "the virtual network has no such port"


class Call:
    """A call to come."""

    __slots__ = ("args", "at", "call", "done", "network")

    def __init__(
        self, network: VirtualNetwork, at: float, call: Callable[..., object], args: tuple[Any, ...]
    ) -> None:
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
        factory.doStart()
        self.callLater(self.delay(), self._connect, host, port, factory)

    def delay(self) -> float:
        return self.chance.uniform(self.least, self.most)

    def _connect(self, host: str, port: int, factory: Any) -> None:
        listening = self.ports.get(port)
        address = IPv4Address("TCP", host, port)
        server = listening.factory.buildProtocol(address) if listening else None
        if server is None:
            self.callLater(
                self.delay(),
                factory.clientConnectionFailed,
                None,
                Failure(error.ConnectionRefusedError(CLOSED)),
            )
            return
        client = factory.buildProtocol(address)
        if client is None:
            return
        ours, theirs = VirtualTransport(self, client), VirtualTransport(self, server)
        ours.peer, theirs.peer = theirs, ours
        server.makeConnection(theirs)
        client.makeConnection(ours)


class VirtualPort:
    """A listening port."""

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

    def __init__(self, network: VirtualNetwork, protocol: Any) -> None:
        self.network = network
        self.protocol = protocol
        self.peer: VirtualTransport | None = None
        self.on_way: deque[bytes] = deque()
        self.on_way_size = 0
        self.arrives = 0.0
        self.paused = False  # this end does not read
        self.lost = False
        self.producer: Any = None
        self.producer_paused = False
        self.frozen = False  # this end's process stands still: nothing is read, as with a stopped process

    # --- writing ---

    def write(self, data: bytes) -> None:
        if self.lost or self.disconnecting or not data:
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
            if not self.on_way:
                self._close()

    def abortConnection(self) -> None:
        if not self.lost:
            self.on_way.clear()
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
        if self.peer is not None and self.peer.on_way:
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

    def _send(self) -> None:
        self.arrives = max(self.arrives, self.network.now + self.network.delay())
        self.network.callLater(self.arrives - self.network.now, self._arrive)

    def _arrive(self) -> None:
        peer = self.peer
        if peer is None or peer.lost or not self.on_way or peer.paused or peer.frozen:
            return
        data = b"".join(self.on_way)
        self.on_way.clear()
        self.on_way_size = 0
        if self.producer is not None and self.producer_paused:
            self.producer_paused = False
            self.network.callLater(0, self._resume)
        peer.protocol.dataReceived(data)
        if self.disconnecting and not self.on_way and not self.lost:
            self._close()

    def _resume(self) -> None:
        if self.producer is not None and not self.lost and not self.producer_paused:
            self.producer.resumeProducing()

    def _close(self) -> None:
        if self.lost:
            return
        self.lost = True
        self.network.callLater(0, self.protocol.connectionLost, Failure(error.ConnectionDone()))
        if self.peer is not None and not self.peer.lost:
            self.network.callLater(self.network.delay(), self.peer._peer_closed)

    def _peer_closed(self) -> None:
        if not self.lost:
            self.lost = True
            self.on_way.clear()
            self.protocol.connectionLost(Failure(error.ConnectionLost()))
