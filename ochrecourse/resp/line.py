"""One connection to a storage node: one leg at a time, its command out and its reply in (nodes.carrier.Wire).

An answer behind another would wait for it, and giving a leg up means closing its connection; so a connection
carries one leg, and it is free for the next only when nothing came behind the answer for a moment.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ClientFactory, Protocol

from ochrecourse.nodes.carrier import LONGEST, Carrier, LegOut, OpenLine
from ochrecourse.nodes.pool import Line
from ochrecourse.nodes.proof import Close, Seen
from ochrecourse.outside import MS, Network, now_ns
from ochrecourse.resp.codec import Breach, Replies
from ochrecourse.resp.words import Asked, answer

REST = 0.01  # s after an answer before its connection is used again; a second copy may come some ms late


class RespLine(Protocol):
    """One connection to a node."""

    transport: Any  # Twisted's interfaces carry no types

    def __init__(self, client: Carrier, line: Line) -> None:
        self.client = client
        self.line = line
        self.met = False
        self.up = False
        self.garbled = False
        self.leg: LegOut | None = None
        self.replies = Replies()

    # --- nodes.carrier.Wire ---

    def send(self, leg: LegOut) -> None:
        asked = leg.body
        assert isinstance(asked, Asked)
        waited = now_ns(self.client.clock) - leg.sent_at
        self.leg, leg.link, leg.id = leg, self, 1
        leg.written = asked.size
        self.transport.write(asked.command(round(leg.message.patience_ms * MS) - waited))

    def drop(self, leg: LegOut) -> None:
        """Gives the leg up: the platform's nodes take the end of the connection for that."""
        self.leg = None
        self.cut()

    def holds(self, leg: LegOut) -> bool:
        return self.leg is leg

    def credit(self, leg: LegOut, size: int) -> None:
        """Answers here are whole; none is streamed."""

    def bye(self) -> None:
        if self.up:
            self.transport.loseConnection()

    def cut(self) -> None:
        if self.up:
            self.client.link_ending(self)
            self.transport.abortConnection()

    # --- Twisted's calls ---

    def connectionMade(self) -> None:
        self.up = self.met = True
        if hasattr(self.transport, "setTcpNoDelay"):
            self.transport.setTcpNoDelay(True)
        self.client.link_open(self)

    def dataReceived(self, data: bytes) -> None:
        leg = self.leg
        if leg is None:
            # Guards against a second copy or noise behind an answer, which the next leg would take for its.
            self.client.counts["bytes behind an answer"] += 1
            self.cut()
            return
        try:
            self.replies.feed(data)
            read = self.replies.next()
            if read is None:
                return
            message, value = answer(read[0])
        except Breach as breach:
            self.client.counts[f"nodes' breaches: {breach.code}"] += 1
            self.garbled = True
            self.cut()
            return
        self.leg = None
        leg.line = None  # its place is free again after a rest
        if self.replies.unread():
            self.client.counts["bytes behind an answer"] += 1
            self.cut()
        else:
            self.client.clock.callLater(REST, self._rested)
        self.client.answered(self, leg, message, value, True)

    def _rested(self) -> None:
        # Guards against a loop that stood still: it calls its timers before it reads, and what came in the
        # time of the rest may stand unread. It is read before the next turn's calls.
        self.client.clock.callLater(0, self._free)

    def _free(self) -> None:
        if self.up:
            self.client.link_freed(self, -1)

    def connectionLost(self, reason: Any = None) -> None:
        self.up = False
        legs = [] if self.leg is None else [self.leg]
        self.leg = None
        half = Close.HALF_HEADER if self.replies.partial() else Close.BETWEEN
        how = Close.GARBLED if self.garbled else half
        self.client.link_closed(self, legs, how)


class _Dial(ClientFactory):
    """One dial; its end is told once."""

    noisy = False

    def __init__(self, client: Carrier, line: Line) -> None:
        self.client = client
        self.line = line

    def buildProtocol(self, addr: Any) -> RespLine | None:
        if self.line.number not in self.client.dials:
            return None  # given up meanwhile: nobody would own the connection
        link = RespLine(self.client, self.line)
        self.client.links[self.line.number] = link
        return link

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.client.dial_failed(self.line, Seen.REFUSED)


def dialler(network: Network) -> OpenLine:
    """What opens connections to nodes that speak RESP2; the carrier bounds the time, this only tidies up."""

    def open_line(carrier: Carrier, line: Line, address: tuple[str, int]) -> Callable[[], None] | None:
        connector = network.connectTCP(address[0], address[1], _Dial(carrier, line), timeout=LONGEST)
        return None if connector is None else connector.disconnect

    return open_line
