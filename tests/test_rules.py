"""The scheduler as a whole: rejections, retries, slow start, key order, limits and settings."""

import pytest
from conftest import NODES, START, VALUES

from ochrecourse.scheduler.scheduler import Scheduler
from ochrecourse.common.time_units import MS, SECOND
from ochrecourse.interface import (
    Outcome,
    Ending,
    Health,
    Request,
    Attempt,
    ListKind,
    MissingSettingError,
    NodeEntry,
    Reply,
)


def test_waiting_request_is_rejected_when_it_misses_its_latency_objective(harness):
    harness.scheduler.nodes[70].window = 1.0
    harness.submit()
    late = harness.submit(volume=2)
    harness.decide_all()
    decisions = harness.decide_all(START + 300 * MS)
    assert [(decision.request_id, decision.outcome) for decision in decisions] == [(late, Outcome.REJECTED)]
    assert SECOND / 2 <= decisions[0].retry_after <= SECOND


def test_events_for_a_finished_request_are_ignored(harness):
    request_id = harness.submit()
    attempt = harness.decide_all()[0]
    harness.end_attempt(attempt, START + 30 * MS)
    harness.end_attempt(attempt, START + 31 * MS)
    harness.scheduler.request_cancelled(request_id)
    assert harness.decide_all(START + 32 * MS) == []


@pytest.mark.parametrize(
    ("request_class", "outcome"), [(0, Outcome.REJECTED), (1, Outcome.FAILED), (2, Outcome.FAILED)]
)
def test_request_that_may_have_run_is_rejected_only_if_a_repeat_is_harmless(harness, request_class, outcome):
    request_id = harness.submit(request_class=request_class)
    harness.end_attempt(harness.decide_all()[0], START + 600 * MS, Ending.ERROR)
    assert [(decision.request_id, decision.outcome) for decision in harness.decide_all(START + 600 * MS)] == [
        (request_id, outcome)
    ]


def test_unsafe_request_is_retried_only_if_no_attempt_ran(harness):
    harness.scheduler.nodes[70].last_answer_at = START
    harness.submit(request_class=2)
    attempt = harness.decide_all()[0]
    harness.end_attempt(attempt, START + MS, Ending.FULL)
    retry = harness.decide_all(START + 200 * MS)[0]
    assert isinstance(retry, Attempt) and retry.number == 1
    harness.end_attempt(retry, START + 210 * MS, Ending.ERROR)
    assert harness.decide_all(START + 400 * MS) == [Reply(attempt.request_id, Outcome.FAILED, 0)]


def test_keyed_new_object_is_retried_at_the_shard_that_may_have_stored_it(harness):
    harness.submit(request_class=1, shard=-1)
    first = harness.decide_all()[0]
    harness.end_attempt(first, START + MS, Ending.RESET)
    for _ in range(4):
        harness.submit(START + 60 * MS, request_class=0, shard=-1)
    retry = [
        attempt for attempt in harness.decide_all(START + 60 * MS) if attempt.request_id == first.request_id
    ]
    assert [attempt.node for attempt in retry] == [first.node]


def test_draining_node_gets_no_new_requests_and_waiting_ones_are_answered(harness):
    harness.scheduler.nodes[70].window = 1.0
    harness.submit()
    waiting = harness.submit(volume=2)
    harness.decide_all()
    harness.scheduler.list_received(ListKind.DELTA, [NodeEntry(70, 0, 0, Health.DRAINING, 0)], START)
    assert [decision.request_id for decision in harness.decide_all()] == [waiting]


def test_cold_node_gets_no_more_than_its_guaranteed_share_until_it_answers(make_harness):
    harness = make_harness(Safety__OverloadFactor="4")
    node = harness.scheduler.nodes[70]
    node.slow_start_until, node.window = START + SECOND, 20.0
    for volume in range(8):
        harness.submit(volume=volume)
    assert len(harness.decide_all()) == 3
    node.slow_start_sends.append((START, -2.0))
    harness.scheduler.fair_queue.touched[70] = None
    assert len(harness.decide_all()) == 2


def test_node_that_returns_with_a_new_start_time_enters_slow_start(harness):
    harness.scheduler.list_received(
        ListKind.FULL, [NODES[0], NodeEntry(71, 0, 1, Health.READY, START - SECOND)], START
    )
    assert harness.scheduler.nodes[71].slow_start_until == START + 15 * SECOND
    assert harness.scheduler.nodes[71].window == 1.0


def test_requests_of_an_ordered_key_run_in_order_after_its_settle_time(harness):
    first = harness.submit(request_class=1, key=5)
    second = harness.submit(request_class=2, key=5)
    attempt = harness.decide_all()[0]
    assert attempt.request_id == first
    harness.end_attempt(attempt, START + 490 * MS, Ending.RESET)
    assert [decision.request_id for decision in harness.decide_all(START + 490 * MS)] == [first]
    assert harness.decide_all(START + 560 * MS) == []
    assert [decision.request_id for decision in harness.decide_all(START + 590 * MS)] == [second]


