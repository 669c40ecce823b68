"""Watches a registry over HTTP: one connection for ranges, one for the watch, one for freshness checks.

`registry_state` decides what to request and which server to trust; this module sends the requests and
switches to another server after a failure.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

from ochrecourse.common.runtime import Network, Timer, now_ns, stop
from ochrecourse.common.time_units import MS
from ochrecourse.membership import etcd
from ochrecourse.membership.endpoint_list import BadEndpointListError
from ochrecourse.membership.endpoint_list_store import EndpointListStore, WatcherContext
from ochrecourse.membership.freshness_check import FreshnessCallbacks, FreshnessCheck
from ochrecourse.membership.registrations import NodeRegistrations
from ochrecourse.membership.registry_connection import RegistryConnection, send
from ochrecourse.membership.registry_state import (
    RangeRequest,
    RegistryState,
    UntrustedRegistryError,
)
from ochrecourse.membership.server_selection import RESPONSE_TIMEOUT_S, ServerSelector
from ochrecourse.wire.http_client import HttpClientProtocol, HttpResponse

RANGE_PAGE_KEYS = 100  # some tens of KiB

ResponseHandler = Callable[[HttpResponse], None]


class RegistryWatcher(EndpointListStore):
    """Watches the nodes' records of a registry; has the same interface as `ListServerWatcher`.

    `servers`: host and port of each. `prefix`: of the nodes' keys. `unix_time_ms` returns Unix time in ms, to
    compute the age of records from the writers' timestamps.
    """

    def __init__(
        self,
        context: WatcherContext,
        servers: Sequence[tuple[str, int]],
        prefix: bytes,
        unix_time_ms: Callable[[], int],
    ) -> None:
        super().__init__(context)
        self.servers = list(servers)
        self.unix_time_ms = unix_time_ms
        self.random_source = random.Random(context.seed)
        self.selector = ServerSelector(len(self.servers), self.random_source.random)
        self.registry = RegistryState(prefix)
        self.registrations = NodeRegistrations()
        callbacks = FreshnessCallbacks(self._list_confirmed, self._watch_stuck, self._freshness_check_failed)
        self.freshness = FreshnessCheck(self.network, self.servers, self.selector, self.registry, callbacks)
        self.watch_client: HttpClientProtocol | None = None  # while the watch is established
        self.stopped = False
        self._range_connection: RegistryConnection | None = None
        self._watch_connection: RegistryConnection | None = None
        self._stream_decoder = etcd.WatchStreamDecoder()
        self._reconnect_timer: Timer | None = None
        self._response_timer: Timer | None = None

    @property
    def connected(self) -> bool:
        """Whether the watch is established."""
        return self.watch_client is not None

    def start(self) -> None:
        """Applies the cached list, if there is a usable one, then connects."""
        snapshot = self.restore_cached_list()
        if snapshot is not None and snapshot.cluster:
            self.registry.resume_from(snapshot.cluster, snapshot.epoch)
        self._connect()

    def stop(self) -> None:
        """Closes all connections for good."""
        self.stopped = True
        self._close_connections()
        stop(self._reconnect_timer)

    def accept_registry(self) -> None:
        """An operator accepts the registry although it was rolled back or is another cluster."""
        self.registry.accept_registry()
        self.selector.watch_established()
        self._leave_server("an operator accepted the registry as it is")

    # --- connections ---

    def _connect(self) -> None:
        self._reconnect_timer = None
        self._range_connection = self._open_connection(self._send_next_request)

    def _open_connection(self, on_open: Callable[[HttpClientProtocol], None]) -> RegistryConnection:
        connection = RegistryConnection(on_open, self._connection_lost)
        connection.open(self.network, self.servers[self.selector.current])
        return connection

    def _connection_lost(self, connection: RegistryConnection) -> None:
        if connection in (self._range_connection, self._watch_connection):
            self._leave_server("the connection ended")

    def _leave_server(self, reason: str) -> None:
        """Disconnects from the current server; a random other one is used after the backoff.

        `reason` names the event on operators' pages.
        """
        self._close_connections()
        if self.stopped or self._reconnect_timer is not None:
            return
        self.counts[f"breaks: {reason}"] += 1
        self.registry.connection_lost()
        self._reconnect_timer = self.network.callLater(self.selector.server_failed(), self._connect)

    def _close_connections(self) -> None:
        connections = (self._range_connection, self._watch_connection)
        self._range_connection = self._watch_connection = self.watch_client = None
        stop(self._response_timer)
        self._response_timer = None
        for connection in connections:
            if connection is not None:
                connection.close()
        self.freshness.stop()

    def _server_distrusted(self, reason: str) -> None:
        """Switches from an untrusted server; warns an operator, who must decide, if no server is trusted."""
        if self.selector.server_distrusted():
            self.warn(f"the registry is not believed: {reason}; if it was restored, accept it")
        self._leave_server("not believed")

    # --- ranges ---

    def _send_next_request(self, client: HttpClientProtocol | None = None) -> None:
        """Requests the next page of the range, or opens the watch."""
        request = self.registry.next_request()
        if isinstance(request, RangeRequest):
            page_request = etcd.range_request(self.registry.prefix, request, RANGE_PAGE_KEYS)
            self._send(page_request, self._page_received)
        elif self._watch_connection is None:
            self._watch_connection = self._open_connection(self._request_watch)
            self.freshness.start(self.random_source)

    def _send(self, request: etcd.EtcdRequest, on_success: ResponseHandler) -> None:
        connection = self._range_connection
        if connection is None or connection.http_client is None:
            return
        self._response_timer = self.network.callLater(RESPONSE_TIMEOUT_S, self._response_timed_out)
        send(
            connection.http_client,
            request,
            lambda response: self._response_received(connection, response, on_success),
        )

    def _response_received(
        self, connection: RegistryConnection, response: HttpResponse | None, on_success: ResponseHandler
    ) -> None:
        if self._range_connection is not connection:
            return
        stop(self._response_timer)
        self._response_timer = None
        if response is None or not response.complete:
            self._leave_server("an answer broke off")
            return
        try:
            on_success(response)
        except etcd.CompactedError:
            self.registry.compacted()
            self._send_next_request()
        except etcd.BadResponseError as error:
            self.counts["bad answers"] += 1
            self.warn(f"the registry's answer is not understood: {error}")
            self._leave_server("a bad answer")
        except UntrustedRegistryError as error:
            self._server_distrusted(str(error))

    def _response_timed_out(self) -> None:
        self._response_timer = None
        self._leave_server("no answer in time")

    def _page_received(self, response: HttpResponse) -> None:
        page = etcd.decode_range_response(response.status, response.body)
        events = self.registry.page_received(page)
        if events is not None:
            self._apply_records()
        self._send_next_request()

    # --- the watch ---

    def _request_watch(self, client: HttpClientProtocol) -> None:
        request = self.registry.next_request()
        if isinstance(request, RangeRequest):
            return
        self._stream_decoder = etcd.WatchStreamDecoder()
        client.on_body_data = lambda data: self._watch_data_received(client, data)
        watch_request = etcd.watch_request(self.registry.prefix, request.start_revision)
        send(client, watch_request, lambda response: self._watch_ended(client))

    def _is_current_watch(self, client: HttpClientProtocol) -> bool:
        return self._watch_connection is not None and self._watch_connection.http_client is client

    def _watch_data_received(self, client: HttpClientProtocol, data: bytes) -> None:
        if not self._is_current_watch(client):
            return
        try:
            for message in self._stream_decoder.feed(data):
                self._watch_message_received(client, message)
        except etcd.CompactedError:
            self.registry.compacted()
            self._leave_server("compacted")
        except etcd.BadResponseError as error:
            self.counts["bad answers"] += 1
            self.warn(f"the registry's stream is not understood: {error}")
            self._leave_server("a bad stream")
        except UntrustedRegistryError as error:
            self._server_distrusted(str(error))

    def _watch_message_received(self, client: HttpClientProtocol, message: etcd.WatchResponse) -> None:
        """Applies a message of the watch. Raises CompactedError, BadResponseError, UntrustedRegistryError."""
        if message.canceled:
            if not message.compact_revision:
                raise etcd.BadResponseError(f"a watch that was cancelled: {message.cancel_reason}")
            raise etcd.CompactedError
        header = message.header
        if message.created:
            self.registry.verify_server(header.cluster_id, header.revision)
            self.watch_client = client
            self.selector.watch_established()
        if message.events:
            events = etcd.watch_events(message)
            if self.registry.events_received(header.cluster_id, events):
                self._apply_records()

    def _watch_ended(self, client: HttpClientProtocol) -> None:
        if self._is_current_watch(client):
            self._leave_server("the watch ended")

    # --- freshness checks ---

    def _list_confirmed(self) -> None:
        self.endpoint_list.confirmed_at = now_ns(self.network)

    def _watch_stuck(self) -> None:
        self._leave_server("the watch stands still")

    def _freshness_check_failed(self) -> None:
        self.counts["looks that failed"] += 1

    # --- the list ---

    def _apply_records(self) -> None:
        """Applies the complete list after each change: it is small, and a complete list can't have gaps."""
        self.cluster = self.registry.cluster_id
        now = now_ns(self.network)
        entries = self.registrations.endpoint_entries(self.registry.records, now, self.unix_time_ms())
        try:
            self.apply_update("full", self.registry.known_revision, entries)
        except BadEndpointListError as error:
            self.counts["bad lists"] += 1
            self.warn(f"the registry's list is not taken: {error}")


def unix_clock(network: Network, epoch: int) -> Callable[[], int]:
    """Returns a clock of Unix time in ms, from the network's clock, whose zero is `epoch` s of Unix time."""
    return lambda: round(now_ns(network) / MS) + epoch * 1000
