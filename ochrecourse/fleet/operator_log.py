"""Lines that a fleet member writes for operators, without repeats."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

MAX_NAMES_PER_LINE = 20


class OperatorLog:
    """Writes lines by way of `write`, which takes an event and its fields."""

    def __init__(self, write: Callable[..., None], own_name: str) -> None:
        self.write = write
        self._lines_of_beat: Counter[str] = Counter()
        self._reached: list[str] = [own_name]
        self._logged_notes: set[str] = set()
        self._last_note: list[str] = []

    def beat_began(self) -> None:
        """Lines that are limited to one a beat may be written again."""
        self._lines_of_beat.clear()

    def write_once_per_beat(self, key: str, event: str, **fields: Any) -> None:
        """Guards against a faulty peer that fills the log: at most one line a beat for each key."""
        self._lines_of_beat[key] += 1
        if self._lines_of_beat[key] == 1:
            self.write(event, **fields)

    def write_reached(self, reached: list[str]) -> None:
        """Who can be reached now, if that has changed."""
        if reached == self._reached:
            return
        added, removed = set(reached) - set(self._reached), set(self._reached) - set(reached)
        self._reached = reached
        self.write(
            "fleet reach",
            reached=len(reached),
            came=sorted(added)[:MAX_NAMES_PER_LINE],
            went=sorted(removed)[:MAX_NAMES_PER_LINE],
        )

    def write_notes(self, notes: list[str]) -> None:
        """The notes that were not there the last time."""
        for note in notes:
            if note not in self._logged_notes:
                self.write("fleet log", note=note)
        if len(notes) != len(self._logged_notes) or notes[-1:] != self._last_note:
            self._logged_notes, self._last_note = set(notes), notes[-1:]

    def write_zone_changes(self, changes: Iterable[dict[str, Any]]) -> None:
        """Changes of zones' states."""
        for change in changes:
            self.write("zone standing", **change)
