"""Plays a fleet's scenario on the virtual network: many gateways, the faults between them, and their clients.

Gateways, zones and clients have places on the network: a gateway is the host of its name, the nodes of a zone
share the host `zoneN`, clients and the list server have no name and are reached by all. What is judged comes
from records of both ends of the sockets, from what crossed the network, and from the question "what stands?"
that an operator would ask each gateway.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from typing import Any

from ochrecourse.scheduler.scheduler import Scheduler
from ochrecourse.gateway.gateway import Gateway
from ochrecourse.common.request_records import RequestRecord
from ochrecourse.lab.day import capacity, unit_cost
from ochrecourse.lab.fleet_checks import BIN, SAMPLE, Checks, Seen
from ochrecourse.lab.fleet_faults import Faults
from ochrecourse.lab.fleet_instance import EPOCH_MS, FleetSeat
from ochrecourse.lab.fleet_notes import Notes
from ochrecourse.lab.fleet_reach import Reach
from ochrecourse.lab.fleet_site import Site
from ochrecourse.lab.fleet_world import World, day_of
from ochrecourse.lab.load import Load, Try, schedule
from ochrecourse.lab.play import DecisionsFor, Played, VirtualPlay
from ochrecourse.common.time_units import SECOND
from ochrecourse.standins.node_fleet import NodeFleet, Node

FLEET_PORT = 20_000  # of gateway 0 for the others; ports that nothing else here takes
RESETTLED = 10.0  # s at the end without a fault, after which all logs must be equal
WARM_UP = 2.0  # s in which lists and links come up before the day begins


class ZonedFleet(NodeFleet):
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


class FleetPlay(VirtualPlay):
    """One world, played."""

    fleet_kind = ZonedFleet
    load_kind = TimedLoad
    seat_kind = FleetSeat
    faults_kind: type[Faults] = Faults
    day_of = staticmethod(day_of)
    load: TimedLoad
    seats: list[FleetSeat]  # type: ignore[assignment]

    def __init__(self, world: World, decisions: DecisionsFor = Scheduler) -> None:
        self.world = world
        super().__init__(self.day_of(world), decisions)
        self.seen = Seen()
        self.began = 0.0
        self.reach = Reach(self.network, self.seats, self.day.zones)
        self.first = self.network.seconds() + WARM_UP
        self.site = Site(self) if world.close_s and world.sharing else None
        self.notes = Notes(self)
        self.crowds: list[int] = []  # gateways that all clients come to
        self.checks = Checks(self)
        self.faults = self.faults_kind(self)
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
        if there in self.reach.gateways and here in self.reach.gateways:
            at = int((self.network.seconds() - self.began) / BIN)
            self.seen.by_bin[at] += size
            self.seen.writes_by_bin[at] += 1

    def request_finished(self, gateway: Gateway, story: RequestRecord) -> None:
        """When legs were sent where; those that never came to their node are known here alone."""
        for leg in story.attempts:
            at = int((leg.sent_at / SECOND - self.began) / BIN)
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

    # --- the run ---

    def run_faults(self) -> None:
        """Sets the world's faults to come, from now on."""
        self.faults.start()

    def _sample(self) -> None:
        """Checks the fleet now, and again after each SAMPLE."""
        self.checks.sample()
        self.network.callLater(SAMPLE, self._sample)

    def wall_at(self, seconds: float) -> int:
        """ms since 1970 at a time of the virtual clock."""
        return EPOCH_MS + round(seconds * 1000)

    def run(self) -> Played:
        """The whole play: warm-up, the day with its faults, and some time after the last of them."""
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
            self.checks.at_the_end()
        for seat in self.seats:
            if seat.daemon is not None:
                self.add_up(seat.daemon)
        return self.played
