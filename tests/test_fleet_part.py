"""Gateways of one fleet on the virtual network, in the shipped code: they meet, agree, and bear each other's faults."""

import json
import signal
import socket
import subprocess
import sys
import time
from types import SimpleNamespace

import pytest
from twisted.internet.protocol import ClientFactory, Protocol

from ochrecourse import library
from ochrecourse.cli.control_answers import answer
from ochrecourse.fleet.zone_context import FleetPlacement
from ochrecourse.fleet.zone_settings import ZoneSettings
from ochrecourse.storage.journal import FileJournal, MemoryJournal
from ochrecourse.fleet.entries import Entry, Timestamp
from ochrecourse.fleet.log import AppendRejectedError
from ochrecourse.fleet.messages import Entries, Hello, HeartbeatBatch, encode_frame
from ochrecourse.fleet.member import FleetMember
from ochrecourse.fleet.member_environment import JOURNAL, MemberEnvironment
from ochrecourse.fleet.peer_links import MAX_UNGREETED_LINKS
from ochrecourse.gateway.daemon import Daemon
from ochrecourse.fleet.zone_controller import ZoneController
from ochrecourse.fleet.zone_subsystem import ZoneSubsystem
from ochrecourse.gateway.daemon_parts import HostProgram
from ochrecourse.gateway.socket_handover import handover_obstacle
from ochrecourse.common.request_records import RequestRecord
from ochrecourse.gateway.request_log import RequestLog
from ochrecourse.interface import Ending, Health, NodeEntry
from ochrecourse.lab.virtual import VirtualNetwork, Way
from ochrecourse.common.runtime import now_ns
from ochrecourse.common.time_units import MS, SECOND
from ochrecourse.settings.load import resolve
from ochrecourse.settings.load import SettingsError

CUT = Way(cut=True)
EPOCH = 1_700_000_000_000  # ms since 1970 at the virtual clock's zero
SAID = {
    "name": "f", "listen": "127.0.0.1:0", "peers": [], "beat": 250.0, "quiet": 2000.0, "let_go": 600_000.0,
    "clock_bound": 500.0, "ahead": 3_600_000.0, "shift": 0.0,
    "log": {"entry": 65_536.0, "channel": 16_777_216.0, "channels": 1024, "flight": 256, "catch_up": 1_048_576.0},
}  # fmt: skip


class Beside:
    """A gateway, as far as a part needs one."""

    def __init__(self, name):
        self.name = name
        self.bounds = []
        self.request_log = RequestLog()
        self.attempt_observers = []

    def node_rates_received(self, bounds):
        self.bounds.append(dict(bounds))


class Fleet:
    """Parts by name on one network; each has the ports of the others."""

    def __init__(self, names, seed=1, **changes):
        self.network = VirtualNetwork(seed)
        self.hosts = {name: self.network.host(name) for name in names}
        self.ports = {name: 20_000 + i for i, name in enumerate(sorted(names))}
        self.changes = changes
        self.journals = {name: MemoryJournal() for name in names}
        self.lines = []
        self.parts = {}
        self.lives = 0
        for name in names:
            self.start(name)

    def said(self, name, **changes):
        peers = [{"name": n, "address": f"127.0.0.1:{p}"} for n, p in self.ports.items() if n != name]
        return {**SAID, "peers": peers, **self.changes, **changes}

    def start(self, name, **changes):
        self.lives += 1

        def say(event, **more):
            self.lines.append((name, event, more))

        environment = MemberEnvironment(
            Beside(name), self.hosts[name], self.journals[name], self.lives,
            lambda: EPOCH + int(self.network.seconds() * 1000), say,
        )  # fmt: skip
        part = FleetMember(self.said(name, **changes), environment)
        part.start(where=f"127.0.0.1:{self.ports[name]}")
        self.parts[name] = part
        return part

    def cut(self, here, there, way=CUT):
        """The ways between them, both; None mends."""
        for a in here:
            for b in there:
                self.network.set_way(a, b, way)
                self.network.set_way(b, a, way)

    def reached(self, name):
        return "".join(self.parts[name].members.reachable(now_ns(self.network)))

    def run(self, seconds):
        self.network.advance(seconds)

    def said_of(self, event, **more):
        return [e for e in self.lines if e[1] == event and more.items() <= e[2].items()]

    def dumps(self, channel="c"):
        return {part.dump(channel) for part in self.parts.values()}


@pytest.fixture
def make_fleet():
    return Fleet


def bodies(part, channel="c"):
    return [told.entry.body for told in part.read(channel, "", 10_000)[0]]


def test_three_gateways_hold_the_same_and_read_it_in_the_same_order(make_fleet):
    fleet = make_fleet("abc")
    fleet.run(3)
    for i in range(30):
        fleet.parts["abc"[i % 3]].append("c", i)
        fleet.run(0.01)
    fleet.run(2)
    assert len(fleet.dumps()) == 1
    assert [bodies(part) for part in fleet.parts.values()] == [[str(i).encode() for i in range(30)]] * 3
    assert {len(part.members.reachable(int(fleet.network.now * 1e9))) for part in fleet.parts.values()} == {3}
    assert {len(part.peer_links.by_peer) for part in fleet.parts.values()} == {2}


