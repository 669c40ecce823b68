"""What this gateway knows of the list of nodes: versions, gaps, stale copies. Free of I/O and clocks.

Lists come in versions (epochs). A change is good only on top of the version before it; after a gap the whole
list is needed. What comes late or twice changes nothing. Times of starts arrive as ages and are kept on this
host's clock, so a wall clock that steps does no harm. A copy read from disk after a start may be stale, and
the clock it was written on may be another one: then every node counts as just started, which is the careful
side.
"""

from __future__ import annotations

from ochrecourse.common.time_units import MS

from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from ochrecourse.interface import Health, ListKind, NodeEntry
from ochrecourse.wire.messages import EndpointEntry

HEALTH = {"ready": Health.READY, "draining": Health.DRAINING, "gone": Health.GONE}


class BadEndpointListError(Exception):
    """A list that can't be taken; the text says which line of it and why."""


@dataclass(slots=True)
class EndpointListUpdate:
    """What to tell the gateway."""

    kind: ListKind
    entries: list[NodeEntry]
    addresses: dict[int, tuple[str, int]]


@dataclass(slots=True)
class EndpointListSnapshot:
    """What is kept on disk: the list, its version, the clock's time when it was written, and whose it is."""

    epoch: int
    written: int
    lines: list[EndpointEntry]
    gateway: str = ""
    cluster: int = 0  # of the registry that told it; 0: a list server did


class EndpointList:
    """The list as this gateway holds it."""

    def __init__(self) -> None:
        self.epoch = 0  # 0: none yet, or a gap; then the whole list is asked for
        self.lines: dict[int, EndpointEntry] = {}
        self.started: dict[int, int] = {}  # ns on this host's clock, 0 if long ago
        self.heard = -1  # when the last good list came
        self.gaps = 0
        self.repeats = 0

    def list_came(
        self, kind: str, epoch: int, lines: Sequence[EndpointEntry], now: int
    ) -> EndpointListUpdate | None:
        """Takes a list; None if it tells nothing new. After a gap `epoch` is 0: ask for the whole list.

        Raises BadEndpointListError; nothing of such a list is taken.
        """
        addresses = {line.node: address_of(line) for line in lines if line.health != "gone"}
        entries = [self._entry(line, now) for line in lines]
        if kind == "full":
            self.lines.clear()
            self.started.clear()
        elif kind != "delta":
            raise BadEndpointListError(f"a list of unknown kind {kind!r}")
        elif self.epoch and epoch <= self.epoch:
            self.repeats += 1
            return None
        elif epoch != self.epoch + 1:
            self.gaps += 1
            self.epoch = 0
            return None
        for line, entry in zip(lines, entries, strict=True):
            if line.health == "gone":
                self.lines.pop(line.node, None)
                self.started.pop(line.node, None)
            else:
                self.lines[line.node] = line
                self.started[line.node] = entry.started
        self.epoch, self.heard = epoch, now
        return EndpointListUpdate(ListKind.FULL if kind == "full" else ListKind.DELTA, entries, addresses)

    def copy(self, now: int) -> EndpointListSnapshot:
        """The list as it is to be kept; ages are those at `now`."""
        kept = []
        for node, line in sorted(self.lines.items()):
            started = self.started[node]
            age = (now - started) / MS if started else -1.0
            kept.append(msgspec.structs.replace(line, started_ms_ago=age))
        return EndpointListSnapshot(self.epoch, now, kept)

    def read_back(self, copy: EndpointListSnapshot, now: int) -> EndpointListUpdate:
        """A kept list after a start. Its version is not followed on: the whole list is asked for. Raises
        BadEndpointListError.
        """
        same_clock = 0 <= copy.written <= now
        entries, addresses = [], {}
        for line in copy.lines:
            entry = self._entry(line, copy.written if same_clock else now)
            if not same_clock:
                entry.started = now
            entries.append(entry)
            addresses[line.node] = address_of(line)
            self.lines[line.node] = line
            self.started[line.node] = entry.started
        return EndpointListUpdate(ListKind.CACHED, entries, addresses)

    def age(self, now: int) -> int | None:
        """ns since the last good list; None if none came in this life."""
        return None if self.heard < 0 else now - self.heard

    def _entry(self, line: EndpointEntry, now: int) -> NodeEntry:
        health = HEALTH.get(line.health)
        if health is None:
            raise BadEndpointListError(f"node {line.node} has unknown health {line.health!r}")
        if not 0 <= line.node < 2**32 or not 0 <= line.zone < 2**16 or not -1 <= line.shard < 2**16:
            raise BadEndpointListError(f"node {line.node} has a figure out of range")
        started = 0
        if line.started_ms_ago >= 0:
            # Guards against a start that looks new at each list: the first time told for this start is kept.
            started = max(1, now - round(line.started_ms_ago * MS))
            known = self.started.get(line.node, 0)
            if known and abs(known - started) < 1000 * MS:
                started = known
        return NodeEntry(line.node, line.zone, line.shard, health, started)


def address_of(line: EndpointEntry) -> tuple[str, int]:
    """Host and port of a line. Raises BadEndpointListError."""
    host, _, port = line.address.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise BadEndpointListError(f"node {line.node} has no address of the form host:port: {line.address!r}")
    return host.strip("[]"), int(port)
