"""A short soak test of restarts, and its checker against seeded mistakes (`make soak` is the long one)."""

import copy
import signal
from collections import Counter

import pytest
from restart_soak import Evidence, EvidenceChecker, Incarnation, draw, soak

MS = 1_000_000
SECOND = 1000 * MS


@pytest.mark.real_time
@pytest.mark.parametrize(("seed", "longest_deadline_ms"), [(1, 900), (3, 900), (7, 6000)])
def test_a_soak_of_restarts_has_no_breach(seed, longest_deadline_ms):
    """With 6 s, clients stream requests in pieces, some behind one that a node holds through a shutdown."""
    report = soak(seed, longest_deadline_ms)
    print(dict(report.counts))
    assert not report.breaches, (report.breaches, report.folder)
    assert report.counts["answered value"] > 50 and report.counts["SIGTERM"]


def test_a_seed_determines_its_plan_and_plans_use_all_actions():
    assert draw(5) == draw(5)
    plans = [draw(seed) for seed in range(1, 51)]
    assert {step.action for plan in plans for step in plan.steps} == {"hups", "term", "kill", "early_term"}
    assert {kind for plan in plans for kind in plan.kinds} == {"one", "pipeline", "rest", "slow", "leave"}
    assert {plan.gateways for plan in plans} == {1, 2, 3, 4}
    assert sum(plan.crowd > 0 for plan in plans) == len(plans) // 3


# --- evidence made by hand: one gateway gets SIGTERM at 10 s and SIGKILL at 11.6 s, one request per connection ---

TERM, KILLED = 10 * SECOND, 11_600 * MS


def sent(number, t, effect="safe", timeout_ms=900):
    return {
        "event": "sent", "t": t, "id": number, "connection": number, "gateway": 0, "effect": effect,
        "timeout_ms": timeout_ms,
    }  # fmt: skip


def answer(number, t, how="value"):
    return {"event": "answer", "t": t, "id": number, "how": how}


def closed(number, t, by="gateway"):
    return {"event": "closed", "t": t, "connection": number, "gateway": 0, "by": by}


def correct_evidence():
    """The evidence of a run without breaches."""
    incarnations = [
        Incarnation(SECOND, term=TERM, killed=KILLED, ended=KILLED, code=-signal.SIGKILL, ready_s=0.5),
        Incarnation(KILLED, code=None, ready_s=0.5, lines=["1.0 n0 serves at 127.0.0.1:1; 256 descriptors"]),
    ]
    events = [
        sent(1, 9 * SECOND), answer(1, 9100 * MS), closed(1, 12 * SECOND, "client"),
        sent(2, KILLED - 20 * MS, "unsafe"), closed(2, KILLED + MS),  # crossed the kill
        sent(3, 9 * SECOND), closed(3, 9020 * MS, "client"),  # its client closed the connection
        sent(4, 10_500 * MS), closed(4, 10_510 * MS),  # crossed the gateway's close, unread
    ]  # fmt: skip
    return Evidence(events, [(9010 * MS, 1), (9015 * MS, 3)], Counter({1: 1}), [incarnations])


def breaches_after(change):
    evidence = copy.deepcopy(correct_evidence())
    change(evidence)
    return EvidenceChecker(evidence).check()[0]


def lost_answer(evidence):
    del evidence.events[1]
    evidence.events[1] = closed(1, 12 * SECOND)


def lost_with_the_kill_although_early(evidence):
    evidence.events[3]["t"] = TERM + 100 * MS


def lost_with_the_kill_although_after_sigterm(evidence):
    evidence.events[3]["t"] = TERM + 900 * MS


def two_answers(evidence):
    evidence.events.append(answer(1, 9200 * MS))


def late_answer(evidence):
    evidence.events[1]["t"] = 9 * SECOND + 1450 * MS


def second_effect(evidence):
    evidence.executions[2] = 2


def attempt_after_a_close(evidence):
    evidence.arrivals.append((9200 * MS, 3))


def forwarded_and_closed(evidence):
    evidence.arrivals.append((10_505 * MS, 4))


def unread_for_long(evidence):
    evidence.events[-1]["t"] = 10_600 * MS


def start_refused_by_lock(evidence):
    evidence.incarnations[0][1].code = 2


def unknown_line(evidence):
    evidence.incarnations[0][1].lines.append("1.0 something nobody knows")


def traceback(evidence):
    evidence.incarnations[0][1].lines.append("1.0 unexpected: Traceback (most recent call last)")


def slow_start(evidence):
    evidence.incarnations[0][1].ready_s = 11.0


def stray_bytes(evidence):
    evidence.events.append({"event": "stray", "t": 0, "connection": 1})


def leaked_descriptors(evidence):
    evidence.leaks.append("n0 has 100 descriptors more")


MISTAKES = [
    lost_answer, lost_with_the_kill_although_early, lost_with_the_kill_although_after_sigterm, two_answers, late_answer, second_effect, attempt_after_a_close,
    forwarded_and_closed, unread_for_long, start_refused_by_lock, unknown_line, traceback, slow_start, stray_bytes,
    leaked_descriptors,
]  # fmt: skip


def test_correct_evidence_has_no_breach():
    assert breaches_after(lambda evidence: None) == []


@pytest.mark.parametrize("mistake", MISTAKES, ids=lambda mistake: mistake.__name__)
def test_each_seeded_mistake_is_found(mistake):
    assert breaches_after(mistake)


@pytest.mark.parametrize("late_ms, excused", [(10, False), (600, True)])
def test_a_late_answer_is_excused_only_by_the_clients_measured_lateness(late_ms, excused):
    def change(evidence):
        late_answer(evidence)
        read_at = evidence.events[1]["t"]
        evidence.events.append({"event": "loop_late", "t": read_at + MS, "late": late_ms * MS})

    assert (breaches_after(change) == []) is excused
