"""Rates that the fleet sets at nodes, as when a zone is evacuated or comes back.

Inputs: units a second that this gateway may begin at a node, units of each request.

Within the window of time over which a node's load is counted no more begins than the rate gives. Where that
is less than one request, one request follows another at the pace of the rate. A rate of 0 closes the node.
Nodes that the fleet does not name are not limited here.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping

from ochrecourse.common.time_units import SECOND
from ochrecourse.scheduler.chance import Chance
from ochrecourse.scheduler.settings import SchedulerSettings
from ochrecourse.scheduler.state import Node
from ochrecourse.scheduler.timers import NEVER


class RateChange(enum.Enum):
    """What a node's new rate means for what waits there."""

    NONE = 0
    RAISED = 1
    LOWERED = 2


class NodeRates:
    """The rates of all nodes, for this gateway.

    `settings`: of these it takes the window over which a node's load is counted (ns) and the units of a usual
    request.
    """

    __slots__ = ("_chance", "_node_load_span", "_rates", "_usual_units")

    def __init__(self, settings: SchedulerSettings, chance: Chance) -> None:
        self._chance = chance
        self._node_load_span = settings.safety.node_load_span
        self._usual_units = settings.safety.usual_units
        self._rates: dict[int, float] = {}

    def received(self, rates: Mapping[int, float]) -> None:
        """Takes rates (units a second, by node id) in place of all before; `apply` then to each node."""
        self._rates = dict(rates)

    def apply(self, node: Node, now: int) -> RateChange:
        """Has the last rates that were received hold at a node."""
        rate = self._rates.get(node.id)
        before = node.rate
        if rate == before:
            return RateChange.NONE
        if before is None and rate:
            # Guards against a rush of each gateway's first request: they begin by chance within one's time.
            spread = 2 * self._chance.spread() - 1
            node.next_start_at = now + round(spread * self._usual_units / rate * SECOND)
        if rate is None:
            node.begun.clear()
        node.rate = rate
        lowered = rate is not None and (before is None or rate < before)
        return RateChange.LOWERED if lowered else RateChange.RAISED

    def wait(self, node: Node, units: float, now: int) -> int:
        """Time in ns until the rate lets so many units begin; 0 when it does, `NEVER` at a closed node."""
        if not node.rate:
            return 0 if node.rate is None else NEVER
        begun = node.begun
        while begun and begun[0][0] <= now - self._node_load_span:
            begun.popleft()
        capacity = node.rate * self._node_load_span / SECOND - units
        if capacity < 0:
            return max(0, node.next_start_at - now)
        in_window = sum(each for _, each in begun)
        wait = 0
        for at, each in begun:
            if in_window <= capacity:
                break
            in_window -= each
            wait = at + self._node_load_span - now + 1
        return wait

    def queue_time(self, node: Node) -> int:
        """Time in ns that the rate gives to what waits at a node before another request."""
        waiting = sum(flow.waiting for flow in node.flows.values())
        return round(waiting * self._usual_units / node.rate * SECOND) if node.rate else 0

    def attempt_sent(self, node: Node, units: float, now: int) -> None:
        """An attempt begins at the node."""
        if node.rate:
            node.begun.append((now, units))
            node.next_start_at = max(now, node.next_start_at) + round(units / node.rate * SECOND)
