"""Closes by clients and by the gateway: on real sockets where the operating system's behaviour matters, one event loop
iteration at a time with a manual clock, and on the virtual network elsewhere."""

import errno
import select
import socket
from contextlib import suppress

import pytest
from test_service import FLAT, PING, Shop, listed, read, value, write
from twisted.internet.tcp import Port
from twisted.internet.epollreactor import EPollReactor
from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from ochrecourse.common.time_units import SECOND
from ochrecourse.common.event_loop import MIN_WAIT, POLLS_UNTIL_READ, PollHistory
from ochrecourse.lab.virtual import VirtualNetwork
from ochrecourse.service.gateway_service import GatewayService, ServiceEnvironment, share_descriptors
from ochrecourse.service.start_settings import parse_start_settings
from ochrecourse.resp import codec
from ochrecourse.resp import server
from ochrecourse.resp import input_turns, pipeline
from ochrecourse.resp.memory_budget import SHARED_FRACTION
from ochrecourse.resp.lingering_close import DRAIN_SECONDS, LINGER_SECONDS
from ochrecourse.standins.resp_node import ListAgent, RespNode, success_reply
from ochrecourse.common.monotonic_reactor import BoundedAcceptPort, unread_since

SYSTEM_TIMEOUT_MS = 60_000  # upper bound for waits on the operating system; no result depends on it
MAX_ITERATIONS = 10_000  # after which a test that waits for a condition fails
READ_BYTES = 65_536  # that a transport reads in one iteration


BODY = b"x" * 30_000


class PacedPort(Port):
    """A port whose connections are those of the service's port."""

    transport = BoundedAcceptPort.transport


class SteppedReactor(EPollReactor):
    """A real event loop on real sockets that runs one iteration per call; its clock is advanced by tests."""

    def __init__(self):
        self.now = 1000.0
        super().__init__()
        self.unread_since = unread_since(self)

    def seconds(self):
        return self.now

    def listenTCP(self, port, factory, backlog=50, interface=""):
        listening = PacedPort(port, factory, backlog, interface, self)
        listening.startListening()
        return listening

    def iterate(self, wait=0.0):
        """Runs one iteration: first timers that are due, then sockets that are ready."""
        self.now += 1e-6  # an iteration takes some time
        self.runUntilCurrent()
        self.doIteration(wait)

    def run_until(self, done):
        for _ in range(MAX_ITERATIONS):
            if done():
                return
            self.iterate(0.001)
        raise AssertionError("the condition was not met")

    def settle(self):
        """Runs several iterations, so that all pending input is read."""
        for _ in range(12):
            self.iterate()

    def end(self):
        for each in self.removeAll():
            each.connectionLost(Failure(ConnectionDone()))
        self._poller.close()


class RealSocketShop(Shop):
    """A service with a storage node and a list agent, all on one real event loop."""

    def __init__(self, reply=success_reply, sockets=256, **changes):
        self.network = self.loop = SteppedReactor()
        self.node, self.agent = RespNode(reply), ListAgent()
        self.listening = [
            self.loop.listenTCP(0, each, interface="127.0.0.1") for each in (self.node, self.agent)
        ]
        self.node_port, self.agent_port = (each.getHost().port for each in self.listening)
        self.log, self.over, self.sockets = [], [], []
        start_settings = {
            "name": "n0", "listen": "127.0.0.1:0", "discovery": f"127.0.0.1:{self.agent_port}", "seed": "0f",
            "limits": {"sockets": sockets}, "settings": {**FLAT, **changes}, "known": listed(self.node_port),
        }  # fmt: skip
        self.service = GatewayService(
            parse_start_settings(start_settings),
            "none",
            ServiceEnvironment(
                self.loop,
                10**18,
                self.log.append,
                lambda: self.over.append(1),
                self.loop.unread_since,
            ),
        )
        self.server = self.service.server
        self.port = self.service.serve()[1]
        self.loop.run_until(lambda: self.agent.watches)

    def client(self, buffer=0):
        """Connects a client; returns its blocking socket and the gateway's connection."""
        client = socket.socket()
        if buffer:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer)
        client.settimeout(SYSTEM_TIMEOUT_MS / 1000)
        client.connect(("127.0.0.1", self.port))
        self.sockets.append(client)
        before = set(self.server.connections)
        self.loop.run_until(lambda: set(self.server.connections) - before)
        return client, next(iter(set(self.server.connections) - before))

    def send(self, client, data):
        """Sends in small steps while the loop reads, so that the system's buffers suffice."""
        client.settimeout(0)
        while data:
            with suppress(BlockingIOError):
                data = data[client.send(data) :]
            self.loop.iterate()
        client.settimeout(SYSTEM_TIMEOUT_MS / 1000)

    def serve(self, client, number):
        """Sends one request and waits until the node has answered it, whether or not the client reads."""
        self.send(client, read(number, d=60_000))
        self.loop.run_until(lambda: self.node.commands and self.node.commands[-1][2] == b"%016x" % number)
        self.loop.run_until(lambda: not self.open)

    def fill_write_buffer(self, client, connection):
        """Sends requests of a client that reads nothing until writes to it block; returns their number."""
        number = 0
        while not connection.write_blocked:
            number += 1
            self.serve(client, number)
            self.loop.settle()
        return number

    @property
    def open(self):
        return self.service.gateway.request_log.open

    def end(self):
        for each in self.sockets:
            each.close()
        self.service.watch.stop()
        self.server.stop()
        self.service.gateway.stop()
        self.loop.end()


