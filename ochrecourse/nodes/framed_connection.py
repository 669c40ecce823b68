"""One connection to a storage node: attempts out, bodies streamed, answers in. What it all means is said in
dispatcher.py.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import ClientFactory
from zope.interface import implementer

from ochrecourse.nodes.dispatcher import LINGER, LONGEST, Dispatcher, OutgoingAttempt, OpenConnection
from ochrecourse.nodes.pool import PooledConnection
from ochrecourse.nodes.outcome import ConnectionEnd, AttemptEvent
from ochrecourse.common.runtime import Network, Timer, stop
from ochrecourse.wire import messages as m
from ochrecourse.wire.framed_protocol import FramedProtocol
from ochrecourse.wire.state import StreamState, Role, node_connection_state


@implementer(IPushProducer)
class FramedConnection(FramedProtocol):
    """One connection to a node: sends attempts, streams their bodies while the transport takes more, reads
    answers.
    """

    def __init__(self, client: Dispatcher, pooled: PooledConnection) -> None:
        super().__init__(client.clock, Role.REQUESTER, node_connection_state())
        self.client = client
        self.pooled = pooled
        self.attempts: dict[int, OutgoingAttempt] = {}
        self.given_up: dict[int, Timer] = {}  # cancelled, not yet confirmed
        self.count = 0
        self.sending: list[OutgoingAttempt] = []  # with bytes still to go, served in turn
        self.blocked = False
        self.met = False

    def connection_ready(self) -> None:
        self.transport.registerProducer(self, True)
        self.send_message(m.Hello(version=m.PROTOCOL_VERSION, role="gateway", name=self.client.name))

    def send(self, attempt: OutgoingAttempt) -> None:
        self.count += 1
        attempt.id, attempt.connection = self.count, self
        self.attempts[attempt.id] = attempt
        first = attempt.body.read(0, m.MAX_BODY_BYTES) if attempt.body and attempt.message.size else b""
        attempt.message.id = attempt.id
        attempt.written = len(first)
        self.send_message(attempt.message, first)
        if attempt.written < attempt.message.size:
            self.sending.append(attempt)
            self.pump()

    def holds(self, attempt: OutgoingAttempt) -> bool:
        return attempt.id in self.attempts

    def credit(self, attempt: OutgoingAttempt, size: int) -> None:
        self.send_message(m.WindowUpdate(id=attempt.id, increment_bytes=size))

    def close(self) -> None:
        """Ends the connection once what was written has gone out."""
        if self.is_open:
            self.send_message(m.GoAway(reason="idle"))
            self.transport.loseConnection()
            self.clock.callLater(LINGER, self.abort)

    def pump(self) -> None:
        """Sends one piece of each body in turn until the transport asks to wait or all is sent."""
        while self.sending and not self.blocked and self.is_open:
            attempt = self.sending.pop(0)
            if attempt.over or attempt.body is None:
                continue
            piece = attempt.body.read(attempt.written, m.MAX_BODY_BYTES)
            attempt.written += len(piece)
            self.send_message(m.BodyChunk(id=attempt.id), piece)
            if attempt.written < attempt.message.size:
                self.sending.append(attempt)

    def pauseProducing(self) -> None:
        self.blocked = True

    def resumeProducing(self) -> None:
        self.blocked = False
        self.pump()

    def stopProducing(self) -> None:
        self.blocked = True

    def drop(self, attempt: OutgoingAttempt) -> None:
        """The gateway no longer waits for this attempt: the node hears of it, and has a while to confirm
        it.
        """
        self.attempts.pop(attempt.id, None)
        if attempt in self.sending:
            self.sending.remove(attempt)
        self.send_message(m.CancelAttempt(id=attempt.id))
        self.given_up[attempt.id] = self.clock.callLater(LINGER, self.abort)

    def message_received(self, message: m.AnyMessage, body: bytes, after: StreamState | None) -> None:
        if isinstance(message, m.Hello):
            self.met = True
            self.client.connection_opened(self)
            return
        if isinstance(message, m.GoAway):
            self.client.connection_leaving(self)
            return
        if isinstance(message, m.ErrorNotice):
            self.client.counts["faults told by nodes"] += 1
            self.abort()
            return
        number: int = message.id  # type: ignore[union-attr]  # the table lets no other pass
        over = after in (StreamState.CLOSED, StreamState.REJECTED)
        if number in self.given_up:
            if not isinstance(message, m.AttemptCancelled):
                self.client.counts["late answers dropped"] += 1
            if over:
                stop(self.given_up.pop(number))
                self.client.connection_freed(self, number)
            return
        attempt = self.attempts[number]
        if over:
            del self.attempts[number]
        if after is StreamState.REJECTED:
            if attempt in self.sending:
                self.sending.remove(attempt)
            self.send_message(m.CancelAttempt(id=number))  # the rest of its body need not be sent
        self.client.answered(self, attempt, message, body, over)

    def connection_ended(self, mid_message: bool) -> None:
        for timer in self.given_up.values():
            stop(timer)
        self.given_up.clear()
        how = (
            ConnectionEnd.GARBLED
            if self.failure
            else ConnectionEnd.HALF_HEADER
            if mid_message
            else ConnectionEnd.BETWEEN
        )
        attempts, self.attempts = self.attempts, {}
        self.client.connection_closed(self, list(attempts.values()), how)


class _Dial(ClientFactory):
    """One dial, bounded in time; its end is reported once."""

    noisy = False

    def __init__(self, client: Dispatcher, pooled: PooledConnection) -> None:
        self.client = client
        self.pooled = pooled

    def buildProtocol(self, addr: Any) -> FramedConnection:
        connection = FramedConnection(self.client, self.pooled)
        self.client.connections[self.pooled.number] = connection
        return connection

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.client.dial_failed(self.pooled, AttemptEvent.REFUSED)


def dialler(network: Network) -> OpenConnection:
    """What opens connections on a network; the dispatcher bounds the time, the network's own bound only
    tidies up.
    """

    def open_connection(
        dispatcher: Dispatcher, pooled: PooledConnection, address: tuple[str, int]
    ) -> Callable[[], None] | None:
        connector = network.connectTCP(address[0], address[1], _Dial(dispatcher, pooled), timeout=LONGEST)
        return None if connector is None else connector.disconnect

    return open_connection
