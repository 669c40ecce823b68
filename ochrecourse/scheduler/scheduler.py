"""Every decision of the gateway: which waiting request leaves next and where to, which is rejected or failed.

Make one `Scheduler`, report what is seen, which only updates what is known, then call `decide` until it
returns None; come back at `next_due`. Types and calls are in interface.py, the mechanism in docs/design.md.

This module has no rule of its own: it takes reports, asks the rules beside it and runs timers. All times
are whole nanoseconds on the gateway's clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping, Sequence

from ochrecourse.common.time_units import SECOND
from ochrecourse.interface import (
    Attempt,
    AttemptEnd,
    Ending,
    Health,
    ListCall,
    ListKind,
    NodeEntry,
    Reply,
    Request,
)
from ochrecourse.scheduler import concurrency, fair_queue, timers
from ochrecourse.scheduler.admission import Admission
from ochrecourse.scheduler.chance import Chance
from ochrecourse.scheduler.endpoints import POLL_PAUSE, Endpoints
from ochrecourse.scheduler.evacuation import NodeRates, RateChange
from ochrecourse.scheduler.fair_queue import FairQueue
from ochrecourse.scheduler.key_order import KeyOrder
from ochrecourse.scheduler.latency import ENDED_BY_GATEWAY, LatencyEstimator
from ochrecourse.scheduler.placement import Placement, enter_rotation
from ochrecourse.scheduler.rate_limits import Volume
from ochrecourse.scheduler.retries import MAY_STILL_RUN, RetryPolicy
from ochrecourse.scheduler.settings import Idempotency, SchedulerSettings
from ochrecourse.scheduler.slow_start import SlowStart
from ochrecourse.scheduler.state import Flow, Node, PendingRequest, QueueHead
from ochrecourse.scheduler.timers import NEVER, TimerQueue

IDLE_WAKE = SECOND  # ns until the scheduler wants to be asked again when no timer is set


class Scheduler:
    """The decisions of one gateway.

    `values`: the settings as a map of names to texts, which is not to change any more. `seed`: of chance.
    `now`: clock time of the gateway's start, ns. Raises `MissingSettingError` for a missing or senseless
    value; `request_received` and `decide` raise it too, for values that only some requests need.
    """

    def __init__(self, values: Mapping[str, str], seed: int, now: int) -> None:
        settings = self.settings = SchedulerSettings(values)
        self._answer_margin = settings.safety.answer_margin
        self._now = now
        self._started_at = now
        self.chance = Chance(seed)
        self._timers = TimerQueue()
        self.latency = LatencyEstimator(settings, now)
        self.slow_start = SlowStart(settings, self.chance, now)
        self.node_rates = NodeRates(settings, self.chance)
        self.admission = Admission(settings, self.chance)
        self.retries = RetryPolicy(settings, self.chance)
        self.placement = Placement(settings, self.slow_start, self.node_rates, self.latency, self.admission)
        self.key_order = KeyOrder(settings.safety.key_settle_span, self._timers)
        self.fair_queue = FairQueue()
        self.endpoints = Endpoints(settings.polls_endpoints)
        self.nodes = self.endpoints.nodes
        self.volumes: dict[int, Volume] = {}
        self.requests: dict[int, PendingRequest] = {}
        self._review: deque[PendingRequest] = deque()  # requests to decide about

    # --- reports ---

    def list_received(self, kind: ListKind, entries: Sequence[NodeEntry], now: int) -> None:
        """Service discovery sent a list of nodes, or failed to."""
        self._now = now
        if kind is ListKind.FAILED:
            self._timers.add(now + POLL_PAUSE, timers.PollEndpoints())
            return
        for node in self.endpoints.unlisted(kind, entries):
            self._node_left(node, Health.GONE)
        for entry in entries:
            self._entry_received(entry)

    def _entry_received(self, entry: NodeEntry) -> None:
        node = self.nodes.get(entry.node)
        if node is None:
            node = self.endpoints.add(entry)
            self._apply_rate(node)
            enter_rotation(node, self.chance)
        if entry.health is not Health.READY:
            self._node_left(node, entry.health)
            return
        if self.slow_start.begin_if_started(node, entry, self._now):
            self._review.extend(fair_queue.empty_queues(node))
        node.health = Health.READY
        node.started_at = entry.started
        self.fair_queue.touch(node)

    def request_received(self, request: Request, now: int) -> None:
        """A client sent a request. Raises `MissingSettingError` for a senseless value of its tenant."""
        self._now = now
        request.units = request.units or 1.0  # an unknown size counts as one
        volume = self.volumes.get(request.volume)
        if volume is None:
            tenant = self.settings.tenant(request.tenant)
            volume = self.volumes[request.volume] = Volume(tenant, request.gateways, self._started_at)
        request_class = self.settings.request_classes[request.request_class]
        pace = self.latency.paces[request.request_class]
        pending = self.requests[request.id] = PendingRequest(request, request_class, pace, volume, now)
        self.retries.request_received(now)
        if pending.has_turn:
            self._review.append(pending)
        else:
            self.key_order.add(pending)
            self._advance_key(request.key)
        self._timers.add(pending.serve_by - self._answer_margin, timers.ReviewRequest(pending))

    def attempt_written(self, request_id: int, now: int) -> None:
        """The attempt that is out was handed to a connection: from now on it may run."""
        self._now = now
        pending = self.requests.get(request_id)
        if pending and pending.attempt_out:
            pending.sent_at = now
            pending.release_drawn()

    def attempt_ended(self, end: AttemptEnd, now: int) -> None:
        """An attempt that is out ended; others are passed over."""
        self._now = now
        pending = self.requests.get(end.request_id)
        node = self.nodes.get(end.node)
        if pending is None or node is None or not pending.attempt_out:
            return
        ending = end.ending
        served = ending is Ending.SERVED
        pending.attempt_out = False
        self.latency.ease(node, now)
        self._attempt_over(pending)
        pending.volume.answered(pending.request.units if served else 0.0, end.volume_used, now)
        # Guards against taking this side's doing for the node's: a client that left, no connection free.
        if ending not in ENDED_BY_GATEWAY:
            self._learn(node, pending, end)
        if served:
            self.slow_start.answered(node, pending.request.units, now)
        pending.over = pending.over or end.last
        self.retries.attempt_ended(pending, node, ending, now)
        if ending in MAY_STILL_RUN and pending.in_key_order:
            self.key_order.rest(pending.request.key, now)
        self._review.append(pending)

    def _learn(self, node: Node, pending: PendingRequest, end: AttemptEnd) -> None:
        overloaded = self.latency.learn(node, pending, end, self._now)
        if overloaded:
            self._shrink_window(pending)
        elif end.ending is Ending.SERVED:
            concurrency.grow_window(node)

    def node_rates_received(self, rates: Mapping[int, float], now: int) -> None:
        """Units a second that this gateway may begin at each node named, in place of what was said before."""
        self._now = now
        self.node_rates.received(rates)
        for node in self.nodes.values():
            self._apply_rate(node)

    def stream_began(self, request_id: int) -> None:
        """The answer of the attempt that is out has begun to reach the client."""
        pending = self.requests.get(request_id)
        if pending:
            pending.streaming = True
            # Guards against slow readers who hold a node's places: its own work is done.
            self._attempt_over(pending)

    def request_cancelled(self, request_id: int) -> None:
        """The client no longer waits."""
        pending = self.requests.get(request_id)
        if pending:
            pending.over = True
            self._review.append(pending)

    # --- decisions ---

    def decide(self, now: int) -> Attempt | Reply | ListCall | None:
        """The next thing to do, or None. Raises `MissingSettingError` for a value first needed now."""
        self._now = now
        while True:
            while (timer := self._timers.pop_due(now)) is not None:
                self._run_timer(timer)
            if self.endpoints.polls_due:
                return self.endpoints.polls_due.popleft()
            while self._review:
                reply = self._review_request(self._review.popleft())
                if reply:
                    return reply
            touched = self.fair_queue.touched
            while touched:
                node = self.nodes[next(iter(touched))]
                attempt = self._next_attempt(node)
                if attempt:
                    return attempt
                del touched[node.id]
            if not self._review:
                return None

    def next_due(self) -> int:
        """Clock time by which `decide` is to be called again."""
        at = self._timers.next_at()
        return self._now + IDLE_WAKE if at is None else at

    def _run_timer(self, timer: timers.Timer) -> None:
        if isinstance(timer, timers.ReviewRequest):
            self._review.append(timer.pending)
        elif isinstance(timer, timers.GiveUpAttempt):
            self._give_up(timer.pending, timer.attempt)
        elif isinstance(timer, timers.ListFlow):
            self.fair_queue.list_flow(timer.node, timer.volume_id)
        elif isinstance(timer, timers.AdvanceKey):
            self._advance_key(timer.key)
        else:
            self.endpoints.poll()

    def _give_up(self, pending: PendingRequest, attempt: int) -> None:
        # Guards against attempts that are never answered: they stop counting, the window shrinks.
        if pending.counted_at_node and pending.attempts == attempt:
            self._shrink_window(pending)
            self._attempt_over(pending)

    def _shrink_window(self, pending: PendingRequest) -> None:
        if pending.node is not None:
            concurrency.shrink_window(pending.node, pending.sent_at, self._now)

    def _review_request(self, pending: PendingRequest) -> Reply | None:
        """Answers a request that can't be served in time any more; has another wait at its node."""
        if pending.over:
            fair_queue.dequeue(pending)
            self._close(pending)
            return None
        if pending.attempt_out or pending.streaming:
            return None
        now = self._now
        left = pending.serve_by - now - self._answer_margin
        if left <= 0 or pending.not_before - now >= left:
            return self._reply(pending)
        if pending.attempts and not self.retries.allows(pending, now):
            return self._reply(pending)
        if not pending.has_turn:
            return None
        if now < pending.not_before:
            self._timers.add(pending.not_before, timers.ReviewRequest(pending))
            return None
        return self._wait_at_node(pending, left)

    def _wait_at_node(self, pending: PendingRequest, left: int) -> Reply | None:
        """Has a request wait, or go on waiting, at a node; `left`: ns within which it has to be answered."""
        now = self._now
        node = pending.node if pending.waiting else self.placement.place(pending, self.nodes, now)
        if node is None:
            return self._reply(pending, pending.capacity_wait)
        self.latency.ease(node, now)
        needed = self.latency.expected_time(pending, node)
        if not self.admission.admits(pending, node, needed, left, now):
            return self._reply(pending)
        if not pending.waiting:
            self._enqueue(pending, node)
        give_up_at = pending.serve_by - self._answer_margin - needed + 1
        self._timers.add(give_up_at, timers.ReviewRequest(pending))
        return None

    def _enqueue(self, pending: PendingRequest, node: Node) -> None:
        flow = node.flows.get(pending.request.volume)
        if flow is None:
            flow = concurrency.add_flow(node, pending)
            for volume_id in node.flows:
                self.fair_queue.list_flow(node, volume_id)
        concurrency.score_run(flow, pending.request.key, self._now)
        self.fair_queue.enqueue(pending, node, flow)

    def _reply(self, pending: PendingRequest, capacity_wait: int = 0) -> Reply:
        pending.over = True
        fair_queue.dequeue(pending)
        self._close(pending)
        return self.admission.reply(pending, capacity_wait)

    def _close(self, pending: PendingRequest) -> None:
        """Lets a request that is over go."""
        if not pending.attempt_out:
            self.requests.pop(pending.request.id, None)
            pending.release_drawn()
        if pending.in_key_order:
            self._advance_key(pending.request.key)

    def _advance_key(self, key: int) -> None:
        pending = self.key_order.advance(key, self._now)
        if pending:
            self._review.append(pending)

    # --- attempts ---

    def _next_attempt(self, node: Node) -> Attempt | None:
        """Sends the waiting request whose turn it is at a node, as far as the rules let it."""
        if node.health is not Health.READY:
            return None
        now = self._now
        heads = node.queue_heads
        while heads and (not node.outstanding or node.outstanding + 1 <= concurrency.request_limit(node)):
            head = heads[0]
            flow = node.flows.get(head.volume_id)
            pending = self._first_waiting(flow, head.rank) if flow else None
            if flow and pending and flow.outstanding < flow.bound:
                units = pending.request.units
                wait = max(self.slow_start.wait(node, now), self.node_rates.wait(node, units, now))
                if wait:
                    if wait < NEVER:
                        self._list_later(node, head.volume_id, wait)
                    return None
                wait = 0 if pending.attempts else pending.volume.limit_wait(units, now)
                if not wait:
                    fair_queue.unlist(node, flow)
                    flow.queues[head.rank].popleft()
                    return self._send(node, flow, head, pending)
                self._list_later(node, head.volume_id, wait)
            fair_queue.unlist(node, flow)
            concurrency.forget_idle_flow(node, head.volume_id)
        return None

    def _first_waiting(self, flow: Flow, rank: int) -> PendingRequest | None:
        """The first request of a queue that still waits and may leave; those before it are passed over."""
        queue = flow.queues[rank]
        while queue:
            pending = queue[0]
            if pending.waiting:
                # Guards against retries that were allowed when they were queued but no longer are.
                if not pending.attempts or self.retries.allows(pending, self._now):
                    return pending
                fair_queue.dequeue(pending)
                self._review.append(pending)
            queue.popleft()
        return None

    def _list_later(self, node: Node, volume_id: int, wait: int) -> None:
        self._timers.add(self._now + wait, timers.ListFlow(node, volume_id))

    def _send(self, node: Node, flow: Flow, head: QueueHead, pending: PendingRequest) -> Attempt:
        now = self._now
        request = pending.request
        fair_queue.dequeue(pending)
        fair_queue.advance(node, flow, head, request.units)
        if pending.attempts:
            self.retries.retry_sent(now)
        else:
            pending.draw_limit()
        concurrency.attempt_sent(node, flow, request.volume, request.units)
        self.slow_start.attempt_sent(node, request.units, now)
        self.node_rates.attempt_sent(node, request.units, now)
        self.fair_queue.list_flow(node, request.volume)
        pending.attempt_out = True
        pending.counted_at_node = True
        pending.sent_at = now
        pending.node = node
        pending.attempts += 1
        time_out = self._watch_attempt(pending, node)
        write_before = self.retries.write_before(pending)
        return Attempt(request.id, pending.attempts - 1, node.id, time_out, write_before)

    def _watch_attempt(self, pending: PendingRequest, node: Node) -> int:
        """Sets the timer that gives an attempt up; returns its time-out in ns, 0 for the client's."""
        retried_soon = self.latency.is_retried_soon(pending)
        patience = self.latency.patience(pending, node, retried_soon)
        self._timers.add(self._now + patience, timers.GiveUpAttempt(pending, pending.attempts))
        harmless = pending.request_class.idempotency is Idempotency.ALWAYS
        return patience if retried_soon or harmless else 0

    def _attempt_over(self, pending: PendingRequest) -> None:
        """An attempt no longer counts as outstanding at its node."""
        node = pending.node
        if node is None or not pending.counted_at_node:
            return
        pending.counted_at_node = False
        volume_id = pending.request.volume
        concurrency.attempt_over(node, node.flows[volume_id], pending.request.units)
        self.fair_queue.list_flow(node, volume_id)
        concurrency.forget_idle_flow(node, volume_id)

    # --- nodes ---

    def _node_left(self, node: Node, health: Health) -> None:
        """Nothing new goes to a node that drains or is gone; what waits there is looked at again."""
        node.health = health
        self._review.extend(fair_queue.empty_queues(node))
        concurrency.forget_sends(node)

    def _apply_rate(self, node: Node) -> None:
        change = self.node_rates.apply(node, self._now)
        if change is RateChange.NONE:
            return
        self.fair_queue.touch(node)
        if change is RateChange.LOWERED:
            self._review.extend(fair_queue.empty_queues(node))
