"""Whether this gateway's wall clock may be trusted, judged by its own monotonic clock and by the clocks of
other gateways. Free of I/O and clocks: readings are passed in.

Wall clocks of a fleet differ from the true time by at most a bound, so any two differ by at most twice that.
Two gateways that exchange clock reports bound the offset between their clocks, however long their messages
took: what one reads on arrival is at least the other's reading at sending. A clock is trusted once another
gateway answered with little enough uncertainty and is not certainly farther away than that, until it jumps,
or until more clocks certainly are. So an error is found that exceeds twice the bound by the uncertainty of
such an answer; a smaller one is not.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import NamedTuple

import msgspec

from ochrecourse.common.time_units import MS

MAX_COMPARED_CLOCKS = 16  # each costs some 50 bytes of a status that goes to all gateways
MAX_UNCERTAINTY_BOUNDS = 4  # offsets with a wider range, in clock bounds, prove nothing of a clock
UNKNOWN_MS = 1 << 62  # of an offset's limit


class ClockOffset(NamedTuple):
    """By how much another clock is ahead of this one, in ms: the least and the most that is possible."""

    min_ms: int
    max_ms: int


class ReceivedReading(NamedTuple):
    """Of a peer's last clock report: epoch, wall clock, and this gateway's wall clock on arrival, in ms."""

    epoch: int
    wall_ms: int
    received_at_ms: int


class ClockReport(msgspec.Struct, rename={"wall_ms": "wall", "epoch": "turn", "received": "heard"}):
    """What a gateway reports of its clock. `wall_ms`: ms since 1970; `epoch`: changes with each jump of the
    clock; `received`: the last reading received of each peer, by name.
    """

    wall_ms: int
    epoch: int
    received: dict[str, ReceivedReading] = {}


def clock_neighbours(name: str, names: Collection[str], distance: int) -> frozenset[str]:
    """The names at most `distance` places before and behind `name` in the sorted circle of all names. The
    relation is symmetric: each is a neighbour of its own neighbours.
    """
    circle = sorted({name, *names})
    position = circle.index(name)
    neighbours = {circle[(position + step) % len(circle)] for step in range(-distance, distance + 1)}
    return frozenset(neighbours - {name})


class WallClockMonitor:
    """One gateway's wall clock. `bound_ms`: error that a clock may have; `neighbours`: the gateways whose
    clocks it compares with its own. It also answers others that ask, up to MAX_COMPARED_CLOCKS. Without
    neighbours the clock is always trusted.
    """

    def __init__(self, name: str, bound_ms: int, neighbours: Collection[str], now: int, wall_ms: int) -> None:
        """`now` in ns of the monotonic clock, `wall_ms` in ms since 1970."""
        self.name = name
        self.bound_ms = bound_ms
        self.neighbours = frozenset(neighbours)
        self.epoch = wall_ms  # differs in each incarnation, so that no earlier epoch is taken for this one
        self.jumps = 0
        self.offsets: dict[str, ClockOffset] = {}  # by peer, since the last jump
        self.received: dict[str, ReceivedReading] = {}
        self.trusted = not self.neighbours
        self._last_reading = (now, wall_ms)

    def record_reading(self, now: int, wall_ms: int) -> bool:
        """Records a reading of both clocks, in ns and ms; False if the wall clock jumped since the last."""
        before, self._last_reading = self._last_reading, (now, wall_ms)
        elapsed_ms = (now - before[0]) // MS
        if abs(wall_ms - before[1] - elapsed_ms) <= self.bound_ms:
            return True
        self.jumps += 1
        self.epoch += 1
        self.offsets.clear()
        self.received.clear()  # arrival times by the clock before the jump
        self.trusted = not self.neighbours
        return False

    def report(self) -> ClockReport:
        """What the other gateways are to know, as of the last reading."""
        return ClockReport(self._last_reading[1], self.epoch, dict(self.received))

    def report_received(self, peer: str, report: ClockReport) -> None:
        """Another gateway's report arrived at the last reading. What it says of older epochs is ignored."""
        wall_ms = self._last_reading[1]
        compared = peer in self.neighbours or self.name in report.received
        if not compared or (peer not in self.received and len(self.received) >= MAX_COMPARED_CLOCKS):
            return
        self.received[peer] = ReceivedReading(report.epoch, report.wall_ms, wall_ms)
        min_ms, max_ms = report.wall_ms - wall_ms, UNKNOWN_MS
        echo = report.received.get(self.name)
        if echo is not None and echo.epoch == self.epoch:
            max_ms = echo.received_at_ms - echo.wall_ms
        known = self.offsets.get(peer, ClockOffset(-UNKNOWN_MS, UNKNOWN_MS))
        # Clocks that are set in small steps drift apart: then what was known before no longer holds.
        if max(min_ms, known.min_ms) <= min(max_ms, known.max_ms):
            min_ms, max_ms = max(min_ms, known.min_ms), min(max_ms, known.max_ms)
        self.offsets[peer] = ClockOffset(min_ms, max_ms)
        self._update_trust()

    def forget_peer(self, peer: str) -> None:
        """Another gateway restarted or is lost: nothing is known of its clock."""
        self.offsets.pop(peer, None)
        self.received.pop(peer, None)

    def _update_trust(self) -> None:
        out_of_bound = self.peers_out_of_bound()
        max_range_ms = MAX_UNCERTAINTY_BOUNDS * self.bound_ms
        precise = [
            peer for peer, offset in self.offsets.items() if offset.max_ms - offset.min_ms <= max_range_ms
        ]
        agreeing = sum(peer not in out_of_bound for peer in precise)
        if len(out_of_bound) > agreeing:  # counting this clock, no more clocks agree than disagree
            self.trusted = False
        elif agreeing:
            self.trusted = True

    def peers_out_of_bound(self) -> Mapping[str, ClockOffset]:
        """The peers whose clocks are certainly farther away than two clocks may be, by name."""
        limit_ms = 2 * self.bound_ms
        return {
            peer: offset
            for peer, offset in sorted(self.offsets.items())
            if offset.min_ms > limit_ms or offset.max_ms < -limit_ms
        }
