"""What is neither up nor down: zones that answer and lose, lists and settings that differ, processes that run late."""

import dataclasses
import msgspec
import pytest
from test_fleet_part import EPOCH
from test_fleet_part import SAID as BASE
from zone_world import World, evacuated_by_all

from ochrecourse.fleet.zone_context import FleetPlacement
from ochrecourse.fleet.zone_nodes import ZoneNode
from ochrecourse.fleet.zone_policy import ZonePolicy
from ochrecourse.fleet.zone_settings import ZoneSettings
from ochrecourse.storage.journal import MemoryJournal
from ochrecourse.fleet.stall_detector import StallDetector
from ochrecourse.fleet.entries import Entry, Timestamp
from ochrecourse.fleet.zone_summary import ZoneSummary
from ochrecourse.fleet.messages import SLOW, PeerProtocolError, HeartbeatBatch, encode_frame
from ochrecourse.fleet.member import FleetMember
from ochrecourse.fleet.member_environment import MemberEnvironment, ZonePlacement
from ochrecourse.fleet.zone_state import ZoneState, ZoneDecisions
from ochrecourse.fleet.shared_settings import SharedSettingsSubsystem
from ochrecourse.fleet.zone_controller import ZoneController
from ochrecourse.fleet.zone_subsystem import ZoneSubsystem
from ochrecourse.common.request_records import RequestRecord
from ochrecourse.gateway.request_log import RequestLog
from ochrecourse.interface import Ending, Health, NodeEntry
from ochrecourse.lab.fleet_checks import EQUAL
from ochrecourse.lab.fleet_judge import judge
from ochrecourse.lab.fleet_play import FleetPlay
from ochrecourse.lab.fleet_world import Fault
from ochrecourse.lab.fleet_world import World as Drawn
from ochrecourse.lab.virtual import VirtualNetwork
from ochrecourse.common.runtime import now_ns
from ochrecourse.common.time_units import MS, SECOND

LARGE = (1, 4, 4)  # units of jobs of which most are large


def of_zone(world, zone):
    return [node for node, its in world.nodes.items() if its == zone]


def mixed(seed, **more):
    world = World(seed, **more)
    world.units = LARGE
    return world.run(3)


# --- a zone that answers small legs and loses the rest ---


def test_a_zone_that_answers_small_legs_and_loses_the_rest_is_left_by_all():
    world = mixed(1)
    world.max_units = dict.fromkeys(of_zone(world, 1), 1)
    world.run(10)
    assert evacuated_by_all(world, 1) and not world.state_changes(0) and not world.state_changes(2)


class ByCount(ZoneController):
    """Goes by how many legs are answered."""

    def report_received(self, *given):
        super().report_received(*given)
        for name, received in self.context.reports.items():
            sight = received.report
            blind = tuple(msgspec.structs.replace(each, units_served=0, units_lost=0) for each in sight.zones)
            sight = msgspec.structs.replace(sight, zones=blind)
            self.context.reports[name] = dataclasses.replace(received, report=sight)

    def make_report(self, now):
        sight = super().make_report(now)
        return msgspec.structs.replace(
            sight,
            zones=tuple(msgspec.structs.replace(each, units_served=0, units_lost=0) for each in sight.zones),
        )


@pytest.mark.parametrize("make, falls", [(ZoneController, True), (ByCount, False)])
def test_it_does_not_come_back_by_small_probes_and_rests_longer_after_each_fall(make, falls):
    """Its probes are small; of the jobs that come as it returns two in three are large."""
    world = World(2, controller_class=make).run(3)
    world.lose(1)
    world.run(6)
    assert evacuated_by_all(world, 1)
    world.failed, world.max_units = {}, dict.fromkeys(of_zone(world, 1), 1)
    for _ in range(160):
        world.run(0.25)
        world.units = (1, 4, 4) if world.state(1) is ZoneState.SLOW_START else (1,)
    rests = [body["rest"] for _, _, body, _ in world.said if body.get("standing") == "left"]
    assert not world.state_changes(1, word="in")
    assert (rests[:3] == [3000, 6000, 12_000]) is falls


