"""Clients: a schedule of jobs fixed before the run, connections that send it, and what came of each job.

Load is open: a job leaves at its time whatever became of those before, and its latency runs from that time,
so a stall is seen by every job that it delayed. Retries belong to the first try.
"""

from __future__ import annotations

import bisect
import random
from collections import Counter, defaultdict
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Any

from hdrh.histogram import HdrHistogram
from twisted.internet.protocol import ClientFactory

from ochrecourse.audit import records as r
from ochrecourse.lab.day import Day, Plan, Volume, base_rate, capacity, unit_cost, volumes
from ochrecourse.common.runtime import Network, Timer, now_ns, stop
from ochrecourse.common.time_units import MS, SECOND
from ochrecourse.wire import messages as m
from ochrecourse.wire.errors import ProtocolViolationError
from ochrecourse.wire.framed_protocol import FramedProtocol
from ochrecourse.wire.state import StreamState, Role, client_connection_state

SHIFT = 9.0  # s for which a volume leads with one of its gateways
SURGE = (3.0, 8.0)  # s a surge lasts
SURGE_TIMES = (4.0, 10.0)  # multiple of the volume's rate in a surge
HASTY_TRIES = 6  # further tries of hasty clients


@dataclass(slots=True)
class Call:
    """One job of the schedule; `at` in s from the day's start, `part`: of its worth that is still due."""

    number: int
    at: float
    volume: Volume
    product: int
    key: int
    units: float
    shard: int
    gateway: int
    part: float
    hasty: int = 0  # further tries, at once and whatever a denial asks
    give_up: float = 0.0  # of the promised time after which the client leaves; 0: it waits


class Shares:
    """What part of a volume's worth is due: inside its reserve all, inside its usual rate a part, beyond it
    little.
    """

    def __init__(self, day: Day, plan: Plan) -> None:
        rate = base_rate(day) * plan.size
        self.day = day
        self.rates = [rate * plan.reserve, rate]
        self.left = [each and each + day.most_units for each in self.rates]
        self.parts = (1.0, day.share_worth)
        self.at = 0.0

    def draw(self, units: float, at: float) -> float:
        past, self.at = at - self.at, at
        for i, rate in enumerate(self.rates):
            self.left[i] = rate and min(rate + self.day.most_units, self.left[i] + rate * past)
        for i, part in enumerate(self.parts):
            if self.left[i] >= units:
                self.left[i] -= units
                return part
        return self.day.spare_worth


def schedule(day: Day) -> list[Call]:
    """All first tries of a day, by time, drawn from its seed."""
    chance = random.Random(f"{day.seed} load")
    all_volumes = volumes(day)
    usual = [volume.rate * volume.factor for volume in all_volumes]
    units_a_second = day.load * capacity(day) / unit_cost(day)
    scale = units_a_second / sum(usual)
    spans = _surges(day, all_volumes, chance)
    shares = [Shares(day, day.plans[volume.plan]) for volume in all_volumes]
    calls: list[Call] = []
    keys: dict[tuple[int, bool], int] = {}  # the last of each volume, old objects and new ones apart
    for i, volume in enumerate(all_volumes):
        base = usual[i] * scale / day.mean_units
        steps = _rates(day, volume, base, spans[i])
        peak = max(rate for _, rate in steps)
        starts = [start for start, _ in steps]
        at = 0.0
        while peak > 0 and (at := at + chance.expovariate(peak)) < day.length_s:
            if chance.random() * peak <= steps[bisect.bisect_right(starts, at) - 1][1]:
                calls.append(_call(day, volume, at, chance, keys, i))
    calls.sort(key=lambda call: (call.at, call.volume.number))
    for number, call in enumerate(calls):
        call.number = number
        call.part = shares[call.volume.number - 1].draw(call.units, call.at)
    for trouble in day.troubles:
        if trouble.kind in ("retry_abuse", "give_up"):
            for call in calls:
                plan = day.plans[call.volume.plan].name
                if trouble.at_s <= call.at < trouble.at_s + trouble.len_s and trouble.which in ("", plan):
                    if trouble.kind == "retry_abuse":
                        call.hasty = round(trouble.size) or HASTY_TRIES
                    if call.hasty or chance.random() < (trouble.size or 0.5):
                        call.give_up = trouble.extra or 0.5
    return calls


