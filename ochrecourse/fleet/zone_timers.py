"""How long what is observed of a zone has lasted since the last decision on it.

Durations in ns. Free of I/O, clocks and chance.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from ochrecourse.fleet.zone_state import ZoneState
from ochrecourse.fleet.zone_summary import ZoneSummary

FORGET_FACTOR = 4  # times slower than it grows that a loss is forgotten; a zone failing now and then adds up
MIN_ANSWERED_PER_FAILED = 3  # attempts, for a zone to recover
MIN_ANSWERED_PER_FAILED_EVACUATED = 1  # of an evacuated zone, which has health checks only


class ZoneLoss(NamedTuple):
    """`is_lost`: nothing but the zone itself explains what is observed. `is_unconfirmed`: it may be lost, but
    gateways of one zone alone say so.
    """

    is_lost: bool
    is_unconfirmed: bool


@dataclass(frozen=True, slots=True)
class Observation:
    """What is observed of a zone at one evaluation. `elapsed`: ns since the one before."""

    elapsed: int
    summary: ZoneSummary
    loss: ZoneLoss
    state: ZoneState
    is_resting: bool
    max_failed_fraction: float


@dataclass(slots=True)
class ZoneTimers:
    """One zone since the last decision on it."""

    decided_at: int = 0  # ns, when that decision was received
    warm_at: int = 0  # ns, when the nodes are warm that were ready and cold at that time
    suspect: int = 0
    lost: int = 0
    unconfirmed: int = 0  # lost for gateways of one zone alone
    degraded: int = 0
    losing: int = 0  # more units than it serves
    calm: int = 0
    recovering: int = 0
    collapsing: int = 0
    failing: int = 0
    untried: int = 0
    due: ZoneState | None = None  # the state that a gateway is to decide on
    due_at: int = 0
    proposed_number: int = 0  # of the last decision that this gateway wrote
    proposed_at: int = 0

    def restarted(self, decided_at: int, warm_at: int) -> ZoneTimers:
        """The timers after a further decision."""
        return ZoneTimers(
            decided_at=decided_at,
            warm_at=warm_at,
            proposed_number=self.proposed_number,
            proposed_at=self.proposed_at,
        )

    def restarted_as_suspect(self, decided_at: int, warm_at: int) -> ZoneTimers:
        """The timers after a decision that the zone is suspect: evidence of its loss counts on."""
        timers = self.restarted(decided_at, warm_at)
        timers.lost, timers.unconfirmed, timers.degraded = self.lost, self.unconfirmed, self.degraded
        return timers

    def advance(self, observation: Observation) -> None:
        """Adds the time that has elapsed to what was observed meanwhile."""
        elapsed, summary = observation.elapsed, observation.summary
        forgotten = elapsed // FORGET_FACTOR
        self.suspect = self.suspect + elapsed if summary.is_suspect else 0
        self.degraded = self.degraded + elapsed if summary.is_degraded else max(0, self.degraded - forgotten)
        self.lost = self.lost + elapsed if observation.loss.is_lost else max(0, self.lost - forgotten)
        self.unconfirmed = self.unconfirmed + elapsed if observation.loss.is_unconfirmed else 0
        self.calm = 0 if summary.is_suspect or summary.is_degraded else self.calm + elapsed
        if summary.attempts:
            self.untried = 0
            self._advance_tried(observation)
        elif not observation.is_resting:
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
        """No gateway reports on the zone, which is in use: nothing is due."""
        self.suspect = 0
        self.due = None
        self.lost = max(0, self.lost - elapsed // FORGET_FACTOR)


def _recovers(summary: ZoneSummary, state: ZoneState) -> bool:
    is_evacuated = state is ZoneState.EVACUATED
    per_failed = MIN_ANSWERED_PER_FAILED_EVACUATED if is_evacuated else MIN_ANSWERED_PER_FAILED
    is_answered = summary.answered >= min(2, summary.ready_nodes)
    # Guards against nodes that answer small requests, as health checks are, and lose the rest.
    serves = summary.units_served >= summary.units_lost
    return is_answered and summary.answered >= per_failed * summary.failed and serves


def _most_nodes_fail(summary: ZoneSummary) -> bool:
    failing = summary.failing_nodes
    return failing >= min(2, summary.ready_nodes) and failing >= summary.alive_nodes
