"""Searches worlds of a fleet for one that breaks; what breaks is shrunk, and the command that replays it shown.

    python -m benchmarks.worlds --seeds 200 --workers 4       # worlds of the seeds from 1 on
    python -m benchmarks.worlds --gateways 48 --minutes 10    # as many as there is time for
    python -m benchmarks.worlds --world '{...}'               # one world, replayed
    python -m benchmarks.worlds --mistakes                    # how soon mistakes made on purpose are found

Exit 0 only if no world breaks, or each mistake is found. CPU: about two seconds a world of 6 gateways.
"""

from __future__ import annotations

import sys
import time
from collections import Counter, deque
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import Future, ProcessPoolExecutor
from functools import partial
from itertools import count
from typing import TypeVar

import click
import msgspec

from ochrecourse.lab.fleet_world import World
from ochrecourse.lab.mistakes import MISTAKES, made
from ochrecourse.lab.search import breaks, command, draw, found, shrink, size

MOST = 60  # plays that shrinking one world may take
AHEAD = 2  # worlds a worker that wait for it
UNTIL_FOUND = 200  # worlds in which a mistake must show

Got = TypeVar("Got")


def look(seed: int, gateways: int, nodes: int, slow_disks: bool) -> tuple[int, list[str], list[str]]:
    """How a seed's world breaks, and the words of it."""
    return seed, *found(draw(seed, gateways, nodes, slow_disks=slow_disks))


def smallest(world: World, kind: str) -> World:
    return shrink(world, breaks(kind), MOST)


def shows(name: str, seeds: Iterable[int]) -> tuple[int, str, float]:
    """The first seed whose world shows a mistake, how, and s of CPU until then; 0 if none does."""
    began = time.process_time()
    with made(name):
        for seed in seeds:
            for kind in found(draw(seed, slow_disks=MISTAKES[name].slow_disks))[0]:
                if kind in MISTAKES[name].shown:
                    return seed, kind, time.process_time() - began
    return 0, "", time.process_time() - began


def in_order(
    pool: ProcessPoolExecutor, one: Callable[[int], Got], seeds: Iterable[int], workers: int, end: float
) -> Iterator[Got]:
    """What comes of seeds, in their order; none is begun after `end`, s of the monotonic clock."""
    out: deque[Future[Got]] = deque()
    for seed in seeds:
        if time.monotonic() >= end:
            break
        out.append(pool.submit(one, seed))
        if len(out) >= AHEAD * workers:
            yield out.popleft().result()
    for each in out:
        yield each.result()


def find_mistakes(workers: int, seeds: int) -> bool:
    """Looks for each mistake made on purpose, in the worlds of the seeds from 1 on."""
    missed = False
    with ProcessPoolExecutor(workers) as pool:
        todo = {name: pool.submit(shows, name, range(1, seeds + 1)) for name in MISTAKES}
        for name, found in todo.items():
            seed, kind, took = found.result()
            missed |= not seed
            click.echo(f"{name:20} {f'seed {seed}: {kind}' if seed else 'not found':40} {took:6.1f} s of CPU")
    return not missed


@click.command()
@click.option("--seeds", default=100, help="How many worlds at the most; 0 with --minutes: any number.")
@click.option("--minutes", default=0.0, help="None is begun after so long; 0: no such end.")
@click.option("--first", default=1, help="The first seed.")
@click.option("--gateways", default=6)
@click.option("--nodes", default=0, help="0: as many as gateways, 48 at the most.")
@click.option("--workers", default=4)
@click.option("--shrinks", default=3, help="Worlds of each way to break that are shrunk.")
@click.option("--world", default="", help="Replays this one.")
@click.option("--slow-disks", is_flag=True, help="Operations on journals take a drawn time.")
@click.option("--mistakes", is_flag=True, help="Looks for mistakes made on purpose instead.")
def main(
    seeds: int, minutes: float, first: int, gateways: int, nodes: int, workers: int, shrinks: int, world: str,
    slow_disks: bool, mistakes: bool,
) -> None:  # fmt: skip
    if world:
        kinds, lines = found(msgspec.json.decode(world, type=World))
        for line in lines or ["nothing broke"]:
            click.echo(line)
        sys.exit(bool(kinds))
    if mistakes:
        sys.exit(not find_mistakes(workers, UNTIL_FOUND))
    nodes = nodes or min(48, max(6, gateways // 2 * 2))
    began, played = time.monotonic(), 0
    broken: list[tuple[int, list[str], list[str]]] = []
    counts: Counter[str] = Counter()
    with ProcessPoolExecutor(workers) as pool:
        one = partial(look, gateways=gateways, nodes=nodes, slow_disks=slow_disks)
        numbers = count(first) if minutes and seeds <= 0 else range(first, first + seeds)
        end = began + 60 * minutes if minutes else float("inf")
        for seed, kinds, lines in in_order(pool, one, numbers, workers, end):
            played += 1
            if kinds:
                broken.append((seed, kinds, lines))
                click.echo(f"seed {seed}: {', '.join(kinds)}: {lines[0]}", nl=True)
        took = time.monotonic() - began
        click.echo(
            f"{played} worlds of {gateways} gateways, seeds {first} to {first + played - 1}, in {took:.0f} s, "
            f"{len(broken)} broke"
        )
        todo = []
        for seed, kinds, _ in broken:
            kind = kinds[0]
            counts[kind] += 1
            if counts[kind] <= shrinks:
                drawn = draw(seed, gateways, nodes, slow_disks=slow_disks)
                todo.append((seed, kind, pool.submit(smallest, drawn, kind)))
        for seed, kind, least in todo:
            faults, left, length = size(least.result())
            click.echo(f"seed {seed}, {kind}: {faults} faults, {left} gateways, {length:g} s")
            click.echo(f"    {command(least.result())}")
    sys.exit(bool(broken))


if __name__ == "__main__":
    main()
