"""One connection to a storage node: one attempt at a time, its command out and its reply in
(nodes.dispatcher.NodeConnection).

An answer behind another would wait for it, and giving an attempt up means closing its connection; so a
connection carries one attempt, and it is free for the next only when nothing arrived behind the answer for a
moment.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ClientFactory, Protocol

from ochrecourse.nodes.dispatcher import LONGEST, Dispatcher, OutgoingAttempt, OpenConnection
from ochrecourse.nodes.pool import PooledConnection
from ochrecourse.nodes.outcome import ConnectionEnd, AttemptEvent
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
        self.met = False
        self.up = False
        self.garbled = False
        self.attempt: OutgoingAttempt | None = None
        self.replies = Replies()

    # --- nodes.dispatcher.NodeConnection ---

    def send(self, attempt: OutgoingAttempt) -> None:
        asked = attempt.body
        assert isinstance(asked, Asked)
        waited = now_ns(self.client.clock) - attempt.sent_at
        self.attempt, attempt.connection, attempt.id = attempt, self, 1
        attempt.written = asked.size
        self.transport.write(asked.command(round(attempt.message.timeout_ms * MS) - waited))

    def drop(self, attempt: OutgoingAttempt) -> None:
        """Gives the attempt up: the platform's nodes take the end of the connection for that."""
        self.attempt = None
        self.abort()

    def holds(self, attempt: OutgoingAttempt) -> bool:
        return self.attempt is attempt

    def credit(self, attempt: OutgoingAttempt, size: int) -> None:
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
        self.up = self.met = True
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
        self.client.answered(self, attempt, message, value, True)

    def _rested(self) -> None:
        # Guards against a loop that stood still: it calls its timers before it reads, and what arrived in the
        # time of the rest may stand unread. It is read before the next turn's calls.
        self.client.clock.callLater(0, self._free)

    def _free(self) -> None:
        if self.up:
            self.client.connection_freed(self, -1)

    def connectionLost(self, reason: Any = None) -> None:
        self.up = False
        attempts = [] if self.attempt is None else [self.attempt]
        self.attempt = None
        half = ConnectionEnd.HALF_HEADER if self.replies.partial() else ConnectionEnd.BETWEEN
        how = ConnectionEnd.GARBLED if self.garbled else half
        self.client.connection_closed(self, attempts, how)


class _Dial(ClientFactory):
    """One dial; its end is reported once."""

    noisy = False

    def __init__(self, client: Dispatcher, pooled: PooledConnection) -> None:
        self.client = client
        self.pooled = pooled

    def buildProtocol(self, addr: Any) -> RespNodeConnection | None:
        if self.pooled.number not in self.client.dials:
            return None  # given up meanwhile: nobody would own the connection
        connection = RespNodeConnection(self.client, self.pooled)
        self.client.connections[self.pooled.number] = connection
        return connection

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.client.dial_failed(self.pooled, AttemptEvent.REFUSED)


def dialler(network: Network) -> OpenConnection:
    """What opens connections to nodes that speak RESP2; the dispatcher bounds the time, this only tidies
    up.
    """

    def open_connection(
        dispatcher: Dispatcher, pooled: PooledConnection, address: tuple[str, int]
    ) -> Callable[[], None] | None:
        connector = network.connectTCP(address[0], address[1], _Dial(dispatcher, pooled), timeout=LONGEST)
        return None if connector is None else connector.disconnect

    return open_connection
