"""The log with its journal: entries are written to it, and an append is durable before it is reported.

`journal_writer` decides when records are written and synced; the journal itself is passed in
(`storage.journal.Journal`). Recovery stops at the first record that cannot be read. Every start begins a new
incarnation: a sequence number that is assigned again after recovery from an older copy of the journal then
belongs to another stream. Free of I/O, clock and chance.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass

import msgspec

from ochrecourse.fleet.entries import Entry, Timestamp
from ochrecourse.fleet.journal_writer import JournalContent, JournalWriter, Renewal
from ochrecourse.fleet.log import (
    InvalidEntryError,
    LogLimits,
    Holes,
    Log,
    AppendRejectedError,
    Snapshot,
    previous_timestamp,
)
from ochrecourse.storage.disk_worker import DiskWorker, InlineWorker, OnDone
from ochrecourse.storage.journal_interface import Journal, JournalRewrite

INCARNATION_RANDOM_BITS = 16  # random bits of an incarnation, below the wall clock's ms
PROMISE_EXTENT_MS = (
    2000  # by which a recorded limit exceeds a promise, to save writes; a restart begins at it
)
PROMISE_RENEWAL_MS = 1000  # left when the next limit is written: a slow disk may take that long
MIN_REWRITE_BYTES = 1 << 20  # obsolete bytes before the journal is rewritten
REWRITE_FRACTION = 4  # and they must exceed 1/4 of the stored bytes: a byte is rewritten at most four times
REMOVAL_BATCH = 1024  # entries checked by one step of a compaction; takes 1.5 ms
WAIT_S = 1.0  # between checks for a stalled disk, while a caller blocks
RELEASED_MESSAGE = "the journal is another process's"


@dataclass(frozen=True, slots=True)
class AppendResult:
    """The result of an append: its entry, which is durable, or the error."""

    entry: Entry | None = None
    error: OSError | None = None

    def unwrap(self) -> Entry:
        """Returns the entry, or raises the error."""
        if self.entry is None:
            assert self.error is not None
            raise self.error
        return self.entry


@dataclass(frozen=True, slots=True)
class BeginResult:
    """The result of beginning an incarnation: the new and the previous one, or why the old one continues."""

    incarnation: int = 0
    previous: int = 0
    error: OSError | None = None


OnAppended = Callable[[AppendResult], None]
OnBegun = Callable[[BeginResult], None]


def _no_time() -> int:
    """The clock of logs whose disk operations need no time limit."""
    return 0


def _do_nothing() -> None:
    """The default callback after appends."""


def _ignore(error: OSError | None) -> None:
    """The callback of operations whose result is not needed."""


class IncarnationRecord(msgspec.Struct, frozen=True, array_like=True, tag="life"):
    """The journal record of a new incarnation."""

    incarnation: int


class PromiseRecord(msgspec.Struct, frozen=True, array_like=True, tag="promised"):
    """The journal record of a limit that no promise exceeds."""

    upto: Timestamp


class EntryRecord(msgspec.Struct, frozen=True, array_like=True, tag="entry"):
    """The journal record of an entry, own or merged."""

    entry: Entry


_encode = msgspec.msgpack.Encoder().encode
_Record = IncarnationRecord | PromiseRecord | EntryRecord | Snapshot | Holes
_decode = msgspec.msgpack.Decoder(_Record).decode


class LogStore:
    """A log and its journal. All changes of the log go through this class.

    `notes`: a line for each failure to read or write the journal. `wall_ms`: ms since 1970. `random_bits`: 16
    bits, which distinguish starts in the same ms. `worker`: runs disk operations after the start.
    `clock`: ns, to measure them. While the journal cannot be written, appends are rejected.
    """

    def __init__(
        self,
        journal: Journal,
        name: str,
        limits: LogLimits,
        wall_ms: int,
        random_bits: int,
        worker: DiskWorker | None = None,
        clock: Callable[[], int] = _no_time,
    ) -> None:
        """Recovers the log from the journal and begins a new incarnation."""
        self.journal = journal
        self.notes: list[str] = []
        self.log = Log(name, 0, limits)
        self._last_incarnation = 0
        self._promise_limit = Timestamp(0, 0)
        self._durable_promise_limit = Timestamp(0, 0)
        self._last_promise = Timestamp(0, 0)
        self.on_reported: Callable[[], None] = _do_nothing  # called after the results of one or more appends
        self.is_beginning_incarnation = False  # a new incarnation is being written to the journal
        self._obsolete_bytes = 0  # bytes of records that a rewrite would leave out
        self._retirements_at_rewrite = 0  # of the log, at the last rewrite of the journal
        self._recover()
        self.log.incarnation = self._last_incarnation = max(
            _make_incarnation(wall_ms, random_bits),
            max(self._last_incarnation, self.log.highest_incarnation) + 1,
        )
        self._durable_promise_limit = self._promise_limit
        content = JournalContent(
            self._all_records,
            self._make_renewal,
            self._failed,
            self._note,
            self._rewritten,
            self._reported,
        )
        self.writer = JournalWriter(journal, content, clock)
        self.writer.repair()
        self.writer.worker = worker or InlineWorker()

    def _recover(self) -> None:
        for count, record in enumerate(self.journal.records(), 1):
            try:
                decoded = _decode(record)
            except (msgspec.DecodeError, UnicodeError):
                decoded = None
            if decoded is None or not self._apply_record(decoded):
                self.notes.append(f"journal of the fleet: record {count} means nothing, the rest is left out")
                return

    def _apply_record(self, decoded: _Record) -> bool:
        if isinstance(decoded, IncarnationRecord):
            self._last_incarnation = max(self._last_incarnation, decoded.incarnation)
            return True
        if isinstance(decoded, PromiseRecord):
            self._promise_limit = self.log.clock = max(self.log.clock, decoded.upto)
            return True
        if isinstance(decoded, EntryRecord):
            return self.log.restore(decoded.entry)
        try:
            self.log.take_snapshot(decoded)
        except InvalidEntryError:
            return False
        return True

    def _all_records(self) -> Iterator[bytes]:
        """All records of the current state; later changes do not affect the iterator."""
        head_records: list[_Record] = [
            IncarnationRecord(self._last_incarnation),
            PromiseRecord(self._promise_limit),
            *self.log.snapshots(),
        ]
        holes = [item for item in self.log.snapshots_for({}) if isinstance(item, Holes)]
        streams = [list(chain.entries) for _, chain in sorted(self.log.chains.items())]
        return self._encoded([*head_records, *holes], streams)

    def _encoded(self, head_records: list[_Record], streams: list[list[Entry | None]]) -> Iterator[bytes]:
        yield from map(_encode, head_records)
        for entries in streams:
            for entry in entries:
                if entry is not None:
                    yield _encode(EntryRecord(entry))

    # --- the disk ---

    @property
    def is_durable(self) -> bool:
        """Whether no write is pending: everything stored survives a power failure, or the disk has failed,
        which `notes` state.
        """
        return self.writer.is_durable

    def sync(self, on_synced: OnDone = _ignore) -> None:
        """Calls `on_synced` once all changes so far survive a power failure, or could not be made durable.

        Needed before this gateway states in a heartbeat that it stores them.
        """
        self.writer.sync(on_synced)

    @property
    def needs_maintenance(self) -> bool:
        """Whether there is work for `maintain`."""
        return self.writer.is_rewriting or bool(self.log.compacting)

    def maintain(self, max_bytes: int) -> None:
        """Continues a compaction, or else the rewrite of the journal by `max_bytes`.

        In one go, a million entries would block the gateway for seconds.
        """
        if self.log.compacting:
            self.log.remove_compacted(REMOVAL_BATCH)
            self._rewrite_if_worthwhile()
            return
        self.writer.step(max_bytes)

    @property
    def _renewal(self) -> Renewal | None:
        return self.writer.rewrite

    def _make_renewal(self, rewrite: JournalRewrite, records: Iterator[bytes]) -> Renewal:
        return Renewal(rewrite, records)

    @property
    def format_version(self) -> int:
        """The format version of the journal."""
        return self.writer.version

    def set_format_version(self, format_version: int) -> None:
        """Changes the journal to a newer format version."""
        self.writer.version = format_version
        self.writer.repair()

    def release(self, on_released: Callable[[], None] = lambda: None) -> None:
        """Stops writing, so that another process may open the journal once `on_released` is called.

        A rewrite under way is dropped: completed later, it would replace the other process's journal.
        """
        self.journal.retire()
        self.writer.close(RELEASED_MESSAGE, on_released)

    def abandon(self) -> None:
        """After `release`: ignores the result of the operation under way."""
        self.writer.abandon()

    def check_stalled(self) -> None:
        """Fails the pending operations if the disk has stopped responding. To be called periodically."""
        self.writer.check_stalled()

    def wait_durable(self, timeout_s: float) -> bool:
        """Blocks until everything written is on disk, at most `timeout_s`; returns whether it is."""
        self.writer.sync(_ignore)
        return self.writer.worker.wait(timeout_s)

    # --- writes ---

    def request_incarnation(
        self, wall_ms: int, random_bits: int, highest_incarnation: int, on_begun: OnBegun
    ) -> None:
        """Begins a new incarnation of this process, because the fleet has ended the old one.

        The new one is greater than `highest_incarnation`. An OSError is passed to `on_begun`, and the old
        incarnation continues. Ignored while another incarnation is being begun.
        """
        if self.is_beginning_incarnation:
            return
        try:
            self.writer.check_accepts()
        except OSError as error:
            on_begun(BeginResult(error=error))
            return
        incarnation = max(
            _make_incarnation(wall_ms, random_bits),
            max(self._last_incarnation, highest_incarnation, self.log.highest_incarnation) + 1,
        )
        self.is_beginning_incarnation = True

        def on_written(error: OSError | None) -> None:
            self.is_beginning_incarnation = False
            previous = self.log.incarnation
            if error is None:
                self._last_incarnation = incarnation
                self.log.begin_incarnation(incarnation)
            on_begun(BeginResult(incarnation, previous, error))

        self.writer.write([_encode(IncarnationRecord(incarnation))], False, on_written)

    def begin_incarnation(self, wall_ms: int, random_bits: int, highest_incarnation: int = 0) -> int:
        """Same as `request_incarnation`, but blocks until the disk has finished. Raises OSError."""
        results: list[BeginResult] = []
        self.request_incarnation(wall_ms, random_bits, highest_incarnation, results.append)
        self._wait_for(results)
        if results[0].error is not None:
            raise results[0].error
        return results[0].incarnation

    def promise(self, wall_ms: int) -> Timestamp:
        """A timestamp that all later appends exceed, those of later incarnations too.

        It is before every own append that is not durable yet, and does not exceed the recorded limit.
        """
        if self._retirements_at_rewrite != self.log.retirement_count and not self.writer.is_rewriting:
            # Otherwise every start would read retired incarnations from the journal and note them again.
            self._retirements_at_rewrite = self.log.retirement_count
            self._begin_rewrite()
        promise = self.log.promise(wall_ms)
        if promise.ms + PROMISE_RENEWAL_MS > self._promise_limit.ms:
            self._promise_limit = Timestamp(promise.ms + PROMISE_EXTENT_MS, 0)
            self._obsolete_bytes += 32
            self._write_promise_limit(self._promise_limit)
        if self.log.drafts:
            promise = min(promise, previous_timestamp(self.log.drafts[0].at))
        self._last_promise = max(self._last_promise, min(promise, self._durable_promise_limit))
        return self._last_promise

    def _write_promise_limit(self, upto: Timestamp) -> None:
        def on_written(error: OSError | None) -> None:
            # A failed disk must not stop the frontier: nothing is appended here until the disk works again.
            self._durable_promise_limit = max(self._durable_promise_limit, upto)

        self.writer.write([_encode(PromiseRecord(upto))], True, on_written)

    def request_append(
        self, channel: str, value: object, wall_ms: int, must: bool, on_appended: OnAppended
    ) -> None:
        """Drafts an entry, and calls `on_appended` once it is durable and in the log, or has failed.

        The call may come before this method returns. Raises AppendRejectedError or OSError if nothing was
        started.
        """
        if self.is_beginning_incarnation:
            raise AppendRejectedError("a new life of this gateway is being begun")
        entry = self.log.draft(channel, value, wall_ms, must)
        self.writer.check_accepts()
        self.log.add_draft(entry)

        def on_written(error: OSError | None) -> None:
            if error is None and self.log.has_ended(entry.stream):
                error = OSError(f"life {entry.incarnation} of {entry.writer} was let go meanwhile")
            if error is not None:
                self.log.discard_draft(entry)
                on_appended(AppendResult(error=error))
                return
            self.log.accept_draft(entry)
            on_appended(AppendResult(entry))

        self.writer.write([_encode(EntryRecord(entry))], False, on_written)

    def append(self, channel: str, value: object, wall_ms: int, must: bool = False) -> Entry:
        """Same as `request_append`, but blocks until the disk has finished.

        Raises AppendRejectedError or OSError if nothing was appended.
        """
        results: list[AppendResult] = []
        self.request_append(channel, value, wall_ms, must, results.append)
        self._wait_for(results)
        return results[0].unwrap()

    def _wait_for(self, results: Sequence[object]) -> None:
        while not results:
            self.writer.worker.wait(WAIT_S)
            self.writer.check_stalled()

    def merge(self, entries: Sequence[Entry], wall_ms: int) -> list[Entry]:
        """Merges entries from a peer and returns the new ones. Raises log.InvalidEntryError.

        Entries are merged even if the journal cannot be written, because the peer still has them.
        """
        new = self.log.merge(entries, wall_ms)
        if new:
            self.writer.write([_encode(EntryRecord(entry)) for entry in new], True)
        return new

    def take_snapshot(self, item: Snapshot | Holes) -> bool:
        """Applies a snapshot or holes from a peer; whether they were new. Raises log.InvalidEntryError."""
        changed = self.log.take_snapshot(item)
        if changed:
            self.writer.write([_encode(item)], True)
        return changed

    def compact(self, channel: str, upto: Timestamp, value: object) -> Snapshot:
        """Replaces entries of a channel by a snapshot (`log.Log.compact`). Raises AppendRejectedError."""
        snapshot = self.log.compact(channel, upto, value)
        self.writer.write([_encode(snapshot)], True)
        self._rewrite_if_worthwhile()
        return snapshot

    def _rewrite_if_worthwhile(self) -> None:
        obsolete_bytes = self._obsolete_bytes + self.log.freed_bytes
        if not self.needs_maintenance and obsolete_bytes > max(
            MIN_REWRITE_BYTES, self.log.total_bytes() // REWRITE_FRACTION
        ):
            self._begin_rewrite()

    def _begin_rewrite(self) -> None:
        self._obsolete_bytes = -self.log.freed_bytes
        self.writer.begin_rewrite()

    # --- callbacks of the journal writer ---

    def _reported(self) -> None:
        self.on_reported()

    def _rewritten(self) -> None:
        self._obsolete_bytes, self._retirements_at_rewrite = -self.log.freed_bytes, self.log.retirement_count

    def _failed(self, error: OSError) -> None:
        self.log.discard_drafts()
        self._note(error)

    def _note(self, error: OSError) -> None:
        line = f"journal of the fleet can't be written: {error}"
        if line not in self.notes:
            self.notes.append(line)


def _make_incarnation(wall_ms: int, random_bits: int) -> int:
    return wall_ms << INCARNATION_RANDOM_BITS | random_bits % (1 << INCARNATION_RANDOM_BITS)
