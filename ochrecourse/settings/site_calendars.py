"""Computes the instants of a calendar edition from a site's purge rules in local time.

Only this module deals with time zones, calendars and holidays. An edition contains its instants, and every
gateway uses those, whatever its own time zone data say. Time zones are read from the package `tzdata`, never
from the system, so that an edition can state the release with which it was computed.

Of an ambiguous local time (clocks set back) the first occurrence is used, so that a purge is early rather
than late; a local time that does not exist (clocks set forward) becomes the first instant after the gap.
"""

from __future__ import annotations

import datetime as dt
import functools
import importlib.resources
from collections.abc import Mapping
from typing import Any
from zoneinfo import ZoneInfo

import holidays
import tzdata

from ochrecourse.common.errors import OchrecourseError

WEEKDAYS = ("mon", "tue", "wed", "thu", "fri", "sat", "sun")
USUAL = "usual"  # a rule fires on holidays as on other days
NONE = "none"
EPOCH = dt.datetime(1970, 1, 1, tzinfo=dt.UTC)
RELEASE = str(tzdata.IANA_VERSION)
SITE_FIELDS = (
    "name",
    "edition",
    "zone",
    "country",
    "region",
    "holidays",
    "rules",
)  # of a site, copied into its edition
MAX_COMPARED_DAYS = 400  # limit for comparing an edition of another gateway
MAX_COMPARED_RULES = 64


class CalendarValueError(OchrecourseError):
    """A time zone, time, date, country or scope that does not exist; the text names the value."""


@functools.lru_cache(maxsize=1024)
def zone_of(name: str) -> ZoneInfo:
    """Returns a time zone by its IANA name, from the installed release of `tzdata`. Raises
    CalendarValueError.
    """
    parts = name.split("/")
    if not name or not all(step and step[0].isalpha() and step.isascii() for step in parts):
        raise CalendarValueError(f"there is no time zone {name!r}")
    at = importlib.resources.files("tzdata").joinpath("zoneinfo", *parts)
    try:
        with at.open("rb") as file:
            return ZoneInfo.from_file(file, key=name)
    except (OSError, ValueError):
        raise CalendarValueError(f"there is no time zone {name!r} in tzdata {RELEASE}") from None


def time_of(text: str) -> dt.time:
    """Parses HH:MM or HH:MM:SS. Raises CalendarValueError."""
    parts = text.split(":")
    fits = len(parts) in (2, 3) and all(
        len(each) == 2 and each.isascii() and each.isdigit() for each in parts
    )
    try:
        if not fits:
            raise ValueError
        hour, minute, second = map(int, [*parts, "0"][:3])
        return dt.time(hour, minute, second)
    except ValueError:
        raise CalendarValueError(f"{text!r} is no time of the day; one is HH:MM or HH:MM:SS") from None


def date_of(text: str) -> dt.date:
    """Parses YYYY-MM-DD. Raises CalendarValueError."""
    try:
        if len(text) != 10:
            raise ValueError
        return dt.date.fromisoformat(text)
    except ValueError:
        raise CalendarValueError(f"{text!r} is no date; one is YYYY-MM-DD") from None


@functools.lru_cache(maxsize=64)
def holidays_of(country: str, region: str, years: tuple[int, ...]) -> frozenset[dt.date]:
    """Returns the public holidays of a country or of one of its regions. Raises CalendarValueError."""
    try:
        return frozenset(holidays.country_holidays(country, subdiv=region or None, years=years))
    except NotImplementedError:  # raised by the library for unknown countries and regions
        where = f"{country!r}, region {region!r}," if region else repr(country)
        raise CalendarValueError(f"holidays of {where} are not known; a country is named as in DE") from None


def instant_of(zone: ZoneInfo, date: dt.date, time: dt.time) -> int:
    """Converts a local time to Unix time in ms."""
    local = dt.datetime.combine(date, time, tzinfo=zone)  # fold 0: the first of two occurrences
    after = _ms(local)
    if _local(zone, after).replace(tzinfo=None) == local.replace(tzinfo=None):
        return after
    # The time is in a gap. Fold 1 applies the offset after the gap, which gives an instant before the gap;
    # the search finds the instant at which the offset changes.
    before, offset = _ms(local.replace(fold=1)), _local(zone, after).utcoffset()
    while after - before > 1:
        middle = (before + after) // 2
        if _local(zone, middle).utcoffset() == offset:
            after = middle
        else:
            before = middle
    return after


