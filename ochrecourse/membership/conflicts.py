"""Detects conflicts between the endpoint list and the outcomes of attempts, and reports them to operators.

Free of I/O and clocks. The list determines which nodes may receive attempts; the outcomes of attempts
determine how many each receives. Outcomes never change an entry: each gateway observes only its own path to a
node, and gateways that corrected the list locally would no longer share one. Hence:

- A node is ready but refuses connections: the entry remains; the scheduler limits attempts by their outcomes.
- A node is ready but responds that it does not store its shard: the same; such an attempt was not executed.
- A node is draining or gone but responds: attempts in flight may finish and their responses count; no new
  attempts are sent.
- Two nodes are ready for one shard: both are used, the scheduler chooses; a retry follows `repeat_group`.
- A node's health flaps: each change is applied at once. A drain that is applied late would break its grace
  period; a return that is applied too early costs one rejected attempt.
- A node with its old number and a later start is in slow start again; one with a new number and an old shard
  is another node. A refused connection does not imply a restart: a node at its connection limit refuses too.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from ochrecourse.common.time_units import SECOND
from ochrecourse.interface import Health, NodeEntry
from ochrecourse.nodes.outcome import AttemptEvent

MIN_REFUSALS_IN_A_ROW = 3  # a node that is starting or briefly at its connection limit refuses one or two
RECENT_NS = 60 * SECOND  # window in which health changes count as flapping and responses as recent
FLAPPING_CHANGES = 4  # health changes within RECENT_NS; a drain followed by one return makes only two

REFUSAL_EVENTS = frozenset((AttemptEvent.DIAL_REFUSED, AttemptEvent.DIAL_TIMEOUT))
RESPONSE_EVENTS = frozenset(
    (AttemptEvent.SERVED, AttemptEvent.FAILED, AttemptEvent.REJECTED, AttemptEvent.NOT_STORED)
)
NEUTRAL_EVENTS = frozenset(  # that do not show whether the node accepts connections
    (
        AttemptEvent.UNLISTED,
        AttemptEvent.NO_CAPACITY,
        AttemptEvent.TIMEOUT,
        AttemptEvent.TIMEOUT_BEFORE_WRITE,
        AttemptEvent.CANCEL_UNCONFIRMED,
    )
)


class Conflict(NamedTuple):
    """A conflict about a node, described for operators; `since` in ns on this host's clock."""

    node: int
    description: str
    since: int


@dataclass(slots=True)
class _NodeObservation:
    """Observations of one node. Times in ns on this host's clock, -1 for never."""

    refusals_in_a_row: int = 0
    refusing_since: int = 0
    shard_missing_at: int = -1  # when it last responded NOT_STORED, unless it served a request since
    responded_at: int = -1
    health: Health = Health.GONE
    health_since: int = 0
    health_changes: deque[int] = field(default_factory=lambda: deque(maxlen=FLAPPING_CHANGES))

    def health_listed(self, health: Health, now: int) -> None:
        """Records the node's health in a received list."""
        if self.health is not health:
            self.health, self.health_since = health, now
            self.health_changes.append(now)

    def attempt_ended(self, event: AttemptEvent, at: int) -> None:
        """Records the outcome of an attempt at the node, `at` in ns."""
        if event in NEUTRAL_EVENTS:
            return
        if event in REFUSAL_EVENTS:
            self.refusals_in_a_row += 1
            if self.refusals_in_a_row == 1:
                self.refusing_since = at
            return
        self.refusals_in_a_row = 0
        if event is AttemptEvent.NOT_STORED:
            self.shard_missing_at = at
        elif event is AttemptEvent.SERVED:
            self.shard_missing_at = -1
        if event in RESPONSE_EVENTS:
            self.responded_at = at

    def is_obsolete(self, now: int) -> bool:
        """Whether the node is gone and nothing was observed of it for RECENT_NS."""
        last_observed_at = max(self.health_since, self.responded_at)
        return self.health is Health.GONE and now - last_observed_at > RECENT_NS

    def conflicts(self, node: int, now: int) -> Iterator[Conflict]:
        """Yields the conflicts that concern this node alone."""
        if self.health is Health.READY:
            if self.refusals_in_a_row >= MIN_REFUSALS_IN_A_ROW:
                text = f"listed as ready and refuses connections, {self.refusals_in_a_row} in a row"
                yield Conflict(node, text, self.refusing_since)
            if self.shard_missing_at >= 0:
                yield Conflict(node, "says that it does not hold its shard", self.shard_missing_at)
        elif self.responded_at > self.health_since and now - self.responded_at < RECENT_NS:
            listed_as = "draining" if self.health is Health.DRAINING else "gone"
            yield Conflict(node, f"listed as {listed_as} and answers", self.health_since)
        if len(self.health_changes) == FLAPPING_CHANGES and now - self.health_changes[0] < RECENT_NS:
            text = f"changed to and fro, {FLAPPING_CHANGES} times within {RECENT_NS // SECOND} s"
            yield Conflict(node, text, self.health_changes[0])


class NodeObservations:
    """Observations of each node, from received lists and the outcomes of attempts."""

    def __init__(self) -> None:
        self.nodes: dict[int, _NodeObservation] = {}

    def endpoint_list_received(self, entries: Iterable[NodeEntry], complete: bool, now: int) -> None:
        """Records a list update; `complete`: nodes that it omits are gone. `now` in ns."""
        health_by_node = {entry.node: entry.health for entry in entries}
        if complete:
            health_by_node = {**dict.fromkeys(self.nodes, Health.GONE), **health_by_node}
        for node, health in health_by_node.items():
            observation = self.nodes.get(node)
            if observation is not None:
                observation.health_listed(health, now)
            elif health is not Health.GONE:
                self.nodes[node] = _NodeObservation(health=health, health_since=now)
        # Without this the map would grow with every node that is ever replaced.
        obsolete = [node for node, observation in self.nodes.items() if observation.is_obsolete(now)]
        for node in obsolete:
            del self.nodes[node]

    def attempt_ended(self, node: int, event: AttemptEvent, at: int) -> None:
        """Records the outcome of an attempt, `at` in ns. Nodes that no list has named are ignored."""
        observation = self.nodes.get(node)
        if observation is not None:
            observation.attempt_ended(event, at)


def find_conflicts(
    entries: Mapping[int, NodeEntry], observations: NodeObservations, now: int
) -> list[Conflict]:
    """Returns the current conflicts, sorted by node. `entries`: this gateway's list; `now` in ns."""
    found = _shared_shards(entries)
    for node, observation in observations.nodes.items():
        found.extend(observation.conflicts(node, now))
    return sorted(found)


def _shared_shards(entries: Mapping[int, NodeEntry]) -> list[Conflict]:
    """Returns a conflict for each shard that more than one ready node stores."""
    nodes_by_shard: dict[int, list[int]] = {}
    for node, entry in entries.items():
        if entry.health is Health.READY and entry.shard >= 0:
            nodes_by_shard.setdefault(entry.shard, []).append(node)
    found = []
    for shard, nodes in nodes_by_shard.items():
        if len(nodes) > 1:
            others = ", ".join(str(node) for node in sorted(nodes)[1:])
            found.append(Conflict(min(nodes), f"holds shard {shard}, and so does {others}", 0))
    return found
