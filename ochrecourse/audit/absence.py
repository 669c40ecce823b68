"""Judges a day on which two sites were long apart: what came late is told so, and what jobs got meanwhile.

Rests on what was asked over control sockets and what clients asked and heard, as in together.py.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

import msgspec

from ochrecourse.audit import records as r
from ochrecourse.audit.judge import Finding
from ochrecourse.audit.fleet_state import AppendEnded, EntriesRead


def judge_late_marks(
    appended: Sequence[AppendEnded], reads: Sequence[EntriesRead], apart: Iterable[str], start: int, end: int
) -> Finding:
    """What gateways that were let go kept between two times (ns) is told as late, to whoever got it, and to
    one at the least."""
    finding = Finding("what was written while let go is told as late")
    names = set(apart)
    late: dict[str, bool] = {}
    for each in reads:
        for value, is_late in each.entries:
            late[value] = late.get(value, True) and is_late
    channels = {each.channel for each in reads}
    for one in appended:
        if one.gateway in names and one.outcome == "kept" and start <= one.requested_at and one.t <= end:
            if one.channel not in channels:
                continue
            finding.tested += 1
            if one.value not in late:
                finding.breach(one.t, f"{one.value} of {one.gateway} was told to no reader")
            elif not late[one.value]:
                finding.breach(one.t, f"{one.value} of {one.gateway} was told in its turn")
    return finding


class RequestOutcomes(msgspec.Struct):
    """Jobs first asked for within a span: how many, the share of all payoff that came in time, the share that
    came late or not at all, and the 99th percentile of what was fulfilled, in ms."""

    count: int
    payoff: float
    late: float
    p99: float


def request_outcomes(
    records: Iterable[r.Record], start: int, end: int, promised: Mapping[str, int], worth: Mapping[str, float]
) -> RequestOutcomes:
    """`promised` in ns and `worth` by product."""
    asked: dict[str, r.RequestSent] = {}
    done: dict[str, int] = {}
    for each in sorted(records, key=lambda each: each.t):
        if isinstance(each, r.RequestSent):
            asked.setdefault(_job(each.trace), each)
        elif isinstance(each, r.ResponseReceived) and each.outcome == "fulfilled":
            done.setdefault(_job(each.trace), each.t)
    whole = got = 0.0
    late, spans = 0, []
    for job, first in asked.items():
        if not start <= first.t < end:
            continue
        whole += worth[first.request_class]
        span = done.get(job, 1 << 62) - first.t
        if job in done:
            spans.append(span)
        if span <= promised[first.request_class]:
            got += worth[first.request_class]
        else:
            late += 1
    count = sum(start <= first.t < end for first in asked.values())
    spans.sort()
    p99 = spans[len(spans) * 99 // 100] / 1e6 if spans else 0.0
    return RequestOutcomes(count, got / whole if whole else 0.0, late / count if count else 0.0, p99)


def _job(trace: str) -> str:
    """A job's tries have its number, and their own behind the dot."""
    return trace.partition(".")[0]
