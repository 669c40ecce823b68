"""The messages of all our connections, and their header lines.

A message is one line of JSON, at most `MAX_HEADER` bytes, ended by CR LF, with the name of the message under
"m". If its `body` is above 0, that many raw bytes follow. Fields that are not known are skipped; fields left
out have their default. docs/node-protocol.md describes each message; sizes are in bytes, spans in
milliseconds.
"""

from __future__ import annotations

import msgspec

VERSION = 1  # of the protocol; told in the first message of each side
MAX_HEADER = 4096  # bytes of a header line, its end included; the largest message has a dozen short fields
MAX_BODY = (
    65_536  # bytes behind one header; larger bodies go on in parts, so none blocks a connection for long
)
MAX_LIST_BODY = 4_194_304  # bytes of a list of nodes behind one header; some ten thousand nodes
WINDOW = 262_144  # bytes of an answer a node may send ahead of the credit it was given


class Message(msgspec.Struct, tag_field="m", omit_defaults=True, kw_only=True, gc=False):
    """What all messages have: how many raw bytes follow the header."""

    body: int = 0


class Hello(Message, tag="hello"):
    """The first message of each side. `role`: client, gateway, node or list."""

    version: int
    role: str
    name: str = ""


class GoAway(Message, tag="bye"):
    """An orderly end: no new jobs or legs on this connection; what is out is still answered."""

    reason: str = ""


class ErrorNotice(Message, tag="fault"):
    """The other side broke the protocol (id below 0), or one of its jobs can't be taken (id of that job)."""

    code: str
    text: str
    id: int = -1


class BodyChunk(Message, tag="part"):
    """More of a body that a job, a leg or an answer announced with `size`."""

    id: int


class WindowUpdate(Message, tag="credit"):
    """So many more bytes of this answer may be sent."""

    id: int
    bytes: int


class SubmitRequest(Message, tag="job"):
    """A client's request. `timeout_ms` runs from when it was sent; `shard` below 0: a new object.

    `trace` is the client's own name for the job; it is handed on with each leg and stands in the job's log
    line.
    """

    id: int
    product: str
    plan: str
    volume: int
    timeout_ms: float
    key: int = 0
    units: float = 1.0
    shard: int = -1
    gateways: int = 1
    size: int = 0
    trace: str = ""


class CancelRequest(Message, tag="leave"):
    """The client no longer waits for this job."""

    id: int


class RequestCancelled(Message, tag="left"):
    """Answers a leave: nothing more comes for this job."""

    id: int


class RequestServed(Message, tag="fulfilled"):
    """The job was done. `size` bytes come, the first `body` of them at once; `shard`: where the data lies."""

    id: int
    size: int = 0
    shard: int = -1


class RequestRejected(Message, tag="denied"):
    """The job was turned away; trying again is harmless, best not before `come_back_ms` have passed."""

    id: int
    come_back_ms: float = 0.0


class RequestFailed(Message, tag="written_off"):
    """The job failed; whether it had an effect is not known. Also ends an answer that broke off half-way."""

    id: int


class SendAttempt(Message, tag="leg"):
    """Work for a node. `mark` names the job for ever; `patience_ms`: when the gateway stops waiting, 0
    never.
    """

    id: int
    mark: str
    product: str
    volume: int
    key: int = 0
    units: float = 1.0
    shard: int = -1
    number: int = 0
    write: bool = False
    effect: str = "safe"
    window_ms: float = 0.0
    patience_ms: float = 0.0
    size: int = 0
    trace: str = ""


class CancelAttempt(Message, tag="cancel"):
    """The gateway no longer waits for this leg; the node answers with `cancelled` unless its answer is on the
    way.
    """

    id: int


class HealthCheck(Message, tag="probe"):
    """Asks for a sign of life."""

    id: int


class NodeReply(Message):
    """What every answer of a node may carry: its load, and served totals (`used` below 0: not told)."""

    id: int
    load: dict[str, float] = {}
    used: float = -1.0
    elsewhere: int = 0


class AttemptServed(NodeReply, tag="done"):
    """The leg ran. `repeat`: its mark was known and the first answer is given again."""

    size: int = 0
    shard: int = -1
    repeat: bool = False


class AttemptFailed(NodeReply, tag="failed"):
    """The leg was begun and failed; it may have had its effect."""

    text: str = ""


class AttemptRejected(NodeReply, tag="full"):
    """The leg was turned away unseen: no room, draining, or the shard is not held here (`why`)."""

    why: str = "full"


class AttemptCancelled(NodeReply, tag="cancelled"):
    """Answers a cancel. `ran` is no or maybe."""

    ran: str = "maybe"


class HealthCheckReply(NodeReply, tag="alive"):
    """Answers a probe."""


class WatchEndpoints(Message, tag="follow"):
    """Asks a list server for all changes after this version of the list; 0 asks for the whole list."""

    epoch: int = 0


class EndpointEntry(msgspec.Struct, omit_defaults=True, kw_only=True):
    """One line of the list of nodes. `health`: ready, draining or gone; `started_ms_ago` below 0: long
    ago.
    """

    node: int
    address: str = ""
    zone: int = 0
    shard: int = 0
    health: str = "ready"
    started_ms_ago: float = -1.0


class EndpointListMessage(Message, tag="nodes"):
    """A list of nodes, as a JSON array of `EndpointEntry` in the body. `kind`: full, or delta against
    `epoch` - 1.
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


class MalformedMessageError(Exception):
    """A header that is not what docs/node-protocol.md describes; the text says what is wrong with it."""


def decode(line: bytes) -> AnyMessage:
    """The message of one header line (without its end). Raises MalformedMessageError."""
    try:
        message = _decoder.decode(line)
    except (msgspec.DecodeError, RecursionError) as trouble:
        raise MalformedMessageError(f"not a message: {trouble}") from None
    if message.body < 0:
        raise MalformedMessageError("body below 0")
    size = getattr(message, "size", 0)
    if size < 0 or (size and message.body > size):
        raise MalformedMessageError(f"size {size} does not hold a body of {message.body}")
    return message


def encode(message: Message, body: bytes = b"") -> bytes:
    """The header line of a message and the raw bytes behind it."""
    message.body = len(body)
    return _encoder.encode(message) + b"\r\n" + body


def decode_list(body: bytes) -> list[EndpointEntry]:
    """The lines of a list of nodes. Raises MalformedMessageError."""
    try:
        return _list_decoder.decode(body)
    except msgspec.DecodeError as trouble:
        raise MalformedMessageError(f"not a list of nodes: {trouble}") from None


def encode_list(entries: list[EndpointEntry]) -> bytes:
    return _encoder.encode(entries)
