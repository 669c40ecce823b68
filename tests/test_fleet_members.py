"""The members of a fleet: newest heartbeats, reachable and departed members, and rejected heartbeats."""

from __future__ import annotations

import msgspec
import pytest

from ochrecourse.fleet.entries import Heartbeat, Timestamp
from ochrecourse.fleet.members import MAX_NAMES, InvalidHeartbeatError, Members

SILENCE_TIMEOUT, EVICTION_TIME = 2_000, 600_000


def make_members(**options):
    return Members("a", 7, 1, SILENCE_TIMEOUT, EVICTION_TIME, **options)


def heartbeat(name="b", incarnation=5, number=1, zone=2, seq=0, promise=10):
    return Heartbeat(name, incarnation, number, zone, seq, b"", Timestamp(promise, 0), Timestamp(0, 0))


def test_the_newest_heartbeat_by_incarnation_and_number_is_kept():
    members = make_members()
    assert members.receive(heartbeat(number=2), 0)
    assert not members.receive(heartbeat(number=1), 1)
    assert not members.receive(heartbeat(number=2), 1)
    assert members.receive(
        heartbeat(incarnation=6, number=1, promise=1), 2
    )  # a new incarnation starts its promises again
    assert members.heartbeats["b"].incarnation == 6 and members.zone_of("b") == 2
    assert members.received_at["b"] == 2


def test_members_are_reachable_suspected_or_departed_by_the_age_of_their_heartbeat():
    members = make_members(peers=["a", "b", "c"], now=0)
    members.receive(heartbeat(), 1_000)
    assert members.reachable(3_000) == ["a", "b"]
    assert members.suspected(3_000) == ["c"]
    assert members.reachable(3_001) == ["a"]
    assert members.not_departed(600_000) == ["a", "b", "c"]
    assert members.departed(600_001) == ["c"]
    assert members.departed(601_001) == ["b", "c"]
    members.receive(heartbeat(number=2), 601_500)
    assert members.departed(601_500) == ["c"]


def test_a_repeated_heartbeat_does_not_make_its_sender_reachable():
    """Guards against heartbeats that circulate among the others and keep a stopped gateway reachable."""
    members = make_members()
    members.receive(heartbeat(), 0)
    members.receive(heartbeat(), 50_000)
    assert members.reachable(50_000) == ["a"]


def test_own_heartbeats_are_numbered_and_keep_fields_that_are_not_given():
    members = make_members()
    first = members.next_heartbeat(0, seq=3, head_hash=b"x")
    second = members.next_heartbeat(1, promise=Timestamp(5, 0))
    assert (first.number, second.number, second.seq, second.zone) == (1, 2, 3, 1)
    members.begin_incarnation(9)
    assert (members.heartbeats["a"].incarnation, members.heartbeats["a"].seq) == (9, 0)


@pytest.mark.parametrize("invalid, reason", [
    (heartbeat(number=2, promise=9), "promise goes back"),
    (heartbeat(number=2, seq=2), "entries go back"),
])  # fmt: skip
def test_a_heartbeat_with_a_lower_promise_or_seq_is_rejected_and_changes_nothing(invalid, reason):
    members = make_members()
    members.receive(heartbeat(seq=3), 0)
    before = msgspec.structs.replace(members.heartbeats["b"])
    with pytest.raises(InvalidHeartbeatError, match=reason):
        members.receive(invalid, 5)
    assert members.heartbeats["b"] == before and members.received_at["b"] == 0


def test_heartbeats_of_too_many_names_are_rejected():
    members = make_members()
    for i in range(MAX_NAMES - 1):
        members.receive(heartbeat(name=f"n{i}"), 0)
    with pytest.raises(InvalidHeartbeatError, match="more than"):
        members.receive(heartbeat(name="one more"), 0)
    assert len(members.heartbeats) == MAX_NAMES


def test_own_heartbeats_that_come_back_are_not_new():
    members = make_members()
    own = members.next_heartbeat(0)
    assert not members.receive(own, 0)
    assert not members.receive(heartbeat("a", incarnation=3), 0)
    assert members.highest_incarnation == 0


def test_a_higher_incarnation_of_the_own_name_is_passed_once_and_then_rejected():
    """After a lost disk and a clock that was set back, the previous incarnation is the higher one. An incarnation beyond
    the one begun then belongs to another process under this name."""
    members = make_members()
    assert not members.receive(heartbeat("a", incarnation=12, number=40), 0)
    assert members.highest_incarnation == 12
    members.begin_incarnation(13)
    assert not members.receive(heartbeat("a", incarnation=12, number=41), 0)
    with pytest.raises(InvalidHeartbeatError, match="another process runs under this name"):
        members.receive(heartbeat("a", incarnation=14), 0)


def test_an_unknown_heartbeat_of_the_own_incarnation_is_rejected():
    members = make_members()
    members.next_heartbeat(0)
    with pytest.raises(InvalidHeartbeatError, match="another process"):
        members.receive(heartbeat("a", incarnation=7, number=2), 0)
