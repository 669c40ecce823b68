"""The memory that clients' connections use together, in one process on real sockets; test_floods.py measures that of a
gateway process from outside."""

import pytest
from test_client_close import BODY, MAX_ITERATIONS, make_shop, read_available
from test_service import PING, Shop, read, write

from ochrecourse.resp import codec
from ochrecourse.resp.body_memory import BodyMemory
from ochrecourse.resp.memory_budget import (
    CONNECTION_BYTES,
    MAX_BUDGET_BYTES,
    MIN_BUDGET_BYTES,
    PROCESS_BYTES,
    MemoryAccount,
    MemoryBudget,
    budget_bytes,
)
from ochrecourse.standins.resp_node import success_reply

__all__ = ["make_shop"]

BUDGET = 1_000_000


def large_reply(arguments):
    return b"*1\r\n" + codec.encode_bulk_string(b"v" * 60_000)


def replies_of(client):
    parser, replies = codec.ReplyParser(), []
    parser.feed(read_available(client))
    while (one := parser.next()) is not None:
        replies.append(one[0])
    return replies


def let_requests_end(shop):
    for _ in range(MAX_ITERATIONS):
        if not shop.open:
            return
        shop.loop.now += 0.1
        shop.loop.settle()
    raise AssertionError("requests are still open")


def test_the_budget_follows_from_the_memory_of_the_process():
    assert budget_bytes(0, 590) == MAX_BUDGET_BYTES == Shop().service.server.totals.budget.limit
    assert budget_bytes(32, 590) == MIN_BUDGET_BYTES < budget_bytes(64, 590) < budget_bytes(64, 100)
    for memory_mb in (64, 80, 96, 192):
        used = PROCESS_BYTES + 590 * CONNECTION_BYTES + budget_bytes(memory_mb, 590)
        assert used <= memory_mb * 1_000_000


