"""Which requests are admitted, and what the others are answered.

Inputs: the time that a request is expected to need at its node and the time left to answer it (ns), its
priority weight per ns of a node's time, and the floor of that weight at its node.

A request that can't be answered in time is rejected at once, at an idle node too. Once answers are slower
than usual a request must fit into a share of the time left, which is smaller for requests beyond the reserve
of their tenant: they go only where answers are quick. While admitted requests are being given up at a node,
its floor rises, and requests below it are shed.
"""

from __future__ import annotations

from ochrecourse.interface import Outcome, Reply
from ochrecourse.scheduler.chance import Chance
from ochrecourse.scheduler.settings import Idempotency, RetryScope, SchedulerSettings
from ochrecourse.scheduler.state import Node, PendingRequest

TIME_SHARE_POWER = 0.5  # power of the priority share; higher rejects more
SPREAD_OFFSET = 0.25  # added to a chance between a half and one, for a mean of one
FLOOR_SMOOTHING = 0.05  # weight of the newest request given up in a node's floor


class Admission:
    """Decides whether a request may wait at its node, and makes the replies to those that may not.

    `settings`: of these it takes the priority weight of each class, the priority share of each rate (0 to 1),
    and whether clients honour advice on how long to stay away, with the longest (ns).
    """

    __slots__ = ("_chance", "_settings")

    def __init__(self, settings: SchedulerSettings, chance: Chance) -> None:
        self._settings = settings
        self._chance = chance

    def priority_per_ns(self, pending: PendingRequest) -> float:
        """Priority weight per ns of a node's time that the request is expected to need."""
        volume = pending.volume
        density = pending.request_class.priority_weight * volume.priority_factor / pending.pace.ns_per_unit
        return density * self._settings.priority_share(pending.quota)

    def admits(self, pending: PendingRequest, node: Node, needed: int, left: int, now: int) -> bool:
        """Whether the request may wait at the node, or go on waiting there.

        Raises the node's priority floor where it does not fit; draws chance for a request that is new there.

        `needed`: ns that it is expected to take there. `left`: ns within which it has to be answered.
        """
        priority = self.priority_per_ns(pending)
        # Guards against surges that fill a node with requests of low priority; and, by chance, against
        # gateways that all begin or cease to send at one answer time.
        time_share = self._settings.priority_share(pending.quota) ** TIME_SHARE_POWER
        if not pending.waiting:
            time_share *= SPREAD_OFFSET + self._chance.spread()
        usual = pending.pace.ns_per_unit * pending.request.units
        if needed > left or needed - usual > time_share * (left - usual):
            node.priority_floor += max(0.0, FLOOR_SMOOTHING * (priority - node.priority_floor))
            return False
        if pending.waiting or priority >= node.priority_floor:
            return True
        # A node that is idle for this gateway and was not heard of lately is tried whatever the floor.
        return not (node.outstanding or now < node.last_answer_at + needed)

    def reply(self, pending: PendingRequest, capacity_wait: int) -> Reply:
        """The final answer to a request that is not served.

        It is rejected if nothing ran or a repeat is harmless; else it failed. `capacity_wait`: ns until
        there is capacity for it, 0 where that is not known.
        """
        if not self._harmless_to_repeat(pending):
            return Reply(pending.request.id, Outcome.FAILED, 0)
        retry_after = 0
        if self._settings.gives_retry_after:
            longest = self._settings.longest_retry_after
            retry_after = round(longest * self._chance.spread())
            if capacity_wait:
                retry_after = min(round(longest), capacity_wait)
        return Reply(pending.request.id, Outcome.REJECTED, retry_after)

    @staticmethod
    def _harmless_to_repeat(pending: PendingRequest) -> bool:
        request_class = pending.request_class
        if pending.first_run is None or request_class.idempotency is Idempotency.ALWAYS:
            return True
        with_key = request_class.idempotency is Idempotency.WITH_KEY
        return with_key and request_class.retry_scope is RetryScope.ALL
