"""One channel of the event log: its entries in order, the snapshot that replaces older ones, and cursors.

A cursor holds the position up to which its reader has read, and by stream the last late entry that it has
read. Free of I/O.
"""

from __future__ import annotations

import json
from bisect import bisect_left, bisect_right
from collections.abc import Callable, Iterator, Mapping
from typing import Any, NamedTuple

import msgspec

from ochrecourse.fleet.entries import Entry, LogPosition, Timestamp, Stream
from ochrecourse.fleet.streams import accounted_bytes

ORDINARY, LATE, PENDING = "ordinary", "late", "pending"
MAX_BLOCK_ENTRIES = 1024  # so that an insertion in the middle moves some 512 entries, not a whole channel


class AppendRejectedError(Exception):
    """Raised when an append is rejected; the text is the reason."""


class Snapshot(msgspec.Struct, frozen=True, array_like=True, tag="snapshot"):
    """The value that a channel's owner derived from all ordinary entries up to `upto`. `value`: JSON."""

    channel: str
    upto: Timestamp
    value: bytes


class Delivery(NamedTuple):
    """One item for a reader: an entry, in order or `late`, or a snapshot that replaces all before it."""

    entry: Entry | None
    late: bool = False
    snapshot: Snapshot | None = None


class Channel:
    """The entries of one channel in order, in blocks: after an absence most are inserted between others."""

    def __init__(self) -> None:
        """An empty channel."""
        self.positions: list[list[LogPosition]] = [[]]
        self.blocks: list[list[Entry]] = [[]]
        self.first_positions: list[LogPosition] = []  # of every block but the first
        self.count = 0
        self.bytes = 0
        self.snapshot: Snapshot | None = None
        self._late: list[Entry] = []  # the late entries found for `_late_cached_for`
        self._late_cached_for: object = None
        self._added_since: list[Entry] = []  # added since they were found
        self._next_to_compact = 0  # index of the first block that `remove_compacted` has not checked

    @property
    def entries(self) -> list[Entry]:
        """All stored entries, in order."""
        return [entry for block in self.blocks for entry in block]

    def add(self, entry: Entry) -> None:
        """Inserts an entry at its position."""
        position = entry.position
        at = bisect_right(self.first_positions, position)
        positions, block = self.positions[at], self.blocks[at]
        if not positions or positions[-1] < position:  # the usual case
            positions.append(position)
            block.append(entry)
        else:
            i = bisect_left(positions, position)
            positions.insert(i, position)
            block.insert(i, entry)
        if len(block) > MAX_BLOCK_ENTRIES:
            self._split(at)
        self.count += 1
        self.bytes += accounted_bytes(entry)
        if self._late_cached_for is not None:
            self._added_since.append(entry)

    def _split(self, at: int) -> None:
        """Splits a block in two; the last one at its end, so that appends in order leave full blocks."""
        half = MAX_BLOCK_ENTRIES if at == len(self.blocks) - 1 else MAX_BLOCK_ENTRIES // 2
        self.positions.insert(at + 1, self.positions[at][half:])
        self.blocks.insert(at + 1, self.blocks[at][half:])
        del self.positions[at][half:], self.blocks[at][half:]
        self.first_positions.insert(at, self.positions[at + 1][0])

    def remove_compacted(
        self, upto: Timestamp, is_removed: Callable[[Entry], bool], limit: int
    ) -> tuple[list[Entry], bool]:
        """Removes entries at or before `upto` for which `is_removed` is true.

        Continues where the last call stopped and checks about `limit` entries. Returns the removed entries,
        and whether all were checked.
        """
        removed: list[Entry] = []
        at = self._next_to_compact
        while at < len(self.blocks) and self.blocks[at] and self.blocks[at][0].at <= upto and limit > 0:
            block = self.blocks[at]
            limit -= len(block)
            selected = [e for e in block if e.at <= upto and is_removed(e)]
            removed += selected
            if len(selected) == len(block) and len(self.blocks) > 1:
                del self.blocks[at], self.positions[at]
                continue
            if selected:
                removed_positions = {e.position for e in selected}
                self.blocks[at] = [e for e in block if e.position not in removed_positions]
                self.positions[at] = [e.position for e in self.blocks[at]]
            at += 1
        self.first_positions = [positions[0] for positions in self.positions[1:]]
        self._next_to_compact = at
        self.count -= len(removed)
        self.bytes -= sum(map(accounted_bytes, removed))
        if removed:
            self._late_cached_for, self._added_since = None, []
        done = at >= len(self.blocks) or not self.blocks[at] or self.blocks[at][0].at > upto
        return removed, done

    def retain(self, is_retained: Callable[[Entry], bool]) -> None:
        """Removes all entries but those for which `is_retained` is true."""
        retained = [entry for entry in self.entries if is_retained(entry)]
        self.blocks = [
            retained[i : i + MAX_BLOCK_ENTRIES] for i in range(0, len(retained), MAX_BLOCK_ENTRIES)
        ] or [[]]
        self.positions = [[entry.position for entry in block] for block in self.blocks]
        self.first_positions = [positions[0] for positions in self.positions[1:]]
        self.count, self.bytes = len(retained), sum(map(accounted_bytes, retained))
        self._late_cached_for, self._added_since, self._next_to_compact = None, [], 0

    def restart_removal(self) -> None:
        """Makes the next call of `remove_compacted` start at the first entry."""
        self._next_to_compact = 0

    def entries_after(self, position: LogPosition) -> Iterator[Entry]:
        """The entries after a position, in order."""
        at = bisect_right(self.first_positions, position)
        first = bisect_right(self.positions[at], position)
        for block in self.blocks[at:]:
            yield from block[first:] if first else block
            first = 0

    def read(
        self,
        cursor: str,
        limit: int,
        stable: Timestamp,
        classify: Callable[[Entry], str],
        late_streams: set[Stream],
        view_version: int = 0,
    ) -> tuple[list[Delivery], str]:
        """See `log.Log.read`. `view_version` increases whenever `classify` may give other results."""
        position, late = _read_cursor(cursor)
        deliveries: list[Delivery] = []
        if self.snapshot is not None and position.at < self.snapshot.upto:
            deliveries.append(Delivery(None, False, self.snapshot))
            position = _end_of(self.snapshot.upto)
        for entry in self._late_entries(classify, late_streams, view_version) if late_streams else ():
            if len(deliveries) < limit and entry.seq > late.get(entry.stream, 0):
                late[entry.stream] = entry.seq
                deliveries.append(Delivery(entry, True))
        for entry in self.entries_after(position):
            if entry.at > stable or len(deliveries) >= limit:
                break
            if classify(entry) == ORDINARY:
                deliveries.append(Delivery(entry))
                position = entry.position
        return deliveries, _write_cursor(position, late)

    def _late_entries(
        self, classify: Callable[[Entry], str], late_streams: set[Stream], view_version: int
    ) -> list[Entry]:
        """The late entries, by stream. All entries are checked only when the classification may have changed,
        because readers ask at every heartbeat.
        """
        cache_key = (classify, frozenset(late_streams), view_version)
        unchecked: list[Entry] = self._added_since
        if self._late_cached_for != cache_key:
            self._late, self._late_cached_for, unchecked = [], cache_key, self.entries
        found = [e for e in unchecked if e.stream in late_streams and classify(e) == LATE]
        self._added_since = []
        if found:
            self._late = sorted([*self._late, *found], key=lambda e: (e.writer, e.incarnation, e.seq))
        return self._late


def _end_of(at: Timestamp) -> LogPosition:
    """A position after all entries with timestamp `at`."""
    return LogPosition(Timestamp(at.ms, at.counter + 1), "", 0, 0)


def _write_cursor(position: LogPosition, late: Mapping[Stream, int]) -> str:
    late_seqs = sorted([*stream, seq] for stream, seq in late.items())
    return json.dumps(
        [*position.at, position.writer, position.incarnation, position.seq, late_seqs],
        separators=(",", ":"),
    )


_CURSOR: Any = msgspec.json.Decoder(tuple[int, int, str, int, int, list[tuple[str, int, int]]])


def _read_cursor(cursor: str) -> tuple[LogPosition, dict[Stream, int]]:
    if not cursor:
        return LogPosition(Timestamp(0, 0), "", 0, 0), {}
    try:
        ms, counter, writer, incarnation, seq, late_seqs = _CURSOR.decode(cursor)
    except (msgspec.DecodeError, UnicodeError):
        raise AppendRejectedError(f"not a cursor: {cursor[:80]!r}") from None
    return LogPosition(Timestamp(ms, counter), writer, incarnation, seq), {
        (w, li): s for w, li, s in late_seqs
    }
