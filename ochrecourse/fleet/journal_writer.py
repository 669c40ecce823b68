"""Writes the journal of a fleet member: records in order, synced in groups, and rewritten by and by.

Operations run one at a time on a `storage.disk_worker.DiskWorker`, and what is to be written meanwhile goes
into the next: one sync covers all of it. After an operation that failed the journal is rewritten before
anything more is appended. Free of I/O, clock and chance: all three are handed in.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass, field

from ochrecourse.common.time_units import SECOND
from ochrecourse.storage.disk_worker import DiskWorker, InlineWorker, OnDone, Operation
from ochrecourse.storage.journal_interface import Journal, JournalRewrite

MAX_WAITING_RECORDS = 4096
MAX_WAITING_BYTES = 8 << 20  # a hundred of the longest entries
STALLED_AFTER_S = 10  # that one operation takes: a busy disk takes 1 s, a dead one never answers
SYNC_STEP_BYTES = 1 << 20  # of a rewrite, after which it is synced: its commit then has little left to do


class Renewal:
    """A rewrite in steps. `rest`: the records when it began; `since`: what was written to the
    old journal meanwhile.
    """

    def __init__(self, anew: JournalRewrite, rest: Iterator[bytes]) -> None:
        self.anew = anew
        self.rest = rest
        self.since: list[bytes] = []
        self.unsynced = 0

    def go_on(self, most: int) -> bool:
        """Writes up to `most` bytes, one record at the least; whether that was all. Raises OSError."""
        while most > 0:
            record = next(self.rest, None)
            if record is None:
                for late in self.since:
                    self.anew.append(late)
                self.anew.commit()
                return True
            size = self.anew.append(record)
            most -= size
            self.unsynced += size
        if self.unsynced > SYNC_STEP_BYTES:
            self.anew.sync()
            self.unsynced = 0
        return False


@dataclass(frozen=True)
class JournalContent:
    """What the writer asks its owner. `records`: all that stays, captured as the call is made;
    `renewal` makes a rewrite in steps; `failed` is called with an error after which nothing that waited is
    durable, `noted` with one that harms nothing; `rewritten`: the journal has just `records` again;
    `reported`: all who waited for an operation were notified.
    """

    records: Callable[[], Iterator[bytes]]
    renewal: Callable[[JournalRewrite, Iterator[bytes]], Renewal]
    failed: Callable[[OSError], None]
    noted: Callable[[OSError], None]
    rewritten: Callable[[], None]
    reported: Callable[[], None]


@dataclass(frozen=True, slots=True)
class _Waiting:
    """A record that is to be written. `in_content`: it is part of `JournalContent.records` already."""

    data: bytes
    in_content: bool


@dataclass(slots=True)
class _Batch:
    """One operation under way, and who is notified of its end. `writes`: records, or their sync; `since`:
    when the first of what it writes was given, in ns.
    """

    execute: Operation
    ended: OnDone
    requests: list[OnDone] = field(default_factory=list)
    writes: bool = False
    since: int = 0
    began: int = 0


@dataclass(frozen=True, slots=True)
class WaitingFigures:
    """What waits for the disk now, the operation under way included. `oldest_ns`: the longest wait."""

    records: int
    size: int
    oldest_ns: int


class JournalWriter:
    """`clock`: ns. `intact`: the journal has, or will have by what waits, all records of the content, and
    nothing else. `rewrite`: the one under way. `closed`: why nothing more is written.
    """

    def __init__(self, journal: Journal, content: JournalContent, clock: Callable[[], int]) -> None:
        """Operations run inline until `worker` is set: a start may block."""
        self.journal = journal
        self.content = content
        self.clock = clock
        self.worker: DiskWorker = InlineWorker()
        self.version = journal.version
        self.intact = True
        self.rewrite: Renewal | None = None
        self.closed = ""
        self._waiting: deque[_Waiting] = deque()
        self._waiting_bytes = 0
        self._waiting_since = 0
        self._requests: list[OnDone] = []
        self._unsynced = False  # records were written since the last sync
        self._repair_wanted = False
        self._rewrite_wanted = False
        self._step_bytes = 0  # of the step of the rewrite that is wanted
        self._batch: _Batch | None = None
        self._abandoned = False  # who waited for the operation under way was notified that it failed
        self._unreported: deque[tuple[OnDone, OSError | None]] = deque()

    # --- what is asked ---

    @property
    def is_durable(self) -> bool:
        """Whether nothing waits for the disk: all that was written is synced, or the journal failed."""
        if self._abandoned:
            return True
        is_waiting = bool(self._waiting) or self._repair_wanted
        is_writing = self._batch is not None and self._batch.writes
        return not (is_waiting or is_writing or (self._unsynced and self.intact))

    @property
    def is_rewriting(self) -> bool:
        """Whether `step` has something to do."""
        return self.rewrite is not None or self._rewrite_wanted

    @property
    def is_stalled(self) -> bool:
        """Whether the operation under way takes so long that the disk counts as dead."""
        return self._batch is not None and self.clock() - self._batch.began >= STALLED_AFTER_S * SECOND

    def waiting(self) -> WaitingFigures:
        """What waits for the disk now."""
        oldest_ns = 0
        if self._batch is not None:
            oldest_ns = self.clock() - self._batch.since
        elif self._waiting or self._requests:
            oldest_ns = self.clock() - self._waiting_since
        return WaitingFigures(len(self._waiting), self._waiting_bytes, oldest_ns)

    def check_accepts(self) -> None:
        """Raises OSError if a record that must become durable can't be taken now."""
        if self.closed:
            raise OSError(self.closed)
        if self._abandoned or self.is_stalled:
            raise _stalled_error()
        if len(self._waiting) >= MAX_WAITING_RECORDS or self._waiting_bytes >= MAX_WAITING_BYTES:
            raise OSError(f"{len(self._waiting)} records wait for the disk, no more are taken")

    def write(self, records: Sequence[bytes], in_content: bool, on_durable: OnDone | None = None) -> None:
        """Appends records, in order, and calls `on_durable` once they are durable, or could not be made so.
        `in_content`: they are part of `JournalContent.records` already.
        """
        requests = [on_durable] if on_durable is not None else []
        if self.closed:
            self.content.failed(OSError(self.closed))
            self._report(requests, OSError(self.closed))
            return
        if self._abandoned:
            self._report(requests, _stalled_error())
            return
        self._note_wait()
        self._requests += requests
        if in_content and self._waiting_bytes >= MAX_WAITING_BYTES:
            # Guards against memory that grows while a disk is slow: the rewrite will have them.
            self.intact, self._repair_wanted = False, True
        else:
            self._waiting.extend(_Waiting(data, in_content) for data in records)
            self._waiting_bytes += sum(map(len, records))
        self._go_on()

    def sync(self, on_synced: OnDone) -> None:
        """Calls `on_synced` once all that was written so far is durable, or could not be made so."""
        if self.is_durable:
            on_synced(None)
            return
        self._note_wait()
        self._requests.append(on_synced)
        self._go_on()

    def _note_wait(self) -> None:
        if not (self._waiting or self._requests):
            self._waiting_since = self.clock()

    def repair(self) -> None:
        """Rewrites the journal as a whole, in `version`."""
        self.intact, self._repair_wanted = False, True
        self._go_on()

    def begin_rewrite(self) -> None:
        """Begins a rewrite in steps, if none is under way; the journal goes on meanwhile."""
        if not self.closed and not self.is_rewriting:
            self._rewrite_wanted = True
            self._go_on()

    def step(self, most: int) -> None:
        """Goes on with the rewrite, `most` bytes of it, as soon as the disk is free."""
        if self.rewrite is not None and not self._step_bytes:
            self._step_bytes = most
            self._go_on()

    def check_stalled(self) -> None:
        """Notifies who waits for a disk that has stopped answering. To be called now and then."""
        if self.is_stalled:
            self.abandon()

    def close(self, reason: str, on_closed: Callable[[], None]) -> None:
        """Writes no more: what waits is refused with `reason`. Calls `on_closed` once the operation under way
        has ended and the journal is closed.
        """
        if self.closed:
            return
        self.closed = reason
        requests, self._requests = self._requests, []
        self._drop_waiting()
        self._report(requests, OSError(reason))
        rewrite, self.rewrite = self.rewrite, None

        def release() -> None:
            if rewrite is not None:
                rewrite.anew.abort()
            self.journal.close()

        self.worker.run(release, lambda error: on_closed())

    def abandon(self) -> None:
        """Does not wait for the operation under way: who waits for it is notified that it failed."""
        if self._batch is not None and not self._abandoned:
            self._abandoned = True
            requests, self._batch.requests = self._batch.requests, []
            self._fail(OSError(self.closed) if self.closed else _stalled_error(), requests)

    # --- operations ---

    def _go_on(self) -> None:
        """Begins the next operation if none is under way."""
        while self._batch is None and not self.closed:
            batch = self._next()
            if batch is None:
                return
            batch.began = self.clock()
            if not batch.writes:
                batch.since = batch.began
            self._batch = batch
            self.worker.run(batch.execute, self._ended)

    def _ended(self, error: OSError | None) -> None:
        batch, self._batch = self._batch, None
        assert batch is not None
        if self._abandoned:
            # Guards against a record that is durable after all though its writer was notified that it failed.
            self._abandoned = False
            self.intact, self._repair_wanted = False, True
        batch.ended(error)
        self._go_on()

    def _next(self) -> _Batch | None:
        if not self.intact:
            is_due = self._repair_wanted or self._waiting or self._requests
            return self._repair_operation() if is_due else None
        if self._step_bytes and self.rewrite is not None:
            return self._step_operation(self.rewrite)
        if self._waiting or self._requests:
            return self._append_operation()
        if self._rewrite_wanted and self.rewrite is None:
            return self._begin_rewrite_operation()
        return None

    def _append_operation(self) -> _Batch:
        records = [each.data for each in self._waiting]
        requests, self._requests = self._requests, []
        self._drop_waiting()
        journal, rewrite, is_synced = self.journal, self.rewrite, bool(requests)

        def execute() -> None:
            if records:
                journal.append_all(records)
            if rewrite is not None:
                rewrite.since += records
            if is_synced:
                journal.sync()

        def ended(error: OSError | None) -> None:
            if error is None:
                self._unsynced = not is_synced
                self._report(batch.requests, None)
            else:
                self._fail(error, batch.requests)

        batch = _Batch(execute, ended, requests, writes=True, since=self._waiting_since)
        return batch

    def _repair_operation(self) -> _Batch:
        content = self.content.records()
        records = [each.data for each in self._waiting if not each.in_content]
        requests, self._requests = self._requests, []
        self._drop_waiting()
        self._repair_wanted = self._rewrite_wanted = False
        self._step_bytes = 0
        journal, version = self.journal, self.version
        abandoned, self.rewrite = self.rewrite, None
        self.intact = True  # what comes from now on is written behind it

        def execute() -> None:
            if abandoned is not None:
                abandoned.anew.abort()
            journal.version = version
            journal.rewrite(content)
            if records:
                journal.append_all(records)
                journal.sync()

        def ended(error: OSError | None) -> None:
            if error is None:
                self._unsynced = False
                self.content.rewritten()
                self._report(batch.requests, None)
            else:
                self._fail(error, batch.requests)

        batch = _Batch(execute, ended, requests, writes=True, since=self._waiting_since)
        return batch

    def _begin_rewrite_operation(self) -> _Batch:
        content = self.content.records()
        journal, version = self.journal, self.version
        made: list[JournalRewrite] = []

        def execute() -> None:
            journal.version = version
            made.append(journal.begin_rewrite())

        def ended(error: OSError | None) -> None:
            self._rewrite_wanted = False
            if error is not None:
                self.content.noted(error)
            else:
                self.rewrite = self.content.renewal(made[0], content)

        return _Batch(execute, ended)

    def _step_operation(self, rewrite: Renewal) -> _Batch:
        most, self._step_bytes = self._step_bytes, 0
        is_complete: list[bool] = []

        def execute() -> None:
            try:
                is_complete.append(rewrite.go_on(most))
            except OSError:
                rewrite.anew.abort()
                raise

        def ended(error: OSError | None) -> None:
            if error is not None:
                self._rewrite_ended()  # the old journal goes on
                self.content.noted(error)
            elif is_complete[0]:
                self._rewrite_ended()
                self._unsynced = False

        return _Batch(execute, ended)

    # --- ends ---

    def _rewrite_ended(self) -> None:
        self.rewrite, self._step_bytes = None, 0

    def _drop_waiting(self) -> None:
        self._waiting.clear()
        self._waiting_bytes = 0

    def _fail(self, error: OSError, requests: list[OnDone]) -> None:
        """Nothing that waited is durable, and no record may follow before a rewrite."""
        later, self._requests = self._requests, []
        self._drop_waiting()
        self.intact, self._unsynced = False, False
        self.content.failed(error)
        self._report([*requests, *later], error)

    def _report(self, requests: Iterable[OnDone], error: OSError | None) -> None:
        """Calls in the order of the requests, also where a call brings about further ends."""
        self._unreported.extend((request, error) for request in requests)
        while self._unreported:
            request, error = self._unreported.popleft()
            request(error)
        self.content.reported()


def _stalled_error() -> OSError:
    return OSError(f"the disk has not answered for {STALLED_AFTER_S} s")
