"""A soak test of restarts on real sockets: gateways of the platform's program are terminated, killed and started
again while clients keep their connections until the kill.

A seed determines a whole run. `python restart_soak.py 7` repeats one, `python restart_soak.py 1:50` runs a series;
`python restart_soak.py 7 6000` runs it with a longest deadline of 6 s, which is due behind the kill, clients that send
without waiting, and a node that hangs through a shutdown.
"""

import contextlib
import json
import os
import queue
import random
import re
import shlex
import signal
import socket
import socketserver
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from bisect import bisect_left
from collections import Counter, defaultdict
from dataclasses import asdict, dataclass, field
from pathlib import Path

from soak_series import Report, run_series
from test_service import FLAT, listed

from ochrecourse.resp import codec
from ochrecourse.service.gateway_service import share_descriptors
from ochrecourse.standins.resp_node import success_reply

LONGEST_DEADLINE_MS = 900
DEADLINE_SHARES = (0.1, 1 / 3, 1)  # of the longest deadline, for the clients' time-outs
MAX_COUNTED_DEADLINE_MS = 3000  # of the longest deadline, as it counts for the kill
KILL_DELAY_S = 0.7  # from the longest deadline to the kill, the earliest that the platform's page allows
LATE_S = 0.5  # STANDING: a response later than this after its deadline is lost
ATTEMPT_GRACE_S = 0.1  # no attempt starts later than this after its client closed
READY_S = 10.0
READY_SHARE = 0.9
CROSSING_S = 0.05  # a request sent this shortly before the gateway's close may cross it, unread
RUN_S, LONG_RUN_S = 8.0, 13.0  # the latter with a longer deadline
HANG_BEFORE_TERM_S = 0.8
STREAMING_CLIENTS = 4  # that send without waiting, beside the drawn ones, with a longer deadline
HANG_S, LONG_HANG_S = 1.5, 6.0  # for which a node that hangs keeps a connection open
SETTLE_S = 1.0
CROWD = 150
FIXED_PORTS = (15_000, 30_000)
SOCKETS = 256
TIMEOUT_S = 60
# Idle connections to nodes may stay open; those of clients must not.
IDLE_DESCRIPTORS = share_descriptors(SOCKETS)[1]
MEMORY_GROWTH_MB = 24
KNOWN_LINES = re.compile(
    r"^[\d.]+ (n\d serves at|leaving;|left;|start file (read again|not taken over|given up)|told to end"
    r"|n\d waits up to|the list is|list |watch|discovery|ochrecourse relay: )"
)


@dataclass(frozen=True)
class Step:
    """An action on a gateway `at_s` after the start of the run: `hups`, `term`, `early_term` or `kill`."""

    at_s: float
    gateway: int
    action: str


@dataclass
class Plan:
    """The plan of a run."""

    seed: int
    gateways: int
    kinds: list
    crowd: int
    steps: list
    node_modes: list  # by node: (from, until, mode) in s
    longest_deadline_ms: int

    def kill_after_term_s(self):
        """The earliest time of the kill after SIGTERM."""
        return min(self.longest_deadline_ms, MAX_COUNTED_DEADLINE_MS) / 1000 + KILL_DELAY_S

    def run_s(self):
        return RUN_S if self.longest_deadline_ms == LONGEST_DEADLINE_MS else LONG_RUN_S

    def hang_s(self):
        return HANG_S if self.longest_deadline_ms == LONGEST_DEADLINE_MS else LONG_HANG_S

    def deadlines_ms(self):
        """The clients' time-outs."""
        return [round(self.longest_deadline_ms * share) for share in DEADLINE_SHARES]

    def settings(self):
        deadlines = {f"Classes.{index}.Deadline": str(self.longest_deadline_ms) for index in range(3)}
        return {**FLAT, **deadlines}


