"""Plays a day in one process on a virtual clock: gateways, nodes, list server and clients, each the code that
ships.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

import msgspec

from ochrecourse.audit import records as r
from ochrecourse.scheduler.scheduler import Scheduler
from ochrecourse.storage.journal import MemoryJournal
from ochrecourse.gateway.daemon import Daemon
from ochrecourse.gateway.daemon_parts import HostProgram
from ochrecourse.interface import SchedulerApi
from ochrecourse.lab.day import Day, Trouble, gateway_record, node_kind, push_over, volumes, works
from ochrecourse.lab.load import Load, Outcomes, schedule
from ochrecourse.lab.people import People, door_record
from ochrecourse.lab.prober import Prober
from ochrecourse.lab.virtual import VirtualNetwork
from ochrecourse.membership.endpoint_list import EndpointListSnapshot
from ochrecourse.common.runtime import Network, now_ns
from ochrecourse.common.time_units import MS
from ochrecourse.settings.load import resolve
from ochrecourse.settings.writer import write
from ochrecourse.standins.bgp_peer import StandInPeer
from ochrecourse.standins.node_fleet import NodeFleet
from ochrecourse.standins.node_process import UsageMeter
from ochrecourse.standins.registry import Endpoint, Store
from ochrecourse.wire import messages as m

PREFIX = b"/ochrecourse/nodes/"
WARM_UP = 0.5  # s before the first job, in which lists and connections come up
TAIL = 8.0  # s after the last job, more than any client waits with all its tries

DecisionsFor = Callable[[Mapping[str, str], int, int], SchedulerApi]


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


def make_fleet(
    day: Day, network: Network, record: r.Recorder, kind: type[NodeFleet] = NodeFleet
) -> NodeFleet:
    """The day's nodes and list server on a network."""
    return kind(
        network,
        [node_kind(day, node) for node in range(day.nodes)],
        len(day.zones),
        works(day),
        push_over(day),
        UsageMeter(day.meter_ms, day.meter_late_ms, {volume.number: volume.rate for volume in volumes(day)}),
        day.seed,
        record,
        (day.list_notice_ms[0] / 1000, day.list_notice_ms[1] / 1000),
        day.silent_notice_ms / 1000,
        day.list_spread_ms / 1000,
        copies=day.copies,
        zone_names=day.zones,
        timestamp_answers=day.dated,
        layout=day.layout,
    )


def play_troubles(day: Day, network: Network, fleet: NodeFleet) -> None:
    """Sets the day's troubles of nodes and list to come, from now on."""
    for trouble in day.troubles:
        network.callLater(trouble.at_s, _strike, network, fleet, trouble)


def _strike(network: Network, fleet: NodeFleet, trouble: Trouble) -> None:
    mend = fleet.inject_fault(
        trouble.kind, trouble.part, trouble.size, trouble.extra, trouble.len_s, trouble.which
    )
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


class Mirror:
    """The day's list as a registry of three servers tells it. Gateways count as told at the change itself."""

    def __init__(self, play: VirtualPlay) -> None:
        self.play = play
        self.store = Store()
        for line in play.fleet.list_server.entries.values():
            self._put(line)
        self.ends = [Endpoint(play.network, self.store, member) for member in range(3)]
        play.fleet.list_server.change_listeners.append(self.change)
        play.fleet.list_server.availability_listeners.append(self.go)

    def change(self, line: m.EndpointEntry) -> None:
        now = now_ns(self.play.network)
        started = 0 if line.started_ms_ago < 0 else now - round(line.started_ms_ago * MS)
        for seat in self.play.seats:
            told = r.NodeHealthSent(
                t=now, gateway=seat.name, node=line.node, health=line.health, started=started
            )
            self.play.record(told)
        self._put(line)

    def go(self, gone: bool) -> None:
        for end in self.ends:
            if gone:
                end.stop()
            else:
                end.start()

    def _put(self, line: m.EndpointEntry) -> None:
        key = PREFIX + str(line.node).encode()
        if line.health == "gone":
            self.store.put(key, None)
            return
        told = msgspec.structs.asdict(line) | {"written_ms": now_ns(self.play.network) / MS}
        self.store.put(key, msgspec.json.encode(told))


