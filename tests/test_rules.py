"""What the seven rules ask of the decisions."""

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


def test_held_job_is_denied_when_its_promised_time_is_lost(harness):
    harness.scheduler.nodes[70].window = 1.0
    harness.submit()
    late = harness.submit(volume=2)
    harness.decide_all()
    said = harness.decide_all(START + 300 * MS)
    assert [(one.request_id, one.outcome) for one in said] == [(late, Outcome.REJECTED)]
    assert SECOND / 2 <= said[0].retry_after <= SECOND


def test_events_for_a_job_that_is_over_are_harmless(harness):
    job = harness.submit()
    attempt = harness.decide_all()[0]
    harness.end_attempt(attempt, START + 30 * MS)
    harness.end_attempt(attempt, START + 31 * MS)
    harness.scheduler.request_cancelled(job)
    assert harness.decide_all(START + 32 * MS) == []


@pytest.mark.parametrize(
    ("product", "answer"), [(0, Outcome.REJECTED), (1, Outcome.FAILED), (2, Outcome.FAILED)]
)
def test_job_that_may_have_run_is_denied_only_where_a_repeat_is_harmless(harness, product, answer):
    job = harness.submit(request_class=product)
    harness.end_attempt(harness.decide_all()[0], START + 600 * MS, Ending.ERROR)
    assert [(said.request_id, said.outcome) for said in harness.decide_all(START + 600 * MS)] == [
        (job, answer)
    ]


def test_binding_job_has_a_further_leg_only_if_nothing_ran(harness):
    harness.scheduler.nodes[70].last_answer_at = START
    harness.submit(request_class=2)
    attempt = harness.decide_all()[0]
    harness.end_attempt(attempt, START + MS, Ending.FULL)
    again = harness.decide_all(START + 200 * MS)[0]
    assert isinstance(again, Attempt) and again.number == 1
    harness.end_attempt(again, START + 210 * MS, Ending.ERROR)
    assert harness.decide_all(START + 400 * MS) == [Reply(attempt.request_id, Outcome.FAILED, 0)]


def test_fingerprinted_new_object_stays_with_the_shard_that_may_have_it(harness):
    harness.submit(request_class=1, shard=-1)
    first = harness.decide_all()[0]
    harness.end_attempt(first, START + MS, Ending.RESET)
    for _ in range(4):
        harness.submit(START + 60 * MS, request_class=0, shard=-1)
    again = [
        attempt for attempt in harness.decide_all(START + 60 * MS) if attempt.request_id == first.request_id
    ]
    assert [attempt.node for attempt in again] == [first.node]


def test_nothing_new_goes_to_a_draining_node_and_what_waits_is_answered(harness):
    harness.scheduler.nodes[70].window = 1.0
    harness.submit()
    waits = harness.submit(volume=2)
    harness.decide_all()
    harness.scheduler.list_received(ListKind.DELTA, [NodeEntry(70, 0, 0, Health.DRAINING, 0)], START)
    assert [said.request_id for said in harness.decide_all()] == [waits]


def test_cold_node_gets_no_more_than_its_sure_part_until_it_answers(make_harness):
    harness = make_harness(Safety__OverloadFactor="4")
    node = harness.scheduler.nodes[70]
    node.slow_start_until, node.window = START + SECOND, 20.0
    for volume in range(8):
        harness.submit(volume=volume)
    assert len(harness.decide_all()) == 3
    node.slow_start_sends.append((START, -2.0))
    harness.scheduler.fair_queue.touched[70] = None
    assert len(harness.decide_all()) == 2


def test_return_with_a_new_start_makes_a_node_cold(harness):
    harness.scheduler.list_received(
        ListKind.FULL, [NODES[0], NodeEntry(71, 0, 1, Health.READY, START - SECOND)], START
    )
    assert harness.scheduler.nodes[71].slow_start_until == START + 15 * SECOND
    assert harness.scheduler.nodes[71].window == 1.0


