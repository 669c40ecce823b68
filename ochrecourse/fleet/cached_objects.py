"""The objects in a gateway's cache: least recently used ones are evicted, purges are lazy. Free of I/O and
clocks.

A purge advances the epoch of its scope, so what was fetched under an older one is no answer any more. The
objects themselves are discarded in bounded steps afterwards.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple, TypeVar

from cachetools import LRUCache

from ochrecourse.fleet.calendar_edition import Scope

OBJECT_OVERHEAD_BYTES = 512  # beside its chunks, as measured on 64-bit CPython
MAX_DISCARDED_PER_STEP = 256  # objects: some 0.2 ms of the event loop


class ObjectKey(NamedTuple):
    """What makes two reads the same."""

    request_class: str
    tenant: str
    volume: int
    key: int
    shard: int
    units: float


class PurgeEpochs(NamedTuple):
    """The epochs of an object's scopes when its fetch began: of all, of its tenant, of its volume."""

    all: int
    tenant: int
    volume: int


class CachedObject:
    """An object as a node sent it: the chunks as they arrived, none longer than one frame. `size`: bytes of
    the complete object; `received`: bytes so far.
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
    """The complete objects, within `max_bytes`, with what purges and writes need to find them."""

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
        """The epochs under which a fetch begins now."""
        return PurgeEpochs(
            self._epoch_of_all,
            self._epochs.get(Scope("plan", tenant), 0),
            self._epochs.get(Scope("volume", str(volume)), 0),
        )

    def insert(self, key: ObjectKey, cached: CachedObject) -> None:
        """Adds a complete object; the least recently used ones are evicted for it."""
        self.remove(key)
        objects = self.objects
        while objects.currsize + cached.size + OBJECT_OVERHEAD_BYTES > objects.maxsize:
            evicted, _ = objects.popitem()
            self._remove_from_indexes(evicted)
        objects[key] = cached
        self.by_tenant_volume.setdefault((key.tenant, key.volume), {})[key] = None
        self.by_volume_object.setdefault((key.volume, key.key), {})[key] = None

    def remove(self, key: ObjectKey) -> None:
        """Removes one object, if it is there."""
        if self.objects.pop(key, None) is not None:
            self._remove_from_indexes(key)

    def remove_object(self, target: tuple[int, int]) -> None:
        """Removes all that was read of an object, by volume and key."""
        for key in list(self.by_volume_object.get(target, ())):
            self.remove(key)

    def clear(self) -> None:
        """Removes everything at once."""
        self.objects.clear()
        self.by_tenant_volume.clear()
        self.by_volume_object.clear()

    def advance_epoch(self, scope: Scope) -> None:
        """From now on no object of the scope is an answer that was fetched before."""
        if scope.kind == "all":
            self._epoch_of_all += 1
        else:
            self._epochs[scope] = self._epochs.get(scope, 0) + 1

    def discard(self, scope: Scope) -> int:
        """Leaves the objects of a scope to `discard_step`; returns their count."""
        count = 0
        for index_key in [each for each in self.by_tenant_volume if scope.covers(each[1], each[0])]:
            keys = self.by_tenant_volume.pop(index_key)
            count += len(keys)
            self.discarded.append(keys)
        return count

    def discard_step(self, max_objects: int) -> bool:
        """Removes some of what purges left to it; True if more is left."""
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
