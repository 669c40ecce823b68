"""Encodes and decodes BGP messages. Free of I/O.

RFC 4271 sections 4 and 6 with RFC 5492 (capabilities), 6793 (four-byte AS numbers), 4760 (IPv6), 2918 (route
refresh), 7606 (revised error handling), 8654 (extended messages only if negotiated, which this speaker never
does), 9003 (shutdown text). Input is checked strictly, and output is exact to the byte. Malformed input
raises `MalformedMessageError`, which carries the NOTIFICATION to send. For attribute errors with a milder
treatment in RFC 7606, the UPDATE is marked as treat-as-withdraw instead.
"""

from __future__ import annotations

import ipaddress
import struct
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import IntEnum

MARKER = b"\xff" * 16
HEADER = struct.Struct(">16sHB")
MAX_MESSAGE_SIZE = 4096  # bytes, without RFC 8654
AS_TRANS = 23456  # RFC 6793: replaces a four-byte AS number in a two-byte field
IPV4, IPV6, UNICAST = 1, 2, 1  # AFIs, and the only SAFI that is supported
Network = ipaddress.IPv4Network | ipaddress.IPv6Network
Address = ipaddress.IPv4Address | ipaddress.IPv6Address


class MessageType(IntEnum):
    """Message types (RFC 4271 4.1, 2918)."""

    OPEN = 1
    UPDATE = 2
    NOTIFICATION = 3
    KEEPALIVE = 4
    ROUTE_REFRESH = 5


class ErrorCode(IntEnum):
    """NOTIFICATION error codes (RFC 4271 4.5)."""

    HEADER = 1
    OPEN = 2
    UPDATE = 3
    HOLD_TIMER = 4
    FSM = 5
    CEASE = 6


# Subcodes in use, one line each for HEADER, OPEN, UPDATE, FSM (RFC 6608) and CEASE (RFC 4486, 9384).
NOT_SYNCHRONIZED, BAD_LENGTH, BAD_TYPE = 1, 2, 3
BAD_VERSION, BAD_PEER_AS, BAD_IDENTIFIER, BAD_PARAMETER, BAD_HOLD_TIME, BAD_CAPABILITY = 1, 2, 3, 4, 6, 7
MALFORMED_ATTRIBUTES, UNKNOWN_WELL_KNOWN, INVALID_NETWORK = 1, 2, 10
UNEXPECTED_IN_OPEN_SENT, UNEXPECTED_IN_OPEN_CONFIRM, UNEXPECTED_IN_ESTABLISHED = 1, 2, 3
SHUTDOWN, RESET, COLLISION, OUT_OF_RESOURCES = 2, 4, 7, 8


class MalformedMessageError(Exception):
    """The peer sent a malformed message; `notification` is the answer to it."""

    def __init__(self, code: ErrorCode, subcode: int, text: str, data: bytes = b"") -> None:
        super().__init__(text)
        self.notification = Notification(code, subcode, data)


# --- messages ---


@dataclass(frozen=True)
class Capability:
    """One capability (RFC 5492)."""

    code: int
    value: bytes = b""


MULTIPROTOCOL, ROUTE_REFRESH, FOUR_BYTE_AS = 1, 2, 65


def multiprotocol(family: int) -> Capability:
    """The multiprotocol capability of an address family (RFC 4760 section 8)."""
    return Capability(MULTIPROTOCOL, struct.pack(">HBB", family, 0, UNICAST))


def four_byte_as(number: int) -> Capability:
    """The capability of four-byte AS numbers (RFC 6793 section 3)."""
    return Capability(FOUR_BYTE_AS, struct.pack(">I", number))


@dataclass(frozen=True)
class Open:
    """OPEN (RFC 4271 4.2). `asn` is the two-byte field; a capability may carry the four-byte AS number."""

    asn: int
    hold_time: int
    identifier: int
    capabilities: tuple[Capability, ...] = ()
    version: int = 4

    def effective_asn(self) -> int:
        """The AS number: that of the four-byte capability, else the two-byte field."""
        for capability in self.capabilities:
            if capability.code == FOUR_BYTE_AS and len(capability.value) == 4:
                return int.from_bytes(capability.value, "big")
        return self.asn

    def families(self) -> frozenset[int]:
        """Supported address families (unicast); IPv4 if no multiprotocol capability is present."""
        values = [c.value for c in self.capabilities if c.code == MULTIPROTOCOL and len(c.value) == 4]
        if not values:
            return frozenset((IPV4,))
        return frozenset(int.from_bytes(value[:2], "big") for value in values if value[3] == UNICAST)

    def has_capability(self, code: int) -> bool:
        """Whether a capability of this code is present."""
        return any(capability.code == code for capability in self.capabilities)


