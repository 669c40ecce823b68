"""The verdict on a fleet's play: the seven rules, the breaches that its checks found, and figures."""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict, deque
from collections.abc import Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ochrecourse.audit import records as r
from ochrecourse.audit.judge import AuditResult, audit
from ochrecourse.fleet.zone_state import ZoneState
from ochrecourse.lab.figures import figures_of
from ochrecourse.lab.fleet_checks import BIN
from ochrecourse.lab.fleet_world import ZONE_FAULTS, Fault
from ochrecourse.common.time_units import MS, SECOND

if TYPE_CHECKING:
    from ochrecourse.lab.fleet_play import FleetPlay

AWAY = 0.95  # of the legs that must go elsewhere for a lost zone to count as left


@dataclass
class Judged:
    """What came of a world: the seven rules, the fleet's own breaches, and figures."""

    verdict: AuditResult
    breaches: list[tuple[str, float, str]]  # kind, s from the start, words
    figures: dict[str, float]

    def kinds(self) -> list[str]:
        """What broke, each kind once."""
        rules = [f"rule {i}" for i, each in enumerate(self.verdict.findings, 1) if each.breaches]
        return sorted({*rules, *(kind for kind, _, _ in self.breaches)})

    def lines(self) -> list[str]:
        told = [f"at {at:.2f} s: {kind}: {text}" for kind, at, text in self.breaches[:10]]
        for i, each in enumerate(self.verdict.findings, 1):
            told += [f"rule {i}, {text}" for text in each.breaches[:3]]
        return told


def judge(play: FleetPlay) -> Judged:
    """Judges a world that was played."""
    verdict = audit(figures_of(play.day), play.records)
    figures: dict[str, float] = {
        "payoff": play.load.outcomes.payoff(),
        "jobs": float(play.played.calls),
        "unequal_s": play.seen.unequal,
        "cold_share": cold_share(play),
        "cold_bounds": play.seen.largest_bounds,
        "from_copies": float(play.seen.from_copies),
        "denied_though_held": float(denied_though_held(play)),
        "link_bytes": play.seen.link_bytes / play.world.gateways / play.world.length_s,
        "link_writes": play.seen.link_writes / play.world.gateways / play.world.length_s,
        "link_bytes_trouble": play.seen.in_trouble[0],
        "link_writes_trouble": play.seen.in_trouble[1],
    }
    for fault in play.world.faults:
        if fault.kind in ("zone_lost", "zone_nodes", "zone_cut"):
            start, end = fault.at_s - 5.0, fault.at_s + 55.0
            figures["payoff_around"] = play.load.payoff_between(start, end)
            figures["payoff_lost"] = play.load.payoff_between(fault.at_s, fault.at_s + fault.len_s)
            figures["payoff_after"] = play.load.payoff_between(
                fault.at_s + fault.len_s, fault.at_s + fault.len_s + 20
            )
            figures["away_s"] = away(play, fault)
            figures["one_standing_s"] = one_standing(play, fault)
            figures["full_s"] = full_service(play, fault)
            break
    return Judged(verdict, play.seen.breaches, figures)


def away(play: FleetPlay, fault: Fault) -> float:
    """s from a zone's loss until 95% of new legs go elsewhere, for good as long as it is lost."""
    inside = {number for number, node in play.fleet.nodes.items() if node.shard.zone == fault.zone}
    last = fault.at_s
    # Over a second, so that a few probes among few legs are no return; none that reaches beyond its end,
    # where legs that go there are no mistake.
    wide = int(1 / BIN)
    for at in range(int(fault.at_s / BIN), int((fault.at_s + fault.len_s) / BIN) - wide + 1):
        span = range(at, at + wide)
        there = sum(counts[i] for node, counts in play.seen.legs.items() if node in inside for i in span)
        whole = sum(counts[i] for counts in play.seen.legs.values() for i in span)
        if whole and there > (1 - AWAY) * whole:
            last = (at + 1) * BIN
    return last - fault.at_s


def one_standing(play: FleetPlay, fault: Fault) -> float:
    """s from a zone's loss until all gateways that run hold it left at once; its length if they never do."""
    names = {seat.name for seat in play.seats if fault.kind == "zone_nodes" or seat.zone != fault.zone}
    left: set[str] = set()
    for at, name, zone, word, _ in play.seen.changes:
        if zone == fault.zone and fault.at_s <= at <= fault.at_s + fault.len_s and name in names:
            left = left | {name} if word == ZoneState.EVACUATED.name else left - {name}
            if left == names:
                return at - fault.at_s
    return fault.len_s


