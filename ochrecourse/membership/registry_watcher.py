"""Follows a registry over HTTP: one connection for calls, one for the watch, several servers to choose from.

What is asked and what is believed is decided in `registry`; this module carries it. A look once a second at
the newest change under the prefix tells a watch that stands still from one that has nothing to tell. Where
there are several servers the look goes to another one than the watch: a server that lies behind and does not
know it can't vouch for itself.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

from twisted.internet.protocol import ClientFactory

from ochrecourse.membership import etcd
from ochrecourse.membership.server_selection import LAG, LOOK, PATIENCE, ServerSelector, WatchLag
from ochrecourse.membership.list_server_watcher import EndpointListStore
from ochrecourse.membership.registry_state import Change, Feed, RangeAsked, Untrusted
from ochrecourse.membership.registrations import NodeRegistrations
from ochrecourse.membership.endpoint_list import BadEndpointListError, EndpointListUpdate
from ochrecourse.common.runtime import Network, Timer, now_ns, stop
from ochrecourse.common.time_units import MS
from ochrecourse.wire.http_client import HttpResponse, HttpClientProtocol

PAGE = 100  # keys of a page; some tens of KiB
JSON = {"Content-Type": "application/json"}


class _Line(ClientFactory):
    """One connection to a server."""

    noisy = False

    def __init__(self, up: Callable[[HttpClientProtocol], None], lost: Callable[[], None]) -> None:
        self.up = up
        self.lost = lost
        self.talk: HttpClientProtocol | None = None

    def buildProtocol(self, addr: Any) -> HttpClientProtocol:
        self.talk = HttpClientProtocol(self.up, lambda talk: self.lost())
        return self.talk

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.lost()


class RegistryWatcher(EndpointListStore):
    """The gateway's side of the registry; stands where a `Follower` of a list server would.

    `since_1970` gives ms since 1970, for ages that writers tell by their own clocks. `line` is the watch
    while it holds, None without one.
    """

    def __init__(
        self,
        name: str,
        network: Network,
        servers: Sequence[tuple[str, int]],
        prefix: bytes,
        told: Callable[[EndpointListUpdate], None],
        path: Path | None,
        seed: int,
        since_1970: Callable[[], int],
        warn: Callable[[str], None] = lambda text: None,
    ) -> None:
        super().__init__(name, network, told, path, warn)
        self.servers = list(servers)
        self.since_1970 = since_1970
        self.chance = random.Random(seed)
        self.choice = ServerSelector(len(self.servers), self.chance.random)
        self.lag = WatchLag()
        self.feed = Feed(prefix)
        self.roster = NodeRegistrations()
        self.line: HttpClientProtocol | None = None
        self.calls: _Line | None = None
        self.watch: _Line | None = None
        self.other: _Line | None = None  # to another server, for looks
        self.stream = etcd.Stream()
        self.stopped = False
        self._timer: Timer | None = None
        self._late: Timer | None = None
        self._look: Timer | None = None
        self._look_late: Timer | None = None

    def start(self) -> None:
        """Hands on the kept list, if a good one is there, then connects."""
        copy = self.hand_on_kept()
        if copy is not None and copy.cluster:
            self.feed.remember(copy.cluster, copy.epoch)
        self._connect()

    def stop(self) -> None:
        self.stopped = True
        self._drop()
        stop(self._timer)

    def accept(self) -> None:
        """An operator says that the registry is right though it went back or is another one."""
        self.feed.accept()
        self.choice.stands()
        self._broke("an operator accepted the registry as it is")

    # --- connections ---

    def _connect(self) -> None:
        self._timer = None
        self.calls = self._dial(self.choice.at, self._ask)

    def _dial(self, at: int, up: Callable[[HttpClientProtocol], None]) -> _Line:
        line = _Line(up, lambda: self._lost(line))
        host, port = self.servers[at]
        self.network.connectTCP(host, port, line, timeout=PATIENCE)
        return line

    def _lost(self, line: _Line) -> None:
        if line in (self.calls, self.watch):
            self._broke("the connection ended")
        elif line is self.other:
            self._other_failed()

    def _other_failed(self) -> None:
        """The server that looks went to is gone or not believed; the next look goes to another, by chance."""
        self.counts["looks that failed"] += 1
        other, self.other = self.other, None
        stop(self._look_late)
        self._look_late = None
        if other is not None and other.talk is not None and not other.talk.lost:
            other.talk.cancel()
        if self.watch is not None:
            stop(self._look)
            self._look = self.network.callLater(LAG, self._look_at_newest)

    def _broke(self, why: str) -> None:
        """Leaves the server at hand; another one, by chance, is asked after a while."""
        self._drop()
        if self.stopped or self._timer is not None:
            return
        self.counts[f"breaks: {why}"] += 1
        self.feed.broke()
        self._timer = self.network.callLater(self.choice.broke(), self._connect)

    def _drop(self) -> None:
        lines = (self.calls, self.watch, self.other)
        self.calls = self.watch = self.other = self.line = None
        for timer in (self._late, self._look, self._look_late):
            stop(timer)
        self._late = self._look = self._look_late = None
        for line in lines:
            if line is not None and line.talk is not None and not line.talk.lost:
                line.talk.cancel()

    def _untrusted(self, why: str) -> None:
        """What this server says is not believed. If no other is, an operator must say which is right."""
        if self.choice.refused():
            self.warn(f"the registry is not believed: {why}; if it was restored, accept it")
        self._broke("not believed")

    # --- calls ---

    def _call(self, path: str, body: bytes, then: Callable[[HttpResponse], None]) -> None:
        line = self.calls
        if line is None or line.talk is None:
            return

        def came(answer: HttpResponse | None) -> None:
            if self.calls is not line:
                return
            stop(self._late)
            self._late = None
            if answer is None or not answer.complete:
                self._broke("an answer broke off")
                return
            try:
                then(answer)
            except etcd.Compacted:
                self.feed.compacted()
                self._ask()
            except etcd.BadAnswer as trouble:
                self.counts["bad answers"] += 1
                self.warn(f"the registry's answer is not understood: {trouble}")
                self._broke("a bad answer")
            except Untrusted as trouble:
                self._untrusted(str(trouble))

        self._late = self.network.callLater(PATIENCE, self._too_late)
        line.talk.request("POST", path, JSON, body, came)

    def _too_late(self) -> None:
        self._late = None
        self._broke("no answer in time")

    def _ask(self, talk: HttpClientProtocol | None = None) -> None:
        """Asks for what the feed wants next."""
        asked = self.feed.asks()
        if isinstance(asked, RangeAsked):
            self._call(etcd.RANGE, etcd.range_body(self.feed.prefix, asked, PAGE), self._page_came)
        elif self.watch is None:
            self.watch = self._dial(self.choice.at, self._watch_up)
            self._look = self.network.callLater(LOOK * self.chance.random(), self._look_at_newest)

    def _page_came(self, answer: HttpResponse) -> None:
        header, records, more = etcd.range_answer(answer.status, answer.body)
        changes = self.feed.page_came(header.cluster_id, header.revision, records, more)
        if changes is not None:
            self._tell(changes, first=True)
        self._ask()

    def _look_at_newest(self) -> None:
        self._look = None
        self._look_late = self.network.callLater(PATIENCE, self._other_failed)
        if self.other is None:
            self.other = self._dial(self.choice.another(), self._look_up)
        elif self.other.talk is not None and self.other.talk.on_response is None:
            self._look_up(self.other.talk)

    def _look_up(self, talk: HttpClientProtocol) -> None:
        talk.request("POST", etcd.RANGE, JSON, etcd.newest_body(self.feed.prefix), self._newest_came)

    def _newest_came(self, answer: HttpResponse | None) -> None:
        stop(self._look_late)
        self._look_late = None
        try:
            if answer is None or not answer.complete:
                raise etcd.BadAnswer("it broke off")
            header, records, _ = etcd.range_answer(answer.status, answer.body)
            self.feed.watch_began(header.cluster_id, header.revision)  # believed or not, as for a watch
        except (etcd.BadAnswer, etcd.Compacted, Untrusted):
            self._other_failed()
            return
        wait = self.lag.saw(records[0].changed if records else 0, self.feed.known)
        if not self.lag.newest:
            self.view.heard = now_ns(self.network)
        then = self._still_behind if self.lag.newest else self._look_at_newest
        self._look = self.network.callLater(wait, then)

    def _still_behind(self) -> None:
        self._look = None
        if self.lag.behind(self.feed.known):
            self._broke("the watch stands still")
        else:
            self._look = self.network.callLater(LOOK, self._look_at_newest)

    # --- the watch ---

    def _watch_up(self, talk: HttpClientProtocol) -> None:
        asked = self.feed.asks()
        if isinstance(asked, RangeAsked):
            return
        self.stream = etcd.Stream()
        talk.on_body_data = lambda data: self._streamed(talk, data)
        body = etcd.watch_body(self.feed.prefix, asked.revision)
        talk.request("POST", etcd.WATCH, JSON, body, lambda answer: self._stream_over(talk))

    def _streamed(self, talk: HttpClientProtocol, data: bytes) -> None:
        if self.watch is None or self.watch.talk is not talk:
            return
        try:
            for message in self.stream.feed(data):
                if message.canceled:
                    if not message.compact_revision:
                        raise etcd.BadAnswer(f"a watch that was cancelled: {message.cancel_reason}")
                    raise etcd.Compacted
                if message.created:
                    self.feed.watch_began(message.header.cluster_id, message.header.revision)
                    self.line = talk
                    self.choice.stands()
                if message.events:
                    told = self.feed.changes_came(message.header.cluster_id, etcd.changes_of(message))
                    self._tell(told, first=False)
        except etcd.Compacted:
            self.feed.compacted()
            self._broke("compacted")
        except etcd.BadAnswer as trouble:
            self.counts["bad answers"] += 1
            self.warn(f"the registry's stream is not understood: {trouble}")
            self._broke("a bad stream")
        except Untrusted as trouble:
            self._untrusted(str(trouble))

    def _stream_over(self, talk: HttpClientProtocol) -> None:
        if self.watch is not None and self.watch.talk is talk:
            self._broke("the watch ended")

    def _tell(self, changes: list[Change], first: bool) -> None:
        """The whole list goes on after each change: it is small, and a list that is whole has no gaps."""
        if not changes and not first:
            return
        self.cluster = self.feed.cluster
        lines = self.roster.lines(self.feed.records, now_ns(self.network), self.since_1970())
        try:
            self.take("full", self.feed.known, lines)
        except BadEndpointListError as trouble:
            self.counts["bad lists"] += 1
            self.warn(f"the registry's list is not taken: {trouble}")


def age_clock(network: Network, epoch: int) -> Callable[[], int]:
    """ms since 1970 by a clock whose zero is `epoch` s after it."""
    return lambda: round(now_ns(network) / MS) + epoch * 1000
