"""The time that each reader gives a message: that of this message, and none in which the gateway did not read.

The first tests guard against a peer that sends steadily in overlapping pieces, whose messages are taken for one that
never becomes complete; the others against a message that arrived in time while the event loop was blocked.
"""

import json
import socket
from types import SimpleNamespace

import pytest
from test_client_close import SteppedReactor
from test_door import LIMITS, WebDavHarness
from test_fleet_part import HELLO, Liar, make_fleet
from test_list_watch import HEAD, WatchHarness, AgentConnection, chunk, line
from twisted.internet.protocol import ServerFactory

from ochrecourse.common.time_units import SECOND
from ochrecourse.fleet.link import Link
from ochrecourse.fleet.messages import HeartbeatBatch, Hello, decode_header, encode_frame
from ochrecourse.gateway.graceful_shutdown import GracefulShutdown
from ochrecourse.service.watch_connection import LINE_TIMEOUT_SECONDS, SILENCE_TIMEOUT_SECONDS
from ochrecourse.storage.journal import MemoryJournal
from ochrecourse.webdav.limits import ConnectionLimits
from ochrecourse.webdav.mapping import VolumeRule
from ochrecourse.webdav.server import WebDavServer
from ochrecourse.webdav.state_store import StateStore
from ochrecourse.wire import messages as m
from ochrecourse.wire.framed_protocol import MESSAGE_TIMEOUT_S, FramedProtocol
from ochrecourse.wire.state import Role, client_connection_state

__all__ = ["make_fleet"]
PIECE_SECONDS = 0.5  # between the halves of a message, below each reader's time for one


def overlapping_pieces(messages):
    """The messages in pieces: each holds the second half of one and the first half of the next."""
    rest = b""
    for message in messages:
        half = len(message) // 2
        yield rest + message[:half]
        rest = message[half:]
    yield rest


def send_in_pieces(transport, messages, run):
    for piece in overlapping_pieces(messages):
        transport.write(piece)
        run(PIECE_SECONDS)


@pytest.mark.parametrize("body", [b"", b"x" * 200])
def test_framed_messages_in_pieces_are_each_in_time(make_gateway_harness, make_scripted_node, body):
    harness = make_gateway_harness(lambda wire, message, body: None)
    client = harness.client()
    harness.run(0.1)
    count = round(3 * MESSAGE_TIMEOUT_S / PIECE_SECONDS)
    messages = []
    for number in range(1, count + 1):
        request = m.SubmitRequest(
            id=number, request_class="mark", tenant="p0", volume=1, timeout_ms=200, shard=0, size=len(body)
        )
        request.body = len(body)
        messages.append(m.encode(request, body))
    send_in_pieces(client.transport, messages, harness.run)
    assert not client.lost and not harness.client_factory.counts
    assert len(harness.records) == count


def test_frames_of_a_peer_in_pieces_are_each_in_time(make_fleet):
    fleet = make_fleet("ac")
    fleet.ports["b"] = 20_900  # no listener
    for name in "ac":
        fleet.parts[name].kill()
        fleet.start(name)
    fleet.run(2)
    peer = Liar(fleet, "a")
    peer.transport.write(encode_frame(Hello(**HELLO)))
    frames = [
        encode_frame(HeartbeatBatch(), b"[]") for _ in range(round(3 * MESSAGE_TIMEOUT_S / PIECE_SECONDS))
    ]
    send_in_pieces(peer.transport, frames, fleet.run)
    assert "slow" not in fleet.parts["a"].peer_errors


@pytest.mark.parametrize("method", ["OPTIONS", "PROPFIND", "PUT"])
def test_webdav_requests_in_pieces_are_each_in_time(make_gateway_harness, method):
    harness = WebDavHarness(make_gateway_harness)
    client = harness.open()
    body = {"OPTIONS": b"", "PROPFIND": b"", "PUT": b"x" * 300}[method]
    requests = [
        b"%s /f%d HTTP/1.1\r\nHost: h\r\nDepth: 0\r\nContent-Length: %d\r\n\r\n%s"
        % (method.encode(), number, len(body), body)
        for number in range(30)
    ]
    send_in_pieces(client.transport, requests, harness.gateway_harness.run)
    harness.gateway_harness.run(1)
    assert not client.lost and client.data.count(b"HTTP/1.1 ") == len(requests)
    assert b"HTTP/1.1 4" not in client.data.replace(b"HTTP/1.1 404", b"")


