"""Plays bad clients against a gateway process, with usual clients beside them, and measures its memory from outside."""

import contextlib
import json
import os
import random
import signal
import subprocess
import sys
import threading
import time
from dataclasses import dataclass
from pathlib import Path

from floods.commands import settings
from relay_process import RelayProcess
from restart_soak import run_command

TESTS = Path(__file__).parent.parent
STOP_SECONDS = (0.05, 0.14)  # for which a gateway is held up
ATTEMPT_GRACE_SECONDS = (
    0.15  # STANDING: 0.1 s after the close; the protocol page: every time limit is 50 ms longer
)
USUAL_CLIENTS = 8
SAMPLE_SECONDS = 0.02
BYTES_PER_KIB = 1024


@dataclass
class Leaving:
    """What nodes began of clients that left: how late attempts after the close were (s), and ids that ran again."""

    begun: int
    late: list
    ran_again: list


@dataclass
class Result:
    """`memory_mb`: the most that was resident, and the most after the middle of the play."""

    memory_mb: float
    first_half_mb: float
    second_half_mb: float
    alive: bool
    usual: dict


def program(name, *arguments, **options):
    environment = {**os.environ, "PYTHONPATH": str(TESTS)}
    command = [sys.executable, "-m", f"floods.{name}", *map(str, arguments)]
    return subprocess.Popen(command, env=environment, stdout=subprocess.PIPE, text=True, **options)


def resident_mb(pid):
    """Resident memory in MB (10^6 bytes); 0 if the process has ended."""
    with contextlib.suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmRSS"):
                return int(line.split()[1]) * BYTES_PER_KIB / 1_000_000
    return 0.0


def listed(ports):
    return {
        "generation": 41, "reset": True,
        "instances": [
            {
                "instanceId": f"s-{cell}", "hostPort": f"127.0.0.1:{port}", "zone": "a", "machineType": "m2",
                "cell": cell, "lifecycle": "Ready", "weight": 1.0, "startedAtMs": 0,
            }
            for cell, port in enumerate(ports)
        ],
    }  # fmt: skip


def _lateness(at, connections):
    """How long after the close of its connection an attempt began; 0 while one with its id was open."""
    if any(each["opened"] <= at <= each["closed"] for each in connections):
        return 0.0
    return at - max(each["closed"] for each in connections if each["closed"] <= at)


class FloodedRelay:
    """A gateway process with storage nodes in another process."""

    def __init__(self, folder, memory_mb, sockets):
        self.log = folder / "nodes.log"
        self.nodes = program("nodes", self.log)
        ports = [int(port) for port in self.nodes.stdout.readline().split()]
        start_file = {"settings": settings(), "limits": {"sockets": sockets, "memory_mb": memory_mb}}
        command = ["/bin/sh", "-c", run_command()]
        self.relay = RelayProcess(folder, known=listed(ports), command=command, **start_file)
        self.port = self.relay.port()

    def __enter__(self):
        return self

    def __exit__(self, *error):
        self.relay.__exit__(*error)
        self.nodes.kill()
        self.nodes.wait()
        self.nodes.stdout.close()

    def play_leaving(self, rounds, how, held_up=False):
        """Plays clients that send much and leave; `held_up`: the gateway is stopped for moments."""
        leaving = program("leaving_clients", self.port, rounds, how)
        lines = []
        reader = threading.Thread(target=lambda: lines.extend(leaving.stdout))
        reader.start()
        drawn = random.Random(rounds)
        while leaving.poll() is None:
            time.sleep(SAMPLE_SECONDS if not held_up else drawn.uniform(0.1, 0.4))
            if held_up:
                self.relay.send(signal.SIGSTOP)
                time.sleep(drawn.uniform(*STOP_SECONDS))
                self.relay.send(signal.SIGCONT)
        reader.join()
        leaving.stdout.close()
        return self._judge_leaving([json.loads(line) for line in lines])

    def _judge_leaving(self, closes):
        begun, lag = {}, 0.0
        for line in self.log.read_text().splitlines():
            at, what, *rest = line.split()
            if what == "lag":
                lag = max(lag, float(rest[0]))
            else:
                begun.setdefault(int(what, 16), []).append(float(at))
        late = []
        for number, times in begun.items():
            connections = [each for each in closes if each["first"] <= number < each["first"] + each["count"]]
            late += [
                lateness
                for at in times
                if (lateness := _lateness(at, connections)) > ATTEMPT_GRACE_SECONDS + lag
            ]
        again = [number for number, times in begun.items() if len(times) > 1]
        return Leaving(sum(map(len, begun.values())), late, again)

    def play(self, floods, seconds):
        """Plays bad clients, a map of pictures to numbers of connections, for a time."""
        usual = program("usual", self.port, USUAL_CLIENTS, seconds)
        usual.stdout.readline()
        bad = [program("bad_clients", name, self.port, count, seconds) for name, count in floods.items()]
        began, samples = time.monotonic(), []
        while usual.poll() is None:
            samples.append((time.monotonic() - began, resident_mb(self.relay.process.pid)))
            time.sleep(SAMPLE_SECONDS)
        for each in bad:
            each.wait()
            each.stdout.close()
        with usual.stdout:
            counts = json.loads(usual.stdout.read() or "{}")
        alive = self.relay.process.poll() is None
        first = max(memory for at, memory in samples if at <= seconds / 2)
        second = max(memory for at, memory in samples if at > seconds / 2)
        return Result(max(first, second), first, second, alive, counts)
