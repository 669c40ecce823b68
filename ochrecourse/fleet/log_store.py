"""The log as it outlives its process: each entry is written down, an append is durable before it is told.

`journal_writer` says when what is written and synced; where records are stored is handed in
(`storage.journal.Journal`). What can't be read any more ends what is recovered. Every start is a new life, so
a number that an older copy of the journal gives out a second time is never the same writer's: life, then
number. Free of I/O, clock and chance.
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

INCARNATION_RANDOM_BITS = 16  # of chance below the wall clock's ms in a life
PROMISED_MS = 2000  # written down ahead, so that not each promise is a write; the next life begins there
PROMISED_AHEAD_MS = 1000  # left of it when the next is written: a disk may take so long
MIN_REWRITE_BYTES = 1 << 20  # bytes of records that are no longer needed, before the journal is written anew
PART = 4  # and they must be this part of what is held: each byte is then written anew four times at the most
SHRUNK = 1024  # entries of a compaction that are let go at once; 1.5 ms
WAIT_S = 1.0  # between two looks of a caller that blocks for the disk
ANOTHERS = "the journal is another process's"


@dataclass(frozen=True, slots=True)
class AppendResult:
    """What became of an append: its entry, which is durable now, or why there is none."""

    entry: Entry | None = None
    error: OSError | None = None

    def unwrap(self) -> Entry:
        """The entry. Raises the error."""
        if self.entry is None:
            assert self.error is not None
            raise self.error
        return self.entry


@dataclass(frozen=True, slots=True)
class BeginResult:
    """What became of a new life: its number and that of the one before, or why that goes on."""

    incarnation: int = 0
    previous: int = 0
    error: OSError | None = None


OnAppended = Callable[[AppendResult], None]
OnBegun = Callable[[BeginResult], None]


def _no_time() -> int:
    """For logs whose disk is never slow."""
    return 0


def _do_nothing() -> None:
    """For logs whose entries nobody sends on."""


def _ignore(error: OSError | None) -> None:
    """For what nobody waits for."""


class IncarnationRecord(msgspec.Struct, frozen=True, array_like=True, tag="life"):
    """A life began."""

    incarnation: int


class PromiseRecord(msgspec.Struct, frozen=True, array_like=True, tag="promised"):
    """No promise went beyond this stamp."""

    upto: Timestamp


class EntryRecord(msgspec.Struct, frozen=True, array_like=True, tag="entry"):
    """An entry, own or merged."""

    entry: Entry


_encode = msgspec.msgpack.Encoder().encode
_Record = IncarnationRecord | PromiseRecord | EntryRecord | Snapshot | Holes
_decode = msgspec.msgpack.Decoder(_Record).decode


class LogStore:
    """A log and its journal. All that changes the log goes through here.

    `notes` say what could not be read or written, a line each. `wall_ms`: ms since 1970; `chance`: 16 bits
    that another start at the same ms would hardly draw; `worker`: runs what is written after the start;
    `clock`: ns, for how long that takes. A journal that can't be written yet refuses appends.
    """

    def __init__(
        self,
        journal: Journal,
        name: str,
        bounds: LogLimits,
        wall_ms: int,
        chance: int,
        worker: DiskWorker | None = None,
        clock: Callable[[], int] = _no_time,
    ) -> None:
        self.journal = journal
        self.notes: list[str] = []
        self.log = Log(name, 0, bounds)
        self._last_incarnation = 0
        self._promised = Timestamp(0, 0)
        self._promised_durably = Timestamp(0, 0)
        self._told_promise = Timestamp(0, 0)
        self.on_reported: Callable[[], None] = _do_nothing  # after the results of one or more appends
        self.is_beginning_incarnation = False  # a new life is being written down
        self._spent = 0  # bytes of records that a new journal would not have
        self._forgot = 0  # of the log, when the journal was last begun anew
        self._recover()
        self.log.incarnation = self._last_incarnation = max(
            _make_incarnation(wall_ms, chance), max(self._last_incarnation, self.log.highest_incarnation) + 1
        )
        self._promised_durably = self._promised
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
                kept = _decode(record)
            except (msgspec.DecodeError, UnicodeError):
                kept = None
            if kept is None or not self._take(kept):
                self.notes.append(f"journal of the fleet: record {count} means nothing, the rest is left out")
                return

    def _take(self, kept: _Record) -> bool:
        if isinstance(kept, IncarnationRecord):
            self._last_incarnation = max(self._last_incarnation, kept.incarnation)
            return True
        if isinstance(kept, PromiseRecord):
            self._promised = self.log.clock = max(self.log.clock, kept.upto)
            return True
        if isinstance(kept, EntryRecord):
            return self.log.restore(kept.entry)
        try:
            self.log.take_snapshot(kept)
        except InvalidEntryError:
            return False
        return True

    def _all_records(self) -> Iterator[bytes]:
        """All records that stand now, whatever comes while they are taken."""
        first: list[_Record] = [
            IncarnationRecord(self._last_incarnation),
            PromiseRecord(self._promised),
            *self.log.snapshots(),
        ]
        holes = [piece for piece in self.log.snapshots_for({}) if isinstance(piece, Holes)]
        rows = [list(chain.entries) for _, chain in sorted(self.log.chains.items())]
        return self._encoded([*first, *holes], rows)

    def _encoded(self, first: list[_Record], rows: list[list[Entry | None]]) -> Iterator[bytes]:
        yield from map(_encode, first)
        for row in rows:
            for entry in row:
                if entry is not None:
                    yield _encode(EntryRecord(entry))

    # --- the disk ---

    @property
    def is_durable(self) -> bool:
        """Whether nothing waits for the disk: all that is held outlives a power cut, or the disk has failed,
        which `notes` say.
        """
        return self.writer.is_durable

    def sync(self, on_synced: OnDone = _ignore) -> None:
        """Calls once what was merged and promised so far outlives a power cut, or could not be made so; asked
        for before this gateway says that it holds it.
        """
        self.writer.sync(on_synced)

    @property
    def needs_maintenance(self) -> bool:
        """Whether there is something for `work` to do."""
        return self.writer.is_rewriting or bool(self.log.compacting)

    def maintain(self, most: int) -> None:
        """Goes on with a compaction, then with writing the journal anew, `most` bytes of it: at a stretch a
        million entries would hold all else up for seconds."""
        if self.log.compacting:
            self.log.remove_compacted(SHRUNK)
            self._look_at_spent()
            return
        self.writer.step(most)

    @property
    def _renewal(self) -> Renewal | None:
        return self.writer.rewrite

    def _make_renewal(self, anew: JournalRewrite, rest: Iterator[bytes]) -> Renewal:
        return Renewal(anew, rest)

    @property
    def format_version(self) -> int:
        """In which the journal is kept."""
        return self.writer.version

    def set_format_version(self, form: int) -> None:
        """The journal is kept in a newer form from here on."""
        self.writer.version = form
        self.writer.repair()

    def release(self, on_given: Callable[[], None] = lambda: None) -> None:
        """Writes no more: another process may open the journal, once `on_given` is called. What was being
        written anew is dropped: put in place later, it would be over the other's."""
        self.journal.retire()
        self.writer.close(ANOTHERS, on_given)

    def abandon(self) -> None:
        """After `give`: the operation under way no longer counts."""
        self.writer.abandon()

    def check_stalled(self) -> None:
        """Refuses what waits for a disk that has stopped answering. To be called now and then."""
        self.writer.check_stalled()

    def wait_durable(self, timeout_s: float) -> bool:
        """Blocks until all that was written is on disk, at most so long; whether it is."""
        self.writer.sync(_ignore)
        return self.writer.worker.wait(timeout_s)

    # --- what is written ---

    def request_incarnation(self, wall_ms: int, chance: int, outlived: int, on_begun: OnBegun) -> None:
        """Begins a new life within this process, beyond `outlived`: the fleet has let the old one go. An
        OSError is told, and then the old one goes on; no second life is begun meanwhile."""
        if self.is_beginning_incarnation:
            return
        try:
            self.writer.check_accepts()
        except OSError as error:
            on_begun(BeginResult(error=error))
            return
        life = max(
            _make_incarnation(wall_ms, chance),
            max(self._last_incarnation, outlived, self.log.highest_incarnation) + 1,
        )
        self.is_beginning_incarnation = True

        def ended(error: OSError | None) -> None:
            self.is_beginning_incarnation = False
            previous = self.log.incarnation
            if error is None:
                self._last_incarnation = life
                self.log.begin_incarnation(life)
            on_begun(BeginResult(life, previous, error))

        self.writer.write([_encode(IncarnationRecord(life))], False, ended)

    def begin_incarnation(self, wall_ms: int, chance: int, outlived: int = 0) -> int:
        """As `request_begin`, but blocks for the disk. Raises OSError."""
        results: list[BeginResult] = []
        self.request_incarnation(wall_ms, chance, outlived, results.append)
        self._wait_for(results)
        if results[0].error is not None:
            raise results[0].error
        return results[0].incarnation

    def promise(self, wall_ms: int) -> Timestamp:
        """A stamp that all that is appended from now on, in a later life too, stands behind. It does not go
        past an append of this gateway that is not durable, nor beyond what is written down for it."""
        if self._forgot != self.log.retirement_count and not self.writer.is_rewriting:
            # Guards against lives that are over and come back with each start, to be named again.
            self._forgot = self.log.retirement_count
            self._renew()
        promise = self.log.promise(wall_ms)
        if promise.ms + PROMISED_AHEAD_MS > self._promised.ms:
            self._promised = Timestamp(promise.ms + PROMISED_MS, 0)
            self._spent += 32
            self._write_promised(self._promised)
        if self.log.drafts:
            promise = min(promise, previous_timestamp(self.log.drafts[0].at))
        self._told_promise = max(self._told_promise, min(promise, self._promised_durably))
        return self._told_promise

    def _write_promised(self, upto: Timestamp) -> None:
        def ended(error: OSError | None) -> None:
            # A disk that fails does not hold up the fleet: nothing is appended here until it is mended.
            self._promised_durably = max(self._promised_durably, upto)

        self.writer.write([_encode(PromiseRecord(upto))], True, ended)

    def request_append(
        self, channel: str, value: object, wall_ms: int, must: bool, on_appended: OnAppended
    ) -> None:
        """Drafts an entry, and calls `on_appended` once it is durable and part of the log, or could not be
        made so; possibly before this returns. Raises AppendRejectedError, OSError; then nothing is under
        way."""
        if self.is_beginning_incarnation:
            raise AppendRejectedError("a new life of this gateway is being begun")
        entry = self.log.draft(channel, value, wall_ms, must)
        self.writer.check_accepts()
        self.log.add_draft(entry)

        def ended(error: OSError | None) -> None:
            if error is None and self.log.has_ended(entry.stream):
                error = OSError(f"life {entry.incarnation} of {entry.writer} was let go meanwhile")
            if error is not None:
                self.log.discard_draft(entry)
                on_appended(AppendResult(error=error))
                return
            self.log.accept_draft(entry)
            on_appended(AppendResult(entry))

        self.writer.write([_encode(EntryRecord(entry))], False, ended)

    def append(self, channel: str, value: object, wall_ms: int, must: bool = False) -> Entry:
        """As `request_append`, but blocks for the disk. Raises AppendRejectedError, OSError; then nothing was
        appended."""
        results: list[AppendResult] = []
        self.request_append(channel, value, wall_ms, must, results.append)
        self._wait_for(results)
        return results[0].unwrap()

    def _wait_for(self, results: Sequence[object]) -> None:
        while not results:
            self.writer.worker.wait(WAIT_S)
            self.writer.check_stalled()

    def merge(self, entries: Sequence[Entry], wall_ms: int) -> list[Entry]:
        """The new ones. A journal that can't be written does not stop it: a peer has them still. Raises
        log.InvalidEntryError."""
        new = self.log.merge(entries, wall_ms)
        if new:
            self.writer.write([_encode(EntryRecord(entry)) for entry in new], True)
        return new

    def take_snapshot(self, piece: Snapshot | Holes) -> bool:
        """Raises log.InvalidEntryError."""
        news = self.log.take_snapshot(piece)
        if news:
            self.writer.write([_encode(piece)], True)
        return news

    def compact(self, channel: str, upto: Timestamp, value: object) -> Snapshot:
        """Raises AppendRejectedError."""
        snapshot = self.log.compact(channel, upto, value)
        self.writer.write([_encode(snapshot)], True)
        self._look_at_spent()
        return snapshot

    def _look_at_spent(self) -> None:
        spent = self._spent + self.log.freed_bytes
        if not self.needs_maintenance and spent > max(MIN_REWRITE_BYTES, self.log.total_bytes() // PART):
            self._renew()

    def _renew(self) -> None:
        self._spent = -self.log.freed_bytes
        self.writer.begin_rewrite()

    # --- what the writer tells ---

    def _reported(self) -> None:
        self.on_reported()

    def _rewritten(self) -> None:
        self._spent, self._forgot = -self.log.freed_bytes, self.log.retirement_count

    def _failed(self, error: OSError) -> None:
        self.log.discard_drafts()
        self._note(error)

    def _note(self, error: OSError) -> None:
        line = f"journal of the fleet can't be written: {error}"
        if line not in self.notes:
            self.notes.append(line)


def _make_incarnation(wall_ms: int, chance: int) -> int:
    return wall_ms << INCARNATION_RANDOM_BITS | chance % (1 << INCARNATION_RANDOM_BITS)
