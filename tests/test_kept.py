"""Names and locks in a journal: what a restarted process recovers, also from a damaged file."""

import errno
import os

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ochrecourse.storage.journal import SLOW_SYNC_S, JournalError, FileJournal, MemoryJournal
from ochrecourse.webdav.locks import LockConflictError, TooManyLocksError
from ochrecourse.webdav.namespace import Content, NamespaceError
from ochrecourse.webdav.state_store import InvalidRecordError, StateStore

SECOND = 1_000_000_000
NAMES = ["a", "b", "c"]
paths = st.lists(st.sampled_from(NAMES), min_size=1, max_size=3).map(tuple)


def open_store(journal, now=0, epoch=1000):
    count = iter(range(10**6))
    return StateStore(journal, lambda: f"urn:{now}:{next(count)}", now, epoch)


def visible_state(store, shift=0):
    """Returns the state visible to clients, with times shifted by `shift` ns."""
    tree = [
        (
            at,
            each.tag,
            each.created + shift,
            each.modified + shift,
            each.content,
            each.properties,
            each.empty,
            each.is_collection(),
        )
        for at, each in store.tree.walk((), -1)
    ]
    locks = sorted(
        (lock.token, lock.root, lock.exclusive, lock.infinite, lock.principal, lock.expires + shift)
        for lock in store.locks.by_token.values()
    )
    return tree, locks, store.tree.version, store.tree.size, +store.tree.used


def write_file(store, path, now):
    staged = store.tree.stage(path)
    return store.publish(staged, Content(staged.key + (1 << 40), 3, 10, "", "text/x"), now)


operations = st.one_of(
    st.tuples(st.just("put"), paths), st.tuples(st.just("make"), paths), st.tuples(st.just("delete"), paths),
    st.tuples(st.just("copy"), paths, paths, st.booleans(), st.booleans()), st.tuples(st.just("move"), paths, paths, st.booleans()),
    st.tuples(st.just("patch"), paths, st.text(max_size=3)), st.tuples(st.just("lock"), paths, st.booleans(), st.booleans()),
    st.tuples(st.just("unlock"), st.integers(0, 3)), st.tuples(st.just("refresh"), st.integers(0, 3)), st.tuples(st.just("later")),
)  # fmt: skip


def apply_operation(store, operation, now, tokens):
    kind, *more = operation
    try:
        if kind == "put":
            write_file(store, more[0], now)
        elif kind == "make":
            store.make_collection(more[0], now)
        elif kind == "delete":
            store.delete(more[0])
        elif kind == "copy":
            store.copy(*more, now)
        elif kind == "move":
            store.move(*more)
        elif kind == "patch":
            store.patch(more[0], {"x": more[1]}, [])
        elif kind == "lock":
            tokens.append(store.acquire(more[0], more[1], more[2], "<o/>", "me", 5 * SECOND, now))
        elif kind in ("unlock", "refresh") and more[0] < len(tokens):
            lock = tokens[more[0]]
            if kind == "unlock":
                store.release(lock.token, lock.root, "me", now)
            else:
                store.refresh(lock.token, lock.root, 9 * SECOND, now)
        elif kind == "later":
            store.expire(now + 10 * SECOND)
    except (NamespaceError, LockConflictError, TooManyLocksError):
        pass


@settings(max_examples=150, deadline=None)
@given(st.lists(operations, max_size=25), st.integers(0, 25))
def test_a_restart_recovers_the_visible_state(history, restart_at):
    """Restarts once in the middle and once at the end, on a clock with another zero: snapshot and records are replayed."""
    journal, tokens = MemoryJournal(), []
    store = open_store(journal)
    for i, operation in enumerate(history):
        if i == restart_at:
            store = open_store(journal, i * SECOND)
        apply_operation(store, operation, i * SECOND, tokens)
    restarted = open_store(journal, 7, epoch=900)
    assert visible_state(restarted, -100 * SECOND) == visible_state(store)


def test_keys_of_unpublished_writes_are_not_reused():
    journal = MemoryJournal()
    store = open_store(journal)
    write_file(store, ("a",), 1)
    unpublished_key = store.tree.stage(("a",)).key
    assert open_store(journal).tree.stage(("a",)).key > unpublished_key


def test_a_change_that_cannot_be_journaled_is_not_applied(tmp_path, monkeypatch):
    journal = FileJournal(tmp_path / "g0.tree", "webdav-tree", 1)
    store = open_store(journal)
    write_file(store, ("a",), 1)
    before = visible_state(store)
    write = os.write

    def failing_write(number, data):
        write(number, data[:5])
        raise OSError(errno.ENOSPC, "no space")

    monkeypatch.setattr(os, "write", failing_write)
    for change in (
        lambda: write_file(store, ("b",), 2),
        lambda: store.delete(("a",)),
        lambda: store.acquire(("a",), True, True, "", "me", SECOND, 2),
    ):
        with pytest.raises(OSError, match="no space"):
            change()
        assert visible_state(store) == before
    monkeypatch.undo()
    write_file(store, ("c",), 3)
    reopened = FileJournal(tmp_path / "g0.tree", "webdav-tree", 1)
    assert visible_state(open_store(reopened)) == visible_state(store) and not reopened.damage_reports


