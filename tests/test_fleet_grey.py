"""Partial failures: zones that answer some requests and lose others, differing endpoint lists and settings, one-way
connections, and processes that run late or stall."""

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
from ochrecourse.lab.fleet_world import World as FleetWorld
from ochrecourse.lab.virtual import VirtualNetwork
from ochrecourse.common.runtime import now_ns
from ochrecourse.common.time_units import MS, SECOND

LARGE = (1, 4, 4)  # units of requests, most of which are large


def nodes_of(world, zone):
    return [node for node, node_zone in world.nodes.items() if node_zone == zone]


def world_with_large_requests(seed, **more):
    world = World(seed, **more)
    world.units = LARGE
    return world.run(3)


# --- a zone that answers small attempts and loses the others ---


def test_a_zone_that_answers_small_attempts_and_loses_the_others_is_evacuated():
    world = world_with_large_requests(1)
    world.max_units = dict.fromkeys(nodes_of(world, 1), 1)
    world.run(10)
    assert evacuated_by_all(world, 1) and not world.state_changes(0) and not world.state_changes(2)


class IgnoresUnits(ZoneController):
    """Decides by numbers of attempts, without their units."""

    def report_received(self, *given):
        super().report_received(*given)
        for name, received in self.context.reports.items():
            report = received.report
            zones = tuple(
                msgspec.structs.replace(each, units_served=0, units_lost=0) for each in report.zones
            )
            report = msgspec.structs.replace(report, zones=zones)
            self.context.reports[name] = dataclasses.replace(received, report=report)

    def make_report(self, now):
        report = super().make_report(now)
        return msgspec.structs.replace(
            report,
            zones=tuple(msgspec.structs.replace(each, units_served=0, units_lost=0) for each in report.zones),
        )


@pytest.mark.parametrize("controller_class, time_grows", [(ZoneController, True), (IgnoresUnits, False)])
def test_small_probes_do_not_bring_the_zone_back_and_its_evacuation_time_grows(controller_class, time_grows):
    """Probes are small; during a slow start two in three requests are large."""
    world = World(2, controller_class=controller_class).run(3)
    world.lose(1)
    world.run(6)
    assert evacuated_by_all(world, 1)
    world.failed, world.max_units = {}, dict.fromkeys(nodes_of(world, 1), 1)
    for _ in range(160):
        world.run(0.25)
        world.units = (1, 4, 4) if world.state(1) is ZoneState.SLOW_START else (1,)
    times = [body["rest"] for _, _, body, _ in world.said if body.get("standing") == "left"]
    assert not world.state_changes(1, word="in")
    assert (times[:3] == [3000, 6000, 12_000]) is time_grows


@pytest.mark.parametrize("seed", range(3))
def test_neither_a_slow_zone_that_serves_nor_one_failing_node_per_zone_causes_an_evacuation(seed):
    world = world_with_large_requests(seed)
    world.slow_factor = dict.fromkeys(nodes_of(world, 1), 3)
    world.run(15)
    assert not world.state_changes(1, word="left")
    world = world_with_large_requests(seed)
    world.max_units = {nodes_of(world, zone)[0]: 1 for zone in range(3)}
    world.run(15)
    assert not any(world.state_changes(zone, word="left") for zone in range(3))


def test_if_all_zones_lose_large_attempts_none_is_evacuated():
    world = world_with_large_requests(3)
    world.max_units = dict.fromkeys(world.nodes, 1)
    world.run(20)
    assert not any(world.state_changes(zone, word="left") for zone in range(3))


def test_a_zone_is_degraded_only_if_losers_are_in_several_zones_and_half_of_the_observers():
    summary = ZoneSummary(
        ready_nodes=3, units_served=99, units_lost=100, losers={"a": 0, "b": 0}, observers={"a": 0, "b": 0}
    )
    assert not summary.is_degraded
    summary.losers["b"] = 1
    assert summary.is_degraded
    summary.observers |= {"c": 2, "d": 2, "e": 2}
    assert not summary.is_degraded


# --- endpoint lists that differ ---


class DecidesWithoutNodesPolicy(ZonePolicy):
    def due_state(self, zone, summary, now):
        ready = self.context.nodes.ready
        if self.context.decisions.of(zone).state is ZoneState.EVACUATED or zone in ready:
            return super().due_state(zone, summary, now)
        ready[zone] = {-1}
        due = super().due_state(zone, summary, now)
        del ready[zone]
        return due


