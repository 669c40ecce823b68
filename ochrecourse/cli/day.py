"""`day list`, `day run`, `day from-bench`."""

from __future__ import annotations

import json
import shutil
import sys
import tempfile
from pathlib import Path
from typing import Any

import click
import msgspec

from ochrecourse.cli.days import day_or_exit
from ochrecourse.cli.together import TOGETHER, run_together
from ochrecourse.lab.day import BadDay, Day


@click.group()
def day() -> None:
    """List, run and convert scripted days."""


@day.command("list")
@click.option("--json", "as_json", is_flag=True, help="Each day as a JSON object.")
def list_days(as_json: bool) -> None:
    """List the built-in days."""
    from ochrecourse.lab.days import built_in, names

    for name in names():
        this = built_in(name)
        if as_json:
            click.echo(msgspec.json.encode(this).decode())
        else:
            kinds = ", ".join(each.kind for each in this.troubles) or "nothing breaks"
            click.echo(
                f"{name:14} {this.length_s:4.0f} s, {this.gateways} gateways, {this.nodes} nodes: {kinds}"
            )
    if not as_json:
        for name in TOGETHER:
            click.echo(f"{name:15} a day of a fleet, with a breaker between every two gateways")


@day.command()
@click.argument("name")
@click.option("--seed", default=None, type=int, help="The day's seed, in place of its own.")
@click.option("--gateways", default=None, type=int, help="Gateways, in place of the day's own number.")
@click.option(
    "--virtual", is_flag=True, help="In one process on a virtual clock; the same seed gives the same run."
)
@click.option("--people", default=0, help="So many at the WebDAV doors, in place of the day's clients.")
@click.option(
    "--keep", type=click.Path(path_type=Path), help="Keep records, settings and logs in this folder."
)
@click.option("--alone", is_flag=True, help="A day of a fleet, with gateways that share nothing.")
@click.option("--beside", is_flag=True, help="A day of a fleet, shared and alone, and both side by side.")
@click.option("--json", "as_json", is_flag=True, help="Outcomes and findings as JSON.")
def run(
    name: str,
    seed: int | None,
    gateways: int | None,
    virtual: bool,
    people: int,
    keep: Path | None,
    alone: bool,
    beside: bool,
    as_json: bool,
) -> None:
    """Run the day NAME (built in, or a file) and judge it; exit code 0 only if every rule held.

    zone-lost, zone-cut, sites-reconnect and purge-night are days of a fleet: gateways that act as one, with a
    breaker between every two of them. They are judged by more than the seven rules (docs/days.md).

    Without --virtual, gateways and nodes are processes of their own on loopback sockets.
    """
    if name in TOGETHER and not (virtual or people):
        run_together(name, seed or 1, gateways, keep, alone, beside, as_json)
    this = day_or_exit(name, seed)
    if gateways is not None:
        this = msgspec.structs.replace(this, gateways=gateways)
    play(this, virtual, keep, as_json, people)


@day.command("from-bench")
@click.argument("file", type=click.Path(path_type=Path))
@click.option(
    "--write",
    "to",
    type=click.Path(path_type=Path),
    help="Write the day to this file in place of running it.",
)
@click.option("--virtual", is_flag=True, help="In one process on a virtual clock.")
@click.option("--seconds", default=None, type=float, help="Play only the day's first seconds.")
@click.option(
    "--keep", type=click.Path(path_type=Path), help="Keep records, settings and logs in this folder."
)
@click.option("--json", "as_json", is_flag=True, help="Outcomes and findings as JSON.")
def from_bench(
    file: Path, to: Path | None, virtual: bool, seconds: float | None, keep: Path | None, as_json: bool
) -> None:
    """Turn the bench's day FILE into a day of ours, and run it: its sizes, plans, traffic and troubles."""
    from ochrecourse.lab.bench_day import from_bench_file

    try:
        this = from_bench_file(file)
    except BadDay as trouble:
        click.echo(str(trouble), err=True)
        sys.exit(2)
    if seconds is not None:
        this = msgspec.structs.replace(this, length_s=min(seconds, this.length_s))
    if to is not None:
        to.write_bytes(msgspec.json.format(msgspec.json.encode(this)))
    else:
        play(this, virtual, keep, as_json)


