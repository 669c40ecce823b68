"""Summarizes the reports of all reachable gateways by zone; zone decisions are based on these summaries.

Free of I/O, clocks and randomness.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, field
from typing import NamedTuple

from ochrecourse.fleet.zone_report import UNIT_FRACTIONS, AttemptTotals, ZoneCounts, ZoneReport

FAILURES_OF_FAILING_NODE = 3  # consecutive, summed over all gateways; two occur at random
MIN_FAILURES_OF_ACCUSER = 2  # for one gateway to accuse a zone; a single one may be due to the attempt
ENOUGH_FAILING_NODES = 8  # of a large zone; one rack or one switch has fewer nodes
MAX_ALIVE_PER_FAILING = 0.25  # nodes reported alive per failing node, up to which a zone may be lost


class GatewayReport(NamedTuple):
    """A gateway's report and the zone of that gateway."""

    gateway_zone: int
    report: ZoneReport


@dataclass(slots=True)
class ZoneSummary:
    """The combined evidence of all reachable gateways on one zone. Units are scaled as in ZoneCounts."""

    ready_nodes: int = 0  # in the endpoint list
    failing_nodes: int = 0  # ready nodes with several failures that no gateway reports as alive
    alive_nodes: int = 0  # lower bound of the nodes that answered
    attempts: int = 0
    answered: int = 0
    failed: int = 0
    refusing_nodes: int = 0  # failing nodes that refuse or reset connections
    slow: int = 0
    units_served: int = 0
    units_lost: int = 0
    # Gateways, mapped to their own zones:
    accusers: dict[str, int] = field(default_factory=dict)  # fail here but get answers from other zones
    defenders: dict[str, int] = field(default_factory=dict)  # report more nodes alive than failing
    observers: dict[str, int] = field(default_factory=dict)  # made attempts in this zone
    losers: dict[str, int] = field(default_factory=dict)  # lose most units here but get answers elsewhere

    @property
    def is_suspect(self) -> bool:
        """Whether more than one node fails (or the only one), at least as many as are alive."""
        most_fail = self.failing_nodes >= min(2, self.ready_nodes) and self.failing_nodes >= self.alive_nodes
        return self.ready_nodes > 0 and most_fail and bool(self.accusers)

    @property
    def is_unresponsive(self) -> bool:
        """Whether at least half of the nodes fail, or enough of them, and almost none is alive."""
        half = (self.ready_nodes + 1) // 2
        enough = min(self.ready_nodes, max(2, min(ENOUGH_FAILING_NODES, half)))
        next_to_none_alive = self.alive_nodes <= MAX_ALIVE_PER_FAILING * self.failing_nodes
        return self.is_suspect and self.failing_nodes >= enough and next_to_none_alive

    @property
    def is_degraded(self) -> bool:
        """Whether most units are lost, though nodes may still answer.

        This must hold for the sum of all gateways, for gateways in several zones, and for at least half of
        the gateways that tried the zone.
        """
        from_several_zones = len(set(self.losers.values())) > 1
        for_most = 2 * len(self.losers) >= len(self.observers)
        return (
            self.ready_nodes > 0 and from_several_zones and for_most and self.units_lost > self.units_served
        )

    def as_evidence(self) -> dict[str, object]:
        """Returns the evidence as it is written in a decision entry."""
        return {
            "nodes": [self.ready_nodes, self.failing_nodes, self.alive_nodes, self.refusing_nodes],
            "legs": [self.attempts, self.answered, self.failed, self.slow],
            "units": [self.units_served // UNIT_FRACTIONS, self.units_lost // UNIT_FRACTIONS],
            "witnesses": len(self.accusers.keys() | self.losers.keys()),
            "zones": sorted({*self.accusers.values(), *self.losers.values()}),
        }

    def add_totals(self, totals: AttemptTotals) -> None:
        """Adds one gateway's totals over all zones; rejections by full nodes count as slow."""
        self.attempts += totals.attempts
        self.failed += totals.attempts - totals.served - totals.full
        self.slow += totals.slow + totals.full

    def add_counts(self, gateway: str, reported: GatewayReport, counts: ZoneCounts) -> None:
        """Adds one gateway's counts of the zone."""
        self.attempts += counts.attempts
        self.answered += counts.answered
        self.failed += counts.failed
        self.slow += counts.slow
        self.units_served += counts.units_served
        self.units_lost += counts.units_lost
        self.alive_nodes = max(self.alive_nodes, counts.nodes_alive)
        self._add_witness(gateway, reported, counts)

    def _add_witness(self, gateway: str, reported: GatewayReport, counts: ZoneCounts) -> None:
        zone, totals = reported.gateway_zone, reported.report.totals
        if counts.attempts:
            self.observers[gateway] = zone
        # A gateway that gets no answers from other zones may itself be disconnected, so it is no witness.
        answered_elsewhere = totals.served + totals.full > counts.answered
        if counts.units_lost > counts.units_served and answered_elsewhere:
            self.losers[gateway] = zone
        next_to_none_alive = counts.nodes_alive <= MAX_ALIVE_PER_FAILING * counts.nodes_failing
        if counts.nodes_alive > counts.nodes_failing:
            self.defenders[gateway] = zone
        elif counts.failed >= MIN_FAILURES_OF_ACCUSER and next_to_none_alive and answered_elsewhere:
            self.accusers[gateway] = zone


@dataclass(frozen=True, slots=True)
class ListedZones:
    """Nodes by the endpoint list.

    `zone_of`: zone by node. `ready`: ready nodes by zone. `rate_limited`: zones with limited rates, which get
    too few attempts for several consecutive failures.
    """

    zone_of: Mapping[int, int]
    ready: Mapping[int, AbstractSet[int]]
    rate_limited: AbstractSet[int] = frozenset()


def summarize(reports: Mapping[str, GatewayReport], listed: ListedZones) -> dict[int, ZoneSummary]:
    """Returns a summary of each zone with ready nodes that a report covers. `reports`: by gateway."""
    summaries: dict[int, ZoneSummary] = {}
    for gateway, reported in reports.items():
        for counts in reported.report.zones:
            if counts.zone in listed.ready:
                ready_nodes = len(listed.ready[counts.zone])
                summary = summaries.setdefault(counts.zone, ZoneSummary(ready_nodes))
                summary.add_counts(gateway, reported, counts)
    _add_nodes(summaries, _NodeEvidence.of(each.report for each in reports.values()), listed)
    return summaries


class _NodeEvidence(NamedTuple):
    failures: dict[int, int]  # by node, summed over all gateways
    alive: set[int]
    refusing: set[int]

    @classmethod
    def of(cls, reports: Iterable[ZoneReport]) -> _NodeEvidence:
        evidence = cls({}, set(), set())
        for report in reports:
            for each in report.nodes:
                evidence.failures[each.node] = evidence.failures.get(each.node, 0) + each.failures
                if each.is_alive:
                    evidence.alive.add(each.node)
                if each.refuses:
                    evidence.refusing.add(each.node)
        return evidence


def _add_nodes(summaries: Mapping[int, ZoneSummary], evidence: _NodeEvidence, listed: ListedZones) -> None:
    alive_nodes: dict[int, int] = {}
    for node, failures in evidence.failures.items():
        zone = listed.zone_of.get(node)
        if zone is None or zone not in summaries or node not in listed.ready[zone]:
            continue
        if node in evidence.alive:
            alive_nodes[zone] = alive_nodes.get(zone, 0) + 1
        elif failures >= (1 if zone in listed.rate_limited else FAILURES_OF_FAILING_NODE):
            summaries[zone].failing_nodes += 1
            summaries[zone].refusing_nodes += node in evidence.refusing
    for zone, count in alive_nodes.items():
        summaries[zone].alive_nodes = max(summaries[zone].alive_nodes, count)
