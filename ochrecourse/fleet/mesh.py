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

FULL_MESH_SIZE = (
    16  # gateways up to which everybody is linked to everybody; more would cost more than they tell
)
INITIAL_BACKOFF = 100 * MS  # before a dial that failed is tried again; doubled each time
MAX_BACKOFF = 2 * SECOND  # a fleet that can meet again does so within a few seconds
INITIAL_PENALTY = (
    1 * SECOND
)  # after a mistake of the other side; doubled each time: a liar costs less and less
MAX_PENALTY = 300 * SECOND  # a peer that was mended is met again within minutes without a restart here
FORGIVEN = 60 * SECOND  # a link without a mistake for so long takes back what earlier ones cost
SPARE = 4  # spans of silence that a link stands which no longer is wanted; a passing trouble moves no links
LATE = 2  # spans of silence without a link until another gateway takes a place
AFRESH = 8  # times that, after which one that could not be reached is looked for anew


@dataclass(slots=True)
class PeerDialState:
    """One other gateway as a link to it goes. Times in ns."""

    is_up: bool = False
    is_dialling: bool = False
    is_outgoing: bool = False  # the link that is up was dialled from here
    since: int = 0  # when `up` last changed
    next_dial_at: int = 0  # no dial before this
    backoff: int = INITIAL_BACKOFF
    penalty: int = INITIAL_PENALTY
    violations: int = 0  # mistakes since they were last forgiven
    wanted: int = 0  # when it last had a place
    tried: int = -(1 << 62)  # when it was first looked for since a link to it stood


class Mesh:
    """The links of one gateway. `chance` gives numbers from 0 to 1; `quiet` is the silence that ends a
    link.
    """

    def __init__(self, own: str, quiet: int, chance: Callable[[], float]) -> None:
        self.own = own
        self.silence_timeout = quiet
        self.chance = chance
        self.peers: dict[str, PeerDialState] = {}
        self.ring: list[str] = [own]
        self.after: list[str] = []  # the others as they come in the ring
        self.places: list[int] = []  # who comes there in the ring fills it, or the next within reach
        self.fixed: list[str] = []  # and those who have a place that nobody else fills
        self.paired: set[str] = set()  # who has a place by rank, whoever dials

    # --- what is reported ---

    def set_peers(self, names: Iterable[str], now: int) -> None:
        """All other gateways there are; who is left out is dialled no more."""
        told = set(names) - {self.own}
        self.peers = {name: self.peers.get(name) or PeerDialState(since=now) for name in sorted(told)}
        self.ring = sorted(told | {self.own})
        size, at = len(self.ring), self.ring.index(self.own)
        self.after = self.ring[at + 1 :] + self.ring[:at]
        self.places, self.fixed = [], list(self.peers)
        if size > FULL_MESH_SIZE:
            steps = [1 << bit for bit in range(size.bit_length()) if 1 << bit < size]
            self.places = [step - 1 for step in steps]
            self.fixed = sorted({self.after[-step] for step in steps} - {self.after[i] for i in self.places})
        self.paired = {*self.fixed, *(self.after[place] for place in self.places)}

    def link_up(self, name: str, ours: bool, now: int) -> None:
        """A link stands; `ours`: it was dialled from here."""
        if (at := self.peers.get(name)) is not None:
            at.is_up, at.is_dialling, at.is_outgoing, at.since, at.backoff = (
                True,
                False,
                ours,
                now,
                INITIAL_BACKOFF,
            )

    def link_lost(self, name: str, now: int, mistake: bool = False) -> None:
        """A link ended or a dial failed; `mistake`: the other side broke a rule, or says that this side
        did.
        """
        at = self.peers.get(name)
        if at is None:
            return
        if at.is_up:
            at.since = at.tried = now
        elif not mistake:
            at.backoff = min(2 * at.backoff, MAX_BACKOFF)
        at.is_up = at.is_dialling = False
        at.next_dial_at = max(at.next_dial_at, now + round(at.backoff * (0.5 + 0.5 * self.chance())))
        if mistake:
            at.violations += 1
            at.next_dial_at = now + round(at.penalty * (0.75 + 0.25 * self.chance()))
            at.penalty = min(2 * at.penalty, MAX_PENALTY)

    # --- what is asked ---

    def is_penalized(self, name: str, now: int) -> bool:
        """Whether a mistake is too recent to speak with this gateway again, whoever dials."""
        at = self.peers.get(name)
        return at is not None and at.violations > 0 and now < at.next_dial_at

    def next_to_dial(self, now: int) -> str | None:
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
        at = self.peers[name]
        at.wanted = now
        if at.is_up:
            if at.violations and now - at.since > FORGIVEN:
                at.violations, at.penalty = 0, INITIAL_PENALTY
        elif not at.is_dialling and now >= at.next_dial_at and (self.own < name or name not in self.paired):
            at.is_dialling = True
            return True
        return False

    def next_spare(self, now: int) -> str | None:
        """Whose link, dialled from here, has long had no place; asked until None."""
        for name, at in self.peers.items():
            if at.is_up and at.is_outgoing and name not in self.paired:
                wanted = max(at.wanted, at.since)
                if now - wanted > SPARE * self.silence_timeout:
                    at.since = now  # asked once
                    return name
        return None

    def _fills(self, place: int, now: int) -> str:
        """The first from there on that has a link, or is not known yet to be out of reach."""
        late = LATE * self.silence_timeout
        for i in range(place, len(self.after)):
            name = self.after[i]
            at = self.peers[name]
            if not at.is_up and now - at.tried > AFRESH * late:
                at.tried = now
            if at.is_up or (now - at.tried <= late and not self.is_penalized(name, now)):
                return name
        return self.after[place]
