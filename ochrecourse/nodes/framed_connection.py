"""A connection to a storage node in the framed protocol of docs/node-protocol.md.

It sends attempts, streams their bodies and receives responses; dispatcher.py interprets the messages.
"""

from __future__ import annotations

from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer

from ochrecourse.common.runtime import Network, Timer, stop
from ochrecourse.nodes.dial import connection_opener
from ochrecourse.nodes.dispatcher import Dispatcher, OpenConnection
from ochrecourse.nodes.outcome import ConnectionEnd
from ochrecourse.nodes.outgoing_attempt import OutgoingAttempt
from ochrecourse.nodes.pool import PooledConnection
from ochrecourse.wire import messages as m
from ochrecourse.wire.framed_protocol import FramedProtocol
from ochrecourse.wire.state import Role, StreamState, node_connection_state

CONFIRMATION_TIMEOUT_S = 2.0  # for a node to confirm a cancel or a close, before the connection is aborted


@implementer(IPushProducer)
class FramedConnection(FramedProtocol):
    """One connection to a node (nodes.outgoing_attempt.NodeConnection): sends attempts, streams their bodies
    under the transport's back-pressure, and reads responses.
    """

    def __init__(self, dispatcher: Dispatcher, pooled: PooledConnection) -> None:
        super().__init__(dispatcher.clock, Role.REQUESTER, node_connection_state())
        self.dispatcher = dispatcher
        self.pooled = pooled
        self.handshake_complete = False
        self.attempts: dict[int, OutgoingAttempt] = {}  # in flight, by stream id
        self.cancelled: dict[int, Timer] = {}  # by stream id: time-outs of unconfirmed cancels
        self.last_stream_id = 0
        self.uploads: list[OutgoingAttempt] = []  # with bytes of a body left to send, in round-robin order
        self.paused = False  # whether the transport's write buffer is full

    # --- nodes.outgoing_attempt.NodeConnection ---

    def send(self, attempt: OutgoingAttempt) -> None:
        """Sends the attempt with the first bytes of its body."""
        self.last_stream_id += 1
        attempt.stream_id, attempt.connection = self.last_stream_id, self
        self.attempts[attempt.stream_id] = attempt
        size = attempt.message.size
        first_bytes = attempt.body.read(0, m.MAX_BODY_BYTES) if attempt.body and size else b""
        attempt.message.id = attempt.stream_id
        attempt.written = len(first_bytes)
        self.send_message(attempt.message, first_bytes)
        if attempt.written < size:
            self.uploads.append(attempt)
            self.send_bodies()

    def cancel(self, attempt: OutgoingAttempt) -> None:
        """Sends a cancel for the attempt; the node must confirm it within `CONFIRMATION_TIMEOUT_S`."""
        self.attempts.pop(attempt.stream_id, None)
        if attempt in self.uploads:
            self.uploads.remove(attempt)
        self.send_message(m.CancelAttempt(id=attempt.stream_id))
        timer = self.clock.callLater(CONFIRMATION_TIMEOUT_S, self.abort)
        self.cancelled[attempt.stream_id] = timer

    def carries(self, attempt: OutgoingAttempt) -> bool:
        """Whether the attempt is in flight on this connection."""
        return attempt.stream_id in self.attempts

    def send_window_update(self, attempt: OutgoingAttempt, increment_bytes: int) -> None:
        """Allows the node to send `increment_bytes` more of the attempt's response."""
        self.send_message(m.WindowUpdate(id=attempt.stream_id, increment_bytes=increment_bytes))

    def close(self) -> None:
        """Closes the connection once everything written has been sent."""
        if self.is_open:
            self.send_message(m.GoAway(reason="idle"))
            self.transport.loseConnection()
            self.clock.callLater(CONFIRMATION_TIMEOUT_S, self.abort)

    # --- sending bodies, with back-pressure from the transport (IPushProducer) ---

    def send_bodies(self) -> None:
        """Sends one chunk of each body in turn until the transport pauses or all bodies are sent."""
        while self.uploads and not self.paused and self.is_open:
            attempt = self.uploads.pop(0)
            if attempt.ended or attempt.body is None:
                continue
            chunk = attempt.body.read(attempt.written, m.MAX_BODY_BYTES)
            attempt.written += len(chunk)
            self.send_message(m.BodyChunk(id=attempt.stream_id), chunk)
            if attempt.written < attempt.message.size:
                self.uploads.append(attempt)

    def pauseProducing(self) -> None:
        """Pauses the bodies while the transport's write buffer is full (Twisted callback)."""
        self.paused = True

    def resumeProducing(self) -> None:
        """Resumes sending bodies (Twisted callback)."""
        self.paused = False
        self.send_bodies()

    def stopProducing(self) -> None:
        """Stops sending bodies: the transport accepts no more writes (Twisted callback)."""
        self.paused = True

    # --- wire.framed_protocol.FramedProtocol ---

    def connection_ready(self) -> None:
        """Sends the gateway's hello; the connection counts as open once the node's hello arrives."""
        self.transport.registerProducer(self, True)
        hello = m.Hello(version=m.PROTOCOL_VERSION, role="gateway", name=self.dispatcher.name)
        self.send_message(hello)

    def message_received(self, message: m.AnyMessage, body: bytes, stream_state: StreamState | None) -> None:
        """Passes a message to the dispatcher."""
        if isinstance(message, m.Hello):
            self.handshake_complete = True
            self.dispatcher.connection_opened(self)
        elif isinstance(message, m.GoAway):
            self.dispatcher.connection_draining(self)
        elif isinstance(message, m.ErrorNotice):
            self.dispatcher.counts["faults told by nodes"] += 1
            self.abort()
        else:
            self._reply_received(message, body, stream_state)

    def _reply_received(self, message: m.AnyMessage, body: bytes, stream_state: StreamState | None) -> None:
        stream_id: int = message.id  # type: ignore[union-attr]  # the state table rejects messages without an id
        last = stream_state in (StreamState.CLOSED, StreamState.REJECTED)
        if stream_id in self.cancelled:
            self._late_reply(stream_id, message, last)
            return
        attempt = self.attempts[stream_id]
        if last:
            del self.attempts[stream_id]
        if stream_state is StreamState.REJECTED:
            if attempt in self.uploads:
                self.uploads.remove(attempt)
            self.send_message(m.CancelAttempt(id=stream_id))  # the rest of its body will not be sent
        self.dispatcher.response_received(attempt, message, body, last)

    def _late_reply(self, stream_id: int, message: m.AnyMessage, last: bool) -> None:
        """Drops a message for a cancelled attempt, and frees its capacity with the last one."""
        if not isinstance(message, m.AttemptCancelled):
            self.dispatcher.counts["late answers dropped"] += 1
        if last:
            stop(self.cancelled.pop(stream_id))
            self.dispatcher.connection_freed(self)

    def connection_ended(self, mid_message: bool) -> None:
        """Reports the end of the connection and the attempts in flight on it to the dispatcher."""
        for timer in self.cancelled.values():
            stop(timer)
        self.cancelled.clear()
        end = ConnectionEnd.IN_HEADER if mid_message else ConnectionEnd.BETWEEN_MESSAGES
        if self.failure is not None:
            end = ConnectionEnd.VIOLATION
        attempts, self.attempts = self.attempts, {}
        self.dispatcher.connection_closed(self, list(attempts.values()), end)


def dialler(network: Network) -> OpenConnection:
    """Returns the function that opens connections to nodes that speak the framed protocol."""
    return connection_opener(network, FramedConnection, accept_abandoned=True)
