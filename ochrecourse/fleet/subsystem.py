"""The interface of a fleet member's subsystems, such as zones and purges, and their events in snapshots."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any, Protocol

import msgspec

from ochrecourse.fleet.entries import Entry
from ochrecourse.fleet.log import Snapshot

UNKNOWN_EVENTS = (
    "others"  # the key, in a snapshot of channel `fleet`, of events of subsystems unknown to its writer
)


class Subsystem(Protocol):
    """A component of a member that exchanges statuses in heartbeats, and events in the log, with its peers.

    `name`: the key of its status in heartbeats and of its events in snapshots. Times in ns on this host's
    clock. Optional methods: `keeps`, which selects the events that a snapshot retains for it, and `report`,
    for operators.
    """

    name: str

    def status(self, now: int) -> bytes | None:
        """Returns its status for the next heartbeat as JSON, or None for no status."""

    def status_received(self, name: str, zone: int, status: bytes, now: int) -> None:
        """Processes another gateway's status. Raises ValueError or another exception if it is malformed."""

    def entry_received(self, entry: Entry, now: int) -> None:
        """Processes a new log entry of any channel. Entries arrive in any order, possibly more than once."""

    def next_entry(self, now: int, reached: Mapping[str, int]) -> tuple[str, object] | None:
        """Returns channel and value of an entry to append; called until it returns None. `reached`: the zones
        of the reachable gateways, by name.
        """

    def node_rates(self, now: int) -> Mapping[int, float]:
        """Returns rate limits by node, in units started per second; a node without an entry has no limit."""

    def beat_passed(self, now: int) -> None:
        """Called at each beat, after the statuses are delivered."""


def retained_events(snapshot: Snapshot | None, name: str) -> list[Entry]:
    """Returns the events that a snapshot of channel `fleet` retains under a subsystem's name."""
    if snapshot is None:
        return []
    try:
        return msgspec.convert(json.loads(snapshot.value).get(name, []), list[Entry])
    except (ValueError, AttributeError, RecursionError):
        return []  # malformed, or written by a version without this subsystem


def events_for(snapshot: Snapshot | None, subsystem: Subsystem) -> list[Entry]:
    """Returns a snapshot's events that a subsystem may need: its own, and those its writer did not know."""
    return [*retained_events(snapshot, subsystem.name), *retained_events(snapshot, UNKNOWN_EVENTS)]


def status_reports(subsystems: list[Subsystem]) -> dict[str, Any]:
    """Returns the subsystems' reports for operators, by name."""
    return {each.name: report() for each in subsystems if (report := getattr(each, "report", None))}
