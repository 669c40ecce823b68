"""Successive processes of one gateway of a fleet on real sockets: one process writes the journal, and no connection is
refused."""

import json
import signal
import socket
import subprocess
import threading
import time

import msgspec
import pytest
from test_sockets import LONG, Client, ochrecourse, running  # noqa: F401  (a fixture)

from ochrecourse.lab.day import gateway_record
from ochrecourse.lab.days import quiet
from ochrecourse.settings.writer import write

pytestmark = pytest.mark.long


class Host:
    """One gateway: its settings, its processes and requests to its control socket."""

    def __init__(self, running, folder):  # noqa: F811
        self.running, self.path, self.control = running, folder / "g0.cue", folder / "control"
        day = msgspec.structs.replace(quiet(), nodes=2, gateways=1)
        (folder / "day.json").write_bytes(msgspec.json.encode(day))
        nodes = running("nodes", folder / "day.json", "--wait", "--records", folder / "nodes.jsonl")
        self.record = gateway_record(day, 0, "127.0.0.1:0", nodes.address, str(folder))
        self.record["gateway"].update(control=str(self.control))
        self.settings()

    def settings(self, **fleet):
        self.path.write_text(write({**self.record, "fleet": {"name": "f", **fleet}}) + 'log: form: "json"\n')

    def start(self, *words):
        each = self.running("serve", self.path, *words)
        each.fleet = each.process.stdout.readline().decode().split()[-1] if each.address else ""
        return each

    def fails(self, *words):
        done = subprocess.run(
            ochrecourse("serve", self.path, *words), capture_output=True, text=True, timeout=LONG
        )
        assert done.returncode == 2 and not done.stdout and "Traceback" not in done.stderr
        return done.stderr

    def talk(self):
        end = socket.socket(socket.AF_UNIX)
        end.settimeout(LONG)

        def connected():
            try:
                end.connect(str(self.control))
            except (FileNotFoundError, ConnectionRefusedError):
                return False  # it listens there shortly after it reports that it serves
            return True

        assert self.until(connected)
        return end, end.makefile("rb")

    def ask(self, **line):
        end, file = self.talk()
        with end:
            end.sendall(json.dumps(line).encode() + b"\n")
            return json.loads(file.readline())

    def append(self, value):
        return self.ask(do="append", channel="c", value=value)

    def values(self):
        return [each["value"] for each in self.ask(do="read", channel="c")["entries"]]

    @staticmethod
    def until(done):
        """Polls until `done()` is true; returns False after LONG seconds."""
        for _ in range(LONG * 20):
            if done():
                return True
            time.sleep(0.05)
        return False


@pytest.fixture
def host(running, tmp_path):  # noqa: F811
    return Host(running, tmp_path)


class ConnectionProbe(threading.Thread):
    """Connects repeatedly, as clients and peers do, and counts refused connections."""

    def __init__(self, addresses):
        super().__init__()
        self.addresses, self.refused, self.accepted, self.stopping = addresses, 0, 0, threading.Event()
        self.start()

    def run(self):
        while not self.stopping.wait(0.005):
            for address in self.addresses:
                host, _, port = address.rpartition(":")
                try:
                    socket.create_connection((host, int(port)), timeout=LONG).close()
                    self.accepted += 1
                except ConnectionRefusedError:
                    self.refused += 1

    def end(self):
        self.stopping.set()
        self.join()
        return self.refused


def test_the_next_process_takes_over_sockets_and_journal_and_nothing_is_refused_or_lost(host):
    first = host.start()
    Client(first.address).serve_one()
    appended, incarnations = [], []
    probe = ConnectionProbe([first.address, first.fleet])
    for value in range(3):
        answer = host.append(value)
        assert answer["done"]
        appended.append(value)
        incarnations.append(answer["life"])
        second = host.start("--take-over")
        assert (second.address, second.fleet) == (first.address, first.fleet)
        assert first.end(0)[0] == 0  # it ends by itself
        assert host.until(lambda: host.values() == appended)
        Client(second.address).serve_one()
        first = second
    assert probe.end() == 0 and probe.accepted > 10
    assert incarnations == sorted(set(incarnations)) and first.end(signal.SIGKILL)[0] == -signal.SIGKILL
    host.start()
    assert host.until(lambda: host.values() == appended)


def test_a_second_process_with_the_same_state_directory_is_rejected_without_harm(host):
    # Guards against a second process that replaces the journal: appends that the first process acknowledges after that
    # would be lost with it.
    first = host.start()
    assert host.append(1)["done"]
    assert "another process runs with this state; end it first, or start with --take-over" in host.fails()
    assert host.append(2)["done"]
    assert first.end(signal.SIGKILL)[0] == -signal.SIGKILL
    host.start()
    assert host.until(lambda: host.values() == [1, 2])


def test_the_first_process_resumes_its_membership_if_its_successor_dies_during_the_takeover(host):
    first = host.start()
    assert host.append(1)["done"]
    successor, file = host.talk()
    with successor, file:
        for command, answer in (
            ("accepts", "error"),
            ("release", "error"),
            ("hand over", "sockets"),
            ("accepts", "error"),
            ("release", "released"),
        ):
            successor.sendall(json.dumps({"do": command}).encode() + b"\n")
            reply = json.loads(file.readline())
            assert answer in reply, (command, reply)
        assert "error" in host.ask(do="fleet") and "error" in host.append(2)  # the successor has the journal
        Client(first.address).serve_one()
        assert "has asked for them and is not ready yet" in host.fails("--take-over")
        successor.shutdown(socket.SHUT_RDWR)
    assert host.until(lambda: "done" in host.append(3))
    assert host.until(lambda: host.values() == [1, 3])
    socket.create_connection(tuple(first.fleet.rsplit(":", 1))).close()  # the same socket
    second = host.start("--take-over")
    assert first.end(0)[0] == 0 and host.until(lambda: host.values() == [1, 3])
    assert second.fleet == first.fleet


def test_an_older_version_cannot_take_over_once_a_newer_format_version_is_in_force(host):
    first = host.start()
    assert host.until(lambda: host.ask(do="form")["waits"] == "")
    assert host.ask(do="form", form=2)["done"]
    journal = host.path.with_name("g0.log")
    assert host.until(lambda: journal.read_bytes().startswith(b"ochrecourse fleet-log 2\n"))
    host.settings(newest_form=1)
    for words in ((), ("--take-over",)):
        assert "a newer program keeps it; start that one" in host.fails(*words) or not words
    assert host.append(1)["done"] and host.ask(do="form")["in_force"] == 2
    assert first.end()[0] == 0
    assert "a newer program keeps it; start that one" in host.fails()
    host.settings()
    host.start()
    assert host.until(lambda: host.values() == [1])
