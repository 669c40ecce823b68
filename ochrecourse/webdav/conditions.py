"""Conditional requests: RFC 9110 section 13 and the If header of RFC 4918 section 10.4. Free of I/O."""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from email.utils import parsedate_to_datetime
from typing import NamedTuple

from ochrecourse.webdav.paths import InvalidPathError, Path, parse_destination

IF_TOKEN = re.compile(
    r"\s*(?:(?P<not>Not)\b|<(?P<uri>[^<>\s]*)>|\[(?P<etag>[^\[\]]*)\]|(?P<open>\()|(?P<close>\)))", re.I
)
ETAG = re.compile(r'\s*(?P<weak>W/)?(?P<tag>"[\x21\x23-\x7e\x80-\xff]*")\s*')


class InvalidConditionError(Exception):
    """A header that is not valid; the response is 400."""


class EntityTag(NamedTuple):
    """An entity tag with its quotes."""

    tag: str
    weak: bool


@dataclass(frozen=True)
class Resource:
    """What conditions are evaluated against. `tag` is None if unmapped; `modified` in s since 1970."""

    tag: str | None
    modified: int = 0


# --- RFC 9110 ---


def parse_entity_tags(value: str) -> list[EntityTag] | None:
    """Parses the value of If-Match or If-None-Match; None for `*`. Raises InvalidConditionError."""
    if value.strip() == "*":
        return None
    tags: list[EntityTag] = []
    position = 0
    while position < len(value):
        found = ETAG.match(value, position)
        if found is None:
            raise InvalidConditionError(f"{value[position : position + 20]!r} is no entity tag")
        tags.append(EntityTag(found["tag"], bool(found["weak"])))
        position = found.end()
        if position < len(value):
            if value[position] != ",":
                raise InvalidConditionError("entity tags are parted by commas")
            position += 1
    if not tags:
        raise InvalidConditionError("no entity tag")
    return tags


def parse_http_date(value: str) -> int | None:
    """Returns an HTTP date in s since 1970; None if it is not valid: its header is then ignored (13.1.3)."""
    try:
        return int(parsedate_to_datetime(value).timestamp())
    except (ValueError, TypeError, OverflowError):
        return None


def evaluate(headers: Mapping[str, str], resource: Resource, is_read: bool) -> int | None:
    """Evaluates the conditions in the order of section 13.2.2: returns 304 or 412, None if all are met.

    `headers` by lower-case name; `is_read`: the method is GET or HEAD. Raises InvalidConditionError.
    """
    if "if-match" in headers:
        tags = parse_entity_tags(headers["if-match"])
        if tags is None:
            if resource.tag is None:
                return 412
        elif not any(each.tag == resource.tag and not each.weak for each in tags):
            return 412
    elif "if-unmodified-since" in headers and resource.tag is not None:
        since = parse_http_date(headers["if-unmodified-since"])
        if since is not None and resource.modified > since:
            return 412
    if "if-none-match" in headers:
        tags = parse_entity_tags(headers["if-none-match"])
        matched = resource.tag is not None and (
            tags is None or any(each.tag == resource.tag for each in tags)
        )
        if matched:
            return 304 if is_read else 412
    elif is_read and "if-modified-since" in headers and resource.tag is not None:
        since = parse_http_date(headers["if-modified-since"])
        if since is not None and resource.modified <= since:
            return 304
    return None


def range_applies(headers: Mapping[str, str], resource: Resource) -> bool:
    """Returns whether Range applies, given If-Range (13.1.5): a strong match, or the exact date."""
    if "range" not in headers:
        return False
    value = headers.get("if-range")
    if value is None:
        return True
    if '"' in value:
        return value.strip() == resource.tag
    return parse_http_date(value) == resource.modified


class ByteRange(NamedTuple):
    """Bytes `first` to `last`, both included."""

    first: int
    last: int


MAX_RANGES = 16  # of one request; more only serve to load the server


