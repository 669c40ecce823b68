"""What is judged by the machine's clock, on real sockets: one after another at one worker (see conftest)."""

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
STILL = 0.05  # s late at which a thread that only sleeps shows that the machine stood still


def ran_by_real_time(words):
    """What came of a command that is judged by real time. It is run again, twice at the most, if it failed while a
    thread that only sleeps was late itself: then the machine stood still, and nothing is known of the command.
    """
    for _ in range(3):
        latest, over = 0.0, threading.Event()

        def watch(over=over):
            nonlocal latest
            before = time.monotonic()
            while not over.wait(0.01):
                now = time.monotonic()
                latest, before = max(latest, now - before - 0.01), now

        watching = threading.Thread(target=watch)
        watching.start()
        ran = subprocess.run(words, capture_output=True, text=True, timeout=LONG)
        over.set()
        watching.join()
        if ran.returncode == 0 or latest < STILL:
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
    ran = ran_by_real_time(command)
    assert ran.returncode == 0, ran.stdout + ran.stderr
    told = json.loads(ran.stdout)
    assert told["kept"] and told["troubles"] == [] and told["endings"]["fulfilled"] > 100
    # The judge gives the same verdict on the kept records, and another one on records with an answer taken out.
    records = [tmp_path / "kept" / "clients.jsonl", tmp_path / "kept" / "nodes.jsonl"]
    audit = ochrecourse("audit", *records, "--day", tmp_path / "day.json")
    assert subprocess.run(audit, capture_output=True, timeout=LONG).returncode == 0
    lines = records[0].read_bytes().splitlines(keepends=True)
    # One that nobody may leave open: its connection lasts beyond its timeout, and so do the records.
    told = [json.loads(line) for line in lines]
    ends = {each["conn"]: each["t"] for each in told if each["r"] == "conn_lost"}
    last = max(each["t"] for each in told)
    due = {(each["conn"], each["id"]): each["t"] + each["timeout"] for each in told if each["r"] == "asked"}
    gone = next(
        i for i, each in enumerate(told)
        if each["r"] == "told" and each["how"] == "fulfilled"
        and due[each["conn"], each["id"]] < min(last, ends.get(each["conn"], last))
    )  # fmt: skip
    records[0].write_bytes(b"".join(lines[:gone] + lines[gone + 1 :]))
    judged = subprocess.run(audit, capture_output=True, text=True, timeout=LONG)
    assert judged.returncode == 1 and "never answered" in judged.stdout


def test_a_stopped_daemon_sends_no_keepalive_and_its_peers_hold_timer_acts(announced, running):  # noqa: F811
    peer, starts, _ = announced
    peer.hold_time = 3
    serving = running("serve", starts.path)
    peer.meet()
    peer.until(2)
    serving.process.send_signal(signal.SIGSTOP)
    peer.end.settimeout(4)
    with pytest.raises(TimeoutError):  # longer than the hold time without a word: a peer withdraws by itself
        while True:
            peer.hear()
    serving.process.send_signal(signal.SIGCONT)
    peer.end.settimeout(LONG)
    assert peer.until(3)[0] == 4  # it finds that its own hold timer expired, and says so


