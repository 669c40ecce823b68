"""The watch of the endpoint list: changes are applied in time after every failure of the agent."""

import json
import os
import subprocess
import sys

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st
from twisted.internet.protocol import Factory, Protocol

from ochrecourse.interface import Health, ListKind
from ochrecourse.lab.virtual import VirtualNetwork, Way
from ochrecourse.service import discovery_watch as watch_module
from ochrecourse.service.discovery import MalformedEndpointListError, DiscoveredEndpoints, WatchedEndpoints
from ochrecourse.service.discovery_watch import (
    MAX_ATTEMPTS,
    MAX_WARNINGS_PER_PERIOD,
    DiscoveryWatch,
)
from ochrecourse.service.watch_connection import LINE_TIMEOUT_SECONDS, WatchConnection

IN_TIME = 5.0  # s of the 6 s that a change may take; the rest is for delays of a busy machine
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
READY, DRAINING = "Ready", "Terminating"


def chunk(data, extension=b""):
    return b"%x%b\r\n%b\r\n" % (len(data), extension, data)


def entry(name, state=READY, started=0):
    return {
        "instanceId": name, "hostPort": "10.0.0.1:6379", "zone": "a", "cell": 0, "lifecycle": state, "startedAtMs": started,
    }  # fmt: skip


def line(version, *entries, reset=False):
    return json.dumps({"generation": version, "reset": reset, "instances": list(entries)}).encode() + b"\n"


RESPONSES = {
    "mute": lambda agent: b"",
    "head": lambda agent: HEAD,
    "status": lambda agent: b"HTTP/1.1 503 Down\r\nTransfer-Encoding: chunked\r\n\r\n",
    "redirect": lambda agent: b"HTTP/1.1 302 Found\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n",
    "nonsense": lambda agent: HEAD + chunk(b"{nonsense\n"),
    "no_http": lambda agent: b"hello\r\n\r\n",
}  # an agent's complete response, by its mode


class AgentConnection(Protocol):
    """The agent's end of a watch. Its `mode` is that of the agent when the request arrived."""

    def __init__(self, agent):
        self.agent, self.mode, self.closed = agent, "unasked", False
        self.index = 0  # of the state that was sent last
        self.requested_newer = False  # the requested version is newer than the agent's
        self.request = b""

    def connectionMade(self):
        self.agent.connections.append(self)
        if self.agent.mode == "reset":
            self.transport.abortConnection()

    def connectionLost(self, reason=None):
        self.closed = True
        self.agent.connections.remove(self)

    def dataReceived(self, data):
        self.request += data
        if b"\r\n\r\n" not in self.request:
            return
        since = int(self.request.split(b"since=")[1].split(b" ")[0])
        self.agent.requested_versions.append(since)
        self.mode = self.agent.mode
        response = self.agent.responses.get(self.mode)
        if response is not None:
            self.transport.write(response(self.agent))
        elif self.mode == "ends":
            full_list = self.agent.full_list()
            self.transport.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(full_list), full_list)
            )
        elif self.mode in ("good", "pieces"):
            self.transport.write(HEAD)
            self.send(self.agent.first(since))
            self.requested_newer = since > self.agent.base + self.agent.index
            self.index = self.agent.index
            self.agent.later(2.0, self.send_empty_lines)
        elif self.mode in ("bytes", "half"):
            self.transport.write(HEAD + chunk(self.agent.full_list()[:30]))
            if self.mode == "bytes":
                self.agent.later(0.5, self.send_single_bytes)

    def send_single_bytes(self):
        if self.mode == "bytes" and not self.closed:
            self.transport.write(chunk(b"x"))
            self.agent.later(0.5, self.send_single_bytes)

    def send_empty_lines(self):
        if self.mode in ("good", "pieces") and not self.closed:
            self.send(b"\n")
            self.agent.later(2.0, self.send_empty_lines)

    def send(self, data):
        if self.mode == "good":
            self.transport.write(chunk(data))
        for i in range(0, len(data), 7) if self.mode == "pieces" else ():
            self.transport.write(chunk(data[i : i + 7], b";a=b"))

    def send_changes(self):
        """Sends the changes since the last line."""
        if self.mode in ("good", "pieces") and self.index < self.agent.index and not self.closed:
            self.send(
                (self.agent.step_by_step_changes if self.requested_newer else self.agent.changes)(self.index)
            )
            self.index = self.agent.index


