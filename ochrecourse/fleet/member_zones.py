"""Connects a fleet member to zone control and to the settings that must be equal at all gateways."""

from __future__ import annotations

from collections.abc import Callable

from ochrecourse.common.request_records import AttemptRecord, RequestRecord
from ochrecourse.common.runtime import now_ns
from ochrecourse.fleet.member_environment import MemberEnvironment, ZonePlacement
from ochrecourse.fleet.member_settings import MemberSettings
from ochrecourse.fleet.operator_log import OperatorLog
from ochrecourse.fleet.shared_settings import SharedSettingsSubsystem
from ochrecourse.fleet.zone_context import FleetPlacement
from ochrecourse.fleet.zone_controller import ZoneController
from ochrecourse.fleet.zone_settings import ZoneSettings
from ochrecourse.fleet.zone_subsystem import ZoneSubsystem


class MemberZones:
    """Zone control of one member.

    `zones` and `zone_subsystem` are None if the settings have no zones. `wall_ms`: returns ms since 1970.
    """

    def __init__(
        self,
        settings: MemberSettings,
        environment: MemberEnvironment,
        placement: ZonePlacement,
        wall_ms: Callable[[], int],
    ) -> None:
        self.network = environment.network
        self.gateway = environment.gateway
        self.zones: ZoneController | None = None
        self.zone_subsystem: ZoneSubsystem | None = None
        fleet_size = len({peer["name"] for peer in settings.peers}) + 1
        if settings.zones is not None:
            fleet_placement = FleetPlacement(
                placement.zone_count, self.gateway.name, placement.zone, fleet_size, placement.names
            )
            self.zones = ZoneController(ZoneSettings.from_map(settings.zones), fleet_placement)
            self.zone_subsystem = ZoneSubsystem(
                self.zones, self.gateway.request_log, placement.warm_up, wall_ms, settings.beat_interval
            )
            self.gateway.attempt_observers.append(self.attempt_ended)
        cold_node_rate = self.zones.context.cold_node_rate if self.zones is not None else 0.0
        self.shared_settings = SharedSettingsSubsystem(
            placement.names, fleet_size, settings.clock_bound_ms, cold_node_rate
        )

    def attempt_ended(self, request: RequestRecord, attempt: AttemptRecord) -> None:
        """Passes an ended attempt of the gateway to zone control."""
        if self.zone_subsystem is not None:
            self.zone_subsystem.attempt_ended(request, attempt, now_ns(self.network))

    def detach(self) -> None:
        """Stops observing the gateway's attempts."""
        if self.attempt_ended in self.gateway.attempt_observers:
            self.gateway.attempt_observers.remove(self.attempt_ended)

    def apply_shared_settings(self, operator_log: OperatorLog) -> None:
        """Logs differences to other gateways' settings and applies the most conservative values."""
        for change in self.shared_settings.changes():
            event = "fleet settings alike" if change.is_over else "fleet settings differ"
            operator_log.write(event, **change.log_fields())
        if self.zones is not None:
            settings = self.shared_settings
            self.zones.apply_shared_settings(
                settings.gateways_with_other_zones(),
                settings.fleet_size(),
                settings.clock_bound_ms(),
                settings.cold_node_rate(),
            )
