"""Who runs operations on files: one at a time, in the order of the calls, and reports what became of each.

With `InlineWorker` an operation blocks its caller; with `storage.disk_thread.ThreadWorker` a slow disk delays
nobody but who waits for it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

Operation = Callable[[], None]  # raises OSError
OnDone = Callable[[OSError | None], None]  # None: it succeeded


class DiskWorker(Protocol):
    """Runs operations on files, in order and one at a time. Its calls are made on the event loop's thread."""

    def run(self, operation: Operation, on_done: OnDone) -> None:
        """Runs an operation after all earlier ones, then calls `on_done` on the event loop's thread with its
        error, None if it succeeded; possibly before this returns.
        """

    def wait(self, timeout_s: float) -> bool:
        """Blocks until all operations have run and were reported, but at most so long; whether they have."""


class InlineWorker:
    """Runs each operation at once: for memory, for a start, for programs without an event loop."""

    def run(self, operation: Operation, on_done: OnDone) -> None:
        """Runs the operation and reports its end before this returns."""
        try:
            operation()
        except OSError as error:
            on_done(error)
        else:
            on_done(None)

    def wait(self, timeout_s: float) -> bool:
        """Nothing is ever under way."""
        return True
