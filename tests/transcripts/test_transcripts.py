"""Transcripts of exchanges between clients, gateways, nodes and peers, in virtual time. `make transcripts` shows
differences and approves them on confirmation.
"""

import json
from pathlib import Path
from types import SimpleNamespace

import pytest
from conftest import RawConnection, ScriptedNode
from test_door import LOCK, WebDavHarness
from test_fleet_part import LIES, Liar, bodies
from test_fleet_part import Fleet as Gateways
from test_fleet_purges import SiteOfDaemons
from test_gateway import answer, silent
from test_registrar import RegistryHarness, register_gateway
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


def scenario(function):
    """Makes a test of a scenario: the transcript of the ports that it names must equal the approved one."""

    def run(tap, make_gateway_harness, snapshot):
        function(tap, make_gateway_harness)
        assert tap.text(function.__doc__) == snapshot(extension_class=Approved)

    globals()[f"test_{function.__name__}"] = run
    return function


def named_harness(tap, make_gateway_harness, *scripts, **changes):
    harness = make_gateway_harness(*scripts, **changes)
    tap.name_port(harness.port, "gateway", "client", Framed)
    for i, node in enumerate(harness.nodes):
        tap.name_port(node.port, f"node {70 + i}", "gateway", Framed)
    return harness


# --- native framing ---


@scenario
def native_read(tap, make_gateway_harness):
    """A read goes to the node that holds the shard and its data comes back."""
    harness = named_harness(tap, make_gateway_harness, answer, answer)
    harness.submit(harness.client(), shard=1, trace="a read")
    harness.run()


@scenario
def native_write_in_parts(tap, make_gateway_harness):
    """A write whose body comes in parts: the node is sent parts as well, and answers once it has them all."""
    received = []

    def collect_body(wire, message, body):
        received.append(body)
        if sum(map(len, received)) == 150_000:
            wire.send(m.AttemptServed(id=1, shard=0))

    harness = named_harness(tap, make_gateway_harness, collect_body)
    client = harness.client()
    client.send(
        m.SubmitRequest(
            id=1, request_class="mark", tenant="p0", volume=1, key=4, timeout_ms=900, shard=0, size=150_000
        )
    )
    for size in (m.MAX_BODY_BYTES, m.MAX_BODY_BYTES, 150_000 - 2 * m.MAX_BODY_BYTES):
        harness.run(0.01)
        client.send(m.BodyChunk(id=1), bytes(size))
    harness.run()


@scenario
def native_denied_with_come_back_time(tap, make_gateway_harness):
    """A plan's units run out: what would wait too long is denied, with the time after which to come back."""
    harness = named_harness(
        tap, make_gateway_harness, answer, Policies__1__Limit="4", Policies__1__CapDepth="8"
    )
    client = harness.client()
    harness.run(3)
    for number in range(1, 6):
        harness.submit(client, number, tenant="p1", units=4.0)
    harness.run()


@scenario
def native_written_off_after_its_timeout(tap, make_gateway_harness):
    """A node takes a binding job and says nothing: the client is told in time that nobody knows, the leg is cancelled."""
    harness = named_harness(tap, make_gateway_harness, silent)
    harness.submit(harness.client(), request_class="bind", key=5, timeout_ms=700)
    harness.run(6)


@scenario
def native_client_leaves(tap, make_gateway_harness):
    """A client that no longer waits says so, and hears no more of its job; its leg is cancelled when its patience ends."""
    harness = named_harness(tap, make_gateway_harness, answer_cancel)
    client = harness.client()
    harness.submit(client, timeout_ms=900)
    harness.run(0.1)
    client.send(m.CancelRequest(id=1))
    harness.run()


def answer_cancel(wire, message, body):
    if isinstance(message, m.CancelAttempt):
        wire.send(m.AttemptCancelled(id=message.id, executed="no"))


def fail(wire, message, body):
    if isinstance(message, m.SendAttempt):
        wire.send(m.AttemptFailed(id=message.id, text="disk"))


