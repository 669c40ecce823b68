"""A registry of keys with revisions, in the published JSON form of the etcd v3 API; it breaks when told to.

One `Store` stands behind several endpoints; an endpoint may lie behind, be silent, hold its streams back or
cut them. Written from the published form alone, and shares no code with the client.
"""

from __future__ import annotations

import base64
import copy
import json
from typing import Any

from twisted.web.http import HTTPChannel, HTTPFactory, Request

from ochrecourse.common.runtime import Network, now_ns
from ochrecourse.common.time_units import SECOND


def coded(data: bytes) -> str:
    return base64.b64encode(data).decode()


class Store:
    """All changes by revision; `compacted`: the oldest revision that can still be read."""

    def __init__(self, cluster: int = 0x0C4E) -> None:
        self.cluster = cluster
        self.revision = 1
        self.log: list[tuple[int, bytes, bytes | None, int]] = []  # revision, key, value, lease
        self.compacted = 0
        self.leases: dict[int, int] = {}  # and when each runs out, ns
        self.next_lease = 1000
        self.ends: list[Endpoint] = []

    def put(self, key: bytes, value: bytes | None, lease: int = 0) -> int:
        """A change; a value of None deletes. Streams hear of it."""
        self.revision += 1
        self.log.append((self.revision, key, value, lease))
        for end in self.ends:
            end.push()
        return self.revision

    def at(self, revision: int) -> dict[bytes, tuple[int, bytes, int, int, int]]:
        """Keys at a revision: changed, value, lease, created, version."""
        held: dict[bytes, tuple[int, bytes, int, int, int]] = {}
        for changed, key, value, lease in self.log:
            if changed > revision:
                break
            if value is None:
                held.pop(key, None)
            else:
                before = held.get(key)
                created, version = (before[3], before[4] + 1) if before else (changed, 1)
                held[key] = (changed, value, lease, created, version)
        return held

    def compact(self) -> None:
        """Forgets all but the newest revision."""
        self.compacted = self.revision

    def expire(self, now: int) -> None:
        """Leases that ran out take their keys along."""
        for lease in [each for each, due in self.leases.items() if due <= now]:
            self.revoke(lease)

    def revoke(self, lease: int) -> bool:
        known = self.leases.pop(lease, None) is not None
        for key, held in sorted(self.at(self.revision).items()):
            if held[2] == lease and known:
                self.put(key, None)
        return known


