"""What an event on a node's connection proves about an attempt. One table; free of I/O.

Each way in which an attempt can end is one `AttemptEvent`; the table gives the `Ending` to report and what
is known of the attempt's effect. It claims no more than is known: a node starts an attempt only when it has
the whole of it (docs/node-protocol.md), so an attempt whose last byte was never handed to the network can't
have run, and one that was handed over may have.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from ochrecourse.interface import Ending


class Executed(Enum):
    """What is known of an attempt's effect."""

    NO = "nothing ran"
    MAYBE = "may have run"
    YES = "ran"


class AttemptEvent(Enum):
    """How the gateway's side of an attempt ended."""

    UNLISTED = "the node is not in the list, or its address is not known"
    REFUSED = "the dial was refused"
    DIAL_TIMEOUT = "the dial, the node's hello with it, took too long"
    NO_ROOM = "all connections to the node are full and may not grow"
    CLOSED_BEFORE = "the connection closed before any of the attempt was written"
    CLOSED_DURING = "the connection closed while the attempt was being written"
    CLOSED_AFTER = "the connection closed after the attempt was written"
    HALF_HEADER = "the connection closed inside the header of an answer"
    HALF_BODY = "the connection closed inside the body of the answer"
    GARBLED = "the node broke the protocol after the attempt was written"
    GARBLED_BEFORE = "the node broke the protocol before the attempt was whole"
    DONE = "the node answered done, body and all"
    FAILED = "the node answered that it began the attempt and failed"
    BROKE_OFF = "the node broke its answer off after its first bytes"
    FULL = "the node turned the attempt away unseen"
    NOT_STORED = "the node does not hold the shard"
    TIMEOUT = "no answer in the attempt's time"
    TIMEOUT_BEFORE = "the attempt's time ran out before it was written whole"
    CANCELLED_UNRUN = "the node confirmed a cancel: nothing ran"
    CANCELLED = "the node confirmed a cancel: it may have run"
    LEFT_BEFORE = "the attempt was given up before it was written whole"
    CANCEL_UNANSWERED = "the attempt was given up without a word from the node"


@dataclass(frozen=True, slots=True)
class AttemptVerdict:
    """What to report, and what is known of the effect."""

    ending: Ending
    ran: Executed


VERDICTS: Mapping[AttemptEvent, AttemptVerdict] = {
    AttemptEvent.UNLISTED: AttemptVerdict(Ending.UNREACHABLE, Executed.NO),
    AttemptEvent.REFUSED: AttemptVerdict(Ending.UNREACHABLE, Executed.NO),
    AttemptEvent.DIAL_TIMEOUT: AttemptVerdict(Ending.UNREACHABLE, Executed.NO),
    AttemptEvent.NO_ROOM: AttemptVerdict(Ending.MOOT, Executed.NO),
    AttemptEvent.CLOSED_BEFORE: AttemptVerdict(Ending.UNREACHABLE, Executed.NO),
    AttemptEvent.CLOSED_DURING: AttemptVerdict(Ending.UNREACHABLE, Executed.NO),
    AttemptEvent.CLOSED_AFTER: AttemptVerdict(Ending.RESET, Executed.MAYBE),
    AttemptEvent.HALF_HEADER: AttemptVerdict(Ending.RESET, Executed.MAYBE),
    AttemptEvent.HALF_BODY: AttemptVerdict(Ending.RESET, Executed.YES),
    AttemptEvent.GARBLED: AttemptVerdict(Ending.RESET, Executed.MAYBE),
    AttemptEvent.GARBLED_BEFORE: AttemptVerdict(Ending.UNREACHABLE, Executed.NO),
    AttemptEvent.DONE: AttemptVerdict(Ending.SERVED, Executed.YES),
    AttemptEvent.FAILED: AttemptVerdict(Ending.ERROR, Executed.MAYBE),
    AttemptEvent.BROKE_OFF: AttemptVerdict(Ending.RESET, Executed.YES),
    AttemptEvent.FULL: AttemptVerdict(Ending.FULL, Executed.NO),
    AttemptEvent.NOT_STORED: AttemptVerdict(Ending.MOOT, Executed.NO),
    AttemptEvent.TIMEOUT: AttemptVerdict(Ending.TIMEOUT, Executed.MAYBE),
    AttemptEvent.TIMEOUT_BEFORE: AttemptVerdict(Ending.UNREACHABLE, Executed.NO),
    AttemptEvent.CANCELLED_UNRUN: AttemptVerdict(Ending.UNREACHABLE, Executed.NO),
    AttemptEvent.CANCELLED: AttemptVerdict(Ending.WITHDRAWN, Executed.MAYBE),
    AttemptEvent.LEFT_BEFORE: AttemptVerdict(Ending.MOOT, Executed.NO),
    AttemptEvent.CANCEL_UNANSWERED: AttemptVerdict(Ending.WITHDRAWN, Executed.MAYBE),
}


class WriteProgress(Enum):
    """How much of an attempt was handed to the network."""

    NOTHING = 0
    PARTIAL = 1
    WHOLE = 2


class ConnectionEnd(Enum):
    """How a connection ended."""

    BETWEEN = "between messages"
    HALF_HEADER = "inside a header"
    GARBLED = "by a breach of the protocol"


def event_at_close(written: WriteProgress, answering: bool, how: ConnectionEnd) -> AttemptEvent:
    """What the end of a connection means for one attempt that was out on it; `answering`: its answer had
    begun.
    """
    if answering:
        return AttemptEvent.HALF_BODY
    if how is ConnectionEnd.GARBLED:
        return AttemptEvent.GARBLED if written is WriteProgress.WHOLE else AttemptEvent.GARBLED_BEFORE
    if written is WriteProgress.NOTHING:
        return AttemptEvent.CLOSED_BEFORE
    if written is WriteProgress.PARTIAL:
        return AttemptEvent.CLOSED_DURING
    return AttemptEvent.HALF_HEADER if how is ConnectionEnd.HALF_HEADER else AttemptEvent.CLOSED_AFTER


def event_at_timeout(written: WriteProgress, answering: bool) -> AttemptEvent:
    """What an attempt's time-out means; an answer that began and did not end in time is broken off."""
    if answering:
        return AttemptEvent.BROKE_OFF
    return AttemptEvent.TIMEOUT if written is WriteProgress.WHOLE else AttemptEvent.TIMEOUT_BEFORE
