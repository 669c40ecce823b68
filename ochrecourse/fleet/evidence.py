"""What gateways saw of zones: counts over a short window by node and zone, told as a sight, and weighed.

Counts are shared, never verdicts: each gateway sums those of all that it reaches and itself. A sight tells
only of zones in trouble and, for a node that somebody accuses, whether this gateway saw it live. Free of I/O,
clocks and chance.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from collections.abc import Set as Those
from dataclasses import dataclass, field
from typing import Annotated

import msgspec

from ochrecourse.interface import Ending
from ochrecourse.common.time_units import MS, SECOND

MOST = 1024  # zones, and nodes, that one sight tells of; the largest fleet that is planned for
SAMPLE = 64  # nodes of one zone that a sight tells of; far more than tell a lost zone from a bad rack
RUN = 3  # failures in a row, by all gateways together, after which a node counts as failing; chance has two
ACCUSES = 2  # failures by which one gateway accuses a zone; one may be a leg's own
NEEDED = 8  # failing nodes that are enough in a large zone; one rack or one switch has fewer
LIVES = 0.25  # nodes seen alive for each failing one, below which a zone may be lost
HORIZON = 4  # times its usual answer that a node may be silent and still count as alive
SMOOTH = 0.125  # weight of the newest answer in a running mean; about the last eight count
SCATTER = 2_654_435_761  # odd, near the golden part of 2**32: neighbours in a rack fall far apart
EXACT = MS  # ns a unit below which a pace is no measure to be slow against
FINE = 100  # parts of a unit in which units are told; a job may be less than one unit

Count = Annotated[int, msgspec.Meta(ge=0, le=1 << 40)]
NodeName = Annotated[int, msgspec.Meta(ge=-(1 << 62), le=1 << 62)]
Need = Annotated[float, msgspec.Meta(ge=0, le=1e9)]


class BadSight(Exception):
    """What a peer told of zones is not to be read; the text names its mistake."""


class ZoneTold(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """Legs at a zone's nodes that ended in the window, and distinct nodes tried, alive and failing; what of
    their work was served (or turned away as too much) and what was lost, in hundredths of units."""

    zone: Count
    begun: Count = 0
    fulfilled: Count = 0
    busy: Count = 0  # answered that they are full
    refused: Count = 0  # no connection
    reset: Count = 0
    silent: Count = 0
    errors: Count = 0
    slow: Count = 0  # of the fulfilled, against their pace
    tried: Count = 0
    alive: Count = 0
    failing: Count = 0
    served: Count = 0
    lost: Count = 0

    @property
    def good(self) -> int:
        return self.fulfilled + self.busy

    @property
    def bad(self) -> int:
        return self.refused + self.reset + self.silent + self.errors


class NodeTold(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """`run`: failures since it last gave a sign of life, if one is recent; `alive`: such a sign is recent;
    `hard`: the last failure was a refusal or a reset."""

    node: Annotated[int, msgspec.Meta(ge=-(1 << 62), le=1 << 62)]
    run: Count
    alive: bool
    hard: bool = False


class Sight(msgspec.Struct, array_like=True, frozen=True):
    """What one gateway tells. `whole`: of all its legs in the window how many ended, were fulfilled, found a
    node full, and were slow; `hungry`: zones at whose bounded nodes it used up its part."""

    whole: tuple[Count, Count, Count, Count] = (0, 0, 0, 0)
    zones: Annotated[tuple[ZoneTold, ...], msgspec.Meta(max_length=MOST)] = ()
    nodes: Annotated[tuple[NodeTold, ...], msgspec.Meta(max_length=MOST)] = ()
    hungry: Annotated[tuple[Count, ...], msgspec.Meta(max_length=MOST)] = ()
    # By bounded node, units a second that its jobs ask for beyond what it may begin; see needs.py.
    needs: Annotated[tuple[tuple[NodeName, Need], ...], msgspec.Meta(max_length=MOST)] = ()


_DECODER = msgspec.json.Decoder(Sight)


def read(told: bytes) -> Sight:
    """A peer's sight. Raises BadSight."""
    try:
        return _DECODER.decode(told)
    except (msgspec.MsgspecError, RecursionError) as wrong:
        raise BadSight(f"what it tells of zones is none: {wrong}") from None


_COUNTS = {
    Ending.SERVED: 1,
    Ending.FULL: 2,
    Ending.UNREACHABLE: 3,
    Ending.RESET: 4,
    Ending.TIMEOUT: 5,
    Ending.ERROR: 6,
}  # where in a ZoneTold, counted from `begun` on
_SLOW, _SERVED, _LOST = 7, 8, 9
_KINDS = 10


