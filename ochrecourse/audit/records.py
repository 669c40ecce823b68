"""Events that clients, nodes and list servers record at their own end of a connection.

One JSON line a record; the key "r" tells the classes apart. Times are nanoseconds of the host's monotonic
clock, which all processes of a machine share, or of the virtual clock of a day in one process. Nothing here
comes from a gateway.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import IO, Protocol

import msgspec


class Record(msgspec.Struct, tag_field="r", omit_defaults=True, kw_only=True, gc=False):
    """Base of all records. `t`: when the event happened, ns."""

    t: int


class RequestSent(Record, tag="asked", rename={"request_class": "product", "tenant": "plan"}):
    """A client sent a request on one of its connections. `timeout` in ns."""

    gateway: str
    conn: int
    id: int
    trace: str
    request_class: str
    tenant: str
    volume: int
    key: int
    units: float
    timeout: int
    retry: bool = False
    shard: int = -1


class ResponseReceived(
    Record, tag="told", rename={"outcome": "how", "made_at": "made", "retry_after": "come_back"}
):
    """A client received the final outcome of a request.

    `outcome`: fulfilled, denied, written_off, refused, left.
    """

    gateway: str
    conn: int
    id: int
    trace: str
    outcome: str
    made_at: int = 0  # when a node made the response, if the day's responses carry that; ns
    retry_after: int = 0  # ns after which a denial advises to retry


class CancelSent(Record, tag="left"):
    """A client stopped waiting before its timeout and cancelled the request."""

    gateway: str
    conn: int
    id: int
    trace: str


class ConnectionLost(Record, tag="conn_lost"):
    """A client's connection ended."""

    gateway: str
    conn: int


class GatewayKilled(Record, tag="killed"):
    """A gateway's process was killed."""

    gateway: str


class GatewayStarted(Record, tag="started"):
    """A gateway's process started."""

    gateway: str


class GatewayPaused(Record, tag="stopped", rename={"resumed": "on"}):
    """A gateway's process was paused, or resumed if `resumed` is set."""

    gateway: str
    resumed: bool = False


class NetworkPartitioned(
    Record, tag="apart", rename={"group": "some", "other_group": "others", "healed": "on"}
):
    """Two groups of gateways were isolated from each other, or reconnected if `healed` is set."""

    group: list[str]
    other_group: list[str]
    healed: bool = False


class NodeStarted(Record, tag="node_up"):
    """A node started.

    `capacity`: core-ns of work a second when warm; `cold_from`: its share of that at the start;
    `cold_for`: how long it warms up, ns, 0 if it is warm.
    """

    node: int
    shard: int
    zone: int
    capacity: float
    cold_from: float = 1.0
    cold_for: int = 0


class NodeStopped(Record, tag="node_down", rename={"overloaded": "fell"}):
    """A node's process ended. `overloaded`: it failed under its load while cold."""

    node: int
    overloaded: bool = False


class AttemptReceived(Record, tag="leg_came", rename={"idempotency_key": "mark", "request_class": "product"}):
    """A node received the header of an attempt. `work` in core-ns."""

    node: int
    gateway: str
    conn: int
    id: int
    idempotency_key: str
    trace: str
    number: int
    request_class: str
    volume: int
    key: int
    units: float
    work: float


class AttemptEnded(Record, tag="leg_over", rename={"outcome": "how"}):
    """An attempt ended at its node.

    `outcome`: done, failed, full, moot (the node does not hold the shard), cancelled, or cut (connection
    lost).
    """

    node: int
    conn: int
    id: int
    outcome: str


class AttemptCancelled(Record, tag="given_up"):
    """The gateway's cancel of an attempt reached its node."""

    node: int
    conn: int
    id: int


class EffectApplied(Record, tag="effect", rename={"idempotency_key": "mark", "request_class": "product"}):
    """An attempt had its effect at a node."""

    node: int
    idempotency_key: str
    trace: str
    request_class: str
    units: float


class NodeHealthSent(Record, tag="list_told"):
    """The list server sent a node's health to a gateway. `started`: when the node started, 0 if long ago."""

    gateway: str
    node: int
    health: str
    started: int


class RouteChanged(Record, tag="announced", rename={"is_announced": "up"}):
    """A BGP peer received an announcement or a withdrawal of a gateway's address.

    `med`: the MED as received, 0 without one.
    """

    gateway: str
    is_announced: bool
    med: int = 0


class ProbeEnded(Record, tag="probed", rename={"sent_at": "asked", "outcome": "how"}):
    """A probe through a gateway's address was answered or given up. `sent_at`: when it was sent, ns."""

    gateway: str
    sent_at: int
    outcome: str


class EventLoopStalled(Record, tag="loop_late", rename={"duration": "late"}):
    """The event loop of the recording process did not run for `duration` ns up to now.

    `process`: "clients" or "nodes".
    """

    process: str
    duration: int


class FaultChanged(Record, tag="trouble", rename={"description": "what"}):
    """A fault was injected or repaired."""

    kind: str
    description: str


AnyRecord = (
    RequestSent | ResponseReceived | CancelSent | ConnectionLost |
    GatewayKilled | GatewayStarted | GatewayPaused | NetworkPartitioned | NodeStarted | NodeStopped |
    AttemptReceived | AttemptEnded | AttemptCancelled | EffectApplied |
    NodeHealthSent | RouteChanged | ProbeEnded | EventLoopStalled | FaultChanged
)  # fmt: skip

_decoder = msgspec.json.Decoder(AnyRecord)
_encoder = msgspec.json.Encoder()


class InvalidRecordError(Exception):
    """A line is not a valid record; the text names the file and the line."""


class Recorder(Protocol):
    """A callable that stores a record."""

    def __call__(self, record: Record, /) -> None:
        """Stores the record."""
        ...


def discard(record: Record) -> None:
    """A recorder that stores nothing."""


class RecordFile:
    """Writes records to a file, buffered."""

    def __init__(self, path: Path) -> None:
        self.file: IO[bytes] = open(path, "wb", buffering=1 << 20)  # noqa: SIM115

    def __call__(self, record: Record) -> None:
        """Appends the record as one JSON line."""
        self.file.write(_encoder.encode(record) + b"\n")

    def close(self) -> None:
        """Writes what is buffered and closes the file."""
        self.file.close()


def encode(record: Record) -> bytes:
    """The record as JSON, without the line end."""
    return _encoder.encode(record)


def read(paths: Iterable[Path]) -> Iterator[AnyRecord]:
    """Yields the records of the files, one file after the other.

    Skips a truncated last line, which a killed process leaves. Raises InvalidRecordError.
    """
    for path in paths:
        with open(path, "rb") as file:
            for number, line in enumerate(file, 1):
                try:
                    yield _decoder.decode(line)
                except msgspec.DecodeError as trouble:
                    if not line.endswith(b"\n"):
                        continue
                    raise InvalidRecordError(f"{path}:{number}: {trouble}") from None
