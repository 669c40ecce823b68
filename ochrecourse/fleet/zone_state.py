"""The state of each zone, which follows from the set of the fleet's decisions alone.

Neither the order of arrival nor a clock nor the sender matters. Of two decisions on a zone the one with the
higher number is in force; of the same number, the one with more witnesses; then the later in the order of the
log. So all gateways with the same entries have the same states, and of two sides of a network partition one
prevails, after which evidence from both decides. Free of I/O, clocks and chance.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from enum import IntEnum
from typing import Annotated, NamedTuple

import msgspec

from ochrecourse.fleet.entries import Entry, LogPosition

CHANNEL = "fleet"  # the channel of the fleet's decisions
MAX_DECISION_NUMBER = 1 << 40  # a faulty writer must not exhaust the numbers
MAX_ZONE = 1 << 20
MAX_WITNESSES = 1 << 20
MAX_DURATION_MS = 1 << 40
MAX_NAME_CHARACTERS = 2048
DECISION_KIND = "zone"  # in field `what` of an entry


class ZoneState(IntEnum):
    """What the fleet decided of a zone."""

    IN = 0
    SUSPECT = 1  # every gateway with requests for it tries it, so that all have evidence
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
        "rest_ms": "rest",
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
    rest_ms: DurationMs = 0
    clear_ms: DurationMs = 0
    by_operator: bool = False
    unprobed: bool = False
    witnesses: _Witnesses = _Witnesses()
    zone_name: str = ""  # by its writer's settings; older versions write none


class ZoneDecision(NamedTuple):
    """One decision on a zone.

    `fraction`: of an evacuated zone, how much of its load the other zones can bear; in slow start, how much
    of the full rate its nodes are sent. `rest_ms`: how long it stays evacuated at the least. `clear_ms`: time
    without a bad sign that ends a suspicion. `by_operator`: only an operator takes it back. `unprobed`: in
    slow start though no health check was answered, as there was none.
    """

    state: ZoneState = ZoneState.IN
    number: int = 0
    fraction: float = 1.0
    rest_ms: int = 0
    clear_ms: int = 0
    by_operator: bool = False
    unprobed: bool = False
    witnesses: int = 0
    place: LogPosition | None = None


NO_DECISION = ZoneDecision()


class ZoneDecisions:
    """The decisions in force by zone. `zone_count`: how many zones the settings name; entries on others are
    ignored. `zone_names`: their names, if known; an entry that names its zone otherwise is on another zone.
    """

    def __init__(self, zone_count: int, zone_names: Sequence[str] = ()) -> None:
        self.zone_count = zone_count
        self.zone_names = zone_names
        self.by_zone: dict[int, ZoneDecision] = {}
        self.ignored_entries = 0  # that are no decisions on zones of these settings

    def apply(self, entry: Entry) -> int | None:
        """The zone whose decision in force the entry changed, if any."""
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
            body.rest_ms,
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
        """Whether a decision takes the place of the one in force."""
        if current.place is None or decision.place is None:
            return True
        rank = (decision.number, decision.witnesses, decision.place)
        return rank > (current.number, current.witnesses, current.place)

    def of(self, zone: int) -> ZoneDecision:
        """The decision in force for a zone; `NO_DECISION` if there was none."""
        return self.by_zone.get(zone, NO_DECISION)

    def exempt_zone(self, zones: Iterable[int]) -> int | None:
        """Of zones with nodes that are all evacuated, the one that is used all the same; None if one is not.

        Two sides of a partition may each have evacuated the other's zone. The one with the fewest witnesses
        against it is exempt, then the one that was evacuated last.
        """
        evacuated = [(zone, self.of(zone)) for zone in sorted(zones)]
        if not evacuated or any(each.state is not ZoneState.EVACUATED for _, each in evacuated):
            return None
        fewest = min(decision.witnesses for _, decision in evacuated)
        candidates = [
            (decision.place, zone)
            for zone, decision in evacuated
            if decision.witnesses == fewest and decision.place
        ]
        return max(candidates)[1]


class _ZoneName(msgspec.Struct):
    name: Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARACTERS)] = ""


def zone_name_of(body: bytes) -> str:
    """The name of the zone that an entry's body is on; empty where its writer names none."""
    try:
        return msgspec.json.decode(body, type=_ZoneName).name
    except (msgspec.MsgspecError, RecursionError):
        return ""
