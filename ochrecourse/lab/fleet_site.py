"""The site of a virtual world: it closes once, editions of its calendar come and go, and what the fleet owes
for that is judged from clients' answers and from the log, by a reckoning of its own.
"""

from __future__ import annotations

import datetime as dt
from collections import Counter, defaultdict
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from ochrecourse.audit import records as r
from ochrecourse.settings.site_calendars import edition, today
from ochrecourse.fleet.entries import LogPosition
from ochrecourse.fleet.log import AppendRejectedError
from ochrecourse.common.time_units import MS

if TYPE_CHECKING:
    from ochrecourse.lab.fleet_instance import FleetSeat
    from ochrecourse.lab.fleet_play import FleetPlay
    from ochrecourse.lab.fleet_world import Fault

SITE, RULE = "school", "close"
CHANNELS = (f"calendar/{SITE}", f"purges/{SITE}")
# Far from UTC: the local date is another one than UTC's most of the day, as at the epoch of worlds.
TIME_ZONE = "Pacific/Kiritimati"
AHEAD = dt.timedelta(hours=14)
NOTICE = 1600.0  # ms; two beats and four of the bound, rounded up
BOUND = 250.0  # ms by which clocks may be wrong; half of the usual, so that short worlds have time
PRODUCT = "page-read"  # whose reads are answered from copies
COPIES = 1 << 20  # bytes of all copies; less than a world reads would fill
SETTLED = 6.0  # s after the moment, in a fleet that is whole, in which each edge has said that it fired


class Held(NamedTuple):
    """An edition as the log has it: number, place, when it comes into force and its instants by date, ms."""

    number: int
    place: LogPosition
    force: int
    instants: dict[str, int]


