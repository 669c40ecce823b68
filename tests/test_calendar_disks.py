"""Model check of the site calendar: a site of three edges, one of which loses its disk, in every order of events.

Time advances only by the count of events, and two edges are connected if one has all entries that the other wrote.
The property: an edge that is ready knows each edition that a majority accepted, whatever entries were lost or
delayed.
"""

import functools

import msgspec
import pytest
from minicheck import Protocol, check_safety

from ochrecourse.fleet.calendar_edition import NEVER_MS
from ochrecourse.fleet.site_calendar import SiteCalendar
from ochrecourse.fleet.entries import Entry, Timestamp

EDGES = ("a", "b", "c")
EDITION_ENTRY = ("a", 1)  # the only edition: its writer and incarnation
BODY = {
    "what": "edition", "site": "s", "number": 1, "zone": "UTC", "tzdata": "t", "from": "2026-01-01", "through": "2026-01-01",
    "until": 9, "rules": [{"name": "close", "scope": ["all", ""]}], "instants": [],
}  # fmt: skip

# An event is (writer, incarnation, sequence number, timestamp, body as JSON). A state consists of the events stored by
# each edge, by edge the incarnation with a new disk (0: it has its first one), the events in flight, and the next
# event's timestamp.


@functools.lru_cache(maxsize=200_000)
def calendar(make, stored):
    site_calendar = make("s", EDGES, 0)
    for writer, incarnation, seq, at, body in sorted(stored, key=lambda each: each[3]):
        site_calendar.event(
            Entry("calendar/s", writer, incarnation, seq, Timestamp(at, 0), (), body.encode())
        )
    return site_calendar


def is_recovered_in(make, stored, incarnation, name):
    site_calendar = calendar(make, stored)
    return site_calendar.is_recovered(name) and (
        not incarnation or site_calendar.disks.new_disks.get(name, (0, 0))[0] == incarnation
    )


def is_connected(stored, name, other):
    """Whether an edge has all events that the other one wrote, as far as the other knows them."""
    return all(each in stored[name] for each in stored[other] if each[0] == EDGES[other])


@functools.lru_cache(maxsize=200_000)
def next_event(make, stored, new_disks, i):
    name, site_calendar = EDGES[i], calendar(make, stored[i])
    if new_disks[i] and site_calendar.disks.new_disks.get(name, (0, 0))[0] != new_disks[i]:
        return {"what": "new"}
    if (edition := site_calendar.next_to_accept(name)) is not None:
        return {"what": "taken", "of": list(edition.id)}
    if not site_calendar.is_recovered(name):
        connected = [j for j in range(3) if j != i and is_connected(stored, i, j)]
        recovered = [EDGES[j] for j in connected if is_recovered_in(make, stored[j], new_disks[j], EDGES[j])]
        site_calendar.watermarks = dict.fromkeys([EDGES[j] for j in connected], NEVER_MS)
        bootstrapped_with = site_calendar.recovery(
            name, recovered, [EDGES[j] for j in connected if EDGES[j] not in recovered], 0
        )
        site_calendar.watermarks = {}
        return (
            None
            if bootstrapped_with is None
            else {"what": "whole", "life": new_disks[i], "with": bootstrapped_with}
        )
    unacknowledged = site_calendar.next_to_acknowledge(name)
    return None if unacknowledged is None else {"what": "saw", "of": list(unacknowledged)}


def transitions_of(make, state, lossy_edge):
    # All events are later than the edition; no other order of times matters.
    stored, new_disks, in_flight, count = state

    def with_events(i, events):
        return tuple(each | events if j == i else each for j, each in enumerate(stored))

    def appended(i, body):
        seq = 1 + sum(each[0] == EDGES[i] and each[1] == (new_disks[i] or 1) for each in stored[i])
        event = (EDGES[i], new_disks[i] or 1, seq, count, msgspec.json.encode(body).decode())
        return (with_events(i, {event}), new_disks, in_flight, 2)

    if not any("edition" in each[4] for each in stored[0]) and not any(new_disks):
        yield "write", appended(0, BODY)
    for i in range(3):
        if (body := next_event(make, stored, new_disks, i)) is not None:
            yield f"{EDGES[i]} writes", appended(i, body)
        for j in range(3):
            if i != j and stored[i] - stored[j]:
                yield f"{EDGES[i]} to {EDGES[j]}", (with_events(j, stored[i]), new_disks, in_flight, count)
        if in_flight - stored[i]:
            yield f"late to {EDGES[i]}", (with_events(i, in_flight), new_disks, in_flight, count)
        if not any(new_disks) and stored[i] and EDGES[i] == lossy_edge:
            after = tuple(frozenset() if j == i else each for j, each in enumerate(stored))
            yield f"{EDGES[i]} loses", (after, tuple(2 * (j == i) for j in range(3)), stored[i], count)


