"""Keeps this gateway's entry in the registry, under a lease and on a separate connection.

Optionally it also reads the entries of all gateways periodically.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any


from ochrecourse.common.outgoing_connections import OutgoingConnectionFactory
from ochrecourse.common.runtime import Network, Timer, now_ns, stop
from ochrecourse.common.time_units import SECOND
from ochrecourse.membership import etcd
from ochrecourse.membership.lease import Lease, LeaseAction
from ochrecourse.membership.registry_connection import send
from ochrecourse.membership.registry_state import RangeRequest
from ochrecourse.wire.http_client import HttpClientProtocol, HttpResponse

RESPONSE_TIMEOUT_S = 0.8
TICK_INTERVAL_S = 0.5  # between checks for due requests; well below a third of the shortest lease
ENTRIES_INTERVAL_S = 3.0  # between reads of all entries; addresses change when gateways restart
ENTRIES_PAGE_KEYS = 100  # some tens of KiB, less than the limit of a stored response body
MAX_BACKOFF_S = 1.0  # before the next request after a failure, with full jitter


@dataclass(frozen=True)
class RegistrationSettings:
    """Settings of the registration.

    `servers`: host and port of each registry server. `key`: of this gateway's entry. `prefix`: of the entries
    of all gateways. `seed`: of the jitter.
    """

    servers: Sequence[tuple[str, int]]
    key: bytes
    ttl_seconds: int
    seed: int
    prefix: bytes = b""


class Registration(OutgoingConnectionFactory):
    """The registration of this gateway's entry.

    `entry_value` returns the value to put. `on_entries`, if set, is called every ENTRIES_INTERVAL_S with the
    values of all entries under the prefix, by key.
    """

    def __init__(
        self,
        network: Network,
        settings: RegistrationSettings,
        entry_value: Callable[[], bytes],
        on_entries: Callable[[dict[bytes, bytes]], None] | None = None,
    ) -> None:
        self.network = network
        self.settings = settings
        self.servers = list(settings.servers)
        self.entry_value = entry_value
        self.on_entries = on_entries
        self.lease = Lease(settings.ttl_seconds)
        self.random_source = random.Random(settings.seed)
        self.server_index = self.random_source.randrange(len(self.servers))
        self.counts: Counter[str] = Counter()
        self.http_client: HttpClientProtocol | None = None
        self.connecting = False
        self._tick_timer: Timer | None = None
        self._response_timer: Timer | None = None
        self._entries: dict[bytes, bytes] = {}  # of the pages read so far
        self._next_page_key = settings.prefix
        self._entries_due_at = 0  # ns

    def start(self) -> None:
        """Schedules the first request at a random time within the interval, so that gateways' requests
        spread.
        """
        self._tick_timer = self.network.callLater(TICK_INTERVAL_S * self.random_source.random(), self._tick)

    def stop(self) -> None:
        """Stops at once; the registry deletes the entry when its lease expires."""
        stop(self._tick_timer)
        stop(self._response_timer)
        self._tick_timer = self._response_timer = None
        self._close_connection()

    def revoke(self) -> None:
        """Revokes the lease, so that the registry deletes the entry at once, then stops."""
        stop(self._tick_timer)
        self._tick_timer = None
        client, lease_id = self.http_client, self.lease.lease_id
        if client is not None and not client.lost and client.on_response is None and lease_id:
            send(client, etcd.lease_revoke_request(lease_id), lambda response: self.stop())
        else:
            self.stop()

    def is_active(self) -> bool:
        """Whether the registry has the entry, as far as this gateway knows."""
        return self.lease.is_active(now_ns(self.network))

    # --- requests ---

    def _tick(self) -> None:
        """Sends the request that is due, if any, or connects for it."""
        self._tick_timer = self.network.callLater(TICK_INTERVAL_S, self._tick)
        now = now_ns(self.network)
        action = self.lease.next_action(now)
        if self._has_request_in_flight() or (action is LeaseAction.WAIT and not self._entries_due(now)):
            return
        client = self.http_client
        if client is None or client.lost or client.closing:
            self._connect()
        elif action is LeaseAction.WAIT:
            self._request_entries_page(client)
        else:
            self._request_lease_action(client, action, now)

    def _has_request_in_flight(self) -> bool:
        return self.connecting or (self.http_client is not None and self.http_client.on_response is not None)

    def _entries_due(self, now: int) -> bool:
        return self.on_entries is not None and now >= self._entries_due_at

    def _connect(self) -> None:
        self.connecting = True
        host, port = self.servers[self.server_index]
        self.network.connectTCP(host, port, self, timeout=RESPONSE_TIMEOUT_S)

    def _request_lease_action(self, client: HttpClientProtocol, action: LeaseAction, now: int) -> None:
        request = self._lease_request(action)
        self._start_response_timer()
        send(client, request, lambda response: self._lease_response_received(action, now, response))

    def _lease_request(self, action: LeaseAction) -> etcd.EtcdRequest:
        if action is LeaseAction.GRANT:
            return etcd.lease_grant_request(self.lease.ttl_seconds)
        if action is LeaseAction.PUT:
            return etcd.put_request(self.settings.key, self.entry_value(), self.lease.lease_id)
        return etcd.lease_keepalive_request(self.lease.lease_id)

    def _request_entries_page(self, client: HttpClientProtocol) -> None:
        page = RangeRequest(self._next_page_key, 0)
        self._start_response_timer()
        send(
            client,
            etcd.range_request(self.settings.prefix, page, ENTRIES_PAGE_KEYS),
            self._entries_page_received,
        )

    def _start_response_timer(self) -> None:
        self._response_timer = self.network.callLater(
            RESPONSE_TIMEOUT_S, self._request_failed, "no answer in time"
        )

    # --- responses ---

    def _lease_response_received(
        self, action: LeaseAction, requested_at: int, response: HttpResponse | None
    ) -> None:
        self._stop_response_timer()
        try:
            lease_response = self._decode_lease_response(action, response)
        except (etcd.BadResponseError, etcd.CompactedError) as error:
            is_put = action is LeaseAction.PUT
            if is_put and response is not None and response.status == etcd.UNKNOWN_LEASE_STATUS:
                self.lease.not_found()
            self._request_failed(str(error))
            return
        if action is LeaseAction.GRANT:
            self.lease.granted(lease_response.lease_id, requested_at)
        elif action is LeaseAction.PUT:
            self.lease.put_confirmed(requested_at)
        else:
            self.lease.keepalive_received(lease_response.ttl_seconds, requested_at)
        self._tick_now()

    def _decode_lease_response(
        self, action: LeaseAction, response: HttpResponse | None
    ) -> etcd.LeaseResponse:
        """Decodes the response to a lease request. Raises BadResponseError, CompactedError."""
        if response is None or not response.complete:
            raise etcd.BadResponseError("it broke off")
        if action is LeaseAction.KEEPALIVE:
            return etcd.decode_keepalive_response(response.status, response.body)
        return etcd.decode_lease_response(response.status, response.body)

    def _entries_page_received(self, response: HttpResponse | None) -> None:
        self._stop_response_timer()
        try:
            if response is None or not response.complete:
                raise etcd.BadResponseError("it broke off")
            page = etcd.decode_range_response(response.status, response.body)
        except (etcd.BadResponseError, etcd.CompactedError) as error:
            self._next_page_key, self._entries = self.settings.prefix, {}
            self._request_failed(str(error))
            return
        self._entries.update((record.key, record.value) for record in page.records)
        if page.more and page.records:
            self._next_page_key = page.records[-1].key + b"\0"
        else:
            self._entries_complete()
        self._tick_now()

    def _entries_complete(self) -> None:
        entries, self._entries = self._entries, {}
        self._next_page_key = self.settings.prefix
        self._entries_due_at = now_ns(self.network) + round(ENTRIES_INTERVAL_S * SECOND)
        if self.on_entries is not None:
            self.on_entries(entries)

    def _tick_now(self) -> None:
        """Runs the next tick at once: another request may be due already."""
        stop(self._tick_timer)
        self._tick_timer = self.network.callLater(0, self._tick)

    def _stop_response_timer(self) -> None:
        stop(self._response_timer)
        self._response_timer = None

    # --- failures ---

    def _request_failed(self, reason: str) -> None:
        """Switches to another server, after a backoff with jitter. `reason` names the event in `counts`."""
        self.counts[f"lease: {reason}"] += 1
        self.connecting = False
        self._stop_response_timer()
        self._close_connection()
        self.server_index = (self.server_index + 1) % len(self.servers)
        backoff = round(MAX_BACKOFF_S * self.random_source.random() * SECOND)
        self.lease.request_failed(now_ns(self.network), backoff)

    def _close_connection(self) -> None:
        client, self.http_client = self.http_client, None
        if client is not None and not client.lost:
            client.cancel()

    def buildProtocol(self, addr: Any) -> HttpClientProtocol:
        """Twisted: the connection is open."""
        self.connecting = False
        self.http_client = HttpClientProtocol(lambda client: None, lambda client: None)
        return self.http_client

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        """Twisted: the dial has failed."""
        self._request_failed("no connection")
