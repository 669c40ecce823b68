"""Quotas of a cold node's rate: their sum never exceeds it, whatever entries or disks are lost, whichever gateways
restart, and however wrong clocks are within the bound. Checked on all interleavings of a small model and on random runs
of a larger one; both must also find seeded mistakes."""

import functools
import random

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)
from minicheck import Protocol, check_safety

from ochrecourse.fleet.quota import LENDABLE_FRACTION, GatewayQuota, loans_of
from ochrecourse.fleet.entries import Entry, Timestamp
from ochrecourse.common.time_units import MS

ZONE, NODE = 1, 7


def entry(body, writer="a", incarnation=1, seq=1):
    return Entry("fleet", writer, incarnation, seq, Timestamp(1, 0), (), msgspec.json.encode(body))


def loan(to="b", units=0.25, until=10_000, node=NODE):
    return {"what": "lend", "to": {to: [node]}, "units": units, "until": until}


def zone_loan(to="b", units=0.25, until=10_000, zone=ZONE):
    """A loan of all nodes of a zone, as gateways of an earlier version write it."""
    return {"what": "lend", "zone": zone, "to": to, "units": units, "until": until}


def lend(quota, to, now):
    return quota.lend(ZONE, {to: [NODE]}, now)


def started(name="a", size=2, max_loan_ms=4000, bound=500, now=0, wall=0, quota_class=GatewayQuota):
    quota = quota_class(name, size, max_loan_ms, bound, 1000)
    quota.set_time(now, wall)
    return quota


def test_a_quota_is_one_nth_and_only_its_unlendable_fraction_at_the_start_of_an_incarnation():
    quota = started(size=4)
    assert quota.usable(ZONE, NODE, 0) == 0.25 * (1 - LENDABLE_FRACTION)
    assert lend(quota, "b", 0) is None
    assert quota.usable(ZONE, NODE, 7001 * MS) == 0.25


KEPT = (1 - LENDABLE_FRACTION) / 2  # of a node's rate, by a lender in a fleet of two


def test_a_loan_has_one_user_at_any_instant():
    lender, borrower = started(now=0, wall=0), started("b")
    later = 20_000
    for each in (lender, borrower):
        each.set_time(later * MS, later)
    body = lend(lender, "b", later * MS)
    assert body == loan(units=LENDABLE_FRACTION / 2, until=later + 4000)
    lent = entry(body)
    assert lender.apply(lent) and borrower.apply(lent)
    assert borrower.usable(ZONE, NODE + 1, later * MS) == 0.5  # another node is not lent
    # The lender's requests, and later the borrower's, have finished before the other uses the quota.
    for wall, lenders, borrowers in (
        (0, KEPT, 0.5), (999, KEPT, 0.5), (1000, KEPT, 1 - KEPT), (3499, KEPT, 1 - KEPT), (3500, KEPT, 0.5),
        (5500, KEPT, 0.5), (5501, 0.5, 0.5),
    ):  # fmt: skip
        for each in (lender, borrower):
            each.set_time((later + wall) * MS, later + wall)
        now = (later + wall) * MS
        assert (lender.usable(ZONE, NODE, now), borrower.usable(ZONE, NODE, now)) == (lenders, borrowers)


def test_a_loan_counts_once_however_often_its_entry_is_received():
    quota = started(now=0, wall=8000)
    for _ in range(3):
        quota.apply(entry(loan()))
    assert quota.usable(ZONE, NODE, 20_000 * MS) == 0.25


def test_only_the_lendable_fraction_is_lent_and_to_one_borrower():
    quota, now = started(wall=0), 20_000 * MS
    quota.set_time(now, 20_000)
    body = quota.lend(ZONE, {"b": [NODE], "c": [NODE, NODE + 1], "a": [NODE + 2]}, now)
    assert body["to"] == {"b": [NODE], "c": [NODE + 1]}
    quota.apply(entry(body))
    assert lend(quota, "c", now) is None
    assert quota.usable(ZONE, NODE, now) == KEPT


def test_a_loan_of_a_whole_zone_by_an_earlier_version_counts_at_each_of_its_nodes():
    lender, borrower = started(wall=8000), started("b", wall=8000)
    lent = entry(zone_loan())
    assert lender.apply(lent) and borrower.apply(lent)
    for each in (lender, borrower):
        each.set_time(8000 * MS, 8000)
    for node in (NODE, NODE + 1):
        assert (lender.usable(ZONE, node, 8000 * MS), borrower.usable(ZONE, node, 8000 * MS)) == (0.25, 0.75)
    assert borrower.usable(ZONE + 1, NODE, 8000 * MS) == 0.5
    assert lend(lender, "c", 20_000 * MS) is None