def _surges(
    day: Day, all_volumes: list[Volume], chance: random.Random
) -> list[list[tuple[float, float, float]]]:
    """For each volume, spans of more traffic: start, end, factor."""
    spans: list[list[tuple[float, float, float]]] = [[] for _ in all_volumes]
    for i, volume in enumerate(all_volumes):
        if volume.surging and day.surges:
            start = chance.uniform(0, day.length_s)
            spans[i].append((start, start + chance.uniform(*SURGE), chance.uniform(*SURGE_TIMES)))
    for trouble in day.troubles:
        end = trouble.at_s + trouble.len_s
        if trouble.kind == "burst":
            for each in spans:
                each.append((trouble.at_s, end, trouble.size or 1.8))
        elif trouble.kind == "tenant_burst":
            for i, volume in enumerate(all_volumes):
                if day.plans[volume.plan].name == trouble.which:
                    spans[i].append((trouble.at_s, end, trouble.size or 3.0))
        elif trouble.kind == "hot_key":
            hot = chance.sample(range(len(all_volumes)), min(3, len(all_volumes)))
            whole = sum(volume.rate for volume in all_volumes)
            for i in hot:
                more = (trouble.size or 0.2) * whole / len(hot) / all_volumes[i].rate
                spans[i].append((trouble.at_s, end, 1 + more))
    return spans


def _rates(
    day: Day, volume: Volume, base: float, spans: list[tuple[float, float, float]]
) -> list[tuple[float, float]]:
    """Jobs a second, stepwise: start, rate."""
    edges = {0.0, *(part * day.length_s for part, _ in day.shape)}
    for start, end, _ in spans:
        edges |= {min(start, day.length_s), min(end, day.length_s)}
    steps = []
    for edge in sorted(edges):
        factor = 1.0
        for part, times in day.shape:
            if edge >= part * day.length_s:
                factor = times
        for start, end, times in spans:
            if start <= edge < end:
                factor *= times
        steps.append((edge, base * factor))
    return steps


def _call(
    day: Day, volume: Volume, at: float, chance: random.Random, keys: dict[tuple[int, bool], int], i: int
) -> Call:
    product = chance.choices(range(len(day.products)), [each.share for each in day.products])[0]
    units = 1
    while units < day.most_units and chance.random() < 0.5:
        units += 1
    fresh = day.products[product].fresh
    if (i, fresh) not in keys or chance.random() * day.runs >= day.runs - 1:
        low, high = (500_000, 900_000) if fresh else (1, day.keys + 1)
        keys[i, fresh] = volume.number * 1_000_000 + chance.randrange(low, high)
    key = keys[i, fresh]
    shard = -1 if fresh else volume.shards[key % len(volume.shards)]
    lead = int(at / SHIFT + volume.number) % len(volume.hosts)
    weights = [2.718 ** (-day.skew * ((j - lead) % len(volume.hosts))) for j in range(len(volume.hosts))]
    gateway = chance.choices(volume.hosts, weights)[0]
    return Call(0, at, volume, product, key, float(units), shard, gateway, 1.0)


# --- connections ---


class Try:
    """One try of a call: its id on a connection and when its client stops waiting."""

    def __init__(self, call: Call, number: int, sent: int, due: int) -> None:
        self.call = call
        self.number = number
        self.sent = sent
        self.due = due
        self.id = -1
        self.line: Line | None = None
        self.timer: Timer | None = None
        self.over = False

    def trace(self) -> str:
        return f"{self.call.number}.{self.number}"


