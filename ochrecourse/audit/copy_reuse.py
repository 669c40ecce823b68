"""Judges a day on which several sites close, from what crossed the sockets."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

from ochrecourse.audit import records as r
from ochrecourse.audit.judge import Finding


def judge_copy_use(
    records: Iterable[r.Record], moments: Mapping[str, int], products: Collection[str]
) -> Finding:
    """Of the edges of each moment (by gateway, ns) some answered from copies before it, and some after it.
    Guards against a rule that is kept by never using a copy.
    """
    finding = Finding("copies were used before each moment and again after it")
    product = {(e.gateway, e.conn, e.id): e.request_class for e in records if isinstance(e, r.RequestSent)}
    given: dict[str, set[int]] = {}
    before: set[int] = set()
    after: set[int] = set()
    for each in records:
        if not isinstance(each, r.ResponseReceived) or not each.made_at or each.gateway not in moments:
            continue
        if product.get((each.gateway, each.conn, each.id)) not in products:
            continue
        finding.tested += 1
        at, had = moments[each.gateway], given.setdefault(each.gateway, set())
        if each.made_at in had:  # another client got the very same answer
            (before if each.t < at else after).add(at)
        had.add(each.made_at)
    for at in sorted(set(moments.values())):
        edges = sorted(gateway for gateway, moment in moments.items() if moment == at)
        for used, when in ((before, "before"), (after, "after")):
            if at not in used:
                finding.breach(at, f"none of {edges} used a copy {when} its moment")
    return finding
