"""Judges route announcements: the BGP peer's table against whether probes through each address were served.

Uses the records of a BGP peer and of probing clients, and nothing of the gateway. Service counts as lost from
the first of several consecutive probes that failed; the address may stay announced for `allowance` after
that.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import pairwise

from ochrecourse.audit import records as r

SECOND = 1_000_000_000
# Consecutive failed probes from which on service counts as lost; a single denial on a busy day does not.
MIN_FAILED_PROBES = 3


@dataclass
class AnnouncementReport:
    """The findings on announcements. Times in ns."""

    losses: int = 0  # times that service was lost while the address was announced
    delays: list[int] = field(default_factory=list)  # from each loss to the withdrawal
    breaches: list[str] = field(default_factory=list)  # announced without service for longer than allowed
    withdrawals: int = 0
    needless: int = 0  # withdrawals with probes served before and after
    unannounced: int = 0  # time in which probes were served though the address was not announced
    route_changes: int = 0  # announcements and withdrawals that the peer received


Span = tuple[int, int]


def judge_announcements(records: Iterable[r.Record], allowance: int) -> AnnouncementReport:
    """Judges all records of a run. `allowance` in ns."""
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
    for gateway, gateway_probes in probes.items():
        _judge_gateway(found, gateway, tables[gateway], gateway_probes, last, allowance)
    return found


def _judge_gateway(
    found: AnnouncementReport,
    gateway: str,
    table: list[r.RouteChanged],
    probes: list[r.ProbeEnded],
    last: int,
    allowance: int,
) -> None:
    """Adds the findings on one gateway's address to the report."""
    probes.sort(key=lambda probe: probe.sent_at)
    up = announced_spans([(change.t, change.is_announced) for change in table], last)
    losses_found = service_losses(probes, last)
    found.route_changes += len(table)
    for start, end in losses_found:
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
    """The spans in which the address was announced, from its changes in order of time."""
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
    """The spans without service, each from the first of the failed probes to the next served one."""
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
    """The time in which probes were served and the address was not announced, ns."""
    total = 0
    for before, after in pairwise(served):
        if after - before > SECOND // 2:
            continue
        covered = sum(max(0, min(after, until) - max(before, first)) for first, until in up)
        total += after - before - covered
    return total
