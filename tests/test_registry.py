"""The registry state against a reference registry: lost connections, compaction, stale servers, restores."""

import copy
import pickle

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from minicheck import Protocol, check_safety

from ochrecourse.membership.registry_state import (
    RangePage,
    RangeRequest,
    RegistryRecord,
    RegistryState,
    SyncPhase,
    UntrustedRegistryError,
    WatchEvent,
    WatchRequest,
)

pytestmark = pytest.mark.long
KEYS = [b"n/a", b"n/b", b"n/c"]
CLUSTER = 7


class Store:
    """A reference registry: all changes by revision, and the revision up to which it was compacted."""

    def __init__(self):
        self.revision = 1
        self.log = []  # changes, a revision each
        self.compacted = 0

    def put(self, key, value):
        self.revision += 1
        self.log.append(WatchEvent(key, value, self.revision))

    def at(self, revision):
        records = {}
        for change in self.log:
            if change.mod_revision <= revision:
                records[change.key] = change
        return {key: change for key, change in records.items() if change.value is not None}

    def page(self, start, revision, limit=2):
        """Returns a page of the range, or None if the revision was compacted."""
        if revision and revision < self.compacted:
            return None
        records = sorted(
            (key, each) for key, each in self.at(revision or self.revision).items() if key >= start
        )
        page = [RegistryRecord(key, each.value, each.mod_revision) for key, each in records[:limit]]
        return RangePage(CLUSTER, self.revision, page, len(records) > limit)

    def since(self, revision):
        return [change for change in self.log if change.mod_revision >= revision]


class Reader:
    """A registry state, a copy built from the events that it returned, and a connection to one server at a time."""

    def __init__(self):
        self.registry = RegistryState(b"n/")
        self.copy = {}
        self.watching = -1  # the next revision of the stream, -1 without one

    def apply(self, events):
        for change in events or ():
            if change.value is None:
                assert change.key in self.copy, "a key was deleted twice"
                del self.copy[change.key]
            else:
                assert self.copy.get(change.key) != (change.value, change.mod_revision), (
                    "a change was returned twice"
                )
                self.copy[change.key] = (change.value, change.mod_revision)

    def exchange(self, server):
        """Sends the next request to a server and applies its response."""
        request = self.registry.next_request()
        try:
            if isinstance(request, RangeRequest):
                page = server.page(request.start_key, request.revision)
                if page is None:
                    self.registry.compacted()
                else:
                    self.apply(self.registry.page_received(page))
            elif self.watching < 0:
                if request.start_revision <= server.compacted:
                    self.registry.compacted()
                else:
                    self.registry.verify_server(CLUSTER, server.revision)
                    self.watching = request.start_revision
            else:
                changes = server.since(self.watching)[:1]
                if changes:
                    self.watching = changes[0].mod_revision + 1
                    self.apply(self.registry.events_received(CLUSTER, changes))
        except UntrustedRegistryError:
            self.disconnect()

    def disconnect(self):
        self.watching = -1
        self.registry.connection_lost()

    def is_consistent(self, store):
        """Whether the state, and the copy built from events, equal the store's content at the known revision."""
        expected = {
            key: (each.value, each.mod_revision)
            for key, each in store.at(self.registry.known_revision).items()
        }
        return (
            self.copy
            == expected
            == {key: (each.value, each.mod_revision) for key, each in self.registry.records.items()}
        )


class RegistryMachine(RuleBasedStateMachine):
    """A store that changes, a server of it that lags behind, and a reader whose connection is lost at any point."""

    @initialize()
    def begin(self):
        self.store, self.stale_server, self.reader, self.known = Store(), Store(), Reader(), 0

    @rule(key=st.sampled_from(KEYS), value=st.sampled_from([b"1", b"2", None]))
    def change(self, key, value):
        self.store.put(key, value)

    @rule()
    def compact(self):
        self.store.compacted = self.store.revision

    @rule()
    def catch_up(self):
        self.stale_server = copy.deepcopy(self.store)

    @rule(times=st.integers(1, 6))
    def exchange(self, times):
        for _ in range(times):
            self.reader.exchange(self.store)

    @rule()
    def exchange_with_stale_server(self):
        self.reader.disconnect()
        self.reader.exchange(self.stale_server)
        if self.reader.watching >= 0:
            self.reader.exchange(self.stale_server)
        self.reader.disconnect()

    @rule()
    def disconnect(self):
        self.reader.disconnect()

    @invariant()
    def state_matches_the_known_revision_which_never_decreases(self):
        if not hasattr(self, "reader"):
            return
        registry = self.reader.registry
        assert registry.known_revision >= self.known
        self.known = registry.known_revision
        if registry.known_revision:
            assert self.reader.is_consistent(self.store)

    @rule()
    def catches_up_over_an_intact_connection(self):
        for _ in range(len(self.store.log) + 12):
            self.reader.exchange(self.store)
        assert {key: value for key, (value, _) in self.reader.copy.items()} == {
            key: each.value for key, each in self.store.at(self.store.revision).items()
        }


