"""File operations in a separate thread, so that a slow disk does not block the event loop."""

from __future__ import annotations

import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from queue import Empty, SimpleQueue
from typing import Any

from ochrecourse.storage.disk_worker import OnDone, Operation


@dataclass(frozen=True)
class _Finished:
    """An operation that has run and whose result has not been reported yet."""

    on_done: OnDone
    error: OSError | None


class ThreadWorker:
    """A `storage.disk_worker.DiskWorker` with one thread.

    `call_from_thread`: schedules a call on the event loop's thread (Twisted's IReactorFromThreads). `name`:
    of the thread.
    """

    def __init__(self, call_from_thread: Callable[..., Any], name: str) -> None:
        self._call_from_thread = call_from_thread
        self._executor = ThreadPoolExecutor(max_workers=1, thread_name_prefix=name)
        self._finished: SimpleQueue[_Finished] = SimpleQueue()
        self._unreported = 0

    def run(self, operation: Operation, on_done: OnDone) -> None:
        """Runs the operation in the thread; its result is reported in a later iteration of the event loop or
        by `wait`.
        """
        self._unreported += 1
        self._executor.submit(self._execute, operation, on_done)

    def wait(self, timeout_s: float) -> bool:
        """Blocks until all operations have run and been reported. Returns False if `timeout_s`
        passed first.
        """
        ends_at = time.monotonic() + timeout_s
        while self._unreported:
            try:
                finished = self._finished.get(timeout=max(0.0, ends_at - time.monotonic()))
            except Empty:
                return False
            self._report(finished)
        return True

    def _execute(self, operation: Operation, on_done: OnDone) -> None:
        self._finished.put(_Finished(on_done, _error_of(operation)))
        self._call_from_thread(self._report_finished)

    def _report_finished(self) -> None:
        while True:
            try:
                finished = self._finished.get_nowait()
            except Empty:
                return
            self._report(finished)

    def _report(self, finished: _Finished) -> None:
        self._unreported -= 1
        finished.on_done(finished.error)


def _error_of(operation: Operation) -> OSError | None:
    """Runs an operation and returns its error, or None if it succeeded."""
    try:
        operation()
    except OSError as error:
        return error
    except Exception as error:
        # Guards against a caller that waits for ever because an operation raised an unexpected exception.
        return OSError(f"{type(error).__name__}: {error}")
    return None
