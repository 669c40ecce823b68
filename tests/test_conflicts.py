"""Conflicts between the endpoint list and the outcomes of attempts: each rule of membership/conflicts.py."""

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


class ListWithObservations:
    """Observations together with the list, as in the daemon."""

    def __init__(self, *entries):
        self.entries, self.observations = {}, NodeObservations()
        self.list_received(T, *entries)

    def list_received(self, at, *entries, complete=False):
        if complete:
            self.entries.clear()
        self.entries.update({each.node: each for each in entries})
        self.observations.endpoint_list_received(entries, complete, at)

    def attempts(self, node, *events, at=T + SECOND):
        for i, each in enumerate(events):
            self.observations.attempt_ended(node, each, at + i * MS)

    def found(self, at=T + 2 * SECOND):
        return [(each.node, each.description) for each in find_conflicts(self.entries, self.observations, at)]


def test_ready_node_that_refuses_is_reported_from_the_third_time_and_until_it_responds():
    observed = ListWithObservations(entry(70), entry(71, 1))
    observed.attempts(70, AttemptEvent.DIAL_REFUSED, AttemptEvent.DIAL_TIMEOUT)
    assert not observed.found()
    observed.attempts(70, AttemptEvent.DIAL_REFUSED)
    assert observed.found() == [(70, "listed as ready and refuses connections, 3 in a row")]
    assert (
        find_conflicts(observed.entries, observed.observations, T + 2 * SECOND)[0].since == T + SECOND
    )  # the first refusal in a row
    observed.attempts(
        70, AttemptEvent.TIMEOUT, AttemptEvent.NO_CAPACITY
    )  # not responses of the node: the refusals still count
    assert observed.found()
    observed.attempts(70, AttemptEvent.REJECTED)
    assert not observed.found()


def test_refusals_before_a_response_do_not_count():
    observed = ListWithObservations(entry(70))
    observed.attempts(
        70,
        AttemptEvent.DIAL_REFUSED,
        AttemptEvent.DIAL_REFUSED,
        AttemptEvent.FAILED,
        AttemptEvent.DIAL_REFUSED,
        AttemptEvent.DIAL_REFUSED,
    )
    assert not observed.found()


def test_node_that_does_not_store_its_shard_is_reported_until_it_serves():
    observed = ListWithObservations(entry(70))
    observed.attempts(70, AttemptEvent.NOT_STORED)
    assert observed.found() == [(70, "says that it does not hold its shard")]
    observed.attempts(70, AttemptEvent.REJECTED)
    assert observed.found()
    observed.attempts(70, AttemptEvent.SERVED)
    assert not observed.found()


@pytest.mark.parametrize(("health", "how"), [(Health.DRAINING, "draining"), (Health.GONE, "gone")])
def test_draining_or_gone_node_that_responds_is_reported_for_a_while(health, how):
    observed = ListWithObservations(entry(70))
    observed.attempts(70, AttemptEvent.SERVED, at=T + SECOND)
    observed.list_received(T + 2 * SECOND, entry(70, health=health))
    assert not observed.found(T + 3 * SECOND)  # a response before the list changed is no conflict
    observed.attempts(70, AttemptEvent.SERVED, at=T + 3 * SECOND)
    assert observed.found(T + 4 * SECOND) == [(70, f"listed as {how} and answers")]
    assert not observed.found(T + 4 * SECOND + RECENT_NS)


def test_two_nodes_of_one_shard_are_reported_while_both_are_ready():
    observed = ListWithObservations(
        entry(70, 4), entry(71, 4), entry(72, 4, Health.DRAINING), entry(73, -1), entry(74, -1)
    )
    assert observed.found() == [(70, "holds shard 4, and so does 71")]
    observed.list_received(T + SECOND, entry(71, 4, Health.DRAINING))
    assert not observed.found()


def test_node_whose_health_flaps_is_reported_and_one_drain_and_return_is_not():
    observed = ListWithObservations(entry(70))
    healths = [Health.DRAINING, Health.READY] * (FLAPPING_CHANGES // 2)
    for i, health in enumerate(healths):
        assert not [each for each in observed.found(T + i * SECOND) if "to and fro" in each[1]]
        observed.list_received(T + (i + 1) * SECOND, entry(70, health=health))
    last = T + len(healths) * SECOND
    assert observed.found(last) == [(70, f"changed to and fro, {FLAPPING_CHANGES} times within 60 s")]
    assert not observed.found(last + RECENT_NS)
    observed.list_received(last + SECOND, entry(70))  # unchanged health
    assert len(observed.observations.nodes[70].health_changes) == FLAPPING_CHANGES


def test_nodes_that_a_complete_list_omits_are_gone_and_are_removed_later():
    observed = ListWithObservations(*(entry(node, node) for node in range(1024)))
    observed.list_received(T + SECOND, entry(5, 5), complete=True)
    assert observed.observations.nodes[6].health is Health.GONE
    observed.attempts(6, AttemptEvent.SERVED, at=T + 2 * SECOND)
    assert (6, "listed as gone and answers") in observed.found(T + 3 * SECOND)
    observed.list_received(T + 3 * SECOND + RECENT_NS, entry(5, 5))
    assert set(observed.observations.nodes) == {5}


def test_attempts_at_unlisted_nodes_are_not_recorded():
    observed = ListWithObservations(entry(70))
    observed.attempts(99, *[AttemptEvent.DIAL_REFUSED] * 5)
    observed.list_received(T + SECOND, entry(98, health=Health.GONE))
    assert set(observed.observations.nodes) == {70} and not observed.found()
