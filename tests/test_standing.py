"""Requirements of the platform's acceptance test, mostly on the virtual network; docs/relay.md lists them."""

import json
import os
import signal
import socket
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest
from conftest import NODES, START, VALUES
from test_service import FLAT, PING, Shop, listed, read

from ochrecourse.scheduler.scheduler import Scheduler
from ochrecourse.common.requests import Request
from ochrecourse.gateway.gateway import Gateway
from ochrecourse.interface import AttemptEnd, Ending, Health, ListKind, NodeEntry
from ochrecourse.interface import Request as SchedulerRequest
from ochrecourse.lab.virtual import VirtualNetwork
from ochrecourse.nodes.dial_manager import DialSettings
from ochrecourse.nodes.dispatcher import Dispatcher, DispatcherSettings, NodeNetwork
from ochrecourse.nodes.outgoing_attempt import AttemptLimits, OutgoingAttempt
from ochrecourse.nodes.pool import PoolLimits
from ochrecourse.nodes.outcome import AttemptEvent
from ochrecourse.common.time_units import MS, SECOND
from ochrecourse.service.discovery import MalformedEndpointListError, LineDecoder
from ochrecourse.wire import messages as m

# --- connections to nodes that open late ---


class FakeNodeConnection:
    """A connection to a node that records the attempts sent on it."""

    handshake_complete = True

    def __init__(self, dial):
        self.pooled, self.sent, self.ended = dial, [], False

    def send(self, attempt):
        attempt.connection, attempt.stream_id = self, 1
        attempt.written = attempt.message.size
        self.sent.append(attempt.request_id)

    def cancel(self, attempt):
        self.ended = True

    def carries(self, attempt):
        return attempt.request_id in self.sent

    def send_window_update(self, attempt, increment_bytes):
        """Does nothing: no response is streamed."""

    def close(self):
        self.ended = True

    abort = close


class DispatcherHarness:
    """A dispatcher whose connections open when the test calls `open_connection`."""

    def __init__(self, dials=64):
        self.network = VirtualNetwork(1)
        self.dials, self.abandoned, self.ends, self.connections = [], [], [], {}
        limits = PoolLimits(
            attempts_per_connection=1,
            connections_per_node=9,
            concurrent_dials=dials,
            idle_timeout=10 * SECOND,
        )
        self.dispatcher = Dispatcher(
            "n0",
            self.network,
            DispatcherSettings(limits, DialSettings(timeout=0.25, min_slow=0.03)),
            NodeNetwork(lambda node: ("h", node), self.open),
        )

    def open(self, dispatcher, dial, address):
        self.dials.append(dial)
        return lambda: self.abandoned.append(dial)

    def open_connection(self, dial):
        self.connections[dial.number] = self.dispatcher.connections[dial.number] = FakeNodeConnection(dial)
        self.dispatcher.connection_opened(self.connections[dial.number])

    def send(self, request_id, node=7, wait=300 * MS, response_timeout=2 * SECOND):
        message = m.SendAttempt(
            id=0, idempotency_key="", request_class="read", volume=1, key=1, units=1.0, shard=0, number=0, write=False, idempotency="safe",
            idempotency_window_ms=0.0, timeout_ms=1.0, size=0,
        )  # fmt: skip
        attempt = OutgoingAttempt(request_id, node, message, None, self)
        return self.dispatcher.send(attempt, AttemptLimits(response_timeout, SECOND, wait))

    def respond(self, attempt):
        """Delivers the node's response and releases the connection."""
        attempt.pooled = None
        self.dispatcher.response_received(attempt, m.AttemptServed(id=0, size=0, body=0), b"", True)
        self.dispatcher.connection_freed(attempt.connection)

    def attempt_written(self, attempt):
        """Ignored."""

    def response_began(self, attempt, response):
        """Ignored."""

    def attempt_ended(self, attempt, event, reply):
        self.ends.append((attempt.request_id, event))


