"""When a site's purges are due, from the statement alone: judges the site calendars, and shares no code
with it.

It never asks when a local time is. It walks the year minute by minute, reads the zone's clock at each, and
takes the first minute at which the farthest local time that was reached is not before the rule's. So an hour
that comes twice counts the first time, and a time that does not exist is the first instant after the gap.
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
DAY = 1440  # minutes
EPOCH = dt.date(1970, 1, 1)
MARGIN = 2  # days walked before and after: local dates are at most 14 hours from those of UTC

Occurrence = tuple[str, str]  # a rule and a local date


class LocalClockWalk(NamedTuple):
    """A zone's clock: `reached`, by UTC minute from `start` on, the farthest local minute since 1970."""

    start: int
    reached: array[int]


@functools.lru_cache(maxsize=64)
def load_zone(name: str) -> ZoneInfo:
    with importlib.resources.files("tzdata").joinpath("zoneinfo", *name.split("/")).open("rb") as file:
        return ZoneInfo.from_file(file)


@functools.lru_cache(maxsize=64)
def walk_local_clock(zone: str, first: dt.date, days: int) -> LocalClockWalk:
    clock, start = load_zone(zone), ((first - EPOCH).days - MARGIN) * DAY
    reached, farthest = array("q"), -(1 << 60)
    for minute in range(start, start + (days + 2 * MARGIN) * DAY):
        local = dt.datetime.fromtimestamp(60 * minute, clock)
        day = local.toordinal() - EPOCH.toordinal()
        farthest = max(farthest, day * DAY + local.hour * 60 + local.minute)
        reached.append(farthest)
    return LocalClockWalk(start, reached)


def clock_changes(zone: str, year: int) -> list[dt.date]:
    """The days of a year on which a zone's clock is set, by UTC."""
    clock, told = load_zone(zone), []
    first = dt.datetime(year, 1, 1, tzinfo=dt.UTC)
    for n in range(365):
        day = first + dt.timedelta(days=n)
        if day.astimezone(clock).utcoffset() != (day + dt.timedelta(days=1)).astimezone(clock).utcoffset():
            told.append(day.date())
    return told


def date_at(zone: str, ms: int) -> dt.date:
    """The local date at an instant."""
    return dt.datetime.fromtimestamp(ms / 1000, load_zone(zone)).date()


@functools.lru_cache(maxsize=64)
def public_holidays(country: str, region: str, years: tuple[int, ...]) -> frozenset[str]:
    """Public holidays of a country or region."""
    found = holidays.country_holidays(country, subdiv=region or None, years=years)
    return frozenset(str(each) for each in found)


def purge_instants(
    site: Mapping[str, Any], first: dt.date, days: int, walked: LocalClockWalk
) -> dict[Occurrence, int]:
    """Each moment of a site, as settings name it, on so many local dates: the instant, ms since 1970."""
    closed = set(site["holidays"])
    if site["country"]:
        closed |= public_holidays(site["country"], site["region"], (first.year, first.year + 1))
    told = {}
    for rule in site["rules"]:
        special = {each["date"]: each["at"] for each in rule["exceptions"]}
        for n in range(days):
            date = first + dt.timedelta(days=n)
            at = rule["at"]
            if str(date) in special:
                at = special[str(date)]
            elif DAYS[date.weekday()] not in rule["weekdays"]:
                continue
            elif str(date) in closed and rule["holidays"] != "usual":
                at = rule["holidays"]
            if at != "none":
                told[rule["name"], str(date)] = _instant(date, at, walked)
    return told


def _instant(date: dt.date, at: str, walked: LocalClockWalk) -> int:
    hour, minute, second = map(int, f"{at}:00".split(":")[:3])
    wanted = (date - EPOCH).days * DAY + hour * 60 + minute
    found = bisect.bisect_left(walked.reached, wanted)
    exists = walked.reached[found] == wanted
    return (60 * (walked.start + found) + (second if exists else 0)) * 1000


def purge_outcomes(
    editions: Iterable[tuple[int, int, dict[Occurrence, int]]], end: int
) -> dict[Occurrence, tuple[int, int]]:
    """Each moment up to `end`: by which edition, and when. `editions`: number, from when in force, instants,
    in that order; a moment comes once, by the first that says so.
    """
    told: dict[Occurrence, tuple[int, int]] = {}
    each = sorted(editions, key=lambda edition: edition[1])
    for n, (number, start, said) in enumerate(each):
        until = each[n + 1][1] if n + 1 < len(each) else end + 1
        for moment, instant in said.items():
            if moment not in told and instant < until:
                told[moment] = (number, max(instant, start))
    return told
