"""The finite state machine of one peer (RFC 4271 section 8, collisions: 6.8). Free of I/O and clocks.

A `PeerFsm` has at most two connections, one outgoing and one incoming, each in a state from OpenSent to
Established. Events (`start`, `connected`, `accepted`, `received`, `closed`, ...) only update its state. The
caller then calls `next_action` until that returns None, performs each action (connect, send, close), and
calls again at `next_due`. Times are in ns; the source of jitter is a parameter.
"""

from __future__ import annotations

from ochrecourse.common.time_units import SECOND

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple

from ochrecourse.bgp import codec
from ochrecourse.bgp.codec import ErrorCode, MalformedMessageError, Message, Notification
from ochrecourse.bgp.adj_rib_out import AdjRibOut

OPEN_HOLD_TIME = 240 * SECOND  # ns for the peer's OPEN; the large hold time of RFC 4271 8.2.2
MAX_MESSAGES_PER_SECOND = 2000  # from one peer; above it the session is ended as a burden
MAX_IDLE_FACTOR = 64  # limit of the exponential back-off, as a multiple of `idle_hold_time`


class State(IntEnum):
    """States of the finite state machine (RFC 4271 8.2.2)."""

    IDLE = 0
    CONNECT = 1
    ACTIVE = 2
    OPEN_SENT = 3
    OPEN_CONFIRM = 4
    ESTABLISHED = 5


FSM_ERROR_SUBCODES = {
    State.OPEN_SENT: codec.UNEXPECTED_IN_OPEN_SENT,
    State.OPEN_CONFIRM: codec.UNEXPECTED_IN_OPEN_CONFIRM,
    State.ESTABLISHED: codec.UNEXPECTED_IN_ESTABLISHED,
}  # of a finite state machine error in each state (RFC 6608)


class SessionSettings(NamedTuple):
    """Settings of the sessions with a peer. Spans in ns, except `hold_time`, in seconds as on the wire."""

    name: str
    local_as: int
    remote_as: int
    identifier: int
    hold_time: int
    connect_retry: int  # time limit for a connection attempt (ConnectRetryTime)
    idle_hold_time: int  # wait after a failed session or connection attempt; doubles up to a limit
    dials: bool = True  # False: passive, only the peer opens connections
    families: frozenset[int] = frozenset((codec.IPV4, codec.IPV6))


class Connect(NamedTuple):
    """Open a connection to the peer, then call `connected` or `connect_failed`."""


class Send(NamedTuple):
    """Write these bytes to a connection."""

    connection: int
    data: bytes


class Close(NamedTuple):
    """Close a connection once all data written to it has been sent."""

    connection: int


Action = Connect | Send | Close


@dataclass
class Connection:
    """One connection and its state."""

    number: int
    outgoing: bool
    state: State = State.OPEN_SENT
    decoder: codec.Decoder = field(default_factory=codec.Decoder)
    hold_due: int = 0  # expiry of the hold timer; 0: none
    keepalive_due: int = 0
    hold_time: int = 0  # negotiated, in seconds
    remote: codec.Open | None = None
    blocked: bool = False  # the transport's send buffer is full


