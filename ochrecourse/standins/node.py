"""A storage node on a socket: the protocol of docs/node-protocol.md in front of a `NodeProcess`."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Factory
from zope.interface import implementer

from ochrecourse.audit import records as r
from ochrecourse.common.runtime import Clock, now_ns
from ochrecourse.common.time_units import MS
from ochrecourse.standins.node_process import NodeAttempt, NodeProcess
from ochrecourse.wire import messages as m
from ochrecourse.wire.errors import ProtocolViolationError
from ochrecourse.wire.framed_protocol import FramedProtocol
from ochrecourse.wire.state import StreamState, Role, node_connection_state


class _Answer:
    """An answer being sent: the chunks left, and the flow-control credit in bytes."""

    def __init__(self, chunks: list[bytes]) -> None:
        self.chunks = deque(chunks)
        self.credit = m.WINDOW_BYTES


@implementer(IPushProducer)
class NodeConnection(FramedProtocol):
    """The connection of one gateway."""

    def __init__(self, factory: NodeConnectionFactory) -> None:
        super().__init__(factory.clock, Role.RESPONDER, node_connection_state())
        self.factory = factory
        self.process = factory.process
        factory.last_connection_number += 1
        self.connection_number = factory.last_connection_number
        self.gateway = ""
        self.attempts: dict[int, NodeAttempt] = {}
        self.answers: dict[int, _Answer] = {}
        self.sending_paused = False

    def connection_ready(self) -> None:
        """Sends Hello after the handshake time; aborts a connection beyond the node's limit."""
        if len(self.factory.connections) >= self.process.kind.connections:
            self.abort()
            return
        self.factory.connections[self] = None
        self.transport.registerProducer(self, True)
        if not self.process.silent:
            self.clock.callLater(self.process.kind.handshake_ms / 1000, self._send_hello)

    def _send_hello(self) -> None:
        if self.is_open and not self.process.silent and not self.process.down:
            self.send_message(m.Hello(version=m.PROTOCOL_VERSION, role="node", name=str(self.process.number)))
            if self.process.draining:
                self.send_message(m.GoAway(reason="draining"))

    def dataReceived(self, data: bytes) -> None:
        """Drops the bytes of a gateway that is partitioned from the node."""
        if not (self.gateway and self.process.ignores_gateway(self.gateway)):
            super().dataReceived(data)

    def send_message(self, message: m.AnyMessage, body: bytes = b"") -> None:
        """Sends a message, unless the gateway is partitioned from the node."""
        if not (self.gateway and self.process.ignores_gateway(self.gateway)):
            super().send_message(message, body)

    def message_received(self, message: m.AnyMessage, body: bytes, after: StreamState | None) -> None:
        """Handles one message of the gateway."""
        if isinstance(message, m.Hello):
            self.gateway = message.name
        elif isinstance(message, m.SendAttempt):
            self._receive_attempt(message, body, after)
        elif isinstance(message, m.BodyChunk):
            attempt = self.attempts.get(message.id)
            if attempt is not None:
                attempt.body.append(body)
                if after is StreamState.COMPLETE:
                    self.process.submit(attempt)
        elif isinstance(message, m.CancelAttempt):
            self._cancel(message.id, after)
        elif isinstance(message, m.WindowUpdate):
            answer = self.answers.get(message.id)
            if answer is not None:
                answer.credit += message.increment_bytes
                self._send_chunks()
        elif isinstance(message, m.HealthCheck) and not self.process.silent:
            self.send_message(m.HealthCheckReply(id=message.id, load=self.process.load_report()))

    def _receive_attempt(self, message: m.SendAttempt, body: bytes, after: StreamState | None) -> None:
        if message.request_class not in self.process.request_classes:
            raise ProtocolViolationError(
                "unknown_product", f"no product {message.request_class!r} is known here"
            )
        now = now_ns(self.clock)
        attempt = NodeAttempt(
            idempotency_key=message.idempotency_key,
            trace=message.trace,
            number=message.number,
            request_class=message.request_class,
            volume=message.volume,
            key=message.key,
            units=message.units,
            write=message.write,
            idempotency_window=round(message.idempotency_window_ms * MS),
            expires_at=now + round(message.timeout_ms * MS) if message.timeout_ms else 0,
            gateway=self.gateway,
            reply=lambda attempt, outcome: self._reply(message.id, attempt, outcome),
            body=[body] if body else [],
        )
        self.attempts[message.id] = attempt
        attempt.cost = self.process.cost_of(attempt)
        self.process.record(self._arrival_record(message, attempt, now))
        if message.shard not in (-1, self.process.shard.number):
            self._reply(message.id, attempt, "not held")
        elif after is StreamState.COMPLETE:
            self.process.submit(attempt)

    def _arrival_record(self, message: m.SendAttempt, attempt: NodeAttempt, now: int) -> r.AttemptReceived:
        return r.AttemptReceived(
            t=now,
            node=self.process.number,
            gateway=self.gateway,
            conn=self.connection_number,
            id=message.id,
            idempotency_key=message.idempotency_key,
            trace=message.trace,
            number=message.number,
            request_class=message.request_class,
            volume=message.volume,
            key=message.key,
            units=message.units,
            work=attempt.cost,
        )

    def _cancel(self, number: int, after: StreamState | None) -> None:
        self.process.record(
            r.AttemptCancelled(
                t=now_ns(self.clock), node=self.process.number, conn=self.connection_number, id=number
            )
        )
        attempt = self.attempts.pop(number, None)
        answer_in_progress = self.answers.pop(number, None)
        if attempt is None and answer_in_progress is not None:
            self._record_end(number, "done")
            self.send_message(m.AttemptCancelled(id=number, executed="maybe"))
        if attempt is None or after in (StreamState.CLOSED, None):
            return
        executed = self.process.cancel(attempt)
        if not self.process.silent:
            self._record_end(number, "cancelled")
            self.send_message(m.AttemptCancelled(id=number, executed=executed))

    def _record_end(self, number: int, outcome: str) -> None:
        self.process.record(
            r.AttemptEnded(
                t=now_ns(self.clock),
                node=self.process.number,
                conn=self.connection_number,
                id=number,
                outcome=outcome,
            )
        )

    def _reply(self, number: int, attempt: NodeAttempt, outcome: str) -> None:
        if self.attempts.get(number) is not attempt or not self.is_open:
            return  # cancelled, or the connection has closed
        del self.attempts[number]
        load = self.process.load_report()
        usage, elsewhere = self.process.usage_report(attempt.volume, attempt.gateway)
        if outcome == "done":
            chunks = [
                chunk[at : at + m.MAX_BODY_BYTES]
                for chunk in self.process.answer_body(attempt)
                for at in range(0, len(chunk), m.MAX_BODY_BYTES)
            ]
            size = sum(map(len, chunks))
            share = self.process.reset_share
            if share and self.process.random_source.random() < share:
                self._reset_connection(number, chunks, size)
                return
            inline = chunks.pop(0) if len(chunks) == 1 else b""
            if not chunks:
                self._record_end(number, "done")
            else:
                self.answers[number] = _Answer(chunks)
            self.send_message(
                m.AttemptServed(
                    id=number,
                    size=size,
                    shard=self.process.shard.number,
                    replayed=attempt.replayed,
                    load=load,
                    volume_used=usage,
                    elsewhere=elsewhere,
                ),
                inline,
            )
            self._send_chunks()
            return
        self._record_end(number, {"failed": "failed", "not held": "moot"}.get(outcome, "full"))
        if outcome == "failed":
            self.send_message(
                m.AttemptFailed(
                    id=number,
                    text="the node failed the leg",
                    load=load,
                    volume_used=usage,
                    elsewhere=elsewhere,
                )
            )
        else:
            self.send_message(m.AttemptRejected(id=number, reason=outcome, load=load))

    def _reset_connection(self, number: int, chunks: list[bytes], size: int) -> None:
        """Injected fault: closes the connection within the answer, or before an answer without a body."""
        self._record_end(number, "cut")
        if chunks:
            half = chunks[0][: len(chunks[0]) // 2]
            self.send_message(m.AttemptServed(id=number, size=size, shard=self.process.shard.number), half)
        self.transport.loseConnection()

    def _send_chunks(self) -> None:
        while self.answers and not self.sending_paused and self.is_open:
            number, answer = next(iter(self.answers.items()))
            if answer.credit <= 0:
                ready = [each for each, other in self.answers.items() if other.credit > 0]
                if not ready:
                    return
                number, answer = ready[0], self.answers[ready[0]]
            chunk = answer.chunks.popleft()
            answer.credit -= len(chunk)
            del self.answers[number]
            if answer.chunks:
                self.answers[number] = answer  # moved to the end: answers take turns
            else:
                self._record_end(number, "done")
            self.send_message(m.BodyChunk(id=number), chunk)

    def pauseProducing(self) -> None:
        """Stops sending: the transport's buffer is full."""
        self.sending_paused = True

    def resumeProducing(self) -> None:
        """Resumes sending."""
        self.sending_paused = False
        self._send_chunks()

    def stopProducing(self) -> None:
        """Stops sending: the connection has closed."""
        self.sending_paused = True

    def connection_ended(self, mid_message: bool) -> None:
        """Records the end of each open attempt."""
        self.factory.connections.pop(self, None)
        for number in [*self.attempts, *self.answers]:
            self._record_end(number, "cut")
        self.attempts.clear()
        self.answers.clear()


class NodeConnectionFactory(Factory):
    """Creates a `NodeConnection` for each connection to one node."""

    noisy = False

    def __init__(self, process: NodeProcess, clock: Clock, first_number: int = 0) -> None:
        """`first_number`: numbers of connections follow it, so that two processes of a node share none."""
        self.process = process
        self.clock = clock
        self.connections: dict[NodeConnection, None] = {}
        self.last_connection_number = first_number

    def buildProtocol(self, addr: Any) -> NodeConnection | None:
        """Creates the connection handler; refuses connections once the process has ended."""
        return None if self.process.down else NodeConnection(self)

    def abort_all(self) -> None:
        """Aborts all connections."""
        for connection in list(self.connections):
            connection.abort()

    def abort_matching(self, predicate: Callable[[str], bool]) -> None:
        """Aborts the connections of the gateways whose names satisfy `predicate`."""
        for connection in list(self.connections):
            if predicate(connection.gateway):
                connection.abort()

    def announce_draining(self) -> None:
        """Sends GoAway to every gateway that has sent its Hello."""
        for connection in self.connections:
            if Role.RESPONDER in connection.state.hello_senders:
                connection.send_message(m.GoAway(reason="draining"))
