"""The disk of one gateway of a virtual world: a journal that fills up, fails to sync, and loses its end.

What was appended outlives the process; only what was synced outlives the machine's power.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable, Iterator, Sequence

from ochrecourse.common.runtime import Clock, Timer, stop
from ochrecourse.storage.disk_worker import InlineWorker, OnDone, Operation


class Disk:
    """Keeps records as `storage.journal.FileJournal` does, and fails as files do."""

    def __init__(self) -> None:
        self.kept: list[bytes] = []
        self.version = 1
        self.synced = 0  # records that outlive the machine's power
        self.full = 0  # faults that leave no room
        self.fails = 0  # faults in which a sync fails
        self.broken = False  # after a sync that failed, until the journal is written anew

    def records(self) -> Iterator[bytes]:
        self.broken = False  # whoever reads them has opened the file anew
        return iter(list(self.kept))

    def append(self, record: bytes) -> None:
        if self.broken or self.full:
            raise OSError("no space left on the device" if self.full else "a sync failed before")
        self.kept.append(record)

    def append_all(self, records: Sequence[bytes]) -> None:
        for record in records:
            self.append(record)

    def sync(self) -> None:
        if self.fails:
            self.broken = True
            raise OSError("input/output error")
        self.synced = len(self.kept)

    def rewrite(self, records: Iterable[bytes]) -> None:
        kept = list(records)
        if self.full or self.fails:
            raise OSError("no space left on the device" if self.full else "input/output error")
        self.kept, self.synced, self.broken = kept, len(kept), False

    def close(self) -> None:
        pass

    def retire(self) -> None:
        pass

    def power_cut(self) -> None:
        """The machine lost its power: what was not synced is gone."""
        del self.kept[self.synced :]

    def cut(self, records: int) -> None:
        """So many records at the end turn out to be damaged, whatever was answered for them."""
        del self.kept[max(0, len(self.kept) - records) :]
        self.synced = min(self.synced, len(self.kept))

    def size(self) -> int:
        return sum(map(len, self.kept))

    def begin_rewrite(self) -> Aside:
        return Aside(self)


class Aside:
    """A journal that is written beside the one in use, on the same disk (storage.journal.JournalRewrite)."""

    def __init__(self, disk: Disk) -> None:
        self.disk = disk
        self.written: list[bytes] = []

    def append(self, record: bytes) -> int:
        if self.disk.full:
            raise OSError("no space left on the device")
        self.written.append(record)
        return len(record)

    def sync(self) -> None:
        if self.disk.fails:
            raise OSError("input/output error")

    def commit(self) -> None:
        self.disk.rewrite(self.written)

    def abort(self) -> None:
        self.written = []


class SlowWorker:
    """A disk whose operations take a drawn time each (storage.disk_worker.DiskWorker), up to `longest_s`.

    What an operation does to the disk is done as it begins, as it ends, or in between: a process or machine
    that ends meanwhile leaves one or the other.
    """

    def __init__(self, clock: Clock, chance: random.Random, longest_s: float) -> None:
        self.clock = clock
        self.chance = chance
        self.longest_s = longest_s
        self._waiting: deque[tuple[Operation, OnDone]] = deque()
        self._error: OSError | None = None
        self._is_executed = False
        self._timer: Timer | None = None

    def run(self, operation: Operation, on_done: OnDone) -> None:
        self._waiting.append((operation, on_done))
        if len(self._waiting) == 1:
            self._begin()

    def wait(self, timeout_s: float) -> bool:
        """Ends all at once: the virtual clock does not go on in a call."""
        while self._waiting:
            stop(self._timer)
            self._end()
        return True

    def stop(self) -> None:
        """The process ends, and what it had not done on the disk is never done."""
        stop(self._timer)
        self._waiting.clear()

    def _begin(self) -> None:
        self._is_executed = False
        took_s = self.chance.random() * self.longest_s
        self._timer = self.clock.callLater(self.chance.random() * took_s, self._execute, took_s)

    def _execute(self, took_s: float) -> None:
        operation, _ = self._waiting[0]
        InlineWorker().run(operation, self._executed)
        self._timer = self.clock.callLater(self.chance.random() * took_s, self._end)

    def _executed(self, error: OSError | None) -> None:
        self._is_executed, self._error = True, error

    def _end(self) -> None:
        operation, on_done = self._waiting[0]
        if not self._is_executed:
            InlineWorker().run(operation, self._executed)
        self._waiting.popleft()
        if self._waiting:
            self._begin()
        on_done(self._error)
