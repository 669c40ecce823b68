"""A relay between gateways that injects network faults; each ordered pair of gateways has its own port.

It handles opaque bytes and knows only where a message ends: after a header line and the body whose size the
line's `body` gives. Faults apply to one direction, so a link can fail in a single direction.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import msgspec
from twisted.internet.protocol import ClientFactory, Factory, Protocol

from ochrecourse.common.runtime import Network

MAX_BUFFERED_BYTES = 8 << 20  # per end, to bound memory; a link that exceeds it is closed
MAX_HEADER_BYTES = 65_536  # a longer header line is forwarded as it is
DRIP_INTERVAL = 0.02  # s between two writes of a bandwidth-limited direction
CONNECT_TIMEOUT = 2.0  # s, for the connection to the far gateway


class _Header(msgspec.Struct):
    body: int = 0


_header = msgspec.json.Decoder(_Header)


class MessageSplitter:
    """Splits a stream into complete messages."""

    def __init__(self) -> None:
        self.data = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Adds received bytes and returns the messages that are complete."""
        self.data += data
        complete = []
        while (size := self._size()) and size <= len(self.data):
            complete.append(bytes(self.data[:size]))
            del self.data[:size]
        return complete

    def _size(self) -> int:
        """Size of the first message in bytes, 0 while its header line is incomplete."""
        header_size = self.data.find(b"\n") + 1
        if not header_size:
            return len(self.data) if len(self.data) > MAX_HEADER_BYTES else 0
        try:
            return header_size + max(0, _header.decode(self.data[:header_size]).body)
        except msgspec.MsgspecError:
            return header_size


@dataclass
class LinkFaults:
    """Faults of one direction, from one gateway to another.

    `cut` drops all bytes without closing the connection. `lose` and `repeat` are the shares of messages that
    are dropped or duplicated, `delay` is in s, `drip` limits the rate in bytes a second (0: unlimited), and
    `keeps` hides a closed connection from the other end.
    """

    cut: bool = False
    lose: float = 0.0
    repeat: float = 0.0
    delay: float = 0.0
    drip: int = 0
    keeps: bool = False


class _ProxyEnd(Protocol):
    """One of the two sockets of a link; `faults` apply to the bytes that it receives."""

    transport: Any

    def __init__(self, link: _ProxyLink, faults: LinkFaults) -> None:
        self.link = link
        self.faults = faults
        self.up = False
        self.messages = MessageSplitter()
        self.other: _ProxyEnd | None = None
        self.pending: list[bytes] = []  # messages received before the other end was connected
        self.last_send_at = 0.0  # time at which the last delayed message is sent; later ones keep the order
        self.drip_buffer = bytearray()

    def connectionMade(self) -> None:
        self.up = True
        self.transport.setTcpNoDelay(True)
        self.link.end_connected(self)

    def dataReceived(self, data: bytes) -> None:
        proxy = self.link.proxy
        if self.faults.cut:
            self.link.lost_bytes = True  # the stream is incomplete: the link is closed once the cut ends
            return
        for message in self.messages.feed(data):
            if self.faults.lose and proxy.random_source.random() < self.faults.lose:
                proxy.messages_lost += 1
                continue
            repeated = bool(self.faults.repeat) and proxy.random_source.random() < self.faults.repeat
            proxy.messages_repeated += repeated
            for _ in range(1 + repeated):
                self._forward(message)

    def _forward(self, message: bytes) -> None:
        clock = self.link.proxy.network
        proxy = self.link.proxy
        proxy.messages_forwarded += 1
        proxy.bytes += len(message)
        if self.faults.delay or self.last_send_at > clock.seconds():
            self.last_send_at = max(self.last_send_at, clock.seconds() + self.faults.delay)
            clock.callLater(self.last_send_at - clock.seconds(), self._send, message)
        else:
            self._send(message)

    def _send(self, message: bytes) -> None:
        if self.other is None or not self.other.up:
            self.pending.append(message)
        elif self.faults.drip or self.drip_buffer:
            if not self.drip_buffer:
                self.link.proxy.network.callLater(DRIP_INTERVAL, self._drip)
            self.drip_buffer += message
        else:
            self.other.transport.write(message)
        if sum(map(len, self.pending)) + len(self.drip_buffer) > MAX_BUFFERED_BYTES:
            self.link.close()

    def _drip(self) -> None:
        """Writes the next few bytes of a rate-limited direction."""
        size = max(1, round(self.faults.drip * DRIP_INTERVAL)) if self.faults.drip else len(self.drip_buffer)
        chunk = bytes(self.drip_buffer[:size])
        del self.drip_buffer[:size]
        if self.other is not None and self.other.up and not self.faults.cut:
            self.other.transport.write(chunk)
        if self.drip_buffer:
            self.link.proxy.network.callLater(DRIP_INTERVAL, self._drip)

    def connectionLost(self, reason: Any = None) -> None:
        self.up = False
        if self.faults.keeps or self.faults.cut:
            self.link.lost_bytes = True
        else:
            self.link.close()


