"""The client side of an HTTP/1.1 connection, with one request at a time (RFC 9112).

It reports the status, the headers, the size and digest of the body, and whether the body was complete, and
leaves their interpretation to the caller.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from twisted.protocols.basic import LineReceiver

MAX_STORED_BODY_BYTES = 1 << 16  # of a body, stored in addition to its digest


def _parse_length(text: str, base: int) -> int:
    """Parses a length from a header or chunk line. Raises ValueError, also for a negative one."""
    length = int(text, base)
    if length < 0:
        raise ValueError(f"a length below zero: {length}")
    return length


@dataclass(slots=True)
class HttpResponse:
    """A response. `size`: of the body in bytes; `digest`: its SHA-256 in hexadecimal.

    `body`: its first `MAX_STORED_BODY_BYTES`; `complete`: whether it had the announced length.
    """

    status: int
    headers: dict[str, str] = field(default_factory=dict)  # by name in lower case
    size: int = 0
    digest: str = ""
    body: bytes = b""
    complete: bool = False

    @property
    def interim(self) -> bool:
        """Whether this is an interim response, after which the final one follows."""
        return 100 <= self.status < 200 and self.status != 101


class HttpClientProtocol(LineReceiver):
    """One connection, which calls `on_connected` and `on_closed`.

    `on_response` is called with the response to the request in flight, None if the connection ended before
    one began. `on_body_data`, if set, is called with the body as it arrives. Malformed responses raise
    ValueError.
    """

    delimiter = b"\r\n"
    transport: Any  # Twisted's interfaces carry no types

    def __init__(
        self,
        on_connected: Callable[[HttpClientProtocol], None],
        on_closed: Callable[[HttpClientProtocol], None],
    ) -> None:
        # Callbacks are dropped after their last call: a caller's may refer to this connection.
        self.on_connected: Callable[[HttpClientProtocol], None] | None = on_connected
        self.on_closed: Callable[[HttpClientProtocol], None] | None = on_closed
        self.on_response: Callable[[HttpResponse | None], None] | None = None
        self.on_body_data: Callable[[bytes], None] | None = None
        self.response: HttpResponse | None = None
        self.method = ""
        self.body_bytes_left = 0  # of the body or its current chunk; negative in the trailers
        self.chunked = False
        self.until_close = False  # whether the end of the connection ends the body
        self.in_chunks = False
        self.hash = hashlib.sha256()
        self.lost = False
        self.closing = False  # whether the server closes the connection after the response
        self.number = 0  # set by the caller: the connection's number
        self.request_count = 0  # set by the caller: number of requests so far

    def connectionMade(self) -> None:
        """Calls `on_connected` when the connection is open (Twisted callback)."""
        self.transport.setTcpNoDelay(True)
        on_connected, self.on_connected = self.on_connected, None
        if on_connected is not None:
            on_connected(self)

    def request(
        self,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        on_response: Callable[[HttpResponse | None], None],
    ) -> None:
        """Sends a request; requires that none is in flight."""
        lines = [f"{method} {path} HTTP/1.1", "Host: ochrecourse"]
        if body or method == "PUT":
            lines.append(f"Content-Length: {len(body)}")
        lines += [f"{name}: {value}" for name, value in headers.items()]
        self.method, self.on_response, self.response = method, on_response, None
        self.transport.write("\r\n".join([*lines, "", ""]).encode() + body)

    def lineReceived(self, line: bytes) -> None:
        """Handles a line of the head or between chunks, without its line end (Twisted callback)."""
        if self.response is None:
            if line:
                self.response = HttpResponse(int(line.split(b" ", 2)[1]))
                self.hash = hashlib.sha256()
                self.in_chunks = False
        elif self.in_chunks:
            self._chunk_line(line)
        elif line:
            name, _, value = line.decode("latin-1").partition(":")
            self.response.headers[name.lower()] = value.strip()
        else:
            self._headers_complete()

    def _headers_complete(self) -> None:
        response = self.response
        assert response is not None
        if response.interim:
            self.response = None
            return
        self.chunked = "chunked" in response.headers.get("transfer-encoding", "").lower()
        self.body_bytes_left = _parse_length(response.headers.get("content-length", "0"), 10)
        # Without a length, a streamed body lasts until the connection ends; any other is empty.
        self.until_close = self.on_body_data is not None and "content-length" not in response.headers
        if self.method == "HEAD" or response.status in (204, 304):
            self.body_bytes_left, self.chunked, self.until_close = 0, False, False
        if self.chunked:
            self.in_chunks = True
        elif self.body_bytes_left or self.until_close:
            self.setRawMode()
        else:
            self._response_complete()

    def _chunk_line(self, line: bytes) -> None:
        if self.body_bytes_left < 0:  # after the last chunk: trailers, then an empty line
            if not line:
                self._response_complete()
            return
        if not line:
            return
        self.body_bytes_left = _parse_length(line.split(b";")[0].decode("latin-1"), 16)
        if self.body_bytes_left:
            self.setRawMode()
        else:
            self.body_bytes_left = -1  # the last chunk; an empty line ends the body

    def rawDataReceived(self, data: bytes) -> None:
        """Handles bytes of the body and possibly what follows it (Twisted callback)."""
        assert self.response is not None
        bounded = self.chunked or not self.until_close
        body_data, rest = (
            (data[: self.body_bytes_left], data[self.body_bytes_left :]) if bounded else (data, b"")
        )
        self.body_bytes_left -= len(body_data) if bounded else 0
        self._add_body_data(self.response, body_data)
        if self.body_bytes_left or not bounded:
            return
        if not self.chunked:
            self._response_complete()
        self.setLineMode(rest)

    def _add_body_data(self, response: HttpResponse, data: bytes) -> None:
        response.size += len(data)
        if self.on_body_data is not None and data:
            self.on_body_data(data)
        self.hash.update(data)
        if len(response.body) < MAX_STORED_BODY_BYTES:
            response.body += data[: MAX_STORED_BODY_BYTES - len(response.body)]

    def _response_complete(self) -> None:
        response = self.response
        assert response is not None
        response.complete = True
        self.closing = self.closing or response.headers.get("connection", "").lower() == "close"
        self._deliver(response)

    def _deliver(self, response: HttpResponse | None) -> None:
        on_response, self.on_response, self.response = self.on_response, None, None
        if response is not None:
            response.digest = self.hash.hexdigest()
        if on_response is not None:
            on_response(response)

    def cancel(self) -> None:
        """Aborts the connection without delivering a response."""
        self.on_response = None
        self.transport.abortConnection()

    def connectionLost(self, reason: Any = None) -> None:
        """Delivers an incomplete response, if any, and calls `on_closed` (Twisted callback)."""
        self.lost = True
        self._deliver(self.response)
        on_closed, self.on_closed, self.on_body_data = self.on_closed, None, None
        if on_closed is not None:
            on_closed(self)
