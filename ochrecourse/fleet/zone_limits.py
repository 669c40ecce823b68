"""Determines the zones whose nodes have limited rates at this gateway, by decision or by isolation.

Free of I/O, clocks and randomness.
"""

from __future__ import annotations

from ochrecourse.common.time_units import MS
from ochrecourse.fleet.zone_context import ZoneContext
from ochrecourse.fleet.zone_state import ZoneState


class RateLimitedZones:
    """The zones with limited rates, cached until `invalidate` is called."""

    def __init__(self, context: ZoneContext) -> None:
        self.context = context
        self.exempt_zone: int | None = None  # suspect in place of evacuated, where all zones are evacuated
        self._zones: set[int] | None = None
        self._unlimited_shards: set[int] | None = None  # of ready nodes of other zones

    def invalidate(self) -> None:
        """Drops the cache, after decisions, the endpoint list or the isolated zones have changed."""
        self._zones = None

    def zones(self) -> set[int]:
        """Returns the zones whose nodes have limited rates."""
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
        # Isolation never limits the last unlimited zone: then this gateway would have limits everywhere.
        has_other = bool(context.nodes.ready.keys() - decided - context.isolated_zones)
        self._zones = decided | context.isolated_zones if has_other else decided
        return self._zones

    def set_isolated(self, zone: int, is_isolated: bool) -> None:
        """Sets whether this gateway, in a minority, treats the zone as lost for itself."""
        if is_isolated != (zone in self.context.isolated_zones):
            self.context.isolated_zones ^= {zone}
            self.invalidate()

    def state_of(self, zone: int) -> tuple[ZoneState, int]:
        """Returns the zone's state and the number of the decision in force.

        If all zones with nodes are evacuated, as after two sides of a partition evacuated each other's
        zones, the exempt one counts as suspect.
        """
        decision = self.context.decisions.of(zone)
        self.zones()
        if decision.state is ZoneState.EVACUATED and zone == self.exempt_zone:
            return ZoneState.SUSPECT, decision.number
        return decision.state, decision.number

    def is_probing_paused(self, zone: int, now: int) -> bool:
        """Whether an evacuated zone is not yet due for health checks.

        They begin one window before the minimum evacuation time ends, so that answers are known by then, and
        never while an operator's evacuation is in force.
        """
        decision = self.context.decisions.of(zone)
        timers = self.context.timers.get(zone)
        if decision.state is not ZoneState.EVACUATED or timers is None:
            return False
        if zone in self.context.isolated_zones:
            return False
        pause = decision.min_evacuation_ms * MS - self.context.settings.window
        return decision.by_operator or now - timers.decided_at < pause

    def is_only_holder(self, node: int) -> bool:
        """Whether the node's shard has no ready node without a limited rate."""
        if self._unlimited_shards is None:
            limited = self.zones()
            self._unlimited_shards = {
                each.shard
                for each in self.context.nodes.by_node.values()
                if each.is_ready and each.zone not in limited
            }
        return self.context.nodes.by_node[node].shard not in self._unlimited_shards
