"""The subsystem of a fleet member that purges its object cache: its statuses, log entries and report.

`may_use_cache` is called before each answer from the cache. So a process that was stalled or disconnected
while a purge became due executes it before it answers, even if no heartbeat interval has passed since.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple, Protocol

import msgspec

from ochrecourse.common.object_cache import CachingGateway
from ochrecourse.common.runtime import Clock, now_ns
from ochrecourse.fleet.cached_objects import MAX_DISCARDED_PER_STEP
from ochrecourse.fleet.calendar_edition import InvalidCalendarEventError, Scope, parse_edition
from ochrecourse.fleet.clock_confidence import ClockReport, WallClockMonitor, clock_neighbours
from ochrecourse.fleet.entries import Entry, Heartbeat
from ochrecourse.fleet.member import FleetMember
from ochrecourse.fleet.object_cache import ObjectCacheSettings, PurgeableObjectCache
from ochrecourse.fleet.purge_report import purge_report
from ochrecourse.fleet.purge_schedule import DAY_MS, PurgeSchedule, PurgeSettings
from ochrecourse.settings.site_calendars import CalendarValueError, differences, edition, today

CLOCK_NEIGHBOURS = 3  # on each side: gateways whose clocks are compared, of the own site if it has more edges
DISCARD_INTERVAL_S = 0.001  # between two steps of a purge, so that the event loop can serve requests
CLOCK_INTERVAL_NS = 5_000_000_000  # between reports of a trusted clock, if no peer's epoch changes
MAX_INCARNATIONS = 16  # per status; editions accepted by older incarnations have been replaced
MAX_LOGGED_DIFFERENCES = 5  # per edition


class Purgeable(Protocol):
    """The interface of a cache that purges use."""

    def drop(self, scope: Scope) -> int:
        """Invalidates all cached objects of a scope; returns their count."""

    def step(self, max_objects: int = MAX_DISCARDED_PER_STEP) -> bool:
        """Removes up to `max_objects` invalidated objects; returns True if more are left."""


class IncarnationEnd(NamedTuple):
    """An incarnation of an edge, and the sequence number of its last entry in the calendar's channel."""

    incarnation: int
    sequence: int


class PurgeStatus(
    msgspec.Struct, rename={"edges_digest": "edges", "incarnations": "lives", "recovered": "whole"}
):
    """An edge's status in its heartbeat. `edges_digest`: digest of its site's name and edges; `incarnations`:
    its own ones; `recovered`: whether it knows all editions it accepted (disk_recovery.py), not sent by older
    versions.
    """

    clock: ClockReport
    edges_digest: str
    incarnations: list[IncarnationEnd] = []
    recovered: bool = True


class ReceivedStatus(NamedTuple):
    """The last status of another gateway, as received and decoded."""

    encoded: bytes
    status: PurgeStatus


@dataclass(slots=True)
class PurgeEnvironment:
    """The functions of the host that the subsystem uses. `wall_ms`: the wall clock in ms since 1970;
    `heartbeats`: the newest by gateway name; `has_entries`: whether the log has all entries of a writer's
    incarnation up to a sequence number.
    """

    clock: Clock
    wall_ms: Callable[[], int]
    heartbeats: Callable[[], Mapping[str, Heartbeat]]
    has_entries: Callable[[str, int, int], bool]
    log_event: Callable[..., None]


