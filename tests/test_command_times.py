"""The time that each message of a client has to become complete, and what is answered when it does not."""

import gc
import weakref

import pytest
from ochrecourse.resp import codec
from ochrecourse.standins.resp_node import success_reply
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


def replies_of(client):
    """The replies that a client received, one by one."""
    reader, replies = codec.ReplyParser(), []
    reader.feed(client.got)
    while (reply := reader.next()) is not None:
        replies.append(reply[0])
    return replies


def answer_hanging(shop):
    """Answers all commands that the node has left unanswered."""
    for peer in list(shop.node.peers):
        if peer.commands:
            peer.transport.write(success_reply(peer.commands[-1]))


LONG_DEADLINES = {"Classes.0.Deadline": "10000", "Classes.0.Aim": "9000"}


def test_a_command_that_is_late_behind_open_requests_and_what_follows_it_are_answered():
    """Guards against commands read whole and thrown away while the replies before a half command are awaited."""
    shop = Shop(reply=lambda words: None, **LONG_DEADLINES)
    client = shop.client()
    client.say(read(1, d=10_000) + read(2, d=10_000)[:-9])
    shop.run(2.5)  # more than the time of a command
    client.say(read(2, d=10_000)[-9:] + read(3, d=10_000) + PING)
    shop.run(0.2)
    assert client.got == b"" and len(shop.node.commands) >= 2
    shop.node.reply = success_reply
    answer_hanging(shop)
    shop.run(0.2)
    assert client.got == value(1) + value(2) + value(3) + b"+PONG\r\n" and not client.ended


def test_a_command_that_never_ends_behind_an_open_request_is_an_error_in_its_place():
    """Guards against an error that comes before, or not with, the reply to the request ahead of it."""
    shop = Shop(reply=lambda words: None, **LONG_DEADLINES)
    client = shop.client()
    client.say(read(1, d=10_000) + read(2, d=10_000)[:-9])
    shop.run(4.0)
    assert client.got == b"" and not client.ended
    answer_hanging(shop)
    shop.run(0.2)
    assert client.got.startswith(value(1) + b"-ERR half_command ") and client.ended


MISTAKES = {
    "unknown_command": codec.encode_command([b"FLUSHALL"]),
    "bad_arity": codec.encode_command([b"BLK.READ", b"0" * 16]),
    "bad_field": read(90).replace(b"d=900", b"d=xyz"),
    "unknown_product": read(90, product="nope"),
    "unknown_plan": read(90).replace(b"t=p0", b"t=q0"),
    "open_id": read(1),
}


@pytest.mark.parametrize("requests_ahead", [1, 40])
@pytest.mark.parametrize("later", [False, True])
@pytest.mark.parametrize("code", MISTAKES)
def test_whole_commands_behind_a_mistake_are_rejected_in_words(code, later, requests_ahead):
    """Guards against commands read whole behind a client's mistake and never answered."""
    shop = Shop(reply=lambda words: None, **LONG_DEADLINES)
    client = shop.client()
    ahead = b"".join(read(number, d=10_000) for number in range(1, requests_ahead + 1))
    behind = read(101) + PING + read(102)
    client.say(ahead + MISTAKES[code] + (b"" if later else behind))
    shop.run(0.2)
    if later:
        client.say(behind)
        shop.run(0.2)
    for _ in range(requests_ahead):
        answer_hanging(shop)
        shop.run(0.2)
    *served, error, first, pong, second = replies_of(client)
    assert len(served) == requests_ahead and all(isinstance(each, bytes) for each in served)
    assert error.text.startswith(b"ERR " + code.encode())
    assert (first, pong, second) == (codec.ErrorReply(b"BUSY"), codec.SimpleString(b"PONG"), first)
    assert client.ended and shop.service.server.counts == {code: 1}
    assert not {b"%016x" % number for number in (90, 101, 102)} & {words[2] for words in shop.node.commands}
    totals = shop.service.server.totals
    assert not totals.unanswered_commands and not totals.budget.used and not totals.open_request_ids


def test_a_flood_behind_a_mistake_does_not_keep_its_connection_open():
    """Guards against a connection whose end waits for a client that never stops sending."""
    shop = Shop()
    client = shop.client()
    client.say(MISTAKES["unknown_command"])
    for _ in range(100):
        if not client.ended:
            client.say(PING * 200)
        shop.run(0.01)
    assert client.got.startswith(b"-ERR unknown_command") and not shop.service.server.connections


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
