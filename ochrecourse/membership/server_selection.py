"""Which server of a registry is asked and when, and what a look at another says of the watch. Free of I/O.

After a break another server is taken, by chance, after a wait that is drawn and doubles: gateways that lost
the same server at the same moment come back spread over servers and time. A watch that stands makes the next
wait short again.

A look asks another server for the newest change under the prefix. What is newer there than what is known here
may be on its way; if it still is not here a moment later, the watch's server lies behind or holds it back.
"""

from __future__ import annotations

from collections.abc import Callable

PATIENCE = 0.8  # s for an answer; more than a busy registry takes, less than half of a drain's grace
LOOK = 1.0  # s between looks at the newest change; with PATIENCE well inside a drain's grace of 2 s
LAG = 0.3  # s that a watch may be behind what a look saw
FIRST_WAIT = 0.5  # s, the most before the first try to come back, by chance: many must not come at once
LONGEST_WAIT = 2.0  # s
ROUNDS = 2  # times that each server may be disbelieved before an operator is told


class ServerSelector:
    """The server at hand among `count`, and the wait after a break. `chance` gives numbers from 0 to 1."""

    def __init__(self, count: int, chance: Callable[[], float]) -> None:
        self.count = count
        self.chance = chance
        self.at = int(chance() * count)
        self.wait = FIRST_WAIT
        self.disbelieved = 0  # servers in a row
        self.told = False

    def another(self) -> int:
        """A server other than the one at hand, by chance; that one if there is no other."""
        if self.count == 1:
            return self.at
        return (self.at + 1 + int(self.chance() * (self.count - 1))) % self.count

    def broke(self) -> float:
        """The server at hand is left; s until the next one is to be asked."""
        self.at = self.another()
        spent, self.wait = self.wait * self.chance(), min(LONGEST_WAIT, self.wait * 2)
        return spent

    def stands(self) -> None:
        """A watch stands: the server is believed, and a break from now on is a first one."""
        self.wait = FIRST_WAIT
        self.disbelieved = 0
        self.told = False

    def refused(self) -> bool:
        """The server at hand is not believed. True if an operator is to be told now: no other is either."""
        self.disbelieved += 1
        if self.told or self.disbelieved < ROUNDS * self.count:
            return False
        self.told = True
        return True


class WatchLag:
    """Whether a watch keeps up with what looks at other servers see. Revisions as the registry gives them."""

    def __init__(self) -> None:
        self.newest = 0  # that a look saw and that was not known here then; 0: nothing is waited for

    def saw(self, newest: int, known: int) -> float:
        """A look's answer; s until `behind` is to be asked, or until the next look if nothing is awaited."""
        self.newest = newest if newest > known else 0
        return LAG if self.newest else LOOK

    def behind(self, known: int) -> bool:
        """Whether what was waited for is still not here."""
        late, self.newest = self.newest > known, 0
        return late
