"""Signal handling over the whole lifetime of the process.

A signal that arrives before the gateway serves stays pending; later ones are handled in an iteration of the
event loop. This module has no slow imports, so that the handlers are installed before the rest of the program
is loaded.
"""

from __future__ import annotations

import signal

TYPE_CHECKING = False  # not imported from `typing`, which takes longer to load than this module
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

TERMINATION_SIGNALS = (signal.SIGTERM, signal.SIGINT)
HANDLED_SIGNALS = (*TERMINATION_SIGNALS, signal.SIGHUP)


class SignalHandler:
    """SIGTERM and SIGINT request a graceful shutdown, SIGHUP to reload the start file."""

    def __init__(self) -> None:
        self._pending: list[int] = []
        self._schedule: Callable[[Callable[[], None]], object] | None = None
        self._shut_down: Callable[[], None] | None = None
        self._reload: Callable[[], None] | None = None

    def install(self) -> None:
        """Installs the handlers, which replace the default action of ending the process."""
        for number in HANDLED_SIGNALS:
            signal.signal(number, self._on_signal)

    def termination_requested(self) -> bool:
        """Whether a SIGTERM or SIGINT is pending."""
        return any(number in TERMINATION_SIGNALS for number in self._pending)

    def dispatch_to(
        self,
        schedule: Callable[[Callable[[], None]], object],
        shut_down: Callable[[], None],
        reload: Callable[[], None],
    ) -> None:
        """Handles pending and later signals in iterations of the gateway's event loop, from when it serves.

        `schedule` wakes the loop and may be called from a signal handler.
        """
        self._shut_down, self._reload = shut_down, reload
        self._schedule = schedule
        if self._pending:
            schedule(self._dispatch)

    def ignore_all(self) -> None:
        """Ignores further signals at the end of the process: finalizing the interpreter restores the default
        actions, which would end the process with a signal instead of its exit code.
        """
        for number in HANDLED_SIGNALS:
            signal.signal(number, signal.SIG_IGN)

    def _on_signal(self, number: int, frame: Any) -> None:
        self._pending.append(number)
        if self._schedule is not None:
            self._schedule(self._dispatch)

    def _dispatch(self) -> None:
        """Handles pending signals, equal ones once; one that arrives meanwhile schedules another call."""
        due = set()
        while self._pending:
            due.add(self._pending.pop())
        try:
            if signal.SIGHUP in due and self._reload is not None:
                self._reload()
        finally:
            if not due.isdisjoint(TERMINATION_SIGNALS) and self._shut_down is not None:
                self._shut_down()
