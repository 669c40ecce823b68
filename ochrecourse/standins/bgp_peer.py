"""A BGP peer for tests, written from the RFCs; it shares no code with the speaker's codec.

It records each route change with its time, and can be set to misbehave: to send no OPEN or no keepalives, or
to send arbitrary bytes. Tests also act on the transport of a connection, for instance to reset it or to stop
reading. OPEN, KEEPALIVE, UPDATE and NOTIFICATION are implemented as far as the tests need them.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from twisted.internet.protocol import ClientFactory, Protocol, ServerFactory

from ochrecourse.common.runtime import Network, Timer, stop

MARKER = b"\xff" * 16


def frame(message_type: int, body: bytes = b"") -> bytes:
    """Encodes one message (RFC 4271 section 4.1)."""
    return MARKER + (19 + len(body)).to_bytes(2, "big") + bytes((message_type,)) + body


def encode_u16(value: int) -> bytes:
    """Encodes a 16-bit unsigned integer in network byte order."""
    return value.to_bytes(2, "big")


@dataclass
class RouteChange:
    """One announcement or withdrawal received by the peer; `attributes` is empty for a withdrawal."""

    at: float
    prefix: str
    attributes: dict[str, Any] = field(default_factory=dict)


class PeerConnection(Protocol):
    """One connection with a speaker."""

    transport: Any

    def __init__(self, peer: StandInPeer) -> None:
        self.peer = peer
        self.data = b""
        self.established = False
        self.message_types: list[int] = []
        self.notifications: list[tuple[int, int, bytes]] = []
        self.lost = False
        self.keepalive_timer: Timer | None = None
        self.hold_timer: Timer | None = None
        self.four_octet_as = False
        self.received_bytes = 0

    def connectionMade(self) -> None:
        """Sends OPEN, unless the peer is mute."""
        self.peer.connections.append(self)
        if self.peer.mute:
            return
        self.send_open()

    def send_open(self) -> None:
        """Sends an OPEN message with the peer's address families and four-octet AS number."""
        families = b"".join(b"\x01\x04" + encode_u16(family) + b"\x00\x01" for family in self.peer.families)
        capabilities = families + b"\x02\x00" + b"\x41\x04" + self.peer.asn.to_bytes(4, "big")
        parameters = b"\x02" + bytes((len(capabilities),)) + capabilities
        two_octet_asn = self.peer.asn if self.peer.asn < 65536 else 23456
        identifier = ipaddress.IPv4Address(self.peer.identifier).packed
        body = (
            b"\x04"
            + encode_u16(two_octet_asn)
            + encode_u16(self.peer.hold_time)
            + identifier
            + bytes((len(parameters),))
            + parameters
        )
        self.transport.write(self.peer.open_bytes or frame(1, body))

    def dataReceived(self, data: bytes) -> None:
        """Splits the stream into messages and handles each."""
        self.data += data
        self.received_bytes += len(data)
        while len(self.data) >= 19:
            size = int.from_bytes(self.data[16:18], "big")
            if len(self.data) < size:
                return
            message_type, body, self.data = self.data[18], self.data[19:size], self.data[size:]
            self.message_types.append(message_type)
            self.handle_message(message_type, body)

    def handle_message(self, message_type: int, body: bytes) -> None:
        """Handles one message; the first KEEPALIVE establishes the session."""
        self._restart_hold_timer()
        if message_type == 1:
            self.four_octet_as = b"\x41\x04" in body[10:]
            if not self.peer.mute:
                self.transport.write(frame(4))
                self._schedule_keepalive()
        elif message_type == 4 and not self.established:
            self.established = True
            self.peer.session_established(self)
        elif message_type == 2:
            self.handle_update(body)
        elif message_type == 3:
            self.notifications.append((body[0], body[1], body[2:]))

    def handle_update(self, body: bytes) -> None:
        """Applies the withdrawals and announcements of an UPDATE message to the peer's table."""
        withdrawn_size = int.from_bytes(body[:2], "big")
        size = int.from_bytes(body[2 + withdrawn_size : 4 + withdrawn_size], "big")
        raw_attributes = body[4 + withdrawn_size : 4 + withdrawn_size + size]
        for prefix in self.decode_prefixes(body[2 : 2 + withdrawn_size], 4):
            self.peer.withdraw_route(self, prefix)
        attributes: dict[str, Any] = {}
        announced_ipv6: list[str] = []
        while raw_attributes:
            header_size = 4 if raw_attributes[0] & 0x10 else 3
            length = int.from_bytes(raw_attributes[2:header_size], "big")
            code, value, raw_attributes = (
                raw_attributes[1],
                raw_attributes[header_size : header_size + length],
                raw_attributes[header_size + length :],
            )
            if code == 14:
                attributes["next_hop"] = str(ipaddress.IPv6Address(value[4:20]))
                announced_ipv6 = self.decode_prefixes(value[5 + value[3] :], 6)
            elif code == 15:
                for prefix in self.decode_prefixes(value[3:], 6):
                    self.peer.withdraw_route(self, prefix)
            else:
                self.decode_attribute(code, value, attributes)
        for prefix in [*self.decode_prefixes(body[4 + withdrawn_size + size :], 4), *announced_ipv6]:
            self.peer.add_route(self, prefix, attributes)

    def decode_attribute(self, code: int, value: bytes, attributes: dict[str, Any]) -> None:
        """Decodes one path attribute into `attributes`; unknown types are ignored."""
        if code == 2 and value:
            width = 4 if self.four_octet_as else 2
            attributes["as_path"] = [
                int.from_bytes(value[i : i + width], "big") for i in range(2, len(value), width)
            ]
        elif code == 3:
            attributes["next_hop"] = str(ipaddress.IPv4Address(value))
        elif code == 4:
            attributes["med"] = int.from_bytes(value, "big")
        elif code == 5:
            attributes["local_preference"] = int.from_bytes(value, "big")
        elif code == 8:
            attributes["communities"] = [
                f"{int.from_bytes(value[i : i + 2], 'big')}:{int.from_bytes(value[i + 2 : i + 4], 'big')}"
                for i in range(0, len(value), 4)
            ]

    def decode_prefixes(self, data: bytes, version: int) -> list[str]:
        """Decodes a list of prefixes, given the IP version."""
        decoded = []
        while data:
            bits = data[0]
            size = -(-bits // 8)
            packed = data[1 : 1 + size] + bytes((4 if version == 4 else 16) - size)
            address = ipaddress.IPv4Address(packed) if version == 4 else ipaddress.IPv6Address(packed)
            decoded.append(f"{address}/{bits}")
            data = data[1 + size :]
        return decoded

    def _schedule_keepalive(self) -> None:
        if not self.lost and self.peer.hold_time and not self.peer.silent:
            self.keepalive_timer = self.peer.network.callLater(self.peer.hold_time / 3, self._send_keepalive)

    def _send_keepalive(self) -> None:
        if not self.lost and not self.peer.silent:
            self.transport.write(frame(4))
            self._schedule_keepalive()

    def _restart_hold_timer(self) -> None:
        stop(self.hold_timer)
        if self.peer.hold_time and not self.peer.mute:
            self.hold_timer = self.peer.network.callLater(self.peer.hold_time, self._hold_timer_expired)

    def _hold_timer_expired(self) -> None:
        self.transport.write(frame(3, b"\x04\x00"))
        self.transport.abortConnection()

    def connectionLost(self, reason: Any = None) -> None:
        """Stops the timers and removes the routes of this connection."""
        self.lost = True
        stop(self.keepalive_timer)
        stop(self.hold_timer)
        self.peer.session_ended(self)


class StandInPeer:
    """A BGP peer with a table of the announced routes and a history of changes."""

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
        self.mute = False  # accepts connections but sends no OPEN
        self.silent = False  # sends no KEEPALIVE
        self.open_bytes = b""  # sent in place of the OPEN message
        self.on_change: Callable[[str, dict[str, Any] | None], None] = lambda prefix, attributes: None
        self.on_up: Callable[[PeerConnection], None] = lambda connection: None
        self.connections: list[PeerConnection] = []
        self.table: dict[str, tuple[PeerConnection, dict[str, Any]]] = {}
        self.changes: list[RouteChange] = []
        self.sessions = 0
        peer = self

        class ListeningFactory(ServerFactory):
            noisy = False

            def buildProtocol(self, addr: Any) -> PeerConnection:
                return PeerConnection(peer)

        self.listening = network.listenTCP(0, ListeningFactory(), interface=interface)
        self.port: int = self.listening.getHost().port

    def connect(self, host: str, port: int) -> None:
        """Opens a connection to a listening speaker."""
        peer = self

        class ConnectingFactory(ClientFactory):
            noisy = False

            def buildProtocol(self, addr: Any) -> PeerConnection:
                return PeerConnection(peer)

        self.network.connectTCP(host, port, ConnectingFactory(), timeout=5)

    def session_established(self, connection: PeerConnection) -> None:
        """Counts an established session and calls `on_up`."""
        self.sessions += 1
        self.on_up(connection)

    def add_route(self, connection: PeerConnection, prefix: str, attributes: dict[str, Any]) -> None:
        """Adds or replaces a route and records the change."""
        self.table[prefix] = (connection, attributes)
        self.changes.append(RouteChange(self.network.seconds(), prefix, dict(attributes)))
        self.on_change(prefix, attributes)

    def withdraw_route(self, connection: PeerConnection, prefix: str) -> None:
        """Removes a route, if there is one, and records the change."""
        if self.table.pop(prefix, None) is not None:
            self.changes.append(RouteChange(self.network.seconds(), prefix))
            self.on_change(prefix, None)

    def session_ended(self, connection: PeerConnection) -> None:
        """Removes all routes that were learned over a connection (RFC 4271 section 8.2.2)."""
        for prefix in [prefix for prefix, (owner, _) in self.table.items() if owner is connection]:
            self.withdraw_route(connection, prefix)
