"""Slow start: limits on the load of a node that warms up, per gateway and for all gateways together.

Inputs: the units of the requests that this gateway receives (for all nodes) and sends, when a node started or
returned, and from the settings the load that any starting node tolerates (units per window, the guaranteed
load) and the multiple of its capacity that a node tolerates.

After a start or a return, two limits apply until the slowest node is warm:

- For all gateways together, each gateway sends a request only with a certain probability: the share of its
  load that a starting node tolerates on the assumption that warm nodes are just fully loaded.
- For each gateway, the units that it sends within the window stay below its even share of the guaranteed
  load, plus half of the tolerated multiple for each unit that the node answered to it.

If the even share is at least one typical request, the second limit alone bounds the total.
"""

from __future__ import annotations

from ochrecourse.common.time_units import SECOND
from ochrecourse.interface import Health, NodeEntry
from ochrecourse.scheduler.random_source import RandomSource
from ochrecourse.scheduler.settings import SchedulerSettings
from ochrecourse.scheduler.state import Node

# Standard deviations that keep N random requests within the N + 2 sqrt(N) + 2 that a cold node tolerates.
RANDOM_DEVIATIONS = 4
# ns over which this gateway's own load is averaged; as long as nodes are cold
LOAD_AVERAGING_TIME = 16 * SECOND
LN_2 = 0.69  # rounded; converts the time constant of a mean to its halving time
START_WINDOW_REQUESTS = 1.0  # window of a node that starts


class SlowStart:
    """Slow start of all nodes, as seen by one gateway.

    Settings used: the maximum time that a node needs to warm up (ns), the window over which a node's load is
    measured (ns), the units per window that any starting node tolerates, the share of its capacity that a
    node has at its start, the multiple of its capacity that it tolerates, the number of gateways, and the
    units of a typical request. `now`: clock time of the gateway's start, ns.
    """

    __slots__ = (
        "_answer_factor",
        "_node_load_window",
        "_own_guaranteed_units",
        "_random",
        "_random_share",
        "_slow_start_time",
        "_start_slowdown",
        "_usual_units",
        "_warming_gain",
        "load_units",
        "load_updated_at",
        "tolerated_share",
    )

    def __init__(self, settings: SchedulerSettings, random_source: RandomSource, now: int) -> None:
        safety = settings.safety
        self._random = random_source
        self._node_load_window = safety.node_load_window
        self._slow_start_time = safety.slow_start_time
        self._usual_units = safety.usual_units
        self._start_slowdown = 1 / safety.start_capacity
        self._own_guaranteed_units = safety.guaranteed_units / safety.gateways
        self._warming_gain = max(0.0, 1 / safety.start_capacity - 1)  # capacity gained while warming up
        self._answer_factor = max(1.0, safety.overload_factor / 2)  # units allowed per answered unit
        requests = safety.guaranteed_units / safety.usual_units
        root = (RANDOM_DEVIATIONS**2 / 4 + requests + 2 * requests**0.5 + 2) ** 0.5
        mean = (root - RANDOM_DEVIATIONS / 2) ** 2
        # Of the guaranteed requests; leaves a margin for random variation.
        self._random_share: float = min(1.0, mean / requests)
        # The share of the requests of just fully loaded warm nodes that a starting node tolerates.
        self.tolerated_share = safety.start_capacity * safety.overload_factor
        # Units received per node in LOAD_AVERAGING_TIME. A gateway that starts assumes that warm nodes are
        # fully loaded.
        self.load_units = (
            self._own_guaranteed_units
            * LOAD_AVERAGING_TIME
            / (max(1, self._node_load_window) * self.tolerated_share)
        )
        self.load_updated_at = now  # last update of `load_units`

    def begin_if_started(self, node: Node, entry: NodeEntry, now: int) -> bool:
        """Starts the slow start of a node whose new entry is ready, if needed; returns whether it did."""
        # Prevents overloading a node that starts: any return counts as a start, even if the list reports no
        # new start time.
        returned = node.health is Health.GONE and node.started_at == entry.started
        since = now if returned else entry.started
        if not returned and (node.started_at == entry.started or not 0 < since > now - self._slow_start_time):
            return False
        node.slow_start_until = since + self._slow_start_time
        node.window = START_WINDOW_REQUESTS
        node.window_shrunk_at = now
        node.slowdown = self._start_slowdown
        node.decayed_at = now
        return True

    def count_load(self, units: float, nodes: int, now: int) -> None:
        """Adds the units of a request to the average load per node of this gateway."""
        self.load_units *= 0.5 ** ((now - self.load_updated_at) / (LN_2 * LOAD_AVERAGING_TIME))
        self.load_units += units / max(1, nodes)
        self.load_updated_at = now

    def is_throttled(self, node: Node, now: int) -> bool:
        """Returns whether a request must not be sent to this node now.

        Draws a random number on each call for which the probabilistic limit applies.
        """
        # Prevents all gateways together from overloading a cold node.
        if now >= node.slow_start_until or self._own_guaranteed_units >= self._usual_units:
            return False
        warmed = max(0.0, 1 + (now - node.slow_start_until) / self._slow_start_time)
        capacity = 1 + self._warming_gain * warmed**2
        share = max(
            self.tolerated_share,
            self._own_guaranteed_units
            * LOAD_AVERAGING_TIME
            / (max(1, self._node_load_window) * self.load_units),
        )
        drawn = 2 * self._random.jitter() - 1
        return drawn >= self._random_share * capacity * share

    def wait(self, node: Node, now: int) -> int:
        """Returns the time in ns until this gateway may send the node more; 0 if it may now."""
        # Prevents a burst of this gateway alone from overloading a cold node.
        sends = node.slow_start_sends
        while sends and (now >= node.slow_start_until or sends[0][0] <= now - self._node_load_window):
            sends.popleft()
        factor = self._answer_factor
        if sum(each if each > 0 else each * factor for _, each in sends) <= self._own_guaranteed_units:
            return 0
        return sends[0][0] + self._node_load_window - now + 1

    def attempt_sent(self, node: Node, units: float, now: int) -> None:
        """Counts an attempt against the gateway's limit at a node in slow start."""
        if now < node.slow_start_until:
            node.slow_start_sends.append((now, units))

    def answered(self, node: Node, units: float, now: int) -> None:
        """Raises the gateway's limit at a node in slow start after an attempt was served."""
        if now < node.slow_start_until:
            node.slow_start_sends.append((now, -units))
