"""Gateways that reconnect after a long absence: slices, early entries, snapshots, the journal rewrite."""

import json
from collections import deque

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from test_fleet_exchange import (
    BEAT,
    QUIET,
    WALL,
    FleetGateway,
    deliver,
    message_types,
    connect_all,
    exchange_frames,
)
from test_fleet_part import Fleet

from ochrecourse.storage.journal import FileJournal, MemoryJournal
from ochrecourse.fleet import anti_entropy, snapshot_transfer
from ochrecourse.fleet import channel as channel_module
from ochrecourse.fleet import log_store as log_store_module
from ochrecourse.fleet.anti_entropy import MIN_WINDOW_BYTES, AntiEntropy
from ochrecourse.fleet.channel import Channel
from ochrecourse.fleet.entries import Entry, Timestamp
from ochrecourse.fleet.exchange import Exchange
from ochrecourse.fleet.frontier import FLEET_CHANNEL
from ochrecourse.fleet.log_store import LogStore
from ochrecourse.fleet.log import LogLimits, Holes, AppendRejectedError
from ochrecourse.fleet.messages import PeerProtocolError
from ochrecourse.fleet.exchange_context import MAX_BUDGET_BYTES, SLICE_BYTES
from ochrecourse.fleet.streams import Chain
from ochrecourse.common.time_units import MS, SECOND

RATE = 32_768  # bytes per second


class RateLimitedGateway(FleetGateway):
    """A gateway with a catch-up rate; `early`: the early entries that its subsystems were shown."""

    def __init__(self, name, incarnation=1000, journal=None, rate=RATE, **options):
        super().__init__(name, incarnation, **options)
        self.journal = journal if journal is not None else MemoryJournal()
        self.log_store = LogStore(self.journal, name, LogLimits(), WALL, incarnation)
        self.log = self.log_store.log
        self.members.begin_incarnation(self.log.incarnation)
        self.early = []
        common = self.common
        self.common = type(common)(
            common.fleet, self.log_store, self.members, BEAT, QUIET, common.max_entries_in_flight, 3_600_000, common.admit,
            common.on_heartbeat, common.on_snapshot, 1 << 22, rate, self.early.append,
        )  # fmt: skip

    def fill(self, count, channel="c", body="x" * 60):
        for i in range(count):
            self.log_store.append(channel, f"{self.members.name}{i}{body}", WALL + i)


def run_links(pairs, ends, start, until, carry=exchange_frames):
    """Passes heartbeat intervals and carries frames ten times in each."""
    for step in range(round((until - start) / BEAT * 10)):
        now = start + step * BEAT // 10
        if step % 10 == 0:
            for end in ends:
                end.pass_interval(now)
        carry(pairs, now)
    return until


# --- slices, and early entries ahead of them ---


def test_a_backlog_is_sent_in_slices_at_the_rate_of_the_settings_with_heartbeats_between():
    a, b = RateLimitedGateway("a"), RateLimitedGateway("b")
    a.fill(3000)
    (pair,) = connect_all(a, b)
    sent, longest, beats = 0, 0, []
    for step in range(1, 401):
        now = step * BEAT // 10
        if step % 10 == 0:
            a.pass_interval(now)
            b.pass_interval(now)
        frames = [data for link, data in exchange_frames([pair], now) if link is pair[0]]
        entries = [len(data) for data in frames if message_types([(0, data)]) == ["entries"]]
        assert sum(entries) <= MAX_BUDGET_BYTES + 2 * SLICE_BYTES  # in one step
        sent += sum(entries)
        longest = max([longest, *entries])
        beats += [b.members.heartbeats["a"].number]
    assert longest < 2 * SLICE_BYTES
    assert 0.8 * RATE * 10 < sent < 1.1 * RATE * 10 + MAX_BUDGET_BYTES
    assert beats[-1] == 40  # no heartbeat was delayed
    run_links([pair], [a, b], 10 * SECOND, 60 * SECOND)
    assert a.log.vector() == b.log.vector()


