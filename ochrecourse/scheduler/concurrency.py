"""Concurrency limits: how many requests may be outstanding at a node, in total and per volume.

Inputs: sends and answers of this gateway, with their units of work. Limits count requests.

The limits per node and volume implement the dispatch control of the paper cited in docs/design.md: an even
split of `MAX_REQUESTS_PER_NODE`, halved for a volume above the average at a loaded node, increased again by
answers, adjusted for runs of requests with the same key, and a lower total while a recently active volume
has no waiting requests.

Each node also has an adaptive window, because the paper's total assumes one device of known parallelism,
while these nodes have few cores and serve several gateways. The window shrinks by a factor on signs of
overload and grows slowly with timely answers.
"""

from __future__ import annotations

from collections import Counter, deque

from ochrecourse.common.time_units import SECOND
from ochrecourse.interface import NodeEntry
from ochrecourse.scheduler.state import Flow, Node, PendingRequest

MAX_REQUESTS_PER_NODE = 32  # outstanding at one node; the paper's queue length
TRIMMED_REQUESTS_PER_NODE = 8  # outstanding while a recent volume has none waiting; the paper's beta
LOADED_NODE_UNITS = 10.0  # outstanding units above which a node is loaded; the paper's number of channels
RECENT_SENDS = 128  # last sends to a node, which determine the recent volumes; the paper's alpha
RUNS_SCORE_HALVING_TIME = SECOND  # ns
INITIAL_WINDOW_REQUESTS = 2.0  # for a node without history: one being served, one in transit
WINDOW_SHRINK_FACTOR = 0.7  # empties a queue within a few late answers
WINDOW_GROWTH_REQUESTS = 0.5  # for each full window of timely answers


def new_node(entry: NodeEntry) -> Node:
    """Returns the initial state of a node that appeared in the endpoint list."""
    return Node(entry, window=INITIAL_WINDOW_REQUESTS, even_split=float(MAX_REQUESTS_PER_NODE))


def request_limit(node: Node) -> float:
    """Returns the number of requests that may be outstanding at a node."""
    return min(TRIMMED_REQUESTS_PER_NODE if node.trimmed else MAX_REQUESTS_PER_NODE, node.window)


def add_flow(node: Node, pending: PendingRequest) -> Flow:
    """Adds a volume to a node and resets the bound of every volume there to the even split."""
    flow = node.flows[pending.request.volume] = Flow(pending.volume, node.default_bound)
    node.default_bound.reset(max(1.0, MAX_REQUESTS_PER_NODE / len(node.flows)))
    return flow


def score_run(flow: Flow, key: int, now: int) -> None:
    """Updates the score for runs of one key, when a request with this key starts to wait.

    While the score is positive, the volume's bound moves against the trend of its outstanding units.
    """
    flow.runs_score *= 0.5 ** ((now - flow.runs_score_at) / RUNS_SCORE_HALVING_TIME)
    flow.runs_score_at = now
    flow.runs_score += 1 if key and flow.keys_waiting[key] else -1
    if flow.runs_score > 0 and flow.units_outstanding > flow.previous_units_outstanding:
        flow.bound = max(1.0, flow.bound - 1)
    elif flow.runs_score > 0 and flow.units_outstanding < flow.previous_units_outstanding:
        flow.bound = min(float(MAX_REQUESTS_PER_NODE), flow.bound + 1)


def attempt_sent(node: Node, flow: Flow, request_volume: int, units: float) -> None:
    """Adds an attempt to the outstanding counts of its node and volume."""
    before = flow.units_outstanding
    flow.previous_units_outstanding = before
    flow.units_outstanding = before + units
    if flow.outstanding == 0:
        node.busy_flows[flow] = request_volume
    flow.outstanding += 1
    node.outstanding += 1
    node.units_outstanding += units
    recent = node.recent_counts
    node.trimmed = not flow.waiting and recent[request_volume] > 0  # before this send is counted
    node.recent_sends.append(request_volume)
    recent[request_volume] += 1
    if len(node.recent_sends) > RECENT_SENDS:
        oldest = node.recent_sends.popleft()
        recent[oldest] -= 1
        forget_idle_flow(node, oldest)
    _halve_above_average(node, flow)


def attempt_finished(node: Node, flow: Flow, units: float) -> None:
    """Removes an attempt from the outstanding counts, for example after its answer."""
    before = flow.units_outstanding
    flow.previous_units_outstanding = before
    flow.units_outstanding = before - units
    flow.outstanding -= 1
    node.outstanding -= 1
    node.units_outstanding -= units
    if flow.outstanding == 0:
        del node.busy_flows[flow]
    _halve_above_average(node, flow)
    not_loaded = node.units_outstanding <= LOADED_NODE_UNITS or len(node.busy_flows) <= 1
    even_split = node.default_bound.value
    if flow.bound < even_split and not_loaded:
        flow.bound = min(even_split, flow.bound + 1)


def _halve_above_average(node: Node, flow: Flow) -> None:
    loaded = len(node.busy_flows) > 1 and node.units_outstanding > LOADED_NODE_UNITS
    if loaded and flow.units_outstanding > node.units_outstanding / len(node.busy_flows):
        flow.bound = max(1.0, flow.bound / 2)


def forget_idle_flow(node: Node, volume_id: int) -> None:
    """Removes a volume from a node if it has no waiting or outstanding requests and no recent sends."""
    flow = node.flows.get(volume_id)
    if flow and not flow.waiting and not flow.outstanding and not node.recent_counts[volume_id]:
        del node.flows[volume_id]
        del node.recent_counts[volume_id]


def forget_sends(node: Node) -> None:
    """Clears the recent sends of a node that accepts no new requests, because no later send replaces them."""
    node.recent_sends = deque()
    node.recent_counts = Counter()
    for volume_id in list(node.flows):
        forget_idle_flow(node, volume_id)


def shrink_window(node: Node, sent_at: int, now: int) -> None:
    """Shrinks the node's window after an attempt that was sent at `sent_at` indicated overload.

    Attempts that were outstanding at the same time shrink the window only once.
    """
    if sent_at >= node.window_shrunk_at:
        node.window = max(1.0, node.window * WINDOW_SHRINK_FACTOR)
        node.window_shrunk_at = now


def grow_window(node: Node) -> None:
    """Grows the node's window after a timely answer, but only while the window is fully used."""
    if node.outstanding + 2 > node.window:
        node.window = min(float(MAX_REQUESTS_PER_NODE), node.window + WINDOW_GROWTH_REQUESTS / node.window)
