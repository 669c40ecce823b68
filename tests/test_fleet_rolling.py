"""Processes of a gateway of a fleet that follow each other, on real sockets: one writer of the journal, nothing refused."""

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
    """One gateway's settings, and what its control socket says."""

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

        def meets():
            try:
                end.connect(str(self.control))
            except (FileNotFoundError, ConnectionRefusedError):
                return False  # it listens there a moment after it says that it serves
            return True

        assert self.until(meets)
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
        """Asks again until it is so; the test's own time limit ends what never comes."""
        for _ in range(LONG * 20):
            if done():
                return True
            time.sleep(0.05)
        return False


@pytest.fixture
def host(running, tmp_path):  # noqa: F811
    return Host(running, tmp_path)


class Knocks(threading.Thread):
    """Connects again and again, as clients and peers would."""

    def __init__(self, addresses):
        super().__init__()
        self.addresses, self.refused, self.made, self.over = addresses, 0, 0, threading.Event()
        self.start()

    def run(self):
        while not self.over.wait(0.005):
            for address in self.addresses:
                host, _, port = address.rpartition(":")
                try:
                    socket.create_connection((host, int(port)), timeout=LONG).close()
                    self.made += 1
                except ConnectionRefusedError:
                    self.refused += 1

    def end(self):
        self.over.set()
        self.join()
        return self.refused


def test_the_next_process_takes_sockets_and_journal_and_nothing_is_refused_or_lost(host):
    first = host.start()
    Client(first.address).serve_one()
    kept, lives = [], []
    knocks = Knocks([first.address, first.fleet])
    for turn in range(3):
        answer = host.append(turn)
        assert answer["done"]
        kept.append(turn)
        lives.append(answer["life"])
        second = host.start("--take-over")
        assert (second.address, second.fleet) == (first.address, first.fleet)
        assert first.end(0)[0] == 0  # it leaves by itself
        assert host.until(lambda: host.values() == kept)
        Client(second.address).serve_one()
        first = second
    assert knocks.end() == 0 and knocks.made > 10
    assert lives == sorted(set(lives)) and first.end(signal.SIGKILL)[0] == -signal.SIGKILL
    host.start()
    assert host.until(lambda: host.values() == kept)


def test_a_second_process_of_the_same_state_is_turned_away_and_harms_nothing(host):
    # Before: it put a new journal in place, and what the first answered after that was gone with the first.
    first = host.start()
    assert host.append(1)["done"]
    assert "another process runs with this state; end it first, or start with --take-over" in host.fails()
    assert host.append(2)["done"]
    assert first.end(signal.SIGKILL)[0] == -signal.SIGKILL
    host.start()
    assert host.until(lambda: host.values() == [1, 2])


def test_a_process_that_dies_while_it_takes_over_leaves_the_fleet_to_the_first(host):
    first = host.start()
    assert host.append(1)["done"]
    taker, file = host.talk()
    with taker, file:
        for word, answer in (
            ("accepts", "error"),
            ("release", "error"),
            ("hand over", "sockets"),
            ("accepts", "error"),
            ("release", "released"),
        ):
            taker.sendall(json.dumps({"do": word}).encode() + b"\n")
            told = json.loads(file.readline())
            assert answer in told, (word, told)
        assert "error" in host.ask(do="fleet") and "error" in host.append(2)  # the journal is the other's
        Client(first.address).serve_one()
        assert "has asked for them and is not ready yet" in host.fails("--take-over")
        taker.shutdown(socket.SHUT_RDWR)
    assert host.until(lambda: "done" in host.append(3))
    assert host.until(lambda: host.values() == [1, 3])
    socket.create_connection(tuple(first.fleet.rsplit(":", 1))).close()  # the same socket
    second = host.start("--take-over")
    assert first.end(0)[0] == 0 and host.until(lambda: host.values() == [1, 3])
    assert second.fleet == first.fleet


def test_an_older_program_takes_nothing_over_once_a_newer_form_is_in_force(host):
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
