"""The control socket while an append is pending on disk."""

import json
from types import SimpleNamespace

import pytest
from test_fleet_part import GOOD
from twisted.internet.testing import StringTransport

from ochrecourse.cli.control_server import ControlServer
from ochrecourse.cli.handover import ListeningSockets
from ochrecourse.fleet.entries import Entry, Timestamp
from ochrecourse.fleet.log_store import AppendResult
from ochrecourse.gateway.daemon import Daemon
from ochrecourse.gateway.daemon_parts import HostProgram
from ochrecourse.lab.virtual import VirtualNetwork
from ochrecourse.settings.load import resolve
from ochrecourse.storage.journal import JournalError
from ochrecourse.storage.process_lock import ProcessLock


class FakeMember:
    """A member whose appends complete when the test calls their callbacks."""

    def __init__(self):
        self.callbacks = []

    def request_append(self, channel, value, on_result):
        self.callbacks.append(on_result)

    def report(self):
        return {"fleet": "f"}


@pytest.fixture
def connection():
    network = VirtualNetwork(1)
    daemon = SimpleNamespace(record=resolve(GOOD, "g.cue"), fleet_member=FakeMember())
    protocol = ControlServer(network, daemon, ListeningSockets(network)).buildProtocol(None)
    protocol.makeConnection(StringTransport())
    protocol.request = lambda *lines: protocol.dataReceived(
        b"".join(json.dumps(line).encode() + b"\n" for line in lines)
    )
    protocol.answers = lambda: [json.loads(line) for line in protocol.transport.value().splitlines()]
    protocol.member = daemon.fleet_member
    return protocol


def entry(seq):
    return Entry("c", "g0", 1, seq, Timestamp(1, 0), (), b"1")


def test_answers_keep_the_order_of_requests_while_an_append_is_pending_on_disk(connection):
    """Guards against answers out of order, which a client would assign to the wrong request."""
    append = {"do": "append", "channel": "c", "value": 1}
    connection.request(append, {"do": "fleet"}, append, {"do": "nothing"})
    assert not connection.answers() and len(connection.member.callbacks) == 1
    connection.member.callbacks[0](AppendResult(entry(1)))
    assert [each.get("seq", each.get("fleet")) for each in connection.answers()] == [1, "f"]
    connection.member.callbacks[1](AppendResult(error=OSError(5, "Input/output error")))
    assert (
        connection.answers()[2] == {"error": "[Errno 5] Input/output error"}
        and "error" in connection.answers()[3]
    )
    connection.request({"do": "fleet"})
    assert connection.answers()[4] == {"fleet": "f"}


def test_a_completed_append_sends_no_answer_on_a_closed_connection(connection):
    connection.request({"do": "append", "channel": "c", "value": 1})
    connection.connectionLost()
    connection.member.callbacks[0](AppendResult(entry(1)))
    assert not connection.answers()


def test_a_member_resumed_while_its_journal_is_being_released_keeps_the_process_lock(tmp_path):
    """Guards against the late release of a lock by a process that has resumed its membership in the meantime."""
    record = resolve(GOOD.replace('name: "g0"', f'name: "g0", state: "{tmp_path}"', 1), "g.cue")
    daemon = Daemon(record, HostProgram(VirtualNetwork(1), [], lambda note: None, lambda: None))
    member, release_callbacks = daemon.fleet_member, []
    member.give = release_callbacks.append  # the disk is slow
    daemon.release_fleet()
    daemon.fleet_member = member  # the next process has ended, and this one resumes its membership
    release_callbacks[0]()
    with pytest.raises(JournalError, match="another process runs with this state"):
        ProcessLock(daemon.process_lock.path).acquire()
