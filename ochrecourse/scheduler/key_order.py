"""One request at a time for an ordered key.

Inputs: requests that carry such a key, in their order of arrival, and whether each is over.

A request of an ordered key has its turn once all before it are over, their attempts too. After an attempt
that may still run at its node the key rests for a span that the settings give.
"""

from __future__ import annotations

from collections import deque

from ochrecourse.scheduler.state import PendingRequest
from ochrecourse.scheduler.timers import AdvanceKey, TimerQueue


class KeyOrder:
    """The turns of all ordered keys.

    `settle_span`: ns that a key rests after an attempt that may still run.
    """

    __slots__ = ("_queues", "_rest_until", "_settle_span", "_timers")

    def __init__(self, settle_span: int, timers: TimerQueue) -> None:
        self._settle_span = settle_span
        self._timers = timers
        self._queues: dict[int, deque[PendingRequest]] = {}
        self._rest_until: dict[int, int] = {}

    def add(self, pending: PendingRequest) -> None:
        """Puts a new request behind the others of its key; `advance` then."""
        self._queues.setdefault(pending.request.key, deque()).append(pending)

    def rest(self, key: int, now: int) -> None:
        """An attempt of this key ended, but may still run."""
        self._rest_until[key] = now + self._settle_span

    def advance(self, key: int, now: int) -> PendingRequest | None:
        """Gives the turn on; returns the request that has it from now on, if there is one.

        While the key rests a timer is set that asks again.
        """
        queue = self._queues.get(key, deque())
        while queue and queue[0].over and not queue[0].attempt_out:
            queue.popleft()
        rest_until = self._rest_until.get(key, 0)
        if now < rest_until:
            self._timers.add(rest_until, AdvanceKey(key))
        elif not queue:
            self._queues.pop(key, None)
            self._rest_until.pop(key, None)
        elif not queue[0].has_turn:
            queue[0].has_turn = True
            return queue[0]
        return None
