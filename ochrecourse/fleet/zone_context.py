"""What the rules on zones share at one gateway: settings, the endpoint list, evidence and decisions.

Free of I/O, clocks and chance.
"""

from __future__ import annotations

from collections.abc import Sequence
from collections.abc import Set as AbstractSet
from dataclasses import dataclass

from ochrecourse.fleet.quota import GatewayQuota
from ochrecourse.fleet.shard_demand import ShardDemand
from ochrecourse.fleet.zone_evidence import LocalObservations
from ochrecourse.fleet.zone_nodes import ZoneNodes
from ochrecourse.fleet.zone_report import ZoneReport
from ochrecourse.fleet.zone_settings import ZoneSettings
from ochrecourse.fleet.zone_state import ZoneDecisions, ZoneState
from ochrecourse.fleet.zone_summary import ZoneSummary
from ochrecourse.fleet.zone_timers import ZoneTimers


@dataclass(frozen=True, slots=True)
class FleetPlacement:
    """Where a gateway stands. `zone_count`: how many zones the settings name; `gateway_count`: the fleet's
    size; `zone_names`: in order, if they are known.
    """

    zone_count: int
    name: str
    zone: int
    gateway_count: int
    zone_names: Sequence[str] = ()


@dataclass(frozen=True, slots=True)
class ReceivedReport:
    """Another gateway's report. `received_at`: ns."""

    received_at: int
    gateway_zone: int
    report: ZoneReport


class ZoneContext:
    """One gateway's state of zones, by zone unless the name says otherwise."""

    def __init__(self, settings: ZoneSettings, placement: FleetPlacement) -> None:
        self.settings = settings
        self.name = placement.name
        self.zone = placement.zone
        self.gateway_count = max(1, placement.gateway_count)
        self.cold_node_rate = settings.cold_node_rate  # units a second; the lowest of the fleet
        self.decisions = ZoneDecisions(placement.zone_count, placement.zone_names)
        self.nodes = ZoneNodes(placement.zone_count)
        self.observations = LocalObservations(
            int(settings.window), int(settings.alive_time), settings.slow_factor
        )
        self.shard_demand = ShardDemand()
        self.quota = GatewayQuota(
            placement.name, self.gateway_count, int(settings.loan_time_ms), int(settings.clock_bound_ms)
        )
        self.gateways_with_other_zones: AbstractSet[str] = frozenset()
        self.reached: dict[str, int] = {placement.name: placement.zone}  # zones by gateway, itself included
        self.reports: dict[str, ReceivedReport] = {}  # by gateway
        self.summaries: dict[int, ZoneSummary] = {}
        self.fleet_summary = ZoneSummary()  # all zones together
        self.timers: dict[int, ZoneTimers] = {}
        self.isolated_zones: set[int] = set()  # lost to this side, which is too small to decide for the fleet
        self.node_alive_at: dict[int, int] = {}  # by node: ns when a gateway last reported that it answers

    def is_minority(self) -> bool:
        """Whether less than half of the fleet is reached: too few to decide for all."""
        return 2 * len(self.reached) < self.gateway_count

    def zones_not_in(self) -> set[int]:
        """The zones on which the decision in force is other than IN."""
        return {zone for zone, each in self.decisions.by_zone.items() if each.state is not ZoneState.IN}
