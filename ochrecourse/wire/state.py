"""Which message may come when: the state of a connection and of each job or leg on it. Free of I/O.

A connection speaks of jobs (client and gateway) or of legs (gateway and node); both kinds share one form: the
asking side opens an id, higher than all before, and the answering side closes it with exactly one closing
message. Whoever holds a `ConnectionState` feeds it every message in the order in which it was sent or came.
What a table does not name is illegal and raises `ProtocolViolationError`, so an answer that comes twice or
for an id that was never opened can't reach a job.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

from ochrecourse.wire import messages as m


class ProtocolViolationError(Exception):
    """A message that may not come now. `code` is for counters, the text for people."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(text)
        self.code = code


class Role(IntEnum):
    """Who sent a message."""

    ASKING = 0
    ANSWERING = 1


class StreamState(IntEnum):
    """Where one id stands."""

    ASKED = 0  # opened, its body still coming
    WHOLE = 1  # opened, its body complete
    LEFT = 2  # the asking side stopped waiting; its closing message may be on the way
    ANSWERING = 3  # the answer began, its body still coming
    LEFT_ANSWERING = 4  # the same, after the asking side stopped waiting
    REFUSED = 5  # answered for good while its body was still coming; the rest is dropped
    CLOSED = 6


Move = tuple[StreamState, Role, type[m.Message]]
Table = Mapping[Move, StreamState]  # the state after each legal move
ASKING, ANSWERING = Role.ASKING, Role.ANSWERING


def _closing(answers: tuple[type[m.Message], ...], stop: type[m.Message]) -> dict[Move, StreamState]:
    table: dict[Move, StreamState] = {
        (StreamState.ASKED, ASKING, m.BodyChunk): StreamState.ASKED,
        (StreamState.ASKED, ASKING, stop): StreamState.LEFT,
        (StreamState.WHOLE, ASKING, stop): StreamState.LEFT,
        (StreamState.ANSWERING, ASKING, stop): StreamState.LEFT_ANSWERING,
        (StreamState.ANSWERING, ANSWERING, m.BodyChunk): StreamState.ANSWERING,
        (StreamState.LEFT_ANSWERING, ANSWERING, m.BodyChunk): StreamState.LEFT_ANSWERING,
    }
    table[StreamState.REFUSED, ASKING, m.BodyChunk] = StreamState.REFUSED
    table[StreamState.REFUSED, ASKING, stop] = StreamState.CLOSED
    for answer in answers:
        table[StreamState.ASKED, ANSWERING, answer] = StreamState.REFUSED
        for state in (StreamState.WHOLE, StreamState.LEFT, StreamState.ANSWERING, StreamState.LEFT_ANSWERING):
            table[state, ANSWERING, answer] = StreamState.CLOSED
    return table


ATTEMPT_TRANSITIONS: Table = {
    **_closing((m.AttemptFailed, m.AttemptRejected), m.CancelAttempt),
    (StreamState.WHOLE, ANSWERING, m.AttemptServed): StreamState.ANSWERING,
    (StreamState.LEFT, ANSWERING, m.AttemptServed): StreamState.LEFT_ANSWERING,
    (StreamState.LEFT, ANSWERING, m.AttemptCancelled): StreamState.CLOSED,
    (StreamState.LEFT_ANSWERING, ANSWERING, m.AttemptCancelled): StreamState.CLOSED,
    (StreamState.ANSWERING, ASKING, m.WindowUpdate): StreamState.ANSWERING,
    (StreamState.WHOLE, ANSWERING, m.HealthCheckReply): StreamState.CLOSED,
}  # between a gateway and a node

REQUEST_TRANSITIONS: Table = {
    **_closing((m.RequestRejected, m.RequestFailed, m.ErrorNotice), m.CancelRequest),
    (StreamState.WHOLE, ANSWERING, m.RequestServed): StreamState.ANSWERING,
    (StreamState.LEFT, ANSWERING, m.RequestServed): StreamState.LEFT_ANSWERING,
    (StreamState.LEFT, ANSWERING, m.RequestCancelled): StreamState.CLOSED,
    (StreamState.LEFT_ANSWERING, ANSWERING, m.RequestCancelled): StreamState.CLOSED,
}  # between a client and a gateway


APART = frozenset((m.Hello, m.GoAway, m.ErrorNotice))  # messages that may be about the connection itself
CROSSING = (
    m.CancelRequest,
    m.CancelAttempt,
    m.WindowUpdate,
)  # what the asking side may send before it has seen the answer


@dataclass(slots=True)
class Stream:
    """One id: its state and how many bytes of its two bodies are still to come."""

    state: StreamState
    ask_left: int
    answer_left: int = 0