class Seat:
    """One gateway of a virtual day, over its lives: the daemon as it ships, less its process."""

    def __init__(self, play: VirtualPlay, index: int) -> None:
        self.play = play
        self.index = index
        self.name = f"g{index}"
        self.lives = 0
        self.copy: EndpointListSnapshot | None = None
        self.tree = MemoryJournal()
        self.network: Network = play.network
        self.daemon: Daemon | None = None
        self.port = 0
        self.door_port = 0

    def settings(self) -> dict[str, Any]:
        """The settings record of its next life."""
        play = self.play
        listen = f"127.0.0.1:{self.port}"
        record: dict[str, Any] = gateway_record(play.day, self.index, listen, play.fleet.list_address(), "")
        record["gateway"]["seed"] = play.day.seed * 1_000_003 + self.index * 1009 + self.lives
        if play.peer is not None:
            record["bgp"] = bgp_record(play.day, self.index, play.peer.port)
        if play.mirror is not None:
            record["list"] = {"address": ""}
            servers = [f"127.0.0.1:{end.port}" for end in play.mirror.ends]
            record["registry"] = {"servers": servers, "prefix": PREFIX.decode()}
        if play.people is not None:
            record["webdav"] = door_record(play.day, self.door_port)
        return record

    def make(self, resolved: dict[str, Any]) -> Daemon:
        """The daemon of its next life."""
        play = self.play
        host = HostProgram(
            self.network, [], play.warnings.append, lambda: None, decisions=play.decisions,
            names_journal=self.tree
        )  # fmt: skip
        return Daemon(resolved, host)

    def start(self) -> None:
        play = self.play
        self.lives += 1
        self.daemon = self.make(resolve(write(self.settings()), self.name))
        if self.copy is not None:
            self.daemon.use_cached_list(self.copy)
        _, self.port = self.daemon.start()
        if self.daemon.webdav_port is not None:
            self.door_port = self.daemon.webdav_port.getHost().port
        play.record(r.GatewayStarted(t=now_ns(play.network), gateway=self.name))

    def kill(self) -> None:
        """Ends the gateway as kill -9 does: connections break, nothing is said, only the kept list stays."""
        if self.daemon is None:
            return
        play = self.play
        play.record(r.GatewayKilled(t=now_ns(play.network), gateway=self.name))
        self.copy = self.daemon.endpoint_watcher.endpoint_list.snapshot(now_ns(play.network))
        play.add_up(self.daemon)
        self.daemon.kill()
        self.daemon = None

    def address(self) -> tuple[str, int] | None:
        return ("127.0.0.1", self.port) if self.daemon is not None else None

    def door(self) -> tuple[str, int] | None:
        return ("127.0.0.1", self.door_port) if self.daemon is not None else None


def bgp_record(day: Day, index: int, port: int) -> dict[str, object]:
    """The part `bgp` of one gateway's settings; its service address is told by its number."""
    return {
        "identifier": f"10.1.{index // 250}.{index % 250 + 1}",
        "peers": [{"name": "router", "address": f"127.0.0.1:{port}", "local_as": 64512, "remote_as": 64600}],
        "addresses": [{"network": service_address(index), "next_hop": "127.0.0.1"}],
        "fitness": {"rest": 500.0},
    }


def service_address(index: int) -> str:
    """The service address of a gateway of a day (RFC 2544's block, never routed)."""
    return f"198.18.{index // 250}.{index % 250 + 1}/32"


