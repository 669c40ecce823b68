"""A RESP2 connection to a storage node, which carries one attempt at a time
(nodes.outgoing_attempt.NodeConnection).

Attempts are not pipelined: one would wait for the reply before it, and cancelling it means closing the
connection. The connection is reused only if nothing arrives after a reply for a short delay.

Replies carry no id, and a node that stood still may send the duplicate of a reply after that delay. So a
reply that equals an earlier one of its connection is kept back until the node has answered a marker command,
which is written behind the attempt: nodes reply in order, so the last reply before the marker's is its own.
No requests may be lost at nodes that don't answer markers: until one was answered, markers are used only for
values that hardly come twice by themselves, and no more after a few that were not answered.
"""

from __future__ import annotations

from collections import deque
from typing import Any, NamedTuple

from twisted.internet.protocol import Protocol

from ochrecourse.common.runtime import Network, now_ns
from ochrecourse.common.time_units import MS
from ochrecourse.nodes.dial import connection_opener
from ochrecourse.nodes.dispatcher import Dispatcher, OpenConnection
from ochrecourse.nodes.outcome import ConnectionEnd
from ochrecourse.nodes.outgoing_attempt import OutgoingAttempt
from ochrecourse.nodes.pool import PooledConnection
from ochrecourse.resp.codec import ReplyParser, RespProtocolError, SimpleString, encode_command
from ochrecourse.resp.commands import RespRequest, parse_reply
from ochrecourse.wire import messages

REUSE_DELAY_SECONDS = 0.01  # between a reply and the next attempt; a duplicate reply may be some ms late
REMEMBERED_REPLIES = 16  # of one connection; a duplicate behind more later replies is not recognized
MIN_VALUE_BYTES = 8  # until a node has answered a marker: shorter values often equal an earlier one
MAX_UNANSWERED_MARKERS = 3  # before the first answer; a node that hangs doesn't answer either
MARKER = encode_command([b"SELECT", b"0"])  # no request and no probe
MARKER_REPLY = SimpleString(b"OK")  # never the reply to an attempt


class ReceivedReply(NamedTuple):
    """A complete reply."""

    message: messages.AttemptServed | messages.AttemptFailed | messages.AttemptRejected
    value: bytes

    def fingerprint(self) -> int:
        """Returns a number that is the same for a reply and its duplicate, whatever else they tell."""
        return hash((type(self.message), self.value))

    def is_short(self) -> bool:
        """Whether it may well equal an earlier reply without being its duplicate."""
        return len(self.value) < MIN_VALUE_BYTES


class MarkerSupport:
    """What is known of a gateway's nodes: whether they answer markers."""

    def __init__(self) -> None:
        self.answered = False  # at least once
        self.unanswered = 0  # markers whose attempt or connection ended before

    def allows(self, reply: ReceivedReply) -> bool:
        """Whether to send a marker for a reply that equals an earlier one."""
        if self.answered:
            return True
        return self.unanswered < MAX_UNANSWERED_MARKERS and not reply.is_short()


