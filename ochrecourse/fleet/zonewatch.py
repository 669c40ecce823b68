"""Zones as a tenant of the fleet's part: legs that ended here go in, and out come sights, events and bounds.

What it all means is said in zones.py. Free of I/O, clocks and chance.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Protocol

import msgspec

from ochrecourse.fleet.entries import Entry, Stamp
from ochrecourse.fleet.standing import CHANNEL, WORDS, Standing, Standings, name_of
from ochrecourse.fleet.zones import Zones, order
from ochrecourse.common.request_records import RequestRecord, AttemptRecord
from ochrecourse.interface import Ending, Health, NodeEntry
from ochrecourse.common.time_units import MS

OVER_MS = 600_000  # ms after its end in which nobody uses a loan any more, whatever the clocks say
SMOOTH = 1 / 32  # weight of the newest leg in its product's usual time; single slow legs hardly move it
SILENT = 4  # times its product's usual time that a leg may be out before it counts as silent
LEAST_SILENT = 250 * MS  # and at the least; shorter is a pause of one process
LATE = LEAST_SILENT // 2  # by which a beat is late here, and with it all answers; then silence is no evidence


class OpenRequests(Protocol):
    """The requests of a gateway that are not over (gateway.request_log.RequestLog)."""

    requests: dict[int, RequestRecord]


class ZoneWatch:
    """One gateway's zones. `cold`: ns for which a node is cold after its start; `wall_ms`: ms since 1970;
    `beat`: ns between two turns, 0 where nobody keeps them."""

    name = "zones"

    def __init__(
        self, zones: Zones, books: OpenRequests, cold: int, wall_ms: Callable[[], int], beat: int = 0
    ) -> None:
        self.zones = zones
        self.books = books
        self.cold = cold
        self.wall_ms = wall_ms
        self.beat = beat
        self.turned = -1  # ns, the last turn
        self.late_until = -1  # ns, until when endings are this process's own doing
        self.pace: dict[int, float] = {}  # by product, ns that a leg usually takes
        self.silent: set[tuple[int, int]] = set()  # legs that were out for too long and are counted
        self.shown: dict[int, tuple[str, int]] = {}  # by zone, what people were last told of it

    def nodes_are(self, entries: Iterable[NodeEntry], now: int) -> None:
        """The whole list of nodes."""
        self.zones.nodes_are(
            {
                each.node: (
                    each.zone,
                    each.shard,
                    each.health is Health.READY,
                    each.started + self.cold if each.started else 0,
                )
                for each in entries
                if each.health is not Health.GONE
            },
            now,
        )

    def leg_over(self, story: RequestRecord, leg: AttemptRecord, now: int) -> None:
        """A leg came to its end."""
        if leg.ending is None:
            return
        if (story.number, leg.number) in self.silent:
            self.silent.discard((story.number, leg.number))
            if leg.ending is Ending.TIMEOUT:
                return  # counted when it had been silent for too long
        usual = self.pace.get(story.request_class, 0.0)
        if self._late(now):
            # Guards against a gateway whose own loop is slow: its timers ran before it read what had come.
            if leg.ending in (Ending.TIMEOUT, Ending.UNREACHABLE):
                self.zones.spent(leg.node, now, story.units)
                return
            self.zones.leg_over(leg.node, leg.ending, leg.took, 0.0, now, story.units)
            return
        self.zones.leg_over(leg.node, leg.ending, leg.took, usual, now, story.units)
        if leg.ending is Ending.SERVED:
            self.pace[story.request_class] = usual + (leg.took - usual) * SMOOTH if usual else float(leg.took)

    def _late(self, now: int) -> bool:
        """Whether this process runs late: its last turn came late, or the next one is overdue."""
        overdue = self.turned >= 0 and now - self.turned > self.beat + LATE
        return self.beat > 0 and (overdue or now < self.late_until)

    def turn(self, now: int) -> None:
        self.zones.time_is(now, self.wall_ms())
        if self._late(now) and now >= self.late_until:
            self.late_until = now + self.beat
        self.turned = now
        if self._late(now):
            return  # what seems silent may lie unread at this process's own door
        for story in self.books.requests.values():
            usual = self.pace.get(story.request_class)
            if usual is None or not story.attempts_out:
                continue
            longest = max(LEAST_SILENT, SILENT * usual)
            for leg in story.attempts:
                at = (story.number, leg.number)
                if leg.ending is None and now - leg.sent_at > longest and at not in self.silent:
                    self.silent.add(at)
                    self.zones.leg_over(leg.node, Ending.TIMEOUT, now - leg.sent_at, usual, now, story.units)

    def sight(self, now: int) -> bytes | None:
        return self.zones.sight(now)

    def heard(self, name: str, zone: int, told: bytes, now: int) -> None:
        self.zones.heard(name, zone, told, now)

    def event(self, entry: Entry, now: int) -> None:
        self.zones.event(entry, now)

    def wants(self, now: int, reached: Mapping[str, int]) -> tuple[str, object] | None:
        body = self.zones.wants(now, reached)
        return None if body is None else (CHANNEL, body)

    def bounds(self, now: int) -> Mapping[int, float]:
        # Guards against a process that stood still: a loan ends by the wall clock, whoever asks first.
        self.zones.time_is(now, self.wall_ms())
        return self.zones.bounds(now)

    def keeps(self, events: Sequence[Entry], upto: Stamp) -> list[Entry]:
        """Of these events, those that still say something: for each zone the decision that stands, and loans
        that may still be in use. Depends on nothing but the events and `upto`."""
        loans: list[Entry] = []
        # By name too: gateways whose settings differ hold the same events, and each keeps what others mean.
        standings: dict[str, Standings] = {}
        latest: dict[tuple[int, str], Entry] = {}
        for entry in events:
            if (until := loan_until(entry)) is not None:
                if until + OVER_MS > upto.ms:
                    loans.append(entry)
                continue
            name = name_of(entry.body)
            of = standings.setdefault(name, Standings(self.zones.standings.zones))
            if (zone := of.event(entry)) is not None:
                latest[zone, name] = entry
        return [*(latest[at] for at in sorted(latest)), *loans]

    def changes(self) -> list[dict[str, object]]:
        """What people were not yet told: zones whose standing changed, and who said so."""
        told: list[dict[str, object]] = []
        for zone, held in sorted(self.zones.standings.held.items()):
            standing, number = self.zones.standing(zone)
            if self.shown.get(zone) != (WORDS[standing], number):
                self.shown[zone] = (WORDS[standing], number)
                told.append({
                    "zone": zone, "standing": WORDS[standing], "number": number, "part": held.part,
                    "rest_ms": held.rest, "witnesses": held.witnesses, "hand": held.hand,
                    "by": held.place.writer if held.place else "",
                })  # fmt: skip
        return told

    def by_hand(self, zone: int, word: str) -> tuple[str, object] | None:
        """Channel and value of the entry by which a person leaves a zone, takes it back, or lets it return at
        a pace that its nodes bear, on which evidence decides from then on; None if `word` is none of these,
        or there is no such zone."""
        orders = {WORDS[each]: each for each in (Standing.LEFT, Standing.RETURNING, Standing.IN)}
        if word not in orders or not 0 <= zone < self.zones.standings.zones:
            return None
        names = self.zones.standings.names
        body = order(zone, orders[word], self.zones.standings.of(zone), names[zone] if names else "")
        if orders[word] is Standing.RETURNING:
            body.update(hand=False, part=self.zones.figure["first"])
        return CHANNEL, body

    def report(self) -> dict[str, object]:
        return self.zones.report()


class _Loan(msgspec.Struct):
    what: str
    until: int = 0


def loan_until(entry: Entry) -> int | None:
    """Until when an event lends, ms since 1970; None if it is no loan."""
    try:
        body = msgspec.json.decode(entry.body, type=_Loan)
    except (msgspec.MsgspecError, RecursionError):
        return None
    return body.until if body.what == "lend" else None
