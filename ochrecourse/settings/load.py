"""Loads settings files and resolves them to records with all defaults."""

from __future__ import annotations

from functools import lru_cache
from importlib.resources import files
from pathlib import Path
from typing import Any

from ochrecourse.common.errors import OchrecourseError
from ochrecourse.settings.syntax import InvalidSettingError, SourceLocation, Struct, parse
from ochrecourse.settings.unification import Resolver
from ochrecourse.settings.validation import cross_field_errors

SCHEMA = "schema.cue"


class SettingsError(OchrecourseError):
    """The errors in a settings file, in order of location; the text has one line per error."""

    def __init__(self, errors: list[InvalidSettingError]) -> None:
        super().__init__("\n".join(str(each) for each in errors))
        self.errors = errors

    @property
    def troubles(self) -> list[InvalidSettingError]:
        """Deprecated alias of `errors`, for programs that use library surface 1."""
        return self.errors


@lru_cache(maxsize=1)
def schema() -> Struct:
    """Returns the parsed schema, with which every settings file is unified."""
    return parse((files("ochrecourse.settings") / SCHEMA).read_text(), SCHEMA)


def resolve(text: str, file: str) -> dict[str, Any]:
    """Resolves a settings text to a record; `file` is its name in messages. Time spans are in ms, sizes in
    bytes, rates per second. Raises SettingsError.
    """
    try:
        tree = parse(text, file)
    except InvalidSettingError as error:
        raise SettingsError([error]) from None
    resolver = Resolver(schema())
    record = resolver.resolve(tree)
    if not resolver.errors:
        resolver.errors += cross_field_errors(record, resolver.locations, tree.location)
    if resolver.errors:
        raise SettingsError(_one_per_location(resolver.errors))
    return record


def load(path: Path) -> dict[str, Any]:
    """Reads and resolves a settings file; see `resolve`. Raises SettingsError."""
    start = SourceLocation(str(path), 1, 1)
    try:
        return resolve(path.read_text(), str(path))
    except OSError as error:
        raise SettingsError([InvalidSettingError(start, error.strerror or str(error))]) from None
    except UnicodeDecodeError:
        raise SettingsError([InvalidSettingError(start, "not a text in UTF-8")]) from None


def _one_per_location(errors: list[InvalidSettingError]) -> list[InvalidSettingError]:
    """Keeps the first error of each location: one value may be referred to by several fields."""
    first_by_location = {str(each.location): each for each in reversed(errors)}
    return list(first_by_location.values())[::-1]
