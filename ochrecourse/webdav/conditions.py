"""Conditions of requests: RFC 9110 section 13 in its order, RFC 4918 section 10.4 (`If`) in full. Free of
I/O.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from email.utils import parsedate_to_datetime
from typing import NamedTuple

from ochrecourse.webdav.paths import BadPath, Path, destination

TOKEN = re.compile(
    r"\s*(?:(?P<not>Not)\b|<(?P<uri>[^<>\s]*)>|\[(?P<etag>[^\[\]]*)\]|(?P<open>\()|(?P<close>\)))", re.I
)
ETAG = re.compile(r'\s*(?P<weak>W/)?(?P<tag>"[\x21\x23-\x7e\x80-\xff]*")\s*')


class BadCondition(Exception):
    """A header that can't be read; a 400 is due."""


class Tag(NamedTuple):
    """An entity tag with its quotes."""

    tag: str
    weak: bool


@dataclass(frozen=True)
class Resource:
    """What conditions are held against. `tag` is None where nothing is mapped; `modified` in s since 1970."""

    tag: str | None
    modified: int = 0


# --- RFC 9110 ---


def tags_of(value: str) -> list[Tag] | None:
    """The list of an If-Match or If-None-Match header; None for `*`. Raises BadCondition."""
    if value.strip() == "*":
        return None
    tags: list[Tag] = []
    at = 0
    while at < len(value):
        found = ETAG.match(value, at)
        if found is None:
            raise BadCondition(f"{value[at : at + 20]!r} is no entity tag")
        tags.append(Tag(found["tag"], bool(found["weak"])))
        at = found.end()
        if at < len(value):
            if value[at] != ",":
                raise BadCondition("entity tags are parted by commas")
            at += 1
    if not tags:
        raise BadCondition("no entity tag")
    return tags


def date_of(value: str) -> int | None:
    """An HTTP date in s since 1970; None if it is none, in which case the header is ignored (13.1.3)."""
    try:
        return int(parsedate_to_datetime(value).timestamp())
    except (ValueError, TypeError, OverflowError):
        return None


def evaluate(headers: Mapping[str, str], resource: Resource, reading: bool) -> int | None:
    """The status that the conditions ask for, in the order of section 13.2.2; None if the method goes on.

    `headers` by lower-case name; `reading`: the method is GET or HEAD. Raises BadCondition.
    """
    if "if-match" in headers:
        wanted = tags_of(headers["if-match"])
        if wanted is None:
            if resource.tag is None:
                return 412
        elif not any(each.tag == resource.tag and not each.weak for each in wanted):
            return 412
    elif "if-unmodified-since" in headers and resource.tag is not None:
        since = date_of(headers["if-unmodified-since"])
        if since is not None and resource.modified > since:
            return 412
    if "if-none-match" in headers:
        wanted = tags_of(headers["if-none-match"])
        same = resource.tag is not None and (
            wanted is None or any(each.tag == resource.tag for each in wanted)
        )
        if same:
            return 304 if reading else 412
    elif reading and "if-modified-since" in headers and resource.tag is not None:
        since = date_of(headers["if-modified-since"])
        if since is not None and resource.modified <= since:
            return 304
    return None


def range_applies(headers: Mapping[str, str], resource: Resource) -> bool:
    """Whether a Range header is to be followed, by If-Range (13.1.5): a strong match, or the exact date."""
    if "range" not in headers:
        return False
    value = headers.get("if-range")
    if value is None:
        return True
    if '"' in value:
        return value.strip() == resource.tag
    return date_of(value) == resource.modified


class Slice(NamedTuple):
    """Bytes `first` to `last`, both included."""

    first: int
    last: int


MOST_RANGES = 16  # in one request; more is a way to make a server work, not to read


