"""The WebDAV door on Twisted's HTTP channel: requests in, jobs to the gateway, answers out.

What is right is decided in the modules beside it; this one reads headers and bodies, asks them, and writes. A
GET or PUT becomes one job, and its answer one response: fulfilled 200, 201 or 204; denied 503 with
Retry-After; written off 504. An answer that breaks off after its head was sent is cut, so that the client can
tell.
"""

from __future__ import annotations

import hashlib
import io
from collections.abc import Callable, Iterator
from typing import Any

from twisted.internet.interfaces import IPushProducer
from twisted.web.http import HTTPChannel, HTTPFactory, Request
from zope.interface import implementer

from ochrecourse.gateway import gateway as g
from ochrecourse.outside import SECOND, Network, now_ns
from ochrecourse.webdav import bodies
from ochrecourse.webdav.locks import Locks
from ochrecourse.webdav.mapping import NoProduct, ProductRule, VolumeRule, job_of
from ochrecourse.webdav.namespace import Content, Entry, Namespace, Refused, Staged
from ochrecourse.webdav.methods import XML, Asked, Methods, Reply
from ochrecourse.webdav.resends import Resends, Same, What

PIECE = 1 << 20  # bytes of a body read at once for its digest
IDLE = 60  # s that a connection may be quiet between requests
MEMBERS = 200  # responses of a PROPFIND made in one go; the rest waits for the transport


class PutBody:
    """A request's body, already received by the channel (in a file if it is large), as a leg reads it.

    It is taken over from the request, which would close it with its connection while a leg still reads.
    """

    def __init__(self, request: Dav) -> None:
        self.content, request.content = request.content, io.BytesIO()
        self.size = self.content.seek(0, io.SEEK_END)

    def read(self, at: int, most: int) -> bytes:
        self.content.seek(at)
        data: bytes = self.content.read(most)
        return data

    def digest(self) -> str:
        told = hashlib.sha256()
        for at in range(0, self.size, PIECE):
            told.update(self.read(at, PIECE))
        return told.hexdigest()

    def close(self) -> None:
        self.content.close()


