"""Runs a fleet member's subsystems: delivers entries and statuses to them and collects theirs."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping
from functools import partial

from ochrecourse.common.runtime import Clock, now_ns
from ochrecourse.fleet.entries import Entry, Heartbeat
from ochrecourse.fleet.frontier import FLEET_CHANNEL
from ochrecourse.fleet.log import Log, Snapshot
from ochrecourse.fleet.operator_log import OperatorLog
from ochrecourse.fleet.subsystem import Subsystem, events_for
from ochrecourse.fleet.wanted_appends import RequestAppend, WantedAppends, WantedEntry

MAX_REASON_CHARACTERS = 300


class SubsystemHost:
    """`subsystems`: in order of registration. `peer_errors`: number of peers' protocol violations by code."""

    def __init__(self, clock: Clock, log: Log, operator_log: OperatorLog, peer_errors: Counter[str]) -> None:
        self.clock = clock
        self.log = log
        self.operator_log = operator_log
        self.peer_errors = peer_errors
        self.subsystems: list[Subsystem] = []
        self._appends: dict[int, WantedAppends] = {}  # by position in `subsystems`
        self._reachable_zones: Mapping[str, int] = {}

    def register(self, subsystem: Subsystem) -> None:
        """Adds a subsystem and delivers all entries of the log to it."""
        now = now_ns(self.clock)
        self.subsystems.append(subsystem)
        for entry in events_for(self.log.snapshot(FLEET_CHANNEL), subsystem):
            subsystem.entry_received(entry, now)
        for entry in self.log.all_entries():
            subsystem.entry_received(entry, now)

    def entry_received(self, entry: Entry) -> None:
        """Delivers an entry that is new in the log, or is ahead of its stream and delivered again later."""
        now = now_ns(self.clock)
        for subsystem in self.subsystems:
            subsystem.entry_received(entry, now)

    def snapshot_received(self, snapshot: Snapshot) -> None:
        """Delivers the events that a peer's applied snapshot retains for the subsystems."""
        if snapshot.channel != FLEET_CHANNEL:
            return
        now = now_ns(self.clock)
        for subsystem in self.subsystems:
            for entry in events_for(snapshot, subsystem):
                subsystem.entry_received(entry, now)

    def deliver_statuses(self, heartbeats: Collection[Heartbeat], now: int) -> None:
        """Delivers the statuses in other gateways' heartbeats to the subsystems."""
        for heartbeat in heartbeats:
            for subsystem in self.subsystems:
                status = heartbeat.statuses.get(subsystem.name)
                if status is not None:
                    self._deliver_status(subsystem, heartbeat, status, now)

    def _deliver_status(self, subsystem: Subsystem, heartbeat: Heartbeat, status: bytes, now: int) -> None:
        try:
            subsystem.status_received(heartbeat.name, heartbeat.zone, status, now)
        except Exception as error:
            # A malformed status from one peer must not abort this beat.
            self.peer_errors["bad_sight"] += 1
            reason = str(error)[:MAX_REASON_CHARACTERS]
            self.operator_log.write_once_per_beat(
                heartbeat.name, "fleet sight refused", peer=heartbeat.name, why=reason
            )

    def beat(self, now: int) -> None:
        """Notifies the subsystems of a beat."""
        for subsystem in self.subsystems:
            subsystem.beat_passed(now)

    def append_wanted(self, zones: Mapping[str, int], request_append: RequestAppend) -> None:
        """Appends the entries that subsystems request. `zones`: of the reachable gateways, by name."""
        self._reachable_zones = zones
        for position, subsystem in enumerate(self.subsystems):
            if position not in self._appends:
                self._appends[position] = WantedAppends(partial(self._next_entry, subsystem), request_append)
            self._appends[position].beat()

    def _next_entry(self, subsystem: Subsystem) -> WantedEntry | None:
        wanted = subsystem.next_entry(now_ns(self.clock), self._reachable_zones)
        return WantedEntry(*wanted) if wanted is not None else None

    def statuses(self, now: int) -> dict[str, bytes]:
        """Returns the subsystems' statuses for the next heartbeat, by name."""
        statuses = {}
        for subsystem in self.subsystems:
            status = subsystem.status(now)
            if status is not None:
                statuses[subsystem.name] = status
        return statuses

    def rate_limits(self, now: int) -> dict[int, float]:
        """Returns the lowest rate limit of all subsystems for each node, in units started per second."""
        limits: dict[int, float] = {}
        for subsystem in self.subsystems:
            for node, limit in subsystem.node_rates(now).items():
                limits[node] = min(limit, limits.get(node, limit))
        return limits
