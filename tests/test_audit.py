"""The audit finds the rule that a faulty gateway breaks, and reports nothing for a correct one."""

import msgspec
import pytest

from ochrecourse.audit import records as r
from ochrecourse.audit.judge import RULES, RequestClassRule, RuleParameters, audit
from ochrecourse.scheduler.scheduler import Scheduler
from ochrecourse.scheduler.settings import Idempotency
from ochrecourse.interface import Ending, Health, Attempt, ListKind, NodeEntry, Reply
from ochrecourse.lab.baselines import Textbook
from ochrecourse.lab.day import Day, Habits, RuleFigures, Trouble
from ochrecourse.lab.days import KINDS, PLANS, PRODUCTS, one_trouble, quiet
from ochrecourse.lab.figures import figures_of
from ochrecourse.lab.play import VirtualPlay

SECOND, MS = 1_000_000_000, 1_000_000


pytestmark = pytest.mark.long


def short_day(kind=None, **changes):
    """A short day, with one fault if `kind` names one."""
    troubles = [Trouble(kind=kind, at_s=0.5, len_s=3.0, part=0.6, size=1.0)] if kind else []
    day = Day(
        name="small", length_s=4.0, gateways=2, nodes=4, load=0.4, products=PRODUCTS, plans=PLANS, kinds=tuple(KINDS),
        habits=Habits(retries=0), troubles=troubles, rules=RuleFigures(budget_share=0.25, drain_grace_ms=1000),
    )  # fmt: skip
    return msgspec.structs.replace(day, **changes)


def broken_rules(day, decisions=Scheduler):
    result = audit(figures_of(day), VirtualPlay(day, decisions).run().records)
    return [number for number, each in enumerate(result.findings, 1) if each.breaches], result


class AnswerDroppingScheduler(Scheduler):
    """Drops the response to every fifth request."""

    def decide(self, now):
        decision = super().decide(now)
        while isinstance(decision, Reply) and decision.request_id % 5 == 0:
            decision = super().decide(now)
        return decision


class RepeatingScheduler(Scheduler):
    """Repeats, after a timeout, a request that must not be repeated."""

    def __init__(self, values, seed, now):
        super().__init__(values, seed, now)
        self.repeats = []

    def attempt_ended(self, attempt_end, now):
        pending = self.requests.get(attempt_end.request_id)
        unsafe = pending and pending.request_class.idempotency is Idempotency.NEVER
        if attempt_end.ending is Ending.TIMEOUT and unsafe and attempt_end.number == 0:
            self.repeats.append(Attempt(attempt_end.request_id, 1, attempt_end.node, 0))
        super().attempt_ended(attempt_end, now)

    def decide(self, now):
        return self.repeats.pop() if self.repeats else super().decide(now)


class DrainIgnoringScheduler(Scheduler):
    """Ignores that nodes drain."""

    def list_received(self, kind, entries, now):
        entries_as_ready = [
            NodeEntry(e.node, e.zone, e.shard, Health.READY, e.started)
            for e in entries
            if e.health is not Health.GONE
        ]
        super().list_received(ListKind.DELTA if kind is ListKind.DELTA else kind, entries_as_ready, now)


def textbook(values, seed, now):
    return Textbook(values, seed, now, "random")


def test_a_correct_gateway_breaks_no_rule_on_any_of_these_days():
    for day in (
        short_day(),
        short_day("hang"),
        short_day("preempt"),
        short_day("mass_restart"),
        short_day("fast_errors"),
    ):
        broken, result = broken_rules(day)
        assert not broken, result.lines()


@pytest.mark.parametrize(
    ("rule", "day", "decisions"),
    [
        (1, short_day("full"), AnswerDroppingScheduler),
        (2, short_day("hang"), RepeatingScheduler),
        (
            3,
            short_day("preempt", troubles=[Trouble(kind="preempt", at_s=0.5, len_s=3, part=0.6, size=3.0)]),
            DrainIgnoringScheduler,
        ),
        (4, short_day("mass_restart", load=1.5, rules=RuleFigures(multiple=1.2, fall_ms=500)), textbook),
        (5, short_day(runs=9.0), textbook),
        (6, short_day("fast_errors"), textbook),
        (
            7,
            short_day(
                load=1.2, plans=[msgspec.structs.replace(plan, limit=0.3) for plan in PLANS], most_units=2
            ),
            textbook,
        ),
    ],
)
def test_each_rule_is_broken_by_its_own_broken_gateway(rule, day, decisions):
    broken, result = broken_rules(day, decisions)
    assert rule in broken, result.lines()


# --- records made by hand ---

