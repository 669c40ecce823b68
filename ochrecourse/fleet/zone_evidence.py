"""This gateway's own evidence of zones: its attempts at each node over a short window, and their report.

Gateways share counts, never verdicts: each of them summarizes the counts of all that it reaches and its own.
Free of I/O, clocks and chance.
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

MAX_NODES_PER_ZONE = 64  # in a report; far more than tell a lost zone from a bad rack
ALIVE_ANSWER_TIMES = 4  # times its usual answer time that a node may not answer and still count as alive
ANSWER_TIME_WEIGHT = 0.125  # of the newest answer in the mean; about the last eight count
MIN_MEASURABLE_PACE = MS  # ns a unit; a shorter pace is no measure for slow answers
SAMPLE_MULTIPLIER = 2_654_435_761  # odd, near the golden section of 2**32: a rack's nodes fall far apart
SAMPLE_MASK = 0xFFFFFFFF

# Places in a node's counts; from the first to the slow attempts as in ZoneCounts.
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
    """An attempt that ended, or that has been without an answer for too long and counts as TIMEOUT.

    `duration`: ns; `usual_duration`: ns that such an attempt usually takes, 0 if that is not known;
    `ended_at`: ns.
    """

    node: int
    ending: Ending
    duration: int
    usual_duration: float
    ended_at: int
    units: float = 1.0


@dataclass(frozen=True, slots=True)
class ReportScope:
    """What a report is to cover. `suspect_zones`: zones of which all is reported; `accused_nodes`: nodes at
    which other gateways failed; `exhausted_zones`: passed on as they are.
    """

    zone_of: Mapping[int, int]
    suspect_zones: AbstractSet[int] = frozenset()
    accused_nodes: AbstractSet[int] = frozenset()
    exhausted_zones: Iterable[int] = ()


class NodeObservations:
    """One node as this gateway observes it. Times in ns, -1 for never."""

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
        self.half_window = -1  # the half of the window that `counts` are of
        self.counts = [0] * _COUNTS
        self.previous_counts = [0] * _COUNTS
        self.failures = 0  # since the last answer
        self.refuses = False
        self.answered_at = -1
        self.failed_at = -1
        self.rate_used_until = 0  # when its rate covers the units that it was sent
        self.answer_time = 0.0  # ns, in the mean
        self.last_answer_time = 0

    def advance_to(self, half_window: int) -> None:
        """Counts are of this half of the window from now on."""
        if half_window == self.half_window:
            return
        is_next = half_window == self.half_window + 1
        self.previous_counts = self.counts if is_next else [0] * _COUNTS
        self.counts = [0] * _COUNTS
        self.half_window = half_window

    def sum_of(self, place: int) -> int:
        """One of the counts over the window."""
        return self.counts[place] + self.previous_counts[place]


class _NodeStatus(NamedTuple):
    node: int
    zone: int
    observations: NodeObservations
    failures: int  # in a row, 0 without a recent one
    is_alive: bool

    @property
    def is_failing(self) -> bool:
        return self.failures > 0 and not self.is_alive


class LocalObservations:
    """This gateway's observations of all nodes. `window`, `alive_time`: ns; `slow_factor`: times the pace
    from which on an answer is slow.
    """

    def __init__(self, window: int, alive_time: int, slow_factor: float) -> None:
        self.window = window
        self.alive_time = alive_time
        self.slow_factor = slow_factor
        self.by_node: dict[int, NodeObservations] = {}
        self.recent: dict[int, None] = {}  # nodes that were tried in the window, in that order

    def attempt_ended(self, attempt: EndedAttempt) -> None:
        """Counts an attempt."""
        place = _COUNT_OF_ENDING.get(attempt.ending)
        if place is None:
            return  # withdrawn, or never sent: no evidence of the node
        observations = self.by_node.setdefault(attempt.node, NodeObservations())
        self.recent[attempt.node] = None
        observations.advance_to(self._half_window(attempt.ended_at))
        counts = observations.counts
        is_answer = attempt.ending in _ANSWERS
        counts[_ATTEMPTS] += 1
        counts[place] += 1
        counts[_UNITS_SERVED if is_answer else _UNITS_LOST] += round(UNIT_FRACTIONS * attempt.units)
        if is_answer:
            counts[_SLOW] += self._is_slow(attempt)
            self._answer_observed(observations, attempt)
        else:
            observations.failures += 1
            observations.failed_at = attempt.ended_at
            observations.refuses = attempt.ending in _REFUSALS

    def _is_slow(self, attempt: EndedAttempt) -> bool:
        if attempt.ending is not Ending.SERVED or attempt.usual_duration <= MIN_MEASURABLE_PACE:
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
        """The node was sent units, of which `rate` a second may begin there."""
        if rate > 0:
            observations = self.by_node.setdefault(node, NodeObservations())
            since = max(now, observations.rate_used_until)
            observations.rate_used_until = since + round(units / rate * SECOND)

    def is_rate_used_up(self, node: int, now: int) -> bool:
        """Whether the node was sent all that its rate covers by now."""
        observations = self.by_node.get(node)
        return observations is not None and observations.rate_used_until > now

    def forget(self, nodes: Iterable[int]) -> None:
        """Drops all observations of these nodes."""
        for node in nodes:
            self.by_node.pop(node, None)
            self.recent.pop(node, None)

    def report(self, scope: ReportScope, now: int) -> ZoneReport:
        """The report of the window that ends now."""
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
        """The nodes that were tried in the window; others are no longer recent."""
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
        # Guards against a jam: an overloaded node answers seldom, from the first late answer on.
        usual = max(observations.answer_time, observations.last_answer_time)
        alive_time = max(self.alive_time, ALIVE_ANSWER_TIMES * usual)
        is_alive = observations.answered_at >= 0 and now - observations.answered_at <= alive_time
        is_recent = now - observations.failed_at <= self.window
        failures = observations.failures if observations.failures and is_recent else 0
        return _NodeStatus(node, zone, observations, failures, is_alive)


def _totals_of(statuses: Iterable[_NodeStatus]) -> AttemptTotals:
    totals = [0] * len(AttemptTotals._fields)
    for each in statuses:
        for i, place in enumerate((_ATTEMPTS, _SERVED, _FULL, _SLOW)):
            totals[i] += each.observations.sum_of(place)
    return AttemptTotals(*totals)


def _counts_by_zone(statuses: Iterable[_NodeStatus]) -> list[ZoneCounts]:
    by_zone: dict[int, list[_NodeStatus]] = {}
    for each in statuses:
        by_zone.setdefault(each.zone, []).append(each)
    return [_counts_of_zone(zone, by_zone[zone]) for zone in sorted(by_zone)]


def _counts_of_zone(zone: int, statuses: list[_NodeStatus]) -> ZoneCounts:
    sums = [sum(each.observations.sum_of(place) for each in statuses) for place in range(_COUNTS)]
    attempts = sums[: _SLOW + 1]
    nodes = [
        len(statuses),
        sum(each.is_alive for each in statuses),
        sum(each.is_failing for each in statuses),
    ]
    units = [sums[_UNITS_SERVED], sums[_UNITS_LOST]]
    return ZoneCounts(zone, *[*attempts, *nodes, *units])


def _sample(statuses: list[_NodeStatus]) -> list[NodeReport]:
    """Of a large zone some nodes, the same ones at all gateways as far as they were tried."""
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
