"""Settings that must be equal at all gateways: order of zones, fleet size, clock bound and cold node rate.

Each gateway reports its settings in its heartbeats, which other gateways relay. If two gateways' settings
differ, both log each difference once and use the more conservative values until they are equal again: the
larger fleet size and clock bound, the lower rate, and no zone evidence from a gateway with other zones. Free
of I/O, clocks and randomness.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from hashlib import blake2b
from typing import Annotated, Any, NamedTuple

import msgspec

from ochrecourse.fleet.entries import Entry

MAX_NAMES_BYTES = 2048  # of all zone names; if they are longer, a digest is reported
MAX_SHOWN_CHARACTERS = 200  # of one gateway's value in a log line
MAX_GATEWAYS = 1024  # whose settings are stored; the largest supported fleet
MAX_FLEET_SIZE = 1 << 20
MAX_CLOCK_BOUND_MS = 1e9
MAX_RATE = 1e12  # units/s
DIGEST_BYTES = 8
COLD_NODE_RATE = "cold"  # name of the setting in reports
ALL_SETTINGS = "all"  # in place of a setting's name, when all settings are equal again

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
    """One gateway's settings.

    `zone_names`: in the order of zone numbers, or one digest of them. `fleet_size`: number of gateways,
    including this one. `cold_node_rate`: units/s, 0 if the gateway does not take part in zone decisions.
    """

    zone_names: Annotated[tuple[ZoneName, ...], msgspec.Meta(max_length=MAX_NAMES_BYTES)]
    fleet_size: Annotated[int, msgspec.Meta(ge=1, le=MAX_FLEET_SIZE)]
    clock_bound_ms: Annotated[float, msgspec.Meta(ge=0, le=MAX_CLOCK_BOUND_MS)] = 0.0
    cold_node_rate: Annotated[float, msgspec.Meta(ge=0, le=MAX_RATE)] = 0.0

    def by_reported_name(self) -> dict[str, Any]:
        """Returns all values by their names in reports and log lines."""
        names = zip(self.__struct_encode_fields__, self.__struct_fields__, strict=True)
        return {reported: getattr(self, field) for reported, field in names}


class SettingsChange(NamedTuple):
    """A new difference to another gateway's settings, or the end of all differences to it."""

    peer: str
    setting: str
    own_value: str
    peer_value: str

    @property
    def is_over(self) -> bool:
        """Whether all settings are equal again."""
        return self.setting == ALL_SETTINGS

    def log_fields(self) -> dict[str, str]:
        """Returns the fields of the log line."""
        return {"peer": self.peer, "what": self.setting, "here": self.own_value, "there": self.peer_value}


_DECODER = msgspec.json.Decoder(SharedSettings)


class SharedSettingsSubsystem:
    """Compares this gateway's settings with those of others; a subsystem of the fleet member."""

    name = "terms"  # in heartbeats

    def __init__(
        self, zone_names: Sequence[str], fleet_size: int, clock_bound_ms: float, cold_node_rate: float = 0.0
    ) -> None:
        self.own = SharedSettings(_shortened(zone_names), fleet_size, clock_bound_ms, cold_node_rate)
        self.others: dict[str, SharedSettings] = {}
        self._changes: list[SettingsChange] = []
        self._own_status = msgspec.json.encode(self.own)
        self._statuses: dict[str, bytes] = {}  # last received encoded settings, by gateway

    # --- results ---

    def gateways_with_other_zones(self) -> set[str]:
        """Returns the gateways whose zone names or order differ, so that their reports are on other zones."""
        return {name for name, each in self.others.items() if each.zone_names != self.own.zone_names}

    def fleet_size(self) -> int:
        """Returns the largest fleet size of any gateway."""
        return max(self.own.fleet_size, *(each.fleet_size for each in self.others.values()), 1)

    def clock_bound_ms(self) -> float:
        """Returns the largest clock bound of any gateway, in ms."""
        return max(self.own.clock_bound_ms, *(each.clock_bound_ms for each in self.others.values()), 0.0)

    def cold_node_rate(self) -> float:
        """Returns the lowest cold node rate of any gateway, in units/s."""
        others = (each.cold_node_rate for each in self.others.values() if each.cold_node_rate)
        return min(self.own.cold_node_rate, *others, float("inf"))

    def changes(self) -> list[SettingsChange]:
        """Returns the changes since the last call, to be logged for operators."""
        changes, self._changes = self._changes, []
        return changes

    # --- called by the member (subsystem.Subsystem) ---

    def status(self, now: int) -> bytes | None:
        """Returns this gateway's encoded settings for its next heartbeat."""
        return self._own_status

    def status_received(self, name: str, zone: int, status: bytes, now: int) -> None:
        """Stores another gateway's settings. Raises ValueError (msgspec.DecodeError) if malformed."""
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
        own, earlier = self.own.by_reported_name(), previous.by_reported_name()
        for setting, peer_value in received.by_reported_name().items():
            own_value = own[setting]
            is_new = own_value != peer_value and peer_value != earlier[setting]
            # A gateway that takes no part in zone decisions has no cold node rate to compare.
            is_comparable = setting != COLD_NODE_RATE or (own_value and peer_value)
            if is_new and is_comparable:
                self._changes.append(SettingsChange(name, setting, _shown(own_value), _shown(peer_value)))

    def entry_received(self, entry: Entry, now: int) -> None:
        """Ignores entries: settings are not in the log."""

    def next_entry(self, now: int, reachable: Mapping[str, int]) -> tuple[str, object] | None:
        """Returns None: there is nothing to append."""
        return None

    def node_rates(self, now: int) -> Mapping[int, float]:
        """Returns an empty mapping: no node is limited."""
        return {}

    def beat_passed(self, now: int) -> None:
        """Does nothing: no task depends on time."""

    def report(self) -> dict[str, Any]:
        """Returns the names of differing settings by gateway."""
        own = self.own.by_reported_name()
        return {
            name: [
                setting
                for setting, peer_value in each.by_reported_name().items()
                if peer_value != own[setting]
            ]
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