@pytest.fixture
def make_shop():
    """Creates services on real sockets."""
    created = []

    def create(*args, **changes):
        created.append(RealSocketShop(*args, **changes))
        return created[-1]

    yield create
    for each in created:
        each.end()


def wait_for_event(connection, event):
    """Waits until the system reports `event` for a socket, without reading from it."""
    poller = select.poll()
    poller.register(connection, event)
    assert poller.poll(SYSTEM_TIMEOUT_MS)


def wait_for_close(gateway_side):
    wait_for_event(gateway_side.transport.fileno(), select.POLLRDHUP)


def read_to_end(client):
    """Reads what a client receives until the end of the connection; a reset fails the test."""
    got = b""
    while data := client.recv(READ_BYTES):
        got += data
    return got


def read_available(client):
    """Reads what has arrived for a client so far."""
    client.settimeout(0)
    got = b""
    try:
        while data := client.recv(READ_BYTES):
            got += data
    except BlockingIOError:
        pass
    client.settimeout(SYSTEM_TIMEOUT_MS / 1000)
    return got


def close_client(client, how):
    if how == "half":
        client.shutdown(socket.SHUT_WR)
    else:
        client.close()


def limit_requests(shop, count, body=BODY):
    """Limits the memory of all connections so that one connection may have `count` writes open; returns the budget."""
    budget = shop.server.totals.budget
    size = pipeline.REQUEST_OVERHEAD_BYTES + pipeline.REPLY_SLOT_BYTES + len(body)
    budget.limit = int(2 * count * size / SHARED_FRACTION)
    return budget


# --- a client's close is noticed whatever it sent before ---


@pytest.mark.parametrize("how", ["close", "half"])
@pytest.mark.parametrize("count", [1, 32, 33, 300])
def test_the_end_of_a_client_that_sent_many_commands_is_seen_at_once(make_shop, count, how):
    """Guards against not reading a connection at its limit of open requests, so that its close is not noticed."""
    shop = make_shop(lambda arguments: None)
    client, connection = shop.client()
    shop.send(client, b"".join(read(i, d=60_000) for i in range(1, count + 1)))
    shop.loop.run_until(lambda: len(connection.pipeline.slots) == count)
    shop.loop.settle()
    assert shop.open == min(count, 32) and connection.connected
    sent = len(shop.node.commands)
    close_client(client, how)
    wait_for_close(connection)
    shop.loop.iterate()
    assert (
        not shop.open
        and not connection.connected
        and connection not in shop.server.connections
        and not shop.server.totals.open_request_ids
    )
    shop.loop.settle()
    assert (
        len(shop.node.commands) <= sent
        and not shop.server.totals.unanswered_commands
        and not shop.server.totals.budget.used
    )


def test_commands_read_just_before_their_clients_close_are_cancelled_with_it(make_shop):
    """Commands read just before their client's close may be forwarded, but only within one iteration, long before
    0.1 s."""
    shop = make_shop(lambda arguments: None)
    client, connection = shop.client()
    client.sendall(b"".join(read(i, d=60_000) for i in range(1, 301)))
    client.close()
    wait_for_close(connection)
    shop.loop.run_until(lambda: not connection.connected)
    assert not shop.open and shop.service.gateway.request_log.received <= 32
    shop.loop.settle()
    assert shop.service.gateway.request_log.received <= 32 and not shop.server.totals.unanswered_commands


@pytest.mark.parametrize("how", ["close", "half"])
def test_the_end_of_a_slow_reader_whose_replies_pile_up_is_seen(make_shop, how):
    long_value = bytes(range(256)) * 3600

    shop = make_shop(lambda arguments: b"*3\r\n" + codec.encode_bulk_string(long_value) + b"$-1\r\n$-1\r\n")
    client, connection = shop.client(buffer=4096)
    response_count = shop.fill_write_buffer(client, connection)
    shop.send(client, b"".join(read(response_count + i, d=60_000) for i in range(1, 101)))
    shop.loop.settle()
    assert connection.pipeline.queued
    close_client(client, how)
    wait_for_close(connection)
    shop.loop.iterate()
    assert not connection.connected and not shop.open


