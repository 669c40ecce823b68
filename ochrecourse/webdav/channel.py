"""One client's connection to the WebDAV server, on Twisted's HTTP channel.

It reads request lines, headers and bodies. A request that can be refused by its headers is refused before its
body is received; input that is no valid request, or arrives too slowly, ends the connection.
"""

from __future__ import annotations

import io
from typing import TYPE_CHECKING, Any

from twisted.web.http import HTTPChannel, Request

from ochrecourse.common.runtime import now_ns
from ochrecourse.webdav.limits import IncomingRequest, RateLimiter
from ochrecourse.webdav.request import WebDavRequest

if TYPE_CHECKING:
    from ochrecourse.webdav.server import WebDavServer

LINGER_S = 1.0  # a refused client can read its response before the connection closes
SMALL_BODY_BYTES = 1 << 16  # a body up to this size is read even if refused, so the connection persists
BUSY_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)


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
