"""What it costs and brings that gateways act as one: figures at several sizes, sharing on beside off.

    python -m benchmarks.fleet --sizes 12,48,190 --seeds 8,4,2 --workers 4

One world a seed: a zone of three lost (nodes and gateways lose power) at 15 s for 20 s, back cold, 25 s more; the
same world with each gateway alone, and with each alone and told the truth at once (lab/fleet_told.py), which is the
best that bounds can do. Beside it, with nothing broken, the CPU of a job with the part on against
off, in turns on one process. All on the virtual network, with the daemon as it ships.
"""

from __future__ import annotations

import math
import os
import resource
import statistics
import time
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context

import click

from ochrecourse.lab.fleet_judge import judge
from ochrecourse.lab.fleet_play import FleetPlay
from ochrecourse.lab.fleet_told import ToldPlay
from ochrecourse.lab.fleet_told import figures as figures_of_loss
from ochrecourse.lab.fleet_world import Fault, World
from ochrecourse.lab.load import schedule

LOST = Fault(kind="zone_lost", at_s=15.0, len_s=20.0, zone=1)
LENGTH = 60.0
CALM = 5.0  # s of a world in which nothing breaks
BUSY = 100.0  # jobs a second a gateway where the CPU of a job is compared; a tenth of its core
LARGE = 100  # gateways from which on a beat is a second: a row of each to each at each beat is what costs
# Of the part `zones`, in ms, where a beat is a second: a sign of life lasts two beats, a turn is a beat.
SLOW_BEAT = {"life": 2000.0, "turn": 1000.0}
SHAPES = {12: (12, 120.0), 48: (24, 240.0), 190: (36, 380.0)}  # nodes and jobs a second


def world(gateways: int, seed: int, sharing: bool) -> World:
    nodes, jobs = SHAPES.get(gateways, (max(6, gateways // 6 * 2), 2.0 * gateways + 100))
    large = gateways >= LARGE
    return World(
        seed=seed, gateways=gateways, nodes=nodes, jobs=jobs, sharing=sharing, notes=False,
        length_s=LENGTH, faults=(LOST,),
        beat_ms=1000.0 if large else 250.0, quiet_ms=4000.0 if large else 2000.0,
        figures=SLOW_BEAT if large and sharing else {},
    )  # fmt: skip


ALONE, TOGETHER, TOLD = "alone", "together", "told"


def one(task: tuple[int, int, str]) -> tuple[int, int, str, dict[str, float], list[str]]:
    """A world's figures and what it broke."""
    gateways, seed, how = task
    kind = ToldPlay if how == TOLD else FleetPlay
    play = kind(world(gateways, seed, how == TOGETHER))
    began = time.process_time()
    play.run()
    cpu = time.process_time() - began
    judged = judge(play)
    # At rest: the seconds before the zone is lost.
    rest = range(8, int(14 / 0.25))
    per = gateways * len(rest) * 0.25
    figures = {
        **judged.figures,
        **figures_of_loss(play, judged.figures["one_standing_s"]),
        "cpu_s": cpu,
        "rss_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
        "rest_bytes": sum(play.seen.by_bin[i] for i in rest) / per,
        "rest_writes": sum(play.seen.writes_by_bin[i] for i in rest) / per,
    }
    return gateways, seed, how, figures, judged.kinds() + judged.lines()[:2]


def cost(gateways: int) -> tuple[int, float, float]:
    """CPU a job in ms, off and on, at `BUSY` jobs a second a gateway, in turns; medians of three."""
    spent: dict[bool, list[float]] = {False: [], True: []}
    for turn in range(3):
        for sharing in (False, True):
            calm = World(
                seed=turn + 1, gateways=gateways, nodes=gateways, jobs=BUSY * gateways, sharing=sharing,
                notes=False, length_s=CALM,
            )  # fmt: skip
            play = FleetPlay(calm)
            for seat in play.seats:
                seat.start()
            play.load.connect()
            play.network.advance(2.0)
            play.began = play.network.seconds()
            calls = schedule(play.day)
            began = time.process_time()
            play.load.start(calls)
            play.network.advance(CALM)
            spent[sharing].append((time.process_time() - began) / len(calls) * 1000)
    return gateways, statistics.median(spent[False]), statistics.median(spent[True])


def spread(values: Sequence[float]) -> str:
    """Median and 99th percentile by nearest rank: of fewer than 100 seeds the largest."""
    ranked = sorted(values)
    return f"{statistics.median(ranked):.2f} / {ranked[math.ceil(0.99 * len(ranked)) - 1]:.2f}"


ROWS = (
    ("s to one standing", "one_standing_s"), ("s until 95% of legs are away", "away_s"),
    ("payoff, 60 s around the loss", "payoff_around"), ("payoff while lost", "payoff_lost"),
    ("payoff, 20 s after the return", "payoff_after"), ("payoff while its nodes are cold", "payoff_cold"),
    ("s to full service after the return", "full_s"), ("least that the cold limits allow", "least_full_s"),
    ("of what the limits allow there, used", "cold_used"),
    ("of all legs, at the lost zone once left", "tried"),
    ("loans in the log", "loans"), ("bytes of loans", "loan_bytes"),
    ("largest sum at a cold node, of what fells it", "cold_share"),
    ("denied or failed though held elsewhere", "denied_though_held"),
    ("bytes a gateway a second, at rest", "rest_bytes"), ("messages a gateway a second, at rest", "rest_writes"),
    ("bytes in the worst second", "link_bytes_trouble"), ("messages in the worst second", "link_writes_trouble"),
    ("CPU s of the world", "cpu_s"), ("MB of the process", "rss_mb"),
)  # fmt: skip


@click.command()
@click.option("--sizes", default="12,48,190")
@click.option("--seeds", default="8,4,2", help="How many, by size.")
@click.option("--workers", default=4)
@click.option("--costs/--no-costs", default=True)
def main(sizes: str, seeds: str, workers: int, costs: bool) -> None:
    counts = dict(zip(map(int, sizes.split(",")), map(int, seeds.split(",")), strict=True))
    tasks = [
        (gateways, seed, how)
        for gateways, count in sorted(counts.items(), reverse=True)
        for seed in range(1, count + 1)
        for how in (TOGETHER, ALONE, TOLD)
    ]
    click.echo(f"{os.cpu_count()} cores, {workers} workers; median / 99th percentile over the seeds")
    with ProcessPoolExecutor(workers, mp_context=get_context("spawn"), max_tasks_per_child=1) as pool:
        done = list(pool.map(one, tasks))
        for gateways in sorted(counts):
            click.echo(f"{gateways} gateways, {counts[gateways]} seeds: alone, together, told the truth")
            for words, name in ROWS:
                told = [
                    spread([f[name] for g, _, its, f, _ in done if g == gateways and its == how])
                    for how in (ALONE, TOGETHER, TOLD)
                ]
                click.echo(f"  {words:48} {told[0]:>18} {told[1]:>18} {told[2]:>18}")
            for g, seed, how, _, broken in done:
                if g == gateways and broken:
                    click.echo(f"  BROKEN seed {seed} {how}: {broken}")
        if costs:
            for gateways, off, on in pool.map(cost, [each for each in sorted(counts) if each < LARGE]):
                click.echo(
                    f"{gateways} gateways, CPU a job: {off:.3f} ms off, {on:.3f} ms on: {on / off:.2f}"
                )


if __name__ == "__main__":
    main()
