"""Lodges the purges in a gateway's part of the fleet: tells the time, hands on what was heard, drops copies.

A read asks `may` before each answer from a copy. So a process that stood still over a moment, or was cut off,
sees it before it answers, whether or not a beat came first.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, Protocol

import msgspec

from ochrecourse.settings.site_calendars import CalendarValueError, differences, edition, today
from ochrecourse.fleet.calendar_edition import InvalidCalendarEventError, Scope, parse_edition
from ochrecourse.fleet.clock_confidence import ClockReport, WallClockMonitor, clock_neighbours
from ochrecourse.fleet.entries import Entry, Row
from ochrecourse.fleet.cached_objects import MAX_DISCARDED_PER_STEP
from ochrecourse.fleet.object_cache import ObjectCacheSettings, PurgeableObjectCache
from ochrecourse.fleet.member import FleetMember
from ochrecourse.fleet.purge_report import purge_report
from ochrecourse.fleet.purge_schedule import DAY_MS, PurgeSchedule, PurgeSettings
from ochrecourse.common.object_cache import CachingGateway
from ochrecourse.common.runtime import Clock, now_ns

MATES = 3  # gateways before and behind it whose clocks one asks for, of its site if there are more
BETWEEN = 0.001  # s between two steps of a drop, in which the loop serves others
CLOCK_EVERY = (
    5_000_000_000  # ns between two tellings of a clock that is believed and that nobody new asks for
)
LIVES = 16  # lives of an edge that are told; what older ones took was replaced long ago
NAMED = 5  # differences of one edition that are named in the log


class Dropper(Protocol):
    """What is needed of copies."""

    def drop(self, scope: Scope) -> int: ...

    def step(self, max_objects: int = MAX_DISCARDED_PER_STEP) -> bool: ...


class Sight(msgspec.Struct):
    """What an edge tells of itself at each beat."""

    clock: ClockReport
    edges: str  # the digest of its site's name and edges
    lives: list[tuple[int, int]] = []  # its earlier ones, and the last entry of each about the calendar
    whole: bool = True  # it knows what it once took (site_calendar.py); one of an older version does not say


class Purger:
    """A subsystem of the member. `site`: the settings' own site, None if the gateway is of none;
    `rows`: what gateways say of themselves now; `holds`: whether a name's life is held up to an entry.
    """

    name = "purges"

    def __init__(
        self,
        purges: PurgeSchedule,
        site: Mapping[str, Any] | None,
        days: int,
        clock: Clock,
        wall_ms: Callable[[], int],
        rows: Callable[[], Mapping[str, Row]],
        holds: Callable[[str, int, int], bool],
        say: Callable[..., None],
    ) -> None:
        self.purges = purges
        self.site = site
        self.days = days
        self.clock = clock
        self.wall_ms = wall_ms
        self.rows = rows
        self.holds = holds
        self.say = say
        self.copies: Dropper | None = None
        self._waiting: dict[str, Row] = {}  # rows whose entries are awaited while newer ones come
        self._heard: dict[str, tuple[bytes, Sight]] = {}
        self._lives: dict[int, int] = {}  # own ones that wrote of the calendar, with the last such entry
        self._told_at, self._told = -CLOCK_EVERY, b""
        self._told_whole = True
        self._stepping = False
        self._why = "begin"

    # --- before each answer ---

    def may(self, volume: int, plan: str) -> bool:
        """Whether an answer of this volume and plan may rest on a copy now."""
        self._look()
        return self.purges.may_serve(volume, plan)

    def _look(self) -> None:
        purges = self.purges
        purges.update_time(now_ns(self.clock), self.wall_ms())
        while (due := purges.next_purge()) is not None:
            count = self.copies.drop(due.scope) if self.copies is not None else 0
            purges.purge_executed(count)
            if due.occurrences or count:
                why = [f"{rule} of {date}" for rule, date in due.occurrences] or ["the clock was in doubt"]
                self.say("copies dropped", scope=due.scope.kind, of=due.scope.name, copies=count, why=why)
            self._step()

    def _step(self) -> None:
        """Copies go in bounded steps, so that a large purge holds up nobody."""
        if self.copies is not None and not self._stepping and self.copies.step():
            self._stepping = True
            self.clock.callLater(BETWEEN, self._again)

    def _again(self) -> None:
        self._stepping = False
        self._step()

    # --- the member's calls (subsystem.Subsystem) ---

    def sight(self, now: int) -> bytes | None:
        # What does not change costs nothing on the way. A clock that is to be confirmed is told at each beat.
        whole = self.purges.is_recovered()
        due = now - self._told_at >= CLOCK_EVERY or whole is not self._told_whole
        if due or not self.purges.clock.trusted:
            self._told_at, self._told_whole = now, whole
            lives = sorted(self._lives.items())[-LIVES:]
            sight = Sight(self.purges.clock.report(), self.purges.connectivity.digest, lives, whole)
            self._told = msgspec.json.encode(sight)
        return self._told

    def heard(self, name: str, zone: int, told: bytes, now: int) -> None:
        """Raises ValueError (msgspec.DecodeError)."""
        before = self._heard.get(name)
        news = before is None or before[0] != told
        sight = msgspec.json.decode(told, type=Sight) if before is None or news else before[1]
        if before is None or before[1].clock.epoch != sight.clock.epoch:
            self._told_at = now - CLOCK_EVERY  # it waits for others' clocks: an answer goes out at once
        self._heard[name] = (told, sight)
        self._look()
        self.purges.status_received(name, sight.clock if news else None, sight.edges, sight.whole)

    def event(self, entry: Entry, now: int) -> None:
        self.purges.event(entry)
        if entry.channel != f"calendar/{self.purges.site}":
            return
        self._compare(entry)
        if entry.writer == self.purges.name:
            self._lives[entry.life] = max(entry.seq, self._lives.get(entry.life, 0))

    def wrote(self) -> bool:
        """Whether an entry of this gateway's about its calendar is held."""
        return bool(self._lives)

    def _compare(self, entry: Entry) -> None:
        try:
            body = msgspec.json.decode(entry.body)
        except msgspec.DecodeError:
            return
        if not isinstance(body, dict) or body.get("what") != "edition":
            return
        try:
            parse_edition(body, entry.place)
        except InvalidCalendarEventError as trouble:
            self.say("calendar refused", site=self.purges.site, by=entry.writer, why=str(trouble))
            return
        if "as" in body and entry.writer != self.purges.name:
            told = differences(body)
            if told:
                self.say(
                    "calendar differs", site=self.purges.site, edition=body.get("number"), by=entry.writer,
                    tzdata=body.get("tzdata"), differences=len(told), first=told[:NAMED]
                )  # fmt: skip

    def wants(self, now: int, reached: Mapping[str, int]) -> tuple[str, object] | None:
        self._look()
        wanted: tuple[str, object] | None = self.purges.next_event()
        if wanted is not None or self.site is None:
            return wanted
        number = self.purges.next_edition_number(self.site["edition"], self.days * DAY_MS // 2)
        if number is None:
            return None
        try:
            body = edition(self.site, number, today(self.site["zone"], self.wall_ms()), self.days)
        except CalendarValueError as trouble:  # a region whose holidays end, say
            self.say("calendar not written", site=self.purges.site, why=str(trouble))
            return None
        return f"calendar/{self.purges.site}", body

    def bounds(self, now: int) -> Mapping[int, float]:
        return {}

    def turn(self, now: int) -> None:
        rows = self.rows()
        edges = self.purges.own_calendar.edges if self.purges.own_calendar is not None else ()
        for name, row in ((name, rows[name]) for name in edges if name in rows):
            waiting = self._waiting.get(name)
            if waiting is None or waiting.life != row.life:
                waiting = self._waiting[name] = row
            for each in (waiting, row):
                if self._whole(each):
                    # Behind a promise may stand what has its very ms, with a further turn.
                    self.purges.advance_watermark(name, each.promise.ms - 1)
                    self._waiting[name] = row
        self._look()
        why = self.purges.not_ready_reason()
        if why != self._why:
            self._why = why
            self.say("copies are used" if not why else "copies are not used", site=self.purges.site, why=why)

    def figures(self) -> dict[str, float]:
        """What the metrics page shows, by name."""
        told: dict[str, float] = {"copies_sure": float(self.purges.is_ready())}
        if isinstance(self.copies, PurgeableObjectCache):
            counts = self.copies.counts.report()
            told["copies_held"] = len(self.copies.store.objects)
            told["copies_bytes"] = self.copies.store.objects.currsize
            told["copies_dropped_total"] = counts["dropped"]
            for way in ("from_copy", "joined", "fetched", "not_sure"):
                told[f'copies_reads_total{{way="{way}"}}'] = counts[way]
        return told

    def _whole(self, row: Row) -> bool:
        """Whether all that a row tells of is held here; what was taken in earlier lives still counts."""
        ends = [*row.before, (row.life, row.seq)]
        if row.name != self.purges.name:
            heard = self._heard.get(row.name)
            if heard is None or row.told.get(self.name) != heard[0]:
                return False  # it tells nothing of itself, or what it tells was refused
            ends += heard[1].lives
        return all(self.holds(row.name, life, seq) for life, seq in ends)

    def report(self) -> dict[str, Any]:
        """The record of purges, and what became of reads."""
        self._look()
        told = purge_report(self.purges)
        if isinstance(self.copies, PurgeableObjectCache):
            told["copies"] = {
                "held": len(self.copies.store.objects),
                "bytes": self.copies.store.objects.currsize,
                **self.copies.counts.report(),
            }
        return told


def lodge(
    part: FleetMember,
    record: Mapping[str, Any],
    gateway: CachingGateway,
    clock: Clock,
    say: Callable[..., None],
) -> Purger | None:
    """Lodges what the settings' `fleet.copies`, `fleet.purges` and `sites` ask for; None if nothing."""
    said, name = record["fleet"], record["gateway"]["name"]
    if "copies" not in said and "purges" not in said:
        return None
    sites = record.get("sites", []) if "purges" in said else []
    own = next((site for site in sites if name in site["edges"]), None)
    rules = said.get("purges", {"notice": 0, "days": 0})
    now, wall = now_ns(clock), part.wall_ms()
    chains = part.log.chains

    def holds(writer: str, life: int, seq: int) -> bool:
        chain = chains.get((writer, life))
        return not seq or (chain is not None and chain.last >= seq)

    mates = own["edges"] if own is not None and len(own["edges"]) > MATES else [*part.peer_addresses.by_name]
    near = clock_neighbours(name, mates, MATES)
    wall_clock = WallClockMonitor(name, round(said["clock_bound"]), near, now, wall)
    # Of other sites nothing is kept beside the log: each site's record is with its own edges.
    site_name, edges = (own["name"], {own["name"]: own["edges"]}) if own is not None else ("", {})
    purge_settings = PurgeSettings(name, site_name, edges, round(rules["notice"]))
    purges = PurgeSchedule(purge_settings, wall_clock, now, wall)
    purger = Purger(
        purges, own, rules["days"], clock, part.wall_ms, lambda: part.members.rows, holds, say
    )  # fmt: skip
    if "copies" in said:
        figures = said["copies"]
        cache_settings = ObjectCacheSettings(
            figures["products"], round(figures["bytes"]), round(figures["largest"])
        )
        copies = PurgeableObjectCache(gateway, cache_settings, purger.may, lambda: now_ns(clock))
        purger.copies = gateway.object_cache = copies
    part.register(purger)
    damaged = [*part.log_store.notes, *getattr(part.log_store.journal, "damage_reports", ())]
    if own is not None and (damaged or not purger.wrote()):
        # Guards against an edge that no longer knows what it took: a disk that is lost, or that broke off.
        purges.disk_is_new(part.log.life)
    return purger
