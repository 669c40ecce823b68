"""A fleet of gateway processes, one with a slow disk: only operations that need the disk may wait for it."""

import os
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest
from test_fleet_part import Process, free_ports, until

HOOK = Path(__file__).parent / "disk_hook"
SYNC_S = 1.2  # duration of a sync on a disk that is busy with other writes
LOST_S = 0.5  # delay after which a response counts as lost (STANDING: half a second)
RUN_S = 8.0

pytestmark = pytest.mark.real_time


@pytest.fixture
def fleet(tmp_path, monkeypatch):
    """Three members; the disk of `a` is slow once the file `slow` exists."""
    ports, running = free_ports("abc"), {}
    monkeypatch.setenv("SYNC_SECONDS", str(SYNC_S))
    monkeypatch.setenv("SLOW_FROM", str(tmp_path / "slow"))
    try:
        for name in ports:
            with monkeypatch.context() as patch:
                if name == "a":
                    patch.setenv(
                        "PYTHONPATH", os.pathsep.join(filter(None, (str(HOOK), os.environ.get("PYTHONPATH"))))
                    )
                running[name] = Process(tmp_path, name, ports)
        until(lambda: all(each.reached() == 3 for each in running.values()))
        yield running
    finally:
        for each in running.values():
            each.process.kill()
            each.process.wait()
            each.process.stdout.close()


def measure(call):
    began = time.monotonic()
    return call(), time.monotonic() - began


def test_a_sync_of_a_second_delays_only_the_requests_that_need_it(fleet, tmp_path):
    """Guards against a sync of the fleet's journal that blocks the event loop: late or lost responses, silent members."""
    (tmp_path / "slow").touch()
    ends_at = time.monotonic() + RUN_S
    waits, reached, appended = [], [], []

    def ask():
        while time.monotonic() < ends_at:
            report, took = measure(lambda: fleet["a"].ask(do="fleet"))
            waits.append(took)
            reached.append(sum(each["reached"] for each in report["members"]))
            time.sleep(0.02)

    def append(name):
        while time.monotonic() < ends_at:
            appended.append((name, *measure(lambda: fleet[name].ask(do="append", channel="c", value=name))))
            time.sleep(0.05)

    with ThreadPoolExecutor() as pool:
        for done in [pool.submit(ask), pool.submit(append, "a"), pool.submit(append, "b")]:
            done.result()
    assert max(waits) < LOST_S, f"the longest of {len(waits)} waits was {max(waits):.2f} s"
    assert min(reached) == 3 and fleet["b"].reached() == 3
    own = [took for name, _, took in appended if name == "a"]
    assert min(own) > SYNC_S and len(own) >= 2  # each is confirmed once it is on disk
    assert all(answer["done"] for _, answer, _ in appended)


def test_appends_confirmed_on_a_slow_disk_survive_kill_9(fleet, tmp_path):
    """Guards against an append that is answered before it is durable."""
    (tmp_path / "slow").touch()
    answers = [fleet["a"].ask(do="append", channel="c", value=i) for i in range(3)]
    fleet["a"].process.kill()
    fleet["a"].process.wait()
    (tmp_path / "slow").unlink()
    # The other members are killed too, so that the entries can only come from this member's disk.
    for name in "bc":
        fleet[name].process.kill()
        fleet[name].process.wait()
    ports = free_ports("abc")
    restarted = fleet["a"] = Process(tmp_path, "a", ports)
    dump = restarted.ask(do="dump", channel="c")["dump"]
    assert all(f'["c","a",{answer["life"]},{answer["seq"]},' in dump for answer in answers)
