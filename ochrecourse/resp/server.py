"""All clients' connections: how many there may be, which one makes room, and their end with the process."""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Factory

from ochrecourse.gateway.gateway import Gateway
from ochrecourse.common.request_records import RequestOutcome, RequestRecord
from ochrecourse.common.runtime import Clock, Timer, stop
from ochrecourse.resp.client_connection import RespClientConnection
from ochrecourse.resp.commands import Kinds

HESITATE = 0.25  # s for a new connection's first byte; beyond it, it makes room for others first
PAUSE = 0.25  # s without an open job before which a connection is not closed to make room
REST = 6.0  # s without an open job after which one is closed; each holds memory
TIDY = 1.0  # s between looks for connections to close
BEYOND = 16  # connections over the most, until others are gone; descriptors kept for the process bear these
LINGERING_PART = 4  # part of the most that connections may hold which this side has shut
LINGERING_LEAST = 16  # of these, however few there may be in all
LAST_WORDS = 0.2  # s after `leave` in which begun commands may come whole; the kill comes 0.5 s after `leave`
LAST_LINGER = 0.15  # s that a close lingers after `leave`; the last answers are out 0.2 s before the kill


class RespServerFactory(Factory):
    """Makes a `RespClientConnection` for each client; keeps their number under `most`, and near `roomy` if
    it can.

    It looks on at the gateway's jobs (gateway.Observer): one that ended too late gets an error line.
    """

    noisy = False

    def __init__(self, gateway: Gateway, clock: Clock, kinds: Kinds, most: int, roomy: int) -> None:
        self.gateway = gateway
        self.clock = clock
        self.kinds = kinds
        self.most = most
        self.roomy = roomy
        self.fronts: dict[RespClientConnection, None] = {}  # all that hold a descriptor, oldest first
        self.silent: dict[RespClientConnection, None] = {}  # without a whole command so far, oldest first
        self.idle: OrderedDict[RespClientConnection, None] = (
            OrderedDict()
        )  # without an open job, longest first
        self.lingering: dict[
            RespClientConnection, None
        ] = {}  # shut by this side and not gone yet, oldest first
        self.commands = 0  # without their answers, on all connections
        self.waiting_size = 0  # bytes of requests that wait, on all connections
        self.open_ids: dict[bytes, object] = {}  # and the place in the order of answers that each one has
        self.counts: Counter[str] = Counter()
        self.closed = 0  # connections so far
        self.leaving = False
        self.refusing = False  # after `leave` and a last time for begun commands
        self.hurry: float | None = None  # s that a close may linger at most, where the process ends
        self.left: Callable[[], None] | None = None  # called when the last connection is gone
        self._sweep: Timer | None = clock.callLater(TIDY, self._tidy)
        self._last_words: Timer | None = None

    def room(self) -> int:
        """How many more connections may be accepted now. One that is closing counts until it is closed: it
        holds its descriptor.
        """
        return self.most + BEYOND - len(self.fronts)

    def buildProtocol(self, addr: Any) -> RespClientConnection | None:
        if self.room() <= 0:
            # Guards against many that come in one turn of the loop: what makes room is gone a turn later.
            self.counts["shut_unread"] += 1
            return None
        return RespClientConnection(self)

    def came(self, front: RespClientConnection) -> None:
        self.fronts[front] = None
        self.silent[front] = None
        front.idle_since = self.clock.seconds()
        if self.leaving:
            front.refusing = self.refusing
            self.clock.callLater(0, front.close)
            return
        if len(self.fronts) > self.most:
            self._cut_oldest()
        in_use = len(self.fronts) - len(self.lingering)
        if in_use > self.roomy and not self._make_room() and in_use > self.most:
            front.turn_away()

    def went(self, front: RespClientConnection) -> None:
        self.fronts.pop(front, None)
        self.silent.pop(front, None)
        self.idle.pop(front, None)
        self.lingering.pop(front, None)
        self.closed += 1
        if self.leaving and not self.fronts and self.left is not None:
            self.left()

    def rests(self, front: RespClientConnection) -> None:
        """A connection has no open job from now on."""
        self.idle[front] = None
        self.idle.move_to_end(front)

    def free_id(self, name: bytes, slot: object) -> None:
        """A request no longer holds its id; one of the same id that came after its answer keeps it."""
        if self.open_ids.get(name) is slot:
            del self.open_ids[name]

    # --- room ---

    def lingers(self, front: RespClientConnection) -> None:
        """This side ends a connection, which holds its descriptor until its client has closed too."""
        self.silent.pop(front, None)
        self.idle.pop(front, None)
        self.lingering[front] = None

    def bound_lingering(self) -> None:
        """Ends the oldest of those that linger, where there are too many."""
        if len(self.lingering) > max(LINGERING_LEAST, self.most // LINGERING_PART):
            self._cut_oldest()

    def _cut_oldest(self) -> None:
        """Ends the connection that lingers longest, without waiting for its client any more."""
        for front in self.lingering:
            if front.closing is not None and not front.closing.cutting:
                front.closing.cut()
                return

    def _make_room(self) -> bool:
        """Ends a connection that stays silent, or else the one that rested longest; False if there is none.

        Guards against running out of descriptors, and against crowds that ask once and stay: clients may hold
        so many connections in all, and while these rest nobody else can come.
        """
        now = self.clock.seconds()
        for front in list(self.silent):
            if now - front.idle_since < HESITATE:
                break
            if front.make_room():
                return True
        for front in list(self.idle):
            if now - front.idle_since < PAUSE:
                break
            if front.close():
                return True
        return False

    def _tidy(self) -> None:
        self._sweep = self.clock.callLater(TIDY, self._tidy)
        now = self.clock.seconds()
        for front in list(self.idle):
            if now - front.idle_since < REST:
                break
            front.close()

    # --- the end ---

    def leave(self) -> None:
        """Closes each connection as it falls idle, the idle ones at once; `left` is called after the last.

        Half a second later the process may be killed, whatever clients do until then.
        """
        self.leaving = True
        self.hurry = LAST_LINGER
        for front in list(self.lingering):
            if front.closing is not None:
                front.closing.hasten(LAST_LINGER)
        for front in list(self.fronts):
            front.close()
        self._last_words = self.clock.callLater(LAST_WORDS, self._stop_taking)
        if not self.fronts and self.left is not None:
            self.left()

    def _stop_taking(self) -> None:
        """Guards against clients that would hold the process up to its kill with commands that never end."""
        self.refusing = True
        for front in list(self.fronts):
            front.stop_taking()

    def stop(self) -> None:
        stop(self._sweep)
        stop(self._last_words)
        self._sweep = self._last_words = None

    def request_finished(self, gateway: Gateway, story: RequestRecord) -> None:
        """A job whose answer came too late to be of use."""
        if story.outcome is not RequestOutcome.TOO_LATE:
            return
        for front in [each for each in self.fronts if story.number in each.jobs]:
            front.too_late(story.number)
