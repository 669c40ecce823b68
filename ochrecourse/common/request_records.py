"""What is known of one request and its attempts, as the gateway saw them. Free of I/O and clocks."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from ochrecourse.interface import Ending


class RequestOutcome(Enum):
    """How a job ended for its client."""

    FULFILLED = "fulfilled"
    DENIED = "denied"
    WRITTEN_OFF = "written off"
    CLIENT_GONE = "client gone"
    TOO_LATE = "too late"  # the answer was ready when the client had already given up; it was not sent


@dataclass(slots=True)
class AttemptRecord:
    """One leg as the gateway saw it; times in ns."""

    number: int
    node: int
    sent: int
    took: int = -1  # -1: still out
    ending: Ending | None = None
    why: str = ""


@dataclass(slots=True)
class RequestRecord:
    """One job as the gateway saw it; times in ns.

    `due` is what the decisions were told as the client timeout: the client's own, less what an answer takes
    to it. An answer that leaves by `latest`, a little later, is still in time; a leg's time-out at `due` is
    answered then.
    """

    number: int
    product: int
    plan: int
    volume: int
    units: float
    taken: int
    due: int
    latest: int
    trace: str = ""
    legs: list[AttemptRecord] = field(default_factory=list)
    closing: RequestOutcome | None = None
    streaming: bool = False
    answered: int = -1
    out: int = 0

    def why(self) -> str:
        """In one phrase, what led to the end: the last leg's, or that none was ever sent."""
        if self.closing is RequestOutcome.FULFILLED:
            return "answered"
        return self.legs[-1].why if self.legs else "no leg was sent"