class Agent(Factory):
    """An agent that has the states `history` of the list up to `index`; their versions count from `base`."""

    noisy = False

    def __init__(self, host, history, base=1000):
        self.host, self.history, self.base = host, history, base
        self.index, self.mode = len(history) - 1, "good"
        self.responses = RESPONSES
        self.requested_versions, self.connections = [], []
        self.listening = host.listenTCP(0, self)
        self.port = self.listening.port

    def buildProtocol(self, addr):
        return None if self.mode == "refuse" else AgentConnection(self)

    def later(self, seconds, call):
        self.host.callLater(seconds, call)

    def first(self, since):
        known = since - self.base
        if known > self.index and self.base >= 1000 and known < 1000:
            return line(self.base + self.index)  # it is behind another agent with the same numbering
        return self.changes(known) if 0 <= known <= self.index else self.full_list()

    def full_list(self):
        entries = [entry(name, state, started) for name, (state, started) in self.history[self.index].items()]
        return line(self.base + self.index, *entries, reset=True)

    def changes(self, known):
        old, new = self.history[known], self.history[self.index]
        entries = [entry(name, *new[name]) for name in new if new[name] != old.get(name)]
        entries += [{"instanceId": name, "lifecycle": "Gone"} for name in old if name not in new]
        return line(self.base + self.index, *entries)

    def step_by_step_changes(self, known):
        """The same, with all nodes named in between, also those that appeared and left."""
        entries = {}
        for i in range(known, self.index):
            step = json.loads(Agent.changes(_State(self.history, i + 1, self.base), i))
            entries.update({each["instanceId"]: each for each in step["instances"]})
        return line(self.base + self.index, *entries.values())

    def publish(self):
        self.index = len(self.history) - 1
        for each in list(self.connections):
            each.send_changes()

    def fall_silent(self):
        for each in self.connections:
            each.mode = "mute"

    def reset_all(self):
        for each in list(self.connections):
            each.transport.abortConnection()


class _State:
    def __init__(self, history, index, base):
        self.history, self.index, self.base = history, index, base


