"""XML bodies of requests and responses (RFC 4918 section 14). Free of I/O.

Requests go through a hardened parser; responses are built as text.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import NamedTuple
from xml.etree.ElementTree import Element, ParseError, tostring
from xml.sax.saxutils import escape

from defusedxml.common import DefusedXmlException
from defusedxml.ElementTree import fromstring

from ochrecourse.common.time_units import SECOND
from ochrecourse.webdav.locks import Lock
from ochrecourse.webdav.namespace import Entry
from ochrecourse.webdav.paths import Path, href

MAX_BODY_BYTES = 262_144  # of an XML request body; a long PROPPATCH fits
MAX_NESTING = 32  # levels of elements
MAX_SYNC_RESULTS = 10_000  # in one sync-collection response; the client continues from its token
DAV = "{DAV:}"
NO_PROPERTIES: Mapping[str, str] = MappingProxyType({})
MULTISTATUS_START = '<?xml version="1.0" encoding="utf-8"?>\n<D:multistatus xmlns:D="DAV:">\n'
MULTISTATUS_END = "</D:multistatus>\n"


class InvalidBodyError(Exception):
    """A request body that is not valid; the response is 400."""


class UnexpectedRootError(InvalidBodyError):
    """The root element is not the one that the method requires."""


class UnsupportedReportError(InvalidBodyError):
    """A report that is not supported; the response is 403 with the precondition (RFC 3253 3.6)."""


class PropfindRequest(NamedTuple):
    """A parsed PROPFIND: all properties, only their names, or the listed names (in Clark notation)."""

    all_properties: bool
    names_only: bool
    names: tuple[str, ...]


class SyncRequest(NamedTuple):
    """A parsed sync-collection report (RFC 6578 6.1); `limit` is the maximum number of results."""

    token: str
    infinite: bool
    limit: int
    names: tuple[str, ...]


class PropertyUpdate(NamedTuple):
    """A parsed PROPPATCH: names in Clark notation, values as XML."""

    sets: dict[str, str]
    removes: list[str]


class LockInfo(NamedTuple):
    """A parsed LOCK body; `owner` is XML."""

    exclusive: bool
    owner: str


def _parse_root(body: bytes, name: str) -> Element:
    """Parses a body with the root element `name`. Raises InvalidBodyError."""
    if len(body) > MAX_BODY_BYTES:
        raise InvalidBodyError(f"a body of {len(body)} bytes; at most {MAX_BODY_BYTES}")
    try:
        root: Element = fromstring(body, forbid_dtd=True)
    except (ParseError, DefusedXmlException, ValueError, LookupError) as error:
        raise InvalidBodyError(f"not XML that is taken here: {type(error).__name__}") from None
    if root.tag != DAV + name:
        raise UnexpectedRootError(f"the body is {root.tag}, not {DAV + name}")
    elements = [root]
    for _ in range(MAX_NESTING):
        elements = [child for element in elements for child in element]
    if elements:
        raise InvalidBodyError(f"elements nested more than {MAX_NESTING} deep")
    return root


def parse_propfind(body: bytes) -> PropfindRequest:
    """Parses a PROPFIND (9.1); an empty body requests all properties. Raises InvalidBodyError."""
    if not body.strip():
        return PropfindRequest(True, False, ())
    root = _parse_root(body, "propfind")
    if root.find(DAV + "propname") is not None:
        return PropfindRequest(False, True, ())
    prop = root.find(DAV + "prop")
    if prop is not None:
        return PropfindRequest(False, False, tuple(child.tag for child in prop))
    if root.find(DAV + "allprop") is None:
        raise InvalidBodyError("a propfind names allprop, propname or prop")
    return PropfindRequest(True, False, ())


def parse_sync_collection(body: bytes) -> SyncRequest:
    """Parses a sync-collection REPORT (RFC 6578 6.1). Raises InvalidBodyError, UnsupportedReportError."""
    try:
        root = _parse_root(body, "sync-collection")
    except UnexpectedRootError as error:
        raise UnsupportedReportError(str(error)) from None
    level = (root.findtext(DAV + "sync-level") or "").strip()
    if level not in ("1", "infinite"):
        raise InvalidBodyError("a sync-level is 1 or infinite")
    prop = root.find(DAV + "prop")
    if prop is None or root.find(DAV + "sync-token") is None:
        raise InvalidBodyError("a sync-collection has a sync-token and a prop")
    limit = (root.findtext(f"{DAV}limit/{DAV}nresults") or str(MAX_SYNC_RESULTS)).strip()
    if not (limit.isascii() and limit.isdigit()) or not int(limit):
        raise InvalidBodyError("nresults is a number above 0")
    token = (root.findtext(DAV + "sync-token") or "").strip()
    return SyncRequest(
        token, level == "infinite", min(int(limit), MAX_SYNC_RESULTS), tuple(child.tag for child in prop)
    )


def parse_propertyupdate(body: bytes) -> PropertyUpdate:
    """Parses a PROPPATCH (9.2); the last instruction for a name applies. Raises InvalidBodyError."""
    patch = PropertyUpdate({}, [])
    for instruction in _parse_root(body, "propertyupdate"):
        if instruction.tag not in (DAV + "set", DAV + "remove"):
            continue
        prop = instruction.find(DAV + "prop")
        for child in prop if prop is not None else ():
            patch.sets.pop(child.tag, None)
            if child.tag in patch.removes:
                patch.removes.remove(child.tag)
            if instruction.tag == DAV + "set":
                child.tail = None
                patch.sets[child.tag] = tostring(child, encoding="unicode")
            else:
                patch.removes.append(child.tag)
    if not patch.sets and not patch.removes:
        raise InvalidBodyError("a propertyupdate that sets and removes nothing")
    return patch


def parse_lockinfo(body: bytes) -> LockInfo:
    """Parses a LOCK body (9.10). Raises InvalidBodyError."""
    root = _parse_root(body, "lockinfo")
    scope = root.find(DAV + "lockscope")
    if scope is None or len(scope) != 1 or scope[0].tag not in (DAV + "exclusive", DAV + "shared"):
        raise InvalidBodyError("a lockscope is exclusive or shared")
    if root.find(f"{DAV}locktype/{DAV}write") is None:
        raise InvalidBodyError("write locks only")
    owner = root.find(DAV + "owner")
    if owner is not None:
        owner.tail = None
    return LockInfo(
        scope[0].tag == DAV + "exclusive", "" if owner is None else tostring(owner, encoding="unicode")
    )


# --- responses ---


def live_properties(entry: Entry, locks: list[Lock], now: int, dates: tuple[str, str]) -> dict[str, str]:
    """Returns the live properties of a resource (15) by name; `dates`: of its creation and last change."""
    live = {
        "creationdate": escape(dates[0]),
        "getlastmodified": escape(dates[1]),
        "getetag": escape(entry.tag),
        "resourcetype": "<D:collection/>" if entry.is_collection() else "",
        "supportedlock": "".join(
            f"<D:lockentry><D:lockscope><D:{scope}/></D:lockscope><D:locktype><D:write/></D:locktype></D:lockentry>"
            for scope in ("exclusive", "shared")
        ),
        "lockdiscovery": "".join(active_lock(lock, now) for lock in locks),
    }
    if not entry.is_collection():
        live["getcontentlength"] = str(entry.content.size if entry.content else 0)
        live["getcontenttype"] = escape(
            entry.content.content_type if entry.content else "application/octet-stream"
        )
    return live


def active_lock(lock: Lock, now: int) -> str:
    """Returns an activelock element (14.1)."""
    scope, depth = ("exclusive" if lock.exclusive else "shared"), ("infinity" if lock.infinite else "0")
    seconds = max(0, (lock.expires - now) // SECOND)
    return (
        f"<D:activelock><D:locktype><D:write/></D:locktype><D:lockscope><D:{scope}/></D:lockscope>"
        f"<D:depth>{depth}</D:depth>{lock.owner}<D:timeout>Second-{seconds}</D:timeout>"
        f"<D:locktoken><D:href>{escape(lock.token)}</D:href></D:locktoken>"
        f"<D:lockroot><D:href>{escape(href(lock.root, False))}</D:href></D:lockroot></D:activelock>"
    )


def response(
    path: Path,
    entry: Entry,
    request: PropfindRequest,
    live: dict[str, str],
    on_request: Mapping[str, str] = NO_PROPERTIES,
) -> str:
    """Returns a response element of a 207 (9.1): the properties found, and requested ones that are missing.

    `on_request`: live properties that are returned only if named (RFC 4331 3, RFC 6578 4).
    """
    if request.names:
        live = {**live, **on_request}
    found, missing = [], []
    if request.names:
        for name in request.names:
            if name.startswith(DAV) and name[len(DAV) :] in live:
                found.append(_element(name, live[name[len(DAV) :]]))
            elif name in entry.properties:
                found.append(entry.properties[name])
            else:
                missing.append(_element(name, ""))
    else:
        found = [_element(DAV + name, "" if request.names_only else value) for name, value in live.items()]
        found += [
            _element(name, "") if request.names_only else value for name, value in entry.properties.items()
        ]
    propstats = [_propstat(found, "200 OK")] if found or not missing else []
    propstats += [_propstat(missing, "404 Not Found")] if missing else []
    return _response(path, entry, "".join(propstats))


def _response(path: Path, entry: Entry, content: str) -> str:
    reference = escape(href(path, entry.is_collection()))
    return f"<D:response><D:href>{reference}</D:href>{content}</D:response>\n"


def removed_response(path: Path) -> str:
    """Returns the response element of a removed member in a sync-collection (RFC 6578 3.4)."""
    return (
        f"<D:response><D:href>{escape(href(path, False))}</D:href>"
        "<D:status>HTTP/1.1 404 Not Found</D:status></D:response>\n"
    )


def truncated_response(path: Path) -> str:
    """Returns the response element of a truncated sync-collection (RFC 6578 3.6)."""
    return (
        f"<D:response><D:href>{escape(href(path, True))}</D:href>"
        "<D:status>HTTP/1.1 507 Insufficient Storage</D:status>"
        "<D:error><D:number-of-matches-within-limits/></D:error></D:response>\n"
    )


def proppatch_response(path: Path, entry: Entry, names: Iterable[str], status: str) -> str:
    """Returns the body of a PROPPATCH response; all names have one status, because a PROPPATCH is atomic."""
    content = _propstat([_element(name, "") for name in names], status)
    return f"{MULTISTATUS_START}{_response(path, entry, content)}{MULTISTATUS_END}"


def lock_response(lock: Lock, now: int) -> str:
    """Returns the body of a LOCK response."""
    head = '<?xml version="1.0" encoding="utf-8"?>\n<D:prop xmlns:D="DAV:"><D:lockdiscovery>'
    return f"{head}{active_lock(lock, now)}</D:lockdiscovery></D:prop>\n"


def error(condition: str, roots: Iterable[Path] = ()) -> str:
    """Returns an error element with a precondition code (16) and the roots of conflicting locks."""
    content = "".join(f"<D:href>{escape(href(root, False))}</D:href>" for root in roots)
    head = '<?xml version="1.0" encoding="utf-8"?>\n<D:error xmlns:D="DAV:">'
    return f"{head}<D:{condition}>{content}</D:{condition}></D:error>\n"


def _propstat(elements: list[str], status: str) -> str:
    return (
        f"<D:propstat><D:prop>{''.join(elements)}</D:prop><D:status>HTTP/1.1 {status}</D:status></D:propstat>"
    )


def _element(name: str, value: str) -> str:
    namespace, _, local = name.rpartition("}")
    if namespace == "{DAV:":
        return f"<D:{local}>{value}</D:{local}>"
    return (
        f'<N:{local} xmlns:N="{escape(namespace[1:])}">{value}</N:{local}>'
        if namespace
        else f"<{local}>{value}</{local}>"
    )
