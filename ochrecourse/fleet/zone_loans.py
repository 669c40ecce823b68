"""What this gateway's requests need at nodes with limited rates, and the loans of its quota to others.

Free of I/O, clocks and chance.
"""

from __future__ import annotations

from ochrecourse.fleet.quota import LENDABLE_FRACTION
from ochrecourse.fleet.shard_demand import choose_borrower, largest_demands
from ochrecourse.fleet.zone_context import ZoneContext
from ochrecourse.fleet.zone_evidence import MAX_NODES_PER_ZONE
from ochrecourse.fleet.zone_limits import RateLimitedZones
from ochrecourse.fleet.zone_state import ZoneState


class ZoneLoans:
    """Rates in units a second."""

    def __init__(self, context: ZoneContext, limited: RateLimitedZones) -> None:
        self.context = context
        self.limited = limited

    def next_loan(self, now: int, order: list[str]) -> dict[str, object] | None:
        """The body of an entry that lends quotas of nodes that its own requests do not need to gateways that
        need more there, each node's to one. `order`: names of the gateways that are reached.
        """
        for zone in sorted(self.limited.zones() - self.context.isolated_zones):
            if not self._may_lend(zone, now):
                continue
            borrowed = self._nodes_by_borrower(zone, order, now)
            if borrowed and (body := self.context.quota.lend(zone, borrowed, now)):
                return body
        return None

    def _may_lend(self, zone: int, now: int) -> bool:
        """From when an evacuated zone answers health checks, so that loans are in force in its slow start."""
        if self.context.decisions.of(zone).state is not ZoneState.EVACUATED:
            return True
        summary = self.context.summaries.get(zone)
        answers = summary is not None and summary.answered and summary.answered >= summary.failed
        return bool(answers) and not self.limited.is_resting(zone, now)

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
        """By ready node of the zone, who needs how much more there, in the order of names."""
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
        """What its requests need of a node: of its shard, in even fractions over those that hold it."""
        nodes = self.context.nodes
        shard = nodes.by_node[node].shard
        return self.context.shard_demand.of(shard, now) / max(1, nodes.holders_of_shard.get(shard, 1))

    def unmet_demand(self, now: int) -> tuple[tuple[int, float], ...]:
        """By node, what its requests need beyond what its quota of a cold node lets it begin."""
        unmet: dict[int, float] = {}
        for zone in self.limited.zones():
            for node in self.context.nodes.ready.get(zone, ()):
                demand = self.demand(node, now)
                rate = self.context.cold_node_rate * self.context.quota.usable(zone, node, now)
                if demand > rate:
                    unmet[node] = demand - rate
        return largest_demands(unmet, MAX_NODES_PER_ZONE) if unmet else ()

    def exhausted_zones(self, now: int) -> list[int]:
        """Zones at most of whose nodes it used up its rate; gateways of an earlier version lend by that."""
        return [zone for zone in self.limited.zones() if self._is_exhausted(zone, now)]

    def _is_exhausted(self, zone: int, now: int) -> bool:
        nodes = self.context.nodes.ready.get(zone, set())
        used_up = sum(self.context.observations.is_rate_used_up(node, now) for node in nodes)
        return 2 * used_up > len(nodes)