@dataclass(frozen=True)
class Notification:
    """NOTIFICATION (RFC 4271 4.5). `data` of a shutdown or reset Cease may contain a text (RFC 9003)."""

    code: int
    subcode: int
    data: bytes = b""

    def text(self) -> str:
        """The shutdown text with unprintable characters replaced; empty if there is none."""
        if self.code != ErrorCode.CEASE or self.subcode not in (SHUTDOWN, RESET) or not self.data:
            return ""
        text = self.data[1 : 1 + self.data[0]].decode("utf-8", "replace")
        return "".join(c if c.isprintable() else "?" for c in text)


def shutdown(text: str, subcode: int = SHUTDOWN) -> Notification:
    """A Cease with a text, truncated to 255 bytes (RFC 9003)."""
    encoded = text.encode()[:255].decode("utf-8", "ignore").encode()
    return Notification(ErrorCode.CEASE, subcode, bytes((len(encoded),)) + encoded if encoded else b"")


@dataclass(frozen=True)
class Keepalive:
    """KEEPALIVE (RFC 4271 4.4)."""


@dataclass(frozen=True)
class RouteRefresh:
    """ROUTE-REFRESH (RFC 2918): requests all routes of an address family again."""

    family: int
    subsequent: int = UNICAST


@dataclass(frozen=True)
class Attributes:
    """Path attributes of announced routes. `as_path`: four-byte AS numbers of one AS_SEQUENCE."""

    origin: int = 0
    as_path: tuple[int, ...] = ()
    next_hop: Address | None = None
    med: int | None = None
    local_preference: int | None = None
    communities: tuple[tuple[int, int], ...] = ()
    large_communities: tuple[tuple[int, int, int], ...] = ()


@dataclass(frozen=True)
class Update:
    """UPDATE (RFC 4271 4.3). `as_withdrawn`: the error that makes it treat-as-withdraw (RFC 7606 2)."""

    announced: tuple[Network, ...] = ()
    withdrawn: tuple[Network, ...] = ()
    attributes: Attributes = field(default_factory=Attributes)
    as_withdrawn: str = ""


Message = Open | Update | Notification | Keepalive | RouteRefresh

GRACEFUL_SHUTDOWN = (65535, 0)  # RFC 8326: any other path is preferred


# --- encoding ---


def encode(message: Message, four_bytes: bool = True) -> bytes:
    """Encodes a message with its header. `four_bytes`: both sides support RFC 6793. Raises ValueError above
    `MAX_MESSAGE_SIZE` bytes.
    """
    if isinstance(message, Open):
        message_type, body = MessageType.OPEN, _open_body(message)
    elif isinstance(message, Update):
        message_type, body = MessageType.UPDATE, _update_body(message, four_bytes)
    elif isinstance(message, Notification):
        message_type, body = MessageType.NOTIFICATION, bytes((message.code, message.subcode)) + message.data
    elif isinstance(message, RouteRefresh):
        message_type, body = (
            MessageType.ROUTE_REFRESH,
            struct.pack(">HBB", message.family, 0, message.subsequent),
        )
    else:
        message_type, body = MessageType.KEEPALIVE, b""
    length = HEADER.size + len(body)
    if length > MAX_MESSAGE_SIZE:
        raise ValueError(f"a message of {length} bytes; {MAX_MESSAGE_SIZE} are allowed")
    return HEADER.pack(MARKER, length, message_type) + body


def _open_body(message: Open) -> bytes:
    capabilities = b"".join(bytes((each.code, len(each.value))) + each.value for each in message.capabilities)
    parameters = bytes((2, len(capabilities))) + capabilities if capabilities else b""
    fixed_fields = struct.pack(">BHHI", message.version, message.asn, message.hold_time, message.identifier)
    return fixed_fields + bytes((len(parameters),)) + parameters