class _Node:
    """One node as this gateway sees it."""

    __slots__ = ("at", "before", "counts", "failed_at", "hard", "last", "life_at", "owed_at", "run", "took")

    def __init__(self) -> None:
        self.at = -1  # the half of the window that `counts` are of
        self.counts, self.before = [0] * _KINDS, [0] * _KINDS
        self.run, self.hard = 0, False
        self.life_at = self.failed_at = -1  # ns; -1: never
        self.owed_at = 0  # ns at which what it was sent is paid by the bound in force
        self.took, self.last = 0.0, 0  # ns a leg, in the mean, and the newest

    def roll(self, half: int) -> None:
        if half != self.at:
            self.before = self.counts if half == self.at + 1 else [0] * _KINDS
            self.counts, self.at = [0] * _KINDS, half


class Own:
    """This gateway's own counts. Spans in ns; `slow`: times the pace."""

    def __init__(self, window: int, life: int, slow: float) -> None:
        self.window, self.life, self.slow = window, life, slow
        self.nodes: dict[int, _Node] = {}
        self.recent: dict[int, None] = {}  # nodes tried in the window

    def leg_over(
        self, node: int, ending: Ending, took: int, pace: float, now: int, units: float = 1.0
    ) -> None:
        if (where := _COUNTS.get(ending)) is None:
            return  # taken back, or never sent: it says nothing of the node
        seen = self.nodes.setdefault(node, _Node())
        self.recent[node] = None
        seen.roll(now // (self.window // 2))
        seen.counts[0] += 1
        seen.counts[where] += 1
        seen.counts[_SERVED if ending in (Ending.SERVED, Ending.FULL) else _LOST] += round(FINE * units)
        if ending in (Ending.SERVED, Ending.FULL):
            seen.run, seen.life_at, seen.last = 0, now, took
            seen.took += SMOOTH * (took - seen.took) if seen.took else took
            seen.counts[_SLOW] += ending is Ending.SERVED and pace > EXACT and took > self.slow * pace
        else:
            seen.run, seen.failed_at = seen.run + 1, now
            seen.hard = ending in (Ending.UNREACHABLE, Ending.RESET)

    def spend(self, node: int, units: float, rate: float, now: int) -> None:
        """Units that went to a node at which `rate` may begin a second."""
        if rate > 0:
            seen = self.nodes.setdefault(node, _Node())
            seen.owed_at = max(now, seen.owed_at) + round(units / rate * SECOND)

    def owing(self, node: int, now: int) -> bool:
        return (seen := self.nodes.get(node)) is not None and seen.owed_at > now

    def drop(self, nodes: Iterable[int]) -> None:
        for node in nodes:
            self.nodes.pop(node, None)
            self.recent.pop(node, None)

    def _of(self, seen: _Node, now: int) -> tuple[int, bool]:
        """Its run of failures, 0 if there was none lately, and whether it is alive."""
        # Guards against a jam: what answers late answers seldom, from the first late answer on.
        usual = max(seen.took, seen.last)
        alive = seen.life_at >= 0 and now - seen.life_at <= max(self.life, HORIZON * usual)
        failed = seen.run if seen.run and now - seen.failed_at <= self.window else 0
        return failed, alive

    def sight(
        self, zone_of: Mapping[int, int], troubled: Those[int], accused: Those[int], hungry: Iterable[int],
        now: int,
    ) -> Sight:  # fmt: skip
        """`troubled`: zones of which all is told; `accused`: nodes at which others failed."""
        half = now // (self.window // 2)
        seen_of: list[tuple[int, int, _Node, int, bool]] = []
        named, whole = set(troubled), [0] * 4
        for node in list(self.recent):
            seen, zone = self.nodes[node], zone_of.get(node)
            seen.roll(half)
            if zone is None or not (seen.counts[0] or seen.before[0]):
                del self.recent[node]
                continue
            failed, alive = self._of(seen, now)
            seen_of.append((node, zone, seen, failed, alive))
            if failed or node in accused:
                named.add(zone)
            for each in (seen.counts, seen.before):
                whole[0] += each[0]
                whole[1] += each[1]
                whole[2] += each[2]
                whole[3] += each[_SLOW]
        zones: dict[int, list[int]] = {}
        nodes: list[NodeTold] = []
        for node, zone, seen, failed, alive in seen_of if named else ():
            if zone not in named:
                continue
            sums = zones.setdefault(zone, [0] * 13)
            for i in range(_SERVED):
                sums[i] += seen.counts[i] + seen.before[i]
            sums[11] += seen.counts[_SERVED] + seen.before[_SERVED]
            sums[12] += seen.counts[_LOST] + seen.before[_LOST]
            sums[8] += 1
            sums[9] += alive
            sums[10] += failed > 0 and not alive
            if failed or node in accused or zone in troubled:
                nodes.append(NodeTold(node, failed, alive, failed > 0 and seen.hard))
        told = [ZoneTold(zone, *zones[zone]) for zone in sorted(zones)][:MOST]
        # Of a large zone all gateways tell of the same nodes, as far as they tried them.
        nodes.sort(key=lambda each: (each.node * SCATTER & 0xFFFFFFFF, each.node))
        room = dict.fromkeys(zones, SAMPLE)
        some: list[NodeTold] = []
        for one in nodes:
            if room[zone_of[one.node]] and len(some) < MOST:
                room[zone_of[one.node]] -= 1
                some.append(one)
        sums_of_all = (whole[0], whole[1], whole[2], whole[3])
        return Sight(sums_of_all, tuple(told), tuple(some), tuple(sorted(hungry)[:MOST]))


@dataclass(slots=True)
class View:
    """A zone as all gateways that are reached see it together."""

    ready: int = 0  # its nodes that the list says are ready
    dead: int = 0  # of them, those at which all who tried failed, more than once
    alive: int = 0  # nodes seen alive, at the least
    begun: int = 0
    good: int = 0
    bad: int = 0
    hard: int = 0  # of the dead, those that refuse or reset rather than keep silent
    slow: int = 0
    served: int = 0  # hundredths of units
    lost: int = 0
    accusers: dict[str, int] = field(default_factory=dict)  # gateways that fail here and fare well elsewhere
    defenders: dict[str, int] = field(default_factory=dict)  # those that see more nodes alive than failing
    tellers: dict[str, int] = field(default_factory=dict)  # all that tried, each with its zone
    losers: dict[str, int] = field(default_factory=dict)  # those that lose most of their work here alone

    @property
    def suspect(self) -> bool:
        """More nodes fail than live, and they are more than one."""
        most = self.dead >= min(2, self.ready) and self.dead >= self.alive
        return self.ready > 0 and most and bool(self.accusers)

    @property
    def silent(self) -> bool:
        """Half of its nodes fail, or enough of them, and next to none lives."""
        needed = min(self.ready, max(2, min(NEEDED, (self.ready + 1) // 2)))
        return self.suspect and self.dead >= needed and self.alive <= LIVES * self.dead

    @property
    def hollow(self) -> bool:
        """Its nodes answer, and most of the work is lost: by the sum, for gateways of several zones, and for
        no fewer than those that are served well."""
        several = len(set(self.losers.values())) > 1 and 2 * len(self.losers) >= len(self.tellers)
        return self.ready > 0 and several and self.lost > self.served

    def evidence(self) -> dict[str, object]:
        """For the record of a decision."""
        return {
            "nodes": [self.ready, self.dead, self.alive, self.hard],
            "legs": [self.begun, self.good, self.bad, self.slow],
            "units": [self.served // FINE, self.lost // FINE],
            "witnesses": len(self.accusers.keys() | self.losers.keys()),
            "zones": sorted({*self.accusers.values(), *self.losers.values()}),
        }


def weigh(
    sights: Mapping[str, tuple[int, Sight]], zone_of: Mapping[int, int], ready: Mapping[int, Those[int]],
    bounded: Those[int] = frozenset(),
) -> dict[int, View]:  # fmt: skip
    """By zone, for those that somebody tells of. `sights`: by gateway its zone and what it told; `ready`: by
    zone the nodes that the list says are ready; `bounded`: zones where legs are too few for runs of them."""
    runs: dict[int, int] = {}
    lives: set[int] = set()
    hard: set[int] = set()
    views: dict[int, View] = {}
    for _, sight in sights.values():
        for each in sight.nodes:
            runs[each.node] = runs.get(each.node, 0) + each.run
            if each.alive:
                lives.add(each.node)
            if each.hard:
                hard.add(each.node)
    for name, (home, sight) in sights.items():
        for told in sight.zones:
            if told.zone not in ready:
                continue
            view = views.setdefault(told.zone, View(len(ready[told.zone])))
            view.begun += told.begun
            view.good += told.good
            view.bad += told.bad
            view.slow += told.slow
            view.served += told.served
            view.lost += told.lost
            view.alive = max(view.alive, told.alive)
            if told.begun:
                view.tellers[name] = home
            # Guards against a gateway that is itself cut off: it must fare well somewhere else.
            elsewhere = sight.whole[1] + sight.whole[2] > told.good
            if told.lost > told.served and elsewhere:
                view.losers[name] = home
            if told.alive > told.failing:
                view.defenders[name] = home
            elif told.bad >= ACCUSES and told.alive <= LIVES * told.failing and elsewhere:
                view.accusers[name] = home
    alive: dict[int, int] = {}
    for node, run in runs.items():
        zone = zone_of.get(node)
        if zone is None or zone not in views or node not in ready[zone]:
            continue
        if node in lives:
            alive[zone] = alive.get(zone, 0) + 1
        elif run >= (1 if zone in bounded else RUN):
            views[zone].dead += 1
            views[zone].hard += node in hard
    for zone, count in alive.items():
        views[zone].alive = max(views[zone].alive, count)
    return views
