"""Validates sites, purges and object copies: zones, times, dates and holidays exist, each rule has a scope.

Imported only if the settings use these sections, because it loads the libraries of time zones and holidays.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import Any

from ochrecourse.settings.problems import Problem
from ochrecourse.settings.site_calendars import (
    NONE,
    USUAL,
    CalendarValueError,
    date_of,
    holidays_of,
    scope_of,
    time_of,
    zone_of,
)

BYTES_PER_INSTANT = 56  # in an edition's JSON, for a rule with a name of 20 characters
EDITION_OVERHEAD = 4096  # bytes of an edition other than its instants
SAMPLE_YEAR = 2026  # used to check that a country's holidays are known
NO_COPIES: Mapping[str, Any] = {"products": [], "largest": 0, "bytes": 0}


def site_problems(record: Mapping[str, Any]) -> list[Problem]:
    """Returns the problems with sites, purges and copies in a settings record."""
    sites = record.get("sites", [])
    fleet = record.get("fleet", {})
    found = _all_sites(record, sites, fleet)
    if sites and "fleet" not in record:
        found.append(Problem("sites", "is there without a part `fleet`, whose log carries the calendar"))
    if "purges" in fleet:
        found += _purges(fleet, sites)
    return found + _copies(record, fleet.get("copies", NO_COPIES))


def _all_sites(
    record: Mapping[str, Any], sites: Sequence[Mapping[str, Any]], fleet: Mapping[str, Any]
) -> list[Problem]:
    """Checks each site, and that no gateway belongs to two sites."""
    found: list[Problem] = []
    known_gateways = {record["gateway"]["name"], *(each["name"] for each in fleet.get("peers", []))}
    tenants = [each["name"] for each in record["plans"]]
    site_by_gateway: dict[str, str] = {}
    for i, site in enumerate(sites):
        at = f"sites[{i}]"
        found += _site(site, at, tenants)
        if site["name"] in [each["name"] for each in sites[:i]]:
            found.append(Problem(f"{at}.name", f"is {site['name']!r}, as is another site's"))
        if not site["edges"]:
            found.append(Problem(f"{at}.edges", "names no gateway of the site"))
        for gateway in site["edges"]:
            if "fleet" in record and gateway not in known_gateways:
                text = f"names {gateway!r}, which is neither this gateway nor a peer"
                found.append(Problem(f"{at}.edges", text))
            if gateway in site_by_gateway:
                text = f"names {gateway!r}, which is an edge of {site_by_gateway[gateway]!r} already"
                found.append(Problem(f"{at}.edges", text))
            site_by_gateway[gateway] = site["name"]
        if "purges" in fleet:
            found += _edition_size(len(site["rules"]), fleet)
    return found


def _edition_size(rules: int, fleet: Mapping[str, Any]) -> list[Problem]:
    """Checks that an edition of a site fits into one entry of the log."""
    days = fleet["purges"]["days"]
    bytes_needed = rules * days * BYTES_PER_INSTANT + EDITION_OVERHEAD
    if not rules or bytes_needed <= fleet["log"]["entry"]:
        return []
    text = f"with {rules} rules an edition has some {bytes_needed} bytes, more than fleet.log.entry"
    return [Problem("fleet.purges.days", f"is {days}; {text}")]


def _purges(fleet: Mapping[str, Any], sites: Sequence[Mapping[str, Any]]) -> list[Problem]:
    found = []
    if not sites:
        found.append(Problem("fleet.purges", "is there, but no site; name one in `sites`"))
    if fleet["purges"]["notice"] < 2 * fleet["beat"] + 4 * fleet["clock_bound"]:
        # With a shorter notice heartbeats would already be too old on arrival: copies would never be ready.
        text = "is shorter than two of fleet.beat and four of fleet.clock_bound together"
        found.append(Problem("fleet.purges.notice", text))
    return found


def _copies(record: Mapping[str, Any], copies: Mapping[str, Any]) -> list[Problem]:
    found = []
    for i, name in enumerate(copies["products"]):
        request_class = next((each for each in record["products"] if each["name"] == name), None)
        if request_class is None or request_class["writes"]:
            what = "no product" if request_class is None else "a product that writes"
            found.append(Problem(f"fleet.copies.products[{i}]", f"is {name!r}, which is {what}"))
    if copies["largest"] > copies["bytes"]:
        found.append(Problem("fleet.copies.largest", "is more than fleet.copies.bytes"))
    return found


def _site(site: Mapping[str, Any], at: str, tenants: Sequence[str]) -> list[Problem]:
    found = _unreadable(f"{at}.zone", zone_of, site["zone"])
    if site["country"]:
        found += _unreadable(f"{at}.country", holidays_of, site["country"], site["region"], (SAMPLE_YEAR,))
    for j, date in enumerate(site["holidays"]):
        found += _unreadable(f"{at}.holidays[{j}]", date_of, date)
    if not site["rules"]:
        found.append(Problem(f"{at}.rules", "names no rule"))
    earlier_names: list[str] = []
    for j, rule in enumerate(site["rules"]):
        found += _rule(rule, f"{at}.rules[{j}]", tenants, earlier_names)
        earlier_names.append(rule["name"])
    return found


def _rule(
    rule: Mapping[str, Any], at: str, tenants: Sequence[str], earlier_names: Sequence[str]
) -> list[Problem]:
    found = []
    try:
        scope_of(rule)
    except CalendarValueError as error:
        found.append(Problem(at, str(error)))
    found += _unreadable(f"{at}.at", time_of, rule["at"])
    if rule["holidays"] not in (USUAL, NONE):
        found += _unreadable(f"{at}.holidays", time_of, rule["holidays"])
    if "plan" in rule and rule["plan"] not in tenants:
        text = f"is {rule['plan']!r}; it may be {' or '.join(map(repr, tenants))}"
        found.append(Problem(f"{at}.plan", text))
    if rule["name"] in earlier_names:
        found.append(Problem(f"{at}.name", f"is {rule['name']!r}, as is another rule's"))
    for k, exception in enumerate(rule["exceptions"]):
        path = f"{at}.exceptions[{k}]"
        found += _unreadable(f"{path}.date", date_of, exception["date"])
        if exception["at"] != NONE:
            found += _unreadable(f"{path}.at", time_of, exception["at"])
        if exception["date"] in [other["date"] for other in rule["exceptions"][:k]]:
            found.append(Problem(f"{path}.date", f"is {exception['date']}, as is another exception's"))
    return found


def _unreadable(path: str, read: Callable[..., object], *values: Any) -> list[Problem]:
    """Returns one problem if `read` raises CalendarValueError for the values, else none."""
    try:
        read(*values)
    except CalendarValueError as error:
        return [Problem(path, f"can't stand: {error}")]
    return []
