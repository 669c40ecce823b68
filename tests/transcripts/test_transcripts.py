"""Whole exchanges as approved text: client to gateway to node to peers, on the virtual clock. `make transcripts` shows
what differs and takes it over once a person has said so.
"""

import json
from pathlib import Path
from types import SimpleNamespace

import pytest
from conftest import RawConnection, ScriptedNode
from test_door import LOCK, House
from test_fleet_part import LIES, Liar, bodies
from test_fleet_part import Fleet as Gateways
from test_fleet_purges import SiteOfDaemons
from test_gateway import answer, silent
from test_registrar import Town, enrolled
from test_service import PING, Shop, listed, read, write
from test_speaker import SpeakerHarness
from test_state import listed as line
from transcript import Approved, Bgp, Fleet, Framed, Resp, Tap, Text

from ochrecourse.cli.control_answers import answer as control_answer
from ochrecourse.fleet.zone_evidence import EndedAttempt
from ochrecourse.fleet.zone_nodes import ZoneNode
from ochrecourse.fleet.zone_state import STATE_WORDS
from ochrecourse.gateway.client_connection import ClientConnectionFactory
from ochrecourse.interface import Ending, Health, ListKind, NodeEntry
from ochrecourse.lab.virtual import VirtualNetwork, Way
from ochrecourse.membership.endpoint_list_store import WatcherContext
from ochrecourse.membership.list_server_watcher import ListServerWatcher
from ochrecourse.common.time_units import MS, SECOND
from ochrecourse.standins.list_server import ListServer
from ochrecourse.standins.resp_node import success_reply
from ochrecourse.wire import messages as m


@pytest.fixture
def tap(monkeypatch):
    return Tap(monkeypatch)


def story(told):
    """Makes a test of a story: what crossed the connections that it placed is as approved."""

    def run(tap, make_gateway_harness, snapshot):
        told(tap, make_gateway_harness)
        assert tap.text(told.__doc__) == snapshot(extension_class=Approved)

    globals()[f"test_{told.__name__}"] = run
    return told


def yard_of(tap, make_gateway_harness, *scripts, **changes):
    yard = make_gateway_harness(*scripts, **changes)
    tap.place(yard.port, "gateway", "client", Framed)
    for i, node in enumerate(yard.nodes):
        tap.place(node.port, f"node {70 + i}", "gateway", Framed)
    return yard


# --- native framing ---


@story
def native_read(tap, make_gateway_harness):
    """A read goes to the node that holds the shard and its data comes back."""
    yard = yard_of(tap, make_gateway_harness, answer, answer)
    yard.submit(yard.client(), shard=1, trace="a read")
    yard.run()


@story
def native_write_in_parts(tap, make_gateway_harness):
    """A write whose body comes in parts: the node is sent parts as well, and answers once it has them all."""
    got = []

    def keeps(wire, message, body):
        got.append(body)
        if sum(map(len, got)) == 150_000:
            wire.send(m.AttemptServed(id=1, shard=0))

    yard = yard_of(tap, make_gateway_harness, keeps)
    client = yard.client()
    client.send(
        m.SubmitRequest(
            id=1, request_class="mark", tenant="p0", volume=1, key=4, timeout_ms=900, shard=0, size=150_000
        )
    )
    for size in (m.MAX_BODY_BYTES, m.MAX_BODY_BYTES, 150_000 - 2 * m.MAX_BODY_BYTES):
        yard.run(0.01)
        client.send(m.BodyChunk(id=1), bytes(size))
    yard.run()


@story
def native_denied_with_come_back_time(tap, make_gateway_harness):
    """A plan's units run out: what would wait too long is denied, with the time after which to come back."""
    yard = yard_of(tap, make_gateway_harness, answer, Policies__1__Limit="4", Policies__1__CapDepth="8")
    client = yard.client()
    yard.run(3)
    for number in range(1, 6):
        yard.submit(client, number, tenant="p1", units=4.0)
    yard.run()


