"""The registry feed against a reference registry: breaks, compaction, servers that are behind, restores."""

import copy
import pickle

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from minicheck import Protocol, check_safety

from ochrecourse.membership.registry_state import (
    Change,
    Feed,
    RangeAsked,
    Record,
    Stage,
    Untrusted,
    WatchAsked,
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
        self.log.append(Change(key, value, self.revision))

    def at(self, revision):
        held = {}
        for change in self.log:
            if change.changed <= revision:
                held[change.key] = change
        return {key: change for key, change in held.items() if change.value is not None}

    def page(self, start, revision, most=2):
        """Cluster, revision, records and whether there is more; None: compacted."""
        if revision and revision < self.compacted:
            return None
        held = sorted((key, each) for key, each in self.at(revision or self.revision).items() if key >= start)
        records = [Record(key, each.value, each.changed) for key, each in held[:most]]
        return CLUSTER, self.revision, records, len(held) > most

    def since(self, revision):
        return [change for change in self.log if change.changed >= revision]


class Reader:
    """A feed, what it told put together, and a connection to one server at a time."""

    def __init__(self):
        self.feed = Feed(b"n/")
        self.copy = {}
        self.watching = -1  # the next revision of the stream, -1 without one

    def take(self, told):
        for change in told or ():
            if change.value is None:
                assert change.key in self.copy, "told twice that it is gone"
                del self.copy[change.key]
            else:
                assert self.copy.get(change.key) != (change.value, change.changed), "told twice"
                self.copy[change.key] = (change.value, change.changed)

    def go(self, server):
        """One exchange with a server."""
        asked = self.feed.asks()
        try:
            if isinstance(asked, RangeAsked):
                page = server.page(asked.start, asked.revision)
                if page is None:
                    self.feed.compacted()
                else:
                    self.take(self.feed.page_came(*page))
            elif self.watching < 0:
                if asked.revision <= server.compacted:
                    self.feed.compacted()
                else:
                    self.feed.watch_began(CLUSTER, server.revision)
                    self.watching = asked.revision
            else:
                changes = server.since(self.watching)[:1]
                if changes:
                    self.watching = changes[0].changed + 1
                    self.take(self.feed.changes_came(CLUSTER, changes))
        except Untrusted:
            self.lose()

    def lose(self):
        self.watching = -1
        self.feed.broke()

    def right(self, store):
        """What is held is what the store held at the revision that is known."""
        held = {key: (each.value, each.changed) for key, each in store.at(self.feed.known).items()}
        return (
            self.copy == held == {key: (each.value, each.changed) for key, each in self.feed.records.items()}
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
        feed = self.reader.feed
        assert feed.known >= self.known
        self.known = feed.known
        if feed.known:
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
    start.reader.feed = make(b"n/")

    def successors(state):
        data, level, _ = state
        if level >= depth:
            return []
        after = []
        for i, (name, _) in enumerate(pickle.loads(data).moves()):
            world = pickle.loads(data)
            before, wrong = world.reader.feed.known, ""
            try:
                world.moves()[i][1]()
            except AssertionError as trouble:
                wrong = str(trouble)
            if world.reader.feed.known < before:
                wrong = "it went back"
            world.reader.feed.counts = dict.fromkeys(world.reader.feed.counts, 0)
            after.append((name, (pickle.dumps(world), level + 1, wrong)))
        return after

    def right(fields):
        world = pickle.loads(fields["world"])
        return not world.reader.feed.known or world.reader.right(world.store)

    return Protocol(
        name="feed", candidate=False, fields=("world", "level", "wrong"), initial=(pickle.dumps(start), 0, ""), transitions=successors,
        invariants={"right at its revision": right, "no change twice, never back": lambda fields: not fields["wrong"]},
    )  # fmt: skip


def test_no_interleaving_shows_what_never_was_or_tells_a_change_twice():
    result = check_safety(explored(Feed, 6), max_states=500_000)
    assert all(each["holds"] for each in result["properties"].values()), result["properties"]


class Hasty(Feed):
    """A seeded mistake: a watch begins at the revision that the server told, not at what is known here."""

    def watch_began(self, cluster, revision):
        super().watch_began(cluster, revision)
        self.known = revision


def test_the_checker_finds_a_watch_that_begins_too_late():
    result = check_safety(explored(Hasty, 6), max_states=500_000)
    assert not result["properties"]["right at its revision"]["holds"]


# --- one by one ---


def reading(records=(), revision=5):
    feed = Feed(b"n/")
    told = feed.page_came(CLUSTER, revision, list(records), False)
    return feed, told


def test_a_range_is_pinned_to_its_first_page_and_told_whole():
    feed = Feed(b"n/")
    assert feed.asks() == RangeAsked(b"n/", 0)
    assert feed.page_came(CLUSTER, 5, [Record(b"n/a", b"1", 2)], True) is None
    assert feed.asks() == RangeAsked(b"n/a\0", 5)
    assert feed.page_came(CLUSTER, 9, [Record(b"n/b", b"1", 4)], False) == [
        Change(b"n/a", b"1", 2),
        Change(b"n/b", b"1", 4),
    ]
    assert feed.asks() == WatchAsked(
        6
    )  # after the first page's revision, whatever the second one's server had


def test_a_break_between_pages_begins_the_range_anew():
    feed = Feed(b"n/")
    feed.page_came(CLUSTER, 5, [Record(b"n/a", b"1", 2)], True)
    feed.broke()
    assert feed.asks() == RangeAsked(b"n/", 0) and feed.records == {}


@pytest.mark.parametrize(("cluster", "revision", "why"), [(8, 9, "cluster"), (CLUSTER, 4, "behind")])
def test_a_server_that_is_behind_or_of_another_cluster_is_not_believed(cluster, revision, why):
    feed, _ = reading([Record(b"n/a", b"1", 2)])
    with pytest.raises(Untrusted, match=why):
        feed.watch_began(cluster, revision)
    assert why in feed.restored and feed.records and feed.asks() == WatchAsked(6)
    feed.watch_began(CLUSTER, 5)
    assert not feed.restored


def test_a_page_from_a_server_behind_the_first_pages_is_not_mixed_in():
    feed = Feed(b"n/")
    feed.page_came(CLUSTER, 5, [Record(b"n/a", b"1", 2)], True)
    with pytest.raises(Untrusted):
        feed.page_came(CLUSTER, 4, [], False)
    assert feed.asks() == RangeAsked(b"n/", 0) and not feed.records


def test_repeats_and_older_changes_do_nothing_even_after_a_key_went():
    feed, _ = reading([Record(b"n/a", b"1", 2)])
    assert feed.changes_came(CLUSTER, [Change(b"n/a", None, 6)]) == [Change(b"n/a", None, 6)]
    assert feed.changes_came(CLUSTER, [Change(b"n/a", b"1", 2), Change(b"n/a", None, 6)]) == []
    assert (
        feed.changes_came(CLUSTER, [Change(b"n/a", b"3", 7)]) == [Change(b"n/a", b"3", 7)] and feed.known == 7
    )
    assert feed.counts["repeats"] == 2


def test_after_a_compaction_the_difference_is_told():
    feed, _ = reading([Record(b"n/a", b"1", 2), Record(b"n/b", b"1", 3)])
    feed.compacted()
    assert feed.stage is Stage.READING and feed.records  # what is known holds until the range is whole
    told = feed.page_came(CLUSTER, 9, [Record(b"n/b", b"2", 8), Record(b"n/c", b"1", 9)], False)
    assert told == [Change(b"n/a", None, 9), Change(b"n/b", b"2", 8), Change(b"n/c", b"1", 9)]


def test_a_restored_registry_is_taken_only_when_an_operator_says_so():
    feed, _ = reading([Record(b"n/a", b"1", 2), Record(b"n/b", b"1", 3)])
    feed.compacted()
    with pytest.raises(Untrusted):
        feed.page_came(9, 2, [Record(b"n/a", b"1", 2)], False)
    assert set(feed.records) == {b"n/a", b"n/b"}
    feed.accept()
    assert feed.asks() == RangeAsked(b"n/", 0) and set(feed.records) == {b"n/a", b"n/b"}
    assert feed.page_came(9, 2, [Record(b"n/a", b"1", 2)], False) == [
        Change(b"n/b", None, 2),
        Change(b"n/a", b"1", 2),
    ]
    assert feed.cluster == 9 and feed.asks() == WatchAsked(3)