# --- cut off, gone, back ---


def test_one_that_was_cut_off_catches_up_and_its_own_entries_come_in(make_fleet):
    fleet = make_fleet("abc")
    fleet.run(3)
    fleet.cut("c", "ab")
    fleet.run(3)
    assert fleet.reached("a") == fleet.reached("b") == "ab" and fleet.reached("c") == "c"
    for i in range(40):
        fleet.parts["abc"[i % 3]].append("c", i)
    fleet.run(2)
    # What c has not seen is held back from readers, as c may still say something that comes before it.
    assert len(bodies(fleet.parts["a"])) < 27
    fleet.cut("c", "ab", None)
    fleet.run(5)
    assert len(fleet.dumps()) == 1
    assert all(sorted(map(int, bodies(part))) == list(range(40)) for part in fleet.parts.values())


def test_a_link_that_is_cut_one_way_is_made_anew_and_news_go_round(make_fleet):
    fleet = make_fleet("abc")
    fleet.run(3)
    fleet.network.set_way("a", "b", CUT)  # b hears nothing from a; a hears b
    fleet.run(6)
    assert fleet.reached("b") == "abc"  # through c
    assert fleet.said_of("fleet link down", peer="a", why="nothing was heard for too long")
    fleet.network.set_way("a", "b", None)
    fleet.run(5)
    assert {len(part.peer_links.by_peer) for part in fleet.parts.values()} == {2}


@pytest.mark.parametrize(
    "way", [Way(lose=0.1), Way(repeat=0.2), Way(lose=0.05, repeat=0.05, late=(0.0, 0.3))]
)
def test_ways_that_lose_repeat_and_delay_spoil_nothing(make_fleet, way):
    fleet = make_fleet("abc", seed=3)
    fleet.cut("abc", "abc", way)
    for i in range(100):
        fleet.parts["abc"[i % 3]].append("c", i)
        fleet.run(0.1)
    fleet.run(10)
    fleet.cut("abc", "abc", None)
    fleet.run(10)
    assert len(fleet.dumps()) == 1 and len(bodies(fleet.parts["b"])) == 100
    assert not any(part.peer_errors for part in fleet.parts.values())


def test_a_gateway_that_comes_back_does_so_in_a_new_life_with_all_that_it_answered(make_fleet):
    fleet = make_fleet("abc")
    fleet.run(2)
    lives, values = [], []
    for i in range(4):
        lives.append(fleet.parts["a"].log.incarnation)
        values.append(i)
        fleet.parts["a"].append("c", i)
        fleet.parts["a"].kill()  # before anybody heard of it
        fleet.run(1)
        fleet.start("a")
        fleet.run(4)
    assert lives == sorted(set(lives)) and fleet.parts["a"].log.incarnation > lives[-1]
    assert len(fleet.dumps()) == 1
    assert [int(body) for body in bodies(fleet.parts["c"])] == values


def test_killed_at_any_write_nothing_that_was_answered_is_lost(make_fleet, tmp_path):
    """The journal is cut at every byte of what four appends wrote, as a kill would leave it."""
    path = tmp_path / "a.log"
    fleet = make_fleet("a")
    fleet.journals["a"] = FileJournal(path, *JOURNAL)
    fleet.parts["a"].kill()
    part = fleet.start("a")
    ends, life = [], part.log.incarnation
    for i in range(4):
        part.append("c", i)
        ends.append(path.stat().st_size)
    part.kill()
    whole = path.read_bytes()
    for size in range(ends[0] - 20, len(whole) + 1):
        path.write_bytes(whole[:size])
        fleet.journals["a"] = FileJournal(path, *JOURNAL)
        part = fleet.start("a")
        held = [json.loads(entry.body) for entry in part.log.events("c")]
        assert held == list(range(sum(end <= size for end in ends)))
        assert part.log.incarnation > life
        part.kill()
        fleet.run(0.01)


class Full(MemoryJournal):
    """A journal on a disk that is full for a while."""

    full = False

    def append(self, record):
        if self.full:
            raise OSError(28, "No space left on device")
        super().append(record)

    def rewrite(self, records):
        if self.full:
            raise OSError(28, "No space left on device")
        super().rewrite(records)


def test_a_full_disk_refuses_appends_and_nothing_else(make_fleet):
    fleet = make_fleet("ab")
    fleet.parts["a"].kill()
    disk = fleet.journals["a"] = Full()
    part = fleet.start("a")
    fleet.run(3)
    disk.full = True
    for _ in range(3):
        with pytest.raises(OSError, match="No space left"):
            part.append("c", 1)
    fleet.parts["b"].append("c", 2)
    fleet.run(5)
    assert fleet.reached("a") == "ab" and len(fleet.dumps()) == 1
    assert part.figures()["fleet_appends_refused_total"] >= 3
    assert len(fleet.said_of("fleet append refused")) == 1  # one line, however often
    disk.full = False
    part.append("c", 3)
    part.kill()
    fleet.start("a")
    fleet.run(5)
    assert [int(body) for body in bodies(fleet.parts["a"])] == [2, 3]


