"""The links of one member: opened, accepted, greeted, checked and closed.

There is at most one link to each peer. `mesh` decides which peers are linked.
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

CONNECT_TIMEOUT_S = 2.0  # a host that is down does not refuse the connection
MAX_UNGREETED_LINKS = 64  # accepted connections without a hello; more are rejected


class LinkTraffic(NamedTuple):
    """Frames and bytes of links."""

    frames_in: int = 0
    frames_out: int = 0
    bytes_in: int = 0
    bytes_out: int = 0

    def plus(self, link: Link) -> LinkTraffic:
        """The sum of this and the traffic of a link."""
        return LinkTraffic(
            self.frames_in + link.exchange.frames_in,
            self.frames_out + link.frames_out,
            self.bytes_in + link.exchange.bytes_in,
            self.bytes_out + link.bytes_out,
        )


@dataclass(frozen=True)
class LinkContext:
    """What a member provides to its links. `wall_ms`: ms since 1970. `on_pumped` is called after sending."""

    network: Network
    common: ExchangeContext
    addresses: PeerAddresses
    wall_ms: Callable[[], int]
    operator_log: OperatorLog
    on_pumped: Callable[[], None]


class PeerLinks:
    """All links of one member, and by peer those that received a hello; implements `link.LinkOwner`.

    `links` is in order of creation, so runs are reproducible. `peer_errors`: protocol violations by code.
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
        """The traffic of all links since the start."""
        total = self._closed_traffic
        for link in self.links:
            total = total.plus(link)
        return total

    def close_all(self, close: Callable[[Link], None]) -> None:
        """Calls `close` with each link."""
        for link in list(self.links):
            close(link)

    # --- sending ---

    def pump_all(self) -> None:
        """Sends on all links what may be sent. The first one rotates, as all share one budget."""
        links = list(self.links)
        first = self._pump_rotation % max(1, len(links))
        for link in links[first:] + links[:first]:
            link.pump()
        self.on_pumped()

    def rotate(self) -> None:
        """Makes the next link the first to be pumped."""
        self._pump_rotation += 1

    def beat(self, now: int, stale: set[str]) -> None:
        """A heartbeat interval has passed; `stale`: gateways whose heartbeats are overdue."""
        for link in list(self.links):
            link.exchange.beat_passed(now, stale)

    # --- link.LinkOwner ---

    def greeted(self, link: Link) -> str:
        """A peer sent its hello; returns why the link is rejected, or an empty text.

        A pair has one link: that of a newer incarnation replaces an older one's. Of two links opened at the
        same time, the one that the gateway with the lower name opened is kept.
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
        """A frame was processed; `entries` are new here."""
        if entries:
            self.pump_all()
        else:
            link.pump()
            self.on_pumped()

    def ended(self, link: Link, reason: str, violation: PeerProtocolError | None) -> None:
        """A link has ended; `violation`: the protocol violation of the peer that ended it, if any."""
        self.links.pop(link, None)
        exchange, now = link.exchange, now_ns(self.network)
        self._closed_traffic = self._closed_traffic.plus(link)
        name = exchange.peer
        is_blamed = exchange.is_blamed or (violation is not None and violation.code not in NO_PENALTY_CODES)
        if violation is not None:
            self._count_peer_error(name or "unnamed", violation)
        self._forget_source(exchange)
        if self.by_peer.get(name) is link:
            del self.by_peer[name]
            if violation is None and not self.stopped:
                self.operator_log.write("fleet link down", peer=name, why=reason)
            self.mesh.link_lost(name, now, is_blamed)
        elif name and name not in self.by_peer and (link.dialled or is_blamed):
            self.mesh.link_lost(name, now, is_blamed)

    def _count_peer_error(self, peer: str, violation: PeerProtocolError) -> None:
        self.peer_errors[violation.code] += 1
        self.operator_log.write_once_per_beat(peer, "fleet link refused", peer=peer, why=str(violation))

    def _forget_source(self, exchange: Exchange) -> None:
        """Asks other peers to relay the heartbeats that this link relayed."""
        orphans = [name for name, source in self.common.sources.items() if source is exchange]
        for name in orphans:
            del self.common.sources[name]
        if orphans:
            for other in self.links:
                other.exchange.source_lost(orphans)

    # --- opening ---

    def accept(self) -> Link | None:
        """Makes the link of an accepted connection; None rejects it."""
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
        """Closes links that failed or are not needed, and opens those that are missing."""
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
            link.fail(PeerProtocolError(FORMAT_VERSION, mismatch))  # it was raised while the link was up
        elif exchange.is_silent(now) and link.has_partial_frame():
            text = f"a frame that was begun was not whole after {self.common.silence_timeout / SECOND:g} s"
            link.fail(PeerProtocolError(SLOW, text))
        elif exchange.is_silent(now):
            # Guards against half-open connections: the peer may have vanished without a close.
            link.abort("nothing was heard for too long")


def _hello(link: Link) -> Hello:
    assert link.exchange.hello is not None
    return link.exchange.hello
