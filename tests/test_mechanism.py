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


def test_new_volume_resets_every_bound_to_the_even_split(desk):
    desk.take(volume=1)
    desk.pull()
    desk.scheduler.nodes[70].flows[1].bound = 1.0
    desk.take(volume=2)
    desk.pull()
    assert [flow.bound for flow in desk.scheduler.nodes[70].flows.values()] == [
        MAX_REQUESTS_PER_NODE / 2,
        MAX_REQUESTS_PER_NODE / 2,
    ]


def test_above_average_volume_is_halved_at_a_loaded_node(desk):
    node = desk.scheduler.nodes[70]
    node.window = 32.0
    desk.take(volume=1, units=2.0)
    desk.take(volume=2, units=LOADED_NODE_UNITS)
    desk.pull()
    assert (node.flows[1].bound, node.flows[2].bound) == (
        MAX_REQUESTS_PER_NODE / 2,
        MAX_REQUESTS_PER_NODE / 4,
    )


def test_squeezed_bound_regrows_on_an_answer(desk):
    desk.take()
    attempt = desk.pull()[0]
    desk.scheduler.nodes[70].flows[1].bound = 3.0
    desk.end(attempt, START + 30 * MS)
    assert desk.scheduler.nodes[70].flows[1].bound == 4.0


def test_positive_runs_score_trades_bound_for_runs(desk):
    desk.take(key=9)
    desk.pull()
    flow = desk.scheduler.nodes[70].flows[1]
    flow.runs_score, flow.runs_score_at = 3.0, START
    desk.take(key=9)
    desk.pull()
    assert flow.bound == MAX_REQUESTS_PER_NODE - 1


def test_total_is_trimmed_while_a_recent_volume_is_empty(desk):
    node = desk.scheduler.nodes[70]
    node.window = 32.0
    desk.take()
    desk.pull()
    assert request_limit(node) == MAX_REQUESTS_PER_NODE
    desk.take()
    desk.pull()
    assert request_limit(node) == TRIMMED_REQUESTS_PER_NODE


def test_held_jobs_leave_by_plan_weighted_tags(desk):
    node = desk.scheduler.nodes[70]
    node.window = 1.0
    desk.take(tenant=0, volume=9)
    busy = desk.pull()[0]
    requests = {desk.take(tenant=plan, volume=plan): plan for plan in (1, 2) for _ in range(4)}
    desk.scheduler.volumes[1].limit_rate = 0.0
    order = []
    for step in range(1, 7):
        desk.end(busy, START + step * MS, took=MS)
        node.window = 1.0
        busy = desk.pull(START + step * MS)[0]
        order.append(requests[busy.request_id])
    assert order == [1, 2, 2, 1, 2, 2]


def test_job_inside_the_reserve_does_not_wait_for_its_volume_s_tags(desk):
    desk.scheduler.nodes[70].window = 1.0
    desk.take(tenant=2, volume=3)
    busy = desk.pull()[0]
    desk.take(tenant=2, volume=4)
    reserved = desk.take(tenant=0, volume=5)
    desk.pull()
    desk.end(busy, START + 10 * MS)
    assert desk.pull(START + 10 * MS)[0].request_id == reserved


def test_late_answers_shrink_the_window_once_for_legs_out_together(desk):
    desk.take(volume=1)
    desk.take(volume=2)
    first, second = desk.pull()
    desk.end(first, START + 200 * MS, took=200 * MS)
    window = desk.scheduler.nodes[70].window
    desk.end(second, START + 201 * MS, took=201 * MS)
    assert window < 2.0 and desk.scheduler.nodes[70].window == window


def test_unanswered_leg_stops_counting(desk):
    desk.take(request_class=2)
    attempt = desk.pull()[0]
    assert attempt.time_out == 0
    desk.pull(START + 700 * MS)
    assert desk.scheduler.nodes[70].outstanding == 0 and desk.scheduler.nodes[70].window < 2.0
    desk.end(attempt, START + 800 * MS)
    assert desk.scheduler.nodes[70].outstanding == 0


def test_fast_failure_waits_before_its_further_leg(desk):
    desk.take()
    desk.end(desk.pull()[0], START + MS, Ending.ERROR, took=MS)
    assert desk.pull(START + 2 * MS) == []
    assert [type(said) for said in desk.pull(START + 31 * MS)] == [Attempt]