def test_a_full_channel_refuses_with_its_reason_and_the_others_go_on(make_fleet):
    fleet = make_fleet("ab", log={**SAID["log"], "channel": 4096.0})
    fleet.run(3)
    with pytest.raises(AppendRejectedError, match="channel c is full"):
        for _ in range(100):
            fleet.parts["a"].append("c", "x" * 100)
    fleet.parts["a"].append("d", 1)
    with pytest.raises(AppendRejectedError, match="no text"):
        fleet.parts["a"].append("\ud800", 1)
    fleet.run(3)
    # A program that keeps the channel puts a value in place of what is settled, and there is room again.
    for part in fleet.parts.values():
        part.compact("c", part.log.events("c")[-1].at, {"kept": 0})
    fleet.parts["a"].append("c", 1)
    fleet.run(2)
    assert len(fleet.dumps()) == 1


def test_a_lost_disk_is_a_new_gateway_that_gets_the_snapshot(make_fleet):
    fleet = make_fleet("abc")
    fleet.run(3)
    for i in range(10):
        fleet.parts["c"].append("c", i)
    fleet.run(3)
    upto = fleet.parts["a"].log.events("c")[-1].at
    for part in fleet.parts.values():
        part.compact("c", upto, {"sum": 45})
    fleet.parts["c"].kill()
    fleet.journals["c"] = MemoryJournal()
    fleet.run(1)
    fleet.start("c")
    fleet.parts["a"].append("c", 10)
    fleet.run(6)
    told, cursor = fleet.parts["c"].read("c")
    assert [each.snapshot is not None for each in told] == [True, False]
    assert json.loads(told[0].snapshot.value) == {"sum": 45} and told[1].entry.body == b"10"
    assert fleet.parts["c"].read("c", cursor) == ([], cursor)
    assert len(fleet.dumps()) == 1


@pytest.mark.parametrize("shift", [-3_000_000.0, 3_000_000.0])
def test_a_wrong_clock_is_named_and_spoils_neither_order_nor_frontier(make_fleet, shift):
    fleet = make_fleet("abc")
    fleet.parts["b"].kill()
    fleet.journals["b"] = MemoryJournal()
    fleet.start("b", shift=shift)
    fleet.run(4)
    for i in range(30):
        fleet.parts["abc"[i % 3]].append("c", i)
        fleet.run(0.02)
    fleet.run(4)
    assert len({tuple(bodies(part)) for part in fleet.parts.values()}) == 1
    assert [int(body) for body in bodies(fleet.parts["a"])] == list(range(30))
    assert any("ahead" in note for part in fleet.parts.values() for note in part.log.notes)


def test_a_clock_beyond_the_bound_ends_links_with_one_line_and_the_others_go_on(make_fleet):
    fleet = make_fleet("abc")
    fleet.parts["b"].kill()
    fleet.start("b", shift=7_200_000.0)
    fleet.run(10)
    assert fleet.reached("a") == "ac"
    lines = fleet.said_of("fleet link refused", peer="b")
    assert lines and all("s ahead" in more["why"] for _, _, more in lines) and len(lines) < 14


# --- peers that break rules ---

HELLO = {"version_in_force": 1, "fleet": "f", "name": "b", "incarnation": 5}


class Liar:
    """A raw connection to a gateway of the fleet: it says what it is told to, and keeps what it got."""

    def __init__(self, fleet, name):
        liar = self
        self.got, self.ended, self.transport = b"", False, None

        class End(Protocol):
            def connectionMade(self):
                liar.transport = self.transport

            def dataReceived(self, data):
                liar.got += data

            def connectionLost(self, reason=None):
                liar.ended = True

        fleet.network.connectTCP("127.0.0.1", fleet.ports[name], ClientFactory.forProtocol(End))
        fleet.run(0.01)

    def fault(self):
        _, said, rest = self.got.partition(b'{"m":"fault"')
        return json.loads((said + rest).split(b"\r\n")[0]) if said else None


ROW = ["b", 1, EPOCH, 0, 0, 0, {"life": 5, "zone": 0, "seq": 0, "head": "", "before": []}]
LIES = {
    "form": encode_frame(Hello(**{**HELLO, "version_in_force": 9})),
    "fleet": encode_frame(Hello(**{**HELLO, "fleet": "g"})),
    "name": encode_frame(Hello(**{**HELLO, "name": "a"})),
    "not_admitted": encode_frame(Hello(**{**HELLO, "name": "nobody"})),
    "no_hello": encode_frame(HeartbeatBatch(), b"[]"),
    "bad_header": b"GET / HTTP/1.1\r\n",
    "oversize": b"x" * 5000,
    "flood": encode_frame(Hello(**HELLO)) + encode_frame(HeartbeatBatch(), b"[]") * 3000,
    "bad_row": encode_frame(Hello(**HELLO))
    + encode_frame(HeartbeatBatch(), json.dumps([["x", 1, 1, 0, 0, 0, None]]).encode()),
    "bad_entry": encode_frame(Hello(**HELLO)) + encode_frame(Entries(), b'[["c","b",5,0,[1,0],[],"MQ=="]]'),
    "ahead": encode_frame(Hello(**HELLO))
    + encode_frame(HeartbeatBatch(), json.dumps([[*ROW[:2], EPOCH * 2, *ROW[3:]]]).encode()),
    "slow": encode_frame(Hello(**HELLO)) + b'{"m":"rows","body":9}\r\n[',
}


