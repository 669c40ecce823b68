"""The WebDAV door measured: against a bare HTTP relay and native framing, memory, fairness, listings, a bad evening.

    python -m benchmarks.door

Gateway, relay and nodes are processes of their own; clients run here. CPU is that of the measured process, so
neither clients nor nodes count. Kinds alternate in one run; figures are medians with the lowest and highest.
"""

from __future__ import annotations

import json
import statistics
import subprocess
import sys
import tempfile
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import msgspec
import psutil

from benchmarks.processes import connect, reactor, wait  # first: it installs the reactor

from ochrecourse.common.monotonic_reactor import raise_open_file_limit

from hdrh.histogram import HdrHistogram
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.protocol import ClientFactory

from ochrecourse.audit.judge import audit
from ochrecourse.lab.baselines import policy
from ochrecourse.lab.day import gateway_record
from ochrecourse.lab.days import bad_evening, quiet
from ochrecourse.lab.figures import figures_of
from ochrecourse.lab.people import door_record
from ochrecourse.lab.play import VirtualPlay
from ochrecourse.wire.http_client import HttpResponse, HttpClientProtocol
from ochrecourse.settings.writer import write
from ochrecourse.wire import messages as m

JOBS = 2400  # a run
RUNS = 5
OUT = 8  # connections, one request on each
SMALL = 512  # bytes
DOWNLOADS = 10
LARGE = 64 << 20  # bytes of what is downloaded
MEMBERS = 20_000
IDLE = 19_000  # connections; a process may have 20,000 open files here


class Yard:
    """Nodes that need next to no time, and what stands before them."""

    def __init__(self) -> None:
        self.folder = Path(tempfile.mkdtemp())
        self.started: list[subprocess.Popen[bytes]] = []
        day = quiet()
        products = [
            msgspec.structs.replace(
                each, unit_ms=0.01, cv=0.0, promised_ms=60_000, timeout_ms=120_000, unit_bytes=SMALL
            )
            for each in day.products
        ]
        plans = [msgspec.structs.replace(each, limit=0.0) for each in day.plans]
        kinds = tuple(
            msgspec.structs.replace(each, cores=8, slots=64, queue=1000, defer=0.0) for each in day.kinds
        )
        self.day = msgspec.structs.replace(
            day, gateways=1, nodes=1, products=products, plans=plans, kinds=kinds
        )
        (self.folder / "day.json").write_bytes(msgspec.json.encode(self.day))
        lines = self.start("-m", "ochrecourse", "nodes", str(self.folder / "day.json"), lines=1)
        self.list = lines[0].split()[-1]

    def start(self, *words: str, lines: int) -> list[str]:
        process = subprocess.Popen(
            [sys.executable, *words], stdout=subprocess.PIPE, stderr=subprocess.DEVNULL
        )
        self.started.append(process)
        assert process.stdout is not None
        return [process.stdout.readline().decode().strip() for _ in range(lines)]

    def gateway(self) -> tuple[psutil.Process, int, int]:
        """Its process, native port and door."""
        record = gateway_record(self.day, 0, "127.0.0.1:0", self.list, "")
        door = {**door_record(self.day, 0), "limits": {"rate": 1e9, "burst": 1e9, "idle": 600_000.0}}
        record["webdav"] = door
        record["log"] = {"level": "warning"}
        path = self.folder / "g0.cue"
        path.write_text(write(record))
        lines = self.start("-m", "ochrecourse", "serve", str(path), lines=2)
        ports = [int(line.rpartition(":")[2]) for line in lines]
        return psutil.Process(self.started[-1].pid), ports[0], ports[1]

    def relay(self) -> tuple[psutil.Process, int]:
        port = self.node_port()
        lines = self.start("-m", "benchmarks.http_relay", str(port), lines=1)
        return psutil.Process(self.started[-1].pid), int(lines[0].rpartition(":")[2])

    def node_port(self) -> int:
        """The one node's port: of the nodes' process, the listening one that is not the list's."""
        of_list = int(self.list.rpartition(":")[2])
        ports = [
            each.laddr.port
            for each in psutil.Process(self.started[0].pid).net_connections()
            if each.status == "LISTEN"
        ]
        return next(port for port in ports if port != of_list)

    def end(self) -> None:
        for process in self.started:
            process.kill()
            process.wait()


