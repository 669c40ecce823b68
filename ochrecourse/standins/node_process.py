"""A simulated storage node: cores, slots, a queue, a cold start, deferred writes, replays, injected faults.

Attempts are served in order of arrival in `slots` slots that share the cores; their cost is in core-ns at
speed 1. Objects belong to the shard, so a replacement node serves the same objects. All random draws derive
from the given seed.
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
    """Properties of a kind of node. Durations are in ms; `cancel` (none, queued or all) selects the attempts
    that a cancel stops.
    """

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


class RequestClassCost(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Cost of a request class at a node: core-ms per unit, its variation, and how replays are detected."""

    unit_ms: float = 5.0
    cv: float = 0.5
    effect: str = "safe"
    group: str = "all"
    unit_bytes: int = 256


class OverloadLimit(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A cold node crashes under more than `multiple` times its capacity over any `fall_ms`."""

    multiple: float = 4.0
    fall_ms: float = 1500.0


@dataclass(eq=False)
class NodeAttempt:
    """One attempt at a node. `reply` is called once with the outcome, unless the answer is lost or the node
    silent.
    """

    idempotency_key: str
    trace: str
    number: int
    request_class: str
    volume: int
    key: int
    units: float
    write: bool
    idempotency_window: int  # ns
    expires_at: int  # ns, 0: never
    gateway: str
    reply: Callable[[NodeAttempt, str], None]
    body: list[bytes] = field(default_factory=list)
    cost: float = 0.0  # core-ns
    cancelled: bool = False
    started: bool = False
    replayed: bool = False
    timer: Timer | None = None


class IdempotencyKeys:
    """The idempotency keys that a group of nodes has executed, with their times; kept for classes with keys
    only.
    """

    def __init__(self) -> None:
        self.executed_at: OrderedDict[str, int] = OrderedDict()

    def is_replay(self, idempotency_key: str, window: int, now: int) -> bool:
        """Whether the key was executed within the window (ns). Keys older than 60 s are dropped."""
        while self.executed_at and next(iter(self.executed_at.values())) < now - 60 * SECOND:
            self.executed_at.popitem(last=False)
        return idempotency_key in self.executed_at and now - self.executed_at[idempotency_key] <= window


class Shard:
    """The objects of a shard, whichever node serves it, and the idempotency keys that its nodes remember."""

    def __init__(self, number: int, zone: int) -> None:
        self.number = number
        self.zone = zone
        self.objects: dict[int, list[bytes]] = {}
        self.idempotency_keys = IdempotencyKeys()
        self.served: Counter[tuple[int, str]] = Counter()  # units, by volume and gateway
        self.total_served: Counter[int] = Counter()  # units, by volume

    def replica(self, zone: int) -> Shard:
        """The same shard in another zone: all replicas share their objects."""
        other = Shard(self.number, zone)
        other.objects, other.idempotency_keys = self.objects, self.idempotency_keys
        other.served, other.total_served = self.served, self.total_served
        return other


class UsageMeter:
    """Units served for each volume by all nodes, reported with a delay and per finished period."""

    def __init__(self, period_ms: float, delay_ms: float, rates: Mapping[int, float]) -> None:
        self.period = round(period_ms * MS)
        self.delay = round(delay_ms * MS)
        self.rates = rates  # provisioned units per second of each volume
        self.periods: OrderedDict[int, Counter[int]] = OrderedDict()

    def add_usage(self, volume: int, units: float, now: int) -> None:
        """Adds units to the current period; the last 64 periods are kept."""
        if self.period:
            self.periods.setdefault(now // self.period, Counter())[volume] += units  # type: ignore[assignment]
            while len(self.periods) > 64:
                self.periods.popitem(last=False)

    def usage(self, volume: int, now: int) -> float:
        """Units of a finished period as a share of the volume's rate; below 0 if not reported."""
        rate = self.rates.get(volume, 0.0)
        if not self.period or not rate:
            return -1.0
        last = (now - self.delay) // self.period - 1
        units = self.periods.get(last, Counter())[volume]
        return round(units / (rate * self.period / SECOND), 2)


class NodeProcess:
    """The process of one node."""

    def __init__(
        self,
        number: int,
        kind: NodeKind,
        shard: Shard,
        clock: Clock,
        seed: int,
        request_classes: Mapping[str, RequestClassCost],
        overload_limit: OverloadLimit,
        meter: UsageMeter,
        idempotency_keys: Mapping[str, IdempotencyKeys],
        record: r.Recorder,
        cold: bool,
    ) -> None:
        self.number = number
        self.kind = kind
        self.shard = shard
        self.clock = clock
        self.random_source = random.Random(seed)
        self.request_classes = request_classes
        self.overload_limit = overload_limit
        self.meter = meter
        self.idempotency_keys = idempotency_keys  # by scope: all, zone or cell (the shard)
        self.record = record
        self.started = now_ns(clock)
        self.cold_for = round(kind.cold_ms * MS) if cold else 0
        self.running: list[NodeAttempt] = []
        self.waiting: deque[NodeAttempt] = deque()
        self.withheld: list[NodeAttempt] = []  # executed, to be answered once the process no longer hangs
        self.deferred_cost = 0.0
        self.recent_keys: deque[int] = deque(maxlen=max(1, kind.remembers))
        self.cold_arrivals: deque[tuple[int, float]] = deque()  # time and cost, while cold
        self.reported_usage: Counter[tuple[int, str]] = Counter()
        # injected faults
        self.slowdown = 1.0
        self.hang = False
        self.silent = False
        self.draining = False
        self.full = False
        self.fail_share = 0.0
        self.answer_loss_share = 0.0
        self.reset_share = 0.0
        self.drop_above_units = 0.0  # larger attempts get no answer; 0: no limit
        # Request class, share of its attempts, factor of their cost.
        self.heavy_tail: tuple[str, float, float] = ("", 0.0, 1.0)
        self.paused_until = 0
        self.timestamp_answers = False  # the body of a read's answer is its time: ns, 8 bytes, big-endian
        self.ignores_gateway: Callable[[str], bool] = lambda gateway: False
        self.down = False
        self.on_overload: Callable[[], None] = lambda: None
        self._flush_timer: Timer | None = None
        self._pause_timer: Timer | None = None
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

    # --- attempts ---

    def submit(self, attempt: NodeAttempt) -> None:
        """Accepts a complete attempt whose cost is set, and answers it now or later."""
        now = now_ns(self.clock)
        if self.cold_for and now < self.started + self.cold_for and self._is_overloaded(attempt.cost, now):
            self.on_overload()
            return
        if self.down or self.silent or 0 < self.drop_above_units < attempt.units:
            return
        if self.draining or self.full or len(self.waiting) >= self.kind.queue:
            attempt.reply(attempt, "draining" if self.draining else "full")
            return
        cost_model = self.request_classes[attempt.request_class]
        if cost_model.effect == "keyed" and self.idempotency_keys[cost_model.group].is_replay(
            attempt.idempotency_key, attempt.idempotency_window, now
        ):
            attempt.replayed, attempt.cost = True, 0.05 * attempt.cost
        if self.fail_share and self.random_source.random() < self.fail_share:
            attempt.cost = min(attempt.cost, 0.1 * MS)
            attempt.started = True
            self.clock.callLater(0.001, self._answer, attempt, "failed")
            return
        self.waiting.append(attempt)
        self._start_attempts(now)

    def cancel(self, attempt: NodeAttempt) -> str:
        """Cancels an attempt. Returns whether it was executed: "no" (nor will it be) or "maybe"."""
        if self.kind.cancel in ("queued", "all") and attempt in self.waiting:
            self.waiting.remove(attempt)
            attempt.cancelled = True
            return "no"
        if self.kind.cancel == "all" and attempt in self.running:
            attempt.cancelled = True
            if attempt.timer is not None:
                attempt.timer.cancel()
            self.running.remove(attempt)
            self._start_attempts(now_ns(self.clock))
        return "no" if attempt.cancelled and not attempt.started else "maybe"

    def terminate(self) -> None:
        """Ends the process: nothing more is executed or answered."""
        self.down = True
        for attempt in self.running:
            if attempt.timer is not None:
                attempt.timer.cancel()
        self.running.clear()
        self.waiting.clear()
        self.withheld.clear()
        for timer in (self._flush_timer, self._pause_timer):
            if timer is not None and timer.active():
                timer.cancel()

    def lose_power(self) -> None:
        """Drops all attempts without notice: connections stay open and silent."""
        self.terminate()
        self.down, self.silent = False, True

    def load_report(self) -> dict[str, float]:
        """The load that goes with answers: attempts in the node, attempts queued, and the share of busy
        cores.
        """
        load = len(self.running) + len(self.waiting)
        return {
            "rif": float(load),
            "q": float(len(self.waiting)),
            "busy": min(1.0, len(self.running) / self.kind.cores),
        }

    def usage_report(self, volume: int, gateway: str) -> tuple[float, int]:
        """What an answer reports of a volume: the share of its rate used overall, and the units served here
        for other gateways since the last report.
        """
        # From running totals: a sum over 190 gateways took most of the node's time.
        used_by_others = self.shard.total_served[volume] - self.shard.served[volume, gateway]
        already_reported = self.reported_usage[volume, gateway]
        self.reported_usage[volume, gateway] = used_by_others
        return self.meter.usage(volume, now_ns(self.clock)), int(max(0, used_by_others - already_reported))

    # --- injected faults ---

    def set_pauses(self, every_ms: float, pause_ms: float) -> None:
        """Pauses execution for `pause_ms` about every `every_ms`; 0 ends the pauses."""
        if self._pause_timer is not None and self._pause_timer.active():
            self._pause_timer.cancel()
        self._pause_timer = None
        if every_ms and pause_ms and not self.down:
            self._pause_timer = self.clock.callLater(
                every_ms / 1000 * self.random_source.uniform(0.7, 1.3), self._begin_pause, every_ms, pause_ms
            )

    def set_hang(self, hang: bool) -> None:
        """Withholds answers while set; those withheld are sent once it is cleared."""
        self.hang = hang
        withheld, self.withheld = self.withheld, []
        for attempt in withheld:
            self._answer(attempt, "done")

    def _begin_pause(self, every_ms: float, pause_ms: float) -> None:
        self.paused_until = now_ns(self.clock) + round(pause_ms * MS)
        self.set_pauses(every_ms, pause_ms)

    # --- execution ---

    def cost_of(self, attempt: NodeAttempt) -> float:
        """Cost of an attempt here and now, in core-ns; the attempts of one request cost about the same."""
        cost_model = self.request_classes[attempt.request_class]
        attempt_random = random.Random(f"{attempt.idempotency_key}")
        base = attempt.units * cost_model.unit_ms * MS
        cost = (
            base * attempt_random.lognormvariate(-(cost_model.cv**2) / 2, cost_model.cv)
            if cost_model.cv
            else base
        )
        request_class, share, factor = self.heavy_tail
        if request_class == attempt.request_class and attempt_random.random() < share:
            cost *= factor
        if attempt.number == 0 and attempt.key and attempt.key in self.recent_keys:
            cost *= 1 - self.kind.seek
        if attempt.key:
            self.recent_keys.append(attempt.key)
        return cost

    def warmth(self, at: int) -> float:
        """The fraction of its capacity that the node has at a time (ns)."""
        if not self.cold_for or at >= self.started + self.cold_for:
            return 1.0
        fraction = max(0, at - self.started) / self.cold_for
        return self.kind.cold_from + (1 - self.kind.cold_from) * fraction

    def _is_overloaded(self, cost: float, now: int) -> bool:
        window = round(self.overload_limit.fall_ms * MS)
        self.cold_arrivals.append((now, cost))
        while self.cold_arrivals[0][0] <= now - window:
            self.cold_arrivals.popleft()
        since = max(self.started, now - window)
        capacity = self.kind.cores * self.kind.speed * (self.warmth(since) + self.warmth(now)) / 2 * window
        return sum(each for _, each in self.cold_arrivals) > self.overload_limit.multiple * capacity + max(
            each for _, each in self.cold_arrivals
        )

    def _start_attempts(self, now: int) -> None:
        while self.waiting and len(self.running) < self.kind.slots and not self.down:
            attempt = self.waiting.popleft()
            if attempt.expires_at and self.kind.drops_expired and now > attempt.expires_at:
                continue  # the client's deadline has passed
            attempt.started = True
            self.running.append(attempt)
            cost = attempt.cost * (1 - self.kind.defer) if attempt.write else attempt.cost
            if attempt.write and self.kind.defer:
                self.deferred_cost += attempt.cost * self.kind.defer
                if self._flush_timer is None or not self._flush_timer.active():
                    self._flush_timer = self.clock.callLater(self.kind.flush_ms / 1000, self._flush_deferred)
            load = len(self.running) + len(self.waiting)
            crowding = 1 + self.kind.thrash * max(0.0, load / self.kind.cores / self.kind.knee - 1)
            cpu_sharing = max(1.0, len(self.running) / self.kind.cores)
            span = cost * crowding * cpu_sharing * self.slowdown / (self.kind.speed * self.warmth(now))
            if now < self.paused_until:
                span += self.paused_until - now
            attempt.timer = self.clock.callLater(span / SECOND, self._complete, attempt)

    def _flush_deferred(self) -> None:
        """Executes all deferred writes at once, outside the queue: execution pauses for that long."""
        span = self.deferred_cost / (self.kind.cores * self.kind.speed)
        self.deferred_cost = 0.0
        self.paused_until = max(self.paused_until, now_ns(self.clock)) + round(span)

    def _complete(self, attempt: NodeAttempt) -> None:
        now = now_ns(self.clock)
        if now < self.paused_until:
            attempt.timer = self.clock.callLater((self.paused_until - now) / SECOND, self._complete, attempt)
            return
        self.running.remove(attempt)
        failed = bool(self.kind.error_rate) and self.random_source.random() < self.kind.error_rate
        if not failed and not attempt.replayed:
            self._apply_effect(attempt, now)
        self._start_attempts(now)
        if self.hang:
            self.withheld.append(attempt)
        elif not self.answer_loss_share or self.random_source.random() >= self.answer_loss_share:
            self._answer(attempt, "failed" if failed else "done")

    def _apply_effect(self, attempt: NodeAttempt, now: int) -> None:
        cost_model = self.request_classes[attempt.request_class]
        if cost_model.effect == "keyed":
            self.idempotency_keys[cost_model.group].executed_at[attempt.idempotency_key] = now
        if attempt.write:
            self.shard.objects[attempt.key] = attempt.body
        self.shard.served[attempt.volume, attempt.gateway] += attempt.units  # type: ignore[assignment]
        self.shard.total_served[attempt.volume] += attempt.units  # type: ignore[assignment]
        self.meter.add_usage(attempt.volume, attempt.units, now)
        self.record(
            r.EffectApplied(
                t=now,
                node=self.number,
                idempotency_key=attempt.idempotency_key,
                trace=attempt.trace,
                request_class=attempt.request_class,
                units=attempt.units,
            )
        )

    def _answer(self, attempt: NodeAttempt, outcome: str) -> None:
        if not self.down and not self.silent:
            attempt.reply(attempt, outcome)

    def answer_body(self, attempt: NodeAttempt) -> list[bytes]:
        """The body of a served attempt's answer: the stored object, else zero bytes in proportion to the
        request's size.
        """
        if attempt.write:
            return []
        if self.timestamp_answers:
            return [now_ns(self.clock).to_bytes(8, "big")]
        if attempt.key in self.shard.objects:
            return self.shard.objects[attempt.key]
        size = round(attempt.units * self.request_classes[attempt.request_class].unit_bytes)
        return [bytes(size)] if size else []
