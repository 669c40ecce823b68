"""The gateway daemon: starting, reloading settings, handover to the next process, draining and stopping.

daemon_parts.py creates its parts and daemon_status.py its reports. The process around it (signals, logging,
the port of the health page) is in ochrecourse/cli.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from ochrecourse.bgp.fitness import DrainStage
from ochrecourse.common.runtime import now_ns
from ochrecourse.gateway.daemon_status import DaemonStatus
from ochrecourse.gateway.settings_reload import ReloadResult, reload_result, reloaded_record
from ochrecourse.interface import ListKind
from ochrecourse.membership.endpoint_list import EndpointListSnapshot, EndpointListUpdate
from ochrecourse.membership.registry_watcher import RegistryWatcher
from ochrecourse.settings.addresses import parse_address

NATIVE = "native"  # name of the framed protocol's listening socket
WEBDAV = "webdav"  # name of WebDAV's listening socket
BACKLOG = 4096  # connections that may wait to be accepted
ANY_PORT = ("127.0.0.1", 0)  # if the settings specify no address
JOURNAL_CLOSE_TIMEOUT_S = 5.0  # for the journal's last sync, after all clients have disconnected
FINAL_RESPONSES_DELAY_S = 0.2  # for the last responses to be sent before connections close

# Opens a listening port, given its name, port, factory and host. Raises CannotListenError.
Listen = Callable[[str, int, Any, str], Any]


class Daemon(DaemonStatus):
    """A gateway daemon. `record` is a resolved settings record."""

    # --- start ---

    def start(self) -> tuple[str, int]:
        """Starts serving and returns the address on which it listens. Raises CannotListenError."""
        self.watch_endpoints()
        return self.listen(self.open_port)

    def watch_endpoints(self) -> None:
        """Starts watching the endpoint list, without accepting connections yet."""
        self.endpoint_watcher.start()

    def open_port(self, name: str, port: int, factory: Any, host: str) -> Any:
        """Opens a listening port of the network (`Listen`)."""
        return self.network.listenTCP(port, factory, backlog=BACKLOG, interface=host)

    def listen(self, listen: Listen) -> tuple[str, int]:
        """Starts accepting; returns the framed protocol's address. Raises CannotListenError."""
        host, port = parse_address(self.record["gateway"]["listen"]) or ANY_PORT
        self.client_port = listen(NATIVE, port, self.client_factory, host)
        if self.webdav is not None:
            webdav_host, webdav_port = parse_address(self.record["webdav"]["listen"]) or ANY_PORT
            self.webdav_port = listen(WEBDAV, webdav_port, self.webdav, webdav_host)
        if self.fleet_member is not None:
            self.fleet_member.start(listen, self.record["fleet"]["listen"])
        if self.speaker is not None:
            self.speaker.start()
        if self.registration is not None:
            self.registration.start()
        at = self.client_port.getHost()
        return at.host, at.port

    def use_cached_list(self, snapshot: EndpointListSnapshot) -> None:
        """Loads a cached endpoint list that is not stored in the directory `gateway.state`."""
        endpoint_list = self.endpoint_watcher.endpoint_list
        self._endpoint_list_received(endpoint_list.restore_snapshot(snapshot, now_ns(self.network)))

    def _endpoint_list_received(self, update: EndpointListUpdate) -> None:
        complete = update.kind is not ListKind.DELTA
        self.node_observations.endpoint_list_received(update.entries, complete, now_ns(self.network))
        self.gateway.endpoint_list_received(update.kind, update.entries, update.addresses)
        if self.fleet_member is not None:
            self.fleet_member.nodes_are(self.gateway.entries)

    def accept_registry(self) -> bool:
        """Accepts, on an operator's order, a registry whose data is older than before.

        Returns False if no registry is distrusted.
        """
        watcher = self.endpoint_watcher
        if not isinstance(watcher, RegistryWatcher) or not watcher.registry.distrust_reason:
            return False
        watcher.accept_registry()
        return True

    def reload(self, record: Mapping[str, Any]) -> ReloadResult:
        """Applies settings that were read again, as far as a running daemon can."""
        result = reload_result(self.record, record)
        self.gateway.max_open = record["clients"]["open_jobs"]
        self.client_factory.max_connections = record["clients"]["connections"]
        self.record = reloaded_record(self.record, record)
        return result

    # --- the fleet during a handover ---

    def join_fleet(self) -> None:
        """Creates the fleet member if that was deferred. Raises JournalError, OSError."""
        if self.fleet_member is None and "fleet" in self.record:
            self.fleet_member = self._make_fleet_member()
            self.fleet_member.nodes_are(self.gateway.entries)

    def release_fleet(self, on_released: Callable[[], None] = lambda: None) -> None:
        """Leaves the fleet for the next process of this name; requests are served as before.

        The next process may open the journal once `on_released` is called.
        """
        if self.fleet_member is None:
            on_released()
            return

        def given() -> None:
            # If this process has rejoined the fleet meanwhile, it needs the lock itself.
            if self.process_lock is not None and self.fleet_member is None:
                self.process_lock.release()
            on_released()

        self.released_member, self.fleet_member = self.fleet_member, None
        self.released_member.give(given)

    def rejoin_fleet(self, listen: Listen) -> None:
        """Rejoins the fleet when the next process exited before it served.

        Raises JournalError, OSError, CannotListenError.
        """
        self.join_fleet()
        self.released_member = None
        if self.fleet_member is not None:
            self.fleet_member.start(listen, self.record["fleet"]["listen"])

    def hand_over(self) -> None:
        """Begins to drain after a handover: another process accepts on the sockets, which are closed here."""
        self.client_port = None
        if self.released_member is not None:
            from ochrecourse.fleet.quota import LENDABLE_FRACTION, SETTLE_MS

            # At nodes in slow start, the next process uses half of the quota at first and this one the other
            # half for its requests in flight, until the remaining use counts as that of another gateway.
            self.released_member.share(LENDABLE_FRACTION)
            self.network.callLater(SETTLE_MS / 1000, self.released_member.share, 0.0)
        if self.registration is not None:
            # The entry in the registry now belongs to the next process: revoking it here would remove it
            # until that process writes it again.
            self.registration.stop()
        self._begin_drain()

    # --- shutdown ---

    def drain(self) -> None:
        """Begins the graceful shutdown. Service addresses are withdrawn first, as described in docs/bgp.md; a
        second call skips that.

        Then new requests are rejected. When all requests in flight are answered, everything is closed and
        `HostProgram.on_stopped` is called.
        """
        if self.speaker is None or not self.speaker.begin_drain():
            self._begin_drain()

    def _begin_drain(self) -> None:
        if self.gateway.shutdown.accepts_requests():
            self.client_factory.announce_drain()
            if self.webdav is not None:
                self.webdav.close_idle_connections()
            self.gateway.on_drained.append(self._drained)
            self.gateway.drain()

    def _drained(self) -> None:
        if self.client_port is not None:
            self.client_port.stopListening()
        self.client_port = None
        if self.webdav_port is not None:
            self.webdav_port.stopListening()
        self.endpoint_watcher.stop()
        if self.fleet_member is not None:
            self.fleet_member.stop()
        if self.registration is not None:
            self.registration.revoke()
        if self.speaker is None or self.speaker.drain.stage is DrainStage.SERVING:
            self._close_clients()
        else:
            self.speaker.update()  # closes its sessions, then calls `_close_clients`

    def _close_clients(self) -> None:
        """Closes client connections after a delay, in which requests already sent are still rejected."""
        self.network.callLater(FINAL_RESPONSES_DELAY_S, self.client_factory.close)
        if self.webdav is not None:
            self.network.callLater(FINAL_RESPONSES_DELAY_S, self.webdav.close)
        self.network.callLater(2 * FINAL_RESPONSES_DELAY_S, self._stopped)

    def _stopped(self) -> None:
        if self.fleet_member is not None:
            self.fleet_member.close_journal(JOURNAL_CLOSE_TIMEOUT_S)
        if self.process_lock is not None:
            self.process_lock.release()
        self.host.on_stopped()

    def kill(self) -> None:
        """Stops at once and notifies nobody, like the exit of a process."""
        if self.fleet_member is not None:
            self.fleet_member.kill()
        if self.process_lock is not None:
            self.process_lock.release()
        if self.speaker is not None:
            self.speaker.kill()
        for port in (self.client_port, self.webdav_port):
            if port is not None:
                port.stopListening()
        self.gateway.stop()
        self.endpoint_watcher.stop()
        if self.registration is not None:
            self.registration.stop()
        for connection in list(self.client_factory.connections):
            connection.abort()
        for channel in list(self.webdav.channels) if self.webdav is not None else ():
            channel.transport.abortConnection()
