"""Who reaches whom in a simulated fleet: the paths between hosts under all network faults in force, and the
groups of gateways that follow from them.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from ochrecourse.lab.fleet_instance import FleetSeat
from ochrecourse.lab.virtual import VirtualNetwork, Way


class Reach:
    """The paths of one fleet. Each method that impairs some returns what takes that back."""

    def __init__(self, network: VirtualNetwork, seats: Sequence[FleetSeat], zones: Sequence[str]) -> None:
        self.network = network
        self.seats = seats
        self.zones = zones
        self.gateways = frozenset(seat.name for seat in seats)
        self.impaired: list[tuple[frozenset[tuple[str, str]], Way]] = []
        self.changed_at = 0.0  # s, when who reaches whom last changed
        self.groups: list[list[FleetSeat]] = []
        self.regroup = True  # the groups are not as the paths and gateways are now

    def changed(self) -> None:
        """Notes that paths or gateways are not as they were."""
        self.changed_at, self.regroup = self.network.seconds(), True

    def hosts(self) -> set[str]:
        """The names of all gateways and zones."""
        return {*self.gateways, *self.zones}

    def between(self, some: Iterable[str], others: Iterable[str], way: Way) -> Callable[[], None]:
        """Impairs the paths between some hosts and others, in both directions."""
        pairs = {(here, there) for here in some for there in others if here != there}
        return self.impair(pairs | {(there, here) for here, there in pairs}, way)

    def impair(self, pairs: set[tuple[str, str]], way: Way) -> Callable[[], None]:
        """Impairs paths, given as (from, to). Each is as the worst of the faults on it."""
        fault = (frozenset(pairs), way)
        self.impaired.append(fault)
        self._set_ways(pairs)

        def mend() -> None:
            self.impaired.remove(fault)
            self._set_ways(pairs)

        return mend

    def _set_ways(self, pairs: Iterable[tuple[str, str]]) -> None:
        for here, there in sorted(pairs):
            ways = [way for paths, way in self.impaired if (here, there) in paths]
            whole = Way(
                cut=any(way.cut for way in ways),
                breaks=any(way.breaks for way in ways),
                lose=max((way.lose for way in ways), default=0.0),
                late=max((way.late for way in ways), default=(0.0, 0.0)),
            )
            self.network.set_way(here, there, whole if ways else None)

    def group(self) -> None:
        """Who reaches whom, both ways, over others too; each group is a list of gateways."""
        left = [seat for seat in self.seats if seat.runs()]
        groups: list[list[FleetSeat]] = []
        ways = self.network.ways
        while left:
            group, new = [left.pop(0)], 0
            while new < len(group):
                here, new = group[new].name, new + 1
                apart: list[FleetSeat] = []
                for seat in left:
                    cut = self.network.cut_off(here, seat.name) or self.network.cut_off(seat.name, here)
                    (apart if ways and cut else group).append(seat)
                left = apart
            groups.append(group)
        self.groups, self.regroup = groups, False
