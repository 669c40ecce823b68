"""The bounds, the tags and the exceptions to them."""

from conftest import START, VALUES

from ochrecourse.scheduler.concurrency import (
    LOADED_NODE_UNITS,
    MAX_REQUESTS_PER_NODE,
    TRIMMED_REQUESTS_PER_NODE,
    request_limit,
)
from ochrecourse.scheduler.scheduler import Scheduler
from ochrecourse.scheduler.settings import Quota
from ochrecourse.common.time_units import MS, SECOND
from ochrecourse.interface import Outcome, Ending, Health, Attempt, ListKind, NodeEntry, Reply


def test_new_volume_resets_every_bound_to_the_even_split(harness):
    harness.submit(volume=1)
    harness.decide_all()
    harness.scheduler.nodes[70].flows[1].bound = 1.0
    harness.submit(volume=2)
    harness.decide_all()
    assert [flow.bound for flow in harness.scheduler.nodes[70].flows.values()] == [
        MAX_REQUESTS_PER_NODE / 2,
        MAX_REQUESTS_PER_NODE / 2,
    ]


def test_above_average_volume_is_halved_at_a_loaded_node(harness):
    node = harness.scheduler.nodes[70]
    node.window = 32.0
    harness.submit(volume=1, units=2.0)
    harness.submit(volume=2, units=LOADED_NODE_UNITS)
    harness.decide_all()
    assert (node.flows[1].bound, node.flows[2].bound) == (
        MAX_REQUESTS_PER_NODE / 2,
        MAX_REQUESTS_PER_NODE / 4,
    )


def test_squeezed_bound_regrows_on_an_answer(harness):
    harness.submit()
    attempt = harness.decide_all()[0]
    harness.scheduler.nodes[70].flows[1].bound = 3.0
    harness.end_attempt(attempt, START + 30 * MS)
    assert harness.scheduler.nodes[70].flows[1].bound == 4.0


def test_positive_runs_score_trades_bound_for_runs(harness):
    harness.submit(key=9)
    harness.decide_all()
    flow = harness.scheduler.nodes[70].flows[1]
    flow.runs_score, flow.runs_score_at = 3.0, START
    harness.submit(key=9)
    harness.decide_all()
    assert flow.bound == MAX_REQUESTS_PER_NODE - 1


def test_total_is_trimmed_while_a_recent_volume_is_empty(harness):
    node = harness.scheduler.nodes[70]
    node.window = 32.0
    harness.submit()
    harness.decide_all()
    assert request_limit(node) == MAX_REQUESTS_PER_NODE
    harness.submit()
    harness.decide_all()
    assert request_limit(node) == TRIMMED_REQUESTS_PER_NODE


def test_held_jobs_leave_by_plan_weighted_tags(harness):
    node = harness.scheduler.nodes[70]
    node.window = 1.0
    harness.submit(tenant=0, volume=9)
    busy = harness.decide_all()[0]
    requests = {harness.submit(tenant=plan, volume=plan): plan for plan in (1, 2) for _ in range(4)}
    harness.scheduler.volumes[1].limit_rate = 0.0
    order = []
    for step in range(1, 7):
        harness.end_attempt(busy, START + step * MS, took=MS)
        node.window = 1.0
        busy = harness.decide_all(START + step * MS)[0]
        order.append(requests[busy.request_id])
    assert order == [1, 2, 2, 1, 2, 2]


def test_job_inside_the_reserve_does_not_wait_for_its_volume_s_tags(harness):
    harness.scheduler.nodes[70].window = 1.0
    harness.submit(tenant=2, volume=3)
    busy = harness.decide_all()[0]
    harness.submit(tenant=2, volume=4)
    reserved = harness.submit(tenant=0, volume=5)
    harness.decide_all()
    harness.end_attempt(busy, START + 10 * MS)
    assert harness.decide_all(START + 10 * MS)[0].request_id == reserved


def test_late_answers_shrink_the_window_once_for_legs_out_together(harness):
    harness.submit(volume=1)
    harness.submit(volume=2)
    first, second = harness.decide_all()
    harness.end_attempt(first, START + 200 * MS, took=200 * MS)
    window = harness.scheduler.nodes[70].window
    harness.end_attempt(second, START + 201 * MS, took=201 * MS)
    assert window < 2.0 and harness.scheduler.nodes[70].window == window


def test_unanswered_leg_stops_counting(harness):
    harness.submit(request_class=2)
    attempt = harness.decide_all()[0]
    assert attempt.time_out == 0
    harness.decide_all(START + 700 * MS)
    assert harness.scheduler.nodes[70].outstanding == 0 and harness.scheduler.nodes[70].window < 2.0
    harness.end_attempt(attempt, START + 800 * MS)
    assert harness.scheduler.nodes[70].outstanding == 0


