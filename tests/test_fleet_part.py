"""Fleet members on the virtual network: gossip, convergence of the log, faults of networks, disks and peers."""

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


class FakeGateway:
    """A gateway as a fleet member uses it; records the rate limits that it receives."""

    def __init__(self, name):
        self.name = name
        self.rate_limits = []
        self.request_log = RequestLog()
        self.attempt_observers = []

    def node_rates_received(self, rates):
        self.rate_limits.append(dict(rates))


class Fleet:
    """Fleet members by name on one virtual network; each has the addresses of the others."""

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

        def write_log(event, **more):
            self.lines.append((name, event, more))

        environment = MemberEnvironment(
            FakeGateway(name), self.hosts[name], self.journals[name], self.lives,
            lambda: EPOCH + int(self.network.seconds() * 1000), write_log,
        )  # fmt: skip
        part = FleetMember(self.said(name, **changes), environment)
        part.start(where=f"127.0.0.1:{self.ports[name]}")
        self.parts[name] = part
        return part

    def cut(self, here, there, way=CUT):
        """Sets the network path between two groups of gateways in both directions; None restores it."""
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
    return [delivery.entry.body for delivery in part.read(channel, "", 10_000)[0]]


def test_three_gateways_store_the_same_entries_and_read_them_in_the_same_order(make_fleet):
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


# --- partitions and restarts ---


def test_a_partitioned_gateway_catches_up_and_its_own_entries_are_received(make_fleet):
    fleet = make_fleet("abc")
    fleet.run(3)
    fleet.cut("c", "ab")
    fleet.run(3)
    assert fleet.reached("a") == fleet.reached("b") == "ab" and fleet.reached("c") == "c"
    for i in range(40):
        fleet.parts["abc"[i % 3]].append("c", i)
    fleet.run(2)
    # Readers do not receive entries past the stability frontier, as c may still append an entry with an earlier position.
    assert len(bodies(fleet.parts["a"])) < 27
    fleet.cut("c", "ab", None)
    fleet.run(5)
    assert len(fleet.dumps()) == 1
    assert all(sorted(map(int, bodies(part))) == list(range(40)) for part in fleet.parts.values())


def test_a_link_cut_in_one_direction_is_replaced_and_heartbeats_are_relayed(make_fleet):
    fleet = make_fleet("abc")
    fleet.run(3)
    fleet.network.set_way("a", "b", CUT)  # b receives nothing from a; a receives from b
    fleet.run(6)
    assert fleet.reached("b") == "abc"  # through c
    assert fleet.said_of("fleet link down", peer="a", why="nothing was heard for too long")
    fleet.network.set_way("a", "b", None)
    fleet.run(5)
    assert {len(part.peer_links.by_peer) for part in fleet.parts.values()} == {2}


@pytest.mark.parametrize(
    "way", [Way(lose=0.1), Way(repeat=0.2), Way(lose=0.05, repeat=0.05, late=(0.0, 0.3))]
)
def test_logs_converge_over_paths_that_lose_repeat_and_delay(make_fleet, way):
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


def test_a_restarted_gateway_has_a_new_incarnation_and_all_acknowledged_entries(make_fleet):
    fleet = make_fleet("abc")
    fleet.run(2)
    incarnations, values = [], []
    for i in range(4):
        incarnations.append(fleet.parts["a"].log.incarnation)
        values.append(i)
        fleet.parts["a"].append("c", i)
        fleet.parts["a"].kill()  # before a peer receives the entry
        fleet.run(1)
        fleet.start("a")
        fleet.run(4)
    assert incarnations == sorted(set(incarnations)) and fleet.parts["a"].log.incarnation > incarnations[-1]
    assert len(fleet.dumps()) == 1
    assert [int(body) for body in bodies(fleet.parts["c"])] == values


