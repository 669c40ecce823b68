"""Textbook policies behind the same sockets, to measure the decisions against. They keep no rule but the
first.

Each sends a job at once to a node that holds its shard, new objects by their own rule, and tries again at
once after anything that went wrong, as long as the product is retriable and legs are left.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Mapping, Sequence

from ochrecourse.decide import Host
from ochrecourse.interface import (
    Answer,
    Decisions,
    Ending,
    Health,
    Job,
    Leg,
    LegEnd,
    ListCall,
    ListKind,
    NodeEntry,
    Verdict,
)

LOOK = 1_000_000_000  # ns until it is asked again when nothing is due


class Textbook:
    """`choose` picks one of the nodes that hold the job's shard."""

    def __init__(self, values: Mapping[str, str], seed: int, now: int, choose: str) -> None:
        self.chance = random.Random(seed)
        self.choose = choose
        self.most = int(values.get("Limits.MaxAttempts", "1"))
        count = int(values["Classes.count"])
        self.safe = [values.get(f"Classes.{i}.Effect") == "safe" for i in range(count)]
        self.nodes: dict[int, NodeEntry] = {}
        self.out: dict[int, int] = {}
        self.jobs: dict[int, Job] = {}
        self.legs: dict[int, int] = {}
        self.said: deque[Leg | Verdict | ListCall] = deque()
        self.turn = 0
        self.now = now

    def list_came(self, kind: ListKind, entries: Sequence[NodeEntry], now: int) -> None:
        self.now = now
        if kind in (ListKind.FULL, ListKind.CACHED):
            self.nodes.clear()
        for entry in entries:
            self.nodes[entry.node] = entry

    def job_came(self, job: Job, now: int) -> None:
        self.now = now
        self.jobs[job.id], self.legs[job.id] = job, 0
        self._send(job)

    def attempt_written(self, job: int, now: int) -> None:
        """A textbook policy counts from its decision."""

    def leg_ended(self, end: LegEnd, now: int) -> None:
        self.now = now
        self.out[end.node] = self.out.get(end.node, 1) - 1
        job = self.jobs.get(end.job)
        if job is None:
            return
        if end.last or end.ending is Ending.FULFILLED:
            self._forget(end.job)
        elif self.safe[job.product] and self.legs[end.job] < self.most and now < job.client_timeout:
            self._send(job)
        else:
            self.said.append(Verdict(end.job, Answer.WRITTEN_OFF, 0))
            self._forget(end.job)

    def bounds_came(self, bounds: Mapping[int, float], now: int) -> None:
        """A textbook policy knows of no fleet."""

    def stream_began(self, job: int) -> None:
        """Nothing hangs on it here."""

    def job_gone(self, job: int) -> None:
        self._forget(job)

    def decide(self, now: int) -> Leg | Verdict | ListCall | None:
        self.now = now
        return self.said.popleft() if self.said else None

    def next_due(self) -> int:
        return self.now + LOOK

    def _forget(self, job: int) -> None:
        self.jobs.pop(job, None)
        self.legs.pop(job, None)

    def _send(self, job: Job) -> None:
        fit = [e for e in self.nodes.values() if e.health is Health.READY and job.shard in (-1, e.shard)]
        if not fit:
            self.said.append(
                Verdict(job.id, Answer.DENIED if not self.legs[job.id] else Answer.WRITTEN_OFF, 0)
            )
            self._forget(job.id)
            return
        self.turn += 1
        if self.choose == "round-robin":
            node = fit[self.turn % len(fit)].node
        elif self.choose == "least-out":
            node = min(fit, key=lambda entry: (self.out.get(entry.node, 0), entry.node)).node
        else:
            node = self.chance.choice(fit).node
        self.out[node] = self.out.get(node, 0) + 1
        self.said.append(Leg(job.id, self.legs[job.id], node, 0))
        self.legs[job.id] += 1


def policy(name: str) -> Callable[[Mapping[str, str], int, int], Decisions]:
    """What makes a gateway's decisions, by name: ours, random, round-robin, least-out."""
    if name == "ours":
        return Host
    return lambda values, seed, now: Textbook(values, seed, now, name)