def test_a_leg_takes_the_first_connection_that_comes_up_and_the_late_one_serves_the_next():
    """Guards against attempts that wait for a slow dial while another connection would open sooner."""
    harness = DispatcherHarness()
    harness.send(1)
    harness.network.advance(0.02)
    assert len(harness.dials) == 1  # not slow yet, so there is no second dial
    harness.network.advance(0.02)
    late, beside = harness.dials
    harness.open_connection(beside)
    assert harness.connections[beside.number].sent == [1]
    harness.open_connection(late)
    harness.send(2)
    assert harness.connections[late.number].sent == [2] and len(harness.dials) == 2


def test_a_leg_that_waits_for_its_dial_takes_a_connection_that_is_left():
    """Guards against attempts that wait for a dial while a connection to the same node is idle."""
    harness = DispatcherHarness()
    first = harness.send(1)
    harness.open_connection(harness.dials[0])
    harness.send(2)
    harness.send(3, node=8)
    harness.respond(first)
    assert harness.connections[harness.dials[0].number].sent == [1, 2]  # and not the one for another node


def test_dials_beside_slow_ones_are_bounded():
    """Guards against a storm of dials to a silent node: at most one per attempt, and one spare."""
    harness = DispatcherHarness()
    for request_id in range(4):
        harness.send(request_id)
    harness.network.advance(0.24)
    assert len(harness.dials) == 5


def test_dials_at_a_silent_node_do_not_pile_up():
    """Guards against an unreachable node that uses all concurrent dials of a gateway."""
    harness = DispatcherHarness(dials=9)
    for request_id in range(20):
        harness.send(request_id, wait=600 * MS)
        harness.network.advance(0.1)
        assert (
            len(harness.dispatcher.dials.in_progress) <= 8
        )  # six attempts wait at once; one dial is spare, one not yet slow
    harness.send(99, node=8)
    assert harness.dials[-1].node == 8


def test_dials_are_not_doubled_where_every_connection_takes_long():
    """Guards against twice the handshakes on a network with high latency, where all dials take long."""
    harness = DispatcherHarness()
    for request_id in range(3):
        harness.send(request_id, node=request_id)
        harness.network.advance(0.029)
        harness.open_connection(harness.dials[-1])
        harness.respond(harness.dispatcher.in_flight[request_id + 1])
    harness.send(9, node=9)
    harness.network.advance(0.05)
    assert len(harness.dials) == 4


def test_a_dial_that_may_serve_its_leg_in_time_is_waited_for_and_another_is_given_up():
    """Guards against abandoning a dial to the only node that stores the data while it may still reply in time,
    and against dials that go on although no attempt waits for them."""
    harness = DispatcherHarness()
    harness.send(1, wait=400 * MS)
    harness.send(2, node=8, wait=None)
    harness.network.advance(0.26)
    assert harness.ends == [(2, AttemptEvent.DIAL_TIMEOUT)] and {dial.node for dial in harness.abandoned} == {
        8
    }
    harness.network.advance(0.1)
    harness.open_connection(harness.dials[0])
    assert harness.connections[harness.dials[0].number].sent == [1]
    harness.send(3, node=9, wait=400 * MS)
    harness.network.advance(0.41)
    assert harness.ends[1:] == [(3, AttemptEvent.DIAL_TIMEOUT)]
    harness.network.advance(0.3)
    assert {dial.node for dial in harness.abandoned} == {7, 8, 9} and not harness.dispatcher.dials.in_progress


class RecordingScheduler(Scheduler):
    """A scheduler that records the ends of attempts."""

    def __init__(self, *args):
        super().__init__(*args)
        self.ends = []

    def attempt_ended(self, end, now):
        self.ends.append(end)
        super().attempt_ended(end, now)


class RecordingHandler:
    """A response handler that records the names of its calls."""

    def __init__(self):
        self.responses = []

    def __getattr__(self, name):
        return lambda *args: self.responses.append(name)


