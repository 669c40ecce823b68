"""The gateway service on the platform: assembles the library, its RESP2 server and connections and the
endpoint list, and implements start, reload and graceful shutdown.

Start: the known endpoint list is applied first, then the port is opened and the list is watched from its
version. Reload: a file that can't be read changes nothing and is retried for some seconds. Shutdown: requests
are accepted as long as clients may still connect, connections are closed as they become idle, and the process
ends after the last one.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

from ochrecourse.common.runtime import Network, Timer, now_ns, stop
from ochrecourse.common.time_units import MS, SECOND
from ochrecourse.gateway.gateway import Gateway
from ochrecourse.nodes.pool import PoolLimits
from ochrecourse.resp.commands import RequestClasses
from ochrecourse.resp.memory_budget import MemoryBudget, budget_bytes
from ochrecourse.resp.node_connection import dialler
from ochrecourse.resp.server import ClientLimits, RespServerFactory
from ochrecourse.service.discovery import (
    DiscoveredEndpoints,
    EndpointListUpdate,
    MalformedEndpointListError,
)
from ochrecourse.service.discovery_watch import DiscoveryWatch
from ochrecourse.service.start_file import read_start_file
from ochrecourse.service.start_settings import StartSettings, StartSettingsError

# Reserved of a client's timeout: the network delay of its request is unknown, and so are event loop delays.
REPLY_TRAVEL_NS = 40 * MS
MIN_ACCEPT_SECONDS = 0.55  # after SIGTERM, during which new connections still arrive
MAX_CLIENT_TIMEOUT_SECONDS = 3.0  # the longest client timeout that the platform waits for before the kill
KILL_DELAY_SECONDS = 0.7  # from SIGTERM plus the longest client timeout to the earliest kill
LAST_REPLY_MARGIN_SECONDS = 0.2  # before the kill, by which the last reply must be sent
CLOSING_SECONDS = 0.3  # before that margin, during which no connection is accepted
RESERVED_DESCRIPTORS = 40  # for the process itself: listener, watches, poll, log, and some spare
MIN_SHARED_DESCRIPTORS = 16  # for clients and nodes together, however low the limit is
RELOAD_BACKOFF_SECONDS = 0.1  # before an unreadable start file is read again: it may be partly written
MAX_RELOAD_BACKOFF_SECONDS = 0.5  # after repeated failures
# From SIGHUP to the last retry of the file; a move of the list has to take effect within 4 s.
RELOAD_TIMEOUT_SECONDS = 10.0
EVICTION_DIVISOR = 4  # all descriptors / 4: number of client connections beyond which idle ones are evicted
IDLE_CLOSE_DIVISOR = 3  # of a node's idle timeout: this side must close idle connections before the node does
MAX_DIALS = 64  # concurrent; dials take a fraction of a second, and a queued one would look like a slow node
DEFAULT_NODE_IDLE_CLOSE_MS = 15_000
LISTEN_BACKLOG = 1024


class DescriptorShares(NamedTuple):
    """The maximum number of descriptors for client connections and for node connections."""

    clients: int
    nodes: int


def share_descriptors(max_open_files: int) -> DescriptorShares:
    """Splits the process's descriptor limit; attempts need far fewer connections than clients keep open."""
    shared = max(MIN_SHARED_DESCRIPTORS, max_open_files - RESERVED_DESCRIPTORS)
    clients = shared * 3 // 5
    return DescriptorShares(clients, shared - clients)


@dataclass(frozen=True, slots=True)
class ServiceEnvironment:
    """The environment of a service. `unix_ns`: current Unix time; `unread_since`: see `Gateway`."""

    network: Network
    unix_ns: int
    log: Callable[[str], None]
    on_stopped: Callable[[], None]  # called after the shutdown
    unread_since: Callable[[], int] | None = None


