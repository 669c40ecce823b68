"""Copies of read objects that a gateway holds, and reads that wait for another's fetch. Free of I/O, clocks
and chance.

A read of a product that the settings name is answered from a copy, or waits for the fetch of the same object
that is under way, or is fetched itself and then held. Whether a copy may be used at all is asked anew each
time (`may`). With "no" nothing is held, and a read shares no fetch that began before it was asked: what was
read by then may be from before a purge that nobody can place yet. Such reads of one object wait together for
one next fetch, which begins when the answer of the one under way does. It is as new as a leg of each own.

A purge bars its scope at once, by an epoch number: what was held or began to be fetched under an older one is
no answer to anybody who asks now. The copies themselves go in bounded steps afterwards.

A write through this gateway drops the copy of its object and bars what is under way. A write through another
gateway does not: naming a product accepts that a copy may be older than that, until the next purge.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Collection
from typing import NamedTuple, Protocol, TypeVar

from cachetools import LRUCache

from ochrecourse.fleet.calendar_edition import Scope
from ochrecourse.common.requests import Request, ResponseHandler

OVERHEAD = 512  # bytes that a copy costs beside its pieces, as measured on 64-bit CPython
READERS = 256  # answers on their way to clients that take them slowly; one more read goes to the nodes
STEP = 256  # copies that one step of a purge drops: some 0.2 ms of the loop
SHARERS = 4096  # jobs that wait for the begin of another's answer; each then holds one piece at the most
UNSURE = 60_000_000_000  # ns for which an object is not held after a write that may still take effect
UNSURE_OBJECTS = 4096  # of those; with more of them nothing new is held for that time


class Key(NamedTuple):
    """What makes two reads the same."""

    product: str
    plan: str
    volume: int
    key: int
    shard: int
    units: float


class Mark(NamedTuple):
    """The epochs of a copy's scopes when its fetch began: of all, of its plan, of its volume."""

    all: int
    plan: int
    volume: int


class Desk(Protocol):
    """What the gateway does for its copies (gateway.Gateway)."""

    def answer_from_cache(self, job: int) -> bool:
        """Books the one answer of a job without a leg; False if nobody waits for it any more."""

    def forward(self, job: int, asker: ResponseHandler) -> None:
        """The job goes to the nodes after all; this asker hears of it."""

    def finish_cached(self, job: int, whole: bool) -> None:
        """All of a job's answer was handed on, or it broke off."""

    def grant_credit(self, job: int, size: int) -> None:
        """So many more bytes may come from the node."""


class _Copy:
    """An object as a node gave it: the pieces as they came, none longer than one frame holds."""

    __slots__ = ("got", "mark", "pieces", "shard", "size")

    def __init__(self, size: int, shard: int, mark: Mark) -> None:
        self.size = size
        self.shard = shard
        self.mark = mark
        self.pieces: list[bytes] = []
        self.got = 0  # bytes so far


class _Reader:
    """A job that reads from a copy, or from a fetch as it comes, one piece after the other as its client
    takes them.
    """

    __slots__ = ("asker", "busy", "copy", "fetch", "job", "key", "next", "owed")

    def __init__(self, job: int, asker: ResponseHandler, copy: _Copy, key: Key, fetch: Fetch | None) -> None:
        self.job = job
        self.asker = asker
        self.copy = copy
        self.key = key
        self.fetch = fetch  # with which it reads; None: from a copy that was held
        self.next = 0
        self.owed = 0  # bytes handed on that the client did not take yet
        self.busy = False


class _Waiting(NamedTuple):
    job: int
    request: Request
    due: int
    asker: ResponseHandler
    turn: int  # which read it was, of all that came