class WatchHarness:
    """A gateway's watch and two agents that share one history of states."""

    def __init__(self, seed=1, other_base=1000):
        self.network = VirtualNetwork(seed)
        self.history = [{"s-0": (READY, 1), "s-1": (READY, 2)}]
        self.hosts = [self.network.host("first"), self.network.host("second")]
        self.agents = [
            Agent(host, self.history, base) for host, base in zip(self.hosts, (1000, other_base), strict=True)
        ]
        self.current = 0
        self.log, self.updates = [], []
        self.endpoints = DiscoveredEndpoints(["a"], 0)
        self.endpoints.apply(json.loads(self.agents[0].full_list()), cached=True)
        self.gateway = self.network.host("gateway")
        self.watch = DiscoveryWatch(
            self.gateway, self.endpoints, self.address_of(0), self.updates.append, self.log.append
        )
        self.watch.start()
        self.network.advance(0.3)

    @property
    def agent(self):
        return self.agents[self.current]

    def address_of(self, number):
        return "127.0.0.1", self.agents[number].port

    def move(self, number):
        self.current = number
        self.watch.move(self.address_of(number))

    def disconnect(self, number, cut=True):
        name = self.hosts[number].name
        for names in ((name, "gateway"), ("gateway", name)):
            self.network.set_way(*names, Way(cut=True) if cut else None)

    def change(self, name="s-0", state=DRAINING):
        new = dict(self.history[-1])
        new.pop(name, None)
        if state is not None:
            new[name] = (state, len(self.history) + 2)
        self.history.append(new)

    def publish_change(self, name="s-0", state=DRAINING):
        """Makes a change that the current agent publishes at once."""
        self.change(name, state)
        self.agent.publish()

    def current_list(self):
        names = {Health.READY: READY, Health.DRAINING: DRAINING}
        return {
            name: (names[each.health], each.started // 1_000_000)
            for name, each in self.endpoints.entries.items()
        }

    def current_index(self):
        return self.history.index(self.current_list())

    def seconds_until_applied(self, limit=30.0):
        began_at = self.network.now
        while self.current_list() != self.history[self.agent.index] and self.network.now < began_at + limit:
            self.network.advance(0.05)
        return self.network.now - began_at


def break_agent(harness, how):
    """Makes the current agent fail in one way, for open and for new watches."""
    if how == "cut":  # dials hang, open watches are silent
        harness.agent.fall_silent()
        harness.disconnect(harness.current)
        return
    harness.agent.mode = how
    if how in ("mute", "head", "half", "bytes"):
        harness.agent.fall_silent()
    else:
        harness.agent.reset_all()


def repair_agent(harness):
    harness.disconnect(harness.current, False)
    harness.agent.mode = "good"


FAILURES = [
    "cut", "mute", "head", "half", "bytes", "refuse", "reset", "status", "redirect", "nonsense", "no_http", "ends",
]  # fmt: skip
DURATIONS = [0.05 + 0.35 * i for i in range(40)]  # durations of the failure, s


@pytest.mark.parametrize("how", FAILURES)
def test_a_change_is_applied_in_time_after_every_failure_of_any_duration(how):
    worst = 0.0
    for duration in DURATIONS:
        harness = WatchHarness()
        break_agent(harness, how)
        harness.network.advance(duration)
        repair_agent(harness)
        harness.publish_change()
        worst = max(worst, harness.seconds_until_applied())
        assert len(harness.watch.dials) + len(harness.watch.watches) <= MAX_ATTEMPTS
    assert worst < IN_TIME


@pytest.mark.parametrize("second", FAILURES)
@pytest.mark.parametrize("first", ["silent", "head", "bytes", "cut"])
def test_a_change_is_applied_in_time_if_the_next_watch_fails_too(first, second):
    """Guards against delays that add up: a watch falls silent, and the one that should replace it hangs."""
    worst = 0.0
    for duration in (2.0, 2.9, 3.05, 4.3, 5.05, 5.3, 6.1, 8.0):
        harness = WatchHarness()
        if first == "silent":
            harness.agent.fall_silent()
        else:
            break_agent(harness, first)
        harness.network.advance(duration)
        repair_agent(harness)
        break_agent(harness, second)
        harness.network.advance(1.0)
        repair_agent(harness)
        harness.publish_change()
        worst = max(worst, harness.seconds_until_applied())
    assert worst < IN_TIME


def test_a_change_after_a_watchs_last_line_is_applied_although_the_next_dial_hangs():
    harness = WatchHarness()
    harness.network.advance(1.9)
    harness.agent.fall_silent()  # just after an empty line
    began_at = harness.network.now
    harness.disconnect(0)
    harness.network.advance(3.2)
    harness.disconnect(0, False)
    harness.publish_change()
    harness.seconds_until_applied()
    assert harness.network.now - began_at < IN_TIME


def test_attempts_at_a_silent_agent_are_bounded_in_number_and_rate():
    for how in ("cut", "mute", "head", "bytes", "refuse"):
        harness = WatchHarness()
        break_agent(harness, how)
        began_at = harness.network.ran
        for _ in range(200):
            harness.network.advance(0.1)
            assert len(harness.watch.dials) + len(harness.watch.watches) <= MAX_ATTEMPTS
            assert len(harness.agent.connections) <= MAX_ATTEMPTS + 1
        assert harness.network.ran - began_at < 20 * 60


@pytest.mark.parametrize("offset", [0.0, 0.4, 1.3])
@pytest.mark.parametrize("how", ["cut", "mute", "head"])
def test_a_new_address_is_read_within_four_seconds_though_its_first_dial_hangs(how, offset):
    """Guards against a dial or response at the new or the old address that delays the next attempt."""
    harness = WatchHarness()
    break_agent(harness, "cut")
    harness.network.advance(offset + 2.6)  # a dial to the old address runs
    harness.agents[1].mode = how if how != "cut" else "good"
    harness.disconnect(1, how == "cut")
    harness.change()
    harness.agents[1].publish()
    began_at = harness.network.now
    harness.move(1)
    harness.network.advance(0.5)
    repair_agent(harness)
    harness.seconds_until_applied()
    assert harness.network.now - began_at < 4.0 and harness.current_index() == 1


def test_moves_in_quick_succession_end_at_the_last_address():
    harness = WatchHarness(other_base=0)
    for number in (1, 0, 1, 0, 1):
        harness.move(number)
    harness.change()
    harness.agents[1].publish()
    harness.network.advance(1.0)
    assert harness.current_index() == 1 and harness.endpoints.version == 1
    for number in (0, 1, 0, 1, 0):
        harness.move(number)
        harness.network.advance(0.0004)
    harness.change("s-1")
    harness.agents[0].publish()
    harness.network.advance(2.5)
    assert harness.current_index() == 2 and harness.endpoints.version == 1002
    assert [watch.address for watch in harness.watch.watches] == [harness.address_of(0)]


def test_lines_of_the_old_address_are_applied_after_a_move_until_it_closes():
    """Guards against ending the old watch at an empty line of the new one, whose agent may be behind."""
    harness = WatchHarness()
    harness.move(1)
    harness.network.advance(0.1)
    harness.change()
    harness.agents[0].publish()  # the new one has it later
    harness.network.advance(0.1)
    assert harness.current_index() == 1
    harness.network.advance(3.0)
    assert [watch.address for watch in harness.watch.watches] == [harness.address_of(1)]
    harness.change("s-1")
    harness.agents[1].publish()
    harness.network.advance(0.1)
    assert harness.current_index() == 2


def test_an_old_address_that_closes_is_not_opened_again():
    harness = WatchHarness()
    harness.agents[1].mode = "mute"
    harness.move(1)
    harness.network.advance(0.2)
    requests = len(harness.agents[0].requested_versions)
    harness.agents[0].reset_all()
    harness.network.advance(5.0)
    assert len(harness.agents[0].requested_versions) == requests
    harness.agents[1].mode = "good"
    harness.publish_change()
    assert harness.seconds_until_applied() < 2.0


# --- versions ---


def test_a_line_of_an_older_watch_does_not_undo_one_of_a_newer_watch():
    harness = WatchHarness()
    older = harness.agent.connections[0]
    harness.move(1)
    harness.network.advance(0.1)
    harness.change()
    harness.change("s-0", READY)
    harness.agents[1].publish()
    harness.network.advance(0.01)
    assert harness.current_index() == 2 and not older.closed
    older.send(line(1001, entry("s-0", DRAINING, 3)))
    older.send(line(1000, entry("s-0", DRAINING, 1), reset=True))
    harness.network.advance(0.05)
    assert harness.current_index() == 2 and harness.endpoints.version == 1002 and not harness.log


def test_a_change_that_is_sent_twice_or_late_is_applied_once():
    endpoints = DiscoveredEndpoints([], 0)
    endpoints.apply(json.loads(line(41, entry("s-1"))), cached=True)
    newer, older = WatchedEndpoints(endpoints), WatchedEndpoints(endpoints)
    assert newer.apply(json.loads(line(42, entry("s-1", DRAINING))), True).kind is ListKind.DELTA
    for watch in (newer, older):
        for old in (line(42, entry("s-1")), line(41, entry("s-1")), line(3)):
            assert watch.apply(json.loads(old), True) is None
    assert endpoints.version == 42 and endpoints.entries["s-1"].health is Health.DRAINING
    # An older watch's complete list is applied only if it is newer; the leading watch's always.
    assert older.apply(json.loads(line(42, entry("s-1"), reset=True)), False) is None
    assert older.apply(json.loads(line(43, entry("s-1"), reset=True)), False).kind is ListKind.FULL
    assert newer.apply(json.loads(line(7, entry("s-2"), reset=True)), True).kind is ListKind.FULL
    assert endpoints.version == 7 and list(endpoints.entries) == ["s-2"]
    for bad in (
        {"instances": []},
        {"generation": True, "instances": []},
        {"generation": 9},
        [],
        {"generation": 3, "instances": [1]},
    ):
        with pytest.raises(MalformedEndpointListError):
            newer.apply(bad, True)


def test_a_node_that_appeared_and_left_on_a_parallel_watch_is_removed():
    """Guards against a first line that is applied to a newer list than the one it was requested for."""
    endpoints = DiscoveredEndpoints([], 0)
    endpoints.apply(json.loads(line(41, entry("s-1"))), cached=True)
    older, newer = WatchedEndpoints(endpoints), WatchedEndpoints(endpoints)
    older.apply(json.loads(line(42, entry("s-2"), entry("s-1", DRAINING))), True)
    update = newer.apply(json.loads(line(43, entry("s-3"))), True)
    assert update.kind is ListKind.FULL and endpoints.version == 43
    assert {name: each.health for name, each in endpoints.entries.items()} == {
        "s-1": Health.READY,
        "s-3": Health.READY,
    }
    assert (
        newer.apply(json.loads(line(44, {"instanceId": "s-1", "lifecycle": "Gone"})), True).kind
        is ListKind.DELTA
    )
    assert list(endpoints.entries) == ["s-3"]


def test_an_agent_with_new_numbering_replaces_the_old_agent():
    harness = WatchHarness(other_base=0)
    older = harness.agent.connections[0]
    harness.change()
    harness.agents[1].publish()
    harness.move(1)
    harness.network.advance(0.0035)
    assert harness.current_index() == 1 and harness.endpoints.version == 1
    if not older.closed:
        older.send(line(1005, entry("s-0", READY, 1)))
    harness.publish_change("s-1")
    harness.network.advance(0.1)
    assert older.closed and harness.current_index() == 2 and harness.endpoints.version == 2


def test_a_known_list_that_is_newer_than_the_agents_is_not_undone_by_old_changes():
    harness = WatchHarness()
    harness.watch.stop()
    harness.change()
    endpoints = DiscoveredEndpoints(["a"], 0)
    harness.agents[0].index = 1
    endpoints.apply(json.loads(harness.agents[0].full_list()), cached=True)
    harness.agents[0].index = 0
    harness.endpoints, harness.updates = endpoints, []
    harness.watch = DiscoveryWatch(
        harness.gateway, endpoints, harness.address_of(0), harness.updates.append, harness.log.append
    )
    harness.watch.start()
    harness.network.advance(0.3)
    assert harness.current_index() == 1 and harness.agent.requested_versions[-1] == 1001
    harness.agent.publish()
    harness.publish_change("s-1")
    harness.network.advance(0.1)
    assert harness.current_index() == 2


# --- silence and progress ---


def test_bytes_without_lines_do_not_keep_a_watch_open():
    harness = WatchHarness()
    harness.agent.mode = "bytes"
    harness.agent.reset_all()
    harness.network.advance(1.0)
    harness.agent.mode = "good"
    harness.publish_change()
    assert harness.seconds_until_applied() < IN_TIME
    harness.network.advance(6.0)
    assert len(harness.agent.connections) == 1


@pytest.mark.parametrize("pause", [0.05, 0.5, 1.0])
def test_a_long_list_that_arrives_slowly_is_read_completely(pause):
    """Guards against aborting a list whose bytes arrive steadily, again and again."""
    harness = WatchHarness()
    more = {f"s-{i}": (READY, 7) for i in range(200 if pause < 0.1 else 60)}
    harness.history.append({**harness.history[0], **more})
    piece = 512 if pause < 0.1 else 1024
    agent = harness.agent

    def slowly(connection):
        data = agent.full_list()
        connection.transport.write(HEAD)
        for i in range(0, len(data), piece):
            agent.later(
                pause * i / piece,
                lambda i=i: connection.closed or connection.transport.write(chunk(data[i : i + piece])),
            )

    agent.index = 1
    agent.responses = {**RESPONSES, "slow": lambda agent: b""}
    agent.mode = "slow"
    receive = AgentConnection.dataReceived

    class Slow(AgentConnection):
        def dataReceived(self, data):
            receive(self, data)
            slowly(self)

    agent.buildProtocol = lambda addr: Slow(agent)
    agent.reset_all()
    elapsed = harness.seconds_until_applied(25)
    assert (
        harness.current_index() == 1
        and elapsed < 0.5 + pause * len(agent.full_list()) / piece + 0.3
        and not harness.log
    )


def test_an_endless_line_neither_keeps_its_watch_open_nor_blocks_others():
    harness = WatchHarness()
    agent = harness.agent

    class Endless(AgentConnection):
        def dataReceived(self, data):
            if agent.mode == "good":
                super().dataReceived(data)
            else:
                self.transport.write(HEAD)
                self.flow()

        def flow(self):
            if not self.closed:
                self.transport.write(chunk(b"x" * 2048))
                agent.later(0.5, self.flow)

    agent.buildProtocol = lambda addr: Endless(agent)
    agent.mode = "endless"
    agent.reset_all()
    for _ in range(300):
        harness.network.advance(0.1)
        assert len(agent.connections) <= MAX_ATTEMPTS + 1
    agent.mode = "good"
    harness.publish_change()
    assert harness.seconds_until_applied() < IN_TIME
    harness.network.advance(0.1)
    assert len(agent.connections) == 1


def test_lines_of_an_endless_object_do_not_keep_a_watch_open():
    harness = WatchHarness()
    agent = harness.agent

    class Indented(AgentConnection):
        def dataReceived(self, data):
            if agent.mode == "good":
                super().dataReceived(data)
            else:
                self.transport.write(HEAD + chunk(b"{\n"))
                self.flow()

        def flow(self):
            if not self.closed:
                self.transport.write(chunk(b' "a":\n'))
                agent.later(1.0, self.flow)

    agent.buildProtocol = lambda addr: Indented(agent)
    agent.mode = "indented"
    agent.reset_all()
    harness.network.advance(0.5)
    agent.mode = "good"
    harness.publish_change()
    assert harness.seconds_until_applied() < IN_TIME
    harness.network.advance(0.1)
    assert len(agent.connections) == 1


def test_lines_inside_an_object_do_not_delay_the_next_attempt():
    harness = WatchHarness()
    harness.network.advance(0.5)
    requests, connection = len(harness.agent.requested_versions), harness.agent.connections[0]
    harness.agent.fall_silent()
    connection.transport.write(chunk(b"{\n"))
    for i in range(10):
        harness.agent.later(
            0.4 * i, lambda: connection.closed or connection.transport.write(chunk(b' "a":\n'))
        )
    harness.network.advance(3.5)
    assert len(harness.agent.requested_versions) == requests + 1


def test_a_watch_with_a_steady_but_endless_line_is_closed_at_the_line_timeout():
    harness = WatchHarness()
    harness.agent.fall_silent()
    connection = harness.agent.connections[0]
    harness.watch.next_attempt_timer.cancel()  # no other attempt is started

    def flow():
        if not connection.closed:
            connection.transport.write(chunk(b"x" * 600))
            harness.agent.later(0.5, flow)

    flow()
    harness.network.advance(LINE_TIMEOUT_SECONDS - 1.0)
    assert not connection.closed
    harness.network.advance(1.5)
    assert connection.closed


def test_after_moving_back_the_watch_at_the_address_leads_over_the_newer_one_elsewhere():
    """Guards against an agent at a former address that ends the watch at the current one."""
    harness = WatchHarness(other_base=0)
    harness.change()
    harness.agents[1].publish()
    harness.agents[0].publish()
    harness.network.advance(0.1)
    first = harness.agents[0].connections[0]
    harness.move(1)
    harness.agents[0].mode = "mute"  # it responds to no new watch
    harness.network.advance(0.0004)
    harness.move(0)
    harness.network.advance(0.5)
    assert not first.closed and harness.endpoints.version == 1001
    first.send(line(1002, entry("s-1", DRAINING, 9)))
    harness.network.advance(0.1)
    assert harness.endpoints.version == 1002


# --- forms of a response ---

TWO = line(1001, entry("s-0", DRAINING, 3)) + line(1002, entry("s-1", DRAINING, 4))
FORMS = {
    "two lines in a chunk": HEAD + chunk(TWO),
    "chunks that split lines": HEAD + b"".join(chunk(TWO[i : i + 5]) for i in range(0, len(TWO), 5)),
    "chunk extensions": HEAD + chunk(TWO, b' ; name="value"'),
    "interim answers ahead": b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"
    b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + HEAD + chunk(TWO),
    "names and values in other letters": b"HTTP/1.1 200 OK\r\ntRANSFER-eNCODING: Chunked\r\n\r\n" + chunk(TWO),
    "a length": b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(TWO), TWO),
    "a length and no last newline": b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(TWO) - 1, TWO[:-1]),
    "no length": b"HTTP/1.1 200 OK\r\n\r\n" + TWO,
    "HTTP/1.0": b"HTTP/1.0 200 OK\r\nServer: x\r\n\r\n" + TWO,
    "no reason phrase": b"HTTP/1.1 200\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(TWO),
    "an end": HEAD + chunk(TWO) + b"0\r\n\r\n",
    "an end and no last newline": HEAD + chunk(TWO[:-1]) + b"0\r\n\r\n",
    "a trailer": HEAD + chunk(TWO) + b"0\r\nSum: 1\r\n\r\n",
    "indented": HEAD + chunk(b"".join(json.dumps(json.loads(one), indent=1).encode() + b"\n" for one in TWO.splitlines())),
}  # fmt: skip


