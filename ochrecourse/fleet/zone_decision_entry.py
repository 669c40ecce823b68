"""Builds the log entries of zone decisions, made by this gateway or by an operator.

Free of I/O, clocks and randomness.
"""

from __future__ import annotations

from ochrecourse.common.time_units import MS
from ochrecourse.fleet.zone_context import ZoneContext
from ochrecourse.fleet.zone_policy import ZonePolicy
from ochrecourse.fleet.zone_state import NO_DECISION, STATE_WORDS, ZoneDecision, ZoneState
from ochrecourse.fleet.zone_summary import ZoneSummary
from ochrecourse.fleet.zone_timers import ZoneTimers

FRACTION_DIGITS = 4


class DecisionWriter:
    """Builds the entry bodies of this gateway's decisions."""

    def __init__(self, context: ZoneContext, policy: ZonePolicy) -> None:
        self.context = context
        self.policy = policy

    def body(self, zone: int, state: ZoneState, number: int, now: int) -> dict[str, object]:
        """Returns the body of a decision entry, ready for JSON encoding."""
        summary = self.context.summaries.get(zone) or ZoneSummary()
        min_evacuation_ms, clear_ms = self._durations_ms(zone, state, now)
        return {
            "what": "zone",
            "zone": zone,
            "standing": STATE_WORDS[state],
            "number": number,
            "part": round(self._fraction(zone, state, summary), FRACTION_DIGITS),
            "rest": round(min_evacuation_ms),
            "clear": round(clear_ms),
            "blind": self._is_unprobed(zone, state),
            "evidence": summary.as_evidence(),
            **self._name_field(zone),
        }

    def _durations_ms(self, zone: int, state: ZoneState, now: int) -> tuple[float, float]:
        """Returns the minimum evacuation time and the time without failures that ends a suspicion.

        Both grow with each repetition and decay while the zone is in use.
        """
        settings, decision = self.context.settings, self.context.decisions.of(zone)
        min_evacuation_ms, clear_ms = float(decision.min_evacuation_ms), float(decision.clear_ms)
        if decision.state is ZoneState.IN:
            in_use_for = now - self.context.timers[zone].decided_at
            decay = 0.5 ** (in_use_for / settings.rest_halves_after)
            min_evacuation_ms, clear_ms = min_evacuation_ms * decay, clear_ms * decay
            if state is ZoneState.SUSPECT:
                clear_ms = min(settings.max_clear_after / MS, max(settings.clear_after / MS, 2 * clear_ms))
        if state is ZoneState.EVACUATED:
            # If a slow start began without an answered health check and fails at its first rate, the zone
            # never recovered: this is the same outage, so the evacuation time does not double.
            is_same_loss = decision.unprobed and decision.fraction <= self.policy.first_fraction()
            factor = 1 if is_same_loss else 2
            min_evacuation_ms = min(
                settings.max_rest / MS, max(settings.min_rest / MS, factor * min_evacuation_ms)
            )
        return min_evacuation_ms, clear_ms

    def _fraction(self, zone: int, state: ZoneState, summary: ZoneSummary) -> float:
        if state is ZoneState.EVACUATED:
            return self.policy.absorbable_fraction(summary)
        if state is ZoneState.SLOW_START:
            return self._slow_start_fraction(self.context.decisions.of(zone), self.context.timers[zone])
        return 1.0

    def _slow_start_fraction(self, decision: ZoneDecision, timers: ZoneTimers) -> float:
        first = self.policy.first_fraction()
        if decision.state is not ZoneState.SLOW_START:
            return first
        if self.policy.is_slowing_down(timers):
            return max(first, decision.fraction / 2)
        return min(1.0, decision.fraction * 2)

    def _is_unprobed(self, zone: int, state: ZoneState) -> bool:
        decision, timers = self.context.decisions.of(zone), self.context.timers[zone]
        if state is not ZoneState.SLOW_START or timers.recovering >= self.context.settings.recovered_after:
            return False
        return decision.unprobed or decision.state is ZoneState.EVACUATED

    def _name_field(self, zone: int) -> dict[str, str]:
        names = self.context.decisions.zone_names
        return {"name": names[zone]} if names else {}


def operator_decision(
    zone: int, state: ZoneState, current: ZoneDecision = NO_DECISION, zone_name: str = ""
) -> dict[str, object]:
    """Returns the body of an operator's decision on a zone.

    A zone that an operator evacuates stays evacuated until an operator reverses it. `zone_name`: empty if it
    is not known.
    """
    return {
        "what": "zone",
        "zone": zone,
        "standing": STATE_WORDS[state],
        "number": current.number + 1,
        "hand": True,
        "rest": current.min_evacuation_ms,
        "evidence": {"witnesses": 0},
        **({"name": zone_name} if zone_name else {}),
    }
