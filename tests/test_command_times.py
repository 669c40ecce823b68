"""The time that each message of a client has to become complete, and what is answered when it does not."""

import gc
import weakref

import pytest
from test_client_close import make_shop, read_available
from test_service import PING, Shop, read, value, write

__all__ = ["make_shop"]

PIECE_SECONDS = 0.06  # between the halves of a command, far below the time that a command has
ERROR_DUE_SECONDS = 3.0  # within which a client that stops in a command gets its error


def test_commands_that_follow_each_other_in_pieces_are_each_in_time():
    """Guards against a time-out that measures how long any command was partial instead of this one."""
    shop = Shop()
    client = shop.client()
    commands = [read(number) for number in range(1, 81)]  # 4.8 s, over twice the time of one command
    rest = b""
    for command in commands:
        half = len(command) // 2
        client.say(rest + command[:half])
        rest = command[half:]
        shop.run(PIECE_SECONDS)
    client.say(rest)
    shop.run(1.0)
    assert client.got == b"".join(value(number) for number in range(1, 81))
    assert not client.ended and not shop.service.server.counts


@pytest.mark.parametrize("silent_seconds", [0.0, 1.0, 2.1])
def test_the_first_command_has_its_own_time_too(silent_seconds):
    """Guards against a client that connects early and whose first command is measured from there."""
    shop = Shop()
    client = shop.client()
    shop.run(silent_seconds)
    client.say(read(1)[:-9])
    shop.run(0.5)
    client.say(read(1)[-9:])
    shop.run(0.5)
    assert client.got == value(1) and not client.ended


@pytest.mark.parametrize("whole_commands", [0, 1, 40])
def test_a_command_that_never_ends_is_an_error_in_time_whatever_came_whole_before(whole_commands):
    """Guards against a time-out that later commands, or those before, put off for good."""
    shop = Shop()
    client = shop.client()
    for _ in range(whole_commands):
        client.say(PING[:5])
        shop.run(PIECE_SECONDS)
        client.say(PING[5:])
    client.say(PING + read(1)[:-9])
    shop.run(ERROR_DUE_SECONDS)
    assert client.got.startswith(b"+PONG\r\n" * (whole_commands + 1) + b"-ERR half_command") and client.ended
    assert not shop.node.commands


@pytest.mark.parametrize("silent_seconds", [0.0, 1.0, 2.1])
def test_a_first_command_that_never_ends_is_an_error_soon_after_the_connection(silent_seconds):
    """Guards against a client that puts its error off by a first byte after a long silence."""
    shop = Shop()
    client = shop.client()
    shop.run(silent_seconds)
    client.say(read(1)[:-9])
    shop.run(ERROR_DUE_SECONDS - silent_seconds)
    assert client.got.startswith(b"-ERR half_command") and client.ended


@pytest.mark.parametrize("body_bytes", [10, 65_536])
@pytest.mark.parametrize("read_before", [0, 20])
def test_a_command_that_stands_unread_after_the_event_loop_was_blocked_is_in_time(
    make_shop, body_bytes, read_before
):
    """Guards against counting the time in which the gateway did not read as the client's."""
    shop = make_shop()
    client, connection = shop.client()
    command = write(1, body=b"x" * body_bytes, d=60_000)
    if read_before:
        shop.send(client, command[:read_before])
        shop.loop.settle()
    client.sendall(command[read_before:])
    shop.loop.now += ERROR_DUE_SECONDS  # as after a loop that was blocked: no timer was called, nothing read
    shop.loop.settle()
    shop.loop.run_until(lambda: shop.node.commands and not shop.open)
    shop.loop.settle()
    assert read_available(client) == value(1) and connection.connected and not shop.server.counts


def test_a_connection_that_has_ended_leaves_no_reference_cycle(make_shop):
    """Guards against connections that stay in memory until a garbage collection."""
    shop = make_shop()
    client, connection = shop.client()
    client.sendall(PING + read(1)[:-9])
    shop.loop.settle()
    connection = weakref.ref(connection)
    gc.collect()
    gc.disable()
    try:
        client.close()
        shop.loop.run_until(lambda: not shop.server.connections)
        shop.loop.settle()
        assert connection() is None
    finally:
        gc.enable()
