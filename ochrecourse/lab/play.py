"""Plays a day in one process on a virtual clock: gateways, nodes, list server and clients, each the code that
ships.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from ochrecourse.audit import records as r
from ochrecourse.decide import Host
from ochrecourse.gateway.front import FrontFactory
from ochrecourse.gateway.gateway import Gateway
from ochrecourse.interface import Decisions
from ochrecourse.lab.day import Day, Trouble, gateway_record, node_kind, push_over, volumes, works
from ochrecourse.lab.load import Load, Outcomes, schedule
from ochrecourse.lab.virtual import VirtualNetwork
from ochrecourse.membership.follower import Follower
from ochrecourse.membership.view import Copy
from ochrecourse.nodes.link import dialler
from ochrecourse.outside import Network, now_ns
from ochrecourse.settings.plain import plain_map
from ochrecourse.standins.fleet import Fleet
from ochrecourse.standins.machine import Meter

WARM_UP = 0.5  # s before the first job, in which lists and connections come up
TAIL = 8.0  # s after the last job, more than any client waits with all its tries
FRONTS = 20_000  # connections that a gateway of a day takes

DecisionsFor = Callable[[Mapping[str, str], int, int], Decisions]


@dataclass
class Played:
    """What a run left: outcomes, records, and figures of the gateways."""

    day: Day
    outcomes: Outcomes
    records: list[r.Record]
    counts: dict[str, int] = field(default_factory=dict)
    legs: int = 0
    further: int = 0
    calls: int = 0


def make_fleet(day: Day, network: Network, record: r.Recorder) -> Fleet:
    """The day's nodes and list server on a network."""
    return Fleet(
        network,
        [node_kind(day, node) for node in range(day.nodes)],
        len(day.zones),
        works(day),
        push_over(day),
        Meter(day.meter_ms, day.meter_late_ms, {volume.number: volume.rate for volume in volumes(day)}),
        day.seed,
        record,
        (day.list_notice_ms[0] / 1000, day.list_notice_ms[1] / 1000),
        day.silent_notice_ms / 1000,
        day.list_spread_ms / 1000,
    )


def play_troubles(day: Day, network: Network, fleet: Fleet) -> None:
    """Sets the day's troubles of nodes and list to come, from now on."""
    for trouble in day.troubles:
        network.callLater(trouble.at_s, _strike, network, fleet, trouble)


def _strike(network: Network, fleet: Fleet, trouble: Trouble) -> None:
    mend = fleet.strike(trouble.kind, trouble.part, trouble.size, trouble.extra, trouble.len_s, trouble.which)
    network.callLater(trouble.len_s, mend)


