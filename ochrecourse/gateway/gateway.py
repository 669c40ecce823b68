"""The library: one host's decisions, fed with what happens and carried out on the nodes.

    gateway = Gateway(values, seed, reactor, dialler(reactor), name)  # nothing global
    gateway.list_came(ListKind.FULL, entries, addresses)
    gateway.take(request, asker)                                      # the asker hears exactly one answer

Free of I/O: the clock, the seed and what opens connections (nodes/framed_connection.py) are handed in. It
decides nothing about a request. Every report goes to `decide.Scheduler`; then its decisions are pulled one by
one until none is left; attempts, replies and list calls are carried out; one timer brings it back at
`next_due`. Several gateways can live in one process, on the real reactor or a virtual clock.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from ochrecourse.scheduler.scheduler import Scheduler
from ochrecourse.common.event_loop_lag import TRIFLE, EventLoopLag
from ochrecourse.gateway.graceful_shutdown import GracefulShutdown, ShutdownStage
from ochrecourse.common.request_records import RequestOutcome, RequestRecord, AttemptRecord
from ochrecourse.gateway.request_log import RequestLog
from ochrecourse import interface
from ochrecourse.interface import Attempt, AttemptEnd, Decisions, Health, ListCall, ListKind, NodeEntry
from ochrecourse.interface import Outcome, Reply
from ochrecourse.nodes.dispatcher import Body, Dispatcher, OutgoingAttempt, OpenConnection
from ochrecourse.nodes.pool import PoolLimits
from ochrecourse.nodes.outcome import VERDICTS, AttemptEvent, WriteProgress
from ochrecourse.nodes.health import NodeHealth
from ochrecourse.common.runtime import Clock, Timer, now_ns, stop
from ochrecourse.common.time_units import MS, SECOND
from ochrecourse.wire import messages as m

TURNS_BEHIND = 2  # of the loop: one reads a connection's bytes, the next the end that stands behind them
UNREAD = 50 * MS  # half of the 0.1 s in which a client's end must be heeded; the rest is for the way
SLOW_DIAL = 0.1  # of the shortest promised time, after which a dial is slow; leaves time for a second one


@dataclass(slots=True)
class Request:
    """What a front took from a client. `timeout` in ns from `read_at`, the time at which it was read."""

    request_class: str
    tenant: str
    volume: int
    timeout: int
    read_at: int
    key: int = 0
    units: float = 1.0
    shard: int = -1
    gateways: int = 1
    trace: str = ""
    body: Body | None = None


class ResponseHandler(Protocol):
    """Who waits for a job's answer: exactly one of `fulfilled`, `denied`, `written_off` is called, if any
    client is left.

    After `fulfilled` come the pieces of its body; `broke_off` says that the rest will not come.
    """

    def served(self, job: int, size: int, shard: int) -> None: ...

    def body_chunk(self, job: int, data: bytes) -> None: ...

    def aborted(self, job: int) -> None: ...

    def rejected(self, job: int, come_back: int) -> None: ...

    def failed(self, job: int) -> None: ...


class RequestObserver(Protocol):
    """Who looks on: a job's whole story once it is over."""

    def request_finished(self, gateway: Gateway, story: RequestRecord) -> None: ...


class ObjectCache(Protocol):
    """Who holds copies of objects that were read, where there are any (`Gateway.copies`)."""

    def request_received(
        self, job: int, request: Request, write: bool, due: int, asker: ResponseHandler
    ) -> ResponseHandler | None:
        """Who hears of a job from the nodes; None if no attempt is to be sent for it now."""

    def request_cancelled(self, job: int) -> bool:
        """A job's client no longer waits; True if no attempt of the job was ever sent."""

    def wants_response(self, job: int) -> bool:
        """Whether an answer that has begun is still wanted."""

    def response_consumed(self, job: int, size: int) -> bool:
        """A client took so many bytes; True if the node need not hear of it."""

    def request_finished(self, job: int, certain: bool) -> None:
        """A job is over, and no attempt of it is out; `certain`: it took effect, or surely did not."""