def talk(port: int) -> Deferred[HttpClientProtocol]:
    done: Deferred[HttpClientProtocol] = Deferred()
    factory = ClientFactory()
    factory.noisy = False
    factory.buildProtocol = lambda address: HttpClientProtocol(done.callback, lambda talk: None)  # type: ignore[method-assign, assignment]
    reactor.connectTCP("127.0.0.1", port, factory)
    return done


def ask(
    line: HttpClientProtocol, method: str, path: str, body: bytes = b"", **headers: str
) -> Deferred[HttpResponse]:
    done: Deferred[HttpResponse] = Deferred()
    line.request(method, path, headers, body, done.callback)  # type: ignore[arg-type]
    return done


def cpu(process: psutil.Process) -> float:
    spent = process.cpu_times()
    return float(spent.user + spent.system)


@inlineCallbacks
def http_run(process: psutil.Process, port: int, method: str) -> Any:
    """CPU us a request of the process, requests a second, and median latency in ms."""
    lines = []
    for _ in range(OUT):
        lines.append((yield talk(port)))
    told = HdrHistogram(1, 60_000_000, 3)
    body = bytes(SMALL) if method == "PUT" else b""
    bad = [0]

    @inlineCallbacks
    def one(line: HttpClientProtocol, number: int) -> Any:
        for _ in range(JOBS // OUT):
            began = reactor.seconds()
            answer = yield ask(line, method, f"/v1/{method}-{number}", body)
            bad[0] += answer.status not in (200, 201, 204)
            told.record_value(max(1, round((reactor.seconds() - began) * 1e6)))

    for number, line in enumerate(lines):
        yield ask(line, "PUT", f"/v1/{method}-{number}", bytes(SMALL))
    spent, began = cpu(process), reactor.seconds()
    running = [one(line, number) for number, line in enumerate(lines)]
    yield from running
    took, spent = reactor.seconds() - began, cpu(process) - spent
    for line in lines:
        line.transport.loseConnection()
    assert not bad[0], f"{bad[0]} requests were not served"
    return (
        spent * 1e6 / JOBS,
        JOBS / took,
        told.get_value_at_percentile(50) / 1000,
        told.get_value_at_percentile(99) / 1000,
    )


@inlineCallbacks
def native_run(process: psutil.Process, port: int, write: bool) -> Any:
    done: Deferred[None] = Deferred()
    state = {"sent": 0, "answered": 0, "bad": 0}
    body = bytes(SMALL) if write else b""
    product = "note-save" if write else "page-read"
    told = HdrHistogram(1, 60_000_000, 3)
    due: dict[int, float] = {}

    def send() -> None:
        state["sent"] += 1
        due[state["sent"]] = reactor.seconds()
        client.say(
            m.SubmitRequest(
                id=state["sent"],
                request_class=product,
                tenant="open",
                volume=1,
                timeout_ms=60_000,
                key=5 * write * state["sent"],
                shard=0,
                size=len(body),
            ),
            body,
        )

    def answered(message: Any) -> None:
        state["answered"] += 1
        state["bad"] += not isinstance(message, m.RequestServed)
        told.record_value(max(1, round((reactor.seconds() - due.pop(message.id)) * 1e6)))
        if state["sent"] < JOBS:
            send()
        elif state["answered"] == JOBS:
            done.callback(None)

    client = yield connect(port, answered)
    spent, began = cpu(process), reactor.seconds()
    for _ in range(OUT):
        send()
    yield done
    took, spent = reactor.seconds() - began, cpu(process) - spent
    client.transport.loseConnection()
    assert not state["bad"], f"{state['bad']} jobs were not served"
    return (
        spent * 1e6 / JOBS,
        JOBS / took,
        told.get_value_at_percentile(50) / 1000,
        told.get_value_at_percentile(99) / 1000,
    )


def spread(values: list[float], form: str = ".0f") -> str:
    return f"{statistics.median(values):{form}} ({min(values):{form}} to {max(values):{form}})"


@inlineCallbacks
def costs(yard: Yard, gateway: Any, relay: Any) -> Any:
    got: dict[str, list[Any]] = {}
    process, native, door = gateway
    for _ in range(RUNS):
        for name, run in (
            ("GET, HTTP relay", lambda: http_run(*relay, "GET")), ("GET, WebDAV door", lambda: http_run(process, door, "GET")),
            ("read, native framing", lambda: native_run(process, native, False)), ("PUT, HTTP relay", lambda: http_run(*relay, "PUT")),
            ("PUT, WebDAV door", lambda: http_run(process, door, "PUT")), ("write, native framing", lambda: native_run(process, native, True)),
        ):  # fmt: skip
            got.setdefault(name, []).append((yield run()))
    for name, runs in got.items():
        print(
            f"{name:22} CPU us a job {spread([each[0] for each in runs])}, {spread([each[1] for each in runs])} a second, p50 {spread([each[2] for each in runs], '.2f')} ms",
            flush=True,
        )
    for web, other in (
        ("GET, WebDAV door", "read, native framing"),
        ("PUT, WebDAV door", "write, native framing"),
        ("GET, WebDAV door", "GET, HTTP relay"),
        ("PUT, WebDAV door", "PUT, HTTP relay"),
    ):
        ratios = [a[0] / b[0] for a, b in zip(got[web], got[other], strict=True)]
        print(f"CPU, {web} over {other}: {spread(ratios, '.2f')}", flush=True)
    before = process.memory_info().rss
    for _ in range(4):
        yield http_run(process, door, "GET")
    print(
        f"resident size after {4 * JOBS} more requests: {(process.memory_info().rss - before) / 1024:+.0f} KiB",
        flush=True,
    )


@inlineCallbacks
def fairness(gateway: Any) -> Any:
    """p99 of small requests alone and beside large downloads, alternated."""
    process, _, door = gateway
    line = yield talk(door)
    yield ask(line, "PUT", "/v1/large", bytes(LARGE))
    alone, beside = [], []
    for _ in range(RUNS):
        alone.append((yield http_run(process, door, "GET")))
        stop, moved, lines = [False], [0], []

        def so_far(moved: list[int] = moved, lines: list[HttpClientProtocol] = lines) -> int:
            return moved[0] + sum(each.response.size for each in lines if each.response is not None)

        @inlineCallbacks
        def download(
            stop: list[bool] = stop, moved: list[int] = moved, lines: list[HttpClientProtocol] = lines
        ) -> Any:
            mine = yield talk(door)
            lines.append(mine)
            while not stop[0]:
                answer = yield ask(mine, "GET", "/v1/large")
                moved[0] += answer.size
            mine.transport.loseConnection()

        running = [download() for _ in range(DOWNLOADS)]
        yield wait(0.5)
        began, before = reactor.seconds(), so_far()
        got = yield http_run(process, door, "GET")
        beside.append((*got, so_far() - before, reactor.seconds() - began))
        stop[0] = True
        yield from running
    print(
        f"small GETs alone: p50 {spread([each[2] for each in alone], '.2f')}, p99 {spread([each[3] for each in alone], '.2f')} ms"
    )
    rate = statistics.median(each[4] / max(each[5], 1e-9) / 1e6 for each in beside)
    print(
        f"beside {DOWNLOADS} downloads of {LARGE >> 20} MiB ({rate:.0f} MB/s): p50 {spread([each[2] for each in beside], '.2f')}, p99 {spread([each[3] for each in beside], '.2f')} ms"
    )
    ratios = [b[3] / a[3] for a, b in zip(alone, beside, strict=True)]
    print(f"p99 beside over alone: {spread(ratios, '.2f')}", flush=True)
    line.transport.loseConnection()


@inlineCallbacks
def sizes(gateway: Any) -> Any:
    process, _, door = gateway
    line = yield talk(door)
    yield ask(line, "MKCOL", "/v1/many")
    for number in range(MEMBERS):
        yield ask(line, "MKCOL", f"/v1/many/{number:06}")
    before, began = process.memory_info().rss, reactor.seconds()
    answer = yield ask(line, "PROPFIND", "/v1/many", Depth="1")
    took = reactor.seconds() - began
    print(
        f"PROPFIND of {MEMBERS} members: {MEMBERS / took:.0f} a second, {answer.size / 1e6:.1f} MB, resident {(process.memory_info().rss - before) / 1024:+.0f} KiB",
        flush=True,
    )
    line.transport.loseConnection()


@inlineCallbacks
def connections(yard: Yard) -> Any:
    """Resident size of a fresh gateway's process with many connections open, less that without."""
    process, _, door = yard.gateway()
    first = yield talk(door)
    yield ask(first, "OPTIONS", "/")
    before = process.memory_info().rss
    lines = []
    for _ in range(IDLE):
        lines.append((yield talk(door)))
    for each in lines:
        assert (yield ask(each, "OPTIONS", "/")).status == 200
    print(
        f"{IDLE} open connections, each after a request: {(process.memory_info().rss - before) / IDLE / 1024:.1f} KiB each",
        flush=True,
    )
    for each in lines:
        each.transport.loseConnection()
    yield wait(2.0)


@inlineCallbacks
def giant(yard: Yard) -> Any:
    """Peak resident size of a gateway that takes a body of 1 GiB."""
    process, _, door = yard.gateway()
    line = yield talk(door)
    yield ask(line, "MKCOL", "/v1")
    yield ask(line, "PUT", "/v1/x", bytes(SMALL))

    def peak() -> int:
        status = Path(f"/proc/{process.pid}/status").read_text()
        return int(next(row for row in status.splitlines() if row.startswith("VmHWM")).split()[1])

    before, began = peak(), reactor.seconds()
    done: Deferred[HttpResponse] = Deferred()
    size, piece = 1 << 30, bytes(1 << 20)
    line.method, line.on_response = "PUT", done.callback  # type: ignore[assignment]
    line.transport.write(f"PUT /v1/giant HTTP/1.1\r\nHost: h\r\nContent-Length: {size}\r\n\r\n".encode())
    for _ in range(size // len(piece)):
        line.transport.write(piece)
        yield wait(0)
        while len(line.transport._tempDataBuffer) > 8 or line.transport._tempDataLen > 4 << 20:
            yield wait(0.001)
    answer = yield done
    print(
        f"PUT of 1 GiB: status {answer.status} after {reactor.seconds() - began:.1f} s; peak resident size {before >> 10} MiB before, {peak() >> 10} MiB after",
        flush=True,
    )
    line.transport.loseConnection()


def one_evening(job: tuple[str, int]) -> tuple[str, float, list[int], int]:
    name, seed = job
    day = msgspec.structs.replace(bad_evening(seed), volumes_a_node=2.0)
    play = VirtualPlay(day, policy(name), people=400)
    played = play.run()
    verdict = audit(figures_of(day, webdav=True), played.records)
    broken = [number for number, each in enumerate(verdict.findings, 1) if each.breaches]
    assert play.people is not None
    return name, played.outcomes.payoff(), broken, len(play.people.faults)


def evenings() -> None:
    names = ("ours", "random", "round-robin", "least-out")
    with ProcessPoolExecutor(max_workers=6) as pool:
        runs = list(pool.map(one_evening, [(name, seed) for name in names for seed in range(1, 4)]))
    for name in names:
        mine = [run for run in runs if run[0] == name]
        broken = sorted({rule for run in mine for rule in run[2]})
        print(
            f"bad evening at the doors, {name:12} payoff {spread([run[1] for run in mine], '.3f')}, rules broken {broken or 'none'}, faults {sum(run[3] for run in mine)}",
            flush=True,
        )


@inlineCallbacks
def measure() -> Any:
    yard = Yard()
    try:
        gateway = yard.gateway()
        line = yield talk(gateway[2])
        yield ask(line, "MKCOL", "/v1")
        relay = yard.relay()
        yield wait(0.5)
        yield costs(yard, gateway, relay)
        yield fairness(gateway)
        yield sizes(gateway)
        yield connections(yard)
        yield giant(yard)
    finally:
        yard.end()
        reactor.stop()


def main() -> None:
    if "evening" not in sys.argv:
        raise_open_file_limit()
        failed: list[Any] = []
        reactor.callWhenRunning(lambda: measure().addErrback(failed.append))
        reactor.run()
        for each in failed:
            print(each.getTraceback())
    evenings()
    print(json.dumps({"jobs a run": JOBS, "runs": RUNS, "connections": OUT}))


if __name__ == "__main__":
    main()
