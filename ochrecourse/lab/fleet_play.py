"""Days of many gateways on the virtual network, with faults between them: who reaches whom, what stands
where, and what the fleet owes beside the seven rules, judged from outside.

Gateways, zones and clients have places on the network: a gateway is the host of its name, the nodes of a zone
share the host `zoneN`, clients and the list server have no name and are reached by all. What is judged comes
from records of both ends of the sockets, from what crossed the network, and from the question "what stands?"
that an operator would ask each gateway.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter, defaultdict, deque
from collections.abc import Callable, Iterable, Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import msgspec

from ochrecourse.audit import records as r
from ochrecourse.audit.judge import Verdict, audit
from ochrecourse.decide import Scheduler
from ochrecourse.fleet.forms import FIRST, NEWEST
from ochrecourse.fleet.kept import SLACK
from ochrecourse.fleet.log import HARD, Refused
from ochrecourse.fleet.standing import CHANNEL
from ochrecourse.gateway.daemon import Daemon
from ochrecourse.gateway.gateway import Gateway
from ochrecourse.gateway.ledger import JobStory
from ochrecourse.lab.day import Day, Habits, Plan, Product, RuleFigures, Trouble, capacity, unit_cost
from ochrecourse.lab.figures import figures_of
from ochrecourse.lab.fleet_disk import Disk
from ochrecourse.lab.fleet_notes import NOTES, Notes
from ochrecourse.lab.fleet_site import CHANNELS, Site
from ochrecourse.lab.load import Load, Try, schedule
from ochrecourse.lab.play import DecisionsFor, Played, Seat, VirtualPlay
from ochrecourse.lab.virtual import Way
from ochrecourse.outside import MS, SECOND, now_ns
from ochrecourse.standins.fleet import Fleet, Node
from ochrecourse.standins.machine import NodeKind

SAMPLE = 0.25  # s between two questions "what stands?"; a beat
EQUAL = 6.0  # s after which gateways that reach each other hold the same; quiet, a turn each, some beats
AWAY = 0.95  # of the legs that must go elsewhere for a lost zone to count as left
BIN = 0.25  # s in which legs are counted together
FLEET_PORT = 20_000  # of gateway 0 for the others; ports that nothing else here takes
EPOCH_MS = 1_790_000_000_000  # ms since 1970 at the virtual clock's zero; any time will do
LATE = 0.5  # s between two runs of a late loop
AWAKE = 0.002  # s that it then runs: time for what it does to come back from near by
TROUBLED = 15.0  # s after a zone's fault in which leaving it is no mistake: it may fall again, cold
MOST_UNITS = 4  # of a job; small, so that jobs of a small world are much alike
BEHIND = 40  # beats that the frontier may be behind the clock in a fleet that is whole again
LISTED = 2.5  # s in which the list hears and tells of a start, and a beat
RESETTLED = 10.0  # s at the end without a fault, after which all logs must be equal

# What was on its way over a cut is lost with its connection, as after any silence of seconds.
CUT = Way(cut=True, breaks=True)
WARM_UP = 2.0  # s in which lists and links come up before the day begins
ANEW = 10.0  # s within which disks that are lost are lost at once: a life counts again after less
JOURNAL = 4  # times the bytes that all channels may hold that a journal may have, beside its slack

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

    zone_lost: nodes and gateways of a zone lose power, all come back cold. zone_nodes: its nodes alone, and
    connections to them are refused. zone_cut: a zone reaches itself alone. apart: `who` and the others do not
    reach each other, but all nodes. gateways_cut: `who` reach no gateway and no node. one_way: `who` are not
    heard by other gateways. lossy: messages between zones' gateways are lost (`size` of them) and late. kill:
    `who` are killed and start again, with empty disks if `size` is 1. still: `who` stand still. power: `who`
    lose their power. restart_all: all gateways are killed and start again, with empty disks if `size` is 1.
    rolling: `who` are killed and start again one after the other. clock: the wall clocks of `who` are `size`
    ms off. disk_full, sync_fails: the disks of `who` take no append, or can't be synced. disk_cut: `who` are
    killed and the last `size` records of their journals are gone. crowd: all clients come to the first of
    `who`. edition: a person writes, at each of `who`, that the site closes at `size` s. roll: `who`
    are drained one by one, evenly over the time, and start again as programs that speak forms up to `size`;
    where all speak it then, that form is raised.
    zone_one_way:
    nothing that a zone says comes out of it. pair_one_way: the first of `who` is not heard by the second.
    late: the loops of `who` run only every `size` s, with all that is due at once. Of nodes: zone_grey loses
    all legs of more than `size` units in a zone, grey_each at one node of each zone.
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
    newest: int = NEWEST  # forms up to which programs speak at first
    shifts: dict[str, float] = {}  # ms by which a gateway's wall clock is wrong, by its name
    close_s: float = 0.0  # when the site closes, a whole second; 0: there is no site, and no copies
    let_go_ms: float = 0.0  # away for so long, a gateway is let go; 0: as usual
    channel_bytes: float = 0.0  # of each channel of the log; 0: as usual
    note_bytes: int = 0  # of each note, beside what it says
    compacts: bool = False  # clients put snapshots in place of older notes


def day_of(world: World) -> Day:
    """The day behind a world. What a unit costs is chosen so that about so many jobs a second are due."""
    cores = 2 if world.jobs >= 8 * world.nodes else 1
    kind = NodeKind(
        cores=cores, slots=2 * cores, queue=24, cold_ms=6000, cold_from=0.3, cancel="queued", handshake_ms=0.5
    )  # fmt: skip
    mean = day_units(MOST_UNITS)
    unit = world.load * world.nodes * cores * 1000 / (mean * world.jobs)  # ms, so that so many jobs are due
    soon = max(500.0, 10 * unit)
    products = [
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
        products=products,
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


# --- what a play is made of ---


class ZonedFleet(Fleet):
    """Nodes on hosts by zone, so that zones can be cut off."""

    def start(self, node: Node, cold: bool) -> None:
        network, self.network = self.network, self.network.host(f"zone{node.shard.zone}")  # type: ignore[attr-defined]
        try:
            super().start(node, cold)
        finally:
            self.network = network


class TimedLoad(Load):
    """Keeps when what was due and earned, by when its job was due."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.earned_at: list[tuple[float, float]] = []

    def _fulfilled(self, this: Try, now: int) -> None:
        before = self.outcomes.earned
        super()._fulfilled(this, now)
        if self.outcomes.earned > before:
            self.earned_at.append((this.call.at, self.outcomes.earned - before))

    def payoff_between(self, start: float, end: float) -> float:
        """Payoff in time over payoff due, of the jobs that were due within; s from the day's start."""
        due = sum(self.worth(call) for call in self.calls if start <= call.at < end)
        return sum(worth for at, worth in self.earned_at if start <= at < end) / due if due else 1.0


