"""Loads a scenario by name or from a file, for all commands that take one."""

from __future__ import annotations

import sys
from pathlib import Path

import click
import msgspec

from ochrecourse.lab.day import BadDay, Day, read
from ochrecourse.lab.days import built_in

EXIT_BAD_CALL = 2
FILE_SUFFIXES = (".json", ".toml")


def day_or_exit(name: str, seed: int | None) -> Day:
    """Returns a built-in scenario or one from a file; `seed`, if not None, replaces its own seed.

    Prints an invalid scenario's error to standard error and exits with code 2.
    """
    try:
        path = Path(name)
        is_file = path.suffix in FILE_SUFFIXES or path.exists()
        scenario = read(path) if is_file else built_in(name)
    except BadDay as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_BAD_CALL)
    return scenario if seed is None else msgspec.structs.replace(scenario, seed=seed)
