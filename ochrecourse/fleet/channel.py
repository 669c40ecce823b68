"""One channel as a reader meets it: entries in order, a snapshot in place of older ones, cursors.

Free of I/O. A cursor tells how far its reader came in the order, and by stream up to which late entry.
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
MAX_BLOCK_ENTRIES = (
    1024  # entries that stand in one list; what comes between others moves half as many, not a million
)


class AppendRejectedError(Exception):
    """An append that is turned away; the text is the reason."""


class Snapshot(msgspec.Struct, frozen=True, array_like=True, tag="snapshot"):
    """What a channel's owner made of all ordinary entries up to `upto`. `value`: JSON."""

    channel: str
    upto: Timestamp
    value: bytes


class Delivery(NamedTuple):
    """What a reader gets: an entry, `late` or in its order, or a snapshot in place of what was before it."""

    entry: Entry | None
    late: bool = False
    snapshot: Snapshot | None = None


class Channel:
    """Entries of one channel in order, in blocks: after a long absence most come between others."""

    def __init__(self) -> None:
        self.positions: list[list[LogPosition]] = [[]]
        self.blocks: list[list[Entry]] = [[]]
        self.first_positions: list[LogPosition] = []  # of each block but the first
        self.count = 0
        self.bytes = 0
        self.snapshot: Snapshot | None = None
        self._late: list[Entry] = []  # of those that `_late_of` is for
        self._late_of: object = None
        self._fresh: list[Entry] = []  # came since
        self._shrunk = 0  # blocks that `remove_compacted` has looked at

    @property
    def entries(self) -> list[Entry]:
        """All of them."""
        return [entry for block in self.blocks for entry in block]

    def add(self, entry: Entry) -> None:
        place = entry.position
        at = bisect_right(self.first_positions, place)
        places, block = self.positions[at], self.blocks[at]
        if not places or places[-1] < place:  # by far the most
            places.append(place)
            block.append(entry)
        else:
            i = bisect_left(places, place)
            places.insert(i, place)
            block.insert(i, entry)
        if len(block) > MAX_BLOCK_ENTRIES:
            self._part(at)
        self.count += 1
        self.bytes += accounted_bytes(entry)
        if self._late_of is not None:
            self._fresh.append(entry)

    def _part(self, at: int) -> None:
        """Two blocks of one. The last one's are parted at its end: what is appended in order fills them."""
        half = MAX_BLOCK_ENTRIES if at == len(self.blocks) - 1 else MAX_BLOCK_ENTRIES // 2
        self.positions.insert(at + 1, self.positions[at][half:])
        self.blocks.insert(at + 1, self.blocks[at][half:])
        del self.positions[at][half:], self.blocks[at][half:]
        self.first_positions.insert(at, self.positions[at + 1][0])

    def remove_compacted(
        self, upto: Timestamp, goes: Callable[[Entry], bool], most: int
    ) -> tuple[list[Entry], bool]:
        """Takes out what goes of all that stands at or before `upto`, from where the last call ended, after a
        look at some `most` entries. Returns those, and whether it came to the end."""
        gone: list[Entry] = []
        at = self._shrunk
        while at < len(self.blocks) and self.blocks[at] and self.blocks[at][0].at <= upto and most > 0:
            block = self.blocks[at]
            most -= len(block)
            out = [e for e in block if e.at <= upto and goes(e)]
            gone += out
            if len(out) == len(block) and len(self.blocks) > 1:
                del self.blocks[at], self.positions[at]
                continue
            if out:
                left = {e.position for e in out}
                self.blocks[at] = [e for e in block if e.position not in left]
                self.positions[at] = [e.position for e in self.blocks[at]]
            at += 1
        self.first_positions = [places[0] for places in self.positions[1:]]
        self._shrunk = at
        self.count -= len(gone)
        self.bytes -= sum(map(accounted_bytes, gone))
        if gone:
            self._late_of, self._fresh = None, []
        done = at >= len(self.blocks) or not self.blocks[at] or self.blocks[at][0].at > upto
        return gone, done

    def retain(self, stays: Callable[[Entry], bool]) -> None:
        """Leaves only what stays, of all that is held."""
        left = [entry for entry in self.entries if stays(entry)]
        self.blocks = [left[i : i + MAX_BLOCK_ENTRIES] for i in range(0, len(left), MAX_BLOCK_ENTRIES)] or [
            []
        ]
        self.positions = [[entry.position for entry in block] for block in self.blocks]
        self.first_positions = [places[0] for places in self.positions[1:]]
        self.count, self.bytes = len(left), sum(map(accounted_bytes, left))
        self._late_of, self._fresh, self._shrunk = None, [], 0

    def restart_removal(self) -> None:
        """The next call of `remove_compacted` begins at the first entry."""
        self._shrunk = 0

    def entries_after(self, mark: LogPosition) -> Iterator[Entry]:
        """Those that stand behind a place, in order."""
        at = bisect_right(self.first_positions, mark)
        first = bisect_right(self.positions[at], mark)
        for block in self.blocks[at:]:
            yield from block[first:] if first else block
            first = 0

    def read(
        self,
        cursor: str,
        most: int,
        stable: Timestamp,
        judge: Callable[[Entry], str],
        lates: set[Stream],
        views: int = 0,
    ) -> tuple[list[Delivery], str]:
        """As `log.Log.read` has it. `view_version` counts up when `classify` may judge otherwise."""
        mark, late = _read_cursor(cursor)
        told: list[Delivery] = []
        if self.snapshot is not None and mark.at < self.snapshot.upto:
            told.append(Delivery(None, False, self.snapshot))
            mark = _end_of(self.snapshot.upto)
        for entry in self._tardy(judge, lates, views) if lates else ():
            if len(told) < most and entry.seq > late.get(entry.stream, 0):
                late[entry.stream] = entry.seq
                told.append(Delivery(entry, True))
        for entry in self.entries_after(mark):
            if entry.at > stable or len(told) >= most:
                break
            if judge(entry) == ORDINARY:
                told.append(Delivery(entry))
                mark = entry.position
        return told, _write_cursor(mark, late)

    def _tardy(self, judge: Callable[[Entry], str], lates: set[Stream], views: int) -> list[Entry]:
        """The late ones, by stream. All are looked at only where what is late may have changed: readers ask
        at each beat."""
        of = (judge, frozenset(lates), views)
        fresh: list[Entry] = self._fresh
        if self._late_of != of:
            self._late, self._late_of, fresh = [], of, self.entries
        found = [e for e in fresh if e.stream in lates and judge(e) == LATE]
        self._fresh = []
        if found:
            self._late = sorted([*self._late, *found], key=lambda e: (e.writer, e.incarnation, e.seq))
        return self._late


def _end_of(at: Timestamp) -> LogPosition:
    """Behind all that stands at `at`."""
    return LogPosition(Timestamp(at.ms, at.counter + 1), "", 0, 0)


def _write_cursor(mark: LogPosition, late: Mapping[Stream, int]) -> str:
    lates = sorted([*stream, seq] for stream, seq in late.items())
    return json.dumps([*mark.at, mark.writer, mark.incarnation, mark.seq, lates], separators=(",", ":"))


_CURSOR: Any = msgspec.json.Decoder(tuple[int, int, str, int, int, list[tuple[str, int, int]]])


def _read_cursor(cursor: str) -> tuple[LogPosition, dict[Stream, int]]:
    if not cursor:
        return LogPosition(Timestamp(0, 0), "", 0, 0), {}
    try:
        ms, turn, writer, life, seq, lates = _CURSOR.decode(cursor)
    except (msgspec.DecodeError, UnicodeError):
        raise AppendRejectedError(f"not a cursor: {cursor[:80]!r}") from None
    return LogPosition(Timestamp(ms, turn), writer, life, seq), {(w, li): s for w, li, s in lates}
