"""The pool of connections to nodes: assigns attempts, queues dials, evicts. Performs no I/O, reads no clock.

Each node has a pool of connections, and each connection carries several attempts:

- An attempt takes the open connection with the fewest attempts. When all are full, one more is dialled within
  the node's limit.
- A waiting attempt takes the first connection to its node that has capacity: that of its own dial, that of
  another dial, or one on which an attempt has ended.
- Attempts with long bodies, as last observed of their request class, use separate connections, at most half
  of a node's, so that a short response never waits behind the bytes of a long one.
- Concurrent dials of one gateway are bounded and the others queue in order of arrival, which prevents a storm
  of handshakes at the nodes after a mass restart.

All limits come from the settings. The dispatcher requests placements, reports events, and pulls the actions
that follow.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple


class PoolLimits(NamedTuple):
    """The limits of a pool, from the settings."""

    attempts_per_connection: int
    connections_per_node: int
    concurrent_dials: int  # of one gateway
    idle_timeout: int  # ns without an attempt, after which a connection is closed
    total_connections: int = 0  # to all nodes; 0: unlimited


class ConnectionStatus(Enum):
    """The states of a pooled connection."""

    QUEUED = "queued"  # in the dial queue
    DIALLING = "dialling"
    OPEN = "open"
    DRAINING = "draining"  # finishes its attempts, accepts no new ones


@dataclass(slots=True, eq=False)
class PooledConnection:
    """The pool's record of one connection to a node."""

    number: int
    node: int
    long_bodies: bool = False  # reserved for attempts with long bodies
    status: ConnectionStatus = ConnectionStatus.QUEUED
    attempt_count: int = 0  # attempts in flight on it or waiting for its dial
    idle_since: int = 0  # ns
    dialled_at: int = 0  # ns
    slow_dial: bool = False  # its dial takes longer than usual: no more attempts are placed on it
    waiting: deque[int] = field(default_factory=deque)  # numbers of the attempts that wait for its dial


class Placement(NamedTuple):
    """The connection assigned to an attempt.

    `connection`: None if there is no capacity; `ready`: whether the attempt may be written now; `evicted`: an
    idle connection, possibly to another node, that must be closed to stay within the total limit.
    """

    connection: PooledConnection | None
    ready: bool
    evicted: PooledConnection | None = None


