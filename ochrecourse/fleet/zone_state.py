"""The state of each zone, a function of the set of the fleet's decisions only.

Order of arrival, clocks and sender have no influence. Of two decisions on a zone, the one with the higher
number is in force; if the numbers are equal, the one with more witnesses; then the later one in log order.
Gateways with the same entries therefore have the same states. After a network partition the decisions of one
side win, and from then on the evidence of both sides is used. Free of I/O, clocks and randomness.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from enum import IntEnum
from typing import Annotated, NamedTuple

import msgspec

from ochrecourse.fleet.entries import Entry, LogPosition

FLEET_CHANNEL = "fleet"  # the channel of the fleet's decisions
MAX_DECISION_NUMBER = 1 << 40  # keeps a faulty writer from exhausting the numbers
MAX_ZONE = 1 << 20
MAX_WITNESSES = 1 << 20
MAX_DURATION_MS = 1 << 40
MAX_NAME_CHARACTERS = 2048
DECISION_KIND = "zone"  # value of field `what` in an entry


class ZoneState(IntEnum):
    """A zone's state, as decided by the fleet."""

    IN = 0
    SUSPECT = 1  # every gateway with requests for it sends attempts there, so that all have evidence
    EVACUATED = 2
    SLOW_START = 3


STATE_WORDS = dict(zip(ZoneState, ("in", "in doubt", "left", "returning"), strict=True))  # in entries
_STATE_BY_WORD = {word: state for state, word in STATE_WORDS.items()}

DurationMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_DURATION_MS)]


class _Witnesses(msgspec.Struct, frozen=True, rename={"count": "witnesses"}):
    count: Annotated[int, msgspec.Meta(ge=0, le=MAX_WITNESSES)] = 0


class _DecisionEntry(
    msgspec.Struct,
    rename={
        "kind": "what",
        "state_word": "standing",
        "fraction": "part",
        "min_evacuation_ms": "rest",
        "clear_ms": "clear",
        "by_operator": "hand",
        "unprobed": "blind",
        "witnesses": "evidence",
        "zone_name": "name",
    },
):
    kind: str
    zone: Annotated[int, msgspec.Meta(ge=0, le=MAX_ZONE)]
    state_word: str
    number: Annotated[int, msgspec.Meta(ge=1, le=MAX_DECISION_NUMBER)]
    fraction: Annotated[float, msgspec.Meta(ge=0, le=1)] = 1.0
    min_evacuation_ms: DurationMs = 0
    clear_ms: DurationMs = 0
    by_operator: bool = False
    unprobed: bool = False
    witnesses: _Witnesses = _Witnesses()
    zone_name: str = ""  # in the writer's settings; empty from older versions


class ZoneDecision(NamedTuple):
    """One decision on a zone.

    `fraction`: if evacuated, the fraction of the zone's load that the other zones can take; in slow start,
    the fraction of the full rate that its nodes get. `clear_ms`: time without failures that ends a suspicion.
    `by_operator`: only an operator can reverse it. `unprobed`: the slow start began without an answered
    health check, since none was sent.
    """

    state: ZoneState = ZoneState.IN
    number: int = 0
    fraction: float = 1.0
    min_evacuation_ms: int = 0
    clear_ms: int = 0
    by_operator: bool = False
    unprobed: bool = False
    witnesses: int = 0
    position: LogPosition | None = None


NO_DECISION = ZoneDecision()


class ZoneDecisions:
    """The decisions in force by zone.

    `zone_count`: number of configured zones; entries on other zone numbers are ignored. `zone_names`: their
    names, if known; an entry with a different name for its zone number is ignored too.
    """

    def __init__(self, zone_count: int, zone_names: Sequence[str] = ()) -> None:
        self.zone_count = zone_count
        self.zone_names = zone_names
        self.by_zone: dict[int, ZoneDecision] = {}
        self.ignored_entries = 0  # not decisions, or on unknown zones

    def apply(self, entry: Entry) -> int | None:
        """Applies an entry; returns the zone whose decision in force it changed, or None."""
        try:
            body = msgspec.json.decode(entry.body, type=_DecisionEntry)
        except (msgspec.MsgspecError, RecursionError):
            self.ignored_entries += 1
            return None
        state = _STATE_BY_WORD.get(body.state_word)
        if state is None or not self._is_on_known_zone(body):
            self.ignored_entries += 1
            return None
        decision = ZoneDecision(
            state,
            body.number,
            body.fraction,
            body.min_evacuation_ms,
            body.clear_ms,
            body.by_operator,
            body.unprobed,
            body.witnesses.count,
            entry.position,
        )
        if not self.supersedes(decision, self.of(body.zone)):
            return None
        self.by_zone[body.zone] = decision
        return body.zone

    def _is_on_known_zone(self, body: _DecisionEntry) -> bool:
        if body.kind != DECISION_KIND or body.zone >= self.zone_count:
            return False
        if not body.zone_name or not self.zone_names:
            return True
        return body.zone_name == self.zone_names[body.zone]

    def supersedes(self, decision: ZoneDecision, current: ZoneDecision) -> bool:
        """Whether a decision replaces the one in force."""
        if current.position is None or decision.position is None:
            return True
        rank = (decision.number, decision.witnesses, decision.position)
        return rank > (current.number, current.witnesses, current.position)

    def of(self, zone: int) -> ZoneDecision:
        """Returns the decision in force for a zone; `NO_DECISION` if there is none."""
        return self.by_zone.get(zone, NO_DECISION)

    def exempt_zone(self, zones: Iterable[int]) -> int | None:
        """Returns the zone that stays in use although all of `zones` are evacuated; None if one is not.

        This happens when two sides of a partition each evacuated the other's zone. The zone with the fewest
        witnesses against it is exempt; among equals, the one evacuated last.
        """
        evacuated = [(zone, self.of(zone)) for zone in sorted(zones)]
        if not evacuated or any(each.state is not ZoneState.EVACUATED for _, each in evacuated):
            return None
        fewest = min(decision.witnesses for _, decision in evacuated)
        candidates = [
            (decision.position, zone)
            for zone, decision in evacuated
            if decision.witnesses == fewest and decision.position
        ]
        return max(candidates)[1]


class _ZoneName(msgspec.Struct):
    name: Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARACTERS)] = ""


def zone_name_of(body: bytes) -> str:
    """Returns the zone name in an entry's body; empty if there is none."""
    try:
        return msgspec.json.decode(body, type=_ZoneName).name
    except (msgspec.MsgspecError, RecursionError):
        return ""
