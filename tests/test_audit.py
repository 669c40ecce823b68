"""The auditor catches a gateway that breaks a rule, each in its own way, and is silent on a right one."""

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


def small(kind=None, **changes):
    """A short day, with one trouble if one is named."""
    troubles = [Trouble(kind=kind, at_s=0.5, len_s=3.0, part=0.6, size=1.0)] if kind else []
    day = Day(
        name="small", length_s=4.0, gateways=2, nodes=4, load=0.4, products=PRODUCTS, plans=PLANS, kinds=tuple(KINDS),
        habits=Habits(retries=0), troubles=troubles, rules=RuleFigures(budget_share=0.25, drain_grace_ms=1000),
    )  # fmt: skip
    return msgspec.structs.replace(day, **changes)


def broken_rules(day, decisions=Scheduler):
    verdict = audit(figures_of(day), VirtualPlay(day, decisions).run().records)
    return [number for number, each in enumerate(verdict.findings, 1) if each.breaches], verdict


class Forgetful(Scheduler):
    """Forgets to answer one job in forty."""

    def decide(self, now):
        said = super().decide(now)
        while isinstance(said, Reply) and said.request_id % 5 == 0:
            said = super().decide(now)
        return said


class Repeating(Scheduler):
    """Sends a binding job again after a time-out."""

    def __init__(self, values, seed, now):
        super().__init__(values, seed, now)
        self.again = []

    def attempt_ended(self, end, now):
        pending = self.requests.get(end.request_id)
        unsafe = pending and pending.request_class.idempotency is Idempotency.NEVER
        if end.ending is Ending.TIMEOUT and unsafe and end.number == 0:
            self.again.append(Attempt(end.request_id, 1, end.node, 0))
        super().attempt_ended(end, now)

    def decide(self, now):
        return self.again.pop() if self.again else super().decide(now)


class Deaf(Scheduler):
    """Takes no notice of drains."""

    def list_received(self, kind, entries, now):
        kept = [
            NodeEntry(e.node, e.zone, e.shard, Health.READY, e.started)
            for e in entries
            if e.health is not Health.GONE
        ]
        super().list_received(ListKind.DELTA if kind is ListKind.DELTA else kind, kept, now)


def textbook(values, seed, now):
    return Textbook(values, seed, now, "random")


def test_a_right_gateway_gets_no_breach_on_any_of_these_days():
    for day in (small(), small("hang"), small("preempt"), small("mass_restart"), small("fast_errors")):
        broken, verdict = broken_rules(day)
        assert not broken, verdict.lines()


@pytest.mark.parametrize(
    ("rule", "day", "decisions"),
    [
        (1, small("full"), Forgetful),
        (2, small("hang"), Repeating),
        (
            3,
            small("preempt", troubles=[Trouble(kind="preempt", at_s=0.5, len_s=3, part=0.6, size=3.0)]),
            Deaf,
        ),
        (4, small("mass_restart", load=1.5, rules=RuleFigures(multiple=1.2, fall_ms=500)), textbook),
        (5, small(runs=9.0), textbook),
        (6, small("fast_errors"), textbook),
        (
            7,
            small(load=1.2, plans=[msgspec.structs.replace(plan, limit=0.3) for plan in PLANS], most_units=2),
            textbook,
        ),
    ],
)
def test_each_rule_is_broken_by_its_own_broken_gateway(rule, day, decisions):
    broken, verdict = broken_rules(day, decisions)
    assert rule in broken, verdict.lines()


# --- records worked by hand ---

PARAMETERS = RuleParameters(
    request_classes={
        "read": RequestClassRule(),
        "mark": RequestClassRule(effect="keyed", group="cell", window=2 * SECOND, in_order=True),
        "bind": RequestClassRule(effect="unsafe", in_order=True),
    },
    drain_grace=SECOND, cold_multiple=2.0, cold_fall=SECOND, order_settle=200 * MS, budget_floor=1, budget_share=0.5,
    budget_window=SECOND, limits={"1": (10.0, 20.0, 2.0)}, travel=10 * MS,
)  # fmt: skip


def asked(t, number, product="read", key=0, timeout=SECOND):
    return r.RequestSent(
        t=t, gateway="g0", conn=1, id=number, trace=str(number), request_class=product, tenant="p", volume=2, key=key, units=1.0,
        timeout=timeout,
    )  # fmt: skip


