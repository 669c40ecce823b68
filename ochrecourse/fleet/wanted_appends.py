"""Appends the entries that one source wants, one at a time: the next after the previous one is in the log."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

MAX_ENTRIES_PER_BEAT = 64  # of one source, so that an error in it cannot flood the log


class WantedEntry(NamedTuple):
    """An entry that a source wants appended. `must`: even if the channel is full."""

    channel: str
    value: object
    must: bool = False


OnEnded = Callable[[bool], None]  # whether the entry is durable and in the log now
RequestAppend = Callable[[WantedEntry, OnEnded], None]


class WantedAppends:
    """One source's appends. `next_entry` returns the next entry that it wants, or None.

    A source that is asked again before its entry is in the log would want it a second time.
    """

    def __init__(self, next_entry: Callable[[], WantedEntry | None], request_append: RequestAppend) -> None:
        """Appends nothing before the first heartbeat interval has passed."""
        self.next_entry = next_entry
        self.request_append = request_append
        self._left = 0  # entries that may still be appended in this heartbeat interval
        self._is_waiting = False  # for the end of an append
        self._is_asking = False

    def beat(self) -> None:
        """Called at each heartbeat interval: appends the wanted entries."""
        self._left = MAX_ENTRIES_PER_BEAT
        self._go_on()

    def _go_on(self) -> None:
        self._is_asking = True
        while self._left and not self._is_waiting:
            wanted = self.next_entry()
            if wanted is None:
                break
            self._left -= 1
            self._is_waiting = True
            self.request_append(wanted, self._ended)
        self._is_asking = False

    def _ended(self, is_appended: bool) -> None:
        self._is_waiting = False
        if not is_appended:
            self._left = 0
        if not self._is_asking:
            self._go_on()
