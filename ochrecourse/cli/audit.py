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
@click.option(
    "--webdav", is_flag=True, help="The clients were people at WebDAV doors; also look for overlapping legs."
)
@click.option("--json", "as_json", is_flag=True, help="The findings as JSON.")
def audit_records(
    records: tuple[Path, ...], name: str, seed: int | None, webdav: bool, as_json: bool
) -> None:
    """Judge the seven rules from RECORDS, as nodes and load wrote them; exit code 1 if one is broken.

    With --webdav, a request that had two legs out at once counts too, whichever jobs these belonged to.
    """
    from ochrecourse.audit.judge import SHOWN, audit
    from ochrecourse.audit.records import BadRecord, read
    from ochrecourse.lab.figures import figures_of
    from ochrecourse.lab.people import overlapping

    try:
        every = list(read(records))
    except BadRecord as trouble:
        click.echo(str(trouble), err=True)
        sys.exit(2)
    verdict = audit(figures_of(day_or_exit(name, seed), webdav), every)
    beside = overlapping(every) if webdav else []
    if as_json:
        click.echo(
            json.dumps(
                {
                    "jobs": verdict.jobs,
                    "answered": verdict.answered,
                    "legs": verdict.legs,
                    "overlapping": beside,
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
        for text in beside[:SHOWN]:
            click.echo(text)
        if webdav:
            click.echo(f"requests with two legs out at once: {len(beside)}")
    sys.exit(0 if verdict.kept() and not beside else 1)
