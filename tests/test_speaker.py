"""The speaker before a stand-in peer that shares none of its code: what the peer's table holds, and when."""

import ipaddress

import pytest

from ochrecourse.bgp.fitness import DrainFigures, FitnessFigures, Sight, Standing
from ochrecourse.bgp.session import SECOND, PeerFigures, State
from ochrecourse.bgp.setup import AddressSetup, PeerSetup, SpeakerSetup
from ochrecourse.bgp.speaker import Speaker
from ochrecourse.lab.virtual import VirtualNetwork
from ochrecourse.standins.bgppeer import StandInPeer, frame

A4, B4, A6 = "192.0.2.10/32", "192.0.2.11/32", "2001:db8::a/128"
FIT = FitnessFigures(500_000_000, 60 * SECOND, 0.5, 0.5, 0.9, 2 * SECOND, SECOND, 24 * SECOND, 60 * SECOND)
DRAIN = DrainFigures(2 * SECOND, SECOND, 5 * SECOND)


def address(network, **more):
    net = ipaddress.ip_network(network)
    hop = ipaddress.ip_address("192.0.2.1" if net.version == 4 else "2001:db8::1")
    return AddressSetup(net, hop, **more)


class Stage:
    """A speaker with as many stand-in peers as asked for; `sight` is what its gateway sees."""

    def __init__(self, peers=1, addresses=(A4,), setups=None, seed=1, network=None, hold=9, **figures):
        self.network = network or VirtualNetwork(seed)
        self.peers = [StandInPeer(self.network, identifier=f"10.0.0.{9 + i}") for i in range(peers)]
        told = {"hold_time": hold, "connect_retry": 5 * SECOND, "idle_wait": SECOND, **figures}
        own = [PeerFigures(f"p{i}", 64512, 64600, 0x0A000005, **told) for i in range(peers)]
        where = [PeerSetup(each, "127.0.0.1", peer.port) for each, peer in zip(own, self.peers, strict=True)]
        addresses = setups or [address(each) for each in addresses]
        self.sight, self.jobs, self.left, self.gone, self.words = Sight(), 0, [], [], []
        self.speaker = Speaker(
            self.network, SpeakerSetup(where, addresses, FIT, DRAIN, None), lambda: Sight(**self.fields()),
            lambda: self.left.append(self.network.seconds()), lambda: self.jobs,
            lambda event, **more: self.words.append((event, more)), seed,
        )  # fmt: skip
        self.speaker.gone.append(lambda: self.gone.append(self.network.seconds()))
        self.speaker.start()

    def fields(self):
        return {name: getattr(self.sight, name) for name in Sight.__slots__}

    def run(self, seconds):
        self.network.advance(seconds)

    @property
    def table(self):
        return set(self.peers[0].table)

    def said(self, prefix=A4):
        return self.peers[0].table[prefix][1]


def test_a_fit_gateway_is_announced_after_its_rest_and_withdrawn_within_a_second():
    stage = Stage()
    stage.run(0.9)
    assert not stage.table
    stage.run(1)
    assert (
        stage.table == {A4} and stage.said()["as_path"] == [64512] and stage.said()["next_hop"] == "192.0.2.1"
    )
    stage.sight.listening = False
    before = stage.network.seconds()
    stage.run(1)
    assert not stage.table and stage.peers[0].changes[-1].at - before < 1


def test_two_addresses_stand_each_for_itself_and_ipv6_goes_too():
    stage = Stage(setups=[address(A4), address(B4, list_needed=False), address(A6, med=7)])
    stage.run(3)
    assert stage.table == {A4, B4, A6} and stage.said(A6) == {
        "as_path": [64512],
        "next_hop": "2001:db8::1",
        "med": 7,
    }
    stage.sight.list_age = 100 * SECOND
    stage.run(4)
    assert stage.said(A4)["med"] == 1000 and "65535:0" in stage.said(A4)["communities"]
    assert "communities" not in stage.said(B4)


def test_an_ipv6_only_peer_is_told_of_ipv6_only():
    stage = Stage(addresses=(A4, A6))
    stage.peers[0].families = [2]
    stage.run(3)
    assert stage.table == {A6}


