"""Per-node rates set by the fleet, which limit this gateway in addition to its own limits."""

from itertools import pairwise

from conftest import NODES, START

from ochrecourse.scheduler.timers import NEVER
from ochrecourse.common.time_units import MS, SECOND
from ochrecourse.interface import Outcome, Ending, Health, Attempt, ListKind, NodeEntry, Reply

COPY = NodeEntry(72, 1, 0, Health.READY, 0)  # also stores the shard of node 70


def attempts(decisions):
    return [each for each in decisions if isinstance(each, Attempt)]


def replies(decisions):
    return [each for each in decisions if isinstance(each, Reply)]


def test_empty_rates_and_no_rates_lead_to_the_same_decisions(make_harness):
    results = []
    for with_empty_rates in (False, True):
        harness = make_harness()
        harness.scheduler.list_received(ListKind.FULL, [*NODES, COPY], START)
        decisions = []
        for i in range(60):
            now = START + i * 7 * MS
            if with_empty_rates:
                harness.scheduler.node_rates_received({}, now)
            harness.submit(now=now, request_class=i % 3, key=i % 5 + 1, shard=i % 3 - 1, units=1.0 + i % 4)
            decisions += harness.decide_all(now)
            if out := attempts(decisions[-3:]):
                ending = Ending.RESET if i % 11 == 3 else Ending.SERVED
                harness.end_attempt(out[-1], now + 5 * MS, ending)
        results.append((decisions, harness.scheduler.random_source.state))
    assert results[0] == results[1]


def test_a_request_that_only_a_closed_node_could_serve_is_rejected_at_once(harness):
    harness.scheduler.node_rates_received({70: 0.0}, START)
    harness.submit(shard=0)
    [reply] = harness.decide_all()
    assert reply.outcome is Outcome.REJECTED
    assert reply.retry_after == 1000 * MS  # the maximum, because it is unknown when the rate changes


def test_a_rejection_says_when_the_rate_has_capacity_again(harness):
    harness.scheduler.nodes[70].window = 32.0
    harness.scheduler.node_rates_received({70: 4.0}, START)  # 6 units per load window of 1.5 s
    decisions = []
    for _ in range(4):
        harness.submit(shard=0, units=2.0)
        decisions += harness.decide_all()
    assert len(attempts(decisions)) == 3
    [reply] = replies(decisions)
    assert reply.retry_after == 1000 * MS
    harness.submit(now=START + 1200 * MS, shard=0, units=2.0, timeout=250 * MS)
    [late] = replies(harness.decide_all(START + 1200 * MS))
    assert 300 * MS <= late.retry_after <= 310 * MS  # when the first of the three leaves the window


def test_units_started_within_the_load_window_stay_within_the_rate(harness):
    harness.scheduler.node_rates_received({70: 4.0}, START)
    started = []
    for i in range(300):
        now = START + i * 20 * MS
        harness.submit(now=now, shard=0, units=2.0 if i % 2 else 1.0)
        for attempt in attempts(harness.decide_all(now)):
            started.append((now, harness.scheduler.requests[attempt.request_id].request.units))
            harness.end_attempt(attempt, now + 5 * MS, took=5 * MS)
    sums = [sum(units for at, units in started if end - 1500 * MS < at <= end) for end, _ in started]
    assert max(sums) <= 6.0
    assert sum(units for _, units in started) > 0.8 * 4.0 * 6.0  # most of the allowed units are used


def test_a_rate_below_one_request_per_window_spaces_requests(harness):
    harness.scheduler.node_rates_received({70: 1.0}, START)  # 1.5 units per load window; a request has 2
    started = []
    for i in range(500):
        now = START + i * 20 * MS
        harness.submit(now=now, shard=0, units=2.0)
        for attempt in attempts(harness.decide_all(now)):
            started.append(now)
            harness.end_attempt(attempt, now + 5 * MS, took=5 * MS)
    assert all(after - before >= 2 * SECOND for before, after in pairwise(started))
    assert len(started) >= 4


def test_gateways_that_are_limited_at_the_same_moment_do_not_start_together(make_harness):
    """Guards against a burst of the first requests of all gateways, which their shares of the rate do not prevent."""
    first = []
    for seed in range(40):
        harness = make_harness()
        harness.scheduler.random_source.state = seed * 7_919_000_000_000_007
        harness.scheduler.node_rates_received({70: 0.2}, START)  # one request per 10 s
        now = START
        while not (out := attempts(harness.decide_all(now))):
            now += 50 * MS
            harness.submit(now=now, shard=0, units=2.0)
        first.append(out and now - START)
    assert sum(at < 1500 * MS for at in first) <= 12  # of 40; 1.5 s are 15% of 10 s
    assert max(first) < 11 * SECOND