class SkipsGapsAntiEntropy(AntiEntropy):
    def _early_to_send(self):
        data = super()._early_to_send()
        for entry in self.context.newest_fleet_entries if data else ():
            self.peer_positions[entry.stream] = max(entry.seq, self.peer_positions.get(entry.stream, 0))
        return data


class SkipsGaps(Exchange):
    """A deliberate fault: treats an early entry as if the peer stored all entries before it."""

    def __init__(self, common, peer, now):
        super().__init__(common, peer, now)
        self.anti_entropy = SkipsGapsAntiEntropy(self.state, self.heartbeats.relaying_stopped)


def test_a_decision_is_sent_ahead_of_the_backlog_and_relayed():
    a, b, c = RateLimitedGateway("a"), RateLimitedGateway("b"), RateLimitedGateway("c")
    a.fill(3000)
    pairs = [(a.link("b"), b.link()), (b.link("c"), c.link())]
    run_links(pairs, [a, b, c], 0, SECOND)
    a.log_store.append(FLEET_CHANNEL, {"what": "zone"}, WALL + 5000)
    decision = a.log.events(FLEET_CHANNEL)[-1]
    run_links(pairs, [a, b, c], SECOND, 2 * SECOND)
    assert b.early == c.early == [decision]  # once each
    stream = decision.stream
    assert 0 < c.log.vector().get(stream, 0) < 1000 and not c.log.events(FLEET_CHANNEL)  # not in the log yet
    run_links(pairs, [a, b, c], 2 * SECOND, 40 * SECOND)
    assert c.log.vector() == a.log.vector() and c.log.dump("c") == a.log.dump("c")
    assert c.early == [decision]


def test_without_a_backlog_no_entry_is_sent_twice():
    a, b = RateLimitedGateway("a"), RateLimitedGateway("b")
    (pair,) = connect_all(a, b)
    for i in range(20):
        a.log_store.append(FLEET_CHANNEL, i, WALL)
    run_links([pair], [a, b], 0, SECOND)
    assert pair[1].entries_in == 20 and not b.early


def test_on_a_slow_link_little_of_the_log_delays_heartbeats():
    """A link of 20 kB/s, and a catch-up rate of a hundred times as much."""
    a, b = RateLimitedGateway("a", rate=1 << 21), RateLimitedGateway("b", rate=1 << 21)
    a.fill(2000)
    (pair,) = connect_all(a, b)
    in_transit, free, delays, sent = deque(), [0], [], {}
    now = 0
    for step in range(1, 801):
        now = step * BEAT // 10
        if step % 10 == 0:
            a.pass_interval(now)
            b.pass_interval(now)
            sent[a.members.heartbeats["a"].number] = now
        while (data := pair[0].next_frame(now)) is not None:
            free[0] = max(free[0], now) + len(data) * SECOND // 20_000
            in_transit.append((free[0], data))
        while in_transit and in_transit[0][0] <= now:
            deliver(pair[1], in_transit.popleft()[1], now)
            beat = b.members.heartbeats["a"].number
            if beat in sent:
                delays.append(now - sent.pop(beat))
        while (data := pair[1].next_frame(now)) is not None:
            deliver(pair[0], data, now)
    assert MIN_WINDOW_BYTES <= pair[0].anti_entropy._window < SLICE_BYTES
    assert max(delays[8:]) <= 2 * BEAT
    assert a.log.vector() == b.log.vector()


# --- arbitrary interleavings ---


class KeepsPartialSnapshots(Exchange):
    """A deliberate fault: continues a snapshot that an earlier link received in part."""

    def __init__(self, common, peer, now, **more):
        super().__init__(common, peer, now, **more)
        self.anti_entropy.snapshots._received_chunks = KeepsPartialSnapshots.parts.setdefault(
            common.members.name, []
        )

    parts: dict


