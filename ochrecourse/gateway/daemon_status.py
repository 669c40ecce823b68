"""The reports of a daemon: status for its service addresses, health page, metrics, endpoint list."""

from __future__ import annotations

from collections import Counter
from math import inf
from typing import Any

import msgspec

from ochrecourse.bgp.fitness import GatewayStatus
from ochrecourse.common.request_records import RequestRecord
from ochrecourse.common.runtime import now_ns
from ochrecourse.common.time_units import SECOND
from ochrecourse.gateway.daemon_parts import DaemonParts
from ochrecourse.gateway.gateway import Gateway
from ochrecourse.interface import Health
from ochrecourse.membership.conflicts import find_conflicts
from ochrecourse.membership.registry_watcher import RegistryWatcher
from ochrecourse.nodes.outcome import AttemptEvent
from ochrecourse.storage.journal import SYNC_BUCKETS_S

RECENT_LAG = 2 * SECOND  # period, in ns, whose worst event loop lag is in the status


class DaemonStatus(DaemonParts):
    """The reports of one daemon. Names of metrics and fields are documented for operators."""

    def listen_address(self) -> str:
        """Returns HOST:PORT of the framed protocol; empty before it serves."""
        at = self.client_port.getHost() if self.client_port is not None else None
        return f"{at.host}:{at.port}" if at is not None else ""

    def status(self) -> GatewayStatus:
        """Returns this gateway's current state, as input to its fitness for service addresses."""
        gateway, watcher, now = self.gateway, self.endpoint_watcher, now_ns(self.network)
        ready_nodes = [node for node, entry in gateway.entries.items() if entry.health is Health.READY]
        recent = self.outcome_window.update(gateway.request_log.outcomes, now)
        list_age = watcher.endpoint_list.age(now)
        registration = self.registration
        return GatewayStatus(
            listening=self.client_port is not None,
            draining=not gateway.shutdown.accepts_requests(),
            loop_lag=gateway.event_loop_lag.worst_since(now - RECENT_LAG),
            has_list=bool(gateway.entries),
            # While the watch is connected, the list is current, however long ago it last changed.
            list_age=0 if watcher.connected else list_age or 0,
            list_received=list_age is not None,
            registered=registration is None or registration.is_active() or not registration.lease.losses,
            nodes_ready=len(ready_nodes),
            nodes_reachable=gateway.node_health.count_reachable(ready_nodes, now),
            recent_requests=recent.requests,
            failed_share=recent.failed_share,
            requests_last_second=recent.requests_last_second,
            served_last_second=recent.served_last_second,
            open_share=gateway.request_log.open / gateway.max_open,
        )

    def ready(self) -> tuple[bool, str]:
        """Returns whether new requests can be served, and "ready" or the reason why not."""
        if not self.gateway.shutdown.accepts_requests():
            return False, "leaving"
        if not self.gateway.entries:
            return False, "no list of nodes"
        if self.gateway.request_log.open >= self.gateway.max_open:
            return False, "no room for more jobs"
        return True, "ready"

    def endpoint_report(self) -> dict[str, Any]:
        """Returns this gateway's endpoint list, its age and source, and conflicts with observations."""
        watcher, now = self.endpoint_watcher, now_ns(self.network)
        age = watcher.endpoint_list.age(now)
        report: dict[str, Any] = {
            "from": "registry" if isinstance(watcher, RegistryWatcher) else "list server",
            "connected": watcher.connected,
            "epoch": watcher.endpoint_list.epoch,
            "age_s": None if age is None else round(age / SECOND, 3),
            "nodes": [
                msgspec.structs.asdict(line) for _, line in sorted(watcher.endpoint_list.entries.items())
            ],
            "conflicts": [
                {
                    "node": each.node,
                    "what": each.description,
                    "for_s": round((now - each.since) / SECOND, 3) if each.since else None,
                }
                for each in find_conflicts(self.gateway.entries, self.node_observations, now)
            ],
            "counts": dict(watcher.counts),
            "lease": None if self.registration is None else self.registration.is_active(),
        }
        if isinstance(watcher, RegistryWatcher):
            report["not_believed"] = watcher.registry.distrust_reason
            report["notes"] = dict(watcher.registrations.problems)
        return report

    def request_finished(self, gateway: Gateway, record: RequestRecord) -> None:
        """Records what a finished request's attempts show about their nodes."""
        for attempt in record.attempts:
            if attempt.reason:
                ended_at = attempt.sent_at + attempt.took
                self.node_observations.attempt_ended(attempt.node, AttemptEvent(attempt.reason), ended_at)

    # --- the metrics page ---

    def figures(self) -> dict[str, float]:
        """Returns the values of the metrics page by name."""
        figures = {
            **self._request_figures(),
            **self._endpoint_figures(),
            **self._journal_figures(),
            **self._outcome_figures(),
            **self._bgp_figures(),
        }
        if self.registration is not None:
            figures["registry_lease_held"] = float(self.registration.is_active())
            figures["registry_leases_lost_total"] = self.registration.lease.losses
        if self.fleet_member is not None:
            figures.update(self.fleet_member.figures())
        if self.purger is not None:
            figures.update(self.purger.figures())
        figures.update(self._webdav_figures())
        figures.update(self._event_figures())
        return figures

    def _request_figures(self) -> dict[str, float]:
        gateway, log, clients = self.gateway, self.gateway.request_log, self.client_factory
        return {
            "jobs_taken_total": log.received,
            "jobs_denied_at_door_total": gateway.rejected_on_arrival,
            "jobs_open": log.open,
            "jobs_open_limit": gateway.max_open,
            "legs_total": log.attempts,
            "legs_further_total": log.retries,
            "legs_out": len(gateway.nodes.in_flight),
            "node_connections": gateway.nodes.open_connections(),
            "client_connections": len(clients.connections),
            "client_connections_limit": clients.max_connections,
        }

    def _endpoint_figures(self) -> dict[str, float]:
        gateway, endpoint_list, now = self.gateway, self.endpoint_watcher.endpoint_list, now_ns(self.network)
        age = endpoint_list.age(now)
        return {
            "nodes_listed": len(gateway.entries),
            "list_conflicts": len(find_conflicts(gateway.entries, self.node_observations, now)),
            "list_age_seconds": -1.0 if age is None else age / SECOND,
            "list_epoch": endpoint_list.epoch,
            "list_gaps_total": endpoint_list.gaps,
            "loop_late_worst_seconds": gateway.event_loop_lag.worst / SECOND,
        }

    def _journal_figures(self) -> dict[str, float]:
        journals = self.file_journals
        worst_s = max((journal.worst_sync_s for journal in journals.values()), default=0.0)
        figures: dict[str, float] = {"journal_sync_worst_seconds": worst_s}
        for name, journal in journals.items():
            for bucket_s, count in zip(SYNC_BUCKETS_S, journal.sync_counts, strict=True):
                bound = "+Inf" if bucket_s == inf else f"{bucket_s:g}"
                figures[f'journal_sync_seconds_bucket{{journal="{name}",le="{bound}"}}'] = count
            figures[f'journal_sync_seconds_count{{journal="{name}"}}'] = journal.sync_counts[-1]
            figures[f'journal_sync_seconds_sum{{journal="{name}"}}'] = journal.sync_seconds
        return figures

    def _outcome_figures(self) -> dict[str, float]:
        log = self.gateway.request_log
        figures: dict[str, float] = {}
        for outcome, count in log.outcomes.items():
            figures[f'jobs_total{{ending="{outcome.value}"}}'] = count
        for ending, count in log.endings.items():
            figures[f'leg_endings_total{{ending="{ending.value}"}}'] = count
        return figures

    def _bgp_figures(self) -> dict[str, float]:
        figures: dict[str, float] = {}
        if self.speaker is None:
            return figures
        for each in self.speaker.peers:
            figures[f'bgp_peer_state{{peer="{each.settings.session.name}"}}'] = int(each.fsm.state)
        for address in self.speaker.addresses:
            network, fitness = address.settings.network, address.fitness
            figures[f'bgp_standing{{network="{network}"}}'] = int(fitness.state)
            figures[f'bgp_changes_total{{network="{network}"}}'] = fitness.changes
        return figures

    def _webdav_figures(self) -> dict[str, float]:
        if self.webdav is None:
            return {}
        return {
            "webdav_connections": len(self.webdav.channels),
            "webdav_resources": self.webdav.tree.size,
            "webdav_bytes": self.webdav.tree.used.total(),
            "webdav_locks": len(self.webdav.methods.locks.by_token),
            "webdav_requests_waiting": len(self.webdav.waiting),
        }

    def _event_figures(self) -> dict[str, float]:
        sources: list[Counter[str]] = [
            self.gateway.nodes.counts,
            self.client_factory.counts,
            self.endpoint_watcher.counts,
        ]
        if self.webdav is not None:
            sources.append(self.webdav.counts)
        return {
            f'events_total{{what="{what}"}}': count for source in sources for what, count in source.items()
        }
