"""Follows the platform's list over HTTP/1.1: one chunked answer with a line for each change.

Another watch is begun beside one that hangs or has fallen silent, and the newest that speaks wins. One that
ends, breaks or can't be read is opened again. The list that is held stays meanwhile.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ClientFactory

from ochrecourse.common.runtime import Network, Timer, stop
from ochrecourse.service.discovery import (
    MalformedEndpointListError,
    DiscoveredEndpoints,
    WatchedEndpoints,
    LineDecoder,
    EndpointListUpdate,
)
from ochrecourse.wire.http_client import HttpClientProtocol

# A change has to be taken within 6 s from when the agent had it and could be reached, whatever failed before.
# An attempt is a dial and the watch on its connection. None waits for the end of one before, so the time to
# one that finds the agent reachable is at most the longest of these gaps:
#   a dial or an answer's head that hangs      ATTEMPT_GAP 1.0 s
#   an answer with no line yet                 FIRST_LINE_GAP 4.25 s; after a move MOVED_GAP 2.5 s
#   a watch that has spoken and falls silent   SILENT_GAP 3.0 s
#   one that failed or ended                   LONGEST_WAIT 0.25 s
# The answer itself comes at once. The worst is 4.25 s, 5.25 s if the attempt that follows hangs too. A new
# address counts 4 s after the move: 2.5 s, 3.5 s if the attempt that follows hangs too.
ATTEMPT_GAP = 1.0  # s from a dial to the next one, if no answer's head came; the agent is on this machine
FIRST_LINE_GAP = 4.25  # s from an answer's head to the next attempt; two empty lines were due by then
MOVED_GAP = 2.5  # s likewise at a new address, until it has spoken; one empty line was due
SILENT_GAP = 3.0  # s from a line to the next attempt; an empty line comes every 2 s
SILENCE = 5.0  # s without a line, or without progress in one, after which a watch is given up
LINE_TIME = 20.0  # s for one line, however steadily its bytes come
PROGRESS = 512  # bytes of an unfinished line that count as progress; fewer in SILENCE is a dead connection
FIRST_WAIT = 0.1  # s before a watch that failed is opened again
LONGEST_WAIT = 0.25  # s, after failures in a row; asking is free, and what an outage held back counts at once
STEADY = 1.0  # s for which a watch has to speak before its end counts as a first failure
DIAL_TIME = 2.0  # s for a connection to the agent
MOST_ATTEMPTS = 6  # dials and watches at once, a descriptor each
OLD_ADDRESS_TIME = 2.0  # s for which an old address is heard beside the new one; it closes after 1.5 s
BEHIND_TIME = 0.25  # s for which it is heard once the new address told something newer: what is on its way
LONGEST_LINE = 4_194_304  # bytes of one line, and of an object over several; some ten thousand nodes
WARNING_PERIOD = 60.0  # s in which a warning is logged once, however often its cause returns
MOST_WARNINGS = 8  # different ones in that time; a spoilt list may name another node in each


class _WatchConnection(HttpClientProtocol):
    """One watch: the attempt `number`, at `address`."""

    def __init__(self, watch: DiscoveryWatch, number: int, address: tuple[str, int]) -> None:
        super().__init__(self._opened, self._over)
        self.watch = watch
        self.number = number
        self.address = address
        self.on_body_data = self._piece
        self.rest = bytearray()
        self.lines = LineDecoder(LONGEST_LINE)
        self.following = WatchedEndpoints(watch.book)
        self.timer: Timer | None = None
        self.began = self.heard = watch.network.seconds()  # `heard`: the last whole line
        self.unfinished = 0  # bytes since the last sign of progress
        self.flowing = False  # an unfinished line makes progress
        self.spoke = False
        self.ended = False
        self.leaving: Timer | None = None  # its end, if a newer watch has taken its place
        self.leave_at = 0.0

    def _opened(self, talk: HttpClientProtocol) -> None:
        self._wait()
        self.following = WatchedEndpoints(self.watch.book)
        path = f"/discovery/hosts?follow=1&since={self.following.version}"
        self.request("GET", path, {}, b"", lambda answer: None)

    def _wait(self) -> None:
        stop(self.timer)
        left = self.heard + LINE_TIME - self.watch.network.seconds()
        self.timer = self.watch.network.callLater(max(0.0, min(SILENCE, left)), self.end)

    def dataReceived(self, data: bytes) -> None:
        if self.ended:
            return
        try:
            super().dataReceived(data)
        except (ValueError, IndexError, AssertionError) as trouble:
            self.watch.trouble(f"the list's answer can't be read: {trouble}")
            self.end()

    def lineLengthExceeded(self, line: bytes) -> None:
        self.watch.trouble("the list's answer can't be read: a line of its head is too long")
        self.end()

    def _headers_complete(self) -> None:
        answer = self.response
        if answer is not None and answer.status != 200 and not answer.interim:
            self.watch.trouble(f"the list is answered with status {answer.status}")
            self.end()
            return
        super()._headers_complete()
        if answer is not None and answer.status == 200 and not self.ended:
            self.watch.answered(self)

    def _piece(self, data: bytes) -> None:
        if self.ended:
            return
        self._count(len(data))
        self.rest += data
        if b"\n" in data:
            *lines, self.rest = self.rest.split(b"\n")
            for line in lines:
                self._line(bytes(line))
                if self.ended:
                    return
        if len(self.rest) > LONGEST_LINE:
            self.watch.trouble("a line of the list is too long")
            self.end()

    def _count(self, size: int) -> None:
        """Guards against breaking off a long line that comes steadily; a byte now and then is no progress."""
        self.unfinished += size
        if self.unfinished >= PROGRESS:
            self.unfinished = 0
            self.flowing = True
            self._wait()

    def _line(self, line: bytes) -> None:
        self.watch.line(self, line)
        if not self.ended and not self.lines.within:
            self.heard = self.watch.network.seconds()
            self.unfinished = 0
            self.flowing = False
            self._wait()

    def _response_complete(self) -> None:
        if self.rest and not self.ended:  # its length says that nothing of the line is missing
            line, self.rest = bytes(self.rest), bytearray()
            self._line(line)
        self.end()  # a watch has no end of its own

    def end(self) -> None:
        """Ends this watch; another is opened if it was the newest."""
        if self.ended:
            return
        self._stop()
        if self.transport is not None:
            self.transport.abortConnection()
        self.watch.over(self)

    def _over(self, talk: HttpClientProtocol) -> None:
        if not self.ended:
            self._stop()
            self.watch.over(self)

    def _stop(self) -> None:
        self.ended = True
        stop(self.timer)
        stop(self.leaving)


class _Dial(ClientFactory):
    """The attempt `number` until its connection is up."""

    noisy = False

    def __init__(self, watch: DiscoveryWatch, number: int, address: tuple[str, int]) -> None:
        self.watch = watch
        self.number = number
        self.address = address
        self.connector: Any = None

    def buildProtocol(self, addr: Any) -> _WatchConnection | None:
        return self.watch.opened(self)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.watch.over(self)

    def end(self) -> None:
        """Gives the dial up."""
        self.watch.over(self)
        if self.connector is not None:
            self.connector.disconnect()


class DiscoveryWatch:
    """The list as it is told at one address, which may change."""

    def __init__(
        self,
        network: Network,
        book: DiscoveredEndpoints,
        address: tuple[str, int],
        told: Callable[[EndpointListUpdate], None],
        warn: Callable[[str], None],
    ) -> None:
        self.network = network
        self.book = book
        self.address = address
        self.moved = False  # and the new address has not spoken yet
        self.told = told
        self.warn = warn
        self.dials: list[_Dial] = []
        self.talks: list[_WatchConnection] = []  # the newest last
        self.count = 0  # attempts so far; the number of the newest
        self.wait = FIRST_WAIT
        self.again: Timer | None = None  # begins the next attempt; always set until `stop`
        self.again_at = 0.0
        self.warnings: set[str] = set()
        self.warnings_end = 0.0
        self.ended = False

    def start(self) -> None:
        self._begin()

    def move(self, address: tuple[str, int]) -> None:
        """The list is told elsewhere from now on: a watch is opened there at once."""
        if address == self.address:
            return
        self.address = address
        self.moved = True
        self.wait = FIRST_WAIT
        for dial in list(self.dials):
            dial.end()
        self._begin()

    def stop(self) -> None:
        self.ended = True
        stop(self.again)
        for dial in list(self.dials):
            dial.end()
        for talk in list(self.talks):
            talk.end()

    # --- attempts ---

    def _begin(self) -> None:
        stop(self.again)
        if self.ended:
            return
        self._make_room()
        self.count += 1
        dial = _Dial(self, self.count, self.address)
        self.dials.append(dial)
        self._next(ATTEMPT_GAP)
        dial.connector = self.network.connectTCP(*self.address, dial, timeout=DIAL_TIME)

    def _next(self, seconds: float) -> None:
        """The next attempt begins so many seconds from now."""
        stop(self.again)
        if not self.ended:
            self.again_at = self.network.seconds() + seconds
            self.again = self.network.callLater(seconds, self._begin)

    def _make_room(self) -> None:
        """Guards against attempts that pile up, and against unending lines that take a new one's place."""
        while len(self.dials) + len(self.talks) >= MOST_ATTEMPTS:
            attempts: list[_Dial | _WatchConnection] = sorted(
                [*self.dials, *self.talks], key=lambda each: each.number
            )
            mute = [each for each in attempts if isinstance(each, _Dial) or not self._useful(each)]
            (mute[0] if mute else attempts[-1]).end()

    def _useful(self, talk: _WatchConnection) -> bool:
        return talk.flowing or self._fresh(talk)

    def _fresh(self, talk: _WatchConnection) -> bool:
        return talk.spoke and self.network.seconds() - talk.heard < SILENT_GAP

    def opened(self, dial: _Dial) -> _WatchConnection | None:
        """The connection is up; None if the dial was given up meanwhile."""
        if dial not in self.dials:
            return None
        self.dials.remove(dial)
        talk = _WatchConnection(self, dial.number, dial.address)
        self.talks.append(talk)
        self.talks.sort(key=lambda each: each.number)
        return talk

    def answered(self, talk: _WatchConnection) -> None:
        """The head of an answer is whole and good; its lines follow."""
        if talk.number == self.count and not talk.spoke:
            self._next(MOVED_GAP if self.moved else FIRST_LINE_GAP)

    def over(self, attempt: _Dial | _WatchConnection) -> None:
        """An attempt failed or ended."""
        if isinstance(attempt, _Dial):
            if attempt not in self.dials:
                return
            self.dials.remove(attempt)
        elif attempt in self.talks:
            self.talks.remove(attempt)
        if self.ended or attempt.number != self.count or self._heard_here():
            return
        self._next(min(self.wait, max(0.0, self.again_at - self.network.seconds())))
        self.wait = min(LONGEST_WAIT, 2 * self.wait)

    def _heard_here(self) -> bool:
        return any(talk.address == self.address and self._fresh(talk) for talk in self.talks)

    # --- lines ---

    def line(self, talk: _WatchConnection, text: bytes) -> None:
        """A whole line came on a watch."""
        held = self.book.version
        try:
            told = talk.lines.take(text)
            news = None if told is None else talk.following.take(told, self._leads(talk))
        except MalformedEndpointListError as trouble:
            self.trouble(f"the list can't be read: {trouble}")
            talk.end()
            return
        if talk.lines.within:
            return
        talk.spoke = True
        if talk.address == self.address:
            self.moved = False
            self._next(SILENT_GAP)
            if self.network.seconds() - talk.began >= STEADY:
                self.wait = FIRST_WAIT
        if self.book.version < held:
            self._end_others(talk)
        else:
            self._replace_older(talk, self.book.version > held)
        if news is not None:
            self.told(news)

    def _rank(self, talk: _WatchConnection) -> tuple[bool, int]:
        return talk.address == self.address, talk.number

    def _leads(self, talk: _WatchConnection) -> bool:
        """Whether no watch speaks that is newer, or at the address that counts now where this one is not."""
        return not any(each.spoke and self._rank(each) > self._rank(talk) for each in self.talks)

    def _end_others(self, talk: _WatchConnection) -> None:
        """The versions begin anew: what other watches tell, and what they were asked, is of older ones."""
        for other in list(self.talks):
            if other is not talk:
                other.end()

    def _replace_older(self, talk: _WatchConnection, told_more: bool) -> None:
        """A watch spoke: those before it are of no more use, but for what an old address may still tell."""
        for older in list(self.talks):
            if self._rank(older) >= self._rank(talk):
                continue
            if older.address == talk.address:
                older.end()
            else:
                self._end_within(older, BEHIND_TIME if told_more else OLD_ADDRESS_TIME)

    def _end_within(self, talk: _WatchConnection, seconds: float) -> None:
        due = self.network.seconds() + seconds
        if talk.leaving is None or due < talk.leave_at:
            stop(talk.leaving)
            talk.leave_at = due
            talk.leaving = self.network.callLater(seconds, talk.end)

    def trouble(self, text: str) -> None:
        """Logs what is wrong with the list, once in a while for each case."""
        now = self.network.seconds()
        if now >= self.warnings_end:
            self.warnings.clear()
            self.warnings_end = now + WARNING_PERIOD
        if text not in self.warnings and len(self.warnings) < MOST_WARNINGS:
            self.warnings.add(text)
            self.warn(text)
