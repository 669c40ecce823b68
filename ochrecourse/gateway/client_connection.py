"""The clients' side of a gateway: takes jobs with their bodies, gives each its answer, streams what was read.

A job is taken when its whole body is here; until then it can only be refused. Its time runs from when its
header was read. A client that goes away leaves all its jobs. What a client does wrong ends its own connection
and nothing else.
"""

from __future__ import annotations

from collections import Counter
from typing import Any

from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Factory
from zope.interface import implementer

from ochrecourse.gateway.gateway import Gateway
from ochrecourse.common.requests import BadRequestError, Request
from ochrecourse.gateway.request_body import RequestBody
from ochrecourse.common.runtime import Clock, Timer, now_ns, stop
from ochrecourse.common.time_units import MS
from ochrecourse.wire import messages as m
from ochrecourse.wire.framed_protocol import HEADER_TIME, FramedProtocol
from ochrecourse.wire.state import StreamState, Role, client_connection_state

TRACE = 64  # characters of a client's own name for a job that are kept; it stands in every leg's header
LARGEST_BODY = 1 << 32  # bytes; what a temporary file is asked to hold at most


class _Upload:
    """A job whose body is still coming; `timer` ends it when its client would have given up."""

    def __init__(self, asked: m.SubmitRequest, read_at: int, spool: RequestBody) -> None:
        self.asked = asked
        self.read_at = read_at
        self.spool = spool
        self.timer: Timer | None = None


