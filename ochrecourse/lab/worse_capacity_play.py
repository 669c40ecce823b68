"""Plays day `capacity` (worse_capacity.py) in one process on the virtual network and clock.

The day's script, records and judges are those of the day as processes; so is what gateways are asked. How
soon a denial came does not depend on how busy the machine is, and each run of a seed ends alike.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from ochrecourse.audit import records as r
from ochrecourse.audit.judge import Finding, audit
from ochrecourse.audit.fleet_state import ZoneStateSample
from ochrecourse.lab.day import Day
from ochrecourse.lab.figures import figures_of
from ochrecourse.lab.fleet_faults import Faults
from ochrecourse.lab.fleet_instance import FleetSeat
from ochrecourse.lab.fleet_play import FleetPlay
from ochrecourse.lab.fleet_world import Fault, World
from ochrecourse.lab.together import BEGINS, FIGURES, GATEWAYS, TRAVEL, came, together
from ochrecourse.common.runtime import now_ns
from ochrecourse.common.time_units import MS

NAME = "capacity"
LOSS = "zone_lost"  # the day's trouble that strikes nodes; its burst is in the schedule of the clients


def day_of(world: World) -> Day:
    """The day itself, in place of one that is drawn for a world."""
    return together(NAME, world.seed, world.gateways).day


def world_of(seed: int, gateways: int = GATEWAYS) -> World:
    """A world with the day's losses."""
    day = together(NAME, seed, gateways).day
    losses = [
        Fault(kind=LOSS, at_s=each.at_s, len_s=each.len_s, zone=day.zones.index(each.which))
        for each in day.troubles
        if each.kind == LOSS
    ]
    return World(
        seed=seed,
        gateways=gateways,
        nodes=day.nodes,
        zones=len(day.zones),
        length_s=day.length_s,
        layout=day.layout,
        faults=tuple(losses),
        figures=FIGURES,
        notes=False,
    )


class CapacityFaults(Faults):
    """A zone that is lost loses its nodes; its gateways go on, as in the day of processes."""

    _zone_lost = Faults._of_nodes


class CapacityPlay(FleetPlay):
    """One run."""

    faults_kind = CapacityFaults
    day_of = staticmethod(day_of)

    def __init__(self, seed: int = 1, gateways: int = GATEWAYS) -> None:
        super().__init__(world_of(seed, gateways))
        self.held: list[ZoneStateSample] = []  # what gateways told of zones, each time they were asked

    def run_faults(self) -> None:
        self.record(r.FaultChanged(t=now_ns(self.network), kind=BEGINS, description=NAME))
        super().run_faults()

    def _sample(self) -> None:
        self.held += [self._ask(seat) for seat in self.seats if seat.runs()]
        super()._sample()

    def _ask(self, seat: FleetSeat) -> ZoneStateSample:
        told = seat.zones().report()["zones"]
        zones = {self.day.zones[int(zone)]: (each["standing"], each["number"]) for zone, each in told.items()}
        return ZoneStateSample(t=now_ns(self.network), gateway=seat.name, zones=zones)


class Judged(NamedTuple):
    """The seven rules and what the day asks beyond them; figures; what the world saw broken besides."""

    findings: list[Finding]
    figures: dict[str, float]
    besides: list[str]

    def broken(self) -> list[str]:
        """All that was not kept."""
        told = [f"{each.rule}: {text}" for each in self.findings for text in each.breaches]
        return told + self.besides


def judged(play: CapacityPlay) -> Judged:
    """Judges a run as `day run capacity` does."""
    rules = msgspec.structs.replace(figures_of(play.day), travel=round(TRAVEL * MS))
    verdict = audit(rules, play.records)
    this = together(NAME, play.world.seed, play.world.gateways)
    outcomes = play.load.outcomes
    beyond = came(this, play.records, play.held, outcomes.payoff(), alone=False)
    besides = [f"at {at:.2f} s: {kind}: {text}" for kind, at, text in play.seen.breaches]
    open_jobs = play.played.calls - sum(outcomes.endings.values())
    if open_jobs:
        besides.append(f"{open_jobs} jobs without an end")
    return Judged([*verdict.findings, *beyond.findings], beyond.figures, besides)