@scenario
def native_second_leg_after_a_failure(tap, make_gateway_harness):
    """A retriable job whose leg fails is sent once more and is fulfilled."""
    attempts = []

    def fail_first(wire, message, body):
        if isinstance(message, m.SendAttempt):
            attempts.append(message)
            (fail if len(attempts) == 1 else answer)(wire, message, body)

    harness = named_harness(tap, make_gateway_harness, fail_first)
    harness.submit(harness.client())
    harness.run()


@scenario
def native_binding_job_is_never_sent_twice(tap, make_gateway_harness):
    """A binding job whose leg failed may have had its effect: it is written off and nothing more is sent."""
    harness = named_harness(tap, make_gateway_harness, fail)
    harness.submit(harness.client(), request_class="bind", key=5)
    harness.run()


@scenario
def native_turned_away_unseen(tap, make_gateway_harness):
    """A node has no room for a binding job: nothing was begun, so it is denied and not written off."""

    def reject(wire, message, body):
        if isinstance(message, m.SendAttempt):
            wire.send(m.AttemptRejected(id=message.id))

    harness = named_harness(tap, make_gateway_harness, reject)
    harness.submit(harness.client(), request_class="bind", key=5)
    harness.run()


@scenario
def native_node_drains(tap, make_gateway_harness):
    """The list says that a node drains: what is out there ends there, what comes for new objects goes elsewhere."""

    def answer_slowly(wire, message, body):
        if isinstance(message, m.SendAttempt):
            wire.network.callLater(0.05, wire.send, m.AttemptServed(id=message.id, shard=message.shard))

    harness = named_harness(tap, make_gateway_harness, answer_slowly, answer_slowly)
    client = harness.client()
    harness.submit(client, 1, request_class="mark", key=1, shard=0)
    harness.run(0.01)
    tap.note(harness.network, "the list says that node 70 drains")
    harness.gateway.endpoint_list_received(ListKind.DELTA, [NodeEntry(70, 0, 0, Health.DRAINING, 0)], {})
    for number in (2, 3, 4):
        harness.submit(client, number, request_class="mark", key=number, shard=-1)
    harness.run()


@scenario
def native_order_by_key(tap, make_gateway_harness):
    """Jobs on one key go out one after another, in their order; another key's job does not wait for them."""

    def answer_slowly(wire, message, body):
        if isinstance(message, m.SendAttempt):
            wire.network.callLater(0.03, wire.send, m.AttemptServed(id=message.id, shard=0))

    harness = named_harness(tap, make_gateway_harness, answer_slowly)
    client = harness.client()
    for number, key in ((1, 5), (2, 5), (3, 6)):
        harness.submit(client, number, request_class="bind", key=key)
    harness.run()


@scenario
def native_answer_breaks_off(tap, make_gateway_harness):
    """A node's connection ends in the middle of an answer: what came is kept, and the job is written off."""

    def answer_half(wire, message, body):
        if isinstance(message, m.SendAttempt):
            wire.send(m.AttemptServed(id=message.id, size=10), b"12345")
            wire.transport.loseConnection()

    harness = named_harness(tap, make_gateway_harness, answer_half)
    harness.submit(harness.client())
    harness.run()


@scenario
def native_second_answer(tap, make_gateway_harness):
    """A node that answers a leg twice is told its fault and loses the connection; the client has one answer."""

    def answer_twice(wire, message, body):
        if isinstance(message, m.SendAttempt):
            for _ in range(2):
                wire.send(m.AttemptServed(id=message.id, size=2, shard=0), b"ok")

    harness = named_harness(tap, make_gateway_harness, answer_twice)
    harness.submit(harness.client())
    harness.run()


@scenario
def native_node_that_nobody_listens_at(tap, make_gateway_harness):
    """A dial is refused, so nothing can have run: a binding job is denied and not written off."""
    harness = named_harness(tap, make_gateway_harness, answer)
    tap.name_port(9, "node 70", "gateway", Framed)
    harness.gateway.addresses[70] = ("127.0.0.1", 9)
    harness.submit(harness.client(), request_class="bind", key=1)
    harness.run()


