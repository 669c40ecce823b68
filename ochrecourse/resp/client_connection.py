"""One client's RESP2 connection: reads pipelined commands and writes replies in the order of the commands.

All input is read as it arrives, however many commands are unanswered. Otherwise a client's close, which comes
after its bytes or is not even sent until they are read, would be noticed late. pipeline.py bounds what
accumulates. A protocol error is reported in one error line after the pending replies, and ends only its own
connection; complete commands that arrive behind it until then are rejected. A client that closes its
connection or its sending side cancels all its requests.
"""

from __future__ import annotations

from typing import Any

from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Protocol
from zope.interface import implementer

from ochrecourse.common.client_input import ClientInput, client_input
from ochrecourse.common.errors import without_traceback
from ochrecourse.common.paced_connection import MAX_READ_BYTES, PacedConnection
from ochrecourse.common.runtime import Timer, now_ns, stop
from ochrecourse.common.requests import BadRequestError, Request
from ochrecourse.resp.codec import CommandParser, RespProtocolError
from ochrecourse.resp.command_reader import CommandReader
from ochrecourse.resp.command_timer import CommandTimer
from ochrecourse.resp.commands import parse_command
from ochrecourse.resp.connection_owner import ConnectionOwner
from ochrecourse.resp.input_gate import InputGate
from ochrecourse.resp.input_turns import COMMANDS_PER_READ
from ochrecourse.resp.lingering_close import LingeringClose
from ochrecourse.resp.pipeline import CommandPipeline, ReplySlot
from ochrecourse.resp.replies import (
    BUSY_REPLY,
    FAILED_REPLY,
    PONG_REPLY,
    TOO_LATE_REPLY,
    TOO_MANY_CONNECTIONS_REPLY,
    busy_reply,
    error_reply,
)


