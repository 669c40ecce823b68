"""What the cases share: the gateway's process, storage nodes, discovery's agent and clients on loopback.

The stand-ins speak the platform's protocol pages and share no code with the project. A case builds a `Bed`,
which starts the gateway with the line `run` of the deploy file, and ends every process that it started.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
READY_SECONDS = 30.0  # the pages' limit for a start


class CannotRunError(Exception):
    """The case could not be played, so that it says nothing about the rule."""


class Record:
    """`record.txt` of a case: one line for each event, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the start."""
        return time.monotonic() - self.started

    def add(self, who: str, what: str) -> None:
        """Writes one line."""
        self.file.write(f"{self.now():9.4f} {who:10} {what}\n")


def encode(words: list[bytes]) -> bytes:
    """Returns a RESP2 array of bulk strings."""
    parts = [b"*%d\r\n" % len(words)]
    parts += [b"$%d\r\n%b\r\n" % (len(word), word) for word in words]
    return b"".join(parts)


async def read_reply(reader: asyncio.StreamReader) -> bytes | None:
    """Returns one answer: a bulk string as `$` and its bytes, a line with its type byte; None at the end."""
    line = await reader.readline()
    if not line.endswith(b"\r\n"):
        return None
    if line[:1] == b"$" and line != b"$-1\r\n":
        data = await reader.readexactly(int(line[1:]) + 2)
        return b"$" + data[:-2]
    return line[:-2]


async def read_command(reader: asyncio.StreamReader) -> list[bytes] | None:
    """Returns the words of one command; None at the end of the connection."""
    line = await reader.readline()
    if not line.endswith(b"\r\n"):
        return None
    words = []
    for _ in range(int(line[1:])):
        size = await reader.readline()
        data = await reader.readexactly(int(size[1:]) + 2)
        words.append(data[:-2])
    return words


def fields_of(words: list[bytes]) -> dict[str, str]:
    """Returns the names and values of a command."""
    return dict(pair.split("=", 1) for pair in words[3].decode().split(","))


class Node:
    """A storage node: it begins a command when its last byte came, up to `slots` at once, others in turn."""

    slots = 2
    idle: float | None = None  # seconds after which it closes an idle connection

    def __init__(self, bed: Bed, name: str, cell: int, work: float) -> None:
        """`work`: seconds for a command."""
        self.bed, self.name, self.cell, self.work = bed, name, cell, work
        self.free = asyncio.Semaphore(self.slots)
        self.port = 0
        self.runs: list[tuple[float, list[bytes]]] = []  # when its last byte came, the command
        self.stored: dict[bytes, bytes] = {}  # by piece
        self.answer: Callable[[list[bytes], asyncio.StreamWriter], Awaitable[bool]] | None = None
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20, backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self, lifecycle: str = "Ready", started_ms: int = 0) -> dict[str, Any]:
        """Returns the node's entry in discovery's list."""
        return {
            "instanceId": self.name, "hostPort": f"127.0.0.1:{self.port}", "zone": "a", "machineType": "m",
            "cell": self.cell, "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": started_ms,
        }  # fmt: skip

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.bed.writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, TimeoutError):
            while (words := await asyncio.wait_for(read_command(reader), self.idle)) is not None:
                await self._run(words, writer)
        self.bed.writers.discard(writer)
        writer.close()

    async def _run(self, words: list[bytes], writer: asyncio.StreamWriter) -> None:
        if words[0] == b"PING":
            writer.write(b"+PONG\r\n")
            return
        if not words[0].startswith(b"BLK."):  # PROTOCOL.md: `+OK` to CLIENT and SELECT, `-ERR` to others
            writer.write(b"+OK\r\n" if words[0] in (b"CLIENT", b"SELECT") else b"-ERR\r\n")
            return
        self.runs.append((time.monotonic(), words))
        self.bed.record.add(self.name, f"begins {words[0].decode()} {words[1].decode()} {words[2].decode()}")
        if self.answer is not None and await self.answer(words, writer):
            return
        async with self.free:
            await asyncio.sleep(self.work)
        if len(words) > 4:
            self.stored[words[1]] = words[4]
            value = b"stored"
        else:
            value = self.stored.get(words[1], b"none")
        writer.write(b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value))
        await writer.drain()


class Agent:
    """Discovery's agent: the whole list first, an empty line every 2 s."""

    def __init__(self, bed: Bed, entries: Callable[[], list[dict[str, Any]]]) -> None:
        self.bed, self.entries = bed, entries
        self.generation = 41
        self.port = 0
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.bed.writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            document = {"generation": self.generation, "reset": True, "instances": self.entries()}
            line = json.dumps(document).encode() + b"\n"
            writer.write(b"%x\r\n%b\r\n" % (len(line), line))
            while True:
                await asyncio.sleep(2)
                writer.write(b"1\r\n\n\r\n")
                await writer.drain()


