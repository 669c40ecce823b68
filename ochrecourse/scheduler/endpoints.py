"""The endpoint list: which storage nodes there are, and the polls for the list.

Inputs: lists of service discovery, whole or as changes; the settings say whether the gateway has to ask for
them.

A whole list replaces the one before, so nodes that it does not name are gone. A poll that failed is
repeated after a pause. A node stays known after it is gone: attempts may still be out there, and it may
come back.
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
    """All nodes that were ever listed, by id, and the polls to make.

    `polls`: whether the gateway has to ask for the list, as it does from the start on.
    """

    __slots__ = ("nodes", "polls_due")

    def __init__(self, polls: bool) -> None:
        self.nodes: dict[int, Node] = {}
        self.polls_due: deque[ListCall] = deque()
        if polls:
            self.poll()

    def poll(self) -> None:
        """Has the list asked for."""
        self.polls_due.append(ListCall.FOLLOW)

    def unlisted(self, kind: ListKind, entries: Sequence[NodeEntry]) -> list[Node]:
        """Nodes that this list says are gone because it does not name them, by id."""
        if kind is ListKind.DELTA:
            return []
        missing = self.nodes.keys() - {entry.node for entry in entries}
        return [self.nodes[number] for number in sorted(missing)]

    def add(self, entry: NodeEntry) -> Node:
        """Begins to know a node that was never listed."""
        node = self.nodes[entry.node] = new_node(entry)
        return node
