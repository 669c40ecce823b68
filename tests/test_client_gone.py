"""No attempt begins for a client that has gone, whatever of its input has not been read; on real sockets."""

import socket
import struct

import pytest
from test_client_close import (
    close_client,
    make_shop,
    read_available,
    wait_for_close,
    wait_for_event,
)
from test_service import PING, read, value

from ochrecourse.common.client_input import ClientInput, client_input
from ochrecourse.nodes.dispatcher import MAX_INPUT_WAIT, Dispatcher
from ochrecourse.common.time_units import SECOND
from ochrecourse.resp.input_gate import MAX_INPUT_WAIT_SECONDS, InputGate
from ochrecourse.resp.recent_ids import KEPT_SECONDS
from ochrecourse.standins.resp_node import success_reply

__all__ = ["make_shop"]

POLL_IN = 1


def leave(client, how):
    if how == "reset":
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    close_client(client, how)


@pytest.mark.parametrize("how", ["close", "half", "reset"])
@pytest.mark.parametrize("count", [100, 257, 400, 500])
def test_no_attempt_begins_for_a_client_whose_close_is_behind_much_input(make_shop, how, count):
    """Guards against work for nobody: a connection is not read for some iterations, and attempts began meanwhile."""
    shop = make_shop(lambda arguments: None)
    client, connection = shop.client()
    client.sendall(b"".join(read(i, d=60_000) for i in range(1, count + 1)))
    leave(client, how)
    wait_for_close(connection)
    shop.loop.run_until(lambda: not connection.connected)
    shop.loop.settle()
    assert not shop.node.commands and not shop.open and not shop.service.gateway.in_flight


@pytest.mark.parametrize("how", ["close", "half"])
def test_no_attempt_is_written_for_a_client_that_closed_while_its_connection_is_not_read(make_shop, how):
    """Guards against attempts that another answer lets begin, and against those that are sent once more."""
    shop = make_shop(lambda arguments: None)
    client, connection = shop.client()
    shop.send(client, b"".join(read(i, d=60_000) for i in range(1, 41)))
    shop.loop.settle()
    sent = len(shop.node.commands)
    assert 0 < sent < shop.open == 32
    connection.transport.pauseProducing()
    close_client(client, how)
    wait_for_close(connection)
    for peer in list(shop.node.peers)[:2]:
        peer.transport.write(success_reply(peer.commands[-1]))
    for peer in list(shop.node.peers)[2:]:
        peer.transport.abortConnection()  # reads may be sent once more
    for _ in range(40):
        shop.loop.now += 0.02
        shop.loop.settle()
    assert len(shop.node.commands) == sent and connection.connected
    connection.transport.resumeProducing()
    shop.loop.run_until(lambda: not connection.connected)
    assert not shop.open and not shop.service.gateway.in_flight and not shop.server.totals.open_request_ids


def hold_opened_connections(shop, client, monkeypatch):
    """Sends a request whose connection to the node opens; returns a function that reports this to the dispatcher."""
    opened = []
    connection_opened = Dispatcher.connection_opened
    monkeypatch.setattr(Dispatcher, "connection_opened", lambda *arguments: opened.append(arguments))
    shop.send(client, read(1, d=60_000))
    shop.loop.run_until(lambda: opened)

    def report():
        monkeypatch.undo()
        for arguments in opened:
            connection_opened(*arguments)

    return report


@pytest.mark.parametrize("how", ["close", "half"])
def test_an_attempt_whose_connection_opens_after_its_client_closed_is_not_written(
    make_shop, monkeypatch, how
):
    """Guards against attempts for nobody that waited for a connection to their node."""
    shop = make_shop(lambda arguments: None)
    client, connection = shop.client()
    report_opened = hold_opened_connections(shop, client, monkeypatch)
    connection.transport.pauseProducing()
    close_client(client, how)
    wait_for_close(connection)
    report_opened()
    shop.loop.settle()
    assert not shop.node.commands and not shop.open and not shop.service.gateway.in_flight


def send_while_not_read(shop, client, connection, data):
    """Sends something that the gateway does not read, behind which a close could stand."""
    connection.transport.pauseProducing()
    client.sendall(data)
    wait_for_event(connection.transport.fileno(), POLL_IN)
    assert connection.client_input() is ClientInput.UNREAD


def test_an_attempt_waits_until_the_input_of_its_client_is_read(make_shop, monkeypatch):
    """Guards against a close that the client's system can't send, as the gateway does not read what is before it."""
    shop = make_shop()
    client, connection = shop.client()
    report_opened = hold_opened_connections(shop, client, monkeypatch)
    send_while_not_read(shop, client, connection, PING)
    report_opened()
    shop.loop.settle()
    assert not shop.node.commands and shop.open == 1
    connection.transport.resumeProducing()
    shop.loop.run_until(lambda: not shop.open)
    shop.loop.settle()
    assert read_available(client) == value(1) + b"+PONG\r\n"


def test_an_attempt_does_not_occupy_its_node_while_the_input_of_its_client_is_never_read(make_shop):
    """Guards against a client that sends without end and so keeps others from a node."""
    shop = make_shop()
    client, connection = shop.client()
    other, _ = shop.client()
    shop.serve(other, 1)
    shop.loop.settle()
    read_available(other)
    shop.loop.now += 1
    shop.node.reply = lambda arguments: None
    shop.send(client, b"".join(read(i, d=60_000) for i in range(10, 50)))
    shop.loop.settle()
    sent = len(shop.node.commands)
    send_while_not_read(shop, client, connection, PING)
    for peer in list(shop.node.peers):
        peer.transport.abortConnection()
    aborted_at = shop.loop.now
    while shop.service.gateway.in_flight:
        shop.loop.now += MAX_INPUT_WAIT / SECOND / 4
        shop.loop.settle()
        assert shop.loop.now < aborted_at + 5, "an attempt waits for its client's deadline"
    assert len(shop.node.commands) == sent
    shop.node.reply = success_reply
    shop.serve(other, 2)
    shop.loop.settle()
    assert read_available(other) == value(2)


