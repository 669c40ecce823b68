"""Messages that arrive in overlapping pieces: each reader measures the time of this message, not of any that is partial.

Each test guards against a peer that sends steadily, and whose messages are taken for one that never becomes complete.
"""

import pytest
from test_door import WebDavHarness
from test_fleet_part import HELLO, Liar, make_fleet
from test_list_watch import HEAD, WatchHarness, AgentConnection, chunk, line

from ochrecourse.fleet.messages import HeartbeatBatch, Hello, encode_frame
from ochrecourse.service.watch_connection import LINE_TIMEOUT_SECONDS, SILENCE_TIMEOUT_SECONDS
from ochrecourse.wire import messages as m
from ochrecourse.wire.framed_protocol import MESSAGE_TIMEOUT_S

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
