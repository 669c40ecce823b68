"""Who is of the fleet as this gateway sees it: the newest row of each, who is reached, who is away.

Knows nothing of the log. Time is a monotonic clock in whole ns, handed in with each call. Free of I/O.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgspec

from ochrecourse.fleet.entries import Heartbeat, Timestamp

NOBODY = Timestamp(0, 0)
MAX_NAMES = 4096  # names; a peer that makes up more is refused rather than remembered


class InvalidHeartbeatError(Exception):
    """A row that is turned away; the text names the peer's mistake."""


class Members:
    """Rows by name, the newest by (life, beat). `quiet`, `let_go`: ns without news until a name is not
    reached, and until it is to be let go. `peers` are of the fleet before they are heard of."""

    def __init__(
        self,
        name: str,
        life: int,
        zone: int,
        quiet: int,
        let_go: int,
        peers: Iterable[str] = (),
        now: int = 0,
    ) -> None:
        self.name = name
        self.incarnation = life
        self.zone = zone
        self.silence_timeout = quiet
        self.eviction_time = let_go
        self.heartbeats: dict[str, Heartbeat] = {name: Heartbeat(name, life, 0, zone, 0, b"", NOBODY, NOBODY)}
        self.received_at: dict[str, int] = {peer: now for peer in peers if peer != name}
        self.highest_incarnation = 0  # the greatest life heard under this name that is not this process's
        self.incarnations_renewed = 0  # lives begun because of it

    def next_heartbeat(self, now: int, **fields: Any) -> Heartbeat:
        """This gateway's next row: the last one with one beat more and `fields` of it as they are now."""
        last = self.heartbeats[self.name]
        row = msgspec.structs.replace(
            last, incarnation=self.incarnation, zone=self.zone, number=last.number + 1, **fields
        )
        self.heartbeats[self.name] = row
        return row

    def begin_incarnation(self, life: int, before: tuple[tuple[int, int], ...] | None = None) -> None:
        """Goes on under a new life: the fleet has let the old one go, or knows of a greater one. `before`:
        earlier lives, as `Heartbeat` has them."""
        self.incarnations_renewed += self.incarnation < self.highest_incarnation
        self.incarnation = life
        row = self.heartbeats[self.name]
        before = row.earlier_incarnations if before is None else before
        self.heartbeats[self.name] = msgspec.structs.replace(
            row, incarnation=life, seq=0, head_hash=b"", earlier_incarnations=before
        )

    def receive(self, row: Heartbeat, now: int) -> bool:
        """Whether the row is news. Raises InvalidHeartbeatError, and then nothing is changed."""
        if row.name == self.name:
            return self._hear_of_self(row)
        last = self.heartbeats.get(row.name)
        if last is None:
            if len(self.heartbeats) >= MAX_NAMES:
                raise InvalidHeartbeatError(f"{row.name}: more than {MAX_NAMES} names in this fleet")
        elif (row.incarnation, row.number) <= (last.incarnation, last.number):
            return False
        elif row.incarnation == last.incarnation:
            if row.promise < last.promise:
                raise InvalidHeartbeatError(
                    f"{row.name}: promise goes back from {last.promise} to {row.promise}"
                )
            if row.seq < last.seq:
                raise InvalidHeartbeatError(f"{row.name}: entries go back from {last.seq} to {row.seq}")
        self.heartbeats[row.name] = row
        self.received_at[row.name] = now
        return True

    def _hear_of_self(self, row: Heartbeat) -> bool:
        """Own rows come back from peers. One of a greater life may be from before a lost disk, the clock
        since put back: then a life beyond it is begun (`outlived`). One more is of another process."""
        own = self.heartbeats[self.name]
        if row.incarnation < own.incarnation or (
            row.incarnation == own.incarnation and row.number <= own.number
        ):
            return False
        if row.incarnation > own.incarnation and (
            not self.incarnations_renewed or row.incarnation <= self.highest_incarnation
        ):
            self.highest_incarnation = max(self.highest_incarnation, row.incarnation)
            return False
        raise InvalidHeartbeatError(
            f"{row.name}: another process runs under this name, life {row.incarnation}, "
            f"ours {own.incarnation}"
        )

    def _since(self, name: str, now: int) -> int:
        return 0 if name == self.name else now - self.received_at[name]

    def names(self) -> list[str]:
        """All that are or should be of the fleet, sorted, self included."""
        return sorted({self.name, *self.received_at})

    def reachable(self, now: int) -> list[str]:
        """Names heard of, through anybody, within `quiet`; sorted, self included."""
        return [
            n for n in self.names() if n in self.heartbeats and self._since(n, now) <= self.silence_timeout
        ]

    def suspected(self, now: int) -> list[str]:
        """Names not heard of for `quiet`, sorted."""
        return [n for n in self.names() if self._since(n, now) > self.silence_timeout]

    def departed(self, now: int) -> list[str]:
        """Names not heard of for `let_go`, sorted."""
        return [n for n in self.names() if self._since(n, now) > self.eviction_time]

    def not_departed(self, now: int) -> list[str]:
        """Names that are not away, sorted."""
        return [n for n in self.names() if self._since(n, now) <= self.eviction_time]

    def zone_of(self, name: str) -> int:
        """Raises KeyError for a name that was never heard of."""
        return self.heartbeats[name].zone
