"""The report of purges for operators: by site, which edges executed each purge, when and how late, and which
edges are outstanding. Free of I/O and clocks. The keys are part of the operators' interface.
"""

from __future__ import annotations

from typing import Any

from ochrecourse.fleet.edition_timeline import DueOccurrence
from ochrecourse.fleet.purge_schedule import MAX_CATCH_UP_MS, PurgeSchedule

MAX_REPORTED_PURGES = 64  # per site, the newest ones


def purge_report(schedule: PurgeSchedule) -> dict[str, Any]:
    """The report of a gateway's purges, its readiness and its site."""
    offsets = schedule.clock.peers_out_of_bound()
    return {
        "site": schedule.site,
        "sure": schedule.is_ready(),
        "why_not": schedule.not_ready_reason(),
        "clock_believed": schedule.clock.trusted,
        "whole": schedule.is_recovered(),
        "clocks_off": {peer: list(offset) for peer, offset in offsets.items()},
        "edges_unlike": dict(sorted(schedule.connectivity.mismatches.items())),
        "sites": {site: _site_report(schedule, site) for site in sorted(schedule.calendars)},
    }


def _site_report(schedule: PurgeSchedule, site: str) -> dict[str, Any]:
    calendar, wall_ms = schedule.calendars[site], schedule.wall_ms
    in_force, highest = calendar.edition_in_force(wall_ms), calendar.highest_edition()
    due = calendar.due_occurrences(wall_ms - MAX_CATCH_UP_MS, wall_ms)[-MAX_REPORTED_PURGES:]
    invalid_events = {**calendar.invalid_events, **schedule.invalid_settlements}
    return {
        "edges": list(calendar.edges),
        "edition": None if in_force is None else in_force.number,
        "highest": None if highest is None else highest.number,
        "through": None if in_force is None else in_force.last_date,
        "bad_events": dict(sorted(invalid_events.items())),
        "purges": [_purge_record(schedule, site, each) for each in due],
    }


def _purge_record(schedule: PurgeSchedule, site: str, due: DueOccurrence) -> dict[str, Any]:
    calendar, records = schedule.calendars[site], schedule.settlements[site]
    executed: dict[str, dict[str, int]] = {}
    outstanding = []
    for edge in calendar.edges:
        settlement = records.find(edge, due.occurrence)
        if settlement is not None:
            executed[edge] = {
                "at": settlement.at_ms,
                "late_ms": settlement.late_ms,
                "edition": settlement.edition,
                "dropped": settlement.dropped,
            }
        elif calendar.first_accepted_ms.get(edge, 0) <= due.due_ms:
            outstanding.append(edge)
    return {
        "rule": due.occurrence.rule,
        "date": due.occurrence.date,
        "edition": due.number,
        "due": due.due_ms,
        "fired": executed,
        "owed": outstanding,
    }
