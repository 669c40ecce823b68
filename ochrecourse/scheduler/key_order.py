"""Serializes requests that share an ordered key.

Inputs: requests with such a key, in order of arrival, and whether each is finished.

A request with an ordered key may be sent once all earlier requests with that key, and their attempts, have
finished. After an attempt that may still run at its node, the key stays blocked for the settle time of the
settings.
"""

from __future__ import annotations

from collections import deque

from ochrecourse.scheduler.state import PendingRequest
from ochrecourse.scheduler.timers import AdvanceKey, TimerQueue


class KeyOrder:
    """The request order of all ordered keys.

    `settle_time`: ns for which a key stays blocked after an attempt that may still run.
    """

    __slots__ = ("_blocked_until", "_queues", "_settle_time", "_timers")

    def __init__(self, settle_time: int, timers: TimerQueue) -> None:
        self._settle_time = settle_time
        self._timers = timers
        self._queues: dict[int, deque[PendingRequest]] = {}
        self._blocked_until: dict[int, int] = {}

    def add(self, pending: PendingRequest) -> None:
        """Queues a new request behind the others with its key; call `advance` afterwards."""
        self._queues.setdefault(pending.request.key, deque()).append(pending)

    def block(self, key: int, now: int) -> None:
        """Blocks a key for the settle time after one of its attempts ended but may still run."""
        self._blocked_until[key] = now + self._settle_time

    def advance(self, key: int, now: int) -> PendingRequest | None:
        """Returns the request that is next for the key, if it became so with this call.

        While the key is blocked, sets a timer that calls this again.
        """
        queue = self._queues.get(key, deque())
        while queue and queue[0].finished and not queue[0].attempt_outstanding:
            queue.popleft()
        blocked_until = self._blocked_until.get(key, 0)
        if now < blocked_until:
            self._timers.add(blocked_until, AdvanceKey(key))
        elif not queue:
            self._queues.pop(key, None)
            self._blocked_until.pop(key, None)
        elif not queue[0].is_next_for_key:
            queue[0].is_next_for_key = True
            return queue[0]
        return None
