"""The WebDAV methods on names, properties and locks (RFC 4918 section 9). Free of I/O and clocks.

The server passes a `ParsedRequest` and sends the `Reply`; GET and PUT are only checked here, and continue as
gateway requests. The conditions of RFC 9110 section 13 and of the If header are evaluated before any change.
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
from ochrecourse.webdav.locks import LockConflictError, TooManyLocksError
from ochrecourse.webdav.namespace import ChangedPaths, Entry, Namespace, NamespaceError
from ochrecourse.webdav.paths import InvalidPathError, Path, parse, parse_destination
from ochrecourse.webdav.state_store import StateStore

METHODS = "OPTIONS, GET, HEAD, PUT, DELETE, MKCOL, COPY, MOVE, PROPFIND, PROPPATCH, LOCK, UNLOCK, REPORT"
XML = {"Content-Type": 'application/xml; charset="utf-8"'}
DEFAULT_LOCK_TIMEOUT = 600 * SECOND  # without a Timeout header; long enough for an editing session
REPORTS = "<D:supported-report><D:report><D:sync-collection/></D:report></D:supported-report>"
T = TypeVar("T")
MONTHS = "JanFebMarAprMayJunJulAugSepOctNovDec"
MAX_TIMEOUT_HEADER_S = 10**6  # larger values are reduced to this


@dataclass(slots=True)
class ParsedRequest:
    """A request: headers by lower-case name; `body` only for methods other than GET, HEAD and PUT."""

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes = b""
    path: Path = ()

    def header(self, name: str) -> str:
        """Returns the value of a header, empty if it is missing."""
        return self.headers.get(name, "")


@dataclass(slots=True)
class Reply(Exception):  # noqa: N818, it is not always an error
    """A response that needs no gateway request; raised to end a request early."""

    status: int
    body: str = ""
    headers: dict[str, str] = field(default_factory=dict)


class BodyPart(NamedTuple):
    """Bytes `first` to `last` of the object, both included; `prefix` is sent before them."""

    first: int
    last: int
    prefix: bytes


class GetResponse(NamedTuple):
    """The response to a GET: status, parts of the object in ascending order, and the bytes after them."""

    status: int
    parts: tuple[BodyPart, ...]
    epilogue: bytes


class Quota(NamedTuple):
    """Limits of volumes in bytes, by first segment; a volume that is not listed has no limit."""

    limits: Mapping[str, int]

    def available(self, tree: Namespace, path: Path) -> int | None:
        """Returns the bytes left in a path's volume, None without a limit."""
        limit = self.limits.get(path[0]) if path else None
        return None if limit is None else max(0, limit - tree.used[path[0]])


