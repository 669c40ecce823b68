"""The event log: total order, merging, limits, clocks, forks, readers, compaction, and its journal."""

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

FAR_FUTURE = Timestamp(1 << 60, 0)
SMALL_LIMITS = LogLimits(entry_bytes=100, channel_bytes=1000, channels=3, max_clock_ahead_ms=3_600_000)


def log(name="a", incarnation=1, limits=SMALL_LIMITS):
    return Log(name, incarnation, limits)


def send(one, two, wall=0, max_entries=1000):
    return two.merge(one.missing_entries(two.vector(), max_entries, 1 << 20), wall)


def both_ways(*logs, wall=0):
    for _ in range(2):
        for one in logs:
            for two in logs:
                if one is not two:
                    for item in one.snapshots_for(two.vector()):
                        two.take_snapshot(item)
                    send(one, two, wall)


# --- order and merge ---


def test_an_effect_is_ordered_after_its_cause_whatever_the_clocks():
    a, b = log("a"), log("b")
    first = a.append("x", 1, 3_600_000)
    send(a, b, 60_000)
    second = b.append("x", 2, 60_000)
    assert first.position < second.position
    assert second.cause == (("a", 1, 1),)
    assert b.append("x", 3, 60_000).cause == ()  # named once


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


def test_entries_after_a_gap_are_skipped_and_sent_again():
    a, b = log("a"), log("b")
    entries = [a.append("x", i, 0) for i in range(3)]
    assert b.merge(entries[1:], 0) == []
    assert b.merge([entries[0], entries[2], entries[1]], 0) == entries[:2]
    assert send(a, b) == entries[2:]


def test_missing_entries_are_limited_by_count_and_bytes_with_at_least_one():
    a, b = log("a"), log("b")
    entries = [a.append("x", "long" * 20, 0) for _ in range(5)]
    assert a.missing_entries({}, 2, 1 << 20) == entries[:2]
    assert a.missing_entries({}, 100, 1) == entries[:1]
    assert a.missing_entries({("a", 1): 3}, 100, 1 << 20) == entries[3:]
    assert b.missing_entries({}, 10, 10) == []


def test_listeners_are_called_once_for_each_entry():
    a, b = log("a"), log("b")
    received = []
    b.listeners.append(received.append)
    entry = a.append("x", 1, 0)
    send(a, b)
    b.merge([entry], 0)
    own = b.append("x", 2, 0)
    assert received == [entry, own]


def bad_entries(good):
    """Invalid entries that a peer may send, each with the reason of its rejection."""
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
        a, b = log("a"), kind("b", 1, SMALL_LIMITS)
        b.append("x", "own", 5)
        first = a.append("x", 1, 9)
        bad, reason = bad_entries(first)[number]
        state_before = (b.vector(), b.dump("x"), b.clock, b.draft("x", 1, 0).cause)
        with pytest.raises(InvalidEntryError, match=reason):
            b.merge([first, bad], 0)
        if (b.vector(), b.dump("x"), b.clock, b.draft("x", 1, 0).cause) != state_before:
            return False
    return True


def test_a_merge_with_one_bad_entry_merges_nothing():
    assert merges_all_or_nothing(Log)


def test_a_merge_of_entries_one_by_one_is_detected():
    class OneByOne(Log):
        def merge(self, entries, wall_ms):
            return [new for entry in entries for new in super(OneByOne, self).merge([entry], wall_ms)]

    assert not merges_all_or_nothing(OneByOne)


def test_a_thousand_and_twenty_four_writers_in_one_log():
    logs = [log(f"w{i:04}", limits=LogLimits()) for i in range(1024)]
    hub = log("hub", limits=LogLimits())
    for i, one in enumerate(logs):
        one.append("x", i, i % 7)
        one.append("x", -i, i % 5)
        send(one, hub)
    last = log("last", limits=LogLimits())
    while send(hub, last, max_entries=100):
        pass
    assert last.dump("x") == hub.dump("x")
    assert len(last.events("x")) == 2048 and len(last.vector()) == 1024
    assert len(last.append("x", "seen", 0).cause) == 1024
    positions = [e.position for e in last.events("x")]
    assert positions == sorted(positions)


# --- limits ---


