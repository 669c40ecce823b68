"""Base of the watchers of a list server and of a registry: the endpoint list and its cache on disk."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

from ochrecourse.common.runtime import Network, now_ns
from ochrecourse.membership import endpoint_cache
from ochrecourse.membership.endpoint_list import (
    BadEndpointListError,
    EndpointList,
    EndpointListSnapshot,
    EndpointListUpdate,
)
from ochrecourse.storage.atomic_file import DamagedFileError
from ochrecourse.storage.disk_worker import DiskWorker, InlineWorker
from ochrecourse.wire.messages import EndpointEntry


def _discard_warning(text: str) -> None:
    """Discards a warning: the default of `WatcherContext.warn`."""


@dataclass(frozen=True)
class WatcherContext:
    """The environment of a watcher.

    `name`: of this gateway. `on_update` is called with each update of the list. `cache_path`: file in which
    the newest list is cached, None for no cache. `seed`: of the jitter. `warn` is called with warnings for
    operators. `disk_worker` writes the cache.
    """

    name: str
    network: Network
    on_update: Callable[[EndpointListUpdate], None]
    cache_path: Path | None
    seed: int
    warn: Callable[[str], None] = _discard_warning
    disk_worker: DiskWorker = field(default_factory=InlineWorker)


class EndpointListStore:
    """The endpoint list and its cache, independent of the source of updates.

    `cluster`: ID of the registry cluster that sent the list, 0 for a list server. `counts`: events by the
    names that operators' pages show.
    """

    def __init__(self, context: WatcherContext) -> None:
        self.name = context.name
        self.network = context.network
        self.on_update = context.on_update
        self.cache_path = context.cache_path
        self.warn = context.warn
        self.endpoint_list = EndpointList()
        self.counts: Counter[str] = Counter()
        self.cluster = 0
        self._disk_worker = context.disk_worker
        self._unsaved: EndpointListSnapshot | None = None  # newer than the snapshot being written
        self._is_saving = False

    def restore_cached_list(self) -> EndpointListSnapshot | None:
        """Applies the cached list and returns it, or None if there is no usable one."""
        if self.cache_path is None:
            return None
        try:
            snapshot = self._load_snapshot(self.cache_path)
            if snapshot is not None:
                self.on_update(self.endpoint_list.restore_snapshot(snapshot, now_ns(self.network)))
            return snapshot
        except (DamagedFileError, OSError, BadEndpointListError) as error:
            self.counts["kept lists not read"] += 1
            self.warn(f"the kept list of nodes is ignored: {error}")
            return None

    def apply_update(self, kind: str, epoch: int, entries: list[EndpointEntry]) -> bool:
        """Applies a complete list or a delta, then notifies the gateway and updates the cache.

        Returns whether the list changed. Raises BadEndpointListError.
        """
        now = now_ns(self.network)
        update = self.endpoint_list.apply_update(kind, epoch, entries, now)
        if update is None:
            return False
        self.counts["lists"] += 1
        self.on_update(update)
        if self.cache_path is not None:
            self._save_snapshot(self.cache_path, now)
        return True

    def _load_snapshot(self, path: Path) -> EndpointListSnapshot | None:
        snapshot = endpoint_cache.load(path)
        if snapshot is not None and snapshot.gateway not in ("", self.name):
            # Two gateways may be configured with the same cache file by mistake.
            raise DamagedFileError(f"{path}: it is of gateway {snapshot.gateway!r}, not of {self.name!r}")
        return snapshot

    def _save_snapshot(self, path: Path, now: int) -> None:
        self._unsaved = self.endpoint_list.snapshot(now)
        self._unsaved.gateway, self._unsaved.cluster = self.name, self.cluster
        if not self._is_saving:
            self._save_newest(path)

    def _save_newest(self, path: Path) -> None:
        """Writes the newest snapshot; of those taken during a write only the last is written."""
        snapshot, self._unsaved = self._unsaved, None
        if snapshot is not None:
            self._is_saving = True
            save = partial(endpoint_cache.save, path, snapshot)
            self._disk_worker.run(save, partial(self._saved, path))

    def _saved(self, path: Path, error: OSError | None) -> None:
        self._is_saving = False
        if error is not None:
            self.counts["lists not kept"] += 1
            self.warn(f"the list of nodes could not be kept: {error}")
        self._save_newest(path)
