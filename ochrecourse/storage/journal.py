"""An append-only file of records, for state that must survive its process.

Format: a line `ochrecourse NAME VERSION` in ASCII, then the records as in `record_frames`. Once `append` has
returned, a record survives a crash of the process; `sync` and `rewrite` make it survive a power failure too.
Reading stops at the first truncated or damaged record; the damaged file is preserved under another name
and is never overwritten.
"""

from __future__ import annotations

import contextlib
import os
import threading
import time
from bisect import bisect_left
from collections.abc import Callable, Iterable, Iterator, Sequence
from math import inf
from pathlib import Path

from ochrecourse.common.errors import OchrecourseError
from ochrecourse.storage import atomic_file
from ochrecourse.storage.journal_interface import Journal as Journal
from ochrecourse.storage.journal_interface import JournalRewrite as JournalRewrite
from ochrecourse.storage.record_frames import FrameReader, encode_frame

CLOSED = -1  # in place of a file descriptor
MAX_HEADER_BYTES = 200
SLOW_SYNC_S = 0.1
SYNC_BUCKETS_S = (0.001, 0.01, 0.1, 1.0, 10.0, inf)  # of the histogram of syncs


class JournalError(OchrecourseError):
    """The file is not a journal of this kind and version; the text states what was found."""


class MemoryJournal:
    """A journal in memory: for runs that store nothing, and for tests and simulations that restart a gateway
    within one process.
    """

    def __init__(self) -> None:
        self.stored: list[bytes] = []
        self.version = 1

    def records(self) -> Iterator[bytes]:
        """Iterates over all records, in order."""
        return iter(list(self.stored))

    def append(self, record: bytes) -> None:
        """Appends a record."""
        self.stored.append(record)

    def append_all(self, records: Sequence[bytes]) -> None:
        """Appends several records, in order."""
        for record in records:
            self.append(record)

    def sync(self) -> None:
        """Does nothing: memory needs no sync."""

    def rewrite(self, records: Iterable[bytes]) -> None:
        """Replaces all records by these."""
        self.stored = list(records)

    def begin_rewrite(self) -> JournalRewrite:
        """Starts a rewrite; its content replaces the journal's when it is committed."""
        return _MemoryJournalRewrite(self)

    def close(self) -> None:
        """Does nothing: the records remain readable."""

    def retire(self) -> None:
        """Does nothing: no other process can use a journal in memory."""


class _MemoryJournalRewrite:
    """A rewrite of a journal in memory."""

    def __init__(self, journal: MemoryJournal) -> None:
        self.journal = journal
        self.records: list[bytes] = []

    def append(self, record: bytes) -> int:
        self.records.append(record)
        return len(record)

    def sync(self) -> None:
        """Does nothing: memory needs no sync."""

    def commit(self) -> None:
        self.journal.rewrite(self.records)

    def abort(self) -> None:
        self.records = []


