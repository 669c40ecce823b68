"""What jobs get while two sites catch up after a long absence: the day `long-absence` beside itself without backlog.

    python -m benchmarks.absence_day --seeds 1,2,3

Each day as processes on loopback, in turns (with, without), some 40 s each; median and spread over the seeds. Ends
with 1 where a day broke what it asks.
"""

from __future__ import annotations

import json
import os
import statistics
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

import click

ROWS = (
    "jobs while the sites catch up", "payoff in time while they catch up", "share late or never while they catch up",
    "ms of a job, 99th, while they catch up", "payoff in time", "entries of the backlog", "entries marked late",
)  # fmt: skip


def one(seed: int, gateways: int, backlog: bool) -> dict[str, Any]:
    """Plays one day in this process, whose reactor runs once."""
    from ochrecourse.cli.together import judge_play, play_scenario
    from ochrecourse.lab.worse_absence import long_absence

    this = long_absence(seed, gateways, backlog)
    with tempfile.TemporaryDirectory(prefix="ochrecourse-") as folder:
        (run,) = play_scenario(this, Path(folder), [False])
        return judge_play(this, run, False)


@click.command()
@click.option("--seeds", default="1,2,3")
@click.option("--gateways", default=6)
@click.option("--only", type=(int, bool), default=None, hidden=True)
def main(seeds: str, gateways: int, only: tuple[int, bool] | None) -> None:
    if only is not None:
        click.echo(json.dumps(one(only[0], gateways, only[1])))
        return
    click.echo(
        f"{os.cpu_count()} cores, load {os.getloadavg()[0]:.1f}, {gateways} gateways; median, least and largest"
    )
    told: dict[bool, list[dict[str, Any]]] = {True: [], False: []}
    for seed in map(int, seeds.split(",")):
        for backlog in (True, False):
            again = [sys.executable, "-m", "benchmarks.absence_day", "--gateways", str(gateways)]
            ran = subprocess.run([*again, "--only", str(seed), str(backlog)], capture_output=True, text=True)
            told[backlog].append(json.loads(ran.stdout.splitlines()[-1]))
    click.echo(f"{'':42} {'with backlog':>24} {'without':>24}")
    for name in ROWS:
        shown = []
        for days in told.values():
            values = [day["figures"].get(name, 0.0) for day in days]
            shown.append(f"{statistics.median(values):g} ({min(values):g} {max(values):g})")
        click.echo(f"{name:42} {shown[0]:>24} {shown[1]:>24}")
    broken = [day for days in told.values() for day in days if day["troubles"] or not day["kept"]]
    for day in broken:
        click.echo(
            f"BROKEN seed {day['seed']}: {day['troubles']} {[r for r in day['rules'] if r['breaches']]}"
        )
    sys.exit(bool(broken))


if __name__ == "__main__":
    main()
