"""The event log: one order, merge, bounds, clocks, forks, readers, compaction, and its journal."""

from __future__ import annotations

import os
import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ochrecourse.storage.journal import FileJournal, MemoryJournal
from ochrecourse.fleet.entries import Heartbeat, Timestamp
from ochrecourse.fleet.frontier import Frontier
from ochrecourse.fleet.log_store import LogStore
from ochrecourse.fleet.log import HARD_LIMIT_FACTOR, InvalidEntryError, LogLimits, Log, AppendRejectedError

FAR = Timestamp(1 << 60, 0)
SMALL = LogLimits(entry_bytes=100, channel_bytes=1000, channels=3, max_clock_ahead_ms=3_600_000)


def log(name="a", life=1, bounds=SMALL):
    return Log(name, life, bounds)


def send(one, two, wall=0, most=1000):
    return two.merge(one.missing_entries(two.vector(), most, 1 << 20), wall)


def both_ways(*logs, wall=0):
    for _ in range(2):
        for one in logs:
            for two in logs:
                if one is not two:
                    for piece in one.snapshots_for(two.vector()):
                        two.take_snapshot(piece)
                    send(one, two, wall)


# --- order and merge ---


def test_an_effect_stands_behind_its_cause_however_wrong_the_clocks_are():
    a, b = log("a"), log("b")
    first = a.append("x", 1, 3_600_000)
    send(a, b, 60_000)
    second = b.append("x", 2, 60_000)
    assert first.position < second.position
    assert second.cause == (("a", 1, 1),)
    assert b.append("x", 3, 60_000).cause == ()  # told once


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.integers(0, 10**6))
def test_any_interleaving_that_delivers_all_gives_equal_logs(seed):
    rng = random.Random(seed)
    logs = [log(name) for name in "abc"]
    for i in range(30):
        one, two = rng.sample(logs, 2)
        if rng.random() < 0.5:
            one.append(rng.choice("xy"), i, rng.choice([0, 1000, 3_000_000]))
        else:
            batch = one.missing_entries(two.vector(), rng.randrange(1, 4), 1 << 20)
            rng.shuffle(batch)  # out of order: what does not fit yet is left out
            two.merge(batch + batch, 0)
    both_ways(*logs)
    for channel in "xy":
        assert len({one.dump(channel) for one in logs}) == 1
    assert len({tuple(sorted(one.vector().items())) for one in logs}) == 1
    assert (
        len({tuple(chain.hash_at(chain.last) for _, chain in sorted(one.chains.items())) for one in logs})
        == 1
    )


def test_what_stands_behind_a_gap_is_left_out_and_comes_again():
    a, b = log("a"), log("b")
    entries = [a.append("x", i, 0) for i in range(3)]
    assert b.merge(entries[1:], 0) == []
    assert b.merge([entries[0], entries[2], entries[1]], 0) == entries[:2]
    assert send(a, b) == entries[2:]


def test_missing_is_bounded_by_entries_and_bytes_and_gives_one_at_least():
    a, b = log("a"), log("b")
    entries = [a.append("x", "long" * 20, 0) for _ in range(5)]
    assert a.missing_entries({}, 2, 1 << 20) == entries[:2]
    assert a.missing_entries({}, 100, 1) == entries[:1]
    assert a.missing_entries({("a", 1): 3}, 100, 1 << 20) == entries[3:]
    assert b.missing_entries({}, 10, 10) == []


def test_listeners_are_told_of_each_entry_once():
    a, b = log("a"), log("b")
    heard = []
    b.listeners.append(heard.append)
    entry = a.append("x", 1, 0)
    send(a, b)
    b.merge([entry], 0)
    own = b.append("x", 2, 0)
    assert heard == [entry, own]


def bad_entries(good):
    """What a peer may send that can't be, each with the reason."""
    change = msgspec.structs.replace
    return [
        (change(good, seq=0), "can't be"),
        (change(good, incarnation=-1), "can't be"),
        (change(good, writer=""), "can't be"),
        (change(good, channel=""), "channel name of 0"),
        (change(good, channel="c" * 201), "channel name of 201"),
        (change(good, body=b"1" * 101), "101 bytes, more than 100"),
        (change(good, at=Timestamp(3_600_001, 0)), "clock 1 ms beyond how far it may be ahead"),
        (change(good, at=Timestamp(0, -1)), "can't be"),
        (change(good, cause=tuple(("w", i, 1) for i in range(4097))), "4097 causes"),
        (change(good, cause=(("b", 1, 1),), at=Timestamp(0, 1)), "before its cause"),
        (change(good, seq=2, at=good.at), "not after"),
        (change(good, writer="b", incarnation=1, seq=2), "of our own life"),
    ]