def test_a_kill_at_any_journal_write_loses_no_acknowledged_entry(make_fleet, tmp_path):
    """Truncates the journal at each byte that four appends wrote, as a kill during a write leaves it."""
    path = tmp_path / "a.log"
    fleet = make_fleet("a")
    fleet.journals["a"] = FileJournal(path, *JOURNAL)
    fleet.parts["a"].kill()
    part = fleet.start("a")
    ends, incarnation = [], part.log.incarnation
    for i in range(4):
        part.append("c", i)
        ends.append(path.stat().st_size)
    part.kill()
    complete = path.read_bytes()
    for size in range(ends[0] - 20, len(complete) + 1):
        path.write_bytes(complete[:size])
        fleet.journals["a"] = FileJournal(path, *JOURNAL)
        part = fleet.start("a")
        values = [json.loads(entry.body) for entry in part.log.events("c")]
        assert values == list(range(sum(end <= size for end in ends)))
        assert part.log.incarnation > incarnation
        part.kill()
        fleet.run(0.01)


class FullDiskJournal(MemoryJournal):
    """A journal whose writes fail while `full` is set."""

    full = False

    def append(self, record):
        if self.full:
            raise OSError(28, "No space left on device")
        super().append(record)

    def rewrite(self, records):
        if self.full:
            raise OSError(28, "No space left on device")
        super().rewrite(records)


def test_on_a_full_disk_only_appends_are_rejected(make_fleet):
    fleet = make_fleet("ab")
    fleet.parts["a"].kill()
    disk = fleet.journals["a"] = FullDiskJournal()
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
    assert len(fleet.said_of("fleet append refused")) == 1  # one line for all of them
    disk.full = False
    part.append("c", 3)
    part.kill()
    fleet.start("a")
    fleet.run(5)
    assert [int(body) for body in bodies(fleet.parts["a"])] == [2, 3]


def test_a_full_channel_rejects_appends_with_a_reason_and_other_channels_accept_them(make_fleet):
    fleet = make_fleet("ab", log={**SAID["log"], "channel": 4096.0})
    fleet.run(3)
    with pytest.raises(AppendRejectedError, match="channel c is full"):
        for _ in range(100):
            fleet.parts["a"].append("c", "x" * 100)
    fleet.parts["a"].append("d", 1)
    with pytest.raises(AppendRejectedError, match="no text"):
        fleet.parts["a"].append("\ud800", 1)
    fleet.run(3)
    # Replacing the entries behind the frontier by a snapshot frees space in the channel.
    for part in fleet.parts.values():
        part.compact("c", part.log.events("c")[-1].at, {"kept": 0})
    fleet.parts["a"].append("c", 1)
    fleet.run(2)
    assert len(fleet.dumps()) == 1


def test_a_gateway_that_lost_its_disk_receives_the_snapshot(make_fleet):
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
    deliveries, cursor = fleet.parts["c"].read("c")
    assert [each.snapshot is not None for each in deliveries] == [True, False]
    assert json.loads(deliveries[0].snapshot.value) == {"sum": 45} and deliveries[1].entry.body == b"10"
    assert fleet.parts["c"].read("c", cursor) == ([], cursor)
    assert len(fleet.dumps()) == 1


@pytest.mark.parametrize("shift", [-3_000_000.0, 3_000_000.0])
def test_a_wrong_clock_is_reported_and_affects_neither_order_nor_frontier(make_fleet, shift):
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


def test_links_to_a_gateway_whose_clock_exceeds_the_bound_end_and_others_stay(make_fleet):
    fleet = make_fleet("abc")
    fleet.parts["b"].kill()
    fleet.start("b", shift=7_200_000.0)
    fleet.run(10)
    assert fleet.reached("a") == "ac"
    lines = fleet.said_of("fleet link refused", peer="b")
    assert lines and all("s ahead" in more["why"] for _, _, more in lines) and len(lines) < 14


# --- peers that violate the protocol ---

HELLO = {"version_in_force": 1, "fleet": "f", "name": "b", "incarnation": 5}


