"""What a gateway knows of a registry of keys with revisions, and what it requests next. Free of I/O.

In the registry's published form every change has a revision of the whole store; a range is read at one
revision, in pages; a watch sends the events from a revision on; old revisions are compacted. The rules:

- A range is pinned to the revision of its first page, and applied completely or not at all.
- A watch starts right after the last revision whose events are known here. That is the range's, or that of
  the newest event applied; a progress notification only shows that the server is up, for it may arrive before
  an event that it covers.
- An event counts once, by its key and revision, however often it is repeated; an older one never undoes a
  newer one.
- A compacted start revision, or a range whose revision was compacted between pages, means that the range is
  read again; the difference to what was known becomes the events.
- A server whose revision is behind what is known here, or whose cluster is another one, is not trusted. If
  every server is like that, an operator decides (`accept_registry`): the registry may have been restored.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from ochrecourse.common.errors import OchrecourseError


class UntrustedRegistryError(OchrecourseError):
    """A server that must not be trusted; the text says why. Another one is to be used."""


class RegistryRecord(NamedTuple):
    """One key as the registry has it; `mod_revision`: revision of its last change."""

    key: bytes
    value: bytes
    mod_revision: int


class WatchEvent(NamedTuple):
    """One change of a key; a `value` of None: it was deleted."""

    key: bytes
    value: bytes | None
    mod_revision: int


class RangeRequest(NamedTuple):
    """A page to read: from `start_key` on, at a revision (0: the newest)."""

    start_key: bytes
    revision: int


class WatchRequest(NamedTuple):
    """Events to watch, from this revision on."""

    start_revision: int


class RangePage(NamedTuple):
    """A page that was read: the server's cluster and revision, records in order of keys, and whether there
    are more.
    """

    cluster_id: int
    revision: int
    records: Sequence[RegistryRecord]
    more: bool


class SyncPhase(Enum):
    """How the state is kept current."""

    RANGE = "reading the range"
    WATCH = "watching events"


@dataclass(slots=True)
class _PartialRange:
    """A range of which pages are missing. `revision` is 0 before the first page."""

    next_key: bytes
    revision: int = 0
    cluster_id: int = 0
    records: dict[bytes, RegistryRecord] = field(default_factory=dict)


class RegistryState:
    """All keys under one prefix, as this gateway knows them.

    `cluster_id` is 0 before one is known; all events up to `known_revision` are applied. `deleted`: revisions
    of keys that were deleted since the last range. `distrust_reason`: why the last server was not trusted,
    empty once one is.
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
        """Sets what was known before a restart, so that a registry that was rolled back since is noticed."""
        self.cluster_id, self.known_revision = cluster_id, revision

    # --- requests ---

    def next_request(self) -> RangeRequest | WatchRequest:
        """What to request of the current server, now or after a reconnect."""
        if self.phase is SyncPhase.RANGE:
            return RangeRequest(self._partial_range.next_key, self._partial_range.revision)
        return WatchRequest(self.known_revision + 1)

    def connection_lost(self) -> None:
        """The current server is left: a range starts again, a watch resumes where it was."""
        if self.phase is SyncPhase.RANGE:
            self._partial_range = _PartialRange(self.prefix)

    # --- responses ---

    def page_received(self, page: RangePage) -> list[WatchEvent] | None:
        """Adds a page to the range; the last one returns the differences to what was known, others None.

        Raises UntrustedRegistryError.
        """
        self._check_trust(page.cluster_id, page.revision)
        pending = self._partial_range
        if pending.revision and (page.revision < pending.revision or page.cluster_id != pending.cluster_id):
            # Guards against a range that is put together from two states of the registry.
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
        """A server answered a watch or a freshness check. Raises UntrustedRegistryError."""
        self._check_trust(cluster_id, revision)
        self.distrust_reason = ""

    def events_received(self, cluster_id: int, events: Sequence[WatchEvent]) -> list[WatchEvent]:
        """Applies events of the watch, in the registry's order; returns those that changed something.

        Raises UntrustedRegistryError.
        """
        self._check_trust(cluster_id, self.known_revision)
        applied = [event for event in events if self._apply_event(event)]
        # All events of one revision arrive together: only after them is it known.
        self.known_revision = max([self.known_revision, *(event.mod_revision for event in events)])
        return applied

    def compacted(self) -> None:
        """The revision that was requested is no longer there: the range is read again."""
        self.counts["compacted"] += 1
        self._restart_range()

    # --- trust ---

    def accept_registry(self) -> None:
        """An operator says that the registry is right though it was rolled back or is another one."""
        self.cluster_id = self.known_revision = 0
        self.distrust_reason = ""
        # Records stay until a range replaces them; revisions of the old history mean nothing now.
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
        """Whether the event changed something."""
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
