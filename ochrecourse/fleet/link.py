"""One connection between two gateways: header lines and bodies, bounded in size and in time.

What a frame means is said in messages.py and exchange.py. This module hands on whole frames, sends what the
exchange has while the transport takes it, and ends the connection with one sentence for the mistake that
ended it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import ClientFactory, ServerFactory
from twisted.protocols.basic import LineReceiver
from zope.interface import implementer

from ochrecourse.fleet.entries import Entry
from ochrecourse.fleet.exchange import Exchange
from ochrecourse.fleet.messages import MAX_HEADER_BYTES, SLOW, PeerProtocolError
from ochrecourse.common.runtime import Clock, Timer, now_ns, stop

MESSAGE_TIME = 5.0  # s in which a begun frame must be whole; a slow sender holds nothing up
LAST_WORDS = 1.0  # s for a peer to read why a link ends, then it is cut


class LinkOwner(Protocol):
    """Who has the links, and hears what comes over them."""

    def greeted(self, link: Link) -> str:
        """The other side said who it is; why the link is not wanted, or ''."""

    def frame_received(self, link: Link, entries: list[Entry]) -> None:
        """A frame was taken; `entries` are new here."""

    def ended(self, link: Link, why: str, mistake: PeerProtocolError | None) -> None:
        """The link is gone; `mistake`: what the other side did wrong."""


@implementer(IPushProducer)
class Link(LineReceiver):
    """One connection. `dialled`: from here."""

    transport: Any
    delimiter = b"\r\n"
    MAX_LENGTH = MAX_HEADER_BYTES

    def __init__(
        self, clock: Clock, exchange: Exchange, holder: LinkOwner, wall_ms: Callable[[], int], dialled: bool
    ) -> None:
        self.clock = clock
        self.exchange = exchange
        self.owner = holder
        self.wall_ms = wall_ms
        self.dialled = dialled
        self.is_connected = False
        self.close_reason = ""  # what ended it
        self.violation: PeerProtocolError | None = None
        self.blocked = False
        self.bytes_out = 0
        self.frames_out = 0
        self._body: list[bytes] = []
        self._need = -1  # bytes of a body that are still to come; below 0: a header is next
        self._watch: Timer | None = None

    def pump(self) -> None:
        """Sends what there is to send, until the transport asks to wait."""
        while self.is_connected and not self.close_reason and not self.blocked:
            data = self.exchange.next_frame(now_ns(self.clock))
            if data is None:
                return
            self._write(data)

    def has_partial_frame(self) -> bool:
        """Whether a frame was begun and is not whole."""
        return self._watch is not None

    def close(self, reason: str) -> None:
        """Ends the link in good order."""
        if self.is_connected and not self.close_reason:
            self.close_reason = reason
            self._write(self.exchange.goodbye_frame(reason))
            self._close()

    def abort(self, why: str = "") -> None:
        """Ends the link at once, without a word."""
        self.close_reason = self.close_reason or why
        if self.is_connected:
            self.transport.abortConnection()

    def fail(self, mistake: PeerProtocolError) -> None:
        """The other side made a mistake: it is told which, and the link ends."""
        if not self.close_reason:
            self.violation, self.close_reason = mistake, str(mistake)
            self._write(self.exchange.error_frame(mistake))
            self._close()

    def _write(self, data: bytes) -> None:
        if self.is_connected:
            self.bytes_out += len(data)
            self.frames_out += 1
            self.transport.write(data)

    def _close(self) -> None:
        if self.is_connected:
            self.transport.loseConnection()
            # Guards against a peer that never reads: what it left unread would keep the connection for ever.
            self.clock.callLater(LAST_WORDS, self.abort)

    # --- Twisted's calls ---

    def pauseProducing(self) -> None:
        self.blocked = True

    def resumeProducing(self) -> None:
        self.blocked = False
        self.pump()

    def stopProducing(self) -> None:
        self.blocked = True

    def connectionMade(self) -> None:
        self.is_connected = True
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.pump()

    def connectionLost(self, reason: Any = None) -> None:
        self.is_connected = False
        stop(self._watch)
        self._watch = None
        self.owner.ended(self, self.close_reason or "the connection ended", self.violation)

    def dataReceived(self, data: bytes) -> None:
        if self.close_reason:
            return
        super().dataReceived(data)
        partial = self._need >= 0 or bool(self._buffer)
        if partial and self._watch is None:
            self._watch = self.clock.callLater(MESSAGE_TIME, self._too_slow)
        elif not partial:
            self._stop_watch()

    def lineReceived(self, line: bytes) -> None:
        if self.close_reason:
            return
        self._stop_watch()
        try:
            need = self.exchange.header_received(line, now_ns(self.clock))
        except PeerProtocolError as mistake:
            self.fail(mistake)
            return
        if need:
            self._need = need
            self.setRawMode()
        else:
            self._whole(b"")

    def rawDataReceived(self, data: bytes) -> None:
        if self.close_reason:
            return
        mine, rest = data[: self._need], data[self._need :]
        self._body.append(mine)
        self._need -= len(mine)
        if self._need == 0:
            body, self._body, self._need = b"".join(self._body), [], -1
            self._stop_watch()
            self._whole(body)
            self.setLineMode(rest)

    def lineLengthExceeded(self, line: bytes) -> None:
        self.fail(PeerProtocolError("oversize", f"a header line of more than {self.MAX_LENGTH} bytes"))

    def _whole(self, body: bytes) -> None:
        exchange = self.exchange
        known = exchange.hello is not None
        try:
            entries = exchange.body_received(body, now_ns(self.clock), self.wall_ms())
        except PeerProtocolError as mistake:
            self.fail(mistake)
            return
        if exchange.hello is not None and not known:
            why = self.owner.greeted(self)
            if why:
                self.close(why)
                return
        self.owner.frame_received(self, entries)
        if exchange.end_reason:
            self.abort(exchange.end_reason)

    def _too_slow(self) -> None:
        self._watch = None
        self.fail(PeerProtocolError(SLOW, f"a frame that was begun was not whole after {MESSAGE_TIME:g} s"))

    def _stop_watch(self) -> None:
        watch, self._watch = self._watch, None
        stop(watch)


class PeerDialer(ClientFactory):
    """One dial to a peer; `failed` hears of one that came to nothing."""

    noisy = False

    def __init__(self, make: Callable[[], Link], failed: Callable[[], None]) -> None:
        self.make = make
        self.failed = failed

    def buildProtocol(self, addr: Any) -> Link:
        return self.make()

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.failed()


class PeerLinkListener(ServerFactory):
    """Where other gateways dial in; `make` may turn a connection away with None."""

    noisy = False

    def __init__(self, make: Callable[[], Link | None]) -> None:
        self.make = make

    def buildProtocol(self, addr: Any) -> Link | None:
        return self.make()
