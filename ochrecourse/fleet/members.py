"""The members of the fleet as seen by one gateway: newest heartbeats, and who is reachable or departed.

Independent of the log and free of I/O. Times are ns of a monotonic clock, passed in with each call.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgspec

from ochrecourse.fleet.entries import Heartbeat, Timestamp

ZERO = Timestamp(0, 0)
MAX_NAMES = 4096  # heartbeats of more names are rejected, so a faulty peer cannot fill the memory


class InvalidHeartbeatError(Exception):
    """A heartbeat was rejected; the text says why."""


class Members:
    """The newest heartbeat of each gateway, by (incarnation, number).

    `silence_timeout` and `eviction_time` are ns without a heartbeat until a gateway is not reachable, and
    until it has departed. `peers` are members before their first heartbeat.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        zone: int,
        silence_timeout: int,
        eviction_time: int,
        peers: Iterable[str] = (),
        now: int = 0,
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.zone = zone
        self.silence_timeout = silence_timeout
        self.eviction_time = eviction_time
        self.heartbeats: dict[str, Heartbeat] = {
            name: Heartbeat(name, incarnation, 0, zone, 0, b"", ZERO, ZERO)
        }
        self.received_at: dict[str, int] = {peer: now for peer in peers if peer != name}
        self.highest_incarnation = 0  # highest other incarnation received under this gateway's name
        self.incarnations_renewed = 0  # incarnations begun because of a higher one

    def next_heartbeat(self, now: int, **fields: Any) -> Heartbeat:
        """Returns and stores this gateway's next heartbeat: the last one with `fields` changed."""
        last = self.heartbeats[self.name]
        heartbeat = msgspec.structs.replace(
            last, incarnation=self.incarnation, zone=self.zone, number=last.number + 1, **fields
        )
        self.heartbeats[self.name] = heartbeat
        return heartbeat

    def begin_incarnation(
        self, incarnation: int, earlier_incarnations: tuple[tuple[int, int], ...] | None = None
    ) -> None:
        """Continues under a new incarnation: the fleet has ended the old one, or knows a higher one.

        `earlier_incarnations`: the new `Heartbeat.earlier_incarnations`; None keeps them.
        """
        self.incarnations_renewed += self.incarnation < self.highest_incarnation
        self.incarnation = incarnation
        heartbeat = self.heartbeats[self.name]
        earlier_incarnations = (
            heartbeat.earlier_incarnations if earlier_incarnations is None else earlier_incarnations
        )
        self.heartbeats[self.name] = msgspec.structs.replace(
            heartbeat,
            incarnation=incarnation,
            seq=0,
            head_hash=b"",
            earlier_incarnations=earlier_incarnations,
        )

    def receive(self, heartbeat: Heartbeat, now: int) -> bool:
        """Whether a heartbeat is new. Raises InvalidHeartbeatError, and then changes nothing."""
        if heartbeat.name == self.name:
            return self._receive_own(heartbeat)
        last = self.heartbeats.get(heartbeat.name)
        if last is None:
            if len(self.heartbeats) >= MAX_NAMES:
                raise InvalidHeartbeatError(f"{heartbeat.name}: more than {MAX_NAMES} names in this fleet")
        elif (heartbeat.incarnation, heartbeat.number) <= (last.incarnation, last.number):
            return False
        elif heartbeat.incarnation == last.incarnation:
            if heartbeat.promise < last.promise:
                raise InvalidHeartbeatError(
                    f"{heartbeat.name}: promise goes back from {last.promise} to {heartbeat.promise}"
                )
            if heartbeat.seq < last.seq:
                raise InvalidHeartbeatError(
                    f"{heartbeat.name}: entries go back from {last.seq} to {heartbeat.seq}"
                )
        self.heartbeats[heartbeat.name] = heartbeat
        self.received_at[heartbeat.name] = now
        return True

    def _receive_own(self, heartbeat: Heartbeat) -> bool:
        """Own heartbeats come back from peers.

        One of a higher incarnation may be from before this gateway lost its disk and its clock was set back:
        then a still higher incarnation is begun (`highest_incarnation`). Any beyond that belongs to another
        process under the same name.
        """
        own = self.heartbeats[self.name]
        if heartbeat.incarnation < own.incarnation or (
            heartbeat.incarnation == own.incarnation and heartbeat.number <= own.number
        ):
            return False
        if heartbeat.incarnation > own.incarnation and (
            not self.incarnations_renewed or heartbeat.incarnation <= self.highest_incarnation
        ):
            self.highest_incarnation = max(self.highest_incarnation, heartbeat.incarnation)
            return False
        raise InvalidHeartbeatError(
            f"{heartbeat.name}: another process runs under this name, life {heartbeat.incarnation}, "
            f"ours {own.incarnation}"
        )

    def _age(self, name: str, now: int) -> int:
        return 0 if name == self.name else now - self.received_at[name]

    def names(self) -> list[str]:
        """All members of the fleet, heard from or not, this one included; sorted."""
        return sorted({self.name, *self.received_at})

    def reachable(self, now: int) -> list[str]:
        """Members with a direct or relayed heartbeat within `silence_timeout`, this one included; sorted."""
        return [
            name
            for name in self.names()
            if name in self.heartbeats and self._age(name, now) <= self.silence_timeout
        ]

    def suspected(self, now: int) -> list[str]:
        """Members without a heartbeat for `silence_timeout`; sorted."""
        return [name for name in self.names() if self._age(name, now) > self.silence_timeout]

    def departed(self, now: int) -> list[str]:
        """Members without a heartbeat for `eviction_time`; sorted."""
        return [name for name in self.names() if self._age(name, now) > self.eviction_time]

    def not_departed(self, now: int) -> list[str]:
        """Members that have not departed; sorted."""
        return [name for name in self.names() if self._age(name, now) <= self.eviction_time]

    def zone_of(self, name: str) -> int:
        """The zone of a member. Raises KeyError for one without a heartbeat."""
        return self.heartbeats[name].zone
