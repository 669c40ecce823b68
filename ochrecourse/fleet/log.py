"""The event log: the entries of all channels by stream and in total order, merging, reading, compaction.

The log stores entries and finds those that a peer lacks. `frontier` determines up to where the order is final
and which entries are late; `log_store` makes entries durable. Free of I/O, clock and chance: the wall clock
is passed with each call, in ms since 1970.
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

HARD_LIMIT_FACTOR = 8  # times the limits: peers' entries are merged up to there, own appends only up to one
COMPACTION_BATCH = 2048  # entries that a compaction checks before it returns; a thousand take some 1.5 ms
MAX_HOLES_PER_MESSAGE = 2048  # a stream has many holes when its channels are compacted one by one
MAX_SNAPSHOT_BYTES = 32 << 20  # bytes of a snapshot's value; a record of the journal takes 64 MiB
CLOCK_SKEW_MS = 2000  # clocks that differ by more are noted
MAX_NOTES = 256  # the newest notes are retained
START = Timestamp(0, 0)


class InvalidEntryError(Exception):
    """Raised when a merge is rejected; the text names the peer's error."""


@dataclass(slots=True)
class LogLimits:
    """Limits: bytes of an entry's body, bytes of a channel, number of channels, and ms by which a merged
    entry may be ahead of the local wall clock.
    """

    entry_bytes: int = 64 << 10
    channel_bytes: int = 16 << 20
    channels: int = 1024
    max_clock_ahead_ms: int = 3_600_000


class Holes(msgspec.Struct, frozen=True, array_like=True, tag="holes"):
    """Holes left by compaction; the snapshots of `channels` replace their entries."""

    channels: tuple[tuple[str, Timestamp], ...]
    holes: tuple[Hole, ...]


def encode_value(value: object) -> bytes:
    """A value encoded as an entry's body. Raises TypeError, ValueError, RecursionError if it is not JSON."""
    return json.dumps(value, separators=(",", ":"), sort_keys=True, allow_nan=False).encode()


def next_timestamp(clock: Timestamp, wall_ms: int) -> Timestamp:
    """The next timestamp after `clock`: the wall clock's if that is later."""
    return Timestamp(wall_ms, 0) if wall_ms > clock.ms else Timestamp(clock.ms, clock.counter + 1)


def previous_timestamp(at: Timestamp) -> Timestamp:
    """A timestamp before `at`, the closest that can be computed."""
    return Timestamp(at.ms, at.counter - 1) if at.counter else Timestamp(at.ms - 1, 0)


