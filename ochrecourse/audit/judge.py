"""Judges the seven rules from what clients, nodes and the list server recorded at their ends of the sockets.

It knows the figures of the rules and nothing of the gateway's insides. Each rule counts the cases that put it
to the test and lists its breaches with evidence. Where two ends saw the same thing at different times,
`travel` is what a message may take between them, and a breach must be larger than that.
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
SHOWN = 5  # breaches of a rule that are told in full; the rest is counted

RULES = (
    "one answer a job, in time, nothing after",
    "no effect twice",
    "drains kept after the grace",
    "no cold node pushed over",
    "order per key",
    "budget of further legs",
    "limits of volumes",
)


class ProductRule(msgspec.Struct, kw_only=True):
    """What the rules say of a product. `effect`: safe, keyed or unsafe."""

    effect: str = "safe"
    group: str = "all"
    window: int = 0
    in_order: bool = False


class Figures(msgspec.Struct, kw_only=True):
    """The stated figures. Spans in ns; a budget share below 0: none is stated; limits: rate, depth, slack by
    volume.
    """

    products: dict[str, ProductRule]
    drain_grace: int
    cold_multiple: float
    cold_fall: int
    settle: int
    budget_floor: float = 0.0
    budget_share: float = -1.0
    budget_window: int = 0
    limits: dict[str, tuple[float, float, float]] = {}
    second_copies: bool = False
    max_legs: int = 3
    travel: int = 50 * MS


@dataclass
class Finding:
    """One rule's verdict: how often it was put to the test, and its breaches in words. `excused`: cases that
    would be breaches had the clients' process not recorded that it was late itself.
    """

    rule: str
    tested: int = 0
    excused: int = 0
    breaches: list[str] = field(default_factory=list)

    def breach(self, t: int, text: str) -> None:
        self.breaches.append(f"at {t / SECOND:.3f} s: {text}")


@dataclass
class Verdict:
    """The verdict of a whole run."""

    findings: list[Finding]
    jobs: int
    answered: int
    legs: int

    def kept(self) -> bool:
        return not any(finding.breaches for finding in self.findings)

    def lines(self) -> list[str]:
        told = []
        for number, finding in enumerate(self.findings, 1):
            state = "kept" if not finding.breaches else f"BROKEN {len(finding.breaches)} times"
            told.append(f"rule {number} {finding.rule}: {state}, put to the test {finding.tested} times")
            told += [f"    {text}" for text in finding.breaches[:SHOWN]]
            if len(finding.breaches) > SHOWN:
                told.append(f"    and {len(finding.breaches) - SHOWN} more")
        return told


@dataclass
class _Leg:
    """A leg as its node saw it. `end`: when it was known to be over there; `sure`: nothing of it can run
    on.
    """

    came: r.AttemptReceived
    order: int
    end: int = -1
    outcome: str = ""
    given_up: int = -1
    effects: int = 0


class Audit:
    """Reads records in any order of files; `verdict` judges once all are read."""

    def __init__(self, figures: Figures) -> None:
        self.figures = figures
        self.asked: dict[tuple[str, int, int], r.RequestSent] = {}
        self.told: dict[tuple[str, int, int], list[r.ResponseReceived]] = defaultdict(list)
        self.left: dict[tuple[str, int, int], r.CancelSent] = {}
        self.lost: dict[int, r.ConnectionLost] = {}
        self.killed: dict[str, list[int]] = defaultdict(list)
        self.stopped: dict[str, list[r.GatewayPaused]] = defaultdict(list)
        self.ups: dict[int, list[r.NodeStarted]] = defaultdict(list)
        self.downs: dict[int, list[r.NodeStopped]] = defaultdict(list)
        self.legs: dict[tuple[int, int, int], _Leg] = {}
        self.jobs: dict[str, list[_Leg]] = defaultdict(list)  # legs by mark
        self.effects: list[r.EffectApplied] = []
        self.list_told: list[r.NodeHealthSent] = []
        self.loop_late: list[r.EventLoopStalled] = []
        self.last = 0
        self.count = 0

    def read(self, records: Iterable[r.Record]) -> None:
        held: list[r.Record] = []
        for record in records:
            self.count += 1
            self.last = max(self.last, record.t)
            if isinstance(record, r.RequestSent):
                self.asked[record.gateway, record.conn, record.id] = record
            elif isinstance(record, r.ResponseReceived):
                self.told[record.gateway, record.conn, record.id].append(record)
            elif isinstance(record, r.CancelSent):
                self.left[record.gateway, record.conn, record.id] = record
            elif isinstance(record, r.ConnectionLost):
                self.lost[record.conn] = record
            elif isinstance(record, r.GatewayKilled):
                self.killed[record.gateway].append(record.t)
            elif isinstance(record, r.GatewayPaused):
                self.stopped[record.gateway].append(record)
            elif isinstance(record, r.NodeStarted):
                self.ups[record.node].append(record)
            elif isinstance(record, r.NodeStopped):
                self.downs[record.node].append(record)
            elif isinstance(record, r.AttemptReceived):
                leg = _Leg(record, self.count)
                self.legs[record.node, record.conn, record.id] = leg
                self.jobs[record.idempotency_key].append(leg)
            elif isinstance(record, r.EffectApplied):
                self.effects.append(record)
            elif isinstance(record, r.NodeHealthSent):
                self.list_told.append(record)
            elif isinstance(record, r.EventLoopStalled):
                self.loop_late.append(record)
            else:
                held.append(record)
        for record in held:
            if isinstance(record, r.AttemptEnded | r.AttemptCancelled):
                self._over(record)

    def _over(self, record: r.AttemptEnded | r.AttemptCancelled) -> None:
        leg = self.legs.get((record.node, record.conn, record.id))
        if leg is None:
            return
        if isinstance(record, r.AttemptCancelled):
            leg.given_up = record.t
        elif leg.end < 0:
            leg.end, leg.outcome = record.t, record.outcome

    def verdict(self) -> Verdict:
        for legs in self.jobs.values():
            legs.sort(key=lambda leg: (leg.came.t, leg.order))
        findings = [
            self._one_answer(),
            self._no_effect_twice(),
            self._drains(),
            self._cold(),
            self._order(),
            self._budget(),
            self._limits(),
        ]
        answered = sum(1 for key in self.asked if self.told.get(key))
        return Verdict(findings, len(self.asked), answered, len(self.legs))

    # --- 1 ---

    def _one_answer(self) -> Finding:
        finding = Finding(RULES[0])
        lag = ClientLag(self.loop_late)
        for key, asked in self.asked.items():
            told = self.told.get(key, [])
            due = asked.t + asked.timeout
            left = self.left.get(key)
            lost = self.lost.get(asked.conn)
            finding.tested += 1
            name = f"job {asked.trace} of {asked.request_class} at {asked.gateway}"
            if len(told) > 1 and [each.outcome for each in told] != ["fulfilled", "written_off"]:
                finding.breach(told[1].t, f"{name} was answered {[each.outcome for each in told]}")
            if self._stood_still(asked.gateway, asked.t, due):
                continue  # nobody can answer while its process is stopped
            if told and told[0].t > due:
                self._late_answer(finding, lag, asked, told[0], name)
            if not told and left is None and due <= self.last:
                if lost is None or lost.t > due:
                    finding.breach(due, f"{name} was never answered")
                elif not self._was_killed(asked.gateway, lost.t):
                    finding.breach(
                        lost.t, f"{name} was dropped with its connection, and its gateway was not killed"
                    )
            if (
                told
                and left is not None
                and told[0].t > left.t + self.figures.travel
                and told[0].outcome != "left"
            ):
                finding.breach(told[0].t, f"{name} was answered after its client had left")
        for key, told in self.told.items():
            if key not in self.asked:
                finding.breach(
                    told[0].t,
                    f"an answer came for job {key[2]} of connection {key[1]}, which was never asked",
                )
        return finding

    def _late_answer(
        self, finding: Finding, lag: ClientLag, asked: r.RequestSent, told: r.ResponseReceived, name: str
    ) -> None:
        """An answer was read after its timeout: a breach unless the clients' own loop was as late, by its
        record.
        """
        due = lag.latest_departure(asked.t) + asked.timeout
        late_ns = lag.earliest_arrival(told.t) - due
        if late_ns <= 0:
            finding.excused += 1
            return
        read_late = (told.t - asked.t - asked.timeout) / MS
        text = f"{name} was answered {read_late:.1f} ms after its timeout"
        if late_ns / MS < read_late:
            text += f", of which the clients' own loop explains {read_late - late_ns / MS:.1f} ms"
        finding.breach(told.t, text)

    def _stood_still(self, gateway: str, start: int, end: int) -> bool:
        stopped = False
        for each in self.stopped[gateway]:
            if each.t > end:
                break
            if not each.resumed:
                stopped = True
            elif each.t < start:
                stopped = False
        return stopped

    def _was_killed(self, gateway: str, at: int) -> bool:
        return any(abs(killed - at) < 2 * SECOND for killed in self.killed[gateway])

    # --- 2 ---

    def _no_effect_twice(self) -> Finding:
        finding = Finding(RULES[1])
        ran: dict[str, list[r.EffectApplied]] = defaultdict(list)
        traces: dict[str, list[r.EffectApplied]] = defaultdict(list)
        for effect in self.effects:
            ran[effect.idempotency_key].append(effect)
            traces[effect.trace].append(effect)
        for mark, legs in self.jobs.items():
            rule = self.figures.products.get(legs[0].came.request_class, ProductRule())
            finding.tested += rule.effect != "safe" or len(legs) > 1
            if len(legs) > self.figures.max_legs:
                finding.breach(legs[-1].came.t, f"job {mark} had {len(legs)} legs")
            if rule.effect == "unsafe" and len(ran[mark]) > 1:
                finding.breach(ran[mark][1].t, f"binding job {mark} ran {len(ran[mark])} times")
            self._legs_of(finding, mark, legs, rule)
        for key, told in self.told.items():
            asked = self.asked.get(key)
            if asked is None or told[0].outcome != "denied":
                continue
            rule = self.figures.products.get(asked.request_class, ProductRule())
            if rule.effect == "unsafe" or (rule.effect == "keyed" and rule.group != "all"):
                finding.tested += 1
                if traces[asked.trace]:
                    finding.breach(
                        told[0].t, f"{asked.request_class} job {asked.trace} was denied though it ran"
                    )
        return finding

    def _legs_of(self, finding: Finding, mark: str, legs: list[_Leg], rule: ProductRule) -> None:
        first: _Leg | None = None  # that may have run
        for before, leg in zip([None, *legs], legs, strict=False):
            came = leg.came
            if before is not None and not self.figures.second_copies:
                ended = [each for each in (before.end, before.given_up) if each >= 0]
                out = not ended or min(ended) > came.t + self.figures.travel
                if out and not self._node_down(before, came.t):
                    earlier = before.came.number
                    finding.breach(
                        came.t, f"job {mark} had leg {came.number} sent while leg {earlier} was out"
                    )
            if first is not None and rule.effect == "unsafe":
                finding.breach(
                    came.t, f"binding job {mark} got leg {came.number} though one before may have run"
                )
            if first is not None and rule.effect == "keyed":
                if came.t > first.came.t + rule.window + self.figures.travel:
                    finding.breach(came.t, f"job {mark} was repeated after the nodes had forgotten it")
                if self._group(first, rule) != self._group(leg, rule):
                    finding.breach(
                        came.t, f"job {mark} was repeated outside the group that drops its repeats"
                    )
            if first is None and leg.outcome not in ("full", "moot"):
                first = leg

    def _group(self, leg: _Leg, rule: ProductRule) -> tuple[str, int]:
        up = self.ups.get(leg.came.node, [None])[0]
        if rule.group == "all" or up is None:
            return ("all", 0)
        return ("zone", up.zone) if rule.group == "zone" else ("cell", up.shard)

    def _node_down(self, leg: _Leg, by: int) -> bool:
        """A node whose process ended between a leg and the next: its connections broke, and it wrote no
        more.
        """
        return any(leg.came.t <= down.t <= by for down in self.downs[leg.came.node])

    # --- 3 ---

    def _drains(self) -> Finding:
        finding = Finding(RULES[2])
        told: dict[tuple[str, int], list[tuple[int, str]]] = defaultdict(list)
        for each in sorted(self.list_told, key=lambda each: each.t):
            told[each.gateway, each.node].append((each.t, each.health))
        for news in told.values():
            finding.tested += sum(health != "ready" for _, health in news)
        for leg in self.legs.values():
            came = leg.came
            since = -1
            for t, health in told.get((came.gateway, came.node), []):
                if t > came.t:
                    break
                if health == "ready" or any(t < killed <= came.t for killed in self.killed[came.gateway]):
                    since = -1
                elif since < 0:
                    since = t
            if since >= 0 and came.t > since + self.figures.drain_grace + self.figures.travel:
                late = (came.t - since) / MS
                finding.breach(
                    came.t,
                    f"{came.gateway} sent to node {came.node} {late:.0f} ms after it heard that it drains",
                )
        return finding

    # --- 4 ---

    def _cold(self) -> Finding:
        finding = Finding(RULES[3])
        by_node: dict[int, list[r.AttemptReceived]] = defaultdict(list)
        for leg in self.legs.values():
            by_node[leg.came.node].append(leg.came)
        for node, ups in self.ups.items():
            for up in ups:
                if not up.cold_for:
                    continue
                ends = [down.t for down in self.downs[node] if down.t >= up.t]
                end = min([up.t + up.cold_for, *ends])
                came = sorted(
                    (each for each in by_node[node] if up.t <= each.t <= end), key=lambda each: each.t
                )
                finding.tested += bool(came)
                self._pushed(finding, up, came)
        for node, downs in self.downs.items():
            for down in downs:
                if down.overloaded:
                    finding.breach(down.t, f"node {node} fell over while it was cold")
        return finding

    def _pushed(self, finding: Finding, up: r.NodeStarted, legs: list[r.AttemptReceived]) -> None:
        window: deque[r.AttemptReceived] = deque()
        work = 0.0
        for leg in legs:
            window.append(leg)
            work += leg.work
            while window[0].t <= leg.t - self.figures.cold_fall:
                work -= window.popleft().work
            since = max(up.t, leg.t - self.figures.cold_fall)
            warm = [up.cold_from + (1 - up.cold_from) * (t - up.t) / up.cold_for for t in (since, leg.t)]
            able = up.capacity / SECOND * (warm[0] + warm[1]) / 2 * self.figures.cold_fall
            if work > self.figures.cold_multiple * able + max(each.work for each in window):
                share = work / able
                finding.breach(
                    leg.t, f"node {up.node} got {share:.1f} times what it could do while it was cold"
                )
                return

    # --- 5 ---

    def _order(self) -> Finding:
        finding = Finding(RULES[4])
        asked_at = {asked.trace: asked for asked in self.asked.values()}
        by_key: dict[tuple[str, int, str], list[_Leg]] = defaultdict(list)
        for leg in self.legs.values():
            rule = self.figures.products.get(leg.came.request_class)
            if rule is not None and rule.in_order and leg.came.key:
                life = leg.came.idempotency_key.rpartition("/")[0]
                by_key[leg.came.gateway, leg.came.key, life].append(leg)
        for (gateway, key, _), legs in by_key.items():
            legs.sort(key=lambda leg: (leg.came.t, leg.order))
            seen: dict[str, int] = {}
            for before, leg in pairwise(legs):
                if before.came.idempotency_key == leg.came.idempotency_key:
                    continue
                finding.tested += 1
                self._after(finding, gateway, key, before, leg)
            latest: dict[int, tuple[int, r.AttemptReceived]] = {}  # by connection of the client
            for leg in legs:
                asked = asked_at.get(leg.came.trace)
                if asked is None or seen.setdefault(leg.came.idempotency_key, leg.came.t) != leg.came.t:
                    continue
                last = latest.get(asked.conn)
                if last is not None and asked.id < last[0]:
                    finding.breach(
                        leg.came.t,
                        f"{gateway} sent {asked.trace} of key {key} after {last[1].trace}, taken later",
                    )
                else:
                    latest[asked.conn] = (asked.id, leg.came)
        return finding

    def _after(self, finding: Finding, gateway: str, key: int, before: _Leg, leg: _Leg) -> None:
        t, travel = leg.came.t, self.figures.travel
        names = f"{gateway} sent {leg.came.idempotency_key} of key {key}"
        ended = [each for each in (before.end, before.given_up) if each >= 0]
        if not ended:
            if not self._node_down(before, t):
                finding.breach(t, f"{names} while {before.came.idempotency_key} was out")
            return
        if min(ended) > t + travel:
            finding.breach(
                t, f"{names} {(min(ended) - t) / MS:.0f} ms before {before.came.idempotency_key} was over"
            )
        unsure = (before.given_up >= 0 and before.outcome in ("", "cancelled")) or before.outcome == "cut"
        if unsure and t < min(ended) + self.figures.settle - travel:
            finding.breach(
                t,
                f"{names} {(t - min(ended)) / MS:.0f} ms after {before.came.idempotency_key}, "
                "a leg of which may run on",
            )

    # --- 6 ---

    def _budget(self) -> Finding:
        finding = Finding(RULES[5])
        if self.figures.budget_share < 0:
            return finding
        taken: dict[str, list[int]] = defaultdict(list)
        for asked in self.asked.values():
            taken[asked.gateway].append(asked.t)
        further: dict[tuple[str, str], list[int]] = defaultdict(list)
        for leg in self.legs.values():
            if leg.came.number > 0:
                life = leg.came.idempotency_key.rpartition("/")[0]
                further[leg.came.gateway, life].append(leg.came.t)
        window, travel = self.figures.budget_window, self.figures.travel
        for (gateway, _), times in further.items():
            times.sort()
            jobs = sorted(taken[gateway])
            for i, t in enumerate(times):
                finding.tested += 1
                sent = i + 1 - bisect_left(times, t - window + travel)
                came = bisect_right(jobs, t) - bisect_left(jobs, t - window - travel)
                most = self.figures.budget_floor + self.figures.budget_share * came
                if sent > most:
                    finding.breach(
                        t, f"{gateway} had sent {sent} further legs in the window; {most:.1f} were allowed"
                    )
        return finding

    # --- 7 ---

    def _limits(self) -> Finding:
        finding = Finding(RULES[6])
        firsts: dict[str, list[r.AttemptReceived]] = defaultdict(list)
        for legs in self.jobs.values():
            held = [leg for leg in legs if leg.outcome != "moot"]
            if held and str(held[0].came.volume) in self.figures.limits:
                firsts[str(held[0].came.volume)].append(held[0].came)
        for volume, sent in firsts.items():
            rate, depth, slack = self.figures.limits[volume]
            store, at = depth, 0
            for came in sorted(sent, key=lambda came: came.t):
                finding.tested += 1
                if at:
                    store = min(depth, store + rate * (came.t - at) / SECOND)
                at = came.t
                store -= came.units
                if store < -slack - rate * self.figures.travel / SECOND:
                    finding.breach(
                        came.t,
                        f"volume {volume} is {-store:.1f} units past its limit; the slack is {slack:.1f}",
                    )
        return finding


def audit(figures: Figures, records: Iterable[r.Record]) -> Verdict:
    """Judges all records of a run."""
    judging = Audit(figures)
    judging.read(records)
    return judging.verdict()
