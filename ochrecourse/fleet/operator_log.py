"""Log lines of a fleet member for operators, without repetitions."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

MAX_NAMES_PER_LINE = 20


class OperatorLog:
    """Writes log lines with `write`, which accepts an event and its fields."""

    def __init__(self, write: Callable[..., None], own_name: str) -> None:
        self.write = write
        self._lines_of_beat: Counter[str] = Counter()
        self._reachable: list[str] = [own_name]
        self._logged_notes: set[str] = set()
        self._last_note: list[str] = []

    def beat_began(self) -> None:
        """Resets the limit of one line per key and beat."""
        self._lines_of_beat.clear()

    def write_once_per_beat(self, key: str, event: str, **fields: Any) -> None:
        """Writes at most one line per key and beat, so that a faulty peer cannot flood the log."""
        self._lines_of_beat[key] += 1
        if self._lines_of_beat[key] == 1:
            self.write(event, **fields)

    def write_reached(self, reachable: list[str]) -> None:
        """Writes which gateways are reachable, if that has changed."""
        if reachable == self._reachable:
            return
        added, removed = set(reachable) - set(self._reachable), set(self._reachable) - set(reachable)
        self._reachable = reachable
        self.write(
            "fleet reach",
            reached=len(reachable),
            came=sorted(added)[:MAX_NAMES_PER_LINE],
            went=sorted(removed)[:MAX_NAMES_PER_LINE],
        )

    def write_notes(self, notes: list[str]) -> None:
        """Writes the notes that were not in the list at the previous call."""
        for note in notes:
            if note not in self._logged_notes:
                self.write("fleet log", note=note)
        if len(notes) != len(self._logged_notes) or notes[-1:] != self._last_note:
            self._logged_notes, self._last_note = set(notes), notes[-1:]

    def write_zone_changes(self, changes: Iterable[dict[str, Any]]) -> None:
        """Writes changes of zones' states."""
        for change in changes:
            self.write("zone standing", **change)
