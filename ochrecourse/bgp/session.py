"""The sessions with one peer: RFC 4271 section 8, with the collision of 6.8. Free of I/O and clocks.

A `Peer` has at most two connections, one dialled and one that came in, each on its way from OpenSent to
Established. Inputs (`start`, `dialled`, `came_in`, `received`, `closed`, ...) only update what is known; the
host then pulls with `step` until it gets None and does what each step says: dial, say, drop. It comes back at
`next_due`. Times are ns; chance for jitter is handed in.
"""

from __future__ import annotations

from ochrecourse.common.time_units import SECOND

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple

from ochrecourse.bgp import codec
from ochrecourse.bgp.codec import Code, Malformed, Message, Notification
from ochrecourse.bgp.routes import Routes

OPEN_WAIT = 240 * SECOND  # ns for the peer's OPEN; the large hold time of RFC 4271 8.2.2
FLOOD = 2000  # messages of a peer handled in one second; above it a session is a burden and is ended
LONGEST_IDLE = 64  # times the first wait that a peer which keeps failing is left alone at the most


class State(IntEnum):
    """RFC 4271 8.2.2."""

    IDLE = 0
    CONNECT = 1
    ACTIVE = 2
    OPEN_SENT = 3
    OPEN_CONFIRM = 4
    ESTABLISHED = 5


WRONG_IN = {
    State.OPEN_SENT: codec.IN_OPEN_SENT,
    State.OPEN_CONFIRM: codec.IN_OPEN_CONFIRM,
    State.ESTABLISHED: codec.IN_ESTABLISHED,
}  # subcodes of an error of the state machine (RFC 6608)


class PeerFigures(NamedTuple):
    """What the settings say of a peer. Spans in ns but `hold_time`, which is in s as on the wire."""

    name: str
    local_as: int
    remote_as: int
    identifier: int
    hold_time: int
    connect_retry: int  # what a dial may take (the ConnectRetryTimer)
    idle_wait: int  # after a session or dial that failed, doubled each time up to a bound
    dials: bool = True
    families: frozenset[int] = frozenset((codec.IPV4, codec.IPV6))


class Dial(NamedTuple):
    """Open a connection to the peer; its end is told with `dialled` or `dial_failed`."""


class Say(NamedTuple):
    """Write these bytes on a connection."""

    link: int
    data: bytes


class Drop(NamedTuple):
    """Close a connection once what was said on it has gone out."""

    link: int


Step = Dial | Say | Drop


@dataclass
class Link:
    """One connection."""

    number: int
    outgoing: bool
    state: State = State.OPEN_SENT
    decoder: codec.Decoder = field(default_factory=codec.Decoder)
    hold_due: int = 0  # 0: no hold timer
    keepalive_due: int = 0
    hold_time: int = 0  # agreed, in s
    remote: codec.Open | None = None
    blocked: bool = False  # its transport is full


