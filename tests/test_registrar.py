"""The registry client against a stand-in registry: breaks anywhere, servers that lie, compaction, restarts."""

import json
import random
from itertools import pairwise

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ochrecourse.cli import control_answers, members
from ochrecourse.gateway.daemon import Daemon
from ochrecourse.gateway.daemon_parts import HostProgram
from ochrecourse.interface import Health
from ochrecourse.lab.days import quiet
from ochrecourse.lab.play import VirtualPlay
from ochrecourse.lab.virtual import VirtualNetwork
from ochrecourse.membership import etcd
from ochrecourse.membership import endpoint_cache
from ochrecourse.membership.server_selection import (
    FRESHNESS_CHECK_INTERVAL_S,
    MAX_WATCH_LAG_S,
    ServerSelector,
    WatchLag,
)
from ochrecourse.membership.registration import Registration, RegistrationSettings
from ochrecourse.membership.lease import Lease, LeaseAction
from ochrecourse.membership.registry_watcher import RegistryWatcher, unix_clock
from ochrecourse.membership.registry_state import RangePage, RangeRequest, RegistryRecord, WatchEvent
from ochrecourse.membership.registrations import NodeRegistrations
from ochrecourse.membership.endpoint_list import EndpointListSnapshot
from ochrecourse.membership.endpoint_list_store import WatcherContext
from ochrecourse.common.runtime import now_ns
from ochrecourse.common.time_units import SECOND
from ochrecourse.standins.registry import Endpoint, Store

PREFIX = b"/n/"


def value(node, health="ready", **more):
    return json.dumps(
        {"node": node, "address": f"10.0.0.{node}:7000", "shard": node, "health": health, **more}
    ).encode()


class Town:
    """Servers of one registry, and gateways that follow it."""

    def __init__(self, servers=3, gateways=1, nodes=5, seed=1):
        self.network = VirtualNetwork(seed)
        self.store = Store()
        for node in range(nodes):
            self.store.put(PREFIX + b"%d" % node, value(node))
        self.ends = [Endpoint(self.network, self.store, i) for i in range(servers)]
        self.seed = seed
        self.lists = {}
        self.warnings = []
        self.gateways = [self.gateway(i) for i in range(gateways)]

    def gateway(self, number, path=None):
        heard = self.lists[number] = []
        servers = [("127.0.0.1", end.port) for end in self.ends]
        clock = unix_clock(self.network, 1_790_000_000)
        context = WatcherContext(
            "g0",
            self.network,
            lambda update: heard.append((now_ns(self.network), update)),
            path,
            self.seed * 1000 + number,
            self.warnings.append,
        )
        made = RegistryWatcher(context, servers, PREFIX, clock)
        made.start()
        return made

    def put(self, node, health="ready", **more):
        self.store.put(PREFIX + b"%d" % node, value(node, health, **more))

    def run(self, seconds):
        self.network.advance(seconds)

    def seen(self, number=0):
        """Health by node in the last list that a gateway was told."""
        return {entry.node: entry.health for entry in self.lists[number][-1][1].entries}

    def right(self):
        held = self.store.keys_at(self.store.revision)
        return {
            json.loads(each[1])["node"]: Health[json.loads(each[1])["health"].upper()]
            for each in held.values()
        }


def test_a_list_is_read_in_pages_and_changes_follow():
    town = Town(nodes=250)
    town.run(1)
    assert town.seen() == town.right() and len(town.seen()) == 250
    assert sum(path == "/v3/kv/range" for end in town.ends for _, path in end.calls) >= 3
    town.put(3, "draining")
    town.store.put(PREFIX + b"4", None)
    town.run(0.1)
    assert town.seen() == town.right() and town.seen()[3] is Health.DRAINING and 4 not in town.seen()


BREAKS = {
    "nothing": lambda town: None,
    "all connections cut": lambda town: [end.abort_connections() for end in town.ends],
    "a server ends": lambda town: town.ends[town.gateways[0].selector.current].stop(),
    "a server is silent": lambda town: setattr(town.ends[town.gateways[0].selector.current], "silent", True),
    "streams are held back": lambda town: setattr(
        town.ends[town.gateways[0].selector.current], "streams_paused", True
    ),
    "a server lies behind": lambda town: town.ends[town.gateways[0].selector.current].freeze(),
    "compaction in a break": lambda town: (
        [end.abort_connections() for end in town.ends],
        town.store.put(b"/other", b"x"),
        town.store.compact(),
    ),
}