@implementer(IPushProducer)
class ClientConnection(FramedProtocol):
    """One client's connection. It is the asker of all jobs that came on it."""

    def __init__(self, factory: ClientConnectionFactory) -> None:
        super().__init__(factory.clock, Role.ANSWERING, client_connection_state())
        self.factory = factory
        self.gateway = factory.gateway
        self.uploads: dict[int, _Upload] = {}
        self.jobs: dict[int, int] = {}  # the client's id of each job, by ours
        self.numbers: dict[int, int] = {}  # and the other way round
        self.blocked = False
        self.owed: dict[int, int] = {}  # bytes of answers written while the client's transport was full
        self.greeting: Timer | None = None

    def ready(self) -> None:
        if len(self.factory.fronts) >= self.factory.most:
            self.factory.counts["connections over the cap"] += 1
            self.say(m.Hello(version=m.VERSION, role="gateway", name=self.gateway.name))
            self.give_up("too_many_connections", "this gateway has all the connections it takes")
            return
        self.factory.fronts[self] = None
        self.greeting = self.clock.callLater(HEADER_TIME, self.give_up, "no_hello", "no hello came")
        self.transport.registerProducer(self, True)
        self.say(m.Hello(version=m.VERSION, role="gateway", name=self.gateway.name))

    def took(self, message: m.AnyMessage, body: bytes, after: StreamState | None) -> None:
        if isinstance(message, m.Hello):
            stop(self.greeting)
        elif isinstance(message, m.SubmitRequest):
            self._asked(message, body)
        elif isinstance(message, m.BodyChunk):
            self._part(message.id, body)
        elif isinstance(message, m.CancelRequest):
            self._leave(message.id, after)

    def _asked(self, asked: m.SubmitRequest, body: bytes) -> None:
        now = now_ns(self.clock)
        if asked.size > LARGEST_BODY:
            self._refuse(asked.id, "body_limit", f"a body of {asked.size} bytes; at most {LARGEST_BODY}")
            return
        spool = RequestBody(asked.size)
        spool.write(body)
        if spool.is_complete():
            self._take(asked, now, spool)
            return
        upload = self.uploads[asked.id] = _Upload(asked, now, spool)
        wait = min(max(asked.timeout_ms, 1.0), 3_600_000.0) / 1000
        upload.timer = self.clock.callLater(wait, self._overdue, asked.id)

    def _part(self, number: int, body: bytes) -> None:
        upload = self.uploads.get(number)
        if upload is None:
            return  # refused before its body was whole
        upload.spool.write(body)
        if upload.spool.is_complete():
            del self.uploads[number]
            stop(upload.timer)
            self._take(upload.asked, upload.read_at, upload.spool)

    def _overdue(self, number: int) -> None:
        upload = self.uploads.pop(number)
        upload.spool.close()
        self._refuse(number, "late_body", "the body was not whole before the client's own timeout")

    def _take(self, asked: m.SubmitRequest, read_at: int, spool: RequestBody) -> None:
        timeout = asked.timeout_ms * MS
        request = Request(
            request_class=asked.product,
            tenant=asked.plan,
            volume=asked.volume,
            timeout=round(timeout) if abs(timeout) < 1e18 else 0,
            read_at=read_at,
            key=asked.key,
            units=asked.units,
            shard=asked.shard,
            gateways=asked.gateways,
            trace=asked.trace[:TRACE],
            body=spool if spool.size else None,
        )
        job = self.gateway.next_request_id()
        self.jobs[job], self.numbers[asked.id] = asked.id, job
        try:
            self.gateway.submit(request, self)
        except BadRequestError as trouble:
            spool.close()
            self._forget(job)
            self._refuse(asked.id, trouble.code, str(trouble))

    def _refuse(self, number: int, code: str, text: str) -> None:
        self.factory.counts[f"refused: {code}"] += 1
        self.say(m.ErrorNotice(id=number, code=code, text=text))

    def _leave(self, number: int, after: StreamState | None) -> None:
        upload = self.uploads.pop(number, None)
        if upload is not None:
            upload.spool.close()
            stop(upload.timer)
        job = self.numbers.get(number)
        if job is not None:
            self._forget(job)
            self.gateway.cancel(job)
        if after not in (StreamState.CLOSED, None):
            self.say(m.RequestCancelled(id=number))

    def _forget(self, job: int) -> int | None:
        number = self.jobs.pop(job, None)
        if number is not None:
            del self.numbers[number]
        return number

    # --- the answer (gateway.Asker) ---

    def served(self, job: int, size: int, shard: int) -> None:
        self.say(m.RequestServed(id=self.jobs[job], size=size, shard=shard))
        if not size:
            self._forget(job)

    def body_chunk(self, job: int, data: bytes) -> None:
        number = self.jobs.get(job)
        if number is None:
            self.gateway.response_consumed(job, len(data))
            return
        self.say(m.BodyChunk(id=number), data)
        if number not in self.moves.standing:
            self._forget(job)
        elif self.blocked:
            self.owed[job] = self.owed.get(job, 0) + len(data)
        else:
            self.gateway.response_consumed(job, len(data))

    def aborted(self, job: int) -> None:
        if (number := self._forget(job)) is not None:
            self.say(m.RequestFailed(id=number))

    def rejected(self, job: int, retry_after: int) -> None:
        if (number := self._forget(job)) is not None:
            self.say(m.RequestRejected(id=number, come_back_ms=retry_after / MS))

    def failed(self, job: int) -> None:
        if (number := self._forget(job)) is not None:
            self.say(m.RequestFailed(id=number))

    # --- back-pressure from the client (IPushProducer) ---

    def pauseProducing(self) -> None:
        self.blocked = True

    def resumeProducing(self) -> None:
        self.blocked = False
        owed, self.owed = self.owed, {}
        for job, size in owed.items():
            self.gateway.response_consumed(job, size)

    def stopProducing(self) -> None:
        self.blocked = True

    def closed(self, half: bool) -> None:
        self.factory.fronts.pop(self, None)
        self.factory.closed += 1
        stop(self.greeting)
        if self.ended_by is not None:
            self.factory.counts[f"connections ended: {self.ended_by.code}"] += 1
        for upload in self.uploads.values():
            upload.spool.close()
            stop(upload.timer)
        self.uploads.clear()
        jobs, self.jobs, self.numbers = list(self.jobs), {}, {}
        for job in jobs:
            self.gateway.cancel(job)


class ClientConnectionFactory(Factory):
    """Makes a `ClientConnection` for each client. `most`: connections at once; one more is told so and
    closed.
    """

    noisy = False

    def __init__(self, gateway: Gateway, clock: Clock, most: int) -> None:
        self.gateway = gateway
        self.clock = clock
        self.most = most
        self.fronts: dict[ClientConnection, None] = {}
        self.counts: Counter[str] = Counter()
        self.closed = 0  # connections so far

    def buildProtocol(self, addr: Any) -> ClientConnection:
        return ClientConnection(self)

    def say_bye(self) -> None:
        """Tells every client that no new jobs are taken."""
        for front in self.fronts:
            front.say(m.GoAway(reason="draining"))

    def close(self) -> None:
        """Closes all connections once what was written to them has gone out."""
        for front in list(self.fronts):
            front.transport.loseConnection()
