"""Every decision of the gateway: which waiting request leaves next and where to, which is rejected or failed.

Make one `Scheduler`, report what is seen, which only updates what is known, then call `decide` until it
returns None; come back at `next_due`. Types and calls are in interface.py, the mechanism in docs/design.md.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Mapping, Sequence
from heapq import heappop, heappush
from typing import Any

from ochrecourse.common.time_units import MS, SECOND
from ochrecourse.interface import Attempt, AttemptEnd, Ending, Health, ListCall, ListKind, MissingSettingError
from ochrecourse.interface import NodeEntry, Outcome, Reply, Request

QUEUE = 32  # requests out at one node, shared evenly by its volumes; the paper's queue length
TRIMMED = 8  # requests out in total while a recent volume is empty; the paper's beta
CAPACITY = 10.0  # units out above which a node counts as loaded; the paper's count of channels
HISTORY = 128  # requests sent to a node that tell which volumes are recent; the paper's alpha
SCORE_HALF = SECOND  # ns in which the runs score halves; the design page's decay
FIRST_WINDOW = 2.0  # requests out at a node of which nothing is known; one served, one on its way
SOON = 0.3  # share of the shortest deadline an answer may take before the window shrinks; short queues
ROOM = 0.5  # power of the part of the worth in the room a request has beyond the usual; higher denies more
LEEWAY = 0.25  # added to a chance between a half and one, so that the room is right in the mean
LOST = 4  # times the usual answer time after which a attempt is taken for lost; beyond most honest answers
LOSSY = (0.04, 0.4)  # shares of attempts lost at quick nodes between which answers are lost; more is a jam
BACKOFF = (2, 64.0)  # for each unanswered attempt on what a node needs, and the most in usual answer times
SHRINK = 0.7  # factor on the window after a late answer; deep enough to empty a queue in a few answers
GROW = 0.5  # requests by which the window grows for each window of timely answers; far slower than it shrinks
SMOOTH = 0.125  # weight of the newest answer in a running mean; about the last eight count
EASE = 1350 * MS  # ns in which a node's drag and floor halve at the least; a jam of a few gateways is gone
RATE_HALF = 2 * SECOND  # ns in which a seen rate halves; a few periods of the usual meters
FLOOR_STEP = 0.05  # part of the way to its payoff that a request given up moves the floor; 20 show a trend
PAUSE = 0.1  # share of the deadline before a retry, doubled each time; leaves time for all of them
ASK_AGAIN = SECOND  # ns before the list is asked for again after a failure; seldom enough not to load it
NEVER = 1 << 60  # ns; the wait where there is nothing to wait for
DEVIATIONS = 4  # of chance that keep a sum within N + 2 root N + 2, what a cold node bears; few go beyond
COUNTED = 16 * SECOND  # ns of which a gateway's own requests tell its part of all; as long as nodes are cold
FIRST_LOOK = 20 * MS  # ns per unit that a request is expected to take before any answer was seen


class RequestClass:
    """What the settings say of one request class."""

    def __init__(self, scheduler: Scheduler, at: str) -> None:
        self.deadline = round(scheduler.number(at + "Aim") * MS)
        self.points = scheduler.number(at + "Points", 1.0)
        self.effect = scheduler.text(at + "Effect")
        self.group = scheduler.text(at + "KeyScope", "all")
        self.window = round(scheduler.number(at + "Window", 0.0) * MS)
        self.in_order = scheduler.text(at + "SerialByKey", "false") == "true"
        self.pace, self.seen = float(FIRST_LOOK), 0  # ns per unit that requests took, and how many were seen


class Volume:
    """A volume as this gateway knows it: its tenant's figures and the part of them that is this gateway's."""

    def __init__(self, scheduler: Scheduler, tenant: int, gateways: int, began: int) -> None:
        at = f"Policies.{tenant}."
        self.weight = scheduler.number(at + "Weight", 1.0) or 1.0
        self.factor = scheduler.number(at + "ValueFactor", 1.0)
        self.rate = scheduler.number(at + "Rate", 0.0)
        self.reserve = scheduler.number(at + "Reserve", 0.0)
        self.top, self.share = scheduler.number("FamilyInfo.UnitsTop", 1.0), 1.0 / max(1, gateways)
        self.left = [float("inf")] * 2  # units of reserve and usual rate not yet used; full at first
        self.limit = scheduler.number(at + "Limit", 0.0) / max(1, gateways)
        self.depth = scheduler.number(at + "CapDepth", 0.0) / max(1, gateways)
        self.store, self.at = 0.0, began  # empty at this gateway's start: what the one before drew is unknown
        self.unwritten = 0.0  # units drawn from the store that no attempt has brought to a node yet
        self.own = self.used = 0.0  # units a second served here and everywhere

    def refill(self, now: int) -> None:
        past, self.at = (now - self.at) / SECOND, now
        for i, rate in enumerate((self.reserve, self.rate)):  # a part holds the largest request
            self.left[i] = rate and min(rate * self.share + self.top, self.left[i] + rate * self.share * past)
        # Guards against a late connection: what is drawn but not written still lies in the nodes' store.
        self.store = min(self.depth - self.unwritten, self.store + self.limit * past)
        self.own *= 0.5 ** (past * SECOND / RATE_HALF)

    def draw(self, units: float, now: int) -> str:
        """The setting that tells what part of their worth these units earn; inside the reserve it is all."""
        self.refill(now)
        for i, discount in enumerate(("", "FamilyInfo.FairWorth")):
            if self.left[i] >= units:
                self.left[i] -= units
                return discount
        return "FamilyInfo.BeyondShare"

    def served(self, units: float, used: float, now: int) -> None:
        """The late totals tell which part of the volume comes through here; else the split stays even."""
        self.refill(now)
        self.own += units * 0.69 * SECOND / RATE_HALF
        if used >= 0:
            self.used += SMOOTH * (used * self.rate - self.used)
            if self.used > 0:
                self.share += SMOOTH * (min(1.0, self.own / self.used) - self.share)


class PendingRequest:
    """A request that this gateway took and what became of it so far."""

    def __init__(self, request: Request, kinds: Sequence[RequestClass], volume: Volume, now: int) -> None:
        self.request, self.kind, self.volume = request, kinds[request.request_class], volume
        self.deadline = min(now + self.kind.deadline, request.client_timeout)
        self.discount = volume.draw(request.units, now)  # of its worth; none is named inside the reserve
        self.attempts = self.not_before = self.sent = 0
        self.node: Node | None = None  # where it waits or has a attempt out
        self.waiting = self.out = self.counted = self.over = self.streaming = False
        self.drawn = 0.0  # units drawn from its volume's store while no attempt was written yet
        self.wait = 0  # ns until the first node that it may go to has room, where all are bounded
        self.ordered = self.kind.in_order and request.key != 0
        self.turn = not self.ordered  # its key lets it go
        self.ran: tuple[int, int, int] | None = None  # time, shard, zone of the first that may have run


class Flow:
    """One volume at one node: its bound, what it has out, what waits inside and beyond the reserve."""

    def __init__(self, volume: Volume, bound: float) -> None:
        self.volume, self.bound = volume, bound
        self.out = self.waiting = self.score_at = 0
        self.units = self.before = self.score = 0.0  # aggressiveness now and before, runs score
        self.finish = 0.0  # virtual time at which its last request beyond the reserve ends
        self.queues: tuple[deque[PendingRequest], deque[PendingRequest]] = (deque(), deque())
        self.listed = [False, False]
        self.keys: Counter[int] = Counter()


class Node:
    """A storage node as this gateway sees it."""

    def __init__(self, entry: NodeEntry) -> None:
        self.id, self.shard, self.zone = entry.node, entry.shard, entry.zone
        self.health, self.started = Health.GONE, -1
        self.flows: dict[int, Flow] = {}
        self.ready: list[tuple[float, int, int, int]] = []  # tag, 0 inside or 1 beyond, number, volume
        self.out = self.busy_flows = self.shrunk_at = self.cold_until = self.heard = self.eased = 0
        self.quick = self.silent = self.trimmed = False  # its last answer was quick, the last attempt silent
        self.units = self.time = 0.0  # units out, and the virtual time
        self.history, self.recent = deque[int](), Counter[int]()
        self.split, self.window = float(QUEUE), FIRST_WINDOW
        self.drag = self.good = 1.0  # answer times against the usual ones, share of good answers
        self.cold: deque[tuple[int, float]] = deque()  # while cold: units sent, and less the answered
        self.credit = self.floor = 0.0  # in the rotation; least payoff for time worth a place
        self.rate: float | None = None  # units a second that may begin here, where others bound it
        self.begun, self.free_at = deque[tuple[int, float]](), 0  # while bounded: units sent; the next may go

    def total(self) -> float:
        return min(TRIMMED if self.trimmed else QUEUE, self.window)


class Scheduler:
    def __init__(self, values: Mapping[str, str], seed: int, now: int) -> None:
        self.values, self.chance = values, seed
        self.numbers = dict[str, float]()  # what was read of the values, which stay as they are
        self.kinds = [RequestClass(self, f"Classes.{i}.") for i in range(int(self.number("Classes.count")))]
        self.gateways = max(1.0, self.number("Instances", 1.0))
        self.fall = round(self.number("Safety.Fall", 0.0) * MS)
        self.cold_span = round(self.number("Safety.Cold", 0.0) * MS)
        self.settle = round(self.number("Safety.OrderSettle", 0.0) * MS)
        self.usual_units = self.number("FamilyInfo.UsualUnits", 1.0) or 1.0
        sure = self.number("FamilyInfo.ColdUnits", 0.0) or self.usual_units
        least = max(0.01, self.number("Safety.StartCapacity", 1.0))
        self.cold_units, self.warming = sure / self.gateways, max(0.0, 1 / least - 1)
        n = sure / self.usual_units  # requests that are sure, of which chance gets less
        self.likely = min(1.0, ((DEVIATIONS**2 / 4 + n + 2 * n**0.5 + 2) ** 0.5 - DEVIATIONS / 2) ** 2 / n)
        self.bears = least * max(1.0, self.number("Safety.OverloadFactor", 1.0))  # of what it does when warm
        self.load, self.load_at = self.cold_units * COUNTED / (max(1, self.fall) * self.bears), now
        self.edge = 2 * round(self.number("Period", 1.0) * MS)
        self.nodes, self.bounds = dict[int, Node](), dict[int, float]()
        self.volumes, self.requests = dict[int, Volume](), dict[int, PendingRequest]()
        self.turns, self.rests = dict[int, deque[PendingRequest]](), dict[int, int]()  # by key, in order
        self.review, self.calls = deque[PendingRequest](), deque[ListCall]()  # to settle, to make
        self.touched: dict[int, None] = {}  # nodes at which something may leave
        self.dues: list[tuple[int, int, Callable[[Any], None], Any]] = []
        self.count, self.now, self.began, self.heard = 0, now, now, now  # began: its start; heard: any node
        self.lost, self.late, self.drag = 0.0, 0.0, 1.0  # share lost at quick nodes, share late; of all nodes
        self.received, self.retries = deque[int](), deque[int]()  # times, for the budget
        if self.text("Discovery", "push") == "ask":
            self.calls.append(ListCall.FOLLOW)

    def text(self, name: str, default: str | None = None) -> str:
        if (value := self.values.get(name, default)) is None:
            raise MissingSettingError(f"the settings lack {name}")
        return value

    def number(self, name: str, default: float | None = None) -> float:
        try:
            if name not in self.numbers:
                self.numbers[name] = float(self.text(name, None if default is None else str(default)))
            return self.numbers[name]
        except ValueError:
            raise MissingSettingError(f"the settings hold no number under {name}") from None

    # --- what the host reports ---

    def list_received(self, kind: ListKind, entries: Sequence[NodeEntry], now: int) -> None:
        self.now = now
        if kind is ListKind.FAILED:
            self._due(now + ASK_AGAIN, self.calls.append, ListCall.FOLLOW)
            return
        if kind is not ListKind.DELTA:
            for missing in sorted(self.nodes.keys() - {entry.node for entry in entries}):
                self._left(self.nodes[missing])
        for entry in entries:
            if (node := self.nodes.get(entry.node)) is None:
                node = self.nodes[entry.node] = Node(entry)
                self._bound(node)
                node.credit = node.window * self._spread()  # gateways with one list begin at different nodes
            if entry.health is not Health.READY:
                self._left(node, entry.health)
                continue
            # Guards against pushing over a node that starts: any return counts as a start, listed or not.
            back = node.health is Health.GONE and node.started == entry.started
            since = now if back else entry.started
            if back or (node.started != entry.started and 0 < since > now - self.cold_span):
                node.cold_until, node.window, node.shrunk_at = since + self.cold_span, 1.0, now
                node.drag, node.eased = 1 / max(0.01, self.number("Safety.StartCapacity", 1.0)), now
                self._look_again(node)
            node.health, node.started = Health.READY, entry.started
            self.touched[node.id] = None

    def request_received(self, request: Request, now: int) -> None:
        self.now, request.units = now, request.units or 1.0  # an unknown size counts as one
        if (volume := self.volumes.get(request.volume)) is None:
            volume = self.volumes[request.volume] = Volume(self, request.tenant, request.gateways, self.began)
        pending = self.requests[request.id] = PendingRequest(request, self.kinds, volume, now)
        if "Safety.ExtraRatio" in self.values:
            self.received.append(now)
        if pending.turn:
            self.review.append(pending)
        else:
            self.turns.setdefault(request.key, deque()).append(pending)
            self._advance(request.key)
        self._due(pending.deadline - self.edge, self.review.append, pending)

    def attempt_written(self, request_id: int, now: int) -> None:
        """The attempt that is out was handed to a connection: from now on it may run."""
        self.now = now
        if (pending := self.requests.get(request_id)) and pending.out:
            pending.sent = now
            pending.volume.unwritten, pending.drawn = pending.volume.unwritten - pending.drawn, 0.0

    def attempt_ended(self, end: AttemptEnd, now: int) -> None:
        self.now = now
        pending = self.requests.get(end.request_id)
        node = self.nodes.get(end.node)
        if pending is None or node is None or not pending.out:
            return
        pending.out = False
        self._ease(node)
        units, good = pending.request.units, end.ending is Ending.SERVED
        self._free(pending)
        pending.volume.served(units if good else 0.0, end.volume_used, now)
        # Guards against taking this side's doing for the node's: a client that left, no connection free.
        if end.ending not in (Ending.WITHDRAWN, Ending.MOOT):
            self._learn(node, pending, end)
        unsure = end.ending in (Ending.TIMEOUT, Ending.RESET, Ending.WITHDRAWN)  # it may run on
        if good and now < node.cold_until:
            node.cold.append((now, -units))
        if pending.ran is None and (unsure or end.ending is Ending.ERROR):
            pending.ran = (pending.sent, node.shard, node.zone)
        pending.over = pending.over or end.last
        pause = pending.kind.deadline * PAUSE * 2 ** (pending.attempts - 1)
        pending.not_before = now + round(pause * self._spread())
        if unsure and pending.ordered:
            self.rests[pending.request.key] = now + self.settle
        self.review.append(pending)

    def bounds_received(self, bounds: Mapping[int, float], now: int) -> None:
        """Units a second that this gateway may begin at each node named, in place of what was said before."""
        self.now, self.bounds = now, dict(bounds)
        for node in self.nodes.values():
            self._bound(node)

    def stream_began(self, request_id: int) -> None:
        if pending := self.requests.get(request_id):
            pending.streaming = True
            self._free(pending)  # guards against slow readers who hold a node's places: its own work is done

    def request_cancelled(self, request_id: int) -> None:
        if pending := self.requests.get(request_id):
            pending.over = True
            self.review.append(pending)

    # --- what the host pulls ---

    def decide(self, now: int) -> Attempt | Reply | ListCall | None:
        self.now = now
        while self.dues and self.dues[0][0] <= now:
            _, _, act, what = heappop(self.dues)
            act(what)
        if self.calls:
            return self.calls.popleft()
        while self.review:
            if reply := self._settle(self.review.popleft()):
                return reply
        while self.touched:
            node = self.nodes[next(iter(self.touched))]
            if attempt := self._leave(node):
                return attempt
            del self.touched[node.id]
        return self.decide(now) if self.review else None

    def next_due(self) -> int:
        return self.dues[0][0] if self.dues else self.now + SECOND

    def _due(self, at: int, act: Callable[[Any], None], what: Any) -> None:
        self.count += 1
        heappush(self.dues, (at, self.count, act, what))

    def _left(self, node: Node, health: Health = Health.GONE) -> None:
        """Nothing new goes to a node that drains or is gone; what waits for it is looked at again."""
        node.health = health
        self._look_again(node)
        node.history, node.recent = deque[int](), Counter[int]()  # no send will push these out any more
        for volume in list(node.flows):
            self._forget(node, volume)

    def _look_again(self, node: Node) -> None:
        for flow in node.flows.values():
            for queue in flow.queues:
                for pending in queue:
                    self._dequeue(pending)
                self.review.extend(queue)
                queue.clear()

    def _bound(self, node: Node) -> None:
        """Takes over what others bound it to at this node."""
        rate = self.bounds.get(node.id)
        if rate == node.rate:
            return
        if node.rate is None and rate:
            # Guards against a rush of each gateway's first request: they begin by chance within one's time.
            node.free_at = self.now + round((2 * self._spread() - 1) * self.usual_units / rate * SECOND)
        if rate is None:
            node.begun.clear()
        less, node.rate = rate is not None and (node.rate is None or rate < node.rate), rate
        self.touched[node.id] = None
        if less:
            self._look_again(node)

    def _bounded(self, node: Node, units: float) -> int:
        """Time until a bound of others lets so many units begin; one after another where it is less."""
        if not node.rate:
            return 0 if node.rate is None else NEVER
        while node.begun and node.begun[0][0] <= self.now - self.fall:
            node.begun.popleft()
        room = node.rate * self.fall / SECOND - units
        if room < 0:
            return max(0, node.free_at - self.now)
        out, wait = sum(each for _, each in node.begun), 0
        for at, each in node.begun:
            if out <= room:
                break
            out, wait = out - each, at + self.fall - self.now + 1
        return wait

    def _free(self, pending: PendingRequest) -> None:
        """An attempt no longer counts as out: the bounds react as to an answer."""
        node, volume = pending.node, pending.request.volume
        if node is None or not pending.counted:
            return
        pending.counted = False
        flow = node.flows[volume]
        flow.before, flow.units = flow.units, flow.units - pending.request.units
        flow.out, node.out = flow.out - 1, node.out - 1
        node.units -= pending.request.units
        node.busy_flows -= flow.out == 0
        self._halve(node, flow)
        if flow.bound < node.split and (node.units <= CAPACITY or node.busy_flows <= 1):
            flow.bound = min(node.split, flow.bound + 1)
        self._list_flow((node, volume))
        self._forget(node, volume)

    def _lost(self, attempt: tuple[PendingRequest, int]) -> None:
        """Guards against attempts that are never answered: they stop counting, the window shrinks."""
        pending, number = attempt
        if pending.counted and pending.attempts == number:
            self._shrink(pending)
            self._free(pending)

    def _shrink(self, pending: PendingRequest) -> None:
        node = pending.node
        if node and pending.sent >= node.shrunk_at:  # once for all attempts that were out together
            node.window, node.shrunk_at = max(1.0, node.window * SHRINK), self.now

    def _ease(self, node: Node) -> None:
        """What a node is taken to need falls back to the usual without news: the slower, the more gateways
        come back, or all of them together would fill a jammed node again before it is empty."""
        if not node.out:
            half = max(EASE, self.gateways * min(each.pace for each in self.kinds) * self.usual_units)
            keep = 0.5 ** ((self.now - node.eased) / half)
            node.floor *= keep
            usual = 1 + (self.drag - 1) * 0.5 ** ((self.now - self.heard) / half)  # as at all nodes of late
            node.drag = usual * (1 - keep) + keep * node.drag
        node.eased = self.now

    def _learn(self, node: Node, pending: PendingRequest, end: AttemptEnd) -> None:
        """How fast a node answers sets its window, which trims the total further than the paper does."""
        kind, units = pending.kind, pending.request.units
        gap = self.now - node.heard
        newest = max(SMOOTH, gap / (gap + RATE_HALF))  # guards against stale means where answers are rare
        good, node.heard = end.ending is Ending.SERVED, self.now
        node.good += SMOOTH * (good - node.good)
        if good:
            # Guards against taking a jam for the usual pace, after which nothing would be tried any more.
            usual, took = SOON * kind.deadline / self.usual_units, max(1, end.took) / units
            kind.seen += 1  # the first answers count equally, or a rare request class stays at its first look
            kind.pace += max(SMOOTH, 1 / kind.seen) * (min(usual, took) - kind.pace)
        # Guards against beating on a node that turns requests away unseen: the wait there is the deadline.
        shut = end.ending in (Ending.FULL, Ending.UNREACHABLE)
        ratio = (kind.deadline if shut else end.took) / (kind.pace * units) + shut
        silent = end.ending is Ending.TIMEOUT
        # Guards against lost answers that look like a slow node: while more go unanswered at quick nodes than
        # come late, the first one in a row tells nothing of its node.
        lost = silent and node.quick and ratio >= LOST * node.drag
        self.lost += node.quick * SMOOTH / 2 * (lost - self.lost)
        node.quick, node.silent = ratio < LOST if good else node.quick and not (lost and node.silent), silent
        if shut or silent:  # these only tell more; each makes the next wait longer
            ratio = min(BACKOFF[0] * max(ratio, node.drag), BACKOFF[1])
        if good or shut or (silent and not (lost and self._lossy())):
            node.drag += newest * (ratio - node.drag)
            self.drag += SMOOTH * (min(ratio, LOST) - self.drag)
            self.heard = self.now
        # All requests at a node share its queue, so the shortest deadline sets what each may take there.
        tightest = min(self.kinds, key=lambda each: each.deadline)
        large = max(1.0, units * kind.pace / tightest.pace / self.usual_units)
        late = end.took > SOON * tightest.deadline * large
        self.late += good * SMOOTH / 2 * (late - self.late)
        if late or shut or end.ending is Ending.RESET:
            self._shrink(pending)
        elif good and node.out + 2 > node.window:
            node.window = min(float(QUEUE), node.window + GROW / node.window)

    def _halve(self, node: Node, flow: Flow) -> None:
        if node.busy_flows > 1 and node.units > CAPACITY and flow.units > node.units / node.busy_flows:
            flow.bound = max(1.0, flow.bound / 2)

    def _forget(self, node: Node, volume: int) -> None:
        flow = node.flows.get(volume)
        if flow and not flow.waiting and not flow.out and not node.recent[volume]:
            del node.flows[volume], node.recent[volume]

    def _advance(self, key: int) -> None:
        """Lets a key's next request go once those before are over, attempts too, and the key rested."""
        turn = self.turns.get(key, deque())
        while turn and turn[0].over and not turn[0].out:
            turn.popleft()
        if self.now < self.rests.get(key, 0):
            self._due(self.rests[key], self._advance, key)
        elif not turn:
            self.turns.pop(key, None)
            self.rests.pop(key, None)
        elif not turn[0].turn:
            turn[0].turn = True
            self.review.append(turn[0])

    def _close(self, pending: PendingRequest) -> None:
        if not pending.out:
            self.requests.pop(pending.request.id, None)
            pending.volume.unwritten, pending.drawn = pending.volume.unwritten - pending.drawn, 0.0
        if pending.ordered:
            self._advance(pending.request.key)

    def _settle(self, pending: PendingRequest) -> Reply | None:
        """Answers a request that can't be served in time any more at once; holds the others at their node."""
        if pending.over:
            self._dequeue(pending)
            self._close(pending)
        if pending.over or pending.out or pending.streaming:
            return None
        left = pending.deadline - self.now - self.edge
        if left <= 0 or pending.not_before - self.now >= left:
            return self._reply(pending)
        if pending.attempts and not self._again(pending):
            return self._reply(pending)
        if not pending.turn:
            return None
        if self.now < pending.not_before:
            self._due(pending.not_before, self.review.append, pending)
            return None
        if (node := pending.node if pending.waiting else self._place(pending)) is None:
            return self._reply(pending, pending.wait)
        self._ease(node)
        needs = self._needs(pending, node)
        worth = self._density(pending)
        # Guards against surges that fill a node with work of little worth: it goes where answers are quick;
        # and, by chance, against gateways that all begin or cease to send at one answer time.
        room = self.number(pending.discount, 1.0) ** ROOM
        room *= 1.0 if pending.waiting else LEEWAY + self._spread()
        # Guards against work that would be late, at an idle node too; as its needs ease, one is tried.
        least = pending.kind.pace * pending.request.units  # needed at a node that is as quick as usual
        if needs > left or needs - least > room * (left - least):
            node.floor += max(0.0, FLOOR_STEP * (worth - node.floor))
            return self._reply(pending)
        if not pending.waiting:
            if worth < node.floor and (node.out or self.now < node.heard + needs):
                return self._reply(pending)
            self._enqueue(pending, node)
        self._due(pending.deadline - self.edge - needs + 1, self.review.append, pending)
        return None

    def _spread(self) -> float:
        """Between a half and one, by chance, so that what failed together does not come back together."""
        self.chance = (self.chance * 6364136223846793005 + 1442695040888963407) % 2**64
        return 0.5 + (self.chance >> 40) / 2**25

    def _reply(self, pending: PendingRequest, wait: int = 0) -> Reply:
        """A rejection says that nothing ran or that a repeat is harmless; else the request is failed. `wait`:
        ns until there is room for it, where that is known."""
        pending.over = True
        self._dequeue(pending)
        effect, group = pending.kind.effect, pending.kind.group
        rejected = pending.ran is None or effect == "safe" or (effect == "keyed" and group == "all")
        self._close(pending)
        advice = rejected and self.text("Limits.RetryAfter", "false") == "true"
        away = round(self.number("Limits.MaxRetryAfter", 0.0) * MS * self._spread()) if advice else 0
        away = min(round(self.number("Limits.MaxRetryAfter", 0.0) * MS), wait) if advice and wait else away
        return Reply(pending.request.id, Outcome.REJECTED if rejected else Outcome.FAILED, away)

    def _again(self, pending: PendingRequest) -> bool:
        """Whether a request may have a retry: by its payoff, by what may have run, and by the budget."""
        most = int(self.number("Limits.MaxAttempts", 1.0))
        if pending.attempts >= min(most, 1 + max(1, round((most - 1) * self.number(pending.discount, 1.0)))):
            return False
        if self.now >= self._repeat_until(pending) or (pending.ran and pending.kind.effect == "unsafe"):
            return False
        if "Safety.ExtraRatio" not in self.values:
            return True
        since = self.now - round(self.number("Safety.CountedOver", 0.0) * MS)
        for times in (self.received, self.retries):
            while times and times[0] <= since:
                times.popleft()
        free = self.number("Safety.ExtraFloor", 0.0) + self.number("Safety.ExtraRatio") * len(self.received)
        return len(self.retries) + 1 <= free

    def _repeat_until(self, pending: PendingRequest) -> int:
        """Until when an attempt may be written: the client waits; if one may have run, its window is open."""
        ran = pending.ran if pending.kind.effect == "keyed" else None
        return min(pending.request.client_timeout, ran[0] + pending.kind.window - self.edge if ran else NEVER)

    def _place(self, pending: PendingRequest) -> Node | None:
        """The node of the request's shard; new objects take turns, weighted by what each node managed."""
        group = pending.kind.group if pending.ran and pending.kind.effect == "keyed" else "all"
        shard = pending.ran[1] if pending.ran and group == "cell" else pending.request.shard
        zone = pending.ran[2] if pending.ran and group == "zone" else -1
        best, later, whole, pending.wait = None, None, 0.0, 0
        self.load *= 0.5 ** ((self.now - self.load_at) / (0.69 * COUNTED))
        self.load, self.load_at = self.load + pending.request.units / max(1, len(self.nodes)), self.now
        for node in self.nodes.values():
            if shard in (-1, node.shard) and zone in (-1, node.zone) and node.health is Health.READY:
                spared = node.cold_until - self.now if self._spared(node) else 0
                if spared or node.rate is not None:
                    wait = max(spared, self._bounded(node, pending.request.units) + self._ahead(node))
                    if later is None or wait < pending.wait:
                        pending.wait, later = wait, node
                    continue
                weight = node.window * node.good / max(node.drag, 0.1)
                node.credit += weight
                whole += weight
                if best is None or node.credit > best.credit:
                    best = node
        left = pending.deadline - self.now - self.edge
        # A bound is room that is to be used, or nobody would learn that a node is back; but work that need
        # not go there does so only if it may be repeated and is still in time.
        if later and not (best and (pending.kind.effect != "safe" or pending.attempts or pending.wait)):
            self._ease(later)  # or what it needed before its bound would keep all from trying it
            fits = self._needs(pending, later) <= left * SOON and self._density(pending) >= later.floor
            if fits if best else pending.wait + self._needs(pending, later) <= left:
                pending.wait = 0
                return later
        if best:
            best.credit -= whole
        return best

    def _ahead(self, node: Node) -> int:
        """Time that the bound gives to what waits at a node before another request."""
        pending = sum(flow.waiting for flow in node.flows.values())
        return round(pending * self.usual_units / node.rate * SECOND) if node.rate else 0

    def _enqueue(self, pending: PendingRequest, node: Node) -> None:
        volume, key = pending.request.volume, pending.request.key
        if (flow := node.flows.get(volume)) is None:
            flow = node.flows[volume] = Flow(pending.volume, 0.0)
            node.split = max(1.0, QUEUE / len(node.flows))
            for each, other in node.flows.items():
                other.bound = node.split
                self._list_flow((node, each))
        flow.score *= 0.5 ** ((self.now - flow.score_at) / SCORE_HALF)
        flow.score_at = self.now
        flow.score += 1 if key and flow.keys[key] else -1
        if flow.score > 0 and flow.units > flow.before:
            flow.bound = max(1.0, flow.bound - 1)
        elif flow.score > 0 and flow.units < flow.before:
            flow.bound = min(float(QUEUE), flow.bound + 1)
        queue = flow.queues[1 if pending.discount else 0]
        (queue.appendleft if pending.attempts else queue.append)(pending)
        pending.node, pending.waiting = node, True
        flow.waiting += 1
        flow.keys[key] += 1
        self._list_flow((node, volume))

    def _dequeue(self, pending: PendingRequest) -> None:
        if not pending.waiting or pending.node is None:
            return
        flow = pending.node.flows[pending.request.volume]
        pending.waiting = False
        flow.waiting -= 1
        flow.keys[pending.request.key] -= 1
        if not flow.keys[pending.request.key]:
            del flow.keys[pending.request.key]

    def _list_flow(self, at: tuple[Node, int]) -> None:
        """Lists a volume with waiting requests under its bound; in the reserve none waits for its tags."""
        node, volume = at
        self.touched[node.id] = None
        flow = node.flows.get(volume)
        if flow is None or flow.out >= flow.bound:
            return
        for rank in (0, 1):
            if flow.queues[rank] and not flow.listed[rank]:
                self.count += 1
                tag = max(node.time, flow.finish) if rank else node.time
                heappush(node.ready, (tag, rank, self.count, volume))
                flow.listed[rank] = True

    def _leave(self, node: Node) -> Attempt | None:
        """The waiting request with the least tag, as far as bounds, limits and a cold start let it."""
        if node.health is not Health.READY:
            return None
        while node.ready and (not node.out or node.out + 1 <= node.total()):
            tag, rank, _, volume = node.ready[0]
            flow = node.flows.get(volume)
            queue = flow.queues[rank] if flow else None
            while queue and not (queue[0].waiting and self._may_leave(queue[0])):
                queue.popleft()
            if flow and queue and flow.out < flow.bound:
                if wait := max(self._too_cold(node), self._bounded(node, queue[0].request.units)):
                    if wait < NEVER:
                        self._due(self.now + wait, self._list_flow, (node, volume))
                    return None
                if wait := self._limited(queue[0]):
                    self._due(self.now + wait, self._list_flow, (node, volume))
                else:
                    heappop(node.ready)
                    flow.listed[rank] = False
                    return self._send(node, flow, rank, tag, queue.popleft())
            heappop(node.ready)
            if flow:
                flow.listed[rank] = False
                self._forget(node, volume)
        return None

    def _may_leave(self, pending: PendingRequest) -> bool:
        """Guards against retries that were allowed when they were queued but no longer are."""
        if not pending.attempts or self._again(pending):
            return True
        self._dequeue(pending)
        self.review.append(pending)
        return False

    def _send(self, node: Node, flow: Flow, rank: int, tag: float, pending: PendingRequest) -> Attempt:
        request, volume = pending.request, pending.request.volume
        self._dequeue(pending)
        node.time = max(node.time, tag)
        if rank:
            flow.finish = tag + request.units / flow.volume.weight
        if not pending.attempts:
            flow.volume.store, pending.drawn = flow.volume.store - request.units, request.units
            flow.volume.unwritten += request.units
        elif "Safety.ExtraRatio" in self.values:
            self.retries.append(self.now)
        flow.before, flow.units = flow.units, flow.units + request.units
        node.busy_flows += flow.out == 0
        flow.out, node.out = flow.out + 1, node.out + 1
        node.units += request.units
        node.trimmed = not flow.waiting and node.recent[volume] > 0
        node.history.append(volume)
        node.recent[volume] += 1
        if len(node.history) > HISTORY:
            oldest = node.history.popleft()
            node.recent[oldest] -= 1
            self._forget(node, oldest)
        if self.now < node.cold_until:
            node.cold.append((self.now, request.units))
        if node.rate:
            node.begun.append((self.now, request.units))
            node.free_at = max(self.now, node.free_at) + round(request.units / node.rate * SECOND)
        self._halve(node, flow)
        self._list_flow((node, volume))
        pending.out, pending.counted, pending.sent, pending.node = True, True, self.now, node
        pending.attempts += 1
        again = pending.kind.effect != "unsafe" and self._lossy()  # there may be time for another
        patience = max(0 if again else pending.kind.deadline, LOST * self._needs(pending, node))
        self._due(self.now + patience, self._lost, (pending, pending.attempts))
        time_out = patience if again or pending.kind.effect == "safe" else 0
        return Attempt(request.id, pending.attempts - 1, node.id, time_out, self._repeat_until(pending))

    def _lossy(self) -> bool:
        return max(LOSSY[0], self.late) < self.lost < LOSSY[1]

    def _density(self, pending: PendingRequest) -> float:
        """Payoff for a request's time: less beyond the reserve, least beyond the tenant's usual rate."""
        density = pending.kind.points * pending.volume.factor / pending.kind.pace
        return density * self.number(pending.discount, 1.0)

    def _needs(self, pending: PendingRequest, node: Node) -> int:
        return round(node.drag * pending.kind.pace * pending.request.units)

    def _limited(self, pending: PendingRequest) -> int:
        """Time until the volume's limit lets it go; each gateway keeps to its even part of the store."""
        volume = pending.volume
        if not volume.limit or pending.attempts:
            return 0
        volume.refill(self.now)
        lack = pending.request.units - volume.store
        return max(MS, round(lack / volume.limit * SECOND)) if lack > 0 else 0

    def _spared(self, node: Node) -> bool:
        """Guards against pushing over a cold node, all gateways together: chance lets go what it bears of
        what is asked where warm nodes are not overloaded, or this one's part of the sure figure."""
        if self.now >= node.cold_until or self.cold_units >= self.usual_units:  # `_too_cold` holds it
            return False
        warmer = 1 + self.warming * max(0.0, 1 + (self.now - node.cold_until) / self.cold_span) ** 2
        share = max(self.bears, self.cold_units * COUNTED / (max(1, self.fall) * self.load))
        return bool(2 * self._spread() - 1 >= self.likely * warmer * share)

    def _too_cold(self, node: Node) -> int:
        """Guards against a rush at a cold node: units sent in the rule's time stay under a sure part and half
        of what the rule grants for the units answered here, which the node has shown to manage."""
        while node.cold and (self.now >= node.cold_until or node.cold[0][0] <= self.now - self.fall):
            node.cold.popleft()
        grant = max(1.0, self.number("Safety.OverloadFactor", 1.0) / 2)
        if sum(each if each > 0 else each * grant for _, each in node.cold) <= self.cold_units:
            return 0
        return node.cold[0][0] + self.fall - self.now + 1
