"""How what gateways tell each other grows with their number: the fleet's parts alone, without jobs.

    python -m benchmarks.growth --sizes 12,48,190 --beat 250 --quiet 2000
    python -m benchmarks.growth --sizes 1000 --beat 1000 --quiet 4000 --no-loss

Each gateway is told of some legs a second that were fulfilled, so that what it tells moves as it does in
service. At rest some seconds are counted; then a third of the gateways is gone for 20 s and comes back at
once, and the worst second of that is looked for. All in one process on the virtual clock.
"""

from __future__ import annotations

import os
import resource
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from typing import Any

import click

from ochrecourse.fleet.zone_evidence import EndedAttempt
from ochrecourse.storage.journal import MemoryJournal
from ochrecourse.fleet.member import FleetMember
from ochrecourse.fleet.member_environment import MemberEnvironment, ZonePlacement
from ochrecourse.common.request_records import RequestRecord, AttemptRecord
from ochrecourse.gateway.request_log import RequestLog
from ochrecourse.interface import Ending, Health, NodeEntry
from ochrecourse.lab.virtual import VirtualNetwork
from ochrecourse.common.runtime import now_ns
from ochrecourse.common.time_units import MS

EPOCH = 1_790_000_000_000  # ms since 1970 at the virtual clock's zero; any time will do
FIRST_PORT = 20_000
ZONES = 3
NODES = 12
SETTLE = 6.0  # s until links stand and everybody is heard of
GONE = 20.0  # s for which a third is away, well beyond what makes it unreached
BACK = 10.0  # s after its return that are looked at
BIN = 0.25  # s
SAID = {
    "name": "growth", "listen": "", "peers": [], "let_go": 600_000.0, "clock_bound": 500.0,
    "ahead": 3_600_000.0, "shift": 0.0, "zones": {},
    "log": {"entry": 65_536.0, "channel": 16_777_216.0, "channels": 1024, "flight": 256, "catch_up": 1_048_576.0},
}  # fmt: skip


