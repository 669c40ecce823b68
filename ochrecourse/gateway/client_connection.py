"""The clients' side of a gateway: receives requests with their bodies, sends each its answer, streams bodies
that were read.

A request is submitted when its whole body is here; until then it can only be refused. Its time runs from when
its header was read. A client that closes its connection cancels all its requests. What a client does wrong
ends its own connection and nothing else.
"""

from __future__ import annotations

from collections import Counter
from typing import Any

from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Factory
from zope.interface import implementer

from ochrecourse.common.requests import BadRequestError, Request
from ochrecourse.common.runtime import Clock, Timer, now_ns, stop
from ochrecourse.common.time_units import MS
from ochrecourse.gateway.gateway import Gateway
from ochrecourse.gateway.request_body import RequestBody
from ochrecourse.wire import messages as m
from ochrecourse.wire.framed_protocol import MESSAGE_TIMEOUT_S, FramedProtocol
from ochrecourse.wire.state import Role, StreamState, client_connection_state

MAX_TRACE_LENGTH = 64  # characters of a client's own name for a request; it stands in every attempt's header
MAX_BODY_BYTES = 1 << 32  # what a temporary file is asked to store at most
MIN_UPLOAD_MS = 1.0
MAX_UPLOAD_MS = 3_600_000.0
MAX_TIMEOUT_NS = 1e18  # a longer one is no time that a client means


class _Upload:
    """A request whose body is still arriving; `timer` ends it when its client would have given up."""

    def __init__(self, message: m.SubmitRequest, read_at: int, body: RequestBody) -> None:
        self.message = message
        self.read_at = read_at
        self.body = body
        self.timer: Timer | None = None


