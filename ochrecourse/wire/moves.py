"""Which message may come when: the state of a connection and of each job or leg on it. Free of I/O.

A connection speaks of jobs (client and gateway) or of legs (gateway and node); both kinds share one form: the
asking side opens an id, higher than all before, and the answering side closes it with exactly one closing
message. Whoever holds a `Moves` feeds it every message in the order in which it was sent or came. What a
table does not name is illegal and raises `IllegalMove`, so an answer that comes twice or for an id that was
never opened can't reach a job.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

from ochrecourse.wire import messages as m


class IllegalMove(Exception):
    """A message that may not come now. `code` is for counters, the text for people."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(text)
        self.code = code


class Side(IntEnum):
    """Who sent a message."""

    ASKING = 0
    ANSWERING = 1


class Open(IntEnum):
    """Where one id stands."""

    ASKED = 0  # opened, its body still coming
    WHOLE = 1  # opened, its body complete
    LEFT = 2  # the asking side stopped waiting; its closing message may be on the way
    ANSWERING = 3  # the answer began, its body still coming
    LEFT_ANSWERING = 4  # the same, after the asking side stopped waiting
    REFUSED = 5  # answered for good while its body was still coming; the rest is dropped
    CLOSED = 6


Move = tuple[Open, Side, type[m.Message]]
Table = Mapping[Move, Open]  # the state after each legal move
ASKING, ANSWERING = Side.ASKING, Side.ANSWERING


def _closing(answers: tuple[type[m.Message], ...], stop: type[m.Message]) -> dict[Move, Open]:
    table: dict[Move, Open] = {
        (Open.ASKED, ASKING, m.Part): Open.ASKED,
        (Open.ASKED, ASKING, stop): Open.LEFT,
        (Open.WHOLE, ASKING, stop): Open.LEFT,
        (Open.ANSWERING, ASKING, stop): Open.LEFT_ANSWERING,
        (Open.ANSWERING, ANSWERING, m.Part): Open.ANSWERING,
        (Open.LEFT_ANSWERING, ANSWERING, m.Part): Open.LEFT_ANSWERING,
    }
    table[Open.REFUSED, ASKING, m.Part] = Open.REFUSED
    table[Open.REFUSED, ASKING, stop] = Open.CLOSED
    for answer in answers:
        table[Open.ASKED, ANSWERING, answer] = Open.REFUSED
        for state in (Open.WHOLE, Open.LEFT, Open.ANSWERING, Open.LEFT_ANSWERING):
            table[state, ANSWERING, answer] = Open.CLOSED
    return table


LEG_MOVES: Table = {
    **_closing((m.Failed, m.Full), m.Cancel),
    (Open.WHOLE, ANSWERING, m.Done): Open.ANSWERING,
    (Open.LEFT, ANSWERING, m.Done): Open.LEFT_ANSWERING,
    (Open.LEFT, ANSWERING, m.Cancelled): Open.CLOSED,
    (Open.LEFT_ANSWERING, ANSWERING, m.Cancelled): Open.CLOSED,
    (Open.ANSWERING, ASKING, m.Credit): Open.ANSWERING,
    (Open.WHOLE, ANSWERING, m.Alive): Open.CLOSED,
}  # between a gateway and a node

JOB_MOVES: Table = {
    **_closing((m.Denied, m.WrittenOff, m.Fault), m.Leave),
    (Open.WHOLE, ANSWERING, m.Fulfilled): Open.ANSWERING,
    (Open.LEFT, ANSWERING, m.Fulfilled): Open.LEFT_ANSWERING,
    (Open.LEFT, ANSWERING, m.Left): Open.CLOSED,
    (Open.LEFT_ANSWERING, ANSWERING, m.Left): Open.CLOSED,
}  # between a client and a gateway


APART = frozenset((m.Hello, m.Bye, m.Fault))  # messages that may be about the connection itself
CROSSING = (m.Leave, m.Cancel, m.Credit)  # what the asking side may send before it has seen the answer


@dataclass(slots=True)
class Standing:
    """One id: its state and how many bytes of its two bodies are still to come."""

    state: Open
    ask_left: int
    answer_left: int = 0


