"""Judges announcements: at each instant the peer's table against whether a probe through that address was
served.

It reads what a BGP peer and probing clients recorded and knows nothing of the gateway. Service counts as lost
from the first of several probes in a row that were not served; the address may stay announced for `allowance`
after that.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import pairwise

from ochrecourse.audit import records as r

SECOND = 1_000_000_000
MIN_FAILED_PROBES = (
    3  # probes that fail together before service counts as lost; one denial on a busy day is none
)


@dataclass
class AnnouncementReport:
    """What was found, times in ns."""

    losses: int = 0  # times that service was lost while the address was announced
    delays: list[int] = field(default_factory=list)  # from each loss to the withdrawal
    breaches: list[str] = field(default_factory=list)  # announced while unfit for longer than allowed
    withdrawals: int = 0
    needless: int = 0  # withdrawals with probes served before and after
    unannounced: int = 0  # time in which probes were served and the address was not announced
    told: int = 0  # all that the peer was told


Span = tuple[int, int]


def judge_announcements(records: Iterable[r.Record], allowance: int) -> AnnouncementReport:
    """Judges all records of a run; `allowance` in ns."""
    tables: dict[str, list[r.RouteChanged]] = defaultdict(list)
    probes: dict[str, list[r.ProbeEnded]] = defaultdict(list)
    last = 0
    for record in records:
        last = max(last, record.t)
        if isinstance(record, r.RouteChanged):
            tables[record.gateway].append(record)
        elif isinstance(record, r.ProbeEnded):
            probes[record.gateway].append(record)
    found = AnnouncementReport()
    for gateway, mine in probes.items():
        _judge_one(found, gateway, tables[gateway], mine, last, allowance)
    return found


def _judge_one(
    found: AnnouncementReport,
    gateway: str,
    table: list[r.RouteChanged],
    probes: list[r.ProbeEnded],
    last: int,
    allowance: int,
) -> None:
    probes.sort(key=lambda probe: probe.sent_at)
    up = announced_spans([(change.t, change.is_announced) for change in table], last)
    lost = service_losses(probes, last)
    found.told += len(table)
    for start, end in lost:
        for first, until in up:
            if first <= start < until:
                found.losses += 1
                found.delays.append(min(until, end) - start)
            over = min(until, end) - max(first, start + allowance)
            if first < end and until > start + allowance and over > 0:
                text = (
                    f"{gateway} was announced for {over / SECOND:.2f} s beyond what is allowed, unfit since "
                )
                found.breaches.append(
                    f"at {(start + allowance) / SECOND:.3f} s: {text}{start / SECOND:.3f} s"
                )
    served = [probe.sent_at for probe in probes if probe.outcome == "fulfilled"]
    for _, until in up:
        if until < last:
            found.withdrawals += 1
            at = bisect_left(served, until)
            near = [abs(each - until) for each in served[max(0, at - 1) : at + 1]]
            found.needless += len(near) == 2 and max(near) < SECOND // 2
    found.unannounced += _served_time(served, up)


def announced_spans(changes: list[tuple[int, bool]], last: int) -> list[Span]:
    """From changes in order of time to the spans in which it was up."""
    spans, since = [], -1
    for t, is_up in changes:
        if is_up and since < 0:
            since = t
        elif not is_up and since >= 0:
            spans.append((since, t))
            since = -1
    if since >= 0:
        spans.append((since, last))
    return spans


def service_losses(probes: list[r.ProbeEnded], last: int) -> list[Span]:
    """Spans without service: from the first probe of a run that failed to the next that was served."""
    spans: list[Span] = []
    since, count = -1, 0
    for probe in probes:
        if probe.outcome == "fulfilled":
            if count >= MIN_FAILED_PROBES:
                spans.append((since, probe.sent_at))
            since, count = -1, 0
        else:
            since = probe.sent_at if since < 0 else since
            count += 1
    if count >= MIN_FAILED_PROBES:
        spans.append((since, last))
    return spans


def _served_time(served: list[int], up: list[Span]) -> int:
    """Time between probes that were served, outside the spans in which the address was announced."""
    whole = 0
    for before, after in pairwise(served):
        if after - before > SECOND // 2:
            continue
        covered = sum(max(0, min(after, until) - max(before, first)) for first, until in up)
        whole += after - before - covered
    return whole
