"""A start while the predecessor process, which was just killed, still has the lock of its state or its port."""

import errno
import signal
import socket
import subprocess
import threading

import pytest
from relay_process import RelayProcess, send_and_receive
from test_fleet_rolling import Host
from test_service import PING, read, value
from test_sockets import LONG, Client, ochrecourse, running  # noqa: F401  (a fixture)

from ochrecourse.common.predecessor import PREDECESSOR_TIMEOUT_S, PredecessorWait, is_port_in_use
from ochrecourse.storage.process_lock import ProcessLock, StateLockedError

TEARDOWN_S = 1.0  # until the predecessor releases its lock


class SimulatedWait:
    """A wait with a simulated clock; the predecessor keeps its lock until `free_at`, in s."""

    def __init__(self, free_at, cancelled_at=float("inf")):
        self.now, self.free_at, self.lines = 100.0, 100.0 + free_at, []
        self.wait = PredecessorWait(
            self.lines.append,
            lambda: self.now >= 100.0 + cancelled_at,
            monotonic=lambda: self.now,
            sleep=self.sleep,
        )

    def sleep(self, seconds):
        self.now += seconds

    def attempt(self):
        if self.now < self.free_at:
            raise StateLockedError("held")
        return "started"

    def until(self):
        return self.wait.until(self.attempt, lambda error: isinstance(error, StateLockedError))


def test_a_start_waits_for_a_killed_process_and_logs_it_once():
    # Guards against exit code 2 of a start right after kill -9.
    waiting = SimulatedWait(free_at=PREDECESSOR_TIMEOUT_S - 0.1)
    assert waiting.until() == "started" and len(waiting.lines) == 1 and "held" in waiting.lines[0]
    waiting = SimulatedWait(free_at=0)
    assert waiting.until() == "started" and not waiting.lines


def test_one_limit_bounds_all_waits_of_a_start():
    waiting = SimulatedWait(free_at=PREDECESSOR_TIMEOUT_S + 1)
    with pytest.raises(StateLockedError):
        waiting.until()
    assert PREDECESSOR_TIMEOUT_S <= waiting.now - 100 < PREDECESSOR_TIMEOUT_S + 0.1
    ended_at = waiting.now
    with pytest.raises(StateLockedError):
        waiting.until()
    assert waiting.now == ended_at and len(waiting.lines) == 1


def test_other_failures_and_a_termination_request_end_the_wait():
    waiting = SimulatedWait(free_at=3, cancelled_at=1)
    with pytest.raises(StateLockedError):
        waiting.until()
    assert 1 <= waiting.now - 100 < 1.1
    waiting = SimulatedWait(free_at=3)
    with pytest.raises(StateLockedError):
        waiting.wait.until(waiting.attempt, is_port_in_use)
    assert waiting.now == 100 and not waiting.lines


def test_only_a_port_that_another_socket_uses_counts_as_in_use():
    in_use, not_permitted = OSError(errno.EADDRINUSE, "in use"), OSError(errno.EACCES, "not allowed")
    for error, expected in ((in_use, True), (not_permitted, False)):
        failure = Exception()
        failure.socketError = error
        assert is_port_in_use(failure) is expected
    assert not is_port_in_use(in_use)


@pytest.fixture
def host(running, tmp_path):  # noqa: F811
    return Host(running, tmp_path)


def occupy_port():
    holder = socket.create_server(("127.0.0.1", 0), backlog=1)
    return holder, "{}:{}".format(*holder.getsockname())


@pytest.mark.parametrize("held", ["lock", "port", "both"])
def test_serve_starts_once_a_predecessor_has_ended_a_second_later(host, tmp_path, held):
    # Guards against "another process runs with this state" and "cannot listen" right after kill -9.
    lock = ProcessLock(tmp_path / "g0.lock")
    holder, address = occupy_port()
    host.record["gateway"]["listen"] = address
    host.settings()
    if held != "port":
        lock.acquire()
    if held == "lock":
        holder.close()
    ends = [threading.Timer(TEARDOWN_S, lock.release), threading.Timer(1.5 * TEARDOWN_S, holder.close)]
    with subprocess.Popen(
        ochrecourse("serve", host.path), stdout=subprocess.PIPE, stderr=subprocess.PIPE
    ) as process:
        # Only now does the predecessor's remaining second begin.
        assert b"waits up to" in process.stderr.readline()
        for each in ends:
            each.start()
        assert process.stdout.readline().decode() == f"listening {address}\n"
        Client(address).serve_one()
        process.send_signal(signal.SIGTERM)
        _, errors = process.communicate(timeout=LONG)
        assert process.returncode == 0 and b"waits up to" not in errors


def test_sigterm_while_serve_waits_ends_it_with_code_0(host, tmp_path):
    lock = ProcessLock(tmp_path / "g0.lock")
    lock.acquire()
    host.settings()
    process = subprocess.Popen(ochrecourse("serve", host.path), stderr=subprocess.PIPE)
    with process:
        assert b"waits up to" in process.stderr.readline()
        process.send_signal(signal.SIGTERM)
        assert process.wait(timeout=LONG) == 0 and b"Traceback" not in process.stderr.read()
    lock.release()


def test_the_platforms_program_starts_once_its_port_is_free(tmp_path):
    # Guards against "cannot listen" of a gateway started right after kill -9.
    holder, address = occupy_port()
    with RelayProcess(tmp_path, listen=address) as relay:
        assert "Address already in use" in relay.wait_for_line("waits up to")
        holder.close()
        port = relay.port()
        with relay.connect(port) as client:
            assert send_and_receive(client, PING + read(1), b"+PONG\r\n" + value(1)) == b"+PONG\r\n" + value(
                1
            )
        relay.send()
        assert relay.wait_for_exit() == 0 and not any("Traceback" in line for line in relay.log_lines)


def test_the_platforms_program_stops_waiting_for_its_port_on_sigterm(tmp_path):
    holder, address = occupy_port()
    with holder, RelayProcess(tmp_path, listen=address) as relay:
        relay.wait_for_line("waits up to")
        relay.send()
        assert relay.wait_for_exit() == 0 and any("told to end" in line for line in relay.log_lines)


def test_a_port_that_stays_in_use_is_reported_in_one_line(tmp_path):
    holder, address = occupy_port()
    with holder, RelayProcess(tmp_path, listen=address) as relay:
        assert relay.wait_for_exit() == 2
        assert sum("cannot listen" in line for line in relay.log_lines) == 1
