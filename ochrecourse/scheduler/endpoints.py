"""The endpoint list: the known storage nodes, and the polls for the list.

Inputs: full and delta lists from service discovery; the settings define whether the gateway has to poll for
them.

A full list replaces the previous one, so nodes that it does not contain are gone. A failed poll is repeated
after a pause. The state of a node is retained after the node is gone, because attempts may still be
outstanding there and the node may return.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

from ochrecourse.common.time_units import SECOND
from ochrecourse.interface import ListCall, ListKind, NodeEntry
from ochrecourse.scheduler.concurrency import new_node
from ochrecourse.scheduler.state import Node

POLL_PAUSE = SECOND  # ns after a failed poll


class Endpoints:
    """All nodes that were ever listed, by id, and the pending polls.

    `polls`: whether the gateway has to poll for the list; if so, the first poll is due immediately.
    """

    __slots__ = ("nodes", "polls_due")

    def __init__(self, polls: bool) -> None:
        self.nodes: dict[int, Node] = {}
        self.polls_due: deque[ListCall] = deque()
        if polls:
            self.poll()

    def poll(self) -> None:
        """Schedules a poll for the list."""
        self.polls_due.append(ListCall.FOLLOW)

    def unlisted(self, kind: ListKind, entries: Sequence[NodeEntry]) -> list[Node]:
        """Returns the nodes that a full list does not contain and that are therefore gone, sorted by id."""
        if kind is ListKind.DELTA:
            return []
        missing = self.nodes.keys() - {entry.node for entry in entries}
        return [self.nodes[number] for number in sorted(missing)]

    def add(self, entry: NodeEntry) -> Node:
        """Adds and returns a node that was not listed before."""
        node = self.nodes[entry.node] = new_node(entry)
        return node