@story
def native_written_off_after_its_timeout(tap, make_gateway_harness):
    """A node takes a binding job and says nothing: the client is told in time that nobody knows, the leg is cancelled."""
    yard = yard_of(tap, make_gateway_harness, silent)
    yard.submit(yard.client(), request_class="bind", key=5, timeout_ms=700)
    yard.run(6)


@story
def native_client_leaves(tap, make_gateway_harness):
    """A client that no longer waits says so, and hears no more of its job; its leg is cancelled when its patience ends."""
    yard = yard_of(tap, make_gateway_harness, answer_cancels)
    client = yard.client()
    yard.submit(client, timeout_ms=900)
    yard.run(0.1)
    client.send(m.CancelRequest(id=1))
    yard.run()


def answer_cancels(wire, message, body):
    if isinstance(message, m.CancelAttempt):
        wire.send(m.AttemptCancelled(id=message.id, executed="no"))


def fails(wire, message, body):
    if isinstance(message, m.SendAttempt):
        wire.send(m.AttemptFailed(id=message.id, text="disk"))


@story
def native_second_leg_after_a_failure(tap, make_gateway_harness):
    """A retriable job whose leg fails is sent once more and is fulfilled."""
    legs = []

    def first_fails(wire, message, body):
        if isinstance(message, m.SendAttempt):
            legs.append(message)
            (fails if len(legs) == 1 else answer)(wire, message, body)

    yard = yard_of(tap, make_gateway_harness, first_fails)
    yard.submit(yard.client())
    yard.run()


@story
def native_binding_job_is_never_sent_twice(tap, make_gateway_harness):
    """A binding job whose leg failed may have had its effect: it is written off and nothing more is sent."""
    yard = yard_of(tap, make_gateway_harness, fails)
    yard.submit(yard.client(), request_class="bind", key=5)
    yard.run()


@story
def native_turned_away_unseen(tap, make_gateway_harness):
    """A node has no room for a binding job: nothing was begun, so it is denied and not written off."""

    def full(wire, message, body):
        if isinstance(message, m.SendAttempt):
            wire.send(m.AttemptRejected(id=message.id))

    yard = yard_of(tap, make_gateway_harness, full)
    yard.submit(yard.client(), request_class="bind", key=5)
    yard.run()


@story
def native_node_drains(tap, make_gateway_harness):
    """The list says that a node drains: what is out there ends there, what comes for new objects goes elsewhere."""

    def slowly(wire, message, body):
        if isinstance(message, m.SendAttempt):
            wire.network.callLater(0.05, wire.send, m.AttemptServed(id=message.id, shard=message.shard))

    yard = yard_of(tap, make_gateway_harness, slowly, slowly)
    client = yard.client()
    yard.submit(client, 1, request_class="mark", key=1, shard=0)
    yard.run(0.01)
    tap.note(yard.network, "the list says that node 70 drains")
    yard.gateway.endpoint_list_received(ListKind.DELTA, [NodeEntry(70, 0, 0, Health.DRAINING, 0)], {})
    for number in (2, 3, 4):
        yard.submit(client, number, request_class="mark", key=number, shard=-1)
    yard.run()


@story
def native_order_by_key(tap, make_gateway_harness):
    """Jobs on one key go out one after another, in their order; another key's job does not wait for them."""

    def slowly(wire, message, body):
        if isinstance(message, m.SendAttempt):
            wire.network.callLater(0.03, wire.send, m.AttemptServed(id=message.id, shard=0))

    yard = yard_of(tap, make_gateway_harness, slowly)
    client = yard.client()
    for number, key in ((1, 5), (2, 5), (3, 6)):
        yard.submit(client, number, request_class="bind", key=key)
    yard.run()


