"""The WebDAV door over its own bytes: raw HTTP on a virtual network, scripted storage nodes behind the gateway."""

import re

import pytest
from twisted.internet.protocol import ClientFactory, Protocol

from ochrecourse.webdav.door import Door
from ochrecourse.webdav.mapping import ProductRule, VolumeRule
from ochrecourse.wire import messages as m

PRODUCTS = [ProductRule("GET", -1, "read", 2.0), ProductRule("PUT", -1, "mark", 2.0)]


class Store:
    """A node that keeps what it is sent; `late` s before it answers, `mute` while it says nothing."""

    def __init__(self):
        self.objects, self.legs, self.late, self.mute, self.cut, self.full = {}, [], 0.0, False, False, False
        self.bodies = {}

    def __call__(self, wire, message, body):
        if isinstance(message, m.LegSent):
            self.legs.append(message)
            self.bodies[message.id] = body
            if message.body == message.size:
                wire.network.callLater(self.late, self.answer, wire, message)
        elif isinstance(message, m.Part):
            self.bodies[message.id] += body
            leg = self.legs[-1]
            if len(self.bodies[message.id]) == leg.size:
                self.answer(wire, leg)
        elif isinstance(message, m.Cancel):
            wire.say(m.Cancelled(id=message.id))

    def answer(self, wire, leg):
        if self.mute:
            return
        if self.full:
            wire.say(m.Full(id=leg.id))
            return
        if leg.write:
            self.objects[leg.key] = self.bodies[leg.id]
            wire.say(m.Done(id=leg.id, shard=0))
            return
        data = self.objects[leg.key]
        if self.cut:
            wire.say(m.Done(id=leg.id, size=len(data)), data[: len(data) // 2])
            wire.transport.loseConnection()
            return
        first = data if len(data) <= m.MAX_BODY else b""
        wire.say(m.Done(id=leg.id, size=len(data), shard=0), first)
        for at in range(0, 0 if first else len(data), m.MAX_BODY):
            wire.say(m.Part(id=leg.id), data[at : at + m.MAX_BODY])


class House:
    """A door before a gateway before one node."""

    def __init__(self, make_yard):
        self.store = Store()
        self.yard = make_yard(self.store)
        count = iter(range(10_000))
        volumes = [VolumeRule("", "p0", 1)]
        self.door = Door(
            self.yard.gateway, self.yard.network, PRODUCTS, volumes, 65_536, 8, 0, 1_700_000_000, lambda: f"urn:{next(count)}"
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
def house(make_yard):
    return House(make_yard)


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
        ("bytes=9-", 416, b"", "bytes */5"), ("bytes=0-0,2-2", 200, b"hello", None), ("lines=1", 200, b"hello", None),
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
    assert client.ask("MOVE", "/d/f", Destination="http://h/g")[0] == 201 and client.ask("GET", "/d/f")[0] == 404
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


SET = b'<propertyupdate xmlns="DAV:"><set><prop><x xmlns="urn:x">1 &amp; 2</x>%s</prop></set></propertyupdate>'


def test_properties_are_kept_and_live_ones_are_not_the_clients(client):
    client.ask("PUT", "/f", b"")
    assert b"200 OK" in client.ask("PROPPATCH", "/f", SET % b"")[2]
    assert b"1 &amp; 2" in client.ask("PROPFIND", "/f", Depth="0")[2]
    assert b"403 Forbidden" in client.ask("PROPPATCH", "/f", SET.replace(b"1 &amp; 2", b"3") % b"<getetag/>")[2]
    assert b"1 &amp; 2" in client.ask("PROPFIND", "/f", Depth="0")[2]


@pytest.mark.parametrize("body", [
    b"<", b"<a/>", b'<!DOCTYPE x [<!ENTITY a "b">]><propfind xmlns="DAV:"><allprop/></propfind>', b"\xff\xfe",
    b'<propfind xmlns="DAV:">' + b"<a>" * 40 + b"</a>" * 40 + b"</propfind>", b'<propfind xmlns="DAV:"/>', b"x" * 300_000,
])  # fmt: skip
def test_xml_that_is_not_taken_is_told(client, body):
    assert client.ask("PROPFIND", "/", body, Depth="0")[0] == 400


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
    assert client.ask("PUT", "/f", b"2", If=f"({token})", seconds=1.4)[0] == 204 and client.ask("GET", "/f", seconds=1.4)[2] == b"2"


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
    house.yard.run(1)
    assert client.data.startswith(b"HTTP/1.1 4") and client.lost


def test_pipelined_requests_are_answered_in_order(house, client):
    client.ask("PUT", "/a", b"A")
    client.ask("PUT", "/b", b"B")
    client.send("GET", "/a", seconds=0)
    client.send("GET", "/b", seconds=0)
    house.yard.run(1)
    assert client.next()[2] == b"A" and client.next()[2] == b"B"
