"""Shared settings and test harnesses; the order of tests, and the list of tests that are known to fail."""

from pathlib import Path

import pytest
from twisted.internet.protocol import ClientFactory, Protocol, ServerFactory

from ochrecourse.scheduler.scheduler import Scheduler
from ochrecourse.common.time_units import MS, SECOND
from ochrecourse.gateway.client_connection import ClientConnectionFactory
from ochrecourse.gateway.gateway import Gateway
from ochrecourse.interface import Ending, Health, Request, AttemptEnd, ListKind, NodeEntry
from ochrecourse.lab.virtual import VirtualNetwork
from ochrecourse.nodes.framed_connection import dialler
from ochrecourse.wire import messages as m

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def pytest_xdist_make_scheduler(config, log):
    """Distributes tests one by one in order, but keeps files together whose tests share a daemon or a clock."""
    from xdist.scheduler import LoadScopeScheduling

    class Scheduler(LoadScopeScheduling):
        def _split_scope(self, nodeid):
            file = nodeid.partition("::")[0]
            return file if file.endswith(("test_real_time.py", "test_conformance.py")) else nodeid

    return Scheduler(config, log)


def known_red():
    """Returns the lines of KNOWN-RED.txt by test name: tests that fail because of a real fault that is not fixed yet."""
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    return {line.split(" | ")[0]: line for line in lines if line.strip()}


def pytest_terminal_summary(terminalreporter):
    """Prints the result of each test that is known to fail."""
    known = known_red()
    for result in ("xfailed", "xpassed"):
        for report in terminalreporter.stats.get(result, []):
            if report.nodeid in known:
                terminalreporter.write_line(f"known red, {result}: {known[report.nodeid]}")


def pytest_collection_modifyitems(items):
    """Runs long tests first, so that no worker is left with one at the end.

    Marks only the tests that are known to fail as such: they run, and their results are printed.
    """
    known = known_red()
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason=known[item.nodeid], raises=AssertionError, strict=False))
    items.sort(key=lambda item: not item.get_closest_marker("long"))


VALUES = {
    "Classes.count": "3",
    "Classes.0.Aim": "300", "Classes.0.Effect": "safe", "Classes.0.Points": "2",
    "Classes.1.Aim": "500", "Classes.1.Effect": "keyed", "Classes.1.KeyScope": "cell",
    "Classes.1.Window": "2500", "Classes.1.SerialByKey": "true",
    "Classes.2.Aim": "600", "Classes.2.Effect": "unsafe", "Classes.2.SerialByKey": "true",
    "FamilyInfo.ColdUnits": "8", "FamilyInfo.UnitsTop": "8", "FamilyInfo.UsualUnits": "2",
    "FamilyInfo.FairWorth": "0.3", "FamilyInfo.BeyondShare": "0.1",
    "Instances": "2", "Limits.MaxAttempts": "3", "Limits.RetryAfter": "true", "Limits.MaxRetryAfter": "1000",
    "Period": "2", "Safety.Cold": "16000", "Safety.Fall": "1500", "Safety.OrderSettle": "100",
    "Policies.0.Weight": "1", "Policies.0.Rate": "4", "Policies.0.Reserve": "40",
    "Policies.1.Weight": "2", "Policies.1.Rate": "4", "Policies.1.Limit": "10", "Policies.1.CapDepth": "40",
    "Policies.2.Weight": "4", "Policies.2.Rate": "4",
}  # fmt: skip
START = 100 * SECOND
NODES = [NodeEntry(70, 0, 0, Health.READY, 0), NodeEntry(71, 0, 1, Health.READY, 0)]


class SchedulerHarness:
    """A scheduler with two ready nodes, and short methods to report events to it."""

    def __init__(self, **changes: str) -> None:
        values = {**VALUES, **{name.replace("__", "."): value for name, value in changes.items()}}
        self.scheduler = Scheduler(values, 7, START)
        self.scheduler.list_received(ListKind.CACHED, NODES, START)
        self.last_id = 0

    def submit(
        self, now=START, request_class=0, tenant=0, volume=1, key=0, units=2.0, shard=0, timeout=2 * SECOND
    ):
        self.last_id += 1
        self.scheduler.request_received(
            Request(self.last_id, request_class, tenant, volume, key, units, shard, 2, now + timeout), now
        )
        return self.last_id

    def end_attempt(self, attempt, now, ending=Ending.SERVED, took=30 * MS, used=-1.0):
        last = ending is Ending.SERVED
        self.scheduler.attempt_ended(
            AttemptEnd(attempt.request_id, attempt.number, attempt.node, ending, took, last, used, 0, {}), now
        )

    def decide_all(self, now=START):
        decisions = []
        while (decision := self.scheduler.decide(now)) is not None:
            decisions.append(decision)
        return decisions


