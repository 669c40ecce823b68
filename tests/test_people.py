"""Whole days at the WebDAV doors on a virtual clock: the same rules as by the native framing, and no save lost."""

import msgspec
import pytest

from ochrecourse.audit.judge import audit
from ochrecourse.storage.journal import MemoryJournal
from ochrecourse.lab import play
from ochrecourse.lab.days import bad_evening, one_trouble
from ochrecourse.lab.figures import figures_of
from ochrecourse.lab.people import overlapping
from ochrecourse.lab.play import VirtualPlay
from ochrecourse.webdav.resends import Resends, Running, What


pytestmark = pytest.mark.long


def short(kind, seed=1, length=6.0):
    day = one_trouble(kind, seed)
    troubles = [msgspec.structs.replace(each, at_s=1.0, len_s=3.0) for each in day.troubles]
    return msgspec.structs.replace(day, length_s=length, volumes_a_node=2.0, troubles=troubles)


def played(day, people=60):
    run = VirtualPlay(day, people=people)
    return run, run.run()


@pytest.mark.parametrize("kind", ["hang", "answer_lost", "preempt", "cut_answers", "balancer_roll", "vanish"])
def test_a_day_has_the_same_verdict_through_both_framings_and_no_save_is_lost(kind):
    day = short(kind)
    run, done = played(day)
    assert audit(figures_of(day, webdav=True), done.records).passes()
    assert audit(figures_of(day), VirtualPlay(day).run().records).passes()
    assert not run.people.faults and not overlapping(done.records)
    assert run.people.done and done.outcomes.endings["201"] > 100 and done.outcomes.endings["204"] > 50


def test_the_bad_evening_at_the_doors():
    day = msgspec.structs.replace(bad_evening(3), volumes_a_node=2.0)
    run, done = played(day)
    verdict = audit(figures_of(day, webdav=True), done.records)
    assert verdict.passes(), verdict.lines()
    assert not run.people.faults and not overlapping(done.records)
    assert done.outcomes.endings["504"] and done.outcomes.endings["200 cut"] and done.outcomes.endings["503"]


def test_a_tree_that_is_lost_with_its_process_is_found(monkeypatch):
    class Forgets(MemoryJournal):
        def records(self):
            return iter(())

    monkeypatch.setattr(play, "MemoryJournal", Forgets)
    run, _ = played(short("balancer_roll"))
    assert any("was saved and is gone" in fault for fault in run.people.faults)


def test_a_save_that_is_shown_before_a_node_has_it_is_found(monkeypatch):
    """A door that answers as soon as it has the body: that no node has it is noticed by who reads it back."""
    from ochrecourse.webdav import door

    whole = door.Dav._ask

    def hasty(self, asked, size, key, shard, body):
        if body is None:
            whole(self, asked, size, key, shard, body)
        else:
            self.served(0, 0, 0)

    monkeypatch.setattr(door.Dav, "_ask", hasty)
    run, _ = played(short("hang"))
    assert any("was answered 502" in fault for fault in run.people.faults)


def test_resends_that_run_beside_each_other_are_found(monkeypatch):
    def came(self, same, number, now):
        self.running[same] = self.by_number[number] = Running(same, number)
        return What.RUNS, 0

    monkeypatch.setattr(Resends, "came", came)
    _, done = played(short("slow"))
    assert overlapping(done.records)


def test_a_lock_that_keeps_nobody_off_is_found(monkeypatch):
    monkeypatch.setattr("ochrecourse.webdav.locks.Locks.check_write", lambda *_, **__: None)
    run, _ = played(short("slow"), 30)
    assert any("past its lock" in fault for fault in run.people.faults)


def test_the_same_seed_gives_the_same_run():
    runs = [played(short("answer_lost", length=3.0), 30)[1] for _ in range(2)]
    assert runs[0].records == runs[1].records and runs[0].counts == runs[1].counts