@pytest.mark.parametrize("pieces", [None, 1, 7])
@pytest.mark.parametrize("form", FORMS)
def test_every_form_of_a_response_is_read(form, pieces):
    harness = WatchHarness()
    harness.change()
    harness.change("s-1")
    agent, response = harness.agent, FORMS[form]
    agent.responses = {**RESPONSES, "form": lambda agent: b""}
    agent.mode = "form"
    receive = AgentConnection.dataReceived

    class Formed(AgentConnection):
        def dataReceived(self, data):
            receive(self, data)
            size = pieces or len(response)
            for i in range(0, len(response), size):
                agent.later(
                    0.0006 * i / size, lambda i=i: self.closed or self.transport.write(response[i : i + size])
                )

    agent.buildProtocol = lambda addr: Formed(agent)
    agent.reset_all()
    harness.network.advance(2.0)
    assert harness.current_index() == 2 and harness.endpoints.version == 1002 and not harness.log


@pytest.mark.parametrize(
    "said",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nxxxxx", b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
        HEAD + b"-5\r\nxxxxx\r\n", HEAD + b"zz\r\n", HEAD + b"\r\n", b"HTTP/1.1 200 OK\r\nX: " + b"y" * 20_000,
        b"HTTP/1.1 204 None\r\n\r\n", b"HTTP/1.1 301 Moved\r\nLocation: /\r\n\r\n", b"x\r\n\r\n", b"HTTP/1.1 200 OK\r\n\r\n",
        HEAD + b"0\r\n\r\n", HEAD + chunk(b"\xff\xfe\n"), HEAD + chunk(b"[1]\n"), b"HTTP/1.1 101 Switching\r\n\r\n",
        b"HTTP/1.1 101 Switching\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(line(1001, entry("s-0", DRAINING, 3))),
        b"HTTP/1.1 206 Part\r\n\r\n" + line(1001, entry("s-0", DRAINING, 3)),
    ],
)  # fmt: skip
def test_an_invalid_response_is_requested_again_in_time(said):
    harness = WatchHarness()
    agent = harness.agent
    agent.responses = {**RESPONSES, "said": lambda agent: said}
    agent.mode = "said"
    agent.reset_all()
    harness.network.advance(3.0)
    assert harness.current_index() == 0
    agent.mode = "good"
    harness.publish_change()
    assert harness.seconds_until_applied() < IN_TIME and len(harness.log) <= 2