@implementer(IPushProducer)
class ClientConnection(FramedProtocol):
    """One client's connection. It is the response handler of all requests that arrived on it."""

    def __init__(self, factory: ClientConnectionFactory) -> None:
        super().__init__(factory.clock, Role.RESPONDER, client_connection_state())
        self.factory = factory
        self.gateway = factory.gateway
        self.uploads: dict[int, _Upload] = {}  # by the client's id
        self.client_ids: dict[int, int] = {}  # the client's id of each request, by the gateway's
        self.request_ids: dict[int, int] = {}  # and the other way round
        self.blocked = False  # its transport is full; LineReceiver has its own `paused`, for input
        self.unconsumed: dict[int, int] = {}  # bytes by request, written while the transport was full
        self.greeting: Timer | None = None

    def connection_ready(self) -> None:
        """The connection is open."""
        if len(self.factory.connections) >= self.factory.max_connections:
            self.factory.counts["connections over the cap"] += 1
            self.send_message(m.Hello(version=m.PROTOCOL_VERSION, role="gateway", name=self.gateway.name))
            self.fail_connection("too_many_connections", "this gateway has all the connections it takes")
            return
        self.factory.connections[self] = None
        self.greeting = self.clock.callLater(
            MESSAGE_TIMEOUT_S, self.fail_connection, "no_hello", "no hello came"
        )
        self.transport.registerProducer(self, True)
        self.send_message(m.Hello(version=m.PROTOCOL_VERSION, role="gateway", name=self.gateway.name))

    def message_received(self, message: m.AnyMessage, body: bytes, stream_state: StreamState | None) -> None:
        """A whole message was received."""
        if isinstance(message, m.Hello):
            stop(self.greeting)
        elif isinstance(message, m.SubmitRequest):
            self._request_received(message, body)
        elif isinstance(message, m.BodyChunk):
            self._body_chunk_received(message.id, body)
        elif isinstance(message, m.CancelRequest):
            self._cancel_received(message.id, stream_state)

    def _request_received(self, message: m.SubmitRequest, first_chunk: bytes) -> None:
        now = now_ns(self.clock)
        if message.size > MAX_BODY_BYTES:
            self._refuse(
                message.id, "body_limit", f"a body of {message.size} bytes; at most {MAX_BODY_BYTES}"
            )
            return
        body = RequestBody(message.size)
        body.write(first_chunk)
        if body.is_complete():
            self._submit(message, now, body)
            return
        upload = self.uploads[message.id] = _Upload(message, now, body)
        wait = min(max(message.timeout_ms, MIN_UPLOAD_MS), MAX_UPLOAD_MS) / 1000
        upload.timer = self.clock.callLater(wait, self._upload_timed_out, message.id)

    def _body_chunk_received(self, client_id: int, chunk: bytes) -> None:
        upload = self.uploads.get(client_id)
        if upload is None:
            return  # refused before its body was complete
        upload.body.write(chunk)
        if upload.body.is_complete():
            del self.uploads[client_id]
            stop(upload.timer)
            self._submit(upload.message, upload.read_at, upload.body)

    def _upload_timed_out(self, client_id: int) -> None:
        upload = self.uploads.pop(client_id)
        upload.body.close()
        self._refuse(client_id, "late_body", "the body was not whole before the client's own timeout")

    def _submit(self, message: m.SubmitRequest, read_at: int, body: RequestBody) -> None:
        timeout = message.timeout_ms * MS
        request = Request(
            request_class=message.request_class,
            tenant=message.tenant,
            volume=message.volume,
            timeout=round(timeout) if abs(timeout) < MAX_TIMEOUT_NS else 0,
            read_at=read_at,
            key=message.key,
            units=message.units,
            shard=message.shard,
            gateways=message.gateways,
            trace=message.trace[:MAX_TRACE_LENGTH],
            body=body if body.size else None,
        )
        request_id = self.gateway.next_request_id()
        self.client_ids[request_id] = message.id
        self.request_ids[message.id] = request_id
        try:
            self.gateway.submit(request, self)
        except BadRequestError as error:
            body.close()
            self._forget(request_id)
            self._refuse(message.id, error.code, str(error))

    def _refuse(self, client_id: int, code: str, text: str) -> None:
        self.factory.counts[f"refused: {code}"] += 1
        self.send_message(m.ErrorNotice(id=client_id, code=code, text=text))

    def _cancel_received(self, client_id: int, after: StreamState | None) -> None:
        upload = self.uploads.pop(client_id, None)
        if upload is not None:
            upload.body.close()
            stop(upload.timer)
        request_id = self.request_ids.get(client_id)
        if request_id is not None:
            self._forget(request_id)
            self.gateway.cancel(request_id)
        if after not in (StreamState.CLOSED, None):
            self.send_message(m.RequestCancelled(id=client_id))

    def _forget(self, request_id: int) -> int | None:
        """Forgets a request; returns the client's id of it, None if it was forgotten before."""
        client_id = self.client_ids.pop(request_id, None)
        if client_id is not None:
            del self.request_ids[client_id]
        return client_id

    # --- the answer (common.requests.ResponseHandler) ---

    def served(self, request_id: int, size: int, shard: int) -> None:
        """The answer begins."""
        self.send_message(m.RequestServed(id=self.client_ids[request_id], size=size, shard=shard))
        if not size:
            self._forget(request_id)

    def body_chunk(self, request_id: int, data: bytes) -> None:
        """More of the answer's body."""
        client_id = self.client_ids.get(request_id)
        if client_id is None:
            self.gateway.response_consumed(request_id, len(data))
            return
        self.send_message(m.BodyChunk(id=client_id), data)
        if client_id not in self.state.streams:
            self._forget(request_id)
        elif self.blocked:
            self.unconsumed[request_id] = self.unconsumed.get(request_id, 0) + len(data)
        else:
            self.gateway.response_consumed(request_id, len(data))

    def aborted(self, request_id: int) -> None:
        """The rest of the answer will not follow."""
        if (client_id := self._forget(request_id)) is not None:
            self.send_message(m.RequestFailed(id=client_id))

    def rejected(self, request_id: int, retry_after: int) -> None:
        """The request is rejected."""
        if (client_id := self._forget(request_id)) is not None:
            self.send_message(m.RequestRejected(id=client_id, retry_after_ms=retry_after / MS))

    def failed(self, request_id: int) -> None:
        """The request failed."""
        if (client_id := self._forget(request_id)) is not None:
            self.send_message(m.RequestFailed(id=client_id))

    # --- back-pressure from the client (IPushProducer) ---

    def pauseProducing(self) -> None:
        """The transport's buffer is full."""
        self.blocked = True

    def resumeProducing(self) -> None:
        """The client has read what was buffered."""
        self.blocked = False
        unconsumed, self.unconsumed = self.unconsumed, {}
        for request_id, size in unconsumed.items():
            self.gateway.response_consumed(request_id, size)

    def stopProducing(self) -> None:
        """The connection is gone."""
        self.blocked = True

    def connection_ended(self, mid_message: bool) -> None:
        """The connection is closed: all its requests are cancelled."""
        self.factory.connections.pop(self, None)
        self.factory.connections_closed += 1
        stop(self.greeting)
        if self.failure is not None:
            self.factory.counts[f"connections ended: {self.failure.code}"] += 1
        for upload in self.uploads.values():
            upload.body.close()
            stop(upload.timer)
        self.uploads.clear()
        request_ids = list(self.client_ids)
        self.client_ids = {}
        self.request_ids = {}
        for request_id in request_ids:
            self.gateway.cancel(request_id)


class ClientConnectionFactory(Factory):
    """Makes a `ClientConnection` for each client; beyond `max_connections` at once one is refused."""

    noisy = False

    def __init__(self, gateway: Gateway, clock: Clock, max_connections: int) -> None:
        self.gateway = gateway
        self.clock = clock
        self.max_connections = max_connections
        self.connections: dict[ClientConnection, None] = {}
        self.counts: Counter[str] = Counter()
        self.connections_closed = 0  # since the start

    def buildProtocol(self, addr: Any) -> ClientConnection:
        """The protocol of a new connection."""
        return ClientConnection(self)

    def announce_drain(self) -> None:
        """Notifies every client that no new requests are admitted."""
        for connection in self.connections:
            connection.send_message(m.GoAway(reason="draining"))

    def close(self) -> None:
        """Closes all connections once what was written to them is sent."""
        for connection in list(self.connections):
            connection.transport.loseConnection()
