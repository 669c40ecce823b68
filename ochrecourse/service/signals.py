"""The process's signals, from its first moment to its last.

A signal that arrives before the gateway serves is kept pending; afterwards it is handled in a turn of the
event loop. This module imports nothing that takes long, so that the handlers are installed before anything
else is loaded.
"""

from __future__ import annotations

import signal

TYPE_CHECKING = False  # as `typing` has it, which takes longer to load than this module
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
        """From now on no signal ends the process by its default action."""
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
        """The gateway serves: pending and later signals are handled in a turn of its event loop. `schedule`
        wakes the loop and may be called from a signal handler.
        """
        self._shut_down, self._reload = shut_down, reload
        self._schedule = schedule
        if self._pending:
            schedule(self._dispatch)

    def ignore_all(self) -> None:
        """The process is at its end. Guards against a signal while the interpreter is finalized, which
        restores the default actions of Python's handlers.
        """
        for number in HANDLED_SIGNALS:
            signal.signal(number, signal.SIG_IGN)

    def _on_signal(self, number: int, frame: Any) -> None:
        self._pending.append(number)
        if self._schedule is not None:
            self._schedule(self._dispatch)

    def _dispatch(self) -> None:
        """Handles pending signals, equal ones once; one that arrives meanwhile gets its own turn."""
        due = set()
        while self._pending:
            due.add(self._pending.pop())
        try:
            if signal.SIGHUP in due and self._reload is not None:
                self._reload()
        finally:
            if not due.isdisjoint(TERMINATION_SIGNALS) and self._shut_down is not None:
                self._shut_down()