# --- malformed lists ---


def test_nothing_of_a_watch_is_applied_after_its_malformed_line():
    """Guards against applying a line received together with a malformed one before it, which ended the watch."""
    harness = WatchHarness()
    harness.agent.mode = "refuse"
    harness.agent.connections[0].send(b"{bad\n" + line(1001, entry("s-0", DRAINING)) + b"{worse\n")
    harness.network.advance(1.0)
    assert harness.current_index() == 0 and len(harness.log) == 1


def test_a_malformed_list_that_repeats_is_logged_once_in_a_period():
    harness = WatchHarness()
    agent, count = harness.agent, iter(range(10_000))
    agent.responses = {
        **RESPONSES,
        "same": lambda agent: HEAD + chunk(b"\n" + line(1001, entry("s-0", "Odd"))),
        "other": lambda agent: HEAD + chunk(line(1001, entry(f"s-{next(count)}", "Odd"))),
    }
    agent.mode = "same"
    agent.reset_all()
    harness.network.advance(50)
    assert len(agent.requested_versions) > 100 and len(harness.log) == 1 and "unknown state" in harness.log[0]
    agent.mode = "other"
    harness.network.advance(50)
    assert (
        next(count) > 100
        and len(harness.log) <= 1 + 2 * MAX_WARNINGS_PER_PERIOD
        and harness.current_index() == 0
    )
    agent.mode = "good"
    harness.publish_change()
    assert harness.seconds_until_applied() < 1.0


