"""The pipelined commands of one client connection, with their reply slots in order. Performs no I/O.

Replies are written in the order of the commands, so each command has a reply slot in a queue. A bounded
number of requests of one connection run at once; more are queued. The memory of all connections is limited by
a budget, beyond which requests are rejected. Exceeding the limit on unanswered commands is a protocol error.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from ochrecourse.common.requests import Request
from ochrecourse.common.runtime import Clock
from ochrecourse.resp.body_memory import BodyMemory
from ochrecourse.resp.codec import RespProtocolError, encode_bulk_string
from ochrecourse.resp.memory_budget import MemoryAccount, MemoryBudget
from ochrecourse.resp.recent_ids import RecentIds
from ochrecourse.resp.replies import FAILED_REPLY

MAX_RUNNING_REQUESTS = 32  # of one connection: submitted, or with a reply that is not written yet
MAX_UNANSWERED_COMMANDS = 2_048  # of one connection; well-behaved clients send hundreds at once
# Above this total, no connection may have more than `MAX_RUNNING_REQUESTS`.
MAX_UNANSWERED_COMMANDS_TOTAL = 65_536
REQUEST_OVERHEAD_BYTES = 3_072  # memory of an open request in addition to its value
MAX_ANSWERED_IDS = 64  # of one connection, the last ones, kept until it ends
REPLY_SLOT_BYTES = 160  # memory of an unanswered command


class ReplySlot:
    """A command's entry in the queue of replies."""

    __slots__ = ("client_request_id", "memory_bytes", "queued_request", "reply", "request_class", "units")

    def __init__(
        self,
        client_request_id: bytes = b"",
        reply: bytes | None = None,
        queued_request: Request | None = None,
    ) -> None:
        self.client_request_id = client_request_id  # empty for a command without a request
        self.reply = reply  # None until the command is answered
        self.queued_request = queued_request  # None once it is started
        self.request_class = queued_request.request_class if queued_request is not None else ""
        self.units = queued_request.units if queued_request is not None else 0.0
        self.memory_bytes = 0  # counted for the command, then for its reply


class PipelineTotals:
    """Shared by the pipelines of all connections: totals, and the ids of open requests."""

    def __init__(self, budget: MemoryBudget, clock: Clock) -> None:
        self.budget = budget
        self.bodies = BodyMemory(budget)
        self.unanswered_commands = 0
        self.recent_ids = RecentIds(clock)
        self.open_request_ids: dict[bytes, ReplySlot] = {}

    def release_request_id(self, client_request_id: bytes, slot: ReplySlot) -> None:
        """Releases a request's id, unless a later request with the same id uses it."""
        if self.open_request_ids.get(client_request_id) is slot:
            del self.open_request_ids[client_request_id]


