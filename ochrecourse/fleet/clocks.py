"""Whether this gateway's wall clock is to be believed, by its own monotonic clock and by other gateways'
clocks. Free of I/O and clocks: readings are handed in.

Wall clocks of a fleet differ from the true time by at most a bound, so any two by twice that. Two gateways
that tell each other the time bound how far their clocks are apart, whatever their messages took: what one
reads on arrival is at least the other's at sending. A clock is believed once one other answered closely
enough to tell and is not surely farther away than that, until it jumps, or until more clocks surely are. So
an error is found that is greater than twice the bound by what such an answer leaves open; a lesser one is
not.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import NamedTuple

import msgspec

from ochrecourse.common.time_units import MS

PEERS = 16  # other clocks that are compared; each costs some 50 bytes of what is told to all
TELLS = 4  # times the bound: answers that leave more open than that say nothing of a clock
FAR = 1 << 62  # ms; nothing is known


class Apart(NamedTuple):
    """How far another clock is ahead of this one, in ms: at least, at most."""

    least: int
    most: int


class Told(msgspec.Struct):
    """What a gateway tells of its clock. `wall`: ms since 1970; `turn`: counts its clock's jumps; `heard`: by
    name, the other's (turn, wall) as told last and this one's wall when it came.
    """

    wall: int
    turn: int
    heard: dict[str, tuple[int, int, int]] = {}


def ring(name: str, names: Collection[str], reach: int) -> frozenset[str]:
    """The names at most so many places from one, before and behind it, in the circle of all; so each is
    among those of whoever is among its own.
    """
    circle = sorted({name, *names})
    at = circle.index(name)
    near = {circle[(at + step) % len(circle)] for step in range(-reach, reach + 1)}
    return frozenset(near - {name})


class WallClock:
    """One gateway's wall clock. `bound` in ms; `near`: the gateways whose clocks it asks for, and answers; it
    answers others who ask it too, as far as there is room. With none there is nobody to ask.
    """

    def __init__(self, name: str, bound: int, near: Collection[str], now: int, wall: int) -> None:
        self.name = name
        self.bound = bound
        self.near = frozenset(near)
        self.turn = wall  # another one in each life, so that none is taken for one before
        self.jumps = 0
        self.apart: dict[str, Apart] = {}  # by peer, since the last jump
        self.heard: dict[str, tuple[int, int, int]] = {}
        self.believed = not self.near
        self._at = (now, wall)

    def reading(self, now: int, wall: int) -> bool:
        """A reading of both clocks, ns and ms; False if the wall clock jumped since the one before."""
        before, self._at = self._at, (now, wall)
        gone = (now - before[0]) // MS
        if abs(wall - before[1] - gone) <= self.bound:
            return True
        self.jumps += 1
        self.turn += 1
        self.apart.clear()
        self.heard.clear()  # by a clock that was another one
        self.believed = not self.near
        return False

    def told(self) -> Told:
        """What to tell the others, as of the last reading."""
        return Told(self._at[1], self.turn, dict(self.heard))

    def listen(self, peer: str, told: Told) -> None:
        """What another gateway tells, at the last reading. What it says of older turns is not counted."""
        wall = self._at[1]
        asked = peer in self.near or self.name in told.heard
        if not asked or (peer not in self.heard and len(self.heard) >= PEERS):
            return
        self.heard[peer] = (told.turn, told.wall, wall)
        least, most = told.wall - wall, FAR
        if (mine := told.heard.get(self.name)) is not None and mine[0] == self.turn:
            most = mine[2] - mine[1]
        known = self.apart.get(peer, Apart(-FAR, FAR))
        # Clocks that are set in small steps grow apart: then what was known before no longer holds.
        if max(least, known.least) <= min(most, known.most):
            least, most = max(least, known.least), min(most, known.most)
        self.apart[peer] = Apart(least, most)
        self._judge()

    def gone(self, peer: str) -> None:
        """Another gateway began a new life or is heard no more: its clock is not what it was."""
        self.apart.pop(peer, None)
        self.heard.pop(peer, None)

    def _judge(self) -> None:
        off = len(self.off())
        close = [peer for peer, each in self.apart.items() if each.most - each.least <= TELLS * self.bound]
        near = sum(peer not in self.off() for peer in close)
        if off > near:  # with itself, no more clocks agree than do not
            self.believed = False
        elif near:
            self.believed = True

    def off(self) -> Mapping[str, Apart]:
        """The other clocks that are surely farther away than two clocks may be, by name."""
        within = 2 * self.bound
        return {
            peer: each
            for peer, each in sorted(self.apart.items())
            if each.least > within or each.most < -within
        }