def test_connections_with_something_open_share_what_is_left_and_others_have_the_rest():
    budget = MemoryBudget(BUDGET)
    greedy = [MemoryAccount(budget) for _ in range(20)]
    for _ in range(100):
        for account in greedy:
            if account.has_room(1_000, nothing_open=False):
                account.add(1_000)
    assert BUDGET * 0.45 <= budget.used <= BUDGET * 0.5
    assert max(each.used for each in greedy) - min(each.used for each in greedy) <= 1_000
    new = MemoryAccount(budget)
    assert not new.has_room(BUDGET // 4, nothing_open=False) and new.has_room(BUDGET // 4, nothing_open=True)


@pytest.mark.parametrize("count", [1, 4, 12])
def test_running_writes_of_all_connections_are_bounded_and_cost_no_other_client_its_request(make_shop, count):
    """Guards against a process that is killed for its memory: bodies of running requests were not bounded."""
    shop = make_shop(lambda arguments: None)
    budget = shop.server.totals.budget
    budget.limit = BUDGET
    clients = [shop.client() for _ in range(count)]
    for number, (client, connection) in enumerate(clients):
        shop.send(client, b"".join(write(100 * number + i, body=BODY, d=60_000) for i in range(1, 61)) + PING)
        shop.loop.run_until(lambda each=connection: len(each.pipeline.slots) == 61 and each.in_flight)
        assert budget.used <= BUDGET
    shop.node.reply = success_reply
    other, connection = shop.client()
    shop.send(other, read(9_999, d=60_000))
    shop.loop.settle()
    assert connection.in_flight and not read_available(other)
    for peer in list(shop.node.peers):
        peer.transport.abortConnection()
    let_requests_end(shop)
    for client, _ in clients:
        replies = replies_of(client)
        assert len(replies) == 61 and replies[-1] == codec.SimpleString(b"PONG")
    assert budget.used == 0


def test_the_expected_size_of_replies_counts_before_they_come(make_shop):
    """Guards against reads whose values together use more than the process may."""
    shop = make_shop(large_reply)
    client, connection = shop.client()
    shop.serve(client, 1)
    read_available(client)
    budget = shop.server.totals.budget
    assert budget.expected_reply_size("read", 2) >= 60_000 and not budget.expected_reply_size("mark", 2)
    budget.limit = 1_500_000
    shop.node.reply = lambda arguments: None
    shop.send(client, b"".join(read(number, d=60_000) for number in range(1_000, 1_040)))
    shop.loop.settle()
    assert 2 <= len(connection.in_flight) <= 12 and len(connection.pipeline.slots) == 40


def test_the_expected_size_follows_values_that_become_smaller():
    budget = MemoryBudget()
    budget.value_received("read", 2, 60_000)
    for _ in range(300):
        budget.value_received("read", 2, 100)
    assert 100 <= budget.expected_reply_size("read", 2) < 1_000


def test_values_that_must_wait_without_memory_fail_and_use_none(make_shop):
    """Guards against values that wait behind others when their size was not known before."""
    shop = make_shop(lambda arguments: None)
    client, connection = shop.client()
    shop.server.totals.budget.limit = 300_000
    shop.send(client, b"".join(read(number, d=60_000) for number in range(1, 21)))
    shop.loop.settle()
    first, *later = list(connection.in_flight)
    for request_id in later:
        connection.body_chunk(request_id, b"v" * 60_000)
    waiting = [slot.reply for slot in connection.pipeline.slots if slot.reply is not None]
    assert len(waiting) == len(later) and 1 <= sum(len(reply) > 60_000 for reply in waiting) <= 4
    assert {reply for reply in waiting if len(reply) < 60_000} == {b"-ERR failed\r\n"}
    connection.body_chunk(first, b"v" * 60_000)
    shop.loop.settle()
    values = [reply for reply in replies_of(client) if isinstance(reply, bytes)]
    assert len(values) == sum(len(reply) > 60_000 for reply in waiting) + 1


# --- large bodies that are being received ---


class Receiver:
    """A connection that receives a body."""

    def __init__(self, bodies, budget):
        self.bodies, self.account, self.discarded = bodies, MemoryAccount(budget), 0

    def reserve(self, size, nothing_open=True):
        return self.bodies.reserve(self, self.account, size, nothing_open)

    def discard_body(self):
        self.discarded += 1


@pytest.fixture
def receivers():
    budget = MemoryBudget(BUDGET)
    bodies = BodyMemory(budget)
    return [Receiver(bodies, budget) for _ in range(30)]


def test_a_body_makes_room_in_place_of_those_in_which_nothing_came_for_longest(receivers):
    """Guards against clients that stop in the middle of a request and cost others theirs."""
    bodies, budget = receivers[0].bodies, receivers[0].account.budget
    count = sum(each.reserve(50_000) for each in receivers[:15])
    assert budget.used <= budget.limit
    bodies.body_progressed(receivers[0])
    late = receivers[20]
    assert late.reserve(100_000) and budget.used <= budget.limit
    dropped = [number for number, each in enumerate(receivers) if each.discarded]
    assert count == 15 and dropped and 0 not in dropped and dropped == list(range(1, 1 + len(dropped)))
    assert all(each.discarded <= 1 for each in receivers)
    for each in receivers:
        bodies.release(each)
        bodies.release(each)
    assert budget.used == 0 and not any(each.account.used for each in receivers)


def test_no_body_is_discarded_for_a_client_with_something_open_or_without_effect(receivers):
    """Guards against a client that sends much at once and takes the memory of others."""
    first, second, third = receivers[:3]
    assert first.reserve(300_000)
    assert not second.reserve(300_000, nothing_open=False) and not first.discarded
    third.account.add(BUDGET // 2)  # requests, which can't be discarded
    assert not second.reserve(500_000) and not first.discarded


@pytest.mark.parametrize("missing", [1, 100, 20_000])
def test_half_writes_of_many_clients_are_bounded_and_cost_usual_ones_nothing(make_shop, missing):
    """Guards against a process that is killed as hundreds of clients stop in the middle of a request."""
    shop = make_shop()
    budget = shop.server.totals.budget
    budget.limit = BUDGET
    clients = [shop.client() for _ in range(60)]
    commands = [write(number, body=BODY, d=60_000) for number in range(1, 61)]
    for (client, _), command in zip(clients, commands, strict=True):
        shop.send(client, command[:-missing])
        shop.loop.settle()
        assert budget.used <= BUDGET
    buffered = sum(len(connection.parser._buffer) for _, connection in clients)
    assert buffered <= BUDGET
    other, _ = shop.client()
    shop.send(other, write(99, body=BODY, d=60_000))
    shop.loop.run_until(lambda: shop.node.commands)
    shop.loop.settle()
    assert read_available(other).startswith(b"$")
    for (client, connection), command in zip(clients, commands, strict=True):
        shop.send(client, command[-missing:])
        shop.loop.run_until(
            lambda each=connection: not each.pipeline.slots and not each.parser.has_partial_message()
        )
        shop.loop.settle()
        shop.loop.now += 0.02
    answers = [read_available(client) for client, _ in clients]
    assert all(answer == b"-BUSY\r\n" or answer.startswith(b"$") for answer in answers)
    assert answers[0] == b"-BUSY\r\n" and answers[-1].startswith(b"$")
    assert budget.used == 0


def test_a_command_whose_body_was_discarded_is_refused_and_the_next_one_is_served(make_shop):
    """Guards against a connection that loses its place in the input behind a discarded body."""
    shop = make_shop()
    client, connection = shop.client()
    budget = shop.server.totals.budget
    limit, budget.limit = budget.limit, 20_000
    shop.send(client, write(1, body=BODY, d=60_000)[:-1])
    shop.loop.settle()
    assert connection.parser.has_partial_message() and len(connection.parser._buffer) < 10
    budget.limit = limit
    shop.send(client, write(1, body=BODY, d=60_000)[-1:] + read(2, d=60_000))
    shop.loop.run_until(lambda: shop.node.commands)
    shop.loop.settle()
    assert read_available(client).startswith(b"-BUSY\r\n$") and len(shop.node.commands) == 1
    assert budget.used == 0 and shop.server.counts["requests_without_memory"] == 1


def test_a_discarded_body_of_an_unsound_command_is_still_a_mistake(make_shop):
    shop = make_shop()
    client, _ = shop.client()
    shop.server.totals.budget.limit = 20_000
    shop.send(client, write(1, body=BODY).replace(b"c=mark", b"c=read"))
    shop.loop.settle()
    assert read_available(client).startswith(b"-ERR bad_field") and not shop.node.commands


def test_the_memory_of_a_body_is_free_when_its_client_leaves_or_is_late(make_shop):
    """Guards against reservations that stay."""
    shop = make_shop()
    budget = shop.server.totals.budget
    for leaves in (True, False):
        client, connection = shop.client()
        shop.send(client, write(1, body=BODY)[:-1])
        shop.loop.run_until(lambda: budget.used > len(BODY))
        if leaves:
            client.close()
        else:
            shop.loop.now += 3
        shop.loop.run_until(lambda: budget.used == 0)
        assert len(connection.parser._buffer) == 0


def test_answers_that_nobody_reads_are_counted_until_they_are_sent(make_shop):
    """Guards against memory of answers in transports that is bounded for each connection but not for all."""
    shop = make_shop(large_reply)
    client, connection = shop.client(buffer=4096)
    shop.fill_write_buffer(client, connection)
    account = connection.pipeline.memory
    assert account.used == connection.transport.unsent_bytes() > 60_000
    assert not connection.pipeline.nothing_open()
    while connection.transport.unsent_bytes():
        read_available(client)
        shop.loop.iterate()
    assert account.used == 0 and connection.pipeline.nothing_open()


def test_a_client_that_sends_without_waiting_has_no_right_to_the_whole_budget(make_shop):
    """Guards against floods whose every first command counts as that of a usual client."""
    shop = make_shop()
    client, connection = shop.client()
    assert connection.pipeline.nothing_open()
    client.sendall(b"".join(write(number, body=BODY, d=60_000) for number in range(1, 5)))
    shop.loop.run_until(lambda: connection.pipeline.more_input)
    assert not connection.pipeline.nothing_open()
    for _ in range(MAX_ITERATIONS):
        if len(shop.node.commands) == 4 and not connection.pipeline.slots:
            break
        shop.loop.now += 0.01
        shop.loop.settle()
    assert connection.pipeline.nothing_open() and replies_of(client)


def test_words_that_are_each_below_a_large_one_count_together(make_shop):
    """Guards against commands whose many words of medium size are not counted, as none of them is large."""
    shop = make_shop()
    budget = shop.server.totals.budget
    budget.limit = 200_000
    command = codec.encode_command([b"w" * codec.MAX_OTHER_BULKS_BYTES] * codec.MAX_COMMAND_ARGUMENTS)
    clients = [shop.client() for _ in range(40)]
    for client, _ in clients:
        shop.send(client, command[:-100])
        shop.loop.settle()
        assert budget.used <= 200_000
    held = sum(
        len(connection.parser._buffer) + sum(map(len, connection.parser._arguments))
        for _, connection in clients
    )
    small = codec.MAX_OTHER_BULKS_BYTES + codec.READ_BYTES
    assert held <= budget.used + len(clients) * small
    for client, connection in clients:
        shop.send(client, command[-100:])
        shop.loop.run_until(lambda each=connection: each.protocol_error)
    shop.loop.settle()
    assert all(read_available(client).startswith(b"-ERR unknown_command") for client, _ in clients)
    assert budget.used == 0


def test_replies_of_nodes_that_never_end_are_bounded_for_all_connections(make_shop):
    """Guards against memory of replies that is bounded for each connection to a node but not for all."""
    size = codec.MAX_REPLY_BULK_BYTES
    shop = make_shop(lambda arguments: b"*1\r\n$%d\r\n" % size + b"v" * (size // 2))
    budget = shop.server.totals.budget
    budget.limit = 600_000
    clients = [shop.client() for _ in range(12)]
    for number, (client, _) in enumerate(clients):
        shop.send(client, read(number + 1, d=60_000))
    for _ in range(300):
        shop.loop.iterate()
        buffered = sum(
            each.parser.buffered_bytes() for each in shop.service.gateway.nodes.connections.values()
        )
        assert buffered <= budget.used <= 600_000 + len(clients) * 65_536
    assert shop.service.gateway.nodes.counts["nodes' breaches: long_reply"]
    for client, _ in clients:
        client.close()
    shop.loop.run_until(lambda: not shop.server.connections)
    for peer in list(shop.node.peers):
        peer.transport.abortConnection()
    shop.loop.run_until(lambda: not shop.service.gateway.nodes.connections)
    assert budget.used == 0