class Call(Request):
    """One call."""

    channel: Any
    content: Any
    watch: tuple[bytes, bytes] | None = None
    next = 0  # revision of its stream

    def process(self) -> None:
        end: Endpoint = self.channel.factory
        end.calls.append((now_ns(end.network), self.uri.decode()))
        if end.silent:
            return
        asked = json.loads(self.content.read() or b"{}")
        end.network.callLater(end.late, self.answer, end, asked)

    def answer(self, end: Endpoint, asked: dict[str, Any]) -> None:
        if self._disconnected or end.silent:
            return
        store = end.store
        store.expire(now_ns(end.network))
        path = self.uri.decode()
        if path == "/v3/kv/range":
            self._range(end, asked)
        elif path == "/v3/watch":
            self._watch(end, asked["create_request"])
        elif path == "/v3/kv/put":
            lease = int(asked.get("lease", 0))
            if lease and lease not in store.leases:
                self.fail(5, "etcdserver: requested lease not found")
                return
            store.put(base64.b64decode(asked["key"]), base64.b64decode(asked.get("value", "")), lease)
            self.say({"header": end.header()})
        elif path == "/v3/lease/grant":
            store.next_lease += 1
            store.leases[store.next_lease] = now_ns(end.network) + int(asked["TTL"]) * SECOND
            self.say({"header": end.header(), "ID": str(store.next_lease), "TTL": asked["TTL"]})
        elif path == "/v3/lease/keepalive":
            lease = int(asked["ID"])
            known = lease in store.leases
            if known:
                store.leases[lease] = now_ns(end.network) + end.lease_time * SECOND
            told = {"TTL": str(end.lease_time)} if known else {}
            self.say({"result": {"header": end.header(), "ID": str(lease), **told}})
        elif path == "/v3/lease/revoke":
            if store.revoke(int(asked["ID"])):
                self.say({"header": end.header()})
            else:
                self.fail(5, "etcdserver: requested lease not found")
        else:
            self.fail(12, "unimplemented", 501)

    def _range(self, end: Endpoint, asked: dict[str, Any]) -> None:
        store = end.store
        revision = int(asked.get("revision", 0))
        if revision and revision < store.compacted:
            self.fail(11, "etcdserver: mvcc: required revision has been compacted")
            return
        if revision > store.revision:
            self.fail(11, "etcdserver: mvcc: required revision is a future revision")
            return
        start, stop = base64.b64decode(asked["key"]), base64.b64decode(asked["range_end"])
        held = [(k, v) for k, v in sorted(store.at(revision or store.revision).items()) if start <= k < stop]
        if asked.get("sort_target") == "MOD":
            held.sort(key=lambda each: each[1][0], reverse=asked.get("sort_order") == "DESCEND")
        limit = int(asked.get("limit", 0)) or len(held)
        kvs = [self._kv(key, each, bool(asked.get("keys_only"))) for key, each in held[:limit]]
        answer: dict[str, Any] = {"header": end.header(), "count": str(len(held))}
        if kvs:
            answer["kvs"] = kvs
        if len(held) > limit:
            answer["more"] = True
        self.say(answer)

    def _kv(self, key: bytes, held: tuple[int, bytes, int, int, int], bare: bool) -> dict[str, str]:
        changed, value, lease, created, version = held
        told = {"key": coded(key), "create_revision": str(created), "mod_revision": str(changed)}
        told["version"] = str(version)
        if lease:
            told["lease"] = str(lease)
        if not bare:
            told["value"] = coded(value)
        return told

    def _watch(self, end: Endpoint, asked: dict[str, Any]) -> None:
        self.setResponseCode(200)
        self.next = int(asked.get("start_revision", 0)) or end.store.revision + 1
        self.stream({"header": end.header(), "created": True})
        if self.next <= end.store.compacted:
            told = {"compact_revision": str(end.store.compacted), "canceled": True}
            self.stream({"header": end.header(), **told})
            self.finish()
            return
        self.watch = base64.b64decode(asked["key"]), base64.b64decode(asked["range_end"])
        end.streams[self] = None
        self.notifyFinish().addErrback(lambda why: end.streams.pop(self, None))
        self.push(end)

    def push(self, end: Endpoint) -> None:
        """What the stream has not been told yet, a revision a message."""
        assert self.watch is not None
        start, stop = self.watch
        for changed, key, value, _ in end.store.log:
            if changed < self.next:
                continue
            self.next = changed + 1
            if not start <= key < stop:
                continue
            kv = {"key": coded(key), "mod_revision": str(changed)}
            if value is not None:
                kv["value"] = coded(value)
            event = {"kv": kv, **({"type": "DELETE"} if value is None else {})}
            if end.progress_first:
                self.stream({"header": end.header()})  # told before the change that it covers
            self.stream({"header": end.header(), "events": [event]})

    def stream(self, result: dict[str, Any]) -> None:
        self.write(json.dumps({"result": result}).encode() + b"\n")

    def say(self, answer: dict[str, Any], status: int = 200) -> None:
        data = json.dumps(answer).encode()
        self.setResponseCode(status)
        self.setHeader("Content-Length", str(len(data)))
        self.write(data)
        self.finish()

    def fail(self, code: int, text: str, status: int = 400) -> None:
        self.say({"error": text, "code": code, "message": text}, status)


class Channel(HTTPChannel):
    requestFactory = Call


class Endpoint(HTTPFactory):
    """One server of the registry. `held_back`: its streams are told nothing; `calls`: when what was asked."""

    noisy = False
    protocol = Channel  # type: ignore[assignment]

    def __init__(self, network: Network, store: Store, member: int = 1) -> None:
        super().__init__(reactor=network)  # type: ignore[arg-type]
        self.network = network
        self.store = store
        self.member = member
        self.lease_time = 10
        self.late = 0.0
        self.silent = False
        self.held_back = False
        self.progress_first = False
        self.streams: dict[Call, None] = {}
        self.calls: list[tuple[int, str]] = []
        self.channels: list[Any] = []
        store.ends.append(self)
        self.listening = network.listenTCP(0, self, interface="127.0.0.1")
        self.port: int = self.listening.getHost().port

    def buildProtocol(self, addr: Any) -> Any:
        channel = super().buildProtocol(addr)
        self.channels.append(channel)
        return channel

    def log(self, request: Any) -> None:
        """Nothing is written."""

    def header(self) -> dict[str, str]:
        store = self.store
        told = {"cluster_id": str(store.cluster), "member_id": str(self.member), "raft_term": "2"}
        return {**told, "revision": str(store.revision)}

    def push(self) -> None:
        if not self.held_back and not self.silent:
            for stream in list(self.streams):
                stream.push(self)

    def freeze(self) -> None:
        """Lies behind from now on: what it has now is all that it will ever tell."""
        self.store.ends.remove(self)
        self.store = copy.copy(self.store)
        self.store.log, self.store.ends = list(self.store.log), [self]

    def cut(self) -> None:
        """Breaks all its connections."""
        channels, self.channels = self.channels, []
        for channel in channels:
            if channel.transport is not None:
                channel.transport.abortConnection()

    def stop(self) -> None:
        """The server ends."""
        self.listening.stopListening()
        self.cut()

    def start(self) -> None:
        """And comes back at the same port."""
        self.listening = self.network.listenTCP(self.port, self, interface="127.0.0.1")
