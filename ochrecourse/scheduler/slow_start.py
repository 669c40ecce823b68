"""What a node that warms up is sent, by this gateway and by all gateways together.

Inputs: units of the requests that this gateway is asked for (over all nodes) and sends, when a node started
or returned, and of the settings the load that any starting node bears (units in a window of time) and the
multiple of its capacity that a node bears.

From a start or a return two limits apply until the slowest node is warm. All gateways together: each lets a
request go by chance, with the share of its load that a starting node bears if warm nodes are just full. One
gateway: what it sends in the window stays under its even part of the load that is sure, and half of the
multiple of what the node answered here. Where that part holds a usual request, the second law alone holds
the sum.
"""

from __future__ import annotations

from ochrecourse.common.time_units import SECOND
from ochrecourse.interface import Health, NodeEntry
from ochrecourse.scheduler.chance import Chance
from ochrecourse.scheduler.settings import SchedulerSettings
from ochrecourse.scheduler.state import Node

CHANCE_DEVIATIONS = 4  # that keep a drawn sum of N requests within N + 2 root N + 2, which a cold node bears
LOAD_SPAN = 16 * SECOND  # ns over which this gateway's own load is averaged; as long as nodes are cold
LN_2 = 0.69  # rounded; from the span of a mean to that in which it halves
START_WINDOW_REQUESTS = 1.0  # at a node that starts


class SlowStart:
    """Slow start of all nodes, as seen by one gateway.

    `settings`: of these it takes the longest time that a node needs to warm up (ns), the window over which a
    node's load is counted (ns), the units in that window that any starting node bears, the share of its
    capacity that a node has at its start, the multiple of its capacity that it bears, the number of gateways,
    and the units of a usual request. `now`: clock time of the gateway's start, ns.
    """

    __slots__ = (
        "_answer_factor",
        "_chance",
        "_chance_share",
        "_node_load_span",
        "_own_sure_units",
        "_span",
        "_start_slowdown",
        "_usual_units",
        "_warming_gain",
        "bearable_share",
        "load_at",
        "load_units",
    )

    def __init__(self, settings: SchedulerSettings, chance: Chance, now: int) -> None:
        safety = settings.safety
        self._chance = chance
        self._node_load_span = safety.node_load_span
        self._span = safety.slow_start_span
        self._usual_units = safety.usual_units
        self._start_slowdown = 1 / safety.start_capacity
        self._own_sure_units = safety.sure_units / safety.gateways
        self._warming_gain = max(0.0, 1 / safety.start_capacity - 1)  # capacity that comes with warming
        self._answer_factor = max(1.0, safety.overload_factor / 2)  # units that an answered unit grants
        requests = safety.sure_units / safety.usual_units
        root = (CHANCE_DEVIATIONS**2 / 4 + requests + 2 * requests**0.5 + 2) ** 0.5
        mean = (root - CHANCE_DEVIATIONS / 2) ** 2
        self._chance_share: float = min(
            1.0, mean / requests
        )  # of the sure requests, to leave room for chance
        # Of the requests that warm nodes are asked for when they are just full, what a starting one bears.
        self.bearable_share = safety.start_capacity * safety.overload_factor
        # Units asked for per node in LOAD_SPAN. A gateway that begins takes warm nodes for full.
        self.load_units = (
            self._own_sure_units * LOAD_SPAN / (max(1, self._node_load_span) * self.bearable_share)
        )
        self.load_at = now  # of `load_units`

    def begin_if_started(self, node: Node, entry: NodeEntry, now: int) -> bool:
        """Begins the slow start of a node whose new entry says it is ready, if it needs one."""
        # Guards against pushing over a node that starts: any return counts as a start, listed or not.
        returned = node.health is Health.GONE and node.started_at == entry.started
        since = now if returned else entry.started
        if not returned and (node.started_at == entry.started or not 0 < since > now - self._span):
            return False
        node.slow_start_until = since + self._span
        node.window = START_WINDOW_REQUESTS
        node.window_shrunk_at = now
        node.slowdown = self._start_slowdown
        node.decayed_at = now
        return True

    def count_load(self, units: float, nodes: int, now: int) -> None:
        """This gateway is asked for so many units, at so many nodes."""
        self.load_units *= 0.5 ** ((now - self.load_at) / (LN_2 * LOAD_SPAN))
        self.load_units += units / max(1, nodes)
        self.load_at = now

    def keeps_back(self, node: Node, now: int) -> bool:
        """Whether a request must not go to this node now. Draws chance for each call that it decides."""
        # Guards against pushing over a cold node, all gateways together.
        if now >= node.slow_start_until or self._own_sure_units >= self._usual_units:
            return False
        warmed = max(0.0, 1 + (now - node.slow_start_until) / self._span)
        capacity = 1 + self._warming_gain * warmed**2
        share = max(
            self.bearable_share,
            self._own_sure_units * LOAD_SPAN / (max(1, self._node_load_span) * self.load_units),
        )
        drawn = 2 * self._chance.spread() - 1
        return drawn >= self._chance_share * capacity * share

    def wait(self, node: Node, now: int) -> int:
        """Time in ns until this gateway may send the node more; 0 when it may now."""
        # Guards against a rush of this gateway's own at a cold node.
        sends = node.slow_start_sends
        while sends and (now >= node.slow_start_until or sends[0][0] <= now - self._node_load_span):
            sends.popleft()
        factor = self._answer_factor
        if sum(each if each > 0 else each * factor for _, each in sends) <= self._own_sure_units:
            return 0
        return sends[0][0] + self._node_load_span - now + 1

    def attempt_sent(self, node: Node, units: float, now: int) -> None:
        """An attempt goes to the node."""
        if now < node.slow_start_until:
            node.slow_start_sends.append((now, units))

    def answered(self, node: Node, units: float, now: int) -> None:
        """The node served an attempt."""
        if now < node.slow_start_until:
            node.slow_start_sends.append((now, -units))