@story
def native_answer_breaks_off(tap, make_gateway_harness):
    """A node's connection ends in the middle of an answer: what came is kept, and the job is written off."""

    def half(wire, message, body):
        if isinstance(message, m.SendAttempt):
            wire.send(m.AttemptServed(id=message.id, size=10), b"12345")
            wire.transport.loseConnection()

    yard = yard_of(tap, make_gateway_harness, half)
    yard.submit(yard.client())
    yard.run()


@story
def native_second_answer(tap, make_gateway_harness):
    """A node that answers a leg twice is told its fault and loses the connection; the client has one answer."""

    def twice(wire, message, body):
        if isinstance(message, m.SendAttempt):
            for _ in range(2):
                wire.send(m.AttemptServed(id=message.id, size=2, shard=0), b"ok")

    yard = yard_of(tap, make_gateway_harness, twice)
    yard.submit(yard.client())
    yard.run()


@story
def native_node_that_nobody_listens_at(tap, make_gateway_harness):
    """A dial is refused, so nothing can have run: a binding job is denied and not written off."""
    yard = yard_of(tap, make_gateway_harness, answer)
    tap.place(9, "node 70", "gateway", Framed)
    yard.gateway.addresses[70] = ("127.0.0.1", 9)
    yard.submit(yard.client(), request_class="bind", key=1)
    yard.run()


@story
def native_gateway_drains(tap, make_gateway_harness):
    """A gateway that leaves says bye, denies what comes, and answers what it holds before it goes."""

    def late(wire, message, body):
        if isinstance(message, m.SendAttempt):
            wire.network.callLater(0.3, wire.send, m.AttemptServed(id=message.id, shard=0))

    yard = yard_of(tap, make_gateway_harness, late)
    client = yard.client()
    yard.submit(client, 1, request_class="bind", key=2, timeout_ms=800)
    yard.run(0.1)
    tap.note(yard.network, "the gateway is told to leave")
    yard.client_factory.announce_drain()
    yard.gateway.drain()
    yard.submit(client, 2)
    yard.run()


@story
def native_fault_on_a_bad_header(tap, make_gateway_harness):
    """What is no message ends its own connection with one clear fault; another client's job goes on."""
    yard = yard_of(tap, make_gateway_harness, answer)
    wrong, right = yard.client(), yard.client()
    wrong.transport.write(b"[]\r\n")
    yard.submit(right)
    yard.run()


@story
def native_fault_on_a_header_without_end(tap, make_gateway_harness):
    """A header line is bounded before it is kept: 5,000 bytes without an end are a fault."""
    yard = yard_of(tap, make_gateway_harness, answer)
    yard.client().transport.write(b"A" * 5000)
    yard.run()


@story
def native_job_of_no_known_product(tap, make_gateway_harness):
    """A job that can not be taken is a fault of that job alone; the connection goes on."""
    yard = yard_of(tap, make_gateway_harness, answer)
    client = yard.client()
    yard.submit(client, 1, request_class="nothing")
    yard.submit(client, 2)
    yard.run()


# --- list server ---


class Following:
    """A list server and one gateway that follows it."""

    def __init__(self, tap):
        self.network, self.news = VirtualNetwork(3), []
        self.server = ListServer(self.network, 1, 0.01, lambda record: None)
        for node in (70, 71):
            self.server.add_initial_entry(line(node), 0)
        port = self.network.listenTCP(0, self.server).getHost().port
        tap.place(port, "list server", "gateway", Framed)
        context = WatcherContext("g0", self.network, self.news.append, None, 9)
        self.follower = ListServerWatcher(context, ("127.0.0.1", port))
        self.follower.start()
        self.network.advance(0.1)


@story
def list_whole_then_a_change(tap, make_gateway_harness):
    """A gateway asks for the whole list and is then told each change of it."""
    following = Following(tap)
    following.server.update_entry(line(71, "draining"), 0)
    following.network.advance(0.1)
    following.server.update_entry(line(71, "gone"), 0)
    following.network.advance(0.1)


