"""Ended incarnations are retired alike on all gateways, their numbers are never assigned again, and entries that are
dropped are noted. Operators declare names departed that do not return; a name that returns is accepted again.
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
    """A world whose gateways restart often. Checks in addition that retired entries were delivered or noted, and that
    all gateways retire the same."""

    def __init__(self, size, **made):
        super().__init__(size, **made)
        self.notes = set()

    def check(self):
        super().check()
        for gateway in self.gateways.values():
            if gateway.up:
                gateway.log_kept.maintain(1 << 20)
                self.notes.update(gateway.log.notes)
                new_reader = Reader()  # a new reader gets the same, from a snapshot or from entries
                new_reader.read(gateway.log)
                if new_reader.given != self.order[: len(new_reader.given)]:
                    raise Broken(
                        f"{gateway.name} gives a new reader {new_reader.given}, where another was given {self.order}"
                    )
                for stream in gateway.log.chains:
                    if gateway.log.has_ended(stream):
                        raise Broken(f"{gateway.name} stores {stream}, which it has retired")

    def restart(self, name, disk=None, rounds=4):
        """`disk`: records that replace its journal."""
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
        for _ in range(3):  # a retirement, and the snapshot that includes it
            for _ in range(4):
                self.round()
                self.check()
            self.compact_all()
        ended_by_gateway = {
            g.name: (g.frontier.membership.value().get("over"), sorted(g.log.vector().items()))
            for g in self.gateways.values()
        }
        first = next(iter(ended_by_gateway.values()))
        if any(ended != first for ended in ended_by_gateway.values()):
            raise Broken(f"gateways differ in ended incarnations: {ended_by_gateway}")


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


class RetiresAlone(Frontier):
    """Retires incarnations without the agreement of the others."""

    def _retire(self, reachable):
        for heartbeat in self.heartbeats.values():
            self.statuses[heartbeat.name].retirable = list(self._retirable)
        return super()._retire(reachable)


class AcceptsEndedIncarnations(Log):
    """Retires incarnations, but accepts their entries again."""

    def has_ended(self, stream):
        return False


def started_world(size=3, **made):
    world = Restarting(size, **made)
    for _ in range(4):
        world.round()
    return world


def restarted_often(world, name="b", times=5):
    """Restarts a gateway several times with an entry in each incarnation, and runs until those are retired."""
    for _ in range(times):
        world.gateways[name].append()
        world.restart(name)
    for _ in range(3):
        world.compact_all()
        for _ in range(4):
            world.round()
            world.check()
    return world


def incarnations_of(gateway, name):
    return sorted(life for writer, life in gateway.log.chains if writer == name)


def test_ended_incarnations_are_retired_by_all_and_after_a_restart_too():
    world = restarted_often(started_world())
    before = world.gateways["b"].log.incarnation
    for gateway in world.gateways.values():
        assert len(incarnations_of(gateway, "b")) <= 2, (
            gateway.name
        )  # the last one with entries, and the running one
        assert len(gateway.frontier.membership.value()["ends"]) <= 2
        assert not gateway.log.notes
    world.restart("c")
    world.restart(
        "a", disk=[]
    )  # a gateway with an empty disk gets the snapshots with the hole of the retained incarnation
    for gateway in world.gateways.values():
        assert len(incarnations_of(gateway, "b")) <= 2
        assert [e.body for e in gateway.reader.given] == [e.body for e in world.order] and len(
            world.order
        ) == 5
    assert world.gateways["b"].log.incarnation == before
    world.settle()


def test_entries_of_a_retired_incarnation_are_noted_and_never_accepted():
    world = started_world()
    b = world.gateways["b"]
    world.cut |= {("b", "a"), ("b", "c")}
    b.append()  # no other gateway receives it
    unseen = b.log.events("x")[-1]
    disk = list(b.journal.stored)
    b.journal.stored = []
    world.cut.clear()
    del world.answered[unseen.stream, unseen.seq]
    world.restart("b")
    restarted_often(world)
    for gateway in world.gateways.values():
        assert gateway.log.has_ended(unseen.stream)
        gateway.log_kept.merge([unseen], gateway.wall())
        assert unseen not in gateway.log.events("x") and unseen.stream not in gateway.log.chains
    world.restart("b", disk=disk, rounds=8)
    assert world.named(unseen) and unseen.stream not in b.log.chains
    assert b.frontier.membership.active["b"] == b.log.incarnation
    assert not any(unseen in g.log.events("x") for g in world.gateways.values())
    world.settle()


def test_an_append_of_an_ended_incarnation_is_rejected():
    world = restarted_often(started_world())
    b = world.gateways["b"]
    b.log.incarnation = b.log.ended_incarnations["b"][
        0
    ]  # as after a clock set back, until the next heartbeat
    with pytest.raises(AppendRejectedError, match="is over"):
        b.log_kept.append("x", 1, b.wall())


def test_the_membership_view_is_the_same_from_events_and_from_a_snapshot():
    """Guards against gateways that wait for each other forever because only one of them has compacted."""
    world = started_world()
    restarted_often(world, times=3)
    events = []
    for gateway in world.gateways.values():
        gateway.log_kept.compact = lambda *_: None  # later events are not compacted
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


def compacted_unequally(frontier):
    """One gateway has compacted all of `b`'s entries in channel `x`, the others still store them."""
    world = started_world(frontier=frontier)
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


