"""Listening sockets handed to the next process: who may, what each step needs, and a rolling restart on real sockets."""

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time

import pytest
from test_sockets import LONG, Client, gateway, ochrecourse, running  # noqa: F401  (fixtures)

from ochrecourse.gateway.socket_handover import Handover, HandoverStep, handover_obstacle, socket_mismatch

pytestmark = pytest.mark.long
PLAIN = {"gateway": {"name": "g0", "seed": 0, "listen": "127.0.0.1:7000", "admin": ""}}


@pytest.mark.parametrize(
    ("more", "why"),
    [
        ({}, ""),
        ({"bgp": {}}, "BGP moves its traffic"),
        ({"webdav": {}}, "names and locks"),
        ({"gateway": {"seed": 5}}, "name their jobs alike"),
    ],
)
def test_what_stands_handover_obstacle_is_said(more, why):
    told = handover_obstacle({**PLAIN, **more})
    assert (why in told) if why else told == ""
    assert bool(Handover({**PLAIN, **more}).offer("taker", True)) == bool(why)


@pytest.mark.parametrize(
    ("listen", "held", "moved"),
    [
        ("127.0.0.1:7000", "127.0.0.1:7000", False), ("127.0.0.1:0", "127.0.0.1:7000", False),
        ("127.0.0.1:7001", "127.0.0.1:7000", True), ("127.0.0.2:7000", "127.0.0.1:7000", True),
        ("[::1]:7000", "::1:7000", False),
    ],
)  # fmt: skip
def test_sockets_that_the_settings_put_elsewhere_are_not_taken(listen, held, moved):
    record = {"gateway": {**PLAIN["gateway"], "listen": listen}}
    assert bool(socket_mismatch(record, {"native": held})) == moved


def test_a_socket_of_no_setting_any_more_is_no_move():
    assert not socket_mismatch(PLAIN, {"native": "127.0.0.1:7000", "admin": "127.0.0.1:9"})


def test_one_taker_at_a_time_and_each_step_once():
    handover = Handover(PLAIN)
    assert not handover.complete("a") and handover.step is HandoverStep.NONE  # it did not ask
    assert handover.offer("a", True) == "" and "not ready" in handover.offer("b", True)
    assert not handover.complete("b")
    handover.successor_lost("b")
    assert handover.step is HandoverStep.OFFERED
    handover.successor_lost("a")  # it ended before its word: as if nobody had asked
    assert handover.step is HandoverStep.NONE and not handover.complete("a")
    assert handover.offer("b", True) == "" and handover.complete("b") and not handover.complete("b")
    handover.successor_lost("b")
    assert handover.step is HandoverStep.GIVEN and "leaving" in handover.offer("c", True)


def test_of_a_fleet_the_journal_goes_before_the_sockets_and_comes_back_if_the_taker_ends():
    handover = Handover({**PLAIN, "fleet": {"listen": "127.0.0.1:0"}})
    assert not handover.release("a")
    assert handover.offer("a", True) == "" and not handover.complete("a")  # it has not got the journal
    assert not handover.release("b") and handover.release("a") and not handover.release("a")
    assert handover.step is HandoverStep.RELEASED and "not ready" in handover.offer("b", True)
    assert (
        not handover.successor_lost("b")
        and handover.successor_lost("a")
        and handover.step is HandoverStep.NONE
    )
    assert handover.offer("b", True) == "" and not handover.successor_lost(
        "b"
    )  # it had not got the journal yet
    assert handover.offer("b", True) == "" and handover.release("b") and handover.complete("b")
    assert not handover.successor_lost("b") and handover.step is HandoverStep.GIVEN


def test_a_gateway_that_leaves_gives_nothing():
    assert "leaving" in Handover(PLAIN).offer("a", False)


def members(path):
    done = subprocess.run(
        ochrecourse("members", "show", path, "--json"), capture_output=True, text=True, timeout=LONG
    )
    return json.loads(done.stdout)


def test_process_that_can_not_take_over_ends_and_the_running_one_goes_on(gateway, running, tmp_path):  # noqa: F811
    control = tmp_path / "control"
    first = gateway(control=str(control), seed=7)
    Client(first.address).serve_one()

    def refused():
        words = ochrecourse("serve", gateway.path, "--take-over")
        done = subprocess.run(words, capture_output=True, text=True, timeout=LONG)
        assert "Traceback" not in done.stderr and not done.stdout
        return done.returncode, done.stderr

    code, said = refused()
    assert code == 2 and "nothing was taken over" in said and "gateway.seed is set" in said
    Client(first.address).serve_one()
    text = gateway.path.read_text()
    gateway.path.write_text(text.replace(str(control), ""))
    assert refused()[0] == 1
    gateway.path.write_text(text.replace(str(control), str(tmp_path / "nobody")))
    code, said = refused()
    assert code == 2 and "no gateway answers there" in said
    Client(first.address).serve_one()
    assert first.end()[0] == 0


