"""Runs one scenario for `day run` and `day from-bench`, checks the seven rules and prints the result."""

from __future__ import annotations

import json
import shutil
import sys
import tempfile
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NoReturn

import click

from ochrecourse.lab.day import Day

EXIT_BROKEN = 1
MAX_FAULTS_SHOWN = 20
MAX_BREACHES_SHOWN = 5
CLIENT_COUNT_PREFIX = "clients:"


@dataclass(slots=True)
class DayRunOptions:
    """How to run a scenario. `keep`: folder for files to retain; `users`: number of WebDAV users, or 0."""

    virtual: bool
    keep: Path | None
    as_json: bool
    users: int = 0


@dataclass(slots=True)
class FinishedRun:
    """The results of a run, before the rules are checked. `users`: the emulated WebDAV users, if any."""

    outcomes: Any
    requests: int
    records: list[Any]
    counts: dict[str, int]
    users: Any
    faults: list[str] = field(default_factory=list)


@dataclass(slots=True)
class JudgedRun:
    """A run and the result of the rules. `unanswered`: requests without an outcome, or unfinished users."""

    scenario: Day
    run: FinishedRun
    rules: Any
    unanswered: int

    @property
    def broken(self) -> bool:
        """Whether a rule was broken, a request was not answered or the run reported a fault."""
        return not self.rules.passes() or bool(self.unanswered) or bool(self.run.faults)


def run_day(scenario: Day, options: DayRunOptions) -> NoReturn:
    """Runs a scenario and prints the result; exits with code 0 if every rule was kept, otherwise 1."""
    folder = options.keep or Path(tempfile.mkdtemp(prefix="ochrecourse-"))
    folder.mkdir(parents=True, exist_ok=True)
    run = _run_virtual(scenario, options) if options.virtual else _run_real(scenario, folder, options.users)
    judged = _judge(scenario, run, options.users)
    if options.as_json:
        click.echo(json.dumps(_result_map(judged)))
    else:
        _print_result(judged, options, folder)
    if not options.keep and not judged.broken:
        shutil.rmtree(folder, ignore_errors=True)
    sys.exit(EXIT_BROKEN if judged.broken else 0)


def _run_virtual(scenario: Day, options: DayRunOptions) -> FinishedRun:
    """Runs a scenario in this process, on a virtual clock."""
    from ochrecourse.audit.records import encode
    from ochrecourse.lab.play import VirtualPlay

    play = VirtualPlay(scenario, people=options.users)
    played = play.run()
    if options.keep:
        lines = b"".join(encode(record) + b"\n" for record in played.records)
        (options.keep / "records.jsonl").write_bytes(lines)
    return FinishedRun(played.outcomes, played.calls, played.records, played.counts, play.people)


def _run_real(scenario: Day, folder: Path, users: int) -> FinishedRun:
    """Runs a scenario with gateways and nodes as separate processes on loopback sockets."""
    from ochrecourse.common.monotonic_reactor import (
        CycleCollector,
        install_monotonic_reactor,
        raise_open_file_limit,
    )

    reactor = install_monotonic_reactor()

    # Imported after the reactor is installed: these import Twisted, which would install its default reactor.
    from ochrecourse.audit.records import read
    from ochrecourse.lab.real import RealPlay

    raise_open_file_limit()
    play = RealPlay(scenario, reactor, folder, reactor.stop, users)
    play.start()
    clients: Any = play.people or play.load
    # Guards against garbage collection pauses of the clients, which they would measure as late answers.
    CycleCollector(reactor, lambda: False, lambda: clients.conns)
    reactor.run()
    counts = {f"{CLIENT_COUNT_PREFIX} {name}": count for name, count in clients.counts.items()}
    records: list[Any] = list(read(play.records()))
    return FinishedRun(clients.outcomes, len(play.calls), records, counts, play.people, play.troubles)


def _judge(scenario: Day, run: FinishedRun, users: int) -> JudgedRun:
    from ochrecourse.audit.judge import audit
    from ochrecourse.lab.figures import figures_of
    from ochrecourse.lab.people import overlapping

    rules = audit(figures_of(scenario, webdav=users > 0), run.records)
    unanswered = run.requests - sum(run.outcomes.endings.values())
    if run.users is not None:
        unanswered = len(run.users.persons) - run.users.left
        run.faults += run.users.faults + overlapping(run.records)
    return JudgedRun(scenario, run, rules, unanswered)


def _result_map(judged: JudgedRun) -> dict[str, Any]:
    """Returns the result as a map for `--json`; scripts read its keys."""
    from ochrecourse.lab.report import outcome_map

    findings = [
        {"rule": finding.rule, "tested": finding.tested, "breaches": finding.breaches}
        for finding in judged.rules.findings
    ]
    return {
        "day": judged.scenario.name,
        "seed": judged.scenario.seed,
        "kept": not judged.broken,
        "troubles": judged.run.faults,
        **outcome_map(judged.run.outcomes),
        "legs": judged.rules.attempts,
        "rules": findings,
        "counts": judged.run.counts,
    }


def _print_result(judged: JudgedRun, options: DayRunOptions, folder: Path) -> None:
    from ochrecourse.lab.report import verdict_line

    scenario, faults = judged.scenario, judged.run.faults
    _print_screen(judged)
    for text in faults[:MAX_FAULTS_SHOWN]:
        click.echo(f"trouble: {text}")
    if options.keep or judged.broken:
        click.echo(f"records, settings and logs: {folder}")
    if judged.broken:
        arguments = " --virtual" * options.virtual + f" --people {options.users}" * bool(options.users)
        click.echo(f"again: ochrecourse day run {scenario.name} --seed {scenario.seed}{arguments}")
    if faults and judged.rules.passes():
        click.echo(f"BROKEN: {faults[0]}")
    else:
        click.echo(verdict_line(judged.rules, judged.unanswered))


def _print_screen(judged: JudgedRun) -> None:
    """Prints the scenario, the outcomes, the attempts and the rules on one screen."""
    from rich.console import Console

    from ochrecourse.lab.report import outcome_lines

    scenario, rules = judged.scenario, judged.rules
    console = Console(highlight=False, soft_wrap=True)
    faults = ", ".join(f"{fault.kind} at {fault.at_s:g} s" for fault in scenario.troubles) or "nothing breaks"
    size = f"{scenario.gateways} gateways, {scenario.nodes} nodes"
    console.print(f"day          {scenario.name}, seed {scenario.seed}: {size}; {faults}")
    for line in outcome_lines(judged.run.outcomes):
        console.print(line)
    attempts_per_request = rules.attempts / max(1, rules.requests)
    console.print(
        f"legs         {rules.attempts}, {attempts_per_request:.3f} for each job that reached a gateway"
    )
    for name, count in sorted(judged.run.counts.items()):
        if name.startswith(CLIENT_COUNT_PREFIX):
            console.print(f"             {count} {name.removeprefix(f'{CLIENT_COUNT_PREFIX} ')}")
    if console.is_terminal:
        _print_rules_table(console, rules.findings)
        return
    for line in rules.lines():
        console.print(line)


def _print_rules_table(console: Any, findings: Iterable[Any]) -> None:
    from rich.table import Table

    table = Table("rule", "what it asks", "put to the test", "verdict", box=None)
    for number, finding in enumerate(findings, 1):
        breaches = len(finding.breaches)
        state = f"[red]broken {breaches} times[/red]" if breaches else "[green]kept[/green]"
        table.add_row(str(number), finding.rule, str(finding.tested), state)
    console.print(table)
    for finding in findings:
        for text in finding.breaches[:MAX_BREACHES_SHOWN]:
            console.print(f"    {text}")