@story
def list_gap_in_the_versions(tap, make_gateway_harness):
    """A change is missing between what is known and what is told: the whole list is asked for."""
    following = Following(tap)
    port = next(iter(following.server.connections))
    port.send_message(m.EndpointListMessage(kind="delta", epoch=5), m.encode_list([line(72)]))
    following.network.advance(0.5)


@story
def list_server_away_and_back(tap, make_gateway_harness):
    """The list server is away: the gateway goes on by what it holds, dials with growing waits, and asks from there."""
    following = Following(tap)
    following.server.set_unavailable(True)
    following.network.advance(1)
    tap.note(following.network, "the list server is back, one change further")
    following.server.update_entry(line(72), 0)
    following.server.set_unavailable(False)
    following.network.advance(3)


# --- the platform's form: RESP2 on both sides ---


def shop_of(tap, **changes):
    shop = Shop(**changes)
    tap.place(shop.port, "gateway", "client", Resp)
    tap.place(shop.node_port, "node", "gateway", Resp)
    return shop


@story
def resp_read(tap, make_gateway_harness):
    """A read: the node gets the client's words but for the time that is left; the client gets the value alone."""
    shop = shop_of(tap)
    shop.client().say(read(1))
    shop.run()


@story
def resp_write_in_pieces(tap, make_gateway_harness):
    """A write whose bytes come in pieces is sent on once it is whole."""
    shop = shop_of(tap)
    client, whole = shop.client(), write(1, b"a longer value")
    for at in (0, 40, 90):
        client.say(whole[at : at + (40 if not at else 50 if at == 40 else 1000)])
        shop.run(0.02)
    shop.run()


@story
def resp_busy(tap, make_gateway_harness):
    """A node that is full turns a read away; there is no other, and the client hears that it was not served."""
    shop = shop_of(tap, reply=lambda words: b"-BUSY\r\n")
    shop.client().say(read(1))
    shop.run()


@story
def resp_error_line(tap, make_gateway_harness):
    """A command that is none ends its connection with one error line, behind the answers that are owed."""
    shop = shop_of(tap)
    shop.client().say(read(1) + b"nonsense\r\n")
    shop.run()


@story
def resp_pipelining(tap, make_gateway_harness):
    """Answers come in the order of the commands, though the second node connection answered first."""
    shop = shop_of(tap, reply=lambda words: None)
    client = shop.client()
    client.say(read(1) + PING + read(2))
    shop.run(0.05)
    first, second = sorted(shop.node.peers, key=lambda peer: peer.commands[0][2])
    for peer in (second, first):
        peer.transport.write(success_reply(peer.commands[0]))
        shop.run(0.05)


@story
def resp_failed_write(tap, make_gateway_harness):
    """A node's connection ends on each leg of a write that may be repeated: after the third it is told as failed."""
    shop = shop_of(tap)
    shop.node.reply = lambda words: shop.node.peers[-1].transport.abortConnection()
    shop.client().say(write(1))
    shop.run()


@story
def resp_job_too_late(tap, make_gateway_harness):
    """A command whose time is over when the loop reads it, after a standstill, has an error line; its connection goes on."""
    shop = shop_of(tap)
    client = shop.client()
    lateness = shop.service.gateway.event_loop_lag
    now = round(shop.network.seconds() * SECOND)
    lateness.timer_fired(now - SECOND, now)
    client.say(read(1, d=500))
    shop.run(0.05)
    lateness.iteration_finished()
    client.say(read(2))
    shop.run(0.5)


@story
def resp_list_pushed(tap, make_gateway_harness):
    """The agent pushes a new version of the list over its watch; a line that can not be read changes nothing."""
    shop = Shop()
    tap.place(shop.agent_port, "list agent", "gateway", Text)
    watch = shop.agent.watches[0]
    for told in (
        json.dumps(listed(shop.node_port, version=6, state="Terminating")).encode() + b"\n",
        b"not JSON\n",
    ):
        watch.send_chunk(told)
        shop.run(0.2)
    nodes = ", ".join(
        f"{entry.node} {entry.health.name.lower()}" for entry in shop.service.gateway.entries.values()
    )
    tap.note(shop.network, f"the gateway's list: {nodes}")