def test_control_socket_is_there_before_the_first_line_says_where_it_listens(gateway, tmp_path):  # noqa: F811
    # Guards against who reads the first line, asks, and finds no control socket: the whole fleet's tests once did.
    path = tmp_path / "control"
    first = gateway(control=str(path))  # for its settings
    assert first.end()[0] == 0 and not path.exists()
    reads, writes = os.pipe()
    os.set_blocking(writes, False)
    full = 0
    with contextlib.suppress(BlockingIOError):  # until its lines have no room left
        while True:
            full += os.write(writes, b"\n" * 4096)
    os.set_blocking(writes, True)
    second = subprocess.Popen(ochrecourse("serve", gateway.path), stdout=writes, stderr=subprocess.DEVNULL)
    os.close(writes)
    try:
        end = time.monotonic() + LONG
        while not path.exists():
            assert second.poll() is None and time.monotonic() < end, (
                "no control socket while the first line waits"
            )
            time.sleep(0.02)
        with open(reads, "rb") as told:
            assert told.read(full) == b"\n" * full
            assert told.readline().startswith(b"listening ")
            second.send_signal(signal.SIGTERM)
            assert second.wait(LONG) == 0
    finally:
        second.kill()
        second.wait()


def test_settings_that_moved_are_not_taken_over(gateway, running, tmp_path):  # noqa: F811
    first = gateway(control=str(tmp_path / "control"))
    Client(first.address).serve_one()
    with socket.create_server(("127.0.0.1", 0)) as other:
        at = f"127.0.0.1:{other.getsockname()[1]}"
    gateway.path.write_text(gateway.path.read_text().replace('listen: "127.0.0.1:0"', f'listen: "{at}"'))
    done = subprocess.run(
        ochrecourse("serve", gateway.path, "--take-over"), capture_output=True, text=True, timeout=LONG
    )
    assert done.returncode == 2 and "a move needs a restart" in done.stderr and "Traceback" not in done.stderr
    Client(first.address).serve_one()
    assert first.end(signal.SIGTERM)[0] == 0


def test_process_that_holds_the_sockets_serves_though_the_first_one_died_meanwhile(
    gateway,  # noqa: F811
    running,  # noqa: F811
    tmp_path,
):
    # Guards against nobody at all: the sockets are here, so the end of who gave them is no reason to end too.
    path = tmp_path / "control"
    first = gateway(control=str(path))  # for its settings and the list that it keeps
    Client(first.address).serve_one()
    assert first.end(signal.SIGKILL)[0] == -signal.SIGKILL
    path.unlink()
    (tmp_path / "g0.nodes").unlink()  # so that it must wait for the list, and the end comes first
    with socket.create_server(("127.0.0.1", 0)) as held, socket.socket(socket.AF_UNIX) as control:
        at = f"127.0.0.1:{held.getsockname()[1]}"
        control.bind(str(path))
        control.listen()

        def give():
            taker, _ = control.accept()
            with taker:
                assert json.loads(taker.makefile("rb").readline()) == {"do": "hand over"}
                socket.send_fds(taker, [b'{"sockets": ["native"]}\n'], [held.fileno()])

        giving = threading.Thread(target=give)
        giving.start()
        second = running("serve", gateway.path, "--take-over")
        giving.join()
    assert second.address == at
    Client(second.address).serve_one()
    assert second.end()[0] == 0 and os.path.exists(path) is False


@pytest.mark.parametrize(
    ("gives", "why"), [(False, "no answer came from the running gateway"), (True, "no list of nodes came")]
)
def test_process_that_waits_in_vain_ends_in_one_sentence(gateway, tmp_path, gives, why):  # noqa: F811
    path = tmp_path / "control"
    first = gateway(control=str(path))  # for its settings
    assert first.end(signal.SIGKILL)[0] == -signal.SIGKILL
    for left in (path, tmp_path / "g0.nodes"):
        left.unlink(missing_ok=True)
    gateway.path.write_text(gateway.path.read_text().replace(gateway.nodes.address, "127.0.0.1:1"))
    soon = "from ochrecourse.cli import handover, main; handover.TAKEOVER_TIMEOUT_S = 0.5; main.main()"
    with socket.create_server(("127.0.0.1", 0)) as held, socket.socket(socket.AF_UNIX) as control:
        control.bind(str(path))
        control.listen()
        words = [sys.executable, "-c", soon, "serve", str(gateway.path), "--take-over"]
        second = subprocess.Popen(words, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)
        taker, _ = control.accept()
        with taker:
            if gives:
                socket.send_fds(taker, [b'{"sockets": ["native"]}\n'], [held.fileno()])
            said, errors = second.communicate(timeout=LONG)
    assert second.returncode == 2 and why in errors and not said and "Traceback" not in errors