class FleetSeat(Seat):
    """A gateway with peers on a host of its own. Its disk outlives it, unless it is said to be lost."""

    play: FleetPlay

    def __init__(self, play: VirtualPlay, index: int) -> None:
        super().__init__(play, index)
        self.network = play.network.host(self.name)
        self.disk = Disk()
        self.zone = index % len(play.day.zones)
        self.off = 0  # faults that keep it down
        self.newest = play.world.newest  # type: ignore[attr-defined]
        self.lost = False  # its disk was, once
        self.lost_at = -ANEW  # s
        self.wrong = 0.0  # ms by which its wall clock is wrong

    def settings(self) -> dict[str, Any]:
        record = super().settings()
        if self.play.world.sharing:
            record["fleet"] = self.play.fleet_record(self.index)
            if self.play.site is not None:
                record["sites"] = [{**self.play.site.record(self.play.world.close_s), "edges": [self.name]}]
        return record

    def wall_ms(self) -> int:
        """Its machine's wall clock, ms since 1970."""
        return self.play.wall_at(self.play.network.seconds()) + round(self.wrong)

    def make(self, resolved: dict[str, Any]) -> Daemon:
        if self.play.world.sharing:
            # Not through the settings' text: 190 lists of 189 peers would take longer to read than the day.
            resolved["fleet"]["peers"] = self.play.peers_of(self.index)
            for site in resolved.get("sites", ()):
                site["edges"] = [seat.name for seat in self.play.seats]
            return Daemon(
                resolved, self.network, [self.play], self.play.warnings.append, lambda: None,
                decisions=self.play.decisions, tree=self.tree, epoch=EPOCH_MS // 1000, log=self.disk,
                epoch_ms=self.wall_ms,
            )  # fmt: skip
        return Daemon(
            resolved, self.network, [self.play], self.play.warnings.append, lambda: None,
            decisions=self.play.decisions, tree=self.tree,
        )  # fmt: skip

    def runs(self) -> bool:
        """Whether it can be asked and heard now."""
        return self.daemon is not None and not self.play.network.host(self.name).still

    def stands(self) -> dict[int, tuple[str, int]]:
        """What stands for each zone, as it answers an operator: the word and the number."""
        zones = self.zones()
        if zones is None:
            return {}
        told = {zone: zones.standing(zone) for zone in range(len(self.play.day.zones))}
        return {zone: (standing.name, number) for zone, (standing, number) in told.items()}

    def zones(self) -> Any:
        return getattr(self.part(), "zones", None)

    def lose_disk(self) -> None:
        self.disk, self.copy = Disk(), None
        self.lost, self.lost_at = True, self.play.network.seconds()

    def part(self) -> Any:
        return getattr(self.daemon, "part", None)


# --- the play ---


@dataclass
class Seen:
    """What the world's outside saw of the fleet, beside the records of clients and nodes."""

    breaches: list[tuple[str, float, str]] = field(default_factory=list)  # kind, s, words
    unequal: float = 0.0  # s, the longest that gateways that reach each other differed in a standing
    # s, gateway, zone, word, number
    changes: list[tuple[float, str, int, str, int]] = field(default_factory=list)
    legs: dict[int, Counter[int]] = field(default_factory=dict)  # by node: legs by bin of when they were sent
    largest_bounds: float = 0.0  # of what all gateways together may begin at a cold node, over the limit
    from_copies: int = 0  # answers
    link_bytes: int = 0
    link_writes: int = 0
    by_bin: Counter[int] = field(default_factory=Counter)  # bytes between gateways
    writes_by_bin: Counter[int] = field(default_factory=Counter)
    in_trouble: tuple[float, float] = (0.0, 0.0)  # bytes and writes a gateway a second, in the worst second

    def breach(self, kind: str, at: float, text: str) -> None:
        self.breaches.append((kind, at, text))


