"""Timers of a scheduler. Times are integer nanoseconds on the gateway's clock."""

from __future__ import annotations

from dataclasses import dataclass
from heapq import heappop, heappush

from ochrecourse.scheduler.state import Node, PendingRequest

NEVER = 1 << 60  # ns; an infinite wait


@dataclass(slots=True)
class ReviewRequest:
    """Timer: decide on a request again."""

    pending: PendingRequest


@dataclass(slots=True)
class ListFlow:
    """Timer: list a volume's queues at a node again."""

    node: Node
    volume_id: int


@dataclass(slots=True)
class AdvanceKey:
    """Timer: the settle time of an ordered key is over."""

    key: int


@dataclass(slots=True)
class GiveUpAttempt:
    """Timer: an attempt that is still unanswered counts as lost."""

    pending: PendingRequest
    attempt: int  # number of attempts of the request, this one included


@dataclass(slots=True)
class PollEndpoints:
    """Timer: poll for the endpoint list again."""


Timer = ReviewRequest | ListFlow | AdvanceKey | GiveUpAttempt | PollEndpoints


class TimerQueue:
    """Timers ordered by due time; those with the same due time are in the order of insertion."""

    __slots__ = ("_count", "_heap")

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Timer]] = []
        self._count = 0

    def add(self, at: int, timer: Timer) -> None:
        """Adds a timer that is due at a time; a time in the past is due immediately."""
        self._count += 1
        heappush(self._heap, (at, self._count, timer))

    def pop_due(self, now: int) -> Timer | None:
        """Removes and returns the first timer that is due, or None."""
        if self._heap and self._heap[0][0] <= now:
            return heappop(self._heap)[2]
        return None

    def next_at(self) -> int | None:
        """Returns when the first timer is due, or None without timers."""
        return self._heap[0][0] if self._heap else None