class Methods:
    """The methods on one namespace and its locks, which are changed only through `store`."""

    def __init__(self, store: StateStore, quota: Quota = Quota({})) -> None:  # noqa: B008
        self.store = store
        self.tree = store.tree
        self.locks = store.locks
        self.epoch = store.epoch
        self.quota = quota
        self.handlers: dict[str, Callable[[ParsedRequest, Entry | None, frozenset[str], int], Reply]] = {
            "DELETE": self._delete,
            "MKCOL": self._mkcol,
            "COPY": self._copy,
            "MOVE": self._move,
            "PROPPATCH": self._proppatch,
            "LOCK": self._lock,
            "UNLOCK": self._unlock,
        }

    def prepare(self, request: ParsedRequest, now: int) -> tuple[Entry | None, frozenset[str]]:
        """Parses the path and evaluates the conditions.

        Returns the resource, None if unmapped, and the submitted lock tokens. Raises Reply.
        """
        if request.method not in METHODS.split(", "):
            raise Reply(501, "no such method here")
        if request.method == "OPTIONS":
            raise Reply(200, "", {"DAV": "1, 2, 3", "Allow": METHODS})
        request.path = _as_reply(lambda: parse(request.target).path)
        self.store.expire(now)
        entry = self.tree.find(request.path)
        return entry, _as_reply(lambda: self._conditions(request, entry))

    def execute(self, request: ParsedRequest, entry: Entry | None, tokens: frozenset[str], now: int) -> Reply:
        """Carries out a method of `handlers`. Raises Reply if it fails; nothing is changed then."""
        return _as_reply(lambda: self.handlers[request.method](request, entry, tokens, now))

    # --- GET, PUT, PROPFIND and REPORT ---

    def check_put(
        self, request: ParsedRequest, entry: Entry | None, tokens: frozenset[str], size: int, now: int
    ) -> None:
        """Checks whether a PUT of `size` bytes (below 0: unknown) may start. Raises Reply."""
        if request.header("content-range"):
            raise Reply(400, "a PUT of a part is not taken")
        if request.path and size > 0:
            old = entry.content.size if entry is not None and entry.content is not None else 0
            available = self.quota.available(self.tree, request.path)
            if available is not None and size - old > available:
                raise Reply(507, bodies.error("quota-not-exceeded"), XML)
        if entry is None:
            _as_reply(lambda: self._check_member_locks(request, request.path, tokens, now))
        else:
            _as_reply(lambda: self._check_locks(request, request.path, tokens, now))

    def prepare_get(
        self, request: ParsedRequest, entry: Entry | None
    ) -> tuple[Entry, GetResponse, dict[str, str]]:
        """Returns the resource, the response to a GET or HEAD, and its headers. Raises Reply."""
        if entry is None:
            raise Reply(404)
        if entry.is_collection():
            raise Reply(405, "a collection has no body; PROPFIND lists it", {"Allow": METHODS})
        size = entry.content.size if entry.content else 0
        headers = {
            "ETag": entry.tag,
            "Accept-Ranges": "bytes",
            "Content-Type": entry.content.content_type if entry.content else "application/octet-stream",
            "Last-Modified": _http_date(entry.modified // SECOND + self.epoch),
        }
        ranges = None
        if conditions.range_applies(request.headers, self._resource(entry)):
            ranges = conditions.parse_ranges(request.header("range"), size)
        if ranges == []:
            raise Reply(416, "", {"Content-Range": f"bytes */{size}"})
        if not ranges:
            response = GetResponse(200, (BodyPart(0, size - 1, b""),) if size else (), b"")
        elif len(ranges) == 1:
            first, last = ranges[0]
            response = GetResponse(206, (BodyPart(first, last, b""),), b"")
            headers["Content-Range"] = f"bytes {first}-{last}/{size}"
        else:
            response = self._multipart(ranges, size, headers)
        length = sum(each.last - each.first + 1 + len(each.prefix) for each in response.parts) + len(
            response.epilogue
        )
        headers["Content-Length"] = str(length)
        return entry, response, headers

    def _multipart(
        self, ranges: list[conditions.ByteRange], size: int, headers: dict[str, str]
    ) -> GetResponse:
        """Returns several ranges as multipart/byteranges (RFC 9110 14.6).

        The boundary contains the entity tag, which is unique to the version, and text that is unlikely to
        occur in the content.
        """
        boundary = f"ochrecourse-{headers['ETag'].strip(chr(34))}-{size:x}"
        content_type = headers["Content-Type"]
        headers["Content-Type"] = f"multipart/byteranges; boundary={boundary}"
        parts = tuple(
            BodyPart(
                first,
                last,
                (
                    f"\r\n--{boundary}\r\nContent-Type: {content_type}\r\n"
                    f"Content-Range: bytes {first}-{last}/{size}\r\n\r\n"
                ).encode(),
            )
            for first, last in ranges
        )
        return GetResponse(206, parts, f"\r\n--{boundary}--\r\n".encode())

    def propfind(self, request: ParsedRequest, entry: Entry | None, now: int) -> Iterator[str]:
        """Returns a lazy iterator over the responses of a PROPFIND (9.1). Raises Reply."""
        if entry is None:
            raise Reply(404)
        depth = self._depth(request, "infinity")
        if depth == "infinity":
            raise Reply(403, bodies.error("propfind-finite-depth"), XML)
        return self._responses(
            request.path, int(depth), _as_reply(lambda: bodies.parse_propfind(request.body)), now
        )

    def report(self, request: ParsedRequest, entry: Entry | None, now: int) -> Iterator[str]:
        """Returns the responses of a sync-collection (RFC 6578 3), the sync-token last. Raises Reply."""
        if entry is None:
            raise Reply(404)
        wanted = _as_reply(lambda: bodies.parse_sync_collection(request.body))
        if self._depth(request, "0") != "0":
            raise Reply(400, "a sync-collection has depth 0")
        if not entry.is_collection():
            raise Reply(403, bodies.error("supported-report"), XML)
        find = bodies.PropfindRequest(False, False, wanted.names)
        if not wanted.token:
            depth = -1 if wanted.infinite else 1
            if (
                sum(1 for _ in islice(self.tree.walk(request.path, depth), wanted.limit + 2))
                > wanted.limit + 1
            ):
                # An initial listing has no order of changes, so it can't be truncated.
                raise Reply(507, bodies.error("number-of-matches-within-limits"), XML)
            return self._initial_sync(request.path, find, depth, now)
        prefix, _, version = wanted.token.rpartition("/")
        changed = None
        if prefix == self._sync_token_prefix(request.path) and version.isascii() and version.isdigit():
            changed = self.tree.changed_since(int(version), request.path, wanted.infinite, wanted.limit)
        if changed is None:
            raise Reply(403, bodies.error("valid-sync-token"), XML)
        return self._changes(request.path, find, changed, now)

    def _sync_token_prefix(self, path: Path) -> str:
        """Returns the start of a sync-token, which identifies collection and tree (by its creation time)."""
        return f"urn:ochrecourse:sync:{self.tree.root.created:x}:{zlib.crc32(repr(path).encode()):x}"

    def _sync_token(self, path: Path, version: int) -> str:
        return f"{self._sync_token_prefix(path)}/{version}"

    def _initial_sync(self, path: Path, find: bodies.PropfindRequest, depth: int, now: int) -> Iterator[str]:
        version = self.tree.version
        for at, entry in self.tree.walk(path, depth):
            if at != path:
                yield self._response(at, entry, find, now)
        yield f"<D:sync-token>{self._sync_token(path, version)}</D:sync-token>\n"

    def _changes(
        self, path: Path, find: bodies.PropfindRequest, changed: ChangedPaths, now: int
    ) -> Iterator[str]:
        for at in changed.paths:
            entry = self.tree.find(at)
            yield bodies.removed_response(at) if entry is None else self._response(at, entry, find, now)
        if changed.truncated:
            yield bodies.truncated_response(path)
        yield f"<D:sync-token>{self._sync_token(path, changed.version)}</D:sync-token>\n"

    def _named_properties(self, path: Path, entry: Entry) -> dict[str, str]:
        """Returns properties that are sent only if named: those of RFC 4331 and RFC 6578."""
        if not entry.is_collection():
            return {}
        properties = {
            "quota-used-bytes": str(self.tree.used[path[0]] if path else sum(self.tree.used.values())),
            "sync-token": self._sync_token(path, self.tree.version),
            "supported-report-set": REPORTS,
        }
        available = self.quota.available(self.tree, path)
        return properties if available is None else {**properties, "quota-available-bytes": str(available)}

    def _response(self, at: Path, entry: Entry, wanted: bodies.PropfindRequest, now: int) -> str:
        created = _internet_date(entry.created // SECOND + self.epoch)
        changed = _http_date(entry.modified // SECOND + self.epoch)
        live = bodies.live_properties(entry, self.locks.covering(at), now, (created, changed))
        return bodies.response(
            at,
            entry,
            wanted,
            live,
            self._named_properties(at, entry) if wanted.names else bodies.NO_PROPERTIES,
        )

    def _responses(self, path: Path, depth: int, wanted: bodies.PropfindRequest, now: int) -> Iterator[str]:
        for at, entry in self.tree.walk(path, depth):
            yield self._response(at, entry, wanted, now)

    # --- headers ---

    def _depth(self, request: ParsedRequest, default: str) -> str:
        depth = request.header("depth").strip().lower() or default
        if depth not in ("0", "1", "infinity"):
            raise Reply(400, "Depth is 0, 1 or infinity")
        return depth

    def _resource(self, entry: Entry | None) -> conditions.Resource:
        if entry is None or entry.empty:
            return conditions.Resource(None)
        return conditions.Resource(entry.tag, entry.modified // SECOND + self.epoch)

    def _conditions(self, request: ParsedRequest, entry: Entry | None) -> frozenset[str]:
        tokens: frozenset[str] = frozenset()
        if "if" in request.headers:
            lists = conditions.parse_if(request.headers["if"], request.header("host"))
            if not conditions.if_holds(lists, request.path, self._tag_of, self._tokens_of):
                raise Reply(412)
            tokens = conditions.submitted_tokens(lists)
        resource = self._resource(entry)
        status = conditions.evaluate(request.headers, resource, request.method in ("GET", "HEAD"))
        if status is not None:
            raise Reply(status, "", {"ETag": resource.tag} if resource.tag else {})
        return tokens

    def _tag_of(self, path: Path) -> str | None:
        found = self.tree.find(path)
        return found.tag if found else None

    def _tokens_of(self, path: Path) -> frozenset[str]:
        return frozenset(lock.token for lock in self.locks.covering(path))

    def _timeout(self, request: ParsedRequest) -> int:
        """Returns the first supported value of the Timeout header in ns (10.7)."""
        for value in request.header("timeout").split(","):
            word = value.strip().lower()
            if word.startswith("second-") and word[7:].isdigit():
                return min(int(word[7:]), MAX_TIMEOUT_HEADER_S) * SECOND
        return DEFAULT_LOCK_TIMEOUT

    def _check_locks(
        self, request: ParsedRequest, path: Path, tokens: frozenset[str], now: int, members: bool = False
    ) -> None:
        self.locks.check_write(path, tokens, request.header("authorization"), now, members)

    def _check_member_locks(
        self, request: ParsedRequest, path: Path, tokens: frozenset[str], now: int, members: bool = False
    ) -> None:
        """Also checks the locks of the parent collection, for adding or removing a member (7.4)."""
        self._check_locks(request, path, tokens, now, members)
        if path:
            self._check_locks(request, path[:-1], tokens, now)

    # --- handlers ---

    def _delete(self, request: ParsedRequest, entry: Entry | None, tokens: frozenset[str], now: int) -> Reply:
        if entry is None:
            raise Reply(404)
        self._check_member_locks(request, request.path, tokens, now, members=True)
        self.store.delete(request.path)
        return Reply(204)

    def _mkcol(self, request: ParsedRequest, entry: Entry | None, tokens: frozenset[str], now: int) -> Reply:
        if request.body:
            raise Reply(415, "a MKCOL has no body here")
        self._check_member_locks(request, request.path, tokens, now)
        self.store.make_collection(request.path, now)
        return Reply(201)

    def _copy(self, request: ParsedRequest, entry: Entry | None, tokens: frozenset[str], now: int) -> Reply:
        depth = self._depth(request, "infinity")
        if depth == "1":
            raise Reply(400, "a COPY has depth 0 or infinity")
        target, overwrite = self._transfer_target(request, tokens, now)
        self._check_quota(entry, target)
        created = self.store.copy(request.path, target, depth != "0", overwrite, now)
        return Reply(201 if created else 204)

    def _move(self, request: ParsedRequest, entry: Entry | None, tokens: frozenset[str], now: int) -> Reply:
        if self._depth(request, "infinity") != "infinity":
            raise Reply(400, "a MOVE has depth infinity")
        self._check_member_locks(request, request.path, tokens, now, members=True)
        target, overwrite = self._transfer_target(request, tokens, now)
        if target[:1] != request.path[:1]:
            self._check_quota(entry, target)
        created = self.store.move(request.path, target, overwrite)
        return Reply(201 if created else 204)

    def _check_quota(self, entry: Entry | None, target: Path) -> None:
        available = self.quota.available(self.tree, target)
        if available is not None and entry is not None and entry.total_size() > available:
            raise Reply(507, bodies.error("quota-not-exceeded"), XML)

    def _transfer_target(self, request: ParsedRequest, tokens: frozenset[str], now: int) -> tuple[Path, bool]:
        """Returns the destination of a COPY or MOVE after a check of its locks, and the Overwrite header."""
        target = parse_destination(request.header("destination"), request.header("host")).path
        overwrite = request.header("overwrite").strip().upper() or "T"
        if overwrite not in ("T", "F"):
            raise Reply(400, "Overwrite is T or F")
        self._check_member_locks(request, target, tokens, now, members=True)
        return target, overwrite == "T"

    def _proppatch(
        self, request: ParsedRequest, entry: Entry | None, tokens: frozenset[str], now: int
    ) -> Reply:
        if entry is None:
            raise Reply(404)
        self._check_locks(request, request.path, tokens, now)
        patch = bodies.parse_propertyupdate(request.body)
        names = [*patch.sets, *patch.removes]
        status = "200 OK"
        if any(name.startswith(bodies.DAV) for name in names):
            status = "403 Forbidden"  # clients can't set live properties; a PROPPATCH is atomic
        else:
            self.store.patch(request.path, patch.sets, patch.removes)
        return Reply(207, bodies.proppatch_response(request.path, entry, names, status), XML)

    def _lock(self, request: ParsedRequest, entry: Entry | None, tokens: frozenset[str], now: int) -> Reply:
        path, timeout, principal = request.path, self._timeout(request), request.header("authorization")
        if not request.body.strip():
            refreshed = self.store.refresh(next(iter(tokens), ""), path, timeout, now)
            if refreshed is None:
                raise Reply(412, "no such lock to refresh")
            return Reply(200, bodies.lock_response(refreshed, now), XML)
        wanted, depth = bodies.parse_lockinfo(request.body), self._depth(request, "infinity")
        if depth == "1":
            raise Reply(400, "a LOCK has depth 0 or infinity")
        if entry is None:
            self._check_locks(request, path[:-1], tokens, now)
        lock = self.store.acquire(
            path, wanted.exclusive, depth == "infinity", wanted.owner, principal, timeout, now
        )
        headers = {**XML, "Lock-Token": f"<{lock.token}>"}
        return Reply(201 if entry is None else 200, bodies.lock_response(lock, now), headers)

    def _unlock(self, request: ParsedRequest, entry: Entry | None, tokens: frozenset[str], now: int) -> Reply:
        token = request.header("lock-token").strip()
        if not (token.startswith("<") and token.endswith(">")):
            raise Reply(400, "Lock-Token is <TOKEN>")
        released = self.store.release(token[1:-1], request.path, request.header("authorization"), now)
        if released is None:
            raise Reply(409, bodies.error("lock-token-matches-request-uri"), XML)
        if not released:
            raise Reply(403, "another holds it")
        return Reply(204)


@lru_cache(4096)
def _http_date(seconds: int) -> str:
    """Formats a date for HTTP headers (RFC 9110 5.6.7)."""
    return formatdate(seconds, usegmt=True)


def _internet_date(seconds: int) -> str:
    """Formats a date by RFC 3339, from the HTTP form of the same date."""
    _, day, month, year, clock, _ = _http_date(seconds).split(" ")
    return f"{year}-{MONTHS.index(month) // 3 + 1:02}-{day}T{clock}Z"


def _as_reply(call: Callable[[], T]) -> T:
    """Calls, and converts errors to the Reply that is sent for them."""
    try:
        return call()
    except (InvalidPathError, NamespaceError) as error:
        raise Reply(error.status, str(error)) from None
    except bodies.UnsupportedReportError:
        raise Reply(403, bodies.error("supported-report"), XML) from None
    except (conditions.InvalidConditionError, bodies.InvalidBodyError) as error:
        raise Reply(400, str(error)) from None
    except LockConflictError as error:
        raise Reply(423, bodies.error("lock-token-submitted", error.roots), XML) from None
    except TooManyLocksError as error:
        raise Reply(507, str(error)) from None
    except OSError:
        raise Reply(507, "the change could not be written down, so it was not made") from None
