"""Days by name or file, for all commands that take one."""

from __future__ import annotations

import sys
from pathlib import Path

import click
import msgspec

from ochrecourse.lab.day import BadDay, Day, read
from ochrecourse.lab.days import built_in


def day_or_exit(name: str, seed: int | None) -> Day:
    """A built-in day or one from a file; what is wrong with it goes to standard error and ends the command
    with 2.
    """
    try:
        path = Path(name)
        day = read(path) if path.suffix in (".json", ".toml") or path.exists() else built_in(name)
    except BadDay as trouble:
        click.echo(str(trouble), err=True)
        sys.exit(2)
    return day if seed is None else msgspec.structs.replace(day, seed=seed)
