"""The messages of the framed protocol and the encoding of their JSON header lines.

JSON names are those of docs/node-protocol.md, Python names the terms of docs/glossary.md. Where they differ,
the class maps them with `rename`.

A header is one line of JSON of at most `MAX_HEADER_BYTES`, ended by CR LF, with the message's name in the
field "m". If the field `body` is above 0, that many raw bytes follow. Unknown fields are ignored and missing
fields have their defaults. Sizes are in bytes, durations in milliseconds.
"""

from __future__ import annotations

import msgspec

from ochrecourse.wire.errors import MalformedMessageError

PROTOCOL_VERSION = 1  # announced in each side's hello
MAX_HEADER_BYTES = 4096  # including the line end; the largest message has a dozen short fields
# After one header; a larger body is sent in chunks, so that none blocks a connection for long.
MAX_BODY_BYTES = 65_536
MAX_LIST_BODY_BYTES = 4_194_304  # of an endpoint list after one header; some ten thousand nodes
WINDOW_BYTES = 262_144  # of a response that a node may send before the first window update

NOT_STORED = "not held"  # reason of a rejection: the node does not store the shard
NOT_EXECUTED = "no"  # in a confirmed cancellation: the attempt was not executed and never will be


class Message(msgspec.Struct, tag_field="m", omit_defaults=True, kw_only=True, gc=False):
    """The base of all messages. `body`: number of raw bytes that follow the header."""

    body: int = 0


class Hello(Message, tag="hello"):
    """The first message of each side. `role`: client, gateway, node or list."""

    version: int
    role: str
    name: str = ""


class GoAway(Message, tag="bye"):
    """Graceful close: no new requests or attempts on this connection; those in flight are still answered."""

    reason: str = ""


class ErrorNotice(Message, tag="fault"):
    """The receiver violated the protocol (`id` below 0), or its request `id` can't be accepted."""

    code: str
    text: str
    id: int = -1


class BodyChunk(Message, tag="part"):
    """A further chunk of a body whose `size` a request, an attempt or a response announced."""

    id: int


class WindowUpdate(Message, tag="credit", rename={"increment_bytes": "bytes"}):
    """Flow control of a response: the node may send `increment_bytes` more."""

    id: int
    increment_bytes: int


class SubmitRequest(Message, tag="job", rename={"request_class": "product", "tenant": "plan"}):
    """A client's request.

    `timeout_ms`: counted from when the client sent it; `key`: 0 for none; `shard`: negative for a new object;
    `gateways`: number of gateways that the volume uses; `trace`: the client's id for the request, forwarded
    with each attempt and logged.
    """

    id: int
    request_class: str
    tenant: str
    volume: int
    timeout_ms: float
    key: int = 0
    units: float = 1.0
    shard: int = -1
    gateways: int = 1
    size: int = 0
    trace: str = ""


class CancelRequest(Message, tag="leave"):
    """Cancels a request for which the client no longer waits."""

    id: int


class RequestCancelled(Message, tag="left"):
    """Confirms a `CancelRequest`; no more messages follow for this request."""

    id: int


class RequestServed(Message, tag="fulfilled"):
    """The request was served: a response of `size` bytes follows, the first `body` bytes with this header.

    `shard`: where the data is stored.
    """

    id: int
    size: int = 0
    shard: int = -1


class RequestRejected(Message, tag="denied", rename={"retry_after_ms": "come_back_ms"}):
    """The request was rejected; a retry is safe, preferably after `retry_after_ms`."""

    id: int
    retry_after_ms: float = 0.0


class RequestFailed(Message, tag="written_off"):
    """The request failed and its effect is unknown. Also ends an aborted response."""

    id: int


class SendAttempt(
    Message,
    tag="leg",
    rename={
        "idempotency_key": "mark",
        "request_class": "product",
        "idempotency": "effect",
        "idempotency_window_ms": "window_ms",
        "timeout_ms": "patience_ms",
    },
):
    """One attempt of a request, sent to a node.

    `idempotency_key`: unique to the request for ever and the same in each of its attempts; the node must
    remember it for `idempotency_window_ms`. `idempotency`: safe, keyed or unsafe. `timeout_ms`: how long the
    gateway waits, 0 for no limit. `number`: 0 for the first attempt.
    """

    id: int
    idempotency_key: str
    request_class: str
    volume: int
    key: int = 0
    units: float = 1.0
    shard: int = -1
    number: int = 0
    write: bool = False
    idempotency: str = "safe"
    idempotency_window_ms: float = 0.0
    timeout_ms: float = 0.0
    size: int = 0
    trace: str = ""


