"""Writes the journal of a fleet member: appends records in order, syncs them in groups, rewrites in steps.

Operations run one at a time on a `storage.disk_worker.DiskWorker`. Records written meanwhile are appended by
the next operation, with one sync for all. After a failed operation the journal is rewritten before any
further append. Free of I/O, clock and chance: all three are passed in.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass, field

from ochrecourse.common.time_units import SECOND
from ochrecourse.storage.disk_worker import DiskWorker, InlineWorker, OnDone, Operation
from ochrecourse.storage.journal_interface import Journal, JournalRewrite

MAX_WAITING_RECORDS = 4096
MAX_WAITING_BYTES = 8 << 20  # about 100 entries of maximum size
STALLED_AFTER_S = 10  # of one operation: a busy disk takes 1 s, a failed one never responds
SYNC_STEP_BYTES = 1 << 20  # of a rewrite between syncs, so that its commit has little left to sync


class Renewal:
    """A rewrite of the journal in steps. `records_left`: records of the state at its begin that are not
    written yet. `appended_since`: records appended to the old journal after its begin.
    """

    def __init__(self, rewrite_file: JournalRewrite, records_left: Iterator[bytes]) -> None:
        """Copies `records_left` into `rewrite_file`, the new file of the journal."""
        self.rewrite_file = rewrite_file
        self.records_left = records_left
        self.appended_since: list[bytes] = []
        self.unsynced = 0

    def step(self, max_bytes: int) -> bool:
        """Writes up to `max_bytes`, at least one record; whether the rewrite is complete. Raises OSError."""
        while max_bytes > 0:
            record = next(self.records_left, None)
            if record is None:
                for appended in self.appended_since:
                    self.rewrite_file.append(appended)
                self.rewrite_file.commit()
                return True
            size = self.rewrite_file.append(record)
            max_bytes -= size
            self.unsynced += size
        if self.unsynced > SYNC_STEP_BYTES:
            self.rewrite_file.sync()
            self.unsynced = 0
        return False


@dataclass(frozen=True)
class JournalContent:
    """The owner's callbacks.

    `records` returns all records of the current state, captured at the call. `renewal` creates a rewrite in
    steps. `failed` is called with an error after which no waiting record is durable, `noted` with an error
    that loses nothing. `rewritten` is called when the journal has exactly `records` again, `reported` after
    all requests of an operation were notified.
    """

    records: Callable[[], Iterator[bytes]]
    renewal: Callable[[JournalRewrite, Iterator[bytes]], Renewal]
    failed: Callable[[OSError], None]
    noted: Callable[[OSError], None]
    rewritten: Callable[[], None]
    reported: Callable[[], None]


@dataclass(frozen=True, slots=True)
class _WaitingRecord:
    """A record to be written. `in_content`: `JournalContent.records` includes it already."""

    data: bytes
    in_content: bool


@dataclass(slots=True)
class _Batch:
    """An operation and the requests to notify of its end. `writes`: whether it writes or syncs records.
    `since`: when the first of its records was passed in, in ns. `started_at`: ns.
    """

    execute: Operation
    finished: OnDone
    requests: list[OnDone] = field(default_factory=list)
    writes: bool = False
    since: int = 0
    started_at: int = 0


@dataclass(frozen=True, slots=True)
class WaitingFigures:
    """Records that wait for the disk, and their bytes. `oldest_ns`: the longest wait, operation included."""

    records: int
    size: int
    oldest_ns: int


class JournalWriter:
    """Writes one journal. `clock`: ns. `intact`: with the waiting records, the journal has exactly the
    records of the content. `rewrite`: the one under way. `closed`: the reason why the writer is closed.
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
        self._waiting: deque[_WaitingRecord] = deque()
        self._waiting_bytes = 0
        self._waiting_since = 0
        self._requests: list[OnDone] = []
        self._unsynced = False  # records were written since the last sync
        self._is_repair_requested = False
        self._is_rewrite_requested = False
        self._step_bytes = 0  # of the requested step of the rewrite
        self._batch: _Batch | None = None
        self._abandoned = False  # the requests of the operation under way were notified of a failure
        self._unreported: deque[tuple[OnDone, OSError | None]] = deque()

    # --- queries and requests ---

    @property
    def is_durable(self) -> bool:
        """Whether no write or sync is outstanding: all records are synced, or the journal has failed."""
        if self._abandoned:
            return True
        is_waiting = bool(self._waiting) or self._is_repair_requested
        is_writing = self._batch is not None and self._batch.writes
        return not (is_waiting or is_writing or (self._unsynced and self.intact))

    @property
    def is_rewriting(self) -> bool:
        """Whether there is work for `step`."""
        return self.rewrite is not None or self._is_rewrite_requested

    @property
    def is_stalled(self) -> bool:
        """Whether the operation under way takes so long that the disk is considered failed."""
        return self._batch is not None and self.clock() - self._batch.started_at >= STALLED_AFTER_S * SECOND

    def waiting(self) -> WaitingFigures:
        """The records that wait for the disk now."""
        oldest_ns = 0
        if self._batch is not None:
            oldest_ns = self.clock() - self._batch.since
        elif self._waiting or self._requests:
            oldest_ns = self.clock() - self._waiting_since
        return WaitingFigures(len(self._waiting), self._waiting_bytes, oldest_ns)

    def check_accepts(self) -> None:
        """Raises OSError if no record that must become durable is accepted now."""
        if self.closed:
            raise OSError(self.closed)
        if self._abandoned or self.is_stalled:
            raise _stalled_error()
        if len(self._waiting) >= MAX_WAITING_RECORDS or self._waiting_bytes >= MAX_WAITING_BYTES:
            raise OSError(f"{len(self._waiting)} records wait for the disk, no more are taken")

    def write(self, records: Sequence[bytes], in_content: bool, on_durable: OnDone | None = None) -> None:
        """Appends records, in order, and calls `on_durable` once they are durable, or could not be made so.
        `in_content`: `JournalContent.records` includes them already.
        """
        requests = [on_durable] if on_durable is not None else []
        if self.closed:
            self.content.failed(OSError(self.closed))
            self._report(requests, OSError(self.closed))
            return
        if self._abandoned:
            self._report(requests, _stalled_error())
            return
        self._start_wait()
        self._requests += requests
        if in_content and self._waiting_bytes >= MAX_WAITING_BYTES:
            # Bounds memory while the disk is slow: a rewrite will include these records.
            self.intact, self._is_repair_requested = False, True
        else:
            self._waiting.extend(_WaitingRecord(data, in_content) for data in records)
            self._waiting_bytes += sum(map(len, records))
        self._start_next()

    def sync(self, on_synced: OnDone) -> None:
        """Calls `on_synced` once all records so far are durable, or could not be made so."""
        if self.is_durable:
            on_synced(None)
            return
        self._start_wait()
        self._requests.append(on_synced)
        self._start_next()

    def _start_wait(self) -> None:
        if not (self._waiting or self._requests):
            self._waiting_since = self.clock()

    def repair(self) -> None:
        """Rewrites the journal as a whole, in `version`."""
        self.intact, self._is_repair_requested = False, True
        self._start_next()

    def begin_rewrite(self) -> None:
        """Begins a rewrite in steps, if none is under way. Appends to the old journal continue."""
        if not self.closed and not self.is_rewriting:
            self._is_rewrite_requested = True
            self._start_next()

    def step(self, max_bytes: int) -> None:
        """Requests the next `max_bytes` of the rewrite, written as soon as the disk is free."""
        if self.rewrite is not None and not self._step_bytes:
            self._step_bytes = max_bytes
            self._start_next()

    def check_stalled(self) -> None:
        """Fails requests if the disk has stopped responding. To be called periodically."""
        if self.is_stalled:
            self.abandon()

    def close(self, reason: str, on_closed: Callable[[], None]) -> None:
        """Stops writing and fails waiting requests with `reason`. Calls `on_closed` once the operation under
        way has ended and the journal is closed.
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
                rewrite.rewrite_file.abort()
            self.journal.close()

        self.worker.run(release, lambda error: on_closed())

    def abandon(self) -> None:
        """Fails the requests of the operation under way without waiting for its end."""
        if self._batch is not None and not self._abandoned:
            self._abandoned = True
            requests, self._batch.requests = self._batch.requests, []
            self._fail(OSError(self.closed) if self.closed else _stalled_error(), requests)

    # --- operations ---

    def _start_next(self) -> None:
        """Starts the next operation if none is under way."""
        while self._batch is None and not self.closed:
            batch = self._next()
            if batch is None:
                return
            batch.started_at = self.clock()
            if not batch.writes:
                batch.since = batch.started_at
            self._batch = batch
            self.worker.run(batch.execute, self._operation_finished)

    def _operation_finished(self, error: OSError | None) -> None:
        batch, self._batch = self._batch, None
        assert batch is not None
        if self._abandoned:
            # A record whose request was failed may be durable after all: the rewrite removes it.
            self._abandoned = False
            self.intact, self._is_repair_requested = False, True
        batch.finished(error)
        self._start_next()

    def _next(self) -> _Batch | None:
        if not self.intact:
            is_due = self._is_repair_requested or self._waiting or self._requests
            return self._repair_operation() if is_due else None
        if self._step_bytes and self.rewrite is not None:
            return self._step_operation(self.rewrite)
        if self._waiting or self._requests:
            return self._append_operation()
        if self._is_rewrite_requested and self.rewrite is None:
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
                rewrite.appended_since += records
            if is_synced:
                journal.sync()

        def finished(error: OSError | None) -> None:
            if error is None:
                self._unsynced = not is_synced
                self._report(batch.requests, None)
            else:
                self._fail(error, batch.requests)

        batch = _Batch(execute, finished, requests, writes=True, since=self._waiting_since)
        return batch

    def _repair_operation(self) -> _Batch:
        content = self.content.records()
        records = [each.data for each in self._waiting if not each.in_content]
        requests, self._requests = self._requests, []
        self._drop_waiting()
        self._is_repair_requested = self._is_rewrite_requested = False
        self._step_bytes = 0
        journal, version = self.journal, self.version
        abandoned, self.rewrite = self.rewrite, None
        self.intact = True  # later records are appended after the rewrite

        def execute() -> None:
            if abandoned is not None:
                abandoned.rewrite_file.abort()
            journal.version = version
            journal.rewrite(content)
            if records:
                journal.append_all(records)
                journal.sync()

        def finished(error: OSError | None) -> None:
            if error is None:
                self._unsynced = False
                self.content.rewritten()
                self._report(batch.requests, None)
            else:
                self._fail(error, batch.requests)

        batch = _Batch(execute, finished, requests, writes=True, since=self._waiting_since)
        return batch

    def _begin_rewrite_operation(self) -> _Batch:
        content = self.content.records()
        journal, version = self.journal, self.version
        begun: list[JournalRewrite] = []

        def execute() -> None:
            journal.version = version
            begun.append(journal.begin_rewrite())

        def finished(error: OSError | None) -> None:
            self._is_rewrite_requested = False
            if error is not None:
                self.content.noted(error)
            else:
                self.rewrite = self.content.renewal(begun[0], content)

        return _Batch(execute, finished)

    def _step_operation(self, rewrite: Renewal) -> _Batch:
        max_bytes, self._step_bytes = self._step_bytes, 0
        is_complete: list[bool] = []

        def execute() -> None:
            try:
                is_complete.append(rewrite.step(max_bytes))
            except OSError:
                rewrite.rewrite_file.abort()
                raise

        def finished(error: OSError | None) -> None:
            if error is not None:
                self._rewrite_ended()  # the old journal stays in use
                self.content.noted(error)
            elif is_complete[0]:
                self._rewrite_ended()
                self._unsynced = False

        return _Batch(execute, finished)

    # --- results ---

    def _rewrite_ended(self) -> None:
        self.rewrite, self._step_bytes = None, 0

    def _drop_waiting(self) -> None:
        self._waiting.clear()
        self._waiting_bytes = 0

    def _fail(self, error: OSError, requests: list[OnDone]) -> None:
        """Fails all waiting requests; no record may be appended before a rewrite."""
        later, self._requests = self._requests, []
        self._drop_waiting()
        self.intact, self._unsynced = False, False
        self.content.failed(error)
        self._report([*requests, *later], error)

    def _report(self, requests: Iterable[OnDone], error: OSError | None) -> None:
        """Calls the requests in order, even if a call makes further operations finish."""
        self._unreported.extend((request, error) for request in requests)
        while self._unreported:
            request, error = self._unreported.popleft()
            request(error)
        self.content.reported()


def _stalled_error() -> OSError:
    return OSError(f"the disk has not answered for {STALLED_AFTER_S} s")