class FleetPlay(VirtualPlay):
    """One world, played."""

    fleet_kind = ZonedFleet
    load_kind = TimedLoad
    seat_kind = FleetSeat
    day_of = staticmethod(day_of)
    load: TimedLoad
    seats: list[FleetSeat]  # type: ignore[assignment]

    def __init__(self, world: World, decisions: DecisionsFor = Scheduler) -> None:
        self.world = world
        super().__init__(self.day_of(world), decisions)
        self.seen = Seen()
        self.began = 0.0
        self.spoilt: list[tuple[frozenset[tuple[str, str]], Way]] = []
        self.changed_at = 0.0  # s, when who reaches whom last changed
        self.groups: list[list[FleetSeat]] = []
        self.regroup = True
        self.differ: dict[tuple[str, int], float] = {}  # by group and zone: since when its gateways differ
        self.numbers: dict[tuple[str, int], int] = {}
        self.first = self.network.seconds() + WARM_UP
        self.site = Site(self) if world.close_s and world.sharing else None
        self.notes = Notes(self)
        self.crowds: list[int] = []  # gateways that all clients come to
        self.clocks = 0  # faults of clocks that there were
        self.link_names = frozenset(seat.name for seat in self.seats)
        self.network.meter = self._written
        self.load.steer = self._steer

    def fleet_record(self, index: int) -> dict[str, Any]:
        """The part `fleet` of a gateway's settings."""
        world = self.world
        more: dict[str, Any] = {} if self.site is None else self.site.figures()
        if world.let_go_ms:
            more["let_go"] = world.let_go_ms
        if world.channel_bytes:
            more["log"] = {"channel": world.channel_bytes}
        return {
            "name": "play", "listen": f"127.0.0.1:{FLEET_PORT + index}", "peers": [],
            "shift": self.world.shifts.get(f"g{index}", 0.0), "beat": self.world.beat_ms,
            "quiet": self.world.quiet_ms, "newest_form": self.seats[index].newest,
            "zones": {**self.rates(), **self.world.figures}, **more,
        }  # fmt: skip

    def peers_of(self, index: int) -> list[dict[str, str]]:
        """The others, with their addresses."""
        return [
            {"name": f"g{other}", "address": f"127.0.0.1:{FLEET_PORT + other}"}
            for other in range(self.world.gateways) if other != index
        ]  # fmt: skip

    def rates(self) -> dict[str, float]:
        """What an operator would set by what the nodes can do: units a second at a cold and at a warm one."""
        able = capacity(self.day) / self.day.nodes / unit_cost(self.day)
        return {"cold": round(self.day.rules.start_capacity * able, 2), "full": round(able, 2)}

    def _steer(self, hosts: Sequence[int], first: int) -> int:
        """Clients go to another gateway of their volume where their own is down."""
        order = [*self.crowds, first, *hosts]
        return next((index for index in order if self.load.lines[index].up), first)

    # --- what crosses the network ---

    def _written(self, here: str, there: str, size: int) -> None:
        if there in self.link_names and here in self.link_names:
            at = int((self.network.seconds() - self.began) / BIN)
            self.seen.by_bin[at] += size
            self.seen.writes_by_bin[at] += 1

    def job_over(self, gateway: Gateway, story: JobStory) -> None:
        """When legs were sent where; those that never came to their node are known here alone."""
        for leg in story.legs:
            at = int((leg.sent / SECOND - self.began) / BIN)
            self.seen.legs.setdefault(leg.node, Counter())[at] += 1

    def _add_links(self) -> None:
        seen, bins = self.seen, range(int(self.world.length_s / BIN))
        seen.link_bytes = sum(seen.by_bin[i] for i in bins)
        seen.link_writes = sum(seen.writes_by_bin[i] for i in bins)
        span = round(1 / BIN)
        worst = max((sum(seen.by_bin[i + j] for j in range(span)), i) for i in bins)[1]
        per = self.world.gateways
        seen.in_trouble = (
            sum(seen.by_bin[worst + j] for j in range(span)) / per,
            sum(seen.writes_by_bin[worst + j] for j in range(span)) / per,
        )

    # --- faults ---

    def run_faults(self) -> None:
        for fault in self.world.faults:
            if fault.kind != "burst":
                self.network.callLater(fault.at_s, self._strike, fault)

    def _strike(self, fault: Fault) -> None:
        what = f"zone {fault.zone}, gateways {list(fault.who)}, {fault.len_s:g} s, size {fault.size:g}"
        self.record(r.Trouble(t=now_ns(self.network), kind=fault.kind, what=what))
        mend = getattr(self, f"_{fault.kind}", self._of_nodes)(fault)
        self._reach_changed()

        def mended() -> None:
            mend()
            self._reach_changed()

        self.network.callLater(fault.len_s, mended)

    def _of_nodes(self, fault: Fault) -> Callable[[], None]:
        part = fault.size if fault.kind == "vanish" else 0.2
        return self.fleet.strike(
            fault.kind, part, fault.size, 0.0, fault.len_s, self.day.zones[fault.zone % self.world.zones]
        )

    def _zone_lost(self, fault: Fault) -> Callable[[], None]:
        zone = self.day.zones[fault.zone]
        nodes = self.fleet.strike("zone_lost", 0, 0, 0, fault.len_s, zone)
        seats = [seat for seat in self.seats if seat.zone == fault.zone]
        back = self._down(seats, lost=False, silent=True)

        def mend() -> None:
            nodes()
            back()

        return mend

    def _zone_nodes(self, fault: Fault) -> Callable[[], None]:
        zone = self.day.zones[fault.zone]
        return self.fleet.strike("zone_lost", 0, 0, 1.0, fault.len_s, zone)

    def _zone_cut(self, fault: Fault) -> Callable[[], None]:
        inside = {seat.name for seat in self.seats if seat.zone == fault.zone} | {f"zone{fault.zone}"}
        return self._between(inside, self._hosts() - inside, CUT)

    def _apart(self, fault: Fault) -> Callable[[], None]:
        some = {f"g{index}" for index in fault.who}
        return self._between(some, self.link_names - some, Way(cut=True))

    def _gateways_cut(self, fault: Fault) -> Callable[[], None]:
        some = {f"g{index}" for index in fault.who}
        mends = [self._between({name}, self._hosts() - {name}, CUT) for name in sorted(some)]

        def mend() -> None:
            for each in mends:
                each()

        return mend

    def _one_way(self, fault: Fault) -> Callable[[], None]:
        some = {f"g{index}" for index in fault.who}
        pairs = {(here, there) for here in some for there in self.link_names - some}
        return self._spoil(pairs, Way(cut=True))

    def _zone_one_way(self, fault: Fault) -> Callable[[], None]:
        inside = {seat.name for seat in self.seats if seat.zone == fault.zone} | {f"zone{fault.zone}"}
        return self._spoil({(here, there) for here in inside for there in self._hosts() - inside}, CUT)

    def _pair_one_way(self, fault: Fault) -> Callable[[], None]:
        names = [f"g{index}" for index in fault.who[:2]]
        return self._spoil({(names[0], names[-1])} if len(names) > 1 else set(), Way(cut=True))

    def _late(self, fault: Fault) -> Callable[[], None]:
        seats, over = [self.seats[index] for index in fault.who], False

        def wait(seat: FleetSeat) -> None:
            if not over and seat.runs():
                self.network.host(seat.name).stand_still(True)
            if not over:
                self.network.callLater(fault.size or LATE, go, seat)

        def go(seat: FleetSeat) -> None:
            if over or not self.network.host(seat.name).still:
                return
            self.network.host(seat.name).stand_still(False)
            self.network.callLater(AWAKE, wait, seat)

        for seat in seats:
            self.record(r.Stopped(t=now_ns(self.network), gateway=seat.name))
            wait(seat)

        def mend() -> None:
            nonlocal over
            over = True
            for seat in seats:
                self.network.host(seat.name).stand_still(False)
                self.record(r.Stopped(t=now_ns(self.network), gateway=seat.name, on=True))

        return mend

    def _lossy(self, fault: Fault) -> Callable[[], None]:
        pairs = {
            (here.name, there.name) for here in self.seats for there in self.seats if here.zone != there.zone
        }
        return self._spoil(pairs, Way(lose=fault.size or 0.3, late=(0.0, 0.2)))

    def _kill(self, fault: Fault) -> Callable[[], None]:
        return self._down([self.seats[index] for index in fault.who], lost=fault.size >= 1, silent=False)

    def _roll(self, fault: Fault) -> Callable[[], None]:
        gap = fault.len_s / len(fault.who)
        for place, index in enumerate(fault.who):
            self.network.callLater(place * gap, self._replace, self.seats[index], int(fault.size))
        return partial(self._raise_form, int(fault.size))

    def _replace(self, seat: FleetSeat, newest: int) -> None:
        """Asks a gateway to leave; the next program starts when it has."""
        daemon = seat.daemon
        if daemon is None:
            return

        def gone() -> None:
            if seat.daemon is daemon:
                seat.copy = daemon.follower.view.copy(now_ns(self.network))
                self.add_up(daemon)
                seat.newest = newest or seat.newest
                seat.start()

        daemon.gone = gone
        daemon.drain()

    def _raise_form(self, form: int) -> None:
        """The last ones may not be admitted yet, or a fault may keep one away: asked again for a while."""
        seats = [seat for seat in self.seats if seat.runs()]
        if form <= FIRST or not self.world.sharing or any(seat.newest < form for seat in self.seats):
            return
        if all(seat.part().forms.in_force == form for seat in seats):
            return
        with suppress(Refused):
            seats[0].part().raise_form(form)
        self.network.callLater(1.0, self._raise_form, form)

    def _still(self, fault: Fault) -> Callable[[], None]:
        struck = [self.seats[index] for index in fault.who if self.seats[index].runs()]
        for seat in struck:
            self.network.host(seat.name).stand_still(True)
            self.record(r.Stopped(t=now_ns(self.network), gateway=seat.name))

        def mend() -> None:
            for seat in struck:
                if self.network.host(seat.name).still:
                    self.network.host(seat.name).stand_still(False)
                    self.record(r.Stopped(t=now_ns(self.network), gateway=seat.name, on=True))

        return mend

    def _power(self, fault: Fault) -> Callable[[], None]:
        return self._down([self.seats[index] for index in fault.who], lost=False, silent=True)

    def _restart_all(self, fault: Fault) -> Callable[[], None]:
        return self._down(self.seats, lost=fault.size >= 1, silent=False)

    def _rolling(self, fault: Fault) -> Callable[[], None]:
        """Each is down for some part of its turn, so that there is one at a time at the most."""
        turn = fault.len_s / len(fault.who)

        def roll(seat: FleetSeat) -> None:
            back = self._down([seat], lost=False, silent=False)
            self._reach_changed()

            def up() -> None:
                back()
                self._reach_changed()

            self.network.callLater(0.6 * turn, up)

        for i, index in enumerate(fault.who):
            self.network.callLater(i * turn, roll, self.seats[index])
        return lambda: None

    def _clock(self, fault: Fault) -> Callable[[], None]:
        self.clocks += 1
        return self._each(fault, lambda seat, on: setattr(seat, "wrong", seat.wrong + on * fault.size))

    def _disk_full(self, fault: Fault) -> Callable[[], None]:
        return self._each(fault, lambda seat, on: setattr(seat.disk, "full", max(0, seat.disk.full + on)))

    def _sync_fails(self, fault: Fault) -> Callable[[], None]:
        return self._each(fault, lambda seat, on: setattr(seat.disk, "fails", max(0, seat.disk.fails + on)))

    def _each(self, fault: Fault, act: Callable[[FleetSeat, int], None]) -> Callable[[], None]:
        """Does something to each gateway struck, with 1, and takes it back, with -1."""
        for index in fault.who:
            act(self.seats[index], 1)

        def mend() -> None:
            for index in fault.who:
                act(self.seats[index], -1)

        return mend

    def _disk_cut(self, fault: Fault) -> Callable[[], None]:
        struck = [self.seats[index] for index in fault.who]
        back = self._down(struck, lost=False, silent=False)
        for seat in struck:
            seat.disk.cut(round(fault.size))
            seat.lost, seat.lost_at = True, self.network.seconds()
        self._look_at_disks()
        return back

    def _crowd(self, fault: Fault) -> Callable[[], None]:
        self.crowds.insert(0, fault.who[0])
        return lambda: self.crowds.remove(fault.who[0])

    def _edition(self, fault: Fault) -> Callable[[], None]:
        return self.site.strike(fault) if self.site is not None else lambda: None

    def _reach_changed(self) -> None:
        self.changed_at, self.regroup = self.network.seconds(), True

    def _look_at_disks(self) -> None:
        """Half of the fleet's disks lost at once, and the log may begin anew: nothing is promised of it."""
        now = self.network.seconds()
        if 2 * sum(now - seat.lost_at < ANEW for seat in self.seats) >= len(self.seats):
            self.notes.begin_anew()

    def _down(self, seats: list[FleetSeat], lost: bool, silent: bool) -> Callable[[], None]:
        """Ends gateways until mended. `silent`: their machines too, so that peers hear nothing of it and what
        was not synced is gone."""
        whole = self._between({seat.name for seat in seats}, self._hosts(), Way(cut=True)) if silent else None
        for seat in seats:
            seat.off += 1
            if seat.daemon is not None:
                if self.network.host(seat.name).still:
                    self.network.host(seat.name).stand_still(False)
                    self.record(r.Stopped(t=now_ns(self.network), gateway=seat.name, on=True))
                if silent and self.world.sharing and self.world.notes:
                    self.notes.write(seat)  # answered just before the power goes: it must outlive that
                seat.kill()
            if silent:
                seat.disk.power_cut()
            if lost:
                seat.lose_disk()
        self._look_at_disks()

        def mend() -> None:
            if whole is not None:
                whole()
            for seat in seats:
                seat.off -= 1
                if not seat.off and seat.daemon is None:
                    seat.start()

        return mend

    def _hosts(self) -> set[str]:
        return {*self.link_names, *self.day.zones}

    def _between(self, some: Iterable[str], others: Iterable[str], way: Way) -> Callable[[], None]:
        pairs = {(here, there) for here in some for there in others if here != there}
        return self._spoil(pairs | {(there, here) for here, there in pairs}, way)

    def _spoil(self, pairs: set[tuple[str, str]], way: Way) -> Callable[[], None]:
        """Ways are as the worst of the faults on them."""
        spoil = (frozenset(pairs), way)
        self.spoilt.append(spoil)
        self._set_ways(pairs)

        def mend() -> None:
            self.spoilt.remove(spoil)
            self._set_ways(pairs)

        return mend

    def _set_ways(self, pairs: Iterable[tuple[str, str]]) -> None:
        for here, there in sorted(pairs):
            ways = [way for spoilt, way in self.spoilt if (here, there) in spoilt]
            whole = Way(
                cut=any(way.cut for way in ways),
                breaks=any(way.breaks for way in ways),
                lose=max((way.lose for way in ways), default=0.0),
                late=max((way.late for way in ways), default=(0.0, 0.0)),
            )
            self.network.set_way(here, there, whole if ways else None)

    # --- what stands, as the outside sees it ---

    def _group(self) -> None:
        """Who reaches whom, both ways, over others too; each group is a list of gateways."""
        left = [seat for seat in self.seats if seat.runs()]
        groups: list[list[FleetSeat]] = []
        ways = self.network.ways
        while left:
            group, new = [left.pop(0)], 0
            while new < len(group):
                here, new = group[new].name, new + 1
                apart: list[FleetSeat] = []
                for seat in left:
                    cut = self.network.cut_off(here, seat.name) or self.network.cut_off(seat.name, here)
                    (apart if ways and cut else group).append(seat)
                left = apart
            groups.append(group)
        self.groups, self.regroup = groups, False

    def _sample(self) -> None:
        now = self.network.seconds()
        if self.regroup:
            self._group()
            self.differ.clear()
        settled = now - self.changed_at
        self._allowed(now)
        self._bounded(now)
        for group in self.groups:
            first: dict[int, tuple[str, int]] = {}
            names = group[0].name
            unequal: set[int] = set()
            for seat in group:
                for zone, stood in seat.stands().items():
                    if first.setdefault(zone, stood) != stood:
                        unequal.add(zone)
                    self._moved(seat, zone, *stood)
                stood_all = [word for word, _ in seat.stands().values()]
                if stood_all and all(word == "LEFT" for word in stood_all):
                    self.seen.breach("last zone left", now - self.began, f"{seat.name} holds all zones left")
            for zone in range(self.world.zones):
                if zone not in unequal:
                    self.differ.pop((names, zone), None)
                    continue
                since = self.differ.setdefault((names, zone), now)
                span = min(now - since, settled)
                self.seen.unequal = max(self.seen.unequal, span)
                if span > EQUAL and span <= EQUAL + SAMPLE:
                    self.seen.breach(
                        "unequal standing", now - self.began,
                        f"{len(group)} gateways reach each other and differ for {span:.2f} s on zone {zone}",
                    )  # fmt: skip
        self.network.callLater(SAMPLE, self._sample)

    def _moved(self, seat: FleetSeat, zone: int, word: str, number: int) -> None:
        key = (f"{seat.name}/{seat.lives}", zone)
        last = self.numbers.get(key, 0)
        if number == last:
            return
        at = self.network.seconds() - self.began
        self.seen.changes.append((at, seat.name, zone, word, number))
        if number < last:
            text = f"{seat.name} held number {last} of zone {zone}, then {number}"
            self.seen.breach("standing went back", at, text)
        if word == "LEFT" and not self._troubled(zone, at):
            text = f"{seat.name} holds zone {zone} left, in which nothing failed"
            self.seen.breach("whole zone left", at, text)
        self.numbers[key] = number

    def _troubled(self, zone: int, at: float) -> bool:
        """Whether the zone's nodes were struck, or cut off, now or not long ago."""
        for fault in self.world.faults:
            here = fault.zone == zone if fault.kind in ZONE_FAULTS else fault.kind in NODE_TROUBLES
            if here and fault.at_s <= at <= fault.at_s + fault.len_s + TROUBLED:
                return True
        return False

    def _allowed(self, now: float) -> None:
        """What all gateways that bound a cold node together may begin there, against the limit."""
        sums: dict[int, float] = defaultdict(float)
        limit = 0.0
        for seat in self.seats:
            zones = seat.zones()
            if zones is not None and seat.daemon is not None:
                limit = zones.figure["cold"]
                for node, rate in zones.bounds(now_ns(self.network)).items():
                    sums[node] += rate
        for node, total in sorted(sums.items()):
            machine = self.fleet.nodes[node].machine if node in self.fleet.nodes else None
            if machine is None or not machine.cold_for or machine.warmth(now_ns(self.network)) >= 1:
                continue
            if now_ns(self.network) - machine.started < LISTED * SECOND:
                continue  # nobody was told yet that it started; rule 4 holds all the same
            if total > limit * 1.001 and self.seen.largest_bounds <= limit * 1.001:
                text = f"{total:.2f} units a second may begin at cold node {node}, not {limit:g}"
                self.seen.breach("sum at a cold node", now - self.began, text)
            self.seen.largest_bounds = max(self.seen.largest_bounds, total)

    # --- what is bounded ---

    def _bounded(self, now: float) -> None:
        """What each gateway holds for the others stays within what the settings allow."""
        for seat in self.seats:
            part = seat.part()
            if part is None or not seat.runs():
                continue
            log = part.log
            sizes = {channel: log.bytes_of(channel) for channel in log.channels()}
            most = HARD * log.bounds.channel_bytes
            links = len(self.seats) + 64  # one to each, and those that have not said who they are
            held = {
                "bytes of a channel": (max(sizes.values(), default=0), most),
                "links": (len(part.links), links),
                "rows": (len(part.members.rows), len(self.seats)),
                "bytes of the journal": (seat.disk.size(), SLACK + JOURNAL * max(most, sum(sizes.values()))),
                "lines noted": (len(log.notes), 256),
            }
            if seat.daemon is not None and (purger := seat.daemon.purger) is not None:
                held["bytes of copies"] = (purger.copies.held.currsize, purger.copies.held.maxsize)
                held["jobs that wait for a copy"] = (len(purger.copies.waits), 4096)
            for what, (got, bound) in held.items():
                if got > bound:
                    text = f"{seat.name} holds {got} {what}, {bound} at the most"
                    self.seen.breach("not bounded", now - self.began, text)

    # --- the end ---

    def _at_the_end(self) -> None:
        """Once all is mended and some time has passed, all hold the same, and nothing answered is lost."""
        seats = [seat for seat in self.seats if seat.runs()]
        at = self.network.seconds() - self.began
        self.notes.at_the_end(seats)
        # Where the log may begin anew, old snapshots of notes may stand at some gateways and not at others.
        notes = () if self.notes.begun_anew and self.world.compacts else (NOTES,)
        for channel in (CHANNEL, *notes, *CHANNELS):
            held = {seat.part().dump(channel) for seat in seats}
            if len(held) > 1:
                self.seen.breach("logs differ", at, f"{len(held)} forms of channel {channel}")
        if len({seat.part().forms.in_force for seat in seats}) > 1:
            self.seen.breach("forms differ", at, "not all hold one form for the one in force")
        behind = max(seat.part().wall_ms() - seat.part().log.frontier().ms for seat in seats) / 1000
        if behind > BEHIND * self.world.beat_ms / 1000 and not self.world.shifts:
            self.seen.breach("frontier stands still", at, f"it is {behind:.1f} s behind")
        if self.site is not None and not self.notes.begun_anew:
            self.site.at_the_end(seats)

    def wall_at(self, seconds: float) -> int:
        """ms since 1970 at a time of the virtual clock."""
        return EPOCH_MS + round(seconds * 1000)

    # --- the run ---

    def run(self) -> Played:
        for seat in self.seats:
            seat.start()
        self.load.connect()
        self.network.advance(WARM_UP)
        self.began = self.network.seconds()
        self.seen.legs.clear()
        self.seen.by_bin.clear()
        self.seen.writes_by_bin.clear()
        self.run_faults()
        self._sample()
        if self.world.sharing and self.world.notes:
            self.notes.start()
        calls = schedule(self.day)
        self.played.calls = len(calls)
        self.load.start(calls)
        self.network.advance(self.world.length_s)
        self._add_links()
        end = self.network.seconds() + 8.0
        while not self.load.done and self.network.seconds() < end:
            self.network.advance(0.5)
        last = max((each.at_s + each.len_s for each in self.world.faults), default=0.0)
        self.network.run_until(max(self.network.seconds() + 1.0, self.began + last + RESETTLED))
        if self.world.sharing:
            self._at_the_end()
        for seat in self.seats:
            if seat.daemon is not None:
                self.add_up(seat.daemon)
        return self.played


