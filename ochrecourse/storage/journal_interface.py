"""What is needed of a journal, and of its rewrite in steps, whoever stores it. Free of I/O."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from typing import Protocol


class JournalRewrite(Protocol):
    """New content of a journal, written while the journal goes on; it counts once it is committed."""

    def append(self, record: bytes) -> int:
        """Adds a record to the new content; returns how many bytes that took. Raises OSError."""

    def sync(self) -> None:
        """Syncs what was appended so far, so that `commit` has little left to do. Raises OSError."""

    def commit(self) -> None:
        """Replaces the journal's content, all at once. Raises OSError."""

    def abort(self) -> None:
        """Discards the new content."""


class Journal(Protocol):
    """Where records are stored. `version`: its format's, and what the next rewrite is written in."""

    version: int

    def records(self) -> Iterator[bytes]:
        """All records that can be read, in order. Raises JournalError, OSError."""

    def append(self, record: bytes) -> None:
        """Adds a record. Raises OSError, and then nothing of the record is stored."""

    def append_all(self, records: Sequence[bytes]) -> None:
        """Adds records, in order. Raises OSError, and then some of them may be stored."""

    def sync(self) -> None:
        """What was appended survives a power failure. Raises OSError: then it may or may not, and nothing
        more can be appended before a rewrite.
        """

    def rewrite(self, records: Iterable[bytes]) -> None:
        """Replaces the content by these records, all at once. Raises OSError."""

    def begin_rewrite(self) -> JournalRewrite:
        """The same in steps. Raises OSError."""

    def close(self) -> None:
        """Nothing more is written."""

    def retire(self) -> None:
        """Another process has the file: an operation that is still under way may not replace it. May be
        called from another thread than that operation's.
        """