class Liar:
    """A raw connection to a gateway of the fleet; records the bytes that it receives."""

    def __init__(self, fleet, name):
        liar = self
        self.got, self.ended, self.transport = b"", False, None

        class Connection(Protocol):
            def connectionMade(self):
                liar.transport = self.transport

            def dataReceived(self, data):
                liar.got += data

            def connectionLost(self, reason=None):
                liar.ended = True

        fleet.network.connectTCP("127.0.0.1", fleet.ports[name], ClientFactory.forProtocol(Connection))
        fleet.run(0.01)

    def fault(self):
        """Returns the header of the error notice that was received, or None."""
        _, start, rest = self.got.partition(b'{"m":"fault"')
        return json.loads((start + rest).split(b"\r\n")[0]) if start else None


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
def test_a_peer_that_violates_the_protocol_receives_the_code_and_others_are_unaffected(make_fleet, code):
    fleet = make_fleet("ac")
    fleet.ports["b"] = 20_900  # no listener
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
        again = Liar(fleet, "a")  # the penalty also applies to connections that the peer makes
        again.transport.write(encode_frame(Hello(**HELLO)))
        fleet.run(0.1)
        assert again.ended
        assert len(fleet.said_of("fleet link refused")) == 1


def test_silent_connections_are_limited_in_number_and_closed(make_fleet):
    fleet = make_fleet("ab")
    fleet.run(1)
    silent = [Liar(fleet, "a") for _ in range(MAX_UNGREETED_LINKS + 20)]
    fleet.run(0.1)
    up = [each for each in silent if each.transport is not None]
    assert len(up) == MAX_UNGREETED_LINKS and not any(each.ended for each in up)
    fleet.run(3)
    assert all(each.ended for each in up)
    assert fleet.reached("a") == "ab" and len(fleet.parts["a"].peer_links.links) == 1


def test_a_peer_that_does_not_read_uses_bounded_memory_and_is_disconnected(make_fleet):
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
    """A subsystem that reports its number of beats, appends a few entries and limits a node."""

    name = "counting"

    def __init__(self, wants=()):
        self.wanted, self.statuses, self.events, self.turns, self.nodes = list(wants), {}, [], 0, {}

    def status(self, now):
        return b'{"turns":%d}' % self.turns

    def status_received(self, name, zone, status, now):
        self.statuses[name] = json.loads(status)["turns"]

    def entry_received(self, entry, now):
        self.events.append(entry.body)

    def next_entry(self, now, reached):
        return self.wanted.pop(0) if self.wanted else None

    def node_rates(self, now):
        return self.nodes

    def beat_passed(self, now):
        self.turns += 1


class CountingTenant:
    """The same with the method names of library surface 1, and its two optional methods."""

    name = "counting"

    def __init__(self, wants=()):
        self.wanted, self.statuses, self.events, self.turns, self.nodes = list(wants), {}, [], 0, {}

    def sight(self, now):
        return b'{"turns":%d}' % self.turns

    def heard(self, name, zone, told, now):
        self.statuses[name] = json.loads(told)["turns"]

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
    assert subsystems["a"].statuses["b"] >= subsystems["b"].turns - 2 > 5
    assert sorted(e for e in subsystems["a"].events if e in (b'"a"', b'"b"')) == [b'"a"', b'"b"']
    subsystems["a"].nodes = {7: 2.5}
    fleet.run(1)
    assert fleet.parts["a"].gateway.rate_limits == [{7: 2.5}]  # once, when it changed
    late = CountingSubsystem()
    late.name = "late"
    fleet.parts["b"].register(late)
    assert sorted(late.events) == sorted(subsystems["b"].events)
    subsystems["b"].status = lambda now: b"not json"
    fleet.run(1)
    assert fleet.parts["a"].peer_errors["bad_sight"] and fleet.reached("a") == "ab"