@pytest.mark.parametrize("trouble", BREAKS)
@pytest.mark.parametrize("before", [True, False])
def test_a_drain_is_known_within_two_seconds_whatever_fails_around_it(trouble, before):
    """Rule 3 gives two seconds from the notice; seeds vary where in a look or a wait the break falls."""
    for seed in range(1, 16):
        town = Town(seed=seed)
        town.run(2 + seed * 0.07)
        if before:
            BREAKS[trouble](town)
            town.run(seed * 0.013)
        town.put(2, "draining")
        told = now_ns(town.network)
        if not before:
            BREAKS[trouble](town)
        town.run(4)
        heard = [
            at
            for at, news in town.lists[0]
            if any(e.node == 2 and e.health is Health.DRAINING for e in news.entries)
        ]
        assert heard, (seed, town.gateways[0].counts)
        limit = 0.3 if trouble == "nothing" else 2.0
        assert heard[0] - told < limit * SECOND, (seed, (heard[0] - told) / SECOND, town.gateways[0].counts)


def test_no_list_is_notified_twice_and_progress_before_its_event_loses_nothing():
    town = Town()
    for end in town.ends:
        end.progress_first = True
    town.run(1)
    for i in range(20):
        town.put(1, "ready" if i % 2 else "draining")
        if i % 3 == 0:
            town.ends[town.gateways[0].selector.current].abort_connections()
        town.run(0.9)
    assert town.seen() == town.right()
    lists = [tuple((e.node, e.health) for e in news.entries) for _, news in town.lists[0]]
    assert all(a != b for a, b in pairwise(lists))


def test_a_registry_of_another_cluster_is_reported_to_an_operator_and_used_when_accepted():
    town = Town()
    town.run(1)
    before = town.seen()
    town.store.cluster = 99
    town.put(0, "draining")
    for end in town.ends:
        end.abort_connections()
    town.run(20)
    assert town.seen() == before and any("if it was restored, accept it" in text for text in town.warnings)
    town.gateways[0].accept_registry()
    town.run(3)
    assert town.seen() == town.right() != before


