"""Indexes the nodes of the endpoint list by zone. Free of I/O, clocks and randomness."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple


class ZoneNode(NamedTuple):
    """One node of the list. `warm_at`: ns from which the node is warm; 0 if it never was cold."""

    zone: int
    shard: int
    is_ready: bool
    warm_at: int


class ZoneNodes:
    """All nodes of the configured zones, indexed by node, zone and shard."""

    def __init__(self, zone_count: int) -> None:
        self.zone_count = zone_count
        self.by_node: dict[int, ZoneNode] = {}
        self.zone_of: dict[int, int] = {}
        self.ready: dict[int, set[int]] = {}  # by zone
        self.listed: dict[int, set[int]] = {}  # by zone
        self.holders_of_shard: dict[int, int] = {}  # number of ready nodes by shard

    def update(self, entries: Mapping[int, ZoneNode]) -> None:
        """Replaces the list. `entries`: the complete list, by node; nodes of unknown zones are ignored."""
        self.by_node = {node: each for node, each in entries.items() if 0 <= each.zone < self.zone_count}
        self.zone_of = {node: each.zone for node, each in self.by_node.items()}
        self.ready, self.listed, self.holders_of_shard = {}, {}, {}
        for node, each in self.by_node.items():
            self.listed.setdefault(each.zone, set()).add(node)
            if each.is_ready:
                self.holders_of_shard[each.shard] = self.holders_of_shard.get(each.shard, 0) + 1
                self.ready.setdefault(each.zone, set()).add(node)

    def warm_at(self, zone: int) -> int:
        """Returns the ns at which all ready nodes of the zone are warm; 0 if none ever was cold."""
        return max((self.by_node[node].warm_at for node in self.ready.get(zone, ())), default=0)