def test_a_close_is_noticed_while_replies_before_an_error_are_pending(make_shop):
    shop = make_shop(lambda arguments: None)
    client, connection = shop.client()
    shop.send(client, read(1, d=60_000) + b"nonsense\r\n")
    shop.loop.settle()
    assert connection.protocol_error is not None and shop.open == 1
    client.close()
    wait_for_close(connection)
    shop.loop.iterate()
    assert not shop.open and not connection.connected


@pytest.mark.parametrize("how", ["close", "half"])
def test_the_end_behind_more_than_may_wait_is_seen_and_memory_is_bounded(make_shop, how):
    """Guards against not reading when buffers are full: the client's system would not even send the close, which comes
    after the bytes that the gateway has not accepted."""
    shop = make_shop(lambda arguments: None)
    budget = limit_requests(shop, 32 + 10)
    client, connection = shop.client()
    shop.send(client, b"".join(write(i, body=BODY, d=60_000) for i in range(1, 301)))
    shop.loop.run_until(lambda: len(connection.pipeline.slots) == 300 and shop.open)
    assert shop.open == 32 and len(connection.pipeline.queued) == 10
    assert connection.pipeline.memory.used == budget.used <= budget.limit * SHARED_FRACTION
    close_client(client, how)
    shop.loop.run_until(lambda: not connection.connected)
    assert (
        not shop.open
        and not shop.server.connections
        and not shop.server.totals.budget.used
        and not shop.server.totals.unanswered_commands
    )


@pytest.mark.parametrize("last", [3, 300])
def test_a_flood_without_end_is_a_mistake_and_the_end_behind_it_is_seen(make_shop, last):
    shop = make_shop(lambda arguments: None)
    client, connection = shop.client()
    shop.send(client, read(1, d=60_000) + PING * pipeline.MAX_UNANSWERED_COMMANDS * last)
    shop.loop.run_until(lambda: connection.protocol_error is not None)
    assert (
        shop.server.counts["too_many_commands"] == 1
        and len(connection.pipeline.slots) == pipeline.MAX_UNANSWERED_COMMANDS + 1
    )
    assert not connection.parser.has_partial_message()
    shop.loop.run_until(lambda: shop.open == 1)  # once all that was sent behind it is read
    client.close()
    shop.loop.run_until(lambda: not connection.connected)
    assert not shop.open and not shop.server.connections and not shop.server.totals.unanswered_commands


def test_requests_rejected_for_lack_of_memory_are_answered_in_order(make_shop):
    shop = make_shop(lambda arguments: None)
    limit_requests(shop, 32 + 10)
    client, connection = shop.client()
    shop.send(client, b"".join(write(i, body=BODY, d=60_000) for i in range(1, 61)) + PING)
    shop.loop.run_until(lambda: len(connection.pipeline.slots) == 61 and shop.open)
    assert read_available(client) == b"" and shop.open == 32
    for _ in range(MAX_ITERATIONS):  # all started and queued requests time out
        if not connection.pipeline.slots:
            break
        shop.loop.now += 0.1
        shop.loop.settle()
    replies, got = codec.ReplyParser(), []
    replies.feed(read_available(client))
    while (one := replies.next()) is not None:
        got.append(one[0])
    assert len(got) == 61 and all(isinstance(each, codec.ErrorReply) for each in got[:60])
    assert (
        got[42:] == [codec.ErrorReply(b"BUSY")] * 18 + [codec.SimpleString(b"PONG")] and connection.connected
    )


def test_what_waits_on_all_connections_is_bounded_in_sum_and_costs_nobody_its_next_request(
    make_shop, monkeypatch
):
    monkeypatch.setattr(pipeline, "MAX_UNANSWERED_COMMANDS_TOTAL", 500)
    shop = make_shop(lambda arguments: None)
    budget = limit_requests(shop, 8 * 32 + 100, body=b"")
    clients = [shop.client() for _ in range(8)]
    for number, (client, _) in enumerate(clients):
        shop.send(client, b"".join(read(1000 * number + i, d=60_000) for i in range(1, 301)))
        shop.loop.settle()
    assert budget.used <= budget.limit
    assert shop.server.totals.unanswered_commands <= pipeline.MAX_UNANSWERED_COMMANDS_TOTAL + 8 * (
        pipeline.MAX_RUNNING_REQUESTS + 1
    )
    other, _ = shop.client()
    shop.node.reply = success_reply
    shop.send(other, read(9000, d=60_000) + PING)
    shop.loop.settle()
    assert shop.open == 8 * 32 + 1 or read_available(other)
    for client, _ in clients:
        client.close()
    shop.loop.run_until(lambda: len(shop.server.connections) == 1)
    (left,) = shop.server.connections
    assert not left.pipeline.queued and shop.server.totals.unanswered_commands <= 2
    assert budget.used == left.pipeline.memory.used <= 2 * (pipeline.REQUEST_OVERHEAD_BYTES + 1024)