@scenario
def native_gateway_drains(tap, make_gateway_harness):
    """A gateway that leaves says bye, denies what comes, and answers what it holds before it goes."""

    def answer_late(wire, message, body):
        if isinstance(message, m.SendAttempt):
            wire.network.callLater(0.3, wire.send, m.AttemptServed(id=message.id, shard=0))

    harness = named_harness(tap, make_gateway_harness, answer_late)
    client = harness.client()
    harness.submit(client, 1, request_class="bind", key=2, timeout_ms=800)
    harness.run(0.1)
    tap.note(harness.network, "the gateway is told to leave")
    harness.client_factory.announce_drain()
    harness.gateway.drain()
    harness.submit(client, 2)
    harness.run()


@scenario
def native_fault_on_a_bad_header(tap, make_gateway_harness):
    """What is no message ends its own connection with one clear fault; another client's job goes on."""
    harness = named_harness(tap, make_gateway_harness, answer)
    invalid, valid = harness.client(), harness.client()
    invalid.transport.write(b"[]\r\n")
    harness.submit(valid)
    harness.run()


@scenario
def native_fault_on_a_header_without_end(tap, make_gateway_harness):
    """A header line is bounded before it is kept: 5,000 bytes without an end are a fault."""
    harness = named_harness(tap, make_gateway_harness, answer)
    harness.client().transport.write(b"A" * 5000)
    harness.run()


@scenario
def native_job_of_no_known_product(tap, make_gateway_harness):
    """A job that can not be taken is a fault of that job alone; the connection goes on."""
    harness = named_harness(tap, make_gateway_harness, answer)
    client = harness.client()
    harness.submit(client, 1, request_class="nothing")
    harness.submit(client, 2)
    harness.run()


# --- list server ---


class ListWatch:
    """A list server and a gateway that watches it."""

    def __init__(self, tap):
        self.network, self.news = VirtualNetwork(3), []
        self.server = ListServer(self.network, 1, 0.01, lambda record: None)
        for node in (70, 71):
            self.server.add_initial_entry(line(node), 0)
        port = self.network.listenTCP(0, self.server).getHost().port
        tap.name_port(port, "list server", "gateway", Framed)
        context = WatcherContext("g0", self.network, self.news.append, None, 9)
        self.follower = ListServerWatcher(context, ("127.0.0.1", port))
        self.follower.start()
        self.network.advance(0.1)


@scenario
def list_whole_then_a_change(tap, make_gateway_harness):
    """A gateway asks for the whole list and is then told each change of it."""
    watch_harness = ListWatch(tap)
    watch_harness.server.update_entry(line(71, "draining"), 0)
    watch_harness.network.advance(0.1)
    watch_harness.server.update_entry(line(71, "gone"), 0)
    watch_harness.network.advance(0.1)


@scenario
def list_gap_in_the_versions(tap, make_gateway_harness):
    """A change is missing between what is known and what is told: the whole list is asked for."""
    watch_harness = ListWatch(tap)
    port = next(iter(watch_harness.server.connections))
    port.send_message(m.EndpointListMessage(kind="delta", epoch=5), m.encode_list([line(72)]))
    watch_harness.network.advance(0.5)


@scenario
def list_server_away_and_back(tap, make_gateway_harness):
    """The list server is away: the gateway goes on by what it holds, dials with growing waits, and asks from there."""
    watch_harness = ListWatch(tap)
    watch_harness.server.set_unavailable(True)
    watch_harness.network.advance(1)
    tap.note(watch_harness.network, "the list server is back, one change further")
    watch_harness.server.update_entry(line(72), 0)
    watch_harness.server.set_unavailable(False)
    watch_harness.network.advance(3)


# --- RESP2 on both sides ---


def named_service(tap, **changes):
    service = Shop(**changes)
    tap.name_port(service.port, "gateway", "client", Resp)
    tap.name_port(service.node_port, "node", "gateway", Resp)
    return service


@scenario
def resp_read(tap, make_gateway_harness):
    """A read: the node gets the client's words but for the time that is left; the client gets the value alone."""
    service = named_service(tap)
    service.client().say(read(1))
    service.run()


@scenario
def resp_write_in_pieces(tap, make_gateway_harness):
    """A write whose bytes come in pieces is sent on once it is whole."""
    service = named_service(tap)
    client, command = service.client(), write(1, b"a longer value")
    for at in (0, 40, 90):
        client.say(command[at : at + (40 if not at else 50 if at == 40 else 1000)])
        service.run(0.02)
    service.run()