class CommandPipeline:
    """One connection's unanswered commands, oldest first, and its queued requests."""

    __slots__ = (
        "answered_ids",
        "memory",
        "more_input",
        "queued",
        "running",
        "slots",
        "totals",
        "unsent_bytes",
    )

    def __init__(self, totals: PipelineTotals) -> None:
        self.totals = totals
        self.memory = MemoryAccount(totals.budget)
        self.slots: deque[ReplySlot] = deque()
        self.queued: deque[ReplySlot] = deque()  # of these, requests not yet submitted to the gateway
        self.answered_ids: deque[bytes] = deque(maxlen=MAX_ANSWERED_IDS)
        self.more_input = False  # the client sends without waiting for replies
        self.unsent_bytes = 0  # of replies that were written to the transport
        self.running = 0  # started requests whose replies are not written

    def check_command_limits(self) -> None:
        """Raises RespProtocolError when a client keeps sending commands without reading replies."""
        unanswered = len(self.slots)
        crowded = (
            self.totals.unanswered_commands >= MAX_UNANSWERED_COMMANDS_TOTAL
            and unanswered >= MAX_RUNNING_REQUESTS
        )
        if crowded or unanswered >= MAX_UNANSWERED_COMMANDS:
            raise RespProtocolError(
                "too_many_commands", "more commands without an answer than one client may have"
            )

    def append(self, slot: ReplySlot) -> None:
        """Adds a command whose reply is already known."""
        self._add_slot(slot, REPLY_SLOT_BYTES)

    def enqueue(self, slot: ReplySlot) -> bool:
        """Queues a request. Returns False if there is no memory for it."""
        body = slot.queued_request.body if slot.queued_request is not None else None
        memory_bytes = REQUEST_OVERHEAD_BYTES + (body.size if body is not None else 0)
        memory_bytes += self.totals.budget.expected_reply_size(slot.request_class, slot.units)
        if not self.totals.bodies.make_room(self.memory, memory_bytes, self.nothing_open()):
            return False
        self._add_slot(slot, memory_bytes)
        self.queued.append(slot)
        self.totals.open_request_ids[slot.client_request_id] = slot
        return True

    def nothing_open(self) -> bool:
        """Whether the client waits for no reply, has read all before, and sends one command at a time."""
        return not self.slots and not self.unsent_bytes and not self.more_input

    def output_buffered(self, size: int) -> None:
        """Counts the replies that are written and not sent yet."""
        self.memory.add(size - self.unsent_bytes)
        self.unsent_bytes = size

    def _add_slot(self, slot: ReplySlot, memory_bytes: int) -> None:
        self.slots.append(slot)
        self.totals.unanswered_commands += 1
        self._count_slot(slot, memory_bytes)

    def _count_slot(self, slot: ReplySlot, memory_bytes: int) -> None:
        """Counts memory for a command, in place of what was counted for it before."""
        self.memory.add(memory_bytes - slot.memory_bytes)
        slot.memory_bytes = memory_bytes

    def can_start(self) -> bool:
        """Whether a request is queued and may be started."""
        return bool(self.queued) and self.running < MAX_RUNNING_REQUESTS

    def start_next(self) -> tuple[ReplySlot, Request]:
        """Removes the oldest queued request from the queue and returns it; requires `can_start`."""
        slot = self.queued.popleft()
        request, slot.queued_request = slot.queued_request, None
        assert request is not None  # every slot in the queue has one
        self.running += 1
        return slot, request

    def complete_with_value(self, slot: ReplySlot, data: bytes) -> None:
        """Sets the value that answers a request; a failure in its place if it must wait without memory."""
        self.totals.budget.value_received(slot.request_class, slot.units, len(data))
        is_next = bool(self.slots) and self.slots[0] is slot
        must_wait = not is_next or self.unsent_bytes > 0
        if must_wait and self.memory.overdraft(len(data) - slot.memory_bytes) > 0:
            self.complete(slot, FAILED_REPLY)
        else:
            self.complete(slot, encode_bulk_string(data))

    def complete(self, slot: ReplySlot, reply: bytes) -> None:
        """Sets a command's reply."""
        slot.reply = reply
        self._count_slot(slot, REPLY_SLOT_BYTES + len(reply))
        self.totals.release_request_id(slot.client_request_id, slot)

    def take_ready_replies(self) -> list[bytes]:
        """Removes and returns the replies that are next in order."""
        slots = self.slots
        ready: list[bytes] = []
        while slots and slots[0].reply is not None:
            slot = slots.popleft()
            self.totals.unanswered_commands -= 1
            if slot.client_request_id:
                self.running -= 1
                self.answered_ids.append(slot.client_request_id)
            self._count_slot(slot, 0)
            ready.append(slot.reply or b"")
        return ready

    def remember_ids(self, unanswered: Iterable[ReplySlot]) -> None:
        """Keeps the ids of requests that may have run, when the connection has ended, should they come again.

        These are the last that were answered, as the client may not have read it, those whose replies waited,
        and those `unanswered`.
        """
        ids = [*self.answered_ids, *(slot.client_request_id for slot in unanswered)]
        ids += [slot.client_request_id for slot in self.slots if slot.reply is not None]
        for client_request_id in ids:
            if client_request_id:
                self.totals.recent_ids.add(client_request_id)

    def awaits_replies(self) -> bool:
        """Whether any command has no reply yet."""
        return any(slot.reply is None for slot in self.slots)

    def reject_queued(self, reply: bytes) -> None:
        """Completes all queued requests with `reply`; none of them is started."""
        for slot in self.queued:
            self.complete(slot, reply)
            slot.client_request_id, slot.queued_request = b"", None  # so that it does not count as running
        self.queued.clear()

    def clear(self) -> None:
        """Removes all commands when the client has disconnected."""
        for slot in self.slots:
            self.totals.release_request_id(slot.client_request_id, slot)
            self._count_slot(slot, 0)
        self.totals.unanswered_commands -= len(self.slots)
        self.slots.clear()
        self.queued.clear()
        self.output_buffered(0)
