"""The registry's state against a reference registry: breaks, compaction, servers that are behind, restores."""

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
    """A reference registry: all changes by revision, and how far it was compacted."""

    def __init__(self):
        self.revision = 1
        self.log = []  # changes, a revision each
        self.compacted = 0

    def put(self, key, value):
        self.revision += 1
        self.log.append(WatchEvent(key, value, self.revision))

    def at(self, revision):
        held = {}
        for change in self.log:
            if change.mod_revision <= revision:
                held[change.key] = change
        return {key: change for key, change in held.items() if change.value is not None}

    def page(self, start, revision, most=2):
        """Cluster, revision, records and whether there is more; None: compacted."""
        if revision and revision < self.compacted:
            return None
        held = sorted((key, each) for key, each in self.at(revision or self.revision).items() if key >= start)
        records = [RegistryRecord(key, each.value, each.mod_revision) for key, each in held[:most]]
        return RangePage(CLUSTER, self.revision, records, len(held) > most)

    def since(self, revision):
        return [change for change in self.log if change.mod_revision >= revision]


class Reader:
    """A registry's state, the events that it returned put together, and a connection to one server at a time."""

    def __init__(self):
        self.registry = RegistryState(b"n/")
        self.copy = {}
        self.watching = -1  # the next revision of the stream, -1 without one

    def take(self, told):
        for change in told or ():
            if change.value is None:
                assert change.key in self.copy, "told twice that it is gone"
                del self.copy[change.key]
            else:
                assert self.copy.get(change.key) != (change.value, change.mod_revision), "told twice"
                self.copy[change.key] = (change.value, change.mod_revision)

    def go(self, server):
        """One exchange with a server."""
        asked = self.registry.next_request()
        try:
            if isinstance(asked, RangeRequest):
                page = server.page(asked.start_key, asked.revision)
                if page is None:
                    self.registry.compacted()
                else:
                    self.take(self.registry.page_received(page))
            elif self.watching < 0:
                if asked.start_revision <= server.compacted:
                    self.registry.compacted()
                else:
                    self.registry.verify_server(CLUSTER, server.revision)
                    self.watching = asked.start_revision
            else:
                changes = server.since(self.watching)[:1]
                if changes:
                    self.watching = changes[0].mod_revision + 1
                    self.take(self.registry.events_received(CLUSTER, changes))
        except UntrustedRegistryError:
            self.lose()

    def lose(self):
        self.watching = -1
        self.registry.connection_lost()

    def right(self, store):
        """What is held is what the store held at the revision that is known."""
        held = {
            key: (each.value, each.mod_revision)
            for key, each in store.at(self.registry.known_revision).items()
        }
        return (
            self.copy
            == held
            == {key: (each.value, each.mod_revision) for key, each in self.registry.records.items()}
        )


class Followed(RuleBasedStateMachine):
    """A store that changes, one of whose servers is behind, and a reader whose connection breaks anywhere."""

    @initialize()
    def begin(self):
        self.store, self.behind, self.reader, self.known = Store(), Store(), Reader(), 0

    @rule(key=st.sampled_from(KEYS), value=st.sampled_from([b"1", b"2", None]))
    def change(self, key, value):
        self.store.put(key, value)

    @rule()
    def compact(self):
        self.store.compacted = self.store.revision

    @rule()
    def catch_up(self):
        self.behind = copy.deepcopy(self.store)

    @rule(times=st.integers(1, 6))
    def go(self, times):
        for _ in range(times):
            self.reader.go(self.store)

    @rule()
    def go_behind(self):
        self.reader.lose()
        self.reader.go(self.behind)
        if self.reader.watching >= 0:
            self.reader.go(self.behind)
        self.reader.lose()

    @rule()
    def lose(self):
        self.reader.lose()

    @invariant()
    def it_holds_what_was_true_at_the_revision_that_it_knows_and_never_goes_back(self):
        if not hasattr(self, "reader"):
            return
        registry = self.reader.registry
        assert registry.known_revision >= self.known
        self.known = registry.known_revision
        if registry.known_revision:
            assert self.reader.right(self.store)

    @rule()
    def it_catches_up_once_the_connection_holds(self):
        for _ in range(len(self.store.log) + 12):
            self.reader.go(self.store)
        assert {key: value for key, (value, _) in self.reader.copy.items()} == {
            key: each.value for key, each in self.store.at(self.store.revision).items()
        }