class DecidesWithoutNodes(ZoneController):
    """A seeded mistake: decides on an evacuated zone although its endpoint list has none of the zone's nodes."""

    def __init__(self, *given):
        super().__init__(*given)
        self.policy = self.writer.policy = DecidesWithoutNodesPolicy(self.context)


@pytest.mark.parametrize(
    "controller_class, alternate", [(ZoneController, False), (DecidesWithoutNodes, True)]
)
def test_a_gateway_whose_endpoint_list_lacks_a_zone_does_not_decide_on_it(controller_class, alternate):
    """The first gateway in order, which would decide, has none of the zone's nodes in its list."""
    world = World(4, controller_class=controller_class).run(3)
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
    writers = [name for at, name, body, _ in world.said if at > since and body["what"] == "zone"]
    assert ("g0" in writers) is alternate and "g1" in writers
    assert world.state(1, "g1") is ZoneState.EVACUATED or alternate


# --- settings that differ ---


def entry(writer, seq=1, **body):
    return Entry("fleet", writer, 1, seq, Timestamp(seq, 0), (), msgspec.json.encode(body))


def shared_settings(zones=("a", "b"), size=3, bound=500.0, cold=5.0):
    return SharedSettingsSubsystem(zones, size, bound, cold)


def exchange_statuses(one, other):
    one.status_received("other", 0, other.status(0), 0)
    other.status_received("one", 0, one.status(0), 0)


def test_both_sides_report_each_difference_once_and_its_end():
    one, other = shared_settings(), shared_settings(zones=("b", "a"), size=4, cold=9.0)
    for _ in range(3):
        exchange_statuses(one, other)
    changes = one.changes()
    assert [(line.peer, line.setting, line.own_value, line.peer_value) for line in changes] == [
        ("other", "zones", "a, b", "b, a"), ("other", "size", "3", "4"), ("other", "cold", "5", "9"),
    ]  # fmt: skip
    assert [line.setting for line in other.changes()] == ["zones", "size", "cold"]
    assert one.report() == {"other": ["zones", "size", "cold"]} and one.changes() == []
    exchange_statuses(one, shared_settings())
    assert [line.setting for line in one.changes()] == ["all"] and one.report() == {}


def test_both_sides_use_the_more_conservative_values():
    one, other = shared_settings(), shared_settings(zones=("b", "a"), size=4, bound=900.0, cold=4.0)
    exchange_statuses(one, other)
    for each in (one, other):
        assert (each.fleet_size(), each.clock_bound_ms(), each.cold_node_rate()) == (4, 900.0, 4.0)
    assert one.gateways_with_other_zones() == {"other"} and other.gateways_with_other_zones() == {"one"}
    assert shared_settings(cold=0.0).cold_node_rate() == 0.0


def test_a_thousand_zone_names_are_reported_as_a_digest_that_depends_on_their_order():
    names = [f"zone-{i}-of-a-large-fleet" for i in range(1024)]
    one, other = shared_settings(zones=names), shared_settings(zones=names[::-1])
    assert len(one.status(0)) < 200
    exchange_statuses(one, other)
    assert one.gateways_with_other_zones() == {"other"}
    exchange_statuses(one, shared_settings(zones=names))
    assert not one.gateways_with_other_zones()


@pytest.mark.parametrize(
    "status", [b"", b"[]", b"{}", b'{"zones":1,"size":1}', b'{"zones":[],"size":0}', b"\xff"]
)
def test_malformed_settings_are_rejected(status):
    with pytest.raises(ValueError):
        shared_settings().status_received("x", 0, status, 0)


def test_evidence_and_decisions_of_a_gateway_with_other_zones_are_ignored():
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
    decision = {"what": "zone", "zone": 1, "standing": "left", "number": 1}
    zones.entry_received(entry("g1", name="north", **decision))
    assert zones.state_of(1)[0] is ZoneState.IN
    zones.entry_received(entry("g1", 4, **decision))  # from an older version, without the zone's name
    assert zones.state_of(1)[0] is ZoneState.EVACUATED


def test_gateways_with_different_zone_orders_retain_the_same_events():
    events = [
        entry("g0", 1, what="zone", zone=1, standing="left", number=1, name="south"),
        entry("g1", 2, what="zone", zone=1, standing="left", number=4, name="north"),
        entry("g0", 3, what="zone", zone=1, standing="in", number=2, name="south"),
    ]
    retained = []
    for names in (("north", "south"), ("south", "north")):
        subsystem = ZoneSubsystem(
            ZoneController(ZoneSettings(), FleetPlacement(2, "g0", 0, 2, names)), RequestLog(), 0, lambda: 0
        )
        retained.append(subsystem.keeps(events, Timestamp(9, 0)))
    assert retained[0] == retained[1] == [events[1], events[2]]
    decisions = ZoneDecisions(2, ("north", "south"))
    for each in retained[0]:
        decisions.apply(each)
    assert decisions.of(1).number == 2