def test_a_registry_that_restarts_is_not_stormed():
    town = Town(gateways=190, nodes=40)
    town.run(3)
    for end in town.ends:
        end.stop()
    town.run(5)
    for end in town.ends:
        end.start()
        end.calls.clear()
    town.run(6)
    assert all(town.seen(i) == town.right() and town.gateways[i].connected for i in range(190))
    calls = sorted(at for end in town.ends for at, _ in end.calls)
    fullest = max(
        sum(at <= other < at + SECOND // 10 for other in calls[i : i + 400]) for i, at in enumerate(calls)
    )
    assert fullest <= 190  # of three or more calls each; at once they would be two hundred dials in a few ms


def test_a_gateway_that_starts_without_a_registry_has_its_cached_list(tmp_path):
    town = Town()
    first = town.gateway(7, tmp_path / "nodes")
    town.run(1)
    first.stop()
    for end in town.ends:
        end.stop()
    town.gateway(8, tmp_path / "nodes")
    town.run(3)
    assert town.seen(8) == town.right() and not town.gateways[0].connected
    for end in town.ends:
        end.start()
    town.put(1, "draining")
    town.run(4)
    assert town.seen(8) == town.right()


def test_responses_that_are_not_understood_are_reported_and_another_server_is_used(monkeypatch):
    town = Town(servers=2)
    whole = Endpoint.header
    monkeypatch.setattr(
        Endpoint,
        "header",
        lambda self: {"revision": "x"} if self.member == town.gateways[0].selector.current else whole(self),
    )
    bad = town.gateways[0].selector.current
    monkeypatch.setattr(
        Endpoint, "header", lambda self: {"revision": "x"} if self.member == bad else whole(self)
    )
    town.run(4)
    assert town.seen() == town.right() and any("not understood" in text for text in town.warnings)


def test_a_record_that_can_not_be_read_costs_its_node_alone():
    town = Town()
    town.store.put(PREFIX + b"1", b"{")
    town.run(1)
    assert set(town.seen()) == {0, 2, 3, 4} and town.gateways[0].registrations.problems


# --- without sockets ---


def test_request_bodies_are_of_the_published_form():
    assert json.loads(etcd.range_request(b"/n/", RangeRequest(b"/n/5\0", 7), 50).body) == {
        "key": "L24vNQA=",
        "range_end": "L24w",
        "limit": "50",
        "revision": "7",
    }
    assert json.loads(etcd.watch_request(b"/n/", 8).body) == {
        "create_request": {"key": "L24v", "range_end": "L24w", "start_revision": "8", "progress_notify": True}
    }
    assert json.loads(etcd.put_request(b"k", b"v", 5).body) == {"key": "aw==", "value": "dg==", "lease": "5"}
    assert etcd.prefix_range_end(b"a\xff") == b"b" and etcd.prefix_range_end(b"\xff\xff") == b"\0"


def test_responses_with_numbers_as_text_and_fields_left_out_are_decoded():
    body = b'{"header":{"cluster_id":"14841639068965178418","revision":"9"},"kvs":[{"key":"L24vNQ==","mod_revision":"8"}],"count":"1"}'
    page = etcd.decode_range_response(200, body)
    assert page == RangePage(14841639068965178418, 9, [RegistryRecord(b"/n/5", b"", 8)], False)
    assert (
        etcd.decode_lease_response(200, b'{"ID":"7","TTL":"10"}').ttl_seconds == 10
        and etcd.decode_keepalive_response(200, b'{"result":{"ID":"7"}}\n').ttl_seconds == 0
    )


@pytest.mark.parametrize(("status", "body", "wrong"), [
    (400, b'{"error":"etcdserver: mvcc: required revision has been compacted","code":11}', etcd.CompactedError), (400, b'{"code":11,"message":"mvcc: required revision is a future revision"}', etcd.BadResponseError),
    (503, b"<html>", etcd.BadResponseError), (200, b"{", etcd.BadResponseError), (200, b'{"kvs":[]}', etcd.BadResponseError), (200, b'{"header":{},"kvs":[{"key":"!"}]}', etcd.BadResponseError),
])  # fmt: skip
def test_error_responses_are_raised_as_typed_errors(status, body, wrong):
    with pytest.raises(wrong):
        etcd.decode_range_response(status, body)


STREAM = b'{"result":{"header":{"revision":"5"},"created":true}}\n{"result":{"header":{"revision":"6"},"events":[{"kv":{"key":"YQ==","value":"MQ==","mod_revision":"6"}},{"type":"DELETE","kv":{"key":"Yg==","mod_revision":"6"}}]}}\n'


@settings(max_examples=60, deadline=None)
@given(st.lists(st.integers(1, 60), min_size=1))
def test_a_stream_is_the_same_in_any_pieces(cuts):
    stream, got, at, turn = etcd.WatchStreamDecoder(), [], 0, 0
    while at < len(STREAM):
        got += stream.feed(STREAM[at : at + cuts[turn % len(cuts)]])
        at, turn = at + cuts[turn % len(cuts)], turn + 1
    assert [each.created for each in got] == [True, False]
    assert etcd.watch_events(got[1]) == [WatchEvent(b"a", b"1", 6), WatchEvent(b"b", None, 6)]


@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=80))
def test_any_line_of_a_stream_is_decoded_or_raised_as_a_typed_error(line):
    try:
        for message in etcd.WatchStreamDecoder().feed(line + b"\n"):
            etcd.watch_events(message)
    except (etcd.BadResponseError, etcd.CompactedError):
        pass


def record(node, changed, **more):
    return RegistryRecord(PREFIX + b"%d" % node, value(node, **more), changed)


def test_start_times_are_computed_once_and_wrong_clocks_count_as_just_started():
    registrations, now = NodeRegistrations(), 100 * SECOND
    told = {"started_ms_ago": 1000.0, "written_ms": 5_000.0}
    right = {b"1": record(1, 3, **told)}
    assert registrations.endpoint_entries(right, now, 9_000)[0].started_ms_ago == 5000.0
    assert (
        registrations.endpoint_entries(right, now + SECOND, 1)[0].started_ms_ago == 6000.0
    )  # a clock that stepped moves nothing
    assert (
        NodeRegistrations().endpoint_entries({b"1": record(1, 3, **told)}, now, 4_000)[0].started_ms_ago
        == 0.0
    )  # written in the future
    assert (
        NodeRegistrations().endpoint_entries({b"1": record(1, 3, **told)}, now, 10**12)[0].started_ms_ago
        == 0.0
    )
    assert NodeRegistrations().endpoint_entries({b"1": record(1, 3)}, now, 9_000)[0].started_ms_ago == -1.0


def test_of_two_records_for_one_node_the_later_one_counts():
    registrations = NodeRegistrations()
    both = {b"x": record(1, 9, health="draining"), b"y": record(1, 4)}
    lines = registrations.endpoint_entries(both, SECOND, 0)
    assert [line.health for line in lines] == ["draining"] and registrations.problems


# --- this gateway's own entry ---


def enrolled(town, number=0, seconds=6, others=None):
    servers = [("127.0.0.1", end.port) for end in town.ends]
    key, seed = b"/g/g%03d" % number if others else b"/g/g%d" % number, town.seed * 100 + number
    settings = RegistrationSettings(servers, key, seconds, seed, b"/g/")
    made = Registration(town.network, settings, lambda: b"me", others)
    for end in town.ends:
        end.lease_time = seconds
    made.start()
    return made


