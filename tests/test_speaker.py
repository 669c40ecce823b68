"""The speaker with stand-in peers that share none of its code: which routes a peer has, and when."""

import ipaddress

import pytest

from ochrecourse.bgp.fitness import AnnouncementState, DrainSettings, FitnessSettings, GatewayStatus
from ochrecourse.bgp.session import SECOND, SessionSettings, State
from ochrecourse.bgp.speaker_settings import AddressSettings, PeerSettings, SpeakerSettings
from ochrecourse.bgp.speaker import Speaker
from ochrecourse.lab.virtual import VirtualNetwork
from ochrecourse.standins.bgp_peer import StandInPeer, frame

A4, B4, A6 = "192.0.2.10/32", "192.0.2.11/32", "2001:db8::a/128"
FITNESS = FitnessSettings(
    500_000_000, 60 * SECOND, 0.5, 0.5, 0.9, 2 * SECOND, SECOND, 24 * SECOND, 60 * SECOND
)
DRAIN = DrainSettings(2 * SECOND, SECOND, 5 * SECOND)


def address(network, **fields):
    parsed = ipaddress.ip_network(network)
    next_hop = ipaddress.ip_address("192.0.2.1" if parsed.version == 4 else "2001:db8::1")
    return AddressSettings(parsed, next_hop, **fields)


class SpeakerHarness:
    """A speaker with `peers` stand-in peers; `status` is the status of its gateway."""

    def __init__(
        self, peers=1, addresses=(A4,), address_settings=None, seed=1, network=None, hold=9, **settings
    ):
        self.network = network or VirtualNetwork(seed)
        self.peers = [StandInPeer(self.network, identifier=f"10.0.0.{9 + i}") for i in range(peers)]
        session = {"hold_time": hold, "connect_retry": 5 * SECOND, "idle_hold_time": SECOND, **settings}
        sessions = [SessionSettings(f"p{i}", 64512, 64600, 0x0A000005, **session) for i in range(peers)]
        peer_settings = [
            PeerSettings(each, "127.0.0.1", peer.port)
            for each, peer in zip(sessions, self.peers, strict=True)
        ]
        addresses = address_settings or [address(each) for each in addresses]
        self.status, self.open_requests, self.shutdown_times, self.drained_times, self.events = (
            GatewayStatus(),
            0,
            [],
            [],
            [],
        )
        self.speaker = Speaker(
            self.network, SpeakerSettings(peer_settings, addresses, FITNESS, DRAIN, None), lambda: GatewayStatus(**self.fields()),
            lambda: self.shutdown_times.append(self.network.seconds()), lambda: self.open_requests,
            lambda event, **fields: self.events.append((event, fields)), seed,
        )  # fmt: skip
        self.speaker.on_drained.append(lambda: self.drained_times.append(self.network.seconds()))
        self.speaker.start()

    def fields(self):
        return {name: getattr(self.status, name) for name in GatewayStatus.__slots__}

    def run(self, seconds):
        self.network.advance(seconds)

    @property
    def table(self):
        return set(self.peers[0].table)

    def advertised(self, prefix=A4):
        return self.peers[0].table[prefix][1]


def test_a_fit_gateway_is_announced_after_the_recovery_delay_and_withdrawn_within_a_second():
    harness = SpeakerHarness()
    harness.run(0.9)
    assert not harness.table
    harness.run(1)
    assert (
        harness.table == {A4}
        and harness.advertised()["as_path"] == [64512]
        and harness.advertised()["next_hop"] == "192.0.2.1"
    )
    harness.status.listening = False
    before = harness.network.seconds()
    harness.run(1)
    assert not harness.table and harness.peers[0].changes[-1].at - before < 1


def test_addresses_are_evaluated_separately_and_ipv6_is_announced():
    harness = SpeakerHarness(
        address_settings=[address(A4), address(B4, list_needed=False), address(A6, med=7)]
    )
    harness.run(3)
    assert harness.table == {A4, B4, A6} and harness.advertised(A6) == {
        "as_path": [64512],
        "next_hop": "2001:db8::1",
        "med": 7,
    }
    harness.status.list_age = 100 * SECOND
    harness.run(4)
    assert harness.advertised(A4)["med"] == 1000 and "65535:0" in harness.advertised(A4)["communities"]
    assert "communities" not in harness.advertised(B4)


def test_an_ipv6_only_peer_receives_ipv6_routes_only():
    harness = SpeakerHarness(addresses=(A4, A6))
    harness.peers[0].families = [2]
    harness.run(3)
    assert harness.table == {A6}