def test_an_attempt_that_waits_for_input_survives_the_end_of_its_connection_to_the_node(make_shop):
    """Guards against a write to a connection that ended while the attempt waited."""
    shop = make_shop()
    client, connection = shop.client()
    shop.serve(client, 1)
    shop.loop.settle()
    read_available(client)
    shop.loop.now += 1
    shop.loop.settle()  # the connection to the node may be used again
    states = [ClientInput.UNREAD, ClientInput.READ]  # when the attempt is to be written, when it is submitted
    connection.client_input = lambda: states.pop() if len(states) > 1 else states[0]
    shop.send(client, read(2, d=60_000))
    shop.loop.settle()
    assert shop.open == 1 and len(shop.node.commands) == 1
    for peer in list(shop.node.peers):
        peer.transport.abortConnection()
    shop.loop.run_until(lambda: not shop.service.gateway.nodes.connections)
    states[0] = ClientInput.READ
    for _ in range(100):
        shop.loop.now += 0.01
        shop.loop.settle()
    assert read_available(client) == value(2) and not shop.open


def test_a_client_that_sends_without_end_is_refused_in_time(make_shop):
    """Guards against requests without an answer whose client never pauses."""
    shop = make_shop()
    client, connection = shop.client()
    connection.client_input = lambda: ClientInput.UNREAD
    shop.send(client, b"".join(read(i) for i in range(1, 11)))
    shop.loop.settle()
    assert not read_available(client) and not shop.open
    shop.loop.now += MAX_INPUT_WAIT_SECONDS + 0.01
    shop.loop.settle()
    assert read_available(client) == b"-BUSY\r\n" * 10 and not connection.pipeline.slots


def test_a_wait_for_input_ends_when_all_was_read_in_between():
    class Clock:
        now = 5.0

        def seconds(self):
            return self.now

    clock = Clock()
    gate = InputGate(clock)
    for _ in range(3):
        assert not gate.is_open(ClientInput.UNREAD) and not gate.waited_too_long()
        clock.now += MAX_INPUT_WAIT_SECONDS * 0.9
        assert not gate.is_open(ClientInput.CLOSED) and not gate.waited_too_long()
        assert gate.is_open(ClientInput.READ)
        clock.now += MAX_INPUT_WAIT_SECONDS
    assert not gate.is_open(ClientInput.UNREAD) and not gate.waited_too_long()
    clock.now += MAX_INPUT_WAIT_SECONDS * 1.1
    assert not gate.is_open(ClientInput.UNREAD) and gate.waited_too_long() and not gate.waited_too_long()


def test_what_the_system_knows_of_a_connection(make_shop):
    shop = make_shop()
    client, connection = shop.client()
    assert client_input(connection.transport) is client_input(object()) is ClientInput.READ
    client.sendall(PING)
    wait_for_event(connection.transport.fileno(), POLL_IN)
    assert client_input(connection.transport) is ClientInput.UNREAD
    client.close()
    wait_for_close(connection)
    assert client_input(connection.transport) is ClientInput.CLOSED


@pytest.mark.parametrize("answered", [False, True])
def test_an_id_that_comes_again_after_its_client_left_does_not_run_again(make_shop, answered):
    """Guards against a second run of a request whose first copy may have run for a client that left."""
    shop = make_shop(success_reply if answered else lambda arguments: None)
    client, _ = shop.client()
    shop.send(client, read(1, d=60_000))
    shop.loop.run_until(lambda: shop.node.commands)
    shop.loop.settle()
    client.close()
    shop.loop.run_until(lambda: not shop.server.connections)
    shop.node.reply = success_reply
    other, _ = shop.client()
    shop.send(other, read(1, d=60_000) + read(2, d=60_000))
    shop.loop.run_until(lambda: len(shop.node.commands) == 2)
    shop.loop.settle()
    assert read_available(other) == b"-ERR failed\r\n" + value(2)
    shop.loop.now += KEPT_SECONDS
    shop.send(other, read(1, d=60_000))
    shop.loop.run_until(lambda: len(shop.node.commands) == 3)


def test_an_attempt_waits_for_input_no_longer_than_a_close_may_take_to_be_noticed(make_shop):
    """Guards against attempts that hold a place at their node until the deadline of a client that never pauses."""
    shop = make_shop()
    client, connection = shop.client()
    shop.serve(client, 1)
    shop.loop.now += 1
    shop.loop.settle()  # the connection to the node may be used again
    states = [ClientInput.UNREAD, ClientInput.READ]  # when the attempt is to be written, when it is submitted
    connection.client_input = lambda: states.pop() if len(states) > 1 else states[0]
    shop.send(client, read(2, d=60_000))
    shop.loop.settle()
    nodes = shop.service.gateway.nodes
    shop.loop.now += MAX_INPUT_WAIT / SECOND * 0.9
    shop.loop.settle()
    assert len(nodes.in_flight) == 1 and len(shop.node.commands) == 1
    shop.loop.now += MAX_INPUT_WAIT / SECOND * 0.2
    shop.loop.settle()
    assert not nodes.in_flight and len(shop.node.commands) == 1
