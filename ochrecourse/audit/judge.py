"""Judges the seven rules from the records of clients, nodes and the list server.

Uses the parameters of the rules and nothing of the gateway's internals. Each rule counts the cases that
tested it and lists its breaches with evidence. Where two ends recorded one event at different times, `travel`
is the time that a message may take between them; a breach must exceed it.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import pairwise

import msgspec

from ochrecourse.audit import records as r
from ochrecourse.audit.loop_lag import ClientLag

MS = 1_000_000
SECOND = 1_000_000_000
MAX_BREACHES_SHOWN = 5  # breaches of a rule that are printed in full; the rest is counted

RULES = (
    "one answer a job, in time, nothing after",
    "no effect twice",
    "drains kept after the grace",
    "no cold node pushed over",
    "order per key",
    "budget of further legs",
    "limits of volumes",
)


class RequestClassRule(msgspec.Struct, kw_only=True):
    """The rules for a request class.

    `effect`: safe, keyed or unsafe; `group`: the nodes that drop repeats of a keyed request (all, zone or
    cell); `window`: how long they remember it, ns; `in_order`: requests with the same key run one after
    the other.
    """

    effect: str = "safe"
    group: str = "all"
    window: int = 0
    in_order: bool = False


class RuleParameters(msgspec.Struct, kw_only=True):
    """The parameters of the rules. Time spans in ns.

    A `budget_share` below 0 means that no retry budget is stated. `limits`: rate, depth and slack by
    volume.
    """

    request_classes: dict[str, RequestClassRule]
    drain_grace: int
    cold_multiple: float
    cold_fall: int
    order_settle: int
    budget_floor: float = 0.0
    budget_share: float = -1.0
    budget_window: int = 0
    limits: dict[str, tuple[float, float, float]] = {}
    hedging: bool = False
    max_attempts: int = 3
    travel: int = 50 * MS


@dataclass
class Finding:
    """The result of one rule: how many cases tested it, and its breaches as texts.

    `excused`: cases that would be breaches had the clients' process not recorded its own stalls.
    """

    rule: str
    tested: int = 0
    excused: int = 0
    breaches: list[str] = field(default_factory=list)

    def breach(self, t: int, text: str) -> None:
        """Adds a breach at `t` ns."""
        self.breaches.append(f"at {t / SECOND:.3f} s: {text}")


@dataclass
class AuditResult:
    """The findings of a run, and how many requests, answered requests and attempts it had."""

    findings: list[Finding]
    requests: int
    answered: int
    attempts: int

    def passes(self) -> bool:
        """Whether no rule has a breach."""
        return not any(finding.breaches for finding in self.findings)

    def lines(self) -> list[str]:
        """The findings as lines of text; of many breaches of a rule the first ones and a count."""
        lines = []
        for number, finding in enumerate(self.findings, 1):
            state = "kept" if not finding.breaches else f"BROKEN {len(finding.breaches)} times"
            lines.append(f"rule {number} {finding.rule}: {state}, put to the test {finding.tested} times")
            lines += [f"    {text}" for text in finding.breaches[:MAX_BREACHES_SHOWN]]
            if len(finding.breaches) > MAX_BREACHES_SHOWN:
                lines.append(f"    and {len(finding.breaches) - MAX_BREACHES_SHOWN} more")
        return lines


@dataclass
class _Attempt:
    """An attempt as its node recorded it; times in ns, -1 if not recorded.

    `order`: number of its record, which orders attempts of the same time; `cancelled_at`: when the
    gateway's cancel reached the node.
    """

    received: r.AttemptReceived
    order: int
    ended_at: int = -1
    outcome: str = ""
    cancelled_at: int = -1
    effects: int = 0


class Audit:
    """Reads records, of files in any order; `result` judges once all are read."""

    def __init__(self, parameters: RuleParameters) -> None:
        self.parameters = parameters
        self.requests: dict[tuple[str, int, int], r.RequestSent] = {}
        self.responses: dict[tuple[str, int, int], list[r.ResponseReceived]] = defaultdict(list)
        self.cancels: dict[tuple[str, int, int], r.CancelSent] = {}
        self.lost_connections: dict[int, r.ConnectionLost] = {}
        self.killed: dict[str, list[int]] = defaultdict(list)
        self.pauses: dict[str, list[r.GatewayPaused]] = defaultdict(list)
        self.node_starts: dict[int, list[r.NodeStarted]] = defaultdict(list)
        self.node_stops: dict[int, list[r.NodeStopped]] = defaultdict(list)
        self.attempts: dict[tuple[int, int, int], _Attempt] = {}
        self.attempts_by_key: dict[str, list[_Attempt]] = defaultdict(list)  # by idempotency key
        self.effects: list[r.EffectApplied] = []
        self.health_updates: list[r.NodeHealthSent] = []
        self.stalls: list[r.EventLoopStalled] = []
        self.last_time = 0
        self.count = 0

    def read(self, records: Iterable[r.Record]) -> None:
        """Takes in the records."""
        endings: list[r.Record] = []
        for record in records:
            self.count += 1
            self.last_time = max(self.last_time, record.t)
            if isinstance(record, r.RequestSent):
                self.requests[record.gateway, record.conn, record.id] = record
            elif isinstance(record, r.ResponseReceived):
                self.responses[record.gateway, record.conn, record.id].append(record)
            elif isinstance(record, r.CancelSent):
                self.cancels[record.gateway, record.conn, record.id] = record
            elif isinstance(record, r.ConnectionLost):
                self.lost_connections[record.conn] = record
            elif isinstance(record, r.GatewayKilled):
                self.killed[record.gateway].append(record.t)
            elif isinstance(record, r.GatewayPaused):
                self.pauses[record.gateway].append(record)
            elif isinstance(record, r.NodeStarted):
                self.node_starts[record.node].append(record)
            elif isinstance(record, r.NodeStopped):
                self.node_stops[record.node].append(record)
            elif isinstance(record, r.AttemptReceived):
                attempt = _Attempt(record, self.count)
                self.attempts[record.node, record.conn, record.id] = attempt
                self.attempts_by_key[record.idempotency_key].append(attempt)
            elif isinstance(record, r.EffectApplied):
                self.effects.append(record)
            elif isinstance(record, r.NodeHealthSent):
                self.health_updates.append(record)
            elif isinstance(record, r.EventLoopStalled):
                self.stalls.append(record)
            else:
                endings.append(record)
        for record in endings:
            if isinstance(record, r.AttemptEnded | r.AttemptCancelled):
                self._end_attempt(record)

    def _end_attempt(self, record: r.AttemptEnded | r.AttemptCancelled) -> None:
        """Notes the end or the cancel of an attempt; of several ends the first counts."""
        attempt = self.attempts.get((record.node, record.conn, record.id))
        if attempt is None:
            return
        if isinstance(record, r.AttemptCancelled):
            attempt.cancelled_at = record.t
        elif attempt.ended_at < 0:
            attempt.ended_at, attempt.outcome = record.t, record.outcome

    def result(self) -> AuditResult:
        """Judges the rules over all records that were read."""
        for attempts in self.attempts_by_key.values():
            attempts.sort(key=lambda attempt: (attempt.received.t, attempt.order))
        findings = [
            self._judge_responses(),
            self._judge_effects(),
            self._judge_draining(),
            self._judge_slow_start(),
            self._judge_key_order(),
            self._judge_retry_budget(),
            self._judge_volume_limits(),
        ]
        answered = sum(1 for key in self.requests if self.responses.get(key))
        return AuditResult(findings, len(self.requests), answered, len(self.attempts))

    # --- rule 1 ---

    def _judge_responses(self) -> Finding:
        """Rule 1: one final response for each request, before its timeout and none after its cancel."""
        finding = Finding(RULES[0])
        lag = ClientLag(self.stalls)
        for key, request in self.requests.items():
            responses = self.responses.get(key, [])
            due = request.t + request.timeout
            cancel = self.cancels.get(key)
            lost_connection = self.lost_connections.get(request.conn)
            finding.tested += 1
            name = f"job {request.trace} of {request.request_class} at {request.gateway}"
            if len(responses) > 1 and [each.outcome for each in responses] != ["fulfilled", "written_off"]:
                finding.breach(responses[1].t, f"{name} was answered {[each.outcome for each in responses]}")
            if self._was_paused(request.gateway, request.t, due):
                continue  # a gateway can't answer while its process is paused
            if responses and responses[0].t > due:
                self._judge_late_response(finding, lag, request, responses[0], name)
            if not responses and cancel is None and due <= self.last_time:
                if lost_connection is None or lost_connection.t > due:
                    finding.breach(due, f"{name} was never answered")
                elif not self._was_killed(request.gateway, lost_connection.t):
                    finding.breach(
                        lost_connection.t,
                        f"{name} was dropped with its connection, and its gateway was not killed",
                    )
            if (
                responses
                and cancel is not None
                and responses[0].t > cancel.t + self.parameters.travel
                and responses[0].outcome != "left"
            ):
                finding.breach(responses[0].t, f"{name} was answered after its client had left")
        for key, responses in self.responses.items():
            if key not in self.requests:
                finding.breach(
                    responses[0].t,
                    f"an answer came for job {key[2]} of connection {key[1]}, which was never asked",
                )
        return finding

    def _judge_late_response(
        self,
        finding: Finding,
        lag: ClientLag,
        request: r.RequestSent,
        response: r.ResponseReceived,
        name: str,
    ) -> None:
        """Judges a response that was read after its timeout.

        It is a breach unless the clients' process recorded a stall of its own event loop that
        explains the delay.
        """
        due = lag.latest_departure(request.t) + request.timeout
        late_ns = lag.earliest_arrival(response.t) - due
        if late_ns <= 0:
            finding.excused += 1
            return
        read_late = (response.t - request.t - request.timeout) / MS
        text = f"{name} was answered {read_late:.1f} ms after its timeout"
        if late_ns / MS < read_late:
            text += f", of which the clients' own loop explains {read_late - late_ns / MS:.1f} ms"
        finding.breach(response.t, text)

    def _was_paused(self, gateway: str, start: int, until: int) -> bool:
        """Whether the gateway's process was paused at some time of the span."""
        stopped = False
        for each in self.pauses[gateway]:
            if each.t > until:
                break
            if not each.resumed:
                stopped = True
            elif each.t < start:
                stopped = False
        return stopped

    def _was_killed(self, gateway: str, at: int) -> bool:
        """Whether the gateway's process was killed within 2 s of `at`."""
        return any(abs(killed - at) < 2 * SECOND for killed in self.killed[gateway])

    # --- rule 2 ---

    def _judge_effects(self) -> Finding:
        """Rule 2: no effect happens twice, and a request that was rejected had none."""
        finding = Finding(RULES[1])
        effects_by_key: dict[str, list[r.EffectApplied]] = defaultdict(list)
        traces: dict[str, list[r.EffectApplied]] = defaultdict(list)
        for effect in self.effects:
            effects_by_key[effect.idempotency_key].append(effect)
            traces[effect.trace].append(effect)
        for idempotency_key, attempts in self.attempts_by_key.items():
            rule = self.parameters.request_classes.get(attempts[0].received.request_class, RequestClassRule())
            finding.tested += rule.effect != "safe" or len(attempts) > 1
            if len(attempts) > self.parameters.max_attempts:
                finding.breach(attempts[-1].received.t, f"job {idempotency_key} had {len(attempts)} legs")
            if rule.effect == "unsafe" and len(effects_by_key[idempotency_key]) > 1:
                finding.breach(
                    effects_by_key[idempotency_key][1].t,
                    f"binding job {idempotency_key} ran {len(effects_by_key[idempotency_key])} times",
                )
            self._judge_attempt_sequence(finding, idempotency_key, attempts, rule)
        for key, responses in self.responses.items():
            request = self.requests.get(key)
            if request is None or responses[0].outcome != "denied":
                continue
            rule = self.parameters.request_classes.get(request.request_class, RequestClassRule())
            if rule.effect == "unsafe" or (rule.effect == "keyed" and rule.group != "all"):
                finding.tested += 1
                if traces[request.trace]:
                    finding.breach(
                        responses[0].t,
                        f"{request.request_class} job {request.trace} was denied though it ran",
                    )
        return finding

    def _judge_attempt_sequence(
        self, finding: Finding, idempotency_key: str, attempts: list[_Attempt], rule: RequestClassRule
    ) -> None:
        """Judges which further attempts of a request were allowed, given the ones before."""
        first: _Attempt | None = None  # the first that may have run
        for before, attempt in zip([None, *attempts], attempts, strict=False):
            received = attempt.received
            if before is not None and not self.parameters.hedging:
                ended = [each for each in (before.ended_at, before.cancelled_at) if each >= 0]
                out = not ended or min(ended) > received.t + self.parameters.travel
                if out and not self._node_down(before, received.t):
                    earlier = before.received.number
                    finding.breach(
                        received.t,
                        f"job {idempotency_key} had leg {received.number} sent while leg {earlier} was out",
                    )
            if first is not None and rule.effect == "unsafe":
                finding.breach(
                    received.t,
                    f"binding job {idempotency_key} got leg {received.number} though one before may have run",
                )
            if first is not None and rule.effect == "keyed":
                if received.t > first.received.t + rule.window + self.parameters.travel:
                    finding.breach(
                        received.t, f"job {idempotency_key} was repeated after the nodes had forgotten it"
                    )
                if self._group(first, rule) != self._group(attempt, rule):
                    finding.breach(
                        received.t,
                        f"job {idempotency_key} was repeated outside the group that drops its repeats",
                    )
            if first is None and attempt.outcome not in ("full", "moot"):
                first = attempt

    def _group(self, attempt: _Attempt, rule: RequestClassRule) -> tuple[str, int]:
        """The group of nodes, at the attempt's node, that drops repeats of its request."""
        up = self.node_starts.get(attempt.received.node, [None])[0]
        if rule.group == "all" or up is None:
            return ("all", 0)
        return ("zone", up.zone) if rule.group == "zone" else ("cell", up.shard)

    def _node_down(self, attempt: _Attempt, by: int) -> bool:
        """Whether the attempt's node stopped between its start and `by`.

        The node's connections broke then, and it recorded nothing more.
        """
        return any(attempt.received.t <= down.t <= by for down in self.node_stops[attempt.received.node])

    # --- rule 3 ---

    def _judge_draining(self) -> Finding:
        """Rule 3: no attempt goes to a draining node after the grace period."""
        finding = Finding(RULES[2])
        health_by_node: dict[tuple[str, int], list[tuple[int, str]]] = defaultdict(list)
        for each in sorted(self.health_updates, key=lambda each: each.t):
            health_by_node[each.gateway, each.node].append((each.t, each.health))
        for updates in health_by_node.values():
            finding.tested += sum(health != "ready" for _, health in updates)
        for attempt in self.attempts.values():
            received = attempt.received
            since = -1
            for t, health in health_by_node.get((received.gateway, received.node), []):
                if t > received.t:
                    break
                if health == "ready" or any(
                    t < killed <= received.t for killed in self.killed[received.gateway]
                ):
                    since = -1
                elif since < 0:
                    since = t
            if since >= 0 and received.t > since + self.parameters.drain_grace + self.parameters.travel:
                late = (received.t - since) / MS
                finding.breach(
                    received.t,
                    f"{received.gateway} sent to node {received.node} "
                    f"{late:.0f} ms after it heard that it drains",
                )
        return finding

    # --- rule 4 ---

    def _judge_slow_start(self) -> Finding:
        """Rule 4: no node gets more work while cold than it can bear."""
        finding = Finding(RULES[3])
        by_node: dict[int, list[r.AttemptReceived]] = defaultdict(list)
        for attempt in self.attempts.values():
            by_node[attempt.received.node].append(attempt.received)
        for node, starts in self.node_starts.items():
            for up in starts:
                if not up.cold_for:
                    continue
                stop_times = [down.t for down in self.node_stops[node] if down.t >= up.t]
                until = min([up.t + up.cold_for, *stop_times])
                received = sorted(
                    (each for each in by_node[node] if up.t <= each.t <= until), key=lambda each: each.t
                )
                finding.tested += bool(received)
                self._judge_cold_node(finding, up, received)
        for node, stops in self.node_stops.items():
            for down in stops:
                if down.overloaded:
                    finding.breach(down.t, f"node {node} fell over while it was cold")
        return finding

    def _judge_cold_node(
        self, finding: Finding, up: r.NodeStarted, attempts: list[r.AttemptReceived]
    ) -> None:
        """Compares the work sent to a cold node, in a sliding window, with its capacity at that time."""
        window: deque[r.AttemptReceived] = deque()
        work = 0.0
        for attempt in attempts:
            window.append(attempt)
            work += attempt.work
            while window[0].t <= attempt.t - self.parameters.cold_fall:
                work -= window.popleft().work
            since = max(up.t, attempt.t - self.parameters.cold_fall)
            warm = [up.cold_from + (1 - up.cold_from) * (t - up.t) / up.cold_for for t in (since, attempt.t)]
            capable_work = up.capacity / SECOND * (warm[0] + warm[1]) / 2 * self.parameters.cold_fall
            if work > self.parameters.cold_multiple * capable_work + max(each.work for each in window):
                share = work / capable_work
                finding.breach(
                    attempt.t, f"node {up.node} got {share:.1f} times what it could do while it was cold"
                )
                return

    # --- rule 5 ---

    def _judge_key_order(self) -> Finding:
        """Rule 5: requests with the same key are sent in order, one after the other."""
        finding = Finding(RULES[4])
        asked_at = {request.trace: request for request in self.requests.values()}
        by_key: dict[tuple[str, int, str], list[_Attempt]] = defaultdict(list)
        for attempt in self.attempts.values():
            rule = self.parameters.request_classes.get(attempt.received.request_class)
            if rule is not None and rule.in_order and attempt.received.key:
                incarnation = attempt.received.idempotency_key.rpartition("/")[0]
                by_key[attempt.received.gateway, attempt.received.key, incarnation].append(attempt)
        for (gateway, key, _), attempts in by_key.items():
            attempts.sort(key=lambda attempt: (attempt.received.t, attempt.order))
            first_seen: dict[str, int] = {}
            for before, attempt in pairwise(attempts):
                if before.received.idempotency_key == attempt.received.idempotency_key:
                    continue
                finding.tested += 1
                self._judge_successor(finding, gateway, key, before, attempt)
            latest: dict[int, tuple[int, r.AttemptReceived]] = {}  # by the client's connection
            for attempt in attempts:
                request = asked_at.get(attempt.received.trace)
                if (
                    request is None
                    or first_seen.setdefault(attempt.received.idempotency_key, attempt.received.t)
                    != attempt.received.t
                ):
                    continue
                last = latest.get(request.conn)
                if last is not None and request.id < last[0]:
                    finding.breach(
                        attempt.received.t,
                        f"{gateway} sent {request.trace} of key {key} after {last[1].trace}, taken later",
                    )
                else:
                    latest[request.conn] = (request.id, attempt.received)
        return finding

    def _judge_successor(
        self, finding: Finding, gateway: str, key: int, before: _Attempt, attempt: _Attempt
    ) -> None:
        """Judges whether an attempt was sent only after the one before it with the same key had ended."""
        t, travel = attempt.received.t, self.parameters.travel
        names = f"{gateway} sent {attempt.received.idempotency_key} of key {key}"
        ended = [each for each in (before.ended_at, before.cancelled_at) if each >= 0]
        if not ended:
            if not self._node_down(before, t):
                finding.breach(t, f"{names} while {before.received.idempotency_key} was out")
            return
        if min(ended) > t + travel:
            finding.breach(
                t, f"{names} {(min(ended) - t) / MS:.0f} ms before {before.received.idempotency_key} was over"
            )
        may_still_run = (
            before.cancelled_at >= 0 and before.outcome in ("", "cancelled")
        ) or before.outcome == "cut"
        if may_still_run and t < min(ended) + self.parameters.order_settle - travel:
            finding.breach(
                t,
                f"{names} {(t - min(ended)) / MS:.0f} ms after {before.received.idempotency_key}, "
                "a leg of which may run on",
            )

    # --- rule 6 ---

    def _judge_retry_budget(self) -> Finding:
        """Rule 6: attempts beyond the first of a request stay within the retry budget."""
        finding = Finding(RULES[5])
        if self.parameters.budget_share < 0:
            return finding
        requests_taken: dict[str, list[int]] = defaultdict(list)
        for request in self.requests.values():
            requests_taken[request.gateway].append(request.t)
        retries: dict[tuple[str, str], list[int]] = defaultdict(list)
        for attempt in self.attempts.values():
            if attempt.received.number > 0:
                incarnation = attempt.received.idempotency_key.rpartition("/")[0]
                retries[attempt.received.gateway, incarnation].append(attempt.received.t)
        window, travel = self.parameters.budget_window, self.parameters.travel
        for (gateway, _), times in retries.items():
            times.sort()
            request_times = sorted(requests_taken[gateway])
            for i, t in enumerate(times):
                finding.tested += 1
                sent = i + 1 - bisect_left(times, t - window + travel)
                recent_requests = bisect_right(request_times, t) - bisect_left(
                    request_times, t - window - travel
                )
                most = self.parameters.budget_floor + self.parameters.budget_share * recent_requests
                if sent > most:
                    finding.breach(
                        t, f"{gateway} had sent {sent} further legs in the window; {most:.1f} were allowed"
                    )
        return finding

    # --- rule 7 ---

    def _judge_volume_limits(self) -> Finding:
        """Rule 7: the units sent for each volume stay within its token bucket and slack."""
        finding = Finding(RULES[6])
        first_attempts: dict[str, list[r.AttemptReceived]] = defaultdict(list)
        for attempts in self.attempts_by_key.values():
            endings = [attempt for attempt in attempts if attempt.outcome != "moot"]
            if endings and str(endings[0].received.volume) in self.parameters.limits:
                first_attempts[str(endings[0].received.volume)].append(endings[0].received)
        for volume, sent in first_attempts.items():
            rate, depth, slack = self.parameters.limits[volume]
            level, at = depth, 0
            for received in sorted(sent, key=lambda received: received.t):
                finding.tested += 1
                if at:
                    level = min(depth, level + rate * (received.t - at) / SECOND)
                at = received.t
                level -= received.units
                if level < -slack - rate * self.parameters.travel / SECOND:
                    finding.breach(
                        received.t,
                        f"volume {volume} is {-level:.1f} units past its limit; the slack is {slack:.1f}",
                    )
        return finding


def audit(parameters: RuleParameters, records: Iterable[r.Record]) -> AuditResult:
    """Judges all records of a run."""
    auditor = Audit(parameters)
    auditor.read(records)
    return auditor.result()
