"""A site of three edges, one of whose disks is lost: every order of events, over the shipped calendar.

No time passes but by the count of events: who is in touch holds all that the other wrote. Then an edge that is sure
knows each edition that more than half took, whatever was lost, cut off or late on its way.
"""

import functools

import msgspec
import pytest
from minicheck import Protocol, check_safety

from ochrecourse.fleet.calendar_edition import NEVER_MS
from ochrecourse.fleet.site_calendar import SiteCalendar
from ochrecourse.fleet.entries import Entry, Timestamp

EDGES = ("a", "b", "c")
E = ("a", 1)  # the one edition: its writer and life
BODY = {
    "what": "edition", "site": "s", "number": 1, "zone": "UTC", "tzdata": "t", "from": "2026-01-01", "through": "2026-01-01",
    "until": 9, "rules": [{"name": "close", "scope": ["all", ""]}], "instants": [],
}  # fmt: skip

# An event is (writer, life, number, stamp, body as JSON); a state: by edge the events that it holds and its life with
# a new disk (0: it has its first one), the events that are on their way, and the next one's stamp.


@functools.lru_cache(maxsize=200_000)
def calendar(make, held):
    told = make("s", EDGES, 0)
    for writer, life, seq, at, body in sorted(held, key=lambda each: each[3]):
        told.event(Entry("calendar/s", writer, life, seq, Timestamp(at, 0), (), body.encode()))
    return told


def is_whole(make, held, life, name):
    told = calendar(make, held)
    return told.is_recovered(name) and (not life or told.disks.new_disks.get(name, (0, 0))[0] == life)


def in_touch(held, name, other):
    """Whether one holds all that the other knows to have written."""
    return all(each in held[name] for each in held[other] if each[0] == EDGES[other])


@functools.lru_cache(maxsize=200_000)
def wants(make, held, lives, i):
    name, told = EDGES[i], calendar(make, held[i])
    if lives[i] and told.disks.new_disks.get(name, (0, 0))[0] != lives[i]:
        return {"what": "new"}
    if (edition := told.next_to_accept(name)) is not None:
        return {"what": "taken", "of": list(edition.id)}
    if not told.is_recovered(name):
        near = [j for j in range(3) if j != i and in_touch(held, i, j)]
        whole = [EDGES[j] for j in near if is_whole(make, held[j], lives[j], EDGES[j])]
        told.watermarks = dict.fromkeys([EDGES[j] for j in near], NEVER_MS)
        began = told.recovery(name, whole, [EDGES[j] for j in near if EDGES[j] not in whole], 0)
        told.watermarks = {}
        return None if began is None else {"what": "whole", "life": lives[i], "with": began}
    seen = told.next_to_acknowledge(name)
    return None if seen is None else {"what": "saw", "of": list(seen)}


def moves(make, state, loser):
    held, lives, flight, count = (
        state  # all that is written comes after the edition: more of time does not matter
    )

    def holds(i, more):
        return tuple(each | more if j == i else each for j, each in enumerate(held))

    def appended(i, body):
        seq = 1 + sum(each[0] == EDGES[i] and each[1] == (lives[i] or 1) for each in held[i])
        event = (EDGES[i], lives[i] or 1, seq, count, msgspec.json.encode(body).decode())
        return (holds(i, {event}), lives, flight, 2)

    if not any("edition" in each[4] for each in held[0]) and not any(lives):
        yield "write", appended(0, BODY)
    for i in range(3):
        if (body := wants(make, held, lives, i)) is not None:
            yield f"{EDGES[i]} writes", appended(i, body)
        for j in range(3):
            if i != j and held[i] - held[j]:
                yield f"{EDGES[i]} to {EDGES[j]}", (holds(j, held[i]), lives, flight, count)
        if flight - held[i]:
            yield f"late to {EDGES[i]}", (holds(i, flight), lives, flight, count)
        if not any(lives) and held[i] and EDGES[i] == loser:
            after = tuple(frozenset() if j == i else each for j, each in enumerate(held))
            yield f"{EDGES[i]} loses", (after, tuple(2 * (j == i) for j in range(3)), held[i], count)


