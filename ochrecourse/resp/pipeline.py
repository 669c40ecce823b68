"""The pipelined commands of one client connection, with their reply slots in order. Performs no I/O.

Replies are written in the order of the commands, so each command has a reply slot in a queue. A bounded
number of requests of one connection run at once; more are queued. Queued bytes and unanswered commands are
limited per connection and in total. Over the limit on queued bytes, requests are rejected; exceeding the
limit on unanswered commands is a protocol error.

The memory that connections use together, for requests that are queued or running, for replies that wait for
others and for input that is not a whole command yet, has a limit that follows from the process's memory. A
connection may use as much as is left for all: the more connections use much, the less each may, and one that
uses none nearly always finds room. Beyond that its requests are rejected.
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
REQUEST_MEMORY_OVERHEAD_BYTES = 1_024  # the same of an open request, in addition, in the memory of all
PROCESS_BYTES = 41_943_040  # memory of a process without requests, with its connections
MIN_MEMORY_LIMIT = 4_194_304  # bytes; the least limit, however little the process may use
MAX_MEMORY_LIMIT = 67_108_864  # bytes; the highest limit
REQUEST_MEMORY_SHARE = 0.5  # of the rest of the memory; the interpreter does not return all that it has freed
REPLY_SIZE_SMOOTHING = 0.05  # weight of the newest value in the expected size of a reply


def memory_limit(memory_mb: int) -> int:
    """Returns the limit in bytes for connections; `memory_mb`: of the process, 0 if it is not known."""
    if not memory_mb:
        return MAX_MEMORY_LIMIT
    share = (memory_mb * 1_000_000 - PROCESS_BYTES) * REQUEST_MEMORY_SHARE
    return round(min(MAX_MEMORY_LIMIT, max(MIN_MEMORY_LIMIT, share)))


class ReplySlot:
    """A command's entry in the queue of replies."""

    __slots__ = ("client_request_id", "memory_bytes", "place", "queued_request", "reply")

    def __init__(
        self,
        client_request_id: bytes = b"",
        reply: bytes | None = None,
        queued_request: Request | None = None,
    ) -> None:
        self.client_request_id = client_request_id  # empty for a command without a request
        self.reply = reply  # None until the command is answered
        self.queued_request = queued_request  # None once it is started
        self.memory_bytes = 0  # of its request, then of its reply
        self.place = 0  # reserved in the order of its key, from `Gateway.reserve_place`

    def queued_bytes(self) -> int:
        """Returns the memory in bytes that its queued request uses."""
        body = self.queued_request.body if self.queued_request is not None else None
        return QUEUED_REQUEST_OVERHEAD_BYTES + (body.size if body is not None else 0)


class PipelineTotals:
    """Shared by the pipelines of all connections: totals, and the ids of open requests."""

    def __init__(self, memory_limit: int = MAX_MEMORY_LIMIT) -> None:
        self.unanswered_commands = 0
        self.queued_bytes = 0
        self.memory_bytes = 0
        self.memory_limit = memory_limit
        self.reply_size = 0.0  # expected, bytes; the running mean of values
        self.open_request_ids: dict[bytes, ReplySlot] = {}

    def release_request_id(self, client_request_id: bytes, slot: ReplySlot) -> None:
        """Releases a request's id, unless a later request with the same id uses it."""
        if self.open_request_ids.get(client_request_id) is slot:
            del self.open_request_ids[client_request_id]