@implementer(IPushProducer)
class Dav(Request):
    """One request."""

    door: Door
    content: Any  # the body, whole, in memory or a file
    job: int | None = None
    number = 0
    blocked = False
    began = False
    owed = 0
    left = 0
    skip = 0
    staged: Staged | None = None
    size = 0  # of a body that is written
    kind = ""
    members: Iterator[str] | None = None

    def process(self) -> None:
        self.door = self.channel.factory.door
        self.door.count += 1
        self.number = self.door.count
        self.notifyFinish().addErrback(self._client_left)
        method = self.method.decode("latin-1")
        every = self.requestHeaders.getAllRawHeaders()
        headers = {name.decode("latin-1").lower(): b", ".join(said).decode("latin-1") for name, said in every}
        body = b"" if method in ("GET", "HEAD", "PUT") else self.content.read(bodies.LONGEST + 1)
        asked = Asked(method, self.uri.decode("latin-1"), headers, body)
        now = now_ns(self.door.network)
        methods = self.door.methods
        try:
            entry, tokens = methods.begin(asked, now)
            if method in ("GET", "HEAD"):
                self._get(asked, entry)
            elif method == "PUT":
                methods.may_put(asked, entry, tokens, now)
                self._put(asked, now)
            elif method == "PROPFIND":
                self._propfind(asked, entry, now)
            else:
                raise methods.do(asked, entry, tokens, now)
        except Reply as reply:
            self.answer(reply.status, reply.body, reply.headers)

    # --- methods that are jobs ---

    def _get(self, asked: Asked, entry: Entry | None) -> None:
        found, sent, headers = self.door.methods.slice_of(asked, entry)
        for name, value in headers.items():
            self.setHeader(name, value)
        self.setResponseCode(sent.status)
        self.skip, self.left = sent.first, sent.length
        if self.method == b"HEAD" or found.content is None or not found.content.size:
            self.finish()
            return
        self._ask(asked, found.content.size, found.content.key, found.content.shard, None)

    def _put(self, asked: Asked, now: int) -> None:
        body = PutBody(self)
        self.kind = asked.said("content-type") or "application/octet-stream"
        mark = asked.said("idempotency-key")
        same = Same("PUT", asked.path, asked.said("authorization"), mark, "" if mark else body.digest())
        what, status = self.door.resends.came(same, self.number, now)
        if what is What.DENIED:
            raise Reply(503, "another write to it is under way", {"Retry-After": "1"})
        if what is What.AGAIN:
            raise Reply(status)
        if what is What.JOINS:
            self.door.waiting[self.number] = self
            return
        try:
            self.staged, self.size = self.door.tree.stage(asked.path), body.size
            self._ask(asked, body.size, self.door.key_of(self.staged), -1, body)
        except (Refused, Reply) as trouble:
            self.staged = None
            self.door.over(self.number, trouble.status)
            raise trouble if isinstance(trouble, Reply) else Reply(trouble.status, str(trouble)) from None

    def _ask(self, asked: Asked, size: int, key: int, shard: int, body: PutBody | None) -> None:
        """Asks the gateway for the job of this request. Raises Reply."""
        door, now = self.door, now_ns(self.door.network)
        try:
            tables = (door.products, door.volumes, door.unit, door.most_units)
            job = job_of(asked.method, asked.path, size, asked.headers, *tables)
        except NoProduct as trouble:
            raise Reply(403, str(trouble)) from None
        request = g.Request(
            product=job.product,
            plan=job.plan,
            volume=job.volume,
            timeout=round(job.timeout * SECOND),
            read_at=now,
            key=key,
            units=job.units,
            shard=shard,
            gateways=job.gateways,
            trace=f"http-{self.number}",
            body=body if size else None,
        )
        self.job = door.gateway.next_number()
        if body is None:
            self.registerProducer(self, True)
        try:
            door.gateway.take(request, self)
        except g.BadRequest as trouble:
            raise Reply(403, str(trouble)) from None

    # --- the job's answer (gateway.Asker) ---

    def fulfilled(self, job: int, size: int, shard: int) -> None:
        if self.staged is None:
            self.began = True
            return
        staged, self.staged, self.job = self.staged, None, None
        content = Content(self.door.key_of(staged), shard, self.size, "", self.kind)
        try:
            entry, made = self.door.tree.publish(staged, content, now_ns(self.door.network))
        except Refused as trouble:
            self.door.over(self.number, trouble.status)
            self.answer(trouble.status, str(trouble))
            return
        status = 201 if made else 204
        self.door.over(self.number, status)
        self.answer(status, "", {"ETag": entry.tag})

    def piece(self, job: int, data: bytes) -> None:
        size = len(data)
        if self.skip:
            skipped = min(self.skip, size)
            self.skip -= skipped
            data = data[skipped:]
        data = data[: self.left]
        self.left -= len(data)
        if data and not self._disconnected:
            self.write(data)
        if self.blocked:
            self.owed += size
        else:
            self.door.gateway.room(job, size)
        if not self.left and not self.finished and not self._disconnected:
            self.job = None
            self.unregisterProducer()
            self.finish()

    def broke_off(self, job: int) -> None:
        self.job = None
        if not self.finished and not self._disconnected:
            self.channel.loseConnection()  # the length that was told is not reached: the client can tell

    def denied(self, job: int, come_back: int) -> None:
        self._ended(503, "turned away; trying again is harmless", come_back)

    def written_off(self, job: int) -> None:
        self._ended(504, "not served in time; whether it had an effect is not known", 0)

    def _ended(self, status: int, text: str, come_back: int) -> None:
        self.job, self.staged = None, None
        self.door.over(self.number, status)
        for name in ("Content-Length", "Content-Range", "ETag", "Last-Modified"):
            self.responseHeaders.removeHeader(name)
        after = {"Retry-After": str(max(1, -(-come_back // SECOND)))} if status == 503 else {}
        self.answer(status, text, after)

    def _client_left(self, why: Any) -> None:
        self.door.waiting.pop(self.number, None)
        keep = self.staged is not None  # a write goes on: the resend that comes must not stand beside it
        self.door.resends.left(self.number)
        if self.job is not None and not keep:
            job, self.job = self.job, None
            self.door.gateway.leave(job)

    def pauseProducing(self) -> None:
        self.blocked = True

    def resumeProducing(self) -> None:
        self.blocked = False
        owed, self.owed = self.owed, 0
        if owed and self.job is not None:
            self.door.gateway.room(self.job, owed)
        if self.members is not None:
            self._send_members()

    def stopProducing(self) -> None:
        self.blocked = True

    # --- a listing, piece by piece ---

    def _propfind(self, asked: Asked, entry: Entry | None, now: int) -> None:
        self.members = self.door.methods.listing(asked, entry, now)
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
        self.finish()

    # --- the answer ---

    def answer(self, status: int, body: str = "", headers: dict[str, str] | None = None) -> None:
        """The request's one response."""
        if self.finished or self._disconnected:
            return
        if self.producer is not None:
            self.unregisterProducer()
        self.setResponseCode(status)
        for name, value in (headers or {}).items():
            if value:
                self.setHeader(name, value)
        if status not in (204, 304):
            data = body.encode()
            self.setHeader("Content-Length", str(len(data)))
            if body and not self.responseHeaders.hasHeader("Content-Type"):
                self.setHeader("Content-Type", "text/plain; charset=utf-8")
            if data and self.method != b"HEAD":
                self.write(data)
        self.finish()


class Channel(HTTPChannel):
    requestFactory = Dav


class Door(HTTPFactory):
    """The door of one gateway: its tree, its locks, and the tables by which requests become jobs.

    `number` of the gateway keeps the keys of its objects apart from those of others; `epoch`: s since 1970 at
    the clock's zero, for dates only; `new_token` gives unguessable lock tokens.
    """

    noisy = False
    protocol = Channel  # type: ignore[assignment]

    def __init__(
        self,
        gateway: g.Gateway,
        network: Network,
        products: list[ProductRule],
        volumes: list[VolumeRule],
        unit: int,
        most_units: float,
        number: int,
        epoch: int,
        new_token: Callable[[], str],
    ) -> None:
        super().__init__(timeout=IDLE, reactor=network)  # type: ignore[arg-type]
        self.door = self
        self.gateway = gateway
        self.network = network
        self.products = products
        self.volumes = volumes
        self.unit = unit
        self.most_units = most_units
        self.number = number
        self.tree = Namespace(now_ns(network))
        self.methods = Methods(self.tree, Locks(new_token), epoch)
        self.resends = Resends()
        self.waiting: dict[int, Dav] = {}
        self.count = 0

    def log(self, request: Any) -> None:
        """The gateway writes the lines of jobs; an access line of its own comes with the rest of the door."""

    def key_of(self, staged: Staged) -> int:
        """The key under which nodes hold a version: never the same for two of them, nor for two gateways."""
        return (self.number + 1 << 40) + staged.key

    def over(self, number: int, status: int) -> None:
        """A write has its answer: those that joined it get the same."""
        for other in self.resends.over(number, status, now_ns(self.network)):
            waiting = self.waiting.pop(other, None)
            if waiting is not None:
                waiting.answer(status, "", {"Retry-After": "1"} if status == 503 else {})