def test_a_session_that_is_re_established_advertises_the_current_state():
    harness = SpeakerHarness(addresses=(A4, B4))
    harness.run(3)
    harness.peers[0].connections[0].transport.abortConnection()
    harness.run(0.1)
    assert not harness.table
    harness.status.nodes_ready, harness.status.nodes_reachable = 8, 2
    harness.run(6)
    assert (
        harness.table == {A4, B4} and harness.advertised()["med"] == 1000 and harness.peers[0].sessions == 2
    )


def test_fitness_lost_while_the_session_is_down_is_never_announced():
    harness = SpeakerHarness()
    harness.run(3)
    harness.peers[0].connections[0].transport.abortConnection()
    harness.status.has_list = False
    changes = len(harness.peers[0].changes)
    harness.run(10)
    assert (
        harness.peers[0].sessions == 2 and not harness.table and len(harness.peers[0].changes) == changes + 1
    )


@pytest.mark.parametrize("bad", [
    b"\0" * 19, frame(9), frame(1, b"\4" + bytes(9)), frame(2, b"\0\xff\0\0"), frame(2, bytes(2) + b"\0\3\x40\x63\0"),
    frame(3, b"\6\4"), frame(4) * 3000,
])  # fmt: skip
def test_a_peer_that_violates_the_protocol_loses_only_its_own_session(bad):
    harness = SpeakerHarness(peers=2)
    harness.peers[0].on_up = lambda end: end.transport.write(bad) if harness.peers[0].sessions < 4 else None
    harness.run(3)
    assert set(harness.peers[1].table) == {A4} and harness.peers[1].sessions == 1
    harness.run(60)
    assert harness.table == {A4}  # once it behaves, it receives the route again


def test_a_malformed_optional_attribute_does_not_end_the_session():
    harness = SpeakerHarness()
    harness.run(3)
    update = bytes.fromhex("0000 0012 40010100 400200 400304c0000201 c06301aa 08 0a".replace(" ", ""))
    harness.peers[0].connections[0].transport.write(frame(2, update))
    harness.run(2)
    assert harness.table == {A4} and harness.peers[0].sessions == 1


def test_an_incomplete_message_followed_by_silence_expires_the_hold_timer():
    harness = SpeakerHarness()
    harness.run(3)
    harness.peers[0].silent = True
    harness.peers[0].connections[0].transport.write(frame(2, bytes(4))[:21])
    harness.run(20)
    assert (4, 0, b"") in harness.peers[0].connections[0].notifications


def test_a_peer_without_an_open_is_disconnected_after_the_large_hold_time():
    harness = SpeakerHarness()
    harness.peers[0].mute = True
    harness.run(239)
    assert harness.speaker.peers[0].fsm.state is State.OPEN_SENT
    harness.run(3)
    assert harness.peers[0].connections[0].notifications == [(4, 0, b"")]


def test_a_hundred_resets_right_after_established_starve_no_other_peer():
    harness = SpeakerHarness(peers=2)
    harness.peers[0].on_up = lambda end: end.transport.abortConnection()
    harness.run(600)
    assert (
        harness.peers[0].sessions > 50
        and set(harness.peers[1].table) == {A4}
        and harness.peers[1].sessions == 1
    )
    assert len(list(harness.peers[1].changes)) == 1


def test_a_peer_that_never_reads_delays_no_other_peer():
    harness = SpeakerHarness(peers=2)
    harness.run(3)
    harness.peers[0].connections[0].transport.freeze(True)
    harness.status.listening = False
    harness.run(1)
    assert not harness.peers[1].table
    harness.run(30)
    assert (
        harness.speaker.peers[0].fsm.counts["sessions"] >= 1
        and not harness.speaker.peers[0].fsm.adj_rib_out.advertised
    )


def test_a_drain_passes_last_choice_withdrawal_shutdown_and_cease_in_order():
    harness = SpeakerHarness()
    harness.run(3)
    harness.open_requests = 2
    start = harness.network.seconds()
    assert harness.speaker.begin_drain()
    harness.run(0.2)
    assert "65535:0" in harness.advertised()["communities"] and not harness.shutdown_times
    harness.run(2.2)
    assert not harness.table and not harness.shutdown_times
    harness.run(1.5)
    assert harness.shutdown_times and not harness.drained_times
    harness.open_requests = 0
    harness.run(1)
    assert harness.drained_times and harness.peers[0].connections[0].notifications == [(6, 2, b"\x07drained")]
    assert 3 <= harness.shutdown_times[0] - start < 3.5