def entries(town):
    town.store.expire(now_ns(town.network))
    return {key for key in town.store.keys_at(town.store.revision) if key.startswith(b"/g/")}


def test_an_entry_stands_while_its_gateway_does_and_is_deleted_when_its_lease_expires():
    town = Town(gateways=0)
    mine = enrolled(town)
    for _ in range(40):
        town.run(1)
        assert entries(town) == {b"/g/g0"}
    assert mine.is_active() and not mine.lease.losses
    mine.stop()
    town.run(7)
    assert not entries(town)


def test_the_entries_of_all_gateways_are_read_page_by_page_and_again():
    town = Town(gateways=0)
    heard = []
    for number in range(130):
        enrolled(town, number, others=heard.append if number == 0 else lambda found: None)
    town.run(8)
    assert len(heard[-1]) == 130 and heard[-1][b"/g/g129"] == b"me"
    count = len(heard)
    town.run(7)
    assert count + 2 <= len(heard) <= count + 3


def test_revoking_the_lease_deletes_the_entry_at_once():
    town = Town(gateways=0)
    mine = enrolled(town)
    town.run(3)
    mine.revoke()
    town.run(0.1)
    assert not entries(town)


def test_a_lease_that_the_registry_forgot_is_noticed_and_replaced():
    town = Town(gateways=0)
    mine = enrolled(town)
    town.run(3)
    town.store.revoke(next(iter(town.store.leases)))
    assert not entries(town)
    town.run(4)
    assert entries(town) == {b"/g/g0"} and mine.lease.losses == 1 and mine.is_active()


@pytest.mark.parametrize("seed", range(1, 9))
def test_an_unreachable_registry_costs_the_lease_and_it_is_granted_again(seed):
    town = Town(gateways=0, seed=seed)
    mine = enrolled(town)
    town.run(3 + seed / 7)
    for end in town.ends:
        end.stop()
    town.run(5)
    assert mine.is_active() or mine.lease.expires_at <= now_ns(town.network)
    town.run(5)
    assert not mine.is_active()
    for end in town.ends:
        end.start()
    town.run(4)
    assert mine.is_active() and entries(town) == {b"/g/g0"}


def test_a_silent_server_is_left_for_another_before_the_lease_runs_out():
    town = Town(gateways=0)
    mine = enrolled(town)
    town.run(3)
    town.ends[mine.server_index].silent = True
    for _ in range(20):
        town.run(1)
        assert mine.is_active()


def test_a_lease_counts_from_when_it_was_requested():
    lease = Lease(9)
    assert lease.next_action(0) is LeaseAction.GRANT and not lease.is_active(0)
    lease.granted(5, 1 * SECOND)
    assert lease.next_action(2 * SECOND) is LeaseAction.PUT and not lease.is_active(2 * SECOND)
    lease.put_confirmed(2 * SECOND)
    assert (
        lease.is_active(2 * SECOND)
        and lease.next_action(4 * SECOND) is LeaseAction.WAIT
        and lease.next_action(5 * SECOND) is LeaseAction.KEEPALIVE
    )
    lease.keepalive_received(9, 5 * SECOND)
    assert lease.is_active(14 * SECOND - 1) and not lease.is_active(14 * SECOND)
    assert lease.next_action(14 * SECOND) is LeaseAction.GRANT and lease.losses == 1


# --- a daemon with a registry ---


@pytest.fixture
def served():
    day = msgspec.structs.replace(quiet(), gateways=1, nodes=3)
    play = VirtualPlay(day, registry=True)
    play.seats[0].start()
    play.network.advance(3)
    return play, play.seats[0].daemon


def asks(daemon, do):
    return control_answers.answer(daemon, json.dumps({"do": do}).encode())


def test_operators_see_the_list_and_where_it_comes_from(served):
    _, daemon = served
    told = asks(daemon, "members")
    lines = members.report_lines(told)
    assert (
        told["from"] == "registry" and told["connected"] and len(told["nodes"]) == 3 and told["lease"] is True
    )
    assert (
        any("from a registry, connected" in line for line in lines)
        and sum(line.startswith("node ") for line in lines) == 3
    )
    assert daemon.figures()["registry_lease_held"] == 1.0