def test_part_and_tenant_of_the_library_support_the_calls_of_their_surface():
    network, journal, lines, got = VirtualNetwork(1), MemoryJournal(), [], []
    part = library.Part(
        SAID, FakeGateway("a"), network.host("a"), journal, seed=1, epoch_ms=lambda: EPOCH + int(network.seconds() * 1000),
        say=lambda event, **more: lines.append(event), zone=1, zones=2, cold=0, names=("x", "y"),
    )  # fmt: skip
    part.start(where="127.0.0.1:20000")
    tenant: library.Tenant = CountingTenant([("c", 1)])
    part.lodge(tenant)
    part.follow("c", "", told=lambda told, cursor: got.extend(told))
    network.advance(3)
    assert tenant.turns > 5 and b"1" in tenant.events and "fleet joined" in lines
    assert [each.entry.body for each in got] == [b"1"] and part.read("c", cursor="", most=1)[0] == got
    part.stop()


def test_a_tenant_with_the_method_names_of_the_librarys_surface_is_called_as_a_subsystem_is(make_fleet):
    fleet = make_fleet("ab", log={**SAID["log"], "channel": 20_000.0})
    tenants = {name: CountingTenant([("c", name)]) for name in "ab"}
    for name, tenant in tenants.items():
        fleet.parts[name].register(library.TenantSubsystem(tenant))
    fleet.run(3)
    assert tenants["a"].statuses["b"] >= tenants["b"].turns - 2 > 5
    assert sorted(e for e in tenants["a"].events if e in (b'"a"', b'"b"')) == [b'"a"', b'"b"']
    tenants["a"].nodes = {7: 2.5}
    fleet.run(1)
    assert fleet.parts["a"].gateway.rate_limits == [{7: 2.5}]
    assert fleet.parts["a"].report()["counting"] == {"turns": tenants["a"].turns}
    for number in range(60):
        fleet.parts["a"].append("fleet", {"what": "counted", "number": number})
    fleet.run(130)  # more than two minutes, in which channel `fleet` is compacted
    assert len(json.loads(fleet.parts["b"].log.snapshot("fleet").value)["counting"]) == 60
    tenants["b"].sight = lambda now: b"not json"
    fleet.run(1)
    assert fleet.parts["a"].peer_errors["bad_sight"] and fleet.reached("a") == "ab"


def test_replaced_decisions_are_compacted_and_the_current_one_reaches_a_gateway_without_disk(make_fleet):
    zones = {"window": 2000.0}
    fleet = make_fleet("abc", zones=zones, log={**SAID["log"], "channel": 20_000.0})
    fleet.run(3)
    for number in range(1, 61):
        body = {"what": "zone", "zone": 0, "standing": "in doubt" if number % 2 else "in", "number": number}
        fleet.parts["a"].append("fleet", body)
    fleet.run(130)  # more than two minutes
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


def test_ended_and_silent_attempts_count_as_evidence_once_each():
    zones = ZoneController(ZoneSettings(), FleetPlacement(2, "a", 0, 3))
    request_log = RequestLog()
    subsystem = ZoneSubsystem(zones, request_log, 15 * SECOND, lambda: EPOCH)
    nodes = [NodeEntry(1, 0, 0, Health.READY, 0), NodeEntry(2, 1, 0, Health.READY, 50 * SECOND)]
    subsystem.nodes_are([*nodes, NodeEntry(3, 1, 0, Health.GONE, 0)], 0)
    assert zones.context.nodes.by_node == {1: (0, 0, True, 0), 2: (1, 0, True, 65 * SECOND)}

    def attempt(request, node, sent, ended=None, ending=Ending.SERVED):
        if request not in request_log.requests:
            request_log.add(RequestRecord(request, 0, 0, 1, 2.0, sent, sent + SECOND, sent + SECOND))
        record = request_log.attempt_sent(request, len(request_log.requests[request].attempts), node, sent)
        if ended is not None:
            subsystem.attempt_ended(
                *request_log.attempt_ended(request, record.attempts[-1].number, ending, "", ended), ended
            )
        return record

    now = 100 * SECOND
    for request in range(10):
        attempt(request, 1, now, now + 30 * MS)
    assert subsystem.usual_duration[0] == 30 * MS
    attempt(20, 2, now)
    subsystem.beat_passed(now + 200 * MS)
    # More than four times the usual duration, but a pause of one process can be as long.
    assert 2 not in zones.context.observations.by_node
    for beat in range(3):
        subsystem.beat_passed(now + 300 * MS + beat * 250 * MS)
    assert zones.context.observations.by_node[2].failures == 1
    subsystem.attempt_ended(*request_log.attempt_ended(20, 0, Ending.TIMEOUT, "", now + SECOND), now + SECOND)
    assert zones.context.observations.by_node[2].failures == 1  # the same attempt, already counted
    attempt(21, 2, now, now + SECOND, Ending.UNREACHABLE)
    assert zones.context.observations.by_node[2].failures == 2


