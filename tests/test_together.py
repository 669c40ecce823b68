"""Days of several gateways as processes of their own: the breaker between them, copies of shards, the judge, each day once."""

from __future__ import annotations

import json
import subprocess
import sys

import msgspec
import pytest
from test_together_worse import WORSE
from twisted.internet.protocol import ClientFactory, Factory, Protocol

from ochrecourse.audit import records as r
from ochrecourse.audit import purges
from ochrecourse.audit import fleet_state as seen
from ochrecourse.lab.day import BadDay, Trouble, check, volumes
from ochrecourse.lab.days import quiet
from ochrecourse.lab.play import make_fleet
from ochrecourse.lab.together import BEGINS, MADE, together
from ochrecourse.lab.virtual import VirtualNetwork
from ochrecourse.standins.breaker import Breaker, Messages


LONG = 240  # s that a day may take at the most on a loaded host; nothing is judged by it
# Judged by 50 ms of a clock: test_fleet_capacity plays it on the virtual one, by the same judges and by more.
VIRTUAL = ("capacity",)


class Ear(Protocol):
    def __init__(self):
        self.heard, self.up = b"", False

    def connectionMade(self):
        self.up = True

    def dataReceived(self, data):
        self.heard += data

    def connectionLost(self, reason=None):
        self.up = False

    def numbers(self):
        return [int(each[7:11]) for each in Messages().feed(self.heard)]


def message(number):
    body = b"\r\n" * 20
    return b'{"n": "%04d", "body": %d}\r\n' % (number, len(body)) + body


class Between:
    """A breaker between `a`, which dials, and `b`, which listens."""

    def __init__(self, seed=1):
        self.network = VirtualNetwork(seed)
        self.breaker = Breaker(self.network, seed)
        self.theirs = []
        listens = Factory()
        listens.buildProtocol = lambda addr: self.theirs.append(Ear()) or self.theirs[-1]
        self.breaker.is_at("b", "127.0.0.1", self.network.listenTCP(0, listens).getHost().port)
        self.port = int(self.breaker.address("a", "b").rpartition(":")[2])

    def dial(self):
        own = Ear()
        dials = ClientFactory()
        dials.buildProtocol = lambda addr: own
        self.network.connectTCP("127.0.0.1", self.port, dials)
        self.network.advance(1)
        return own

    def send(self, end, numbers):
        data = b"".join(map(message, numbers))
        for at in range(0, len(data), 7):  # however the stream is cut, messages stay whole
            end.transport.write(data[at : at + 7])
        self.network.advance(1)


def test_breaker_passes_messages_both_ways_and_loses_or_repeats_whole_ones():
    between = Between()
    own = between.dial()
    between.send(own, range(50))
    between.send(between.theirs[0], range(50))
    assert own.numbers() == between.theirs[0].numbers() == list(range(50))
    between.breaker.set(["a"], ["b"], both=False, lose=0.3, repeat=0.3)
    between.send(own, range(50, 150))
    got = between.theirs[0].numbers()[50:]
    assert got == sorted(got) and len(set(got)) < 100 and len(got) > len(set(got))
    between.send(between.theirs[0], range(50, 60))
    assert own.numbers() == list(range(60))  # the way back is whole


def test_breaker_cuts_one_way_holds_a_dead_end_open_and_ends_a_holed_link_when_mended():
    between = Between()
    own = between.dial()
    between.breaker.set(["a"], ["b"], both=False, cut=True)
    between.send(own, range(5))
    between.send(between.theirs[0], range(5))
    assert between.theirs[0].heard == b"" and own.numbers() == list(range(5))
    late = between.dial()  # accepted, and silence
    assert late.up and len(between.theirs) == 1
    between.breaker.set(["a"], ["b"], both=False, cut=False)
    between.network.advance(1)
    assert not own.up and not late.up and not between.theirs[0].up
    own = between.dial()
    between.breaker.set(["a"], ["b"], keeps=True)
    between.theirs[1].transport.loseConnection()
    between.network.advance(1)
    assert own.up  # half open: nobody told it
    between.breaker.set(["a"], ["b"], keeps=False)
    between.network.advance(1)
    assert not own.up


def test_breaker_delays_and_drips_in_order():
    between = Between()
    own = between.dial()
    between.breaker.set(["a"], ["b"], both=False, delay=0.5)
    between.send(own, range(3))
    between.breaker.set(["a"], ["b"], both=False, delay=0.0, drip=1000)
    own.transport.write(b"".join(map(message, range(3, 30))))
    between.network.advance(0.3)
    assert 3 <= len(between.theirs[0].numbers()) < 20
    between.network.advance(5)
    assert between.theirs[0].numbers() == list(range(30))


