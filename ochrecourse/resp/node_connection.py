"""One connection to a storage node: one attempt at a time, its command out and its reply in
(nodes.outgoing_attempt.NodeConnection).

An answer behind another would wait for it, and giving an attempt up means closing its connection; so a
connection carries one attempt, and it is free for the next only when nothing arrived behind the answer for a
moment.
"""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import Protocol

from ochrecourse.nodes.dial import connection_opener
from ochrecourse.nodes.dispatcher import Dispatcher, OpenConnection
from ochrecourse.nodes.outgoing_attempt import OutgoingAttempt
from ochrecourse.nodes.pool import PooledConnection
from ochrecourse.nodes.outcome import ConnectionEnd
from ochrecourse.common.runtime import Network, now_ns
from ochrecourse.common.time_units import MS
from ochrecourse.resp.codec import Breach, Replies
from ochrecourse.resp.commands import Asked, answer

REST = 0.01  # s after an answer before its connection is used again; a second copy may come some ms late


class RespNodeConnection(Protocol):
    """One connection to a node."""

    transport: Any  # Twisted's interfaces carry no types

    def __init__(self, client: Dispatcher, pooled: PooledConnection) -> None:
        self.client = client
        self.pooled = pooled
        self.handshake_complete = False
        self.up = False
        self.garbled = False
        self.attempt: OutgoingAttempt | None = None
        self.replies = Replies()

    # --- nodes.outgoing_attempt.NodeConnection ---

    def send(self, attempt: OutgoingAttempt) -> None:
        asked = attempt.body
        assert isinstance(asked, Asked)
        waited = now_ns(self.client.clock) - attempt.sent_at
        self.attempt, attempt.connection, attempt.stream_id = attempt, self, 1
        attempt.written = asked.size
        self.transport.write(asked.command(round(attempt.message.timeout_ms * MS) - waited))

    def cancel(self, attempt: OutgoingAttempt) -> None:
        """Gives the attempt up: the platform's nodes take the end of the connection for that."""
        self.attempt = None
        self.abort()

    def carries(self, attempt: OutgoingAttempt) -> bool:
        return self.attempt is attempt

    def send_window_update(self, attempt: OutgoingAttempt, increment_bytes: int) -> None:
        """Answers here are whole; none is streamed."""

    def close(self) -> None:
        if self.up:
            self.transport.loseConnection()

    def abort(self) -> None:
        if self.up:
            self.client.connection_aborting(self)
            self.transport.abortConnection()

    # --- Twisted's calls ---

    def connectionMade(self) -> None:
        self.up = self.handshake_complete = True
        if hasattr(self.transport, "setTcpNoDelay"):
            self.transport.setTcpNoDelay(True)
        self.client.connection_opened(self)

    def dataReceived(self, data: bytes) -> None:
        attempt = self.attempt
        if attempt is None:
            # Guards against a second copy or noise behind an answer, which the next attempt would take for
            # its.
            self.client.counts["bytes behind an answer"] += 1
            self.abort()
            return
        try:
            self.replies.feed(data)
            read = self.replies.next()
            if read is None:
                return
            message, value = answer(read[0])
        except Breach as breach:
            self.client.counts[f"nodes' breaches: {breach.code}"] += 1
            self.garbled = True
            self.abort()
            return
        self.attempt = None
        attempt.pooled = None  # its place is free again after a rest
        if self.replies.unread():
            self.client.counts["bytes behind an answer"] += 1
            self.abort()
        else:
            self.client.clock.callLater(REST, self._rested)
        self.client.response_received(attempt, message, value, True)

    def _rested(self) -> None:
        # Guards against a loop that stood still: it calls its timers before it reads, and what arrived in the
        # time of the rest may stand unread. It is read before the next turn's calls.
        self.client.clock.callLater(0, self._free)

    def _free(self) -> None:
        if self.up:
            self.client.connection_freed(self)

    def connectionLost(self, reason: Any = None) -> None:
        self.up = False
        attempts = [] if self.attempt is None else [self.attempt]
        self.attempt = None
        half = ConnectionEnd.IN_HEADER if self.replies.partial() else ConnectionEnd.BETWEEN_MESSAGES
        how = ConnectionEnd.VIOLATION if self.garbled else half
        self.client.connection_closed(self, attempts, how)


def dialler(network: Network) -> OpenConnection:
    """What opens connections to nodes that speak RESP2."""
    return connection_opener(network, RespNodeConnection)
