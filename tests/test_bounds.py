"""Bounds by node that come from outside: what the fleet lets this gateway begin, beside its own bounds."""

from itertools import pairwise

from conftest import NODES, START

from ochrecourse.scheduler.timers import NEVER
from ochrecourse.common.time_units import MS, SECOND
from ochrecourse.interface import Outcome, Ending, Health, Attempt, ListKind, NodeEntry, Reply

COPY = NodeEntry(72, 1, 0, Health.READY, 0)  # holds the shard of node 70 too


def attempts(said):
    return [each for each in said if isinstance(each, Attempt)]


def verdicts(said):
    return [each for each in said if isinstance(each, Reply)]


def test_never_told_and_told_of_nothing_decide_alike(make_harness):
    ways = []
    for told in (False, True):
        harness = make_harness()
        harness.scheduler.list_received(ListKind.FULL, [*NODES, COPY], START)
        said = []
        for i in range(60):
            now = START + i * 7 * MS
            if told:
                harness.scheduler.node_rates_received({}, now)
            harness.submit(now=now, request_class=i % 3, key=i % 5 + 1, shard=i % 3 - 1, units=1.0 + i % 4)
            said += harness.decide_all(now)
            if out := attempts(said[-3:]):
                ending = Ending.RESET if i % 11 == 3 else Ending.SERVED
                harness.end_attempt(out[-1], now + 5 * MS, ending)
        ways.append((said, harness.scheduler.random_source.state))
    assert ways[0] == ways[1]


def test_a_job_that_only_a_closed_node_could_do_is_denied_at_once(harness):
    harness.scheduler.node_rates_received({70: 0.0}, START)
    harness.submit(shard=0)
    [verdict] = harness.decide_all()
    assert verdict.outcome is Outcome.REJECTED
    assert verdict.retry_after == 1000 * MS  # the longest advice: nobody knows when it is over


def test_a_denial_says_when_the_bound_has_room_again(harness):
    harness.scheduler.nodes[70].window = 32.0
    harness.scheduler.node_rates_received({70: 4.0}, START)  # 6 units in the 1.5 s of the rule
    said = []
    for _ in range(4):
        harness.submit(shard=0, units=2.0)
        said += harness.decide_all()
    assert len(attempts(said)) == 3
    [verdict] = verdicts(said)
    assert verdict.retry_after == 1000 * MS
    harness.submit(now=START + 1200 * MS, shard=0, units=2.0, timeout=250 * MS)
    [late] = verdicts(harness.decide_all(START + 1200 * MS))
    assert 300 * MS <= late.retry_after <= 310 * MS  # the first of the three leaves the window then


def test_units_begun_in_the_rules_time_stay_under_the_bound(harness):
    harness.scheduler.node_rates_received({70: 4.0}, START)
    begun = []
    for i in range(300):
        now = START + i * 20 * MS
        harness.submit(now=now, shard=0, units=2.0 if i % 2 else 1.0)
        for attempt in attempts(harness.decide_all(now)):
            begun.append((now, harness.scheduler.requests[attempt.request_id].request.units))
            harness.end_attempt(attempt, now + 5 * MS, took=5 * MS)
    sums = [sum(units for at, units in begun if end - 1500 * MS < at <= end) for end, _ in begun]
    assert max(sums) <= 6.0
    assert sum(units for _, units in begun) > 0.8 * 4.0 * 6.0  # and what is allowed is used


def test_a_bound_below_a_job_lets_one_go_after_another(harness):
    harness.scheduler.node_rates_received({70: 1.0}, START)  # 1.5 units in the rule's time, a request has 2
    begun = []
    for i in range(500):
        now = START + i * 20 * MS
        harness.submit(now=now, shard=0, units=2.0)
        for attempt in attempts(harness.decide_all(now)):
            begun.append(now)
            harness.end_attempt(attempt, now + 5 * MS, took=5 * MS)
    assert all(after - before >= 2 * SECOND for before, after in pairwise(begun))
    assert len(begun) >= 4


def test_gateways_that_are_bounded_at_one_moment_do_not_begin_together(make_harness):
    """Guards against the rush of each gateway's first request, which no share of a limit would show."""
    first = []
    for seed in range(40):
        harness = make_harness()
        harness.scheduler.random_source.state = seed * 7_919_000_000_000_007
        harness.scheduler.node_rates_received({70: 0.2}, START)  # a request each 10 s
        now = START
        while not (out := attempts(harness.decide_all(now))):
            now += 50 * MS
            harness.submit(now=now, shard=0, units=2.0)
        first.append(out and now - START)
    assert sum(at < 1500 * MS for at in first) <= 12  # of 40; 1.5 s are 15% of 10 s
    assert max(first) < 11 * SECOND