def test_lines_of_a_watch_in_pieces_are_each_in_time():
    harness = WatchHarness()
    agent = harness.agent
    sent = []

    class InPieces(AgentConnection):
        def dataReceived(self, data):
            self.transport.write(HEAD)
            self.rest, self.version = b"", agent.base + 1
            self.flow()

        def flow(self):
            if self.closed:
                return
            self.version += 1
            sent.append(self.version)
            change = line(self.version, reset=False)
            half = len(change) // 2
            self.transport.write(chunk(self.rest + change[:half]))
            self.rest = change[half:]
            agent.later(PIECE_SECONDS, self.flow)

    agent.buildProtocol = lambda addr: InPieces(agent)
    agent.reset_all()
    harness.network.advance(1.0)
    watch = harness.watch.watches[-1]
    harness.network.advance(LINE_TIMEOUT_SECONDS + 2 * SILENCE_TIMEOUT_SECONDS)
    assert not watch.ended and harness.watch.watches == [watch] and not harness.log


# --- after the event loop was blocked ---


class ReceivingProtocol(FramedProtocol):
    """The gateway's end of a framed connection, which keeps what it receives."""

    def __init__(self, clock):
        super().__init__(clock, Role.RESPONDER, client_connection_state())
        self.received = []

    def message_received(self, message, body, stream_state):
        self.received.append(body)


class ReceivingExchange:
    """What a link passes its frames to; it keeps their bodies."""

    hello, end_reason = None, ""

    def __init__(self):
        self.received = []

    def next_frame(self, now):
        return None

    def header_received(self, line, now):
        return decode_header(line).body_size

    def body_received(self, body, now, wall_ms):
        self.received.append(body)
        return []

    def error_frame(self, violation):
        return str(violation).encode()


@pytest.fixture
def loop():
    """An event loop on real sockets whose clock the test advances."""
    reactor = SteppedReactor()
    yield reactor
    reactor.end()


def connect(loop, protocol):
    """Connects a socket to a protocol on the event loop."""
    factory = ServerFactory()
    factory.buildProtocol = lambda addr: protocol
    port = loop.listenTCP(0, factory, interface="127.0.0.1")
    client = socket.create_connection(("127.0.0.1", port.getHost().port))
    loop.run_until(lambda: protocol.connected)
    return client


def send_around_a_block(loop, client, message, seconds):
    """Sends the first bytes of a message, then the rest while the event loop is blocked for some time."""
    client.sendall(message[:20])
    loop.settle()
    client.sendall(message[20:])
    loop.now += seconds  # no timer was called, nothing was read
    loop.settle()


def test_a_framed_message_that_stands_unread_after_a_block_is_in_time(loop):
    protocol = ReceivingProtocol(loop)
    with connect(loop, protocol) as client:
        hello = m.encode(m.Hello(version=m.PROTOCOL_VERSION, role="client", name="c"))
        request = m.SubmitRequest(
            id=1, request_class="mark", tenant="p0", volume=1, timeout_ms=200, size=60_000
        )
        request.body = 60_000
        client.sendall(hello)
        send_around_a_block(loop, client, m.encode(request, b"x" * 60_000), 2 * MESSAGE_TIMEOUT_S)
        assert protocol.failure is None and protocol.received == [b"", b"x" * 60_000]


def test_a_frame_of_a_peer_that_stands_unread_after_a_block_is_in_time(loop):
    exchange = ReceivingExchange()
    owner = SimpleNamespace(frame_received=lambda *frame: None, ended=lambda *end: None)
    link = Link(loop, exchange, owner, lambda: 0, dialled=False)
    with connect(loop, link) as client:
        body = json.dumps(["x" * 60_000]).encode()
        send_around_a_block(loop, client, encode_frame(HeartbeatBatch(), body), 2 * MESSAGE_TIMEOUT_S)
        assert link.violation is None and exchange.received == [body]


def test_a_webdav_request_that_stands_unread_after_a_block_is_in_time(loop):
    gateway = SimpleNamespace(shutdown=GracefulShutdown())
    store = StateStore(MemoryJournal(), lambda: "urn:1", 0, 1_700_000_000)
    limits = ConnectionLimits(**LIMITS)
    server = WebDavServer(gateway, loop, [], [VolumeRule("", "p0", 1)], 65_536, 8, 0, store, limits)
    channel = server.buildProtocol(None)
    with connect(loop, channel) as client:
        request = b"OPTIONS / HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 2000 + b"\r\n\r\n"
        send_around_a_block(loop, client, request, 2 * limits.header_timeout / SECOND)
        assert (
            client.recv(4096).startswith(b"HTTP/1.1 200 ")
            and not server.counts["ended for sending too slowly"]
        )
