"""Judges what is neither up nor down: who can talk both ways over others, and what they then must hold alike.

A way that is cut in one direction is none: nothing that needs an answer goes over it. Who has a way to talk
is taken from what was broken, not from what gateways say.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from ochrecourse.audit import records as r
from ochrecourse.audit.judge import SECOND, Finding
from ochrecourse.audit.fleet_state import Reachability, ZoneStateSample


class TransitiveReachability(Reachability):
    """Groups of gateways that can talk, directly or over others, and since when each pair can."""

    def __init__(self, names: Sequence[str]) -> None:
        super().__init__(names)
        self.joined: dict[frozenset[str], int] = {}

    def take(self, record: r.Record) -> None:
        super().take(record)
        pairs: set[frozenset[str]] = set()
        left = list(self.out)
        while left:
            group, new = [left.pop(0)], 0
            while new < len(group):
                here, new = group[new], new + 1
                near = [name for name in left if frozenset((here, name)) in self.since]
                left = [name for name in left if name not in near]
                group += near
            pairs |= {frozenset((one, other)) for one in group for other in group if one != other}
        self.joined = {pair: self.joined.get(pair, record.t) for pair in pairs}


def judge_equal_states_over_peers(
    names: Sequence[str], records: Iterable[r.Record], seen: Iterable[ZoneStateSample], bound: int
) -> tuple[Finding, int]:
    """Gateways with a way to talk, over others too, hold the same standing of every zone within `bound` ns of
    a difference. Also returns the longest difference, in ns.
    """
    finding, longest = Finding("one standing among those with a way to talk, over others too"), 0
    joined = TransitiveReachability(names)
    last: dict[str, ZoneStateSample] = {}
    differ: dict[frozenset[str], int] = {}
    struck = (r.GatewayKilled, r.GatewayStarted, r.GatewayPaused, r.NetworkPartitioned)
    events = sorted([*(each for each in records if isinstance(each, struck)), *seen], key=lambda each: each.t)
    for event in events:
        if not isinstance(event, ZoneStateSample):
            joined.take(event)
            if isinstance(event, r.GatewayKilled):
                last.pop(event.gateway, None)
            continue
        last[event.gateway] = event
        for other, its in last.items():
            pair = frozenset((event.gateway, other))
            if other == event.gateway:
                continue
            if pair not in joined.joined or its.zones == event.zones:
                differ.pop(pair, None)
                finding.tested += pair in joined.joined
                continue
            since = max(differ.setdefault(pair, event.t), joined.joined[pair])
            longest = max(longest, event.t - since)
            if event.t - since > bound:
                differ[pair] = event.t  # told once each bound
                text = f"{event.gateway} and {other} differ for {(event.t - since) / SECOND:.1f} s"
                finding.breach(event.t, f"{text}: {event.zones} and {its.zones}")
    return finding, longest
