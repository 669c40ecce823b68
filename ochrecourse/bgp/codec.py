"""BGP messages to bytes and back. Free of I/O: bytes in, messages out.

RFC 4271 sections 4 and 6 with RFC 5492 (capabilities), 6793 (four-byte AS numbers), 4760 (IPv6), 2918 (route
refresh), 7606 (revised error handling), 8654 (long messages only if negotiated, which this side never does),
9003 (shutdown text). Strict on what is malformed, exact to the byte on what is sent. Everything wrong with
input is a `Malformed`, which carries the NOTIFICATION that is due, or, for attributes where RFC 7606 asks for
less, marks an update as treated as withdrawn.
"""

from __future__ import annotations

import ipaddress
import struct
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import IntEnum

MARKER = b"\xff" * 16
HEADER = struct.Struct(">16sHB")
LONGEST = 4096  # bytes of a message without RFC 8654
AS_TRANS = 23456  # RFC 6793: stands for a four-byte AS number in two bytes
IPV4, IPV6, UNICAST = 1, 2, 1  # address families and the one subsequent family that is spoken
Network = ipaddress.IPv4Network | ipaddress.IPv6Network
Address = ipaddress.IPv4Address | ipaddress.IPv6Address


class Kind(IntEnum):
    """Message types (RFC 4271 4.1, 2918)."""

    OPEN = 1
    UPDATE = 2
    NOTIFICATION = 3
    KEEPALIVE = 4
    ROUTE_REFRESH = 5


class Code(IntEnum):
    """NOTIFICATION error codes (RFC 4271 4.5)."""

    HEADER = 1
    OPEN = 2
    UPDATE = 3
    HOLD_TIMER = 4
    FSM = 5
    CEASE = 6


# Subcodes of the header, OPEN, UPDATE, FSM (RFC 6608) and Cease (RFC 4486, 9384) codes that are used.
NOT_SYNCHRONIZED, BAD_LENGTH, BAD_TYPE = 1, 2, 3
BAD_VERSION, BAD_PEER_AS, BAD_IDENTIFIER, BAD_PARAMETER, BAD_HOLD_TIME, BAD_CAPABILITY = 1, 2, 3, 4, 6, 7
MALFORMED_ATTRIBUTES, UNKNOWN_WELL_KNOWN, INVALID_NETWORK = 1, 2, 10
IN_OPEN_SENT, IN_OPEN_CONFIRM, IN_ESTABLISHED = 1, 2, 3
SHUTDOWN, RESET, COLLISION, OUT_OF_RESOURCES = 2, 4, 7, 8


class Malformed(Exception):
    """What the other side sent is wrong; `notification` is what is due to it."""

    def __init__(self, code: Code, subcode: int, text: str, data: bytes = b"") -> None:
        super().__init__(text)
        self.notification = Notification(code, subcode, data)


# --- messages ---


@dataclass(frozen=True)
class Capability:
    """One capability (RFC 5492)."""

    code: int
    value: bytes = b""


MULTIPROTOCOL, REFRESH, FOUR_BYTE_AS = 1, 2, 65


def multiprotocol(family: int) -> Capability:
    """RFC 4760 section 8."""
    return Capability(MULTIPROTOCOL, struct.pack(">HBB", family, 0, UNICAST))


def four_byte_as(number: int) -> Capability:
    """RFC 6793 section 3."""
    return Capability(FOUR_BYTE_AS, struct.pack(">I", number))


@dataclass(frozen=True)
class Open:
    """RFC 4271 4.2. `asn` is the two-byte field; the real number may stand in a capability."""

    asn: int
    hold_time: int
    identifier: int
    capabilities: tuple[Capability, ...] = ()
    version: int = 4

    def real_asn(self) -> int:
        for capability in self.capabilities:
            if capability.code == FOUR_BYTE_AS and len(capability.value) == 4:
                return int.from_bytes(capability.value, "big")
        return self.asn

    def families(self) -> frozenset[int]:
        """Address families of unicast that it speaks; IPv4 if it names none at all."""
        named = [c.value for c in self.capabilities if c.code == MULTIPROTOCOL and len(c.value) == 4]
        if not named:
            return frozenset((IPV4,))
        return frozenset(int.from_bytes(value[:2], "big") for value in named if value[3] == UNICAST)

    def has(self, code: int) -> bool:
        return any(capability.code == code for capability in self.capabilities)


