"""What runs on a fleet member: zones, purges and others, each with a status and events in the log."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any, Protocol

import msgspec

from ochrecourse.fleet.entries import Entry
from ochrecourse.fleet.log import Snapshot

UNKNOWN_EVENTS = (
    "others"  # the key, in a snapshot of channel `fleet`, of events its writer did not understand
)


class Subsystem(Protocol):
    """What runs on a member: it receives what others report of its matter, and says what to report.

    `name`: the key of its status in heartbeats, and of its events in snapshots. Times in ns on this host's
    clock. It may also have `keeps`, for the events that a snapshot is to retain for it, and `report`, for
    operators.
    """

    name: str

    def status(self, now: int) -> bytes | None:
        """Its status for the next heartbeat: JSON, or None for nothing."""

    def status_received(self, name: str, zone: int, status: bytes, now: int) -> None:
        """Another gateway's status was received. Raises ValueError or an error of its own for a bad one."""

    def entry_received(self, entry: Entry, now: int) -> None:
        """An entry is new in the log, of any channel; in any order, and possibly more than once."""

    def next_entry(self, now: int, reached: Mapping[str, int]) -> tuple[str, object] | None:
        """Channel and value of an entry to append; called until None. `reached`: zones by gateway."""

    def node_rates(self, now: int) -> Mapping[int, float]:
        """Units a second that this gateway may begin at a node; one that is left out has no limit."""

    def beat_passed(self, now: int) -> None:
        """A beat has passed."""


def retained_events(snapshot: Snapshot | None, name: str) -> list[Entry]:
    """The events that a snapshot of channel `fleet` retains under a subsystem's name."""
    if snapshot is None:
        return []
    try:
        return msgspec.convert(json.loads(snapshot.value).get(name, []), list[Entry])
    except (ValueError, AttributeError, RecursionError):
        return []  # a snapshot of a version without this subsystem


def events_for(snapshot: Snapshot | None, subsystem: Subsystem) -> list[Entry]:
    """The events in a snapshot that a subsystem may need: its own, and those that nobody understood."""
    return [*retained_events(snapshot, subsystem.name), *retained_events(snapshot, UNKNOWN_EVENTS)]


def status_reports(subsystems: list[Subsystem]) -> dict[str, Any]:
    """What the subsystems report to operators, by name."""
    return {each.name: report() for each in subsystems if (report := getattr(each, "report", None))}
