"""The settings of the fleet's zones, read once: names of the plain map to typed fields. No decision.

Durations in ns and rates in units a second unless the name says otherwise.
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
    """Thresholds of evidence, durations of states, and rates at nodes."""

    window: float = 2000 * MS  # over which attempts are counted; some tens of attempts a node, and soon over
    alive_time: float = 500 * MS  # for which an answer shows that a node is alive; two beats
    slow_factor: float = 4  # times its pace from which on an answer is slow
    suspect_after: float = 200 * MS  # most of a zone failing; a single jolt is shorter
    refusing_loss_after: float = 750 * MS  # of an unresponsive zone; three beats, so that all have reported
    silent_loss_after: float = 1500 * MS  # where its nodes answer nothing; a jam looks so for a while
    unconfirmed_loss_after: float = 5000 * MS  # where gateways of one zone alone accuse and no other tried it
    clear_after: float = 2000 * MS  # without a bad sign that end a suspicion, at first; doubles as the rest
    max_clear_after: float = 60_000 * MS
    decider_timeout: float = 500 * MS  # after which the next gateway in order writes what is due
    min_rest: float = 5000 * MS  # for which a zone stays evacuated, at first; doubles with each further fall
    max_rest: float = 300_000 * MS
    rest_halves_after: float = 60_000 * MS  # of a zone in use
    recovered_after: float = 500 * MS  # most health checks answered, before a slow start; two beats
    first_fraction: float = 0.125  # of the full rate, with which a slow start begins at the least
    slow_start_step: float = 500 * MS  # of timely answers, after which the rate doubles; two beats
    full_rate_time: float = 1000 * MS  # at the full rate, which ends a slow start
    max_failed_fraction: float = 0.25  # of a slow starting zone's attempts, before its rate halves
    health_check_rate: float = 2  # of the fleet at each node of an evacuated zone
    cold_node_rate: float = 5  # of the fleet at a node that just started
    full_node_rate: float = 40  # of the fleet at a node, the full rate of a slow start
    min_remaining_fraction: float = 0.3  # of ready nodes in zones in use, when another one is evacuated
    loan_time_ms: float = 10_000  # for which a quota is lent
    clock_bound_ms: float = 500  # by which wall clocks are wrong at the most

    @classmethod
    def from_map(cls, values: Mapping[str, float]) -> ZoneSettings:
        """The settings from the plain map; defaults for what it leaves out."""
        fields = {field: values[name] * MS for name, field in _DURATIONS.items() if name in values}
        fields.update({field: values[name] for name, field in _NUMBERS.items() if name in values})
        return cls(**fields)

    def to_map(self) -> dict[str, float]:
        """All values under their names of the plain map, and in its units."""
        values = {name: getattr(self, field) / MS for name, field in _DURATIONS.items()}
        return values | {name: getattr(self, field) for name, field in _NUMBERS.items()}