Followed.TestCase.settings = settings(max_examples=150, stateful_step_count=40, deadline=None)
TestFollowed = Followed.TestCase


# --- all interleavings to a depth ---


class World:
    def __init__(self):
        self.store, self.behind, self.reader, self.known = Store(), Store(), Reader(), 0

    def moves(self):
        def put(key, value):
            self.store.put(key, value)

        moves = [
            ("server", lambda: self.reader.go(self.store)),
            ("lose", self.reader.lose),
            ("behind", lambda: (self.reader.lose(), self.reader.go(self.behind), self.reader.lose())),
        ]
        if self.store.revision < 5:
            moves += [
                (f"put {key} {value}", lambda k=key, v=value: put(k, v))
                for key in KEYS[:2]
                for value in (b"1", None)
            ]
        if self.store.compacted < self.store.revision:
            moves.append(("compact", lambda: setattr(self.store, "compacted", self.store.revision)))
        return moves


def explored(make, depth):
    start = World()
    start.reader.registry = make(b"n/")

    def successors(state):
        data, level, _ = state
        if level >= depth:
            return []
        after = []
        for i, (name, _) in enumerate(pickle.loads(data).moves()):
            world = pickle.loads(data)
            before, wrong = world.reader.registry.known_revision, ""
            try:
                world.moves()[i][1]()
            except AssertionError as trouble:
                wrong = str(trouble)
            if world.reader.registry.known_revision < before:
                wrong = "it went back"
            world.reader.registry.counts = dict.fromkeys(world.reader.registry.counts, 0)
            after.append((name, (pickle.dumps(world), level + 1, wrong)))
        return after

    def right(fields):
        world = pickle.loads(fields["world"])
        return not world.reader.registry.known_revision or world.reader.right(world.store)

    return Protocol(
        name="registry", candidate=False, fields=("world", "level", "wrong"), initial=(pickle.dumps(start), 0, ""), transitions=successors,
        invariants={"right at its revision": right, "no change twice, never back": lambda fields: not fields["wrong"]},
    )  # fmt: skip


def test_no_interleaving_shows_what_never_was_or_applies_an_event_twice():
    result = check_safety(explored(RegistryState, 6), max_states=500_000)
    assert all(each["holds"] for each in result["properties"].values()), result["properties"]


class Hasty(RegistryState):
    """A seeded mistake: a watch begins at the revision that the server told, not at what is known here."""

    def verify_server(self, cluster, revision):
        super().verify_server(cluster, revision)
        self.known_revision = revision


def test_the_checker_finds_a_watch_that_begins_too_late():
    result = check_safety(explored(Hasty, 6), max_states=500_000)
    assert not result["properties"]["right at its revision"]["holds"]


# --- one by one ---


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
    )  # after the first page's revision, whatever the second one's server had


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


def test_repeats_and_older_events_do_nothing_even_after_a_key_was_deleted():
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
    )  # what is known holds until the range is whole
    events = registry.page_received(
        RangePage(CLUSTER, 9, [RegistryRecord(b"n/b", b"2", 8), RegistryRecord(b"n/c", b"1", 9)], False)
    )
    assert events == [WatchEvent(b"n/a", None, 9), WatchEvent(b"n/b", b"2", 8), WatchEvent(b"n/c", b"1", 9)]


def test_a_restored_registry_is_accepted_only_when_an_operator_says_so():
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
