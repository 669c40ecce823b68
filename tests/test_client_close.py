"""Clients that have gone and connections that this side ends: on real sockets where the system's behaviour matters,
turn by turn of a loop whose clock is driven by hand, and on the virtual network elsewhere."""

import errno
import select
import socket
from contextlib import suppress

import pytest
from test_service import FLAT, PING, Shop, listed, read, value, write
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
from ochrecourse.resp import client_connection, pipeline
from ochrecourse.resp.lingering_close import DRAIN_SECONDS, LINGER_SECONDS
from ochrecourse.standins.respnode import ListAgent, RespNode, good
from ochrecourse.common.monotonic_reactor import unread_since

PATIENCE = 60_000  # ms that the system may take for anything here; no verdict depends on it
ENDLESS = 10_000  # turns after which a test that waits for something has failed
READ = 65_536  # bytes that a transport reads in one turn


class Loop(EPollReactor):
    """A real loop on real sockets that turns when it is told to; its clock hardly moves by itself."""

    def __init__(self):
        self.now = 1000.0
        super().__init__()
        self.unread_since = unread_since(self)

    def seconds(self):
        return self.now

    def turn(self, wait=0.0):
        """Timers that are due first, then what is ready to be read and written, as in every turn."""
        self.now += 1e-6  # a turn takes some time
        self.runUntilCurrent()
        self.doIteration(wait)

    def until(self, done):
        for _ in range(ENDLESS):
            if done():
                return
            self.turn(0.001)
        raise AssertionError("it never came")

    def settle(self):
        """Turns until several turns brought nothing: what the system had is read."""
        for _ in range(12):
            self.turn()

    def end(self):
        for each in self.removeAll():
            each.connectionLost(Failure(ConnectionDone()))
        self._poller.close()


class RealShop(Shop):
    """A service with a storage node and a list agent, all on one real loop."""

    def __init__(self, reply=good, sockets=256, **changes):
        self.network = self.loop = Loop()
        self.node, self.agent = RespNode(reply), ListAgent()
        self.listening = [
            self.loop.listenTCP(0, each, interface="127.0.0.1") for each in (self.node, self.agent)
        ]
        self.node_port, self.agent_port = (each.getHost().port for each in self.listening)
        self.log, self.over, self.sockets = [], [], []
        told = {
            "name": "n0", "listen": "127.0.0.1:0", "discovery": f"127.0.0.1:{self.agent_port}", "seed": "0f",
            "limits": {"sockets": sockets}, "settings": {**FLAT, **changes}, "known": listed(self.node_port),
        }  # fmt: skip
        self.service = GatewayService(
            parse_start_settings(told),
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
        self.loop.until(lambda: self.agent.watches)

    def client(self, buffer=0):
        """A client's blocking socket, accepted, and the gateway's side of it."""
        client = socket.socket()
        if buffer:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer)
        client.settimeout(PATIENCE / 1000)
        client.connect(("127.0.0.1", self.port))
        self.sockets.append(client)
        before = set(self.server.connections)
        self.loop.until(lambda: set(self.server.connections) - before)
        return client, next(iter(set(self.server.connections) - before))

    def say(self, client, data):
        """Sends in small steps, and reads meanwhile, so that no buffer of the system is too small."""
        client.settimeout(0)
        while data:
            with suppress(BlockingIOError):
                data = data[client.send(data) :]
            self.loop.turn()
        client.settimeout(PATIENCE / 1000)

    def serve(self, client, number):
        """One request, sent and answered by the node, whether or not the client reads that."""
        self.say(client, read(number, d=60_000))
        self.loop.until(lambda: self.node.commands and self.node.commands[-1][2] == b"%016x" % number)
        self.loop.until(lambda: not self.open)

    def pile(self, client, side):
        """Asks until the client, which reads nothing, is owed more than the system takes; how often it asked."""
        number = 0
        while not side.write_blocked:
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
def shop():
    """Makes services on real sockets."""
    made = []

    def make(*args, **changes):
        made.append(RealShop(*args, **changes))
        return made[-1]

    yield make
    for each in made:
        each.end()