def test_replies_to_a_client_that_reads_nothing_are_bounded(make_shop):
    """Guards against unbounded memory use for replies."""
    shop = make_shop()
    client, connection = shop.client(buffer=4096)
    client.settimeout(0)
    for _ in range(400):
        try:
            client.send(PING * 4000)
        except BlockingIOError:
            pass
        except OSError as error:
            assert error.errno in (errno.EPIPE, errno.ECONNRESET)
            break
        shop.loop.iterate()
    if connection.connected:
        assert len(connection.pipeline.slots) <= pipeline.MAX_UNANSWERED_COMMANDS + 1
        assert (
            len(connection.transport.dataBuffer) + connection.transport._tempDataLen
            <= 3 * READ_BYTES + 7 * pipeline.MAX_UNANSWERED_COMMANDS
        )


def test_a_flood_of_one_client_leaves_each_turn_to_the_others(make_shop):
    shop = make_shop()
    flooding, flooding_connection = shop.client()
    other, _ = shop.client()
    flooding.sendall(PING * 4000)
    wait_for_event(flooding_connection.transport.fileno(), select.POLLIN)
    shop.loop.iterate()
    other.sendall(PING)
    shop.loop.iterate()
    shop.loop.iterate()
    assert flooding_connection.reading_paused and read_available(other) == b"+PONG\r\n"
    got = b""
    iterations = 2
    while len(got) < 4000 * len(b"+PONG\r\n") and iterations < MAX_ITERATIONS:
        shop.loop.iterate()
        iterations += 1
        got += read_available(flooding)
    assert got == b"+PONG\r\n" * 4000 and iterations >= 4000 // input_turns.COMMANDS_PER_ITERATION


# --- attempts after a client's close ---


def test_after_a_long_turn_the_ends_that_stand_unread_are_known_before_anything_is_sent(make_shop):
    """Guards against a retry when it is due, since the event loop calls timers before it reads sockets."""
    shop = make_shop(lambda arguments: b"-ERR failed\r\n")
    client, connection = shop.client()
    shop.send(client, read(1, d=60_000))
    shop.loop.run_until(lambda: len(shop.node.commands) == 1)
    shop.loop.settle()
    assert shop.open == 1 and shop.service.gateway.request_log.attempts == 1
    client.sendall(PING)  # the end of input comes after bytes, so one iteration does not read it
    client.close()
    wait_for_close(connection)
    shop.loop.now += 0.1  # longer than the delay of the retry, but early enough for it to be in time
    shop.loop.settle()
    assert not shop.open and shop.service.gateway.request_log.attempts == 1 and len(shop.node.commands) == 1


def test_a_reply_read_before_a_clients_close_in_a_long_iteration_causes_no_attempt_for_it(make_shop):
    """Guards against closes that are read after other input in an iteration that began late."""
    shop = make_shop(lambda arguments: b"-ERR failed\r\n" if arguments[2] == b"%016x" % 1 else None)
    client, connection = shop.client()
    other, _ = shop.client()
    shop.send(other, read(2, d=60_000))
    shop.loop.run_until(lambda: len(shop.node.commands) == 1)
    shop.send(client, read(1, d=60_000))
    shop.loop.run_until(lambda: len(shop.node.commands) == 2)
    shop.loop.settle()
    assert shop.service.gateway.request_log.attempts == 2
    client.close()
    wait_for_close(connection)
    shop.loop.now += 0.1
    # As in a long iteration that has read the node's reply but not the client's close.
    shop.service.gateway._pull()
    assert shop.service.gateway.request_log.attempts == 2
    shop.loop.settle()
    assert shop.service.gateway.request_log.attempts == 2 and shop.open == 1


class SlowReadable:
    """Makes an iteration take long: a readable descriptor whose read advances the clock."""

    def __init__(self, loop, seconds):
        self.loop, self.seconds = loop, seconds
        self.reader, self.writer = socket.socketpair()
        loop.addReader(self)

    def fileno(self):
        return self.reader.fileno()

    def logPrefix(self):
        return "slow"

    def doRead(self):
        self.reader.recv(1)
        self.loop.now += self.seconds

    def connectionLost(self, reason=None):
        self.reader.close()
        self.writer.close()


