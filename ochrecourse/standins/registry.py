"""A key registry that implements the published JSON form of the etcd v3 API, with injected faults.

Several endpoints share one `Store`; an endpoint may lag behind, be silent, or pause or close its streams. It
is written from the published API alone and shares no code with the client.
"""

from __future__ import annotations

import base64
import copy
import json
from typing import Any

from twisted.web.http import HTTPChannel, HTTPFactory, Request

from ochrecourse.common.runtime import Network, now_ns
from ochrecourse.common.time_units import SECOND


def encode_base64(data: bytes) -> str:
    """Encodes bytes as Base64 text."""
    return base64.b64encode(data).decode()


class Store:
    """All changes by revision; `compacted` is the oldest revision that can still be read."""

    def __init__(self, cluster: int = 0x0C4E) -> None:
        self.cluster = cluster
        self.revision = 1
        self.log: list[tuple[int, bytes, bytes | None, int]] = []  # revision, key, value, lease
        self.compacted = 0
        self.leases: dict[int, int] = {}  # expiry of each, ns
        self.next_lease = 1000
        self.endpoints: list[Endpoint] = []

    def put(self, key: bytes, value: bytes | None, lease: int = 0) -> int:
        """Records a change, a deletion if `value` is None, and notifies the streams. Returns its revision."""
        self.revision += 1
        self.log.append((self.revision, key, value, lease))
        for endpoint in self.endpoints:
            endpoint.push_changes()
        return self.revision

    def keys_at(self, revision: int) -> dict[bytes, tuple[int, bytes, int, int, int]]:
        """The keys at a revision, each with its revision of change, value, lease, revision of creation and
        version.
        """
        keys: dict[bytes, tuple[int, bytes, int, int, int]] = {}
        for changed, key, value, lease in self.log:
            if changed > revision:
                break
            if value is None:
                keys.pop(key, None)
            else:
                before = keys.get(key)
                created, version = (before[3], before[4] + 1) if before else (changed, 1)
                keys[key] = (changed, value, lease, created, version)
        return keys

    def compact(self) -> None:
        """Discards all revisions but the newest."""
        self.compacted = self.revision

    def expire(self, now: int) -> None:
        """Revokes the leases that have expired by `now` (ns)."""
        for lease in [each for each, due in self.leases.items() if due <= now]:
            self.revoke(lease)

    def revoke(self, lease: int) -> bool:
        """Deletes a lease and its keys. Returns whether the lease existed."""
        exists = self.leases.pop(lease, None) is not None
        for key, entry in sorted(self.keys_at(self.revision).items()):
            if entry[2] == lease and exists:
                self.put(key, None)
        return exists