def draw(seed, longest_deadline_ms=LONGEST_DEADLINE_MS):
    """Returns the plan of a seed; one of three has a crowd of idle clients."""
    plan = Plan(seed, 0, [], CROWD if seed % 3 == 0 else 0, [], [], longest_deadline_ms)
    run_s = plan.run_s()
    random_source = random.Random(f"{seed} soak")
    plan.gateways = random_source.randint(1, 4)
    kinds = ["one", "pipeline", "rest", "slow", "leave"]
    plan.kinds = [random_source.choice(kinds) for _ in range(random_source.randint(6, 16))]
    if longest_deadline_ms > LONGEST_DEADLINE_MS:
        plan.kinds += ["stream"] * STREAMING_CLIENTS
        plan.crowd = 0  # a refusal for want of room would come before a stream's first whole request
    at = 0.8
    while at < run_s - plan.kill_after_term_s() - 1.5:
        action = random_source.choice(("hups", "term", "term", "kill", "early_term"))
        plan.steps.append(Step(round(at, 2), random_source.randrange(plan.gateways), action))
        at += random_source.uniform(0.2, 1.2)
    for _ in range(2):
        start = random_source.uniform(1, run_s - 2)
        plan.node_modes.append(
            (round(start, 2), round(start + random_source.uniform(0.3, 1.5), 2), random_source.choice(MODES))
        )
    if longest_deadline_ms > LONGEST_DEADLINE_MS:
        _hang_through_shutdown(plan)
    return plan


def _hang_through_shutdown(plan):
    """A node hangs shortly before the first SIGTERM and keeps what it has; the shutdown is not cut short."""
    terms = [step for step in plan.steps if step.action == "term"]
    term = terms[0] if terms else Step(plan.run_s() / 2, 0, "term")
    kill_at = term.at_s + plan.kill_after_term_s() + 1
    others = [
        step for step in plan.steps
        if step is not term and (step.gateway != term.gateway or not term.at_s - 1 < step.at_s < kill_at)
    ]  # fmt: skip
    plan.steps = sorted([*others, term], key=lambda step: step.at_s)
    plan.node_modes[0] = (term.at_s - HANG_BEFORE_TERM_S, term.at_s + HANG_BEFORE_TERM_S, "hang")


# --- storage nodes and discovery ---

MODES = ("hang", "reset", "reset_after_work", "slow")


class Node:
    """A storage node whose mode follows the plan; records when each command arrived and whether it was executed."""

    def __init__(self, mode, hang_s):
        self.mode, self.hang_s, self.arrivals, self.executions = mode, hang_s, [], Counter()
        node = self

        class Handler(socketserver.BaseRequestHandler):
            def handle(self):
                with contextlib.suppress(OSError):
                    node.serve(self.request)

        self.server = _server(Handler)
        self.port = self.server.server_address[1]

    def serve(self, connection):
        reader = codec.CommandParser()
        while data := connection.recv(65536):
            reader.feed(data)
            while (words := reader.next()) is not None:
                self.arrivals.append((time.monotonic_ns(), int(words[2], 16)))
                mode = self.mode()
                if mode == "reset":
                    return
                if mode == "hang":
                    time.sleep(self.hang_s)
                    return
                self.executions[int(words[2], 16)] += 1
                if mode == "reset_after_work":
                    return
                time.sleep(0.06 if mode == "slow" else 0.003)
                connection.sendall(success_reply(words))


class Agent:
    """Discovery: sends a list at once, then empty lines."""

    def __init__(self, known):
        self.over = threading.Event()
        line = json.dumps(known).encode() + b"\n"
        agent = self

        class Handler(socketserver.BaseRequestHandler):
            def handle(self):
                with contextlib.suppress(OSError):
                    self.request.recv(4096)
                    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    self.request.sendall(head + b"%x\r\n%b\r\n" % (len(line), line))
                    while not agent.over.wait(0.2):
                        self.request.sendall(b"1\r\n\n\r\n")

        self.server = _server(Handler)
        self.port = self.server.server_address[1]


