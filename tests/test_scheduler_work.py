"""The work of the scheduler for a request does not grow with the number of volumes that wait at its node.

Counted in executed lines, so that the machine's speed has no part in it.
"""

import sys

import pytest
from conftest import START, SchedulerHarness

from ochrecourse.common.time_units import MS, SECOND
from ochrecourse.interface import Attempt

FEW, MANY = 200, 1600  # volumes
LINEAR = 1.5  # times the work for each of the volumes, at most, where there are many


def executed_lines(work):
    """Returns how many lines of the scheduler `work` executes."""
    count = 0

    def traced(frame, event, argument):
        nonlocal count
        count += event == "line"
        return traced

    def entered(frame, event, argument):
        return traced if "ochrecourse" in frame.f_code.co_filename else None

    sys.settrace(entered)
    try:
        work()
    finally:
        sys.settrace(None)
    return count


def flood(volumes, tenant, answers):
    """Requests of many volumes for one shard, each of which is answered while the others come."""
    harness = SchedulerHarness()

    def work():
        for volume in range(1, volumes + 1):
            now = START + volume * MS // 100
            harness.submit(now, volume=volume, tenant=tenant, timeout=100 * SECOND)
            for decision in harness.decide_all(now):
                if answers and isinstance(decision, Attempt):
                    harness.end_attempt(decision, now)

    return executed_lines(work)


@pytest.mark.parametrize("tenant", [0, 1], ids=["free", "limited"])
@pytest.mark.parametrize("answers", [False, True])
def test_the_work_for_a_request_does_not_grow_with_the_volumes_at_its_node(tenant, answers):
    """Guards against a flood of many volumes that blocks the event loop for half a minute."""
    few, many = flood(FEW, tenant, answers) / FEW, flood(MANY, tenant, answers) / MANY
    assert many < LINEAR * few, f"{many:.0f} lines for each request of {MANY}, {few:.0f} of {FEW}"


def test_volumes_that_wait_for_their_limit_are_listed_again_without_a_new_volume():
    """Guards against requests forgotten because only some of the unlisted volumes are looked at."""
    harness = SchedulerHarness(Classes__0__Aim="60000")
    node = harness.scheduler.nodes[70]
    node.window = 32.0
    for volume in range(1, 101):
        harness.submit(volume=volume, tenant=1, units=2.0, timeout=100 * SECOND)
    harness.decide_all()
    assert len(node.limited_volumes) > 64
    sent, now = set(), START
    for _ in range(200):
        now += 50 * MS
        for decision in harness.decide_all(now):
            if isinstance(decision, Attempt):
                sent.add(decision.request_id)
                harness.end_attempt(decision, now)
    assert len(sent) == 100 and not node.limited_volumes


def test_a_volume_that_waits_for_its_limit_has_one_timer_however_often_it_is_looked_at():
    """Guards against memory that a flood of limited volumes fills with timers."""
    harness = SchedulerHarness(Classes__0__Aim="60000")
    for volume in range(1, FEW + 1):
        harness.submit(volume=volume, tenant=1, units=2.0, timeout=100 * SECOND)
        harness.decide_all()
    timers_for_each = 4  # two reviews of the request, one of its attempt, one of its limit
    assert len(harness.scheduler._timers._heap) <= timers_for_each * FEW
