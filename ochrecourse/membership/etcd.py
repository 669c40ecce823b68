"""The published JSON form of the etcd v3 API: requests to send, responses to decode. Free of I/O.

Keys and values are base64, 64-bit numbers are strings, zero fields are omitted. Only the calls that a gateway
uses are implemented: range, watch, put under a lease, lease grant, keepalive and revoke.
"""

from __future__ import annotations

import base64
from collections.abc import Iterator
from typing import Any, NamedTuple, NoReturn

import msgspec

from ochrecourse.common.errors import OchrecourseError
from ochrecourse.membership.registry_state import RangePage, RangeRequest, RegistryRecord, WatchEvent

RANGE_PATH = "/v3/kv/range"
WATCH_PATH = "/v3/watch"
PUT_PATH = "/v3/kv/put"
LEASE_GRANT_PATH = "/v3/lease/grant"
LEASE_KEEPALIVE_PATH = "/v3/lease/keepalive"
LEASE_REVOKE_PATH = "/v3/lease/revoke"

METHOD = "POST"
HEADERS = {"Content-Type": "application/json"}
OK_STATUS = 200
UNKNOWN_LEASE_STATUS = 400
MAX_STREAM_MESSAGE_BYTES = 1 << 24
GRPC_OUT_OF_RANGE = 11  # the revision was compacted or does not exist yet


class BadResponseError(OchrecourseError):
    """A response that does not conform to the API; the text says how."""


class CompactedError(OchrecourseError):
    """The requested revision was compacted."""


class EtcdRequest(NamedTuple):
    """A POST request: path and JSON body."""

    path: str
    body: bytes


class ResponseHeader(msgspec.Struct):
    """The header of every response."""

    cluster_id: int = 0
    member_id: int = 0
    revision: int = 0
    raft_term: int = 0


class KeyValue(msgspec.Struct):
    """A key with its value and revisions. Absent fields are zero or empty."""

    key: str = ""
    value: str = ""
    create_revision: int = 0
    mod_revision: int = 0
    version: int = 0
    lease: int = 0


class RangeResponse(msgspec.Struct):
    """The response to a range request."""

    header: ResponseHeader
    kvs: list[KeyValue] = []
    more: bool = False
    count: int = 0


class Event(msgspec.Struct):
    """An event of a watch; an absent type means a put."""

    kv: KeyValue
    type: str = "PUT"


class WatchResponse(msgspec.Struct):
    """A message of a watch stream."""

    header: ResponseHeader = msgspec.field(default_factory=ResponseHeader)
    watch_id: int = 0
    created: bool = False
    canceled: bool = False
    compact_revision: int = 0
    cancel_reason: str = ""
    events: list[Event] = []


class WatchStreamMessage(msgspec.Struct):
    """The envelope of each message of a watch stream."""

    result: WatchResponse | None = None
    error: Any = None


class LeaseResponse(msgspec.Struct, rename={"lease_id": "ID", "ttl_seconds": "TTL"}):
    """The response to a grant, a keepalive or a put; a `ttl_seconds` of 0 or less: the lease has expired."""

    header: ResponseHeader = msgspec.field(default_factory=ResponseHeader)
    lease_id: int = 0
    ttl_seconds: int = 0


class KeepaliveStreamMessage(msgspec.Struct):
    """The envelope of the response to a keepalive."""

    result: LeaseResponse | None = None


class ErrorResponse(msgspec.Struct):
    """The body of an error response."""

    code: int = 0
    message: str = ""
    error: Any = None


# --- requests ---


def prefix_range_end(prefix: bytes) -> bytes:
    """Returns the first key after all keys with the prefix; b"\\0" (no end) if the prefix is all 0xff."""
    for index in range(len(prefix) - 1, -1, -1):
        if prefix[index] < 0xFF:
            return prefix[:index] + bytes((prefix[index] + 1,))
    return b"\0"


def range_request(prefix: bytes, request: RangeRequest, max_keys: int) -> EtcdRequest:
    """Requests a page of at most `max_keys` keys, in key order."""
    range_end = _encode_base64(prefix_range_end(prefix))
    fields = {"key": _encode_base64(request.start_key), "range_end": range_end, "limit": str(max_keys)}
    if request.revision:
        fields["revision"] = str(request.revision)
    return EtcdRequest(RANGE_PATH, msgspec.json.encode(fields))


def newest_record_request(prefix: bytes) -> EtcdRequest:
    """Requests the most recently modified key under the prefix, without its value."""
    fields = {
        "key": _encode_base64(prefix),
        "range_end": _encode_base64(prefix_range_end(prefix)),
        "limit": "1",
        "sort_order": "DESCEND",
        "sort_target": "MOD",
        "keys_only": True,
    }
    return EtcdRequest(RANGE_PATH, msgspec.json.encode(fields))


