"""The messages of a link between two gateways: headers, bodies, limits, and how each is encoded and decoded.

A frame is a header line of JSON and, where the header says so, a body behind it. In which form bodies go is
said in format_versions.py; a decoder takes any form that is spoken here. What is no message raises
`PeerProtocolError`, the exception for every mistake of the other side.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any

import msgspec

from ochrecourse.fleet.entries import Entry
from ochrecourse.fleet.format_versions import FIRST_VERSION, PACKED_VERSION

MAX_HEADER_BYTES = 4096  # bytes of a header line; the largest, a fault, stays far below
MAX_BODY_BYTES = 262_144  # bytes behind one header; one entry of the largest body that settings allow fits
MAX_NAME_BYTES = 64  # bytes of a gateway's or fleet's name, as in the settings
SLOW = "slow"  # the mistakes that may be the network's
DAMAGED = "damaged"
FORMAT_VERSION = "form"  # the next program that is started there may speak the form in force
NO_PENALTY_CODES = frozenset((SLOW, DAMAGED, FORMAT_VERSION))  # mistakes for which no rest is given


class PeerProtocolError(Exception):
    """A peer's mistake, which ends the link. `code` is for counters, the text for people."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(text)
        self.code = code


class Header(msgspec.Struct, tag_field="m", omit_defaults=True, kw_only=True, gc=False):
    """What all headers have: how many bytes follow; its number among the frames of its side, from 1 (0: not
    numbered); `starts_over`: nothing from here on rests on what was sent before. `format_version` of the
    body (0: the first one), and its CRC-32 where the form has one."""

    body_size: int = msgspec.field(default=0, name="body")
    frame_number: int = msgspec.field(default=0, name="n")
    starts_over: bool = msgspec.field(default=False, name="fresh")
    format_version: int = msgspec.field(default=0, name="form")
    checksum: int = msgspec.field(default=0, name="sum")


class Hello(Header, tag="hello"):
    """The first frame of each side. `version`: the form in force there; `oldest`, `newest`: what it speaks,
    0 where it is a program that speaks `version` alone."""

    version_in_force: int = msgspec.field(name="version")
    fleet: str
    name: str
    incarnation: int = msgspec.field(name="life")
    zone: int = 0
    oldest_version: int = msgspec.field(default=0, name="oldest")
    newest_version: int = msgspec.field(default=0, name="newest")


class StreamPositions(Header, tag="have"):
    """Body: [[writer, life, seq], ...]: how far this side holds streams. `more`: there is a rest to
    come of its first telling."""

    has_more: bool = msgspec.field(default=False, name="more")


class HeartbeatBatch(Header, tag="rows"):
    """Body: a list of `HeartbeatDelta`. The sign of life of the link, sent every beat."""


class Entries(Header, tag="entries"):
    """Body: a list of entries, each stream in order and without a gap."""


class SnapshotChunk(Header, tag="piece"):
    """Body: a part of the JSON of a snapshot, or of the holes that snapshots stand for, in order."""

    is_last: bool = msgspec.field(default=True, name="last")


class StopRelaying(Header, tag="enough"):
    """Body: names of gateways whose news come from elsewhere."""


class ResumeRelaying(Header, tag="again"):
    """Body: names of gateways whose news are to come again."""


class FrameMissing(Header, tag="lost"):
    """A frame is missing: begin anew."""


class ErrorNotice(Header, tag="fault"):
    """The other side made this mistake; the link ends."""

    code: str
    text: str


class Goodbye(Header, tag="bye"):
    """The link ends, and nobody did anything wrong."""

    reason: str = ""


class HeartbeatChanges(
    msgspec.Struct,
    omit_defaults=True,
    gc=False,
    rename={
        "incarnation": "life",
        "head_hash": "head",
        "earlier_incarnations": "before",
        "statuses": "told",
        "removed_statuses": "gone",
    },
):
    """What of a row changed beyond its beat and stamps; with `life` it is a whole row."""

    incarnation: int | None = None
    zone: int | None = None
    seq: int | None = None
    head_hash: bytes | None = None
    earlier_incarnations: tuple[tuple[int, int], ...] | None = None
    statuses: dict[str, bytes] = {}
    removed_statuses: tuple[str, ...] = ()


# A row against the one before on this link: name, beats, ms and turn of the promise, of the floor, the rest.
HeartbeatDelta = tuple[str, int, int, int, int, int, HeartbeatChanges | None]

_headers = msgspec.json.Decoder(
    Hello
    | StreamPositions
    | HeartbeatBatch
    | Entries
    | SnapshotChunk
    | StopRelaying
    | ResumeRelaying
    | FrameMissing
    | ErrorNotice
    | Goodbye
)
_types: Mapping[type[Header], Any] = {
    StreamPositions: list[tuple[str, int, int]],
    HeartbeatBatch: list[HeartbeatDelta],
    Entries: list[Entry],
    StopRelaying: list[str],
    ResumeRelaying: list[str],
}
_bodies: Mapping[int, Mapping[type[Header], Any]] = {
    FIRST_VERSION: {kind: msgspec.json.Decoder(of) for kind, of in _types.items()},
    PACKED_VERSION: {kind: msgspec.msgpack.Decoder(of) for kind, of in _types.items()},
}
_WITH_BODY = frozenset((*_types, SnapshotChunk))
_encoders: Mapping[int, Callable[[Any], bytes]] = {
    FIRST_VERSION: msgspec.json.encode,
    PACKED_VERSION: msgspec.msgpack.encode,
}


def encode_frame(header: Header, body: bytes = b"") -> bytes:
    """A frame as it is sent."""
    header.body_size = len(body)
    return msgspec.json.encode(header) + b"\r\n" + body


def encode_body(value: Any, form: int) -> bytes:
    return _encoders[form](value)


def encode_list(parts: Iterable[bytes], form: int) -> bytes:
    """A list of what is encoded already."""
    return _encoders[form]([msgspec.Raw(part) for part in parts])


def decode_header(line: bytes) -> Header:
    """Raises PeerProtocolError, also where the header announces a body that may not be."""
    try:
        header: Header = _headers.decode(line)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as trouble:
        raise PeerProtocolError("bad_header", f"a header that is none: {trouble}") from None
    if not 0 <= header.body_size <= MAX_BODY_BYTES:
        raise PeerProtocolError(
            "oversize", f"{tag_of(header)} with {header.body_size} bytes; at most {MAX_BODY_BYTES}"
        )
    if header.body_size and type(header) not in _WITH_BODY:
        raise PeerProtocolError("bad_header", f"{tag_of(header)} has no body")
    return header


def decode_body(header: Header, body: bytes) -> Any:
    """What the body of a message says; None where it has none, or brings a piece. Raises
    PeerProtocolError."""
    decoder = _bodies[header.format_version or FIRST_VERSION].get(type(header))
    if decoder is None:
        return None
    try:
        return decoder.decode(body)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as trouble:
        raise PeerProtocolError("bad_body", f"{tag_of(header)} whose body is none: {trouble}") from None


def tag_of(header: Header) -> str:
    """The name of a message on the wire."""
    return str(type(header).__struct_config__.tag)
