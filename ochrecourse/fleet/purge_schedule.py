"""The purges of one gateway: which are due, which were executed and settled, and which are outstanding. Free
of I/O and clocks.

The gateway is an edge of at most one site. Times are those of its own wall clock, whose error is within a
bound. It purges the scope of a rule one bound before the instant, and neither serves nor caches objects of
that scope until one bound after it. It does the same around the time at which an edition comes into force
whose instant has passed by then. It uses cached objects only while it is ready:

- its clock is trusted (clock_confidence.py);
- it is recovered: its disk is not new, or it has received again what it had accepted (disk_recovery.py);
- it has recent statuses of more than half of the site's edges, itself included, each of them recovered, and
  all that these appended up to `notice_ms` ago: so it knows every edition in force (site_calendar.py);
- an edition is in force, and its instants reach beyond the present.

While it is not ready, reads are sent to a node. A purge is safe at any time, so it is executed at each
instant of each edition that may apply. The settlement, one event `fired` per rule and date, is written only
when it is known which edition made the purge due. So the settlements of all edges agree, whatever they purged
before.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any, NamedTuple

from ochrecourse.common.time_units import MS
from ochrecourse.fleet.calendar_edition import BEFORE_ALL_MS, NEVER_MS, Occurrence, Scope
from ochrecourse.fleet.calendar_events import (
    DiskAcknowledged,
    DiskNew,
    DiskRecovered,
    EditionAccepted,
    encode_event,
)
from ochrecourse.fleet.clock_confidence import ClockReport, WallClockMonitor
from ochrecourse.fleet.disk_recovery import NewDisk
from ochrecourse.fleet.edge_connectivity import EdgeConnectivity
from ochrecourse.fleet.edition_timeline import DueOccurrence
from ochrecourse.fleet.entries import Entry
from ochrecourse.fleet.purge_settlement import (
    InvalidSettlementError,
    PurgeFired,
    SettlementRecords,
    encode_settlement,
    parse_settlement,
)
from ochrecourse.fleet.site_calendar import SiteCalendar

DAY_MS = 86_400_000
MAX_CATCH_UP_MS = 40 * DAY_MS  # age limit of settlements: longer than any holiday, within the log's range
MAX_EXECUTED = 512  # purges of this incarnation that are retained until they are settled


@dataclass(frozen=True, slots=True)
class PurgeSettings:
    """`name`: the gateway; `site`: the site of which it is an edge, empty if none; `edges`: by site, the
    names of its gateways; `notice_ms`: time from the acceptance of an edition until it is in force.
    """

    name: str
    site: str
    edges: Mapping[str, Sequence[str]]
    notice_ms: int


@dataclass(slots=True)
class ExecutedPurge:
    """A purge by this incarnation. `at_ms`: by the wall clock; `dropped`: count of purged objects."""

    occurrence: Occurrence
    scope: Scope
    at_ms: int
    dropped: int = 0


class PendingPurge(NamedTuple):
    """A scope to purge now, and the occurrences that require it: none if the wall clock is the reason."""

    scope: Scope
    occurrences: tuple[Occurrence, ...]


class PurgeSchedule:
    """The purges of one gateway. `now`, `wall_ms`: monotonic time in ns and wall clock in ms since 1970, both
    as of the last update.
    """

    def __init__(self, settings: PurgeSettings, clock: WallClockMonitor, now: int, wall_ms: int) -> None:
        self.name = settings.name
        self.site = settings.site
        self.notice_ms = settings.notice_ms
        self.clock = clock
        self.bound_ms = clock.bound_ms
        self.calendars = {
            site: SiteCalendar(site, edges, self.notice_ms) for site, edges in settings.edges.items()
        }
        self.settlements = {site: SettlementRecords() for site in settings.edges}
        self.invalid_settlements: dict[str, int] = {}  # count by reason
        self.own_calendar = self.calendars.get(self.site)
        edges = self.own_calendar.edges if self.own_calendar is not None else ()
        self.connectivity = EdgeConnectivity(self.site, edges, self.notice_ms * MS)
        self.started_ms = wall_ms
        self.first_edge_since: int | None = None  # in ns, when this edge became the one that writes editions
        self.new_disk_incarnation = 0  # until its event DiskNew is written; 0 if the disk is not new
        self.cached_since_ms: dict[Scope, int] = {}  # cached objects of the scope were fetched after this
        self.all_cached_since_ms = wall_ms
        self.barred_until_ms: dict[Scope, int] = {}  # until then nothing of the scope is served or cached
        self.executed: deque[ExecutedPurge] = deque(maxlen=MAX_EXECUTED)
        self.pending: deque[tuple[Scope, list[ExecutedPurge]]] = deque()
        self.now, self.wall_ms = now, wall_ms
        self._clock_trusted = clock.trusted
        self._next_change_ms = BEFORE_ALL_MS
        self._applied_revision = -1  # revision of the calendar as of the last _apply_calendar
        self._purge_count = 0
        self._settled_state: tuple[int, ...] = ()  # state at which nothing was left to settle

    # --- inputs: events, statuses and time ---

    def event(self, entry: Entry) -> None:
        """Records an event of channel `calendar/SITE` or `purges/SITE`, in any order; others are ignored."""
        kind, _, site = entry.channel.partition("/")
        if site not in self.calendars:
            return
        if kind == "calendar":
            self.calendars[site].event(entry)
        elif kind == "purges":
            try:
                settlement = parse_settlement(entry)
                if settlement.edge not in self.calendars[site].edges:
                    raise InvalidSettlementError("it is of no edge of the site")
                self.settlements[site].add(settlement)
            except InvalidSettlementError as error:
                reason = str(error)
                self.invalid_settlements[reason] = self.invalid_settlements.get(reason, 0) + 1

    def advance_watermark(self, edge: str, at_ms: int) -> None:
        """Records that all entries of an edge with timestamps up to `at_ms` are stored here."""
        for calendar in self.calendars.values():
            calendar.advance_watermark(edge, at_ms)

    def disk_is_new(self, incarnation: int) -> None:
        """Records that this incarnation began without the calendar entries of the earlier ones."""
        self.new_disk_incarnation = incarnation

    def is_recovered(self) -> bool:
        """Whether this gateway knows all editions that it accepted, so that other edges may count it."""
        if self.own_calendar is None:
            return True
        return not self.new_disk_incarnation and self.own_calendar.is_recovered(self.name)

    def status_received(
        self, edge: str, clock: ClockReport | None, edges_digest: str, recovered: bool = True
    ) -> None:
        """Records a gateway's status, received at the last update: its clock report if that is new, the
        digest of the edges of its site, and whether it is recovered.
        """
        if clock is not None:
            self.clock.report_received(edge, clock)
        self.connectivity.status_received(edge, edges_digest, recovered, self.now)

    def update_time(self, now: int, wall_ms: int) -> None:
        """Sets the time: ns of the monotonic clock, ms of the wall clock. Also called before each answer."""
        jumped = not self.clock.record_reading(now, wall_ms)
        self.now, self.wall_ms = now, wall_ms
        if self.own_calendar is None:
            return
        self.connectivity.received_at_ns[self.name] = now
        if jumped or self.clock.trusted is not self._clock_trusted:
            # The times at which objects were cached were read from a clock that may have been wrong.
            self._clock_trusted = self.clock.trusted
            self._purge_everything()
        if wall_ms + self.bound_ms >= self._next_change_ms or (
            self.own_calendar.revision != self._applied_revision
        ):
            self._apply_calendar()

    def _purge_everything(self) -> None:
        self.cached_since_ms.clear()
        self.barred_until_ms.clear()
        self.all_cached_since_ms = self.wall_ms
        self.pending.append((Scope("all", ""), []))
        self._next_change_ms = BEFORE_ALL_MS

    def _apply_calendar(self) -> None:
        calendar = self.own_calendar
        assert calendar is not None
        self._applied_revision = calendar.revision
        wall_ms, bound_ms = self.wall_ms, self.bound_ms
        scopes = {scope for state in calendar.editions.values() for scope in state.edition.scopes.values()}
        since_ms = min((self._cached_since(scope) for scope in scopes), default=wall_ms)
        after_ms, until_ms = min(since_ms, wall_ms) - bound_ms - 1, wall_ms + bound_ms
        self.barred_until_ms.clear()
        for instant, scope in calendar.possible_purges(after_ms, until_ms):
            self._purge_around(instant.occurrence, scope, instant.at_ms, instant.at_ms)
        for late in calendar.possible_late_purges(after_ms, until_ms):
            self._purge_around(*late)
        self._next_change_ms = calendar.next_change_ms(wall_ms + bound_ms)

    def _purge_around(self, occurrence: Occurrence, scope: Scope, earliest_ms: int, latest_ms: int) -> None:
        """Purges a scope for an occurrence that is due between `earliest_ms` and `latest_ms`, and bars it
        from use until one bound later. While no upper bound is known (NEVER_MS) the scope stays barred.
        """
        barred_until_ms = latest_ms + self.bound_ms
        if barred_until_ms >= self.wall_ms:
            previous_ms = self.barred_until_ms.get(scope, BEFORE_ALL_MS)
            self.barred_until_ms[scope] = max(barred_until_ms, previous_ms)
        known_ms = latest_ms if latest_ms < NEVER_MS else earliest_ms
        if self._cached_since(scope) < known_ms + self.bound_ms:
            self._add_purge(occurrence, scope, max(self.wall_ms, known_ms + self.bound_ms))

    def _add_purge(self, occurrence: Occurrence, scope: Scope, cached_since_ms: int) -> None:
        purge = ExecutedPurge(occurrence, scope, self.wall_ms)
        self.executed.append(purge)
        self._purge_count += 1
        if scope.kind == "all":
            self.all_cached_since_ms = cached_since_ms
        else:
            self.cached_since_ms[scope] = cached_since_ms
        for pending_scope, purges in self.pending:
            if pending_scope == scope:
                purges.append(purge)  # one purge per scope, however many days it makes up for
                return
        self.pending.append((scope, [purge]))

    def _cached_since(self, scope: Scope) -> int:
        return max(self.all_cached_since_ms, self.cached_since_ms.get(scope, BEFORE_ALL_MS))

    # --- outputs: purges to execute, readiness and events ---

    def next_purge(self) -> PendingPurge | None:
        """The next purge to execute at once, None if there is none; `purge_executed` must follow each."""
        if not self.pending:
            return None
        scope, purges = self.pending[0]
        return PendingPurge(scope, tuple(each.occurrence for each in purges))

    def purge_executed(self, dropped: int) -> None:
        """Records that the scope of `next_purge` was purged; `dropped`: count of cached objects in it."""
        _, purges = self.pending.popleft()
        for number, purge in enumerate(purges):
            purge.dropped = dropped if number == len(purges) - 1 else 0

    def may_serve(self, volume: int, tenant: str) -> bool:
        """Whether cached objects may be used, as of the last update; always True without a site."""
        if self.own_calendar is None:
            return True
        if any(
            self.wall_ms <= until_ms and scope.covers(volume, tenant)
            for scope, until_ms in self.barred_until_ms.items()
        ):
            return False
        return not self.pending and self.is_ready()

    def is_ready(self) -> bool:
        """Whether the gateway is ready to use cached objects."""
        return self.not_ready_reason() == ""

    def not_ready_reason(self) -> str:
        """Why cached objects may not be used now; empty if they may."""
        calendar = self.own_calendar
        if calendar is None:
            return ""
        if not self.clock.trusted:
            return "its clock is not confirmed by another gateway's"
        if not self.is_recovered():
            return "its disk is new, and too few edges told it what it may have known"
        if calendar.missing:
            return "an edition that another edge took is not here"
        if not calendar.is_up_to_date(self.wall_ms + self.bound_ms, self.name, self.connected_edges()):
            return "it has not heard from more than half of its site's edges lately"
        in_force = calendar.edition_in_force(self.wall_ms)
        if in_force is None:
            return "no edition of its calendar is in force"
        if in_force.complete_until_ms <= self.wall_ms + self.bound_ms:
            return "the calendar has no instants beyond now"
        return ""

    def connected_edges(self) -> list[str]:
        """The recovered edges of the own site with a status within `notice_ms`, this edge included."""
        return self.connectivity.connected(self.now)

    def next_event(self) -> tuple[str, dict[str, Any]] | None:
        """Channel and body of the next event to append, None if there is none. The caller appends it and
        passes the entry to `event` before it calls again.
        """
        calendar = self.own_calendar
        if calendar is None:
            return None
        channel = f"calendar/{self.site}"
        if self.new_disk_incarnation:
            known = calendar.disks.new_disks.get(self.name, NewDisk(0, 0))
            if known.incarnation < self.new_disk_incarnation:
                return channel, encode_event(DiskNew(self.site, self.name))
            self.new_disk_incarnation = 0
        edition = calendar.next_to_accept(self.name)
        if edition is not None:
            accepted = EditionAccepted(self.site, self.name, edition.number, edition.id)
            return channel, encode_event(accepted)
        if not self.is_recovered():
            recovered = self._recovery_event(calendar)
            return None if recovered is None else (channel, encode_event(recovered))
        # Written after all acceptances, so an edge that receives it has received those too.
        disk = calendar.next_to_acknowledge(self.name)
        if disk is not None:
            return channel, encode_event(DiskAcknowledged(self.site, self.name, disk))
        unsettled = self.unsettled_occurrences()
        return (f"purges/{self.site}", self._settlement(unsettled)) if unsettled else None

    def _recovery_event(self, calendar: SiteCalendar) -> DiskRecovered | None:
        if not self.clock.trusted:
            return None
        new = self.connectivity.connected_not_recovered(self.now)
        bootstrapped_with = calendar.recovery(self.name, self.connected_edges(), new, self.wall_ms)
        if bootstrapped_with is None:
            return None
        incarnation = calendar.disks.new_disks[self.name].incarnation
        return DiskRecovered(self.site, self.name, incarnation, bootstrapped_with)

    def unsettled_occurrences(self) -> list[DueOccurrence]:
        """The due occurrences of one rule, with known times, that this edge has not settled yet."""
        calendar = self.own_calendar
        if calendar is None or not self.is_ready() or self.pending:
            return []
        records = self.settlements[self.site]
        state = (calendar.revision, records.count, self._purge_count, self._next_change_ms)
        if state == self._settled_state:
            return []
        first_ms = max(calendar.first_accepted_ms.get(self.name, NEVER_MS), self.wall_ms - MAX_CATCH_UP_MS)
        due = calendar.due_occurrences(first_ms - 1, self.wall_ms + self.bound_ms)
        unsettled = [each for each in due if records.find(self.name, each.occurrence) is None]
        if not unsettled:
            self._settled_state = state
        return [each for each in unsettled if each.occurrence.rule == unsettled[0].occurrence.rule]

    def _settlement(self, unsettled: list[DueOccurrence]) -> dict[str, Any]:
        last = unsettled[-1]
        at_ms, dropped = self._execution_of(last)
        event = PurgeFired(
            site=self.site,
            rule=last.occurrence.rule,
            last_date=max(each.occurrence.date for each in unsettled),
            edge=self.name,
            at=at_ms,
            late_ms=at_ms - last.due_ms,
            edition=last.number,
            dropped=dropped,
        )
        if len(unsettled) > 1:
            event.first_date = min(each.occurrence.date for each in unsettled)
        return encode_settlement(event)

    def _execution_of(self, due: DueOccurrence) -> tuple[int, int]:
        """When this incarnation executed the purge of an occurrence, in ms, and the count of purged objects.
        If it began after the occurrence was due, it had cached nothing before: the count is 0.
        """
        executed = [each for each in self.executed if each.occurrence == due.occurrence]
        if executed:
            return executed[-1].at_ms, sum(each.dropped for each in executed)
        return max(self.started_ms, min(self.wall_ms, due.due_ms)), 0

    # --- new editions ---

    def _is_first_edge(self) -> bool:
        """Whether this edge is recovered, knows all editions in force, and has the lowest name of the
        recovered edges that it is connected to.
        """
        if self.own_calendar is None or not self.clock.trusted or not self.is_recovered():
            return False
        connected = self.connected_edges()
        at_ms = self.wall_ms + self.bound_ms
        up_to_date = self.own_calendar.is_up_to_date(at_ms, self.name, connected)
        return up_to_date and min(connected) == self.name

    def next_edition_number(self, settings_version: int, ahead_ms: int) -> int | None:
        """The number of the edition that this edge is to write now, None if none. An edition is written if
        the version of the settings is newer than the known one, or if the known instants end within
        `ahead_ms`. Called at each heartbeat interval.

        Only one edge writes it: the first by name of the connected recovered edges, when it has been that for
        `notice_ms` without interruption.
        """
        if self.own_calendar is None or not self._is_first_edge():
            self.first_edge_since = None
            return None
        if self.first_edge_since is None:
            self.first_edge_since = self.now
        # The wait prevents two writers. An edge that does not know yet of a recovered one with a lower name
        # learns it during the wait; if it wrote before that, its edition reaches the other one meanwhile.
        if self.now - self.first_edge_since < self.notice_ms * MS:
            return None
        highest = self.own_calendar.highest_edition()
        if highest is None:
            return settings_version
        if settings_version > highest.settings_version:
            return max(settings_version, highest.number + 1)
        ends_soon = highest.complete_until_ms - self.wall_ms < ahead_ms
        if settings_version == highest.settings_version and ends_soon:
            return highest.number + 1
        return None
