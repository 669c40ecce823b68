"""The WebDAV door over its own bytes: raw HTTP on a virtual network, scripted storage nodes behind the gateway."""

import re

import pytest
from twisted.internet.protocol import ClientFactory, Protocol

from ochrecourse.storage.journal import MemoryJournal
from ochrecourse.common.time_units import SECOND
from ochrecourse.webdav.door import Door
from ochrecourse.webdav.kept import Kept
from ochrecourse.webdav.limits import DoorFigures
from ochrecourse.webdav.mapping import ProductRule, VolumeRule
from ochrecourse.webdav.methods import Quota
from ochrecourse.wire import messages as m

PRODUCTS = [ProductRule("GET", -1, "read", 2.0), ProductRule("PUT", -1, "mark", 2.0)]


LIMITS = {
    "connections": 200, "header_bytes": 4096, "headers": 30, "body": 8 << 20, "rate": 1000.0, "burst": 1000.0,
    "idle": 30 * SECOND, "head": 3 * SECOND, "slowest": 1000.0, "grace": 2 * SECOND,
}  # fmt: skip


class Store:
    """A node that keeps what it is sent; `late` s before it answers, `mute` while it says nothing."""

    def __init__(self):
        self.objects, self.legs, self.late, self.mute, self.cut, self.full = {}, [], 0.0, False, False, False
        self.bodies = {}

    def __call__(self, wire, message, body):
        if isinstance(message, m.SendAttempt):
            self.legs.append(message)
            self.bodies[message.id] = body
            if message.body == message.size:
                wire.network.callLater(self.late, self.answer, wire, message)
        elif isinstance(message, m.BodyChunk):
            self.bodies[message.id] += body
            leg = self.legs[-1]
            if len(self.bodies[message.id]) == leg.size:
                self.answer(wire, leg)
        elif isinstance(message, m.CancelAttempt):
            wire.send(m.AttemptCancelled(id=message.id))

    def answer(self, wire, leg):
        if self.mute:
            return
        if self.full:
            wire.send(m.AttemptRejected(id=leg.id))
            return
        if leg.write:
            self.objects[leg.key] = self.bodies[leg.id]
            wire.send(m.AttemptServed(id=leg.id, shard=0))
            return
        data = self.objects[leg.key]
        if self.cut:
            wire.send(m.AttemptServed(id=leg.id, size=len(data)), data[: len(data) // 2])
            wire.transport.loseConnection()
            return
        first = data if len(data) <= m.MAX_BODY_BYTES else b""
        wire.send(m.AttemptServed(id=leg.id, size=len(data), shard=0), first)
        for at in range(0, 0 if first else len(data), m.MAX_BODY_BYTES):
            wire.send(m.BodyChunk(id=leg.id), data[at : at + m.MAX_BODY_BYTES])


class House:
    """A door before a gateway before one node."""

    def __init__(self, make_gateway_harness, journal=None, **figures):
        self.store = Store()
        self.lines = []
        self.yard = make_gateway_harness(self.store)
        count = iter(range(10_000))
        volumes = [VolumeRule("", "p0", 1)]
        self.door = Door(
            self.yard.gateway,
            self.yard.network,
            PRODUCTS,
            volumes,
            65_536,
            8,
            0,
            Kept(journal or MemoryJournal(), lambda: f"urn:{next(count)}", 0, 1_700_000_000),
            DoorFigures(**{**LIMITS, **figures}),
            Quota({"small": 10}),
            lambda **said: self.lines.append(said),
        )
        self.port = self.yard.network.listenTCP(0, self.door).getHost().port

    def open(self):
        house = self

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
                house.yard.run(seconds)

            def next(self):
                """Status, headers and body of the next response."""
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

        made = []

        class Factory(ClientFactory):
            noisy = False

            def buildProtocol(self, addr):
                made.append(Client())
                return made[0]

        self.yard.network.connectTCP("127.0.0.1", self.port, Factory())
        self.yard.run(0.01)
        return made[0]


@pytest.fixture
def house(make_gateway_harness):
    return House(make_gateway_harness)


@pytest.fixture
def client(house):
    return house.open()


def test_what_was_put_is_got_with_its_tag(client):
    status, headers, _ = client.ask("PUT", "/f", b"hello", Content_Type="text/plain")
    assert status == 201 and headers["etag"]
    tag = headers["etag"]
    status, headers, body = client.ask("GET", "/f")
    assert (status, body, headers["etag"], headers["content-type"]) == (200, b"hello", tag, "text/plain")
    status, headers, body = client.ask("PUT", "/f", b"again")
    assert status == 204 and headers["etag"] != tag
    assert client.ask("GET", "/f")[2] == b"again"


def test_head_has_the_length_and_no_body_and_an_empty_file_needs_no_node(house, client):
    client.ask("PUT", "/f", b"hello")
    client.send("HEAD", "/f")
    assert b"Content-Length: 5\r\n" in client.data and client.data.endswith(b"\r\n\r\n")
    client.data = b""
    assert client.ask("PUT", "/e", b"")[0] == 201
    legs = len(house.store.legs)
    assert client.ask("GET", "/e")[2] == b"" and len(house.store.legs) == legs


@pytest.mark.parametrize(
    ("range_", "status", "body", "told"),
    [
        ("bytes=1-3", 206, b"ell", "bytes 1-3/5"), ("bytes=-2", 206, b"lo", "bytes 3-4/5"), ("bytes=3-", 206, b"lo", "bytes 3-4/5"),
        ("bytes=9-", 416, b"", "bytes */5"), ("lines=1", 200, b"hello", None),
    ],
)  # fmt: skip
def test_ranges(client, range_, status, body, told):
    client.ask("PUT", "/f", b"hello")
    got = client.ask("GET", "/f", Range=range_)
    assert (got[0], got[2], got[1].get("content-range")) == (status, body, told)


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
def test_what_cannot_be_done_has_its_status_and_changes_nothing(house, client, method, path, headers, status):
    client.ask("PUT", "/f", b"hello")
    client.ask("MKCOL", "/c")
    before = [(at, entry.tag) for at, entry in house.door.tree.walk((), -1)]
    assert client.ask(method, path, **headers)[0] == status
    assert [(at, entry.tag) for at, entry in house.door.tree.walk((), -1)] == before


def test_names_move_copy_and_go_with_all_below(client):
    client.ask("MKCOL", "/c")
    client.ask("PUT", "/c/f", b"one")
    assert client.ask("COPY", "/c", Destination="/d")[0] == 201 and client.ask("GET", "/d/f")[2] == b"one"
    assert (
        client.ask("MOVE", "/d/f", Destination="http://h/g")[0] == 201 and client.ask("GET", "/d/f")[0] == 404
    )
    assert client.ask("MOVE", "/g", Destination="/c/f")[0] == 204 and client.ask("GET", "/c/f")[2] == b"one"
    assert client.ask("DELETE", "/c")[0] == 204 and client.ask("GET", "/c/f")[0] == 404


def test_propfind_lists_members_and_what_is_missing(client):
    client.ask("MKCOL", "/c")
    for name in ("a", "b%20b"):
        client.ask("PUT", f"/c/{name}", b"xyz")
    status, _, body = client.ask("PROPFIND", "/c", Depth="1")
    hrefs = re.findall(r"<D:response><D:href>([^<]*)", body.decode())
    assert status == 207 and hrefs == ["/c/", "/c/a", "/c/b%20b"] and b"<D:getcontentlength>3<" in body
    asked = b'<propfind xmlns="DAV:"><prop><getetag/><none xmlns="urn:x"/></prop></propfind>'
    body = client.ask("PROPFIND", "/c/a", asked, Depth="0")[2].decode()
    assert "200 OK" in body and '<N:none xmlns:N="urn:x"></N:none>' in body and "404 Not Found" in body


def test_a_large_collection_is_listed_piece_by_piece(client, house):
    client.ask("MKCOL", "/c")
    for i in range(1200):
        house.door.tree.make_empty(("c", f"m{i:05}"), 1)
    body = client.ask("PROPFIND", "/c", Depth="1", seconds=2)[2]
    assert body.count(b"<D:response>") == 1201 and body.rstrip().endswith(b"</D:multistatus>")


SET = (
    b'<propertyupdate xmlns="DAV:"><set><prop><x xmlns="urn:x">1 &amp; 2</x>%s</prop></set></propertyupdate>'
)


def test_properties_are_kept_and_live_ones_are_not_the_clients(client):
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
def test_xml_that_is_not_taken_is_told(client, body):
    assert client.ask("PROPFIND", "/", body, Depth="0")[0] == (400 if len(body) < 1 << 18 else 413)


LOCK = b'<lockinfo xmlns="DAV:"><lockscope><%s/></lockscope><locktype><write/></locktype><owner>me</owner></lockinfo>'


def test_a_lock_keeps_others_off_until_it_goes(client, house):
    client.ask("PUT", "/f", b"1")
    status, headers, body = client.ask("LOCK", "/f", LOCK % b"exclusive", Timeout="Second-100")
    token = headers["lock-token"]
    assert status == 200 and b"<D:timeout>Second-100<" in body
    assert client.ask("PUT", "/f", b"2")[0] == 423 and client.ask("LOCK", "/f", LOCK % b"shared")[0] == 423
    assert client.ask("PUT", "/f", b"2", If=f"({token})")[0] == 204
    assert client.ask("DELETE", "/f", If=f"({token})", Authorization="other")[0] == 423
    assert client.ask("LOCK", "/f", If=f"({token})", Timeout="Second-50")[0] == 200
    assert client.ask("UNLOCK", "/f", Lock_Token=token)[0] == 204 and client.ask("PUT", "/f", b"3")[0] == 204


def test_a_lock_on_nothing_makes_an_empty_resource_that_goes_when_the_lock_runs_out(client):
    status, headers, _ = client.ask("LOCK", "/new", LOCK % b"exclusive", Timeout="Second-2")
    assert status == 201 and client.ask("GET", "/new")[0] == 200
    assert client.ask("PUT", "/new", b"x", If=f"({headers['lock-token']})")[0] == 201
    client.ask("LOCK", "/gone", LOCK % b"exclusive", Timeout="Second-1")
    assert client.ask("PUT", "/f", b"", seconds=1.5)[0] == 201 and client.ask("GET", "/gone")[0] == 404


def test_a_lock_that_runs_out_in_the_middle_of_a_put_does_not_undo_it(client, house):
    client.ask("PUT", "/f", b"1")
    token = client.ask("LOCK", "/f", LOCK % b"exclusive", Timeout="Second-1")[1]["lock-token"]
    house.store.late = 0.9
    assert client.ask("PUT", "/f", b"2", If=f"({token})", seconds=1.4)[0] == 204
    house.store.late = 0.0
    house.yard.network.advance(20)  # the node is no longer taken to be slow
    assert client.ask("GET", "/f")[2] == b"2"


# --- when nodes do not do their part ---


def test_a_put_to_a_node_that_stalls_is_told_as_unknown_in_time_and_the_old_object_stays(house, client):
    client.ask("PUT", "/f", b"old")
    house.store.mute = True
    status, _, body = client.ask("PUT", "/f", b"new", seconds=2.1)
    assert status == 504 and b"not known" in body
    house.store.mute = False
    assert client.ask("GET", "/f", seconds=3)[2] == b"old"


def test_a_job_that_is_turned_away_says_when_to_come_back(house, client):
    house.store.full = True
    status, headers, _ = client.ask("PUT", "/f", b"new", seconds=2.1)
    assert status == 503 and int(headers["retry-after"]) >= 1 and client.ask("GET", "/f")[0] == 404


def test_a_read_that_breaks_off_is_cut_so_that_the_client_can_tell(house, client):
    client.ask("PUT", "/f", b"0123456789")
    house.store.cut = True
    client.send("GET", "/f", seconds=1)
    assert b"Content-Length: 10" in client.data and client.data.endswith(b"01234") and client.lost


def test_a_hundred_resends_of_a_save_are_one_leg_and_one_answer_each(house):
    house.store.late = 0.2
    clients = [house.open() for _ in range(100)]
    for each in clients:
        each.send("PUT", "/f", b"save", seconds=0, Idempotency_Key="k")
    house.yard.run(1)
    assert [each.next()[0] for each in clients] == [201] * 100 and len(house.store.legs) == 1
    late = house.open()
    assert late.ask("PUT", "/f", b"save", Idempotency_Key="k")[0] == 201 and len(house.store.legs) == 1
    assert late.ask("PUT", "/f", b"other", Idempotency_Key="l")[0] == 204


def test_two_different_saves_at_once_are_never_mixed(house, client):
    house.store.late = 0.2
    other = house.open()
    client.send("PUT", "/f", b"one", seconds=0.01)
    assert other.ask("PUT", "/f", b"two", seconds=0.05)[0] == 503
    house.yard.run(1)
    assert client.next()[0] == 201 and client.ask("GET", "/f", seconds=1)[2] == b"one"


def test_a_client_that_leaves_after_its_save_was_sent_finds_it_saved(house, client):
    house.store.late = 0.2
    client.send("PUT", "/f", b"save", seconds=0.1)
    client.transport.abortConnection()
    house.yard.run(1)
    assert house.open().ask("GET", "/f", seconds=1)[2] == b"save"


def test_a_reader_keeps_the_version_that_it_began_with(house, client):
    client.ask("PUT", "/f", b"old")
    house.store.late = 0.2
    client.send("GET", "/f", seconds=0.05)
    assert house.open().ask("PUT", "/f", b"new!", seconds=1)[0] == 204
    assert client.next()[2] == b"old" and client.ask("GET", "/f", seconds=1)[2] == b"new!"


def test_a_large_save_and_its_slow_reader_are_whole(house, client):
    data = bytes(range(256)) * 4096
    assert client.ask("PUT", "/big", data, seconds=1.9)[0] == 201
    client.transport.pauseProducing()
    client.send("GET", "/big", seconds=0.5)
    client.transport.resumeProducing()
    house.yard.run(1.5)
    assert client.next()[2] == data


@pytest.mark.parametrize("raw", [
    b"GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
    b"GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    b"GET / HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n",
    b"GARBAGE\r\n\r\n",
    b"GET / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: odd\r\n\r\n",
])  # fmt: skip
def test_shapes_that_smuggle_requests_are_refused_and_the_connection_ends(house, client, raw):
    client.transport.write(raw)
    house.yard.run(2)
    assert client.data.startswith(b"HTTP/1.1 400") and client.data.count(b"HTTP/1.1") == 1 and client.lost


def test_pipelined_requests_are_answered_in_order(house, client):
    client.ask("PUT", "/a", b"A")
    client.ask("PUT", "/b", b"B")
    client.send("GET", "/a", seconds=0)
    client.send("GET", "/b", seconds=0)
    house.yard.run(1)
    assert client.next()[2] == b"A" and client.next()[2] == b"B"


# --- limits of the door ---


def test_what_the_head_tells_is_refused_before_the_body_comes(house, client):
    client.ask("PUT", "/f", b"1")
    head = "PUT /f HTTP/1.1\r\nHost: h\r\nContent-Length: 999999\r\nExpect: 100-continue\r\n%s\r\n"
    for more, status in (
        ('If-Match: "x"\r\n', 412),
        ("Expect: pigs\r\n", 417),
        ("Content-Encoding: gzip\r\n", 415),
        ("Content-Range: bytes 0-1/2\r\n", 400),
    ):
        one = house.open()
        one.transport.write((head % more).encode())
        house.yard.run(0.1)
        assert (
            one.data.startswith(b"HTTP/1.1 %d " % status)
            and b"Connection: close" in one.data
            and not one.lost
        )
        one.transport.write(
            b"x" * 100_000
        )  # it is read and forgotten, so that the answer is not lost to a reset
        house.yard.run(1.5)
        assert one.lost and one.data.count(b"HTTP/1.1") == 1
    assert client.ask("GET", "/f")[2] == b"1"


def test_a_body_that_is_awaited_is_asked_for(house, client):
    client.transport.write(b"PUT /f HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n")
    house.yard.run(0.1)
    assert client.data == b"HTTP/1.1 100 Continue\r\n\r\n"
    client.data = b""
    client.transport.write(b"abc")
    house.yard.run(0.3)
    assert client.next()[0] == 201


@pytest.mark.parametrize(
    ("length", "sent"),
    [
        ("Content-Length: 9000000", b""),
        ("Transfer-Encoding: chunked", b"800000\r\n" + b"x" * (8 << 20) + b"\r\n2\r\nxx\r\n"),
    ],
)
def test_a_body_over_the_limit_is_refused_even_if_its_size_was_not_told(house, client, length, sent):
    client.transport.write(f"PUT /f HTTP/1.1\r\nHost: h\r\n{length}\r\n\r\n".encode() + sent)
    house.yard.run(2)
    assert client.data.startswith(b"HTTP/1.1 413 ") and client.lost and not house.store.legs


def test_too_many_requests_on_one_connection_are_told_when_to_come_back(make_gateway_harness):
    house = House(make_gateway_harness, rate=2.0, burst=3.0)
    client, other = house.open(), house.open()
    assert [client.ask("OPTIONS", "/", seconds=0.001)[0] for _ in range(4)] == [200, 200, 200, 429]
    assert other.ask("OPTIONS", "/")[0] == 200
    client.send("OPTIONS", "/", seconds=0.01)
    assert client.next()[1]["retry-after"] == "1"
    house.yard.run(0.6)
    assert client.ask("OPTIONS", "/")[0] == 200


@pytest.mark.parametrize(
    "raw",
    [
        b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 5000,
        b"GET / HTTP/1.1\r\nHost: h\r\n" + b"X: y\r\n" * 40,
        b"GET /" + b"x" * 9000,
    ],
)
def test_heads_that_are_too_large_are_refused(house, client, raw):
    client.transport.write(raw + b"\r\n\r\n")
    house.yard.run(2)
    assert client.data.startswith(b"HTTP/1.1 431 ") and client.lost


@pytest.mark.parametrize("raw", [
    b"GET / HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n", b"GET / HTTP/1.1\nHost: h\n\n\r\n\r\n", b"GET / HTTP/1.1\r\nHost: h\r\nX: a\nY: b\r\n\r\n",
    b"GET / HTTP/1.1\r\nHost : h\r\n\r\n", b"GET / HTTP/1.1\r\n\r\n", b"GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
    b"PUT /f HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", b"PUT /f HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc",
    b"PUT /f HTTP/1.1\r\nHost: h\r\nContent-Length: 3, 3\r\n\r\nabc", b"GET / HTTP/1.1\r\nHost: h\r\nX\x00: a\r\n\r\n",
])  # fmt: skip
def test_heads_that_two_readers_could_read_apart_are_refused(house, client, raw):
    client.transport.write(raw)
    house.yard.run(2)
    assert client.data.startswith(b"HTTP/1.1 400 ") and client.data.count(b"HTTP/1.1") == 1


def test_clients_that_send_too_slowly_are_ended_and_steady_ones_are_not(house):
    heads, body, steady = house.open(), house.open(), house.open()
    heads.transport.write(b"GET / HT")
    body.transport.write(b"PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n")
    steady.transport.write(b"PUT /b HTTP/1.1\r\nHost: h\r\nContent-Length: 10000\r\n\r\n")
    for _ in range(10):
        steady.transport.write(b"x" * 1000)
        house.yard.run(0.15)
    for _ in range(10):
        body.transport.write(b"x" * 50)
        house.yard.run(0.4)
    assert (
        heads.data.startswith(b"HTTP/1.1 408 ")
        and heads.lost
        and body.data.startswith(b"HTTP/1.1 408 ")
        and body.lost
    )
    assert steady.next()[0] == 201 and house.door.counts["ended for sending too slowly"] == 2


def test_idle_connections_end_and_one_too_many_is_told(make_gateway_harness):
    house = House(make_gateway_harness, connections=2, idle=5 * SECOND)
    first, second, third = house.open(), house.open(), house.open()
    house.yard.run(0.1)
    assert third.data.startswith(b"HTTP/1.1 503 ") and third.lost and not first.lost
    house.yard.run(3)
    first.ask("OPTIONS", "/", seconds=3)
    assert second.lost and not first.lost and house.open().ask("OPTIONS", "/")[0] == 200


def test_a_leaving_gateway_ends_connections_with_their_answers_and_idle_ones_at_once(house):
    busy, idle = house.open(), house.open()
    house.store.late = 0.3
    busy.send("PUT", "/f", b"x", seconds=0.1)
    house.yard.gateway.drain()
    house.door.say_bye()
    house.yard.run(0.05)
    assert idle.lost and not busy.lost
    house.yard.run(1)
    status, headers, _ = busy.next()
    assert (status, headers["connection"], busy.lost) == (201, "close", True)
    late = house.open()
    status, headers, _ = late.ask("GET", "/f")
    assert (status, headers["connection"]) == (503, "close") and late.lost


def test_each_request_has_one_line_that_says_how_it_ended(house, client):
    client.ask("PUT", "/f", b"abc", X_Request_Id="r1")
    client.ask("GET", "/f")
    client.ask("GET", "/none")
    house.store.full = True
    client.ask("PUT", "/g", b"abc", seconds=2.5)
    house.store.full, house.store.mute = False, True
    client.ask("PUT", "/h", b"abc", seconds=2.5)
    client.send("GET", "/f", seconds=0.1)
    client.transport.abortConnection()
    house.yard.run(1)
    told = [(line["method"], line["how"], line["status"]) for line in house.lines]
    assert told == [
        ("PUT", "fulfilled", 201), ("GET", "fulfilled", 200), ("GET", "refused", 404), ("PUT", "denied", 503),
        ("PUT", "written off", 504), ("GET", "client left", 0),
    ]  # fmt: skip
    assert house.lines[0]["trace"] == "r1" == house.store.legs[0].trace and house.lines[0]["bytes_in"] == 3


# --- ranges, quota, synchronization ---


def test_several_ranges_come_as_parts_in_order_and_only_what_is_asked(house, client):
    client.ask("PUT", "/f", b"0123456789", Content_Type="text/plain")
    status, headers, body = client.ask("GET", "/f", Range="bytes=7-8,0-1,1-2")
    boundary = headers["content-type"].partition("boundary=")[2]
    part = "\r\n--%s\r\nContent-Type: text/plain\r\nContent-Range: bytes %s/10\r\n\r\n%s"
    assert status == 206 and headers["content-type"].startswith("multipart/byteranges; ")
    assert (
        body.decode()
        == part % (boundary, "0-2", "012") + part % (boundary, "7-8", "78") + f"\r\n--{boundary}--\r\n"
    )
    assert client.ask("GET", "/f")[2] == b"0123456789"


def test_ranges_of_a_streamed_object_are_exact_and_the_rest_is_not_read(house, client):
    data = bytes(range(256)) * 8192
    client.ask("PUT", "/big", data, seconds=1.9)
    for first, last in ((0, 9), (65_535, 65_536), (1_000_000, 1_200_000), (len(data) - 5, len(data) - 1)):
        status, _, body = client.ask("GET", "/big", Range=f"bytes={first}-{last}", seconds=1)
        assert status == 206 and body == data[first : last + 1]
    assert client.ask("GET", "/big", seconds=1)[2] == data


def test_a_volume_is_held_to_its_quota(client):
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
    told = client.ask("PROPFIND", "/small", find, Depth="0")[2]
    assert b"quota-available-bytes>0<" in told and b"quota-used-bytes>10<" in told
    assert b"quota" not in client.ask("PROPFIND", "/small", Depth="0")[2]
    client.ask("DELETE", "/small/a")
    assert b"quota-available-bytes>10<" in client.ask("PROPFIND", "/small", find, Depth="0")[2]


SYNC = '<sync-collection xmlns="DAV:"><sync-token>%s</sync-token><sync-level>%s</sync-level>%s<prop><getetag/></prop></sync-collection>'


def synced(client, path, token="", level="1", limit=""):
    status, _, body = client.ask("REPORT", path, (SYNC % (token, level, limit)).encode(), Depth="0")
    hrefs = re.findall(rb"<D:response><D:href>([^<]*)</D:href>(.*?)</D:response>", body)
    found = re.search(rb"<D:sync-token>([^<]*)<", body)
    return (
        status,
        {where.decode(): b"404 Not Found" not in inner for where, inner in hrefs},
        found[1].decode() if found else body,
    )


def test_a_client_that_synchronizes_is_told_what_changed_since_its_token(client):
    client.ask("MKCOL", "/c")
    client.ask("PUT", "/c/a", b"1")
    status, told, token = synced(client, "/c")
    assert (status, told) == (207, {"/c/a": True})
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
    status, told, after = synced(client, "/c", token, limit="<limit><nresults>1</nresults></limit>")
    assert told == {"/c/b": True, "/c/": True}  # one change, and the response that says that there is more
    assert synced(client, "/c", after)[1] == {"/c/a": False, "/c/d/": True}
    assert synced(client, "/c", synced(client, "/c")[2])[1] == {}


def test_tokens_that_were_never_given_and_other_reports_are_refused_by_their_preconditions(client):
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


# --- resends of reads ---


def test_a_hundred_resends_of_a_read_have_one_leg_out_at_a_time(house, client):
    client.ask("PUT", "/f", b"abc")
    house.store.late, most = 0.05, 0
    clients = [house.open() for _ in range(100)]
    for each in clients:
        each.send("GET", "/f", seconds=0, Idempotency_Key="k")
    for _ in range(200):
        house.yard.run(0.01)
        most = max(most, len(house.yard.gateway.nodes.in_flight))
    house.yard.run(1)
    got = [each.next()[0] for each in clients]
    assert most == 1 and set(got) == {200, 503} and got.count(200) >= 30


def test_a_read_that_waits_goes_on_when_the_first_one_leaves(house, client):
    client.ask("PUT", "/f", b"abc")
    house.store.late = 0.1
    client.send("GET", "/f", seconds=0.05, Authorization="me")
    other = house.open()
    other.send("GET", "/f", seconds=0.02, Authorization="me")
    assert len(house.store.legs) == 2  # one to save, one to read
    client.transport.abortConnection()
    house.yard.run(1)
    assert other.next()[2] == b"abc"


def test_reads_of_other_people_or_parts_do_not_wait(house, client):
    client.ask("PUT", "/f", b"abc")
    house.store.late = 0.2
    kinds = [
        {"Authorization": "a"},
        {"Authorization": "b"},
        {"Authorization": "a", "Range": "bytes=0-0"},
        {},
        {},
    ]
    for kind in kinds:
        house.open().send("GET", "/f", seconds=0.01, **kind)
    assert house.yard.gateway.request_log.open == 5 and not house.door.waiting


# --- bodies that break ---


@pytest.mark.parametrize("quarter", [0, 1, 2, 3, 4])
def test_a_body_that_breaks_off_after_each_quarter_leaves_the_old_object(house, client, quarter):
    client.ask("PUT", "/f", b"old!")
    writer = house.open()
    writer.transport.write(
        b"PUT /f HTTP/1.1\r\nHost: h\r\nContent-Length: 400001\r\n\r\n" + b"x" * (100_000 * quarter)
    )
    house.yard.run(0.2)
    writer.transport.abortConnection()
    house.yard.run(1)
    assert client.ask("GET", "/f")[2] == b"old!" and house.door.tree.used["f"] == 4


def test_a_reset_after_the_last_byte_and_before_the_answer_keeps_the_save_and_its_resend_is_one_effect(
    house, client
):
    house.store.late = 0.2
    client.send("PUT", "/f", b"x" * 100_000, seconds=0.05, Idempotency_Key="k")
    client.transport.abortConnection()
    again = house.open()
    assert again.ask("PUT", "/f", b"x" * 100_000, Idempotency_Key="k", seconds=1)[0] == 201
    assert again.ask("PUT", "/f", b"x" * 100_000, Idempotency_Key="k", seconds=1)[0] == 201
    assert len(house.store.legs) == 1 and again.ask("GET", "/f", seconds=1)[2] == b"x" * 100_000


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


def test_a_listing_of_many_members_is_never_whole_in_memory(house, client):
    tree = house.door.tree
    tree.make_collection(("c",), 1)
    for i in range(50_000):
        tree.make_empty(("c", f"{i:05}"), 1)
    client.transport.pauseProducing()
    client.send("PROPFIND", "/c", seconds=1, Depth="1")
    waiting = client.transport.peer.on_way_size
    assert 65_536 < waiting < 1 << 20  # the transport was full and nothing more was made
    other = house.open()
    assert other.ask("OPTIONS", "/")[0] == 200
    client.transport.resumeProducing()
    house.yard.run(30)
    assert client.data.count(b"<D:response>") == 50_001 and client.data.endswith(b"0\r\n\r\n")


def test_an_object_that_is_not_as_kept_is_told_and_never_hangs_its_reader(house, client):
    """Guards against a length that is promised and never reached, where nodes hold other bytes than names say."""
    client.ask("PUT", "/f", b"0123456789")
    key = house.store.legs[0].key
    for wrong in (b"0123", b"", b"0123456789abc"):
        house.store.objects[key] = wrong
        status, headers, _ = client.ask("GET", "/f", seconds=1)
        assert status == 502 and "etag" not in headers
    house.store.objects[key] = b"0123456789"
    assert client.ask("GET", "/f")[2] == b"0123456789" and house.yard.gateway.request_log.open == 0


def test_a_body_that_comes_after_its_clients_time_is_told_so_and_runs_nothing(house, client):
    client.transport.write(b"PUT /f HTTP/1.1\r\nHost: h\r\nContent-Length: 30000\r\n\r\n")
    for _ in range(30):
        client.transport.write(b"x" * 1000)
        house.yard.run(0.1)
    assert client.next()[0] == 408 and not house.store.legs and client.ask("GET", "/f")[0] == 404


@pytest.mark.parametrize("quarter", [0, 1, 2, 3])
def test_a_body_that_stalls_after_each_quarter_is_ended_and_leaves_the_old_object(house, client, quarter):
    client.ask("PUT", "/f", b"old!")
    writer = house.open()
    writer.transport.write(
        b"PUT /f HTTP/1.1\r\nHost: h\r\nContent-Length: 4000\r\n\r\n" + b"x" * (1000 * quarter)
    )
    house.yard.run(8)
    assert writer.data.startswith(b"HTTP/1.1 408 ") and writer.lost and len(house.store.legs) == 1
    assert client.ask("GET", "/f")[2] == b"old!"


def test_a_range_of_an_object_that_is_replaced_while_it_is_read_is_of_the_old_one(house, client):
    client.ask("PUT", "/f", b"0123456789")
    house.store.late = 0.1
    client.send("GET", "/f", seconds=0.03, Range="bytes=2-4")
    assert house.open().ask("PUT", "/f", b"abcdefghij", seconds=1)[0] == 204
    status, headers, body = client.next()
    assert (status, body, headers["content-range"]) == (206, b"234", "bytes 2-4/10")
    assert client.ask("GET", "/f", Range="bytes=2-4", seconds=1)[2] == b"cde"


def test_a_read_that_no_product_takes_says_nothing_of_a_body(house, client):
    client.ask("PUT", "/f", b"0123456789")
    house.door.products = [rule for rule in house.door.products if rule.method != "GET"]
    status, headers, body = client.ask("GET", "/f", Range="bytes=0-1", Authorization="me")
    assert (
        status == 403
        and b"no product takes" in body
        and "etag" not in headers
        and "content-range" not in headers
    )


def test_twenty_thousand_connections_at_one_door_are_served_and_one_more_is_turned_away(make_gateway_harness):
    # Guards against a bound or a cost of a connection that only shows with very many. The network is virtual: the
    # machine that this was written on lets no process have more than 20,000 open files.
    house = House(make_gateway_harness, connections=20_000, idle=3_600 * SECOND)
    network, made = house.yard.network, []

    class Person(Protocol):
        data, lost = b"", False

        def connectionMade(self):
            made.append(self)

        def dataReceived(self, data):
            self.data += data

        def connectionLost(self, reason=None):
            self.lost = True

    def come(count):
        for _ in range(count):
            factory = ClientFactory.forProtocol(Person)
            factory.noisy = False
            network.connectTCP("127.0.0.1", house.port, factory)
        house.yard.run(0.1)

    come(20_000)
    for person in made:
        person.transport.write(b"OPTIONS /v1 HTTP/1.1\r\nHost: h\r\n\r\n")
    house.yard.run(1.0)
    assert len(made) == len(house.door.channels) == 20_000
    assert all(person.data.startswith(b"HTTP/1.1 200 ") and not person.lost for person in made)
    come(1)
    assert made[-1].data.startswith(b"HTTP/1.1 503 ") and made[-1].lost
    made[0].transport.loseConnection()
    house.yard.run(0.1)
    come(1)
    made[-1].transport.write(b"OPTIONS /v1 HTTP/1.1\r\nHost: h\r\n\r\n")
    house.yard.run(0.1)
    assert made[-1].data.startswith(b"HTTP/1.1 200 ") and len(house.door.channels) == 20_000