def test_a_session_that_drops_comes_back_with_the_state_of_now():
    stage = Stage(addresses=(A4, B4))
    stage.run(3)
    stage.peers[0].ends[0].transport.abortConnection()
    stage.run(0.1)
    assert not stage.table
    stage.sight.nodes_ready, stage.sight.nodes_reached = 8, 2
    stage.run(6)
    assert stage.table == {A4, B4} and stage.said()["med"] == 1000 and stage.peers[0].sessions == 2


def test_fitness_lost_while_the_session_is_down_is_never_announced():
    stage = Stage()
    stage.run(3)
    stage.peers[0].ends[0].transport.abortConnection()
    stage.sight.has_list = False
    changes = len(stage.peers[0].changes)
    stage.run(10)
    assert stage.peers[0].sessions == 2 and not stage.table and len(stage.peers[0].changes) == changes + 1


@pytest.mark.parametrize("bad", [
    b"\0" * 19, frame(9), frame(1, b"\4" + bytes(9)), frame(2, b"\0\xff\0\0"), frame(2, bytes(2) + b"\0\3\x40\x63\0"),
    frame(3, b"\6\4"), frame(4) * 3000,
])  # fmt: skip
def test_a_peer_that_misbehaves_loses_its_session_and_no_other(bad):
    stage = Stage(peers=2)
    stage.peers[0].on_up = lambda end: end.transport.write(bad) if stage.peers[0].sessions < 4 else None
    stage.run(3)
    assert set(stage.peers[1].table) == {A4} and stage.peers[1].sessions == 1
    stage.run(60)
    assert stage.table == {A4}  # once it behaves, it is told again


def test_a_bad_optional_attribute_of_a_peer_harms_nothing():
    stage = Stage()
    stage.run(3)
    update = bytes.fromhex("0000 0012 40010100 400200 400304c0000201 c06301aa 08 0a".replace(" ", ""))
    stage.peers[0].ends[0].transport.write(frame(2, update))
    stage.run(2)
    assert stage.table == {A4} and stage.peers[0].sessions == 1


def test_half_a_message_then_nothing_ends_with_the_hold_timer():
    stage = Stage()
    stage.run(3)
    stage.peers[0].silent = True
    stage.peers[0].ends[0].transport.write(frame(2, bytes(4))[:21])
    stage.run(20)
    assert (4, 0, b"") in stage.peers[0].ends[0].notes


def test_a_peer_that_says_nothing_is_given_up_after_the_large_hold_time():
    stage = Stage()
    stage.peers[0].mute = True
    stage.run(239)
    assert stage.speaker.peers[0].peer.state is State.OPEN_SENT
    stage.run(3)
    assert stage.peers[0].ends[0].notes == [(4, 0, b"")]


def test_a_hundred_resets_right_after_established_starve_no_other_peer():
    stage = Stage(peers=2)
    stage.peers[0].on_up = lambda end: end.transport.abortConnection()
    stage.run(600)
    assert stage.peers[0].sessions > 50 and set(stage.peers[1].table) == {A4} and stage.peers[1].sessions == 1
    assert len(list(stage.peers[1].changes)) == 1


def test_a_peer_that_never_reads_holds_up_nobody():
    stage = Stage(peers=2)
    stage.run(3)
    stage.peers[0].ends[0].transport.freeze(True)
    stage.sight.listening = False
    stage.run(1)
    assert not stage.peers[1].table
    stage.run(30)
    assert stage.speaker.peers[0].peer.counts["sessions"] >= 1 and not stage.speaker.peers[0].peer.routes.told


def test_a_drain_goes_last_choice_then_withdrawn_then_leaves_then_ceases():
    stage = Stage()
    stage.run(3)
    stage.jobs = 2
    start = stage.network.seconds()
    assert stage.speaker.begin_drain()
    stage.run(0.2)
    assert "65535:0" in stage.said()["communities"] and not stage.left
    stage.run(2.2)
    assert not stage.table and not stage.left
    stage.run(1.5)
    assert stage.left and not stage.gone
    stage.jobs = 0
    stage.run(1)
    assert stage.gone and stage.peers[0].ends[0].notes == [(6, 2, b"\x07drained")]
    assert 3 <= stage.left[0] - start < 3.5


