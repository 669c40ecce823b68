"""This gateway's state of the endpoint list: versions, gaps, stale snapshots. Free of I/O and clocks.

Updates carry a version (epoch). A delta is applied only on top of the version before it; after a gap the
complete list is needed. Late and duplicate deltas are ignored. Start times are received as ages and stored on
this host's monotonic clock, so steps of the wall clock have no effect. A snapshot restored after a start may
be stale, and it may have been written on another clock; then every node counts as just started, which is the
safe assumption for nodes in slow start.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from ochrecourse.common.errors import OchrecourseError
from ochrecourse.common.time_units import MS, SECOND
from ochrecourse.interface import Health, ListKind, NodeEntry
from ochrecourse.wire.messages import EndpointEntry

KIND_BY_NAME = {"full": ListKind.FULL, "delta": ListKind.DELTA}
GONE = "gone"  # the health of an entry that is removed
HEALTH_BY_NAME = {"ready": Health.READY, "draining": Health.DRAINING, GONE: Health.GONE}
SAME_START_TOLERANCE_NS = 1 * SECOND
MAX_PORT = 65535


class BadEndpointListError(OchrecourseError):
    """A list that can't be applied; the text names the entry and the reason."""


@dataclass(slots=True)
class EndpointListUpdate:
    """An update for the gateway: the changed entries, or all of them, and their addresses.

    `addresses`: host and port by node number.
    """

    kind: ListKind
    entries: list[NodeEntry]
    addresses: dict[int, tuple[str, int]]


class EndpointListSnapshot(msgspec.Struct, rename={"written_at": "written", "entries": "lines"}):
    """The cached form of the list; `rename` gives the field names on disk.

    `written_at`: ns on the clock of the host that wrote it. `cluster`: ID of the registry cluster that sent
    the list, 0 for a list server.
    """

    epoch: int
    written_at: int
    entries: list[EndpointEntry]
    gateway: str = ""
    cluster: int = 0


class EndpointList:
    """The current list by node number.

    `epoch` is 0 before the first list and after a gap: the complete list must then be requested.
    `started_at`: ns on this host's clock, 0 if long ago. `confirmed_at`: ns when the list was last known to
    be current, -1 for never.
    """

    def __init__(self) -> None:
        self.epoch = 0
        self.entries: dict[int, EndpointEntry] = {}
        self.started_at: dict[int, int] = {}
        self.confirmed_at = -1
        self.gaps = 0
        self.duplicates = 0

    def apply_update(
        self, kind: str, epoch: int, entries: Sequence[EndpointEntry], now: int
    ) -> EndpointListUpdate | None:
        """Applies a complete list or a delta; returns None if it changes nothing. A gap resets `epoch` to 0.

        `kind` is "full" or "delta", as on the wire; `now` in ns. Raises BadEndpointListError, and then
        applies no part of the list.
        """
        addresses = {entry.node: address_of(entry) for entry in entries if entry.health != GONE}
        node_entries = [self._node_entry(entry, now) for entry in entries]
        list_kind = KIND_BY_NAME.get(kind)
        if list_kind is None:
            raise BadEndpointListError(f"a list of unknown kind {kind!r}")
        if list_kind is ListKind.FULL:
            self.entries.clear()
            self.started_at.clear()
        elif not self._is_next(epoch):
            return None
        for entry, node_entry in zip(entries, node_entries, strict=True):
            self._store(entry, node_entry.started)
        self.epoch, self.confirmed_at = epoch, now
        return EndpointListUpdate(list_kind, node_entries, addresses)

    def snapshot(self, now: int) -> EndpointListSnapshot:
        """Returns the list for the cache; ages are relative to `now`, in ns."""
        entries = []
        for node, entry in sorted(self.entries.items()):
            started_at = self.started_at[node]
            age_ms = (now - started_at) / MS if started_at else -1.0
            entries.append(msgspec.structs.replace(entry, started_ms_ago=age_ms))
        return EndpointListSnapshot(self.epoch, now, entries)

    def restore_snapshot(self, snapshot: EndpointListSnapshot, now: int) -> EndpointListUpdate:
        """Applies a cached list after a start. `epoch` stays 0, so that the complete list is requested.

        `now` in ns. Raises BadEndpointListError.
        """
        is_same_clock = 0 <= snapshot.written_at <= now
        node_entries: list[NodeEntry] = []
        addresses: dict[int, tuple[str, int]] = {}
        for entry in snapshot.entries:
            node_entry = self._node_entry(entry, snapshot.written_at if is_same_clock else now)
            if not is_same_clock:
                node_entry.started = now
            node_entries.append(node_entry)
            addresses[entry.node] = address_of(entry)
            self.entries[entry.node] = entry
            self.started_at[entry.node] = node_entry.started
        return EndpointListUpdate(ListKind.CACHED, node_entries, addresses)

    def age(self, now: int) -> int | None:
        """Returns ns since the list was last confirmed, or None if it was not since this process started."""
        return None if self.confirmed_at < 0 else now - self.confirmed_at

    def _is_next(self, epoch: int) -> bool:
        """Whether a delta directly follows the current version. Counts duplicates and gaps."""
        if self.epoch and epoch <= self.epoch:
            self.duplicates += 1
            return False
        if epoch != self.epoch + 1:
            self.gaps += 1
            self.epoch = 0
            return False
        return True

    def _store(self, entry: EndpointEntry, started_at: int) -> None:
        if entry.health == GONE:
            self.entries.pop(entry.node, None)
            self.started_at.pop(entry.node, None)
        else:
            self.entries[entry.node] = entry
            self.started_at[entry.node] = started_at

    def _node_entry(self, entry: EndpointEntry, now: int) -> NodeEntry:
        health = HEALTH_BY_NAME.get(entry.health)
        if health is None:
            raise BadEndpointListError(f"node {entry.node} has unknown health {entry.health!r}")
        if not 0 <= entry.node < 2**32 or not 0 <= entry.zone < 2**16 or not -1 <= entry.shard < 2**16:
            raise BadEndpointListError(f"node {entry.node} has a figure out of range")
        return NodeEntry(entry.node, entry.zone, entry.shard, health, self._start_time(entry, now))

    def _start_time(self, entry: EndpointEntry, now: int) -> int:
        """Returns a node's start time, ns on this host's clock; 0 if long ago."""
        if entry.started_ms_ago < 0:
            return 0
        started_at = max(1, now - round(entry.started_ms_ago * MS))
        known = self.started_at.get(entry.node, 0)
        # Received ages jitter: the start time computed first is kept, so that each update does not look like
        # a new start.
        if known and abs(known - started_at) < SAME_START_TOLERANCE_NS:
            return known
        return started_at


def address_of(entry: EndpointEntry) -> tuple[str, int]:
    """Returns an entry's host and port. Raises BadEndpointListError."""
    host, _, port = entry.address.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise BadEndpointListError(
            f"node {entry.node} has no address of the form host:port: {entry.address!r}"
        )
    return host.strip("[]"), int(port)
