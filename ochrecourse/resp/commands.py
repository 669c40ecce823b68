"""Translates the platform's commands and replies to the gateway's terms and back. Performs no I/O.

The platform's terms are used only here (docs/glossary.md). In a command's fields, `c` is the request class,
`t` the tenant, `d` the client's timeout in ms, and `r` marks a client's retry. Every field is validated: the
command sent to a node is rebuilt from checked fields in their required order, with the attempt's timeout in
place of the client's.
"""

from __future__ import annotations

import re
from collections.abc import Mapping

from ochrecourse.common.time_units import MS
from ochrecourse.common.requests import Request
from ochrecourse.resp.codec import ErrorReply, Reply, RespProtocolError, encode_command
from ochrecourse.wire import messages

READ_COMMAND, WRITE_COMMAND = b"BLK.READ", b"BLK.WRITE"
READ_ARGUMENTS, WRITE_ARGUMENTS = 4, 5  # including the command's name
MAX_TIMEOUT_MS = 3_600_000  # of a client; no latency objective is over an hour
MAX_REPLY_PARTS = 3  # the value, usage figures and the load report
HEX_ID = re.compile(rb"[0-9a-f]{16}")
FIELDS = re.compile(
    rb"c=([^,=\s]{1,64}),t=([^,=\s]{1,64}),d=(\d{1,9}(?:\.\d{1,6})?)"
    rb"(?:,k=([0-9a-f]{16}))?(,r=1)?"
    rb",volume=([0-9a-f]{16}),units=(\d{1,6}(?:\.\d{1,6})?),shard=(-1|\d{1,5}),hosts=(\d{1,6})"
)
TIMEOUT_GROUP = 3  # of FIELDS: the client's timeout in ms
FIGURES = re.compile(rb"[a-z_]{1,32}=\d{1,9}(?:\.\d{1,9})?(?:,[a-z_]{1,32}=\d{1,9}(?:\.\d{1,9})?){0,7}")


