"""Serializes requests that share an ordered key.

Inputs: requests with such a key, in order of arrival, and whether each is finished.

A request with an ordered key may be sent once all earlier requests with that key, and their attempts, have
finished. After an attempt that may still run at its node, the key stays blocked for the settle time of the
settings.

A request that has arrived but is not submitted yet, because it is queued on its client's connection, can
reserve its place in the order. The place blocks later requests until the request is finished or the place is
released. A place that blocks a submitted request is wanted: its own request is then submitted at once.
"""

from __future__ import annotations

from collections import deque

from ochrecourse.scheduler.state import PendingRequest
from ochrecourse.scheduler.timers import AdvanceKey, TimerQueue


class Place:
    """A place in the order of one key; `pending` is None until its request is submitted."""

    __slots__ = ("key", "number", "pending", "released")

    def __init__(self, key: int, number: int, pending: PendingRequest | None) -> None:
        self.key = key
        self.number = number  # 0 if it was not reserved
        self.pending = pending
        self.released = False

    def is_over(self) -> bool:
        """Whether it blocks no later request any more."""
        if self.pending is None:
            return self.released
        return self.pending.finished and not self.pending.attempt_outstanding


class KeyOrder:
    """The request order of all ordered keys.

    `settle_time`: ns for which a key stays blocked after an attempt that may still run.
    """

    __slots__ = (
        "_blocked_until",
        "_last_number",
        "_queues",
        "_reserved",
        "_settle_time",
        "_timers",
        "wanted",
    )

    def __init__(self, settle_time: int, timers: TimerQueue) -> None:
        self._settle_time = settle_time
        self._timers = timers
        self._queues: dict[int, deque[Place]] = {}
        self._blocked_until: dict[int, int] = {}
        self._reserved: dict[int, Place] = {}  # by number: places without a request
        self._last_number = 0
        self.wanted: list[int] = []  # reserved places that block submitted requests

    def reserve(self, key: int) -> int:
        """Reserves the place behind all others with the key, and returns its number."""
        self._last_number += 1
        place = self._reserved[self._last_number] = Place(key, self._last_number, None)
        self._queues.setdefault(key, deque()).append(place)
        return self._last_number

    def release(self, number: int) -> int:
        """Releases a place whose request is not submitted; returns its key, 0 if there is no such place.

        Call `advance` afterwards.
        """
        place = self._reserved.pop(number, None)
        if place is None:
            return 0
        place.released = True
        return place.key

    def add(self, pending: PendingRequest, number: int) -> None:
        """Puts a new request in its place, or behind the others with its key; call `advance` afterwards."""
        place = self._reserved.pop(number, None)
        if place is None:
            place = Place(pending.request.key, 0, pending)
            self._queues.setdefault(pending.request.key, deque()).append(place)
        place.pending = pending

    def block(self, key: int, now: int) -> None:
        """Blocks a key for the settle time after one of its attempts ended but may still run."""
        self._blocked_until[key] = now + self._settle_time

    def advance(self, key: int, now: int) -> PendingRequest | None:
        """Returns the request that is next for the key, if it became so with this call.

        While the key is blocked, sets a timer that calls this again.
        """
        queue = self._queues.get(key, deque())
        while queue and queue[0].is_over():
            queue.popleft()
        blocked_until = self._blocked_until.get(key, 0)
        if now < blocked_until:
            self._timers.add(blocked_until, AdvanceKey(key))
        elif not queue:
            self._queues.pop(key, None)
            self._blocked_until.pop(key, None)
        elif (next_request := queue[0].pending) is None:
            if any(place.pending is not None for place in queue):
                self.wanted.append(queue[0].number)
        elif not next_request.is_next_for_key:
            next_request.is_next_for_key = True
            return next_request
        return None
