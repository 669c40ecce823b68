"""The ids of requests that nodes may have run and whose connection has ended, so that none runs again soon.

Every request carries a new id, a client's retry included. An id that comes again is that of a client which
left without its answer; its first copy may have run, and may still run. Performs no I/O.
"""

from __future__ import annotations

from collections import OrderedDict

from ochrecourse.common.runtime import Clock

MAX_RECENT_IDS = 8_192  # some 1.5 MB
KEPT_SECONDS = 5.0  # from the end of the connection; attempts have ended by then, and clients given up


class RecentIds:
    """The ids, oldest first, with the times (s) at which they were added."""

    __slots__ = ("_added_at", "_clock")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._added_at: OrderedDict[bytes, float] = OrderedDict()

    def add(self, client_request_id: bytes) -> None:
        """Adds an id; the oldest is forgotten beyond `MAX_RECENT_IDS`."""
        self._added_at[client_request_id] = self._clock.seconds()
        self._added_at.move_to_end(client_request_id)
        if len(self._added_at) > MAX_RECENT_IDS:
            self._added_at.popitem(last=False)

    def __contains__(self, client_request_id: bytes) -> bool:
        added_at = self._added_at.get(client_request_id)
        return added_at is not None and self._clock.seconds() < added_at + KEPT_SECONDS
