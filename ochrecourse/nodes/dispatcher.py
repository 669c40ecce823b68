"""Carries attempts to storage nodes: which connection, what was written, time-outs, what each end proves.
Free of I/O.

What an event proves is said in proof.py, which connection an attempt takes in pool.py. Connections themselves
are handed in: `open_connection` starts a dial and each open one is a `NodeConnection`. An attempt ends for
the gateway exactly once; what comes for it later is dropped and counted. The clock is handed in too, for the
times at which attempts are given up.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from typing import Protocol

from ochrecourse.nodes.pool import PooledConnection, Pool, PoolLimits, State
from ochrecourse.nodes.outcome import (
    ConnectionEnd,
    AttemptEvent,
    WriteProgress,
    event_at_close,
    event_at_timeout,
)
from ochrecourse.common.runtime import Clock, Timer, now_ns, stop
from ochrecourse.common.time_units import SECOND
from ochrecourse.wire import messages as m

LINGER = (
    2.0  # s that a node has to confirm a cancel; after that its connection is closed, whatever else is on it
)
LONGEST = 60.0  # s for a dial that the dispatcher has not given up before; no client waits longer
USUAL = 15  # dials whose times give the usual one, as the middle of them: a third may come up late
SLOW = 2  # times the usual, after which a dial is slow


class Body(Protocol):
    """What an attempt sends: read piece by piece, again from the start by each retry."""

    size: int

    def read(self, at: int, most: int) -> bytes: ...

    def close(self) -> None: ...


class AttemptListener(Protocol):
    """Who waits for an attempt. `written` comes when it has a connection, `began` before any `piece`;
    `ended` comes exactly once and last.
    """

    def written(self, attempt: OutgoingAttempt) -> None: ...

    def began(self, attempt: OutgoingAttempt, answer: m.AttemptServed) -> None: ...

    def piece(self, attempt: OutgoingAttempt, data: bytes) -> None: ...

    def ended(self, attempt: OutgoingAttempt, seen: AttemptEvent, answer: m.AnyMessage | None) -> None: ...


class OutgoingAttempt:
    """One attempt on its way. `taken` bytes of its answer were handed on, `granted` were credited to the node
    again.
    """

    def __init__(
        self,
        number: int,
        request_id: int,
        node: int,
        message: m.SendAttempt,
        body: Body | None,
        listener: AttemptListener,
    ) -> None:
        self.number = number
        self.request_id = request_id  # the listener's name for what it belongs to
        self.node = node
        self.message = message
        self.body = body
        self.listener = listener
        self.sent_at = 0  # ns
        self.on_connection_at = 0  # ns; on a connection; 0 as long as it waits for one
        self.pooled: PooledConnection | None = None
        self.connection: NodeConnection | None = None
        self.id = -1  # on its connection
        self.written = 0  # bytes of the body
        self.answer: m.AttemptServed | None = None
        self.taken = 0
        self.granted = 0
        self.over = False
        self.stall = 0.0  # s
        self.heard_at = 0.0  # s, last byte of an answer that has begun
        self.timer: Timer | None = None
        self.wait: Timer | None = None  # until it no longer waits for a connection
        self.write_before = 0  # ns; from then on it may not be written any more; 0: no such time
        self.write_timer: Timer | None = None

    def handed(self) -> WriteProgress:
        """How much of it was handed to the network."""
        if self.id < 0:
            return WriteProgress.NOTHING
        return WriteProgress.WHOLE if self.written >= self.message.size else WriteProgress.PARTIAL


class NodeConnection(Protocol):
    """An open connection to a node, as framed_connection.py makes it."""

    pooled: PooledConnection
    met: bool

    def send(self, attempt: OutgoingAttempt) -> None: ...

    def drop(self, attempt: OutgoingAttempt) -> None: ...

    def holds(self, attempt: OutgoingAttempt) -> bool: ...

    def credit(self, attempt: OutgoingAttempt, size: int) -> None: ...

    def close(self) -> None: ...

    def abort(self) -> None: ...


# Starts a dial, whose end is reported to the dispatcher; returns what gives it up, if the network can.
OpenConnection = Callable[["Dispatcher", PooledConnection, tuple[str, int]], Callable[[], None] | None]


class Dispatcher:
    """All connections of one gateway to its nodes.

    `limits`, `dial_time` and `slow_dial` (s) come from the settings: how long a dial may take that no attempt
    waits for, and after how long at the least one more is dialled beside it. `address_of` gives the host and
    port of a node, or None.
    """

    def __init__(
        self,
        name: str,
        clock: Clock,
        limits: PoolLimits,
        dial_time: float,
        address_of: Callable[[int], tuple[str, int] | None],
        open_connection: OpenConnection,
        slow_dial: float | None = None,
        turns_behind: Callable[[], int] = lambda: 0,
    ) -> None:
        """`turns_behind`: of the loop, until what stands unread now has been read: a client may have gone."""
        self.name = name
        self.clock = clock
        self.open_connection = open_connection
        self.pool = Pool(limits)
        self.dial_time = dial_time
        self.slow_dial = dial_time if slow_dial is None else slow_dial
        self.dial_times: deque[int] = deque(maxlen=USUAL)  # ns, of those that succeeded
        self.address_of = address_of
        self.turns_behind = turns_behind
        self.connections: dict[int, NodeConnection] = {}  # by their number in the pool
        self.dials: dict[int, Timer] = {}
        self.give_up: dict[int, Callable[[], None]] = {}  # of dials that are under way
        self.out: dict[int, OutgoingAttempt] = {}
        self.count = 0
        self.counts: Counter[str] = Counter()
        self._idle: Timer | None = None

    def send(
        self,
        request_id: int,
        node: int,
        message: m.SendAttempt,
        body: Body | None,
        time_out: int,
        stall: int,
        listener: AttemptListener,
        wait: int | None = None,
        write_before: int = 0,
    ) -> OutgoingAttempt:
        """Sends an attempt. `time_out`: ns from now until its answer must begin; `stall`: ns without any more
        of it after that; `wait`: ns for which it may wait for a connection (None: as long as its dial may
        take); `write_before`: clock time from which on no byte of it may be handed to a connection, and
        nothing of it may run that was not whole by then (0: no such time). Its end is reported to `listener`,
        never before this returns.
        """
        self.count += 1
        attempt = OutgoingAttempt(self.count, request_id, node, message, body, listener)
        attempt.sent_at = now_ns(self.clock)
        self.out[attempt.number] = attempt
        attempt.stall = max(0, stall) / SECOND
        attempt.timer = self.clock.callLater(max(0, time_out) / SECOND, self._timed_out, attempt)
        attempt.write_before = write_before
        if write_before and write_before < attempt.sent_at + time_out:
            left = max(0, write_before - attempt.sent_at) / SECOND
            attempt.write_timer = self.clock.callLater(left, self._too_late_to_write, attempt)
        if self.address_of(node) is None:
            self.clock.callLater(0, self._end, attempt, AttemptEvent.UNLISTED, None)
            return attempt
        place = self.pool.place(node, attempt.number, message.request_class, message.size > m.MAX_BODY_BYTES)
        if place.instead is not None and place.instead.number in self.connections:
            self.connections[place.instead.number].close()
        if place.connection is None:
            self.counts["no room"] += 1
            self.clock.callLater(0, self._end, attempt, AttemptEvent.NO_ROOM, None)
            return attempt
        attempt.pooled = place.connection
        if place.now:
            self._go(attempt, place.connection)
        else:
            if wait is not None:
                attempt.wait = self.clock.callLater(max(0, wait) / SECOND, self._waited, attempt)
            self._dial()
        return attempt

    def cancel(self, attempt: OutgoingAttempt) -> None:
        """Stops waiting for an attempt; its end is reported at once, as no more than was known."""
        if not attempt.over:
            known = (
                AttemptEvent.CANCEL_UNANSWERED
                if attempt.handed() is WriteProgress.WHOLE
                else AttemptEvent.LEFT_BEFORE
            )
            self._abandon(attempt, known)

    def shed(self, stays: Callable[[int], bool]) -> None:
        """Gives up attempts that still wait for a connection to a node that does not stay."""
        for attempt in [
            attempt for attempt in self.out.values() if attempt.handed() is WriteProgress.NOTHING
        ]:
            if not attempt.over and not stays(attempt.node):
                self._end(attempt, AttemptEvent.LEFT_BEFORE, None)

    def grant(self, attempt: OutgoingAttempt, size: int) -> None:
        """The listener has room for so many more bytes of a long answer."""
        attempt.taken += size
        due = attempt.taken - attempt.granted
        if (
            due >= m.MAX_BODY_BYTES
            and not attempt.over
            and attempt.connection is not None
            and attempt.connection.holds(attempt)
        ):
            attempt.granted += due
            attempt.connection.credit(attempt, due)

    def close(self) -> None:
        """Closes every connection; attempts that are out end as reset or never sent."""
        for timer in self.dials.values():
            stop(timer)
        self.dials.clear()
        stop(self._idle)
        self._idle = None
        for connection in list(self.connections.values()):
            connection.abort()

    def open_connections(self) -> int:
        return len(self.connections)

    # --- what the connections report ---

    def connection_opened(self, connection: NodeConnection) -> None:
        self._opened(connection, self.turns_behind())

    def _opened(self, connection: NodeConnection, turns: int) -> None:
        if connection.pooled.number not in self.dials:
            return  # given up, or closed again
        if turns:
            # Guards against a long turn: attempts that wait may be of clients whose end stands unread.
            self.clock.callLater(0, self._opened, connection, turns - 1)
            return
        stop(self.dials.pop(connection.pooled.number))
        self.give_up.pop(connection.pooled.number, None)
        now = now_ns(self.clock)
        self.dial_times.append(now - connection.pooled.dialled_at)
        for number in self.pool.opened(connection.pooled, now):
            self._go(self.out[number], connection.pooled)
        self._relieve(connection.pooled)
        self._dial()
        self._watch_idle()

    def connection_leaving(self, connection: NodeConnection) -> None:
        if connection.pooled.state is State.OPEN and self.pool.leaving(connection.pooled):
            connection.close()

    def connection_aborting(self, connection: NodeConnection) -> None:
        """This side is ending the connection: what would be written to it now is dropped unseen, so no
        attempt may take it any more.
        """
        if connection.pooled.state is State.OPEN:
            self.pool.leaving(connection.pooled)

    def connection_freed(self, connection: NodeConnection, number: int) -> None:
        self._free(connection.pooled, -1)

    def connection_closed(
        self, connection: NodeConnection, attempts: list[OutgoingAttempt], how: ConnectionEnd
    ) -> None:
        self.connections.pop(connection.pooled.number, None)
        if how is ConnectionEnd.GARBLED:
            self.counts["nodes that broke the protocol"] += 1
        if not connection.met or connection.pooled.number in self.dials:
            self.dial_failed(connection.pooled, AttemptEvent.REFUSED)
            return
        self.pool.gone(connection.pooled)
        for attempt in attempts:
            self._end(attempt, event_at_close(attempt.handed(), attempt.answer is not None, how), None)
        self._dial()

    def dial_failed(self, pooled: PooledConnection, seen: AttemptEvent) -> None:
        timer = self.dials.pop(pooled.number, None)
        if timer is None:
            return  # reported already
        stop(timer)
        self.counts["dials failed"] += 1
        give_up = self.give_up.pop(pooled.number, None)
        if give_up is not None and seen is AttemptEvent.DIAL_TIMEOUT:
            give_up()
        waiting = self.pool.gone(pooled)
        connection = self.connections.pop(pooled.number, None)
        if connection is not None:
            connection.abort()
        for number in waiting:
            self._end(self.out[number], seen, None)
        self._dial()

    def answered(
        self,
        connection: NodeConnection,
        attempt: OutgoingAttempt,
        message: m.AnyMessage,
        body: bytes,
        over: bool,
    ) -> None:
        """A message for an attempt that is still waited for; `over`: it was the last one."""
        if isinstance(message, m.AttemptServed):
            attempt.answer = message
            self.pool.answered(attempt.message.request_class, message.size > message.body)
            attempt.listener.began(attempt, message)
        attempt.heard_at = self.clock.seconds()
        if body and not attempt.over:
            attempt.listener.piece(attempt, body)
        if not over or attempt.over:
            return
        if isinstance(message, m.AttemptServed | m.BodyChunk):
            seen = AttemptEvent.DONE
        elif isinstance(message, m.AttemptRejected):
            seen = AttemptEvent.NOT_STORED if message.reason == m.NOT_STORED else AttemptEvent.FULL
        elif isinstance(message, m.AttemptFailed):
            seen = AttemptEvent.BROKE_OFF if attempt.answer is not None else AttemptEvent.FAILED
        else:
            seen = (
                AttemptEvent.CANCELLED_UNRUN
                if getattr(message, "executed", "") == m.NOT_EXECUTED
                else AttemptEvent.CANCELLED
            )
        self._end(attempt, seen, message if isinstance(message, m.NodeReply) else attempt.answer)

    # --- inside ---

    def _dial(self) -> None:
        while (pooled := self.pool.next_dial()) is not None:
            address = self.address_of(pooled.node)
            pooled.dialled_at = now_ns(self.clock)
            usual = sorted(self.dial_times)[len(self.dial_times) // 2] if self.dial_times else 0
            slow = min(self.dial_time, max(self.slow_dial, SLOW * usual / SECOND))
            self.dials[pooled.number] = self.clock.callLater(slow, self._slow, pooled)
            self.counts["dials"] += 1
            if address is None:
                self.dial_failed(pooled, AttemptEvent.UNLISTED)
            else:
                give_up = self.open_connection(self, pooled, address)
                if give_up is not None:
                    self.give_up[pooled.number] = give_up

    def _slow(self, pooled: PooledConnection) -> None:
        """Guards against connections that come up late: another may be quicker, and an attempt takes the
        first.
        """
        rest = pooled.dialled_at / SECOND + self.dial_time - self.clock.seconds()
        self.dials[pooled.number] = self.clock.callLater(max(0.0, rest), self._old, pooled)
        if self.pool.beside(pooled):
            self.counts["dials beside a slow one"] += 1
            self._dial()

    def _old(self, pooled: PooledConnection) -> None:
        """A dial goes on as long as an attempt waits that ends its wait itself."""
        for number in list(pooled.waiting):
            if self.out[number].wait is None:
                self._end(self.out[number], AttemptEvent.DIAL_TIMEOUT, None)
        if self.pool.helps(pooled):
            self.dials[pooled.number] = self.clock.callLater(self.dial_time, self._old, pooled)
        else:
            self.dial_failed(pooled, AttemptEvent.DIAL_TIMEOUT)

    def _waited(self, attempt: OutgoingAttempt) -> None:
        """No connection opened in the time in which it could have served the attempt."""
        attempt.wait = None
        if not attempt.over:
            self._end(attempt, AttemptEvent.DIAL_TIMEOUT, None)

    def _go(self, attempt: OutgoingAttempt, pooled: PooledConnection) -> None:
        """The attempt has a connection with room for it."""
        stop(attempt.wait)
        attempt.wait = None
        now = now_ns(self.clock)
        attempt.pooled = pooled
        if attempt.write_before and now >= attempt.write_before:
            # Guards against a loop that stood still: the timer for this has not been called yet.
            self.clock.callLater(0, self._end, attempt, AttemptEvent.LEFT_BEFORE, None)
            return
        attempt.on_connection_at = now
        self.connections[pooled.number].send(attempt)
        attempt.listener.written(attempt)

    def _too_late_to_write(self, attempt: OutgoingAttempt) -> None:
        """What the node does not have whole by now never runs."""
        attempt.write_timer = None
        if not attempt.over and attempt.handed() is not WriteProgress.WHOLE:
            self._abandon(attempt, AttemptEvent.LEFT_BEFORE)

    def _relieve(self, pooled: PooledConnection) -> None:
        """Attempts that wait for another connection to the same node go on this one, as far as it has
        room.
        """
        self._relieve_after(pooled, self.turns_behind())

    def _relieve_after(self, pooled: PooledConnection, turns: int) -> None:
        if turns:
            self.clock.callLater(0, self._relieve_after, pooled, turns - 1)
            return
        while (number := self.pool.relieve(pooled)) is not None:
            self._go(self.out[number], pooled)

    def _timed_out(self, attempt: OutgoingAttempt) -> None:
        """An answer that has begun is given up only when nothing more of it arrived for a while."""
        attempt.timer = None
        rest = attempt.heard_at + attempt.stall - self.clock.seconds()
        if attempt.answer is not None and rest > 0:
            attempt.timer = self.clock.callLater(rest, self._timed_out, attempt)
        elif not attempt.over:
            seen = event_at_timeout(attempt.handed(), attempt.answer is not None)
            waited = self.clock.seconds() - attempt.sent_at / SECOND
            if attempt.handed() is WriteProgress.NOTHING and waited < self.dial_time:
                # Guards against hasty clients who look like a node that can't be reached.
                seen = AttemptEvent.LEFT_BEFORE
            self._abandon(attempt, seen)

    def _abandon(self, attempt: OutgoingAttempt, seen: AttemptEvent) -> None:
        connection, pooled = attempt.connection, attempt.pooled
        if connection is not None and connection.holds(attempt):
            attempt.over = True  # before the cancel goes out, so that nothing of it is sent on
            connection.drop(attempt)
            attempt.pooled = None  # its place on the connection is free when the node confirms
            attempt.over = False
        elif pooled is not None and attempt.connection is None:
            pass  # it waited for a dial: _end frees its place
        self._end(attempt, seen, None)

    def _end(self, attempt: OutgoingAttempt, seen: AttemptEvent, answer: m.AnyMessage | None) -> None:
        if attempt.over:
            return
        attempt.over = True
        self.out.pop(attempt.number, None)
        stop(attempt.timer)
        stop(attempt.wait)
        stop(attempt.write_timer)
        attempt.timer = attempt.wait = attempt.write_timer = None
        if attempt.pooled is not None:
            self._free(attempt.pooled, attempt.number)
        attempt.listener.ended(attempt, seen, answer)

    def _free(self, pooled: PooledConnection, number: int) -> None:
        if self.pool.attempt_over(pooled, number, now_ns(self.clock)):
            connection = self.connections.get(pooled.number)
            if connection is not None:
                connection.close()
        self._relieve(pooled)
        self._watch_idle()

    def _watch_idle(self) -> None:
        due = self.pool.next_due()
        if due is not None and self._idle is None:
            self._idle = self.clock.callLater(
                max(0, due - now_ns(self.clock)) / SECOND + 0.001, self._close_idle
            )

    def _close_idle(self) -> None:
        self._idle = None
        while (pooled := self.pool.next_idle(now_ns(self.clock))) is not None:
            connection = self.connections.get(pooled.number)
            if connection is not None:
                connection.close()
        self._watch_idle()