def parse_ranges(value: str, size: int) -> list[ByteRange] | None:
    """Returns the ranges of a Range header for an object of `size` bytes (14.1.2).

    None: the header is ignored. An empty list: the response is 416.
    """
    unit, _, range_set = value.partition("=")
    if unit.strip().lower() != "bytes" or not range_set:
        return None
    ranges: list[ByteRange] = []
    specifiers = [specifier.strip() for specifier in range_set.split(",")]
    if len(specifiers) > MAX_RANGES:
        return None
    for specifier in specifiers:
        first, dash, last = specifier.partition("-")
        if not dash or not (first + last).isascii() or not (first + last).isdigit():
            return None
        if not first:
            if int(last) and size:
                ranges.append(ByteRange(max(0, size - int(last)), size - 1))
        elif last and int(last) < int(first):
            return None
        elif int(first) < size:
            ranges.append(ByteRange(int(first), min(int(last), size - 1) if last else size - 1))
    return _merge_ranges(ranges)


def _merge_ranges(ranges: list[ByteRange]) -> list[ByteRange]:
    """Sorts ranges and joins overlapping and adjacent ones, so that the object is read once (14.2)."""
    joined: list[ByteRange] = []
    for each in sorted(ranges):
        if joined and each.first <= joined[-1].last + 1:
            joined[-1] = ByteRange(joined[-1].first, max(joined[-1].last, each.last))
        else:
            joined.append(each)
    return joined


# --- RFC 4918 10.4 ---


class Term(NamedTuple):
    """A condition of a list: a state token or an entity tag, possibly negated."""

    negated: bool
    token: str | None
    tag: EntityTag | None


class ConditionList(NamedTuple):
    """A list of conditions; `path` is the tagged resource, None for the request's own."""

    path: Path | None
    terms: tuple[Term, ...]


def parse_if(value: str, host: str) -> list[ConditionList]:
    """Parses an If header. Raises InvalidConditionError, also for a resource on another host."""
    lists: list[ConditionList] = []
    path: Path | None = None
    tagged = untagged = negated = False
    terms: list[Term] | None = None
    position = 0
    while position < len(value.rstrip()):
        found = IF_TOKEN.match(value, position)
        if found is None:
            raise InvalidConditionError(f"{value[position : position + 20]!r} was not expected in If")
        position = found.end()
        if found["open"]:
            if terms is not None:
                raise InvalidConditionError("a parenthesis inside a parenthesis")
            terms, untagged = [], untagged or not tagged
        elif found["close"]:
            if not terms or negated:
                raise InvalidConditionError("an empty list, or one that ends with Not")
            lists.append(ConditionList(path, tuple(terms)))
            terms = None
        elif terms is None:
            if found["uri"] is None:
                raise InvalidConditionError("a condition outside a parenthesis")
            if untagged and not tagged:
                raise InvalidConditionError("tagged and untagged lists in one header")
            tagged, path = True, _tagged_path(found["uri"], host)
        elif found["not"]:
            if negated:
                raise InvalidConditionError("Not Not")
            negated = True
        else:
            tag = None
            if found["etag"] is not None:
                tags = parse_entity_tags(found["etag"])
                if tags is None or len(tags) != 1:
                    raise InvalidConditionError("one entity tag in brackets")
                tag = tags[0]
            terms.append(Term(negated, found["uri"], tag))
            negated = False
    if terms is not None or not lists:
        raise InvalidConditionError("a list that is not closed, or none at all")
    return lists


def _tagged_path(uri: str, host: str) -> Path:
    """Returns the path of a Resource-Tag. Raises InvalidConditionError."""
    try:
        return parse_destination(uri, host).path
    except InvalidPathError as error:
        raise InvalidConditionError(f"the tagged resource: {error}") from None


def if_holds(
    lists: Sequence[ConditionList],
    own: Path,
    tag_of: Callable[[Path], str | None],
    tokens_of: Callable[[Path], frozenset[str]],
) -> bool:
    """Returns whether any list holds, that is, all its terms match their resource (10.4.3)."""

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


def submitted_tokens(lists: Sequence[ConditionList]) -> frozenset[str]:
    """Returns the lock tokens that a request submits: all in its lists, negated ones too (10.4.1)."""
    return frozenset(term.token for each in lists for term in each.terms if term.token is not None)