def _server(handler):
    class Server(socketserver.ThreadingTCPServer):
        request_queue_size = 256
        daemon_threads, block_on_close, allow_reuse_address = True, False, True

    server = Server(("127.0.0.1", 0), handler)
    threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.05}, daemon=True).start()
    return server


def free_port():
    """A free port below the ephemeral range, so that the system assigns it to no other socket while no gateway
    listens on it."""
    random_source = random.Random()
    while True:
        number = random_source.randrange(*FIXED_PORTS)
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", number)):
            return number


# --- gateways ---


def run_command():
    """The platform's command that starts a gateway, with this interpreter."""
    deploy = tomllib.loads((Path(__file__).parent.parent / "deploy" / "balancer.toml").read_text())
    return deploy["run"].replace(".venv/bin/python", shlex.quote(sys.executable))


@dataclass
class Incarnation:
    """One incarnation (process) of a gateway. Times in ns, 0: never; `ready_s`: from its start until it served."""

    began: int
    term: int = 0
    killed: int = 0
    crashed: bool = False  # killed without warning, possibly sooner after SIGTERM than the platform does
    ended: int = 0
    code: int | None = None
    ready_s: float | None = None
    lines: list = field(default_factory=list)


class Gateway:
    """A gateway and its incarnations, each started as soon as its predecessor has ended or was killed."""

    def __init__(self, index, folder, plan, nodes, agent):
        self.index, self.port, self.incarnations = index, free_port(), []
        self.kill_after_term_s = plan.kill_after_term_s()
        self.path = folder / f"n{index}.json"
        self.start_file = {
            "name": f"n{index}", "listen": f"127.0.0.1:{self.port}", "discovery": f"127.0.0.1:{agent.port}",
            "seed": "0f", "limits": {"sockets": SOCKETS, "memory_mb": 128}, "settings": plan.settings(),
            "known": listed(*(node.port for node in nodes)),
        }  # fmt: skip
        self.process, self.incarnation, self.lock = None, None, threading.RLock()
        self.stopping = False
        self.start()

    def write(self, text=None):
        self.path.write_text(json.dumps(self.start_file) if text is None else text)

    def start(self):
        self.write()
        self.incarnation = incarnation = Incarnation(time.monotonic_ns())
        self.incarnations.append(incarnation)
        environment = {**os.environ, "RELAY_CONFIG": str(self.path)}
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run_command()], env=environment, stderr=subprocess.PIPE, text=True
        )
        threading.Thread(target=self._watch, args=(self.process, incarnation), daemon=True).start()

    def _watch(self, process, incarnation):
        for line in process.stderr:
            incarnation.lines.append(line.rstrip())
            if " serves at " in line:
                incarnation.ready_s = (time.monotonic_ns() - incarnation.began) / 1e9
        incarnation.code = process.wait()
        incarnation.ended = time.monotonic_ns()
        with self.lock:
            if incarnation is self.incarnation and not self.stopping:
                self.start()

    def signal(self, number):
        with self.lock, contextlib.suppress(ProcessLookupError):
            if number == signal.SIGTERM and not self.incarnation.term:
                self.incarnation.term = time.monotonic_ns()
            if number == signal.SIGKILL:
                self.incarnation.killed = time.monotonic_ns()
            self.process.send_signal(number)

    def kill(self):
        """Sends SIGKILL and starts the next process at once, when the predecessor may not be torn down yet."""
        with self.lock:
            self.signal(signal.SIGKILL)
            if not self.stopping:
                self.start()

    def crash(self):
        """Kills the process without warning."""
        with self.lock:
            self.incarnation.crashed = True
            self.kill()

    def kill_if_running(self, incarnation):
        with self.lock:
            if incarnation is self.incarnation and incarnation.code is None:
                self.kill()

    def act(self, action):
        """Executes an action of the plan; signals in a series follow each other at once."""
        if action == "kill":
            self.crash()
        elif action == "hups":
            # No process starts while its file is incomplete, which would be an error of the start.
            with self.lock:
                broken = (
                    ("{", json.dumps(self.start_file)[:200]) if self.incarnation.ready_s else (None, None)
                )
                for text in (*broken, None, None):
                    self.write(text)
                    self.signal(signal.SIGHUP)
                    time.sleep(0.05)
        elif action == "early_term":
            self.crash()
            time.sleep(0.15)
            self.terminate()
        else:
            self.signal(signal.SIGHUP)
            self.terminate()

    def terminate(self):
        with self.lock:
            incarnation = self.incarnation
            self.signal(signal.SIGTERM)
            self.signal(signal.SIGTERM)
        timer = threading.Timer(self.kill_after_term_s, self.kill_if_running, (incarnation,))
        timer.daemon = True
        timer.start()

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def memory_mb(self):
        pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6

    def stop(self):
        with self.lock:
            self.stopping = True
            self.signal(signal.SIGTERM)
        with contextlib.suppress(subprocess.TimeoutExpired):
            self.process.wait(timeout=self.kill_after_term_s)
        if self.process.poll() is None:
            self.signal(signal.SIGKILL)
        self.process.wait(timeout=TIMEOUT_S)