@scenario
def resp_busy(tap, make_gateway_harness):
    """A node that is full turns a read away; there is no other, and the client hears that it was not served."""
    service = named_service(tap, reply=lambda words: b"-BUSY\r\n")
    service.client().say(read(1))
    service.run()


@scenario
def resp_error_line(tap, make_gateway_harness):
    """A command that is none ends its connection with one error line, behind the answers that are owed."""
    service = named_service(tap)
    service.client().say(read(1) + b"nonsense\r\n")
    service.run()


@scenario
def resp_pipelining(tap, make_gateway_harness):
    """Answers come in the order of the commands, though the second node connection answered first."""
    service = named_service(tap, reply=lambda words: None)
    client = service.client()
    client.say(read(1) + PING + read(2))
    service.run(0.05)
    first, second = sorted(service.node.peers, key=lambda peer: peer.commands[0][2])
    for peer in (second, first):
        peer.transport.write(success_reply(peer.commands[0]))
        service.run(0.05)


@scenario
def resp_failed_write(tap, make_gateway_harness):
    """A node's connection ends on each leg of a write that may be repeated: after the third it is told as failed."""
    service = named_service(tap)
    service.node.reply = lambda words: service.node.peers[-1].transport.abortConnection()
    service.client().say(write(1))
    service.run()


@scenario
def resp_job_too_late(tap, make_gateway_harness):
    """A command whose time is over when the loop reads it, after a standstill, has an error line; its connection goes on."""
    service = named_service(tap)
    client = service.client()
    lateness = service.service.gateway.event_loop_lag
    now = round(service.network.seconds() * SECOND)
    lateness.timer_fired(now - SECOND, now)
    client.say(read(1, d=500))
    service.run(0.05)
    lateness.iteration_finished()
    client.say(read(2))
    service.run(0.5)


@scenario
def resp_list_pushed(tap, make_gateway_harness):
    """The agent pushes a new version of the list over its watch; a line that can not be read changes nothing."""
    service = Shop()
    tap.name_port(service.agent_port, "list agent", "gateway", Text)
    watch = service.agent.watches[0]
    for data in (
        json.dumps(listed(service.node_port, version=6, state="Terminating")).encode() + b"\n",
        b"not JSON\n",
    ):
        watch.send_chunk(data)
        service.run(0.2)
    nodes = ", ".join(
        f"{entry.node} {entry.health.name.lower()}" for entry in service.service.gateway.entries.values()
    )
    tap.note(service.network, f"the gateway's list: {nodes}")


@scenario
def resp_silent_watch(tap, make_gateway_harness):
    """A watch over which nothing comes is ended and made anew from the version that is known."""
    service = Shop()
    tap.name_port(service.agent_port, "list agent", "gateway", Text)
    service.run(12)


# --- WebDAV ---


def named_webdav(tap, make_gateway_harness, **more):
    webdav = WebDavHarness(make_gateway_harness, **more)
    tap.name_port(webdav.port, "door", "client", Text)
    tap.name_port(webdav.gateway_harness.nodes[0].port, "node 70", "gateway", Framed)
    return webdav


@scenario
def webdav_put_and_get_a_range(tap, make_gateway_harness):
    """A file is put, and a part of it is got; the node holds it under a key that no client knows."""
    webdav = named_webdav(tap, make_gateway_harness)
    client = webdav.open()
    client.ask("PUT", "/f", b"0123456789", Content_Type="text/plain")
    client.ask("GET", "/f", Range="bytes=2-5")
    client.ask("GET", "/f", Range="bytes=99-")


@scenario
def webdav_lock(tap, make_gateway_harness):
    """A lock keeps a second client off, lets its holder through, and is given back."""
    webdav = named_webdav(tap, make_gateway_harness)
    holder, other = webdav.open(), webdav.open()
    token = holder.ask("LOCK", "/f", LOCK % b"exclusive", Timeout="Second-100")[1]["lock-token"]
    other.ask("PUT", "/f", b"theirs")
    holder.ask("PUT", "/f", b"ours", If=f"({token})")
    holder.ask("UNLOCK", "/f", Lock_Token=token)
    other.ask("PUT", "/f", b"theirs")