def full_service(play: FleetPlay, fault: Fault) -> float:
    """s from a zone's return until it takes 80% of the part of all legs that it took before its loss."""
    inside = {number for number, node in play.fleet.nodes.items() if node.shard.zone == fault.zone}
    ends = int(play.world.length_s / BIN)

    def part(start: int, end: int) -> float:
        whole = sum(counts[i] for counts in play.seen.legs.values() for i in range(start, end))
        there = sum(c[i] for node, c in play.seen.legs.items() if node in inside for i in range(start, end))
        return there / whole if whole else 0.0

    before = part(0, int(fault.at_s / BIN))
    back = int((fault.at_s + fault.len_s) / BIN)
    span = int(2 / BIN)
    for at in range(back, max(back, ends - span)):
        if part(at, at + span) >= 0.8 * before:
            return (at + span) * BIN - fault.at_s - fault.len_s
    return play.world.length_s - fault.at_s - fault.len_s


def cold_share(play: FleetPlay) -> float:
    """The largest sum at any cold node over the time of the rule, as a part of what pushes it over."""
    rules, worst = play.day.rules, 0.0
    fall = round(rules.fall_ms * MS)
    ups: dict[int, list[r.NodeStarted]] = defaultdict(list)
    came: dict[int, list[r.AttemptReceived]] = defaultdict(list)
    for record in play.records:
        if isinstance(record, r.NodeStarted) and record.cold_for:
            ups[record.node].append(record)
        elif isinstance(record, r.AttemptReceived):
            came[record.node].append(record)
    for node, starts in ups.items():
        for up in starts:
            window: deque[r.AttemptReceived] = deque()
            work = 0.0
            for leg in came[node]:
                if not up.t <= leg.t <= up.t + up.cold_for:
                    continue
                window.append(leg)
                work += leg.work
                while window[0].t <= leg.t - fall:
                    work -= window.popleft().work
                since = max(up.t, leg.t - fall)
                warm = [up.cold_from + (1 - up.cold_from) * (t - up.t) / up.cold_for for t in (since, leg.t)]
                able = up.capacity / SECOND * (warm[0] + warm[1]) / 2 * fall
                worst = max(worst, work / (rules.multiple * able + max(each.work for each in window)))
    return worst


def denied_though_held(play: FleetPlay) -> int:
    """Jobs that got nothing in their last try though a node that was up, in a zone that was whole, had what
    they asked for.
    """
    holders: dict[int, list[int]] = defaultdict(list)
    zone_of: dict[int, int] = {}
    turns: dict[int, list[tuple[int, bool]]] = defaultdict(list)
    for record in play.records:
        if isinstance(record, r.NodeStarted):
            holders[record.shard].append(record.node)
            zone_of[record.node] = record.zone
            turns[record.node].append((record.t, True))
        elif isinstance(record, r.NodeStopped):
            turns[record.node].append((record.t, False))
    began = round(play.began * SECOND)
    bad = [
        (each.zone, began + round(each.at_s * SECOND), began + round((each.at_s + each.len_s) * SECOND))
        for each in play.world.faults if each.kind in ZONE_FAULTS
    ]  # fmt: skip

    def serves(node: int, t: int) -> bool:
        told = turns[node]
        at = bisect_right(told, (t, True)) - 1
        whole = not any(zone == zone_of[node] and start <= t <= end for zone, start, end in bad)
        return at >= 0 and told[at][1] and whole

    denied = [job for job, how in last_answers(play) if how != "fulfilled"]
    return sum(
        any(serves(node, job.t) for node in (holders[job.shard] if job.shard >= 0 else turns))
        for job in denied
    )


def last_answers(play: FleetPlay) -> Iterable[tuple[r.RequestSent, str]]:
    """The last try of each job, and how it was answered."""
    last: dict[str, tuple[r.RequestSent, str]] = {}
    asked: dict[tuple[str, int, int], r.RequestSent] = {}
    for record in play.records:
        if isinstance(record, r.RequestSent):
            asked[record.gateway, record.conn, record.id] = record
            last[record.trace.split(".")[0]] = (record, "no answer")
        elif isinstance(record, r.ResponseReceived):
            job = asked[record.gateway, record.conn, record.id]
            if last[job.trace.split(".")[0]][0] is job:
                last[job.trace.split(".")[0]] = (job, record.outcome)
    return last.values()
