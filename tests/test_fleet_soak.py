"""A short seeded soak of a fleet's gateways beside slow disks, and its judge against mistakes made on purpose (`make soak`
is the long one)."""

import copy
import json
import signal
from base64 import b64encode

import pytest
from fleet_soak import ACTIONS, Evidence, Judge, Life, draw, soak


@pytest.mark.real_time
@pytest.mark.parametrize("seed", [1])
def test_a_soak_of_a_fleet_keeps_the_rules(seed):
    report = soak(seed)
    print(dict(report.counts))
    assert not report.breaches, (report.breaches, report.folder)
    assert report.counts["append done"] > 10 and report.counts["reports"]


def test_a_seed_draws_one_run_and_runs_use_all_that_strikes():
    assert draw(5) == draw(5)
    plans = [draw(seed) for seed in range(1, 51)]
    assert {step.action for plan in plans for step in plan.steps} == set(ACTIONS)
    assert {plan.gateways for plan in plans} == {1, 2, 3, 4, 5, 6, 8}
    assert max(max(plan.syncs_s) for plan in plans) > 1


def dump(*values):
    entries = [
        ["soak", "g0", 1, i, [1, 0], [], b64encode(json.dumps(v).encode()).decode()]
        for i, v in enumerate(values)
    ]
    return json.dumps([None, entries])


def right():
    """A run of two gateways in which all is as it should be."""
    ended, killed = Life(None, 0.0, 2.0, "term", 0), Life(None, 5.0, 7.0, "kill", -signal.SIGKILL)
    return Evidence(
        answers={"v1": {"done": True}, "v2": {"error": "left"}, "v3": None},
        waits=[(0.01, 3.0, "g0"), (0.7, 9.0, "g1")],
        stalls=[(8.4, 8.9)],
        dumps=[dump("v1", "v3"), dump("v1", "v3")],
        reached=[2, 2],
        lives=[[killed, copy.copy(ended)], [ended]],
        logs=[[], ['{"event": "left"}']],
    )


def change_of(path, value):
    return lambda evidence: setattr(evidence, path, value)


MISTAKES = {
    "an answer that is lost": change_of("dumps", [dump("v3"), dump("v3")]),
    "an entry twice": change_of("dumps", [dump("v1", "v1"), dump("v1", "v1")]),
    "what was refused is there": change_of("dumps", [dump("v1", "v2"), dump("v1", "v2")]),
    "logs that differ": change_of("dumps", [dump("v1"), dump("v1", "v3")]),
    "another order": change_of("dumps", [dump("v3", "v1"), dump("v1", "v3")]),
    "a member that is not reached": change_of("reached", [2, 1]),
    "a wait on the disk": change_of("waits", [(1.3, 9.0, "g1")]),
    "a process that ends by itself": lambda evidence: setattr(evidence.lives[1][0], "asked", ""),
    "an end with another code": lambda evidence: setattr(evidence.lives[1][0], "code", 2),
    "a slow start": lambda evidence: setattr(evidence.lives[1][0], "ready", 12.0),
    "a traceback": change_of("logs", [["Traceback (most recent call last)"], []]),
}


def judged(change):
    evidence = right()
    change(evidence)
    return Judge(evidence).verdict()[0]


def test_a_right_run_has_no_breach():
    assert judged(lambda evidence: None) == []


@pytest.mark.parametrize("mistake", MISTAKES.values(), ids=MISTAKES)
def test_each_mistake_made_on_purpose_is_found(mistake):
    assert judged(mistake)


def test_a_wait_is_excused_only_by_the_asking_process_s_own_record():
    assert judged(change_of("stalls", []))
