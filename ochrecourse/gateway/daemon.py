"""A gateway as one process serves it: how it starts, drains, is handed over and reads its settings again.

What it is made of is in daemon_parts.py, what it reports in daemon_status.py. The process around it (signals,
logging, the health page's port) is in the command line.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from ochrecourse.bgp.fitness import Stage
from ochrecourse.common.runtime import now_ns
from ochrecourse.gateway.daemon_status import DaemonStatus
from ochrecourse.gateway.settings_reload import ReloadResult, reload_result, reloaded_record
from ochrecourse.interface import ListKind
from ochrecourse.membership.endpoint_list import EndpointListSnapshot, EndpointListUpdate
from ochrecourse.membership.registry_watcher import RegistryWatcher
from ochrecourse.settings.addresses import parse_address

NATIVE = "native"  # the listening socket of the native framing, by name
WEBDAV = "webdav"  # and that of WebDAV
BACKLOG = 4096  # connections that may wait to be accepted
ANY_PORT = ("127.0.0.1", 0)  # where the settings name no address
JOURNAL_END_WAIT_S = 5.0  # for the journal's last sync, once no client is left
LAST_ANSWERS = 0.2  # s for the last answers to be sent before connections close

# Opens a port for what is named: its name, port, factory and host. Raises CannotListenError.
Listen = Callable[[str, int, Any, str], Any]


class Daemon(DaemonStatus):
    """A gateway as it serves. `record` is a resolved settings record."""

    # --- start ---

    def start(self) -> tuple[str, int]:
        """Serves from now on; returns the address that it listens on. Raises CannotListenError."""
        self.watch_endpoints()
        return self.listen(self.open_port)

    def watch_endpoints(self) -> None:
        """Watches the endpoint list; nothing is accepted yet."""
        self.endpoint_watcher.start()

    def open_port(self, name: str, port: int, factory: Any, host: str) -> Any:
        """Opens a port of the network (`Listen`)."""
        return self.network.listenTCP(port, factory, backlog=BACKLOG, interface=host)

    def listen(self, listen: Listen) -> tuple[str, int]:
        """Accepts from now on; returns the address of the native framing. Raises CannotListenError."""
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
        """A cached endpoint list, where it is not in the folder `gateway.state`."""
        endpoint_list = self.endpoint_watcher.endpoint_list
        self._endpoint_list_received(endpoint_list.restore_snapshot(snapshot, now_ns(self.network)))

    def _endpoint_list_received(self, update: EndpointListUpdate) -> None:
        complete = update.kind is not ListKind.DELTA
        self.node_observations.endpoint_list_received(update.entries, complete, now_ns(self.network))
        self.gateway.endpoint_list_received(update.kind, update.entries, update.addresses)
        if self.fleet_member is not None:
            self.fleet_member.nodes_are(self.gateway.entries)

    def accept_registry(self) -> bool:
        """An operator confirms a registry whose data is older than before; False if none is in doubt."""
        watcher = self.endpoint_watcher
        if not isinstance(watcher, RegistryWatcher) or not watcher.registry.distrust_reason:
            return False
        watcher.accept_registry()
        return True

    def reload(self, record: Mapping[str, Any]) -> ReloadResult:
        """Takes over settings that were read again, as far as a running daemon may."""
        result = reload_result(self.record, record)
        self.gateway.max_open = record["clients"]["open_jobs"]
        self.client_factory.max_connections = record["clients"]["connections"]
        self.record = reloaded_record(self.record, record)
        return result

    # --- the fleet, while sockets are handed over ---

    def join_fleet(self) -> None:
        """Makes its member of the fleet, where that was left for later. Raises JournalError, OSError."""
        if self.fleet_member is None and "fleet" in self.record:
            self.fleet_member = self._make_fleet_member()
            self.fleet_member.nodes_are(self.gateway.entries)

    def release_fleet(self, on_released: Callable[[], None] = lambda: None) -> None:
        """Leaves the fleet to the next process of this name, which may open the journal once `on_released` is
        called; requests are served as before.
        """
        if self.fleet_member is None:
            on_released()
            return

        def given() -> None:
            # Not where this process has taken its place back meanwhile: then the lock is its own again.
            if self.process_lock is not None and self.fleet_member is None:
                self.process_lock.release()
            on_released()

        self.released_member, self.fleet_member = self.fleet_member, None
        self.released_member.give(given)

    def rejoin_fleet(self, listen: Listen) -> None:
        """The next process ended before it served: takes this gateway's place in the fleet again. Raises
        JournalError, OSError, CannotListenError.
        """
        self.join_fleet()
        self.released_member = None
        if self.fleet_member is not None:
            self.fleet_member.start(listen, self.record["fleet"]["listen"])

    def hand_over(self) -> None:
        """Another process accepts on this one's sockets, which are closed here: what is in flight is
        finished.
        """
        self.client_port = None
        if self.released_member is not None:
            from ochrecourse.fleet.quota import LENDABLE_FRACTION, SETTLE_MS

            # The next process uses half of the quota at nodes that warm up at first; the other half is for
            # what is in flight here, until what remains of earlier uses counts as another's.
            self.released_member.share(LENDABLE_FRACTION)
            self.network.callLater(SETTLE_MS / 1000, self.released_member.share, 0.0)
        if self.registration is not None:
            # Guards against an entry that is missing until the next process, whose it is now, writes it anew.
            self.registration.stop()
        self._begin_drain()

    # --- the end ---

    def drain(self) -> None:
        """Begins the graceful shutdown. Service addresses are withdrawn first, as docs/bgp.md says; a second
        call skips that.

        Then nothing new is admitted; when all that is in flight is answered, everything is closed and
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
        if self.speaker is None or self.speaker.drain.stage is Stage.SERVING:
            self._close_clients()
        else:
            self.speaker.look()  # it ends its sessions, then calls `_close_clients`

    def _close_clients(self) -> None:
        """Requests that were on their way when clients were notified are still rejected; then the connections
        close.
        """
        self.network.callLater(LAST_ANSWERS, self.client_factory.close)
        if self.webdav is not None:
            self.network.callLater(LAST_ANSWERS, self.webdav.close)
        self.network.callLater(2 * LAST_ANSWERS, self._stopped)

    def _stopped(self) -> None:
        if self.fleet_member is not None:
            self.fleet_member.close_journal(JOURNAL_END_WAIT_S)
        if self.process_lock is not None:
            self.process_lock.release()
        self.host.on_stopped()

    def kill(self) -> None:
        """Ends everything at once and notifies nobody, as the end of a process does."""
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
