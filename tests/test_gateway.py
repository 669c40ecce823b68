"""The gateway with scripted clients and nodes: an error on one connection does not affect others."""

import pytest

from ochrecourse.common.request_records import RequestOutcome
from ochrecourse.interface import Ending
from ochrecourse.common.time_units import MS, SECOND
from ochrecourse.wire import messages as m


def answer(wire, message, body):
    """A node that serves every attempt and confirms every cancel."""
    if isinstance(message, m.SendAttempt) and message.body == message.size:
        wire.send(m.AttemptServed(id=message.id, size=4, shard=0), b"data")
    elif isinstance(message, m.CancelAttempt):
        wire.send(m.AttemptCancelled(id=message.id))


def silent(wire, message, body):
    """A node that never replies."""


def test_a_request_is_forwarded_and_answered_once(make_gateway_harness):
    harness = make_gateway_harness(answer)
    client = harness.client()
    harness.submit(client)
    harness.run()
    assert [type(each).__name__ for each, _ in client.received] == ["Hello", "RequestServed", "BodyChunk"]
    assert client.received[2][1] == b"data" and harness.records[0].outcome is RequestOutcome.SERVED


def test_a_request_to_a_silent_node_fails_before_the_clients_timeout(make_gateway_harness):
    # An attempt's time-out at the client's timeout left no time to send the response.
    harness = make_gateway_harness(silent)
    client = harness.client()
    harness.submit(client, request_class="bind", key=5, timeout_ms=700)
    harness.run(0.701)
    assert [type(each) for each, _ in client.received[1:]] == [m.RequestFailed]
    assert harness.records[0].attempts[0].ending is Ending.TIMEOUT and harness.nodes[0].connections[
        0
    ].messages_of(m.CancelAttempt)


def test_a_duplicate_response_ends_the_nodes_connection_and_reaches_no_client(make_gateway_harness):
    def reply_twice(wire, message, body):
        if isinstance(message, m.SendAttempt):
            for _ in range(2):
                wire.send(m.AttemptServed(id=message.id, size=2, shard=0), b"ok")

    harness = make_gateway_harness(reply_twice)
    client = harness.client()
    harness.submit(client)
    harness.run()
    assert (
        len(client.messages_of(m.RequestServed)) == 1
        and harness.nodes[0].connections[0].messages_of(m.ErrorNotice)[0].code == "over"
    )
    assert harness.gateway.nodes.counts["nodes that broke the protocol"] == 1


@pytest.mark.parametrize(
    ("malformed", "code"),
    [
        (m.encode(m.AttemptServed(id=99, size=0)), "never_opened"),
        (b"{not json}\r\n", "bad_message"),
        (b"x" * 5000, "header_limit"),
        (m.encode(m.BodyChunk(id=1), b"zz"), "illegal"),
        (b'{"m":"done","id":1,"size":9,"body":70000}\r\n', "bad_message"),
        (b'{"m":"done","id":1,"size":90000,"body":70000}\r\n', "body_limit"),
    ],
)
def test_a_protocol_violation_by_a_node_affects_only_its_own_attempts(make_gateway_harness, malformed, code):
    def send_malformed(wire, message, body):
        if isinstance(message, m.SendAttempt):
            wire.transport.write(malformed)

    harness = make_gateway_harness(send_malformed, answer)
    client = harness.client()
    harness.submit(client, 1, request_class="bind", key=3)
    harness.submit(client, 2, shard=1)
    harness.run()
    message_types = {
        each.id: type(each)
        for each, _ in client.received
        if isinstance(each, m.RequestFailed | m.RequestServed)
    }
    assert message_types == {1: m.RequestFailed, 2: m.RequestServed}
    assert harness.nodes[0].connections[0].messages_of(m.ErrorNotice)[0].code == code
    first = next(story for story in harness.records if story.request_class == 2)
    assert first.attempts[0].ending is Ending.RESET


