"""Judges purges of several gateways' caches: by what clients were given, and by what the logs say of them.

The records of what was asked over control sockets are in together.py.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence

from ochrecourse.audit import records as r
from ochrecourse.audit.judge import MS, Finding
from ochrecourse.audit.loop_lag import ClientLag
from ochrecourse.audit.fleet_state import ZoneStateSample, PurgeSettled


def judge_single_purges(
    settled: Sequence[PurgeSettled], edges: Sequence[str], moments: Sequence[tuple[str, str]]
) -> Finding:
    """Every gateway's log says of each edge that it fired each moment once, all by one edition."""
    finding = Finding("each purge once an edge, from one edition")
    by: dict[tuple[str, str, str, str], list[str]] = defaultdict(list)
    for each in settled:
        by[each.gateway, each.edge, each.rule, each.date].append(each.edition)
    for gateway in sorted({each.gateway for each in settled}) or ["nobody"]:
        for rule, date in moments:
            editions = set()
            for edge in edges:
                finding.tested += 1
                fired = by.get((gateway, edge, rule, date), [])
                editions |= set(fired)
                if len(fired) != 1:
                    finding.breach(0, f"by {gateway}'s log {edge} fired {rule} of {date} {len(fired)} times")
            if len(editions) > 1:
                finding.breach(0, f"by {gateway}'s log {rule} of {date} fired from {len(editions)} editions")
    return finding


def judge_stale_responses(
    records: Sequence[r.Record],
    moments: Mapping[str, int],
    slack: int,
    products: set[str],
    held: Iterable[object] = (),
) -> Finding:
    """No client is given after its edge's moment (by gateway, ns) what a node made before it. `slack`: ns
    that an answer may be on its way; one asked for after the moment has none. While a gateway's process
    stands still, what its node made for a read is on its way to it. `held`: what was asked over control
    sockets, for the words of a breach.
    """
    finding = Finding("no answer after the moment rests on a copy from before it")
    evidence = ResponseEvidence(records, held)
    lag = ClientLag(records)
    stops: dict[str, list[r.GatewayPaused]] = defaultdict(list)
    for each in records:
        if isinstance(each, r.GatewayPaused):
            stops[each.gateway].append(each)
    for each in records:
        if not isinstance(each, r.ResponseReceived) or not each.made_at or each.gateway not in moments:
            continue
        job, at = evidence.asked.get((each.gateway, each.conn, each.id)), moments[each.gateway]
        if job is None or job.request_class not in products or each.t < at:
            continue
        finding.tested += 1
        if each.made_at >= at:
            continue
        fetched = job.t <= each.made_at
        still = _stood_still(stops[each.gateway], at, each.t) if fetched else 0
        allowed_until = at + slack + still
        if job.t < at and lag.earliest_arrival(each.t) <= allowed_until:
            finding.excused += each.t > allowed_until
            continue
        finding.breach(
            each.t,
            f"{each.gateway} answered {each.trace} {(each.t - at) / MS:.0f} ms after the moment "
            f"with what was made {(at - each.made_at) / MS:.0f} ms before it; "
            f"{evidence.words(job, each, at)}",
        )
    return finding


class ResponseEvidence:
    """What records show of how an answer came about."""

    def __init__(self, records: Iterable[r.Record], held: Iterable[object]) -> None:
        self.asked: dict[tuple[str, int, int], r.RequestSent] = {}
        self.legs: dict[tuple[str, str], r.AttemptReceived] = {}  # by gateway and trace, the last
        self.seen: dict[str, list[ZoneStateSample]] = defaultdict(list)
        for each in records:
            if isinstance(each, r.RequestSent):
                self.asked[each.gateway, each.conn, each.id] = each
            elif isinstance(each, r.AttemptReceived):
                self.legs[each.gateway, each.trace] = each
        for looked in held:
            if isinstance(looked, ZoneStateSample):
                self.seen[looked.gateway].append(looked)

    def words(self, job: r.RequestSent, told: r.ResponseReceived, at: int) -> str:
        """When the read was asked, by whose attempt it was answered, and how its gateway stood then."""
        when = f"asked {abs(job.t - at) / MS:.0f} ms {'after' if job.t >= at else 'before'} the moment"
        leg = self.legs.get((told.gateway, told.trace))
        if leg is not None and leg.t <= told.made_at:
            way = "answered by its own leg"
        elif job.t <= told.made_at:
            way = "answered by another read's leg"
        else:
            way = f"answered from a copy {(job.t - told.made_at) / MS:.0f} ms old as it was asked"
        return f"{when}, {way}; {self._state(told.gateway, told.t)}"

    def _state(self, gateway: str, t: int) -> str:
        before = [each for each in self.seen[gateway] if each.t <= t]
        if not before:
            return "its state was not seen before"
        last, first = before[-1], before[0]
        copies = {None: "no site", "": "copies used"}.get(last.copies, f"copies not used: {last.copies}")
        stepped_ms = (last.wall_ms - first.wall_ms) - (last.t - first.t) / MS
        return f"{(t - last.t) / MS:.0f} ms before: {copies}, wall clock {stepped_ms:+.0f} ms off"


def _stood_still(stops: Sequence[r.GatewayPaused], since: int, until: int) -> int:
    """For how many ns of a span a gateway's process stood still."""
    total, began = 0, None
    for each in sorted(stops, key=lambda stop: stop.t):
        if not each.resumed:
            began = each.t
        elif began is not None:
            total += max(0, min(each.t, until) - max(began, since))
            began = None
    return total


def count_copy_responses(records: Iterable[r.Record]) -> int:
    """Answers that carry the time of one that a client got before: reads that no node was asked for."""
    made = [each.made_at for each in records if isinstance(each, r.ResponseReceived) and each.made_at]
    return len(made) - len(set(made))
