"""`audit`: checks the seven rules against the records of a run."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

import click

from ochrecourse.cli.days import day_or_exit

EXIT_BROKEN = 1
EXIT_BAD_RECORDS = 2


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
    from ochrecourse.audit.judge import MAX_BREACHES_SHOWN, audit
    from ochrecourse.audit.records import InvalidRecordError, read
    from ochrecourse.lab.figures import figures_of
    from ochrecourse.lab.people import overlapping

    try:
        all_records = list(read(records))
    except InvalidRecordError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_BAD_RECORDS)
    result = audit(figures_of(day_or_exit(name, seed), webdav), all_records)
    overlaps = overlapping(all_records) if webdav else []
    if as_json:
        click.echo(json.dumps(_result_map(result, overlaps)))
    else:
        for line in [*result.lines(), *overlaps[:MAX_BREACHES_SHOWN]]:
            click.echo(line)
        if webdav:
            click.echo(f"requests with two legs out at once: {len(overlaps)}")
    sys.exit(0 if result.passes() and not overlaps else EXIT_BROKEN)


def _result_map(result: Any, overlaps: list[str]) -> dict[str, Any]:
    """Returns the findings as a map for `--json`; scripts read its keys."""
    rules = [
        {"rule": finding.rule, "tested": finding.tested, "breaches": finding.breaches}
        for finding in result.findings
    ]
    return {
        "jobs": result.requests,
        "answered": result.answered,
        "legs": result.attempts,
        "overlapping": overlaps,
        "rules": rules,
    }
