"""Stand-ins for the platform of one gateway: storage nodes, discovery agent, clients, and the process itself.

They follow the protocol page. All sockets are on 127.0.0.1 with free ports, all times are of the real clock.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
READY_LIMIT_S = 30.0  # the deployment page: a gateway is ready within this time
SLOTS = 4  # requests that a storage node serves at once: two cores with two each
OTHER_ANSWERS = {
    b"PING": b"+PONG\r\n",
    b"CLIENT": b"+OK\r\n",
    b"SELECT": b"+OK\r\n",
    b"INFO": b"-NOPERM\r\n",
}
SCRIPT_LIMIT_S = 110.0  # a script may run for 120 s
EMPTY_LINE_S = 2.0  # of a watch on which nothing changes
HELD, BROKEN, NOT_RUN = 0, 3, 2  # exit codes of a case.py; run.sh turns them into its own


class CaseNotRunError(Exception):
    """The case could not be played; it says nothing about the rule."""


class Record:
    """What was sent, answered and run, one line each with the time in s since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self.started_at = time.monotonic()

    def __call__(self, text: str) -> None:
        """Writes one line."""
        self._file.write(f"{time.monotonic() - self.started_at:9.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Ends the record."""
        self._file.close()


def encode(words: list[bytes]) -> bytes:
    """Encodes a command: an array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


async def read_command(reader: asyncio.StreamReader) -> list[bytes]:
    """Reads one command. Raises IncompleteReadError at the end of the connection."""
    count = int((await reader.readuntil(b"\r\n"))[1:])
    words = []
    for _ in range(count):
        size = int((await reader.readuntil(b"\r\n"))[1:])
        words.append((await reader.readexactly(size + 2))[:-2])
    return words


async def read_answer(reader: asyncio.StreamReader) -> bytes:
    """Reads one answer of a gateway; a value is returned with `$` before it, a line as it is."""
    line = await reader.readuntil(b"\r\n")
    if line[:1] == b"$":
        size = int(line[1:])
        return b"$" + ((await reader.readexactly(size + 2))[:-2] if size >= 0 else b"null")
    if line[:1] == b"*":
        return b"*" + b" ".join([await read_answer(reader) for _ in range(int(line[1:]))])
    return line[:-2]


def served(value: bytes) -> bytes:
    """A storage node's answer with a value, no figures on use and no load report."""
    return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value)


Behaviour = Callable[[list[bytes]], Awaitable[bytes | None]]


class StorageNode:
    """A storage node that holds one shard. `behaviour` gives the answer to a command, None for silence.

    Commands on a connection are begun as they come and answered in order; `SLOTS` run at once, the others in
    turn of arrival.
    """

    def __init__(self, name: str, shard: int, record: Record, behaviour: Behaviour) -> None:
        self.name, self.shard, self.record, self.behaviour = name, shard, record, behaviour
        self.commands: list[tuple[float, list[bytes]]] = []
        self.port = 0
        self._slots = asyncio.Semaphore(SLOTS)
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        answers: asyncio.Queue[asyncio.Task[bytes]] = asyncio.Queue()
        sending = asyncio.create_task(self._send_in_order(answers, writer))
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                answers.put_nowait(asyncio.create_task(self._answer(await read_command(reader))))
        sending.cancel()  # what runs goes on, its answer is not sent
        writer.close()

    async def _send_in_order(
        self, answers: asyncio.Queue[asyncio.Task[bytes]], writer: asyncio.StreamWriter
    ) -> None:
        while True:
            writer.write(await asyncio.shield(await answers.get()))

    async def _answer(self, words: list[bytes]) -> bytes:
        name = words[0].upper()
        if name not in (b"BLK.READ", b"BLK.WRITE"):
            return OTHER_ANSWERS.get(name, b"-ERR unknown\r\n")
        number = words[2].decode()
        self.commands.append((time.monotonic(), words))
        self.record(f"node {self.name}: {name.decode()} id {number} has come")
        if b"shard=%d," % self.shard not in words[3] and b"shard=-1," not in words[3]:
            return b"-BUSY\r\n"  # turned away without running it
        async with self._slots:
            answer = await self.behaviour(words)
        if answer is None:
            self.record(f"node {self.name}: stays silent for id {number}")
            await asyncio.Event().wait()
        assert answer is not None
        self.record(f"node {self.name}: has run id {number}: {answer[:24]!r}")
        return answer

    def entry(self) -> dict[str, Any]:
        """Its entry in the endpoint list."""
        return {
            "instanceId": f"s-{self.name}",
            "hostPort": f"{HOST}:{self.port}",
            "zone": "a",
            "machineType": "m1",
            "cell": self.shard,
            "lifecycle": "Ready",
            "weight": 1.0,
            "startedAtMs": 0,
        }