class PeerFsm:
    """The sessions with one peer. `jitter` returns a factor between 0.75 and 1 (RFC 4271 section 10)."""

    def __init__(self, settings: SessionSettings, jitter: Callable[[], float], now: int = 0) -> None:
        self.settings = settings
        self.jitter = jitter
        self.adj_rib_out = AdjRibOut()
        self.started = False
        self.connecting = False
        self.connections: dict[int, Connection] = {}
        self.last_number = 0
        self.failures = 0
        self.idle_until = 0  # in Idle: no connection attempt before this; 0: no such wait
        self.connect_due = 0  # in Active: when to connect again
        self.actions: deque[Action] = deque()
        self.counts: Counter[str] = Counter()
        self.last_error = ""  # why the last session or connection attempt ended
        self.since = now  # when a session was last established or ended
        self.message_rate = (0, 0)  # a second of the clock, messages received in it

    # --- state ---

    @property
    def state(self) -> State:
        """The state of its most advanced connection; without one, that of its connection attempts."""
        if self.connections:
            return max(connection.state for connection in self.connections.values())
        if not self.started or self.idle_until:
            return State.IDLE
        return State.CONNECT if self.connecting else State.ACTIVE

    def established(self) -> Connection | None:
        """The connection in Established, if there is one."""
        for connection in self.connections.values():
            if connection.state is State.ESTABLISHED:
                return connection
        return None

    # --- events ---

    def start(self, now: int) -> None:
        """Event ManualStart: connection attempts begin."""
        if not self.started:
            self.started = True
            self.idle_until = 0
            self.connect_due = now

    def stop(self, now: int, why: Notification | None = None) -> None:
        """Event ManualStop: every session ends with `why`, by default a Cease."""
        self.started = False
        self.connecting = False
        self.idle_until = self.connect_due = 0
        for connection in list(self.connections.values()):
            self._notify_and_close(connection, why or codec.shutdown(""), now, "stopped", failed=False)

    def connected(self, now: int) -> int | None:
        """A connection attempt succeeded. Returns the connection's number; None if it is not needed."""
        if not self.started or not self.connecting:
            return None
        self.connecting = False
        self.connect_due = 0
        return self._add_connection(True, now).number

    def connect_failed(self, now: int, why: str) -> None:
        """The connection attempt failed; the next one waits."""
        if self.connecting:
            self.connecting = False
            self.last_error = why
            self.counts["dials failed"] += 1
            if not self.connections:
                self._back_off(now)

    def accepted(self, now: int) -> int | None:
        """The peer opened a connection. Returns its number; None if it is refused."""
        if (
            not self.started
            or self.idle_until
            or any(not connection.outgoing for connection in self.connections.values())
        ):
            self.counts["connections not taken"] += 1
            return None
        return self._add_connection(False, now).number

    def closed(self, number: int, now: int) -> None:
        """A connection was closed by the peer or the network."""
        connection = self.connections.pop(number, None)
        if connection is not None:
            self.last_error = f"the connection closed in {connection.state.name}"
            self._connection_ended(connection, now, failed=True)

    def blocked(self, number: int, blocked: bool) -> None:
        """A connection's send buffer is full, or drained again. No UPDATE is generated while it is full."""
        if (connection := self.connections.get(number)) is not None:
            connection.blocked = blocked

    def received(self, number: int, data: bytes, now: int) -> None:
        """Handles bytes from the peer."""
        connection = self.connections.get(number)
        if connection is None:
            return
        connection.decoder.feed(data)
        try:
            while number in self.connections and (message := connection.decoder.next()) is not None:
                self._message_received(connection, message, now)
        except MalformedMessageError as error:
            self.counts["malformed messages"] += 1
            self._notify_and_close(connection, error.notification, now, str(error))

    def set_routes(self, routes: dict[codec.Network, codec.Attributes]) -> None:
        """Replaces all routes to be advertised to this peer."""
        self.adj_rib_out.set_routes(routes)

    # --- actions ---

    def next_action(self, now: int) -> Action | None:
        """The next action to perform; None if there is none at present."""
        self._run_timers(now)
        if self.actions:
            return self.actions.popleft()
        connection = self.established()
        if connection is not None and not connection.blocked:
            update = self.adj_rib_out.next_update()
            if update is not None:
                self.counts["updates sent"] += 1
                return Send(connection.number, codec.encode(update, connection.decoder.four_bytes))
        return None

    def next_due(self) -> int | None:
        """When to call `next_action` again, in ns; None if no timer runs."""
        dues = [self.idle_until, self.connect_due if not self.connecting and not self.connections else 0]
        for connection in self.connections.values():
            dues += [connection.hold_due, connection.keepalive_due]
        return min((due for due in dues if due), default=None)

    # --- timers ---

    def _run_timers(self, now: int) -> None:
        if self.idle_until and now >= self.idle_until:
            self.idle_until = 0
            self.connect_due = now
        idle = self.started and not self.connections and not self.connecting and not self.idle_until
        if idle and self.connect_due and now >= self.connect_due:
            if self.settings.dials:
                self.connecting = True
                self.connect_due = 0
                self.actions.append(Connect())
            else:
                self.connect_due = 0  # passive: stays in Active until the peer connects
        for connection in list(self.connections.values()):
            if connection.hold_due and now >= connection.hold_due:
                self._notify_and_close(
                    connection, Notification(ErrorCode.HOLD_TIMER, 0), now, "the hold timer expired"
                )
            elif connection.keepalive_due and now >= connection.keepalive_due:
                self._send_keepalive(connection, now)

    def _send_keepalive(self, connection: Connection, now: int) -> None:
        self.actions.append(Send(connection.number, codec.encode(codec.Keepalive())))
        connection.keepalive_due = (
            now + round(connection.hold_time * SECOND / 3 * self.jitter()) if connection.hold_time else 0
        )

    # --- connections ---

    def _add_connection(self, outgoing: bool, now: int) -> Connection:
        self.last_number += 1
        connection = self.connections[self.last_number] = Connection(
            self.last_number, outgoing, hold_due=now + OPEN_HOLD_TIME
        )
        own = self.settings
        capabilities = [codec.multiprotocol(family) for family in sorted(own.families)]
        capabilities += [codec.Capability(codec.ROUTE_REFRESH), codec.four_byte_as(own.local_as)]
        asn = own.local_as if own.local_as < 65536 else codec.AS_TRANS
        message = codec.Open(asn, own.hold_time, own.identifier, tuple(capabilities))
        self.actions.append(Send(connection.number, codec.encode(message)))
        return connection

    def _message_received(self, connection: Connection, message: Message, now: int) -> None:
        second, count = self.message_rate
        self.message_rate = (second, count + 1) if second == now // SECOND else (now // SECOND, 1)
        if self.message_rate[1] > MAX_MESSAGES_PER_SECOND:
            self.counts["floods"] += 1
            self._notify_and_close(
                connection,
                Notification(ErrorCode.CEASE, codec.OUT_OF_RESOURCES),
                now,
                "the peer floods this side",
            )
            return
        if isinstance(message, Notification):
            text = f" ({message.text()})" if message.text() else ""
            self.last_error = f"the peer sent NOTIFICATION {message.code}/{message.subcode}{text}"
            self._close(connection)
            self._connection_ended(connection, now, failed=True)
            return
        handler = HANDLERS.get((connection.state, type(message)))
        if handler is None:
            subcode = FSM_ERROR_SUBCODES[connection.state]
            text = f"{type(message).__name__} came in {connection.state.name}"
            self._notify_and_close(connection, Notification(ErrorCode.FSM, subcode), now, text)
            return
        handler(self, connection, message, now)

    def _open_received(self, connection: Connection, message: codec.Open, now: int) -> None:
        own = self.settings
        if message.effective_asn() != own.remote_as:
            self._reject_open(
                connection, codec.BAD_PEER_AS, f"the peer's AS is {message.effective_asn()}", now
            )
        elif message.identifier == own.identifier and own.local_as == own.remote_as:
            self._reject_open(connection, codec.BAD_IDENTIFIER, "the peer has this side's identifier", now)
        elif not message.families() & own.families:
            required = map(codec.multiprotocol, sorted(own.families))
            data = b"".join(bytes((each.code, len(each.value))) + each.value for each in required)
            notification = Notification(ErrorCode.OPEN, codec.BAD_CAPABILITY, data)
            self._notify_and_close(connection, notification, now, "no address family in common")
        else:
            connection.remote = message
            if self._resolve_collision(connection, now):
                return
            connection.hold_time = min(own.hold_time, message.hold_time)
            connection.decoder.four_bytes = message.has_capability(codec.FOUR_BYTE_AS)
            connection.state = State.OPEN_CONFIRM
            connection.hold_due = now + connection.hold_time * SECOND if connection.hold_time else 0
            self._send_keepalive(connection, now)

    def _reject_open(self, connection: Connection, subcode: int, why: str, now: int) -> None:
        self._notify_and_close(connection, Notification(ErrorCode.OPEN, subcode), now, why)

    def _resolve_collision(self, connection: Connection, now: int) -> bool:
        """Resolves a collision (RFC 4271 6.8). True if `connection` is the one that is closed."""
        others = [
            other
            for other in self.connections.values()
            if other is not connection and other.state > State.OPEN_SENT
        ]
        if not others:
            return False
        other, remote = others[0], connection.remote
        assert remote is not None
        self.counts["collisions"] += 1
        notification = Notification(ErrorCode.CEASE, codec.COLLISION)
        if other.state is State.ESTABLISHED:
            self._notify_and_close(
                connection, notification, now, "collision with an established session", failed=False
            )
            return True
        # The connection opened by the side with the higher identifier stays; with equal identifiers, the one
        # opened by the side with the higher AS number (RFC 6286).
        keep_outgoing = (self.settings.identifier, self.settings.local_as) > (
            remote.identifier,
            self.settings.remote_as,
        )
        loser = connection if connection.outgoing != keep_outgoing else other
        self._notify_and_close(loser, notification, now, "collision", failed=False)
        return loser is connection

    def _session_established(self, connection: Connection, message: Message, now: int) -> None:
        connection.state = State.ESTABLISHED
        self._restart_hold_timer(connection, message, now)
        self.failures = 0
        self.since = now
        self.last_error = ""
        self.counts["sessions"] += 1
        assert connection.remote is not None
        self.adj_rib_out.session_up(connection.remote.families() & self.settings.families)
        notification = Notification(ErrorCode.CEASE, codec.COLLISION)
        for other in [each for each in self.connections.values() if each is not connection]:
            self._notify_and_close(other, notification, now, "collision", failed=False)

    def _restart_hold_timer(self, connection: Connection, message: Message, now: int) -> None:
        connection.hold_due = now + connection.hold_time * SECOND if connection.hold_time else 0

    def _update_received(self, connection: Connection, message: codec.Update, now: int) -> None:
        """Checks an UPDATE for errors and ignores its routes, as this speaker only announces."""
        self._restart_hold_timer(connection, message, now)
        self.counts["updates received"] += 1
        if message.as_withdrawn:
            self.counts["updates treated as withdrawn"] += 1

    def _refresh_received(self, connection: Connection, message: codec.RouteRefresh, now: int) -> None:
        """Sends a family again (RFC 2918). The hold timer is not restarted: RFC 4271 8.2.2 names only
        KEEPALIVE and UPDATE for that.
        """
        self.counts["refreshes"] += 1
        self.adj_rib_out.refresh(message.family)

    def _notify_and_close(
        self, connection: Connection, notification: Notification, now: int, why: str, failed: bool = True
    ) -> None:
        """Sends a NOTIFICATION and closes the connection."""
        if connection.number not in self.connections:
            return
        self.last_error = why
        self.actions.append(Send(connection.number, codec.encode(notification)))
        self._close(connection)
        self._connection_ended(connection, now, failed)

    def _close(self, connection: Connection) -> None:
        self.connections.pop(connection.number, None)
        self.actions.append(Close(connection.number))

    def _connection_ended(self, connection: Connection, now: int, failed: bool) -> None:
        if connection.state is State.ESTABLISHED:
            self.since = now
            self.adj_rib_out.session_down()
        if failed and self.started and not self.connections:
            self._back_off(now)

    def _back_off(self, now: int) -> None:
        """Waits before the next attempt, with exponential back-off up to a limit (DampPeerOscillations, RFC
        4271 8.1.1).
        """
        self.failures += 1
        factor = min(MAX_IDLE_FACTOR, 2 ** (self.failures - 1))
        self.idle_until = now + max(1, round(self.settings.idle_hold_time * factor * self.jitter()))


HANDLERS: dict[tuple[State, type[Message]], Callable[..., None]] = {
    (State.OPEN_SENT, codec.Open): PeerFsm._open_received,
    (State.OPEN_CONFIRM, codec.Keepalive): PeerFsm._session_established,
    (State.ESTABLISHED, codec.Keepalive): PeerFsm._restart_hold_timer,
    (State.ESTABLISHED, codec.Update): PeerFsm._update_received,
    (State.ESTABLISHED, codec.RouteRefresh): PeerFsm._refresh_received,
}  # any other message in a state is a finite state machine error (RFC 6608)
