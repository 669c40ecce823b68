"""Lives that are over are forgotten everywhere alike, none of their numbers is ever given out again, and nothing of
them is lost without a word; a name that does not come back is given up by a person, and taken back when it does.
"""

from __future__ import annotations

import pytest
from fleet_worlds import Broken, Reader, World
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from ochrecourse.fleet.frontier import FLEET_CHANNEL, STATUS_KEY, Frontier
from ochrecourse.fleet.log import START, Log, AppendRejectedError
from ochrecourse.fleet.membership_view import MembershipView, membership_view


class Restarting(World):
    """A world whose gateways restart much; beside what every world is held to: whatever is forgotten was told or is
    named, and all forget the same."""

    def __init__(self, size, **made):
        super().__init__(size, **made)
        self.notes = set()

    def check(self):
        super().check()
        for gateway in self.gateways.values():
            if gateway.up:
                gateway.log_kept.maintain(1 << 20)
                self.notes.update(gateway.log.notes)
                fresh = Reader()  # one who begins now gets the same, from a snapshot or by entries
                fresh.read(gateway.log)
                if fresh.given != self.order[: len(fresh.given)]:
                    raise Broken(
                        f"{gateway.name} gives a new reader {fresh.given}, where another was given {self.order}"
                    )
                for stream in gateway.log.chains:
                    if gateway.log.has_ended(stream):
                        raise Broken(f"{gateway.name} holds {stream}, which it forgot")

    def restart(self, name, disk=None, rounds=4):
        """`disk`: what its journal is put back to."""
        gateway = self.gateways[name]
        if disk is not None:
            gateway.journal.stored = list(disk)
        gateway.start()
        for _ in range(rounds):
            self.round()
            self.check()

    def compact_all(self):
        upto = min(g.log.frontier() for g in self.gateways.values() if g.up)
        for gateway in self.gateways.values():
            if gateway.up:
                gateway.compact(upto)
        self.check()

    def named(self, entry):
        return any(
            note.startswith(f"{entry.writer}: life {entry.incarnation} is over") for note in self.notes
        )

    def settle(self):
        for key in [k for k, entry in self.answered.items() if self.named(entry)]:
            del self.answered[key]
        super().settle()
        for _ in range(3):  # a retirement, and the snapshot with it
            for _ in range(4):
                self.round()
                self.check()
            self.compact_all()
        overs = {
            g.name: (g.frontier.membership.value().get("over"), sorted(g.log.vector().items()))
            for g in self.gateways.values()
        }
        first = next(iter(overs.values()))
        if any(over != first for over in overs.values()):
            raise Broken(f"not alike in what is over: {overs}")


class Lives(RuleBasedStateMachine):
    @initialize(size=st.integers(3, 4))
    def begin(self, size):
        self.world = Restarting(size)
        self.names = sorted(self.world.gateways)
        self.size = size
        for _ in range(3):
            self.world.round()

    @rule(g=st.integers(0, 3), rounds=st.integers(0, 4))
    def restart(self, g, rounds):
        self.world.gateways[self.names[g % self.size]].up = True
        self.world.restart(self.names[g % self.size], rounds=rounds)

    @rule(g=st.integers(0, 3))
    def restarts_in_a_row(self, g):
        for _ in range(3):
            self.world.restart(self.names[g % self.size])
            self.world.step("append", g, g, 0)
        self.world.compact_all()

    @rule(g=st.integers(0, 3))
    def decisions_compacted(self, g):
        """At one gateway, and none of its other channels."""
        gateway = self.world.gateways[self.names[g % self.size]]
        if gateway.up:
            upto = gateway.log.frontier()
            gateway.log_kept.compact(FLEET_CHANNEL, upto, {STATUS_KEY: gateway.frontier.snapshot_value(upto)})
            self.world.check()

    @rule()
    def rest(self):
        for _ in range(3):
            self.world.round()
        self.world.check()
        self.world.compact_all()

    @rule(
        what=st.sampled_from(
            [
                "append",
                "append",
                "round",
                "cut",
                "heal",
                "copy",
                "kill",
                "start",
                "start",
                "compact",
                "tell",
                "wait",
            ]
        ),
        g=st.integers(0, 3),
        h=st.integers(0, 3),
        number=st.integers(0, 59),
    )
    def step(self, what, g, h, number):
        self.world.step(what, g, h, number)

    def teardown(self):
        if hasattr(self, "world"):
            self.world.settle()