class Peer:
    """One peer. `jitter` gives a factor between 0.75 and 1 (RFC 4271 section 10)."""

    def __init__(self, figures: PeerFigures, jitter: Callable[[], float], now: int = 0) -> None:
        self.figures = figures
        self.jitter = jitter
        self.routes = Routes()
        self.started = False
        self.dialling = False
        self.links: dict[int, Link] = {}
        self.count = 0
        self.failures = 0
        self.wait_until = 0  # in Idle: not before this; 0: no such wait
        self.retry_due = 0  # in Active: when to dial again
        self.steps: deque[Step] = deque()
        self.counts: Counter[str] = Counter()
        self.last = ""  # why the last session or dial ended
        self.since = now
        self.heard = (0, 0)  # second, messages in it

    # --- what is known from outside ---

    @property
    def state(self) -> State:
        """The state of the peer: that of its furthest connection, else of its dial."""
        if self.links:
            return max(link.state for link in self.links.values())
        if not self.started or self.wait_until:
            return State.IDLE
        return State.CONNECT if self.dialling else State.ACTIVE

    def established(self) -> Link | None:
        for link in self.links.values():
            if link.state is State.ESTABLISHED:
                return link
        return None

    # --- inputs ---

    def start(self, now: int) -> None:
        """ManualStart."""
        if not self.started:
            self.started = True
            self.wait_until = 0
            self.retry_due = now

    def stop(self, now: int, why: Notification | None = None) -> None:
        """ManualStop: every session ends with a Cease."""
        self.started = False
        self.dialling = False
        self.wait_until = self.retry_due = 0
        for link in list(self.links.values()):
            self._end(link, why or codec.shutdown(""), now, "stopped", failed=False)

    def dialled(self, now: int) -> int | None:
        """The dial came through; the number of its connection, or None if it is not wanted any more."""
        if not self.started or not self.dialling:
            return None
        self.dialling = False
        self.retry_due = 0
        return self._opened(True, now).number

    def dial_failed(self, now: int, why: str) -> None:
        if self.dialling:
            self.dialling = False
            self.last = why
            self.counts["dials failed"] += 1
            if not self.links:
                self._fail(now)

    def came_in(self, now: int) -> int | None:
        """A connection from the peer; its number, or None if it is not taken."""
        if not self.started or self.wait_until or any(not link.outgoing for link in self.links.values()):
            self.counts["connections not taken"] += 1
            return None
        return self._opened(False, now).number

    def closed(self, number: int, now: int) -> None:
        """A connection is gone."""
        link = self.links.pop(number, None)
        if link is not None:
            self.last = f"the connection closed in {link.state.name}"
            self._lost(link, now, failed=True)

    def blocked(self, number: int, blocked: bool) -> None:
        """A connection's transport is full, or has room again. No update is made while it is full."""
        if (link := self.links.get(number)) is not None:
            link.blocked = blocked

    def received(self, number: int, data: bytes, now: int) -> None:
        """Bytes from the peer."""
        link = self.links.get(number)
        if link is None:
            return
        link.decoder.feed(data)
        try:
            while number in self.links and (message := link.decoder.next()) is not None:
                self._took(link, message, now)
        except Malformed as trouble:
            self.counts["malformed messages"] += 1
            self._end(link, trouble.notification, now, str(trouble))

    def want(self, routes: dict[codec.Network, codec.Attributes]) -> None:
        """The whole state that this peer is to be told."""
        self.routes.want(routes)

    # --- what the host pulls ---

    def step(self, now: int) -> Step | None:
        """The next thing to do; None when there is nothing left."""
        self._timers(now)
        if self.steps:
            return self.steps.popleft()
        link = self.established()
        if link is not None and not link.blocked:
            update = self.routes.next_update()
            if update is not None:
                self.counts["updates sent"] += 1
                return Say(link.number, codec.encode(update, link.decoder.four_bytes))
        return None

    def next_due(self) -> int | None:
        """When to come back; None if nothing is due."""
        dues = [self.wait_until, self.retry_due if not self.dialling and not self.links else 0]
        for link in self.links.values():
            dues += [link.hold_due, link.keepalive_due]
        return min((due for due in dues if due), default=None)

    # --- inside: timers ---

    def _timers(self, now: int) -> None:
        if self.wait_until and now >= self.wait_until:
            self.wait_until = 0
            self.retry_due = now
        idle = self.started and not self.links and not self.dialling and not self.wait_until
        if idle and self.retry_due and now >= self.retry_due:
            if self.figures.dials:
                self.dialling = True
                self.retry_due = 0
                self.steps.append(Dial())
            else:
                self.retry_due = 0  # passive: Active until the peer comes
        for link in list(self.links.values()):
            if link.hold_due and now >= link.hold_due:
                self._end(link, Notification(Code.HOLD_TIMER, 0), now, "the hold timer expired")
            elif link.keepalive_due and now >= link.keepalive_due:
                self._keepalive(link, now)

    def _keepalive(self, link: Link, now: int) -> None:
        self.steps.append(Say(link.number, codec.encode(codec.Keepalive())))
        link.keepalive_due = now + round(link.hold_time * SECOND / 3 * self.jitter()) if link.hold_time else 0

    # --- inside: connections ---

    def _opened(self, outgoing: bool, now: int) -> Link:
        self.count += 1
        link = self.links[self.count] = Link(self.count, outgoing, hold_due=now + OPEN_WAIT)
        own = self.figures
        said = [codec.multiprotocol(family) for family in sorted(own.families)]
        said += [codec.Capability(codec.REFRESH), codec.four_byte_as(own.local_as)]
        asn = own.local_as if own.local_as < 65536 else codec.AS_TRANS
        message = codec.Open(asn, own.hold_time, own.identifier, tuple(said))
        self.steps.append(Say(link.number, codec.encode(message)))
        return link

    def _took(self, link: Link, message: Message, now: int) -> None:
        second, count = self.heard
        self.heard = (second, count + 1) if second == now // SECOND else (now // SECOND, 1)
        if self.heard[1] > FLOOD:
            self.counts["floods"] += 1
            self._end(
                link, Notification(Code.CEASE, codec.OUT_OF_RESOURCES), now, "the peer floods this side"
            )
            return
        if isinstance(message, Notification):
            text = f" ({message.text()})" if message.text() else ""
            self.last = f"the peer sent NOTIFICATION {message.code}/{message.subcode}{text}"
            self._forget(link)
            self._lost(link, now, failed=True)
            return
        handler = MOVES.get((link.state, type(message)))
        if handler is None:
            subcode = WRONG_IN[link.state]
            text = f"{type(message).__name__} came in {link.state.name}"
            self._end(link, Notification(Code.FSM, subcode), now, text)
            return
        handler(self, link, message, now)

    def _open_came(self, link: Link, message: codec.Open, now: int) -> None:
        own = self.figures
        if message.real_asn() != own.remote_as:
            self._refuse(link, codec.BAD_PEER_AS, f"the peer's AS is {message.real_asn()}", now)
        elif message.identifier == own.identifier and own.local_as == own.remote_as:
            self._refuse(link, codec.BAD_IDENTIFIER, "the peer has this side's identifier", now)
        elif not message.families() & own.families:
            wanted = map(codec.multiprotocol, sorted(own.families))
            data = b"".join(bytes((each.code, len(each.value))) + each.value for each in wanted)
            note = Notification(Code.OPEN, codec.BAD_CAPABILITY, data)
            self._end(link, note, now, "no address family in common")
        else:
            link.remote = message
            if self._collides(link, now):
                return
            link.hold_time = min(own.hold_time, message.hold_time)
            link.decoder.four_bytes = message.has(codec.FOUR_BYTE_AS)
            link.state = State.OPEN_CONFIRM
            link.hold_due = now + link.hold_time * SECOND if link.hold_time else 0
            self._keepalive(link, now)

    def _refuse(self, link: Link, subcode: int, why: str, now: int) -> None:
        self._end(link, Notification(Code.OPEN, subcode), now, why)

    def _collides(self, link: Link, now: int) -> bool:
        """RFC 4271 6.8. True if this connection is the one that is closed."""
        others = [
            other for other in self.links.values() if other is not link and other.state > State.OPEN_SENT
        ]
        if not others:
            return False
        other, remote = others[0], link.remote
        assert remote is not None
        self.counts["collisions"] += 1
        note = Notification(Code.CEASE, codec.COLLISION)
        if other.state is State.ESTABLISHED:
            self._end(link, note, now, "collision with an established session", failed=False)
            return True
        # Kept is the one that the side with the higher identifier opened (equal ones: the higher AS, RFC
        # 6286).
        mine = (self.figures.identifier, self.figures.local_as) > (remote.identifier, self.figures.remote_as)
        loser = link if link.outgoing != mine else other
        self._end(loser, note, now, "collision", failed=False)
        return loser is link

    def _confirmed(self, link: Link, message: Message, now: int) -> None:
        link.state = State.ESTABLISHED
        self._heard(link, message, now)
        self.failures = 0
        self.since = now
        self.last = ""
        self.counts["sessions"] += 1
        assert link.remote is not None
        self.routes.session_up(link.remote.families() & self.figures.families)
        note = Notification(Code.CEASE, codec.COLLISION)
        for other in [each for each in self.links.values() if each is not link]:
            self._end(other, note, now, "collision", failed=False)

    def _heard(self, link: Link, message: Message, now: int) -> None:
        link.hold_due = now + link.hold_time * SECOND if link.hold_time else 0

    def _update_came(self, link: Link, message: codec.Update, now: int) -> None:
        """This side only announces: what others announce is read for its errors and dropped."""
        self._heard(link, message, now)
        self.counts["updates received"] += 1
        if message.as_withdrawn:
            self.counts["updates treated as withdrawn"] += 1

    def _refresh_came(self, link: Link, message: codec.RouteRefresh, now: int) -> None:
        """RFC 2918. It does not count as a sign of life for the hold timer (RFC 4271 8.2.2 names two that
        do).
        """
        self.counts["refreshes"] += 1
        self.routes.refresh(message.family)

    def _end(self, link: Link, note: Notification, now: int, why: str, failed: bool = True) -> None:
        """Says what was wrong, drops the connection."""
        if link.number not in self.links:
            return
        self.last = why
        self.steps.append(Say(link.number, codec.encode(note)))
        self._forget(link)
        self._lost(link, now, failed)

    def _forget(self, link: Link) -> None:
        self.links.pop(link.number, None)
        self.steps.append(Drop(link.number))

    def _lost(self, link: Link, now: int, failed: bool) -> None:
        if link.state is State.ESTABLISHED:
            self.since = now
            self.routes.session_down()
        if failed and self.started and not self.links:
            self._fail(now)

    def _fail(self, now: int) -> None:
        """Waits before the next try, longer each time (DampPeerOscillations, RFC 4271 8.1.1); never for
        ever.
        """
        self.failures += 1
        factor = min(LONGEST_IDLE, 2 ** (self.failures - 1))
        self.wait_until = now + max(1, round(self.figures.idle_wait * factor * self.jitter()))


MOVES: dict[tuple[State, type[Message]], Callable[..., None]] = {
    (State.OPEN_SENT, codec.Open): Peer._open_came,
    (State.OPEN_CONFIRM, codec.Keepalive): Peer._confirmed,
    (State.ESTABLISHED, codec.Keepalive): Peer._heard,
    (State.ESTABLISHED, codec.Update): Peer._update_came,
    (State.ESTABLISHED, codec.RouteRefresh): Peer._refresh_came,
}  # every other message in a state is an error of the finite state machine (RFC 6608)
