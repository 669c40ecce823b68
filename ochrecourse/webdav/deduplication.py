"""Deduplication of requests that clients send again while the first one is under way. Free of I/O and clocks.

Two requests are the same if method, path, client and `Idempotency-Key` are equal; without a key, PUTs are the
same if their bodies are. A duplicate never runs concurrently with the first request:

- the same GET waits for the first one and is processed again after it;
- the same PUT waits for the first one and gets the same status;
- another PUT to the path is rejected for now (503 with Retry-After), because the server cannot tell which of
the two the client means to be the last.

The status of a successful PUT with a key is stored for REPLAY_WINDOW, so that a later duplicate gets it
without running.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from ochrecourse.webdav.paths import Path

REPLAY_WINDOW = 30_000_000_000  # ns; covers several retries of clients with short timeouts
MAX_TRACKED = 50_000  # requests under way, and completed ones that are stored


class RequestIdentity(NamedTuple):
    """What makes two requests the same."""

    method: str
    path: Path
    client: str
    idempotency_key: str
    content: str = ""  # digest of the body if there is no key


class Disposition(Enum):
    """What is done with a request."""

    RUN = "run"
    JOIN = "join the request under way"
    REPLAY = "repeat the stored status"
    REJECT = "reject: another write to the path is under way"


@dataclass(slots=True)
class ActiveRequest:
    """A request under way and the numbers of the duplicates that wait for it."""

    identity: RequestIdentity
    number: int
    joined: list[int] = field(default_factory=list)


class RequestDeduplicator:
    """Requests under way and recently completed writes."""

    def __init__(self, max_tracked: int = MAX_TRACKED) -> None:
        self.max_tracked = max_tracked
        self.active: dict[RequestIdentity, ActiveRequest] = {}
        self.active_writes: dict[Path, RequestIdentity] = {}
        self.by_number: dict[int, ActiveRequest] = {}
        self.completed: OrderedDict[RequestIdentity, tuple[int, int]] = OrderedDict()  # time in ns, status

    def register(self, identity: RequestIdentity, number: int, now: int) -> tuple[Disposition, int]:
        """Registers a request; the second value is the stored status for REPLAY, else 0."""
        self._evict_completed(now)
        first = self.active.get(identity)
        if first is not None:
            first.joined.append(number)
            self.by_number[number] = first
            return Disposition.JOIN, 0
        if identity.method == "PUT":
            if identity.idempotency_key and identity in self.completed:
                return Disposition.REPLAY, self.completed[identity][1]
            if identity.path in self.active_writes or len(self.active) >= self.max_tracked:
                return Disposition.REJECT, 0
            self.active_writes[identity.path] = identity
        self.active[identity] = self.by_number[number] = ActiveRequest(identity, number)
        return Disposition.RUN, 0

    def complete(self, number: int, status: int, now: int) -> list[int]:
        """Ends a request that ran; returns the duplicates that still wait for it."""
        active = self.by_number.pop(number, None)
        if active is None or active.number != number:
            return []
        self.active.pop(active.identity, None)
        for joined_number in active.joined:
            self.by_number.pop(joined_number, None)
        if active.identity.method == "PUT":
            self.active_writes.pop(active.identity.path, None)
            if active.identity.idempotency_key and 200 <= status < 300:
                self.completed[active.identity] = (now, status)
        return active.joined

    def leave(self, number: int) -> bool:
        """Handles the disconnect of a client; returns True if its request can be cancelled.

        That is a read for which no duplicate waits. A write continues: the client is expected to send it
        again, and the duplicate then joins it.
        """
        active = self.by_number.get(number)
        if active is None:
            return False
        if number in active.joined:
            active.joined.remove(number)
            del self.by_number[number]
            return False
        return not active.joined and active.identity.method != "PUT"

    def _evict_completed(self, now: int) -> None:
        """Drops stored statuses that are too old or too many."""
        while self.completed:
            identity, (completed_at, _) = next(iter(self.completed.items()))
            if completed_at + REPLAY_WINDOW > now and len(self.completed) <= self.max_tracked:
                return
            del self.completed[identity]