def test_operators_accept_a_registry_that_was_restored(served):
    play, daemon = served
    assert asks(daemon, "accept") == {"done": False, "stage": "the registry is read anew"}
    play.mirror.store.cluster = 5
    for end in play.mirror.ends:
        end.abort_connections()
    play.network.advance(15)
    told = asks(daemon, "members")
    assert (
        "cluster" in told["not_believed"]
        and len(told["nodes"]) == 3
        and any("not believed" in line for line in members.report_lines(told))
    )
    assert asks(daemon, "accept")["done"]
    play.network.advance(3)
    assert asks(daemon, "members")["connected"] and not asks(daemon, "members")["not_believed"]


def test_the_entry_stands_while_the_sockets_go_to_the_next_process(served):
    # Guards against a lease that is given back when the next process has already written the entry, or is about to.
    play, first = served
    key = b"/ochrecourse/gateways/g0"

    def entry():
        held = play.mirror.store.keys_at(play.mirror.store.revision)
        return json.loads(held[key][1])["listen"] if key in held else None

    old = first.listen_address()
    assert entry() == old
    again = {**first.record, "gateway": {**first.record["gateway"], "seed": 99}}
    second = Daemon(again, HostProgram(play.network, [], play.warnings.append, lambda: None))
    second.watch_endpoints()
    play.network.advance(0.5)
    second.registration.random_source.random = lambda: 0.9  # it writes the entry late in its second
    at = "{}:{}".format(*second.listen(second.open_port))
    first.hand_over()
    for _ in range(3000):
        play.network.advance(0.01)
        assert entry() in (old, at)
    assert entry() == at and not first.gateway.shutdown.accepts_requests()


def test_a_lost_lease_makes_the_address_the_last_choice_and_stops_nothing(served):
    play, daemon = served
    assert daemon.status().enrolled
    for end in play.mirror.ends:
        end.stop()
    play.network.advance(15)
    assert not daemon.status().enrolled and daemon.ready() == (True, "ready")


def test_backoff_doubles_has_jitter_and_is_reset_by_an_established_watch():
    selector = ServerSelector(3, iter([0.5] * 99).__next__)
    assert [selector.server_failed() for _ in range(5)] == [0.25, 0.5, 1.0, 1.0, 1.0]
    selector.watch_established()
    assert selector.server_failed() == 0.25


def test_another_server_is_never_the_current_one_and_each_is_picked_at_times():
    chance = random.Random(1)
    selector, seen = ServerSelector(4, chance.random), set()
    for _ in range(200):
        at, other = selector.current, selector.pick_other()
        assert other != at and 0 <= other < 4
        selector.server_failed()
        seen.add(selector.current)
    assert seen == {0, 1, 2, 3} and ServerSelector(1, chance.random).pick_other() == 0


def test_an_operator_is_notified_once_when_no_server_is_trusted_and_again_after_one_was():
    selector = ServerSelector(3, random.Random(1).random)
    assert [selector.server_distrusted() for _ in range(9)] == [False] * 5 + [True] + [False] * 3
    selector.watch_established()
    assert [selector.server_distrusted() for _ in range(6)] == [False] * 5 + [True]


def test_a_watch_is_behind_only_if_the_awaited_revision_is_not_received_in_time():
    lag = WatchLag()
    assert lag.newest_revision_seen(5, 5) == FRESHNESS_CHECK_INTERVAL_S and not lag.is_behind(5)
    assert lag.newest_revision_seen(7, 5) == MAX_WATCH_LAG_S and not lag.is_behind(7)
    assert lag.newest_revision_seen(7, 5) == MAX_WATCH_LAG_S and lag.is_behind(6)


@pytest.mark.parametrize("change", ["older", "another cluster"])
def test_a_registry_that_went_back_while_the_gateway_was_away_is_noticed(tmp_path, change):
    town = Town()
    first = town.gateway(7, tmp_path / "nodes")
    for node in range(5):
        town.put(node, "draining")
    town.run(2)
    first.stop()
    if change == "older":
        town.store.log, town.store.revision = town.store.log[:5], 6
    else:
        town.store.cluster = 5
    again = town.gateway(8, tmp_path / "nodes")
    town.run(15)
    assert (
        set(town.seen(8).values()) == {Health.DRAINING}
        and again.registry.distrust_reason
        and len(town.lists[8]) == 1
    )
    again.accept_registry()
    town.run(4)
    assert town.seen(8) == town.right() and again.connected


def test_a_cached_list_of_a_list_server_says_nothing_of_a_registry(tmp_path):
    town = Town()
    endpoint_cache.save(tmp_path / "nodes", EndpointListSnapshot(99, 7, [], "g0"))
    late = town.gateway(8, tmp_path / "nodes")
    town.run(2)
    assert town.seen(8) == town.right() and not late.registry.distrust_reason