class CancelAttempt(Message, tag="cancel"):
    """Cancels an attempt for which the gateway no longer waits.

    The node confirms with `AttemptCancelled` unless its response is already in flight.
    """

    id: int


class HealthCheck(Message, tag="probe"):
    """Asks a node for a `HealthCheckReply`."""

    id: int


class NodeReply(Message, rename={"volume_used": "used"}):
    """The base of a node's replies, with its load report and the usage of the volume.

    `volume_used`: units served for the volume in total in a finished period, as a fraction of its rate;
    negative: unknown. `elsewhere`: units that this node served for the volume through other gateways since
    the last reply to this one.
    """

    id: int
    load: dict[str, float] = {}
    volume_used: float = -1.0
    elsewhere: int = 0


class AttemptServed(NodeReply, tag="done", rename={"volume_used": "used", "replayed": "repeat"}):
    """The attempt was executed. `replayed`: its key was known, so the first response is sent again."""

    size: int = 0
    shard: int = -1
    replayed: bool = False


class AttemptFailed(NodeReply, tag="failed"):
    """The attempt was begun and failed; it may have taken effect."""

    text: str = ""


class AttemptRejected(NodeReply, tag="full", rename={"volume_used": "used", "reason": "why"}):
    """The attempt was rejected without being executed. `reason`: full, draining or `NOT_STORED`."""

    reason: str = "full"


class AttemptCancelled(NodeReply, tag="cancelled", rename={"volume_used": "used", "executed": "ran"}):
    """Confirms a `CancelAttempt`. `executed`: `NOT_EXECUTED` or "maybe"."""

    executed: str = "maybe"


class HealthCheckReply(NodeReply, tag="alive"):
    """Replies to a `HealthCheck`."""


class WatchEndpoints(Message, tag="follow"):
    """Subscribes at a list server to all changes after version `epoch`; 0 requests the whole list."""

    epoch: int = 0


class EndpointEntry(msgspec.Struct, omit_defaults=True, kw_only=True):
    """One node of the endpoint list.

    `health`: ready, draining or gone; `started_ms_ago`: time since its last start, negative: long ago.
    """

    node: int
    address: str = ""
    zone: int = 0
    shard: int = 0
    health: str = "ready"
    started_ms_ago: float = -1.0


class EndpointListMessage(Message, tag="nodes"):
    """An endpoint list, with a JSON array of `EndpointEntry` as its body.

    `kind`: full, or delta against version `epoch` - 1.
    """

    kind: str
    epoch: int


AnyMessage = (
    Hello | GoAway | ErrorNotice | BodyChunk | WindowUpdate | SubmitRequest | CancelRequest
    | RequestCancelled | RequestServed | RequestRejected | RequestFailed | SendAttempt
    | CancelAttempt | HealthCheck | AttemptServed | AttemptFailed | AttemptRejected | AttemptCancelled
    | HealthCheckReply | WatchEndpoints | EndpointListMessage
)  # fmt: skip

_decoder = msgspec.json.Decoder(AnyMessage)
_encoder = msgspec.json.Encoder()
_list_decoder = msgspec.json.Decoder(list[EndpointEntry])


def decode(line: bytes) -> AnyMessage:
    """Decodes the message of a header line without its line end. Raises MalformedMessageError."""
    try:
        message = _decoder.decode(line)
    except (msgspec.DecodeError, RecursionError) as error:
        raise MalformedMessageError(f"not a message: {error}") from None
    if message.body < 0:
        raise MalformedMessageError("body below 0")
    size = getattr(message, "size", 0)
    if size < 0 or (size and message.body > size):
        raise MalformedMessageError(f"size {size} does not hold a body of {message.body}")
    return message


def encode(message: Message, body: bytes = b"") -> bytes:
    """Encodes a message as its header line and the raw bytes after it."""
    message.body = len(body)
    return _encoder.encode(message) + b"\r\n" + body


def decode_list(body: bytes) -> list[EndpointEntry]:
    """Decodes the entries of an endpoint list. Raises MalformedMessageError."""
    try:
        return _list_decoder.decode(body)
    except msgspec.DecodeError as error:
        raise MalformedMessageError(f"not a list of nodes: {error}") from None


def encode_list(entries: list[EndpointEntry]) -> bytes:
    """Encodes the body of an `EndpointListMessage`."""
    return _encoder.encode(entries)