# --- one run ---


@dataclass
class Evidence:
    """The records of a run: events of clients, commands at nodes, and the incarnations of gateways."""

    events: list
    arrivals: list
    executions: Counter
    incarnations: list  # by gateway
    leaks: list = field(default_factory=list)  # descriptions of descriptors and memory that were not released


def execute(plan):
    """Executes a plan and returns the evidence."""
    with tempfile.TemporaryDirectory() as folder:
        began = time.monotonic()

        def mode_of(span):
            return lambda: span[2] if span[0] <= time.monotonic() - began < span[1] else "good"

        nodes = [Node(mode_of(span), plan.hang_s()) for span in plan.node_modes]
        agent = Agent(listed(*(node.port for node in nodes)))
        gateways = [Gateway(index, Path(folder), plan, nodes, agent) for index in range(plan.gateways)]
        try:
            return _execute_steps(plan, nodes, gateways)
        finally:
            for gateway in gateways:
                gateway.stop()
            agent.over.set()
            for each in (*nodes, agent):
                each.server.shutdown()
                each.server.server_close()


def _wait_until_ready(gateways):
    deadline = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline and not all(gateway.incarnation.ready_s for gateway in gateways):
        time.sleep(0.02)


def _execute_steps(plan, nodes, gateways):
    _wait_until_ready(gateways)
    at_rest = [(gateway.descriptors(), gateway.memory_mb()) for gateway in gateways]
    clients = subprocess.Popen(
        [sys.executable, str(Path(__file__).with_name("soak_clients.py"))],
        stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True,
    )  # fmt: skip
    ports = [gateway.port for gateway in gateways]
    config = {
        "seed": plan.seed, "ports": ports, "length_s": plan.run_s(), "kinds": plan.kinds, "crowd": plan.crowd,
        "deadlines_ms": plan.deadlines_ms(),
    }  # fmt: skip
    output_queue = queue.Queue()
    wait_s = TIMEOUT_S + plan.run_s()
    threading.Thread(
        target=lambda: output_queue.put(clients.communicate(json.dumps(config), timeout=wait_s)),
        daemon=True,
    ).start()
    began = time.monotonic()
    for step in plan.steps:
        time.sleep(max(0.0, began + step.at_s - time.monotonic()))
        gateways[step.gateway].act(step.action)
    output, _ = output_queue.get(timeout=2 * TIMEOUT_S)
    assert clients.returncode == 0, "the clients' process ended by itself"
    _wait_until_ready(gateways)
    time.sleep(SETTLE_S)
    leaks = []
    for gateway, (descriptors, memory_mb) in zip(gateways, at_rest, strict=True):
        opened = gateway.descriptors() - descriptors
        if opened > IDLE_DESCRIPTORS:
            leaks.append(f"n{gateway.index} has {opened} descriptors more with no client than at its start")
        grown_mb = gateway.memory_mb() - memory_mb
        if grown_mb > MEMORY_GROWTH_MB:
            leaks.append(f"n{gateway.index} has {grown_mb:.0f} MB more than at its start")
        gateway.stop()
    return Evidence(
        [json.loads(line) for line in output.splitlines()],
        sorted(each for node in nodes for each in node.arrivals),
        sum((node.executions for node in nodes), Counter()),
        [gateway.incarnations for gateway in gateways],
        leaks,
    )