class Agent:
    """The discovery agent: the whole list, and watches on which nothing changes."""

    def __init__(self, nodes: list[StorageNode]) -> None:
        self.nodes = nodes
        self.port = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def document(self) -> dict[str, Any]:
        """The list of all storage nodes."""
        return {"generation": 7, "reset": True, "instances": [node.entry() for node in self.nodes]}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            head = await reader.readuntil(b"\r\n\r\n")
            whole = json.dumps(self.document()).encode() + b"\n"
            if b"follow=1" not in head:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(whole), whole))
            else:
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                line = b"\n" if b"since=7" in head else whole
                while True:
                    writer.write(b"%x\r\n%b\r\n" % (len(line), line))
                    await writer.drain()
                    await asyncio.sleep(EMPTY_LINE_S)
                    line = b"\n"
        writer.close()


class GatewayProcess:
    """One gateway, started by `run` of the deploy file from the root, as the deployment page says."""

    def __init__(self, agent: Agent, settings: dict[str, Any], record: Record, memory_mb: int = 96) -> None:
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.record = record
        with socket.socket() as probe:
            probe.bind((HOST, 0))
            self.port = probe.getsockname()[1]
        self._path = Path(self.folder.name) / "config.json"
        self._private = Path(self.folder.name) / "tmp"  # empty at the start
        self._private.mkdir()
        self._environment = {
            "RELAY_NAME": "n0",
            "RELAY_LISTEN": f"{HOST}:{self.port}",
            "RELAY_DISCOVERY": f"{HOST}:{agent.port}",
            "RELAY_CONFIG": str(self._path),
        }
        document = {
            "name": "n0",
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{agent.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": 512},
            "known": agent.document(),
            "settings": settings,
        }
        self._path.write_text(json.dumps(document), encoding="utf-8")
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Starts the program and waits until it answers a PING."""
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            deploy["run"],
            cwd=ROOT,
            stdin=asyncio.subprocess.DEVNULL,
            env={**os.environ, **self._environment, "TMPDIR": str(self._private)},
        )
        until = time.monotonic() + READY_LIMIT_S
        while time.monotonic() < until and self.process.returncode is None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(encode([b"PING"]))
                answer = await read_answer(reader)
                writer.close()
                if answer == b"+PONG":
                    self.record("gateway: ready")
                    return
            await asyncio.sleep(0.05)
        raise CaseNotRunError("the gateway was not ready in time")

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the program, if it runs."""
        assert self.process is not None
        self.record(f"platform: {number.name} to the gateway")
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def ended_within(self, seconds: float) -> int | None:
        """Returns the exit code once the program ended, None if it still runs after `seconds`."""
        assert self.process is not None
        with contextlib.suppress(TimeoutError):
            return await asyncio.wait_for(self.process.wait(), seconds)
        return None

    async def close(self) -> None:
        """Kills the program if it runs, and removes its folder."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()
        self.folder.cleanup()


def settings_of(*classes: dict[str, Any], plan: str = "standard") -> dict[str, Any]:
    """The settings of a small deployment with these classes, named as in the simulator's first message."""
    usual = {
        "Effect": "safe",
        "KeyScope": "all",
        "Window": 5000.0,
        "Points": 2.0,
        "LateShare": 0.2,
        "Stream": False,
    }
    terms = {
        "Name": plan,
        "Rate": 400.0,
        "Reserve": 400.0,
        "Limit": 0.0,
        "CapDepth": 0.0,
        "LimitSlack": 0.0,
    }
    return {
        "Instances": 3,
        "SelfIndex": 0,
        "Tier": 0,
        "Tiers": ["store"],
        "Zone": 0,
        "Zones": ["a"],
        "Period": 2.0,
        "Discovery": "push",
        "Family": "stores",
        "Flavors": ["m1"],
        "Weights": "nominal",
        "Classes": [{**usual, **{k: v for k, v in each.items() if k != "Writes"}} for each in classes],
        "Policies": [{**terms, "ValueFactor": 1.0, "Weight": 1.0}],
        "FamilyInfo": {
            "Writes": [each["Writes"] for each in classes],
            "ColdUnits": 40.0,
            "UsualUnits": 2.0,
            "UnitsTop": 8,
            "SlotsTotal": 8,
            "Meter": 0.0,
            "FairWorth": 0.3,
            "BeyondShare": 0.1,
            "TellsElsewhere": False,
        },
        "Limits": {
            "MaxAttempts": 3,
            "MaxOpen": 20000,
            "ParallelTries": False,
            "Cancel": True,
            "MayProbe": False,
            "RetryAfter": False,
            "MaxRetryAfter": 500.0,
            "Peers": False,
            "Multiplex": 32,
            "IdleClose": 30000.0,
            "DialTimeout": 250.0,
            "CpuUsPerRequest": 0.0,
            "CpuUsPerS": 500000,
        },
        "Safety": {
            "AnswerSlack": 8.0,
            "DrainGrace": 1000.0,
            "Cold": 16000.0,
            "Fall": 2000.0,
            "OverloadFactor": 2.5,
            "StartCapacity": 0.26,
            "OrderSettle": 100.0,
        },
        "Stats": {"How": "off", "Fields": []},
        "ClientHabits": {"MarksRetry": False},
    }


@dataclass(frozen=True)
class Request:
    """A client's request; `piece` 0 gives each a piece of its own, `value` makes it a write."""

    number: int
    product: str
    timeout_ms: int
    shard: int
    piece: int = 0
    value: bytes | None = None
    key: str = ""
    plan: str = "standard"
    units: int = 2

    def encode(self) -> bytes:
        """Returns its bytes on a connection."""
        mark = f",k={self.key}" if self.key else ""
        place = f"volume=00000003b4d60021,units={self.units},shard={self.shard},hosts=2"
        fields = f"c={self.product},t={self.plan},d={self.timeout_ms}{mark},{place}"
        name = b"BLK.READ" if self.value is None else b"BLK.WRITE"
        words = [name, b"%016x" % (self.piece or self.number + 4096), b"%016x" % self.number, fields.encode()]
        return encode(words if self.value is None else [*words, self.value])


def play(case: Callable[[Record, bool], Awaitable[bool]], folder: Path) -> int:
    """Plays a case and returns its exit code. The case returns whether the rule held; it is told whether the
    disruption is to be played, which `TROUBLE=0` takes away.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record(f"disruption: {'yes' if trouble else 'no'}")

    async def limited() -> bool:
        task = asyncio.ensure_future(case(record, trouble))
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)  # ends the gateway too
        return await asyncio.wait_for(task, SCRIPT_LIMIT_S)

    try:
        held = asyncio.run(limited())
    except (Exception, asyncio.CancelledError) as error:  # it says nothing about the rule
        record(f"not run: {type(error).__name__}: {error}")
        print(f"not run: {type(error).__name__}: {error}", file=sys.stderr)
        return NOT_RUN
    finally:
        record(f"end after {time.monotonic() - record.started_at:.1f} s")
        record.close()
    return HELD if held else BROKEN