RegistryMachine.TestCase.settings = settings(max_examples=150, stateful_step_count=40, deadline=None)
TestRegistryMachine = RegistryMachine.TestCase


# --- all interleavings up to a depth ---


class ModelState:
    def __init__(self):
        self.store, self.stale_server, self.reader, self.known = Store(), Store(), Reader(), 0

    def actions(self):
        def put(key, value):
            self.store.put(key, value)

        actions = [
            ("server", lambda: self.reader.exchange(self.store)),
            ("lose", self.reader.disconnect),
            (
                "behind",
                lambda: (
                    self.reader.disconnect(),
                    self.reader.exchange(self.stale_server),
                    self.reader.disconnect(),
                ),
            ),
        ]
        if self.store.revision < 5:
            actions += [
                (f"put {key} {value}", lambda k=key, v=value: put(k, v))
                for key in KEYS[:2]
                for value in (b"1", None)
            ]
        if self.store.compacted < self.store.revision:
            actions.append(("compact", lambda: setattr(self.store, "compacted", self.store.revision)))
        return actions


def registry_protocol(make, depth):
    start = ModelState()
    start.reader.registry = make(b"n/")

    def successors(state):
        data, level, _ = state
        if level >= depth:
            return []
        next_states = []
        for i, (name, _) in enumerate(pickle.loads(data).actions()):
            model = pickle.loads(data)
            known_before, wrong = model.reader.registry.known_revision, ""
            try:
                model.actions()[i][1]()
            except AssertionError as error:
                wrong = str(error)
            if model.reader.registry.known_revision < known_before:
                wrong = "the known revision decreased"
            model.reader.registry.counts = dict.fromkeys(model.reader.registry.counts, 0)
            next_states.append((name, (pickle.dumps(model), level + 1, wrong)))
        return next_states

    def is_consistent(fields):
        model = pickle.loads(fields["world"])
        return not model.reader.registry.known_revision or model.reader.is_consistent(model.store)

    return Protocol(
        name="registry", candidate=False, fields=("world", "level", "wrong"), initial=(pickle.dumps(start), 0, ""), transitions=successors,
        invariants={"right at its revision": is_consistent, "no change twice, revision never decreases": lambda fields: not fields["wrong"]},
    )  # fmt: skip


def test_no_interleaving_gives_a_wrong_state_or_applies_an_event_twice():
    result = check_safety(registry_protocol(RegistryState, 6), max_states=500_000)
    assert all(each["holds"] for each in result["properties"].values()), result["properties"]


class WatchFromServerRevision(RegistryState):
    """A seeded mistake: a watch starts at the server's revision instead of the known one."""

    def verify_server(self, cluster, revision):
        super().verify_server(cluster, revision)
        self.known_revision = revision


def test_the_checker_finds_a_watch_that_starts_too_late():
    result = check_safety(registry_protocol(WatchFromServerRevision, 6), max_states=500_000)
    assert not result["properties"]["right at its revision"]["holds"]


# --- single rules ---


def read_registry(records=(), revision=5):
    registry = RegistryState(b"n/")
    events = registry.page_received(RangePage(CLUSTER, revision, list(records), False))
    return registry, events