# --- checks of the evidence ---


class EvidenceChecker:
    """Checks the evidence of a run strictly; only the recorded lateness of the clients' event loop is deducted."""

    def __init__(self, evidence):
        self.evidence = evidence
        self.breaches, self.counts = [], Counter()
        self.sent, self.answers, self.closed = {}, defaultdict(list), {}
        self.last_answer = {}  # time by connection, while answers are processed in order
        self.stalls = []
        for each in evidence.events:
            kind = each["event"]
            if kind == "sent":
                self.sent[each["id"]] = each
            elif kind == "answer":
                self.answers[each["id"]].append(each)
            elif kind == "closed":
                self.closed[each["connection"]] = each
            elif kind == "loop_late":
                self.stalls.append((each["t"] - each["late"], each["t"]))
            else:
                self.breach(f"bytes that nobody asked for on connection {each['connection']}")
        self.ends = [end for _, end in self.stalls]
        self.arrivals_by_request = defaultdict(list)
        for t, number in evidence.arrivals:
            self.arrivals_by_request[number].append(t)

    def breach(self, text):
        self.breaches.append(text)

    def lateness(self, t):
        """The lateness, in ns, of the clients' event loop at a time, by its own measurement."""
        index = bisect_left(self.ends, t - 10_000_000)
        starts = [start for start, _ in self.stalls[index : index + 2]]
        return t - min([t, *starts])

    def check(self):
        for number, sent in self.sent.items():
            self.counts["requests"] += 1
            answers = self.answers.get(number, [])
            if len(answers) > 1:
                self.breach(f"request {number} was answered {len(answers)} times")
            if answers:
                self._answered(number, sent, answers[0])
            else:
                self._unanswered(number, sent)
            if sent["effect"] == "unsafe" and self.evidence.executions[number] > 1:
                self.breach(f"unsafe request {number} ran {self.evidence.executions[number]} times")
            self._attempts(number, sent)
        self._processes()
        self.breaches += self.evidence.leaks
        return self.breaches, self.counts

    def _answered(self, number, sent, answer):
        self.counts[f"answered {answer['how']}"] += 1
        due = sent["t"] + sent["timeout_ms"] * 1_000_000
        before = self.last_answer.get(sent["connection"], 0)
        self.last_answer[sent["connection"]] = answer["t"]
        late = answer["t"] - max(due, before)  # without the time spent waiting for earlier responses
        if late > LATE_S * 1e9:
            if late - self.lateness(answer["t"]) <= LATE_S * 1e9:
                self.counts["answers whose lateness was the clients' own"] += 1
            else:
                self.breach(f"request {number} was answered {late / 1e6:.0f} ms after its time")

    def _unanswered(self, number, sent):
        closed = self.closed[sent["connection"]]
        if closed["by"] == "client":
            self.counts["left"] += 1
            return
        incarnation = self._incarnation_at(sent["gateway"], closed["t"])
        sent_at, closed_at = sent["t"], closed["t"] - self.lateness(closed["t"])
        crossed = closed_at - sent_at < CROSSING_S * 1e9
        if incarnation is not None and incarnation.killed and incarnation.killed <= closed["t"]:
            if incarnation.crashed or not incarnation.term or crossed:
                self.counts["ended by a kill"] += 1
                return
        elif not self.arrivals_by_request[number] and crossed:
            self.counts["crossed a close"] += 1
            return
        last_signal = (
            "no process"
            if incarnation is None
            else f"SIGTERM {(sent_at - incarnation.term) / 1e6:.0f} ms before"
            if incarnation.term
            else "no SIGTERM"
        )
        attempts = len(self.arrivals_by_request[number])
        self.breach(
            f"request {number} ({sent['effect']}, {sent['timeout_ms']} ms) at n{sent['gateway']} had no answer, "
            f"{(closed['t'] - sent_at) / 1e6:.0f} ms until the close; {last_signal}, {attempts} attempts"
        )

    def _incarnation_at(self, gateway, t):
        """The incarnation that a connection which ended at `t` belonged to: the last one that had begun to serve."""
        served = [
            incarnation for incarnation in self.evidence.incarnations[gateway]
            if incarnation.ready_s is not None and incarnation.began + incarnation.ready_s * 1e9 <= t
        ]  # fmt: skip
        return served[-1] if served else None

    def _attempts(self, number, sent):
        closed = self.closed[sent["connection"]]
        if closed["by"] != "client" or number in self.answers:
            return
        for t in self.arrivals_by_request[number]:
            if t > closed["t"] + ATTEMPT_GRACE_S * 1e9 + self.lateness(closed["t"]):
                self.breach(
                    f"an attempt of {number} began {(t - closed['t']) / 1e6:.0f} ms after its client left"
                )

    def _processes(self):
        ready = []
        for index, incarnations in enumerate(self.evidence.incarnations):
            for incarnation in incarnations:
                self.counts["starts"] += 1
                self.counts["SIGTERM"] += bool(incarnation.term)
                self.counts["SIGKILL"] += bool(incarnation.killed)
                if incarnation.term and incarnation.code == -signal.SIGTERM and not incarnation.lines:
                    self.counts["ended by SIGTERM before the program's first statement"] += 1
                elif (
                    incarnation.code is not None
                    and not incarnation.killed
                    and (incarnation.code != 0 or not incarnation.term)
                ):
                    self.breach(
                        f"n{index} ended by itself with code {incarnation.code}: {incarnation.lines[-3:]}"
                    )
                if not incarnation.term and not incarnation.killed:
                    ready.append(incarnation.ready_s is not None and incarnation.ready_s <= READY_S)
                for line in incarnation.lines:
                    if "Traceback" in line or "unexpected" in line:
                        self.breach(f"n{index} logged {line[:300]}")
                    elif not KNOWN_LINES.match(line):
                        self.breach(f"n{index} logged an unknown line: {line[:200]}")
        if ready and sum(ready) < READY_SHARE * len(ready):
            self.breach(f"{sum(ready)} of {len(ready)} starts were ready within {READY_S:g} s")


def soak(seed, longest_deadline_ms=LONGEST_DEADLINE_MS):
    """Executes the run of a seed and checks its evidence."""
    plan = draw(seed, longest_deadline_ms)
    evidence = execute(plan)
    breaches, counts = EvidenceChecker(evidence).check()
    counts["crowds"] = int(plan.crowd > 0)
    counts["SIGHUP"] = sum(4 if step.action == "hups" else step.action == "term" for step in plan.steps)
    return Report(seed, breaches, counts, save_evidence(plan, evidence, breaches) if breaches else None)


def save_evidence(plan, evidence, breaches):
    """Writes the evidence of a run into a new folder."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{plan.seed}-"))
    fields = {"plan": asdict(plan), "breaches": breaches, "came": evidence.arrivals, "grown": evidence.leaks}
    incarnations = [[asdict(incarnation) for incarnation in each] for each in evidence.incarnations]
    (folder / "evidence.json").write_text(
        json.dumps({**fields, "lives": incarnations, "events": evidence.events}, indent=1)
    )
    return folder


if __name__ == "__main__":
    sys.exit(run_series(lambda seed: soak(seed, *map(int, sys.argv[2:])), __file__))