class ConnectionState:
    """The state of one connection."""

    def __init__(self, table: Table, opens: tuple[type[m.Message], ...]) -> None:
        self.table = table
        self.opens = opens
        self.standing: dict[int, Stream] = {}
        self.highest = -1
        self.greeted: set[Role] = set()
        self.both = False  # both sides have said hello
        self.leaving: set[Role] = set()

    def step(self, side: Role, message: Any) -> StreamState | None:
        """Takes one message. Returns the state of its id after it, or None if it names none. Raises
        ProtocolViolationError.
        """
        kind = type(message)
        if self.both and kind not in APART:  # nearly all messages
            return self._open(side, message) if kind in self.opens else self._step(side, message)
        if kind is m.Hello:
            if side in self.greeted:
                raise ProtocolViolationError("second_hello", "hello came twice")
            if message.version != m.VERSION:
                raise ProtocolViolationError(
                    "version", f"speaks version {message.version}, this side version {m.VERSION}"
                )
            self.greeted.add(side)
            self.both = len(self.greeted) == len(Role)
            return None
        if side not in self.greeted:
            raise ProtocolViolationError("no_hello", f"{_name(message)} came before hello")
        if kind is m.GoAway:
            self.leaving.add(side)
            return None
        if kind is m.ErrorNotice and message.id < 0:
            return None
        return self._open(side, message) if kind in self.opens else self._step(side, message)

    def _open(self, side: Role, message: Any) -> StreamState:
        number = getattr(message, "id", -1)
        if side is not Role.ASKING:
            raise ProtocolViolationError(
                "wrong_side", f"{_name(message)} may not come from the answering side"
            )
        if self.leaving and side in self.leaving:
            raise ProtocolViolationError("after_bye", f"{_name(message)} {number} came after bye")
        if number <= self.highest:
            raise ProtocolViolationError(
                "repeated_id", f"{_name(message)} {number} came after {self.highest}; ids must rise"
            )
        self.highest = number
        left = max(0, getattr(message, "size", 0) - message.body)
        state = StreamState.ASKED if left else StreamState.WHOLE
        self.standing[number] = Stream(state, left)
        return state

    def _step(self, side: Role, message: Any) -> StreamState | None:
        number: int = getattr(message, "id", -1)
        at = self.standing.get(number)
        if at is None:
            over = 0 <= number <= self.highest
            if over and side is Role.ASKING and type(message) in CROSSING:
                return None  # it crossed the answer on the way, and means nothing any more
            known = "is over" if over else "was never opened"
            raise ProtocolViolationError(
                "over" if over else "never_opened", f"{_name(message)} for {number}, which {known}"
            )
        after = self.table.get((at.state, side, type(message)))
        if after is None:
            raise ProtocolViolationError(
                "illegal",
                f"{_name(message)} for {number}, which is {at.state.name.lower().replace('_', ' ')}",
            )
        if after in (StreamState.ANSWERING, StreamState.LEFT_ANSWERING) and side is Role.ANSWERING:
            if at.state not in (StreamState.ANSWERING, StreamState.LEFT_ANSWERING):
                at.answer_left = getattr(message, "size", 0)
            at.answer_left -= message.body
            if at.answer_left < 0:
                raise ProtocolViolationError(
                    "body_too_long", f"the answer to {number} is longer than it said"
                )
            if at.answer_left == 0:
                after = StreamState.CLOSED
        elif isinstance(message, m.BodyChunk):
            at.ask_left -= message.body
            if at.ask_left < 0:
                raise ProtocolViolationError("body_too_long", f"the body of {number} is longer than it said")
            if at.ask_left == 0:
                after = StreamState.WHOLE if after is StreamState.ASKED else StreamState.CLOSED
        if after is StreamState.CLOSED:
            del self.standing[number]
        else:
            at.state = after
        return after


def node_connection_state() -> ConnectionState:
    """For a connection between a gateway and a node."""
    return ConnectionState(ATTEMPT_TRANSITIONS, (m.SendAttempt, m.HealthCheck))


def client_connection_state() -> ConnectionState:
    """For a connection between a client and a gateway."""
    return ConnectionState(REQUEST_TRANSITIONS, (m.SubmitRequest,))


def _name(message: Any) -> str:
    return str(type(message).__struct_config__.tag)


class ListConnectionState(ConnectionState):
    """Between a gateway, which asks with `follow`, and a list server, which answers with lists for ever
    after.
    """

    def __init__(self) -> None:
        super().__init__({}, ())
        self.followed = False

    def step(self, side: Role, message: Any) -> StreamState | None:
        if isinstance(message, m.WatchEndpoints) and side is Role.ASKING and side in self.greeted:
            self.followed = True
            return None
        if isinstance(message, m.EndpointListMessage) and side is Role.ANSWERING and side in self.greeted:
            if not self.followed:
                raise ProtocolViolationError("not_followed", "a list came that nobody asked for")
            return None
        if isinstance(message, m.Hello | m.GoAway | m.ErrorNotice):
            return super().step(side, message)
        raise ProtocolViolationError(
            "illegal", f"{_name(message)} has no place on a list server's connection"
        )
