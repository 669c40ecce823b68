"""Conversion between request targets and paths of the namespace. Free of I/O.

A path is a tuple of segments in Unicode normalization form C (NFC). RFC 3986 sections 5.2.4 and 6.2.2, RFC
4918 sections 5.2 and 8.3.
"""

from __future__ import annotations

import unicodedata
from functools import lru_cache
from typing import NamedTuple
from urllib.parse import quote, unquote_to_bytes, urlsplit

MAX_SEGMENT_BYTES = 255  # in UTF-8; what the file systems of clients support
PARSE_CACHE_SIZE = 8192  # targets; clients request the same ones again
MAX_SEGMENTS = 64  # of one path; a deeper tree is probably a client's error

Path = tuple[str, ...]


class InvalidPathError(Exception):
    """A path that is not valid; `status` is that of the response, the text its body."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class Target(NamedTuple):
    """A request target. `collection`: it ends with a slash, so it denotes a collection."""

    path: Path
    collection: bool


@lru_cache(PARSE_CACHE_SIZE)
def parse(target: str) -> Target:
    """Parses an origin-form target (RFC 9112 3.2.1). Raises InvalidPathError."""
    if not target.startswith("/"):
        raise InvalidPathError(400, "the target is no absolute path")
    raw, _, query = target.partition("?")
    if query or "#" in target:
        raise InvalidPathError(400, "a query or fragment has no meaning here")
    segments: list[str] = []
    raw_segments = raw.split("/")[1:]
    for raw_segment in raw_segments:
        segment = _segment(raw_segment)
        if segment == "..":
            if not segments:
                raise InvalidPathError(400, "the path leaves the root")
            segments.pop()
        elif segment not in ("", "."):
            segments.append(segment)
    if len(segments) > MAX_SEGMENTS:
        raise InvalidPathError(414, f"more than {MAX_SEGMENTS} segments")
    return Target(tuple(segments), raw_segments[-1] in ("", ".", ".."))


def _segment(raw_segment: str) -> str:
    """Decodes and normalizes one segment. Raises InvalidPathError."""
    position = 0
    while (position := raw_segment.find("%", position)) >= 0:
        if len(raw_segment) < position + 3 or not all(
            digit in "0123456789abcdefABCDEF" for digit in raw_segment[position + 1 : position + 3]
        ):
            raise InvalidPathError(400, "a percent sign without two hexadecimal digits")
        position += 3
    try:
        segment = unquote_to_bytes(raw_segment).decode("utf-8")
    except UnicodeDecodeError:
        raise InvalidPathError(400, "the path is not UTF-8") from None
    if "/" in segment or "\\" in segment:
        raise InvalidPathError(400, "an encoded slash in a segment")
    if any(ord(char) < 32 or ord(char) == 127 for char in segment):
        raise InvalidPathError(400, "a control character in the path")
    segment = unicodedata.normalize("NFC", segment)
    if len(segment.encode()) > MAX_SEGMENT_BYTES:
        raise InvalidPathError(414, f"a segment of more than {MAX_SEGMENT_BYTES} bytes")
    return segment


def parse_destination(value: str, host: str) -> Target:
    """Parses a Destination header (RFC 4918 10.3): an absolute URI on this host, or an absolute path.

    Raises InvalidPathError.
    """
    if value.startswith("/"):
        return parse(value)
    split = urlsplit(value)
    if split.scheme not in ("http", "https") or not split.netloc:
        raise InvalidPathError(400, "Destination is no absolute URI")
    if split.netloc.rpartition("@")[2].lower() != host.lower():
        raise InvalidPathError(502, "Destination is on another host")
    if split.query or split.fragment:
        raise InvalidPathError(400, "a query or fragment has no meaning here")
    return parse(split.path or "/")


def href(path: Path, collection: bool) -> str:
    """Returns the percent-encoded path for an href element."""
    text = "/" + "/".join(quote(segment, safe="!$&'()*+,;=:@-._~") for segment in path)
    return text + "/" if collection and path else text


def is_within(path: Path, ancestor: Path) -> bool:
    """Returns whether a path equals `ancestor` or is below it."""
    return path[: len(ancestor)] == ancestor