class GatewayHarness:
    """A gateway with one node, whose connections open when the test calls `open_connection`."""

    def __init__(self):
        self.network = VirtualNetwork(1)
        self.dials, self.connections = [], []
        self.gateway = Gateway(
            FLAT, 7, self.network, lambda dispatcher, dial, address: self.dials.append(dial), "n0",
            decisions=RecordingScheduler, limits=PoolLimits(attempts_per_connection=1, connections_per_node=9, concurrent_dials=9, idle_timeout=SECOND),
        )  # fmt: skip
        entry = NodeEntry(7, 0, 0, Health.READY, 0)
        self.gateway.endpoint_list_received(ListKind.FULL, [entry], {7: ("h", 1)})
        self.scheduler = self.gateway.scheduler
        self.handler = RecordingHandler()

    def submit(self):
        now = round(self.network.seconds() * SECOND)
        return self.gateway.submit(
            Request("read", "p0", 5, 2 * SECOND, now, shard=0, units=2.0), self.handler
        )

    def open_connection(self, dial):
        connection = FakeNodeConnection(dial)
        self.gateway.nodes.connections[dial.number] = connection
        self.gateway.nodes.connection_opened(connection)
        return connection

    def learned_state(self):
        node = self.scheduler.nodes[7]
        latency = self.scheduler.latency
        seen = (node.slowdown, node.success_share, node.window, node.last_answer_quick)
        return *seen, latency.lost_share, latency.slowdown


def test_a_late_connection_tells_nothing_of_the_work_at_its_node():
    """Guards against taking a connection that opened late for a slow node."""
    harness = GatewayHarness()
    harness.submit()
    harness.network.advance(0.2)
    harness.open_connection(harness.dials[0])
    harness.network.advance(0.02)
    attempt = next(iter(harness.gateway.nodes.in_flight.values()))
    harness.gateway.nodes.response_received(attempt, m.AttemptServed(id=0, size=0, body=0), b"", True)
    assert harness.handler.responses == ["served"]
    assert harness.scheduler.ends[0].took == pytest.approx(20 * MS, abs=MS)


@pytest.mark.parametrize(("holders", "ends"), [(1, []), (2, [Ending.UNREACHABLE])])
def test_a_job_with_one_way_waits_for_its_connection_as_long_as_it_can_be_in_time(holders, ends):
    """Guards against abandoning a dial if no other node has the data, and against waiting if others have it."""
    harness = GatewayHarness()
    entries = [NodeEntry(7 + i, 0, 0, Health.READY, 0) for i in range(holders)]
    harness.gateway.endpoint_list_received(
        ListKind.FULL, entries, {entry.node: ("h", 1) for entry in entries}
    )
    harness.submit()
    harness.network.advance(0.27)  # the dial time-out is 250 ms, the latency objective 300 ms
    assert [end.ending for end in harness.scheduler.ends] == ends


@pytest.mark.parametrize("kind", [ListKind.DELTA, ListKind.FULL])
@pytest.mark.parametrize("health", [Health.DRAINING, Health.GONE])
def test_an_attempt_waiting_for_a_connection_is_retried_elsewhere_when_its_node_drains(kind, health):
    """Guards against an attempt written after its node's drain grace, when a connection opened 1.09 s after the
    notice."""
    harness = GatewayHarness()
    harness.submit()
    before = harness.learned_state()
    harness.network.advance(0.1)
    removed = [NodeEntry(7, 0, 0, health, 0)] if kind is ListKind.DELTA or health is Health.DRAINING else []
    harness.gateway.endpoint_list_received(
        kind, [*removed, NodeEntry(8, 0, 0, Health.READY, 0)], {8: ("h", 2)}
    )
    assert [end.ending for end in harness.scheduler.ends] == [
        Ending.MOOT
    ] and harness.learned_state() == before
    late = harness.dials[0]
    assert harness.open_connection(late).sent == []
    harness.network.advance(0.1)
    [other] = [dial for dial in harness.dials if dial.node == 8]
    assert harness.open_connection(other).sent == [1] and not harness.handler.responses