class Client:
    """A client's connection: commands may be written at once, answers come in their order."""

    def __init__(self, bed: Bed, name: str) -> None:
        self.bed, self.name = bed, name
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    async def connect(self) -> Client:
        """Connects to the gateway."""
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.bed.port, limit=1 << 20)
        self.bed.writers.add(self.writer)
        return self

    def send(self, *commands: list[bytes]) -> None:
        """Writes commands in one go."""
        self.writer.write(b"".join(encode(words) for words in commands))
        for words in commands:
            self.bed.record.add(self.name, "sends " + b" ".join(words[:4]).decode())

    async def answer(self, seconds: float) -> bytes | None:
        """Returns the next answer, None without one within this time or at the end of the connection."""
        try:
            reply = await asyncio.wait_for(read_reply(self.reader), seconds)
        except (TimeoutError, ConnectionError, asyncio.IncompleteReadError):
            reply = None
        self.bed.record.add(self.name, f"gets {reply[:60] if reply is not None else None!r}")
        return reply

    def ping(self) -> None:
        """Writes a PING."""
        self.writer.write(encode([b"PING"]))

    def close(self) -> None:
        """Closes the connection."""
        self.bed.writers.discard(self.writer)
        self.writer.close()


class Bed:
    """One gateway with its nodes and discovery's agent."""

    def __init__(
        self, folder: Path, settings: dict[str, Any], sockets: int = 1024, memory_mb: int = 192
    ) -> None:
        self.record = Record(folder)
        self.temporary = tempfile.mkdtemp(prefix="review-")
        self.settings, self.sockets, self.memory_mb = settings, sockets, memory_mb
        self.nodes: list[Node] = []
        self.agent = Agent(self, lambda: [node.entry() for node in self.nodes])
        self.writers: set[asyncio.StreamWriter] = set()  # of the stand-ins' open connections
        self.port = 0
        self.process: asyncio.subprocess.Process | None = None
        self._ids = 0

    def command(self, kind: bytes, piece: int, body: bytes | None = None, **fields: Any) -> list[bytes]:
        """Returns a command with a new id; `fields`: those of the page; some have a default."""
        self._ids += 1
        told = {"c": "", "t": "standard", "d": 0, "k": None, "volume": 1, "units": 1, "shard": 0, "hosts": 1}
        told |= fields
        told["volume"] = f"{told['volume']:016x}"
        told["k"] = f"{self._ids:016x}" if told["k"] else None
        text = ",".join(f"{name}={value}" for name, value in told.items() if value is not None)
        words = [kind, b"%016x" % piece, b"%016x" % self._ids, text.encode()]
        return words if body is None else [*words, body]

    async def start(self) -> None:
        """Starts the nodes, the agent and the gateway, and waits until it answers PING."""
        for node in self.nodes:
            await node.start()
        await self.agent.start()
        self.port = free_port()
        listen = f"127.0.0.1:{self.port}"
        discovery = f"127.0.0.1:{self.agent.port}"
        known = {"generation": 41, "reset": True, "instances": [node.entry() for node in self.nodes]}
        config = {
            "name": "n1", "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
            "known": known, "settings": self.settings,
        }  # fmt: skip
        path = Path(self.temporary) / "config.json"
        path.write_text(json.dumps(config))
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        told = {"RELAY_NAME": "n1", "RELAY_LISTEN": listen, "RELAY_DISCOVERY": discovery}
        told |= {"RELAY_CONFIG": str(path), "TMPDIR": self.temporary}
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env={**os.environ, **told}, stderr=asyncio.subprocess.PIPE
        )
        self._log = asyncio.ensure_future(self._read_log())
        self.record.add("platform", f"starts gateway n1 at {listen}")
        await self._ready()

    async def _ready(self) -> None:
        until = time.monotonic() + READY_SECONDS
        while time.monotonic() < until:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                client = await Client(self, "platform").connect()
                client.ping()
                if await client.answer(2) == b"+PONG":
                    client.close()
                    return
                client.close()
            await asyncio.sleep(0.1)
        raise CannotRunError("the gateway was not ready within 30 s")

    async def _read_log(self) -> None:
        assert self.process is not None and self.process.stderr is not None
        while line := await self.process.stderr.readline():
            self.record.add("log", line.decode(errors="replace").rstrip())

    def resident_mb(self) -> float:
        """Returns the gateway's resident memory in MB; 0 if it has ended."""
        assert self.process is not None
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmRSS"):
                    return int(line.split()[1]) / 1024
        return 0.0

    def signal(self, number: int) -> None:
        """Sends the gateway a signal."""
        assert self.process is not None
        self.record.add("platform", f"sends {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def close(self) -> None:
        """Ends the gateway and removes the temporary folder."""
        await end(self.process)
        if self.process is not None:
            await self._log
        for writer in self.writers:
            writer.transport.abort()
        for server in [self.agent.server, *(node.server for node in self.nodes)]:
            if server is not None:
                server.close()
        await asyncio.sleep(0.05)
        self.record.file.close()
        shutil.rmtree(self.temporary, ignore_errors=True)


async def end(process: asyncio.subprocess.Process | None) -> None:
    """Ends a process that a case started, if it still runs, and waits for its end."""
    if process is not None:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()


def free_port() -> int:
    """Returns a port of 127.0.0.1 that nobody listens on."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def settings(classes: list[dict[str, Any]], writes: list[bool], **changes: Any) -> dict[str, Any]:
    """Returns the settings of a small deployment; `changes` replace whole parts."""
    plan = {
        "Weight": 1.0,
        "ValueFactor": 1.0,
        "Rate": 2000.0,
        "Reserve": 2000.0,
        "Limit": 0.0,
        "CapDepth": 0.0,
    }
    base = {
        "Classes": classes,
        "Policies": [{"Name": "standard", **plan}],
        "FamilyInfo": {"Writes": writes, "UnitsTop": 8, "UsualUnits": 2.0, "ColdUnits": 30.0, "Meter": 0.0,
                       "FairWorth": 1.0, "BeyondShare": 1.0, "SlotsTotal": 4},
        "Limits": {"Cancel": True, "DialTimeout": 250.0, "IdleClose": 30000.0, "MaxAttempts": 3,
                   "MaxOpen": 30138, "Multiplex": 100, "ParallelTries": False, "RetryAfter": False},
        "Safety": {"AnswerSlack": 8.0, "Cold": 17000.0, "DrainGrace": 1000.0, "Fall": 2000.0,
                   "OverloadFactor": 2.5, "StartCapacity": 0.26, "OrderSettle": 100.0},
        "Instances": 1, "Period": 2.0, "Zones": ["a"], "Discovery": "push",
    }  # fmt: skip
    return {**base, **changes}


def request_class(
    name: str, aim: float, deadline: float, effect: str = "safe", **more: Any
) -> dict[str, Any]:
    """Returns the settings of a class; times in ms."""
    common = {
        "Name": name,
        "Aim": aim,
        "Deadline": deadline,
        "Effect": effect,
        "Points": 2.0,
        "KeyScope": "all",
    }
    return {**common, "Window": 2500.0, "LateShare": 0.2, "Stream": False, "SerialByKey": False, **more}


def trouble() -> bool:
    """Whether the case is to be played with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(play: Callable[[], Awaitable[int]]) -> None:
    """Plays a case and ends the process with its exit code."""

    async def bounded() -> int:
        playing = asyncio.ensure_future(play())
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, playing.cancel)
        return await asyncio.wait_for(playing, 115)

    try:
        code = asyncio.run(bounded())
    except (
        Exception,
        asyncio.CancelledError,
    ) as error:  # whatever stopped the case says nothing about the rule
        print(f"could not run: {type(error).__name__}: {error}")
        code = NOT_RUN
    sys.exit(code)
