"""The policies of the scheduler: concurrency bounds, fair queueing, admission, latency estimates, quotas."""

import pytest
from conftest import START, VALUES

from ochrecourse.scheduler import rate_limits
from ochrecourse.scheduler.rate_limits import Volume
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


def test_volumes_whose_state_is_that_of_a_new_one_are_forgotten(harness, monkeypatch):
    """Guards against memory that grows with every volume that a client ever names."""
    monkeypatch.setattr(rate_limits, "MAX_VOLUMES", 50)
    waiting = harness.submit(volume=7, tenant=1, units=8.0, timeout=1_000 * SECOND)  # never answered
    assert [attempt.request_id for attempt in harness.decide_all(START + SECOND)] in ([waiting], [])
    now = START + 100 * SECOND
    for number in range(2_000):
        now += 100 * MS
        harness.submit(now, volume=1_000 + number, tenant=number % 3)
        for decision in harness.decide_all(now):
            if isinstance(decision, Attempt):
                harness.end_attempt(decision, now)
        harness.decide_all(now)
    assert len(harness.scheduler.volumes.by_id) <= 60
    assert all(
        not each.open_requests for number, each in harness.scheduler.volumes.by_id.items() if number != 7
    )


def test_volumes_in_use_outlast_a_flood_of_new_ones(harness, monkeypatch):
    """Guards against usual clients' volumes that lose what was learned of them beside a client that names new ones."""
    monkeypatch.setattr(rate_limits, "MAX_VOLUMES", 50)
    now = START + 100 * SECOND
    volumes = harness.scheduler.volumes.by_id
    harness.submit(now, volume=5)
    used = volumes[5]
    for number in range(1_000):
        now += 100 * MS
        harness.submit(now, volume=1_000 + number)
        if number % 20 == 0:
            harness.submit(now, volume=5)
        for decision in harness.decide_all(now):
            if isinstance(decision, Attempt):
                harness.end_attempt(decision, now)
    harness.submit(now, volume=5)
    assert volumes[5] is used and len(volumes) <= 60


@pytest.mark.parametrize("tenant", [0, 1, 2])
def test_a_volume_is_as_new_only_when_a_new_one_would_have_as_much(harness, tenant):
    """Guards against a limit or a reserve that a forgotten volume gets anew."""
    at = START + 20 * SECOND
    harness.submit(at, volume=5, tenant=tenant, units=8.0)
    for decision in harness.decide_all(at):
        harness.end_attempt(decision, at)
    harness.decide_all(at)
    volume, states = harness.scheduler.volumes.by_id[5], []
    for beat in range(400):
        now = at + beat * 50 * MS
        new = Volume(harness.scheduler.settings.tenant(tenant), 2, START)
        new.share = volume.share
        new.refill(now)
        as_new = volume.is_as_new(now)
        left, fresh = (
            (each.reserved_left, each.usual_left, bool(each.limit_rate) and each.limit_tokens)
            for each in (volume, new)
        )
        assert as_new is (left == fresh)
        states.append(as_new)
    assert states == sorted(states) and not states[0] and states[-1]


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


def test_reduced_bound_grows_with_an_answer(harness):
    harness.submit()
    attempt = harness.decide_all()[0]
    harness.scheduler.nodes[70].flows[1].bound = 3.0
    harness.end_attempt(attempt, START + 30 * MS)
    assert harness.scheduler.nodes[70].flows[1].bound == 4.0


def test_positive_runs_score_lowers_the_bound_of_a_growing_volume(harness):
    harness.submit(key=9)
    harness.decide_all()
    flow = harness.scheduler.nodes[70].flows[1]
    flow.runs_score, flow.runs_score_at = 3.0, START
    harness.submit(key=9)
    harness.decide_all()
    assert flow.bound == MAX_REQUESTS_PER_NODE - 1


def test_total_is_lower_while_a_recent_volume_has_no_waiting_requests(harness):
    node = harness.scheduler.nodes[70]
    node.window = 32.0
    harness.submit()
    harness.decide_all()
    assert request_limit(node) == MAX_REQUESTS_PER_NODE
    harness.submit()
    harness.decide_all()
    assert request_limit(node) == TRIMMED_REQUESTS_PER_NODE


def test_waiting_requests_are_sent_by_tags_weighted_by_tenant(harness):
    node = harness.scheduler.nodes[70]
    node.window = 1.0
    harness.submit(tenant=0, volume=9)
    busy = harness.decide_all()[0]
    requests = {harness.submit(tenant=tenant, volume=tenant): tenant for tenant in (1, 2) for _ in range(4)}
    harness.scheduler.volumes.by_id[1].limit_rate = 0.0
    order = []
    for step in range(1, 7):
        harness.end_attempt(busy, START + step * MS, took=MS)
        node.window = 1.0
        busy = harness.decide_all(START + step * MS)[0]
        order.append(requests[busy.request_id])
    assert order == [1, 2, 2, 1, 2, 2]


