"""This gateway's quota of a cold node, so that no sum over gateways is above what the node bears.

No gateway assigns quotas. Of N gateways, N being the fleet's size, each owns one Nth of each node for ever,
and may lend up to LENDABLE_FRACTION of its own to others for a time, by an entry that it alone writes. The
borrower uses a loan until its end less the bound on clocks, the lender takes it back at the end plus that
bound. So each quota has one user at any instant, whichever gateway ends, restarts or is isolated. Between
two users of a quota some time passes in which what the first one began is over.

At the start of each incarnation a gateway uses what it may not lend, and lends nothing: what it lent
before, in an entry that its disk may have lost, is never more than the rest and over by then. Free of I/O,
clocks and chance.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from typing import Annotated, NamedTuple

import msgspec

from ochrecourse.common.time_units import MS
from ochrecourse.fleet.entries import Entry

SETTLE_MS = 2000  # for which what began still weighs on a node; more than a rule's window and a beat
LENDABLE_FRACTION = 0.5  # of its own quota that a gateway may lend; the rest is safe to use after a lost disk
MAX_LOAN_NODES = 1024  # that one loan names; the largest fleet that is planned for
MAX_NAME_CHARACTERS = 256
MAX_NODE = 1 << 62
MAX_ZONE = 1 << 20
MAX_UNTIL_MS = 1 << 52
ALL_NODES = -1  # in place of a node: every node of a zone, as gateways of an earlier version lend

_Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARACTERS)]
_Node = Annotated[int, msgspec.Meta(ge=0, le=MAX_NODE)]
_Nodes = Annotated[list[_Node], msgspec.Meta(max_length=MAX_LOAN_NODES)]


class _LoanEntry(
    msgspec.Struct, rename={"kind": "what", "borrowers": "to", "fraction": "units", "until_ms": "until"}
):
    """`borrowers`: each with the nodes that it is lent; a name alone is lent a complete zone."""

    kind: str
    borrowers: _Name | dict[_Name, _Nodes]
    fraction: Annotated[float, msgspec.Meta(ge=0, le=1)]
    until_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_UNTIL_MS)]
    zone: Annotated[int, msgspec.Meta(ge=ALL_NODES, le=MAX_ZONE)] = ALL_NODES

    def is_of_zone(self) -> bool:
        """Whether it lends a complete zone."""
        return isinstance(self.borrowers, str)

    def nodes_by_borrower(self) -> Mapping[str, Sequence[int]]:
        """ALL_NODES for a complete zone."""
        return {self.borrowers: [ALL_NODES]} if isinstance(self.borrowers, str) else self.borrowers


class LoanPlace(NamedTuple):
    """A zone and ALL_NODES, or ALL_NODES and a node."""

    zone: int
    node: int


class Loan(NamedTuple):
    """`fraction`: of what such a node bears; `until_ms`: since 1970; `usable_from`: ns, for the borrower."""

    place: LoanPlace
    lender: str
    borrower: str
    fraction: float
    until_ms: int
    usable_from: int = 0


class _LoanKey(NamedTuple):
    entry: str
    borrower: str


Loans = dict[LoanPlace, dict[_LoanKey, Loan]]


class GatewayQuota:
    """The quotas of one gateway. `gateway_count`: the fleet's size; `max_loan_ms`: how long a loan lasts at
    the most; `clock_bound_ms`: by which a wall clock of the fleet differs from true time at the most;
    `settle_ms`: between two users of one quota.
    """

    def __init__(
        self,
        name: str,
        gateway_count: int,
        max_loan_ms: int,
        clock_bound_ms: int,
        settle_ms: int = SETTLE_MS,
    ) -> None:
        self.name = name
        self.gateway_count = max(1, gateway_count)
        self.max_loan_ms = max_loan_ms
        self.clock_bound_ms = clock_bound_ms
        self.settle_ms = settle_ms
        self.lent: Loans = {}
        self.borrowed: Loans = {}
        self.began_at: int | None = None  # ns
        self.now = 0  # ns, as last set
        self.wall_ms: int | None = None  # since 1970, by this gateway's wall clock
        self.ignored_entries = 0

    def set_time(self, now: int, wall_ms: int) -> None:
        """`now`: ns of the clock that only goes on; `wall_ms`: since 1970."""
        if self.began_at is None:
            self.began_at = now
            usable_from = now + self.settle_ms * MS
            for loans in self.borrowed.values():
                loans.update({key: loan._replace(usable_from=usable_from) for key, loan in loans.items()})
        self.now, self.wall_ms = now, wall_ms
        for loans_by_place in (self.lent, self.borrowed):
            self._forget_old(loans_by_place, wall_ms)

    def _forget_old(self, loans_by_place: Loans, wall_ms: int) -> None:
        for place, loans in list(loans_by_place.items()):
            for key, loan in list(loans.items()):
                if self._returned_at_ms(loan) + 2 * self.max_loan_ms < wall_ms:
                    del loans[key]
            if not loans:
                del loans_by_place[place]

    def apply(self, entry: Entry) -> bool:
        """A loan; the entry's writer is its lender. Whether it concerns this gateway."""
        try:
            body = msgspec.json.decode(entry.body, type=_LoanEntry)
        except (msgspec.MsgspecError, RecursionError):
            self.ignored_entries += 1
            return False
        if body.is_of_zone() == (body.zone == ALL_NODES):
            self.ignored_entries += 1
            return False
        concerns_this = False
        for loan in self._loans_in(entry, body):
            loans_by_place = self.lent if entry.writer == self.name else self.borrowed
            key = _LoanKey(f"{entry.writer}/{entry.incarnation}/{entry.seq}", loan.borrower)
            loans_by_place.setdefault(loan.place, {}).setdefault(key, loan)
            concerns_this = True
        return concerns_this

    def _loans_in(self, entry: Entry, body: _LoanEntry) -> Iterator[Loan]:
        """The loans by this gateway or to it."""
        usable_from = self.now + self.settle_ms * MS
        for borrower, nodes in body.nodes_by_borrower().items():
            if self.name in (entry.writer, borrower):
                for node in nodes:
                    place = LoanPlace(body.zone, node)
                    yield Loan(place, entry.writer, borrower, body.fraction, body.until_ms, usable_from)

    def may_have_lost_loans(self, now: int) -> bool:
        """Whether loans of an earlier incarnation, which its disk may have lost, can still be in use."""
        if self.began_at is None:
            return True
        longest_ms = self.max_loan_ms + 4 * self.clock_bound_ms + self.settle_ms
        return now - self.began_at <= longest_ms * MS

    def _returned_at_ms(self, loan: Loan) -> int:
        """Until when, by this gateway's wall clock, the lender leaves the quota to the borrower."""
        return loan.until_ms + self.clock_bound_ms + self.settle_ms

    def lent_fraction(self, zone: int, node: int) -> float:
        """Of a node, what is lent and not yet certain to be back."""
        return sum(
            loan.fraction
            for loan in loans_of(self.lent, zone, node)
            if self.wall_ms is None or self.wall_ms <= self._returned_at_ms(loan)
        )

    def borrowed_fraction(self, zone: int, node: int) -> float:
        """Of a node, what others lent to this gateway and is certain not to be back with them."""
        if self.wall_ms is None:
            return 0.0
        latest = self.wall_ms + self.max_loan_ms + 2 * self.clock_bound_ms  # no honest loan ends later
        return sum(
            loan.fraction
            for loan in loans_of(self.borrowed, zone, node)
            if self.wall_ms < loan.until_ms - self.clock_bound_ms
            and loan.until_ms <= latest
            and loan.usable_from <= self.now
        )

    def usable(self, zone: int, node: int, now: int) -> float:
        """Of what a cold node of the zone bears, the fraction that this gateway may use now."""
        own = 1 / self.gateway_count
        left = own - self.lent_fraction(zone, node)
        if self.may_have_lost_loans(now):
            left = min(left, own * (1 - LENDABLE_FRACTION))
        return max(0.0, left) + self.borrowed_fraction(zone, node)

    def lend(self, zone: int, wanted: Mapping[str, Sequence[int]], now: int) -> dict[str, object] | None:
        """The body of an entry that lends all that may be lent of the nodes named, by borrower; None if
        nothing may. All of them are of one zone.
        """
        if self.wall_ms is None or self.may_have_lost_loans(now) or self.gateway_count < 2:
            return None
        borrowers = self._lendable(zone, wanted)
        if not borrowers:
            return None
        fraction = LENDABLE_FRACTION / self.gateway_count
        until_ms = self.wall_ms + self.max_loan_ms
        return {"what": "lend", "to": borrowers, "units": fraction, "until": until_ms}

    def _lendable(self, zone: int, wanted: Mapping[str, Sequence[int]]) -> dict[str, list[int]]:
        """By borrower, nodes of which nothing is lent, each once."""
        borrowers: dict[str, list[int]] = {}
        lent: set[int] = set()
        for borrower, nodes in wanted.items():
            for node in nodes:
                if borrower == self.name or node in lent or len(lent) >= MAX_LOAN_NODES:
                    continue
                # Guards against lending what may still be with another gateway.
                if not self.lent_fraction(zone, node):
                    lent.add(node)
                    borrowers.setdefault(borrower, []).append(node)
        return borrowers


def loans_of(loans_by_place: Loans, zone: int, node: int) -> list[Loan]:
    """The loans that a node's quota is in."""
    of_node = loans_by_place.get(LoanPlace(ALL_NODES, node), {})
    of_zone = loans_by_place.get(LoanPlace(zone, ALL_NODES), {})
    return [*of_node.values(), *of_zone.values()]