def test_a_snapshot_retains_the_events_that_are_still_relevant():
    zones = ZoneController(ZoneSettings(), FleetPlacement(3, "a", 0, 3))
    subsystem = ZoneSubsystem(zones, RequestLog(), 0, lambda: EPOCH)

    def event(seq, **body):
        return Entry("fleet", "a", 1, seq, Timestamp(EPOCH + seq, 0), (), json.dumps(body).encode())

    def zone_event(seq, zone, number):
        return event(seq, what="zone", zone=zone, standing="left", number=number)

    events = [
        zone_event(1, 0, 1), zone_event(2, 0, 3), zone_event(3, 0, 2), zone_event(4, 2, 1), event(5, what="admit"),
        event(6, what="lend", zone=0, to="b", units=0.1, until=EPOCH - 700_000),
        event(7, what="lend", zone=0, to="b", units=0.1, until=EPOCH + 5000), event(8, what=7),
    ]  # fmt: skip
    assert [entry.seq for entry in subsystem.keeps(events, Timestamp(EPOCH, 0))] == [2, 4, 7]
    again = subsystem.keeps(
        [*subsystem.keeps(events[:4], Timestamp(EPOCH, 0)), *events[4:]], Timestamp(EPOCH, 0)
    )
    assert again == subsystem.keeps(events, Timestamp(EPOCH, 0))  # the same in one step and in two


# --- operators and host programs ---


def test_an_operator_evacuates_and_restores_a_zone_on_all_gateways_and_each_logs_it(make_fleet):
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
        fleet.run(20)  # far longer than a healthy zone would stay evacuated on evidence alone
        stands = [part.report()["zones"]["zones"]["0"] for part in fleet.parts.values()]
        assert {each["standing"] for each in stands} == {word} and all(each["hand"] for each in stands)
    for name in "abc":
        lines = [more for writer, event, more in fleet.lines if (writer, event) == (name, "zone standing")]
        assert [(each["zone"], each["standing"], each["by"]) for each in lines] == [
            (0, "left", "a"),
            (0, "in", "a"),
        ]
    assert ask(zone=0, standing="left")["done"] and ask(zone=0, standing="returning")["done"]
    fleet.run(1)
    stands = [part.zones.context.decisions.of(0) for part in fleet.parts.values()]
    # The zone now returns by slow start on evidence alone, without a further action of the operator.
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


def test_addresses_are_read_from_the_registry_if_the_settings_have_none(make_fleet):
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


def test_a_program_follows_a_channel_from_its_last_cursor(make_fleet):
    fleet = make_fleet("ab")
    fleet.run(3)
    batches = []
    stop = fleet.parts["b"].follow("c", "", lambda deliveries, cursor: batches.append((deliveries, cursor)))
    for i in range(600):
        fleet.parts["a"].append("c", i)
    fleet.run(2)
    assert [int(each.entry.body) for deliveries, _ in batches for each in deliveries] == list(range(600))
    stop()
    fleet.parts["a"].append("c", 600)
    fleet.run(2)
    more = []
    fleet.parts["a"].follow(
        "c", batches[-1][1], lambda deliveries, cursor: more.extend(deliveries)
    )  # at another gateway
    assert [int(each.entry.body) for each in more] == [600] and sum(len(each) for each, _ in batches) == 600
    with pytest.raises(AppendRejectedError):
        fleet.parts["a"].follow("c", "nowhere", lambda deliveries, cursor: None)


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
    ("old", "new", "message"),
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
def test_each_error_in_the_settings_is_reported_with_its_position(old, new, message):
    with pytest.raises(SettingsError) as raised:
        resolve(GOOD.replace(old, new, 1), "g.cue")
    assert message in str(raised.value) and len(raised.value.troubles) == 1