def play(this: Day, virtual: bool, keep: Path | None, as_json: bool, people: int = 0) -> None:
    """Runs a day, prints what came of it, and ends the command: 0 kept, 1 broken."""
    from ochrecourse.audit.judge import audit
    from ochrecourse.audit.records import encode, read
    from ochrecourse.lab.figures import figures_of
    from ochrecourse.lab.people import overlapping
    from ochrecourse.lab.report import outcome_map, verdict_line

    folder = keep or Path(tempfile.mkdtemp(prefix="ochrecourse-"))
    folder.mkdir(parents=True, exist_ok=True)
    troubles: list[str] = []
    counts: dict[str, int] = {}
    if virtual:
        from ochrecourse.lab.play import VirtualPlay

        run = VirtualPlay(this, people=people)
        played, crowd = run.run(), run.people
        outcomes, calls, counts = played.outcomes, played.calls, played.counts
        records: list[Any] = played.records
        if keep:
            (folder / "records.jsonl").write_bytes(b"".join(encode(each) + b"\n" for each in played.records))
    else:
        real = _play_real(this, folder, people)
        clients, crowd = real.people or real.load, real.people
        outcomes, calls, troubles = clients.outcomes, len(real.calls), real.troubles
        counts = {f"clients: {name}": count for name, count in clients.counts.items()}
        records = list(read(real.records()))
    verdict = audit(figures_of(this, webdav=people > 0), records)
    open_jobs = calls - sum(outcomes.endings.values())
    if crowd is not None:
        open_jobs = len(crowd.persons) - crowd.left  # people that still wait for an answer
        troubles += crowd.faults + overlapping(records)
    broken = not verdict.kept() or bool(open_jobs) or bool(troubles)
    if as_json:
        findings = [{"rule": e.rule, "tested": e.tested, "breaches": e.breaches} for e in verdict.findings]
        told: dict[str, Any] = {"day": this.name, "seed": this.seed, "kept": not broken, "troubles": troubles}
        click.echo(
            json.dumps(
                {**told, **outcome_map(outcomes), "legs": verdict.legs, "rules": findings, "counts": counts}
            )
        )
    else:
        _show(this, outcomes, verdict, counts)
        for text in troubles[:20]:
            click.echo(f"trouble: {text}")
        if keep or broken:
            click.echo(f"records, settings and logs: {folder}")
        if broken:
            more = " --virtual" * virtual + f" --people {people}" * bool(people)
            click.echo(f"again: ochrecourse day run {this.name} --seed {this.seed}{more}")
        click.echo(
            f"BROKEN: {troubles[0]}" if troubles and verdict.kept() else verdict_line(verdict, open_jobs)
        )
    if not keep and not broken:
        shutil.rmtree(folder, ignore_errors=True)
    sys.exit(1 if broken else 0)


def _play_real(this: Day, folder: Path, people: int) -> Any:
    from ochrecourse.common.monotonic_reactor import (
        CycleCollector,
        raise_open_file_limit,
        install_monotonic_reactor,
    )

    reactor = install_monotonic_reactor()
    from ochrecourse.lab.real import RealPlay

    raise_open_file_limit()
    real = RealPlay(this, reactor, folder, reactor.stop, people)
    real.start()
    clients = real.people or real.load
    CycleCollector(reactor, lambda: False, lambda: clients.conns)  # clients that stand still see late answers
    reactor.run()
    return real


def _show(this: Day, outcomes: Any, verdict: Any, counts: dict[str, int]) -> None:
    """One screen: what was asked, what came of it, the rules."""
    from rich.console import Console
    from rich.table import Table

    from ochrecourse.lab.report import outcome_lines

    console = Console(highlight=False, soft_wrap=True)
    kinds = ", ".join(f"{each.kind} at {each.at_s:g} s" for each in this.troubles) or "nothing breaks"
    console.print(
        f"day          {this.name}, seed {this.seed}: {this.gateways} gateways, {this.nodes} nodes; {kinds}"
    )
    for line in outcome_lines(outcomes):
        console.print(line)
    legs = verdict.legs / max(1, verdict.jobs)
    console.print(f"legs         {verdict.legs}, {legs:.3f} for each job that reached a gateway")
    for name, count in sorted(counts.items()):
        if name.startswith("clients:"):
            console.print(f"             {count} {name.removeprefix('clients: ')}")
    if not console.is_terminal:
        for line in verdict.lines():
            console.print(line)
        return
    table = Table("rule", "what it asks", "put to the test", "verdict", box=None)
    for number, each in enumerate(verdict.findings, 1):
        state = f"[red]broken {len(each.breaches)} times[/red]" if each.breaches else "[green]kept[/green]"
        table.add_row(str(number), each.rule, str(each.tested), state)
    console.print(table)
    for each in verdict.findings:
        for text in each.breaches[:5]:
            console.print(f"    {text}")
