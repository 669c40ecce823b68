"""Storage of a gateway's object cache: LRU eviction within a size limit, lazy purges. Free of I/O and clocks.

A purge advances the epoch of its scope, which invalidates at once all objects fetched under an older epoch.
Their memory is freed afterwards in bounded steps.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple, TypeVar

from cachetools import LRUCache

from ochrecourse.fleet.calendar_edition import Scope

OBJECT_OVERHEAD_BYTES = 512  # per object in addition to its chunks, on 64-bit CPython
MAX_DISCARDED_PER_STEP = 256  # objects; takes about 0.2 ms of the event loop


class ObjectKey(NamedTuple):
    """The fields of a read that identify its answer: reads with equal keys share one."""

    request_class: str
    tenant: str
    volume: int
    key: int
    shard: int
    units: float


class PurgeEpochs(NamedTuple):
    """The epochs at the start of an object's fetch: of all objects, of its tenant and of its volume."""

    all: int
    tenant: int
    volume: int


class CachedObject:
    """An object as received from a node, in chunks of one frame at most. `size`: bytes of the complete
    object; `received`: bytes received so far.
    """

    __slots__ = ("chunks", "epochs", "received", "shard", "size")

    def __init__(self, size: int, shard: int, epochs: PurgeEpochs) -> None:
        self.size = size
        self.shard = shard
        self.epochs = epochs
        self.chunks: list[bytes] = []
        self.received = 0


IndexKey = TypeVar("IndexKey")


def _remove_from_index(
    index: dict[IndexKey, dict[ObjectKey, None]], index_key: IndexKey, key: ObjectKey
) -> None:
    keys = index.get(index_key)
    if keys is not None:
        keys.pop(key, None)
        if not keys:
            del index[index_key]


class CachedObjects:
    """The complete objects, within `max_bytes`, with indexes by which purges and writes find them."""

    def __init__(self, max_bytes: int) -> None:
        self.objects: LRUCache[ObjectKey, CachedObject] = LRUCache(
            max_bytes, getsizeof=lambda each: each.size + OBJECT_OVERHEAD_BYTES
        )
        self.by_tenant_volume: dict[tuple[str, int], dict[ObjectKey, None]] = {}
        self.by_volume_object: dict[tuple[int, int], dict[ObjectKey, None]] = {}
        self.discarded: deque[dict[ObjectKey, None]] = deque()
        self._epoch_of_all = 0
        self._epochs: dict[Scope, int] = {}

    def current_epochs(self, volume: int, tenant: str) -> PurgeEpochs:
        """The epochs of a fetch that begins now."""
        return PurgeEpochs(
            self._epoch_of_all,
            self._epochs.get(Scope("plan", tenant), 0),
            self._epochs.get(Scope("volume", str(volume)), 0),
        )

    def insert(self, key: ObjectKey, cached: CachedObject) -> None:
        """Adds a complete object; evicts the least recently used ones as needed."""
        self.remove(key)
        objects = self.objects
        while objects.currsize + cached.size + OBJECT_OVERHEAD_BYTES > objects.maxsize:
            evicted, _ = objects.popitem()
            self._remove_from_indexes(evicted)
        objects[key] = cached
        self.by_tenant_volume.setdefault((key.tenant, key.volume), {})[key] = None
        self.by_volume_object.setdefault((key.volume, key.key), {})[key] = None

    def remove(self, key: ObjectKey) -> None:
        """Removes one object if it is cached."""
        if self.objects.pop(key, None) is not None:
            self._remove_from_indexes(key)

    def remove_object(self, target: tuple[int, int]) -> None:
        """Removes all cached answers of an object, given by volume and key."""
        for key in list(self.by_volume_object.get(target, ())):
            self.remove(key)

    def clear(self) -> None:
        """Removes all objects at once."""
        self.objects.clear()
        self.by_tenant_volume.clear()
        self.by_volume_object.clear()

    def advance_epoch(self, scope: Scope) -> None:
        """Invalidates all objects of the scope that were fetched before."""
        if scope.kind == "all":
            self._epoch_of_all += 1
        else:
            self._epochs[scope] = self._epochs.get(scope, 0) + 1

    def discard(self, scope: Scope) -> int:
        """Queues the objects of a scope for removal by `discard_step`; returns their count."""
        count = 0
        for index_key in [each for each in self.by_tenant_volume if scope.covers(each[1], each[0])]:
            keys = self.by_tenant_volume.pop(index_key)
            count += len(keys)
            self.discarded.append(keys)
        return count

    def discard_step(self, max_objects: int) -> bool:
        """Removes up to `max_objects` of the objects queued by purges; returns True if more are left."""
        while self.discarded and max_objects > 0:
            keys = self.discarded[0]
            while keys and max_objects > 0:
                key, _ = keys.popitem()
                max_objects -= 1
                cached = self.objects.get(key)
                if cached is not None and cached.epochs != self.current_epochs(key.volume, key.tenant):
                    self.remove(key)
            if not keys:
                self.discarded.popleft()
        return bool(self.discarded)

    def _remove_from_indexes(self, key: ObjectKey) -> None:
        _remove_from_index(self.by_tenant_volume, (key.tenant, key.volume), key)
        _remove_from_index(self.by_volume_object, (key.volume, key.key), key)
