"""Maps the platform's start file to typed settings and to the plain map that the scheduler reads. Free of
I/O.

The file's `settings` are the object of the simulator's first message as nested JSON. `flatten_settings`
converts them to their form on the simulator's wire: a path for each value, `.count` for lists of objects,
commas between plain values, `_` for spaces and commas in strings. The platform's names of settings are used
only here and where the plain map is read.
"""

from __future__ import annotations

import math
import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from ochrecourse.common.errors import OchrecourseError

# The numbers that a gateway reads. Each may be absent; unknown keys are ignored, so that the platform can add
# new ones.
NUMBER_PATHS = re.compile(
    r"Classes\.\d+\.(Aim|Deadline|Points|Window)"
    r"|Policies\.\d+\.(CapDepth|Limit|Rate|Reserve|ValueFactor|Weight)"
    r"|FamilyInfo\.(BeyondShare|ColdUnits|FairWorth|UnitsTop|UsualUnits)"
    r"|Limits\.(DialTimeout|IdleClose|MaxAttempts|MaxOpen|MaxRetryAfter|Multiplex)"
    r"|Safety\.(Cold|CountedOver|ExtraFloor|ExtraRatio|Fall|OrderSettle|OverloadFactor|StartCapacity)"
    r"|Instances|Period"
)
COUNT_PATHS = re.compile(r"(Classes|Policies)\.count")
CHOICES = {"Effect": ("safe", "keyed", "unsafe"), "KeyScope": ("all", "zone", "cell")}
CHOICE_PATHS = re.compile(r"Classes\.\d+\.(Effect|KeyScope)")
MAX_NUMBER = 1e12  # 30 years in ms; in ns it still fits the clock's 64-bit range
MAX_COUNT = 65_536  # request classes or tenants, which have 16-bit numbers on the wire
PORTS = 65_536
DEFAULT_MAX_OPEN_FILES = 1024  # if the file sets no limit


class StartSettingsError(OchrecourseError):
    """The start file is missing or invalid; the text says where."""


@dataclass(slots=True)
class StartSettings:
    """The content of the start file."""

    name: str  # of this gateway
    listen_address: tuple[str, int]
    discovery_address: tuple[str, int]
    seed: int
    max_open_files: int
    memory_mb: int
    values: dict[str, str]  # the plain map
    known_endpoints: dict[str, Any]  # this gateway's last endpoint list, in discovery's format


def flatten_settings(settings: Mapping[str, Any]) -> dict[str, str]:
    """Converts nested settings to the plain map from path to text. Raises StartSettingsError."""
    values: dict[str, str] = {}
    _flatten("", settings, values)
    return values


def _flatten(path: str, setting: Any, values: dict[str, str]) -> None:
    if isinstance(setting, Mapping):
        for name, each in setting.items():
            _flatten(f"{path}.{name}" if path else str(name), each, values)
    elif isinstance(setting, list) and any(isinstance(each, Mapping | list) for each in setting):
        values[f"{path}.count"] = str(len(setting))
        for i, each in enumerate(setting):
            _flatten(f"{path}.{i}", each, values)
    elif isinstance(setting, list):
        values[path] = ",".join(_format_value(path, each) for each in setting)
    elif setting is not None:
        values[path] = _format_value(path, setting)


def _format_value(path: str, setting: Any) -> str:
    if isinstance(setting, bool):
        return "true" if setting else "false"
    if isinstance(setting, int | float):
        return str(setting)
    if isinstance(setting, str):
        return setting.replace(" ", "_").replace(",", "_")
    raise StartSettingsError(f"settings.{path} is of no known form")


def check_values(values: Mapping[str, str]) -> None:
    """Checks numbers and choices that would otherwise fail only while serving. Raises StartSettingsError."""
    for path, text in values.items():
        if NUMBER_PATHS.fullmatch(path):
            _check_number(path, text)
        elif COUNT_PATHS.fullmatch(path):
            _check_count(path, text)
        elif found := CHOICE_PATHS.fullmatch(path):
            choices = CHOICES[found[1]]
            if text not in choices:
                raise StartSettingsError(f"settings.{path} is none of {', '.join(choices)}: {text[:40]!r}")


def _check_number(path: str, text: str) -> None:
    try:
        number = float(text)
    except ValueError:
        number = math.nan
    if not 0 <= number <= MAX_NUMBER:  # no comparison is true for NaN
        raise StartSettingsError(f"settings.{path} is not a number from 0 to {MAX_NUMBER:.0e}: {text[:40]!r}")


def _check_count(path: str, text: str) -> None:
    if not (text.isascii() and text.isdigit()) or int(text) > MAX_COUNT:
        raise StartSettingsError(f"settings.{path} is not a whole number up to {MAX_COUNT}: {text[:40]!r}")


def parse_address(text: Any, setting: str) -> tuple[str, int]:
    """Parses HOST:PORT; `setting` is its name in error messages. Raises StartSettingsError."""
    host, _, port = str(text).rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or not 0 <= int(port) < PORTS:
        raise StartSettingsError(f"{setting} is not HOST:PORT: {text!r}")
    return host.strip("[]"), int(port)


def parse_start_settings(document: Any) -> StartSettings:
    """Parses a start file's JSON document. Raises StartSettingsError."""
    if not isinstance(document, dict) or not isinstance(document.get("settings"), dict):
        raise StartSettingsError("the start file holds no settings")
    limits = document.get("limits") or {}
    known_endpoints = document.get("known") or {"generation": 0, "reset": True, "instances": []}
    try:
        values = flatten_settings(document["settings"])
        check_values(values)
        return StartSettings(
            name=str(document["name"]),
            listen_address=parse_address(document["listen"], "listen"),
            discovery_address=parse_address(document["discovery"], "discovery"),
            seed=int(str(document["seed"]), 16),
            max_open_files=int(limits.get("sockets", DEFAULT_MAX_OPEN_FILES)),
            memory_mb=int(limits.get("memory_mb", 0)),
            values=values,
            known_endpoints=known_endpoints,
        )
    except KeyError as error:
        raise StartSettingsError(f"the start file lacks {error.args[0]}") from None
    except (ValueError, TypeError, AttributeError) as error:
        raise StartSettingsError(f"the start file holds a figure that is none: {error}") from None
