"""A small world for zones of a fleet: gateways, zones of nodes, losses, cuts, kills and wrong clocks, in steps of
an eighth of a second or a quarter. Gateways are the real `ZoneController`s; what is between them are calls that may be lost.

After each step the world checks what must always hold, from what all of them hold, and raises Broken.
"""

import itertools
import random

import msgspec

from ochrecourse.fleet.entries import Entry, Timestamp
from ochrecourse.fleet.zone_context import FleetPlacement
from ochrecourse.fleet.zone_evidence import EndedAttempt
from ochrecourse.fleet.zone_nodes import ZoneNode
from ochrecourse.fleet.zone_settings import ZoneSettings
from ochrecourse.fleet.zone_state import ZoneState
from ochrecourse.fleet.zone_controller import ZoneController
from ochrecourse.interface import Ending
from ochrecourse.common.time_units import MS, SECOND

QUIET = 2 * SECOND
AGREE = 3 * SECOND  # those that reached each other for so long hold the same standings
BOUND = 500  # ms that wall clocks are wrong at the most
FIGURES = {
    "cold": 5,
    "rest": 3000,
    "longest_rest": 48_000,
    "ease": 20_000,
    "lend": 4000,
    "clock_bound": BOUND,
}


class Broken(AssertionError):
    pass


class Gate:
    """One gateway: its zones, the entries that it holds, and whom it heard when."""

    def __init__(self, world, name, zone):
        self.world, self.name, self.zone = world, name, zone
        self.up, self.life, self.shift = True, 0, 0
        self.held = {}
        self.start()

    def start(self, lost_disk=False):
        self.up, self.life, self.seq = True, self.life + 1, 0
        if lost_disk:
            self.held = {}
        self.heard = {}
        self.free_at = {}
        self.top = {}
        placement = FleetPlacement(self.world.zones, self.name, self.zone, len(self.world.places))
        self.zones = self.world.make(ZoneSettings.from_map(self.world.figures), placement)
        self.zones.update_nodes(self.world.list())
        self.zones.set_time(self.world.now, self.wall())
        for entry in self.held.values():
            self.zones.entry_received(entry)

    def wall(self):
        return self.world.now // MS + 1_000_000 + self.shift

    def reached(self):
        now = self.world.now
        known = {name: self.world.gates[name].zone for name, at in self.heard.items() if now - at <= QUIET}
        return {**known, self.name: self.zone}

    def take(self, entry):
        if entry.position not in self.held:
            self.held[entry.position] = entry
            self.zones.entry_received(entry)

    def say(self, body):
        self.seq += 1
        latest = max((each.at for each in self.held.values()), default=Timestamp(0, 0))
        at = max(Timestamp(self.wall(), 0), Timestamp(latest.ms, latest.counter + 1))
        entry = Entry("fleet", self.name, self.life, self.seq, at, (), msgspec.json.encode(body))
        self.take(entry)
        self.world.said.append((self.world.now, self.name, body, dict(self.reached())))