# --- figures and verdict ---


@dataclass
class Judged:
    """What came of a world: the seven rules, the fleet's own breaches, and figures."""

    verdict: Verdict
    breaches: list[tuple[str, float, str]]  # kind, s from the start, words
    figures: dict[str, float]

    def kinds(self) -> list[str]:
        """What broke, each kind once."""
        rules = [f"rule {i}" for i, each in enumerate(self.verdict.findings, 1) if each.breaches]
        return sorted({*rules, *(kind for kind, _, _ in self.breaches)})

    def lines(self) -> list[str]:
        told = [f"at {at:.2f} s: {kind}: {text}" for kind, at, text in self.breaches[:10]]
        for i, each in enumerate(self.verdict.findings, 1):
            told += [f"rule {i}, {text}" for text in each.breaches[:3]]
        return told


def judge(play: FleetPlay) -> Judged:
    """Judges a world that was played."""
    verdict = audit(figures_of(play.day), play.records)
    figures: dict[str, float] = {
        "payoff": play.load.outcomes.payoff(),
        "jobs": float(play.played.calls),
        "unequal_s": play.seen.unequal,
        "cold_share": cold_share(play),
        "cold_bounds": play.seen.largest_bounds,
        "from_copies": float(play.seen.from_copies),
        "denied_though_held": float(denied_though_held(play)),
        "link_bytes": play.seen.link_bytes / play.world.gateways / play.world.length_s,
        "link_writes": play.seen.link_writes / play.world.gateways / play.world.length_s,
        "link_bytes_trouble": play.seen.in_trouble[0],
        "link_writes_trouble": play.seen.in_trouble[1],
    }
    for fault in play.world.faults:
        if fault.kind in ("zone_lost", "zone_nodes", "zone_cut"):
            start, end = fault.at_s - 5.0, fault.at_s + 55.0
            figures["payoff_around"] = play.load.payoff_between(start, end)
            figures["payoff_lost"] = play.load.payoff_between(fault.at_s, fault.at_s + fault.len_s)
            figures["payoff_after"] = play.load.payoff_between(
                fault.at_s + fault.len_s, fault.at_s + fault.len_s + 20
            )
            figures["away_s"] = away(play, fault)
            figures["one_standing_s"] = one_standing(play, fault)
            figures["full_s"] = full_service(play, fault)
            break
    return Judged(verdict, play.seen.breaches, figures)


