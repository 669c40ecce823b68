"""A day on which whoever is left has too little room: the lost zone alone holds half of all shards, more
comes just then, and a second zone is lost while the first returns. The script, and what the day asks beyond
the rules.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from ochrecourse.audit import capacity as seen
from ochrecourse.audit import records as r
from ochrecourse.audit.judge import Finding
from ochrecourse.audit.fleet_state import judge_slow_start_load, slow_start_load
from ochrecourse.lab.day import Day, Trouble, cold_units
from ochrecourse.common.time_units import MS, SECOND

SOLE, SHARED = 3, 3  # shards that south alone holds, and that north and west both hold
LAYOUT = (
    *((shard, 1) for shard in range(SOLE)),
    *((SOLE + shard, zone) for zone in (0, 2) for shard in range(SHARED)),
)  # by node its shard and its zone
FIRST, SECOND_LOSS = (3.0, 9.0), (12.0, 15.0)  # s from and to which south, then west is lost
LENGTH = 20.0  # s
LOAD, SURGE = 0.45, 1.6  # of what all nodes can do: then the six that are left bear some 0.67 of 0.72
KNOWN = 4.0  # s after a loss from when the fleet acts on it; 95% of new legs are away by then
BACK = 8.0  # s after its return in which each shard that a zone alone holds must be served again
PROBED = 2.0  # units a second at each node of a left zone (`probes` of the day's settings)


def day_of(day: Day) -> Day:
    """The day, of any seed and number of gateways, with this one's nodes, load and troubles."""
    lost = [
        Trouble(kind="zone_lost", at_s=start, len_s=end - start, which=zone)
        for (start, end), zone in ((FIRST, "south"), (SECOND_LOSS, "west"))
    ]
    surge = Trouble(kind="burst", at_s=FIRST[0], len_s=FIRST[1] - FIRST[0], size=SURGE)
    return msgspec.structs.replace(
        day, nodes=len(LAYOUT), copies=1, layout=LAYOUT, load=LOAD, length_s=LENGTH, troubles=[*lost, surge]
    )


def judged(day: Day, records: Sequence[r.Record], begun: int) -> tuple[list[Finding], dict[str, float]]:
    """What the day asks, and its figures. `begun`: ns."""

    def at(s: float) -> int:
        return begun + round(s * SECOND)

    start, end = at(FIRST[0] + KNOWN), at(FIRST[1])
    # Each probe is a job of a unit at the least, and one more may be on its way as the time begins.
    probes = round(PROBED * SOLE * (FIRST[1] - FIRST[0] - KNOWN)) + SOLE
    fall = round(day.rules.fall_ms * MS)
    told = seen.retry_advice(records, at(FIRST[0]), at(LENGTH))
    sums = slow_start_load(records, fall)
    # What the rule lets the slowest node bear as it comes up, and one job that is under way as it ends.
    most = 2 * cold_units(day) + day.most_units
    borne = Finding("no cold node gets half of what pushes it over", tested=sums.attempts)
    if sums.capacity_ratio > day.rules.multiple / 2:
        borne.breach(
            begun, f"{sums.capacity_ratio:.2f} times what it can do; {day.rules.multiple:g} push it over"
        )
    findings = [
        seen.judge_fast_denials(records, 1, start, end, probes),
        seen.judge_recovery(records, 1, at(FIRST[1]), round(BACK * SECOND)),
        seen.judge_node_overload(records),
        judge_slow_start_load(records, fall, most),
        borne,
    ]
    figures = {
        "units at a cold node, largest sum in the span": sums.units,
        "times what a cold node can do, largest": round(sums.capacity_ratio, 2),
        "denials that told when to come back": told.advised,
        "came back then": told.followed,
        "of them served": told.served,
        **{
            f"part of {plan}'s units served while lost": round(part, 3)
            for plan, part in seen.served_share_by_tenant(records, start, end).items()
        },
    }
    return findings, figures