def stands(side, event):
    """Waits until the system holds this for one side of a connection, read or not."""
    poller = select.poll()
    poller.register(side, event)
    assert poller.poll(PATIENCE)


def end_stands(gateway_side):
    stands(gateway_side.transport.fileno(), select.POLLRDHUP)


def all_of(client):
    """What a client gets up to the end; a reset fails the test."""
    got = b""
    while data := client.recv(READ):
        got += data
    return got


def readable(client):
    """What has come for a client so far."""
    client.settimeout(0)
    got = b""
    try:
        while data := client.recv(READ):
            got += data
    except BlockingIOError:
        pass
    client.settimeout(PATIENCE / 1000)
    return got


def go(client, how):
    if how == "half":
        client.shutdown(socket.SHUT_WR)
    else:
        client.close()


# --- a client's end is seen whatever it did before ---


@pytest.mark.parametrize("how", ["close", "half"])
@pytest.mark.parametrize("count", [1, 32, 33, 300])
def test_the_end_of_a_client_that_sent_many_commands_is_seen_at_once(shop, count, how):
    """Guards against a connection that is not read at its limit of open requests, so that its end is not seen."""
    here = shop(lambda words: None)
    client, side = here.client()
    here.say(client, b"".join(read(i, d=60_000) for i in range(1, count + 1)))
    here.loop.settle()
    assert here.open == min(count, 32) and side.connected
    sent = len(here.node.commands)
    go(client, how)
    end_stands(side)
    here.loop.turn()
    assert (
        not here.open
        and not side.connected
        and side not in here.server.connections
        and not here.server.totals.open_request_ids
    )
    here.loop.settle()
    assert (
        len(here.node.commands) <= sent
        and not here.server.totals.unanswered_commands
        and not here.server.totals.queued_bytes
    )


def test_commands_that_stand_unread_before_the_end_of_their_client_leave_with_it(shop):
    """What is read just before its client's end is known may go out: it does within a turn, long before 0.1 s."""
    here = shop(lambda words: None)
    client, side = here.client()
    client.sendall(b"".join(read(i, d=60_000) for i in range(1, 301)))
    client.close()
    end_stands(side)
    here.loop.until(lambda: not side.connected)
    assert not here.open and here.service.gateway.request_log.received <= 32
    here.loop.settle()
    assert here.service.gateway.request_log.received <= 32 and not here.server.totals.unanswered_commands


@pytest.mark.parametrize("how", ["close", "half"])
def test_the_end_of_a_slow_reader_whose_replies_pile_up_is_seen(shop, how):
    long = bytes(range(256)) * 3600

    here = shop(lambda words: b"*3\r\n" + codec.encode_bulk_string(long) + b"$-1\r\n$-1\r\n")
    client, side = here.client(buffer=4096)
    answers = here.pile(client, side)
    here.say(client, b"".join(read(answers + i, d=60_000) for i in range(1, 101)))
    here.loop.settle()
    assert side.pipeline.queued
    go(client, how)
    end_stands(side)
    here.loop.turn()
    assert not side.connected and not here.open


def test_the_end_of_a_client_with_replies_due_before_its_error_is_seen(shop):
    here = shop(lambda words: None)
    client, side = here.client()
    here.say(client, read(1, d=60_000) + b"nonsense\r\n")
    here.loop.settle()
    assert side.protocol_error is not None and here.open == 1
    client.close()
    end_stands(side)
    here.loop.turn()
    assert not here.open and not side.connected


