"""Soak test of `serve` with its journal, for one gateway and for a fleet. Gateways are terminated, killed, replaced and
restarted on slow disks, while writers append through the control sockets until the end of the run.

A seed determines the plan of a run. `python fleet_soak.py 7` repeats the run of seed 7; `python fleet_soak.py 1:50` runs a
series. A failed run keeps its files in a directory whose path is printed.
"""

import asyncio
import contextlib
import itertools
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from base64 import b64decode
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
from restart_soak import free_port
from soak_series import Report, run_series
from test_sockets import Running, ochrecourse

from ochrecourse.lab.day import gateway_record
from ochrecourse.lab.days import quiet
from ochrecourse.settings.writer import write

DISK_HOOK = Path(__file__).parent / "disk_hook"
RUN_S = 9.0
READY_S, READY_SHARE = 10.0, 0.9
MAX_RESPONSE_S = 0.5  # STANDING: an answer that is later than this is lost; a report waits for nothing else
CONVERGENCE_S = 40.0  # by which all logs are equal once the workload has ended
TAKE_OVER_S, END_S = 30.0, 20.0
SYNC_DELAYS_S = (0.0, 0.0, 0.05, 0.4, 1.2)  # added durations of a sync, one of which is drawn for each disk
ACTIONS = ("term", "terms", "kill", "early_term", "hups", "take_over")
CHANNEL = "soak"
SAMPLE_S, NEGLIGIBLE_S = 0.01, 0.005
MAX_LINE_BYTES = 1 << 26  # of one line on a control socket


@dataclass(frozen=True)
class Step:
    """An action on a gateway, `at_s` seconds after the start of the run."""

    at_s: float
    gateway: int
    action: str


@dataclass(frozen=True)
class Plan:
    """The plan of one run. `syncs_s`: added sync time by gateway; `writers`: by writer, its gateway and the number of lines
    that it sends at once."""

    seed: int
    gateways: int
    syncs_s: tuple
    writers: tuple
    steps: tuple


def draw_plan(seed):
    """Returns the plan of a seed."""
    rng = random.Random(f"{seed} fleet soak")
    gateways = rng.choice((1, 2, 3, 3, 4, 5, 6, 8))
    syncs_s = tuple(rng.choice(SYNC_DELAYS_S) for _ in range(gateways))
    writers = tuple(
        (rng.randrange(gateways), rng.choice((1, 1, 8))) for _ in range(rng.randint(2, 2 + gateways))
    )
    steps, at = [], 0.5
    while at < RUN_S - 1.5:
        steps.append(Step(round(at, 2), rng.randrange(gateways), rng.choice(ACTIONS)))
        at += rng.uniform(0.4, 1.8)
    return Plan(seed, gateways, syncs_s, writers, tuple(steps))


# --- gateways ---


@dataclass
class ProcessRecord:
    """One process of a gateway. Times in seconds of the monotonic clock."""

    process: subprocess.Popen
    started_at: float
    ready_at: float = 0.0
    stop_reason: str = ""  # the action that stops it; empty: none
    exit_code: int | None = None

    def send(self, number):
        """Sends a signal; a process that has already ended is left to the checker."""
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)


