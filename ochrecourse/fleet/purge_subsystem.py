"""The subsystem of a member that purges its object cache: statuses, entries of the log, and what operators
see.

A read asks `may_use_cache` before each answer from the cache. So a process that was stalled over a purge,
or was disconnected, notices it before it answers, whether or not a beat ran first.
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

CLOCK_NEIGHBOURS = 3  # gateways before and behind it whose clocks are compared, of its site if it has more
DISCARD_INTERVAL_S = 0.001  # between two steps of a purge, in which the event loop serves others
CLOCK_INTERVAL_NS = 5_000_000_000  # between reports of a clock that is trusted and that nobody new compares
MAX_INCARNATIONS = 16  # in a status; what older ones accepted was replaced long ago
MAX_LOGGED_DIFFERENCES = 5  # of one edition


class Purgeable(Protocol):
    """What a purge needs of a cache."""

    def drop(self, scope: Scope) -> int:
        """Bars all cached objects of a scope; returns their count."""

    def step(self, max_objects: int = MAX_DISCARDED_PER_STEP) -> bool:
        """Removes some of them; True if more is left."""


class IncarnationEnd(NamedTuple):
    """An incarnation of an edge, and the sequence of its last entry about the calendar."""

    incarnation: int
    sequence: int


class PurgeStatus(
    msgspec.Struct, rename={"edges_digest": "edges", "incarnations": "lives", "recovered": "whole"}
):
    """An edge's status in its heartbeat. `edges_digest`: of its site's name and edges; `incarnations`: its
    own; `recovered`: it knows what it once accepted (disk_recovery.py); older versions do not say.
    """

    clock: ClockReport
    edges_digest: str
    incarnations: list[IncarnationEnd] = []
    recovered: bool = True


class ReceivedStatus(NamedTuple):
    """The last status of another gateway, as it was received and decoded."""

    encoded: bytes
    status: PurgeStatus


@dataclass(slots=True)
class PurgeEnvironment:
    """What the subsystem needs of its host. `heartbeats`: the newest by name; `has_entries`: whether the log
    has the entries of a writer's incarnation up to a sequence.
    """

    clock: Clock
    wall_ms: Callable[[], int]
    heartbeats: Callable[[], Mapping[str, Heartbeat]]
    has_entries: Callable[[str, int, int], bool]
    log_event: Callable[..., None]


class PurgeSubsystem:
    """A subsystem of the member (subsystem.Subsystem). `site`: the settings' own site, None if the gateway is
    of none; `edition_days`: that an edition covers.
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
        self._awaited: dict[
            str, Heartbeat
        ] = {}  # heartbeats whose entries are awaited while newer ones arrive
        self._statuses: dict[str, ReceivedStatus] = {}
        self._incarnations: dict[int, int] = {}  # own ones that wrote of the calendar, with the last sequence
        self._encoded_at, self._encoded_status = -CLOCK_INTERVAL_NS, b""
        self._encoded_recovered = True
        self._discarding = False
        self._logged_reason = "begin"

    # --- before each answer ---

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
                why = [f"{rule} of {date}" for rule, date in purge.occurrences] or ["the clock was in doubt"]
                self.environment.log_event(
                    "copies dropped", scope=purge.scope.kind, of=purge.scope.name, copies=count, why=why
                )
            self._discard()

    def _discard(self) -> None:
        """Guards against a large purge that blocks the event loop: objects are removed in bounded steps."""
        if self.cache is not None and not self._discarding and self.cache.step():
            self._discarding = True
            self.environment.clock.callLater(DISCARD_INTERVAL_S, self._continue_discarding)

    def _continue_discarding(self) -> None:
        self._discarding = False
        self._discard()

    # --- the member's calls (subsystem.Subsystem) ---

    def status(self, now: int) -> bytes | None:
        """Its status for the next heartbeat."""
        # A status that does not change costs nothing on links. A clock to be confirmed is in each heartbeat.
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
        """Another gateway's status was received. Raises ValueError (msgspec.DecodeError)."""
        before = self._statuses.get(name)
        if before is not None and before.encoded == status:
            decoded, clock_report = before.status, None
        else:
            decoded = msgspec.json.decode(status, type=PurgeStatus)
            clock_report = decoded.clock
        if before is None or before.status.clock.epoch != decoded.clock.epoch:
            self._encoded_at = now - CLOCK_INTERVAL_NS  # it waits for other clocks: an answer is due at once
        self._statuses[name] = ReceivedStatus(status, decoded)
        self._execute_purges()
        self.schedule.status_received(name, clock_report, decoded.edges_digest, decoded.recovered)

    def entry_received(self, entry: Entry, now: int) -> None:
        """An entry is new in the log."""
        self.schedule.event(entry)
        if entry.channel != f"calendar/{self.schedule.site}":
            return
        self._compare_edition(entry)
        if entry.writer == self.schedule.name:
            self._incarnations[entry.incarnation] = max(
                entry.seq, self._incarnations.get(entry.incarnation, 0)
            )

    def has_written(self) -> bool:
        """Whether the log has an entry of this gateway about its calendar."""
        return bool(self._incarnations)

    def _compare_edition(self, entry: Entry) -> None:
        """Logs an edition that is invalid, or that this gateway would have written otherwise."""
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
        """Channel and value of an entry to append."""
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
        except CalendarValueError as error:  # a region whose holidays end, say
            self.environment.log_event("calendar not written", site=self.schedule.site, why=str(error))
            return None
        return f"calendar/{self.schedule.site}", body

    def node_rates(self, now: int) -> Mapping[int, float]:
        """No rate limits."""
        return {}

    def beat_passed(self, now: int) -> None:
        """A beat has passed."""
        heartbeats = self.environment.heartbeats()
        calendar = self.schedule.own_calendar
        edges = calendar.edges if calendar is not None else ()
        for name, heartbeat in ((name, heartbeats[name]) for name in edges if name in heartbeats):
            awaited = self._awaited.get(name)
            if awaited is None or awaited.incarnation != heartbeat.incarnation:
                awaited = self._awaited[name] = heartbeat
            for each in (awaited, heartbeat):
                if self._is_complete(each):
                    # After a promise may follow an entry of the same ms, with a higher counter.
                    self.schedule.advance_watermark(name, each.promise.ms - 1)
                    self._awaited[name] = heartbeat
        self._execute_purges()
        reason = self.schedule.not_ready_reason()
        if reason != self._logged_reason:
            self._logged_reason = reason
            text = "copies are used" if not reason else "copies are not used"
            self.environment.log_event(text, site=self.schedule.site, why=reason)

    def _is_complete(self, heartbeat: Heartbeat) -> bool:
        """Whether the log has all that a heartbeat reports; what earlier incarnations accepted counts too."""
        ends: list[tuple[int, int]] = [
            *heartbeat.earlier_incarnations,
            (heartbeat.incarnation, heartbeat.seq),
        ]
        if heartbeat.name != self.schedule.name:
            received = self._statuses.get(heartbeat.name)
            if received is None or heartbeat.statuses.get(self.name) != received.encoded:
                return False  # it has no status, or its status was refused
            ends += received.status.incarnations
        has_entries = self.environment.has_entries
        return all(has_entries(heartbeat.name, incarnation, sequence) for incarnation, sequence in ends)

    # --- for operators ---

    def figures(self) -> dict[str, float]:
        """Values by metric name."""
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
        """The record of purges, and what became of reads."""
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
    """Registers what the settings' `fleet.copies`, `fleet.purges` and `sites` ask for; None if nothing."""
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
        # Guards against an edge that no longer knows what it accepted: a disk that is lost or damaged.
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
    # Of other sites nothing is retained beside the log: each site's record is with its own edges.
    site_name, edges = (site["name"], {site["name"]: site["edges"]}) if site is not None else ("", {})
    return PurgeSchedule(PurgeSettings(name, site_name, edges, notice_ms), wall_clock, now, wall_ms)
