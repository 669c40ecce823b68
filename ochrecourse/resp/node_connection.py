"""A RESP2 connection to a storage node, which carries one attempt at a time
(nodes.outgoing_attempt.NodeConnection).

Attempts are not pipelined: one would wait for the reply before it, and cancelling it means closing the
connection. The connection is reused only if nothing arrives after a reply for a short delay.
"""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import Protocol

from ochrecourse.common.runtime import Network, now_ns
from ochrecourse.common.time_units import MS
from ochrecourse.nodes.dial import connection_opener
from ochrecourse.nodes.dispatcher import Dispatcher, OpenConnection
from ochrecourse.nodes.outcome import ConnectionEnd
from ochrecourse.nodes.outgoing_attempt import OutgoingAttempt
from ochrecourse.nodes.pool import PooledConnection
from ochrecourse.resp.codec import ReplyParser, RespProtocolError
from ochrecourse.resp.memory_budget import MAX_EXPECTED_REPLY_BYTES, MemoryAccount, MemoryBudget
from ochrecourse.resp.commands import RespRequest, parse_reply

REUSE_DELAY_SECONDS = 0.01  # between a reply and the next attempt; a duplicate reply may be some ms late


class RespNodeConnection(Protocol):
    """One RESP2 connection to a node."""

    transport: Any  # Twisted's interfaces carry no types

    def __init__(
        self, dispatcher: Dispatcher, pooled: PooledConnection, budget: MemoryBudget | None = None
    ) -> None:
        """`budget`: of all connections, for the reply that is being received; None for no limit."""
        self.memory = MemoryAccount(budget or MemoryBudget())
        self.dispatcher = dispatcher
        self.pooled = pooled
        self.handshake_complete = False  # whether the connection has been open
        self.connected = False
        self.malformed_reply = False
        self.attempt: OutgoingAttempt | None = None
        self.parser = ReplyParser()

    # --- nodes.outgoing_attempt.NodeConnection ---

    def send(self, attempt: OutgoingAttempt) -> None:
        """Writes the attempt's command with the remaining part of its timeout."""
        request = attempt.body
        assert isinstance(request, RespRequest)
        waited = now_ns(self.dispatcher.clock) - attempt.sent_at
        self.attempt, attempt.connection, attempt.stream_id = attempt, self, 1
        attempt.written = request.size
        self.transport.write(request.encode(round(attempt.message.timeout_ms * MS) - waited))

    def cancel(self, attempt: OutgoingAttempt) -> None:
        """Cancels the attempt by closing the connection, which the platform's nodes treat as a cancel."""
        self.attempt = None
        self.abort()

    def carries(self, attempt: OutgoingAttempt) -> bool:
        """Whether the connection carries this attempt."""
        return self.attempt is attempt

    def send_window_update(self, attempt: OutgoingAttempt, increment_bytes: int) -> None:
        """Does nothing: replies arrive complete and are not streamed."""

    def close(self) -> None:
        """Closes the connection once everything written has been sent."""
        if self.connected:
            self.transport.loseConnection()

    def abort(self) -> None:
        """Resets the connection."""
        if self.connected:
            self.dispatcher.connection_aborting(self)
            self.transport.abortConnection()

    # --- Twisted callbacks ---

    def connectionMade(self) -> None:
        """Reports an open connection to the dispatcher (Twisted callback)."""
        self.connected = self.handshake_complete = True
        if hasattr(self.transport, "setTcpNoDelay"):
            self.transport.setTcpNoDelay(True)
        self.dispatcher.connection_opened(self)

    def dataReceived(self, data: bytes) -> None:
        """Parses received bytes and reports a complete reply (Twisted callback)."""
        attempt = self.attempt
        if attempt is None:
            # A duplicate reply or noise must not be taken for the reply to the next attempt.
            self.dispatcher.counts["bytes behind an answer"] += 1
            self.abort()
            return
        try:
            self.parser.feed(data)
            parsed = self.parser.next()
            self._count_memory()
            if parsed is None:
                return
            message, value = parse_reply(parsed[0])
        except RespProtocolError as error:
            self.dispatcher.counts[f"nodes' breaches: {error.code}"] += 1
            self.malformed_reply = True
            self._discard_reply()
            self.abort()
            return
        self.attempt = None
        attempt.pooled = None  # the connection is released after the delay, not when the attempt ends
        if self.parser.has_unparsed_bytes():
            self.dispatcher.counts["bytes behind an answer"] += 1
            self.abort()
        else:
            self.dispatcher.clock.callLater(REUSE_DELAY_SECONDS, self._reuse_delay_over)
        self.dispatcher.response_received(attempt, message, value, True)

    def _count_memory(self) -> None:
        """Counts the partial reply. Raises RespProtocolError if it is large and there is no memory for it."""
        size = self.parser.buffered_bytes()
        grown = size - self.memory.used
        if size > MAX_EXPECTED_REPLY_BYTES and self.memory.overdraft(grown) > 0:
            raise RespProtocolError("long_reply", "a reply for which there is no memory")
        self.memory.add(grown)

    def _discard_reply(self) -> None:
        """Frees what was received of a reply, also if something keeps this connection."""
        self.parser = ReplyParser()
        self.memory.add(-self.memory.used)

    def _reuse_delay_over(self) -> None:
        # The event loop calls timers before it reads sockets: after it was blocked, input that arrived during
        # the delay may not be read yet. It is read before the calls of the next iteration.
        self.dispatcher.clock.callLater(0, self._release)

    def _release(self) -> None:
        """Makes the connection available for the next attempt."""
        if self.connected:
            self.dispatcher.connection_freed(self)

    def connectionLost(self, reason: Any = None) -> None:
        """Reports the end of the connection to the dispatcher (Twisted callback)."""
        self.connected = False
        attempts = [] if self.attempt is None else [self.attempt]
        self.attempt = None
        partial = self.parser.has_partial_message()
        end = ConnectionEnd.IN_HEADER if partial else ConnectionEnd.BETWEEN_MESSAGES
        if self.malformed_reply:
            end = ConnectionEnd.VIOLATION
        self._discard_reply()
        self.dispatcher.connection_closed(self, attempts, end)


def dialler(network: Network, budget: MemoryBudget | None = None) -> OpenConnection:
    """Returns the function that opens connections to nodes that speak RESP2.

    `budget`: the memory that all connections may use together, None for no limit.
    """

    def make_connection(dispatcher: Dispatcher, pooled: PooledConnection) -> RespNodeConnection:
        return RespNodeConnection(dispatcher, pooled, budget)

    return connection_opener(network, make_connection)
