"""What both ends of the sockets write down: one JSON line each, told apart by "r". Times are ns of one clock.

The clock is the host's monotonic clock, which all processes of a machine share, or the virtual clock of a day
in one process. Clients, nodes and list servers record what crossed their own end; nothing here comes from a
gateway.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import IO, Protocol

import msgspec


class Record(msgspec.Struct, tag_field="r", omit_defaults=True, kw_only=True, gc=False):
    """What all records have: when it happened."""

    t: int


class RequestSent(Record, tag="asked", rename={"request_class": "product", "tenant": "plan"}):
    """A client sent a job on one of its connections; `timeout` in ns."""

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
    """A client heard something final about a job. `how`: fulfilled, denied, written_off, refused, left."""

    gateway: str
    conn: int
    id: int
    trace: str
    outcome: str
    made_at: int = 0  # when a node made this answer, where the day's answers carry that; ns of the same clock
    retry_after: int = 0  # ns after which a denial says that there is room


class CancelSent(Record, tag="left"):
    """A client stopped waiting before its timeout and said so."""

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
    """A gateway's process runs."""

    gateway: str


class GatewayPaused(Record, tag="stopped", rename={"resumed": "on"}):
    """A gateway's process stands still from now on, or runs on (`on`)."""

    gateway: str
    resumed: bool = False


class NetworkPartitioned(
    Record, tag="apart", rename={"group": "some", "other_group": "others", "healed": "on"}
):
    """Nothing passes between gateways of one group and of the other from now on, or again (`on`)."""

    group: list[str]
    other_group: list[str]
    healed: bool = False


class NodeStarted(Record, tag="node_up"):
    """A node started. `capacity`: core-ns of work a second when warm; `cold_for` in ns, 0 if it is warm."""

    node: int
    shard: int
    zone: int
    capacity: float
    cold_from: float = 1.0
    cold_for: int = 0


class NodeStopped(Record, tag="node_down", rename={"overloaded": "fell"}):
    """A node's process ended. `fell`: pushed over while cold."""

    node: int
    overloaded: bool = False


class AttemptReceived(Record, tag="leg_came", rename={"idempotency_key": "mark", "request_class": "product"}):
    """A leg's header reached a node; `work` in core-ns."""

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
    """A leg ended at its node. `how`: done, failed, full, moot (not held here), cancelled, cut."""

    node: int
    conn: int
    id: int
    outcome: str


class AttemptCancelled(Record, tag="given_up"):
    """The gateway's cancel of a leg reached its node."""

    node: int
    conn: int
    id: int


class EffectApplied(Record, tag="effect", rename={"idempotency_key": "mark", "request_class": "product"}):
    """A leg had its effect at a node."""

    node: int
    idempotency_key: str
    trace: str
    request_class: str
    units: float


class NodeHealthSent(Record, tag="list_told"):
    """The list server told a gateway of a node. `started`: when the node was started, 0 if long ago."""

    gateway: str
    node: int
    health: str
    started: int


class RouteChanged(Record, tag="announced", rename={"is_announced": "up"}):
    """A BGP peer was told of a gateway's address, or that it is gone (`up` false). `med` as told, 0
    without.
    """

    gateway: str
    is_announced: bool
    med: int = 0


class ProbeEnded(Record, tag="probed", rename={"sent_at": "asked", "outcome": "how"}):
    """A probe job through a gateway's address was answered or given up; `asked`: when it was sent."""

    gateway: str
    sent_at: int
    outcome: str


class EventLoopStalled(Record, tag="loop_late", rename={"duration": "late"}):
    """The event loop of the process that records this did not turn for `late` ns up to now. `process`:
    "clients" or "nodes".
    """

    process: str
    duration: int


class FaultChanged(Record, tag="trouble", rename={"description": "what"}):
    """Something was broken on purpose, or mended."""

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
    """A line of a record that is not one; the text names file and line."""


class Recorder(Protocol):
    """Where records go."""

    def __call__(self, record: Record, /) -> None: ...


def discard(record: Record) -> None:
    """For runs that keep no record."""


class RecordFile:
    """Records into a file, buffered; `close` writes the rest."""

    def __init__(self, path: Path) -> None:
        self.file: IO[bytes] = open(path, "wb", buffering=1 << 20)  # noqa: SIM115

    def __call__(self, record: Record) -> None:
        self.file.write(_encoder.encode(record) + b"\n")

    def close(self) -> None:
        self.file.close()


def encode(record: Record) -> bytes:
    return _encoder.encode(record)


def read(paths: Iterable[Path]) -> Iterator[AnyRecord]:
    """All records of some files, a file after the other; a cut last line (a killed process) is skipped.
    Raises BadRecord.
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
