"""Which purge is due at one gateway, which was fired and settled, and who is owed. Free of I/O and clocks.

The gateway is an edge of one site at most. By its own wall clock, which is off by the bound at most, it drops
what a rule names a bound before the instant, and serves and holds nothing of it until a bound after. It uses
copies at all only while it is sure:

- its clock is believed (clock_confidence.py);
- it is whole: its disk is not new, or it knows again what it had taken (site_calendar.py);
- it has heard lately from more than half of the site's edges, each of them whole, itself counted, and holds
  all that they appended up to `notice` ago: so it knows every edition that is in force (site_calendar.py);
- an edition is in force, and its instants reach beyond now.

Otherwise a read asks a node. Dropping is safe at any time, so it is done at each instant of any edition that
may stand. What is told to others, one event `fired` for each rule and date, waits until it is known by which
edition the moment came. Every edge then says the same, whatever it had dropped before.
"""

from __future__ import annotations

import hashlib
from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any, NamedTuple

import msgspec

from ochrecourse.fleet.calendar_edition import BEFORE_ALL_MS, NEVER_MS, Edition, Instant, Occurrence, Scope
from ochrecourse.fleet.calendar_events import (
    DiskAcknowledged,
    DiskNew,
    DiskRecovered,
    EditionAccepted,
    encode_event,
)
from ochrecourse.fleet.edition_timeline import DueOccurrence
from ochrecourse.fleet.site_calendar import SiteCalendar
from ochrecourse.fleet.clock_confidence import ClockReport, WallClockMonitor
from ochrecourse.fleet.entries import Entry, Place
from ochrecourse.common.time_units import MS

DAY = 86_400_000  # ms
CATCH_UP = 40 * DAY  # moments longer ago are no longer settled: longer than any holiday, shorter than a log
KEPT = 512  # drops of this life that are remembered until they are settled
SETTLED = 64  # records of one edge and rule that are kept, the newest: more than CATCH_UP has days
SETTLERS = 4096  # edges and rules of a site that have records; what is more is of no edge or no rule
LISTED = 64  # purges of a site that a report lists, the newest ones


class Settled(NamedTuple):
    """What one edge says of one rule: it dropped what was there, for all dates from the first to the last."""

    edge: str
    rule: str
    first: str
    last: str
    at: int  # ms, by its own clock
    late_ms: int
    edition: int
    dropped: int
    place: Place

    def covers(self, moment: Occurrence) -> bool:
        return self.rule == moment.rule and self.first <= moment.date <= self.last


class BadSettlement(Exception):
    """An event of a channel `purges/SITE` that can't be read; the text says why."""


def settled_of(entry: Entry) -> Settled:
    """Raises BadSettlement."""
    try:
        body = msgspec.json.decode(entry.body)
    except msgspec.DecodeError:
        raise BadSettlement("not JSON") from None
    if not isinstance(body, dict) or body.get("what") != "fired":
        raise BadSettlement("what is fired")
    texts = [body.get(each) for each in ("edge", "rule", "date")]
    first = body.get("since", texts[2])
    if not all(isinstance(each, str) and len(each) <= 64 for each in (*texts, first)):
        raise BadSettlement("edge, rule and dates are texts")
    if texts[0] != entry.writer:
        raise BadSettlement("an edge settles for itself alone")
    figures = [body.get(each, 0) for each in ("at", "late_ms", "edition", "dropped")]
    if not all(isinstance(each, int) and not isinstance(each, bool) for each in figures):
        raise BadSettlement("times, edition and count are whole numbers")
    at, late_ms, edition, dropped = figures
    where = (entry.writer, str(texts[1]), str(first), str(texts[2]))
    return Settled(*where, at, late_ms, edition, dropped, entry.place)


