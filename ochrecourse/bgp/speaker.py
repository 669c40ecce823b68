"""The BGP speaker: connections with the peers over TCP, and service addresses announced by their fitness.

It runs on the gateway's own event loop, timers included. When that loop is blocked, no KEEPALIVE is sent, and
the peers' hold timers remove the routes. session.py and fitness.py make the decisions; this module does the
I/O.
"""

from __future__ import annotations

import contextlib
import random
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Factory, Protocol
from zope.interface import implementer

from ochrecourse.common.outgoing_connections import OutgoingConnectionFactory
from ochrecourse.bgp import codec
from ochrecourse.bgp.codec import Attributes
from ochrecourse.bgp.fitness import AnnouncementState, Drain, DrainStage, Fitness, GatewayStatus
from ochrecourse.bgp.session import Close, Connect, PeerFsm, Send, SessionSettings
from ochrecourse.bgp.speaker_settings import AddressSettings, PeerSettings, SpeakerSettings
from ochrecourse.common.event_loop_lag import EventLoopLag
from ochrecourse.common.runtime import Network, Timer, now_ns, stop
from ochrecourse.common.time_units import SECOND

UPDATE_INTERVAL_S = (
    0.1  # between readings of the status; a tenth of the second in which a loss of service is to be withdrawn
)
LAG_WINDOW = 2 * SECOND  # ns for which a late event loop counts
CLOSE_TIMEOUT_S = 2.0  # for a NOTIFICATION to be sent; after that the connection is aborted
IP_MINTTL = 21  # Linux; Python's socket module has no name for it
STATE_FIELD = "standing"  # of a log line: the announcement state


@dataclass
class ServiceAddress:
    """A service address and its fitness."""

    settings: AddressSettings
    fitness: Fitness


@implementer(IPushProducer)
class BgpConnection(Protocol):
    """One TCP connection with a peer."""

    transport: Any
    number: int | None = None

    def __init__(self, owner: PeerConnections, outgoing: bool) -> None:
        self.owner = owner
        self.outgoing = outgoing
        self.is_connected = False

    def connectionMade(self) -> None:
        """The TCP connection is established (Twisted callback)."""
        self.is_connected = True
        self.owner.connection_made(self)

    def dataReceived(self, data: bytes) -> None:
        """Passes bytes to the peer's state machine (Twisted callback)."""
        if self.number is not None:
            self.owner.fsm.received(self.number, data, self.owner.speaker.now())
            self.owner.speaker.run_actions()

    def connectionLost(self, reason: Any = None) -> None:
        """The TCP connection is closed (Twisted callback)."""
        self.is_connected = False
        if self.number is not None:
            self.owner.connections.pop(self.number, None)
            self.owner.fsm.closed(self.number, self.owner.speaker.now())
            self.owner.speaker.run_actions()

    def pauseProducing(self) -> None:
        """The transport's send buffer is full (Twisted callback)."""
        if self.number is not None:
            self.owner.fsm.blocked(self.number, True)

    def resumeProducing(self) -> None:
        """The transport's send buffer has drained (Twisted callback)."""
        if self.number is not None:
            self.owner.fsm.blocked(self.number, False)
            self.owner.speaker.run_actions()

    def stopProducing(self) -> None:
        """The transport is closing (Twisted callback); `connectionLost` handles that."""


class PeerConnections(OutgoingConnectionFactory):
    """A peer's state machine and its TCP connections."""

    def __init__(self, speaker: Speaker, settings: PeerSettings) -> None:
        self.speaker = speaker
        self.settings = settings
        rng = random.Random(f"{speaker.seed} {settings.session.name}")
        self.fsm = PeerFsm(settings.session, lambda: rng.uniform(0.75, 1.0), speaker.now())
        self.connections: dict[int, BgpConnection] = {}
        self.state = self.fsm.state

    def buildProtocol(self, addr: Any) -> BgpConnection:
        """The protocol of an outgoing connection (Twisted callback)."""
        return BgpConnection(self, True)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        """A connection attempt failed (Twisted callback)."""
        self.fsm.connect_failed(self.speaker.now(), f"the dial failed: {reason.getErrorMessage()}")
        self.speaker.run_actions()

    def connection_made(self, connection: BgpConnection) -> None:
        """Registers a connection with the peer's state machine, or aborts it if that refuses it."""
        now = self.speaker.now()
        number = self.fsm.connected(now) if connection.outgoing else self.fsm.accepted(now)
        if number is None:
            connection.transport.abortConnection()
            return
        connection.number = number
        self.connections[number] = connection
        if self.settings.ttl_security:
            enable_ttl_security(connection.transport)
        connection.transport.registerProducer(connection, True)
        self.speaker.run_actions()

    def perform(self, action: Connect | Send | Close) -> None:
        """Performs one action of the peer's state machine."""
        if isinstance(action, Connect):
            timeout_s = self.settings.session.connect_retry / SECOND
            self.speaker.network.connectTCP(self.settings.host, self.settings.port, self, timeout=timeout_s)
            return
        connection = self.connections.get(action.connection)
        if connection is None:
            return
        if isinstance(action, Send):
            connection.transport.write(action.data)
        else:
            del self.connections[action.connection]
            connection.number = None
            connection.transport.unregisterProducer()
            connection.transport.loseConnection()
            # Otherwise a peer that never reads would keep the connection open, as its data stays unsent.
            self.speaker.network.callLater(
                CLOSE_TIMEOUT_S, lambda: connection.is_connected and connection.transport.abortConnection()
            )


