"""Which connection an attempt takes, when one is opened, and when one is closed. Free of I/O and clocks.

Each node has a pool of connections, each carries several attempts. An attempt takes the open connection with
the fewest attempts; when all are full and the node's cap allows it, one more is dialled. An attempt that
waits takes the first connection to its node that has room: its own dial, another, or one that an attempt has
left. Attempts with long bodies, by what was seen of their request class, have connections of their own, at
most half of a node's: a short answer never waits behind the bytes of a long one. Dials of one gateway are
bounded in number: after a mass restart the rest wait in order of arrival, so that the nodes meet no storm of
handshakes. All figures come from the settings; the dispatcher asks, reports what happened, and pulls what to
do.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple


class PoolLimits(NamedTuple):
    """What the settings say of connections."""

    attempts: int  # on one connection at once
    connections: int  # to one node at once
    dials: int  # of one gateway at once
    idle: int  # ns without an attempt after which a connection is closed
    total: int = 0  # to all nodes at once; 0: no such bound


class State(Enum):
    """Where a connection stands."""

    QUEUED = "queued"  # waits for its turn to be dialled
    DIALLING = "dialling"
    OPEN = "open"
    LEAVING = "leaving"  # finishes its attempts, takes no new ones


@dataclass(slots=True, eq=False)
class PooledConnection:
    """One connection. `waiting` holds the attempts that wait for its dial, in order."""

    number: int
    node: int
    long: bool = False  # for attempts with long bodies
    state: State = State.QUEUED
    attempts: int = 0
    idle_since: int = 0
    dialled_at: int = 0
    slow: bool = False  # its dial takes longer than usual: no attempt waits for it that has another way
    waiting: deque[int] = field(default_factory=deque)


class Place(NamedTuple):
    """The answer to `place`: the connection an attempt takes (None: there is no room), whether it may go now,
    and a connection to another node that is to be closed for it.
    """

    connection: PooledConnection | None
    now: bool
    instead: PooledConnection | None = None


class Pool:
    """The connections of one gateway to all its nodes."""

    def __init__(self, limits: PoolLimits) -> None:
        self.limits = limits
        self.connections: dict[int, dict[int, PooledConnection]] = {}  # by node, by number
        self.queue: OrderedDict[int, PooledConnection] = OrderedDict()  # to be dialled, in order of arrival
        self.idle: OrderedDict[int, PooledConnection] = (
            OrderedDict()
        )  # open without an attempt, longest first
        self.dialling = 0
        self.count = 0
        self.long: set[str] = set()  # request classes whose last answer was long

    # --- what the dispatcher asks and reports ---

    def answered(self, request_class: str, long: bool) -> None:
        """An attempt's answer began: whether more of it is to come than one message holds."""
        if long:
            self.long.add(request_class)
        else:
            self.long.discard(request_class)

    def place(self, node: int, attempt: int, request_class: str = "", long: bool = False) -> Place:
        """Where an attempt for this node goes. It counts on that connection until `attempt_over`. `long`: its
        own body is.
        """
        connections = self.connections.setdefault(node, {})
        apart = self.limits.connections > 1
        long = apart and (long or request_class in self.long)
        best: PooledConnection | None = None
        instead: PooledConnection | None = None
        count = 0
        for connection in connections.values():
            if connection.long is not long:
                continue
            count += 1
            if (
                connection.state is State.LEAVING
                or connection.attempts >= self.limits.attempts
                or connection.slow
            ):
                continue
            if best is None or (connection.state is not State.OPEN, connection.attempts) < (
                best.state is not State.OPEN,
                best.attempts,
            ):
                best = connection
        if best is None:
            of_long = self.limits.connections // 2 if self.long or long else 0
            if count >= (of_long if long else self.limits.connections - of_long):
                return Place(None, False)
            if self.limits.total and self._taken() >= self.limits.total:
                # Guards against running out of descriptors: a connection that rests makes room.
                instead = next(iter(self.idle.values()), None)
                if instead is None:
                    return Place(None, False)
                self.leaving(instead)
            self.count += 1
            best = connections[self.count] = PooledConnection(self.count, node, long)
            self.queue[best.number] = best
        best.attempts += 1
        self.idle.pop(best.number, None)
        if best.state is State.OPEN:
            return Place(best, True)
        best.waiting.append(attempt)
        return Place(best, False, instead)

    def next_dial(self) -> PooledConnection | None:
        """The next connection to open, or None while enough dials are under way. Pull until None."""
        while self.queue and self.dialling < self.limits.dials:
            _, connection = self.queue.popitem(last=False)
            if not connection.attempts and self.waits(connection) is None:
                self.gone(connection)  # it was to help attempts that have left
                continue
            connection.state = State.DIALLING
            self.dialling += 1
            return connection
        return None

    def beside(self, connection: PooledConnection) -> bool:
        """A dial takes longer than usual. True if one more is queued for the attempts that wait there:
        one for each of them and one to spare, within the caps.
        """
        connection.slow = True
        connections = [
            each
            for each in self.connections.get(connection.node, {}).values()
            if each.long is connection.long
        ]
        if self._spare(connections) > 0 or len(connections) >= self.limits.connections:
            return False
        if self.limits.total and self._taken() >= self.limits.total:
            return False
        self.count += 1
        more = self.connections[connection.node][self.count] = PooledConnection(
            self.count, connection.node, connection.long
        )
        self.queue[more.number] = more
        return True

    def helps(self, connection: PooledConnection) -> bool:
        """Whether a dial may still serve an attempt: its own, or one that waits for another to that node
        while no more than one dial beside theirs is under way.
        """
        connections = [
            each
            for each in self.connections.get(connection.node, {}).values()
            if each.long is connection.long
        ]
        return bool(connection.waiting) or (
            self._spare(connections) <= 1 and any(each.waiting for each in connections)
        )

    def _spare(self, connections: list[PooledConnection]) -> int:
        """How many more dials are under way than attempts' own."""
        return sum(each.state in (State.QUEUED, State.DIALLING) and not each.waiting for each in connections)

    def waits(self, connection: PooledConnection) -> PooledConnection | None:
        """The connection to the same node, for attempts of the same kind, on whose dial an attempt waits
        longest.
        """
        for other in self.connections.get(connection.node, {}).values():
            if other.waiting and other.long is connection.long:
                return other
        return None

    def relieve(self, connection: PooledConnection) -> int | None:
        """An attempt that waits for another connection to this node and may go on this one now: it counts
        here from now on. None if there is no such attempt or no room. Pull until None.
        """
        if connection.state is not State.OPEN or connection.attempts >= self.limits.attempts:
            return None
        other = self.waits(connection)
        if other is None:
            return None
        attempt = other.waiting.popleft()
        other.attempts -= 1
        connection.attempts += 1
        self.idle.pop(connection.number, None)
        if not other.attempts and other.state is State.QUEUED:
            self.gone(other)
        return attempt

    def opened(self, connection: PooledConnection, now: int) -> list[int]:
        """A dial succeeded. Returns the attempts that waited for it, in order."""
        self.dialling -= 1
        connection.state, connection.slow = State.OPEN, False
        attempts, connection.waiting = list(connection.waiting), deque()
        if not connection.attempts:
            self._rest(connection, now)
        return attempts

    def gone(self, connection: PooledConnection) -> list[int]:
        """A connection ended or its dial failed. Returns the attempts that still waited for the dial."""
        if connection.state is State.DIALLING:
            self.dialling -= 1
        self.queue.pop(connection.number, None)
        self.idle.pop(connection.number, None)
        connections = self.connections.get(connection.node, {})
        connections.pop(connection.number, None)
        if not connections:
            self.connections.pop(connection.node, None)
        attempts, connection.waiting = list(connection.waiting), deque()
        connection.state = State.LEAVING
        return attempts

    def leaving(self, connection: PooledConnection) -> bool:
        """The node is leaving, or the gateway closes: no new attempts. True if the connection can be closed
        at once.
        """
        connection.state = State.LEAVING
        self.idle.pop(connection.number, None)
        return connection.attempts == 0

    def attempt_over(self, connection: PooledConnection, attempt: int, now: int) -> bool:
        """An attempt no longer needs its connection. True if the connection was leaving and can be closed
        now.

        A queued connection that nobody waits for any more is forgotten: its dial would help no attempt.
        """
        connection.attempts -= 1
        if attempt in connection.waiting:
            connection.waiting.remove(attempt)
        if connection.attempts:
            return False
        if connection.state is State.OPEN:
            self._rest(connection, now)
        elif connection.state is State.QUEUED:
            self.gone(connection)
        return connection.state is State.LEAVING

    def next_idle(self, now: int) -> PooledConnection | None:
        """The next connection that was idle for too long; it is leaving from now on. Pull until None."""
        for connection in self.idle.values():
            if connection.idle_since + self.limits.idle > now:
                return None
            self.leaving(connection)
            return connection
        return None

    def next_due(self) -> int | None:
        """When the next connection will have been idle for too long."""
        for connection in self.idle.values():
            return connection.idle_since + self.limits.idle
        return None

    def _taken(self) -> int:
        connections = (connection for each in self.connections.values() for connection in each.values())
        return sum(connection.state is not State.LEAVING for connection in connections)

    def _rest(self, connection: PooledConnection, now: int) -> None:
        connection.idle_since = now
        self.idle[connection.number] = connection
