"""One process at a time keeps a gateway's state: a lock that goes with its holder, however that ends.

A journal is written anew at each start. A second process that opened it would put a new file in place of the
one that the first goes on writing to, and what the first answers from then on would be gone at its end.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

from ochrecourse.storage.journal import JournalError


class ProcessLock:
    """The right to write what is kept under one name. The file is never removed: a lock on a file that
    another process has just unlinked would be no lock."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.file = -1

    def take(self) -> None:
        """Raises JournalError where another process has it, OSError where the file is not to be had."""
        if self.file >= 0:
            return
        file = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(file)
            raise JournalError(
                f"{self.path}: another process runs with this state; end it first, or start with --take-over"
            ) from None
        except OSError:
            os.close(file)
            raise
        self.file = file

    def free(self) -> None:
        """Another process may have it."""
        if self.file >= 0:
            os.close(self.file)
            self.file = -1