@dataclass(frozen=True)
class Notification:
    """RFC 4271 4.5. `data` of a Cease by shutdown may hold a text (RFC 9003)."""

    code: int
    subcode: int
    data: bytes = b""

    def text(self) -> str:
        """The shutdown text, made printable; empty without one."""
        if self.code != Code.CEASE or self.subcode not in (SHUTDOWN, RESET) or not self.data:
            return ""
        said = self.data[1 : 1 + self.data[0]].decode("utf-8", "replace")
        return "".join(c if c.isprintable() else "?" for c in said)


def shutdown(text: str, subcode: int = SHUTDOWN) -> Notification:
    """A Cease with a text of at most 255 bytes (RFC 9003)."""
    said = text.encode()[:255].decode("utf-8", "ignore").encode()
    return Notification(Code.CEASE, subcode, bytes((len(said),)) + said if said else b"")


@dataclass(frozen=True)
class Keepalive:
    """RFC 4271 4.4."""


@dataclass(frozen=True)
class RouteRefresh:
    """RFC 2918: send everything of this family again."""

    family: int
    subsequent: int = UNICAST


@dataclass(frozen=True)
class Attributes:
    """Path attributes of what is announced. `as_path`: four-byte numbers of one AS_SEQUENCE."""

    origin: int = 0
    as_path: tuple[int, ...] = ()
    next_hop: Address | None = None
    med: int | None = None
    local_preference: int | None = None
    communities: tuple[tuple[int, int], ...] = ()
    large_communities: tuple[tuple[int, int, int], ...] = ()


@dataclass(frozen=True)
class Update:
    """RFC 4271 4.3. `as_withdrawn`: malformed so that its routes count as withdrawn (RFC 7606 2)."""

    announced: tuple[Network, ...] = ()
    withdrawn: tuple[Network, ...] = ()
    attributes: Attributes = field(default_factory=Attributes)
    as_withdrawn: str = ""


Message = Open | Update | Notification | Keepalive | RouteRefresh

GRACEFUL_SHUTDOWN = (65535, 0)  # RFC 8326: prefer any other path


# --- bytes out ---


def encode(message: Message, four_bytes: bool = True) -> bytes:
    """A whole message. `four_bytes`: both sides speak RFC 6793. Raises ValueError if it would be too long."""
    if isinstance(message, Open):
        kind, body = Kind.OPEN, _open_body(message)
    elif isinstance(message, Update):
        kind, body = Kind.UPDATE, _update_body(message, four_bytes)
    elif isinstance(message, Notification):
        kind, body = Kind.NOTIFICATION, bytes((message.code, message.subcode)) + message.data
    elif isinstance(message, RouteRefresh):
        kind, body = Kind.ROUTE_REFRESH, struct.pack(">HBB", message.family, 0, message.subsequent)
    else:
        kind, body = Kind.KEEPALIVE, b""
    length = HEADER.size + len(body)
    if length > LONGEST:
        raise ValueError(f"a message of {length} bytes; {LONGEST} are allowed")
    return HEADER.pack(MARKER, length, kind) + body


def _open_body(message: Open) -> bytes:
    said = b"".join(bytes((each.code, len(each.value))) + each.value for each in message.capabilities)
    parameters = bytes((2, len(said))) + said if said else b""
    head = struct.pack(">BHHI", message.version, message.asn, message.hold_time, message.identifier)
    return head + bytes((len(parameters),)) + parameters


def prefix_bytes(network: Network) -> bytes:
    """RFC 4271 4.3: length in bits, then as many bytes as hold them."""
    size = (network.prefixlen + 7) // 8
    return bytes((network.prefixlen,)) + network.network_address.packed[:size]


def _attribute(flags: int, code: int, value: bytes) -> bytes:
    if len(value) > 255:
        return struct.pack(">BBH", flags | 0x10, code, len(value)) + value
    return struct.pack(">BBB", flags, code, len(value)) + value


WELL_KNOWN, OPTIONAL, TRANSITIVE = 0x40, 0x80, 0xC0


def _update_body(update: Update, four_bytes: bool) -> bytes:
    gone4 = [each for each in update.withdrawn if each.version == 4]
    gone6 = [each for each in update.withdrawn if each.version == 6]
    new4 = [each for each in update.announced if each.version == 4]
    new6 = [each for each in update.announced if each.version == 6]
    attributes = b""
    if new4 or new6:
        attributes = _path_attributes(update.attributes, bool(new4), four_bytes)
    if new6:
        hop = update.attributes.next_hop
        assert isinstance(hop, ipaddress.IPv6Address)
        reach = (
            struct.pack(">HBB", IPV6, UNICAST, 16) + hop.packed + b"\0" + b"".join(map(prefix_bytes, new6))
        )
        attributes += _attribute(OPTIONAL, 14, reach)
    if gone6:
        attributes += _attribute(
            OPTIONAL, 15, struct.pack(">HB", IPV6, UNICAST) + b"".join(map(prefix_bytes, gone6))
        )
    withdrawn = b"".join(map(prefix_bytes, gone4))
    return (
        struct.pack(">H", len(withdrawn)) + withdrawn + struct.pack(">H", len(attributes)) + attributes
        + b"".join(map(prefix_bytes, new4))
    )  # fmt: skip