def test_a_full_channel_rejects_appends_with_a_reason_and_still_merges():
    a, b = log("a"), log("b")
    with pytest.raises(AppendRejectedError, match=r"channel x is full: \d+ of 1000 bytes"):
        while True:
            a.append("x", "p" * 80, 0)
    state_before = a.channel_bytes("x")
    assert state_before <= SMALL_LIMITS.channel_bytes
    a.append("y", 1, 0)  # other channels are not affected
    b.append("x", 1, 0)
    assert send(b, a)
    assert a.draft("x", 1, 0, must=True)


def test_merges_stop_at_the_hard_limit_of_a_channel():
    hub = log("hub")
    for i in range(40):
        one = log(f"w{i}")
        for _ in range(4):
            one.append("x", "p" * 80, 0)
        send(one, hub)
    assert hub.channel_bytes("x") <= HARD_LIMIT_FACTOR * SMALL_LIMITS.channel_bytes
    assert any("no room" in note for note in hub.notes)
    hub.advance_frontier(FAR_FUTURE)
    hub.compact("x", FAR_FUTURE, None)
    assert send(one, hub)  # continues after a compaction


@pytest.mark.parametrize("channel, value, reason", [
    ("x", "p" * 99, "101 bytes, more than 100"),
    ("", 1, "0 characters"),
    ("c" * 201, 1, "201 characters"),
    ("x", float("nan"), "not JSON"),
    ("x", {1, 2}, "not JSON"),
    ("new", 1, "3 channels are held"),
])  # fmt: skip
def test_appends_beyond_the_limits_are_rejected(channel, value, reason):
    a = log()
    for name in "xyz":
        a.append(name, 1, 0)
    state_before = a.vector()
    with pytest.raises(AppendRejectedError, match=reason):
        a.append(channel, value, 0)
    assert a.vector() == state_before


def test_peers_can_not_fill_the_memory_with_channels():
    a, hub = log("a", limits=LogLimits()), log("hub")
    for i in range(100):
        a.append(f"c{i}", 1, 0)
    send(a, hub)
    assert len(hub.channels()) == HARD_LIMIT_FACTOR * SMALL_LIMITS.channels


# --- clocks ---


def test_a_clock_that_is_ahead_is_noted_with_its_writer_and_a_local_step_back_too():
    a, b = log("a"), log("b")
    a.append("x", 1, 3_000_000)
    send(a, b, 0)
    assert b.notes == ["a: its clock, or one that it has seen, is 3000000 ms ahead of ours"]
    assert b.clock_ahead_ms == {"a": 3_000_000}
    b.append("x", 1, 500_000)
    b.append("x", 1, 100_000)
    assert "b: the wall clock here stepped back by 400000 ms" in b.notes


def test_the_order_advances_when_the_wall_clock_steps_back():
    a = log()
    positions = [a.append("x", i, wall).position for i, wall in enumerate([100, 5, 5, 101, 0])]
    assert positions == sorted(positions)
    assert a.promise(0) >= positions[-1].at
    assert a.append("x", 1, 0).at > a.promise(0)._replace(counter=-1)


def test_later_appends_are_ordered_after_a_promise():
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


def test_a_number_with_two_bodies_is_noted_and_its_stream_stops():
    one, other = two_histories()
    b, c = log("b"), log("c")
    send(one, b)
    assert b.merge(other.missing_entries({}, 10, 1 << 20), 0) == []
    assert list(b.forks) == [("a", 1)]
    assert b.notes == ["a: entry 2 came with two bodies in life 1; b holds it where it was"]
    assert b.vector() == {("a", 1): 2}
    assert [e.seq for e in send(b, c)] == [1]  # entries after the fork are not sent
    other.append("x", "more", 0)
    assert b.merge(other.missing_entries({}, 10, 1 << 20), 0) == []


def test_two_bodies_in_one_message_are_a_fork_too():
    one, other = two_histories()
    b = log("b")
    b.merge([*one.missing_entries({}, 10, 1 << 20), *other.missing_entries({}, 10, 1 << 20)], 0)
    assert list(b.forks) == [("a", 1)] and b.events("x") == []


def test_a_heartbeat_with_another_hash_chain_is_a_fork():
    one, other = two_histories()
    b = log("b")
    frontier = Frontier(b, ["a", "b"])
    send(one, b)
    heartbeat = heartbeat_of(other)
    frontier.receive(heartbeat)
    assert "another history up to entry 2" in b.notes[0]
    frontier.receive(heartbeat_of(one))
    assert len(b.notes) == 1


def heartbeat_of(one):
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


def delivered_values(deliveries):
    return [
        msgspec.json.decode(t.entry.body) if t.entry else ("snapshot", msgspec.json.decode(t.snapshot.value))
        for t in deliveries
    ]