def _ms(moment: dt.datetime) -> int:
    return (moment.astimezone(dt.UTC) - EPOCH) // dt.timedelta(milliseconds=1)


def _local(zone: ZoneInfo, ms: int) -> dt.datetime:
    return (EPOCH + dt.timedelta(milliseconds=ms)).astimezone(zone)


def today(zone: str, ms: int) -> dt.date:
    """Returns the local date at an instant, `ms` of Unix time. Raises CalendarValueError."""
    return _local(zone_of(zone), ms).date()


def edition(site: Mapping[str, Any], number: int, first: dt.date, days: int) -> dict[str, Any]:
    """Computes the body of an edition for a site of the settings: `days` days from the local date `first` on.

    Raises CalendarValueError.
    """
    zone = zone_of(site["zone"])
    dates = [first + dt.timedelta(days=each) for each in range(days)]
    closed = {date_of(each) for each in site["holidays"]}
    if site["country"]:
        years = tuple(sorted({each.year for each in dates}))
        closed |= holidays_of(site["country"], site["region"], years)
    instants = []
    for rule in site["rules"]:
        exceptions = {date_of(each["date"]): each["at"] for each in rule["exceptions"]}
        for date in dates:
            time = _time_on(rule, date, exceptions, closed)
            if time:
                instants.append([rule["name"], date.isoformat(), instant_of(zone, date, time_of(time))])
    instants.sort(key=lambda each: (each[2], each[0]))
    return {
        "what": "edition",
        "site": site["name"],
        "number": number,
        "wording": site["edition"],
        "zone": site["zone"],
        "tzdata": RELEASE,
        "from": first.isoformat(),
        "through": dates[-1].isoformat(),
        "until": instant_of(zone, dates[-1] + dt.timedelta(days=1), dt.time()),
        "rules": [{"name": rule["name"], "scope": scope_of(rule)} for rule in site["rules"]],
        "instants": instants,
        "as": {name: site[name] for name in SITE_FIELDS},
    }


def _time_on(
    rule: Mapping[str, Any], date: dt.date, exceptions: Mapping[dt.date, str], closed: set[dt.date]
) -> str:
    """Returns a rule's local time on a date, empty if it does not apply."""
    if date in exceptions:
        time = str(exceptions[date])
        return "" if time == NONE else time
    if WEEKDAYS[date.weekday()] not in rule["weekdays"]:
        return ""
    if date in closed and rule["holidays"] != USUAL:
        return "" if rule["holidays"] == NONE else str(rule["holidays"])
    return str(rule["at"])


def scope_of(rule: Mapping[str, Any]) -> list[str]:
    """Returns what a rule of the settings purges, in an edition's format. Raises CalendarValueError."""
    named = [each for each in ("volume", "plan", "all") if each in rule]
    if len(named) != 1 or rule.get("all") is False:
        raise CalendarValueError("names no scope; it must name one of volume, plan, all")
    return [named[0], "" if named[0] == "all" else str(rule[named[0]])]


def differences(body: Mapping[str, Any]) -> list[str]:
    """Describes the instants of an edition that differ from those computed here from its rules (key `as`),
    with another release of time zones or holidays. The edition's instants remain in force regardless.
    """
    site = body.get("as")
    try:
        if not isinstance(site, Mapping):
            zone_of(str(body["zone"]))
            return []
        first = date_of(body["from"])
        days = (date_of(body["through"]) - first).days + 1
        if not 0 < days <= MAX_COMPARED_DAYS or len(site["rules"]) > MAX_COMPARED_RULES:
            return ["it reaches too far, or has too many rules, to be compared"]
        own_instants = edition(site, body["number"], first, days)["instants"]
    except (CalendarValueError, AttributeError, LookupError, TypeError, ValueError, OverflowError) as error:
        return [f"its rules mean nothing here: {error}"]
    here = {(rule, date): ms for rule, date, ms in own_instants}
    there = {(rule, date): ms for rule, date, ms in body["instants"]}
    return [
        f"{rule} on {date}: {there.get((rule, date), 'none')} there, {here.get((rule, date), 'none')} here"
        for rule, date in sorted(here.keys() | there.keys())
        if here.get((rule, date)) != there.get((rule, date))
    ]
