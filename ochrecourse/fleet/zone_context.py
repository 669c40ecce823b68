"""State of one gateway that all zone rules share: settings, endpoint list, evidence and decisions.

Free of I/O, clocks and randomness.
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
    """A gateway's zone and its fleet.

    `zone_count`: number of zones in the settings. `gateway_count`: size of the fleet. `zone_names`: in the
    order of the zone numbers; empty if not known.
    """

    zone_count: int
    name: str
    zone: int
    gateway_count: int
    zone_names: Sequence[str] = ()


@dataclass(frozen=True, slots=True)
class ReceivedReport:
    """A report received from another gateway. `received_at`: ns."""

    received_at: int
    gateway_zone: int
    report: ZoneReport


class ZoneContext:
    """Zone state of one gateway. Mappings are keyed by zone unless noted otherwise."""

    def __init__(self, settings: ZoneSettings, placement: FleetPlacement) -> None:
        self.settings = settings
        self.name = placement.name
        self.zone = placement.zone
        self.gateway_count = max(1, placement.gateway_count)
        self.cold_node_rate = settings.cold_node_rate  # units/s; the lowest in the fleet
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
        self.reachable: dict[str, int] = {placement.name: placement.zone}  # zone by gateway, including itself
        self.reports: dict[str, ReceivedReport] = {}  # by gateway
        self.summaries: dict[int, ZoneSummary] = {}
        self.fleet_summary = ZoneSummary()  # totals over all zones
        self.timers: dict[int, ZoneTimers] = {}
        # Zones that this gateway can't reach while it is in a minority, which must not decide for the fleet.
        self.isolated_zones: set[int] = set()
        self.node_alive_at: dict[int, int] = {}  # by node: ns at which a gateway last reported an answer

    def is_minority(self) -> bool:
        """Whether less than half of the fleet is reachable; a minority makes no decisions."""
        return 2 * len(self.reachable) < self.gateway_count

    def zones_not_in(self) -> set[int]:
        """Zones whose decision in force is not IN."""
        return {zone for zone, each in self.decisions.by_zone.items() if each.state is not ZoneState.IN}
