"""Frames of the simulator's wire protocol: decodes records of the interface, and encodes decisions.

Input consists of batches: a header followed by records, each of which starts with a code and the number of
its instance. Numbers are big-endian, times on the wire are in milliseconds. Each batch has one reply.
Malformed input raises `BadFrameError`.
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

HEADER = struct.Struct(">IIId")  # batch number, number of records, size of records in bytes, clock time in ms
REPLY = struct.Struct(">III")  # batch number, number of records, size of records in bytes

CONFIGURE, CRASH, LIST, REQUEST, STREAM = 90, 70, 20, 40, 100
ATTEMPT_END, CANCELLED, DUE, PROBED, MESSAGE = 50, 60, 30, 10, 80


class AnswerCode(enum.IntEnum):
    """Record codes of a reply."""

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
POLL_AND_FOLLOW = 1  # the only polling mode for the endpoint list that is used
MAX_FAULT_BYTES = 60_000  # of the text; its length field has two bytes
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
    """Input that violates the wire protocol; the text names the error and its position."""


@dataclass(frozen=True, slots=True)
class Header:
    """The header of a batch."""

    number: int  # of the batch
    records: int
    size: int  # bytes of the records
    clock_ms: float  # clock time


def read_header(data: bytes) -> Header:
    """Decodes the header of a batch from `HEADER.size` bytes."""
    number, records, size, clock_ms = HEADER.unpack(data)
    return Header(number, records, size, clock_ms)


def to_ns(ms: float) -> int:
    """Converts milliseconds of the wire to nanoseconds, rounded to the wire's resolution of a microsecond."""
    if not -1e15 < ms < 1e15:
        raise BadFrameError(f"time out of range: {ms}")
    return round(ms * 1000) * 1000


class Batch:
    """Reads the records of one batch in order. `body`: their bytes; `at`: the offset of the next one."""

    def __init__(self, body: bytes) -> None:
        self.body = body
        self.at = 0

    def unpack(self, layout: struct.Struct) -> tuple[float, ...]:
        """Reads the next values, packed in this layout."""
        try:
            values = layout.unpack_from(self.body, self.at)
        except struct.error:
            raise BadFrameError(f"record cut short at byte {self.at} of the batch") from None
        self.at += layout.size
        return values

    def read_bytes(self, size: int) -> bytes:
        """Reads the next `size` bytes."""
        if self.at + size > len(self.body):
            raise BadFrameError(f"text cut short at byte {self.at} of the batch")
        self.at += size
        return self.body[self.at - size : self.at]

    def tag(self) -> tuple[int, int]:
        """Reads the code of the next record and the number of its instance."""
        code, gateway = self.unpack(_TAG)
        return int(code), int(gateway)

    def number(self) -> int:
        """Reads the number of a request."""
        return int(self.unpack(_U32)[0])

    def token(self) -> int:
        """Reads the token of a timer."""
        return int(self.unpack(_U64)[0])

    def start(self) -> tuple[int, dict[str, str]]:
        """Reads an instance's random seed and its settings by name."""
        seed, size = self.unpack(_CONFIGURE)
        try:
            lines = self.read_bytes(int(size)).decode().splitlines()
        except UnicodeDecodeError:
            raise BadFrameError("settings are not UTF-8") from None
        return int(seed), {name: value for name, _, value in (line.partition("=") for line in lines)}

    def nodes(self) -> tuple[ListKind, list[NodeEntry]]:
        """Reads a list of storage nodes, and how it relates to the previous one."""
        _, kind, count = self.unpack(_LIST)
        entries = [self._node() for _ in range(int(count))]
        if kind not in (0, 1, 2, 3):
            raise BadFrameError(f"unknown kind of list {kind}")
        return ListKind(int(kind)), entries

    def _node(self) -> NodeEntry:
        node, zone, _, shard, health, _, started = self.unpack(_ENTRY)
        if health not in (0, 1, 2):
            raise BadFrameError(f"unknown health {health}")
        return NodeEntry(int(node), int(zone), int(shard), Health(int(health)), to_ns(started))

    def request(self) -> Request:
        """Reads a client request."""
        ref, request_class, tenant, key, timeout, volume, units, shard, gateways, _ = self.unpack(_REQUEST)
        if not all(-1e9 < value < 1e9 for value in (units, shard, gateways)):
            raise BadFrameError(f"request {ref} has a value out of range")
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
        """Reads the number of a request whose answer has started to reach its client."""
        return int(self.unpack(_STREAM)[0])

    def load(self, count: int, names: list[str]) -> dict[str, float]:
        """Reads a node's load report of `count` values, named by the settings."""
        values = self.unpack(struct.Struct(f">{count}f"))
        return dict(zip(names, values, strict=False))

    def attempt_end(self, names: list[str]) -> AttemptEnd:
        """Reads how an attempt ended. `names`: of the values in load reports."""
        ref, number, node, code, took, last, used, elsewhere, count = self.unpack(_ATTEMPT_END)
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
        """Skips the answer to a health check; this adapter sends none."""
        self.load(int(self.unpack(_PROBED)[3]), [])

    def skip_message(self) -> None:
        """Skips a message from another instance."""
        self.read_bytes(int(self.unpack(_MESSAGE)[1]))


def encode_decision(gateway: int, decision: Attempt | Reply | ListCall) -> bytes:
    """Encodes one decision of an instance as a record of the reply."""
    if isinstance(decision, Attempt):
        time_out_ms = decision.time_out / NS_PER_MS
        return _SEND.pack(AnswerCode.SEND, gateway, decision.request_id, decision.node, time_out_ms)
    if isinstance(decision, ListCall):
        return _POLL.pack(AnswerCode.POLL, gateway, POLL_AND_FOLLOW)
    if decision.outcome is Outcome.REJECTED:
        retry_after_ms = decision.retry_after / NS_PER_MS
        return _REJECT.pack(AnswerCode.REJECT, gateway, decision.request_id, retry_after_ms)
    return _FAIL.pack(AnswerCode.FAIL, gateway, decision.request_id)


def encode_wake(gateway: int, delay: int, token: int) -> bytes:
    """Encodes a timer of an instance: due after `delay` ns, and identified by `token`."""
    return _WAKE.pack(AnswerCode.WAKE, gateway, delay / NS_PER_MS, token)


def encode_fault(gateway: int, text: str) -> bytes:
    """Encodes an exception inside an instance, with a line of text."""
    line = text.encode()[:MAX_FAULT_BYTES]
    return _FAULT.pack(AnswerCode.FAULT, gateway, len(line)) + line
