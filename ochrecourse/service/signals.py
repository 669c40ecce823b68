"""The process's signals, from its first moment to its last.

A signal that comes before the gateway serves is kept; afterwards it is acted on in a turn of the loop. This
module imports nothing that takes long, so that the handlers stand before anything else is loaded.
"""

from __future__ import annotations

import signal

TYPE_CHECKING = False  # as `typing` has it, which takes longer to load than this module
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

END = (signal.SIGTERM, signal.SIGINT)
ALL = (*END, signal.SIGHUP)


class SignalHandler:
    """SIGTERM and SIGINT ask for an end in order, SIGHUP to read the start file again."""

    def __init__(self) -> None:
        self._came: list[int] = []
        self._schedule: Callable[[Callable[[], None]], object] | None = None
        self._leave: Callable[[], None] | None = None
        self._reload: Callable[[], None] | None = None

    def install(self) -> None:
        """From now on no signal ends the process by its default action."""
        for number in ALL:
            signal.signal(number, self._on_signal)

    def asked_to_end(self) -> bool:
        """Whether an order to end is kept."""
        return any(number in END for number in self._came)

    def act(
        self,
        schedule: Callable[[Callable[[], None]], object],
        leave: Callable[[], None],
        reload: Callable[[], None],
    ) -> None:
        """The gateway serves: what came and what comes is done in a turn of its loop. `schedule` wakes the
        loop and may be called from a signal handler.
        """
        self._leave, self._reload = leave, reload
        self._schedule = schedule
        if self._came:
            schedule(self._act)

    def ignore(self) -> None:
        """The process is at its end. Guards against a signal while the interpreter is taken down, which gives
        handlers of Python's their default action back.
        """
        for number in ALL:
            signal.signal(number, signal.SIG_IGN)

    def _on_signal(self, number: int, frame: Any) -> None:
        self._came.append(number)
        if self._schedule is not None:
            self._schedule(self._act)

    def _act(self) -> None:
        """Many signals in one turn are one: the file is read once. One that comes meanwhile gets its turn."""
        due = set()
        while self._came:
            due.add(self._came.pop())
        try:
            if signal.SIGHUP in due and self._reload is not None:
                self._reload()
        finally:
            if not due.isdisjoint(END) and self._leave is not None:
                self._leave()
