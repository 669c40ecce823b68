"""A gateway's process from outside: added latency, memory of connections and held jobs, a storm of dials.

Latency: an open loop at a third and two thirds of what the gateway can do, through the gateway and straight
to a relay of the same framing, alternated; from the time at which each job was due to leave. Memory: resident
size of the process with `COUNT` idle connections and with as many held jobs, less that without them. Storm:
connections that a gateway opens at once after all its nodes restarted, by the bound on dials.
"""

from __future__ import annotations

import random
import resource
import statistics
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

import psutil

from ochrecourse.common.monotonic_reactor import raise_open_file_limit, install_monotonic_reactor

reactor = install_monotonic_reactor()

from hdrh.histogram import HdrHistogram  # noqa: E402
from twisted.internet.defer import Deferred, inlineCallbacks  # noqa: E402
from twisted.internet.protocol import ClientFactory, Factory  # noqa: E402

from ochrecourse.standins.bgp_peer import StandInPeer  # noqa: E402
from ochrecourse.standins.list_server import ListServer  # noqa: E402
from ochrecourse.wire import messages as m  # noqa: E402
from ochrecourse.wire.framed_protocol import FramedProtocol  # noqa: E402
from ochrecourse.wire.state import Role, client_connection_state, node_connection_state  # noqa: E402

COUNT = 10_000
NODES = 4
SECONDS = 4.0
SETTINGS = """
gateway: {{name: "bench", listen: "127.0.0.1:0", travel: 10ms}}
list: address: "{list}"
products: [{{name: "read", promised: 10s, client_timeout: 60s}}]
plans: [{{name: "plan", rate: 100000/s, reserve: 100000/s}}]
log: {{level: "warning"}}
clients: open_jobs: 20000
connections: dials: {dials}
"""


SPEAKER = """
bgp: {{
	identifier: "10.0.0.5"
	peers: [{{name: "p", address: "127.0.0.1:{port}", local_as: 64512, remote_as: 64600, hold_time: 3s}}]
	addresses: [{{network: "192.0.2.10/32", next_hop: "192.0.2.1"}}]
}}
"""


class Node(FramedProtocol):
    """Answers at once, or never (`mute`)."""

    mute = False

    def __init__(self) -> None:
        super().__init__(reactor, Role.RESPONDER, node_connection_state())

    def connection_ready(self) -> None:
        self.send_message(m.Hello(version=m.PROTOCOL_VERSION, role="node"))

    def message_received(self, message: Any, body: bytes, after: Any) -> None:
        if isinstance(message, m.SendAttempt) and not Node.mute:
            self.send_message(m.AttemptServed(id=message.id, shard=message.shard))
        elif isinstance(message, m.CancelAttempt):
            self.send_message(m.AttemptCancelled(id=message.id))


class Client(FramedProtocol):
    """One connection; `answered` is called with each answered id."""

    def __init__(self, answered: Any, ready: Any) -> None:
        super().__init__(reactor, Role.REQUESTER, client_connection_state())
        self.answered = answered
        self.when_ready = ready
        self.count = 0

    def connection_ready(self) -> None:
        self.send_message(m.Hello(version=m.PROTOCOL_VERSION, role="client"))

    def message_received(self, message: Any, body: bytes, after: Any) -> None:
        if isinstance(message, m.Hello):
            self.when_ready(self)
        elif isinstance(message, m.RequestServed | m.RequestRejected | m.RequestFailed):
            self.answered(message)

    def ask(self) -> int:
        self.count += 1
        self.send_message(
            m.SubmitRequest(
                id=self.count,
                request_class="read",
                tenant="plan",
                volume=self.count % 40,
                timeout_ms=60_000,
                key=0,
                shard=self.count % NODES,
            )
        )
        return self.count


def wait(seconds: float) -> Deferred[None]:
    done: Deferred[None] = Deferred()
    reactor.callLater(seconds, done.callback, None)
    return done


def connect(port: int, answered: Any = lambda message: None) -> Deferred[Client]:
    done: Deferred[Client] = Deferred()
    factory = ClientFactory()
    factory.noisy = False
    factory.buildProtocol = lambda address: Client(answered, done.callback)  # type: ignore[method-assign, assignment]
    reactor.connectTCP("127.0.0.1", port, factory)
    return done


class Yard:
    """Nodes and a list server in this process, a gateway in one of its own."""

    def __init__(self) -> None:
        self.folder = Path(tempfile.mkdtemp())
        factory = Factory()
        factory.noisy = False
        factory.buildProtocol = lambda address: Node()  # type: ignore[method-assign, assignment]
        self.factory = factory
        self.ports = [
            reactor.listenTCP(0, factory, backlog=1000, interface="127.0.0.1") for _ in range(NODES)
        ]
        self.list = ListServer(reactor, 1, 0.01, lambda record: None)
        for i, port in enumerate(self.ports):
            self.list.add_initial_entry(
                m.EndpointEntry(node=70 + i, address=f"127.0.0.1:{port.getHost().port}", shard=i), 0
            )
        self.list_port = reactor.listenTCP(0, self.list, interface="127.0.0.1").getHost().port

    def gateway(self, dials: int = 16, peer: int = 0) -> tuple[subprocess.Popen[bytes], int]:
        path = self.folder / f"bench{dials}.cue"
        text = SETTINGS.format(list=f"127.0.0.1:{self.list_port}", dials=dials)
        path.write_text(text + (SPEAKER.format(port=peer) if peer else ""))
        process = subprocess.Popen(
            [sys.executable, "-m", "ochrecourse", "serve", str(path)],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )
        assert process.stdout is not None
        return process, int(process.stdout.readline().rpartition(b":")[2])


