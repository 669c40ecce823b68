"""Judges a day on which two sites are partitioned for long: marks of late entries, and request outcomes.

Uses the answers of control sockets, as fleet_state.py does, and the records of clients.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

import msgspec

from ochrecourse.audit import records as r
from ochrecourse.audit.judge import Finding
from ochrecourse.audit.fleet_state import AppendEnded, EntriesRead


def judge_late_marks(
    appended: Sequence[AppendEnded],
    reads: Sequence[EntriesRead],
    departed: Iterable[str],
    start: int,
    end: int,
) -> Finding:
    """Appends that departed gateways kept between two times (ns) reach readers marked as late.

    Every reader that gets such an entry must see the mark, and at least one must get it.
    """
    finding = Finding("what was written while let go is told as late")
    names = set(departed)
    late: dict[str, bool] = {}
    for each in reads:
        for value, is_late in each.entries:
            late[value] = late.get(value, True) and is_late
    channels = {each.channel for each in reads}
    for append in appended:
        if (
            append.gateway in names
            and append.outcome == "kept"
            and start <= append.requested_at
            and append.t <= end
        ):
            if append.channel not in channels:
                continue
            finding.tested += 1
            if append.value not in late:
                finding.breach(append.t, f"{append.value} of {append.gateway} was told to no reader")
            elif not late[append.value]:
                finding.breach(append.t, f"{append.value} of {append.gateway} was told in its turn")
    return finding


class RequestOutcomes(msgspec.Struct):
    """Outcomes of the requests first sent within a span.

    `payoff`: the share of all payoff earned in time; `late`: the share of requests that were served late
    or not at all; `p99`: the 99th percentile of the latency of those served, ms.
    """

    count: int
    payoff: float
    late: float
    p99: float


def request_outcomes(
    records: Iterable[r.Record],
    start: int,
    end: int,
    objectives: Mapping[str, int],
    payoffs: Mapping[str, float],
) -> RequestOutcomes:
    """Outcomes of the requests first sent from `start` to `end`.

    `objectives`: the latency objective in ns, and `payoffs`: the payoff, by request class.
    """
    first_requests: dict[str, r.RequestSent] = {}
    served_at: dict[str, int] = {}
    for each in sorted(records, key=lambda each: each.t):
        if isinstance(each, r.RequestSent):
            first_requests.setdefault(_request_id(each.trace), each)
        elif isinstance(each, r.ResponseReceived) and each.outcome == "fulfilled":
            served_at.setdefault(_request_id(each.trace), each.t)
    total_payoff = earned_payoff = 0.0
    late, spans = 0, []
    for request_id, first in first_requests.items():
        if not start <= first.t < end:
            continue
        total_payoff += payoffs[first.request_class]
        span = served_at.get(request_id, 1 << 62) - first.t
        if request_id in served_at:
            spans.append(span)
        if span <= objectives[first.request_class]:
            earned_payoff += payoffs[first.request_class]
        else:
            late += 1
    count = sum(start <= first.t < end for first in first_requests.values())
    spans.sort()
    p99 = spans[len(spans) * 99 // 100] / 1e6 if spans else 0.0
    return RequestOutcomes(
        count, earned_payoff / total_payoff if total_payoff else 0.0, late / count if count else 0.0, p99
    )


def _request_id(trace: str) -> str:
    """The part of a trace that all tries of a request share; the number of the try follows the dot."""
    return trace.partition(".")[0]