# --- a process that runs late or stalls ---


def make_subsystem(heartbeat_interval=250 * MS):
    zones = ZoneController(ZoneSettings(), FleetPlacement(2, "g0", 0, 2))
    zones.update_nodes({1: ZoneNode(0, 0, True, 0), 2: ZoneNode(1, 1, True, 0)})
    return ZoneSubsystem(zones, RequestLog(), 0, lambda: 0, heartbeat_interval)


def end_attempt(subsystem, ending, sent, now, node=2, number=1):
    """Ends an attempt and returns the observations of its node, or None."""
    request = RequestRecord(number, 0, 0, 1, 1.0, sent, now + SECOND, now + SECOND, "t")
    subsystem.requests.add(request)
    subsystem.requests.attempt_sent(number, 0, node, sent)
    attempt = request.attempts[0]
    attempt.ending, attempt.took = ending, now - sent
    subsystem.attempt_ended(request, attempt, now)
    return subsystem.zones.context.observations.by_node.get(node)


@pytest.mark.parametrize("ending", [Ending.TIMEOUT, Ending.UNREACHABLE])
@pytest.mark.parametrize("gap, counts", [(250, 1), (600, 0)])
def test_time_outs_while_the_event_loop_is_late_are_no_evidence(ending, gap, counts):
    for first in (False, True):  # whether the attempt's timer runs before the heartbeat
        subsystem = make_subsystem()
        subsystem.beat_passed(SECOND)
        now = SECOND + gap * MS
        if not first:
            subsystem.beat_passed(now)
        observations = end_attempt(subsystem, ending, SECOND, now)
        assert (observations.failures if observations else 0) == counts


def test_an_answer_or_a_reset_counts_however_late_the_event_loop_is():
    subsystem = make_subsystem()
    subsystem.beat_passed(SECOND)
    assert end_attempt(subsystem, Ending.SERVED, SECOND, 2 * SECOND).failures == 0
    assert end_attempt(subsystem, Ending.RESET, SECOND, 2 * SECOND, number=2).failures == 1


class FakeMember:
    def __init__(self):
        self.beat_overdue_at_s, self.times = 10.0, 0

    def stall_detected(self):
        self.times, self.beat_overdue_at_s = self.times + 1, 20.0


class FakeClock:
    now = 9.0

    def seconds(self):
        return self.now


def test_reading_the_clock_after_an_overdue_heartbeat_reports_the_stall_once():
    fake_clock, member = FakeClock(), FakeMember()
    clock = StallDetector(fake_clock, member)
    assert clock.seconds() == 9.0 and not member.times
    fake_clock.now = 15.0
    assert clock.seconds() == clock.seconds() == 15.0 and member.times == 1


# --- on the virtual network: fleet members, then complete worlds ---

