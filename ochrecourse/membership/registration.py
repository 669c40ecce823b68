"""Carries this gateway's lease to the registry, on a connection of its own."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any

from twisted.internet.protocol import ClientFactory

from ochrecourse.membership import etcd
from ochrecourse.membership.lease import Lease, LeaseAction
from ochrecourse.membership.registry_state import RangeAsked
from ochrecourse.common.runtime import Network, Timer, now_ns, stop
from ochrecourse.common.time_units import SECOND
from ochrecourse.wire.http_client import HttpResponse, HttpClientProtocol

PATIENCE = 0.8  # s for an answer
LOOK = 0.5  # s between looks at what the lease wants; well inside a third of the shortest lease
OTHERS = 3.0  # s between looks at the others' entries; their addresses change when they are started anew
PAGE = 100  # entries asked for at once; some tens of KiB, less than what is kept of an answer
AGAIN = 1.0  # s, the most before another try, by chance
JSON = {"Content-Type": "application/json"}


class Registration(ClientFactory):
    """This gateway's entry. `value` gives what it holds now; `others`, if there, hears now and then of all
    entries under the same prefix, by key.
    """

    noisy = False

    def __init__(
        self,
        network: Network,
        servers: Sequence[tuple[str, int]],
        key: bytes,
        value: Callable[[], bytes],
        seconds: int,
        seed: int,
        prefix: bytes = b"",
        others: Callable[[dict[bytes, bytes]], None] | None = None,
    ) -> None:
        self.network = network
        self.servers = list(servers)
        self.key = key
        self.value = value
        self.prefix = prefix
        self.others = others
        self.lease = Lease(seconds)
        self.chance = random.Random(seed)
        self.at = self.chance.randrange(len(self.servers))
        self.counts: Counter[str] = Counter()
        self.talk: HttpClientProtocol | None = None
        self.dialling = False
        self._look: Timer | None = None
        self._late: Timer | None = None
        self._found: dict[bytes, bytes] = {}  # entries of the pages so far
        self._page = prefix  # the key that the next page begins at
        self._others_at = 0  # ns, no look at the others before this

    def start(self) -> None:
        self._look = self.network.callLater(LOOK * self.chance.random(), self._turn)

    def stop(self) -> None:
        """Ends at once; the entry goes when its lease has run out."""
        stop(self._look)
        stop(self._late)
        self._look = self._late = None
        talk, self.talk = self.talk, None
        if talk is not None and not talk.lost:
            talk.cancel()

    def leave(self) -> None:
        """On purpose: the lease is given back, so that the entry goes now."""
        talk, lease = self.talk, self.lease.id
        stop(self._look)
        self._look = None
        if talk is not None and not talk.lost and talk.on_response is None and lease:
            talk.request("POST", etcd.REVOKE, JSON, etcd.lease_body(lease), lambda answer: self.stop())
        else:
            self.stop()

    def held(self) -> bool:
        return self.lease.held(now_ns(self.network))

    def _turn(self) -> None:
        self._look = self.network.callLater(LOOK, self._turn)
        now = now_ns(self.network)
        wants = self.lease.wants(now)
        looks = self.others is not None and wants is LeaseAction.NOTHING and now >= self._others_at
        busy = self.dialling or (self.talk is not None and self.talk.on_response is not None)
        if busy or (wants is LeaseAction.NOTHING and not looks):
            return
        if self.talk is None or self.talk.lost or self.talk.closing:
            self.dialling = True
            host, port = self.servers[self.at]
            self.network.connectTCP(host, port, self, timeout=PATIENCE)
            return
        lease = self.lease.id
        if looks:
            body = etcd.range_body(self.prefix, RangeAsked(self._page, 0), PAGE)
            self._late = self.network.callLater(PATIENCE, self._failed, "no answer in time")
            self.talk.request("POST", etcd.RANGE, JSON, body, self._others_came)
            return
        path, body = {
            LeaseAction.GRANT: (etcd.GRANT, etcd.grant_body(self.lease.seconds)),
            LeaseAction.PUT: (etcd.PUT, etcd.put_body(self.key, self.value(), lease)),
            LeaseAction.KEEP: (etcd.KEEP_ALIVE, etcd.lease_body(lease)),
        }[wants]
        self._late = self.network.callLater(PATIENCE, self._failed, "no answer in time")
        self.talk.request("POST", path, JSON, body, lambda answer: self._came(wants, now, answer))

    def _came(self, wants: LeaseAction, asked_at: int, answer: HttpResponse | None) -> None:
        stop(self._late)
        self._late = None
        try:
            if answer is None or not answer.complete:
                raise etcd.BadAnswer("it broke off")
            told = etcd.granted(answer.status, answer.body, wants is LeaseAction.KEEP)
        except (etcd.BadAnswer, etcd.Compacted) as trouble:
            if wants is LeaseAction.PUT and answer is not None and answer.status == 400:
                self.lease.kept(0, asked_at)  # the registry knows no such lease
            self._failed(str(trouble))
            return
        if wants is LeaseAction.GRANT:
            self.lease.granted(told.ID, asked_at)
        elif wants is LeaseAction.PUT:
            self.lease.was_put(asked_at)
        else:
            self.lease.kept(told.TTL, asked_at)
        stop(self._look)
        self._look = self.network.callLater(0, self._turn)

    def _others_came(self, answer: HttpResponse | None) -> None:
        stop(self._late)
        self._late = None
        try:
            if answer is None or not answer.complete:
                raise etcd.BadAnswer("it broke off")
            _, records, more = etcd.range_answer(answer.status, answer.body)
        except (etcd.BadAnswer, etcd.Compacted) as trouble:
            self._page, self._found = self.prefix, {}
            self._failed(str(trouble))
            return
        self._found.update((record.key, record.value) for record in records)
        if more and records:
            self._page = records[-1].key + b"\0"
        else:
            found, self._page, self._found = self._found, self.prefix, {}
            self._others_at = now_ns(self.network) + round(OTHERS * SECOND)
            if self.others is not None:
                self.others(found)
        stop(self._look)
        self._look = self.network.callLater(0, self._turn)

    def _failed(self, why: str) -> None:
        """Another server is asked, after a while by chance."""
        self.counts[f"lease: {why}"] += 1
        talk, self.talk = self.talk, None
        self.dialling = False
        stop(self._late)
        self._late = None
        if talk is not None and not talk.lost:
            talk.cancel()
        self.at = (self.at + 1) % len(self.servers)
        self.lease.failed(now_ns(self.network), round(AGAIN * self.chance.random() * SECOND))

    def buildProtocol(self, addr: Any) -> HttpClientProtocol:
        self.dialling = False
        self.talk = HttpClientProtocol(lambda talk: None, lambda talk: None)
        return self.talk

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self._failed("no connection")