def day_with_copies(**more):
    return msgspec.structs.replace(
        quiet(), nodes=9, copies=3, zones=("north", "south", "west"), gateways=6, **more
    )


def test_a_shard_is_held_in_every_zone_and_a_lost_zone_comes_back_cold_together():
    day = day_with_copies()
    check(day, "here")
    assert all(max(volume.shards) < 3 for volume in volumes(day))
    records = []
    network = VirtualNetwork(1)
    fleet = make_fleet(day, network, records.append)
    assert {(node.shard.number, node.shard.zone) for node in fleet.nodes.values()} == {
        (shard, zone) for shard in range(3) for zone in range(3)
    }
    same = [node.shard for node in fleet.nodes.values() if node.shard.number == 1]
    same[0].objects[7] = [b"x"]
    assert all(shard.objects == {7: [b"x"]} for shard in same)
    mend = fleet.strike("zone_lost", 0, 0, 0, 6, "south")
    lost = [node for node in fleet.nodes.values() if node.shard.zone == 1]
    assert (
        all(node.machine.silent for node in lost) and sum(isinstance(x, r.NodeStopped) for x in records) == 3
    )
    mend()
    assert all(node.machine.cold_for and not node.machine.silent for node in lost)
    fleet.strike("zone_apart", 0, 0, 0, 6, "south")
    deaf = {
        (node.shard.zone, name)
        for node in fleet.nodes.values()
        for name in ("g0", "g1", "g4")
        if node.machine.deaf_to(name)
    }
    assert deaf == {(0, "g1"), (0, "g4"), (2, "g1"), (2, "g4")}


@pytest.mark.parametrize(
    "changes",
    [{"copies": 4}, {"nodes": 8}, {"troubles": [Trouble(kind="zone_lost", at_s=1, len_s=1, which="east")]}],
)
def test_days_that_cannot_be(changes):
    with pytest.raises(BadDay):
        check(msgspec.structs.replace(day_with_copies(), **changes), "here")


# --- the judge finds each breach ---

S = 1_000_000_000
NAMES = ["g0", "g1", "g2"]


def held(t, gateway, **zones):
    return seen.ZoneStateSample(t=round(t * S), gateway=gateway, zones=zones)


def looks(until, **by_gateway):
    """Each gateway asked four times a second; it tells what stands from the time named on."""
    for step in range(4 * until):
        for gateway, told in by_gateway.items():
            yield held(step / 4, gateway, **{zone: said for since, zone, said in told if since <= step / 4})


LEFT, IN = ("left", 2), ("in", 1)


@pytest.mark.parametrize(
    "breaks, told, broken",
    [
        ([], {"g1": [(1, "south", LEFT)]}, False),
        ([], {"g1": [(4, "south", LEFT)]}, True),
        ([], {"g1": []}, True),  # never says so
        ([r.GatewayKilled(t=0, gateway="g1")], {"g1": []}, False),
        ([r.GatewayPaused(t=0, gateway="g1")], {"g1": []}, False),
        ([r.GatewayPaused(t=0, gateway="g1"), r.GatewayPaused(t=1 * S, gateway="g1", resumed=True)], {"g1": []}, True),
        ([r.NetworkPartitioned(t=0, group=["g1"], other_group=["g0", "g2"])], {"g1": []}, False),
        ([r.NetworkPartitioned(t=0, group=["g1"], other_group=["g0"])], {"g1": []}, True),  # g2 still talks to both
        ([r.NetworkPartitioned(t=0, group=["g1"], other_group=["g0", "g2"]), r.NetworkPartitioned(t=6 * S, group=["g1"], other_group=["g0", "g2"], healed=True)], {"g1": [(8, "south", LEFT)]}, False),
        ([r.NetworkPartitioned(t=0, group=["g1"], other_group=["g0", "g2"]), r.NetworkPartitioned(t=3 * S, group=["g1"], other_group=["g0", "g2"], healed=True)], {"g1": []}, True),
    ],
)  # fmt: skip
def test_standings_that_differ_for_too_long_are_found(breaks, told, broken):
    started = [r.GatewayStarted(t=0, gateway=name) for name in NAMES]
    told = {"g0": [(0, "south", LEFT)], "g2": [(0, "south", LEFT)], **told}
    finding, longest = seen.judge_equal_states(NAMES, [*started, *breaks], looks(10, **told), 3 * S)
    assert bool(finding.breaches) is broken is (longest > 3 * S) and finding.tested


