"""Carries out the faults of a fleet's scenario.

The method `_KIND` begins a fault of that kind and returns what ends it. A kind without a method is a fault of
storage nodes, which the stand-in fleet carries out.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from functools import partial
from typing import TYPE_CHECKING

from ochrecourse.audit import records as r
from ochrecourse.fleet.format_versions import FIRST_VERSION
from ochrecourse.fleet.log import AppendRejectedError
from ochrecourse.lab.fleet_instance import ANEW, FleetSeat
from ochrecourse.lab.fleet_world import Fault
from ochrecourse.lab.virtual import Way
from ochrecourse.common.runtime import now_ns

if TYPE_CHECKING:
    from ochrecourse.lab.fleet_play import FleetPlay

LATE = 0.5  # s between two runs of a late loop
AWAKE = 0.002  # s that it then runs: time for what it does to come back from near by

# What was on its way over a cut is lost with its connection, as after any silence of seconds.
CUT = Way(cut=True, breaks=True)


class Faults:
    """Carries out the faults of one play."""

    def __init__(self, play: FleetPlay) -> None:
        self.play = play
        self.world = play.world
        self.network = play.network
        self.seats = play.seats
        self.reach = play.reach

    def start(self) -> None:
        """Schedules all of them, from now on. Bursts are in the schedule of the clients."""
        for fault in self.world.faults:
            if fault.kind != "burst":
                self.network.callLater(fault.at_s, self._strike, fault)

    def _strike(self, fault: Fault) -> None:
        what = f"zone {fault.zone}, gateways {list(fault.who)}, {fault.len_s:g} s, size {fault.size:g}"
        self.play.record(r.FaultChanged(t=now_ns(self.network), kind=fault.kind, description=what))
        mend = getattr(self, f"_{fault.kind}", self._of_nodes)(fault)
        self.reach.changed()

        def mended() -> None:
            mend()
            self.reach.changed()

        self.network.callLater(fault.len_s, mended)

    def _of_nodes(self, fault: Fault) -> Callable[[], None]:
        part = fault.size if fault.kind == "vanish" else 0.2
        return self.play.fleet.inject_fault(
            fault.kind, part, fault.size, 0.0, fault.len_s, self.play.day.zones[fault.zone % self.world.zones]
        )

    def _zone_lost(self, fault: Fault) -> Callable[[], None]:
        zone = self.play.day.zones[fault.zone]
        nodes = self.play.fleet.inject_fault("zone_lost", 0, 0, 0, fault.len_s, zone)
        seats = [seat for seat in self.seats if seat.zone == fault.zone]
        back = self._down(seats, lost=False, silent=True)

        def mend() -> None:
            nodes()
            back()

        return mend

    def _zone_nodes(self, fault: Fault) -> Callable[[], None]:
        zone = self.play.day.zones[fault.zone]
        return self.play.fleet.inject_fault("zone_lost", 0, 0, 1.0, fault.len_s, zone)

    def _zone_cut(self, fault: Fault) -> Callable[[], None]:
        inside = {seat.name for seat in self.seats if seat.zone == fault.zone} | {f"zone{fault.zone}"}
        return self.reach.between(inside, self.reach.hosts() - inside, CUT)

    def _apart(self, fault: Fault) -> Callable[[], None]:
        some = {f"g{index}" for index in fault.who}
        return self.reach.between(some, self.reach.gateways - some, Way(cut=True))

    def _gateways_cut(self, fault: Fault) -> Callable[[], None]:
        some = {f"g{index}" for index in fault.who}
        mends = [self.reach.between({name}, self.reach.hosts() - {name}, CUT) for name in sorted(some)]

        def mend() -> None:
            for each in mends:
                each()

        return mend

    def _one_way(self, fault: Fault) -> Callable[[], None]:
        some = {f"g{index}" for index in fault.who}
        pairs = {(here, there) for here in some for there in self.reach.gateways - some}
        return self.reach.impair(pairs, Way(cut=True))

    def _zone_one_way(self, fault: Fault) -> Callable[[], None]:
        inside = {seat.name for seat in self.seats if seat.zone == fault.zone} | {f"zone{fault.zone}"}
        outside = self.reach.hosts() - inside
        return self.reach.impair({(here, there) for here in inside for there in outside}, CUT)

    def _pair_one_way(self, fault: Fault) -> Callable[[], None]:
        names = [f"g{index}" for index in fault.who[:2]]
        return self.reach.impair({(names[0], names[-1])} if len(names) > 1 else set(), Way(cut=True))

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
            self.play.record(r.GatewayPaused(t=now_ns(self.network), gateway=seat.name))
            wait(seat)

        def mend() -> None:
            nonlocal over
            over = True
            for seat in seats:
                self.network.host(seat.name).stand_still(False)
                self.play.record(r.GatewayPaused(t=now_ns(self.network), gateway=seat.name, resumed=True))

        return mend

    def _lossy(self, fault: Fault) -> Callable[[], None]:
        pairs = {
            (here.name, there.name) for here in self.seats for there in self.seats if here.zone != there.zone
        }
        return self.reach.impair(pairs, Way(lose=fault.size or 0.3, late=(0.0, 0.2)))

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
                seat.copy = daemon.endpoint_watcher.endpoint_list.snapshot(now_ns(self.network))
                self.play.add_up(daemon)
                seat.newest = newest or seat.newest
                seat.start()

        daemon.host.on_stopped = gone
        daemon.drain()

    def _raise_form(self, form: int) -> None:
        """The last ones may not be admitted yet, or a fault may keep one away: asked again for a while."""
        seats = [seat for seat in self.seats if seat.runs()]
        if form <= FIRST_VERSION or not self.world.sharing or any(seat.newest < form for seat in self.seats):
            return
        if all(seat.part().forms.in_force == form for seat in seats):
            return
        with suppress(AppendRejectedError):
            seats[0].part().raise_form(form)
        self.network.callLater(1.0, self._raise_form, form)

    def _still(self, fault: Fault) -> Callable[[], None]:
        struck = [self.seats[index] for index in fault.who if self.seats[index].runs()]
        for seat in struck:
            self.network.host(seat.name).stand_still(True)
            self.play.record(r.GatewayPaused(t=now_ns(self.network), gateway=seat.name))

        def mend() -> None:
            for seat in struck:
                if self.network.host(seat.name).still:
                    self.network.host(seat.name).stand_still(False)
                    self.play.record(r.GatewayPaused(t=now_ns(self.network), gateway=seat.name, resumed=True))

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
            self.reach.changed()

            def up() -> None:
                back()
                self.reach.changed()

            self.network.callLater(0.6 * turn, up)

        for i, index in enumerate(fault.who):
            self.network.callLater(i * turn, roll, self.seats[index])
        return lambda: None

    def _clock(self, fault: Fault) -> Callable[[], None]:
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
        self.play.crowds.insert(0, fault.who[0])
        return lambda: self.play.crowds.remove(fault.who[0])

    def _edition(self, fault: Fault) -> Callable[[], None]:
        return self.play.site.strike(fault) if self.play.site is not None else lambda: None

    def _look_at_disks(self) -> None:
        """Half of the fleet's disks lost at once, and the log may begin anew: nothing is promised of it."""
        now = self.network.seconds()
        if 2 * sum(now - seat.lost_at < ANEW for seat in self.seats) >= len(self.seats):
            self.play.notes.begin_anew()

    def _down(self, seats: list[FleetSeat], lost: bool, silent: bool) -> Callable[[], None]:
        """Ends gateways until mended. `silent`: their machines too, so that peers hear nothing of it and what
        was not synced is gone."""
        names = {seat.name for seat in seats}
        whole = self.reach.between(names, self.reach.hosts(), Way(cut=True)) if silent else None
        for seat in seats:
            seat.off += 1
            if seat.daemon is not None:
                if self.network.host(seat.name).still:
                    self.network.host(seat.name).stand_still(False)
                    self.play.record(r.GatewayPaused(t=now_ns(self.network), gateway=seat.name, resumed=True))
                if silent and self.world.sharing and self.world.notes:
                    self.play.notes.write(seat)  # answered just before the power goes: it must outlive that
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
