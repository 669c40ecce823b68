"""A lock that lets one process at a time use a gateway's stored state; the kernel releases it when the
process ends, however that happens.

A journal is rewritten at each start. A second process that opened it would replace the file that the first
one still appends to, and all records that the first one confirms from then on would be lost.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

from ochrecourse.storage.journal import JournalError


class StateLockedError(JournalError):
    """Another process has the lock; the text tells the operator what to do."""


CLOSED = -1  # in place of a file descriptor
OWNER_ONLY = 0o600


class ProcessLock:
    """An exclusive lock on the state that is stored under one name.

    The lock file is never removed: a lock on a file that another process has unlinked excludes nobody.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self._descriptor = CLOSED

    def acquire(self) -> None:
        """Acquires the lock, unless this object already has it. Raises StateLockedError if another process
        has it, OSError if the file can't be opened.
        """
        if self._descriptor != CLOSED:
            return
        descriptor = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, OWNER_ONLY)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(descriptor)
            raise StateLockedError(
                f"{self.path}: another process runs with this state; end it first, or start with --take-over"
            ) from None
        except OSError:
            os.close(descriptor)
            raise
        self._descriptor = descriptor

    def release(self) -> None:
        """Releases the lock."""
        if self._descriptor != CLOSED:
            os.close(self._descriptor)
            self._descriptor = CLOSED
