"""Maps the event that ended an attempt to its outcome. Performs no I/O.

Each way in which an attempt can end is one `AttemptEvent`. The table `VERDICTS` gives the `Ending` to report
and whether the attempt was executed, as far as that is certain: a node starts an attempt only when it is
complete (docs/node-protocol.md), so an attempt whose last byte was never written to the network can't have
run, and one that was written completely may have.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from ochrecourse.interface import Ending
from ochrecourse.wire import messages as m


class Executed(Enum):
    """Whether an attempt was executed. For documentation and tests; the scheduler uses the `Ending`."""

    NO = "nothing ran"
    MAYBE = "may have run"
    YES = "ran"


class AttemptEvent(Enum):
    """How an attempt ended on the gateway's side. The values are written to log lines."""

    UNLISTED = "the node is not in the list, or its address is not known"
    DIAL_REFUSED = "the dial was refused"
    DIAL_TIMEOUT = "the dial, the node's hello with it, took too long"
    NO_CAPACITY = "all connections to the node are full and may not grow"
    CLOSED_BEFORE_WRITE = "the connection closed before any of the attempt was written"
    CLOSED_DURING_WRITE = "the connection closed while the attempt was being written"
    CLOSED_AFTER_WRITE = "the connection closed after the attempt was written"
    CLOSED_IN_RESPONSE_HEADER = "the connection closed inside the header of an answer"
    CLOSED_IN_RESPONSE_BODY = "the connection closed inside the body of the answer"
    VIOLATION = "the node broke the protocol after the attempt was written"
    VIOLATION_BEFORE_WRITE = "the node broke the protocol before the attempt was whole"
    SERVED = "the node answered done, body and all"
    FAILED = "the node answered that it began the attempt and failed"
    RESPONSE_ABORTED = "the node broke its answer off after its first bytes"
    REJECTED = "the node turned the attempt away unseen"
    NOT_STORED = "the node does not hold the shard"
    TIMEOUT = "no answer in the attempt's time"
    TIMEOUT_BEFORE_WRITE = "the attempt's time ran out before it was written whole"
    CANCELLED_NOT_EXECUTED = "the node confirmed a cancel: nothing ran"
    CANCELLED = "the node confirmed a cancel: it may have run"
    CANCELLED_BEFORE_WRITE = "the attempt was given up before it was written whole"
    CLIENT_CLOSED = "the client has closed, before anything was written"
    CANCEL_UNCONFIRMED = "the attempt was given up without a word from the node"


@dataclass(frozen=True, slots=True)
class AttemptVerdict:
    """The ending to report of an attempt, and whether it was executed."""

    ending: Ending
    executed: Executed


VERDICTS: Mapping[AttemptEvent, AttemptVerdict] = {
    AttemptEvent.UNLISTED: AttemptVerdict(Ending.UNREACHABLE, Executed.NO),
    AttemptEvent.DIAL_REFUSED: AttemptVerdict(Ending.UNREACHABLE, Executed.NO),
    AttemptEvent.DIAL_TIMEOUT: AttemptVerdict(Ending.UNREACHABLE, Executed.NO),
    AttemptEvent.NO_CAPACITY: AttemptVerdict(Ending.MOOT, Executed.NO),
    AttemptEvent.CLOSED_BEFORE_WRITE: AttemptVerdict(Ending.UNREACHABLE, Executed.NO),
    AttemptEvent.CLOSED_DURING_WRITE: AttemptVerdict(Ending.UNREACHABLE, Executed.NO),
    AttemptEvent.CLOSED_AFTER_WRITE: AttemptVerdict(Ending.RESET, Executed.MAYBE),
    AttemptEvent.CLOSED_IN_RESPONSE_HEADER: AttemptVerdict(Ending.RESET, Executed.MAYBE),
    AttemptEvent.CLOSED_IN_RESPONSE_BODY: AttemptVerdict(Ending.RESET, Executed.YES),
    AttemptEvent.VIOLATION: AttemptVerdict(Ending.RESET, Executed.MAYBE),
    AttemptEvent.VIOLATION_BEFORE_WRITE: AttemptVerdict(Ending.UNREACHABLE, Executed.NO),
    AttemptEvent.SERVED: AttemptVerdict(Ending.SERVED, Executed.YES),
    AttemptEvent.FAILED: AttemptVerdict(Ending.ERROR, Executed.MAYBE),
    AttemptEvent.RESPONSE_ABORTED: AttemptVerdict(Ending.RESET, Executed.YES),
    AttemptEvent.REJECTED: AttemptVerdict(Ending.FULL, Executed.NO),
    AttemptEvent.NOT_STORED: AttemptVerdict(Ending.MOOT, Executed.NO),
    AttemptEvent.TIMEOUT: AttemptVerdict(Ending.TIMEOUT, Executed.MAYBE),
    AttemptEvent.TIMEOUT_BEFORE_WRITE: AttemptVerdict(Ending.UNREACHABLE, Executed.NO),
    AttemptEvent.CANCELLED_NOT_EXECUTED: AttemptVerdict(Ending.UNREACHABLE, Executed.NO),
    AttemptEvent.CANCELLED: AttemptVerdict(Ending.WITHDRAWN, Executed.MAYBE),
    AttemptEvent.CANCELLED_BEFORE_WRITE: AttemptVerdict(Ending.MOOT, Executed.NO),
    AttemptEvent.CLIENT_CLOSED: AttemptVerdict(Ending.MOOT, Executed.NO),
    AttemptEvent.CANCEL_UNCONFIRMED: AttemptVerdict(Ending.WITHDRAWN, Executed.MAYBE),
}


