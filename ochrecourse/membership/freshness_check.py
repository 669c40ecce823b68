"""Checks that the watch of a registry keeps up with the registry's other servers.

Once a second the newest change under the prefix is read, from a server other than the watch's if there is
one: a server that lags without knowing it would report itself as current. The check also distinguishes a
stuck watch from one that has no events.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from ochrecourse.common.runtime import Network, Timer, stop
from ochrecourse.membership import etcd
from ochrecourse.membership.registry_connection import RegistryConnection, send
from ochrecourse.membership.registry_state import RegistryState, UntrustedRegistryError
from ochrecourse.membership.server_selection import (
    FRESHNESS_CHECK_INTERVAL_S,
    MAX_WATCH_LAG_S,
    RESPONSE_TIMEOUT_S,
    ServerSelector,
    WatchLag,
)
from ochrecourse.wire.http_client import HttpClientProtocol, HttpResponse


@dataclass(frozen=True)
class FreshnessCallbacks:
    """Callbacks for a check's result: the watch is current, the watch is stuck, or the check failed."""

    on_current: Callable[[], None]
    on_stuck: Callable[[], None]
    on_failed: Callable[[], None]


class FreshnessCheck:
    """Periodic checks of a watch, on a separate connection."""

    def __init__(
        self,
        network: Network,
        servers: Sequence[tuple[str, int]],
        selector: ServerSelector,
        registry: RegistryState,
        callbacks: FreshnessCallbacks,
    ) -> None:
        self.network = network
        self.servers = servers
        self.selector = selector
        self.registry = registry
        self.callbacks = callbacks
        self.watch_lag = WatchLag()
        self.running = False
        self._connection: RegistryConnection | None = None
        self._next_timer: Timer | None = None
        self._timeout_timer: Timer | None = None

    def start(self, random_source: random.Random) -> None:
        """Schedules the first check at a random time within the interval, so that gateways' checks spread."""
        self.running = True
        self._schedule(FRESHNESS_CHECK_INTERVAL_S * random_source.random(), self._check)

    def stop(self) -> None:
        """Stops the checks and closes the connection."""
        self.running = False
        stop(self._next_timer)
        stop(self._timeout_timer)
        self._next_timer = self._timeout_timer = None
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()

    def _schedule(self, delay_s: float, step: Callable[[], None]) -> None:
        self._next_timer = self.network.callLater(delay_s, step)

    def _check(self) -> None:
        self._next_timer = None
        self._timeout_timer = self.network.callLater(RESPONSE_TIMEOUT_S, self._failed)
        if self._connection is None:
            connection = RegistryConnection(self._request_newest, self._connection_lost)
            connection.open(self.network, self.servers[self.selector.pick_other()])
            self._connection = connection
            return
        client = self._connection.http_client
        if client is not None and client.on_response is None:
            self._request_newest(client)

    def _request_newest(self, client: HttpClientProtocol) -> None:
        send(client, etcd.newest_record_request(self.registry.prefix), self._response_received)

    def _response_received(self, response: HttpResponse | None) -> None:
        stop(self._timeout_timer)
        self._timeout_timer = None
        try:
            newest = self._newest_revision(response)
        except (etcd.BadResponseError, etcd.CompactedError, UntrustedRegistryError):
            self._failed()
            return
        delay_s = self.watch_lag.newest_revision_seen(newest, self.registry.known_revision)
        if self.watch_lag.awaited_revision:
            self._schedule(delay_s, self._check_awaited_revision)
            return
        self.callbacks.on_current()
        self._schedule(delay_s, self._check)

    def _newest_revision(self, response: HttpResponse | None) -> int:
        """Returns the newest revision under the prefix, 0 without keys.

        Raises BadResponseError, CompactedError, UntrustedRegistryError.
        """
        if response is None or not response.complete:
            raise etcd.BadResponseError("response incomplete")
        page = etcd.decode_range_response(response.status, response.body)
        self.registry.verify_server(page.cluster_id, page.revision)
        return page.records[0].mod_revision if page.records else 0

    def _check_awaited_revision(self) -> None:
        self._next_timer = None
        if self.watch_lag.is_behind(self.registry.known_revision):
            self.callbacks.on_stuck()
        else:
            self._schedule(FRESHNESS_CHECK_INTERVAL_S, self._check)

    def _connection_lost(self, connection: RegistryConnection) -> None:
        if connection is self._connection:
            self._failed()

    def _failed(self) -> None:
        """The server is unreachable or untrusted: closes the connection; the next check uses a random other
        one.
        """
        self.callbacks.on_failed()
        connection, self._connection = self._connection, None
        stop(self._timeout_timer)
        self._timeout_timer = None
        if connection is not None:
            connection.close()
        if self.running:
            stop(self._next_timer)
            self._schedule(MAX_WATCH_LAG_S, self._check)
