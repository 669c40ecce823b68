"""In which order waiting requests leave for a node.

Inputs: units of each request, weight of its tenant, whether it is inside the reserve of its tenant.

Start-time fair queueing over the volumes at a node. A request's tag is the later of the node's virtual time
and the finish of its volume's request before it; it finishes units over weight later. A request inside the
reserve has the virtual time itself as its tag, and goes before others of that tag, so that it never waits
for its volume's own work. A queue is listed under its tag when it has a first request and the volume is
under its bound, so requests that are rejected while they wait cost their volume nothing.
"""

from __future__ import annotations

from heapq import heappop, heappush

from ochrecourse.scheduler.state import BEYOND_RANK, RESERVED_RANK, Flow, Node, PendingRequest, QueueHead


class FairQueue:
    """The queues of all nodes. `touched`: nodes, by id in order, at which a request may be able to leave."""

    __slots__ = ("_count", "touched")

    def __init__(self) -> None:
        self.touched: dict[int, None] = {}
        self._count = 0

    def touch(self, node: Node) -> None:
        """Something changed at a node that may let a request leave."""
        self.touched[node.id] = None

    def list_flow(self, node: Node, volume_id: int) -> None:
        """Lists a volume's queues at a node under their tags, as far as it is under its bound."""
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

    def _list(self, node: Node, flow: Flow, rank: int, tag: float, volume_id: int) -> None:
        self._count += 1
        heappush(node.queue_heads, QueueHead(tag, rank, self._count, volume_id))
        flow.listed[rank] = True

    def enqueue(self, pending: PendingRequest, node: Node, flow: Flow) -> None:
        """Has a request wait at a node; a retry goes before what waits there."""
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
    """A request waits no more; its place in the queue is passed over later."""
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
    """Takes all that waits at a node out of its queues."""
    taken: list[PendingRequest] = []
    for flow in node.flows.values():
        for queue in flow.queues:
            for pending in queue:
                dequeue(pending)
            taken.extend(queue)
            queue.clear()
    return taken


def unlist(node: Node, flow: Flow | None) -> None:
    """Takes the first queue of a node's list out of it; `flow`: whose it is, if that still counts there."""
    head = heappop(node.queue_heads)
    if flow is not None:
        flow.listed[head.rank] = False


def advance(node: Node, flow: Flow, head: QueueHead, units: float) -> None:
    """A request of so many units leaves from the queue listed as `head`."""
    node.virtual_time = max(node.virtual_time, head.tag)
    if head.rank == BEYOND_RANK:
        flow.finish_tag = head.tag + units / flow.volume.weight
