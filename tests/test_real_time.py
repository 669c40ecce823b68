"""Tests that depend on the machine's clock, on real sockets: run one at a time by one worker (see conftest)."""

import json
import signal
import subprocess
import sys
import threading
import time

import msgspec
import pytest
from test_alike import FILE
from test_handover import members
from test_sockets import LONG, Client, announced, gateway, ochrecourse, running  # noqa: F401  (fixtures)

from ochrecourse.lab.day import Trouble
from ochrecourse.lab.days import quiet
from ochrecourse.lab.people import door_record
from ochrecourse.settings.writer import write
from ochrecourse.wire import messages as m

pytestmark = pytest.mark.real_time
MAX_SLEEP_DELAY = 0.05  # s: if a sleeping thread wakes up later than this, the machine was stalled


def run_in_real_time(command):
    """The result of a command that depends on real time. It is run again, twice at the most, if it failed and a
    thread that only sleeps woke up late meanwhile: then the machine was stalled, and the failure proves nothing.
    """
    for _ in range(3):
        max_delay, finished = 0.0, threading.Event()

        def measure_delays(finished=finished):
            nonlocal max_delay
            previous = time.monotonic()
            while not finished.wait(0.01):
                now = time.monotonic()
                max_delay, previous = max(max_delay, now - previous - 0.01), now

        measuring_thread = threading.Thread(target=measure_delays)
        measuring_thread.start()
        ran = subprocess.run(command, capture_output=True, text=True, timeout=LONG)
        finished.set()
        measuring_thread.join()
        if ran.returncode == 0 or max_delay < MAX_SLEEP_DELAY:
            break
    return ran


def test_a_day_on_sockets_with_a_killed_gateway_keeps_every_rule(tmp_path):
    day = msgspec.structs.replace(
        quiet(), name="short", length_s=4.0, gateways=2, nodes=4, load=0.25,
        troubles=[
            Trouble(kind="slow", at_s=0.5, len_s=1.5, part=0.25, size=4.0),
            Trouble(kind="balancer_roll", at_s=1.0, len_s=0.5, part=0.5, size=0.5, extra=0.3),
            Trouble(kind="vanish", at_s=2.0, len_s=1.0, part=0.25),
        ],
    )  # fmt: skip
    (tmp_path / "day.json").write_bytes(msgspec.json.encode(day))
    command = ochrecourse("day", "run", tmp_path / "day.json", "--json", "--keep", tmp_path / "kept")
    ran = run_in_real_time(command)
    assert ran.returncode == 0, ran.stdout + ran.stderr
    result = json.loads(ran.stdout)
    assert result["kept"] and result["troubles"] == [] and result["endings"]["fulfilled"] > 100
    # The audit accepts the stored records, and reports a broken rule if one answer is removed from them.
    records = [tmp_path / "kept" / "clients.jsonl", tmp_path / "kept" / "nodes.jsonl"]
    audit = ochrecourse("audit", *records, "--day", tmp_path / "day.json")
    assert subprocess.run(audit, capture_output=True, timeout=LONG).returncode == 0
    lines = records[0].read_bytes().splitlines(keepends=True)
    # The answer of a request that must be answered: its connection and the records last beyond its deadline.
    records_read = [json.loads(line) for line in lines]
    ends = {each["conn"]: each["t"] for each in records_read if each["r"] == "conn_lost"}
    last = max(each["t"] for each in records_read)
    deadlines = {
        (each["conn"], each["id"]): each["t"] + each["timeout"]
        for each in records_read
        if each["r"] == "asked"
    }
    removed = next(
        i for i, each in enumerate(records_read)
        if each["r"] == "told" and each["how"] == "fulfilled"
        and deadlines[each["conn"], each["id"]] < min(last, ends.get(each["conn"], last))
    )  # fmt: skip
    records[0].write_bytes(b"".join(lines[:removed] + lines[removed + 1 :]))
    judged = subprocess.run(audit, capture_output=True, text=True, timeout=LONG)
    assert judged.returncode == 1 and "never answered" in judged.stdout


def test_a_stopped_daemon_sends_no_keepalive_and_reports_an_expired_hold_timer(announced, running):  # noqa: F811
    peer, start_gateway, _ = announced
    peer.hold_time = 3
    serving = running("serve", start_gateway.path)
    peer.establish()
    peer.receive_until(2)
    serving.process.send_signal(signal.SIGSTOP)
    peer.connection.settimeout(4)
    with pytest.raises(
        TimeoutError
    ):  # no message for longer than the hold time: a peer then withdraws the routes
        while True:
            peer.receive()
    serving.process.send_signal(signal.SIGCONT)
    peer.connection.settimeout(LONG)
    assert peer.receive_until(3)[0] == 4  # the notification that its own hold timer has expired