TestLives = Lives.TestCase
TestLives.settings = settings(
    max_examples=15,
    stateful_step_count=20,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


class Unasked(Frontier):
    """Retires lives that it holds nothing of itself, whatever the others say."""

    def _retire(self, reached):
        for row in self.heartbeats.values():
            self.statuses[row.name].retirable = list(self._retirable)
        return super()._retire(reached)


class TakenAgain(Log):
    """Forgets lives, but takes what comes of them."""

    def has_ended(self, stream):
        return False


def begun(size=3, **made):
    world = Restarting(size, **made)
    for _ in range(4):
        world.round()
    return world


def worn(world, name="b", times=5):
    """So many restarts with an entry in each life, then rest until they are retired."""
    for _ in range(times):
        world.gateways[name].append()
        world.restart(name)
    for _ in range(3):
        world.compact_all()
        for _ in range(4):
            world.round()
            world.check()
    return world


def lives_of(gateway, name):
    return sorted(life for writer, life in gateway.log.chains if writer == name)


def test_lives_that_ended_are_forgotten_by_all_and_after_a_restart_too():
    world = worn(begun())
    before = world.gateways["b"].log.incarnation
    for gateway in world.gateways.values():
        assert len(lives_of(gateway, "b")) <= 2, gateway.name  # the last that wrote, and the one that runs
        assert len(gateway.frontier.membership.value()["ends"]) <= 2
        assert not gateway.log.notes
    world.restart("c")
    world.restart("a", disk=[])  # an empty disk gets the snapshots through the one life that stays
    for gateway in world.gateways.values():
        assert len(lives_of(gateway, "b")) <= 2
        assert [e.body for e in gateway.reader.given] == [e.body for e in world.order] and len(
            world.order
        ) == 5
    assert world.gateways["b"].log.incarnation == before
    world.settle()


def test_a_retired_life_that_comes_back_is_named_and_never_taken():
    world = begun()
    b = world.gateways["b"]
    world.cut |= {("b", "a"), ("b", "c")}
    b.append()  # nobody hears of it
    unseen = b.log.events("x")[-1]
    disk = list(b.journal.stored)
    b.journal.stored = []
    world.cut.clear()
    del world.answered[unseen.stream, unseen.seq]
    world.restart("b")
    worn(world)
    for gateway in world.gateways.values():
        assert gateway.log.has_ended(unseen.stream)
        gateway.log_kept.merge([unseen], gateway.wall())
        assert unseen not in gateway.log.events("x") and unseen.stream not in gateway.log.chains
    world.restart("b", disk=disk, rounds=8)
    assert world.named(unseen) and unseen.stream not in b.log.chains
    assert b.frontier.membership.active["b"] == b.log.incarnation
    assert not any(unseen in g.log.events("x") for g in world.gateways.values())
    world.settle()


def test_an_append_of_a_life_that_is_over_is_refused():
    world = worn(begun())
    b = world.gateways["b"]
    b.log.incarnation = b.log.ended_incarnations["b"][
        0
    ]  # as after a clock that was put back, until the next beat
    with pytest.raises(AppendRejectedError, match="is over"):
        b.log_kept.append("x", 1, b.wall())


def test_the_same_view_whether_events_are_held_or_stand_in_a_snapshot():
    """Guards against gateways that wait for each other for ever because one of them has compacted."""
    world = begun()
    worn(world, times=3)
    events = []
    for gateway in world.gateways.values():
        gateway.log_kept.compact = lambda *_: None  # what follows is held as events by all
    for name in ("b", "c", "b", "c"):
        world.restart(name)
    a = world.gateways["a"]
    events = sorted(a.log.events(FLEET_CHANNEL), key=lambda e: e.position)
    whole = membership_view(a.frontier._base, events)
    assert whole.ended_incarnations
    for at in [START, *(e.at for e in events)]:
        base = membership_view(a.frontier._base, [e for e in events if e.at <= at])
        split = membership_view(MembershipView.of(base.value(), at), [e for e in events if e.at > at])
        assert split.digest == whole.digest and split.value() == whole.value()


def compacted_apart(frontier):
    """One gateway has all of `b`'s lives in snapshots, the others hold their entries in channel `x`."""
    world = begun(frontier=frontier)
    for _ in range(5):
        world.gateways["b"].append()
        world.restart("b")
    world.gateways["a"].compact(world.gateways["a"].log.frontier())
    for _ in range(3):
        for gateway in world.gateways.values():
            upto = gateway.log.frontier()
            gateway.log_kept.compact(FLEET_CHANNEL, upto, {STATUS_KEY: gateway.frontier.snapshot_value(upto)})
        for _ in range(4):
            world.round()
            world.check()
    return world


def test_nothing_is_retired_before_all_that_count_hold_nothing_of_it():
    world = compacted_apart(Frontier)
    assert len(world.order) == 5 and all(len(lives_of(g, "b")) == 5 for g in world.gateways.values())
    worn(world, times=0)
    assert all(len(lives_of(g, "b")) == 1 for g in world.gateways.values())
    world.settle()
    with pytest.raises(Broken, match="gives a new reader"):
        compacted_apart(Unasked)


def test_a_log_that_takes_again_what_it_forgot_is_caught(monkeypatch):
    monkeypatch.setattr("ochrecourse.fleet.log_store.Log", TakenAgain)
    case = type("Mistaken", (Lives,), {}).TestCase
    case.settings = settings(TestLives.settings, phases=(Phase.generate,), report_multiple_bugs=False)
    with pytest.raises(Broken):
        case("runTest").runTest()


# names that are given up


def all_begun_anew(dead="d"):
    world = begun(4)
    for gateway in world.gateways.values():
        gateway.append()
    for _ in range(4):
        world.round()
    world.gateways[dead].up = False
    for name, gateway in world.gateways.items():
        if name != dead:
            gateway.start()
    world.now += 3_000_000_000
    for _ in range(8):
        world.round()
    return world


def settled_ms(world, name="a"):
    return world.gateways[name].log.frontier().ms


def test_a_fleet_that_begins_anew_waits_for_a_dead_name_until_it_is_given_up():
    world = all_begun_anew()
    a = world.gateways["a"]
    world.now += 601 * 1_000_000_000
    for _ in range(8):
        world.round()
    held = settled_ms(world)
    assert a.frontier.membership.active.get("a") != a.log.incarnation  # nobody counts, so nobody is let go
    b = world.gateways["b"]
    b.log_kept.append(
        FLEET_CHANNEL, b.frontier.declare_departed("d", b.members.reachable(world.now)), b.wall()
    )
    for _ in range(12):
        world.round()
        world.check()
    assert settled_ms(world) > held and "d" not in a.frontier.membership.active
    world.settle()  # d returns under a new life, and counts
    assert a.frontier.membership.active["d"] == world.gateways["d"].log.incarnation


def test_a_name_that_returns_before_the_beginning_is_waited_for_again():
    world = all_begun_anew()
    a = world.gateways["a"]
    a.log_kept.append(
        FLEET_CHANNEL, a.frontier.declare_departed("d", a.members.reachable(world.now)), a.wall()
    )
    world.gateways["d"].start()
    for one in ("d",):
        world.gateways[one].beat()
        world.gateways[one].tell(a)
    world.cut |= {(x, "d") for x in "abc"} | {("d", x) for x in "abc"}
    a.beat()
    assert a.frontier.membership.active.get("a") != a.log.incarnation
    world.settle()
    assert set(a.frontier.membership.active) == set("abcd")


def test_the_beginning_of_a_life_that_was_given_up_says_nothing():
    """Guards against an order that changes where it was read: the least name begins the fleet, is cut off before
    anybody hears of it, is given up, and comes back."""
    world = begun(3)
    for gateway in world.gateways.values():
        gateway.start()
    for _ in range(2):
        world.round(0)
    a, b, _ = world.gateways.values()
    world.cut |= {("a", "b"), ("a", "c"), ("b", "a"), ("c", "a")}
    for _ in range(4):
        world.round()
    assert a.frontier.membership.active.get("a") == a.log.incarnation  # it began, and nobody knows
    world.now += 601 * 1_000_000_000
    for _ in range(3):
        world.round()
    b.log_kept.append(
        FLEET_CHANNEL, b.frontier.declare_departed("a", b.members.reachable(world.now)), b.wall()
    )
    for _ in range(12):
        b.append()
        world.round()
        world.check()
    assert b.reader.given
    old = a.log.incarnation
    world.settle()
    assert a.log.incarnation > old and a.frontier.membership.active == b.frontier.membership.active


@pytest.mark.parametrize(
    "name, why", [("a", "itself"), ("z", "no gateway"), ("b", "reached"), ("d", "already")]
)
def test_a_name_is_not_given_up_where_that_cant_be_right(name, why):
    world = all_begun_anew()
    a = world.gateways["a"]
    if why == "already":
        a.log_kept.append(
            FLEET_CHANNEL, a.frontier.declare_departed("d", a.members.reachable(world.now)), a.wall()
        )
    with pytest.raises(AppendRejectedError, match=why):
        a.frontier.declare_departed(name, a.members.reachable(world.now))


def test_entries_that_a_snapshot_stands_for_do_not_come_back_with_a_start():
    """Guards against a gateway that restarts often and never says that it holds nothing of its old lives."""
    world = begun()
    b = world.gateways["b"]
    for _ in range(3):
        b.append()
        world.restart("b")
    world.compact_all()
    assert b.log.events("x") == []
    world.restart("b", rounds=0)  # its journal has them still
    b.frontier.settle()
    assert b.log.events("x") == [] and len(world.order) == 3
    world.settle()


# all disks but one


class BeginsByMajority(Frontier):
    """Begins anew with whom it reaches, if they are more than half."""

    def _is_departed(self, name):
        here = self.membership.active or self.founders
        return name not in self.heard and 2 * len(self.heard) > len(here)

    def _first_event(self, reached):
        self.heard = set(reached)
        return super()._first_event(reached)


def all_but_one_disk(frontier=Frontier):
    """All die, two of three without their disks, which come back long before the third."""
    world = begun(frontier=frontier)
    for _ in range(3):
        for gateway in world.gateways.values():
            gateway.append()
        world.round()
    for _ in range(4):
        world.round()
        world.check()
    for gateway in world.gateways.values():
        gateway.up = False
    for name in "ab":
        gateway = world.gateways[name]
        gateway.journal.stored = []
        gateway.start()
    for _ in range(12):
        world.round()
        world.gateways["a"].append()
        world.check()
    world.gateways["c"].start()
    world.settle()
    return world


def test_what_one_disk_holds_of_a_gateway_that_counts_is_kept():
    world = all_but_one_disk()
    assert len(world.order) >= 9
    with pytest.raises(Broken):
        all_but_one_disk(BeginsByMajority)