class Moves:
    """The state of one connection."""

    def __init__(self, table: Table, opens: tuple[type[m.Message], ...]) -> None:
        self.table = table
        self.opens = opens
        self.standing: dict[int, Standing] = {}
        self.highest = -1
        self.greeted: set[Side] = set()
        self.both = False  # both sides have said hello
        self.leaving: set[Side] = set()

    def step(self, side: Side, message: Any) -> Open | None:
        """Takes one message. Returns the state of its id after it, or None if it names none. Raises
        IllegalMove.
        """
        kind = type(message)
        if self.both and kind not in APART:  # nearly all messages
            return self._open(side, message) if kind in self.opens else self._step(side, message)
        if kind is m.Hello:
            if side in self.greeted:
                raise IllegalMove("second_hello", "hello came twice")
            if message.version != m.VERSION:
                raise IllegalMove(
                    "version", f"speaks version {message.version}, this side version {m.VERSION}"
                )
            self.greeted.add(side)
            self.both = len(self.greeted) == len(Side)
            return None
        if side not in self.greeted:
            raise IllegalMove("no_hello", f"{_name(message)} came before hello")
        if kind is m.Bye:
            self.leaving.add(side)
            return None
        if kind is m.Fault and message.id < 0:
            return None
        return self._open(side, message) if kind in self.opens else self._step(side, message)

    def _open(self, side: Side, message: Any) -> Open:
        number = getattr(message, "id", -1)
        if side is not Side.ASKING:
            raise IllegalMove("wrong_side", f"{_name(message)} may not come from the answering side")
        if self.leaving and side in self.leaving:
            raise IllegalMove("after_bye", f"{_name(message)} {number} came after bye")
        if number <= self.highest:
            raise IllegalMove(
                "repeated_id", f"{_name(message)} {number} came after {self.highest}; ids must rise"
            )
        self.highest = number
        left = max(0, getattr(message, "size", 0) - message.body)
        state = Open.ASKED if left else Open.WHOLE
        self.standing[number] = Standing(state, left)
        return state

    def _step(self, side: Side, message: Any) -> Open | None:
        number: int = getattr(message, "id", -1)
        at = self.standing.get(number)
        if at is None:
            over = 0 <= number <= self.highest
            if over and side is Side.ASKING and type(message) in CROSSING:
                return None  # it crossed the answer on the way, and means nothing any more
            known = "is over" if over else "was never opened"
            raise IllegalMove(
                "over" if over else "never_opened", f"{_name(message)} for {number}, which {known}"
            )
        after = self.table.get((at.state, side, type(message)))
        if after is None:
            raise IllegalMove(
                "illegal",
                f"{_name(message)} for {number}, which is {at.state.name.lower().replace('_', ' ')}",
            )
        if after in (Open.ANSWERING, Open.LEFT_ANSWERING) and side is Side.ANSWERING:
            if at.state not in (Open.ANSWERING, Open.LEFT_ANSWERING):
                at.answer_left = getattr(message, "size", 0)
            at.answer_left -= message.body
            if at.answer_left < 0:
                raise IllegalMove("body_too_long", f"the answer to {number} is longer than it said")
            if at.answer_left == 0:
                after = Open.CLOSED
        elif isinstance(message, m.Part):
            at.ask_left -= message.body
            if at.ask_left < 0:
                raise IllegalMove("body_too_long", f"the body of {number} is longer than it said")
            if at.ask_left == 0:
                after = Open.WHOLE if after is Open.ASKED else Open.CLOSED
        if after is Open.CLOSED:
            del self.standing[number]
        else:
            at.state = after
        return after


def leg_moves() -> Moves:
    """For a connection between a gateway and a node."""
    return Moves(LEG_MOVES, (m.LegSent, m.Probe))


def job_moves() -> Moves:
    """For a connection between a client and a gateway."""
    return Moves(JOB_MOVES, (m.JobAsked,))


def _name(message: Any) -> str:
    return str(type(message).__struct_config__.tag)


class ListMoves(Moves):
    """Between a gateway, which asks with `follow`, and a list server, which answers with lists for ever
    after.
    """

    def __init__(self) -> None:
        super().__init__({}, ())
        self.followed = False

    def step(self, side: Side, message: Any) -> Open | None:
        if isinstance(message, m.Follow) and side is Side.ASKING and side in self.greeted:
            self.followed = True
            return None
        if isinstance(message, m.NodeList) and side is Side.ANSWERING and side in self.greeted:
            if not self.followed:
                raise IllegalMove("not_followed", "a list came that nobody asked for")
            return None
        if isinstance(message, m.Hello | m.Bye | m.Fault):
            return super().step(side, message)
        raise IllegalMove("illegal", f"{_name(message)} has no place on a list server's connection")
