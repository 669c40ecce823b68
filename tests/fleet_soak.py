"""A soak of `serve` with its journal, alone and in a fleet: gateways are told to end, killed, replaced and started again
beside slow disks, while writers append through their control sockets until the end.

One seed draws a whole run. `python fleet_soak.py 7` plays it again; `python fleet_soak.py 1:50` a series. What a run
that broke left stays in a folder that is printed.
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
from test_sockets import Running, ochrecourse

from ochrecourse.lab.day import gateway_record
from ochrecourse.lab.days import quiet
from ochrecourse.settings.writer import write

HOOK = Path(__file__).parent / "disk_hook"
RUN_S = 9.0
READY_S, READY_SHARE = 10.0, 0.9
LATE_S = 0.5  # STANDING: an answer later than this after its time is lost; a report has no more to wait for
EQUAL_S = 40.0  # by which all logs are the same once all is quiet
TAKE_OVER_S, END_S = 30.0, 20.0
SYNCS_S = (0.0, 0.0, 0.05, 0.4, 1.2)  # what a disk's syncs may take longer
ACTIONS = ("term", "terms", "kill", "early_term", "hups", "take_over")
CHANNEL = "soak"
SAMPLE_S, NEGLIGIBLE_S = 0.01, 0.005
LIMIT = 1 << 26  # bytes of a control socket's line


@dataclass(frozen=True)
class Step:
    """What is done to a gateway `at_s` after the run began."""

    at_s: float
    gateway: int
    action: str


@dataclass(frozen=True)
class Plan:
    """One drawn run. `syncs_s`: by gateway; `writers`: by writer its gateway and how many lines it sends at once."""

    seed: int
    gateways: int
    syncs_s: tuple
    writers: tuple
    steps: tuple


def draw(seed):
    """The run of a seed."""
    chance = random.Random(f"{seed} fleet soak")
    gateways = chance.choice((1, 2, 3, 3, 4, 5, 6, 8))
    syncs_s = tuple(chance.choice(SYNCS_S) for _ in range(gateways))
    writers = tuple(
        (chance.randrange(gateways), chance.choice((1, 1, 8))) for _ in range(chance.randint(2, 2 + gateways))
    )
    steps, at = [], 0.5
    while at < RUN_S - 1.5:
        steps.append(Step(round(at, 2), chance.randrange(gateways), chance.choice(ACTIONS)))
        at += chance.uniform(0.4, 1.8)
    return Plan(seed, gateways, syncs_s, writers, tuple(steps))


# --- gateways ---


@dataclass
class Life:
    """One process. Times in s of the monotonic clock."""

    process: subprocess.Popen
    began: float
    ready: float = 0.0
    asked: str = ""  # why it may end
    code: int | None = None

    def send(self, number):
        """A process that has ended already is for the judge."""
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)


class Gateway:
    """One gateway over its lives."""

    def __init__(self, index, folder, list_address, ports, sync_s):
        self.name, self.folder, self.lives = f"g{index}", folder, []
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
            "PYTHONPATH": os.pathsep.join(filter(None, (str(HOOK), os.environ.get("PYTHONPATH")))),
        }  # fmt: skip
        self.lock = asyncio.Lock()

    @property
    def life(self):
        return self.lives[-1]

    async def start(self, *words):
        """Starts a process and waits until it serves or has ended."""
        with open(self.folder / f"{self.name}.log", "ab") as log:
            process = await asyncio.create_subprocess_exec(
                *ochrecourse("serve", self.path, *words),
                stdout=subprocess.PIPE,
                stderr=log,
                env=self.environment,
            )
        life = Life(process, time.monotonic())
        self.lives.append(life)
        asyncio.get_running_loop().create_task(self._watch(life))
        line = await process.stdout.readline()
        if line.startswith(b"listening"):
            life.ready = time.monotonic()
        return life

    async def _watch(self, life):
        life.code = await life.process.wait()

    async def act(self, action):
        """One step of the plan; the next one at this gateway comes after it."""
        async with self.lock:
            life = self.life
            if action == "hups":
                for text in ("{", self.text[: len(self.text) // 2], self.text, self.text):
                    self.path.write_text(text)
                    life.send(signal.SIGHUP)
                    await asyncio.sleep(0.05)
            elif action == "take_over":
                life.asked = "take_over"
                await asyncio.wait_for(self.start("--take-over"), TAKE_OVER_S)
                await asyncio.wait_for(life.process.wait(), END_S)
            elif action in ("kill", "early_term"):
                life.asked = "kill"
                life.send(signal.SIGKILL)
                starting = asyncio.create_task(self.start())
                if action == "early_term":
                    await asyncio.sleep(0.15)
                    self.life.asked = "early_term"
                    self.life.send(signal.SIGTERM)
                    await asyncio.wait_for(self.life.process.wait(), END_S)
                    await starting
                    starting = asyncio.create_task(self.start())
                await starting
            else:
                life.asked = "term"
                for _ in range(2 if action == "terms" else 1):
                    life.send(signal.SIGTERM)
                await asyncio.wait_for(life.process.wait(), END_S)
                await self.start()


# --- writers ---


@dataclass
class Evidence:
    """What a run left. `answers`: by value what the control socket answered, None where it broke off; `waits`: of
    reports, in s, each with when it was answered; `stalls`: of this process's own loop."""

    answers: dict = field(default_factory=dict)
    waits: list = field(default_factory=list)
    stalls: list = field(default_factory=list)
    dumps: list = field(default_factory=list)
    reached: list = field(default_factory=list)
    lives: list = field(default_factory=list)
    logs: list = field(default_factory=list)


