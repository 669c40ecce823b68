"""The values that gateways of one fleet exchange: log entries and heartbeats.

An entry never changes and is the same on every gateway. A heartbeat is the current state of one gateway; a
newer heartbeat replaces the previous one. Both are encoded as arrays. Free of I/O.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

Stream = tuple[str, int]  # a writer and its incarnation; a name never uses an incarnation number twice


class Timestamp(NamedTuple):
    """A hybrid logical clock: ms since 1970, the greatest that its writer had read or received, and a counter
    that orders timestamps of the same ms.
    """

    ms: int
    counter: int

    def __repr__(self) -> str:
        """The text that error messages show to peers and operators."""
        return f"Stamp(ms={self.ms!r}, turn={self.counter!r})"


class LogPosition(NamedTuple):
    """An entry's position in the total order, which preserves the order of each stream and of causality."""

    at: Timestamp
    writer: str
    incarnation: int
    seq: int


class Entry(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One event of a channel.

    `seq` numbers the entries of one writer's incarnation over all channels, from 1, without gaps. `cause`:
    what the writer had seen since its previous entry, as (writer, incarnation, seq). `body`: JSON.
    """

    channel: str
    writer: str
    incarnation: int
    seq: int
    at: Timestamp
    cause: tuple[tuple[str, int, int], ...]
    body: bytes

    @property
    def stream(self) -> Stream:
        """The stream that the entry belongs to."""
        return (self.writer, self.incarnation)

    @property
    def position(self) -> LogPosition:
        """The entry's position in the total order."""
        return LogPosition(self.at, self.writer, self.incarnation, self.seq)


class Heartbeat(msgspec.Struct, array_like=True, gc=False):
    """The state that a gateway reports of itself. The newest by (incarnation, number) is valid.

    `promise`: every entry that this gateway appends later has a greater timestamp. `seq`, `head_hash`: the
    last entry of its incarnation and the hash chain up to it. `earlier_incarnations`: its earlier
    incarnations and the last entry of each. `watermark`: the gateway stores every entry that can ever have a
    timestamp at or before this one. `statuses`: the statuses of its subsystems, JSON by the subsystem's name.
    """

    name: str
    incarnation: int
    number: int
    zone: int
    seq: int
    head_hash: bytes
    promise: Timestamp
    watermark: Timestamp
    earlier_incarnations: tuple[tuple[int, int], ...] = ()
    statuses: dict[str, bytes] = {}