@pytest.mark.parametrize("seed", range(3))
def test_a_zone_slow_by_three_that_serves_is_not_left_nor_one_bad_node_in_each(seed):
    world = mixed(seed)
    world.slow_factor = dict.fromkeys(of_zone(world, 1), 3)
    world.run(15)
    assert not world.state_changes(1, word="left")
    world = mixed(seed)
    world.max_units = {of_zone(world, zone)[0]: 1 for zone in range(3)}
    world.run(15)
    assert not any(world.state_changes(zone, word="left") for zone in range(3))


def test_where_all_zones_lose_large_legs_none_is_left():
    world = mixed(3)
    world.max_units = dict.fromkeys(world.nodes, 1)
    world.run(20)
    assert not any(world.state_changes(zone, word="left") for zone in range(3))


def test_those_who_lose_in_one_zone_alone_are_no_witnesses_of_a_hollow_one():
    view = ZoneSummary(
        ready_nodes=3, units_served=99, units_lost=100, losers={"a": 0, "b": 0}, observers={"a": 0, "b": 0}
    )
    assert not view.is_degraded
    view.losers["b"] = 1
    assert view.is_degraded
    view.observers |= {"c": 2, "d": 2, "e": 2}
    assert not view.is_degraded


# --- lists that differ ---


class BlindPolicy(ZonePolicy):
    def due_state(self, zone, summary, now):
        ready = self.context.nodes.ready
        if self.context.decisions.of(zone).state is ZoneState.EVACUATED or zone in ready:
            return super().due_state(zone, summary, now)
        ready[zone] = {-1}
        due = super().due_state(zone, summary, now)
        del ready[zone]
        return due


class Blind(ZoneController):
    """Who sees none of a zone's nodes on its list decides on it all the same."""

    def __init__(self, *given):
        super().__init__(*given)
        self.policy = self.writer.policy = BlindPolicy(self.context)


@pytest.mark.parametrize("make, alternate", [(ZoneController, False), (Blind, True)])
def test_one_whose_list_lacks_a_zone_does_not_bring_it_back_blind(make, alternate):
    """The first in order, who would decide, sees none of the zone's nodes."""
    world = World(4, controller_class=make).run(3)
    world.lose(1)
    world.run(8)
    world.regain(1)
    first = world.gates["g0"].zones
    first.update_nodes({node: each for node, each in world.endpoint_list().items() if each[0] != 1})
    while world.state(1) is not ZoneState.SLOW_START:
        world.step()
    world.lose(1)
    since = world.now
    world.run(30)
    said = [name for at, name, body, _ in world.said if at > since and body["what"] == "zone"]
    assert ("g0" in said) is alternate and "g1" in said
    assert world.state(1, "g1") is ZoneState.EVACUATED or alternate


# --- settings that differ ---


def entry(writer, seq=1, **body):
    return Entry("fleet", writer, 1, seq, Timestamp(seq, 0), (), msgspec.json.encode(body))


def terms(zones=("a", "b"), size=3, bound=500.0, cold=5.0):
    return SharedSettingsSubsystem(zones, size, bound, cold)


def meet(one, other):
    one.status_received("other", 0, other.status(0), 0)
    other.status_received("one", 0, one.status(0), 0)


def test_both_sides_name_each_difference_once_and_say_when_it_is_over():
    one, other = terms(), terms(zones=("b", "a"), size=4, cold=9.0)
    for _ in range(3):
        meet(one, other)
    told = one.changes()
    assert [(line.peer, line.setting, line.here, line.there) for line in told] == [
        ("other", "zones", "a, b", "b, a"), ("other", "size", "3", "4"), ("other", "cold", "5", "9"),
    ]  # fmt: skip
    assert [line.setting for line in other.changes()] == ["zones", "size", "cold"]
    assert one.report() == {"other": ["zones", "size", "cold"]} and one.changes() == []
    meet(one, terms())
    assert [line.setting for line in one.changes()] == ["all"] and one.report() == {}


