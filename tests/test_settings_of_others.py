"""Arbitrary settings: short simulated days on a virtual network, checked only from the traffic on the sockets."""

import json
import os
import subprocess
import sys
from collections import defaultdict

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from test_service import FLAT
from twisted.internet.protocol import ClientFactory, Protocol

from ochrecourse.interface import MissingSettingError
from ochrecourse.lab.virtual import VirtualNetwork
from ochrecourse.service.gateway_service import GatewayService, ServiceEnvironment
from ochrecourse.service.start_settings import StartSettingsError, parse_start_settings
from ochrecourse.resp import codec
from ochrecourse.standins.resp_node import VALUE, ListAgent, RespNode, RespPeer, success_reply

HEARTBEAT = 2.0  # s between empty lines of a watch
# s by which two events observed at the peers may be closer than when sent; twice the network delay
ORDER_TOLERANCE = 0.001
LAST_REQUEST = 800  # ms after the start until which clients send requests
LIMIT_TOLERANCE = 0.15  # s of a limit's rate by which the protocol page lets its bucket go lower
ATTEMPT_GRACE = 0.1  # s after a client's close within which an attempt in flight may still start
MAY_HAVE_RUN = ("good", "late", "error", "reset", "hang")
BEHAVIOURS = (*MAY_HAVE_RUN, "busy", "late busy")
EXAMPLES = settings(max_examples=60, deadline=None, suppress_health_check=list(HealthCheck))


# --- random settings ---


@st.composite
def classes(draw):
    """A request class in the settings. Times in ms."""
    deadline = draw(st.sampled_from([2500, 900, 10_000, 60_000, 200, 90, 60, 40]))
    values = {
        "Aim": float(max(40, round(deadline * draw(st.sampled_from([1.0, 0.7, 0.3, 0.1]))))),
        "Deadline": float(deadline),
        "Effect": draw(st.sampled_from(["keyed", "safe", "keyed", "unsafe"])),
    }
    if values["Effect"] == "keyed" or draw(st.booleans()):
        values["KeyScope"] = draw(st.sampled_from(["all", "zone", "cell"]))
        values["Window"] = float(draw(st.sampled_from([1000, 300, 5000, 120, 50])))
    values |= draw(st.fixed_dictionaries({}, optional={
        "Points": st.sampled_from([0.5, 1.0, 7.0]), "LateShare": st.sampled_from([0.0, 0.4]),
        "Stream": st.just(False), "SerialByKey": st.just(False), "AimStretch": st.just(2.0),
    }))  # fmt: skip
    return values


plans = st.fixed_dictionaries(
    {"Rate": st.sampled_from([0.5, 4.0, 60.0])},
    optional={
        "Weight": st.sampled_from([0.5, 1.0, 9.0]), "Reserve": st.sampled_from([0.0, 2.0, 100.0]),
        "ValueFactor": st.sampled_from([0.1, 1.0, 3.0]), "LimitSlack": st.sampled_from([0.0, 2.0]),
    },
)  # fmt: skip
limits = st.none() | st.fixed_dictionaries({
    "Limit": st.sampled_from([0.5, 5.0, 40.0]), "CapDepth": st.sampled_from([8.0, 20.0, 100.0]),
})  # fmt: skip
site = st.fixed_dictionaries(
    {
        "FamilyInfo.ColdUnits": st.sampled_from([1.0, 8.0, 200.0]), "FamilyInfo.UnitsTop": st.just(8),
        "FamilyInfo.UsualUnits": st.sampled_from([0.5, 2.0, 6.0]), "Period": st.sampled_from([1.0, 2.0, 10.0]),
        "Instances": st.integers(1, 230), "Limits.MaxAttempts": st.sampled_from([3, 6, 2, 5, 4, 1]),
        "Safety.Cold": st.sampled_from([0.0, 5000.0, 30_000.0]), "Safety.Fall": st.sampled_from([500.0, 3000.0]),
        "Safety.AnswerSlack": st.sampled_from([4.0, 20.0]),
    },
    optional={
        "FamilyInfo.FairWorth": st.sampled_from([0.05, 0.3, 1.0]), "FamilyInfo.BeyondShare": st.sampled_from([0.0, 0.2]),
        "FamilyInfo.Meter": st.sampled_from([0.0, 1000.0]), "FamilyInfo.TellsElsewhere": st.just(True),
        "Limits.RetryAfter": st.booleans(), "Limits.MaxRetryAfter": st.just(700.0),
        "Limits.DialTimeout": st.sampled_from([50.0, 250.0, 1000.0]),
        "Limits.IdleClose": st.sampled_from([500.0, 15_000.0, 90_000.0]), "Limits.Multiplex": st.sampled_from([1, 32]),
        "Limits.MaxOpen": st.sampled_from([2, 20_000]), "Limits.ParallelTries": st.booleans(),
        "Discovery": st.just("push"), "Safety.ExtraRatio": st.sampled_from([0.0, 0.2]),
        "Safety.ExtraFloor": st.sampled_from([0.0, 5.0]), "Safety.CountedOver": st.sampled_from([1000.0, 10_000.0]),
        "Safety.OverloadFactor": st.sampled_from([2.0, 4.0]), "Safety.StartCapacity": st.sampled_from([0.1, 0.5]),
        "Safety.DrainGrace": st.just(1000.0), "Safety.OrderSettle": st.just(100.0), "Prices.Handshake": st.just(0.05),
        "Stats.How": st.sampled_from(["off", "inline"]), "Something.New": st.just([1, 2, 3]),
    },
)  # fmt: skip