def test_responses_sent_byte_by_byte_are_complete(make_gateway_harness):
    def send_bytewise(wire, message, body):
        if isinstance(message, m.SendAttempt):
            data = m.encode(m.AttemptServed(id=message.id, size=6), b"abcdef")
            for i in range(len(data)):
                wire.network.callLater(i * 0.001, wire.transport.write, data[i : i + 1])

    harness = make_gateway_harness(send_bytewise)
    client = harness.client()
    harness.submit(client)
    harness.run()
    assert client.messages_of(m.RequestServed) and client.received[-1][1] == b"abcdef"


def test_a_late_response_is_dropped_and_counted(make_gateway_harness):
    def reply_late(wire, message, body):
        if isinstance(message, m.CancelAttempt):
            wire.send(m.AttemptServed(id=message.id, size=0))

    harness = make_gateway_harness(reply_late)
    client = harness.client()
    harness.submit(client, request_class="bind", key=9, timeout_ms=600)
    harness.run()
    assert [type(each) for each, _ in client.received[1:]] == [m.RequestFailed]
    assert (
        harness.gateway.nodes.counts["late answers dropped"] == 1 and not harness.nodes[0].connections[0].lost
    )


def test_an_unconfirmed_cancel_ends_the_connection(make_gateway_harness):
    harness = make_gateway_harness(silent)
    client = harness.client()
    harness.submit(client, request_class="bind", key=9, timeout_ms=600)
    harness.run(5)
    assert harness.nodes[0].connections[0].lost and not harness.gateway.in_flight


