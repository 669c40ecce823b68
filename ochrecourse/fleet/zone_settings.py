"""Typed zone settings, and their conversion from and to the map of setting names.

Durations are in ns and rates in units/s unless the name says otherwise.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from ochrecourse.common.time_units import MS

_DURATIONS = {  # in ms in the map
    "window": "window",
    "life": "alive_time",
    "doubt": "suspect_after",
    "lasts": "refusing_loss_after",
    "silence": "silent_loss_after",
    "sole": "unconfirmed_loss_after",
    "clear": "clear_after",
    "longest_clear": "max_clear_after",
    "turn": "decider_timeout",
    "rest": "min_rest",
    "longest_rest": "max_rest",
    "ease": "rest_halves_after",
    "well": "recovered_after",
    "step": "slow_start_step",
    "hold": "full_rate_time",
}
_NUMBERS = {
    "slow": "slow_factor",
    "first": "first_fraction",
    "failed": "max_failed_fraction",
    "probes": "health_check_rate",
    "cold": "cold_node_rate",
    "full": "full_node_rate",
    "remain": "min_remaining_fraction",
    "lend": "loan_time_ms",
    "clock_bound": "clock_bound_ms",
}


@dataclass(frozen=True, slots=True)
class ZoneSettings:
    """Thresholds of evidence, durations of states, and rates at nodes. Rest: the minimum evacuation time."""

    window: float = 2000 * MS  # over which attempts are counted: tens of attempts per node, yet short
    alive_time: float = 500 * MS  # for which an answer shows that a node is alive; two heartbeats
    slow_factor: float = 4  # multiple of the usual duration above which an answer is slow
    suspect_after: float = 200 * MS  # of most nodes failing; a single disturbance is shorter
    refusing_loss_after: float = 750 * MS  # if nodes refuse; three heartbeats, so that all have reported
    silent_loss_after: float = 1500 * MS  # if nodes do not answer; overload looks the same for a while
    unconfirmed_loss_after: float = 5000 * MS  # if all accusers are in one zone and no other gateway tried
    clear_after: float = 2000 * MS  # without failures that end a suspicion; initial value, doubles with each
    max_clear_after: float = 60_000 * MS
    decider_timeout: float = 500 * MS  # after which the next gateway in order writes the due decision
    min_rest: float = 5000 * MS  # shortest evacuation; initial value, doubles with each repeated loss
    max_rest: float = 300_000 * MS
    rest_halves_after: float = 60_000 * MS  # in use, for the next evacuation time to halve
    recovered_after: float = 500 * MS  # of answered health checks before a slow start; two heartbeats
    first_fraction: float = 0.125  # of the full rate; lowest fraction with which a slow start begins
    slow_start_step: float = 500 * MS  # of timely answers before the rate doubles; two heartbeats
    full_rate_time: float = 1000 * MS  # at the full rate before a slow start ends
    max_failed_fraction: float = 0.25  # of the attempts in a slow start; above it the rate is halved
    health_check_rate: float = 2  # of the fleet at each probed node of an evacuated zone
    cold_node_rate: float = 5  # of the fleet at a cold node
    full_node_rate: float = 40  # of the fleet at a node at the full rate of a slow start
    min_remaining_fraction: float = 0.3  # of all ready nodes that must be in zones in use after an evacuation
    loan_time_ms: float = 10_000  # duration of a quota loan
    clock_bound_ms: float = 500  # largest error of a wall clock

    @classmethod
    def from_map(cls, values: Mapping[str, float]) -> ZoneSettings:
        """Converts a map of setting names to values; missing settings get their defaults."""
        fields = {field: values[name] * MS for name, field in _DURATIONS.items() if name in values}
        fields.update({field: values[name] for name, field in _NUMBERS.items() if name in values})
        return cls(**fields)

    def to_map(self) -> dict[str, float]:
        """Returns all values by setting name, in the units of the settings."""
        values = {name: getattr(self, field) / MS for name, field in _DURATIONS.items()}
        return values | {name: getattr(self, field) for name, field in _NUMBERS.items()}
