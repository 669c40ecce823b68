"""One edition of a site's calendar: its rules and the instants at which they apply. Free of I/O, clocks and
time zones.

An edition contains its instants as UTC times, so that edges need no time zone data to act on it.
"""

from __future__ import annotations

import bisect
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Literal, NamedTuple

from ochrecourse.common.errors import OchrecourseError
from ochrecourse.fleet.entries import LogPosition

MAX_INSTANTS = 20_000  # of one edition; about as many as fit into a body of 1 MiB
MAX_RULES = 64  # of one edition
MAX_NAME_CHARS = 64  # of the name of a rule, a site or an edge
NEVER_MS = 1 << 62  # later than any timestamp
BEFORE_ALL_MS = -1  # before any timestamp

EditionId = tuple[str, int, int]  # the entry of the edition: its writer, incarnation and sequence number
ScopeKind = Literal["all", "plan", "volume"]
SCOPE_KINDS = ("all", "plan", "volume")


class Scope(NamedTuple):
    """The objects that a rule purges. `name`: the tenant's name, or the volume's number as text."""

    kind: ScopeKind
    name: str

    def covers(self, volume: int, tenant: str) -> bool:
        """Whether the scope includes objects of this volume and tenant."""
        return self.kind == "all" or self.name == (tenant if self.kind == "plan" else str(volume))


class Occurrence(NamedTuple):
    """A rule on a local date, YYYY-MM-DD."""

    rule: str
    date: str


class Instant(NamedTuple):
    """When an edition schedules an occurrence, in ms since 1970."""

    at_ms: int
    rule: str
    date: str

    @property
    def occurrence(self) -> Occurrence:
        """The occurrence that is scheduled at this instant."""
        return Occurrence(self.rule, self.date)


class InvalidCalendarEventError(OchrecourseError):
    """An event of a calendar is invalid; the text gives the reason."""


@dataclass(slots=True, eq=False)
class Edition:
    """One edition. `settings_version`: the edition number of the site in the settings; `first_date`,
    `last_date`: range of local dates covered; `scopes`: by rule; `complete_until_ms`: time in ms since 1970
    up to which all instants are included.
    """

    position: LogPosition
    site: str
    number: int
    settings_version: int
    zone: str
    tzdata: str
    first_date: str
    last_date: str
    scopes: dict[str, Scope]
    instant_ms: dict[Occurrence, int]
    instants: list[Instant]  # in order
    complete_until_ms: int

    @property
    def id(self) -> EditionId:
        """The edition's id: writer, incarnation and sequence number of its entry."""
        return (self.position.writer, self.position.incarnation, self.position.seq)

    @property
    def rank(self) -> tuple[int, LogPosition]:
        """The order of editions: of those in force, the one with the highest rank applies."""
        return (self.number, self.position)

    def instants_between(self, after_ms: int, until_ms: int) -> list[Instant]:
        """The instants after `after_ms` and up to `until_ms`, in order."""
        first = bisect.bisect_right(self.instants, after_ms, key=lambda each: each.at_ms)
        last = bisect.bisect_right(self.instants, until_ms, key=lambda each: each.at_ms)
        return self.instants[first:last]

    def next_instant_ms(self, after_ms: int) -> int:
        """The first instant after `after_ms`; NEVER_MS if there is none."""
        index = bisect.bisect_right(self.instants, after_ms, key=lambda each: each.at_ms)
        return self.instants[index].at_ms if index < len(self.instants) else NEVER_MS


def parse_edition(body: Mapping[str, Any], position: LogPosition) -> Edition:
    """Parses the edition in an event's body. Raises InvalidCalendarEventError."""
    site = parse_name(body, "site")
    number = parse_whole_number(body.get("number"), "number")
    settings_version = parse_whole_number(body.get("wording", number), "wording")
    zone = parse_name(body, "zone")
    tzdata = parse_name(body, "tzdata")
    first_date, last_date = _parse_date(body.get("from")), _parse_date(body.get("through"))
    scopes = _parse_scopes(body.get("rules"))
    instant_ms = _parse_instants(body.get("instants"), scopes)
    instants = sorted(Instant(at_ms, *occurrence) for occurrence, at_ms in instant_ms.items())
    latest = instants[-1].at_ms if instants else 0
    return Edition(
        position=position,
        site=site,
        number=number,
        settings_version=settings_version,
        zone=zone,
        tzdata=tzdata,
        first_date=first_date,
        last_date=last_date,
        scopes=scopes,
        instant_ms=instant_ms,
        instants=instants,
        complete_until_ms=parse_whole_number(body.get("until", latest), "until"),
    )


def parse_name(body: Mapping[str, Any], field: str) -> str:
    """Parses the name under a key of an event's body. Raises InvalidCalendarEventError."""
    value = body.get(field)
    if not isinstance(value, str) or not 0 < len(value) <= MAX_NAME_CHARS:
        raise InvalidCalendarEventError(f"{field} is a text of 1 to {MAX_NAME_CHARS} characters")
    return value


def parse_whole_number(value: object, description: str) -> int:
    """Parses a number or time of an event's body. Raises InvalidCalendarEventError."""
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value < NEVER_MS:
        raise InvalidCalendarEventError(f"{description} is a whole number, 0 or above")
    return value


def _parse_date(value: object) -> str:
    fields = value.split("-") if isinstance(value, str) else []
    digits = all(each.isascii() and each.isdigit() for each in fields)
    if [len(each) for each in fields] != [4, 2, 2] or not digits:
        raise InvalidCalendarEventError("a date is YYYY-MM-DD")
    if not 1 <= int(fields[1]) <= 12 or not 1 <= int(fields[2]) <= 31:
        raise InvalidCalendarEventError("a date is YYYY-MM-DD")
    return "-".join(fields)


def _parse_scopes(rules: object) -> dict[str, Scope]:
    if not isinstance(rules, list) or not 0 < len(rules) <= MAX_RULES:
        raise InvalidCalendarEventError(f"rules are a list of 1 to {MAX_RULES}")
    scopes: dict[str, Scope] = {}
    for rule in rules:
        if not isinstance(rule, dict):
            raise InvalidCalendarEventError("a rule is an object with name and scope")
        name, scope = parse_name(rule, "name"), rule.get("scope")
        if not isinstance(scope, list) or len(scope) != 2 or scope[0] not in SCOPE_KINDS:
            raise InvalidCalendarEventError(f"the scope of {name!r} is [all, plan or volume, of which]")
        if not isinstance(scope[1], str) or len(scope[1]) > MAX_NAME_CHARS or name in scopes:
            raise InvalidCalendarEventError(f"the scope of {name!r} is no text, or the name is there twice")
        scopes[name] = Scope(scope[0], scope[1])
    return scopes


def _parse_instants(instants: object, scopes: Mapping[str, Scope]) -> dict[Occurrence, int]:
    if not isinstance(instants, list) or len(instants) > MAX_INSTANTS:
        raise InvalidCalendarEventError(f"instants are a list of at most {MAX_INSTANTS}")
    instant_ms: dict[Occurrence, int] = {}
    for instant in instants:
        if not isinstance(instant, list) or len(instant) != 3 or instant[0] not in scopes:
            raise InvalidCalendarEventError(
                "an instant is [a rule of the edition, local date, ms since 1970]"
            )
        occurrence = Occurrence(instant[0], _parse_date(instant[1]))
        if occurrence in instant_ms:
            raise InvalidCalendarEventError(f"{occurrence.rule} on {occurrence.date} has two instants")
        instant_ms[occurrence] = parse_whole_number(instant[2], "an instant")
    return instant_ms