PARAMETERS = RuleParameters(
    request_classes={
        "read": RequestClassRule(),
        "mark": RequestClassRule(effect="keyed", group="cell", window=2 * SECOND, in_order=True),
        "bind": RequestClassRule(effect="unsafe", in_order=True),
    },
    drain_grace=SECOND, cold_multiple=2.0, cold_fall=SECOND, order_settle=200 * MS, budget_floor=1, budget_share=0.5,
    budget_window=SECOND, limits={"1": (10.0, 20.0, 2.0)}, travel=10 * MS,
)  # fmt: skip


def request(t, number, request_class="read", key=0, timeout=SECOND):
    return r.RequestSent(
        t=t, gateway="g0", conn=1, id=number, trace=str(number), request_class=request_class, tenant="p", volume=2, key=key, units=1.0,
        timeout=timeout,
    )  # fmt: skip


def response(t, number, how="fulfilled"):
    return r.ResponseReceived(t=t, gateway="g0", conn=1, id=number, trace=str(number), outcome=how)


def attempt(
    t,
    number,
    request_number,
    node=70,
    request_class="read",
    key=0,
    attempt_number=0,
    units=1.0,
    volume=2,
    work=0.0,
):
    return r.AttemptReceived(
        t=t, node=node, gateway="g0", conn=5, id=number, idempotency_key=f"g0/1/{request_number}", trace=str(request_number), number=attempt_number,
        request_class=request_class, volume=volume, key=key, units=units, work=work,
    )  # fmt: skip


def attempt_ended(t, number, how="done", node=70):
    return r.AttemptEnded(t=t, node=node, conn=5, id=number, outcome=how)


def node_started(node, shard=0):
    return r.NodeStarted(t=0, node=node, shard=shard, zone=0, capacity=SECOND)


END = r.FaultChanged(t=99 * SECOND, kind="end", description="")


@pytest.mark.parametrize(
    ("rule", "records", "evidence"),
    [
        (1, [request(0, 1), response(5, 1), response(6, 1, "denied")], "was answered ['fulfilled', 'denied']"),
        (1, [request(0, 1), response(SECOND + 5 * MS, 1)], "5.0 ms after its timeout"),
        (1, [request(0, 1)], "never answered"),
        (1, [request(0, 1), r.ConnectionLost(t=5, gateway="g0", conn=1)], "its gateway was not killed"),
        (1, [response(5, 8)], "which was never asked"),
        (1, [request(0, 1), r.CancelSent(t=5, gateway="g0", conn=1, id=1, trace="1"), response(50 * MS, 1)], "after its client had left"),
        (2, [attempt(0, 1, 1), attempt(50 * MS, 2, 1, attempt_number=1), attempt_ended(90 * MS, 1)], "while leg 0 was out"),
        (2, [attempt(0, 1, 1, request_class="bind"), attempt_ended(5, 1, "failed"), attempt(9, 2, 1, request_class="bind", attempt_number=1)], "binding job"),
        (2, [attempt(0, 1, 1, request_class="mark"), attempt_ended(5, 1, "failed"), attempt(3 * SECOND, 2, 1, request_class="mark", attempt_number=1)],
         "after the nodes had forgotten"),
        (2, [node_started(70), node_started(71, 1), attempt(0, 1, 1, request_class="mark"), attempt_ended(5, 1, "failed"),
             attempt(9, 2, 1, node=71, request_class="mark", attempt_number=1)], "outside the group"),
        (2, [request(0, 1, "bind"), attempt(1, 1, 1, request_class="bind"),
             r.EffectApplied(t=2, node=70, idempotency_key="g0/1/1", trace="1", request_class="bind", units=1.0), response(3, 1, "denied")],
         "denied though it ran"),
        (3, [r.NodeHealthSent(t=0, gateway="g0", node=70, health="draining", started=0), attempt(SECOND + 20 * MS, 1, 1)],
         "1020 ms after it heard"),
        (4, [r.NodeStarted(t=0, node=70, shard=0, zone=0, capacity=SECOND, cold_from=0.2, cold_for=9 * SECOND),
             *(attempt(i, i, i, work=0.3 * SECOND) for i in range(1, 6))], "times what it could do"),
        (4, [r.NodeStopped(t=5, node=70, overloaded=True)], "fell over"),
        (5, [attempt(0, 1, 1, request_class="bind", key=9), attempt(50 * MS, 2, 2, request_class="bind", key=9), attempt_ended(90 * MS, 1)], "was over"),
        (5, [attempt(0, 1, 1, request_class="bind", key=9), r.AttemptCancelled(t=5, node=70, conn=5, id=1),
             attempt(100 * MS, 2, 2, request_class="bind", key=9)], "may run on"),
        (5, [request(0, 1, "bind", 9), request(1, 2, "bind", 9), attempt(5, 1, 2, request_class="bind", key=9), attempt_ended(6, 1),
             attempt(7, 2, 1, request_class="bind", key=9)], "taken later"),
        (6, [request(0, 1), attempt(0, 1, 1), *(attempt(i, i, i, attempt_number=1) for i in range(2, 6))], "further legs in the window"),
        (7, [attempt(i * MS, i, i, units=8.0, volume=1) for i in range(1, 5)], "past its limit"),
    ],
)  # fmt: skip
def test_each_breach_is_reported_with_its_evidence(rule, records, evidence):
    result = audit(PARAMETERS, [*records, END])
    finding = result.findings[rule - 1]
    assert finding.rule == RULES[rule - 1] and any(evidence in text for text in finding.breaches), (
        finding.breaches
    )


