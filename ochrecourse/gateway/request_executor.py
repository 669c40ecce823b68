"""Executes a scheduler's decisions about requests: sends attempts, and gives each request one final response.

Performs no I/O: the clock and the dispatcher are injected.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Callable

from ochrecourse import interface
from ochrecourse.common.client_input import InputCheck
from ochrecourse.common.object_cache import ObjectCache
from ochrecourse.common.request_records import AttemptRecord, RequestOutcome, RequestRecord
from ochrecourse.common.requests import Request, ResponseHandler
from ochrecourse.common.runtime import Clock, now_ns
from ochrecourse.common.time_units import MS
from ochrecourse.gateway.graceful_shutdown import GracefulShutdown
from ochrecourse.gateway.request_log import RequestLog
from ochrecourse.gateway.settings_index import SettingsIndex
from ochrecourse.interface import Attempt, AttemptEnd, SchedulerApi, Outcome, Reply
from ochrecourse.nodes.dispatcher import Dispatcher
from ochrecourse.nodes.outgoing_attempt import AttemptLimits, OutgoingAttempt
from ochrecourse.nodes.health import NodeHealth
from ochrecourse.nodes.outcome import VERDICTS, AttemptEvent
from ochrecourse.wire import messages as m


class InFlightRequest:
    """The state of a request from its submission until it is finished."""

    __slots__ = (
        "attempt",
        "client_input",
        "handler",
        "record",
        "request",
        "response_began_at",
        "response_bytes_left",
    )

    def __init__(
        self,
        request: Request,
        handler: ResponseHandler,
        record: RequestRecord,
        client_input: InputCheck | None = None,
    ) -> None:
        self.request = request
        self.handler = handler
        self.record = record
        self.client_input = client_input
        self.attempt: OutgoingAttempt | None = None
        self.response_bytes_left = 0
        self.response_began_at = 0  # ns, when the response of the current attempt began to stream; 0 before


class RequestExecutor(ABC):
    """The unfinished requests of one host, and the execution of decisions about them.

    `Gateway` (gateway.py) submits and cancels requests and pulls the scheduler's decisions.
    """

    def __init__(
        self,
        clock: Clock,
        idempotency_prefix: str,
        settings_index: SettingsIndex,
        nodes: Dispatcher,
        scheduler: SchedulerApi,
    ) -> None:
        """`idempotency_prefix`: of idempotency keys, unique to this incarnation among all gateways."""
        self.clock = clock
        self.idempotency_prefix = idempotency_prefix
        self.settings_index = settings_index
        self.nodes = nodes
        self.scheduler = scheduler
        self.request_log = RequestLog()
        self.shutdown = GracefulShutdown()
        self.in_flight: dict[int, InFlightRequest] = {}
        self.on_drained: list[Callable[[], None]] = []  # called when the graceful shutdown is complete
        # Called with each attempt that has ended.
        self.attempt_observers: list[Callable[[RequestRecord, AttemptRecord], None]] = []
        self.ready_nodes_by_shard: Counter[int] = Counter()
        self.node_health = NodeHealth()
        self.object_cache: ObjectCache | None = None

    @abstractmethod
    def _pull(self) -> None:
        """Executes the scheduler's pending decisions."""

    @abstractmethod
    def _finish(self, in_flight: InFlightRequest) -> None:
        """Removes a request that has its outcome and no attempt in flight."""

    # --- scheduler ---

    def _submit_to_scheduler(self, record: RequestRecord, request: Request, now: int) -> None:
        scheduled = interface.Request(
            record.number, record.request_class, record.tenant, request.volume, request.key, request.units,
            request.shard, request.gateways, record.deadline
        )  # fmt: skip
        self.scheduler.request_received(scheduled, now)
        self._pull()

    def _send(self, decision: Attempt, now: int) -> None:
        request_id = decision.request_id
        record = self.request_log.attempt_sent(request_id, decision.number, decision.node, now)
        if record is None:
            return
        in_flight = self.in_flight[request_id]
        request, class_number, index = in_flight.request, record.request_class, self.settings_index
        self.node_health.attempt_sent(decision.node, now)
        time_left = record.deadline - now
        timeout = min(decision.time_out, time_left) if decision.time_out else time_left
        message = m.SendAttempt(
            id=0,
            idempotency_key=f"{self.idempotency_prefix}/{request_id}",
            request_class=request.request_class,
            volume=request.volume,
            key=request.key,
            units=request.units,
            shard=request.shard,
            number=decision.number,
            write=index.writes[class_number],
            idempotency=index.idempotency[class_number],
            idempotency_window_ms=index.idempotency_windows_ms[class_number],
            timeout_ms=round(timeout / MS, 3),
            size=request.body.size if request.body else 0,
            trace=request.trace,
        )
        stall = record.deadline - record.received_at
        # If only one node stores the data, a connection that opens within the latency objective is worth the
        # wait. Any other request is retried at another node after the dial time-out of the settings.
        is_only_holder = request.shard >= 0 and self.ready_nodes_by_shard[request.shard] <= 1
        wait = record.received_at + index.latency_objectives[class_number] - now if is_only_holder else None
        attempt = OutgoingAttempt(request_id, decision.node, message, request.body, self)
        attempt.client_input = in_flight.client_input
        limits = AttemptLimits(timeout, stall, wait, decision.write_before)
        in_flight.attempt = self.nodes.send(attempt, limits)

    def _reply(self, decision: Reply, now: int) -> None:
        rejected = decision.outcome is Outcome.REJECTED
        outcome = RequestOutcome.REJECTED if rejected else RequestOutcome.FAILED
        record = self.request_log.settle(decision.request_id, outcome, now)
        in_flight = self.in_flight.get(decision.request_id)
        if in_flight is None:
            return
        if record is not None and rejected:
            in_flight.handler.rejected(decision.request_id, decision.retry_after)
        elif record is not None:
            in_flight.handler.failed(decision.request_id)
        self._finish(in_flight)

    def grant_credit(self, request_id: int, size: int) -> None:
        """Grants the node window for `size` more bytes of a request's response."""
        in_flight = self.in_flight.get(request_id)
        if in_flight is not None and in_flight.attempt is not None:
            self.nodes.response_consumed(in_flight.attempt, size)

    # --- for the object cache, if there is one (common.object_cache.CachingGateway) ---

    def answer_from_cache(self, request_id: int) -> bool:
        """Records that a request is served without an attempt; returns False if it is too late."""
        return self.request_log.settle(request_id, RequestOutcome.SERVED, now_ns(self.clock)) is not None

    def forward(self, request_id: int, handler: ResponseHandler) -> None:
        """Forwards a request that waited for another's response; its own response goes to `handler`."""
        in_flight = self.in_flight[request_id]
        in_flight.handler = handler
        self._submit_to_scheduler(in_flight.record, in_flight.request, now_ns(self.clock))

    def finish_cached(self, request_id: int, complete: bool) -> None:
        """Finishes a request that needed no attempt; `complete`: its whole response was delivered."""
        in_flight = self.in_flight[request_id]
        if not complete:
            self.request_log.response_aborted(in_flight.record)
        self._finish(in_flight)

    # --- nodes (nodes.outgoing_attempt.AttemptListener) ---

    def attempt_written(self, attempt: OutgoingAttempt) -> None:
        """Reports to the scheduler that an attempt is being written."""
        self.scheduler.attempt_written(attempt.request_id, now_ns(self.clock))

    def response_began(self, attempt: OutgoingAttempt, answer: m.AttemptServed) -> None:
        """Records that a response began, and begins the response to the client."""
        in_flight = self.in_flight[attempt.request_id]
        request_id = in_flight.record.number
        if answer.size > answer.body:
            in_flight.record.streaming = True
            in_flight.response_began_at = now_ns(self.clock)
            self.scheduler.stream_began(request_id)
        if self.request_log.settle(request_id, RequestOutcome.SERVED, now_ns(self.clock)) is not None:
            in_flight.response_bytes_left = answer.size
            in_flight.handler.served(request_id, answer.size, answer.shard)

    def response_data(self, attempt: OutgoingAttempt, data: bytes) -> None:
        """Passes more of a response's body to the client."""
        in_flight = self.in_flight[attempt.request_id]
        if in_flight.record.outcome is RequestOutcome.SERVED:
            in_flight.response_bytes_left -= len(data)
            in_flight.handler.body_chunk(in_flight.record.number, data)
        else:
            self.nodes.response_consumed(attempt, len(data))  # discarded: let the node finish

    def attempt_ended(
        self, attempt: OutgoingAttempt, event: AttemptEvent, answer: m.AnyMessage | None
    ) -> None:
        """Records the end of an attempt and reports it to the scheduler."""
        request_id = attempt.request_id
        in_flight = self.in_flight[request_id]
        ending = VERDICTS[event].ending
        now = now_ns(self.clock)
        if event is AttemptEvent.CLIENT_CLOSED:
            self.request_log.settle(request_id, RequestOutcome.CLIENT_CLOSED, now)
        number = attempt.message.number
        record, attempt_record = self.request_log.attempt_ended(request_id, number, ending, event.value, now)
        for observe in self.attempt_observers:
            observe(record, attempt_record)
        self.node_health.attempt_ended(attempt.node, ending)
        in_flight.attempt = None
        began_at, in_flight.response_began_at = in_flight.response_began_at, 0
        if in_flight.response_bytes_left and event is not AttemptEvent.SERVED:
            in_flight.response_bytes_left = 0
            self.request_log.response_aborted(record)
            in_flight.handler.aborted(request_id)
        reply = answer if isinstance(answer, m.NodeReply) else None
        end = AttemptEnd(
            request_id=request_id,
            number=number,
            node=attempt.node,
            ending=ending,
            # Excludes what does not depend on the node: the wait for a connection, and the time to stream a
            # response, which depends on how fast the client reads.
            took=(began_at or now) - (attempt.assigned_at or attempt.sent_at),
            last=record.outcome is not None,
            volume_used=reply.volume_used if reply else -1.0,
            elsewhere=reply.elsewhere if reply else 0,
            load=reply.load if reply else {},
        )
        self.scheduler.attempt_ended(end, now)
        self._finish(in_flight)
        self._pull()