def ranges_of(value: str, size: int) -> list[Slice] | None:
    """The ranges of a Range header against a size (14.1.2); None: ignore it. An empty list: 416 is due."""
    unit, _, said = value.partition("=")
    if unit.strip().lower() != "bytes" or not said:
        return None
    slices: list[Slice] = []
    parts = [part.strip() for part in said.split(",")]
    if len(parts) > MOST_RANGES:
        return None
    for part in parts:
        first, dash, last = part.partition("-")
        if not dash or not (first + last).isascii() or not (first + last).isdigit():
            return None
        if not first:
            if int(last) and size:
                slices.append(Slice(max(0, size - int(last)), size - 1))
        elif last and int(last) < int(first):
            return None
        elif int(first) < size:
            slices.append(Slice(int(first), min(int(last), size - 1) if last else size - 1))
    return _apart(slices)


def _apart(slices: list[Slice]) -> list[Slice]:
    """In order, overlaps and neighbours joined: an answer streams through the object once (14.2)."""
    joined: list[Slice] = []
    for each in sorted(slices):
        if joined and each.first <= joined[-1].last + 1:
            joined[-1] = Slice(joined[-1].first, max(joined[-1].last, each.last))
        else:
            joined.append(each)
    return joined


# --- RFC 4918 10.4 ---


class Term(NamedTuple):
    """One condition of a list: a state token or an entity tag, perhaps negated."""

    negated: bool
    token: str | None
    tag: Tag | None


class ConditionList(NamedTuple):
    """One parenthesis; `path` is the tagged resource, None for the request's own."""

    path: Path | None
    terms: tuple[Term, ...]


def parse_if(value: str, host: str) -> list[ConditionList]:
    """The lists of an If header. Raises BadCondition; a tag on another host can match nothing and is told as
    such.
    """
    lists: list[ConditionList] = []
    path: Path | None = None
    tagged = untagged = negated = False
    terms: list[Term] | None = None
    at = 0
    while at < len(value.rstrip()):
        found = TOKEN.match(value, at)
        if found is None:
            raise BadCondition(f"{value[at : at + 20]!r} was not expected in If")
        at = found.end()
        if found["open"]:
            if terms is not None:
                raise BadCondition("a parenthesis inside a parenthesis")
            terms, untagged = [], untagged or not tagged
        elif found["close"]:
            if not terms or negated:
                raise BadCondition("an empty list, or one that ends with Not")
            lists.append(ConditionList(path, tuple(terms)))
            terms = None
        elif terms is None:
            if found["uri"] is None:
                raise BadCondition("a condition outside a parenthesis")
            if untagged and not tagged:
                raise BadCondition("tagged and untagged lists in one header")
            tagged, path = True, _tagged(found["uri"], host)
        elif found["not"]:
            if negated:
                raise BadCondition("Not Not")
            negated = True
        else:
            tag = None
            if found["etag"] is not None:
                said = tags_of(found["etag"])
                if said is None or len(said) != 1:
                    raise BadCondition("one entity tag in brackets")
                tag = said[0]
            terms.append(Term(negated, found["uri"], tag))
            negated = False
    if terms is not None or not lists:
        raise BadCondition("a list that is not closed, or none at all")
    return lists


def _tagged(uri: str, host: str) -> Path:
    try:
        return destination(uri, host).path
    except BadPath as trouble:
        raise BadCondition(f"the tagged resource: {trouble}") from None


def if_holds(
    lists: Sequence[ConditionList],
    own: Path,
    tag_of: Callable[[Path], str | None],
    tokens_of: Callable[[Path], frozenset[str]],
) -> bool:
    """Whether any list holds: each term of it against its resource (10.4.3)."""

    def holds(term: Term, path: Path) -> bool:
        if term.token is not None:
            matches = term.token in tokens_of(path)
        else:
            assert term.tag is not None
            matches = term.tag.tag == tag_of(path) and not term.tag.weak
        return matches != term.negated

    return any(
        all(holds(term, own if each.path is None else each.path) for term in each.terms) for each in lists
    )


def submitted(lists: Sequence[ConditionList]) -> frozenset[str]:
    """The lock tokens that a request submits: those named in any list, Not or not (10.4.1)."""
    return frozenset(term.token for each in lists for term in each.terms if term.token is not None)