def test_people_are_sent_to_a_door_that_runs(gateway, running, tmp_path):  # noqa: F811
    day = msgspec.structs.replace(quiet(), nodes=2, gateways=1, length_s=1.0, volumes_a_node=2.0)
    (tmp_path / "short.json").write_bytes(msgspec.json.encode(day))
    serving = gateway()
    assert serving.end()[0] == 0
    gateway.path.write_text(gateway.path.read_text() + write({"webdav": door_record(day, 0)}))
    serving = running("serve", gateway.path)
    door = serving.process.stdout.readline().decode().split()[1]
    Client(serving.address).serve_one()
    # Guards against clients that pause to collect cycles: they once took 80 ms of their own for a late answer.
    looks = (
        "import atexit, gc, sys; from ochrecourse.cli.main import main;"
        "atexit.register(lambda: print('collects by itself:', gc.isenabled(), file=sys.stderr)); main()"
    )
    words = [
        "load",
        "webdav",
        tmp_path / "short.json",
        door,
        "--people",
        "40",
        "--json",
        "--records",
        tmp_path / "clients.jsonl",
    ]
    done = subprocess.run(
        [sys.executable, "-c", looks, *map(str, words)], capture_output=True, text=True, timeout=LONG
    )
    assert done.returncode == 0 and done.stderr == "everybody comes\ncollects by itself: False\n"
    told = json.loads(done.stdout)
    assert told["counts"]["PUT 201"] > 10 and told["counts"]["MKCOL 201"] >= 2
    assert serving.end()[0] == 0
    gateway.nodes.end()
    kept = [tmp_path / "clients.jsonl", tmp_path / "nodes.jsonl"]
    audit = ochrecourse("audit", *kept, "--day", tmp_path / "short.json", "--webdav")
    judged = subprocess.run(audit, capture_output=True, text=True, timeout=LONG)
    assert judged.returncode == 0 and "requests with two legs out at once: 0" in judged.stdout, judged.stdout
    # The same with a leg that came a second time while the first was out: found, and the exit code says so.
    lines = kept[1].read_bytes().splitlines(keepends=True)
    at, came = next(
        (i, json.loads(line)) for i, line in enumerate(lines) if b'"r":"leg_came"' in line and b'"p' in line
    )
    beside = {**came, "id": came["id"] + 10**6, "mark": "another job's", "t": came["t"] + 1}
    kept[1].write_bytes(b"".join([*lines[: at + 1], json.dumps(beside).encode() + b"\n", *lines[at + 1 :]]))
    judged = subprocess.run(audit, capture_output=True, text=True, timeout=LONG)
    assert judged.returncode == 1 and f"request {came['trace']} had two legs out at once" in judged.stdout


def test_sigterm_answers_what_is_held_and_ends_with_0(gateway):  # noqa: F811
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


def test_the_command_runs_all_four_ways():
    done = ran_by_real_time(ochrecourse("alike", FILE))
    assert done.returncode == 0, done.stdout + done.stderr
    assert done.stdout.rstrip().endswith("library and daemon on the virtual clock and on sockets: ALIKE")


def test_rolling_restart_refuses_no_connection_and_each_job_has_its_answer(gateway, running, tmp_path):  # noqa: F811
    control = tmp_path / "control"
    first = gateway(control=str(control))
    old = Client(first.address)
    old.serve_one()
    gateway.nodes.process.stdin.write(
        b"hang 0.5 0 0 2\n"
    )  # one of two nodes: some job is held across the restart
    gateway.nodes.process.stdin.flush()
    for number in range(2001, 2021):
        old.ask(number, timeout_ms=5000, shard=number % 2)
    stop, answers, refused = threading.Event(), [], []

    def come():
        """New connections all the time, a job on each."""
        while not stop.is_set():
            try:
                client = Client(first.address)
                client.ask(1, timeout_ms=5000)
                answers.append(type(client.answer()))
                client.socket.close()
            except OSError as trouble:
                refused.append(trouble)

    coming = threading.Thread(target=come)
    coming.start()
    gateway.path.write_text(
        gateway.path.read_text().replace('listen: "127.0.0.1:0"', f'listen: "{first.address}"')
    )
    second = running("serve", gateway.path, "--take-over")
    assert second.address == first.address
    held = [old.answer() for _ in range(20)]
    assert sorted(each.id for each in held) == list(range(2001, 2021))
    assert first.process.wait(timeout=LONG) == 0
    again = Client(second.address)
    again.serve_one()
    stop.set()
    coming.join()
    assert not refused and answers and set(answers) <= {m.RequestServed, m.RequestRejected, m.RequestFailed}
    assert members(control)["nodes"]  # the second one's: the first has ended
    assert second.end()[0] == 0