class PurgeSubsystem:
    """Purges as a subsystem of the member (subsystem.Subsystem). `site`: the settings of the gateway's own
    site, None if it has none; `edition_days`: number of days that an edition covers.
    """

    name = "purges"

    def __init__(
        self,
        schedule: PurgeSchedule,
        site: Mapping[str, Any] | None,
        edition_days: int,
        environment: PurgeEnvironment,
    ) -> None:
        self.schedule = schedule
        self.site = site
        self.edition_days = edition_days
        self.environment = environment
        self.cache: Purgeable | None = None
        # By edge, a heartbeat whose entries are still missing here. It is retained while newer ones arrive.
        self._pending_heartbeats: dict[str, Heartbeat] = {}
        self._statuses: dict[str, ReceivedStatus] = {}
        # Own incarnations that wrote calendar entries, with the sequence number of the last one.
        self._incarnations: dict[int, int] = {}
        self._encoded_at, self._encoded_status = -CLOCK_INTERVAL_NS, b""
        self._encoded_recovered = True
        self._discarding = False
        self._logged_reason = "begin"

    # --- called before each answer ---

    def may_use_cache(self, volume: int, tenant: str) -> bool:
        """Whether a cached object of this volume and tenant may be used now."""
        self._execute_purges()
        return self.schedule.may_serve(volume, tenant)

    def _execute_purges(self) -> None:
        schedule = self.schedule
        schedule.update_time(now_ns(self.environment.clock), self.environment.wall_ms())
        while (purge := schedule.next_purge()) is not None:
            count = self.cache.drop(purge.scope) if self.cache is not None else 0
            schedule.purge_executed(count)
            if purge.occurrences or count:
                reasons = [f"{rule} of {date}" for rule, date in purge.occurrences] or [
                    "the clock was in doubt"
                ]
                self.environment.log_event(
                    "copies dropped", scope=purge.scope.kind, of=purge.scope.name, copies=count, why=reasons
                )
            self._discard()

    def _discard(self) -> None:
        """Removes purged objects in bounded steps, so that a large purge does not block the event loop."""
        if self.cache is not None and not self._discarding and self.cache.step():
            self._discarding = True
            self.environment.clock.callLater(DISCARD_INTERVAL_S, self._continue_discarding)

    def _continue_discarding(self) -> None:
        self._discarding = False
        self._discard()

    # --- called by the member (subsystem.Subsystem) ---

    def status(self, now: int) -> bytes | None:
        """The encoded status for the next heartbeat."""
        # An unchanged status is not sent again. A clock that is not yet trusted is in each heartbeat.
        recovered = self.schedule.is_recovered()
        due = now - self._encoded_at >= CLOCK_INTERVAL_NS or recovered is not self._encoded_recovered
        if due or not self.schedule.clock.trusted:
            self._encoded_at, self._encoded_recovered = now, recovered
            ends = [IncarnationEnd(*each) for each in sorted(self._incarnations.items())]
            digest = self.schedule.connectivity.digest
            status = PurgeStatus(self.schedule.clock.report(), digest, ends[-MAX_INCARNATIONS:], recovered)
            self._encoded_status = msgspec.json.encode(status)
        return self._encoded_status

    def status_received(self, name: str, zone: int, status: bytes, now: int) -> None:
        """Records another gateway's status. Raises msgspec.DecodeError, a ValueError, if it is invalid."""
        previous = self._statuses.get(name)
        if previous is not None and previous.encoded == status:
            decoded, clock_report = previous.status, None
        else:
            decoded = msgspec.json.decode(status, type=PurgeStatus)
            clock_report = decoded.clock
        if previous is None or previous.status.clock.epoch != decoded.clock.epoch:
            self._encoded_at = now - CLOCK_INTERVAL_NS  # it awaits other clocks' reports: send one at once
        self._statuses[name] = ReceivedStatus(status, decoded)
        self._execute_purges()
        self.schedule.status_received(name, clock_report, decoded.edges_digest, decoded.recovered)

    def entry_received(self, entry: Entry, now: int) -> None:
        """Records a new entry of the log."""
        self.schedule.event(entry)
        if entry.channel != f"calendar/{self.schedule.site}":
            return
        self._compare_edition(entry)
        if entry.writer == self.schedule.name:
            self._incarnations[entry.incarnation] = max(
                entry.seq, self._incarnations.get(entry.incarnation, 0)
            )

    def has_written(self) -> bool:
        """Whether the log has an entry of this gateway in its site's calendar channel."""
        return bool(self._incarnations)

    def _compare_edition(self, entry: Entry) -> None:
        """Logs an edition that is invalid, or whose instants differ from those computed here by its rules."""
        try:
            body = msgspec.json.decode(entry.body)
        except msgspec.DecodeError:
            return
        if not isinstance(body, dict) or body.get("what") != "edition":
            return
        log_event, site = self.environment.log_event, self.schedule.site
        try:
            parse_edition(body, entry.position)
        except InvalidCalendarEventError as error:
            log_event("calendar refused", site=site, by=entry.writer, why=str(error))
            return
        if "as" not in body or entry.writer == self.schedule.name:
            return
        found = differences(body)
        if found:
            log_event(
                "calendar differs", site=site, edition=body.get("number"), by=entry.writer,
                tzdata=body.get("tzdata"), differences=len(found), first=found[:MAX_LOGGED_DIFFERENCES]
            )  # fmt: skip

    def next_entry(self, now: int, reached: Mapping[str, int]) -> tuple[str, object] | None:
        """Channel and value of the next entry to append, None if there is none."""
        self._execute_purges()
        event: tuple[str, object] | None = self.schedule.next_event()
        if event is not None or self.site is None:
            return event
        ahead_ms = self.edition_days * DAY_MS // 2
        number = self.schedule.next_edition_number(self.site["edition"], ahead_ms)
        if number is None:
            return None
        try:
            first_date = today(self.site["zone"], self.environment.wall_ms())
            body = edition(self.site, number, first_date, self.edition_days)
        except CalendarValueError as error:  # for example, holidays that are not known so far ahead
            self.environment.log_event("calendar not written", site=self.schedule.site, why=str(error))
            return None
        return f"calendar/{self.schedule.site}", body

    def node_rates(self, now: int) -> Mapping[int, float]:
        """Returns no rate limits: purges do not limit nodes."""
        return {}

    def beat_passed(self, now: int) -> None:
        """Advances watermarks and executes due purges; called at each heartbeat interval."""
        heartbeats = self.environment.heartbeats()
        calendar = self.schedule.own_calendar
        edges = calendar.edges if calendar is not None else ()
        for name, heartbeat in ((name, heartbeats[name]) for name in edges if name in heartbeats):
            pending = self._pending_heartbeats.get(name)
            if pending is None or pending.incarnation != heartbeat.incarnation:
                pending = self._pending_heartbeats[name] = heartbeat
            for each in (pending, heartbeat):
                if self._is_complete(each):
                    # An entry with the same ms and a higher counter may follow the promise.
                    self.schedule.advance_watermark(name, each.promise.ms - 1)
                    self._pending_heartbeats[name] = heartbeat
        self._execute_purges()
        reason = self.schedule.not_ready_reason()
        if reason != self._logged_reason:
            self._logged_reason = reason
            text = "copies are used" if not reason else "copies are not used"
            self.environment.log_event(text, site=self.schedule.site, why=reason)

    def _is_complete(self, heartbeat: Heartbeat) -> bool:
        """Whether the log has all entries that a heartbeat reports, also those of earlier incarnations."""
        ends: list[tuple[int, int]] = [
            *heartbeat.earlier_incarnations,
            (heartbeat.incarnation, heartbeat.seq),
        ]
        if heartbeat.name != self.schedule.name:
            received = self._statuses.get(heartbeat.name)
            if received is None or heartbeat.statuses.get(self.name) != received.encoded:
                return False  # no status, or one that could not be decoded
            ends += received.status.incarnations
        has_entries = self.environment.has_entries
        return all(has_entries(heartbeat.name, incarnation, sequence) for incarnation, sequence in ends)

    # --- for operators ---

    def figures(self) -> dict[str, float]:
        """The metrics' values by name."""
        figures: dict[str, float] = {"copies_sure": float(self.schedule.is_ready())}
        if isinstance(self.cache, PurgeableObjectCache):
            counts = self.cache.counts.report()
            figures["copies_held"] = len(self.cache.store.objects)
            figures["copies_bytes"] = self.cache.store.objects.currsize
            figures["copies_dropped_total"] = counts["dropped"]
            for way in ("from_copy", "joined", "fetched", "not_sure"):
                figures[f'copies_reads_total{{way="{way}"}}'] = counts[way]
        return figures

    def report(self) -> dict[str, Any]:
        """The report of purges and of cached reads for operators."""
        self._execute_purges()
        report = purge_report(self.schedule)
        if isinstance(self.cache, PurgeableObjectCache):
            report["copies"] = {
                "held": len(self.cache.store.objects),
                "bytes": self.cache.store.objects.currsize,
                **self.cache.counts.report(),
            }
        return report