@st.composite
def days(draw):
    """A site with its storage nodes and a short day: settings, cell and zone of each node, requests, behaviours."""
    kinds = draw(st.lists(classes(), min_size=1, max_size=12))
    tenants = draw(st.lists(st.tuples(plans, limits), min_size=1, max_size=4))
    count = draw(st.sampled_from([1, 2, 3, 40, 1200]))
    zones = [f"zone-{i}" for i in range(draw(st.integers(0, 12)))]
    values = {"Classes.count": len(kinds), "Policies.count": count, **draw(site)}
    for i, kind in enumerate(kinds):
        values |= {f"Classes.{i}.Name": f"class-{i}"} | {
            f"Classes.{i}.{name}": value for name, value in kind.items()
        }
    for i in range(count):
        usual, limit = tenants[i % len(tenants)]
        values |= {f"Policies.{i}.Name": f"plan-{i}"}
        values |= {f"Policies.{i}.{name}": value for name, value in (usual | (limit or {})).items()}
    if zones:
        values["Zones"] = zones
    cells = draw(st.integers(1, 4))
    nodes = [(i % cells, zones[i % len(zones)] if zones else "") for i in range(draw(st.integers(cells, 8)))]
    requests = st.fixed_dictionaries({
        "at": st.integers(0, LAST_REQUEST), "class": st.integers(0, len(kinds) - 1), "plan": st.integers(0, count - 1),
        "volume": st.integers(0, 2), "units": st.sampled_from([1, 1, 1, 2.5, 8]), "cell": st.integers(-1, cells - 1),
        "part": st.sampled_from([1.0, 1.0, 0.4]), "hosts": st.sampled_from([1, 1, 3]),
        "leaves": st.none() | st.none() | st.sampled_from([1, 15, 60, 250]),
    })  # fmt: skip
    behaviours = st.tuples(st.sampled_from(BEHAVIOURS), st.sampled_from([1, 10, 55, 130, 400]))
    return {
        "values": values, "nodes": nodes, "seed": draw(st.integers(0, 999)),
        "requests": draw(st.lists(requests, min_size=1, max_size=30)),
        "behaviours": draw(st.lists(behaviours, min_size=1, max_size=12)),
    }  # fmt: skip


# --- the simulation ---


class ScriptedPeer(RespPeer):
    """A node's end of a connection: each command is an attempt, answered as the day's behaviours specify."""

    def dataReceived(self, data):
        self.buffer += data
        while (words := self._command()) is not None:
            self.node.simulation.attempt_received(self, words)

    def closed(self):
        """Whether either end of the connection has been closed."""
        return self.transport.lost or self.transport.disconnecting or self.transport.peer.lost


