"""Which node a request goes to.

Inputs: the shard of the request, where an attempt of it may have run, each node's health, window, share of
served answers and slowdown, and what slow start and the fleet's rates say.

A request goes to a ready node of its shard; one under an idempotency key stays within the scope in which
the key is known. Several such nodes take turns in a weighted rotation by what each managed. Nodes that slow
start or a rate keeps back take part only where the request fits there well, or has nowhere else to go.
"""

from __future__ import annotations

from collections.abc import Mapping

from ochrecourse.interface import Health
from ochrecourse.scheduler.admission import Admission
from ochrecourse.scheduler.chance import Chance
from ochrecourse.scheduler.evacuation import NodeRates
from ochrecourse.scheduler.latency import TIMELY_SHARE, LatencyEstimator
from ochrecourse.scheduler.settings import Idempotency, RetryScope, SchedulerSettings
from ochrecourse.scheduler.slow_start import SlowStart
from ochrecourse.scheduler.state import Node, PendingRequest

LEAST_SLOWDOWN = 0.1  # in a node's weight; guards against dividing by next to nothing
ANY = -1  # shard or zone


class Placement:
    """Chooses among the nodes that hold a request's data.

    `settings`: of these it takes the margin by which an answer must be on its way (ns). The other parameters
    are the rules that say what a node is sent now, and how fast it answers.
    """

    __slots__ = ("_admission", "_latency", "_margin", "_rates", "_slow_start")

    def __init__(
        self,
        settings: SchedulerSettings,
        slow_start: SlowStart,
        rates: NodeRates,
        latency: LatencyEstimator,
        admission: Admission,
    ) -> None:
        self._margin = settings.safety.answer_margin
        self._slow_start = slow_start
        self._rates = rates
        self._latency = latency
        self._admission = admission

    def place(self, pending: PendingRequest, nodes: Mapping[int, Node], now: int) -> Node | None:
        """The node for a request, or None.

        With None, `pending.capacity_wait` is the time in ns until one has capacity, 0 where
        that is not known.
        """
        shard, zone = _allowed(pending)
        units = pending.request.units
        slow_start = self._slow_start
        best: Node | None = None
        limited: Node | None = None
        limited_wait = 0
        whole_weight = 0.0
        slow_start.count_load(units, len(nodes), now)
        for node in nodes.values():
            if shard not in (ANY, node.shard) or zone not in (ANY, node.zone):
                continue
            if node.health is not Health.READY:
                continue
            kept_back = now < node.slow_start_until and slow_start.keeps_back(node, now)
            if kept_back or node.rate is not None:
                wait = self._wait(node, units, kept_back, now)
                if limited is None or wait < limited_wait:
                    limited_wait = wait
                    limited = node
                continue
            weight = node.window * node.success_share / max(node.slowdown, LEAST_SLOWDOWN)
            node.rotation_credit += weight
            whole_weight += weight
            if best is None or node.rotation_credit > best.rotation_credit:
                best = node
        pending.capacity_wait = limited_wait
        if limited is not None and self._goes_to_limited(pending, limited, best, now):
            pending.capacity_wait = 0
            return limited
        if best is not None:
            best.rotation_credit -= whole_weight
        return best

    def _wait(self, node: Node, units: float, kept_back: bool, now: int) -> int:
        """Time in ns until the node takes the request, as far as slow start and its rate say."""
        slow_start_wait = node.slow_start_until - now if kept_back else 0
        return max(slow_start_wait, self._rates.wait(node, units, now) + self._rates.queue_time(node))

    def _goes_to_limited(self, pending: PendingRequest, node: Node, other: Node | None, now: int) -> bool:
        """Whether a request goes to a node that is kept back; `other`: one where it could go without that.

        A rate is capacity that is to be used, or nobody would learn that a node is back; but a request with
        a choice goes there only if it may be repeated and is still in time.
        """
        if other is not None:
            repeatable = pending.request_class.idempotency is Idempotency.ALWAYS
            if not repeatable or pending.attempts or pending.capacity_wait:
                return False
        self._latency.ease(node, now)  # or what it needed before its rate would keep all from trying it
        left = pending.serve_by - now - self._margin
        needed = self._latency.expected_time(pending, node)
        if other is None:
            return pending.capacity_wait + needed <= left
        timely = needed <= left * TIMELY_SHARE
        return timely and self._admission.priority_per_ns(pending) >= node.priority_floor


def enter_rotation(node: Node, chance: Chance) -> None:
    """Gives a new node its first credit, by chance: gateways with one list then begin at different nodes."""
    node.rotation_credit = node.window * chance.spread()


def _allowed(pending: PendingRequest) -> tuple[int, int]:
    """Shard and zone to which a request's next attempt may go."""
    shard = pending.request.shard
    first_run = pending.first_run
    if first_run is None or pending.request_class.idempotency is not Idempotency.WITH_KEY:
        return shard, ANY
    scope = pending.request_class.retry_scope
    if scope is RetryScope.SHARD:
        return first_run.shard, ANY
    return shard, first_run.zone if scope is RetryScope.ZONE else ANY