def test_a_fleet_of_1024_is_valid_and_zones_have_the_defaults_of_the_module():
    peers = ", ".join(f'{{name: "p{i:04d}", address: "10.0.{i >> 8}.{i & 255}:7"}}' for i in range(1023))
    start, end = GOOD.index("peers: [") + 8, GOOD.index("]", GOOD.index("peers: ["))
    record = resolve(GOOD[:start] + peers + GOOD[end:], "g.cue")
    assert len(record["fleet"]["peers"]) == 1023
    # Guards against different defaults in schema.cue, which users read, and in the module, which its tests use.
    # The rate of a cold node has no default: it follows from the rules, which the next test covers.
    set_elsewhere = ("clock_bound", "cold")
    assert record["fleet"]["zones"] == {
        name: value for name, value in ZoneSettings().to_map().items() if name not in set_elsewhere
    }
    assert not handover_obstacle(record)  # the journal is handed over with the sockets


@pytest.mark.parametrize(("zones", "cold"), [("zones: {}", 9.0), ("zones: {cold: 2/s}", 2.0)])
def test_the_rate_of_a_cold_node_follows_from_the_rules_unless_a_lower_one_is_set(zones, cold):
    rules = "\nrules: {cold_units: 18, cold_fall: 2s}\n"
    record = resolve(GOOD.replace("zones: {}", zones) + rules, "g.cue")
    daemon = Daemon(record, HostProgram(VirtualNetwork(1), [], lambda note: None, lambda: None))
    assert daemon.fleet_member.zones.context.cold_node_rate == cold


def test_without_a_fleet_section_no_module_of_the_fleet_is_loaded():
    modules = "ochrecourse.gateway.daemon, ochrecourse.cli.serve, ochrecourse.cli.gateway_process, ochrecourse.cli.successor, ochrecourse.service.gateway_service, ochrecourse.service.start_settings"
    text = (
        f"import sys, {modules}; sys.exit(any(name.startswith('ochrecourse.fleet') for name in sys.modules))"
    )
    assert subprocess.run([sys.executable, "-c", text]).returncode == 0


# --- separate processes ---


class Process:
    """One `serve` process of a fleet, and requests to its control socket."""

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
    """Returns ports that were free at the time of the call; the caller binds them at once."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in names]
    ports = {name: each.getsockname()[1] for name, each in zip(names, sockets, strict=True)}
    for each in sockets:
        each.close()
    return ports


def until(holds, seconds=60):
    """Polls until `holds()` is true; fails after `seconds`."""
    end = time.monotonic() + seconds
    while not holds():
        assert time.monotonic() < end, "it did not come about"
        time.sleep(0.05)


def test_three_processes_share_one_log_and_kill_9_loses_no_acknowledged_entry(tmp_path):
    ports, running, acknowledged = free_ports("abc"), {}, []
    try:
        for name in ports:
            running[name] = Process(tmp_path, name, ports)
        until(lambda: all(each.reached() == 3 for each in running.values()))
        for i in range(30):
            done = running["abc"[i % 3]].ask(do="append", channel="c", value=i)
            acknowledged.append((done["writer"], done["life"], done["seq"]))
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
        assert sorted(acknowledged) == sorted((e["writer"], e["life"], e["seq"]) for e in read[0])
        for each in running.values():
            each.process.send_signal(signal.SIGTERM)
        assert [each.process.wait(20) for each in running.values()] == [0, 0, 0]
    finally:
        for each in running.values():
            each.process.kill()
            each.process.wait()
            each.process.stdout.close()