@story
def resp_silent_watch(tap, make_gateway_harness):
    """A watch over which nothing comes is ended and made anew from the version that is known."""
    shop = Shop()
    tap.place(shop.agent_port, "list agent", "gateway", Text)
    shop.run(12)


# --- WebDAV ---


def house_of(tap, make_gateway_harness, **more):
    house = House(make_gateway_harness, **more)
    tap.place(house.port, "door", "client", Text)
    tap.place(house.yard.nodes[0].port, "node 70", "gateway", Framed)
    return house


@story
def webdav_put_and_get_a_range(tap, make_gateway_harness):
    """A file is put, and a part of it is got; the node holds it under a key that no client knows."""
    house = house_of(tap, make_gateway_harness)
    client = house.open()
    client.ask("PUT", "/f", b"0123456789", Content_Type="text/plain")
    client.ask("GET", "/f", Range="bytes=2-5")
    client.ask("GET", "/f", Range="bytes=99-")


@story
def webdav_lock(tap, make_gateway_harness):
    """A lock keeps a second client off, lets its holder through, and is given back."""
    house = house_of(tap, make_gateway_harness)
    holder, other = house.open(), house.open()
    token = holder.ask("LOCK", "/f", LOCK % b"exclusive", Timeout="Second-100")[1]["lock-token"]
    other.ask("PUT", "/f", b"theirs")
    holder.ask("PUT", "/f", b"ours", If=f"({token})")
    holder.ask("UNLOCK", "/f", Lock_Token=token)
    other.ask("PUT", "/f", b"theirs")


@story
def webdav_precondition_failed(tap, make_gateway_harness):
    """Of two clients that read the same version the second one's save is refused: no save is lost without a word."""
    house = house_of(tap, make_gateway_harness)
    client = house.open()
    tag = client.ask("PUT", "/f", b"first")[1]["etag"]
    client.ask("PUT", "/f", b"second", If_Match=tag)
    client.ask("PUT", "/f", b"third", If_Match=tag)
    client.ask("PUT", "/f", b"new", If_None_Match="*")


@story
def webdav_resend_joins(tap, make_gateway_harness):
    """A save that is sent again while it runs joins it: one leg, one effect, and each has its answer."""
    house = house_of(tap, make_gateway_harness)
    house.store.late = 0.2
    for client in (house.open(), house.open()):
        client.send("PUT", "/f", b"save", seconds=0.05, Idempotency_Key="k")
    house.yard.run(1)


@story
def webdav_not_known_in_time(tap, make_gateway_harness):
    """A node stalls on a save: the client is told in time that its outcome is not known, and the old object stays."""
    house = house_of(tap, make_gateway_harness)
    client = house.open()
    client.ask("PUT", "/f", b"old")
    house.store.mute = True
    client.ask("PUT", "/f", b"new", seconds=2.1)
    house.store.mute = False
    client.ask("GET", "/f", seconds=3)


# --- registry ---


def town_of(tap, **more):
    town = Town(servers=2, nodes=2, **more)
    for i, end in enumerate(town.ends):
        tap.place(end.port, f"registry {i}", "gateway", Text)
    return town


@story
def registry_watch(tap, make_gateway_harness):
    """The list is read and then watched from the revision after it; a change comes over the stream."""
    town = town_of(tap)
    town.run(0.5)
    town.put(1, "draining")
    town.run(0.5)


@story
def registry_compaction(tap, make_gateway_harness):
    """The connection breaks, and what happened meanwhile is compacted away: the list is read anew."""
    town = town_of(tap)
    town.run(0.5)
    for end in town.ends:
        end.abort_connections()
    town.put(1, "draining")
    town.store.put(b"/other", b"x")
    town.store.compact()
    town.run(2)


