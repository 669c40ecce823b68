"""This gateway's state of a registry of revisioned keys, and the next request to it. Free of I/O.

In the registry's API every change has a revision of the whole store; a range is read at one revision, in
pages; a watch sends the events from a revision on; old revisions are compacted. The rules:

- A range is pinned to the revision of its first page, and is applied completely or not at all.
- A watch starts right after the last revision whose events have been applied: the range's, or that of the
  newest applied event. A progress notification does not advance it, because it may arrive before an event
  that it covers; it only shows that the server is up.
- An event is applied once, by its key and revision, however often it is repeated; an older event never undoes
  a newer one.
- If the start revision of a watch was compacted, or the revision of a range between its pages, the range is
  read again, and its differences from the known records become the events.
- A server whose revision is behind the known one, or which belongs to another cluster, is not trusted. If no
  server is trusted, an operator decides (`accept_registry`): the registry may have been restored from a
  backup.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from ochrecourse.common.errors import OchrecourseError


class UntrustedRegistryError(OchrecourseError):
    """A server is not trusted and another must be used; the text says why."""


class RegistryRecord(NamedTuple):
    """A key of the registry; `mod_revision`: revision of its last change."""

    key: bytes
    value: bytes
    mod_revision: int


class WatchEvent(NamedTuple):
    """A change of a key; a `value` of None: the key was deleted."""

    key: bytes
    value: bytes | None
    mod_revision: int


class RangeRequest(NamedTuple):
    """A request for a page of the range: from `start_key` on, at a revision (0: the newest)."""

    start_key: bytes
    revision: int


class WatchRequest(NamedTuple):
    """A request for a watch of the events from `start_revision` on."""

    start_revision: int


class RangePage(NamedTuple):
    """A received page: the server's cluster and revision, records in key order, whether more follow."""

    cluster_id: int
    revision: int
    records: Sequence[RegistryRecord]
    more: bool


class SyncPhase(Enum):
    """Whether the range is being read or its changes are watched."""

    RANGE = "reading the range"
    WATCH = "watching events"


@dataclass(slots=True)
class _PartialRange:
    """An incomplete range. `revision` is 0 before the first page."""

    next_key: bytes
    revision: int = 0
    cluster_id: int = 0
    records: dict[bytes, RegistryRecord] = field(default_factory=dict)