def test_a_range_is_pinned_to_its_first_page_and_applied_completely():
    registry = RegistryState(b"n/")
    assert registry.next_request() == RangeRequest(b"n/", 0)
    assert registry.page_received(RangePage(CLUSTER, 5, [RegistryRecord(b"n/a", b"1", 2)], True)) is None
    assert registry.next_request() == RangeRequest(b"n/a\0", 5)
    assert registry.page_received(RangePage(CLUSTER, 9, [RegistryRecord(b"n/b", b"1", 4)], False)) == [
        WatchEvent(b"n/a", b"1", 2),
        WatchEvent(b"n/b", b"1", 4),
    ]
    assert registry.next_request() == WatchRequest(
        6
    )  # right after the first page's revision, whatever the revision of the second page's server


def test_a_lost_connection_between_pages_restarts_the_range():
    registry = RegistryState(b"n/")
    registry.page_received(RangePage(CLUSTER, 5, [RegistryRecord(b"n/a", b"1", 2)], True))
    registry.connection_lost()
    assert registry.next_request() == RangeRequest(b"n/", 0) and registry.records == {}


@pytest.mark.parametrize(("cluster", "revision", "why"), [(8, 9, "cluster"), (CLUSTER, 4, "behind")])
def test_a_server_that_is_behind_or_of_another_cluster_is_not_trusted(cluster, revision, why):
    registry, _ = read_registry([RegistryRecord(b"n/a", b"1", 2)])
    with pytest.raises(UntrustedRegistryError, match=why):
        registry.verify_server(cluster, revision)
    assert why in registry.distrust_reason and registry.records and registry.next_request() == WatchRequest(6)
    registry.verify_server(CLUSTER, 5)
    assert not registry.distrust_reason


def test_a_page_from_a_server_behind_the_first_pages_is_not_mixed_in():
    registry = RegistryState(b"n/")
    registry.page_received(RangePage(CLUSTER, 5, [RegistryRecord(b"n/a", b"1", 2)], True))
    with pytest.raises(UntrustedRegistryError):
        registry.page_received(RangePage(CLUSTER, 4, [], False))
    assert registry.next_request() == RangeRequest(b"n/", 0) and not registry.records


def test_repeated_and_older_events_are_ignored_even_after_a_key_was_deleted():
    registry, _ = read_registry([RegistryRecord(b"n/a", b"1", 2)])
    assert registry.events_received(CLUSTER, [WatchEvent(b"n/a", None, 6)]) == [WatchEvent(b"n/a", None, 6)]
    assert registry.events_received(CLUSTER, [WatchEvent(b"n/a", b"1", 2), WatchEvent(b"n/a", None, 6)]) == []
    assert (
        registry.events_received(CLUSTER, [WatchEvent(b"n/a", b"3", 7)]) == [WatchEvent(b"n/a", b"3", 7)]
        and registry.known_revision == 7
    )
    assert registry.counts["repeats"] == 2


def test_after_a_compaction_the_difference_becomes_events():
    registry, _ = read_registry([RegistryRecord(b"n/a", b"1", 2), RegistryRecord(b"n/b", b"1", 3)])
    registry.compacted()
    assert (
        registry.phase is SyncPhase.RANGE and registry.records
    )  # known records remain until the range is complete
    events = registry.page_received(
        RangePage(CLUSTER, 9, [RegistryRecord(b"n/b", b"2", 8), RegistryRecord(b"n/c", b"1", 9)], False)
    )
    assert events == [WatchEvent(b"n/a", None, 9), WatchEvent(b"n/b", b"2", 8), WatchEvent(b"n/c", b"1", 9)]


def test_a_restored_registry_is_used_only_once_an_operator_accepts_it():
    registry, _ = read_registry([RegistryRecord(b"n/a", b"1", 2), RegistryRecord(b"n/b", b"1", 3)])
    registry.compacted()
    with pytest.raises(UntrustedRegistryError):
        registry.page_received(RangePage(9, 2, [RegistryRecord(b"n/a", b"1", 2)], False))
    assert set(registry.records) == {b"n/a", b"n/b"}
    registry.accept_registry()
    assert registry.next_request() == RangeRequest(b"n/", 0) and set(registry.records) == {b"n/a", b"n/b"}
    assert registry.page_received(RangePage(9, 2, [RegistryRecord(b"n/a", b"1", 2)], False)) == [
        WatchEvent(b"n/b", None, 2),
        WatchEvent(b"n/a", b"1", 2),
    ]
    assert registry.cluster_id == 9 and registry.next_request() == WatchRequest(3)
