"""Timers of a scheduler: when which action is due. Times are whole nanoseconds on the gateway's clock."""

from __future__ import annotations

from dataclasses import dataclass
from heapq import heappop, heappush

from ochrecourse.scheduler.state import Node, PendingRequest

NEVER = 1 << 60  # ns; a wait that nothing ends


@dataclass(slots=True)
class ReviewRequest:
    """Decide about a request again."""

    pending: PendingRequest


@dataclass(slots=True)
class ListFlow:
    """A volume's requests may leave for a node again."""

    node: Node
    volume_id: int


@dataclass(slots=True)
class AdvanceKey:
    """An ordered key has rested."""

    key: int


@dataclass(slots=True)
class GiveUpAttempt:
    """An attempt has gone unanswered for so long that it counts as lost."""

    pending: PendingRequest
    attempt: int  # how many attempts the request had with this one


@dataclass(slots=True)
class PollEndpoints:
    """Ask for the endpoint list again."""


Timer = ReviewRequest | ListFlow | AdvanceKey | GiveUpAttempt | PollEndpoints


class TimerQueue:
    """Timers by time; those of one moment in the order in which they were added."""

    __slots__ = ("_count", "_heap")

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Timer]] = []
        self._count = 0

    def add(self, at: int, timer: Timer) -> None:
        """Has an action due at a time; one that is past is due at once."""
        self._count += 1
        heappush(self._heap, (at, self._count, timer))

    def pop_due(self, now: int) -> Timer | None:
        """Takes out the first timer that is due."""
        if self._heap and self._heap[0][0] <= now:
            return heappop(self._heap)[2]
        return None

    def next_at(self) -> int | None:
        """When the first timer is due."""
        return self._heap[0][0] if self._heap else None
