"""The calendar of a site: which editions are in force, from when, and which purges they schedule. Free of
I/O, clocks and time zones.

The result depends only on the set of events in the log, not on their order of arrival, and on each edge's
watermark: the time up to which all of its events are stored here.

- Each edge that has stored an edition accepts it by one event, `taken`. An edition comes into force
  `notice_ms` after the timestamp by which more than half of the site's edges had accepted it. Of the editions
  in force the one with the highest number applies, and among equal numbers the last one in the log's order.
- An edge that has all events of more than half of the edges up to `notice_ms` ago therefore knows every
  edition in force, because any two majorities have an edge in common.
- An edge whose disk is new is not counted until it is recovered (disk_recovery.py). Editions that arrive
  later although they were written before the recovery are accepted by the edges that acknowledged the new
  disk only after the recovered edge has accepted them. So no edition is in force by an earlier acceptance of
  that edge which it does not know any more.
- The times at which purges are due follow from the times of the editions (edition_timeline.py).
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

MAX_EDITIONS = 64  # per site; older ones that are replaced are removed
MAX_FORGOTTEN = 16 * MAX_EDITIONS  # ids of removed editions, retained so that none is treated as new


class SiteCalendar:
    """The calendar of one site. `edges`: names of the site's gateways; `notice_ms`: time from the acceptance
    of an edition by a majority of the edges until it is in force.
    """

    def __init__(self, site: str, edges: Sequence[str], notice_ms: int) -> None:
        self.site = site
        self.edges = tuple(sorted(set(edges)))
        self.majority = len(self.edges) // 2 + 1
        self.notice_ms = notice_ms
        self.editions: dict[EditionId, EditionState] = {}
        # Editions not received yet, with their acceptances: name of the edge, incarnation, timestamp in ms.
        self.missing: dict[EditionId, list[tuple[str, int, int]]] = {}
        self.forgotten: dict[EditionId, None] = {}  # ids of removed editions, oldest first
        self.disks = DiskRecovery()
        self.first_accepted_ms: dict[str, int] = {}  # by edge, its first acceptance of any edition
        self.watermarks: dict[str, int] = {}  # by edge: all its events up to this time in ms are stored here
        self.invalid_events: dict[str, int] = {}  # count by reason
        self.revision = 0  # incremented by each change that may affect when purges are due

    # --- events ---

    def event(self, entry: Entry) -> None:
        """Records an event of channel `calendar/SITE`, in any order; invalid ones are counted by reason."""
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
        """Records that all entries of an edge with timestamps up to `at_ms` are stored here."""
        if edge in self.edges and at_ms > self.watermarks.get(edge, BEFORE_ALL_MS):
            self.watermarks[edge] = at_ms
            for state in self.editions.values():
                if state.in_force_min_ms != state.in_force_max_ms:
                    self._update_times(state)

    def _update_times(self, state: EditionState) -> None:
        """Updates the earliest and the latest time at which an edition comes into force."""
        known = sorted(state.accepted_ms.values())
        earliest = sorted(self._earliest_acceptances(state))[self.majority - 1]
        latest = known[self.majority - 1] if len(known) >= self.majority else NEVER_MS
        previous = (state.in_force_min_ms, state.in_force_max_ms)
        state.in_force_min_ms = min(earliest, latest) + self.notice_ms
        state.in_force_max_ms = latest + self.notice_ms if latest < NEVER_MS else NEVER_MS
        if (state.in_force_min_ms, state.in_force_max_ms) != previous:
            self.revision += 1

    def _earliest_acceptances(self, state: EditionState) -> list[int]:
        """The earliest times, in ms, at which the edges may have accepted the edition."""
        # An edge without a known acceptance may have accepted it after its watermark and after the edition.
        written_ms = state.edition.position.at.ms
        earliest = dict(state.accepted_ms)
        for edge in self.edges:
            disk = self.disks.replaced_disk(edge)
            before_loss = disk is not None and written_ms <= disk.at_ms + self.notice_ms
            first_incarnation = state.accepted_in.get(edge, (NEVER_MS, 0))[0]
            if disk is not None and before_loss and first_incarnation >= disk.incarnation:
                earliest[edge] = written_ms  # it may have accepted it at any time, on the lost disk
            elif edge not in earliest:
                earliest[edge] = max(self.watermarks.get(edge, BEFORE_ALL_MS) + 1, written_ms)
        return list(earliest.values())

    def _forget_replaced(self) -> None:
        """Removes the oldest editions beyond MAX_EDITIONS that an accepted one of higher rank replaces."""
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
        """Whether `own_edge`, being connected to `connected`, knows all editions in force at `at_ms`."""
        least_ms = at_ms - self.notice_ms
        complete = [
            edge
            for edge in connected
            if edge != own_edge and self.watermarks.get(edge, BEFORE_ALL_MS) >= least_ms
        ]
        return len(complete) + 1 >= self.majority and not self.missing

    def edition_in_force(self, at_ms: int) -> Edition | None:
        """Of the editions certainly in force at `at_ms`, the one that applies; None if there is none."""
        in_force = [state.edition for state in self.editions.values() if state.in_force_max_ms <= at_ms]
        return max(in_force, key=lambda each: each.rank, default=None)

    def highest_edition(self) -> Edition | None:
        """The edition with the highest rank, in force or not; None if there is none."""
        editions = [state.edition for state in self.editions.values()]
        return max(editions, key=lambda each: each.rank, default=None)

    def due_occurrences(self, after_ms: int, until_ms: int) -> list[DueOccurrence]:
        """The occurrences with known times, due after `after_ms` and up to `until_ms`, sorted by time."""
        return EditionTimeline(self.editions.values(), until_ms).due_occurrences(after_ms)

    def possible_purges(self, after_ms: int, until_ms: int) -> list[tuple[Instant, Scope]]:
        """The instants after `after_ms` and up to `until_ms` of editions that may apply, and their scopes."""
        return EditionTimeline(self.editions.values(), until_ms).possible_purges(after_ms)

    def possible_late_purges(self, after_ms: int, until_ms: int) -> list[LatePurge]:
        """The occurrences that an edition may make due by coming into force after their instant, between
        `after_ms` and `until_ms`.
        """
        return EditionTimeline(self.editions.values(), until_ms).possible_late_purges(after_ms)

    def next_change_ms(self, after_ms: int) -> int:
        """The next time after `after_ms` at which purges may become due by time alone; NEVER_MS if none."""
        return next_change_ms(self.editions.values(), after_ms)

    # --- events that an edge has to write ---

    def next_to_accept(self, edge: str) -> Edition | None:
        """The first edition in the log's order that an edge has to accept: one that it has not accepted with
        its present disk. None if there is none.
        """
        disk = self.disks.new_disks.get(edge, NO_NEW_DISK)
        not_accepted = [
            state.edition
            for state in self.editions.values()
            if state.accepted_in.get(edge, (0, BEFORE_ALL_MS - 1))[1] < disk.incarnation
            and not self._must_wait(edge, state)
        ]
        return min(not_accepted, key=lambda each: each.position, default=None)

    def _must_wait(self, edge: str, state: EditionState) -> bool:
        """Whether an edge must not accept an edition yet, because another edge whose new disk it acknowledged
        may have accepted the edition with its lost disk and has to accept it again first. Acknowledgements
        written after the other edge's recovery do not count, as the recovery did not rely on them. So two
        edges that acknowledge each other's new disks at the same time do not wait for each other.
        """
        for (acknowledging, other), (incarnation, at) in self.disks.acknowledgements.items():
            disk = self.disks.replaced_disk(other) if acknowledging == edge else None
            if disk is None or disk.incarnation != incarnation:
                continue
            if self.disks.recovered_at.get(EdgeIncarnation(other, incarnation), NEVER) < at:
                continue
            is_earlier = state.edition.position.at.ms <= at.ms + self.notice_ms
            if is_earlier and state.accepted_in.get(other, (0, BEFORE_ALL_MS))[1] < incarnation:
                return True
        return False

    def is_recovered(self, edge: str) -> bool:
        """Whether an edge knows all editions that it accepted, according to its events stored here."""
        return self.disks.is_recovered(edge)

    def next_to_acknowledge(self, edge: str) -> EdgeIncarnation | None:
        """The first edge by name whose new disk is not recovered and that `edge` has not acknowledged yet."""
        for other, (incarnation, _) in sorted(self.disks.new_disks.items()):
            acknowledged = self.disks.acknowledgements.get((edge, other), NO_ACKNOWLEDGEMENT).incarnation
            if other != edge and not self.is_recovered(other) and acknowledged < incarnation:
                return EdgeIncarnation(other, incarnation)
        return None

    def recovery(
        self, own_edge: str, connected: Sequence[str], connected_new: Sequence[str], at_ms: int
    ) -> list[EdgeIncarnation] | None:
        """Whether `own_edge`, which has a new disk, is recovered at `at_ms`. `connected`: the recovered edges
        that it is connected to; `connected_new`: those whose disk is new too. Returns an empty list if it has
        recovered from others, all new incarnations if the site bootstraps, and None if it is not recovered.
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
        # Any majority, even without counting this edge, has an edge in common with this many others.
        enough = acknowledged > len(self.edges) - self.majority
        return [] if enough and not self.missing and self.next_to_accept(own_edge) is None else None

    def _bootstrap_candidates(
        self, own_edge: str, connected_new: Sequence[str], least_ms: int
    ) -> list[EdgeIncarnation]:
        """The new disks with which a site may bootstrap, including that of `own_edge`."""
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
