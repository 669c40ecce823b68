"""Parts of what a cold node bears: their sum stays within it whatever is lost, restarted, cut off or has a wrong
clock; checked on every interleaving of a small world and on long random runs of a larger one, which also find
the mistakes that are made on purpose."""

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


def entry(body, writer="a", life=1, seq=1):
    return Entry("fleet", writer, life, seq, Timestamp(1, 0), (), msgspec.json.encode(body))


def loan(to="b", units=0.25, until=10_000, node=NODE):
    return {"what": "lend", "to": {to: [node]}, "units": units, "until": until}


def whole(to="b", units=0.25, until=10_000, zone=ZONE):
    """A loan as gateways of before wrote it: of each of a zone's nodes."""
    return {"what": "lend", "zone": zone, "to": to, "units": units, "until": until}


def lend(quota, to, now):
    return quota.lend(ZONE, {to: [NODE]}, now)


def started(name="a", size=2, longest=4000, bound=500, now=0, wall=0, make=GatewayQuota):
    quota = make(name, size, longest, bound, 1000)
    quota.set_time(now, wall)
    return quota


def test_a_part_is_one_in_the_known_size_and_what_is_never_lent_of_it_in_the_first_while_of_a_life():
    quota = started(size=4)
    assert quota.usable(ZONE, NODE, 0) == 0.25 * (1 - LENDABLE_FRACTION)
    assert lend(quota, "b", 0) is None
    assert quota.usable(ZONE, NODE, 7001 * MS) == 0.25


KEPT = (1 - LENDABLE_FRACTION) / 2  # of the two gateways' parts, by a lender


def test_a_loan_has_one_user_at_any_instant():
    lender, borrower = started(now=0, wall=0), started("b")
    later = 20_000
    for each in (lender, borrower):
        each.set_time(later * MS, later)
    body = lend(lender, "b", later * MS)
    assert body == loan(units=LENDABLE_FRACTION / 2, until=later + 4000)
    told = entry(body)
    assert lender.apply(told) and borrower.apply(told)
    assert borrower.usable(ZONE, NODE + 1, later * MS) == 0.5  # another node is not lent
    # What the lender began, then what the borrower began, is over before the part is used again.
    for wall, mine, theirs in (
        (0, KEPT, 0.5), (999, KEPT, 0.5), (1000, KEPT, 1 - KEPT), (3499, KEPT, 1 - KEPT), (3500, KEPT, 0.5),
        (5500, KEPT, 0.5), (5501, 0.5, 0.5),
    ):  # fmt: skip
        for each in (lender, borrower):
            each.set_time((later + wall) * MS, later + wall)
        now = (later + wall) * MS
        assert (lender.usable(ZONE, NODE, now), borrower.usable(ZONE, NODE, now)) == (mine, theirs)


def test_a_loan_counts_once_however_often_it_is_told_and_is_known_again_from_the_log():
    quota = started(now=0, wall=8000)
    for _ in range(3):
        quota.apply(entry(loan()))
    assert quota.usable(ZONE, NODE, 20_000 * MS) == 0.25


def test_no_more_than_may_be_is_ever_lent_and_no_part_to_two():
    quota, now = started(wall=0), 20_000 * MS
    quota.set_time(now, 20_000)
    body = quota.lend(ZONE, {"b": [NODE], "c": [NODE, NODE + 1], "a": [NODE + 2]}, now)
    assert body["to"] == {"b": [NODE], "c": [NODE + 1]}
    quota.apply(entry(body))
    assert lend(quota, "c", now) is None
    assert quota.usable(ZONE, NODE, now) == KEPT


def test_a_loan_of_a_whole_zone_as_gateways_of_before_lend_counts_at_each_of_its_nodes():
    lender, borrower = started(wall=8000), started("b", wall=8000)
    told = entry(whole())
    assert lender.apply(told) and borrower.apply(told)
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
        whole(zone=-1),
        whole(to=7),
        loan(until=1 << 60),
        {**loan(), "zone": 1},
        {**whole(), "to": {"b": "c"}},
    ],
)
def test_an_entry_that_is_no_loan_is_counted_and_nothing_else(body):
    quota = started()
    assert not quota.apply(entry(body))
    assert quota.ignored_entries == 1 and not quota.lent


def test_a_loan_that_ends_later_than_any_honest_one_is_not_used():
    borrower = started("b", wall=20_000)
    borrower.apply(entry(loan(until=26_000)))
    assert borrower.usable(ZONE, NODE, 60_000 * MS) == 0.5


# --- mistakes made on purpose ---


class Outlives(GatewayQuota):
    """Uses a loan until its end, as if its own clock were right, and nothing were under way then."""

    def borrowed_fraction(self, zone, node):
        return sum(
            each.fraction for each in loans_of(self.borrowed, zone, node) if self.wall_ms < each.until_ms
        )