def test_work_with_a_choice_goes_elsewhere_and_only_repeatable_work_tries_a_bounded_node(harness):
    harness.scheduler.list_received(ListKind.FULL, [*NODES, COPY], START)
    harness.scheduler.node_rates_received({70: 2.0}, START)
    went = {kind: [] for kind in (0, 1, 2)}
    for i in range(60):
        now = START + i * 40 * MS
        kind = i % 3
        harness.submit(now=now, shard=0, request_class=kind, key=i + 1)
        for attempt in attempts(harness.decide_all(now)):
            went[kind].append(attempt.node)
            harness.end_attempt(attempt, now + 5 * MS, took=5 * MS)
    assert set(went[1]) == set(went[2]) == {72}
    assert went[0].count(70) in (1, 2, 3)  # 3 units in 1.5 s, over 2.4 s
    assert sum(map(len, went.values())) == 60


def test_a_failed_job_does_not_try_a_bounded_node_again_where_it_has_a_choice(harness):
    harness.scheduler.list_received(ListKind.FULL, [*NODES, COPY], START)
    harness.scheduler.node_rates_received({70: 100.0}, START)
    harness.submit(shard=0)
    [attempt] = harness.decide_all()
    assert attempt.node == 70
    harness.end_attempt(attempt, START + 20 * MS, Ending.RESET)
    now = START + 60 * MS
    assert [each.node for each in attempts(harness.decide_all(now))] == [72]


def test_what_waits_at_a_node_looks_elsewhere_when_a_bound_comes(harness):
    harness.scheduler.list_received(ListKind.FULL, [*NODES, COPY], START)
    harness.scheduler.nodes[70].window = harness.scheduler.nodes[72].window = 1.0
    for _ in range(4):
        harness.submit(shard=0, request_class=2, key=0)
    out = attempts(harness.decide_all())
    waits = {each.node.id for each in harness.scheduler.requests.values() if each.waiting}
    assert len(out) == 2 and waits == {70, 72}
    harness.scheduler.node_rates_received({70: 0.0}, START)
    assert harness.decide_all() == []
    assert {each.node.id for each in harness.scheduler.requests.values() if each.waiting} == {72}


def test_a_bound_taken_back_lets_all_go(harness):
    harness.scheduler.node_rates_received({70: 1.0}, START)
    harness.submit(shard=0, request_class=2)
    harness.decide_all()
    harness.scheduler.node_rates_received({}, START + MS)
    harness.submit(now=START + MS, shard=0)
    assert len(attempts(harness.decide_all(START + MS))) >= 1
    assert harness.scheduler.nodes[70].rate is None and not harness.scheduler.nodes[70].recent_starts


def test_a_node_that_comes_later_has_the_bound_that_was_told_before(harness):
    harness.scheduler.node_rates_received({72: 0.0}, START)
    harness.scheduler.list_received(ListKind.DELTA, [COPY], START)
    assert harness.scheduler.node_rates.wait(harness.scheduler.nodes[72], 1.0, START) == NEVER


def test_1024_nodes_hold_a_bound_each(harness):
    nodes = [NodeEntry(200 + n, n % 7, n, Health.READY, 0) for n in range(1024)]
    harness.scheduler.list_received(ListKind.FULL, nodes, START)
    harness.scheduler.node_rates_received(dict.fromkeys(range(200, 1224), 2.0), START)
    for n in range(1024):
        harness.submit(shard=n)
    assert len(attempts(harness.decide_all())) == 1024


def test_a_bounded_node_is_tried_again_however_bad_it_was_before(harness):
    """Guards against a zone that nobody tries: what its nodes needed when they fell would stand for ever."""
    harness.scheduler.list_received(ListKind.FULL, [*NODES, COPY], START)
    fallen = harness.scheduler.nodes[70]
    fallen.slowdown, fallen.priority_floor, fallen.decayed_at = 64.0, 1e-5, START
    now = START + 60 * SECOND
    harness.scheduler.node_rates_received({70: 4.0}, now)
    harness.submit(now=now, shard=0)
    assert [attempt.node for attempt in attempts(harness.decide_all(now))] == [70]