def test_job_under_the_payoff_floor_is_denied_at_a_busy_node(desk):
    desk.take()
    desk.pull()
    desk.scheduler.nodes[70].priority_floor = 1.0
    cheap = desk.take(tenant=2, volume=2)
    assert [(said.request_id, said.outcome) for said in desk.pull()] == [(cheap, Outcome.REJECTED)]


def test_hasty_client_is_denied_at_an_idle_node(desk):
    hasty = desk.take(patience=20 * MS)
    assert [said.request_id for said in desk.pull() if isinstance(said, Reply)] == [hasty]


def test_new_objects_follow_what_nodes_manage(desk):
    desk.scheduler.nodes[70].window, desk.scheduler.nodes[71].window = 3.0, 1.0
    places = [
        desk.scheduler.placement.place(pending, desk.scheduler.nodes, START).id
        for pending in self_made(desk, 8)
    ]
    assert places.count(70) == 6


def self_made(desk, count):
    for _ in range(count):
        yield desk.scheduler.requests[desk.take(shard=-1)]


def test_late_totals_move_a_volume_s_share_here(desk):
    volume = desk.scheduler.volumes.get(1) or desk.scheduler.volumes.setdefault(
        1, desk.scheduler.requests[desk.take()].volume
    )
    for _ in range(40):
        volume.answered(0.0, 1.0, START)
    assert volume.share < 0.05


def test_cheap_job_waits_out_one_usual_answer_before_an_idle_node_takes_it(desk):
    node = desk.scheduler.nodes[70]
    node.priority_floor, node.last_answer_at, node.decayed_at = 1.0, START, START
    cheap = desk.take(tenant=2, volume=2)
    assert [(said.request_id, said.outcome) for said in desk.pull()] == [(cheap, Outcome.REJECTED)]
    desk.take(START + 200 * MS, tenant=2, volume=2)
    assert isinstance(desk.pull(START + 200 * MS)[0], Attempt)


def test_shortest_promised_time_sets_what_any_answer_may_take(make_desk):
    desk = make_desk(Classes__0__Aim="100")
    desk.take(request_class=2)
    desk.end(desk.pull()[0], START + 60 * MS, took=60 * MS)
    assert desk.scheduler.nodes[70].window < 2.0


def test_work_of_little_worth_goes_only_where_answers_are_quick(desk):
    node = desk.scheduler.nodes[70]
    node.slowdown, node.decayed_at = 6.0, START
    desk.scheduler.latency.paces[0].ns_per_unit = 20.0 * MS
    desk.scheduler.random_source.jitter = lambda: 0.75
    inside = desk.take(tenant=0)
    beyond = desk.take(tenant=2, volume=2)
    said = desk.pull()
    assert [(one.request_id, type(one)) for one in said] == [(beyond, Reply), (inside, Attempt)]


def test_newest_answer_counts_for_more_after_a_gap(desk):
    node = desk.scheduler.nodes[70]
    node.last_answer_at, desk.scheduler.latency.paces[0].answers = START - 30 * SECOND, 8
    desk.take()
    desk.end(desk.pull()[0], START + 200 * MS, took=200 * MS)
    assert node.slowdown > 4.0


def test_jam_is_not_taken_for_the_usual_pace(desk):
    pace = desk.scheduler.latency.paces[0]
    objective = desk.scheduler.settings.request_classes[0].latency_objective
    for _ in range(40):
        desk.take()
        desk.scheduler.nodes[70].slowdown = 1.0
        desk.end(desk.pull()[0], START + 10 * SECOND, took=10 * SECOND)
    assert pace.ns_per_unit * 2.0 < objective


def test_first_answers_of_a_rare_product_set_its_pace(desk):
    """Guards against a guess that still counts after a dozen answers, which at 200 gateways take a minute."""
    node, pace = desk.scheduler.nodes[70], desk.scheduler.latency.paces[0]
    for step, took in enumerate((60 * MS, 70 * MS, 80 * MS)):
        now = START + step * SECOND
        desk.take(now)
        node.slowdown = 1.0
        desk.end(desk.pull(now)[0], now + took, took=took)
    assert round(pace.ns_per_unit) == 35 * MS  # per unit, all three alike


def test_unanswered_legs_double_what_a_node_is_taken_to_need(desk):
    node = desk.scheduler.nodes[70]
    desk.take()
    desk.end(desk.pull()[0], START + 300 * MS, Ending.TIMEOUT, took=300 * MS)
    assert node.slowdown > 300 * MS / (20 * MS * 2.0)