def make_gateway(name, incarnation, journal, kind, clock):
    end = RateLimitedGateway(name, incarnation, journal, rate=16_384, kind=kind, flight=4)
    end.log.clock = max(end.log.clock, clock)  # past the settled entries, which `admit` ensures in the fleet
    return end


def play(moves, kind):
    """Runs three gateways that append, compact, lose disks and restart while catch-up proceeds frame by frame; then all
    are linked. Returns whether all logs are equal, no acknowledged entry is lost and all early entries are stored."""
    KeepsPartialSnapshots.parts = {}
    ends = [make_gateway(name, 7 + i, None, kind, Timestamp(0, 0)) for i, name in enumerate("abc")]
    answered, links, now, newest_incarnation = [], {}, 0, 100
    settled = Timestamp(0, 0)
    pairs_of = ((0, 1), (0, 2), (1, 2))

    def break_link(which):
        for link, end in zip(links.pop(pairs_of[which], ()), pairs_of[which], strict=False):
            if link in ends[end].links:
                ends[end].links.remove(link)

    def carry(which, one_way, most):
        a, b = pairs_of[which]
        if pairs_of[which] not in links:
            links[a, b] = (ends[a].link(ends[b].members.name, now), ends[b].link("", now))
        pair = links[a, b] if one_way else links[a, b][::-1]
        try:
            for _ in range(most):
                data = pair[0].next_frame(now)
                if data is None:
                    return
                deliver(pair[1], data, now)
        except PeerProtocolError:
            break_link(which)

    def compact(upto):
        for end in ends:
            end.log.advance_frontier(upto)
            end.log_store.compact("c", upto, {"upto": list(upto), "of": "x" * 900})
            end.common.compaction_version += 1

    for what, which, count in moves:
        now += 10 * MS
        if what == "append":
            for i in range(count):
                answered.append(ends[which].append(f"{now} {i}", FLEET_CHANNEL if i % 5 == 4 else "c"))
        elif what == "cut":
            break_link(which)
        elif what == "turn":
            ends[which].pass_interval(now)
        elif what in ("kill", "lose") and (what == "kill" or settled):
            for index, pair in enumerate(pairs_of):
                if which in pair:
                    break_link(index)
            newest_incarnation += 1
            journal = ends[which].journal
            if what == "lose":
                others = [end.log.vector() for i, end in enumerate(ends) if i != which]
                if any(seq > max(v.get(s, 0) for v in others) for s, seq in ends[which].log.vector().items()):
                    continue  # entries that only this gateway stores would be lost with its disk
                journal = None
            ends[which] = make_gateway(
                ends[which].members.name, newest_incarnation, journal, kind, max(e.log.clock for e in ends)
            )
            ends[which].log.advance_frontier(settled)
        elif what == "compact":
            upto = min(end.log.clock for end in ends)
            contents = {tuple(e.position for e in end.log.events("c") if e.at <= upto) for end in ends}
            if len(contents) == 1 and upto > settled:
                settled = upto
                ends[which].log.advance_frontier(upto)
                ends[which].log_store.compact("c", upto, {"upto": list(upto), "of": "x" * 900})
                ends[which].common.compaction_version += 1
        else:
            carry(which, what == "there", count)
    equal = 0
    for _ in range(400):
        now += BEAT // 4
        for end in ends:
            end.pass_interval(now)
        for which in range(3):
            carry(which, True, 8)
            carry(which, False, 8)
        if len({tuple(sorted(end.log.vector().items())) for end in ends}) > 1:
            equal = 0
            continue
        equal += 1
        if settled:
            compact(settled)
        if equal > 40:  # ten heartbeat intervals
            break
    if settled:
        compact(settled)
    left = {(e.stream, e.seq) for e in ends[0].log.events("c")}
    lacks = [e for e in answered if e.channel == "c" and e.at > settled and (e.stream, e.seq) not in left]
    early = all(entry in end.log.events(FLEET_CHANNEL) for end in ends for entry in end.early)
    vectors = {tuple(sorted(end.log.vector().items())) for end in ends}
    return not lacks and early and len(vectors) == 1 and len({end.log.dump("c") for end in ends}) == 1