def _path_attributes(said: Attributes, with_hop: bool, four_bytes: bool) -> bytes:
    """In ascending order of type (RFC 4271 appendix F.4)."""
    out = _attribute(WELL_KNOWN, 1, bytes((said.origin,)))
    path = said.as_path
    if four_bytes:
        out += _attribute(WELL_KNOWN, 2, _segment(path, ">I"))
    else:
        out += _attribute(WELL_KNOWN, 2, _segment([asn if asn < 65536 else AS_TRANS for asn in path], ">H"))
    if with_hop:
        assert isinstance(said.next_hop, ipaddress.IPv4Address)
        out += _attribute(WELL_KNOWN, 3, said.next_hop.packed)
    if said.med is not None:
        out += _attribute(OPTIONAL, 4, struct.pack(">I", said.med))
    if said.local_preference is not None:
        out += _attribute(WELL_KNOWN, 5, struct.pack(">I", said.local_preference))
    if said.communities:
        out += _attribute(TRANSITIVE, 8, b"".join(struct.pack(">HH", *each) for each in said.communities))
    if not four_bytes and any(asn > 65535 for asn in path):
        out += _attribute(TRANSITIVE, 17, _segment(path, ">I"))
    if said.large_communities:
        out += _attribute(
            TRANSITIVE, 32, b"".join(struct.pack(">III", *each) for each in said.large_communities)
        )
    return out


def _segment(path: Sequence[int], layout: str) -> bytes:
    return bytes((2, len(path))) + b"".join(struct.pack(layout, asn) for asn in path) if path else b""


# --- bytes in ---


class Decoder:
    """Bytes to messages, in any split. After a Malformed nothing more is read."""

    def __init__(self) -> None:
        self.data = bytearray()
        self.four_bytes = True
        self.over = False

    def feed(self, data: bytes) -> None:
        if not self.over:
            self.data += data

    def next(self) -> Message | None:
        """The next whole message, None if there is none yet. Raises Malformed."""
        if self.over or len(self.data) < HEADER.size:
            return None
        try:
            return self._next()
        except Malformed:
            self.over = True
            raise

    def _next(self) -> Message | None:
        marker, length, kind = HEADER.unpack_from(self.data)
        if marker != MARKER:
            raise Malformed(Code.HEADER, NOT_SYNCHRONIZED, "the marker is not all ones")
        least = LEAST.get(kind)
        if least is None:
            raise Malformed(Code.HEADER, BAD_TYPE, f"message type {kind}", bytes((kind,)))
        if not least <= length <= LONGEST or (kind == Kind.KEEPALIVE and length != least):
            data = struct.pack(">H", length)
            raise Malformed(Code.HEADER, BAD_LENGTH, f"{Kind(kind).name} of {length} bytes", data)
        if kind == Kind.ROUTE_REFRESH and length != least:
            # RFC 7313 5 gives the subcode for this; without that capability it is a header error.
            raise Malformed(
                Code.HEADER, BAD_LENGTH, f"ROUTE-REFRESH of {length} bytes", struct.pack(">H", length)
            )
        if len(self.data) < length:
            return None
        body = bytes(self.data[HEADER.size : length])
        del self.data[:length]
        if kind == Kind.OPEN:
            return decode_open(body)
        if kind == Kind.UPDATE:
            return decode_update(body, self.four_bytes)
        if kind == Kind.NOTIFICATION:
            return Notification(body[0], body[1], body[2:])
        if kind == Kind.ROUTE_REFRESH:
            family, _, subsequent = struct.unpack(">HBB", body)
            return RouteRefresh(family, subsequent)
        return Keepalive()


LEAST = {Kind.OPEN: 29, Kind.UPDATE: 23, Kind.NOTIFICATION: 21, Kind.KEEPALIVE: 19, Kind.ROUTE_REFRESH: 23}


