"""Demand of this gateway at nodes with limited rates, and loans of its unused quota to other gateways.

Free of I/O, clocks and randomness.
"""

from __future__ import annotations

from ochrecourse.fleet.quota import LENDABLE_FRACTION
from ochrecourse.fleet.shard_demand import choose_borrower, largest_demands
from ochrecourse.fleet.zone_context import ZoneContext
from ochrecourse.fleet.zone_evidence import MAX_NODES_PER_ZONE
from ochrecourse.fleet.zone_limits import RateLimitedZones
from ochrecourse.fleet.zone_state import ZoneState


class ZoneLoans:
    """Computes loans and reported demand. Rates and demands are in units/s."""

    def __init__(self, context: ZoneContext, limited: RateLimitedZones) -> None:
        self.context = context
        self.limited = limited

    def next_loan(self, now: int, order: list[str]) -> dict[str, object] | None:
        """Returns the body of an entry that lends unneeded quotas to gateways with unmet demand, or None.

        Each node's quota is lent to one borrower. `order`: sorted names of the reachable gateways.
        """
        for zone in sorted(self.limited.zones() - self.context.isolated_zones):
            if not self._may_lend(zone, now):
                continue
            borrowed = self._nodes_by_borrower(zone, order, now)
            if borrowed and (body := self.context.quota.lend(zone, borrowed, now)):
                return body
        return None

    def _may_lend(self, zone: int, now: int) -> bool:
        """Whether quotas of the zone may be lent.

        For an evacuated zone this starts once it answers health checks, so that loans are usable when its
        slow start begins.
        """
        if self.context.decisions.of(zone).state is not ZoneState.EVACUATED:
            return True
        summary = self.context.summaries.get(zone)
        answers = summary is not None and summary.answered and summary.answered >= summary.failed
        return bool(answers) and not self.limited.is_probing_paused(zone, now)

    def _nodes_by_borrower(self, zone: int, order: list[str], now: int) -> dict[str, list[int]]:
        not_lendable = self.context.cold_node_rate * (1 - LENDABLE_FRACTION) / self.context.gateway_count
        rank = order.index(self.context.name)
        nodes: dict[str, list[int]] = {}
        for node, demand in sorted(self._demand_of_others(zone, order).items()):
            is_used_up = self.context.observations.is_rate_used_up(node, now)
            if self.demand(node, now) > not_lendable or is_used_up:
                continue
            if to := choose_borrower(rank, node, demand):
                nodes.setdefault(to, []).append(node)
        return nodes

    def _demand_of_others(self, zone: int, order: list[str]) -> dict[int, list[tuple[str, float]]]:
        """Returns the unmet demand of other gateways by ready node, as (gateway, units/s) in `order`."""
        ready = self.context.nodes.ready.get(zone, ())
        demand: dict[int, list[tuple[str, float]]] = {}
        for name in order:
            if name == self.context.name or name not in self.context.reports:
                continue
            for node, units in self.context.reports[name].report.demand:
                if node in ready:
                    demand.setdefault(node, []).append((name, units))
        return demand

    def demand(self, node: int, now: int) -> float:
        """Returns this gateway's demand at a node: its shard's demand, split evenly over the ready nodes."""
        nodes = self.context.nodes
        shard = nodes.by_node[node].shard
        return self.context.shard_demand.of(shard, now) / max(1, nodes.holders_of_shard.get(shard, 1))

    def unmet_demand(self, now: int) -> tuple[tuple[int, float], ...]:
        """Returns by node the demand that exceeds this gateway's quota of a cold node's rate."""
        unmet: dict[int, float] = {}
        for zone in self.limited.zones():
            for node in self.context.nodes.ready.get(zone, ()):
                demand = self.demand(node, now)
                rate = self.context.cold_node_rate * self.context.quota.usable(zone, node, now)
                if demand > rate:
                    unmet[node] = demand - rate
        return largest_demands(unmet, MAX_NODES_PER_ZONE) if unmet else ()

    def exhausted_zones(self, now: int) -> list[int]:
        """Returns the zones in which the rate is used up at most nodes.

        Gateways of an earlier version choose borrowers by this list.
        """
        return [zone for zone in self.limited.zones() if self._is_exhausted(zone, now)]

    def _is_exhausted(self, zone: int, now: int) -> bool:
        nodes = self.context.nodes.ready.get(zone, set())
        used_up = sum(self.context.observations.is_rate_used_up(node, now) for node in nodes)
        return 2 * used_up > len(nodes)
