"""Paths of requests to paths of the namespace: one settled rule for each oddity. Free of I/O.

A path is a tuple of segments in Unicode normal form C. RFC 3986 sections 5.2.4 and 6.2.2, RFC 4918 sections
5.2 and 8.3.
"""

from __future__ import annotations

import unicodedata
from functools import lru_cache
from typing import NamedTuple
from urllib.parse import quote, unquote_to_bytes, urlsplit

LONGEST_SEGMENT = 255  # bytes in UTF-8; what file systems behind clients take
REMEMBERED = 8192  # targets whose paths are kept; clients ask for the same ones again
DEEPEST = 64  # segments; a deeper tree is a mistake of a client

Path = tuple[str, ...]


class BadPath(Exception):
    """A path that is refused; `status` is the response that is due, the text says why."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class Target(NamedTuple):
    """A request target. `collection`: it ended with a slash, which asks for a collection."""

    path: Path
    collection: bool


@lru_cache(REMEMBERED)
def parse(target: str) -> Target:
    """The path of an origin-form target (RFC 9112 3.2.1). Raises BadPath."""
    if not target.startswith("/"):
        raise BadPath(400, "the target is no absolute path")
    raw, _, query = target.partition("?")
    if query or "#" in target:
        raise BadPath(400, "a query or fragment has no meaning here")
    segments: list[str] = []
    parts = raw.split("/")[1:]
    for part in parts:
        segment = _segment(part)
        if segment == "..":
            if not segments:
                raise BadPath(400, "the path leaves the root")
            segments.pop()
        elif segment not in ("", "."):
            segments.append(segment)
    if len(segments) > DEEPEST:
        raise BadPath(414, f"more than {DEEPEST} segments")
    return Target(tuple(segments), parts[-1] in ("", ".", ".."))


def _segment(part: str) -> str:
    at = 0
    while (at := part.find("%", at)) >= 0:
        if len(part) < at + 3 or not all(
            digit in "0123456789abcdefABCDEF" for digit in part[at + 1 : at + 3]
        ):
            raise BadPath(400, "a percent sign without two hexadecimal digits")
        at += 3
    try:
        segment = unquote_to_bytes(part).decode("utf-8")
    except UnicodeDecodeError:
        raise BadPath(400, "the path is not UTF-8") from None
    if "/" in segment or "\\" in segment:
        raise BadPath(400, "an encoded slash in a segment")
    if any(ord(char) < 32 or ord(char) == 127 for char in segment):
        raise BadPath(400, "a control character in the path")
    segment = unicodedata.normalize("NFC", segment)
    if len(segment.encode()) > LONGEST_SEGMENT:
        raise BadPath(414, f"a segment of more than {LONGEST_SEGMENT} bytes")
    return segment


def destination(value: str, host: str) -> Target:
    """The path of a Destination header (RFC 4918 10.3): an absolute URI on this host, or an absolute path."""
    if value.startswith("/"):
        return parse(value)
    split = urlsplit(value)
    if split.scheme not in ("http", "https") or not split.netloc:
        raise BadPath(400, "Destination is no absolute URI")
    if split.netloc.rpartition("@")[2].lower() != host.lower():
        raise BadPath(502, "Destination is on another host")
    if split.query or split.fragment:
        raise BadPath(400, "a query or fragment has no meaning here")
    return parse(split.path or "/")


def href(path: Path, collection: bool) -> str:
    """The path as a reference in a response body."""
    text = "/" + "/".join(quote(segment, safe="!$&'()*+,;=:@-._~") for segment in path)
    return text + "/" if collection and path else text


def inside(path: Path, ancestor: Path) -> bool:
    """Whether a path is the other or lies below it."""
    return path[: len(ancestor)] == ancestor