class Fetch:
    """One fetch from the nodes that may become a copy. It stands between its own asker and the gateway."""

    def __init__(
        self, copies: Copies, job: int, due: int, key: Key, mark: Mark, asker: ResponseHandler, turn: int
    ) -> None:
        self.copies = copies
        self.job = job
        self.due = due
        self.key = key
        self.mark = mark
        self.asker = asker
        self.turn = turn  # it began after this read came, and before the next
        self.waiting: dict[int, _Waiting] = {}
        self.behind: dict[int, _Waiting] = {}  # came after it began, where that matters: wait for the next
        self.readers: dict[int, _Reader] = {}
        self.copy: _Copy | None = None  # once its answer began
        self.barred = False  # nobody joins, and it is not held
        self.records = True  # its pieces are kept, so its size is within the bound

    def served(self, job: int, size: int, shard: int) -> None:
        self.copies.fetch_began(self, size, shard)
        self.asker.served(job, size, shard)
        self.copies.fetch_grew(self)

    def body_chunk(self, job: int, data: bytes) -> None:
        if not self.records:
            self.asker.body_chunk(job, data)
            return
        self.copies.fetch_got(self, data)
        self.asker.body_chunk(job, data)
        self.copies.fetch_grew(self)

    def aborted(self, job: int) -> None:
        self.asker.aborted(job)
        self.copies.fetch_over(self)

    def rejected(self, job: int, retry_after: int) -> None:
        self.asker.rejected(job, retry_after)
        self.copies.fetch_over(self)

    def failed(self, job: int) -> None:
        self.asker.failed(job)
        self.copies.fetch_over(self)


class Counts:
    """What became of reads of the products that are named."""

    def __init__(self) -> None:
        self.from_copy = 0
        self.joined = 0
        self.fetched = 0
        self.not_sure = 0  # asked a node because a copy might not be used
        self.dropped = 0


Index = TypeVar("Index")


def _take_out(index: dict[Index, dict[Key, None]], name: Index, key: Key) -> None:
    keys = index.get(name)
    if keys is not None:
        keys.pop(key, None)
        if not keys:
            del index[name]