@pytest.mark.parametrize(
    "body",
    [
        [],
        {},
        {"what": "lend"},
        loan(units=2),
        loan(units=-1),
        loan(until=-1),
        zone_loan(zone=-1),
        zone_loan(to=7),
        loan(until=1 << 60),
        {**loan(), "zone": 1},
        {**zone_loan(), "to": {"b": "c"}},
    ],
)
def test_a_malformed_loan_is_only_counted(body):
    quota = started()
    assert not quota.apply(entry(body))
    assert quota.ignored_entries == 1 and not quota.lent


def test_a_loan_that_ends_later_than_any_valid_one_is_not_used():
    borrower = started("b", wall=20_000)
    borrower.apply(entry(loan(until=26_000)))
    assert borrower.usable(ZONE, NODE, 60_000 * MS) == 0.5


# --- seeded mistakes ---


class BorrowsTooLong(GatewayQuota):
    """Uses a loan until its end by its own clock, without a margin for clock errors and requests in flight."""

    def borrowed_fraction(self, zone, node):
        return sum(
            each.fraction for each in loans_of(self.borrowed, zone, node) if self.wall_ms < each.until_ms
        )


class ReclaimsTooEarly(GatewayQuota):
    """Uses a lent quota again as soon as the loan ends by its own clock."""

    def lent_fraction(self, zone, node):
        return sum(each.fraction for each in loans_of(self.lent, zone, node) if self.wall_ms < each.until_ms)


class IgnoresLostLoans(GatewayQuota):
    """Uses its whole quota at once in a new incarnation, though its disk may have lost loans."""

    def may_have_lost_loans(self, now):
        return False


class LendsTwice(GatewayQuota):
    """Lends a quota although it is already lent."""

    def lend(self, zone, wanted, now):
        original, self.lent_fraction = self.lent_fraction, lambda zone, node: 0.0
        try:
            return super().lend(zone, wanted, now)
        finally:
            self.lent_fraction = original


class UsesLentQuota(GatewayQuota):
    """Continues to use a quota that it lent, so that the quota has two users."""

    def lent_fraction(self, zone, node):
        return 0.0


class QuotaOfSmallerFleet(GatewayQuota):
    """Computes its quota from the number of other gateways, one less than the fleet's size."""

    def __init__(self, name, size, *others):
        super().__init__(name, size - 1, *others)


# --- all interleavings of a lender, a borrower and a third gateway; time advances in steps of 1 ms ---

CLOCK_BOUND, MAX_LOAN = 2, 5
FIRST = MAX_LOAN + 4 * CLOCK_BOUND + 1  # ms at which the first incarnation may lend
LAST = FIRST + 2 * MAX_LOAN


@functools.cache
def usable_and_loan(quota_class, name, now, skew, started_at, known):
    """The fraction that a gateway may use and the loan that it would make. `known`: loans that it has received."""
    quota = quota_class(name, 3, MAX_LOAN, CLOCK_BOUND, 0)
    quota.set_time(started_at * MS, 0)
    for number, until, to in known:
        quota.apply(entry(loan(to, LENDABLE_FRACTION / 3, until), "a", 1, number + 1))
    quota.set_time(now * MS, 100 + now + skew)
    return quota.usable(ZONE, NODE, now * MS), lend(quota, "b", now * MS)


def of_lender(quota_class, state):
    now, skews, lost, loans, _ = state
    known = tuple((number, until, to) for number, (until, known, to) in enumerate(loans) if known)
    return usable_and_loan(quota_class, "a", now, skews[0], max(0, lost), known)


def usable(quota_class, state):
    now, skews, _, loans, received = state
    known = tuple(
        (number, until, to) for number, (until, _, to) in enumerate(loans) if received >> number & 1
    )
    borrower, third = (
        usable_and_loan(quota_class, "b", now, skews[1], 0, known),
        usable_and_loan(quota_class, "c", now, 0, 0, known),
    )
    return of_lender(quota_class, state)[0] + borrower[0] + third[0]


def transitions(quota_class, state):
    now, skews, lost, loans, received = state
    if now < LAST:
        yield "time", (now + 1, skews, lost, loans, received)
    for i in (0, 1):
        for skew in (-CLOCK_BOUND, CLOCK_BOUND):
            if skews[i] != skew:
                after = (skew, skews[1]) if i == 0 else (skews[0], skew)
                yield f"clock {i}", (now, after, lost, loans, received)
    if lost < 0 and loans:  # the lender loses its disk and does not receive its earlier loans again
        yield "lost", (now, skews, now, tuple((until, False, to) for until, _, to in loans), received)
    if len(loans) < 2 and (body := of_lender(quota_class, state)[1]):
        for to in ("b", "c"):  # the second loan may have another borrower
            yield f"lend {to}", (now, skews, lost, (*loans, (body["until"], True, to)), received)
    for number in range(len(loans)):
        if not received >> number & 1:
            yield "receive", (now, skews, lost, loans, received | 1 << number)