@scenario
def webdav_precondition_failed(tap, make_gateway_harness):
    """Of two clients that read the same version the second one's save is refused: no save is lost without a word."""
    webdav = named_webdav(tap, make_gateway_harness)
    client = webdav.open()
    tag = client.ask("PUT", "/f", b"first")[1]["etag"]
    client.ask("PUT", "/f", b"second", If_Match=tag)
    client.ask("PUT", "/f", b"third", If_Match=tag)
    client.ask("PUT", "/f", b"new", If_None_Match="*")


@scenario
def webdav_resend_joins(tap, make_gateway_harness):
    """A save that is sent again while it runs joins it: one leg, one effect, and each has its answer."""
    webdav = named_webdav(tap, make_gateway_harness)
    webdav.node.delay_s = 0.2
    for client in (webdav.open(), webdav.open()):
        client.send("PUT", "/f", b"save", seconds=0.05, Idempotency_Key="k")
    webdav.gateway_harness.run(1)


@scenario
def webdav_not_known_in_time(tap, make_gateway_harness):
    """A node stalls on a save: the client is told in time that its outcome is not known, and the old object stays."""
    webdav = named_webdav(tap, make_gateway_harness)
    client = webdav.open()
    client.ask("PUT", "/f", b"old")
    webdav.node.silent = True
    client.ask("PUT", "/f", b"new", seconds=2.1)
    webdav.node.silent = False
    client.ask("GET", "/f", seconds=3)


# --- registry ---


def named_registry(tap, **more):
    registry = RegistryHarness(servers=2, nodes=2, **more)
    for i, end in enumerate(registry.servers):
        tap.name_port(end.port, f"registry {i}", "gateway", Text)
    return registry


@scenario
def registry_watch(tap, make_gateway_harness):
    """The list is read and then watched from the revision after it; a change comes over the stream."""
    registry = named_registry(tap)
    registry.run(0.5)
    registry.put(1, "draining")
    registry.run(0.5)


@scenario
def registry_compaction(tap, make_gateway_harness):
    """The connection breaks, and what happened meanwhile is compacted away: the list is read anew."""
    registry = named_registry(tap)
    registry.run(0.5)
    for end in registry.servers:
        end.abort_connections()
    registry.put(1, "draining")
    registry.store.put(b"/other", b"x")
    registry.store.compact()
    registry.run(2)


@scenario
def registry_lease(tap, make_gateway_harness):
    """A gateway's own entry stands by a lease that it renews; a lease that was revoked is taken anew."""
    registry = named_registry(tap, gateways=0)
    register_gateway(registry)
    registry.run(3)
    tap.note(registry.network, "the registry revokes the lease")
    registry.store.revoke(next(iter(registry.store.leases)))
    registry.run(4)


# --- BGP ---


def named_speaker(tap, **more):
    speaker = SpeakerHarness(**more)
    tap.name_port(speaker.peers[0].port, "peer", "gateway", Bgp)
    return speaker


@scenario
def bgp_open_and_update(tap, make_gateway_harness):
    """Both sides open, the session is up, and the address is announced once the gateway has been fit for its rest."""
    named_speaker(tap).run(4)


@scenario
def bgp_less_preferred_then_withdrawn(tap, make_gateway_harness):
    """Few nodes are reached, and the address becomes the last choice; the listener is gone, and it is withdrawn at once."""
    speaker = named_speaker(tap)
    speaker.run(3)
    speaker.status.nodes_ready, speaker.status.nodes_reachable = 8, 2
    speaker.run(4)
    speaker.status.listening = False
    speaker.run(1)


@scenario
def bgp_withdraw_on_drain(tap, make_gateway_harness):
    """A drain: last choice, withdrawn, and the session ends with its reason."""
    speaker = named_speaker(tap)
    speaker.run(3)
    speaker.speaker.begin_drain()
    speaker.run(6)


# --- a fleet of gateways ---

SLOW = {"step": 60_000.0, "hold": 60_000.0}  # a return that does not proceed or end during the test


def named_fleet(tap, names, **changes):
    fleet = Gateways(names, **changes)
    for name, port in fleet.ports.items():
        tap.name_port(port, name, "a" if name != "a" else "b", Fleet)
    return fleet


