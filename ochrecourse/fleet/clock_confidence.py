"""Decides whether this gateway's wall clock is trusted, by comparison with its monotonic clock and with the
wall clocks of other gateways. Free of I/O and clocks: readings are passed in.

Each wall clock of a fleet is required to be within a bound of the true time, so any two differ by at most
twice that bound. Two gateways that exchange clock reports obtain limits of the offset between their clocks
whatever the delay of their messages, as a message arrives no earlier than it is sent. A clock becomes trusted
when another gateway has answered with a small enough uncertainty and its clock is not certainly out of range.
It loses this trust when it jumps, or when more clocks are certainly out of range than agree with it.
Errors are thus detected if they exceed twice the bound by more than the uncertainty of such an answer;
smaller ones are not.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import NamedTuple

import msgspec

from ochrecourse.common.time_units import MS

MAX_COMPARED_CLOCKS = 16  # each adds about 50 bytes to a status that is sent to all gateways
MAX_UNCERTAINTY_BOUNDS = 4  # in clock bounds: offsets with a wider range are too uncertain to use
UNKNOWN_MS = 1 << 62  # stands for an unknown limit of an offset


class ClockOffset(NamedTuple):
    """Limits in ms of the time by which another clock is ahead of this one."""

    min_ms: int
    max_ms: int


class ReceivedReading(NamedTuple):
    """A peer's last clock report: its epoch and wall clock, and this gateway's wall clock on arrival (ms)."""

    epoch: int
    wall_ms: int
    received_at_ms: int


class ClockReport(msgspec.Struct, rename={"wall_ms": "wall", "epoch": "turn", "received": "heard"}):
    """A gateway's clock as reported in its status. `wall_ms`: ms since 1970; `epoch`: changes with each jump
    of the clock; `received`: by peer name, the last reading received.
    """

    wall_ms: int
    epoch: int
    received: dict[str, ReceivedReading] = {}


def clock_neighbours(name: str, names: Collection[str], distance: int) -> frozenset[str]:
    """The names within `distance` positions of `name` in the sorted ring of all names. The relation is
    symmetric: each gateway is a neighbour of its neighbours.
    """
    ring = sorted({name, *names})
    position = ring.index(name)
    neighbours = {ring[(position + step) % len(ring)] for step in range(-distance, distance + 1)}
    return frozenset(neighbours - {name})


class WallClockMonitor:
    """Monitors one gateway's wall clock. `bound_ms`: largest permitted error of a clock; `neighbours`: the
    gateways whose clocks are compared with this one. Reports of other gateways that compare their clocks with
    this one are answered too, up to MAX_COMPARED_CLOCKS. Without neighbours the clock is always trusted.
    """

    def __init__(self, name: str, bound_ms: int, neighbours: Collection[str], now: int, wall_ms: int) -> None:
        """`now` in ns of the monotonic clock, `wall_ms` in ms since 1970."""
        self.name = name
        self.bound_ms = bound_ms
        self.neighbours = frozenset(neighbours)
        self.epoch = wall_ms  # unique to the incarnation: an earlier one's epochs do not match it
        self.jumps = 0
        self.offsets: dict[str, ClockOffset] = {}  # by peer, since the last jump
        self.received: dict[str, ReceivedReading] = {}
        self.trusted = not self.neighbours
        self._last_reading = (now, wall_ms)

    def record_reading(self, now: int, wall_ms: int) -> bool:
        """Records readings of both clocks, in ns and ms; returns False if the wall clock jumped."""
        previous, self._last_reading = self._last_reading, (now, wall_ms)
        elapsed_ms = (now - previous[0]) // MS
        if abs(wall_ms - previous[1] - elapsed_ms) <= self.bound_ms:
            return True
        self.jumps += 1
        self.epoch += 1
        self.offsets.clear()
        self.received.clear()  # their arrival times were read from the clock before the jump
        self.trusted = not self.neighbours
        return False

    def report(self) -> ClockReport:
        """The clock report for the other gateways, as of the last reading."""
        return ClockReport(self._last_reading[1], self.epoch, dict(self.received))

    def report_received(self, peer: str, report: ClockReport) -> None:
        """Records a peer's report, which arrived at the last reading. Echoes of older epochs are ignored."""
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
        # Contradictory limits mean that a clock was adjusted in small steps: the new ones replace the old.
        if max(min_ms, known.min_ms) <= min(max_ms, known.max_ms):
            min_ms, max_ms = max(min_ms, known.min_ms), min(max_ms, known.max_ms)
        self.offsets[peer] = ClockOffset(min_ms, max_ms)
        self._update_trust()

    def forget_peer(self, peer: str) -> None:
        """Discards what is known of the clock of a gateway that restarted or departed."""
        self.offsets.pop(peer, None)
        self.received.pop(peer, None)

    def _update_trust(self) -> None:
        out_of_bound = self.peers_out_of_bound()
        max_range_ms = MAX_UNCERTAINTY_BOUNDS * self.bound_ms
        precise = [
            peer for peer, offset in self.offsets.items() if offset.max_ms - offset.min_ms <= max_range_ms
        ]
        agreeing = sum(peer not in out_of_bound for peer in precise)
        if len(out_of_bound) > agreeing:  # including this clock, no more clocks agree than disagree
            self.trusted = False
        elif agreeing:
            self.trusted = True

    def peers_out_of_bound(self) -> Mapping[str, ClockOffset]:
        """The peers whose clocks certainly differ from this one by more than twice the bound, by name."""
        limit_ms = 2 * self.bound_ms
        return {
            peer: offset
            for peer, offset in sorted(self.offsets.items())
            if offset.min_ms > limit_ms or offset.max_ms < -limit_ms
        }
