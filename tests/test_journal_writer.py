"""Appends of a fleet member with a slow disk: order and time of notifications, and the state after failures."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ochrecourse.fleet import journal_writer, log_store as log_store_module
from ochrecourse.fleet.durable_claim import DurableClaim, LogClaim
from ochrecourse.fleet.entries import Timestamp
from ochrecourse.fleet.journal_writer import MAX_WAITING_RECORDS, STALLED_AFTER_S
from ochrecourse.fleet.log_store import LogStore
from ochrecourse.fleet.log import LogLimits, Log
from ochrecourse.fleet.wanted_appends import MAX_ENTRIES_PER_BEAT, WantedAppends, WantedEntry
from ochrecourse.storage.journal import FileJournal, MemoryJournal

WALL, SECOND = 1_700_000_000_000, 1_000_000_000
FAILED = OSError(5, "Input/output error")


class Disk(MemoryJournal):
    """A journal that counts its syncs; `durable`: the records that survive a power failure."""

    def __init__(self):
        super().__init__()
        self.syncs, self.durable, self.error = 0, [], None

    def sync(self):
        self.syncs += 1
        if self.error is not None:
            raise self.error
        self.durable = list(self.stored)

    def rewrite(self, records):
        super().rewrite(records)
        self.durable = list(self.stored)


class HeldWorker:
    """A disk worker that runs an operation when the test calls `end`."""

    def __init__(self):
        self.operations = []

    def run(self, operation, on_done):
        self.operations.append((operation, on_done))

    def wait(self, timeout_s):
        while self.operations:
            self.end()
        return True

    def end(self):
        operation, on_done = self.operations.pop(0)
        try:
            operation()
        except OSError as error:
            on_done(error)
        else:
            on_done(None)


class Member:
    """One gateway's log whose disk operations end on demand."""

    def __init__(self, journal=None, incarnation=1):
        self.now, self.worker, self.results = 0, HeldWorker(), []
        self.disk = journal or Disk()
        self.store = LogStore(self.disk, "a", LogLimits(), WALL, incarnation, self.worker, lambda: self.now)
        self.log = self.store.log

    def append(self, value, channel="c"):
        self.store.request_append(channel, value, WALL + self.now // 1_000_000, False, self.results.append)

    def seqs(self):
        return [result.entry.seq for result in self.results if result.entry is not None]

    def merge(self, *values):
        peer = Log("b", 1, LogLimits())
        for value in values:
            peer.append("d", value, WALL)
        self.store.merge(peer.missing_entries({}, 99, 1 << 20), WALL)


def recovered(records):
    journal = MemoryJournal()
    journal.stored = list(records)
    return LogStore(journal, "a", LogLimits(), WALL + 1, 9).log


def test_an_append_is_visible_and_confirmed_once_it_is_durable():
    """Guards against an entry that a power failure removes after peers, readers or its writer have received it."""
    member = Member()
    member.append("first")
    assert not member.log.vector() and not member.results and not member.log.events("c")
    member.worker.end()
    assert member.seqs() == [1] and member.log.vector() == {("a", member.log.incarnation): 1}
    assert recovered(member.disk.durable).events("c") == member.log.events("c")


def test_records_written_during_a_sync_are_covered_by_the_next_one_in_order():
    member = Member()
    for value in range(20):
        member.append(value)
    member.merge("others")
    member.worker.end()
    member.worker.end()
    assert member.disk.syncs == 2 and not member.worker.operations
    assert member.seqs() == list(range(1, 21))
    assert [entry.seq for entry in recovered(member.disk.durable).events("c")] == list(range(1, 21))


def test_drafts_follow_each_other_and_name_a_cause_once():
    member = Member()
    member.merge("one", "two")
    member.append(1)
    member.append(2)
    member.worker.wait(0)
    first, second = (result.entry for result in member.results)
    assert first.cause == (("b", 1, 2),) and second.cause == () and first.at < second.at
    member.append(3)
    member.merge("one", "two", "three")  # merged while the draft is being written
    member.append(4)
    member.worker.wait(0)
    assert [result.entry.cause for result in member.results[2:]] == [(), (("b", 1, 3),)]


def test_a_failed_sync_fails_all_waiting_appends_and_their_numbers_are_reused_after_a_rewrite():
    """Guards against a number with two bodies: failed records may be in the file."""
    member = Member()
    member.append("durable")
    member.worker.end()
    member.disk.error = FAILED
    for value in ("x", "y", "z"):
        member.append(value)
    member.worker.end()
    assert [result.error for result in member.results[1:]] == [FAILED] * 3 and not member.worker.operations
    member.disk.error = None
    member.append("again")
    member.worker.wait(0)
    assert member.results[-1].entry.seq == 2
    assert [entry.body for entry in recovered(member.disk.durable).events("c")] == [b'"durable"', b'"again"']


def test_no_promise_exceeds_an_append_that_is_not_durable():
    """Guards against an entry at or before a frontier that peers derived from this gateway's promise."""
    member = Member()
    member.store.promise(WALL)
    member.worker.wait(0)
    promises = [member.store.promise(WALL + 100)]
    for value in range(5):
        member.append(value)
        promises.append(member.store.promise(WALL + 200 + 100 * value))
    member.worker.end()
    assert member.seqs() == [1] and promises[-1] < member.results[0].entry.at
    after = member.store.promise(WALL + 900)  # limited by the next append, which is being written
    member.worker.wait(0)
    assert member.results[0].entry.at <= after < member.results[1].entry.at and promises == sorted(promises)
    assert member.store.promise(WALL + 901) > member.results[-1].entry.at


def test_the_promise_advances_while_some_append_always_waits():
    """Guards against a stability frontier that stops while one gateway with a slow disk appends."""
    member, promises = Member(), []
    for second in range(20):
        member.now = second * SECOND
        member.append(second)
        promises.append(member.store.promise(WALL + 1000 * second))
        if second % 2 and member.worker.operations:
            member.worker.end()
    assert promises[-1].ms > WALL + 15_000


def test_the_limit_of_promises_is_recorded_in_advance_and_never_exceeded():
    member = Member()
    member.store.promise(WALL)
    member.worker.wait(0)
    promises = [
        member.store.promise(WALL + ms) for ms in range(0, 5000, 250)
    ]  # the disk has stopped responding
    assert promises[:5] == [
        Timestamp(WALL + ms, 0) for ms in range(0, 1250, 250)
    ]  # syncs of up to a second delay nothing
    again = recovered(member.disk.durable)
    assert all(again.clock >= promise for promise in promises) and promises == sorted(promises)


def test_a_heartbeat_repeats_the_last_durable_claim_during_a_sync():
    """Guards against a claim to store entries that a power failure removes."""
    member = Member()
    claim = DurableClaim(member.store)
    old, middle, new = (LogClaim(1, b"%d" % i, Timestamp(i, 0)) for i in range(1, 4))
    assert claim.update(old) == old  # no write is outstanding
    member.merge("one")
    assert claim.update(middle) == old
    assert claim.update(new) == old  # one sync at a time is requested
    member.worker.wait(0)
    assert claim.update(new) == new
    member.merge("one", "two")
    assert (
        claim.update(LogClaim(2, b"another life")) is None
    )  # a claim of the previous incarnation may no longer be true


def test_appends_are_rejected_with_a_reason_if_too_many_wait_for_the_disk():
    member = Member()
    for value in range(MAX_WAITING_RECORDS + 1):  # the first one is under way
        member.append(value)
    with pytest.raises(OSError, match=f"{MAX_WAITING_RECORDS} records wait for the disk, no more are taken"):
        member.append("one more")
    member.worker.wait(0)
    assert (
        len(member.results) == MAX_WAITING_RECORDS + 1 and member.log.drafts == member.log.drafts.__class__()
    )
    member.append("goes on")
    member.worker.wait(0)
    assert member.results[-1].entry.seq == MAX_WAITING_RECORDS + 2


def test_merges_with_an_unresponsive_disk_use_bounded_memory_and_are_written_once_it_responds(monkeypatch):
    monkeypatch.setattr(journal_writer, "MAX_WAITING_BYTES", 2000)
    member = Member()
    member.append("first")
    member.merge(*(f"{value} of many" * 9 for value in range(50)))
    member.merge(*(f"{value} of many" * 9 for value in range(60)))
    member.append("second") if member.store.writer.waiting().size < 2000 else None
    assert member.store.writer.waiting().size < 20_000
    member.worker.wait(0)
    assert recovered(member.disk.durable).vector() == member.log.vector()


def test_an_unresponsive_disk_rejects_appends_after_the_time_limit_and_all_else_continues():
    member = Member()
    member.append("waits")
    member.now = STALLED_AFTER_S * SECOND - 1
    member.store.check_stalled()
    assert not member.results
    member.now += 1
    member.store.check_stalled()
    assert "has not answered for" in str(member.results[0].error) and not member.log.drafts
    with pytest.raises(OSError, match="has not answered for"):
        member.append("refused")
    member.merge("others")
    assert member.store.is_durable  # it does not stop the frontier
    assert member.store.notes == [
        f"journal of the fleet can't be written: the disk has not answered for {STALLED_AFTER_S} s"
    ]
    member.worker.wait(0)  # it responds after all: rejected records are not in the file
    member.append("again")
    member.worker.wait(0)
    again = recovered(member.disk.durable)
    assert [entry.body for entry in again.events("c")] == [b'"again"'] and len(again.events("d")) == 1


def test_release_waits_for_the_operation_under_way_and_fails_the_rest():
    member = Member()
    given = []
    member.append("under way")
    member.append("waits")
    member.store.release(lambda: given.append(True))
    assert not given and str(member.results[0].error) == "the journal is another process's"
    member.worker.end()
    assert member.seqs() == [1] and not given
    member.worker.end()
    assert given and not member.worker.operations


def test_a_rewrite_under_way_does_not_replace_the_next_process_s_file(tmp_path, monkeypatch):
    """Guards against a commit that ends after the journal was released."""
    monkeypatch.setattr(log_store_module, "MIN_REWRITE_BYTES", 100)
    path = tmp_path / "a.log"
    member = Member(FileJournal(path, "fleet", 1))
    for value in range(40):
        member.append(f"{value}" * 9)
    member.worker.wait(0)
    member.log.advance_frontier(Timestamp(1 << 60, 0))
    member.store.compact("c", Timestamp(WALL + 1, 0), "all")
    member.worker.wait(0)
    member.store.maintain(1 << 20)  # its last step is under way
    given = []
    member.store.release(lambda: given.append(True))
    member.store.abandon()
    LogStore(FileJournal(path, "fleet", 1), "a", LogLimits(), WALL, 2).append("c", "the successor's", WALL)
    content = path.read_bytes()
    member.worker.wait(0)
    assert path.read_bytes() == content and given


# --- any order of appends, merges, rewrites and ends of operations, with a power failure at the end ---


class SwapsRecords(log_store_module.JournalWriter):
    """A seeded defect: waiting records are written in reverse order."""

    def _append_operation(self):
        self._waiting.reverse()
        return super()._append_operation()


class ConfirmsTooEarly(log_store_module.JournalWriter):
    """A seeded defect: an append is confirmed before it is durable."""

    def write(self, records, in_content, on_durable=None):
        super().write(records, in_content)
        if on_durable is not None:
            on_durable(None)


class DropsRecordsDuringRewrite(log_store_module.Renewal):
    """A seeded defect: records written during a rewrite are only in the old journal."""

    def step(self, most):
        self.appended_since.clear()
        return super().step(most)


moves = st.lists(
    st.sampled_from(["append", "append", "merge", "end", "end", "step", "rewrite", "fail", "promise"]),
    max_size=40,
)


def holds(steps):
    """Whether all confirmed entries, claims and promises are still valid after a power failure at the end."""
    member, values, claimed_vector, greatest_promise = Member(), 0, {}, Timestamp(0, 0)
    for step in steps:
        if step == "append":
            member.append(values := values + 1)
        elif step == "merge":
            values += 1
            member.merge(*range(values))
            stored = dict(member.log.vector())
            member.store.sync(
                lambda error, stored=stored: claimed_vector.update(stored) if error is None else None
            )
        elif step == "end" and member.worker.operations:
            member.worker.end()
        elif step == "step":
            member.store.maintain(100)
        elif step == "rewrite":
            member.store.writer.begin_rewrite()
        elif step == "fail":
            member.disk.error = None if member.disk.error else FAILED
        elif step == "promise" and member.disk.error is None and member.store.writer.intact:
            greatest_promise = max(greatest_promise, member.store.promise(WALL + 100 * values))
    confirmed = {entry.seq: entry for result in member.results if (entry := result.entry) is not None}
    again = recovered(member.disk.durable)
    own = {entry.seq: entry for entry in again.events("c")}
    found = again.vector()
    return (
        all(own.get(seq) == entry for seq, entry in confirmed.items())
        and sorted(confirmed) == list(range(1, len(confirmed) + 1))
        and all(found.get(stream, 0) >= seq for stream, seq in claimed_vector.items())
        and again.clock >= greatest_promise
    )


@given(moves)
def test_any_order_of_writes_and_ends_keeps_what_was_answered(steps):
    assert holds(steps)


def drawn(count):
    chance = random.Random(5)
    kinds = ["append", "append", "merge", "end", "end", "step", "rewrite", "promise"]
    return [[chance.choice(kinds) for _ in range(30)] for _ in range(count)]


@pytest.mark.parametrize("mistake", [SwapsRecords, ConfirmsTooEarly, DropsRecordsDuringRewrite])
def test_a_seeded_defect_is_detected(mistake, monkeypatch):
    assert all(map(holds, drawn(60)))
    monkeypatch.setattr(
        log_store_module, "Renewal" if mistake is DropsRecordsDuringRewrite else "JournalWriter", mistake
    )
    assert not all(map(holds, drawn(60)))


# --- entries that a source wants appended ---


def test_a_source_is_asked_again_only_after_its_entry_is_in_the_log():
    """Guards against an entry that is appended twice because its source does not see it yet."""
    left, ends = [WantedEntry("c", value) for value in range(3)], []
    appends = WantedAppends(
        lambda: left[0] if left else None, lambda wanted, ended: ends.append((wanted, ended))
    )
    appends.beat()
    appends.beat()
    assert [wanted.value for wanted, _ in ends] == [0]
    left.pop(0)
    ends[0][1](True)
    assert [wanted.value for wanted, _ in ends] == [0, 1]
    ends[1][1](False)  # rejected: requested again at the next heartbeat
    assert len(ends) == 2
    appends.beat()
    assert [wanted.value for wanted, _ in ends] == [0, 1, 1]


def test_an_endless_source_appends_a_limited_number_per_heartbeat():
    count = []
    appends = WantedAppends(lambda: WantedEntry("c", 1), lambda wanted, ended: (count.append(1), ended(True)))
    appends.beat()
    assert len(count) == MAX_ENTRIES_PER_BEAT