@pytest.mark.parametrize("code", LIES)
def test_a_peer_that_breaks_a_rule_is_told_which_and_the_others_are_unharmed(make_fleet, code):
    fleet = make_fleet("ac")
    fleet.ports["b"] = 20_900  # nobody listens there
    for name in "ac":
        fleet.parts[name].kill()
        fleet.start(name)
    fleet.run(2)
    before = fleet.dumps(), set(fleet.parts["a"].members.heartbeats)
    liar = Liar(fleet, "a")
    liar.transport.write(LIES[code])
    fleet.run(0.5)
    if code == "slow":
        fleet.run(6)
    assert liar.ended and liar.fault()["code"] == code
    assert fleet.parts["a"].peer_errors == {code: 1}
    assert len(fleet.said_of("fleet link refused")) == 1
    assert (fleet.dumps(), set(fleet.parts["a"].members.heartbeats)) == before
    assert fleet.reached("a") == "ac"
    if code in ("flood", "bad_row", "bad_entry", "ahead"):
        again = Liar(fleet, "a")  # it rests, whoever dials
        again.transport.write(encode_frame(Hello(**HELLO)))
        fleet.run(0.1)
        assert again.ended
        assert len(fleet.said_of("fleet link refused")) == 1


def test_connections_that_say_nothing_are_bounded_and_end(make_fleet):
    fleet = make_fleet("ab")
    fleet.run(1)
    mute = [Liar(fleet, "a") for _ in range(MAX_UNGREETED_LINKS + 20)]
    fleet.run(0.1)
    up = [each for each in mute if each.transport is not None]
    assert len(up) == MAX_UNGREETED_LINKS and not any(each.ended for each in up)
    fleet.run(3)
    assert all(each.ended for each in up)
    assert fleet.reached("a") == "ab" and len(fleet.parts["a"].peer_links.links) == 1


def test_a_peer_that_does_not_read_holds_no_memory_and_is_left(make_fleet):
    fleet = make_fleet("ab")
    fleet.run(2)
    fleet.hosts["b"].stand_still(True)
    for _ in range(300):
        fleet.parts["a"].append("c", "x" * 50_000)
    fleet.run(1)
    link = next(iter(fleet.parts["a"].peer_links.links))
    assert link.transport.on_way_size < 2_000_000  # 15 MB were appended
    fleet.run(4)
    assert fleet.reached("a") == "a"
    fleet.hosts["b"].stand_still(False)
    fleet.run(30)  # at 1 MiB a second
    assert len(fleet.dumps()) == 1 and fleet.reached("a") == "ab"


# --- subsystems ---


class CountingSubsystem:
    """A subsystem that reports its beats, wants a few entries appended, and limits a node."""

    name = "counting"

    def __init__(self, wants=()):
        self.wanted, self.told, self.events, self.turns, self.nodes = list(wants), {}, [], 0, {}

    def status(self, now):
        return b'{"turns":%d}' % self.turns

    def status_received(self, name, zone, told, now):
        self.told[name] = json.loads(told)["turns"]

    def entry_received(self, entry, now):
        self.events.append(entry.body)

    def next_entry(self, now, reached):
        return self.wanted.pop(0) if self.wanted else None

    def node_rates(self, now):
        return self.nodes

    def beat_passed(self, now):
        self.turns += 1


class CountingTenant:
    """The same with the method names of library surface 1, and the two that a tenant need not have."""

    name = "counting"

    def __init__(self, wants=()):
        self.wanted, self.told, self.events, self.turns, self.nodes = list(wants), {}, [], 0, {}

    def sight(self, now):
        return b'{"turns":%d}' % self.turns

    def heard(self, name, zone, told, now):
        self.told[name] = json.loads(told)["turns"]

    def event(self, entry, now):
        self.events.append(entry.body)

    def wants(self, now, reached):
        return self.wanted.pop(0) if self.wanted else None

    def bounds(self, now):
        return self.nodes

    def turn(self, now):
        self.turns += 1

    def keeps(self, events, upto):
        return [each for each in events if b"counted" in each.body]

    def report(self):
        return {"turns": self.turns}


