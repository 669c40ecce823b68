"""What this gateway's jobs ask of each shard of late, and to whom parts that it does not need are best lent.

A shard's need is seen at whichever node serves it, so it is known of a lost zone's nodes too, as long as
another zone holds the shard. Free of I/O, clocks and chance.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from ochrecourse.common.time_units import SECOND

HALF = 10 * SECOND  # ns in which a seen need halves; some jobs of a shard, at a job every few seconds
USUAL = 1 / 32  # weight of the newest job in the mean of units; single large jobs hardly move it
TURNS = 0.6180339887  # golden part: so many lenders in a row fall evenly over the borrowers
SMALL = 0.1  # of the largest need of a node, below which nobody is lent a part of it


class Needs:
    """Units a second by shard."""

    def __init__(self) -> None:
        self.held: dict[int, tuple[float, int]] = {}  # by shard: units a second, and of when, in ns
        self.usual = self.largest = 1.0  # units of a job in the mean, and of the largest seen

    def units_sent(self, shard: int, units: float, now: int) -> None:
        """A leg went to a node that holds the shard."""
        self.held[shard] = (self.of(shard, now) + units * 0.693 * SECOND / HALF, now)
        self.usual += USUAL * (units - self.usual)
        self.largest = max(self.largest, units)

    def of(self, shard: int, now: int) -> float:
        """Units a second."""
        need, at = self.held.get(shard, (0.0, now))
        return float(need * 0.5 ** ((now - at) / HALF))


def borrower(rank: int, node: int, needs: Sequence[tuple[str, float]]) -> str | None:
    """To whom the lender of this rank lends its part of a node: by what each needs there, so that all lenders
    together serve each borrower after its need. `needs`: in the order of names."""
    most = max((need for _, need in needs), default=0.0)
    some = [(name, need) for name, need in needs if need > 0 and need >= SMALL * most]
    at = (rank * TURNS + node * TURNS * TURNS) % 1.0 * sum(need for _, need in some)
    for name, need in some:
        if at < need:
            return name
        at -= need
    return some[-1][0] if some else None


def named(needs: Mapping[int, float], most: int) -> tuple[tuple[int, float], ...]:
    """The largest of these, by node, as they are told."""
    largest = sorted(needs.items(), key=lambda each: (-each[1], each[0]))[:most]
    return tuple((node, round(need, 2)) for node, need in sorted(largest) if round(need, 2) > 0)