class Records:
    """The settlement of one site: by rule, date and edge, one record each, the first in the log's order."""

    def __init__(self) -> None:
        self.by_edge: dict[tuple[str, str], list[Settled]] = {}  # by edge and rule, in order of their dates
        self.count = 0  # that ever came

    def add(self, settled: Settled) -> None:
        if (settled.edge, settled.rule) not in self.by_edge and len(self.by_edge) >= SETTLERS:
            raise BadSettlement("more edges and rules than a site has")
        known = self.by_edge.setdefault((settled.edge, settled.rule), [])
        if any(each.place == settled.place for each in known):
            return
        known.append(settled)
        known.sort(key=lambda each: (each.last, each.first, each.place))
        del known[:-SETTLED]
        self.count += 1

    def of(self, edge: str, moment: Occurrence) -> Settled | None:
        told = [each for each in self.by_edge.get((edge, moment.rule), ()) if each.covers(moment)]
        return min(told, key=lambda each: each.place, default=None)


@dataclass(slots=True)
class _Drop:
    """A drop of this life: when it was, by the wall clock in ms, and how many copies it took."""

    moment: Occurrence
    scope: Scope
    at: int
    dropped: int = 0


class ToDrop(NamedTuple):
    """What is to be dropped now, as it is pulled."""

    scope: Scope
    moments: tuple[Occurrence, ...]  # for which; none where a clock is in doubt


