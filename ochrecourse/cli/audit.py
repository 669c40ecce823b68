"""`audit`: judges the rules from records."""

from __future__ import annotations

import json
import sys
from pathlib import Path

import click

from ochrecourse.cli.days import day_or_exit


@click.command("audit")
@click.argument("records", nargs=-1, required=True, type=click.Path(path_type=Path, exists=True))
@click.option(
    "--day", "name", required=True, help="The day whose stated figures hold: a built-in name or a file."
)
@click.option("--seed", default=None, type=int, help="The day's seed, in place of its own.")
@click.option("--json", "as_json", is_flag=True, help="The findings as JSON.")
def audit_records(records: tuple[Path, ...], name: str, seed: int | None, as_json: bool) -> None:
    """Judge the seven rules from RECORDS, as nodes and load wrote them; exit code 1 if one is broken."""
    from ochrecourse.audit.judge import audit
    from ochrecourse.audit.records import BadRecord, read
    from ochrecourse.lab.figures import figures_of

    try:
        verdict = audit(figures_of(day_or_exit(name, seed)), read(records))
    except BadRecord as trouble:
        click.echo(str(trouble), err=True)
        sys.exit(2)
    if as_json:
        click.echo(
            json.dumps(
                {
                    "jobs": verdict.jobs,
                    "answered": verdict.answered,
                    "legs": verdict.legs,
                    "rules": [
                        {"rule": each.rule, "tested": each.tested, "breaches": each.breaches}
                        for each in verdict.findings
                    ],
                }
            )
        )
    else:
        for line in verdict.lines():
            click.echo(line)
    sys.exit(0 if verdict.kept() else 1)
