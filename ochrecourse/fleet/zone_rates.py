"""Rates at which this gateway may send to nodes of zones with limited rates, in units/s.

Free of I/O, clocks and randomness.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import NamedTuple

from ochrecourse.common.time_units import MS, SECOND
from ochrecourse.fleet.zone_context import ZoneContext
from ochrecourse.fleet.zone_limits import RateLimitedZones
from ochrecourse.fleet.zone_report import ZoneReport
from ochrecourse.fleet.zone_state import ZoneDecision, ZoneState

# ns; a rate that covers a request within this time may be used at once; equals the default `cold_fall`.
IMMEDIATE_WINDOW = 1500 * MS
MIN_PROBED_NODES = 4  # of an evacuated zone; two that answer suffice for a slow start
PROBE_ROTATION_MS = 10_000  # then other nodes are probed, so that a failed rack does not delay recovery
STALE_AFTER = 3 * SECOND  # ns; an older report is no evidence; outlasts one or two lost heartbeats
NEVER = -STALE_AFTER
PHASE_BYTES = 4


class _ProbedNodes(NamedTuple):
    rotation: int
    nodes: set[int]


class _PendingRequest(NamedTuple):
    """A request that may begin once the rate has covered `units_left`, as of `at` (ns)."""

    units_left: float
    at: int


class NodeRates:
    """Computes this gateway's rates by node."""

    def __init__(self, context: ZoneContext, limited: RateLimitedZones) -> None:
        self.context = context
        self.settings = context.settings
        self.limited = limited
        self._probed: dict[int, _ProbedNodes] = {}  # by zone
        self._pending: dict[int, _PendingRequest] = {}  # by node

    def endpoint_list_changed(self) -> None:
        """Drops the chosen nodes to probe; they are chosen again from the new list."""
        self._probed = {}

    def report_received(self, report: ZoneReport, now: int) -> None:
        """Records the nodes that the report shows as alive."""
        alive = (each.node for each in report.nodes if each.is_alive and not each.failures)
        self.context.node_alive_at.update((node, now) for node in alive)

    def limit(self, zone: int, node: int, now: int) -> float:
        """Returns the rate of the whole fleet at a node of a zone with limited rates, in units/s."""
        decision = self.context.decisions.of(zone)
        if decision.state is ZoneState.SLOW_START and zone not in self.context.isolated_zones:
            limit = self.settings.full_node_rate * decision.fraction
            is_cold = self.context.nodes.by_node[node].warm_at > now
            return min(limit, self.context.cold_node_rate) if is_cold else limit
        if decision.state is not ZoneState.EVACUATED:
            return self._probe_rate()
        return self._limit_of_evacuated(zone, node, now)

    def _probe_rate(self) -> float:
        return min(self.context.cold_node_rate, self.settings.health_check_rate)

    def _limit_of_evacuated(self, zone: int, node: int, now: int) -> float:
        decision, summary = self.context.decisions.of(zone), self.context.summaries.get(zone)
        limit = self._probe_rate()
        if not self.limited.is_only_holder(node):
            if self.limited.is_probing_paused(zone, now) or node not in self._probed_nodes(zone):
                limit = 0.0  # its answer is not needed now, so no request is risked on it
        elif not decision.by_operator and self._is_alive(node, now):
            # It answers, so requests that no other node can serve do not wait for the zone's slow start.
            limit = self.context.cold_node_rate
        if decision.fraction < 1 and summary is not None and summary.alive_nodes:
            # The load that other zones can't take stays here, where some of it is still served.
            limit = max(limit, self._excess_rate(decision))
        return limit

    def _is_alive(self, node: int, now: int) -> bool:
        return now - self.context.node_alive_at.get(node, NEVER) < self.settings.window

    def _excess_rate(self, decision: ZoneDecision) -> float:
        return min(self.context.cold_node_rate, (1 - decision.fraction) * self.settings.full_node_rate)

    def _probed_nodes(self, zone: int) -> set[int]:
        """Returns the nodes of an evacuated zone to probe for its recovery; they rotate through the zone."""
        rotation = (self.context.quota.wall_ms or 0) // PROBE_ROTATION_MS
        if zone not in self._probed or self._probed[zone].rotation != rotation:
            nodes = sorted(self.context.nodes.ready.get(zone, ()))
            count = min(len(nodes), max(MIN_PROBED_NODES, (len(nodes) + 1) // 2))
            chosen = {nodes[(rotation * count + i) % len(nodes)] for i in range(count)}
            self._probed[zone] = _ProbedNodes(rotation, chosen)
        return self._probed[zone].nodes

    def rate(self, zone: int, node: int, now: int) -> float:
        """Returns this gateway's share of the fleet's rate at a node, in units/s, by its quota."""
        return self.limit(zone, node, now) * self.context.quota.usable(zone, node, now)

    def rates(self, now: int) -> dict[int, float]:
        """Returns this gateway's current rate by node, in units/s; nodes without a limit are omitted."""
        rates = {
            node: self.rate(zone, node, now)
            for zone in sorted(self.limited.zones())
            for node in sorted(self.context.nodes.listed.get(zone, ()))
        }
        # The wait for a request pauses while a node's rate is 0 and goes on when it is probed again.
        self._pending = {
            node: _PendingRequest(pending.units_left, pending.at if rates[node] else now)
            for node, pending in self._pending.items()
            if node in rates
        }
        return {node: rate and self._rate_now(node, rate, now) for node, rate in rates.items()}

    def _rate_now(self, node: int, rate: float, now: int) -> float:
        """Returns 0 until the rate has covered the node's next request, if it is too low to be used at once.

        The first wait starts at a pseudo-random phase that differs between gateways.
        """
        zone = self.context.nodes.zone_of[node]
        is_only_holder = self.limited.is_only_holder(node)
        demand = self.context.shard_demand
        largest = demand.largest_units if is_only_holder else 1.0
        could_burst = is_only_holder or self.context.decisions.of(zone).state is ZoneState.EVACUATED
        covers_request = rate * IMMEDIATE_WINDOW >= largest * SECOND
        if covers_request or zone in self.context.isolated_zones or not could_burst:
            return rate  # requests with other nodes to choose do not queue up for this one
        # Prevents a burst: if each gateway's rate is far below one request/s, the first requests of all
        # gateways together would exceed what a cold node can take, or what health checks may cost.
        units = largest if is_only_holder else demand.mean_units
        pending = self._pending.get(node) or _PendingRequest(self._phase(node) * units, now)
        units_left = pending.units_left - rate * (now - pending.at) / SECOND
        self._pending[node] = _PendingRequest(units_left, now)
        return rate if units_left <= 0 else 0.0

    def _phase(self, node: int) -> float:
        """Returns a pseudo-random number from 0 to 1 that depends on gateway, node and decision."""
        number = self.context.decisions.of(self.context.nodes.zone_of[node]).number
        text = f"{self.context.name} {node} {number}"
        digest = blake2b(text.encode(), digest_size=PHASE_BYTES).digest()
        return int.from_bytes(digest, "big") / (1 << 8 * PHASE_BYTES)
