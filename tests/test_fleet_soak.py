"""A short seeded soak test of a fleet on slow disks, and tests of its checker against seeded faults. `make soak` runs the long
soak test."""

import copy
import json
import signal
from base64 import b64encode

import pytest
from fleet_soak import ACTIONS, Evidence, RunChecker, ProcessRecord, draw_plan, soak


@pytest.mark.real_time
@pytest.mark.parametrize("seed", [1])
def test_soak_run_of_a_fleet_has_no_violations(seed):
    report = soak(seed)
    print(dict(report.counts))
    assert not report.breaches, (report.breaches, report.folder)
    assert report.counts["append done"] > 10 and report.counts["reports"]


def test_a_seed_determines_the_plan_and_plans_cover_all_actions():
    assert draw_plan(5) == draw_plan(5)
    plans = [draw_plan(seed) for seed in range(1, 51)]
    assert {step.action for plan in plans for step in plan.steps} == set(ACTIONS)
    assert {plan.gateways for plan in plans} == {1, 2, 3, 4, 5, 6, 8}
    assert max(max(plan.syncs_s) for plan in plans) > 1


def dump(*values):
    entries = [
        ["soak", "g0", 1, i, [1, 0], [], b64encode(json.dumps(v).encode()).decode()]
        for i, v in enumerate(values)
    ]
    return json.dumps([None, entries])


def valid_run():
    """Returns the evidence of a run of two gateways without violations."""
    ended, killed = (
        ProcessRecord(None, 0.0, 2.0, "term", 0),
        ProcessRecord(None, 5.0, 7.0, "kill", -signal.SIGKILL),
    )
    return Evidence(
        answers={"v1": {"done": True}, "v2": {"error": "left"}, "v3": None},
        response_times=[(0.01, 3.0, "g0"), (0.7, 9.0, "g1")],
        stalls=[(8.4, 8.9)],
        dumps=[dump("v1", "v3"), dump("v1", "v3")],
        reachable_counts=[2, 2],
        processes=[[killed, copy.copy(ended)], [ended]],
        logs=[[], ['{"event": "left"}']],
    )


def set_field(field, value):
    return lambda evidence: setattr(evidence, field, value)


FAULTS = {
    "an answer that is lost": set_field("dumps", [dump("v3"), dump("v3")]),
    "an entry twice": set_field("dumps", [dump("v1", "v1"), dump("v1", "v1")]),
    "what was refused is there": set_field("dumps", [dump("v1", "v2"), dump("v1", "v2")]),
    "logs that differ": set_field("dumps", [dump("v1"), dump("v1", "v3")]),
    "another order": set_field("dumps", [dump("v3", "v1"), dump("v1", "v3")]),
    "a member that is not reached": set_field("reachable_counts", [2, 1]),
    "a wait on the disk": set_field("response_times", [(1.3, 9.0, "g1")]),
    "a process that ends by itself": lambda evidence: setattr(evidence.processes[1][0], "stop_reason", ""),
    "an end with another code": lambda evidence: setattr(evidence.processes[1][0], "exit_code", 2),
    "a slow start": lambda evidence: setattr(evidence.processes[1][0], "ready_at", 12.0),
    "a traceback": set_field("logs", [["Traceback (most recent call last)"], []]),
}


def violations_after(change):
    evidence = valid_run()
    change(evidence)
    return RunChecker(evidence).check()[0]


def test_a_valid_run_has_no_violation():
    assert violations_after(lambda evidence: None) == []


@pytest.mark.parametrize("fault", FAULTS.values(), ids=FAULTS)
def test_each_seeded_fault_is_found(fault):
    assert violations_after(fault)


def test_a_slow_response_is_excused_only_by_a_recorded_stall_of_the_requesting_process():
    assert violations_after(set_field("stalls", []))
