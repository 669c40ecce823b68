"""Admission control: which requests are admitted, and the replies to the others.

Inputs: the time that a request is expected to take at its node and the time left to answer it (ns), its
priority weight per ns of node time, and the minimum of that weight (the priority floor) at its node.

A request that cannot be answered in time is rejected immediately, even if the node is idle. When answers are
slower than usual, a request must fit into a share of the time left. The share is smaller for requests beyond
their tenant's reserve, so these are sent only to nodes that answer quickly. While a node's requests do not
fit, its priority floor rises, and requests below the floor are shed.
"""

from __future__ import annotations

from ochrecourse.interface import Outcome, Reply
from ochrecourse.scheduler.random_source import RandomSource
from ochrecourse.scheduler.settings import Idempotency, RetryScope, SchedulerSettings
from ochrecourse.scheduler.state import Node, PendingRequest

TIME_SHARE_POWER = 0.5  # exponent of the priority share; a higher value rejects more requests
JITTER_OFFSET = 0.25  # added to jitter, which is between 0.5 and 1, for a mean of 1
FLOOR_SMOOTHING = 0.05  # weight of the newest rejected request in a node's priority floor


class Admission:
    """Decides whether a request may queue at its node, and creates replies for rejected requests.

    Settings used: the priority weight of each class, the priority share of each rate (0 to 1), whether
    clients honour Retry-After, and the maximum Retry-After (ns).
    """

    __slots__ = ("_random", "_settings")

    def __init__(self, settings: SchedulerSettings, random_source: RandomSource) -> None:
        self._settings = settings
        self._random = random_source

    def priority_per_ns(self, pending: PendingRequest) -> float:
        """Returns the request's priority weight per ns of the node time that it is expected to take."""
        volume = pending.volume
        density = pending.request_class.priority_weight * volume.priority_factor / pending.pace.ns_per_unit
        return density * self._settings.priority_share(pending.quota)

    def admits(
        self, pending: PendingRequest, node: Node, expected_time: int, time_left: int, now: int
    ) -> bool:
        """Returns whether the request may queue, or stay queued, at the node.

        Raises the node's priority floor if the request does not fit. Draws a random number for a request that
        is not queued yet.

        `expected_time`: ns that the request is expected to take at the node. `time_left`: ns within which it
        has to be answered.
        """
        priority = self.priority_per_ns(pending)
        # Prevents surges from filling a node with low-priority requests. The jitter prevents all gateways
        # from starting or stopping to send at the same answer time.
        time_share = self._settings.priority_share(pending.quota) ** TIME_SHARE_POWER
        if not pending.waiting:
            time_share *= JITTER_OFFSET + self._random.jitter()
        usual = pending.pace.ns_per_unit * pending.request.units
        if expected_time > time_left or expected_time - usual > time_share * (time_left - usual):
            node.priority_floor += max(0.0, FLOOR_SMOOTHING * (priority - node.priority_floor))
            return False
        if pending.waiting or priority >= node.priority_floor:
            return True
        # A node where this gateway has nothing outstanding and had no recent answer is probed regardless of
        # the floor.
        return not (node.outstanding or now < node.last_answer_at + expected_time)

    def reply(self, pending: PendingRequest, capacity_wait: int) -> Reply:
        """Returns the final answer to a request that is not served.

        The request is rejected if no attempt ran or repeating it is harmless; otherwise it failed.
        `capacity_wait`: ns until there is capacity for it, 0 if unknown.
        """
        if not self._is_safe_to_retry(pending):
            return Reply(pending.request.id, Outcome.FAILED, 0)
        retry_after = 0
        if self._settings.gives_retry_after:
            longest = self._settings.longest_retry_after
            retry_after = round(longest * self._random.jitter())
            if capacity_wait:
                retry_after = min(round(longest), capacity_wait)
        return Reply(pending.request.id, Outcome.REJECTED, retry_after)

    @staticmethod
    def _is_safe_to_retry(pending: PendingRequest) -> bool:
        request_class = pending.request_class
        if pending.first_run is None or request_class.idempotency is Idempotency.ALWAYS:
            return True
        with_key = request_class.idempotency is Idempotency.WITH_KEY
        return with_key and request_class.retry_scope is RetryScope.ALL
