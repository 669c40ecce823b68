"""The messages of a link between two gateways: headers, bodies, limits, and how each is encoded and decoded.

A frame is a header line of JSON, followed by a body if the header gives a body size. format_versions.py
decides in which format version bodies are sent; every version that this program supports is decoded. An
invalid message raises `PeerProtocolError`, the exception for every protocol violation of a peer.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any

import msgspec

from ochrecourse.fleet.entries import Entry
from ochrecourse.fleet.format_versions import FIRST_VERSION, PACKED_VERSION

MAX_HEADER_BYTES = 4096  # bytes of a header line; the largest, an error notice, stays far below
MAX_BODY_BYTES = 262_144  # bytes; an entry with the largest value that the settings allow fits in one
MAX_NAME_BYTES = 64  # bytes of the name of a gateway or fleet, as in the settings
SLOW = "slow"  # this and DAMAGED may be caused by the network
DAMAGED = "damaged"
FORMAT_VERSION = "form"  # a peer that is restarted with another release may support the version in force
NO_PENALTY_CODES = frozenset(
    (SLOW, DAMAGED, FORMAT_VERSION)
)  # violations after which a peer is dialled again without a penalty


class PeerProtocolError(Exception):
    """A protocol violation by a peer, which ends the link. Counters use `code`; the text is for operators."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(text)
        self.code = code


class Header(msgspec.Struct, tag_field="m", omit_defaults=True, kw_only=True, gc=False):
    """Fields common to all headers.

    `body_size` is in bytes. `frame_number` counts the frames of the sender from 1; 0 means not numbered.
    `starts_over`: this frame and later ones do not depend on frames before it. `format_version` is that of
    the body, 0 for the first one; `checksum` is the body's CRC-32 in versions that have one.
    """

    body_size: int = msgspec.field(default=0, name="body")
    frame_number: int = msgspec.field(default=0, name="n")
    starts_over: bool = msgspec.field(default=False, name="fresh")
    format_version: int = msgspec.field(default=0, name="form")
    checksum: int = msgspec.field(default=0, name="sum")


class Hello(Header, tag="hello"):
    """The first frame of each side.

    `version_in_force` is the format version that the sender has in force. It supports `oldest_version` to
    `newest_version`; both are 0 if it supports `version_in_force` only.
    """

    version_in_force: int = msgspec.field(name="version")
    fleet: str
    name: str
    incarnation: int = msgspec.field(name="life")
    zone: int = 0
    oldest_version: int = msgspec.field(default=0, name="oldest")
    newest_version: int = msgspec.field(default=0, name="newest")


class StreamPositions(Header, tag="have"):
    """Body: [[writer, incarnation, seq], ...], the last entry of each stream that the sender stores.

    `has_more`: the sender's first list of positions continues in another frame.
    """

    has_more: bool = msgspec.field(default=False, name="more")


class HeartbeatBatch(Header, tag="rows"):
    """Body: a list of `HeartbeatDelta`. Sent every interval, even if empty: it keeps the link alive."""


class Entries(Header, tag="entries"):
    """Body: a list of entries, in order and without gaps within each stream, except entries sent early."""


class SnapshotChunk(Header, tag="piece"):
    """Body: the next chunk of the JSON of a snapshot, or of the holes that snapshots leave in streams."""

    is_last: bool = msgspec.field(default=True, name="last")


class StopRelaying(Header, tag="enough"):
    """Body: names of gateways whose heartbeats and entries the sender receives from another peer."""


class ResumeRelaying(Header, tag="again"):
    """Body: names of gateways whose heartbeats and entries the sender wants to receive again."""


class FrameMissing(Header, tag="lost"):
    """The sender missed a frame: the receiver must restart its side of the exchange."""


class ErrorNotice(Header, tag="fault"):
    """The receiver violated the protocol; the link ends."""

    code: str
    text: str


class Goodbye(Header, tag="bye"):
    """The link ends without an error."""

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
    """Changed fields of a heartbeat other than number and timestamps; all fields if `incarnation` is set."""

    incarnation: int | None = None
    zone: int | None = None
    seq: int | None = None
    head_hash: bytes | None = None
    earlier_incarnations: tuple[tuple[int, int], ...] | None = None
    statuses: dict[str, bytes] = {}
    removed_statuses: tuple[str, ...] = ()


# A heartbeat relative to the previous one of the same gateway on this link: name, difference of the numbers;
# difference of ms and the counter of the promise; the same of the watermark; changes of other fields.
HeartbeatDelta = tuple[str, int, int, int, int, int, HeartbeatChanges | None]

_header_decoder = msgspec.json.Decoder(
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
_body_types: Mapping[type[Header], Any] = {
    StreamPositions: list[tuple[str, int, int]],
    HeartbeatBatch: list[HeartbeatDelta],
    Entries: list[Entry],
    StopRelaying: list[str],
    ResumeRelaying: list[str],
}
_body_decoders: Mapping[int, Mapping[type[Header], Any]] = {
    FIRST_VERSION: {
        message_type: msgspec.json.Decoder(body_type) for message_type, body_type in _body_types.items()
    },
    PACKED_VERSION: {
        message_type: msgspec.msgpack.Decoder(body_type) for message_type, body_type in _body_types.items()
    },
}
_TYPES_WITH_BODY = frozenset((*_body_types, SnapshotChunk))
_encoders: Mapping[int, Callable[[Any], bytes]] = {
    FIRST_VERSION: msgspec.json.encode,
    PACKED_VERSION: msgspec.msgpack.encode,
}


def encode_frame(header: Header, body: bytes = b"") -> bytes:
    """Encodes a frame; sets the header's `body_size`."""
    header.body_size = len(body)
    return msgspec.json.encode(header) + b"\r\n" + body


def encode_body(value: Any, format_version: int) -> bytes:
    """Encodes a body in a format version."""
    return _encoders[format_version](value)


def encode_list(items: Iterable[bytes], format_version: int) -> bytes:
    """Encodes a list of items that are already encoded in that format version."""
    return _encoders[format_version]([msgspec.Raw(item) for item in items])


def decode_header(line: bytes) -> Header:
    """Decodes a header line. Raises PeerProtocolError for an invalid header or body size."""
    try:
        header: Header = _header_decoder.decode(line)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise PeerProtocolError("bad_header", f"a header that is none: {error}") from None
    if not 0 <= header.body_size <= MAX_BODY_BYTES:
        raise PeerProtocolError(
            "oversize", f"{tag_of(header)} with {header.body_size} bytes; at most {MAX_BODY_BYTES}"
        )
    if header.body_size and type(header) not in _TYPES_WITH_BODY:
        raise PeerProtocolError("bad_header", f"{tag_of(header)} has no body")
    return header


def decode_body(header: Header, body: bytes) -> Any:
    """Decodes a body; returns None for messages without one and for snapshot chunks.

    Raises PeerProtocolError.
    """
    decoder = _body_decoders[header.format_version or FIRST_VERSION].get(type(header))
    if decoder is None:
        return None
    try:
        return decoder.decode(body)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise PeerProtocolError("bad_body", f"{tag_of(header)} whose body is none: {error}") from None


def tag_of(header: Header) -> str:
    """Returns the name of a message on the wire."""
    return str(type(header).__struct_config__.tag)
