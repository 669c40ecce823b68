"""The state of an attempt that is sent to a node, and the interfaces around it. Performs no I/O.

The dispatcher (dispatcher.py) and the connections (framed_connection.py, resp/node_connection.py) share the
state of an attempt in `OutgoingAttempt`; an `AttemptListener` is notified of its progress.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from ochrecourse.common.client_input import InputCheck
from ochrecourse.common.runtime import Timer, stop
from ochrecourse.nodes.outcome import AttemptEvent, WriteProgress
from ochrecourse.nodes.pool import PooledConnection
from ochrecourse.wire import messages as m


class Body(Protocol):
    """The body of an attempt, read in chunks; each retry reads it from the start. `size` in bytes."""

    size: int

    def read(self, offset: int, max_bytes: int, /) -> bytes:
        """Returns at most `max_bytes` bytes from `offset`."""
        ...

    def close(self) -> None:
        """Frees the body's resources; it is not read again."""
        ...


class AttemptListener(Protocol):
    """Is notified of an attempt's progress. `attempt_ended` is called exactly once, after all other calls."""

    def attempt_written(self, attempt: OutgoingAttempt) -> None:
        """The attempt has a connection, and writing it has begun."""
        ...

    def response_began(self, attempt: OutgoingAttempt, response: m.AttemptServed) -> None:
        """The node began a successful response; called before any `response_data`."""
        ...

    def response_data(self, attempt: OutgoingAttempt, data: bytes) -> None:
        """More bytes of the response's body arrived."""
        ...

    def attempt_ended(
        self, attempt: OutgoingAttempt, event: AttemptEvent, reply: m.AnyMessage | None
    ) -> None:
        """The attempt ended with `event`; `reply`: the node's reply, None without one."""
        ...


class NodeConnection(Protocol):
    """An open connection to a node."""

    pooled: PooledConnection
    handshake_complete: bool

    def send(self, attempt: OutgoingAttempt) -> None:
        """Writes the attempt and sets its `connection`, `stream_id` and `written`."""
        ...

    def cancel(self, attempt: OutgoingAttempt) -> None:
        """Cancels the attempt; what the node still sends for it is dropped."""
        ...

    def carries(self, attempt: OutgoingAttempt) -> bool:
        """Whether the attempt is in flight on this connection."""
        ...

    def send_window_update(self, attempt: OutgoingAttempt, increment_bytes: int) -> None:
        """Allows the node to send `increment_bytes` more of the attempt's response."""
        ...

    def close(self) -> None:
        """Closes the connection once everything written has been sent."""
        ...

    def abort(self) -> None:
        """Closes the connection at once; unsent data is lost."""
        ...


@dataclass(frozen=True, slots=True)
class AttemptLimits:
    """Time limits of an attempt, in ns.

    `response_timeout`: from now until the response must begin; `stall_timeout`: longest pause in a response
    that has begun; `connection_wait`: longest wait for a connection, None for the time-out of the dial;
    `write_before`: clock time from which no byte may be written, and by which the attempt must be completely
    written to be executed, 0 for no such limit.
    """

    response_timeout: int
    stall_timeout: int
    connection_wait: int | None = None
    write_before: int = 0


@dataclass(slots=True, eq=False)
class OutgoingAttempt:
    """An attempt that is being sent. The caller sets the first five fields, the dispatcher and the connection
    the others.
    """

    request_id: int  # the listener's id of the request
    node: int
    message: m.SendAttempt
    body: Body | None
    listener: AttemptListener
    number: int = 0  # unique within the dispatcher
    sent_at: int = 0  # ns
    input_wait_began_at: int = 0  # ns, when it had to wait for its client's input to be read
    assigned_at: int = 0  # ns, when it was assigned an open connection; 0 before
    pooled: PooledConnection | None = None  # whose capacity it uses; None when that is released separately
    connection: NodeConnection | None = None
    stream_id: int = -1  # on its connection; negative before it is written
    written: int = 0  # bytes of its body that were written
    response: m.AttemptServed | None = None
    consumed: int = 0  # bytes of the response that the listener has consumed
    window_granted: int = 0  # consumed bytes for which the node was granted new window
    ended: bool = False
    stall_timeout: float = 0.0  # s
    last_received_at: float = 0.0  # s, clock time of the response's last message
    write_before: int = 0  # ns, see AttemptLimits
    response_due: int = 0  # ns, clock time by which the response must begin
    response_timer: Timer | None = None
    connection_timer: Timer | None = None  # time-out of the wait for a connection
    write_timer: Timer | None = None
    client_input: InputCheck | None = None  # what is known of a close of the client that is not read yet

    def write_progress(self) -> WriteProgress:
        """Returns how much of the attempt was written to the network."""
        if self.stream_id < 0:
            return WriteProgress.NOTHING
        return WriteProgress.COMPLETE if self.written >= self.message.size else WriteProgress.PARTIAL

    def stop_connection_timer(self) -> None:
        """Stops the time-out of the wait for a connection."""
        stop(self.connection_timer)
        self.connection_timer = None

    def stop_timers(self) -> None:
        """Stops all timers of an attempt that has ended."""
        stop(self.response_timer)
        stop(self.connection_timer)
        stop(self.write_timer)
        self.response_timer = self.connection_timer = self.write_timer = None