def test_meanwhile_both_keep_to_the_safe_side():
    one, other = terms(), terms(zones=("b", "a"), size=4, bound=900.0, cold=4.0)
    meet(one, other)
    for each in (one, other):
        assert (each.fleet_size(), each.clock_bound_ms(), each.cold_node_rate()) == (4, 900.0, 4.0)
    assert one.gateways_with_other_zones() == {"other"} and other.gateways_with_other_zones() == {"one"}
    assert terms(cold=0.0).cold_node_rate() == 0.0


def test_a_thousand_zones_are_told_as_one_digest_that_tells_their_order():
    names = [f"zone-{i}-of-a-large-fleet" for i in range(1024)]
    one, other = terms(zones=names), terms(zones=names[::-1])
    assert len(one.status(0)) < 200
    meet(one, other)
    assert one.gateways_with_other_zones() == {"other"}
    meet(one, terms(zones=names))
    assert not one.gateways_with_other_zones()


@pytest.mark.parametrize(
    "told", [b"", b"[]", b"{}", b'{"zones":1,"size":1}', b'{"zones":[],"size":0}', b"\xff"]
)
def test_terms_that_are_none_are_turned_away(told):
    with pytest.raises(ValueError):
        terms().status_received("x", 0, told, 0)


def test_evidence_and_decisions_of_one_who_means_another_zone_are_not_taken():
    zones = ZoneController(ZoneSettings(), FleetPlacement(2, "g0", 0, 4, ("north", "south")))
    zones.report_received("g1", 1, b"[[5,0,0,0],[[1,5]]]", 0)
    zones.apply_shared_settings({"g1"}, 6, 700.0, 3.0)
    assert not zones.context.reports and (
        zones.context.gateway_count,
        zones.context.quota.gateway_count,
        zones.context.quota.clock_bound_ms,
    ) == (6, 6, 700)
    assert zones.context.cold_node_rate == 3.0
    zones.evaluate(0, {"g0": 0, "g1": 1, "g2": 1})
    assert set(zones.context.reachable) == {"g0", "g2"}
    said = {"what": "zone", "zone": 1, "standing": "left", "number": 1}
    zones.entry_received(entry("g1", name="north", **said))
    assert zones.state_of(1)[0] is ZoneState.IN
    zones.entry_received(entry("g1", 4, **said))  # of an older version, which names none
    assert zones.state_of(1)[0] is ZoneState.EVACUATED


def test_a_snapshot_keeps_what_each_side_means_whoever_makes_it():
    events = [
        entry("g0", 1, what="zone", zone=1, standing="left", number=1, name="south"),
        entry("g1", 2, what="zone", zone=1, standing="left", number=4, name="north"),
        entry("g0", 3, what="zone", zone=1, standing="in", number=2, name="south"),
    ]
    kept = []
    for names in (("north", "south"), ("south", "north")):
        watch = ZoneSubsystem(
            ZoneController(ZoneSettings(), FleetPlacement(2, "g0", 0, 2, names)), RequestLog(), 0, lambda: 0
        )
        kept.append(watch.keeps(events, Timestamp(9, 0)))
    assert kept[0] == kept[1] == [events[1], events[2]]
    held = ZoneDecisions(2, ("north", "south"))
    for each in kept[0]:
        held.apply(each)
    assert held.of(1).number == 2


# --- a process that runs late, or stood still ---


def watched(beat=250 * MS):
    zones = ZoneController(ZoneSettings(), FleetPlacement(2, "g0", 0, 2))
    zones.update_nodes({1: ZoneNode(0, 0, True, 0), 2: ZoneNode(1, 1, True, 0)})
    return ZoneSubsystem(zones, RequestLog(), 0, lambda: 0, beat)


