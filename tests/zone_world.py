"""A small simulation of zone control: gateways, zones of nodes, zone losses, partitions, stops and clock errors.

Time advances in steps of 125 or 250 ms. Gateways run the real `ZoneController`; messages between them are calls that
may be dropped. After each step the world checks its invariants over all running gateways, and raises
InvariantViolation.
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

UNREACHABLE_AFTER = 2 * SECOND
CONVERGENCE_TIME = 3 * SECOND  # after which gateways that reach each other must agree on the states of zones
CLOCK_BOUND_MS = 500  # largest error of a wall clock
SETTINGS = {
    "cold": 5,
    "rest": 3000,
    "longest_rest": 48_000,
    "ease": 20_000,
    "lend": 4000,
    "clock_bound": CLOCK_BOUND_MS,
}


class InvariantViolation(AssertionError):
    pass


class Gateway:
    """One gateway: its zone controller, its log entries, and when it last received a report of each other gateway."""

    def __init__(self, world, name, zone):
        self.world, self.name, self.zone = world, name, zone
        self.up, self.incarnation, self.clock_error_ms = True, 0, 0
        self.entries = {}
        self.start()

    def start(self, lost_disk=False):
        self.up, self.incarnation, self.seq = True, self.incarnation + 1, 0
        if lost_disk:
            self.entries = {}
        self.received_at = {}
        self.next_attempt_at = {}
        self.highest_numbers = {}
        placement = FleetPlacement(self.world.zone_count, self.name, self.zone, len(self.world.gateway_zones))
        self.zones = self.world.controller_class(ZoneSettings.from_map(self.world.settings), placement)
        self.zones.update_nodes(self.world.endpoint_list())
        self.zones.set_time(self.world.now, self.wall_ms())
        for entry in self.entries.values():
            self.zones.entry_received(entry)

    def wall_ms(self):
        return self.world.now // MS + 1_000_000 + self.clock_error_ms

    def reachable(self):
        now = self.world.now
        zones = {
            name: self.world.gates[name].zone
            for name, at in self.received_at.items()
            if now - at <= UNREACHABLE_AFTER
        }
        return {**zones, self.name: self.zone}

    def receive_entry(self, entry):
        if entry.position not in self.entries:
            self.entries[entry.position] = entry
            self.zones.entry_received(entry)

    def append_entry(self, body):
        self.seq += 1
        latest = max((each.at for each in self.entries.values()), default=Timestamp(0, 0))
        at = max(Timestamp(self.wall_ms(), 0), Timestamp(latest.ms, latest.counter + 1))
        entry = Entry("fleet", self.name, self.incarnation, self.seq, at, (), msgspec.json.encode(body))
        self.receive_entry(entry)
        self.world.said.append((self.world.now, self.name, body, dict(self.reachable())))


class World:
    def __init__(
        self,
        seed,
        zone_count=3,
        nodes_per_zone=3,
        gateway_zones=(0, 0, 1, 1, 2, 2),
        attempts_per_step=2,
        controller_class=ZoneController,
        loss=0.05,
        settings=None,
        step=125 * MS,
    ):
        self.random = random.Random(seed)
        self.zone_count, self.gateway_zones, self.attempts_per_step, self.controller_class, self.loss = (
            zone_count,
            gateway_zones,
            attempts_per_step,
            controller_class,
            loss,
        )
        self.settings = {**SETTINGS, **(settings or {})}
        self.now, self.step_ns = 10 * SECOND, step
        self.nodes = {zone * 100 + i: zone for zone in range(zone_count) for i in range(nodes_per_zone)}
        self.absent = set()  # nodes that are no longer listed as ready
        self.cold_until = {}
        self.failed = {}  # ending of attempts, by node that answers none
        self.slow_factor = {}  # by node: multiple of the usual duration
        self.rejection_rate = {}  # by node: fraction of attempts that it rejects as full
        self.separated = set()  # pairs of gateways that do not reach each other
        self.unreachable = set()  # pairs of gateway and node that do not reach each other
        self.idle = set()  # gateways without requests
        self.max_units = {}  # by node: larger attempts get no answer
        self.unit_random, self.units = (
            random.Random(f"{seed} sizes"),
            (1,),
        )  # units of attempts, and their generator
        self.in_flight = []  # attempts: end, counter, gateway, incarnation, node, ending, duration, units
        self.counter = itertools.count()
        self.said = []  # appended entries: time, gateway, body, gateways reachable from it
        self.differ_since = {}
        self.together_since = {}
        self.max_usable = 0.0  # the largest sum of usable quotas so far
        self.gates = {}
        for i, zone in enumerate(gateway_zones):
            self.gates[f"g{i}"] = Gateway(self, f"g{i}", zone)

    # --- faults ---

    def endpoint_list(self):
        return {
            node: ZoneNode(zone, node, node not in self.absent, self.cold_until.get(node, 0))
            for node, zone in self.nodes.items()
        }

    def update_endpoint_lists(self):
        for gateway in self.gates.values():
            if gateway.up:
                gateway.zones.update_nodes(self.endpoint_list())

    def lose(self, zone, ending=Ending.TIMEOUT):
        self.failed.update({node: ending for node, node_zone in self.nodes.items() if node_zone == zone})

    def regain(self, zone, cold=3 * SECOND):
        for node, node_zone in self.nodes.items():
            if node_zone == zone:
                self.failed.pop(node, None)
                self.cold_until[node] = self.now + cold
        self.update_endpoint_lists()

    def partition(self, names, zones=()):
        """Separates these gateways and the nodes of these zones from all others."""
        for first, second in itertools.combinations(self.gates, 2):
            if (first in names) != (second in names):
                self.separated.add((first, second))
        for name in self.gates:
            for node, zone in self.nodes.items():
                if (name in names) != (zone in zones):
                    self.unreachable.add((name, node))

    def heal(self):
        self.separated.clear()
        self.unreachable.clear()

    def stop(self, name):
        self.gates[name].up = False

    # --- time ---

    def run(self, seconds):
        for _ in range(int(seconds * SECOND // self.step_ns)):
            self.step()
        return self

    def step(self):
        self.now += self.step_ns
        is_heartbeat = self.now % (250 * MS) == 0
        gateways = [gateway for gateway in self.gates.values() if gateway.up]
        self._end_attempts()
        for gateway in gateways:
            gateway.zones.set_time(self.now, gateway.wall_ms())
            self._start_attempts(gateway)
        if is_heartbeat:
            for gateway in gateways:
                self._send_report(gateway, gateways)
        for gateway in gateways:
            for name, at in list(gateway.received_at.items()):
                if self.now - at > UNREACHABLE_AFTER:
                    del gateway.received_at[name]
                    gateway.zones.gateway_unreachable(name)
            for _ in range(50):
                if (body := gateway.zones.next_entry(self.now, gateway.reachable())) is None:
                    break
                gateway.append_entry(body)
            else:
                raise InvariantViolation(f"{gateway.name} proposes entries without end")
        self.check(gateways)

    def _start_attempts(self, gateway):
        if gateway.name in self.idle:
            return
        rates = gateway.zones.node_rates(self.now)
        nodes = [node for node in self.nodes if node not in self.absent]
        unlimited = [node for node in nodes if node not in rates]
        chosen = (
            [unlimited[self.random.randrange(len(unlimited))] for _ in range(self.attempts_per_step)]
            if unlimited
            else []
        )
        for node, rate in rates.items():
            if rate and node not in self.absent:
                due = gateway.next_attempt_at.setdefault(
                    node, self.now + int(self.random.random() * SECOND / rate)
                )
                if due <= self.now:
                    chosen.append(node)
                    gateway.next_attempt_at[node] = self.now + int(SECOND / rate)
        for node in chosen:
            duration = int(20 * MS * (0.5 + self.random.random()) * self.slow_factor.get(node, 1))
            ending, units = Ending.SERVED, self.unit_random.choice(self.units)
            if (gateway.name, node) in self.unreachable:
                ending, duration = Ending.TIMEOUT, 250 * MS
            elif node in self.failed:
                ending = self.failed[node]
                duration = 250 * MS if ending is Ending.TIMEOUT else 5 * MS
            elif units > self.max_units.get(node, units):
                ending, duration = Ending.TIMEOUT, 250 * MS
            elif duration > 600 * MS:
                ending, duration = Ending.TIMEOUT, 600 * MS
            elif self.random.random() < self.rejection_rate.get(node, 0):
                ending, duration = Ending.FULL, 5 * MS
            self.in_flight.append(
                (
                    self.now + duration,
                    next(self.counter),
                    gateway,
                    gateway.incarnation,
                    node,
                    ending,
                    duration,
                    units,
                )
            )

    def _end_attempts(self):
        self.in_flight.sort()
        while self.in_flight and self.in_flight[0][0] <= self.now:
            at, _, gateway, incarnation, node, ending, duration, units = self.in_flight.pop(0)
            if gateway.up and gateway.incarnation == incarnation:
                gateway.zones.attempt_ended(EndedAttempt(node, ending, duration, 20.0 * MS, at, units))

    def _send_report(self, gateway, gateways):
        status = gateway.zones.status(self.now)
        for other in gateways:
            if (
                other is gateway
                or not self._connected(gateway.name, other.name)
                or self.random.random() < self.loss
            ):
                continue
            other.received_at[gateway.name] = self.now
            other.zones.report_received(gateway.name, gateway.zone, status, self.now)
            missing = [entry for position, entry in gateway.entries.items() if position not in other.entries]
            self.random.shuffle(missing)
            for entry in missing:
                other.receive_entry(entry)

    def _connected(self, first, second):
        return (first, second) not in self.separated and (second, first) not in self.separated

    # --- invariants ---

    def check(self, gateways):
        ready = {node for node in self.nodes if node not in self.absent}
        states, sums = {}, {}
        for gateway in gateways:
            states[gateway.name] = [gateway.zones.state_of(zone) for zone in range(self.zone_count)]
            for zone, (_, number) in enumerate(states[gateway.name]):
                if number < gateway.highest_numbers.get(zone, 0):
                    raise InvariantViolation(
                        f"{gateway.name}: the decision number of zone {zone} decreased to {number}"
                    )
                gateway.highest_numbers[zone] = number
            if ready and all(
                states[gateway.name][self.nodes[node]][0] is ZoneState.EVACUATED for node in ready
            ):
                raise InvariantViolation(f"{gateway.name} has evacuated all zones")
            for node, rate in gateway.zones.node_rates(self.now).items():
                sums[node] = sums.get(node, 0.0) + rate
        for zone in range(self.zone_count):
            total = max(
                sum(gateway.zones.context.quota.usable(zone, node, self.now) for gateway in gateways)
                for node, node_zone in self.nodes.items() if node_zone == zone
            )  # fmt: skip
            self.max_usable = max(self.max_usable, total)
            if total > 1 + 1e-9:
                raise InvariantViolation(f"quotas of a node of zone {zone} sum up to {total:.3f}")
        for node, total in sums.items():
            if self.cold_until.get(node, 0) > self.now and total > self.settings["cold"] + 1e-9:
                raise InvariantViolation(f"{total:.3f} units/s may be sent to the cold node {node}")
        for first, second in itertools.combinations(gateways, 2):
            pair = (first.name, second.name)
            connected = (
                self._connected(*pair)
                and first.name in second.received_at
                and second.name in first.received_at
            )
            if not connected or states[first.name] == states[second.name]:
                self.differ_since.pop(pair, None)
            elif self.now - self.differ_since.setdefault(pair, self.now) > CONVERGENCE_TIME:
                raise InvariantViolation(f"{pair} reach each other and have different zone states")

    def state(self, zone, name="g0"):
        return self.gates[name].zones.state_of(zone)[0]

    def state_changes(self, zone, since=0, word=None):
        return [
            (at, body["standing"]) for at, _, body, _ in self.said
            if at >= since and body["what"] == "zone" and body["zone"] == zone and word in (None, body["standing"])
        ]  # fmt: skip


def evacuated_by_all(world, zone):
    return all(
        gateway.zones.state_of(zone)[0] is ZoneState.EVACUATED
        for gateway in world.gates.values()
        if gateway.up
    )
