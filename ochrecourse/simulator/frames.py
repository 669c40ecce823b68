"""The frames of the simulator's wire: bytes to records of the interface, and answers to bytes."""

from __future__ import annotations

import struct

from ochrecourse.interface import (
    Outcome,
    Ending,
    Health,
    Request,
    Attempt,
    AttemptEnd,
    ListCall,
    ListKind,
    NodeEntry,
    Reply,
)

HEADER = struct.Struct(">IIId")
REPLY = struct.Struct(">III")

CONFIGURE, CRASH, LIST, REQUEST, STREAM = 90, 70, 20, 40, 100
ATTEMPT_END, CANCELLED, DUE, PROBED, MESSAGE = 50, 60, 30, 10, 80

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
_FOLLOW = struct.Struct(">BHB")
_DUE = struct.Struct(">BHdQ")
_TEXT = struct.Struct(">BHH")


class BadFrame(Exception):
    """Input that is not what the wire describes."""


def to_ns(ms: float) -> int:
    """Milliseconds of the wire, which counts whole microseconds, as nanoseconds."""
    if not -1e15 < ms < 1e15:
        raise BadFrame(f"time out of range: {ms}")
    return round(ms * 1000) * 1000


class Batch:
    """Reads the records of one batch in order."""

    def __init__(self, body: bytes) -> None:
        self.body = body
        self.at = 0

    def take(self, layout: struct.Struct) -> tuple[float, ...]:
        try:
            values = layout.unpack_from(self.body, self.at)
        except struct.error:
            raise BadFrame(f"record cut short at byte {self.at} of the batch") from None
        self.at += layout.size
        return values

    def text(self, size: int) -> bytes:
        if self.at + size > len(self.body):
            raise BadFrame(f"text cut short at byte {self.at} of the batch")
        self.at += size
        return self.body[self.at - size : self.at]

    def tag(self) -> tuple[int, int]:
        code, gateway = self.take(_TAG)
        return int(code), int(gateway)

    def number(self) -> int:
        return int(self.take(_U32)[0])

    def token(self) -> int:
        return int(self.take(_U64)[0])

    def start(self) -> tuple[int, dict[str, str]]:
        seed, size = self.take(_CONFIGURE)
        try:
            lines = self.text(int(size)).decode().splitlines()
        except UnicodeDecodeError:
            raise BadFrame("settings are not UTF-8") from None
        return int(seed), {name: value for name, _, value in (line.partition("=") for line in lines)}

    def nodes(self) -> tuple[ListKind, list[NodeEntry]]:
        _, kind, count = self.take(_LIST)
        entries = []
        for _ in range(int(count)):
            node, zone, _, shard, health, _, started = self.take(_ENTRY)
            if health not in (0, 1, 2):
                raise BadFrame(f"unknown health {health}")
            entries.append(NodeEntry(int(node), int(zone), int(shard), Health(int(health)), to_ns(started)))
        if kind not in (0, 1, 2, 3):
            raise BadFrame(f"unknown kind of list {kind}")
        return ListKind(int(kind)), entries

    def request(self) -> Request:
        ref, request_class, tenant, key, timeout, volume, units, shard, gateways, _ = self.take(_REQUEST)
        if not all(-1e9 < figure < 1e9 for figure in (units, shard, gateways)):
            raise BadFrame(f"job {ref} has a figure out of range")
        return Request(
            id=int(ref),
            request_class=int(request_class),
            tenant=int(tenant),
            volume=int(volume),
            key=int(key),
            units=units,
            shard=int(shard),
            gateways=int(gateways),
            client_timeout=to_ns(timeout),
        )

    def stream(self) -> int:
        return int(self.take(_STREAM)[0])

    def load(self, count: int, names: list[str]) -> dict[str, float]:
        values = self.take(struct.Struct(f">{count}f"))
        return dict(zip(names, values, strict=False))

    def attempt_end(self, names: list[str]) -> AttemptEnd:
        ref, number, node, code, took, last, used, elsewhere, count = self.take(_ATTEMPT_END)
        ending = ENDINGS.get(int(code))
        if ending is None:
            raise BadFrame(f"unknown ending {code}")
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
        self.load(int(self.take(_PROBED)[3]), [])

    def skip_message(self) -> None:
        self.text(int(self.take(_MESSAGE)[1]))


def answer(gateway: int, decision: Attempt | Reply | ListCall) -> bytes:
    """One decision as a record of the reply."""
    if isinstance(decision, Attempt):
        return _SEND.pack(10, gateway, decision.request_id, decision.node, decision.time_out / 1e6)
    if isinstance(decision, ListCall):
        return _FOLLOW.pack(110, gateway, 1)
    if decision.outcome is Outcome.REJECTED:
        return _REJECT.pack(20, gateway, decision.request_id, decision.retry_after / 1e6)
    return _FAIL.pack(30, gateway, decision.request_id)


def wake(gateway: int, span: int, token: int) -> bytes:
    return _DUE.pack(50, gateway, span / 1e6, token)


def fault(gateway: int, text: str) -> bytes:
    line = text.encode()[:60000]
    return _TEXT.pack(100, gateway, len(line)) + line