def test_nothing_is_appended_after_a_partial_record(tmp_path, monkeypatch):
    """Guards against losing records that follow a partial one which could not be truncated."""
    store = open_store(FileJournal(tmp_path / "t", "webdav-tree", 1))
    write = os.write
    monkeypatch.setattr(os, "write", lambda number, data: write(number, data[:5]))
    monkeypatch.setattr(os, "ftruncate", lambda *_: (_ for _ in ()).throw(OSError(errno.EIO, "broken")))
    with pytest.raises(OSError, match="5 of"):
        write_file(store, ("a",), 1)
    monkeypatch.undo()
    with pytest.raises(OSError, match="could not be mended"):
        write_file(store, ("a",), 1)
    assert open_store(FileJournal(tmp_path / "t", "webdav-tree", 1)).tree.find(("a",)) is None


@pytest.fixture
def journal_file(tmp_path):
    """A file with changes after its snapshot, its content, and the visible state after each change."""
    path = tmp_path / "t"
    store = open_store(FileJournal(path, "webdav-tree", 1))
    states = [visible_state(store)]
    for i, name in enumerate(NAMES):
        write_file(store, (name,), i)
        states.append(visible_state(store))
    return path, path.read_bytes(), states


def test_a_file_truncated_anywhere_yields_an_earlier_state(journal_file):
    path, data, states = journal_file
    head, found = data.index(b"\n") + 1, []
    for length in range(head, len(data) + 1):
        path.write_bytes(data[:length])
        journal = FileJournal(path, "webdav-tree", 1)
        state = visible_state(open_store(journal))
        if state not in states:
            assert (
                state[0][0][2] == 0 and len(state[0]) == 1
            )  # the snapshot itself was truncated: an empty tree
            state = states[0]
        found.append(states.index(state))
        assert length == len(data) or bool(journal.damage_reports) == (length not in boundaries(data))
        path.with_name("t.damaged").unlink(missing_ok=True)
    assert found == sorted(found) and found[-1] == len(NAMES)


def boundaries(data):
    at, found = data.index(b"\n") + 1, set()
    while at < len(data):
        found.add(at)
        at += 8 + int.from_bytes(data[at : at + 4], "big")
    return found | {at}


def test_a_flipped_bit_anywhere_is_reported_and_the_file_is_set_aside(journal_file):
    path, data, states = journal_file
    for at in range(data.index(b"\n") + 1, len(data)):
        corrupted = bytearray(data)
        corrupted[at] ^= 1 << (at % 8)
        path.write_bytes(corrupted)
        journal = FileJournal(path, "webdav-tree", 1)
        state = visible_state(open_store(journal))
        assert journal.damage_reports and path.with_name("t.damaged").read_bytes() == bytes(corrupted)
        assert state in states[:-1] or len(state[0]) == 1
        path.with_name("t.damaged").unlink()


@pytest.mark.parametrize(
    "head", [b"", b"\xff" * 300, b"ochrecourse webdav-tree 2\n", b"ochrecourse nodes 1 5 00000000\nx"]
)
def test_a_file_of_another_kind_is_not_modified(tmp_path, head):
    path = tmp_path / "t"
    path.write_bytes(head)
    with pytest.raises(JournalError, match="begins with"):
        open_store(FileJournal(path, "webdav-tree", 1))
    assert path.read_bytes() == head


def test_a_record_of_an_unknown_kind_raises_invalid_record():
    journal = MemoryJournal()
    journal.append(b"\x91\xa4Kind")
    with pytest.raises(InvalidRecordError, match="can't be read"):
        open_store(journal)


def test_a_lock_survives_a_restart_and_expires_on_time():
    journal = MemoryJournal()
    store = open_store(journal)
    write_file(store, ("a",), 1)
    lock = store.acquire(("a",), True, False, "", "me", 5 * SECOND, 1)
    store.acquire(("new",), True, False, "", "me", 5 * SECOND, 1)
    reopened = open_store(journal, 2 * SECOND)
    with pytest.raises(LockConflictError):
        reopened.locks.check_write(("a",), [], "me", 2 * SECOND)
    reopened.locks.check_write(("a",), [lock.token], "me", 2 * SECOND)
    later = open_store(journal, 9 * SECOND)
    later.locks.check_write(("a",), [], "other", 9 * SECOND)
    assert later.tree.find(("new",)) is None and later.tree.find(("a",)) is not None


def test_a_slow_sync_is_reported_with_its_duration(tmp_path, monkeypatch):
    # Guards against late answers without a known cause: a slow disk must be distinguishable from a busy machine.
    reported, synced, clock, duration_s = [], [], [100.0], [SLOW_SYNC_S / 2]

    def fake_fdatasync(descriptor):
        synced.append(descriptor)
        clock[0] += duration_s[0]

    monkeypatch.setattr("os.fdatasync", fake_fdatasync)
    monkeypatch.setattr("time.monotonic", lambda: clock[0])
    journal = FileJournal(tmp_path / "j", "webdav-tree", 1)
    journal.on_slow_sync = reported.append
    journal.rewrite([b"one"])
    assert synced and not reported and journal.worst_sync_s == pytest.approx(SLOW_SYNC_S / 2)
    duration_s[0] = 2 * SLOW_SYNC_S
    journal.append(b"two")
    journal.sync()
    journal.rewrite([b"three"])
    assert reported == [pytest.approx(2 * SLOW_SYNC_S)] * 2 and len(synced) == 3
    assert journal.worst_sync_s == pytest.approx(2 * SLOW_SYNC_S)