class WriteProgress(Enum):
    """How much of an attempt was written to the network."""

    NOTHING = 0
    PARTIAL = 1
    COMPLETE = 2


class ConnectionEnd(Enum):
    """How a connection ended."""

    BETWEEN_MESSAGES = "between messages"
    IN_HEADER = "inside a header"
    VIOLATION = "by a breach of the protocol"


def event_on_close(progress: WriteProgress, responding: bool, end: ConnectionEnd) -> AttemptEvent:
    """Returns the event for an attempt whose connection closed; `responding`: its response had begun."""
    if responding:
        return AttemptEvent.CLOSED_IN_RESPONSE_BODY
    complete = progress is WriteProgress.COMPLETE
    if end is ConnectionEnd.VIOLATION:
        return AttemptEvent.VIOLATION if complete else AttemptEvent.VIOLATION_BEFORE_WRITE
    if progress is WriteProgress.NOTHING:
        return AttemptEvent.CLOSED_BEFORE_WRITE
    if progress is WriteProgress.PARTIAL:
        return AttemptEvent.CLOSED_DURING_WRITE
    if end is ConnectionEnd.IN_HEADER:
        return AttemptEvent.CLOSED_IN_RESPONSE_HEADER
    return AttemptEvent.CLOSED_AFTER_WRITE


def event_on_timeout(progress: WriteProgress, responding: bool) -> AttemptEvent:
    """Returns the event for an attempt that timed out; `responding`: its response had begun."""
    if responding:
        return AttemptEvent.RESPONSE_ABORTED
    if progress is WriteProgress.COMPLETE:
        return AttemptEvent.TIMEOUT
    return AttemptEvent.TIMEOUT_BEFORE_WRITE


def event_on_cancel(progress: WriteProgress) -> AttemptEvent:
    """Returns the event for an attempt that the gateway cancels."""
    if progress is WriteProgress.COMPLETE:
        return AttemptEvent.CANCEL_UNCONFIRMED
    return AttemptEvent.CANCELLED_BEFORE_WRITE


def event_on_last_message(message: m.AnyMessage, responding: bool) -> AttemptEvent:
    """Returns the event for the node's last message for an attempt; `responding`: its response had begun."""
    if isinstance(message, m.AttemptServed | m.BodyChunk):
        return AttemptEvent.SERVED
    if isinstance(message, m.AttemptRejected):
        return AttemptEvent.NOT_STORED if message.reason == m.NOT_STORED else AttemptEvent.REJECTED
    if isinstance(message, m.AttemptFailed):
        return AttemptEvent.RESPONSE_ABORTED if responding else AttemptEvent.FAILED
    if isinstance(message, m.AttemptCancelled) and message.executed == m.NOT_EXECUTED:
        return AttemptEvent.CANCELLED_NOT_EXECUTED
    return AttemptEvent.CANCELLED
