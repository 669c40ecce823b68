"""What a scheduler knows of requests, storage nodes and volumes at nodes, for the rules to read and change.

Times are clock times in whole nanoseconds unless a comment says otherwise, work is in units.
"""

from __future__ import annotations

from collections import Counter, deque
from typing import NamedTuple

from ochrecourse.interface import Health, NodeEntry, Request
from ochrecourse.scheduler.rate_limits import Volume
from ochrecourse.scheduler.settings import Quota, RequestClass

RESERVED_RANK = 0  # place of a flow's queue for requests inside the reserve of their tenant
BEYOND_RANK = 1  # and for all others


class PaceEstimate:
    """How fast answers to one class of requests usually are (latency.py)."""

    __slots__ = ("answers", "ns_per_unit")

    def __init__(self, ns_per_unit: float) -> None:
        self.ns_per_unit = ns_per_unit
        self.answers = 0  # seen so far


class FirstRun(NamedTuple):
    """Where the first attempt that may have run was sent."""

    sent_at: int
    shard: int
    zone: int


class PendingRequest:
    """A request that this gateway took and what became of it so far."""

    __slots__ = (
        "attempt_out",
        "attempts",
        "capacity_wait",
        "counted_at_node",
        "drawn_units",
        "first_run",
        "has_turn",
        "in_key_order",
        "node",
        "not_before",
        "over",
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
        self.node: Node | None = None  # where it waits or its last attempt is
        self.waiting = False  # in a queue of `node`
        self.attempt_out = False  # sent and not ended
        self.counted_at_node = False  # the attempt counts as outstanding there
        self.over = False  # answered, given up or cancelled
        self.streaming = False  # the answer is on its way to the client
        self.drawn_units = 0.0  # drawn under its volume's limit while no attempt was written yet
        self.capacity_wait = 0  # ns until the first allowed node has capacity, where all of them are limited
        self.in_key_order = request_class.in_key_order and request.key != 0
        self.has_turn = not self.in_key_order  # no earlier request of its key stands before it
        self.first_run: FirstRun | None = None

    def draw_limit(self) -> None:
        """Its first attempt is sent: takes its units from its volume's limit."""
        self.drawn_units = self.request.units
        self.volume.take_limit(self.drawn_units)

    def release_drawn(self) -> None:
        """Its first attempt was written, or never will be."""
        self.volume.written(self.drawn_units)
        self.drawn_units = 0.0


class Flow:
    """One volume at one node: its bound, what it has outstanding, and what waits."""

    __slots__ = (
        "bound",
        "finish_tag",
        "keys_waiting",
        "listed",
        "outstanding",
        "queues",
        "runs_score",
        "runs_score_at",
        "units_before",
        "units_outstanding",
        "volume",
        "waiting",
    )

    def __init__(self, volume: Volume, bound: float) -> None:
        self.volume = volume
        self.bound = bound  # requests that may be outstanding
        self.outstanding = 0  # requests
        self.waiting = 0  # requests
        self.units_outstanding = 0.0  # the aggressiveness of the paper
        self.units_before = 0.0  # the same before the last send or answer
        self.runs_score = 0.0
        self.runs_score_at = 0
        self.finish_tag = 0.0  # virtual time at which its last request beyond the reserve ends
        self.queues: tuple[deque[PendingRequest], deque[PendingRequest]] = (deque(), deque())  # by rank
        self.listed = [False, False]  # by rank: whether the node's list of heads names it
        self.keys_waiting: Counter[int] = Counter()


class QueueHead(NamedTuple):
    """A volume's queue among those of a node that wait for their turn, in the order of its fields."""

    tag: float  # virtual time at which its first request starts
    rank: int
    number: int  # in the order of listing
    volume_id: int


class Node:
    """A storage node as this gateway sees it."""

    __slots__ = (
        "begun",
        "busy_flows",
        "decayed_at",
        "even_split",
        "flows",
        "health",
        "id",
        "last_answer_at",
        "last_answer_quick",
        "last_attempt_silent",
        "next_start_at",
        "outstanding",
        "priority_floor",
        "queue_heads",
        "rate",
        "recent_counts",
        "recent_sends",
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
        self.busy_flows = 0  # flows with requests outstanding
        self.recent_sends: deque[int] = deque()  # volumes of the last sends
        self.recent_counts: Counter[int] = Counter()  # the same, counted
        self.even_split = even_split  # bound of each flow where none is squeezed, requests
        self.trimmed = False  # a recent volume has nothing waiting
        self.window = window  # requests that may be outstanding by what was seen of the node
        self.window_shrunk_at = 0
        # fair_queue.py
        self.queue_heads: list[QueueHead] = []  # a heap
        self.virtual_time = 0.0
        # latency.py
        self.slowdown = 1.0  # answer times against the usual ones
        self.success_share = 1.0  # running share of served answers
        self.last_answer_at = 0
        self.last_answer_quick = False
        self.last_attempt_silent = False
        self.decayed_at = 0  # when `slowdown` and `priority_floor` last eased
        # admission.py
        self.priority_floor = 0.0  # least priority weight per ns that is admitted
        # placement.py
        self.rotation_credit = 0.0
        # slow_start.py
        self.slow_start_until = 0
        self.slow_start_sends: deque[tuple[int, float]] = deque()  # time, units sent, or less those answered
        # evacuation.py
        self.rate: float | None = None  # units a second that may begin here; None where nobody limits it
        self.begun: deque[tuple[int, float]] = deque()  # while limited: time, units sent
        self.next_start_at = 0  # while limited: when the next request may begin