def rolls(day: Day) -> list[tuple[float, int, float]]:
    """When which gateway is killed and for how long it is down: the day's `balancer_roll` troubles."""
    chance = random.Random(f"{day.seed} rolls")
    kills = []
    for trouble in day.troubles:
        if trouble.kind != "balancer_roll":
            continue
        count = max(1, round(trouble.part * day.gateways))
        struck = chance.sample(range(day.gateways), min(count, day.gateways))
        batch = max(1, round((trouble.size or 0.3) * day.gateways))
        batches = -(-len(struck) // batch)
        for i, index in enumerate(struck):
            at = trouble.at_s + trouble.len_s * (i // batch) / batches
            kills.append((at, index, trouble.extra or 0.5))
    return sorted(kills)


class Seat:
    """One gateway of a virtual day, over its lives."""

    def __init__(self, play: VirtualPlay, index: int) -> None:
        self.play = play
        self.index = index
        self.lives = 0
        self.copy: Copy | None = None
        self.gateway: Gateway | None = None
        self.follower: Follower | None = None
        self.front: FrontFactory | None = None
        self.listening: Any = None
        self.port = 0

    def start(self) -> None:
        play = self.play
        self.lives += 1
        record = gateway_record(play.day, self.index, "", play.fleet.list_address(), "")
        seed = play.day.seed * 1_000_003 + self.index * 1009 + self.lives
        gateway = self.gateway = Gateway(
            plain_map(record),
            seed,
            play.network,
            dialler(play.network),
            f"g{self.index}",
            travel=round(play.day.travel_ms * 1e6),
            decisions=play.decisions,
        )
        host, _, port = play.fleet.list_address().rpartition(":")
        self.follower = Follower(
            f"g{self.index}",
            play.network,
            (host, int(port)),
            lambda news: gateway.list_came(news.kind, news.entries, news.addresses),
            None,
            seed,
        )
        if self.copy is not None:
            news = self.follower.view.read_back(self.copy, now_ns(play.network))
            gateway.list_came(news.kind, news.entries, news.addresses)
        self.follower.start()
        self.front = FrontFactory(gateway, play.network, FRONTS)
        self.listening = play.network.listenTCP(self.port, self.front)
        self.port = self.listening.getHost().port
        play.record(r.Started(t=now_ns(play.network), gateway=f"g{self.index}"))

    def kill(self) -> None:
        """Ends the gateway as kill -9 does: connections break, nothing is said, only the kept list stays."""
        if self.gateway is None or self.follower is None or self.front is None:
            return
        play = self.play
        play.record(r.Killed(t=now_ns(play.network), gateway=f"g{self.index}"))
        self.listening.stopListening()
        self.copy = self.follower.view.copy(now_ns(play.network))
        play.add_up(self)
        self.gateway.stop()
        self.follower.stop()
        for front in list(self.front.fronts):
            front.cut()
        self.gateway = None

    def address(self) -> tuple[str, int] | None:
        return ("127.0.0.1", self.port) if self.gateway is not None else None


class VirtualPlay:
    """One run. `decisions` makes each gateway's decisions, so that other policies can stand behind the same
    sockets.
    """

    def __init__(self, day: Day, decisions: DecisionsFor = Host, record: r.Recorder | None = None) -> None:
        self.day = day
        self.decisions = decisions
        self.records: list[r.Record] = []
        self.record: r.Recorder = record or self.records.append
        self.network = VirtualNetwork(day.seed, day.net_ms[0] / 1000, day.net_ms[1] / 1000)
        self.fleet = make_fleet(day, self.network, self.record)
        self.seats = [Seat(self, index) for index in range(day.gateways)]
        self.load = Load(self.network, day, {seat.index: seat.address for seat in self.seats}, self.record)
        self.played = Played(day, self.load.outcomes, self.records)

    def add_up(self, seat: Seat) -> None:
        """Takes a gateway's figures into the sums before it goes."""
        assert seat.gateway is not None and seat.front is not None
        ledger = seat.gateway.ledger
        self.played.legs += ledger.legs
        self.played.further += ledger.further
        told = {
            **{f"gateway: {closing.value}": count for closing, count in ledger.closings.items()},
            **{f"gateway: leg {ending.value}": count for ending, count in ledger.endings.items()},
            **{f"gateway: {name}": count for name, count in seat.gateway.nodes.counts.items()},
            **{f"gateway: {name}": count for name, count in seat.front.counts.items()},
        }
        for name, count in told.items():
            self.played.counts[name] = self.played.counts.get(name, 0) + count

    def run(self) -> Played:
        for seat in self.seats:
            seat.start()
        self.load.connect()
        self.network.advance(WARM_UP)
        calls = schedule(self.day)
        self.played.calls = len(calls)
        play_troubles(self.day, self.network, self.fleet)
        for at, index, down in rolls(self.day):
            self.network.callLater(at, self.seats[index].kill)
            self.network.callLater(at + down, self.seats[index].start)
        self.load.start(calls)
        end = self.network.seconds() + self.day.length_s + TAIL
        while not self.load.done and self.network.seconds() < end:
            self.network.advance(0.5)
        self.network.advance(1.0)  # whatever is still sent for a job that is over shows now
        for seat in self.seats:
            if seat.gateway is not None:
                self.add_up(seat)
        for name, count in self.load.counts.items():
            self.played.counts[f"clients: {name}"] = count
        return self.played
