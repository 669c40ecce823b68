"""The start file that is read again on SIGHUP, whole or not."""

import itertools
import json
import signal

import pytest
from relay_process import Relay
from test_service import Shop, listed

from ochrecourse.service import gateway_service
from ochrecourse.standins.resp_node import ListAgent


def test_the_process_follows_a_list_moved_by_a_file_that_was_half_written_at_the_signal(tmp_path):
    with Relay(tmp_path) as relay:
        relay.port()
        whole = json.dumps({**relay.told, "discovery": f"127.0.0.1:{relay.other_port}"})
        relay.path.write_text(whole[: len(whole) // 2])
        relay.send(signal.SIGHUP)
        relay.until("not taken over")
        relay.path.write_text(whole)
        relay.until("read again")
        assert relay.other.asked.get(timeout=120) == relay.other_port
        relay.send()
        assert relay.end() == 0


class Moved:
    """A shop whose start file moves the list to a second agent, and what the file says of it."""

    def __init__(self, folder):
        self.shop = Shop()
        self.path = folder / "config.json"
        self.shop.service.start_path = str(self.path)
        self.other = ListAgent(listed(self.shop.node_port, version=9))
        port = self.shop.network.listenTCP(0, self.other).getHost().port
        told = {
            "name": "n0",
            "listen": "h:1",
            "discovery": f"127.0.0.1:{port}",
            "seed": "1",
            "settings": {"Period": 2},
        }
        self.text = json.dumps(told)


@pytest.mark.parametrize("late", [0.02, 0.5, 1.5, 3.0])
@pytest.mark.parametrize("at_first", ["missing", "empty", "half", "other"])
def test_a_file_that_becomes_whole_after_the_signal_is_followed_in_time(tmp_path, at_first, late):
    """Guards against a new address that is never followed, because the file was being written at the signal."""
    moved = Moved(tmp_path)
    shop = moved.shop
    if at_first != "missing":
        moved.path.write_text({"empty": "", "half": moved.text[:-9], "other": '{"settings": 5}'}[at_first])
    shop.service.reload()
    shop.run(late)
    assert not moved.other.requested_paths
    moved.path.write_text(moved.text)
    shop.run(4.0 - late)
    assert moved.other.requested_paths and shop.service.endpoints.version == 9
    assert [("not taken over" in line, "read again" in line) for line in shop.log] == [
        (True, False),
        (False, True),
    ]


def test_a_file_written_in_pieces_is_followed_once_it_is_whole(tmp_path):
    moved = Moved(tmp_path)
    moved.shop.service.reload()
    for end in range(0, len(moved.text), 9):
        moved.path.write_text(moved.text[:end])
        moved.shop.run(0.1)
    moved.path.write_text(moved.text)
    moved.shop.run(1.0)
    assert moved.shop.service.endpoints.version == 9 and len(moved.shop.log) == 2


def test_a_file_that_stays_bad_is_given_up_with_one_line_and_a_later_signal_begins_anew(tmp_path):
    moved = Moved(tmp_path)
    shop = moved.shop
    moved.path.write_text("{")
    shop.service.reload()
    shop.run(60.0)
    assert (
        len(shop.log) == 2 and "given up" in shop.log[1] and shop.service.watch.address[1] == shop.agent_port
    )
    moved.path.write_text(moved.text)
    shop.run(60.0)
    assert not moved.other.requested_paths and len(shop.log) == 2, "it is given up: nothing is read any more"
    moved.path.write_text("{")
    shop.service.reload()
    shop.run(0.2)
    moved.path.write_text(moved.text)
    shop.run(1.0)
    assert moved.other.requested_paths and len(shop.log) == 4


def test_signals_at_a_bad_file_have_one_line_each_and_one_end(tmp_path):
    moved = Moved(tmp_path)
    shop = moved.shop
    moved.path.write_text("{")
    for _ in range(3):
        shop.service.reload()
        shop.run(0.3)
    shop.run(60.0)
    assert ["given up" in line for line in shop.log] == [False, False, False, True]


def test_a_bad_file_is_read_a_bounded_number_of_times(tmp_path, monkeypatch):
    moved = Moved(tmp_path)
    moved.path.write_text("{")
    reads, usual = [], gateway_service.read_start_file
    monkeypatch.setattr(
        gateway_service,
        "read_start_file",
        lambda path: (reads.append(moved.shop.network.now), usual(path))[1],
    )
    moved.shop.service.reload()
    moved.shop.run(60.0)
    assert 10 <= len(reads) <= 40
    assert min(later - earlier for earlier, later in itertools.pairwise(reads)) >= 0.05


def test_a_file_that_becomes_whole_while_the_process_leaves_is_followed(tmp_path):
    moved = Moved(tmp_path)
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


def test_a_bad_file_is_not_read_again_after_the_end(tmp_path):
    moved = Moved(tmp_path)
    shop = moved.shop
    shop.service.shut_down()
    shop.run(0.5)
    moved.path.write_text("{")
    shop.service.reload()
    shop.run(0.1)
    while not shop.over:
        shop.run(0.01)
    said = len(shop.log)
    moved.path.write_text(moved.text)
    shop.run(60.0)
    shop.service.reload()
    shop.run(60.0)
    assert not moved.other.requested_paths and len(shop.log) == said