class Gateway:
    """One gateway and its successive processes."""

    def __init__(self, index, folder, list_address, ports, sync_s):
        self.name, self.folder, self.processes = f"g{index}", folder, []
        self.path, self.control = folder / f"g{index}.cue", folder / f"g{index}.sock"
        day = msgspec.structs.replace(quiet(), nodes=2, gateways=len(ports))
        record = gateway_record(day, index, "127.0.0.1:0", list_address, str(folder / "state"))
        record["gateway"]["control"] = str(self.control)
        peers = [
            {"name": f"g{other}", "address": f"127.0.0.1:{port}"}
            for other, port in enumerate(ports)
            if other != index
        ]
        record["fleet"] = {"name": "soak", "listen": f"127.0.0.1:{ports[index]}", "peers": peers}
        self.text = write(record) + 'log: form: "json"\n'
        self.path.write_text(self.text)
        self.environment = {
            **os.environ,
            "SYNC_SECONDS": str(sync_s), "SLOW_FROM": str(folder / "slow"),
            "PYTHONPATH": os.pathsep.join(filter(None, (str(DISK_HOOK), os.environ.get("PYTHONPATH")))),
        }  # fmt: skip
        self.lock = asyncio.Lock()

    @property
    def current(self):
        """Returns the newest process."""
        return self.processes[-1]

    async def start(self, *words):
        """Starts a process and waits until it listens or has ended."""
        with open(self.folder / f"{self.name}.log", "ab") as log:
            process = await asyncio.create_subprocess_exec(
                *ochrecourse("serve", self.path, *words),
                stdout=subprocess.PIPE,
                stderr=log,
                env=self.environment,
            )
        run = ProcessRecord(process, time.monotonic())
        self.processes.append(run)
        asyncio.get_running_loop().create_task(self._watch(run))
        line = await process.stdout.readline()
        if line.startswith(b"listening"):
            run.ready_at = time.monotonic()
        return run

    async def _watch(self, run):
        run.exit_code = await run.process.wait()

    async def act(self, action):
        """Carries out one action of the plan; actions on one gateway run one after the other."""
        async with self.lock:
            run = self.current
            if action == "hups":
                for text in ("{", self.text[: len(self.text) // 2], self.text, self.text):
                    self.path.write_text(text)
                    run.send(signal.SIGHUP)
                    await asyncio.sleep(0.05)
            elif action == "take_over":
                run.stop_reason = "take_over"
                await asyncio.wait_for(self.start("--take-over"), TAKE_OVER_S)
                await asyncio.wait_for(run.process.wait(), END_S)
            elif action in ("kill", "early_term"):
                run.stop_reason = "kill"
                run.send(signal.SIGKILL)
                starting = asyncio.create_task(self.start())
                if action == "early_term":
                    await asyncio.sleep(0.15)
                    self.current.stop_reason = "early_term"
                    self.current.send(signal.SIGTERM)
                    await asyncio.wait_for(self.current.process.wait(), END_S)
                    await starting
                    starting = asyncio.create_task(self.start())
                await starting
            else:
                run.stop_reason = "term"
                for _ in range(2 if action == "terms" else 1):
                    run.send(signal.SIGTERM)
                await asyncio.wait_for(run.process.wait(), END_S)
                await self.start()


# --- writers ---


@dataclass
class Evidence:
    """The observations of a run. `answers`: the control socket's answer by value, None where the connection was lost;
    `response_times`: of reports, as duration in seconds, time of the answer and gateway; `stalls`: start and end of stalls of
    this process's event loop; `dumps` and `reachable_counts`: of each gateway after the workload."""

    answers: dict = field(default_factory=dict)
    response_times: list = field(default_factory=list)
    stalls: list = field(default_factory=list)
    dumps: list = field(default_factory=list)
    reachable_counts: list = field(default_factory=list)
    processes: list = field(default_factory=list)
    logs: list = field(default_factory=list)


class Workload:
    """The clients of the gateways, on this process's event loop."""

    def __init__(self, plan, gateways):
        self.plan, self.gateways, self.evidence = plan, gateways, Evidence()
        self.numbers = itertools.count()
        self.ends_at = time.monotonic() + RUN_S

    async def request(self, gateway, *requests):
        """Sends requests over one connection; returns the answers, fewer if the connection was lost."""
        answers = []
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_unix_connection(gateway.control, limit=MAX_LINE_BYTES)
            try:
                for line in requests:
                    writer.write(json.dumps(line).encode() + b"\n")
                while len(answers) < len(requests):
                    answers.append(json.loads(await reader.readuntil(b"\n")))
            finally:
                writer.close()
        return answers

    async def append_values(self, index, batch_size):
        """Appends values until the end of the run."""
        while time.monotonic() < self.ends_at:
            values = [f"v{next(self.numbers)}" for _ in range(batch_size)]
            requests = [{"do": "append", "channel": CHANNEL, "value": value} for value in values]
            self.evidence.answers.update(dict.fromkeys(values))
            answers = await self.request(self.gateways[index], *requests)
            self.evidence.answers.update(zip(values, answers, strict=False))
            await asyncio.sleep(0.02 if answers else 0.1)

    async def poll_reports(self, gateway):
        """Requests reports, which may not wait for a disk, and records the response times."""
        while time.monotonic() < self.ends_at:
            began = time.monotonic()
            if await self.request(gateway, {"do": "form"}):
                self.evidence.response_times.append(
                    (time.monotonic() - began, time.monotonic(), gateway.name)
                )
            await asyncio.sleep(0.05)

    async def watch_loop(self):
        """Records stalls of this process's event loop."""
        while True:
            due = time.monotonic() + SAMPLE_S
            await asyncio.sleep(SAMPLE_S)
            if time.monotonic() - due > NEGLIGIBLE_S:
                self.evidence.stalls.append((due, time.monotonic()))

    async def run_steps(self):
        """Carries out the steps of the plan."""
        began, tasks = time.monotonic(), []
        for step in self.plan.steps:
            await asyncio.sleep(max(0.0, began + step.at_s - time.monotonic()))
            tasks.append(asyncio.create_task(self.gateways[step.gateway].act(step.action)))
        await asyncio.gather(*tasks)

    async def wait_for_convergence(self):
        """Returns dumps of the logs and counts of reachable members once they agree, or as they are after CONVERGENCE_S."""
        until = time.monotonic() + CONVERGENCE_S
        while True:
            answers = [await self.request(each, {"do": "dump", "channel": CHANNEL}) for each in self.gateways]
            dumps = [each[0].get("dump", "") if each else "" for each in answers]
            reachable = await self.reachable_member_counts()
            has_converged = dumps[0] and len(set(dumps)) == 1 and set(reachable) == {len(self.gateways)}
            if has_converged or time.monotonic() > until:
                return dumps, reachable
            await asyncio.sleep(0.25)

    async def reachable_member_counts(self):
        answers = [await self.request(each, {"do": "fleet"}) for each in self.gateways]
        return [sum(member["reached"] for member in each[0]["members"]) if each else 0 for each in answers]


async def _run_plan(plan, folder, list_address):
    ports = [free_port() for _ in range(plan.gateways)]
    gateways = [Gateway(i, folder, list_address, ports, plan.syncs_s[i]) for i in range(plan.gateways)]
    try:
        await asyncio.gather(*(each.start() for each in gateways))
        (folder / "slow").touch()
        workload = Workload(plan, gateways)
        watch = asyncio.create_task(workload.watch_loop())
        await asyncio.gather(
            workload.run_steps(),
            *(workload.append_values(*writer) for writer in plan.writers),
            *(workload.poll_reports(gateway) for gateway in gateways),
        )
        watch.cancel()
        (folder / "slow").unlink()
        evidence = workload.evidence
        evidence.dumps, evidence.reachable_counts = await workload.wait_for_convergence()
        for each in gateways:
            each.current.stop_reason = "term"
            each.current.send(signal.SIGTERM)
        await asyncio.gather(*(asyncio.wait_for(each.current.process.wait(), END_S) for each in gateways))
        await asyncio.sleep(0)
        evidence.processes = [each.processes for each in gateways]
        evidence.logs = [
            (folder / f"{each.name}.log").read_text(errors="replace").splitlines() for each in gateways
        ]
        return evidence
    finally:
        for run in (run for each in gateways for run in each.processes):
            if run.process.returncode is None:
                run.process.kill()
                await run.process.wait()


def run_plan(plan, folder):
    """Carries out a run in a directory; returns its evidence."""
    (folder / "state").mkdir()
    (folder / "day.json").write_bytes(msgspec.json.encode(msgspec.structs.replace(quiet(), nodes=2)))
    nodes = Running("nodes", folder / "day.json", "--wait", "--records", folder / "nodes.jsonl")
    try:
        return asyncio.run(_run_plan(plan, folder, nodes.address))
    finally:
        nodes.end(signal.SIGKILL)


# --- checks ---


def values_of(dump):
    """Returns the values in a channel's dump, in the order of the log."""
    _, entries = json.loads(dump) if dump not in ("", "[]") else (None, [])
    return [json.loads(b64decode(entry[6])) for entry in entries]


class RunChecker:
    """Checks the evidence of a run. Only recorded stalls of the requesting process are subtracted from response times."""

    def __init__(self, evidence):
        self.evidence, self.violations, self.counts = evidence, [], Counter()

    def check(self):
        """Returns the violations, as texts, and the counts."""
        self._check_logs()
        self._check_response_times()
        self._check_processes()
        return self.violations, self.counts

    def _check_logs(self):
        dumps = self.evidence.dumps
        if len(set(dumps)) != 1:
            self.violations.append(f"logs differ: {[len(values_of(dump)) for dump in dumps]} entries")
        occurrences = Counter(values_of(max(dumps, key=len)))
        for value, answer in self.evidence.answers.items():
            outcome = "broke off" if answer is None else "refused" if "error" in answer else "done"
            self.counts[f"append {outcome}"] += 1
            if outcome == "done" and not occurrences[value]:
                self.violations.append(f"{value} was answered and is lost: {answer}")
            if outcome == "refused" and occurrences[value]:
                self.violations.append(f"{value} was refused and is there: {answer}")
            if occurrences[value] > 1:
                self.violations.append(f"{value} is there {occurrences[value]} times")
        if set(self.evidence.reachable_counts) != {len(dumps)}:
            self.violations.append(f"of {len(dumps)} members are reached {self.evidence.reachable_counts}")

    def _check_response_times(self):
        self.counts["reports"] = len(self.evidence.response_times)
        for duration, at, name in self.evidence.response_times:
            own_stall_s = sum(
                end - start
                for start, end in self.evidence.stalls
                if at - duration - SAMPLE_S <= end <= at + SAMPLE_S
            )
            if duration > MAX_RESPONSE_S and duration - own_stall_s <= MAX_RESPONSE_S:
                self.counts["waits that were the asking process's own"] += 1
            elif duration > MAX_RESPONSE_S:
                self.violations.append(f"{name} answered after {duration:.2f} s what waits for nothing")

    def _check_processes(self):
        ready = []
        for index, processes in enumerate(self.evidence.processes):
            for run in processes:
                self.counts["starts"] += 1
                self.counts[f"ended by {run.stop_reason or 'nobody'}"] += 1
                allowed_codes = (
                    (0,)
                    if run.stop_reason in ("term", "take_over")
                    else (-signal.SIGKILL,)
                    if run.stop_reason == "kill"
                    else None
                )
                if run.stop_reason == "early_term":
                    # The signal may arrive before the program's first statement.
                    allowed_codes = (0, -signal.SIGTERM)
                if allowed_codes is None or run.exit_code not in allowed_codes:
                    self.violations.append(
                        f"g{index} ended with code {run.exit_code} where it was asked to: {run.stop_reason!r}"
                    )
                if run.stop_reason != "early_term":
                    ready.append(bool(run.ready_at) and run.ready_at - run.started_at <= READY_S)
        if sum(ready) < READY_SHARE * len(ready):
            self.violations.append(f"{sum(ready)} of {len(ready)} starts were ready within {READY_S:g} s")
        for index, lines in enumerate(self.evidence.logs):
            for line in lines:
                if "Traceback" in line or "Unhandled" in line:
                    self.violations.append(f"g{index} logged {line[:300]}")


def soak(seed):
    """Carries out and checks the run of a seed."""
    plan, folder = draw_plan(seed), Path(tempfile.mkdtemp(prefix=f"fleet-soak-{seed}-"))
    evidence = run_plan(plan, folder)
    violations, counts = RunChecker(evidence).check()
    counts["SIGHUP"] = 4 * sum(step.action == "hups" for step in plan.steps)
    if not violations:
        shutil.rmtree(folder)
        return Report(seed, violations, counts, None)
    left = {
        "answers": evidence.answers,
        "dumps": evidence.dumps,
        "stalls": evidence.stalls,
        "waits": evidence.response_times,
    }
    (folder / "evidence.json").write_text(
        json.dumps({"plan": repr(plan), "breaches": violations, **left}, indent=1)
    )
    return Report(seed, violations, counts, folder)


if __name__ == "__main__":
    sys.exit(run_series(soak, __file__))
