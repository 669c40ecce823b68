"""Placement: the choice of a node for each request.

Inputs: the shard of the request, where an attempt of it may have run, each node's health, window, share of
served answers and slowdown, and the limits of slow start and of the fleet's rates.

A request is sent to a ready node of its shard; a retry with an idempotency key stays within the scope in
which the key is known. If there are several such nodes, a weighted round robin chooses by the performance of
each. Nodes that slow start or a rate limits are chosen only if the request fits there easily, or if there is
no other node.
"""

from __future__ import annotations

from collections.abc import Mapping

from ochrecourse.interface import Health
from ochrecourse.scheduler.admission import Admission
from ochrecourse.scheduler.evacuation import NodeRates
from ochrecourse.scheduler.latency import TIMELY_SHARE, LatencyEstimator
from ochrecourse.scheduler.random_source import RandomSource
from ochrecourse.scheduler.settings import Idempotency, RetryScope, SchedulerSettings
from ochrecourse.scheduler.slow_start import SlowStart
from ochrecourse.scheduler.state import Node, PendingRequest

MIN_SLOWDOWN = 0.1  # in a node's weight; prevents division by a value near zero
ANY = -1  # shard or zone


class Placement:
    """Chooses among the nodes that store a request's data.

    Settings used: the margin by which an answer must be sent before its time is up (ns). The other parameters
    limit what a node is sent now and estimate how fast it answers.
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
        """Returns the node for a request, or None.

        With None, `pending.capacity_wait` is the time in ns until a node has capacity, 0 if unknown.
        """
        shard, zone = _allowed_scope(pending)
        units = pending.request.units
        slow_start = self._slow_start
        best: Node | None = None
        limited: Node | None = None
        limited_wait = 0
        total_weight = 0.0
        slow_start.count_load(units, len(nodes), now)
        for node in nodes.values():
            if shard not in (ANY, node.shard) or zone not in (ANY, node.zone):
                continue
            if node.health is not Health.READY:
                continue
            throttled = now < node.slow_start_until and slow_start.is_throttled(node, now)
            if throttled or node.rate is not None:
                wait = self._wait(node, units, throttled, now)
                if limited is None or wait < limited_wait:
                    limited_wait = wait
                    limited = node
                continue
            weight = node.window * node.success_share / max(node.slowdown, MIN_SLOWDOWN)
            node.rotation_credit += weight
            total_weight += weight
            if best is None or node.rotation_credit > best.rotation_credit:
                best = node
        pending.capacity_wait = limited_wait
        if limited is not None and self._prefers_limited(pending, limited, best, now):
            pending.capacity_wait = 0
            return limited
        if best is not None:
            best.rotation_credit -= total_weight
        return best

    def _wait(self, node: Node, units: float, throttled: bool, now: int) -> int:
        """Returns the time in ns until slow start and the rate allow the request at the node."""
        slow_start_wait = node.slow_start_until - now if throttled else 0
        return max(slow_start_wait, self._rates.wait(node, units, now) + self._rates.queue_time(node))

    def _prefers_limited(self, pending: PendingRequest, node: Node, other: Node | None, now: int) -> bool:
        """Returns whether to choose a limited node; `other`: an unlimited node that is available, if any.

        Capacity under a rate must be used, otherwise no gateway would learn that a node has recovered. But a
        request that has another node is sent to the limited one only if it may be repeated and is in time.
        """
        if other is not None:
            repeatable = pending.request_class.idempotency is Idempotency.ALWAYS
            if not repeatable or pending.attempts or pending.capacity_wait:
                return False
        # Without this, the node's slowdown from before it was limited would prevent all further attempts.
        self._latency.decay_estimates(node, now)
        time_left = pending.serve_by - now - self._margin
        expected_time = self._latency.expected_time(pending, node)
        if other is None:
            return pending.capacity_wait + expected_time <= time_left
        timely = expected_time <= time_left * TIMELY_SHARE
        return timely and self._admission.priority_per_ns(pending) >= node.priority_floor


def init_rotation_credit(node: Node, random_source: RandomSource) -> None:
    """Sets a new node's credit at random, so that gateways with the same list start at different nodes."""
    node.rotation_credit = node.window * random_source.jitter()


def _allowed_scope(pending: PendingRequest) -> tuple[int, int]:
    """Returns the shard and zone to which a request's next attempt may be sent."""
    shard = pending.request.shard
    first_run = pending.first_run
    if first_run is None or pending.request_class.idempotency is not Idempotency.WITH_KEY:
        return shard, ANY
    scope = pending.request_class.retry_scope
    if scope is RetryScope.SHARD:
        return first_run.shard, ANY
    return shard, first_run.zone if scope is RetryScope.ZONE else ANY
