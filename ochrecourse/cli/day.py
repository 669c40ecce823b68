"""`day list`, `day run`, `day from-bench`: lists, runs and converts scripted scenarios."""

from __future__ import annotations

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import click
import msgspec

from ochrecourse.cli.day_run import DayRunOptions, run_day
from ochrecourse.cli.days import day_or_exit
from ochrecourse.cli.together import FLEET_SCENARIOS, FleetRunOptions, run_fleet_scenario
from ochrecourse.lab.day import BadDay

EXIT_BAD_CALL = 2
DEFAULT_FLEET_SEED = 1

keep_option = click.option(
    "--keep", type=click.Path(path_type=Path), help="Keep records, settings and logs in this folder."
)
json_option = click.option("--json", "as_json", is_flag=True, help="Outcomes and findings as JSON.")


@click.group()
def day() -> None:
    """List, run and convert scripted days."""


@day.command("list")
@click.option("--json", "as_json", is_flag=True, help="Each day as a JSON object.")
def list_days(as_json: bool) -> None:
    """List the built-in days."""
    from ochrecourse.lab.days import built_in, names

    for name in names():
        scenario = built_in(name)
        if as_json:
            click.echo(msgspec.json.encode(scenario).decode())
            continue
        faults = ", ".join(fault.kind for fault in scenario.troubles) or "nothing breaks"
        size = f"{scenario.length_s:4.0f} s, {scenario.gateways} gateways, {scenario.nodes} nodes"
        click.echo(f"{name:14} {size}: {faults}")
    if not as_json:
        for name in FLEET_SCENARIOS:
            click.echo(f"{name:15} a day of a fleet, with a breaker between every two gateways")


@dataclass(slots=True)
class _RunCommand:
    """The options of `day run`; None keeps the value of the scenario."""

    seed: int | None
    gateways: int | None
    virtual: bool
    users: int
    keep: Path | None
    alone: bool
    beside: bool
    as_json: bool


@day.command("run")
@click.argument("name")
@click.option("--seed", default=None, type=int, help="The day's seed, in place of its own.")
@click.option("--gateways", default=None, type=int, help="Gateways, in place of the day's own number.")
@click.option(
    "--virtual", is_flag=True, help="In one process on a virtual clock; the same seed gives the same run."
)
@click.option(
    "--people", "users", default=0, help="So many at the WebDAV doors, in place of the day's clients."
)
@keep_option
@click.option("--alone", is_flag=True, help="A day of a fleet, with gateways that share nothing.")
@click.option("--beside", is_flag=True, help="A day of a fleet, shared and alone, and both side by side.")
@json_option
def run(name: str, **options: Any) -> None:
    """Run the day NAME (built in, or a file) and judge it; exit code 0 only if every rule held.

    zone-lost, zone-cut, sites-reconnect and purge-night are days of a fleet: gateways that act as one, with a
    breaker between every two of them. They are judged by more than the seven rules (docs/days.md).

    Without --virtual, gateways and nodes are processes of their own on loopback sockets.
    """
    command = _RunCommand(**options)
    if name in FLEET_SCENARIOS and not (command.virtual or command.users):
        seed = command.seed or DEFAULT_FLEET_SEED
        fleet_options = FleetRunOptions(
            seed, command.gateways, command.keep, command.alone, command.beside, command.as_json
        )
        run_fleet_scenario(name, fleet_options)
    scenario = day_or_exit(name, command.seed)
    if command.gateways is not None:
        scenario = msgspec.structs.replace(scenario, gateways=command.gateways)
    run_day(scenario, DayRunOptions(command.virtual, command.keep, command.as_json, command.users))


@day.command("from-bench")
@click.argument("file", type=click.Path(path_type=Path))
@click.option(
    "--write",
    "output",
    type=click.Path(path_type=Path),
    help="Write the day to this file in place of running it.",
)
@click.option("--virtual", is_flag=True, help="In one process on a virtual clock.")
@click.option("--seconds", default=None, type=float, help="Play only the day's first seconds.")
@keep_option
@json_option
def from_bench(file: Path, output: Path | None, seconds: float | None, **options: Any) -> None:
    """Turn the bench's day FILE into a day of ours, and run it: its sizes, plans, traffic and troubles."""
    from ochrecourse.lab.bench_day import from_bench_file

    try:
        scenario = from_bench_file(file)
    except BadDay as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_BAD_CALL)
    if seconds is not None:
        scenario = msgspec.structs.replace(scenario, length_s=min(seconds, scenario.length_s))
    if output is not None:
        output.write_bytes(msgspec.json.format(msgspec.json.encode(scenario)))
    else:
        run_day(scenario, DayRunOptions(**options))
