"""A gateway's cache of objects that it read, which purges can empty. Free of I/O, clocks and chance.

A read of a request class that the settings name is answered from the cache, or waits for the fetch of the
same object that is in progress, or is fetched itself and then cached. Whether cached objects may be used at
all is checked anew each time (`may_use`). If they may not, nothing is cached, and a read joins no fetch that
began before it was received: what was fetched by then may be from before a purge that nobody can date yet.
Such reads of one object wait together for one next fetch, which begins when the answer of the one in progress
does. It is as new as an attempt of each own.

A purge bars its scope at once, by an epoch number (cached_objects.py).

A write through this gateway removes its object and bars fetches in progress. A write through another gateway
does not: naming a request class accepts that a cached object may be older than that, until the next purge.
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

MAX_WAITING = 4096  # requests that wait for the begin of another's answer; each then holds one chunk at most


@dataclass(frozen=True, slots=True)
class ObjectCacheSettings:
    """`request_classes`: whose reads are cached; `max_bytes`: of all objects; `max_object_bytes`: of one."""

    request_classes: Collection[str]
    max_bytes: int
    max_object_bytes: int


@dataclass(slots=True)
class CacheCounts:
    """What became of reads of the request classes that are cached."""

    hits: int = 0
    joined: int = 0
    misses: int = 0
    bypassed: int = 0  # fetched from a node because cached objects might not be used
    purged: int = 0

    def report(self) -> dict[str, int]:
        """By the names of the operators' pages."""
        return {
            "from_copy": self.hits,
            "joined": self.joined,
            "fetched": self.misses,
            "not_sure": self.bypassed,
            "dropped": self.purged,
        }


class PurgeableObjectCache:
    """The cache of one gateway (common.object_cache.ObjectCache). `may_use(volume, tenant)`: whether cached
    objects of these may be used now; `now`: the monotonic time in ns.
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
        self.shared_fetches: dict[ObjectKey, ObjectFetch] = {}  # that others may join
        self.barred_fetches: dict[ObjectKey, ObjectFetch] = {}  # begun while no cached object may be used
        self.fetches: dict[int, ObjectFetch] = {}  # all that are recorded, by request
        self.waiting: dict[int, ObjectFetch] = {}  # requests that wait for the begin of another's answer

    # --- for the gateway (common.object_cache.ObjectCache) ---

    def request_received(
        self, request_id: int, request: Request, write: bool, deadline: int, handler: ResponseHandler
    ) -> ResponseHandler | None:
        """Who handles a request's answer from the nodes; None if no attempt is to be sent for it now."""
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
        """The client of a request no longer waits; True if no attempt of it was ever sent."""
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
        """Whether an answer that has begun is wanted although its client left: it is being recorded."""
        fetch = self.fetches.get(request_id)
        return fetch is not None and fetch.recorded and fetch.cached is not None

    def response_consumed(self, request_id: int, size: int) -> bool:
        """A client received `size` more bytes; True if the node need not be credited."""
        if self.readers.consumed(request_id, size):
            return True
        fetch = self.fetches.get(request_id)
        return fetch is not None and fetch.recorded

    def request_finished(self, request_id: int, certain: bool) -> None:
        """A request is over and no attempt of it is out; `certain`: it took effect, or surely did not."""
        fetch = self.fetches.get(request_id)
        if fetch is not None:
            self.fetch_ended(fetch)
        target = self.writes.end(request_id)
        if target is not None:
            self._invalidate_object(target)
            if not certain and not self.writes.add_uncertain(target):
                self.store.clear()

    # --- a read ---

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
        """A read while no cached object may be used: it joins a fetch only if that began after it."""
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
        """Has a request share the answer of a fetch in progress; False if that may be too late for it."""
        if fetch.cached is not None:
            if self.readers.is_full():
                return False
            self.counts.joined += 1
            self.readers.start(ObjectReader(read.request_id, read.handler, fetch.cached, fetch.key, fetch))
            return True
        if fetch.deadline > read.deadline or len(self.waiting) >= MAX_WAITING:
            return False
        # Its answer begins by a time at which this request may still be answered: no timer is needed.
        self.counts.joined += 1
        fetch.waiting[read.request_id] = read
        self.waiting[read.request_id] = fetch
        return True

    # --- a fetch, as its answer arrives (object_fetch.FetchObserver) ---

    def fetch_served(self, fetch: ObjectFetch, size: int, shard: int) -> None:
        """The answer began: requests that wait for it read with it."""
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
        """A chunk of a recorded answer arrived."""
        assert fetch.cached is not None  # a chunk arrives after its answer began
        fetch.cached.chunks.append(data)
        fetch.cached.received += len(data)
        self.gateway.grant_credit(fetch.request_id, len(data))

    def fetch_progressed(self, fetch: ObjectFetch) -> None:
        """More of an answer is there for its readers; once it is complete it may be cached."""
        cached = fetch.cached
        if not fetch.recorded or cached is None:
            return
        self.readers.send_progress(fetch)
        if cached.received >= cached.size and self.fetches.get(fetch.request_id) is fetch:
            self._remove_fetch(fetch)
            if cached.received == cached.size:
                self._store_fetched(fetch)

    def fetch_ended(self, fetch: ObjectFetch) -> None:
        """A fetch ended before it was complete, or its client left before its answer began."""
        self._remove_fetch(fetch)
        self.readers.abort_fetch(fetch)
        waiting, waiting_for_next = self._take_waiting(fetch)
        self._read_again([*waiting, *waiting_for_next])

    def _take_waiting(self, fetch: ObjectFetch) -> tuple[list[WaitingRead], list[WaitingRead]]:
        """Reads that waited for a fetch's answer, and those that wait for the next one."""
        waiting, waiting_for_next = list(fetch.waiting.values()), list(fetch.waiting_for_next.values())
        fetch.waiting, fetch.waiting_for_next = {}, {}
        for read in (*waiting, *waiting_for_next):
            del self.waiting[read.request_id]
        return waiting, waiting_for_next

    def _read_again(self, reads: list[WaitingRead]) -> None:
        """Reads whose fetch gave no answer: one of them fetches, the others wait for it."""
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
        assert cached is not None  # it is complete
        # Checked again at the end: a purge may be due that nobody has looked for since.
        may_use = self.may_use(key.volume, key.tenant) and not fetch.barred
        if may_use and fetch.epochs == self.store.current_epochs(key.volume, key.tenant):
            self.store.insert(key, cached)

    # --- purges and writes ---

    def drop(self, scope: Scope) -> int:
        """Bars all cached objects of a scope at once; returns how many the next steps will remove.

        An answer that is being sent from a cached object is aborted; one that a node sends for its own
        client, or for those who requested it before, continues.
        """
        self.store.advance_epoch(scope)
        self.readers.abort_cached(scope)
        count = self.store.discard(scope)
        self.counts.purged += count
        return count

    def step(self, max_objects: int = MAX_DISCARDED_PER_STEP) -> bool:
        """Removes some of what purges barred; True if more is left."""
        return self.store.discard_step(max_objects)

    def _invalidate_object(self, target: ObjectId) -> None:
        self.store.remove_object(target)
        for fetch in self.fetches.values():
            if (fetch.key.volume, fetch.key.key) == target:
                fetch.barred = True


def _by_deadline(reads: list[WaitingRead]) -> list[WaitingRead]:
    return sorted(reads, key=lambda each: (each.deadline, each.request_id))