def register_purges(
    member: FleetMember,
    record: Mapping[str, Any],
    gateway: CachingGateway,
    clock: Clock,
    log_event: Callable[..., None],
) -> PurgeSubsystem | None:
    """Registers the object cache and the purges that the settings `fleet.copies`, `fleet.purges` and `sites`
    configure. Returns None if neither is configured.
    """
    settings, name = record["fleet"], record["gateway"]["name"]
    if "copies" not in settings and "purges" not in settings:
        return None
    sites = record.get("sites", []) if "purges" in settings else []
    site = next((each for each in sites if name in each["edges"]), None)
    rules = settings.get("purges", {"notice": 0, "days": 0})
    chains = member.log.chains

    def has_entries(writer: str, incarnation: int, sequence: int) -> bool:
        chain = chains.get((writer, incarnation))
        return not sequence or (chain is not None and chain.last >= sequence)

    schedule = _make_schedule(member, name, site, settings, clock)
    environment = PurgeEnvironment(
        clock, member.wall_ms, lambda: member.members.heartbeats, has_entries, log_event
    )
    subsystem = PurgeSubsystem(schedule, site, rules["days"], environment)
    if "copies" in settings:
        copies = settings["copies"]
        cache_settings = ObjectCacheSettings(
            copies["products"], round(copies["bytes"]), round(copies["largest"])
        )
        cache = PurgeableObjectCache(gateway, cache_settings, subsystem.may_use_cache, lambda: now_ns(clock))
        subsystem.cache = gateway.object_cache = cache
    member.register(subsystem)
    damaged = [*member.log_store.notes, *getattr(member.log_store.journal, "damage_reports", ())]
    if site is not None and (damaged or not subsystem.has_written()):
        # The disk is new, lost or damaged: this edge may lack editions that it accepted.
        schedule.disk_is_new(member.log.incarnation)
    return subsystem


def _make_schedule(
    member: FleetMember,
    name: str,
    site: Mapping[str, Any] | None,
    settings: Mapping[str, Any],
    clock: Clock,
) -> PurgeSchedule:
    now, wall_ms = now_ns(clock), member.wall_ms()
    compared = [*member.peer_addresses.by_name]
    if site is not None and len(site["edges"]) > CLOCK_NEIGHBOURS:
        compared = site["edges"]
    neighbours = clock_neighbours(name, compared, CLOCK_NEIGHBOURS)
    wall_clock = WallClockMonitor(name, round(settings["clock_bound"]), neighbours, now, wall_ms)
    notice_ms = round(settings.get("purges", {"notice": 0})["notice"])
    # Calendars and settlements are kept only for the own site; those of other sites are only in the log.
    site_name, edges = (site["name"], {site["name"]: site["edges"]}) if site is not None else ("", {})
    return PurgeSchedule(PurgeSettings(name, site_name, edges, notice_ms), wall_clock, now, wall_ms)