# --- real sockets ---

STARVED = """
import os, resource, sys
from twisted.internet import protocol
from ochrecourse.common.monotonic_reactor import install_monotonic_reactor
reactor = install_monotonic_reactor()
from ochrecourse.service.discovery import DiscoveredEndpoints
from ochrecourse.service.discovery_watch import DiscoveryWatch
from ochrecourse.standins.resp_node import ListAgent
agent = ListAgent({"generation": 7, "reset": True, "instances": []})
port = reactor.listenTCP(0, agent, interface="127.0.0.1")
resource.setrlimit(resource.RLIMIT_NOFILE, (64, 64))
duplicates = []
endpoints = DiscoveredEndpoints([], 0)
def on_update(update):
    print("told", endpoints.version, flush=True)
    reactor.stop()
watch = DiscoveryWatch(reactor, endpoints, ("127.0.0.1", port.getHost().port), on_update, print)
failed = [0]
attempt_ended = watch.attempt_ended
def count(attempt):
    failed[0] += 1
    attempt_ended(attempt)
    if failed[0] == 4:
        print("failed", watch.last_attempt_number, flush=True)
        while duplicates:
            os.close(duplicates.pop())
watch.attempt_ended = count
def begin():
    try:
        while True:
            duplicates.append(os.dup(0))
    except OSError:
        watch.start()
reactor.callWhenRunning(begin)
reactor.callLater(60, reactor.stop)
reactor.run()
"""


