"""From the purge rules of a site in local time to the instants of a calendar edition.

The one module that knows time zones, calendars and holidays. An edition carries its instants, and every
gateway acts on those, whatever its own copy of the time zones says. Zones are read from the library `tzdata`
and never from the system, so an edition names the release by which it was made.

An hour that comes twice is taken the first time, early rather than late; a time in an hour that does not
exist is the first instant after it.
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
)  # of a site, in its edition
MAX_COMPARED_DAYS = 400  # of an edition that another gateway wrote
MAX_COMPARED_RULES = 64


class CalendarValueError(OchrecourseError):
    """A time zone, time, date, country or scope that does not exist; the text names the value."""


@functools.lru_cache(maxsize=1024)
def zone_of(name: str) -> ZoneInfo:
    """A time zone by its IANA name, as the installed release of `tzdata` has it. Raises
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
    """HH:MM or HH:MM:SS. Raises CalendarValueError."""
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
    """YYYY-MM-DD. Raises CalendarValueError."""
    try:
        if len(text) != 10:
            raise ValueError
        return dt.date.fromisoformat(text)
    except ValueError:
        raise CalendarValueError(f"{text!r} is no date; one is YYYY-MM-DD") from None


@functools.lru_cache(maxsize=64)
def holidays_of(country: str, region: str, years: tuple[int, ...]) -> frozenset[dt.date]:
    """Public holidays of a country, or of one of its regions. Raises CalendarValueError."""
    try:
        return frozenset(holidays.country_holidays(country, subdiv=region or None, years=years))
    except NotImplementedError:  # as the library says that it knows none
        where = f"{country!r}, region {region!r}," if region else repr(country)
        raise CalendarValueError(f"holidays of {where} are not known; a country is named as in DE") from None


def instant_of(zone: ZoneInfo, date: dt.date, time: dt.time) -> int:
    """When a local time comes, in ms since 1970."""
    local = dt.datetime.combine(date, time, tzinfo=zone)  # fold 0: the first of two
    after = _ms(local)
    if _local(zone, after).replace(tzinfo=None) == local.replace(tzinfo=None):
        return after
    # It is in a gap. With fold 1 it is read with the offset after the gap, so it lies before it.
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
    """The local date at an instant. Raises CalendarValueError."""
    return _local(zone_of(zone), ms).date()


def edition(site: Mapping[str, Any], number: int, first: dt.date, days: int) -> dict[str, Any]:
    """An edition's body: a site of the settings from a local date on, for so many days. Raises
    CalendarValueError.
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
    """The local time of a rule on a date, empty for none."""
    if date in exceptions:
        time = str(exceptions[date])
        return "" if time == NONE else time
    if WEEKDAYS[date.weekday()] not in rule["weekdays"]:
        return ""
    if date in closed and rule["holidays"] != USUAL:
        return "" if rule["holidays"] == NONE else str(rule["holidays"])
    return str(rule["at"])


def scope_of(rule: Mapping[str, Any]) -> list[str]:
    """What a rule of the settings purges, as an edition carries it. Raises CalendarValueError."""
    named = [each for each in ("volume", "plan", "all") if each in rule]
    if len(named) != 1 or rule.get("all") is False:
        raise CalendarValueError("names no scope; it must name one of volume, plan, all")
    return [named[0], "" if named[0] == "all" else str(rule[named[0]])]


def differences(body: Mapping[str, Any]) -> list[str]:
    """Where the rules of an edition, which it carries under `as`, give other instants here: with another
    release of time zones or holidays. The edition's instants hold all the same.
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
