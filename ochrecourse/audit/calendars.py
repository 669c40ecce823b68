"""Computes when a site's purges are due, to judge the site calendars; shares no code with them.

It never converts a local time to an instant. It walks the year minute by minute, reads the zone's clock at
each, and takes the first minute at which the latest local time reached so far is not before the rule's. So an
hour that occurs twice counts the first time, and a time that does not exist is the first instant after the
gap.
"""

from __future__ import annotations

import bisect
import datetime as dt
import functools
import importlib.resources
from array import array
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple
from zoneinfo import ZoneInfo

import holidays

DAYS = ("mon", "tue", "wed", "thu", "fri", "sat", "sun")
MINUTES_PER_DAY = 1440
EPOCH = dt.date(1970, 1, 1)
MARGIN_DAYS = 2  # days walked before and after: local dates are at most 14 hours from those of UTC

Occurrence = tuple[str, str]  # a rule and a local date


class LocalClockWalk(NamedTuple):
    """A zone's clock by UTC minute.

    `reached`: for each UTC minute from `start` on, the latest local minute since 1970 that was reached.
    """

    start: int
    reached: array[int]


@functools.lru_cache(maxsize=64)
def load_zone(name: str) -> ZoneInfo:
    """The time zone from the tzdata package, which does not depend on the host's database."""
    with importlib.resources.files("tzdata").joinpath("zoneinfo", *name.split("/")).open("rb") as file:
        return ZoneInfo.from_file(file)


@functools.lru_cache(maxsize=64)
def walk_local_clock(zone: str, first: dt.date, days: int) -> LocalClockWalk:
    """Walks a zone's clock over `days` local dates from `first` on, with a margin on both sides."""
    clock, start = load_zone(zone), ((first - EPOCH).days - MARGIN_DAYS) * MINUTES_PER_DAY
    reached, farthest = array("q"), -(1 << 60)
    for minute in range(start, start + (days + 2 * MARGIN_DAYS) * MINUTES_PER_DAY):
        local = dt.datetime.fromtimestamp(60 * minute, clock)
        day = local.toordinal() - EPOCH.toordinal()
        farthest = max(farthest, day * MINUTES_PER_DAY + local.hour * 60 + local.minute)
        reached.append(farthest)
    return LocalClockWalk(start, reached)


def clock_changes(zone: str, year: int) -> list[dt.date]:
    """The days of a year, by UTC, on which the zone's offset changes."""
    clock, changed_days = load_zone(zone), []
    first = dt.datetime(year, 1, 1, tzinfo=dt.UTC)
    for n in range(365):
        day = first + dt.timedelta(days=n)
        if day.astimezone(clock).utcoffset() != (day + dt.timedelta(days=1)).astimezone(clock).utcoffset():
            changed_days.append(day.date())
    return changed_days


def date_at(zone: str, ms: int) -> dt.date:
    """The local date at an instant, ms since 1970."""
    return dt.datetime.fromtimestamp(ms / 1000, load_zone(zone)).date()


@functools.lru_cache(maxsize=64)
def public_holidays(country: str, region: str, years: tuple[int, ...]) -> frozenset[str]:
    """The public holidays of a country or region, as ISO dates."""
    found = holidays.country_holidays(country, subdiv=region or None, years=years)
    return frozenset(str(each) for each in found)


def purge_instants(
    site: Mapping[str, Any], first: dt.date, days: int, clock_walk: LocalClockWalk
) -> dict[Occurrence, int]:
    """The instant, ms since 1970, of each occurrence of a site's rules over `days` local dates.

    `site`: the site as settings state it.
    """
    closed_dates = set(site["holidays"])
    if site["country"]:
        closed_dates |= public_holidays(site["country"], site["region"], (first.year, first.year + 1))
    due_instants = {}
    for rule in site["rules"]:
        exceptions_by_date = {each["date"]: each["at"] for each in rule["exceptions"]}
        for n in range(days):
            date = first + dt.timedelta(days=n)
            at = rule["at"]
            if str(date) in exceptions_by_date:
                at = exceptions_by_date[str(date)]
            elif DAYS[date.weekday()] not in rule["weekdays"]:
                continue
            elif str(date) in closed_dates and rule["holidays"] != "usual":
                at = rule["holidays"]
            if at != "none":
                due_instants[rule["name"], str(date)] = _instant(date, at, clock_walk)
    return due_instants


def _instant(date: dt.date, at: str, clock_walk: LocalClockWalk) -> int:
    """The instant, ms since 1970, of a local date and time."""
    hour, minute, second = map(int, f"{at}:00".split(":")[:3])
    target = (date - EPOCH).days * MINUTES_PER_DAY + hour * 60 + minute
    found = bisect.bisect_left(clock_walk.reached, target)
    exists = clock_walk.reached[found] == target
    return (60 * (clock_walk.start + found) + (second if exists else 0)) * 1000


def purge_outcomes(
    editions: Iterable[tuple[int, int, dict[Occurrence, int]]], end: int
) -> dict[Occurrence, tuple[int, int]]:
    """The edition that executes each occurrence up to `end`, and when.

    `editions`: the number of each, when it comes into force, and its instants. An occurrence is executed
    once, by the first edition that has it.
    """
    outcomes: dict[Occurrence, tuple[int, int]] = {}
    ordered = sorted(editions, key=lambda edition: edition[1])
    for n, (number, start, instants) in enumerate(ordered):
        until = ordered[n + 1][1] if n + 1 < len(ordered) else end + 1
        for occurrence, instant in instants.items():
            if occurrence not in outcomes and instant < until:
                outcomes[occurrence] = (number, max(instant, start))
    return outcomes
