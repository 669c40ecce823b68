"""The gateway with scripted clients and nodes: an error on one connection does not affect others."""

import pytest

from ochrecourse.common.request_records import RequestOutcome
from ochrecourse.interface import Ending
from ochrecourse.common.time_units import MS, SECOND
from ochrecourse.wire import messages as m


def answer(wire, message, body):
    """A node that serves every attempt and confirms every cancel."""
    if isinstance(message, m.SendAttempt) and message.body == message.size:
        wire.say(m.AttemptServed(id=message.id, size=4, shard=0), b"data")
    elif isinstance(message, m.CancelAttempt):
        wire.say(m.AttemptCancelled(id=message.id))


def silent(wire, message, body):
    """A node that never replies."""


def test_a_request_is_forwarded_and_answered_once(make_yard):
    yard = make_yard(answer)
    client = yard.client()
    yard.ask(client)
    yard.run()
    assert [type(each).__name__ for each, _ in client.got] == ["Hello", "RequestServed", "BodyChunk"]
    assert client.got[2][1] == b"data" and yard.stories[0].outcome is RequestOutcome.SERVED


def test_a_request_to_a_silent_node_fails_before_the_clients_timeout(make_yard):
    # An attempt's time-out at the client's timeout left no time to send the response.
    yard = make_yard(silent)
    client = yard.client()
    yard.ask(client, product="bind", key=5, timeout_ms=700)
    yard.run(0.701)
    assert [type(each) for each, _ in client.got[1:]] == [m.RequestFailed]
    assert yard.stories[0].attempts[0].ending is Ending.TIMEOUT and yard.nodes[0].wires[0].told(
        m.CancelAttempt
    )


def test_a_duplicate_response_ends_the_nodes_connection_and_reaches_no_client(make_yard):
    def reply_twice(wire, message, body):
        if isinstance(message, m.SendAttempt):
            for _ in range(2):
                wire.say(m.AttemptServed(id=message.id, size=2, shard=0), b"ok")

    yard = make_yard(reply_twice)
    client = yard.client()
    yard.ask(client)
    yard.run()
    assert (
        len(client.told(m.RequestServed)) == 1
        and yard.nodes[0].wires[0].told(m.ErrorNotice)[0].code == "over"
    )
    assert yard.gateway.nodes.counts["nodes that broke the protocol"] == 1


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
def test_a_protocol_violation_by_a_node_affects_only_its_own_attempts(make_yard, malformed, code):
    def send_malformed(wire, message, body):
        if isinstance(message, m.SendAttempt):
            wire.transport.write(malformed)

    yard = make_yard(send_malformed, answer)
    client = yard.client()
    yard.ask(client, 1, product="bind", key=3)
    yard.ask(client, 2, shard=1)
    yard.run()
    message_types = {
        each.id: type(each) for each, _ in client.got if isinstance(each, m.RequestFailed | m.RequestServed)
    }
    assert message_types == {1: m.RequestFailed, 2: m.RequestServed}
    assert yard.nodes[0].wires[0].told(m.ErrorNotice)[0].code == code
    first = next(story for story in yard.stories if story.request_class == 2)
    assert first.attempts[0].ending is Ending.RESET


def test_responses_sent_byte_by_byte_are_complete(make_yard):
    def send_bytewise(wire, message, body):
        if isinstance(message, m.SendAttempt):
            data = m.encode(m.AttemptServed(id=message.id, size=6), b"abcdef")
            for i in range(len(data)):
                wire.network.callLater(i * 0.001, wire.transport.write, data[i : i + 1])

    yard = make_yard(send_bytewise)
    client = yard.client()
    yard.ask(client)
    yard.run()
    assert client.told(m.RequestServed) and client.got[-1][1] == b"abcdef"


def test_a_late_response_is_dropped_and_counted(make_yard):
    def reply_late(wire, message, body):
        if isinstance(message, m.CancelAttempt):
            wire.say(m.AttemptServed(id=message.id, size=0))

    yard = make_yard(reply_late)
    client = yard.client()
    yard.ask(client, product="bind", key=9, timeout_ms=600)
    yard.run()
    assert [type(each) for each, _ in client.got[1:]] == [m.RequestFailed]
    assert yard.gateway.nodes.counts["late answers dropped"] == 1 and not yard.nodes[0].wires[0].lost


def test_an_unconfirmed_cancel_ends_the_connection(make_yard):
    yard = make_yard(silent)
    client = yard.client()
    yard.ask(client, product="bind", key=9, timeout_ms=600)
    yard.run(5)
    assert yard.nodes[0].wires[0].lost and not yard.gateway.in_flight


