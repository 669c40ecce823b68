"""`check` and `show`: checks settings files, and shows the settings with every default resolved."""

from __future__ import annotations

import json
import sys
from pathlib import Path

import click

from ochrecourse.settings.load import SettingsError, load
from ochrecourse.settings.plain import plain_map
from ochrecourse.settings.syntax import InvalidSettingError
from ochrecourse.settings.writer import write

EXIT_INVALID_SETTINGS = 1


def read_or_exit(path: Path) -> dict[str, object]:
    """Returns the record of a settings file; prints its errors to standard error and exits with code 1."""
    try:
        return load(path)
    except SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_INVALID_SETTINGS)


@click.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="One JSON object a mistake.")
def check(files: tuple[Path, ...], as_json: bool) -> None:
    """Check settings FILES; one line for each mistake, exit code 1 if there is any."""
    error_count = 0
    for path in files:
        try:
            load(path)
        except SettingsError as error:
            error_count += len(error.errors)
            for problem in error.errors:
                click.echo(_as_json(problem) if as_json else str(problem))
    if not error_count and not as_json:
        click.echo(f"{len(files)} file{'s' * (len(files) > 1)} without a mistake")
    sys.exit(EXIT_INVALID_SETTINGS if error_count else 0)


def _as_json(problem: InvalidSettingError) -> str:
    location = problem.location
    return json.dumps(
        {"file": location.file, "line": location.line, "column": location.column, "text": problem.text}
    )


@click.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option(
    "--json", "as_json", is_flag=True, help="The resolved record as JSON: spans in ms, sizes in bytes."
)
@click.option("--plain", is_flag=True, help="The plain map of names to values that the decisions read.")
def show(file: Path, as_json: bool, plain: bool) -> None:
    """Show the settings of FILE as they resolve, with every default."""
    record = read_or_exit(file)
    if plain:
        for name, value in sorted(plain_map(record).items()):
            click.echo(f"{name}={value}")
    elif as_json:
        click.echo(json.dumps(record, indent=2))
    else:
        click.echo(write(record), nl=False)