def test_subsystems_receive_each_others_statuses_append_entries_and_limit_nodes(make_fleet):
    fleet = make_fleet("ab")
    subsystems = {name: CountingSubsystem([("c", name)]) for name in "ab"}
    for name, subsystem in subsystems.items():
        fleet.parts[name].register(subsystem)
    fleet.run(3)
    assert subsystems["a"].told["b"] >= subsystems["b"].turns - 2 > 5
    assert sorted(e for e in subsystems["a"].events if e in (b'"a"', b'"b"')) == [b'"a"', b'"b"']
    subsystems["a"].nodes = {7: 2.5}
    fleet.run(1)
    assert fleet.parts["a"].gateway.bounds == [{7: 2.5}]  # told once, when it changed
    late = CountingSubsystem()
    late.name = "late"
    fleet.parts["b"].register(late)
    assert sorted(late.events) == sorted(subsystems["b"].events)
    subsystems["b"].status = lambda now: b"not json"
    fleet.run(1)
    assert fleet.parts["a"].peer_errors["bad_sight"] and fleet.reached("a") == "ab"


def test_the_librarys_part_and_tenant_take_the_calls_of_their_surface():
    network, journal, lines, got = VirtualNetwork(1), MemoryJournal(), [], []
    part = library.Part(
        SAID, Beside("a"), network.host("a"), journal, seed=1, epoch_ms=lambda: EPOCH + int(network.seconds() * 1000),
        say=lambda event, **more: lines.append(event), zone=1, zones=2, cold=0, names=("x", "y"),
    )  # fmt: skip
    part.start(where="127.0.0.1:20000")
    tenant: library.Tenant = CountingTenant([("c", 1)])
    part.lodge(tenant)
    part.follow("c", "", told=lambda told, cursor: got.extend(told))
    network.advance(3)
    assert tenant.turns > 5 and b"1" in tenant.events and "fleet joined" in lines
    assert [told.entry.body for told in got] == [b"1"] and part.read("c", cursor="", most=1)[0] == got
    part.stop()


def test_a_tenant_with_the_method_names_of_the_librarys_surface_is_called_as_a_subsystem_is(make_fleet):
    fleet = make_fleet("ab", log={**SAID["log"], "channel": 20_000.0})
    tenants = {name: CountingTenant([("c", name)]) for name in "ab"}
    for name, tenant in tenants.items():
        fleet.parts[name].register(library.TenantSubsystem(tenant))
    fleet.run(3)
    assert tenants["a"].told["b"] >= tenants["b"].turns - 2 > 5
    assert sorted(e for e in tenants["a"].events if e in (b'"a"', b'"b"')) == [b'"a"', b'"b"']
    tenants["a"].nodes = {7: 2.5}
    fleet.run(1)
    assert fleet.parts["a"].gateway.bounds == [{7: 2.5}]
    assert fleet.parts["a"].report()["counting"] == {"turns": tenants["a"].turns}
    for number in range(60):
        fleet.parts["a"].append("fleet", {"what": "counted", "number": number})
    fleet.run(130)  # over two whole minutes, in which channel `fleet` is compacted
    assert len(json.loads(fleet.parts["b"].log.snapshot("fleet").value)["counting"]) == 60
    tenants["b"].sight = lambda now: b"not json"
    fleet.run(1)
    assert fleet.parts["a"].peer_errors["bad_sight"] and fleet.reached("a") == "ab"


def test_decisions_that_others_replaced_go_and_a_lost_disk_still_knows_what_stands(make_fleet):
    zones = {"window": 2000.0}
    fleet = make_fleet("abc", zones=zones, log={**SAID["log"], "channel": 20_000.0})
    fleet.run(3)
    for number in range(1, 61):
        body = {"what": "zone", "zone": 0, "standing": "in doubt" if number % 2 else "in", "number": number}
        fleet.parts["a"].append("fleet", body)
    fleet.run(130)  # over two whole minutes
    for part in fleet.parts.values():
        assert part.log.channel_bytes("fleet") < 10_000 and part.zones.state_of(0)[1] >= 60
    assert len(fleet.dumps("fleet")) == 1
    number = fleet.parts["a"].zones.state_of(0)[1]
    fleet.parts["c"].kill()
    fleet.journals["c"] = MemoryJournal()
    fleet.start("c")
    fleet.run(3)
    assert fleet.parts["c"].zones.state_of(0)[1] == number
    assert fleet.parts["c"].log.frontier() > Timestamp(EPOCH, 0)


def test_legs_that_ended_and_legs_that_are_silent_are_evidence_once_each():
    zones = ZoneController(ZoneSettings(), FleetPlacement(2, "a", 0, 3))
    books = RequestLog()
    watch = ZoneSubsystem(zones, books, 15 * SECOND, lambda: EPOCH)
    nodes = [NodeEntry(1, 0, 0, Health.READY, 0), NodeEntry(2, 1, 0, Health.READY, 50 * SECOND)]
    watch.nodes_are([*nodes, NodeEntry(3, 1, 0, Health.GONE, 0)], 0)
    assert zones.context.nodes.by_node == {1: (0, 0, True, 0), 2: (1, 0, True, 65 * SECOND)}

    def leg(job, node, sent, ended=None, ending=Ending.SERVED):
        if job not in books.requests:
            books.add(RequestRecord(job, 0, 0, 1, 2.0, sent, sent + SECOND, sent + SECOND))
        story = books.attempt_sent(job, len(books.requests[job].attempts), node, sent)
        if ended is not None:
            watch.attempt_ended(
                *books.attempt_ended(job, story.attempts[-1].number, ending, "", ended), ended
            )
        return story

    now = 100 * SECOND
    for job in range(10):
        leg(job, 1, now, now + 30 * MS)
    assert watch.usual_duration[0] == 30 * MS
    leg(20, 2, now)
    watch.beat_passed(now + 200 * MS)
    assert (
        2 not in zones.context.observations.by_node
    )  # four times its usual time, but a pause of one process is as long
    for beat in range(3):
        watch.beat_passed(now + 300 * MS + beat * 250 * MS)
    assert zones.context.observations.by_node[2].failures == 1
    watch.attempt_ended(*books.attempt_ended(20, 0, Ending.TIMEOUT, "", now + SECOND), now + SECOND)
    assert zones.context.observations.by_node[2].failures == 1  # the same leg, counted already
    leg(21, 2, now, now + SECOND, Ending.UNREACHABLE)
    assert zones.context.observations.by_node[2].failures == 2