def test_a_watch_without_a_free_descriptor_is_retried():
    """Guards against a watch that is not retried, or an event loop that spins, while no descriptor is free."""
    done = subprocess.run(
        [sys.executable, "-c", STARVED], capture_output=True, text=True, timeout=120, env=dict(os.environ)
    )
    assert done.stdout == "failed 4\ntold 7\n" and "Traceback" not in done.stderr, done.stderr


HUNG = """
import os, socket
from ochrecourse.common.monotonic_reactor import install_monotonic_reactor
reactor = install_monotonic_reactor()
from ochrecourse.service.discovery import DiscoveredEndpoints
from ochrecourse.service.discovery_watch import DiscoveryWatch
from ochrecourse.standins.resp_node import ListAgent
full = socket.socket()
full.bind(("127.0.0.1", 0))
full.listen(0)
fillers = []
for _ in range(8):
    filler = socket.socket()
    filler.setblocking(False)
    filler.connect_ex(full.getsockname())
    fillers.append(filler)
agent = ListAgent({"generation": 7, "reset": True, "instances": []})
port = reactor.listenTCP(0, agent, interface="127.0.0.1").getHost().port
files = lambda: len(os.listdir("/proc/self/fd"))
endpoints = DiscoveredEndpoints([], 0)
def on_update(update):
    # The connection at either end; the dials to the old address are closed.
    print("told", endpoints.version, watch.last_attempt_number, files() - before, flush=True)
    reactor.stop()
watch = DiscoveryWatch(reactor, endpoints, full.getsockname(), on_update, print)
begin = watch._start_attempt
def count():
    begin()
    print("dials", len(watch.dials), watch.address[1] == port, flush=True)
    if watch.last_attempt_number == 2:
        reactor.callLater(0, watch.move, ("127.0.0.1", port))
watch._start_attempt = count
def start():
    global before
    before = files()
    watch.start()
reactor.callWhenRunning(start)
reactor.callLater(60, reactor.stop)
reactor.run()
"""


def test_a_hanging_dial_delays_neither_the_next_nor_a_move_and_leaks_no_descriptor():
    done = subprocess.run(
        [sys.executable, "-c", HUNG], capture_output=True, text=True, timeout=120, env=dict(os.environ)
    )
    want = "dials 1 False\ndials 2 False\ndials 1 True\ntold 7 3 2\n"
    assert done.stdout == want and "Traceback" not in done.stderr, done.stderr


# --- random sequences of failures and changes ---