class ScriptedNode(RespNode):
    def __init__(self, simulation, cell, zone):
        super().__init__()
        self.simulation, self.cell, self.zone = simulation, cell, zone

    def buildProtocol(self, addr):
        return ScriptedPeer(self)


class Attempt:
    """An attempt whose last byte has arrived at a node."""

    def __init__(self, at, peer, kind):
        self.at, self.peer, self.node = at, peer, peer.node
        self.kind = kind
        self.answered = False

    def is_in_flight(self):
        return not self.answered and not self.peer.closed()

    def is_known_unexecuted(self):
        return self.answered and "busy" in self.kind


class RequestClient(Protocol):
    """A client with one request on one connection, and all that it received."""

    def __init__(self, simulation, number, request):
        self.simulation, self.number, self.request = simulation, number, request
        self.sent_at = self.left_at = self.got_at = None
        self.got, self.ended, self.attempts = b"", False, []
        kind = simulation.kinds[request["class"]]
        self.effect, self.scope = kind["Effect"], kind.get("KeyScope", "all")
        self.window = float(kind.get("Window", 0)) / 1000
        self.waits = max(1, round(kind["Deadline"] * request["part"]))  # ms

    def connectionMade(self):
        request = self.request
        writes = self.effect != "safe"
        fields = f"c=class-{request['class']},t=plan-{request['plan']},d={self.waits}"
        fields += ",k=5c0f6e1a2b3d4c59" if self.effect == "keyed" else ""
        fields += f",volume={self.volume():016x},units={request['units']},shard={request['cell']},hosts={request['hosts']}"
        words = [
            b"BLK.WRITE" if writes else b"BLK.READ",
            b"%016x" % (self.number + 7),
            b"%016x" % self.number,
        ]
        self.transport.write(codec.encode_command([*words, fields.encode(), *([b"body"] if writes else [])]))
        self.sent_at = self.simulation.network.seconds()
        if request["leaves"] is not None:
            self.simulation.network.callLater(request["leaves"] / 1000, self.leave)

    def volume(self):
        """The volume's number; a volume belongs to one plan."""
        return self.request["plan"] * 3 + self.request["volume"] + 1

    def leave(self):
        if not self.got and not self.ended:
            self.left_at = self.simulation.network.seconds()
            self.transport.abortConnection()

    def dataReceived(self, data):
        self.got += data
        self.got_at = self.got_at or self.simulation.network.seconds()

    def connectionLost(self, reason=None):
        self.ended = True


class LateDials:
    """A network in which some of the gateway's connections to nodes are established late."""

    def __init__(self, network, ports, late):
        """`late`: delays of successive dials in s, repeated cyclically."""
        self.network, self.ports, self.late, self.count = network, ports, late, 0

    def __getattr__(self, name):
        return getattr(self.network, name)

    def connectTCP(self, host, port, factory, timeout=30, bindAddress=None):
        wait = self.late[self.count % len(self.late)] if port in self.ports else 0
        self.count += port in self.ports
        self.network.callLater(wait, self.network.connectTCP, host, port, factory, timeout)