def test_webdav_load_is_sent_to_a_running_gateway(gateway, running, tmp_path):  # noqa: F811
    day = msgspec.structs.replace(quiet(), nodes=2, gateways=1, length_s=1.0, volumes_a_node=2.0)
    (tmp_path / "short.json").write_bytes(msgspec.json.encode(day))
    serving = gateway()
    assert serving.end()[0] == 0
    gateway.path.write_text(gateway.path.read_text() + write({"webdav": door_record(day, 0)}))
    serving = running("serve", gateway.path)
    webdav_address = serving.process.stdout.readline().decode().split()[1]
    Client(serving.address).serve_one()
    # Guards against garbage collection pauses of the clients, which once measured one of 80 ms as a late answer.
    program = (
        "import atexit, gc, sys; from ochrecourse.cli.main import main;"
        "atexit.register(lambda: print('collects by itself:', gc.isenabled(), file=sys.stderr)); main()"
    )
    arguments = [
        "load",
        "webdav",
        tmp_path / "short.json",
        webdav_address,
        "--people",
        "40",
        "--json",
        "--records",
        tmp_path / "clients.jsonl",
    ]
    done = subprocess.run(
        [sys.executable, "-c", program, *map(str, arguments)], capture_output=True, text=True, timeout=LONG
    )
    assert done.returncode == 0 and done.stderr == "everybody comes\ncollects by itself: False\n"
    result = json.loads(done.stdout)
    assert result["counts"]["PUT 201"] > 10 and result["counts"]["MKCOL 201"] >= 2
    assert serving.end()[0] == 0
    gateway.nodes.end()
    records = [tmp_path / "clients.jsonl", tmp_path / "nodes.jsonl"]
    audit = ochrecourse("audit", *records, "--day", tmp_path / "short.json", "--webdav")
    judged = subprocess.run(audit, capture_output=True, text=True, timeout=LONG)
    assert judged.returncode == 0 and "requests with two legs out at once: 0" in judged.stdout, judged.stdout
    # An added second attempt, received while the first is in flight, is found and changes the exit code.
    lines = records[1].read_bytes().splitlines(keepends=True)
    index, attempt = next(
        (i, json.loads(line)) for i, line in enumerate(lines) if b'"r":"leg_came"' in line and b'"p' in line
    )
    overlapping = {**attempt, "id": attempt["id"] + 10**6, "mark": "another job's", "t": attempt["t"] + 1}
    records[1].write_bytes(
        b"".join([*lines[: index + 1], json.dumps(overlapping).encode() + b"\n", *lines[index + 1 :]])
    )
    judged = subprocess.run(audit, capture_output=True, text=True, timeout=LONG)
    assert judged.returncode == 1 and f"request {attempt['trace']} had two legs out at once" in judged.stdout


def test_sigterm_answers_open_requests_and_ends_with_0(gateway):  # noqa: F811
    serving = gateway()
    client = Client(serving.address)
    client.serve_one()
    gateway.nodes.process.stdin.write(b"hang 1.0 0 0 20\n")
    gateway.nodes.process.stdin.flush()
    client.ask(1001, "ledger-post", timeout_ms=1500, shard=0)
    client.ask(1002, timeout_ms=1500)
    serving.process.send_signal(signal.SIGTERM)
    answers = []
    while (answer := client.answer()) is not None:
        answers.append(answer.id)
    assert sorted(answers) == [1001, 1002]
    code, log = serving.end()
    assert code == 0 and '"event": "left"' in log


def test_alike_runs_library_and_daemon_on_virtual_clock_and_sockets():
    done = run_in_real_time(ochrecourse("alike", FILE))
    assert done.returncode == 0, done.stdout + done.stderr
    assert done.stdout.rstrip().endswith("library and daemon on the virtual clock and on sockets: ALIKE")


def test_rolling_restart_refuses_no_connection_and_answers_each_request(gateway, running, tmp_path):  # noqa: F811
    control = tmp_path / "control"
    first = gateway(control=str(control))
    old = Client(first.address)
    old.serve_one()
    gateway.nodes.process.stdin.write(
        b"hang 0.5 0 0 2\n"
    )  # one of two nodes: some request is open across the restart
    gateway.nodes.process.stdin.flush()
    for number in range(2001, 2021):
        old.ask(number, timeout_ms=5000, shard=number % 2)
    stop, answers, refused = threading.Event(), [], []

    def keep_connecting():
        """Opens one connection after another, with a request on each."""
        while not stop.is_set():
            try:
                client = Client(first.address)
                client.ask(1, timeout_ms=5000)
                answers.append(type(client.answer()))
                client.socket.close()
            except OSError as error:
                refused.append(error)

    connecting_thread = threading.Thread(target=keep_connecting)
    connecting_thread.start()
    gateway.path.write_text(
        gateway.path.read_text().replace('listen: "127.0.0.1:0"', f'listen: "{first.address}"')
    )
    second = running("serve", gateway.path, "--take-over")
    assert second.address == first.address
    open_answers = [old.answer() for _ in range(20)]
    assert sorted(each.id for each in open_answers) == list(range(2001, 2021))
    assert first.process.wait(timeout=LONG) == 0
    new = Client(second.address)
    new.serve_one()
    stop.set()
    connecting_thread.join()
    assert not refused and answers and set(answers) <= {m.RequestServed, m.RequestRejected, m.RequestFailed}
    assert members(control)["nodes"]  # answered by the second process: the first has ended
    assert second.end()[0] == 0
