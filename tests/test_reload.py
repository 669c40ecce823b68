"""Reloading the start file on SIGHUP, also while it is incomplete."""

import itertools
import json
import signal

import pytest
from relay_process import RelayProcess
from test_service import Shop, listed

from ochrecourse.service import gateway_service
from ochrecourse.standins.resp_node import ListAgent


def test_the_process_applies_a_file_that_was_partly_written_at_the_signal(tmp_path):
    with RelayProcess(tmp_path) as relay:
        relay.port()
        text = json.dumps({**relay.start_file, "discovery": f"127.0.0.1:{relay.other_port}"})
        relay.path.write_text(text[: len(text) // 2])
        relay.send(signal.SIGHUP)
        relay.wait_for_line("not taken over")
        relay.path.write_text(text)
        relay.wait_for_line("read again")
        assert relay.other.asked.get(timeout=120) == relay.other_port
        relay.send()
        assert relay.wait_for_exit() == 0


class MovedList:
    """A service whose start file moves the list to a second agent, and the text of that file."""

    def __init__(self, folder):
        self.shop = Shop()
        self.path = folder / "config.json"
        self.shop.service.start_path = str(self.path)
        self.other = ListAgent(listed(self.shop.node_port, version=9))
        port = self.shop.network.listenTCP(0, self.other).getHost().port
        start_file = {
            "name": "n0",
            "listen": "h:1",
            "discovery": f"127.0.0.1:{port}",
            "seed": "1",
            "settings": {"Period": 2},
        }
        self.text = json.dumps(start_file)


@pytest.mark.parametrize("delay", [0.02, 0.5, 1.5, 3.0])
@pytest.mark.parametrize("initial", ["missing", "empty", "half", "other"])
def test_a_file_that_is_completed_after_the_signal_is_applied_in_time(tmp_path, initial, delay):
    """Guards against a new address that is never used because the file was being written at the signal."""
    moved = MovedList(tmp_path)
    shop = moved.shop
    if initial != "missing":
        moved.path.write_text({"empty": "", "half": moved.text[:-9], "other": '{"settings": 5}'}[initial])
    shop.service.reload()
    shop.run(delay)
    assert not moved.other.requested_paths
    moved.path.write_text(moved.text)
    shop.run(4.0 - delay)
    assert moved.other.requested_paths and shop.service.endpoints.version == 9
    assert [("not taken over" in line, "read again" in line) for line in shop.log] == [
        (True, False),
        (False, True),
    ]


def test_a_file_written_in_pieces_is_applied_once_it_is_complete(tmp_path):
    moved = MovedList(tmp_path)
    moved.shop.service.reload()
    for end in range(0, len(moved.text), 9):
        moved.path.write_text(moved.text[:end])
        moved.shop.run(0.1)
    moved.path.write_text(moved.text)
    moved.shop.run(1.0)
    assert moved.shop.service.endpoints.version == 9 and len(moved.shop.log) == 2


def test_retries_of_an_invalid_file_end_with_one_line_and_a_later_signal_starts_them_again(tmp_path):
    moved = MovedList(tmp_path)
    shop = moved.shop
    moved.path.write_text("{")
    shop.service.reload()
    shop.run(60.0)
    assert (
        len(shop.log) == 2 and "given up" in shop.log[1] and shop.service.watch.address[1] == shop.agent_port
    )
    moved.path.write_text(moved.text)
    shop.run(60.0)
    assert not moved.other.requested_paths and len(shop.log) == 2, (
        "after the last retry the file is not read again"
    )
    moved.path.write_text("{")
    shop.service.reload()
    shop.run(0.2)
    moved.path.write_text(moved.text)
    shop.run(1.0)
    assert moved.other.requested_paths and len(shop.log) == 4


def test_each_signal_with_an_invalid_file_logs_one_line_and_retries_end_once(tmp_path):
    moved = MovedList(tmp_path)
    shop = moved.shop
    moved.path.write_text("{")
    for _ in range(3):
        shop.service.reload()
        shop.run(0.3)
    shop.run(60.0)
    assert ["given up" in line for line in shop.log] == [False, False, False, True]


def test_an_invalid_file_is_read_a_bounded_number_of_times(tmp_path, monkeypatch):
    moved = MovedList(tmp_path)
    moved.path.write_text("{")
    reads, original = [], gateway_service.read_start_file
    monkeypatch.setattr(
        gateway_service,
        "read_start_file",
        lambda path: (reads.append(moved.shop.network.now), original(path))[1],
    )
    moved.shop.service.reload()
    moved.shop.run(60.0)
    assert 10 <= len(reads) <= 40
    assert min(later - earlier for earlier, later in itertools.pairwise(reads)) >= 0.05


def test_a_file_that_is_completed_during_the_shutdown_is_applied(tmp_path):
    moved = MovedList(tmp_path)
    shop = moved.shop
    moved.path.write_text("{")
    shop.service.shut_down()
    shop.service.reload()
    shop.run(0.1)
    moved.path.write_text(moved.text)
    shop.run(0.3)
    assert shop.service.endpoints.version == 9
    shop.run(10.0)
    assert shop.over == [1]


def test_an_invalid_file_is_not_read_again_after_the_shutdown(tmp_path):
    moved = MovedList(tmp_path)
    shop = moved.shop
    shop.service.shut_down()
    shop.run(0.5)
    moved.path.write_text("{")
    shop.service.reload()
    shop.run(0.1)
    while not shop.over:
        shop.run(0.01)
    logged = len(shop.log)
    moved.path.write_text(moved.text)
    shop.run(60.0)
    shop.service.reload()
    shop.run(60.0)
    assert not moved.other.requested_paths and len(shop.log) == logged
