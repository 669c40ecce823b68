"""Demand by shard, choice of borrowers for unneeded quotas, and health checks of an evacuated zone."""

import msgspec
import pytest
from zone_world import World

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

# --- demand and loans ---


def test_demand_of_a_shard_is_measured_and_decays():
    demand = ShardDemand()
    for i in range(400):
        demand.units_sent(3, 2.0, i * S // 4)  # 8 units/s
    assert demand.of(3, 100 * S) == pytest.approx(8, rel=0.05)
    assert demand.of(3, 100 * S + HALF_TIME) == pytest.approx(4, rel=0.05)
    assert demand.of(4, 0) == 0 and demand.mean_units == pytest.approx(2, rel=0.01)


def test_borrowers_are_chosen_in_proportion_to_their_demand():
    demand = [("a", 6.0), ("b", 3.0), ("c", 1.0), ("d", 0.01)]
    counts = dict.fromkeys("abcd", 0)
    for rank in range(200):
        counts[choose_borrower(rank, 104, demand)] += 1
    assert counts["d"] == 0  # its demand is so small that the quota would stay unused there too
    assert [round(counts[name] / 20) for name in "abc"] == [6, 3, 1]
    assert choose_borrower(0, 104, []) is None and choose_borrower(5, 104, [("a", 0.0)]) is None


def test_the_largest_demands_are_reported_by_node():
    assert largest_demands({5: 1.234, 4: 0.001, 7: 9.0, 6: 0.5}, 2) == ((5, 1.23), (7, 9.0))


def run_until_slow_start(world):
    """Loses zone 1, restores it, and runs until g0 has it in slow start."""
    world.run(3)
    world.lose(1)
    world.run(9)
    world.regain(1)
    for _ in range(100):
        world.step()
        if world.state(1) is ZoneState.SLOW_START:
            return world
    raise AssertionError("zone 1 did not begin a slow start")


def test_unneeded_quotas_are_lent_to_gateways_with_demand_when_a_slow_start_begins():
    world = World(4, gateway_zones=(0, 0, 0, 0, 2, 2, 2, 2))
    world.idle = {f"g{i}" for i in range(2, 8)}
    for i in range(2, 8):
        world.gates[f"g{i}"].next_attempt_at = dict.fromkeys(world.nodes, 1 << 62)
    run_until_slow_start(world).run(1)
    lent = [body for _, _, body, _ in world.said if body["what"] == "lend"]
    assert lent and {to for body in lent for to in body["to"]} <= {"g0", "g1"}
    now = world.now
    usable = sum(world.gates[name].zones.context.quota.usable(1, 100, now) for name in ("g0", "g1"))
    assert usable > 0.5  # two of eight gateways own a quarter


# --- health checks of an evacuated zone ---


def test_an_evacuated_zone_is_probed_shortly_before_its_time_ends_except_for_shards_that_only_it_has():
    world = World(1, settings={"rest": 8000}).run(3)
    world.lose(1)
    world.run(5)
    zones = world.gates["g0"].zones
    assert world.state(1) is ZoneState.EVACUATED
    assert zones.rates.limit(1, 100, world.now) == 2  # in this world each shard is in one zone only
    entries = {
        node: ZoneNode(zone, node % 100, *rest)
        for node, (zone, _, *rest) in zones.context.nodes.by_node.items()
    }
    zones.update_nodes(entries)
    decided_at = zones.context.timers[1].decided_at
    assert zones.node_rates(decided_at + 5900 * MS) == dict.fromkeys((100, 101, 102), 0.0)
    assert all(zones.rates.limit(1, node, decided_at + 6100 * MS) == 2 for node in (100, 101, 102))
    entries = {
        node: ZoneNode(zone, node % 100 + 3 * (node == 101), *rest)
        for node, (zone, _, *rest) in entries.items()
    }
    zones.update_nodes(entries)
    assert [zones.rates.limit(1, node, decided_at + 5900 * MS) for node in (100, 101, 102)] == [0, 2, 0]


def test_probes_of_a_large_evacuated_zone_rotate_through_its_nodes():
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
    probed = []
    for wall in (20_000, 29_999, 30_000):
        zones.set_time(S + wall * MS, wall)
        probed.append(
            {node for node in zones.context.nodes.listed[1] if zones.rates.limit(1, node, S + wall * MS)}
        )
    assert probed[0] == probed[1] and len(probed[0]) == len(probed[2]) == 6
    assert probed[0] | probed[2] == zones.context.nodes.listed[1]


def test_the_only_node_of_a_shard_in_an_evacuated_zone_gets_the_cold_rate_once_it_answers():
    world = World(5, settings={"rest": 30_000}).run(3)
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
    assert zones.rates.limit(1, 100, world.now) == 2  # evacuated by an operator


def test_in_a_large_fleet_each_gateway_eventually_probes_an_evacuated_zone():
    names = [f"g{i}" for i in range(120)]
    nodes = {100 * zone + i: ZoneNode(zone, i, True, 0) for zone in (0, 1) for i in range(8)}
    evacuation = Entry(
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
        zones.entry_received(evacuation, S)
        for second in range(2, 200):
            zones.set_time(second * S, 1000 * second)
            if any(zones.node_rates(second * S).values()):
                first.append(second)
                break
    # At about one unit/s and node, one gateway probes after the other: on average after half of 60 s, and as long without probing.
    assert len(first) == len(names)
    assert len({*first}) > 15 and max(first) > 20