class _PeerListener(Factory):
    """Accepts connections from peers, identified by their source address."""

    noisy = False

    def __init__(self, speaker: Speaker) -> None:
        self.speaker = speaker

    def buildProtocol(self, addr: Any) -> BgpConnection | None:
        """The protocol of an incoming connection; None refuses an unknown address (Twisted callback)."""
        for peer in self.speaker.peers:
            if peer.settings.host == addr.host:
                return BgpConnection(peer, False)
        return None


class Speaker:
    """All peers and service addresses of one gateway.

    `read_status` returns the gateway's status, `begin_shutdown` starts its graceful shutdown when the drain
    reaches that stage, `open_requests` counts the requests in flight, and `log_event` logs each change.
    """

    def __init__(
        self,
        network: Network,
        settings: SpeakerSettings,
        read_status: Callable[[], GatewayStatus],
        begin_shutdown: Callable[[], None],
        open_requests: Callable[[], int],
        log_event: Callable[..., None],
        seed: int,
    ) -> None:
        self.network = network
        self.seed = seed
        self.read_status = read_status
        self.begin_shutdown = begin_shutdown
        self.open_requests = open_requests
        self.log_event = log_event
        self.settings = settings
        self.drain = Drain(settings.drain)
        self.loop_lag = EventLoopLag()
        self.peers = [PeerConnections(self, each) for each in settings.peers]
        self.addresses: list[ServiceAddress] = []
        for address in settings.addresses:
            fitness = settings.fitness if address.list_needed else settings.fitness._replace(max_list_age=0)
            self.addresses.append(ServiceAddress(address, Fitness(fitness, self.now())))
        self.on_drained: list[Callable[[], None]] = []
        self.listening_port: Any = None
        self._timer: Timer | None = None
        self._due = 0
        self._update_due = 0
        self._running_actions = False
        self._stopped = False

    def now(self) -> int:
        """The network's clock in ns."""
        return now_ns(self.network)

    def start(self) -> None:
        """Starts all sessions, and listens for connections from peers where that is configured."""
        if self.settings.listen is not None:
            host, port = self.settings.listen
            self.listening_port = self.network.listenTCP(port, _PeerListener(self), interface=host)
        for peer in self.peers:
            peer.fsm.start(self.now())
        self.update()

    def begin_drain(self) -> bool:
        """Starts the drain; False if it was started before."""
        begun = self.drain.begin(self.now())
        self.update()
        return begun

    def undo_drain(self) -> bool:
        """Cancels the drain; False if none runs or the gateway no longer admits requests."""
        undone = self.drain.undo(self.now())
        self.update()
        return undone

    def close(self, notification: codec.Notification | None = None) -> None:
        """Ends all sessions with `notification`, by default a Cease."""
        for peer in self.peers:
            peer.fsm.stop(self.now(), notification)
        self.run_actions()
        self._stopped = True
        stop(self._timer)
        if self.listening_port is not None:
            self.listening_port.stopListening()

    def kill(self) -> None:
        """Aborts all connections without a NOTIFICATION, as the end of a process does."""
        self._stopped = True
        stop(self._timer)
        for peer in self.peers:
            for connection in list(peer.connections.values()):
                connection.transport.abortConnection()
        if self.listening_port is not None:
            self.listening_port.stopListening()

    # --- evaluating and advertising ---

    def update(self) -> None:
        """Evaluates the gateway's status, then sets and sends each peer's routes."""
        now = self.now()
        self._update_due = now + round(UPDATE_INTERVAL_S * SECOND)
        status = self.read_status()
        status.loop_lag = max(status.loop_lag, self.loop_lag.worst_since(now - LAG_WINDOW))
        stage = self._drain_stage(now)
        status.draining = status.draining or stage >= DrainStage.WITHDRAWN
        for address in self.addresses:
            before = address.fitness.state
            after = address.fitness.update(status, now)
            if after is not before:
                why = ", ".join(address.fitness.reasons)
                self.log_event(
                    "address",
                    network=str(address.settings.network),
                    **{STATE_FIELD: after.name.lower()},
                    why=why,
                )
        for peer in self.peers:
            peer.fsm.set_routes(self.routes_for(peer.settings.session))
        self.run_actions()

    def _drain_stage(self, now: int) -> DrainStage:
        before = self.drain.stage
        all_sent = all(self._all_sent(peer) for peer in self.peers)
        stage = self.drain.update(now, all_sent, self.open_requests())
        if stage is not before:
            self.log_event("drain", stage=stage.name.lower())
            if before < DrainStage.FINISHING <= stage:  # one update may pass through several stages
                self.begin_shutdown()
            if stage is DrainStage.LEFT:
                self.network.callLater(0, self._drained)
        return stage

    def _all_sent(self, peer: PeerConnections) -> bool:
        connection = peer.fsm.established()
        return connection is None or (peer.fsm.adj_rib_out.in_sync() and not connection.blocked)

    def _drained(self) -> None:
        self.close(codec.shutdown("drained"))
        for call in self.on_drained:
            call()

    def routes_for(self, session: SessionSettings) -> dict[codec.Network, Attributes]:
        """The routes to be advertised to a peer now. AS_PATH and LOCAL_PREF depend on whether the session is
        internal (RFC 4271 5.1).
        """
        routes: dict[codec.Network, Attributes] = {}
        internal = session.local_as == session.remote_as
        for address in self.addresses:
            state, settings = address.fitness.state, address.settings
            if state is AnnouncementState.WITHDRAWN:
                continue
            last_choice = (
                state is AnnouncementState.LESS_PREFERRED or self.drain.stage is DrainStage.LAST_CHOICE
            )
            communities = settings.communities + ((codec.GRACEFUL_SHUTDOWN,) if last_choice else ())
            preference = (0 if last_choice else settings.local_preference) if internal else None  # RFC 8326 4
            routes[settings.network] = Attributes(
                as_path=() if internal else (session.local_as,),
                next_hop=settings.next_hop,
                med=settings.last_choice_med if last_choice else settings.med,
                local_preference=preference,
                communities=communities,
                large_communities=settings.large_communities,
            )
        return routes

    def run_actions(self) -> None:
        """Performs the actions of all peers until none is left, and sets the timer for the next one due."""
        if self._running_actions or self._stopped:
            return
        self._running_actions = True
        try:
            for peer in self.peers:
                while (action := peer.fsm.next_action(self.now())) is not None:
                    peer.perform(action)
                if peer.fsm.state is not peer.state:
                    peer.state = peer.fsm.state
                    name = peer.settings.session.name
                    self.log_event("peer", peer=name, state=peer.state.name.lower(), why=peer.fsm.last_error)
        finally:
            self._running_actions = False
        dues = [self._update_due, self.drain.next_due()]
        dues += [peer.fsm.next_due() for peer in self.peers]
        due = min(each for each in dues if each is not None)
        if self._timer is None or due < self._due:
            stop(self._timer)
            self._due = max(due, self.now())
            self._timer = self.network.callLater((self._due - self.now()) / SECOND, self._timer_fired)

    def _timer_fired(self) -> None:
        self._timer = None
        now = self.now()
        self.loop_lag.timer_fired(self._due, now)
        if now >= self._update_due:
            self.update()
        else:
            self.run_actions()

    def report(self) -> dict[str, Any]:
        """The report shown by `ochrecourse bgp show`."""
        now = self.now()
        return {
            "drain": self.drain.stage.name.lower(),
            "addresses": [
                {
                    "network": str(address.settings.network),
                    "standing": address.fitness.state.name.lower(),
                    "reasons": list(address.fitness.reasons),
                    "for_s": round((now - address.fitness.changed) / SECOND, 1),
                    "changes": address.fitness.changes,
                    "rest_s": address.fitness.recovery_delay / SECOND,
                    "history": [
                        {"s_ago": round((now - when) / SECOND, 1), "standing": state.name.lower(), "why": why}
                        for when, state, why in address.fitness.history
                    ],
                }
                for address in self.addresses
            ],
            "peers": [
                {
                    "name": peer.settings.session.name,
                    "state": peer.fsm.state.name.lower(),
                    "since_s": round((now - peer.fsm.since) / SECOND, 1),
                    "told": [str(network) for network in peer.fsm.adj_rib_out.advertised],
                    "last": peer.fsm.last_error,
                    "counts": dict(peer.fsm.counts),
                }
                for peer in self.peers
            ],
        }


def enable_ttl_security(transport: Any) -> None:
    """Sends with the largest TTL and accepts only packets that passed no router (RFC 5082), where the system
    supports it.
    """
    handle = getattr(transport, "getHandle", None)
    if handle is None:
        return
    with contextlib.suppress(OSError):
        handle().setsockopt(socket.IPPROTO_IP, socket.IP_TTL, 255)
        handle().setsockopt(socket.IPPROTO_IP, IP_MINTTL, 255)
