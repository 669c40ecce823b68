"""Who is lent the parts that others do not need, and when a left zone is tried."""

import msgspec
import pytest
from zone_world import World as Small

from ochrecourse.fleet.entries import Entry, Stamp
from ochrecourse.fleet.needs import HALF, Needs, borrower, named
from ochrecourse.fleet.zone_state import ZoneState
from ochrecourse.fleet.zones import Zones, order
from ochrecourse.common.time_units import MS, SECOND

S = SECOND

# --- who is lent what ---


def test_a_shards_need_is_seen_wherever_it_is_served_and_fades():
    needs = Needs()
    for i in range(400):
        needs.leg(3, 2.0, i * S // 4)  # eight units a second
    assert needs.of(3, 100 * S) == pytest.approx(8, rel=0.05)
    assert needs.of(3, 100 * S + HALF) == pytest.approx(4, rel=0.05)
    assert needs.of(4, 0) == 0 and needs.usual == pytest.approx(2, rel=0.01)


def test_lenders_turn_to_borrowers_after_their_needs_and_to_nobody_where_nobody_needs():
    told = [("a", 6.0), ("b", 3.0), ("c", 1.0), ("d", 0.01)]
    counts = dict.fromkeys("abcd", 0)
    for rank in range(200):
        counts[borrower(rank, 104, told)] += 1
    assert counts["d"] == 0  # next to nothing: its part would lie idle there too
    assert [round(counts[name] / 20) for name in "abc"] == [6, 3, 1]
    assert borrower(0, 104, []) is None and borrower(5, 104, [("a", 0.0)]) is None


def test_the_largest_needs_are_told_by_node():
    assert named({5: 1.234, 4: 0.001, 7: 9.0, 6: 0.5}, 2) == ((5, 1.23), (7, 9.0))


def returning(world):
    """A zone of a small world, from its loss until all hold it returning."""
    world.run(3)
    world.lose(1)
    world.run(9)
    world.regain(1)
    for _ in range(100):
        world.step()
        if world.standing(1) is ZoneState.SLOW_START:
            return world
    raise AssertionError("it never returned")


def test_parts_that_their_owner_has_no_use_for_are_with_those_who_have_as_a_zone_returns():
    world = Small(4, places=(0, 0, 0, 0, 2, 2, 2, 2))
    world.idle = {f"g{i}" for i in range(2, 8)}
    for i in range(2, 8):
        world.gates[f"g{i}"].free_at = dict.fromkeys(world.nodes, 1 << 62)
    returning(world).run(1)
    lent = [body for _, _, body, _ in world.said if body["what"] == "lend"]
    assert lent and {to for body in lent for to in body["to"]} <= {"g0", "g1"}
    now = world.now
    whole = sum(world.gates[name].zones.allot.usable(1, 100, now) for name in ("g0", "g1"))
    assert whole > 0.5  # two of eight own a quarter


# --- when a left zone is tried ---


def test_a_left_zone_is_tried_only_as_its_rest_ends_but_for_shards_that_it_alone_holds():
    world = Small(1, figures={"rest": 8000}).run(3)
    world.lose(1)
    world.run(5)
    zones = world.gates["g0"].zones
    assert world.standing(1) is ZoneState.EVACUATED
    assert zones._limit(1, 100, world.now) == 2  # each shard of the small world is in one zone
    entries = {node: (zone, node % 100, *rest) for node, (zone, _, *rest) in zones.nodes.items()}
    zones.nodes_are(entries, world.now)
    came = zones.since[1].came
    assert zones.bounds(came + 5900 * MS) == dict.fromkeys((100, 101, 102), 0.0)
    assert all(zones._limit(1, node, came + 6100 * MS) == 2 for node in (100, 101, 102))
    entries = {
        node: (zone, node % 100 + 3 * (node == 101), *rest) for node, (zone, _, *rest) in entries.items()
    }
    zones.nodes_are(entries, world.now)
    assert [zones._limit(1, node, came + 5900 * MS) for node in (100, 101, 102)] == [0, 2, 0]


def test_of_a_large_left_zone_some_nodes_are_tried_and_the_others_after_them():
    zones = Zones({}, 2, "g0", 0, 3)
    nodes = {100 * zone + i: (zone, i, True, 0) for zone in (0, 1) for i in range(12)}
    zones.nodes_are(nodes, S)
    zones.event(
        Entry(
            "fleet",
            "g1",
            1,
            1,
            Stamp(1, 0),
            (),
            msgspec.json.encode(order(1, ZoneState.EVACUATED) | {"hand": False}),
        ),
        S,
    )
    tried = []
    for wall in (20_000, 29_999, 30_000):
        zones.time_is(S + wall * MS, wall)
        tried.append({node for node in zones.listed[1] if zones._limit(1, node, S + wall * MS)})
    assert tried[0] == tried[1] and len(tried[0]) == len(tried[2]) == 6
    assert tried[0] | tried[2] == zones.listed[1]


def test_a_left_zones_node_that_alone_holds_a_shard_may_be_sent_what_a_cold_one_bears_once_it_answers():
    world = Small(5, figures={"rest": 30_000}).run(3)
    world.lose(1)
    world.run(5)
    zones = world.gates["g0"].zones
    assert world.standing(1) is ZoneState.EVACUATED
    assert [zones._limit(1, node, world.now) for node in (100, 101, 102)] == [2, 2, 2]
    world.regain(1)
    limits = set()
    for _ in range(80):
        world.step()
        limits.add(tuple(zones._limit(1, node, world.now) for node in (100, 101, 102)))
    assert world.standing(1) is ZoneState.EVACUATED and (5, 5, 5) in limits  # `cold` units a second
    world.lose(1)
    world.run(4)
    assert [zones._limit(1, node, world.now) for node in (100, 101, 102)] == [2, 2, 2]
    zones.standings.by_zone[1] = zones.standings.of(1)._replace(by_operator=True)
    zones.lived = dict.fromkeys((100, 101, 102), world.now)
    assert zones._limit(1, 100, world.now) == 2  # a person wants it left


def test_in_a_large_fleet_each_gateway_has_its_turn_to_try_a_left_zone_however_long_that_takes():
    names = [f"g{i}" for i in range(120)]
    nodes = {100 * zone + i: (zone, i, True, 0) for zone in (0, 1) for i in range(8)}
    left = Entry(
        "fleet",
        "g1",
        1,
        1,
        Stamp(1, 0),
        (),
        msgspec.json.encode(order(1, ZoneState.EVACUATED) | {"hand": False}),
    )
    first = []
    for name in names:
        zones = Zones({}, 2, name, 0, len(names))
        zones.nodes_are(nodes, S)
        zones.event(left, S)
        for second in range(2, 200):
            zones.time_is(second * S, 1000 * second)
            if any(zones.bounds(second * S).values()):
                first.append(second)
                break
    # A unit each second at each node, so one gateway after the other; in the mean a half of 60 s, and as long closed.
    assert len(first) == len(names)
    assert len({*first}) > 15 and max(first) > 20
