"""Follows a list server: connects, asks for what is new, comes back after breaks; `EndpointListStore` hands
lists on and keeps the last one.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any, ClassVar

from twisted.internet.protocol import ClientFactory

from ochrecourse.storage.atomic_file import DamagedFileError
from ochrecourse.membership import endpoint_cache
from ochrecourse.membership.endpoint_list import (
    BadEndpointListError,
    EndpointListSnapshot,
    EndpointListUpdate,
    EndpointList,
)
from ochrecourse.common.runtime import Network, Timer, now_ns, stop
from ochrecourse.wire import messages as m
from ochrecourse.wire.errors import MalformedMessageError, ProtocolViolationError
from ochrecourse.wire.framed_protocol import FramedProtocol
from ochrecourse.wire.state import ListConnectionState, StreamState, Role

FIRST_WAIT = 0.1  # s before the first try to come back; a restarted server is there again soon
LONGEST_WAIT = 2.0  # s; an operator's drain grace is of this size, so a break costs no more than one of it


class _ListServerConnection(FramedProtocol):
    """One connection to the list server."""

    max_body: ClassVar[int] = m.MAX_LIST_BODY_BYTES

    def __init__(self, follower: ListServerWatcher) -> None:
        super().__init__(follower.network, Role.REQUESTER, ListConnectionState())
        self.follower = follower

    def connection_ready(self) -> None:
        self.send_message(m.Hello(version=m.PROTOCOL_VERSION, role="gateway", name=self.follower.name))
        self.send_message(m.WatchEndpoints(epoch=self.follower.view.epoch))

    def message_received(self, message: m.AnyMessage, body: bytes, after: StreamState | None) -> None:
        if isinstance(message, m.EndpointListMessage):
            try:
                self.follower.list_came(message.kind, message.epoch, m.decode_list(body))
            except (BadEndpointListError, MalformedMessageError) as trouble:
                raise ProtocolViolationError("bad_list", str(trouble)) from None
            if not self.follower.view.epoch:
                self.send_message(m.WatchEndpoints(epoch=0))

    def connection_ended(self, mid_message: bool) -> None:
        self.follower.lost(self)


class EndpointListStore:
    """The list as this gateway holds it, whoever tells it.

    `told` gets each piece of news; `path` is where the last list is kept.
    """

    def __init__(
        self,
        name: str,
        network: Network,
        told: Callable[[EndpointListUpdate], None],
        path: Path | None,
        warn: Callable[[str], None],
    ) -> None:
        self.name = name
        self.network = network
        self.told = told
        self.path = path
        self.warn = warn
        self.view = EndpointList()
        self.counts: Counter[str] = Counter()
        self.cluster = 0  # of the registry that tells the list

    def hand_on_kept(self) -> EndpointListSnapshot | None:
        """The kept list, if a good one is there."""
        if self.path is None:
            return None
        try:
            copy = endpoint_cache.load(self.path)
            if copy is not None and copy.gateway not in ("", self.name):
                raise DamagedFileError(
                    f"{self.path}: it is of gateway {copy.gateway!r}, not of {self.name!r}"
                )
            if copy is not None:
                self.told(self.view.read_back(copy, now_ns(self.network)))
            return copy
        except (DamagedFileError, OSError, BadEndpointListError) as trouble:
            self.counts["kept lists not read"] += 1
            self.warn(f"the kept list of nodes is ignored: {trouble}")
            return None

    def take(self, kind: str, epoch: int, lines: list[m.EndpointEntry]) -> bool:
        """A list or a change of it; True if it told something new. Raises BadEndpointListError."""
        now = now_ns(self.network)
        news = self.view.list_came(kind, epoch, lines, now)
        if news is None:
            return False
        self.counts["lists"] += 1
        self.told(news)
        if self.path is not None:
            try:
                copy = self.view.copy(now)
                copy.gateway, copy.cluster = self.name, self.cluster
                endpoint_cache.save(self.path, copy)
            except OSError as trouble:
                self.counts["lists not kept"] += 1
                self.warn(f"the list of nodes could not be kept: {trouble}")
        return True


class ListServerWatcher(EndpointListStore, ClientFactory):
    """The gateway's side of the list server."""

    noisy = False

    def __init__(
        self,
        name: str,
        network: Network,
        address: tuple[str, int],
        told: Callable[[EndpointListUpdate], None],
        path: Path | None,
        seed: int,
        warn: Callable[[str], None] = lambda text: None,
    ) -> None:
        super().__init__(name, network, told, path, warn)
        self.address = address
        self.chance = random.Random(seed)
        self.line: _ListServerConnection | None = None
        self.wait = FIRST_WAIT
        self.stopped = False
        self._timer: Timer | None = None

    def start(self) -> None:
        """Hands on the kept list, if a good one is there, then connects."""
        self.hand_on_kept()
        self._connect()

    def stop(self) -> None:
        self.stopped = True
        stop(self._timer)
        if self.line is not None:
            self.line.abort()

    def list_came(self, kind: str, epoch: int, lines: list[m.EndpointEntry]) -> None:
        if self.take(kind, epoch, lines):
            self.wait = FIRST_WAIT

    def buildProtocol(self, addr: Any) -> _ListServerConnection:
        self.line = _ListServerConnection(self)
        return self.line

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self._again()

    def lost(self, line: _ListServerConnection) -> None:
        if self.line is line:
            self.line = None
            self.counts["breaks"] += 1
            self._again()

    def _connect(self) -> None:
        self._timer = None
        self.network.connectTCP(self.address[0], self.address[1], self, timeout=LONGEST_WAIT)

    def _again(self) -> None:
        if not self.stopped and self._timer is None:
            self._timer = self.network.callLater(self.wait * self.chance.uniform(0.5, 1.0), self._connect)
            self.wait = min(LONGEST_WAIT, self.wait * 2)