def test_of_the_events_a_snapshot_stands_for_those_that_still_matter_are_kept():
    zones = ZoneController(ZoneSettings(), FleetPlacement(3, "a", 0, 3))
    watch = ZoneSubsystem(zones, RequestLog(), 0, lambda: EPOCH)

    def event(seq, **body):
        return Entry("fleet", "a", 1, seq, Timestamp(EPOCH + seq, 0), (), json.dumps(body).encode())

    def said(seq, zone, number):
        return event(seq, what="zone", zone=zone, standing="left", number=number)

    events = [
        said(1, 0, 1), said(2, 0, 3), said(3, 0, 2), said(4, 2, 1), event(5, what="admit"),
        event(6, what="lend", zone=0, to="b", units=0.1, until=EPOCH - 700_000),
        event(7, what="lend", zone=0, to="b", units=0.1, until=EPOCH + 5000), event(8, what=7),
    ]  # fmt: skip
    assert [entry.seq for entry in watch.keeps(events, Timestamp(EPOCH, 0))] == [2, 4, 7]
    again = watch.keeps([*watch.keeps(events[:4], Timestamp(EPOCH, 0)), *events[4:]], Timestamp(EPOCH, 0))
    assert again == watch.keeps(events, Timestamp(EPOCH, 0))  # in one step or in two


# --- for people and programs ---


def test_a_person_leaves_a_zone_for_all_and_takes_it_back_and_each_gateway_says_so(make_fleet):
    fleet = make_fleet("abc", zones={})
    fleet.run(3)

    def ask(**asked):
        return answer(
            SimpleNamespace(fleet_member=fleet.parts["a"]), json.dumps({"do": "zone", **asked}).encode()
        )

    for asked in (
        {"zone": 0},
        {"zone": 1, "standing": "left"},
        {"zone": 0, "standing": "in doubt"},
        {"zone": True},
    ):
        assert "a number of a zone" in ask(**asked)["error"]
    for word in ("left", "in"):
        assert ask(zone=0, standing=word)["done"]
        fleet.run(20)  # far longer than a zone in which all is well would stay left by evidence
        stands = [part.report()["zones"]["zones"]["0"] for part in fleet.parts.values()]
        assert {each["standing"] for each in stands} == {word} and all(each["hand"] for each in stands)
    for name in "abc":
        said = [more for who, event, more in fleet.lines if (who, event) == (name, "zone standing")]
        assert [(each["zone"], each["standing"], each["by"]) for each in said] == [
            (0, "left", "a"),
            (0, "in", "a"),
        ]
    assert ask(zone=0, standing="left")["done"] and ask(zone=0, standing="returning")["done"]
    fleet.run(1)
    stands = [part.zones.context.decisions.of(0) for part in fleet.parts.values()]
    # From here on evidence leads: the pace rises step by step, and nobody has to take it back by hand.
    assert all(each.number >= 4 and not each.by_operator and 0.1 < each.fraction < 0.3 for each in stands)


def test_the_control_socket_appends_reads_and_dumps(make_fleet):
    fleet = make_fleet("ab")
    fleet.run(3)
    daemons = {name: SimpleNamespace(fleet_member=part) for name, part in fleet.parts.items()}

    def ask(name, **asked):
        return answer(daemons[name], json.dumps(asked).encode())

    done = ask("a", do="append", channel="c", value={"x": 1})
    assert done["done"] and done["writer"] == "a" and done["seq"] >= 1
    fleet.run(2)
    read = ask("b", do="read", channel="c")
    assert [each["value"] for each in read["entries"]] == [{"x": 1}] and not read["entries"][0]["late"]
    assert ask("b", do="read", channel="c", cursor=read["cursor"])["entries"] == []
    assert ask("a", do="dump", channel="c") == ask("b", do="dump", channel="c")
    report = ask("a", do="fleet")
    assert [each["reached"] for each in report["members"]] == [True, True] and report["behind_ms"] < 2000
    json.dumps(report)
    for asked, why in (
        ({"do": "append"}, "names no channel"), ({"do": "append", "channel": "c"}, "names no value"),
        ({"do": "append", "channel": "c", "value": "x" * 70_000}, "entry of 70002 bytes"),
        ({"do": "append", "channel": "", "value": 1}, "channel name of 0 characters"),
        ({"do": "read", "channel": "c", "cursor": "x"}, "not a cursor"),
        ({"do": "read", "channel": "c", "most": 0}, "most from 1"), ({"do": "read", "channel": 7}, "no channel"),
    ):  # fmt: skip
        assert why in ask("a", **asked)["error"]
    assert "no part fleet" in answer(SimpleNamespace(fleet_member=None), b'{"do":"fleet"}')["error"]
    figures = fleet.parts["a"].figures()
    assert figures["fleet_links"] == 1 and figures["fleet_members_reached"] == 2