def test_a_client_that_leaves_before_its_leg_went_teaches_nothing_and_costs_no_work():
    """Guards against attempts sent for clients that have gone, and against bursts of cancels that make a node
    look unreachable."""
    harness = GatewayHarness()
    before = harness.learned_state()
    harness.gateway.cancel(harness.submit())
    assert harness.scheduler.ends[0].ending is Ending.MOOT and not harness.gateway.nodes.in_flight
    assert harness.learned_state() == before and not harness.scheduler.requests
    assert harness.open_connection(harness.dials[0]).sent == []


@pytest.mark.parametrize("ending", [Ending.WITHDRAWN, Ending.MOOT])
def test_a_leg_that_this_side_ended_teaches_nothing_of_its_node(ending):
    scheduler = Scheduler(VALUES, 7, START)
    scheduler.list_received(ListKind.CACHED, NODES, START)
    scheduler.request_received(SchedulerRequest(1, 0, 0, 1, 0, 2.0, 0, 2, START + SECOND), START)
    attempt = scheduler.decide(START)
    node = scheduler.nodes[attempt.node]
    before = (node.success_share, node.slowdown, node.window, node.last_answer_at)
    scheduler.attempt_ended(AttemptEnd(1, 0, attempt.node, ending, 5 * MS, True, -1.0, 0, {}), START + 5 * MS)
    after = (node.success_share, node.slowdown, node.window, node.last_answer_at)
    assert after == before and not node.outstanding


def test_a_hasty_client_whose_connection_is_not_up_does_not_make_its_node_look_shut():
    harness = DispatcherHarness()
    harness.send(1, response_timeout=100 * MS)
    harness.send(2, node=8, response_timeout=260 * MS)
    harness.network.advance(0.3)
    assert harness.ends == [(1, AttemptEvent.CANCELLED_BEFORE_WRITE), (2, AttemptEvent.TIMEOUT_BEFORE_WRITE)]


# --- the endpoint list ---


@pytest.mark.parametrize("indent", [None, 1, 2, "\t"])
def test_lists_may_come_indented(indent):
    """Guards against taking a list on several lines for malformed, which would end the watch again and again."""
    shop = Shop()
    change = json.dumps(listed(shop.node_port, version=6, state="Terminating"), indent=indent)
    again = json.dumps(listed(shop.node_port, version=7), indent=indent)
    shop.agent.watches[0].send_chunk(f"\n{change}\n\n{again}\n".encode())
    shop.run(0.1)
    assert shop.service.endpoints.version == 7 and not shop.log and len(shop.agent.requested_paths) == 1


def test_an_indented_list_that_breaks_off_ends_its_watch_at_the_next_sign_of_life():
    shop = Shop()
    shop.agent.watches[0].send_chunk(b'{\n "generation": 6,\n "instances": [\n\n')
    shop.run(0.5)
    assert len(shop.agent.requested_paths) == 2 and shop.service.endpoints.version == 5 and len(shop.log) == 1


def test_an_indented_list_is_bounded_before_it_is_whole():
    lines = LineDecoder(100)
    assert lines.decode(b"{") is None
    with pytest.raises(MalformedEndpointListError, match="too long"):
        lines.decode(b' "instances": "' + b"x" * 100)


def test_the_list_of_the_start_file_counts_before_the_first_client(monkeypatch):
    """Guards against attempts to a node that began to drain before this process started."""
    monkeypatch.setattr("test_service.listed", lambda port: listed(port, state="Terminating"))
    shop = Shop()
    client = shop.client()
    client.say(read(1))
    shop.run(0.5)
    assert client.got == b"-BUSY\r\n" and not shop.node.commands


def test_a_change_counts_for_the_next_job_and_for_those_that_wait():
    """Guards against an attempt sent after its node began to drain: a change applies as soon as it is received."""
    shop = Shop(reply=lambda args: None)
    client = shop.client()
    client.say(b"".join(read(number) for number in range(1, 5)))
    shop.run(0.002)
    before = len(shop.node.commands)
    assert before < 4  # the others are queued for the node
    shop.agent.watches[0].send_chunk(
        json.dumps(listed(shop.node_port, version=6, state="Terminating")).encode() + b"\n"
    )
    shop.run(0.002)
    client.say(read(9))
    shop.run(3)
    assert len(shop.node.commands) == before and client.got.count(b"-") == 5