class Log:
    """One gateway's copy of the fleet's log. `incarnation`: that of the stream that this process appends to.

    `listeners` are called with each entry that is appended or merged, in that order. `classify` returns
    whether an entry is ordinary, late or pending. `late_streams`: streams with late entries, once that
    classification is final. `notes`: lines on clocks, forks and full channels.
    """

    def __init__(self, name: str, incarnation: int, limits: LogLimits) -> None:
        """An empty log of the gateway `name`."""
        self.name = name
        self.incarnation = incarnation
        self.limits = limits
        self.clock = START
        self.stable = START
        self.listeners: list[Callable[[Entry], None]] = []
        self.classify: Callable[[Entry], str] = lambda entry: ORDINARY
        self.late_streams: set[Stream] = set()
        self.compacting: dict[str, None] = {}  # channels with entries that their snapshot replaces
        self._recompact_after_recovery: list[str] = []  # channels in which the journal restored such entries
        self.freed_bytes = 0  # bytes of entries that compaction removed
        self.view_version = 0  # increases when `classify` may give other results
        self.chains: dict[Stream, Chain] = {}
        self.notes: list[str] = []
        self.clock_ahead_ms: dict[str, int] = {}  # ms by writer: its maximum over the local wall clock
        self.forks: dict[Stream, str] = {}
        self.fork_points: dict[Stream, int] = {}  # the last entry that both histories are known to share
        self.ended_incarnations: EndedIncarnations = {}  # retired incarnations
        self.compaction_count = 0  # increases when entries are removed in favour of a snapshot
        self.retirement_count = 0  # increases when incarnations are retired
        self.highest_incarnation = 0  # the greatest one of the own name with a stored entry
        self._channels: dict[str, Channel] = {}
        self._verified_hashes: dict[Stream, int] = {}  # last seq at which a heartbeat confirmed the own hash
        self._uncaused: dict[Stream, int] = {}  # merged since the last own entry: causes of the next
        self._pending_holes: dict[Stream, list[Hole]] = {}  # received holes; entries before them are missing
        self._last_wall_ms = 0
        self.drafts: deque[Entry] = deque()  # own entries that are not durable yet, in order

    def add_note(self, line: str) -> None:
        """Adds a line to `notes` unless it is there already; drops the oldest beyond the limit."""
        if line not in self.notes:
            self.notes.append(line)
            del self.notes[:-MAX_NOTES]

    # appending

    def draft(self, channel: str, value: object, wall_ms: int, must: bool = False) -> Entry:
        """The entry that an append would write; the log is not changed.

        `must`: also if the channel is full, for events that the fleet needs in order to continue.
        Raises AppendRejectedError.
        """
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
        self._check_wall_clock(wall_ms)
        entry = self._next_entry(channel, body, wall_ms)
        if must:
            return entry
        draft_sizes = [accounted_bytes(draft) for draft in self.drafts if draft.channel == channel]
        stored = self._channels.get(channel)
        if stored is None and not draft_sizes:
            new_channels = {draft.channel for draft in self.drafts} - self._channels.keys()
            if len(self._channels) + len(new_channels) >= self.limits.channels:
                raise AppendRejectedError(f"{len(self._channels)} channels are held, no more are begun")
            return entry
        size = (stored.bytes if stored is not None else 0) + sum(draft_sizes)
        if size + accounted_bytes(entry) > self.limits.channel_bytes:
            raise AppendRejectedError(
                f"channel {channel} is full: {size} of {self.limits.channel_bytes} bytes"
            )
        return entry

    def _next_entry(self, channel: str, body: bytes, wall_ms: int) -> Entry:
        """The next own entry, after all drafts."""
        chain = self.chains.get((self.name, self.incarnation))
        last, clock = chain.last if chain else 0, self.clock
        if self.drafts:
            last, clock = self.drafts[-1].seq, max(clock, self.drafts[-1].at)
        drafted_causes = {
            (writer, incarnation): seq for draft in self.drafts for writer, incarnation, seq in draft.cause
        }
        uncaused = [
            (*stream, seq) for stream, seq in self._uncaused.items() if drafted_causes.get(stream) != seq
        ]
        cause = tuple(sorted(uncaused)[:MAX_CAUSES])
        return Entry(
            channel, self.name, self.incarnation, last + 1, next_timestamp(clock, wall_ms), cause, body
        )

    def add_draft(self, entry: Entry) -> None:
        """Registers a draft that is being made durable: later drafts follow it, and no promise exceeds it."""
        self.drafts.append(entry)

    def discard_draft(self, entry: Entry) -> None:
        """Removes a draft that could not be made durable, and all drafts after it."""
        if entry in self.drafts:
            while self.drafts.pop() != entry:
                pass

    def discard_drafts(self) -> None:
        """Removes all drafts, as none could be made durable."""
        self.drafts.clear()

    def accept_draft(self, entry: Entry) -> None:
        """Adds the draft, which is the first of the registered ones, to the log."""
        if self.drafts and self.drafts[0] == entry:
            self.drafts.popleft()
        for writer, incarnation, seq in entry.cause:
            if self._uncaused.get((writer, incarnation)) == seq:
                del self._uncaused[writer, incarnation]
        self._add(entry)

    def begin_incarnation(self, incarnation: int) -> None:
        """Starts a new stream, to which later appends go."""
        own = self.chains.get((self.name, self.incarnation))
        if own is not None:
            self._uncaused[self.name, self.incarnation] = own.last
        self.incarnation = incarnation

    def restore(self, entry: Entry) -> bool:
        """Adds an entry read from the journal; returns False if its predecessor is missing."""
        chain = self.chains.get(entry.stream)
        stored = chain.last if chain else 0
        if entry.seq > stored:
            if entry.seq != self._next(entry.stream, stored):
                return False
            self._uncaused[entry.stream] = entry.seq
            self._add(entry)
        return True

    def append(self, channel: str, value: object, wall_ms: int) -> Entry:
        """Appends an entry without making it durable; `log_store.LogStore.append` does both. Raises
        AppendRejectedError.
        """
        entry = self.draft(channel, value, wall_ms)
        self.accept_draft(entry)
        return entry

    def _check_wall_clock(self, wall_ms: int) -> None:
        if self._last_wall_ms - wall_ms > CLOCK_SKEW_MS:
            self.add_note(
                f"{self.name}: the wall clock here stepped back by {self._last_wall_ms - wall_ms} ms"
            )
        self._last_wall_ms = wall_ms

    def promise(self, wall_ms: int) -> Timestamp:
        """A timestamp that all later appends of this gateway exceed."""
        self._check_wall_clock(wall_ms)
        self.clock = max(self.clock, Timestamp(wall_ms, 0))
        return self.clock

    # merging

    def merge(self, entries: Sequence[Entry], wall_ms: int) -> list[Entry]:
        """Merges entries from a peer and returns the new ones.

        Entries after a gap or a fork are skipped; peers send them again. Raises InvalidEntryError, and then
        nothing is merged.
        """
        self._check_wall_clock(wall_ms)
        new: list[Entry] = []
        staged: dict[Stream, Entry] = {}  # the last new entry by stream
        sizes: dict[str, int] = {}
        for entry in entries:
            stream = entry.stream
            error_text = entry_error(
                entry, self.limits.entry_bytes, wall_ms + self.limits.max_clock_ahead_ms, self.chains
            )
            if error_text is not None:
                raise InvalidEntryError(error_text)
            if stream in self.forks or self.has_ended(stream):
                # Accepting it could give one seq two bodies. Gateways that store entries of an ended
                # incarnation remove them, and note it.
                continue
            last = staged.get(stream)
            chain = self.chains.get(stream)
            stored = last.seq if last else chain.last if chain else 0
            if entry.seq <= stored:
                existing = chain.entry(entry.seq) if chain else None
                if existing is None and last is not None:
                    existing = next((e for e in new if e.stream == stream and e.seq == entry.seq), None)
                if existing is not None and existing != entry:
                    self.report_fork(stream, entry.seq - 1, f"entry {entry.seq} came with two bodies")
                continue
            if stream == (self.name, self.incarnation):
                raise InvalidEntryError(
                    f"{entry.writer}: entry {entry.seq} of our own life, which we never wrote"
                )
            if entry.seq != self._next(stream, stored):
                continue  # a gap: the entries before it are in flight or requested again
            previous = last.at if last else chain.at if chain else START
            if entry.at <= previous:
                raise InvalidEntryError(
                    f"{entry.writer}: entry {entry.seq} at {entry.at}, not after {previous}"
                )
            size = sizes.get(entry.channel)
            if size is None:
                size = self._channel_size(entry.channel, sizes)
            new_size = size + accounted_bytes(entry)
            if size < 0 or new_size > HARD_LIMIT_FACTOR * self.limits.channel_bytes:
                self.add_note(f"channel {entry.channel}: no room for {entry.writer} until it is compacted")
                continue
            sizes[entry.channel] = new_size
            staged[stream] = entry
            new.append(entry)
        for entry in new:
            if entry.stream not in self.forks:
                self._note_clock_ahead(entry, wall_ms)
                self._uncaused[entry.stream] = entry.seq
                self._add(entry)
        return new if not self.forks else [e for e in new if e.stream not in self.forks]

    def _channel_size(self, channel: str, sizes: Mapping[str, int]) -> int:
        """Stored bytes of a channel; negative if it would exceed the limit on channels."""
        stored = self._channels.get(channel)
        if stored is not None:
            return stored.bytes
        new_channels = sum(1 for c in sizes if c not in self._channels)
        return 0 if len(self._channels) + new_channels < HARD_LIMIT_FACTOR * self.limits.channels else -1

    def _next(self, stream: Stream, stored: int) -> int:
        """The sequence number that follows `stored`, past holes received from peers."""
        for hole in self._pending_holes.get(stream, ()):
            if hole.first <= stored + 1 <= hole.last:
                stored = hole.last
        return stored + 1

    def _note_clock_ahead(self, entry: Entry, wall_ms: int) -> None:
        ahead = entry.at.ms - max(wall_ms, self.clock.ms)
        if ahead > CLOCK_SKEW_MS and ahead > self.clock_ahead_ms.get(entry.writer, 0):
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
        if stream in self._pending_holes:
            self._skip_pending_holes(stream, chain)
        chain.add(entry)
        if stream in self._pending_holes:
            self._skip_pending_holes(stream, chain)
        channel = self._channels.get(entry.channel)
        if channel is None:
            channel = self._channels[entry.channel] = Channel()
        channel.add(entry)
        if entry.at > self.clock:
            self.clock = entry.at
        for listener in self.listeners:
            listener(entry)

    def report_fork(self, stream: Stream, common_seq: int, reason: str) -> None:
        """Notes that a stream has two histories, equal up to `common_seq`; neither is sent on."""
        self.fork_points[stream] = min(common_seq, self.fork_points.get(stream, common_seq))
        if stream not in self.forks:
            writer, incarnation = stream
            self.forks[stream] = (
                f"{writer}: {reason} in life {incarnation}; {self.name} holds it where it was"
            )
            self.add_note(self.forks[stream])

    def compare_head_hash(self, writer: str, incarnation: int, seq: int, head_hash: bytes) -> None:
        """Compares the hash chain that a heartbeat states with the own one: a different hash is a fork."""
        chain = self.chains.get((writer, incarnation))
        existing = chain.hash_at(seq) if chain else b""
        if existing and head_hash and existing != head_hash:
            common_seq = self._verified_hashes.get((writer, incarnation), 0)
            self.report_fork((writer, incarnation), common_seq, f"another history up to entry {seq}")
        elif existing and head_hash:
            self._verified_hashes[writer, incarnation] = max(
                seq, self._verified_hashes.get((writer, incarnation), 0)
            )

    # differences to peers

    def vector(self) -> dict[Stream, int]:
        """The last stored entry of each stream, by stream."""
        return {stream: chain.last for stream, chain in self.chains.items()}

    def missing_entries(self, vector: Mapping[Stream, int], max_entries: int, max_bytes: int) -> list[Entry]:
        """Entries that a peer with `vector` lacks, in order, and without gaps in a stream except for holes.

        At least one entry, whatever its size, if there is any.
        """
        missing = []
        for stream, chain in self.chains.items():
            stored = vector.get(stream, 0)
            if stream in self.fork_points:
                last = self.fork_points[stream]
                missing.append(iter([e for e in chain.entries_after(stored) if e.seq <= last]))
            elif chain.last > stored:
                missing.append(chain.entries_after(stored))
        found: list[Entry] = []
        size = 0
        for entry in heapq.merge(*missing, key=lambda e: e.position):
            size += accounted_bytes(entry)
            if found and (size > max_bytes or len(found) >= max_entries):
                break
            found.append(entry)
        return found

    def snapshots_for(self, vector: Mapping[Stream, int]) -> list[Snapshot | Holes]:
        """What a peer needs before it can merge `missing_entries`: nothing, or snapshots and then holes."""
        holes: list[Hole] = []
        for (writer, incarnation), chain in sorted(self.chains.items()):
            if chain.last > vector.get((writer, incarnation), 0):
                holes += chain.holes(writer, incarnation, vector.get((writer, incarnation), 0))
        if not holes:
            return []
        snapshots = self.snapshots()
        snapshot_positions = tuple((s.channel, s.upto) for s in snapshots)
        batches = [
            Holes(snapshot_positions, tuple(holes[i : i + MAX_HOLES_PER_MESSAGE]))
            for i in range(0, len(holes), MAX_HOLES_PER_MESSAGE)
        ]
        return [*snapshots, *batches]

    def snapshots(self) -> list[Snapshot]:
        """The newest snapshot of each channel, by name of the channel."""
        return [c.snapshot for _, c in sorted(self._channels.items()) if c.snapshot is not None]

    def take_snapshot(self, item: Snapshot | Holes) -> bool:
        """Applies one part of a peer's `snapshots_for`; whether it was new. Raises InvalidEntryError."""
        if isinstance(item, Snapshot):
            if len(item.value) > min(HARD_LIMIT_FACTOR * self.limits.channel_bytes, MAX_SNAPSHOT_BYTES):
                raise InvalidEntryError(f"snapshot of {item.channel}: {len(item.value)} bytes")
            if (
                item.channel not in self._channels
                and len(self._channels) >= HARD_LIMIT_FACTOR * self.limits.channels
            ):
                raise InvalidEntryError(f"snapshot of {item.channel}: one channel too many")
            channel = self._channels.setdefault(item.channel, Channel())
            if channel.snapshot is not None and channel.snapshot.upto >= item.upto:
                return False
            channel.snapshot = item
            return True
        for name, upto in item.channels:
            own = self.snapshot(name)
            if own is None or own.upto < upto:
                raise InvalidEntryError(f"holes without the snapshot of {name}")
        changed = False
        for hole in item.holes:
            stream = (hole.writer, hole.incarnation)
            if stream == (self.name, self.incarnation) or stream in self.forks or hole.last < hole.first:
                continue
            if self.has_ended(stream):
                continue
            chain = self.chains.setdefault(stream, Chain())
            if hole.last > chain.last:
                pending = self._pending_holes.setdefault(stream, [])
                if hole not in pending:
                    pending.append(hole)
                    pending.sort(key=lambda h: h.first)
                    changed = True
                self._skip_pending_holes(stream, chain)
        return changed

    def _skip_pending_holes(self, stream: Stream, chain: Chain) -> None:
        """Skips the pending holes that the stream has reached."""
        pending = self._pending_holes.get(stream)
        while pending and pending[0].first <= chain.last + 1:
            hole = pending.pop(0)
            if hole.last > chain.last:
                chain.skip_hole(hole)
                self._uncaused[stream] = hole.last
                self.clock = max(self.clock, hole.at)
        if pending is not None and not pending:
            del self._pending_holes[stream]

    # reading

    def events(self, channel: str) -> list[Entry]:
        """All stored entries of a channel in order, including those past the stability frontier."""
        stored = self._channels.get(channel)
        return list(stored.entries) if stored else []

    def channels(self) -> list[str]:
        """The names of all channels, sorted."""
        return sorted(self._channels)

    def entry_count(self, channel: str) -> int:
        """The number of stored entries of a channel."""
        stored = self._channels.get(channel)
        return stored.count if stored else 0

    def channel_bytes(self, channel: str) -> int:
        """The accounted bytes of a channel's stored entries."""
        stored = self._channels.get(channel)
        return stored.bytes if stored else 0

    def total_bytes(self) -> int:
        """The accounted bytes of all stored entries."""
        return sum(stored.bytes for stored in self._channels.values())

    def snapshot(self, channel: str) -> Snapshot | None:
        """The newest snapshot of a channel, if it has one."""
        stored = self._channels.get(channel)
        return stored.snapshot if stored else None

    def frontier(self) -> Timestamp:
        """The stability frontier: all ordinary entries at or before it are stored, and no more can appear."""
        return self.stable

    def advance_frontier(self, stable: Timestamp) -> None:
        """Moves the stability frontier forward, as `frontier` computed it; it never moves back."""
        self.stable = max(self.stable, stable)
        self._resume_compaction()

    def read(self, channel: str, cursor: str, max_entries: int) -> tuple[list[Delivery], str]:
        """Up to `max_entries` deliveries that a reader at `cursor` has not read, and the next cursor.

        A cursor is text that stays valid and works on every gateway; "" is the beginning. Raises
        AppendRejectedError if it is malformed.
        """
        stored = self._channels.get(channel)
        if stored is None:
            return [], cursor
        return stored.read(
            cursor, max_entries, self.stable, self.classify, self.late_streams, self.view_version
        )

    def compact(self, channel: str, upto: Timestamp, snapshot: object) -> Snapshot:
        """Replaces the channel's ordinary entries at or before `upto` by a snapshot.

        Late entries are retained, because a reader that is past them does not read the snapshot. Raises
        AppendRejectedError if `upto` is past the stability frontier or the snapshot is too long.
        """
        if upto > self.stable:
            raise AppendRejectedError(f"channel {channel}: {upto} is past the frontier, {self.stable}")
        stored = self._channels.setdefault(channel, Channel())
        if stored.snapshot is None or stored.snapshot.upto < upto:
            value = json.dumps(snapshot, separators=(",", ":"), sort_keys=True).encode()
            max_bytes = min(self.limits.channel_bytes, MAX_SNAPSHOT_BYTES)
            if len(value) > max_bytes:
                raise AppendRejectedError(
                    f"channel {channel}: a snapshot of {len(value)} bytes, more than {max_bytes}"
                )
            stored.snapshot = Snapshot(channel, upto, value)
        stored.restart_removal()
        self.compacting[channel] = None
        self.remove_compacted(COMPACTION_BATCH)
        return stored.snapshot

    def journal_recovered(self) -> None:
        """Schedules the removal of compacted entries that the journal has restored.

        They are removed once the stability frontier has passed their snapshot. Before that, an entry that
        looks ordinary may be late by an event that this gateway has not received yet, and then no snapshot
        contains it.
        """
        self._recompact_after_recovery = [
            name for name, stored in sorted(self._channels.items()) if stored.snapshot is not None
        ]
        self._resume_compaction()

    def _resume_compaction(self) -> None:
        remaining = []
        for name in self._recompact_after_recovery:
            stored = self._channels[name]
            if stored.snapshot is not None and stored.snapshot.upto <= self.stable:
                stored.restart_removal()
                self.compacting[name] = None
            else:
                remaining.append(name)
        if len(remaining) < len(self._recompact_after_recovery):
            self._recompact_after_recovery = remaining
            self.remove_compacted(COMPACTION_BATCH)

    def remove_compacted(self, max_entries: int) -> None:
        """Removes entries that snapshots replace, checking about `max_entries`.

        Readers skip the rest already. The limit keeps the compaction of a long channel from blocking the
        gateway.
        """
        while self.compacting and max_entries > 0:
            name = next(iter(self.compacting))
            stored = self._channels[name]
            assert stored.snapshot is not None
            count_before, size = stored.count, stored.bytes
            removed, done = stored.remove_compacted(
                stored.snapshot.upto, lambda e: self.classify(e) == ORDINARY, max_entries
            )
            max_entries -= max(MAX_BLOCK_ENTRIES, count_before - stored.count)
            self.freed_bytes += size - stored.bytes
            seqs: dict[Stream, list[int]] = {}
            for entry in removed:
                seqs.setdefault(entry.stream, []).append(entry.seq)
            for stream, removed_seqs in seqs.items():
                self.chains[stream].remove(removed_seqs)
            self.compaction_count += 1
            if done:
                del self.compacting[name]

    def apply_snapshots(self, upto: Timestamp) -> None:
        """Removes entries replaced by snapshots received from a peer or read from the journal.

        `upto`: that of the snapshot of channel `fleet`, up to which the classification is final.
        """
        for name, stored in sorted(self._channels.items()):
            first = next(stored.entries_after(LogPosition(START, "", 0, 0)), None)
            if first is not None and stored.snapshot is not None and first.at <= stored.snapshot.upto <= upto:
                stored.restart_removal()
                self.compacting[name] = None
        self.remove_compacted(COMPACTION_BATCH)

    # retired incarnations

    def has_ended(self, stream: Stream) -> bool:
        """Whether the incarnation is retired: none of its entries is accepted again."""
        return has_ended(self.ended_incarnations, stream)

    def retire(self, ended: EndedIncarnations) -> None:
        """Retires incarnations and removes their stored entries.

        Entries that are not known to be contained in a snapshot are noted.
        """
        self.ended_incarnations = ended
        ended_streams = sorted(stream for stream in self.chains if self.has_ended(stream))
        if not ended_streams:
            return
        self.retirement_count += 1
        has_entries = False
        for stream in ended_streams:
            chain = self.chains.pop(stream)
            stored = list(chain.entries_after(0))
            has_entries = has_entries or bool(stored)
            missing = [str(e.seq) for e in stored if not self._is_in_snapshot(e)]
            if missing:
                first, last = missing[0], missing[-1]
                self.add_note(
                    f"{stream[0]}: life {stream[1]} is over for the fleet; of entries {first} to {last}, "
                    f"held here until now, it has what its snapshots tell, and the others are not taken"
                )
            for by_stream in (
                self._uncaused,
                self._verified_hashes,
                self._pending_holes,
                self.forks,
                self.fork_points,
            ):
                by_stream.pop(stream, None)
        self.late_streams -= set(ended_streams)
        for channel in self._channels.values() if has_entries else ():
            channel.retain(lambda e: not self.has_ended(e.stream))

    def _is_in_snapshot(self, entry: Entry) -> bool:
        """Whether a snapshot is known to contain the entry."""
        snapshot = self.snapshot(entry.channel)
        is_final = entry.at <= self.stable and self.classify(entry) == ORDINARY
        return is_final and snapshot is not None and entry.at <= snapshot.upto

    def dump(self, channel: str) -> bytes:
        """The channel as bytes, equal on all gateways with the same entries and equal `upto` of snapshots."""
        stored = self._channels.get(channel)
        if stored is None:
            return b"[]"
        while channel in self.compacting:
            self.remove_compacted(COMPACTION_BATCH)
        return msgspec.json.encode([stored.snapshot, stored.entries])

    def all_entries(self) -> Iterable[Entry]:
        """All stored entries, by stream."""
        for _, chain in sorted(self.chains.items()):
            yield from chain.entries_after(0)
