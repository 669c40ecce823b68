"""What it costs to hold a long log and to meet again after a long absence.

    python -m benchmarks.absence --entries 10000,100000,1000000 --channels 1000

By number of entries: recovery of a journal in a file, merges a second on one core, one call of what holds the event
loop (merge, dump, compaction), then two gateways on the virtual network, as they ship, that each hold half of the
entries and lack the other half: virtual seconds and bytes until both hold all, how long a decision on a zone made
at one takes to reach the other meanwhile, and how long single calls of the event loop took (CPU of this process).
"""

from __future__ import annotations

import gc
import os
import tempfile
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import click

from ochrecourse.storage.journal import FileJournal, MemoryJournal
from ochrecourse.fleet import log_store as log_store_module
from ochrecourse.fleet.entries import Entry, Timestamp
from ochrecourse.fleet.log_store import EntryRecord, LogStore, IncarnationRecord
from ochrecourse.fleet.link import Link
from ochrecourse.fleet.log import LogLimits, Log
from ochrecourse.fleet.member import FleetMember
from ochrecourse.fleet.member_environment import JOURNAL, MemberEnvironment, ZonePlacement
from ochrecourse.fleet.member_timer import MemberTimer
from ochrecourse.gateway.request_log import RequestLog
from ochrecourse.lab.virtual import VirtualNetwork

WALL = 1_700_000_000_000  # ms since 1970 at the virtual clock's zero
AWAY = 3_600_000  # ms over which the two were apart
WRITERS = 3  # of each site
BODY = 48  # bytes of an entry's body
FRAME = 64  # entries that are merged at once where merges are counted; a slice has about as many
LONGEST = 3600.0  # s after which a meeting counts as failed
BOUNDS = LogLimits(channel_bytes=1 << 30, channels=4096)


