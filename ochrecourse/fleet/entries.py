"""What gateways of one fleet tell each other: entries of the log, and one row for each gateway.

An entry is for ever and the same everywhere. A row is what a gateway says of itself now; a newer one takes
the place of the one before. Both are plain values that travel as JSON arrays. Free of I/O.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

Stream = tuple[str, int]  # a writer and its life; no two lives of one name are equal


class Timestamp(NamedTuple):
    """A hybrid logical clock: ms since 1970 as its writer had or had seen them, and a turn within one ms."""

    ms: int
    counter: int

    def __repr__(self) -> str:
        """The form that texts of errors show to peers and operators."""
        return f"Stamp(ms={self.ms!r}, turn={self.counter!r})"


class LogPosition(NamedTuple):
    """Where an entry stands in the one order, which entries of one stream and causes and effects keep."""

    at: Timestamp
    writer: str
    incarnation: int
    seq: int


class Entry(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One event of a channel.

    `seq` counts the entries of one writer's life over all channels, from 1, without a gap. `cause`: what the
    writer had seen beyond what its entry before had told, as (writer, life, sequence). `body`: JSON.
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
        return (self.writer, self.incarnation)

    @property
    def position(self) -> LogPosition:
        return LogPosition(self.at, self.writer, self.incarnation, self.seq)


class Heartbeat(msgspec.Struct, array_like=True, gc=False):
    """A gateway as it says it is now. The newest by (life, beat) stands.

    `promise`: whatever this gateway appends from now on stands behind it. `seq`, `head`: the last entry of
    its life and the chain of hashes up to it. `before`: its earlier lives and how far each went. `floor`: it
    holds every entry that ever stands at or before this stamp. `told`: what parts of the program say, JSON by
    the part's name.
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
