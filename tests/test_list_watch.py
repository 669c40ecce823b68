"""The watch on the list of nodes: every failure of the agent, and a change taken in time after each of them."""

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

IN_TIME = 5.0  # s of the 6 s that a change may take; the rest is for what a busy machine adds
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


ANSWERS = {
    "mute": lambda agent: b"",
    "head": lambda agent: HEAD,
    "status": lambda agent: b"HTTP/1.1 503 Down\r\nTransfer-Encoding: chunked\r\n\r\n",
    "redirect": lambda agent: b"HTTP/1.1 302 Found\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n",
    "nonsense": lambda agent: HEAD + chunk(b"{nonsense\n"),
    "no_http": lambda agent: b"hello\r\n\r\n",
}  # what an agent says in one go, by its mode


class Conversation(Protocol):
    """One watch as the agent sees it. Its `mode` is the agent's when it was asked."""

    def __init__(self, agent):
        self.agent, self.mode, self.closed = agent, "unasked", False
        self.index = 0  # of the state that was told last
        self.behind = False  # what it was asked for is newer than what the agent has
        self.asked = b""

    def connectionMade(self):
        self.agent.conversations.append(self)
        if self.agent.mode == "reset":
            self.transport.abortConnection()

    def connectionLost(self, reason=None):
        self.closed = True
        self.agent.conversations.remove(self)

    def dataReceived(self, data):
        self.asked += data
        if b"\r\n\r\n" not in self.asked:
            return
        since = int(self.asked.split(b"since=")[1].split(b" ")[0])
        self.agent.asked.append(since)
        self.mode = self.agent.mode
        said = self.agent.answers.get(self.mode)
        if said is not None:
            self.transport.write(said(self.agent))
        elif self.mode == "ends":
            whole = self.agent.whole()
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(whole), whole))
        elif self.mode in ("good", "pieces"):
            self.transport.write(HEAD)
            self.say(self.agent.first(since))
            self.behind = since > self.agent.base + self.agent.index
            self.index = self.agent.index
            self.agent.later(2.0, self.beat)
        elif self.mode in ("bytes", "half"):
            self.transport.write(HEAD + chunk(self.agent.whole()[:30]))
            if self.mode == "bytes":
                self.agent.later(0.5, self.trickle)

    def trickle(self):
        if self.mode == "bytes" and not self.closed:
            self.transport.write(chunk(b"x"))
            self.agent.later(0.5, self.trickle)

    def beat(self):
        if self.mode in ("good", "pieces") and not self.closed:
            self.say(b"\n")
            self.agent.later(2.0, self.beat)

    def say(self, data):
        if self.mode == "good":
            self.transport.write(chunk(data))
        for i in range(0, len(data), 7) if self.mode == "pieces" else ():
            self.transport.write(chunk(data[i : i + 7], b";a=b"))

    def tell(self):
        """What the agent learned since the last line."""
        if self.mode in ("good", "pieces") and self.index < self.agent.index and not self.closed:
            self.say((self.agent.logged if self.behind else self.agent.changes)(self.index))
            self.index = self.agent.index


