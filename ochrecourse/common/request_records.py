"""Records of a request and its attempts, from the gateway's point of view. Free of I/O and clocks."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from ochrecourse.interface import Ending


class RequestOutcome(Enum):
    """How a request ended for its client. The values are used in records, metrics and log lines."""

    SERVED = "fulfilled"
    REJECTED = "denied"
    FAILED = "written off"
    CLIENT_CLOSED = "client gone"
    TOO_LATE = "too late"  # the answer was ready when the client had already given up; it was not sent


@dataclass(slots=True)
class AttemptRecord:
    """One attempt as seen by the gateway; times in ns."""

    number: int
    node: int
    sent_at: int
    took: int = -1  # -1: still outstanding
    ending: Ending | None = None
    reason: str = ""


@dataclass(slots=True)
class RequestRecord:
    """One request as seen by the gateway; times in ns.

    `deadline` is the deadline given to the scheduler: the client's own, minus the time that an answer takes
    to reach the client. An answer that is sent by `latest_answer_at`, slightly later, is still in time; an
    attempt that times out at `deadline` is answered by then.
    """

    number: int
    request_class: int
    tenant: int
    volume: int
    units: float
    received_at: int
    deadline: int
    latest_answer_at: int
    trace: str = ""
    attempts: list[AttemptRecord] = field(default_factory=list)
    outcome: RequestOutcome | None = None
    streaming: bool = False
    answered_at: int = -1
    attempts_out: int = 0

    def limit_deadline(self, deadline: int, latest_answer_at: int) -> None:
        """Brings both times forward, since the process may not live as long as the client waits."""
        self.deadline = min(self.deadline, deadline)
        self.latest_answer_at = min(self.latest_answer_at, latest_answer_at)

    def why(self) -> str:
        """Returns the reason of the outcome: how the last attempt ended, or that none was sent."""
        if self.outcome is RequestOutcome.SERVED:
            return "answered"
        return self.attempts[-1].reason if self.attempts else "no leg was sent"
