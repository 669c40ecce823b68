"""What the platform tells a gateway at its start, to the plain map that the decisions read. Free of I/O.

The file's `settings` are the object of the simulator's first message as nested JSON. `flat` gives them the
form that they have on the simulator's wire: a path for each value, `.count` for lists of objects, commas
between plain values, `_` for spaces and commas in texts.
"""

from __future__ import annotations

import math
import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

# The figures that a gateway reads; others are not looked at, for new keys may come. Each may be absent.
FIGURES = re.compile(
    r"Classes\.\d+\.(Aim|Deadline|Points|Window)"
    r"|Policies\.\d+\.(CapDepth|Limit|Rate|Reserve|ValueFactor|Weight)"
    r"|FamilyInfo\.(BeyondShare|ColdUnits|FairWorth|UnitsTop|UsualUnits)"
    r"|Limits\.(DialTimeout|IdleClose|MaxAttempts|MaxOpen|MaxRetryAfter|Multiplex)"
    r"|Safety\.(Cold|CountedOver|ExtraFloor|ExtraRatio|Fall|OrderSettle|OverloadFactor|StartCapacity)"
    r"|Instances|Period"
)
COUNTS = re.compile(r"(Classes|Policies)\.count")
CHOICES = {"Effect": ("safe", "keyed", "unsafe"), "KeyScope": ("all", "zone", "cell")}
CHOSEN = re.compile(r"Classes\.\d+\.(Effect|KeyScope)")
LARGEST = 1e12  # of any figure; 30 years in ms, and in ns still a number that a clock can hold
MOST = 65_536  # classes or plans; the wire names them by 16 bits


class StartSettingsError(Exception):
    """The file is missing or not what the platform describes; the text says where."""


@dataclass(slots=True)
class StartSettings:
    """What the file tells. `known` is the list of nodes in discovery's form, as this gateway last had it."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    sockets: int
    memory_mb: int
    values: dict[str, str]
    known: dict[str, Any]


def flat(settings: Mapping[str, Any]) -> dict[str, str]:
    """Nested settings as the plain map of paths to texts. Raises StartSettingsError."""
    values: dict[str, str] = {}
    _flatten("", settings, values)
    return values


def _flatten(path: str, told: Any, values: dict[str, str]) -> None:
    if isinstance(told, Mapping):
        for name, each in told.items():
            _flatten(f"{path}.{name}" if path else str(name), each, values)
    elif isinstance(told, list) and any(isinstance(each, Mapping | list) for each in told):
        values[f"{path}.count"] = str(len(told))
        for i, each in enumerate(told):
            _flatten(f"{path}.{i}", each, values)
    elif isinstance(told, list):
        values[path] = ",".join(_plain(path, each) for each in told)
    elif told is not None:
        values[path] = _plain(path, told)


def _plain(path: str, told: Any) -> str:
    if isinstance(told, bool):
        return "true" if told else "false"
    if isinstance(told, int | float):
        return str(told)
    if isinstance(told, str):
        return told.replace(" ", "_").replace(",", "_")
    raise StartSettingsError(f"settings.{path} is of no known form")


def check(values: Mapping[str, str]) -> None:
    """Every figure and choice that is told is one a gateway can work with, so that none fails it in service.
    Raises StartSettingsError.
    """
    for path, told in values.items():
        if FIGURES.fullmatch(path):
            _check_figure(path, told)
        elif COUNTS.fullmatch(path):
            if not (told.isascii() and told.isdigit()) or int(told) > MOST:
                raise StartSettingsError(f"settings.{path} is not a whole number up to {MOST}: {told[:40]!r}")
        elif found := CHOSEN.fullmatch(path):
            known = CHOICES[found[1]]
            if told not in known:
                raise StartSettingsError(f"settings.{path} is none of {', '.join(known)}: {told[:40]!r}")


def _check_figure(path: str, told: str) -> None:
    try:
        figure = float(told)
    except ValueError:
        figure = math.nan
    if not 0 <= figure <= LARGEST:  # no comparison holds for what is not a number
        raise StartSettingsError(f"settings.{path} is not a number from 0 to {LARGEST:.0e}: {told[:40]!r}")


def place(text: Any, where: str) -> tuple[str, int]:
    """Host and port. Raises StartSettingsError."""
    host, _, port = str(text).rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or not 0 <= int(port) < 65536:
        raise StartSettingsError(f"{where} is not HOST:PORT: {text!r}")
    return host.strip("[]"), int(port)


def parse(told: Any) -> StartSettings:
    """What a file's JSON tells. Raises StartSettingsError."""
    if not isinstance(told, dict) or not isinstance(told.get("settings"), dict):
        raise StartSettingsError("the start file holds no settings")
    limits = told.get("limits") or {}
    known = told.get("known") or {"generation": 0, "reset": True, "instances": []}
    try:
        values = flat(told["settings"])
        check(values)
        return StartSettings(
            name=str(told["name"]),
            listen=place(told["listen"], "listen"),
            discovery=place(told["discovery"], "discovery"),
            seed=int(str(told["seed"]), 16),
            sockets=int(limits.get("sockets", 1024)),
            memory_mb=int(limits.get("memory_mb", 0)),
            values=values,
            known=known,
        )
    except KeyError as trouble:
        raise StartSettingsError(f"the start file lacks {trouble.args[0]}") from None
    except (ValueError, TypeError, AttributeError) as trouble:
        raise StartSettingsError(f"the start file holds a figure that is none: {trouble}") from None