class Purges:
    """One gateway's purges. `site`: of which it is an edge, empty if of none; `edges`: by site, the names of
    its gateways; `notice` and the clock's bound in ms.
    """

    def __init__(
        self,
        name: str,
        site: str,
        edges: Mapping[str, Sequence[str]],
        notice: int,
        clock: WallClockMonitor,
        now: int,
        wall: int,
    ) -> None:
        self.name = name
        self.site = site
        self.notice = notice
        self.clock = clock
        self.bound = clock.bound_ms
        self.calendars = {each: SiteCalendar(each, names, notice) for each, names in edges.items()}
        self.records = {each: Records() for each in edges}
        self.bad: dict[str, int] = {}
        self.own = self.calendars.get(site)
        named = "\n".join((site, *(self.own.edges if self.own is not None else ())))
        self.edges_digest = hashlib.blake2b(named.encode(), digest_size=6).hexdigest()
        self.began = wall
        self.heard: dict[str, int] = {}  # ns, when an edge of the own site was last heard
        self.not_whole: dict[str, None] = {}  # of those: that say that their disk is new
        self.first_since: int | None = None  # ns, since when this edge is the one that writes editions
        self.starts_new = 0  # this life, until its word of a new disk is written; 0 with a disk from before
        self.unlike: dict[str, str] = {}  # edges that name others than this one does, by its digest
        self.clear: dict[Scope, int] = {}  # whatever is held was fetched after this, in ms
        self.clear_all = wall
        self.bars: dict[Scope, int] = {}  # until when nothing of it is served or held, in ms
        self.drops: deque[_Drop] = deque(maxlen=KEPT)
        self.to_drop: deque[tuple[Scope, list[_Drop]]] = deque()
        self.now, self.wall = now, wall
        self._believed = clock.trusted
        self._next = BEFORE_ALL_MS  # ms, when there is something to look at next
        self._seen = -1
        self._drops = 0
        self._told: tuple[int, ...] = ()  # at which state nothing was left to settle

    # --- what is known ---

    def event(self, entry: Entry) -> None:
        """An event of a channel `calendar/SITE` or `purges/SITE`, in any order; others are passed over."""
        kind, _, site = entry.channel.partition("/")
        if site not in self.calendars:
            return
        if kind == "calendar":
            self.calendars[site].event(entry)
        elif kind == "purges":
            try:
                settled = settled_of(entry)
                if settled.edge not in self.calendars[site].edges:
                    raise BadSettlement("it is of no edge of the site")
                self.records[site].add(settled)
            except BadSettlement as trouble:
                self.bad[str(trouble)] = self.bad.get(str(trouble), 0) + 1

    def promised(self, edge: str, ms: int) -> None:
        """All that this gateway appends with a stamp at or before `ms` is held here."""
        for calendar in self.calendars.values():
            calendar.advance_watermark(edge, ms)

    def disk_is_new(self, life: int) -> None:
        """This life began with nothing that an earlier one wrote of the calendar."""
        self.starts_new = life

    def whole(self) -> bool:
        """Whether this gateway knows what it once took, so that others may count on its word."""
        return self.own is None or (not self.starts_new and self.own.is_recovered(self.name))

    def hear(self, edge: str, clock: ClockReport | None, edges: str, whole: bool = True) -> None:
        """A gateway was heard just now: what it says of its clock if that is news, the digest of whom it
        takes for its site's edges, and whether it is whole.
        """
        if clock is not None:
            self.clock.report_received(edge, clock)
        if self.own is not None and edge in self.own.edges:
            if edges == self.edges_digest:
                self.heard[edge] = self.now
                self.unlike.pop(edge, None)
                if whole:
                    self.not_whole.pop(edge, None)
                else:
                    self.not_whole[edge] = None
            else:
                # Halves of two different lists need not meet: such an edge is not counted.
                self.heard.pop(edge, None)
                self.unlike[edge] = edges[:64]

    def look(self, now: int, wall: int) -> None:
        """The time now, ns by the monotonic clock and ms by the wall clock; called before each answer too."""
        jumped = not self.clock.record_reading(now, wall)
        self.now, self.wall = now, wall
        if self.own is None:
            return
        self.heard[self.name] = now
        if jumped or self.clock.trusted is not self._believed:
            # Whatever is held may be older than the clock that it was held by said.
            self._believed = self.clock.trusted
            self._clear_everything()
        if wall + self.bound >= self._next or self.own.revision != self._seen:
            self._look_at_calendar()

    def _clear_everything(self) -> None:
        self.clear.clear()
        self.bars.clear()
        self.clear_all = self.wall
        self.to_drop.append((Scope("all", ""), []))
        self._next = BEFORE_ALL_MS

    def _look_at_calendar(self) -> None:
        assert self.own is not None
        self._seen = self.own.revision
        wall, bound = self.wall, self.bound
        scopes = {scope for state in self.own.editions.values() for scope in state.edition.scopes.values()}
        since = min((self._clear_of(scope) for scope in scopes), default=wall)
        for instant, scope in self.own.possible_purges(since - bound, wall + bound):
            until = instant.at_ms + bound
            if until >= wall:
                self.bars[scope] = max(until, self.bars.get(scope, BEFORE_ALL_MS))
            if self._clear_of(scope) < until:
                self._drop(instant, scope, max(wall, until))
        for scope in [each for each, until in self.bars.items() if until < wall]:
            del self.bars[scope]
        self._next = self.own.next_change_ms(wall + bound)

    def _drop(self, instant: Instant, scope: Scope, clear: int) -> None:
        drop = _Drop(instant.occurrence, scope, self.wall)
        self.drops.append(drop)
        self._drops += 1
        if scope.kind == "all":
            self.clear_all = clear
        else:
            self.clear[scope] = clear
        for waiting, drops in self.to_drop:
            if waiting == scope:
                drops.append(drop)  # once, however many days it catches up
                return
        self.to_drop.append((scope, [drop]))

    def _clear_of(self, scope: Scope) -> int:
        return max(self.clear_all, self.clear.get(scope, BEFORE_ALL_MS))

    # --- what is pulled ---

    def next_to_drop(self) -> ToDrop | None:
        """What is to be dropped at once, one by one; `dropped` answers for each."""
        if not self.to_drop:
            return None
        scope, drops = self.to_drop[0]
        return ToDrop(scope, tuple(each.moment for each in drops))

    def dropped(self, copies: int) -> None:
        """The scope that `next_to_drop` named is barred; so many copies go with it."""
        _, drops = self.to_drop.popleft()
        for number, drop in enumerate(drops):
            drop.dropped = copies if number == len(drops) - 1 else 0

    def serves(self, volume: int, plan: str) -> bool:
        """Whether an answer may rest on a copy now, as of the last look; with no site there is no rule."""
        if self.own is None:
            return True
        if self.bars and any(
            self.wall <= until and scope.covers(volume, plan) for scope, until in self.bars.items()
        ):
            return False
        return not self.to_drop and self.sure()

    def sure(self) -> bool:
        return self.why_unsure() == ""

    def why_unsure(self) -> str:
        """Why no copy may be used now; empty if they may."""
        if self.own is None:
            return ""
        if not self.clock.trusted:
            return "its clock is not confirmed by another gateway's"
        if not self.whole():
            return "its disk is new, and too few edges told it what it may have known"
        if self.own.missing:
            return "an edition that another edge took is not here"
        if not self.own.is_up_to_date(self.wall + self.bound, self.name, self.fresh()):
            return "it has not heard from more than half of its site's edges lately"
        standing = self.own.edition_in_force(self.wall)
        if standing is None:
            return "no edition of its calendar is in force"
        if standing.complete_until_ms <= self.wall + self.bound:
            return "the calendar has no instants beyond now"
        return ""

    def fresh(self) -> list[str]:
        """The edges of the own site that were heard within `notice` and are whole; this one is among them."""
        return [edge for edge in self._lately() if edge not in self.not_whole]

    def _lately(self) -> list[str]:
        least = self.now - self.notice * MS
        return [edge for edge, at in sorted(self.heard.items()) if at >= least]

    def wants(self) -> tuple[str, dict[str, Any]] | None:
        """Channel and body of one event to append, pulled until None; it comes back through `event`."""
        if self.own is None:
            return None
        if self.starts_new:
            if self.own.disks.new_disks.get(self.name, (0, 0))[0] < self.starts_new:
                return f"calendar/{self.site}", encode_event(DiskNew(self.site, self.name))
            self.starts_new = 0
        edition = self.own.next_to_accept(self.name)
        if edition is not None:
            accepted = EditionAccepted(self.site, self.name, edition.number, edition.id)
            return f"calendar/{self.site}", encode_event(accepted)
        if not self.whole():
            new = [edge for edge in self._lately() if edge in self.not_whole]
            began = self.own.recovery(self.name, self.fresh(), new, self.wall) if self.clock.trusted else None
            if began is None:
                return None
            incarnation = self.own.disks.new_disks[self.name].incarnation
            recovered = DiskRecovered(self.site, self.name, incarnation, began)
            return f"calendar/{self.site}", encode_event(recovered)
        # After all that is to be taken: whoever reads this knows of that too.
        if (seen := self.own.next_to_acknowledge(self.name)) is not None:
            return f"calendar/{self.site}", encode_event(DiskAcknowledged(self.site, self.name, seen))
        owed = self.unsettled()
        return (f"purges/{self.site}", self._fired(owed)) if owed else None

    def unsettled(self) -> list[DueOccurrence]:
        """The moments of one rule that this edge dropped and did not tell yet, of those that are known."""
        if self.own is None or not self.sure() or self.to_drop:
            return []
        records = self.records[self.site]
        state = (self.own.revision, records.count, self._drops, self._next)
        if state == self._told:
            return []
        first = max(self.own.first_accepted_ms.get(self.name, NEVER_MS), self.wall - CATCH_UP)
        due = self.own.due_occurrences(first - 1, self.wall + self.bound)
        left = [each for each in due if records.of(self.name, each.occurrence) is None]
        if not left:
            self._told = state
        return [each for each in left if each.occurrence.rule == left[0].occurrence.rule]

    def _fired(self, owed: list[DueOccurrence]) -> dict[str, Any]:
        last = owed[-1]
        at, dropped = self._dropped_at(last)
        body: dict[str, Any] = {
            "what": "fired",
            "site": self.site,
            "rule": last.occurrence.rule,
            "date": max(each.occurrence.date for each in owed),
            "edge": self.name,
            "at": at,
            "late_ms": at - last.due_ms,
            "edition": last.number,
            "dropped": dropped,
        }
        if len(owed) > 1:
            body["since"] = min(each.occurrence.date for each in owed)
        return body

    def _dropped_at(self, due: DueOccurrence) -> tuple[int, int]:
        """When this life dropped for a moment; a life that began after it held nothing from before."""
        done = [each for each in self.drops if each.moment == due.occurrence]
        if done:
            return done[-1].at, sum(each.dropped for each in done)
        return max(self.began, min(self.wall, due.due_ms)), 0

    def _is_first(self) -> bool:
        """Whether this edge is whole, knows all that is in force, and is the first by name it heard of."""
        if self.own is None or not self.clock.trusted or not self.whole():
            return False
        fresh = self.fresh()
        return self.own.is_up_to_date(self.wall + self.bound, self.name, fresh) and min(fresh) == self.name

    def edition_due(self, wording: int, ahead: int) -> int | None:
        """The number of an edition that this edge should write now, if any: the settings' own `wording` is
        newer than what is known, or what they said runs out within `ahead` ms. Asked at each beat.

        One edge writes it: the first by name of those heard lately that are whole, once it has been that for
        `notice` at a stretch.
        """
        if self.own is None or not self._is_first():
            self.first_since = None
            return None
        if self.first_since is None:
            self.first_since = self.now
        # Guards against two writers: who does not know yet that a lower name is here and whole hears of it
        # meanwhile, or has written before, and then that arrives there.
        if self.now - self.first_since < self.notice * MS:
            return None
        highest = self.own.highest_edition()
        if highest is None:
            return wording
        if wording > highest.settings_version:
            return max(wording, highest.number + 1)
        if wording == highest.settings_version and highest.complete_until_ms - self.wall < ahead:
            return highest.number + 1
        return None

    # --- what is shown ---

    def editions(self) -> list[Edition]:
        """All that are held of the own site, the highest last."""
        held = self.own.editions.values() if self.own is not None else ()
        return sorted((each.edition for each in held), key=lambda each: each.rank)

    def report(self) -> dict[str, Any]:
        """The record by site and purge: which edges fired, when, how late, and which are owed."""
        sites: dict[str, Any] = {}
        for site, calendar in sorted(self.calendars.items()):
            standing, highest = calendar.edition_in_force(self.wall), calendar.highest_edition()
            purges = [
                self._record(site, due)
                for due in calendar.due_occurrences(self.wall - CATCH_UP, self.wall)[-LISTED:]
            ]
            sites[site] = {
                "edges": list(calendar.edges),
                "edition": None if standing is None else standing.number,
                "highest": None if highest is None else highest.number,
                "through": None if standing is None else standing.last_date,
                "bad_events": dict(sorted({**calendar.invalid_events, **self.bad}.items())),
                "purges": purges,
            }
        return {
            "site": self.site,
            "sure": self.sure(),
            "why_not": self.why_unsure(),
            "clock_believed": self.clock.trusted,
            "whole": self.whole(),
            "clocks_off": {peer: list(each) for peer, each in self.clock.peers_out_of_bound().items()},
            "edges_unlike": dict(sorted(self.unlike.items())),
            "sites": sites,
        }

    def _record(self, site: str, due: DueOccurrence) -> dict[str, Any]:
        calendar, records = self.calendars[site], self.records[site]
        fired, owed = {}, []
        for edge in calendar.edges:
            settled = records.of(edge, due.occurrence)
            if settled is not None:
                fired[edge] = {
                    "at": settled.at,
                    "late_ms": settled.late_ms,
                    "edition": settled.edition,
                    "dropped": settled.dropped,
                }
            elif calendar.first_accepted_ms.get(edge, 0) <= due.due_ms:
                owed.append(edge)
        return {
            "rule": due.occurrence.rule,
            "date": due.occurrence.date,
            "edition": due.number,
            "due": due.due_ms,
            "fired": fired,
            "owed": owed,
        }