def decode_open(body: bytes) -> Open:
    """RFC 4271 4.2, 6.2; RFC 5492 3 to 5."""
    version, asn, hold_time, identifier = struct.unpack_from(">BHHI", body)
    if version != 4:
        raise Malformed(Code.OPEN, BAD_VERSION, f"version {version}", struct.pack(">H", 4))
    if hold_time in (1, 2):
        raise Malformed(Code.OPEN, BAD_HOLD_TIME, f"hold time {hold_time}")
    if identifier == 0:
        raise Malformed(Code.OPEN, BAD_IDENTIFIER, "identifier 0.0.0.0")
    if body[9] != len(body) - 10:
        raise Malformed(Code.OPEN, 0, "the parameters are not as long as they say")
    capabilities: list[Capability] = []
    at = 10
    while at < len(body):
        if at + 2 > len(body) or at + 2 + body[at + 1] > len(body):
            raise Malformed(Code.OPEN, 0, "a parameter runs over the end")
        kind, value = body[at], body[at + 2 : at + 2 + body[at + 1]]
        at += 2 + body[at + 1]
        if kind != 2:
            raise Malformed(Code.OPEN, BAD_PARAMETER, f"parameter {kind}")
        inner = 0
        while inner < len(value):
            if inner + 2 > len(value) or inner + 2 + value[inner + 1] > len(value):
                raise Malformed(Code.OPEN, 0, "a capability runs over the end")
            end = inner + 2 + value[inner + 1]
            capabilities.append(Capability(value[inner], value[inner + 2 : end]))
            inner = end
    return Open(asn, hold_time, identifier, tuple(capabilities), version)


def decode_update(body: bytes, four_bytes: bool) -> Update:
    """RFC 4271 4.3, 6.3 with RFC 7606: what can be told apart is treated as withdrawn, what can't is an
    error.
    """
    (gone,) = struct.unpack_from(">H", body)
    if 4 + gone > len(body):
        raise Malformed(Code.UPDATE, MALFORMED_ATTRIBUTES, "the withdrawn routes run over the end")
    (size,) = struct.unpack_from(">H", body, 2 + gone)
    start = 4 + gone
    if start + size > len(body):
        raise Malformed(Code.UPDATE, MALFORMED_ATTRIBUTES, "the attributes run over the end")
    withdrawn = list(decode_prefixes(body[2 : 2 + gone], 4))
    announced = list(decode_prefixes(body[start + size :], 4))
    reader = _AttributeReader(four_bytes)
    reader.read(body[start : start + size])
    announced += reader.announced
    withdrawn += reader.withdrawn
    trouble = reader.trouble
    if announced and not trouble:
        missing = [name for name, code in (("ORIGIN", 1), ("AS_PATH", 2)) if code not in reader.seen]
        if any(each.version == 4 for each in announced) and 3 not in reader.seen:
            missing.append("NEXT_HOP")
        if missing:
            trouble = f"{missing[0]} is missing"
    if trouble:
        return Update((), (*withdrawn, *announced), reader.attributes(), trouble)
    return Update(tuple(announced), tuple(withdrawn), reader.attributes())