class Line(FramedProtocol):
    """One connection of clients to a gateway."""

    def __init__(self, factory: Lines) -> None:
        super().__init__(factory.load.network, Role.REQUESTER, client_connection_state())
        self.factory = factory
        self.load = factory.load
        self.load.conns += 1
        self.conn = self.load.conns
        self.tries: dict[int, Try] = {}
        self.count = 0
        self.met = False
        self.leaving = False
        self.bodies: Counter[int] = Counter()

    def connection_ready(self) -> None:
        self.send_message(m.Hello(version=m.PROTOCOL_VERSION, role="client"))

    def message_received(self, message: m.AnyMessage, body: bytes, after: StreamState | None) -> None:
        if isinstance(message, m.Hello):
            self.met = True
            self.factory.met(self)
            return
        if isinstance(message, m.GoAway):
            self.leaving = True
            self.factory.leaving(self)
            return
        if isinstance(message, m.ErrorNotice) and message.id < 0:
            self.load.counts[f"fault: {message.code}"] += 1
            return
        number: int = message.id  # type: ignore[union-attr]  # the table lets no other pass
        this = self.tries.get(number)
        if after is StreamState.CLOSED:
            self.tries.pop(number, None)
        if this is not None:
            self.load.heard(this, message, body, after)

    def ask(self, this: Try, day: Day) -> None:
        call = this.call
        product = day.products[call.product]
        self.count += 1
        this.id, this.line = self.count, self
        self.tries[this.id] = this
        key, shard = self.load.place_of(call)
        size = round(call.units * product.unit_bytes) if product.writes else 0
        message = m.SubmitRequest(
            id=this.id,
            request_class=product.name,
            tenant=day.plans[call.volume.plan].name,
            volume=call.volume.number,
            timeout_ms=product.timeout_ms,
            key=key,
            units=call.units,
            shard=shard,
            gateways=len(call.volume.hosts),
            size=size,
            trace=this.trace(),
        )
        self.load.record(
            r.RequestSent(
                t=now_ns(self.clock),
                gateway=self.factory.name,
                conn=self.conn,
                id=this.id,
                trace=this.trace(),
                request_class=product.name,
                tenant=message.tenant,
                volume=message.volume,
                key=key,
                units=call.units,
                timeout=round(product.timeout_ms * MS),
                retry=this.number > 0,
                shard=shard,
            )
        )
        self.send_message(message, bytes(size) if size <= m.MAX_BODY_BYTES else b"")
        for at in range(0, size if size > m.MAX_BODY_BYTES else 0, m.MAX_BODY_BYTES):
            self.send_message(m.BodyChunk(id=this.id), bytes(min(m.MAX_BODY_BYTES, size - at)))

    def leave(self, this: Try) -> None:
        self.load.record(
            r.CancelSent(
                t=now_ns(self.clock),
                gateway=self.factory.name,
                conn=self.conn,
                id=this.id,
                trace=this.trace(),
            )
        )
        try:
            self.send_message(m.CancelRequest(id=this.id))
        except ProtocolViolationError:
            return  # its answer is coming in just now

    def connection_ended(self, mid_message: bool) -> None:
        if self.met:
            self.load.record(
                r.ConnectionLost(t=now_ns(self.clock), gateway=self.factory.name, conn=self.conn)
            )
        tries, self.tries = self.tries, {}
        self.factory.lost(self)
        for this in tries.values():
            self.load.lost(this)


class Lines(ClientFactory):
    """The clients' connections to one gateway; they come back by themselves."""

    noisy = False

    def __init__(self, load: Load, index: int, address: Callable[[], tuple[str, int] | None]) -> None:
        self.load = load
        self.index = index
        self.name = f"g{index}"
        self.address = address
        self.up: list[Line] = []
        self.next = 0
        self.stopped = False
        self.waiting: list[Timer] = []

    def start(self, count: int) -> None:
        for _ in range(count):
            self._connect()

    def _connect(self) -> None:
        if self.stopped:
            return
        address = self.address()
        if address is None:
            self._again()
        else:
            self.load.network.connectTCP(address[0], address[1], self, timeout=2)

    def _again(self) -> None:
        if not self.stopped:
            self.load.network.callLater(0.05, self._connect)

    def buildProtocol(self, addr: Any) -> Line:
        return Line(self)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self._again()

    def met(self, line: Line) -> None:
        self.up.append(line)

    def leaving(self, line: Line) -> None:
        if line in self.up:
            self.up.remove(line)

    def lost(self, line: Line) -> None:
        self.leaving(line)
        self._again()

    def line(self) -> Line | None:
        """The connection for the next job; connections take turns."""
        if not self.up:
            return None
        self.next += 1
        return self.up[self.next % len(self.up)]


