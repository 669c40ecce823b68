"""Which zones the fleet leaves and when it returns to them, and what this gateway may begin at their nodes.

Own evidence goes out in a sight, others' come in; together they say which zone fares how. A decision is one
entry of the log (`standing`), said by the first gateway in order of names among those that reach each other,
by the next one if that one does not, and so on. docs/fleet.md has the rules in words. Free of I/O, clocks and
chance; spans in ns unless a name says otherwise.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from collections.abc import Set as Those
from dataclasses import dataclass
from hashlib import blake2b

import msgspec

from ochrecourse.fleet.allot import LENDABLE, Allot
from ochrecourse.fleet.entries import Entry
from ochrecourse.fleet.zone_evidence import MAX_NODES_PER_ZONE, EndedAttempt, LocalObservations, ReportScope
from ochrecourse.fleet.zone_report import ZoneReport, decode_report
from ochrecourse.fleet.zone_summary import GatewayReport, ListedZones, ZoneSummary, summarize
from ochrecourse.fleet.needs import Needs, borrower, named
from ochrecourse.fleet.zone_state import (
    CHANNEL,
    NO_DECISION,
    STATE_WORDS,
    ZoneDecision,
    ZoneState,
    ZoneDecisions,
)
from ochrecourse.interface import Ending
from ochrecourse.common.time_units import MS, SECOND

DEFAULTS: Mapping[str, float] = {
    "window": 2000,  # ms over which legs are counted; some tens of legs a node, and soon over
    "life": 500,  # ms for which a sign of life counts; two beats
    "slow": 4,  # times its pace that an answer takes to count as slow
    "doubt": 200,  # ms that most of a zone must fail for a doubt; a single jolt is shorter
    "lasts": 750,  # ms that a zone must be silent to be left; three beats, so that all have had a say
    "silence": 1500,  # ms, where its nodes do not refuse but answer nothing; a jam looks so for a while
    "sole": 5000,  # ms, where gateways of one zone alone accuse and no other has tried it
    "clear": 2000,  # ms without a bad sign that end a doubt, at first; doubles as the rest does
    "longest_clear": 60_000,  # ms
    "turn": 500,  # ms that the next gateway in order waits for the one before to say what is due
    "rest": 5000,  # ms that a zone stays left at the least, at first; doubles with each further fall
    "longest_rest": 300_000,  # ms
    "ease": 60_000,  # ms in good standing in which the next rest halves
    "well": 500,  # ms that most probes are answered before a return, which begins gently; two beats
    "first": 0.125,  # of the full pace, at which a return begins at the least; else at the pace of cold nodes
    "step": 500,  # ms of timely answers after which the pace doubles; two beats, so that failures are told
    "hold": 1000,  # ms at full pace that end a return
    "failed": 0.25,  # of a returning zone's legs that may fail before its pace halves
    "probes": 2,  # units a second that the whole fleet tries at each node of a left zone
    "cold": 5,  # units a second that the whole fleet may begin at a node that just started
    "full": 40,  # units a second at a node, for the whole fleet, that are the full pace of a return
    "remain": 0.3,  # of all ready nodes that must stand in zones that are in when another is left
    "lend": 10_000,  # ms that a part of an allotment is lent for
    "clock_bound": 500,  # ms by which wall clocks are wrong at the most
}
LOOK = 100 * MS  # ns between two looks at all that is known; finer than a beat, and cheap
STEP = 500 * MS  # ns that one look may add to what has lasted; more means that this process stood still
STALE = 3 * SECOND  # ns after which what a gateway told is no evidence; longer than a missed beat or two
AT_ONCE = 1500 * MS  # ns in which a rate must let a unit begin to be spent at once; the usual `cold_fall`
FEW = 4  # nodes of a left zone that are tried at the least; two that answer speak for a return
OTHERS = 10_000  # ms after which others of them are, or a bad rack would keep a zone out
HOLLOW_BORNE = 0.5  # of the others' own legs that must do well where a zone is left that answers some
FORGET = 4  # times slower than it grows that a silence is forgotten; a zone that fails now and then adds up
_PLAIN = frozenset(("slow", "first", "failed", "probes", "cold", "full", "remain"))  # those that are no spans


@dataclass(slots=True)
class _Since:
    """What has lasted at one zone since its last decision, in ns; and when that came."""

    came: int = 0
    warm: int = 0  # when the nodes that were ready and cold as it came are warm
    suspect: int = 0
    silent: int = 0
    sole: int = 0
    hollow: int = 0
    worse: int = 0
    calm: int = 0
    well: int = 0
    fall: int = 0
    failing: int = 0
    untried: int = 0
    due: ZoneState | None = None  # what is to be said, if this gateway has to
    due_at: int = 0
    said: tuple[int, int] = (0, 0)  # the last number that this gateway said, and when


class Zones:
    """One gateway's part in it. `figures`: as in DEFAULTS, which fill what is left out; `zones`: how many the
    settings name, `names`: theirs in order; `gateways`: the fleet's known size. Times in ns on a clock that
    only goes on."""

    def __init__(
        self, figures: Mapping[str, float], zones: int, name: str, own_zone: int, gateways: int,
        names: Sequence[str] = (),
    ) -> None:  # fmt: skip
        said = {**DEFAULTS, **figures}
        self.figure = {key: value if key in _PLAIN else value * MS for key, value in said.items()}
        self.name, self.own_zone, self.gateways = name, own_zone, max(1, gateways)
        self.own = LocalObservations(
            int(self.figure["window"]), int(self.figure["life"]), self.figure["slow"]
        )
        self.standings = ZoneDecisions(zones, names)
        self.strangers: Those[str] = frozenset()  # gateways that mean other zones
        self.allot = Allot(name, self.gateways, int(said["lend"]), int(said["clock_bound"]))
        self.sights: dict[
            str, tuple[int, int, ZoneReport]
        ] = {}  # by gateway: when heard, its zone, what it told
        self.needs = Needs()
        self.nodes: dict[int, tuple[int, int, bool, int]] = {}
        self.zone_of: dict[int, int] = {}
        self.copies: dict[int, int] = {}  # by shard, ready nodes that hold it
        self.ready: dict[int, set[int]] = {}
        self.listed: dict[int, set[int]] = {}
        self.since: dict[int, _Since] = {}
        self.views: dict[int, ZoneSummary] = {}
        self.alone: set[int] = set()  # zones lost to this side, which is too small to speak for the fleet
        self.reached: dict[str, int] = {name: own_zone}
        self.looked = -1
        self.met = 0  # ns, when it last came to reach enough of the fleet to speak for it
        self.whole = ZoneSummary()  # all zones together
        self.last: tuple[int, ZoneReport] | None = None  # its own sight, and of when
        self.bounded: set[int] | None = None  # zones at whose nodes it is bounded; None: to be found anew
        self.elsewhere: set[int] | None = None  # shards that nodes without bounds hold; None: as `bounded`
        self.tried: dict[int, tuple[int, set[int]]] = {}  # by zone: since which turn which nodes are tried
        self.lived: dict[int, int] = {}  # by node: ns when somebody last told that it answers
        self.waits: dict[int, tuple[float, int]] = {}  # by node: units until a first job, and of when, in ns
        self.kept: int | None = None  # the one that is in doubt rather than left, as all are

    # --- what is seen and heard ---

    def nodes_are(self, entries: Mapping[int, tuple[int, int, bool, int]], now: int) -> None:
        """The whole list: by node its zone, shard, whether it is ready, and until when it is cold."""
        zones = self.standings.zone_count
        self.own.forget(self.nodes.keys() - entries.keys())
        self.lived = {node: at for node, at in self.lived.items() if node in entries}
        self.nodes = {node: each for node, each in entries.items() if 0 <= each[0] < zones}
        self.zone_of = {node: each[0] for node, each in self.nodes.items()}
        self.ready, self.listed, self.tried, self.bounded = {}, {}, {}, None
        self.copies = {}
        for node, (zone, shard, ready, _) in self.nodes.items():
            self.listed.setdefault(zone, set()).add(node)
            if ready:
                self.copies[shard] = self.copies.get(shard, 0) + 1
                self.ready.setdefault(zone, set()).add(node)

    def leg_over(
        self, node: int, ending: Ending, took: int, pace: float, now: int, units: float = 1.0
    ) -> None:
        """A leg ended, or has been silent for too long and counts as TIMEOUT. `took`: ns; `pace`: ns that
        such a leg usually takes, 0 if that is not known."""
        if now - took >= self.met or ending is Ending.SERVED:
            self.own.attempt_ended(EndedAttempt(node, ending, took, pace, now, units))
        self.spent(node, now, units)

    def spent(self, node: int, now: int, units: float = 1.0) -> None:
        """A leg that ended and says nothing of its node: what it took counts all the same."""
        if node in self.nodes:
            self.needs.leg(self.nodes[node][1], units, now)
        if (zone := self.zone_of.get(node)) is not None and zone in self._bounded_zones():
            self.own.use_rate(node, units, self._rate(zone, node, now), now)

    def heard(self, name: str, zone: int, sight: bytes, now: int) -> None:
        """What another gateway tells. Raises ZoneReportError."""
        if name != self.name:
            self.sights[name] = (now, zone, decode_report(sight))

    def terms_are(self, strangers: Those[str], size: int, clock_bound: float, cold: float) -> None:
        """What all gateways heard of mean by the settings that must be alike, on the safe side: who means
        other zones, the fleet's size, by how many ms clocks may be wrong, units a second at a cold node."""
        self.strangers = strangers
        for name in sorted(strangers & self.sights.keys()):
            del self.sights[name]
        self.gateways = self.allot.size = max(1, size)
        self.allot.bound = round(clock_bound)
        self.figure["cold"] = cold

    def gone(self, name: str) -> None:
        """A gateway is no longer reached: what it told is no evidence."""
        self.sights.pop(name, None)

    def time_is(self, now: int, wall_ms: int) -> None:
        """What the wall clock says, in ms since 1970; without it nothing is lent or borrowed."""
        self.allot.time_is(now, wall_ms)

    def event(self, entry: Entry, now: int = 0) -> None:
        """An entry of channel `fleet`, in any order and any number of times; others are not looked at."""
        if entry.channel != CHANNEL or (kind := _kind(entry.body)) not in ("zone", "lend"):
            return
        if kind == "lend":
            self.allot.event(entry)
        elif (zone := self.standings.apply(entry)) is not None:
            self.bounded = None
            before, came = self.since.get(zone, _Since()), max(now, self.looked, 0)
            self.since[zone] = _Since(came=came, warm=self._warm_at(zone), said=before.said)
            if self.standings.of(zone).state is ZoneState.SUSPECT:
                self.since[zone].silent, self.since[zone].sole = before.silent, before.sole
                self.since[zone].hollow = before.hollow

    # --- what is told and said ---

    def sight(self, now: int) -> bytes:
        """What this gateway tells the others, to be told anew at each beat."""
        return msgspec.json.encode(self._sight(now))

    def _sight(self, now: int) -> ZoneReport:
        if self.last is None or self.last[0] != now:
            self.last = (now, self._look(now))
        return self.last[1]

    def _look(self, now: int) -> ZoneReport:
        accused = {
            each.node for at, _, sight in self.sights.values() if now - at <= STALE for each in sight.nodes
            if each.failures
        }  # fmt: skip
        troubled = {zone for zone, each in self.standings.by_zone.items() if each.state is not ZoneState.IN}
        hungry = [zone for zone in self._bounded_zones() if self._hungry(zone, now)]
        sight = self.own.report(
            ReportScope(self.zone_of, troubled, accused & self.zone_of.keys(), hungry), now
        )
        short = {
            node: need - have
            for zone in self._bounded_zones() for node in self.ready.get(zone, ())
            if (need := self._need(node, now)) > (have := self._cold_part(zone, node, now))
        }  # fmt: skip
        return msgspec.structs.replace(sight, demand=named(short, MAX_NODES_PER_ZONE)) if short else sight

    def wants(self, now: int, reached: Mapping[str, int]) -> dict[str, object] | None:
        """The body of an entry for channel `fleet`, to be pulled until None. `reached`: the gateways that
        this one reaches, itself included, each with its zone."""
        self.turn(now, reached)
        if 2 * len(self.reached) < self.gateways:
            return None  # too few to speak for all; what they see bounds themselves alone
        order = sorted(self.reached)
        rank = order.index(self.name)
        for zone, since in self.since.items():
            if since.due is None or now - since.due_at < rank * self.figure["turn"]:
                continue
            number = self.standings.of(zone).number + 1
            if since.said[0] == number and now - since.said[1] < self.figure["turn"]:
                continue  # said, and either refused by the log or on its way
            since.said = (number, now)
            return self._body(zone, since.due, number, now)
        return self._lends(now, order)

    def turn(self, now: int, reached: Mapping[str, int]) -> None:
        """Looks at all that is known; often enough is a few times a beat."""
        few = 2 * len(self.reached) < self.gateways
        meant = {name: zone for name, zone in reached.items() if name not in self.strangers}
        self.reached = {**meant, self.name: self.own_zone}
        if few and 2 * len(self.reached) >= self.gateways:
            # Guards against a side that was cut off and is believed when it is back: what it failed at and
            # what was due to be said are its own failure, not that of the zones that it could not reach.
            self.own.forget(list(self.own.by_node))
            self.since = {
                zone: _Since(came=each.came, warm=each.warm, said=each.said)
                for zone, each in self.since.items()
            }
            self.met = now
        if self.looked >= 0 and now - self.looked < LOOK:
            return
        past = min(STEP, now - self.looked) if self.looked >= 0 else 0
        self.looked = now
        sights = {
            name: GatewayReport(zone, sight) for name, (at, zone, sight) in self.sights.items()
            if name in self.reached and now - at <= STALE
        }  # fmt: skip
        sights[self.name] = GatewayReport(self.own_zone, self._sight(now))
        self.views = summarize(sights, ListedZones(self.zone_of, self.ready, self._bounded_zones()))
        for _, sight in sights.values():
            self.lived.update((each.node, now) for each in sight.nodes if each.is_alive and not each.failures)
        self.whole = ZoneSummary()
        for _, (begun, fulfilled, busy, slow) in (
            (name, sight.totals) for name, (_, sight) in sights.items()
        ):
            self.whole.attempts += begun
            self.whole.failed += begun - fulfilled - busy
            self.whole.slow += slow + busy
        for zone in self.views.keys() | {
            zone for zone, each in self.standings.by_zone.items() if each.state is not ZoneState.IN
        }:
            self._watch(zone, self.views.get(zone) or ZoneSummary(len(self.ready.get(zone, ()))), past, now)
        for zone in self.since.keys() - self.views.keys():
            if self.standings.of(zone).state is ZoneState.IN:
                since = self.since[zone]
                since.suspect, since.due = 0, None
                since.silent = max(0, since.silent - past // FORGET)
                # Guards against a zone that is spared, hence seldom tried, and so is no longer in evidence.
                if not since.silent or 2 * len(self.reached) >= self.gateways:
                    self._spare(zone, False)

    # --- how a zone fares ---

    def _watch(self, zone: int, view: ZoneSummary, past: int, now: int) -> None:
        """Adds what has passed to what it has been like, and finds what is due to be said of it."""
        since, held = self.since.setdefault(zone, _Since()), self.standings.of(zone)
        lost, sole = self._lost(view)
        troubled = view.failing_nodes > 0 and view.failing_nodes >= view.alive_nodes
        since.suspect = since.suspect + past if view.is_suspect else 0
        since.hollow = since.hollow + past if view.is_degraded else max(0, since.hollow - past // FORGET)
        since.silent = since.silent + past if lost else max(0, since.silent - past // FORGET)
        since.sole = since.sole + past if sole else 0
        since.calm = 0 if view.is_suspect or view.is_degraded else since.calm + past
        if view.attempts:
            since.untried = 0
            most = 1 if held.state is ZoneState.EVACUATED else 3
            fine = view.answered >= min(2, view.ready_nodes) and view.answered >= most * view.failed
            # Guards against nodes that answer what is small, as probes may be, and lose the rest.
            fine = fine and view.units_served >= view.units_lost
            since.well = 0 if troubled else since.well + past * fine
            since.failing = since.failing + past if view.failed > self.figure["failed"] * view.attempts else 0
            since.worse = since.worse + past if view.units_lost > view.units_served else 0
        elif not self._resting(zone, now):
            since.untried += past
        fell = (
            view.failing_nodes >= min(2, view.ready_nodes)
            and view.failing_nodes >= view.alive_nodes
            and not view.answered
        )
        since.fall = since.fall + past if view.attempts and fell else since.fall // 2
        due = self._due(zone, view, since, held, now)
        if due is not since.due:
            since.due, since.due_at = due, now
        self._see_alone(zone, lost, since)

    def _lost(self, view: ZoneSummary) -> tuple[bool, bool]:
        """Whether nothing but the zone itself explains what is seen, and whether that waits for others.

        A zone is lost if next to none of its nodes lives, gateways of several zones say so of their own
        legs, and more gateways say so than see it live. Accusers of one zone alone may be cut off from it
        themselves: then it is lost only where nobody sits elsewhere, or nobody elsewhere has tried it for
        long, and nobody saw any sign of life.
        """
        if not view.is_unresponsive or 2 * len(view.accusers) < len(view.observers) or view.defenders:
            return False, False
        if len(view.accusers) < min(2, len(self.reached)):
            return False, view.alive_nodes == 0 and len(view.observers) == 1
        if len(set(view.accusers.values())) > 1:
            return True, False
        (home,) = set(view.accusers.values())
        if view.alive_nodes:
            return False, False
        if all(zone == home for zone in self.reached.values()):
            return True, False
        return False, all(zone == home for zone in view.observers.values())

    def _due(
        self, zone: int, view: ZoneSummary, since: _Since, held: ZoneDecision, now: int
    ) -> ZoneState | None:
        if held.by_operator and held.state is not ZoneState.IN:
            return None
        if held.state is not ZoneState.IN and not self.ready.get(zone):
            return None  # a list without its nodes sees nothing of it: those decide whose lists have some
        # Guards against a zone that half answers, where few legs tell that nothing does.
        gone = (since.silent >= self._lasts(view) or since.sole >= self.figure["sole"]) and (
            view.failed >= 2 * view.answered
        )
        if held.state is ZoneState.IN:
            if since.suspect >= self.figure["doubt"] or since.hollow >= self.figure["silence"]:
                return ZoneState.SUSPECT
        elif held.state is ZoneState.SUSPECT:
            # It answers, so leaving it earns more only where the others can bear what it loses.
            hollow = since.hollow >= self.figure["sole"] and self._bearable(view) > HOLLOW_BORNE
            if (gone or hollow) and self._may_leave(zone, view):
                return ZoneState.EVACUATED
            if since.calm >= max(self.figure["clear"], held.clear_ms * MS):
                return ZoneState.IN
        elif held.state is ZoneState.EVACUATED:
            rested = now - since.came >= held.rest_ms * MS
            tried = since.well >= self.figure["well"]
            # Where nobody has work for it, nobody would ever learn that it is back.
            if self.ready.get(zone) and rested and (tried or since.untried >= held.rest_ms * MS):
                return ZoneState.SLOW_START
        else:
            # At the gentlest pace still losing more than it serves: it was no return.
            worse = held.fraction <= self._first() and since.worse >= self.figure["step"]
            if (since.fall >= self.figure["doubt"] or worse) and self._may_leave(zone, view):
                return ZoneState.EVACUATED
            if since.failing >= self.figure["step"] / 2 and held.fraction > self._first():
                return ZoneState.SLOW_START
            held_for = self.figure["hold"] if held.fraction >= 1 else self.figure["step"]
            if since.well >= held_for or since.untried >= 2 * held_for:
                if held.fraction < 1:
                    return ZoneState.SLOW_START
                # Guards against bounds that end while nodes are cold: each gateway's own limit, which grows
                # with what is answered there, is then all that holds the sum. Nodes that start only during
                # the full pace do not hold it up.
                return ZoneState.IN if now >= since.warm else None
        return None

    def _warm_at(self, zone: int) -> int:
        """When the last of its ready nodes that are cold is warm, by the list; 0 if none was ever cold."""
        return max((self.nodes[node][3] for node in self.ready.get(zone, ())), default=0)

    def _lasts(self, view: ZoneSummary) -> float:
        return (
            self.figure["lasts"]
            if 4 * view.refusing_nodes >= 3 * view.failing_nodes
            else self.figure["silence"]
        )

    def _may_leave(self, zone: int, view: ZoneSummary) -> bool:
        """Never the last zone that is in; a second one only if it is wholly silent, and never if what then
        remains is too small a part of the fleet's nodes."""
        others = [each for each in self.ready if each != zone]
        firm = [each for each in others if self.standings.of(each).state is ZoneState.IN]
        remain = sum(len(self.ready[each]) for each in firm)
        if not firm or remain < self.figure["remain"] * sum(map(len, self.ready.values())):
            return False
        return len(firm) == len(others) or view.alive_nodes == 0

    def _see_alone(self, zone: int, lost: bool, since: _Since) -> None:
        """A side that is too small to speak for the fleet spares itself the zone, and says nothing."""
        if 2 * len(self.reached) >= self.gateways or since.calm >= self.figure["clear"]:
            self._spare(zone, False)
        elif lost and since.silent >= self.figure["silence"]:
            self._spare(zone, True)

    def _spare(self, zone: int, whether: bool) -> None:
        if whether != (zone in self.alone):
            self.alone ^= {zone}
            self.bounded = None

    # --- the words of a decision ---

    def _body(self, zone: int, standing: ZoneState, number: int, now: int) -> dict[str, object]:
        held, since, view = self.standings.of(zone), self.since[zone], self.views.get(zone) or ZoneSummary()
        rest, clear, part = float(held.rest_ms), float(held.clear_ms), 1.0
        if held.state is ZoneState.IN:
            eased = 0.5 ** ((now - since.came) / self.figure["ease"])
            rest, clear = rest * eased, clear * eased
            if standing is ZoneState.SUSPECT:
                least = self.figure["clear"] / MS
                clear = min(self.figure["longest_clear"] / MS, max(least, 2 * clear))
        if standing is ZoneState.EVACUATED:
            # A return that no probe spoke for was no return: the zone was left all along.
            further = 1 if held.unprobed and held.fraction <= self._first() else 2
            least = self.figure["rest"] / MS
            rest = min(self.figure["longest_rest"] / MS, max(least, further * rest))
            part = self._bearable(view)
        elif standing is ZoneState.SLOW_START:
            part = self._pace(held, since)
        blind = standing is ZoneState.SLOW_START and since.well < self.figure["well"]
        blind = blind and (held.unprobed or held.state is ZoneState.EVACUATED)
        return {
            "what": "zone", "zone": zone, "standing": STATE_WORDS[standing], "number": number,
            "part": round(part, 4), "rest": round(rest), "clear": round(clear), "blind": blind,
            "evidence": view.as_evidence(), **self._named(zone),
        }  # fmt: skip

    def _named(self, zone: int) -> dict[str, str]:
        return {"name": self.standings.zone_names[zone]} if self.standings.zone_names else {}

    def _bearable(self, view: ZoneSummary) -> float:
        """Of a zone's load, what the others can take: less by the part of their own legs that are late,
        turned away or failed."""
        begun = self.whole.attempts - view.attempts
        strained = self.whole.slow + self.whole.failed - view.slow - view.failed
        return 1.0 - min(1.0, max(0, strained) / begun) if begun > 0 else 1.0

    def _first(self) -> float:
        return min(1.0, max(self.figure["first"], self.figure["cold"] / self.figure["full"]))

    def _pace(self, held: ZoneDecision, since: _Since) -> float:
        first = self._first()
        if held.state is not ZoneState.SLOW_START:
            return first
        back = since.failing >= self.figure["step"] / 2
        return max(first, held.fraction / 2) if back else min(1.0, held.fraction * 2)

    # --- what may begin ---

    def standing(self, zone: int) -> tuple[ZoneState, int]:
        """What stands for it and the number of that decision. Where all zones with nodes are left, as after
        two sides each left the other's, one of them is only in doubt."""
        held = self.standings.of(zone)
        self._bounded_zones()
        if held.state is ZoneState.EVACUATED and zone == self.kept:
            return ZoneState.SUSPECT, held.number
        return held.state, held.number

    def _bounded_zones(self) -> set[int]:
        if self.bounded is not None:
            return self.bounded
        self.elsewhere = None
        self.kept = self.standings.exempt_zone(self.ready)
        said = {
            zone for zone, each in self.standings.by_zone.items()
            if each.state in (ZoneState.EVACUATED, ZoneState.SLOW_START) and zone != self.kept
        }  # fmt: skip
        # Guards against bounds everywhere: what this side finds alone never takes its last zone.
        self.bounded = said | self.alone if self.ready.keys() - said - self.alone else said
        return self.bounded

    def _limit(self, zone: int, node: int, now: int) -> float:
        """Units a second that the whole fleet may begin at a node of a left or returning zone."""
        held, cold = self.standings.of(zone), self.figure["cold"]
        if held.state is ZoneState.SLOW_START and zone not in self.alone:
            limit = self.figure["full"] * held.fraction
            return min(limit, cold) if self.nodes[node][3] > now else limit
        view, limit = self.views.get(zone), min(cold, self.figure["probes"])
        if held.state is not ZoneState.EVACUATED:
            return limit
        if not self._only(node):
            if self._resting(zone, now) or node not in self._tried(zone):
                limit = 0.0  # no answer of it is needed, so nobody's job need pay for one
        elif not held.by_operator and now - self.lived.get(node, -STALE) < self.figure["window"]:
            limit = cold  # it answers: what nobody else holds need not wait until the zone returns
        if held.fraction < 1 and view is not None and view.alive_nodes:
            # What the others can't take stays where some of it is still served.
            limit = max(limit, min(cold, (1 - held.fraction) * self.figure["full"]))
        return limit

    def _resting(self, zone: int, now: int) -> bool:
        """Whether a left zone is not yet due to be tried: until its probes can be answered as its rest ends,
        or for as long as a person left it."""
        held, since = self.standings.of(zone), self.since.get(zone)
        if held.state is not ZoneState.EVACUATED or since is None or zone in self.alone:
            return False
        return held.by_operator or now - since.came < held.rest_ms * MS - self.figure["window"]

    def _tried(self, zone: int) -> set[int]:
        """The nodes of a left zone whose answers tell that it is back: some of them, then the others."""
        turn = (self.allot.wall or 0) // OTHERS
        if zone not in self.tried or self.tried[zone][0] != turn:
            nodes = sorted(self.ready.get(zone, ()))
            count = min(len(nodes), max(FEW, (len(nodes) + 1) // 2))
            self.tried[zone] = (turn, {nodes[(turn * count + i) % len(nodes)] for i in range(count)})
        return self.tried[zone][1]

    def _only(self, node: int) -> bool:
        """Whether no ready node of a zone that has no bounds holds the node's shard."""
        if self.elsewhere is None:
            bounded = self._bounded_zones()
            self.elsewhere = {
                shard for zone, shard, ready, _ in self.nodes.values() if ready and zone not in bounded
            }  # fmt: skip
        return self.nodes[node][1] not in self.elsewhere

    def _rate(self, zone: int, node: int, now: int) -> float:
        return self._limit(zone, node, now) * self.allot.usable(zone, node, now)

    def _cold_part(self, zone: int, node: int, now: int) -> float:
        """Units a second that its part of a cold node lets it begin."""
        return self.figure["cold"] * self.allot.usable(zone, node, now)

    def bounds(self, now: int) -> dict[int, float]:
        """By node, units a second that this gateway may begin there; a node left out has no such bound."""
        rates = {
            node: self._rate(zone, node, now)
            for zone in sorted(self._bounded_zones())
            for node in sorted(self.listed.get(zone, ()))
        }
        # What a node's turn to be tried leaves of a wait is waited for in the next one.
        self.waits = {
            node: (left, at if rates[node] else now)
            for node, (left, at) in self.waits.items()
            if node in rates
        }
        return {node: rate and self._begins(node, rate, now) for node, rate in rates.items()}

    def _begins(self, node: int, rate: float, now: int) -> float:
        """A rate that lets less than a job begin at once, from a moment within one job's time on."""
        zone, only = self.zone_of[node], self._only(node)
        standing, job = self.standings.of(zone).state, self.needs.largest if only else 1.0
        rush = only or standing is ZoneState.EVACUATED
        if rate * AT_ONCE >= job * SECOND or zone in self.alone or not rush:
            return rate  # work with a choice does not wait for a node, so no more comes than is due
        # Guards against a rush: where each gateway has far less than a job a second, the first ones of all
        # of them together are far more than a node bears, or than probes of a lost one should cost.
        job = job if only else self.needs.usual
        left, at = self.waits.get(node) or (self._phase(node) * job, now)
        left -= rate * (now - at) / SECOND
        self.waits[node] = (left, now)
        return rate if left <= 0 else 0.0

    def _phase(self, node: int) -> float:
        """Between 0 and 1: by chance, as it were, another one for each gateway, node and decision."""
        number = self.standings.of(self.zone_of[node]).number
        drawn = blake2b(f"{self.name} {node} {number}".encode(), digest_size=4).digest()
        return int.from_bytes(drawn, "big") / (1 << 32)

    def _hungry(self, zone: int, now: int) -> bool:
        """Whether it used up its part at most of the zone's nodes; gateways of before lend by that."""
        nodes = self.ready.get(zone, set())
        return 2 * sum(self.own.is_rate_used_up(node, now) for node in nodes) > len(nodes)

    def _lends(self, now: int, order: list[str]) -> dict[str, object] | None:
        """Its parts of nodes that its own jobs have no use for, to those who need more there, each node's to
        one: from when a left zone answers probes, so that loans are in force when it returns."""
        for zone in sorted(self._bounded_zones() - self.alone):
            view, standing = self.views.get(zone), self.standings.of(zone).state
            answers = view is not None and view.answered and view.answered >= view.failed
            if standing is ZoneState.EVACUATED and (not answers or self._resting(zone, now)):
                continue
            needs = self._needs_of_others(zone, order)
            keeps = self.figure["cold"] * (1 - LENDABLE) / self.gateways
            wanted: dict[str, list[int]] = {}
            for node, of in sorted(needs.items()):
                if self._need(node, now) > keeps or self.own.is_rate_used_up(node, now):
                    continue
                if to := borrower(order.index(self.name), node, of):
                    wanted.setdefault(to, []).append(node)
            if wanted and (body := self.allot.lend(zone, wanted, now)):
                return body
        return None

    def _need(self, node: int, now: int) -> float:
        """Units a second that its jobs ask of a node: of its shard, in even parts over those that hold it."""
        shard = self.nodes[node][1]
        return self.needs.of(shard, now) / max(1, self.copies.get(shard, 1))

    def _needs_of_others(self, zone: int, order: list[str]) -> dict[int, list[tuple[str, float]]]:
        """By ready node of the zone, who needs how much more there, in order of names."""
        needs: dict[int, list[tuple[str, float]]] = {}
        for name in order:
            if name != self.name and name in self.sights:
                for node, need in self.sights[name][2].demand:
                    if node in self.ready.get(zone, ()):
                        needs.setdefault(node, []).append((name, need))
        return needs

    # --- for reports ---

    def report(self) -> dict[str, object]:
        """By zone whose standing was ever said: what stands, and what was last seen of it."""
        said = {}
        for zone, held in sorted(self.standings.by_zone.items()):
            standing, number = self.standing(zone)
            view = self.views.get(zone)
            said[str(zone)] = {
                "standing": STATE_WORDS[standing], "number": number, "part": held.fraction,
                "rest_ms": held.rest_ms, "hand": held.by_operator,
                "seen": view.as_evidence() if view else None,
            }  # fmt: skip
        return {"zones": said, "spared": sorted(self.alone), "reached": len(self.reached)}


def _kind(body: bytes) -> str:
    """What an entry of the channel is about; empty if it does not say."""
    try:
        return msgspec.json.decode(body, type=_What).what
    except (msgspec.MsgspecError, RecursionError):
        return ""


class _What(msgspec.Struct):
    what: str = ""


def order(
    zone: int, standing: ZoneState, held: ZoneDecision = NO_DECISION, name: str = ""
) -> dict[str, object]:
    """The body of an entry by which a person says what stands. What is left by hand stays left until a
    person takes it back. `name`: the zone's, if it is known."""
    return {
        "what": "zone", "zone": zone, "standing": STATE_WORDS[standing], "number": held.number + 1,
        "hand": True, "rest": held.rest_ms, "evidence": {"witnesses": 0}, **({"name": name} if name else {}),
    }  # fmt: skip
