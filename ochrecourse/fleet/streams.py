"""One writer's life as it is held: entries without a gap, the chain of their hashes, holes where compacted.

Free of I/O, clock and chance.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable, Iterator, Mapping
from hashlib import blake2b
from typing import NamedTuple

import msgspec

from ochrecourse.fleet.entries import Entry, Timestamp, Stream

OVERHEAD = 64  # bytes that an entry costs beside its texts
CAUSE = 16  # bytes that a cause costs beside its writer's name
MAX_NAME_LENGTH = 200  # characters of a channel's or a writer's name
MAX_CAUSES = 4096  # streams that one entry may name as seen

_encode = msgspec.msgpack.Encoder().encode


EndedIncarnations = dict[
    str, tuple[int, tuple[int, ...]]
]  # by name: lives up to one are gone, but for those that stay


def has_ended(over: Mapping[str, tuple[int, tuple[int, ...]]], stream: Stream) -> bool:
    """Whether a life is over for good: nothing of it is held, and nothing ever taken again."""
    name, life = stream
    known = over.get(name)
    return known is not None and life <= known[0] and life not in known[1]


class Hole(NamedTuple):
    """Entries `first` to `last` of a stream that are no longer held, the chain's hash after them, and the
    stamp of the last, or one before that of the entry behind it."""

    writer: str
    incarnation: int
    first: int
    last: int
    head_hash: bytes
    at: Timestamp


def accounted_bytes(entry: Entry) -> int:
    """Bytes that an entry counts for."""
    size = OVERHEAD + len(entry.body) + len(entry.channel) + len(entry.writer)
    for writer, _, _ in entry.cause:
        size += CAUSE + len(writer)
    return size


class Chain:
    """Entries 1 to `last` of one stream. `at`: the last one's stamp."""

    def __init__(self) -> None:
        self.base = 0  # entries 1 to base are all gone
        self.base_head = b""
        self.base_at = Timestamp(0, 0)
        self.entries: list[Entry | None] = []
        self.hashes: list[bytes] = []  # "" where a peer's hole was taken and the hashes within are not known
        self.timestamps: list[Timestamp] = []
        self.removed: list[int] = []  # numbers of those that are gone behind one that is held, in order
        self.last = 0
        self.at = Timestamp(0, 0)

    def add(self, entry: Entry) -> None:
        """The next entry."""
        head = blake2b(self.hash_at(self.last) + _encode(entry), digest_size=8).digest()
        self._add(entry, head, entry.at)

    def _add(self, entry: Entry | None, head: bytes, at: Timestamp) -> None:
        self.entries.append(entry)
        self.hashes.append(head)
        self.timestamps.append(at)
        self.last += 1
        if entry is None:
            self.removed.append(self.last)
        self.at = at

    def entry(self, seq: int) -> Entry | None:
        """None where it is not held, or no longer."""
        return self.entries[seq - self.base - 1] if self.base < seq <= self.last else None

    def hash_at(self, seq: int) -> bytes:
        """The chain's hash after entry `seq`; empty where it is not known."""
        if seq == self.base:
            return self.base_head
        return self.hashes[seq - self.base - 1] if self.base < seq <= self.last else b""

    def entries_after(self, seq: int) -> Iterator[Entry]:
        """The entries behind `seq` that are held. Nothing is copied: the next few of a million cost as much
        as few."""
        entries = self.entries
        for at in range(max(0, seq - self.base), len(entries)):
            entry = entries[at]
            if entry is not None:
                yield entry

    def skip_hole(self, hole: Hole) -> None:
        """Goes over a peer's hole, which begins at or before the next entry and ends behind it."""
        if not self.entries:
            self.base = self.last = hole.last
            self.base_head, self.base_at, self.at = hole.head_hash, hole.at, hole.at
            return
        while self.last < hole.last:
            self._add(None, hole.head_hash if self.last + 1 == hole.last else b"", max(self.at, hole.at))

    def remove(self, seqs: Iterable[int]) -> None:
        """Holds these entries no longer. All at once: to cut off the front moves all that is behind it."""
        for seq in seqs:
            if self.base < seq <= self.last and self.entries[seq - self.base - 1] is not None:
                self.entries[seq - self.base - 1] = None
                self.removed.append(seq)
        self.removed.sort()  # of two parts in order: little more than a look at each
        gone = 0
        while gone < len(self.entries) and self.entries[gone] is None:
            gone += 1
        if gone:
            self.base += gone
            del self.removed[: bisect_right(self.removed, self.base)]
            self.base_head, self.base_at = self.hashes[gone - 1], self.timestamps[gone - 1]
            del self.entries[:gone], self.hashes[:gone], self.timestamps[:gone]

    def holes(self, writer: str, life: int, seq: int) -> list[Hole]:
        """The holes that end behind `seq`, in order; the first may be told as if it began there."""
        found: list[Hole] = []
        if self.base > seq:
            found.append(Hole(writer, life, 1, self.base, self.base_head, self.base_at))
        rest = self.removed[bisect_right(self.removed, seq) :]
        if not rest:
            return found
        first = rest[0]
        for last, after in zip(rest, [*rest[1:], 0], strict=True):
            if after != last + 1:
                at = last - self.base - 1
                found.append(Hole(writer, life, first, last, self.hashes[at], self.timestamps[at]))
                first = after
        return found


def entry_error(entry: Entry, most: int, latest_ms: int, chains: Mapping[Stream, Chain]) -> str | None:
    """Why an entry can't be a peer's: its body beyond `most` bytes, its clock beyond `latest_ms`, before one
    of its causes that is held in `chains`, and so on. None where it can."""
    who = entry.writer[:MAX_NAME_LENGTH]
    if (
        entry.seq < 1
        or entry.incarnation < 0
        or entry.at.counter < 0
        or not 0 < len(entry.writer) <= MAX_NAME_LENGTH
    ):
        return f"{who!r}: entry {entry.seq} of life {entry.incarnation} can't be"
    if not 0 < len(entry.channel) <= MAX_NAME_LENGTH:
        return f"{who}: channel name of {len(entry.channel)} characters, not 1 to {MAX_NAME_LENGTH}"
    if len(entry.body) > most:
        return f"{who}: entry of {len(entry.body)} bytes, more than {most}"
    if len(entry.cause) > MAX_CAUSES:
        return f"{who}: entry {entry.seq} names {len(entry.cause)} causes"
    if entry.at.ms > latest_ms:
        return f"{who}: clock {entry.at.ms - latest_ms} ms beyond how far it may be ahead of ours"
    for writer, life, seq in entry.cause:
        chain = chains.get((writer, life))
        cause = chain.entry(seq) if chain else None
        if cause is not None and cause.at >= entry.at:
            return f"{who}: entry {entry.seq} at {entry.at} stands before its cause of {writer}"
    return None