class Agent(Factory):
    """An agent with the states `history` of the list up to `index`; it numbers them from `base` on."""

    noisy = False

    def __init__(self, home, history, base=1000):
        self.home, self.history, self.base = home, history, base
        self.index, self.mode = len(history) - 1, "good"
        self.answers = ANSWERS
        self.asked, self.conversations = [], []
        self.listening = home.listenTCP(0, self)
        self.port = self.listening.port

    def buildProtocol(self, addr):
        return None if self.mode == "refuse" else Conversation(self)

    def later(self, seconds, call):
        self.home.callLater(seconds, call)

    def first(self, since):
        known = since - self.base
        if known > self.index and self.base >= 1000 and known < 1000:
            return line(self.base + self.index)  # it is behind another agent with the same numbers
        return self.changes(known) if 0 <= known <= self.index else self.whole()

    def whole(self):
        entries = [entry(name, state, started) for name, (state, started) in self.history[self.index].items()]
        return line(self.base + self.index, *entries, reset=True)

    def changes(self, known):
        old, new = self.history[known], self.history[self.index]
        entries = [entry(name, *new[name]) for name in new if new[name] != old.get(name)]
        entries += [{"instanceId": name, "lifecycle": "Gone"} for name in old if name not in new]
        return line(self.base + self.index, *entries)

    def logged(self, known):
        """The same with each node that was told in between, also such as came and went."""
        entries = {}
        for i in range(known, self.index):
            step = json.loads(Agent.changes(_State(self.history, i + 1, self.base), i))
            entries.update({each["instanceId"]: each for each in step["instances"]})
        return line(self.base + self.index, *entries.values())

    def learn(self):
        self.index = len(self.history) - 1
        for each in list(self.conversations):
            each.tell()

    def fall_silent(self):
        for each in self.conversations:
            each.mode = "mute"

    def reset_all(self):
        for each in list(self.conversations):
            each.transport.abortConnection()


class _State:
    def __init__(self, history, index, base):
        self.history, self.index, self.base = history, index, base