def encode_prefix(network: Network) -> bytes:
    """A prefix as NLRI (RFC 4271 4.3): its length in bits, then the fewest bytes that contain them."""
    size = (network.prefixlen + 7) // 8
    return bytes((network.prefixlen,)) + network.network_address.packed[:size]


def _attribute(flags: int, code: int, value: bytes) -> bytes:
    if len(value) > 255:
        return struct.pack(">BBH", flags | 0x10, code, len(value)) + value
    return struct.pack(">BBB", flags, code, len(value)) + value


WELL_KNOWN, OPTIONAL, TRANSITIVE = 0x40, 0x80, 0xC0


def _update_body(update: Update, four_bytes: bool) -> bytes:
    withdrawn4 = [each for each in update.withdrawn if each.version == 4]
    withdrawn6 = [each for each in update.withdrawn if each.version == 6]
    announced4 = [each for each in update.announced if each.version == 4]
    announced6 = [each for each in update.announced if each.version == 6]
    attributes = b""
    if announced4 or announced6:
        attributes = _path_attributes(update.attributes, bool(announced4), four_bytes)
    if announced6:
        next_hop = update.attributes.next_hop
        assert isinstance(next_hop, ipaddress.IPv6Address)
        mp_reach = (
            struct.pack(">HBB", IPV6, UNICAST, 16)
            + next_hop.packed
            + b"\0"
            + b"".join(map(encode_prefix, announced6))
        )
        attributes += _attribute(OPTIONAL, 14, mp_reach)
    if withdrawn6:
        attributes += _attribute(
            OPTIONAL, 15, struct.pack(">HB", IPV6, UNICAST) + b"".join(map(encode_prefix, withdrawn6))
        )
    withdrawn = b"".join(map(encode_prefix, withdrawn4))
    return (
        struct.pack(">H", len(withdrawn)) + withdrawn + struct.pack(">H", len(attributes)) + attributes
        + b"".join(map(encode_prefix, announced4))
    )  # fmt: skip


def _path_attributes(attributes: Attributes, with_hop: bool, four_bytes: bool) -> bytes:
    """Path attributes in ascending order of type (RFC 4271 appendix F.4)."""
    encoded = _attribute(WELL_KNOWN, 1, bytes((attributes.origin,)))
    as_path = attributes.as_path
    if four_bytes:
        encoded += _attribute(WELL_KNOWN, 2, _segment(as_path, ">I"))
    else:
        encoded += _attribute(
            WELL_KNOWN, 2, _segment([asn if asn < 65536 else AS_TRANS for asn in as_path], ">H")
        )
    if with_hop:
        assert isinstance(attributes.next_hop, ipaddress.IPv4Address)
        encoded += _attribute(WELL_KNOWN, 3, attributes.next_hop.packed)
    if attributes.med is not None:
        encoded += _attribute(OPTIONAL, 4, struct.pack(">I", attributes.med))
    if attributes.local_preference is not None:
        encoded += _attribute(WELL_KNOWN, 5, struct.pack(">I", attributes.local_preference))
    if attributes.communities:
        encoded += _attribute(
            TRANSITIVE, 8, b"".join(struct.pack(">HH", *each) for each in attributes.communities)
        )
    if not four_bytes and any(asn > 65535 for asn in as_path):
        encoded += _attribute(TRANSITIVE, 17, _segment(as_path, ">I"))
    if attributes.large_communities:
        encoded += _attribute(
            TRANSITIVE, 32, b"".join(struct.pack(">III", *each) for each in attributes.large_communities)
        )
    return encoded


def _segment(as_path: Sequence[int], number_format: str) -> bytes:
    return (
        bytes((2, len(as_path))) + b"".join(struct.pack(number_format, asn) for asn in as_path)
        if as_path
        else b""
    )


# --- decoding ---