@pytest.mark.parametrize("before", [b"", read(1, d=60_000)])
def test_a_long_turn_in_which_no_timer_is_due_sends_nothing_on_of_a_client_that_left(make_shop, before):
    """Guards against a request read in a long iteration whose client's close is read in the next one.

    Another request of the client may be open: its due timer is far.
    """
    shop = make_shop(lambda arguments: None, **{"Classes.0.Aim": "2000"})
    slow = SlowReadable(shop.loop, 0.15)
    client, connection = shop.client()
    shop.send(client, before)
    shop.loop.settle()
    sent = shop.service.gateway.request_log.attempts
    assert sent == bool(before)
    assert shop.service.gateway.scheduler.next_due() > (shop.loop.now + 0.2) * SECOND  # no timer is due
    slow.writer.send(b"x")
    client.sendall(read(2, d=60_000))
    client.close()
    wait_for_close(connection)
    shop.loop.settle()
    assert shop.service.gateway.request_log.attempts == sent and not shop.open


def test_a_waiting_attempt_is_not_written_for_a_client_that_closed_in_a_long_iteration(make_shop):
    """Guards against a connection that opens before the client's close is read."""
    shop = make_shop(lambda arguments: None, **{"Classes.0.Aim": "2000"})
    client, connection = shop.client()
    client.sendall(read(1, d=60_000))
    wait_for_event(connection.transport.fileno(), select.POLLIN)
    shop.loop.iterate()
    dispatcher = shop.service.gateway.nodes
    shop.loop.runUntilCurrent()  # the dial starts, and the system opens the connection at once
    assert shop.service.gateway.request_log.attempts == 1 and dispatcher.dials.in_progress
    client.sendall(PING)  # the end of input comes after bytes, so one iteration does not read it
    client.close()
    wait_for_close(connection)
    shop.loop.now += 0.15
    shop.loop.doIteration(0)
    shop.loop.settle()
    assert not shop.node.commands and not shop.open


def test_a_waiting_attempt_is_written_after_a_long_iteration_if_its_client_stays(make_shop):
    shop = make_shop(**{"Classes.0.Aim": "2000"})
    client, connection = shop.client()
    client.sendall(read(1, d=60_000))
    wait_for_event(connection.transport.fileno(), select.POLLIN)
    shop.loop.iterate()
    assert shop.service.gateway.nodes.dials.in_progress
    shop.loop.now += 0.15
    shop.loop.run_until(lambda: not shop.open)
    shop.loop.settle()
    assert read_available(client) == value(1)


def test_a_request_is_sent_at_once_after_a_short_iteration(make_shop):
    shop = make_shop(lambda arguments: None)
    slow = SlowReadable(shop.loop, 0.02)
    client, connection = shop.client()
    shop.loop.settle()
    slow.writer.send(b"x")
    client.sendall(read(1, d=60_000))
    wait_for_event(connection.transport.fileno(), select.POLLIN)
    shop.loop.iterate()
    assert shop.service.gateway.request_log.attempts == 1


def test_unread_input_is_at_most_as_old_as_the_third_last_poll_that_returned_at_once():
    history = PollHistory()
    for at in range(1, 9):
        history.polled(at * 10, at * 10, True)
    assert history.unread_since() == (9 - POLLS_UNTIL_READ) * 10
    history.polled(100, 100 + MIN_WAIT, False)  # the process may have been suspended
    assert history.unread_since() < 100
    history.polled(200, 201 + MIN_WAIT, True)
    assert history.unread_since() == 201 + MIN_WAIT


def test_a_long_iteration_does_not_block_requests_of_clients_that_stay(make_shop):
    shop = make_shop(
        lambda arguments: b"-ERR failed\r\n" if len(shop.node.commands) == 1 else success_reply(arguments)
    )
    client, _ = shop.client()
    shop.send(client, read(1, d=60_000))
    shop.loop.run_until(lambda: len(shop.node.commands) == 1)
    shop.loop.settle()
    shop.loop.now += 0.05
    shop.loop.run_until(lambda: not shop.open)
    shop.loop.settle()
    assert read_available(client) == value(1)


@pytest.mark.parametrize("end", [b"-ERR failed\r\n", b"-BUSY\r\n", b"nonsense\r\n", None])
def test_an_attempt_that_went_whole_before_its_client_left_leads_to_no_further_one(end):
    shop = Shop(reply=lambda arguments: None)
    client = shop.client()
    client.say(read(1, d=60_000))
    shop.run(0.05)
    assert len(shop.node.commands) == 1
    client.transport.loseConnection()
    shop.run(0.05)
    for peer in list(shop.node.peers):
        if end is None:
            peer.transport.abortConnection()
        else:
            peer.transport.write(end)
    shop.run(5)
    assert len(shop.node.commands) == 1 and shop.service.gateway.request_log.attempts == 1


