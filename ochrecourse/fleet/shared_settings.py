"""Settings that must be the same at all gateways: zones in order, fleet size, clocks' bound, cold limit.

Each gateway reports its own in its heartbeat, so that they come through others too. Where another gateway's
differ, both say so by name, once, and keep to the safe side until they are the same: the larger size and
bound on clocks, the lower limit, and no evidence of zones from a gateway with other zones. Free of I/O,
clocks and chance.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from hashlib import blake2b
from typing import Annotated, Any, NamedTuple

import msgspec

from ochrecourse.fleet.entries import Entry

MAX_NAMES_BYTES = 2048  # of all zones; of longer names a digest is reported
MAX_SHOWN_CHARACTERS = 200  # of one side's value in a line of the log
MAX_GATEWAYS = 1024  # whose settings are remembered; the largest fleet that is planned for
MAX_FLEET_SIZE = 1 << 20
MAX_CLOCK_BOUND_MS = 1e9
MAX_RATE = 1e12  # units a second
DIGEST_BYTES = 8
COLD_NODE_RATE = "cold"  # the name in reports
ALL_SETTINGS = "all"  # in place of a name, where a difference is over

ZoneName = Annotated[str, msgspec.Meta(max_length=MAX_NAMES_BYTES)]


class SharedSettings(
    msgspec.Struct,
    frozen=True,
    omit_defaults=True,
    rename={
        "zone_names": "zones",
        "fleet_size": "size",
        "clock_bound_ms": "clock_bound",
        "cold_node_rate": COLD_NODE_RATE,
    },
):
    """One gateway's settings. `zone_names`: in order, or one digest of them; `fleet_size`: gateways, itself
    included; `cold_node_rate`: units a second, 0 where zones are not shared.
    """

    zone_names: Annotated[tuple[ZoneName, ...], msgspec.Meta(max_length=MAX_NAMES_BYTES)]
    fleet_size: Annotated[int, msgspec.Meta(ge=1, le=MAX_FLEET_SIZE)]
    clock_bound_ms: Annotated[float, msgspec.Meta(ge=0, le=MAX_CLOCK_BOUND_MS)] = 0.0
    cold_node_rate: Annotated[float, msgspec.Meta(ge=0, le=MAX_RATE)] = 0.0

    def by_reported_name(self) -> dict[str, Any]:
        """All values by their names in reports and log lines."""
        names = zip(self.__struct_encode_fields__, self.__struct_fields__, strict=True)
        return {reported: getattr(self, field) for reported, field in names}


class SettingsChange(NamedTuple):
    """A difference to another gateway's settings that began, or all of them that are over."""

    peer: str
    setting: str
    here: str
    there: str

    @property
    def is_over(self) -> bool:
        """Whether all settings are the same again."""
        return self.setting == ALL_SETTINGS

    def log_fields(self) -> dict[str, str]:
        """Its fields in a line of the log."""
        return {"peer": self.peer, "what": self.setting, "here": self.here, "there": self.there}


_DECODER = msgspec.json.Decoder(SharedSettings)


class SharedSettingsSubsystem:
    """Own settings and those of the other gateways; a subsystem of the member."""

    name = "terms"  # in heartbeats

    def __init__(
        self, zone_names: Sequence[str], fleet_size: int, clock_bound_ms: float, cold_node_rate: float = 0.0
    ) -> None:
        self.own = SharedSettings(_shortened(zone_names), fleet_size, clock_bound_ms, cold_node_rate)
        self.others: dict[str, SharedSettings] = {}
        self._changes: list[SettingsChange] = []
        self._own_status = msgspec.json.encode(self.own)
        self._statuses: dict[str, bytes] = {}  # as last received

    # --- what follows from them ---

    def gateways_with_other_zones(self) -> set[str]:
        """Gateways whose reports are on other zones."""
        return {name for name, each in self.others.items() if each.zone_names != self.own.zone_names}

    def fleet_size(self) -> int:
        """The largest that a gateway has."""
        return max(self.own.fleet_size, *(each.fleet_size for each in self.others.values()), 1)

    def clock_bound_ms(self) -> float:
        """The largest that a gateway has."""
        return max(self.own.clock_bound_ms, *(each.clock_bound_ms for each in self.others.values()), 0.0)

    def cold_node_rate(self) -> float:
        """Units a second: the lowest that a gateway has."""
        others = (each.cold_node_rate for each in self.others.values() if each.cold_node_rate)
        return min(self.own.cold_node_rate, *others, float("inf"))

    def changes(self) -> list[SettingsChange]:
        """What operators are to be notified of, each once."""
        changes, self._changes = self._changes, []
        return changes

    # --- the member's calls (subsystem.Subsystem) ---

    def status(self, now: int) -> bytes | None:
        """Its own settings, for the next heartbeat."""
        return self._own_status

    def status_received(self, name: str, zone: int, status: bytes, now: int) -> None:
        """Another gateway's settings. Raises ValueError (msgspec.DecodeError)."""
        if self._statuses.get(name) == status:
            return
        if name not in self.others and len(self.others) >= MAX_GATEWAYS:
            return
        received = _DECODER.decode(status)
        self._statuses[name] = status
        previous = self.others.get(name, self.own)
        self.others[name] = received
        self._note_differences(name, received, previous)
        if received == self.own != previous:
            self._changes.append(SettingsChange(name, ALL_SETTINGS, "alike", "alike"))

    def _note_differences(self, name: str, received: SharedSettings, previous: SharedSettings) -> None:
        own, before = self.own.by_reported_name(), previous.by_reported_name()
        for setting, there in received.by_reported_name().items():
            here = own[setting]
            is_new = here != there and there != before[setting]
            # A gateway that shares no zones has no limit, and needs none.
            is_owed = setting != COLD_NODE_RATE or (here and there)
            if is_new and is_owed:
                self._changes.append(SettingsChange(name, setting, _shown(here), _shown(there)))

    def entry_received(self, entry: Entry, now: int) -> None:
        """Settings are no matter of the log."""

    def next_entry(self, now: int, reached: Mapping[str, int]) -> tuple[str, object] | None:
        """Nothing to append."""
        return None

    def node_rates(self, now: int) -> Mapping[int, float]:
        """It limits no node."""
        return {}

    def beat_passed(self, now: int) -> None:
        """Nothing is due with time."""

    def report(self) -> dict[str, Any]:
        """Gateways whose settings differ from this one's, and in what."""
        own = self.own.by_reported_name()
        return {
            name: [setting for setting, there in each.by_reported_name().items() if there != own[setting]]
            for name, each in sorted(self.others.items())
            if each != self.own
        }


def _shortened(zone_names: Sequence[str]) -> tuple[str, ...]:
    if sum(len(each.encode()) for each in zone_names) <= MAX_NAMES_BYTES:
        return tuple(zone_names)
    digest = blake2b(msgspec.json.encode(list(zone_names)), digest_size=DIGEST_BYTES).hexdigest()
    return (f"{len(zone_names)} zones, {digest}",)


def _shown(value: tuple[str, ...] | float) -> str:
    text = ", ".join(value) if isinstance(value, tuple) else f"{value:g}"
    return text if len(text) <= MAX_SHOWN_CHARACTERS else f"{text[:MAX_SHOWN_CHARACTERS]}..."