@pytest.mark.parametrize("how", ["close", "half"])
def test_the_end_behind_more_than_may_wait_is_seen_and_memory_is_bounded(shop, monkeypatch, how):
    """Guards against buffers that are full, so that nothing is read: the end would not even be sent by the client's
    system, which sends it behind what could not be taken here."""
    monkeypatch.setattr(pipeline, "MAX_QUEUED_BYTES", 10 * 31_024)
    here = shop(lambda words: None)
    client, side = here.client()
    here.say(client, b"".join(write(i, body=b"x" * 30_000, d=60_000) for i in range(1, 301)))
    here.loop.until(lambda: len(side.pipeline.slots) > 200)
    assert here.open == 32 and len(side.pipeline.queued) == 10
    assert side.pipeline.queued_bytes == here.server.totals.queued_bytes <= pipeline.MAX_QUEUED_BYTES
    go(client, how)
    here.loop.until(lambda: not side.connected)
    assert (
        not here.open
        and not here.server.connections
        and not here.server.totals.queued_bytes
        and not here.server.totals.unanswered_commands
    )


@pytest.mark.parametrize("last", [3, 300])
def test_a_flood_without_end_is_a_mistake_and_the_end_behind_it_is_seen(shop, last):
    here = shop(lambda words: None)
    client, side = here.client()
    here.say(client, read(1, d=60_000) + PING * pipeline.MAX_UNANSWERED_COMMANDS * last)
    here.loop.until(lambda: side.protocol_error is not None)
    assert (
        here.server.counts["too_many_commands"] == 1
        and len(side.pipeline.slots) == pipeline.MAX_UNANSWERED_COMMANDS + 1
    )
    assert here.open == 1 and not side.parser.has_partial_message()
    client.close()
    here.loop.until(lambda: not side.connected)
    assert not here.open and not here.server.connections and not here.server.totals.unanswered_commands


def test_what_is_rejected_for_want_of_memory_is_answered_in_its_turn(shop, monkeypatch):
    monkeypatch.setattr(pipeline, "MAX_QUEUED_BYTES", 10 * 31_024)
    here = shop(lambda words: None)
    client, side = here.client()
    here.say(client, b"".join(write(i, body=b"x" * 30_000, d=60_000) for i in range(1, 61)) + PING)
    here.loop.until(lambda: len(side.pipeline.slots) == 61)
    assert readable(client) == b"" and here.open == 32
    for _ in range(ENDLESS):  # all that began or waited is given up in its time
        if not side.pipeline.slots:
            break
        here.loop.now += 0.1
        here.loop.settle()
    replies, got = codec.ReplyParser(), []
    replies.feed(readable(client))
    while (one := replies.next()) is not None:
        got.append(one[0])
    assert len(got) == 61 and all(isinstance(each, codec.ErrorReply) for each in got[:60])
    assert got[42:] == [codec.ErrorReply(b"BUSY")] * 18 + [codec.SimpleString(b"PONG")] and side.connected


def test_what_waits_on_all_connections_is_bounded_in_sum_and_costs_nobody_its_next_request(shop, monkeypatch):
    monkeypatch.setattr(pipeline, "MAX_QUEUED_BYTES_TOTAL", 100 * pipeline.QUEUED_REQUEST_OVERHEAD_BYTES)
    monkeypatch.setattr(pipeline, "MAX_UNANSWERED_COMMANDS_TOTAL", 500)
    here = shop(lambda words: None)
    clients = [here.client() for _ in range(8)]
    for number, (client, _) in enumerate(clients):
        here.say(client, b"".join(read(1000 * number + i, d=60_000) for i in range(1, 301)))
        here.loop.settle()
    assert here.server.totals.queued_bytes <= pipeline.MAX_QUEUED_BYTES_TOTAL
    assert here.server.totals.unanswered_commands <= pipeline.MAX_UNANSWERED_COMMANDS_TOTAL + 8 * (
        pipeline.MAX_RUNNING_REQUESTS + 1
    )
    quiet, _ = here.client()
    here.node.reply = good
    here.say(quiet, read(9000, d=60_000) + PING)
    here.loop.settle()
    assert here.open == 8 * 32 + 1 or readable(quiet)
    for client, _ in clients:
        client.close()
    here.loop.until(lambda: len(here.server.connections) == 1)
    assert not here.server.totals.queued_bytes and here.server.totals.unanswered_commands <= 2


