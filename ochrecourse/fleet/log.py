"""The event log: entries of all channels by writer and in the one order, merge, readers, compaction.

The log holds what it is given and says what a peer lacks. How far the order can no longer change, and which
entries came late, is `frontier`'s to find; how entries outlive the process is `log_store`'s. Free of I/O,
clock and chance: the wall clock comes with each call, ms since 1970.
"""

from __future__ import annotations

import heapq
import json
from collections import deque
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

import msgspec

from ochrecourse.fleet.channel import LATE as LATE
from ochrecourse.fleet.channel import MAX_BLOCK_ENTRIES, ORDINARY, Channel, Delivery
from ochrecourse.fleet.channel import PENDING as PENDING
from ochrecourse.fleet.channel import AppendRejectedError as AppendRejectedError
from ochrecourse.fleet.channel import Snapshot as Snapshot
from ochrecourse.fleet.entries import Entry, LogPosition, Timestamp, Stream
from ochrecourse.fleet.streams import (
    MAX_CAUSES,
    MAX_NAME_LENGTH,
    Chain,
    Hole,
    EndedIncarnations,
    accounted_bytes,
    entry_error,
    has_ended,
)

HARD_LIMIT_FACTOR = (
    8  # times a channel's bytes: what others wrote is merged up to there, own appends end at one
)
COMPACTION_BATCH = 2048  # entries that a compaction looks at before it returns; a thousand take some 1.5 ms
MAX_HOLES_PER_MESSAGE = 2048  # in one piece; where channels are compacted one by one, a stream has many
MAX_SNAPSHOT_BYTES = 32 << 20  # bytes of a snapshot's value; a record of the journal takes 64 MiB
SKEW_MS = 2000  # a clock so far ahead of ours is named
NOTES = 256  # lines kept for whoever asks; the newest ones
START = Timestamp(0, 0)


class InvalidEntryError(Exception):
    """A merge that is turned away; the text names the peer's mistake."""


@dataclass(slots=True)
class LogLimits:
    """Bytes of one entry's body, bytes that a channel holds, channels, and ms by which a merged clock may be
    ahead of the wall clock here."""

    entry_bytes: int = 64 << 10
    channel_bytes: int = 16 << 20
    channels: int = 1024
    max_clock_ahead_ms: int = 3_600_000


class Holes(msgspec.Struct, frozen=True, array_like=True, tag="holes"):
    """Sequence numbers whose entries are no longer held; the snapshots of `channels` stand for them."""

    channels: tuple[tuple[str, Timestamp], ...]
    holes: tuple[Hole, ...]


def encode_value(value: object) -> bytes:
    """A value as an entry has it. Raises TypeError, ValueError, RecursionError where it is not JSON."""
    return json.dumps(value, separators=(",", ":"), sort_keys=True, allow_nan=False).encode()


def next_timestamp(clock: Timestamp, wall_ms: int) -> Timestamp:
    """The next stamp after `clock`, of the wall clock if that is further."""
    return Timestamp(wall_ms, 0) if wall_ms > clock.ms else Timestamp(clock.ms, clock.counter + 1)


def previous_timestamp(at: Timestamp) -> Timestamp:
    """A stamp before `at`, as near to it as is known."""
    return Timestamp(at.ms, at.counter - 1) if at.counter else Timestamp(at.ms - 1, 0)


