"""Header lines and bodies over a stream: Twisted's LineReceiver, switched to raw mode for each body.

The same protocol serves clients, gateways, nodes and list servers. It passes complete messages on (a body is
at most `max_body` bytes behind one header). Anything else is answered with one error notice, and the
connection ends.
"""

from __future__ import annotations

from typing import Any, ClassVar

from twisted.internet import error
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

from ochrecourse.common.runtime import Clock, Timer, stop
from ochrecourse.wire import messages as m
from ochrecourse.wire.errors import (
    LocalProtocolError,
    MalformedMessageError,
    ProtocolViolationError,
    RemoteProtocolError,
)
from ochrecourse.wire.state import ConnectionState, Role, StreamState

MESSAGE_TIMEOUT_S = 5.0  # for a begun header line or body to be complete; a slow sender delays nothing else
MAX_ERROR_TEXT = 500  # characters of an error notice; the header line has its own bound


class FramedProtocol(LineReceiver):
    """One connection, as `role`. Subclasses implement `message_received` and, if they need them,
    `connection_ready` and `connection_ended`.
    """

    transport: Any  # Twisted's interfaces carry no types
    delimiter = b"\r\n"
    MAX_LENGTH = m.MAX_HEADER_BYTES
    max_body: ClassVar[int] = m.MAX_BODY_BYTES  # bytes behind one header

    def __init__(self, clock: Clock, role: Role, state: ConnectionState) -> None:
        self.clock = clock
        self.role = role
        self.peer_role = Role.RESPONDER if role is Role.REQUESTER else Role.REQUESTER
        self.state = state
        self.is_open = False
        self.failure: ProtocolViolationError | None = None  # why this side is ending the connection
        self._header: m.AnyMessage | None = None  # of a body that is still arriving
        self._body: list[bytes] = []
        self._body_bytes_left = 0
        self._message_timer: Timer | None = None

    # --- for subclasses ---

    def connection_ready(self) -> None:
        """The connection is made; nothing was sent or received on it yet."""

    def message_received(self, message: m.AnyMessage, body: bytes, stream_state: StreamState | None) -> None:
        """A complete, legal message; `stream_state` is that of its stream after it.

        A ProtocolViolationError that is raised here fails the connection.
        """
        raise NotImplementedError

    def connection_ended(self, mid_message: bool) -> None:
        """The connection is gone; `mid_message`: inside a header or body that had begun."""

    # --- sending ---

    def send_message(self, message: m.AnyMessage, body: bytes = b"") -> None:
        """Sends a message. Raises LocalProtocolError for one that is not legal now."""
        message.body = len(body)
        try:
            self.state.apply(self.role, message)
        except ProtocolViolationError as violation:
            raise LocalProtocolError(violation.code, str(violation)) from violation
        if self.is_open:
            self.transport.write(m.encode(message, body))

    def fail_connection(self, code: str, text: str, stream_id: int = -1) -> None:
        """Notifies the peer of what it did wrong and ends the connection."""
        self._fail(RemoteProtocolError(code, text), stream_id)

    def _fail(self, violation: ProtocolViolationError, stream_id: int = -1) -> None:
        if self.failure is not None:
            return
        self.failure = violation
        if not self.is_open:
            return
        notice = m.ErrorNotice(code=violation.code, text=str(violation)[:MAX_ERROR_TEXT], id=stream_id)
        self.transport.write(m.encode(notice))
        self.transport.loseConnection()
        # Guards against a peer that never reads: unsent bytes would keep the connection for ever.
        self.clock.callLater(MESSAGE_TIMEOUT_S, self.abort)

    def abort(self) -> None:
        """Ends the connection without waiting for unsent bytes."""
        if self.is_open:
            self.transport.abortConnection()

    # --- Twisted's callbacks ---

    def connectionMade(self) -> None:
        """Twisted's callback: the connection is made."""
        self.is_open = True
        if hasattr(self.transport, "setTcpNoDelay"):
            self.transport.setTcpNoDelay(True)
        self.connection_ready()

    def connectionLost(self, reason: Failure = Failure(error.ConnectionDone())) -> None:  # noqa: B008
        """Twisted's callback: the connection is gone."""
        self.is_open = False
        self._stop_message_timer()
        self.connection_ended(self._mid_message())

    def dataReceived(self, data: bytes) -> None:
        """Twisted's callback: bytes arrived. A message that they leave incomplete is timed."""
        if self.failure is not None:
            return
        super().dataReceived(data)
        if not self._mid_message():
            self._stop_message_timer()
        elif self._message_timer is None:
            self._message_timer = self.clock.callLater(MESSAGE_TIMEOUT_S, self._message_timed_out)

    def lineReceived(self, line: bytes) -> None:
        """Twisted's callback: a complete header line, without its end."""
        if self.failure is not None:
            return
        self._stop_message_timer()  # each complete header or body starts the time anew
        try:
            message = m.decode(line)
        except MalformedMessageError as malformed:
            self.fail_connection("bad_message", str(malformed))
            return
        if message.body > self.max_body:
            text = f"a body of {message.body} bytes behind one header; at most {self.max_body}"
            self.fail_connection("body_limit", text)
        elif message.body:
            self._header, self._body_bytes_left = message, message.body
            self.setRawMode()
        else:
            self._receive(message, b"")

    def rawDataReceived(self, data: bytes) -> None:
        """Twisted's callback: bytes of a body, and perhaps of the next header."""
        if self.failure is not None or self._header is None:
            return
        body_bytes = data[: self._body_bytes_left]
        rest = data[self._body_bytes_left :]
        self._body.append(body_bytes)
        self._body_bytes_left -= len(body_bytes)
        if self._body_bytes_left:
            return
        message, body = self._header, b"".join(self._body)
        self._header, self._body = None, []
        self._stop_message_timer()
        self._receive(message, body)
        self.setLineMode(rest)

    def lineLengthExceeded(self, line: bytes) -> None:
        """Twisted's callback: a header line is too long."""
        self.fail_connection("header_limit", f"a header line of more than {self.MAX_LENGTH} bytes")

    def _receive(self, message: m.AnyMessage, body: bytes) -> None:
        try:
            stream_state = self._apply_received(message)
            self.message_received(message, body, stream_state)
        except ProtocolViolationError as violation:
            self._fail(violation)

    def _apply_received(self, message: m.AnyMessage) -> StreamState | None:
        try:
            return self.state.apply(self.peer_role, message)
        except ProtocolViolationError as violation:
            raise RemoteProtocolError(violation.code, str(violation)) from violation

    def _mid_message(self) -> bool:
        """Whether a header or body has begun and is not complete."""
        return self._header is not None or bool(self._buffer)

    def _message_timed_out(self) -> None:
        self._message_timer = None
        text = f"a message that was begun was not whole after {MESSAGE_TIMEOUT_S:g} s"
        self.fail_connection("slow", text)

    def _stop_message_timer(self) -> None:
        timer, self._message_timer = self._message_timer, None
        stop(timer)
