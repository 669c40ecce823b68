"""Handover of the listening sockets to a successor: its conditions, its steps, and real processes on sockets."""

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
SETTINGS = {"gateway": {"name": "g0", "seed": 0, "listen": "127.0.0.1:7000", "admin": ""}}


@pytest.mark.parametrize(
    ("more", "why"),
    [
        ({}, ""),
        ({"bgp": {}}, "BGP moves its traffic"),
        ({"webdav": {}}, "names and locks"),
        ({"gateway": {"seed": 5}}, "name their jobs alike"),
    ],
)
def test_handover_obstacle_names_the_setting_that_prevents_a_handover(more, why):
    obstacle = handover_obstacle({**SETTINGS, **more})
    assert (why in obstacle) if why else obstacle == ""
    assert bool(Handover({**SETTINGS, **more}).offer("successor", True)) == bool(why)


@pytest.mark.parametrize(
    ("listen", "inherited", "moved"),
    [
        ("127.0.0.1:7000", "127.0.0.1:7000", False), ("127.0.0.1:0", "127.0.0.1:7000", False),
        ("127.0.0.1:7001", "127.0.0.1:7000", True), ("127.0.0.2:7000", "127.0.0.1:7000", True),
        ("[::1]:7000", "::1:7000", False),
    ],
)  # fmt: skip
def test_sockets_at_other_addresses_than_the_settings_are_not_taken_over(listen, inherited, moved):
    record = {"gateway": {**SETTINGS["gateway"], "listen": listen}}
    assert bool(socket_mismatch(record, {"native": inherited})) == moved


def test_a_socket_that_the_settings_no_longer_have_is_no_mismatch():
    assert not socket_mismatch(SETTINGS, {"native": "127.0.0.1:7000", "admin": "127.0.0.1:9"})


def test_one_successor_at_a_time_and_each_step_once():
    handover = Handover(SETTINGS)
    assert not handover.complete("a") and handover.step is HandoverStep.NONE  # it did not ask
    assert handover.offer("a", True) == "" and "not ready" in handover.offer("b", True)
    assert not handover.complete("b")
    handover.successor_lost("b")
    assert handover.step is HandoverStep.OFFERED
    handover.successor_lost("a")  # it ended before it accepted: the handover is undone
    assert handover.step is HandoverStep.NONE and not handover.complete("a")
    assert handover.offer("b", True) == "" and handover.complete("b") and not handover.complete("b")
    handover.successor_lost("b")
    assert handover.step is HandoverStep.GIVEN and "leaving" in handover.offer("c", True)


def test_fleet_journal_is_released_before_the_sockets_and_returns_if_the_successor_ends():
    handover = Handover({**SETTINGS, "fleet": {"listen": "127.0.0.1:0"}})
    assert not handover.release("a")
    assert handover.offer("a", True) == "" and not handover.complete("a")  # the journal is not released to it
    assert not handover.release("b") and handover.release("a") and not handover.release("a")
    assert handover.step is HandoverStep.RELEASED and "not ready" in handover.offer("b", True)
    assert (
        not handover.successor_lost("b")
        and handover.successor_lost("a")
        and handover.step is HandoverStep.NONE
    )
    assert handover.offer("b", True) == "" and not handover.successor_lost(
        "b"
    )  # the journal was not released to it yet
    assert handover.offer("b", True) == "" and handover.release("b") and handover.complete("b")
    assert not handover.successor_lost("b") and handover.step is HandoverStep.GIVEN


def test_a_gateway_that_drains_hands_over_nothing():
    assert "leaving" in Handover(SETTINGS).offer("a", False)


def members(path):
    """The JSON report of `members show` of the gateway with this control socket."""
    done = subprocess.run(
        ochrecourse("members", "show", path, "--json"), capture_output=True, text=True, timeout=LONG
    )
    return json.loads(done.stdout)


def test_process_that_can_not_take_over_ends_and_the_running_one_continues(gateway, running, tmp_path):  # noqa: F811
    control = tmp_path / "control"
    first = gateway(control=str(control), seed=7)
    Client(first.address).serve_one()

    def failed_takeover():
        command = ochrecourse("serve", gateway.path, "--take-over")
        done = subprocess.run(command, capture_output=True, text=True, timeout=LONG)
        assert "Traceback" not in done.stderr and not done.stdout
        return done.returncode, done.stderr

    code, errors = failed_takeover()
    assert code == 2 and "nothing was taken over" in errors and "gateway.seed is set" in errors
    Client(first.address).serve_one()
    text = gateway.path.read_text()
    gateway.path.write_text(text.replace(str(control), ""))
    assert failed_takeover()[0] == 1
    gateway.path.write_text(text.replace(str(control), str(tmp_path / "nobody")))
    code, errors = failed_takeover()
    assert code == 2 and "no gateway answers there" in errors
    Client(first.address).serve_one()
    assert first.end()[0] == 0