def test_a_reader_gets_stable_entries_in_order_and_continues_from_its_cursor():
    a = log()
    for i in range(5):
        a.append("x", i, i)
    assert a.read("x", "", 10) == ([], a.read("x", "", 10)[1])
    a.advance_frontier(Timestamp(2, 0))
    deliveries, cursor = a.read("x", "", 2)
    assert delivered_values(deliveries) == [0, 1]
    deliveries, cursor = a.read("x", cursor, 10)
    assert delivered_values(deliveries) == [2]
    a.advance_frontier(Timestamp(1, 0))  # the frontier never moves back
    a.advance_frontier(FAR_FUTURE)
    assert delivered_values(a.read("x", cursor, 10)[0]) == [3, 4]
    assert a.read("none", cursor, 10) == ([], cursor)


@pytest.mark.parametrize("cursor", ["x", "[1]", "[1,2,3,4,5,6]", "\ud800", "[" * 10_000])
def test_a_malformed_cursor_is_rejected(cursor):
    a = log()
    a.append("x", 1, 0)
    with pytest.raises(AppendRejectedError, match="not a cursor"):
        a.read("x", cursor, 1)


def test_a_cursor_is_valid_on_another_gateway():
    a, b = log("a"), log("b")
    for i in range(4):
        a.append("x", i, i)
    send(a, b)
    a.advance_frontier(FAR_FUTURE)
    b.advance_frontier(FAR_FUTURE)
    cursor = a.read("x", "", 2)[1]
    assert delivered_values(b.read("x", cursor, 9)[0]) == [2, 3]


# --- compaction ---


def compacted(upto=2):
    a, b = log("a"), log("b")
    for i in range(4):
        a.append("x", i, i)
        b.append("y", i, i)
        a.append("y", -i, i)
    both_ways(a, b, wall=9)
    for one in (a, b):
        one.advance_frontier(FAR_FUTURE)
        one.compact("x", Timestamp(upto, 9), {"upto": upto})
    return a, b


def test_a_reader_before_a_snapshot_gets_the_snapshot_and_then_the_rest():
    a, _ = compacted()
    deliveries, cursor = a.read("x", "", 10)
    assert delivered_values(deliveries) == [("snapshot", {"upto": 2}), 3]
    assert a.read("x", cursor, 10)[0] == []


def test_entries_past_the_frontier_are_not_compacted():
    a = log()
    a.append("x", 1, 5)
    with pytest.raises(AppendRejectedError, match="past the frontier"):
        a.compact("x", Timestamp(5, 0), None)


def test_a_gateway_behind_a_snapshot_gets_it_with_the_rest_and_stores_the_same():
    a, b = compacted()
    c = log("c")
    c.append("x", "own", 0)
    assert send(a, c) == [] or c.vector().get(("a", 1), 0) < 8  # entries alone cannot be merged
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


def test_holes_without_their_snapshots_are_rejected():
    a, _ = compacted()
    c = log("c")
    *snapshots, holes = a.snapshots_for({})
    with pytest.raises(InvalidEntryError, match="holes without the snapshot of x"):
        c.take_snapshot(holes)
    assert all(c.take_snapshot(item) for item in [*snapshots, holes])
    assert not any(c.take_snapshot(item) for item in [*snapshots, holes])


def test_compaction_frees_space():
    a = log()
    with pytest.raises(AppendRejectedError):
        while True:
            a.append("x", "p" * 80, 0)
    a.advance_frontier(FAR_FUTURE)
    a.compact("x", FAR_FUTURE, "all of it")
    assert a.channel_bytes("x") == 0
    last = a.append("x", "goes on", 0)
    assert last.seq > 1 and a.vector() == {("a", 1): last.seq}


# --- the journal ---


def log_store(journal, wall=1000, chance=0, limits=SMALL_LIMITS):
    return LogStore(journal, "a", limits, wall, chance)


def test_every_start_is_a_new_incarnation_also_with_an_older_journal_or_a_clock_set_back():
    journal = MemoryJournal()
    first = log_store(journal)
    copy = list(journal.stored)
    entry = first.append("x", 1, 1000)
    incarnations = [first.log.incarnation, log_store(journal, wall=0).log.incarnation]
    journal.stored = copy  # the disk is restored from the copy
    again = log_store(journal, wall=2000, chance=1)
    other = again.append("x", 2, 1000)
    assert entry.stream != other.stream
    assert len({*incarnations, again.log.incarnation}) == 3 and incarnations == sorted(incarnations)


