"""The gateway of one host: reports events to the scheduler and executes its decisions.

    gateway = Gateway(values, seed, reactor, dialler(reactor), name)  # no global state
    gateway.endpoint_list_received(ListKind.FULL, entries, addresses)
    gateway.submit(request, handler)  # the handler is called with exactly one final response

Performs no I/O: the clock, the seed and the function that opens connections (nodes/framed_connection.py) are
injected. The gateway makes no decisions about requests. It reports every event to `scheduler.Scheduler`, then
pulls decisions (attempts, replies, list calls) until there are none, and executes them; one timer wakes it at
`next_due`. Several gateways can run in one process, on the real reactor or a virtual clock.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

from ochrecourse.common.client_input import InputCheck
from ochrecourse.common.event_loop_lag import NEGLIGIBLE_LAG, EventLoopLag
from ochrecourse.common.request_records import RequestOutcome, RequestRecord
from ochrecourse.common.requests import BadRequestError, Request, ResponseHandler
from ochrecourse.common.runtime import Clock, Timer, now_ns, stop
from ochrecourse.common.time_units import SECOND
from ochrecourse.gateway.graceful_shutdown import ShutdownStage
from ochrecourse.gateway.input_catch_up import ITERATIONS_BEHIND, InputCatchUp
from ochrecourse.gateway.request_executor import InFlightRequest, RequestExecutor
from ochrecourse.gateway.settings_index import SettingsIndex, dial_timeout, max_open_requests, pool_limits
from ochrecourse.interface import Attempt, SchedulerApi, Health, ListCall, ListKind, NodeEntry, Reply
from ochrecourse.nodes.dial_manager import DialSettings
from ochrecourse.nodes.dispatcher import Dispatcher, DispatcherSettings, NodeNetwork, OpenConnection
from ochrecourse.nodes.outcome import WriteProgress
from ochrecourse.nodes.pool import PoolLimits
from ochrecourse.scheduler.scheduler import Scheduler

# A dial is slow after this fraction of the shortest latency objective, which leaves time for a second dial.
SLOW_DIAL_FRACTION = 0.1
SHUTDOWN_CHECK_DELAY = 0.001  # s after the last deadline, so that the timers of that deadline have fired


class RequestObserver(Protocol):
    """Is notified of each finished request."""

    def request_finished(self, gateway: Gateway, record: RequestRecord) -> None:
        """A request has its outcome and no attempt in flight; its record is final."""


class Gateway(RequestExecutor):
    """The gateway of one host. `values` is the flat map of settings that the scheduler reads, which also has
    the connection limits.
    """

    def __init__(  # noqa: PLR0913 (programs of library surface 1 call it so)
        self,
        values: Mapping[str, str],
        seed: int,
        clock: Clock,
        open_connection: OpenConnection,
        name: str,
        travel: int = 0,
        observers: Sequence[RequestObserver] = (),
        decisions: Callable[[Mapping[str, str], int, int], SchedulerApi] = Scheduler,
        limits: PoolLimits | None = None,
        unread_since: Callable[[], int] | None = None,
    ) -> None:
        """`travel`: transit time of a response to its client, in ns; `decisions`: creates the scheduler;
        `limits`: connection limits that override those in `values`; `unread_since`: returns the clock time,
        in ns, since when input may be unread, if the event loop knows it (common/event_loop.py).
        """
        self.name = name
        self.travel = travel
        self.observers = observers
        self.max_open = max_open_requests(values)
        self.addresses: dict[int, tuple[str, int]] = {}
        index = SettingsIndex(values)
        slow_dial = min(index.latency_objectives, default=SECOND) * SLOW_DIAL_FRACTION / SECOND
        dispatcher = Dispatcher(
            name,
            clock,
            DispatcherSettings(limits or pool_limits(values), DialSettings(dial_timeout(values), slow_dial)),
            NodeNetwork(self.addresses.get, open_connection),
            self._iterations_behind,
        )
        scheduler = decisions(values, seed, now_ns(clock))
        super().__init__(clock, f"{name}/{seed & 0xFFFFFFFF:08x}", index, dispatcher, scheduler)
        self.event_loop_lag = EventLoopLag()
        self.list_wanted = False  # whether the scheduler requested the endpoint list
        self.on_list_wanted: Callable[[], None] | None = None
        self.entries: dict[int, NodeEntry] = {}
        self.rejected_on_arrival = 0
        self.shutdown_deadline = 0  # clock time (ns) by which all requests must be answered; 0: none
        self._last_request_id = 0
        self._deciding = False
        self._catch_up = InputCatchUp(clock, self.event_loop_lag, unread_since, self._decide)
        self._timer: Timer | None = None
        self._due = 0  # clock time (ns) of the timer

    def use_clock(self, clock: Clock) -> None:
        """Replaces the clock by one that shows the same time."""
        self.clock = clock
        self._catch_up.clock = clock

    # --- reported events ---

    def endpoint_list_received(
        self, kind: ListKind, entries: Sequence[NodeEntry], addresses: Mapping[int, tuple[str, int]]
    ) -> None:
        """Applies an endpoint list or a change to it; start times of nodes are on this host's clock."""
        if kind in (ListKind.FULL, ListKind.CACHED):
            self.entries.clear()
        self.entries.update({entry.node: entry for entry in entries})
        ready = (each.shard for each in self.entries.values() if each.health is Health.READY)
        self.ready_nodes_by_shard = Counter(ready)
        self.addresses.update(addresses)
        self.scheduler.list_received(kind, entries, now_ns(self.clock))
        # An attempt that waits for a connection must not be written to a node that has drained meanwhile.
        self.nodes.cancel_waiting(self._is_ready)
        self._pull()

    def _is_ready(self, node: int) -> bool:
        entry = self.entries.get(node)
        return entry is not None and entry.health is Health.READY

    def node_rates_received(self, rates: Mapping[int, float]) -> None:
        """Applies the fleet's limits in units per second by node; nodes not in `rates` have no limit."""
        self.scheduler.node_rates_received(rates, now_ns(self.clock))
        self._pull()

    def submit(
        self, request: Request, handler: ResponseHandler, client_input: InputCheck | None = None
    ) -> int:
        """Accepts a request and returns its id; the handler may be called before this returns.

        `client_input`: tells, if the client's protocol can, what is known of a close that is not read yet.
        Raises BadRequestError.
        """
        request_class = self.settings_index.classes.get(request.request_class)
        tenant = self.settings_index.tenants.get(request.tenant)
        if request_class is None:
            raise BadRequestError("unknown_product", f"there is no product {request.request_class!r}")
        if tenant is None:
            raise BadRequestError("unknown_plan", f"there is no plan {request.tenant!r}")
        if not 0 < request.units < 1e9 or not 0 < request.timeout < 1e15 or not 1 <= request.gateways < 1e6:
            raise BadRequestError("bad_figure", "units, timeout and gateways must be above 0")
        now = now_ns(self.clock)
        deadline = self.event_loop_lag.earliest_arrival(request.read_at) + request.timeout - self.travel
        if self.shutdown_deadline:
            deadline = min(deadline, self.shutdown_deadline)
        if deadline <= now:
            raise BadRequestError("late_body", "its client's time was over before it was whole here")
        request_id = self.next_request_id()
        self._last_request_id = request_id
        if not self.shutdown.accepts_requests() or self.request_log.open >= self.max_open:
            self.rejected_on_arrival += 1
            if request.body is not None:
                request.body.close()
            handler.rejected(request_id, 0)
            return request_id
        record = RequestRecord(
            request_id, request_class, tenant, request.volume, request.units, now, deadline,
            deadline + self.travel // 2, request.trace
        )  # fmt: skip
        self.request_log.add(record)
        self.in_flight[request_id] = InFlightRequest(request, handler, record, client_input)
        if self.object_cache is not None:
            write = self.settings_index.writes[request_class]
            cache_handler = self.object_cache.request_received(request_id, request, write, deadline, handler)
            if cache_handler is None:
                return request_id
            self.in_flight[request_id].handler = cache_handler
        self._submit_to_scheduler(record, request, now)
        return request_id

    def next_request_id(self) -> int:
        """Returns the id of the next request, whose response may be delivered before `submit` returns."""
        return self._last_request_id + 1

    def may_have_run(self, request_id: int) -> bool:
        """Whether an attempt of an open request was, or may have been, written to a node."""
        in_flight = self.in_flight.get(request_id)
        if in_flight is None:
            return False
        attempt = in_flight.attempt
        if attempt is not None and attempt.write_progress() is not WriteProgress.NOTHING:
            return True
        return len(in_flight.record.attempts) > (attempt is not None)

    def cancel(self, request_id: int) -> None:
        """Cancels a request whose client no longer waits."""
        unsent = self.object_cache is not None and self.object_cache.request_cancelled(request_id)
        if self.request_log.settle(request_id, RequestOutcome.CLIENT_CLOSED, now_ns(self.clock)) is not None:
            if not unsent:
                self.scheduler.request_cancelled(request_id)
            cancelled = self.in_flight[request_id]
            if (
                cancelled.attempt is not None
                and cancelled.attempt.write_progress() is not WriteProgress.COMPLETE
            ):
                self.nodes.cancel(cancelled.attempt)  # an incomplete attempt is never executed
            self._finish(cancelled)
            self._pull()
        elif unsent:
            self._finish(self.in_flight[request_id])
        elif self.object_cache is not None and self.object_cache.wants_response(request_id):
            pass  # other requests read the same response
        elif (answered := self.in_flight.get(request_id)) is not None and answered.attempt is not None:
            # The response had begun and its rest is not needed: this is not a failure of the request.
            answered.response_bytes_left = 0
            self.nodes.cancel(answered.attempt)

    def cancel_all(self, request_ids: Sequence[int]) -> None:
        """Cancels several requests of a client. None of them is forwarded when another's cancel frees
        capacity.
        """
        deciding, self._deciding = self._deciding, True
        try:
            for request_id in request_ids:
                self.cancel(request_id)
        finally:
            self._deciding = deciding
        self._pull()

    def response_consumed(self, request_id: int, size: int) -> None:
        """Grants the node window for `size` more bytes of a response that the client has received."""
        if self.object_cache is None or not self.object_cache.response_consumed(request_id, size):
            self.grant_credit(request_id, size)

    def limit_deadlines(self, shutdown_deadline: int) -> None:
        """Answers all requests, those in flight and later ones, by a clock time (ns): the process may be
        killed afterwards, and replies in the order of a connection wait for those ahead.
        """
        self.shutdown_deadline = shutdown_deadline
        self.request_log.limit_deadlines(shutdown_deadline, shutdown_deadline + self.travel // 2)
        self.nodes.limit_deadlines(shutdown_deadline)
        self.scheduler.deadlines_limited(shutdown_deadline, now_ns(self.clock))
        self._pull()

    def drain(self) -> None:
        """Rejects new requests and calls `on_drained` when all requests in flight are finished."""
        now = now_ns(self.clock)
        if self.shutdown.begin(now, self.request_log.latest_answer_at()):
            wait = max(0, self.shutdown.finish_by - now) / SECOND + SHUTDOWN_CHECK_DELAY
            self.clock.callLater(wait, self._check_drained)
            self._check_drained()

    def stop(self) -> None:
        """Stops at once like a kill, but closes connections and timers."""
        self.shutdown.stage = ShutdownStage.LEFT
        stop(self._timer)
        self._timer = None
        self.nodes.close()

    # --- the timer and decisions ---

    def _pull(self) -> None:
        """Executes decisions until there are none, including those that follow from events meanwhile."""
        if self._deciding or self._catch_up.iterations_left:
            return
        if self._catch_up.input_is_unread():
            self._catch_up.wait(ITERATIONS_BEHIND + 1)  # the rest of this iteration is read first
            return
        self._decide()

    def _decide(self) -> None:
        if self._timer_is_overdue() or self.shutdown.stage is ShutdownStage.LEFT:
            return
        self._deciding = True
        try:
            while (decision := self.scheduler.decide(now := now_ns(self.clock))) is not None:
                if isinstance(decision, Attempt):
                    self._send(decision, now)
                elif isinstance(decision, Reply):
                    self._reply(decision, now)
                elif decision is ListCall.FOLLOW:
                    self.list_wanted = True
                    if self.on_list_wanted is not None:
                        self.on_list_wanted()
        finally:
            self._deciding = False
        due = self.scheduler.next_due()
        if self._timer is None or due < self._due:
            if self._timer is not None:
                self._timer.cancel()
            self._due = max(due, now)
            self._timer = self.clock.callLater((self._due - now) / SECOND, self._timer_fired)

    def _iterations_behind(self) -> int:
        """Returns the number of event loop iterations until all unread input is reported; 0 if it is."""
        if self._catch_up.iterations_left:
            return self._catch_up.iterations_left
        behind = self._catch_up.input_is_unread() or self._timer_is_overdue()
        return ITERATIONS_BEHIND + 1 if behind else 0

    def _timer_is_overdue(self) -> bool:
        """Whether the timer is late because of a long iteration; it then waits for unread input itself."""
        return self._timer is not None and now_ns(self.clock) - self._due > NEGLIGIBLE_LAG

    def _timer_fired(self) -> None:
        self._timer = None
        if self.event_loop_lag.timer_fired(self._due, now_ns(self.clock)):
            # Avoids forwarding a request whose client has closed while the close is not read yet.
            self._catch_up.wait(ITERATIONS_BEHIND)
            return
        self._pull()

    def _finish(self, in_flight: InFlightRequest) -> None:
        """Removes a request that has its outcome and no attempt in flight, and notifies observers."""
        record = in_flight.record
        if self.request_log.remove_finished(record):
            del self.in_flight[record.number]
            if in_flight.request.body is not None:
                in_flight.request.body.close()
            if self.object_cache is not None:
                certain = record.outcome in (RequestOutcome.SERVED, RequestOutcome.REJECTED)
                self.object_cache.request_finished(record.number, certain)
            for observer in self.observers:
                observer.request_finished(self, record)
            self._check_drained()

    def _check_drained(self) -> None:
        if self.shutdown.check_finished(now_ns(self.clock), self.request_log.open, len(self.in_flight)):
            self.stop()
            for notify in self.on_drained:
                notify()
