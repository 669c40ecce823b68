"""One client's connection in RESP2: commands in, answers out in the order of the commands.

Requests of one connection run at once, up to a number; more wait. All is read as it comes all the same: a
client's end stands behind its bytes, or is not even sent before they are read, and must be known at once. So
what waits is bounded by refusing requests, and commands without end are a mistake. What a client does wrong
gets one error line, behind the answers that are owed, and ends its own connection and nothing else. A client
that closes its connection, or its sending side, leaves all its requests.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Any

from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Protocol
from zope.interface import implementer

from ochrecourse.common.requests import BadRequestError, Request
from ochrecourse.common.runtime import Timer, now_ns, stop
from ochrecourse.common.time_units import MS
from ochrecourse.resp.lingering_close import LingeringClose
from ochrecourse.resp.codec import Breach, Commands, bulk
from ochrecourse.resp.commands import asked

if TYPE_CHECKING:
    from ochrecourse.resp.server import RespServerFactory

AT_ONCE = 32  # requests of one connection that run at once or whose answers wait for their turn
PARSED = 256  # commands of one connection in a turn of the loop, some ms; then others have theirs
SPEAK = 2.2  # s for a connection's first command, and for a begun one; an error is owed within 3
COMMANDS = 2_048  # without their answers on one connection; well-behaved clients send hundreds at once
COMMANDS_ALL = 65_536  # on all connections, beyond what each may have at once; each takes some 100 bytes
WAITING = 8_388_608  # bytes of requests that wait on one connection; 128 of the longest
WAITING_ALL = 25_165_824  # bytes of requests that wait on all; a small part of a gateway's memory
OVERHEAD = 1_024  # bytes that a waiting request takes beside its value


class _Slot:
    """A command's place in the order of answers."""

    __slots__ = ("answer", "name", "request")

    def __init__(
        self, name: bytes = b"", answer: bytes | None = None, request: Request | None = None
    ) -> None:
        self.name = name  # the client's id of an open request
        self.answer = answer
        self.request = request  # while it waits

    def size(self) -> int:
        """Bytes of memory that its request takes while it waits."""
        body = self.request.body if self.request is not None else None
        return OVERHEAD + (body.size if body is not None else 0)


