"""Judges days on which a fleet has too little room: shards that a lost zone alone holds, work that can't be
borne.

From what crossed the sockets alone. Times in ns.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence

import msgspec

from ochrecourse.audit import records as r
from ochrecourse.audit.judge import MS, SECOND, Finding

SOON = 50 * MS  # in which a denial is at once; a few turns of a loaded loop
ADVISED = SECOND // 4  # that a client may come after the moment it was told, to count as come back then


class RequestTry(msgspec.Struct):
    """A try of a job, as its client saw it."""

    asked: r.RequestSent
    told: r.ResponseReceived | None = None


def request_tries(records: Iterable[r.Record]) -> list[RequestTry]:
    """In the order in which they were asked for."""
    by: dict[tuple[str, int, int], RequestTry] = {}
    for each in records:
        if isinstance(each, r.RequestSent):
            by[each.gateway, each.conn, each.id] = RequestTry(each)
        elif (
            isinstance(each, r.ResponseReceived)
            and (job := by.get((each.gateway, each.conn, each.id))) is not None
        ):
            job.told = each
    return list(by.values())


def shards_only_in(records: Iterable[r.Record], zone: int) -> set[int]:
    """Shards that no node of another zone ever held."""
    held: dict[int, set[int]] = defaultdict(set)
    for each in records:
        if isinstance(each, r.NodeStarted):
            held[each.shard].add(each.zone)
    return {shard for shard, zones in held.items() if zones == {zone}}


def judge_fast_denials(records: Sequence[r.Record], zone: int, start: int, end: int, most: int) -> Finding:
    """While a zone is known to be lost, jobs for shards that it alone holds are denied at once, but for at
    most `most` that are tried as probes."""
    finding = Finding("what only a lost zone holds is denied at once")
    shards, late = shards_only_in(records, zone), 0
    for job in request_tries(records):
        if job.asked.shard not in shards or not start <= job.asked.t < end:
            continue
        finding.tested += 1
        told = job.told
        late += told is None or told.outcome != "denied" or told.t - job.asked.t > SOON
    if late > most:
        finding.breach(start, f"{late} of {finding.tested} waited for the lost zone; {most} may be tried")
    return finding


def judge_recovery(records: Sequence[r.Record], zone: int, back: int, within: int) -> Finding:
    """After a zone is back, each shard that it alone holds is served again in time."""
    finding = Finding("what only a lost zone held is served again once it is back")
    served: dict[int, int] = {}
    shards = shards_only_in(records, zone)
    asked: set[int] = set()
    for job in request_tries(records):
        if job.asked.shard in shards and back <= job.asked.t < back + within:
            asked.add(job.asked.shard)
            if job.told is not None and job.told.outcome == "fulfilled":
                served.setdefault(job.asked.shard, job.told.t)
    for shard in sorted(asked):
        finding.tested += 1
        if shard not in served:
            finding.breach(back, f"shard {shard} was not served for {within / SECOND:g} s")
    return finding


def judge_node_overload(records: Iterable[r.Record]) -> Finding:
    """No node is pushed over by more than it bears."""
    finding = Finding("no node is pushed over")
    for each in records:
        if isinstance(each, r.NodeStarted):
            finding.tested += 1
        elif isinstance(each, r.NodeStopped) and each.overloaded:
            finding.breach(each.t, f"node {each.node} fell")
    return finding


class RetryAdvice(msgspec.Struct):
    """Denials that told when to come back, and of the clients that came then, how many were served."""

    told: int = 0
    came: int = 0
    served: int = 0


def retry_advice(records: Sequence[r.Record], start: int, end: int) -> RetryAdvice:
    """Of denials between two times."""
    tries: dict[str, list[RequestTry]] = defaultdict(list)
    for job in request_tries(records):
        tries[job.asked.trace.split(".")[0]].append(job)
    found = RetryAdvice()
    for of in tries.values():
        for job, after in zip(of, [*of[1:], None], strict=True):
            told = job.told
            if told is None or told.outcome != "denied" or not told.retry_after or not start <= told.t < end:
                continue
            found.told += 1
            if after is None or not 0 <= after.asked.t - told.t - told.retry_after <= ADVISED:
                continue
            found.came += 1
            found.served += after.told is not None and after.told.outcome == "fulfilled"
    return found


def served_share_by_class(records: Sequence[r.Record], start: int, end: int) -> dict[str, float]:
    """Of the jobs first asked for between two times, by plan: the part of the units that was fulfilled."""
    units: dict[str, float] = defaultdict(float)
    served: dict[str, float] = defaultdict(float)
    first: dict[str, RequestTry] = {}
    for job in request_tries(records):
        trace = job.asked.trace.split(".")[0]
        begun = first.setdefault(trace, job)
        if not start <= begun.asked.t < end:
            continue
        if begun is job:
            units[job.asked.tenant] += job.asked.units
        if job.told is not None and job.told.outcome == "fulfilled":
            served[job.asked.tenant] += job.asked.units
    return {plan: served[plan] / whole for plan, whole in sorted(units.items())}
