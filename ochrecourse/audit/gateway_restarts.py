"""Judges restarts of gateways: the zone states that a gateway had before must not be undone after."""

from __future__ import annotations

from collections.abc import Iterable

from ochrecourse.audit.judge import Finding
from ochrecourse.audit.fleet_state import ZoneStateSample


def judge_state_numbers(samples: Iterable[ZoneStateSample]) -> Finding:
    """The number of a zone's state never decreases at a gateway that keeps its journal.

    A state that was reported once and is unknown later counts as a decrease.
    """
    finding = Finding("no standing goes back, over restarts too")
    newest_states: dict[tuple[str, str], tuple[str, int]] = {}
    for each in sorted(samples, key=lambda each: each.t):
        finding.tested += 1
        for gateway, zone in [key for key in newest_states if key[0] == each.gateway]:
            last = newest_states[gateway, zone]
            now = each.zones.get(zone, ("nothing", -1))
            if now[1] < last[1]:
                finding.breach(each.t, f"{gateway} held zone {zone} as {last}, then as {now}")
        for zone, state in each.zones.items():
            newest_states[each.gateway, zone] = max(
                state, newest_states.get((each.gateway, zone), state), key=lambda s: s[1]
            )
    return finding
