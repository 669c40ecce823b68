"""The framed protocol on a stream: Twisted's LineReceiver for header lines, in raw mode for bodies.

Clients, gateways, nodes and list servers use the same protocol. `FramedProtocol` delivers complete messages,
with a body of at most `max_body` bytes after each header. It answers anything else with one error notice and
closes the connection.
"""

from __future__ import annotations

from typing import Any, ClassVar

from twisted.internet import error
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

from ochrecourse.common.errors import without_traceback
from ochrecourse.common.input_timer import InputTimer
from ochrecourse.common.runtime import Clock
from ochrecourse.wire import messages as m
from ochrecourse.wire.errors import (
    LocalProtocolError,
    MalformedMessageError,
    ProtocolViolationError,
    RemoteProtocolError,
)
from ochrecourse.wire.state import ConnectionState, Role, StreamState

MESSAGE_TIMEOUT_S = 5.0  # for a partial header line or body; only its own connection waits for a slow sender
MAX_ERROR_TEXT = 500  # characters of an error notice, so that its header line stays within the limit


class FramedProtocol(LineReceiver):
    """One connection with this side as `role`. Subclasses implement `message_received` and optionally
    `connection_ready` and `connection_ended`.
    """

    transport: Any  # Twisted's interfaces carry no types
    delimiter = b"\r\n"
    MAX_LENGTH = m.MAX_HEADER_BYTES
    max_body: ClassVar[int] = m.MAX_BODY_BYTES  # bytes after one header

    def __init__(self, clock: Clock, role: Role, state: ConnectionState) -> None:
        self.clock = clock
        self.role = role
        self.peer_role = Role.RESPONDER if role is Role.REQUESTER else Role.REQUESTER
        self.state = state
        self.is_open = False
        self.failure: ProtocolViolationError | None = None  # why this side is ending the connection
        self._header: m.AnyMessage | None = None  # of the body that is still arriving
        self._body: list[bytes] = []
        self._body_bytes_left = 0
        self._message_timer = InputTimer(clock, m.MAX_HEADER_BYTES + self.max_body)

    # --- for subclasses ---

    def connection_ready(self) -> None:
        """Called when the connection is open, before anything is sent or received."""

    def message_received(self, message: m.AnyMessage, body: bytes, stream_state: StreamState | None) -> None:
        """Called with each complete, legal message and the state of its stream after it.

        A ProtocolViolationError raised here fails the connection.
        """
        raise NotImplementedError

    def connection_ended(self, mid_message: bool) -> None:
        """Called when the connection has ended; `mid_message`: within a header or body."""

    # --- sending ---

    def send_message(self, message: m.AnyMessage, body: bytes = b"") -> None:
        """Sends a message. Raises LocalProtocolError if it is not legal in the current state."""
        message.body = len(body)
        try:
            self.state.apply(self.role, message)
        except ProtocolViolationError as violation:
            raise LocalProtocolError(violation.code, str(violation)) from violation
        if self.is_open:
            self.transport.write(m.encode(message, body))

    def fail_connection(self, code: str, text: str, stream_id: int = -1) -> None:
        """Sends an error notice for a violation by the peer and closes the connection."""
        self._fail(RemoteProtocolError(code, text), stream_id)

    def _fail(self, violation: ProtocolViolationError, stream_id: int = -1) -> None:
        if self.failure is not None:
            return
        self.failure = without_traceback(violation)
        if not self.is_open:
            return
        notice = m.ErrorNotice(code=violation.code, text=str(violation)[:MAX_ERROR_TEXT], id=stream_id)
        self.transport.write(m.encode(notice))
        self.transport.loseConnection()
        # With a peer that never reads, unsent bytes would keep the connection open for ever.
        self.clock.callLater(MESSAGE_TIMEOUT_S, self.abort)

    def abort(self) -> None:
        """Closes the connection without waiting for unsent bytes."""
        if self.is_open:
            self.transport.abortConnection()

    # --- Twisted callbacks ---

    def connectionMade(self) -> None:
        """Sets up an open connection (Twisted callback)."""
        self.is_open = True
        if hasattr(self.transport, "setTcpNoDelay"):
            self.transport.setTcpNoDelay(True)
        self.connection_ready()

    def connectionLost(self, reason: Failure = Failure(error.ConnectionDone())) -> None:  # noqa: B008
        """Reports the end of the connection to `connection_ended` (Twisted callback)."""
        self.is_open = False
        self._message_timer.stop()
        self.connection_ended(self._mid_message())

    def dataReceived(self, data: bytes) -> None:
        """Parses received bytes and starts a timer for an incomplete message (Twisted callback)."""
        if self.failure is not None:
            return
        super().dataReceived(data)
        if not self._mid_message():
            self._message_timer.stop()
        elif not self._message_timer.is_running():
            self._message_timer.start(MESSAGE_TIMEOUT_S, self._message_timed_out)

    def lineReceived(self, line: bytes) -> None:
        """Handles a complete header line, without its line end (Twisted callback)."""
        if self.failure is not None:
            return
        self._message_timer.stop()  # each header and each body has its own time-out
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
        """Handles bytes of a body and possibly of the next header (Twisted callback)."""
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
        self._message_timer.stop()
        self._receive(message, body)
        self.setLineMode(rest)

    def lineLengthExceeded(self, line: bytes) -> None:
        """Fails the connection on a header line that is too long (Twisted callback)."""
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
        text = f"a message that was begun was not whole after {MESSAGE_TIMEOUT_S:g} s"
        self.fail_connection("slow", text)