class World:
    def __init__(
        self,
        seed,
        zones=3,
        nodes=3,
        places=(0, 0, 1, 1, 2, 2),
        legs=2,
        make=ZoneController,
        loss=0.05,
        figures=None,
        step=125 * MS,
    ):
        self.chance = random.Random(seed)
        self.zones, self.places, self.legs, self.make, self.loss = zones, places, legs, make, loss
        self.figures = {**FIGURES, **(figures or {})}
        self.now, self.length = 10 * SECOND, step
        self.nodes = {zone * 100 + i: zone for zone in range(zones) for i in range(nodes)}
        self.absent = set()  # nodes that the list no longer has as ready
        self.cold_until = {}
        self.lost = {}  # nodes that answer nothing: how their legs end
        self.slow = {}  # nodes whose answers take so many times longer
        self.full = {}  # nodes that turn away this part of their legs
        self.apart = set()  # pairs of gateways that hear nothing of each other
        self.blind = set()  # pairs of gateway and node that reach each other no more
        self.idle = set()  # gateways that have no work
        self.loses = {}  # nodes that lose legs of more than so many units without a word
        self.sizes, self.units = random.Random(f"{seed} sizes"), (1,)  # of legs, drawn apart
        self.out = []  # legs: when over, a count, gateway, life, node, ending, took, units
        self.count = itertools.count()
        self.said = []
        self.unequal_since = {}
        self.together_since = {}
        self.most = 0.0  # the largest sum of usable parts seen
        self.gates = {}
        for i, zone in enumerate(places):
            self.gates[f"g{i}"] = Gate(self, f"g{i}", zone)

    # --- what befalls it ---

    def list(self):
        return {
            node: ZoneNode(zone, node, node not in self.absent, self.cold_until.get(node, 0))
            for node, zone in self.nodes.items()
        }

    def listed(self):
        for gate in self.gates.values():
            if gate.up:
                gate.zones.update_nodes(self.list())

    def lose(self, zone, ending=Ending.TIMEOUT):
        self.lost.update({node: ending for node, its in self.nodes.items() if its == zone})

    def regain(self, zone, cold=3 * SECOND):
        for node, its in self.nodes.items():
            if its == zone:
                self.lost.pop(node, None)
                self.cold_until[node] = self.now + cold
        self.listed()

    def cut(self, names, zones=()):
        """These gateways and the nodes of these zones, from all the rest."""
        for a, b in itertools.combinations(self.gates, 2):
            if (a in names) != (b in names):
                self.apart.add((a, b))
        for name in self.gates:
            for node, zone in self.nodes.items():
                if (name in names) != (zone in zones):
                    self.blind.add((name, node))

    def heal(self):
        self.apart.clear()
        self.blind.clear()

    def kill(self, name):
        self.gates[name].up = False

    # --- time ---

    def run(self, seconds):
        for _ in range(int(seconds * SECOND // self.length)):
            self.step()
        return self

    def step(self):
        self.now += self.length
        beat = self.now % (250 * MS) == 0
        gates = [gate for gate in self.gates.values() if gate.up]
        self._answers()
        for gate in gates:
            gate.zones.set_time(self.now, gate.wall())
            self._begin(gate)
        if beat:
            for gate in gates:
                self._tell(gate, gates)
        for gate in gates:
            for name, at in list(gate.heard.items()):
                if self.now - at > QUIET:
                    del gate.heard[name]
                    gate.zones.gateway_unreachable(name)
            for _ in range(50):
                if (body := gate.zones.next_entry(self.now, gate.reached())) is None:
                    break
                gate.say(body)
            else:
                raise Broken("wants without end")
        self.check(gates)

    def _begin(self, gate):
        if gate.name in self.idle:
            return
        bounds = gate.zones.node_rates(self.now)
        nodes = [node for node in self.nodes if node not in self.absent]
        free = [node for node in nodes if node not in bounds]
        chosen = [free[self.chance.randrange(len(free))] for _ in range(self.legs)] if free else []
        for node, rate in bounds.items():
            if rate and node not in self.absent:
                due = gate.free_at.setdefault(node, self.now + int(self.chance.random() * SECOND / rate))
                if due <= self.now:
                    chosen.append(node)
                    gate.free_at[node] = self.now + int(SECOND / rate)
        for node in chosen:
            took = int(20 * MS * (0.5 + self.chance.random()) * self.slow.get(node, 1))
            ending, units = Ending.SERVED, self.sizes.choice(self.units)
            if (gate.name, node) in self.blind:
                ending, took = Ending.TIMEOUT, 250 * MS
            elif node in self.lost:
                ending = self.lost[node]
                took = 250 * MS if ending is Ending.TIMEOUT else 5 * MS
            elif units > self.loses.get(node, units):
                ending, took = Ending.TIMEOUT, 250 * MS
            elif took > 600 * MS:
                ending, took = Ending.TIMEOUT, 600 * MS
            elif self.chance.random() < self.full.get(node, 0):
                ending, took = Ending.FULL, 5 * MS
            self.out.append((self.now + took, next(self.count), gate, gate.life, node, ending, took, units))

    def _answers(self):
        self.out.sort()
        while self.out and self.out[0][0] <= self.now:
            at, _, gate, life, node, ending, took, units = self.out.pop(0)
            if gate.up and gate.life == life:
                gate.zones.attempt_ended(EndedAttempt(node, ending, took, 20.0 * MS, at, units))

    def _tell(self, gate, gates):
        status = gate.zones.status(self.now)
        for other in gates:
            if other is gate or not self._hears(gate.name, other.name) or self.chance.random() < self.loss:
                continue
            other.heard[gate.name] = self.now
            other.zones.report_received(gate.name, gate.zone, status, self.now)
            missing = [entry for place, entry in gate.held.items() if place not in other.held]
            self.chance.shuffle(missing)
            for entry in missing:
                other.take(entry)

    def _hears(self, a, b):
        return (a, b) not in self.apart and (b, a) not in self.apart

    # --- what must hold ---

    def check(self, gates):
        ready = {node for node in self.nodes if node not in self.absent}
        held, sums = {}, {}
        for gate in gates:
            held[gate.name] = [gate.zones.state_of(zone) for zone in range(self.zones)]
            for zone, (_, number) in enumerate(held[gate.name]):
                if number < gate.top.get(zone, 0):
                    raise Broken(f"{gate.name}: the number of zone {zone} went back to {number}")
                gate.top[zone] = number
            if ready and all(held[gate.name][self.nodes[node]][0] is ZoneState.EVACUATED for node in ready):
                raise Broken(f"{gate.name} has left every zone")
            for node, rate in gate.zones.node_rates(self.now).items():
                sums[node] = sums.get(node, 0.0) + rate
        for zone in range(self.zones):
            whole = max(
                sum(gate.zones.context.quota.usable(zone, node, self.now) for gate in gates)
                for node, its in self.nodes.items() if its == zone
            )  # fmt: skip
            self.most = max(self.most, whole)
            if whole > 1 + 1e-9:
                raise Broken(f"{whole:.3f} of what a node of zone {zone} bears is in use")
        for node, whole in sums.items():
            if self.cold_until.get(node, 0) > self.now and whole > self.figures["cold"] + 1e-9:
                raise Broken(f"{whole:.3f} units a second may begin at the cold node {node}")
        for a, b in itertools.combinations(gates, 2):
            pair = (a.name, b.name)
            together = self._hears(*pair) and a.name in b.heard and b.name in a.heard
            if not together or held[a.name] == held[b.name]:
                self.unequal_since.pop(pair, None)
            elif self.now - self.unequal_since.setdefault(pair, self.now) > AGREE:
                raise Broken(f"{pair} reach each other and hold different standings")

    def standing(self, zone, name="g0"):
        return self.gates[name].zones.state_of(zone)[0]

    def changes(self, zone, since=0, what=None):
        return [
            (at, body["standing"]) for at, _, body, _ in self.said
            if at >= since and body["what"] == "zone" and body["zone"] == zone and what in (None, body["standing"])
        ]  # fmt: skip


def left(world, zone):
    return all(
        gate.zones.state_of(zone)[0] is ZoneState.EVACUATED for gate in world.gates.values() if gate.up
    )