class BadRequestError(Exception):
    """A job that can't be taken: `code` for counters, the text for the client."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(text)
        self.code = code


class SettingsIndex:
    """The products and plans by name, and what a node must be told of a product."""

    def __init__(self, values: Mapping[str, str]) -> None:
        count = int(values.get("Classes.count", "0"))
        writes = values.get("FamilyInfo.Writes", "").split(",")
        self.class_names = [values.get(f"Classes.{i}.Name", str(i)) for i in range(count)]
        self.classes = {name: i for i, name in enumerate(self.class_names)}
        plans = int(values.get("Policies.count", "0"))
        self.tenant_names = [values.get(f"Policies.{i}.Name", str(i)) for i in range(plans)]
        self.tenants = {name: i for i, name in enumerate(self.tenant_names)}
        self.writes = [i < len(writes) and writes[i] == "true" for i in range(count)]
        self.effects = [values.get(f"Classes.{i}.Effect", "safe") for i in range(count)]
        self.latency_objectives = [round(_number(values, f"Classes.{i}.Aim", 0.0) * MS) for i in range(count)]
        self.windows = [float(values.get(f"Classes.{i}.Window", "0")) for i in range(count)]


def _number(values: Mapping[str, str], name: str, default: float) -> float:
    return float(values.get(name, default))


class InFlightRequest:
    """A job between its request and its end: what the gateway needs to carry it out."""

    __slots__ = ("attempt", "handler", "record", "request", "response_began_at", "response_bytes_left")

    def __init__(self, request: Request, asker: ResponseHandler, story: RequestRecord) -> None:
        self.request = request
        self.handler = asker
        self.record = story
        self.attempt: OutgoingAttempt | None = None
        self.response_bytes_left = 0
        self.response_began_at = 0  # ns, when the answer of the attempt that is out began to stream


class Gateway:
    """One host. `values` is the plain map that the decisions read; connection figures come from the same
    map.
    """

    def __init__(
        self,
        values: Mapping[str, str],
        seed: int,
        clock: Clock,
        open_connection: OpenConnection,
        name: str,
        travel: int = 0,
        observers: Sequence[RequestObserver] = (),
        decisions: Callable[[Mapping[str, str], int, int], Decisions] = Scheduler,
        limits: PoolLimits | None = None,
        unread_since: Callable[[], int] | None = None,
    ) -> None:
        """`travel`: ns that an answer takes to its client; `decisions`: what makes the host's decisions;
        `limits`: of connections, if the map's own are not meant; `unread_since`: the clock's time since when
        something may stand unread, where the loop knows (turns.py)."""
        self.name = name
        self.clock = clock
        self.idempotency_prefix = (
            f"{name}/{seed & 0xFFFFFFFF:08x}"  # of this life; no other life of this name may have the seed
        )
        self.travel = travel
        self.observers = observers
        self.settings_index = SettingsIndex(values)
        self.max_open = int(_number(values, "Limits.MaxOpen", 20_000))
        limits = limits or PoolLimits(
            attempts=int(_number(values, "Limits.Multiplex", 32)),
            connections=int(_number(values, "Limits.Connections", 4)),
            dials=int(_number(values, "Limits.Dials", 16)),
            idle=round(_number(values, "Limits.IdleClose", 15_000) * MS),
        )
        self.addresses: dict[int, tuple[str, int]] = {}
        dial_time = _number(values, "Limits.DialTimeout", 250) / 1000
        slow_dial = min(self.settings_index.latency_objectives, default=SECOND) * SLOW_DIAL / SECOND
        self.nodes = Dispatcher(
            name, clock, limits, dial_time, self.addresses.get, open_connection, slow_dial, self._turns_behind
        )
        self.scheduler = decisions(values, seed, now_ns(clock))
        self.request_log = RequestLog()
        self.shutdown = GracefulShutdown()
        self.event_loop_lag = EventLoopLag()
        self.in_flight: dict[int, InFlightRequest] = {}
        self.list_wanted = False  # the decisions asked for the list of nodes
        self.on_list_wanted: Callable[[], None] | None = None
        self.on_drained: list[Callable[[], None]] = []  # called when the gateway has left
        self.attempt_observers: list[
            Callable[[RequestRecord, AttemptRecord], None]
        ] = []  # called with each attempt that ended
        self.entries: dict[int, NodeEntry] = {}
        self.ready_nodes_by_shard: Counter[int] = Counter()  # by shard: nodes that take jobs
        self.node_health = NodeHealth()
        self.object_cache: ObjectCache | None = None
        self.rejected_on_arrival = 0
        self.answer_by = 0  # ns; every job taken from now on must have its answer by then; 0: no such time
        self._count = 0
        self._pulling = False
        self._unread_since = unread_since
        self._catching_up = 0  # turns of the loop until what stood unread after a long turn is known
        self._timer: Timer | None = None
        self._due = 0

    # --- what is reported ---

    def endpoint_list_received(
        self, kind: ListKind, entries: Sequence[NodeEntry], addresses: Mapping[int, tuple[str, int]]
    ) -> None:
        """A list of nodes, as the membership room passes it on; times of starts on this host's clock."""
        if kind in (ListKind.FULL, ListKind.CACHED):
            self.entries.clear()
        self.entries.update({entry.node: entry for entry in entries})
        ready = (each.shard for each in self.entries.values() if each.health is Health.READY)
        self.ready_nodes_by_shard = Counter(ready)
        self.addresses.update(addresses)
        self.scheduler.list_received(kind, entries, now_ns(self.clock))
        # Guards against an attempt that waits for its connection and is written when its node has long
        # drained.
        self.nodes.shed(self._ready)
        self._pull()

    def _ready(self, node: int) -> bool:
        entry = self.entries.get(node)
        return entry is not None and entry.health is Health.READY

    def node_rates_received(self, bounds: Mapping[int, float]) -> None:
        """Units a second that may begin at each node named, as the fleet sees it; others are free."""
        self.scheduler.bounds_received(bounds, now_ns(self.clock))
        self._pull()

    def submit(self, request: Request, asker: ResponseHandler) -> int:
        """Takes a job, whose number is returned; its asker hears of it later or at once. Raises
        BadRequestError.
        """
        product = self.settings_index.classes.get(request.request_class)
        plan = self.settings_index.tenants.get(request.tenant)
        if product is None:
            raise BadRequestError("unknown_product", f"there is no product {request.request_class!r}")
        if plan is None:
            raise BadRequestError("unknown_plan", f"there is no plan {request.tenant!r}")
        if not 0 < request.units < 1e9 or not 0 < request.timeout < 1e15 or not 1 <= request.gateways < 1e6:
            raise BadRequestError("bad_figure", "units, timeout and gateways must be above 0")
        now = now_ns(self.clock)
        due = self.event_loop_lag.earliest_arrival(request.read_at) + request.timeout - self.travel
        if self.answer_by:
            due = min(due, self.answer_by)
        if due <= now:
            raise BadRequestError("late_body", "its client's time was over before it was whole here")
        job = self.next_request_id()
        self._count += 1
        if not self.shutdown.accepts_requests() or self.request_log.open >= self.max_open:
            self.rejected_on_arrival += 1
            if request.body is not None:
                request.body.close()
            asker.rejected(job, 0)
            return job
        story = RequestRecord(
            job, product, plan, request.volume, request.units, now, due, due + self.travel // 2, request.trace
        )
        self.request_log.add(story)
        self.in_flight[job] = InFlightRequest(request, asker, story)
        if self.object_cache is not None:
            write = self.settings_index.writes[product]
            through = self.object_cache.request_received(job, request, write, due, asker)
            if through is None:
                return job
            self.in_flight[job].handler = through
        self._to_scheduler(story, request, now)
        return job

    def _to_scheduler(self, story: RequestRecord, request: Request, now: int) -> None:
        scheduled = interface.Request(
            story.number, story.request_class, story.tenant, request.volume, request.key, request.units,
            request.shard, request.gateways, story.answer_by
        )  # fmt: skip
        self.scheduler.request_received(scheduled, now)
        self._pull()

    def next_request_id(self) -> int:
        """The number that the next job will have; its answer may come before `take` returns."""
        return self._count + 1

    def cancel(self, job: int) -> None:
        """The client of a job no longer waits."""
        unsent = self.object_cache is not None and self.object_cache.request_cancelled(job)
        if self.request_log.settle(job, RequestOutcome.CLIENT_CLOSED, now_ns(self.clock)) is not None:
            if not unsent:
                self.scheduler.request_cancelled(job)
            gone = self.in_flight[job]
            if gone.attempt is not None and gone.attempt.handed() is not WriteProgress.WHOLE:
                self.nodes.cancel(gone.attempt)  # nothing of it runs, and nobody waits for it
            self._over(gone)
            self._pull()
        elif unsent:
            self._over(self.in_flight[job])
        elif self.object_cache is not None and self.object_cache.wants_response(job):
            pass  # others may read what comes
        elif (task := self.in_flight.get(job)) is not None and task.attempt is not None:
            # Its answer had begun and nobody reads the rest, which is no fault of anybody.
            task.response_bytes_left = 0
            self.nodes.cancel(task.attempt)

    def cancel_all(self, jobs: Sequence[int]) -> None:
        """The client of several jobs no longer waits: none of them takes the place of another that it
        left.
        """
        pulling, self._pulling = self._pulling, True
        try:
            for job in jobs:
                self.cancel(job)
        finally:
            self._pulling = pulling
        self._pull()

    def response_consumed(self, job: int, size: int) -> None:
        """The client took so many more bytes of its answer."""
        if self.object_cache is None or not self.object_cache.response_consumed(job, size):
            self.grant_credit(job, size)

    def grant_credit(self, job: int, size: int) -> None:
        """So many more bytes of a job's answer may come from its node."""
        task = self.in_flight.get(job)
        if task is not None and task.attempt is not None:
            self.nodes.grant(task.attempt, size)

    def drain(self) -> None:
        """Nothing new is taken from now on; `left` is called when all that is held has its answer."""
        now = now_ns(self.clock)
        if self.shutdown.begin(now, self.request_log.latest_answer_at()):
            wait = max(0, self.shutdown.finish_by - now) / SECOND + 0.001
            self.clock.callLater(wait, self._look_at_leaving)
            self._look_at_leaving()

    def stop(self) -> None:
        """Ends everything at once, as a kill does, but tidily."""
        self.shutdown.stage = ShutdownStage.LEFT
        stop(self._timer)
        self._timer = None
        self.nodes.close()

    # --- for the copies, where there are any ---

    def answer_from_cache(self, job: int) -> bool:
        """Books the answer of a job that needs no attempt; False if it is too late for one."""
        return self.request_log.settle(job, RequestOutcome.SERVED, now_ns(self.clock)) is not None

    def forward(self, job: int, asker: ResponseHandler) -> None:
        """A job that waited for another's answer goes to the nodes, and its answer to this asker."""
        task = self.in_flight[job]
        task.handler = asker
        self._to_scheduler(task.record, task.request, now_ns(self.clock))

    def finish_cached(self, job: int, whole: bool) -> None:
        """Ends a job that needed no attempt: all of its answer was handed on, or the rest will not come."""
        task = self.in_flight[job]
        if not whole:
            self.request_log.response_aborted(task.record)
        self._over(task)

    # --- the nodes' side (nodes.dispatcher.AttemptListener) ---

    def written(self, attempt: OutgoingAttempt) -> None:
        self.scheduler.attempt_written(attempt.request_id, now_ns(self.clock))

    def began(self, attempt: OutgoingAttempt, answer: m.AttemptServed) -> None:
        task = self.in_flight[attempt.request_id]
        if answer.size > answer.body:
            task.record.streaming = True
            task.response_began_at = now_ns(self.clock)
            self.scheduler.stream_began(task.record.number)
        if self.request_log.settle(task.record.number, RequestOutcome.SERVED, now_ns(self.clock)) is not None:
            task.response_bytes_left = answer.size
            task.handler.served(task.record.number, answer.size, answer.shard)

    def piece(self, attempt: OutgoingAttempt, data: bytes) -> None:
        task = self.in_flight[attempt.request_id]
        if task.record.outcome is RequestOutcome.SERVED:
            task.response_bytes_left -= len(data)
            task.handler.body_chunk(task.record.number, data)
        else:
            self.nodes.grant(attempt, len(data))  # nobody waits: let the node finish

    def ended(self, attempt: OutgoingAttempt, seen: AttemptEvent, answer: m.AnyMessage | None) -> None:
        job = attempt.request_id
        task = self.in_flight[job]
        proof = VERDICTS[seen]
        now = now_ns(self.clock)
        number = attempt.message.number
        story, over = self.request_log.attempt_ended(job, number, proof.ending, seen.value, now)
        for call in self.attempt_observers:
            call(story, over)
        self.node_health.ended(attempt.node, proof.ending)
        task.attempt = None
        began, task.response_began_at = task.response_began_at, 0
        if task.response_bytes_left and seen is not AttemptEvent.DONE:
            task.response_bytes_left = 0
            self.request_log.response_aborted(story)
            task.handler.aborted(job)
        told = answer if isinstance(answer, m.NodeReply) else None
        end = AttemptEnd(
            request_id=job,
            number=attempt.message.number,
            node=attempt.node,
            ending=proof.ending,
            # A stream took until it began: how fast its client reads is not the node's doing. Nor is how long
            # its connection took to come up.
            took=(began or now) - (attempt.on_connection_at or attempt.sent_at),
            last=story.outcome is not None,
            volume_used=told.used if told else -1.0,
            elsewhere=told.elsewhere if told else 0,
            load=told.load if told else {},
        )
        self.scheduler.attempt_ended(end, now)
        self._over(task)
        self._pull()

    # --- the one timer and the pull ---

    def _pull(self) -> None:
        """Carries out decisions until there are none; reports made meanwhile are seen by the same loop."""
        if self._pulling or self._catching_up:
            return
        if self._behind():
            self._catch_up(TURNS_BEHIND + 1)  # the rest of this turn is read first
            return
        self._decide()

    def _decide(self) -> None:
        if self._overdue() or self.shutdown.stage is ShutdownStage.LEFT:
            return
        self._pulling = True
        try:
            while (said := self.scheduler.decide(now := now_ns(self.clock))) is not None:
                if isinstance(said, Attempt):
                    self._send(said, now)
                elif isinstance(said, Reply):
                    self._answer(said, now)
                elif said is ListCall.FOLLOW:
                    self.list_wanted = True
                    if self.on_list_wanted is not None:
                        self.on_list_wanted()
        finally:
            self._pulling = False
        due = self.scheduler.next_due()
        if self._timer is None or due < self._due:
            if self._timer is not None:
                self._timer.cancel()
            self._due = max(due, now)
            self._timer = self.clock.callLater((self._due - now) / SECOND, self._woke)

    def _behind(self) -> bool:
        """Whether a client may have gone for some time, unseen, for the loop's turns take long."""
        return self._unread_since is not None and now_ns(self.clock) - self._unread_since() > UNREAD

    def _turns_behind(self) -> int:
        """How often the loop has to turn until all that stands unread now is known; 0 if it is."""
        if self._catching_up:
            return self._catching_up
        return TURNS_BEHIND + 1 if self._behind() or self._overdue() else 0

    def _overdue(self) -> bool:
        """Whether the loop's turn took so long that the timer is late, which then sees to what is unread."""
        return self._timer is not None and now_ns(self.clock) - self._due > TRIFLE

    def _woke(self) -> None:
        self._timer = None
        if self.event_loop_lag.timer_fired(self._due, now_ns(self.clock)):
            # A loop calls its timers before it reads. What stands unread after a long turn is reported first:
            # a request whose client has closed by now must not be sent on.
            self._catch_up(TURNS_BEHIND)
            return
        self._pull()

    def _catch_up(self, turns: int) -> None:
        """Decides nothing until the loop has turned so often."""
        if not self._catching_up:
            self.clock.callLater(0, self._turned)
        self._catching_up = max(turns, self._catching_up)

    def _turned(self) -> None:
        """The loop has read once more since a long turn."""
        self.event_loop_lag.iteration_finished()
        self._catching_up -= 1
        if self._catching_up:
            self.clock.callLater(0, self._turned)
        else:
            self._decide()

    def _send(self, said: Attempt, now: int) -> None:
        story = self.request_log.attempt_sent(said.request_id, said.number, said.node, now)
        if story is None:
            return
        task = self.in_flight[said.request_id]
        request, product = task.request, story.request_class
        self.node_health.sent(said.node, now)
        left = story.answer_by - now
        time_out = min(said.time_out, left) if said.time_out else left
        message = m.SendAttempt(
            id=0,
            mark=f"{self.idempotency_prefix}/{said.request_id}",
            product=request.request_class,
            volume=request.volume,
            key=request.key,
            units=request.units,
            shard=request.shard,
            number=said.number,
            write=self.settings_index.writes[product],
            effect=self.settings_index.effects[product],
            window_ms=self.settings_index.windows[product],
            patience_ms=round(time_out / MS, 3),
            size=request.body.size if request.body else 0,
            trace=request.trace,
        )
        stall = story.answer_by - story.received_at
        # A job whose data one node alone holds has no other way: a dial that may serve it in time is worth
        # the wait. Another goes elsewhere after the time that the settings give a dial.
        alone = request.shard >= 0 and self.ready_nodes_by_shard[request.shard] <= 1
        wait = story.received_at + self.settings_index.latency_objectives[product] - now if alone else None
        task.attempt = self.nodes.send(
            said.request_id, said.node, message, request.body, time_out, stall, self, wait, said.write_before
        )

    def _answer(self, said: Reply, now: int) -> None:
        denied = said.outcome is Outcome.REJECTED
        story = self.request_log.settle(
            said.request_id, RequestOutcome.REJECTED if denied else RequestOutcome.FAILED, now
        )
        task = self.in_flight.get(said.request_id)
        if task is None:
            return
        if story is not None and denied:
            task.handler.rejected(said.request_id, said.retry_after)
        elif story is not None:
            task.handler.failed(said.request_id)
        self._over(task)

    def _over(self, task: InFlightRequest) -> None:
        if self.request_log.remove_finished(task.record):
            del self.in_flight[task.record.number]
            if task.request.body is not None:
                task.request.body.close()
            if self.object_cache is not None:
                certain = task.record.outcome in (RequestOutcome.SERVED, RequestOutcome.REJECTED)
                self.object_cache.request_finished(task.record.number, certain)
            for observer in self.observers:
                observer.request_finished(self, task.record)
            self._look_at_leaving()

    def _look_at_leaving(self) -> None:
        if self.shutdown.check_finished(now_ns(self.clock), self.request_log.open, len(self.in_flight)):
            self.stop()
            for call in self.on_drained:
                call()