class _ProxyLink:
    """One connection through the proxy."""

    def __init__(self, proxy: FaultProxy, near: str, far: str) -> None:
        self.proxy = proxy
        self.names = (near, far)
        self.lost_bytes = False
        self.near = _ProxyEnd(self, proxy.faults_between(near, far))
        self.far = _ProxyEnd(self, proxy.faults_between(far, near))

    def end_connected(self, proxy_end: _ProxyEnd) -> None:
        if proxy_end is self.near:
            self.proxy.links[self] = None
            if not self.near.faults.cut and not self.far.faults.cut:
                self._connect()  # while cut, the connection is accepted here and never answered
            else:
                self.lost_bytes = True
            return
        if not self.near.up:
            self.close()
            return
        self.near.other, self.far.other = self.far, self.near
        for each_end in (self.near, self.far):
            pending, each_end.pending = each_end.pending, []
            for message in pending:
                each_end._send(message)

    def _connect(self) -> None:
        address = self.proxy.addresses.get(self.names[1])
        if address is None:
            self.close()
        else:
            self.proxy.network.connectTCP(
                address[0], address[1], _ConnectFactory(self), timeout=CONNECT_TIMEOUT
            )

    def close(self) -> None:
        self.proxy.links.pop(self, None)
        for each_end in (self.near, self.far):
            if each_end.up:
                each_end.transport.abortConnection()


class _ConnectFactory(ClientFactory):
    noisy = False

    def __init__(self, link: _ProxyLink) -> None:
        self.link = link

    def buildProtocol(self, addr: Any) -> _ProxyEnd:
        return self.link.far

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.link.close()


class _ListenFactory(Factory):
    noisy = False

    def __init__(self, proxy: FaultProxy, near: str, far: str) -> None:
        self.proxy = proxy
        self.names = (near, far)

    def buildProtocol(self, addr: Any) -> _ProxyEnd:
        return _ProxyLink(self.proxy, *self.names).near


class FaultProxy:
    """Relays between gateways. A gateway connects to `address(own, other)` in place of the other's own
    address.
    """

    def __init__(self, network: Network, seed: int, interface: str = "127.0.0.1") -> None:
        self.network = network
        self.random_source = random.Random(f"{seed} breaker")
        self.interface = interface
        self.addresses: dict[str, tuple[str, int]] = {}  # current address of each name
        self.faults: dict[tuple[str, str], LinkFaults] = {}
        self.ports: dict[tuple[str, str], Any] = {}
        self.links: dict[_ProxyLink, None] = {}
        self.messages_forwarded = self.messages_lost = self.messages_repeated = self.bytes = 0

    def faults_between(self, source: str, target: str) -> LinkFaults:
        """The faults of the direction from `source` to `target`."""
        return self.faults.setdefault((source, target), LinkFaults())

    def address(self, source: str, target: str) -> str:
        """The address at which `source` reaches `target`; it stays the same until the proxy is closed."""
        if (source, target) not in self.ports:
            factory = _ListenFactory(self, source, target)
            self.ports[source, target] = self.network.listenTCP(0, factory, interface=self.interface)
        return f"{self.interface}:{self.ports[source, target].getHost().port}"

    def set_address(self, name: str, host: str, port: int) -> None:
        """Sets the address at which a gateway listens."""
        self.addresses[name] = (host, port)

    def set(self, sources: Iterable[str], targets: Iterable[str], both: bool = True, **state: Any) -> None:
        """Sets faults from the sources to the targets, and in the opposite direction with `both`.

        Once neither `cut` nor `keeps` is set, a link that lost bytes or an end meanwhile is closed, as TCP
        would detect the loss then.
        """
        targets = list(targets)
        for source in sources:
            for target in targets:
                if source == target:
                    continue
                for faults in [
                    self.faults_between(source, target),
                    *([self.faults_between(target, source)] if both else []),
                ]:
                    for name, value in state.items():
                        setattr(faults, name, value)
        for link in list(self.links):
            if link.lost_bytes and not any(
                faults.cut or faults.keeps for faults in (link.near.faults, link.far.faults)
            ):
                link.close()

    def reset_links(self, name: str) -> None:
        """Resets all links of one gateway, as a restarting middlebox does."""
        for link in [each for each in self.links if name in each.names]:
            link.close()

    def close(self) -> None:
        """Closes the ports and all links."""
        for port in self.ports.values():
            port.stopListening()
        for link in list(self.links):
            link.close()
