"""The object cache of one gateway, which purges empty by scope. Free of I/O, clocks and randomness.

A read of a request class named in the settings is answered from the cache, joins the fetch of the same object
that is in progress, or is fetched itself and then cached. `may_use` is evaluated for each read. While it
returns False, nothing is cached, and a read does not join a fetch that began before the read was received:
that data may predate a purge whose time is not known yet. Such reads of one object share the next fetch,
which begins when the answer of the current one begins. Its data is as recent as that of a separate attempt
per read.

A purge invalidates its scope at once by advancing an epoch number (cached_objects.py).

A write through this gateway removes the object; fetches of it in progress are then neither cached nor joined.
A write through another gateway does not: a request class that is configured for caching may be served data
older than such a write until the next purge.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass

from ochrecourse.common.object_cache import CachingGateway
from ochrecourse.common.requests import Request, ResponseHandler
from ochrecourse.fleet.cached_objects import (
    MAX_DISCARDED_PER_STEP,
    OBJECT_OVERHEAD_BYTES,
    CachedObject,
    CachedObjects,
    ObjectKey,
)
from ochrecourse.fleet.calendar_edition import Scope
from ochrecourse.fleet.object_fetch import ObjectFetch, ObjectReader, WaitingRead
from ochrecourse.fleet.object_readers import ObjectReaders
from ochrecourse.fleet.object_writes import ObjectId, ObjectWrites

MAX_WAITING = 4096  # requests that wait for another's answer to begin; each then buffers one chunk at most


@dataclass(frozen=True, slots=True)
class ObjectCacheSettings:
    """`request_classes`: classes whose reads are cached; `max_bytes`: size limit of the cache;
    `max_object_bytes`: size limit of one object.
    """

    request_classes: Collection[str]
    max_bytes: int
    max_object_bytes: int


@dataclass(slots=True)
class CacheCounts:
    """Counters of reads of the cached request classes, and of purged objects."""

    hits: int = 0
    joined: int = 0
    misses: int = 0
    bypassed: int = 0  # fetched from a node because cached objects were not allowed to be used
    purged: int = 0

    def report(self) -> dict[str, int]:
        """The counters under the names that reports and metrics use."""
        return {
            "from_copy": self.hits,
            "joined": self.joined,
            "fetched": self.misses,
            "not_sure": self.bypassed,
            "dropped": self.purged,
        }


class PurgeableObjectCache:
    """The cache of one gateway (common.object_cache.ObjectCache). `may_use(volume, tenant)`: whether cached
    objects of this volume and tenant may be used now; `now`: returns the monotonic time in ns.
    """

    def __init__(
        self,
        gateway: CachingGateway,
        settings: ObjectCacheSettings,
        may_use: Callable[[int, str], bool],
        now: Callable[[], int],
    ) -> None:
        self.gateway = gateway
        self.request_classes = frozenset(settings.request_classes)
        self.max_object_bytes = min(settings.max_object_bytes, settings.max_bytes - OBJECT_OVERHEAD_BYTES)
        self.may_use = may_use
        self.counts = CacheCounts()
        self.store = CachedObjects(settings.max_bytes)
        self.readers = ObjectReaders(gateway)
        self.writes = ObjectWrites(now)
        self.reads_received = 0
        self.shared_fetches: dict[ObjectKey, ObjectFetch] = {}  # fetches that other reads may join
        self.barred_fetches: dict[ObjectKey, ObjectFetch] = {}  # begun while cached objects may not be used
        self.fetches: dict[int, ObjectFetch] = {}  # all fetches whose answer is recorded, by request
        self.waiting: dict[int, ObjectFetch] = {}  # requests that wait for another's answer to begin

    # --- called by the gateway (common.object_cache.ObjectCache) ---

    def request_received(
        self, request_id: int, request: Request, write: bool, deadline: int, handler: ResponseHandler
    ) -> ResponseHandler | None:
        """Returns the handler for the answer from the nodes; None if no attempt is to be sent now."""
        if write:
            target = (request.volume, request.key)
            self.writes.begin(request_id, target)
            self._invalidate_object(target)
            return handler
        if request.request_class not in self.request_classes or request.shard < 0:
            return handler
        self.reads_received += 1
        return self._read(WaitingRead(request_id, request, deadline, handler, self.reads_received))

    def request_cancelled(self, request_id: int) -> bool:
        """The client cancelled the request; returns True if no attempt was sent for it."""
        fetch = self.waiting.pop(request_id, None)
        if fetch is not None:
            fetch.waiting.pop(request_id, None)
            fetch.waiting_for_next.pop(request_id, None)
            return True
        if self.readers.cancel(request_id):
            return True
        own = self.fetches.get(request_id)
        if own is not None and own.cached is None:
            self.fetch_ended(own)
        return False

    def wants_response(self, request_id: int) -> bool:
        """Whether an answer that has begun is still needed after its client left: it is being recorded."""
        fetch = self.fetches.get(request_id)
        return fetch is not None and fetch.recorded and fetch.cached is not None

    def response_consumed(self, request_id: int, size: int) -> bool:
        """A client received `size` more bytes; returns True if no credit is to be granted to the node."""
        if self.readers.consumed(request_id, size):
            return True
        fetch = self.fetches.get(request_id)
        return fetch is not None and fetch.recorded

    def request_finished(self, request_id: int, certain: bool) -> None:
        """A request finished and none of its attempts is in flight. `certain`: whether it is known that the
        request took effect or did not.
        """
        fetch = self.fetches.get(request_id)
        if fetch is not None:
            self.fetch_ended(fetch)
        target = self.writes.end(request_id)
        if target is not None:
            self._invalidate_object(target)
            if not certain and not self.writes.add_uncertain(target):
                self.store.clear()

    # --- reads ---

    def _read(self, read: WaitingRead) -> ResponseHandler | None:
        request = read.request
        key = ObjectKey(
            request.request_class, request.tenant, request.volume, request.key, request.shard, request.units
        )
        if not self.may_use(request.volume, request.tenant):
            return self._read_barred(key, read)
        epochs = self.store.current_epochs(request.volume, request.tenant)
        cached = self.store.objects.get(key)
        if cached is not None and cached.epochs == epochs:
            if self.readers.is_full():
                return read.handler
            self.counts.hits += 1
            self.readers.start(ObjectReader(read.request_id, read.handler, cached, key, None))
            return None
        fetch = self.shared_fetches.get(key)
        if fetch is not None and fetch.epochs == epochs and not fetch.barred:
            return None if self._join(fetch, read) else read.handler
        self.counts.misses += 1
        if self.writes.forbids_caching((key.volume, key.key)):
            return read.handler
        own = ObjectFetch(self, read, key, epochs, self.reads_received)
        self.shared_fetches[key] = self.fetches[read.request_id] = own
        return own

    def _read_barred(self, key: ObjectKey, read: WaitingRead) -> ResponseHandler | None:
        """A read while cached objects may not be used: it joins only a fetch that begins after it."""
        fetch = self.barred_fetches.get(key)
        if fetch is None:
            self.counts.bypassed += 1
            epochs = self.store.current_epochs(key.volume, key.tenant)
            fetch = ObjectFetch(self, read, key, epochs, self.reads_received)
            fetch.barred = True
            self.barred_fetches[key] = self.fetches[read.request_id] = fetch
            return fetch
        if read.order <= fetch.order:
            joins = self._join(fetch, read)
        else:
            joins = fetch.deadline <= read.deadline and len(self.waiting) < MAX_WAITING
            if joins:
                fetch.waiting_for_next[read.request_id] = read
                self.waiting[read.request_id] = fetch
        self.counts.bypassed += not joins
        return None if joins else read.handler

    def _join(self, fetch: ObjectFetch, read: WaitingRead) -> bool:
        """Makes a read share the answer of a fetch in progress. Returns False if that is not possible: too
        many requests wait or read already, or the answer may begin after the read's deadline.
        """
        if fetch.cached is not None:
            if self.readers.is_full():
                return False
            self.counts.joined += 1
            self.readers.start(ObjectReader(read.request_id, read.handler, fetch.cached, fetch.key, fetch))
            return True
        if fetch.deadline > read.deadline or len(self.waiting) >= MAX_WAITING:
            return False
        # The fetch's deadline is not later than the read's, so the read needs no timer of its own.
        self.counts.joined += 1
        fetch.waiting[read.request_id] = read
        self.waiting[read.request_id] = fetch
        return True

    # --- progress of a fetch (object_fetch.FetchObserver) ---

    def fetch_served(self, fetch: ObjectFetch, size: int, shard: int) -> None:
        """The answer began: the requests that wait for it read it too, unless it is too large to record."""
        fetch.cached = CachedObject(size, shard, fetch.epochs)
        waiting, waiting_for_next = self._take_waiting(fetch)
        if size > self.max_object_bytes:
            fetch.recorded = False
            self._remove_fetch(fetch)
            for read in _by_deadline([*waiting, *waiting_for_next]):
                self.gateway.forward(read.request_id, read.handler)
            return
        for read in waiting:
            reader = ObjectReader(read.request_id, read.handler, fetch.cached, fetch.key, fetch)
            self.readers.start(reader)
        if self.barred_fetches.get(fetch.key) is fetch:
            del self.barred_fetches[fetch.key]
            self._read_again(waiting_for_next)

    def fetch_chunk_received(self, fetch: ObjectFetch, data: bytes) -> None:
        """Records a chunk of the answer and grants the node credit for it."""
        assert fetch.cached is not None  # chunks follow the start of the answer
        fetch.cached.chunks.append(data)
        fetch.cached.received += len(data)
        self.gateway.grant_credit(fetch.request_id, len(data))

    def fetch_progressed(self, fetch: ObjectFetch) -> None:
        """Sends newly recorded data to the readers; caches the answer if it is complete."""
        cached = fetch.cached
        if not fetch.recorded or cached is None:
            return
        self.readers.send_progress(fetch)
        if cached.received >= cached.size and self.fetches.get(fetch.request_id) is fetch:
            self._remove_fetch(fetch)
            if cached.received == cached.size:
                self._store_fetched(fetch)

    def fetch_ended(self, fetch: ObjectFetch) -> None:
        """The fetch ended incomplete, or its client left before the answer began."""
        self._remove_fetch(fetch)
        self.readers.abort_fetch(fetch)
        waiting, waiting_for_next = self._take_waiting(fetch)
        self._read_again([*waiting, *waiting_for_next])

    def _take_waiting(self, fetch: ObjectFetch) -> tuple[list[WaitingRead], list[WaitingRead]]:
        """Removes and returns the reads that wait for this fetch and those that wait for the next one."""
        waiting, waiting_for_next = list(fetch.waiting.values()), list(fetch.waiting_for_next.values())
        fetch.waiting, fetch.waiting_for_next = {}, {}
        for read in (*waiting, *waiting_for_next):
            del self.waiting[read.request_id]
        return waiting, waiting_for_next

    def _read_again(self, reads: list[WaitingRead]) -> None:
        """Handles again reads whose fetch gave no answer: one of them fetches, the others wait for it."""
        for read in _by_deadline(reads):
            handler = self._read(read)
            if handler is not None:
                self.gateway.forward(read.request_id, handler)

    def _remove_fetch(self, fetch: ObjectFetch) -> None:
        self.fetches.pop(fetch.request_id, None)
        for fetches in (self.shared_fetches, self.barred_fetches):
            if fetches.get(fetch.key) is fetch:
                del fetches[fetch.key]

    def _store_fetched(self, fetch: ObjectFetch) -> None:
        key, cached = fetch.key, fetch.cached
        assert cached is not None  # the answer is complete
        # Checked again on completion: a purge may have become due since the last check.
        may_use = self.may_use(key.volume, key.tenant) and not fetch.barred
        if may_use and fetch.epochs == self.store.current_epochs(key.volume, key.tenant):
            self.store.insert(key, cached)

    # --- purges and writes ---

    def drop(self, scope: Scope) -> int:
        """Invalidates all cached objects of a scope at once; returns how many `step` will remove.

        Answers that are being sent from a cached object are aborted. An answer that arrives from a node
        continues for the client that caused the fetch and for those that joined before the purge.
        """
        self.store.advance_epoch(scope)
        self.readers.abort_cached(scope)
        count = self.store.discard(scope)
        self.counts.purged += count
        return count

    def step(self, max_objects: int = MAX_DISCARDED_PER_STEP) -> bool:
        """Removes up to `max_objects` purged objects; returns True if more are left."""
        return self.store.discard_step(max_objects)

    def _invalidate_object(self, target: ObjectId) -> None:
        self.store.remove_object(target)
        for fetch in self.fetches.values():
            if (fetch.key.volume, fetch.key.key) == target:
                fetch.barred = True


def _by_deadline(reads: list[WaitingRead]) -> list[WaitingRead]:
    return sorted(reads, key=lambda each: (each.deadline, each.request_id))
