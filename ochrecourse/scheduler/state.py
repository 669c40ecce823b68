"""State of a scheduler's requests, storage nodes and volumes at nodes, shared by the policy modules.

Times are clock times in integer nanoseconds unless a comment says otherwise; work is in units.
"""

from __future__ import annotations

from collections import Counter, deque
from typing import NamedTuple

from ochrecourse.interface import Health, NodeEntry, Request
from ochrecourse.scheduler.rate_limits import Volume
from ochrecourse.scheduler.settings import Quota, RequestClass

RESERVED_RANK = 0  # index of a flow's queue for requests inside the reserve of their tenant
BEYOND_RANK = 1  # index of the queue for all others


class PaceEstimate:
    """Estimate of the usual answer time per unit of one request class (latency.py)."""

    __slots__ = ("answers", "ns_per_unit")

    def __init__(self, ns_per_unit: float) -> None:
        self.ns_per_unit = ns_per_unit
        self.answers = 0  # received so far


class FirstRun(NamedTuple):
    """When and where the first attempt that may have run was sent."""

    sent_at: int
    shard: int
    zone: int


class PendingRequest:
    """A request that this gateway received, and its state."""

    __slots__ = (
        "attempt_outstanding",
        "attempts",
        "capacity_wait",
        "counted_at_node",
        "drawn_units",
        "finished",
        "first_run",
        "in_key_order",
        "is_next_for_key",
        "node",
        "not_before",
        "pace",
        "quota",
        "rank",
        "request",
        "request_class",
        "sent_at",
        "serve_by",
        "streaming",
        "volume",
        "waiting",
    )

    def __init__(
        self, request: Request, request_class: RequestClass, pace: PaceEstimate, volume: Volume, now: int
    ) -> None:
        self.request = request
        self.request_class = request_class
        self.pace = pace
        self.volume = volume
        self.serve_by = min(now + request_class.latency_objective, request.deadline)
        self.quota = volume.draw(request.units, now)
        self.rank = RESERVED_RANK if self.quota is Quota.RESERVED else BEYOND_RANK
        self.attempts = 0  # sent so far
        self.not_before = 0  # when the next attempt may be sent
        self.sent_at = 0  # when the last attempt was sent
        self.node: Node | None = None  # where it waits, or where its last attempt was sent
        self.waiting = False  # in a queue of `node`
        self.attempt_outstanding = False  # sent and not ended
        self.counted_at_node = False  # the attempt counts as outstanding at `node`
        self.finished = False  # answered, given up or cancelled
        self.streaming = False  # the answer is being sent to the client
        self.drawn_units = 0.0  # drawn under its volume's limit while no attempt was written yet
        self.capacity_wait = 0  # ns until the first allowed node has capacity, if all of them are limited
        self.in_key_order = request_class.in_key_order and request.key != 0
        self.is_next_for_key = not self.in_key_order  # no earlier request with its key is unfinished
        self.first_run: FirstRun | None = None

    def limit_deadline(self, deadline: int) -> bool:
        """Brings the deadline forward; returns whether the request must now be served sooner."""
        self.request.deadline = min(self.request.deadline, deadline)
        if self.serve_by <= deadline:
            return False
        self.serve_by = deadline
        return True

    def draw_limit(self) -> None:
        """Draws the request's units from its volume's limit when its first attempt is sent."""
        self.drawn_units = self.request.units
        self.volume.draw_limit(self.drawn_units)

    def release_drawn(self) -> None:
        """Settles the drawn units after the first attempt was written, or when it never will be."""
        self.volume.written(self.drawn_units)
        self.drawn_units = 0.0


class DefaultBound:
    """The bound of each volume at a node that was not changed since all of them were reset."""

    __slots__ = ("resets", "value")

    def __init__(self, value: float) -> None:
        self.value = value  # requests
        self.resets = 0  # counted, so that a reset needs no work for each volume

    def reset(self, value: float) -> None:
        """Resets the bounds of all volumes at the node."""
        self.value = value
        self.resets += 1