def test_the_log_is_recovered_with_snapshots_and_holes():
    journal = MemoryJournal()
    first = log_store(journal)
    for i in range(4):
        first.append("x", i, i)
    peer = log("b")
    peer.append("x", "b", 1)
    first.merge(peer.missing_entries({}, 9, 1 << 20), 9)
    first.log.advance_frontier(FAR_FUTURE)
    first.compact("x", Timestamp(1002, 0), ["some"])
    promise = first.promise(5000)
    second = log_store(journal)
    third = log_store(journal)  # the rewritten journal can be read
    third.log.advance_frontier(FAR_FUTURE)
    third.compact("x", Timestamp(1002, 0), ["some"])
    for again in (second, third):
        assert again.log.vector() == first.log.vector()
        assert again.notes == []
        assert again.append("x", "next", 0).at > promise
    assert third.log.read("x", "", 1)[0][0].snapshot.value == b'["some"]'


def test_no_confirmed_append_is_lost_wherever_the_file_ends(tmp_path):
    """Guards against a kill at any byte of the record after the last confirmed one."""
    path = tmp_path / "a.log"
    first = log_store(FileJournal(path, "fleet", 1))
    for i in range(3):
        first.append("x", i, 1000)
    whole = path.stat().st_size
    first.append("x", "unanswered", 1000)
    data = path.read_bytes()
    for end in range(whole, len(data) + 1):
        path.write_bytes(data[:end])
        journal = FileJournal(path, "fleet", 1)
        again = log_store(journal, wall=2000)
        assert again.log.vector()[first.log.name, first.log.incarnation] == (4 if end == len(data) else 3), (
            end
        )
        assert len(journal.damage_reports) == (whole < end < len(data)), end
        again.append("x", "goes on", 2000)
        journal.close()
        (tmp_path / "a.log.damaged").unlink(missing_ok=True)


class FailingJournal(MemoryJournal):
    """A journal that fails on demand: a failed write stores nothing, a failed sync may have stored it."""

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
def test_a_failed_disk_rejects_the_append_and_changes_nothing(how):
    journal = FailingJournal()
    store = log_store(journal)
    store.append("x", 1, 1000)
    state_before = (store.log.vector(), store.log.dump("x"))
    setattr(journal, how, True)
    for _ in range(2):
        with pytest.raises(OSError):
            store.append("x", "refused", 1000)
        assert (store.log.vector(), store.log.dump("x")) == state_before
    peer = log("b")
    peer.append("x", "b", 1)
    store.merge(peer.missing_entries({}, 9, 1 << 20), 9)  # continues: the peer still has the entry
    setattr(journal, how, False)
    entry = store.append("x", "second", 1000)
    again = log_store(journal, wall=2000)
    assert again.notes == [] and again.log.dump("x") == store.log.dump("x")
    assert [e.body for e in again.log.events("x") if e.stream == entry.stream] == [b"1", b'"second"']


def test_a_full_disk_at_the_start_rejects_appends_until_space_is_free():
    journal = FailingJournal()
    journal.full = True
    store = log_store(journal)
    assert store.notes == ["journal of the fleet can't be written: [Errno 28] No space left on device"]
    with pytest.raises(OSError):
        store.append("x", 1, 0)
    journal.full = False
    store.append("x", 1, 0)
    assert log_store(journal, wall=2000).log.events("x")


def test_recovery_stops_at_an_unreadable_record_with_one_note():
    journal = MemoryJournal()
    first = log_store(journal)
    first.append("x", 1, 0)
    journal.stored.append(b"\xc1nothing")
    first.append("x", 2, 0)
    again = log_store(journal, wall=2000)
    assert len(again.log.events("x")) == 1
    assert again.notes == ["journal of the fleet: record 4 means nothing, the rest is left out"]
    assert again.log.incarnation > first.log.incarnation


def test_after_a_failed_sync_appends_are_rejected_until_the_file_is_rewritten(tmp_path, monkeypatch):
    """Guards against an operating system that drops unwritten pages and reports the error only once."""
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


def test_an_append_is_synced_before_it_is_confirmed(tmp_path, monkeypatch):
    journal = FileJournal(tmp_path / "j", "fleet", 1)
    store = log_store(journal)
    synced = []
    monkeypatch.setattr(os, "fdatasync", lambda file: synced.append(os.fstat(file).st_size))
    store.append("x", 1, 0)
    assert synced == [journal.size]
    journal.close()
