"""Tracks which edges of a site began with a new disk, and which of those are recovered. Free of I/O and
clocks.

An edge whose disk is new may have accepted editions that it no longer knows. It reports the new disk by an
event and is not counted until it is recovered: enough other edges have acknowledged the new disk, and it has
accepted all editions that they had accepted. If more than half of the edges have new disks, the site
bootstraps instead.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

from ochrecourse.fleet.calendar_edition import BEFORE_ALL_MS, NEVER_MS
from ochrecourse.fleet.calendar_events import (
    DISK_ACKNOWLEDGED,
    DISK_NEW,
    EdgeIncarnation,
    parse_acknowledged_disk,
    parse_recovery,
)
from ochrecourse.fleet.entries import Entry, Timestamp

NEVER = Timestamp(NEVER_MS, 0)


class NewDisk(NamedTuple):
    """An incarnation that began with a new disk, and the timestamp of its event in ms."""

    incarnation: int
    at_ms: int


class Acknowledgement(NamedTuple):
    """An acknowledgement of a new disk: the incarnation that began with it, and the timestamp."""

    incarnation: int
    at: Timestamp


class Recovery(NamedTuple):
    """The last incarnation of an edge that recovered, and whether it did so by the bootstrap of the site."""

    incarnation: int
    bootstrapped: bool


NO_NEW_DISK = NewDisk(BEFORE_ALL_MS, 0)
NO_ACKNOWLEDGEMENT = Acknowledgement(BEFORE_ALL_MS, NEVER)
NO_RECOVERY = Recovery(BEFORE_ALL_MS, False)


class DiskRecovery:
    """The state of a site's new disks, independent of the order of arrival of their events."""

    def __init__(self) -> None:
        self.new_disks: dict[str, NewDisk] = {}  # by edge, the newest
        self.recoveries: dict[str, Recovery] = {}  # by edge, of the newest incarnation
        self.recovered_at: dict[EdgeIncarnation, Timestamp] = {}  # by incarnation, its first such event
        # By the edge that acknowledges and the edge whose disk is acknowledged.
        self.acknowledgements: dict[tuple[str, str], Acknowledgement] = {}
        # By each incarnation that the site bootstrapped with: all of these incarnations.
        self.bootstraps: dict[EdgeIncarnation, list[EdgeIncarnation]] = {}

    def event(self, body: Mapping[str, Any], entry: Entry, edge_count: int) -> None:
        """Records an event of DISK_EVENTS by an edge of the site. Raises InvalidCalendarEventError."""
        edge = entry.writer
        if body["what"] == DISK_NEW:
            previous = self.new_disks.get(edge, NewDisk(0, 0))
            self.new_disks[edge] = max(NewDisk(entry.incarnation, entry.at.ms), previous)
        elif body["what"] == DISK_ACKNOWLEDGED:
            other, incarnation = parse_acknowledged_disk(body)
            known = self.acknowledgements.get((edge, other), Acknowledgement(BEFORE_ALL_MS, entry.at))
            self.acknowledgements[edge, other] = max(known, Acknowledgement(incarnation, entry.at))
        else:
            self._recovered(edge, *parse_recovery(body, edge_count), entry.at)

    def _recovered(self, edge: str, incarnation: int, others: list[EdgeIncarnation], at: Timestamp) -> None:
        recovery = Recovery(incarnation, bool(others))
        self.recoveries[edge] = max(self.recoveries.get(edge, NO_RECOVERY), recovery)
        key = EdgeIncarnation(edge, incarnation)
        self.recovered_at[key] = min(self.recovered_at.get(key, NEVER), at)
        for each in others:
            self.bootstraps.setdefault(each, others)

    def is_recovered(self, edge: str) -> bool:
        """Whether an edge knows all editions that it accepted, according to its events stored here."""
        new_disk = self.new_disks.get(edge, NO_NEW_DISK)
        return self.recoveries.get(edge, NO_RECOVERY).incarnation >= new_disk.incarnation

    def replaced_disk(self, edge: str) -> NewDisk | None:
        """The new disk of an edge if it may have replaced another one; None if there was none before."""
        new_disk = self.new_disks.get(edge)
        if new_disk is None:
            return None
        bootstrapped = Recovery(new_disk.incarnation, True)
        return None if self.recoveries.get(edge, NO_RECOVERY) >= bootstrapped else new_disk