def test_a_zone_that_is_well_and_left_is_found():
    told = list(looks(5, g0=[(2, "south", ("in doubt", 1)), (3, "south", LEFT)]))
    assert seen.judge_false_state(told, ["south"], "left", 0, 10 * S).breaches
    assert not seen.judge_false_state(told, ["south"], "left", 0, 3 * S - 1).breaches
    assert not seen.judge_false_state(told, ["north"], "left", 0, 10 * S).breaches


def leg(t, node, units=2.0, number=0, gateway="g0"):
    return r.AttemptReceived(
        t=round(t * S), node=node, gateway=gateway, conn=1, id=number, idempotency_key=f"m{number}", trace=f"{number}.0",
        number=0, request_class="page-read", volume=1, key=7, units=units, work=units * 4e6,
    )  # fmt: skip


def test_when_new_legs_are_away_from_a_lost_zone():
    legs = [leg(step / 100, 100 + (step % 3), number=step) for step in range(300)]
    legs += [leg(3 + step / 100, 100 + 2 * (step % 2), number=300 + step) for step in range(500)]
    assert seen.seconds_until_evacuated(legs, {101}, S, 8 * S) == 2.0
    assert (
        seen.seconds_until_evacuated(
            [*legs, *(leg(6, 101, number=1000 + n) for n in range(9))], {101}, S, 8 * S
        )
        > 5.0
    )
    assert seen.seconds_until_evacuated([*legs, leg(6, 101, number=1000)], {101}, S, 8 * S) == 2.0  # a probe


