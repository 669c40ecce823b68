"""The protocol's state machines for connections and the streams on them. Performs no I/O.

A stream is one request (between a client and a gateway) or one attempt (between a gateway and a node) and has
an id. The requester opens a stream with an id higher than all before; the responder closes it with exactly
one closing message. The owner of a `ConnectionState` applies every message to it in the order in which they
were sent or received. A transition that is not in the tables raises `ProtocolViolationError`, so a second
response, or one for an id that was never opened, can't reach a request.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

from ochrecourse.wire import messages as m
from ochrecourse.wire.errors import ProtocolViolationError


class Role(IntEnum):
    """Which side of a connection sent a message."""

    REQUESTER = 0
    RESPONDER = 1


class StreamState(IntEnum):
    """The state of one stream."""

    OPENING = 0  # opened; more of the request's body follows
    COMPLETE = 1  # opened; the request's body is complete
    CANCELLED = 2  # cancelled by the requester; a closing message may be in flight
    RESPONDING = 3  # the response began; more of its body follows
    CANCELLED_RESPONDING = 4  # the same, after a cancel by the requester
    REJECTED = 5  # closed by the responder while the request's body was arriving; the rest is dropped
    CLOSED = 6


# These texts are sent to peers in error notices and use the protocol's terms.
STATE_TEXTS: Mapping[StreamState, str] = {
    StreamState.OPENING: "asked",
    StreamState.COMPLETE: "whole",
    StreamState.CANCELLED: "left",
    StreamState.RESPONDING: "answering",
    StreamState.CANCELLED_RESPONDING: "left answering",
    StreamState.REJECTED: "refused",
    StreamState.CLOSED: "closed",
}

Transition = tuple[StreamState, Role, type[m.Message]]
TransitionTable = Mapping[Transition, StreamState]  # the state after each legal message

REQUESTER, RESPONDER = Role.REQUESTER, Role.RESPONDER
RESPONSE_STATES = (StreamState.RESPONDING, StreamState.CANCELLED_RESPONDING)


def _transitions(
    closing_messages: tuple[type[m.Message], ...], cancel_message: type[m.Message]
) -> dict[Transition, StreamState]:
    """Returns the transitions that both kinds of stream share."""
    table: dict[Transition, StreamState] = {
        (StreamState.OPENING, REQUESTER, m.BodyChunk): StreamState.OPENING,
        (StreamState.OPENING, REQUESTER, cancel_message): StreamState.CANCELLED,
        (StreamState.COMPLETE, REQUESTER, cancel_message): StreamState.CANCELLED,
        (StreamState.RESPONDING, REQUESTER, cancel_message): StreamState.CANCELLED_RESPONDING,
        (StreamState.RESPONDING, RESPONDER, m.BodyChunk): StreamState.RESPONDING,
        (StreamState.CANCELLED_RESPONDING, RESPONDER, m.BodyChunk): StreamState.CANCELLED_RESPONDING,
        (StreamState.REJECTED, REQUESTER, m.BodyChunk): StreamState.REJECTED,
        (StreamState.REJECTED, REQUESTER, cancel_message): StreamState.CLOSED,
    }
    for message_type in closing_messages:
        table[StreamState.OPENING, RESPONDER, message_type] = StreamState.REJECTED
        table[StreamState.COMPLETE, RESPONDER, message_type] = StreamState.CLOSED
        table[StreamState.CANCELLED, RESPONDER, message_type] = StreamState.CLOSED
        table[StreamState.RESPONDING, RESPONDER, message_type] = StreamState.CLOSED
        table[StreamState.CANCELLED_RESPONDING, RESPONDER, message_type] = StreamState.CLOSED
    return table


# Between a gateway and a node.
ATTEMPT_TRANSITIONS: TransitionTable = {
    **_transitions((m.AttemptFailed, m.AttemptRejected), m.CancelAttempt),
    (StreamState.COMPLETE, RESPONDER, m.AttemptServed): StreamState.RESPONDING,
    (StreamState.CANCELLED, RESPONDER, m.AttemptServed): StreamState.CANCELLED_RESPONDING,
    (StreamState.CANCELLED, RESPONDER, m.AttemptCancelled): StreamState.CLOSED,
    (StreamState.CANCELLED_RESPONDING, RESPONDER, m.AttemptCancelled): StreamState.CLOSED,
    (StreamState.RESPONDING, REQUESTER, m.WindowUpdate): StreamState.RESPONDING,
    (StreamState.COMPLETE, RESPONDER, m.HealthCheckReply): StreamState.CLOSED,
}

# Between a client and a gateway.
REQUEST_TRANSITIONS: TransitionTable = {
    **_transitions((m.RequestRejected, m.RequestFailed, m.ErrorNotice), m.CancelRequest),
    (StreamState.COMPLETE, RESPONDER, m.RequestServed): StreamState.RESPONDING,
    (StreamState.CANCELLED, RESPONDER, m.RequestServed): StreamState.CANCELLED_RESPONDING,
    (StreamState.CANCELLED, RESPONDER, m.RequestCancelled): StreamState.CLOSED,
    (StreamState.CANCELLED_RESPONDING, RESPONDER, m.RequestCancelled): StreamState.CLOSED,
}

# Messages that may concern the connection instead of a stream.
CONNECTION_MESSAGES = frozenset((m.Hello, m.GoAway, m.ErrorNotice))
# Messages that a requester may send before it has received the closing message of the stream.
CROSSING_MESSAGES = (m.CancelRequest, m.CancelAttempt, m.WindowUpdate)


@dataclass(slots=True)
class Stream:
    """One stream: its state and the remaining bytes of its two bodies."""

    state: StreamState
    request_bytes_left: int
    response_bytes_left: int = 0


class ConnectionState:
    """The state of one connection: the handshake, graceful closes, and all open streams by id.

    `opening_messages`: the messages that open a stream.
    """

    def __init__(self, table: TransitionTable, opening_messages: tuple[type[m.Message], ...]) -> None:
        self.table = table
        self.opening_messages = opening_messages
        self.streams: dict[int, Stream] = {}
        self.highest_id = -1
        self.hello_senders: set[Role] = set()  # sides that sent hello
        self.handshake_complete = False
        self.going_away: set[Role] = set()

    def apply(self, sender: Role, message: Any) -> StreamState | None:
        """Applies one message. Returns the state of its stream after it, None if it has none.

        Raises ProtocolViolationError for a message that is not legal in the current state.
        """
        message_type = type(message)
        if self.handshake_complete and message_type not in CONNECTION_MESSAGES:  # nearly all messages
            return self._apply_to_stream(sender, message)
        if message_type is m.Hello:
            self._apply_hello(sender, message)
            return None
        if sender not in self.hello_senders:
            raise ProtocolViolationError("no_hello", f"{_wire_name(message)} came before hello")
        if message_type is m.GoAway:
            self.going_away.add(sender)
            return None
        if message_type is m.ErrorNotice and message.id < 0:
            return None
        return self._apply_to_stream(sender, message)

    def _apply_hello(self, sender: Role, message: m.Hello) -> None:
        if sender in self.hello_senders:
            raise ProtocolViolationError("second_hello", "hello came twice")
        if message.version != m.PROTOCOL_VERSION:
            text = f"speaks version {message.version}, this side version {m.PROTOCOL_VERSION}"
            raise ProtocolViolationError("version", text)
        self.hello_senders.add(sender)
        self.handshake_complete = len(self.hello_senders) == len(Role)

    def _apply_to_stream(self, sender: Role, message: Any) -> StreamState | None:
        if type(message) in self.opening_messages:
            return self._open_stream(sender, message)
        return self._advance_stream(sender, message)

    def _open_stream(self, sender: Role, message: Any) -> StreamState:
        stream_id = getattr(message, "id", -1)
        name = _wire_name(message)
        if sender is not Role.REQUESTER:
            raise ProtocolViolationError("wrong_side", f"{name} may not come from the answering side")
        if sender in self.going_away:
            raise ProtocolViolationError("after_bye", f"{name} {stream_id} came after bye")
        if stream_id <= self.highest_id:
            text = f"{name} {stream_id} came after {self.highest_id}; ids must rise"
            raise ProtocolViolationError("repeated_id", text)
        self.highest_id = stream_id
        request_bytes_left = max(0, getattr(message, "size", 0) - message.body)
        state = StreamState.OPENING if request_bytes_left else StreamState.COMPLETE
        self.streams[stream_id] = Stream(state, request_bytes_left)
        return state

    def _advance_stream(self, sender: Role, message: Any) -> StreamState | None:
        stream_id: int = getattr(message, "id", -1)
        stream = self.streams.get(stream_id)
        if stream is None:
            self._check_closed_stream(sender, message, stream_id)
            return None
        state = self.table.get((stream.state, sender, type(message)))
        if state is None:
            text = f"{_wire_name(message)} for {stream_id}, which is {STATE_TEXTS[stream.state]}"
            raise ProtocolViolationError("illegal", text)
        if sender is Role.RESPONDER and state in RESPONSE_STATES:
            state = _count_response_bytes(stream, stream_id, message, state)
        elif isinstance(message, m.BodyChunk):
            state = _count_request_bytes(stream, stream_id, message, state)
        if state is StreamState.CLOSED:
            del self.streams[stream_id]
        else:
            stream.state = state
        return state

    def _check_closed_stream(self, sender: Role, message: Any, stream_id: int) -> None:
        """Accepts a message that was sent before the closing one was received.

        Raises ProtocolViolationError for any other.
        """
        was_open = 0 <= stream_id <= self.highest_id
        if was_open and sender is Role.REQUESTER and type(message) in CROSSING_MESSAGES:
            return
        if was_open:
            raise ProtocolViolationError("over", f"{_wire_name(message)} for {stream_id}, which is over")
        text = f"{_wire_name(message)} for {stream_id}, which was never opened"
        raise ProtocolViolationError("never_opened", text)


def _count_response_bytes(stream: Stream, stream_id: int, message: Any, state: StreamState) -> StreamState:
    """Counts response bytes; returns the stream's state, which is closed after the last of them."""
    if stream.state not in RESPONSE_STATES:
        stream.response_bytes_left = getattr(message, "size", 0)
    stream.response_bytes_left -= message.body
    if stream.response_bytes_left < 0:
        raise ProtocolViolationError("body_too_long", f"the answer to {stream_id} is longer than it said")
    return state if stream.response_bytes_left else StreamState.CLOSED