def merges_all_or_nothing(kind):
    for number in range(12):
        a, b = log("a"), kind("b", 1, SMALL)
        b.append("x", "own", 5)
        first = a.append("x", 1, 9)
        bad, why = bad_entries(first)[number]
        held = (b.vector(), b.dump("x"), b.clock, b.draft("x", 1, 0).cause)
        with pytest.raises(InvalidEntryError, match=why):
            b.merge([first, bad], 0)
        if (b.vector(), b.dump("x"), b.clock, b.draft("x", 1, 0).cause) != held:
            return False
    return True


def test_a_merge_with_one_bad_entry_merges_nothing():
    assert merges_all_or_nothing(Log)


def test_a_merge_one_by_one_is_caught():
    class OneByOne(Log):
        def merge(self, entries, wall_ms):
            return [new for entry in entries for new in super(OneByOne, self).merge([entry], wall_ms)]

    assert not merges_all_or_nothing(OneByOne)


def test_a_thousand_and_twenty_four_writers_in_one_log():
    logs = [log(f"w{i:04}", bounds=LogLimits()) for i in range(1024)]
    hub = log("hub", bounds=LogLimits())
    for i, one in enumerate(logs):
        one.append("x", i, i % 7)
        one.append("x", -i, i % 5)
        send(one, hub)
    last = log("last", bounds=LogLimits())
    while send(hub, last, most=100):
        pass
    assert last.dump("x") == hub.dump("x")
    assert len(last.events("x")) == 2048 and len(last.vector()) == 1024
    assert len(last.append("x", "seen", 0).cause) == 1024
    places = [e.position for e in last.events("x")]
    assert places == sorted(places)


# --- bounds ---


def test_a_full_channel_refuses_appends_with_its_reason_and_still_merges():
    a, b = log("a"), log("b")
    with pytest.raises(AppendRejectedError, match=r"channel x is full: \d+ of 1000 bytes"):
        while True:
            a.append("x", "p" * 80, 0)
    held = a.channel_bytes("x")
    assert held <= SMALL.channel_bytes
    a.append("y", 1, 0)  # others are unharmed
    b.append("x", 1, 0)
    assert send(b, a)
    assert a.draft("x", 1, 0, must=True)


def test_merges_end_where_a_channel_holds_many_times_its_bytes():
    hub = log("hub")
    for i in range(40):
        one = log(f"w{i}")
        for _ in range(4):
            one.append("x", "p" * 80, 0)
        send(one, hub)
    assert hub.channel_bytes("x") <= HARD_LIMIT_FACTOR * SMALL.channel_bytes
    assert any("no room" in note for note in hub.notes)
    hub.advance_frontier(FAR)
    hub.compact("x", FAR, None)
    assert send(one, hub)  # goes on once it is compacted


@pytest.mark.parametrize("channel, value, why", [
    ("x", "p" * 99, "101 bytes, more than 100"),
    ("", 1, "0 characters"),
    ("c" * 201, 1, "201 characters"),
    ("x", float("nan"), "not JSON"),
    ("x", {1, 2}, "not JSON"),
    ("new", 1, "3 channels are held"),
])  # fmt: skip
def test_appends_out_of_bounds_are_refused(channel, value, why):
    a = log()
    for name in "xyz":
        a.append(name, 1, 0)
    held = a.vector()
    with pytest.raises(AppendRejectedError, match=why):
        a.append(channel, value, 0)
    assert a.vector() == held


def test_peers_can_not_fill_the_memory_with_channels():
    a, hub = log("a", bounds=LogLimits()), log("hub")
    for i in range(100):
        a.append(f"c{i}", 1, 0)
    send(a, hub)
    assert len(hub.channels()) == HARD_LIMIT_FACTOR * SMALL.channels


# --- clocks ---


def test_a_clock_ahead_is_named_with_its_writer_and_one_that_steps_back_here():
    a, b = log("a"), log("b")
    a.append("x", 1, 3_000_000)
    send(a, b, 0)
    assert b.notes == ["a: its clock, or one that it has seen, is 3000000 ms ahead of ours"]
    assert b.clock_ahead_ms == {"a": 3_000_000}
    b.append("x", 1, 500_000)
    b.append("x", 1, 100_000)
    assert "b: the wall clock here stepped back by 400000 ms" in b.notes


