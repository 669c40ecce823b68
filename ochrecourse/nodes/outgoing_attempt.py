"""The records and protocols around one attempt on its way to a node. Free of I/O.

`OutgoingAttempt` is what the dispatcher (dispatcher.py) and the connections (framed_connection.py,
resp/node_connection.py) share of an attempt; `AttemptListener` is who is notified of it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from ochrecourse.common.runtime import Timer, stop
from ochrecourse.nodes.outcome import AttemptEvent, WriteProgress
from ochrecourse.nodes.pool import PooledConnection
from ochrecourse.wire import messages as m


class Body(Protocol):
    """The body of an attempt: read piece by piece, by each retry from the start. `size` in bytes."""

    size: int

    def read(self, offset: int, max_bytes: int, /) -> bytes:
        """The bytes from `offset` on, at most `max_bytes` of them."""
        ...

    def close(self) -> None:
        """The body is not needed any more."""
        ...


class AttemptListener(Protocol):
    """Who is notified of an attempt. `attempt_ended` is called exactly once and last."""

    def attempt_written(self, attempt: OutgoingAttempt) -> None:
        """The attempt got a connection, and writing it has begun."""
        ...

    def response_began(self, attempt: OutgoingAttempt, response: m.AttemptServed) -> None:
        """The node serves the attempt; called before any `response_data`."""
        ...

    def response_data(self, attempt: OutgoingAttempt, data: bytes) -> None:
        """More of the response's body."""
        ...

    def attempt_ended(
        self, attempt: OutgoingAttempt, event: AttemptEvent, reply: m.AnyMessage | None
    ) -> None:
        """The attempt ended by this event; `reply`: the node's reply, None without one."""
        ...


class NodeConnection(Protocol):
    """An open connection to a node."""

    pooled: PooledConnection
    handshake_complete: bool

    def send(self, attempt: OutgoingAttempt) -> None:
        """Writes the attempt and sets its `connection`, `stream_id` and `written`."""
        ...

    def cancel(self, attempt: OutgoingAttempt) -> None:
        """Nobody waits for this attempt any more; what the node sends for it is dropped."""
        ...

    def carries(self, attempt: OutgoingAttempt) -> bool:
        """Whether the attempt is in flight on this connection."""
        ...

    def send_window_update(self, attempt: OutgoingAttempt, increment_bytes: int) -> None:
        """Lets the node send so many more bytes of the attempt's response."""
        ...

    def close(self) -> None:
        """Ends the connection once everything written has gone out."""
        ...

    def abort(self) -> None:
        """Ends the connection at once."""
        ...


@dataclass(frozen=True, slots=True)
class AttemptLimits:
    """How long an attempt may take, in ns.

    `response_timeout`: from now until its response must begin; `stall_timeout`: without more of a response
    that has begun; `connection_wait`: for a connection, None as long as its dial may take; `write_before`:
    clock time from which on no byte of it may be written to a connection, and nothing of it may run that was
    not complete by then, 0 without such a time.
    """

    response_timeout: int
    stall_timeout: int
    connection_wait: int | None = None
    write_before: int = 0


@dataclass(slots=True, eq=False)
class OutgoingAttempt:
    """One attempt on its way. The first five fields are the caller's, the others the dispatcher's and its
    connection's.
    """

    request_id: int  # the listener's name for what the attempt belongs to
    node: int
    message: m.SendAttempt
    body: Body | None
    listener: AttemptListener
    number: int = 0  # among all of a dispatcher
    sent_at: int = 0  # ns
    assigned_at: int = 0  # ns, when it got its connection; 0 before
    pooled: PooledConnection | None = None  # where it counts; None when its capacity is freed in another way
    connection: NodeConnection | None = None
    stream_id: int = -1  # on its connection; below 0 before it was written
    written: int = 0  # bytes of its body
    response: m.AttemptServed | None = None
    consumed: int = 0  # bytes of the response that the listener has consumed
    window_granted: int = 0  # bytes of these that the node was granted again
    ended: bool = False
    stall_timeout: float = 0.0  # s
    last_received_at: float = 0.0  # s, clock time of the last message of its response
    write_before: int = 0  # ns, see AttemptLimits
    response_timer: Timer | None = None
    connection_timer: Timer | None = None  # ends its wait for a connection
    write_timer: Timer | None = None

    def write_progress(self) -> WriteProgress:
        """How much of it was written to the network."""
        if self.stream_id < 0:
            return WriteProgress.NOTHING
        return WriteProgress.COMPLETE if self.written >= self.message.size else WriteProgress.PARTIAL

    def stop_connection_timer(self) -> None:
        """Its wait for a connection is over."""
        stop(self.connection_timer)
        self.connection_timer = None

    def stop_timers(self) -> None:
        """It has ended."""
        stop(self.response_timer)
        stop(self.connection_timer)
        stop(self.write_timer)
        self.response_timer = self.connection_timer = self.write_timer = None