def test_a_client_that_reads_nothing_piles_up_no_replies(shop):
    """Guards against answers without end in the memory of this side."""
    here = shop()
    client, side = here.client(buffer=4096)
    client.settimeout(0)
    for _ in range(400):
        try:
            client.send(PING * 4000)
        except BlockingIOError:
            pass
        except OSError as trouble:
            assert trouble.errno in (errno.EPIPE, errno.ECONNRESET)
            break
        here.loop.turn()
    if side.connected:
        assert len(side.pipeline.slots) <= pipeline.MAX_UNANSWERED_COMMANDS + 1
        assert (
            len(side.transport.dataBuffer) + side.transport._tempDataLen
            <= 3 * READ + 7 * pipeline.MAX_UNANSWERED_COMMANDS
        )


def test_a_flood_of_one_client_leaves_each_turn_to_the_others(shop):
    here = shop()
    loud, loud_side = here.client()
    quiet, _ = here.client()
    loud.sendall(PING * 4000)
    stands(loud_side.transport.fileno(), select.POLLIN)
    here.loop.turn()
    quiet.sendall(PING)
    here.loop.turn()
    here.loop.turn()
    assert loud_side.reading_paused and readable(quiet) == b"+PONG\r\n"
    got = b""
    turns = 2
    while len(got) < 4000 * len(b"+PONG\r\n") and turns < ENDLESS:
        here.loop.turn()
        turns += 1
        got += readable(loud)
    assert got == b"+PONG\r\n" * 4000 and turns >= 4000 // client_connection.COMMANDS_PER_ITERATION


# --- attempts after a client's end ---


def test_after_a_long_turn_the_ends_that_stand_unread_are_known_before_anything_is_sent(shop):
    """Guards against a further attempt at its due time, since a loop calls its timers before it reads."""
    here = shop(lambda words: b"-ERR failed\r\n")
    client, side = here.client()
    here.say(client, read(1, d=60_000))
    here.loop.until(lambda: len(here.node.commands) == 1)
    here.loop.settle()
    assert here.open == 1 and here.service.gateway.request_log.attempts == 1
    client.sendall(PING)  # the end stands behind bytes, so one turn does not bring it
    client.close()
    end_stands(side)
    here.loop.now += 0.1  # more than the further attempt waits, and less than it needs to be in time
    here.loop.settle()
    assert not here.open and here.service.gateway.request_log.attempts == 1 and len(here.node.commands) == 1


def test_an_answer_that_is_read_before_the_end_of_a_client_in_a_long_turn_sends_nothing_of_it_on(shop):
    """Guards against ends that are read behind other things in a turn that began late."""
    here = shop(lambda words: b"-ERR failed\r\n" if words[2] == b"%016x" % 1 else None)
    client, side = here.client()
    other, _ = here.client()
    here.say(other, read(2, d=60_000))
    here.loop.until(lambda: len(here.node.commands) == 1)
    here.say(client, read(1, d=60_000))
    here.loop.until(lambda: len(here.node.commands) == 2)
    here.loop.settle()
    assert here.service.gateway.request_log.attempts == 2
    client.close()
    end_stands(side)
    here.loop.now += 0.1
    # As in a turn that took long before it came to the node's answer, and has not come to the end so far.
    here.service.gateway._pull()
    assert here.service.gateway.request_log.attempts == 2
    here.loop.settle()
    assert here.service.gateway.request_log.attempts == 2 and here.open == 1


class Slow:
    """A part of the loop's turn that takes long: it is read like a connection, and then the clock has moved on."""

    def __init__(self, loop, seconds):
        self.loop, self.seconds = loop, seconds
        self.ours, self.theirs = socket.socketpair()
        loop.addReader(self)

    def fileno(self):
        return self.ours.fileno()

    def logPrefix(self):
        return "slow"

    def doRead(self):
        self.ours.recv(1)
        self.loop.now += self.seconds

    def connectionLost(self, reason=None):
        self.ours.close()
        self.theirs.close()