class Decoder:
    """Decodes messages from a byte stream. After a MalformedMessageError all further input is ignored."""

    def __init__(self) -> None:
        self.data = bytearray()
        self.four_bytes = True
        self.failed = False

    def feed(self, data: bytes) -> None:
        """Adds bytes of the stream, split anywhere."""
        if not self.failed:
            self.data += data

    def next(self) -> Message | None:
        """The next complete message; None if there is none yet. Raises MalformedMessageError."""
        if self.failed or len(self.data) < HEADER.size:
            return None
        try:
            return self._next()
        except MalformedMessageError:
            self.failed = True
            raise

    def _next(self) -> Message | None:
        marker, length, message_type = HEADER.unpack_from(self.data)
        if marker != MARKER:
            raise MalformedMessageError(ErrorCode.HEADER, NOT_SYNCHRONIZED, "the marker is not all ones")
        min_length = MIN_LENGTHS.get(message_type)
        if min_length is None:
            raise MalformedMessageError(
                ErrorCode.HEADER, BAD_TYPE, f"message type {message_type}", bytes((message_type,))
            )
        if not min_length <= length <= MAX_MESSAGE_SIZE or (
            message_type == MessageType.KEEPALIVE and length != min_length
        ):
            data = struct.pack(">H", length)
            raise MalformedMessageError(
                ErrorCode.HEADER, BAD_LENGTH, f"{MessageType(message_type).name} of {length} bytes", data
            )
        if message_type == MessageType.ROUTE_REFRESH and length != min_length:
            # RFC 7313 5 defines a subcode for this; without that capability it is a header error.
            raise MalformedMessageError(
                ErrorCode.HEADER, BAD_LENGTH, f"ROUTE-REFRESH of {length} bytes", struct.pack(">H", length)
            )
        if len(self.data) < length:
            return None
        body = bytes(self.data[HEADER.size : length])
        del self.data[:length]
        if message_type == MessageType.OPEN:
            return decode_open(body)
        if message_type == MessageType.UPDATE:
            return decode_update(body, self.four_bytes)
        if message_type == MessageType.NOTIFICATION:
            return Notification(body[0], body[1], body[2:])
        if message_type == MessageType.ROUTE_REFRESH:
            family, _, subsequent = struct.unpack(">HBB", body)
            return RouteRefresh(family, subsequent)
        return Keepalive()


MIN_LENGTHS = {
    MessageType.OPEN: 29,
    MessageType.UPDATE: 23,
    MessageType.NOTIFICATION: 21,
    MessageType.KEEPALIVE: 19,
    MessageType.ROUTE_REFRESH: 23,
}


def decode_open(body: bytes) -> Open:
    """Decodes an OPEN (RFC 4271 4.2, 6.2; RFC 5492 3 to 5). Raises MalformedMessageError."""
    version, asn, hold_time, identifier = struct.unpack_from(">BHHI", body)
    if version != 4:
        raise MalformedMessageError(ErrorCode.OPEN, BAD_VERSION, f"version {version}", struct.pack(">H", 4))
    if hold_time in (1, 2):
        raise MalformedMessageError(ErrorCode.OPEN, BAD_HOLD_TIME, f"hold time {hold_time}")
    if identifier == 0:
        raise MalformedMessageError(ErrorCode.OPEN, BAD_IDENTIFIER, "identifier 0.0.0.0")
    if body[9] != len(body) - 10:
        raise MalformedMessageError(ErrorCode.OPEN, 0, "the parameters are not as long as they say")
    capabilities: list[Capability] = []
    offset = 10
    while offset < len(body):
        if offset + 2 > len(body) or offset + 2 + body[offset + 1] > len(body):
            raise MalformedMessageError(ErrorCode.OPEN, 0, "a parameter runs over the end")
        parameter_type, value = body[offset], body[offset + 2 : offset + 2 + body[offset + 1]]
        offset += 2 + body[offset + 1]
        if parameter_type != 2:
            raise MalformedMessageError(ErrorCode.OPEN, BAD_PARAMETER, f"parameter {parameter_type}")
        position = 0
        while position < len(value):
            if position + 2 > len(value) or position + 2 + value[position + 1] > len(value):
                raise MalformedMessageError(ErrorCode.OPEN, 0, "a capability runs over the end")
            end = position + 2 + value[position + 1]
            capabilities.append(Capability(value[position], value[position + 2 : end]))
            position = end
    return Open(asn, hold_time, identifier, tuple(capabilities), version)


