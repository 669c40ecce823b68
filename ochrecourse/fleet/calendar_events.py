"""The events of channel `calendar/SITE` other than editions: the acceptance of editions, and the recovery of
edges with a new disk. Free of I/O and clocks.

The JSON names in the log differ from the names of the fields; this module maps them.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

import msgspec

from ochrecourse.fleet.calendar_edition import EditionId, InvalidCalendarEventError, parse_whole_number

EDITION = "edition"
EDITION_ACCEPTED = "taken"
DISK_NEW = "new"
DISK_ACKNOWLEDGED = "saw"
DISK_RECOVERED = "whole"
DISK_EVENTS = (DISK_NEW, DISK_ACKNOWLEDGED, DISK_RECOVERED)


class EdgeIncarnation(NamedTuple):
    """An edge, and the incarnation that began with a new disk."""

    edge: str
    incarnation: int


class EditionAccepted(msgspec.Struct, tag_field="what", tag=EDITION_ACCEPTED, rename={"edition": "of"}):
    """An edge accepts an edition, which is stored on its disk."""

    site: str
    edge: str
    number: int
    edition: EditionId


class DiskNew(msgspec.Struct, tag_field="what", tag=DISK_NEW):
    """An edge began an incarnation with a disk that may lack editions it accepted earlier."""

    site: str
    edge: str


class DiskAcknowledged(msgspec.Struct, tag_field="what", tag=DISK_ACKNOWLEDGED, rename={"disk": "of"}):
    """An edge acknowledges that another edge's disk is new."""

    site: str
    edge: str
    disk: EdgeIncarnation


class DiskRecovered(
    msgspec.Struct,
    tag_field="what",
    tag=DISK_RECOVERED,
    rename={"incarnation": "life", "bootstrapped_with": "with"},
):
    """An edge with a new disk is recovered: it knows all editions that it accepted. `bootstrapped_with`: all
    edges that were new when the site bootstrapped; empty if this edge recovered from others.
    """

    site: str
    edge: str
    incarnation: int
    bootstrapped_with: list[EdgeIncarnation]


CalendarEvent = EditionAccepted | DiskNew | DiskAcknowledged | DiskRecovered


def encode_event(event: CalendarEvent) -> dict[str, Any]:
    """Encodes an event as the body of an entry: plain JSON values under the names used in the log."""
    body: dict[str, Any] = msgspec.to_builtins(event)
    return body


def accepted_edition_fields(body: Mapping[str, Any]) -> list[Any]:
    """The fields of the id of the edition that an event accepts. Raises InvalidCalendarEventError."""
    fields = body.get("of")
    if not isinstance(fields, list) or len(fields) != 3 or not isinstance(fields[0], str):
        raise InvalidCalendarEventError("`taken` names an edition's entry")
    return fields


def parse_edition_id(fields: list[Any]) -> EditionId:
    """Parses the id of an edition from its fields. Raises InvalidCalendarEventError."""
    writer, incarnation, sequence = fields
    return (writer, parse_whole_number(incarnation, "a life"), parse_whole_number(sequence, "a sequence"))


def parse_acknowledged_disk(body: Mapping[str, Any]) -> EdgeIncarnation:
    """Parses the new disk that an event acknowledges. Raises InvalidCalendarEventError."""
    return _parse_edge_incarnation(body.get("of"))


def parse_recovery(body: Mapping[str, Any], max_edges: int) -> tuple[int, list[EdgeIncarnation]]:
    """Parses a recovery: its incarnation, and those of the bootstrap. Raises InvalidCalendarEventError."""
    bootstrapped_with = body.get("with")
    if not isinstance(bootstrapped_with, list) or len(bootstrapped_with) > max_edges:
        raise InvalidCalendarEventError("`whole` names the lives that began with it")
    edges = [_parse_edge_incarnation(each) for each in bootstrapped_with]
    return parse_whole_number(body.get("life"), "a life"), edges


def _parse_edge_incarnation(value: object) -> EdgeIncarnation:
    if not isinstance(value, list) or len(value) != 2 or not isinstance(value[0], str):
        raise InvalidCalendarEventError("an edge's life is [its name, the life]")
    return EdgeIncarnation(value[0], parse_whole_number(value[1], "a life"))
