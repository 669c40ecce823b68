"""The WebDAV door on Twisted's HTTP channel: requests in, jobs to the gateway, answers out.

What is right is decided in the modules beside it; this one reads headers and bodies, asks them, and writes. A
GET or PUT becomes one job, and its answer one response: fulfilled 200, 201 or 204; denied 503 with
Retry-After; written off 504. An answer that breaks off after its head was sent is cut, so that the client can
tell. What can be refused by a request's head is refused before its body is sent.
"""

from __future__ import annotations

import hashlib
import io
from collections import Counter, deque
from collections.abc import Callable, Iterator
from typing import Any

from twisted.internet.interfaces import IPushProducer
from twisted.web.http import HTTPChannel, HTTPFactory, Request
from zope.interface import implementer

from ochrecourse.common import requests
from ochrecourse.common.runtime import Network, Timer, now_ns, stop
from ochrecourse.common.time_units import MS, SECOND
from ochrecourse.webdav import bodies
from ochrecourse.webdav.kept import Kept
from ochrecourse.webdav.limits import Arrival, DoorFigures, Pace
from ochrecourse.webdav.mapping import NoProduct, ProductRule, VolumeRule, job_of
from ochrecourse.webdav.methods import XML, Asked, Methods, Quota, Reply
from ochrecourse.webdav.namespace import Content, Entry, Refused, Staged
from ochrecourse.webdav.resends import Resends, Same, What

MEMBERS = 200  # responses of a PROPFIND made in one go; the rest waits for the transport
SWEEP = 0.25  # s between looks at requests that are coming in
LINGER = 1.0  # s for a client that was refused early to read that, before its connection ends
SMALL = 1 << 16  # bytes of a body that is read before a refusal, so that its connection can stay
TRACE = 64  # characters of a client's own name for a request
WAITS = 0.9  # of a request's time that it waits for the same one before it; the rest is for its answer


# Headers of a GET that go when no body comes.
OF_THE_BODY = ("Content-Length", "Content-Range", "Content-Type", "ETag", "Last-Modified", "Accept-Ranges")
BUSY = b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"


class PutBody:
    """A request's body, already received by the channel (in a file if it is large), as a leg reads it.

    It is taken over from the request, which would close it with its connection while a leg still reads.
    """

    def __init__(self, request: Dav) -> None:
        self.content, request.content = request.content, io.BytesIO()
        self.size = self.content.seek(0, io.SEEK_END)
        self.digest = request.digest.hexdigest()

    def read(self, at: int, most: int) -> bytes:
        self.content.seek(at)
        data: bytes = self.content.read(most)
        return data

    def close(self) -> None:
        self.content.close()