class Simulation:
    """A gateway with its nodes, its list and its clients over a short day."""

    def __init__(self, day, late=(0.0,)):
        self.network = VirtualNetwork(day["seed"])
        self.behaviours, self.count = day["behaviours"], 0
        self.values = values = dict(day["values"])
        writes = [values[f"Classes.{i}.Effect"] != "safe" for i in range(values["Classes.count"])]
        values["FamilyInfo.Writes"] = writes
        self.kinds = [self._class(day["values"], i) for i in range(len(writes))]
        self.nodes = [ScriptedNode(self, cell, zone) for cell, zone in day["nodes"]]
        ports = [self.network.listenTCP(0, node).getHost().port for node in self.nodes]
        listed = [
            {"instanceId": f"s-{i}", "hostPort": f"127.0.0.1:{port}", "zone": node.zone, "cell": node.cell,
             "lifecycle": "Ready", "weight": 1.0, "startedAtMs": 0}
            for i, (node, port) in enumerate(zip(self.nodes, ports, strict=True))
        ]  # fmt: skip
        self.agent = ListAgent()
        agent_port = self.network.listenTCP(0, self.agent).getHost().port
        self._send_empty_lines()
        start_file = {
            "name": "n0", "listen": "127.0.0.1:0", "discovery": f"127.0.0.1:{agent_port}", "seed": f"{day['seed']:x}",
            "limits": {"sockets": 1024}, "settings": values,
            "known": {"generation": 1, "reset": True, "instances": listed},
        }  # fmt: skip
        self.log = []
        dials = LateDials(self.network, set(ports), list(late))
        self.service = GatewayService(
            parse_start_settings(start_file),
            "none",
            ServiceEnvironment(dials, 10**18, self.log.append, lambda: None),
        )
        port = self.service.serve()[1]
        self.clients = {}
        for number, request in enumerate(day["requests"], 1):
            self.clients[number] = client = RequestClient(self, number, request)
            factory = ClientFactory()
            factory.noisy = False
            factory.buildProtocol = lambda addr, client=client: client
            self.network.callLater(request["at"] / 1000, self.network.connectTCP, "127.0.0.1", port, factory)
        self.slack = float(values["Safety.AnswerSlack"]) / 1000
        self.violations = []

    @staticmethod
    def _class(values, i):
        at = f"Classes.{i}."
        return {name.removeprefix(at): value for name, value in values.items() if name.startswith(at)}

    def _send_empty_lines(self):
        for watch in self.agent.watches:
            watch.send_chunk(b"\n")
        self.network.callLater(HEARTBEAT, self._send_empty_lines)

    def run(self):
        longest = max(client.waits for client in self.clients.values()) / 1000
        self.network.advance(LAST_REQUEST / 1000 + longest + 1.0)
        return self

    def attempt_received(self, peer, words):
        kind, after = self.behaviours[self.count % len(self.behaviours)]
        self.count += 1
        attempt = Attempt(self.network.seconds(), peer, kind)
        client = self.clients[int(words[2], 16)]
        self.check_attempt(client, attempt)
        client.attempts.append(attempt)
        response = {
            "good": success_reply(words),
            "late": success_reply(words),
            "error": b"-ERR failed\r\n",
        }.get(kind, b"-BUSY\r\n")
        if kind == "reset":
            self.network.callLater(after / 1000, peer.transport.abortConnection)
        elif kind in ("late", "late busy"):
            self.network.callLater(after / 1000, self._answer, attempt, response)
        elif kind != "hang":
            self._answer(attempt, response)

    def _answer(self, attempt, response):
        if not attempt.peer.closed():
            attempt.answered = True
            attempt.peer.transport.write(response)

    # --- checks ---

    def report_violation(self, client, text):
        seen = [
            (round(each.at - client.sent_at, 4), each.kind, each.node.cell, each.node.zone)
            for each in client.attempts
        ]
        self.violations.append(
            f"request {client.number} ({client.effect}, {client.scope}): {text}; attempts before: {seen}"
        )

    def check_attempt(self, client, attempt):
        """Checks an attempt against the earlier ones, when its last byte arrives at its node."""
        before, node = client.attempts, attempt.node
        if client.request["cell"] not in (-1, node.cell):
            self.report_violation(
                client, f"sent to cell {node.cell}, its data is in {client.request['cell']}"
            )
        if client.got_at is not None and attempt.at > client.got_at + ORDER_TOLERANCE:
            self.report_violation(client, "an attempt after its final answer")
        if client.left_at is not None and attempt.at > client.left_at + ATTEMPT_GRACE:
            self.report_violation(
                client, f"an attempt {attempt.at - client.left_at:.3f} s after its client left"
            )
        if (
            any(each.is_in_flight() for each in before)
            and self.values.get("Limits.ParallelTries") is not True
        ):
            self.report_violation(client, "an attempt beside one that is still out")
        if len(before) + 1 > int(self.values["Limits.MaxAttempts"]):
            self.report_violation(client, f"attempt {len(before) + 1} is over the most")
        executed = next((each for each in before if not each.is_known_unexecuted()), None)
        if executed is None or client.effect == "safe":
            return
        if client.effect == "unsafe":
            self.report_violation(client, "a further attempt where one may have run")
            return
        if client.scope != "all" and getattr(executed.node, client.scope) != getattr(node, client.scope):
            self.report_violation(client, f"a further attempt left its {client.scope}")
        if attempt.at - executed.at > client.window:
            self.report_violation(
                client,
                f"a further attempt {attempt.at - executed.at:.4f} s after the first, window {client.window} s",
            )

    def check_answer(self, client):
        """Checks for exactly one final response, in time and of a kind that the attempts allow."""
        reader, replies = codec.ReplyParser(), []
        reader.feed(client.got)
        while (one := reader.next()) is not None:
            replies.append(one[0])
        if client.left_at is not None:
            return
        if len(replies) != 1 or reader.has_unparsed_bytes():
            self.report_violation(client, f"{len(replies)} answers, {client.got[:80]!r}")
            return
        if client.got_at > client.sent_at + client.waits / 1000 + self.slack:
            self.report_violation(
                client, f"answered after {client.got_at - client.sent_at:.4f} s of {client.waits} ms"
            )
        before = [each for each in client.attempts if each.at <= client.got_at]
        if isinstance(replies[0], bytes):
            made = any(each.answered and each.kind in ("good", "late") for each in before)
            if not made or replies[0] != VALUE + b"%016x" % client.number:
                self.report_violation(client, f"served with {replies[0]!r}, which no node gave for it")
        elif client.got.startswith(b"-BUSY"):
            executed = [each for each in before if not each.is_known_unexecuted()]
            if executed and client.effect != "safe" and (client.effect, client.scope) != ("keyed", "all"):
                self.report_violation(client, "refused though an attempt may have run")

    def check_limits(self, granted=ORDER_TOLERANCE):
        """Checks each volume's token bucket: full at first; the first attempt of a request takes its units.
        `granted`: seconds of the limit's rate by which it may go below its slack.
        """
        taken = defaultdict(list)
        for client in self.clients.values():
            if client.attempts:
                taken[client.request["plan"], client.volume()].append((client.attempts[0].at, client))
        for (plan, _), drawn in taken.items():
            at = f"Policies.{plan}."
            rate, depth = float(self.values.get(at + "Limit", 0)), float(self.values.get(at + "CapDepth", 0))
            slack = float(self.values.get(at + "LimitSlack", 0)) + rate * granted
            level, last = depth, None
            for when, client in sorted(drawn, key=lambda each: each[0]) if rate else ():
                level = min(depth, level + rate * (when - (last if last is not None else when)))
                level, last = level - client.request["units"], when
                if level < -slack:
                    self.report_violation(client, f"its volume's store is at {level:.3f}")

    def violations_found(self):
        for client in self.clients.values():
            self.check_answer(client)
        self.check_limits()
        return self.violations