class Players:
    """All that asks the gateways, on this process's loop."""

    def __init__(self, plan, gateways):
        self.plan, self.gateways, self.evidence = plan, gateways, Evidence()
        self.numbers = itertools.count()
        self.ends_at = time.monotonic() + RUN_S

    async def lines(self, gateway, *questions):
        """Asks over one connection; the answers, fewer where it broke off."""
        answers = []
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_unix_connection(gateway.control, limit=LIMIT)
            try:
                for question in questions:
                    writer.write(json.dumps(question).encode() + b"\n")
                while len(answers) < len(questions):
                    answers.append(json.loads(await reader.readuntil(b"\n")))
            finally:
                writer.close()
        return answers

    async def write(self, index, at_once):
        """Appends until the end."""
        while time.monotonic() < self.ends_at:
            values = [f"v{next(self.numbers)}" for _ in range(at_once)]
            questions = [{"do": "append", "channel": CHANNEL, "value": value} for value in values]
            self.evidence.answers.update(dict.fromkeys(values))
            answers = await self.lines(self.gateways[index], *questions)
            self.evidence.answers.update(zip(values, answers, strict=False))
            await asyncio.sleep(0.02 if answers else 0.1)

    async def look(self, gateway):
        """Asks for reports, which no disk may hold up."""
        while time.monotonic() < self.ends_at:
            began = time.monotonic()
            if await self.lines(gateway, {"do": "form"}):
                self.evidence.waits.append((time.monotonic() - began, time.monotonic(), gateway.name))
            await asyncio.sleep(0.05)

    async def watch_loop(self):
        while True:
            due = time.monotonic() + SAMPLE_S
            await asyncio.sleep(SAMPLE_S)
            if time.monotonic() - due > NEGLIGIBLE_S:
                self.evidence.stalls.append((due, time.monotonic()))

    async def steps(self):
        began, todo = time.monotonic(), []
        for step in self.plan.steps:
            await asyncio.sleep(max(0.0, began + step.at_s - time.monotonic()))
            todo.append(asyncio.create_task(self.gateways[step.gateway].act(step.action)))
        await asyncio.gather(*todo)

    async def settled(self):
        """Logs and counts of reached members, once all are the same; as they are in the end if they do not become so."""
        until = time.monotonic() + EQUAL_S
        while True:
            answers = [await self.lines(each, {"do": "dump", "channel": CHANNEL}) for each in self.gateways]
            dumps = [each[0].get("dump", "") if each else "" for each in answers]
            reached = await self.reports()
            is_whole = dumps[0] and len(set(dumps)) == 1 and set(reached) == {len(self.gateways)}
            if is_whole or time.monotonic() > until:
                return dumps, reached
            await asyncio.sleep(0.25)

    async def reports(self):
        answers = [await self.lines(each, {"do": "fleet"}) for each in self.gateways]
        return [sum(member["reached"] for member in each[0]["members"]) if each else 0 for each in answers]


async def _played(plan, folder, list_address):
    ports = [free_port() for _ in range(plan.gateways)]
    gateways = [Gateway(i, folder, list_address, ports, plan.syncs_s[i]) for i in range(plan.gateways)]
    try:
        await asyncio.gather(*(each.start() for each in gateways))
        (folder / "slow").touch()
        players = Players(plan, gateways)
        watch = asyncio.create_task(players.watch_loop())
        await asyncio.gather(
            players.steps(),
            *(players.write(*writer) for writer in plan.writers),
            *(players.look(gateway) for gateway in gateways),
        )
        watch.cancel()
        (folder / "slow").unlink()
        evidence = players.evidence
        evidence.dumps, evidence.reached = await players.settled()
        for each in gateways:
            each.life.asked = "term"
            each.life.send(signal.SIGTERM)
        await asyncio.gather(*(asyncio.wait_for(each.life.process.wait(), END_S) for each in gateways))
        await asyncio.sleep(0)
        evidence.lives = [each.lives for each in gateways]
        evidence.logs = [
            (folder / f"{each.name}.log").read_text(errors="replace").splitlines() for each in gateways
        ]
        return evidence
    finally:
        for life in (life for each in gateways for life in each.lives):
            if life.process.returncode is None:
                life.process.kill()
                await life.process.wait()