@story
def registry_lease(tap, make_gateway_harness):
    """A gateway's own entry stands by a lease that it renews; a lease that was revoked is taken anew."""
    town = town_of(tap, gateways=0)
    enrolled(town)
    town.run(3)
    tap.note(town.network, "the registry revokes the lease")
    town.store.revoke(next(iter(town.store.leases)))
    town.run(4)


# --- BGP ---


def stage_of(tap, **more):
    stage = SpeakerHarness(**more)
    tap.place(stage.peers[0].port, "peer", "gateway", Bgp)
    return stage


@story
def bgp_open_and_update(tap, make_gateway_harness):
    """Both sides open, the session is up, and the address is announced once the gateway has been fit for its rest."""
    stage_of(tap).run(4)


@story
def bgp_less_preferred_then_withdrawn(tap, make_gateway_harness):
    """Few nodes are reached, and the address becomes the last choice; the listener is gone, and it is withdrawn at once."""
    stage = stage_of(tap)
    stage.run(3)
    stage.status.nodes_ready, stage.status.nodes_reachable = 8, 2
    stage.run(4)
    stage.status.listening = False
    stage.run(1)


@story
def bgp_withdraw_on_drain(tap, make_gateway_harness):
    """A drain: last choice, withdrawn, and the session ends with its reason."""
    stage = stage_of(tap)
    stage.run(3)
    stage.speaker.begin_drain()
    stage.run(6)


# --- a fleet of gateways ---

SLOW = {"step": 60_000.0, "hold": 60_000.0}  # a return that neither goes on nor ends while its story is told


def fleet_of(tap, names, **changes):
    fleet = Gateways(names, **changes)
    for name, port in fleet.ports.items():
        tap.place(port, name, "a" if name != "a" else "b", Fleet)
    return fleet


@story
def fleet_meets_and_exchanges_entries(tap, make_gateway_harness):
    """Two gateways meet, tell each other what they hold, and each gets the other's entry."""
    fleet = fleet_of(tap, "ab")
    fleet.run(1)
    fleet.parts["a"].append("notes", "from a")
    fleet.run(0.3)
    fleet.parts["b"].append("notes", "from b")
    fleet.run(0.6)


@story
def fleet_wrong_name_is_turned_away(tap, make_gateway_harness):
    """Who is of another fleet is told so, and nothing of it is taken."""
    fleet = fleet_of(tap, "a")
    liar = Liar(fleet, "a")
    liar.transport.write(LIES["fleet"])
    fleet.run(0.5)


@story
def fleet_clock_far_ahead_is_turned_away(tap, make_gateway_harness):
    """A row from a clock that is years ahead is not merged; the link ends with one line."""
    fleet = fleet_of(tap, "a")
    fleet.ports["b"] = 20_900
    fleet.parts["a"].kill()
    fleet.start("a")
    liar = Liar(fleet, "a")
    liar.transport.write(LIES["ahead"])
    fleet.run(0.5)


@story
def fleet_two_sites_reconnect(tap, make_gateway_harness):
    """The ways between two gateways are cut, both go on appending, and once they meet again both hold all in one order."""
    fleet = fleet_of(tap, "ab")
    fleet.run(1)
    fleet.cut("a", "b")
    tap.note(fleet.network, "the ways between a and b are cut")
    fleet.run(3)
    fleet.parts["a"].append("notes", "a alone")
    fleet.parts["b"].append("notes", "b alone")
    fleet.run(1)
    fleet.cut("a", "b", None)
    tap.note(fleet.network, "they are whole again")
    fleet.run(5)
    for name, part in fleet.parts.items():
        tap.note(fleet.network, f"{name} reads {b', '.join(bodies(part, 'notes')).decode()}")