def long_waits(day, effect="keyed"):
    """Gives every class time to repeat its requests, and makes no client leave."""
    for i in range(day["values"]["Classes.count"]):
        at = f"Classes.{i}."
        day["values"] |= {at + "Aim": 2500.0, at + "Deadline": 5000.0, at + "Effect": effect}
    for request in day["requests"]:
        request |= {"part": 1.0, "leaves": None, "units": 1}


@st.composite
def days_of_repeats(draw):
    """Days of keyed requests that any storage node may execute first, on nodes that mostly fail."""
    day = draw(days())
    long_waits(day)
    for i in range(day["values"]["Classes.count"]):
        scope, window = (
            draw(st.sampled_from(["cell", "zone", "all"])),
            draw(st.sampled_from([300.0, 700.0, 120.0, 50.0])),
        )
        day["values"] |= {f"Classes.{i}.KeyScope": scope, f"Classes.{i}.Window": window}
    zones = [f"zone-{i}" for i in range(draw(st.integers(2, 4)))]
    day["values"] |= {"Zones": zones, "Limits.MaxAttempts": draw(st.integers(3, 6))}
    day["nodes"] = [(i % 3, zones[i % len(zones)]) for i in range(draw(st.integers(3, 8)))]
    for request in day["requests"]:
        request["cell"] = -1
    failures = st.tuples(
        st.sampled_from(["error", "busy", "reset", "error", "hang"]), st.sampled_from([1, 10, 55])
    )
    day["behaviours"] = draw(st.lists(failures, min_size=1, max_size=12))
    return day


