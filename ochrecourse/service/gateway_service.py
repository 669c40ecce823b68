"""The gateway in service on the platform: the library, its RESP2 entrance and exit, the list, and the order
of start, reload and end.

Start: the known list first, then the watch from its version, then the port. Reload: a file that
can't be read changes nothing and is read again for some seconds. End: jobs are taken as long as clients may
still come, connections are closed as they fall idle, and when the last job has its answer all is over.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ochrecourse.gateway.gateway import Gateway
from ochrecourse.nodes.pool import PoolLimits
from ochrecourse.common.runtime import Network, Timer, now_ns, stop
from ochrecourse.common.time_units import MS, SECOND
from ochrecourse.service.discovery import MalformedEndpointListError, DiscoveredEndpoints, EndpointListUpdate
from ochrecourse.service.start_file import read
from ochrecourse.service.start_settings import StartSettingsError, StartSettings
from ochrecourse.service.discovery_watch import DiscoveryWatch
from ochrecourse.resp.server import RespServerFactory
from ochrecourse.resp.node_connection import dialler
from ochrecourse.resp.commands import RequestClasses

TRAVEL = 40 * MS  # ns kept back of a client's time: its way here is not seen, nor a busy loop foreseen
GOING = 0.55  # s after SIGTERM in which new connections still come; it serves at least as long
KILL = (3.0, 0.7)  # s: the longest client timeout, cut to the first, and the second before it is killed
SPARE = 0.2  # s before that by which the last answer is out
CLOSING = 0.3  # s before that in which nothing new is taken
RESERVE = 40  # descriptors for the process itself: listener, watches, poll, log, and a few in between
READ_AGAIN = 0.1  # s before a start file that can't be read is read again: it may be half written
LONGEST_READ_AGAIN = 0.5  # s, after failures in a row
READ_UNTIL = 10.0  # s after SIGHUP at which the file is given up; a move of the list counts after 4 s
ROOMY = 4  # part of all descriptors beyond which resting clients are closed; clients hold a third at most
IDLE_PART = 3  # part of the time at which a node closes an idle connection after which this side does
DIALS = 64  # at once; a dial takes a part of a second at most, and a wait for one would look like a slow node


def shares(sockets: int) -> tuple[int, int]:
    """Descriptors for clients' connections and for nodes' connections, of all that the process may have."""
    free = max(16, sockets - RESERVE)
    clients = free * 3 // 5  # legs take far fewer connections than the clients of a gateway hold
    return clients, free - clients


class GatewayService:
    """One gateway in service. `path` is the start file; `over` is called when it has ended."""

    def __init__(
        self,
        start: StartSettings,
        path: str,
        network: Network,
        unix_ns: int,
        log: Callable[[str], None],
        over: Callable[[], None],
        unread_since: Callable[[], int] | None = None,
    ) -> None:
        """`unix_ns`: Unix time now; `unread_since`: as a gateway's. Raises StartSettingsError."""
        self.path = path
        self.network = network
        self.log = log
        self.over = over
        clients, nodes = shares(start.sockets)
        values = start.values
        idle = float(values.get("Limits.IdleClose", 15_000))
        idle_ns = round(idle * MS / IDLE_PART)
        limits = PoolLimits(attempts=1, connections=nodes, dials=DIALS, idle=idle_ns, total=nodes)
        self.gateway = Gateway(
            values, start.seed, network, dialler(network), start.name, travel=TRAVEL, limits=limits,
            unread_since=unread_since,
        )  # fmt: skip
        self.server = RespServerFactory(
            self.gateway, network, RequestClasses(values), clients, start.sockets // ROOMY
        )
        self.gateway.observers = [self.server]
        zones = [each for each in values.get("Zones", "").split(",") if each]
        self.book = DiscoveredEndpoints(zones, unix_ns - now_ns(network))
        self.watch = DiscoveryWatch(network, self.book, start.discovery, self._told, self._warn)
        self.listen_at = start.listen
        self.port: Any = None
        self.leaving = False
        self.ended = False
        self._read_again: Timer | None = None
        count = int(values.get("Classes.count", 0))
        longest = max((float(values.get(f"Classes.{i}.Deadline", 0)) for i in range(count)), default=0.0)
        self.kill = min(KILL[0], longest / 1000) + KILL[1]  # s after SIGTERM
        try:
            self._told(self.book.take(start.known, cached=True))
        except MalformedEndpointListError as trouble:
            raise StartSettingsError(f"the known list: {trouble}") from None

    def serve(self) -> tuple[str, int]:
        """Begins to follow the list and to listen; the address is returned."""
        self.watch.start()
        host, port = self.listen_at
        self.port = self.network.listenTCP(port, self.server, backlog=1024, interface=host)
        self.port.room = self.server.accept_capacity
        at = self.port.getHost()
        return at.host, at.port

    def reload(self) -> None:
        """The start file was replaced: what may change in service is taken over. A file that can't be read is
        read again for a while: it may be half written, or be missing for a moment.
        """
        stop(self._read_again)
        self._read_again = None
        if self.ended:
            return
        trouble = self._take_over()
        if trouble is None:
            return
        self.log(f"start file not taken over: {trouble}")
        self._reload_later(READ_AGAIN, self.network.seconds() + READ_UNTIL)

    def _take_over(self) -> StartSettingsError | None:
        """Reads the start file and follows it; what is wrong with it, if it can't be read."""
        try:
            again = read(self.path)
        except StartSettingsError as trouble:
            return trouble
        self.watch.move(again.discovery)
        self.log(f"start file read again; the list is told at {again.discovery[0]}:{again.discovery[1]}")
        return None

    def _reload_later(self, wait: float, until: float) -> None:
        self._read_again = self.network.callLater(wait, self._reload_again, wait, until)

    def _reload_again(self, wait: float, until: float) -> None:
        self._read_again = None
        trouble = self._take_over()
        if trouble is None:
            return
        if self.network.seconds() >= until:
            self.log(f"start file given up until the next SIGHUP: {trouble}")
            return
        self._reload_later(min(LONGEST_READ_AGAIN, 2 * wait), until)

    def leave(self) -> None:
        """Goes out of service in order; `over` is called at the end."""
        if self.leaving:
            return
        self.leaving = True
        self.log(f"leaving; {self.gateway.request_log.open} jobs open")
        # Clients use the connections they have while these are open, and find nobody here once it has ended.
        self.gateway.answer_by = now_ns(self.network) + round((self.kill - SPARE) * SECOND)
        self.network.callLater(max(GOING, self.kill - SPARE - CLOSING), self._close_door)

    def _close_door(self) -> None:
        if self.port is not None:
            self.port.stopListening()
        # Who was accepted just now is read before anything is closed.
        self.network.callLater(0, self._close_connections)

    def _close_connections(self) -> None:
        self.server.on_drained = self._empty
        self.server.shut_down()

    def _empty(self) -> None:
        self.server.on_drained = None
        self.network.callLater(0, self._end)

    def _end(self) -> None:
        self.ended = True
        stop(self._read_again)
        self.watch.stop()
        self.server.stop()
        self.gateway.stop()
        self.over()

    def _told(self, news: EndpointListUpdate) -> None:
        self.gateway.endpoint_list_received(news.kind, news.entries, news.addresses)

    def _warn(self, text: str) -> None:
        self.log(text)