def test_request_inside_the_reserve_does_not_wait_for_its_volume_s_tags(harness):
    harness.scheduler.nodes[70].window = 1.0
    harness.submit(tenant=2, volume=3)
    busy = harness.decide_all()[0]
    harness.submit(tenant=2, volume=4)
    reserved = harness.submit(tenant=0, volume=5)
    harness.decide_all()
    harness.end_attempt(busy, START + 10 * MS)
    assert harness.decide_all(START + 10 * MS)[0].request_id == reserved


def test_late_answers_of_simultaneous_attempts_shrink_the_window_once(harness):
    harness.submit(volume=1)
    harness.submit(volume=2)
    first, second = harness.decide_all()
    harness.end_attempt(first, START + 200 * MS, took=200 * MS)
    window = harness.scheduler.nodes[70].window
    harness.end_attempt(second, START + 201 * MS, took=201 * MS)
    assert window < 2.0 and harness.scheduler.nodes[70].window == window


def test_unanswered_attempt_stops_counting(harness):
    harness.submit(request_class=2)
    attempt = harness.decide_all()[0]
    assert attempt.time_out == 0
    harness.decide_all(START + 700 * MS)
    assert harness.scheduler.nodes[70].outstanding == 0 and harness.scheduler.nodes[70].window < 2.0
    harness.end_attempt(attempt, START + 800 * MS)
    assert harness.scheduler.nodes[70].outstanding == 0


def test_retry_after_a_fast_failure_is_delayed(harness):
    harness.submit()
    harness.end_attempt(harness.decide_all()[0], START + MS, Ending.ERROR, took=MS)
    assert harness.decide_all(START + 2 * MS) == []
    assert [type(decision) for decision in harness.decide_all(START + 31 * MS)] == [Attempt]


def test_request_below_the_priority_floor_is_rejected_at_a_busy_node(harness):
    harness.submit()
    harness.decide_all()
    harness.scheduler.nodes[70].priority_floor = 1.0
    low_priority = harness.submit(tenant=2, volume=2)
    assert [(decision.request_id, decision.outcome) for decision in harness.decide_all()] == [
        (low_priority, Outcome.REJECTED)
    ]


def test_request_with_too_short_a_timeout_is_rejected_at_an_idle_node(harness):
    request_id = harness.submit(timeout=20 * MS)
    assert [decision.request_id for decision in harness.decide_all() if isinstance(decision, Reply)] == [
        request_id
    ]


def test_new_objects_are_distributed_by_node_windows(harness):
    harness.scheduler.nodes[70].window, harness.scheduler.nodes[71].window = 3.0, 1.0
    node_ids = [
        harness.scheduler.placement.place(pending, harness.scheduler.nodes, START).id
        for pending in new_object_requests(harness, 8)
    ]
    assert node_ids.count(70) == 6


def new_object_requests(harness, count):
    for _ in range(count):
        yield harness.scheduler.requests[harness.submit(shard=-1)]


def test_reported_totals_change_a_volume_s_share(harness):
    volume = harness.scheduler.volumes.by_id.get(1) or harness.scheduler.volumes.by_id.setdefault(
        1, harness.scheduler.requests[harness.submit()].volume
    )
    for _ in range(40):
        volume.answered(0.0, 1.0, START)
    assert volume.share < 0.05


def test_idle_node_is_probed_below_the_floor_after_one_usual_answer_time(harness):
    node = harness.scheduler.nodes[70]
    node.priority_floor, node.last_answer_at, node.decayed_at = 1.0, START, START
    low_priority = harness.submit(tenant=2, volume=2)
    assert [(decision.request_id, decision.outcome) for decision in harness.decide_all()] == [
        (low_priority, Outcome.REJECTED)
    ]
    harness.submit(START + 200 * MS, tenant=2, volume=2)
    assert isinstance(harness.decide_all(START + 200 * MS)[0], Attempt)


def test_shortest_latency_objective_limits_every_answer(make_harness):
    harness = make_harness(Classes__0__Aim="100")
    harness.submit(request_class=2)
    harness.end_attempt(harness.decide_all()[0], START + 60 * MS, took=60 * MS)
    assert harness.scheduler.nodes[70].window < 2.0


def test_low_priority_requests_are_rejected_where_answers_are_slow(harness):
    node = harness.scheduler.nodes[70]
    node.slowdown, node.decayed_at = 6.0, START
    harness.scheduler.latency.paces[0].ns_per_unit = 20.0 * MS
    harness.scheduler.random_source.jitter = lambda: 0.75
    inside = harness.submit(tenant=0)
    beyond = harness.submit(tenant=2, volume=2)
    decisions = harness.decide_all()
    assert [(decision.request_id, type(decision)) for decision in decisions] == [
        (beyond, Reply),
        (inside, Attempt),
    ]


