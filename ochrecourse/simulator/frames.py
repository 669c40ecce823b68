"""The frames of the simulator's wire: bytes to records of the interface, and answers to bytes.

Input comes in batches: a header, then so many records, each of which begins with a code and the number of the
instance that it is for. Numbers are big-endian, times on the wire milliseconds. Each batch has one reply.
Input that is not of this form raises `BadFrameError`.
"""

from __future__ import annotations

import enum
import struct
from dataclasses import dataclass

from ochrecourse.common.errors import OchrecourseError
from ochrecourse.interface import (
    Attempt,
    AttemptEnd,
    Ending,
    Health,
    ListCall,
    ListKind,
    NodeEntry,
    Outcome,
    Reply,
    Request,
)

HEADER = struct.Struct(">IIId")  # number of the batch, records, bytes of records, clock time in ms
REPLY = struct.Struct(">III")  # number of the batch, records, bytes of records

CONFIGURE, CRASH, LIST, REQUEST, STREAM = 90, 70, 20, 40, 100
ATTEMPT_END, CANCELLED, DUE, PROBED, MESSAGE = 50, 60, 30, 10, 80


class AnswerCode(enum.IntEnum):
    """Codes of the records in a reply."""

    SEND = 10
    REJECT = 20
    FAIL = 30
    WAKE = 50
    FAULT = 100
    POLL = 110


ENDINGS = {
    100: Ending.SERVED,
    301: Ending.ERROR,
    302: Ending.FULL,
    303: Ending.TIMEOUT,
    304: Ending.UNREACHABLE,
    305: Ending.RESET,
    306: Ending.WITHDRAWN,
    307: Ending.MOOT,
}
POLL_AND_FOLLOW = 1  # the one way of asking for the endpoint list that is used
LONGEST_FAULT_BYTES = 60_000  # of the text; its size has two bytes
NS_PER_MS = 1e6  # a float: times on the wire are floats

_CONFIGURE = struct.Struct(">QI")
_LIST = struct.Struct(">QBI")
_ENTRY = struct.Struct(">IHHHBfd")
_REQUEST = struct.Struct(">IHHQdQfffB")
_STREAM = struct.Struct(">IdIB")
_ATTEMPT_END = struct.Struct(">IBIHdBHHB")
_PROBED = struct.Struct(">IHdB")
_MESSAGE = struct.Struct(">IH")
_U32 = struct.Struct(">I")
_U64 = struct.Struct(">Q")
_TAG = struct.Struct(">BH")
_SEND = struct.Struct(">BHIId")
_REJECT = struct.Struct(">BHId")
_FAIL = struct.Struct(">BHI")
_POLL = struct.Struct(">BHB")
_WAKE = struct.Struct(">BHdQ")
_FAULT = struct.Struct(">BHH")


class BadFrameError(OchrecourseError):
    """Input that is not what the wire describes; the text says what and where."""


@dataclass(frozen=True, slots=True)
class Header:
    """What stands before the records of a batch."""

    number: int  # of the batch
    records: int
    size: int  # bytes of the records
    clock_ms: float  # clock time


def read_header(data: bytes) -> Header:
    """The header of a batch, from `HEADER.size` bytes."""
    number, records, size, clock_ms = HEADER.unpack(data)
    return Header(number, records, size, clock_ms)


def to_ns(ms: float) -> int:
    """Milliseconds of the wire, which counts whole microseconds, as nanoseconds."""
    if not -1e15 < ms < 1e15:
        raise BadFrameError(f"time out of range: {ms}")
    return round(ms * 1000) * 1000