class RegistryRequest(Request):
    """One HTTP request."""

    channel: Any
    content: Any
    watch: tuple[bytes, bytes] | None = None
    next_revision = 0  # first revision that its stream has not sent

    def process(self) -> None:
        """Records the request and answers it after the endpoint's delay, or never if it is silent."""
        endpoint: Endpoint = self.channel.factory
        endpoint.calls.append((now_ns(endpoint.network), self.uri.decode()))
        if endpoint.silent:
            return
        parameters = json.loads(self.content.read() or b"{}")
        endpoint.network.callLater(endpoint.response_delay, self.answer, endpoint, parameters)

    def answer(self, endpoint: Endpoint, parameters: dict[str, Any]) -> None:
        """Executes the request and responds."""
        if self._disconnected or endpoint.silent:
            return
        store = endpoint.store
        store.expire(now_ns(endpoint.network))
        path = self.uri.decode()
        if path == "/v3/kv/range":
            self._range(endpoint, parameters)
        elif path == "/v3/watch":
            self._watch(endpoint, parameters["create_request"])
        elif path == "/v3/kv/put":
            lease = int(parameters.get("lease", 0))
            if lease and lease not in store.leases:
                self.respond_error(5, "etcdserver: requested lease not found")
                return
            store.put(
                base64.b64decode(parameters["key"]), base64.b64decode(parameters.get("value", "")), lease
            )
            self.respond({"header": endpoint.header()})
        elif path == "/v3/lease/grant":
            store.next_lease += 1
            store.leases[store.next_lease] = now_ns(endpoint.network) + int(parameters["TTL"]) * SECOND
            self.respond({"header": endpoint.header(), "ID": str(store.next_lease), "TTL": parameters["TTL"]})
        elif path == "/v3/lease/keepalive":
            lease = int(parameters["ID"])
            exists = lease in store.leases
            if exists:
                store.leases[lease] = now_ns(endpoint.network) + endpoint.lease_time * SECOND
            fields = {"TTL": str(endpoint.lease_time)} if exists else {}
            self.respond({"result": {"header": endpoint.header(), "ID": str(lease), **fields}})
        elif path == "/v3/lease/revoke":
            if store.revoke(int(parameters["ID"])):
                self.respond({"header": endpoint.header()})
            else:
                self.respond_error(5, "etcdserver: requested lease not found")
        else:
            self.respond_error(12, "unimplemented", 501)

    def _range(self, endpoint: Endpoint, parameters: dict[str, Any]) -> None:
        store = endpoint.store
        revision = int(parameters.get("revision", 0))
        if revision and revision < store.compacted:
            self.respond_error(11, "etcdserver: mvcc: required revision has been compacted")
            return
        if revision > store.revision:
            self.respond_error(11, "etcdserver: mvcc: required revision is a future revision")
            return
        start, stop = base64.b64decode(parameters["key"]), base64.b64decode(parameters["range_end"])
        keys = [
            (k, v) for k, v in sorted(store.keys_at(revision or store.revision).items()) if start <= k < stop
        ]
        if parameters.get("sort_target") == "MOD":
            keys.sort(key=lambda each: each[1][0], reverse=parameters.get("sort_order") == "DESCEND")
        limit = int(parameters.get("limit", 0)) or len(keys)
        kvs = [self._kv(key, each, bool(parameters.get("keys_only"))) for key, each in keys[:limit]]
        response: dict[str, Any] = {"header": endpoint.header(), "count": str(len(keys))}
        if kvs:
            response["kvs"] = kvs
        if len(keys) > limit:
            response["more"] = True
        self.respond(response)

    def _kv(self, key: bytes, entry: tuple[int, bytes, int, int, int], keys_only: bool) -> dict[str, str]:
        changed, value, lease, created, version = entry
        fields = {"key": encode_base64(key), "create_revision": str(created), "mod_revision": str(changed)}
        fields["version"] = str(version)
        if lease:
            fields["lease"] = str(lease)
        if not keys_only:
            fields["value"] = encode_base64(value)
        return fields

    def _watch(self, endpoint: Endpoint, parameters: dict[str, Any]) -> None:
        self.setResponseCode(200)
        self.next_revision = int(parameters.get("start_revision", 0)) or endpoint.store.revision + 1
        self.send_stream_message({"header": endpoint.header(), "created": True})
        if self.next_revision <= endpoint.store.compacted:
            fields = {"compact_revision": str(endpoint.store.compacted), "canceled": True}
            self.send_stream_message({"header": endpoint.header(), **fields})
            self.finish()
            return
        self.watch = base64.b64decode(parameters["key"]), base64.b64decode(parameters["range_end"])
        endpoint.streams[self] = None
        self.notifyFinish().addErrback(lambda reason: endpoint.streams.pop(self, None))
        self.push_changes(endpoint)

    def push_changes(self, endpoint: Endpoint) -> None:
        """Sends the changes that the stream has not sent yet, one message per revision."""
        assert self.watch is not None
        start, stop = self.watch
        for changed, key, value, _ in endpoint.store.log:
            if changed < self.next_revision:
                continue
            self.next_revision = changed + 1
            if not start <= key < stop:
                continue
            kv = {"key": encode_base64(key), "mod_revision": str(changed)}
            if value is not None:
                kv["value"] = encode_base64(value)
            event = {"kv": kv, **({"type": "DELETE"} if value is None else {})}
            if endpoint.progress_first:
                # A progress notice that precedes the change that it covers.
                self.send_stream_message({"header": endpoint.header()})
            self.send_stream_message({"header": endpoint.header(), "events": [event]})

    def send_stream_message(self, result: dict[str, Any]) -> None:
        """Sends one message of a stream."""
        self.write(json.dumps({"result": result}).encode() + b"\n")

    def respond(self, response: dict[str, Any], status: int = 200) -> None:
        """Sends a complete response."""
        data = json.dumps(response).encode()
        self.setResponseCode(status)
        self.setHeader("Content-Length", str(len(data)))
        self.write(data)
        self.finish()

    def respond_error(self, code: int, text: str, status: int = 400) -> None:
        """Sends an error response with an etcd (gRPC) code."""
        self.respond({"error": text, "code": code, "message": text}, status)


class RegistryChannel(HTTPChannel):
    """An HTTP connection to an endpoint."""

    requestFactory = RegistryRequest


class Endpoint(HTTPFactory):
    """One server of the registry. `streams_paused` withholds changes from its streams; `calls` are the
    requests with their times (ns).
    """

    noisy = False
    protocol = RegistryChannel  # type: ignore[assignment]

    def __init__(self, network: Network, store: Store, member: int = 1) -> None:
        super().__init__(reactor=network)  # type: ignore[arg-type]
        self.network = network
        self.store = store
        self.member = member
        self.lease_time = 10
        self.response_delay = 0.0
        self.silent = False
        self.streams_paused = False
        self.progress_first = False
        self.streams: dict[RegistryRequest, None] = {}
        self.calls: list[tuple[int, str]] = []
        self.channels: list[Any] = []
        store.endpoints.append(self)
        self.listening = network.listenTCP(0, self, interface="127.0.0.1")
        self.port: int = self.listening.getHost().port

    def buildProtocol(self, addr: Any) -> Any:
        """Creates the connection handler and keeps it for `abort_connections`."""
        channel = super().buildProtocol(addr)
        self.channels.append(channel)
        return channel

    def log(self, request: Any) -> None:
        """Writes no access log."""

    def header(self) -> dict[str, str]:
        """The header of each response: cluster, member and revision."""
        store = self.store
        fields = {"cluster_id": str(store.cluster), "member_id": str(self.member), "raft_term": "2"}
        return {**fields, "revision": str(store.revision)}

    def push_changes(self) -> None:
        """Pushes new changes to all streams, unless paused or silent."""
        if not self.streams_paused and not self.silent:
            for stream in list(self.streams):
                stream.push_changes(self)

    def freeze(self) -> None:
        """Lags behind from now on: the endpoint serves its current data and receives no further changes."""
        self.store.endpoints.remove(self)
        self.store = copy.copy(self.store)
        self.store.log, self.store.endpoints = list(self.store.log), [self]

    def abort_connections(self) -> None:
        """Aborts all connections."""
        channels, self.channels = self.channels, []
        for channel in channels:
            if channel.transport is not None:
                channel.transport.abortConnection()

    def stop(self) -> None:
        """Stops listening and aborts all connections."""
        self.listening.stopListening()
        self.abort_connections()

    def start(self) -> None:
        """Listens again at the same port."""
        self.listening = self.network.listenTCP(self.port, self, interface="127.0.0.1")
