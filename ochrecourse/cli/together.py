"""`day run` for scenarios of a fleet: runs them in the mode shared, alone or both, and checks the rules.

"Shared": the gateways are members of one fleet. "Alone": the same scenario with gateways that share nothing.
"""

from __future__ import annotations

import json
import shutil
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NoReturn

import click
import msgspec

EXIT_BROKEN = 1
EXIT_BAD_CALL = 2
MAX_BREACHES_SHOWN = 5
MAX_FAULTS_SHOWN = 20
FLEET_SCENARIOS = (
    "zone-lost", "zone-cut", "sites-reconnect", "purge-night", "long-absence", "two-closes", "all-at-once",
    "rolling-upgrade", "capacity", "grey",
)  # fmt: skip


@dataclass(slots=True)
class FleetRunOptions:
    """The options of `day run` that apply to a scenario of a fleet; `gateways` None: the default number."""

    seed: int
    gateways: int | None
    keep: Path | None
    alone: bool
    beside: bool
    as_json: bool


def run_fleet_scenario(name: str, options: FleetRunOptions) -> NoReturn:
    """Exits with code 0 only if the seven rules and the requirements of the scenario were kept."""
    from ochrecourse.lab.day import BadDay
    from ochrecourse.lab.together import GATEWAYS, together

    try:
        scenario = together(name, options.seed, options.gateways or GATEWAYS)
    except BadDay as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_BAD_CALL)
    folder = options.keep or Path(tempfile.mkdtemp(prefix="ochrecourse-"))
    modes = [False, True] if options.beside else [options.alone]
    plays = play_scenario(scenario, folder, modes)
    results = [judge_play(scenario, play, alone) for play, alone in zip(plays, modes, strict=True)]
    broken = any(result["troubles"] or not result["kept"] for result in results)
    if options.as_json:
        click.echo(json.dumps(results if options.beside else results[0]))
    else:
        for result in results:
            _print_result(result)
        if options.beside:
            _print_comparison(*results)
        if options.keep or broken:
            click.echo(f"records, settings and logs: {folder}")
    if not options.keep and not broken:
        shutil.rmtree(folder, ignore_errors=True)
    sys.exit(EXIT_BROKEN if broken else 0)


def play_scenario(scenario: Any, folder: Path, modes: list[bool]) -> list[Any]:
    """Runs a scenario once for each mode (True: alone), one after the other; returns the finished runs.

    Installs the process's reactor and runs it, so it can be called only once per process.
    """
    from ochrecourse.common.monotonic_reactor import (
        CycleCollector,
        install_monotonic_reactor,
        raise_open_file_limit,
    )

    reactor = install_monotonic_reactor()

    # Imported after the reactor is installed: this imports Twisted, which would install its default reactor.
    from ochrecourse.lab.rolling_play import RollingPlay

    play_class = RollingPlay if scenario.newest else scenario.player()
    raise_open_file_limit()
    plays: list[Any] = []

    def start_next() -> None:
        if len(plays) == len(modes):
            reactor.stop()
            return
        alone = modes[len(plays)]
        play_folder = folder / ("alone" if alone else "shared")
        play_folder.mkdir(parents=True, exist_ok=True)
        plays.append(play_class(scenario, reactor, play_folder, start_next, alone))
        plays[-1].start()

    reactor.callWhenRunning(start_next)
    CycleCollector(reactor, lambda: False, lambda: sum(play.load.conns for play in plays))
    reactor.run()
    return plays


def judge_play(scenario: Any, play: Any, alone: bool) -> dict[str, Any]:
    """Returns the result of a run as a map for `--json`; scripts read its keys."""
    from ochrecourse.audit.judge import audit
    from ochrecourse.audit.records import read
    from ochrecourse.audit.fleet_state import read as read_control_answers
    from ochrecourse.common.time_units import MS
    from ochrecourse.lab.figures import figures_of
    from ochrecourse.lab.report import outcome_map
    from ochrecourse.lab.together import TRAVEL
    from ochrecourse.lab.together import came as judge_fleet

    result: dict[str, Any] = {
        "day": scenario.day.name,
        "seed": scenario.day.seed,
        "alone": alone,
        "kept": False,
        "troubles": play.troubles,
        "rules": [],
        "figures": {},
    }
    if not play.begun:
        return result
    records = list(read(play.records()))
    control_answers = read_control_answers(play.folder / "seen.jsonl")
    outcomes = play.load.outcomes
    figures = msgspec.structs.replace(figures_of(scenario.day), travel=round(TRAVEL * MS))
    seven_rules = audit(figures, records)
    fleet_rules = judge_fleet(scenario, records, control_answers, outcomes.payoff(), alone)
    findings = [*seven_rules.findings, *fleet_rules.findings]
    unanswered = len(play.load.calls) - sum(outcomes.endings.values())
    if unanswered:
        result["troubles"] = [*result["troubles"], f"{unanswered} jobs without an end"]
    result["rules"] = [
        {
            "rule": finding.rule,
            "tested": finding.tested,
            "excused": finding.excused,
            "breaches": finding.breaches,
        }
        for finding in findings
    ]
    result["figures"] = fleet_rules.figures
    result["kept"] = not any(finding.breaches for finding in findings)
    return {**result, **outcome_map(outcomes), "legs": seven_rules.attempts}


def _print_result(result: dict[str, Any]) -> None:
    mode = "nothing shared" if result["alone"] else "shared"
    click.echo(f"day          {result['day']}, seed {result['seed']}, {mode}")
    if "jobs" in result:
        endings = ", ".join(f"{count} {name}" for name, count in result["endings"].items())
        click.echo(f"jobs         {result['jobs']} in {result['tries']} tries: {endings}")
    for name, value in result["figures"].items():
        click.echo(f"             {value:g} {name}")
    for rule in result["rules"]:
        state = f"BROKEN {len(rule['breaches'])} times" if rule["breaches"] else "kept"
        click.echo(f"{state:12} {rule['rule']}: put to the test {rule['tested']} times")
        if rule["excused"]:
            click.echo(f"                 {rule['excused']} times the clients' own loop was as late")
        for text in rule["breaches"][:MAX_BREACHES_SHOWN]:
            click.echo(f"                 {text}")
    for text in result["troubles"][:MAX_FAULTS_SHOWN]:
        click.echo(f"trouble: {text}")
    click.echo("KEPT: all of it held" if result["kept"] and not result["troubles"] else "BROKEN")


def _print_comparison(shared: dict[str, Any], alone: dict[str, Any]) -> None:
    click.echo(f"{'':48} {'shared':>10} {'alone':>10}")
    for name, value in shared["figures"].items():
        if name in alone["figures"]:
            click.echo(f"{name:48} {value:>10g} {alone['figures'][name]:>10g}")
