"""A watch of the endpoint list: an HTTP/1.1 request whose chunked response has one line per event."""

from __future__ import annotations

from typing import Any, Protocol


from ochrecourse.common.outgoing_connections import OutgoingConnectionFactory
from ochrecourse.common.runtime import Network, Timer, stop
from ochrecourse.service.discovery import DiscoveredEndpoints, LineDecoder, WatchedEndpoints
from ochrecourse.wire.http_client import HttpClientProtocol

SILENCE_TIMEOUT_SECONDS = 5.0  # a watch is closed after this time without a line or progress within one
LINE_TIMEOUT_SECONDS = 20.0  # for one line, however steadily its bytes arrive
PROGRESS_BYTES = 512  # of a partial line that count as progress; a watch with fewer per timeout is closed
MAX_LINE_BYTES = 4_194_304  # of a line, and of an object over several lines; some ten thousand nodes
STATUS_OK = 200


class WatchOwner(Protocol):
    """The interface through which dials and watches report to the object that opened them."""

    network: Network
    endpoints: DiscoveredEndpoints

    def dial_connected(self, dial: WatchDial) -> WatchConnection | None:
        """Called when a dial has succeeded; returns its watch, or None if the dial was cancelled."""

    def response_started(self, watch: WatchConnection) -> None:
        """Called when the head of a response is complete and valid; its lines follow."""

    def line_received(self, watch: WatchConnection, line: bytes) -> None:
        """Called with each complete line."""

    def report_problem(self, text: str) -> None:
        """Called with a description of a problem with the list."""

    def attempt_ended(self, attempt: WatchDial | WatchConnection) -> None:
        """Called when a dial has failed or was cancelled, or when a watch has ended."""


class WatchConnection(HttpClientProtocol):
    """A watch, opened by attempt `attempt_number` at `address`."""

    def __init__(self, owner: WatchOwner, attempt_number: int, address: tuple[str, int]) -> None:
        super().__init__(self._request_watch, self._connection_ended)
        self.owner = owner
        self.attempt_number = attempt_number
        self.address = address
        self.on_body_data = self._body_received
        self.decoder = LineDecoder(MAX_LINE_BYTES)
        self.watched = WatchedEndpoints(owner.endpoints)
        self.started_at = self.last_line_at = owner.network.seconds()
        self.line_progresses = False  # a partial line is arriving steadily
        self.received_line = False
        self.ended = False
        self._partial_line = bytearray()
        self._bytes_since_progress = 0
        self._silence_timer: Timer | None = None
        self._end_timer: Timer | None = None  # set once a newer watch has replaced this one
        self._ends_at = 0.0

    def _request_watch(self, connection: HttpClientProtocol) -> None:
        self._restart_silence_timer()
        self.watched = WatchedEndpoints(self.owner.endpoints)
        path = f"/discovery/hosts?follow=1&since={self.watched.version}"
        self.request("GET", path, {}, b"", lambda response: None)

    def _restart_silence_timer(self) -> None:
        stop(self._silence_timer)
        now = self.owner.network.seconds()
        line_time_left = self.last_line_at + LINE_TIMEOUT_SECONDS - now
        timeout = max(0.0, min(SILENCE_TIMEOUT_SECONDS, line_time_left))
        self._silence_timer = self.owner.network.callLater(timeout, self.end)

    def dataReceived(self, data: bytes) -> None:
        """Twisted: bytes were received."""
        if self.ended:
            return
        try:
            super().dataReceived(data)
        except (ValueError, IndexError, AssertionError) as error:
            self.owner.report_problem(f"the list's answer can't be read: {error}")
            self.end()

    def lineLengthExceeded(self, line: bytes) -> None:
        """Twisted: a line of the response's head is too long."""
        self.owner.report_problem("the list's answer can't be read: a line of its head is too long")
        self.end()

    # --- wire.http_client.HttpClientProtocol ---

    def _headers_complete(self) -> None:
        """Handles the complete head of a response; an interim (1xx) response is followed by another."""
        response = self.response
        if response is not None and response.status != STATUS_OK and not response.interim:
            self.owner.report_problem(f"the list is answered with status {response.status}")
            self.end()
            return
        super()._headers_complete()
        if response is not None and response.status == STATUS_OK and not self.ended:
            self.owner.response_started(self)

    def _body_received(self, data: bytes) -> None:
        if self.ended:
            return
        self._count_progress(len(data))
        self._partial_line += data
        if b"\n" in data:
            *lines, self._partial_line = self._partial_line.split(b"\n")
            for line in lines:
                self._line_received(bytes(line))
                if self.ended:
                    return
        if len(self._partial_line) > MAX_LINE_BYTES:
            self.owner.report_problem("a line of the list is too long")
            self.end()

    def _count_progress(self, size: int) -> None:
        """Restarts the silence timer after PROGRESS_BYTES of a long line; single bytes do not restart it."""
        self._bytes_since_progress += size
        if self._bytes_since_progress >= PROGRESS_BYTES:
            self._bytes_since_progress = 0
            self.line_progresses = True
            self._restart_silence_timer()

    def _line_received(self, line: bytes) -> None:
        self.owner.line_received(self, line)
        if not self.ended and not self.decoder.incomplete:
            self.last_line_at = self.owner.network.seconds()
            self._bytes_since_progress = 0
            self.line_progresses = False
            self._restart_silence_timer()

    def _response_complete(self) -> None:
        """Handles a complete response, which a watch should never have; its last line may lack a newline."""
        if self._partial_line and not self.ended:  # the response is complete, so the line is too
            line, self._partial_line = bytes(self._partial_line), bytearray()
            self._line_received(line)
        self.end()

    # --- the end ---

    def end(self) -> None:
        """Ends this watch; the owner opens another one if this was the newest."""
        if self.ended:
            return
        self._stop()
        if self.transport is not None:
            self.transport.abortConnection()
        self.owner.attempt_ended(self)

    def end_within(self, seconds: float) -> None:
        """Ends this watch after `seconds`, or sooner if an earlier end is already scheduled."""
        ends_at = self.owner.network.seconds() + seconds
        if self._end_timer is None or ends_at < self._ends_at:
            stop(self._end_timer)
            self._ends_at = ends_at
            self._end_timer = self.owner.network.callLater(seconds, self.end)

    def _connection_ended(self, connection: HttpClientProtocol) -> None:
        if not self.ended:
            self._stop()
            self.owner.attempt_ended(self)

    def _stop(self) -> None:
        self.ended = True
        stop(self._silence_timer)
        stop(self._end_timer)


class WatchDial(OutgoingConnectionFactory):
    """Attempt `attempt_number` until its connection is open."""

    def __init__(self, owner: WatchOwner, attempt_number: int, address: tuple[str, int]) -> None:
        self.owner = owner
        self.attempt_number = attempt_number
        self.address = address
        self.connector: Any = None

    def buildProtocol(self, addr: Any) -> WatchConnection | None:
        """Twisted: the connection is open."""
        return self.owner.dial_connected(self)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        """Twisted: the dial has failed."""
        self.connector = None
        self.owner.attempt_ended(self)

    def clientConnectionLost(self, connector: Any, reason: Any) -> None:
        """Twisted: the watch of this dial has ended; frees what belonged to it."""
        self.connector = None
        super().clientConnectionLost(connector, reason)

    def end(self) -> None:
        """Cancels the dial."""
        self.owner.attempt_ended(self)
        if self.connector is not None:
            self.connector.disconnect()
