"""The interfaces of a journal and of its incremental rewrite, independent of where it is
stored. Free of I/O.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from typing import Protocol


class JournalRewrite(Protocol):
    """A rewrite of a journal in steps, while records are still appended to the journal; it takes effect when
    it is committed.
    """

    def append(self, record: bytes) -> int:
        """Appends a record to the new content; returns the number of bytes written. Raises OSError."""

    def sync(self) -> None:
        """Syncs the records appended so far, so that `commit` has little left to sync. Raises OSError."""

    def commit(self) -> None:
        """Replaces the journal's content atomically. Raises OSError."""

    def abort(self) -> None:
        """Discards the new content."""


class Journal(Protocol):
    """Stores records in order. `version`: the format version, also of the next rewrite."""

    version: int

    def records(self) -> Iterator[bytes]:
        """Iterates over all readable records, in order. Raises JournalError, OSError."""

    def append(self, record: bytes) -> None:
        """Appends a record. Raises OSError; the record is then not stored, not even in part."""

    def append_all(self, records: Sequence[bytes]) -> None:
        """Appends records, in order. Raises OSError; some of them may then be stored."""

    def sync(self) -> None:
        """Makes all appended records survive a power failure. Raises OSError; it is then unknown whether they
        do, and nothing more can be appended before a rewrite.
        """

    def rewrite(self, records: Iterable[bytes]) -> None:
        """Replaces all records by these, atomically. Raises OSError."""

    def begin_rewrite(self) -> JournalRewrite:
        """Starts a rewrite in steps. Raises OSError."""

    def close(self) -> None:
        """Closes the journal; nothing more can be appended."""

    def retire(self) -> None:
        """Marks the journal as taken over by another process: an operation in progress must not replace its
        file. May be called from a thread other than that operation's.
        """