@pytest.fixture
def harness():
    return SchedulerHarness()


@pytest.fixture
def make_harness():
    return SchedulerHarness


class RawConnection:
    """One end of a connection that can send any bytes, valid or not, and stores all received messages.

    `network` is real or virtual.
    """

    def __init__(self, network):
        self.network = network
        self.raw = b""
        self.parsed = 0
        self.received = []
        self.lost = False
        self.transport = None
        self.on_message = lambda connection, message, body: None

    def connect(self, port):
        connection = self

        class Factory(ClientFactory):
            noisy = False

            def buildProtocol(self, addr):
                return connection.build_protocol()

        self.network.connectTCP("127.0.0.1", port, Factory(), timeout=5)
        return self

    def build_protocol(self):
        connection = self

        class RecordingProtocol(Protocol):
            def connectionMade(self):
                connection.transport = self.transport

            def dataReceived(self, data):
                connection.raw += data
                connection.parse()

            def connectionLost(self, reason=None):
                connection.lost = True

        return RecordingProtocol()

    def parse(self):
        while b"\r\n" in self.raw[self.parsed :]:
            end = self.raw.index(b"\r\n", self.parsed)
            message = m.decode(self.raw[self.parsed : end])
            if len(self.raw) < end + 2 + message.body:
                return
            body = self.raw[end + 2 : end + 2 + message.body]
            self.parsed = end + 2 + message.body
            self.received.append((message, body))
            self.on_message(self, message, body)

    def messages_of(self, kind):
        return [message for message, _ in self.received if isinstance(message, kind)]

    def send(self, message, body=b""):
        self.transport.write(m.encode(message, body))


class ScriptedNode:
    """A storage node that a test scripts with `on_message`, called for each message; it sends its hello itself."""

    def __init__(self, network, on_message, hello=True):
        node = self
        self.connections = []

        class NodeFactory(ServerFactory):
            noisy = False

            def buildProtocol(self, addr):
                connection = RawConnection(network)
                connection.on_message = on_message
                node.connections.append(connection)
                protocol = connection.build_protocol()
                store_transport = protocol.connectionMade

                def connection_made():
                    store_transport()
                    if hello:
                        connection.send(m.Hello(version=m.PROTOCOL_VERSION, role="node"))

                protocol.connectionMade = connection_made
                return protocol

        self.port = network.listenTCP(0, NodeFactory(), interface="127.0.0.1").getHost().port


class GatewayHarness:
    """A gateway with a client port on a virtual network, and scripted nodes."""

    def __init__(self, *scripts, **changes):
        self.network = VirtualNetwork(5)
        names = {"Classes.0.Name": "read", "Classes.1.Name": "mark", "Classes.2.Name": "bind"}
        tenants = {
            "Policies.count": "3",
            "Policies.0.Name": "p0",
            "Policies.1.Name": "p1",
            "Policies.2.Name": "p2",
        }
        values = {**VALUES, **names, **tenants, "FamilyInfo.Writes": "false,true,true"}
        values.update({name.replace("__", "."): value for name, value in changes.items()})
        self.records = []
        dial = dialler(self.network)
        self.gateway = Gateway(values, 7, self.network, dial, "g0", travel=20 * MS, observers=[self])
        self.client_factory = ClientConnectionFactory(self.gateway, self.network, 8)
        self.port = self.network.listenTCP(0, self.client_factory).getHost().port
        self.nodes = [ScriptedNode(self.network, script) for script in scripts]
        entries = [NodeEntry(70 + i, 0, i, Health.READY, 0) for i in range(len(scripts))]
        addresses = {70 + i: ("127.0.0.1", node.port) for i, node in enumerate(self.nodes)}
        self.gateway.endpoint_list_received(ListKind.FULL, entries, addresses)

    def request_finished(self, gateway, record):
        self.records.append(record)

    def client(self):
        connection = RawConnection(self.network).connect(self.port)
        self.network.advance(0.01)
        connection.send(m.Hello(version=m.PROTOCOL_VERSION, role="client"))
        return connection

    def submit(self, connection, number=1, request_class="read", body=b"", tenant="p0", **more):
        fields = {"tenant": tenant, "volume": 1, "timeout_ms": 1000, "shard": 0, "size": len(body), **more}
        connection.send(m.SubmitRequest(id=number, request_class=request_class, **fields), body)

    def run(self, seconds=3.0):
        self.network.advance(seconds)


@pytest.fixture
def make_gateway_harness():
    return GatewayHarness


@pytest.fixture
def make_raw_connection():
    return RawConnection


@pytest.fixture
def make_scripted_node():
    return ScriptedNode
