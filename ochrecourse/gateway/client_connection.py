"""Client connections of a gateway in the framed protocol: receives requests and their bodies, and streams
responses.

A request is submitted once its body is complete; until then it can only be refused. Its timeout runs from
when its header was read. A client that closes its connection cancels all its requests. A protocol violation
ends only the connection on which it occurs.
"""

from __future__ import annotations

from collections import Counter
from typing import Any

from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Factory
from zope.interface import implementer

from ochrecourse.common.requests import BadRequestError, Request
from ochrecourse.common.input_timer import InputTimer
from ochrecourse.common.runtime import Clock, Timer, now_ns, stop
from ochrecourse.common.time_units import MS
from ochrecourse.gateway.gateway import Gateway
from ochrecourse.gateway.request_body import RequestBody
from ochrecourse.wire import messages as m
from ochrecourse.wire.framed_protocol import MESSAGE_TIMEOUT_S, FramedProtocol
from ochrecourse.wire.state import Role, StreamState, client_connection_state

MAX_TRACE_LENGTH = 64  # characters of a client's trace id, which is in every attempt's header
MAX_BODY_BYTES = 1 << 32  # of a request; stored in a temporary file
MIN_UPLOAD_MS = 1.0
MAX_UPLOAD_MS = 3_600_000.0
MAX_TIMEOUT_NS = 1e18  # a longer timeout is invalid


class _Upload:
    """A request whose body is still arriving; `timer` refuses it at the client's timeout."""

    def __init__(self, message: m.SubmitRequest, read_at: int, body: RequestBody) -> None:
        self.message = message
        self.read_at = read_at
        self.body = body
        self.timer: Timer | None = None


@implementer(IPushProducer)
class ClientConnection(FramedProtocol):
    """One client's connection, and the response handler of all its requests."""

    def __init__(self, factory: ClientConnectionFactory) -> None:
        super().__init__(factory.clock, Role.RESPONDER, client_connection_state())
        self.factory = factory
        self.gateway = factory.gateway
        self.uploads: dict[int, _Upload] = {}  # by the client's id
        self.client_ids: dict[int, int] = {}  # the client's id by the gateway's request id
        self.request_ids: dict[int, int] = {}  # the gateway's request id by the client's id
        self.write_blocked = False  # the transport is full; LineReceiver's `paused` is for input
        self.unconsumed: dict[int, int] = {}  # bytes by request, written while the transport was full
        self.hello_timer = InputTimer(factory.clock, m.MAX_HEADER_BYTES)

    def connection_ready(self) -> None:
        """Sends the gateway's hello, or refuses the connection over the limit."""
        if len(self.factory.connections) >= self.factory.max_connections:
            self.factory.counts["connections over the cap"] += 1
            self.send_message(m.Hello(version=m.PROTOCOL_VERSION, role="gateway", name=self.gateway.name))
            self.fail_connection("too_many_connections", "this gateway has all the connections it takes")
            return
        self.factory.connections[self] = None
        self.hello_timer.start(MESSAGE_TIMEOUT_S, self._hello_timed_out)
        self.transport.registerProducer(self, True)
        self.send_message(m.Hello(version=m.PROTOCOL_VERSION, role="gateway", name=self.gateway.name))

    def _hello_timed_out(self) -> None:
        self.fail_connection("no_hello", "no hello came")

    def message_received(self, message: m.AnyMessage, body: bytes, stream_state: StreamState | None) -> None:
        """Handles a complete message."""
        if isinstance(message, m.Hello):
            self.hello_timer.stop()
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
            self._remove_request(request_id)
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
            self._remove_request(request_id)
            self.gateway.cancel(request_id)
        if after not in (StreamState.CLOSED, None):
            self.send_message(m.RequestCancelled(id=client_id))

    def _remove_request(self, request_id: int) -> int | None:
        """Removes a request; returns the client's id of it, None if it was removed before."""
        client_id = self.client_ids.pop(request_id, None)
        if client_id is not None:
            del self.request_ids[client_id]
        return client_id

    # --- responses (common.requests.ResponseHandler) ---

    def served(self, request_id: int, size: int, shard: int) -> None:
        """Begins a response with a body of `size` bytes."""
        self.send_message(m.RequestServed(id=self.client_ids[request_id], size=size, shard=shard))
        if not size:
            self._remove_request(request_id)

    def body_chunk(self, request_id: int, data: bytes) -> None:
        """Sends more of the response's body."""
        client_id = self.client_ids.get(request_id)
        if client_id is None:
            self.gateway.response_consumed(request_id, len(data))
            return
        self.send_message(m.BodyChunk(id=client_id), data)
        if client_id not in self.state.streams:
            self._remove_request(request_id)
        elif self.write_blocked:
            self.unconsumed[request_id] = self.unconsumed.get(request_id, 0) + len(data)
        else:
            self.gateway.response_consumed(request_id, len(data))

    def aborted(self, request_id: int) -> None:
        """Fails a request whose response was aborted."""
        if (client_id := self._remove_request(request_id)) is not None:
            self.send_message(m.RequestFailed(id=client_id))

    def rejected(self, request_id: int, retry_after: int) -> None:
        """Rejects a request; `retry_after` in ns, 0 for no advice."""
        if (client_id := self._remove_request(request_id)) is not None:
            self.send_message(m.RequestRejected(id=client_id, retry_after_ms=retry_after / MS))

    def failed(self, request_id: int) -> None:
        """Fails a request whose effect is unknown."""
        if (client_id := self._remove_request(request_id)) is not None:
            self.send_message(m.RequestFailed(id=client_id))

    # --- back-pressure from the client (IPushProducer) ---

    def pauseProducing(self) -> None:
        """Withholds window updates: the transport's buffer is full (Twisted callback)."""
        self.write_blocked = True

    def resumeProducing(self) -> None:
        """Grants window for what the client has read (Twisted callback)."""
        self.write_blocked = False
        unconsumed, self.unconsumed = self.unconsumed, {}
        for request_id, size in unconsumed.items():
            self.gateway.response_consumed(request_id, size)

    def stopProducing(self) -> None:
        """Blocks writes: the connection has ended (Twisted callback)."""
        self.write_blocked = True

    def connection_ended(self, mid_message: bool) -> None:
        """Cancels all requests of a connection that has ended."""
        self.factory.connections.pop(self, None)
        self.factory.connections_closed += 1
        self.hello_timer.stop()
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
    """Creates a `ClientConnection` for each client; connections over `max_connections` are refused."""

    noisy = False

    def __init__(self, gateway: Gateway, clock: Clock, max_connections: int) -> None:
        self.gateway = gateway
        self.clock = clock
        self.max_connections = max_connections
        self.connections: dict[ClientConnection, None] = {}
        self.counts: Counter[str] = Counter()
        self.connections_closed = 0  # since the start

    def buildProtocol(self, addr: Any) -> ClientConnection:
        """Returns the protocol of a new connection (Twisted callback)."""
        return ClientConnection(self)

    def announce_drain(self) -> None:
        """Notifies every client that no new requests are admitted."""
        for connection in self.connections:
            connection.send_message(m.GoAway(reason="draining"))

    def close(self) -> None:
        """Closes all connections once everything written to them has been sent."""
        for connection in list(self.connections):
            connection.transport.loseConnection()