WHAT = ("append", "there", "there", "here", "here", "cut", "kill", "turn", "compact", "lose")
MOVES = st.lists(st.tuples(st.sampled_from(WHAT), st.integers(0, 2), st.integers(1, 12)), max_size=40)


@pytest.fixture
def short(monkeypatch):
    """Short slices: a few entries, and several chunks per snapshot."""
    monkeypatch.setattr(anti_entropy, "SLICE_BYTES", 256)
    monkeypatch.setattr(snapshot_transfer, "SLICE_BYTES", 256)


@settings(
    max_examples=80, deadline=None, derandomize=True,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.function_scoped_fixture],
)  # fmt: skip
@given(MOVES)
def test_any_interleaving_of_slices_cuts_and_restarts_gives_equal_logs(short, moves):
    assert play(moves, Exchange)


LINKED = [(direction, which, 12) for _ in range(4) for which in range(3) for direction in ("there", "here")]
FAULTS = {
    # The entries before an early one are still missing: counting them as stored leaves a permanent gap.
    SkipsGaps: [*LINKED, ("append", 0, 10), ("there", 0, 3), ("there", 0, 1)],
    # A link breaks within a snapshot: its first chunks must not be joined with those sent on the next link.
    KeepsPartialSnapshots: [
        ("append", 0, 4), *LINKED, ("append", 1, 4), ("append", 2, 4), *LINKED, ("compact", 0, 1), ("lose", 1, 1),
        ("there", 0, 3), ("here", 0, 3), ("there", 0, 3), ("here", 0, 1), ("cut", 0, 1),
    ],
}  # fmt: skip


@pytest.mark.parametrize("kind", FAULTS)
def test_the_property_finds_deliberate_faults(short, kind):
    assert play(FAULTS[kind], Exchange)
    assert not play(FAULTS[kind], kind)


# --- snapshots ---


def test_a_snapshot_that_is_too_long_is_rejected_by_its_writer_and_by_a_receiver():
    a, b = RateLimitedGateway("a"), RateLimitedGateway("b")
    a.fill(20)
    upto = a.log.events("c")[14].at
    a.log.advance_frontier(upto)
    a.log.limits.channel_bytes = 50_000
    with pytest.raises(AppendRejectedError, match=r"channel c: a snapshot of 60002 bytes, more than 50000"):
        a.log_store.compact("c", upto, "x" * 60_000)
    assert a.log.snapshot("c") is None and len(a.log.events("c")) == 20
    a.log_store.compact("c", upto, "x" * 40_000)
    a.common.compaction_version += 1
    b.common.max_snapshot_bytes = 30_000
    with pytest.raises(
        PeerProtocolError, match=r"a snapshot of more than 30000 bytes, which begins '\[\"snapshot\",\"c\""
    ):
        run_links([(a.link("b"), b.link())], [a, b], 0, 10 * SECOND)
    assert b.log.snapshot("c") is None and not b.log.vector()


def test_many_holes_are_sent_in_chunks_and_read_from_the_journal():
    a, b = RateLimitedGateway("a"), RateLimitedGateway("b", journal=MemoryJournal())
    for i in range(6000):
        a.log_store.append("cd"[i % 2], i, WALL + i)
    a.log.advance_frontier(Timestamp(1 << 60, 0))
    a.log_store.compact("c", Timestamp(WALL + 9999, 0), "all")
    assert (
        a.log_store.needs_maintenance and len(a.log.snapshots_for({})[1].holes) < 3000
    )  # a long channel is compacted in steps
    while a.log_store.needs_maintenance:
        a.log_store.maintain(1 << 20)
    pieces = a.log.snapshots_for({})
    assert [type(p) for p in pieces[1:]] == [Holes] * 2 and sum(len(p.holes) for p in pieces[1:]) == 3000
    for piece in pieces:
        b.log_store.take_snapshot(piece)
    b.log_store.merge(a.log.missing_entries({}, 10_000, 1 << 30), WALL + 6000)
    assert b.log.vector() == a.log.vector() and b.log.dump("d") == a.log.dump("d")
    for journal in (a.journal, b.journal):
        journal.rewrite(list(LogStore(journal, "z", LogLimits(), WALL, 1)._all_records()))
        again = LogStore(journal, "z", LogLimits(), WALL, 1)
        assert again.notes == [] and again.log.vector() == a.log.vector()
    assert again.log.dump("c") == a.log.dump("c")  # b never stored the entries that the snapshot replaces


