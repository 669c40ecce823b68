"""The clients' side in RESP2: commands in, answers out in the order of the commands.

A job is taken at its command's last byte. Jobs of one connection run at once, up to a number; beyond it the
connection is not read. What a client does wrong gets one error line, behind the answers that are owed, and
ends its own connection and nothing else. A client that goes away leaves all its jobs.
"""

from __future__ import annotations

from collections import Counter, OrderedDict, deque
from collections.abc import Callable
from typing import Any

from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Factory, Protocol
from zope.interface import implementer

from ochrecourse.gateway.gateway import BadRequest, Gateway
from ochrecourse.gateway.ledger import Closing, JobStory
from ochrecourse.outside import MS, Clock, Timer, now_ns, stop
from ochrecourse.resp.codec import Breach, Commands, bulk
from ochrecourse.resp.words import Kinds, asked

AT_ONCE = 32  # jobs of one connection; more wait unread, in bounded memory
SPEAK = 2.2  # s for a connection's first command, and for a begun one; an error is owed within 3
FAREWELL = 0.4  # s for a client to read its error before the connection is cut
HESITATE = 0.25  # s for a new connection's first byte; beyond it, it makes room for others first
PAUSE = 0.25  # s without an open job before which a connection is not closed to make room
REST = 6.0  # s without an open job after which one is closed; each holds memory
TIDY = 1.0  # s between looks for connections to close


class _Slot:
    """A command's place in the order of answers."""

    __slots__ = ("answer", "name")

    def __init__(self, name: bytes = b"", answer: bytes | None = None) -> None:
        self.name = name  # the client's id of an open job
        self.answer = answer


