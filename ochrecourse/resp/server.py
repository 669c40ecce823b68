"""The RESP2 server: client connections and their limit, eviction of idle ones, and graceful shutdown."""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.protocol import Factory

from ochrecourse.common.request_records import RequestOutcome, RequestRecord
from ochrecourse.common.runtime import Clock, Timer, stop
from ochrecourse.gateway.gateway import Gateway
from ochrecourse.resp.client_connection import RespClientConnection
from ochrecourse.resp.commands import RequestClasses
from ochrecourse.resp.memory_budget import MemoryBudget
from ochrecourse.resp.input_turns import InputTurns
from ochrecourse.resp.pipeline import PipelineTotals

MIN_SILENT_SECONDS = 0.25  # a new connection without a command is not evicted sooner
MIN_IDLE_SECONDS = 0.25  # a connection without an open request is not evicted sooner
MAX_IDLE_SECONDS = 6.0  # a connection idle for longer is closed, since each uses memory
IDLE_CHECK_SECONDS = 1.0  # interval of the checks for idle connections
ACCEPT_MARGIN = 16  # connections over the limit while others close; the process has descriptors to spare
LINGERING_DIVISOR = 4  # at most this fraction of the connection limit may linger
MIN_LINGERING_LIMIT = 16  # lower bound of that number
PARTIAL_COMMAND_SECONDS = 0.2  # for partial commands after `shut_down`; the kill follows 0.5 s after it
# For a lingering close after `shut_down`: the last replies are sent 0.2 s before the kill.
SHUTDOWN_LINGER_SECONDS = 0.15


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits of all client connections together.

    `eviction_threshold`: number of connections above which a new one evicts a silent or idle one.
    """

    max_connections: int
    eviction_threshold: int


class RespServerFactory(Factory):
    """Accepts clients (connection_owner.ConnectionOwner) and observes the gateway's requests
    (gateway.RequestObserver): one whose deadline passed while the event loop was blocked gets an error line.
    """

    noisy = False

    def __init__(
        self,
        gateway: Gateway,
        clock: Clock,
        request_classes: RequestClasses,
        limits: ClientLimits,
        budget: MemoryBudget,
    ) -> None:
        self.gateway = gateway
        self.clock = clock
        self.request_classes = request_classes
        self.max_connections = limits.max_connections
        self.eviction_threshold = limits.eviction_threshold
        # Ordered sets, oldest first: all connections with a descriptor, and the subsets by state.
        self.connections: dict[RespClientConnection, None] = {}
        self.silent: dict[RespClientConnection, None] = {}  # without a complete command so far
        self.idle: OrderedDict[RespClientConnection, None] = OrderedDict()  # without an open request
        self.lingering: dict[RespClientConnection, None] = {}  # closed by this side but not yet by the client
        self.totals = PipelineTotals(budget, clock)
        self.input_turns = InputTurns(clock)
        self.counts: Counter[str] = Counter()  # client errors by code, for the log
        self.closed_connections = 0  # since the start
        self.shutting_down = False
        self.rejecting = False  # late in the shutdown: requests that have not started are rejected
        self.max_linger_seconds: float | None = None  # set while the process is shutting down
        self.on_drained: Callable[[], None] | None = None  # called when the last connection has ended
        self._idle_check_timer: Timer | None = clock.callLater(
            IDLE_CHECK_SECONDS, self._close_idle_connections
        )
        self._reject_timer: Timer | None = None

    def accept_capacity(self) -> int:
        """Returns how many more connections may be accepted; lingering ones use descriptors too."""
        return self.max_connections + ACCEPT_MARGIN - len(self.connections)

    def buildProtocol(self, addr: Any) -> RespClientConnection | None:
        """Returns the protocol of an accepted connection, None to close it (Twisted callback)."""
        if self.accept_capacity() <= 0:
            # Evicted connections close an iteration later, so many clients at once could exceed the limit.
            self.counts["shut_unread"] += 1
            return None
        return RespClientConnection(self)

    # --- connection_owner.ConnectionOwner ---

    def connection_opened(self, connection: RespClientConnection) -> None:
        """Registers a new connection, for which another may be evicted; otherwise it may be rejected."""
        self.connections[connection] = None
        self.silent[connection] = None
        connection.idle_since = self.clock.seconds()
        if self.shutting_down:
            connection.rejecting = self.rejecting
            self.clock.callLater(0, connection.close_if_idle)
            return
        if len(self.connections) > self.max_connections:
            self._close_oldest_lingering()
        in_use = len(self.connections) - len(self.lingering)
        if in_use > self.eviction_threshold and not self._evict() and in_use > self.max_connections:
            connection.reject()

    def connection_sent_command(self, connection: RespClientConnection) -> None:
        """Unmarks a connection as silent when its first complete command has arrived."""
        self.silent.pop(connection, None)

    def connection_busy(self, connection: RespClientConnection) -> None:
        """Unmarks a connection as idle when it has an open request."""
        self.idle.pop(connection, None)

    def connection_idle(self, connection: RespClientConnection) -> None:
        """Marks a connection as idle when it has no open request any more."""
        self.idle[connection] = None
        self.idle.move_to_end(connection)

    def connection_lingering(self, connection: RespClientConnection) -> None:
        """Marks a connection as lingering, which keeps its descriptor until the client closes too."""
        self.silent.pop(connection, None)
        self.idle.pop(connection, None)
        self.lingering[connection] = None

    def limit_lingering(self) -> None:
        """Closes the oldest lingering connection if there are too many."""
        if len(self.lingering) > max(MIN_LINGERING_LIMIT, self.max_connections // LINGERING_DIVISOR):
            self._close_oldest_lingering()

    def connection_closed(self, connection: RespClientConnection) -> None:
        """Removes a connection that has ended and whose descriptor is free."""
        self.connections.pop(connection, None)
        self.silent.pop(connection, None)
        self.idle.pop(connection, None)
        self.lingering.pop(connection, None)
        self.closed_connections += 1
        if self.shutting_down and not self.connections and self.on_drained is not None:
            self.on_drained()

    # --- eviction ---

    def _close_oldest_lingering(self) -> None:
        """Closes the connection that has lingered longest without waiting for its client any longer."""
        for connection in self.lingering:
            closing = connection.lingering_close
            if closing is not None and not closing.closing_now:
                closing.close_now()
                return

    def _evict(self) -> bool:
        """Closes a silent connection, or else the one idle longest. Returns False if there is none.

        Bounds the number of descriptors, and prevents many clients that stay connected after one request from
        occupying the connection limit, so that nobody else can connect.
        """
        now = self.clock.seconds()
        for connection in list(self.silent):
            if now - connection.idle_since < MIN_SILENT_SECONDS:
                break
            if connection.close_if_silent():
                return True
        for connection in list(self.idle):
            if now - connection.idle_since < MIN_IDLE_SECONDS:
                break
            if connection.close_if_idle():
                return True
        return False

    def _close_idle_connections(self) -> None:
        self._idle_check_timer = self.clock.callLater(IDLE_CHECK_SECONDS, self._close_idle_connections)
        now = self.clock.seconds()
        for connection in list(self.idle):
            if now - connection.idle_since < MAX_IDLE_SECONDS:
                break
            connection.close_if_idle()

    # --- graceful shutdown ---

    def shut_down(self) -> None:
        """Closes idle connections now and others as they become idle; calls `on_drained` after the last one.

        Half a second later the process may be killed, whatever clients do until then.
        """
        self.shutting_down = True
        self.max_linger_seconds = SHUTDOWN_LINGER_SECONDS
        for connection in list(self.lingering):
            if connection.lingering_close is not None:
                connection.lingering_close.limit_time(SHUTDOWN_LINGER_SECONDS)
        for connection in list(self.connections):
            connection.close_if_idle()
        self._reject_timer = self.clock.callLater(PARTIAL_COMMAND_SECONDS, self._reject_queued)
        if not self.connections and self.on_drained is not None:
            self.on_drained()

    def _reject_queued(self) -> None:
        """Rejects queued requests, so that incomplete commands don't delay the exit until the kill."""
        self.rejecting = True
        for connection in list(self.connections):
            connection.reject_queued()

    def stop(self) -> None:
        """Cancels the server's own timers."""
        stop(self._idle_check_timer)
        stop(self._reject_timer)
        self.input_turns.stop()
        self._idle_check_timer = self._reject_timer = None

    # --- gateway.RequestObserver ---

    def request_finished(self, gateway: Gateway, record: RequestRecord) -> None:
        """Sends an error for a request whose deadline passed before the gateway replied."""
        if record.outcome is not RequestOutcome.TOO_LATE:
            return
        for connection in [each for each in self.connections if record.number in each.in_flight]:
            connection.deadline_passed(record.number)