@pytest.mark.parametrize("before", [b"", read(1, d=60_000)])
def test_a_long_turn_in_which_no_timer_is_due_sends_nothing_on_of_a_client_that_left(shop, before):
    """Guards against a request that is read in a turn that took long so far, its client's end in the next one.

    Another request of the client may be open: its due timer is far.
    """
    here = shop(lambda words: None, **{"Classes.0.Aim": "2000"})
    slow = Slow(here.loop, 0.15)
    client, side = here.client()
    here.say(client, before)
    here.loop.settle()
    sent = here.service.gateway.request_log.attempts
    assert sent == bool(before)
    assert here.service.gateway.scheduler.next_due() > (here.loop.now + 0.2) * SECOND  # no timer sees to it
    slow.theirs.send(b"x")
    client.sendall(read(2, d=60_000))
    client.close()
    end_stands(side)
    here.loop.settle()
    assert here.service.gateway.request_log.attempts == sent and not here.open


def test_an_attempt_that_waits_for_its_connection_is_not_written_for_a_client_that_left_in_a_long_turn(shop):
    """Guards against a connection that is seen to be open before the end of the client is read."""
    here = shop(lambda words: None, **{"Classes.0.Aim": "2000"})
    client, side = here.client()
    client.sendall(read(1, d=60_000))
    stands(side.transport.fileno(), select.POLLIN)
    here.loop.turn()
    dispatcher = here.service.gateway.nodes
    here.loop.runUntilCurrent()  # the dial begins, and its connection is open in the system at once
    assert here.service.gateway.request_log.attempts == 1 and dispatcher.dials.in_progress
    client.sendall(PING)  # the end stands behind bytes, so one turn does not bring it
    client.close()
    end_stands(side)
    here.loop.now += 0.15
    here.loop.doIteration(0)
    here.loop.settle()
    assert not here.node.commands and not here.open


def test_an_attempt_that_waits_is_written_after_a_long_turn_if_its_client_stays(shop):
    here = shop(**{"Classes.0.Aim": "2000"})
    client, side = here.client()
    client.sendall(read(1, d=60_000))
    stands(side.transport.fileno(), select.POLLIN)
    here.loop.turn()
    assert here.service.gateway.nodes.dials.in_progress
    here.loop.now += 0.15
    here.loop.until(lambda: not here.open)
    here.loop.settle()
    assert readable(client) == value(1)


def test_a_short_turn_sends_a_request_at_once(shop):
    here = shop(lambda words: None)
    slow = Slow(here.loop, 0.02)
    client, side = here.client()
    here.loop.settle()
    slow.theirs.send(b"x")
    client.sendall(read(1, d=60_000))
    stands(side.transport.fileno(), select.POLLIN)
    here.loop.turn()
    assert here.service.gateway.request_log.attempts == 1


def test_what_may_stand_unread_is_as_old_as_the_third_last_poll_that_came_back_at_once():
    turns = PollHistory()
    for at in range(1, 9):
        turns.polled(at * 10, at * 10, True)
    assert turns.unread_since() == (9 - POLLS_UNTIL_READ) * 10
    turns.polled(100, 100 + MIN_WAIT, False)  # it may have been kept from running
    assert turns.unread_since() < 100
    turns.polled(200, 201 + MIN_WAIT, True)
    assert turns.unread_since() == 201 + MIN_WAIT


def test_a_long_turn_keeps_back_nothing_of_clients_that_stay(shop):
    here = shop(lambda words: b"-ERR failed\r\n" if len(here.node.commands) == 1 else good(words))
    client, _ = here.client()
    here.say(client, read(1, d=60_000))
    here.loop.until(lambda: len(here.node.commands) == 1)
    here.loop.settle()
    here.loop.now += 0.05
    here.loop.until(lambda: not here.open)
    here.loop.settle()
    assert readable(client) == value(1)


@pytest.mark.parametrize("end", [b"-ERR failed\r\n", b"-BUSY\r\n", b"nonsense\r\n", None])
def test_an_attempt_that_went_whole_before_its_client_left_leads_to_no_further_one(end):
    shop = Shop(reply=lambda words: None)
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