class Batch:
    """Reads the records of one batch in order. `body`: their bytes; `at`: how many of these are read."""

    def __init__(self, body: bytes) -> None:
        self.body = body
        self.at = 0

    def take(self, layout: struct.Struct) -> tuple[float, ...]:
        """The next values, as this layout has them."""
        try:
            values = layout.unpack_from(self.body, self.at)
        except struct.error:
            raise BadFrameError(f"record cut short at byte {self.at} of the batch") from None
        self.at += layout.size
        return values

    def text(self, size: int) -> bytes:
        """The next so many bytes."""
        if self.at + size > len(self.body):
            raise BadFrameError(f"text cut short at byte {self.at} of the batch")
        self.at += size
        return self.body[self.at - size : self.at]

    def tag(self) -> tuple[int, int]:
        """Code of the next record, and the instance that it is for."""
        code, gateway = self.take(_TAG)
        return int(code), int(gateway)

    def number(self) -> int:
        """A number of a request."""
        return int(self.take(_U32)[0])

    def token(self) -> int:
        """The token that a timer was set with."""
        return int(self.take(_U64)[0])

    def start(self) -> tuple[int, dict[str, str]]:
        """Seed of an instance's chance, and its settings by name."""
        seed, size = self.take(_CONFIGURE)
        try:
            lines = self.text(int(size)).decode().splitlines()
        except UnicodeDecodeError:
            raise BadFrameError("settings are not UTF-8") from None
        return int(seed), {name: value for name, _, value in (line.partition("=") for line in lines)}

    def nodes(self) -> tuple[ListKind, list[NodeEntry]]:
        """A list of storage nodes, and how it relates to the one before."""
        _, kind, count = self.take(_LIST)
        entries = [self._node() for _ in range(int(count))]
        if kind not in (0, 1, 2, 3):
            raise BadFrameError(f"unknown kind of list {kind}")
        return ListKind(int(kind)), entries

    def _node(self) -> NodeEntry:
        node, zone, _, shard, health, _, started = self.take(_ENTRY)
        if health not in (0, 1, 2):
            raise BadFrameError(f"unknown health {health}")
        return NodeEntry(int(node), int(zone), int(shard), Health(int(health)), to_ns(started))

    def request(self) -> Request:
        """A client's request."""
        ref, request_class, tenant, key, timeout, volume, units, shard, gateways, _ = self.take(_REQUEST)
        if not all(-1e9 < figure < 1e9 for figure in (units, shard, gateways)):
            raise BadFrameError(f"job {ref} has a figure out of range")
        return Request(
            id=int(ref),
            request_class=int(request_class),
            tenant=int(tenant),
            volume=int(volume),
            key=int(key),
            units=units,
            shard=int(shard),
            gateways=int(gateways),
            deadline=to_ns(timeout),
        )

    def stream(self) -> int:
        """The number of a request whose answer has begun to reach its client."""
        return int(self.take(_STREAM)[0])

    def load(self, count: int, names: list[str]) -> dict[str, float]:
        """A node's load report of so many figures, by the names that the settings give them."""
        values = self.take(struct.Struct(f">{count}f"))
        return dict(zip(names, values, strict=False))

    def attempt_end(self, names: list[str]) -> AttemptEnd:
        """How an attempt ended. `names`: of the figures in load reports."""
        ref, number, node, code, took, last, used, elsewhere, count = self.take(_ATTEMPT_END)
        ending = ENDINGS.get(int(code))
        if ending is None:
            raise BadFrameError(f"unknown ending {code}")
        load = self.load(int(count), names)
        return AttemptEnd(
            request_id=int(ref),
            number=int(number),
            node=int(node),
            ending=ending,
            took=to_ns(took),
            last=bool(last),
            volume_used=(used - 1) / 100,
            elsewhere=int(elsewhere),
            load=load,
        )

    def skip_probe(self) -> None:
        """Passes over the answer to a health check, which is not asked for."""
        self.load(int(self.take(_PROBED)[3]), [])

    def skip_message(self) -> None:
        """Passes over another instance's message."""
        self.text(int(self.take(_MESSAGE)[1]))


def answer(gateway: int, decision: Attempt | Reply | ListCall) -> bytes:
    """One decision of an instance as a record of the reply."""
    if isinstance(decision, Attempt):
        time_out_ms = decision.time_out / NS_PER_MS
        return _SEND.pack(AnswerCode.SEND, gateway, decision.request_id, decision.node, time_out_ms)
    if isinstance(decision, ListCall):
        return _POLL.pack(AnswerCode.POLL, gateway, POLL_AND_FOLLOW)
    if decision.outcome is Outcome.REJECTED:
        retry_after_ms = decision.retry_after / NS_PER_MS
        return _REJECT.pack(AnswerCode.REJECT, gateway, decision.request_id, retry_after_ms)
    return _FAIL.pack(AnswerCode.FAIL, gateway, decision.request_id)


def wake(gateway: int, span: int, token: int) -> bytes:
    """A timer for an instance: due after `span` ns, and named by `token` when it is."""
    return _WAKE.pack(AnswerCode.WAKE, gateway, span / NS_PER_MS, token)


def fault(gateway: int, text: str) -> bytes:
    """A failure inside an instance, with a line of text."""
    line = text.encode()[:LONGEST_FAULT_BYTES]
    return _FAULT.pack(AnswerCode.FAULT, gateway, len(line)) + line