def test_a_silent_watch_is_opened_anew_before_what_it_misses_counts():
    """Guards against a stale list: a change missed by a silent watch counts as known after 6 s."""
    shop = Shop()
    shop.run(1.9)
    shop.agent.watches[0].send_chunk(b"\n")
    silent = shop.network.now
    shop.agent.first = listed(shop.node_port, version=9, state="Terminating")
    shop.run(5.3)
    assert (
        len(shop.agent.requested_paths) == 2
        and shop.service.endpoints.version == 9
        and shop.network.now - silent < 6
    )


def test_after_an_outage_the_list_is_asked_for_at_once():
    """Guards against seconds of waiting after an outage: changes that the agent has at its end count from then on."""
    shop = Shop()
    port = shop.network.ports.pop(shop.agent_port)
    shop.agent.watches[0].transport.loseConnection()
    shop.run(8)
    shop.agent.first = listed(shop.node_port, version=9, state="Terminating")
    shop.network.ports[shop.agent_port] = port
    shop.run(0.3)
    assert shop.service.endpoints.version == 9


# --- one process ---

WATCHED = """
import os, runpy, socket, sys
def heard(event, words):
    if event in ("os.fork", "os.forkpty", "os.posix_spawn", "os.system", "os.exec", "subprocess.Popen", "os.sendfile"):
        print("REFUSED", event, flush=True)
    if event in ("socket.bind", "socket.connect") and words[0].family not in (socket.AF_INET,):
        print("REFUSED", event, words[0].family, flush=True)
sys.addaudithook(heard)
sys.argv = ["relay"]
runpy.run_module("ochrecourse.relay", run_name="__main__")
"""


def test_run_is_one_process_that_needs_nothing_that_is_refused(tmp_path):
    """Guards against a shell that stays as parent process, other programs, forks and Unix sockets."""
    run = tomllib.loads((Path(__file__).parent.parent / "deploy" / "balancer.toml").read_text())["run"]
    assert run.split()[0] == "exec" and not set(run) & set(";&|<>`$")
    start_settings = {
        "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "0f",
        "limits": {"sockets": 256, "memory_mb": 64}, "settings": FLAT, "known": listed(9),
    }  # fmt: skip
    path = tmp_path / "config.json"
    path.write_text(json.dumps(start_settings))
    process = subprocess.Popen(
        [sys.executable, "-c", WATCHED], env={**os.environ, "RELAY_CONFIG": str(path)},
        stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True,
    )  # fmt: skip
    try:
        line = process.stderr.readline()
        with socket.create_connection(
            ("127.0.0.1", int(line.split("127.0.0.1:")[1].split(";")[0])), timeout=120
        ) as client:
            client.sendall(PING + read(1))
            assert client.recv(7) == b"+PONG\r\n"
            assert client.recv(4096)[:1] == b"-"
            children = Path(f"/proc/{process.pid}/task/{process.pid}/children")
            assert not children.exists() or not children.read_text().strip()
            process.send_signal(signal.SIGTERM)  # a signal wakes a waiting event loop
            assert "leaving" in process.stderr.readline()
        out, _ = process.communicate(timeout=120)
        assert process.returncode == 0 and "REFUSED" not in out
    finally:
        process.kill()
        process.wait()


def test_a_client_that_sends_much_at_once_and_goes_leaves_nothing_behind():
    """Guards against capacity and ids that stay allocated to clients that have gone."""
    shop = Shop(reply=lambda args: None)
    rude = shop.client()
    rude.say(b"".join(read(number) for number in range(1, 301)))
    shop.run(0.005)
    rude.transport.abortConnection()
    shop.run(0.05)
    server, gateway = shop.service.server, shop.service.gateway
    assert not server.connections and not server.totals.open_request_ids and not gateway.request_log.open
    shop.run(5.0)
    assert not gateway.request_log.requests and not gateway.nodes.in_flight and not gateway.scheduler.requests