def test_requests_of_a_client_that_left_do_not_take_each_others_place():
    """Guards against a waiting request that begins because another one of the same departure is reported first."""
    shop = Shop(reply=lambda words: None)
    ledger = shop.service.gateway.request_log
    client = shop.client()
    client.say(b"".join(read(i, d=60_000) for i in range(1, 33)))
    while not ledger.open:
        shop.run(0.00001)
    begun = ledger.attempts
    assert begun and ledger.open == 32 and not shop.node.commands  # connections are not up yet
    next(iter(shop.service.server.connections)).transport.abortConnection()
    shop.run(1)
    assert ledger.attempts == begun and not ledger.open and not shop.node.commands


def test_an_id_belongs_to_the_request_that_holds_it_now():
    """Guards against the end of a connection that frees the id of a request on another one."""
    shop = Shop(reply=lambda words: good(words) if words[2] == b"%016x" % 2 else None)
    first, second, third = shop.client(), shop.client(), shop.client()
    first.say(read(1, d=60_000) + read(2, d=60_000))  # the second is answered and waits behind the first
    shop.run(0.1)
    shop.node.reply = lambda words: None
    second.say(read(2, d=60_000))
    shop.run(0.1)
    assert len(shop.node.commands) == 3
    first.transport.loseConnection()
    shop.run(0.1)
    third.say(read(2, d=60_000))
    shop.run(0.1)
    assert third.got.startswith(b"-ERR open_id") and len(shop.node.commands) == 3 and not second.ended


# --- how this side ends a connection ---


def test_what_stands_unread_on_a_connection_that_is_about_to_be_closed_is_answered(shop):
    """Guards against a close over unread bytes, which resets the connection."""
    here = shop()
    client, side = here.client()
    here.say(client, PING)
    here.loop.settle()
    while here.server._idle_check_timer.getTime() < side.idle_since + server.MAX_IDLE_SECONDS:
        here.loop.now = here.server._idle_check_timer.getTime()
        here.loop.settle()
    client.sendall(read(1))
    stands(side.transport.fileno(), select.POLLIN)
    here.loop.now = (
        here.server._idle_check_timer.getTime()
    )  # the look for resting connections comes before the reading
    here.loop.until(lambda: not here.open and here.node.commands)
    here.loop.settle()
    assert readable(client) == b"+PONG\r\n" + value(1) and side.connected


def test_a_request_that_crosses_the_shutdown_sees_the_end_and_is_not_sent_on(shop):
    here = shop()
    client, side = here.client()
    here.say(client, read(1))
    here.loop.until(lambda: here.node.commands and not here.open)
    here.loop.settle()
    assert side.close_if_idle()
    here.loop.settle()
    stands(client, select.POLLRDHUP)
    here.say(client, read(2) + read(3))
    here.loop.settle()
    assert all_of(client) == value(1)  # an end, and no reset
    client.close()
    here.loop.until(lambda: not here.server.connections)
    assert len(here.node.commands) == 1 and not here.server.lingering


@pytest.mark.parametrize("late", [False, True])
def test_the_error_line_reaches_a_client_that_goes_on_sending(shop, late):
    here = shop()
    client, side = here.client()
    here.say(client, b"nonsense\r\n" + b"x" * 3 * READ)
    here.loop.settle()
    here.say(client, b"y" * READ)
    here.loop.settle()
    if late:  # it reads when its time to do so is over
        here.loop.now += LINGER_SECONDS
        here.loop.turn()
        assert not side.connected
    got = all_of(client)
    assert got.startswith(b"-ERR not_a_command") and got.count(b"\r\n") == 1