def ends(watch, ending, sent, now, node=2, number=1):
    story = RequestRecord(number, 0, 0, 1, 1.0, sent, now + SECOND, now + SECOND, "t")
    watch.requests.add(story)
    watch.requests.attempt_sent(number, 0, node, sent)
    leg = story.attempts[0]
    leg.ending, leg.took = ending, now - sent
    watch.attempt_ended(story, leg, now)
    return watch.zones.context.observations.by_node.get(node)


@pytest.mark.parametrize("ending", [Ending.TIMEOUT, Ending.UNREACHABLE])
@pytest.mark.parametrize("gap, counts", [(250, 1), (600, 0)])
def test_what_timed_out_while_the_loop_was_late_is_no_evidence(ending, gap, counts):
    for first in (False, True):  # the leg's timer ran before the beat, or after it
        watch = watched()
        watch.beat_passed(SECOND)
        now = SECOND + gap * MS
        if not first:
            watch.beat_passed(now)
        seen = ends(watch, ending, SECOND, now)
        assert (seen.failures if seen else 0) == counts


def test_an_answer_or_a_reset_counts_however_late_the_loop_is():
    watch = watched()
    watch.beat_passed(SECOND)
    assert ends(watch, Ending.SERVED, SECOND, 2 * SECOND).failures == 0
    assert ends(watch, Ending.RESET, SECOND, 2 * SECOND, number=2).failures == 1


class Beaten:
    def __init__(self):
        self.beat_overdue_at_s, self.times = 10.0, 0

    def stall_detected(self):
        self.times, self.beat_overdue_at_s = self.times + 1, 20.0


class Hands:
    now = 9.0

    def seconds(self):
        return self.now


def test_who_reads_the_clock_past_the_beat_has_it_made_good_once():
    hands, beaten = Hands(), Beaten()
    clock = StallDetector(hands, beaten)
    assert clock.seconds() == 9.0 and not beaten.times
    hands.now = 15.0
    assert clock.seconds() == clock.seconds() == 15.0 and beaten.times == 1


# --- on the virtual network: parts, then whole worlds ---