@inlineCallbacks
def saturation(port: int) -> Any:
    """Jobs fulfilled a second with 32 outstanding on one connection."""
    count = [0]
    client: list[Any] = []

    def answered(message: Any) -> None:
        count[0] += isinstance(message, m.RequestServed)
        client[0].ask()

    client.append((yield connect(port, answered)))
    for _ in range(32):
        client[0].ask()
    yield wait(1.0)
    first = count[0]
    yield wait(2.0)
    rate = (count[0] - first) / 2.0
    client[0].transport.loseConnection()
    return rate


@inlineCallbacks
def latency(port: int, rate: float) -> Any:
    """Quantiles in ms of an open loop at a rate, by a schedule fixed before."""
    chance = random.Random(7)
    times, at = [], 0.0
    while at < SECONDS:
        at += chance.expovariate(rate)
        times.append(at)
    told = HdrHistogram(1, 60_000_000, 3)
    due: dict[int, float] = {}

    def answered(message: Any) -> None:
        told.record_value(max(1, round((reactor.seconds() - due.pop(message.id)) * 1e6)))

    client = yield connect(port, answered)
    began, sent = reactor.seconds(), 0
    while sent < len(times):
        while sent < len(times) and began + times[sent] <= reactor.seconds():
            due[client.ask()] = began + times[sent]
            sent += 1
        if sent < len(times):
            yield wait(max(0.0, began + times[sent] - reactor.seconds()))
    yield wait(0.5)
    client.transport.loseConnection()
    return [told.get_value_at_percentile(q) / 1000 for q in (50, 99, 99.9)]


@inlineCallbacks
def main() -> Any:
    raise_open_file_limit()
    yard = Yard()
    process, port = yard.gateway()
    from benchmarks.relay import start_relay

    relay_process, relay_port = start_relay([each.getHost().port for each in yard.ports])
    yield wait(0.5)
    most = yield saturation(port)
    relay_most = yield saturation(relay_port)
    print(f"saturation, one client in this process: {most:.0f} jobs/s; the relay {relay_most:.0f} jobs/s")
    peer = StandInPeer(reactor)
    speaking, speaking_port = yard.gateway(peer=peer.port)
    yield wait(4.0)
    assert peer.table, "the speaker's address is not announced"
    for part in (1 / 3, 2 / 3):
        runs: dict[str, list[list[float]]] = {"gateway": [], "relay": [], "speaker": []}
        for _ in range(3):
            for name, where in (("relay", relay_port), ("gateway", port), ("speaker", speaking_port)):
                runs[name].append((yield latency(where, most * part)))
        medians = {
            name: [statistics.median(each) for each in zip(*got, strict=True)] for name, got in runs.items()
        }
        shown = ", ".join(
            f"{q} {a - b:+.2f} ({a:.2f} against {b:.2f})"
            for q, a, b in zip(("p50", "p99", "p99.9"), medians["gateway"], medians["relay"], strict=True)
        )
        print(f"added latency in ms at {part:.2f} of saturation ({most * part:.0f} jobs/s): {shown}")
        told = ", ".join(
            f"{q} {a - b:+.2f}"
            for q, a, b in zip(("p50", "p99", "p99.9"), medians["speaker"], medians["gateway"], strict=True)
        )
        print(f"what a speaker adds to the gateway's latency in ms there: {told}")
    process.terminate()
    speaking.kill()
    relay_process.kill()
    process, port = yard.gateway()
    yield wait(0.5)
    outside = psutil.Process(process.pid)
    before = outside.memory_info().rss
    clients = []
    answers: list[Any] = []
    began = reactor.seconds()
    for _ in range(COUNT // 100):
        got = [connect(port, answers.append) for _ in range(100)]
        for each in got:
            clients.append((yield each))
    print(f"{COUNT} clients connected and greeted in {reactor.seconds() - began:.2f} s")
    yield wait(0.5)
    idle = outside.memory_info().rss
    print(f"memory: {(idle - before) / COUNT / 1024:.1f} KiB an idle client connection ({COUNT} of them)")
    Node.mute = True
    for client in clients:
        client.ask()
    yield wait(6.0)
    held = outside.memory_info().rss
    jobs = COUNT - len(answers)
    print(
        f"memory: {(held - idle) / jobs / 1024:.1f} KiB a job that is held, on a connection each ({jobs} of them)"
    )
    process.kill()
    Node.mute = False
    for client in clients:
        client.cut()
    yield wait(1.0)
    print(
        f"largest resident size of this process: {resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024:.0f} MiB"
    )
    reactor.stop()


if __name__ == "__main__":
    reactor.callWhenRunning(lambda: main().addErrback(lambda why: (print(why), reactor.stop())))
    reactor.run()
