"""What the words of commands and replies mean: a client's command to a job and back to a node's command, a
node's reply to what the carrier takes. Free of I/O.

Strict in every field: what passes on to a node is rebuilt from fields that were checked, in the order in
which they must come, with the leg's own time in place of the client's.
"""

from __future__ import annotations

import re
from collections.abc import Mapping

from ochrecourse.common.requests import Request
from ochrecourse.common.time_units import MS
from ochrecourse.resp.codec import Breach, Error, Reply, command
from ochrecourse.wire import messages as m

READ, WRITE = b"BLK.READ", b"BLK.WRITE"
LONGEST_D = 3_600_000  # ms that a client may say it waits; no promise runs for over an hour
HEX = re.compile(rb"[0-9a-f]{16}")
FIELDS = re.compile(
    rb"c=([^,=\s]{1,64}),t=([^,=\s]{1,64}),d=(\d{1,9}(?:\.\d{1,6})?)"
    rb"(?:,k=([0-9a-f]{16}))?(,r=1)?"
    rb",volume=([0-9a-f]{16}),units=(\d{1,6}(?:\.\d{1,6})?),shard=(-1|\d{1,5}),hosts=(\d{1,6})"
)
FIGURES = re.compile(rb"[a-z_]{1,32}=\d{1,9}(?:\.\d{1,9})?(?:,[a-z_]{1,32}=\d{1,9}(?:\.\d{1,9})?){0,7}")


class Asked:
    """A client's command, checked. It is what each leg of its job sends (nodes.carrier.Body)."""

    __slots__ = ("head", "size", "tail", "value")

    def __init__(self, head: list[bytes], before: bytes, tail: bytes, value: bytes | None) -> None:
        """`head`: the words before the fields; `before` and `tail`: the fields round the time to wait."""
        self.head = [*head, before]
        self.tail = tail
        self.value = value
        self.size = len(value or b"")

    def read(self, at: int, most: int) -> bytes:
        return (self.value or b"")[at : at + most]

    def close(self) -> None:
        """Holds nothing that needs closing."""

    def command(self, wait: int) -> bytes:
        """The node's command; `wait` in ns: how long the gateway will wait for this leg."""
        words = self.head[:3]
        words.append(b"%b%d%b" % (self.head[3], max(1, wait // MS), self.tail))
        if self.value is not None:
            words.append(self.value)
        return command(words)


class Kinds:
    """The products that write, by name; empty where the settings don't tell."""

    def __init__(self, values: Mapping[str, str]) -> None:
        writes = values.get("FamilyInfo.Writes", "")
        count = int(values.get("Classes.count", "0"))
        told = writes.split(",") if writes else []
        self.writes = {
            values.get(f"Classes.{i}.Name", str(i)): told[i] == "true" for i in range(min(count, len(told)))
        }


def asked(words: list[bytes], kinds: Kinds, read_at: int) -> Request:
    """The job that a command asks for; `read_at` in ns: when its last byte came. Raises Breach."""
    name = words[0].upper()
    if name not in (READ, WRITE):
        raise Breach("unknown_command", "known are PING, BLK.READ and BLK.WRITE")
    if len(words) != (5 if name == WRITE else 4):
        raise Breach("bad_arity", f"wrong number of words for {name.decode()}")
    if not HEX.fullmatch(words[1]) or not HEX.fullmatch(words[2]):
        raise Breach("bad_id", "a piece and an id are 16 hex digits each")
    found = FIELDS.fullmatch(words[3])
    if found is None:
        raise Breach("bad_field", "the fields are c,t,d[,k][,r],volume,units,shard,hosts, in this order")
    product, plan, wait, _, _, volume, units, shard, gateways = found.groups()
    if not 0 < float(wait) <= LONGEST_D:
        raise Breach("bad_field", "d is the time to wait in ms, above 0")
    try:
        product_name, plan_name = product.decode(), plan.decode()
    except UnicodeDecodeError:
        raise Breach("bad_field", "names are UTF-8") from None
    if kinds.writes.get(product_name, name == WRITE) is not (name == WRITE):
        raise Breach("bad_field", "the command does not fit its product")
    told = words[3]
    result = Asked(
        [name, words[1], words[2]], told[: found.start(3)], told[found.end(3) :],
        words[4] if name == WRITE else None,
    )  # fmt: skip
    # Guards against growth: were the request held by the command too, each job would stay as a cycle.
    return Request(
        request_class=product_name,
        tenant=plan_name,
        volume=int(volume, 16),
        timeout=round(float(wait) * MS),
        read_at=read_at,
        key=int(words[1], 16),
        units=float(units),
        shard=int(shard),
        gateways=int(gateways),
        body=result,
    )


def figures(text: Reply) -> dict[str, float]:
    """Figures on use or a load report; empty if there are none or they can't be read."""
    if not isinstance(text, bytes) or not FIGURES.fullmatch(text):
        return {}
    pairs = (each.partition("=") for each in text.decode().split(","))
    return {name: float(value) for name, _, value in pairs}


def answer(reply: Reply) -> tuple[m.AttemptServed | m.AttemptFailed | m.AttemptRejected, bytes]:
    """What a node's reply to a leg says, and the value. Raises Breach if it is none that a node gives."""
    if isinstance(reply, list):
        value = reply[0]
        if not isinstance(value, bytes) or len(reply) > 3:
            raise Breach("not_an_answer", "an answer is a value, figures on use and a load report")
        use = figures(reply[1]) if len(reply) > 1 else {}
        load = figures(reply[2]) if len(reply) > 2 else {}
        size = len(value)
        used, elsewhere = _use(use)
        return m.AttemptServed(
            id=0, size=size, body=size, load=load, volume_used=used, elsewhere=elsewhere
        ), value
    if isinstance(reply, Error):
        word, _, rest = reply.text.partition(b" ")
        used, elsewhere = _use(_told(rest))
        if word == b"BUSY" and (not rest or all(FIGURES.fullmatch(each) for each in rest.split(b" "))):
            return m.AttemptRejected(id=0, volume_used=used, elsewhere=elsewhere), b""
        if word == b"ERR":
            return m.AttemptFailed(id=0, text="error", volume_used=used, elsewhere=elsewhere), b""
    raise Breach("not_an_answer", "neither a value, nor an error, nor busy")


def _told(rest: bytes) -> dict[str, float]:
    told: dict[str, float] = {}
    for each in rest.split(b" "):
        told.update(figures(each))
    return told


def _use(told: Mapping[str, float]) -> tuple[float, int]:
    """The volume's use as a part of its rate, below 0 if it is not told, and the units served elsewhere."""
    return told["used"] / 100 if "used" in told else -1.0, int(told.get("cost", 0))
