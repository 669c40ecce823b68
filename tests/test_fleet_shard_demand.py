"""Who is lent the parts that others do not need, and when a left zone is tried."""

import msgspec
import pytest
from zone_world import World as Small

from ochrecourse.fleet.entries import Entry, Timestamp
from ochrecourse.fleet.shard_demand import HALF_TIME, ShardDemand, choose_borrower, largest_demands
from ochrecourse.fleet.zone_nodes import ZoneNode
from ochrecourse.fleet.zone_settings import ZoneSettings
from ochrecourse.fleet.zone_state import ZoneState
from ochrecourse.fleet.zone_context import FleetPlacement
from ochrecourse.fleet.zone_controller import ZoneController
from ochrecourse.fleet.zone_decision_entry import operator_decision
from ochrecourse.common.time_units import MS, SECOND

S = SECOND

# --- who is lent what ---


def test_a_shards_need_is_seen_wherever_it_is_served_and_fades():
    needs = ShardDemand()
    for i in range(400):
        needs.units_sent(3, 2.0, i * S // 4)  # eight units a second
    assert needs.of(3, 100 * S) == pytest.approx(8, rel=0.05)
    assert needs.of(3, 100 * S + HALF_TIME) == pytest.approx(4, rel=0.05)
    assert needs.of(4, 0) == 0 and needs.mean_units == pytest.approx(2, rel=0.01)


def test_lenders_turn_to_borrowers_after_their_needs_and_to_nobody_where_nobody_needs():
    told = [("a", 6.0), ("b", 3.0), ("c", 1.0), ("d", 0.01)]
    counts = dict.fromkeys("abcd", 0)
    for rank in range(200):
        counts[choose_borrower(rank, 104, told)] += 1
    assert counts["d"] == 0  # next to nothing: its part would lie idle there too
    assert [round(counts[name] / 20) for name in "abc"] == [6, 3, 1]
    assert choose_borrower(0, 104, []) is None and choose_borrower(5, 104, [("a", 0.0)]) is None


def test_the_largest_needs_are_told_by_node():
    assert largest_demands({5: 1.234, 4: 0.001, 7: 9.0, 6: 0.5}, 2) == ((5, 1.23), (7, 9.0))


def returning(world):
    """A zone of a small world, from its loss until all hold it returning."""
    world.run(3)
    world.lose(1)
    world.run(9)
    world.regain(1)
    for _ in range(100):
        world.step()
        if world.state(1) is ZoneState.SLOW_START:
            return world
    raise AssertionError("it never returned")


def test_parts_that_their_owner_has_no_use_for_are_with_those_who_have_as_a_zone_returns():
    world = Small(4, gateway_zones=(0, 0, 0, 0, 2, 2, 2, 2))
    world.idle = {f"g{i}" for i in range(2, 8)}
    for i in range(2, 8):
        world.gates[f"g{i}"].next_attempt_at = dict.fromkeys(world.nodes, 1 << 62)
    returning(world).run(1)
    lent = [body for _, _, body, _ in world.said if body["what"] == "lend"]
    assert lent and {to for body in lent for to in body["to"]} <= {"g0", "g1"}
    now = world.now
    whole = sum(world.gates[name].zones.context.quota.usable(1, 100, now) for name in ("g0", "g1"))
    assert whole > 0.5  # two of eight own a quarter


# --- when a left zone is tried ---


def test_a_left_zone_is_tried_only_as_its_rest_ends_but_for_shards_that_it_alone_holds():
    world = Small(1, settings={"rest": 8000}).run(3)
    world.lose(1)
    world.run(5)
    zones = world.gates["g0"].zones
    assert world.state(1) is ZoneState.EVACUATED
    assert zones.rates.limit(1, 100, world.now) == 2  # each shard of the small world is in one zone
    entries = {
        node: ZoneNode(zone, node % 100, *rest)
        for node, (zone, _, *rest) in zones.context.nodes.by_node.items()
    }
    zones.update_nodes(entries)
    came = zones.context.timers[1].decided_at
    assert zones.node_rates(came + 5900 * MS) == dict.fromkeys((100, 101, 102), 0.0)
    assert all(zones.rates.limit(1, node, came + 6100 * MS) == 2 for node in (100, 101, 102))
    entries = {
        node: ZoneNode(zone, node % 100 + 3 * (node == 101), *rest)
        for node, (zone, _, *rest) in entries.items()
    }
    zones.update_nodes(entries)
    assert [zones.rates.limit(1, node, came + 5900 * MS) for node in (100, 101, 102)] == [0, 2, 0]


def test_of_a_large_left_zone_some_nodes_are_tried_and_the_others_after_them():
    zones = ZoneController(ZoneSettings(), FleetPlacement(2, "g0", 0, 3))
    nodes = {100 * zone + i: ZoneNode(zone, i, True, 0) for zone in (0, 1) for i in range(12)}
    zones.update_nodes(nodes)
    zones.entry_received(
        Entry(
            "fleet",
            "g1",
            1,
            1,
            Timestamp(1, 0),
            (),
            msgspec.json.encode(operator_decision(1, ZoneState.EVACUATED) | {"hand": False}),
        ),
        S,
    )
    tried = []
    for wall in (20_000, 29_999, 30_000):
        zones.set_time(S + wall * MS, wall)
        tried.append(
            {node for node in zones.context.nodes.listed[1] if zones.rates.limit(1, node, S + wall * MS)}
        )
    assert tried[0] == tried[1] and len(tried[0]) == len(tried[2]) == 6
    assert tried[0] | tried[2] == zones.context.nodes.listed[1]


def test_a_left_zones_node_that_alone_holds_a_shard_may_be_sent_what_a_cold_one_bears_once_it_answers():
    world = Small(5, settings={"rest": 30_000}).run(3)
    world.lose(1)
    world.run(5)
    zones = world.gates["g0"].zones
    assert world.state(1) is ZoneState.EVACUATED
    assert [zones.rates.limit(1, node, world.now) for node in (100, 101, 102)] == [2, 2, 2]
    world.regain(1)
    limits = set()
    for _ in range(80):
        world.step()
        limits.add(tuple(zones.rates.limit(1, node, world.now) for node in (100, 101, 102)))
    assert world.state(1) is ZoneState.EVACUATED and (5, 5, 5) in limits  # `cold` units a second
    world.lose(1)
    world.run(4)
    assert [zones.rates.limit(1, node, world.now) for node in (100, 101, 102)] == [2, 2, 2]
    zones.context.decisions.by_zone[1] = zones.context.decisions.of(1)._replace(by_operator=True)
    zones.context.node_alive_at = dict.fromkeys((100, 101, 102), world.now)
    assert zones.rates.limit(1, 100, world.now) == 2  # a person wants it left


def test_in_a_large_fleet_each_gateway_has_its_turn_to_try_a_left_zone_however_long_that_takes():
    names = [f"g{i}" for i in range(120)]
    nodes = {100 * zone + i: ZoneNode(zone, i, True, 0) for zone in (0, 1) for i in range(8)}
    left = Entry(
        "fleet",
        "g1",
        1,
        1,
        Timestamp(1, 0),
        (),
        msgspec.json.encode(operator_decision(1, ZoneState.EVACUATED) | {"hand": False}),
    )
    first = []
    for name in names:
        zones = ZoneController(ZoneSettings(), FleetPlacement(2, name, 0, len(names)))
        zones.update_nodes(nodes)
        zones.entry_received(left, S)
        for second in range(2, 200):
            zones.set_time(second * S, 1000 * second)
            if any(zones.node_rates(second * S).values()):
                first.append(second)
                break
    # A unit each second at each node, so one gateway after the other; in the mean a half of 60 s, and as long closed.
    assert len(first) == len(names)
    assert len({*first}) > 15 and max(first) > 20