@implementer(IPushProducer)
class RespFront(Protocol):
    """One client's connection, and the asker of all jobs that came on it."""

    transport: Any  # Twisted's interfaces carry no types

    def __init__(self, factory: RespFrontFactory) -> None:
        self.factory = factory
        self.gateway = factory.gateway
        self.clock = factory.clock
        self.commands = Commands()
        self.slots: deque[_Slot] = deque()
        self.jobs: dict[int, _Slot] = {}
        self.up = False
        self.spoke = False
        self.breach: Breach | None = None
        self.ending = False  # its last bytes are written
        self.blocked = False  # the client reads too slowly
        self.stopped = False  # this side does not read
        self.reading = False
        self.watch: Timer | None = None
        self.idle_since = 0.0

    # --- Twisted's calls ---

    def connectionMade(self) -> None:
        self.up = True
        if hasattr(self.transport, "setTcpNoDelay"):
            self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.watch = self.clock.callLater(SPEAK, self._too_slow)
        self.factory.came(self)

    def dataReceived(self, data: bytes) -> None:
        if self.breach is None and not self.ending:
            self.commands.feed(data)
            self._read()

    def connectionLost(self, reason: Any = None) -> None:
        self.up = False
        stop(self.watch)
        for slot in self.slots:
            self.factory.open_ids.pop(slot.name, None)
        self.slots.clear()
        jobs, self.jobs = list(self.jobs), {}
        self.factory.went(self)
        for job in jobs:
            self.gateway.leave(job)

    # --- commands ---

    def _read(self) -> None:
        """Takes what commands are whole, as far as there is room for their answers, and answers some."""
        if self.reading:
            return
        self.reading = True
        try:
            more = True
            while more:
                more = self._has_room() and (words := self.commands.next()) is not None
                if more:
                    if not self.spoke:
                        self.spoke = True
                        self.factory.silent.pop(self, None)
                    self._command(words)  # type: ignore[arg-type]  # it is not None here
                if not more or len(self.slots) >= AT_ONCE:
                    more = self._write() and more
        except Breach as breach:
            self._wrong(breach)
        finally:
            self.reading = False
        self._flush()

    def _has_room(self) -> bool:
        return len(self.slots) < AT_ONCE and not self.blocked and self.breach is None and self.up

    def _look(self) -> None:
        """Starts or stops the time in which a begun command must be whole, and reading itself."""
        full = self.blocked or len(self.slots) >= AT_ONCE
        if full is not self.stopped:
            self.stopped = full
            (self.transport.pauseProducing if full else self.transport.resumeProducing)()
        waits = not self.spoke or (self.commands.partial() and not full)
        if waits and self.watch is None:
            self.watch = self.clock.callLater(SPEAK, self._too_slow)
        elif not waits and self.watch is not None:
            stop(self.watch)
            self.watch = None

    def _command(self, words: list[bytes]) -> None:
        if words[0].upper() == b"PING" and len(words) == 1:
            self.slots.append(_Slot(answer=b"+PONG\r\n"))
            return
        request = asked(words, self.factory.kinds, now_ns(self.clock))
        name = words[2]
        if name in self.factory.open_ids:
            raise Breach("open_id", "the id of a request that is open")
        slot = _Slot(name)
        job = self.gateway.next_number()
        self.jobs[job] = slot
        self.slots.append(slot)
        self.factory.open_ids[name] = None
        self.factory.idle.pop(self, None)
        try:
            self.gateway.take(request, self)
        except BadRequest as trouble:
            del self.jobs[job]
            if trouble.code == "late_body":
                self._answer(slot, b"-ERR too late\r\n")
                return
            self.slots.pop()
            self.factory.open_ids.pop(name, None)
            raise Breach(trouble.code, str(trouble)) from None

    def _too_slow(self) -> None:
        self.watch = None
        if not self.spoke and not self.commands.partial():
            self._wrong(Breach("silent", "no command came"))
        else:
            self._wrong(Breach("half_command", "a command did not come whole in its time"))
        self._flush()

    def _wrong(self, breach: Breach) -> None:
        """The client is told, once all that it is owed has been answered; nothing more of it is read."""
        self.breach = breach
        self.factory.counts[breach.code] += 1
        stop(self.watch)
        self.watch = None
        if not self.stopped and self.up:
            self.stopped = True
            self.transport.pauseProducing()
        self.slots.append(_Slot(answer=f"-ERR {breach.code} {breach}\r\n".encode()))

    # --- answers ---

    def _answer(self, slot: _Slot, answer: bytes) -> None:
        slot.answer = answer
        self.factory.open_ids.pop(slot.name, None)

    def _flush(self) -> None:
        """Writes the answers whose turn has come, and sees what follows from it."""
        if self.reading or self.ending or not self.up:
            return
        wrote = self._write()
        if self.breach is not None:
            if not self.slots:
                self._end()
        elif wrote and self.stopped and self._has_room():
            self._read()
        elif not self.slots and self.factory.leaving and not self.commands.partial():
            self.close()
        else:
            self._look()

    def _write(self) -> bool:
        """Writes the answers whose turn has come; whether there were any."""
        ready = []
        while self.slots and self.slots[0].answer is not None:
            ready.append(self.slots.popleft().answer or b"")
        if ready and self.up:
            self.transport.write(b"".join(ready))
            if not self.slots:
                self.idle_since = self.clock.seconds()
                self.factory.rests(self)
        return bool(ready)

    def _end(self) -> None:
        """Ends the connection so that its client can read the last line: nothing more is sent or read, and it
        is cut when the client had its time."""
        self.ending = True
        self.transport.unregisterProducer()
        if hasattr(self.transport, "loseWriteConnection"):
            self.transport.loseWriteConnection()
        self.watch = self.clock.callLater(FAREWELL, self._cut)

    def _cut(self) -> None:
        self.watch = None
        if self.up:
            self.transport.abortConnection()

    def close(self) -> None:
        """Ends a connection without an open job."""
        if self.up and not self.ending:
            self.ending = True
            self.transport.unregisterProducer()
            self.transport.loseConnection()

    def turn_away(self) -> None:
        """Ends a connection that has not asked for anything, with an error line and at once."""
        if self.up and not self.ending:
            self.factory.counts["too_many_connections"] += 1
            self.transport.write(b"-ERR too_many_connections all that this gateway takes are open\r\n")
            self.close()

    # --- the answer (gateway.Asker) ---

    def fulfilled(self, job: int, size: int, shard: int) -> None:
        if not size:
            self.piece(job, b"")

    def piece(self, job: int, data: bytes) -> None:
        self._over(job, bulk(data))

    def broke_off(self, job: int) -> None:
        self._over(job, b"-ERR failed\r\n")

    def denied(self, job: int, come_back: int) -> None:
        self._over(job, b"-BUSY %d\r\n" % -(-come_back // MS) if come_back else b"-BUSY\r\n")

    def written_off(self, job: int) -> None:
        self._over(job, b"-ERR failed\r\n")

    def _over(self, job: int, answer: bytes) -> None:
        slot = self.jobs.pop(job, None)
        if slot is not None:
            self._answer(slot, answer)
            self._flush()

    def too_late(self, job: int) -> None:
        """An answer that a loop at a standstill made late earns nothing; none at all is a lost job, and so
        are those behind it on a connection that ends."""
        self._over(job, b"-ERR failed\r\n")

    # --- back-pressure from the client (IPushProducer) ---

    def pauseProducing(self) -> None:
        self.blocked = True

    def resumeProducing(self) -> None:
        self.blocked = False
        if self.breach is None and self.up:
            self._read()

    def stopProducing(self) -> None:
        self.blocked = True


class RespFrontFactory(Factory):
    """Makes a `RespFront` for each client; keeps their number under `most`, and near `roomy` if it can.

    It looks on at the gateway's jobs (gateway.Observer): one that ended too late gets an error line.
    """

    noisy = False

    def __init__(self, gateway: Gateway, clock: Clock, kinds: Kinds, most: int, roomy: int) -> None:
        self.gateway = gateway
        self.clock = clock
        self.kinds = kinds
        self.most = most
        self.roomy = roomy
        self.fronts: dict[RespFront, None] = {}  # oldest first
        self.silent: dict[RespFront, None] = {}  # without a whole command so far, oldest first
        self.idle: OrderedDict[RespFront, None] = OrderedDict()  # without an open job, longest first
        self.open_ids: dict[bytes, None] = {}
        self.counts: Counter[str] = Counter()
        self.closed = 0  # connections so far
        self.leaving = False
        self.left: Callable[[], None] | None = None  # called when the last connection is gone
        self._sweep: Timer | None = clock.callLater(TIDY, self._tidy)

    def buildProtocol(self, addr: Any) -> RespFront:
        return RespFront(self)

    def came(self, front: RespFront) -> None:
        self.fronts[front] = None
        self.silent[front] = None
        front.idle_since = self.clock.seconds()
        if len(self.fronts) > self.roomy and not self._make_room() and len(self.fronts) > self.most:
            front.turn_away()

    def went(self, front: RespFront) -> None:
        self.fronts.pop(front, None)
        self.silent.pop(front, None)
        self.idle.pop(front, None)
        self.closed += 1
        if self.leaving and not self.fronts and self.left is not None:
            self.left()

    def rests(self, front: RespFront) -> None:
        """A connection has no open job from now on."""
        self.idle[front] = None
        self.idle.move_to_end(front)

    def _make_room(self) -> bool:
        """Ends a connection that stays silent, or else the one that rested longest; False if there is none.

        Guards against running out of descriptors, and against crowds that ask once and stay: clients may hold
        so many connections in all, and while these rest nobody else can come.
        """
        now = self.clock.seconds()
        for front in self.silent:
            if now - front.idle_since < HESITATE:
                break
            if not front.ending and front.breach is None and not front.commands.partial():
                front.turn_away()
                return True
        for front in self.idle:
            if now - front.idle_since < PAUSE:
                break
            if not front.ending and not front.slots and not front.commands.partial():
                front.close()
                return True
        return False

    def _tidy(self) -> None:
        self._sweep = self.clock.callLater(TIDY, self._tidy)
        now = self.clock.seconds()
        for front in list(self.idle):
            if now - front.idle_since < REST:
                break
            if not front.slots and not front.commands.partial():
                front.close()

    def leave(self) -> None:
        """Closes each connection as it falls idle, the idle ones at once; `left` is called after the last."""
        self.leaving = True
        for front in list(self.fronts):
            if not front.slots and not front.commands.partial():
                front.close()
        if not self.fronts and self.left is not None:
            self.left()

    def stop(self) -> None:
        stop(self._sweep)
        self._sweep = None

    def job_over(self, gateway: Gateway, story: JobStory) -> None:
        """A job whose answer came too late to be of use."""
        if story.closing is not Closing.TOO_LATE:
            return
        for front in [each for each in self.fronts if story.number in each.jobs]:
            front.too_late(story.number)
