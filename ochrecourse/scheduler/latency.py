"""How long answers take: by class of requests, and at each node against what is usual.

Inputs: how each attempt ended and how long it took (ns). Outputs: the time that a request is expected to
need at a node (ns), whether answers get lost on the way, and whether an answer shows that its node is
overloaded.

Each class has a usual pace (ns per unit) over all nodes, each node a slowdown against it. Without news a
slowdown eases to what all nodes had recently, so that a node is tried again in the end: the slower, the more
gateways there are, or all of them together would fill an overloaded node again before its queue is empty.
"""

from __future__ import annotations

from ochrecourse.common.time_units import MS, SECOND
from ochrecourse.interface import AttemptEnd, Ending
from ochrecourse.scheduler.settings import Idempotency, SchedulerSettings
from ochrecourse.scheduler.state import Node, PaceEstimate, PendingRequest

FIRST_PACE_NS_PER_UNIT = 20 * MS  # expected before any answer was seen
SMOOTHING = 0.125  # weight of the newest answer in a running mean
RARE_ANSWER_SPAN = 2 * SECOND  # ns since the answer before after which the newest has half of the weight
EASING_HALVING = 1350 * MS  # ns in which beliefs of a node halve, at the least; a short overload is over
TIMELY_SHARE = 0.3  # of the shortest latency objective; an answer that takes longer is late
LOST_AFTER_USUAL_TIMES = 4  # expected answer times after which an attempt counts as lost
LEAST_LOST_SHARE = 0.04  # of attempts at quick nodes above which answers get lost
MOST_LOST_SHARE = 0.4  # and below which; more is an overload
SLOWDOWN_BACKOFF_FACTOR = 2  # on a slowdown, for each attempt that was refused or not answered
MAX_BACKOFF_SLOWDOWN = 64.0  # usual answer times
ENDED_BY_GATEWAY = (Ending.WITHDRAWN, Ending.MOOT)  # these tell nothing of the node


class LatencyEstimator:
    """What this gateway has learned of answer times.

    `settings`: of these it takes the number of gateways, the units of a usual request, and the latency
    objective of each class (ns). `now`: clock time of the gateway's start, ns.

    `paces` has an estimate for each class, in the order of the settings; the other attributes are running
    figures over all nodes.
    """

    __slots__ = (
        "_latency_objectives",
        "_tightest",
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
        self.paces = [PaceEstimate(float(FIRST_PACE_NS_PER_UNIT)) for _ in self._latency_objectives]
        numbers = range(len(self.paces))
        self._tightest = min(numbers, key=lambda number: self._latency_objectives[number], default=0)
        self.lost_share = 0.0  # running share of attempts at quick nodes whose answers got lost
        self.late_share = 0.0  # running share of served answers that were late
        self.slowdown = 1.0  # running mean over all nodes
        self.last_answer_at = now  # of any node

    def expected_time(self, pending: PendingRequest, node: Node) -> int:
        """Time in ns that a request is expected to take at a node."""
        return round(node.slowdown * pending.pace.ns_per_unit * pending.request.units)

    def answers_get_lost(self) -> bool:
        """Whether more attempts go unanswered at quick nodes than answers come late, and not too many."""
        return max(LEAST_LOST_SHARE, self.late_share) < self.lost_share < MOST_LOST_SHARE

    def is_retried_soon(self, pending: PendingRequest) -> bool:
        """Whether an attempt sent now is given up early, so that there is time for another."""
        repeatable = pending.request_class.idempotency is not Idempotency.NEVER
        return repeatable and self.answers_get_lost()

    def patience(self, pending: PendingRequest, node: Node, retried_soon: bool) -> int:
        """Time in ns without an answer after which an attempt at a node counts as lost."""
        least = 0 if retried_soon else pending.request_class.latency_objective
        return max(least, LOST_AFTER_USUAL_TIMES * self.expected_time(pending, node))

    def ease(self, node: Node, now: int) -> None:
        """Brings what is believed of a node up to now; while attempts are outstanding there it stays."""
        if not node.outstanding:
            one_each = self.gateways * min([each.ns_per_unit for each in self.paces]) * self._usual_units
            halving = max(EASING_HALVING, one_each)
            keep = 0.5 ** ((now - node.decayed_at) / halving)
            node.priority_floor *= keep
            usual = 1 + (self.slowdown - 1) * 0.5 ** ((now - self.last_answer_at) / halving)
            node.slowdown = usual * (1 - keep) + keep * node.slowdown
        node.decayed_at = now

    def learn(self, node: Node, pending: PendingRequest, end: AttemptEnd, now: int) -> bool:
        """Learns from the end of an attempt; returns whether it shows that the node is overloaded."""
        ending = end.ending
        served = ending is Ending.SERVED
        gap = now - node.last_answer_at
        # Guards against stale means where answers are rare.
        newest_weight = max(SMOOTHING, gap / (gap + RARE_ANSWER_SPAN))
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
        # Guards against taking an overload for the usual pace, after which nothing would be tried any more.
        slowest = TIMELY_SHARE * objective / self._usual_units
        seen = max(1, took) / pending.request.units
        pace.answers += 1  # the first answers have equal weight, or a rare class stays at its first estimate
        pace.ns_per_unit += max(SMOOTHING, 1 / pace.answers) * (min(slowest, seen) - pace.ns_per_unit)

    def _learn_slowdown(
        self, node: Node, pending: PendingRequest, end: AttemptEnd, newest_weight: float, now: int
    ) -> None:
        ending = end.ending
        served = ending is Ending.SERVED
        silent = ending is Ending.TIMEOUT
        # Guards against beating on a node that refuses requests at once: it counts as a wait for the
        # objective.
        refused = ending is Ending.FULL or ending is Ending.UNREACHABLE
        wait = pending.request_class.latency_objective if refused else end.took
        ratio = wait / (pending.pace.ns_per_unit * pending.request.units) + refused
        # Guards against lost answers that look like a slow node: while they are lost at quick nodes, the
        # first one in a row tells nothing of its node.
        lost = silent and node.last_answer_quick and ratio >= LOST_AFTER_USUAL_TIMES * node.slowdown
        self.lost_share += node.last_answer_quick * SMOOTHING / 2 * (lost - self.lost_share)
        if served:
            node.last_answer_quick = ratio < LOST_AFTER_USUAL_TIMES
        elif lost and node.last_attempt_silent:
            node.last_answer_quick = False
        node.last_attempt_silent = silent
        if refused or silent:  # no time was seen: each one only makes the next wait longer
            ratio = min(SLOWDOWN_BACKOFF_FACTOR * max(ratio, node.slowdown), MAX_BACKOFF_SLOWDOWN)
        if served or refused or (silent and not (lost and self.answers_get_lost())):
            node.slowdown += newest_weight * (ratio - node.slowdown)
            self.slowdown += SMOOTHING * (min(ratio, LOST_AFTER_USUAL_TIMES) - self.slowdown)
            self.last_answer_at = now

    def _is_late(self, pending: PendingRequest, took: int) -> bool:
        """All requests at a node share its queue, so the shortest objective sets what each may take there."""
        tightest = self._tightest
        cost = pending.request.units * pending.pace.ns_per_unit
        size = max(1.0, cost / self.paces[tightest].ns_per_unit / self._usual_units)
        return took > TIMELY_SHARE * self._latency_objectives[tightest] * size