class Log:
    """One gateway's copy of the fleet's log. `incarnation` is the stream that this process appends to.

    `listeners` are told of each entry that is appended or merged, in the order in which it came. `classify`
    says of an entry whether it is ordinary, late, or can't be told yet; `late_streams`: streams that hold
    late ones, once it is for good that they are. `notes` are lines on clocks and forks.
    """

    def __init__(self, name: str, life: int, bounds: LogLimits) -> None:
        self.name = name
        self.incarnation = life
        self.limits = bounds
        self.clock = START
        self.stable = START
        self.listeners: list[Callable[[Entry], None]] = []
        self.classify: Callable[[Entry], str] = lambda entry: ORDINARY
        self.late_streams: set[Stream] = set()
        self.compacting: dict[
            str, None
        ] = {}  # channels whose snapshot stands for entries that are still held
        self._back: list[str] = []  # channels in which such entries were read back from the journal
        self.freed_bytes = 0  # bytes of entries that gave way to snapshots
        self.view_version = 0  # counts up when `classify` may judge otherwise
        self.chains: dict[Stream, Chain] = {}
        self.notes: list[str] = []
        self.clock_ahead_ms: dict[str, int] = {}  # ms by writer: farthest ahead of the wall clock here
        self.forks: dict[Stream, str] = {}
        self.fork_points: dict[
            Stream, int
        ] = {}  # the entry up to which all gateways are known to hold the same
        self.ended_incarnations: EndedIncarnations = {}  # lives that are forgotten
        self.compaction_count = 0  # counts up when entries gave way to a snapshot
        self.retirement_count = 0  # counts up when lives were forgotten
        self.highest_incarnation = 0  # the greatest life of our name that wrote something held here
        self._channels: dict[str, Channel] = {}
        self._agreed: dict[Stream, int] = {}  # up to where a writer's row told the hashes that are held here
        self._unsaid: dict[Stream, int] = {}  # seen since the last own entry
        self._awaited: dict[Stream, list[Hole]] = {}  # taken, but entries before them are still to come
        self._wall = 0
        self.drafts: deque[Entry] = deque()  # own entries that are not durable yet, in order

    def add_note(self, line: str) -> None:
        if line not in self.notes:
            self.notes.append(line)
            del self.notes[:-NOTES]

    # appending

    def draft(self, channel: str, value: object, wall_ms: int, must: bool = False) -> Entry:
        """The entry that an append would make; nothing is changed. `must`: also where the channel is full,
        for events without which the fleet could not go on. Raises AppendRejectedError."""
        if not 0 < len(channel) <= MAX_NAME_LENGTH:
            raise AppendRejectedError(
                f"channel name of {len(channel)} characters, not 1 to {MAX_NAME_LENGTH}"
            )
        try:
            body = encode_value(value)
        except (TypeError, ValueError, RecursionError) as error:
            raise AppendRejectedError(f"not JSON: {error}") from None
        if len(body) > self.limits.entry_bytes:
            raise AppendRejectedError(f"entry of {len(body)} bytes, more than {self.limits.entry_bytes}")
        if self.has_ended((self.name, self.incarnation)):
            raise AppendRejectedError(
                f"life {self.incarnation} of {self.name} is over for the fleet; the next beat begins one"
            )
        self._look_at_clock(wall_ms)
        entry = self._next_entry(channel, body, wall_ms)
        if must:
            return entry
        drafted = [accounted_bytes(draft) for draft in self.drafts if draft.channel == channel]
        held = self._channels.get(channel)
        if held is None and not drafted:
            begun = {draft.channel for draft in self.drafts} - self._channels.keys()
            if len(self._channels) + len(begun) >= self.limits.channels:
                raise AppendRejectedError(f"{len(self._channels)} channels are held, no more are begun")
            return entry
        size = (held.bytes if held is not None else 0) + sum(drafted)
        if size + accounted_bytes(entry) > self.limits.channel_bytes:
            raise AppendRejectedError(
                f"channel {channel} is full: {size} of {self.limits.channel_bytes} bytes"
            )
        return entry

    def _next_entry(self, channel: str, body: bytes, wall_ms: int) -> Entry:
        """The next own entry, behind those that are only drafted."""
        chain = self.chains.get((self.name, self.incarnation))
        last, clock = chain.last if chain else 0, self.clock
        if self.drafts:
            last, clock = self.drafts[-1].seq, max(clock, self.drafts[-1].at)
        said = {(writer, life): seq for draft in self.drafts for writer, life, seq in draft.cause}
        unsaid = [(*stream, seq) for stream, seq in self._unsaid.items() if said.get(stream) != seq]
        cause = tuple(sorted(unsaid)[:MAX_CAUSES])
        return Entry(
            channel, self.name, self.incarnation, last + 1, next_timestamp(clock, wall_ms), cause, body
        )

    def add_draft(self, entry: Entry) -> None:
        """A draft is being made durable: later drafts stand behind it, and no promise goes past it."""
        self.drafts.append(entry)

    def discard_draft(self, entry: Entry) -> None:
        """A draft could not be made durable; those behind it can't either."""
        if entry in self.drafts:
            while self.drafts.pop() != entry:
                pass

    def discard_drafts(self) -> None:
        """No draft could be made durable."""
        self.drafts.clear()

    def accept_draft(self, entry: Entry) -> None:
        """Makes the draft part of the log, the first of those that are expected."""
        if self.drafts and self.drafts[0] == entry:
            self.drafts.popleft()
        for writer, life, seq in entry.cause:
            if self._unsaid.get((writer, life)) == seq:
                del self._unsaid[writer, life]
        self._add(entry)

    def begin_incarnation(self, life: int) -> None:
        """Appends go to a new stream from here on."""
        own = self.chains.get((self.name, self.incarnation))
        if own is not None:
            self._unsaid[self.name, self.incarnation] = own.last
        self.incarnation = life

    def restore(self, entry: Entry) -> bool:
        """Takes an entry that was part of this log before; False if what stands before it is not here."""
        chain = self.chains.get(entry.stream)
        held = chain.last if chain else 0
        if entry.seq > held:
            if entry.seq != self._next(entry.stream, held):
                return False
            self._unsaid[entry.stream] = entry.seq
            self._add(entry)
        return True

    def append(self, channel: str, value: object, wall_ms: int) -> Entry:
        """Not yet durable: whoever answers for it takes `log_store.LogStore.append`, which writes between
        draft and accept. Raises AppendRejectedError."""
        entry = self.draft(channel, value, wall_ms)
        self.accept_draft(entry)
        return entry

    def _look_at_clock(self, wall_ms: int) -> None:
        if self._wall - wall_ms > SKEW_MS:
            self.add_note(f"{self.name}: the wall clock here stepped back by {self._wall - wall_ms} ms")
        self._wall = wall_ms

    def promise(self, wall_ms: int) -> Timestamp:
        """A stamp that all that is appended here from now on stands behind."""
        self._look_at_clock(wall_ms)
        self.clock = max(self.clock, Timestamp(wall_ms, 0))
        return self.clock

    # merging

    def merge(self, entries: Sequence[Entry], wall_ms: int) -> list[Entry]:
        """Those that are new, merged. What stands behind a gap or a fork is left out and comes again. Raises
        InvalidEntryError and then merged nothing."""
        self._look_at_clock(wall_ms)
        new: list[Entry] = []
        staged: dict[Stream, Entry] = {}  # the last new one by stream
        sizes: dict[str, int] = {}
        for entry in entries:
            stream = entry.stream
            flaw = entry_error(
                entry, self.limits.entry_bytes, wall_ms + self.limits.max_clock_ahead_ms, self.chains
            )
            if flaw is not None:
                raise InvalidEntryError(flaw)
            if stream in self.forks or self.has_ended(stream):
                continue  # guards against a number with two bodies; who holds it forgets it too, and says so
            last = staged.get(stream)
            chain = self.chains.get(stream)
            held = last.seq if last else chain.last if chain else 0
            if entry.seq <= held:
                known = chain.entry(entry.seq) if chain else None
                if known is None and last is not None:
                    known = next((e for e in new if e.stream == stream and e.seq == entry.seq), None)
                if known is not None and known != entry:
                    self.report_fork(stream, entry.seq - 1, f"entry {entry.seq} came with two bodies")
                continue
            if stream == (self.name, self.incarnation):
                raise InvalidEntryError(
                    f"{entry.writer}: entry {entry.seq} of our own life, which we never wrote"
                )
            if entry.seq != self._next(stream, held):
                continue  # a gap: what is between is on its way or is asked for again
            before = last.at if last else chain.at if chain else START
            if entry.at <= before:
                raise InvalidEntryError(
                    f"{entry.writer}: entry {entry.seq} at {entry.at}, not after {before}"
                )
            size = sizes.get(entry.channel)
            if size is None:
                size = self._size(entry.channel, sizes)
            grown = size + accounted_bytes(entry)
            if size < 0 or grown > HARD_LIMIT_FACTOR * self.limits.channel_bytes:
                self.add_note(f"channel {entry.channel}: no room for {entry.writer} until it is compacted")
                continue
            sizes[entry.channel] = grown
            staged[stream] = entry
            new.append(entry)
        for entry in new:
            if entry.stream not in self.forks:
                self._see_clock(entry, wall_ms)
                self._unsaid[entry.stream] = entry.seq
                self._add(entry)
        return new if not self.forks else [e for e in new if e.stream not in self.forks]

    def _size(self, channel: str, sizes: Mapping[str, int]) -> int:
        """Bytes held of a channel; below 0 if it would be one too many."""
        held = self._channels.get(channel)
        if held is not None:
            return held.bytes
        begun = sum(1 for c in sizes if c not in self._channels)
        return 0 if len(self._channels) + begun < HARD_LIMIT_FACTOR * self.limits.channels else -1

    def _next(self, stream: Stream, held: int) -> int:
        """The sequence number that comes after `held`, past holes that were taken."""
        for hole in self._awaited.get(stream, ()):
            if hole.first <= held + 1 <= hole.last:
                held = hole.last
        return held + 1

    def _see_clock(self, entry: Entry, wall_ms: int) -> None:
        ahead = entry.at.ms - max(wall_ms, self.clock.ms)
        if ahead > SKEW_MS and ahead > self.clock_ahead_ms.get(entry.writer, 0):
            if entry.writer not in self.clock_ahead_ms:
                self.add_note(
                    f"{entry.writer}: its clock, or one that it has seen, is {ahead} ms ahead of ours"
                )
            self.clock_ahead_ms[entry.writer] = ahead

    def _add(self, entry: Entry) -> None:
        stream = entry.stream
        chain = self.chains.get(stream)
        if chain is None:
            chain = self.chains[stream] = Chain()
        if entry.writer == self.name:
            self.highest_incarnation = max(self.highest_incarnation, entry.incarnation)
        if stream in self._awaited:
            self._fill(stream, chain)
        chain.add(entry)
        if stream in self._awaited:
            self._fill(stream, chain)
        channel = self._channels.get(entry.channel)
        if channel is None:
            channel = self._channels[entry.channel] = Channel()
        channel.add(entry)
        if entry.at > self.clock:
            self.clock = entry.at
        for listener in self.listeners:
            listener(entry)

    def report_fork(self, stream: Stream, same: int, what: str) -> None:
        """Two histories go under one name and life, alike up to entry `same`: both are named, none spread."""
        self.fork_points[stream] = min(same, self.fork_points.get(stream, same))
        if stream not in self.forks:
            writer, life = stream
            self.forks[stream] = f"{writer}: {what} in life {life}; {self.name} holds it where it was"
            self.add_note(self.forks[stream])

    def compare_head_hash(self, writer: str, life: int, seq: int, head: bytes) -> None:
        """Looks at what a row says of its stream: another chain of hashes up to the same entry is a fork."""
        chain = self.chains.get((writer, life))
        known = chain.hash_at(seq) if chain else b""
        if known and head and known != head:
            same = self._agreed.get((writer, life), 0)
            self.report_fork((writer, life), same, f"another history up to entry {seq}")
        elif known and head:
            self._agreed[writer, life] = max(seq, self._agreed.get((writer, life), 0))

    # what peers lack

    def vector(self) -> dict[Stream, int]:
        """The last entry of each stream that is held with all before it."""
        return {stream: chain.last for stream, chain in self.chains.items()}

    def missing_entries(self, vector: Mapping[Stream, int], most: int, most_bytes: int) -> list[Entry]:
        """What a peer that holds `vector` lacks, first in the order first, by streams without gaps but for
        holes; at least one entry however long, if there is one."""
        lacking = []
        for stream, chain in self.chains.items():
            held = vector.get(stream, 0)
            if stream in self.fork_points:
                last = self.fork_points[stream]
                lacking.append(iter([e for e in chain.entries_after(held) if e.seq <= last]))
            elif chain.last > held:
                lacking.append(chain.entries_after(held))
        found: list[Entry] = []
        size = 0
        for entry in heapq.merge(*lacking, key=lambda e: e.position):
            size += accounted_bytes(entry)
            if found and (size > most_bytes or len(found) >= most):
                break
            found.append(entry)
        return found

    def snapshots_for(self, vector: Mapping[Stream, int]) -> list[Snapshot | Holes]:
        """What a peer must take before `missing` is of use to it: nothing, or snapshots and then holes."""
        holes: list[Hole] = []
        for (writer, life), chain in sorted(self.chains.items()):
            if chain.last > vector.get((writer, life), 0):
                holes += chain.holes(writer, life, vector.get((writer, life), 0))
        if not holes:
            return []
        snapshots = self.snapshots()
        stand = tuple((s.channel, s.upto) for s in snapshots)
        cut = [
            Holes(stand, tuple(holes[i : i + MAX_HOLES_PER_MESSAGE]))
            for i in range(0, len(holes), MAX_HOLES_PER_MESSAGE)
        ]
        return [*snapshots, *cut]

    def snapshots(self) -> list[Snapshot]:
        """The newest of each channel, by name."""
        return [c.snapshot for _, c in sorted(self._channels.items()) if c.snapshot is not None]

    def take_snapshot(self, piece: Snapshot | Holes) -> bool:
        """Takes one piece of a peer's `snapshots_for`; whether it was news. Raises InvalidEntryError."""
        if isinstance(piece, Snapshot):
            if len(piece.value) > min(HARD_LIMIT_FACTOR * self.limits.channel_bytes, MAX_SNAPSHOT_BYTES):
                raise InvalidEntryError(f"snapshot of {piece.channel}: {len(piece.value)} bytes")
            if (
                piece.channel not in self._channels
                and len(self._channels) >= HARD_LIMIT_FACTOR * self.limits.channels
            ):
                raise InvalidEntryError(f"snapshot of {piece.channel}: one channel too many")
            channel = self._channels.setdefault(piece.channel, Channel())
            if channel.snapshot is not None and channel.snapshot.upto >= piece.upto:
                return False
            channel.snapshot = piece
            return True
        for name, upto in piece.channels:
            own = self.snapshot(name)
            if own is None or own.upto < upto:
                raise InvalidEntryError(f"holes without the snapshot of {name}")
        news = False
        for hole in piece.holes:
            stream = (hole.writer, hole.incarnation)
            if stream == (self.name, self.incarnation) or stream in self.forks or hole.last < hole.first:
                continue
            if self.has_ended(stream):
                continue
            chain = self.chains.setdefault(stream, Chain())
            if hole.last > chain.last:
                awaited = self._awaited.setdefault(stream, [])
                if hole not in awaited:
                    awaited.append(hole)
                    awaited.sort(key=lambda h: h.first)
                    news = True
                self._fill(stream, chain)
        return news

    def _fill(self, stream: Stream, chain: Chain) -> None:
        """Goes over holes that the stream has come to."""
        awaited = self._awaited.get(stream)
        while awaited and awaited[0].first <= chain.last + 1:
            hole = awaited.pop(0)
            if hole.last > chain.last:
                chain.skip_hole(hole)
                self._unsaid[stream] = hole.last
                self.clock = max(self.clock, hole.at)
        if awaited is not None and not awaited:
            del self._awaited[stream]

    # reading

    def events(self, channel: str) -> list[Entry]:
        """All that are held, in order, those too that others may still come before."""
        held = self._channels.get(channel)
        return list(held.entries) if held else []

    def channels(self) -> list[str]:
        return sorted(self._channels)

    def entry_count(self, channel: str) -> int:
        held = self._channels.get(channel)
        return held.count if held else 0

    def channel_bytes(self, channel: str) -> int:
        held = self._channels.get(channel)
        return held.bytes if held else 0

    def total_bytes(self) -> int:
        """Of all channels."""
        return sum(held.bytes for held in self._channels.values())

    def snapshot(self, channel: str) -> Snapshot | None:
        held = self._channels.get(channel)
        return held.snapshot if held else None

    def frontier(self) -> Timestamp:
        """Nothing ordinary can come at or before this stamp any more, and all of it is held."""
        return self.stable

    def advance_frontier(self, stable: Timestamp) -> None:
        """The frontier, as `frontier` found it; it never goes back."""
        self.stable = max(self.stable, stable)
        self._let_go_again()

    def read(self, channel: str, cursor: str, most: int) -> tuple[list[Delivery], str]:
        """Up to `most` of what a reader at `cursor` has not had, and the next cursor; "" is the beginning.
        The cursor is text, good for ever and on every gateway. Raises AppendRejectedError where it is
        none."""
        held = self._channels.get(channel)
        if held is None:
            return [], cursor
        return held.read(cursor, most, self.stable, self.classify, self.late_streams, self.view_version)

    def compact(self, channel: str, upto: Timestamp, snapshot: object) -> Snapshot:
        """Puts a value in place of the channel's ordinary entries at or before `upto`. Late ones stay:
        whoever has read past them is not told of them by the value. Raises AppendRejectedError past the
        frontier."""
        if upto > self.stable:
            raise AppendRejectedError(f"channel {channel}: {upto} is past the frontier, {self.stable}")
        held = self._channels.setdefault(channel, Channel())
        if held.snapshot is None or held.snapshot.upto < upto:
            value = json.dumps(snapshot, separators=(",", ":"), sort_keys=True).encode()
            most = min(self.limits.channel_bytes, MAX_SNAPSHOT_BYTES)
            if len(value) > most:
                raise AppendRejectedError(
                    f"channel {channel}: a snapshot of {len(value)} bytes, more than {most}"
                )
            held.snapshot = Snapshot(channel, upto, value)
        held.restart_removal()
        self.compacting[channel] = None
        self.remove_compacted(COMPACTION_BATCH)
        return held.snapshot

    def journal_recovered(self) -> None:
        """The journal was read: entries that a compaction let go of are held again. They give way once the
        frontier is past their snapshot; before that what looks ordinary here may be late by an event that
        this gateway has yet to hear of, and no snapshot would stand for it."""
        self._back = [name for name, held in sorted(self._channels.items()) if held.snapshot is not None]
        self._let_go_again()

    def _let_go_again(self) -> None:
        still = []
        for name in self._back:
            held = self._channels[name]
            if held.snapshot is not None and held.snapshot.upto <= self.stable:
                held.restart_removal()
                self.compacting[name] = None
            else:
                still.append(name)
        if len(still) < len(self._back):
            self._back = still
            self.remove_compacted(COMPACTION_BATCH)

    def remove_compacted(self, most: int) -> None:
        """Lets go of entries that snapshots stand for, after a look at some `most`. Readers pass over the
        rest already; guards against a long channel whose compaction would hold all else up."""
        while self.compacting and most > 0:
            name = next(iter(self.compacting))
            held = self._channels[name]
            assert held.snapshot is not None
            before, size = held.count, held.bytes
            out, done = held.remove_compacted(
                held.snapshot.upto, lambda e: self.classify(e) == ORDINARY, most
            )
            most -= max(MAX_BLOCK_ENTRIES, before - held.count)
            self.freed_bytes += size - held.bytes
            seqs: dict[Stream, list[int]] = {}
            for entry in out:
                seqs.setdefault(entry.stream, []).append(entry.seq)
            for stream, dropped in seqs.items():
                self.chains[stream].remove(dropped)
            self.compaction_count += 1
            if done:
                del self.compacting[name]

    def apply_snapshots(self, upto: Timestamp) -> None:
        """Entries give way to snapshots that came from a peer, or from the journal, which has them still.
        `upto`: that of channel `fleet`; what is ordinary up to there is so for good."""
        for name, held in sorted(self._channels.items()):
            first = next(held.entries_after(LogPosition(START, "", 0, 0)), None)
            if first is not None and held.snapshot is not None and first.at <= held.snapshot.upto <= upto:
                held.restart_removal()
                self.compacting[name] = None
        self.remove_compacted(COMPACTION_BATCH)

    # lives that are over

    def has_ended(self, stream: Stream) -> bool:
        """Whether the life was forgotten: nothing of it is taken again."""
        return has_ended(self.ended_incarnations, stream)

    def retire(self, over: EndedIncarnations) -> None:
        """Forgets lives. Entries of them that are still held go too; where this log can't tell that a
        snapshot stands for them, they are named."""
        self.ended_incarnations = over
        lives = sorted(stream for stream in self.chains if self.has_ended(stream))
        if not lives:
            return
        self.retirement_count += 1
        told = False
        for stream in lives:
            chain = self.chains.pop(stream)
            held = list(chain.entries_after(0))
            told = told or bool(held)
            lacking = [str(e.seq) for e in held if not self._stands_for(e)]
            if lacking:
                first, last = lacking[0], lacking[-1]
                self.add_note(
                    f"{stream[0]}: life {stream[1]} is over for the fleet; of entries {first} to {last}, "
                    f"held here until now, it has what its snapshots tell, and the others are not taken"
                )
            for known in (self._unsaid, self._agreed, self._awaited, self.forks, self.fork_points):
                known.pop(stream, None)
        self.late_streams -= set(lives)
        for channel in self._channels.values() if told else ():
            channel.retain(lambda e: not self.has_ended(e.stream))

    def _stands_for(self, entry: Entry) -> bool:
        snapshot = self.snapshot(entry.channel)
        settled = entry.at <= self.stable and self.classify(entry) == ORDINARY
        return settled and snapshot is not None and entry.at <= snapshot.upto

    def dump(self, channel: str) -> bytes:
        """Equal, byte for byte, on all gateways that hold the same and compacted up to the same stamp."""
        held = self._channels.get(channel)
        if held is None:
            return b"[]"
        while channel in self.compacting:
            self.remove_compacted(COMPACTION_BATCH)
        return msgspec.json.encode([held.snapshot, held.entries])

    def all_entries(self) -> Iterable[Entry]:
        """All that are held, by stream."""
        for _, chain in sorted(self.chains.items()):
            yield from chain.entries_after(0)
