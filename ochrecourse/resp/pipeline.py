"""The pipelined commands of one client connection, with their reply slots in order. Performs no I/O.

Replies are written in the order of the commands, so each command has a reply slot in a queue. A bounded
number of requests of one connection run at once; more are queued. Queued bytes and unanswered commands are
limited per connection and in total. Over the limit on queued bytes, requests are rejected; exceeding the
limit on unanswered commands is a protocol error.
"""

from __future__ import annotations

from collections import deque

from ochrecourse.common.requests import Request
from ochrecourse.resp.codec import RespProtocolError

MAX_RUNNING_REQUESTS = 32  # of one connection: submitted, or with a reply that is not written yet
MAX_UNANSWERED_COMMANDS = 2_048  # of one connection; well-behaved clients send hundreds at once
# Above this total, no connection may have more than `MAX_RUNNING_REQUESTS`; each takes some 100 bytes.
MAX_UNANSWERED_COMMANDS_TOTAL = 65_536
MAX_QUEUED_BYTES = 8_388_608  # of requests queued on one connection: 128 of the largest
MAX_QUEUED_BYTES_TOTAL = 25_165_824  # of requests queued on all; a small fraction of a gateway's memory
QUEUED_REQUEST_OVERHEAD_BYTES = 1_024  # memory of a queued request in addition to its value


class ReplySlot:
    """A command's entry in the queue of replies."""

    __slots__ = ("client_request_id", "queued_request", "reply")

    def __init__(
        self,
        client_request_id: bytes = b"",
        reply: bytes | None = None,
        queued_request: Request | None = None,
    ) -> None:
        self.client_request_id = client_request_id  # empty for a command without a request
        self.reply = reply  # None until the command is answered
        self.queued_request = queued_request  # None once it is started

    def queued_bytes(self) -> int:
        """Returns the memory in bytes that its queued request uses."""
        body = self.queued_request.body if self.queued_request is not None else None
        return QUEUED_REQUEST_OVERHEAD_BYTES + (body.size if body is not None else 0)


class PipelineTotals:
    """Shared by the pipelines of all connections: totals, and the ids of open requests."""

    def __init__(self) -> None:
        self.unanswered_commands = 0
        self.queued_bytes = 0
        self.open_request_ids: dict[bytes, ReplySlot] = {}

    def release_request_id(self, client_request_id: bytes, slot: ReplySlot) -> None:
        """Releases a request's id, unless a later request with the same id uses it."""
        if self.open_request_ids.get(client_request_id) is slot:
            del self.open_request_ids[client_request_id]


class CommandPipeline:
    """One connection's unanswered commands, oldest first, and its queued requests."""

    __slots__ = ("queued", "queued_bytes", "running", "slots", "totals")

    def __init__(self, totals: PipelineTotals) -> None:
        self.totals = totals
        self.slots: deque[ReplySlot] = deque()
        self.queued: deque[ReplySlot] = deque()  # of these, requests not yet submitted to the gateway
        self.queued_bytes = 0
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
        self.slots.append(slot)
        self.totals.unanswered_commands += 1

    def enqueue(self, slot: ReplySlot, write_blocked: bool) -> bool:
        """Queues a request. Returns False if it can't start at once and there is no memory to queue it."""
        size = slot.queued_bytes()
        totals = self.totals
        if write_blocked or self.running + len(self.queued) >= MAX_RUNNING_REQUESTS:
            if self.queued_bytes + size > MAX_QUEUED_BYTES:
                return False
            if totals.queued_bytes + size > MAX_QUEUED_BYTES_TOTAL:
                return False
        self.slots.append(slot)
        totals.unanswered_commands += 1
        self.queued.append(slot)
        self.queued_bytes += size
        totals.queued_bytes += size
        totals.open_request_ids[slot.client_request_id] = slot
        return True

    def can_start(self) -> bool:
        """Whether a request is queued and may be started."""
        return bool(self.queued) and self.running < MAX_RUNNING_REQUESTS

    def start_next(self) -> tuple[ReplySlot, Request]:
        """Removes the oldest queued request from the queue and returns it; requires `can_start`."""
        slot = self.queued.popleft()
        size = slot.queued_bytes()
        self.queued_bytes -= size
        self.totals.queued_bytes -= size
        request, slot.queued_request = slot.queued_request, None
        assert request is not None  # every slot in the queue has one
        self.running += 1
        return slot, request

    def complete(self, slot: ReplySlot, reply: bytes) -> None:
        """Sets a command's reply."""
        slot.reply = reply
        self.totals.release_request_id(slot.client_request_id, slot)

    def take_ready_replies(self) -> list[bytes]:
        """Removes and returns the replies that are next in order."""
        slots = self.slots
        ready: list[bytes] = []
        while slots and slots[0].reply is not None:
            slot = slots.popleft()
            self.totals.unanswered_commands -= 1
            self.running -= bool(slot.client_request_id)
            ready.append(slot.reply or b"")
        return ready

    def awaits_replies(self) -> bool:
        """Whether any command has no reply yet."""
        return any(slot.reply is None for slot in self.slots)

    def reject_queued(self, reply: bytes) -> None:
        """Completes all queued requests with `reply`; none of them is started."""
        for slot in self.queued:
            self.complete(slot, reply)
            slot.client_request_id, slot.queued_request = b"", None  # so that it does not count as running
        self._clear_queue()

    def clear(self) -> None:
        """Removes all commands when the client has disconnected."""
        for slot in self.slots:
            self.totals.release_request_id(slot.client_request_id, slot)
        self.totals.unanswered_commands -= len(self.slots)
        self.slots.clear()
        self._clear_queue()

    def _clear_queue(self) -> None:
        self.queued.clear()
        self.totals.queued_bytes -= self.queued_bytes
        self.queued_bytes = 0