def told(t, number, how="fulfilled"):
    return r.ResponseReceived(t=t, gateway="g0", conn=1, id=number, trace=str(number), outcome=how)


def leg(t, number, job, node=70, product="read", key=0, leg_number=0, units=1.0, volume=2, work=0.0):
    return r.AttemptReceived(
        t=t, node=node, gateway="g0", conn=5, id=number, idempotency_key=f"g0/1/{job}", trace=str(job), number=leg_number,
        request_class=product, volume=volume, key=key, units=units, work=work,
    )  # fmt: skip


def over(t, number, how="done", node=70):
    return r.AttemptEnded(t=t, node=node, conn=5, id=number, outcome=how)


def up(node, shard=0):
    return r.NodeStarted(t=0, node=node, shard=shard, zone=0, capacity=SECOND)


END = r.FaultChanged(t=99 * SECOND, kind="end", description="")


@pytest.mark.parametrize(
    ("rule", "records", "evidence"),
    [
        (1, [asked(0, 1), told(5, 1), told(6, 1, "denied")], "was answered ['fulfilled', 'denied']"),
        (1, [asked(0, 1), told(SECOND + 5 * MS, 1)], "5.0 ms after its timeout"),
        (1, [asked(0, 1)], "never answered"),
        (1, [asked(0, 1), r.ConnectionLost(t=5, gateway="g0", conn=1)], "its gateway was not killed"),
        (1, [told(5, 8)], "which was never asked"),
        (1, [asked(0, 1), r.CancelSent(t=5, gateway="g0", conn=1, id=1, trace="1"), told(50 * MS, 1)], "after its client had left"),
        (2, [leg(0, 1, 1), leg(50 * MS, 2, 1, leg_number=1), over(90 * MS, 1)], "while leg 0 was out"),
        (2, [leg(0, 1, 1, product="bind"), over(5, 1, "failed"), leg(9, 2, 1, product="bind", leg_number=1)], "binding job"),
        (2, [leg(0, 1, 1, product="mark"), over(5, 1, "failed"), leg(3 * SECOND, 2, 1, product="mark", leg_number=1)],
         "after the nodes had forgotten"),
        (2, [up(70), up(71, 1), leg(0, 1, 1, product="mark"), over(5, 1, "failed"),
             leg(9, 2, 1, node=71, product="mark", leg_number=1)], "outside the group"),
        (2, [asked(0, 1, "bind"), leg(1, 1, 1, product="bind"),
             r.EffectApplied(t=2, node=70, idempotency_key="g0/1/1", trace="1", request_class="bind", units=1.0), told(3, 1, "denied")],
         "denied though it ran"),
        (3, [r.NodeHealthSent(t=0, gateway="g0", node=70, health="draining", started=0), leg(SECOND + 20 * MS, 1, 1)],
         "1020 ms after it heard"),
        (4, [r.NodeStarted(t=0, node=70, shard=0, zone=0, capacity=SECOND, cold_from=0.2, cold_for=9 * SECOND),
             *(leg(i, i, i, work=0.3 * SECOND) for i in range(1, 6))], "times what it could do"),
        (4, [r.NodeStopped(t=5, node=70, overloaded=True)], "fell over"),
        (5, [leg(0, 1, 1, product="bind", key=9), leg(50 * MS, 2, 2, product="bind", key=9), over(90 * MS, 1)], "was over"),
        (5, [leg(0, 1, 1, product="bind", key=9), r.AttemptCancelled(t=5, node=70, conn=5, id=1),
             leg(100 * MS, 2, 2, product="bind", key=9)], "may run on"),
        (5, [asked(0, 1, "bind", 9), asked(1, 2, "bind", 9), leg(5, 1, 2, product="bind", key=9), over(6, 1),
             leg(7, 2, 1, product="bind", key=9)], "taken later"),
        (6, [asked(0, 1), leg(0, 1, 1), *(leg(i, i, i, leg_number=1) for i in range(2, 6))], "further legs in the window"),
        (7, [leg(i * MS, i, i, units=8.0, volume=1) for i in range(1, 5)], "past its limit"),
    ],
)  # fmt: skip
def test_each_breach_is_told_with_its_evidence(rule, records, evidence):
    verdict = audit(PARAMETERS, [*records, END])
    finding = verdict.findings[rule - 1]
    assert finding.rule == RULES[rule - 1] and any(evidence in text for text in finding.breaches), (
        finding.breaches
    )