class FileJournal:
    """A journal in one file.

    Format versions from `version` to `newest_version` can be read. A new file is written in `version`;
    reading an existing file sets `version` to that file's, which rewrites keep until the caller sets another.
    `damage_reports` has a line for each damaged record found. `size`: of the file, in bytes. `broken`: a
    write or sync failed in a way that only a rewrite can repair. `on_slow_sync` is called on the syncing
    thread with the duration, in s, of each sync that took longer than SLOW_SYNC_S; `worst_sync_s`: the
    longest sync so far; `sync_counts`: the cumulative histogram of sync durations over SYNC_BUCKETS_S.
    """

    def __init__(self, path: Path, name: str, version: int, newest_version: int = 0) -> None:
        self.path = path
        self.name = name
        self.version = version
        self.newest_version = max(version, newest_version)
        self.damage_reports: list[str] = []
        self.size = 0
        self.broken = False
        self.on_slow_sync: Callable[[float], None] = lambda seconds: None
        self.worst_sync_s = 0.0
        self.sync_counts = [0] * len(SYNC_BUCKETS_S)
        self.sync_seconds = 0.0
        self._descriptor = CLOSED
        self._replacing = threading.Lock()
        self._is_retired = False

    # --- reading ---

    def records(self) -> Iterator[bytes]:
        """Iterates over the records up to the first damaged one. Raises JournalError, OSError."""
        try:
            with open(self.path, "rb") as file:
                header = file.readline(MAX_HEADER_BYTES)
                self._check_header(header)
                reader = FrameReader(file.read)
                yield from reader.records()
                if not reader.intact:
                    self._preserve_damaged_file(len(header), reader, os.fstat(file.fileno()).st_size)
        except FileNotFoundError:
            return

    def check_readable(self) -> None:
        """Checks that this program can read the file, if it exists. Raises JournalError, OSError."""
        with contextlib.suppress(FileNotFoundError), open(self.path, "rb") as file:
            self._check_header(file.readline(MAX_HEADER_BYTES))

    def header(self, version: int) -> bytes:
        """Returns the first line of a file of the given format version."""
        return f"ochrecourse {self.name} {version}\n".encode()

    def _check_header(self, header: bytes) -> None:
        """Raises JournalError for a file of another kind or of a newer program: such a file is neither read
        nor changed.
        """
        for version in range(self.version, self.newest_version + 1):
            if header == self.header(version):
                self.version = version
                return
        found = header.decode("ascii", "replace").strip()
        expected = self.header(self.newest_version).decode().strip()
        found_kind, _, found_version = found.rpartition(" ")
        text = f"{self.path}: begins with {found!r}, not {expected!r}"
        is_same_kind = found_kind == f"ochrecourse {self.name}"
        if is_same_kind and found_version.isdigit() and int(found_version) > self.newest_version:
            text += ": a newer program keeps it; start that one"
        raise JournalError(text)

    def _preserve_damaged_file(self, header_size: int, reader: FrameReader, file_size: int) -> None:
        """Keeps a second link to a damaged file: the next rewrite replaces the original, and the damaged one
        may still be partly recoverable.
        """
        preserved = self.path.with_name(f"{self.path.name}.damaged")
        with contextlib.suppress(FileExistsError):
            os.link(self.path, preserved)  # a hard link keeps the file when `path` is replaced
        damaged_at = header_size + reader.bytes_read
        self.damage_reports.append(
            f"{self.path}: record {reader.records_read + 1} at byte {damaged_at} is cut short or damaged; "
            f"the last {file_size - damaged_at} bytes are left out, the file is kept as {preserved.name}"
        )

    # --- writing ---

    def append(self, record: bytes) -> None:
        """Appends a record. Raises OSError; the record is then not stored, not even in part."""
        self.append_all([record])

    def append_all(self, records: Sequence[bytes]) -> None:
        """Appends records with one system call. Raises OSError; none of them is then stored."""
        if self.broken:
            raise OSError("the journal could not be mended after a write that failed")
        frames = b"".join(map(encode_frame, records))
        try:
            written = os.write(self._descriptor, frames)
            if written != len(frames):
                raise OSError(f"{written} of {len(frames)} bytes were written")
        except OSError:
            self._remove_partial_frames()
            raise
        self.size += len(frames)

    def sync(self) -> None:
        """Makes all appended records survive a power failure. Raises OSError."""
        try:
            self.sync_file(self._descriptor)
        except OSError:
            # The kernel may have dropped the dirty pages, and reports the error only once.
            self.broken = True
            raise

    def sync_file(self, descriptor: int) -> None:
        """Syncs a file of this journal and records the duration. Raises OSError."""
        began = time.monotonic()
        try:
            os.fdatasync(descriptor)
        finally:
            took_s = time.monotonic() - began
            self.worst_sync_s = max(self.worst_sync_s, took_s)
            self.sync_seconds += took_s
            for position in range(bisect_left(SYNC_BUCKETS_S, took_s), len(SYNC_BUCKETS_S)):
                self.sync_counts[position] += 1
            if took_s > SLOW_SYNC_S:
                self.on_slow_sync(took_s)

    def rewrite(self, records: Iterable[bytes]) -> None:
        """Replaces all records by these, atomically. Raises OSError."""
        rewrite = self.begin_rewrite()
        for record in records:
            rewrite.append(record)
        rewrite.commit()

    def begin_rewrite(self) -> _FileJournalRewrite:
        """Starts a rewrite in a temporary file. Raises OSError."""
        return _FileJournalRewrite(self)

    def replace_file(self, temporary: Path) -> None:
        """Replaces the journal's file by a complete, synced one. Raises OSError."""
        with self._replacing:
            if self._is_retired:
                raise OSError("the journal is another process's")
            os.replace(temporary, self.path)
        atomic_file.sync_directory(self.path.parent)
        self.close()
        self._descriptor = os.open(self.path, os.O_WRONLY | os.O_APPEND)
        self.size = os.fstat(self._descriptor).st_size
        self.broken = False

    def close(self) -> None:
        """Closes the file; nothing more can be appended."""
        if self._descriptor != CLOSED:
            os.close(self._descriptor)
            self._descriptor = CLOSED

    def retire(self) -> None:
        """Marks the file as taken over by another process: a rewrite in progress must not replace it."""
        with self._replacing:
            self._is_retired = True

    def _remove_partial_frames(self) -> None:
        try:
            os.ftruncate(self._descriptor, self.size)
        except OSError:
            self.broken = True  # records appended behind a partial frame would be unreadable


class _FileJournalRewrite:
    """A rewrite in a temporary file next to the journal's; a leftover file of an earlier
    rewrite is removed.
    """

    def __init__(self, journal: FileJournal) -> None:
        self.journal = journal
        self.temporary = atomic_file.temporary_path(journal.path)
        # Unlinked, not truncated: an earlier process may still be writing to the file of that name.
        self.temporary.unlink(missing_ok=True)
        self.file = open(self.temporary, "xb")  # noqa: SIM115 - stays open across calls
        self._write(journal.header(journal.version))

    def append(self, record: bytes) -> int:
        return self._write(encode_frame(record))

    def sync(self) -> None:
        try:
            self.file.flush()
            self.journal.sync_file(self.file.fileno())
        except OSError:
            self.abort()
            raise

    def commit(self) -> None:
        self.sync()
        self.file.close()
        self.journal.replace_file(self.temporary)

    def abort(self) -> None:
        with contextlib.suppress(OSError):  # flushing the buffer may fail for lack of space
            self.file.close()
        with contextlib.suppress(OSError):
            os.unlink(self.temporary)

    def _write(self, data: bytes) -> int:
        try:
            return self.file.write(data)
        except OSError:
            self.abort()
            raise
