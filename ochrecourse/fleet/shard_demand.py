"""This gateway's demand by shard, and the choice of borrowers for quotas that it does not need.

Demand is measured per shard, at any node that serves it, so that the demand at nodes of a lost zone is known
as long as another zone has the shard. Free of I/O, clocks and randomness.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from ochrecourse.common.time_units import SECOND

# ns in which measured demand halves; covers several requests to a shard that gets one every few seconds.
HALF_TIME = 10 * SECOND
LN_2 = 0.693
MEAN_WEIGHT = 1 / 32  # of the newest request in the moving mean of units; large ones hardly move it
GOLDEN_SECTION = 0.6180339887  # multiples modulo 1 are evenly spread, so consecutive lenders are too
MIN_RELATIVE_DEMAND = 0.1  # of the largest demand at a node; a gateway with less gets no loan of it
REPORTED_DIGITS = 2


class _Demand(NamedTuple):
    units_per_s: float
    at: int  # ns


class ShardDemand:
    """Demand by shard in units/s. `mean_units`, `largest_units`: mean and maximum units of a request."""

    def __init__(self) -> None:
        self.mean_units = 1.0
        self.largest_units = 1.0
        self._by_shard: dict[int, _Demand] = {}

    def units_sent(self, shard: int, units: float, now: int) -> None:
        """Adds an attempt's units to the demand of the shard."""
        demand = self.of(shard, now) + units * LN_2 * SECOND / HALF_TIME
        self._by_shard[shard] = _Demand(demand, now)
        self.mean_units += MEAN_WEIGHT * (units - self.mean_units)
        self.largest_units = max(self.largest_units, units)

    def of(self, shard: int, now: int) -> float:
        """Returns the current demand of the shard in units/s."""
        demand = self._by_shard.get(shard) or _Demand(0.0, now)
        return float(demand.units_per_s * 0.5 ** ((now - demand.at) / HALF_TIME))


def choose_borrower(rank: int, node: int, demand: Sequence[tuple[str, float]]) -> str | None:
    """Returns the borrower of a node's quota for the lender of the given rank; None if there is no demand.

    Over all lenders, each borrower gets loans in proportion to its demand. `demand`: units/s by gateway, in
    the order of names.
    """
    largest = max((units for _, units in demand), default=0.0)
    borrowers = [
        (name, units) for name, units in demand if units > 0 and units >= MIN_RELATIVE_DEMAND * largest
    ]
    phase = (rank * GOLDEN_SECTION + node * GOLDEN_SECTION * GOLDEN_SECTION) % 1.0
    position = phase * sum(units for _, units in borrowers)
    for name, units in borrowers:
        if position < units:
            return name
        position -= units
    return borrowers[-1][0] if borrowers else None


def largest_demands(demand: Mapping[int, float], count: int) -> tuple[tuple[int, float], ...]:
    """Returns the `count` largest demands by node, rounded as in reports."""
    largest = sorted(demand.items(), key=lambda each: (-each[1], each[0]))[:count]
    rounded = [(node, round(units, REPORTED_DIGITS)) for node, units in sorted(largest)]
    return tuple((node, units) for node, units in rounded if units > 0)
