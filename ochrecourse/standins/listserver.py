"""A list server: pushes the whole list and changes of it to gateways that follow, late, and breaks when told
to.
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

KEPT = 256  # changes that are kept for gateways that come back; after more they get the whole list


class ListPort(FramedProtocol):
    """One gateway's connection."""

    max_body: ClassVar[int] = m.MAX_LIST_BODY_BYTES

    def __init__(self, server: ListServer) -> None:
        super().__init__(server.clock, Role.RESPONDER, ListConnectionState())
        self.server = server
        self.gateway = ""
        self.next_at = 0.0

    def connection_ready(self) -> None:
        self.send_message(m.Hello(version=m.PROTOCOL_VERSION, role="list", name="list"))

    def message_received(self, message: m.AnyMessage, body: bytes, after: StreamState | None) -> None:
        if isinstance(message, m.Hello):
            self.gateway = message.name
        elif isinstance(message, m.WatchEndpoints):
            self.server.ports[self] = None
            self.server.bring(self, message.epoch)

    def tell(self, kind: str, epoch: int, lines: list[m.EndpointEntry]) -> None:
        now = now_ns(self.clock)
        for line in lines:
            started = 0 if line.started_ms_ago < 0 else now - round(line.started_ms_ago * MS)
            self.server.record(
                r.NodeHealthSent(
                    t=now, gateway=self.gateway, node=line.node, health=line.health, started=started
                )
            )
        self.send_message(m.EndpointListMessage(kind=kind, epoch=epoch), m.encode_list(lines))

    def connection_ended(self, mid_message: bool) -> None:
        self.server.ports.pop(self, None)


class ListServer(Factory):
    """The list. `change` makes a new version of it, pushed to each follower after its own small delay."""

    noisy = False

    def __init__(self, clock: Clock, seed: int, spread: float, record: r.Recorder) -> None:
        self.clock = clock
        self.chance = random.Random(seed)
        self.spread = spread  # s; each follower hears of a change up to so much later
        self.record = record
        self.epoch = 1
        self.lines: dict[int, m.EndpointEntry] = {}
        self.started: dict[int, int] = {}
        self.changes: list[m.EndpointEntry] = []  # the last ones; the newest made version `epoch`
        self.ports: dict[ListPort, None] = {}
        self.gone = False
        self.mirrors: list[Callable[[m.EndpointEntry], None]] = []  # hear of each change
        self.followers: list[Callable[[bool], None]] = []  # hear when the list goes (true) and comes back

    def buildProtocol(self, addr: Any) -> ListPort | None:
        return None if self.gone else ListPort(self)

    def put(self, line: m.EndpointEntry, started: int) -> None:
        """A line of the first list, before anyone follows."""
        self.lines[line.node], self.started[line.node] = line, started

    def change(self, line: m.EndpointEntry, started: int) -> None:
        """A new version with this line changed (health gone: removed). `started` in ns, 0 long ago."""
        self.epoch += 1
        self.changes.append(line)
        del self.changes[:-KEPT]
        if line.health == "gone":
            self.lines.pop(line.node, None)
        else:
            self.lines[line.node], self.started[line.node] = line, started
        for mirror in self.mirrors:
            mirror(self._aged(line))
        for port in list(self.ports):
            # A follower hears of changes in their order, however the delays fall.
            port.next_at = max(port.next_at, self.clock.seconds() + self.chance.uniform(0, self.spread))
            self.clock.callLater(port.next_at - self.clock.seconds(), self._push, port, self.epoch, line)

    def bring(self, port: ListPort, epoch: int) -> None:
        """Brings a follower up to date: what it missed, or the whole list."""
        missed = self.epoch - epoch
        if 0 < epoch <= self.epoch and missed <= len(self.changes):
            for at in range(epoch + 1, self.epoch + 1):
                self._push(port, at, self.changes[at - self.epoch - 1])
        else:
            port.tell("full", self.epoch, [self._aged(line) for _, line in sorted(self.lines.items())])

    def go(self, gone: bool) -> None:
        """The list can't be reached from now on, or can again."""
        self.gone = gone
        if gone:
            self.break_all()
        for follower in self.followers:
            follower(gone)

    def break_all(self) -> None:
        for port in list(self.ports):
            port.abort()

    def _push(self, port: ListPort, epoch: int, line: m.EndpointEntry) -> None:
        if port.is_open and port in self.ports:
            port.tell("delta", epoch, [self._aged(line)])

    def _aged(self, line: m.EndpointEntry) -> m.EndpointEntry:
        started = self.started.get(line.node, 0)
        age = (now_ns(self.clock) - started) / MS if started else -1.0
        return msgspec.structs.replace(line, started_ms_ago=age)