class GatewayService:
    """A running gateway service."""

    def __init__(self, start: StartSettings, start_path: str, environment: ServiceEnvironment) -> None:
        """`start_path`: path of the start file, for reloads. Raises StartSettingsError."""
        network = environment.network
        self.start_path = start_path
        self.network = network
        self.log = environment.log
        self.on_stopped = environment.on_stopped
        self.listen_address = start.listen_address
        self.kill_delay_seconds = _kill_delay_seconds(start.values)
        self.port: Any = None  # Twisted's listening port
        self.shutting_down = False
        self.stopped = False
        self._reload_timer: Timer | None = None
        shares = share_descriptors(start.max_open_files)
        budget = MemoryBudget(budget_bytes(start.memory_mb, shares.clients))
        self.gateway = Gateway(
            start.values,
            start.seed,
            network,
            dialler(network, budget),
            start.name,
            travel=REPLY_TRAVEL_NS,
            limits=_pool_limits(start.values, shares.nodes),
            unread_since=environment.unread_since,
        )
        self.server = RespServerFactory(
            self.gateway,
            network,
            RequestClasses(start.values),
            ClientLimits(shares.clients, start.max_open_files // EVICTION_DIVISOR),
            budget,
        )
        self.gateway.observers = [self.server]
        zones = [zone for zone in start.values.get("Zones", "").split(",") if zone]
        self.endpoints = DiscoveredEndpoints(zones, environment.unix_ns - now_ns(network))
        self.watch = DiscoveryWatch(
            network, self.endpoints, start.discovery_address, self._apply_update, self.log
        )
        try:
            self._apply_update(self.endpoints.apply(start.known_endpoints, cached=True))
        except MalformedEndpointListError as error:
            raise StartSettingsError(f"the known list: {error}") from None

    def serve(self) -> tuple[str, int]:
        """Opens the port and starts to watch the endpoint list; returns the address. Raises
        CannotListenError.
        """
        host, port = self.listen_address
        self.port = self.network.listenTCP(port, self.server, backlog=LISTEN_BACKLOG, interface=host)
        self.port.capacity = self.server.accept_capacity
        self.watch.start()
        address = self.port.getHost()
        return address.host, address.port

    def _apply_update(self, update: EndpointListUpdate) -> None:
        self.gateway.endpoint_list_received(update.kind, update.entries, update.addresses)

    def closed_connections(self) -> int:
        """Returns how many connections to clients and nodes have ended, and how many watches were opened."""
        nodes = self.gateway.nodes.closed_connections
        return self.server.closed_connections + nodes + self.watch.last_attempt_number

    # --- reload ---

    def reload(self) -> None:
        """Reads the start file again and applies the settings that may change at run time.

        The file may be partly written or briefly missing: one that can't be read is retried for up to
        RELOAD_TIMEOUT_SECONDS.
        """
        stop(self._reload_timer)
        self._reload_timer = None
        if self.stopped:
            return
        error = self._try_reload()
        if error is None:
            return
        self.log(f"start file not taken over: {error}")
        give_up_at = self.network.seconds() + RELOAD_TIMEOUT_SECONDS
        self._schedule_reload(RELOAD_BACKOFF_SECONDS, give_up_at)

    def _try_reload(self) -> StartSettingsError | None:
        """Reads and applies the start file; returns the error, or None on success."""
        try:
            start = read_start_file(self.start_path)
        except StartSettingsError as error:
            return error
        self.watch.move(start.discovery_address)
        host, port = start.discovery_address
        self.log(f"start file read again; the list is told at {host}:{port}")
        return None

    def _schedule_reload(self, backoff_seconds: float, give_up_at: float) -> None:
        self._reload_timer = self.network.callLater(
            backoff_seconds, self._retry_reload, backoff_seconds, give_up_at
        )

    def _retry_reload(self, backoff_seconds: float, give_up_at: float) -> None:
        self._reload_timer = None
        error = self._try_reload()
        if error is None:
            return
        if self.network.seconds() >= give_up_at:
            self.log(f"start file given up until the next SIGHUP: {error}")
            return
        self._schedule_reload(min(MAX_RELOAD_BACKOFF_SECONDS, 2 * backoff_seconds), give_up_at)

    # --- graceful shutdown ---

    def shut_down(self) -> None:
        """Starts a graceful shutdown; `on_stopped` is called at its end."""
        if self.shutting_down:
            return
        self.shutting_down = True
        self.log(f"leaving; {self.gateway.request_log.open} jobs open")
        # Clients use their connections until these are closed and can't reach this gateway afterwards, so
        # that replies are due by then.
        last_reply_seconds = self.kill_delay_seconds - LAST_REPLY_MARGIN_SECONDS
        self.gateway.limit_deadlines(now_ns(self.network) + round(last_reply_seconds * SECOND))
        accept_seconds = max(MIN_ACCEPT_SECONDS, last_reply_seconds - CLOSING_SECONDS)
        self.network.callLater(accept_seconds, self._stop_listening)

    leave = shut_down  # the name that the test of recorded behaviour uses

    def _stop_listening(self) -> None:
        if self.port is not None:
            self.port.stopListening()
        # Connections accepted in this iteration of the event loop are read before any is closed.
        self.network.callLater(0, self._close_connections)

    def _close_connections(self) -> None:
        self.server.on_drained = self._connections_drained
        self.server.shut_down()

    def _connections_drained(self) -> None:
        self.server.on_drained = None
        self.network.callLater(0, self._stop)

    def _stop(self) -> None:
        self.stopped = True
        stop(self._reload_timer)
        self.watch.stop()
        self.server.stop()
        self.gateway.stop()
        self.on_stopped()


def _pool_limits(values: Mapping[str, str], max_connections: int) -> PoolLimits:
    """Returns the limits of connections to nodes: one attempt per connection, and no smaller
    limit per node.
    """
    node_idle_close_ms = float(values.get("Limits.IdleClose", DEFAULT_NODE_IDLE_CLOSE_MS))
    return PoolLimits(
        attempts_per_connection=1,
        connections_per_node=max_connections,
        concurrent_dials=MAX_DIALS,
        idle_timeout=round(node_idle_close_ms * MS / IDLE_CLOSE_DIVISOR),
        total_connections=max_connections,
    )


def _kill_delay_seconds(values: Mapping[str, str]) -> float:
    """Returns the time, in s, from SIGTERM to the earliest kill by the platform."""
    count = int(values.get("Classes.count", 0))
    timeouts_ms = (float(values.get(f"Classes.{i}.Deadline", 0)) for i in range(count))
    longest_ms = max(timeouts_ms, default=0.0)
    return min(MAX_CLIENT_TIMEOUT_SECONDS, longest_ms / 1000) + KILL_DELAY_SECONDS
