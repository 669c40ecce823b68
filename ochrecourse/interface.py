"""What a host and the decision module say to each other.

The host reports what it saw through the calls of `Decisions`, then pulls with `decide` until it gets None.
Times are whole nanoseconds on the host's clock; ids are whatever the host uses, unchanged.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol


class Health(enum.Enum):
    """What the list says of a storage node."""

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
    """How a leg ended."""

    FULFILLED = "fulfilled"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"
    RESET = "reset"
    WITHDRAWN = "withdrawn"
    MOOT = "moot"


class Answer(enum.Enum):
    """A final answer that the gateway gives of its own; a fulfilled job is answered by its leg."""

    DENIED = "denied"
    WRITTEN_OFF = "written off"


class ListCall(enum.Enum):
    """What the gateway may ask of the list of storage nodes."""

    FOLLOW = "follow"


@dataclass(slots=True)
class Job:
    """One request of a client, as the gateway took it."""

    id: int
    product: int
    plan: int
    volume: int
    key: int
    units: float
    shard: int  # the shard that holds the data; below 0 for a new object, which any node may take
    gateways: int  # through how many gateways the volume's jobs come
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
class Leg:
    """Send this job to this node. Legs of a job are counted from 0 in the order in which they were sent."""

    job: int
    number: int
    node: int
    time_out: int  # how long to wait for it; 0 means until the client gives up
    write_before: int = 0  # clock time from which on it may not be written any more; 0 means no such time


@dataclass(slots=True)
class LegEnd:
    """How a leg ended, and what the node said with its answer."""

    job: int
    number: int
    node: int
    ending: Ending
    took: int
    last: bool  # the job is over
    volume_used: float  # units served for the volume in a past period, against its rate; below 0: not told
    elsewhere: int  # units that this shard served the volume through other gateways
    load: Mapping[str, float]  # the node's load report by name; empty without one


@dataclass(slots=True)
class Verdict:
    """Give this job its final answer now."""

    job: int
    answer: Answer
    come_back: int  # advice on how long the client should stay away; 0 means none


class MissingValue(Exception):
    """The start settings lack a value that the decisions need."""


class Decisions(Protocol):
    """The calls of the decision module. All but `decide` and `next_due` only record what was seen."""

    def list_came(self, kind: ListKind, entries: Sequence[NodeEntry], now: int) -> None: ...

    def job_came(self, job: Job, now: int) -> None: ...

    def attempt_written(self, job: int, now: int) -> None: ...

    def leg_ended(self, end: LegEnd, now: int) -> None: ...

    def bounds_came(self, bounds: Mapping[int, float], now: int) -> None: ...

    def stream_began(self, job: int) -> None: ...

    def job_gone(self, job: int) -> None: ...

    def decide(self, now: int) -> Leg | Verdict | ListCall | None: ...

    def next_due(self) -> int: ...