def test_addresses_come_from_the_registry_where_the_settings_name_none(make_fleet):
    fleet = make_fleet("ab")
    for name, other in ("ab", "ba"):
        fleet.parts[name].kill()
        fleet.start(name, peers=[{"name": other, "address": ""}])
    fleet.run(3)
    assert fleet.reached("a") == "a"
    entries = [
        json.dumps({"name": name, "listen": "127.0.0.1:1", "fleet": part.listens()}).encode()
        for name, part in fleet.parts.items()
    ]
    for part in fleet.parts.values():
        part.registry_entries_received(
            [b"not json", b"[]", b'{"name": "b", "fleet": 7}', b'{"name": "zz", "fleet": "h:1"}', *entries]
        )
        assert len(part.peer_addresses.by_name) == 1
    fleet.run(3)
    assert fleet.reached("a") == fleet.reached("b") == "ab"


def test_a_program_follows_a_channel_from_where_it_left_off(make_fleet):
    fleet = make_fleet("ab")
    fleet.run(3)
    got = []
    stop = fleet.parts["b"].follow("c", "", lambda told, cursor: got.append((told, cursor)))
    for i in range(600):
        fleet.parts["a"].append("c", i)
    fleet.run(2)
    assert [int(each.entry.body) for told, _ in got for each in told] == list(range(600))
    stop()
    fleet.parts["a"].append("c", 600)
    fleet.run(2)
    more = []
    fleet.parts["a"].follow("c", got[-1][1], lambda told, cursor: more.extend(told))  # at another gateway
    assert [int(each.entry.body) for each in more] == [600] and sum(len(told) for told, _ in got) == 600
    with pytest.raises(AppendRejectedError):
        fleet.parts["a"].follow("c", "nowhere", lambda told, cursor: None)


GOOD = """
gateway: {name: "g0"}
list: address: "127.0.0.1:7000"
products: [{name: "read", promised: 250ms, client_timeout: 1.5s}]
plans: [{name: "open", rate: 120/min}]
zones: ["x", "y"]
fleet: {
	name: "f"
	peers: [{name: "g1", address: "127.0.0.1:1"}, {name: "g2", address: "127.0.0.1:2"}]
	zones: {}
}
"""


@pytest.mark.parametrize(
    ("old", "new", "told"),
    [
        ('"g2", address', '"g1", address', "g.cue:9:55: fleet.peers[1].name is 'g1', as is fleet.peers[0].name"),
        ("127.0.0.1:2", "127.0.0.1:1", "fleet.peers[1].address is '127.0.0.1:1', as is fleet.peers[0].address"),
        ('"g2", address', '"g0", address', "fleet.peers[1].name is 'g0', which is this gateway"),
        ("127.0.0.1:2", "nowhere", "g.cue:9:70: fleet.peers[1].address is 'nowhere'; an address is HOST:PORT"),
        ('"g2", address', '"", address', "fleet.peers[1].name has 0 bytes; a name in a fleet has 1 to 64"),
        ('"127.0.0.1:2"', '""', "fleet.peers[1].address is empty, and there is no registry where gateways enter"),
        ('name: "f"', 'name: "f", listen: "here"', "fleet.listen is 'here'; an address is HOST:PORT"),
        ('name: "f"', 'name: "f", quiet: 400ms', "fleet.quiet is shorter than two of fleet.beat"),
        ('name: "f"', 'name: "f", let_go: 1s', "fleet.let_go is shorter than fleet.quiet"),
        ('zones: ["x", "y"]', 'zones: ["x"]', "fleet.zones is there, but zones names fewer than two"),
        ("zones: {}", "zones: {first: 2}", "fleet.zones.first is 2; it must be <=1"),
        ('name: "f"', 'name: "f", pears: []', "there is no field 'fleet.pears'; did you mean 'peers'?"),
    ],
)  # fmt: skip
def test_each_mistake_in_the_settings_is_told_with_its_place(old, new, told):
    with pytest.raises(SettingsError) as trouble:
        resolve(GOOD.replace(old, new, 1), "g.cue")
    assert told in str(trouble.value) and len(trouble.value.troubles) == 1


