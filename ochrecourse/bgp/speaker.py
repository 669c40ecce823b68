"""The speaker: peers' connections over TCP, and the addresses that go by the gateway's fitness.

It lives on the gateway's own loop, timers and all: when that stands still, so does every keepalive, and the
peers' hold timers take the addresses away. What to say is decided in session.py and fitness.py; this module
moves bytes.
"""

from __future__ import annotations

import contextlib
import random
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import ClientFactory, Factory, Protocol
from zope.interface import implementer

from ochrecourse.bgp import codec
from ochrecourse.bgp.codec import Attributes
from ochrecourse.bgp.fitness import Drain, Fitness, Sight, Stage, Standing
from ochrecourse.bgp.session import Dial, Drop, Peer, PeerFigures, Say
from ochrecourse.bgp.setup import AddressSetup, PeerSetup, SpeakerSetup
from ochrecourse.common.event_loop_lag import EventLoopLag
from ochrecourse.common.runtime import Network, Timer, now_ns, stop
from ochrecourse.common.time_units import SECOND

LOOK = (
    0.1  # s between looks at the gateway; a tenth of the second in which a loss of service is to be withdrawn
)
LATE_SPAN = 2 * SECOND  # ns for which a loop that was late counts
LAST_WORDS = 2.0  # s for a NOTIFICATION to leave; after that the connection is cut
IP_MINTTL = 21  # Linux; Python's socket module has no name for it


@dataclass
class ServiceAddress:
    """A service address and its fitness."""

    setup: AddressSetup
    fitness: Fitness


@implementer(IPushProducer)
class BgpLink(Protocol):
    """One connection with a peer."""

    transport: Any
    number: int | None = None

    def __init__(self, held: HeldPeer, outgoing: bool) -> None:
        self.held = held
        self.outgoing = outgoing
        self.up = False

    def connectionMade(self) -> None:
        self.up = True
        self.held.made(self)

    def dataReceived(self, data: bytes) -> None:
        if self.number is not None:
            self.held.peer.received(self.number, data, self.held.speaker.now())
            self.held.speaker.pull()

    def connectionLost(self, reason: Any = None) -> None:
        self.up = False
        if self.number is not None:
            self.held.links.pop(self.number, None)
            self.held.peer.closed(self.number, self.held.speaker.now())
            self.held.speaker.pull()

    def pauseProducing(self) -> None:
        if self.number is not None:
            self.held.peer.blocked(self.number, True)

    def resumeProducing(self) -> None:
        if self.number is not None:
            self.held.peer.blocked(self.number, False)
            self.held.speaker.pull()

    def stopProducing(self) -> None:
        """The transport is going away; `connectionLost` tells."""


class HeldPeer(ClientFactory):
    """A peer's session and its connections."""

    noisy = False

    def __init__(self, speaker: Speaker, setup: PeerSetup) -> None:
        self.speaker = speaker
        self.setup = setup
        chance = random.Random(f"{speaker.seed} {setup.figures.name}")
        self.peer = Peer(setup.figures, lambda: chance.uniform(0.75, 1.0), speaker.now())
        self.links: dict[int, BgpLink] = {}
        self.state = self.peer.state

    def buildProtocol(self, addr: Any) -> BgpLink:
        return BgpLink(self, True)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.peer.dial_failed(self.speaker.now(), f"the dial failed: {reason.getErrorMessage()}")
        self.speaker.pull()

    def made(self, link: BgpLink) -> None:
        now = self.speaker.now()
        number = self.peer.dialled(now) if link.outgoing else self.peer.came_in(now)
        if number is None:
            link.transport.abortConnection()
            return
        link.number = number
        self.links[number] = link
        if self.setup.ttl_security:
            guard_ttl(link.transport)
        link.transport.registerProducer(link, True)
        self.speaker.pull()

    def do(self, step: Dial | Say | Drop) -> None:
        if isinstance(step, Dial):
            wait = self.setup.figures.connect_retry / SECOND
            self.speaker.network.connectTCP(self.setup.host, self.setup.port, self, timeout=wait)
            return
        link = self.links.get(step.link)
        if link is None:
            return
        if isinstance(step, Say):
            link.transport.write(step.data)
        else:
            del self.links[step.link]
            link.number = None
            link.transport.unregisterProducer()
            link.transport.loseConnection()
            # Guards against a peer that never reads: what it left unread would keep the connection for ever.
            self.speaker.network.callLater(LAST_WORDS, lambda: link.up and link.transport.abortConnection())