def test_order_goes_on_when_the_wall_clock_steps_back():
    a = log()
    places = [a.append("x", i, wall).position for i, wall in enumerate([100, 5, 5, 101, 0])]
    assert places == sorted(places)
    assert a.promise(0) >= places[-1].at
    assert a.append("x", 1, 0).at > a.promise(0)._replace(counter=-1)


def test_what_is_appended_later_stands_behind_a_promise():
    a = log()
    promise = a.promise(50)
    assert a.append("x", 1, 20).at > promise


# --- forks ---


def two_histories():
    one, other = log("a"), log("a")
    one.append("x", "same", 0)
    other.append("x", "same", 0)
    one.append("x", "left", 0)
    other.append("x", "right", 0)
    return one, other


def test_one_number_with_two_bodies_is_named_and_the_stream_is_held_where_it_was():
    one, other = two_histories()
    b, c = log("b"), log("c")
    send(one, b)
    assert b.merge(other.missing_entries({}, 10, 1 << 20), 0) == []
    assert list(b.forks) == [("a", 1)]
    assert b.notes == ["a: entry 2 came with two bodies in life 1; b holds it where it was"]
    assert b.vector() == {("a", 1): 2}
    assert [e.seq for e in send(b, c)] == [1]  # not spread beyond
    other.append("x", "more", 0)
    assert b.merge(other.missing_entries({}, 10, 1 << 20), 0) == []


def test_two_bodies_in_one_message_are_a_fork_too():
    one, other = two_histories()
    b = log("b")
    b.merge([*one.missing_entries({}, 10, 1 << 20), *other.missing_entries({}, 10, 1 << 20)], 0)
    assert list(b.forks) == [("a", 1)] and b.events("x") == []


def test_a_row_whose_chain_of_hashes_differs_is_a_fork():
    one, other = two_histories()
    b = log("b")
    frontier = Frontier(b, ["a", "b"])
    send(one, b)
    row = log_row(other)
    frontier.receive(row)
    assert "another history up to entry 2" in b.notes[0]
    frontier.receive(log_row(one))
    assert len(b.notes) == 1


def log_row(one):
    chain = one.chains[one.name, one.incarnation]
    return Heartbeat(
        one.name,
        one.incarnation,
        1,
        0,
        chain.last,
        chain.hash_at(chain.last),
        Timestamp(9, 0),
        Timestamp(0, 0),
    )


# --- readers ---


def told_values(told):
    return [
        msgspec.json.decode(t.entry.body) if t.entry else ("snapshot", msgspec.json.decode(t.snapshot.value))
        for t in told
    ]


def test_a_reader_gets_what_is_stable_in_order_and_goes_on_from_its_cursor():
    a = log()
    for i in range(5):
        a.append("x", i, i)
    assert a.read("x", "", 10) == ([], a.read("x", "", 10)[1])
    a.advance_frontier(Timestamp(2, 0))
    told, cursor = a.read("x", "", 2)
    assert told_values(told) == [0, 1]
    told, cursor = a.read("x", cursor, 10)
    assert told_values(told) == [2]
    a.advance_frontier(Timestamp(1, 0))  # never goes back
    a.advance_frontier(FAR)
    assert told_values(a.read("x", cursor, 10)[0]) == [3, 4]
    assert a.read("none", cursor, 10) == ([], cursor)


@pytest.mark.parametrize("cursor", ["x", "[1]", "[1,2,3,4,5,6]", "\ud800", "[" * 10_000])
def test_a_cursor_that_is_none_is_refused(cursor):
    a = log()
    a.append("x", 1, 0)
    with pytest.raises(AppendRejectedError, match="not a cursor"):
        a.read("x", cursor, 1)


def test_a_cursor_is_good_on_another_gateway():
    a, b = log("a"), log("b")
    for i in range(4):
        a.append("x", i, i)
    send(a, b)
    a.advance_frontier(FAR)
    b.advance_frontier(FAR)
    cursor = a.read("x", "", 2)[1]
    assert told_values(b.read("x", cursor, 9)[0]) == [2, 3]


# --- compaction ---


