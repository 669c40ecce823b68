"""What is observed of a simulated fleet from outside, and the checks of it, while it runs and at its end."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ochrecourse.fleet.log_store import MIN_REWRITE_BYTES
from ochrecourse.fleet.log import HARD_LIMIT_FACTOR
from ochrecourse.fleet.zone_state import FLEET_CHANNEL, ZoneState
from ochrecourse.lab.fleet_instance import FleetSeat
from ochrecourse.lab.fleet_notes import NOTES
from ochrecourse.lab.fleet_site import CHANNELS
from ochrecourse.lab.fleet_world import NODE_TROUBLES, ZONE_FAULTS
from ochrecourse.common.runtime import now_ns
from ochrecourse.common.time_units import SECOND

if TYPE_CHECKING:
    from ochrecourse.lab.fleet_play import FleetPlay

SAMPLE = 0.25  # s between two questions "what stands?"; a beat
EQUAL = 6.0  # s after which gateways that reach each other hold the same; quiet, a turn each, some beats
BIN = 0.25  # s in which legs are counted together
TROUBLED = 15.0  # s after a zone's fault in which leaving it is no mistake: it may fall again, cold
BEHIND = 40  # beats that the frontier may be behind the clock in a fleet that is whole again
LISTED = 2.5  # s in which the list hears and tells of a start, and a beat
JOURNAL = 4  # times the bytes that all channels may hold that a journal may have, beside its slack


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


class Checks:
    """The checks of one play. Breaches and figures go to its `seen`."""

    def __init__(self, play: FleetPlay) -> None:
        self.play = play
        self.world = play.world
        self.network = play.network
        self.seats = play.seats
        self.reach = play.reach
        self.seen = play.seen
        self.differ: dict[tuple[str, int], float] = {}  # by group and zone: since when its gateways differ
        self.numbers: dict[tuple[str, int], int] = {}

    # --- what stands, as the outside sees it ---

    def sample(self) -> None:
        """One look at all gateways that run."""
        now = self.network.seconds()
        if self.reach.regroup:
            self.reach.group()
            self.differ.clear()
        self._allowed(now)
        self._bounded(now)
        for group in self.reach.groups:
            self._differing(group, self._stands(group, now), now)

    def _stands(self, group: list[FleetSeat], now: float) -> set[int]:
        """Asks each of a group what stands; returns the zones in which they differ."""
        first: dict[int, tuple[str, int]] = {}
        unequal: set[int] = set()
        for seat in group:
            for zone, stood in seat.stands().items():
                if first.setdefault(zone, stood) != stood:
                    unequal.add(zone)
                self._moved(seat, zone, *stood)
            stood_all = [word for word, _ in seat.stands().values()]
            if stood_all and all(word == ZoneState.EVACUATED.name for word in stood_all):
                self.seen.breach("last zone left", now - self.play.began, f"{seat.name} holds all zones left")
        return unequal

    def _differing(self, group: list[FleetSeat], unequal: set[int], now: float) -> None:
        """How long a group has differed in a zone, while nobody's reach changed."""
        settled, names = now - self.reach.changed_at, group[0].name
        for zone in range(self.world.zones):
            if zone not in unequal:
                self.differ.pop((names, zone), None)
                continue
            since = self.differ.setdefault((names, zone), now)
            span = min(now - since, settled)
            self.seen.unequal = max(self.seen.unequal, span)
            if span > EQUAL and span <= EQUAL + SAMPLE:
                self.seen.breach(
                    "unequal standing", now - self.play.began,
                    f"{len(group)} gateways reach each other and differ for {span:.2f} s on zone {zone}",
                )  # fmt: skip

    def _moved(self, seat: FleetSeat, zone: int, word: str, number: int) -> None:
        key = (f"{seat.name}/{seat.lives}", zone)
        last = self.numbers.get(key, 0)
        if number == last:
            return
        at = self.network.seconds() - self.play.began
        self.seen.changes.append((at, seat.name, zone, word, number))
        if number < last:
            text = f"{seat.name} held number {last} of zone {zone}, then {number}"
            self.seen.breach("standing went back", at, text)
        if word == ZoneState.EVACUATED.name and not self._troubled(zone, at):
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
                limit = zones.context.cold_node_rate
                for node, rate in zones.node_rates(now_ns(self.network)).items():
                    sums[node] += rate
        for node, total in sorted(sums.items()):
            machine = self.play.fleet.nodes[node].process if node in self.play.fleet.nodes else None
            if machine is None or not machine.cold_for or machine.warmth(now_ns(self.network)) >= 1:
                continue
            if now_ns(self.network) - machine.started < LISTED * SECOND:
                continue  # nobody was told yet that it started; rule 4 holds all the same
            if total > limit * 1.001 and self.seen.largest_bounds <= limit * 1.001:
                text = f"{total:.2f} units a second may begin at cold node {node}, not {limit:g}"
                self.seen.breach("sum at a cold node", now - self.play.began, text)
            self.seen.largest_bounds = max(self.seen.largest_bounds, total)

    # --- what is bounded ---

    def _bounded(self, now: float) -> None:
        """What each gateway holds for the others stays within what the settings allow."""
        for seat in self.seats:
            part = seat.part()
            if part is None or not seat.runs():
                continue
            log = part.log
            sizes = {channel: log.channel_bytes(channel) for channel in log.channels()}
            most = HARD_LIMIT_FACTOR * log.limits.channel_bytes
            links = len(self.seats) + 64  # one to each, and those that have not said who they are
            held = {
                "bytes of a channel": (max(sizes.values(), default=0), most),
                "links": (len(part.peer_links.links), links),
                "rows": (len(part.members.heartbeats), len(self.seats)),
                "bytes of the journal": (
                    seat.disk.size(),
                    MIN_REWRITE_BYTES + JOURNAL * max(most, sum(sizes.values())),
                ),
                "lines noted": (len(log.notes), 256),
            }
            if seat.daemon is not None and (purger := seat.daemon.purger) is not None:
                held["bytes of copies"] = (
                    purger.cache.store.objects.currsize,
                    purger.cache.store.objects.maxsize,
                )
                held["jobs that wait for a copy"] = (len(purger.cache.waiting), 4096)
            for what, (got, bound) in held.items():
                if got > bound:
                    text = f"{seat.name} holds {got} {what}, {bound} at the most"
                    self.seen.breach("not bounded", now - self.play.began, text)

    # --- the end ---

    def at_the_end(self) -> None:
        """Once all is mended and some time has passed, all hold the same, and nothing answered is lost."""
        seats = [seat for seat in self.seats if seat.runs()]
        at = self.network.seconds() - self.play.began
        self.play.notes.at_the_end(seats)
        # Where the log may begin anew, old snapshots of notes may stand at some gateways and not at others.
        notes = () if self.play.notes.begun_anew and self.world.compacts else (NOTES,)
        for channel in (FLEET_CHANNEL, *notes, *CHANNELS):
            held = {seat.part().dump(channel) for seat in seats}
            if len(held) > 1:
                self.seen.breach("logs differ", at, f"{len(held)} forms of channel {channel}")
        if len({seat.part().forms.in_force for seat in seats}) > 1:
            self.seen.breach("forms differ", at, "not all hold one form for the one in force")
        behind = max(seat.part().wall_ms() - seat.part().log.frontier().ms for seat in seats) / 1000
        if behind > BEHIND * self.world.beat_ms / 1000 and not self.world.shifts:
            self.seen.breach("frontier stands still", at, f"it is {behind:.1f} s behind")
        if self.play.site is not None and not self.play.notes.begun_anew:
            self.play.site.at_the_end(seats)
