"""Simulated days of WebDAV clients on a virtual clock: the rules of the native protocol hold, and no write is lost."""

import msgspec
import pytest

from ochrecourse.audit.judge import audit
from ochrecourse.storage.journal import MemoryJournal
from ochrecourse.lab import play
from ochrecourse.lab.days import bad_evening, one_trouble
from ochrecourse.lab.figures import figures_of
from ochrecourse.lab.people import overlapping
from ochrecourse.lab.play import VirtualPlay
from ochrecourse.webdav.deduplication import ActiveRequest, Disposition, RequestDeduplicator


pytestmark = pytest.mark.long


def short_day(kind, seed=1, length=6.0):
    day = one_trouble(kind, seed)
    troubles = [msgspec.structs.replace(each, at_s=1.0, len_s=3.0) for each in day.troubles]
    return msgspec.structs.replace(day, length_s=length, volumes_a_node=2.0, troubles=troubles)


def play_day(day, people=60):
    run = VirtualPlay(day, people=people)
    return run, run.run()


@pytest.mark.parametrize("kind", ["hang", "answer_lost", "preempt", "cut_answers", "balancer_roll", "vanish"])
def test_a_day_keeps_the_rules_over_both_protocols_and_loses_no_write(kind):
    day = short_day(kind)
    run, done = play_day(day)
    assert audit(figures_of(day, webdav=True), done.records).passes()
    assert audit(figures_of(day), VirtualPlay(day).run().records).passes()
    assert not run.people.faults and not overlapping(done.records)
    assert run.people.done and done.outcomes.endings["201"] > 100 and done.outcomes.endings["204"] > 50


def test_the_bad_evening_over_webdav():
    day = msgspec.structs.replace(bad_evening(3), volumes_a_node=2.0)
    run, done = play_day(day)
    verdict = audit(figures_of(day, webdav=True), done.records)
    assert verdict.passes(), verdict.lines()
    assert not run.people.faults and not overlapping(done.records)
    assert done.outcomes.endings["504"] and done.outcomes.endings["200 cut"] and done.outcomes.endings["503"]


def test_a_namespace_lost_with_its_process_is_detected(monkeypatch):
    class ForgetfulJournal(MemoryJournal):
        def records(self):
            return iter(())

    monkeypatch.setattr(play, "MemoryJournal", ForgetfulJournal)
    run, _ = play_day(short_day("balancer_roll"))
    assert any("was saved and is gone" in fault for fault in run.people.faults)


def test_a_write_published_before_a_node_has_stored_it_is_detected(monkeypatch):
    """A server that responds to a PUT before a node has stored it is detected by the client that reads it back."""
    from ochrecourse.webdav.request import WebDavRequest

    submit = WebDavRequest._submit

    def submit_unstored(self, parsed, size, key, shard, body):
        if body is None:
            submit(self, parsed, size, key, shard, body)
        else:
            self.served(0, 0, 0)

    monkeypatch.setattr(WebDavRequest, "_submit", submit_unstored)
    run, _ = play_day(short_day("hang"))
    assert any("was answered 502" in fault for fault in run.people.faults)


def test_duplicates_that_run_concurrently_are_detected(monkeypatch):
    def register(self, identity, number, now):
        self.active[identity] = self.by_number[number] = ActiveRequest(identity, number)
        return Disposition.RUN, 0

    monkeypatch.setattr(RequestDeduplicator, "register", register)
    _, done = play_day(short_day("slow"))
    assert overlapping(done.records)


def test_a_lock_that_is_not_enforced_is_detected(monkeypatch):
    monkeypatch.setattr("ochrecourse.webdav.locks.LockTable.check_write", lambda *_, **__: None)
    run, _ = play_day(short_day("slow"), 30)
    assert any("past its lock" in fault for fault in run.people.faults)


def test_the_same_seed_gives_the_same_run():
    runs = [play_day(short_day("answer_lost", length=3.0), 30)[1] for _ in range(2)]
    assert runs[0].records == runs[1].records and runs[0].counts == runs[1].counts