class Pool:
    """The connections of one gateway to all its nodes."""

    def __init__(self, limits: PoolLimits) -> None:
        self.limits = limits
        self.connections: dict[int, dict[int, PooledConnection]] = {}  # by node, by number
        self.dial_queue: OrderedDict[int, PooledConnection] = OrderedDict()  # in order of arrival
        self.idle: OrderedDict[int, PooledConnection] = OrderedDict()  # open ones, longest idle first
        self.dial_count = 0  # dials in progress
        self.last_number = 0
        self.long_classes: set[str] = set()  # request classes whose last response was long

    # --- placing attempts ---

    def response_began(self, request_class: str, long_body: bool) -> None:
        """Records the kind of response of a request class; `long_body`: longer than its first message."""
        if long_body:
            self.long_classes.add(request_class)
        else:
            self.long_classes.discard(request_class)

    def place(self, node: int, attempt: int, request_class: str = "", long_body: bool = False) -> Placement:
        """Assigns a connection to an attempt, which uses its capacity until `attempt_ended`.

        `long_body`: whether the attempt's own body is long.
        """
        connections = self.connections.setdefault(node, {})
        separate = self.limits.connections_per_node > 1
        long_body = separate and (long_body or request_class in self.long_classes)
        same_kind = [each for each in connections.values() if each.long_bodies is long_body]
        connection = self._least_loaded(same_kind)
        evicted: PooledConnection | None = None
        if connection is None:
            if len(same_kind) >= self._max_connections(long_body):
                return Placement(None, False)
            if self._at_total_limit():
                # The total is bounded by file descriptors: closes an idle connection to free one.
                evicted = next(iter(self.idle.values()), None)
                if evicted is None:
                    return Placement(None, False)
                self.drain(evicted)
            connection = self._queue_dial(node, long_body)
        connection.attempt_count += 1
        self.idle.pop(connection.number, None)
        if connection.status is ConnectionStatus.OPEN:
            return Placement(connection, True)
        connection.waiting.append(attempt)
        return Placement(connection, False, evicted)

    def attempt_ended(self, connection: PooledConnection, attempt: int, now: int) -> bool:
        """Releases an attempt's capacity. Returns True if the connection was draining and can be closed.

        A queued connection for which no attempt waits any more is removed without a dial.
        """
        connection.attempt_count -= 1
        if attempt in connection.waiting:
            connection.waiting.remove(attempt)
        if connection.attempt_count:
            return False
        if connection.status is ConnectionStatus.OPEN:
            self._mark_idle(connection, now)
        elif connection.status is ConnectionStatus.QUEUED:
            self.remove(connection)
        return connection.status is ConnectionStatus.DRAINING

    def take_waiting(self, connection: PooledConnection) -> int | None:
        """Moves an attempt that waits for another connection to the same node to this open one.

        Returns its number, None without such an attempt or without capacity. Call until it returns None.
        """
        at_limit = connection.attempt_count >= self.limits.attempts_per_connection
        if connection.status is not ConnectionStatus.OPEN or at_limit:
            return None
        other = self._first_with_waiting(connection)
        if other is None:
            return None
        attempt = other.waiting.popleft()
        other.attempt_count -= 1
        connection.attempt_count += 1
        self.idle.pop(connection.number, None)
        if not other.attempt_count and other.status is ConnectionStatus.QUEUED:
            self.remove(other)
        return attempt

    # --- dials ---

    def next_dial(self) -> PooledConnection | None:
        """Returns the next connection to dial, None at the dial limit. Call until it returns None."""
        while self.dial_queue and self.dial_count < self.limits.concurrent_dials:
            _, connection = self.dial_queue.popitem(last=False)
            if not connection.attempt_count and self._first_with_waiting(connection) is None:
                self.remove(connection)  # the attempts for which it was queued have ended
                continue
            connection.status = ConnectionStatus.DIALLING
            self.dial_count += 1
            return connection
        return None

    def hedge_dial(self, connection: PooledConnection) -> bool:
        """Marks a dial as slow. Returns True if a second one was queued for the attempts that wait for it.

        Within the limits there is at most one spare dial beyond those for which attempts wait.
        """
        connection.slow_dial = True
        same_kind = self._same_kind(connection)
        if _spare_dials(same_kind) > 0 or len(same_kind) >= self.limits.connections_per_node:
            return False
        if self._at_total_limit():
            return False
        self._queue_dial(connection.node, connection.long_bodies)
        return True

    def dial_is_useful(self, connection: PooledConnection) -> bool:
        """Whether a dial may still serve an attempt.

        This is an attempt that waits for it, or one that waits for another connection of the same kind to the
        same node while at most one spare dial is in progress.
        """
        if connection.waiting:
            return True
        same_kind = self._same_kind(connection)
        return _spare_dials(same_kind) <= 1 and any(each.waiting for each in same_kind)

    def opened(self, connection: PooledConnection, now: int) -> list[int]:
        """Marks a connection as open. Returns the numbers of the attempts that waited for it, in order."""
        self.dial_count -= 1
        connection.status, connection.slow_dial = ConnectionStatus.OPEN, False
        attempts, connection.waiting = list(connection.waiting), deque()
        if not connection.attempt_count:
            self._mark_idle(connection, now)
        return attempts

    # --- closing connections ---

    def remove(self, connection: PooledConnection) -> list[int]:
        """Removes a connection that ended or whose dial failed. Returns the attempts waiting for its dial."""
        if connection.status is ConnectionStatus.DIALLING:
            self.dial_count -= 1
        self.dial_queue.pop(connection.number, None)
        self.idle.pop(connection.number, None)
        connections = self.connections.get(connection.node, {})
        connections.pop(connection.number, None)
        if not connections:
            self.connections.pop(connection.node, None)
        attempts, connection.waiting = list(connection.waiting), deque()
        connection.status = ConnectionStatus.DRAINING
        return attempts

    def drain(self, connection: PooledConnection) -> bool:
        """Stops placing attempts on a connection. Returns True if it carries none and can be closed now."""
        connection.status = ConnectionStatus.DRAINING
        self.idle.pop(connection.number, None)
        return connection.attempt_count == 0

    def next_idle(self, now: int) -> PooledConnection | None:
        """Drains and returns the next connection past its idle time-out. Call until it returns None."""
        for connection in self.idle.values():
            if connection.idle_since + self.limits.idle_timeout > now:
                return None
            self.drain(connection)
            return connection
        return None

    def next_idle_deadline(self) -> int | None:
        """Returns the clock time (ns) of the next idle time-out, None without idle connections."""
        for connection in self.idle.values():
            return connection.idle_since + self.limits.idle_timeout
        return None

    # --- internals ---

    def _least_loaded(self, connections: Iterable[PooledConnection]) -> PooledConnection | None:
        """Returns the connection with capacity and the fewest attempts, preferring open ones."""
        candidates = [
            each
            for each in connections
            if each.status is not ConnectionStatus.DRAINING
            and each.attempt_count < self.limits.attempts_per_connection
            and not each.slow_dial
        ]
        return min(
            candidates,
            key=lambda each: (each.status is not ConnectionStatus.OPEN, each.attempt_count),
            default=None,
        )

    def _max_connections(self, long_body: bool) -> int:
        """Returns the limit on connections of this kind to one node."""
        limit = self.limits.connections_per_node
        long_limit = limit // 2 if self.long_classes or long_body else 0
        return long_limit if long_body else limit - long_limit

    def _at_total_limit(self) -> bool:
        limit = self.limits.total_connections
        return limit != 0 and self._active_connections() >= limit

    def _active_connections(self) -> int:
        connections = (connection for each in self.connections.values() for connection in each.values())
        return sum(connection.status is not ConnectionStatus.DRAINING for connection in connections)

    def _queue_dial(self, node: int, long_bodies: bool) -> PooledConnection:
        self.last_number += 1
        connection = PooledConnection(self.last_number, node, long_bodies)
        self.connections[node][connection.number] = connection
        self.dial_queue[connection.number] = connection
        return connection

    def _same_kind(self, connection: PooledConnection) -> list[PooledConnection]:
        """Returns the connections to the same node of the same kind, including this one."""
        connections = self.connections.get(connection.node, {}).values()
        return [each for each in connections if each.long_bodies is connection.long_bodies]

    def _first_with_waiting(self, connection: PooledConnection) -> PooledConnection | None:
        """Returns the oldest connection of the same kind to the same node for whose dial an attempt waits."""
        for other in self.connections.get(connection.node, {}).values():
            if other.waiting and other.long_bodies is connection.long_bodies:
                return other
        return None

    def _mark_idle(self, connection: PooledConnection, now: int) -> None:
        connection.idle_since = now
        self.idle[connection.number] = connection


def _spare_dials(connections: Iterable[PooledConnection]) -> int:
    """Returns the number of queued or running dials for which no attempt waits."""
    dialling = (ConnectionStatus.QUEUED, ConnectionStatus.DIALLING)
    return sum(each.status in dialling and not each.waiting for each in connections)