def decode_update(body: bytes, four_bytes: bool) -> Update:
    """Decodes an UPDATE (RFC 4271 4.3, 6.3; RFC 7606).

    With an attribute error its routes count as withdrawn. Raises MalformedMessageError where the routes
    themselves cannot be parsed.
    """
    (withdrawn_size,) = struct.unpack_from(">H", body)
    if 4 + withdrawn_size > len(body):
        raise MalformedMessageError(
            ErrorCode.UPDATE, MALFORMED_ATTRIBUTES, "the withdrawn routes run over the end"
        )
    (attributes_size,) = struct.unpack_from(">H", body, 2 + withdrawn_size)
    start = 4 + withdrawn_size
    if start + attributes_size > len(body):
        raise MalformedMessageError(ErrorCode.UPDATE, MALFORMED_ATTRIBUTES, "the attributes run over the end")
    withdrawn = list(decode_prefixes(body[2 : 2 + withdrawn_size], 4))
    announced = list(decode_prefixes(body[start + attributes_size :], 4))
    reader = _AttributeReader(four_bytes)
    reader.read(body[start : start + attributes_size])
    announced += reader.announced
    withdrawn += reader.withdrawn
    error = reader.error
    if announced and not error:
        missing = [name for name, code in (("ORIGIN", 1), ("AS_PATH", 2)) if code not in reader.values]
        if any(each.version == 4 for each in announced) and 3 not in reader.values:
            missing.append("NEXT_HOP")
        if missing:
            error = f"{missing[0]} is missing"
    if error:
        return Update((), (*withdrawn, *announced), reader.attributes(), error)
    return Update(tuple(announced), tuple(withdrawn), reader.attributes())


