"""Where the list of nodes and what legs say of nodes do not agree: found, and told to operators.

Free of I/O and clocks. One rule for all: the list says whom a leg may go to, legs say how much goes there.
What legs say changes no entry, for each gateway sees only its own way to a node, and a list that each
corrects for itself is no list. So:

- ready, and dials are refused: the list stands; the decisions hold back by how the legs ended.
- ready, and the node says that it does not hold its shard: the same; such a leg did not run.
- draining or gone, and answers come: legs under way may finish, their answers count, nothing new goes there.
- two nodes ready for one shard: both are sent to, the decisions choose; a repeat goes by `repeat_group`.
- a node that changes to and fro: each change holds at once. A drain that is believed late would break its
  grace, and a return that is believed too early costs a leg that is turned away.
- a node under its old number with a later start is cold again, and one under a new number with an old shard
  is another node. A refused dial is no start: a node that is full of connections refuses too.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from ochrecourse.interface import Health, NodeEntry
from ochrecourse.nodes.outcome import AttemptEvent
from ochrecourse.common.time_units import SECOND

IN_A_ROW = 3  # refusals; one or two are a node that is just starting, or full for a moment
RECENT = 60 * SECOND  # ns in which changes count as to and fro, and for which a word of a node is news
CHANGES = 4  # of a node's health in that time: a drain, its end and one return are two

REFUSALS = frozenset((AttemptEvent.DIAL_REFUSED, AttemptEvent.DIAL_TIMEOUT))
SILENCES = frozenset(
    (
        AttemptEvent.UNLISTED,
        AttemptEvent.NO_CAPACITY,
        AttemptEvent.TIMEOUT,
        AttemptEvent.TIMEOUT_BEFORE_WRITE,
        AttemptEvent.CANCEL_UNCONFIRMED,
    )
)


class Conflict(NamedTuple):
    """What does not agree about a node; `since` in ns on this host's clock."""

    node: int
    what: str
    since: int


@dataclass(slots=True)
class _NodeObservation:
    """What was seen of one node."""

    refusals: int = 0  # in a row, with no word in between
    refused_since: int = 0
    not_held: int = -1  # when it last said so, without a job served since
    spoke: int = -1  # when its process last said anything
    health: Health = Health.GONE
    since: int = 0  # when that was told
    changes: deque[int] = field(default_factory=lambda: deque(maxlen=CHANGES))


class NodeObservations:
    """What the list and the legs said of each node."""

    def __init__(self) -> None:
        self.nodes: dict[int, _NodeObservation] = {}

    def listed(self, entries: Iterable[NodeEntry], whole: bool, now: int) -> None:
        """A list came; `whole`: nodes that are not in it are gone."""
        told = {entry.node: entry.health for entry in entries}
        if whole:
            told = {**dict.fromkeys(self.nodes, Health.GONE), **told}
        for node, health in told.items():
            sight = self.nodes.get(node)
            if sight is None:
                if health is not Health.GONE:
                    self.nodes[node] = _NodeObservation(health=health, since=now)
            elif sight.health is not health:
                sight.health, sight.since = health, now
                sight.changes.append(now)
        # Guards against a map that grows with each node that was ever replaced.
        for node in [each for each, sight in self.nodes.items() if self._forgotten(sight, now)]:
            del self.nodes[node]

    def leg_over(self, node: int, seen: AttemptEvent, at: int) -> None:
        """A leg at a node ended so."""
        sight = self.nodes.get(node)
        if sight is None or seen in SILENCES:
            return
        if seen in REFUSALS:
            sight.refusals += 1
            if sight.refusals == 1:
                sight.refused_since = at
            return
        sight.refusals = 0
        if seen is AttemptEvent.NOT_STORED:
            sight.not_held = at
        elif seen is AttemptEvent.SERVED:
            sight.not_held = -1
        if seen in (AttemptEvent.SERVED, AttemptEvent.FAILED, AttemptEvent.REJECTED, AttemptEvent.NOT_STORED):
            sight.spoke = at

    def _forgotten(self, sight: _NodeObservation, now: int) -> bool:
        return sight.health is Health.GONE and now - max(sight.since, sight.spoke) > RECENT


def conflicts(entries: Mapping[int, NodeEntry], sightings: NodeObservations, now: int) -> list[Conflict]:
    """What does not agree now, by node. `entries`: the list as the gateway holds it."""
    found = []
    holders: dict[int, list[int]] = {}
    for node, entry in entries.items():
        if entry.health is Health.READY and entry.shard >= 0:
            holders.setdefault(entry.shard, []).append(node)
    for node, sight in sightings.nodes.items():
        if sight.health is Health.READY:
            if sight.refusals >= IN_A_ROW:
                text = f"listed as ready and refuses connections, {sight.refusals} in a row"
                found.append(Conflict(node, text, sight.refused_since))
            if sight.not_held >= 0:
                found.append(Conflict(node, "says that it does not hold its shard", sight.not_held))
        elif sight.spoke > sight.since and now - sight.spoke < RECENT:
            how = "draining" if sight.health is Health.DRAINING else "gone"
            found.append(Conflict(node, f"listed as {how} and answers", sight.since))
        if len(sight.changes) == CHANGES and now - sight.changes[0] < RECENT:
            text = f"changed to and fro, {CHANGES} times within {RECENT // SECOND} s"
            found.append(Conflict(node, text, sight.changes[0]))
    for shard, nodes in holders.items():
        if len(nodes) > 1:
            others = ", ".join(str(node) for node in sorted(nodes)[1:])
            found.append(Conflict(min(nodes), f"holds shard {shard}, and so does {others}", 0))
    return sorted(found)
