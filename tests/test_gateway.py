"""The gateway between scripted clients and scripted nodes: what goes wrong on one connection stays there."""

import pytest

from ochrecourse.common.request_records import RequestOutcome
from ochrecourse.interface import Ending
from ochrecourse.common.time_units import MS, SECOND
from ochrecourse.wire import messages as m


def answer(wire, message, body):
    """A node that does what it is asked."""
    if isinstance(message, m.SendAttempt) and message.body == message.size:
        wire.send(m.AttemptServed(id=message.id, size=4, shard=0), b"data")
    elif isinstance(message, m.CancelAttempt):
        wire.send(m.AttemptCancelled(id=message.id))


def silent(wire, message, body):
    """A node that takes legs and says nothing."""


def test_a_job_goes_through_and_is_answered_once(make_gateway_harness):
    yard = make_gateway_harness(answer)
    client = yard.client()
    yard.submit(client)
    yard.run()
    assert [type(each).__name__ for each, _ in client.received] == ["Hello", "RequestServed", "BodyChunk"]
    assert client.received[2][1] == b"data" and yard.records[0].outcome is RequestOutcome.SERVED


def test_a_silent_node_gets_an_answer_before_the_clients_timeout(make_gateway_harness):
    # A leg's time-out at the client timeout left no time for the answer itself.
    yard = make_gateway_harness(silent)
    client = yard.client()
    yard.submit(client, request_class="bind", key=5, timeout_ms=700)
    yard.run(0.701)
    assert [type(each) for each, _ in client.received[1:]] == [m.RequestFailed]
    assert yard.records[0].attempts[0].ending is Ending.TIMEOUT and yard.nodes[0].connections[0].messages_of(
        m.CancelAttempt
    )


def test_a_second_answer_breaks_the_nodes_connection_and_reaches_no_client(make_gateway_harness):
    def twice(wire, message, body):
        if isinstance(message, m.SendAttempt):
            for _ in range(2):
                wire.send(m.AttemptServed(id=message.id, size=2, shard=0), b"ok")

    yard = make_gateway_harness(twice)
    client = yard.client()
    yard.submit(client)
    yard.run()
    assert (
        len(client.messages_of(m.RequestServed)) == 1
        and yard.nodes[0].connections[0].messages_of(m.ErrorNotice)[0].code == "over"
    )
    assert yard.gateway.nodes.counts["nodes that broke the protocol"] == 1


@pytest.mark.parametrize(
    ("raw", "code"),
    [
        (m.encode(m.AttemptServed(id=99, size=0)), "never_opened"),
        (b"{not json}\r\n", "bad_message"),
        (b"x" * 5000, "header_limit"),
        (m.encode(m.BodyChunk(id=1), b"zz"), "illegal"),
        (b'{"m":"done","id":1,"size":9,"body":70000}\r\n', "bad_message"),
        (b'{"m":"done","id":1,"size":90000,"body":70000}\r\n', "body_limit"),
    ],
)
def test_a_node_that_breaks_the_protocol_loses_its_legs_only(make_gateway_harness, raw, code):
    def garble(wire, message, body):
        if isinstance(message, m.SendAttempt):
            wire.transport.write(raw)

    yard = make_gateway_harness(garble, answer)
    client = yard.client()
    yard.submit(client, 1, request_class="bind", key=3)
    yard.submit(client, 2, shard=1)
    yard.run()
    told = {
        each.id: type(each)
        for each, _ in client.received
        if isinstance(each, m.RequestFailed | m.RequestServed)
    }
    assert told == {1: m.RequestFailed, 2: m.RequestServed}
    assert yard.nodes[0].connections[0].messages_of(m.ErrorNotice)[0].code == code
    first = next(story for story in yard.records if story.request_class == 2)
    assert first.attempts[0].ending is Ending.RESET


def test_answers_one_byte_at_a_time_are_whole(make_gateway_harness):
    def drip(wire, message, body):
        if isinstance(message, m.SendAttempt):
            data = m.encode(m.AttemptServed(id=message.id, size=6), b"abcdef")
            for i in range(len(data)):
                wire.network.callLater(i * 0.001, wire.transport.write, data[i : i + 1])

    yard = make_gateway_harness(drip)
    client = yard.client()
    yard.submit(client)
    yard.run()
    assert client.messages_of(m.RequestServed) and client.received[-1][1] == b"abcdef"


def test_a_late_answer_is_dropped_and_counted(make_gateway_harness):
    def late(wire, message, body):
        if isinstance(message, m.CancelAttempt):
            wire.send(m.AttemptServed(id=message.id, size=0))

    yard = make_gateway_harness(late)
    client = yard.client()
    yard.submit(client, request_class="bind", key=9, timeout_ms=600)
    yard.run()
    assert [type(each) for each, _ in client.received[1:]] == [m.RequestFailed]
    assert yard.gateway.nodes.counts["late answers dropped"] == 1 and not yard.nodes[0].connections[0].lost


