"""The WebDAV door on Twisted's HTTP channel: requests in, jobs to the gateway, answers out.

What is right is decided in the modules beside it; this one reads headers and bodies, asks them, and writes. A
GET or PUT becomes one job, and its answer one response: fulfilled 200, 201 or 204; denied 503 with
Retry-After; written off 504. An answer that breaks off after its head was sent is cut, so that the client can
tell.
"""

from __future__ import annotations

import hashlib
import io
import time
from collections.abc import Callable, Iterator
from email.utils import formatdate
from typing import Any

from twisted.internet.interfaces import IPushProducer
from twisted.web.http import HTTPChannel, HTTPFactory, Request
from zope.interface import implementer

from ochrecourse.gateway import gateway as g
from ochrecourse.outside import SECOND, Network, now_ns
from ochrecourse.webdav import bodies, conditions
from ochrecourse.webdav.locks import Conflict, Locks, TooMany
from ochrecourse.webdav.mapping import NoProduct, ProductRule, VolumeRule, job_of
from ochrecourse.webdav.namespace import Content, Entry, Namespace, Refused, Staged
from ochrecourse.webdav.paths import BadPath, Path, destination, parse
from ochrecourse.webdav.resends import Resends, Same, What

METHODS = "OPTIONS, GET, HEAD, PUT, DELETE, MKCOL, COPY, MOVE, PROPFIND, PROPPATCH, LOCK, UNLOCK"
PIECE = 1 << 20  # bytes of a body read at once for its digest
IDLE = 60  # s that a connection may be quiet between requests
XML = {"Content-Type": 'application/xml; charset="utf-8"'}
MEMBERS = 200  # responses of a PROPFIND made in one go; the rest waits for the transport