def entries(site: str, count: int, channels: int) -> Iterator[Entry]:
    """What one site wrote while it was apart; each entry's writer had seen the one before."""
    last: tuple[str, int, int] | None = None
    for i in range(count):
        writer, seq = f"{site}{i % WRITERS}", i // WRITERS + 1
        at = Timestamp(WALL - AWAY + i * AWAY // max(1, count), i % 8)
        body = f'"{site} {i}'.ljust(BODY - 1, ".").encode() + b'"'
        yield Entry(f"c{i % channels}", writer, 5, seq, at, (last,) if last else (), body)
        last = (writer, 5, seq)


def percentiles(spans: list[float]) -> str:
    """Of seconds, in ms: median, 99th and largest."""
    spans = sorted(spans) or [0.0]
    told = [spans[len(spans) // 2], spans[min(len(spans) - 1, len(spans) * 99 // 100)], spans[-1]]
    return " / ".join(f"{1000 * each:.2f}" for each in told)


def spent(what: Callable[[], Any]) -> float:
    began = time.process_time()
    what()
    return time.process_time() - began


def recovery(count: int, channels: int) -> str:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "a.log"
        first = FileJournal(path, *JOURNAL)
        first.rewrite(log_store_module._encode(EntryRecord(each)) for each in entries("b", count, channels))
        first.close()
        size, began = path.stat().st_size, time.process_time()
        again = FileJournal(path, *JOURNAL)
        kept = LogStore(again, "a0", BOUNDS, WALL, 1)
        took = time.process_time() - began
        assert sum(kept.log.vector().values()) == count
        return f"{took:.2f} s CPU, {size / 1e6:.1f} MB, {took / count * 1e6:.1f} us an entry"


def merges(count: int, channels: int) -> list[str]:
    """Merges into a log that holds as many of the other site, which stand between."""
    log = Log("z", 1, BOUNDS)
    mine, theirs = list(entries("a", count // 2, channels)), list(entries("b", count // 2, channels))
    for i in range(0, len(mine), FRAME):
        log.merge(mine[i : i + FRAME], WALL)
    spans = []
    for i in range(0, len(theirs), FRAME):
        spans.append(spent(lambda i=i: log.merge(theirs[i : i + FRAME], WALL)))  # type: ignore[misc]
    lacks = [spent(lambda: log.missing_entries({}, 256, 8192)) for _ in range(20)]
    dump = spent(lambda: log.dump("c0"))
    log.advance_frontier(Timestamp(WALL, 0))
    shrink = spent(lambda: log.compact("c0", Timestamp(WALL, 0), {}))
    return [
        f"merges a second on a core: {len(theirs) / sum(spans):.0f}; one of {FRAME}: {percentiles(spans)} ms",
        f"one look for what a peer lacks: {percentiles(lacks)} ms; dump of a channel: {1000 * dump:.1f} ms; "
        f"its compaction: {1000 * shrink:.1f} ms",
    ]


class _Beside:
    """A gateway, as far as a part needs one."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.ledger = RequestLog()
        self.attempt_observers: list[Any] = []

    def bounds_came(self, bounds: Any) -> None:
        pass


def meeting(count: int, channels: int, catch_up: float) -> list[str]:
    """Two gateways whose journals hold half of the entries each."""
    network = VirtualNetwork(1)
    spans: list[float] = []
    parts: dict[str, FleetMember] = {}
    for index, name in enumerate("ab"):
        journal = MemoryJournal()
        journal.stored = [log_store_module._encode(IncarnationRecord(7))]
        journal.stored += [
            log_store_module._encode(EntryRecord(e)) for e in entries(name, count // 2, channels)
        ]
        other, port = ("b", 20_001) if name == "a" else ("a", 20_000)
        said = {
            "name": "f", "listen": "", "peers": [{"name": other, "address": f"127.0.0.1:{port}"}],
            "beat": 250.0, "quiet": 2000.0, "let_go": 600_000.0, "clock_bound": 500.0, "ahead": 3_600_000.0,
            "shift": 0.0, "log": {
                "entry": 65_536.0, "channel": float(1 << 30), "channels": 4096, "flight": 256,
                "catch_up": 1048576.0 * catch_up,
            },
        }  # fmt: skip
        environment = MemberEnvironment(
            _Beside(name), network.host(name), journal, index + 1,
            lambda: WALL + int((network.seconds() - 1000) * 1000),
        )  # fmt: skip
        parts[name] = FleetMember(said, environment, ZonePlacement(index, 2))

    def timed(kind: Any, name: str) -> None:
        plain = getattr(kind, name)

        def call(self: Any, *args: Any) -> None:
            began = time.process_time()
            plain(self, *args)
            spans.append(time.process_time() - began)

        setattr(kind, name, call)

    before = {
        (kind, name): getattr(kind, name) for kind, name in ((Link, "dataReceived"), (MemberTimer, "_fired"))
    }
    for kind, name in before:
        timed(kind, name)
    gc.collect()
    gc.disable()  # the daemon collects while nothing waits
    gc.freeze()
    cpu = time.process_time()
    parts["a"].start(where="127.0.0.1:20000")
    parts["b"].start(where="127.0.0.1:20001")
    start = network.seconds()
    network.advance(1.0)
    seen: list[float] = []
    first = parts["a"].append("fleet", {"what": "told"})

    def heard(entry: Entry) -> None:
        if entry == first and not seen:
            seen.append(network.seconds())

    parts["b"].log.listeners.append(heard)
    parts["b"].common.on_early_entry = heard
    asked = network.seconds()
    while network.seconds() - start < LONGEST:
        network.advance(0.25)
        held = [part.log.vector() for part in parts.values()]
        if held[0] == held[1]:
            break
    frames_in, _, bytes_in, _ = parts["a"].traffic()
    frames_b, _, bytes_b, _ = parts["b"].traffic()
    for (kind, name), plain in before.items():
        setattr(kind, name, plain)
    gc.enable()
    gc.unfreeze()
    same = parts["a"].dump("c0") == parts["b"].dump("c0")
    return [
        f"met after {network.seconds() - start:.1f} s, {(bytes_in + bytes_b) / 1e6:.1f} MB in {frames_in + frames_b} frames,"
        f" {time.process_time() - cpu:.1f} s CPU of both, equal: {same and held[0] == held[1]}",
        f"an event of the fleet came after {seen[0] - asked if seen else float('nan'):.2f} s",
        f"calls of the event loop: {percentiles(spans)} ms, over 5 ms: {sum(s > 0.005 for s in spans)} of {len(spans)}",
    ]


@click.command()
@click.option("--entries", "sizes", default="10000,100000,1000000")
@click.option("--channels", default=1000)
@click.option("--catch-up", default=1.0, help="MiB a second, as settings say it.")
@click.option("--only", default="recovery,merges,meeting")
def main(sizes: str, channels: int, catch_up: float, only: str) -> None:
    click.echo(f"{os.cpu_count()} cores, load {os.getloadavg()[0]:.1f}; spans: median / 99th / largest")
    for count in map(int, sizes.split(",")):
        click.echo(f"{count} entries, {channels} channels")
        if "recovery" in only:
            click.echo(f"  journal read again: {recovery(count, channels)}")
        if "merges" in only:
            for line in merges(count, channels):
                click.echo(f"  {line}")
        if "meeting" in only:
            for line in meeting(count, channels, catch_up):
                click.echo(f"  {line}")


if __name__ == "__main__":
    main()
