"""XML bodies: requests through a hardened parser, responses as pieces of text. Free of I/O. RFC 4918 section
14.
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

LONGEST = 262_144  # bytes of a request body in XML; a long PROPPATCH fits
DEEPEST = 32  # elements within each other
MOST_SYNCED = 10_000  # members in one sync-collection answer; a client asks again from its token
DAV = "{DAV:}"
NONE: Mapping[str, str] = MappingProxyType({})
HEAD = '<?xml version="1.0" encoding="utf-8"?>\n<D:multistatus xmlns:D="DAV:">\n'
TAIL = "</D:multistatus>\n"


class BadBody(Exception):
    """A body that can't be read; a 400 is due."""


class WrongRoot(BadBody):
    """A body of another kind than the method takes."""


class UnknownReport(BadBody):
    """A report that is not made here; a 403 with its precondition is due (RFC 3253 3.6)."""


class Find(NamedTuple):
    """What a PROPFIND asks: all properties, their names only, or these names in Clark notation."""

    everything: bool
    names_only: bool
    names: tuple[str, ...]


class Sync(NamedTuple):
    """What a sync-collection report asks (RFC 6578 6.1): since which token, how deep, at most how many."""

    token: str
    infinite: bool
    most: int
    names: tuple[str, ...]


class Patch(NamedTuple):
    """What a PROPPATCH asks, by name in Clark notation; values are XML."""

    sets: dict[str, str]
    removes: list[str]


class LockAsked(NamedTuple):
    """What a LOCK asks."""

    exclusive: bool
    owner: str


def _root(body: bytes, name: str) -> Element:
    if len(body) > LONGEST:
        raise BadBody(f"a body of {len(body)} bytes; at most {LONGEST}")
    try:
        root: Element = fromstring(body, forbid_dtd=True)
    except (ParseError, DefusedXmlException, ValueError, LookupError) as trouble:
        raise BadBody(f"not XML that is taken here: {type(trouble).__name__}") from None
    if root.tag != DAV + name:
        raise WrongRoot(f"the body is {root.tag}, not {DAV + name}")
    level = [root]
    for _ in range(DEEPEST):
        level = [child for element in level for child in element]
    if level:
        raise BadBody(f"elements nested more than {DEEPEST} deep")
    return root


def find_of(body: bytes) -> Find:
    """PROPFIND (9.1); no body asks for everything. Raises BadBody."""
    if not body.strip():
        return Find(True, False, ())
    root = _root(body, "propfind")
    if root.find(DAV + "propname") is not None:
        return Find(False, True, ())
    prop = root.find(DAV + "prop")
    if prop is not None:
        return Find(False, False, tuple(child.tag for child in prop))
    if root.find(DAV + "allprop") is None:
        raise BadBody("a propfind names allprop, propname or prop")
    return Find(True, False, ())


def sync_of(body: bytes) -> Sync:
    """REPORT of a sync-collection (RFC 6578 6.1). Raises BadBody; UnknownReport for any other report."""
    try:
        root = _root(body, "sync-collection")
    except WrongRoot as other:
        raise UnknownReport(str(other)) from None
    level = (root.findtext(DAV + "sync-level") or "").strip()
    if level not in ("1", "infinite"):
        raise BadBody("a sync-level is 1 or infinite")
    prop = root.find(DAV + "prop")
    if prop is None or root.find(DAV + "sync-token") is None:
        raise BadBody("a sync-collection has a sync-token and a prop")
    most = (root.findtext(f"{DAV}limit/{DAV}nresults") or str(MOST_SYNCED)).strip()
    if not (most.isascii() and most.isdigit()) or not int(most):
        raise BadBody("nresults is a number above 0")
    token = (root.findtext(DAV + "sync-token") or "").strip()
    return Sync(token, level == "infinite", min(int(most), MOST_SYNCED), tuple(child.tag for child in prop))


def patch_of(body: bytes) -> Patch:
    """PROPPATCH (9.2), in document order: the last word on a name counts. Raises BadBody."""
    patch = Patch({}, [])
    for step in _root(body, "propertyupdate"):
        if step.tag not in (DAV + "set", DAV + "remove"):
            continue
        prop = step.find(DAV + "prop")
        for child in prop if prop is not None else ():
            patch.sets.pop(child.tag, None)
            if child.tag in patch.removes:
                patch.removes.remove(child.tag)
            if step.tag == DAV + "set":
                child.tail = None
                patch.sets[child.tag] = tostring(child, encoding="unicode")
            else:
                patch.removes.append(child.tag)
    if not patch.sets and not patch.removes:
        raise BadBody("a propertyupdate that sets and removes nothing")
    return patch


def lock_of(body: bytes) -> LockAsked:
    """LOCK (9.10). Raises BadBody."""
    root = _root(body, "lockinfo")
    scope = root.find(DAV + "lockscope")
    if scope is None or len(scope) != 1 or scope[0].tag not in (DAV + "exclusive", DAV + "shared"):
        raise BadBody("a lockscope is exclusive or shared")
    if root.find(f"{DAV}locktype/{DAV}write") is None:
        raise BadBody("write locks only")
    owner = root.find(DAV + "owner")
    if owner is not None:
        owner.tail = None
    return LockAsked(
        scope[0].tag == DAV + "exclusive", "" if owner is None else tostring(owner, encoding="unicode")
    )