def away(play: FleetPlay, fault: Fault) -> float:
    """s from a zone's loss until 95% of new legs go elsewhere, for good as long as it is lost."""
    inside = {number for number, node in play.fleet.nodes.items() if node.shard.zone == fault.zone}
    last = fault.at_s
    # Over a second, so that a few probes among few legs are no return; none that reaches beyond its end,
    # where legs that go there are no mistake.
    wide = int(1 / BIN)
    for at in range(int(fault.at_s / BIN), int((fault.at_s + fault.len_s) / BIN) - wide + 1):
        span = range(at, at + wide)
        there = sum(counts[i] for node, counts in play.seen.legs.items() if node in inside for i in span)
        whole = sum(counts[i] for counts in play.seen.legs.values() for i in span)
        if whole and there > (1 - AWAY) * whole:
            last = (at + 1) * BIN
    return last - fault.at_s


def one_standing(play: FleetPlay, fault: Fault) -> float:
    """s from a zone's loss until all gateways that run hold it left at once; its length if they never do."""
    names = {seat.name for seat in play.seats if fault.kind == "zone_nodes" or seat.zone != fault.zone}
    left: set[str] = set()
    for at, name, zone, word, _ in play.seen.changes:
        if zone == fault.zone and fault.at_s <= at <= fault.at_s + fault.len_s and name in names:
            left = left | {name} if word == "LEFT" else left - {name}
            if left == names:
                return at - fault.at_s
    return fault.len_s