def test_a_fleet_of_1024_resolves_and_zones_have_the_figures_of_the_module():
    peers = ", ".join(f'{{name: "p{i:04d}", address: "10.0.{i >> 8}.{i & 255}:7"}}' for i in range(1023))
    start, end = GOOD.index("peers: [") + 8, GOOD.index("]", GOOD.index("peers: ["))
    record = resolve(GOOD[:start] + peers + GOOD[end:], "g.cue")
    assert len(record["fleet"]["peers"]) == 1023
    # Guards against defaults that drift apart: schema.cue has them for people, the module for its own tests.
    # What a cold node bears is no default: the rules say it, as the next test has it.
    elsewhere = ("clock_bound", "cold")
    assert record["fleet"]["zones"] == {
        name: value for name, value in ZoneSettings().to_map().items() if name not in elsewhere
    }
    assert not handover_obstacle(record)  # its journal goes with its sockets


@pytest.mark.parametrize(("zones", "cold"), [("zones: {}", 9.0), ("zones: {cold: 2/s}", 2.0)])
def test_what_the_fleet_begins_at_a_cold_node_is_what_the_rules_say_unless_less_is_named(zones, cold):
    rules = "\nrules: {cold_units: 18, cold_fall: 2s}\n"
    record = resolve(GOOD.replace("zones: {}", zones) + rules, "g.cue")
    daemon = Daemon(record, HostProgram(VirtualNetwork(1), [], lambda note: None, lambda: None))
    assert daemon.fleet_member.zones.context.cold_node_rate == cold


def test_without_the_part_nothing_of_the_room_is_loaded():
    modules = "ochrecourse.gateway.daemon, ochrecourse.cli.serve, ochrecourse.cli.gateway_process, ochrecourse.cli.successor, ochrecourse.service.gateway_service, ochrecourse.service.start_settings"
    text = (
        f"import sys, {modules}; sys.exit(any(name.startswith('ochrecourse.fleet') for name in sys.modules))"
    )
    assert subprocess.run([sys.executable, "-c", text]).returncode == 0


# --- as processes, once ---


class Process:
    """One `serve` of a fleet, and its control socket."""

    def __init__(self, folder, name, ports):
        peers = ", ".join(f'{{name: "{n}", address: "127.0.0.1:{p}"}}' for n, p in ports.items() if n != name)
        own = f'gateway: {{name: "{name}", state: "{folder}", control: "{folder}/{name}.sock"}}'
        fleet = f'fleet: {{name: "f", listen: "127.0.0.1:{ports[name]}", peers: [{peers}], zones: {{}}}}'
        self.file, self.control = folder / f"{name}.cue", folder / f"{name}.sock"
        rest = GOOD.partition("list:")[2].partition("fleet:")[0]
        self.file.write_text(f"{own}\nlist:{rest}\n{fleet}\n")
        self.process = subprocess.Popen(
            [sys.executable, "-m", "ochrecourse", "serve", str(self.file)],
            stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True,
        )  # fmt: skip
        assert self.process.stdout.readline().startswith("listening ")
        assert self.process.stdout.readline() == f"fleet 127.0.0.1:{ports[name]}\n"

    def ask(self, **asked):
        with socket.socket(socket.AF_UNIX) as end:
            end.settimeout(10)
            end.connect(str(self.control))
            end.sendall(json.dumps(asked).encode() + b"\n")
            data = b""
            while not data.endswith(b"\n"):
                data += end.recv(65_536)
        return json.loads(data)

    def reached(self):
        return sum(each["reached"] for each in self.ask(do="fleet")["members"])


def free_ports(names):
    """Ports that were free just now; each is bound again at once."""
    held = [socket.create_server(("127.0.0.1", 0)) for _ in names]
    ports = {name: each.getsockname()[1] for name, each in zip(names, held, strict=True)}
    for each in held:
        each.close()
    return ports


def until(holds, seconds=60):
    end = time.monotonic() + seconds
    while not holds():
        assert time.monotonic() < end, "it did not come about"
        time.sleep(0.05)


def test_three_processes_hold_one_log_and_kill_9_loses_nothing_answered(tmp_path):
    ports, running, answered = free_ports("abc"), {}, []
    try:
        for name in ports:
            running[name] = Process(tmp_path, name, ports)
        until(lambda: all(each.reached() == 3 for each in running.values()))
        for i in range(30):
            done = running["abc"[i % 3]].ask(do="append", channel="c", value=i)
            answered.append((done["writer"], done["life"], done["seq"]))
            if i == 20:
                running["b"].process.kill()
                running["b"].process.wait()
                running["b"] = Process(tmp_path, "b", ports)
        until(lambda: len({each.ask(do="dump", channel="c")["dump"] for each in running.values()}) == 1)
        until(
            lambda: all(len(each.ask(do="read", channel="c")["entries"]) == 30 for each in running.values())
        )
        read = [each.ask(do="read", channel="c")["entries"] for each in running.values()]
        assert read[0] == read[1] == read[2]
        assert sorted(answered) == sorted((e["writer"], e["life"], e["seq"]) for e in read[0])
        for each in running.values():
            each.process.send_signal(signal.SIGTERM)
        assert [each.process.wait(20) for each in running.values()] == [0, 0, 0]
    finally:
        for each in running.values():
            each.process.kill()
            each.process.wait()
            each.process.stdout.close()