class Stop(Exception):
    """A request that ends here with a status and perhaps a body."""

    def __init__(self, status: int, body: str = "", **headers: str) -> None:
        super().__init__(status)
        self.status = status
        self.body = body
        self.headers = headers


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
    members: Iterator[str] | None = None

    def process(self) -> None:
        self.door = self.channel.factory.door
        self.door.count += 1
        self.number = self.door.count
        self.notifyFinish().addErrback(self._client_left)
        try:
            self._process()
        except Stop as stop:
            self.answer(stop.status, stop.body, stop.headers)
        except (BadPath, Refused) as trouble:
            self.answer(trouble.status, str(trouble))
        except (conditions.BadCondition, bodies.BadBody) as trouble:
            self.answer(400, str(trouble))
        except Conflict as trouble:
            self.answer(
                423, bodies.error("lock-token-submitted", trouble.roots), {"Content-Type": "application/xml"}
            )
        except TooMany as trouble:
            self.answer(507, str(trouble))

    # --- what a request says ---

    def said(self, name: str) -> str:
        return (self.getHeader(name) or "") if self.requestHeaders.hasHeader(name) else ""

    def _headers(self) -> dict[str, str]:
        every = self.requestHeaders.getAllRawHeaders()
        return {
            name.decode("latin-1").lower(): b", ".join(values).decode("latin-1") for name, values in every
        }

    def _depth(self, default: str) -> str:
        depth = self.said("depth").strip().lower() or default
        if depth not in ("0", "1", "infinity"):
            raise Stop(400, "Depth is 0, 1 or infinity")
        return depth

    def _target(self) -> Path:
        target = destination(self.said("destination"), self.said("host"))
        return target.path

    def _process(self) -> None:
        method = self.method.decode("latin-1")
        if method not in METHODS.split(", "):
            raise Stop(501, "no such method here")
        uri = self.uri.decode("latin-1")
        if method == "OPTIONS":
            raise Stop(200, DAV="1, 2, 3", Allow=METHODS)
        path = parse(uri).path
        now = now_ns(self.door.network)
        for lock in self.door.locks.expire(now):
            self.door.lock_ended(lock.root)
        entry = self.door.tree.find(path)
        tokens = self._conditions(path, entry, method)
        getattr(self, f"_{method.lower()}")(path, entry, tokens, now)

    def _conditions(self, path: Path, entry: Entry | None, method: str) -> frozenset[str]:
        """Evaluates all conditions; returns the lock tokens that are submitted."""
        headers, door = self._headers(), self.door
        tokens: frozenset[str] = frozenset()
        if "if" in headers:
            lists = conditions.parse_if(headers["if"], self.said("host"))

            def tag_of(where: Path) -> str | None:
                found = door.tree.find(where)
                return found.tag if found else None

            def tokens_of(where: Path) -> frozenset[str]:
                return frozenset(lock.token for lock in door.locks.covering(where))

            if not conditions.if_holds(lists, path, tag_of, tokens_of):
                raise Stop(412)
            tokens = conditions.submitted(lists)
        there = entry is not None and not entry.empty
        modified = entry.modified // SECOND if entry else 0
        resource = conditions.Resource(entry.tag if entry and there else None, modified + self.door.epoch)
        status = conditions.evaluate(headers, resource, method in ("GET", "HEAD"))
        if status is not None:
            raise Stop(status, ETag=resource.tag or "")
        return tokens

    def _write(self, path: Path, tokens: frozenset[str], now: int, members: bool = False) -> None:
        """Raises Conflict if a lock is in the way; adding or removing a member also asks for its
        collection's.
        """
        self.door.locks.check_write(path, tokens, self.said("authorization"), now, members)

    def _write_member(self, path: Path, tokens: frozenset[str], now: int, members: bool = False) -> None:
        self._write(path, tokens, now, members)
        if path:
            self._write(path[:-1], tokens, now)

    # --- methods that are jobs ---

    def _get(self, path: Path, entry: Entry | None, tokens: frozenset[str], now: int) -> None:
        if entry is None:
            raise Stop(404)
        if entry.is_collection():
            raise Stop(405, "a collection has no body; PROPFIND lists it", Allow=METHODS)
        size = entry.content.size if entry.content else 0
        self.setHeader("ETag", entry.tag)
        self.setHeader("Accept-Ranges", "bytes")
        self.setHeader("Content-Type", entry.content.kind if entry.content else "application/octet-stream")
        self.setHeader("Last-Modified", formatdate(entry.modified / SECOND + self.door.epoch, usegmt=True))
        first, self.left, status = 0, size, 200
        resource = conditions.Resource(entry.tag, entry.modified // SECOND + self.door.epoch)
        if conditions.range_applies(self._headers(), resource):
            slices = conditions.ranges_of(self.said("range"), size)
            if slices == []:
                raise Stop(416, **{"Content-Range": f"bytes */{size}"})
            if slices is not None and len(slices) == 1:  # several ranges: the whole is sent, as 14.2 allows
                first, self.left, status = slices[0].first, slices[0].last - slices[0].first + 1, 206
                self.setHeader("Content-Range", f"bytes {first}-{slices[0].last}/{size}")
        self.skip = first
        self.setResponseCode(status)
        self.setHeader("Content-Length", str(self.left))
        if self.method == b"HEAD" or entry.content is None or not size:
            self.finish()
            return
        self._ask("GET", path, size, entry.content.key, entry.content.shard, None)

    _head = _get

    def _put(self, path: Path, entry: Entry | None, tokens: frozenset[str], now: int) -> None:
        if self.said("content-range"):
            raise Stop(400, "a PUT of a part is not taken")
        self._write_member(path, tokens, now) if entry is None else self._write(path, tokens, now)
        body = PutBody(self)
        mark = self.said("idempotency-key")
        same = Same("PUT", path, self.said("authorization"), mark, "" if mark else body.digest())
        what, status = self.door.resends.came(same, self.number, now)
        if what is What.DENIED:
            raise Stop(503, "another write to it is under way", **{"Retry-After": "1"})
        if what is What.AGAIN:
            raise Stop(status)
        if what is What.JOINS:
            self.door.waiting[self.number] = self
            return
        try:
            self.staged, self.size = self.door.tree.stage(path), body.size
            self._ask("PUT", path, body.size, self.door.key_of(self.staged), -1, body)
        except (Refused, Stop) as trouble:
            self.door.over(self.number, trouble.status)
            raise

    def _ask(self, method: str, path: Path, size: int, key: int, shard: int, body: PutBody | None) -> None:
        """Asks the gateway for the job of this request."""
        door, now = self.door, now_ns(self.door.network)
        try:
            asked = job_of(
                method, path, size, self._headers(), door.products, door.volumes, door.unit, door.most_units
            )
        except NoProduct as trouble:
            raise Stop(403, str(trouble)) from None
        request = g.Request(
            product=asked.product,
            plan=asked.plan,
            volume=asked.volume,
            timeout=round(asked.timeout * SECOND),
            read_at=now,
            key=key,
            units=asked.units,
            shard=shard,
            gateways=asked.gateways,
            trace=f"http-{self.number}",
            body=body if size else None,
        )
        self.job = door.gateway.next_number()
        if method == "GET":
            self.registerProducer(self, True)
        try:
            door.gateway.take(request, self)
        except g.BadRequest as trouble:
            raise Stop(403, str(trouble)) from None

    # --- the job's answer (gateway.Asker) ---

    def fulfilled(self, job: int, size: int, shard: int) -> None:
        if self.staged is None:
            self.began = True
            return
        staged, self.staged, self.job = self.staged, None, None
        kind = self.said("content-type") or "application/octet-stream"
        content = Content(self.door.key_of(staged), shard, self.size, "", kind)
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

    # --- methods on names ---

    def _delete(self, path: Path, entry: Entry | None, tokens: frozenset[str], now: int) -> None:
        if entry is None:
            raise Stop(404)
        self._write_member(path, tokens, now, members=True)
        self.door.tree.delete(path)
        self.door.locks.forget_tree(path)
        raise Stop(204)

    def _mkcol(self, path: Path, entry: Entry | None, tokens: frozenset[str], now: int) -> None:
        if self.content.read(1):
            raise Stop(415, "a MKCOL has no body here")
        self._write_member(path, tokens, now)
        self.door.tree.make_collection(path, now)
        raise Stop(201)

    def _copy(self, path: Path, entry: Entry | None, tokens: frozenset[str], now: int) -> None:
        depth = self._depth("infinity")
        if depth == "1":
            raise Stop(400, "a COPY has depth 0 or infinity")
        self._copy_or_move(
            path, tokens, now, lambda t, o: self.door.tree.copy(path, t, depth != "0", o, now)[0]
        )

    def _move(self, path: Path, entry: Entry | None, tokens: frozenset[str], now: int) -> None:
        if self._depth("infinity") != "infinity":
            raise Stop(400, "a MOVE has depth infinity")
        self._write_member(path, tokens, now, members=True)
        self._copy_or_move(path, tokens, now, lambda to, over: self.door.tree.move(path, to, over)[0])

    def _copy_or_move(
        self, path: Path, tokens: frozenset[str], now: int, do: Callable[[Path, bool], bool]
    ) -> None:
        target, said = self._target(), self.said("overwrite").strip().upper() or "T"
        if said not in ("T", "F"):
            raise Stop(400, "Overwrite is T or F")
        self._write_member(target, tokens, now, members=True)
        made = do(target, said == "T")
        if self.method == b"MOVE":
            self.door.locks.forget_tree(path)
        raise Stop(201 if made else 204)

    def _propfind(self, path: Path, entry: Entry | None, tokens: frozenset[str], now: int) -> None:
        if entry is None:
            raise Stop(404)
        depth = self._depth("infinity")
        if depth == "infinity":
            raise Stop(403, bodies.error("propfind-finite-depth"), **XML)
        asked = bodies.find_of(self.content.read())
        self.setResponseCode(207)
        self.setHeader("Content-Type", XML["Content-Type"])
        self.members = self._responses(path, int(depth), asked, now)
        self.write(bodies.HEAD.encode())
        self.registerProducer(self, True)
        self._send_members()

    def _responses(self, path: Path, depth: int, asked: bodies.Find, now: int) -> Iterator[str]:
        for at, entry in self.door.tree.walk(path, depth):
            locks = self.door.locks.covering(at)
            made = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(entry.created / SECOND + self.door.epoch))
            changed = formatdate(entry.modified / SECOND + self.door.epoch, usegmt=True)
            yield bodies.response(at, entry, asked, bodies.live(entry, locks, now, (made, changed)))

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

    def _proppatch(self, path: Path, entry: Entry | None, tokens: frozenset[str], now: int) -> None:
        if entry is None:
            raise Stop(404)
        self._write(path, tokens, now)
        patch = bodies.patch_of(self.content.read())
        names = [*patch.sets, *patch.removes]
        status = "200 OK"
        if any(name.startswith(bodies.DAV) for name in names):
            status = "403 Forbidden"  # live properties are not the client's to set, and it is all or nothing
        else:
            self.door.tree.patch(path, patch.sets, patch.removes)
        body = bodies.patched(path, entry, names, status)
        raise Stop(207, body, **XML)

    def _lock(self, path: Path, entry: Entry | None, tokens: frozenset[str], now: int) -> None:
        door, timeout, made = self.door, self._timeout(), False
        body = self.content.read()
        if not body.strip():
            lock = door.locks.refresh(next(iter(tokens), ""), path, timeout, now)
            if lock is None:
                raise Stop(412, "no such lock to refresh")
        else:
            asked, depth = bodies.lock_of(body), self._depth("infinity")
            if depth == "1":
                raise Stop(400, "a LOCK has depth 0 or infinity")
            if entry is None:
                self._write(path[:-1], tokens, now)
            who = self.said("authorization")
            lock = door.locks.take(path, asked.exclusive, depth == "infinity", asked.owner, who, timeout, now)
            if entry is None:
                try:
                    door.tree.make_empty(path, now)
                except Refused:
                    door.locks.release(lock.token, path, who, now)
                    raise
                made = True
            self.setHeader("Lock-Token", f"<{lock.token}>")
        raise Stop(201 if made else 200, bodies.locked(lock, now), **XML)

    def _timeout(self) -> int:
        """The first of the Timeout header that is understood (10.7)."""
        for part in self.said("timeout").split(","):
            word = part.strip().lower()
            if word.startswith("second-") and word[7:].isdigit():
                return min(int(word[7:]), 10**6) * SECOND
        return 600 * SECOND

    def _unlock(self, path: Path, entry: Entry | None, tokens: frozenset[str], now: int) -> None:
        token = self.said("lock-token").strip()
        if not (token.startswith("<") and token.endswith(">")):
            raise Stop(400, "Lock-Token is <TOKEN>")
        done = self.door.locks.release(token[1:-1], path, self.said("authorization"), now)
        if done is None:
            raise Stop(
                409, bodies.error("lock-token-matches-request-uri"), **{"Content-Type": "application/xml"}
            )
        if not done:
            raise Stop(403, "another holds it")
        raise Stop(204)

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
        self.epoch = epoch
        self.tree = Namespace(now_ns(network))
        self.locks = Locks(new_token)
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

    def lock_ended(self, root: Path) -> None:
        """The empty resource that a lock made goes with it (RFC 4918 7.3 lets it stay; nobody wants it)."""
        entry = self.tree.find(root)
        if entry is not None and entry.empty and not self.locks.covering(root):
            self.tree.delete(root)
