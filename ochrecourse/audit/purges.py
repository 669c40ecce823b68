"""Judges purges of several gateways' caches, by the responses of clients and by the gateways' logs.

The records of what control sockets answered are in fleet_state.py.
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
    """In every gateway's log each edge executed each occurrence once, all from one edition."""
    finding = Finding("each purge once an edge, from one edition")
    editions_by_purge: dict[tuple[str, str, str, str], list[str]] = defaultdict(list)
    for each in settled:
        editions_by_purge[each.gateway, each.edge, each.rule, each.date].append(each.edition)
    for gateway in sorted({each.gateway for each in settled}) or ["nobody"]:
        for rule, date in moments:
            editions = set()
            for edge in edges:
                finding.tested += 1
                fired = editions_by_purge.get((gateway, edge, rule, date), [])
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
    request_classes: set[str],
    control_records: Iterable[object] = (),
) -> Finding:
    """No client receives, after its edge's purge, a response that a node made before it.

    `moments`: the purge by gateway, ns. `slack`: how long a response to a request sent before the purge
    may be in flight, ns; a request sent after it has none. While a gateway's process is paused, a
    response that a node made for a request stays in flight. `control_records`: answers of control
    sockets, for the texts of breaches.
    """
    finding = Finding("no answer after the moment rests on a copy from before it")
    evidence = ResponseEvidence(records, control_records)
    lag = ClientLag(records)
    stops: dict[str, list[r.GatewayPaused]] = defaultdict(list)
    for each in records:
        if isinstance(each, r.GatewayPaused):
            stops[each.gateway].append(each)
    for each in records:
        if not isinstance(each, r.ResponseReceived) or not each.made_at or each.gateway not in moments:
            continue
        request, at = evidence.requests.get((each.gateway, each.conn, each.id)), moments[each.gateway]
        if request is None or request.request_class not in request_classes or each.t < at:
            continue
        finding.tested += 1
        if each.made_at >= at:
            continue
        fetched = request.t <= each.made_at
        paused_ns = _paused_ns(stops[each.gateway], at, each.t) if fetched else 0
        allowed_until = at + slack + paused_ns
        if request.t < at and lag.earliest_arrival(each.t) <= allowed_until:
            finding.excused += each.t > allowed_until
            continue
        finding.breach(
            each.t,
            f"{each.gateway} answered {each.trace} {(each.t - at) / MS:.0f} ms after the moment "
            f"with what was made {(at - each.made_at) / MS:.0f} ms before it; "
            f"{evidence.describe(request, each, at)}",
        )
    return finding


class ResponseEvidence:
    """What the records show of how a response was produced."""

    def __init__(self, records: Iterable[r.Record], control_records: Iterable[object]) -> None:
        self.requests: dict[tuple[str, int, int], r.RequestSent] = {}
        self.attempts: dict[tuple[str, str], r.AttemptReceived] = {}  # the last by gateway and trace
        self.samples: dict[str, list[ZoneStateSample]] = defaultdict(list)
        for each in records:
            if isinstance(each, r.RequestSent):
                self.requests[each.gateway, each.conn, each.id] = each
            elif isinstance(each, r.AttemptReceived):
                self.attempts[each.gateway, each.trace] = each
        for sample in control_records:
            if isinstance(sample, ZoneStateSample):
                self.samples[sample.gateway].append(sample)

    def describe(self, request: r.RequestSent, response: r.ResponseReceived, at: int) -> str:
        """When the request was sent, whose attempt answered it, and its gateway's state."""
        when = (
            f"asked {abs(request.t - at) / MS:.0f} ms {'after' if request.t >= at else 'before'} the moment"
        )
        attempt = self.attempts.get((response.gateway, response.trace))
        if attempt is not None and attempt.t <= response.made_at:
            way = "answered by its own leg"
        elif request.t <= response.made_at:
            way = "answered by another read's leg"
        else:
            way = f"answered from a copy {(request.t - response.made_at) / MS:.0f} ms old as it was asked"
        return f"{when}, {way}; {self._state(response.gateway, response.t)}"

    def _state(self, gateway: str, t: int) -> str:
        """The last state that the gateway reported by `t`, with the drift of its wall clock."""
        before = [each for each in self.samples[gateway] if each.t <= t]
        if not before:
            return "its state was not seen before"
        last, first = before[-1], before[0]
        copies = {None: "no site", "": "copies used"}.get(last.copies, f"copies not used: {last.copies}")
        stepped_ms = (last.wall_ms - first.wall_ms) - (last.t - first.t) / MS
        return f"{(t - last.t) / MS:.0f} ms before: {copies}, wall clock {stepped_ms:+.0f} ms off"


def _paused_ns(stops: Sequence[r.GatewayPaused], since: int, until: int) -> int:
    """For how many ns of a span a gateway's process was paused."""
    total, began = 0, None
    for each in sorted(stops, key=lambda stop: stop.t):
        if not each.resumed:
            began = each.t
        elif began is not None:
            total += max(0, min(each.t, until) - max(began, since))
            began = None
    return total


def count_copy_responses(records: Iterable[r.Record]) -> int:
    """Responses that were served from a cached copy, without a request to a node.

    They carry the same time as a response that a client got before.
    """
    made = [each.made_at for each in records if isinstance(each, r.ResponseReceived) and each.made_at]
    return len(made) - len(set(made))