class _Door(Factory):
    """Takes connections from peers, told apart by their address."""

    noisy = False

    def __init__(self, speaker: Speaker) -> None:
        self.speaker = speaker

    def buildProtocol(self, addr: Any) -> BgpLink | None:
        for held in self.speaker.peers:
            if held.setup.host == addr.host:
                return BgpLink(held, False)
        return None


class Speaker:
    """All peers and addresses of one gateway.

    `sight` tells what the gateway sees of itself, `leave` starts its own way out when the drain comes to
    that, `jobs` is what it still holds, `told` hears of every change in words.
    """

    def __init__(
        self,
        network: Network,
        setup: SpeakerSetup,
        sight: Callable[[], Sight],
        leave: Callable[[], None],
        jobs: Callable[[], int],
        told: Callable[..., None],
        seed: int,
    ) -> None:
        self.network = network
        self.seed = seed
        self.sight = sight
        self.leave = leave
        self.jobs = jobs
        self.told = told
        self.setup = setup
        self.drain = Drain(setup.drain)
        self.lateness = EventLoopLag()
        self.peers = [HeldPeer(self, each) for each in setup.peers]
        self.addresses: list[ServiceAddress] = []
        for address in setup.addresses:
            fitness = setup.fitness if address.list_needed else setup.fitness._replace(list_age=0)
            self.addresses.append(ServiceAddress(address, Fitness(fitness, self.now())))
        self.gone: list[Callable[[], None]] = []
        self.listening: Any = None
        self._timer: Timer | None = None
        self._due = 0
        self._look_at = 0
        self._pulling = False
        self._stopped = False

    def now(self) -> int:
        return now_ns(self.network)

    def start(self) -> None:
        """Starts all sessions; listens for peers that come by themselves if that is set up."""
        if self.setup.listen is not None:
            host, port = self.setup.listen
            self.listening = self.network.listenTCP(port, _Door(self), interface=host)
        for held in self.peers:
            held.peer.start(self.now())
        self.look()

    def begin_drain(self) -> bool:
        """Starts the way out; False if it was begun before."""
        begun = self.drain.begin(self.now())
        self.look()
        return begun

    def undo_drain(self) -> bool:
        undone = self.drain.undo(self.now())
        self.look()
        return undone

    def close(self, note: codec.Notification | None = None) -> None:
        """Ends all sessions with a Cease."""
        for held in self.peers:
            held.peer.stop(self.now(), note)
        self.pull()
        self._stopped = True
        stop(self._timer)
        if self.listening is not None:
            self.listening.stopListening()

    def kill(self) -> None:
        """Cuts all connections and says nothing, as the end of a process does."""
        self._stopped = True
        stop(self._timer)
        for held in self.peers:
            for link in list(held.links.values()):
                link.transport.abortConnection()
        if self.listening is not None:
            self.listening.stopListening()

    # --- looking and saying ---

    def look(self) -> None:
        """Looks at the gateway, sets what each peer is to be told, and says it."""
        now = self.now()
        self._look_at = now + round(LOOK * SECOND)
        sight = self.sight()
        sight.loop_late = max(sight.loop_late, self.lateness.worst_since(now - LATE_SPAN))
        stage = self._drain_stage(now)
        sight.draining = sight.draining or stage >= Stage.WITHDRAWN
        for address in self.addresses:
            before = address.fitness.standing
            after = address.fitness.look(sight, now)
            if after is not before:
                why = ", ".join(address.fitness.reasons)
                self.told("address", network=str(address.setup.network), standing=after.name.lower(), why=why)
        for held in self.peers:
            held.peer.want(self.routes_for(held.setup.figures))
        self.pull()

    def _drain_stage(self, now: int) -> Stage:
        before = self.drain.stage
        told = all(self._all_said(held) for held in self.peers)
        stage = self.drain.look(now, told, self.jobs())
        if stage is not before:
            self.told("drain", stage=stage.name.lower())
            if before < Stage.FINISHING <= stage:  # it may pass through a stage at once
                self.leave()
            if stage is Stage.LEFT:
                self.network.callLater(0, self._left)
        return stage

    def _all_said(self, held: HeldPeer) -> bool:
        link = held.peer.established()
        return link is None or (held.peer.routes.settled() and not link.blocked)

    def _left(self) -> None:
        self.close(codec.shutdown("drained"))
        for call in self.gone:
            call()

    def routes_for(self, figures: PeerFigures) -> dict[codec.Network, Attributes]:
        """What a peer is to be told now (RFC 4271 5.1: path and local preference by kind of session)."""
        routes: dict[codec.Network, Attributes] = {}
        inside = figures.local_as == figures.remote_as
        for address in self.addresses:
            standing, setup = address.fitness.standing, address.setup
            if standing is Standing.WITHDRAWN:
                continue
            last = standing is Standing.LESS_PREFERRED or self.drain.stage is Stage.LAST_CHOICE
            communities = setup.communities + ((codec.GRACEFUL_SHUTDOWN,) if last else ())
            preference = (0 if last else setup.local_preference) if inside else None  # RFC 8326 4
            routes[setup.network] = Attributes(
                as_path=() if inside else (figures.local_as,),
                next_hop=setup.next_hop,
                med=setup.last_med if last else setup.med,
                local_preference=preference,
                communities=communities,
                large_communities=setup.large_communities,
            )
        return routes

    def pull(self) -> None:
        """Does what the peers' sessions say until there is nothing left; sets the one timer."""
        if self._pulling or self._stopped:
            return
        self._pulling = True
        try:
            for held in self.peers:
                while (step := held.peer.step(self.now())) is not None:
                    held.do(step)
                if held.peer.state is not held.state:
                    held.state = held.peer.state
                    name = held.setup.figures.name
                    self.told("peer", peer=name, state=held.state.name.lower(), why=held.peer.last)
        finally:
            self._pulling = False
        dues = [self._look_at, self.drain.next_due()]
        dues += [held.peer.next_due() for held in self.peers]
        due = min(each for each in dues if each is not None)
        if self._timer is None or due < self._due:
            stop(self._timer)
            self._due = max(due, self.now())
            self._timer = self.network.callLater((self._due - self.now()) / SECOND, self._woke)

    def _woke(self) -> None:
        self._timer = None
        now = self.now()
        self.lateness.timer_fired(self._due, now)
        if now >= self._look_at:
            self.look()
        else:
            self.pull()

    def report(self) -> dict[str, Any]:
        """What `ochrecourse bgp show` shows."""
        now = self.now()
        return {
            "drain": self.drain.stage.name.lower(),
            "addresses": [
                {
                    "network": str(address.setup.network),
                    "standing": address.fitness.standing.name.lower(),
                    "reasons": list(address.fitness.reasons),
                    "for_s": round((now - address.fitness.changed) / SECOND, 1),
                    "changes": address.fitness.changes,
                    "rest_s": address.fitness.rest / SECOND,
                    "history": [
                        {"s_ago": round((now - when) / SECOND, 1), "standing": to.name.lower(), "why": why}
                        for when, to, why in address.fitness.history
                    ],
                }
                for address in self.addresses
            ],
            "peers": [
                {
                    "name": held.setup.figures.name,
                    "state": held.peer.state.name.lower(),
                    "since_s": round((now - held.peer.since) / SECOND, 1),
                    "told": [str(network) for network in held.peer.routes.told],
                    "last": held.peer.last,
                    "counts": dict(held.peer.counts),
                }
                for held in self.peers
            ],
        }


def guard_ttl(transport: Any) -> None:
    """RFC 5082: sends with the largest TTL and takes nothing that passed a router, where the system allows
    it.
    """
    handle = getattr(transport, "getHandle", None)
    if handle is None:
        return
    with contextlib.suppress(OSError):
        handle().setsockopt(socket.IPPROTO_IP, socket.IP_TTL, 255)
        handle().setsockopt(socket.IPPROTO_IP, IP_MINTTL, 255)