class Outcomes:
    """What came of the calls: by ending, payoff in time over payoff due, latency of those fulfilled."""

    def __init__(self) -> None:
        self.endings: Counter[str] = Counter()
        self.in_time = 0
        self.late = 0
        self.due = 0.0
        self.earned = 0.0
        self.due_by: defaultdict[str, float] = defaultdict(float)
        self.earned_by: defaultdict[str, float] = defaultdict(float)
        self.latency = HdrHistogram(1, 60_000_000, 3)  # us
        self.answer_latency = HdrHistogram(1, 60_000_000, 3)  # us, of any answer
        self.tries = 0

    def payoff(self) -> float:
        return self.earned / self.due if self.due else 1.0


class Load:
    """Plays a schedule against gateways. `addresses` gives each gateway's address, None while it is down."""

    def __init__(
        self,
        network: Network,
        day: Day,
        addresses: Mapping[int, Callable[[], tuple[str, int] | None]],
        record: r.Recorder,
    ) -> None:
        self.network = network
        self.day = day
        self.record = record
        self.chance = random.Random(f"{day.seed} clients")
        self.conns = 0
        self.counts: Counter[str] = Counter()
        self.outcomes = Outcomes()
        self.lines = {index: Lines(self, index, address) for index, address in addresses.items()}
        self.calls: list[Call] = []
        self.next = 0
        self.began = 0.0
        self.open = 0
        self.written: dict[int, list[tuple[int, int]]] = {}  # new objects of a volume: key, shard
        self.finished: Callable[[], None] = lambda: None
        self.done = False
        self.steer: Callable[[Sequence[int], int], int | None] | None = (
            None  # where a job goes, if not to its own
        )

    def connect(self) -> None:
        for lines in self.lines.values():
            lines.start(self.day.habits.connections)

    def start(self, calls: list[Call]) -> None:
        """Starts the schedule now."""
        self.calls = calls
        self.began = self.network.seconds()
        self._count_due(calls)
        self._send_due()

    def go_on(self, span: float) -> None:
        """Plays the last `span` seconds of the schedule again, as further jobs, once it is over."""
        last = self.day.length_s - span
        shift = self.network.seconds() - self.began - last
        again = [replace(call, at=call.at + shift) for call in self.calls if call.at >= last]
        for number, call in enumerate(again, len(self.calls)):
            call.number = number
        self.calls = self.calls + again
        self.done = False
        self._count_due(again)
        self._send_due()

    def _count_due(self, calls: list[Call]) -> None:
        for call in calls:
            worth = self.worth(call)
            self.outcomes.due += worth
            self.outcomes.due_by[self.day.plans[call.volume.plan].name] += worth

    def stop(self) -> None:
        for lines in self.lines.values():
            lines.stopped = True
            for line in list(lines.up):
                line.abort()

    def worth(self, call: Call) -> float:
        product, plan = self.day.products[call.product], self.day.plans[call.volume.plan]
        return product.payoff * plan.worth * call.units / self.day.mean_units * call.part

    def place_of(self, call: Call) -> tuple[int, int]:
        """Key and shard; now and then a read goes to an object that was just written."""
        product = self.day.products[call.product]
        fresh = self.written.get(call.volume.number)
        if not product.writes and fresh and call.number % 4 == 0:
            return fresh[call.number // 4 % len(fresh)]
        return call.key, call.shard

    # --- the schedule ---

    def _send_due(self) -> None:
        now = self.network.seconds()
        while self.next < len(self.calls) and self.began + self.calls[self.next].at <= now:
            call = self.calls[self.next]
            self.next += 1
            self.open += 1
            self._try(call, 0)
        if self.next < len(self.calls):
            self.network.callLater(self.began + self.calls[self.next].at - now, self._send_due)
        self._look()

    def _try(self, call: Call, number: int) -> None:
        gateway: int | None = call.gateway
        if self.steer is not None:
            gateway = self.steer(call.volume.hosts, call.gateway)
        line = self.lines[gateway].line() if gateway is not None else None
        now = now_ns(self.network)
        product = self.day.products[call.product]
        this = Try(call, number, now, now + round(product.timeout_ms * MS))
        self.outcomes.tries += 1
        if line is None:
            self.counts["no gateway"] += 1
            self._failed(this, "no gateway", 0.0, may_repeat=True)
            return
        wait = product.timeout_ms / 1000
        if call.give_up:
            wait = min(wait, call.give_up * product.promised_ms / 1000)
        elif self.day.habits.impatient and self.chance.random() < self.day.habits.impatient:
            wait = min(wait, product.promised_ms / 1000 * self.chance.uniform(0.1, 1.0))
        line.ask(this, self.day)
        this.timer = self.network.callLater(wait, self._gave_up, this)

    def _gave_up(self, this: Try) -> None:
        this.timer = None
        if this.over:
            return
        left_early = now_ns(self.network) < this.due - MS
        this.over = True
        if left_early and this.line is not None and this.line.is_open:
            this.line.leave(this)
        product = self.day.products[this.call.product]
        self._failed(this, "left early" if left_early else "no answer", 0.0, product.effect == "retriable")

    def heard(self, this: Try, message: m.AnyMessage, body: bytes, after: StreamState | None) -> None:
        how = {
            m.RequestServed: "fulfilled",
            m.RequestRejected: "denied",
            m.RequestFailed: "written_off",
            m.ErrorNotice: "refused",
        }.get(type(message))
        now = now_ns(self.network)
        told = how
        if self.day.dated and isinstance(message, m.RequestServed) and message.size > len(body):
            told = None  # it is recorded with its body, which says when it was made
        elif self.day.dated and isinstance(message, m.BodyChunk):
            told = "fulfilled"
        if told is not None:
            assert this.line is not None
            self.record(
                r.ResponseReceived(
                    t=now,
                    gateway=this.line.factory.name,
                    conn=this.line.conn,
                    id=this.id,
                    trace=this.trace(),
                    outcome=told,
                    made_at=int.from_bytes(body, "big") if self.day.dated and len(body) == 8 else 0,
                    retry_after=round(message.retry_after_ms * MS)
                    if isinstance(message, m.RequestRejected)
                    else 0,
                )
            )
        if this.over:
            if how is not None:
                self.counts["answers after the client had stopped waiting"] += 1
            return
        if how == "fulfilled":
            if isinstance(message, m.RequestServed) and self.day.products[this.call.product].fresh:
                fresh = self.written.setdefault(this.call.volume.number, [])
                fresh.append((this.call.key, message.shard))
                del fresh[:-32]
            if after is not StreamState.CLOSED:
                return  # its body is still coming
        if how is None and after is not StreamState.CLOSED:
            return
        this.over = True
        stop(this.timer)
        spent = (now - this.sent) // 1000
        self.outcomes.answer_latency.record_value(max(1, spent))
        if how in ("fulfilled", None):
            self._fulfilled(this, now)
        else:
            wait = message.retry_after_ms / 1000 if isinstance(message, m.RequestRejected) else 0.0
            product = self.day.products[this.call.product]
            may = how == "denied" or (how == "written_off" and product.effect == "retriable")
            self._failed(this, how, wait, may)

    def lost(self, this: Try) -> None:
        """A try's connection ended."""
        if not this.over:
            this.over = True
            stop(this.timer)
            product = self.day.products[this.call.product]
            self._failed(this, "connection lost", 0.0, product.effect == "retriable")

    def _fulfilled(self, this: Try, now: int) -> None:
        call, product = this.call, self.day.products[this.call.product]
        took = now / SECOND - (self.began + call.at)
        self.outcomes.latency.record_value(max(1, round(took * 1e6)))
        worth = self.worth(call)
        in_time = took <= product.promised_ms / 1000
        self.outcomes.in_time += in_time
        self.outcomes.late += not in_time
        if in_time:
            self.outcomes.earned += worth
            self.outcomes.earned_by[self.day.plans[call.volume.plan].name] += worth
        self._end("fulfilled")

    def _failed(self, this: Try, how: str, advised: float, may_repeat: bool) -> None:
        call, habits = this.call, self.day.habits
        tries = call.hasty or habits.retries
        if not may_repeat or this.number >= tries:
            self._end(how)
            return
        if call.hasty:
            wait = 0.0
        else:
            wait = habits.backoff_ms / 1000 * 2**this.number * self.chance.uniform(0.5, 1.5)
            if advised and self.chance.random() < habits.honour:
                wait = max(wait, advised)
        self.network.callLater(wait, self._try, call, this.number + 1)

    def _end(self, how: str) -> None:
        self.outcomes.endings[how] += 1
        self.open -= 1
        self._look()

    def _look(self) -> None:
        if not self.done and self.next >= len(self.calls) and self.open == 0:
            self.done = True
            self.finished()
