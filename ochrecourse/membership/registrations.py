"""From the registry's records to lines of the list of nodes. Free of I/O.

A record's value is JSON: `{"node": 70, "address": "HOST:PORT", "shard": 0, "zone": 0, "health": "ready",
"started_ms_ago": 0, "written_ms": 1790000000000}`; `written_ms` is the writer's clock since 1970. When a
node started is worked out once, when its record is first seen with a revision, and kept on this host's clock:
so a clock that steps later moves nothing. A writer whose clock lies ahead of ours, or more than a day behind,
tells nothing of time: its node counts as started when it said, or just now, which is the careful side.
"""

from __future__ import annotations

import msgspec

from ochrecourse.membership.registry_state import Record
from ochrecourse.common.time_units import MS
from ochrecourse.wire.messages import EndpointEntry

LONGEST_AGE = 86_400_000.0  # ms; a record that seems older was written by a clock that is wrong


class NodeRecord(msgspec.Struct, kw_only=True):
    """The value of one key."""

    node: int
    address: str
    shard: int = -1
    zone: int = 0
    health: str = "ready"
    started_ms_ago: float = -1.0
    written_ms: float = 0.0


class NodeRegistrations:
    """Lines made of records; `notes` counts records that can't be read, by why."""

    def __init__(self) -> None:
        self.started: dict[bytes, tuple[int, int]] = {}  # by key: revision of its record, ns of the start
        self.notes: dict[str, int] = {}

    def lines(self, records: dict[bytes, Record], now: int, since_1970: int) -> list[EndpointEntry]:
        """The list, by node; `now` in ns on this host's clock, `since_1970` the same moment in ms.

        One record that can't be read costs its node alone. Of two that claim one node the one that changed
        last counts.
        """
        found: dict[int, tuple[int, EndpointEntry]] = {}
        for key, record in sorted(records.items()):
            try:
                said = msgspec.json.decode(record.value, type=NodeRecord)
            except msgspec.DecodeError as trouble:
                self._note(f"{key.decode('utf-8', 'replace')}: {trouble}")
                continue
            started = self._started(key, record, said, now, since_1970)
            line = EndpointEntry(
                node=said.node,
                address=said.address,
                shard=said.shard,
                zone=said.zone,
                health=said.health,
                started_ms_ago=(now - started) / MS if started else -1.0,
            )
            if said.node in found:
                self._note(f"two records claim node {said.node}")
            if said.node not in found or record.changed > found[said.node][0]:
                found[said.node] = (record.changed, line)
        for key in self.started.keys() - records.keys():
            del self.started[key]
        return [line for _, (_, line) in sorted(found.items())]

    def _started(self, key: bytes, record: Record, said: NodeRecord, now: int, since_1970: int) -> int:
        if said.started_ms_ago < 0:
            return 0
        known = self.started.get(key)
        if known is not None and known[0] == record.changed:
            return known[1]
        since_written = since_1970 - said.written_ms
        if not 0 <= since_written <= LONGEST_AGE:
            since_written = -said.started_ms_ago
        started = max(1, now - round((said.started_ms_ago + since_written) * MS))
        self.started[key] = (record.changed, started)
        return started

    def _note(self, why: str) -> None:
        self.notes[why] = self.notes.get(why, 0) + 1