def decode_prefixes(data: bytes, version: int) -> list[Network]:
    """Raises Malformed for a length that can't be (RFC 4271 6.3, RFC 7606 5.3)."""
    found: list[Network] = []
    most, at = (32, 0) if version == 4 else (128, 0)
    while at < len(data):
        bits = data[at]
        size = (bits + 7) // 8
        if bits > most or at + 1 + size > len(data):
            raise Malformed(Code.UPDATE, INVALID_NETWORK, f"a prefix of {bits} bits")
        packed = data[at + 1 : at + 1 + size] + bytes(most // 8 - size)
        at += 1 + size
        # Bits after the prefix mean nothing (RFC 4271 4.3).
        if version == 4:
            found.append(ipaddress.IPv4Network((packed, bits), strict=False))
        else:
            found.append(ipaddress.IPv6Network((packed, bits), strict=False))
    return found


# Type: flags without the extended length, least length, step of lengths (0: any). RFC 4271 5, 1997, 8092.
KNOWN = {1: (0x40, 1, 1), 2: (0x40, 0, 0), 3: (0x40, 4, 4), 4: (0x80, 4, 4), 5: (0x40, 4, 4), 6: (0x40, 0, 0)}
KNOWN |= {8: (0xC0, 4, 4), 14: (0x80, 5, 0), 15: (0x80, 3, 0), 17: (0xC0, 0, 0), 32: (0xC0, 12, 12)}
FIXED = frozenset((1, 3, 4, 5, 6))  # of one length only


class _AttributeReader:
    """Reads path attributes; `trouble` says why the update counts as withdrawn, if it does."""

    def __init__(self, four_bytes: bool) -> None:
        self.four_bytes = four_bytes
        self.seen: dict[int, bytes] = {}
        self.announced: list[Network] = []
        self.withdrawn: list[Network] = []
        self.next_hop6: Address | None = None
        self.path: tuple[int, ...] = ()
        self.trouble = ""

    def read(self, data: bytes) -> None:
        at = 0
        while at < len(data):
            head = 4 if data[at] & 0x10 else 3
            if at + head > len(data):
                self._wrong("an attribute's head runs over the end")
                return
            size = int.from_bytes(data[at + 2 : at + head], "big")
            if at + head + size > len(data):
                self._wrong(f"attribute {data[at + 1]} runs over the end")
                return
            self._one(data[at], data[at + 1], data[at + head : at + head + size])
            at += head + size

    def _one(self, flags: int, code: int, value: bytes) -> None:
        if code in self.seen:
            if code in (14, 15):  # RFC 7606 3 (g)
                raise Malformed(Code.UPDATE, MALFORMED_ATTRIBUTES, f"attribute {code} came twice")
            return
        known = KNOWN.get(code)
        if known is None:
            if not flags & 0x80:  # a well-known one that is not known (RFC 4271 6.3)
                raise Malformed(Code.UPDATE, UNKNOWN_WELL_KNOWN, f"attribute {code}", value)
            return  # optional: skipped, or passed on by those who pass on
        self.seen[code] = value
        wanted, least, step = known
        if flags & 0xC0 != wanted:
            self._wrong(f"attribute {code} has flags {flags:#x}")
        elif (code in FIXED and len(value) != least) or len(value) < least or (step and len(value) % step):
            self._wrong(f"attribute {code} of {len(value)} bytes")
        elif code == 1 and value[0] > 2:
            self._wrong(f"ORIGIN {value[0]}")
        elif code == 2:
            self._as_path(value)
        elif code == 14:
            self._reach(value)
        elif code == 15:
            self._unreach(value)

    def _as_path(self, value: bytes) -> None:
        width, at, path = (4 if self.four_bytes else 2), 0, []
        while at < len(value):
            if at + 2 > len(value) or value[at] not in (1, 2) or not value[at + 1]:
                self._wrong("AS_PATH has a segment that can't be")
                return
            end = at + 2 + value[at + 1] * width
            if end > len(value):
                self._wrong("AS_PATH runs over its end")
                return
            path += [int.from_bytes(value[i : i + width], "big") for i in range(at + 2, end, width)]
            at = end
        self.path = tuple(path)

    def _reach(self, value: bytes) -> None:
        family, subsequent, size = struct.unpack_from(">HBB", value)
        if 5 + size > len(value):
            raise Malformed(Code.UPDATE, MALFORMED_ATTRIBUTES, "MP_REACH_NLRI runs over its end")
        if family != IPV6 or subsequent != UNICAST:
            return  # a family that was not agreed on
        if size not in (16, 32):
            raise Malformed(Code.UPDATE, MALFORMED_ATTRIBUTES, f"a next hop of {size} bytes")
        self.next_hop6 = ipaddress.IPv6Address(value[4:20])
        self.announced += decode_prefixes(value[5 + size :], 6)

    def _unreach(self, value: bytes) -> None:
        family, subsequent = struct.unpack_from(">HB", value)
        if family == IPV6 and subsequent == UNICAST:
            self.withdrawn += decode_prefixes(value[3:], 6)

    def _wrong(self, text: str) -> None:
        self.trouble = self.trouble or text

    def attributes(self) -> Attributes:
        """What was read, as far as it was well formed."""
        if self.trouble:
            return Attributes()
        seen = self.seen
        hop: Address | None = ipaddress.IPv4Address(seen[3]) if 3 in seen else self.next_hop6
        return Attributes(
            origin=seen[1][0] if 1 in seen else 0,
            as_path=self._whole_path(),
            next_hop=hop,
            med=int.from_bytes(seen[4], "big") if 4 in seen else None,
            local_preference=int.from_bytes(seen[5], "big") if 5 in seen else None,
            communities=tuple(struct.iter_unpack(">HH", seen.get(8, b""))),
            large_communities=tuple(struct.iter_unpack(">III", seen.get(32, b""))),
        )

    def _whole_path(self) -> tuple[int, ...]:
        """RFC 6793 4.2.3: what AS4_PATH knows of the end of the path stands in for AS_TRANS."""
        if self.four_bytes or 17 not in self.seen:
            return self.path
        reader = _AttributeReader(True)
        reader._as_path(self.seen[17])
        if reader.trouble or len(reader.path) > len(self.path):
            return self.path
        return self.path[: len(self.path) - len(reader.path)] + reader.path