def test_a_node_that_stops_reading_stalls_only_its_own_attempt(make_gateway_harness):
    def stop_reading(wire, message, body):
        if isinstance(message, m.SendAttempt):
            wire.transport.pauseProducing()

    harness = make_gateway_harness(stop_reading, answer)
    client = harness.client()
    size = 4 << 20
    client.send(
        m.SubmitRequest(
            id=1, request_class="bind", tenant="p0", volume=1, key=4, timeout_ms=900, shard=0, size=size
        )
    )
    for _ in range(size // m.MAX_BODY_BYTES):
        client.send(m.BodyChunk(id=1), bytes(m.MAX_BODY_BYTES))
    harness.submit(client, 2, shard=1)
    harness.run(0.3)
    assert client.messages_of(m.RequestServed)[0].id == 2
    connection = next(iter(harness.gateway.nodes.connections.values()))
    assert (
        connection.transport.on_way_size < 4 * m.MAX_BODY_BYTES
    )  # the rest of the body is in its temporary file, not in memory
    harness.run()
    # The node never had the whole attempt, so it was not executed: the request is rejected, not failed.
    assert (
        client.messages_of(m.RequestRejected)[0].id == 1
        and harness.records[-1].attempts[0].ending is Ending.UNREACHABLE
    )


def test_a_long_response_stays_within_its_window_while_the_client_does_not_read(make_gateway_harness):
    sent, granted = [], []

    def stream(wire, message, body):
        if isinstance(message, m.SendAttempt):
            wire.send(m.AttemptServed(id=message.id, size=8 << 20))
            granted.append(m.WINDOW_BYTES)
        if isinstance(message, m.WindowUpdate):
            granted.append(message.increment_bytes)
        while sum(granted) > sum(sent) and sum(sent) < 8 << 20:
            wire.send(m.BodyChunk(id=1), bytes(m.MAX_BODY_BYTES))
            sent.append(m.MAX_BODY_BYTES)

    harness = make_gateway_harness(stream)
    client = harness.client()
    harness.submit(client, timeout_ms=1000)
    client.transport.pauseProducing()
    harness.run(0.4)
    assert m.WINDOW_BYTES <= sum(sent) <= m.WINDOW_BYTES + 3 * m.MAX_BODY_BYTES
    client.transport.resumeProducing()
    harness.run()
    assert sum(len(body) for _, body in client.received) == 8 << 20
    assert harness.records[0].outcome is RequestOutcome.SERVED


def test_an_aborted_response_is_reported_as_failed(make_gateway_harness):
    def reply_partially(wire, message, body):
        if isinstance(message, m.SendAttempt):
            wire.send(m.AttemptServed(id=message.id, size=10), b"12345")
            wire.transport.loseConnection()

    harness = make_gateway_harness(reply_partially)
    client = harness.client()
    harness.submit(client)
    harness.run()
    assert [type(each).__name__ for each, _ in client.received[1:]] == [
        "RequestServed",
        "BodyChunk",
        "RequestFailed",
    ]
    assert (
        harness.records[0].outcome is RequestOutcome.FAILED
        and harness.records[0].attempts[0].ending is Ending.RESET
    )


@pytest.mark.parametrize(
    ("send", "code", "ends"),
    [
        (lambda y, c: y.submit(c, request_class="nothing"), "unknown_product", False),
        (lambda y, c: y.submit(c, tenant="nothing"), "unknown_plan", False),
        (lambda y, c: y.submit(c, units=-1.0), "bad_figure", False),
        (lambda y, c: y.submit(c, timeout_ms=1e300), "bad_figure", False),
        (lambda y, c: y.submit(c, size=1 << 40), "body_limit", False),
        (lambda y, c: (y.submit(c, 5), y.submit(c, 5)), "repeated_id", True),
        (lambda y, c: c.send(m.BodyChunk(id=7), b"x"), "never_opened", True),
        (lambda y, c: c.transport.write(b"A" * 5000), "header_limit", True),
        (lambda y, c: c.transport.write(b"[]\r\n"), "bad_message", True),
        (lambda y, c: (y.submit(c, size=m.MAX_BODY_BYTES + 5), c.send(m.BodyChunk(id=1), bytes(m.MAX_BODY_BYTES + 1 - 1)),
                       c.send(m.BodyChunk(id=1), bytes(9))), "body_too_long", True),
        (lambda y, c: c.send(m.Hello(version=1, role="client")), "second_hello", True),
    ],
)  # fmt: skip
def test_an_error_of_one_client_is_reported_to_it_and_affects_no_other(
    make_gateway_harness, send, code, ends
):
    harness = make_gateway_harness(answer)
    faulty, correct = harness.client(), harness.client()
    harness.run(0.01)
    send(harness, faulty)
    harness.submit(correct, 1)
    harness.run()
    assert faulty.messages_of(m.ErrorNotice)[-1].code == code and faulty.lost is ends
    assert correct.messages_of(m.RequestServed) and not correct.lost
    assert any(code in name for name in harness.client_factory.counts)


def test_a_client_that_sends_one_byte_per_second_is_disconnected(make_gateway_harness):
    harness = make_gateway_harness(answer)
    slow_client = harness.client()
    data = m.encode(m.SubmitRequest(id=1, request_class="read", tenant="p0", volume=1, timeout_ms=99_000))
    for i in range(30):
        harness.network.callLater(i, slow_client.transport.write, data[i : i + 1])
    harness.run(20)
    assert (
        slow_client.messages_of(m.ErrorNotice)[0].code == "slow"
        and slow_client.lost
        and not harness.client_factory.connections
    )


def test_clients_without_hello_and_clients_over_the_limit_are_disconnected(
    make_gateway_harness, make_raw_connection
):
    harness = make_gateway_harness(answer)
    wires = [harness.client() for _ in range(9)]
    harness.run(1)
    assert wires[8].messages_of(m.ErrorNotice)[0].code == "too_many_connections" and wires[8].lost
    node_without_hello = make_gateway_harness(answer)
    wire = make_raw_connection(node_without_hello.network).connect(node_without_hello.port)
    node_without_hello.run(8)
    assert wire.messages_of(m.ErrorNotice)[0].code == "no_hello" and wire.lost


def test_an_incomplete_body_is_refused_at_the_clients_timeout(make_gateway_harness):
    harness = make_gateway_harness(answer)
    client = harness.client()
    harness.submit(client, size=200_000, timeout_ms=500)
    harness.run(1)
    assert client.messages_of(m.ErrorNotice)[0].code == "late_body" and not client.lost
    client.send(
        m.BodyChunk(id=1), bytes(100)
    )  # a chunk that was in flight when the request was refused is ignored
    harness.submit(client, 2)
    harness.run()
    assert client.messages_of(m.RequestServed)[0].id == 2


def test_a_cancelled_request_gets_only_its_confirmation(make_gateway_harness):
    harness = make_gateway_harness(silent)
    client = harness.client()
    harness.submit(client, timeout_ms=900)
    harness.run(0.1)
    client.send(m.CancelRequest(id=1))
    harness.run()
    assert [type(each) for each, _ in client.received[1:]] == [m.RequestCancelled]
    assert harness.records[0].outcome is RequestOutcome.CLIENT_CLOSED and not harness.gateway.in_flight


def test_requests_of_a_client_that_disconnects_are_cancelled(make_gateway_harness):
    harness = make_gateway_harness(silent)
    client = harness.client()
    for number in range(1, 6):
        harness.submit(client, number)
    harness.run(0.05)
    client.transport.abortConnection()
    harness.run()
    assert [story.outcome for story in harness.records] == [
        RequestOutcome.CLIENT_CLOSED
    ] * 5 and not harness.gateway.in_flight


def test_a_blocked_event_loop_sends_no_response_after_the_clients_timeout(make_gateway_harness):
    # The client's timeout runs while the event loop is blocked: requests read afterwards count as sent before it.
    harness = make_gateway_harness(silent)
    client = harness.client()
    harness.run(0.1)
    now = round(harness.network.seconds() * SECOND)
    assert harness.gateway.event_loop_lag.timer_fired(now - 300 * MS, now)
    harness.submit(client, 1, request_class="bind", key=3, timeout_ms=600)
    harness.run(0.31)
    assert (
        client.messages_of(m.RequestFailed)[0].id == 1
    )  # in time even if it was sent 300 ms before it was read
    harness.gateway.event_loop_lag.iteration_finished()
    harness.submit(client, 2, request_class="bind", key=4, timeout_ms=600)
    harness.run(0.31)
    assert len(client.messages_of(m.RequestFailed)) == 1


def test_a_drain_answers_requests_in_flight_and_rejects_new_ones(make_gateway_harness):
    harness = make_gateway_harness(silent)
    client = harness.client()
    drained = []
    harness.gateway.on_drained.append(lambda: drained.append(harness.network.seconds()))
    harness.submit(client, 1, request_class="bind", key=2, timeout_ms=800)
    harness.run(0.1)
    harness.gateway.drain()
    harness.submit(client, 2)
    harness.run(0.1)
    assert client.messages_of(m.RequestRejected)[0].id == 2 and not drained
    harness.run()
    assert client.messages_of(m.RequestFailed)[0].id == 1 and drained


def test_connections_are_pooled_limited_and_closed_when_idle(make_gateway_harness):
    harness = make_gateway_harness(
        answer, Limits__IdleClose="500", Limits__Multiplex="2", Limits__Connections="2"
    )
    client = harness.client()
    for number in range(1, 20):
        harness.submit(client, number)
    harness.run(0.4)
    assert len(client.messages_of(m.RequestServed)) == 19 and len(harness.nodes[0].connections) <= 2
    harness.run(2)
    assert all(wire.lost for wire in harness.nodes[0].connections) and harness.nodes[0].connections[
        0
    ].messages_of(m.GoAway)


def test_a_refused_dial_and_a_missing_hello_prove_that_nothing_was_executed(
    make_gateway_harness, make_scripted_node
):
    harness = make_gateway_harness(answer)
    harness.gateway.addresses[70] = ("127.0.0.1", 9)  # no listener
    client = harness.client()
    harness.submit(client, request_class="bind", key=1)
    harness.run()
    assert (
        client.messages_of(m.RequestRejected) and harness.records[0].attempts[0].ending is Ending.UNREACHABLE
    )
    node_without_hello = make_scripted_node(harness.network, silent, hello=False)
    harness.gateway.addresses[70] = ("127.0.0.1", node_without_hello.port)
    harness.run(5)
    harness.submit(client, 2, request_class="bind", key=1)
    harness.run()
    assert harness.records[1].attempts[0].reason.startswith("the dial, the node's hello")
