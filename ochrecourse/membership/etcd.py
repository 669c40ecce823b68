"""The published JSON form of the etcd v3 API: bodies to send, answers to read. Free of I/O.

Keys and values are base64, 64-bit numbers are strings, fields that are zero are left out. Only what a gateway
needs is here: range, watch, put under a lease, lease grant, keepalive and revoke.
"""

from __future__ import annotations

import base64
from collections.abc import Iterator
from typing import Any

import msgspec

from ochrecourse.membership.registry_state import Change, RangeAsked, Record

RANGE, WATCH, PUT = "/v3/kv/range", "/v3/watch", "/v3/kv/put"
GRANT, KEEP_ALIVE, REVOKE = "/v3/lease/grant", "/v3/lease/keepalive", "/v3/lease/revoke"
LONGEST = 1 << 24  # bytes of one message of a stream
OUT_OF_RANGE = 11  # the gRPC code of a revision that was compacted, or is not there yet


class BadAnswer(Exception):
    """An answer that is not of the published form; the text says how."""


class Compacted(Exception):
    """The revision that was asked for is no longer there."""


class Header(msgspec.Struct):
    """What comes with every answer."""

    cluster_id: int = 0
    member_id: int = 0
    revision: int = 0
    raft_term: int = 0


class KeyValue(msgspec.Struct):
    """One key. Absent fields are zero or empty."""

    key: str = ""
    value: str = ""
    create_revision: int = 0
    mod_revision: int = 0
    version: int = 0
    lease: int = 0


class RangeAnswer(msgspec.Struct):
    """The answer to a range."""

    header: Header
    kvs: list[KeyValue] = []
    more: bool = False
    count: int = 0


class Event(msgspec.Struct):
    """One change of a watch; without a type it is a put."""

    kv: KeyValue
    type: str = "PUT"


class WatchAnswer(msgspec.Struct):
    """One message of a watch."""

    header: Header = msgspec.field(default_factory=Header)
    watch_id: int = 0
    created: bool = False
    canceled: bool = False
    compact_revision: int = 0
    cancel_reason: str = ""
    events: list[Event] = []


class Streamed(msgspec.Struct):
    """How the JSON form wraps each message of a stream."""

    result: WatchAnswer | None = None
    error: Any = None


class Granted(msgspec.Struct):
    """The answer to a grant or a keepalive; a TTL of 0 or below: the lease is gone. TTL in s."""

    header: Header = msgspec.field(default_factory=Header)
    ID: int = 0
    TTL: int = 0


class Kept(msgspec.Struct):
    """How the JSON form wraps a keepalive's answer."""

    result: Granted | None = None


class Failure(msgspec.Struct):
    """The body of an answer that is no success."""

    code: int = 0
    message: str = ""
    error: Any = None


def _coded(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _plain(text: str) -> bytes:
    try:
        return base64.b64decode(text, validate=True)
    except ValueError:
        raise BadAnswer(f"not base64: {text[:40]!r}") from None


def end_of(prefix: bytes) -> bytes:
    """The first key after all with this prefix; a prefix of 0xff only has none, which a single 0 says."""
    for at in range(len(prefix) - 1, -1, -1):
        if prefix[at] < 0xFF:
            return prefix[:at] + bytes((prefix[at] + 1,))
    return b"\0"


def range_body(prefix: bytes, asked: RangeAsked, most: int) -> bytes:
    """A page of at most so many keys, in order of keys."""
    end = _coded(end_of(prefix))
    body: dict[str, Any] = {"key": _coded(asked.start), "range_end": end, "limit": str(most)}
    if asked.revision:
        body["revision"] = str(asked.revision)
    return msgspec.json.encode(body)


def newest_body(prefix: bytes) -> bytes:
    """The key under the prefix that changed last, without its value."""
    return msgspec.json.encode(
        {
            "key": _coded(prefix),
            "range_end": _coded(end_of(prefix)),
            "limit": "1",
            "sort_order": "DESCEND",
            "sort_target": "MOD",
            "keys_only": True,
        }
    )


def watch_body(prefix: bytes, revision: int) -> bytes:
    asked = {
        "key": _coded(prefix),
        "range_end": _coded(end_of(prefix)),
        "start_revision": str(revision),
        "progress_notify": True,
    }
    return msgspec.json.encode({"create_request": asked})


def put_body(key: bytes, value: bytes, lease: int) -> bytes:
    return msgspec.json.encode({"key": _coded(key), "value": _coded(value), "lease": str(lease)})


def grant_body(seconds: int) -> bytes:
    return msgspec.json.encode({"TTL": str(seconds)})


def lease_body(lease: int) -> bytes:
    """Of a keepalive or a revoke."""
    return msgspec.json.encode({"ID": str(lease)})


def _decoded(data: bytes, kind: Any) -> Any:
    try:
        return msgspec.json.decode(data, type=kind, strict=False)
    except msgspec.DecodeError as trouble:
        raise BadAnswer(str(trouble)) from None


def failure(status: int, body: bytes) -> None:
    """Raises Compacted or BadAnswer for an answer that is no success."""
    try:
        told = msgspec.json.decode(body, type=Failure, strict=False)
    except msgspec.DecodeError:
        raise BadAnswer(f"status {status}") from None
    if told.code == OUT_OF_RANGE and "compacted" in (told.message or str(told.error)):
        raise Compacted
    raise BadAnswer(f"status {status}: {told.message or told.error}")


def range_answer(status: int, body: bytes) -> tuple[Header, list[Record], bool]:
    """Header, records and whether there is more. Raises Compacted, BadAnswer."""
    if status != 200:
        failure(status, body)
    answer: RangeAnswer = _decoded(body, RangeAnswer)
    records = [Record(_plain(kv.key), _plain(kv.value), kv.mod_revision) for kv in answer.kvs]
    return answer.header, records, answer.more


def changes_of(answer: WatchAnswer) -> list[Change]:
    """The changes of a watch's message, in order. Raises BadAnswer."""
    told = []
    for event in answer.events:
        if event.type not in ("PUT", "DELETE"):
            raise BadAnswer(f"an event of type {event.type!r}")
        value = None if event.type == "DELETE" else _plain(event.kv.value)
        told.append(Change(_plain(event.kv.key), value, event.kv.mod_revision))
    return told


def granted(status: int, body: bytes, stream: bool = False) -> Granted:
    """The answer to a grant, or to a keepalive (`stream`). Raises BadAnswer, Compacted."""
    if status != 200:
        failure(status, body)
    if not stream:
        answer: Granted = _decoded(body, Granted)
        return answer
    kept: Kept = _decoded(body.strip().split(b"\n")[0], Kept)
    if kept.result is None:
        raise BadAnswer("a keepalive without a result")
    return kept.result


class Stream:
    """Splits what a watch sends into its messages, in whatever pieces it comes."""

    def __init__(self) -> None:
        self.data = b""

    def feed(self, data: bytes) -> Iterator[WatchAnswer]:
        """Raises BadAnswer, Compacted."""
        self.data += data
        if len(self.data) > LONGEST:
            raise BadAnswer(f"a message of more than {LONGEST} bytes")
        *whole, self.data = self.data.split(b"\n")
        for line in whole:
            if not line.strip():
                continue
            message: Streamed = _decoded(line, Streamed)
            if message.result is None:
                failure(200, msgspec.json.encode(message.error or {}))
            else:
                yield message.result
