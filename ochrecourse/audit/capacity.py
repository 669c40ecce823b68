"""Judges days on which a fleet has too little capacity: shards that only a lost zone holds, and overload.

Uses only what crossed the connections. Times in ns.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence

import msgspec

from ochrecourse.audit import records as r
from ochrecourse.audit.judge import MS, SECOND, Finding

FAST_DENIAL_NS = 50 * MS  # up to which a denial counts as immediate: a few iterations of a loaded event loop
# How long after its retry-after time a client may try again and still count as following it.
RETRY_MARGIN_NS = SECOND // 4


class RequestTry(msgspec.Struct):
    """One try of a request, as its client recorded it."""

    request: r.RequestSent
    response: r.ResponseReceived | None = None


def request_tries(records: Iterable[r.Record]) -> list[RequestTry]:
    """All tries, in the order in which they were sent."""
    tries: dict[tuple[str, int, int], RequestTry] = {}
    for each in records:
        if isinstance(each, r.RequestSent):
            tries[each.gateway, each.conn, each.id] = RequestTry(each)
        elif (
            isinstance(each, r.ResponseReceived)
            and (request_try := tries.get((each.gateway, each.conn, each.id))) is not None
        ):
            request_try.response = each
    return list(tries.values())


def shards_only_in(records: Iterable[r.Record], zone: int) -> set[int]:
    """The shards that no node of another zone ever had."""
    zones_by_shard: dict[int, set[int]] = defaultdict(set)
    for each in records:
        if isinstance(each, r.NodeStarted):
            zones_by_shard[each.shard].add(each.zone)
    return {shard for shard, zones in zones_by_shard.items() if zones == {zone}}


def judge_fast_denials(
    records: Sequence[r.Record], zone: int, start: int, end: int, max_probes: int
) -> Finding:
    """While a zone is known to be lost, requests for shards that only it has are rejected at once.

    At most `max_probes` of them may be tried as probes.
    """
    finding = Finding("what only a lost zone holds is denied at once")
    shards, late = shards_only_in(records, zone), 0
    for request_try in request_tries(records):
        if request_try.request.shard not in shards or not start <= request_try.request.t < end:
            continue
        finding.tested += 1
        response = request_try.response
        late += (
            response is None
            or response.outcome != "denied"
            or response.t - request_try.request.t > FAST_DENIAL_NS
        )
    if late > max_probes:
        finding.breach(
            start, f"{late} of {finding.tested} waited for the lost zone; {max_probes} may be tried"
        )
    return finding


def judge_recovery(records: Sequence[r.Record], zone: int, restored_at: int, within: int) -> Finding:
    """Once a zone is back, each shard that only it has is served again within `within`."""
    finding = Finding("what only a lost zone held is served again once it is back")
    served: dict[int, int] = {}
    shards = shards_only_in(records, zone)
    requested_shards: set[int] = set()
    for request_try in request_tries(records):
        if (
            request_try.request.shard in shards
            and restored_at <= request_try.request.t < restored_at + within
        ):
            requested_shards.add(request_try.request.shard)
            if request_try.response is not None and request_try.response.outcome == "fulfilled":
                served.setdefault(request_try.request.shard, request_try.response.t)
    for shard in sorted(requested_shards):
        finding.tested += 1
        if shard not in served:
            finding.breach(restored_at, f"shard {shard} was not served for {within / SECOND:g} s")
    return finding


def judge_node_overload(records: Iterable[r.Record]) -> Finding:
    """No node fails because it gets more work than it can bear."""
    finding = Finding("no node is pushed over")
    for each in records:
        if isinstance(each, r.NodeStarted):
            finding.tested += 1
        elif isinstance(each, r.NodeStopped) and each.overloaded:
            finding.breach(each.t, f"node {each.node} fell")
    return finding


class RetryAdvice(msgspec.Struct):
    """Rejections that carried a retry-after time, and what became of them.

    `followed`: the client tried again at that time; `served`: that try was served.
    """

    advised: int = 0
    followed: int = 0
    served: int = 0


def retry_advice(records: Sequence[r.Record], start: int, end: int) -> RetryAdvice:
    """Counts the rejections between two times whose retry-after time was followed."""
    tries: dict[str, list[RequestTry]] = defaultdict(list)
    for request_try in request_tries(records):
        tries[request_try.request.trace.split(".")[0]].append(request_try)
    found = RetryAdvice()
    for same_request in tries.values():
        for request_try, after in zip(same_request, [*same_request[1:], None], strict=True):
            response = request_try.response
            if (
                response is None
                or response.outcome != "denied"
                or not response.retry_after
                or not start <= response.t < end
            ):
                continue
            found.advised += 1
            if (
                after is None
                or not 0 <= after.request.t - response.t - response.retry_after <= RETRY_MARGIN_NS
            ):
                continue
            found.followed += 1
            found.served += after.response is not None and after.response.outcome == "fulfilled"
    return found


def served_share_by_tenant(records: Sequence[r.Record], start: int, end: int) -> dict[str, float]:
    """The share of units served, by tenant, of requests first sent between two times."""
    units: dict[str, float] = defaultdict(float)
    served: dict[str, float] = defaultdict(float)
    first: dict[str, RequestTry] = {}
    for request_try in request_tries(records):
        trace = request_try.request.trace.split(".")[0]
        first_try = first.setdefault(trace, request_try)
        if not start <= first_try.request.t < end:
            continue
        if first_try is request_try:
            units[request_try.request.tenant] += request_try.request.units
        if request_try.response is not None and request_try.response.outcome == "fulfilled":
            served[request_try.request.tenant] += request_try.request.units
    return {tenant: served[tenant] / total for tenant, total in sorted(units.items())}
