"""What a gateway and its scheduler (decide.py) say to each other.

The gateway reports what it saw through the calls of `Decisions`, then pulls with `decide` until it gets None.
Times are whole nanoseconds on the gateway's clock; ids are whatever the gateway uses, unchanged.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol


class Health(enum.Enum):
    """What service discovery says of a storage node."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(enum.Enum):
    """How a list of storage nodes relates to the one before."""

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class Ending(enum.Enum):
    """How an attempt ended. The values stand in records and log lines."""

    SERVED = "fulfilled"
    FULFILLED = SERVED  # the name that programs of library surface 1 use
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"
    RESET = "reset"
    WITHDRAWN = "withdrawn"
    MOOT = "moot"


class Outcome(enum.Enum):
    """A final answer that the gateway gives of its own; a served request is answered by its attempt."""

    REJECTED = "rejected"
    FAILED = "failed"


class ListCall(enum.Enum):
    """What the gateway may ask of service discovery."""

    FOLLOW = "follow"


@dataclass(slots=True)
class Request:
    """One request of a client, as the gateway took it."""

    id: int
    request_class: int
    tenant: int
    volume: int
    key: int
    units: float
    shard: int  # the shard that holds the data; below 0 for a new object, which any node may take
    gateways: int  # through how many gateways the volume's requests come
    client_timeout: int  # clock time at which the client stops waiting


@dataclass(slots=True)
class NodeEntry:
    """One line of the list of storage nodes."""

    node: int
    zone: int
    shard: int
    health: Health
    started: int  # clock time of its last start, 0 if long ago


@dataclass(slots=True)
class Attempt:
    """Send this request to this node. A request's attempts are counted from 0 in the order of sending."""

    request_id: int
    number: int
    node: int
    time_out: int  # how long to wait for it; 0 means until the client gives up
    write_before: int = 0  # clock time from which on it may not be written any more; 0 means no such time


@dataclass(slots=True)
class AttemptEnd:
    """How an attempt ended, and what the node said with its answer."""

    request_id: int
    number: int
    node: int
    ending: Ending
    took: int
    last: bool  # the request is over
    volume_used: float  # units served for the volume in a past period, against its rate; below 0: not known
    elsewhere: int  # units that this shard served the volume through other gateways
    load: Mapping[str, float]  # the node's load report by name; empty without one


@dataclass(slots=True)
class Reply:
    """Give this request its final answer now."""

    request_id: int
    outcome: Outcome
    retry_after: int  # advice on how long the client should stay away; 0 means none


class MissingSettingError(Exception):
    """The start settings lack a value that the decisions need."""


class Decisions(Protocol):
    """The calls of the scheduler. All but `decide` and `next_due` only record what was seen."""

    def list_received(self, kind: ListKind, entries: Sequence[NodeEntry], now: int) -> None: ...

    def request_received(self, request: Request, now: int) -> None: ...

    def attempt_written(self, request_id: int, now: int) -> None: ...

    def attempt_ended(self, end: AttemptEnd, now: int) -> None: ...

    def node_rates_received(self, bounds: Mapping[int, float], now: int) -> None: ...

    def stream_began(self, request_id: int) -> None: ...

    def request_cancelled(self, request_id: int) -> None: ...

    def decide(self, now: int) -> Attempt | Reply | ListCall | None: ...

    def next_due(self) -> int: ...
