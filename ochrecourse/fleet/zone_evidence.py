"""This gateway's own evidence on zones: its attempts at each node over a short window, and their report.

Gateways exchange counts, not conclusions: each one summarizes its own counts and those of all reachable
gateways. Free of I/O, clocks and randomness.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from collections.abc import Set as AbstractSet
from dataclasses import dataclass
from typing import NamedTuple

from ochrecourse.common.time_units import MS, SECOND
from ochrecourse.fleet.zone_report import (
    MAX_REPORTED,
    UNIT_FRACTIONS,
    AttemptTotals,
    NodeReport,
    ZoneCounts,
    ZoneReport,
)
from ochrecourse.interface import Ending

MAX_NODES_PER_ZONE = 64  # in a report; far more than needed to distinguish a lost zone from a failed rack
ALIVE_ANSWER_TIMES = 4  # mean answer times without an answer for which a node still counts as alive
ANSWER_TIME_WEIGHT = 0.125  # of the newest answer in the moving mean, which covers about eight answers
MIN_MEASURABLE_DURATION = MS  # ns; answers of attempts that usually take less are never counted as slow
SAMPLE_MULTIPLIER = 2_654_435_761  # odd, near 2**32 / golden ratio: spreads consecutive node numbers
SAMPLE_MASK = 0xFFFFFFFF

# Indices into a node's counts; from _ATTEMPTS to _SLOW in the order of the fields of ZoneCounts.
_ATTEMPTS, _SERVED, _FULL, _SLOW, _UNITS_SERVED, _UNITS_LOST = 0, 1, 2, 7, 8, 9
_COUNTS = 10
_COUNT_OF_ENDING = {
    Ending.SERVED: _SERVED,
    Ending.FULL: _FULL,
    Ending.UNREACHABLE: 3,
    Ending.RESET: 4,
    Ending.TIMEOUT: 5,
    Ending.ERROR: 6,
}
_ANSWERS = (Ending.SERVED, Ending.FULL)
_REFUSALS = (Ending.UNREACHABLE, Ending.RESET)


class EndedAttempt(NamedTuple):
    """An attempt that ended, or that has been unanswered for so long that it counts as TIMEOUT.

    `duration` and `ended_at`: ns. `usual_duration`: mean duration of such attempts in ns, 0 if unknown.
    """

    node: int
    ending: Ending
    duration: int
    usual_duration: float
    ended_at: int
    units: float = 1.0


@dataclass(frozen=True, slots=True)
class ReportScope:
    """What a report covers.

    `zone_of`: zone by node. `suspect_zones`: zones of which all nodes are reported. `accused_nodes`: nodes at
    which attempts of other gateways failed. `exhausted_zones`: copied into the report.
    """

    zone_of: Mapping[int, int]
    suspect_zones: AbstractSet[int] = frozenset()
    accused_nodes: AbstractSet[int] = frozenset()
    exhausted_zones: Iterable[int] = ()


class NodeObservations:
    """This gateway's observations of one node. Times in ns, -1 for never."""

    __slots__ = (
        "answer_time",
        "answered_at",
        "counts",
        "failed_at",
        "failures",
        "half_window",
        "last_answer_time",
        "previous_counts",
        "rate_used_until",
        "refuses",
    )

    def __init__(self) -> None:
        self.half_window = -1  # number of the half window that `counts` covers
        self.counts = [0] * _COUNTS
        self.previous_counts = [0] * _COUNTS
        self.failures = 0  # since the last answer
        self.refuses = False
        self.answered_at = -1
        self.failed_at = -1
        self.rate_used_until = 0  # ns at which its rate has covered the units sent to it
        self.answer_time = 0.0  # ns, moving mean
        self.last_answer_time = 0

    def advance_to(self, half_window: int) -> None:
        """Starts new counts if the half window has changed."""
        if half_window == self.half_window:
            return
        is_next = half_window == self.half_window + 1
        self.previous_counts = self.counts if is_next else [0] * _COUNTS
        self.counts = [0] * _COUNTS
        self.half_window = half_window

    def sum_of(self, index: int) -> int:
        """Returns one of the counts, summed over the window."""
        return self.counts[index] + self.previous_counts[index]


