"""A storage node on a socket: docs/node-protocol.md spoken in front of a `Machine`."""

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
from ochrecourse.standins.machine import Machine, Work
from ochrecourse.wire import messages as m
from ochrecourse.wire.errors import ProtocolViolationError
from ochrecourse.wire.framed_protocol import FramedProtocol
from ochrecourse.wire.state import StreamState, Role, node_connection_state


class _Answer:
    """An answer being sent: what is left of it, and how much may go before more credit."""

    def __init__(self, pieces: list[bytes]) -> None:
        self.pieces = deque(pieces)
        self.credit = m.WINDOW_BYTES


@implementer(IPushProducer)
class NodePort(FramedProtocol):
    """One gateway's connection."""

    def __init__(self, factory: NodePorts) -> None:
        super().__init__(factory.clock, Role.RESPONDER, node_connection_state())
        self.factory = factory
        self.machine = factory.machine
        factory.count += 1
        self.conn = factory.count
        self.gateway = ""
        self.legs: dict[int, Work] = {}
        self.answers: dict[int, _Answer] = {}
        self.blocked = False

    def connection_ready(self) -> None:
        if len(self.factory.ports) >= self.machine.kind.connections:
            self.abort()
            return
        self.factory.ports[self] = None
        self.transport.registerProducer(self, True)
        if not self.machine.silent:
            self.clock.callLater(self.machine.kind.handshake_ms / 1000, self._greet)

    def _greet(self) -> None:
        if self.is_open and not self.machine.silent and not self.machine.down:
            self.send_message(m.Hello(version=m.PROTOCOL_VERSION, role="node", name=str(self.machine.number)))
            if self.machine.draining:
                self.send_message(m.GoAway(reason="draining"))

    def dataReceived(self, data: bytes) -> None:
        if not (self.gateway and self.machine.deaf_to(self.gateway)):
            super().dataReceived(data)

    def send_message(self, message: m.AnyMessage, body: bytes = b"") -> None:
        if not (self.gateway and self.machine.deaf_to(self.gateway)):
            super().send_message(message, body)

    def message_received(self, message: m.AnyMessage, body: bytes, after: StreamState | None) -> None:
        if isinstance(message, m.Hello):
            self.gateway = message.name
        elif isinstance(message, m.SendAttempt):
            self._leg(message, body, after)
        elif isinstance(message, m.BodyChunk):
            work = self.legs.get(message.id)
            if work is not None:
                work.body.append(body)
                if after is StreamState.COMPLETE:
                    self.machine.offer(work)
        elif isinstance(message, m.CancelAttempt):
            self._cancel(message.id, after)
        elif isinstance(message, m.WindowUpdate):
            answer = self.answers.get(message.id)
            if answer is not None:
                answer.credit += message.increment_bytes
                self._send_parts()
        elif isinstance(message, m.HealthCheck) and not self.machine.silent:
            self.send_message(m.HealthCheckReply(id=message.id, load=self.machine.report()))

    def _leg(self, message: m.SendAttempt, body: bytes, after: StreamState | None) -> None:
        if message.request_class not in self.machine.products:
            raise ProtocolViolationError(
                "unknown_product", f"no product {message.request_class!r} is known here"
            )
        now = now_ns(self.clock)
        work = Work(
            mark=message.idempotency_key,
            trace=message.trace,
            number=message.number,
            product=message.request_class,
            volume=message.volume,
            key=message.key,
            units=message.units,
            write=message.write,
            window=round(message.idempotency_window_ms * MS),
            expires=now + round(message.timeout_ms * MS) if message.timeout_ms else 0,
            gateway=self.gateway,
            reply=lambda work, how: self._reply(message.id, work, how),
            body=[body] if body else [],
        )
        self.legs[message.id] = work
        work.cost = self.machine.cost_of(work)
        self.machine.record(self._came(message, work, now))
        if message.shard not in (-1, self.machine.shard.number):
            self._reply(message.id, work, "not held")
        elif after is StreamState.COMPLETE:
            self.machine.offer(work)

    def _came(self, message: m.SendAttempt, work: Work, now: int) -> r.AttemptReceived:
        return r.AttemptReceived(
            t=now,
            node=self.machine.number,
            gateway=self.gateway,
            conn=self.conn,
            id=message.id,
            idempotency_key=message.idempotency_key,
            trace=message.trace,
            number=message.number,
            request_class=message.request_class,
            volume=message.volume,
            key=message.key,
            units=message.units,
            work=work.cost,
        )

    def _cancel(self, number: int, after: StreamState | None) -> None:
        self.machine.record(
            r.AttemptCancelled(t=now_ns(self.clock), node=self.machine.number, conn=self.conn, id=number)
        )
        work = self.legs.pop(number, None)
        answering = self.answers.pop(number, None)
        if work is None and answering is not None:
            self._over(number, "done")
            self.send_message(m.AttemptCancelled(id=number, executed="maybe"))
        if work is None or after in (StreamState.CLOSED, None):
            return
        ran = self.machine.stop(work)
        if not self.machine.silent:
            self._over(number, "cancelled")
            self.send_message(m.AttemptCancelled(id=number, executed=ran))

    def _over(self, number: int, how: str) -> None:
        self.machine.record(
            r.AttemptEnded(
                t=now_ns(self.clock), node=self.machine.number, conn=self.conn, id=number, outcome=how
            )
        )

    def _reply(self, number: int, work: Work, how: str) -> None:
        if self.legs.get(number) is not work or not self.is_open:
            return  # cancelled, or the connection is gone
        del self.legs[number]
        load = self.machine.report()
        used, elsewhere = self.machine.totals(work.volume, work.gateway)
        if how == "done":
            pieces = [
                piece[at : at + m.MAX_BODY_BYTES]
                for piece in self.machine.content(work)
                for at in range(0, len(piece), m.MAX_BODY_BYTES)
            ]
            size = sum(map(len, pieces))
            share = self.machine.reset_share
            if share and self.machine.chance.random() < share:
                self._reset(number, pieces, size)
                return
            inline = pieces.pop(0) if len(pieces) == 1 else b""
            if not pieces:
                self._over(number, "done")
            else:
                self.answers[number] = _Answer(pieces)
            self.send_message(
                m.AttemptServed(
                    id=number,
                    size=size,
                    shard=self.machine.shard.number,
                    replayed=work.repeat,
                    load=load,
                    volume_used=used,
                    elsewhere=elsewhere,
                ),
                inline,
            )
            self._send_parts()
            return
        self._over(number, {"failed": "failed", "not held": "moot"}.get(how, "full"))
        if how == "failed":
            self.send_message(
                m.AttemptFailed(
                    id=number,
                    text="the node failed the leg",
                    load=load,
                    volume_used=used,
                    elsewhere=elsewhere,
                )
            )
        else:
            self.send_message(m.AttemptRejected(id=number, reason=how, load=load))

    def _reset(self, number: int, pieces: list[bytes], size: int) -> None:
        """Trouble: the connection breaks inside the answer, or before an answer without a body."""
        self._over(number, "cut")
        if pieces:
            half = pieces[0][: len(pieces[0]) // 2]
            self.send_message(m.AttemptServed(id=number, size=size, shard=self.machine.shard.number), half)
        self.transport.loseConnection()

    def _send_parts(self) -> None:
        while self.answers and not self.blocked and self.is_open:
            number, answer = next(iter(self.answers.items()))
            if answer.credit <= 0:
                ready = [each for each, other in self.answers.items() if other.credit > 0]
                if not ready:
                    return
                number, answer = ready[0], self.answers[ready[0]]
            piece = answer.pieces.popleft()
            answer.credit -= len(piece)
            del self.answers[number]
            if answer.pieces:
                self.answers[number] = answer  # to the end: answers take turns
            else:
                self._over(number, "done")
            self.send_message(m.BodyChunk(id=number), piece)

    def pauseProducing(self) -> None:
        self.blocked = True

    def resumeProducing(self) -> None:
        self.blocked = False
        self._send_parts()

    def stopProducing(self) -> None:
        self.blocked = True

    def connection_ended(self, mid_message: bool) -> None:
        self.factory.ports.pop(self, None)
        for number in [*self.legs, *self.answers]:
            self._over(number, "cut")
        self.legs.clear()
        self.answers.clear()


class NodePorts(Factory):
    """Makes a `NodePort` for each connection to one node."""

    noisy = False

    def __init__(self, machine: Machine, clock: Clock, first: int = 0) -> None:
        """`first`: connections count on from here, so that no two lives of a node share a number."""
        self.machine = machine
        self.clock = clock
        self.ports: dict[NodePort, None] = {}
        self.count = first

    def buildProtocol(self, addr: Any) -> NodePort | None:
        return None if self.machine.down else NodePort(self)

    def cut_all(self) -> None:
        for port in list(self.ports):
            port.abort()

    def cut_where(self, gateway: Callable[[str], bool]) -> None:
        for port in list(self.ports):
            if gateway(port.gateway):
                port.abort()

    def say_bye(self) -> None:
        for port in self.ports:
            if Role.RESPONDER in port.state.hello_senders:
                port.send_message(m.GoAway(reason="draining"))