def test_only_repeatable_requests_try_a_limited_node_if_there_is_another(harness):
    harness.scheduler.list_received(ListKind.FULL, [*NODES, COPY], START)
    harness.scheduler.node_rates_received({70: 2.0}, START)
    nodes = {request_class: [] for request_class in (0, 1, 2)}
    for i in range(60):
        now = START + i * 40 * MS
        request_class = i % 3
        harness.submit(now=now, shard=0, request_class=request_class, key=i + 1)
        for attempt in attempts(harness.decide_all(now)):
            nodes[request_class].append(attempt.node)
            harness.end_attempt(attempt, now + 5 * MS, took=5 * MS)
    assert set(nodes[1]) == set(nodes[2]) == {72}
    assert nodes[0].count(70) in (1, 2, 3)  # 3 units in 1.5 s, over 2.4 s
    assert sum(map(len, nodes.values())) == 60


def test_a_retry_does_not_try_a_limited_node_if_there_is_another(harness):
    harness.scheduler.list_received(ListKind.FULL, [*NODES, COPY], START)
    harness.scheduler.node_rates_received({70: 100.0}, START)
    harness.submit(shard=0)
    [attempt] = harness.decide_all()
    assert attempt.node == 70
    harness.end_attempt(attempt, START + 20 * MS, Ending.RESET)
    now = START + 60 * MS
    assert [each.node for each in attempts(harness.decide_all(now))] == [72]


def test_requests_that_wait_at_a_node_are_placed_again_when_a_rate_is_set(harness):
    harness.scheduler.list_received(ListKind.FULL, [*NODES, COPY], START)
    harness.scheduler.nodes[70].window = harness.scheduler.nodes[72].window = 1.0
    for _ in range(4):
        harness.submit(shard=0, request_class=2, key=0)
    out = attempts(harness.decide_all())
    waiting_at = {each.node.id for each in harness.scheduler.requests.values() if each.waiting}
    assert len(out) == 2 and waiting_at == {70, 72}
    harness.scheduler.node_rates_received({70: 0.0}, START)
    assert harness.decide_all() == []
    assert {each.node.id for each in harness.scheduler.requests.values() if each.waiting} == {72}


def test_a_removed_rate_limits_nothing(harness):
    harness.scheduler.node_rates_received({70: 1.0}, START)
    harness.submit(shard=0, request_class=2)
    harness.decide_all()
    harness.scheduler.node_rates_received({}, START + MS)
    harness.submit(now=START + MS, shard=0)
    assert len(attempts(harness.decide_all(START + MS))) >= 1
    assert harness.scheduler.nodes[70].rate is None and not harness.scheduler.nodes[70].recent_starts


def test_a_node_that_is_listed_later_gets_the_rate_that_was_set_before(harness):
    harness.scheduler.node_rates_received({72: 0.0}, START)
    harness.scheduler.list_received(ListKind.DELTA, [COPY], START)
    assert harness.scheduler.node_rates.wait(harness.scheduler.nodes[72], 1.0, START) == NEVER


def test_1024_nodes_have_a_rate_each(harness):
    nodes = [NodeEntry(200 + n, n % 7, n, Health.READY, 0) for n in range(1024)]
    harness.scheduler.list_received(ListKind.FULL, nodes, START)
    harness.scheduler.node_rates_received(dict.fromkeys(range(200, 1224), 2.0), START)
    for n in range(1024):
        harness.submit(shard=n)
    assert len(attempts(harness.decide_all())) == 1024


def test_a_limited_node_is_tried_again_however_slow_it_was_before(harness):
    """Guards against a zone that is never tried again because its nodes keep the slowdown from their failure."""
    harness.scheduler.list_received(ListKind.FULL, [*NODES, COPY], START)
    failed = harness.scheduler.nodes[70]
    failed.slowdown, failed.priority_floor, failed.decayed_at = 64.0, 1e-5, START
    now = START + 60 * SECOND
    harness.scheduler.node_rates_received({70: 4.0}, now)
    harness.submit(now=now, shard=0)
    assert [attempt.node for attempt in attempts(harness.decide_all(now))] == [70]