@story
def fleet_zone_is_left_and_regained(tap, make_gateway_harness):
    """A person leaves a zone through one gateway and gives it back: an event each, and every gateway says what stands."""
    fleet = fleet_of(tap, "ab", zones=SLOW)
    fleet.run(1)
    for word in ("left", "returning"):
        asked = {"do": "zone", "zone": 0, "standing": word}
        tap.note(fleet.network, f"a is asked {json.dumps(asked)}")
        control_answer(SimpleNamespace(fleet_member=fleet.parts["a"]), json.dumps(asked).encode())
        fleet.run(1.5)
        for name, part in fleet.parts.items():
            standing, number = part.zones.state_of(0)
            tap.note(fleet.network, f"at {name} zone 0 is {STATE_WORDS[standing]}, by decision {number}")


@story
def fleet_cold_nodes_allotment_is_lent(tap, make_gateway_harness):
    """A zone returns with a cold node. Gateway b uses up its part there, a has no work for it and lends half of its own."""
    fleet = fleet_of(tap, "ab", zones=SLOW)
    for part in fleet.parts.values():
        part.zones.update_nodes({70: ZoneNode(0, 0, True, 0), 71: ZoneNode(1, 1, True, 0)})
    fleet.run(20)  # until no loan of an earlier life can be out
    for word in ("left", "returning"):
        control_answer(
            SimpleNamespace(fleet_member=fleet.parts["a"]),
            json.dumps({"do": "zone", "zone": 0, "standing": word}).encode(),
        )
        fleet.run(1)
    for _ in range(40):
        fleet.parts["b"].zones.attempt_ended(
            EndedAttempt(70, Ending.SERVED, 30 * MS, 0.0, round(fleet.network.seconds() * SECOND), 8.0)
        )
        fleet.run(0.1)
    for name, part in fleet.parts.items():
        rate = part.zones.node_rates(round(fleet.network.seconds() * SECOND))[70]
        tap.note(fleet.network, f"{name} may begin {rate:.2f} units a second at node 70")


@story
def fleet_purge_then_the_next_read_asks_a_node(tap, make_gateway_harness):
    """Edge g0 answers reads from its copy until the building closes; then the first read goes to the node."""
    building = building_of(tap)
    for ms, what in (
        (8000, "before the close"),
        (29_000, "a second before the close"),
        (30_300, "after the close"),
        (31_000, "and again"),
    ):
        building.until(ms)
        tap.note(building.network, what)
        building.read("g0")


@story
def fleet_unsure_edge_asks_a_node(tap, make_gateway_harness):
    """Edge g0 is cut off from the others, so it can't be sure that its copy may still be told: it asks the node."""
    building = building_of(tap)
    building.until(8000)
    building.read("g0")
    tap.note(building.network, "g0 is cut off from the other edges")
    for other in ("g1", "g2", "g3"):
        for here, there in (("g0", other), (other, "g0")):
            building.network.set_way(here, there, Way(cut=True))
    building.until(33_000)
    building.read("g0")
    building.read("g0")


def building_of(tap):
    building = SiteOfDaemons(ScriptedNode, RawConnection)
    tap.place(21_000, "g0", "client", Framed)
    tap.place(building.node.port, "node 70", "an edge", Framed)
    return building


def test_a_gateway_that_leaves_without_a_word_is_seen(tap, make_gateway_harness, monkeypatch):
    """A seeded mistake: no bye is said."""
    approved = Path(__file__).parent / "__snapshots__" / "test_transcripts" / "test_native_gateway_drains.txt"
    monkeypatch.setattr(ClientConnectionFactory, "announce_drain", lambda self: None)
    native_gateway_drains(tap, make_gateway_harness)
    lines, others = (
        [line[9:] for line in text.splitlines()] for text in (approved.read_text(), tap.text(""))
    )
    assert [line for line in lines[2:] if line not in others] == ["  gateway -> client  bye reason=draining"]
