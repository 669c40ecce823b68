"""One stream as a gateway stores it: its entries in sequence, their hash chain, and holes left by compaction.

Free of I/O, clock and chance.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable, Iterator, Mapping
from hashlib import blake2b
from typing import NamedTuple

import msgspec

from ochrecourse.fleet.entries import Entry, Timestamp, Stream

ENTRY_OVERHEAD_BYTES = 64  # accounted for each entry besides its body and names
CAUSE_OVERHEAD_BYTES = 16  # accounted for each cause besides its writer's name
MAX_NAME_LENGTH = 200  # characters of the name of a channel or a writer
MAX_CAUSES = 4096  # causes of one entry

_encode = msgspec.msgpack.Encoder().encode


# By name: the last ended incarnation, and the incarnations up to it that are retained.
EndedIncarnations = dict[str, tuple[int, tuple[int, ...]]]


def has_ended(ended: Mapping[str, tuple[int, tuple[int, ...]]], stream: Stream) -> bool:
    """Whether an incarnation is retired: none of its entries is stored, and none is accepted again."""
    name, incarnation = stream
    known = ended.get(name)
    return known is not None and incarnation <= known[0] and incarnation not in known[1]


class Hole(NamedTuple):
    """Entries `first` to `last` of a stream, which compaction removed.

    `head_hash`: the chain's hash after them. `at`: the timestamp of the last one, or some timestamp before
    that of the entry that follows.
    """

    writer: str
    incarnation: int
    first: int
    last: int
    head_hash: bytes
    at: Timestamp


def accounted_bytes(entry: Entry) -> int:
    """The bytes by which an entry counts against its channel's limit."""
    size = ENTRY_OVERHEAD_BYTES + len(entry.body) + len(entry.channel) + len(entry.writer)
    for writer, _, _ in entry.cause:
        size += CAUSE_OVERHEAD_BYTES + len(writer)
    return size


class Chain:
    """Entries 1 to `last` of one stream. `at`: the timestamp of the last one."""

    def __init__(self) -> None:
        """An empty chain."""
        self.base = 0  # entries 1 to base are all removed
        self.base_hash = b""
        self.base_at = Timestamp(0, 0)
        self.entries: list[Entry | None] = []
        self.hashes: list[bytes] = []  # empty within a hole received from a peer: only its last hash is known
        self.timestamps: list[Timestamp] = []
        self.removed: list[int] = []  # sequence numbers removed after base, in order
        self.last = 0
        self.at = Timestamp(0, 0)

    def add(self, entry: Entry) -> None:
        """Appends the next entry."""
        head_hash = blake2b(self.hash_at(self.last) + _encode(entry), digest_size=8).digest()
        self._add(entry, head_hash, entry.at)

    def _add(self, entry: Entry | None, head_hash: bytes, at: Timestamp) -> None:
        self.entries.append(entry)
        self.hashes.append(head_hash)
        self.timestamps.append(at)
        self.last += 1
        if entry is None:
            self.removed.append(self.last)
        self.at = at

    def entry(self, seq: int) -> Entry | None:
        """The entry with that sequence number; None if it is not stored or was removed."""
        return self.entries[seq - self.base - 1] if self.base < seq <= self.last else None

    def hash_at(self, seq: int) -> bytes:
        """The chain's hash after entry `seq`; empty if it is not known."""
        if seq == self.base:
            return self.base_hash
        return self.hashes[seq - self.base - 1] if self.base < seq <= self.last else b""

    def entries_after(self, seq: int) -> Iterator[Entry]:
        """The stored entries after `seq`.

        Nothing is copied: reading a few entries of a long stream costs no more than of a short one.
        """
        entries = self.entries
        for at in range(max(0, seq - self.base), len(entries)):
            entry = entries[at]
            if entry is not None:
                yield entry

    def skip_hole(self, hole: Hole) -> None:
        """Moves the end of the chain past a peer's hole, which begins at or before the next entry."""
        if not self.entries:
            self.base = self.last = hole.last
            self.base_hash, self.base_at, self.at = hole.head_hash, hole.at, hole.at
            return
        while self.last < hole.last:
            self._add(None, hole.head_hash if self.last + 1 == hole.last else b"", max(self.at, hole.at))

    def remove(self, seqs: Iterable[int]) -> None:
        """Removes these entries, all in one call: deleting from the front of the lists moves all the rest."""
        for seq in seqs:
            if self.base < seq <= self.last and self.entries[seq - self.base - 1] is not None:
                self.entries[seq - self.base - 1] = None
                self.removed.append(seq)
        self.removed.sort()  # two sorted runs, which sort in linear time
        removed_count = 0
        while removed_count < len(self.entries) and self.entries[removed_count] is None:
            removed_count += 1
        if removed_count:
            self.base += removed_count
            del self.removed[: bisect_right(self.removed, self.base)]
            self.base_hash, self.base_at = self.hashes[removed_count - 1], self.timestamps[removed_count - 1]
            del self.entries[:removed_count], self.hashes[:removed_count], self.timestamps[:removed_count]

    def holes(self, writer: str, incarnation: int, seq: int) -> list[Hole]:
        """The holes that end after `seq`, in order; one that begins before may be reported from there on."""
        found: list[Hole] = []
        if self.base > seq:
            found.append(Hole(writer, incarnation, 1, self.base, self.base_hash, self.base_at))
        removed = self.removed[bisect_right(self.removed, seq) :]
        if not removed:
            return found
        first = removed[0]
        for last, after in zip(removed, [*removed[1:], 0], strict=True):
            if after != last + 1:
                at = last - self.base - 1
                found.append(Hole(writer, incarnation, first, last, self.hashes[at], self.timestamps[at]))
                first = after
        return found


def entry_error(
    entry: Entry, max_body_bytes: int, latest_ms: int, chains: Mapping[Stream, Chain]
) -> str | None:
    """The reason why an entry received from a peer is invalid, or None if it is valid.

    Among the reasons: a body of more than `max_body_bytes`, a clock beyond `latest_ms`, or a timestamp that
    is not after that of a cause stored in `chains`.
    """
    writer_name = entry.writer[:MAX_NAME_LENGTH]
    if (
        entry.seq < 1
        or entry.incarnation < 0
        or entry.at.counter < 0
        or not 0 < len(entry.writer) <= MAX_NAME_LENGTH
    ):
        return f"{writer_name!r}: entry {entry.seq} of life {entry.incarnation} can't be"
    if not 0 < len(entry.channel) <= MAX_NAME_LENGTH:
        return f"{writer_name}: channel name of {len(entry.channel)} characters, not 1 to {MAX_NAME_LENGTH}"
    if len(entry.body) > max_body_bytes:
        return f"{writer_name}: entry of {len(entry.body)} bytes, more than {max_body_bytes}"
    if len(entry.cause) > MAX_CAUSES:
        return f"{writer_name}: entry {entry.seq} names {len(entry.cause)} causes"
    if entry.at.ms > latest_ms:
        return f"{writer_name}: clock {entry.at.ms - latest_ms} ms beyond how far it may be ahead of ours"
    for writer, incarnation, seq in entry.cause:
        chain = chains.get((writer, incarnation))
        cause = chain.entry(seq) if chain else None
        if cause is not None and cause.at >= entry.at:
            return f"{writer_name}: entry {entry.seq} at {entry.at} stands before its cause of {writer}"
    return None
