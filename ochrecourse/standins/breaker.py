"""A relay between gateways that breaks what passes: each ordered pair of names has a port of its own.

It knows bytes and where a message ends (a header line, and the body that its `body` announces), nothing else
of what is said. Troubles belong to a way, from one name to another, so a link can fail in one direction.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import msgspec
from twisted.internet.protocol import ClientFactory, Factory, Protocol

from ochrecourse.common.runtime import Network

MOST_HELD = 8 << 20  # bytes that wait at one end; beyond them the link breaks in place of growing
MOST_LINE = 65_536  # bytes of a header line; what is longer passes as it is
DRIP = 0.02  # s between two drops of a slow way
DIAL = 2.0  # s that a dial to the far gateway may take


class _Header(msgspec.Struct):
    body: int = 0


_header = msgspec.json.Decoder(_Header)


class Messages:
    """Cuts a stream into whole messages."""

    def __init__(self) -> None:
        self.data = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        self.data += data
        whole = []
        while (size := self._size()) and size <= len(self.data):
            whole.append(bytes(self.data[:size]))
            del self.data[:size]
        return whole

    def _size(self) -> int:
        """Bytes of the message that comes first, 0 while its line is not whole."""
        end = self.data.find(b"\n") + 1
        if not end:
            return len(self.data) if len(self.data) > MOST_LINE else 0
        try:
            return end + max(0, _header.decode(self.data[:end]).body)
        except msgspec.MsgspecError:
            return end


@dataclass
class Way:
    """From one name to another. `cut`: nothing passes, and nobody is told; `lose`, `repeat`: shares of whole
    messages; `delay` in s; `drip` in bytes a second, 0 for no bound; `keeps`: an end that died stays hidden.
    """

    cut: bool = False
    lose: float = 0.0
    repeat: float = 0.0
    delay: float = 0.0
    drip: int = 0
    keeps: bool = False


class _End(Protocol):
    """One of the two sockets of a link; `way` is that of the bytes that come in here."""

    transport: Any

    def __init__(self, link: _Link, way: Way) -> None:
        self.link = link
        self.way = way
        self.up = False
        self.messages = Messages()
        self.other: _End | None = None
        self.waiting: list[bytes] = []  # came before the other end was there
        self.last = 0.0  # when the last delayed message leaves; order is kept
        self.dropping = bytearray()

    def connectionMade(self) -> None:
        self.up = True
        self.transport.setTcpNoDelay(True)
        self.link.came(self)

    def dataReceived(self, data: bytes) -> None:
        breaker = self.link.breaker
        if self.way.cut:
            self.link.holed = True  # what is lost here leaves a hole: the link can't go on once it is mended
            return
        for message in self.messages.feed(data):
            if self.way.lose and breaker.chance.random() < self.way.lose:
                breaker.lost += 1
                continue
            again = bool(self.way.repeat) and breaker.chance.random() < self.way.repeat
            breaker.repeated += again
            for _ in range(1 + again):
                self._pass(message)

    def _pass(self, message: bytes) -> None:
        clock = self.link.breaker.network
        breaker = self.link.breaker
        breaker.passed += 1
        breaker.bytes += len(message)
        if self.way.delay or self.last > clock.seconds():
            self.last = max(self.last, clock.seconds() + self.way.delay)
            clock.callLater(self.last - clock.seconds(), self._send, message)
        else:
            self._send(message)

    def _send(self, message: bytes) -> None:
        if self.other is None or not self.other.up:
            self.waiting.append(message)
        elif self.way.drip or self.dropping:
            if not self.dropping:
                self.link.breaker.network.callLater(DRIP, self._drop)
            self.dropping += message
        else:
            self.other.transport.write(message)
        if sum(map(len, self.waiting)) + len(self.dropping) > MOST_HELD:
            self.link.end()

    def _drop(self) -> None:
        """A slow way: a few bytes at a time."""
        size = max(1, round(self.way.drip * DRIP)) if self.way.drip else len(self.dropping)
        drop = bytes(self.dropping[:size])
        del self.dropping[:size]
        if self.other is not None and self.other.up and not self.way.cut:
            self.other.transport.write(drop)
        if self.dropping:
            self.link.breaker.network.callLater(DRIP, self._drop)

    def connectionLost(self, reason: Any = None) -> None:
        self.up = False
        if self.way.keeps or self.way.cut:
            self.link.holed = True
        else:
            self.link.end()


class _Link:
    """One connection through the breaker."""

    def __init__(self, breaker: Breaker, near: str, far: str) -> None:
        self.breaker = breaker
        self.names = (near, far)
        self.holed = False
        self.near = _End(self, breaker.way(near, far))
        self.far = _End(self, breaker.way(far, near))

    def came(self, end: _End) -> None:
        if end is self.near:
            self.breaker.links[self] = None
            if not self.near.way.cut and not self.far.way.cut:
                self._dial()  # while it is cut the dial gets nowhere: accepted here, and never answered
            else:
                self.holed = True
            return
        if not self.near.up:
            self.end()
            return
        self.near.other, self.far.other = self.far, self.near
        for one in (self.near, self.far):
            waiting, one.waiting = one.waiting, []
            for message in waiting:
                one._send(message)

    def _dial(self) -> None:
        at = self.breaker.places.get(self.names[1])
        if at is None:
            self.end()
        else:
            self.breaker.network.connectTCP(at[0], at[1], _Dialled(self), timeout=DIAL)

    def end(self) -> None:
        self.breaker.links.pop(self, None)
        for one in (self.near, self.far):
            if one.up:
                one.transport.abortConnection()


class _Dialled(ClientFactory):
    noisy = False

    def __init__(self, link: _Link) -> None:
        self.link = link

    def buildProtocol(self, addr: Any) -> _End:
        return self.link.far

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.link.end()


class _Accepts(Factory):
    noisy = False

    def __init__(self, breaker: Breaker, near: str, far: str) -> None:
        self.breaker = breaker
        self.names = (near, far)

    def buildProtocol(self, addr: Any) -> _End:
        return _Link(self.breaker, *self.names).near


class Breaker:
    """All ways between some names. A gateway dials `address(own, other)` in place of the other's own."""

    def __init__(self, network: Network, seed: int, interface: str = "127.0.0.1") -> None:
        self.network = network
        self.chance = random.Random(f"{seed} breaker")
        self.interface = interface
        self.places: dict[str, tuple[str, int]] = {}  # where each name listens now
        self.ways: dict[tuple[str, str], Way] = {}
        self.ports: dict[tuple[str, str], Any] = {}
        self.links: dict[_Link, None] = {}
        self.passed = self.lost = self.repeated = self.bytes = 0  # messages; bytes that passed

    def way(self, one: str, other: str) -> Way:
        return self.ways.setdefault((one, other), Way())

    def address(self, one: str, other: str) -> str:
        """Where `one` reaches `other`: the same port for as long as the breaker stands."""
        if (one, other) not in self.ports:
            accepts = _Accepts(self, one, other)
            self.ports[one, other] = self.network.listenTCP(0, accepts, interface=self.interface)
        return f"{self.interface}:{self.ports[one, other].getHost().port}"

    def is_at(self, name: str, host: str, port: int) -> None:
        """A gateway listens there from now on."""
        self.places[name] = (host, port)

    def set(self, some: Iterable[str], others: Iterable[str], both: bool = True, **state: Any) -> None:
        """Sets the ways from some names to others, and back with `both`. A link that lost bytes while it was
        cut ends when it is mended, as TCP would find out then.
        """
        others = list(others)
        for one in some:
            for other in others:
                if one == other:
                    continue
                for way in [self.way(one, other), *([self.way(other, one)] if both else [])]:
                    for name, value in state.items():
                        setattr(way, name, value)
        for link in list(self.links):
            if link.holed and not any(way.cut or way.keeps for way in (link.near.way, link.far.way)):
                link.end()

    def break_links(self, name: str) -> None:
        """Resets every link of one name, as a middlebox that starts anew."""
        for link in [each for each in self.links if name in each.names]:
            link.end()

    def close(self) -> None:
        for port in self.ports.values():
            port.stopListening()
        for link in list(self.links):
            link.end()