def test_cancelling_requests_of_a_closed_client_does_not_start_others_of_it():
    """Guards against starting a queued request of a client because the cancel of another one is reported first."""
    shop = Shop(reply=lambda arguments: None)
    request_log = shop.service.gateway.request_log
    client = shop.client()
    client.say(b"".join(read(i, d=60_000) for i in range(1, 33)))
    while not request_log.open:
        shop.run(0.00001)
    attempts_before = request_log.attempts
    assert (
        attempts_before and request_log.open == 32 and not shop.node.commands
    )  # connections are not open yet
    next(iter(shop.service.server.connections)).transport.abortConnection()
    shop.run(1)
    assert request_log.attempts == attempts_before and not request_log.open and not shop.node.commands


def test_a_request_id_is_released_only_by_the_request_that_uses_it():
    """Guards against releasing an id that is used on another connection when a connection ends."""
    shop = Shop(reply=lambda arguments: success_reply(arguments) if arguments[2] == b"%016x" % 2 else None)
    first, second, third = shop.client(), shop.client(), shop.client()
    first.say(read(1, d=60_000) + read(2, d=60_000))  # the second is answered and queued behind the first
    shop.run(0.1)
    shop.node.reply = lambda arguments: None
    second.say(read(2, d=60_000))
    shop.run(0.1)
    assert len(shop.node.commands) == 3
    first.transport.loseConnection()
    shop.run(0.1)
    third.say(read(2, d=60_000))
    shop.run(0.1)
    assert third.got.startswith(b"-ERR open_id") and len(shop.node.commands) == 3 and not second.ended


# --- closes by the gateway ---


def test_what_stands_unread_on_a_connection_that_is_about_to_be_closed_is_answered(make_shop):
    """Guards against closing a socket with unread input, which resets the connection."""
    shop = make_shop()
    client, connection = shop.client()
    shop.send(client, PING)
    shop.loop.settle()
    while shop.server._idle_check_timer.getTime() < connection.idle_since + server.MAX_IDLE_SECONDS:
        shop.loop.now = shop.server._idle_check_timer.getTime()
        shop.loop.settle()
    client.sendall(read(1))
    wait_for_event(connection.transport.fileno(), select.POLLIN)
    shop.loop.now = (
        shop.server._idle_check_timer.getTime()
    )  # the check for idle connections runs before reading
    shop.loop.run_until(lambda: not shop.open and shop.node.commands)
    shop.loop.settle()
    assert read_available(client) == b"+PONG\r\n" + value(1) and connection.connected


def test_a_request_that_crosses_the_shutdown_sees_the_end_and_is_not_sent_on(make_shop):
    shop = make_shop()
    client, connection = shop.client()
    shop.send(client, read(1))
    shop.loop.run_until(lambda: shop.node.commands and not shop.open)
    shop.loop.settle()
    assert connection.close_if_idle()
    shop.loop.settle()
    wait_for_event(client, select.POLLRDHUP)
    shop.send(client, read(2) + read(3))
    shop.loop.settle()
    assert read_to_end(client) == value(1)  # the end of the connection, not a reset
    client.close()
    shop.loop.run_until(lambda: not shop.server.connections)
    assert len(shop.node.commands) == 1 and not shop.server.lingering


@pytest.mark.parametrize("after_timeout", [False, True])
def test_the_error_line_reaches_a_client_that_keeps_sending(make_shop, after_timeout):
    shop = make_shop()
    client, connection = shop.client()
    shop.send(client, b"nonsense\r\n" + b"x" * 3 * READ_BYTES)
    shop.loop.settle()
    shop.send(client, b"y" * READ_BYTES)
    shop.loop.settle()
    if after_timeout:  # the client reads after the linger time
        shop.loop.now += LINGER_SECONDS
        shop.loop.iterate()
        assert not connection.connected
    got = read_to_end(client)
    assert got.startswith(b"-ERR not_a_command") and got.count(b"\r\n") == 1


def test_a_connection_rejected_with_unread_input_gets_its_error_line_and_no_reset(make_shop):
    shop = make_shop(lambda arguments: None, sockets=72)
    for number in range(share_descriptors(72)[0]):
        client, _ = shop.client()
        shop.send(client, read(number, d=60_000))
    shop.loop.settle()
    rejected_client = socket.create_connection(("127.0.0.1", shop.port), timeout=SYSTEM_TIMEOUT_MS / 1000)
    shop.sockets.append(rejected_client)
    rejected_client.sendall(read(99))
    shop.loop.run_until(lambda: shop.server.counts["too_many_connections"])
    shop.loop.settle()
    got = read_to_end(rejected_client)
    assert got.startswith(b"-ERR too_many_connections") and got.count(b"\r\n") == 1
    rejected_client.close()
    shop.loop.run_until(lambda: len(shop.server.connections) == share_descriptors(72)[0])


