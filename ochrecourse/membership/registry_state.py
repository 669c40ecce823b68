"""What a gateway knows of a registry of keys with revisions, and what it asks next. Free of I/O and clocks.

The registry's published form: every change has a revision of the whole store; a range is read at one
revision, in pages; a watch gives the changes from a revision on; old revisions are compacted away. The rules:

- A range is pinned to the revision of its first page, and taken whole or not at all.
- A watch begins right after the last revision whose changes are known here. That is the range's, or that of
  the newest change taken; what a stream says of its progress is a sign of life only, for it may be told
  before a change that it covers.
- A change counts once, by its key and revision, whatever is told again; an older one never undoes a newer.
- A compacted start, or a range whose revision was compacted between pages, means reading the range anew; the
  difference to what was known is what is told.
- A server whose revision is behind what is known here, or whose cluster is another, is not believed. If every
  server is like that, an operator says which is right (`accept`): the registry may have been restored.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple


class Untrusted(Exception):
    """A server that must not be believed; the text says why. Another one is to be asked."""


class Record(NamedTuple):
    """One key as the registry holds it; `changed`: revision of its last change."""

    key: bytes
    value: bytes
    changed: int


class Change(NamedTuple):
    """One change of a key; a `value` of None: it is gone."""

    key: bytes
    value: bytes | None
    changed: int


class RangeAsked(NamedTuple):
    """A page to read: from `start` on, at a revision (0: the newest)."""

    start: bytes
    revision: int


class WatchAsked(NamedTuple):
    """Changes to follow, from this revision on."""

    revision: int


class Stage(Enum):
    """What the feed is at."""

    READING = "reading the range"
    FOLLOWING = "following changes"


@dataclass(slots=True)
class Reading:
    """A range under way."""

    revision: int = 0
    cluster: int = 0
    start: bytes = b""
    found: dict[bytes, Record] = field(default_factory=dict)


class Feed:
    """All keys under one prefix, as this gateway knows them."""

    def __init__(self, prefix: bytes) -> None:
        self.prefix = prefix
        self.cluster = 0  # 0: none known yet
        self.known = 0  # revision up to which all changes are known here
        self.records: dict[bytes, Record] = {}
        self.gone: dict[bytes, int] = {}  # keys that went since the last range, and at which revision
        self.stage = Stage.READING
        self.reading = Reading(start=prefix)
        self.restored = ""  # what a server that is behind or another cluster said last; empty: none did
        self.counts = {"ranges": 0, "compacted": 0, "repeats": 0, "untrusted": 0}

    def remember(self, cluster: int, known: int) -> None:
        """What the last life knew, so that a registry that went back since is noticed."""
        self.cluster, self.known = cluster, known

    # --- what to ask ---

    def asks(self) -> RangeAsked | WatchAsked:
        """What is to be asked of the server at hand, now or after a break."""
        if self.stage is Stage.READING:
            return RangeAsked(self.reading.start, self.reading.revision)
        return WatchAsked(self.known + 1)

    def broke(self) -> None:
        """The server at hand is gone: a range begins anew, a watch goes on where it was."""
        if self.stage is Stage.READING:
            self.reading = Reading(start=self.prefix)

    # --- what came ---

    def page_came(
        self, cluster: int, revision: int, records: Sequence[Record], more: bool
    ) -> list[Change] | None:
        """A page of the range that was asked for; with the last one come the changes since what was known.

        Raises Untrusted.
        """
        self._believe(cluster, revision)
        reading = self.reading
        if reading.revision and (revision < reading.revision or cluster != reading.cluster):
            self.reading = Reading(start=self.prefix)
            self._doubt(f"its revision {revision} is behind the range's, {reading.revision}")
        if not reading.revision:
            reading.revision, reading.cluster = revision, cluster
        for record in records:
            reading.found[record.key] = record
        if more and records:
            reading.start = records[-1].key + b"\0"
            return None
        return self._read(reading)

    def _read(self, reading: Reading) -> list[Change]:
        before, self.records = self.records, reading.found
        told = [Change(key, None, reading.revision) for key in sorted(before.keys() - reading.found.keys())]
        for key, record in sorted(reading.found.items()):
            if key not in before or before[key].changed != record.changed:
                told.append(Change(*record))
        self.known, self.cluster = reading.revision, reading.cluster
        self.gone.clear()
        self.restored = ""
        self.counts["ranges"] += 1
        self.stage, self.reading = Stage.FOLLOWING, Reading(start=self.prefix)
        return told

    def watch_began(self, cluster: int, revision: int) -> None:
        """The watch that was asked for stands; `revision`: the server's own. Raises Untrusted."""
        self._believe(cluster, revision)
        self.restored = ""

    def changes_came(self, cluster: int, changes: Sequence[Change]) -> list[Change]:
        """Changes of the watch, in the registry's order; what is new here is returned. Raises Untrusted."""
        self._believe(cluster, self.known)
        told = []
        for change in changes:
            held = self.records.get(change.key)
            if change.changed <= max(held.changed if held else 0, self.gone.get(change.key, 0)):
                self.counts["repeats"] += 1
                continue
            if change.value is None:
                self.gone[change.key] = change.changed
                if self.records.pop(change.key, None) is None:
                    continue
            else:
                self.gone.pop(change.key, None)
                self.records[change.key] = Record(change.key, change.value, change.changed)
            told.append(change)
        # All changes of one revision come together: only after them is it known.
        self.known = max([self.known, *(change.changed for change in changes)])
        return told

    def compacted(self) -> None:
        """What was asked for is no longer there: the range is read anew."""
        self.counts["compacted"] += 1
        self.stage, self.reading = Stage.READING, Reading(start=self.prefix)

    # --- trust ---

    def accept(self) -> None:
        """An operator says that the registry is right though it went back or is another one."""
        self.cluster = self.known = 0
        self.restored = ""
        # What is held stays until a range says otherwise; revisions of the old history mean nothing now.
        self.records = {key: record._replace(changed=0) for key, record in self.records.items()}
        self.gone.clear()
        self.stage, self.reading = Stage.READING, Reading(start=self.prefix)

    def _believe(self, cluster: int, revision: int) -> None:
        if self.cluster and cluster != self.cluster:
            self._doubt(f"it is of cluster {cluster:x}, not {self.cluster:x}")
        if revision < self.known:
            self._doubt(f"its revision {revision} is behind {self.known}")

    def _doubt(self, why: str) -> None:
        self.counts["untrusted"] += 1
        self.restored = why
        raise Untrusted(why)
