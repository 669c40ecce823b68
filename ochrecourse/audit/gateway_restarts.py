"""Judges gateways that die and come back: what they held for a zone before must not be undone after."""

from __future__ import annotations

from collections.abc import Iterable

from ochrecourse.audit.judge import Finding
from ochrecourse.audit.fleet_state import ZoneStateSample


def judge_state_numbers(seen: Iterable[ZoneStateSample]) -> Finding:
    """The number of a zone's standing never goes back at a gateway that keeps its journal. One that was said
    and is not known any more went back too."""
    finding = Finding("no standing goes back, over restarts too")
    held: dict[tuple[str, str], tuple[str, int]] = {}
    for each in sorted(seen, key=lambda each: each.t):
        finding.tested += 1
        for gateway, zone in [key for key in held if key[0] == each.gateway]:
            last = held[gateway, zone]
            now = each.zones.get(zone, ("nothing", -1))
            if now[1] < last[1]:
                finding.breach(each.t, f"{gateway} held zone {zone} as {last}, then as {now}")
        for zone, stood in each.zones.items():
            held[each.gateway, zone] = max(stood, held.get((each.gateway, zone), stood), key=lambda s: s[1])
    return finding