def test_sums_at_a_cold_node_are_over_all_gateways_and_end_with_the_cold():
    up = r.NodeStarted(t=0, node=100, shard=0, zone=0, capacity=1e9, cold_from=0.5, cold_for=4 * S)
    legs = [
        leg(1, 100, 10, 1, "g0"),
        leg(1.2, 100, 10, 2, "g1"),
        leg(3, 100, 10, 3, "g2"),
        leg(5, 100, 50, 4),
    ]
    sums = seen.slow_start_load([up, *legs], 3 * S // 2)
    assert (sums.units, sums.attempts) == (20, 3) and 0.05 < sums.capacity_ratio < 0.15
    assert seen.judge_slow_start_load([up, *legs], 3 * S // 2, 19).breaches
    assert not seen.judge_slow_start_load([up, *legs], 3 * S // 2, 20).breaches


def test_a_denial_counts_where_a_node_elsewhere_was_idle():
    ups = [r.NodeStarted(t=0, node=n, shard=0, zone=n - 100, capacity=1e9) for n in (100, 101)]
    asked = r.RequestSent(
        t=S,
        gateway="g0",
        conn=1,
        id=1,
        trace="1.0",
        request_class="p",
        tenant="",
        volume=1,
        key=7,
        units=1,
        timeout=S,
        shard=0,
    )
    told = r.ResponseReceived(t=2 * S, gateway="g0", conn=1, id=1, trace="1.0", outcome="denied")
    assert seen.count_avoidable_denials([*ups, asked, told], {100}, 0, 9 * S) == 1
    busy = [leg(1.5, 101, number=n) for n in (1, 2)]
    assert seen.count_avoidable_denials([*ups, asked, told, *busy], {100}, 0, 9 * S) == 0
    assert seen.count_avoidable_denials([*ups, asked, told], {100, 101}, 0, 9 * S) == 0


def dump(gateway, *values, digest=""):
    return seen.ChannelDump(
        t=0, gateway=gateway, channel="c", digest=digest or repr(values), values=list(values)
    )


def appended(value, how):
    return seen.AppendEnded(t=0, gateway="g0", channel="c", value=value, requested_at=0, outcome=how)


def test_logs_that_differ_lack_or_repeat_entries_are_found():
    same = [dump(name, "a", "b") for name in NAMES]
    assert not seen.judge_equal_logs(same, NAMES).breaches
    assert seen.judge_equal_logs(same[:2], NAMES).breaches
    assert seen.judge_equal_logs([*same[:2], dump("g2", "b", "a")], NAMES).breaches
    kept = [appended("a", "kept"), appended("b", "lost"), appended("x", "lost"), appended("y", "refused")]
    assert not seen.judge_durability(kept, same).breaches  # an append without an answer may be there or not
    assert seen.judge_durability([appended("c", "kept")], same).breaches
    assert seen.judge_durability([appended("a", "refused")], same).breaches
    assert seen.judge_durability([], [dump("g0", "a", "a")]).breaches


def stream(gateway, *entries, reader=1, t=0):
    told = [(each.rstrip("!"), each.endswith("!")) for each in entries]
    return seen.EntriesRead(t=t, gateway=gateway, reader=reader, channel="c", entries=told)


@pytest.mark.parametrize(
    "reads, broken",
    [
        ([stream("g0", "a", "b"), stream("g1", "a", "b", "c"), stream("g2")], False),
        ([stream("g0", "a", "b"), stream("g0", "c", t=1), stream("g1", "a", "b", "c")], False),
        ([stream("g0", "a", "c"), stream("g1", "a", "b", "c")], True),
        ([stream("g0", "b", "a")], True),
        ([stream("g0", "a", "a")], True),
        ([stream("g0", "a", "c", "b!"), stream("g1", "a", "b!", "c")], False),
        ([stream("g0", "a", "c", "b!"), stream("g1", "a", "b", "c")], True),
        ([stream("g0", "a", "x")], True),  # in no log
    ],
)
def test_streams_that_are_no_prefixes_of_one_order_are_found(reads, broken):
    assert bool(seen.judge_read_order(reads, [dump("g0", "a", "b", "c")]).breaches) is broken


def test_readers_that_get_no_further_are_found():
    dumps = [dump("g0", "a", "b"), dump("g1", "a", "b")]
    whole = [stream("g0", "a", "b"), stream("g1", "a"), stream("g1", "a", "b", reader=2)]
    assert not seen.judge_complete_reads(whole, dumps, NAMES).breaches
    assert seen.judge_complete_reads(whole[:2], dumps, NAMES).breaches


def settled(edge, edition="g0/1/1", gateway="g0"):
    return seen.PurgeSettled(
        t=0, gateway=gateway, edge=edge, rule="close", date="2026-12-02", edition=edition
    )


def test_purges_that_are_owed_doubled_or_from_two_editions_are_found():
    moments = [("close", "2026-12-02")]
    once = [settled(name) for name in NAMES]
    assert not purges.judge_single_purges(once, NAMES, moments).breaches
    assert purges.judge_single_purges(once[:2], NAMES, moments).breaches
    assert purges.judge_single_purges([*once, settled("g1")], NAMES, moments).breaches
    assert purges.judge_single_purges([*once[:2], settled("g2", "g1/1/4")], NAMES, moments).breaches
    assert purges.judge_single_purges([], NAMES, moments).breaches


@pytest.mark.parametrize(
    "asked, told, made, broken",
    [
        (9.0, 9.1, 5.0, False),  # before the moment
        (9.9, 10.1, 9.0, False),  # on its way over it
        (9.9, 10.5, 9.0, True),  # a read that was under way across it, and too late
        (10.1, 10.2, 9.0, True),
        (10.1, 10.2, 10.15, False),
    ],
)
def test_answers_from_before_the_moment_are_found(asked, told, made, broken):
    records = [
        r.RequestSent(t=round(asked * S), gateway="g0", conn=1, id=1, trace="1.0", request_class="p", tenant="", volume=1, key=7, units=1, timeout=S),
        r.ResponseReceived(t=round(told * S), gateway="g0", conn=1, id=1, trace="1.0", outcome="fulfilled", made_at=round(made * S)),
    ]  # fmt: skip
    finding = purges.judge_stale_responses(records, {"g0": 10 * S}, S // 4, {"p"})
    assert bool(finding.breaches) is broken and finding.tested == (told > 10)


@pytest.mark.parametrize(
    "asked, told, made, broken",
    [
        (8.9, 12.2, 9.0, False),  # its node answered, and the process stood still with the answer
        (8.9, 12.3, 9.0, True),  # it ran long enough since
        (9.2, 12.1, 9.0, True),  # a copy from before it was asked for
        (10.1, 12.1, 9.9, True),  # asked for after the moment
    ],
)
def test_what_a_node_made_is_on_its_way_while_the_process_stands_still(asked, told, made, broken):
    records = [
        r.RequestSent(t=round(asked * S), gateway="g0", conn=1, id=1, trace="1.0", request_class="p", tenant="", volume=1, key=7, units=1, timeout=S),
        r.GatewayPaused(t=round(9.5 * S), gateway="g0"),
        r.GatewayPaused(t=12 * S, gateway="g0", resumed=True),
        r.ResponseReceived(t=round(told * S), gateway="g0", conn=1, id=1, trace="1.0", outcome="fulfilled", made_at=round(made * S)),
    ]  # fmt: skip
    assert bool(purges.judge_stale_responses(records, {"g0": 10 * S}, S // 4, {"p"}).breaches) is broken


def test_a_breach_of_old_answers_says_when_it_was_asked_how_answered_and_how_its_gateway_stood():
    def read(conn, asked, made, told):
        return [
            r.RequestSent(t=round(asked * S), gateway="g0", conn=conn, id=1, trace=f"{conn}.0", request_class="p", tenant="", volume=1, key=7, units=1, timeout=S),
            r.ResponseReceived(t=round(told * S), gateway="g0", conn=conn, id=1, trace=f"{conn}.0", outcome="fulfilled", made_at=round(made * S)),
        ]  # fmt: skip

    leg = r.AttemptReceived(t=9 * S, node=1, gateway="g0", conn=9, id=1, idempotency_key="m", trace="2.0", number=0, request_class="p", volume=1, key=7, units=1.0, work=1.0)  # fmt: skip
    records = [*read(1, 10.1, 9.5, 10.2), *read(2, 8.9, 9.2, 11.0), *read(3, 8.9, 9.2, 11.0), leg]
    held = [
        seen.ZoneStateSample(t=9 * S, gateway="g0", zones={}, copies="", wall_ms=9000),
        seen.ZoneStateSample(t=10 * S, gateway="g0", zones={}, copies="too few edges", wall_ms=10_400),
    ]
    told = purges.judge_stale_responses(records, {"g0": 10 * S}, S // 4, {"p"}, held).breaches
    assert "asked 100 ms after the moment, answered from a copy 600 ms old as it was asked" in told[0]
    assert "200 ms before: copies not used: too few edges, wall clock +400 ms off" in told[0]
    assert "asked 1100 ms before the moment, answered by its own leg" in told[1]
    assert "answered by another read's leg" in told[2]


@pytest.mark.parametrize("asked, broken", [(9.9, False), (10.05, True)])
def test_an_old_answer_is_excused_by_the_clients_own_lateness_only_if_asked_before_the_moment(asked, broken):
    records = [
        r.RequestSent(t=round(asked * S), gateway="g0", conn=1, id=1, trace="1.0", request_class="p", tenant="", volume=1, key=7, units=1, timeout=S),
        r.ResponseReceived(t=round(10.5 * S), gateway="g0", conn=1, id=1, trace="1.0", outcome="fulfilled", made_at=9 * S),
        r.EventLoopStalled(t=round(10.5 * S), process="clients", duration=round(0.3 * S)),
    ]  # fmt: skip
    finding = purges.judge_stale_responses(records, {"g0": 10 * S}, S // 4, {"p"})
    assert bool(finding.breaches) is broken and finding.excused == (not broken)


# --- the days ---


@pytest.mark.parametrize("name", MADE)
def test_days_have_gateways_for_all_that_strikes_them(name):
    this = together(name)
    check(this.day, name)
    assert all(index < this.day.gateways for step in this.steps for index in (*step.who, *step.others))
    with pytest.raises(BadDay):
        together(name, gateways=5)


@pytest.mark.real_time
@pytest.mark.parametrize("name", [name for name in MADE if name not in (*WORSE, *VIRTUAL)])
def test_a_day_of_a_fleet_keeps_all_that_it_asks(name, tmp_path):
    command = [sys.executable, "-m", "ochrecourse", "day", "run", name, "--json", "--keep", tmp_path]
    ran = subprocess.run(command, capture_output=True, text=True, timeout=LONG)
    assert ran.returncode == 0, ran.stdout + ran.stderr
    told = json.loads(ran.stdout)
    assert told["kept"] and told["endings"]["fulfilled"] > 500
    beyond = told["rules"][7:]
    assert beyond and all(each["tested"] for each in beyond if "answered" not in each["rule"]), beyond
    if name == "purge-night":
        # The judge of old answers finds some in these very records, were the site to close a little later.
        assert told["figures"]["answers from copies"] > 100
        records = list(r.read([tmp_path / "shared" / "clients.jsonl"]))
        begun = next(each.t for each in records if isinstance(each, r.FaultChanged) and each.kind == BEGINS)
        for late, broken in ((0, False), (4, True)):
            moments = dict.fromkeys(
                ("g0", "g1", "g4", "g5"), begun + round((together(name).close_s + late) * S)
            )
            assert (
                bool(purges.judge_stale_responses(records, moments, S // 4, {"page-read"}).breaches) is broken
            )
