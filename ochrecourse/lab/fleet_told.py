"""How far a fleet is from the best: worlds whose gateways are told the truth at once, and figures of a loss.

What is told is what no gateway can know so soon: that a zone's nodes have just gone, that they are back, and
by whom each of them will be asked for how much. All else (jobs, faults, decisions, limits) is as in the world
beside it.
"""

from __future__ import annotations

from collections import defaultdict

from ochrecourse.audit import records as r
from ochrecourse.fleet.zone_state import FLEET_CHANNEL
from ochrecourse.lab.day import volumes
from ochrecourse.lab.fleet_checks import BIN
from ochrecourse.lab.fleet_faults import Faults
from ochrecourse.lab.fleet_play import FleetPlay
from ochrecourse.lab.fleet_world import Fault
from ochrecourse.common.time_units import SECOND

LOSSES = ("zone_lost", "zone_nodes")
MOMENT = 0.001  # s after a fault's own call, so that whoever starts with it is told too
SERVED = 0.8  # part of its legs before a loss that a zone takes at full service
SPAN = 2.0  # s over which full service is looked at


class ToldFaults(Faults):
    """Tells the gateways of a zone's loss and of its return."""

    def _strike(self, fault: Fault) -> None:
        super()._strike(fault)
        if fault.kind in LOSSES:
            inside = [each for each, node in self.play.fleet.nodes.items() if node.shard.zone == fault.zone]
            self._tell({node: {} for node in inside})
            back, cold = fault.len_s + MOMENT, max(kind.cold_ms for kind in self.play.day.kinds) / 1000
            self.network.callLater(back, self._tell, {node: self._parts(node) for node in inside})
            self.network.callLater(back + cold, self._tell, {})

    def _parts(self, node: int) -> dict[int, float]:
        """By gateway, units a second that it may begin at a cold node: as its volumes will ask for."""
        asked: dict[int, float] = defaultdict(float)
        for volume in volumes(self.play.day):
            if self.play.fleet.nodes[node].shard.number in volume.shards:
                for host in volume.hosts:
                    asked[host] += volume.rate / len(volume.shards) / len(volume.hosts)
        whole, cold = sum(asked.values()), self.play.rates()["cold"]
        return {host: cold * each / whole for host, each in asked.items()}

    def _tell(self, parts: dict[int, dict[int, float]]) -> None:
        for seat in self.seats:
            if seat.daemon is not None:
                bounds = {node: asked.get(seat.index, 0.0) for node, asked in parts.items()}
                seat.daemon.gateway.node_rates_received(bounds)


class ToldPlay(FleetPlay):
    """A world whose gateways share nothing, and whose bounds are set by the world's truth."""

    faults_kind = ToldFaults


def least_full_s(play: FleetPlay) -> float:
    """s from a zone's return to full service that the limits at cold nodes allow at the least: at once, or
    once nodes are warm, and the span over which it is looked at."""
    cold = max(kind.cold_ms for kind in play.day.kinds) / 1000
    bears = play.day.rules.start_capacity >= SERVED * play.day.load
    return SPAN + (0.0 if bears else cold)


def cold_used(play: FleetPlay, fault: Fault) -> float:
    """Of the units that the limit lets begin at a returning zone's cold nodes, the part that came there."""
    began, back = round(play.began * SECOND), fault.at_s + fault.len_s
    cold = max(kind.cold_ms for kind in play.day.kinds) / 1000
    inside = {number for number, node in play.fleet.nodes.items() if node.shard.zone == fault.zone}
    start, end = began + round(back * SECOND), began + round((back + cold) * SECOND)
    came = sum(
        each.units for each in play.records
        if isinstance(each, r.AttemptReceived) and each.node in inside and start <= each.t < end
    )  # fmt: skip
    return came / (len(inside) * play.rates()["cold"] * cold)


def tried(play: FleetPlay, fault: Fault, since: float) -> float:
    """Of all legs, the part that went to a lost zone's nodes, from `since` s after its loss until its end."""
    inside = {number for number, node in play.fleet.nodes.items() if node.shard.zone == fault.zone}
    span = range(int((fault.at_s + since) / BIN) + 1, int((fault.at_s + fault.len_s) / BIN))
    there = sum(counts[i] for node, counts in play.seen.legs.items() if node in inside for i in span)
    whole = sum(counts[i] for counts in play.seen.legs.values() for i in span)
    return there / whole if whole else 0.0


def loans(play: FleetPlay) -> tuple[int, int]:
    """Loans in the log of the fleet, and their bytes."""
    seat = next((each for each in play.seats if each.runs() and each.part() is not None), None)
    events = seat.part().log.events(FLEET_CHANNEL) if seat is not None else ()
    bodies = [each.body for each in events if b'"lend"' in each.body]
    return len(bodies), sum(map(len, bodies))


def figures(play: FleetPlay, one_standing_s: float) -> dict[str, float]:
    """Of the first zone that is lost; beside fleet_judge.judge's."""
    fault = next((each for each in play.world.faults if each.kind in LOSSES), None)
    if fault is None:
        return {}
    count, size = loans(play)
    warm = max(kind.cold_ms for kind in play.day.kinds) / 1000
    return {
        "least_full_s": least_full_s(play),
        "cold_used": cold_used(play, fault),
        "tried": tried(play, fault, one_standing_s),
        "payoff_cold": play.load.payoff_between(fault.at_s + fault.len_s, fault.at_s + fault.len_s + warm),
        "loans": float(count),
        "loan_bytes": float(size),
    }
