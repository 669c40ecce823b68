"""This gateway's quota of a cold node's rate; the quotas of all gateways never exceed what the node can take.

No gateway assigns quotas. In a fleet of N gateways, each permanently owns one Nth of each node's rate. It may
lend up to LENDABLE_FRACTION of its quota to others for a limited time, by a log entry that only it writes.
The borrower uses a loan until its end minus the clock bound; the lender uses the quota again from the end
plus that bound. So each quota has one user at any time, whichever gateway stops, restarts or is isolated. A
settle time between two users lets the requests of the first one finish.

At the start of each incarnation a gateway uses only the fraction that it may not lend, and lends nothing. Its
disk may have lost an entry by which it lent the rest, and any such loan has ended when this period is over.
Free of I/O, clocks and randomness.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from typing import Annotated, NamedTuple

import msgspec

from ochrecourse.common.time_units import MS
from ochrecourse.fleet.entries import Entry

SETTLE_MS = 2000  # for which earlier requests may still load a node; more than a window plus a heartbeat
LENDABLE_FRACTION = 0.5  # of its own quota that a gateway may lend; the rest is safe to use after a lost disk
MAX_LOAN_NODES = 1024  # in one loan; the largest supported fleet
MAX_NAME_CHARACTERS = 256
MAX_NODE = 1 << 62
MAX_ZONE = 1 << 20
MAX_UNTIL_MS = 1 << 52
ALL_NODES = -1  # as node number: all nodes of a zone, in loans of gateways of an earlier version

_Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARACTERS)]
_Node = Annotated[int, msgspec.Meta(ge=0, le=MAX_NODE)]
_Nodes = Annotated[list[_Node], msgspec.Meta(max_length=MAX_LOAN_NODES)]


class _LoanEntry(
    msgspec.Struct, rename={"kind": "what", "borrowers": "to", "fraction": "units", "until_ms": "until"}
):
    """`borrowers`: nodes lent to each borrower, or the name of one that is lent a whole zone."""

    kind: str
    borrowers: _Name | dict[_Name, _Nodes]
    fraction: Annotated[float, msgspec.Meta(ge=0, le=1)]
    until_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_UNTIL_MS)]
    zone: Annotated[int, msgspec.Meta(ge=ALL_NODES, le=MAX_ZONE)] = ALL_NODES

    def is_of_zone(self) -> bool:
        """Whether it lends a whole zone."""
        return isinstance(self.borrowers, str)

    def nodes_by_borrower(self) -> Mapping[str, Sequence[int]]:
        """Returns the lent nodes by borrower; ALL_NODES for a whole zone."""
        return {self.borrowers: [ALL_NODES]} if isinstance(self.borrowers, str) else self.borrowers


class LoanScope(NamedTuple):
    """The nodes that a loan covers: a zone and ALL_NODES, or ALL_NODES and a node."""

    zone: int
    node: int


class Loan(NamedTuple):
    """A loan of one node's or one zone's quota.

    `fraction`: of a cold node's rate. `until_ms`: end, since 1970. `usable_from`: ns from which the borrower
    may use it.
    """

    scope: LoanScope
    lender: str
    borrower: str
    fraction: float
    until_ms: int
    usable_from: int = 0


class _LoanKey(NamedTuple):
    entry: str
    borrower: str


Loans = dict[LoanScope, dict[_LoanKey, Loan]]


class GatewayQuota:
    """The quotas of one gateway.

    `gateway_count`: size of the fleet. `max_loan_ms`: longest duration of a loan. `clock_bound_ms`: largest
    error of a wall clock in the fleet. `settle_ms`: time between two users of one quota.
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
        self.started_at: int | None = None  # ns
        self.now = 0  # ns, as last set
        self.wall_ms: int | None = None  # since 1970, by this gateway's wall clock
        self.ignored_entries = 0

    def set_time(self, now: int, wall_ms: int) -> None:
        """Sets the time. `now`: ns of a monotonic clock; `wall_ms`: wall clock in ms since 1970."""
        if self.started_at is None:
            self.started_at = now
            usable_from = now + self.settle_ms * MS
            for loans in self.borrowed.values():
                loans.update({key: loan._replace(usable_from=usable_from) for key, loan in loans.items()})
        self.now, self.wall_ms = now, wall_ms
        for loans_by_scope in (self.lent, self.borrowed):
            self._drop_expired(loans_by_scope, wall_ms)

    def _drop_expired(self, loans_by_scope: Loans, wall_ms: int) -> None:
        for scope, loans in list(loans_by_scope.items()):
            for key, loan in list(loans.items()):
                if self._returned_at_ms(loan) + 2 * self.max_loan_ms < wall_ms:
                    del loans[key]
            if not loans:
                del loans_by_scope[scope]

    def apply(self, entry: Entry) -> bool:
        """Applies a loan entry, whose writer is the lender; returns whether it concerns this gateway."""
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
            loans_by_scope = self.lent if entry.writer == self.name else self.borrowed
            key = _LoanKey(f"{entry.writer}/{entry.incarnation}/{entry.seq}", loan.borrower)
            loans_by_scope.setdefault(loan.scope, {}).setdefault(key, loan)
            concerns_this = True
        return concerns_this

    def _loans_in(self, entry: Entry, body: _LoanEntry) -> Iterator[Loan]:
        """Yields the loans of an entry in which this gateway is lender or borrower."""
        usable_from = self.now + self.settle_ms * MS
        for borrower, nodes in body.nodes_by_borrower().items():
            if self.name in (entry.writer, borrower):
                for node in nodes:
                    scope = LoanScope(body.zone, node)
                    yield Loan(scope, entry.writer, borrower, body.fraction, body.until_ms, usable_from)

    def may_have_lost_loans(self, now: int) -> bool:
        """Whether loans by an earlier incarnation, which the disk may have lost, may still be in use."""
        if self.started_at is None:
            return True
        longest_ms = self.max_loan_ms + 4 * self.clock_bound_ms + self.settle_ms
        return now - self.started_at <= longest_ms * MS

    def _returned_at_ms(self, loan: Loan) -> int:
        """Returns the end, by this gateway's wall clock, of the time in which the lender must not use it."""
        return loan.until_ms + self.clock_bound_ms + self.settle_ms

    def lent_fraction(self, zone: int, node: int) -> float:
        """Returns the fraction of a node's rate that is lent and may still be in use by the borrower."""
        return sum(
            loan.fraction
            for loan in loans_of(self.lent, zone, node)
            if self.wall_ms is None or self.wall_ms <= self._returned_at_ms(loan)
        )

    def borrowed_fraction(self, zone: int, node: int) -> float:
        """Returns the fraction of a node's rate that is borrowed and certainly not yet used by the lender."""
        if self.wall_ms is None:
            return 0.0
        latest = self.wall_ms + self.max_loan_ms + 2 * self.clock_bound_ms  # valid loans end before
        return sum(
            loan.fraction
            for loan in loans_of(self.borrowed, zone, node)
            if self.wall_ms < loan.until_ms - self.clock_bound_ms
            and loan.until_ms <= latest
            and loan.usable_from <= self.now
        )

    def usable(self, zone: int, node: int, now: int) -> float:
        """Returns the fraction of a cold node's rate that this gateway may use now."""
        own = 1 / self.gateway_count
        left = own - self.lent_fraction(zone, node)
        if self.may_have_lost_loans(now):
            left = min(left, own * (1 - LENDABLE_FRACTION))
        return max(0.0, left) + self.borrowed_fraction(zone, node)

    def lend(self, zone: int, wanted: Mapping[str, Sequence[int]], now: int) -> dict[str, object] | None:
        """Returns the body of an entry that lends the lendable quotas of the wanted nodes, or None.

        `wanted`: nodes by borrower, all of them in `zone`.
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
        """Returns by borrower the nodes without a loan in use; each node to the first that wants it."""
        borrowers: dict[str, list[int]] = {}
        lent: set[int] = set()
        for borrower, nodes in wanted.items():
            for node in nodes:
                if borrower == self.name or node in lent or len(lent) >= MAX_LOAN_NODES:
                    continue
                # Another gateway may still use an earlier loan of this node.
                if not self.lent_fraction(zone, node):
                    lent.add(node)
                    borrowers.setdefault(borrower, []).append(node)
        return borrowers


def loans_of(loans_by_scope: Loans, zone: int, node: int) -> list[Loan]:
    """Returns the loans that cover a node."""
    of_node = loans_by_scope.get(LoanScope(ALL_NODES, node), {})
    of_zone = loans_by_scope.get(LoanScope(zone, ALL_NODES), {})
    return [*of_node.values(), *of_zone.values()]