class TooEarly(GatewayQuota):
    """Takes back what it lent when the loan ends by its own clock."""

    def lent_fraction(self, zone, node):
        return sum(each.fraction for each in loans_of(self.lent, zone, node) if self.wall_ms < each.until_ms)


class Forgets(GatewayQuota):
    """Uses all of its own at once in a new life."""

    def may_have_lost_loans(self, now):
        return False


class Deals(GatewayQuota):
    """Lends as if nothing were out."""

    def lend(self, zone, wanted, now):
        out, self.lent_fraction = self.lent_fraction, lambda zone, node: 0.0
        try:
            return super().lend(zone, wanted, now)
        finally:
            self.lent_fraction = out


class UsesOn(GatewayQuota):
    """Goes on using what it lent: two users of one part."""

    def lent_fraction(self, zone, node):
        return 0.0


class Greedy(GatewayQuota):
    """Takes a part of those that it knows of rather than of the fleet's known size."""

    def __init__(self, name, size, *others):
        super().__init__(name, size - 1, *others)


# --- all interleavings: a lender, a borrower and a third, time in steps of a clock's bound ---

BOUND, LONGEST = 2, 5
FIRST = LONGEST + 4 * BOUND + 1  # when the first while of the first life is over
LAST = FIRST + 2 * LONGEST


@functools.cache
def part(make, name, now, skew, began, known):
    """What one of the three may use, and what it would lend, from an object that knows just this."""
    quota = make(name, 3, LONGEST, BOUND, 0)
    quota.set_time(began * MS, 0)
    for number, until, to in known:
        quota.apply(entry(loan(to, LENDABLE_FRACTION / 3, until), "a", 1, number + 1))
    quota.set_time(now * MS, 100 + now + skew)
    return quota.usable(ZONE, NODE, now * MS), lend(quota, "b", now * MS)


def of_lender(make, state):
    now, skews, lost, loans, _ = state
    known = tuple((number, until, to) for number, (until, known, to) in enumerate(loans) if known)
    return part(make, "a", now, skews[0], max(0, lost), known)


def usable(make, state):
    now, skews, _, loans, heard = state
    known = tuple((number, until, to) for number, (until, _, to) in enumerate(loans) if heard >> number & 1)
    borrower, third = part(make, "b", now, skews[1], 0, known), part(make, "c", now, 0, 0, known)
    return of_lender(make, state)[0] + borrower[0] + third[0]


def moves(make, state):
    now, skews, lost, loans, heard = state
    if now < LAST:
        yield "time", (now + 1, skews, lost, loans, heard)
    for i in (0, 1):
        for skew in (-BOUND, BOUND):
            if skews[i] != skew:
                after = (skew, skews[1]) if i == 0 else (skews[0], skew)
                yield f"clock {i}", (now, after, lost, loans, heard)
    if lost < 0 and loans:  # its disk is lost, and it hears nothing of what it lent
        yield "lost", (now, skews, now, tuple((until, False, to) for until, _, to in loans), heard)
    if len(loans) < 2 and (body := of_lender(make, state)[1]):
        for to in ("b", "c"):  # the second loan may go to another than the first
            yield f"lend {to}", (now, skews, lost, (*loans, (body["until"], True, to)), heard)
    for number in range(len(loans)):
        if not heard >> number & 1:
            yield "hear", (now, skews, lost, loans, heard | 1 << number)


def explored(make):
    model = Protocol(
        name="quotas", candidate=False, fields=("state",), initial=((FIRST, (0, 0), -1, (), 0),),
        transitions=lambda state: [(name, (after,)) for name, after in moves(make, state[0])],
        invariants={"within": lambda fields: usable(make, fields["state"]) <= 1 + 1e-9},
    )  # fmt: skip
    return check_safety(model, max_states=200_000)["properties"]["within"]["holds"]


def test_in_every_interleaving_the_sum_stays_within_what_a_node_bears():
    assert explored(GatewayQuota) is True


@pytest.mark.parametrize("mistake", [Outlives, TooEarly, Forgets, Deals])
def test_the_interleavings_find_a_mistake(mistake):
    assert explored(mistake) is False


# --- long runs of a larger world ---

NAMES = [f"g{i}" for i in range(6)]


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


def test_whatever_happens_the_sum_stays_within_what_a_node_bears():
    run_state_machine_as_test(machine(GatewayQuota), settings=RUNS)


def walk(make, seeds):
    """The same world by plain chance, most of it lending, which mistakes need."""
    for seed in range(seeds):
        chance, world = random.Random(seed), machine(make)()
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


@pytest.mark.parametrize("mistake", [Forgets, Greedy, UsesOn])
def test_long_runs_find_a_mistake(mistake):
    with pytest.raises(AssertionError, match="in use"):
        walk(mistake, 200)


def test_long_runs_find_none_in_what_is_shipped():
    walk(GatewayQuota, 50)
