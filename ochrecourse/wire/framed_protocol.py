"""Header lines and bodies over a stream: Twisted's LineReceiver, switched to raw mode for each body.

The same protocol serves clients, gateways, nodes and list servers. It hands on whole messages (a body is at
most `MAX_BODY` behind one header) and ends the connection with one `fault` message on anything that is not
one.
"""

from __future__ import annotations

from typing import Any, ClassVar

from twisted.internet import error
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

from ochrecourse.common.runtime import Clock, Timer, stop
from ochrecourse.wire import messages as m
from ochrecourse.wire.state import ProtocolViolationError, ConnectionState, StreamState, Role

HEADER_TIME = 5.0  # s in which a begun header line or body must be whole; a slow sender holds nothing up


class FramedProtocol(LineReceiver):
    """One connection. Subclasses give `took` (a whole message) and, if they want, `ready` and `closed`."""

    transport: Any  # Twisted's interfaces carry no types
    delimiter = b"\r\n"
    MAX_LENGTH = m.MAX_HEADER
    max_body: ClassVar[int] = m.MAX_BODY

    def __init__(self, clock: Clock, side: Role, moves: ConnectionState) -> None:
        self.clock = clock
        self.side = side  # which side this end is
        self.other = Role.ANSWERING if side is Role.ASKING else Role.ASKING
        self.moves = moves
        self.up = False
        self.ended_by: ProtocolViolationError | None = None  # what this end found wrong
        self._header: m.AnyMessage | None = None
        self._body: list[bytes] = []
        self._need = 0
        self._watch: Timer | None = None

    # --- what subclasses see ---

    def ready(self) -> None:
        """The connection is made."""

    def took(self, message: m.AnyMessage, body: bytes, after: StreamState | None) -> None:
        """A whole message came and was legal; `after` is where its id stands now. An
        ProtocolViolationError ends all.
        """
        raise NotImplementedError

    def closed(self, half: bool) -> None:
        """The connection is gone; `half`: inside a header or body that had begun."""

    # --- sending ---

    def say(self, message: m.AnyMessage, body: bytes = b"") -> None:
        """Sends a message; one that would be illegal is a mistake of this side and raises
        ProtocolViolationError.
        """
        message.body = len(body)
        self.moves.step(self.side, message)
        if self.up:
            self.transport.write(m.encode(message, body))

    def give_up(self, code: str, text: str, number: int = -1) -> None:
        """Tells the other side what it did wrong and ends the connection."""
        if self.ended_by is None:
            self.ended_by = ProtocolViolationError(code, text)
            if self.up:
                self.transport.write(m.encode(m.ErrorNotice(code=code, text=text[:500], id=number)))
                self.transport.loseConnection()
                # Guards against a peer that never reads: what it left unread would keep the connection for
                # ever.
                self.clock.callLater(HEADER_TIME, self.abort)

    def abort(self) -> None:
        """Ends the connection without waiting for what is unsent."""
        if self.up:
            self.transport.abortConnection()

    # --- Twisted's calls ---

    def connectionMade(self) -> None:
        self.up = True
        if hasattr(self.transport, "setTcpNoDelay"):
            self.transport.setTcpNoDelay(True)
        self.ready()

    def connectionLost(self, reason: Failure = Failure(error.ConnectionDone())) -> None:  # noqa: B008
        self.up = False
        self._stop_watch()
        self.closed(self._header is not None or bool(self._buffer))

    def dataReceived(self, data: bytes) -> None:
        if self.ended_by is None:
            super().dataReceived(data)
            partial = self._header is not None or bool(self._buffer)
            if partial and self._watch is None:
                self._watch = self.clock.callLater(HEADER_TIME, self._too_slow)
            elif not partial:
                self._stop_watch()

    def lineReceived(self, line: bytes) -> None:
        if self.ended_by is not None:
            return
        self._stop_watch()  # each whole header or body starts the time anew
        try:
            message = m.decode(line)
        except m.MalformedMessageError as trouble:
            self.give_up("bad_message", str(trouble))
            return
        if message.body > self.max_body:
            self.give_up(
                "body_limit", f"a body of {message.body} bytes behind one header; at most {self.max_body}"
            )
        elif message.body:
            self._header, self._need = message, message.body
            self.setRawMode()
        else:
            self._hand_on(message, b"")

    def rawDataReceived(self, data: bytes) -> None:
        if self.ended_by is not None or self._header is None:
            return
        self._body.append(data[: self._need])
        rest = data[self._need :]
        self._need -= len(data) - len(rest)
        if self._need == 0:
            message, body = self._header, b"".join(self._body)
            self._header, self._body = None, []
            self._stop_watch()
            self._hand_on(message, body)
            self.setLineMode(rest)

    def lineLengthExceeded(self, line: bytes) -> None:
        self.give_up("header_limit", f"a header line of more than {self.MAX_LENGTH} bytes")

    def _hand_on(self, message: m.AnyMessage, body: bytes) -> None:
        try:
            after = self.moves.step(self.other, message)
            self.took(message, body, after)
        except ProtocolViolationError as trouble:
            self.give_up(trouble.code, str(trouble))

    def _too_slow(self) -> None:
        self._watch = None
        self.give_up("slow", f"a message that was begun was not whole after {HEADER_TIME:g} s")

    def _stop_watch(self) -> None:
        watch, self._watch = self._watch, None
        stop(watch)
