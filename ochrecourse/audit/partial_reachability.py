"""Judges partial reachability: which gateways can communicate through others, and whether their states agree.

A path that is blocked in one direction does not count, as nothing that needs an answer passes over it. The
paths are derived from the faults that were injected, not from what gateways report.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from ochrecourse.audit import records as r
from ochrecourse.audit.judge import SECOND, Finding
from ochrecourse.audit.fleet_state import Reachability, ZoneStateSample


class TransitiveReachability(Reachability):
    """Pairs of gateways that can communicate, directly or through others.

    `joined_since`: since when each pair can, ns.
    """

    def __init__(self, names: Sequence[str]) -> None:
        super().__init__(names)
        self.joined_since: dict[frozenset[str], int] = {}

    def add(self, record: r.Record) -> None:
        """Takes in a record and updates the pairs."""
        super().add(record)
        pairs: set[frozenset[str]] = set()
        remaining = list(self.unreachable_because)
        while remaining:
            group, new = [remaining.pop(0)], 0
            while new < len(group):
                here, new = group[new], new + 1
                near = [name for name in remaining if frozenset((here, name)) in self.reachable_since]
                remaining = [name for name in remaining if name not in near]
                group += near
            pairs |= {frozenset((one, other)) for one in group for other in group if one != other}
        self.joined_since = {pair: self.joined_since.get(pair, record.t) for pair in pairs}


def judge_equal_states_over_peers(
    names: Sequence[str], records: Iterable[r.Record], samples: Iterable[ZoneStateSample], bound: int
) -> tuple[Finding, int]:
    """Gateways that can communicate, also through others, have the same state of every zone.

    A difference may last `bound` ns. Also returns the longest difference, in ns.
    """
    finding, longest = Finding("one standing among those with a way to talk, over others too"), 0
    reachability = TransitiveReachability(names)
    last: dict[str, ZoneStateSample] = {}
    differing_since: dict[frozenset[str], int] = {}
    fault_records = (r.GatewayKilled, r.GatewayStarted, r.GatewayPaused, r.NetworkPartitioned)
    events = sorted(
        [*(each for each in records if isinstance(each, fault_records)), *samples], key=lambda each: each.t
    )
    for event in events:
        if not isinstance(event, ZoneStateSample):
            reachability.add(event)
            if isinstance(event, r.GatewayKilled):
                last.pop(event.gateway, None)
            continue
        last[event.gateway] = event
        for other, other_sample in last.items():
            pair = frozenset((event.gateway, other))
            if other == event.gateway:
                continue
            if pair not in reachability.joined_since or other_sample.zones == event.zones:
                differing_since.pop(pair, None)
                finding.tested += pair in reachability.joined_since
                continue
            since = max(differing_since.setdefault(pair, event.t), reachability.joined_since[pair])
            longest = max(longest, event.t - since)
            if event.t - since > bound:
                differing_since[pair] = event.t  # so that it is reported once each bound
                text = f"{event.gateway} and {other} differ for {(event.t - since) / SECOND:.1f} s"
                finding.breach(event.t, f"{text}: {event.zones} and {other_sample.zones}")
    return finding, longest