class VirtualPlay:
    """One run. `decisions` makes each gateway's decisions, so that other policies can stand behind the same
    sockets.
    """

    fleet_kind: type[NodeFleet] = NodeFleet
    load_kind: type[Load] = Load
    seat_kind: type[Seat] = Seat

    def __init__(
        self,
        day: Day,
        decisions: DecisionsFor = Scheduler,
        record: r.Recorder | None = None,
        announces: bool = False,
        steers: bool = False,
        people: int = 0,
        registry: bool = False,
    ) -> None:
        """`announces`: gateways tell a stand-in BGP peer of their addresses; `steers`: clients go by its
        table; `people`: so many come to the WebDAV doors, in place of the day's own clients;
        `registry`: a registry tells of nodes, in place of the list server.
        """
        self.day = day
        self.decisions = decisions
        self.records: list[r.Record] = []
        self.record: r.Recorder = record or self.records.append
        self.network = VirtualNetwork(day.seed, day.net_ms[0] / 1000, day.net_ms[1] / 1000)
        self.fleet = make_fleet(day, self.network, self.record, self.fleet_kind)
        self.peer = StandInPeer(self.network) if announces or steers else None
        if self.peer is not None:
            self.peer.on_change = self._announced
        self.warnings: list[str] = []
        self.mirror = Mirror(self) if registry else None
        self.seats = [self.seat_kind(self, index) for index in range(day.gateways)]
        doors = {seat.index: seat.door for seat in self.seats}
        self.people = People(self.network, day, doors, self.record, people) if people else None
        addresses = {seat.index: seat.address for seat in self.seats}
        self.load = self.load_kind(self.network, day, addresses, self.record)
        if steers:
            self.load.steer = self.steer
        self.played = Played(day, self.load.outcomes, self.records)

    def _announced(self, prefix: str, said: dict[str, Any] | None) -> None:
        index = next(each.index for each in self.seats if service_address(each.index) == prefix)
        med = said.get("med", 0) if said else 0
        self.record(
            r.RouteChanged(
                t=now_ns(self.network), gateway=f"g{index}", is_announced=said is not None, med=med
            )
        )

    def steer(self, hosts: Sequence[int], first: int) -> int | None:
        """Where a client that goes by the peer's table sends a job: its own gateway if that is announced no
        worse than others, else the best announced one of the volume's gateways.
        """
        assert self.peer is not None
        best: tuple[int, bool, int] | None = None
        for index in hosts:
            known = self.peer.table.get(service_address(index))
            if known is not None:
                rank = (known[1].get("med", 0), index != first, index)
                best = rank if best is None or rank < best else best
        return best[2] if best is not None else None

    def add_up(self, daemon: Daemon) -> None:
        """Takes a gateway's figures into the sums before it goes."""
        ledger = daemon.gateway.request_log
        self.played.legs += ledger.attempts
        self.played.further += ledger.retries
        told = {
            **{f"gateway: {closing.value}": count for closing, count in ledger.outcomes.items()},
            **{f"gateway: leg {ending.value}": count for ending, count in ledger.endings.items()},
            **{f"gateway: {name}": count for name, count in daemon.gateway.nodes.counts.items()},
            **{f"gateway: {name}": count for name, count in daemon.client_factory.counts.items()},
        }
        for name, count in told.items():
            self.played.counts[name] = self.played.counts.get(name, 0) + count

    def run(self) -> Played:
        for seat in self.seats:
            seat.start()
        if self.people is None:
            self.load.connect()
        self.network.advance(WARM_UP if self.peer is None else 4 * WARM_UP)
        if self.peer is not None:
            for seat in self.seats:
                Prober(self.network, self.day, seat.name, seat.address, self.record).start()
        people = self.people
        if people is not None:
            people.start()
            while people.seeding:
                self.network.advance(0.1)
            self.played.outcomes = people.outcomes
        play_troubles(self.day, self.network, self.fleet)
        for at, index, down in rolls(self.day):
            self.network.callLater(at, self.seats[index].kill)
            self.network.callLater(at + down, self.seats[index].start)
        if people is None:
            calls = schedule(self.day)
            self.played.calls = len(calls)
            self.load.start(calls)
        end = self.network.seconds() + self.day.length_s + TAIL
        while not (people or self.load).done and self.network.seconds() < end:
            self.network.advance(0.5)
        self.network.advance(1.0)  # whatever is still sent for a job that is over shows now
        for seat in self.seats:
            if seat.daemon is not None:
                self.add_up(seat.daemon)
        for name, count in (people or self.load).counts.items():
            self.played.counts[f"clients: {name}"] = count
        return self.played