def test_a_drain_ends_and_announces_nothing_when_the_session_drops():
    harness = SpeakerHarness()
    harness.run(3)
    harness.speaker.begin_drain()
    harness.run(2.3)
    harness.peers[0].connections[0].transport.abortConnection()
    harness.run(10)
    assert harness.drained_times and not harness.table
    assert not any(
        change.attributes for change in harness.peers[0].changes if change.at > harness.shutdown_times[0] - 1
    )


def test_a_drain_can_be_cancelled_until_requests_are_refused():
    harness = SpeakerHarness()
    harness.run(3)
    harness.speaker.begin_drain()
    harness.run(2.5)
    assert not harness.table and harness.speaker.undo_drain()
    harness.run(5)
    assert harness.table == {A4}
    harness.speaker.begin_drain()
    harness.run(3.5)
    assert harness.shutdown_times and not harness.speaker.undo_drain()


def test_an_event_loop_that_was_blocked_withdraws_when_it_resumes():
    harness = SpeakerHarness(hold=30)
    harness.run(3)
    harness.network.now += 2.0  # no timer fired in between
    harness.run(0.5)
    assert not harness.table and harness.speaker.addresses[0].fitness.state is AnnouncementState.WITHDRAWN
    assert any("late" in fields.get("why", "") for event, fields in harness.events if event == "address")


def test_the_peer_removes_the_route_when_the_event_loop_is_blocked_for_its_hold_time():
    """The speaker sends KEEPALIVE from the event loop that serves requests, so that a blocked loop expires the peer's hold timer."""
    harness = SpeakerHarness()
    harness.run(3)
    # A stopped process: none of its timers fires, its sockets stay open.
    for connection in harness.speaker.peers[0].connections.values():
        connection.transport.freeze(True)
    harness.network.calls = sorted(
        each
        for each in harness.network.calls
        if getattr(each[2].call, "__self__", None) in harness.peers[0].connections
    )
    stopped_at = harness.network.seconds()
    harness.run(12)
    withdrawals = [change.at for change in harness.peers[0].changes if not change.attributes]
    assert not harness.table and withdrawals and withdrawals[0] - stopped_at <= 9 + 1


def test_simultaneous_connections_leave_one_session():
    network = VirtualNetwork(4)
    peer = StandInPeer(network, identifier="10.0.0.9")
    session = SessionSettings("p0", 64512, 64600, 0x0A000005, 9, 5 * SECOND, SECOND)
    settings = SpeakerSettings(
        [PeerSettings(session, "127.0.0.1", peer.port)], [address(A4)], FITNESS, DRAIN, ("127.0.0.1", 0)
    )
    speaker = Speaker(
        network, settings, GatewayStatus, lambda: None, lambda: 0, lambda event, **fields: None, 3
    )
    speaker.start()
    peer.connect("127.0.0.1", speaker.listening_port.getHost().port)
    network.advance(5)
    assert len(speaker.peers[0].fsm.connections) == 1 and set(peer.table) == {A4}
    assert speaker.peers[0].fsm.counts["collisions"] >= 1


def test_twelve_gateways_that_lose_the_same_half_of_the_nodes_all_stay_announced_as_less_preferred():
    network = VirtualNetwork(8)
    harnesses = [SpeakerHarness(network=network, seed=i) for i in range(12)]
    network.advance(3)
    for harness in harnesses:
        harness.status.nodes_ready, harness.status.nodes_reachable = 8, 3
    network.advance(5)
    assert all(harness.table == {A4} and harness.advertised()["med"] == 1000 for harness in harnesses)
    for harness in harnesses:
        harness.status.nodes_reachable = 8
    network.advance(5)
    assert all("med" not in harness.advertised() for harness in harnesses)
    assert all(harness.speaker.addresses[0].fitness.changes == 3 for harness in harnesses)


def test_the_report_contains_the_reasons():
    harness = SpeakerHarness()
    harness.run(3)
    harness.status.has_list = False
    harness.run(0.5)
    report = harness.speaker.report()
    assert (
        report["addresses"][0]["reasons"] == ["no list of nodes"]
        and report["addresses"][0]["standing"] == "withdrawn"
    )
    assert report["peers"][0]["state"] == "established" and report["peers"][0]["told"] == []
