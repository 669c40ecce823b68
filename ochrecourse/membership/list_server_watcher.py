"""Watches a list server: connects, requests updates, reconnects with backoff after a failure."""

from __future__ import annotations

import random
from typing import Any, ClassVar


from ochrecourse.common.outgoing_connections import OutgoingConnectionFactory
from ochrecourse.common.runtime import Timer, stop
from ochrecourse.membership.endpoint_list import BadEndpointListError
from ochrecourse.membership.endpoint_list_store import EndpointListStore, WatcherContext
from ochrecourse.wire import messages as m
from ochrecourse.wire.errors import MalformedMessageError, ProtocolViolationError
from ochrecourse.wire.framed_protocol import FramedProtocol
from ochrecourse.wire.state import ListConnectionState, Role, StreamState

INITIAL_BACKOFF_S = 0.1  # a restarted server is soon reachable again
MAX_BACKOFF_S = 2.0  # as long as the grace period of a drain, so that a failure costs at most one of these


class _ListServerConnection(FramedProtocol):
    """A connection to the list server."""

    max_body: ClassVar[int] = m.MAX_LIST_BODY_BYTES

    def __init__(self, watcher: ListServerWatcher) -> None:
        super().__init__(watcher.network, Role.REQUESTER, ListConnectionState())
        self.watcher = watcher

    def connection_ready(self) -> None:
        """Sends this gateway's name and requests updates newer than its current list."""
        self.send_message(m.Hello(version=m.PROTOCOL_VERSION, role="gateway", name=self.watcher.name))
        self.send_message(m.WatchEndpoints(epoch=self.watcher.endpoint_list.epoch))

    def message_received(self, message: m.AnyMessage, body: bytes, stream_state: StreamState | None) -> None:
        """Applies a received list. Raises ProtocolViolationError if it can't be applied."""
        if isinstance(message, m.EndpointListMessage):
            try:
                self.watcher.update_received(message.kind, message.epoch, m.decode_list(body))
            except (BadEndpointListError, MalformedMessageError) as error:
                raise ProtocolViolationError("bad_list", str(error)) from None
            if not self.watcher.endpoint_list.epoch:
                self.send_message(m.WatchEndpoints(epoch=0))

    def connection_ended(self, mid_message: bool) -> None:
        """Reports the end of the connection to the watcher."""
        self.watcher.connection_lost(self)


class ListServerWatcher(EndpointListStore, OutgoingConnectionFactory):
    """Watches the list server at `address`, host and port."""

    def __init__(self, context: WatcherContext, address: tuple[str, int]) -> None:
        super().__init__(context)
        self.address = address
        self.random_source = random.Random(context.seed)
        self.connection: _ListServerConnection | None = None
        self.backoff_s = INITIAL_BACKOFF_S
        self.stopped = False
        self._reconnect_timer: Timer | None = None

    @property
    def connected(self) -> bool:
        """Whether the list server is connected."""
        return self.connection is not None

    def start(self) -> None:
        """Applies the cached list, if there is a usable one, then connects."""
        self.restore_cached_list()
        self._connect()

    def stop(self) -> None:
        """Closes the connection for good."""
        self.stopped = True
        stop(self._reconnect_timer)
        if self.connection is not None:
            self.connection.abort()

    def update_received(self, kind: str, epoch: int, entries: list[m.EndpointEntry]) -> None:
        """Applies a received list; one that changes something resets the backoff. Raises
        BadEndpointListError.
        """
        if self.apply_update(kind, epoch, entries):
            self.backoff_s = INITIAL_BACKOFF_S

    def connection_lost(self, connection: _ListServerConnection) -> None:
        """Schedules a reconnect, unless the connection was already replaced."""
        if self.connection is connection:
            self.connection = None
            self.counts["breaks"] += 1
            self._schedule_reconnect()

    def buildProtocol(self, addr: Any) -> _ListServerConnection:
        """Twisted: the connection is open."""
        self.connection = _ListServerConnection(self)
        return self.connection

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        """Twisted: the dial has failed."""
        self._schedule_reconnect()

    def _connect(self) -> None:
        self._reconnect_timer = None
        host, port = self.address
        self.network.connectTCP(host, port, self, timeout=MAX_BACKOFF_S)

    def _schedule_reconnect(self) -> None:
        if self.stopped or self._reconnect_timer is not None:
            return
        jitter = self.random_source.uniform(0.5, 1.0)
        self._reconnect_timer = self.network.callLater(self.backoff_s * jitter, self._connect)
        self.backoff_s = min(MAX_BACKOFF_S, self.backoff_s * 2)
