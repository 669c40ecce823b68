"""Which zones' nodes have limited rates at this gateway, by decision or by isolation.

Free of I/O, clocks and chance.
"""

from __future__ import annotations

from ochrecourse.common.time_units import MS
from ochrecourse.fleet.zone_context import ZoneContext
from ochrecourse.fleet.zone_state import ZoneState


class RateLimitedZones:
    """Computed anew after each change; until then cached."""

    def __init__(self, context: ZoneContext) -> None:
        self.context = context
        self.exempt_zone: int | None = None  # suspect rather than evacuated, as all zones are
        self._zones: set[int] | None = None
        self._unlimited_shards: set[int] | None = None  # of ready nodes of other zones

    def invalidate(self) -> None:
        """Decisions, the endpoint list or the isolated zones changed."""
        self._zones = None

    def zones(self) -> set[int]:
        """The zones whose nodes have limited rates."""
        if self._zones is not None:
            return self._zones
        self._unlimited_shards = None
        context = self.context
        self.exempt_zone = context.decisions.exempt_zone(context.nodes.ready)
        decided = {
            zone
            for zone, each in context.decisions.by_zone.items()
            if each.state in (ZoneState.EVACUATED, ZoneState.SLOW_START) and zone != self.exempt_zone
        }
        # Guards against limits everywhere: isolation alone never takes this side's last zone.
        has_other = bool(context.nodes.ready.keys() - decided - context.isolated_zones)
        self._zones = decided | context.isolated_zones if has_other else decided
        return self._zones

    def set_isolated(self, zone: int, is_isolated: bool) -> None:
        """Whether a zone is lost to this side, which decides nothing for the fleet."""
        if is_isolated != (zone in self.context.isolated_zones):
            self.context.isolated_zones ^= {zone}
            self.invalidate()

    def state_of(self, zone: int) -> tuple[ZoneState, int]:
        """Its state and the number of that decision. Where all zones with nodes are evacuated, as after two
        sides of a partition each evacuated the other's, one of them is only suspect.
        """
        decision = self.context.decisions.of(zone)
        self.zones()
        if decision.state is ZoneState.EVACUATED and zone == self.exempt_zone:
            return ZoneState.SUSPECT, decision.number
        return decision.state, decision.number

    def is_resting(self, zone: int, now: int) -> bool:
        """Whether an evacuated zone is not yet due for health checks: until they can be answered as its rest
        ends, or for as long as an operator wants it.
        """
        decision = self.context.decisions.of(zone)
        timers = self.context.timers.get(zone)
        if decision.state is not ZoneState.EVACUATED or timers is None:
            return False
        if zone in self.context.isolated_zones:
            return False
        rest = decision.rest_ms * MS - self.context.settings.window
        return decision.by_operator or now - timers.decided_at < rest

    def is_only_holder(self, node: int) -> bool:
        """Whether no ready node without a limited rate holds the node's shard."""
        if self._unlimited_shards is None:
            limited = self.zones()
            self._unlimited_shards = {
                each.shard
                for each in self.context.nodes.by_node.values()
                if each.is_ready and each.zone not in limited
            }
        return self.context.nodes.by_node[node].shard not in self._unlimited_shards
