"""Determines which state of a zone is due, from its summary, its timers and the decision in force.

docs/fleet.md describes the rules. Free of I/O, clocks and randomness.
"""

from __future__ import annotations

from ochrecourse.common.time_units import MS
from ochrecourse.fleet.zone_context import ZoneContext
from ochrecourse.fleet.zone_state import ZoneDecision, ZoneState
from ochrecourse.fleet.zone_summary import ZoneSummary
from ochrecourse.fleet.zone_timers import ZoneLoss, ZoneTimers

MIN_ABSORBABLE_FRACTION = 0.5  # of a degraded zone's load that other zones must be able to take
NOT_LOST = ZoneLoss(is_lost=False, is_unconfirmed=False)
LOST = ZoneLoss(is_lost=True, is_unconfirmed=False)


class ZonePolicy:
    """The evacuation rules; gateways with the same evidence come to the same result."""

    def __init__(self, context: ZoneContext) -> None:
        self.context = context
        self.settings = context.settings

    def loss_of(self, summary: ZoneSummary) -> ZoneLoss:
        """Returns whether the evidence shows that the zone is lost.

        A zone is lost if almost none of its nodes is alive, gateways in several zones accuse it by their own
        attempts, at least half of the gateways that tried it are accusers, and none sees more nodes alive
        than failing. If all accusers are in one zone, they may be isolated from the accused zone themselves.
        The zone is then lost only if none of its nodes was seen alive and there is no reachable gateway in
        any other zone; if gateways in other zones have not tried it, its loss is unconfirmed.
        """
        accusers, observers = summary.accusers, summary.observers
        if not summary.is_unresponsive or 2 * len(accusers) < len(observers) or summary.defenders:
            return NOT_LOST
        if len(accusers) < min(2, len(self.context.reachable)):
            return ZoneLoss(False, summary.alive_nodes == 0 and len(observers) == 1)
        accusing_zones = set(accusers.values())
        if len(accusing_zones) > 1:
            return LOST
        if summary.alive_nodes:
            return NOT_LOST
        if set(self.context.reachable.values()) <= accusing_zones:
            return LOST
        return ZoneLoss(False, set(observers.values()) <= accusing_zones)

    def due_state(self, zone: int, summary: ZoneSummary, now: int) -> ZoneState | None:
        """Returns the state to decide on; None if the one in force remains."""
        decision, timers = self.context.decisions.of(zone), self.context.timers[zone]
        if decision.state is ZoneState.IN:
            return self._due_in_use(timers)
        if decision.by_operator:
            return None
        if not self.context.nodes.ready.get(zone):
            # An endpoint list without ready nodes of the zone is no evidence; gateways that list some decide.
            return None
        if decision.state is ZoneState.SUSPECT:
            return self._due_if_suspect(zone, summary, timers, decision)
        if decision.state is ZoneState.EVACUATED:
            return self._due_if_evacuated(timers, decision, now)
        return self._due_in_slow_start(zone, summary, now)

    def _due_in_use(self, timers: ZoneTimers) -> ZoneState | None:
        is_suspect = timers.suspect >= self.settings.suspect_after
        is_degraded = timers.degraded >= self.settings.silent_loss_after
        return ZoneState.SUSPECT if is_suspect or is_degraded else None

    def _due_if_suspect(
        self, zone: int, summary: ZoneSummary, timers: ZoneTimers, decision: ZoneDecision
    ) -> ZoneState | None:
        if self._is_loss_due(summary, timers) and self.may_evacuate(zone, summary):
            return ZoneState.EVACUATED
        if timers.clear >= max(self.settings.clear_after, decision.clear_ms * MS):
            return ZoneState.IN
        return None

    def _is_loss_due(self, summary: ZoneSummary, timers: ZoneTimers) -> bool:
        is_lost = timers.lost >= self._loss_after(summary)
        is_unconfirmed = timers.unconfirmed >= self.settings.unconfirmed_loss_after
        # A zone that answers in part looks silent if only few attempts were made; do not evacuate it.
        if (is_lost or is_unconfirmed) and summary.failed >= 2 * summary.answered:
            return True
        # A degraded zone still answers, so evacuation helps only if the others can take the load it loses.
        is_degraded = timers.degraded >= self.settings.unconfirmed_loss_after
        return is_degraded and self.absorbable_fraction(summary) > MIN_ABSORBABLE_FRACTION

    def _loss_after(self, summary: ZoneSummary) -> float:
        if 4 * summary.refusing_nodes >= 3 * summary.failing_nodes:
            return self.settings.refusing_loss_after
        return self.settings.silent_loss_after

    def _due_if_evacuated(self, timers: ZoneTimers, decision: ZoneDecision, now: int) -> ZoneState | None:
        min_time = decision.min_evacuation_ms * MS
        is_over = now - timers.decided_at >= min_time
        is_recovered = timers.recovering >= self.settings.recovered_after
        # If nothing is tried there for that long, only a slow start can show whether the zone has recovered.
        if is_over and (is_recovered or timers.untried >= min_time):
            return ZoneState.SLOW_START
        return None

    def _due_in_slow_start(self, zone: int, summary: ZoneSummary, now: int) -> ZoneState | None:
        settings, timers = self.settings, self.context.timers[zone]
        fraction = self.context.decisions.of(zone).fraction
        # A zone that loses more than it serves even at the lowest rate has not recovered.
        is_losing = fraction <= self.first_fraction() and timers.losing >= settings.slow_start_step
        is_failing = timers.collapsing >= settings.suspect_after or is_losing
        if is_failing and self.may_evacuate(zone, summary):
            return ZoneState.EVACUATED
        if self.is_slowing_down(timers) and fraction > self.first_fraction():
            return ZoneState.SLOW_START
        step = settings.full_rate_time if fraction >= 1 else settings.slow_start_step
        if timers.recovering < step and timers.untried < 2 * step:
            return None
        if fraction < 1:
            return ZoneState.SLOW_START
        # Ending the slow start removes the fleet's rate limit. While nodes are cold, only each gateway's own
        # limit, which grows with the answers, would remain, and the sum could exceed what a cold node can
        # take. Nodes that start only after the last decision do not delay the end.
        return ZoneState.IN if now >= timers.warm_at else None

    def is_slowing_down(self, timers: ZoneTimers) -> bool:
        """Whether so many attempts of a slow start fail that its rate must be halved."""
        return timers.failing >= self.settings.slow_start_step / 2

    def may_evacuate(self, zone: int, summary: ZoneSummary) -> bool:
        """Whether the zone may be evacuated.

        The last zone in use may not; a further zone may only if none of its nodes is alive. The zones that
        remain in use must have `min_remaining_fraction` of all ready nodes.
        """
        ready, decisions = self.context.nodes.ready, self.context.decisions
        others = [each for each in ready if each != zone]
        in_use = [each for each in others if decisions.of(each).state is ZoneState.IN]
        remaining = sum(len(ready[each]) for each in in_use)
        all_nodes = sum(map(len, ready.values()))
        if not in_use or remaining < self.settings.min_remaining_fraction * all_nodes:
            return False
        return len(in_use) == len(others) or summary.alive_nodes == 0

    def absorbable_fraction(self, summary: ZoneSummary) -> float:
        """Returns the fraction of a zone's load that the other zones can take.

        This is the fraction of their own attempts that are not slow, rejected or failed.
        """
        fleet = self.context.fleet_summary
        attempts = fleet.attempts - summary.attempts
        strained = fleet.slow + fleet.failed - summary.slow - summary.failed
        return 1.0 - min(1.0, max(0, strained) / attempts) if attempts > 0 else 1.0

    def first_fraction(self) -> float:
        """Returns the fraction of the full rate with which a slow start begins."""
        cold_fraction = self.context.cold_node_rate / self.settings.full_node_rate
        return min(1.0, max(self.settings.first_fraction, cold_fraction))
