"""The WebDAV server over raw HTTP on a virtual network, with scripted storage nodes behind the gateway."""

import re

import pytest
from twisted.internet.protocol import ClientFactory, Protocol

from ochrecourse.storage.journal import MemoryJournal
from ochrecourse.common.time_units import SECOND
from ochrecourse.webdav.limits import ConnectionLimits
from ochrecourse.webdav.mapping import RequestClassRule, VolumeRule
from ochrecourse.webdav.methods import Quota
from ochrecourse.webdav.server import WebDavServer
from ochrecourse.webdav.state_store import StateStore
from ochrecourse.wire import messages as m

CLASS_RULES = [RequestClassRule("GET", -1, "read", 2.0), RequestClassRule("PUT", -1, "mark", 2.0)]


LIMITS = {
    "max_connections": 200, "max_header_bytes": 4096, "max_headers": 30, "max_body_bytes": 8 << 20, "rate": 1000.0, "burst": 1000.0,
    "idle_timeout": 30 * SECOND, "header_timeout": 3 * SECOND, "min_body_rate": 1000.0, "body_grace": 2 * SECOND,
}  # fmt: skip


class ScriptedNode:
    """A storage node that answers after `delay_s`, not at all if `silent`; `truncate` breaks off reads, `rejecting` rejects."""

    def __init__(self):
        self.objects, self.attempts, self.delay_s, self.silent, self.truncate, self.rejecting = (
            {},
            [],
            0.0,
            False,
            False,
            False,
        )
        self.bodies = {}

    def __call__(self, wire, message, body):
        if isinstance(message, m.SendAttempt):
            self.attempts.append(message)
            self.bodies[message.id] = body
            if message.body == message.size:
                wire.network.callLater(self.delay_s, self.answer, wire, message)
        elif isinstance(message, m.BodyChunk):
            self.bodies[message.id] += body
            attempt = self.attempts[-1]
            if len(self.bodies[message.id]) == attempt.size:
                self.answer(wire, attempt)
        elif isinstance(message, m.CancelAttempt):
            wire.send(m.AttemptCancelled(id=message.id))

    def answer(self, wire, attempt):
        if self.silent:
            return
        if self.rejecting:
            wire.send(m.AttemptRejected(id=attempt.id))
            return
        if attempt.write:
            self.objects[attempt.key] = self.bodies[attempt.id]
            wire.send(m.AttemptServed(id=attempt.id, shard=0))
            return
        data = self.objects[attempt.key]
        if self.truncate:
            wire.send(m.AttemptServed(id=attempt.id, size=len(data)), data[: len(data) // 2])
            wire.transport.loseConnection()
            return
        first = data if len(data) <= m.MAX_BODY_BYTES else b""
        wire.send(m.AttemptServed(id=attempt.id, size=len(data), shard=0), first)
        for at in range(0, 0 if first else len(data), m.MAX_BODY_BYTES):
            wire.send(m.BodyChunk(id=attempt.id), data[at : at + m.MAX_BODY_BYTES])


class WebDavHarness:
    """A WebDAV server in front of a gateway with one node."""

    def __init__(self, make_gateway_harness, journal=None, **limits):
        self.node = ScriptedNode()
        self.lines = []
        self.gateway_harness = make_gateway_harness(self.node)
        count = iter(range(10_000))
        volumes = [VolumeRule("", "p0", 1)]
        self.server = WebDavServer(
            self.gateway_harness.gateway,
            self.gateway_harness.network,
            CLASS_RULES,
            volumes,
            65_536,
            8,
            0,
            StateStore(journal or MemoryJournal(), lambda: f"urn:{next(count)}", 0, 1_700_000_000),
            ConnectionLimits(**{**LIMITS, **limits}),
            Quota({"small": 10}),
            lambda **fields: self.lines.append(fields),
        )
        self.port = self.gateway_harness.network.listenTCP(0, self.server).getHost().port

    def open(self):
        harness = self

        class Client(Protocol):
            data, lost = b"", False

            def dataReceived(self, data):
                self.data += data

            def connectionLost(self, reason=None):
                self.lost = True

            def send(self, method, path, body=b"", seconds=0.3, **headers):
                lines = [f"{method} {path} HTTP/1.1", "Host: h", f"Content-Length: {len(body)}"]
                lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
                self.transport.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
                harness.gateway_harness.run(seconds)

            def next(self):
                """Returns status, headers and body of the next response."""
                head, _, rest = self.data.partition(b"\r\n\r\n")
                lines = head.decode().split("\r\n")
                headers = {k.lower(): v for k, v in (line.split(": ", 1) for line in lines[1:])}
                status = int(lines[0].split()[1])
                if "chunked" in headers.get("transfer-encoding", ""):
                    body = b""
                    while True:
                        size, _, rest = rest.partition(b"\r\n")
                        if not int(size, 16):
                            break
                        body, rest = body + rest[: int(size, 16)], rest[int(size, 16) + 2 :]
                    self.data = rest[2:]
                else:
                    size = 0 if status in (204, 304) else int(headers.get("content-length", 0))
                    body, self.data = rest[:size], rest[size:]
                return status, headers, body

            def ask(self, *words, **more):
                self.send(*words, **more)
                return self.next()

        clients = []

        class Factory(ClientFactory):
            noisy = False

            def buildProtocol(self, addr):
                clients.append(Client())
                return clients[0]

        self.gateway_harness.network.connectTCP("127.0.0.1", self.port, Factory())
        self.gateway_harness.run(0.01)
        return clients[0]


@pytest.fixture
def harness(make_gateway_harness):
    return WebDavHarness(make_gateway_harness)


@pytest.fixture
def client(harness):
    return harness.open()


def test_get_returns_what_was_put_with_its_etag(client):
    status, headers, _ = client.ask("PUT", "/f", b"hello", Content_Type="text/plain")
    assert status == 201 and headers["etag"]
    tag = headers["etag"]
    status, headers, body = client.ask("GET", "/f")
    assert (status, body, headers["etag"], headers["content-type"]) == (200, b"hello", tag, "text/plain")
    status, headers, body = client.ask("PUT", "/f", b"again")
    assert status == 204 and headers["etag"] != tag
    assert client.ask("GET", "/f")[2] == b"again"


def test_head_has_the_length_and_no_body_and_an_empty_file_needs_no_attempt(harness, client):
    client.ask("PUT", "/f", b"hello")
    client.send("HEAD", "/f")
    assert b"Content-Length: 5\r\n" in client.data and client.data.endswith(b"\r\n\r\n")
    client.data = b""
    assert client.ask("PUT", "/e", b"")[0] == 201
    attempts = len(harness.node.attempts)
    assert client.ask("GET", "/e")[2] == b"" and len(harness.node.attempts) == attempts


@pytest.mark.parametrize(
    ("range_", "status", "body", "received"),
    [
        ("bytes=1-3", 206, b"ell", "bytes 1-3/5"), ("bytes=-2", 206, b"lo", "bytes 3-4/5"), ("bytes=3-", 206, b"lo", "bytes 3-4/5"),
        ("bytes=9-", 416, b"", "bytes */5"), ("lines=1", 200, b"hello", None),
    ],
)  # fmt: skip
def test_ranges(client, range_, status, body, received):
    client.ask("PUT", "/f", b"hello")
    result = client.ask("GET", "/f", Range=range_)
    assert (result[0], result[2], result[1].get("content-range")) == (status, body, received)


@pytest.mark.parametrize(
    ("method", "path", "headers", "status"),
    [
        ("GET", "/none", {}, 404), ("GET", "/", {}, 405), ("PUT", "/no/parent", {}, 409), ("PUT", "/c", {}, 405),
        ("MKCOL", "/c", {}, 405), ("MKCOL", "/x/y", {}, 409), ("DELETE", "/none", {}, 404), ("DELETE", "/", {}, 403),
        ("GET", "/../x", {}, 400), ("GET", "/%zz", {}, 400), ("PATCH", "/f", {}, 501), ("PROPFIND", "/c", {}, 403),
        ("PROPFIND", "/c", {"Depth": "2"}, 400), ("COPY", "/f", {"Destination": "http://other/x"}, 502),
        ("COPY", "/f", {"Destination": "/c", "Overwrite": "F"}, 412), ("COPY", "/f", {"Destination": "/c", "Overwrite": "X"}, 400),
        ("MOVE", "/c", {"Destination": "/c/d"}, 403), ("MOVE", "/f", {"Destination": "/n/d"}, 409),
        ("GET", "/f", {"If-None-Match": "*"}, 304), ("PUT", "/f", {"If-None-Match": "*"}, 412),
        ("PUT", "/f", {"If-Match": '"none"'}, 412), ("DELETE", "/f", {"If": "(<urn:none>)"}, 412), ("DELETE", "/f", {"If": "("}, 400),
        ("UNLOCK", "/f", {"Lock-Token": "<urn:none>"}, 409), ("UNLOCK", "/f", {"Lock-Token": "x"}, 400),
        ("PUT", "/f", {"Content-Range": "bytes 0-1/9"}, 400), ("LOCK", "/f", {}, 412),
    ],
)  # fmt: skip
def test_failing_requests_have_their_status_and_change_nothing(
    harness, client, method, path, headers, status
):
    client.ask("PUT", "/f", b"hello")
    client.ask("MKCOL", "/c")
    before = [(at, entry.tag) for at, entry in harness.server.tree.walk((), -1)]
    assert client.ask(method, path, **headers)[0] == status
    assert [(at, entry.tag) for at, entry in harness.server.tree.walk((), -1)] == before


def test_copy_move_and_delete_include_all_members(client):
    client.ask("MKCOL", "/c")
    client.ask("PUT", "/c/f", b"one")
    assert client.ask("COPY", "/c", Destination="/d")[0] == 201 and client.ask("GET", "/d/f")[2] == b"one"
    assert (
        client.ask("MOVE", "/d/f", Destination="http://h/g")[0] == 201 and client.ask("GET", "/d/f")[0] == 404
    )
    assert client.ask("MOVE", "/g", Destination="/c/f")[0] == 204 and client.ask("GET", "/c/f")[2] == b"one"
    assert client.ask("DELETE", "/c")[0] == 204 and client.ask("GET", "/c/f")[0] == 404


def test_propfind_lists_members_and_missing_properties(client):
    client.ask("MKCOL", "/c")
    for name in ("a", "b%20b"):
        client.ask("PUT", f"/c/{name}", b"xyz")
    status, _, body = client.ask("PROPFIND", "/c", Depth="1")
    hrefs = re.findall(r"<D:response><D:href>([^<]*)", body.decode())
    assert status == 207 and hrefs == ["/c/", "/c/a", "/c/b%20b"] and b"<D:getcontentlength>3<" in body
    propfind = b'<propfind xmlns="DAV:"><prop><getetag/><none xmlns="urn:x"/></prop></propfind>'
    body = client.ask("PROPFIND", "/c/a", propfind, Depth="0")[2].decode()
    assert "200 OK" in body and '<N:none xmlns:N="urn:x"></N:none>' in body and "404 Not Found" in body


def test_a_large_collection_is_listed_in_batches(client, harness):
    client.ask("MKCOL", "/c")
    for i in range(1200):
        harness.server.tree.make_empty(("c", f"m{i:05}"), 1)
    body = client.ask("PROPFIND", "/c", Depth="1", seconds=2)[2]
    assert body.count(b"<D:response>") == 1201 and body.rstrip().endswith(b"</D:multistatus>")


SET = (
    b'<propertyupdate xmlns="DAV:"><set><prop><x xmlns="urn:x">1 &amp; 2</x>%s</prop></set></propertyupdate>'
)


def test_dead_properties_are_stored_and_live_ones_are_protected(client):
    client.ask("PUT", "/f", b"")
    assert b"200 OK" in client.ask("PROPPATCH", "/f", SET % b"")[2]
    assert b"1 &amp; 2" in client.ask("PROPFIND", "/f", Depth="0")[2]
    assert (
        b"403 Forbidden" in client.ask("PROPPATCH", "/f", SET.replace(b"1 &amp; 2", b"3") % b"<getetag/>")[2]
    )
    assert b"1 &amp; 2" in client.ask("PROPFIND", "/f", Depth="0")[2]


@pytest.mark.parametrize("body", [
    b"<", b"<a/>", b'<!DOCTYPE x [<!ENTITY a "b">]><propfind xmlns="DAV:"><allprop/></propfind>', b"\xff\xfe",
    b'<propfind xmlns="DAV:">' + b"<a>" * 40 + b"</a>" * 40 + b"</propfind>", b'<propfind xmlns="DAV:"/>', b"x" * 300_000,
])  # fmt: skip
def test_invalid_xml_is_refused(client, body):
    assert client.ask("PROPFIND", "/", body, Depth="0")[0] == (400 if len(body) < 1 << 18 else 413)


LOCK = b'<lockinfo xmlns="DAV:"><lockscope><%s/></lockscope><locktype><write/></locktype><owner>me</owner></lockinfo>'


def test_a_lock_is_enforced_until_it_is_removed(client, harness):
    client.ask("PUT", "/f", b"1")
    status, headers, body = client.ask("LOCK", "/f", LOCK % b"exclusive", Timeout="Second-100")
    token = headers["lock-token"]
    assert status == 200 and b"<D:timeout>Second-100<" in body
    assert client.ask("PUT", "/f", b"2")[0] == 423 and client.ask("LOCK", "/f", LOCK % b"shared")[0] == 423
    assert client.ask("PUT", "/f", b"2", If=f"({token})")[0] == 204
    assert client.ask("DELETE", "/f", If=f"({token})", Authorization="other")[0] == 423
    assert client.ask("LOCK", "/f", If=f"({token})", Timeout="Second-50")[0] == 200
    assert client.ask("UNLOCK", "/f", Lock_Token=token)[0] == 204 and client.ask("PUT", "/f", b"3")[0] == 204


def test_a_lock_on_an_unmapped_url_creates_an_empty_resource_that_expires_with_it(client):
    status, headers, _ = client.ask("LOCK", "/new", LOCK % b"exclusive", Timeout="Second-2")
    assert status == 201 and client.ask("GET", "/new")[0] == 200
    assert client.ask("PUT", "/new", b"x", If=f"({headers['lock-token']})")[0] == 201
    client.ask("LOCK", "/gone", LOCK % b"exclusive", Timeout="Second-1")
    assert client.ask("PUT", "/f", b"", seconds=1.5)[0] == 201 and client.ask("GET", "/gone")[0] == 404


def test_a_lock_that_expires_during_a_put_does_not_fail_it(client, harness):
    client.ask("PUT", "/f", b"1")
    token = client.ask("LOCK", "/f", LOCK % b"exclusive", Timeout="Second-1")[1]["lock-token"]
    harness.node.delay_s = 0.9
    assert client.ask("PUT", "/f", b"2", If=f"({token})", seconds=1.4)[0] == 204
    harness.node.delay_s = 0.0
    harness.gateway_harness.network.advance(20)  # the node is no longer considered slow
    assert client.ask("GET", "/f")[2] == b"2"


# --- failing nodes ---


def test_a_put_to_a_stalled_node_times_out_as_unknown_and_leaves_the_old_object(harness, client):
    client.ask("PUT", "/f", b"old")
    harness.node.silent = True
    status, _, body = client.ask("PUT", "/f", b"new", seconds=2.1)
    assert status == 504 and b"not known" in body
    harness.node.silent = False
    assert client.ask("GET", "/f", seconds=3)[2] == b"old"


def test_a_rejected_request_gets_retry_after(harness, client):
    harness.node.rejecting = True
    status, headers, _ = client.ask("PUT", "/f", b"new", seconds=2.1)
    assert status == 503 and int(headers["retry-after"]) >= 1 and client.ask("GET", "/f")[0] == 404


def test_a_read_that_breaks_off_closes_the_connection_short_of_its_length(harness, client):
    client.ask("PUT", "/f", b"0123456789")
    harness.node.truncate = True
    client.send("GET", "/f", seconds=1)
    assert b"Content-Length: 10" in client.data and client.data.endswith(b"01234") and client.lost


def test_a_hundred_duplicate_writes_are_one_attempt_and_each_is_answered(harness):
    harness.node.delay_s = 0.2
    clients = [harness.open() for _ in range(100)]
    for each in clients:
        each.send("PUT", "/f", b"save", seconds=0, Idempotency_Key="k")
    harness.gateway_harness.run(1)
    assert [each.next()[0] for each in clients] == [201] * 100 and len(harness.node.attempts) == 1
    late = harness.open()
    assert late.ask("PUT", "/f", b"save", Idempotency_Key="k")[0] == 201 and len(harness.node.attempts) == 1
    assert late.ask("PUT", "/f", b"other", Idempotency_Key="l")[0] == 204


def test_two_different_concurrent_writes_are_never_mixed(harness, client):
    harness.node.delay_s = 0.2
    other = harness.open()
    client.send("PUT", "/f", b"one", seconds=0.01)
    assert other.ask("PUT", "/f", b"two", seconds=0.05)[0] == 503
    harness.gateway_harness.run(1)
    assert client.next()[0] == 201 and client.ask("GET", "/f", seconds=1)[2] == b"one"


def test_a_write_completes_after_its_client_disconnects(harness, client):
    harness.node.delay_s = 0.2
    client.send("PUT", "/f", b"save", seconds=0.1)
    client.transport.abortConnection()
    harness.gateway_harness.run(1)
    assert harness.open().ask("GET", "/f", seconds=1)[2] == b"save"


def test_a_read_returns_the_version_at_its_start(harness, client):
    client.ask("PUT", "/f", b"old")
    harness.node.delay_s = 0.2
    client.send("GET", "/f", seconds=0.05)
    assert harness.open().ask("PUT", "/f", b"new!", seconds=1)[0] == 204
    assert client.next()[2] == b"old" and client.ask("GET", "/f", seconds=1)[2] == b"new!"


def test_a_large_write_and_a_slow_read_of_it_are_complete(harness, client):
    data = bytes(range(256)) * 4096
    assert client.ask("PUT", "/big", data, seconds=1.9)[0] == 201
    client.transport.pauseProducing()
    client.send("GET", "/big", seconds=0.5)
    client.transport.resumeProducing()
    harness.gateway_harness.run(1.5)
    assert client.next()[2] == data


@pytest.mark.parametrize("raw", [
    b"GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
    b"GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    b"GET / HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n",
    b"GARBAGE\r\n\r\n",
    b"GET / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: odd\r\n\r\n",
])  # fmt: skip
def test_request_smuggling_is_refused_and_the_connection_closed(harness, client, raw):
    client.transport.write(raw)
    harness.gateway_harness.run(2)
    assert client.data.startswith(b"HTTP/1.1 400") and client.data.count(b"HTTP/1.1") == 1 and client.lost


def test_pipelined_requests_are_answered_in_order(harness, client):
    client.ask("PUT", "/a", b"A")
    client.ask("PUT", "/b", b"B")
    client.send("GET", "/a", seconds=0)
    client.send("GET", "/b", seconds=0)
    harness.gateway_harness.run(1)
    assert client.next()[2] == b"A" and client.next()[2] == b"B"


# --- limits of connections ---


def test_requests_are_refused_by_their_headers_before_the_body_is_sent(harness, client):
    client.ask("PUT", "/f", b"1")
    head = "PUT /f HTTP/1.1\r\nHost: h\r\nContent-Length: 999999\r\nExpect: 100-continue\r\n%s\r\n"
    for more, status in (
        ('If-Match: "x"\r\n', 412),
        ("Expect: pigs\r\n", 417),
        ("Content-Encoding: gzip\r\n", 415),
        ("Content-Range: bytes 0-1/2\r\n", 400),
    ):
        one = harness.open()
        one.transport.write((head % more).encode())
        harness.gateway_harness.run(0.1)
        assert (
            one.data.startswith(b"HTTP/1.1 %d " % status)
            and b"Connection: close" in one.data
            and not one.lost
        )
        one.transport.write(b"x" * 100_000)  # discarded, so that no reset destroys the response
        harness.gateway_harness.run(1.5)
        assert one.lost and one.data.count(b"HTTP/1.1") == 1
    assert client.ask("GET", "/f")[2] == b"1"


def test_an_expected_continue_is_sent(harness, client):
    client.transport.write(b"PUT /f HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n")
    harness.gateway_harness.run(0.1)
    assert client.data == b"HTTP/1.1 100 Continue\r\n\r\n"
    client.data = b""
    client.transport.write(b"abc")
    harness.gateway_harness.run(0.3)
    assert client.next()[0] == 201


@pytest.mark.parametrize(
    ("length", "sent"),
    [
        ("Content-Length: 9000000", b""),
        ("Transfer-Encoding: chunked", b"800000\r\n" + b"x" * (8 << 20) + b"\r\n2\r\nxx\r\n"),
    ],
)
def test_a_body_over_the_limit_is_refused_even_if_chunked(harness, client, length, sent):
    client.transport.write(f"PUT /f HTTP/1.1\r\nHost: h\r\n{length}\r\n\r\n".encode() + sent)
    harness.gateway_harness.run(2)
    assert client.data.startswith(b"HTTP/1.1 413 ") and client.lost and not harness.node.attempts


def test_requests_over_the_rate_of_a_connection_get_retry_after(make_gateway_harness):
    harness = WebDavHarness(make_gateway_harness, rate=2.0, burst=3.0)
    client, other = harness.open(), harness.open()
    assert [client.ask("OPTIONS", "/", seconds=0.001)[0] for _ in range(4)] == [200, 200, 200, 429]
    assert other.ask("OPTIONS", "/")[0] == 200
    client.send("OPTIONS", "/", seconds=0.01)
    assert client.next()[1]["retry-after"] == "1"
    harness.gateway_harness.run(0.6)
    assert client.ask("OPTIONS", "/")[0] == 200


@pytest.mark.parametrize(
    "raw",
    [
        b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 5000,
        b"GET / HTTP/1.1\r\nHost: h\r\n" + b"X: y\r\n" * 40,
        b"GET /" + b"x" * 9000,
    ],
)
def test_headers_over_the_limits_are_refused(harness, client, raw):
    client.transport.write(raw + b"\r\n\r\n")
    harness.gateway_harness.run(2)
    assert client.data.startswith(b"HTTP/1.1 431 ") and client.lost


@pytest.mark.parametrize("raw", [
    b"GET / HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n", b"GET / HTTP/1.1\nHost: h\n\n\r\n\r\n", b"GET / HTTP/1.1\r\nHost: h\r\nX: a\nY: b\r\n\r\n",
    b"GET / HTTP/1.1\r\nHost : h\r\n\r\n", b"GET / HTTP/1.1\r\n\r\n", b"GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
    b"PUT /f HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", b"PUT /f HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc",
    b"PUT /f HTTP/1.1\r\nHost: h\r\nContent-Length: 3, 3\r\n\r\nabc", b"GET / HTTP/1.1\r\nHost: h\r\nX\x00: a\r\n\r\n",
])  # fmt: skip
def test_headers_that_parsers_interpret_differently_are_refused(harness, client, raw):
    client.transport.write(raw)
    harness.gateway_harness.run(2)
    assert client.data.startswith(b"HTTP/1.1 400 ") and client.data.count(b"HTTP/1.1") == 1


def test_connections_that_send_too_slowly_are_closed_and_steady_ones_are_not(harness):
    heads, body, steady = harness.open(), harness.open(), harness.open()
    heads.transport.write(b"GET / HT")
    body.transport.write(b"PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n")
    steady.transport.write(b"PUT /b HTTP/1.1\r\nHost: h\r\nContent-Length: 10000\r\n\r\n")
    for _ in range(10):
        steady.transport.write(b"x" * 1000)
        harness.gateway_harness.run(0.15)
    for _ in range(10):
        body.transport.write(b"x" * 50)
        harness.gateway_harness.run(0.4)
    assert (
        heads.data.startswith(b"HTTP/1.1 408 ")
        and heads.lost
        and body.data.startswith(b"HTTP/1.1 408 ")
        and body.lost
    )
    assert steady.next()[0] == 201 and harness.server.counts["ended for sending too slowly"] == 2


def test_idle_connections_are_closed_and_one_over_the_maximum_gets_503(make_gateway_harness):
    harness = WebDavHarness(make_gateway_harness, max_connections=2, idle_timeout=5 * SECOND)
    first, second, third = harness.open(), harness.open(), harness.open()
    harness.gateway_harness.run(0.1)
    assert third.data.startswith(b"HTTP/1.1 503 ") and third.lost and not first.lost
    harness.gateway_harness.run(3)
    first.ask("OPTIONS", "/", seconds=3)
    assert second.lost and not first.lost and harness.open().ask("OPTIONS", "/")[0] == 200


def test_a_draining_gateway_closes_idle_connections_at_once_and_others_after_their_responses(harness):
    busy, idle = harness.open(), harness.open()
    harness.node.delay_s = 0.3
    busy.send("PUT", "/f", b"x", seconds=0.1)
    harness.gateway_harness.gateway.drain()
    harness.server.close_idle_connections()
    harness.gateway_harness.run(0.05)
    assert idle.lost and not busy.lost
    harness.gateway_harness.run(1)
    status, headers, _ = busy.next()
    assert (status, headers["connection"], busy.lost) == (201, "close", True)
    late = harness.open()
    status, headers, _ = late.ask("GET", "/f")
    assert (status, headers["connection"]) == (503, "close") and late.lost


def test_each_request_is_logged_once_with_its_outcome(harness, client):
    client.ask("PUT", "/f", b"abc", X_Request_Id="r1")
    client.ask("GET", "/f")
    client.ask("GET", "/none")
    harness.node.rejecting = True
    client.ask("PUT", "/g", b"abc", seconds=2.5)
    harness.node.rejecting, harness.node.silent = False, True
    client.ask("PUT", "/h", b"abc", seconds=2.5)
    client.send("GET", "/f", seconds=0.1)
    client.transport.abortConnection()
    harness.gateway_harness.run(1)
    received = [(line["method"], line["how"], line["status"]) for line in harness.lines]
    assert received == [
        ("PUT", "fulfilled", 201), ("GET", "fulfilled", 200), ("GET", "refused", 404), ("PUT", "denied", 503),
        ("PUT", "written off", 504), ("GET", "client left", 0),
    ]  # fmt: skip
    assert (
        harness.lines[0]["trace"] == "r1" == harness.node.attempts[0].trace
        and harness.lines[0]["bytes_in"] == 3
    )


# --- ranges, quota, synchronization ---


def test_several_ranges_are_sent_as_ordered_multipart_byteranges(harness, client):
    client.ask("PUT", "/f", b"0123456789", Content_Type="text/plain")
    status, headers, body = client.ask("GET", "/f", Range="bytes=7-8,0-1,1-2")
    boundary = headers["content-type"].partition("boundary=")[2]
    part_template = "\r\n--%s\r\nContent-Type: text/plain\r\nContent-Range: bytes %s/10\r\n\r\n%s"
    assert status == 206 and headers["content-type"].startswith("multipart/byteranges; ")
    assert (
        body.decode()
        == part_template % (boundary, "0-2", "012")
        + part_template % (boundary, "7-8", "78")
        + f"\r\n--{boundary}--\r\n"
    )
    assert client.ask("GET", "/f")[2] == b"0123456789"


def test_ranges_of_a_streamed_object_are_exact(harness, client):
    data = bytes(range(256)) * 8192
    client.ask("PUT", "/big", data, seconds=1.9)
    for first, last in ((0, 9), (65_535, 65_536), (1_000_000, 1_200_000), (len(data) - 5, len(data) - 1)):
        status, _, body = client.ask("GET", "/big", Range=f"bytes={first}-{last}", seconds=1)
        assert status == 206 and body == data[first : last + 1]
    assert client.ask("GET", "/big", seconds=1)[2] == data


def test_the_quota_of_a_volume_is_enforced(client):
    client.ask("MKCOL", "/small")
    assert client.ask("PUT", "/small/a", b"123456")[0] == 201
    status, _, body = client.ask("PUT", "/small/b", b"123456")
    assert status == 507 and b"quota-not-exceeded" in body
    assert (
        client.ask("PUT", "/small/a", b"1234567890")[0] == 204
        and client.ask("PUT", "/other", b"x" * 20)[0] == 201
    )
    assert (
        client.ask("COPY", "/other", Destination="/small/c")[0] == 507
        and client.ask("MOVE", "/other", Destination="/small/c")[0] == 507
    )
    find = b'<propfind xmlns="DAV:"><prop><quota-available-bytes/><quota-used-bytes/></prop></propfind>'
    received = client.ask("PROPFIND", "/small", find, Depth="0")[2]
    assert b"quota-available-bytes>0<" in received and b"quota-used-bytes>10<" in received
    assert b"quota" not in client.ask("PROPFIND", "/small", Depth="0")[2]
    client.ask("DELETE", "/small/a")
    assert b"quota-available-bytes>10<" in client.ask("PROPFIND", "/small", find, Depth="0")[2]


SYNC = '<sync-collection xmlns="DAV:"><sync-token>%s</sync-token><sync-level>%s</sync-level>%s<prop><getetag/></prop></sync-collection>'


def synced(client, path, token="", level="1", limit=""):
    status, _, body = client.ask("REPORT", path, (SYNC % (token, level, limit)).encode(), Depth="0")
    hrefs = re.findall(rb"<D:response><D:href>([^<]*)</D:href>(.*?)</D:response>", body)
    sync_token = re.search(rb"<D:sync-token>([^<]*)<", body)
    return (
        status,
        {href.decode(): b"404 Not Found" not in inner for href, inner in hrefs},
        sync_token[1].decode() if sync_token else body,
    )


def test_sync_collection_reports_the_changes_since_the_token(client):
    client.ask("MKCOL", "/c")
    client.ask("PUT", "/c/a", b"1")
    status, received, token = synced(client, "/c")
    assert (status, received) == (207, {"/c/a": True})
    client.ask("PUT", "/c/b", b"1")
    client.ask("DELETE", "/c/a")
    client.ask("MKCOL", "/c/d")
    client.ask("PUT", "/c/d/e", b"1")
    assert synced(client, "/c", token)[1] == {"/c/b": True, "/c/a": False, "/c/d/": True}
    assert synced(client, "/c", token, "infinite")[1] == {
        "/c/b": True,
        "/c/a": False,
        "/c/d/": True,
        "/c/d/e": True,
    }
    status, received, after = synced(client, "/c", token, limit="<limit><nresults>1</nresults></limit>")
    assert received == {"/c/b": True, "/c/": True}  # one change, and the response that marks the truncation
    assert synced(client, "/c", after)[1] == {"/c/a": False, "/c/d/": True}
    assert synced(client, "/c", synced(client, "/c")[2])[1] == {}


def test_unknown_sync_tokens_and_reports_are_refused_with_their_preconditions(client):
    client.ask("MKCOL", "/c")
    token = synced(client, "/c")[2]
    for wrong in ("x", token + "9", synced(client, "/")[2], token.replace("sync:", "sync:9")):
        status, _, body = synced(client, "/c", wrong)
        assert status == 403 and b"valid-sync-token" in body
    status, _, body = client.ask("REPORT", "/c", b'<expand-property xmlns="DAV:"/>')
    assert status == 403 and b"supported-report" in body
    assert (
        client.ask("REPORT", "/c", (SYNC % ("", "2", "")).encode())[0] == 400
        and synced(client, "/none")[0] == 404
    )
    assert synced(client, "/c", limit="<limit><nresults>0</nresults></limit>")[0] == 400


# --- duplicate reads ---


def test_a_hundred_duplicate_reads_have_one_attempt_in_flight_at_a_time(harness, client):
    client.ask("PUT", "/f", b"abc")
    harness.node.delay_s, most_in_flight = 0.05, 0
    clients = [harness.open() for _ in range(100)]
    for each in clients:
        each.send("GET", "/f", seconds=0, Idempotency_Key="k")
    for _ in range(200):
        harness.gateway_harness.run(0.01)
        most_in_flight = max(most_in_flight, len(harness.gateway_harness.gateway.nodes.in_flight))
    harness.gateway_harness.run(1)
    result = [each.next()[0] for each in clients]
    assert most_in_flight == 1 and set(result) == {200, 503} and result.count(200) >= 30


def test_a_waiting_read_runs_after_the_first_client_disconnects(harness, client):
    client.ask("PUT", "/f", b"abc")
    harness.node.delay_s = 0.1
    client.send("GET", "/f", seconds=0.05, Authorization="me")
    other = harness.open()
    other.send("GET", "/f", seconds=0.02, Authorization="me")
    assert len(harness.node.attempts) == 2  # one write, one read
    client.transport.abortConnection()
    harness.gateway_harness.run(1)
    assert other.next()[2] == b"abc"


def test_reads_of_other_clients_or_ranges_do_not_wait(harness, client):
    client.ask("PUT", "/f", b"abc")
    harness.node.delay_s = 0.2
    kinds = [
        {"Authorization": "a"},
        {"Authorization": "b"},
        {"Authorization": "a", "Range": "bytes=0-0"},
        {},
        {},
    ]
    for kind in kinds:
        harness.open().send("GET", "/f", seconds=0.01, **kind)
    assert harness.gateway_harness.gateway.request_log.open == 5 and not harness.server.waiting


# --- incomplete bodies and other failures ---


@pytest.mark.parametrize("quarter", [0, 1, 2, 3, 4])
def test_an_incomplete_body_leaves_the_old_object(harness, client, quarter):
    client.ask("PUT", "/f", b"old!")
    writer = harness.open()
    writer.transport.write(
        b"PUT /f HTTP/1.1\r\nHost: h\r\nContent-Length: 400001\r\n\r\n" + b"x" * (100_000 * quarter)
    )
    harness.gateway_harness.run(0.2)
    writer.transport.abortConnection()
    harness.gateway_harness.run(1)
    assert client.ask("GET", "/f")[2] == b"old!" and harness.server.tree.used["f"] == 4


def test_a_reset_between_body_and_response_keeps_the_write_and_its_duplicate_has_no_second_effect(
    harness, client
):
    harness.node.delay_s = 0.2
    client.send("PUT", "/f", b"x" * 100_000, seconds=0.05, Idempotency_Key="k")
    client.transport.abortConnection()
    retry = harness.open()
    assert retry.ask("PUT", "/f", b"x" * 100_000, Idempotency_Key="k", seconds=1)[0] == 201
    assert retry.ask("PUT", "/f", b"x" * 100_000, Idempotency_Key="k", seconds=1)[0] == 201
    assert len(harness.node.attempts) == 1 and retry.ask("GET", "/f", seconds=1)[2] == b"x" * 100_000


def test_a_move_onto_a_locked_target_changes_nothing(client):
    client.ask("PUT", "/a", b"A")
    client.ask("PUT", "/b", b"B")
    token = client.ask("LOCK", "/b", LOCK % b"exclusive")[1]["lock-token"]
    assert (
        client.ask("MOVE", "/a", Destination="/b")[0] == 423
        and client.ask("GET", "/a")[2] == b"A"
        and client.ask("GET", "/b")[2] == b"B"
    )
    assert (
        client.ask("MOVE", "/a", Destination="/b", If=f"</b> ({token})")[0] == 204
        and client.ask("GET", "/b")[2] == b"A"
    )


def test_a_large_listing_is_never_in_memory_as_a_whole(harness, client):
    tree = harness.server.tree
    tree.make_collection(("c",), 1)
    for i in range(50_000):
        tree.make_empty(("c", f"{i:05}"), 1)
    client.transport.pauseProducing()
    client.send("PROPFIND", "/c", seconds=1, Depth="1")
    waiting = client.transport.peer.on_way_size
    assert 65_536 < waiting < 1 << 20  # the transport was blocked and no further responses were generated
    other = harness.open()
    assert other.ask("OPTIONS", "/")[0] == 200
    client.transport.resumeProducing()
    harness.gateway_harness.run(30)
    assert client.data.count(b"<D:response>") == 50_001 and client.data.endswith(b"0\r\n\r\n")


def test_an_object_of_another_size_than_recorded_gets_502_and_never_hangs_the_client(harness, client):
    """Guards against a Content-Length that is never reached because a node stores another object under the key."""
    client.ask("PUT", "/f", b"0123456789")
    key = harness.node.attempts[0].key
    for wrong in (b"0123", b"", b"0123456789abc"):
        harness.node.objects[key] = wrong
        status, headers, _ = client.ask("GET", "/f", seconds=1)
        assert status == 502 and "etag" not in headers
    harness.node.objects[key] = b"0123456789"
    assert (
        client.ask("GET", "/f")[2] == b"0123456789" and harness.gateway_harness.gateway.request_log.open == 0
    )


def test_a_body_that_arrives_after_the_client_timeout_gets_408_and_is_not_submitted(harness, client):
    client.transport.write(b"PUT /f HTTP/1.1\r\nHost: h\r\nContent-Length: 30000\r\n\r\n")
    for _ in range(30):
        client.transport.write(b"x" * 1000)
        harness.gateway_harness.run(0.1)
    assert client.next()[0] == 408 and not harness.node.attempts and client.ask("GET", "/f")[0] == 404


@pytest.mark.parametrize("quarter", [0, 1, 2, 3])
def test_a_stalled_body_closes_the_connection_and_leaves_the_old_object(harness, client, quarter):
    client.ask("PUT", "/f", b"old!")
    writer = harness.open()
    writer.transport.write(
        b"PUT /f HTTP/1.1\r\nHost: h\r\nContent-Length: 4000\r\n\r\n" + b"x" * (1000 * quarter)
    )
    harness.gateway_harness.run(8)
    assert writer.data.startswith(b"HTTP/1.1 408 ") and writer.lost and len(harness.node.attempts) == 1
    assert client.ask("GET", "/f")[2] == b"old!"


def test_a_range_of_an_object_replaced_during_the_read_is_of_the_old_version(harness, client):
    client.ask("PUT", "/f", b"0123456789")
    harness.node.delay_s = 0.1
    client.send("GET", "/f", seconds=0.03, Range="bytes=2-4")
    assert harness.open().ask("PUT", "/f", b"abcdefghij", seconds=1)[0] == 204
    status, headers, body = client.next()
    assert (status, body, headers["content-range"]) == (206, b"234", "bytes 2-4/10")
    assert client.ask("GET", "/f", Range="bytes=2-4", seconds=1)[2] == b"cde"


def test_a_read_without_a_matching_class_has_no_representation_headers(harness, client):
    client.ask("PUT", "/f", b"0123456789")
    harness.server.class_rules = [rule for rule in harness.server.class_rules if rule.method != "GET"]
    status, headers, body = client.ask("GET", "/f", Range="bytes=0-1", Authorization="me")
    assert (
        status == 403
        and b"no product takes" in body
        and "etag" not in headers
        and "content-range" not in headers
    )


def test_twenty_thousand_connections_are_served_and_one_more_is_refused(make_gateway_harness):
    # Guards against a limit or a cost per connection that only shows with very many. The network is virtual, because
    # a process may be limited to 20,000 open files.
    harness = WebDavHarness(make_gateway_harness, max_connections=20_000, idle_timeout=3_600 * SECOND)
    network, clients = harness.gateway_harness.network, []

    class Client(Protocol):
        data, lost = b"", False

        def connectionMade(self):
            clients.append(self)

        def dataReceived(self, data):
            self.data += data

        def connectionLost(self, reason=None):
            self.lost = True

    def connect(count):
        for _ in range(count):
            factory = ClientFactory.forProtocol(Client)
            factory.noisy = False
            network.connectTCP("127.0.0.1", harness.port, factory)
        harness.gateway_harness.run(0.1)

    connect(20_000)
    for client_ in clients:
        client_.transport.write(b"OPTIONS /v1 HTTP/1.1\r\nHost: h\r\n\r\n")
    harness.gateway_harness.run(1.0)
    assert len(clients) == len(harness.server.channels) == 20_000
    assert all(client_.data.startswith(b"HTTP/1.1 200 ") and not client_.lost for client_ in clients)
    connect(1)
    assert clients[-1].data.startswith(b"HTTP/1.1 503 ") and clients[-1].lost
    clients[0].transport.loseConnection()
    harness.gateway_harness.run(0.1)
    connect(1)
    clients[-1].transport.write(b"OPTIONS /v1 HTTP/1.1\r\nHost: h\r\n\r\n")
    harness.gateway_harness.run(0.1)
    assert clients[-1].data.startswith(b"HTTP/1.1 200 ") and len(harness.server.channels) == 20_000
