"""The scheduler of a gateway: which request is sent next and to which node, and which is rejected or failed.

Create one `Scheduler` and report events to it, which only updates its state. Then call `decide` until it
returns None, and again at `next_due`. Types and methods are described in interface.py, the mechanism in
docs/design.md.

This module contains no policy: it receives events, runs timers and applies the policies of the other modules
of this package. All times are integer nanoseconds on the gateway's clock.
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
from ochrecourse.scheduler.endpoints import POLL_PAUSE, Endpoints
from ochrecourse.scheduler.evacuation import NodeRates, RateChange
from ochrecourse.scheduler.fair_queue import FairQueue
from ochrecourse.scheduler.key_order import KeyOrder
from ochrecourse.scheduler.latency import ENDED_BY_GATEWAY, LatencyEstimator
from ochrecourse.scheduler.placement import Placement, init_rotation_credit
from ochrecourse.scheduler.random_source import RandomSource
from ochrecourse.scheduler.rate_limits import VolumeTable
from ochrecourse.scheduler.retries import MAY_STILL_RUN, RetryPolicy
from ochrecourse.scheduler.settings import Idempotency, SchedulerSettings
from ochrecourse.scheduler.slow_start import SlowStart
from ochrecourse.scheduler.state import Flow, Node, PendingRequest, QueueHead
from ochrecourse.scheduler.timers import NEVER, TimerQueue

IDLE_WAKE_INTERVAL = SECOND  # ns until `decide` must be called again when no timer is set


class Scheduler:
    """The scheduler of one gateway; it implements `SchedulerApi`.

    `values`: the settings as a map of names to texts, which must not change afterwards. `seed`: of the random
    numbers. `now`: clock time of the gateway's start, ns. Raises `MissingSettingError` for a missing or
    invalid value; `request_received` and `decide` also raise it, for values that only some requests need.
    """

    def __init__(self, values: Mapping[str, str], seed: int, now: int) -> None:
        settings = self.settings = SchedulerSettings(values)
        self._answer_margin = settings.safety.answer_margin
        self._now = now
        self.random_source = RandomSource(seed)
        self._timers = TimerQueue()
        self.latency = LatencyEstimator(settings, now)
        self.slow_start = SlowStart(settings, self.random_source, now)
        self.node_rates = NodeRates(settings, self.random_source)
        self.admission = Admission(settings, self.random_source)
        self.retries = RetryPolicy(settings, self.random_source)
        self.placement = Placement(settings, self.slow_start, self.node_rates, self.latency, self.admission)
        self.key_order = KeyOrder(settings.safety.key_settle_time, self._timers)
        self.fair_queue = FairQueue()
        self.endpoints = Endpoints(settings.polls_endpoints)
        self.nodes = self.endpoints.nodes
        self.volumes = VolumeTable(settings, now)
        self.requests: dict[int, PendingRequest] = {}
        self._review_queue: deque[PendingRequest] = deque()  # requests that need a decision

    # --- events ---

    def list_received(self, kind: ListKind, entries: Sequence[NodeEntry], now: int) -> None:
        """Applies a list of nodes from service discovery, or repeats a failed poll after a pause."""
        self._now = now
        if kind is ListKind.FAILED:
            self._timers.add(now + POLL_PAUSE, timers.PollEndpoints())
            return
        for node in self.endpoints.unlisted(kind, entries):
            self._stop_using_node(node, Health.GONE)
        for entry in entries:
            self._entry_received(entry)

    def _entry_received(self, entry: NodeEntry) -> None:
        node = self.nodes.get(entry.node)
        if node is None:
            node = self.endpoints.add(entry)
            self._apply_rate(node)
            init_rotation_credit(node, self.random_source)
        if entry.health is not Health.READY:
            self._stop_using_node(node, entry.health)
            return
        if self.slow_start.begin_if_started(node, entry, self._now):
            self._review_queue.extend(fair_queue.empty_queues(node))
        node.health = Health.READY
        node.started_at = entry.started
        self.fair_queue.touch(node)

    def request_received(self, request: Request, now: int) -> None:
        """Adds a client request. Raises `MissingSettingError` for an invalid setting of its tenant."""
        self._now = now
        request.units = request.units or 1.0  # an unknown size counts as one unit
        volume = self.volumes.find(request, now)
        request_class = self.settings.request_classes[request.request_class]
        pace = self.latency.paces[request.request_class]
        pending = self.requests[request.id] = PendingRequest(request, request_class, pace, volume, now)
        volume.open_requests += 1
        self.retries.request_received(now)
        if pending.is_next_for_key:
            self._review_queue.append(pending)
        else:
            self.key_order.add(pending)
            self._advance_key(request.key)
        self._timers.add(pending.serve_by - self._answer_margin, timers.ReviewRequest(pending))

    def attempt_written(self, request_id: int, now: int) -> None:
        """Records that the outstanding attempt was handed to a connection: it may run from now on."""
        self._now = now
        pending = self.requests.get(request_id)
        if pending and pending.attempt_outstanding:
            pending.sent_at = now
            pending.release_drawn()

    def attempt_ended(self, end: AttemptEnd, now: int) -> None:
        """Processes the end of an outstanding attempt; any other is ignored."""
        self._now = now
        pending = self.requests.get(end.request_id)
        node = self.nodes.get(end.node)
        if pending is None or node is None or not pending.attempt_outstanding:
            return
        ending = end.ending
        served = ending is Ending.SERVED
        pending.attempt_outstanding = False
        self.latency.decay_estimates(node, now)
        self._stop_counting_attempt(pending)
        pending.volume.answered(pending.request.units if served else 0.0, end.volume_used, now)
        # Causes inside the gateway, such as a departed client or no free connection, are not the node's.
        if ending not in ENDED_BY_GATEWAY:
            self._learn(node, pending, end)
        if served:
            self.slow_start.answered(node, pending.request.units, now)
        pending.finished = pending.finished or end.last
        self.retries.attempt_ended(pending, node, ending, now)
        if ending in MAY_STILL_RUN and pending.in_key_order:
            self.key_order.block(pending.request.key, now)
        self._review_queue.append(pending)

    def _learn(self, node: Node, pending: PendingRequest, end: AttemptEnd) -> None:
        overloaded = self.latency.learn(node, pending, end, self._now)
        if overloaded:
            self._shrink_window(pending)
        elif end.ending is Ending.SERVED:
            concurrency.grow_window(node)

    def node_rates_received(self, rates: Mapping[int, float], now: int) -> None:
        """Replaces the limits in units per second that this gateway may start at nodes, by node id."""
        self._now = now
        self.node_rates.received(rates)
        for node in self.nodes.values():
            self._apply_rate(node)

    def stream_began(self, request_id: int) -> None:
        """Records that the answer of the outstanding attempt has started to reach the client."""
        pending = self.requests.get(request_id)
        if pending:
            pending.streaming = True
            # The node's own work is done, so a slow reader must not occupy the node's concurrency limit.
            self._stop_counting_attempt(pending)

    def request_cancelled(self, request_id: int) -> None:
        """Cancels a request whose client no longer waits."""
        pending = self.requests.get(request_id)
        if pending:
            pending.finished = True
            self._review_queue.append(pending)

    def deadlines_limited(self, deadline: int, now: int) -> None:
        """Brings the deadlines of all unfinished requests forward, and decides on them again."""
        self._now = now
        for pending in self.requests.values():
            if pending.limit_deadline(deadline):
                self._review_queue.append(pending)
                self._timers.add(deadline - self._answer_margin, timers.ReviewRequest(pending))

    # --- decisions ---

    def decide(self, now: int) -> Attempt | Reply | ListCall | None:
        """Returns the next action, or None. Raises `MissingSettingError` for a value first needed now."""
        self._now = now
        while True:
            while (timer := self._timers.pop_due(now)) is not None:
                self._run_timer(timer)
            if self.endpoints.polls_due:
                return self.endpoints.polls_due.popleft()
            while self._review_queue:
                reply = self._review_request(self._review_queue.popleft())
                if reply:
                    return reply
            touched = self.fair_queue.touched
            while touched:
                node = self.nodes[next(iter(touched))]
                attempt = self._next_attempt(node)
                if attempt:
                    return attempt
                del touched[node.id]
            if not self._review_queue:
                return None

    def next_due(self) -> int:
        """Returns the clock time by which `decide` must be called again."""
        at = self._timers.next_at()
        return self._now + IDLE_WAKE_INTERVAL if at is None else at

    def _run_timer(self, timer: timers.Timer) -> None:
        if isinstance(timer, timers.ReviewRequest):
            self._review_queue.append(timer.pending)
        elif isinstance(timer, timers.GiveUpAttempt):
            self._give_up(timer.pending, timer.attempt)
        elif isinstance(timer, timers.ListFlow):
            timer.node.limited_volumes.pop(timer.volume_id, None)
            self.fair_queue.list_flow(timer.node, timer.volume_id)
        elif isinstance(timer, timers.AdvanceKey):
            self._advance_key(timer.key)
        else:
            self.endpoints.poll()

    def _give_up(self, pending: PendingRequest, attempt: int) -> None:
        # An attempt that is never answered stops counting as outstanding, and the node's window shrinks.
        if pending.counted_at_node and pending.attempts == attempt:
            self._shrink_window(pending)
            self._stop_counting_attempt(pending)

    def _shrink_window(self, pending: PendingRequest) -> None:
        if pending.node is not None:
            concurrency.shrink_window(pending.node, pending.sent_at, self._now)

    def _review_request(self, pending: PendingRequest) -> Reply | None:
        """Replies to a request that can no longer be served in time; otherwise queues it at a node."""
        if pending.finished:
            fair_queue.dequeue(pending)
            self._close(pending)
            return None
        if pending.attempt_outstanding or pending.streaming:
            return None
        now = self._now
        time_left = pending.serve_by - now - self._answer_margin
        if time_left <= 0 or pending.not_before - now >= time_left:
            return self._reply(pending)
        if pending.attempts and not self.retries.allows(pending, now):
            return self._reply(pending)
        if not pending.is_next_for_key:
            return None
        if now < pending.not_before:
            self._timers.add(pending.not_before, timers.ReviewRequest(pending))
            return None
        return self._wait_at_node(pending, time_left)

    def _wait_at_node(self, pending: PendingRequest, time_left: int) -> Reply | None:
        """Queues a request, or keeps it queued, at a node; `time_left`: ns within which to answer it."""
        now = self._now
        node = pending.node if pending.waiting else self.placement.place(pending, self.nodes, now)
        if node is None:
            return self._reply(pending, pending.capacity_wait)
        self.latency.decay_estimates(node, now)
        expected_time = self.latency.expected_time(pending, node)
        if not self.admission.admits(pending, node, expected_time, time_left, now):
            return self._reply(pending)
        if not pending.waiting:
            self._enqueue(pending, node)
        give_up_at = pending.serve_by - self._answer_margin - expected_time + 1
        self._timers.add(give_up_at, timers.ReviewRequest(pending))
        return None

    def _enqueue(self, pending: PendingRequest, node: Node) -> None:
        flow = node.flows.get(pending.request.volume)
        if flow is None:
            flow = concurrency.add_flow(node, pending)
            self.fair_queue.list_unlisted(node)
        concurrency.score_run(flow, pending.request.key, self._now)
        self.fair_queue.enqueue(pending, node, flow)

    def _reply(self, pending: PendingRequest, capacity_wait: int = 0) -> Reply:
        pending.finished = True
        fair_queue.dequeue(pending)
        self._close(pending)
        return self.admission.reply(pending, capacity_wait)

    def _close(self, pending: PendingRequest) -> None:
        """Releases the state of a finished request, once no attempt of it is outstanding."""
        if not pending.attempt_outstanding:
            if self.requests.pop(pending.request.id, None):
                pending.volume.open_requests -= 1
            pending.release_drawn()
        if pending.in_key_order:
            self._advance_key(pending.request.key)

    def _advance_key(self, key: int) -> None:
        pending = self.key_order.advance(key, self._now)
        if pending:
            self._review_queue.append(pending)

    # --- attempts ---

    def _next_attempt(self, node: Node) -> Attempt | None:
        """Sends the next waiting request of a node, if its limits allow."""
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
                self._list_after_limit(node, head.volume_id, now + wait)
            fair_queue.unlist(node, flow)
            concurrency.forget_idle_flow(node, head.volume_id)
        return None

    def _first_waiting(self, flow: Flow, rank: int) -> PendingRequest | None:
        """Returns the first request of a queue that still waits and may be sent; removes those before it."""
        queue = flow.queues[rank]
        while queue:
            pending = queue[0]
            if pending.waiting:
                # A retry that was allowed when it was queued may no longer be allowed.
                if not pending.attempts or self.retries.allows(pending, self._now):
                    return pending
                fair_queue.dequeue(pending)
                self._review_queue.append(pending)
            queue.popleft()
        return None

    def _list_after_limit(self, node: Node, volume_id: int, at: int) -> None:
        """Sets the timer of a volume that waits for its limit, unless one is set that is not later."""
        if node.limited_volumes.get(volume_id, NEVER) > at:
            node.limited_volumes[volume_id] = at
            self._timers.add(at, timers.ListFlow(node, volume_id))

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
        pending.attempt_outstanding = True
        pending.counted_at_node = True
        pending.sent_at = now
        pending.node = node
        pending.attempts += 1
        time_out = self._watch_attempt(pending, node)
        write_before = self.retries.write_before(pending)
        return Attempt(request.id, pending.attempts - 1, node.id, time_out, write_before)

    def _watch_attempt(self, pending: PendingRequest, node: Node) -> int:
        """Sets the timer after which an attempt counts as lost.

        Returns the attempt's time-out in ns; 0 means until the client gives up.
        """
        early_timeout = self.latency.has_early_timeout(pending)
        attempt_timeout = self.latency.attempt_timeout(pending, node, early_timeout)
        self._timers.add(self._now + attempt_timeout, timers.GiveUpAttempt(pending, pending.attempts))
        harmless = pending.request_class.idempotency is Idempotency.ALWAYS
        return attempt_timeout if early_timeout or harmless else 0

    def _stop_counting_attempt(self, pending: PendingRequest) -> None:
        """Stops counting an attempt as outstanding at its node."""
        node = pending.node
        if node is None or not pending.counted_at_node:
            return
        pending.counted_at_node = False
        volume_id = pending.request.volume
        concurrency.attempt_finished(node, node.flows[volume_id], pending.request.units)
        self.fair_queue.list_flow(node, volume_id)
        concurrency.forget_idle_flow(node, volume_id)

    # --- nodes ---

    def _stop_using_node(self, node: Node, health: Health) -> None:
        """Stops sending to a node that is draining or gone; requests that wait there are decided on again."""
        node.health = health
        self._review_queue.extend(fair_queue.empty_queues(node))
        concurrency.forget_sends(node)

    def _apply_rate(self, node: Node) -> None:
        change = self.node_rates.apply(node, self._now)
        if change is RateChange.NONE:
            return
        self.fair_queue.touch(node)
        if change is RateChange.LOWERED:
            self._review_queue.extend(fair_queue.empty_queues(node))