class RespNodeConnection(Protocol):
    """One RESP2 connection to a node. `markers` is shared by the connections of a gateway."""

    transport: Any  # Twisted's interfaces carry no types

    def __init__(
        self, dispatcher: Dispatcher, pooled: PooledConnection, markers: MarkerSupport | None = None
    ) -> None:
        self.dispatcher = dispatcher
        self.pooled = pooled
        self.markers = markers or MarkerSupport()
        self.handshake_complete = False  # whether the connection has been open
        self.connected = False
        self.malformed_reply = False
        self.attempt: OutgoingAttempt | None = None
        self.parser = ReplyParser()
        self.recent_replies: deque[int] = deque(maxlen=REMEMBERED_REPLIES)  # fingerprints, oldest first
        self.unconfirmed_reply: ReceivedReply | None = (
            None  # the attempt's reply or a duplicate of an earlier one
        )
        self.duplicates = 0  # of earlier replies, that were received during the attempt

    # --- nodes.outgoing_attempt.NodeConnection ---

    def send(self, attempt: OutgoingAttempt) -> None:
        """Writes the attempt's command with the remaining part of its timeout."""
        request = attempt.body
        assert isinstance(request, RespRequest)
        waited = now_ns(self.dispatcher.clock) - attempt.sent_at
        self.attempt, attempt.connection, attempt.stream_id = attempt, self, 1
        attempt.written = request.size
        self.transport.write(request.encode(round(attempt.message.timeout_ms * MS) - waited))

    def cancel(self, attempt: OutgoingAttempt) -> None:
        """Cancels the attempt by closing the connection, which the platform's nodes treat as a cancel."""
        self.attempt = None
        self._forget_unconfirmed()
        self.abort()

    def carries(self, attempt: OutgoingAttempt) -> bool:
        """Whether the connection carries this attempt."""
        return self.attempt is attempt

    def send_window_update(self, attempt: OutgoingAttempt, increment_bytes: int) -> None:
        """Does nothing: replies arrive complete and are not streamed."""

    def close(self) -> None:
        """Closes the connection once everything written has been sent."""
        if self.connected:
            self.transport.loseConnection()

    def abort(self) -> None:
        """Resets the connection."""
        if self.connected:
            self.dispatcher.connection_aborting(self)
            self.transport.abortConnection()

    # --- Twisted callbacks ---

    def connectionMade(self) -> None:
        """Reports an open connection to the dispatcher (Twisted callback)."""
        self.connected = self.handshake_complete = True
        if hasattr(self.transport, "setTcpNoDelay"):
            self.transport.setTcpNoDelay(True)
        self.dispatcher.connection_opened(self)

    def dataReceived(self, data: bytes) -> None:
        """Parses received bytes and reports a complete reply (Twisted callback)."""
        attempt = self.attempt
        if attempt is None:
            # A duplicate reply or noise must not be taken for the reply to the next attempt.
            self.dispatcher.counts["bytes behind an answer"] += 1
            self.abort()
            return
        try:
            self.parser.feed(data)
            reply = self._next_reply()
        except RespProtocolError as error:
            self.dispatcher.counts[f"nodes' breaches: {error.code}"] += 1
            self.malformed_reply = True
            self.abort()
            return
        if reply is None:
            return
        self.attempt = None
        self.recent_replies.append(reply.fingerprint())
        attempt.pooled = None  # the connection is released after the delay, not when the attempt ends
        if self.parser.has_unparsed_bytes() or self.duplicates:
            self.dispatcher.counts["bytes behind an answer"] += 1
            self.abort()
        else:
            self.dispatcher.clock.callLater(REUSE_DELAY_SECONDS, self._reuse_delay_over)
        self.dispatcher.response_received(attempt, reply.message, reply.value, True)

    def _next_reply(self) -> ReceivedReply | None:
        """Returns the attempt's reply, None until it is known. Raises RespProtocolError."""
        while (parsed := self.parser.next()) is not None:
            unconfirmed = self.unconfirmed_reply
            if unconfirmed is not None and parsed[0] == MARKER_REPLY:
                self.unconfirmed_reply = None
                self.markers.answered = True
                return unconfirmed
            reply = ReceivedReply(*parse_reply(parsed[0]))
            if unconfirmed is not None:
                if unconfirmed.fingerprint() not in self.recent_replies:
                    raise RespProtocolError("two_replies", "two replies to one attempt")
                self.duplicates += 1
            elif reply.fingerprint() in self.recent_replies and self.markers.allows(reply):
                self.transport.write(MARKER)
            else:
                return reply
            self.unconfirmed_reply = reply
        return None

    def _forget_unconfirmed(self) -> None:
        """Notes that the node did not answer a marker before its attempt ended.

        A further reply before the end shows that the first was a duplicate: the marker was right to be sent.
        """
        if self.unconfirmed_reply is not None:
            self.unconfirmed_reply = None
            self.markers.unanswered += not self.duplicates

    def _reuse_delay_over(self) -> None:
        # The event loop calls timers before it reads sockets: after it was blocked, input that arrived during
        # the delay may not be read yet. It is read before the calls of the next iteration.
        self.dispatcher.clock.callLater(0, self._release)

    def _release(self) -> None:
        """Makes the connection available for the next attempt."""
        if self.connected:
            self.dispatcher.connection_freed(self)

    def connectionLost(self, reason: Any = None) -> None:
        """Reports the end of the connection to the dispatcher (Twisted callback)."""
        self.connected = False
        self._forget_unconfirmed()
        attempts = [] if self.attempt is None else [self.attempt]
        self.attempt = None
        partial = self.parser.has_partial_message()
        end = ConnectionEnd.IN_HEADER if partial else ConnectionEnd.BETWEEN_MESSAGES
        if self.malformed_reply:
            end = ConnectionEnd.VIOLATION
        self.dispatcher.connection_closed(self, attempts, end)


def dialler(network: Network) -> OpenConnection:
    """Returns the function that opens connections to nodes that speak RESP2."""
    markers = MarkerSupport()

    def make_connection(dispatcher: Dispatcher, pooled: PooledConnection) -> RespNodeConnection:
        return RespNodeConnection(dispatcher, pooled, markers)

    return connection_opener(network, make_connection)