def is_safe(quota_class):
    model = Protocol(
        name="quotas", candidate=False, fields=("state",), initial=((FIRST, (0, 0), -1, (), 0),),
        transitions=lambda state: [(name, (after,)) for name, after in transitions(quota_class, state[0])],
        invariants={"within": lambda fields: usable(quota_class, fields["state"]) <= 1 + 1e-9},
    )  # fmt: skip
    return check_safety(model, max_states=200_000)["properties"]["within"]["holds"]


def test_in_every_interleaving_the_sum_of_quotas_stays_within_the_rate_of_a_node():
    assert is_safe(GatewayQuota) is True


@pytest.mark.parametrize("mistake", [BorrowsTooLong, ReclaimsTooEarly, IgnoresLostLoans, LendsTwice])
def test_the_interleavings_find_a_mistake(mistake):
    assert is_safe(mistake) is False


# --- random runs of a larger model ---

NAMES = [f"g{i}" for i in range(6)]


# Hypothesis derives the seed of this machine from the source of its class: renaming anything in it changes the run.
def machine(make):
    class Parts(RuleBasedStateMachine):
        def __init__(self):
            super().__init__()
            self.now, self.log, self.seq = 0, [], 0
            self.skew = dict.fromkeys(NAMES, 0)
            self.held = {name: set() for name in NAMES}
            self.up = {}
            for name in NAMES:
                self.start(name)

        def start(self, name):
            self.up[name] = make(name, len(NAMES), 4000, 500, 0)
            self.tick(name)
            for at in self.held[name]:
                self.up[name].apply(self.log[at])

        def tick(self, name):
            self.up[name].set_time(self.now * MS, 100_000 + self.now + self.skew[name])

        @rule(past=st.sampled_from([100, 499, 1000, 3501, 9000]))
        def wait(self, past):
            self.now += past
            for name in self.up:
                self.tick(name)

        @rule(name=st.sampled_from(NAMES), skew=st.sampled_from([-500, 0, 500]))
        def step_clock(self, name, skew):
            self.skew[name] = skew
            if name in self.up:
                self.tick(name)

        @rule(name=st.sampled_from(NAMES), to=st.sampled_from(NAMES), also=st.sampled_from(NAMES))
        def lend(self, name, to, also):
            wanted = {to: [NODE], also: [NODE]}  # two who need more there
            if name in self.up and (body := self.up[name].lend(ZONE, wanted, self.now * MS)):
                self.seq += 1
                self.log.append(entry(body, name, 1, self.seq))
                self.hear(name, len(self.log) - 1)

        def hear(self, name, at):
            if at not in self.held[name] and name in self.up:
                self.held[name].add(at)
                self.up[name].apply(self.log[at])

        @precondition(lambda self: self.log)
        @rule(name=st.sampled_from(NAMES), at=st.integers(0, 200))
        def told(self, name, at):
            self.hear(name, at % len(self.log))

        @rule(name=st.sampled_from(NAMES), lost=st.booleans(), again=st.booleans())
        def kill(self, name, lost, again):
            self.up.pop(name, None)
            if lost:
                self.held[name] = set()
            if again:
                self.start(name)

        @invariant()
        def within(self):
            whole = sum(each.usable(ZONE, NODE, self.now * MS) for each in self.up.values())
            assert whole <= 1 + 1e-9, f"{whole} is in use"

    return Parts


RUNS = settings(max_examples=60, stateful_step_count=40, deadline=None, derandomize=True, database=None)


def test_in_random_runs_the_sum_of_quotas_stays_within_the_rate_of_a_node():
    run_state_machine_as_test(machine(GatewayQuota), settings=RUNS)


def walk(quota_class, seeds):
    """Runs the same model by a plain random generator, with many loans, which are needed to find mistakes."""
    for seed in range(seeds):
        chance, world = random.Random(seed), machine(quota_class)()
        name = functools.partial(chance.choice, NAMES)
        for _ in range(60):
            match chance.randrange(10):
                case 0 | 1:
                    world.wait(chance.choice([100, 499, 1000, 3501, 9000]))
                case 2:
                    world.step_clock(name(), chance.choice([-500, 0, 500]))
                case 3 | 4 | 5:
                    world.lend(name(), name(), name())
                case 6 | 7 | 8 if world.log:
                    world.told(name(), chance.randrange(200))
                case 9:
                    world.kill(name(), chance.random() < 0.5, chance.random() < 0.8)
            world.within()


@pytest.mark.parametrize("mistake", [IgnoresLostLoans, QuotaOfSmallerFleet, UsesLentQuota])
def test_random_walks_find_a_mistake(mistake):
    with pytest.raises(AssertionError, match="in use"):
        walk(mistake, 200)


def test_random_walks_find_no_violation_by_the_gateway_quota():
    walk(GatewayQuota, 50)
