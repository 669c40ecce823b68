"""Textbook policies behind the same sockets, to measure the decisions against. They keep no rule but the
first.

Each sends a request at once to a node that holds its shard, new objects by their own rule, and tries again at
once after anything that went wrong, as long as the product is retriable and attempts are left.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Mapping, Sequence

from ochrecourse.scheduler.scheduler import Scheduler
from ochrecourse.interface import (
    Outcome,
    SchedulerApi,
    Ending,
    Health,
    Request,
    Attempt,
    AttemptEnd,
    ListCall,
    ListKind,
    NodeEntry,
    Reply,
)

LOOK = 1_000_000_000  # ns until it is asked again when nothing is due


class Textbook:
    """`choose` picks one of the nodes that hold the request's shard."""

    def __init__(self, values: Mapping[str, str], seed: int, now: int, choose: str) -> None:
        self.chance = random.Random(seed)
        self.choose = choose
        self.most = int(values.get("Limits.MaxAttempts", "1"))
        count = int(values["Classes.count"])
        self.safe = [values.get(f"Classes.{i}.Effect") == "safe" for i in range(count)]
        self.nodes: dict[int, NodeEntry] = {}
        self.out: dict[int, int] = {}
        self.requests: dict[int, Request] = {}
        self.attempts: dict[int, int] = {}
        self.replies: deque[Attempt | Reply | ListCall] = deque()
        self.turn = 0
        self.now = now

    def list_received(self, kind: ListKind, entries: Sequence[NodeEntry], now: int) -> None:
        self.now = now
        if kind in (ListKind.FULL, ListKind.CACHED):
            self.nodes.clear()
        for entry in entries:
            self.nodes[entry.node] = entry

    def request_received(self, request: Request, now: int) -> None:
        self.now = now
        self.requests[request.id], self.attempts[request.id] = request, 0
        self._send(request)

    def attempt_written(self, request_id: int, now: int) -> None:
        """A textbook policy counts from its decision."""

    def attempt_ended(self, end: AttemptEnd, now: int) -> None:
        self.now = now
        self.out[end.node] = self.out.get(end.node, 1) - 1
        request = self.requests.get(end.request_id)
        if request is None:
            return
        if end.last or end.ending is Ending.SERVED:
            self._forget(end.request_id)
        elif (
            self.safe[request.request_class]
            and self.attempts[end.request_id] < self.most
            and now < request.deadline
        ):
            self._send(request)
        else:
            self.replies.append(Reply(end.request_id, Outcome.FAILED, 0))
            self._forget(end.request_id)

    def node_rates_received(self, bounds: Mapping[int, float], now: int) -> None:
        """A textbook policy knows of no fleet."""

    def stream_began(self, request_id: int) -> None:
        """Nothing hangs on it here."""

    def request_cancelled(self, request_id: int) -> None:
        self._forget(request_id)

    def deadlines_limited(self, deadline: int, now: int) -> None:
        for request in self.requests.values():
            request.deadline = min(request.deadline, deadline)

    def decide(self, now: int) -> Attempt | Reply | ListCall | None:
        self.now = now
        return self.replies.popleft() if self.replies else None

    def next_due(self) -> int:
        return self.now + LOOK

    def _forget(self, request_id: int) -> None:
        self.requests.pop(request_id, None)
        self.attempts.pop(request_id, None)

    def _send(self, request: Request) -> None:
        fit = [e for e in self.nodes.values() if e.health is Health.READY and request.shard in (-1, e.shard)]
        if not fit:
            self.replies.append(
                Reply(request.id, Outcome.REJECTED if not self.attempts[request.id] else Outcome.FAILED, 0)
            )
            self._forget(request.id)
            return
        self.turn += 1
        if self.choose == "round-robin":
            node = fit[self.turn % len(fit)].node
        elif self.choose == "least-out":
            node = min(fit, key=lambda entry: (self.out.get(entry.node, 0), entry.node)).node
        else:
            node = self.chance.choice(fit).node
        self.out[node] = self.out.get(node, 0) + 1
        self.replies.append(Attempt(request.id, self.attempts[request.id], node, 0))
        self.attempts[request.id] += 1


def policy(name: str) -> Callable[[Mapping[str, str], int, int], SchedulerApi]:
    """What makes a gateway's decisions, by name: ours, random, round-robin, least-out."""
    if name == "ours":
        return Scheduler
    return lambda values, seed, now: Textbook(values, seed, now, name)
