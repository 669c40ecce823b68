"""What each method does to names, properties and locks, and the reply that is due. Free of I/O and clocks.

The door reads a request into an `Asked` and writes the `Reply`; GET and PUT go on from here to a job. RFC
4918 section 9, with the conditions of RFC 9110 section 13 and of `If` evaluated before anything is changed.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from email.utils import formatdate
from functools import lru_cache
from itertools import islice
from typing import NamedTuple, TypeVar

from ochrecourse.common.time_units import SECOND
from ochrecourse.webdav import bodies, conditions
from ochrecourse.webdav.kept import Kept
from ochrecourse.webdav.locks import Conflict, TooMany
from ochrecourse.webdav.namespace import Changed, Entry, Namespace, Refused
from ochrecourse.webdav.paths import BadPath, Path, destination, parse

METHODS = "OPTIONS, GET, HEAD, PUT, DELETE, MKCOL, COPY, MOVE, PROPFIND, PROPPATCH, LOCK, UNLOCK, REPORT"
XML = {"Content-Type": 'application/xml; charset="utf-8"'}
USUAL_LOCK = 600 * SECOND  # ns that a lock lasts if its client names no time; long enough for one sitting
REPORTS = "<D:supported-report><D:report><D:sync-collection/></D:report></D:supported-report>"
T = TypeVar("T")
MONTHS = "JanFebMarAprMayJunJulAugSepOctNovDec"
LONGEST_NAMED = 10**6  # s of a Timeout header that are read as a number


@dataclass(slots=True)
class Asked:
    """A request: headers by lower-case name, the body for methods that read it whole."""

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes = b""
    path: Path = ()

    def said(self, name: str) -> str:
        return self.headers.get(name, "")


@dataclass(slots=True)
class Reply(Exception):
    """A response without a job: raised where a request ends early, returned where it ends well."""

    status: int
    body: str = ""
    headers: dict[str, str] = field(default_factory=dict)


class Part(NamedTuple):
    """Bytes of the object from `first` to `last`, both included, and what is sent before them."""

    first: int
    last: int
    head: bytes


class Sent(NamedTuple):
    """What a GET sends: its status, parts of the object in order, and what comes after them."""

    status: int
    parts: tuple[Part, ...]
    tail: bytes


class Quota(NamedTuple):
    """Bytes that the volumes may hold, by first segment; one that is not named has no limit."""

    limits: Mapping[str, int]

    def left(self, tree: Namespace, path: Path) -> int | None:
        limit = self.limits.get(path[0]) if path else None
        return None if limit is None else max(0, limit - tree.used[path[0]])


class Methods:
    """The methods over one tree and its locks, which change only through `kept`."""

    def __init__(self, kept: Kept, quota: Quota = Quota({})) -> None:  # noqa: B008
        self.kept = kept
        self.tree = kept.tree
        self.locks = kept.locks
        self.epoch = kept.epoch
        self.quota = quota
        self.table: dict[str, Callable[[Asked, Entry | None, frozenset[str], int], Reply]] = {
            "DELETE": self._delete,
            "MKCOL": self._mkcol,
            "COPY": self._copy,
            "MOVE": self._move,
            "PROPPATCH": self._proppatch,
            "LOCK": self._lock,
            "UNLOCK": self._unlock,
        }

    def begin(self, asked: Asked, now: int) -> tuple[Entry | None, frozenset[str]]:
        """Reads the path and evaluates all conditions: the resource, and the lock tokens submitted. Raises
        Reply.
        """
        if asked.method not in METHODS.split(", "):
            raise Reply(501, "no such method here")
        if asked.method == "OPTIONS":
            raise Reply(200, "", {"DAV": "1, 2, 3", "Allow": METHODS})
        asked.path = _told(lambda: parse(asked.target).path)
        self.kept.expire(now)
        entry = self.tree.find(asked.path)
        return entry, _told(lambda: self._conditions(asked, entry))

    def do(self, asked: Asked, entry: Entry | None, tokens: frozenset[str], now: int) -> Reply:
        """Carries out a method of the table. Raises Reply if it can't be done; then nothing changed."""
        return _told(lambda: self.table[asked.method](asked, entry, tokens, now))

    # --- what GET, PUT and PROPFIND ask before they go on ---

    def may_put(self, asked: Asked, entry: Entry | None, tokens: frozenset[str], size: int, now: int) -> None:
        """Raises Reply unless a PUT of so many bytes (below 0: not known yet) may begin."""
        if asked.said("content-range"):
            raise Reply(400, "a PUT of a part is not taken")
        if asked.path and size > 0:
            old = entry.content.size if entry is not None and entry.content is not None else 0
            left = self.quota.left(self.tree, asked.path)
            if left is not None and size - old > left:
                raise Reply(507, bodies.error("quota-not-exceeded"), XML)
        if entry is None:
            _told(lambda: self._write_member(asked, asked.path, tokens, now))
        else:
            _told(lambda: self._write(asked, asked.path, tokens, now))

    def slice_of(self, asked: Asked, entry: Entry | None) -> tuple[Entry, Sent, dict[str, str]]:
        """What a GET or HEAD sends, and its headers. Raises Reply."""
        if entry is None:
            raise Reply(404)
        if entry.is_collection():
            raise Reply(405, "a collection has no body; PROPFIND lists it", {"Allow": METHODS})
        size = entry.content.size if entry.content else 0
        headers = {
            "ETag": entry.tag,
            "Accept-Ranges": "bytes",
            "Content-Type": entry.content.kind if entry.content else "application/octet-stream",
            "Last-Modified": _http_date(entry.modified // SECOND + self.epoch),
        }
        slices = None
        if conditions.range_applies(asked.headers, self._resource(entry)):
            slices = conditions.ranges_of(asked.said("range"), size)
        if slices == []:
            raise Reply(416, "", {"Content-Range": f"bytes */{size}"})
        if not slices:
            sent = Sent(200, (Part(0, size - 1, b""),) if size else (), b"")
        elif len(slices) == 1:
            first, last = slices[0]
            sent = Sent(206, (Part(first, last, b""),), b"")
            headers["Content-Range"] = f"bytes {first}-{last}/{size}"
        else:
            sent = self._several(slices, size, headers)
        length = sum(part.last - part.first + 1 + len(part.head) for part in sent.parts) + len(sent.tail)
        headers["Content-Length"] = str(length)
        return entry, sent, headers

    def _several(self, slices: list[conditions.Slice], size: int, headers: dict[str, str]) -> Sent:
        """Several ranges as multipart/byteranges (RFC 9110 14.6). The boundary is the entity tag, which no
        other version has, with more to keep it from standing in ordinary text.
        """
        boundary = f"ochrecourse-{headers['ETag'].strip(chr(34))}-{size:x}"
        kind = headers["Content-Type"]
        headers["Content-Type"] = f"multipart/byteranges; boundary={boundary}"
        parts = tuple(
            Part(
                first,
                last,
                (
                    f"\r\n--{boundary}\r\nContent-Type: {kind}\r\n"
                    f"Content-Range: bytes {first}-{last}/{size}\r\n\r\n"
                ).encode(),
            )
            for first, last in slices
        )
        return Sent(206, parts, f"\r\n--{boundary}--\r\n".encode())

    def listing(self, asked: Asked, entry: Entry | None, now: int) -> Iterator[str]:
        """The responses of a PROPFIND (9.1), made as they are taken. Raises Reply."""
        if entry is None:
            raise Reply(404)
        depth = self._depth(asked, "infinity")
        if depth == "infinity":
            raise Reply(403, bodies.error("propfind-finite-depth"), XML)
        return self._responses(asked.path, int(depth), _told(lambda: bodies.find_of(asked.body)), now)

    def report(self, asked: Asked, entry: Entry | None, now: int) -> Iterator[str]:
        """The responses of a sync-collection (RFC 6578 3), its token last. Raises Reply."""
        if entry is None:
            raise Reply(404)
        wanted = _told(lambda: bodies.sync_of(asked.body))
        if self._depth(asked, "0") != "0":
            raise Reply(400, "a sync-collection has depth 0")
        if not entry.is_collection():
            raise Reply(403, bodies.error("supported-report"), XML)
        find = bodies.Find(False, False, wanted.names)
        if not wanted.token:
            deep = -1 if wanted.infinite else 1
            if sum(1 for _ in islice(self.tree.walk(asked.path, deep), wanted.most + 2)) > wanted.most + 1:
                # A first listing has no order of changes to cut it by: it is told whole or not at all.
                raise Reply(507, bodies.error("number-of-matches-within-limits"), XML)
            return self._first_sync(asked.path, find, deep, now)
        head, _, version = wanted.token.rpartition("/")
        changed = None
        if head == self._sync_head(asked.path) and version.isascii() and version.isdigit():
            changed = self.tree.changed_since(int(version), asked.path, wanted.infinite, wanted.most)
        if changed is None:
            raise Reply(403, bodies.error("valid-sync-token"), XML)
        return self._changes(asked.path, find, changed, now)

    def _sync_head(self, path: Path) -> str:
        """Tokens are of one collection in one life of the tree (its root's creation)."""
        return f"urn:ochrecourse:sync:{self.tree.root.created:x}:{zlib.crc32(repr(path).encode()):x}"

    def _token(self, path: Path, version: int) -> str:
        return f"{self._sync_head(path)}/{version}"

    def _first_sync(self, path: Path, find: bodies.Find, deep: int, now: int) -> Iterator[str]:
        upto = self.tree.version
        for at, entry in self.tree.walk(path, deep):
            if at != path:
                yield self._response(at, entry, find, now)
        yield f"<D:sync-token>{self._token(path, upto)}</D:sync-token>\n"

    def _changes(self, path: Path, find: bodies.Find, changed: Changed, now: int) -> Iterator[str]:
        for at in changed.paths:
            entry = self.tree.find(at)
            yield bodies.gone(at) if entry is None else self._response(at, entry, find, now)
        if changed.cut:
            yield bodies.cut_short(path)
        yield f"<D:sync-token>{self._token(path, changed.upto)}</D:sync-token>\n"

    def _named(self, path: Path, entry: Entry) -> dict[str, str]:
        """Properties told only to those who name them: quota (RFC 4331), sync-token, reports (RFC 6578)."""
        if not entry.is_collection():
            return {}
        told = {
            "quota-used-bytes": str(self.tree.used[path[0]] if path else sum(self.tree.used.values())),
            "sync-token": self._token(path, self.tree.version),
            "supported-report-set": REPORTS,
        }
        left = self.quota.left(self.tree, path)
        return told if left is None else {**told, "quota-available-bytes": str(left)}

    def _response(self, at: Path, entry: Entry, wanted: bodies.Find, now: int) -> str:
        made = _internet_date(entry.created // SECOND + self.epoch)
        changed = _http_date(entry.modified // SECOND + self.epoch)
        known = bodies.live(entry, self.locks.covering(at), now, (made, changed))
        return bodies.response(
            at, entry, wanted, known, self._named(at, entry) if wanted.names else bodies.NONE
        )

    def _responses(self, path: Path, depth: int, wanted: bodies.Find, now: int) -> Iterator[str]:
        for at, entry in self.tree.walk(path, depth):
            yield self._response(at, entry, wanted, now)

    # --- headers ---

    def _depth(self, asked: Asked, default: str) -> str:
        depth = asked.said("depth").strip().lower() or default
        if depth not in ("0", "1", "infinity"):
            raise Reply(400, "Depth is 0, 1 or infinity")
        return depth

    def _resource(self, entry: Entry | None) -> conditions.Resource:
        if entry is None or entry.empty:
            return conditions.Resource(None)
        return conditions.Resource(entry.tag, entry.modified // SECOND + self.epoch)

    def _conditions(self, asked: Asked, entry: Entry | None) -> frozenset[str]:
        tokens: frozenset[str] = frozenset()
        if "if" in asked.headers:
            lists = conditions.parse_if(asked.headers["if"], asked.said("host"))
            if not conditions.if_holds(lists, asked.path, self._tag_of, self._tokens_of):
                raise Reply(412)
            tokens = conditions.submitted(lists)
        resource = self._resource(entry)
        status = conditions.evaluate(asked.headers, resource, asked.method in ("GET", "HEAD"))
        if status is not None:
            raise Reply(status, "", {"ETag": resource.tag} if resource.tag else {})
        return tokens

    def _tag_of(self, path: Path) -> str | None:
        found = self.tree.find(path)
        return found.tag if found else None

    def _tokens_of(self, path: Path) -> frozenset[str]:
        return frozenset(lock.token for lock in self.locks.covering(path))

    def _timeout(self, asked: Asked) -> int:
        """The first of the Timeout header that is understood (10.7)."""
        for part in asked.said("timeout").split(","):
            word = part.strip().lower()
            if word.startswith("second-") and word[7:].isdigit():
                return min(int(word[7:]), LONGEST_NAMED) * SECOND
        return USUAL_LOCK

    def _write(
        self, asked: Asked, path: Path, tokens: frozenset[str], now: int, members: bool = False
    ) -> None:
        self.locks.check_write(path, tokens, asked.said("authorization"), now, members)

    def _write_member(
        self, asked: Asked, path: Path, tokens: frozenset[str], now: int, members: bool = False
    ) -> None:
        """Adding or removing a member also asks for the lock of its collection (7.4)."""
        self._write(asked, path, tokens, now, members)
        if path:
            self._write(asked, path[:-1], tokens, now)

    # --- the table ---

    def _delete(self, asked: Asked, entry: Entry | None, tokens: frozenset[str], now: int) -> Reply:
        if entry is None:
            raise Reply(404)
        self._write_member(asked, asked.path, tokens, now, members=True)
        self.kept.delete(asked.path)
        return Reply(204)

    def _mkcol(self, asked: Asked, entry: Entry | None, tokens: frozenset[str], now: int) -> Reply:
        if asked.body:
            raise Reply(415, "a MKCOL has no body here")
        self._write_member(asked, asked.path, tokens, now)
        self.kept.make_collection(asked.path, now)
        return Reply(201)

    def _copy(self, asked: Asked, entry: Entry | None, tokens: frozenset[str], now: int) -> Reply:
        depth = self._depth(asked, "infinity")
        if depth == "1":
            raise Reply(400, "a COPY has depth 0 or infinity")
        target, overwrite = self._target(asked, tokens, now)
        self._fits(entry, target)
        made = self.kept.copy(asked.path, target, depth != "0", overwrite, now)
        return Reply(201 if made else 204)

    def _move(self, asked: Asked, entry: Entry | None, tokens: frozenset[str], now: int) -> Reply:
        if self._depth(asked, "infinity") != "infinity":
            raise Reply(400, "a MOVE has depth infinity")
        self._write_member(asked, asked.path, tokens, now, members=True)
        target, overwrite = self._target(asked, tokens, now)
        if target[:1] != asked.path[:1]:
            self._fits(entry, target)
        made = self.kept.move(asked.path, target, overwrite)
        return Reply(201 if made else 204)

    def _fits(self, entry: Entry | None, target: Path) -> None:
        left = self.quota.left(self.tree, target)
        if left is not None and entry is not None and entry.weight() > left:
            raise Reply(507, bodies.error("quota-not-exceeded"), XML)

    def _target(self, asked: Asked, tokens: frozenset[str], now: int) -> tuple[Path, bool]:
        """Where a COPY or MOVE goes, once no lock is in the way there, and whether it may replace."""
        target = destination(asked.said("destination"), asked.said("host")).path
        said = asked.said("overwrite").strip().upper() or "T"
        if said not in ("T", "F"):
            raise Reply(400, "Overwrite is T or F")
        self._write_member(asked, target, tokens, now, members=True)
        return target, said == "T"

    def _proppatch(self, asked: Asked, entry: Entry | None, tokens: frozenset[str], now: int) -> Reply:
        if entry is None:
            raise Reply(404)
        self._write(asked, asked.path, tokens, now)
        patch = bodies.patch_of(asked.body)
        names = [*patch.sets, *patch.removes]
        status = "200 OK"
        if any(name.startswith(bodies.DAV) for name in names):
            status = "403 Forbidden"  # live properties are not the client's to set, and it is all or nothing
        else:
            self.kept.patch(asked.path, patch.sets, patch.removes)
        return Reply(207, bodies.patched(asked.path, entry, names, status), XML)

    def _lock(self, asked: Asked, entry: Entry | None, tokens: frozenset[str], now: int) -> Reply:
        path, timeout, who = asked.path, self._timeout(asked), asked.said("authorization")
        if not asked.body.strip():
            held = self.kept.refresh(next(iter(tokens), ""), path, timeout, now)
            if held is None:
                raise Reply(412, "no such lock to refresh")
            return Reply(200, bodies.locked(held, now), XML)
        wanted, depth = bodies.lock_of(asked.body), self._depth(asked, "infinity")
        if depth == "1":
            raise Reply(400, "a LOCK has depth 0 or infinity")
        if entry is None:
            self._write(asked, path[:-1], tokens, now)
        lock = self.kept.take(path, wanted.exclusive, depth == "infinity", wanted.owner, who, timeout, now)
        headers = {**XML, "Lock-Token": f"<{lock.token}>"}
        return Reply(201 if entry is None else 200, bodies.locked(lock, now), headers)

    def _unlock(self, asked: Asked, entry: Entry | None, tokens: frozenset[str], now: int) -> Reply:
        token = asked.said("lock-token").strip()
        if not (token.startswith("<") and token.endswith(">")):
            raise Reply(400, "Lock-Token is <TOKEN>")
        done = self.kept.release(token[1:-1], asked.path, asked.said("authorization"), now)
        if done is None:
            raise Reply(409, bodies.error("lock-token-matches-request-uri"), XML)
        if not done:
            raise Reply(403, "another holds it")
        return Reply(204)


@lru_cache(4096)
def _http_date(seconds: int) -> str:
    """RFC 9110 5.6.7."""
    return formatdate(seconds, usegmt=True)


def _internet_date(seconds: int) -> str:
    """RFC 3339, from the HTTP form of the same date."""
    _, day, month, year, clock, _ = _http_date(seconds).split(" ")
    return f"{year}-{MONTHS.index(month) // 3 + 1:02}-{day}T{clock}Z"


def _told(call: Callable[[], T]) -> T:
    """Calls, and turns whatever can't be done into the reply that is due."""
    try:
        return call()
    except (BadPath, Refused) as trouble:
        raise Reply(trouble.status, str(trouble)) from None
    except bodies.UnknownReport:
        raise Reply(403, bodies.error("supported-report"), XML) from None
    except (conditions.BadCondition, bodies.BadBody) as trouble:
        raise Reply(400, str(trouble)) from None
    except Conflict as trouble:
        raise Reply(423, bodies.error("lock-token-submitted", trouble.roots), XML) from None
    except TooMany as trouble:
        raise Reply(507, str(trouble)) from None
    except OSError:
        raise Reply(507, "the change could not be written down, so it was not made") from None