@pytest.mark.parametrize(
    "records",
    [
        [asked(0, 1), told(5, 1), asked(9, 2, timeout=200 * SECOND)],  # the second is not due yet
        [asked(0, 1), r.ConnectionLost(t=5, gateway="g0", conn=1), r.GatewayKilled(t=4, gateway="g0")],
        [leg(0, 1, 1, product="mark"), over(5, 1, "failed"), leg(9, 2, 1, product="mark", leg_number=1)],
        [leg(0, 1, 1, product="bind"), over(5, 1, "full"), leg(9, 2, 1, product="bind", leg_number=1)],
        [r.NodeHealthSent(t=0, gateway="g0", node=70, health="draining", started=0), leg(SECOND - 1, 1, 1)],
        [leg(0, 1, 1, product="bind", key=9), r.AttemptCancelled(t=5, node=70, conn=5, id=1),
         leg(300 * MS, 2, 2, product="bind", key=9)],
        [leg(i * SECOND, i, i, units=8.0, volume=1) for i in range(1, 9)],
    ],
)  # fmt: skip
def test_what_keeps_the_rules_is_not_told(records):
    verdict = audit(PARAMETERS, [*records, END])
    assert verdict.passes(), verdict.lines()


def test_records_survive_a_file_and_a_cut_last_line(tmp_path):
    path = tmp_path / "r.jsonl"
    to_file = r.RecordFile(path)
    for each in (asked(0, 1), told(5, 1)):
        to_file(each)
    to_file.close()
    path.write_bytes(path.read_bytes() + b'{"r":"told","t":')
    assert list(r.read([path])) == [asked(0, 1), told(5, 1)]
    path.write_bytes(b'{"r":"told"}\n' + path.read_bytes())
    with pytest.raises(r.InvalidRecordError, match="jsonl:1"):
        list(r.read([path]))


def test_the_same_day_gives_the_same_record_byte_for_byte():
    day = small("vanish")
    runs = [b"".join(map(r.encode, VirtualPlay(day).run().records)) for _ in range(2)]
    assert runs[0] == runs[1] and len(runs[0]) > 100_000
    other = b"".join(map(r.encode, VirtualPlay(msgspec.structs.replace(day, seed=2)).run().records))
    assert other != runs[0]


def test_quiet_days_are_quiet_and_troubles_show():
    assert quiet().troubles == [] and one_trouble("slow").troubles[0].kind == "slow"


# --- the clients' own lateness ---


def loop_late(t, late, process="clients"):
    return r.EventLoopStalled(t=t, process=process, duration=late)


@pytest.mark.parametrize(
    ("stalls", "answered", "excused"),
    [
        ([], 1005, False),
        ([loop_late(1006 * MS, 30 * MS)], 1005, True),  # read within the stall: it had arrived before
        ([loop_late(1004 * MS, 30 * MS)], 1005, True),  # read as the loop turned again
        ([loop_late(1004 * MS, 3 * MS)], 1005, False),  # the stall began after the timeout
        ([loop_late(980 * MS, 300 * MS)], 1005, False),  # it was over long before
        ([loop_late(1300 * MS, 100 * MS)], 1005, False),  # it came later
        ([loop_late(40 * MS, 45 * MS)], 1005, True),  # sent within a stall: it left 40 ms later
        ([loop_late(40 * MS, 45 * MS)], 1050, False),
        ([loop_late(1006 * MS, 30 * MS, "nodes")], 1005, False),  # another process
    ],
)
def test_an_answer_after_its_timeout_is_excused_only_by_the_clients_own_recorded_lateness(
    stalls, answered, excused
):
    # Guards against lateness of the clients' process that is taken for the gateway's, and the reverse.
    verdict = audit(PARAMETERS, [asked(0, 1), told(answered * MS, 1), *stalls])
    finding = verdict.findings[0]
    assert (len(finding.breaches), finding.excused) == ((0, 1) if excused else (1, 0))