def compacted(upto=2):
    a, b = log("a"), log("b")
    for i in range(4):
        a.append("x", i, i)
        b.append("y", i, i)
        a.append("y", -i, i)
    both_ways(a, b, wall=9)
    for one in (a, b):
        one.advance_frontier(FAR)
        one.compact("x", Timestamp(upto, 9), {"upto": upto})
    return a, b


def test_a_reader_below_a_snapshot_gets_it_marked_and_then_the_rest():
    a, _ = compacted()
    told, cursor = a.read("x", "", 10)
    assert told_values(told) == [("snapshot", {"upto": 2}), 3]
    assert a.read("x", cursor, 10)[0] == []


def test_what_is_past_the_frontier_is_not_compacted():
    a = log()
    a.append("x", 1, 5)
    with pytest.raises(AppendRejectedError, match="past the frontier"):
        a.compact("x", Timestamp(5, 0), None)


def test_whoever_was_away_below_a_snapshot_gets_it_and_the_rest_and_holds_the_same():
    a, b = compacted()
    c = log("c")
    c.append("x", "own", 0)
    assert send(a, c) == [] or c.vector().get(("a", 1), 0) < 8  # entries alone do not fit
    both_ways(a, b, c, wall=9)
    assert len({tuple(sorted(one.vector().items())) for one in (a, b, c)}) == 1
    for stream in a.vector():
        assert c.chains[stream].hash_at(c.chains[stream].last) == a.chains[stream].hash_at(
            a.chains[stream].last
        )
    assert a.dump("x") == b.dump("x") == c.dump("x") and a.dump("y") == c.dump("y")
    a.append("x", "later", 9)
    both_ways(a, b, c, wall=9)
    assert a.dump("x") == c.dump("x")


def test_holes_without_their_snapshots_are_refused():
    a, _ = compacted()
    c = log("c")
    *snapshots, holes = a.snapshots_for({})
    with pytest.raises(InvalidEntryError, match="holes without the snapshot of x"):
        c.take_snapshot(holes)
    assert all(c.take_snapshot(piece) for piece in [*snapshots, holes])
    assert not any(c.take_snapshot(piece) for piece in [*snapshots, holes])


def test_compacting_makes_room():
    a = log()
    with pytest.raises(AppendRejectedError):
        while True:
            a.append("x", "p" * 80, 0)
    a.advance_frontier(FAR)
    a.compact("x", FAR, "all of it")
    assert a.channel_bytes("x") == 0
    last = a.append("x", "goes on", 0)
    assert last.seq > 1 and a.vector() == {("a", 1): last.seq}


# --- the journal ---


def kept(journal, wall=1000, chance=0, bounds=SMALL):
    return LogStore(journal, "a", bounds, wall, chance)


def test_every_start_is_a_new_life_also_with_an_older_journal_or_a_clock_put_back():
    journal = MemoryJournal()
    first = kept(journal)
    copy = list(journal.stored)
    entry = first.append("x", 1, 1000)
    lives = [first.log.incarnation, kept(journal, wall=0).log.incarnation]
    journal.stored = copy  # the disk was put back
    again = kept(journal, wall=2000, chance=1)
    other = again.append("x", 2, 1000)
    assert entry.stream != other.stream
    assert len({*lives, again.log.incarnation}) == 3 and lives == sorted(lives)


def test_the_log_comes_back_whole_with_snapshots_and_holes():
    journal = MemoryJournal()
    first = kept(journal)
    for i in range(4):
        first.append("x", i, i)
    peer = log("b")
    peer.append("x", "b", 1)
    first.merge(peer.missing_entries({}, 9, 1 << 20), 9)
    first.log.advance_frontier(FAR)
    first.compact("x", Timestamp(1002, 0), ["some"])
    promise = first.promise(5000)
    second = kept(journal)
    third = kept(journal)  # what was written anew can be read again
    third.log.advance_frontier(FAR)
    third.compact("x", Timestamp(1002, 0), ["some"])
    for again in (second, third):
        assert again.log.vector() == first.log.vector()
        assert again.notes == []
        assert again.append("x", "next", 0).at > promise
    assert third.log.read("x", "", 1)[0][0].snapshot.value == b'["some"]'


