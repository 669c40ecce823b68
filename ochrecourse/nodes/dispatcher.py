"""Sends attempts to storage nodes: assigns connections, tracks writes, enforces time-outs. Performs no I/O.

outcome.py maps events to outcomes, pool.py selects the connection of an attempt, and dial_manager.py manages
dials. The clock and the connections are injected: `open_connection` starts a dial, and each open connection
is a `NodeConnection`. An attempt ends for the gateway exactly once; messages that arrive for it later are
dropped and counted.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from ochrecourse.common.client_input import ClientInput
from ochrecourse.common.runtime import Clock, Timer, now_ns, stop
from ochrecourse.common.time_units import MS, SECOND
from ochrecourse.nodes.dial_manager import AbandonDial, DialManager, DialSettings
from ochrecourse.nodes.outcome import (
    AttemptEvent,
    ConnectionEnd,
    WriteProgress,
    event_on_cancel,
    event_on_close,
    event_on_last_message,
    event_on_timeout,
)
from ochrecourse.nodes.outgoing_attempt import AttemptLimits, NodeConnection, OutgoingAttempt
from ochrecourse.nodes.pool import ConnectionStatus, Pool, PooledConnection, PoolLimits
from ochrecourse.wire import messages as m

# For an attempt whose client has unread input, from when it could be written. A close may be in that input,
# and must be acted on within 0.1 s.
MAX_INPUT_WAIT = 50 * MS
IDLE_CHECK_DELAY_S = 0.001  # after the idle time-out of the next connection, so that it has passed for sure

Address = tuple[str, int]  # host and port
# Starts a dial, whose result is reported to the dispatcher. Returns a function that abandons the dial, None
# if the network can't abandon one.
OpenConnection = Callable[["Dispatcher", PooledConnection, Address], AbandonDial | None]


@dataclass(frozen=True, slots=True)
class DispatcherSettings:
    """Settings of the connections to nodes."""

    pool: PoolLimits
    dials: DialSettings


@dataclass(frozen=True, slots=True)
class NodeNetwork:
    """How nodes are reached. `address_of` returns the address of a node, None if it is unknown."""

    address_of: Callable[[int], Address | None]
    open_connection: OpenConnection


class Dispatcher:
    """All connections of one gateway to its nodes, and the attempts in flight on them or waiting for one.

    `iterations_behind` returns the number of event loop iterations until all input that is unread now has
    been read.
    """

    def __init__(
        self,
        name: str,
        clock: Clock,
        settings: DispatcherSettings,
        network: NodeNetwork,
        iterations_behind: Callable[[], int] = lambda: 0,
    ) -> None:
        self.name = name  # the gateway's
        self.clock = clock
        self.network = network
        self.iterations_behind = iterations_behind
        self.pool = Pool(settings.pool)
        self.dial_timeout = settings.dials.timeout  # s
        self.dials = DialManager(self, clock, self.pool, settings.dials)
        self.connections: dict[int, NodeConnection] = {}  # by number in the pool
        self.in_flight: dict[int, OutgoingAttempt] = {}  # by number, including those waiting for a connection
        self.attempt_count = 0
        self.closed_connections = 0  # since the start
        self.counts: Counter[str] = Counter()
        self._idle_timer: Timer | None = None

    # --- called by the gateway ---

    def send(self, attempt: OutgoingAttempt, limits: AttemptLimits) -> OutgoingAttempt:
        """Sends an attempt as soon as it has a connection. Its end is never reported before this returns."""
        self.attempt_count += 1
        attempt.number = self.attempt_count
        attempt.sent_at = now_ns(self.clock)
        self.in_flight[attempt.number] = attempt
        self._start_timers(attempt, limits)
        if self.network.address_of(attempt.node) is None:
            self._end_in_next_iteration(attempt, AttemptEvent.UNLISTED)
            return attempt
        message = attempt.message
        long_body = message.size > m.MAX_BODY_BYTES
        placement = self.pool.place(attempt.node, attempt.number, message.request_class, long_body)
        if placement.evicted is not None:
            self._close_connection(placement.evicted)
        if placement.connection is None:
            self.counts["no room"] += 1
            self._end_in_next_iteration(attempt, AttemptEvent.NO_CAPACITY)
            return attempt
        attempt.pooled = placement.connection
        if placement.ready:
            self._write(attempt, placement.connection)
            return attempt
        if limits.connection_wait is not None:
            wait = max(0, limits.connection_wait) / SECOND
            attempt.connection_timer = self.clock.callLater(wait, self._connection_timed_out, attempt)
        self.dials.start_dials()
        return attempt

    def cancel(self, attempt: OutgoingAttempt) -> None:
        """Cancels an attempt and reports its end at once, without waiting for the node's confirmation."""
        if not attempt.ended:
            self._give_up(attempt, event_on_cancel(attempt.write_progress()))

    def cancel_waiting(self, is_ready: Callable[[int], bool]) -> None:
        """Cancels the attempts that wait for a connection to a node that is no longer ready."""
        waiting = [
            attempt
            for attempt in self.in_flight.values()
            if attempt.write_progress() is WriteProgress.NOTHING
        ]
        for attempt in waiting:
            if not attempt.ended and not is_ready(attempt.node):
                self._end(attempt, AttemptEvent.CANCELLED_BEFORE_WRITE, None)

    def limit_deadlines(self, deadline: int) -> None:
        """Ends attempts whose response has not begun at clock time `deadline` (ns) or before."""
        for attempt in self.in_flight.values():
            if attempt.response is None and deadline < attempt.response_due:
                self._limit_deadline(attempt, deadline)

    def _limit_deadline(self, attempt: OutgoingAttempt, deadline: int) -> None:
        if attempt.write_progress() is WriteProgress.NOTHING:
            # The timeout in the message is how long this side waits for the response.
            attempt.message.timeout_ms = round(max(0, deadline - attempt.sent_at) / MS, 3)
            attempt.write_before = min(attempt.write_before or deadline, deadline)
        stop(attempt.response_timer)
        self._start_response_timer(attempt, deadline)

    def response_consumed(self, attempt: OutgoingAttempt, size: int) -> None:
        """Grants the node window for `size` more bytes of a response that the listener has consumed."""
        attempt.consumed += size
        increment = attempt.consumed - attempt.window_granted
        if increment < m.MAX_BODY_BYTES or attempt.ended:
            return
        if attempt.connection is not None and attempt.connection.carries(attempt):
            attempt.window_granted += increment
            attempt.connection.send_window_update(attempt, increment)

    def close(self) -> None:
        """Aborts every connection; attempts in flight end as reset or never sent."""
        self.dials.cancel_timers()
        stop(self._idle_timer)
        self._idle_timer = None
        for connection in list(self.connections.values()):
            connection.abort()

    def open_connections(self) -> int:
        """Returns the number of connections, including those whose handshake is not complete."""
        return len(self.connections)

    # --- called by the connections ---

    def connection_opened(self, connection: NodeConnection) -> None:
        """Puts a connection into use whose handshake is complete."""
        self._connection_opened(connection, self.iterations_behind())

    def _connection_opened(self, connection: NodeConnection, iterations_left: int) -> None:
        pooled = connection.pooled
        if not self.dials.is_dialling(pooled):
            return  # abandoned or already closed
        if iterations_left:
            # After a long iteration, waiting attempts may belong to clients whose close is not read yet.
            self.clock.callLater(0, self._connection_opened, connection, iterations_left - 1)
            return
        now = now_ns(self.clock)
        self.dials.dial_succeeded(pooled, now)
        for number in self.pool.opened(pooled, now):
            self._write(self.in_flight[number], pooled)
        self._write_waiting(pooled, self.iterations_behind())
        self.dials.start_dials()
        self._schedule_idle_check()

    def connection_draining(self, connection: NodeConnection) -> None:
        """Drains a connection on which the node accepts no new attempts."""
        if connection.pooled.status is ConnectionStatus.OPEN and self.pool.drain(connection.pooled):
            connection.close()

    def connection_aborting(self, connection: NodeConnection) -> None:
        """Removes a connection from use that this side is aborting: what is written to it now is lost."""
        if connection.pooled.status is ConnectionStatus.OPEN:
            self.pool.drain(connection.pooled)

    def connection_freed(self, connection: NodeConnection) -> None:
        """Releases the capacity that an attempt, ended before, still used on the connection."""
        self._release(connection.pooled, -1)

    def connection_closed(
        self, connection: NodeConnection, attempts: list[OutgoingAttempt], end: ConnectionEnd
    ) -> None:
        """Ends the attempts that were in flight on a connection that has ended."""
        pooled = connection.pooled
        self.connections.pop(pooled.number, None)
        self.closed_connections += 1
        if end is ConnectionEnd.VIOLATION:
            self.counts["nodes that broke the protocol"] += 1
        if not connection.handshake_complete or self.dials.is_dialling(pooled):
            self.dial_failed(pooled, AttemptEvent.DIAL_REFUSED)
            return
        self.pool.remove(pooled)
        for attempt in attempts:
            event = event_on_close(attempt.write_progress(), attempt.response is not None, end)
            self._end(attempt, event, None)
        self.dials.start_dials()

    def response_received(
        self, attempt: OutgoingAttempt, message: m.AnyMessage, body: bytes, last: bool
    ) -> None:
        """Handles a message for an attempt in flight; `last`: it is the last one for this attempt."""
        if isinstance(message, m.AttemptServed):
            attempt.response = message
            self.pool.response_began(attempt.message.request_class, message.size > message.body)
            attempt.listener.response_began(attempt, message)
        attempt.last_received_at = self.clock.seconds()
        if body and not attempt.ended:
            attempt.listener.response_data(attempt, body)
        if not last or attempt.ended:
            return
        event = event_on_last_message(message, attempt.response is not None)
        self._end(attempt, event, message if isinstance(message, m.NodeReply) else attempt.response)

    # --- called by the dial manager and dials ---

    def start_dial(self, pooled: PooledConnection) -> AbandonDial | None:
        """Starts a dial; returns a function that abandons it, None if it failed or can't be abandoned."""
        address = self.network.address_of(pooled.node)
        if address is None:
            self.dial_failed(pooled, AttemptEvent.UNLISTED)
            return None
        return self.network.open_connection(self, pooled, address)

    def is_dialling(self, pooled: PooledConnection) -> bool:
        """Whether the dial of this connection is in progress, that is neither finished nor abandoned."""
        return self.dials.is_dialling(pooled)

    def dial_overdue(self, pooled: PooledConnection) -> None:
        """Ends the attempts without their own connection time-out when their dial reaches its time-out."""
        for number in list(pooled.waiting):
            attempt = self.in_flight[number]
            if attempt.connection_timer is None:
                self._end(attempt, AttemptEvent.DIAL_TIMEOUT, None)

    def dial_failed(self, pooled: PooledConnection, event: AttemptEvent) -> None:
        """Handles a dial that failed or timed out; attempts that waited for it end with `event`."""
        if not self.dials.dial_failed(pooled, event):
            return
        waiting = self.pool.remove(pooled)
        connection = self.connections.pop(pooled.number, None)
        if connection is not None:
            connection.abort()
        for number in waiting:
            self._end(self.in_flight[number], event, None)
        self.dials.start_dials()

    # --- attempts that wait for a connection ---

    def _connection_timed_out(self, attempt: OutgoingAttempt) -> None:
        """Ends an attempt for which no connection opened in time to serve it."""
        attempt.connection_timer = None
        if not attempt.ended:
            self._end(attempt, AttemptEvent.DIAL_TIMEOUT, None)

    def _write_waiting(self, pooled: PooledConnection, iterations_left: int) -> None:
        """Writes attempts that wait for another connection to the same node, while this one has capacity."""
        if iterations_left:
            self.clock.callLater(0, self._write_waiting, pooled, iterations_left - 1)
            return
        while (number := self.pool.take_waiting(pooled)) is not None:
            self._write(self.in_flight[number], pooled)

    def _write(self, attempt: OutgoingAttempt, pooled: PooledConnection) -> None:
        """Writes an attempt to a connection that has capacity for it."""
        attempt.stop_connection_timer()
        now = now_ns(self.clock)
        attempt.pooled = pooled
        if attempt.write_before and now >= attempt.write_before:
            # When the event loop was blocked, the write deadline's timer may not have fired yet.
            self._end_in_next_iteration(attempt, AttemptEvent.CANCELLED_BEFORE_WRITE)
            return
        if attempt.client_input is not None:
            client_input = attempt.client_input()
            if client_input is ClientInput.CLOSED:
                self._end_in_next_iteration(attempt, AttemptEvent.CLIENT_CLOSED)
                return
            if client_input is ClientInput.UNREAD:
                self._wait_for_input(attempt, pooled, now)
                return
        attempt.assigned_at = now
        self.connections[pooled.number].send(attempt)
        attempt.listener.attempt_written(attempt)

    def _wait_for_input(self, attempt: OutgoingAttempt, pooled: PooledConnection, now: int) -> None:
        """Postpones a write to the event loop's next iteration, which reads the client's input before."""
        attempt.input_wait_began_at = attempt.input_wait_began_at or now
        if now - attempt.input_wait_began_at > MAX_INPUT_WAIT:
            self._end_in_next_iteration(attempt, AttemptEvent.CANCELLED_BEFORE_WRITE)
        else:
            self.clock.callLater(0, self._write_after_input, attempt, pooled)

    def _write_after_input(self, attempt: OutgoingAttempt, pooled: PooledConnection) -> None:
        if attempt.ended:
            return
        if pooled.number in self.connections and pooled.status is ConnectionStatus.OPEN:
            self._write(attempt, pooled)
        else:
            self._end(attempt, AttemptEvent.CLOSED_BEFORE_WRITE, None)

    # --- time-outs and ends ---

    def _start_timers(self, attempt: OutgoingAttempt, limits: AttemptLimits) -> None:
        attempt.stall_timeout = max(0, limits.stall_timeout) / SECOND
        attempt.write_before = limits.write_before
        self._start_response_timer(attempt, attempt.sent_at + max(0, limits.response_timeout))
        if limits.write_before and limits.write_before < attempt.sent_at + limits.response_timeout:
            time_left = max(0, limits.write_before - attempt.sent_at) / SECOND
            attempt.write_timer = self.clock.callLater(time_left, self._write_deadline_passed, attempt)

    def _start_response_timer(self, attempt: OutgoingAttempt, due: int) -> None:
        attempt.response_due = due
        time_left = max(0, due - now_ns(self.clock)) / SECOND
        attempt.response_timer = self.clock.callLater(time_left, self._response_timed_out, attempt)

    def _write_deadline_passed(self, attempt: OutgoingAttempt) -> None:
        """Cancels an attempt that is not completely written; the node never runs an incomplete attempt."""
        attempt.write_timer = None
        if not attempt.ended and attempt.write_progress() is not WriteProgress.COMPLETE:
            self._give_up(attempt, AttemptEvent.CANCELLED_BEFORE_WRITE)

    def _response_timed_out(self, attempt: OutgoingAttempt) -> None:
        """Ends an attempt without a response; one that has begun ends only after its stall time-out."""
        attempt.response_timer = None
        time_left = attempt.last_received_at + attempt.stall_timeout - self.clock.seconds()
        if attempt.response is not None and time_left > 0:
            attempt.response_timer = self.clock.callLater(time_left, self._response_timed_out, attempt)
            return
        if attempt.ended:
            return
        progress = attempt.write_progress()
        event = event_on_timeout(progress, attempt.response is not None)
        waited = self.clock.seconds() - attempt.sent_at / SECOND
        if progress is WriteProgress.NOTHING and waited < self.dial_timeout:
            # A client's timeout shorter than the dial time-out must not count as an unreachable node.
            event = AttemptEvent.CANCELLED_BEFORE_WRITE
        self._give_up(attempt, event)

    def _give_up(self, attempt: OutgoingAttempt, event: AttemptEvent) -> None:
        """Ends an attempt that may still be running at the node, and cancels it there."""
        connection = attempt.connection
        if connection is not None and connection.carries(attempt):
            attempt.ended = True  # before the cancel is sent, so that no more of the body is sent
            connection.cancel(attempt)
            attempt.pooled = None  # its capacity is released when the node confirms the cancel
            attempt.ended = False
        self._end(attempt, event, None)

    def _end_in_next_iteration(self, attempt: OutgoingAttempt, event: AttemptEvent) -> None:
        self.clock.callLater(0, self._end, attempt, event, None)

    def _end(self, attempt: OutgoingAttempt, event: AttemptEvent, reply: m.AnyMessage | None) -> None:
        if attempt.ended:
            return
        attempt.ended = True
        self.in_flight.pop(attempt.number, None)
        attempt.stop_timers()
        if attempt.pooled is not None:
            self._release(attempt.pooled, attempt.number)
        attempt.listener.attempt_ended(attempt, event, reply)

    # --- released and idle connections ---

    def _release(self, pooled: PooledConnection, number: int) -> None:
        if self.pool.attempt_ended(pooled, number, now_ns(self.clock)):
            self._close_connection(pooled)
        self._write_waiting(pooled, self.iterations_behind())
        self._schedule_idle_check()

    def _close_connection(self, pooled: PooledConnection) -> None:
        connection = self.connections.get(pooled.number)
        if connection is not None:
            connection.close()

    def _schedule_idle_check(self) -> None:
        deadline = self.pool.next_idle_deadline()
        if deadline is not None and self._idle_timer is None:
            time_left = max(0, deadline - now_ns(self.clock)) / SECOND
            self._idle_timer = self.clock.callLater(time_left + IDLE_CHECK_DELAY_S, self._close_idle)

    def _close_idle(self) -> None:
        self._idle_timer = None
        while (pooled := self.pool.next_idle(now_ns(self.clock))) is not None:
            self._close_connection(pooled)
        self._schedule_idle_check()
