"""The order in which waiting requests are sent to a node.

Inputs: the units of each request, the weight of its tenant, and whether it is inside its tenant's reserve.

This is start-time fair queueing over the volumes at a node. A request's start tag is the later of the node's
virtual time and the finish tag of its volume's previous request; its finish tag is the start tag plus units
divided by weight. The start tag of a request inside the reserve is the virtual time itself, and the request
precedes others with the same tag, so it never waits for other work of its own volume. A queue is listed
under the tag of its first request when it is not empty and the volume is below its bound, so requests that
are rejected while they wait cost their volume nothing.
"""

from __future__ import annotations

from heapq import heappop, heappush
from itertools import islice

from ochrecourse.scheduler.state import BEYOND_RANK, RESERVED_RANK, Flow, Node, PendingRequest, QueueHead

MAX_LISTED_EARLY = 32  # volumes at a node that are listed before the timer of their limit


class FairQueue:
    """The queues of all nodes. `touched`: ids of nodes, in order, to which a request may now be sendable."""

    __slots__ = ("_count", "touched")

    def __init__(self) -> None:
        self.touched: dict[int, None] = {}
        self._count = 0

    def touch(self, node: Node) -> None:
        """Marks a node whose state changed, so that waiting requests are checked again."""
        self.touched[node.id] = None

    def list_flow(self, node: Node, volume_id: int) -> None:
        """Lists a volume's queues at a node under their tags, if the volume is below its bound there."""
        self.touched[node.id] = None
        flow = node.flows.get(volume_id)
        if flow is None or flow.outstanding >= flow.bound:
            return
        listed = flow.listed
        reserved, beyond = flow.queues
        if reserved and not listed[RESERVED_RANK]:
            self._list(node, flow, RESERVED_RANK, node.virtual_time, volume_id)
        if beyond and not listed[BEYOND_RANK]:
            self._list(node, flow, BEYOND_RANK, max(node.virtual_time, flow.finish_tag), volume_id)

    def list_unlisted(self, node: Node) -> None:
        """Lists the queues that are not listed and may be now, after all bounds were reset.

        The work does not depend on the number of volumes: few have requests outstanding, and of those that
        wait for a timer, because of their limits, the first few are listed early.
        """
        for volume_id in list(islice(node.limited_volumes, MAX_LISTED_EARLY)):
            self.list_flow(node, volume_id)
        for volume_id in node.busy_flows.values():
            self.list_flow(node, volume_id)

    def _list(self, node: Node, flow: Flow, rank: int, tag: float, volume_id: int) -> None:
        self._count += 1
        heappush(node.queue_heads, QueueHead(tag, rank, self._count, volume_id))
        flow.listed[rank] = True

    def enqueue(self, pending: PendingRequest, node: Node, flow: Flow) -> None:
        """Adds a request to its volume's queue at a node; a retry goes to the front."""
        queue = flow.queues[pending.rank]
        if pending.attempts:
            queue.appendleft(pending)
        else:
            queue.append(pending)
        pending.node = node
        pending.waiting = True
        flow.waiting += 1
        flow.keys_waiting[pending.request.key] += 1
        self.list_flow(node, pending.request.volume)


def dequeue(pending: PendingRequest) -> None:
    """Marks a request as no longer waiting; its queue entry is skipped later."""
    if not pending.waiting or pending.node is None:
        return
    flow = pending.node.flows[pending.request.volume]
    pending.waiting = False
    flow.waiting -= 1
    key = pending.request.key
    flow.keys_waiting[key] -= 1
    if not flow.keys_waiting[key]:
        del flow.keys_waiting[key]


def empty_queues(node: Node) -> list[PendingRequest]:
    """Removes and returns all requests that wait at a node."""
    taken: list[PendingRequest] = []
    for flow in node.flows.values():
        for queue in flow.queues:
            for pending in queue:
                dequeue(pending)
            taken.extend(queue)
            queue.clear()
    return taken


def unlist(node: Node, flow: Flow | None) -> None:
    """Removes the first queue from a node's list; `flow`: its volume's state there, None if removed."""
    head = heappop(node.queue_heads)
    if flow is not None:
        flow.listed[head.rank] = False


def advance(node: Node, flow: Flow, head: QueueHead, units: float) -> None:
    """Advances virtual time and the finish tag for a request sent from the queue listed as `head`."""
    node.virtual_time = max(node.virtual_time, head.tag)
    if head.rank == BEYOND_RANK:
        flow.finish_tag = head.tag + units / flow.volume.weight
