"""Settlements: the events `fired` of channel `purges/SITE`, by which the edges of a site confirm purges. Free
of I/O and clocks.

The JSON names in the log differ from the names of the fields; this module maps them.
"""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec

from ochrecourse.common.errors import OchrecourseError
from ochrecourse.fleet.calendar_edition import Occurrence
from ochrecourse.fleet.entries import Entry, LogPosition

MAX_TEXT_CHARS = 64  # of the text of an edge, a rule or a date
MAX_RECORDS = 64  # newest per edge and rule; exceeds the days in purge_schedule.MAX_CATCH_UP_MS
MAX_EDGES_AND_RULES = 4096  # per site; a site has fewer, so further ones are invalid


class Settlement(NamedTuple):
    """An edge executed the purges of one rule for all dates from the first to the last. `at_ms`: time by its
    own clock; `late_ms`: delay after the purge was due; `edition`: number of the edition; `dropped`: count of
    purged objects.
    """

    edge: str
    rule: str
    first_date: str
    last_date: str
    at_ms: int
    late_ms: int
    edition: int
    dropped: int
    position: LogPosition

    def covers(self, occurrence: Occurrence) -> bool:
        """Whether it settles this occurrence."""
        return self.rule == occurrence.rule and self.first_date <= occurrence.date <= self.last_date


class InvalidSettlementError(OchrecourseError):
    """An event of a channel `purges/SITE` is invalid; the text gives the reason."""


class PurgeFired(
    msgspec.Struct, tag_field="what", tag="fired", rename={"last_date": "date", "first_date": "since"}
):
    """The event of a settlement. `first_date`: set only if it covers several dates."""

    site: str
    rule: str
    last_date: str
    edge: str
    at: int
    late_ms: int
    edition: int
    dropped: int
    first_date: str | msgspec.UnsetType = msgspec.UNSET


def encode_settlement(event: PurgeFired) -> dict[str, Any]:
    """Encodes an event as the body of an entry: plain JSON values under the names used in the log."""
    body: dict[str, Any] = msgspec.to_builtins(event)
    return body


def parse_settlement(entry: Entry) -> Settlement:
    """Parses the settlement in an entry. Raises InvalidSettlementError."""
    try:
        body = msgspec.json.decode(entry.body)
    except msgspec.DecodeError:
        raise InvalidSettlementError("not JSON") from None
    if not isinstance(body, dict) or body.get("what") != "fired":
        raise InvalidSettlementError("what is fired")
    texts = [body.get(each) for each in ("edge", "rule", "date")]
    first_date = body.get("since", texts[2])
    if not all(isinstance(each, str) and len(each) <= MAX_TEXT_CHARS for each in (*texts, first_date)):
        raise InvalidSettlementError("edge, rule and dates are texts")
    if texts[0] != entry.writer:
        raise InvalidSettlementError("an edge settles for itself alone")
    numbers = [body.get(each, 0) for each in ("at", "late_ms", "edition", "dropped")]
    if not all(isinstance(each, int) and not isinstance(each, bool) for each in numbers):
        raise InvalidSettlementError("times, edition and count are whole numbers")
    at_ms, late_ms, edition, dropped = numbers
    return Settlement(
        edge=entry.writer,
        rule=str(texts[1]),
        first_date=str(first_date),
        last_date=str(texts[2]),
        at_ms=at_ms,
        late_ms=late_ms,
        edition=edition,
        dropped=dropped,
        position=entry.position,
    )


class SettlementRecords:
    """The settlements of one site. Among several for the same rule, date and edge, the first in the log's
    order applies.
    """

    def __init__(self) -> None:
        self.by_edge: dict[tuple[str, str], list[Settlement]] = {}  # by edge and rule, in order of dates
        self.count = 0  # of all settlements that were added

    def add(self, settlement: Settlement) -> None:
        """Records a settlement; repetitions are ignored. Raises InvalidSettlementError."""
        key = (settlement.edge, settlement.rule)
        if key not in self.by_edge and len(self.by_edge) >= MAX_EDGES_AND_RULES:
            raise InvalidSettlementError("more edges and rules than a site has")
        known = self.by_edge.setdefault(key, [])
        if any(each.position == settlement.position for each in known):
            return
        known.append(settlement)
        known.sort(key=lambda each: (each.last_date, each.first_date, each.position))
        del known[:-MAX_RECORDS]
        self.count += 1

    def find(self, edge: str, occurrence: Occurrence) -> Settlement | None:
        """The settlement of an occurrence by an edge; None if there is none."""
        records = self.by_edge.get((edge, occurrence.rule), ())
        covering = [each for each in records if each.covers(occurrence)]
        return min(covering, key=lambda each: each.position, default=None)
