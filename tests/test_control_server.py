"""The control socket while an append waits for the disk."""

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


class Member:
    """A member whose appends end when the test says so."""

    def __init__(self):
        self.results = []

    def request_append(self, channel, value, on_result):
        self.results.append(on_result)

    def report(self):
        return {"fleet": "f"}


@pytest.fixture
def connection():
    network = VirtualNetwork(1)
    daemon = SimpleNamespace(record=resolve(GOOD, "g.cue"), fleet_member=Member())
    made = ControlServer(network, daemon, ListeningSockets(network)).buildProtocol(None)
    made.makeConnection(StringTransport())
    made.ask = lambda *lines: made.dataReceived(b"".join(json.dumps(line).encode() + b"\n" for line in lines))
    made.told = lambda: [json.loads(line) for line in made.transport.value().splitlines()]
    made.member = daemon.fleet_member
    return made


def entry(seq):
    return Entry("c", "g0", 1, seq, Timestamp(1, 0), (), b"1")


def test_answers_come_in_the_order_of_their_lines_though_an_append_waits_for_the_disk(connection):
    """Guards against an answer that a client takes for that of the line before."""
    append = {"do": "append", "channel": "c", "value": 1}
    connection.ask(append, {"do": "fleet"}, append, {"do": "nothing"})
    assert not connection.told() and len(connection.member.results) == 1
    connection.member.results[0](AppendResult(entry(1)))
    assert [each.get("seq", each.get("fleet")) for each in connection.told()] == [1, "f"]
    connection.member.results[1](AppendResult(error=OSError(5, "Input/output error")))
    assert (
        connection.told()[2] == {"error": "[Errno 5] Input/output error"} and "error" in connection.told()[3]
    )
    connection.ask({"do": "fleet"})
    assert connection.told()[4] == {"fleet": "f"}


def test_an_append_whose_asker_has_gone_ends_without_a_word(connection):
    connection.ask({"do": "append", "channel": "c", "value": 1})
    connection.connectionLost()
    connection.member.results[0](AppendResult(entry(1)))
    assert not connection.told()


def test_a_place_taken_back_while_the_journal_is_still_given_up_keeps_its_lock(tmp_path):
    """Guards against a lock that is released after all, though the process has taken its place back meanwhile."""
    record = resolve(GOOD.replace('name: "g0"', f'name: "g0", state: "{tmp_path}"', 1), "g.cue")
    daemon = Daemon(record, HostProgram(VirtualNetwork(1), [], lambda note: None, lambda: None))
    member, given = daemon.fleet_member, []
    member.give = given.append  # the disk is slow
    daemon.release_fleet()
    daemon.fleet_member = member  # the next process ended, and this one took its place again
    given[0]()
    with pytest.raises(JournalError, match="another process runs with this state"):
        ProcessLock(daemon.process_lock.path).acquire()