class Beside:
    """A gateway, as far as a part needs one."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.ledger = RequestLog()
        self.attempt_observers: list[Callable[[RequestRecord, AttemptRecord], None]] = []

    def bounds_came(self, bounds: Any) -> None:
        pass


class Grown:
    """Parts of one fleet on one network, and what crossed it. `beat`, `quiet`: ms; `legs`: a gateway a second."""

    def __init__(self, size: int, beat: float, quiet: float, legs: float, seed: int = 1) -> None:
        self.network = VirtualNetwork(seed)
        self.network.meter = self._written
        self.legs = legs
        self.names = [f"g{i}" for i in range(size)]
        self.said = {**SAID, "beat": beat, "quiet": quiet}
        self.peers = [
            {"name": name, "address": f"127.0.0.1:{FIRST_PORT + i}"} for i, name in enumerate(self.names)
        ]
        self.disks = [MemoryJournal() for _ in self.names]
        self.parts: dict[int, FleetMember] = {}
        self.lives = 0
        self.bytes: Counter[tuple[int, str]] = Counter()  # by bin and who sent them
        self.writes: Counter[int] = Counter()

    def start(self, i: int) -> None:
        self.lives += 1
        name = self.names[i]
        environment = MemberEnvironment(
            Beside(name), self.network.host(name), self.disks[i], self.lives,
            lambda: EPOCH + int(self.network.seconds() * 1000),
        )  # fmt: skip
        said = {**self.said, "peers": [each for each in self.peers if each["name"] != name]}
        part = FleetMember(said, environment, ZonePlacement(i % ZONES, ZONES))
        part.nodes_are({
            node: NodeEntry(node=node, zone=node % ZONES, shard=node, health=Health.READY, started=0) for node in range(NODES)
        })  # fmt: skip
        part.start(where=f"127.0.0.1:{FIRST_PORT + i}")
        self.parts[i] = part
        if self.legs:
            self._leg(i, part)

    def _leg(self, i: int, part: FleetMember) -> None:
        if not part.stopped and part.zones is not None:
            part.zones.attempt_ended(
                EndedAttempt(i % NODES, Ending.SERVED, 20 * MS, 20.0 * MS, now_ns(self.network))
            )
            self.network.callLater(self.network.chance.expovariate(self.legs), self._leg, i, part)

    def _written(self, here: str, there: str, size: int) -> None:
        at = int(self.network.seconds() / BIN)
        self.bytes[at, here] += size
        self.writes[at] += 1

    def rows(self) -> int:
        return sum(
            link.exchange.heartbeats_in for part in self.parts.values() for link in part.peer_links.links
        )

    def sent(self, start: float, end: float) -> Counter[str]:
        """Bytes by sender between two moments of the virtual clock."""
        told: Counter[str] = Counter()
        for (at, name), size in self.bytes.items():
            if start / BIN <= at < end / BIN:
                told[name] += size
        return told

    def reach(self) -> int:
        """The least number of gateways that one of them reaches."""
        now = now_ns(self.network)
        return min(len(part.members.reachable(now)) for part in self.parts.values())


def one(task: tuple[int, float, float, float, float, bool]) -> tuple[int, dict[str, float]]:
    """The figures of one size."""
    size, beat, quiet, legs, rest, loss = task
    empty = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    fleet = Grown(size, beat, quiet, legs)
    network = fleet.network
    for i in range(size):
        fleet.start(i)
    began = time.process_time()
    network.advance(SETTLE)
    told: dict[str, float] = {
        "CPU s to settle": time.process_time() - began,
        "reached at rest": fleet.reach(),
    }
    start, rows, began = network.seconds(), fleet.rows(), time.process_time()
    network.advance(rest)
    cpu = time.process_time() - began
    sent, per = fleet.sent(start, start + rest), size * rest
    writes = sum(n for at, n in fleet.writes.items() if start / BIN <= at < (start + rest) / BIN)
    told |= {
        "CPU of a core a gateway at rest, %": 100 * cpu / per,
        "bytes a gateway a second at rest": sum(sent.values()) / per,
        "messages a gateway a second at rest": writes / per,
        "rows taken a gateway a beat at rest": (fleet.rows() - rows) / per * beat / 1000,
        "largest sender at rest, times the mean": max(sent.values()) / (sum(sent.values()) / size),
        "MB a gateway": (resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - empty) / 1024 / size,
    }
    if not loss:
        return size, told
    lost = list(range(1, size, ZONES))
    for i in lost:
        fleet.parts.pop(i).kill()
    network.advance(GONE)
    back, began = network.seconds(), time.process_time()
    for i in lost:
        fleet.start(i)
    whole = BACK
    while network.seconds() < back + BACK:
        network.advance(BIN / 5)
        if whole == BACK and fleet.reach() == size:
            whole = network.seconds() - back
    bins = [int(back / BIN) + i for i in range(int(BACK / BIN))]
    worst = max(bins, key=lambda at: sum(fleet.sent(at * BIN, at * BIN + 1).values()))
    sent = fleet.sent(worst * BIN, worst * BIN + 1)
    told |= {
        "s until all reach all after the return": whole,
        "bytes a gateway in the worst second": sum(sent.values()) / size,
        "messages a gateway in the worst second": sum(fleet.writes[worst + i] for i in range(4)) / size,
        "bytes of the largest sender in it": max(sent.values()),
        "CPU s of the return": time.process_time() - began,
    }
    return size, told


@click.command()
@click.option("--sizes", default="12,48,190")
@click.option("--beat", default=250.0, help="ms")
@click.option("--quiet", default=2000.0, help="ms")
@click.option("--legs", default=20.0, help="Legs a gateway a second.")
@click.option("--rest", default=5.0, help="s that are counted at rest.")
@click.option("--loss/--no-loss", default=True)
@click.option("--workers", default=1)
def main(sizes: str, beat: float, quiet: float, legs: float, rest: float, loss: bool, workers: int) -> None:
    tasks = [(int(size), beat, quiet, legs, rest, loss) for size in sizes.split(",")]
    click.echo(
        f"{os.cpu_count()} cores; beat {beat:g} ms, quiet {quiet:g} ms, {legs:g} legs a gateway a second"
    )
    with ProcessPoolExecutor(workers, mp_context=get_context("spawn"), max_tasks_per_child=1) as pool:
        for size, told in pool.map(one, tasks):
            click.echo(f"{size} gateways")
            for words, figure in told.items():
                click.echo(f"  {words:44} {figure:14.3f}")


if __name__ == "__main__":
    main()
