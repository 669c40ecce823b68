"""Judges the use of cached copies on a day with the closes of several sites, from clients' records."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

from ochrecourse.audit import records as r
from ochrecourse.audit.judge import Finding


def judge_copy_use(
    records: Iterable[r.Record], moments: Mapping[str, int], judged_classes: Collection[str]
) -> Finding:
    """Of each purge, some edges answered from cached copies before it and some after it.

    `moments`: the purge by gateway, ns. Guards against a purge rule that is kept only because copies are
    never used.
    """
    finding = Finding("copies were used before each moment and again after it")
    request_classes = {
        (e.gateway, e.conn, e.id): e.request_class for e in records if isinstance(e, r.RequestSent)
    }
    responses_given: dict[str, set[int]] = {}
    before: set[int] = set()
    after: set[int] = set()
    for each in records:
        if not isinstance(each, r.ResponseReceived) or not each.made_at or each.gateway not in moments:
            continue
        if request_classes.get((each.gateway, each.conn, each.id)) not in judged_classes:
            continue
        finding.tested += 1
        at, given_times = moments[each.gateway], responses_given.setdefault(each.gateway, set())
        if each.made_at in given_times:  # another client received the same response
            (before if each.t < at else after).add(at)
        given_times.add(each.made_at)
    for at in sorted(set(moments.values())):
        edges = sorted(gateway for gateway, moment in moments.items() if moment == at)
        for used, when in ((before, "before"), (after, "after")):
            if at not in used:
                finding.breach(at, f"none of {edges} used a copy {when} its moment")
    return finding
