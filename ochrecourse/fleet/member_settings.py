"""The part `fleet` of a gateway's settings, read once into typed values."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from ochrecourse.common.time_units import MS
from ochrecourse.fleet.format_versions import NEWEST_VERSION
from ochrecourse.fleet.log import LogLimits


@dataclass(frozen=True)
class MemberSettings:
    """Spans in ns unless the name says otherwise.

    `fleet`: its name. `beat_interval`: between heartbeats. `quiet`: silence until a gateway is not reached;
    `let_go`: until it may be released from the fleet. `clock_shift_ms` is added to the wall clock.
    `max_entries_in_flight`: to one peer. `catch_up_bytes_per_s`: of the log, over all links; 0: no limit.
    `newest_form`: of the protocol, that this member speaks. `clock_bound_ms`: by which clocks may differ.
    `zones`: settings of the zones, None without them.
    """

    fleet: str
    peers: Sequence[Mapping[str, Any]]
    beat_interval: int
    quiet: int
    let_go: int
    clock_shift_ms: int
    log_bounds: LogLimits
    max_entries_in_flight: int
    catch_up_bytes_per_s: int
    newest_form: int
    clock_bound_ms: float
    zones: Mapping[str, Any] | None

    @classmethod
    def from_map(cls, settings: Mapping[str, Any]) -> MemberSettings:
        """From the plain map, whose spans are in ms."""
        log = settings["log"]
        zones = settings.get("zones")
        return cls(
            fleet=settings["name"],
            peers=settings["peers"],
            beat_interval=round(settings["beat"] * MS),
            quiet=round(settings["quiet"] * MS),
            let_go=round(settings["let_go"] * MS),
            clock_shift_ms=round(settings["shift"]),
            log_bounds=LogLimits(
                round(log["entry"]), round(log["channel"]), log["channels"], round(settings["ahead"])
            ),
            max_entries_in_flight=log["flight"],
            catch_up_bytes_per_s=round(log["catch_up"]),
            newest_form=settings.get("newest_form", NEWEST_VERSION),
            clock_bound_ms=settings["clock_bound"],
            zones={**zones, "clock_bound": settings["clock_bound"]} if zones is not None else None,
        )