def test_small_replies_are_not_delayed_by_the_system(make_shop):
    shop = make_shop()
    client, connection = shop.client()
    assert connection.transport.getTcpNoDelay()
    shop.send(client, PING)
    assert connection.transport.getTcpNoDelay()


def test_a_client_that_never_closes_is_disconnected_after_the_linger_time(make_shop):
    shop = make_shop()
    client, connection = shop.client()
    shop.send(client, PING)
    shop.loop.settle()
    assert connection.close_if_idle()
    shop.loop.now += LINGER_SECONDS - 0.01
    shop.loop.settle()
    assert connection in shop.server.connections
    shop.loop.now += 0.02
    shop.loop.settle()
    assert not shop.server.connections and read_to_end(client) == b"+PONG\r\n"


def test_a_slow_reader_gets_all_of_its_answers_before_the_end(make_shop):
    long_value = bytes(range(256)) * 3600
    shop = make_shop(lambda arguments: b"*3\r\n" + codec.encode_bulk_string(long_value) + b"$-1\r\n$-1\r\n")
    client, connection = shop.client(buffer=4096)
    response_count = shop.fill_write_buffer(client, connection)
    shop.loop.settle()
    assert connection.write_blocked and connection.close_if_idle()
    got = b""
    for _ in range(MAX_ITERATIONS):
        got += read_available(client)
        if len(got) >= response_count * len(codec.encode_bulk_string(long_value)):
            break
        shop.loop.iterate()
    assert got == codec.encode_bulk_string(long_value) * response_count
    shop.loop.settle()
    assert read_to_end(client) == b""


def test_a_client_that_reads_nothing_is_disconnected_after_the_drain_time(make_shop):
    long_value = bytes(range(256)) * 3600
    shop = make_shop(lambda arguments: b"*3\r\n" + codec.encode_bulk_string(long_value) + b"$-1\r\n$-1\r\n")
    client, connection = shop.client(buffer=4096)
    shop.fill_write_buffer(client, connection)
    shop.loop.settle()
    assert connection.write_blocked and connection.close_if_idle()
    shop.loop.now += DRAIN_SECONDS
    shop.loop.settle()
    assert not shop.server.connections


# --- graceful shutdown ---

LONG_DEADLINES = {"Classes.0.Deadline": "2000", "Classes.1.Deadline": "2000"}  # ms; the kill comes at 2.7 s


def shut_down_and_run(shop, run_until):
    """Starts the shutdown and advances the clock by `until` s in small steps."""
    start = shop.loop.now
    shop.service.shut_down()
    while shop.loop.now < start + run_until:
        shop.loop.now += 0.01
        shop.loop.settle()


@pytest.mark.parametrize("what", [b"", PING, read(1)[:-9], PING + read(1)[:-9], b"nonsense", b"*3\r\n"])
def test_a_client_that_never_closes_does_not_hold_the_process_up_to_its_kill(make_shop, what):
    shop = make_shop(**LONG_DEADLINES)
    start = shop.loop.now
    shop.service.shut_down()
    shop.loop.now = start + 2.15
    shop.loop.settle()
    client, _ = shop.client()
    if what:
        shop.send(client, what)
    while shop.loop.now < start + 2.65:
        shop.loop.now += 0.01
        shop.loop.settle()
    assert shop.over == [1] and not shop.server.connections


def test_a_client_that_keeps_sending_does_not_delay_the_exit_until_the_kill(make_shop):
    shop = make_shop(lambda arguments: None, **LONG_DEADLINES)
    client, _ = shop.client()
    start = shop.loop.now
    shop.service.shut_down()
    shop.loop.now = start + 2.1
    number = 0
    while shop.loop.now < start + 2.65 and not shop.over:
        number += 1
        shop.loop.now += 0.01
        try:
            shop.send(client, read(number, d=60_000))
        except OSError as error:
            assert error.errno in (errno.EPIPE, errno.ECONNRESET)
        shop.loop.settle()
    assert shop.over == [1] and not shop.server.connections


def test_a_slow_reader_with_commands_left_does_not_hold_the_process_up_to_its_kill(make_shop):
    long_value = bytes(range(256)) * 3600
    shop = make_shop(
        lambda arguments: b"*3\r\n" + codec.encode_bulk_string(long_value) + b"$-1\r\n$-1\r\n",
        **LONG_DEADLINES,
    )
    client, connection = shop.client(buffer=4096)
    response_count = shop.fill_write_buffer(client, connection)
    shop.send(
        client, b"".join(read(number, d=60_000) for number in range(response_count + 1, response_count + 51))
    )
    shop.loop.settle()
    assert connection.pipeline.queued
    shut_down_and_run(shop, 2.65)
    assert shop.over == [1] and not shop.server.connections