def knows(make, state):
    """Whether each edge that is sure holds the edition, if more than half took it."""
    held, lives, flight, _ = state
    takers = {each[0] for each in frozenset().union(flight, *held) if '"taken"' in each[4]}
    if len(takers) < 2:
        return True
    whole = [is_whole(make, held[i], lives[i], EDGES[i]) for i in range(3)]
    for i in range(3):
        voices = sum(whole[j] and in_touch(held, i, j) for j in range(3) if j != i)
        if (
            whole[i]
            and voices
            and not calendar(make, held[i]).missing
            and not calendar(make, held[i]).editions
        ):
            return False
    return True


def explored(make, loser="b"):
    model = Protocol(
        name="new disks", candidate=False, fields=("state",), initial=(((frozenset(),) * 3, (0, 0, 0), frozenset(), 1),),
        transitions=lambda state: [(name, (after,)) for name, after in moves(make, state[0], loser)],
        invariants={"knows": lambda fields: knows(make, fields["state"])},
    )  # fmt: skip
    found = check_safety(model, max_states=MOST)
    return found["properties"]["knows"]["holds"]


MOST = 400_000


class Trusts(SiteCalendar):
    """The mistake of a new disk that counts as any other: how it was before."""

    def is_recovered(self, edge):
        return True


class BeginsByOne(SiteCalendar):
    """The mistake of a new disk that is whole once one other has seen it."""

    def recovery(self, own, fresh, new, ms):
        life = self.disks.new_disks[own][0]
        return (
            []
            if any(self.disks.acknowledgements.get((edge, own), (0, 0))[0] == life for edge in fresh)
            else None
        )


class TakesLate(SiteCalendar):
    """The mistake of one who takes what a new disk may have taken, before that knows of it again."""

    def _must_wait(self, edge, held):
        return False


@pytest.mark.long
@pytest.mark.parametrize("loser", ["a", "b"])  # who wrote the edition, and one of the others
def test_in_every_order_an_edge_that_is_sure_knows_what_more_than_half_took(loser):
    assert explored(SiteCalendar, loser) is True


@pytest.mark.long
@pytest.mark.parametrize("mistake", [Trusts, BeginsByOne, TakesLate])
def test_the_orders_find_each_seeded_mistake(mistake):
    assert explored(mistake, "a" if mistake is TakesLate else "b") is False


SIX = ("a", "b", "c", "d", "e", "f")
BEGAN = [[name, 1] for name in SIX[:4]]


def site_of_six(*events):
    """What all edges hold after these events, (writer, body), written in this order; four of them began the site."""
    told = SiteCalendar("s", SIX, 0)
    began = [(name, {"what": "new"}) for name in SIX]
    began += [(name, {"what": "whole", "life": 1, "with": BEGAN}) for name in SIX[:4]]
    for turn, (writer, body) in enumerate([*began, *events]):
        told.event(Entry("calendar/s", writer, 1, turn, Timestamp(1, turn), (), msgspec.json.encode(body)))
    return told


def saw(writer, of):
    return writer, {"what": "saw", "of": [of, 1]}


def whole(writer):
    return writer, {"what": "whole", "life": 1, "with": []}


SEEN_BY_THREE = [saw(name, of) for name in SIX[:3] for of in ("e", "f")]
EDITION = ("a", BODY)


def test_two_edges_that_saw_each_other_with_new_disks_at_once_both_take_an_edition():
    """Guards against edges that wait for each other, so that an edition never comes into force and nobody purges.

    Neither of `e` and `f` had heard yet that the other is whole, which counted on three others.
    """
    told = site_of_six(*SEEN_BY_THREE, whole("e"), whole("f"), saw("e", "f"), saw("f", "e"), EDITION)
    assert told.next_to_accept("e") is not None and told.next_to_accept("f") is not None
    assert told.next_to_accept("a") is None  # whom both of them counted on, waits for them


def test_an_edge_that_was_seen_before_it_was_whole_must_take_an_edition_first():
    """`f` may have counted on `e`, although it names nobody."""
    told = site_of_six(*SEEN_BY_THREE, whole("e"), saw("e", "f"), whole("f"), EDITION)
    assert told.next_to_accept("e") is None and told.next_to_accept("f") is not None


def test_an_edge_that_is_not_known_to_be_whole_must_take_an_edition_first():
    told = site_of_six(*SEEN_BY_THREE, whole("e"), saw("e", "f"), EDITION)
    assert told.next_to_accept("e") is None