def _count_request_bytes(
    stream: Stream, stream_id: int, message: m.BodyChunk, state: StreamState
) -> StreamState:
    """Counts request bytes; returns the state of the stream, completed or closed by the last of them."""
    stream.request_bytes_left -= message.body
    if stream.request_bytes_left < 0:
        raise ProtocolViolationError("body_too_long", f"the body of {stream_id} is longer than it said")
    if stream.request_bytes_left:
        return state
    return StreamState.COMPLETE if state is StreamState.OPENING else StreamState.CLOSED


def _wire_name(message: Any) -> str:
    """Returns the name of a message in the protocol, its field "m"."""
    return str(type(message).__struct_config__.tag)


def node_connection_state() -> ConnectionState:
    """Returns the initial state of a connection between a gateway and a node."""
    return ConnectionState(ATTEMPT_TRANSITIONS, (m.SendAttempt, m.HealthCheck))


def client_connection_state() -> ConnectionState:
    """Returns the initial state of a connection between a client and a gateway."""
    return ConnectionState(REQUEST_TRANSITIONS, (m.SubmitRequest,))


class ListConnectionState(ConnectionState):
    """The state of a connection between a gateway and a list server.

    The gateway sends `WatchEndpoints`; from then on the list server sends lists.
    """

    def __init__(self) -> None:
        super().__init__({}, ())
        self.watching = False

    def apply(self, sender: Role, message: Any) -> StreamState | None:
        """Applies one message; returns None, as there are no streams. Raises ProtocolViolationError."""
        if (
            isinstance(message, m.WatchEndpoints)
            and sender is Role.REQUESTER
            and sender in self.hello_senders
        ):
            self.watching = True
            return None
        if (
            isinstance(message, m.EndpointListMessage)
            and sender is Role.RESPONDER
            and sender in self.hello_senders
        ):
            if not self.watching:
                raise ProtocolViolationError("not_followed", "a list came that nobody asked for")
            return None
        if isinstance(message, m.Hello | m.GoAway | m.ErrorNotice):
            return super().apply(sender, message)
        raise ProtocolViolationError(
            "illegal", f"{_wire_name(message)} has no place on a list server's connection"
        )