SAID = {**BASE, "zones": {"lend": 4000.0, "rest": 60_000.0, "step": 60_000.0}}
NODES = {
    number: NodeEntry(number, number // 10, 0, Health.READY, 0)
    for number in (1, 2, 11, 12)
}  # fmt: skip


class Beside:
    def __init__(self, name):
        self.name, self.request_log, self.attempt_observers, self.bounds = name, RequestLog(), [], {}

    def node_rates_received(self, bounds):
        self.bounds = dict(bounds)


def parts(zones_of, **changes):
    """Gateways by name, each with the zones that it names; lines of their logs."""
    network, lines, made = VirtualNetwork(1), [], {}
    for i, (name, zones) in enumerate(zones_of.items()):
        peers = [
            {"name": n, "address": f"127.0.0.1:{20_000 + j}"} for j, n in enumerate(zones_of) if n != name
        ]
        environment = MemberEnvironment(
            Beside(name), network.host(name), MemoryJournal(), i,
            lambda: EPOCH + int(network.seconds() * 1000), lambda event, by=name, **more: lines.append((by, event, more)),
        )  # fmt: skip
        placement = ZonePlacement(i % 2, len(zones), names=zones)
        made[name] = FleetMember({**SAID, "peers": peers, **changes}, environment, placement)
        made[name].start(where=f"127.0.0.1:{20_000 + i}")
        made[name].nodes_are(NODES)
    network.advance(3)
    return network, made, lines


def test_gateways_whose_zones_stand_in_another_order_say_so_on_both_sides_and_decide_apart():
    network, made, lines = parts({"a": ("x", "y"), "b": ("x", "y"), "c": ("y", "x")})
    differ = [(by, more) for by, event, more in lines if event == "fleet settings differ"]
    assert [(by, more["peer"], more["what"]) for by, more in sorted(differ, key=str)] == [
        ("a", "c", "zones"), ("b", "c", "zones"), ("c", "a", "zones"), ("c", "b", "zones"),
    ]  # fmt: skip
    channel, body = made["c"].zone_subsystem.operator_entry(1, "left")
    made["c"].append(channel, body)
    network.advance(2)
    assert made["c"].zones.state_of(1)[0] is ZoneState.EVACUATED
    assert made["a"].zones.state_of(1)[0] is made["b"].zones.state_of(1)[0] is ZoneState.IN
    assert set(made["a"].zones.context.reachable) == {"a", "b"} and set(
        made["c"].zones.context.reachable
    ) == {"c"}
    assert made["a"].dump("fleet") == made["c"].dump("fleet")


def test_in_the_first_turn_after_a_standstill_nothing_is_used_that_was_lent_until_before():
    network, made, _ = parts(dict.fromkeys("abc", ("x", "y")))
    channel, body = made["a"].zone_subsystem.operator_entry(1, "returning")
    made["a"].append(channel, body)
    network.advance(12)  # the first while of a life is over
    wall = made["b"].wall_ms()
    loan = {"what": "lend", "zone": 1, "to": "a", "units": 1 / 6, "until": wall + 4000}
    made["b"].append("fleet", loan)
    network.advance(2.6)
    a = made["a"]
    with_loan = dict(a.gateway.bounds)
    assert with_loan[11] > 1.4 * a.zones.rates.limit(1, 11, now_ns(network)) / 3
    clock = StallDetector(a.network, a)
    a.network.stand_still(True)
    network.advance(20)
    assert a.gateway.bounds == with_loan
    clock.seconds()  # a job that is read first thing after the stop
    assert a.gateway.bounds[11] <= a.zones.rates.limit(1, 11, now_ns(network)) / 3 + 1e-9


def test_what_lay_unread_over_a_standstill_is_no_news():
    network, made, _ = parts(dict.fromkeys("abc", ("x", "y")))
    exchange = made["a"].peer_links.by_peer["b"].exchange
    line = encode_frame(HeartbeatBatch(frame_number=exchange._last_frame_number + 1), b"[]").split(b"\r\n")[0]
    heard, now = exchange.received_at, now_ns(network) + 3 * SECOND
    with pytest.raises(PeerProtocolError, match="silence") as told:
        exchange.header_received(line, now)
    assert told.value.code == SLOW and exchange.received_at == heard


def world(*faults, **more):
    play = FleetPlay(Drawn(**{"length_s": 24, "jobs": 60, "faults": faults, **more}))
    play.run()
    judged = judge(play)
    assert judged.kinds() == [], judged.lines()
    return play, judged


def test_ways_that_work_in_one_direction_end_in_one_view_without_flapping():
    play, judged = world(
        Fault(kind="pair_one_way", at_s=2, len_s=8, who=(0, 4)),
        Fault(kind="zone_one_way", at_s=5, len_s=6, zone=1),
        Fault(kind="lossy", at_s=12, len_s=6, size=0.3),
    )
    assert judged.figures["unequal_s"] <= EQUAL
    numbers = {zone: number for _, _, zone, _, number in play.seen.changes}
    assert numbers.get(0, 0) <= 4 and numbers.get(2, 0) <= 4 and numbers.get(1, 0) <= 12


def test_a_late_loop_and_one_grey_node_in_each_zone_accuse_no_zone():
    play, _ = world(
        Fault(kind="late", at_s=3, len_s=8, who=(1,), size=0.5),
        Fault(kind="grey_each", at_s=6, len_s=10, size=1),
    )
    assert not [each for each in play.seen.changes if each[3] == ZoneState.EVACUATED.name]


def test_a_zone_that_loses_large_jobs_is_left_and_that_earns_more_than_to_stay():
    grey = Fault(kind="zone_grey", at_s=3, len_s=18, zone=1, size=1)
    play, shared = world(grey)
    _, alone = world(grey, sharing=False)
    assert [each for each in play.seen.changes if each[2] == 1 and each[3] == ZoneState.EVACUATED.name]
    assert shared.figures["payoff"] >= alone.figures["payoff"]