def full_service(play: FleetPlay, fault: Fault) -> float:
    """s from a zone's return until it takes 80% of the part of all legs that it took before its loss."""
    inside = {number for number, node in play.fleet.nodes.items() if node.shard.zone == fault.zone}
    ends = int(play.world.length_s / BIN)

    def part(start: int, end: int) -> float:
        whole = sum(counts[i] for counts in play.seen.legs.values() for i in range(start, end))
        there = sum(c[i] for node, c in play.seen.legs.items() if node in inside for i in range(start, end))
        return there / whole if whole else 0.0

    before = part(0, int(fault.at_s / BIN))
    back = int((fault.at_s + fault.len_s) / BIN)
    span = int(2 / BIN)
    for at in range(back, max(back, ends - span)):
        if part(at, at + span) >= 0.8 * before:
            return (at + span) * BIN - fault.at_s - fault.len_s
    return play.world.length_s - fault.at_s - fault.len_s


def cold_share(play: FleetPlay) -> float:
    """The largest sum at any cold node over the time of the rule, as a part of what pushes it over."""
    rules, worst = play.day.rules, 0.0
    fall = round(rules.fall_ms * MS)
    ups: dict[int, list[r.NodeUp]] = defaultdict(list)
    came: dict[int, list[r.LegCame]] = defaultdict(list)
    for record in play.records:
        if isinstance(record, r.NodeUp) and record.cold_for:
            ups[record.node].append(record)
        elif isinstance(record, r.LegCame):
            came[record.node].append(record)
    for node, starts in ups.items():
        for up in starts:
            window: deque[r.LegCame] = deque()
            work = 0.0
            for leg in came[node]:
                if not up.t <= leg.t <= up.t + up.cold_for:
                    continue
                window.append(leg)
                work += leg.work
                while window[0].t <= leg.t - fall:
                    work -= window.popleft().work
                since = max(up.t, leg.t - fall)
                warm = [up.cold_from + (1 - up.cold_from) * (t - up.t) / up.cold_for for t in (since, leg.t)]
                able = up.capacity / SECOND * (warm[0] + warm[1]) / 2 * fall
                worst = max(worst, work / (rules.multiple * able + max(each.work for each in window)))
    return worst