def test_jobs_of_a_key_go_in_turn_and_wait_out_its_rest(harness):
    first = harness.submit(request_class=1, key=5)
    second = harness.submit(request_class=2, key=5)
    attempt = harness.decide_all()[0]
    assert attempt.request_id == first
    harness.end_attempt(attempt, START + 490 * MS, Ending.RESET)
    assert [said.request_id for said in harness.decide_all(START + 490 * MS)] == [first]
    assert harness.decide_all(START + 560 * MS) == []
    assert [said.request_id for said in harness.decide_all(START + 590 * MS)] == [second]


def test_further_legs_stay_within_the_budget(make_harness):
    harness = make_harness(Safety__ExtraFloor="0", Safety__ExtraRatio="0.5", Safety__CountedOver="10000")
    harness.submit()
    attempt = harness.decide_all()[0]
    harness.end_attempt(attempt, START + MS, Ending.ERROR)
    assert [type(said) for said in harness.decide_all(START + MS)] == [Reply]


def test_limited_volume_starts_empty_and_fills_at_its_part_of_the_rate(harness):
    harness.submit(tenant=1, units=1.0)
    assert harness.decide_all() == []
    assert [type(said) for said in harness.decide_all(START + 200 * MS)] == [Attempt]


def test_limited_volume_fills_from_the_gateway_s_start_and_never_over_its_part(harness):
    """Guards against a wait at each volume's first request: one life draws nothing before another begins."""
    late = START + SECOND
    for units in (4.0, 2.0):
        harness.submit(late, tenant=1, units=units)
    harness.scheduler.nodes[70].window = 8.0
    assert [type(said) for said in harness.decide_all(late)] == [
        Attempt
    ]  # 5 units have come, 40 / 2 is the most
    harness.submit(START + 100 * SECOND, tenant=1, volume=9)
    harness.decide_all(START + 100 * SECOND)
    assert harness.scheduler.volumes[9].limit_tokens == 18.0


def test_missing_setting_is_named(make_harness):
    with pytest.raises(MissingSettingError, match=r"Classes\.0\.Aim"):
        make_harness(Classes__0__Aim="")


def test_node_that_turns_jobs_away_gets_nothing_until_that_has_eased(harness):
    harness.submit()
    harness.end_attempt(harness.decide_all()[0], START + MS, Ending.UNREACHABLE, took=MS)
    late = harness.submit(START + 2 * MS, volume=2)
    assert [(said.request_id, type(said)) for said in harness.decide_all(START + 2 * MS)] == [(late, Reply)]
    harness.submit(START + 20 * SECOND)
    assert Attempt in map(type, harness.decide_all(START + 20 * SECOND))


def test_jammed_node_is_tried_later_the_more_gateways_share_it(harness):
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


def test_odd_figures_of_jobs_and_settings_are_borne(make_harness):
    harness = make_harness(Instances="0", FamilyInfo__ColdUnits="0", Policies__0__Rate="0")
    nowhere = harness.submit(shard=9)
    assert [(said.request_id, said.outcome) for said in harness.decide_all()] == [(nowhere, Outcome.REJECTED)]
    harness.scheduler.request_received(Request(99, 0, 7, 3, 0, 0.0, 0, 0, START + SECOND), START)
    attempt = harness.decide_all()[0]
    assert attempt.request_id == 99
    harness.end_attempt(Attempt(5, 0, 70, 0), START)
    harness.end_attempt(Attempt(99, 0, 7, 0), START)
    assert harness.scheduler.nodes[70].outstanding == 1


def test_job_before_any_list_is_denied():
    scheduler = Scheduler(VALUES, 7, START)
    scheduler.request_received(Request(1, 0, 0, 1, 0, 2.0, 0, 900, START + SECOND), START)
    assert scheduler.decide(START).outcome is Outcome.REJECTED