def test_retries_stay_within_the_budget(make_harness):
    harness = make_harness(Safety__ExtraFloor="0", Safety__ExtraRatio="0.5", Safety__CountedOver="10000")
    harness.submit()
    attempt = harness.decide_all()[0]
    harness.end_attempt(attempt, START + MS, Ending.ERROR)
    assert [type(decision) for decision in harness.decide_all(START + MS)] == [Reply]


def test_the_window_of_the_retry_budget_is_all_that_is_kept_without_any_retry(make_harness):
    """Guards against memory that grows with every request where settings limit retries and none is made."""
    harness = make_harness(Safety__ExtraFloor="0", Safety__ExtraRatio="0.5", Safety__CountedOver="10000")
    for number in range(500):
        now = START + number * 100 * MS
        harness.submit(now)
        for decision in harness.decide_all(now):
            if isinstance(decision, Attempt):
                harness.end_attempt(decision, now)
    assert len(harness.scheduler.retries._request_times) <= 100


def test_limit_bucket_starts_empty_and_fills_at_the_gateway_s_share(harness):
    harness.submit(tenant=1, units=1.0)
    assert harness.decide_all() == []
    assert [type(decision) for decision in harness.decide_all(START + 200 * MS)] == [Attempt]


def test_limit_bucket_fills_from_the_gateway_s_start_up_to_its_share(harness):
    """Guards against a delay of each volume's first request: since its start, only this incarnation draws."""
    late = START + SECOND
    for units in (4.0, 2.0):
        harness.submit(late, tenant=1, units=units)
    harness.scheduler.nodes[70].window = 8.0
    assert [type(decision) for decision in harness.decide_all(late)] == [
        Attempt
    ]  # the bucket has 5 units; its maximum is 40 / 2
    harness.submit(START + 100 * SECOND, tenant=1, volume=9)
    harness.decide_all(START + 100 * SECOND)
    assert harness.scheduler.volumes.by_id[9].limit_tokens == 18.0


def test_missing_setting_is_named(make_harness):
    with pytest.raises(MissingSettingError, match=r"Classes\.0\.Aim"):
        make_harness(Classes__0__Aim="")


def test_node_that_refuses_requests_gets_none_until_its_slowdown_decays(harness):
    harness.submit()
    harness.end_attempt(harness.decide_all()[0], START + MS, Ending.UNREACHABLE, took=MS)
    late = harness.submit(START + 2 * MS, volume=2)
    assert [(decision.request_id, type(decision)) for decision in harness.decide_all(START + 2 * MS)] == [
        (late, Reply)
    ]
    harness.submit(START + 20 * SECOND)
    assert Attempt in map(type, harness.decide_all(START + 20 * SECOND))


def test_overloaded_node_is_retried_later_the_more_gateways_there_are(harness):
    node = harness.scheduler.nodes[70]
    node.slowdown, node.decayed_at = 20.0, START
    harness.scheduler.latency.gateways = 200.0
    harness.submit(START + 4 * SECOND)
    assert isinstance(harness.decide_all(START + 4 * SECOND)[0], Reply)
    harness.submit(START + 60 * SECOND)
    assert isinstance(harness.decide_all(START + 60 * SECOND)[0], Attempt)


def test_cold_node_is_expected_to_be_slow(make_harness):
    harness = make_harness(Safety__StartCapacity="0.25")
    harness.scheduler.list_received(ListKind.DELTA, [NodeEntry(70, 0, 0, Health.READY, START)], START)
    assert harness.scheduler.nodes[70].slowdown == pytest.approx(4.0)


def test_unusual_values_in_requests_and_settings_are_accepted(make_harness):
    harness = make_harness(Instances="0", FamilyInfo__ColdUnits="0", Policies__0__Rate="0")
    unknown_shard = harness.submit(shard=9)
    assert [(decision.request_id, decision.outcome) for decision in harness.decide_all()] == [
        (unknown_shard, Outcome.REJECTED)
    ]
    harness.scheduler.request_received(Request(99, 0, 7, 3, 0, 0.0, 0, 0, START + SECOND), START)
    attempt = harness.decide_all()[0]
    assert attempt.request_id == 99
    harness.end_attempt(Attempt(5, 0, 70, 0), START)
    harness.end_attempt(Attempt(99, 0, 7, 0), START)
    assert harness.scheduler.nodes[70].outstanding == 1


def test_request_before_the_first_list_is_rejected():
    scheduler = Scheduler(VALUES, 7, START)
    scheduler.request_received(Request(1, 0, 0, 1, 0, 2.0, 0, 900, START + SECOND), START)
    assert scheduler.decide(START).outcome is Outcome.REJECTED