class RegistryState:
    """The known records of all keys under one prefix.

    `cluster_id`: 0 until a server has responded. `known_revision`: all events up to it are applied.
    `deleted`: revision of deletion of each key deleted since the last range. `distrust_reason`: why the last
    server was not trusted, empty once one is.
    """

    def __init__(self, prefix: bytes) -> None:
        self.prefix = prefix
        self.cluster_id = 0
        self.known_revision = 0
        self.records: dict[bytes, RegistryRecord] = {}
        self.deleted: dict[bytes, int] = {}
        self.phase = SyncPhase.RANGE
        self.distrust_reason = ""
        self.counts = {"ranges": 0, "compacted": 0, "repeats": 0, "untrusted": 0}
        self._partial_range = _PartialRange(prefix)

    def resume_from(self, cluster_id: int, revision: int) -> None:
        """Restores cluster and revision known before a restart, to detect a registry rolled
        back meanwhile.
        """
        self.cluster_id, self.known_revision = cluster_id, revision

    # --- requests ---

    def next_request(self) -> RangeRequest | WatchRequest:
        """Returns the next request to the current server, also after a reconnect."""
        if self.phase is SyncPhase.RANGE:
            return RangeRequest(self._partial_range.next_key, self._partial_range.revision)
        return WatchRequest(self.known_revision + 1)

    def connection_lost(self) -> None:
        """The connection to the current server ended: a range starts again, a watch resumes at
        its revision.
        """
        if self.phase is SyncPhase.RANGE:
            self._partial_range = _PartialRange(self.prefix)

    # --- responses ---

    def page_received(self, page: RangePage) -> list[WatchEvent] | None:
        """Adds a page to the range. Returns the differences from the known records after the last page, else
        None.

        Raises UntrustedRegistryError.
        """
        self._check_trust(page.cluster_id, page.revision)
        pending = self._partial_range
        if pending.revision and (page.revision < pending.revision or page.cluster_id != pending.cluster_id):
            # Prevents a range that mixes pages of two states of the registry.
            self._partial_range = _PartialRange(self.prefix)
            self._distrust(f"its revision {page.revision} is behind the range's, {pending.revision}")
        if not pending.revision:
            pending.revision, pending.cluster_id = page.revision, page.cluster_id
        for record in page.records:
            pending.records[record.key] = record
        if page.more and page.records:
            pending.next_key = page.records[-1].key + b"\0"
            return None
        return self._apply_range(pending)

    def verify_server(self, cluster_id: int, revision: int) -> None:
        """Checks a server that answered a watch or a freshness check. Raises UntrustedRegistryError."""
        self._check_trust(cluster_id, revision)
        self.distrust_reason = ""

    def events_received(self, cluster_id: int, events: Sequence[WatchEvent]) -> list[WatchEvent]:
        """Applies events of the watch, in the registry's order; returns those that changed a record.

        Raises UntrustedRegistryError.
        """
        self._check_trust(cluster_id, self.known_revision)
        applied = [event for event in events if self._apply_event(event)]
        # All events of one revision arrive in one message: the revision is known only after all of them.
        self.known_revision = max([self.known_revision, *(event.mod_revision for event in events)])
        return applied

    def compacted(self) -> None:
        """The requested revision was compacted: the range is read again."""
        self.counts["compacted"] += 1
        self._restart_range()

    # --- trust ---

    def accept_registry(self) -> None:
        """An operator accepts the registry although it was rolled back or is another cluster."""
        self.cluster_id = self.known_revision = 0
        self.distrust_reason = ""
        # Records are kept until a range replaces them; revisions of the old history are no longer comparable.
        self.records = {key: record._replace(mod_revision=0) for key, record in self.records.items()}
        self.deleted.clear()
        self._restart_range()

    def _check_trust(self, cluster_id: int, revision: int) -> None:
        if self.cluster_id and cluster_id != self.cluster_id:
            self._distrust(f"it is of cluster {cluster_id:x}, not {self.cluster_id:x}")
        if revision < self.known_revision:
            self._distrust(f"its revision {revision} is behind {self.known_revision}")

    def _distrust(self, reason: str) -> None:
        self.counts["untrusted"] += 1
        self.distrust_reason = reason
        raise UntrustedRegistryError(reason)

    # --- changes of the state ---

    def _restart_range(self) -> None:
        self.phase, self._partial_range = SyncPhase.RANGE, _PartialRange(self.prefix)

    def _apply_range(self, complete: _PartialRange) -> list[WatchEvent]:
        previous, self.records = self.records, complete.records
        deleted_keys = sorted(previous.keys() - complete.records.keys())
        events = [WatchEvent(key, None, complete.revision) for key in deleted_keys]
        for key, record in sorted(complete.records.items()):
            if key not in previous or previous[key].mod_revision != record.mod_revision:
                events.append(WatchEvent(*record))
        self.known_revision, self.cluster_id = complete.revision, complete.cluster_id
        self.deleted.clear()
        self.distrust_reason = ""
        self.counts["ranges"] += 1
        self.phase, self._partial_range = SyncPhase.WATCH, _PartialRange(self.prefix)
        return events

    def _apply_event(self, event: WatchEvent) -> bool:
        """Applies an event unless it is a repeat; returns whether it changed a record."""
        record = self.records.get(event.key)
        newest = max(record.mod_revision if record else 0, self.deleted.get(event.key, 0))
        if event.mod_revision <= newest:
            self.counts["repeats"] += 1
            return False
        if event.value is None:
            self.deleted[event.key] = event.mod_revision
            return self.records.pop(event.key, None) is not None
        self.deleted.pop(event.key, None)
        self.records[event.key] = RegistryRecord(event.key, event.value, event.mod_revision)
        return True
