"""Latency estimates: the usual pace of each request class, and the slowdown of each node relative to it.

Inputs: how each attempt ended and how long it took (ns). Outputs: the time that a request is expected to
take at a node (ns), whether answers are being lost in transit, and whether an answer indicates that its node
is overloaded.

Each class has a usual pace (ns per unit) over all nodes, and each node has a slowdown relative to that pace.
Without new answers, a slowdown decays towards the recent mean of all nodes, so that a node is eventually
tried again. The decay is slower the more gateways there are; otherwise all of them together would fill an
overloaded node again before its queue is empty.
"""

from __future__ import annotations

from ochrecourse.common.time_units import MS, SECOND
from ochrecourse.interface import AttemptEnd, Ending
from ochrecourse.scheduler.settings import Idempotency, SchedulerSettings
from ochrecourse.scheduler.state import Node, PaceEstimate, PendingRequest

INITIAL_PACE_NS_PER_UNIT = 20 * MS  # estimate before the first answer
SMOOTHING = 0.125  # weight of the newest answer in a running mean
RARE_ANSWER_INTERVAL = 2 * SECOND  # ns after the previous answer; the newest then has half of the weight
MIN_ESTIMATE_HALVING_TIME = 1350 * MS  # ns, for a node's estimates; a short overload ends within it
TIMELY_SHARE = 0.3  # of the shortest latency objective; an answer that takes longer is late
LOST_AFTER_EXPECTED_TIMES = 4  # multiple of the expected time after which an attempt counts as lost
MIN_LOST_SHARE = 0.04  # share of attempts at quick nodes above which answers are being lost
MAX_LOST_SHARE = 0.4  # upper limit of that share; a higher one indicates an overload
SLOWDOWN_BACKOFF_FACTOR = 2  # applied to a slowdown for each attempt that was refused or not answered
MAX_BACKOFF_SLOWDOWN = 64.0  # maximum slowdown that such attempts lead to
ENDED_BY_GATEWAY = (Ending.WITHDRAWN, Ending.MOOT)  # endings that give no information about the node


