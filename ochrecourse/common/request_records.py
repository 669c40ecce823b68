"""What is known of one request and its attempts, as the gateway saw them. Free of I/O and clocks."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from ochrecourse.interface import Ending


class RequestOutcome(Enum):
    """How a request ended for its client. The values stand in records, metrics and log lines."""

    SERVED = "fulfilled"
    REJECTED = "denied"
    FAILED = "written off"
    CLIENT_CLOSED = "client gone"
    TOO_LATE = "too late"  # the answer was ready when the client had already given up; it was not sent


@dataclass(slots=True)
class AttemptRecord:
    """One attempt as the gateway saw it; times in ns."""

    number: int
    node: int
    sent_at: int
    took: int = -1  # -1: still out
    ending: Ending | None = None
    reason: str = ""


@dataclass(slots=True)
class RequestRecord:
    """One request as the gateway saw it; times in ns.

    `deadline` is the deadline that the scheduler was given: the client's own, less what an answer takes to
    reach it. An answer that leaves by `latest_answer_at`, a little later, is still in time; an attempt's
    time-out at `deadline` is answered then.
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

    def why(self) -> str:
        """In one phrase, what led to the outcome: the last attempt's end, or that none was ever sent."""
        if self.outcome is RequestOutcome.SERVED:
            return "answered"
        return self.attempts[-1].reason if self.attempts else "no leg was sent"
