"""The WebDAV server on Twisted's HTTP channel.

It reads headers and bodies and writes responses; the other modules of this package decide what the response
is. A GET or PUT becomes one gateway request, and its answer one response: 200, 201 or 204 if it was served,
503 with Retry-After if it was rejected, 504 if it failed. If an answer breaks off after its headers were
sent, the connection is closed, so that the client notices the truncation. A request that can be refused by
its headers is refused before its body is received.
"""

from __future__ import annotations

import hashlib
import io
from collections import Counter, deque
from collections.abc import Callable, Iterator
from typing import Any

from twisted.internet.interfaces import IPushProducer
from twisted.web.http import HTTPChannel, HTTPFactory, Request
from zope.interface import implementer

from ochrecourse.common import requests
from ochrecourse.common.input_timer import InputTimer
from ochrecourse.common.runtime import Network, Timer, now_ns, stop
from ochrecourse.common.time_units import MS, SECOND
from ochrecourse.webdav import bodies
from ochrecourse.webdav.deduplication import Disposition, RequestDeduplicator, RequestIdentity
from ochrecourse.webdav.limits import ConnectionLimits, IncomingRequest, RateLimiter
from ochrecourse.webdav.mapping import NoMatchingRuleError, RequestClassRule, VolumeRule, map_request
from ochrecourse.webdav.methods import XML, Methods, ParsedRequest, Quota, Reply
from ochrecourse.webdav.namespace import Content, Entry, NamespaceError, StagedWrite
from ochrecourse.webdav.state_store import StateStore

LISTING_BATCH = 200  # multistatus responses written per turn of the event loop
SWEEP_INTERVAL_S = 0.25  # between checks for slow and idle connections
LINGER_S = 1.0  # a refused client can read its response before the connection closes
SMALL_BODY_BYTES = 1 << 16  # a body up to this size is read even if refused, so the connection persists
MAX_TRACE_LENGTH = 64  # characters of X-Request-Id
WAIT_FRACTION = 0.9  # share of its timeout that a duplicate read may wait; the rest is for its own run


# Headers that are removed when a GET fails before its body starts.
REPRESENTATION_HEADERS = (
    "Content-Length",
    "Content-Range",
    "Content-Type",
    "ETag",
    "Last-Modified",
    "Accept-Ranges",
)
BUSY_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)


class PutBody:
    """The received body of a PUT, in memory or in a file if it is large, for attempts to read from.

    The body is detached from its request, which would close it with the connection during an attempt.
    """

    def __init__(self, request: WebDavRequest) -> None:
        self.content, request.content = request.content, io.BytesIO()
        self.size = self.content.seek(0, io.SEEK_END)
        self.digest = request.digest.hexdigest()

    def read(self, offset: int, size: int) -> bytes:
        """Returns at most `size` bytes from `offset` on."""
        self.content.seek(offset)
        data: bytes = self.content.read(size)
        return data

    def close(self) -> None:
        """Releases the memory or the file."""
        self.content.close()