def watch_request(prefix: bytes, start_revision: int) -> EtcdRequest:
    """Requests the events of all keys under the prefix from a revision on, with progress notifications."""
    fields = {
        "key": _encode_base64(prefix),
        "range_end": _encode_base64(prefix_range_end(prefix)),
        "start_revision": str(start_revision),
        "progress_notify": True,
    }
    return EtcdRequest(WATCH_PATH, msgspec.json.encode({"create_request": fields}))


def put_request(key: bytes, value: bytes, lease_id: int) -> EtcdRequest:
    """Puts a key under a lease; the registry deletes it when the lease ends."""
    fields = {"key": _encode_base64(key), "value": _encode_base64(value), "lease": str(lease_id)}
    return EtcdRequest(PUT_PATH, msgspec.json.encode(fields))


def lease_grant_request(ttl_seconds: int) -> EtcdRequest:
    """Requests a new lease."""
    return EtcdRequest(LEASE_GRANT_PATH, msgspec.json.encode({"TTL": str(ttl_seconds)}))


def lease_keepalive_request(lease_id: int) -> EtcdRequest:
    """Extends a lease by its time to live."""
    return EtcdRequest(LEASE_KEEPALIVE_PATH, msgspec.json.encode({"ID": str(lease_id)}))


def lease_revoke_request(lease_id: int) -> EtcdRequest:
    """Revokes a lease; the registry deletes its keys."""
    return EtcdRequest(LEASE_REVOKE_PATH, msgspec.json.encode({"ID": str(lease_id)}))


# --- responses ---


def raise_error_response(status: int, body: bytes) -> NoReturn:
    """Raises CompactedError or BadResponseError for an error response."""
    try:
        response = msgspec.json.decode(body, type=ErrorResponse, strict=False)
    except msgspec.DecodeError:
        raise BadResponseError(f"status {status}") from None
    if response.code == GRPC_OUT_OF_RANGE and "compacted" in (response.message or str(response.error)):
        raise CompactedError
    raise BadResponseError(f"status {status}: {response.message or response.error}")


def decode_range_response(status: int, body: bytes) -> RangePage:
    """Decodes a page of a range. Raises CompactedError, BadResponseError."""
    if status != OK_STATUS:
        raise_error_response(status, body)
    response: RangeResponse = _decode_json(body, RangeResponse)
    records = [
        RegistryRecord(_decode_base64(kv.key), _decode_base64(kv.value), kv.mod_revision)
        for kv in response.kvs
    ]
    return RangePage(response.header.cluster_id, response.header.revision, records, response.more)


def watch_events(response: WatchResponse) -> list[WatchEvent]:
    """Decodes the events of a watch message, in order. Raises BadResponseError."""
    events = []
    for event in response.events:
        if event.type not in ("PUT", "DELETE"):
            raise BadResponseError(f"an event of type {event.type!r}")
        value = None if event.type == "DELETE" else _decode_base64(event.kv.value)
        events.append(WatchEvent(_decode_base64(event.kv.key), value, event.kv.mod_revision))
    return events


def decode_lease_response(status: int, body: bytes) -> LeaseResponse:
    """Decodes the response to a grant or a put. Raises BadResponseError, CompactedError."""
    if status != OK_STATUS:
        raise_error_response(status, body)
    response: LeaseResponse = _decode_json(body, LeaseResponse)
    return response


def decode_keepalive_response(status: int, body: bytes) -> LeaseResponse:
    """Decodes the response to a keepalive, a stream of one message. Raises BadResponseError,
    CompactedError.
    """
    if status != OK_STATUS:
        raise_error_response(status, body)
    first_line = body.strip().split(b"\n")[0]
    message: KeepaliveStreamMessage = _decode_json(first_line, KeepaliveStreamMessage)
    if message.result is None:
        raise BadResponseError("a keepalive without a result")
    return message.result


class WatchStreamDecoder:
    """Splits a watch stream, received in chunks of any size, into messages."""

    def __init__(self) -> None:
        self._unread = b""

    def feed(self, data: bytes) -> Iterator[WatchResponse]:
        """Yields the messages that `data` completes. Raises BadResponseError, CompactedError."""
        self._unread += data
        if len(self._unread) > MAX_STREAM_MESSAGE_BYTES:
            # A server that never ends its message would otherwise grow memory without bound.
            raise BadResponseError(f"a message of more than {MAX_STREAM_MESSAGE_BYTES} bytes")
        *lines, self._unread = self._unread.split(b"\n")
        for line in lines:
            if not line.strip():
                continue
            message: WatchStreamMessage = _decode_json(line, WatchStreamMessage)
            if message.result is None:
                raise_error_response(OK_STATUS, msgspec.json.encode(message.error or {}))
            yield message.result


def _encode_base64(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _decode_base64(text: str) -> bytes:
    try:
        return base64.b64decode(text, validate=True)
    except ValueError:
        raise BadResponseError(f"not base64: {text[:40]!r}") from None


def _decode_json(data: bytes, kind: Any) -> Any:
    try:
        return msgspec.json.decode(data, type=kind, strict=False)
    except msgspec.DecodeError as error:
        raise BadResponseError(str(error)) from None
