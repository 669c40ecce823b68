"""Who dials whom, and when again: links between the gateways of a fleet. Free of I/O, clocks and chance.

Up to `ALL` gateways everybody has a link to everybody. Above, the sorted names form a ring, and each has
links to those 1, 2, 4, 8 ... places away to both sides, so news takes few steps and no gateway carries all.
A pair has one link, which the lower name dials. Where the gateway at a distance can't be reached, the next
names after it take its place until it can; so whoever can reach each other at all stays joined, through the
link to the next place if through no other.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ochrecourse.common.time_units import MS, SECOND

ALL = 16  # gateways up to which everybody is linked to everybody; more would cost more than they tell
FIRST_WAIT = 100 * MS  # before a dial that failed is tried again; doubled each time
LONGEST_WAIT = 2 * SECOND  # a fleet that can meet again does so within a few seconds
FIRST_REST = 1 * SECOND  # after a mistake of the other side; doubled each time: a liar costs less and less
LONGEST_REST = 300 * SECOND  # a peer that was mended is met again within minutes without a restart here
FORGIVEN = 60 * SECOND  # a link without a mistake for so long takes back what earlier ones cost
SPARE = 4  # spans of silence that a link stands which no longer is wanted; a passing trouble moves no links
LATE = 2  # spans of silence without a link until another gateway takes a place
AFRESH = 8  # times that, after which one that could not be reached is looked for anew


@dataclass(slots=True)
class Standing:
    """One other gateway as a link to it goes. Times in ns."""

    up: bool = False
    dialling: bool = False
    ours: bool = False  # the link that is up was dialled from here
    since: int = 0  # when `up` last changed
    next: int = 0  # no dial before this
    wait: int = FIRST_WAIT
    rest: int = FIRST_REST
    rests: int = 0  # mistakes since they were last forgiven
    wanted: int = 0  # when it last had a place
    tried: int = -(1 << 62)  # when it was first looked for since a link to it stood


class Mesh:
    """The links of one gateway. `chance` gives numbers from 0 to 1; `quiet` is the silence that ends a
    link.
    """

    def __init__(self, own: str, quiet: int, chance: Callable[[], float]) -> None:
        self.own = own
        self.quiet = quiet
        self.chance = chance
        self.others: dict[str, Standing] = {}
        self.ring: list[str] = [own]
        self.after: list[str] = []  # the others as they come in the ring
        self.places: list[int] = []  # who comes there in the ring fills it, or the next within reach
        self.fixed: list[str] = []  # and those who have a place that nobody else fills
        self.paired: set[str] = set()  # who has a place by rank, whoever dials

    # --- what is reported ---

    def peers_are(self, names: Iterable[str], now: int) -> None:
        """All other gateways there are; who is left out is dialled no more."""
        told = set(names) - {self.own}
        self.others = {name: self.others.get(name) or Standing(since=now) for name in sorted(told)}
        self.ring = sorted(told | {self.own})
        size, at = len(self.ring), self.ring.index(self.own)
        self.after = self.ring[at + 1 :] + self.ring[:at]
        self.places, self.fixed = [], list(self.others)
        if size > ALL:
            steps = [1 << bit for bit in range(size.bit_length()) if 1 << bit < size]
            self.places = [step - 1 for step in steps]
            self.fixed = sorted({self.after[-step] for step in steps} - {self.after[i] for i in self.places})
        self.paired = {*self.fixed, *(self.after[place] for place in self.places)}

    def up(self, name: str, ours: bool, now: int) -> None:
        """A link stands; `ours`: it was dialled from here."""
        if (at := self.others.get(name)) is not None:
            at.up, at.dialling, at.ours, at.since, at.wait = True, False, ours, now, FIRST_WAIT

    def lost(self, name: str, now: int, mistake: bool = False) -> None:
        """A link ended or a dial failed; `mistake`: the other side broke a rule, or says that this side
        did.
        """
        at = self.others.get(name)
        if at is None:
            return
        if at.up:
            at.since = at.tried = now
        elif not mistake:
            at.wait = min(2 * at.wait, LONGEST_WAIT)
        at.up = at.dialling = False
        at.next = max(at.next, now + round(at.wait * (0.5 + 0.5 * self.chance())))
        if mistake:
            at.rests += 1
            at.next = now + round(at.rest * (0.75 + 0.25 * self.chance()))
            at.rest = min(2 * at.rest, LONGEST_REST)

    # --- what is asked ---

    def resting(self, name: str, now: int) -> bool:
        """Whether a mistake is too recent to speak with this gateway again, whoever dials."""
        at = self.others.get(name)
        return at is not None and at.rests > 0 and now < at.next

    def wants(self, now: int) -> str | None:
        """Whom to dial now; asked until None."""
        for place in self.places:
            for name in {self.after[place]: None, self._fills(place, now): None}:
                if self._dials(name, now):
                    return name
        for name in self.fixed:
            if self._dials(name, now):
                return name
        return None

    def _dials(self, name: str, now: int) -> bool:
        at = self.others[name]
        at.wanted = now
        if at.up:
            if at.rests and now - at.since > FORGIVEN:
                at.rests, at.rest = 0, FIRST_REST
        elif not at.dialling and now >= at.next and (self.own < name or name not in self.paired):
            at.dialling = True
            return True
        return False

    def spare(self, now: int) -> str | None:
        """Whose link, dialled from here, has long had no place; asked until None."""
        for name, at in self.others.items():
            if at.up and at.ours and name not in self.paired:
                wanted = max(at.wanted, at.since)
                if now - wanted > SPARE * self.quiet:
                    at.since = now  # asked once
                    return name
        return None

    def _fills(self, place: int, now: int) -> str:
        """The first from there on that has a link, or is not known yet to be out of reach."""
        late = LATE * self.quiet
        for i in range(place, len(self.after)):
            name = self.after[i]
            at = self.others[name]
            if not at.up and now - at.tried > AFRESH * late:
                at.tried = now
            if at.up or (now - at.tried <= late and not self.resting(name, now)):
                return name
        return self.after[place]