def test_fast_failure_waits_before_its_further_leg(harness):
    harness.submit()
    harness.end_attempt(harness.decide_all()[0], START + MS, Ending.ERROR, took=MS)
    assert harness.decide_all(START + 2 * MS) == []
    assert [type(said) for said in harness.decide_all(START + 31 * MS)] == [Attempt]


def test_job_under_the_payoff_floor_is_denied_at_a_busy_node(harness):
    harness.submit()
    harness.decide_all()
    harness.scheduler.nodes[70].priority_floor = 1.0
    cheap = harness.submit(tenant=2, volume=2)
    assert [(said.request_id, said.outcome) for said in harness.decide_all()] == [(cheap, Outcome.REJECTED)]


def test_hasty_client_is_denied_at_an_idle_node(harness):
    hasty = harness.submit(timeout=20 * MS)
    assert [said.request_id for said in harness.decide_all() if isinstance(said, Reply)] == [hasty]


def test_new_objects_follow_what_nodes_manage(harness):
    harness.scheduler.nodes[70].window, harness.scheduler.nodes[71].window = 3.0, 1.0
    places = [
        harness.scheduler.placement.place(pending, harness.scheduler.nodes, START).id
        for pending in self_made(harness, 8)
    ]
    assert places.count(70) == 6


def self_made(harness, count):
    for _ in range(count):
        yield harness.scheduler.requests[harness.submit(shard=-1)]


def test_late_totals_move_a_volume_s_share_here(harness):
    volume = harness.scheduler.volumes.get(1) or harness.scheduler.volumes.setdefault(
        1, harness.scheduler.requests[harness.submit()].volume
    )
    for _ in range(40):
        volume.answered(0.0, 1.0, START)
    assert volume.share < 0.05


def test_cheap_job_waits_out_one_usual_answer_before_an_idle_node_takes_it(harness):
    node = harness.scheduler.nodes[70]
    node.priority_floor, node.last_answer_at, node.decayed_at = 1.0, START, START
    cheap = harness.submit(tenant=2, volume=2)
    assert [(said.request_id, said.outcome) for said in harness.decide_all()] == [(cheap, Outcome.REJECTED)]
    harness.submit(START + 200 * MS, tenant=2, volume=2)
    assert isinstance(harness.decide_all(START + 200 * MS)[0], Attempt)


def test_shortest_promised_time_sets_what_any_answer_may_take(make_harness):
    harness = make_harness(Classes__0__Aim="100")
    harness.submit(request_class=2)
    harness.end_attempt(harness.decide_all()[0], START + 60 * MS, took=60 * MS)
    assert harness.scheduler.nodes[70].window < 2.0


def test_work_of_little_worth_goes_only_where_answers_are_quick(harness):
    node = harness.scheduler.nodes[70]
    node.slowdown, node.decayed_at = 6.0, START
    harness.scheduler.latency.paces[0].ns_per_unit = 20.0 * MS
    harness.scheduler.random_source.jitter = lambda: 0.75
    inside = harness.submit(tenant=0)
    beyond = harness.submit(tenant=2, volume=2)
    said = harness.decide_all()
    assert [(one.request_id, type(one)) for one in said] == [(beyond, Reply), (inside, Attempt)]


def test_newest_answer_counts_for_more_after_a_gap(harness):
    node = harness.scheduler.nodes[70]
    node.last_answer_at, harness.scheduler.latency.paces[0].answers = START - 30 * SECOND, 8
    harness.submit()
    harness.end_attempt(harness.decide_all()[0], START + 200 * MS, took=200 * MS)
    assert node.slowdown > 4.0


def test_jam_is_not_taken_for_the_usual_pace(harness):
    pace = harness.scheduler.latency.paces[0]
    objective = harness.scheduler.settings.request_classes[0].latency_objective
    for _ in range(40):
        harness.submit()
        harness.scheduler.nodes[70].slowdown = 1.0
        harness.end_attempt(harness.decide_all()[0], START + 10 * SECOND, took=10 * SECOND)
    assert pace.ns_per_unit * 2.0 < objective


def test_first_answers_of_a_rare_product_set_its_pace(harness):
    """Guards against a guess that still counts after a dozen answers, which at 200 gateways take a minute."""
    node, pace = harness.scheduler.nodes[70], harness.scheduler.latency.paces[0]
    for step, took in enumerate((60 * MS, 70 * MS, 80 * MS)):
        now = START + step * SECOND
        harness.submit(now)
        node.slowdown = 1.0
        harness.end_attempt(harness.decide_all(now)[0], now + took, took=took)
    assert round(pace.ns_per_unit) == 35 * MS  # per unit, all three alike