class Site:
    """The one site of a world, of which all gateways are edges."""

    def __init__(self, play: FleetPlay) -> None:
        self.play = play
        self.world = play.world
        self.edges = [seat.name for seat in play.seats]

    # --- settings and editions ---

    def wall(self, at_s: float) -> int:
        """ms since 1970 at so many s from the world's start."""
        return self.play.wall_at(self.play.first + at_s)

    def local(self, at_s: float) -> dt.datetime:
        return dt.datetime.fromtimestamp(self.wall(at_s) / 1000, dt.UTC) + AHEAD

    def record(self, close_s: float, number: int = 1) -> dict[str, Any]:
        """The site as settings have it."""
        at = self.local(close_s).strftime("%H:%M:%S")
        return {
            "name": SITE, "edges": self.edges, "zone": TIME_ZONE, "edition": number,
            "rules": [{"name": RULE, "all": True, "at": at}],
        }  # fmt: skip

    def figures(self) -> dict[str, Any]:
        """What the part `fleet` of the settings says for it."""
        copies = {"products": [PRODUCT], "bytes": COPIES, "largest": COPIES // 16}
        return {"copies": copies, "purges": {"notice": NOTICE, "days": 4}, "clock_bound": BOUND}

    def strike(self, fault: Fault) -> Callable[[], None]:
        """A person writes a new edition at a gateway: the site closes at `size` s. All of them have one
        number, so that two sides may write two of it."""
        full = {
            **self.record(fault.size, 2), "country": "", "region": "", "holidays": [],
            "rules": [{
                "name": RULE, "all": True, "at": self.local(fault.size).strftime("%H:%M:%S"),
                "weekdays": ["mon", "tue", "wed", "thu", "fri", "sat", "sun"], "holidays": "usual",
                "exceptions": [],
            }],
        }  # fmt: skip
        for index in fault.who:
            seat = self.play.seats[index]
            if seat.runs():
                try:
                    body = edition(full, 2, today(TIME_ZONE, self.wall(0)), 4)
                    seat.part().request_append(CHANNELS[0], body, lambda result: None)
                except (AppendRejectedError, OSError):
                    continue  # a full disk: the person hears of it
        return lambda: None

    # --- judgement ---

    def at_the_end(self, seats: list[FleetSeat]) -> None:
        log, seen = seats[0].part().log, self.play.seen
        at = self.play.network.seconds() - self.play.began
        taken: dict[tuple[str, int, int], dict[str, int]] = defaultdict(dict)
        bodies: dict[tuple[str, int, int], tuple[LogPosition, dict[str, Any]]] = {}
        first: dict[str, int] = {}
        for entry in log.events(CHANNELS[0]):
            body = msgspec.json.decode(entry.body)
            if body["what"] == "edition":
                bodies[entry.writer, entry.incarnation, entry.seq] = (entry.position, body)
            elif body["what"] == "taken":
                by = taken[tuple(body["of"])]
                by[entry.writer] = min(entry.at.ms, by.get(entry.writer, entry.at.ms))
                first[entry.writer] = min(entry.at.ms, first.get(entry.writer, entry.at.ms))
        held = [self._held(key, taken, *bodies[key]) for key in sorted(bodies)]
        date = self.local(self.world.close_s).date().isoformat()
        asked = {self.world.close_s, *(each.size for each in self.world.faults if each.kind == "edition")}
        closes = {self.wall(close) for close in asked}
        for each in held:
            if each is not None and each.instants.get(date) not in closes:
                text = f"edition {each.number} has {each.instants.get(date)} for {date}, not one of {closes}"
                seen.breach("purge at another time", at, text)
        found = self._moment([each for each in held if each is not None], date)
        if found is None:
            return
        moment, number = found
        self._old_answers(moment)
        if moment + 1000 * SETTLED > self.wall(at):
            return
        fired: dict[str, list[dict[str, Any]]] = defaultdict(list)
        for entry in log.events(CHANNELS[1]):
            body = msgspec.json.decode(entry.body)
            since = body.get("since", body["date"])
            if body["what"] == "fired" and body["rule"] == RULE and since <= date <= body["date"]:
                fired[body["edge"]].append(body)
        for edge in self.edges:
            told = fired[edge]
            # Who first heard of any edition after the moment owes nothing for it.
            least = 1 if first.get(edge, moment + 1) <= moment else 0
            if not least <= len(told) <= 1:
                text = f"{edge} fired {RULE} of {date} {len(told)} times, due {moment - self.wall(0)} ms in"
                seen.breach("purge not once", at, text)
            for body in told:
                if body["edition"] != number:
                    text = f"{edge} fired {date} by edition {body['edition']}, not {number}"
                    seen.breach("purge by another edition", at, text)

    def _held(
        self, key: tuple[str, int, int], taken: Any, place: LogPosition, body: dict[str, Any]
    ) -> Held | None:
        stamps = sorted(taken[key].values())
        most = len(self.edges) // 2 + 1
        if len(stamps) < most:
            return None
        instants = {date: ms for rule, date, ms in body["instants"] if rule == RULE}
        return Held(body["number"], place, stamps[most - 1] + round(NOTICE), instants)

    def _moment(self, held: list[Held], date: str) -> tuple[int, int] | None:
        """When a date's purge was due, in ms, and by which edition's number; None if it was not."""
        starts = sorted({each.force for each in held})
        for i, start in enumerate(starts):
            end = starts[i + 1] if i + 1 < len(starts) else None
            stands = max((each for each in held if each.force <= start), key=lambda each: each[:2])
            instant = stands.instants.get(date)
            if instant is not None and (end is None or instant < end):
                return max(start, instant), stands.number
        return None

    def _old_answers(self, moment: int) -> None:
        """Nobody who asks after the moment is given what a node made before it."""
        at = round((moment - self.wall(0)) * MS) + round(self.play.began * 1e9)
        asked: dict[tuple[str, int, int], r.RequestSent] = {}
        made: Counter[int] = Counter()
        for each in self.play.records:
            if isinstance(each, r.RequestSent):
                asked[each.gateway, each.conn, each.id] = each
            elif isinstance(each, r.ResponseReceived) and each.made_at:
                made[each.made_at] += 1
                job = asked[each.gateway, each.conn, each.id]
                if job.t >= at > each.made_at and job.request_class == PRODUCT:
                    self.play.seen.breach(
                        "old copy", each.t / 1e9 - self.play.began,
                        f"{each.gateway} answered {each.trace}, asked {(job.t - at) / MS:.0f} ms after the "
                        f"close, with what was made {(at - each.made_at) / MS:.0f} ms before it",
                    )  # fmt: skip
        self.play.seen.from_copies = sum(count - 1 for count in made.values())
