"""The zones of a fleet member, and the settings that must be the same at all gateways for them to work."""

from __future__ import annotations

from collections.abc import Callable

from ochrecourse.common.request_records import AttemptRecord, RequestRecord
from ochrecourse.common.runtime import now_ns
from ochrecourse.fleet.member_environment import MemberEnvironment, ZonePlacement
from ochrecourse.fleet.member_settings import MemberSettings
from ochrecourse.fleet.operator_log import OperatorLog
from ochrecourse.fleet.terms import Terms
from ochrecourse.fleet.zones import Zones
from ochrecourse.fleet.zonewatch import ZoneWatch


class MemberZones:
    """`zones` and `zone_watch` are None where the settings have no zones. `wall_ms`: ms since 1970."""

    def __init__(
        self,
        settings: MemberSettings,
        environment: MemberEnvironment,
        placement: ZonePlacement,
        wall_ms: Callable[[], int],
    ) -> None:
        self.network = environment.network
        self.gateway = environment.gateway
        self.zones: Zones | None = None
        self.zone_watch: ZoneWatch | None = None
        fleet_size = len({peer["name"] for peer in settings.peers}) + 1
        if settings.zones is not None:
            self.zones = Zones(
                settings.zones,
                placement.zone_count,
                self.gateway.name,
                placement.zone,
                fleet_size,
                placement.names,
            )
            self.zone_watch = ZoneWatch(
                self.zones, self.gateway.request_log, placement.warm_up, wall_ms, settings.beat_interval
            )
            self.gateway.attempt_observers.append(self.attempt_ended)
        cold_limit = self.zones.figure["cold"] if self.zones is not None else 0.0
        self.terms = Terms(placement.names, fleet_size, settings.clock_bound_ms, cold_limit)

    def attempt_ended(self, request: RequestRecord, attempt: AttemptRecord) -> None:
        """An attempt of the gateway ended: what it shows of the node's zone."""
        if self.zone_watch is not None:
            self.zone_watch.leg_over(request, attempt, now_ns(self.network))

    def detach(self) -> None:
        """Attempts of the gateway are no longer observed."""
        if self.attempt_ended in self.gateway.attempt_observers:
            self.gateway.attempt_observers.remove(self.attempt_ended)

    def apply_terms(self, operator_log: OperatorLog) -> None:
        """Applies what the other gateways have for the settings that must be the same for all."""
        for change in self.terms.changes():
            is_same = change["what"] == "all"
            operator_log.write("fleet settings alike" if is_same else "fleet settings differ", **change)
        if self.zones is not None:
            terms = self.terms
            self.zones.terms_are(terms.strangers(), terms.size(), terms.clock_bound(), terms.cold())