def test_unanswered_legs_double_what_a_node_is_taken_to_need(harness):
    node = harness.scheduler.nodes[70]
    harness.submit()
    harness.end_attempt(harness.decide_all()[0], START + 300 * MS, Ending.TIMEOUT, took=300 * MS)
    assert node.slowdown > 300 * MS / (20 * MS * 2.0)


def test_first_lost_answer_at_a_quick_node_tells_nothing_of_it(harness):
    node = harness.scheduler.nodes[70]
    node.last_answer_quick, node.last_answer_at, node.decayed_at, harness.scheduler.latency.lost_share = (
        True,
        START,
        START,
        0.1,
    )
    harness.submit()
    attempt = harness.decide_all()[0]
    assert attempt.time_out < 300 * MS
    harness.end_attempt(attempt, START + 200 * MS, Ending.TIMEOUT, took=200 * MS)
    assert node.slowdown == 1.0 and harness.scheduler.latency.lost_share > 0.1


def test_many_late_answers_tell_a_jam_from_lost_ones(harness):
    harness.scheduler.latency.lost_share, harness.scheduler.latency.late_share = 0.1, 0.2
    harness.submit()
    assert harness.decide_all()[0].time_out >= 300 * MS


def test_node_without_news_is_taken_to_need_what_all_nodes_did(harness):
    node = harness.scheduler.nodes[71]
    harness.scheduler.latency.slowdown, harness.scheduler.latency.last_answer_at, node.decayed_at = (
        4.0,
        START,
        START - 60 * SECOND,
    )
    harness.scheduler.latency.decay_estimates(node, START)
    assert node.slowdown > 3.9


def test_units_draw_on_the_reserve_then_on_the_usual_rate_then_are_spare(harness):
    volume = harness.scheduler.requests[harness.submit(tenant=0, volume=5, units=8.0)].volume
    parts = [volume.draw(8.0, START) for _ in range(5)]
    assert parts == [Quota.RESERVED, Quota.RESERVED, Quota.USUAL, *[Quota.BEYOND] * 2]


def test_part_of_a_reserve_holds_the_largest_job_however_many_gateways_share_it(harness):
    volume = harness.scheduler.requests[harness.submit(tenant=0, volume=5)].volume
    volume.share = 0.001
    volume.refill(START)
    assert volume.draw(8.0, START) is Quota.RESERVED


def test_gateways_with_one_list_begin_their_new_objects_at_different_nodes(make_harness):
    """Guards against 200 gateways that each send their first new objects to the head of the same list."""
    entries = [NodeEntry(100 + i, 0, i, Health.READY, 0) for i in range(100)]
    firsts = set()
    for seed in range(200):
        harness = make_harness()
        harness.scheduler = Scheduler(VALUES, seed, START)
        harness.scheduler.list_received(ListKind.CACHED, entries, START)
        places = [
            harness.scheduler.placement.place(pending, harness.scheduler.nodes, START).id
            for pending in self_made(harness, 100)
        ]
        assert sorted(places) == [entry.node for entry in entries]
        firsts.add(places[0])
    assert len(firsts) > 50


def test_a_node_that_left_keeps_nothing_of_its_volumes(harness):
    """Guards against memory that grows with each replaced node: some KiB for every volume it ever served."""
    node = harness.scheduler.nodes[70]
    for volume in range(1, 41):
        harness.submit(volume=volume)
        for attempt in harness.decide_all():
            harness.end_attempt(attempt, START, took=MS)
    harness.submit(volume=99)
    out = harness.decide_all()[0]
    assert len(node.flows) == 41
    harness.scheduler.list_received(ListKind.DELTA, [NodeEntry(70, 0, 0, Health.GONE, 0)], START)
    assert list(node.flows) == [99]  # its attempt is still out
    harness.end_attempt(out, START, took=MS)
    assert not node.flows and not node.recent_counts and not node.recent_sends


def test_a_thousand_nodes_zones_and_volumes_are_held_and_let_go(harness):
    """Guards against a bound below what a fleet may have: a request for each of 1,024 nodes leaves at once."""
    entries = [NodeEntry(100 + i, i, i, Health.READY, 0) for i in range(1024)]
    harness.scheduler.list_received(ListKind.FULL, entries, START)
    for i in range(1024):
        harness.submit(volume=i, shard=i)
    attempts = harness.decide_all()
    assert sorted(attempt.node for attempt in attempts) == [entry.node for entry in entries]
    harness.scheduler.list_received(ListKind.FULL, [], START)
    for attempt in attempts:
        harness.end_attempt(attempt, START + 30 * MS)
    assert harness.decide_all(START + 30 * MS) == [] and not harness.scheduler.requests
    assert not any(node.flows for node in harness.scheduler.nodes.values())