# --- channels in blocks ---


@settings(
    max_examples=60,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(st.lists(st.tuples(st.integers(0, 60), st.booleans()), max_size=80))
def test_blocks_keep_the_one_order_and_readers_their_places(monkeypatch, moves):
    monkeypatch.setattr(channel_module, "MAX_BLOCK_ENTRIES", 4)
    held, plain, cursor = Channel(), [], ""
    for seq, (ms, drops) in enumerate(moves, 1):
        entry = Entry("c", "w", 1, seq, Timestamp(ms, seq), (), b"1")
        held.add(entry)
        plain = sorted([*plain, entry], key=lambda e: e.position)
        if drops:
            held.restart_removal()
            done, gone = False, []
            while not done:
                out, done = held.remove_compacted(Timestamp(40, 0), lambda e: e.seq % 3 == 0, 1)
                gone += out
            assert gone == [e for e in plain if e.seq % 3 == 0 and e.at <= Timestamp(40, 0)]
            plain = [e for e in plain if e not in gone]
        assert held.entries == plain and held.count == len(plain)
        assert max(map(len, held.blocks)) <= 4
        mark = entry.position
        assert list(held.entries_after(mark)) == [e for e in plain if e.position > mark]
    told, cursor = held.read("", 7, Timestamp(99, 0), lambda e: "ordinary", set())
    rest, _ = held.read(cursor, 99, Timestamp(99, 0), lambda e: "ordinary", set())
    assert [t.entry for t in told + rest] == plain


# --- the journal rewrite ---


class LosesNewRecords(log_store_module.Renewal):
    """A deliberate fault: records appended during a rewrite are in the old journal only."""

    def step(self, most):
        self.appended_since.clear()
        return super().step(most)


def rewrite_step_by_step(tmp_path, kind, monkeypatch):
    """Rewrites a journal step by step, with appends, merges and promises in between, and reads it at each step. Returns
    whether it held all acknowledged entries each time."""
    monkeypatch.setattr(log_store_module, "Renewal", kind)
    monkeypatch.setattr(log_store_module, "MIN_REWRITE_BYTES", 1000)
    path = tmp_path / "a.log"
    first = LogStore(FileJournal(path, "fleet", 1), "a", LogLimits(), WALL, 1)
    peer = RateLimitedGateway("b")
    for i in range(60):
        first.append("c", f"old {i}" * 9, WALL + i)
    first.log.advance_frontier(Timestamp(1 << 60, 0))
    first.compact("c", Timestamp(WALL + 40, 0), "most")
    size, steps, complete = path.stat().st_size, 0, True
    assert first.needs_maintenance
    while first.needs_maintenance and steps < 99:
        steps += 1
        first.append("c", f"new {steps}", WALL)
        peer.append(steps, "d")
        first.merge(peer.log.missing_entries(first.log.vector(), 9, 1 << 20), WALL)
        first.promise(WALL + 5000 * steps)
        first.maintain(200)
        (tmp_path / "b.log").write_bytes(path.read_bytes())
        again = LogStore(FileJournal(tmp_path / "b.log", "fleet", 1), "a", LogLimits(), WALL, 2)
        vector = {s: n for s, n in again.log.vector().items() if n}
        complete = complete and vector == first.log.vector() and again.notes == []
        complete = complete and again.append("e", 1, WALL).at > first.log.clock
    assert steps > 5 and path.stat().st_size < size
    return complete


def test_a_journal_is_rewritten_in_steps_and_complete_at_each_one(tmp_path, monkeypatch):
    assert rewrite_step_by_step(tmp_path, log_store_module.Renewal, monkeypatch)


def test_a_rewrite_that_loses_new_records_is_detected(tmp_path, monkeypatch):
    assert not rewrite_step_by_step(tmp_path, LosesNewRecords, monkeypatch)


def test_a_disk_that_fills_during_a_rewrite_leaves_the_old_journal(tmp_path, monkeypatch):
    monkeypatch.setattr(log_store_module, "MIN_REWRITE_BYTES", 1000)
    journal = FileJournal(tmp_path / "a.log", "fleet", 1)
    first = LogStore(journal, "a", LogLimits(), WALL, 1)
    for i in range(60):
        first.append("c", f"old {i}" * 9, WALL + i)
    first.log.advance_frontier(Timestamp(1 << 60, 0))
    first.compact("c", Timestamp(WALL + 40, 0), "most")

    def full(record):
        raise OSError(28, "No space left on device")

    first._renewal.rewrite_file.append = full
    first.maintain(100)
    assert not first.needs_maintenance and first.notes == [
        "journal of the fleet can't be written: [Errno 28] No space left on device"
    ]
    first.append("c", "goes on", WALL)
    assert not (tmp_path / "a.log.new").exists()
    assert (
        LogStore(FileJournal(tmp_path / "a.log", "fleet", 1), "a", LogLimits(), WALL, 2).log.vector()
        == first.log.vector()
    )


def test_merged_entries_are_synced_once_before_they_are_acknowledged():
    synced = []

    class Disk(MemoryJournal):
        def sync(self):
            synced.append(len(self.stored))

    disk, b = Disk(), RateLimitedGateway("b")
    a = LogStore(disk, "a", LogLimits(), WALL, 1)
    b.fill(30)
    for _ in range(3):
        a.merge(b.log.missing_entries(a.log.vector(), 10, 1 << 20), WALL + 99)
    assert not synced
    a.sync()
    a.sync()
    assert synced == [len(disk.stored)]


# --- fleets of complete members ---


def test_two_sites_catch_up_at_the_rate_of_the_settings_after_a_long_partition():
    """The backlog is sent at the catch-up rate, and a decision arrives long before its end."""
    fleet = Fleet(
        "abcd",
        log={"entry": 65_536.0, "channel": 1 << 24, "channels": 1024, "flight": 256, "catch_up": 65_536.0},
    )
    fleet.run(3)
    fleet.cut("ab", "cd")
    fleet.run(3)
    for i in range(2400):
        fleet.parts["abcd"[i % 4]].append(f"c{i % 40}", f"{i}" + "x" * 60)
        if i % 100 == 0:
            fleet.run(0.01)
    fleet.run(3)
    fleet.cut("ab", "cd", None)
    sizes, now = [], fleet.network.seconds()
    fleet.network.meter = lambda here, there, size: sizes.append(
        (here, round(fleet.network.seconds() * 1000), size)
    )
    decision = fleet.parts["a"].append(FLEET_CHANNEL, {"what": "told"})
    early = []
    fleet.parts["d"].common.on_early_entry = lambda entry: early.append((entry, fleet.network.seconds()))
    while len(fleet.dumps("c7")) > 1 or len({len(p.log.vector()) for p in fleet.parts.values()}) > 1:
        fleet.run(0.25)
        assert fleet.network.seconds() < now + 60
    took = fleet.network.seconds() - now
    fleet.run(5)
    assert all(len(fleet.dumps(f"c{i}")) == 1 for i in range(40))
    assert took >= 3 and [entry for entry, _ in early] == [decision] and early[0][1] < now + 0.6 * took
    at: dict = {}
    for here, ms, size in sizes:
        at[here, ms // 10] = at.get((here, ms // 10), 0) + size
    assert max(at.values()) < MAX_BUDGET_BYTES + 3 * SLICE_BYTES


def test_two_departed_sites_get_the_snapshot_and_their_entries_are_late():
    fleet = Fleet("abcde", let_go=1500.0)
    fleet.run(3)
    fleet.cut("d", "abce")
    fleet.cut("e", "abcd")
    fleet.parts["a"].append("c", "before")
    fleet.run(8)
    assert set(fleet.parts["a"].frontier.membership.active) == set("abc")
    for i in range(25):
        fleet.parts["abcde"[i % 5]].append("c", f"{'abcde'[i % 5]}{i}")
    fleet.run(3)
    deliveries = [t.entry for t in fleet.parts["a"].read("c", "", 99)[0]]
    assert len(deliveries) == 16 and {e.writer for e in deliveries} == set("abc")
    for name in "abc":
        fleet.parts[name].compact("c", deliveries[-1].at, [json.loads(e.body) for e in deliveries])
    restarted = fleet.parts["e"]
    for name in "de":
        fleet.cut(name, [other for other in "abcde" if other != name], None)
    fleet.run(0.4)  # during its catch-up
    restarted.kill()
    fleet.start("e", let_go=1500.0)
    fleet.run(12)
    for name in "de":
        received, _ = fleet.parts[name].read("c", "", 99)
        assert received[0].snapshot is not None and all(t.late for t in received[1:])
        assert sorted(t.entry.writer for t in received[1:]) == ["d"] * 5 + ["e"] * 5
        fleet.parts[name].compact("c", deliveries[-1].at, None)  # removes its own entries up to there, if any
    assert len(fleet.dumps()) == 1 and not any(part.peer_errors for part in fleet.parts.values())


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.lists(st.sets(st.integers(1, 40), max_size=12), max_size=5), st.integers(0, 40))
def test_holes_of_a_stream_are_what_it_dropped(drops, known):
    chain, held = Chain(), set(range(1, 31))
    for seq in range(1, 31):
        chain.add(Entry("c", "w", 1, seq, Timestamp(seq, 0), (), b"1"))
    for drop in drops:
        chain.remove(sorted(drop, reverse=True))
        held -= drop
    assert {e.seq for e in chain.entries_after(0)} == held
    holes = chain.holes("w", 1, known)
    told = [seq for hole in holes for seq in range(hole.first, hole.last + 1)]
    assert {seq for seq in told if seq > known} == {seq for seq in range(known + 1, 31) if seq not in held}
    assert held.isdisjoint(told) and sorted(set(told)) == told
    assert all(hole.head_hash == chain.hash_at(hole.last) and hole.last > known for hole in holes)
    assert all(hole.at == Timestamp(hole.last, 0) for hole in holes)


def test_a_dump_contains_no_entries_that_a_snapshot_replaces():
    a = RateLimitedGateway("a")
    a.fill(3000)
    a.log.advance_frontier(Timestamp(1 << 60, 0))
    a.log_store.compact("c", Timestamp(WALL + 9999, 0), "all")
    assert a.log.compacting and a.log.read("c", "", 9)[0][0].snapshot is not None
    assert json.loads(a.log.dump("c"))[1] == [] and not a.log.compacting


def test_the_member_timer_runs_between_heartbeats_while_a_peer_lacks_entries():
    fleet = Fleet("ab")
    fleet.run(3)
    fleet.cut("a", "b")
    fleet.run(3)
    for i in range(2500):
        fleet.parts["a"].append("c", f"{i}" + "x" * 200)
    sent = []
    fleet.cut("a", "b", None)
    fleet.network.meter = lambda here, there, size: (
        sent.append((fleet.network.seconds(), size)) if size > SLICE_BYTES // 2 else None
    )
    fleet.run(12)
    assert len(fleet.dumps()) == 1
    total = sum(size for _, size in sent)
    assert total > 40 * MAX_BUDGET_BYTES and sent[-1][0] - sent[0][0] < 1.2 * total / (1 << 20)