class _NodeStatus(NamedTuple):
    node: int
    zone: int
    observations: NodeObservations
    failures: int  # consecutive failures; 0 if none is within the window
    is_alive: bool

    @property
    def is_failing(self) -> bool:
        return self.failures > 0 and not self.is_alive


class LocalObservations:
    """This gateway's observations of all nodes.

    `window`, `alive_time`: ns. `slow_factor`: multiple of the usual duration above which an answer is slow.
    """

    def __init__(self, window: int, alive_time: int, slow_factor: float) -> None:
        self.window = window
        self.alive_time = alive_time
        self.slow_factor = slow_factor
        self.by_node: dict[int, NodeObservations] = {}
        self.recent: dict[
            int, None
        ] = {}  # nodes that were tried in the window, in the order of their first attempts

    def attempt_ended(self, attempt: EndedAttempt) -> None:
        """Counts an attempt."""
        index = _COUNT_OF_ENDING.get(attempt.ending)
        if index is None:
            return  # withdrawn or never sent, so it shows nothing about the node
        observations = self.by_node.setdefault(attempt.node, NodeObservations())
        self.recent[attempt.node] = None
        observations.advance_to(self._half_window(attempt.ended_at))
        counts = observations.counts
        is_answer = attempt.ending in _ANSWERS
        counts[_ATTEMPTS] += 1
        counts[index] += 1
        counts[_UNITS_SERVED if is_answer else _UNITS_LOST] += round(UNIT_FRACTIONS * attempt.units)
        if is_answer:
            counts[_SLOW] += self._is_slow(attempt)
            self._answer_observed(observations, attempt)
        else:
            observations.failures += 1
            observations.failed_at = attempt.ended_at
            observations.refuses = attempt.ending in _REFUSALS

    def _is_slow(self, attempt: EndedAttempt) -> bool:
        if attempt.ending is not Ending.SERVED or attempt.usual_duration <= MIN_MEASURABLE_DURATION:
            return False
        return attempt.duration > self.slow_factor * attempt.usual_duration

    def _answer_observed(self, observations: NodeObservations, attempt: EndedAttempt) -> None:
        observations.failures = 0
        observations.answered_at = attempt.ended_at
        observations.last_answer_time = attempt.duration
        mean = observations.answer_time
        observations.answer_time += (
            ANSWER_TIME_WEIGHT * (attempt.duration - mean) if mean else attempt.duration
        )

    def use_rate(self, node: int, units: float, rate: float, now: int) -> None:
        """Uses up the node's rate, in units/s, by the units sent to it."""
        if rate > 0:
            observations = self.by_node.setdefault(node, NodeObservations())
            since = max(now, observations.rate_used_until)
            observations.rate_used_until = since + round(units / rate * SECOND)

    def is_rate_used_up(self, node: int, now: int) -> bool:
        """Whether the units sent to the node exceed what its rate covers by now."""
        observations = self.by_node.get(node)
        return observations is not None and observations.rate_used_until > now

    def forget(self, nodes: Iterable[int]) -> None:
        """Drops all observations of the given nodes."""
        for node in nodes:
            self.by_node.pop(node, None)
            self.recent.pop(node, None)

    def report(self, scope: ReportScope, now: int) -> ZoneReport:
        """Returns the report for the window that ends now.

        It covers nodes that fail here, nodes accused by other gateways and all nodes of suspect zones.
        """
        statuses = self._recent_statuses(scope.zone_of, now)
        totals = _totals_of(statuses)
        covered = set(scope.suspect_zones)
        covered.update(each.zone for each in statuses if each.failures or each.node in scope.accused_nodes)
        statuses = [each for each in statuses if each.zone in covered]
        zones = _counts_by_zone(statuses)[:MAX_REPORTED]
        nodes = _sample(
            [
                each
                for each in statuses
                if each.failures or each.node in scope.accused_nodes or each.zone in scope.suspect_zones
            ]
        )
        exhausted_zones = sorted(scope.exhausted_zones)[:MAX_REPORTED]
        return ZoneReport(totals, tuple(zones), tuple(nodes), tuple(exhausted_zones))

    def _half_window(self, now: int) -> int:
        return now // (self.window // 2)

    def _recent_statuses(self, zone_of: Mapping[int, int], now: int) -> list[_NodeStatus]:
        """Returns the status of each node that was tried in the window, and drops others from `recent`."""
        half_window = self._half_window(now)
        statuses = []
        for node in list(self.recent):
            observations = self.by_node[node]
            zone = zone_of.get(node)
            observations.advance_to(half_window)
            if zone is None or not observations.sum_of(_ATTEMPTS):
                del self.recent[node]
            else:
                statuses.append(self._status_of(node, zone, observations, now))
        return statuses

    def _status_of(self, node: int, zone: int, observations: NodeObservations, now: int) -> _NodeStatus:
        # An overloaded node answers rarely but is alive: the last answer time shows the first late answer.
        usual = max(observations.answer_time, observations.last_answer_time)
        alive_time = max(self.alive_time, ALIVE_ANSWER_TIMES * usual)
        is_alive = observations.answered_at >= 0 and now - observations.answered_at <= alive_time
        is_recent = now - observations.failed_at <= self.window
        failures = observations.failures if observations.failures and is_recent else 0
        return _NodeStatus(node, zone, observations, failures, is_alive)


