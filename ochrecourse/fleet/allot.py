"""What this gateway may begin at a cold node, so that no sum over gateways is above what the node bears.

Nothing is dealt out. Of N gateways, N being the fleet's known size, each owns one part in N of each node
for ever, and may lend up to LENDABLE of its own to others for a time, by an entry that it alone writes. The
borrower uses a loan until its end less the bound on clocks, the lender takes it back at the end plus that
bound. So each part has one user at any instant, whoever dies, restarts or is cut off, and nobody has to be
heard. Between two users of a part a while passes in which what the one began is over.

In the first while of each life a gateway uses what it may not lend, and lends nothing: what it lent before,
in an entry that its disk may have lost, is never more than the rest and over by then. Free of I/O, clocks and
chance.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Annotated, NamedTuple

import msgspec

from ochrecourse.fleet.entries import Entry
from ochrecourse.common.time_units import MS

SETTLE = 2000  # ms that what a bound let begin still weighs on a node, more than a rule's window and a beat
LENDABLE = 0.5  # of its own part that a gateway may lend; the other half is safe to use after a lost disk
MOST = 1024  # nodes that one loan names; the largest fleet that is planned for
ALL = -1  # in place of a node: every node of a zone, as gateways of before lend

_Name = Annotated[str, msgspec.Meta(max_length=256)]
_Node = Annotated[int, msgspec.Meta(ge=0, le=1 << 62)]


class _Body(msgspec.Struct):
    """`to`: by borrower the nodes whose parts it is lent; a name alone is lent its part of a whole zone."""

    what: str
    to: _Name | dict[_Name, Annotated[list[_Node], msgspec.Meta(max_length=MOST)]]
    units: Annotated[float, msgspec.Meta(ge=0, le=1)]
    until: Annotated[int, msgspec.Meta(ge=0, le=1 << 52)]
    zone: Annotated[int, msgspec.Meta(ge=ALL, le=1 << 20)] = ALL


class Loan(NamedTuple):
    """`place`: zone and ALL, or ALL and a node; `units`: for each unit that such a node bears; `until`: ms
    since 1970."""

    place: tuple[int, int]
    lender: str
    to: str
    units: float
    until: int
    since: int = 0  # ns, from when the borrower uses it


Loans = dict[tuple[int, int], dict[tuple[str, str], Loan]]  # by place, then by entry and borrower


class Allot:
    """The parts of one gateway. `size`: gateways of the fleet; `longest`: ms that a loan lasts at the most;
    `bound`: ms by which a wall clock of the fleet differs from true time at the most; `settle`: ms between
    two users of one part."""

    def __init__(self, name: str, size: int, longest: int, bound: int, settle: int = SETTLE) -> None:
        self.name, self.size, self.longest, self.bound = name, max(1, size), longest, bound
        self.settle = settle
        self.lent: Loans = {}
        self.borrowed: Loans = {}
        self.began: int | None = None  # ns
        self.now = 0  # ns, as last told
        self.wall: int | None = None  # ms since 1970, as this gateway's wall clock has it
        self.ignored = 0

    def time_is(self, now: int, wall: int) -> None:
        """`now`: ns of the clock that only goes on; `wall`: ms since 1970."""
        if self.began is None:
            self.began = now
            after = now + self.settle * MS
            for of in self.borrowed.values():
                of.update({key: loan._replace(since=after) for key, loan in of.items()})
        self.now, self.wall = now, wall
        for held in (self.lent, self.borrowed):
            for place, of in list(held.items()):
                for key in [key for key, loan in of.items() if self._back(loan) + 2 * self.longest < wall]:
                    del of[key]
                if not of:
                    del held[place]

    def event(self, entry: Entry) -> bool:
        """A loan; whoever wrote the entry is its lender. Whether it concerns this gateway."""
        try:
            body = msgspec.json.decode(entry.body, type=_Body)
        except (msgspec.MsgspecError, RecursionError):
            self.ignored += 1
            return False
        whole = isinstance(body.to, str)
        if whole == (body.zone == ALL):
            self.ignored += 1
            return False
        of = {body.to: [ALL]} if isinstance(body.to, str) else body.to
        said, mine = f"{entry.writer}/{entry.life}/{entry.seq}", False
        for to, nodes in of.items():
            held = self.lent if entry.writer == self.name else self.borrowed
            if entry.writer != self.name and to != self.name:
                continue
            for node in nodes:
                place = (body.zone, node)
                since = self.now + self.settle * MS
                loan = Loan(place, entry.writer, to, body.units, body.until, since)
                held.setdefault(place, {}).setdefault((said, to), loan)
                mine = True
        return mine

    def new(self, now: int) -> bool:
        """Whether loans of an earlier life, which its disk may have lost, can still be in use."""
        return self.began is None or now - self.began <= (self.longest + 4 * self.bound + self.settle) * MS

    def _back(self, loan: Loan) -> int:
        """Until when by this gateway's wall clock, in ms, the lender leaves it to the borrower."""
        return loan.until + self.bound + self.settle

    def out(self, zone: int, node: int) -> float:
        """The part of a node that is lent and not yet surely back."""
        return sum(
            loan.units
            for loan in _of(self.lent, zone, node)
            if self.wall is None or self.wall <= self._back(loan)
        )

    def had(self, zone: int, node: int) -> float:
        """The part of a node that others lent to this gateway and that is surely not yet back with them."""
        if self.wall is None:
            return 0.0
        latest = self.wall + self.longest + 2 * self.bound  # no honest loan ends later than that
        return sum(
            loan.units
            for loan in _of(self.borrowed, zone, node)
            if self.wall < loan.until - self.bound and loan.until <= latest and loan.since <= self.now
        )

    def usable(self, zone: int, node: int, now: int) -> float:
        """Of each unit that a cold node of the zone bears, what this gateway may use now."""
        own = 1 / self.size
        left = own - self.out(zone, node)
        if self.new(now):
            left = min(left, own * (1 - LENDABLE))
        return max(0.0, left) + self.had(zone, node)

    def lend(self, zone: int, wanted: Mapping[str, Sequence[int]], now: int) -> dict[str, object] | None:
        """The body of an entry that lends all that may be lent of the nodes named, by borrower; None if
        nothing may. All of them are of one zone."""
        if self.wall is None or self.new(now) or self.size < 2:
            return None
        # Guards against lending what may still be with another: a loan counts until it is surely back.
        free: dict[str, list[int]] = {}
        named: set[int] = set()  # no part goes to two at once
        for to, nodes in wanted.items():
            for node in nodes:
                if to != self.name and node not in named and len(named) < MOST and not self.out(zone, node):
                    named.add(node)
                    free.setdefault(to, []).append(node)
        if not free:
            return None
        return {"what": "lend", "to": free, "units": LENDABLE / self.size, "until": self.wall + self.longest}


def _of(held: Loans, zone: int, node: int) -> list[Loan]:
    """The loans that a node's part is in."""
    return [*held.get((ALL, node), {}).values(), *held.get((zone, ALL), {}).values()]
