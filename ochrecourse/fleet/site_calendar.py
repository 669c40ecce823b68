"""Editions of a site's calendar: which are in force, from when, and the purges that follow. Free of I/O,
clocks and time zones.

Everything here is a function of the set of events in the log, whatever their order of arrival, and of how far
each edge's own events are complete here (its watermark):

- Each edge that has an edition says so by one event, `taken`: it accepts the edition. An edition comes into
  force `notice_ms` after the timestamp by which more than half of the site's edges had accepted it. Of those
  in force the highest number applies, and of equal numbers the later one in the log's order.
- An edge that has the events of more than half of the edges up to `notice_ms` ago therefore knows every
  edition that is in force: any two such majorities share an edge.
- An edge whose disk is new is not counted until it is recovered (disk_recovery.py). What arrives later
  although it was written before that, those who acknowledged the disk accept only once that edge has: so
  nothing is in force by its earlier acceptance that it does not know again.
- What is due when follows from the editions' times (edition_timeline.py).
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

import msgspec

from ochrecourse.fleet.calendar_edition import (
    BEFORE_ALL_MS,
    NEVER_MS,
    Edition,
    EditionId,
    Instant,
    InvalidCalendarEventError,
    Scope,
    parse_edition,
)
from ochrecourse.fleet.calendar_events import (
    DISK_EVENTS,
    EDITION,
    EDITION_ACCEPTED,
    EdgeIncarnation,
    accepted_edition_fields,
    parse_edition_id,
)
from ochrecourse.fleet.disk_recovery import NEVER, NO_ACKNOWLEDGEMENT, NO_NEW_DISK, DiskRecovery
from ochrecourse.fleet.edition_timeline import (
    DueOccurrence,
    EditionState,
    EditionTimeline,
    LatePurge,
    next_change_ms,
)
from ochrecourse.fleet.entries import Entry

MAX_EDITIONS = 64  # of a site; older ones that no longer matter are forgotten
MAX_FORGOTTEN = 16 * MAX_EDITIONS  # ids that are remembered, so that none is taken for a new one


class SiteCalendar:
    """The calendar of one site. `edges`: names of the site's gateways; `notice_ms`: from the acceptance of an
    edition by a majority until it is in force.
    """

    def __init__(self, site: str, edges: Sequence[str], notice_ms: int) -> None:
        self.site = site
        self.edges = tuple(sorted(set(edges)))
        self.majority = len(self.edges) // 2 + 1
        self.notice_ms = notice_ms
        self.editions: dict[EditionId, EditionState] = {}
        # Accepted by an edge (its name, incarnation and timestamp in ms), and not here yet.
        self.missing: dict[EditionId, list[tuple[str, int, int]]] = {}
        self.forgotten: dict[EditionId, None] = {}  # the oldest first
        self.disks = DiskRecovery()
        self.first_accepted_ms: dict[str, int] = {}  # by edge, of any edition
        self.watermarks: dict[str, int] = {}  # by edge: its events up to there, in ms, are all here
        self.invalid_events: dict[str, int] = {}  # count by reason
        self.revision = 0  # counts up with everything that may change what is due

    # --- events ---

    def event(self, entry: Entry) -> None:
        """An event of channel `calendar/SITE`, in any order; an invalid one is counted by reason."""
        try:
            body = msgspec.json.decode(entry.body)
            if not isinstance(body, dict):
                raise InvalidCalendarEventError("an event is an object")
            if body.get("what") == EDITION:
                self._edition_received(parse_edition(body, entry.position))
            elif body.get("what") == EDITION_ACCEPTED:
                self._acceptance_received(body, entry)
            elif body.get("what") in DISK_EVENTS:
                self._disk_event_received(body, entry)
            else:
                raise InvalidCalendarEventError("what is edition, taken, new, saw or whole")
        except (InvalidCalendarEventError, msgspec.DecodeError) as error:
            self.invalid_events[str(error)] = self.invalid_events.get(str(error), 0) + 1

    def _edition_received(self, edition: Edition) -> None:
        if edition.site != self.site:
            raise InvalidCalendarEventError("the edition is another site's")
        if edition.id in self.editions or edition.id in self.forgotten:
            return
        self.editions[edition.id] = state = EditionState(edition)
        for acceptance in self.missing.pop(edition.id, []):
            state.accept(*acceptance)
        self._update_times(state)
        self._forget_replaced()
        self.revision += 1

    def _acceptance_received(self, body: Mapping[str, Any], entry: Entry) -> None:
        fields = accepted_edition_fields(body)
        if entry.writer not in self.edges:
            return
        edition_id = parse_edition_id(fields)
        first_ms = self.first_accepted_ms.get(entry.writer, NEVER_MS)
        self.first_accepted_ms[entry.writer] = min(entry.at.ms, first_ms)
        if edition_id in self.forgotten:
            return
        state = self.editions.get(edition_id)
        if state is None:
            self.missing.setdefault(edition_id, []).append((entry.writer, entry.incarnation, entry.at.ms))
            return
        state.accept(entry.writer, entry.incarnation, entry.at.ms)
        self._update_times(state)
        self.revision += 1

    def _disk_event_received(self, body: Mapping[str, Any], entry: Entry) -> None:
        if entry.writer not in self.edges:
            return
        self.disks.event(body, entry, len(self.edges))
        for state in self.editions.values():
            self._update_times(state)
        self.revision += 1

    def advance_watermark(self, edge: str, at_ms: int) -> None:
        """All that this edge appends with a timestamp at or before `at_ms` is here."""
        if edge in self.edges and at_ms > self.watermarks.get(edge, BEFORE_ALL_MS):
            self.watermarks[edge] = at_ms
            for state in self.editions.values():
                if state.in_force_min_ms != state.in_force_max_ms:
                    self._update_times(state)

    def _update_times(self, state: EditionState) -> None:
        """When the edition comes into force, at the earliest and at the latest."""
        known = sorted(state.accepted_ms.values())
        earliest = sorted(self._earliest_acceptances(state))[self.majority - 1]
        latest = known[self.majority - 1] if len(known) >= self.majority else NEVER_MS
        before = (state.in_force_min_ms, state.in_force_max_ms)
        state.in_force_min_ms = min(earliest, latest) + self.notice_ms
        state.in_force_max_ms = latest + self.notice_ms if latest < NEVER_MS else NEVER_MS
        if (state.in_force_min_ms, state.in_force_max_ms) != before:
            self.revision += 1

    def _earliest_acceptances(self, state: EditionState) -> list[int]:
        """When each edge may have accepted the edition at the earliest, in ms."""
        # An edge that did not say so may have, after all of it that is known here and after the edition.
        written_ms = state.edition.place.at.ms
        earliest = dict(state.accepted_ms)
        for edge in self.edges:
            disk = self.disks.replaced_disk(edge)
            before_loss = disk is not None and written_ms <= disk.at_ms + self.notice_ms
            first_incarnation = state.accepted_in.get(edge, (NEVER_MS, 0))[0]
            if disk is not None and before_loss and first_incarnation >= disk.incarnation:
                earliest[edge] = written_ms  # with the lost disk it may have accepted it at any time
            elif edge not in earliest:
                earliest[edge] = max(self.watermarks.get(edge, BEFORE_ALL_MS) + 1, written_ms)
        return list(earliest.values())

    def _forget_replaced(self) -> None:
        """Forgets the oldest editions beyond MAX_EDITIONS, of those that a higher one in force replaced."""
        while len(self.editions) > MAX_EDITIONS:
            states = self.editions.values()
            accepted = [state.edition.rank for state in states if state.in_force_max_ms < NEVER_MS]
            oldest = min((state.edition for state in states), key=lambda each: each.rank)
            if not accepted or oldest.rank >= max(accepted):
                return
            del self.editions[oldest.id]
            self.forgotten[oldest.id] = None
            while len(self.forgotten) > MAX_FORGOTTEN:
                del self.forgotten[next(iter(self.forgotten))]

    # --- which edition applies ---

    def is_up_to_date(self, at_ms: int, own_edge: str, connected: Sequence[str]) -> bool:
        """Whether this edge (`own_edge`) knows all that is in force at `at_ms`, by the edges that it is
        connected to.
        """
        least_ms = at_ms - self.notice_ms
        complete = [
            edge
            for edge in connected
            if edge != own_edge and self.watermarks.get(edge, BEFORE_ALL_MS) >= least_ms
        ]
        return len(complete) + 1 >= self.majority and not self.missing

    def edition_in_force(self, at_ms: int) -> Edition | None:
        """The edition that certainly is in force at `at_ms` and applies."""
        in_force = [state.edition for state in self.editions.values() if state.in_force_max_ms <= at_ms]
        return max(in_force, key=lambda each: each.rank, default=None)

    def highest_edition(self) -> Edition | None:
        """The edition of the highest rank, in force or not."""
        editions = [state.edition for state in self.editions.values()]
        return max(editions, key=lambda each: each.rank, default=None)

    def due_occurrences(self, after_ms: int, until_ms: int) -> list[DueOccurrence]:
        """The occurrences whose time is known, due later than `after_ms` and not later than `until_ms`."""
        return EditionTimeline(self.editions.values(), until_ms).due_occurrences(after_ms)

    def possible_purges(self, after_ms: int, until_ms: int) -> list[tuple[Instant, Scope]]:
        """The instants of any edition that may apply then, with what they purge."""
        return EditionTimeline(self.editions.values(), until_ms).possible_purges(after_ms)

    def possible_late_purges(self, after_ms: int, until_ms: int) -> list[LatePurge]:
        """What any edition may bring by coming into force later than `after_ms`, and not later than
        `until_ms`, with instants that are over by then.
        """
        return EditionTimeline(self.editions.values(), until_ms).possible_late_purges(after_ms)

    def next_change_ms(self, after_ms: int) -> int:
        """When purges may next follow, later than `after_ms`; NEVER_MS if not by time alone."""
        return next_change_ms(self.editions.values(), after_ms)

    # --- what an edge is to write ---

    def next_to_accept(self, edge: str) -> Edition | None:
        """An edition that is here and that this edge has not accepted with the disk that it has now; the
        first in the log's order.
        """
        disk = self.disks.new_disks.get(edge, NO_NEW_DISK)
        not_accepted = [
            state.edition
            for state in self.editions.values()
            if state.accepted_in.get(edge, (0, BEFORE_ALL_MS - 1))[1] < disk.incarnation
            and not self._must_wait(edge, state)
        ]
        return min(not_accepted, key=lambda each: each.place, default=None)

    def _must_wait(self, edge: str, state: EditionState) -> bool:
        """Whether an edge may not accept an edition yet: one whose new disk it acknowledged may have accepted
        it before, and must know it again first. That one did not count on edges that acknowledged it after it
        recovered: these do not wait, so two edges that acknowledged each other's new disks at once do not
        wait for each other.
        """
        for (acknowledging, other), (incarnation, at) in self.disks.acknowledgements.items():
            disk = self.disks.replaced_disk(other) if acknowledging == edge else None
            if disk is None or disk.incarnation != incarnation:
                continue
            if self.disks.recovered_at.get(EdgeIncarnation(other, incarnation), NEVER) < at:
                continue
            is_earlier = state.edition.place.at.ms <= at.ms + self.notice_ms
            if is_earlier and state.accepted_in.get(other, (0, BEFORE_ALL_MS))[1] < incarnation:
                return True
        return False

    def is_recovered(self, edge: str) -> bool:
        """Whether an edge knows what it once accepted, as far as its events are here."""
        return self.disks.is_recovered(edge)

    def next_to_acknowledge(self, edge: str) -> EdgeIncarnation | None:
        """An edge with a new disk that is not recovered, and that this edge has not acknowledged."""
        for other, (incarnation, _) in sorted(self.disks.new_disks.items()):
            acknowledged = self.disks.acknowledgements.get((edge, other), NO_ACKNOWLEDGEMENT).incarnation
            if other != edge and not self.is_recovered(other) and acknowledged < incarnation:
                return EdgeIncarnation(other, incarnation)
        return None

    def recovery(
        self, own_edge: str, connected: Sequence[str], connected_new: Sequence[str], at_ms: int
    ) -> list[EdgeIncarnation] | None:
        """Whether an edge with a new disk is recovered at `at_ms`, by the edges that it is connected to:
        those that are recovered, and those that are new too. Empty if it knows again what it accepted; all
        incarnations that are new if the site bootstraps; else None.
        """
        incarnation = self.disks.new_disks[own_edge].incarnation
        bootstrap = self.disks.bootstraps.get(EdgeIncarnation(own_edge, incarnation))
        if bootstrap is not None:
            return bootstrap
        new_disks = self._bootstrap_candidates(own_edge, connected_new, at_ms - self.notice_ms)
        if len(new_disks) >= self.majority:
            return new_disks
        acknowledged = 0
        for edge in connected:
            acknowledgement = self.disks.acknowledgements.get((edge, own_edge), NO_ACKNOWLEDGEMENT)
            is_current = edge != own_edge and acknowledgement.incarnation == incarnation
            is_complete = self.watermarks.get(edge, BEFORE_ALL_MS) >= acknowledgement.at.ms
            acknowledged += is_current and is_complete
        # Any majority without this edge has an edge in common with so many others.
        enough = acknowledged > len(self.edges) - self.majority
        return [] if enough and not self.missing and self.next_to_accept(own_edge) is None else None

    def _bootstrap_candidates(
        self, own_edge: str, connected_new: Sequence[str], least_ms: int
    ) -> list[EdgeIncarnation]:
        """The new disks with which a site may bootstrap, this edge's own among them."""
        others = [
            edge
            for edge in connected_new
            if edge in self.disks.new_disks
            and not self.is_recovered(edge)
            and self.watermarks.get(edge, BEFORE_ALL_MS) >= least_ms
        ]
        return sorted(
            EdgeIncarnation(edge, self.disks.new_disks[edge].incarnation) for edge in {own_edge, *others}
        )