class Rig:
    """A gateway's watch and two agents, whose lists are one history of states."""

    def __init__(self, seed=1, other_base=1000):
        self.network = VirtualNetwork(seed)
        self.history = [{"s-0": (READY, 1), "s-1": (READY, 2)}]
        self.homes = [self.network.host("first"), self.network.host("second")]
        self.agents = [
            Agent(home, self.history, base) for home, base in zip(self.homes, (1000, other_base), strict=True)
        ]
        self.here = 0
        self.log, self.news = [], []
        self.endpoints = DiscoveredEndpoints(["a"], 0)
        self.endpoints.apply(json.loads(self.agents[0].whole()), cached=True)
        self.gateway = self.network.host("gateway")
        self.watch = DiscoveryWatch(
            self.gateway, self.endpoints, self.place(0), self.news.append, self.log.append
        )
        self.watch.start()
        self.network.advance(0.3)

    @property
    def agent(self):
        return self.agents[self.here]

    def place(self, number):
        return "127.0.0.1", self.agents[number].port

    def move(self, number):
        self.here = number
        self.watch.move(self.place(number))

    def cut(self, number, cut=True):
        name = self.homes[number].name
        for names in ((name, "gateway"), ("gateway", name)):
            self.network.set_way(*names, Way(cut=True) if cut else None)

    def change(self, name="s-0", state=DRAINING):
        new = dict(self.history[-1])
        new.pop(name, None)
        if state is not None:
            new[name] = (state, len(self.history) + 2)
        self.history.append(new)

    def tell(self, name="s-0", state=DRAINING):
        """A change that the agent that counts has at once."""
        self.change(name, state)
        self.agent.learn()

    def held(self):
        names = {Health.READY: READY, Health.DRAINING: DRAINING}
        return {
            name: (names[each.health], each.started // 1_000_000)
            for name, each in self.endpoints.entries.items()
        }

    def held_index(self):
        return self.history.index(self.held())

    def seconds_until_taken(self, most=30.0):
        begun = self.network.now
        while self.held() != self.history[self.agent.index] and self.network.now < begun + most:
            self.network.advance(0.05)
        return self.network.now - begun


def fail(rig, how):
    """The agent that counts fails in one way: watches that are open and such that will be."""
    if how == "cut":  # dials hang, open watches are silent
        rig.agent.fall_silent()
        rig.cut(rig.here)
        return
    rig.agent.mode = how
    if how in ("mute", "head", "half", "bytes"):
        rig.agent.fall_silent()
    else:
        rig.agent.reset_all()


def mend(rig):
    rig.cut(rig.here, False)
    rig.agent.mode = "good"


FAILURES = [
    "cut", "mute", "head", "half", "bytes", "refuse", "reset", "status", "redirect", "nonsense", "no_http", "ends",
]  # fmt: skip
MOMENTS = [0.05 + 0.35 * i for i in range(40)]  # s for which it fails


@pytest.mark.parametrize("how", FAILURES)
def test_a_change_is_taken_in_time_after_every_failure_however_long_it_lasted(how):
    worst = 0.0
    for moment in MOMENTS:
        rig = Rig()
        fail(rig, how)
        rig.network.advance(moment)
        mend(rig)
        rig.tell()
        worst = max(worst, rig.seconds_until_taken())
        assert len(rig.watch.dials) + len(rig.watch.watches) <= MAX_ATTEMPTS
    assert worst < IN_TIME


@pytest.mark.parametrize("second", FAILURES)
@pytest.mark.parametrize("first", ["silent", "head", "bytes", "cut"])
def test_a_change_is_taken_in_time_when_the_next_watch_fails_too(first, second):
    """Guards against waits that add up: a watch falls silent, and the one that is to take its place hangs."""
    worst = 0.0
    for moment in (2.0, 2.9, 3.05, 4.3, 5.05, 5.3, 6.1, 8.0):
        rig = Rig()
        if first == "silent":
            rig.agent.fall_silent()
        else:
            fail(rig, first)
        rig.network.advance(moment)
        mend(rig)
        fail(rig, second)
        rig.network.advance(1.0)
        mend(rig)
        rig.tell()
        worst = max(worst, rig.seconds_until_taken())
    assert worst < IN_TIME


def test_what_a_watch_misses_after_its_last_line_is_taken_though_the_next_dial_hangs():
    rig = Rig()
    rig.network.advance(1.9)
    rig.agent.fall_silent()  # just after an empty line
    begun = rig.network.now
    rig.cut(0)
    rig.network.advance(3.2)
    rig.cut(0, False)
    rig.tell()
    rig.seconds_until_taken()
    assert rig.network.now - begun < IN_TIME


def test_attempts_at_an_agent_that_says_nothing_are_bounded_and_do_not_spin():
    for how in ("cut", "mute", "head", "bytes", "refuse"):
        rig = Rig()
        fail(rig, how)
        begun = rig.network.ran
        for _ in range(200):
            rig.network.advance(0.1)
            assert len(rig.watch.dials) + len(rig.watch.watches) <= MAX_ATTEMPTS
            assert len(rig.agent.conversations) <= MAX_ATTEMPTS + 1
        assert rig.network.ran - begun < 20 * 60


@pytest.mark.parametrize("offset", [0.0, 0.4, 1.3])
@pytest.mark.parametrize("how", ["cut", "mute", "head"])
def test_a_new_address_is_read_within_four_seconds_though_its_first_dial_hangs(how, offset):
    """Guards against the first dial or answer at a new address, or one to the old address, holding up the next."""
    rig = Rig()
    fail(rig, "cut")
    rig.network.advance(offset + 2.6)  # a dial to the old address runs
    rig.agents[1].mode = how if how != "cut" else "good"
    rig.cut(1, how == "cut")
    rig.change()
    rig.agents[1].learn()
    begun = rig.network.now
    rig.move(1)
    rig.network.advance(0.5)
    mend(rig)
    rig.seconds_until_taken()
    assert rig.network.now - begun < 4.0 and rig.held_index() == 1


def test_moves_in_quick_succession_end_at_the_last_address():
    rig = Rig(other_base=0)
    for number in (1, 0, 1, 0, 1):
        rig.move(number)
    rig.change()
    rig.agents[1].learn()
    rig.network.advance(1.0)
    assert rig.held_index() == 1 and rig.endpoints.version == 1
    for number in (0, 1, 0, 1, 0):
        rig.move(number)
        rig.network.advance(0.0004)
    rig.change("s-1")
    rig.agents[0].learn()
    rig.network.advance(2.5)
    assert rig.held_index() == 2 and rig.endpoints.version == 1002
    assert [watch.address for watch in rig.watch.watches] == [rig.place(0)]


def test_what_the_old_address_writes_after_a_move_counts_until_it_closes():
    """Guards against ending the old watch at an empty line of the new one, which may be behind."""
    rig = Rig()
    rig.move(1)
    rig.network.advance(0.1)
    rig.change()
    rig.agents[0].learn()  # the new one learns it later
    rig.network.advance(0.1)
    assert rig.held_index() == 1
    rig.network.advance(3.0)
    assert [watch.address for watch in rig.watch.watches] == [rig.place(1)]
    rig.change("s-1")
    rig.agents[1].learn()
    rig.network.advance(0.1)
    assert rig.held_index() == 2


def test_an_old_address_that_closes_is_not_opened_again():
    rig = Rig()
    rig.agents[1].mode = "mute"
    rig.move(1)
    rig.network.advance(0.2)
    asked = len(rig.agents[0].asked)
    rig.agents[0].reset_all()
    rig.network.advance(5.0)
    assert len(rig.agents[0].asked) == asked
    rig.agents[1].mode = "good"
    rig.tell()
    assert rig.seconds_until_taken() < 2.0


# --- versions ---


def test_an_older_watchs_line_does_not_undo_a_newer_ones():
    rig = Rig()
    older = rig.agent.conversations[0]
    rig.move(1)
    rig.network.advance(0.1)
    rig.change()
    rig.change("s-0", READY)
    rig.agents[1].learn()
    rig.network.advance(0.01)
    assert rig.held_index() == 2 and not older.closed
    older.say(line(1001, entry("s-0", DRAINING, 3)))
    older.say(line(1000, entry("s-0", DRAINING, 1), reset=True))
    rig.network.advance(0.05)
    assert rig.held_index() == 2 and rig.endpoints.version == 1002 and not rig.log


def test_a_change_that_is_sent_twice_or_late_is_applied_once():
    endpoints = DiscoveredEndpoints([], 0)
    endpoints.apply(json.loads(line(41, entry("s-1"))), cached=True)
    newer, older = WatchedEndpoints(endpoints), WatchedEndpoints(endpoints)
    assert newer.apply(json.loads(line(42, entry("s-1", DRAINING))), True).kind is ListKind.DELTA
    for watch in (newer, older):
        for old in (line(42, entry("s-1")), line(41, entry("s-1")), line(3)):
            assert watch.apply(json.loads(old), True) is None
    assert endpoints.version == 42 and endpoints.entries["s-1"].health is Health.DRAINING
    # An older watch's whole list is taken only where it is newer; the leading one's always.
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


def test_a_node_that_appeared_and_left_beside_a_watch_that_was_opened_before_is_removed():
    """Guards against a first line that is taken upon a newer list than the one it was asked for."""
    endpoints = DiscoveredEndpoints([], 0)
    endpoints.apply(json.loads(line(41, entry("s-1"))), cached=True)
    older, newer = WatchedEndpoints(endpoints), WatchedEndpoints(endpoints)
    older.apply(json.loads(line(42, entry("s-2"), entry("s-1", DRAINING))), True)
    news = newer.apply(json.loads(line(43, entry("s-3"))), True)
    assert news.kind is ListKind.FULL and endpoints.version == 43
    assert {name: each.health for name, each in endpoints.entries.items()} == {
        "s-1": Health.READY,
        "s-3": Health.READY,
    }
    assert (
        newer.apply(json.loads(line(44, {"instanceId": "s-1", "lifecycle": "Gone"})), True).kind
        is ListKind.DELTA
    )
    assert list(endpoints.entries) == ["s-3"]


def test_an_agent_that_numbers_anew_is_followed_and_the_old_one_is_not():
    rig = Rig(other_base=0)
    older = rig.agent.conversations[0]
    rig.change()
    rig.agents[1].learn()
    rig.move(1)
    rig.network.advance(0.0035)
    assert rig.held_index() == 1 and rig.endpoints.version == 1
    if not older.closed:
        older.say(line(1005, entry("s-0", READY, 1)))
    rig.tell("s-1")
    rig.network.advance(0.1)
    assert older.closed and rig.held_index() == 2 and rig.endpoints.version == 2


def test_a_known_list_that_is_newer_than_the_agents_is_not_undone_by_old_changes():
    rig = Rig()
    rig.watch.stop()
    rig.change()
    endpoints = DiscoveredEndpoints(["a"], 0)
    rig.agents[0].index = 1
    endpoints.apply(json.loads(rig.agents[0].whole()), cached=True)
    rig.agents[0].index = 0
    rig.endpoints, rig.news = endpoints, []
    rig.watch = DiscoveryWatch(rig.gateway, endpoints, rig.place(0), rig.news.append, rig.log.append)
    rig.watch.start()
    rig.network.advance(0.3)
    assert rig.held_index() == 1 and rig.agent.asked[-1] == 1001
    rig.agent.learn()
    rig.tell("s-1")
    rig.network.advance(0.1)
    assert rig.held_index() == 2


# --- signs of life ---


def test_bytes_without_lines_do_not_keep_a_watch_alive():
    rig = Rig()
    rig.agent.mode = "bytes"
    rig.agent.reset_all()
    rig.network.advance(1.0)
    rig.agent.mode = "good"
    rig.tell()
    assert rig.seconds_until_taken() < IN_TIME
    rig.network.advance(6.0)
    assert len(rig.agent.conversations) == 1


@pytest.mark.parametrize("pause", [0.05, 0.5, 1.0])
def test_a_long_list_that_comes_slowly_is_read_to_its_end(pause):
    """Guards against breaking off a list whose bytes keep coming, for ever anew."""
    rig = Rig()
    more = {f"s-{i}": (READY, 7) for i in range(200 if pause < 0.1 else 60)}
    rig.history.append({**rig.history[0], **more})
    piece = 512 if pause < 0.1 else 1024
    agent = rig.agent

    def slowly(asked):
        data = agent.whole()
        asked.transport.write(HEAD)
        for i in range(0, len(data), piece):
            agent.later(
                pause * i / piece,
                lambda i=i: asked.closed or asked.transport.write(chunk(data[i : i + piece])),
            )

    agent.index = 1
    agent.answers = {**ANSWERS, "slow": lambda agent: b""}
    agent.mode = "slow"
    made = Conversation.dataReceived

    class Slow(Conversation):
        def dataReceived(self, data):
            made(self, data)
            slowly(self)

    agent.buildProtocol = lambda addr: Slow(agent)
    agent.reset_all()
    took = rig.seconds_until_taken(25)
    assert rig.held_index() == 1 and took < 0.5 + pause * len(agent.whole()) / piece + 0.3 and not rig.log


def test_a_line_that_never_ends_holds_no_watch_for_ever_and_no_other_up():
    rig = Rig()
    agent = rig.agent

    class Endless(Conversation):
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
        rig.network.advance(0.1)
        assert len(agent.conversations) <= MAX_ATTEMPTS + 1
    agent.mode = "good"
    rig.tell()
    assert rig.seconds_until_taken() < IN_TIME
    rig.network.advance(0.1)
    assert len(agent.conversations) == 1


def test_lines_of_an_object_that_never_ends_keep_no_watch_alive():
    rig = Rig()
    agent = rig.agent

    class Indented(Conversation):
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
    rig.network.advance(0.5)
    agent.mode = "good"
    rig.tell()
    assert rig.seconds_until_taken() < IN_TIME
    rig.network.advance(0.1)
    assert len(agent.conversations) == 1


def test_lines_inside_an_object_do_not_put_off_the_next_attempt():
    rig = Rig()
    rig.network.advance(0.5)
    asked, told = len(rig.agent.asked), rig.agent.conversations[0]
    rig.agent.fall_silent()
    told.transport.write(chunk(b"{\n"))
    for i in range(10):
        rig.agent.later(0.4 * i, lambda: told.closed or told.transport.write(chunk(b' "a":\n')))
    rig.network.advance(3.5)
    assert len(rig.agent.asked) == asked + 1


def test_a_line_that_comes_steadily_but_never_ends_is_given_up():
    rig = Rig()
    rig.agent.fall_silent()
    told = rig.agent.conversations[0]
    rig.watch.next_attempt_timer.cancel()  # nothing is begun beside it

    def flow():
        if not told.closed:
            told.transport.write(chunk(b"x" * 600))
            rig.agent.later(0.5, flow)

    flow()
    rig.network.advance(LINE_TIMEOUT_SECONDS - 1.0)
    assert not told.closed
    rig.network.advance(1.5)
    assert told.closed


def test_a_watch_at_an_address_left_and_taken_again_leads_over_the_newer_one_between():
    """Guards against an agent that does not count any more and ends the watch on the one that does."""
    rig = Rig(other_base=0)
    rig.change()
    rig.agents[1].learn()
    rig.agents[0].learn()
    rig.network.advance(0.1)
    first = rig.agents[0].conversations[0]
    rig.move(1)
    rig.agents[0].mode = "mute"  # it answers no new watch
    rig.network.advance(0.0004)
    rig.move(0)
    rig.network.advance(0.5)
    assert not first.closed and rig.endpoints.version == 1001
    first.say(line(1002, entry("s-1", DRAINING, 9)))
    rig.network.advance(0.1)
    assert rig.endpoints.version == 1002


# --- forms of an answer ---

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
def test_every_form_of_an_answer_is_read(form, pieces):
    rig = Rig()
    rig.change()
    rig.change("s-1")
    agent, said = rig.agent, FORMS[form]
    agent.answers = {**ANSWERS, "form": lambda agent: b""}
    agent.mode = "form"
    made = Conversation.dataReceived

    class Formed(Conversation):
        def dataReceived(self, data):
            made(self, data)
            size = pieces or len(said)
            for i in range(0, len(said), size):
                agent.later(
                    0.0006 * i / size, lambda i=i: self.closed or self.transport.write(said[i : i + size])
                )

    agent.buildProtocol = lambda addr: Formed(agent)
    agent.reset_all()
    rig.network.advance(2.0)
    assert rig.held_index() == 2 and rig.endpoints.version == 1002 and not rig.log


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
def test_an_answer_that_is_none_is_asked_for_again_in_time(said):
    rig = Rig()
    agent = rig.agent
    agent.answers = {**ANSWERS, "said": lambda agent: said}
    agent.mode = "said"
    agent.reset_all()
    rig.network.advance(3.0)
    assert rig.held_index() == 0
    agent.mode = "good"
    rig.tell()
    assert rig.seconds_until_taken() < IN_TIME and len(rig.log) <= 2


# --- spoilt lists ---


def test_nothing_of_a_watch_is_taken_after_its_bad_line():
    """Guards against a line behind a bad one in the same bytes: the watch that sent both has ended."""
    rig = Rig()
    rig.agent.mode = "refuse"
    rig.agent.conversations[0].say(b"{bad\n" + line(1001, entry("s-0", DRAINING)) + b"{worse\n")
    rig.network.advance(1.0)
    assert rig.held_index() == 0 and len(rig.log) == 1


def test_a_malformed_list_that_returns_again_and_again_is_logged_once_in_a_period():
    rig = Rig()
    agent, count = rig.agent, iter(range(10_000))
    agent.answers = {
        **ANSWERS,
        "same": lambda agent: HEAD + chunk(b"\n" + line(1001, entry("s-0", "Odd"))),
        "other": lambda agent: HEAD + chunk(line(1001, entry(f"s-{next(count)}", "Odd"))),
    }
    agent.mode = "same"
    agent.reset_all()
    rig.network.advance(50)
    assert len(agent.asked) > 100 and len(rig.log) == 1 and "unknown state" in rig.log[0]
    agent.mode = "other"
    rig.network.advance(50)
    assert next(count) > 100 and len(rig.log) <= 1 + 2 * MAX_WARNINGS_PER_PERIOD and rig.held_index() == 0
    agent.mode = "good"
    rig.tell()
    assert rig.seconds_until_taken() < 1.0


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
taken = []
endpoints = DiscoveredEndpoints([], 0)
def told(news):
    print("told", endpoints.version, flush=True)
    reactor.stop()
watch = DiscoveryWatch(reactor, endpoints, ("127.0.0.1", port.getHost().port), told, print)
failed = [0]
attempt_ended = watch.attempt_ended
def count(attempt):
    failed[0] += 1
    attempt_ended(attempt)
    if failed[0] == 4:
        print("failed", watch.last_attempt_number, flush=True)
        while taken:
            os.close(taken.pop())
watch.attempt_ended = count
def begin():
    try:
        while True:
            taken.append(os.dup(0))
    except OSError:
        watch.start()
reactor.callWhenRunning(begin)
reactor.callLater(60, reactor.stop)
reactor.run()
"""


def test_a_watch_that_finds_no_descriptor_is_tried_again():
    """Guards against a watch that is lost, or a loop that spins, while all descriptors are taken."""
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
def told(news):
    # The connection at either end; the dials to the old address are closed.
    print("told", endpoints.version, watch.last_attempt_number, files() - before, flush=True)
    reactor.stop()
watch = DiscoveryWatch(reactor, endpoints, full.getsockname(), told, print)
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


def test_a_hanging_dial_holds_up_neither_the_next_nor_a_move_and_leaves_no_descriptor():
    done = subprocess.run(
        [sys.executable, "-c", HUNG], capture_output=True, text=True, timeout=120, env=dict(os.environ)
    )
    want = "dials 1 False\ndials 2 False\ndials 1 True\ntold 7 3 2\n"
    assert done.stdout == want and "Traceback" not in done.stderr, done.stderr


# --- any order of all of it ---


class Orders:
    """Two agents that fail in every way while changes are made. The oracle sees what the agents had, and when."""

    def __init__(self, other_base):
        self.rig = Rig(other_base=other_base)
        self.alike = other_base == 1000
        self.had = []  # time, and the state that the agent that counts had from then on
        self.reachable = self.rig.network.now
        self.cut = [False, False]
        self.best = 0
        self.note()

    def note(self):
        self.had.append((self.rig.network.now, self.rig.agent.index))

    def judge(self):
        """Since when the agent that counts can be reached."""
        good = self.rig.agent.mode in ("good", "pieces") and not self.cut[self.rig.here]
        self.reachable = min(self.reachable, self.rig.network.now) if good else float("inf")

    def look(self):
        now = self.rig.network.now
        held = self.rig.held()
        assert held in self.rig.history, "the list held was never the agent's"
        index = self.rig.history.index(held)
        assert index >= self.best, "an old line undid a newer one"
        self.best = index
        if now - self.reachable >= IN_TIME:
            due = max((index for at, index in self.had if at <= now - IN_TIME), default=0)
            assert index >= due, "a change was not taken in time"
        assert len(self.rig.watch.dials) + len(self.rig.watch.watches) <= MAX_ATTEMPTS

    def passes(self, steps):
        for _ in range(steps):
            self.rig.network.advance(0.25)
            self.look()

    def answers(self, how):
        self.rig.agent.mode = how
        self.judge()

    def watches_break(self, how):
        if how == "reset":
            self.rig.agent.reset_all()
        for each in self.rig.agent.conversations:
            if how == "bytes" and each.mode in ("good", "pieces"):
                each.mode = "bytes"
                each.transport.write(chunk(b"{"))
                each.trickle()
            elif how == "silent":
                each.mode = "mute"

    def way(self, cut):
        here = self.rig.here
        if cut == self.cut[here]:
            return
        if cut:  # what is open stays silent, as when a machine vanishes
            self.rig.agent.fall_silent()
        self.cut[here] = cut
        self.rig.cut(here, cut)
        self.judge()

    def changes(self, name, state, both):
        if len(self.rig.history[-1]) < 2 and state is None:
            return
        self.rig.change(name, state)
        self.rig.change("s-3", READY)  # makes each state another one
        self.rig.agent.learn()
        if both and self.alike:
            self.rig.agents[1 - self.rig.here].learn()
        self.note()

    def the_other_learns(self):
        if self.alike:  # one that numbers anew and is behind can't be told from one that is ahead
            self.rig.agents[1 - self.rig.here].learn()

    def moves(self):
        if not self.alike:
            self.rig.agents[1 - self.rig.here].learn()
        self.rig.move(1 - self.rig.here)
        self.had.clear()
        self.note()
        self.reachable = float("inf")
        self.judge()

    def old_address_closes(self):
        self.rig.agents[1 - self.rig.here].reset_all()


HOWS = ["good", "good", "good", "pieces", "mute", "head", "half", "bytes", "refuse", "status", "reset"]
STEPS = [
    *[("passes", steps) for steps in (1, 2, 4, 8, 11, 12, 13, 14, 16, 20, 24, 60)],
    *[("answers", how) for how in HOWS],
    *[("watches_break", how) for how in ("silent", "silent", "reset", "bytes")],
    *[("way", cut) for cut in (True, False)],
    *[("changes", name, state, name != "s-0") for name in ("s-0", "s-1", "s-2") for state in (READY, DRAINING, None)],
    *[("the_other_learns",), ("moves",), ("old_address_closes",)],
]  # fmt: skip


def play(steps, other_base):
    orders = Orders(other_base)
    for name, *words in steps:
        getattr(orders, name)(*words)
    orders.way(False)
    orders.answers("good")
    orders.passes(24)


RUNS = settings(
    max_examples=400, deadline=None, derandomize=True, database=None, suppress_health_check=list(HealthCheck)
)
DRAWN = given(st.lists(st.sampled_from(STEPS), min_size=20, max_size=40), st.sampled_from([1000, 1000, 0]))


@RUNS
@DRAWN
def test_the_list_is_the_agents_in_time_whatever_fails_in_whatever_order(steps, other_base):
    play(steps, other_base)


def silence_counted_by_bytes(monkeypatch):
    received = WatchConnection.dataReceived

    def any_byte(self, data):
        received(self, data)
        if not self.ended:
            self.last_line_at = self.owner.network.seconds()
            self._restart_silence_timer()
            if self.received_line:
                self.owner._schedule_attempt(watch_module.SILENT_GAP_SECONDS)

    monkeypatch.setattr(WatchConnection, "dataReceived", any_byte)


def no_second_watch(monkeypatch):
    begin = DiscoveryWatch._start_attempt

    def one_at_a_time(self):
        if self.dials or any(watch.address == self.address for watch in self.watches):
            self._schedule_attempt(watch_module.MAX_BACKOFF_SECONDS)
        else:
            begin(self)

    monkeypatch.setattr(DiscoveryWatch, "_start_attempt", one_at_a_time)


def versions_not_compared(monkeypatch):
    monkeypatch.setattr(
        WatchedEndpoints, "apply", lambda self, document, is_leader: self.endpoints.apply(document)
    )


def dial_without_bound(monkeypatch):
    monkeypatch.setattr(watch_module, "DIAL_TIMEOUT_SECONDS", 30.0)
    monkeypatch.setattr(watch_module, "ATTEMPT_GAP_SECONDS", 30.0)


@pytest.mark.parametrize(
    "mistake", [silence_counted_by_bytes, no_second_watch, versions_not_compared, dial_without_bound]
)
def test_the_drawn_orders_find_a_mistake_made_on_purpose(mistake, monkeypatch):
    mistake(monkeypatch)

    @settings(RUNS, phases=[Phase.generate], max_examples=2000, print_blob=False)
    @DRAWN
    def orders(steps, other_base):
        play(steps, other_base)

    with pytest.raises(AssertionError):
        orders()
