"""Searches for worlds that break something: draws swarms of faults from seeds, lets the outside judge, and
shrinks what breaks to the fewest faults, gateways and seconds.

A swarm is a few kinds of fault of all there are: with every kind in every world, faults hide each other. The
same seed gives the same world, verdict and shrunk form, whoever draws it.
"""

from __future__ import annotations

import random
import shlex
import traceback
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import msgspec

from ochrecourse.lab.fleet_judge import Judged, judge
from ochrecourse.lab.fleet_play import FleetPlay
from ochrecourse.lab.fleet_world import Fault, World

KINDS = (
    "zone_lost", "zone_nodes", "zone_cut", "zone_slow", "apart", "gateways_cut", "one_way", "lossy", "kill",
    "still", "burst", "mass_restart", "power", "restart_all", "rolling", "clock", "disk_full", "sync_fails",
    "disk_cut", "crowd", "edition",
)  # fmt: skip
OF_GATEWAYS = (
    "apart", "gateways_cut", "one_way", "kill", "still", "power", "rolling", "clock", "disk_full",
    "sync_fails", "disk_cut", "crowd", "edition", "pair_one_way", "late",
)  # fmt: skip
GREY = ("zone_one_way", "pair_one_way", "zone_grey", "grey_each", "late")  # what is neither up nor down
SWARM = (1, 4)  # kinds in one world
FAULTS = (1, 5)
FIRST = 2.0  # s at which the earliest fault comes; lists and links are up by then
LAST = 0.6  # of the day, by which the last one has come
SPAN = (1.0, 10.0)  # s that a fault lasts
HALVES = 0.1  # of worlds in which a zone is lost while two halves of the fleet do not reach each other
GREYS = 0.35  # of worlds in which something is grey beside the rest
ALL_ZONES = 0.1  # of worlds in which one zone after the other is lost, till none is left
SITES = 0.4  # of worlds that have a site, which closes once; only there editions come
CLOSES = (6.0, 12.0)  # s at which it does
SNAPSHOTS = 0.3  # of worlds in which clients put snapshots in place of older notes
LET_GO = 0.25  # of worlds in which gateways are let go soon
LET_GO_MS = (3000.0, 6000.0)  # and after what
LONE = 0.15  # of worlds in which many a shard is held in one zone alone
SMALL = 0.15  # of worlds whose channels are soon full
SMALL_BYTES, LONG_NOTE = 20_000.0, 300  # bytes of such a channel, and of each note: some ten a gateway
SLIGHTLY = 100.0  # ms that wall clocks are wrong; twice that is within the bound of sites, the least in use
SHIFTED = 0.3  # of worlds in which some are so all the time
WRONG = (3_000.0, 1_200_000.0)  # ms that one jumps beyond the bound: surely seen, and within what is merged
LEAST_SPAN = 0.5  # s to which a fault is shortened at the most
QUIET = 4.0  # s of the day behind the last fault that are left when it is shortened

# What may strike less than half of the gateways: of more of them nothing is promised.
FEWER = ("clock", "disk_cut")

SYNCS = (20.0, 1200.0)  # ms that an operation on a journal takes at the longest in worlds with slow disks

PLAIN = World()  # what a world is like where nothing is drawn

Breaks = Callable[[World], bool]


