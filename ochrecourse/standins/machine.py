"""A storage node's insides: cores, slots, a waiting room, a cold start, put-off writes, repeats, troubles.

Service is in order of arrival over `slots` places that share the cores; work is in core-ns at speed 1.
Objects belong to the shard, so a node that replaces another holds the same. Chance comes from the seed handed
in.
"""

from __future__ import annotations

import random
from collections import Counter, OrderedDict, deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import msgspec

from ochrecourse.audit import records as r
from ochrecourse.common.runtime import Clock, Timer, now_ns
from ochrecourse.common.time_units import MS, SECOND


class NodeKind(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One kind of machine. Spans in ms; `cancel`: none, queued or all of what a cancel stops."""

    cores: int = 1
    slots: int = 3
    queue: int = 24
    speed: float = 1.0
    cold_from: float = 0.3
    cold_ms: float = 8000.0
    thrash: float = 0.0
    knee: float = 4.0
    error_rate: float = 0.0
    cancel: str = "none"
    drops_expired: bool = False
    connections: int = 4096
    handshake_ms: float = 0.5
    defer: float = 0.0
    flush_ms: float = 2000.0
    remembers: int = 2
    seek: float = 0.4
    pause_every_ms: float = 0.0
    pause_ms: float = 0.0


class ProductWork(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What a product costs a node: core-ms for a unit, spread, and how repeats are dropped."""

    unit_ms: float = 5.0
    cv: float = 0.5
    effect: str = "safe"
    group: str = "all"
    unit_bytes: int = 256


class PushOver(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """When a cold node falls over: more than `multiple` times what it can do, over any `fall_ms`."""

    multiple: float = 4.0
    fall_ms: float = 1500.0


@dataclass(eq=False)
class Work:
    """One leg at a node. `reply` is called once with how it ended, unless it is lost or the node goes
    silent.
    """

    mark: str
    trace: str
    number: int
    product: str
    volume: int
    key: int
    units: float
    write: bool
    window: int
    expires: int  # ns, 0 never
    gateway: str
    reply: Callable[[Work, str], None]
    body: list[bytes] = field(default_factory=list)
    cost: float = 0.0  # core-ns
    stopped: bool = False
    begun: bool = False
    repeat: bool = False
    timer: Timer | None = None


class Marks:
    """The marks that one group of nodes knows, and since when; only products with marks are kept."""

    def __init__(self) -> None:
        self.known: OrderedDict[str, int] = OrderedDict()

    def repeat(self, mark: str, window: int, now: int) -> bool:
        while self.known and next(iter(self.known.values())) < now - 60 * SECOND:
            self.known.popitem(last=False)
        return mark in self.known and now - self.known[mark] <= window


class Shard:
    """What lies on one shard, whichever node holds it, and the marks its group remembers."""

    def __init__(self, number: int, zone: int) -> None:
        self.number = number
        self.zone = zone
        self.objects: dict[int, list[bytes]] = {}
        self.marks = Marks()
        self.served: Counter[tuple[int, str]] = Counter()  # units, by volume and gateway
        self.whole: Counter[int] = Counter()  # units, by volume

    def copy(self, zone: int) -> Shard:
        """The same shard in another zone: what lies on one lies on all."""
        other = Shard(self.number, zone)
        other.objects, other.marks = self.objects, self.marks
        other.served, other.whole = self.served, self.whole
        return other


class Meter:
    """Units served for each volume everywhere, told late, a finished period at a time."""

    def __init__(self, period_ms: float, late_ms: float, rates: Mapping[int, float]) -> None:
        self.period = round(period_ms * MS)
        self.late = round(late_ms * MS)
        self.rates = rates  # units a second a volume is sized for
        self.periods: OrderedDict[int, Counter[int]] = OrderedDict()

    def served(self, volume: int, units: float, now: int) -> None:
        if self.period:
            self.periods.setdefault(now // self.period, Counter())[volume] += units  # type: ignore[assignment]
            while len(self.periods) > 64:
                self.periods.popitem(last=False)

    def used(self, volume: int, now: int) -> float:
        """Units of a finished period against the volume's rate; below 0: not told."""
        rate = self.rates.get(volume, 0.0)
        if not self.period or not rate:
            return -1.0
        last = (now - self.late) // self.period - 1
        units = self.periods.get(last, Counter())[volume]
        return round(units / (rate * self.period / SECOND), 2)


class Machine:
    """One node's process."""

    def __init__(
        self,
        number: int,
        kind: NodeKind,
        shard: Shard,
        clock: Clock,
        seed: int,
        products: Mapping[str, ProductWork],
        push: PushOver,
        meter: Meter,
        marks: Mapping[str, Marks],
        record: r.Recorder,
        cold: bool,
    ) -> None:
        self.number = number
        self.kind = kind
        self.shard = shard
        self.clock = clock
        self.chance = random.Random(seed)
        self.products = products
        self.push = push
        self.meter = meter
        self.marks = marks  # by scope: all, zone, cell
        self.record = record
        self.started = now_ns(clock)
        self.cold_for = round(kind.cold_ms * MS) if cold else 0
        self.running: list[Work] = []
        self.waiting: deque[Work] = deque()
        self.parked: list[Work] = []  # done while the node hangs
        self.put_off = 0.0
        self.recent: deque[int] = deque(maxlen=max(1, kind.remembers))
        self.came: deque[tuple[int, float]] = deque()  # while cold
        self.told: Counter[tuple[int, str]] = Counter()
        # troubles
        self.slow = 1.0
        self.hang = False
        self.silent = False
        self.draining = False
        self.full = False
        self.fail_share = 0.0
        self.lose_share = 0.0
        self.reset_share = 0.0
        self.lose_over = 0.0  # units above which a leg is lost without a word; 0: none is
        self.heavy: tuple[str, float, float] = ("", 0.0, 1.0)  # product, share of its legs, times the work
        self.paused_until = 0
        self.dated = False  # answers to reads begin with the time, ns in eight bytes, at which they were made
        self.deaf_to: Callable[[str], bool] = lambda gateway: False
        self.down = False
        self.fell: Callable[[], None] = lambda: None
        self._flush: Timer | None = None
        self._pause: Timer | None = None
        if kind.pause_every_ms:
            self.set_pauses(kind.pause_every_ms, kind.pause_ms)
        record(
            r.NodeStarted(
                t=self.started,
                node=number,
                shard=shard.number,
                zone=shard.zone,
                capacity=kind.cores * kind.speed * SECOND,
                cold_from=kind.cold_from,
                cold_for=self.cold_for,
            )
        )

    # --- work ---

    def offer(self, work: Work) -> None:
        """Takes a whole leg whose cost is set; answers it at once or later."""
        now = now_ns(self.clock)
        if self.cold_for and now < self.started + self.cold_for and self._pushed_over(work.cost, now):
            self.fell()
            return
        if self.down or self.silent or 0 < self.lose_over < work.units:
            return
        if self.draining or self.full or len(self.waiting) >= self.kind.queue:
            work.reply(work, "draining" if self.draining else "full")
            return
        product = self.products[work.product]
        if product.effect == "keyed" and self.marks[product.group].repeat(work.mark, work.window, now):
            work.repeat, work.cost = True, 0.05 * work.cost
        if self.fail_share and self.chance.random() < self.fail_share:
            work.cost = min(work.cost, 0.1 * MS)
            work.begun = True
            self.clock.callLater(0.001, self._answer, work, "failed")
            return
        self.waiting.append(work)
        self._start(now)

    def stop(self, work: Work) -> str:
        """A cancel came. Returns what is known: no (nothing ran, nothing will) or maybe."""
        if self.kind.cancel in ("queued", "all") and work in self.waiting:
            self.waiting.remove(work)
            work.stopped = True
            return "no"
        if self.kind.cancel == "all" and work in self.running:
            work.stopped = True
            if work.timer is not None:
                work.timer.cancel()
            self.running.remove(work)
            self._start(now_ns(self.clock))
        return "no" if work.stopped and not work.begun else "maybe"

    def end(self) -> None:
        """The process ends: nothing more is done or said."""
        self.down = True
        for work in self.running:
            if work.timer is not None:
                work.timer.cancel()
        self.running.clear()
        self.waiting.clear()
        self.parked.clear()
        for timer in (self._flush, self._pause):
            if timer is not None and timer.active():
                timer.cancel()

    def lose_power(self) -> None:
        """What runs is lost, and nobody is told: connections stay, and are silent."""
        self.end()
        self.down, self.silent = False, True

    def report(self) -> dict[str, float]:
        held = len(self.running) + len(self.waiting)
        return {
            "rif": float(held),
            "q": float(len(self.waiting)),
            "busy": min(1.0, len(self.running) / self.kind.cores),
        }

    def totals(self, volume: int, gateway: str) -> tuple[float, int]:
        """What an answer tells of a volume: the share of its rate used everywhere, and units served here for
        others.
        """
        # Not summed anew over all gateways: with 190 of them that was most of a node's time.
        others = self.shard.whole[volume] - self.shard.served[volume, gateway]
        before = self.told[volume, gateway]
        self.told[volume, gateway] = others
        return self.meter.used(volume, now_ns(self.clock)), int(max(0, others - before))

    # --- troubles ---

    def set_pauses(self, every_ms: float, pause_ms: float) -> None:
        """Stands still for `pause_ms` about every `every_ms`; 0 ends it."""
        if self._pause is not None and self._pause.active():
            self._pause.cancel()
        self._pause = None
        if every_ms and pause_ms and not self.down:
            self._pause = self.clock.callLater(
                every_ms / 1000 * self.chance.uniform(0.7, 1.3), self._stand_still, every_ms, pause_ms
            )

    def set_hang(self, hang: bool) -> None:
        self.hang = hang
        parked, self.parked = self.parked, []
        for work in parked:
            self._answer(work, "done")

    def _stand_still(self, every_ms: float, pause_ms: float) -> None:
        self.paused_until = now_ns(self.clock) + round(pause_ms * MS)
        self.set_pauses(every_ms, pause_ms)

    # --- inside ---

    def cost_of(self, work: Work) -> float:
        """Core-ns that a leg takes here now; a further leg of the same job costs about the same."""
        product = self.products[work.product]
        spread = random.Random(f"{work.mark}")
        base = work.units * product.unit_ms * MS
        cost = base * spread.lognormvariate(-(product.cv**2) / 2, product.cv) if product.cv else base
        which, share, times = self.heavy
        if which == work.product and spread.random() < share:
            cost *= times
        if work.number == 0 and work.key and work.key in self.recent:
            cost *= 1 - self.kind.seek
        if work.key:
            self.recent.append(work.key)
        return cost

    def warmth(self, at: int) -> float:
        """The part of its capacity that it has at a time."""
        if not self.cold_for or at >= self.started + self.cold_for:
            return 1.0
        part = max(0, at - self.started) / self.cold_for
        return self.kind.cold_from + (1 - self.kind.cold_from) * part

    def _pushed_over(self, cost: float, now: int) -> bool:
        window = round(self.push.fall_ms * MS)
        self.came.append((now, cost))
        while self.came[0][0] <= now - window:
            self.came.popleft()
        since = max(self.started, now - window)
        able = self.kind.cores * self.kind.speed * (self.warmth(since) + self.warmth(now)) / 2 * window
        return sum(each for _, each in self.came) > self.push.multiple * able + max(
            each for _, each in self.came
        )

    def _start(self, now: int) -> None:
        while self.waiting and len(self.running) < self.kind.slots and not self.down:
            work = self.waiting.popleft()
            if work.expires and self.kind.drops_expired and now > work.expires:
                continue  # nobody waits for it any more
            work.begun = True
            self.running.append(work)
            cost = work.cost * (1 - self.kind.defer) if work.write else work.cost
            if work.write and self.kind.defer:
                self.put_off += work.cost * self.kind.defer
                if self._flush is None or not self._flush.active():
                    self._flush = self.clock.callLater(self.kind.flush_ms / 1000, self._flush_now)
            held = len(self.running) + len(self.waiting)
            crowd = 1 + self.kind.thrash * max(0.0, held / self.kind.cores / self.kind.knee - 1)
            shared = max(1.0, len(self.running) / self.kind.cores)
            span = cost * crowd * shared * self.slow / (self.kind.speed * self.warmth(now))
            if now < self.paused_until:
                span += self.paused_until - now
            work.timer = self.clock.callLater(span / SECOND, self._ran, work)

    def _flush_now(self) -> None:
        """All that was put off is done in one go, beside the queue: it takes the cores for that long."""
        span = self.put_off / (self.kind.cores * self.kind.speed)
        self.put_off = 0.0
        self.paused_until = max(self.paused_until, now_ns(self.clock)) + round(span)

    def _ran(self, work: Work) -> None:
        now = now_ns(self.clock)
        if now < self.paused_until:
            work.timer = self.clock.callLater((self.paused_until - now) / SECOND, self._ran, work)
            return
        self.running.remove(work)
        failed = bool(self.kind.error_rate) and self.chance.random() < self.kind.error_rate
        if not failed and not work.repeat:
            self._have_effect(work, now)
        self._start(now)
        if self.hang:
            self.parked.append(work)
        elif not self.lose_share or self.chance.random() >= self.lose_share:
            self._answer(work, "failed" if failed else "done")

    def _have_effect(self, work: Work, now: int) -> None:
        product = self.products[work.product]
        if product.effect == "keyed":
            self.marks[product.group].known[work.mark] = now
        if work.write:
            self.shard.objects[work.key] = work.body
        self.shard.served[work.volume, work.gateway] += work.units  # type: ignore[assignment]
        self.shard.whole[work.volume] += work.units  # type: ignore[assignment]
        self.meter.served(work.volume, work.units, now)
        self.record(
            r.EffectApplied(
                t=now,
                node=self.number,
                idempotency_key=work.mark,
                trace=work.trace,
                request_class=work.product,
                units=work.units,
            )
        )

    def _answer(self, work: Work, how: str) -> None:
        if not self.down and not self.silent:
            work.reply(work, how)

    def content(self, work: Work) -> list[bytes]:
        """What a fulfilled leg's answer holds: what was stored, else some bytes in step with the job's
        size.
        """
        if work.write:
            return []
        if self.dated:
            return [now_ns(self.clock).to_bytes(8, "big")]
        if work.key in self.shard.objects:
            return self.shard.objects[work.key]
        size = round(work.units * self.products[work.product].unit_bytes)
        return [bytes(size)] if size else []