def _totals_of(statuses: Iterable[_NodeStatus]) -> AttemptTotals:
    totals = [0] * len(AttemptTotals._fields)
    for each in statuses:
        for i, index in enumerate((_ATTEMPTS, _SERVED, _FULL, _SLOW)):
            totals[i] += each.observations.sum_of(index)
    return AttemptTotals(*totals)


def _counts_by_zone(statuses: Iterable[_NodeStatus]) -> list[ZoneCounts]:
    by_zone: dict[int, list[_NodeStatus]] = {}
    for each in statuses:
        by_zone.setdefault(each.zone, []).append(each)
    return [_counts_of_zone(zone, by_zone[zone]) for zone in sorted(by_zone)]


def _counts_of_zone(zone: int, statuses: list[_NodeStatus]) -> ZoneCounts:
    sums = [sum(each.observations.sum_of(index) for each in statuses) for index in range(_COUNTS)]
    attempts = sums[: _SLOW + 1]
    nodes = [
        len(statuses),
        sum(each.is_alive for each in statuses),
        sum(each.is_failing for each in statuses),
    ]
    units = [sums[_UNITS_SERVED], sums[_UNITS_LOST]]
    return ZoneCounts(zone, *[*attempts, *nodes, *units])


def _sample(statuses: list[_NodeStatus]) -> list[NodeReport]:
    """Returns the reports of at most MAX_NODES_PER_ZONE nodes per zone.

    All gateways choose by the same order, so their samples overlap as far as they tried the same nodes.
    """
    ordered = sorted(statuses, key=lambda each: (each.node * SAMPLE_MULTIPLIER & SAMPLE_MASK, each.node))
    reported_of_zone: dict[int, int] = {}
    reports: list[NodeReport] = []
    for each in ordered:
        count = reported_of_zone.get(each.zone, 0)
        if count < MAX_NODES_PER_ZONE and len(reports) < MAX_REPORTED:
            reported_of_zone[each.zone] = count + 1
            refuses = each.failures > 0 and each.observations.refuses
            reports.append(NodeReport(each.node, each.failures, each.is_alive, refuses))
    return reports