class CommandPipeline:
    """One connection's unanswered commands, oldest first, and its queued requests."""

    __slots__ = ("input_bytes", "memory_bytes", "queued", "queued_bytes", "running", "slots", "totals")

    def __init__(self, totals: PipelineTotals) -> None:
        self.totals = totals
        self.slots: deque[ReplySlot] = deque()
        self.queued: deque[ReplySlot] = deque()  # of these, requests not yet submitted to the gateway
        self.queued_bytes = 0
        self.running = 0  # started requests whose replies are not written
        self.memory_bytes = 0  # in all: of slots and of input
        self.input_bytes = 0  # received and not handled yet

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
        memory_bytes = size + REQUEST_MEMORY_OVERHEAD_BYTES
        if self.slots:  # its reply may have to wait for those before it
            memory_bytes += round(totals.reply_size)
        if not self._has_room(memory_bytes):
            return False
        if write_blocked or self.running + len(self.queued) >= MAX_RUNNING_REQUESTS:
            if self.queued_bytes + size > MAX_QUEUED_BYTES:
                return False
            if totals.queued_bytes + size > MAX_QUEUED_BYTES_TOTAL:
                return False
        self.slots.append(slot)
        self._set_slot_memory(slot, memory_bytes)
        totals.unanswered_commands += 1
        self.queued.append(slot)
        self.queued_bytes += size
        totals.queued_bytes += size
        totals.open_request_ids[slot.client_request_id] = slot
        return True

    def _has_room(self, size: int) -> bool:
        """Whether the connection may use `size` more bytes."""
        totals = self.totals
        if self.memory_bytes == self.input_bytes:  # nothing is open: it may use what others leave to it
            return totals.memory_bytes + size <= 2 * totals.memory_limit
        return self.memory_bytes + size <= totals.memory_limit - totals.memory_bytes

    def _set_slot_memory(self, slot: ReplySlot, size: int) -> None:
        """Counts `size` bytes for a command in place of what was counted for it."""
        self._count_memory(size - slot.memory_bytes)
        slot.memory_bytes = size

    def _count_memory(self, size: int) -> None:
        self.memory_bytes += size
        self.totals.memory_bytes += size

    def input_buffered(self, size: int) -> None:
        """Counts the bytes of input that are buffered."""
        self._count_memory(size - self.input_bytes)
        self.input_bytes = size

    def value_received(self, size: int) -> None:
        """Updates the expected size of replies."""
        self.totals.reply_size += REPLY_SIZE_SMOOTHING * (size - self.totals.reply_size)

    def can_start(self) -> bool:
        """Whether a request is queued and may be started."""
        return bool(self.queued) and self.running < MAX_RUNNING_REQUESTS

    def start_next(self) -> tuple[ReplySlot, Request]:
        """Removes the oldest queued request from the queue and returns it; requires `can_start`."""
        return self._start(self.queued.popleft())

    def start_place(self, place: int) -> tuple[ReplySlot, Request] | None:
        """Removes the queued request with this place from the queue and returns it; None if there is none."""
        for slot in self.queued:
            if slot.place == place:
                self.queued.remove(slot)
                return self._start(slot)
        return None

    def _start(self, slot: ReplySlot) -> tuple[ReplySlot, Request]:
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
        self._set_slot_memory(slot, len(reply))
        self.totals.release_request_id(slot.client_request_id, slot)

    def take_ready_replies(self) -> list[bytes]:
        """Removes and returns the replies that are next in order."""
        slots = self.slots
        ready: list[bytes] = []
        while slots and slots[0].reply is not None:
            slot = slots.popleft()
            self.totals.unanswered_commands -= 1
            self.running -= bool(slot.client_request_id)
            self._count_memory(-slot.memory_bytes)
            ready.append(slot.reply or b"")
        return ready

    def awaits_replies(self) -> bool:
        """Whether any command has no reply yet."""
        return any(slot.reply is None for slot in self.slots)

    def reserved_places(self) -> list[int]:
        """Returns the places of queued requests in the order of their keys."""
        return [slot.place for slot in self.queued if slot.place]

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
        self.input_bytes = 0
        self._count_memory(-self.memory_bytes)
        self._clear_queue()

    def _clear_queue(self) -> None:
        self.queued.clear()
        self.totals.queued_bytes -= self.queued_bytes
        self.queued_bytes = 0
