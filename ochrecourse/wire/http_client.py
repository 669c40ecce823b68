"""An HTTP/1.1 client's side of one connection, one request at a time (RFC 9112).

It judges nothing: it tells the status, the headers, the body's size and digest, and whether it was whole.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from twisted.protocols.basic import LineReceiver

KEPT_BODY = 1 << 16  # bytes of a body that are kept beside its digest


def _size(text: str, base: int) -> int:
    """A length as it is told. Raises ValueError, for one below zero too."""
    size = int(text, base)
    if size < 0:
        raise ValueError(f"a length below zero: {size}")
    return size


@dataclass(slots=True)
class HttpResponse:
    """A response. `whole`: its body had the length that was told."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    size: int = 0
    digest: str = ""
    body: bytes = b""
    whole: bool = False

    @property
    def interim(self) -> bool:
        """Whether the final response follows."""
        return 100 <= self.status < 200 and self.status != 101


class HttpClientProtocol(LineReceiver):
    """One connection. `then` hears of each answer, or of None if the connection ended before any came."""

    delimiter = b"\r\n"
    transport: Any

    def __init__(
        self, up: Callable[[HttpClientProtocol], None], over: Callable[[HttpClientProtocol], None]
    ) -> None:
        self.up = up
        self.over = over
        self.then: Callable[[HttpResponse | None], None] | None = None
        self.piece: Callable[[bytes], None] | None = None  # takes the body as it comes, if it is set
        self.answer: HttpResponse | None = None
        self.method = ""
        self.left = 0
        self.chunked = False
        self.unbounded = False  # the body lasts until the connection ends
        self.in_chunks = False
        self.hash = hashlib.sha256()
        self.lost = False
        self.closing = False  # the server takes no more on this connection
        self.conn = 0  # its number among all of a run
        self.count = 0  # requests so far

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.up(self)

    def ask(
        self,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        then: Callable[[HttpResponse | None], None],
    ) -> None:
        """Sends a request; only when none is out."""
        lines = [f"{method} {path} HTTP/1.1", "Host: ochrecourse"]
        if body or method == "PUT":
            lines.append(f"Content-Length: {len(body)}")
        lines += [f"{name}: {value}" for name, value in headers.items()]
        self.method, self.then, self.answer = method, then, None
        self.transport.write("\r\n".join([*lines, "", ""]).encode() + body)

    def lineReceived(self, line: bytes) -> None:
        if self.answer is None:
            if line:
                self.answer = HttpResponse(int(line.split(b" ", 2)[1]))
                self.hash = hashlib.sha256()
                self.in_chunks = False
        elif self.in_chunks:
            self._chunk(line)
        elif line:
            name, _, value = line.decode("latin-1").partition(":")
            self.answer.headers[name.lower()] = value.strip()
        else:
            self._headers_whole()

    def _headers_whole(self) -> None:
        answer = self.answer
        assert answer is not None
        if answer.interim:
            self.answer = None
            return
        self.chunked = "chunked" in answer.headers.get("transfer-encoding", "").lower()
        self.left = _size(answer.headers.get("content-length", "0"), 10)
        # Whoever takes the body as it comes takes one without a length too; others have none then.
        self.unbounded = self.piece is not None and "content-length" not in answer.headers
        if self.method == "HEAD" or answer.status in (204, 304):
            self.left, self.chunked, self.unbounded = 0, False, False
        if self.chunked:
            self.in_chunks = True
        elif self.left or self.unbounded:
            self.setRawMode()
        else:
            self._whole()

    def _chunk(self, line: bytes) -> None:
        if self.left < 0:  # behind the last chunk: trailers, then an empty line
            if not line:
                self._whole()
            return
        if not line:
            return
        self.left = _size(line.split(b";")[0].decode("latin-1"), 16)
        if self.left:
            self.setRawMode()
        else:
            self.left = -1  # the last chunk; an empty line ends the body

    def rawDataReceived(self, data: bytes) -> None:
        assert self.answer is not None
        bounded = self.chunked or not self.unbounded
        mine, rest = (data[: self.left], data[self.left :]) if bounded else (data, b"")
        self.left -= len(mine) if bounded else 0
        self.answer.size += len(mine)
        if self.piece is not None and mine:
            self.piece(mine)
        self.hash.update(mine)
        if len(self.answer.body) < KEPT_BODY:
            self.answer.body += mine[: KEPT_BODY - len(self.answer.body)]
        if self.left or not bounded:
            return
        if self.chunked:
            self.setLineMode(rest)
        else:
            self._whole()
            self.setLineMode(rest)

    def _whole(self) -> None:
        answer = self.answer
        assert answer is not None
        answer.whole = True
        self.closing = self.closing or answer.headers.get("connection", "").lower() == "close"
        self._tell(answer)

    def _tell(self, answer: HttpResponse | None) -> None:
        then, self.then, self.answer = self.then, None, None
        if answer is not None:
            answer.digest = self.hash.hexdigest()
        if then is not None:
            then(answer)

    def leave(self) -> None:
        """The client stops waiting: its connection ends, and nothing more is told."""
        self.then = None
        self.transport.abortConnection()

    def connectionLost(self, reason: Any = None) -> None:
        self.lost = True
        self._tell(self.answer)
        self.over(self)
