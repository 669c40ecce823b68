"""The report of a fleet member for operators, and its metrics."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ochrecourse.common.runtime import Clock, now_ns
from ochrecourse.common.time_units import SECOND
from ochrecourse.fleet.frontier import Frontier
from ochrecourse.fleet.peer_links import PeerLinks
from ochrecourse.fleet.exchange_context import ExchangeContext
from ochrecourse.fleet.subsystem import Subsystem, status_reports

MS_PER_SECOND = 1000


@dataclass(frozen=True)
class MemberReport:
    """Reads the state of one member. `wall_ms`: ms since 1970; `counts`: of appends and rejected appends."""

    clock: Clock
    common: ExchangeContext
    frontier: Frontier
    links: PeerLinks
    subsystems: list[Subsystem]
    counts: Counter[str]
    wall_ms: Callable[[], int]

    def report(self) -> dict[str, Any]:
        """Returns the current state for operators."""
        now = now_ns(self.clock)
        log, members = self.common.log, self.common.members
        reachable, frontier = set(members.reachable(now)), log.frontier()
        return {
            "fleet": self.common.fleet,
            "name": members.name,
            "life": log.incarnation,
            "members": [self._member(name, name in reachable, now) for name in members.names()],
            "links": sorted(self.links.by_peer),
            "channels": {
                name: {"entries": log.entry_count(name), "bytes": log.channel_bytes(name)}
                for name in log.channels()
            },
            "frontier_ms": frontier.ms,
            "behind_ms": self.wall_ms() - frontier.ms,
            "counting": dict(sorted(self.frontier.membership.active.items())),
            "given_up": dict(sorted(self.frontier.membership.departed.items())),
            "forks": sorted(log.forks.values()),
            "notes": [*log.notes, *self.common.log_store.notes],
            "mistakes": dict(self.links.peer_errors),
            "disk": self._disk(),
            **status_reports(self.subsystems),
        }

    def _member(self, name: str, reachable: bool, now: int) -> dict[str, Any]:
        members = self.common.members
        heartbeat = members.heartbeats.get(name)
        last_received_at = members.received_at.get(name, now)
        return {
            "name": name,
            "reached": reachable,
            "linked": name in self.links.by_peer,
            "zone": heartbeat.zone if heartbeat is not None else None,
            "life": heartbeat.incarnation if heartbeat is not None else None,
            "entries": heartbeat.seq if heartbeat is not None else None,
            "silent_s": round((now - last_received_at) / SECOND, 3),
        }

    def _disk(self) -> dict[str, Any]:
        """Returns the state of the journal's pending writes."""
        writer = self.common.log_store.writer
        waiting = writer.waiting()
        return {
            "records": waiting.records,
            "bytes": waiting.size,
            "oldest_s": round(waiting.oldest_ns / SECOND, 3),
            "answers": not writer.is_stalled,
        }

    def metrics(self) -> dict[str, float]:
        """Returns values by metric name."""
        now = now_ns(self.clock)
        log, members = self.common.log, self.common.members
        traffic = self.links.traffic()
        writer = self.common.log_store.writer
        waiting = writer.waiting()
        values: dict[str, float] = {
            "fleet_links": len(self.links.by_peer),
            "fleet_members": len(members.names()),
            "fleet_members_reached": len(members.reachable(now)),
            "fleet_form": self.common.format_versions.in_force,
            "fleet_entries": sum(log.vector().values()),
            "fleet_frontier_behind_seconds": (self.wall_ms() - log.frontier().ms) / MS_PER_SECOND,
            'fleet_bytes_total{way="in"}': traffic.bytes_in,
            'fleet_bytes_total{way="out"}': traffic.bytes_out,
            'fleet_frames_total{way="in"}': traffic.frames_in,
            'fleet_frames_total{way="out"}': traffic.frames_out,
            "fleet_journal_waiting_records": waiting.records,
            "fleet_journal_waiting_bytes": waiting.size,
            "fleet_journal_oldest_wait_seconds": waiting.oldest_ns / SECOND,
            "fleet_journal_answers": float(not writer.is_stalled),
            "fleet_appends_total": self.counts["appends"],
            "fleet_appends_refused_total": self.counts["appends refused"],
        }
        for code, count in self.links.peer_errors.items():
            values[f'fleet_mistakes_total{{code="{code}"}}'] = count
        return values
