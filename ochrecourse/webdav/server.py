"""The WebDAV server on Twisted's HTTP server: its connections, their limits, and what its requests share.

channel.py reads requests and request.py answers them; the other modules of this package decide what the
response is.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

from twisted.web.http import HTTPFactory

from ochrecourse.common import requests
from ochrecourse.common.input_timer import InputTimer
from ochrecourse.common.runtime import Network, now_ns
from ochrecourse.common.time_units import MS, SECOND
from ochrecourse.webdav import bodies
from ochrecourse.webdav.channel import Channel
from ochrecourse.webdav.deduplication import RequestDeduplicator
from ochrecourse.webdav.limits import ConnectionLimits, IncomingRequest, RateLimiter
from ochrecourse.webdav.mapping import RequestClassRule, VolumeRule
from ochrecourse.webdav.methods import Methods, Quota, Reply
from ochrecourse.webdav.namespace import StagedWrite
from ochrecourse.webdav.request import WebDavRequest
from ochrecourse.webdav.state_store import StateStore

SWEEP_INTERVAL_S = 0.25  # between checks for slow and idle connections


class WebDavServer(HTTPFactory):
    """The WebDAV server of one gateway: its namespace and locks, and the rules that map requests.

    `number`, of the gateway, is part of its objects' keys at the nodes, so that gateways don't share keys;
    `store` contains names and locks; `access_log` is called with the fields of each request's log line.
    """

    noisy = False
    protocol = Channel  # type: ignore[assignment]

    def __init__(
        self,
        gateway: requests.RequestGateway,
        network: Network,
        class_rules: list[RequestClassRule],
        volume_rules: list[VolumeRule],
        unit_bytes: int,
        max_units: float,
        number: int,
        store: StateStore,
        limits: ConnectionLimits,
        quota: Quota = Quota({}),  # noqa: B008
        access_log: Callable[..., None] | None = None,
    ) -> None:
        super().__init__(timeout=None, reactor=network)  # type: ignore[arg-type]
        self.server = self
        self.gateway = gateway
        self.network = network
        self.class_rules = class_rules
        self.volume_rules = volume_rules
        self.unit_bytes = unit_bytes
        self.max_units = max_units
        self.number = number
        self.limits = limits
        self.access_log = access_log
        self.store = store
        self.tree = store.tree
        self.methods = Methods(store, quota)
        self.deduplicator = RequestDeduplicator()
        self.waiting: dict[int, WebDavRequest] = {}
        self.channels: dict[Channel, None] = {}
        self.receiving: dict[Channel, IncomingRequest] = {}
        self.idle: dict[Channel, int] = {}  # connections between requests: since when, in ns; longest first
        self.counts: Counter[str] = Counter()
        self.request_count = 0
        self.closed = 0  # connections closed so far
        self._sweep_timer = InputTimer(network, limits.max_header_bytes + bodies.MAX_BODY_BYTES)

    def check_rate(self, rate_limiter: RateLimiter, now: int) -> None:
        """Counts a request against its connection's rate. Raises Reply if the rate is exceeded."""
        wait = rate_limiter.acquire(self.limits, now)
        if wait:
            raise Reply(429, "too many requests on this connection", {"Retry-After": str(-(-wait // SECOND))})

    def mark_idle(self, channel: Channel) -> None:
        """Starts the idle time of a connection."""
        self.idle.pop(channel, None)
        self.idle[channel] = now_ns(self.network)
        self.schedule_sweep()

    def schedule_sweep(self) -> None:
        """Schedules the next check for slow and idle connections."""
        if not self._sweep_timer.is_running():
            self._sweep_timer.start(SWEEP_INTERVAL_S, self._sweep_connections)

    def _sweep_connections(self) -> None:
        """Closes connections whose requests arrive too slowly, and those that are idle for too long."""
        now = now_ns(self.network)
        for channel, incoming in list(self.receiving.items()):
            if incoming.is_too_slow(self.limits, now):
                channel.reject_slow_request()
        while self.idle:
            channel, since = next(iter(self.idle.items()))
            if since + self.limits.idle_timeout > now:
                break
            del self.idle[channel]
            channel.loseConnection()
        if self.receiving or self.idle:
            self.schedule_sweep()

    def log(self, request: Any) -> None:
        """Logs a request, once its response is written or its client disconnects. Twisted calls it too."""
        parsed = request.parsed
        if parsed is None or request.outcome == "told":
            return
        outcome, request.outcome = request.outcome, "told"
        self.counts[f"requests: {outcome}"] += 1
        if self.access_log is not None:
            self.access_log(
                how=outcome,
                method=parsed.method,
                path=parsed.target,
                status=request.code if request.startedWriting else 0,
                bytes_in=request.size,
                bytes_out=request.sentLength,
                ms=round((now_ns(self.network) - request.received_at) / MS, 3),
                trace=request.trace,
            )

    def close_idle_connections(self) -> None:
        """Closes connections without a request; on shutdown the others close after their responses."""
        for channel in list(self.channels):
            if not channel.requests:
                channel.loseConnection()

    def close(self) -> None:
        """Closes all connections once their pending output is sent."""
        for channel in list(self.channels):
            channel.loseConnection()

    def node_key(self, staged: StagedWrite) -> int:
        """Returns the key of a write's content at the nodes: unique across versions and gateways."""
        return (self.number + 1 << 40) + staged.key

    def complete_request(self, number: int, status: int) -> None:
        """Ends the wait of duplicates: those of a write get its status, those of a read run again."""
        for other in self.deduplicator.complete(number, status, now_ns(self.network)):
            waiting = self.waiting.pop(other, None)
            if waiting is None:
                continue
            if waiting.method == b"GET":
                self.network.callLater(0, waiting.retry)
            else:
                waiting.respond(status, "", {"Retry-After": "1"} if status == 503 else {}, "joined")
