"""One scenario of a fleet, described: its size, its faults, and what its clients and nodes are like."""

from __future__ import annotations

from typing import Any

import msgspec

from ochrecourse.fleet.format_versions import NEWEST_VERSION
from ochrecourse.lab.day import Day, Habits, Plan, Product, RuleFigures, Trouble
from ochrecourse.standins.node_process import NodeKind

MOST_UNITS = 4  # of a job; small, so that jobs of a small world are much alike

# Faults between gateways and of zones. Troubles of nodes that days know already go by their own names.
FAULTS = (
    "zone_lost", "zone_nodes", "zone_cut", "apart", "gateways_cut", "one_way", "lossy", "kill", "still",
    "power", "restart_all", "rolling", "clock", "disk_full", "sync_fails", "disk_cut", "crowd", "edition",
    "roll", "zone_one_way", "pair_one_way", "late",
)  # fmt: skip
ZONE_FAULTS = ("zone_lost", "zone_nodes", "zone_cut", "zone_slow", "zone_one_way", "zone_grey")
NODE_TROUBLES = ("zone_slow", "slow", "fast_errors", "mass_restart", "preempt", "vanish")


class Fault(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, omit_defaults=True):
    """What breaks between gateways. `zone`, `who`: the zone, the gateways struck; `size` as the kind needs.

    zone_lost: nodes and gateways of a zone lose power, all come back cold.
    zone_nodes: a zone's nodes alone lose power, and connections to them are refused.
    zone_cut: a zone reaches itself alone.
    zone_one_way: nothing that a zone says comes out of it.
    apart: `who` and the others do not reach each other, but all nodes.
    gateways_cut: `who` reach no gateway and no node.
    one_way: `who` are not heard by other gateways.
    pair_one_way: the first of `who` is not heard by the second.
    lossy: messages between zones' gateways are lost (`size` of them) and late.
    kill: `who` are killed and start again, with empty disks if `size` is 1.
    power: `who` lose their power.
    still: `who` stand still.
    late: the loops of `who` run only every `size` s, with all that is due at once.
    restart_all: all gateways are killed and start again, with empty disks if `size` is 1.
    rolling: `who` are killed and start again one after the other.
    roll: `who` are drained one by one, evenly over the time, and start again as programs that speak forms up
    to `size`; where all speak it then, that form is raised.
    clock: the wall clocks of `who` are `size` ms off.
    disk_full, sync_fails: the disks of `who` take no append, or can't be synced.
    disk_cut: `who` are killed and the last `size` records of their journals are gone.
    crowd: all clients come to the first of `who`.
    edition: a person writes, at each of `who`, that the site closes at `size` s.
    zone_grey: the nodes of a zone lose all legs of more than `size` units.
    grey_each: as zone_grey, at one node of each zone.
    """

    kind: str
    at_s: float
    len_s: float
    zone: int = 0
    who: tuple[int, ...] = ()
    size: float = 0.0


class World(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, omit_defaults=True):
    """One world: a fleet's size, the faults, and whether gateways share what they see."""

    seed: int = 1
    gateways: int = 6
    nodes: int = 6
    zones: int = 3
    length_s: float = 20.0
    layout: tuple[tuple[int, int], ...] = ()  # by node its shard and its zone; none: each shard in two zones
    load: float = 0.5
    jobs: float = 40.0  # a second, about
    faults: tuple[Fault, ...] = ()
    sharing: bool = True
    beat_ms: float = 250.0
    quiet_ms: float = 2000.0
    figures: dict[str, float] = {}  # of the part `zones`, where not the usual ones
    notes: bool = True  # each gateway appends a note a second and reads all of them
    newest: int = NEWEST_VERSION  # forms up to which programs speak at first
    shifts: dict[str, float] = {}  # ms by which a gateway's wall clock is wrong, by its name
    close_s: float = 0.0  # when the site closes, a whole second; 0: there is no site, and no copies
    let_go_ms: float = 0.0  # away for so long, a gateway is let go; 0: as usual
    channel_bytes: float = 0.0  # of each channel of the log; 0: as usual
    note_bytes: int = 0  # of each note, beside what it says
    sync_ms: float = 0.0  # that an operation on a gateway's journal takes at the longest; drawn for each
    compacts: bool = False  # clients put snapshots in place of older notes


def products_of(unit: float) -> list[Product]:
    """What clients ask for; a unit costs about so many ms."""
    soon = max(500.0, 10 * unit)
    return [
        Product(
            name="page-read", share=0.6, promised_ms=soon, timeout_ms=4 * soon, payoff=2, unit_ms=unit / 1.08
        ),
        Product(
            name="note-save", share=0.2, promised_ms=1.5 * soon, timeout_ms=5 * soon, payoff=3, in_order=True,
            effect="fingerprinted", group="cell", window_ms=6 * soon, writes=True, unit_ms=1.2 * unit / 1.08,
        ),
        Product(
            name="ledger-post", share=0.2, promised_ms=1.5 * soon, timeout_ms=5 * soon, payoff=3,
            effect="binding", writes=True, fresh=True, unit_ms=1.2 * unit / 1.08,
        ),
    ]  # fmt: skip


def day_of(world: World) -> Day:
    """The day behind a world. What a unit costs is chosen so that about so many jobs a second are due."""
    cores = 2 if world.jobs >= 8 * world.nodes else 1
    kind = NodeKind(
        cores=cores, slots=2 * cores, queue=24, cold_ms=6000, cold_from=0.3, cancel="queued", handshake_ms=0.5
    )  # fmt: skip
    mean = day_units(MOST_UNITS)
    unit = world.load * world.nodes * cores * 1000 / (mean * world.jobs)  # ms, so that so many jobs are due
    names = tuple(f"zone{zone}" for zone in range(world.zones))
    # The same objects again and again, so that copies are of use.
    reads: dict[str, Any] = {"dated": True, "runs": 4.0, "keys": 4} if world.close_s else {}
    return Day(
        name="fleet",
        seed=world.seed,
        length_s=world.length_s,
        gateways=world.gateways,
        nodes=world.nodes,
        zones=names,
        load=world.load,
        volumes_a_node=1.0 if world.close_s else 4.0,
        surges=0.0,
        products=products_of(unit),
        plans=[
            Plan(name="open", share=0.5, reserve=0.3, worth=0.8, hosts=(3, 6)),
            Plan(name="gold", share=0.5, size=2, reserve=1.1, weight=4, worth=1.4, hosts=(3, 6)),
        ],
        kinds=(kind,),
        habits=Habits(retries=1, impatient=0.0, connections=1),
        rules=RuleFigures(budget_share=0.25, cold_ms=6000.0, start_capacity=0.3),
        most_units=MOST_UNITS,
        copies=2 if world.zones > 1 and world.nodes % 2 == 0 and not world.layout else 1,
        layout=world.layout,
        silent_notice_ms=60_000.0,  # the list says nothing of a lost zone: the fleet must see it
        troubles=[
            Trouble(kind="burst", at_s=each.at_s, len_s=each.len_s, size=each.size or 1.8)
            for each in world.faults if each.kind == "burst"
        ],
        **reads,
    )  # fmt: skip


def day_units(most: int) -> float:
    """Units of a job in the mean (lab.day.Day.mean_units)."""
    return sum(n * 0.5 ** min(n, most - 1) for n in range(1, most + 1))