def denied_though_held(play: FleetPlay) -> int:
    """Jobs that got nothing in their last try though a node that was up, in a zone that was whole, had what
    they asked for.
    """
    holders: dict[int, list[int]] = defaultdict(list)
    zone_of: dict[int, int] = {}
    turns: dict[int, list[tuple[int, bool]]] = defaultdict(list)
    for record in play.records:
        if isinstance(record, r.NodeUp):
            holders[record.shard].append(record.node)
            zone_of[record.node] = record.zone
            turns[record.node].append((record.t, True))
        elif isinstance(record, r.NodeDown):
            turns[record.node].append((record.t, False))
    began = round(play.began * SECOND)
    bad = [
        (each.zone, began + round(each.at_s * SECOND), began + round((each.at_s + each.len_s) * SECOND))
        for each in play.world.faults if each.kind in ZONE_FAULTS
    ]  # fmt: skip

    def serves(node: int, t: int) -> bool:
        told = turns[node]
        at = bisect_right(told, (t, True)) - 1
        whole = not any(zone == zone_of[node] and start <= t <= end for zone, start, end in bad)
        return at >= 0 and told[at][1] and whole

    last: dict[str, tuple[r.Asked, str]] = {}
    asked: dict[tuple[str, int, int], r.Asked] = {}
    for record in play.records:
        if isinstance(record, r.Asked):
            asked[record.gateway, record.conn, record.id] = record
            last[record.trace.split(".")[0]] = (record, "no answer")
        elif isinstance(record, r.Told):
            job = asked[record.gateway, record.conn, record.id]
            if last[job.trace.split(".")[0]][0] is job:
                last[job.trace.split(".")[0]] = (job, record.how)
    denied = [job for job, how in last.values() if how != "fulfilled"]
    return sum(
        any(serves(node, job.t) for node in (holders[job.shard] if job.shard >= 0 else turns))
        for job in denied
    )
