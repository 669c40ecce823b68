"""The table of members: newest row of each name, who is reached, who is away, and rows that are turned away."""

from __future__ import annotations

import msgspec
import pytest

from ochrecourse.fleet.entries import Heartbeat, Timestamp
from ochrecourse.fleet.members import MAX_NAMES, InvalidHeartbeatError, Members

QUIET, LET_GO = 2_000, 600_000


def table(**more):
    return Members("a", 7, 1, QUIET, LET_GO, **more)


def row(name="b", life=5, beat=1, zone=2, seq=0, promise=10):
    return Heartbeat(name, life, beat, zone, seq, b"", Timestamp(promise, 0), Timestamp(0, 0))


def test_the_newest_row_by_life_and_beat_stands():
    members = table()
    assert members.receive(row(beat=2), 0)
    assert not members.receive(row(beat=1), 1)
    assert not members.receive(row(beat=2), 1)
    assert members.receive(row(life=6, beat=1, promise=1), 2)  # a new life promises anew
    assert members.heartbeats["b"].incarnation == 6 and members.zone_of("b") == 2
    assert members.received_at["b"] == 2


def test_a_name_is_reached_suspected_and_away_by_when_news_of_it_came():
    members = table(peers=["a", "b", "c"], now=0)
    members.receive(row(), 1_000)
    assert members.reachable(3_000) == ["a", "b"]
    assert members.suspected(3_000) == ["c"]
    assert members.reachable(3_001) == ["a"]
    assert members.not_departed(600_000) == ["a", "b", "c"]
    assert members.departed(600_001) == ["c"]
    assert members.departed(601_001) == ["b", "c"]
    members.receive(row(beat=2), 601_500)
    assert members.departed(601_500) == ["c"]


def test_a_repeated_row_is_no_news_of_its_sender():
    """Guards against rows that go round among the others and keep a dead gateway reached."""
    members = table()
    members.receive(row(), 0)
    members.receive(row(), 50_000)
    assert members.reachable(50_000) == ["a"]


def test_own_rows_count_beats_on_and_keep_what_is_not_told_anew():
    members = table()
    first = members.next_heartbeat(0, seq=3, head_hash=b"x")
    second = members.next_heartbeat(1, promise=Timestamp(5, 0))
    assert (first.number, second.number, second.seq, second.zone) == (1, 2, 3, 1)
    members.begin_incarnation(9)
    assert (members.heartbeats["a"].incarnation, members.heartbeats["a"].seq) == (9, 0)


@pytest.mark.parametrize("bad, why", [
    (row(beat=2, promise=9), "promise goes back"),
    (row(beat=2, seq=2), "entries go back"),
])  # fmt: skip
def test_a_row_that_takes_something_back_is_refused_and_changes_nothing(bad, why):
    members = table()
    members.receive(row(seq=3), 0)
    before = msgspec.structs.replace(members.heartbeats["b"])
    with pytest.raises(InvalidHeartbeatError, match=why):
        members.receive(bad, 5)
    assert members.heartbeats["b"] == before and members.received_at["b"] == 0


def test_more_names_than_any_fleet_has_are_refused():
    members = table()
    for i in range(MAX_NAMES - 1):
        members.receive(row(name=f"n{i}"), 0)
    with pytest.raises(InvalidHeartbeatError, match="more than"):
        members.receive(row(name="one more"), 0)
    assert len(members.heartbeats) == MAX_NAMES


def test_own_rows_that_come_back_are_nothing_new():
    members = table()
    own = members.next_heartbeat(0)
    assert not members.receive(own, 0)
    assert not members.receive(row("a", life=3), 0)
    assert members.highest_incarnation == 0


def test_a_greater_life_under_the_own_name_is_gone_beyond_once_and_then_named():
    """A disk was lost and the clock put back: the life before is greater. A process that goes beyond ours in turn is
    another one that runs under this name."""
    members = table()
    assert not members.receive(row("a", life=12, beat=40), 0)
    assert members.highest_incarnation == 12
    members.begin_incarnation(13)
    assert not members.receive(row("a", life=12, beat=41), 0)
    with pytest.raises(InvalidHeartbeatError, match="another process runs under this name"):
        members.receive(row("a", life=14), 0)


def test_a_beat_of_the_own_life_that_was_never_made_is_named():
    members = table()
    members.next_heartbeat(0)
    with pytest.raises(InvalidHeartbeatError, match="another process"):
        members.receive(row("a", life=7, beat=2), 0)
