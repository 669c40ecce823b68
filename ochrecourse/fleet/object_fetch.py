"""A fetch of an object from the nodes, the reads that wait for it and the readers of its answer. Free of I/O
and clocks.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple, Protocol

from ochrecourse.common.requests import Request, ResponseHandler
from ochrecourse.fleet.cached_objects import CachedObject, ObjectKey, PurgeEpochs


class WaitingRead(NamedTuple):
    """A read that waits for a fetch's answer to begin. `deadline`: in ns; `order`: its sequence number among
    all reads received.
    """

    request_id: int
    request: Request
    deadline: int
    handler: ResponseHandler
    order: int


@dataclass(slots=True, eq=False)
class ObjectReader:
    """A request that is answered from a cached object or from a fetch in progress, one chunk at a time at the
    pace of its client. `fetch`: None for a complete object; `unconsumed`: bytes sent that the client has not
    received yet.
    """

    request_id: int
    handler: ResponseHandler
    source: CachedObject
    key: ObjectKey
    fetch: ObjectFetch | None
    next_chunk: int = 0
    unconsumed: int = 0
    sending: bool = False

    def is_complete(self) -> bool:
        """Whether the whole object was sent."""
        return self.next_chunk >= len(self.source.chunks) and self.source.received >= self.source.size


class FetchObserver(Protocol):
    """Receives the events of a fetch (object_cache.PurgeableObjectCache)."""

    def fetch_served(self, fetch: ObjectFetch, size: int, shard: int) -> None:
        """The answer began."""

    def fetch_chunk_received(self, fetch: ObjectFetch, data: bytes) -> None:
        """A chunk of a recorded answer arrived."""

    def fetch_progressed(self, fetch: ObjectFetch) -> None:
        """The fetch's own handler was called with the data that arrived."""

    def fetch_ended(self, fetch: ObjectFetch) -> None:
        """The fetch ended without a complete answer."""


class ObjectFetch:
    """One fetch from the nodes whose answer may be cached. It is the gateway's response handler and passes
    the answer on to the handler of the read that caused it.
    """

    def __init__(
        self, observer: FetchObserver, read: WaitingRead, key: ObjectKey, epochs: PurgeEpochs, order: int
    ) -> None:
        self.observer = observer
        self.request_id = read.request_id
        self.deadline = read.deadline
        self.handler = read.handler
        self.key = key
        self.epochs = epochs
        self.order = order  # number of the last read received before it began
        self.waiting: dict[int, WaitingRead] = {}
        # Reads received after it began, while cached objects may not be used.
        self.waiting_for_next: dict[int, WaitingRead] = {}
        self.readers: dict[int, ObjectReader] = {}
        self.cached: CachedObject | None = None  # set when the answer begins
        self.barred = False  # no read joins it, and its answer is not cached
        self.recorded = True  # whether its chunks are recorded: False if the object is too large

    def served(self, request_id: int, size: int, shard: int) -> None:
        """The answer began (ResponseHandler)."""
        self.observer.fetch_served(self, size, shard)
        self.handler.served(request_id, size, shard)
        self.observer.fetch_progressed(self)

    def body_chunk(self, request_id: int, data: bytes) -> None:
        """More of the answer arrived (ResponseHandler)."""
        if not self.recorded:
            self.handler.body_chunk(request_id, data)
            return
        self.observer.fetch_chunk_received(self, data)
        self.handler.body_chunk(request_id, data)
        self.observer.fetch_progressed(self)

    def aborted(self, request_id: int) -> None:
        """The answer was aborted and will not be completed (ResponseHandler)."""
        self.handler.aborted(request_id)
        self.observer.fetch_ended(self)

    def rejected(self, request_id: int, retry_after: int) -> None:
        """The request was rejected (ResponseHandler)."""
        self.handler.rejected(request_id, retry_after)
        self.observer.fetch_ended(self)

    def failed(self, request_id: int) -> None:
        """The request failed (ResponseHandler)."""
        self.handler.failed(request_id)
        self.observer.fetch_ended(self)