class Scenario:
    """Two agents that fail in every way while changes are made. The oracle records which agent had what and when."""

    def __init__(self, other_base):
        self.harness = WatchHarness(other_base=other_base)
        self.same_numbering = other_base == 1000
        self.states = []  # time, and the state that the current agent had from then on
        self.reachable = self.harness.network.now
        self.is_disconnected = [False, False]
        self.newest_index = 0
        self.record_state()

    def record_state(self):
        self.states.append((self.harness.network.now, self.harness.agent.index))

    def update_reachable(self):
        """Updates the time since which the current agent has been reachable."""
        good = (
            self.harness.agent.mode in ("good", "pieces") and not self.is_disconnected[self.harness.current]
        )
        self.reachable = min(self.reachable, self.harness.network.now) if good else float("inf")

    def check(self):
        now = self.harness.network.now
        current_list = self.harness.current_list()
        assert current_list in self.harness.history, "the current list was never the agent's"
        index = self.harness.history.index(current_list)
        assert index >= self.newest_index, "an old line undid a newer one"
        self.newest_index = index
        if now - self.reachable >= IN_TIME:
            due = max((index for at, index in self.states if at <= now - IN_TIME), default=0)
            assert index >= due, "a change was not applied in time"
        assert len(self.harness.watch.dials) + len(self.harness.watch.watches) <= MAX_ATTEMPTS

    def pass_time(self, steps):
        for _ in range(steps):
            self.harness.network.advance(0.25)
            self.check()

    def set_mode(self, how):
        self.harness.agent.mode = how
        self.update_reachable()

    def break_watches(self, how):
        if how == "reset":
            self.harness.agent.reset_all()
        for each in self.harness.agent.connections:
            if how == "bytes" and each.mode in ("good", "pieces"):
                each.mode = "bytes"
                each.transport.write(chunk(b"{"))
                each.send_single_bytes()
            elif how == "silent":
                each.mode = "mute"

    def set_disconnected(self, cut):
        here = self.harness.current
        if cut == self.is_disconnected[here]:
            return
        if cut:  # open connections fall silent, as if the host had crashed
            self.harness.agent.fall_silent()
        self.is_disconnected[here] = cut
        self.harness.disconnect(here, cut)
        self.update_reachable()

    def change_node(self, name, state, both):
        if len(self.harness.history[-1]) < 2 and state is None:
            return
        self.harness.change(name, state)
        self.harness.change("s-3", READY)  # makes every state unique
        self.harness.agent.publish()
        if both and self.same_numbering:
            self.harness.agents[1 - self.harness.current].publish()
        self.record_state()

    def update_other_agent(self):
        # With another numbering, an agent that is behind looks like one that is ahead.
        if self.same_numbering:
            self.harness.agents[1 - self.harness.current].publish()

    def move(self):
        if not self.same_numbering:
            self.harness.agents[1 - self.harness.current].publish()
        self.harness.move(1 - self.harness.current)
        self.states.clear()
        self.record_state()
        self.reachable = float("inf")
        self.update_reachable()

    def close_old_address(self):
        self.harness.agents[1 - self.harness.current].reset_all()


HOWS = ["good", "good", "good", "pieces", "mute", "head", "half", "bytes", "refuse", "status", "reset"]
STEPS = [
    *[("pass_time", steps) for steps in (1, 2, 4, 8, 11, 12, 13, 14, 16, 20, 24, 60)],
    *[("set_mode", how) for how in HOWS],
    *[("break_watches", how) for how in ("silent", "silent", "reset", "bytes")],
    *[("set_disconnected", cut) for cut in (True, False)],
    *[("change_node", name, state, name != "s-0") for name in ("s-0", "s-1", "s-2") for state in (READY, DRAINING, None)],
    *[("update_other_agent",), ("move",), ("close_old_address",)],
]  # fmt: skip


def play(steps, other_base):
    scenario = Scenario(other_base)
    for name, *words in steps:
        getattr(scenario, name)(*words)
    scenario.set_disconnected(False)
    scenario.set_mode("good")
    scenario.pass_time(24)


RUNS = settings(
    max_examples=400, deadline=None, derandomize=True, database=None, suppress_health_check=list(HealthCheck)
)
DRAWN = given(st.lists(st.sampled_from(STEPS), min_size=20, max_size=40), st.sampled_from([1000, 1000, 0]))


@RUNS
@DRAWN
def test_the_list_is_the_agents_in_time_whatever_fails_in_whatever_order(steps, other_base):
    play(steps, other_base)


def any_byte_counts_as_progress(monkeypatch):
    original = WatchConnection.dataReceived

    def any_byte(self, data):
        original(self, data)
        if not self.ended:
            self.last_line_at = self.owner.network.seconds()
            self._restart_silence_timer()
            if self.received_line:
                self.owner._schedule_attempt(watch_module.SILENT_GAP_SECONDS)

    monkeypatch.setattr(WatchConnection, "dataReceived", any_byte)


def no_second_watch(monkeypatch):
    original = DiscoveryWatch._start_attempt

    def one_at_a_time(self):
        if self.dials or any(watch.address == self.address for watch in self.watches):
            self._schedule_attempt(watch_module.MAX_BACKOFF_SECONDS)
        else:
            original(self)

    monkeypatch.setattr(DiscoveryWatch, "_start_attempt", one_at_a_time)


def versions_not_compared(monkeypatch):
    monkeypatch.setattr(
        WatchedEndpoints, "apply", lambda self, document, is_leader: self.endpoints.apply(document)
    )


def dial_without_timeout(monkeypatch):
    monkeypatch.setattr(watch_module, "DIAL_TIMEOUT_SECONDS", 30.0)
    monkeypatch.setattr(watch_module, "ATTEMPT_GAP_SECONDS", 30.0)


@pytest.mark.parametrize(
    "inject_mistake",
    [any_byte_counts_as_progress, no_second_watch, versions_not_compared, dial_without_timeout],
)
def test_the_drawn_orders_find_a_mistake_made_on_purpose(inject_mistake, monkeypatch):
    inject_mistake(monkeypatch)

    @settings(RUNS, phases=[Phase.generate], max_examples=2000, print_blob=False)
    @DRAWN
    def orders(steps, other_base):
        play(steps, other_base)

    with pytest.raises(AssertionError):
        orders()
