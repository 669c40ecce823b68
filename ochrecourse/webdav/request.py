"""One HTTP request of the WebDAV server, and the receiver of the gateway's answer to it.

A GET or PUT becomes one gateway request, and its answer one response: 200, 201 or 204 if it was served, 503
with Retry-After if it was rejected, 504 if it failed. If an answer breaks off after its headers were sent,
the connection is closed, so that the client notices the truncation.
"""

from __future__ import annotations

import hashlib
import io
from collections import deque
from collections.abc import Iterator
from typing import TYPE_CHECKING, Any

from twisted.internet.interfaces import IPushProducer
from twisted.web.http import Request
from zope.interface import implementer

from ochrecourse.common import requests
from ochrecourse.common.runtime import Timer, now_ns, stop
from ochrecourse.common.time_units import SECOND
from ochrecourse.webdav import bodies
from ochrecourse.webdav.deduplication import Disposition, RequestIdentity
from ochrecourse.webdav.mapping import NoMatchingRuleError, map_request
from ochrecourse.webdav.methods import XML, ParsedRequest, Reply
from ochrecourse.webdav.namespace import Content, Entry, NamespaceError, StagedWrite

if TYPE_CHECKING:
    from ochrecourse.webdav.server import WebDavServer

LISTING_BATCH = 200  # multistatus responses written per turn of the event loop
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
