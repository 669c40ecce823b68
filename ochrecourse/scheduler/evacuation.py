"""Per-node rate limits set by the fleet, for example while a zone is evacuated or returns to service.

Inputs: the units per second that this gateway may start at a node, and the units of each request.

Within the window over which a node's load is measured, this gateway starts no more units than the rate
allows. If the rate allows less than one request per window, requests are spaced at the rate instead. A rate
of 0 closes the node. Nodes for which the fleet sets no rate are not limited here.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping

from ochrecourse.common.time_units import SECOND
from ochrecourse.scheduler.random_source import RandomSource
from ochrecourse.scheduler.settings import SchedulerSettings
from ochrecourse.scheduler.state import Node
from ochrecourse.scheduler.timers import NEVER


class RateChange(enum.Enum):
    """How a node's rate changed; requests waiting at the node are placed again if it was lowered."""

    NONE = 0
    RAISED = 1
    LOWERED = 2


class NodeRates:
    """The rate limits of this gateway at all nodes.

    Settings used: the window over which a node's load is measured (ns) and the units of a typical request.
    """

    __slots__ = ("_node_load_window", "_random", "_rates", "_usual_units")

    def __init__(self, settings: SchedulerSettings, random_source: RandomSource) -> None:
        self._random = random_source
        self._node_load_window = settings.safety.node_load_window
        self._usual_units = settings.safety.usual_units
        self._rates: dict[int, float] = {}

    def received(self, rates: Mapping[int, float]) -> None:
        """Replaces all rates (units per second, by node id); call `apply` for each node afterwards."""
        self._rates = dict(rates)

    def apply(self, node: Node, now: int) -> RateChange:
        """Applies the most recently received rate to a node and returns how it changed."""
        rate = self._rates.get(node.id)
        before = node.rate
        if rate == before:
            return RateChange.NONE
        if before is None and rate:
            # Prevents a burst of the first requests of all gateways: each gateway starts at a random moment
            # within the time that one request takes at its rate.
            fraction = 2 * self._random.jitter() - 1
            node.next_start_at = now + round(fraction * self._usual_units / rate * SECOND)
        if rate is None:
            node.recent_starts.clear()
        node.rate = rate
        lowered = rate is not None and (before is None or rate < before)
        return RateChange.LOWERED if lowered else RateChange.RAISED

    def wait(self, node: Node, units: float, now: int) -> int:
        """Returns the ns until the rate allows this many units to start; `NEVER` for a closed node."""
        if not node.rate:
            return 0 if node.rate is None else NEVER
        recent_starts = node.recent_starts
        while recent_starts and recent_starts[0][0] <= now - self._node_load_window:
            recent_starts.popleft()
        capacity = node.rate * self._node_load_window / SECOND - units
        if capacity < 0:
            return max(0, node.next_start_at - now)
        in_window = sum(each for _, each in recent_starts)
        wait = 0
        for at, each in recent_starts:
            if in_window <= capacity:
                break
            in_window -= each
            wait = at + self._node_load_window - now + 1
        return wait

    def queue_time(self, node: Node) -> int:
        """Returns the ns that the requests already waiting at a node take at its rate."""
        waiting = sum(flow.waiting for flow in node.flows.values())
        return round(waiting * self._usual_units / node.rate * SECOND) if node.rate else 0

    def attempt_sent(self, node: Node, units: float, now: int) -> None:
        """Counts an attempt against the node's rate."""
        if node.rate:
            node.recent_starts.append((now, units))
            node.next_start_at = max(now, node.next_start_at) + round(units / node.rate * SECOND)