def draw(
    seed: int,
    gateways: int = 6,
    nodes: int = 6,
    zones: int = 3,
    length_s: float = 16.0,
    slow_disks: bool = False,
) -> World:
    """The world of a seed. `slow_disks`: syncs take a drawn time, in an otherwise equal world."""
    chance = random.Random(f"{seed} world")
    more = _more(chance, gateways, nodes, zones)
    known = [kind for kind in KINDS if kind != "edition" or "close_s" in more]
    kinds = chance.sample(known, chance.randint(*SWARM))
    faults = tuple(
        _fault(chance, chance.choice(kinds), gateways, zones, length_s)
        for _ in range(chance.randint(*FAULTS))
    )
    whole = chance.random()
    if whole < HALVES:
        at, zone = round(chance.uniform(FIRST, 4), 2), chance.randrange(zones)
        half = tuple(sorted(chance.sample(range(gateways), gateways // 2)))
        faults = (
            Fault(kind="apart", at_s=at, len_s=round(chance.uniform(5, 9), 2), who=half),
            Fault(kind="zone_nodes", at_s=at + 1, len_s=round(chance.uniform(3, 9), 2), zone=zone),
        )
    elif whole < HALVES + ALL_ZONES:
        at = chance.uniform(FIRST, length_s / 2)
        faults = tuple(
            Fault(kind="zone_nodes", at_s=round(at + i, 2), len_s=round(chance.uniform(3, 9), 2), zone=zone)
            for i, zone in enumerate(chance.sample(range(zones), zones))
        )
    # Two of them may be too many clocks, or one too far off.
    clocks = [each for each in faults if each.kind == "clock"]
    faults = tuple(each for each in faults if each not in clocks[1:])
    # From a chance of its own, so that it moves no other draw.
    grey = random.Random(f"{seed} grey")
    if grey.random() < GREYS:
        count = grey.randint(1, 2)
        greys = [_fault(grey, grey.choice(GREY), gateways, zones, length_s) for _ in range(count)]
        faults = (*faults, *greys)
    return World(
        seed=seed,
        gateways=gateways,
        nodes=nodes,
        zones=zones,
        length_s=length_s,
        load=chance.choice((0.3, 0.45, 0.6)),
        jobs=5.0 * nodes,
        sync_ms=_sync_ms(seed) if slow_disks else 0.0,
        faults=tuple(sorted(faults, key=lambda each: each.at_s)),
        # Short loans and rests make more of them in the few seconds of a world.
        figures={"lend": 2000.0, "rest": 2000.0} if chance.random() < 0.5 else {},
        **more,
    )


def _sync_ms(seed: int) -> float:
    least, most = SYNCS
    # From a chance of its own, so that it moves no other draw; as many short spans as long ones.
    return float(round(least * (most / least) ** random.Random(f"{seed} syncs").random()))


def _layout(chance: random.Random, nodes: int, zones: int) -> tuple[tuple[int, int], ...]:
    """By node its shard and zone: half of the shards in one zone alone, each zone with some node."""
    placed: list[tuple[int, int]] = []
    shard = 0
    while len(placed) < nodes:
        placed.append((shard, shard % zones))
        if zones <= shard and chance.random() < 0.5:
            placed.append((shard, (shard + 1) % zones))
        shard += 1
    return tuple(placed[:nodes])


def _more(chance: random.Random, gateways: int, nodes: int, zones: int) -> dict[str, Any]:
    """What a world is like beside its faults."""
    more: dict[str, Any] = {}
    if chance.random() < SITES:
        more["close_s"] = float(round(chance.uniform(*CLOSES)))
    if chance.random() < SNAPSHOTS:
        more["compacts"] = True
    if chance.random() < LET_GO:
        more["let_go_ms"] = float(round(chance.uniform(*LET_GO_MS)))
    if chance.random() < LONE:
        more["layout"] = _layout(chance, nodes, zones)
    if chance.random() < SMALL:
        more |= {"channel_bytes": SMALL_BYTES, "note_bytes": LONG_NOTE}
    if chance.random() < SHIFTED:
        wrong = chance.sample(range(gateways), max(1, gateways // 3))
        more["shifts"] = {f"g{i}": round(chance.uniform(-SLIGHTLY, SLIGHTLY)) * 1.0 for i in sorted(wrong)}
    return more


def _fault(chance: random.Random, kind: str, gateways: int, zones: int, length_s: float) -> Fault:
    who: tuple[int, ...] = ()
    fewer = max(1, (gateways - 1) // 2)
    if kind == "edition":
        who = tuple(sorted(chance.sample(range(gateways), min(gateways, chance.randint(1, 2)))))
    elif kind == "crowd":
        who = (chance.randrange(gateways),)
    elif kind == "rolling":
        who = tuple(chance.sample(range(gateways), gateways))
    elif kind in OF_GATEWAYS:
        # One alone, a few, or most: what holds for some is often broken by one, or by seven in ten;
        # and halves, where each side may think that it speaks for all.
        counts = (1, max(1, gateways // 3), max(1, gateways // 2), max(1, round(0.7 * gateways)))
        count = 2 if kind == "pair_one_way" else chance.choice(counts)
        if kind in FEWER:
            count = min(count, fewer)
        who = tuple(sorted(chance.sample(range(gateways), count)))
    size = 0.0
    if kind in ("kill", "restart_all"):
        size = float(chance.random() < 0.3)
        if kind == "kill" and size:  # half of all disks lost at once, and nothing is promised
            who = who[:fewer]
    elif kind == "clock":
        away = SLIGHTLY if chance.random() < 0.5 else chance.uniform(*WRONG)
        size = round(away) * chance.choice((-1.0, 1.0))
    elif kind == "disk_cut":
        size = float(chance.choice((1, 3, 20)))
    elif kind == "edition":
        size = float(round(chance.uniform(*CLOSES)))
    elif kind == "lossy":
        size = round(chance.uniform(0.05, 0.5), 2)
    elif kind in ("zone_slow", "burst"):
        size = round(chance.uniform(1.5, 4.0), 1)
    elif kind in ("zone_grey", "grey_each"):
        size = float(chance.randint(1, 2))
    elif kind == "late":
        size = round(chance.uniform(0.1, 0.6), 2)
    return Fault(
        kind=kind,
        at_s=round(chance.uniform(FIRST, LAST * length_s), 2),
        len_s=round(chance.uniform(*SPAN), 2),
        zone=chance.randrange(zones),
        who=who,
        size=size,
    )


def play(world: World) -> Judged:
    """Plays and judges a world."""
    played = FleetPlay(world)
    played.run()
    return judge(played)


def found(world: World) -> tuple[list[str], list[str]]:
    """How a world breaks, and the words of it; one in which something raises breaks by that."""
    try:
        judged = play(world)
    except Exception as raised:
        where = traceback.extract_tb(raised.__traceback__)[-1]
        text = f"{type(raised).__name__}: {raised}, in {where.name}"
        return [f"raised {type(raised).__name__}"], [text]
    return judged.kinds(), judged.lines()


def breaks(kind: str) -> Breaks:
    """Whether a world breaks in one way."""
    return lambda world: kind in found(world)[0]


def search(
    seeds: Iterable[int], look: Callable[[World], list[str]], make: Callable[[int], World] = draw
) -> Iterator[tuple[int, World, list[str]]]:
    """Worlds that break, with how, in the order of their seeds. `look` tells what a world breaks."""
    for seed in seeds:
        world = make(seed)
        if kinds := look(world):
            yield seed, world, kinds


def shrink(world: World, breaks: Breaks, most: int = 80) -> World:
    """The least world found in so many plays that still breaks: each step of `_less` that breaks is kept."""
    left = most
    again = True
    while again:
        again = False
        for less in _less(world):
            if not left:
                return world
            left -= 1
            if breaks(less):
                world, again = less, True
                break
    return world


def size(world: World) -> tuple[int, int, float]:
    """What is to be small, most important first."""
    return len(world.faults), world.gateways, world.length_s


def _less(world: World) -> Iterator[World]:
    """Smaller worlds, the largest steps first."""
    faults = world.faults
    if len(faults) > 1:
        half = len(faults) // 2
        for kept in (faults[:half], faults[half:]):
            yield msgspec.structs.replace(world, faults=kept)
    for i in range(len(faults)):
        yield msgspec.structs.replace(world, faults=faults[:i] + faults[i + 1 :])
    # Rounded first: a length that is less by a rounding alone would be taken again and again.
    end = round(max((each.at_s + each.len_s for each in faults), default=0.0) + QUIET, 2)
    if end < world.length_s:
        yield msgspec.structs.replace(world, length_s=end)
    for gateways in (world.zones, world.gateways - world.zones, world.gateways - 1):
        if world.zones <= gateways < world.gateways:
            yield _fewer(world, gateways)
    for name in ("shifts", "figures", "channel_bytes", "let_go_ms", "layout", "compacts"):
        plain = getattr(PLAIN, name)
        if getattr(world, name) != plain:
            yield msgspec.structs.replace(world, **{name: plain})
    for i, fault in enumerate(faults):
        for less in _milder(fault):
            yield msgspec.structs.replace(world, faults=(*faults[:i], less, *faults[i + 1 :]))


def _fewer(world: World, gateways: int) -> World:
    """With fewer gateways; a fault of gateways that are gone strikes as many of those left as it can."""
    faults = []
    for each in world.faults:
        kept = {index for index in each.who if index < gateways}
        free = [index for index in range(gateways) if index not in kept]
        who = (*kept, *free[: len(each.who) - len(kept)])
        faults.append(msgspec.structs.replace(each, who=tuple(sorted(who))))
    return msgspec.structs.replace(world, gateways=gateways, faults=tuple(faults))


def _milder(fault: Fault) -> Iterator[Fault]:
    if fault.len_s >= 2 * LEAST_SPAN:
        yield msgspec.structs.replace(fault, len_s=round(fault.len_s / 2, 2))
    for who in (fault.who[: len(fault.who) // 2], fault.who[:-1]):
        if who:
            yield msgspec.structs.replace(fault, who=who)
    if fault.at_s > FIRST + 1:
        yield msgspec.structs.replace(fault, at_s=round((fault.at_s + FIRST) / 2, 2))


def command(world: World) -> str:
    """What replays a world."""
    return f"python -m benchmarks.worlds --world {shlex.quote(msgspec.json.encode(world).decode())}"
