"""An HTTP/1.1 client's side of one connection, one request at a time (RFC 9112).

It judges nothing: it reports the status, the headers, the body's size and digest, and whether the body was
complete.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from twisted.protocols.basic import LineReceiver

MAX_STORED_BODY_BYTES = 1 << 16  # of a body are stored beside its digest


def _parse_length(text: str, base: int) -> int:
    """A length from a header or chunk line. Raises ValueError, for one below zero too."""
    length = int(text, base)
    if length < 0:
        raise ValueError(f"a length below zero: {length}")
    return length


@dataclass(slots=True)
class HttpResponse:
    """A response. `size`: bytes of its body; `digest`: SHA-256 of it, in hexadecimal.

    `body` has its first `MAX_STORED_BODY_BYTES`; `complete`: it had the announced length.
    """

    status: int
    headers: dict[str, str] = field(default_factory=dict)  # by name in lower case
    size: int = 0
    digest: str = ""
    body: bytes = b""
    complete: bool = False

    @property
    def interim(self) -> bool:
        """Whether the final response follows."""
        return 100 <= self.status < 200 and self.status != 101


class HttpClientProtocol(LineReceiver):
    """One connection, which calls `on_connected` and `on_closed`.

    `on_response` gets the response to the request in flight, None if the connection ended before one began.
    `on_body_data`, if it is set, gets the body as it arrives. Malformed responses raise ValueError.
    """

    delimiter = b"\r\n"
    transport: Any  # Twisted's interfaces carry no types

    def __init__(
        self,
        on_connected: Callable[[HttpClientProtocol], None],
        on_closed: Callable[[HttpClientProtocol], None],
    ) -> None:
        self.on_connected = on_connected
        self.on_closed = on_closed
        self.on_response: Callable[[HttpResponse | None], None] | None = None
        self.on_body_data: Callable[[bytes], None] | None = None
        self.response: HttpResponse | None = None
        self.method = ""
        self.body_bytes_left = 0  # of the body or its current chunk; below 0: in the trailers
        self.chunked = False
        self.until_close = False  # the body lasts until the connection ends
        self.in_chunks = False
        self.hash = hashlib.sha256()
        self.lost = False
        self.closing = False  # the server takes no more requests on this connection
        self.number = 0  # for its user: the connection's number among all
        self.request_count = 0  # for its user: requests so far

    def connectionMade(self) -> None:
        """Twisted's callback: the connection is made."""
        self.transport.setTcpNoDelay(True)
        self.on_connected(self)

    def request(
        self,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        on_response: Callable[[HttpResponse | None], None],
    ) -> None:
        """Sends a request; only when none is in flight."""
        lines = [f"{method} {path} HTTP/1.1", "Host: ochrecourse"]
        if body or method == "PUT":
            lines.append(f"Content-Length: {len(body)}")
        lines += [f"{name}: {value}" for name, value in headers.items()]
        self.method, self.on_response, self.response = method, on_response, None
        self.transport.write("\r\n".join([*lines, "", ""]).encode() + body)

    def lineReceived(self, line: bytes) -> None:
        """Twisted's callback: a line of the head or between chunks, without its end."""
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
        # A streamed body may come without a length too; any other has none then.
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
        if self.body_bytes_left < 0:  # behind the last chunk: trailers, then an empty line
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
        """Twisted's callback: bytes of the body, and perhaps what follows it."""
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
        """The caller stops waiting: the connection is aborted and no response is delivered."""
        self.on_response = None
        self.transport.abortConnection()

    def connectionLost(self, reason: Any = None) -> None:
        """Twisted's callback: the connection is gone."""
        self.lost = True
        self._deliver(self.response)
        self.on_closed(self)