@scenario
def fleet_meets_and_exchanges_entries(tap, make_gateway_harness):
    """Two gateways meet, tell each other what they hold, and each gets the other's entry."""
    fleet = named_fleet(tap, "ab")
    fleet.run(1)
    fleet.parts["a"].append("notes", "from a")
    fleet.run(0.3)
    fleet.parts["b"].append("notes", "from b")
    fleet.run(0.6)


@scenario
def fleet_wrong_name_is_turned_away(tap, make_gateway_harness):
    """Who is of another fleet is told so, and nothing of it is taken."""
    fleet = named_fleet(tap, "a")
    intruder = Liar(fleet, "a")
    intruder.transport.write(LIES["fleet"])
    fleet.run(0.5)


@scenario
def fleet_clock_far_ahead_is_turned_away(tap, make_gateway_harness):
    """A row from a clock that is years ahead is not merged; the link ends with one line."""
    fleet = named_fleet(tap, "a")
    fleet.ports["b"] = 20_900
    fleet.parts["a"].kill()
    fleet.start("a")
    intruder = Liar(fleet, "a")
    intruder.transport.write(LIES["ahead"])
    fleet.run(0.5)


@scenario
def fleet_two_sites_reconnect(tap, make_gateway_harness):
    """The ways between two gateways are cut, both go on appending, and once they meet again both hold all in one order."""
    fleet = named_fleet(tap, "ab")
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


@scenario
def fleet_zone_is_left_and_regained(tap, make_gateway_harness):
    """A person leaves a zone through one gateway and gives it back: an event each, and every gateway says what stands."""
    fleet = named_fleet(tap, "ab", zones=SLOW)
    fleet.run(1)
    for state in ("left", "returning"):
        request = {"do": "zone", "zone": 0, "standing": state}
        tap.note(fleet.network, f"a is asked {json.dumps(request)}")
        control_answer(SimpleNamespace(fleet_member=fleet.parts["a"]), json.dumps(request).encode())
        fleet.run(1.5)
        for name, part in fleet.parts.items():
            zone_state, number = part.zones.state_of(0)
            tap.note(fleet.network, f"at {name} zone 0 is {STATE_WORDS[zone_state]}, by decision {number}")


@scenario
def fleet_cold_nodes_allotment_is_lent(tap, make_gateway_harness):
    """A zone returns with a cold node. Gateway b uses up its part there, a has no work for it and lends half of its own."""
    fleet = named_fleet(tap, "ab", zones=SLOW)
    for part in fleet.parts.values():
        part.zones.update_nodes({70: ZoneNode(0, 0, True, 0), 71: ZoneNode(1, 1, True, 0)})
    fleet.run(20)  # until no loan of an earlier incarnation can be in use
    for state in ("left", "returning"):
        control_answer(
            SimpleNamespace(fleet_member=fleet.parts["a"]),
            json.dumps({"do": "zone", "zone": 0, "standing": state}).encode(),
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


@scenario
def fleet_purge_then_the_next_read_asks_a_node(tap, make_gateway_harness):
    """Edge g0 answers reads from its copy until the building closes; then the first read goes to the node."""
    building = named_building(tap)
    for ms, note in (
        (8000, "before the close"),
        (29_000, "a second before the close"),
        (30_300, "after the close"),
        (31_000, "and again"),
    ):
        building.until(ms)
        tap.note(building.network, note)
        building.read("g0")


@scenario
def fleet_unsure_edge_asks_a_node(tap, make_gateway_harness):
    """Edge g0 is cut off from the others, so it can't be sure that its copy may still be told: it asks the node."""
    building = named_building(tap)
    building.until(8000)
    building.read("g0")
    tap.note(building.network, "g0 is cut off from the other edges")
    for other in ("g1", "g2", "g3"):
        for here, there in (("g0", other), (other, "g0")):
            building.network.set_way(here, there, Way(cut=True))
    building.until(33_000)
    building.read("g0")
    building.read("g0")


def named_building(tap):
    building = SiteOfDaemons(ScriptedNode, RawConnection)
    tap.name_port(21_000, "g0", "client", Framed)
    tap.name_port(building.node.port, "node 70", "an edge", Framed)
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