# --- responses ---


def live(entry: Entry, locks: list[Lock], now: int, when: tuple[str, str]) -> dict[str, str]:
    """The live properties of a resource (15), by name; `when`: its dates of creation and last change."""
    known = {
        "creationdate": escape(when[0]),
        "getlastmodified": escape(when[1]),
        "getetag": escape(entry.tag),
        "resourcetype": "<D:collection/>" if entry.is_collection() else "",
        "supportedlock": "".join(
            f"<D:lockentry><D:lockscope><D:{scope}/></D:lockscope><D:locktype><D:write/></D:locktype></D:lockentry>"
            for scope in ("exclusive", "shared")
        ),
        "lockdiscovery": "".join(active(lock, now) for lock in locks),
    }
    if not entry.is_collection():
        known["getcontentlength"] = str(entry.content.size if entry.content else 0)
        known["getcontenttype"] = escape(entry.content.kind if entry.content else "application/octet-stream")
    return known


def active(lock: Lock, now: int) -> str:
    """One activelock (14.1)."""
    scope, depth = ("exclusive" if lock.exclusive else "shared"), ("infinity" if lock.infinite else "0")
    seconds = max(0, (lock.expires - now) // SECOND)
    return (
        f"<D:activelock><D:locktype><D:write/></D:locktype><D:lockscope><D:{scope}/></D:lockscope>"
        f"<D:depth>{depth}</D:depth>{lock.owner}<D:timeout>Second-{seconds}</D:timeout>"
        f"<D:locktoken><D:href>{escape(lock.token)}</D:href></D:locktoken>"
        f"<D:lockroot><D:href>{escape(href(lock.root, False))}</D:href></D:lockroot></D:activelock>"
    )


def response(
    path: Path, entry: Entry, asked: Find, known: dict[str, str], named: Mapping[str, str] = NONE
) -> str:
    """One response of a 207 (9.1): what was found, and what was asked for and is not there.

    `named`: live properties that are told only to those who name them (RFC 4331 3, RFC 6578 4).
    """
    if asked.names:
        known = {**known, **named}
    found, missing = [], []
    if asked.names:
        for name in asked.names:
            if name.startswith(DAV) and name[len(DAV) :] in known:
                found.append(_element(name, known[name[len(DAV) :]]))
            elif name in entry.properties:
                found.append(entry.properties[name])
            else:
                missing.append(_element(name, ""))
    else:
        found = [_element(DAV + name, "" if asked.names_only else value) for name, value in known.items()]
        found += [
            _element(name, "") if asked.names_only else value for name, value in entry.properties.items()
        ]
    parts = [_propstat(found, "200 OK")] if found or not missing else []
    parts += [_propstat(missing, "404 Not Found")] if missing else []
    return _response(path, entry, "".join(parts))


def _response(path: Path, entry: Entry, inner: str) -> str:
    where = escape(href(path, entry.is_collection()))
    return f"<D:response><D:href>{where}</D:href>{inner}</D:response>\n"


def gone(path: Path) -> str:
    """One response of a sync-collection for what is no longer there (RFC 6578 3.4)."""
    return (
        f"<D:response><D:href>{escape(href(path, False))}</D:href>"
        "<D:status>HTTP/1.1 404 Not Found</D:status></D:response>\n"
    )


def cut_short(path: Path) -> str:
    """The response that says that more changed than is told here (RFC 6578 3.6)."""
    return (
        f"<D:response><D:href>{escape(href(path, True))}</D:href>"
        "<D:status>HTTP/1.1 507 Insufficient Storage</D:status>"
        "<D:error><D:number-of-matches-within-limits/></D:error></D:response>\n"
    )


def patched(path: Path, entry: Entry, names: Iterable[str], status: str) -> str:
    """The body of a PROPPATCH's answer: all names with one status, for it is done whole or not at all."""
    inner = _propstat([_element(name, "") for name in names], status)
    return f"{HEAD}{_response(path, entry, inner)}{TAIL}"


def locked(lock: Lock, now: int) -> str:
    """The body of a LOCK's answer."""
    head = '<?xml version="1.0" encoding="utf-8"?>\n<D:prop xmlns:D="DAV:"><D:lockdiscovery>'
    return f"{head}{active(lock, now)}</D:lockdiscovery></D:prop>\n"


def error(condition: str, roots: Iterable[Path] = ()) -> str:
    """An error element with a precondition code (16), and the roots of locks in the way."""
    inner = "".join(f"<D:href>{escape(href(root, False))}</D:href>" for root in roots)
    head = '<?xml version="1.0" encoding="utf-8"?>\n<D:error xmlns:D="DAV:">'
    return f"{head}<D:{condition}>{inner}</D:{condition}></D:error>\n"


def _propstat(elements: list[str], status: str) -> str:
    return (
        f"<D:propstat><D:prop>{''.join(elements)}</D:prop><D:status>HTTP/1.1 {status}</D:status></D:propstat>"
    )


def _element(name: str, value: str) -> str:
    space, _, local = name.rpartition("}")
    if space == "{DAV:":
        return f"<D:{local}>{value}</D:{local}>"
    return (
        f'<N:{local} xmlns:N="{escape(space[1:])}">{value}</N:{local}>'
        if space
        else f"<{local}>{value}</{local}>"
    )
