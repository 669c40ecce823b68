"""What clients send at once is handled in turns, and each iteration of the event loop handles a bounded part of it."""

import pytest
from test_client_close import make_shop, read_available
from test_service import PING, read, write

from ochrecourse.lab.virtual import VirtualNetwork
from ochrecourse.resp import input_turns
from ochrecourse.resp.client_connection import RespClientConnection

__all__ = ["make_shop"]


def test_one_iteration_handles_a_bounded_number_of_commands_however_many_clients_send(make_shop, monkeypatch):
    """Guards against a flood of many clients that blocks the event loop for longer than others may wait."""
    shop = make_shop(lambda arguments: None, sockets=512)
    handled = []
    handle = RespClientConnection._handle_command

    def counted(connection, arguments):
        handled.append(connection)
        handle(connection, arguments)

    monkeypatch.setattr(RespClientConnection, "_handle_command", counted)
    floods = [shop.client() for _ in range(60)]
    other, _ = shop.client()
    for number, (client, _) in enumerate(floods):
        client.sendall(b"".join(read(1000 * number + i, d=60_000) for i in range(1, 201)))
    most = input_turns.COMMANDS_PER_ITERATION + input_turns.COMMANDS_PER_READ * len(floods)
    shop.loop.iterate()  # reads all of them
    other.sendall(PING)
    for iteration in range(200):
        before, handled[:] = len(handled), []
        assert before <= most, f"{before} commands in one iteration"
        shop.loop.iterate()
        if iteration == 1:
            assert read_available(other) == b"+PONG\r\n", "another client waits for all that was sent before"
        if iteration == 20:
            assert min(len(each.pipeline.slots) for _, each in floods) > 16, "some have no turn"
    shop.loop.settle()
    assert all(len(each.pipeline.slots) == 200 for _, each in floods)


def test_a_mistake_in_one_connection_does_not_take_the_turns_of_the_others():
    """Guards against a timer that is not set again after an exception."""

    class Waiting:
        def __init__(self, mistake):
            self.mistake, self.limits = mistake, []

        def process_commands(self, limit):
            self.limits.append(limit)
            if self.mistake:
                raise RuntimeError("made on purpose")
            return len(self.limits) < 3

    network = VirtualNetwork(1)
    turns = input_turns.InputTurns(network)
    first, second = Waiting(True), Waiting(False)
    turns.add(first)
    turns.add(second)
    with pytest.raises(RuntimeError):
        network.advance(0)
    network.advance(0)
    assert first.limits == [input_turns.COMMANDS_PER_TURN] and len(second.limits) == 3


def test_a_connection_that_ended_has_no_turn(make_shop):
    shop = make_shop(lambda arguments: None)
    client, connection = shop.client()
    client.sendall(PING * 200)
    shop.loop.run_until(lambda: connection.reading_paused)
    connection.transport.abortConnection()
    shop.loop.settle()
    assert not connection.connected and not shop.server.input_turns._waiting and not connection.pipeline.slots


def test_large_commands_that_follow_each_other_take_a_turn_each(make_shop, monkeypatch):
    """Guards against a flood of large writes that leaves little time to others, and whose commands are few."""
    shop = make_shop(lambda arguments: None, sockets=512)
    floods = [shop.client() for _ in range(40)]
    for number, (client, _) in enumerate(floods):
        client.sendall(b"".join(write(100 * number + i, body=b"x" * 20_000, d=60_000) for i in range(1, 6)))
    shop.loop.run_until(lambda: all(each.pipeline.slots for _, each in floods))
    turns = input_turns.COMMANDS_PER_ITERATION // input_turns.COMMANDS_PER_TURN
    before = sum(len(each.pipeline.slots) for _, each in floods)
    for _ in range(400):
        shop.loop.iterate()
        handled = sum(len(each.pipeline.slots) for _, each in floods)
        assert handled - before <= 2 * turns < len(floods)
        before = handled
    assert before == 5 * len(floods)
