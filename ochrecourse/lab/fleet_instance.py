"""One gateway instance of a simulated fleet: its host, disk and clock, and what it answers an operator."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

from ochrecourse.gateway.daemon import Daemon
from ochrecourse.gateway.daemon_parts import HostProgram
from ochrecourse.lab.fleet_disk import Disk, SlowWorker
from ochrecourse.lab.play import Seat, VirtualPlay
from ochrecourse.storage.disk_worker import DiskWorker, InlineWorker

if TYPE_CHECKING:
    from ochrecourse.lab.fleet_play import FleetPlay

EPOCH_MS = 1_790_000_000_000  # ms since 1970 at the virtual clock's zero; any time will do
ANEW = 10.0  # s within which disks that are lost are lost at once: a life counts again after less


class FleetSeat(Seat):
    """A gateway with peers on a host of its own. Its disk outlives it, unless it is said to be lost."""

    play: FleetPlay

    def __init__(self, play: VirtualPlay, index: int) -> None:
        super().__init__(play, index)
        self.network = play.network.host(self.name)
        self.disk = Disk()
        self.disk_workers: list[SlowWorker] = []  # of the process that runs
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
            host = HostProgram(
                self.network, [self.play], self.play.warnings.append, lambda: None,
                decisions=self.play.decisions, names_journal=self.tree, clock_zero=EPOCH_MS // 1000,
                fleet_journal=self.disk, wall_clock_ms=self.wall_ms, make_disk_worker=self.make_disk_worker,
            )  # fmt: skip
            return Daemon(resolved, host)
        host = HostProgram(
            self.network, [self.play], self.play.warnings.append, lambda: None,
            decisions=self.play.decisions, names_journal=self.tree,
        )  # fmt: skip
        return Daemon(resolved, host)

    def make_disk_worker(self, name: str) -> DiskWorker:
        """Its disk, as slow as the world has it."""
        longest_s = self.play.world.sync_ms / 1000
        if not longest_s:
            return InlineWorker()
        chance = random.Random(f"{self.play.world.seed} {self.name} {self.lives} {name}")
        worker = SlowWorker(self.network, chance, longest_s)
        self.disk_workers.append(worker)
        return worker

    def kill(self) -> None:
        for worker in self.disk_workers:
            worker.stop()
        self.disk_workers.clear()
        super().kill()

    def runs(self) -> bool:
        """Whether it can be asked and heard now."""
        return self.daemon is not None and not self.play.network.host(self.name).still

    def stands(self) -> dict[int, tuple[str, int]]:
        """What stands for each zone, as it answers an operator: the word and the number."""
        zones = self.zones()
        if zones is None:
            return {}
        told = {zone: zones.state_of(zone) for zone in range(len(self.play.day.zones))}
        return {zone: (standing.name, number) for zone, (standing, number) in told.items()}

    def zones(self) -> Any:
        return getattr(self.part(), "zones", None)

    def lose_disk(self) -> None:
        self.disk, self.copy = Disk(), None
        self.lost, self.lost_at = True, self.play.network.seconds()

    def part(self) -> Any:
        return getattr(self.daemon, "fleet_member", None)