def test_commands_read_before_the_end_of_the_process_are_all_answered(make_shop):
    """Queued commands are rejected late in the shutdown, which is safe since they were not executed."""
    shop = make_shop(lambda arguments: None, **LONG_DEADLINES)
    client, _ = shop.client()
    shop.send(client, b"".join(read(i, d=60_000) for i in range(1, 101)))
    shop.loop.settle()
    assert shop.open == 32
    shut_down_and_run(shop, 2.65)
    got = read_to_end(client)
    assert shop.over == [1] and got.count(b"\r\n") == 100 and got.count(b"-") == 100


def test_a_request_that_crosses_the_close_of_its_connection_is_served(make_shop):
    shop = make_shop(**LONG_DEADLINES)
    idle, connection = shop.client()
    shop.send(idle, PING)
    shop.loop.settle()
    shop.service.shut_down()
    # The timeout is longer than the clock's step: input read after a late timer counts as having waited as long.
    idle.sendall(read(1, d=2900))
    wait_for_event(connection.transport.fileno(), select.POLLIN)
    shop.loop.now += 2.2  # the port closes before reading, and idle connections an iteration later
    shop.loop.run_until(lambda: shop.node.commands and not shop.open)
    shop.loop.settle()
    assert read_to_end(idle) == b"+PONG\r\n" + value(1)
    idle.close()
    shop.loop.run_until(lambda: shop.over)


# --- descriptors ---


def test_many_that_come_in_one_turn_stay_under_the_most_and_a_few(make_shop):
    shop = make_shop(lambda arguments: None, sockets=72)
    limit = share_descriptors(72)[0]
    sockets = []
    for _ in range(200):
        each = socket.socket()
        each.setblocking(False)
        each.connect_ex(("127.0.0.1", shop.port))
        sockets.append(each)
    shop.sockets += sockets
    for _ in range(30):
        shop.loop.iterate()
        assert len(shop.server.connections) <= limit + server.ACCEPT_MARGIN
    shop.loop.now += 2 * LINGER_SECONDS
    shop.loop.settle()
    assert len(shop.server.connections) <= limit
    assert shop.server.counts["shut_unread"] + shop.server.counts["too_many_connections"] == 200 - len(
        shop.server.connections
    )


def test_connections_that_linger_are_bounded_and_make_room_first(make_shop):
    shop = make_shop(sockets=72)
    limit, lingering = share_descriptors(72)[0], server.MIN_LINGERING_LIMIT
    clients = [shop.client() for _ in range(limit)]
    for client, _ in clients:
        shop.send(client, PING)
    shop.loop.settle()
    for _, connection in clients:
        assert connection.close_if_idle()
    shop.loop.settle()
    assert len(shop.server.lingering) <= lingering and len(shop.server.connections) <= limit
    for client, _ in clients:
        assert read_to_end(client) == b"+PONG\r\n"  # also connections closed early received everything
    for _ in range(limit):
        client, connection = shop.client()
        shop.send(client, PING)
        shop.loop.settle()
        assert read_available(client) == b"+PONG\r\n" and len(shop.server.connections) <= limit


# --- the virtual network closes connections like TCP ---


def test_a_virtual_close_resets_only_with_unread_input():
    for paused in (False, True):
        shop = Shop.__new__(Shop)
        network = VirtualNetwork(1)
        network.tcp = True
        node = RespNode(lambda arguments: b"+OK\r\n")
        shop.network, shop.port = network, network.listenTCP(0, node).getHost().port
        client = shop.client()
        server = node.peers[0].transport
        if paused:
            server.pauseProducing()
        client.say(PING)
        network.advance(0.01)
        server.write(b"last")
        server.loseConnection()
        network.advance(0.01)
        assert client.ended and client.got == (b"" if paused else b"+OK\r\nlast")


def test_a_virtual_end_of_input_waits_while_reading_is_paused():
    network = VirtualNetwork(1)
    network.tcp = True
    node = RespNode(lambda arguments: None)
    shop = Shop.__new__(Shop)
    shop.network, shop.port = network, network.listenTCP(0, node).getHost().port
    client = shop.client()
    server = node.peers[0].transport
    server.pauseProducing()
    client.say(PING)
    client.transport.loseConnection()
    network.advance(1)
    assert client.ended and node.peers and not node.commands
    server.resumeProducing()
    network.advance(0.01)
    assert not node.peers and node.commands