def play(plan, folder):
    """Plays a run in a folder; its evidence."""
    (folder / "state").mkdir()
    (folder / "day.json").write_bytes(msgspec.json.encode(msgspec.structs.replace(quiet(), nodes=2)))
    nodes = Running("nodes", folder / "day.json", "--wait", "--records", folder / "nodes.jsonl")
    try:
        return asyncio.run(_played(plan, folder, nodes.address))
    finally:
        nodes.end(signal.SIGKILL)


# --- the judge ---


def values_of(dump):
    """The values in a channel's dump, in the order of the log."""
    _, entries = json.loads(dump) if dump not in ("", "[]") else (None, [])
    return [json.loads(b64decode(entry[6])) for entry in entries]


class Judge:
    """Judges a run strictly; only the recorded lateness of the asking process is taken off."""

    def __init__(self, evidence):
        self.evidence, self.breaches, self.counts = evidence, [], Counter()

    def verdict(self):
        self._log()
        self._waits()
        self._processes()
        return self.breaches, self.counts

    def _log(self):
        dumps = self.evidence.dumps
        if len(set(dumps)) != 1:
            self.breaches.append(f"logs differ: {[len(values_of(dump)) for dump in dumps]} entries")
        held = Counter(values_of(max(dumps, key=len)))
        for value, answer in self.evidence.answers.items():
            how = "broke off" if answer is None else "refused" if "error" in answer else "done"
            self.counts[f"append {how}"] += 1
            if how == "done" and not held[value]:
                self.breaches.append(f"{value} was answered and is lost: {answer}")
            if how == "refused" and held[value]:
                self.breaches.append(f"{value} was refused and is there: {answer}")
            if held[value] > 1:
                self.breaches.append(f"{value} is there {held[value]} times")
        if set(self.evidence.reached) != {len(dumps)}:
            self.breaches.append(f"of {len(dumps)} members are reached {self.evidence.reached}")

    def _waits(self):
        self.counts["reports"] = len(self.evidence.waits)
        for took, at, name in self.evidence.waits:
            own = sum(
                end - start
                for start, end in self.evidence.stalls
                if at - took - SAMPLE_S <= end <= at + SAMPLE_S
            )
            if took > LATE_S and took - own <= LATE_S:
                self.counts["waits that were the asking process's own"] += 1
            elif took > LATE_S:
                self.breaches.append(f"{name} answered after {took:.2f} s what waits for nothing")

    def _processes(self):
        ready = []
        for index, lives in enumerate(self.evidence.lives):
            for life in lives:
                self.counts["starts"] += 1
                self.counts[f"ended by {life.asked or 'nobody'}"] += 1
                may = (
                    (0,)
                    if life.asked in ("term", "take_over")
                    else (-signal.SIGKILL,)
                    if life.asked == "kill"
                    else None
                )
                if life.asked == "early_term":
                    may = (0, -signal.SIGTERM)  # before the program's first statement
                if may is None or life.code not in may:
                    self.breaches.append(
                        f"g{index} ended with code {life.code} where it was asked to: {life.asked!r}"
                    )
                if life.asked != "early_term":
                    ready.append(bool(life.ready) and life.ready - life.began <= READY_S)
        if sum(ready) < READY_SHARE * len(ready):
            self.breaches.append(f"{sum(ready)} of {len(ready)} starts were ready within {READY_S:g} s")
        for index, lines in enumerate(self.evidence.logs):
            for line in lines:
                if "Traceback" in line or "Unhandled" in line:
                    self.breaches.append(f"g{index} logged {line[:300]}")


@dataclass
class Report:
    """What a run broke and counted. `folder`: what it left, where it broke."""

    seed: int
    breaches: list
    counts: Counter
    folder: Path | None


def soak(seed):
    """Plays and judges the run of a seed."""
    plan, folder = draw(seed), Path(tempfile.mkdtemp(prefix=f"fleet-soak-{seed}-"))
    evidence = play(plan, folder)
    breaches, counts = Judge(evidence).verdict()
    counts["SIGHUP"] = 4 * sum(step.action == "hups" for step in plan.steps)
    if not breaches:
        shutil.rmtree(folder)
        return Report(seed, breaches, counts, None)
    left = {
        "answers": evidence.answers,
        "dumps": evidence.dumps,
        "stalls": evidence.stalls,
        "waits": evidence.waits,
    }
    (folder / "evidence.json").write_text(
        json.dumps({"plan": repr(plan), "breaches": breaches, **left}, indent=1)
    )
    return Report(seed, breaches, counts, folder)


def main():
    first, _, last = sys.argv[1].partition(":")
    total, broke = Counter(), 0
    for seed in range(int(first), int(last or first) + 1):
        report = soak(seed)
        total += report.counts
        broke += bool(report.breaches)
        print(f"seed {seed}: {'BROKE' if report.breaches else 'kept'}, {dict(report.counts)}", flush=True)
        for text in report.breaches[:10]:
            print(f"    {text}", flush=True)
        if report.folder:
            print(f"    {report.folder}; again: python tests/fleet_soak.py {seed}", flush=True)
    print(f"{broke} runs broke; {dict(total)}")
    return 1 if broke else 0


if __name__ == "__main__":
    sys.exit(main())