def test_an_incarnation_is_retired_only_when_no_active_member_stores_its_entries():
    world = compacted_unequally(Frontier)
    assert len(world.order) == 5 and all(len(incarnations_of(g, "b")) == 5 for g in world.gateways.values())
    restarted_often(world, times=0)
    assert all(len(incarnations_of(g, "b")) == 1 for g in world.gateways.values())
    world.settle()
    with pytest.raises(Broken, match="gives a new reader"):
        compacted_unequally(RetiresAlone)


def test_a_log_that_accepts_retired_incarnations_is_detected(monkeypatch):
    monkeypatch.setattr("ochrecourse.fleet.log_store.Log", AcceptsEndedIncarnations)
    case = type("Mistaken", (Lives,), {}).TestCase
    case.settings = settings(TestLives.settings, phases=(Phase.generate,), report_multiple_bugs=False)
    with pytest.raises(Broken):
        case("runTest").runTest()


# names declared departed


def all_restarted_but(dead="d"):
    world = started_world(4)
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


def frontier_ms(world, name="a"):
    return world.gateways[name].log.frontier().ms


def test_a_restarted_fleet_waits_for_a_missing_name_until_it_is_declared_departed():
    world = all_restarted_but()
    a = world.gateways["a"]
    world.now += 601 * 1_000_000_000
    for _ in range(8):
        world.round()
    frontier_before = frontier_ms(world)
    assert (
        a.frontier.membership.active.get("a") != a.log.incarnation
    )  # there is no active member, so none is closed
    b = world.gateways["b"]
    b.log_kept.append(
        FLEET_CHANNEL, b.frontier.declare_departed("d", b.members.reachable(world.now)), b.wall()
    )
    for _ in range(12):
        world.round()
        world.check()
    assert frontier_ms(world) > frontier_before and "d" not in a.frontier.membership.active
    world.settle()  # d returns with a new incarnation and becomes active
    assert a.frontier.membership.active["d"] == world.gateways["d"].log.incarnation


def test_a_name_that_returns_before_the_first_event_is_waited_for_again():
    world = all_restarted_but()
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


def test_the_first_event_of_a_departed_incarnation_has_no_effect():
    """Guards against a change of the order that was read already: the least name writes the first event, is
    partitioned before others receive it, is declared departed, and returns."""
    world = started_world(3)
    for gateway in world.gateways.values():
        gateway.start()
    for _ in range(2):
        world.round(0)
    a, b, _ = world.gateways.values()
    world.cut |= {("a", "b"), ("a", "c"), ("b", "a"), ("c", "a")}
    for _ in range(4):
        world.round()
    assert (
        a.frontier.membership.active.get("a") == a.log.incarnation
    )  # it wrote the first event, which the others have not received
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
def test_a_name_is_not_declared_departed_without_cause(name, why):
    world = all_restarted_but()
    a = world.gateways["a"]
    if why == "already":
        a.log_kept.append(
            FLEET_CHANNEL, a.frontier.declare_departed("d", a.members.reachable(world.now)), a.wall()
        )
    with pytest.raises(AppendRejectedError, match=why):
        a.frontier.declare_departed(name, a.members.reachable(world.now))


def test_compacted_entries_are_removed_again_after_a_restart():
    """Guards against a gateway that restarts often and so never agrees to retire its old incarnations."""
    world = started_world()
    b = world.gateways["b"]
    for _ in range(3):
        b.append()
        world.restart("b")
    world.compact_all()
    assert b.log.events("x") == []
    world.restart("b", rounds=0)  # its journal still contains them
    b.frontier.settle()
    assert b.log.events("x") == [] and len(world.order) == 3
    world.settle()


# all disks lost but one


class StartsByMajority(Frontier):
    """Starts the fleet again with the reachable names, if they are a majority."""

    def _is_departed(self, name):
        names = self.membership.active or self.founders
        return name not in self.reachable_names and 2 * len(self.reachable_names) > len(names)

    def _first_event(self, reachable):
        self.reachable_names = set(reachable)
        return super()._first_event(reachable)


def all_but_one_disk(frontier=Frontier):
    """All gateways stop; two of three lose their disks and return long before the third."""
    world = started_world(frontier=frontier)
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


def test_entries_on_the_only_disk_of_an_active_gateway_are_retained():
    world = all_but_one_disk()
    assert len(world.order) >= 9
    with pytest.raises(Broken):
        all_but_one_disk(StartsByMajority)
