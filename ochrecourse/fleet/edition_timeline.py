"""Computes which edition of a site's calendar applies when, and when purges are due. Free of I/O and clocks.

An occurrence is due once: at the instant that the edition in force schedules, or, if that instant has passed
when the edition comes into force, at the latter time (`possible_late_purges`). A later edition does not make
it due again. Of edges that are not connected, only bounds of their timestamps are known. So for some time it
may be unknown whether an edition is in force. Then `due_occurrences` omits the occurrences that depend on it,
and `possible_purges` returns the instants of all editions that may apply.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from ochrecourse.fleet.calendar_edition import (
    BEFORE_ALL_MS,
    NEVER_MS,
    Edition,
    EditionId,
    Instant,
    Occurrence,
    Scope,
)


@dataclass(slots=True)
class EditionState:
    """An edition and its known acceptances. `accepted_ms`: by edge, time of its first acceptance;
    `accepted_in`: by edge, the first and last incarnation that accepted it; `in_force_min_ms`,
    `in_force_max_ms`: earliest and latest time at which it comes into force.
    """

    edition: Edition
    accepted_ms: dict[str, int] = field(default_factory=dict)
    accepted_in: dict[str, tuple[int, int]] = field(default_factory=dict)
    in_force_min_ms: int = NEVER_MS
    in_force_max_ms: int = NEVER_MS

    def accept(self, edge: str, incarnation: int, at_ms: int) -> None:
        """Records that an edge accepted the edition; the order and repetition of calls do not matter."""
        self.accepted_ms[edge] = min(at_ms, self.accepted_ms.get(edge, NEVER_MS))
        first, last = self.accepted_in.get(edge, (incarnation, incarnation))
        self.accepted_in[edge] = (min(first, incarnation), max(last, incarnation))


class DueOccurrence(NamedTuple):
    """An occurrence that is due, with the number, id and instant of the edition that makes it due. `due_ms`:
    the instant, or the time at which the edition comes into force if that is later.
    """

    occurrence: Occurrence
    number: int
    edition_id: EditionId
    instant_ms: int
    due_ms: int


class LatePurge(NamedTuple):
    """An occurrence whose instant has passed when its edition comes into force: it is due between
    `earliest_ms` and `latest_ms` (NEVER_MS if no upper bound is known).
    """

    occurrence: Occurrence
    scope: Scope
    earliest_ms: int
    latest_ms: int


class Period(NamedTuple):
    """A period during which the same editions may apply. `editions`: the candidates, highest rank first;
    `last_in_force`: whether the last of them is certainly in force, so that one of them applies.
    """

    start_ms: int
    end_ms: int
    editions: list[Edition]
    last_in_force: bool

    @property
    def certain(self) -> bool:
        """Whether the edition that applies is known."""
        return self.last_in_force and len(self.editions) == 1


class EditionTimeline:
    """The occurrences of a set of editions that are or may be due up to `until_ms`."""

    def __init__(self, states: Iterable[EditionState], until_ms: int) -> None:
        self.states = list(states)
        self.until_ms = until_ms
        self.periods = self._periods()

    def _periods(self) -> list[Period]:
        ranked = sorted(self.states, key=lambda each: each.edition.rank, reverse=True)
        limits = [limit for state in ranked for limit in (state.in_force_min_ms, state.in_force_max_ms)]
        starts = sorted({limit for limit in limits if limit <= self.until_ms})
        ends = [*starts[1:], self.until_ms + 1]
        return [_period(ranked, start, end) for start, end in zip(starts, ends, strict=False)]

    def due_occurrences(self, after_ms: int) -> list[DueOccurrence]:
        """The occurrences that are due after `after_ms` and up to `until_ms`, sorted by time.

        Occurrences that the unknown acceptance of an edge that is not connected may still change are omitted.
        """
        occurrences: dict[Occurrence, None] = {}
        for state in self.states:
            # An edition that comes into force in this interval may make any of its past occurrences due.
            may_come_into_force = after_ms < state.in_force_max_ms and state.in_force_min_ms <= self.until_ms
            instants = state.edition.instants_between(
                BEFORE_ALL_MS if may_come_into_force else after_ms, self.until_ms
            )
            occurrences.update((instant.occurrence, None) for instant in instants)
        due = [self._due(occurrence) for occurrence in occurrences]
        known = [each for each in due if each is not None and after_ms < each.due_ms]
        return sorted(known, key=lambda each: (each.due_ms, each.occurrence))

    def _due(self, occurrence: Occurrence) -> DueOccurrence | None:
        """When an occurrence is due; None if it is not due up to `until_ms`, or if that is not known."""
        for period in self.periods:
            for edition in period.editions:
                instant_ms = edition.instant_ms.get(occurrence)
                if instant_ms is None or instant_ms >= period.end_ms:
                    continue
                if not period.certain:
                    return None
                due_ms = max(period.start_ms, instant_ms)
                return DueOccurrence(occurrence, edition.number, edition.id, instant_ms, due_ms)
        return None

    def possible_purges(self, after_ms: int) -> list[tuple[Instant, Scope]]:
        """The instants after `after_ms` of each edition that may apply at that time, with their scopes."""
        purges: dict[tuple[Instant, Scope], None] = {}
        for state in self.states:
            edition = state.edition
            for instant in edition.instants_between(after_ms, self.until_ms):
                due = self._due(instant.occurrence)
                if due is not None and due.edition_id != edition.id:
                    continue  # due by another edition
                if due is None and self._is_replaced(edition, instant.at_ms):
                    continue
                purges[instant, edition.scopes[instant.rule]] = None
        return sorted(purges)

    def possible_late_purges(self, after_ms: int) -> list[LatePurge]:
        """The occurrences that an edition may make due by coming into force after their instant, where that
        time may be later than `after_ms`.
        """
        purges: dict[LatePurge, None] = {}
        for state in self.states:
            if state.in_force_max_ms <= after_ms or self.until_ms < state.in_force_min_ms:
                continue
            edition = state.edition
            last_ms = min(self.until_ms, state.in_force_max_ms - 1)
            for instant in edition.instants_between(BEFORE_ALL_MS, last_ms):
                earliest_ms = max(instant.at_ms, state.in_force_min_ms)
                due_by_ms = self._due_by_ms(instant.occurrence)
                if due_by_ms < earliest_ms or due_by_ms == instant.at_ms:
                    continue  # due before this edition may be in force, or due at its instant
                latest_ms = min(state.in_force_max_ms, due_by_ms)
                scope = edition.scopes[instant.rule]
                purges[LatePurge(instant.occurrence, scope, earliest_ms, latest_ms)] = None
        return sorted(purges)

    def _due_by_ms(self, occurrence: Occurrence) -> int:
        """The time by which an occurrence is due whichever editions apply; NEVER_MS if it is not known."""
        for period in self.periods:
            instants_ms = [edition.instant_ms.get(occurrence, NEVER_MS) for edition in period.editions]
            if period.last_in_force and max(instants_ms) < period.end_ms:
                return max(period.start_ms, *instants_ms)
        return NEVER_MS

    def _is_replaced(self, edition: Edition, at_ms: int) -> bool:
        return any(
            state.in_force_max_ms <= at_ms and state.edition.rank > edition.rank for state in self.states
        )


def _period(ranked: Sequence[EditionState], start_ms: int, end_ms: int) -> Period:
    editions: list[Edition] = []
    for state in ranked:
        if state.in_force_max_ms <= start_ms:
            return Period(start_ms, end_ms, [*editions, state.edition], last_in_force=True)
        if state.in_force_min_ms <= start_ms:
            editions.append(state.edition)
    return Period(start_ms, end_ms, editions, last_in_force=False)


def next_change_ms(states: Iterable[EditionState], after_ms: int) -> int:
    """The next time after `after_ms` at which purges may become due by time alone; NEVER_MS if none."""
    next_ms = NEVER_MS
    for state in states:
        next_ms = min(next_ms, state.edition.next_instant_ms(after_ms))
        limits = (state.in_force_min_ms, state.in_force_max_ms)
        next_ms = min([next_ms, *(limit for limit in limits if limit > after_ms)])
    return next_ms