class RespRequest:
    """A client's validated command, sent by each attempt of its request (nodes.outgoing_attempt.Body)."""

    __slots__ = ("fields_after_timeout", "leading_arguments", "size", "value")

    def __init__(
        self,
        leading_arguments: list[bytes],
        fields_before_timeout: bytes,
        fields_after_timeout: bytes,
        value: bytes | None,
    ) -> None:
        """`leading_arguments`: those before the fields; `value`: the bytes to write, None for a read."""
        self.leading_arguments = [*leading_arguments, fields_before_timeout]
        self.fields_after_timeout = fields_after_timeout
        self.value = value
        self.size = len(value or b"")

    def read(self, at: int, most: int) -> bytes:
        """Returns at most `most` bytes of the value from offset `at`."""
        return (self.value or b"")[at : at + most]

    def close(self) -> None:
        """Does nothing: there are no resources to free."""

    def encode(self, timeout_ns: int) -> bytes:
        """Returns the command for the node; `timeout_ns`: how long the gateway waits for this attempt."""
        arguments = self.leading_arguments[:3]
        timeout_ms = max(1, timeout_ns // MS)
        arguments.append(b"%b%d%b" % (self.leading_arguments[3], timeout_ms, self.fields_after_timeout))
        if self.value is not None:
            arguments.append(self.value)
        return encode_command(arguments)


class RequestClasses:
    """Which request classes write, by name; empty if the settings don't specify it."""

    def __init__(self, values: Mapping[str, str]) -> None:
        """`values`: the flat map of settings."""
        writes = values.get("FamilyInfo.Writes", "")
        flags = writes.split(",") if writes else []
        count = min(int(values.get("Classes.count", "0")), len(flags))
        self.writes = {values.get(f"Classes.{i}.Name", str(i)): flags[i] == "true" for i in range(count)}


def parse_command(arguments: list[bytes], request_classes: RequestClasses, read_at: int) -> Request:
    """Returns the request of a client's command; `read_at`: when its last byte was read, in ns.

    Raises RespProtocolError.
    """
    name = arguments[0].upper()
    if name not in (READ_COMMAND, WRITE_COMMAND):
        raise RespProtocolError("unknown_command", "known are PING, BLK.READ and BLK.WRITE")
    writes = name == WRITE_COMMAND
    if len(arguments) != (WRITE_ARGUMENTS if writes else READ_ARGUMENTS):
        raise RespProtocolError("bad_arity", f"wrong number of words for {name.decode()}")
    if not HEX_ID.fullmatch(arguments[1]) or not HEX_ID.fullmatch(arguments[2]):
        raise RespProtocolError("bad_id", "a piece and an id are 16 hex digits each")
    fields = arguments[3]
    found = FIELDS.fullmatch(fields)
    if found is None:
        raise RespProtocolError(
            "bad_field", "the fields are c,t,d[,k][,r],volume,units,shard,hosts, in this order"
        )
    class_field, tenant_field, timeout_ms, _, _, volume, units, shard, gateways = found.groups()
    if not 0 < float(timeout_ms) <= MAX_TIMEOUT_MS:
        raise RespProtocolError("bad_field", "d is the time to wait in ms, above 0")
    try:
        request_class, tenant = class_field.decode(), tenant_field.decode()
    except UnicodeDecodeError:
        raise RespProtocolError("bad_field", "names are UTF-8") from None
    if request_classes.writes.get(request_class, writes) is not writes:
        raise RespProtocolError("bad_field", "the command does not fit its product")
    body = RespRequest(
        [name, arguments[1], arguments[2]],
        fields[: found.start(TIMEOUT_GROUP)],
        fields[found.end(TIMEOUT_GROUP) :],
        arguments[4] if writes else None,
    )
    # The body must not refer to the request: reference cycles would let the memory grow.
    return Request(
        request_class=request_class,
        tenant=tenant,
        volume=int(volume, 16),
        timeout=round(float(timeout_ms) * MS),
        read_at=read_at,
        key=int(arguments[1], 16),
        units=float(units),
        shard=int(shard),
        gateways=int(gateways),
        body=body,
    )


def parse_load_report(text: Reply) -> dict[str, float]:
    """Returns a node's load report, or usage figures of the same form; empty if absent or malformed."""
    if not isinstance(text, bytes) or not FIGURES.fullmatch(text):
        return {}
    pairs = (pair.partition("=") for pair in text.decode().split(","))
    return {name: float(value) for name, _, value in pairs}


def parse_reply(
    reply: Reply,
) -> tuple[messages.AttemptServed | messages.AttemptFailed | messages.AttemptRejected, bytes]:
    """Returns the message that corresponds to a node's reply to an attempt, and the value.

    Raises RespProtocolError for a reply that is not valid for an attempt.
    """
    if isinstance(reply, list):
        return _parse_served(reply)
    if isinstance(reply, ErrorReply):
        word, _, rest = reply.text.partition(b" ")
        used, elsewhere = _volume_usage(_parse_error_figures(rest))
        if word == b"BUSY" and (not rest or all(FIGURES.fullmatch(each) for each in rest.split(b" "))):
            return messages.AttemptRejected(id=0, volume_used=used, elsewhere=elsewhere), b""
        if word == b"ERR":
            return messages.AttemptFailed(id=0, text="error", volume_used=used, elsewhere=elsewhere), b""
    raise RespProtocolError("not_an_answer", "neither a value, nor an error, nor busy")


def _parse_served(items: list[Reply]) -> tuple[messages.AttemptServed, bytes]:
    """Parses a reply with a value and, where present, usage figures and a load report."""
    value = items[0]
    if not isinstance(value, bytes) or len(items) > MAX_REPLY_PARTS:
        raise RespProtocolError("not_an_answer", "an answer is a value, figures on use and a load report")
    usage = parse_load_report(items[1]) if len(items) > 1 else {}
    load = parse_load_report(items[2]) if len(items) > 2 else {}
    size = len(value)
    used, elsewhere = _volume_usage(usage)
    served = messages.AttemptServed(
        id=0, size=size, body=size, load=load, volume_used=used, elsewhere=elsewhere
    )
    return served, value


def _parse_error_figures(text: bytes) -> dict[str, float]:
    """Returns all figures after an error's first word; groups are separated by spaces."""
    figures: dict[str, float] = {}
    for group in text.split(b" "):
        figures.update(parse_load_report(group))
    return figures


def _volume_usage(figures: Mapping[str, float]) -> tuple[float, int]:
    """Returns the volume's usage as a fraction of its rate, -1 if absent, and units served elsewhere."""
    used = figures["used"] / 100 if "used" in figures else -1.0
    return used, int(figures.get("cost", 0))