@implementer(IPushProducer)
class RespClientConnection(Protocol):
    """One client's connection, and the asker of all requests that came on it."""

    transport: Any  # Twisted's interfaces carry no types

    def __init__(self, factory: RespServerFactory) -> None:
        self.factory = factory
        self.gateway = factory.gateway
        self.clock = factory.clock
        self.commands = Commands()
        self.slots: deque[_Slot] = deque()
        self.waiting: deque[_Slot] = deque()  # of these, requests that have not begun
        self.waiting_size = 0
        self.running = 0  # requests that have begun and whose answers are not written
        self.jobs: dict[int, _Slot] = {}
        self.up = False
        self.spoke = False
        self.breach: Breach | None = None
        self.closing: LingeringClose | None = None  # this side ends the connection
        self.blocked = False  # the client reads too slowly
        self.unparsed = False  # whole commands may be buffered for the loop's next turn; it reads no more
        self.refusing = False  # requests that have not begun are refused: the process is about to end
        self.reading = False  # commands are being taken, or read a last time before a close
        self.watch: Timer | None = None
        self.next_turn: Timer | None = None
        self.idle_since = 0.0

    # --- Twisted's calls ---

    def connectionMade(self) -> None:
        self.up = True
        if hasattr(self.transport, "setTcpNoDelay"):
            self.transport.setTcpNoDelay(True)  # before any write: a reset takes what was held back
        self.transport.registerProducer(self, True)
        self.watch = self.clock.callLater(SPEAK, self._too_slow)
        self.factory.came(self)

    def dataReceived(self, data: bytes) -> None:
        if self.breach is None and self.closing is None and self.up:
            self.commands.feed(data)
            self._read()

    def connectionLost(self, reason: Any = None) -> None:
        self.up = False
        if self.closing is not None:
            self.closing.lost()
        self._stop_timers()
        self.commands = Commands()
        self.factory.went(self)
        self._leave_requests()

    def _leave_requests(self) -> None:
        for slot in self.slots:
            self.factory.free_id(slot.name, slot)
        self.factory.commands -= len(self.slots)
        self.slots.clear()
        self._count_waiting(-self.waiting_size)
        self.waiting.clear()
        jobs, self.jobs = list(self.jobs), {}
        self.gateway.cancel_all(jobs)

    def _stop_timers(self) -> None:
        stop(self.watch)
        stop(self.next_turn)
        self.watch = self.next_turn = None

    # --- commands ---

    def _read(self) -> None:
        """Takes what commands are whole, as many as one turn of the loop may."""
        if self.reading or self.breach is not None or self.closing is not None or not self.up:
            return
        self.reading = True
        try:
            self._parse()
        except Breach as breach:
            self._wrong(breach)
        finally:
            self.reading = False
        self._go_on()

    def _parse(self) -> None:
        for _ in range(PARSED):
            words = self.commands.next()
            if words is None:
                self._read_on()
                return
            if not self.spoke:
                self.spoke = True
                self.factory.silent.pop(self, None)
            self._command(words)
        if not self.unparsed:
            self.unparsed = True
            self.transport.pauseProducing()
        self._later()

    def _read_on(self) -> None:
        if self.unparsed:
            self.unparsed = False
            self.transport.resumeProducing()

    def _later(self) -> None:
        """Goes on in the loop's next turn."""
        if self.next_turn is None:
            self.next_turn = self.clock.callLater(0, self._next_turn)

    def _next_turn(self) -> None:
        self.next_turn = None
        if self.unparsed:
            self._read()
        else:
            self._go_on()

    def _look(self) -> None:
        """Starts or stops the time in which a begun command must be whole."""
        waits = not self.spoke or (self.commands.partial() and not self.unparsed)
        if waits and self.watch is None:
            self.watch = self.clock.callLater(SPEAK, self._too_slow)
        elif not waits and self.watch is not None:
            stop(self.watch)
            self.watch = None

    def _command(self, words: list[bytes]) -> None:
        crowded = self.factory.commands >= COMMANDS_ALL and len(self.slots) >= AT_ONCE
        if crowded or len(self.slots) >= COMMANDS:
            raise Breach("too_many_commands", "more commands without an answer than one client may have")
        if words[0].upper() == b"PING" and len(words) == 1:
            self._line_up(_Slot(answer=b"+PONG\r\n"))
            return
        request = asked(words, self.factory.kinds, now_ns(self.clock))
        if words[2] in self.factory.open_ids:
            raise Breach("open_id", "the id of a request that is open")
        slot = _Slot(words[2], request=request)
        size = slot.size()
        waits = self.blocked or self.running + len(self.waiting) >= AT_ONCE
        full = self.waiting_size + size > WAITING or self.factory.waiting_size + size > WAITING_ALL
        if self.refusing or (waits and full):
            self._line_up(_Slot(answer=b"-BUSY\r\n"))
            return
        self._line_up(slot)
        self.waiting.append(slot)
        self._count_waiting(size)
        self.factory.open_ids[slot.name] = slot
        self.factory.idle.pop(self, None)

    def _line_up(self, slot: _Slot) -> None:
        self.slots.append(slot)
        self.factory.commands += 1

    def _count_waiting(self, size: int) -> None:
        self.waiting_size += size
        self.factory.waiting_size += size

    def _begin(self) -> None:
        """Begins requests that wait, as far as there is room for their answers."""
        while self.waiting and self.running < AT_ONCE and not self.blocked and self.up:
            slot = self.waiting.popleft()
            self._count_waiting(-slot.size())
            request, slot.request = slot.request, None
            self.running += 1
            if request is not None:
                self._ask(slot, request)

    def _ask(self, slot: _Slot, request: Request) -> None:
        # The time that a request waits for those before it on its connection does not count.
        request.read_at = now_ns(self.clock)
        job = self.gateway.next_request_id()
        self.jobs[job] = slot
        try:
            self.gateway.submit(request, self)
        except BadRequestError as trouble:
            del self.jobs[job]
            if trouble.code == "late_body":
                self._answer(slot, b"-ERR too late\r\n")
            else:
                self._drop_from(slot)
                self._wrong(Breach(trouble.code, str(trouble)))

    def _drop_from(self, slot: _Slot) -> None:
        """A request is a mistake: it and all that its client sent behind it are not answered."""
        self.running -= 1
        last = None
        while last is not slot:
            last = self.slots.pop()
            self.factory.commands -= 1
            self.factory.free_id(last.name, last)
        self.waiting.clear()
        self._count_waiting(-self.waiting_size)

    def _too_slow(self) -> None:
        self.watch = None
        if not self.spoke and not self.commands.partial():
            self._wrong(Breach("silent", "no command came"))
        else:
            self._wrong(Breach("half_command", "a command did not come whole in its time"))
        self._go_on()

    def _wrong(self, breach: Breach) -> None:
        """The client is told, once all that it is owed has been answered; what more it sends is discarded."""
        self.breach = breach
        self.factory.counts[breach.code] += 1
        self._forget_unread()
        self._line_up(_Slot(answer=f"-ERR {breach.code} {breach}\r\n".encode()))

    def _forget_unread(self) -> None:
        """What is buffered, and all that still comes, is discarded; it is read to see the client's end."""
        self._stop_timers()
        self.commands = Commands()
        self._read_on()

    # --- answers ---

    def _answer(self, slot: _Slot, answer: bytes) -> None:
        slot.answer = answer
        self.factory.free_id(slot.name, slot)

    def _go_on(self) -> None:
        """Begins what has room and writes the answers whose turn has come, and sees what follows from it."""
        if self.reading or self.closing is not None or not self.up:
            return
        self.reading = True  # answers that come at once are written below
        try:
            self._begin()
        finally:
            self.reading = False
        self._write()
        if self.waiting and self.running < AT_ONCE and not self.blocked:
            self._later()
        if self.breach is not None:
            if not self.slots:
                self._end()
        elif not (self.factory.leaving and self.close()):
            self._look()

    def _write(self) -> None:
        """Writes the answers whose turn has come; they stay here while the client takes none."""
        if self.blocked and self.breach is None and not self.refusing:
            return
        ready = []
        while self.slots and self.slots[0].answer is not None:
            slot = self.slots.popleft()
            self.factory.commands -= 1
            self.running -= bool(slot.name)
            ready.append(slot.answer or b"")
        if ready and self.up:
            self.transport.write(b"".join(ready))
            if not self.slots:
                self.idle_since = self.clock.seconds()
                self.factory.rests(self)

    # --- the end, as this side brings it about ---

    def _rests(self) -> bool:
        """Whether a close would cost no answer: nothing is owed, and nothing that was read is left."""
        unread = self.unparsed or (self.commands.partial() and not self.refusing)
        return not self.slots and not unread and self.breach is None and self.closing is None and self.up

    def close(self) -> bool:
        """Ends a connection that rests; False if it does not, or if the client just sent something."""
        if not self._rests() or self._just_sent():
            return False
        self._end()
        return True

    def _just_sent(self) -> bool:
        """Reads what the system holds already, so that fewer requests cross the shutdown unread."""
        if self.refusing or not hasattr(self.transport, "doRead"):
            return False
        self.reading = True  # what comes is taken in the loop's next turn
        try:
            self.transport.doRead()  # an end that it finds is found once more by the loop
        finally:
            self.reading = False
        if not self.commands.partial():
            return False
        self.unparsed = True
        self.transport.pauseProducing()
        self._later()
        return True

    def make_room(self) -> bool:
        """Ends a connection that has been silent so far; False if its client just sent something."""
        if self.breach is not None or self.commands.partial() or self._just_sent():
            return False
        self.turn_away()
        return True

    def turn_away(self) -> None:
        """Ends a connection that has not asked for anything, with an error line and at once."""
        if self.up and self.closing is None:
            self.factory.counts["too_many_connections"] += 1
            self.transport.write(b"-ERR too_many_connections all that this gateway takes are open\r\n")
            self._end()

    def stop_taking(self) -> None:
        """The process is about to end: what has not begun is refused, and what is not whole is dropped."""
        self.refusing = True
        for slot in self.waiting:
            self._answer(slot, b"-BUSY\r\n")
            slot.name, slot.request = b"", None
        self.waiting.clear()
        self._count_waiting(-self.waiting_size)
        self._go_on()

    def _end(self) -> None:
        """Ends the connection so that its client can read the last answer; what still comes is discarded."""
        self._forget_unread()
        self.factory.lingers(self)
        self.closing = LingeringClose(self.transport, self.clock, self.blocked, self.factory.hurry)
        self.factory.bound_lingering()

    # --- the answer (common.requests.ResponseHandler) ---

    def served(self, job: int, size: int, shard: int) -> None:
        if not size:
            self.body_chunk(job, b"")

    def body_chunk(self, job: int, data: bytes) -> None:
        self._over(job, bulk(data))

    def aborted(self, job: int) -> None:
        self._over(job, b"-ERR failed\r\n")

    def rejected(self, job: int, retry_after: int) -> None:
        self._over(job, b"-BUSY %d\r\n" % -(-retry_after // MS) if retry_after else b"-BUSY\r\n")

    def failed(self, job: int) -> None:
        self._over(job, b"-ERR failed\r\n")

    def _over(self, job: int, answer: bytes) -> None:
        slot = self.jobs.pop(job, None)
        if slot is not None:
            self._answer(slot, answer)
            self._go_on()

    def too_late(self, job: int) -> None:
        """An answer that a loop at a standstill made late earns nothing; none at all is a lost job, and so
        are those behind it on a connection that ends."""
        self._over(job, b"-ERR failed\r\n")

    # --- back-pressure from the client (IPushProducer) ---

    def pauseProducing(self) -> None:
        self.blocked = True

    def resumeProducing(self) -> None:
        self.blocked = False
        if self.closing is not None:
            self.closing.drained()
        else:
            self._go_on()

    def stopProducing(self) -> None:
        self.blocked = True