def test_nothing_answered_is_lost_wherever_the_file_ends(tmp_path):
    """Guards against a kill at any byte of the record behind the last answer."""
    path = tmp_path / "a.log"
    first = kept(FileJournal(path, "fleet", 1))
    for i in range(3):
        first.append("x", i, 1000)
    whole = path.stat().st_size
    first.append("x", "unanswered", 1000)
    data = path.read_bytes()
    for end in range(whole, len(data) + 1):
        path.write_bytes(data[:end])
        journal = FileJournal(path, "fleet", 1)
        again = kept(journal, wall=2000)
        assert again.log.vector()[first.log.name, first.log.incarnation] == (4 if end == len(data) else 3), (
            end
        )
        assert len(journal.damage_reports) == (whole < end < len(data)), end
        again.append("x", "goes on", 2000)
        journal.close()
        (tmp_path / "a.log.damaged").unlink(missing_ok=True)


class Failing(MemoryJournal):
    """A disk that fails on demand: a write keeps nothing, a sync may have kept it."""

    def __init__(self):
        super().__init__()
        self.full = self.unsynced = False

    def append(self, record):
        if self.full:
            raise OSError(28, "No space left on device")
        super().append(record)

    def sync(self):
        if self.unsynced:
            raise OSError(5, "Input/output error")

    def rewrite(self, records):
        if self.full:
            raise OSError(28, "No space left on device")
        super().rewrite(records)


@pytest.mark.parametrize("how", ["full", "unsynced"])
def test_a_disk_that_fails_refuses_the_append_and_changes_nothing(how):
    journal = Failing()
    log_kept = kept(journal)
    log_kept.append("x", 1, 1000)
    held = (log_kept.log.vector(), log_kept.log.dump("x"))
    setattr(journal, how, True)
    for _ in range(2):
        with pytest.raises(OSError):
            log_kept.append("x", "refused", 1000)
        assert (log_kept.log.vector(), log_kept.log.dump("x")) == held
    peer = log("b")
    peer.append("x", "b", 1)
    log_kept.merge(peer.missing_entries({}, 9, 1 << 20), 9)  # goes on: the peer has it still
    setattr(journal, how, False)
    entry = log_kept.append("x", "second", 1000)
    again = kept(journal, wall=2000)
    assert again.notes == [] and again.log.dump("x") == log_kept.log.dump("x")
    assert [e.body for e in again.log.events("x") if e.stream == entry.stream] == [b"1", b'"second"']


def test_a_full_disk_at_the_start_refuses_appends_until_there_is_room():
    journal = Failing()
    journal.full = True
    log_kept = kept(journal)
    assert log_kept.notes == ["journal of the fleet can't be written: [Errno 28] No space left on device"]
    with pytest.raises(OSError):
        log_kept.append("x", 1, 0)
    journal.full = False
    log_kept.append("x", 1, 0)
    assert kept(journal, wall=2000).log.events("x")


def test_a_record_that_means_nothing_ends_what_is_recovered_with_one_line():
    journal = MemoryJournal()
    first = kept(journal)
    first.append("x", 1, 0)
    journal.stored.append(b"\xc1nothing")
    first.append("x", 2, 0)
    again = kept(journal, wall=2000)
    assert len(again.log.events("x")) == 1
    assert again.notes == ["journal of the fleet: record 4 means nothing, the rest is left out"]
    assert again.log.incarnation > first.log.incarnation


def test_a_sync_that_failed_allows_no_append_before_the_file_is_written_anew(tmp_path, monkeypatch):
    """Guards against a system that drops what it could not write and says so only once."""
    journal = FileJournal(tmp_path / "j", "fleet", 1)
    journal.rewrite([b"one"])
    journal.append(b"two")
    journal.sync()

    def failing(file):
        raise OSError(5, "Input/output error")

    with monkeypatch.context() as patch:
        patch.setattr(os, "fdatasync", failing)
        with pytest.raises(OSError):
            journal.sync()
    with pytest.raises(OSError, match="could not be mended"):
        journal.append(b"three")
    journal.rewrite([b"one", b"two"])
    journal.append(b"three")
    journal.sync()
    journal.close()
    assert list(FileJournal(tmp_path / "j", "fleet", 1).records()) == [b"one", b"two", b"three"]


def test_an_append_is_synced_before_it_is_answered(tmp_path, monkeypatch):
    journal = FileJournal(tmp_path / "j", "fleet", 1)
    log_kept = kept(journal)
    synced = []
    monkeypatch.setattr(os, "fdatasync", lambda file: synced.append(os.fstat(file).st_size))
    log_kept.append("x", 1, 0)
    assert synced == [journal.size]
    journal.close()
