"""Which state of a zone is due, from its summary, its timers and the decision in force.

docs/fleet.md has the rules in words. Free of I/O, clocks and chance.
"""

from __future__ import annotations

from ochrecourse.common.time_units import MS
from ochrecourse.fleet.zone_context import ZoneContext
from ochrecourse.fleet.zone_state import ZoneDecision, ZoneState
from ochrecourse.fleet.zone_summary import ZoneSummary
from ochrecourse.fleet.zone_timers import ZoneLoss, ZoneTimers

MIN_BEARABLE_FRACTION = 0.5  # of the other zones' attempts that must do well to evacuate a degraded zone
NOT_LOST = ZoneLoss(is_lost=False, is_unconfirmed=False)
LOST = ZoneLoss(is_lost=True, is_unconfirmed=False)


class ZonePolicy:
    """The rules of one gateway; all gateways with the same evidence come to the same result."""

    def __init__(self, context: ZoneContext) -> None:
        self.context = context
        self.settings = context.settings

    def loss_of(self, summary: ZoneSummary) -> ZoneLoss:
        """Whether nothing but the zone itself explains what is observed.

        A zone is lost if next to none of its nodes is alive, gateways of several zones say so of their own
        attempts, and more gateways say so than see it alive. Accusers of one zone alone may be isolated from
        it themselves: then it is lost only where no gateway is elsewhere, or none elsewhere has tried it for
        long, and none saw a node alive.
        """
        accusers, observers = summary.accusers, summary.observers
        if not summary.is_unresponsive or 2 * len(accusers) < len(observers) or summary.defenders:
            return NOT_LOST
        if len(accusers) < min(2, len(self.context.reached)):
            return ZoneLoss(False, summary.alive_nodes == 0 and len(observers) == 1)
        accusing_zones = set(accusers.values())
        if len(accusing_zones) > 1:
            return LOST
        if summary.alive_nodes:
            return NOT_LOST
        if set(self.context.reached.values()) <= accusing_zones:
            return LOST
        return ZoneLoss(False, set(observers.values()) <= accusing_zones)

    def due_state(self, zone: int, summary: ZoneSummary, now: int) -> ZoneState | None:
        """The state that is to be decided on; None if the one in force stays."""
        decision, timers = self.context.decisions.of(zone), self.context.timers[zone]
        if decision.state is ZoneState.IN:
            return self._due_in_use(timers)
        if decision.by_operator:
            return None
        if not self.context.nodes.ready.get(zone):
            return None  # a list without its nodes shows nothing of it: gateways with some on theirs decide
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
        if timers.calm >= max(self.settings.clear_after, decision.clear_ms * MS):
            return ZoneState.IN
        return None

    def _is_loss_due(self, summary: ZoneSummary, timers: ZoneTimers) -> bool:
        is_lost = timers.lost >= self._loss_after(summary)
        is_unconfirmed = timers.unconfirmed >= self.settings.unconfirmed_loss_after
        # Guards against a zone that half answers, where few attempts show that nothing does.
        if (is_lost or is_unconfirmed) and summary.failed >= 2 * summary.answered:
            return True
        # It answers, so its evacuation serves more only where the others can bear what it loses.
        is_degraded = timers.degraded >= self.settings.unconfirmed_loss_after
        return is_degraded and self.bearable_fraction(summary) > MIN_BEARABLE_FRACTION

    def _loss_after(self, summary: ZoneSummary) -> float:
        if 4 * summary.refusing_nodes >= 3 * summary.failing_nodes:
            return self.settings.refusing_loss_after
        return self.settings.silent_loss_after

    def _due_if_evacuated(self, timers: ZoneTimers, decision: ZoneDecision, now: int) -> ZoneState | None:
        rest = decision.rest_ms * MS
        is_rested = now - timers.decided_at >= rest
        is_recovered = timers.recovering >= self.settings.recovered_after
        # Without requests for it no gateway would ever learn that it has recovered.
        if is_rested and (is_recovered or timers.untried >= rest):
            return ZoneState.SLOW_START
        return None

    def _due_in_slow_start(self, zone: int, summary: ZoneSummary, now: int) -> ZoneState | None:
        settings, timers = self.settings, self.context.timers[zone]
        fraction = self.context.decisions.of(zone).fraction
        # At the lowest rate it still loses more than it serves: it had not recovered.
        is_losing = fraction <= self.first_fraction() and timers.losing >= settings.slow_start_step
        falls = timers.collapsing >= settings.suspect_after or is_losing
        if falls and self.may_evacuate(zone, summary):
            return ZoneState.EVACUATED
        if self.is_slowing_down(timers) and fraction > self.first_fraction():
            return ZoneState.SLOW_START
        step = settings.full_rate_time if fraction >= 1 else settings.slow_start_step
        if timers.recovering < step and timers.untried < 2 * step:
            return None
        if fraction < 1:
            return ZoneState.SLOW_START
        # Guards against rates without a limit while nodes are cold: each gateway's own limit, which grows
        # with what is answered there, would then be all that limits the sum. Nodes that start only during
        # the full rate do not delay it.
        return ZoneState.IN if now >= timers.warm_at else None

    def is_slowing_down(self, timers: ZoneTimers) -> bool:
        """Whether so many attempts of a slow start fail that its rate is to halve."""
        return timers.failing >= self.settings.slow_start_step / 2

    def may_evacuate(self, zone: int, summary: ZoneSummary) -> bool:
        """Never the last zone in use; a second one only if it is wholly unresponsive, and never if what then
        remains is too small a fraction of the fleet's nodes.
        """
        ready, decisions = self.context.nodes.ready, self.context.decisions
        others = [each for each in ready if each != zone]
        in_use = [each for each in others if decisions.of(each).state is ZoneState.IN]
        remaining = sum(len(ready[each]) for each in in_use)
        all_nodes = sum(map(len, ready.values()))
        if not in_use or remaining < self.settings.min_remaining_fraction * all_nodes:
            return False
        return len(in_use) == len(others) or summary.alive_nodes == 0

    def bearable_fraction(self, summary: ZoneSummary) -> float:
        """Of a zone's load, what the other zones can bear: less by the fraction of their own attempts that
        are late, rejected or failed.
        """
        fleet = self.context.fleet_summary
        attempts = fleet.attempts - summary.attempts
        strained = fleet.slow + fleet.failed - summary.slow - summary.failed
        return 1.0 - min(1.0, max(0, strained) / attempts) if attempts > 0 else 1.0

    def first_fraction(self) -> float:
        """Of the full rate, with which a slow start begins."""
        cold_fraction = self.context.cold_node_rate / self.settings.full_node_rate
        return min(1.0, max(self.settings.first_fraction, cold_fraction))
