"""Tracks the writes through this gateway whose objects must not be cached. Free of I/O; the time is
passed in.
"""

from __future__ import annotations

from collections.abc import Callable

UNCERTAIN_NS = 60_000_000_000  # an object is not cached for so long after a write that may still take effect
MAX_UNCERTAIN_OBJECTS = 4096  # beyond this count no object at all is cached for UNCERTAIN_NS

ObjectId = tuple[int, int]  # volume and key


class ObjectWrites:
    """Writes in progress, and finished ones that may still take effect. `now`: monotonic clock in ns."""

    def __init__(self, now: Callable[[], int]) -> None:
        self.now = now
        self.in_progress: dict[ObjectId, int] = {}  # count of writes per object
        self.by_request: dict[int, ObjectId] = {}
        self.uncertain_until: dict[ObjectId, int] = {}
        self.all_uncertain_until = 0

    def begin(self, request_id: int, target: ObjectId) -> None:
        """Records that a write was received."""
        self.by_request[request_id] = target
        self.in_progress[target] = self.in_progress.get(target, 0) + 1

    def end(self, request_id: int) -> ObjectId | None:
        """Records that a request finished; returns the object it wrote, None if it was not a write."""
        target = self.by_request.pop(request_id, None)
        if target is not None:
            self.in_progress[target] -= 1
            if not self.in_progress[target]:
                del self.in_progress[target]
        return target

    def add_uncertain(self, target: ObjectId) -> bool:
        """Records that a write of this object may still take effect. Returns False if there are too many to
        track each: then no object is cached for UNCERTAIN_NS.
        """
        now = self.now()
        for each in [each for each, until in self.uncertain_until.items() if until <= now]:
            del self.uncertain_until[each]
        if len(self.uncertain_until) >= MAX_UNCERTAIN_OBJECTS:
            self.all_uncertain_until = now + UNCERTAIN_NS
            return False
        self.uncertain_until[target] = now + UNCERTAIN_NS
        return True

    def forbids_caching(self, target: ObjectId) -> bool:
        """Whether an answer of this object that is fetched now must not be cached."""
        if target in self.in_progress:
            return True
        now = self.now()
        return now < self.all_uncertain_until or now < self.uncertain_until.get(target, 0)
