"""The section `fleet` of a gateway's settings as typed values."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from ochrecourse.common.time_units import MS
from ochrecourse.fleet.format_versions import NEWEST_VERSION
from ochrecourse.fleet.log import LogLimits


@dataclass(frozen=True)
class MemberSettings:
    """Durations in ns unless the name states another unit.

    `fleet`: the fleet's name. `beat_interval`: time between heartbeats. `silence_timeout`: silence after
    which a gateway counts as unreachable. `eviction_time`: silence after which a gateway may be evicted from
    the fleet. `clock_shift_ms`: added to the wall clock. `max_entries_in_flight`: limit for one peer.
    `catch_up_bytes_per_s`: rate at which log entries are sent over all links; 0: no limit. `newest_version`:
    the newest format version that this member supports. `clock_bound_ms`: by which clocks may differ.
    `zones`: the zones' settings, None without zones.
    """

    fleet: str
    peers: Sequence[Mapping[str, Any]]
    beat_interval: int
    silence_timeout: int
    eviction_time: int
    clock_shift_ms: int
    log_limits: LogLimits
    max_entries_in_flight: int
    catch_up_bytes_per_s: int
    newest_version: int
    clock_bound_ms: float
    zones: Mapping[str, Any] | None

    @classmethod
    def from_map(cls, settings: Mapping[str, Any]) -> MemberSettings:
        """Converts the settings map, whose durations are in ms."""
        log = settings["log"]
        zones = settings.get("zones")
        return cls(
            fleet=settings["name"],
            peers=settings["peers"],
            beat_interval=round(settings["beat"] * MS),
            silence_timeout=round(settings["quiet"] * MS),
            eviction_time=round(settings["let_go"] * MS),
            clock_shift_ms=round(settings["shift"]),
            log_limits=LogLimits(
                round(log["entry"]), round(log["channel"]), log["channels"], round(settings["ahead"])
            ),
            max_entries_in_flight=log["flight"],
            catch_up_bytes_per_s=round(log["catch_up"]),
            newest_version=settings.get("newest_form", NEWEST_VERSION),
            clock_bound_ms=settings["clock_bound"],
            zones={**zones, "clock_bound": settings["clock_bound"]} if zones is not None else None,
        )