def test_first_lost_answer_at_a_quick_node_tells_nothing_of_it(desk):
    node = desk.scheduler.nodes[70]
    node.last_answer_quick, node.last_answer_at, node.decayed_at, desk.scheduler.latency.lost_share = (
        True,
        START,
        START,
        0.1,
    )
    desk.take()
    attempt = desk.pull()[0]
    assert attempt.time_out < 300 * MS
    desk.end(attempt, START + 200 * MS, Ending.TIMEOUT, took=200 * MS)
    assert node.slowdown == 1.0 and desk.scheduler.latency.lost_share > 0.1


def test_many_late_answers_tell_a_jam_from_lost_ones(desk):
    desk.scheduler.latency.lost_share, desk.scheduler.latency.late_share = 0.1, 0.2
    desk.take()
    assert desk.pull()[0].time_out >= 300 * MS


def test_node_without_news_is_taken_to_need_what_all_nodes_did(desk):
    node = desk.scheduler.nodes[71]
    desk.scheduler.latency.slowdown, desk.scheduler.latency.last_answer_at, node.decayed_at = (
        4.0,
        START,
        START - 60 * SECOND,
    )
    desk.scheduler.latency.decay_estimates(node, START)
    assert node.slowdown > 3.9


def test_units_draw_on_the_reserve_then_on_the_usual_rate_then_are_spare(desk):
    volume = desk.scheduler.requests[desk.take(tenant=0, volume=5, units=8.0)].volume
    parts = [volume.draw(8.0, START) for _ in range(5)]
    assert parts == [Quota.RESERVED, Quota.RESERVED, Quota.USUAL, *[Quota.BEYOND] * 2]


def test_part_of_a_reserve_holds_the_largest_job_however_many_gateways_share_it(desk):
    volume = desk.scheduler.requests[desk.take(tenant=0, volume=5)].volume
    volume.share = 0.001
    volume.refill(START)
    assert volume.draw(8.0, START) is Quota.RESERVED


def test_gateways_with_one_list_begin_their_new_objects_at_different_nodes(make_desk):
    """Guards against 200 gateways that each send their first new objects to the head of the same list."""
    entries = [NodeEntry(100 + i, 0, i, Health.READY, 0) for i in range(100)]
    firsts = set()
    for seed in range(200):
        desk = make_desk()
        desk.scheduler = Scheduler(VALUES, seed, START)
        desk.scheduler.list_received(ListKind.CACHED, entries, START)
        places = [
            desk.scheduler.placement.place(pending, desk.scheduler.nodes, START).id
            for pending in self_made(desk, 100)
        ]
        assert sorted(places) == [entry.node for entry in entries]
        firsts.add(places[0])
    assert len(firsts) > 50


def test_a_node_that_left_keeps_nothing_of_its_volumes(desk):
    """Guards against memory that grows with each replaced node: some KiB for every volume it ever served."""
    node = desk.scheduler.nodes[70]
    for volume in range(1, 41):
        desk.take(volume=volume)
        for attempt in desk.pull():
            desk.end(attempt, START, took=MS)
    desk.take(volume=99)
    out = desk.pull()[0]
    assert len(node.flows) == 41
    desk.scheduler.list_received(ListKind.DELTA, [NodeEntry(70, 0, 0, Health.GONE, 0)], START)
    assert list(node.flows) == [99]  # its attempt is still out
    desk.end(out, START, took=MS)
    assert not node.flows and not node.recent_counts and not node.recent_sends


def test_a_thousand_nodes_zones_and_volumes_are_held_and_let_go(desk):
    """Guards against a bound below what a fleet may have: a request for each of 1,024 nodes leaves at once."""
    entries = [NodeEntry(100 + i, i, i, Health.READY, 0) for i in range(1024)]
    desk.scheduler.list_received(ListKind.FULL, entries, START)
    for i in range(1024):
        desk.take(volume=i, shard=i)
    attempts = desk.pull()
    assert sorted(attempt.node for attempt in attempts) == [entry.node for entry in entries]
    desk.scheduler.list_received(ListKind.FULL, [], START)
    for attempt in attempts:
        desk.end(attempt, START + 30 * MS)
    assert desk.pull(START + 30 * MS) == [] and not desk.scheduler.requests
    assert not any(node.flows for node in desk.scheduler.nodes.values())