def test_a_connection_turned_away_over_unread_bytes_gets_its_line_and_an_end(shop):
    here = shop(lambda words: None, sockets=72)
    for number in range(share_descriptors(72)[0]):
        client, _ = here.client()
        here.say(client, read(number, d=60_000))
    here.loop.settle()
    late = socket.create_connection(("127.0.0.1", here.port), timeout=PATIENCE / 1000)
    here.sockets.append(late)
    late.sendall(read(99))
    here.loop.until(lambda: here.server.counts["too_many_connections"])
    here.loop.settle()
    got = all_of(late)
    assert got.startswith(b"-ERR too_many_connections") and got.count(b"\r\n") == 1
    late.close()
    here.loop.until(lambda: len(here.server.connections) == share_descriptors(72)[0])


def test_small_answers_are_not_held_back_by_the_system(shop):
    here = shop()
    client, side = here.client()
    assert side.transport.getTcpNoDelay()
    here.say(client, PING)
    assert side.transport.getTcpNoDelay()


def test_a_client_that_never_closes_holds_its_connection_no_longer_than_its_time(shop):
    here = shop()
    client, side = here.client()
    here.say(client, PING)
    here.loop.settle()
    assert side.close_if_idle()
    here.loop.now += LINGER_SECONDS - 0.01
    here.loop.settle()
    assert side in here.server.connections
    here.loop.now += 0.02
    here.loop.settle()
    assert not here.server.connections and all_of(client) == b"+PONG\r\n"


def test_a_slow_reader_gets_all_of_its_answers_before_the_end(shop):
    long = bytes(range(256)) * 3600
    here = shop(lambda words: b"*3\r\n" + codec.encode_bulk_string(long) + b"$-1\r\n$-1\r\n")
    client, side = here.client(buffer=4096)
    answers = here.pile(client, side)
    here.loop.settle()
    assert side.write_blocked and side.close_if_idle()
    got = b""
    for _ in range(ENDLESS):
        got += readable(client)
        if len(got) >= answers * len(codec.encode_bulk_string(long)):
            break
        here.loop.turn()
    assert got == codec.encode_bulk_string(long) * answers
    here.loop.settle()
    assert all_of(client) == b""


def test_a_reader_that_takes_nothing_is_cut_in_its_time(shop):
    long = bytes(range(256)) * 3600
    here = shop(lambda words: b"*3\r\n" + codec.encode_bulk_string(long) + b"$-1\r\n$-1\r\n")
    client, side = here.client(buffer=4096)
    here.pile(client, side)
    here.loop.settle()
    assert side.write_blocked and side.close_if_idle()
    here.loop.now += DRAIN_SECONDS
    here.loop.settle()
    assert not here.server.connections


# --- the end of the process ---

LONGEST = {"Classes.0.Deadline": "2000", "Classes.1.Deadline": "2000"}  # ms; the kill comes at 2.7 s


def leave(here, until):
    """Sends the order to leave and drives the clock to the time, in small steps."""
    start = here.loop.now
    here.service.shut_down()
    while here.loop.now < start + until:
        here.loop.now += 0.01
        here.loop.settle()


@pytest.mark.parametrize("what", [b"", PING, read(1)[:-9], PING + read(1)[:-9], b"nonsense", b"*3\r\n"])
def test_a_client_that_never_closes_does_not_hold_the_process_up_to_its_kill(shop, what):
    here = shop(**LONGEST)
    start = here.loop.now
    here.service.shut_down()
    here.loop.now = start + 2.15
    here.loop.settle()
    client, _ = here.client()
    if what:
        here.say(client, what)
    while here.loop.now < start + 2.65:
        here.loop.now += 0.01
        here.loop.settle()
    assert here.over == [1] and not here.server.connections


def test_a_client_that_keeps_sending_does_not_hold_the_process_up_to_its_kill(shop):
    here = shop(lambda words: None, **LONGEST)
    client, _ = here.client()
    start = here.loop.now
    here.service.shut_down()
    here.loop.now = start + 2.1
    number = 0
    while here.loop.now < start + 2.65 and not here.over:
        number += 1
        here.loop.now += 0.01
        try:
            here.say(client, read(number, d=60_000))
        except OSError as trouble:
            assert trouble.errno in (errno.EPIPE, errno.ECONNRESET)
        here.loop.settle()
    assert here.over == [1] and not here.server.connections