@st.composite
def days_of_limits(draw):
    """Days on which a volume, all of whose requests come through this gateway, exceeds its limit."""
    day = draw(days())
    day["requests"] = [dict(draw(st.sampled_from(day["requests"])), at=20 * i) for i in range(40)]
    long_waits(day, draw(st.sampled_from(["safe", "keyed"])))
    day["values"] |= {"Policies.0.Limit": draw(st.sampled_from([40.0, 20.0])), "Policies.0.CapDepth": 20.0}
    for request in day["requests"]:
        request |= {"plan": 0, "volume": 0, "hosts": 1, "units": draw(st.sampled_from([8, 2.5]))}
    day["behaviours"] = [("good", 1)]
    return day


@EXAMPLES
@given(day=days())
def test_rules_hold_under_any_settings(day):
    assert not Simulation(day).run().violations_found()


@EXAMPLES
@given(day=days_of_repeats())
def test_repeats_stay_within_their_window_and_group(day):
    assert not Simulation(day).run().violations_found()


@EXAMPLES
@given(day=days_of_limits())
def test_limits_hold_if_one_gateway_has_all_requests_of_a_volume(day):
    assert not Simulation(day).run().violations_found()


@EXAMPLES
@given(
    day=days_of_repeats(),
    late=st.lists(st.sampled_from([0.0, 0.02, 0.1, 0.3, 1.0, 1.5]), min_size=1, max_size=6),
)
def test_rules_hold_when_connections_to_nodes_are_established_late(day, late):
    """Guards against an attempt that is decided in time but sent too late, once its connection is established."""
    assert not Simulation(day, late).run().violations_found()


@EXAMPLES
@given(day=days(), late=st.lists(st.sampled_from([0.0, 0.02, 0.1, 0.3, 1.0, 1.5]), min_size=1, max_size=6))
def test_rules_hold_under_any_settings_when_connections_are_established_late(day, late):
    assert not Simulation(day, late).run().violations_found()


def test_limit_holds_when_the_first_connections_are_established_late():
    """Guards against first attempts that take their units when decided and then all arrive at the node at once."""
    at = "Classes.0."
    kind = {at + "Aim": 2500.0, at + "Deadline": 5000.0, at + "Effect": "safe", at + "Name": "class-0"}
    plan = {"Rate": 4.0, "Limit": 40.0, "CapDepth": 20.0, "LimitSlack": 2.0, "Name": "plan-0"}
    values = {
        **kind, "Classes.count": 1, "Policies.count": 1, **{f"Policies.0.{name}": value for name, value in plan.items()},
        "FamilyInfo.UnitsTop": 8, "FamilyInfo.UsualUnits": 2.0, "Instances": 1, "Limits.MaxAttempts": 3,
        "Period": 1.0, "Safety.AnswerSlack": 4.0,
    }  # fmt: skip
    request = {"class": 0, "plan": 0, "volume": 0, "cell": 0, "part": 1.0, "hosts": 1, "leaves": None}
    requests = [dict(request, at=20 * i, units=8) for i in range(40)]
    day = {"values": values, "nodes": [(0, "")], "seed": 0, "requests": requests, "behaviours": [("good", 1)]}
    simulation = Simulation(day, late=[1.0]).run()
    simulation.check_limits(LIMIT_TOLERANCE)
    assert not simulation.violations


# --- invalid start settings ---


