"""Workers that run file operations one at a time, in the order of the calls, and report each result.

`InlineWorker` blocks the caller during an operation; `storage.disk_thread.ThreadWorker` runs operations in
another thread, so that a slow disk delays only code that waits for the result.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

Operation = Callable[[], None]  # raises OSError
OnDone = Callable[[OSError | None], None]  # called with None if the operation succeeded


class DiskWorker(Protocol):
    """Runs file operations one at a time, in order. Its methods are called on the event loop's thread."""

    def run(self, operation: Operation, on_done: OnDone) -> None:
        """Runs an operation after all earlier ones, then calls `on_done` on the event loop's thread with its
        error, or None if it succeeded. `on_done` may be called before this method returns.
        """

    def wait(self, timeout_s: float) -> bool:
        """Blocks until all operations have run and been reported. Returns False if `timeout_s`
        passed first.
        """


class InlineWorker:
    """Runs each operation synchronously: for in-memory journals, at start, and without an event loop."""

    def run(self, operation: Operation, on_done: OnDone) -> None:
        """Runs the operation and reports its result before returning."""
        try:
            operation()
        except OSError as error:
            on_done(error)
        else:
            on_done(None)

    def wait(self, timeout_s: float) -> bool:
        """Returns True: no operation is ever pending."""
        return True
