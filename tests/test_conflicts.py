"""Where the list and the attempts disagree: each rule of membership/conflicts.py, and what the gateway does meanwhile."""

import pytest

from ochrecourse.interface import Health, NodeEntry
from ochrecourse.membership.conflicts import (
    FLAPPING_CHANGES,
    RECENT_NS,
    NodeObservations,
    find_conflicts,
)
from ochrecourse.nodes.outcome import AttemptEvent
from ochrecourse.common.time_units import MS, SECOND

T = 100 * SECOND


def entry(node, shard=0, health=Health.READY, started=0):
    return NodeEntry(node, 0, shard, health, started)


class View:
    """Observations and the list beside them, as the daemon holds both."""

    def __init__(self, *entries):
        self.entries, self.observations = {}, NodeObservations()
        self.list_received(T, *entries)

    def list_received(self, at, *entries, whole=False):
        if whole:
            self.entries.clear()
        self.entries.update({each.node: each for each in entries})
        self.observations.endpoint_list_received(entries, whole, at)

    def attempts(self, node, *seen, at=T + SECOND):
        for i, each in enumerate(seen):
            self.observations.attempt_ended(node, each, at + i * MS)

    def found(self, at=T + 2 * SECOND):
        return [(each.node, each.description) for each in find_conflicts(self.entries, self.observations, at)]


def test_ready_node_that_refuses_is_reported_from_the_third_time_and_until_it_responds():
    view = View(entry(70), entry(71, 1))
    view.attempts(70, AttemptEvent.DIAL_REFUSED, AttemptEvent.DIAL_TIMEOUT)
    assert not view.found()
    view.attempts(70, AttemptEvent.DIAL_REFUSED)
    assert view.found() == [(70, "listed as ready and refuses connections, 3 in a row")]
    assert (
        find_conflicts(view.entries, view.observations, T + 2 * SECOND)[0].since == T + SECOND
    )  # the first of the row
    view.attempts(
        70, AttemptEvent.TIMEOUT, AttemptEvent.NO_CAPACITY
    )  # no response of the node: the refusals still count
    assert view.found()
    view.attempts(70, AttemptEvent.REJECTED)
    assert not view.found()


def test_refusals_before_a_response_do_not_count():
    view = View(entry(70))
    view.attempts(
        70,
        AttemptEvent.DIAL_REFUSED,
        AttemptEvent.DIAL_REFUSED,
        AttemptEvent.FAILED,
        AttemptEvent.DIAL_REFUSED,
        AttemptEvent.DIAL_REFUSED,
    )
    assert not view.found()


def test_node_that_does_not_store_its_shard_is_reported_until_it_serves():
    view = View(entry(70))
    view.attempts(70, AttemptEvent.NOT_STORED)
    assert view.found() == [(70, "says that it does not hold its shard")]
    view.attempts(70, AttemptEvent.REJECTED)
    assert view.found()
    view.attempts(70, AttemptEvent.SERVED)
    assert not view.found()


@pytest.mark.parametrize(("health", "how"), [(Health.DRAINING, "draining"), (Health.GONE, "gone")])
def test_draining_or_gone_node_that_responds_is_reported_for_a_while(health, how):
    view = View(entry(70))
    view.attempts(70, AttemptEvent.SERVED, at=T + SECOND)
    view.list_received(T + 2 * SECOND, entry(70, health=health))
    assert not view.found(T + 3 * SECOND)  # what it said before is no conflict
    view.attempts(70, AttemptEvent.SERVED, at=T + 3 * SECOND)
    assert view.found(T + 4 * SECOND) == [(70, f"listed as {how} and answers")]
    assert not view.found(T + 4 * SECOND + RECENT_NS)


def test_two_nodes_of_one_shard_are_reported_while_both_are_ready():
    view = View(entry(70, 4), entry(71, 4), entry(72, 4, Health.DRAINING), entry(73, -1), entry(74, -1))
    assert view.found() == [(70, "holds shard 4, and so does 71")]
    view.list_received(T + SECOND, entry(71, 4, Health.DRAINING))
    assert not view.found()


def test_node_whose_health_flaps_is_reported_and_one_drain_and_return_is_not():
    view = View(entry(70))
    states = [Health.DRAINING, Health.READY] * (FLAPPING_CHANGES // 2)
    for i, health in enumerate(states):
        assert not [each for each in view.found(T + i * SECOND) if "to and fro" in each[1]]
        view.list_received(T + (i + 1) * SECOND, entry(70, health=health))
    last = T + len(states) * SECOND
    assert view.found(last) == [(70, f"changed to and fro, {FLAPPING_CHANGES} times within 60 s")]
    assert not view.found(last + RECENT_NS)
    view.list_received(last + SECOND, entry(70))  # the same again is no change
    assert len(view.observations.nodes[70].health_changes) == FLAPPING_CHANGES


def test_a_complete_list_makes_what_it_leaves_out_gone_and_gone_nodes_are_forgotten():
    view = View(*(entry(node, node) for node in range(1024)))
    view.list_received(T + SECOND, entry(5, 5), whole=True)
    assert view.observations.nodes[6].health is Health.GONE
    view.attempts(6, AttemptEvent.SERVED, at=T + 2 * SECOND)
    assert (6, "listed as gone and answers") in view.found(T + 3 * SECOND)
    view.list_received(T + 3 * SECOND + RECENT_NS, entry(5, 5))
    assert set(view.observations.nodes) == {5}


def test_attempts_at_nodes_that_no_list_named_leave_nothing():
    view = View(entry(70))
    view.attempts(99, *[AttemptEvent.DIAL_REFUSED] * 5)
    view.list_received(T + SECOND, entry(98, health=Health.GONE))
    assert set(view.observations.nodes) == {70} and not view.found()