@implementer(IPushProducer)
class RespClientConnection(Protocol):
    """One client's connection, and the response handler of all its requests."""

    transport: Any  # Twisted's interfaces carry no types

    def __init__(self, owner: ConnectionOwner) -> None:
        self.owner = owner
        self.gateway = owner.gateway
        self.clock = owner.clock
        self.pipeline = CommandPipeline(owner.totals)
        self.reader = CommandReader(self.pipeline)
        self.in_flight: dict[int, ReplySlot] = {}  # by the gateway's request id
        self.connected = False
        self.first_command_received = False
        self.protocol_error: RespProtocolError | None = None  # reported behind the replies that are due
        self.input_discarded = False  # further input is not parsed
        self.lingering_close: LingeringClose | None = None  # set while this side closes the connection
        self.write_blocked = False  # back-pressure: the client reads too slowly
        self.reading_paused = False  # complete commands may be buffered for the connection's next turn
        self.rejecting = False  # late in the shutdown: requests that have not started are rejected
        self.processing = False  # guards against re-entry while commands are parsed or started
        self.idle_since = 0.0  # clock time in s
        self._input_gate = InputGate(self.clock)
        self._command_timer = CommandTimer(self.clock, self._advance)
        self._iteration_timer: Timer | None = None

    @property
    def parser(self) -> CommandParser:
        """The parser of what has been received."""
        return self.reader.parser

    # --- Twisted callbacks ---

    def connectionMade(self) -> None:
        """Sets up an open connection (Twisted callback)."""
        self.connected = True
        if hasattr(self.transport, "setTcpNoDelay"):
            self.transport.setTcpNoDelay(True)  # before any write: a reset discards delayed data
        self.transport.registerProducer(self, True)
        self._limit_next_read()
        self._command_timer.connection_opened()
        self.owner.connection_opened(self)

    def dataReceived(self, data: bytes) -> None:
        """Parses received bytes (Twisted callback)."""
        if not self.input_discarded and self.connected:
            self.reader.feed(data)
            self._process_input()
        self._limit_next_read()

    def connectionLost(self, reason: Any = None) -> None:
        """Cancels all requests when the client closes its connection or sending side (Twisted callback)."""
        self.connected = False
        if self.lingering_close is not None:
            self.lingering_close.connection_lost()
        self._stop_timers()
        self.owner.input_turns.remove(self)
        self._command_timer.connection_lost()
        self.reader.reset()
        self.owner.connection_closed(self)
        in_flight, self.in_flight = self.in_flight, {}
        self.pipeline.remember_ids(
            slot for each, slot in in_flight.items() if self.gateway.may_have_run(each)
        )
        self.pipeline.clear()
        self.gateway.cancel_all(list(in_flight))

    def _stop_timers(self) -> None:
        self._command_timer.stop()
        stop(self._iteration_timer)
        self._iteration_timer = None

    # --- commands ---

    def _process_input(self) -> None:
        """Handles the first complete commands that were read; those beyond `COMMANDS_PER_READ` wait."""
        if not self.reading_paused and self.process_commands(COMMANDS_PER_READ):
            self.owner.input_turns.add(self)

    def process_commands(self, limit: int) -> bool:
        """Handles at most `limit` complete commands; returns whether more may be buffered."""
        if self.processing or self.input_discarded or not self.connected:
            return False
        self.processing = True
        try:
            self._parse_commands(limit)
        except RespProtocolError as error:
            self._end_input(error)
        finally:
            self.processing = False
        if self.pipeline.more_input and self.client_input() is ClientInput.READ:
            self.pipeline.more_input = self.parser.has_partial_message()
        self._advance()
        return self.reading_paused and bool(self.connected)

    def _parse_commands(self, limit: int) -> None:
        for _ in range(limit):
            arguments = self.reader.next()
            if arguments is None:
                self._resume_reading()
                return
            self._command_completed()
            self._handle_command(arguments)
            if self.parser.had_large_body and client_input(self.transport) is ClientInput.UNREAD:
                break  # another large one is likely to follow, and takes a turn of its own
        self._pause_reading()

    def _limit_next_read(self) -> None:
        """Limits the next read, so that few commands wait for their turn in memory."""
        if isinstance(self.transport, PacedConnection):
            unlimited = self.input_discarded
            self.transport.read_bytes = MAX_READ_BYTES if unlimited else self.parser.read_size()

    def _command_completed(self) -> None:
        self._command_timer.command_completed()
        if not self.first_command_received:
            self.first_command_received = True
            self.owner.connection_sent_command(self)

    def _pause_reading(self) -> None:
        if not self.reading_paused:
            self.reading_paused = self.pipeline.more_input = True
            self.transport.pauseProducing()

    def _resume_reading(self) -> None:
        if self.reading_paused:
            self.reading_paused = False
            self.transport.resumeProducing()

    def _schedule_iteration(self) -> None:
        """Schedules the start of queued requests for the event loop's next iteration."""
        if self._iteration_timer is None:
            self._iteration_timer = self.clock.callLater(0, self._next_iteration)

    def _next_iteration(self) -> None:
        self._iteration_timer = None
        self._advance()

    def _update_command_timer(self) -> None:
        """Starts or stops the time of a partial command; while reading is paused none of it counts."""
        is_partial = self.parser.has_partial_message() and not self.reading_paused
        self._command_timer.input_parsed(is_partial)

    def _handle_command(self, arguments: list[bytes]) -> None:
        """Queues or answers a command. Raises RespProtocolError if no further command can be accepted."""
        self.pipeline.check_command_limits()
        if arguments[0].upper() == b"PING" and len(arguments) == 1:
            self.pipeline.append(ReplySlot(reply=PONG_REPLY))
        elif self.protocol_error is not None:
            self.pipeline.append(ReplySlot(reply=BUSY_REPLY))
        else:
            self._handle_request(arguments)

    def _handle_request(self, arguments: list[bytes]) -> None:
        try:
            slot = self._parse_request(arguments)
        except RespProtocolError as error:
            self.pipeline.append(ReplySlot(reply=self._fail(error)))
            return
        if slot.client_request_id in self.pipeline.totals.recent_ids:
            self.pipeline.append(ReplySlot(reply=FAILED_REPLY))
            return
        if self.rejecting or self.parser.body_discarded or not self.pipeline.enqueue(slot):
            self.owner.counts["requests_without_memory"] += not self.rejecting
            self.pipeline.append(ReplySlot(reply=BUSY_REPLY))
            return
        self.owner.connection_busy(self)

    def _parse_request(self, arguments: list[bytes]) -> ReplySlot:
        """Returns the slot of a request that is not queued yet. Raises RespProtocolError."""
        request = parse_command(arguments, self.owner.request_classes, now_ns(self.clock))
        client_request_id = arguments[2]
        if client_request_id in self.pipeline.totals.open_request_ids:
            raise RespProtocolError("open_id", "the id of a request that is open")
        return ReplySlot(client_request_id, queued_request=request)

    def _start_queued(self) -> None:
        """Submits queued requests to the gateway, unless writing is blocked or too many are running.

        None is submitted while the client has unread input: a close may stand behind it.
        """
        if not self.pipeline.can_start():
            return
        if not self._input_gate.is_open(self.client_input()):
            if self._input_gate.waited_too_long():
                self.pipeline.reject_queued(BUSY_REPLY)
            return
        while not self.write_blocked and self.connected and self.pipeline.can_start():
            slot, request = self.pipeline.start_next()
            self._submit(slot, request)

    def client_input(self) -> ClientInput:
        """Returns how much of what the client sent has been read and handled."""
        if not self.connected:
            return ClientInput.CLOSED
        state = client_input(self.transport)
        return ClientInput.UNREAD if state is ClientInput.READ and self.reading_paused else state

    def _submit(self, slot: ReplySlot, request: Request) -> None:
        # The time in the queue behind others of its connection does not count against a request's timeout.
        request.read_at = now_ns(self.clock)
        request_id = self.gateway.next_request_id()
        self.in_flight[request_id] = slot  # before the call, which may deliver the reply before it returns
        try:
            self.gateway.submit(request, self, self.client_input)
        except BadRequestError as error:
            del self.in_flight[request_id]
            if error.code == "late_body":
                self.pipeline.complete(slot, TOO_LATE_REPLY)
            else:
                self.pipeline.complete(slot, self._fail(RespProtocolError(error.code, str(error))))
                self.pipeline.reject_queued(BUSY_REPLY)

    # --- protocol errors ---

    def _fail_overdue_command(self) -> None:
        """Fails the connection once the error line is next in order; a command may be complete by then."""
        if not self._command_timer.overdue or self.pipeline.awaits_replies():
            return
        if not self.first_command_received and not self.parser.has_partial_message():
            error = RespProtocolError("silent", "no command came")
        else:
            error = RespProtocolError("half_command", "a command did not come whole in its time")
        self._end_input(error)

    def _end_input(self, error: RespProtocolError) -> None:
        """Queues the error line after the pending replies, if it is the first, and discards further input."""
        if self.protocol_error is None:
            self.pipeline.append(ReplySlot(reply=self._fail(error)))
        self._discard_input()

    def _fail(self, error: RespProtocolError) -> bytes:
        """Records a protocol error, after which no request is accepted; returns the error line."""
        self.protocol_error = without_traceback(error)
        self.reader.keeps_bodies = False
        self.owner.counts[error.code] += 1
        self._command_timer.stop()
        return error_reply(error)

    def _discard_input(self) -> None:
        """Discards buffered and further input, which is still read to detect the client's close."""
        self.input_discarded = True
        self._stop_timers()
        self.reader.reset()
        self._resume_reading()

    # --- replies ---

    def _advance(self) -> None:
        """Starts queued requests, writes replies that are ready, and closes or schedules as needed."""
        if self.processing or self.lingering_close is not None or not self.connected:
            return
        self.processing = True  # replies delivered during the call are written below
        try:
            self._start_queued()
        finally:
            self.processing = False
        self._fail_overdue_command()
        self._write_ready_replies()
        if not self.write_blocked and self.pipeline.can_start():
            self._schedule_iteration()
        if self.protocol_error is not None:
            if not self.pipeline.slots and not self.reading_paused:
                self._begin_close()
        elif not (self.owner.shutting_down and self.close_if_idle()):
            self._update_command_timer()

    def _write_ready_replies(self) -> None:
        """Writes the replies that are next in order, unless the client's slow reading blocks writes."""
        if self.write_blocked and self.protocol_error is None and not self.rejecting:
            return
        ready = self.pipeline.take_ready_replies()
        if ready and self.connected:
            self.transport.write(b"".join(ready))
            self.output_sent()
            if not self.pipeline.slots:
                self.idle_since = self.clock.seconds()
                self.owner.connection_idle(self)

    def output_sent(self) -> None:
        """Counts the replies that are still unsent, after some were written or sent (PacedConnection)."""
        if self.connected and isinstance(self.transport, PacedConnection):
            self.pipeline.output_buffered(self.transport.unsent_bytes())

    # --- closing from this side ---

    def _is_idle(self) -> bool:
        """Whether a close loses nothing: no reply is pending, and no received input is unparsed."""
        if self.protocol_error is not None or self.lingering_close is not None or not self.connected:
            return False
        unparsed = self.reading_paused or (self.parser.has_partial_message() and not self.rejecting)
        return not self.pipeline.slots and not unparsed

    def close_if_idle(self) -> bool:
        """Closes an idle connection. Returns False if it is busy or if the client has just sent something."""
        if not self._is_idle() or self._read_pending_input():
            return False
        self._begin_close()
        return True

    def close_if_silent(self) -> bool:
        """Rejects a connection that sent no command. Returns False if the client has just sent something."""
        if self.protocol_error is not None or self.parser.has_partial_message():
            return False
        if self._read_pending_input():
            return False
        self.reject()
        return True

    def reject(self) -> None:
        """Closes a connection without requests at once, with an error line."""
        if self.connected and self.lingering_close is None:
            self.owner.counts["too_many_connections"] += 1
            self.transport.write(TOO_MANY_CONNECTIONS_REPLY)
            self._begin_close()

    def reject_queued(self) -> None:
        """Rejects queued requests and drops a partial command, since the process is about to exit."""
        self.rejecting = True
        self.pipeline.reject_queued(BUSY_REPLY)
        self._advance()

    def _read_pending_input(self) -> bool:
        """Reads what the socket has buffered, to avoid half-closing while a request is arriving.

        Returns True if there was any input; it is handled in the event loop's next iteration.
        """
        if self.rejecting or not hasattr(self.transport, "doRead"):
            return False
        self.processing = True
        try:
            self.transport.doRead()  # an end of input is found again by the event loop
        finally:
            self.processing = False
        if not self.parser.has_partial_message():
            return False
        self._pause_reading()
        self.owner.input_turns.add(self)
        return True

    def _begin_close(self) -> None:
        """Closes the connection so that the client can read the last reply, and discards further input."""
        self._discard_input()
        self.owner.connection_lingering(self)
        self.lingering_close = LingeringClose(
            self.transport, self.clock, self.write_blocked, self.owner.max_linger_seconds
        )
        self.owner.limit_lingering()

    # --- gateway.ResponseHandler ---

    def served(self, request_id: int, size: int, shard: int) -> None:
        """Begins a value of `size` bytes; an empty one is complete."""
        if not size:
            self.body_chunk(request_id, b"")

    def body_chunk(self, request_id: int, data: bytes) -> None:
        """Writes the complete value: RESP2 nodes' replies are not streamed."""
        slot = self.in_flight.pop(request_id, None)
        if slot is not None:
            self.pipeline.complete_with_value(slot, data)
            self._advance()

    def aborted(self, request_id: int) -> None:
        """Fails a request whose value ended before it was complete."""
        self._finish(request_id, FAILED_REPLY)

    def rejected(self, request_id: int, retry_after: int) -> None:
        """Rejects a request that was not executed; `retry_after` in ns, 0 for no advice."""
        self._finish(request_id, busy_reply(retry_after))

    def failed(self, request_id: int) -> None:
        """Fails a request that may have been executed."""
        self._finish(request_id, FAILED_REPLY)

    def deadline_passed(self, request_id: int) -> None:
        """Fails a request whose deadline passed while the event loop was blocked.

        Without a reply, the commands behind it would never be answered.
        """
        self._finish(request_id, FAILED_REPLY)

    def _finish(self, request_id: int, reply: bytes) -> None:
        slot = self.in_flight.pop(request_id, None)
        if slot is not None:
            self.pipeline.complete(slot, reply)
            self._advance()

    # --- back-pressure from the client (IPushProducer) ---

    def pauseProducing(self) -> None:
        """Blocks writes: the client reads too slowly (Twisted callback)."""
        self.write_blocked = True

    def resumeProducing(self) -> None:
        """Resumes writes: the client has read what was buffered (Twisted callback)."""
        self.write_blocked = False
        if self.lingering_close is not None:
            self.lingering_close.write_buffer_drained()
        else:
            self._advance()

    def stopProducing(self) -> None:
        """Blocks writes: the transport accepts no more (Twisted callback)."""
        self.write_blocked = True