def decode_prefixes(data: bytes, version: int) -> list[Network]:
    """Decodes NLRI. Raises MalformedMessageError for an invalid length (RFC 4271 6.3, RFC 7606 5.3)."""
    prefixes: list[Network] = []
    max_bits, offset = (32, 0) if version == 4 else (128, 0)
    while offset < len(data):
        bits = data[offset]
        size = (bits + 7) // 8
        if bits > max_bits or offset + 1 + size > len(data):
            raise MalformedMessageError(ErrorCode.UPDATE, INVALID_NETWORK, f"a prefix of {bits} bits")
        packed = data[offset + 1 : offset + 1 + size] + bytes(max_bits // 8 - size)
        offset += 1 + size
        # Bits after the prefix are ignored (RFC 4271 4.3).
        if version == 4:
            prefixes.append(ipaddress.IPv4Network((packed, bits), strict=False))
        else:
            prefixes.append(ipaddress.IPv6Network((packed, bits), strict=False))
    return prefixes


# By type code: flags without the extended length bit, minimum length, divisor of the length (0: any length).
# RFC 4271 5, 1997, 8092.
ATTRIBUTE_SPECS = {
    1: (0x40, 1, 1),
    2: (0x40, 0, 0),
    3: (0x40, 4, 4),
    4: (0x80, 4, 4),
    5: (0x40, 4, 4),
    6: (0x40, 0, 0),
}
ATTRIBUTE_SPECS |= {8: (0xC0, 4, 4), 14: (0x80, 5, 0), 15: (0x80, 3, 0), 17: (0xC0, 0, 0), 32: (0xC0, 12, 12)}
FIXED_LENGTH = frozenset((1, 3, 4, 5, 6))  # type codes whose length is exactly the minimum


class _AttributeReader:
    """Decodes path attributes; `error`: what makes the UPDATE treat-as-withdraw, if anything."""

    def __init__(self, four_bytes: bool) -> None:
        self.four_bytes = four_bytes
        self.values: dict[int, bytes] = {}
        self.announced: list[Network] = []
        self.withdrawn: list[Network] = []
        self.next_hop6: Address | None = None
        self.path: tuple[int, ...] = ()
        self.error = ""

    def read(self, data: bytes) -> None:
        offset = 0
        while offset < len(data):
            header_size = 4 if data[offset] & 0x10 else 3
            if offset + header_size > len(data):
                self._set_error("an attribute's head runs over the end")
                return
            size = int.from_bytes(data[offset + 2 : offset + header_size], "big")
            if offset + header_size + size > len(data):
                self._set_error(f"attribute {data[offset + 1]} runs over the end")
                return
            self._read_attribute(
                data[offset], data[offset + 1], data[offset + header_size : offset + header_size + size]
            )
            offset += header_size + size

    def _read_attribute(self, flags: int, code: int, value: bytes) -> None:
        if code in self.values:
            if code in (14, 15):  # RFC 7606 3 (g)
                raise MalformedMessageError(
                    ErrorCode.UPDATE, MALFORMED_ATTRIBUTES, f"attribute {code} came twice"
                )
            return
        spec = ATTRIBUTE_SPECS.get(code)
        if spec is None:
            if not flags & 0x80:  # unrecognized well-known attribute (RFC 4271 6.3)
                raise MalformedMessageError(ErrorCode.UPDATE, UNKNOWN_WELL_KNOWN, f"attribute {code}", value)
            return  # optional: ignored, as this speaker propagates no routes
        self.values[code] = value
        expected_flags, min_length, divisor = spec
        if flags & 0xC0 != expected_flags:
            self._set_error(f"attribute {code} has flags {flags:#x}")
        elif (
            (code in FIXED_LENGTH and len(value) != min_length)
            or len(value) < min_length
            or (divisor and len(value) % divisor)
        ):
            self._set_error(f"attribute {code} of {len(value)} bytes")
        elif code == 1 and value[0] > 2:
            self._set_error(f"ORIGIN {value[0]}")
        elif code == 2:
            self._read_as_path(value)
        elif code == 14:
            self._read_mp_reach(value)
        elif code == 15:
            self._read_mp_unreach(value)

    def _read_as_path(self, value: bytes) -> None:
        width, offset, path = (4 if self.four_bytes else 2), 0, []
        while offset < len(value):
            if offset + 2 > len(value) or value[offset] not in (1, 2) or not value[offset + 1]:
                self._set_error("AS_PATH has a segment that can't be")
                return
            end = offset + 2 + value[offset + 1] * width
            if end > len(value):
                self._set_error("AS_PATH runs over its end")
                return
            path += [int.from_bytes(value[i : i + width], "big") for i in range(offset + 2, end, width)]
            offset = end
        self.path = tuple(path)

    def _read_mp_reach(self, value: bytes) -> None:
        family, subsequent, size = struct.unpack_from(">HBB", value)
        if 5 + size > len(value):
            raise MalformedMessageError(
                ErrorCode.UPDATE, MALFORMED_ATTRIBUTES, "MP_REACH_NLRI runs over its end"
            )
        if family != IPV6 or subsequent != UNICAST:
            return  # a family that was not negotiated
        if size not in (16, 32):
            raise MalformedMessageError(ErrorCode.UPDATE, MALFORMED_ATTRIBUTES, f"a next hop of {size} bytes")
        self.next_hop6 = ipaddress.IPv6Address(value[4:20])
        self.announced += decode_prefixes(value[5 + size :], 6)

    def _read_mp_unreach(self, value: bytes) -> None:
        family, subsequent = struct.unpack_from(">HB", value)
        if family == IPV6 and subsequent == UNICAST:
            self.withdrawn += decode_prefixes(value[3:], 6)

    def _set_error(self, text: str) -> None:
        self.error = self.error or text

    def attributes(self) -> Attributes:
        """The decoded attributes; defaults if one was malformed."""
        if self.error:
            return Attributes()
        values = self.values
        next_hop: Address | None = ipaddress.IPv4Address(values[3]) if 3 in values else self.next_hop6
        return Attributes(
            origin=values[1][0] if 1 in values else 0,
            as_path=self._merged_as_path(),
            next_hop=next_hop,
            med=int.from_bytes(values[4], "big") if 4 in values else None,
            local_preference=int.from_bytes(values[5], "big") if 5 in values else None,
            communities=tuple(struct.iter_unpack(">HH", values.get(8, b""))),
            large_communities=tuple(struct.iter_unpack(">III", values.get(32, b""))),
        )

    def _merged_as_path(self) -> tuple[int, ...]:
        """AS_PATH with its end replaced by AS4_PATH, which has the numbers that AS_TRANS stands for (RFC 6793
        4.2.3).
        """
        if self.four_bytes or 17 not in self.values:
            return self.path
        reader = _AttributeReader(True)
        reader._read_as_path(self.values[17])
        if reader.error or len(reader.path) > len(self.path):
            return self.path
        return self.path[: len(self.path) - len(reader.path)] + reader.path