SETTINGS = {**BASE, "zones": {"lend": 4000.0, "rest": 60_000.0, "step": 60_000.0}}
NODES = {
    number: NodeEntry(number, number // 10, 0, Health.READY, 0)
    for number in (1, 2, 11, 12)
}  # fmt: skip


class FakeGateway:
    def __init__(self, name):
        self.name, self.request_log, self.attempt_observers, self.rates = name, RequestLog(), [], {}

    def node_rates_received(self, rates):
        self.rates = dict(rates)


def start_members(zones_of, **changes):
    """Starts fleet members. `zones_of`: zone names by gateway. Returns network, members by name, and log lines."""
    network, lines, members = VirtualNetwork(1), [], {}
    for i, (name, zones) in enumerate(zones_of.items()):
        peers = [
            {"name": n, "address": f"127.0.0.1:{20_000 + j}"} for j, n in enumerate(zones_of) if n != name
        ]
        environment = MemberEnvironment(
            FakeGateway(name), network.host(name), MemoryJournal(), i,
            lambda: EPOCH + int(network.seconds() * 1000), lambda event, by=name, **more: lines.append((by, event, more)),
        )  # fmt: skip
        placement = ZonePlacement(i % 2, len(zones), names=zones)
        members[name] = FleetMember({**SETTINGS, "peers": peers, **changes}, environment, placement)
        members[name].start(where=f"127.0.0.1:{20_000 + i}")
        members[name].nodes_are(NODES)
    network.advance(3)
    return network, members, lines


def test_gateways_with_different_zone_orders_log_it_on_both_sides_and_decide_separately():
    network, members, lines = start_members({"a": ("x", "y"), "b": ("x", "y"), "c": ("y", "x")})
    differ = [(by, more) for by, event, more in lines if event == "fleet settings differ"]
    assert [(by, more["peer"], more["what"]) for by, more in sorted(differ, key=str)] == [
        ("a", "c", "zones"), ("b", "c", "zones"), ("c", "a", "zones"), ("c", "b", "zones"),
    ]  # fmt: skip
    channel, body = members["c"].zone_subsystem.operator_entry(1, "left")
    members["c"].append(channel, body)
    network.advance(2)
    assert members["c"].zones.state_of(1)[0] is ZoneState.EVACUATED
    assert members["a"].zones.state_of(1)[0] is members["b"].zones.state_of(1)[0] is ZoneState.IN
    assert set(members["a"].zones.context.reachable) == {"a", "b"} and set(
        members["c"].zones.context.reachable
    ) == {"c"}
    assert members["a"].dump("fleet") == members["c"].dump("fleet")


def test_a_loan_that_ended_during_a_stall_is_not_used_afterwards():
    network, members, _ = start_members(dict.fromkeys("abc", ("x", "y")))
    channel, body = members["a"].zone_subsystem.operator_entry(1, "returning")
    members["a"].append(channel, body)
    network.advance(12)  # until an incarnation may lend
    wall = members["b"].wall_ms()
    loan = {"what": "lend", "zone": 1, "to": "a", "units": 1 / 6, "until": wall + 4000}
    members["b"].append("fleet", loan)
    network.advance(2.6)
    a = members["a"]
    with_loan = dict(a.gateway.rates)
    assert with_loan[11] > 1.4 * a.zones.rates.limit(1, 11, now_ns(network)) / 3
    clock = StallDetector(a.network, a)
    a.network.stand_still(True)
    network.advance(20)
    assert a.gateway.rates == with_loan
    clock.seconds()  # as for the first request that is read after the stall
    assert a.gateway.rates[11] <= a.zones.rates.limit(1, 11, now_ns(network)) / 3 + 1e-9


def test_a_heartbeat_that_stayed_unread_during_a_stall_is_rejected():
    network, members, _ = start_members(dict.fromkeys("abc", ("x", "y")))
    exchange = members["a"].peer_links.by_peer["b"].exchange
    line = encode_frame(HeartbeatBatch(frame_number=exchange._last_frame_number + 1), b"[]").split(b"\r\n")[0]
    previous, now = exchange.received_at, now_ns(network) + 3 * SECOND
    with pytest.raises(PeerProtocolError, match="silence") as raised:
        exchange.header_received(line, now)
    assert raised.value.code == SLOW and exchange.received_at == previous


def play_world(*faults, **more):
    play = FleetPlay(FleetWorld(**{"length_s": 24, "jobs": 60, "faults": faults, **more}))
    play.run()
    judged = judge(play)
    assert judged.kinds() == [], judged.lines()
    return play, judged


def test_gateways_with_one_way_connections_agree_on_zone_states_without_flapping():
    play, judged = play_world(
        Fault(kind="pair_one_way", at_s=2, len_s=8, who=(0, 4)),
        Fault(kind="zone_one_way", at_s=5, len_s=6, zone=1),
        Fault(kind="lossy", at_s=12, len_s=6, size=0.3),
    )
    assert judged.figures["unequal_s"] <= EQUAL
    numbers = {zone: number for _, _, zone, _, number in play.seen.changes}
    assert numbers.get(0, 0) <= 4 and numbers.get(2, 0) <= 4 and numbers.get(1, 0) <= 12


def test_a_late_event_loop_and_one_grey_node_per_zone_cause_no_evacuation():
    play, _ = play_world(
        Fault(kind="late", at_s=3, len_s=8, who=(1,), size=0.5),
        Fault(kind="grey_each", at_s=6, len_s=10, size=1),
    )
    assert not [each for each in play.seen.changes if each[3] == ZoneState.EVACUATED.name]


def test_evacuating_a_zone_that_loses_large_requests_earns_more_than_staying():
    grey = Fault(kind="zone_grey", at_s=3, len_s=18, zone=1, size=1)
    play, shared = play_world(grey)
    _, unshared = play_world(grey, sharing=False)
    assert [each for each in play.seen.changes if each[2] == 1 and each[3] == ZoneState.EVACUATED.name]
    assert shared.figures["payoff"] >= unshared.figures["payoff"]