def test_a_node_that_stops_reading_stalls_only_its_own_attempt(make_yard):
    def stop_reading(wire, message, body):
        if isinstance(message, m.SendAttempt):
            wire.transport.pauseProducing()

    yard = make_yard(stop_reading, answer)
    client = yard.client()
    size = 4 << 20
    client.say(
        m.SubmitRequest(
            id=1, request_class="bind", tenant="p0", volume=1, key=4, timeout_ms=900, shard=0, size=size
        )
    )
    for _ in range(size // m.MAX_BODY_BYTES):
        client.say(m.BodyChunk(id=1), bytes(m.MAX_BODY_BYTES))
    yard.ask(client, 2, shard=1)
    yard.run(0.3)
    assert client.told(m.RequestServed)[0].id == 2
    connection = next(iter(yard.gateway.nodes.connections.values()))
    assert (
        connection.transport.on_way_size < 4 * m.MAX_BODY_BYTES
    )  # the rest of the body is in its temporary file, not in memory
    yard.run()
    # The node never had the whole attempt, so it was not executed: the request is rejected, not failed.
    assert (
        client.told(m.RequestRejected)[0].id == 1
        and yard.stories[-1].attempts[0].ending is Ending.UNREACHABLE
    )


def test_a_long_response_stays_within_its_window_while_the_client_does_not_read(make_yard):
    sent, granted = [], []

    def stream(wire, message, body):
        if isinstance(message, m.SendAttempt):
            wire.say(m.AttemptServed(id=message.id, size=8 << 20))
            granted.append(m.WINDOW_BYTES)
        if isinstance(message, m.WindowUpdate):
            granted.append(message.increment_bytes)
        while sum(granted) > sum(sent) and sum(sent) < 8 << 20:
            wire.say(m.BodyChunk(id=1), bytes(m.MAX_BODY_BYTES))
            sent.append(m.MAX_BODY_BYTES)

    yard = make_yard(stream)
    client = yard.client()
    yard.ask(client, timeout_ms=1000)
    client.transport.pauseProducing()
    yard.run(0.4)
    assert m.WINDOW_BYTES <= sum(sent) <= m.WINDOW_BYTES + 3 * m.MAX_BODY_BYTES
    client.transport.resumeProducing()
    yard.run()
    assert sum(len(body) for _, body in client.got) == 8 << 20
    assert yard.stories[0].outcome is RequestOutcome.SERVED


def test_an_aborted_response_is_reported_as_failed(make_yard):
    def reply_partially(wire, message, body):
        if isinstance(message, m.SendAttempt):
            wire.say(m.AttemptServed(id=message.id, size=10), b"12345")
            wire.transport.loseConnection()

    yard = make_yard(reply_partially)
    client = yard.client()
    yard.ask(client)
    yard.run()
    assert [type(each).__name__ for each, _ in client.got[1:]] == [
        "RequestServed",
        "BodyChunk",
        "RequestFailed",
    ]
    assert (
        yard.stories[0].outcome is RequestOutcome.FAILED
        and yard.stories[0].attempts[0].ending is Ending.RESET
    )


@pytest.mark.parametrize(
    ("send", "code", "ends"),
    [
        (lambda y, c: y.ask(c, product="nothing"), "unknown_product", False),
        (lambda y, c: y.ask(c, plan="nothing"), "unknown_plan", False),
        (lambda y, c: y.ask(c, units=-1.0), "bad_figure", False),
        (lambda y, c: y.ask(c, timeout_ms=1e300), "bad_figure", False),
        (lambda y, c: y.ask(c, size=1 << 40), "body_limit", False),
        (lambda y, c: (y.ask(c, 5), y.ask(c, 5)), "repeated_id", True),
        (lambda y, c: c.say(m.BodyChunk(id=7), b"x"), "never_opened", True),
        (lambda y, c: c.transport.write(b"A" * 5000), "header_limit", True),
        (lambda y, c: c.transport.write(b"[]\r\n"), "bad_message", True),
        (lambda y, c: (y.ask(c, size=m.MAX_BODY_BYTES + 5), c.say(m.BodyChunk(id=1), bytes(m.MAX_BODY_BYTES + 1 - 1)),
                       c.say(m.BodyChunk(id=1), bytes(9))), "body_too_long", True),
        (lambda y, c: c.say(m.Hello(version=1, role="client")), "second_hello", True),
    ],
)  # fmt: skip
def test_an_error_of_one_client_is_reported_to_it_and_affects_no_other(make_yard, send, code, ends):
    yard = make_yard(answer)
    faulty, correct = yard.client(), yard.client()
    yard.run(0.01)
    send(yard, faulty)
    yard.ask(correct, 1)
    yard.run()
    assert faulty.told(m.ErrorNotice)[-1].code == code and faulty.lost is ends
    assert correct.told(m.RequestServed) and not correct.lost
    assert any(code in name for name in yard.front.counts)


def test_a_client_that_sends_one_byte_per_second_is_disconnected(make_yard):
    yard = make_yard(answer)
    slow_client = yard.client()
    data = m.encode(m.SubmitRequest(id=1, request_class="read", tenant="p0", volume=1, timeout_ms=99_000))
    for i in range(30):
        yard.network.callLater(i, slow_client.transport.write, data[i : i + 1])
    yard.run(20)
    assert (
        slow_client.told(m.ErrorNotice)[0].code == "slow" and slow_client.lost and not yard.front.connections
    )


def test_clients_without_hello_and_clients_over_the_limit_are_disconnected(make_yard, make_wire):
    yard = make_yard(answer)
    wires = [yard.client() for _ in range(9)]
    yard.run(1)
    assert wires[8].told(m.ErrorNotice)[0].code == "too_many_connections" and wires[8].lost
    node_without_hello = make_yard(answer)
    wire = make_wire(node_without_hello.network).connect(node_without_hello.port)
    node_without_hello.run(8)
    assert wire.told(m.ErrorNotice)[0].code == "no_hello" and wire.lost


def test_an_incomplete_body_is_refused_at_the_clients_timeout(make_yard):
    yard = make_yard(answer)
    client = yard.client()
    yard.ask(client, size=200_000, timeout_ms=500)
    yard.run(1)
    assert client.told(m.ErrorNotice)[0].code == "late_body" and not client.lost
    client.say(
        m.BodyChunk(id=1), bytes(100)
    )  # a chunk that was in flight when the request was refused is ignored
    yard.ask(client, 2)
    yard.run()
    assert client.told(m.RequestServed)[0].id == 2


def test_a_cancelled_request_gets_only_its_confirmation(make_yard):
    yard = make_yard(silent)
    client = yard.client()
    yard.ask(client, timeout_ms=900)
    yard.run(0.1)
    client.say(m.CancelRequest(id=1))
    yard.run()
    assert [type(each) for each, _ in client.got[1:]] == [m.RequestCancelled]
    assert yard.stories[0].outcome is RequestOutcome.CLIENT_CLOSED and not yard.gateway.in_flight


def test_requests_of_a_client_that_disconnects_are_cancelled(make_yard):
    yard = make_yard(silent)
    client = yard.client()
    for number in range(1, 6):
        yard.ask(client, number)
    yard.run(0.05)
    client.transport.abortConnection()
    yard.run()
    assert [story.outcome for story in yard.stories] == [
        RequestOutcome.CLIENT_CLOSED
    ] * 5 and not yard.gateway.in_flight


def test_a_blocked_event_loop_sends_no_response_after_the_clients_timeout(make_yard):
    # The client's timeout runs while the event loop is blocked: requests read afterwards count as sent before it.
    yard = make_yard(silent)
    client = yard.client()
    yard.run(0.1)
    now = round(yard.network.seconds() * SECOND)
    assert yard.gateway.event_loop_lag.timer_fired(now - 300 * MS, now)
    yard.ask(client, 1, product="bind", key=3, timeout_ms=600)
    yard.run(0.31)
    assert client.told(m.RequestFailed)[0].id == 1  # in time even if it was sent 300 ms before it was read
    yard.gateway.event_loop_lag.iteration_finished()
    yard.ask(client, 2, product="bind", key=4, timeout_ms=600)
    yard.run(0.31)
    assert len(client.told(m.RequestFailed)) == 1


def test_a_drain_answers_requests_in_flight_and_rejects_new_ones(make_yard):
    yard = make_yard(silent)
    client = yard.client()
    drained = []
    yard.gateway.on_drained.append(lambda: drained.append(yard.network.seconds()))
    yard.ask(client, 1, product="bind", key=2, timeout_ms=800)
    yard.run(0.1)
    yard.gateway.drain()
    yard.ask(client, 2)
    yard.run(0.1)
    assert client.told(m.RequestRejected)[0].id == 2 and not drained
    yard.run()
    assert client.told(m.RequestFailed)[0].id == 1 and drained


def test_connections_are_pooled_limited_and_closed_when_idle(make_yard):
    yard = make_yard(answer, Limits__IdleClose="500", Limits__Multiplex="2", Limits__Connections="2")
    client = yard.client()
    for number in range(1, 20):
        yard.ask(client, number)
    yard.run(0.4)
    assert len(client.told(m.RequestServed)) == 19 and len(yard.nodes[0].wires) <= 2
    yard.run(2)
    assert all(wire.lost for wire in yard.nodes[0].wires) and yard.nodes[0].wires[0].told(m.GoAway)


def test_a_refused_dial_and_a_missing_hello_prove_that_nothing_was_executed(make_yard, make_node):
    yard = make_yard(answer)
    yard.gateway.addresses[70] = ("127.0.0.1", 9)  # no listener
    client = yard.client()
    yard.ask(client, product="bind", key=1)
    yard.run()
    assert client.told(m.RequestRejected) and yard.stories[0].attempts[0].ending is Ending.UNREACHABLE
    node_without_hello = make_node(yard.network, silent, hello=False)
    yard.gateway.addresses[70] = ("127.0.0.1", node_without_hello.port)
    yard.run(5)
    yard.ask(client, 2, product="bind", key=1)
    yard.run()
    assert yard.stories[1].attempts[0].reason.startswith("the dial, the node's hello")
