"""What a gateway and its scheduler (ochrecourse/scheduler/) say to each other.

The gateway reports what it saw through the calls of `SchedulerApi`, then pulls with `decide` until it gets
None. Times are whole nanoseconds: clock times on the gateway's clock where a comment says so, else spans.
Work is in the units of the settings. Ids are whatever the gateway uses, unchanged.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from ochrecourse.common.errors import OchrecourseError


class Health(enum.Enum):
    """What service discovery says of a storage node. The values stand on wires."""

    GONE = 0
    READY = 1
    DRAINING = 2  # finishes what it has and takes nothing new


class ListKind(enum.Enum):
    """How a list of storage nodes relates to the one before. The values stand on wires."""

    DELTA = 0  # names the nodes that changed
    FULL = 1  # names all nodes
    CACHED = 2  # names all nodes, as of an earlier time
    FAILED = 3  # no list: a poll failed


class Ending(enum.Enum):
    """How an attempt ended. The values stand in records and log lines."""

    SERVED = "fulfilled"
    FULFILLED = SERVED  # the name that programs of library surface 1 use
    ERROR = "error"  # the node says that it failed; it may have run
    FULL = "full"  # the node refused it unseen
    TIMEOUT = "timeout"  # no answer in time; it may still run
    UNREACHABLE = "unreachable"  # it never reached the node as a whole, so it did not run
    RESET = "reset"  # the connection ended or was corrupted before the answer; it may still run
    WITHDRAWN = "withdrawn"  # given up for its client after it was written; it may still run
    MOOT = "moot"  # it did not run, for a reason on this side


class Outcome(enum.Enum):
    """A final answer that the gateway gives of its own; a served request is answered by its attempt."""

    REJECTED = "rejected"  # nothing ran, or a repeat is harmless
    FAILED = "failed"  # it may have run


class ListCall(enum.Enum):
    """What the gateway may ask of service discovery."""

    FOLLOW = "follow"  # the list, and its changes from then on


@dataclass(slots=True)
class Request:
    """One request of a client, as the gateway took it."""

    id: int
    request_class: int  # its place in the settings
    tenant: int  # its place in the settings
    volume: int
    key: int  # idempotency key, which may be ordered too; 0 for none
    units: float  # of work; 0 where that is not known
    shard: int  # the shard that holds the data; below 0 for a new object, which any node may take
    gateways: int  # through how many gateways the volume's requests come
    deadline: int  # clock time at which the client stops waiting


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
    took: int  # from its writing to its end
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


class MissingSettingError(OchrecourseError):
    """The start settings lack a value that the decisions need, or hold no number where one is needed."""


class SchedulerApi(Protocol):
    """The calls of a scheduler. All but `decide` and `next_due` only record what was seen.

    `now` is the present clock time; it never goes back from call to call. `request_received` and `decide`
    raise `MissingSettingError` for a value of the settings that is needed first now and is missing or
    senseless.
    """

    def list_received(self, kind: ListKind, entries: Sequence[NodeEntry], now: int) -> None:
        """Service discovery sent a list of storage nodes, or failed to."""

    def request_received(self, request: Request, now: int) -> None:
        """A client sent a request; `decide` will give its attempts or its reply."""

    def attempt_written(self, request_id: int, now: int) -> None:
        """The request's attempt that is out was handed to a connection: from now on it may run."""

    def attempt_ended(self, end: AttemptEnd, now: int) -> None:
        """An attempt that `decide` gave ended; each one ends once."""

    def node_rates_received(self, rates: Mapping[int, float], now: int) -> None:
        """Units a second that this gateway may begin at each node named; others are not limited."""

    def stream_began(self, request_id: int) -> None:
        """The answer of the request's attempt has begun to reach the client."""

    def request_cancelled(self, request_id: int) -> None:
        """The client no longer waits for this request."""

    def decide(self, now: int) -> Attempt | Reply | ListCall | None:
        """The next thing to do, or None when there is nothing more to do now."""

    def next_due(self) -> int:
        """Clock time by which `decide` is to be called again, whatever is reported."""
