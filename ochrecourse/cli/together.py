"""`day run` for days of a fleet: plays them shared, alone or both, judges them and prints what came of it."""

from __future__ import annotations

import json
import shutil
import sys
import tempfile
from pathlib import Path
from typing import Any, NoReturn

import click
import msgspec

TOGETHER = (
    "zone-lost", "zone-cut", "sites-reconnect", "purge-night", "long-absence", "two-closes", "all-at-once",
    "rolling-upgrade", "capacity", "grey",
)  # fmt: skip


def run_together(
    name: str, seed: int, gateways: int | None, keep: Path | None, alone: bool, beside: bool, as_json: bool
) -> NoReturn:
    """Ends the command: 0 only if the seven rules and what the day asks held."""
    from ochrecourse.lab.day import BadDay
    from ochrecourse.lab.together import GATEWAYS, together

    try:
        this = together(name, seed, gateways or GATEWAYS)
    except BadDay as trouble:
        click.echo(str(trouble), err=True)
        sys.exit(2)
    folder = keep or Path(tempfile.mkdtemp(prefix="ochrecourse-"))
    forms = [False, True] if beside else [alone]
    played = _play(this, folder, forms)
    told = [_judged(this, run, form) for run, form in zip(played, forms, strict=True)]
    broken = any(each["troubles"] or not each["kept"] for each in told)
    if as_json:
        click.echo(json.dumps(told if beside else told[0]))
    else:
        for each in told:
            _show(each)
        if beside:
            _show_beside(*told)
        if keep or broken:
            click.echo(f"records, settings and logs: {folder}")
    if not keep and not broken:
        shutil.rmtree(folder, ignore_errors=True)
    sys.exit(1 if broken else 0)


def _play(this: Any, folder: Path, forms: list[bool]) -> list[Any]:
    from ochrecourse.common.monotonic_reactor import (
        CycleCollector,
        raise_open_file_limit,
        install_monotonic_reactor,
    )

    reactor = install_monotonic_reactor()
    from ochrecourse.lab.rolling_play import RollingPlay

    player = RollingPlay if this.newest else this.player()
    raise_open_file_limit()
    plays: list[Any] = []

    def next_one() -> None:
        if len(plays) == len(forms):
            reactor.stop()
            return
        alone = forms[len(plays)]
        place = folder / ("alone" if alone else "shared")
        place.mkdir(parents=True, exist_ok=True)
        plays.append(player(this, reactor, place, next_one, alone))
        plays[-1].start()

    reactor.callWhenRunning(next_one)
    CycleCollector(reactor, lambda: False, lambda: sum(play.load.conns for play in plays))
    reactor.run()
    return plays


def _judged(this: Any, run: Any, alone: bool) -> dict[str, Any]:
    from ochrecourse.audit.judge import audit
    from ochrecourse.audit.records import read
    from ochrecourse.audit.together import read as read_held
    from ochrecourse.lab.figures import figures_of
    from ochrecourse.lab.report import outcome_map
    from ochrecourse.lab.together import TRAVEL, came
    from ochrecourse.common.time_units import MS

    told: dict[str, Any] = {"day": this.day.name, "seed": this.day.seed, "alone": alone, "kept": False}
    told |= {"troubles": run.troubles, "rules": [], "figures": {}}
    if not run.begun:
        return told
    records = list(read(run.records()))
    figures = msgspec.structs.replace(figures_of(this.day), travel=round(TRAVEL * MS))
    verdict = audit(figures, records)
    beyond = came(this, records, read_held(run.folder / "seen.jsonl"), run.load.outcomes.payoff(), alone)
    findings = [*verdict.findings, *beyond.findings]
    open_jobs = len(run.load.calls) - sum(run.load.outcomes.endings.values())
    if open_jobs:
        told["troubles"] = [*told["troubles"], f"{open_jobs} jobs without an end"]
    told["rules"] = [{"rule": e.rule, "tested": e.tested, "breaches": e.breaches} for e in findings]
    told["figures"] = beyond.figures
    told["kept"] = not any(each.breaches for each in findings)
    return {**told, **outcome_map(run.load.outcomes), "legs": verdict.legs}


def _show(told: dict[str, Any]) -> None:
    form = "nothing shared" if told["alone"] else "shared"
    click.echo(f"day          {told['day']}, seed {told['seed']}, {form}")
    if "jobs" in told:
        endings = ", ".join(f"{count} {name}" for name, count in told["endings"].items())
        click.echo(f"jobs         {told['jobs']} in {told['tries']} tries: {endings}")
    for name, value in told["figures"].items():
        click.echo(f"             {value:g} {name}")
    for each in told["rules"]:
        state = f"BROKEN {len(each['breaches'])} times" if each["breaches"] else "kept"
        click.echo(f"{state:12} {each['rule']}: put to the test {each['tested']} times")
        for text in each["breaches"][:5]:
            click.echo(f"                 {text}")
    for text in told["troubles"][:20]:
        click.echo(f"trouble: {text}")
    click.echo("KEPT: all of it held" if told["kept"] and not told["troubles"] else "BROKEN")


def _show_beside(shared: dict[str, Any], alone: dict[str, Any]) -> None:
    click.echo(f"{'':48} {'shared':>10} {'alone':>10}")
    for name, value in shared["figures"].items():
        if name in alone["figures"]:
            click.echo(f"{name:48} {value:>10g} {alone['figures'][name]:>10g}")