NUMBERS = [
    "Classes.0.Aim", "Classes.1.Window", "Classes.1.Points", "Classes.0.Deadline", "Limits.DialTimeout",
    "Limits.IdleClose", "Limits.MaxOpen", "Limits.MaxAttempts", "Limits.MaxRetryAfter", "Instances", "Period",
    "Safety.Cold", "Safety.Fall", "Safety.StartCapacity", "Safety.ExtraRatio", "FamilyInfo.UsualUnits",
    "FamilyInfo.ColdUnits", "FamilyInfo.FairWorth", "Policies.0.Rate", "Policies.1.Limit", "Policies.1.CapDepth",
]  # fmt: skip
NOT_NUMBERS = [
    -5,
    -0.1,
    1e300,
    1e308,
    10**400,
    float("nan"),
    float("inf"),
    float("-inf"),
    "abc",
    True,
    [1, 2],
]
INVALID = {
    "no aim": ({"Classes.1.Aim": ...}, "Classes.1.Aim"), "no count": ({"Classes.count": ...}, "Classes.count"),
    "no effect": ({"Classes.0.Effect": ...}, "Classes.0.Effect"),
    "a count of words": ({"Classes.count": "abc"}, "Classes.count"),
    "a broken count": ({"Classes.count": 3.5}, "Classes.count"),
    "a count below zero": ({"Classes.count": -1}, "Classes.count"),
    "a huge count": ({"Classes.count": 10**9}, "Classes.count"),
    "a huge count of plans": ({"Policies.count": 10**9}, "Policies.count"),
    "an unknown effect": ({"Classes.2.Effect": "perhaps"}, "Classes.2.Effect"),
    "an unknown group": ({"Classes.1.KeyScope": "moon"}, "Classes.1.KeyScope"),
}  # fmt: skip


def start_file(changes):
    """A start file's object with some settings changed; `...` removes one. It is passed through JSON like a file."""
    changed = {name: value for name, value in {**FLAT, **changes}.items() if value is not ...}
    document = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "0f",
        "settings": changed,
    }
    return json.loads(json.dumps(document))


def start_service(changes):
    network = VirtualNetwork(1)
    GatewayService(
        parse_start_settings(start_file(changes)),
        "none",
        ServiceEnvironment(network, 10**18, lambda text: None, lambda: None),
    ).serve()
    network.advance(0.1)


@pytest.mark.parametrize("case", INVALID)
def test_invalid_settings_are_rejected_with_their_name(case):
    changes, name = INVALID[case]
    with pytest.raises((StartSettingsError, MissingSettingError)) as raised:
        start_service(changes)
    assert name in str(raised.value) and "\n" not in str(raised.value) and len(str(raised.value)) < 200


@pytest.mark.parametrize("name", NUMBERS)
def test_values_that_are_not_numbers_are_rejected_with_their_name(name):
    for value in NOT_NUMBERS:
        with pytest.raises((StartSettingsError, MissingSettingError)) as raised:
            start_service({name: value})
        assert name in str(raised.value) and "\n" not in str(raised.value) and len(str(raised.value)) < 200


@pytest.mark.parametrize("name", NUMBERS)
def test_zeros_are_accepted(name):
    # Guards against a check that rejects what the protocol page allows: a zero often means that there is none.
    start_service({name: 0})
    start_service({name: 0.0})


def test_settings_that_a_gateway_does_not_read_are_ignored():
    start_service(
        {"Classes.0.Novelty": -7, "Limits.NewOne": float("nan"), "Later": "x", "Classes.0.Name": "nan"}
    )


@pytest.mark.parametrize(
    "changes", [{"Classes.1.Aim": ...}, {"Period": float("nan")}, {"Policies.0.Rate": -1}]
)
def test_process_ends_with_one_sentence_and_code_2(changes, tmp_path):
    path = tmp_path / "start.json"
    path.write_text(json.dumps(start_file(changes)))
    ended = subprocess.run(
        [sys.executable, "-m", "ochrecourse.relay"], env={**os.environ, "RELAY_CONFIG": str(path)},
        capture_output=True, text=True, timeout=60,
    )  # fmt: skip
    assert ended.returncode == 2 and ended.stdout == ""
    lines = ended.stderr.splitlines()
    assert len(lines) == 1 and "settings" in lines[0] and next(iter(changes)) in lines[0]