@implementer(IPushProducer)
class WebDavRequest(Request):
    """One HTTP request, and the receiver of the gateway's answer to it."""

    channel: Any  # a Channel
    server: WebDavServer
    content: Any  # the body, in memory or in a file
    parsed: ParsedRequest | None = None
    request_id: int | None = None  # of the gateway's request that is under way
    number = 0  # identifies the request within this server
    received_at = 0  # ns, when the headers were complete; the client's timeout starts then
    head_checked = False  # `check_head` ran before the body was received
    outcome = ""  # how the request ended, for the access log
    trace = ""
    blocked = False  # the transport's send buffer is full
    unacknowledged = 0  # bytes written since then, not yet reported to the gateway
    body_offset = 0  # bytes of the object received so far
    object_size = 0
    staged: StagedWrite | None = None
    size = 0  # bytes of the request's body received so far
    content_type = ""
    digest: Any = hashlib.sha256()  # of the body so far; shared by requests without a body
    multistatus: Iterator[str] | None = None  # the responses that are still to be written
    epilogue = b""  # follows the last byte range
    read_identity: RequestIdentity | None = None  # set while this GET runs and duplicates of it must wait
    wait_timer: Timer | None = None  # runs while this GET waits for a duplicate of it

    # --- receiving ---

    def parseCookies(self) -> None:
        """Skips the parsing of cookies, which are not used."""

    def gotLength(self, length: int | None) -> None:
        """Prepares for a body of `length` bytes, None if it is chunked."""
        super().gotLength(length)
        if length != 0:
            self.digest = hashlib.sha256()

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:
        """Processes the complete request without parsing queries and forms, which are not used."""
        self.content.seek(0)
        self.method, self.uri, self.path, self.clientproto = command, path, path, version
        self.process()

    def connectionLost(self, reason: Any) -> None:
        """Cleans up a request whose client disconnects before the response ends."""
        super().connectionLost(reason)
        if self.parsed is not None and not self.finished:
            self._client_disconnected()

    def handleContentChunk(self, data: bytes) -> None:
        """Adds to the body; refuses the request once the body exceeds the limit."""
        self.channel.incoming.body_received += len(data)
        self.digest.update(data)
        super().handleContentChunk(data)
        self.size += len(data)
        if self.size > self.server.limits.max_body_bytes:
            self.refuse(Reply(413, f"a body of more than {self.server.limits.max_body_bytes} bytes"))

    def read_head(self, server: WebDavServer, method: bytes, target: bytes, version: bytes) -> ParsedRequest:
        """Parses the request line and headers; returns the same object on a second call."""
        self.server, self.method, self.uri, self.clientproto = server, method, target, version
        if self.parsed is None:
            server.request_count += 1
            self.number, self.received_at = server.request_count, now_ns(server.network)
            raw_headers = self.requestHeaders.getAllRawHeaders()
            headers = {
                name.decode("latin-1").lower(): b", ".join(values).decode("latin-1")
                for name, values in raw_headers
            }
            self.parsed = ParsedRequest(method.decode("latin-1"), target.decode("latin-1"), headers)
            self.trace = headers.get("x-request-id", "")[:MAX_TRACE_LENGTH] or f"http-{self.number}"
        return self.parsed

    def check_head(self, length: int | None) -> Reply | None:
        """Returns the reply that refuses a request by its headers, None if its body is to be received."""
        server, parsed = self.server, self.parsed
        assert parsed is not None
        now, self.head_checked = now_ns(server.network), True
        try:
            server.check_rate(self.channel.rate_limiter, now)
            self._check_headers(parsed)
            if length is not None and length > (
                server.limits.max_body_bytes if parsed.method == "PUT" else bodies.MAX_BODY_BYTES
            ):
                raise Reply(413, "the body is too large")
            if parsed.method == "PUT":
                entry, tokens = server.methods.prepare(parsed, now)
                server.methods.check_put(parsed, entry, tokens, -1 if length is None else length, now)
                if not server.gateway.shutdown.accepts_requests():
                    raise Reply(503, "this gateway is leaving", {"Retry-After": "1"})
        except Reply as reply:
            return reply
        return None

    def _check_headers(self, parsed: ParsedRequest) -> None:
        """Raises Reply for an expectation or a content coding that is not supported."""
        expected = parsed.header("expect").lower()
        if expected and expected != "100-continue":
            raise Reply(417, "100-continue is all that can be expected here")
        if parsed.header("content-encoding") and parsed.method == "PUT":
            raise Reply(415, "bodies are kept as they come, without a coding")

    def refuse(self, reply: Reply) -> None:
        """Responds before the body is complete; the connection closes LINGER_S later."""
        if not self.channel.refused:
            self.channel.refused = True
            self.respond(reply.status, reply.body, reply.headers)

    def process(self) -> None:
        """Carries out the request once its body is complete."""
        server = self.channel.factory.server
        parsed = self.read_head(server, self.method, self.uri, self.clientproto)
        now, methods = now_ns(server.network), server.methods
        if parsed.method not in ("GET", "HEAD", "PUT"):
            parsed.body = self.content.read(bodies.MAX_BODY_BYTES + 1)
        try:
            if not self.head_checked:
                server.check_rate(self.channel.rate_limiter, now)
                self._check_headers(parsed)
            entry, tokens = methods.prepare(parsed, now)
            if parsed.method in ("GET", "HEAD"):
                self._get(parsed, entry, now)
            elif parsed.method == "PUT":
                methods.check_put(parsed, entry, tokens, self.size, now)
                self._put(parsed, now)
            elif parsed.method == "PROPFIND":
                self._start_multistatus(methods.propfind(parsed, entry, now))
            elif parsed.method == "REPORT":
                self._start_multistatus(methods.report(parsed, entry, now))
            else:
                raise methods.execute(parsed, entry, tokens, now)
        except Reply as reply:
            self.respond(reply.status, reply.body, reply.headers)

    # --- GET and PUT: requests to the gateway ---

    def _get(self, parsed: ParsedRequest, entry: Entry | None, now: int) -> None:
        found, response, headers = self.server.methods.prepare_get(parsed, entry)
        if self.method != b"HEAD" and found.content is not None and found.content.size:
            client = parsed.header("authorization"), parsed.header("idempotency-key")
            if any(client):
                identity = RequestIdentity("GET", parsed.path, *client, parsed.header("range"))
                if self.server.deduplicator.register(identity, self.number, now)[0] is Disposition.JOIN:
                    self._wait_for_read(parsed, found.content.size)
                    return
                self.read_identity = identity
        for name, value in headers.items():
            self.setHeader(name, value)
        self.setResponseCode(response.status)
        self.parts, self.epilogue = deque(response.parts), response.epilogue
        self.object_size = found.content.size if found.content is not None else 0
        if self.method == b"HEAD" or found.content is None or not found.content.size:
            self.finish_response("fulfilled")
            return
        try:
            self._submit(parsed, found.content.size, found.content.key, found.content.shard, None)
        except Reply:
            self._remove_representation_headers()
            self._release_waiting(503)
            raise

    def _wait_for_read(self, parsed: ParsedRequest, size: int) -> None:
        """Waits for the same GET that is under way, for at most WAIT_FRACTION of this one's timeout."""
        self.server.waiting[self.number] = self
        latest = self.received_at + round(self._parameters(parsed, size).timeout * WAIT_FRACTION * SECOND)
        remaining = max(0, latest - now_ns(self.server.network))
        self.wait_timer = self.server.network.callLater(remaining / SECOND, self._wait_timed_out)

    def _wait_timed_out(self) -> None:
        self.wait_timer = None
        self.server.waiting.pop(self.number, None)
        self.server.deduplicator.leave(self.number)
        self.respond(503, "the same request is still under way", {"Retry-After": "1"}, "denied")

    def retry(self) -> None:
        """Processes a GET again after the duplicate that it waited for has ended."""
        stop(self.wait_timer)
        self.wait_timer = None
        assert self.parsed is not None
        if self.finished or self._disconnected:
            return
        try:
            now = now_ns(self.server.network)
            self._get(self.parsed, self.server.methods.prepare(self.parsed, now)[0], now)
        except Reply as reply:
            self.respond(reply.status, reply.body, reply.headers)

    def _release_waiting(self, status: int) -> None:
        """Ends the wait of duplicates: those of a PUT get `status`, those of a GET are processed again."""
        self.read_identity = None
        self.server.complete_request(self.number, status)

    def _put(self, parsed: ParsedRequest, now: int) -> None:
        body = PutBody(self)
        self.content_type = parsed.header("content-type") or "application/octet-stream"
        idempotency_key = parsed.header("idempotency-key")
        identity = RequestIdentity(
            "PUT",
            parsed.path,
            parsed.header("authorization"),
            idempotency_key,
            "" if idempotency_key else body.digest,
        )
        disposition, status = self.server.deduplicator.register(identity, self.number, now)
        if disposition is Disposition.REJECT:
            body.close()
            raise Reply(503, "another write to it is under way", {"Retry-After": "1"})
        if disposition is not Disposition.RUN:
            body.close()
        if disposition is Disposition.REPLAY:
            raise Reply(status)
        if disposition is Disposition.JOIN:
            self.server.waiting[self.number] = self
            return
        try:
            self.staged = self.server.tree.stage(parsed.path)
            self._submit(parsed, body.size, self.server.node_key(self.staged), -1, body)
        except (NamespaceError, Reply) as error:
            self.staged = None
            body.close()
            self.server.complete_request(self.number, error.status)
            raise error if isinstance(error, Reply) else Reply(error.status, str(error)) from None

    def _parameters(self, parsed: ParsedRequest, size: int) -> Any:
        """Returns the `mapping.RequestParameters` of the request. Raises Reply."""
        server = self.server
        try:
            tables = (server.class_rules, server.volume_rules, server.unit_bytes, server.max_units)
            return map_request(parsed.method, parsed.path, size, parsed.headers, *tables)
        except NoMatchingRuleError as error:
            raise Reply(403, str(error)) from None

    def _submit(self, parsed: ParsedRequest, size: int, key: int, shard: int, body: PutBody | None) -> None:
        """Submits the request to the gateway. Raises Reply."""
        server, parameters = self.server, self._parameters(parsed, size)
        request = requests.Request(
            request_class=parameters.request_class,
            tenant=parameters.tenant,
            volume=parameters.volume,
            timeout=round(parameters.timeout * SECOND),
            read_at=self.received_at,
            key=key,
            units=parameters.units,
            shard=shard,
            gateways=parameters.gateways,
            trace=self.trace,
            body=body if size else None,
        )
        self.request_id = server.gateway.next_request_id()
        if body is None:
            self.registerProducer(self, True)
        try:
            server.gateway.submit(request, self)
        except requests.BadRequestError as error:
            self.request_id = None
            raise Reply(408 if error.code == "late_body" else 403, str(error)) from None

    # --- the gateway's answer (common.requests.ResponseHandler) ---

    def served(self, request_id: int, size: int, shard: int) -> None:
        """Publishes a stored PUT, or starts the body of a GET of `size` bytes."""
        if self.staged is None:
            if size != self.object_size:
                # The node stores another object under this key: the announced length would not be met.
                self._respond_failure(502, "the node holds something else", 0, "not as kept")
                self.server.gateway.cancel(request_id)
            return
        staged, self.staged, self.request_id = self.staged, None, None
        content = Content(self.server.node_key(staged), shard, self.size, "", self.content_type)
        try:
            entry, created = self.server.store.publish(staged, content, now_ns(self.server.network))
        except (NamespaceError, OSError) as error:
            # The new content is at a node but not published: the old object remains.
            status = error.status if isinstance(error, NamespaceError) else 507
            self.server.complete_request(self.number, status)
            self.respond(status, str(error))
            return
        status = 201 if created else 204
        self.server.complete_request(self.number, status)
        self.respond(status, "", {"ETag": entry.tag}, "fulfilled")

    def body_chunk(self, request_id: int, data: bytes) -> None:
        """Writes those bytes of the chunk that the requested ranges cover."""
        if self.finished or self._disconnected or self.request_id is None:
            self.server.gateway.response_consumed(request_id, len(data))
            return
        start, end = self.body_offset, self.body_offset + len(data)
        self.body_offset = end
        while self.parts and self.parts[0].first < end:
            first, last, prefix = self.parts[0]
            chunk = data[max(first, start) - start : last + 1 - start]
            self.write(prefix + chunk if prefix and start <= first else chunk)
            if last >= end:
                break
            self.parts.popleft()
        if not self.parts:
            if self.epilogue:
                self.write(self.epilogue)
            self.request_id = None
            self.unregisterProducer()
            self.finish_response("fulfilled")
            self.server.gateway.response_consumed(request_id, len(data))
            if end < self.object_size:
                self.server.gateway.cancel(request_id)  # nothing beyond the last range is needed
        elif self.blocked:
            self.unacknowledged += len(data)
        else:
            self.server.gateway.response_consumed(request_id, len(data))

    def aborted(self, request_id: int) -> None:
        """Closes the connection in the middle of a body."""
        self.request_id = None
        if not self.finished and not self._disconnected:
            self.outcome = "cut"
            self._release_waiting(504)
            self.channel.loseConnection()  # short of Content-Length: the client detects it

    def rejected(self, request_id: int, retry_after: int) -> None:
        """Responds 503; `retry_after` in ns."""
        self._respond_failure(503, "turned away; trying again is harmless", retry_after, "denied")

    def failed(self, request_id: int) -> None:
        """Responds 504."""
        self._respond_failure(
            504, "not served in time; whether it had an effect is not known", 0, "written off"
        )

    def _respond_failure(self, status: int, text: str, retry_after: int, outcome: str) -> None:
        """Responds to a request that the gateway did not serve."""
        self.request_id, self.staged = None, None
        self._remove_representation_headers()
        after = {"Retry-After": str(max(1, -(-retry_after // SECOND)))} if status == 503 else {}
        self.respond(status, text, after, outcome)
        self.server.complete_request(self.number, status)

    def _remove_representation_headers(self) -> None:
        """Removes headers that describe the body of a GET, which will not be sent."""
        for name in REPRESENTATION_HEADERS:
            self.responseHeaders.removeHeader(name)

    def _client_disconnected(self) -> None:
        server = self.server
        server.waiting.pop(self.number, None)
        stop(self.wait_timer)
        self.wait_timer = None
        write_pending = self.staged is not None  # a write continues, so that the client's retry joins it
        server.deduplicator.leave(self.number)
        self.outcome = self.outcome or "client left"
        if self.request_id is not None and not write_pending:
            request_id, self.request_id = self.request_id, None
            server.gateway.cancel(request_id)
        if self.read_identity is not None:
            self._release_waiting(503)
        server.log(self)

    def pauseProducing(self) -> None:
        """Stops acknowledging chunks and writing multistatus responses."""
        self.blocked = True

    def resumeProducing(self) -> None:
        """Acknowledges what was written meanwhile and continues a multistatus body."""
        self.blocked = False
        unacknowledged, self.unacknowledged = self.unacknowledged, 0
        if unacknowledged and self.request_id is not None:
            self.server.gateway.response_consumed(self.request_id, unacknowledged)
        if self.multistatus is not None:
            self._send_multistatus()

    def stopProducing(self) -> None:
        """Stops like `pauseProducing`; the connection is closing."""
        self.blocked = True

    # --- multistatus bodies ---

    def _start_multistatus(self, multistatus: Iterator[str]) -> None:
        self.multistatus = multistatus
        self.setResponseCode(207)
        self.setHeader("Content-Type", XML["Content-Type"])
        self.write(bodies.MULTISTATUS_START.encode())
        self.registerProducer(self, True)
        self._send_multistatus()

    def _send_multistatus(self) -> None:
        """Writes a batch of responses and schedules the next one, unless the transport is blocked.

        The body of a large collection is thus never in memory as a whole, and does not block other requests.
        """
        if self.multistatus is None or self.blocked or self._disconnected:
            return
        batch = [text for _, text in zip(range(LISTING_BATCH), self.multistatus, strict=False)]
        if batch:
            self.write("".join(batch).encode())
            self.server.network.callLater(0, self._send_multistatus)
            return
        self.multistatus = None
        self.unregisterProducer()
        self.write(bodies.MULTISTATUS_END.encode())
        self.finish_response("done")

    # --- the response ---

    def respond(
        self, status: int, body: str = "", headers: dict[str, str] | None = None, outcome: str = ""
    ) -> None:
        """Sends a whole response, unless one was sent already."""
        if self.finished or self._disconnected:
            return
        if self.producer is not None:
            self.unregisterProducer()
        self.setResponseCode(status)
        for name, value in (headers or {}).items():
            if value:
                self.setHeader(name, value)
        if self.channel.refused:
            self.setHeader("Connection", "close")
        self._close_when_draining()
        if status not in (204, 304):
            data = body.encode()
            self.setHeader("Content-Length", str(len(data)))
            if body and not self.responseHeaders.hasHeader("Content-Type"):
                self.setHeader("Content-Type", "text/plain; charset=utf-8")
            if data and self.method != b"HEAD":
                self.write(data)
        self.finish_response(outcome or ("done" if status < 400 else "refused"))

    def finish_response(self, outcome: str) -> None:
        """Ends the response after its last byte."""
        self.outcome = outcome
        if not self.startedWriting:
            self._close_when_draining()
        if self.read_identity is not None:
            self._release_waiting(200)
        self.finish()

    def _close_when_draining(self) -> None:
        """Closes the connection after this response if the gateway is shutting down."""
        if not self.server.gateway.shutdown.accepts_requests():
            self.setHeader("Connection", "close")
            self.channel.persistent = False


class Channel(HTTPChannel):
    """One connection. `incoming` is the request that is being received, None between requests."""

    requestFactory = WebDavRequest
    factory: WebDavServer
    transport: Any
    _path: Any
    _command: Any
    _version: Any
    refused = False  # a request was refused before its end: further input is discarded
    incoming: IncomingRequest | None = None

    def connectionMade(self) -> None:
        """Applies the limits; closes a connection beyond the maximum number."""
        server = self.factory
        self.rate_limiter = RateLimiter(server.limits.burst, now_ns(server.network))
        self.totalHeadersSize, self.maxHeaders = server.limits.max_header_bytes, server.limits.max_headers
        self.MAX_LENGTH = server.limits.max_header_bytes
        self.accepted = len(server.channels) < server.limits.max_connections
        server.mark_idle(self)
        super().connectionMade()
        if not self.accepted:
            server.counts["connections over the cap"] += 1
            self.transport.write(BUSY_RESPONSE)
            self.loseConnection()
            return
        server.channels[self] = None

    def dataReceived(self, data: bytes) -> None:
        """Parses further input, unless a request was refused."""
        if self.refused or not self.accepted:
            return
        if self.incoming is None and not self._handlingRequest:
            self._request_started()
        super().dataReceived(data)

    def _request_started(self) -> None:
        self.factory.idle.pop(self, None)
        self.incoming = IncomingRequest(now_ns(self.factory.network))
        self.factory.receiving[self] = self.incoming
        self.factory.schedule_sweep()

    def lineReceived(self, line: bytes) -> None:
        """Parses a request line, a header or a chunk size; rejects folded headers."""
        if self.refused:
            return
        if line[:1] in (b" ", b"\t"):
            # A folded header (RFC 9112 5.2): a proxy and this server could parse it as different requests.
            self._respondToBadRequestAndDisconnect()
            return
        super().lineReceived(line)

    def lineLengthExceeded(self, line: bytes) -> None:
        """Rejects a line over the limit."""
        self._reject(b"431 Request Header Fields Too Large")

    def allHeadersReceived(self) -> None:
        """Refuses the request by its headers where possible; else receives its body."""
        request: WebDavRequest = self.requests[-1]
        hosts = request.requestHeaders.getRawHeaders(b"host") or []
        if len(hosts) > 1 or (not hosts and self._version == b"HTTP/1.1"):  # RFC 9112 3.2
            self._reject(b"400 Bad Request")
            return
        request.read_head(self.factory, self._command, self._path, self._version)
        expects_continue = request.requestHeaders.hasHeader(b"expect")
        if self.length is None or self.length > SMALL_BODY_BYTES or (self.length and expects_continue):
            reply = request.check_head(self.length)
            if reply is not None:
                request.content = io.BytesIO()
                request.refuse(reply)
                return
        super().allHeadersReceived()
        assert self.incoming is not None
        self.incoming.receiving_body, self.incoming.phase_start = True, now_ns(self.factory.network)

    def rawDataReceived(self, data: bytes) -> None:
        """Receives a part of a body, unless its request was refused."""
        if not self.refused:
            super().rawDataReceived(data)

    def allContentReceived(self) -> None:
        """Passes on a complete request, unless it was refused."""
        if self.refused:
            return
        self._request_received()
        super().allContentReceived()

    def _request_received(self) -> None:
        self.incoming = None
        self.factory.receiving.pop(self, None)

    def requestDone(self, request: Request) -> None:
        """Continues with the next request, or closes the connection after a refusal."""
        if not self.refused:
            self.factory.mark_idle(self)
            super().requestDone(request)
            if self._buffer and not self._handlingRequest and self.incoming is None:
                self._request_started()
            return
        self._request_received()
        self.requests.clear()
        self.factory.network.callLater(LINGER_S, self.loseConnection)

    def _respondToBadRequestAndDisconnect(self) -> None:
        too_large = (
            self._receivedHeaderSize > self.totalHeadersSize or self._receivedHeaderCount > self.maxHeaders
        )
        self._reject(b"431 Request Header Fields Too Large" if too_large else b"400 Bad Request")

    def _reject(self, status: bytes) -> None:
        """Responds to input that is not a valid request, and closes the connection."""
        if self.refused:
            return
        self.refused = True
        self._request_received()
        self.factory.counts[f"not requests: {status[:3].decode()}"] += 1
        self.transport.write(b"HTTP/1.1 " + status + b"\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
        for request in self.requests:
            request.outcome = "refused"
        self.factory.network.callLater(LINGER_S, self.loseConnection)

    def reject_slow_request(self) -> None:
        """Closes a connection whose request arrives too slowly."""
        self.factory.counts["ended for sending too slowly"] += 1
        self._reject(b"408 Request Timeout")

    def connectionLost(self, reason: Any = None) -> None:
        """Removes the connection from the server."""
        self._request_received()
        self.factory.channels.pop(self, None)
        self.factory.idle.pop(self, None)
        self.factory.closed += 1
        super().connectionLost(reason)


class WebDavServer(HTTPFactory):
    """The WebDAV server of one gateway: its namespace and locks, and the rules that map requests.

    `number`, of the gateway, is part of its objects' keys at the nodes, so that gateways don't share keys;
    `store` contains names and locks; `access_log` is called with the fields of each request's log line.
    """

    noisy = False
    protocol = Channel  # type: ignore[assignment]

    def __init__(
        self,
        gateway: requests.RequestGateway,
        network: Network,
        class_rules: list[RequestClassRule],
        volume_rules: list[VolumeRule],
        unit_bytes: int,
        max_units: float,
        number: int,
        store: StateStore,
        limits: ConnectionLimits,
        quota: Quota = Quota({}),  # noqa: B008
        access_log: Callable[..., None] | None = None,
    ) -> None:
        super().__init__(timeout=None, reactor=network)  # type: ignore[arg-type]
        self.server = self
        self.gateway = gateway
        self.network = network
        self.class_rules = class_rules
        self.volume_rules = volume_rules
        self.unit_bytes = unit_bytes
        self.max_units = max_units
        self.number = number
        self.limits = limits
        self.access_log = access_log
        self.store = store
        self.tree = store.tree
        self.methods = Methods(store, quota)
        self.deduplicator = RequestDeduplicator()
        self.waiting: dict[int, WebDavRequest] = {}
        self.channels: dict[Channel, None] = {}
        self.receiving: dict[Channel, IncomingRequest] = {}
        self.idle: dict[Channel, int] = {}  # connections between requests: since when, in ns; longest first
        self.counts: Counter[str] = Counter()
        self.request_count = 0
        self.closed = 0  # connections closed so far
        self._sweep_timer = InputTimer(network, limits.max_header_bytes + bodies.MAX_BODY_BYTES)

    def check_rate(self, rate_limiter: RateLimiter, now: int) -> None:
        """Counts a request against its connection's rate. Raises Reply if the rate is exceeded."""
        wait = rate_limiter.acquire(self.limits, now)
        if wait:
            raise Reply(429, "too many requests on this connection", {"Retry-After": str(-(-wait // SECOND))})

    def mark_idle(self, channel: Channel) -> None:
        """Starts the idle time of a connection."""
        self.idle.pop(channel, None)
        self.idle[channel] = now_ns(self.network)
        self.schedule_sweep()

    def schedule_sweep(self) -> None:
        """Schedules the next check for slow and idle connections."""
        if not self._sweep_timer.is_running():
            self._sweep_timer.start(SWEEP_INTERVAL_S, self._sweep_connections)

    def _sweep_connections(self) -> None:
        """Closes connections whose requests arrive too slowly, and those that are idle for too long."""
        now = now_ns(self.network)
        for channel, incoming in list(self.receiving.items()):
            if incoming.is_too_slow(self.limits, now):
                channel.reject_slow_request()
        while self.idle:
            channel, since = next(iter(self.idle.items()))
            if since + self.limits.idle_timeout > now:
                break
            del self.idle[channel]
            channel.loseConnection()
        if self.receiving or self.idle:
            self.schedule_sweep()

    def log(self, request: Any) -> None:
        """Logs a request, once its response is written or its client disconnects. Twisted calls it too."""
        parsed = request.parsed
        if parsed is None or request.outcome == "told":
            return
        outcome, request.outcome = request.outcome, "told"
        self.counts[f"requests: {outcome}"] += 1
        if self.access_log is not None:
            self.access_log(
                how=outcome,
                method=parsed.method,
                path=parsed.target,
                status=request.code if request.startedWriting else 0,
                bytes_in=request.size,
                bytes_out=request.sentLength,
                ms=round((now_ns(self.network) - request.received_at) / MS, 3),
                trace=request.trace,
            )

    def close_idle_connections(self) -> None:
        """Closes connections without a request; on shutdown the others close after their responses."""
        for channel in list(self.channels):
            if not channel.requests:
                channel.loseConnection()

    def close(self) -> None:
        """Closes all connections once their pending output is sent."""
        for channel in list(self.channels):
            channel.loseConnection()

    def node_key(self, staged: StagedWrite) -> int:
        """Returns the key of a write's content at the nodes: unique across versions and gateways."""
        return (self.number + 1 << 40) + staged.key

    def complete_request(self, number: int, status: int) -> None:
        """Ends the wait of duplicates: those of a write get its status, those of a read run again."""
        for other in self.deduplicator.complete(number, status, now_ns(self.network)):
            waiting = self.waiting.pop(other, None)
            if waiting is None:
                continue
            if waiting.method == b"GET":
                self.network.callLater(0, waiting.retry)
            else:
                waiting.respond(status, "", {"Retry-After": "1"} if status == 503 else {}, "joined")