def test_a_cancel_that_nobody_confirms_costs_the_connection(make_gateway_harness):
    yard = make_gateway_harness(silent)
    client = yard.client()
    yard.submit(client, request_class="bind", key=9, timeout_ms=600)
    yard.run(5)
    assert yard.nodes[0].connections[0].lost and not yard.gateway.in_flight


def test_a_node_that_stops_reading_stalls_only_its_own_leg(make_gateway_harness):
    def stop_reading(wire, message, body):
        if isinstance(message, m.SendAttempt):
            wire.transport.pauseProducing()

    yard = make_gateway_harness(stop_reading, answer)
    client = yard.client()
    size = 4 << 20
    client.send(
        m.SubmitRequest(
            id=1, request_class="bind", tenant="p0", volume=1, key=4, timeout_ms=900, shard=0, size=size
        )
    )
    for _ in range(size // m.MAX_BODY_BYTES):
        client.send(m.BodyChunk(id=1), bytes(m.MAX_BODY_BYTES))
    yard.submit(client, 2, shard=1)
    yard.run(0.3)
    assert client.messages_of(m.RequestServed)[0].id == 2
    connection = next(iter(yard.gateway.nodes.connections.values()))
    assert (
        connection.transport.on_way_size < 4 * m.MAX_BODY_BYTES
    )  # the body waits in the spool, not in memory
    yard.run()
    # Nothing can have run, for the node never had the whole leg: it is denied, not written off.
    assert (
        client.messages_of(m.RequestRejected)[0].id == 1
        and yard.records[-1].attempts[0].ending is Ending.UNREACHABLE
    )


def test_a_long_answer_keeps_to_its_window_while_the_client_does_not_read(make_gateway_harness):
    sent, credit = [], []

    def stream(wire, message, body):
        if isinstance(message, m.SendAttempt):
            wire.send(m.AttemptServed(id=message.id, size=8 << 20))
            credit.append(m.WINDOW_BYTES)
        if isinstance(message, m.WindowUpdate):
            credit.append(message.increment_bytes)
        while sum(credit) > sum(sent) and sum(sent) < 8 << 20:
            wire.send(m.BodyChunk(id=1), bytes(m.MAX_BODY_BYTES))
            sent.append(m.MAX_BODY_BYTES)

    yard = make_gateway_harness(stream)
    client = yard.client()
    yard.submit(client, timeout_ms=1000)
    client.transport.pauseProducing()
    yard.run(0.4)
    assert m.WINDOW_BYTES <= sum(sent) <= m.WINDOW_BYTES + 3 * m.MAX_BODY_BYTES
    client.transport.resumeProducing()
    yard.run()
    assert sum(len(body) for _, body in client.received) == 8 << 20
    assert yard.records[0].outcome is RequestOutcome.SERVED


def test_an_answer_that_breaks_off_is_told_as_written_off(make_gateway_harness):
    def half(wire, message, body):
        if isinstance(message, m.SendAttempt):
            wire.send(m.AttemptServed(id=message.id, size=10), b"12345")
            wire.transport.loseConnection()

    yard = make_gateway_harness(half)
    client = yard.client()
    yard.submit(client)
    yard.run()
    assert [type(each).__name__ for each, _ in client.received[1:]] == [
        "RequestServed",
        "BodyChunk",
        "RequestFailed",
    ]
    assert (
        yard.records[0].outcome is RequestOutcome.FAILED
        and yard.records[0].attempts[0].ending is Ending.RESET
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
def test_what_a_client_does_wrong_is_told_there_and_costs_nobody_else(make_gateway_harness, send, code, ends):
    yard = make_gateway_harness(answer)
    wrong, right = yard.client(), yard.client()
    yard.run(0.01)
    send(yard, wrong)
    yard.submit(right, 1)
    yard.run()
    assert wrong.messages_of(m.ErrorNotice)[-1].code == code and wrong.lost is ends
    assert right.messages_of(m.RequestServed) and not right.lost
    assert any(code in name for name in yard.client_factory.counts)


def test_a_client_that_sends_a_byte_a_second_is_cut_off(make_gateway_harness):
    yard = make_gateway_harness(answer)
    slow = yard.client()
    data = m.encode(m.SubmitRequest(id=1, request_class="read", tenant="p0", volume=1, timeout_ms=99_000))
    for i in range(30):
        yard.network.callLater(i, slow.transport.write, data[i : i + 1])
    yard.run(20)
    assert (
        slow.messages_of(m.ErrorNotice)[0].code == "slow"
        and slow.lost
        and not yard.client_factory.connections
    )


def test_a_client_that_never_says_hello_is_cut_off_and_one_too_many_is_told(
    make_gateway_harness, make_raw_connection
):
    yard = make_gateway_harness(answer)
    wires = [yard.client() for _ in range(9)]
    yard.run(1)
    assert wires[8].messages_of(m.ErrorNotice)[0].code == "too_many_connections" and wires[8].lost
    mute = make_gateway_harness(answer)
    wire = make_raw_connection(mute.network).connect(mute.port)
    mute.run(8)
    assert wire.messages_of(m.ErrorNotice)[0].code == "no_hello" and wire.lost


def test_a_body_shorter_than_said_is_refused_when_the_client_gives_up(make_gateway_harness):
    yard = make_gateway_harness(answer)
    client = yard.client()
    yard.submit(client, size=200_000, timeout_ms=500)
    yard.run(1)
    assert client.messages_of(m.ErrorNotice)[0].code == "late_body" and not client.lost
    client.send(m.BodyChunk(id=1), bytes(100))  # the rest, on its way when it was refused, does no harm
    yard.submit(client, 2)
    yard.run()
    assert client.messages_of(m.RequestServed)[0].id == 2


def test_a_client_that_leaves_hears_no_more_of_its_job(make_gateway_harness):
    yard = make_gateway_harness(silent)
    client = yard.client()
    yard.submit(client, timeout_ms=900)
    yard.run(0.1)
    client.send(m.CancelRequest(id=1))
    yard.run()
    assert [type(each) for each, _ in client.received[1:]] == [m.RequestCancelled]
    assert yard.records[0].outcome is RequestOutcome.CLIENT_CLOSED and not yard.gateway.in_flight


def test_clients_that_vanish_leave_their_jobs(make_gateway_harness):
    yard = make_gateway_harness(silent)
    client = yard.client()
    for number in range(1, 6):
        yard.submit(client, number)
    yard.run(0.05)
    client.transport.abortConnection()
    yard.run()
    assert [story.outcome for story in yard.records] == [
        RequestOutcome.CLIENT_CLOSED
    ] * 5 and not yard.gateway.in_flight


def test_a_loop_that_stood_still_gives_no_answer_after_the_clients_timeout(make_gateway_harness):
    # The client's time runs while the loop does not: jobs read after a stall are taken to have waited for all of it.
    yard = make_gateway_harness(silent)
    client = yard.client()
    yard.run(0.1)
    now = round(yard.network.seconds() * SECOND)
    assert yard.gateway.event_loop_lag.timer_fired(now - 300 * MS, now)
    yard.submit(client, 1, request_class="bind", key=3, timeout_ms=600)
    yard.run(0.31)
    assert (
        client.messages_of(m.RequestFailed)[0].id == 1
    )  # in time even if it was sent 300 ms before it was read
    yard.gateway.event_loop_lag.iteration_finished()
    yard.submit(client, 2, request_class="bind", key=4, timeout_ms=600)
    yard.run(0.31)
    assert len(client.messages_of(m.RequestFailed)) == 1


def test_drain_answers_what_is_held_and_denies_what_comes(make_gateway_harness):
    yard = make_gateway_harness(silent)
    client = yard.client()
    left = []
    yard.gateway.on_drained.append(lambda: left.append(yard.network.seconds()))
    yard.submit(client, 1, request_class="bind", key=2, timeout_ms=800)
    yard.run(0.1)
    yard.gateway.drain()
    yard.submit(client, 2)
    yard.run(0.1)
    assert client.messages_of(m.RequestRejected)[0].id == 2 and not left
    yard.run()
    assert client.messages_of(m.RequestFailed)[0].id == 1 and left


def test_connections_are_pooled_capped_and_closed_when_idle(make_gateway_harness):
    yard = make_gateway_harness(
        answer, Limits__IdleClose="500", Limits__Multiplex="2", Limits__Connections="2"
    )
    client = yard.client()
    for number in range(1, 20):
        yard.submit(client, number)
    yard.run(0.4)
    assert len(client.messages_of(m.RequestServed)) == 19 and len(yard.nodes[0].connections) <= 2
    yard.run(2)
    assert all(wire.lost for wire in yard.nodes[0].connections) and yard.nodes[0].connections[0].messages_of(
        m.GoAway
    )


def test_a_refused_dial_and_a_node_without_hello_prove_that_nothing_ran(
    make_gateway_harness, make_scripted_node
):
    yard = make_gateway_harness(answer)
    yard.gateway.addresses[70] = ("127.0.0.1", 9)  # nobody listens there
    client = yard.client()
    yard.submit(client, request_class="bind", key=1)
    yard.run()
    assert client.messages_of(m.RequestRejected) and yard.records[0].attempts[0].ending is Ending.UNREACHABLE
    mute = make_scripted_node(yard.network, silent, hello=False)
    yard.gateway.addresses[70] = ("127.0.0.1", mute.port)
    yard.run(5)
    yard.submit(client, 2, request_class="bind", key=1)
    yard.run()
    assert yard.records[1].attempts[0].reason.startswith("the dial, the node's hello")