def ready_edges_know(make, state):
    """Whether each edge that is ready has the edition, if a majority accepted it."""
    stored, new_disks, in_flight, _ = state
    accepted_by = {each[0] for each in frozenset().union(in_flight, *stored) if '"taken"' in each[4]}
    if len(accepted_by) < 2:
        return True
    recovered = [is_recovered_in(make, stored[i], new_disks[i], EDGES[i]) for i in range(3)]
    for i in range(3):
        recovered_peers = sum(recovered[j] and is_connected(stored, i, j) for j in range(3) if j != i)
        if (
            recovered[i]
            and recovered_peers
            and not calendar(make, stored[i]).missing
            and not calendar(make, stored[i]).editions
        ):
            return False
    return True


def holds_in_every_order(make, lossy_edge="b"):
    model = Protocol(
        name="new disks", candidate=False, fields=("state",), initial=(((frozenset(),) * 3, (0, 0, 0), frozenset(), 1),),
        transitions=lambda state: [(name, (after,)) for name, after in transitions_of(make, state[0], lossy_edge)],
        invariants={"knows": lambda fields: ready_edges_know(make, fields["state"])},
    )  # fmt: skip
    found = check_safety(model, max_states=MAX_STATES)
    return found["properties"]["knows"]["holds"]


MAX_STATES = 400_000


class TrustsNewDisk(SiteCalendar):
    """Seeded fault: an edge with a new disk is counted as any other."""

    def is_recovered(self, edge):
        return True


class RecoversByOneAcknowledgement(SiteCalendar):
    """Seeded fault: an edge with a new disk is recovered after one acknowledgement."""

    def recovery(self, own_edge, connected, new, at_ms):
        incarnation = self.disks.new_disks[own_edge][0]
        return (
            []
            if any(
                self.disks.acknowledgements.get((edge, own_edge), (0, 0))[0] == incarnation
                for edge in connected
            )
            else None
        )


class AcceptsTooEarly(SiteCalendar):
    """Seeded fault: an edge accepts an edition that an edge with a new disk may have accepted, before the latter does."""

    def _must_wait(self, edge, state):
        return False


@pytest.mark.long
@pytest.mark.parametrize("lossy_edge", ["a", "b"])  # the writer of the edition, and one of the others
def test_in_every_order_an_edge_that_is_ready_knows_what_a_majority_accepted(lossy_edge):
    assert holds_in_every_order(SiteCalendar, lossy_edge) is True


@pytest.mark.long
@pytest.mark.parametrize("fault", [TrustsNewDisk, RecoversByOneAcknowledgement, AcceptsTooEarly])
def test_the_model_check_finds_each_seeded_fault(fault):
    assert holds_in_every_order(fault, "a" if fault is AcceptsTooEarly else "b") is False


SIX = ("a", "b", "c", "d", "e", "f")
BOOTSTRAPPED = [[name, 1] for name in SIX[:4]]


def site_of_six(*events):
    """A calendar with these events, (writer, body), written in this order, of a site that four edges bootstrapped."""
    site_calendar = SiteCalendar("s", SIX, 0)
    first_events = [(name, {"what": "new"}) for name in SIX]
    first_events += [(name, {"what": "whole", "life": 1, "with": BOOTSTRAPPED}) for name in SIX[:4]]
    for counter, (writer, body) in enumerate([*first_events, *events]):
        site_calendar.event(
            Entry("calendar/s", writer, 1, counter, Timestamp(1, counter), (), msgspec.json.encode(body))
        )
    return site_calendar


def acknowledgement(writer, of):
    return writer, {"what": "saw", "of": [of, 1]}


def recovery(writer):
    return writer, {"what": "whole", "life": 1, "with": []}


ACKNOWLEDGED_BY_THREE = [acknowledgement(name, of) for name in SIX[:3] for of in ("e", "f")]
EDITION = ("a", BODY)


def test_two_edges_that_acknowledge_each_others_new_disks_both_accept_an_edition():
    """Guards against edges that wait for each other, so that an edition never comes into force and no edge purges.

    Each of `e` and `f` recovered with three other edges, and acknowledged the other before it received its recovery.
    """
    site_calendar = site_of_six(
        *ACKNOWLEDGED_BY_THREE,
        recovery("e"),
        recovery("f"),
        acknowledgement("e", "f"),
        acknowledgement("f", "e"),
        EDITION,
    )
    assert site_calendar.next_to_accept("e") is not None and site_calendar.next_to_accept("f") is not None
    # Both of them recovered by the acknowledgement of `a`, so it waits for them.
    assert site_calendar.next_to_accept("a") is None


def test_an_edge_acknowledged_before_its_recovery_must_accept_an_edition_first():
    """`f` may have relied on the acknowledgement of `e`, as its recovery does not name the edges it relied on."""
    site_calendar = site_of_six(
        *ACKNOWLEDGED_BY_THREE, recovery("e"), acknowledgement("e", "f"), recovery("f"), EDITION
    )
    assert site_calendar.next_to_accept("e") is None and site_calendar.next_to_accept("f") is not None


def test_an_edge_that_is_not_known_to_be_recovered_must_accept_an_edition_first():
    site_calendar = site_of_six(*ACKNOWLEDGED_BY_THREE, recovery("e"), acknowledgement("e", "f"), EDITION)
    assert site_calendar.next_to_accept("e") is None
