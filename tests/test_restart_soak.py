"""A short seeded soak of restarts, and its judge against mistakes made on purpose (`make soak` is the long one)."""

import copy
import signal
from collections import Counter

import pytest
from restart_soak import Evidence, Judge, Life, draw, soak

MS = 1_000_000
SECOND = 1000 * MS


@pytest.mark.real_time
@pytest.mark.parametrize("seed", [1, 3])
def test_a_soak_of_restarts_keeps_the_rules(seed):
    report = soak(seed)
    print(dict(report.counts))
    assert not report.breaches, (report.breaches, report.folder)
    assert report.counts["answered value"] > 50 and report.counts["SIGTERM"]


def test_a_seed_draws_one_run_and_runs_use_all_that_strikes():
    assert draw(5) == draw(5)
    plans = [draw(seed) for seed in range(1, 51)]
    assert {step.action for plan in plans for step in plan.steps} == {"hups", "term", "kill", "early_term"}
    assert {kind for plan in plans for kind in plan.kinds} == {"one", "pipeline", "rest", "slow", "leave"}
    assert {plan.gateways for plan in plans} == {1, 2, 3, 4}
    assert sum(plan.crowd > 0 for plan in plans) == len(plans) // 3


# --- evidence worked by hand: one gateway told to end at 10 s and killed at 11.6 s, one request a connection ---

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


def right():
    """A run in which all is as it should be."""
    lives = [
        Life(SECOND, term=TERM, killed=KILLED, ended=KILLED, code=-signal.SIGKILL, ready_s=0.5),
        Life(KILLED, code=None, ready_s=0.5, lines=["1.0 n0 serves at 127.0.0.1:1; 256 descriptors"]),
    ]
    events = [
        sent(1, 9 * SECOND), answer(1, 9100 * MS), closed(1, 12 * SECOND, "client"),
        sent(2, 10_900 * MS, "unsafe"), closed(2, KILLED + MS),  # late after SIGTERM: the kill found it
        sent(3, 9 * SECOND), closed(3, 9020 * MS, "client"),  # it left
        sent(4, 10_500 * MS), closed(4, 10_510 * MS),  # it crossed the close, unread
    ]  # fmt: skip
    return Evidence(events, [(9010 * MS, 1), (9015 * MS, 3)], Counter({1: 1}), [lives])


def judged(change):
    evidence = copy.deepcopy(right())
    change(evidence)
    return Judge(evidence).verdict()[0]


def lost_answer(evidence):
    del evidence.events[1]
    evidence.events[1] = closed(1, 12 * SECOND)


def lost_with_the_kill_though_early(evidence):
    evidence.events[3]["t"] = TERM + 100 * MS


def two_answers(evidence):
    evidence.events.append(answer(1, 9200 * MS))


def late_answer(evidence):
    evidence.events[1]["t"] = 9 * SECOND + 1450 * MS


def second_effect(evidence):
    evidence.ran[2] = 2


def attempt_after_a_close(evidence):
    evidence.came.append((9200 * MS, 3))


def forwarded_and_closed(evidence):
    evidence.came.append((10_505 * MS, 4))


def unread_for_long(evidence):
    evidence.events[-1]["t"] = 10_600 * MS


def lock_that_stays(evidence):
    evidence.lives[0][1].code = 2


def unknown_line(evidence):
    evidence.lives[0][1].lines.append("1.0 something nobody knows")


def traceback(evidence):
    evidence.lives[0][1].lines.append("1.0 unexpected: Traceback (most recent call last)")


def slow_start(evidence):
    evidence.lives[0][1].ready_s = 11.0


def stray_bytes(evidence):
    evidence.events.append({"event": "stray", "t": 0, "connection": 1})


def descriptors_that_stay(evidence):
    evidence.grown.append("n0 has 100 descriptors more")


MISTAKES = [
    lost_answer, lost_with_the_kill_though_early, two_answers, late_answer, second_effect, attempt_after_a_close,
    forwarded_and_closed, unread_for_long, lock_that_stays, unknown_line, traceback, slow_start, stray_bytes,
    descriptors_that_stay,
]  # fmt: skip


def test_a_right_run_has_no_breach():
    assert judged(lambda evidence: None) == []


@pytest.mark.parametrize("mistake", MISTAKES, ids=lambda mistake: mistake.__name__)
def test_each_mistake_made_on_purpose_is_found(mistake):
    assert judged(mistake)


@pytest.mark.parametrize("late_ms, excused", [(10, False), (600, True)])
def test_a_late_answer_is_excused_only_by_the_clients_own_record(late_ms, excused):
    def change(evidence):
        late_answer(evidence)
        read_at = evidence.events[1]["t"]
        evidence.events.append({"event": "loop_late", "t": read_at + MS, "late": late_ms * MS})

    assert (judged(change) == []) is excused
