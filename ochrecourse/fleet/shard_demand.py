"""What this gateway's requests need of each shard, and to whom quotas that it does not need are best lent.

The demand of a shard is observed at whichever node serves it, so it is known of a lost zone's nodes too, as
long as another zone holds the shard. Free of I/O, clocks and chance.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from ochrecourse.common.time_units import SECOND

HALF_TIME = (
    10 * SECOND
)  # ns in which observed demand halves; some requests of a shard, at one in a few seconds
LN_2 = 0.693
USUAL_WEIGHT = 1 / 32  # of the newest request in the mean of units; single large requests hardly move it
GOLDEN_SECTION = 0.6180339887  # so many lenders in a row fall evenly over the borrowers
MIN_RELATIVE_DEMAND = 0.1  # of a node's largest demand, below which no quota of it is lent
REPORTED_DIGITS = 2


class _Demand(NamedTuple):
    units_per_s: float
    at: int  # ns


class ShardDemand:
    """Units a second by shard. `usual`, `largest`: units of a request in the mean, and of the largest."""

    def __init__(self) -> None:
        self.usual = 1.0
        self.largest = 1.0
        self._by_shard: dict[int, _Demand] = {}

    def units_sent(self, shard: int, units: float, now: int) -> None:
        """An attempt was sent to a node that holds the shard."""
        demand = self.of(shard, now) + units * LN_2 * SECOND / HALF_TIME
        self._by_shard[shard] = _Demand(demand, now)
        self.usual += USUAL_WEIGHT * (units - self.usual)
        self.largest = max(self.largest, units)

    def of(self, shard: int, now: int) -> float:
        """Units a second that its requests need of the shard now."""
        demand = self._by_shard.get(shard) or _Demand(0.0, now)
        return float(demand.units_per_s * 0.5 ** ((now - demand.at) / HALF_TIME))


def choose_borrower(rank: int, node: int, demand: Sequence[tuple[str, float]]) -> str | None:
    """To whom the lender of this rank lends its quota of a node, so that all lenders together serve each
    borrower after its demand. `demand`: units a second by gateway, in the order of names.
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
    """The largest of these, by node, as they are reported."""
    largest = sorted(demand.items(), key=lambda each: (-each[1], each[0]))[:count]
    rounded = [(node, round(units, REPORTED_DIGITS)) for node, units in sorted(largest)]
    return tuple((node, units) for node, units in rounded if units > 0)