@pytest.mark.parametrize(
    "records",
    [
        [request(0, 1), response(5, 1), request(9, 2, timeout=200 * SECOND)],  # the second request has not timed out yet
        [request(0, 1), r.ConnectionLost(t=5, gateway="g0", conn=1), r.GatewayKilled(t=4, gateway="g0")],
        [attempt(0, 1, 1, request_class="mark"), attempt_ended(5, 1, "failed"), attempt(9, 2, 1, request_class="mark", attempt_number=1)],
        [attempt(0, 1, 1, request_class="bind"), attempt_ended(5, 1, "full"), attempt(9, 2, 1, request_class="bind", attempt_number=1)],
        [r.NodeHealthSent(t=0, gateway="g0", node=70, health="draining", started=0), attempt(SECOND - 1, 1, 1)],
        [attempt(0, 1, 1, request_class="bind", key=9), r.AttemptCancelled(t=5, node=70, conn=5, id=1),
         attempt(300 * MS, 2, 2, request_class="bind", key=9)],
        [attempt(i * SECOND, i, i, units=8.0, volume=1) for i in range(1, 9)],
    ],
)  # fmt: skip
def test_records_that_keep_the_rules_give_no_breach(records):
    result = audit(PARAMETERS, [*records, END])
    assert result.passes(), result.lines()


def test_records_survive_a_file_and_a_truncated_last_line(tmp_path):
    path = tmp_path / "r.jsonl"
    record_file = r.RecordFile(path)
    for each in (request(0, 1), response(5, 1)):
        record_file(each)
    record_file.close()
    path.write_bytes(path.read_bytes() + b'{"r":"told","t":')
    assert list(r.read([path])) == [request(0, 1), response(5, 1)]
    path.write_bytes(b'{"r":"told"}\n' + path.read_bytes())
    with pytest.raises(r.InvalidRecordError, match="jsonl:1"):
        list(r.read([path]))


def test_the_same_day_gives_the_same_record_byte_for_byte():
    day = short_day("vanish")
    runs = [b"".join(map(r.encode, VirtualPlay(day).run().records)) for _ in range(2)]
    assert runs[0] == runs[1] and len(runs[0]) > 100_000
    other = b"".join(map(r.encode, VirtualPlay(msgspec.structs.replace(day, seed=2)).run().records))
    assert other != runs[0]


def test_quiet_days_have_no_faults_and_single_fault_days_have_one():
    assert quiet().troubles == [] and one_trouble("slow").troubles[0].kind == "slow"


# --- stalls of the clients' event loop ---


def loop_stall(t, duration, process="clients"):
    return r.EventLoopStalled(t=t, process=process, duration=duration)


@pytest.mark.parametrize(
    ("stalls", "answered", "excused"),
    [
        ([], 1005, False),
        ([loop_stall(1006 * MS, 30 * MS)], 1005, True),  # read within the stall: it arrived before
        ([loop_stall(1004 * MS, 30 * MS)], 1005, True),  # read as the stall ended
        ([loop_stall(1004 * MS, 3 * MS)], 1005, False),  # the stall began after the timeout
        ([loop_stall(980 * MS, 300 * MS)], 1005, False),  # the stall ended long before
        ([loop_stall(1300 * MS, 100 * MS)], 1005, False),  # the stall began later
        ([loop_stall(40 * MS, 45 * MS)], 1005, True),  # sent within a stall: the request left 40 ms later
        ([loop_stall(40 * MS, 45 * MS)], 1050, False),
        ([loop_stall(1006 * MS, 30 * MS, "nodes")], 1005, False),  # another process
    ],
)
def test_an_answer_after_its_timeout_is_excused_only_by_the_clients_own_recorded_lateness(
    stalls, answered, excused
):
    # Guards against blaming the gateway for stalls of the clients' process, and the reverse.
    result = audit(PARAMETERS, [request(0, 1), response(answered * MS, 1), *stalls])
    finding = result.findings[0]
    assert (len(finding.breaches), finding.excused) == ((0, 1) if excused else (1, 0))
