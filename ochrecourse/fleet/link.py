"""One connection between two gateways: header lines and bodies, bounded in size and in time.

messages.py and exchange.py define what frames mean. This module passes complete frames to the exchange, sends
the frames of the exchange while the transport accepts data, and ends the connection after a protocol
violation with a notice that names it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import ServerFactory
from twisted.protocols.basic import LineReceiver
from zope.interface import implementer

from ochrecourse.common.outgoing_connections import OutgoingConnectionFactory
from ochrecourse.fleet.entries import Entry
from ochrecourse.fleet.exchange import Exchange
from ochrecourse.fleet.messages import MAX_BODY_BYTES, MAX_HEADER_BYTES, SLOW, PeerProtocolError
from ochrecourse.common.errors import without_traceback
from ochrecourse.common.input_timer import InputTimer
from ochrecourse.common.runtime import Clock, now_ns

MESSAGE_TIMEOUT_S = 5.0  # for a partial header line or body; only its own connection waits for a slow sender
CLOSE_TIMEOUT_S = 1.0  # for a peer to read why a link ends, before the connection is aborted


class LinkOwner(Protocol):
    """Owns links and is called about their events."""

    def greeted(self, link: Link) -> str:
        """The peer sent its hello; returns why the link is rejected, or an empty text."""

    def frame_received(self, link: Link, entries: list[Entry]) -> None:
        """A frame was processed; `entries` are new here."""

    def ended(self, link: Link, reason: str, violation: PeerProtocolError | None) -> None:
        """The link has ended; `violation`: the protocol violation of the peer that ended it, if any."""


@implementer(IPushProducer)
class Link(LineReceiver):
    """One connection to a peer. `dialled`: whether this gateway opened it. `wall_ms`: ms since 1970."""

    transport: Any
    delimiter = b"\r\n"
    MAX_LENGTH = MAX_HEADER_BYTES

    def __init__(
        self, clock: Clock, exchange: Exchange, owner: LinkOwner, wall_ms: Callable[[], int], dialled: bool
    ) -> None:
        self.clock = clock
        self.exchange = exchange
        self.owner = owner
        self.wall_ms = wall_ms
        self.dialled = dialled
        self.is_connected = False
        self.close_reason = ""  # why it ended or is about to
        self.violation: PeerProtocolError | None = None
        self.blocked = False
        self.bytes_out = 0
        self.frames_out = 0
        self._body: list[bytes] = []
        self._missing_bytes = -1  # bytes of the body still to be received; below 0: a header is next
        self._partial_timer = InputTimer(clock, MAX_HEADER_BYTES + MAX_BODY_BYTES)

    def pump(self) -> None:
        """Sends frames of the exchange until there are none or the transport pauses."""
        while self.is_connected and not self.close_reason and not self.blocked:
            data = self.exchange.next_frame(now_ns(self.clock))
            if data is None:
                return
            self._write(data)

    def has_partial_frame(self) -> bool:
        """Whether a frame has been received in part."""
        return self._partial_timer.is_running()

    def close(self, reason: str) -> None:
        """Ends the link with a goodbye."""
        if self.is_connected and not self.close_reason:
            self.close_reason = reason
            self._write(self.exchange.goodbye_frame(reason))
            self._close()

    def abort(self, reason: str = "") -> None:
        """Aborts the connection without a goodbye."""
        self.close_reason = self.close_reason or reason
        if self.is_connected:
            self.transport.abortConnection()

    def fail(self, violation: PeerProtocolError) -> None:
        """The peer violated the protocol: sends an error notice and ends the link."""
        if not self.close_reason:
            self.violation = without_traceback(violation)
            self.close_reason = str(violation)
            self._write(self.exchange.error_frame(violation))
            self._close()

    def _write(self, data: bytes) -> None:
        if self.is_connected:
            self.bytes_out += len(data)
            self.frames_out += 1
            self.transport.write(data)

    def _close(self) -> None:
        if self.is_connected:
            self.transport.loseConnection()
            # Guards against a peer that never reads: unsent data would keep the connection open forever.
            self.clock.callLater(CLOSE_TIMEOUT_S, self.abort)

    # --- called by Twisted ---

    def pauseProducing(self) -> None:
        """Twisted: the transport's buffer is full."""
        self.blocked = True

    def resumeProducing(self) -> None:
        """Twisted: the transport accepts data again."""
        self.blocked = False
        self.pump()

    def stopProducing(self) -> None:
        """Twisted: the transport is closing."""
        self.blocked = True

    def connectionMade(self) -> None:
        """Twisted: the connection is open."""
        self.is_connected = True
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.pump()

    def connectionLost(self, reason: Any = None) -> None:
        """Twisted: the connection has ended."""
        self.is_connected = False
        self._partial_timer.stop()
        self.owner.ended(self, self.close_reason or "the connection ended", self.violation)

    def dataReceived(self, data: bytes) -> None:
        """Twisted: bytes were received; starts or stops the timer for partial frames."""
        if self.close_reason:
            return
        super().dataReceived(data)
        partial = self._missing_bytes >= 0 or bool(self._buffer)
        if partial and not self._partial_timer.is_running():
            self._partial_timer.start(MESSAGE_TIMEOUT_S, self._partial_timed_out)
        elif not partial:
            self._partial_timer.stop()

    def lineReceived(self, line: bytes) -> None:
        """Twisted: a header line was received."""
        if self.close_reason:
            return
        self._partial_timer.stop()
        try:
            body_size = self.exchange.header_received(line, now_ns(self.clock))
        except PeerProtocolError as violation:
            self.fail(violation)
            return
        if body_size:
            self._missing_bytes = body_size
            self.setRawMode()
        else:
            self._frame_complete(b"")

    def rawDataReceived(self, data: bytes) -> None:
        """Twisted: bytes of a body were received, and possibly of the next frame."""
        if self.close_reason:
            return
        chunk, rest = data[: self._missing_bytes], data[self._missing_bytes :]
        self._body.append(chunk)
        self._missing_bytes -= len(chunk)
        if self._missing_bytes == 0:
            body, self._body, self._missing_bytes = b"".join(self._body), [], -1
            self._partial_timer.stop()
            self._frame_complete(body)
            self.setLineMode(rest)

    def lineLengthExceeded(self, line: bytes) -> None:
        """Twisted: a header line is too long."""
        self.fail(PeerProtocolError("oversize", f"a header line of more than {self.MAX_LENGTH} bytes"))

    def _frame_complete(self, body: bytes) -> None:
        exchange = self.exchange
        had_hello = exchange.hello is not None
        try:
            entries = exchange.body_received(body, now_ns(self.clock), self.wall_ms())
        except PeerProtocolError as violation:
            self.fail(violation)
            return
        if exchange.hello is not None and not had_hello:
            reason = self.owner.greeted(self)
            if reason:
                self.close(reason)
                return
        self.owner.frame_received(self, entries)
        if exchange.end_reason:
            self.abort(exchange.end_reason)

    def _partial_timed_out(self) -> None:
        self.fail(
            PeerProtocolError(SLOW, f"a frame that was begun was not whole after {MESSAGE_TIMEOUT_S:g} s")
        )


class PeerDialer(OutgoingConnectionFactory):
    """Opens one connection to a peer; `on_failure` is called if that fails."""

    def __init__(self, make_link: Callable[[], Link], on_failure: Callable[[], None]) -> None:
        self.make_link = make_link
        self.on_failure = on_failure

    def buildProtocol(self, addr: Any) -> Link:
        """Twisted: the connection is open; makes its link."""
        return self.make_link()

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        """Twisted: the connection could not be opened."""
        self.on_failure()


class PeerLinkListener(ServerFactory):
    """Accepts connections of other gateways; `make_link` returns None to reject one."""

    noisy = False

    def __init__(self, make_link: Callable[[], Link | None]) -> None:
        self.make_link = make_link

    def buildProtocol(self, addr: Any) -> Link | None:
        """Twisted: a connection was accepted; makes its link."""
        return self.make_link()
