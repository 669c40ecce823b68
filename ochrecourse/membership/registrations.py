"""Converts the registry's records to entries of the endpoint list. Free of I/O.

A record's value is JSON: `{"node": 70, "address": "HOST:PORT", "shard": 0, "zone": 0, "health": "ready",
"started_ms_ago": 0, "written_ms": 1790000000000}`; `written_ms` is Unix time on the writer's clock. A node's
start time is computed once per revision of its record, when that revision is first received, and stored on
this host's monotonic clock, so later steps of a wall clock do not move it. If the writer's clock is ahead of
this host's or more than a day behind, `written_ms` is ignored and the node counts as just started, which is
the safe assumption for nodes in slow start.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from ochrecourse.common.time_units import MS
from ochrecourse.membership.registry_state import RegistryRecord
from ochrecourse.wire.messages import EndpointEntry

MAX_RECORD_AGE_MS = 86_400_000.0  # a record that seems older was written with a wrong clock


class NodeRecord(msgspec.Struct, kw_only=True):
    """The value of a node's key; the field names are those in the JSON."""

    node: int
    address: str
    shard: int = -1
    zone: int = 0
    health: str = "ready"
    started_ms_ago: float = -1.0
    written_ms: float = 0.0


class _KnownStart(NamedTuple):
    """A node's start time, ns on this host's clock, computed from the record of `mod_revision`."""

    mod_revision: int
    started_at: int


class _Claim(NamedTuple):
    """A node's entry, from the record of `mod_revision`."""

    mod_revision: int
    entry: EndpointEntry


class NodeRegistrations:
    """Builds endpoint entries from the registry's records. `problems` counts unusable records by reason."""

    def __init__(self) -> None:
        self.problems: dict[str, int] = {}
        self._known_starts: dict[bytes, _KnownStart] = {}

    def endpoint_entries(
        self, records: dict[bytes, RegistryRecord], now: int, unix_time_ms: int
    ) -> list[EndpointEntry]:
        """Returns the entries in order of node; `now`: ns on this host's clock, `unix_time_ms`: the same
        moment in Unix time.

        An undecodable record is skipped without affecting others. Of two records that claim one node, the one
        modified last is used.
        """
        claims: dict[int, _Claim] = {}
        for key, record in sorted(records.items()):
            try:
                node_record = msgspec.json.decode(record.value, type=NodeRecord)
            except msgspec.DecodeError as error:
                self._count_problem(f"{key.decode('utf-8', 'replace')}: {error}")
                continue
            started_at = self._start_time(key, record, node_record, now, unix_time_ms)
            self._add_claim(claims, _Claim(record.mod_revision, _entry(node_record, started_at, now)))
        for key in self._known_starts.keys() - records.keys():
            del self._known_starts[key]
        return [claim.entry for _, claim in sorted(claims.items())]

    def _add_claim(self, claims: dict[int, _Claim], claim: _Claim) -> None:
        node = claim.entry.node
        if node in claims:
            self._count_problem(f"two records claim node {node}")
        if node not in claims or claim.mod_revision > claims[node].mod_revision:
            claims[node] = claim

    def _start_time(
        self, key: bytes, record: RegistryRecord, node_record: NodeRecord, now: int, unix_time_ms: int
    ) -> int:
        """Returns a node's start time, ns on this host's clock; 0 if long ago."""
        if node_record.started_ms_ago < 0:
            return 0
        known = self._known_starts.get(key)
        if known is not None and known.mod_revision == record.mod_revision:
            return known.started_at
        record_age_ms = unix_time_ms - node_record.written_ms
        if not 0 <= record_age_ms <= MAX_RECORD_AGE_MS:
            record_age_ms = -node_record.started_ms_ago  # a wrong clock: the node counts as just started
        started_at = max(1, now - round((node_record.started_ms_ago + record_age_ms) * MS))
        self._known_starts[key] = _KnownStart(record.mod_revision, started_at)
        return started_at

    def _count_problem(self, reason: str) -> None:
        self.problems[reason] = self.problems.get(reason, 0) + 1


def _entry(node_record: NodeRecord, started_at: int, now: int) -> EndpointEntry:
    return EndpointEntry(
        node=node_record.node,
        address=node_record.address,
        shard=node_record.shard,
        zone=node_record.zone,
        health=node_record.health,
        started_ms_ago=(now - started_at) / MS if started_at else -1.0,
    )
