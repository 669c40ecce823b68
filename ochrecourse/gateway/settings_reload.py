"""Reloading settings in a running daemon: differences between two records, and which take effect."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

RELOADABLE = ("log.level", "log.sample", "clients.open_jobs", "clients.connections")


class SettingChange(NamedTuple):
    """A value that differs between two records; `path` is as in the settings file."""

    path: str
    old: Any
    new: Any


class ReloadResult(NamedTuple):
    """Descriptions of the changes that are in force now, and of those that need a restart."""

    in_force: list[str]
    needs_restart: list[str]


def changes(old: Any, new: Any, path: str = "") -> list[SettingChange]:
    """Returns the differences between two records."""
    if isinstance(old, Mapping) and isinstance(new, Mapping):
        names = sorted({*old, *new})
        return [
            each
            for name in names
            for each in changes(old.get(name), new.get(name), f"{path}.{name}" if path else name)
        ]
    return [] if old == new else [SettingChange(path, old, new)]


def reload_result(old: Mapping[str, Any], new: Mapping[str, Any]) -> ReloadResult:
    """Sorts the changes between two records by whether a running daemon can apply them."""
    result = ReloadResult([], [])
    for change in changes(old, new):
        described = f"{change.path}: {change.old} to {change.new}"
        (result.in_force if change.path in RELOADABLE else result.needs_restart).append(described)
    return result


def reloaded_record(old: Mapping[str, Any], new: Mapping[str, Any]) -> dict[str, Any]:
    """Returns the record in force after a reload: the old one with the reloadable values of the new."""
    record = {name: dict(value) if isinstance(value, Mapping) else value for name, value in old.items()}
    record["log"] = new["log"]
    record["clients"] = {
        **record["clients"],
        "open_jobs": new["clients"]["open_jobs"],
        "connections": new["clients"]["connections"],
    }
    return record