def test_control_socket_exists_before_the_first_line_names_the_address(gateway, tmp_path):  # noqa: F811
    # Guards against a client that reads the first line and finds no control socket yet, as tests of the fleet once did.
    path = tmp_path / "control"
    first = gateway(control=str(path))  # for its settings
    assert first.end()[0] == 0 and not path.exists()
    reads, writes = os.pipe()
    os.set_blocking(writes, False)
    full = 0
    with contextlib.suppress(
        BlockingIOError
    ):  # until the pipe is full, so that the process blocks at its first line
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
        with open(reads, "rb") as output:
            assert output.read(full) == b"\n" * full
            assert output.readline().startswith(b"listening ")
            second.send_signal(signal.SIGTERM)
            assert second.wait(LONG) == 0
    finally:
        second.kill()
        second.wait()


def test_takeover_fails_if_the_listen_address_has_changed(gateway, running, tmp_path):  # noqa: F811
    first = gateway(control=str(tmp_path / "control"))
    Client(first.address).serve_one()
    with socket.create_server(("127.0.0.1", 0)) as other:
        address = f"127.0.0.1:{other.getsockname()[1]}"
    gateway.path.write_text(gateway.path.read_text().replace('listen: "127.0.0.1:0"', f'listen: "{address}"'))
    done = subprocess.run(
        ochrecourse("serve", gateway.path, "--take-over"), capture_output=True, text=True, timeout=LONG
    )
    assert done.returncode == 2 and "a move needs a restart" in done.stderr and "Traceback" not in done.stderr
    Client(first.address).serve_one()
    assert first.end(signal.SIGTERM)[0] == 0


def test_successor_with_the_sockets_serves_though_the_first_process_was_killed(
    gateway,  # noqa: F811
    running,  # noqa: F811
    tmp_path,
):
    # Guards against a successor that ends, because its predecessor did, when it is the only one with the sockets.
    path = tmp_path / "control"
    first = gateway(control=str(path))  # for its settings and the endpoint list that it stores
    Client(first.address).serve_one()
    assert first.end(signal.SIGKILL)[0] == -signal.SIGKILL
    path.unlink()
    (tmp_path / "g0.nodes").unlink()  # so that it must wait for the list, and the connection ends first
    with socket.create_server(("127.0.0.1", 0)) as listening, socket.socket(socket.AF_UNIX) as control:
        address = f"127.0.0.1:{listening.getsockname()[1]}"
        control.bind(str(path))
        control.listen()

        def hand_over():
            successor, _ = control.accept()
            with successor:
                assert json.loads(successor.makefile("rb").readline()) == {"do": "hand over"}
                socket.send_fds(successor, [b'{"sockets": ["native"]}\n'], [listening.fileno()])

        handover_thread = threading.Thread(target=hand_over)
        handover_thread.start()
        second = running("serve", gateway.path, "--take-over")
        handover_thread.join()
    assert second.address == address
    Client(second.address).serve_one()
    assert second.end()[0] == 0 and os.path.exists(path) is False


@pytest.mark.parametrize(
    ("hands_over", "why"),
    [(False, "no answer came from the running gateway"), (True, "no list of nodes came")],
)
def test_successor_that_times_out_ends_with_one_sentence(gateway, tmp_path, hands_over, why):  # noqa: F811
    path = tmp_path / "control"
    first = gateway(control=str(path))  # for its settings
    assert first.end(signal.SIGKILL)[0] == -signal.SIGKILL
    for leftover in (path, tmp_path / "g0.nodes"):
        leftover.unlink(missing_ok=True)
    gateway.path.write_text(gateway.path.read_text().replace(gateway.nodes.address, "127.0.0.1:1"))
    short_timeout = (
        "from ochrecourse.cli import handover, main; handover.TAKEOVER_TIMEOUT_S = 0.5; main.main()"
    )
    with socket.create_server(("127.0.0.1", 0)) as listening, socket.socket(socket.AF_UNIX) as control:
        control.bind(str(path))
        control.listen()
        command = [sys.executable, "-c", short_timeout, "serve", str(gateway.path), "--take-over"]
        second = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)
        successor, _ = control.accept()
        with successor:
            if hands_over:
                socket.send_fds(successor, [b'{"sockets": ["native"]}\n'], [listening.fileno()])
            output, errors = second.communicate(timeout=LONG)
    assert second.returncode == 2 and why in errors and not output and "Traceback" not in errors