def test_newest_answer_has_more_weight_after_a_gap(harness):
    node = harness.scheduler.nodes[70]
    node.last_answer_at, harness.scheduler.latency.paces[0].answers = START - 30 * SECOND, 8
    harness.submit()
    harness.end_attempt(harness.decide_all()[0], START + 200 * MS, took=200 * MS)
    assert node.slowdown > 4.0


def test_overload_is_not_learned_as_the_usual_pace(harness):
    pace = harness.scheduler.latency.paces[0]
    objective = harness.scheduler.settings.request_classes[0].latency_objective
    for _ in range(40):
        harness.submit()
        harness.scheduler.nodes[70].slowdown = 1.0
        harness.end_attempt(harness.decide_all()[0], START + 10 * SECOND, took=10 * SECOND)
    assert pace.ns_per_unit * 2.0 < objective


def test_first_answers_of_a_rare_class_set_its_pace(harness):
    """Guards against an initial estimate that still counts after a dozen answers, which take a minute at 200 gateways."""
    node, pace = harness.scheduler.nodes[70], harness.scheduler.latency.paces[0]
    for step, took in enumerate((60 * MS, 70 * MS, 80 * MS)):
        now = START + step * SECOND
        harness.submit(now)
        node.slowdown = 1.0
        harness.end_attempt(harness.decide_all(now)[0], now + took, took=took)
    assert round(pace.ns_per_unit) == 35 * MS  # per unit; all three answers have equal weight


def test_unanswered_attempts_double_a_node_s_slowdown(harness):
    node = harness.scheduler.nodes[70]
    harness.submit()
    harness.end_attempt(harness.decide_all()[0], START + 300 * MS, Ending.TIMEOUT, took=300 * MS)
    assert node.slowdown > 300 * MS / (20 * MS * 2.0)


def test_first_lost_answer_of_a_quick_node_does_not_change_its_slowdown(harness):
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


def test_many_late_answers_indicate_overload_instead_of_loss(harness):
    harness.scheduler.latency.lost_share, harness.scheduler.latency.late_share = 0.1, 0.2
    harness.submit()
    assert harness.decide_all()[0].time_out >= 300 * MS


def test_slowdown_of_a_node_without_answers_decays_to_the_mean(harness):
    node = harness.scheduler.nodes[71]
    harness.scheduler.latency.slowdown, harness.scheduler.latency.last_answer_at, node.decayed_at = (
        4.0,
        START,
        START - 60 * SECOND,
    )
    harness.scheduler.latency.decay_estimates(node, START)
    assert node.slowdown > 3.9


def test_units_draw_on_the_reserve_then_the_usual_rate_then_are_beyond(harness):
    volume = harness.scheduler.requests[harness.submit(tenant=0, volume=5, units=8.0)].volume
    quotas = [volume.draw(8.0, START) for _ in range(5)]
    assert quotas == [Quota.RESERVED, Quota.RESERVED, Quota.USUAL, *[Quota.BEYOND] * 2]


def test_share_of_a_reserve_fits_the_largest_request_with_any_number_of_gateways(harness):
    volume = harness.scheduler.requests[harness.submit(tenant=0, volume=5)].volume
    volume.share = 0.001
    volume.refill(START)
    assert volume.draw(8.0, START) is Quota.RESERVED


def test_gateways_with_the_same_list_place_new_objects_at_different_nodes_first(make_harness):
    """Guards against 200 gateways that all send their first new objects to the first nodes of the same list."""
    entries = [NodeEntry(100 + i, 0, i, Health.READY, 0) for i in range(100)]
    first_nodes = set()
    for seed in range(200):
        harness = make_harness()
        harness.scheduler = Scheduler(VALUES, seed, START)
        harness.scheduler.list_received(ListKind.CACHED, entries, START)
        node_ids = [
            harness.scheduler.placement.place(pending, harness.scheduler.nodes, START).id
            for pending in new_object_requests(harness, 100)
        ]
        assert sorted(node_ids) == [entry.node for entry in entries]
        first_nodes.add(node_ids[0])
    assert len(first_nodes) > 50


def test_a_gone_node_retains_no_volume_state(harness):
    """Guards against a memory leak with each replaced node: some KiB for every volume that it served."""
    node = harness.scheduler.nodes[70]
    for volume in range(1, 41):
        harness.submit(volume=volume)
        for attempt in harness.decide_all():
            harness.end_attempt(attempt, START, took=MS)
    harness.submit(volume=99)
    outstanding = harness.decide_all()[0]
    assert len(node.flows) == 41
    harness.scheduler.list_received(ListKind.DELTA, [NodeEntry(70, 0, 0, Health.GONE, 0)], START)
    assert list(node.flows) == [99]  # its attempt is still outstanding
    harness.end_attempt(outstanding, START, took=MS)
    assert not node.flows and not node.recent_counts and not node.recent_sends


def test_state_of_a_thousand_nodes_zones_and_volumes_is_released(harness):
    """Guards against limits below the allowed fleet size: a request to each of 1,024 nodes is sent at once."""
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