def test_a_slow_reader_with_commands_left_does_not_hold_the_process_up_to_its_kill(shop):
    long = bytes(range(256)) * 3600
    here = shop(lambda words: b"*3\r\n" + codec.encode_bulk_string(long) + b"$-1\r\n$-1\r\n", **LONGEST)
    client, side = here.client(buffer=4096)
    answers = here.pile(client, side)
    here.say(client, b"".join(read(number, d=60_000) for number in range(answers + 1, answers + 51)))
    here.loop.settle()
    assert side.pipeline.queued
    leave(here, 2.65)
    assert here.over == [1] and not here.server.connections


def test_commands_read_before_the_end_of_the_process_are_all_answered(shop):
    """Commands that wait for room when nothing is taken any more are refused, which is harmless."""
    here = shop(lambda words: None, **LONGEST)
    client, _ = here.client()
    here.say(client, b"".join(read(i, d=60_000) for i in range(1, 101)))
    here.loop.settle()
    assert here.open == 32
    leave(here, 2.65)
    got = all_of(client)
    assert here.over == [1] and got.count(b"\r\n") == 100 and got.count(b"-") == 100


def test_a_connection_that_crosses_the_order_to_close_is_served_or_ended_in_order(shop):
    here = shop(**LONGEST)
    resting, side = here.client()
    here.say(resting, PING)
    here.loop.settle()
    here.service.shut_down()
    # Its time is longer than the clock's step: what is read in a turn after a late timer is taken to have waited as long.
    resting.sendall(read(1, d=2900))
    stands(side.transport.fileno(), select.POLLIN)
    here.loop.now += 2.2  # the port is closed before the reading, and connections that rest a turn later
    here.loop.until(lambda: here.node.commands and not here.open)
    here.loop.settle()
    assert all_of(resting) == b"+PONG\r\n" + value(1)
    resting.close()
    here.loop.until(lambda: here.over)


# --- descriptors ---


def test_many_that_come_in_one_turn_stay_under_the_most_and_a_few(shop):
    here = shop(lambda words: None, sockets=72)
    most = share_descriptors(72)[0]
    crowd = []
    for _ in range(200):
        each = socket.socket()
        each.setblocking(False)
        each.connect_ex(("127.0.0.1", here.port))
        crowd.append(each)
    here.sockets += crowd
    for _ in range(30):
        here.loop.turn()
        assert len(here.server.connections) <= most + server.ACCEPT_MARGIN
    here.loop.now += 2 * LINGER_SECONDS
    here.loop.settle()
    assert len(here.server.connections) <= most
    assert here.server.counts["shut_unread"] + here.server.counts["too_many_connections"] == 200 - len(
        here.server.connections
    )


def test_connections_that_linger_are_bounded_and_make_room_first(shop):
    here = shop(sockets=72)
    most, lingering = share_descriptors(72)[0], server.MIN_LINGERING_LIMIT
    clients = [here.client() for _ in range(most)]
    for client, _ in clients:
        here.say(client, PING)
    here.loop.settle()
    for _, side in clients:
        assert side.close_if_idle()
    here.loop.settle()
    assert len(here.server.lingering) <= lingering and len(here.server.connections) <= most
    for client, _ in clients:
        assert all_of(client) == b"+PONG\r\n"  # those that were ended early had all
    for _ in range(most):
        client, side = here.client()
        here.say(client, PING)
        here.loop.settle()
        assert readable(client) == b"+PONG\r\n" and len(here.server.connections) <= most


# --- the virtual network ends connections as TCP does ---


def test_a_virtual_close_over_unread_bytes_resets_and_one_behind_them_does_not():
    for paused in (False, True):
        shop = Shop.__new__(Shop)
        network = VirtualNetwork(1)
        network.tcp = True
        node = RespNode(lambda words: b"+OK\r\n")
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


def test_a_virtual_end_waits_behind_bytes_of_one_who_has_paused_reading():
    network = VirtualNetwork(1)
    network.tcp = True
    node = RespNode(lambda words: None)
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