class LatencyEstimator:
    """This gateway's estimates of answer times.

    Settings used: the number of gateways, the units of a typical request, and the latency objective of each
    class (ns). `now`: clock time of the gateway's start, ns.

    `paces` has an estimate for each class, in the order of the settings; the other estimates are running
    means over all nodes.
    """

    __slots__ = (
        "_latency_objectives",
        "_strictest_class",
        "_usual_units",
        "gateways",
        "last_answer_at",
        "late_share",
        "lost_share",
        "paces",
        "slowdown",
    )

    def __init__(self, settings: SchedulerSettings, now: int) -> None:
        self.gateways = settings.safety.gateways
        self._usual_units = settings.safety.usual_units
        self._latency_objectives = [each.latency_objective for each in settings.request_classes]
        self.paces = [PaceEstimate(float(INITIAL_PACE_NS_PER_UNIT)) for _ in self._latency_objectives]
        numbers = range(len(self.paces))
        self._strictest_class = min(numbers, key=lambda number: self._latency_objectives[number], default=0)
        self.lost_share = 0.0  # running share of attempts at quick nodes whose answers were lost
        self.late_share = 0.0  # running share of served answers that were late
        self.slowdown = 1.0  # running mean over all nodes
        self.last_answer_at = now  # last update of `slowdown`

    def expected_time(self, pending: PendingRequest, node: Node) -> int:
        """Returns the time in ns that a request is expected to take at a node."""
        return round(node.slowdown * pending.pace.ns_per_unit * pending.request.units)

    def loses_answers(self) -> bool:
        """Returns whether answers are being lost in transit.

        This is so while the share of unanswered attempts at quick nodes exceeds the share of late answers,
        but is not so high that it indicates an overload.
        """
        return max(MIN_LOST_SHARE, self.late_share) < self.lost_share < MAX_LOST_SHARE

    def has_early_timeout(self, pending: PendingRequest) -> bool:
        """Returns whether an attempt sent now has an early time-out that leaves time for a retry."""
        repeatable = pending.request_class.idempotency is not Idempotency.NEVER
        return repeatable and self.loses_answers()

    def attempt_timeout(self, pending: PendingRequest, node: Node, early_timeout: bool) -> int:
        """Returns the time in ns without an answer after which an attempt at a node counts as lost."""
        minimum = 0 if early_timeout else pending.request_class.latency_objective
        return max(minimum, LOST_AFTER_EXPECTED_TIMES * self.expected_time(pending, node))

    def decay_estimates(self, node: Node, now: int) -> None:
        """Decays the estimates of a node up to now, unless attempts are outstanding there."""
        if not node.outstanding:
            one_request_each = (
                self.gateways * min([each.ns_per_unit for each in self.paces]) * self._usual_units
            )
            halving_time = max(MIN_ESTIMATE_HALVING_TIME, one_request_each)
            keep = 0.5 ** ((now - node.decayed_at) / halving_time)
            node.priority_floor *= keep
            usual = 1 + (self.slowdown - 1) * 0.5 ** ((now - self.last_answer_at) / halving_time)
            node.slowdown = usual * (1 - keep) + keep * node.slowdown
        node.decayed_at = now

    def learn(self, node: Node, pending: PendingRequest, end: AttemptEnd, now: int) -> bool:
        """Updates the estimates from the end of an attempt; returns whether it indicates a node overload."""
        ending = end.ending
        served = ending is Ending.SERVED
        gap = now - node.last_answer_at
        # Prevents stale means where answers are rare.
        newest_weight = max(SMOOTHING, gap / (gap + RARE_ANSWER_INTERVAL))
        node.last_answer_at = now
        node.success_share += SMOOTHING * (served - node.success_share)
        if served:
            self._learn_pace(pending, end.took)
        refused = ending is Ending.FULL or ending is Ending.UNREACHABLE
        self._learn_slowdown(node, pending, end, newest_weight, now)
        late = self._is_late(pending, end.took)
        self.late_share += served * SMOOTHING / 2 * (late - self.late_share)
        return late or refused or ending is Ending.RESET

    def _learn_pace(self, pending: PendingRequest, took: int) -> None:
        pace = pending.pace
        objective = pending.request_class.latency_objective
        # Prevents an overload from being learned as the usual pace, after which no request would be sent.
        slowest = TIMELY_SHARE * objective / self._usual_units
        observed = max(1, took) / pending.request.units
        pace.answers += 1  # equal weight for the first answers, or a rare class keeps its initial estimate
        pace.ns_per_unit += max(SMOOTHING, 1 / pace.answers) * (min(slowest, observed) - pace.ns_per_unit)

    def _learn_slowdown(
        self, node: Node, pending: PendingRequest, end: AttemptEnd, newest_weight: float, now: int
    ) -> None:
        ending = end.ending
        served = ending is Ending.SERVED
        timed_out = ending is Ending.TIMEOUT
        # Prevents sending many requests to a node that refuses them immediately: a refusal counts as if it
        # had taken the whole latency objective.
        refused = ending is Ending.FULL or ending is Ending.UNREACHABLE
        duration = pending.request_class.latency_objective if refused else end.took
        ratio = duration / (pending.pace.ns_per_unit * pending.request.units) + refused
        # Prevents lost answers from making a node look slow: while answers of quick nodes are being lost, the
        # first missing answer in a row does not change the node's slowdown.
        lost = timed_out and node.last_answer_quick and ratio >= LOST_AFTER_EXPECTED_TIMES * node.slowdown
        self.lost_share += node.last_answer_quick * SMOOTHING / 2 * (lost - self.lost_share)
        if served:
            node.last_answer_quick = ratio < LOST_AFTER_EXPECTED_TIMES
        elif lost and node.last_attempt_timed_out:
            node.last_answer_quick = False
        node.last_attempt_timed_out = timed_out
        if refused or timed_out:  # no answer time was observed: back off exponentially
            ratio = min(SLOWDOWN_BACKOFF_FACTOR * max(ratio, node.slowdown), MAX_BACKOFF_SLOWDOWN)
        if served or refused or (timed_out and not (lost and self.loses_answers())):
            node.slowdown += newest_weight * (ratio - node.slowdown)
            self.slowdown += SMOOTHING * (min(ratio, LOST_AFTER_EXPECTED_TIMES) - self.slowdown)
            self.last_answer_at = now

    def _is_late(self, pending: PendingRequest, took: int) -> bool:
        """Returns whether an answer took too long.

        All requests at a node share its queue, so the shortest objective of any class limits each of them.
        """
        strictest = self._strictest_class
        cost = pending.request.units * pending.pace.ns_per_unit
        size = max(1.0, cost / self.paces[strictest].ns_per_unit / self._usual_units)
        return took > TIMELY_SHARE * self._latency_objectives[strictest] * size
