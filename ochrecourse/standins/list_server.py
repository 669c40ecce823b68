"""A list server that pushes the node list and its changes to watching gateways, with a delay and on request
unavailable.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, ClassVar

import msgspec
from twisted.internet.protocol import Factory

from ochrecourse.audit import records as r
from ochrecourse.common.runtime import Clock, now_ns
from ochrecourse.common.time_units import MS
from ochrecourse.wire import messages as m
from ochrecourse.wire.framed_protocol import FramedProtocol
from ochrecourse.wire.state import ListConnectionState, StreamState, Role

MAX_KEPT_CHANGES = 256  # for reconnecting gateways; one that misses more gets the full list


class ListConnection(FramedProtocol):
    """The connection of one gateway."""

    max_body: ClassVar[int] = m.MAX_LIST_BODY_BYTES

    def __init__(self, server: ListServer) -> None:
        super().__init__(server.clock, Role.RESPONDER, ListConnectionState())
        self.server = server
        self.gateway = ""
        self.next_send_at = 0.0

    def connection_ready(self) -> None:
        """Sends Hello."""
        self.send_message(m.Hello(version=m.PROTOCOL_VERSION, role="list", name="list"))

    def message_received(self, message: m.AnyMessage, body: bytes, after: StreamState | None) -> None:
        """Handles Hello and WatchEndpoints; the latter starts the pushes."""
        if isinstance(message, m.Hello):
            self.gateway = message.name
        elif isinstance(message, m.WatchEndpoints):
            self.server.connections[self] = None
            self.server.catch_up(self, message.epoch)

    def send_entries(self, kind: str, epoch: int, entries: list[m.EndpointEntry]) -> None:
        """Sends the full list or a delta, and records each entry as sent to the gateway."""
        now = now_ns(self.clock)
        for entry in entries:
            started = 0 if entry.started_ms_ago < 0 else now - round(entry.started_ms_ago * MS)
            self.server.record(
                r.NodeHealthSent(
                    t=now, gateway=self.gateway, node=entry.node, health=entry.health, started=started
                )
            )
        self.send_message(m.EndpointListMessage(kind=kind, epoch=epoch), m.encode_list(entries))

    def connection_ended(self, mid_message: bool) -> None:
        """Stops the pushes to this gateway."""
        self.server.connections.pop(self, None)


class ListServer(Factory):
    """The node list. `update_entry` creates a new version, which is pushed to each gateway after a small
    random delay.
    """

    noisy = False

    def __init__(self, clock: Clock, seed: int, max_delay: float, record: r.Recorder) -> None:
        self.clock = clock
        self.random_source = random.Random(seed)
        self.max_delay = max_delay  # s; upper bound of the random delay of each push
        self.record = record
        self.epoch = 1
        self.entries: dict[int, m.EndpointEntry] = {}
        self.started: dict[int, int] = {}
        self.changes: list[m.EndpointEntry] = []  # the latest ones; the last one created version `epoch`
        self.connections: dict[ListConnection, None] = {}
        self.unavailable = False
        self.change_listeners: list[Callable[[m.EndpointEntry], None]] = []  # called with each changed entry
        self.availability_listeners: list[Callable[[bool], None]] = []  # called with true once unavailable

    def buildProtocol(self, addr: Any) -> ListConnection | None:
        """Refuses connections while the list is unavailable."""
        return None if self.unavailable else ListConnection(self)

    def add_initial_entry(self, entry: m.EndpointEntry, started: int) -> None:
        """Adds an entry of the first version, before any gateway connects."""
        self.entries[entry.node], self.started[entry.node] = entry, started

    def update_entry(self, entry: m.EndpointEntry, started: int) -> None:
        """Creates a new version with this entry changed; health "gone" removes it. `started`: ns, 0 if
        it started long ago.
        """
        self.epoch += 1
        self.changes.append(entry)
        del self.changes[:-MAX_KEPT_CHANGES]
        if entry.health == "gone":
            self.entries.pop(entry.node, None)
        else:
            self.entries[entry.node], self.started[entry.node] = entry, started
        for listener in self.change_listeners:
            listener(self._with_age(entry))
        for connection in list(self.connections):
            # Each gateway gets changes in order, whatever the random delays are.
            connection.next_send_at = max(
                connection.next_send_at, self.clock.seconds() + self.random_source.uniform(0, self.max_delay)
            )
            self.clock.callLater(
                connection.next_send_at - self.clock.seconds(), self._push, connection, self.epoch, entry
            )

    def catch_up(self, connection: ListConnection, epoch: int) -> None:
        """Sends a gateway the changes that it missed, or the full list if they are no longer kept."""
        missed_count = self.epoch - epoch
        if 0 < epoch <= self.epoch and missed_count <= len(self.changes):
            for version in range(epoch + 1, self.epoch + 1):
                self._push(connection, version, self.changes[version - self.epoch - 1])
        else:
            connection.send_entries(
                "full", self.epoch, [self._with_age(entry) for _, entry in sorted(self.entries.items())]
            )

    def set_unavailable(self, unavailable: bool) -> None:
        """Makes the list unavailable, which closes all connections, or available again."""
        self.unavailable = unavailable
        if unavailable:
            self.abort_connections()
        for listener in self.availability_listeners:
            listener(unavailable)

    def abort_connections(self) -> None:
        """Aborts the connections of all gateways."""
        for connection in list(self.connections):
            connection.abort()

    def _push(self, connection: ListConnection, epoch: int, entry: m.EndpointEntry) -> None:
        if connection.is_open and connection in self.connections:
            connection.send_entries("delta", epoch, [self._with_age(entry)])

    def _with_age(self, entry: m.EndpointEntry) -> m.EndpointEntry:
        started = self.started.get(entry.node, 0)
        age = (now_ns(self.clock) - started) / MS if started else -1.0
        return msgspec.structs.replace(entry, started_ms_ago=age)
