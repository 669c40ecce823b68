"""Timers of a zone: how long each condition has lasted since the last decision on it.

Durations are in ns. Free of I/O, clocks and randomness.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from ochrecourse.fleet.zone_state import ZoneState
from ochrecourse.fleet.zone_summary import ZoneSummary

LOSS_DECAY_FACTOR = 4  # a loss decays by so much slower than it grows, so that intermittent failures add up
MIN_ANSWERED_PER_FAILED = 3  # attempts, for a zone to count as recovering
MIN_ANSWERED_PER_FAILED_EVACUATED = 1  # for an evacuated zone, which gets health checks only


class ZoneLoss(NamedTuple):
    """Whether a zone is lost.

    `is_lost`: the evidence can't be explained by faults outside the zone. `is_unconfirmed`: it may be lost,
    but all accusers are in one zone.
    """

    is_lost: bool
    is_unconfirmed: bool


@dataclass(frozen=True, slots=True)
class Observation:
    """The condition of a zone at one evaluation. `elapsed`: ns since the previous evaluation."""

    elapsed: int
    summary: ZoneSummary
    loss: ZoneLoss
    state: ZoneState
    is_probing_paused: bool
    max_failed_fraction: float


@dataclass(slots=True)
class ZoneTimers:
    """Timers of one zone since the last decision on it, in ns."""

    decided_at: int = 0  # ns at which that decision was received
    warm_at: int = 0  # ns at which all nodes are warm that were ready and cold at that time
    suspect: int = 0
    lost: int = 0
    unconfirmed: int = 0  # maybe lost, with all accusers in one zone
    degraded: int = 0
    losing: int = 0  # more units lost than served
    clear: int = 0  # neither suspect nor degraded
    recovering: int = 0  # most attempts answered
    collapsing: int = 0  # most nodes failing and no attempt answered
    failing: int = 0  # more failed attempts than a slow start may have
    untried: int = 0  # no attempts
    due: ZoneState | None = None  # the state that a gateway must decide on
    due_at: int = 0
    proposed_number: int = 0  # of the last decision that this gateway wrote
    proposed_at: int = 0

    def restarted(self, decided_at: int, warm_at: int) -> ZoneTimers:
        """Returns the timers after another decision."""
        return ZoneTimers(
            decided_at=decided_at,
            warm_at=warm_at,
            proposed_number=self.proposed_number,
            proposed_at=self.proposed_at,
        )

    def restarted_as_suspect(self, decided_at: int, warm_at: int) -> ZoneTimers:
        """Returns the timers after the decision SUSPECT, which does not reset the evidence of a loss."""
        timers = self.restarted(decided_at, warm_at)
        timers.lost, timers.unconfirmed, timers.degraded = self.lost, self.unconfirmed, self.degraded
        return timers

    def advance(self, observation: Observation) -> None:
        """Adds the elapsed time to the timers of conditions that hold, and resets or decays the others."""
        elapsed, summary = observation.elapsed, observation.summary
        decayed = elapsed // LOSS_DECAY_FACTOR
        self.suspect = self.suspect + elapsed if summary.is_suspect else 0
        self.degraded = self.degraded + elapsed if summary.is_degraded else max(0, self.degraded - decayed)
        self.lost = self.lost + elapsed if observation.loss.is_lost else max(0, self.lost - decayed)
        self.unconfirmed = self.unconfirmed + elapsed if observation.loss.is_unconfirmed else 0
        self.clear = 0 if summary.is_suspect or summary.is_degraded else self.clear + elapsed
        if summary.attempts:
            self.untried = 0
            self._advance_tried(observation)
        elif not observation.is_probing_paused:
            self.untried += elapsed
        collapses = summary.attempts and _most_nodes_fail(summary) and not summary.answered
        self.collapsing = self.collapsing + elapsed if collapses else self.collapsing // 2

    def _advance_tried(self, observation: Observation) -> None:
        elapsed, summary = observation.elapsed, observation.summary
        is_troubled = summary.failing_nodes > 0 and summary.failing_nodes >= summary.alive_nodes
        recovers = _recovers(summary, observation.state)
        self.recovering = 0 if is_troubled else self.recovering + elapsed * recovers
        fails = summary.failed > observation.max_failed_fraction * summary.attempts
        self.failing = self.failing + elapsed if fails else 0
        self.losing = self.losing + elapsed if summary.units_lost > summary.units_served else 0

    def advance_without_evidence(self, elapsed: int) -> None:
        """Advances the timers of a zone in use that no gateway reports on: nothing is due."""
        self.suspect = 0
        self.due = None
        self.lost = max(0, self.lost - elapsed // LOSS_DECAY_FACTOR)


def _recovers(summary: ZoneSummary, state: ZoneState) -> bool:
    is_evacuated = state is ZoneState.EVACUATED
    per_failed = MIN_ANSWERED_PER_FAILED_EVACUATED if is_evacuated else MIN_ANSWERED_PER_FAILED
    is_answered = summary.answered >= min(2, summary.ready_nodes)
    # Nodes may answer small requests such as health checks and lose larger ones, so units count too.
    serves = summary.units_served >= summary.units_lost
    return is_answered and summary.answered >= per_failed * summary.failed and serves


def _most_nodes_fail(summary: ZoneSummary) -> bool:
    failing = summary.failing_nodes
    return failing >= min(2, summary.ready_nodes) and failing >= summary.alive_nodes