class Copies:
    """The copies of one gateway. `products`: which reads; `most`: bytes of all copies; `largest`: bytes of
    one; `may(volume, plan)`: whether a copy of these may be used now; `now`: the monotonic time in ns.
    """

    def __init__(
        self,
        desk: Desk,
        products: Collection[str],
        most: int,
        largest: int,
        may: Callable[[int, str], bool],
        now: Callable[[], int],
    ) -> None:
        self.desk = desk
        self.products = frozenset(products)
        self.largest = min(largest, most - OVERHEAD)
        self.may = may
        self.now = now
        self.counts = Counts()
        self.held: LRUCache[Key, _Copy] = LRUCache(most, getsizeof=lambda copy: copy.size + OVERHEAD)
        self.places: dict[tuple[str, int], dict[Key, None]] = {}  # keys of copies, by plan and volume
        self.objects: dict[tuple[int, int], dict[Key, None]] = {}  # and by volume and object
        self.turn = 0  # reads that came
        self.fetches: dict[Key, Fetch] = {}  # that others may join
        self.unshared: dict[Key, Fetch] = {}  # begun while no copy may be used: whoever comes later waits
        self.fetching: dict[int, Fetch] = {}  # all that are recorded, by job
        self.waits: dict[int, Fetch] = {}  # jobs that wait for the begin of another's answer
        self.readers: dict[int, _Reader] = {}
        self.writing: dict[tuple[int, int], int] = {}  # writes that are not over, by volume and object
        self.writes: dict[int, tuple[int, int]] = {}  # the same by job
        self.unsure: dict[tuple[int, int], int] = {}  # until when, of objects whose write may still come
        self.all_unsure = 0
        self.epoch_all = 0
        self.epochs: dict[Scope, int] = {}
        self.doomed: deque[dict[Key, None]] = deque()

    # --- what the gateway tells (common.object_cache.ObjectCache) ---

    def request_received(
        self, job: int, request: Request, write: bool, due: int, asker: ResponseHandler
    ) -> ResponseHandler | None:
        """A job that was taken: who hears of it from the nodes, or None if it needs no leg for now."""
        if write:
            self._write(job, (request.volume, request.key))
            return asker
        if request.request_class not in self.products or request.shard < 0:
            return asker
        self.turn += 1
        return self._came(_Waiting(job, request, due, asker, self.turn))

    def _came(self, read: _Waiting) -> ResponseHandler | None:
        job, request, due, asker, _ = read
        key = Key(
            request.request_class, request.tenant, request.volume, request.key, request.shard, request.units
        )
        if not self.may(request.volume, request.tenant):
            return self._apart(key, read)
        mark = self._mark(request.volume, request.tenant)
        copy = self.held.get(key)
        if copy is not None and copy.mark == mark:
            if len(self.readers) >= READERS:
                return asker
            self.counts.from_copy += 1
            self._read(_Reader(job, asker, copy, key, None))
            return None
        fetch = self.fetches.get(key)
        if fetch is not None and fetch.mark == mark and not fetch.barred:
            return asker if not self._joins(fetch, read) else None
        self.counts.fetched += 1
        target = (key.volume, key.key)
        if target in self.writing or self._is_unsure(target):
            return asker
        own = Fetch(self, job, due, key, mark, asker, self.turn)
        self.fetches[key] = self.fetching[job] = own
        return own

    def _apart(self, key: Key, read: _Waiting) -> ResponseHandler | None:
        """A read while no copy may be used: it shares a fetch only if that began after it came."""
        fetch = self.unshared.get(key)
        if fetch is None:
            self.counts.not_sure += 1
            mark = self._mark(key.volume, key.plan)
            fetch = Fetch(self, read.job, read.due, key, mark, read.asker, self.turn)
            fetch.barred = True  # whatever comes of it is not held
            self.unshared[key] = self.fetching[read.job] = fetch
            return fetch
        if read.turn <= fetch.turn:
            shares = self._joins(fetch, read)
        elif shares := fetch.due <= read.due and len(self.waits) < SHARERS:
            fetch.behind[read.job] = read
            self.waits[read.job] = fetch
        self.counts.not_sure += not shares
        return None if shares else read.asker

    def request_cancelled(self, job: int) -> bool:
        """A job's client no longer waits. True if no leg of the job was ever sent."""
        fetch = self.waits.pop(job, None)
        if fetch is not None:
            fetch.waiting.pop(job, None)
            fetch.behind.pop(job, None)
            return True
        if (reader := self.readers.pop(job, None)) is not None:
            self._forget(reader)
            return True
        if (own := self.fetching.get(job)) is not None and own.copy is None:
            self.fetch_over(own)
        return False

    def wants_response(self, job: int) -> bool:
        """Whether an answer that has begun is wanted although its own client left: it is being recorded."""
        fetch = self.fetching.get(job)
        return fetch is not None and fetch.records and fetch.copy is not None

    def response_consumed(self, job: int, size: int) -> bool:
        """A client took so many bytes; True if the node need not be told."""
        if (reader := self.readers.get(job)) is not None:
            reader.owed = max(0, reader.owed - size)
            self._pump(reader)
            return True
        fetch = self.fetching.get(job)
        return fetch is not None and fetch.records

    def request_finished(self, job: int, certain: bool) -> None:
        """A job is over, and no leg of it is out; `certain`: it took effect, or surely did not."""
        if (fetch := self.fetching.get(job)) is not None:
            self.fetch_over(fetch)
        if (target := self.writes.pop(job, None)) is not None:
            self.writing[target] -= 1
            if not self.writing[target]:
                del self.writing[target]
            self._drop_object(target)
            if not certain:
                self._unsure(target)

    # --- a fetch, as its answer comes ---

    def fetch_began(self, fetch: Fetch, size: int, shard: int) -> None:
        fetch.copy = _Copy(size, shard, fetch.mark)
        waiting, behind = self._no_longer_wait(fetch)
        if size > self.largest:
            fetch.records = False
            self._let_go(fetch)
            self._again([*waiting, *behind], True)
            return
        for each in waiting:
            self._read(_Reader(each.job, each.asker, fetch.copy, fetch.key, fetch))
        if self.unshared.get(fetch.key) is fetch:
            del self.unshared[fetch.key]
            self._again(behind, False)

    def fetch_got(self, fetch: Fetch, data: bytes) -> None:
        assert fetch.copy is not None  # a piece comes after its answer began
        fetch.copy.pieces.append(data)
        fetch.copy.got += len(data)
        self.desk.grant_credit(fetch.job, len(data))

    def fetch_grew(self, fetch: Fetch) -> None:
        """More of an answer is here: to those who read with it; once it is whole it may be held."""
        if not fetch.records or fetch.copy is None:
            return
        for reader in list(fetch.readers.values()):
            self._pump(reader)
        if fetch.copy.got >= fetch.copy.size and self.fetching.get(fetch.job) is fetch:
            self._let_go(fetch)
            if fetch.copy.got == fetch.copy.size:
                self._hold(fetch)

    def fetch_over(self, fetch: Fetch) -> None:
        """A fetch ended before it was whole, or its client left before it began."""
        self._let_go(fetch)
        for reader in list(fetch.readers.values()):
            self._break_off(reader)
        waiting, behind = self._no_longer_wait(fetch)
        self._again([*waiting, *behind], False)

    def _no_longer_wait(self, fetch: Fetch) -> tuple[list[_Waiting], list[_Waiting]]:
        """Those who waited for a fetch's answer, and those who wait for the next one."""
        waiting, behind = list(fetch.waiting.values()), list(fetch.behind.values())
        fetch.waiting, fetch.behind = {}, {}
        for each in (*waiting, *behind):
            del self.waits[each.job]
        return waiting, behind

    def _again(self, waiting: list[_Waiting], plain: bool) -> None:
        """Jobs whose fetch came to nothing: one of them fetches, the others wait for it. `plain`: each for
        itself, as the object is too large to be held.
        """
        waiting.sort(key=lambda each: (each.due, each.job))
        for each in waiting:
            if plain:
                self.desk.forward(each.job, each.asker)
                continue
            asker = self._came(each)
            if asker is not None:
                self.desk.forward(each.job, asker)

    def _joins(self, fetch: Fetch, read: _Waiting) -> bool:
        """Has a job share the answer of a fetch that is under way; False if that may come too late for it."""
        job = read.job
        if fetch.copy is not None:
            if len(self.readers) >= READERS:
                return False
            self.counts.joined += 1
            self._read(_Reader(job, read.asker, fetch.copy, fetch.key, fetch))
            return True
        if fetch.due > read.due or len(self.waits) >= SHARERS:
            return False
        # Its answer begins by a time at which this job may still be answered: no timer is needed.
        self.counts.joined += 1
        fetch.waiting[job] = read
        self.waits[job] = fetch
        return True

    def _let_go(self, fetch: Fetch) -> None:
        self.fetching.pop(fetch.job, None)
        for under_way in (self.fetches, self.unshared):
            if under_way.get(fetch.key) is fetch:
                del under_way[fetch.key]

    def _hold(self, fetch: Fetch) -> None:
        key, copy = fetch.key, fetch.copy
        assert copy is not None  # it is whole
        # Asked again at the end: a purge may be due that nobody has looked for since.
        may = self.may(key.volume, key.plan) and not fetch.barred
        if not may or fetch.mark != self._mark(key.volume, key.plan):
            return
        self._remove(key)
        while self.held.currsize + copy.size + OVERHEAD > self.held.maxsize:
            old, _ = self.held.popitem()
            self._unlist(old)
        self.held[key] = copy
        self.places.setdefault((key.plan, key.volume), {})[key] = None
        self.objects.setdefault((key.volume, key.key), {})[key] = None

    # --- those who read ---

    def _read(self, reader: _Reader) -> None:
        job, copy = reader.job, reader.copy
        if not self.desk.answer_from_cache(job):
            self.desk.finish_cached(job, True)
            return
        self.readers[job] = reader
        if reader.fetch is not None:
            reader.fetch.readers[job] = reader
        reader.asker.served(job, copy.size, copy.shard)
        self._pump(reader)

    def _pump(self, reader: _Reader) -> None:
        """Hands on what is there, one piece at a time, and no further one before the client took it.

        Guards against clients that ask for much and read nothing: what waits for them stays one piece each.
        """
        if reader.busy:
            return  # `room` was called from within `piece`: the loop below goes on
        reader.busy = True
        while (
            not reader.owed
            and self.readers.get(reader.job) is reader
            and reader.next < len(reader.copy.pieces)
        ):
            data = reader.copy.pieces[reader.next]
            reader.next += 1
            last = self._whole(reader)
            reader.owed = 0 if last else len(data)
            reader.asker.body_chunk(reader.job, data)
        reader.busy = False
        if self.readers.get(reader.job) is reader and self._whole(reader):
            del self.readers[reader.job]
            self._forget(reader)
            self.desk.finish_cached(reader.job, True)

    def _whole(self, reader: _Reader) -> bool:
        copy = reader.copy
        if reader.next < len(copy.pieces):
            return False
        return copy.got >= copy.size

    def _forget(self, reader: _Reader) -> None:
        if reader.fetch is not None:
            reader.fetch.readers.pop(reader.job, None)

    def _break_off(self, reader: _Reader) -> None:
        if self.readers.pop(reader.job, None) is None:
            return
        self._forget(reader)
        self.desk.finish_cached(reader.job, False)
        reader.asker.aborted(reader.job)

    # --- purges and writes ---

    def drop(self, scope: Scope) -> int:
        """Bars all that is held in a scope, at once; returns how many copies will go with the next steps.

        An answer that is on its way from a copy breaks off; one that came from a node for its own asker, or
        for those who asked before, goes on.
        """
        if scope.kind == "all":
            self.epoch_all += 1
        else:
            self.epochs[scope] = self.epochs.get(scope, 0) + 1
        for reader in [each for each in self.readers.values() if each.fetch is None]:
            if scope.covers(reader.key.volume, reader.key.plan):
                self._break_off(reader)
        count = 0
        for place in [each for each in self.places if scope.covers(each[1], each[0])]:
            keys = self.places.pop(place)
            count += len(keys)
            self.doomed.append(keys)
        self.counts.dropped += count
        return count

    def step(self, most: int = STEP) -> bool:
        """Drops some of what purges barred; True if more is left."""
        while self.doomed and most > 0:
            keys = self.doomed[0]
            while keys and most > 0:
                key, _ = keys.popitem()
                most -= 1
                copy = self.held.get(key)
                if copy is not None and copy.mark != self._mark(key.volume, key.plan):
                    self._remove(key)
            if not keys:
                self.doomed.popleft()
        return bool(self.doomed)

    def _mark(self, volume: int, plan: str) -> Mark:
        return Mark(
            self.epoch_all,
            self.epochs.get(Scope("plan", plan), 0),
            self.epochs.get(Scope("volume", str(volume)), 0),
        )

    def _remove(self, key: Key) -> None:
        if self.held.pop(key, None) is not None:
            self._unlist(key)

    def _unlist(self, key: Key) -> None:
        _take_out(self.places, (key.plan, key.volume), key)
        _take_out(self.objects, (key.volume, key.key), key)

    def _write(self, job: int, target: tuple[int, int]) -> None:
        self.writes[job] = target
        self.writing[target] = self.writing.get(target, 0) + 1
        self._drop_object(target)

    def _drop_object(self, target: tuple[int, int]) -> None:
        for key in list(self.objects.get(target, ())):
            self._remove(key)
        for fetch in self.fetching.values():
            if (fetch.key.volume, fetch.key.key) == target:
                fetch.barred = True

    def _unsure(self, target: tuple[int, int]) -> None:
        now = self.now()
        for each in [each for each, until in self.unsure.items() if until <= now]:
            del self.unsure[each]
        if len(self.unsure) >= UNSURE_OBJECTS:
            self.all_unsure = now + UNSURE
            self.held.clear()
            self.places.clear()
            self.objects.clear()
        else:
            self.unsure[target] = now + UNSURE

    def _is_unsure(self, target: tuple[int, int]) -> bool:
        now = self.now()
        return now < self.all_unsure or now < self.unsure.get(target, 0)