def test_a_drain_during_which_the_session_drops_ends_all_the_same_and_announces_nothing():
    stage = Stage()
    stage.run(3)
    stage.speaker.begin_drain()
    stage.run(2.3)
    stage.peers[0].ends[0].transport.abortConnection()
    stage.run(10)
    assert stage.gone and not stage.table
    assert not any(change.said for change in stage.peers[0].changes if change.at > stage.left[0] - 1)


def test_a_drain_can_be_taken_back_until_jobs_are_refused():
    stage = Stage()
    stage.run(3)
    stage.speaker.begin_drain()
    stage.run(2.5)
    assert not stage.table and stage.speaker.undo_drain()
    stage.run(5)
    assert stage.table == {A4}
    stage.speaker.begin_drain()
    stage.run(3.5)
    assert stage.left and not stage.speaker.undo_drain()


def test_a_loop_that_stood_still_withdraws_when_it_comes_back():
    stage = Stage(hold=30)
    stage.run(3)
    stage.network.now += 2.0  # nothing ran meanwhile
    stage.run(0.5)
    assert not stage.table and stage.speaker.addresses[0].fitness.standing is Standing.WITHDRAWN
    assert any("late" in more.get("why", "") for event, more in stage.words if event == "address")


def test_the_peer_takes_the_address_away_when_the_loop_stands_still_for_its_hold_time():
    """The speaker sends keepalives from the loop that serves: when that stops, the peer's own timer acts."""
    stage = Stage()
    stage.run(3)
    # A process that is stopped: none of its calls is made, its sockets stay open.
    for link in stage.speaker.peers[0].links.values():
        link.transport.freeze(True)
    stage.network.calls = sorted(
        each for each in stage.network.calls if getattr(each[2].call, "__self__", None) in stage.peers[0].ends
    )
    stopped = stage.network.seconds()
    stage.run(12)
    lost = [change.at for change in stage.peers[0].changes if not change.said]
    assert not stage.table and lost and lost[0] - stopped <= 9 + 1


def test_both_ends_connecting_at_once_leaves_one_session():
    network = VirtualNetwork(4)
    peer = StandInPeer(network, identifier="10.0.0.9")
    figures = PeerFigures("p0", 64512, 64600, 0x0A000005, 9, 5 * SECOND, SECOND)
    setup = SpeakerSetup(
        [PeerSetup(figures, "127.0.0.1", peer.port)], [address(A4)], FIT, DRAIN, ("127.0.0.1", 0)
    )
    speaker = Speaker(network, setup, Sight, lambda: None, lambda: 0, lambda event, **more: None, 3)
    speaker.start()
    peer.dial("127.0.0.1", speaker.listening.getHost().port)
    network.advance(5)
    assert len(speaker.peers[0].peer.links) == 1 and set(peer.table) == {A4}
    assert speaker.peers[0].peer.counts["collisions"] >= 1


def test_twelve_gateways_that_lose_the_same_half_of_the_nodes_all_stay_as_last_choice():
    network = VirtualNetwork(8)
    stages = [Stage(network=network, seed=i) for i in range(12)]
    network.advance(3)
    for stage in stages:
        stage.sight.nodes_ready, stage.sight.nodes_reached = 8, 3
    network.advance(5)
    assert all(stage.table == {A4} and stage.said()["med"] == 1000 for stage in stages)
    for stage in stages:
        stage.sight.nodes_reached = 8
    network.advance(5)
    assert all("med" not in stage.said() for stage in stages)
    assert all(stage.speaker.addresses[0].fitness.changes == 3 for stage in stages)


def test_the_report_names_reasons():
    stage = Stage()
    stage.run(3)
    stage.sight.has_list = False
    stage.run(0.5)
    told = stage.speaker.report()
    assert (
        told["addresses"][0]["reasons"] == ["no list of nodes"]
        and told["addresses"][0]["standing"] == "withdrawn"
    )
    assert told["peers"][0]["state"] == "established" and told["peers"][0]["told"] == []
