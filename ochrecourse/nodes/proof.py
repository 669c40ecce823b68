"""What an event on a node's connection proves about an attempt. One table; free of I/O.

Each way in which an attempt can end is one `Seen`; the table gives the `Ending` to report and what is known
of the attempt's effect. It claims no more than is known: a node starts an attempt only when it has the whole
of it (docs/node-protocol.md), so an attempt whose last byte was never handed to the network can't have run,
and one that was handed over may have.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from ochrecourse.interface import Ending


class Ran(Enum):
    """What is known of an attempt's effect."""

    NO = "nothing ran"
    MAYBE = "may have run"
    YES = "ran"


class Seen(Enum):
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
class Proof:
    """What to report, and what is known of the effect."""

    ending: Ending
    ran: Ran


PROVES: Mapping[Seen, Proof] = {
    Seen.UNLISTED: Proof(Ending.UNREACHABLE, Ran.NO),
    Seen.REFUSED: Proof(Ending.UNREACHABLE, Ran.NO),
    Seen.DIAL_TIMEOUT: Proof(Ending.UNREACHABLE, Ran.NO),
    Seen.NO_ROOM: Proof(Ending.MOOT, Ran.NO),
    Seen.CLOSED_BEFORE: Proof(Ending.UNREACHABLE, Ran.NO),
    Seen.CLOSED_DURING: Proof(Ending.UNREACHABLE, Ran.NO),
    Seen.CLOSED_AFTER: Proof(Ending.RESET, Ran.MAYBE),
    Seen.HALF_HEADER: Proof(Ending.RESET, Ran.MAYBE),
    Seen.HALF_BODY: Proof(Ending.RESET, Ran.YES),
    Seen.GARBLED: Proof(Ending.RESET, Ran.MAYBE),
    Seen.GARBLED_BEFORE: Proof(Ending.UNREACHABLE, Ran.NO),
    Seen.DONE: Proof(Ending.SERVED, Ran.YES),
    Seen.FAILED: Proof(Ending.ERROR, Ran.MAYBE),
    Seen.BROKE_OFF: Proof(Ending.RESET, Ran.YES),
    Seen.FULL: Proof(Ending.FULL, Ran.NO),
    Seen.NOT_STORED: Proof(Ending.MOOT, Ran.NO),
    Seen.TIMEOUT: Proof(Ending.TIMEOUT, Ran.MAYBE),
    Seen.TIMEOUT_BEFORE: Proof(Ending.UNREACHABLE, Ran.NO),
    Seen.CANCELLED_UNRUN: Proof(Ending.UNREACHABLE, Ran.NO),
    Seen.CANCELLED: Proof(Ending.WITHDRAWN, Ran.MAYBE),
    Seen.LEFT_BEFORE: Proof(Ending.MOOT, Ran.NO),
    Seen.CANCEL_UNANSWERED: Proof(Ending.WITHDRAWN, Ran.MAYBE),
}


class Written(Enum):
    """How much of an attempt was handed to the network."""

    NOTHING = 0
    PARTIAL = 1
    WHOLE = 2


class Close(Enum):
    """How a connection ended."""

    BETWEEN = "between messages"
    HALF_HEADER = "inside a header"
    GARBLED = "by a breach of the protocol"


def seen_at_close(written: Written, answering: bool, how: Close) -> Seen:
    """What the end of a connection means for one attempt that was out on it; `answering`: its answer had
    begun.
    """
    if answering:
        return Seen.HALF_BODY
    if how is Close.GARBLED:
        return Seen.GARBLED if written is Written.WHOLE else Seen.GARBLED_BEFORE
    if written is Written.NOTHING:
        return Seen.CLOSED_BEFORE
    if written is Written.PARTIAL:
        return Seen.CLOSED_DURING
    return Seen.HALF_HEADER if how is Close.HALF_HEADER else Seen.CLOSED_AFTER


def seen_at_timeout(written: Written, answering: bool) -> Seen:
    """What an attempt's time-out means; an answer that began and did not end in time is broken off."""
    if answering:
        return Seen.BROKE_OFF
    return Seen.TIMEOUT if written is Written.WHOLE else Seen.TIMEOUT_BEFORE