class Flow:
    """One volume at one node: its bound, its outstanding requests and its queues."""

    __slots__ = (
        "_bound",
        "_default_bound",
        "_resets_seen",
        "finish_tag",
        "keys_waiting",
        "listed",
        "outstanding",
        "previous_units_outstanding",
        "queues",
        "runs_score",
        "runs_score_at",
        "units_outstanding",
        "volume",
        "waiting",
    )

    def __init__(self, volume: Volume, default_bound: DefaultBound) -> None:
        self.volume = volume
        self._default_bound = default_bound
        self._resets_seen = -1  # resets of the default when `_bound` was set
        self._bound = 0.0
        self.outstanding = 0  # requests
        self.waiting = 0  # requests
        self.units_outstanding = 0.0  # the paper's aggressiveness
        self.previous_units_outstanding = 0.0  # outstanding units before the last send or answer
        self.runs_score = 0.0  # positive if most new requests have a key that is already waiting
        self.runs_score_at = 0  # last update of `runs_score`
        self.finish_tag = 0.0  # virtual time at which its last request beyond the reserve finishes
        self.queues: tuple[deque[PendingRequest], deque[PendingRequest]] = (deque(), deque())  # by rank
        self.listed = [False, False]  # by rank: whether the queue is in the node's `queue_heads`
        self.keys_waiting: Counter[int] = Counter()

    @property
    def bound(self) -> float:
        """The number of requests that may be outstanding."""
        default = self._default_bound
        return self._bound if self._resets_seen == default.resets else default.value

    @bound.setter
    def bound(self, value: float) -> None:
        self._bound, self._resets_seen = value, self._default_bound.resets


class QueueHead(NamedTuple):
    """Entry of a volume's queue in a node's heap of queues; entries are ordered by their fields."""

    tag: float  # start tag (virtual time) of the queue's first request
    rank: int
    number: int  # in the order in which queues were listed
    volume_id: int


class Node:
    """A storage node as this gateway sees it."""

    __slots__ = (
        "busy_flows",
        "decayed_at",
        "default_bound",
        "flows",
        "health",
        "id",
        "last_answer_at",
        "last_answer_quick",
        "last_attempt_timed_out",
        "limited_volumes",
        "next_start_at",
        "outstanding",
        "priority_floor",
        "queue_heads",
        "rate",
        "recent_counts",
        "recent_sends",
        "recent_starts",
        "rotation_credit",
        "shard",
        "slow_start_sends",
        "slow_start_until",
        "slowdown",
        "started_at",
        "success_share",
        "trimmed",
        "units_outstanding",
        "virtual_time",
        "window",
        "window_shrunk_at",
        "zone",
    )

    def __init__(self, entry: NodeEntry, window: float, even_split: float) -> None:
        self.id = entry.node
        self.shard = entry.shard
        self.zone = entry.zone
        self.health = Health.GONE
        self.started_at = -1
        # concurrency.py
        self.flows: dict[int, Flow] = {}  # by volume
        self.outstanding = 0  # requests
        self.units_outstanding = 0.0
        self.busy_flows: dict[Flow, int] = {}  # those with requests outstanding; their volumes
        self.recent_sends: deque[int] = deque()  # volumes of the last sends
        self.recent_counts: Counter[int] = Counter()  # the same, counted
        self.default_bound = DefaultBound(even_split)
        self.trimmed = False  # a recent volume has no waiting requests
        self.window = window  # requests that may be outstanding, adapted to the node's answers
        self.window_shrunk_at = 0
        # fair_queue.py
        self.queue_heads: list[QueueHead] = []  # a heap
        self.limited_volumes: dict[int, int] = {}  # when the timers of volumes over their limit are due
        self.virtual_time = 0.0
        # latency.py
        self.slowdown = 1.0  # answer times relative to the usual ones
        self.success_share = 1.0  # running share of served answers
        self.last_answer_at = 0
        self.last_answer_quick = False
        self.last_attempt_timed_out = False
        self.decayed_at = 0  # last decay of `slowdown` and `priority_floor`
        # admission.py
        self.priority_floor = 0.0  # minimum priority weight per ns that is admitted
        # placement.py
        self.rotation_credit = 0.0
        # slow_start.py
        self.slow_start_until = 0
        # Time and units: positive if sent, negative if answered.
        self.slow_start_sends: deque[tuple[int, float]] = deque()
        # evacuation.py
        self.rate: float | None = None  # units per second that may start here; None means unlimited
        self.recent_starts: deque[tuple[int, float]] = deque()  # while limited: time and units of sends
        self.next_start_at = 0  # while limited: when the next request may start
