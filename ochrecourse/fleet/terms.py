"""What gateways of a fleet must mean alike: zones' names in order, size, clocks' bound, a cold node's limit.

Each tells its own terms with its row, so that they come through others too. Where another's differ, both say
so by name, once, and keep to the safe side until they are alike: the larger size and bound on clocks, the
least limit, and no evidence of zones from one who means other zones. Free of I/O, clocks and chance.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from hashlib import blake2b
from typing import Annotated, Any

import msgspec

from ochrecourse.fleet.entries import Entry

LONGEST = 2048  # bytes of all names of zones that are told; of more, a digest is
SHOWN = 200  # characters of one side's terms in a line of the log
MOST = 1024  # gateways whose terms are remembered; the largest fleet that is planned for


Name = Annotated[str, msgspec.Meta(max_length=LONGEST)]


class Told(msgspec.Struct, frozen=True, omit_defaults=True):
    """One gateway's terms. `zones`: names in order, or one digest of them; `size`: gateways of the fleet,
    itself included; `clock_bound`: ms; `cold`: units a second, 0 where zones are not shared."""

    zones: Annotated[tuple[Name, ...], msgspec.Meta(max_length=LONGEST)]
    size: Annotated[int, msgspec.Meta(ge=1, le=1 << 20)]
    clock_bound: Annotated[float, msgspec.Meta(ge=0, le=1e9)] = 0.0
    cold: Annotated[float, msgspec.Meta(ge=0, le=1e12)] = 0.0


_DECODER = msgspec.json.Decoder(Told)


class Terms:
    """Own terms and those of others, a subsystem of the member. `name`: under which they travel."""

    name = "terms"

    def __init__(self, zones: Sequence[str], size: int, clock_bound: float, cold: float = 0.0) -> None:
        self.own = Told(_brief(zones), size, clock_bound, cold)
        self.others: dict[str, Told] = {}
        self.lines: list[dict[str, str]] = []  # what people are to be told, until it is
        self._told = msgspec.json.encode(self.own)
        self._heard: dict[str, bytes] = {}

    # --- what follows from them ---

    def strangers(self) -> set[str]:
        """Gateways that mean other zones: what they say of zones is about others."""
        return {name for name, told in self.others.items() if told.zones != self.own.zones}

    def size(self) -> int:
        return max(self.own.size, *(told.size for told in self.others.values()), 1)

    def clock_bound(self) -> float:
        """ms"""
        return max(self.own.clock_bound, *(told.clock_bound for told in self.others.values()), 0.0)

    def cold(self) -> float:
        """Units a second: the least that somebody names."""
        return min(self.own.cold, *(told.cold for told in self.others.values() if told.cold), float("inf"))

    def changes(self) -> list[dict[str, str]]:
        """Lines for people, each once."""
        lines, self.lines = self.lines, []
        return lines

    # --- the part's calls ---

    def status(self, now: int) -> bytes | None:
        return self._told

    def status_received(self, name: str, zone: int, told: bytes, now: int) -> None:
        """Raises ValueError (msgspec.DecodeError)."""
        if self._heard.get(name) == told or (name not in self.others and len(self.others) >= MOST):
            return
        its = _DECODER.decode(told)
        self._heard[name] = told
        before, self.others[name] = self.others.get(name, self.own), its
        for what in Told.__struct_fields__:
            here, there = getattr(self.own, what), getattr(its, what)
            # A gateway that shares no zones names no limit, and none is owed.
            if here != there and there != getattr(before, what) and (what != "cold" or (here and there)):
                self.lines.append({"peer": name, "what": what, "here": _shown(here), "there": _shown(there)})
        if its == self.own != before:
            self.lines.append({"peer": name, "what": "all", "here": "alike", "there": "alike"})

    def entry_received(self, entry: Entry, now: int) -> None:
        """Terms are no matter of the log."""

    def next_entry(self, now: int, reached: Mapping[str, int]) -> tuple[str, object] | None:
        return None

    def node_rates(self, now: int) -> Mapping[int, float]:
        return {}

    def beat_passed(self, now: int) -> None:
        """Nothing is due with time."""

    def report(self) -> dict[str, Any]:
        """Gateways whose terms differ from this one's, and in what."""
        return {
            name: [what for what in Told.__struct_fields__ if getattr(told, what) != getattr(self.own, what)]
            for name, told in sorted(self.others.items()) if told != self.own
        }  # fmt: skip


def _brief(zones: Sequence[str]) -> tuple[str, ...]:
    if sum(len(each.encode()) for each in zones) <= LONGEST:
        return tuple(zones)
    return (f"{len(zones)} zones, {blake2b(msgspec.json.encode(list(zones)), digest_size=8).hexdigest()}",)


def _shown(value: tuple[str, ...] | float) -> str:
    text = ", ".join(value) if isinstance(value, tuple) else f"{value:g}"
    return text if len(text) <= SHOWN else f"{text[:SHOWN]}..."