@implementer(IPushProducer)
class Dav(Request):
    """One request."""

    channel: Any  # a Channel
    door: Door
    content: Any  # the body, whole, in memory or a file
    asked: Asked | None = None
    job: int | None = None
    number = 0
    came = 0  # ns, when its headers were here: its client's time runs from then
    looked_at = False  # before its body came
    how = ""  # it ended, for the access line
    trace = ""
    blocked = False
    owed = 0
    at = 0  # of the object, that came so far
    whole_size = 0  # of the object
    staged: Staged | None = None
    size = 0  # of a body that is written
    kind = ""
    digest: Any = hashlib.sha256()  # of its body so far; a body that is empty never changes this one
    members: Iterator[str] | None = None
    tail = b""
    running: Same | None = None  # a GET that others must wait for
    waits: Timer | None = None  # a GET that waits for one like it

    # --- the head ---

    def parseCookies(self) -> None:
        """Cookies mean nothing here."""

    def gotLength(self, length: int | None) -> None:
        super().gotLength(length)
        if length != 0:
            self.digest = hashlib.sha256()

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:
        """All of it is here. Queries and forms, which the channel would look for, mean nothing here."""
        self.content.seek(0)
        self.method, self.uri, self.path, self.clientproto = command, path, path, version
        self.process()

    def connectionLost(self, reason: Any) -> None:
        super().connectionLost(reason)
        if self.asked is not None and not self.finished:
            self._client_left()

    def handleContentChunk(self, data: bytes) -> None:
        self.channel.arrival.got += len(data)
        self.digest.update(data)
        super().handleContentChunk(data)
        self.size += len(data)
        if self.size > self.door.figures.body:
            self.refuse(Reply(413, f"a body of more than {self.door.figures.body} bytes"))

    def head(self, door: Door, method: bytes, target: bytes, version: bytes) -> Asked:
        """Takes the request's head; the same for one that is refused before its body comes."""
        self.door, self.method, self.uri, self.clientproto = door, method, target, version
        if self.asked is None:
            door.count += 1
            self.number, self.came = door.count, now_ns(door.network)
            every = self.requestHeaders.getAllRawHeaders()
            headers = {
                name.decode("latin-1").lower(): b", ".join(said).decode("latin-1") for name, said in every
            }
            self.asked = Asked(method.decode("latin-1"), target.decode("latin-1"), headers)
            self.trace = headers.get("x-request-id", "")[:TRACE] or f"http-{self.number}"
        return self.asked

    def refused_early(self, length: int | None) -> Reply | None:
        """What a request whose body is still to come is refused with, if its head is enough to know."""
        door, asked = self.door, self.asked
        assert asked is not None
        now, self.looked_at = now_ns(door.network), True
        try:
            door.ask(self.channel.pace, now)
            self._well_formed(asked)
            if length is not None and length > (
                door.figures.body if asked.method == "PUT" else bodies.LONGEST
            ):
                raise Reply(413, "the body is too large")
            if asked.method == "PUT":
                entry, tokens = door.methods.begin(asked, now)
                door.methods.may_put(asked, entry, tokens, -1 if length is None else length, now)
                if not door.gateway.shutdown.accepts_requests():
                    raise Reply(503, "this gateway is leaving", {"Retry-After": "1"})
        except Reply as reply:
            return reply
        return None

    def _well_formed(self, asked: Asked) -> None:
        expected = asked.said("expect").lower()
        if expected and expected != "100-continue":
            raise Reply(417, "100-continue is all that can be expected here")
        if asked.said("content-encoding") and asked.method == "PUT":
            raise Reply(415, "bodies are kept as they come, without a coding")

    def refuse(self, reply: Reply) -> None:
        """Answers while the body is still coming; the connection ends once the client could read that."""
        if not self.channel.refused:
            self.channel.refused = True
            self.answer(reply.status, reply.body, reply.headers)

    def process(self) -> None:
        door = self.channel.factory.door
        asked = self.head(door, self.method, self.uri, self.clientproto)
        now, methods = now_ns(door.network), door.methods
        if asked.method not in ("GET", "HEAD", "PUT"):
            asked.body = self.content.read(bodies.LONGEST + 1)
        try:
            if not self.looked_at:
                door.ask(self.channel.pace, now)
                self._well_formed(asked)
            entry, tokens = methods.begin(asked, now)
            if asked.method in ("GET", "HEAD"):
                self._get(asked, entry, now)
            elif asked.method == "PUT":
                methods.may_put(asked, entry, tokens, self.size, now)
                self._put(asked, now)
            elif asked.method == "PROPFIND":
                self._listing(methods.listing(asked, entry, now))
            elif asked.method == "REPORT":
                self._listing(methods.report(asked, entry, now))
            else:
                raise methods.do(asked, entry, tokens, now)
        except Reply as reply:
            self.answer(reply.status, reply.body, reply.headers)

    # --- methods that are jobs ---

    def _get(self, asked: Asked, entry: Entry | None, now: int) -> None:
        found, sent, headers = self.door.methods.slice_of(asked, entry)
        if self.method != b"HEAD" and found.content is not None and found.content.size:
            said = asked.said("authorization"), asked.said("idempotency-key")
            if any(said):
                same = Same("GET", asked.path, *said, asked.said("range"))
                if self.door.resends.came(same, self.number, now)[0] is What.JOINS:
                    self._wait(asked, found.content.size)
                    return
                self.running = same
        for name, value in headers.items():
            self.setHeader(name, value)
        self.setResponseCode(sent.status)
        self.parts, self.tail = deque(sent.parts), sent.tail
        self.whole_size = found.content.size if found.content is not None else 0
        if self.method == b"HEAD" or found.content is None or not found.content.size:
            self.end("fulfilled")
            return
        try:
            self._ask(asked, found.content.size, found.content.key, found.content.shard, None)
        except Reply:
            self._forget_body()
            self._give_way(503)
            raise

    def _wait(self, asked: Asked, size: int) -> None:
        """Waits for the same GET that is out; denied once it would be too late for its own client."""
        self.door.waiting[self.number] = self
        latest = self.came + round(self._job(asked, size).timeout * WAITS * SECOND)
        left = max(0, latest - now_ns(self.door.network))
        self.waits = self.door.network.callLater(left / SECOND, self._waited)

    def _waited(self) -> None:
        self.waits = None
        self.door.waiting.pop(self.number, None)
        self.door.resends.left(self.number)
        self.answer(503, "the same request is still under way", {"Retry-After": "1"}, "denied")

    def again(self) -> None:
        """The one that it waited for is over: it is a request like any other now."""
        stop(self.waits)
        self.waits = None
        assert self.asked is not None
        if self.finished or self._disconnected:
            return
        try:
            now = now_ns(self.door.network)
            self._get(self.asked, self.door.methods.begin(self.asked, now)[0], now)
        except Reply as reply:
            self.answer(reply.status, reply.body, reply.headers)

    def _give_way(self, status: int) -> None:
        """Those that waited for this one go on: a PUT's get its answer, a GET's run."""
        self.running = None
        self.door.over(self.number, status)

    def _put(self, asked: Asked, now: int) -> None:
        body = PutBody(self)
        self.kind = asked.said("content-type") or "application/octet-stream"
        mark = asked.said("idempotency-key")
        same = Same("PUT", asked.path, asked.said("authorization"), mark, "" if mark else body.digest)
        what, status = self.door.resends.came(same, self.number, now)
        if what is What.DENIED:
            body.close()
            raise Reply(503, "another write to it is under way", {"Retry-After": "1"})
        if what is not What.RUNS:
            body.close()
        if what is What.AGAIN:
            raise Reply(status)
        if what is What.JOINS:
            self.door.waiting[self.number] = self
            return
        try:
            self.staged = self.door.tree.stage(asked.path)
            self._ask(asked, body.size, self.door.key_of(self.staged), -1, body)
        except (Refused, Reply) as trouble:
            self.staged = None
            body.close()
            self.door.over(self.number, trouble.status)
            raise trouble if isinstance(trouble, Reply) else Reply(trouble.status, str(trouble)) from None

    def _job(self, asked: Asked, size: int) -> Any:
        """The job that this request is. Raises Reply."""
        door = self.door
        try:
            tables = (door.products, door.volumes, door.unit, door.most_units)
            return job_of(asked.method, asked.path, size, asked.headers, *tables)
        except NoProduct as trouble:
            raise Reply(403, str(trouble)) from None

    def _ask(self, asked: Asked, size: int, key: int, shard: int, body: PutBody | None) -> None:
        """Asks the gateway for the job of this request. Raises Reply."""
        door, job = self.door, self._job(asked, size)
        request = requests.Request(
            request_class=job.product,
            tenant=job.plan,
            volume=job.volume,
            timeout=round(job.timeout * SECOND),
            read_at=self.came,
            key=key,
            units=job.units,
            shard=shard,
            gateways=job.gateways,
            trace=self.trace,
            body=body if size else None,
        )
        self.job = door.gateway.next_request_id()
        if body is None:
            self.registerProducer(self, True)
        try:
            door.gateway.submit(request, self)
        except requests.BadRequestError as trouble:
            self.job = None
            raise Reply(408 if trouble.code == "late_body" else 403, str(trouble)) from None

    # --- the job's answer (common.requests.ResponseHandler) ---

    def served(self, job: int, size: int, shard: int) -> None:
        if self.staged is None:
            if size != self.whole_size:
                # The node holds other bytes under this key: its length would never be reached, or be overrun.
                self._ended(502, "the node holds something else", 0, "not as kept")
                self.door.gateway.cancel(job)
            return  # its bytes come
        staged, self.staged, self.job = self.staged, None, None
        content = Content(self.door.key_of(staged), shard, self.size, "", self.kind)
        try:
            entry, made = self.door.kept.publish(staged, content, now_ns(self.door.network))
        except (Refused, OSError) as trouble:
            # Stored at a node but not shown: the old object stands, and the client is told that.
            status = trouble.status if isinstance(trouble, Refused) else 507
            self.door.over(self.number, status)
            self.answer(status, str(trouble))
            return
        status = 201 if made else 204
        self.door.over(self.number, status)
        self.answer(status, "", {"ETag": entry.tag}, "fulfilled")

    def body_chunk(self, job: int, data: bytes) -> None:
        if self.finished or self._disconnected or self.job is None:
            self.door.gateway.response_consumed(job, len(data))
            return
        at, end = self.at, self.at + len(data)
        self.at = end
        while self.parts and self.parts[0].first < end:
            first, last, head = self.parts[0]
            mine = data[max(first, at) - at : last + 1 - at]
            self.write(head + mine if head and at <= first else mine)
            if last >= end:
                break
            self.parts.popleft()
        if not self.parts:
            if self.tail:
                self.write(self.tail)
            self.job = None
            self.unregisterProducer()
            self.end("fulfilled")
            self.door.gateway.response_consumed(job, len(data))
            if end < self.whole_size:
                self.door.gateway.cancel(job)  # what lies beyond the last range is read by nobody
        elif self.blocked:
            self.owed += len(data)
        else:
            self.door.gateway.response_consumed(job, len(data))

    def aborted(self, job: int) -> None:
        self.job = None
        if not self.finished and not self._disconnected:
            self.how = "cut"
            self._give_way(504)
            self.channel.loseConnection()  # the length that was told is not reached: the client can tell

    def rejected(self, job: int, retry_after: int) -> None:
        self._ended(503, "turned away; trying again is harmless", retry_after, "denied")

    def failed(self, job: int) -> None:
        self._ended(504, "not served in time; whether it had an effect is not known", 0, "written off")

    def _ended(self, status: int, text: str, retry_after: int, how: str) -> None:
        self.job, self.staged = None, None
        self._forget_body()
        after = {"Retry-After": str(max(1, -(-retry_after // SECOND)))} if status == 503 else {}
        self.answer(status, text, after, how)
        self.door.over(self.number, status)

    def _forget_body(self) -> None:
        """No body comes after all: what was said of it is not said."""
        for name in OF_THE_BODY:
            self.responseHeaders.removeHeader(name)

    def _client_left(self) -> None:
        door = self.door
        door.waiting.pop(self.number, None)
        stop(self.waits)
        self.waits = None
        keep = self.staged is not None  # a write goes on: the resend that comes must not stand beside it
        door.resends.left(self.number)
        self.how = self.how or "client left"
        if self.job is not None and not keep:
            job, self.job = self.job, None
            door.gateway.cancel(job)
        if self.running is not None:
            self._give_way(503)
        door.log(self)

    def pauseProducing(self) -> None:
        self.blocked = True

    def resumeProducing(self) -> None:
        self.blocked = False
        owed, self.owed = self.owed, 0
        if owed and self.job is not None:
            self.door.gateway.response_consumed(self.job, owed)
        if self.members is not None:
            self._send_members()

    def stopProducing(self) -> None:
        self.blocked = True

    # --- a listing, piece by piece ---

    def _listing(self, members: Iterator[str]) -> None:
        self.members = members
        self.setResponseCode(207)
        self.setHeader("Content-Type", XML["Content-Type"])
        self.write(bodies.HEAD.encode())
        self.registerProducer(self, True)
        self._send_members()

    def _send_members(self) -> None:
        """Writes some responses at a time while the transport takes them, so that a large collection is never
        whole in memory and other requests have their turn.
        """
        if self.members is None or self.blocked or self._disconnected:
            return
        some = [text for _, text in zip(range(MEMBERS), self.members, strict=False)]
        if some:
            self.write("".join(some).encode())
            self.door.network.callLater(0, self._send_members)
            return
        self.members = None
        self.unregisterProducer()
        self.write(bodies.TAIL.encode())
        self.end("done")

    # --- the answer ---

    def answer(
        self, status: int, body: str = "", headers: dict[str, str] | None = None, how: str = ""
    ) -> None:
        """The request's one response."""
        if self.finished or self._disconnected:
            return
        if self.producer is not None:
            self.unregisterProducer()
        self.setResponseCode(status)
        for name, value in (headers or {}).items():
            if value:
                self.setHeader(name, value)
        if self.channel.refused:
            self.setHeader("Connection", "close")
        self._closing()
        if status not in (204, 304):
            data = body.encode()
            self.setHeader("Content-Length", str(len(data)))
            if body and not self.responseHeaders.hasHeader("Content-Type"):
                self.setHeader("Content-Type", "text/plain; charset=utf-8")
            if data and self.method != b"HEAD":
                self.write(data)
        self.end(how or ("done" if status < 400 else "refused"))

    def end(self, how: str) -> None:
        """The last byte of the response is written."""
        self.how = how
        if not self.startedWriting:
            self._closing()
        if self.running is not None:
            self._give_way(200)
        self.finish()

    def _closing(self) -> None:
        """While the gateway leaves, each answer ends its connection."""
        if not self.door.gateway.shutdown.accepts_requests():
            self.setHeader("Connection", "close")
            self.channel.persistent = False


class Channel(HTTPChannel):
    """One connection. `arrival` is the request that is coming in, None between requests."""

    requestFactory = Dav
    factory: Door
    transport: Any
    _path: Any
    _command: Any
    _version: Any
    refused = False  # a request was answered before its body came: what follows is read and forgotten
    arrival: Arrival | None = None

    def connectionMade(self) -> None:
        door = self.factory
        self.pace = Pace(door.figures.burst, now_ns(door.network))
        self.totalHeadersSize, self.maxHeaders = door.figures.header_bytes, door.figures.headers
        self.MAX_LENGTH = door.figures.header_bytes
        self.open = len(door.channels) < door.figures.connections
        door.rests(self)
        super().connectionMade()
        if not self.open:
            door.counts["connections over the cap"] += 1
            self.transport.write(BUSY)
            self.loseConnection()
            return
        door.channels[self] = None

    def dataReceived(self, data: bytes) -> None:
        if self.refused or not self.open:
            return
        if self.arrival is None and not self._handlingRequest:
            self._coming()
        super().dataReceived(data)

    def _coming(self) -> None:
        self.factory.resting.pop(self, None)
        self.arrival = Arrival(now_ns(self.factory.network))
        self.factory.arriving[self] = self.arrival
        self.factory.sweep()

    def lineReceived(self, line: bytes) -> None:
        if self.refused:
            return
        if line[:1] in (b" ", b"\t"):
            # A folded header (RFC 9112 5.2): two readers may see two different requests.
            self._respondToBadRequestAndDisconnect()
            return
        super().lineReceived(line)

    def lineLengthExceeded(self, line: bytes) -> None:
        self._bad(b"431 Request Header Fields Too Large")

    def allHeadersReceived(self) -> None:
        request: Dav = self.requests[-1]
        hosts = request.requestHeaders.getRawHeaders(b"host") or []
        if len(hosts) > 1 or (not hosts and self._version == b"HTTP/1.1"):  # RFC 9112 3.2
            self._bad(b"400 Bad Request")
            return
        request.head(self.factory, self._command, self._path, self._version)
        expects = request.requestHeaders.hasHeader(b"expect")
        if self.length is None or self.length > SMALL or (self.length and expects):
            reply = request.refused_early(self.length)
            if reply is not None:
                request.content = io.BytesIO()
                request.refuse(reply)
                return
        super().allHeadersReceived()
        assert self.arrival is not None
        self.arrival.in_body, self.arrival.since = True, now_ns(self.factory.network)

    def rawDataReceived(self, data: bytes) -> None:
        if not self.refused:
            super().rawDataReceived(data)

    def allContentReceived(self) -> None:
        if self.refused:
            return
        self._arrived()
        super().allContentReceived()

    def _arrived(self) -> None:
        self.arrival = None
        self.factory.arriving.pop(self, None)

    def requestDone(self, request: Request) -> None:
        if not self.refused:
            self.factory.rests(self)
            super().requestDone(request)
            if self._buffer and not self._handlingRequest and self.arrival is None:
                self._coming()
            return
        self._arrived()
        self.requests.clear()
        self.factory.network.callLater(LINGER, self.loseConnection)

    def _respondToBadRequestAndDisconnect(self) -> None:
        large = (
            self._receivedHeaderSize > self.totalHeadersSize or self._receivedHeaderCount > self.maxHeaders
        )
        self._bad(b"431 Request Header Fields Too Large" if large else b"400 Bad Request")

    def _bad(self, status: bytes) -> None:
        """What can't be read as a request ends the connection; nothing after it is read."""
        if self.refused:
            return
        self.refused = True
        self._arrived()
        self.factory.counts[f"not requests: {status[:3].decode()}"] += 1
        self.transport.write(b"HTTP/1.1 " + status + b"\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
        for request in self.requests:
            request.how = "refused"
        self.factory.network.callLater(LINGER, self.loseConnection)

    def too_slow(self) -> None:
        self.factory.counts["ended for sending too slowly"] += 1
        self._bad(b"408 Request Timeout")

    def connectionLost(self, reason: Any = None) -> None:
        self._arrived()
        self.factory.channels.pop(self, None)
        self.factory.resting.pop(self, None)
        self.factory.closed += 1
        super().connectionLost(reason)


class Door(HTTPFactory):
    """The door of one gateway: its tree, its locks, and the tables by which requests become jobs.

    `number` of the gateway keeps the keys of its objects apart from those of others; `kept` holds names and
    locks; `access` takes the fields of each request's line.
    """

    noisy = False
    protocol = Channel  # type: ignore[assignment]

    def __init__(
        self,
        gateway: requests.RequestGateway,
        network: Network,
        products: list[ProductRule],
        volumes: list[VolumeRule],
        unit: int,
        most_units: float,
        number: int,
        kept: Kept,
        figures: DoorFigures,
        quota: Quota = Quota({}),  # noqa: B008
        access: Callable[..., None] | None = None,
    ) -> None:
        super().__init__(timeout=None, reactor=network)  # type: ignore[arg-type]
        self.door = self
        self.gateway = gateway
        self.network = network
        self.products = products
        self.volumes = volumes
        self.unit = unit
        self.most_units = most_units
        self.number = number
        self.figures = figures
        self.access = access
        self.kept = kept
        self.tree = kept.tree
        self.methods = Methods(kept, quota)
        self.resends = Resends()
        self.waiting: dict[int, Dav] = {}
        self.channels: dict[Channel, None] = {}
        self.arriving: dict[Channel, Arrival] = {}
        self.resting: dict[Channel, int] = {}  # between requests, since when; the longest first
        self.counts: Counter[str] = Counter()
        self.count = 0
        self.closed = 0  # connections so far
        self._sweep: Timer | None = None

    def ask(self, pace: Pace, now: int) -> None:
        """A connection's next request. Raises Reply if it comes too soon."""
        wait = pace.ask(self.figures, now)
        if wait:
            raise Reply(429, "too many requests on this connection", {"Retry-After": str(-(-wait // SECOND))})

    def rests(self, channel: Channel) -> None:
        """A connection is between requests from now on."""
        self.resting.pop(channel, None)
        self.resting[channel] = now_ns(self.network)
        self.sweep()

    def sweep(self) -> None:
        """Ends connections whose requests come in too slowly and those that rest for too long."""
        if self._sweep is None:
            self._sweep = self.network.callLater(SWEEP, self._swept)

    def _swept(self) -> None:
        self._sweep = None
        now = now_ns(self.network)
        for channel, arrival in list(self.arriving.items()):
            if arrival.too_slow(self.figures, now):
                channel.too_slow()
        while self.resting:
            channel, since = next(iter(self.resting.items()))
            if since + self.figures.idle > now:
                break
            del self.resting[channel]
            channel.loseConnection()
        if self.arriving or self.resting:
            self.sweep()

    def log(self, request: Any) -> None:
        """A request's line, once its response is written or its client has left."""
        asked = request.asked
        if asked is None or request.how == "told":
            return
        how, request.how = request.how, "told"
        self.counts[f"requests: {how}"] += 1
        if self.access is not None:
            self.access(
                how=how,
                method=asked.method,
                path=asked.target,
                status=request.code if request.startedWriting else 0,
                bytes_in=request.size,
                bytes_out=request.sentLength,
                ms=round((now_ns(self.network) - request.came) / MS, 3),
                trace=request.trace,
            )

    def say_bye(self) -> None:
        """The gateway leaves: connections without a request end now, the others with their answers."""
        for channel in list(self.channels):
            if not channel.requests:
                channel.loseConnection()

    def close(self) -> None:
        """Closes all connections once what was written to them has gone out."""
        for channel in list(self.channels):
            channel.loseConnection()

    def key_of(self, staged: Staged) -> int:
        """The key under which nodes hold a version: never the same for two of them, nor for two gateways."""
        return (self.number + 1 << 40) + staged.key

    def over(self, number: int, status: int) -> None:
        """A request that others waited for is over: a write's answer is theirs, a read lets one go on."""
        for other in self.resends.over(number, status, now_ns(self.network)):
            waiting = self.waiting.pop(other, None)
            if waiting is None:
                continue
            if waiting.method == b"GET":
                self.network.callLater(0, waiting.again)
            else:
                waiting.answer(status, "", {"Retry-After": "1"} if status == 503 else {}, "joined")
