"""An append-only file of records, for state that must outlive its process.

Format: a line `ochrecourse NAME VERSION` in ASCII, then the records as `frames` has them. Once `append` has
returned, a record outlives the process; `sync` and `restart` make it outlive a power cut too. A record that
is cut short or damaged ends what is read; the file as it was is then put aside, never overwritten.
"""

from __future__ import annotations

import contextlib
import os
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Protocol

from ochrecourse.storage.record_frames import FrameReader, framed


class Anew(Protocol):
    """What is to take a journal's place, written while the journal goes on; dropped, it never was."""

    def add(self, record: bytes) -> int:
        """Returns how many bytes that took. Raises OSError."""

    def sync(self) -> None:
        """So that the end has little left to do. Raises OSError."""

    def finish(self) -> None:
        """Puts it in place of all that was kept, all at once. Raises OSError."""

    def drop(self) -> None: ...


class Journal(Protocol):
    """Where records are kept. `version`: what it is, and what the next `restart` makes it."""

    version: int

    def records(self) -> Iterator[bytes]: ...

    def append(self, record: bytes) -> None:
        """Raises OSError, and then keeps nothing of the record."""

    def sync(self) -> None:
        """What was appended survives a power cut. Raises OSError: then it may or may not, and nothing more
        can be appended before `restart`."""

    def restart(self, records: Iterable[bytes]) -> None:
        """Puts these in place of all that was kept, all at once. Raises OSError."""

    def anew(self) -> Anew:
        """The same by and by. Raises OSError."""

    def close(self) -> None:
        """Nothing more is written."""


class MemoryJournal:
    """For runs that keep nothing, and for lives that follow each other in one process."""

    def __init__(self) -> None:
        self.kept: list[bytes] = []
        self.version = 1

    def records(self) -> Iterator[bytes]:
        return iter(list(self.kept))

    def append(self, record: bytes) -> None:
        self.kept.append(record)

    def sync(self) -> None:
        pass

    def restart(self, records: Iterable[bytes]) -> None:
        self.kept = list(records)

    def anew(self) -> Anew:
        return _AnewInMemory(self)

    def close(self) -> None:
        pass


class _AnewInMemory:
    def __init__(self, journal: MemoryJournal) -> None:
        self.journal = journal
        self.records: list[bytes] = []

    def add(self, record: bytes) -> int:
        self.records.append(record)
        return len(record)

    def sync(self) -> None:
        pass

    def finish(self) -> None:
        self.journal.restart(self.records)

    def drop(self) -> None:
        self.records = []


class JournalError(Exception):
    """The file is not a journal of this kind; the text says what it is."""


class FileJournal:
    """Records in one file. `version` to `newest` are read; a new file is in `version`, one that is there
    stays in its own until that is set. `notes` say what was found damaged, a line each.
    """

    def __init__(self, path: Path, name: str, version: int, newest: int = 0) -> None:
        self.path = path
        self.name = name
        self.version = version
        self.newest = max(version, newest)
        self.notes: list[str] = []
        self.file = -1
        self.size = 0
        self.broken = False

    def records(self) -> Iterator[bytes]:
        """All whole records. Raises JournalError, OSError."""
        try:
            with open(self.path, "rb") as file:
                head = file.readline(200)
                self._read_head(head)
                row = FrameReader(file.read)
                yield from row.records()
                if not row.sound:
                    self._damaged(len(head) + row.at, row.count, os.fstat(file.fileno()).st_size)
        except FileNotFoundError:
            return

    def look(self) -> None:
        """Whether the file that is there, if one is, can be read here. Raises JournalError, OSError."""
        with contextlib.suppress(FileNotFoundError), open(self.path, "rb") as file:
            self._read_head(file.readline(200))

    def head_of(self, version: int) -> bytes:
        return f"ochrecourse {self.name} {version}\n".encode()

    def _read_head(self, head: bytes) -> None:
        """Raises JournalError: nothing of another's or of a newer program's file is read or changed."""
        for version in range(self.version, self.newest + 1):
            if head == self.head_of(version):
                self.version = version
                return
        said = head.decode("ascii", "replace").strip()
        wanted = self.head_of(self.newest).decode().strip()
        what, _, version_said = said.rpartition(" ")
        text = f"{self.path}: begins with {said!r}, not {wanted!r}"
        if what == f"ochrecourse {self.name}" and version_said.isdigit() and int(version_said) > self.newest:
            text += ": a newer program keeps it; start that one"
        raise JournalError(text)

    def _damaged(self, at: int, count: int, whole: int) -> None:
        aside = self.path.with_name(f"{self.path.name}.damaged")
        with contextlib.suppress(FileExistsError):
            os.link(self.path, aside)  # a second name: the file stays whatever `restart` does with the first
        self.notes.append(
            f"{self.path}: record {count + 1} at byte {at} is cut short or damaged; the last "
            f"{whole - at} bytes are left out, the file is kept as {aside.name}"
        )

    def append(self, record: bytes) -> None:
        if self.broken:
            raise OSError("the journal could not be mended after a write that failed")
        data = framed(record)
        try:
            written = os.write(self.file, data)
            if written != len(data):
                raise OSError(f"{written} of {len(data)} bytes were written")
        except OSError:
            try:
                os.ftruncate(self.file, self.size)
            except OSError:
                self.broken = True  # half a record may stand at the end: nothing may come behind it
            raise
        self.size += len(data)

    def sync(self) -> None:
        try:
            os.fdatasync(self.file)
        except OSError:
            self.broken = True  # the system may have dropped what it could not write, and says so only once
            raise

    def restart(self, records: Iterable[bytes]) -> None:
        anew = self.anew()
        for record in records:
            anew.add(record)
        anew.finish()

    def anew(self) -> _AnewInFile:
        return _AnewInFile(self)

    def put_in_place(self, aside: Path) -> None:
        """A whole and synced file takes this one's place."""
        os.replace(aside, self.path)
        folder = os.open(self.path.parent, os.O_RDONLY)
        try:
            with contextlib.suppress(OSError):  # not every file system syncs folders
                os.fsync(folder)
        finally:
            os.close(folder)
        self.close()
        self.file = os.open(self.path, os.O_WRONLY | os.O_APPEND)
        self.size = os.fstat(self.file).st_size
        self.broken = False

    def close(self) -> None:
        if self.file >= 0:
            os.close(self.file)
            self.file = -1


class _AnewInFile:
    """A file beside the journal's; what was left of one is overwritten by the next."""

    def __init__(self, journal: FileJournal) -> None:
        self.journal = journal
        self.aside = journal.path.with_name(f"{journal.path.name}.new")
        self.file = open(self.aside, "wb")  # noqa: SIM115 - it stays open over many turns
        self._put(journal.head_of(journal.version))

    def _put(self, data: bytes) -> int:
        try:
            return self.file.write(data)
        except OSError:
            self.drop()
            raise

    def add(self, record: bytes) -> int:
        return self._put(framed(record))

    def sync(self) -> None:
        try:
            self.file.flush()
            os.fdatasync(self.file.fileno())
        except OSError:
            self.drop()
            raise

    def finish(self) -> None:
        self.sync()
        self.file.close()
        self.journal.put_in_place(self.aside)

    def drop(self) -> None:
        with contextlib.suppress(OSError):  # what is in the buffer may find no room
            self.file.close()
        with contextlib.suppress(OSError):
            os.unlink(self.aside)
