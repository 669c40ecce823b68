"""The links of one member: opened, accepted, greeted, checked and closed.

There is one link to a peer at the most. Which peers are linked is decided in `mesh`.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from ochrecourse.common.runtime import Network, now_ns
from ochrecourse.common.time_units import SECOND
from ochrecourse.fleet.entries import Entry
from ochrecourse.fleet.exchange import Exchange
from ochrecourse.fleet.link import PeerDialer, Link
from ochrecourse.fleet.mesh import Mesh
from ochrecourse.fleet.messages import FORMAT_VERSION, NO_PENALTY_CODES, SLOW, PeerProtocolError, Hello
from ochrecourse.fleet.operator_log import OperatorLog
from ochrecourse.fleet.peer_addresses import PeerAddresses
from ochrecourse.fleet.exchange_context import ExchangeContext

CONNECT_TIMEOUT_S = 2.0  # a host that is gone does not refuse
MAX_UNGREETED_LINKS = 64  # connections accepted whose peer has not introduced itself; more are rejected


class LinkTraffic(NamedTuple):
    """Frames and bytes of links."""

    frames_in: int = 0
    frames_out: int = 0
    bytes_in: int = 0
    bytes_out: int = 0

    def plus(self, link: Link) -> LinkTraffic:
        """With those of a link added."""
        return LinkTraffic(
            self.frames_in + link.exchange.frames_in,
            self.frames_out + link.frames_out,
            self.bytes_in + link.exchange.bytes_in,
            self.bytes_out + link.bytes_out,
        )


@dataclass(frozen=True)
class LinkContext:
    """What a member gives to its links. `wall_ms`: ms since 1970. `on_pumped` is called after sending."""

    network: Network
    common: ExchangeContext
    addresses: PeerAddresses
    wall_ms: Callable[[], int]
    operator_log: OperatorLog
    on_pumped: Callable[[], None]


class PeerLinks:
    """All links of one member, and those by peer that were greeted; it implements `link.LinkOwner`.

    `links` is in order of creation: the same run, the same order. `peer_errors`: mistakes of peers by code.
    """

    def __init__(self, context: LinkContext, mesh: Mesh, peer_errors: Counter[str]) -> None:
        self.network = context.network
        self.common = context.common
        self.members = context.common.members
        self.addresses = context.addresses
        self.wall_ms = context.wall_ms
        self.operator_log = context.operator_log
        self.on_pumped = context.on_pumped
        self.mesh = mesh
        self.links: dict[Link, None] = {}
        self.by_peer: dict[str, Link] = {}
        self.peer_errors = peer_errors
        self.rejected_connections = 0
        self.stopped = False
        self._closed_traffic = LinkTraffic()
        self._pump_rotation = 0

    def traffic(self) -> LinkTraffic:
        """Of all links since the start."""
        total = self._closed_traffic
        for link in self.links:
            total = total.plus(link)
        return total

    def close_all(self, close: Callable[[Link], None]) -> None:
        """Closes all links."""
        for link in list(self.links):
            close(link)

    # --- sending ---

    def pump_all(self) -> None:
        """Sends on all links what may be sent. Each is the first in its turn: the rate is for all of them."""
        links = list(self.links)
        first = self._pump_rotation % max(1, len(links))
        for link in links[first:] + links[:first]:
            link.pump()
        self.on_pumped()

    def rotate(self) -> None:
        """The next link is the first to be pumped."""
        self._pump_rotation += 1

    def beat(self, now: int, stale: set[str]) -> None:
        """A beat has passed; `stale`: gateways of which nothing was received lately."""
        for link in list(self.links):
            link.exchange.beat_passed(now, stale)

    # --- link.LinkOwner ---

    def greeted(self, link: Link) -> str:
        """A peer introduced itself; returns why the link is not wanted, or an empty text.

        One link a pair: that of a new incarnation replaces an old one's; of two at once the one that the
        lower name opened stays.
        """
        name, now = link.exchange.peer, now_ns(self.network)
        hello = _hello(link)
        if self.mesh.is_penalized(name, now):
            return "a mistake that ended a link lately"
        previous = self.by_peer.get(name)
        if previous is not None and previous is not link:
            if not self._replaces(link, previous):
                return "another link to this gateway stands"
            previous.close("a newer link took its place")
        self.by_peer[name] = link
        self.mesh.link_up(name, link.dialled, now)
        self.operator_log.write("fleet link up", peer=name, life=hello.incarnation, dialled=link.dialled)
        return ""

    def _replaces(self, link: Link, previous: Link) -> bool:
        is_newer = _hello(link).incarnation > _hello(previous).incarnation
        is_preferred = link.dialled == (self.members.name < link.exchange.peer)
        return is_newer or previous.dialled == link.dialled or is_preferred

    def frame_received(self, link: Link, entries: list[Entry]) -> None:
        """A frame was received; `entries` are new here."""
        if entries:
            self.pump_all()
        else:
            link.pump()
            self.on_pumped()

    def ended(self, link: Link, why: str, mistake: PeerProtocolError | None) -> None:
        """A link is gone; `mistake`: what the peer did wrong, if that ended it."""
        self.links.pop(link, None)
        exchange, now = link.exchange, now_ns(self.network)
        self._closed_traffic = self._closed_traffic.plus(link)
        name = exchange.peer
        is_blamed = exchange.is_blamed or (mistake is not None and mistake.code not in NO_PENALTY_CODES)
        if mistake is not None:
            self._count_peer_error(name or "unnamed", mistake)
        self._forget_source(exchange)
        if self.by_peer.get(name) is link:
            del self.by_peer[name]
            if mistake is None and not self.stopped:
                self.operator_log.write("fleet link down", peer=name, why=why)
            self.mesh.link_lost(name, now, is_blamed)
        elif name and name not in self.by_peer and (link.dialled or is_blamed):
            self.mesh.link_lost(name, now, is_blamed)

    def _count_peer_error(self, peer: str, mistake: PeerProtocolError) -> None:
        self.peer_errors[mistake.code] += 1
        self.operator_log.write_once_per_beat(peer, "fleet link refused", peer=peer, why=str(mistake))

    def _forget_source(self, exchange: Exchange) -> None:
        """Gateways whose heartbeats came by this link are no longer received by it."""
        orphans = [name for name, source in self.common.sources.items() if source is exchange]
        for name in orphans:
            del self.common.sources[name]
        if orphans:
            for other in self.links:
                other.exchange.source_lost(orphans)

    # --- opening ---

    def accept(self) -> Link | None:
        """A link for a connection that was accepted; None rejects it."""
        ungreeted = sum(1 for link in self.links if link.exchange.hello is None and not link.dialled)
        if self.stopped or ungreeted >= MAX_UNGREETED_LINKS:
            self.rejected_connections += 1
            return None
        return self._make_link("")

    def _make_link(self, peer: str) -> Link:
        exchange = Exchange(self.common, peer, now_ns(self.network))
        link = Link(self.network, exchange, self, self.wall_ms, bool(peer))
        self.links[link] = None
        return link

    def _connect(self, name: str) -> None:
        host, port = self.addresses.by_name[name]
        if not port:  # it has not registered yet
            self._connect_failed(name)
            return
        dial = PeerDialer(lambda: self._make_link(name), lambda: self._connect_failed(name))
        self.network.connectTCP(host, port, dial, timeout=CONNECT_TIMEOUT_S)

    def _connect_failed(self, name: str) -> None:
        self.mesh.link_lost(name, now_ns(self.network))

    # --- checking ---

    def check(self, now: int) -> None:
        """Closes links that failed or are spare, and opens those that are missing."""
        for link in list(self.links):
            self._check_link(link, now)
        while (name := self.mesh.next_to_dial(now)) is not None:
            self._connect(name)
        while (name := self.mesh.next_spare(now)) is not None:
            if name in self.by_peer:
                self.by_peer[name].close("no longer needed")

    def _check_link(self, link: Link, now: int) -> None:
        exchange = link.exchange
        if exchange.hello is None and now - exchange.started_at > self.common.silence_timeout:
            link.abort("no hello came in time")
        elif exchange.hello is not None and (
            mismatch := self.common.format_versions.mismatch(exchange.peer_versions)
        ):
            link.fail(PeerProtocolError(FORMAT_VERSION, mismatch))  # a form was raised while the link stood
        elif exchange.is_silent(now) and link.has_partial_frame():
            text = f"a frame that was begun was not whole after {self.common.silence_timeout / SECOND:g} s"
            link.fail(PeerProtocolError(SLOW, text))
        elif exchange.is_silent(now):
            # Guards against half-open connections: the peer may be gone without a close.
            link.abort("nothing was heard for too long")


def _hello(link: Link) -> Hello:
    assert link.exchange.hello is not None
    return link.exchange.hello
