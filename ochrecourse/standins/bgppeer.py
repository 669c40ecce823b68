"""A BGP peer of our own, written from the RFCs and sharing nothing with the speaker's codec.

It records when it was told of which address and how, and can be told to misbehave: go silent, never read,
reset after the session is up, send any bytes. It speaks just enough: OPEN, KEEPALIVE, UPDATE as they come,
NOTIFICATION.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from twisted.internet.protocol import ClientFactory, Protocol, ServerFactory

from ochrecourse.common.runtime import Network, Timer, stop

FRAME = b"\xff" * 16


def frame(kind: int, body: bytes = b"") -> bytes:
    """One message (RFC 4271 4.1)."""
    return FRAME + (19 + len(body)).to_bytes(2, "big") + bytes((kind,)) + body


def u16(value: int) -> bytes:
    return value.to_bytes(2, "big")


@dataclass
class Told:
    """One change that this peer was told of; `said` is empty for a withdrawal."""

    at: float
    prefix: str
    said: dict[str, Any] = field(default_factory=dict)


class PeerEnd(Protocol):
    """One connection with a speaker."""

    transport: Any

    def __init__(self, peer: StandInPeer) -> None:
        self.peer = peer
        self.data = b""
        self.established = False
        self.kinds: list[int] = []
        self.notes: list[tuple[int, int, bytes]] = []
        self.lost = False
        self.alive: Timer | None = None
        self.hold: Timer | None = None
        self.four = False
        self.got = 0

    def connectionMade(self) -> None:
        self.peer.ends.append(self)
        if self.peer.mute:
            return
        self.say_open()

    def say_open(self) -> None:
        families = b"".join(b"\x01\x04" + u16(family) + b"\x00\x01" for family in self.peer.families)
        capabilities = families + b"\x02\x00" + b"\x41\x04" + self.peer.asn.to_bytes(4, "big")
        parameters = b"\x02" + bytes((len(capabilities),)) + capabilities
        two = self.peer.asn if self.peer.asn < 65536 else 23456
        identifier = ipaddress.IPv4Address(self.peer.identifier).packed
        body = (
            b"\x04"
            + u16(two)
            + u16(self.peer.hold_time)
            + identifier
            + bytes((len(parameters),))
            + parameters
        )
        self.transport.write(self.peer.open_bytes or frame(1, body))

    def dataReceived(self, data: bytes) -> None:
        self.data += data
        self.got += len(data)
        while len(self.data) >= 19:
            size = int.from_bytes(self.data[16:18], "big")
            if len(self.data) < size:
                return
            kind, body, self.data = self.data[18], self.data[19:size], self.data[size:]
            self.kinds.append(kind)
            self.message(kind, body)

    def message(self, kind: int, body: bytes) -> None:
        self._hold_again()
        if kind == 1:
            self.four = b"\x41\x04" in body[10:]
            if not self.peer.mute:
                self.transport.write(frame(4))
                self._keep_alive()
        elif kind == 4 and not self.established:
            self.established = True
            self.peer.up(self)
        elif kind == 2:
            self.update(body)
        elif kind == 3:
            self.notes.append((body[0], body[1], body[2:]))

    def update(self, body: bytes) -> None:
        gone = int.from_bytes(body[:2], "big")
        size = int.from_bytes(body[2 + gone : 4 + gone], "big")
        attributes = body[4 + gone : 4 + gone + size]
        for prefix in self.prefixes(body[2 : 2 + gone], 4):
            self.peer.lose(self, prefix)
        said: dict[str, Any] = {}
        new6: list[str] = []
        while attributes:
            head = 4 if attributes[0] & 0x10 else 3
            length = int.from_bytes(attributes[2:head], "big")
            code, value, attributes = (
                attributes[1],
                attributes[head : head + length],
                attributes[head + length :],
            )
            if code == 14:
                said["next_hop"] = str(ipaddress.IPv6Address(value[4:20]))
                new6 = self.prefixes(value[5 + value[3] :], 6)
            elif code == 15:
                for prefix in self.prefixes(value[3:], 6):
                    self.peer.lose(self, prefix)
            else:
                self.attribute(code, value, said)
        for prefix in [*self.prefixes(body[4 + gone + size :], 4), *new6]:
            self.peer.gain(self, prefix, said)

    def attribute(self, code: int, value: bytes, said: dict[str, Any]) -> None:
        if code == 2 and value:
            width = 4 if self.four else 2
            said["as_path"] = [
                int.from_bytes(value[i : i + width], "big") for i in range(2, len(value), width)
            ]
        elif code == 3:
            said["next_hop"] = str(ipaddress.IPv4Address(value))
        elif code == 4:
            said["med"] = int.from_bytes(value, "big")
        elif code == 5:
            said["local_preference"] = int.from_bytes(value, "big")
        elif code == 8:
            said["communities"] = [
                f"{int.from_bytes(value[i : i + 2], 'big')}:{int.from_bytes(value[i + 2 : i + 4], 'big')}"
                for i in range(0, len(value), 4)
            ]

    def prefixes(self, data: bytes, version: int) -> list[str]:
        found = []
        while data:
            bits = data[0]
            size = -(-bits // 8)
            packed = data[1 : 1 + size] + bytes((4 if version == 4 else 16) - size)
            address = ipaddress.IPv4Address(packed) if version == 4 else ipaddress.IPv6Address(packed)
            found.append(f"{address}/{bits}")
            data = data[1 + size :]
        return found

    def _keep_alive(self) -> None:
        if not self.lost and self.peer.hold_time and not self.peer.silent:
            self.alive = self.peer.network.callLater(self.peer.hold_time / 3, self._say_alive)

    def _say_alive(self) -> None:
        if not self.lost and not self.peer.silent:
            self.transport.write(frame(4))
            self._keep_alive()

    def _hold_again(self) -> None:
        stop(self.hold)
        if self.peer.hold_time and not self.peer.mute:
            self.hold = self.peer.network.callLater(self.peer.hold_time, self._held_too_long)

    def _held_too_long(self) -> None:
        self.transport.write(frame(3, b"\x04\x00"))
        self.transport.abortConnection()

    def connectionLost(self, reason: Any = None) -> None:
        self.lost = True
        stop(self.alive)
        stop(self.hold)
        self.peer.down(self)


class StandInPeer:
    """One peer: its table of what is announced to it, and every change with its time."""

    def __init__(
        self,
        network: Network,
        asn: int = 64600,
        identifier: str = "10.0.0.9",
        hold_time: int = 9,
        interface: str = "127.0.0.1",
    ) -> None:
        self.network = network
        self.asn = asn
        self.identifier = identifier
        self.hold_time = hold_time
        self.families = [1, 2]
        self.mute = False  # accepts and says nothing
        self.silent = False  # sends no keepalives
        self.open_bytes = b""  # sent in place of its OPEN
        self.on_change: Callable[[str, dict[str, Any] | None], None] = lambda prefix, said: None
        self.on_up: Callable[[PeerEnd], None] = lambda end: None
        self.ends: list[PeerEnd] = []
        self.table: dict[str, tuple[PeerEnd, dict[str, Any]]] = {}
        self.changes: list[Told] = []
        self.sessions = 0
        peer = self

        class Ports(ServerFactory):
            noisy = False

            def buildProtocol(self, addr: Any) -> PeerEnd:
                return PeerEnd(peer)

        self.listening = network.listenTCP(0, Ports(), interface=interface)
        self.port: int = self.listening.getHost().port

    def dial(self, host: str, port: int) -> None:
        """Opens a connection to a speaker that listens."""
        peer = self

        class Out(ClientFactory):
            noisy = False

            def buildProtocol(self, addr: Any) -> PeerEnd:
                return PeerEnd(peer)

        self.network.connectTCP(host, port, Out(), timeout=5)

    def up(self, end: PeerEnd) -> None:
        self.sessions += 1
        self.on_up(end)

    def gain(self, end: PeerEnd, prefix: str, said: dict[str, Any]) -> None:
        self.table[prefix] = (end, said)
        self.changes.append(Told(self.network.seconds(), prefix, dict(said)))
        self.on_change(prefix, said)

    def lose(self, end: PeerEnd, prefix: str) -> None:
        if self.table.pop(prefix, None) is not None:
            self.changes.append(Told(self.network.seconds(), prefix))
            self.on_change(prefix, None)

    def down(self, end: PeerEnd) -> None:
        """A session that ends takes its routes with it (RFC 4271 8.2.2)."""
        for prefix in [prefix for prefix, (by, _) in self.table.items() if by is end]:
            self.lose(end, prefix)
