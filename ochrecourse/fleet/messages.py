"""The messages of a link between two gateways: headers, bodies, limits, and how each is encoded and decoded.

A frame is a header line of JSON and, where the header says so, a body behind it. In which form bodies go is
said in forms.py; a decoder takes any form that is spoken here. What is no message raises `BadPeer`, the
exception for every mistake of the other side.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any

import msgspec

from ochrecourse.fleet.entries import Entry
from ochrecourse.fleet.forms import FIRST, PACKED

LONGEST_HEADER = 4096  # bytes of a header line; the largest, a fault, stays far below
LONGEST_BODY = 262_144  # bytes behind one header; one entry of the largest body that settings allow fits
LONGEST_NAME = 64  # bytes of a gateway's or fleet's name, as in the settings
SLOW = "slow"  # the mistakes that may be the network's
DAMAGED = "damaged"
FORM = "form"  # the next program that is started there may speak the form in force
RESTLESS = frozenset((SLOW, DAMAGED, FORM))  # mistakes for which no rest is given


class BadPeer(Exception):
    """A peer's mistake, which ends the link. `code` is for counters, the text for people."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(text)
        self.code = code


class Header(msgspec.Struct, tag_field="m", omit_defaults=True, kw_only=True, gc=False):
    """What all headers have: how many bytes follow; its number among the frames of its side, from 1 (0: not
    numbered); `fresh`: nothing from here on rests on what was sent before. `form` of the body (0: the first
    one), and its CRC-32 where the form has one."""

    body: int = 0
    n: int = 0
    fresh: bool = False
    form: int = 0
    sum: int = 0


class Hello(Header, tag="hello"):
    """The first frame of each side. `version`: the form in force there; `oldest`, `newest`: what it speaks,
    0 where it is a program that speaks `version` alone."""

    version: int
    fleet: str
    name: str
    life: int
    zone: int = 0
    oldest: int = 0
    newest: int = 0


class Have(Header, tag="have"):
    """Body: [[writer, life, seq], ...]: how far this side holds streams. `more`: there is a rest to
    come of its first telling."""

    more: bool = False


class Rows(Header, tag="rows"):
    """Body: a list of `Step`. The sign of life of the link, sent every beat."""


class Entries(Header, tag="entries"):
    """Body: a list of entries, each stream in order and without a gap."""


class Piece(Header, tag="piece"):
    """Body: a part of the JSON of a snapshot, or of the holes that snapshots stand for, in order."""

    last: bool = True


class Enough(Header, tag="enough"):
    """Body: names of gateways whose news come from elsewhere."""


class Again(Header, tag="again"):
    """Body: names of gateways whose news are to come again."""


class Lost(Header, tag="lost"):
    """A frame is missing: begin anew."""


class Fault(Header, tag="fault"):
    """The other side made this mistake; the link ends."""

    code: str
    text: str


class Bye(Header, tag="bye"):
    """The link ends, and nobody did anything wrong."""

    reason: str = ""


class More(msgspec.Struct, omit_defaults=True, gc=False):
    """What of a row changed beyond its beat and stamps; with `life` it is a whole row."""

    life: int | None = None
    zone: int | None = None
    seq: int | None = None
    head: bytes | None = None
    before: tuple[tuple[int, int], ...] | None = None
    told: dict[str, bytes] = {}
    gone: tuple[str, ...] = ()


# A row against the one before on this link: name, beats, ms and turn of the promise, of the floor, the rest.
Step = tuple[str, int, int, int, int, int, More | None]

_headers = msgspec.json.Decoder(Hello | Have | Rows | Entries | Piece | Enough | Again | Lost | Fault | Bye)
_types: Mapping[type[Header], Any] = {
    Have: list[tuple[str, int, int]],
    Rows: list[Step],
    Entries: list[Entry],
    Enough: list[str],
    Again: list[str],
}
_bodies: Mapping[int, Mapping[type[Header], Any]] = {
    FIRST: {kind: msgspec.json.Decoder(of) for kind, of in _types.items()},
    PACKED: {kind: msgspec.msgpack.Decoder(of) for kind, of in _types.items()},
}
_WITH_BODY = frozenset((*_types, Piece))
_encoders: Mapping[int, Callable[[Any], bytes]] = {FIRST: msgspec.json.encode, PACKED: msgspec.msgpack.encode}


def frame(header: Header, body: bytes = b"") -> bytes:
    """A frame as it is sent."""
    header.body = len(body)
    return msgspec.json.encode(header) + b"\r\n" + body


def encode_body(value: Any, form: int) -> bytes:
    return _encoders[form](value)


def encode_list(parts: Iterable[bytes], form: int) -> bytes:
    """A list of what is encoded already."""
    return _encoders[form]([msgspec.Raw(part) for part in parts])


def decode_header(line: bytes) -> Header:
    """Raises BadPeer, also where the header announces a body that may not be."""
    try:
        header: Header = _headers.decode(line)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as trouble:
        raise BadPeer("bad_header", f"a header that is none: {trouble}") from None
    if not 0 <= header.body <= LONGEST_BODY:
        raise BadPeer("oversize", f"{tag_of(header)} with {header.body} bytes; at most {LONGEST_BODY}")
    if header.body and type(header) not in _WITH_BODY:
        raise BadPeer("bad_header", f"{tag_of(header)} has no body")
    return header


def decode_body(header: Header, body: bytes) -> Any:
    """What the body of a message says; None where it has none, or brings a piece. Raises BadPeer."""
    decoder = _bodies[header.form or FIRST].get(type(header))
    if decoder is None:
        return None
    try:
        return decoder.decode(body)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as trouble:
        raise BadPeer("bad_body", f"{tag_of(header)} whose body is none: {trouble}") from None


def tag_of(header: Header) -> str:
    """The name of a message on the wire."""
    return str(type(header).__struct_config__.tag)
