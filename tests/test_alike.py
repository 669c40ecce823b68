"""One scenario through library and daemon, the library's public names, and the program of ten lines that embeds it."""

import subprocess
import sys
from pathlib import Path

import msgspec
import pytest
from test_sockets import LONG

from ochrecourse import library
from ochrecourse.lab import alike
from ochrecourse.lab.day import BadDay
from ochrecourse.standins.list_server import ListServer
from ochrecourse.wire.messages import EndpointEntry

ROOT = Path(__file__).parent.parent
FILE = ROOT / "ochrecourse" / "lab" / "examples" / "four-nodes.json"


@pytest.fixture(scope="module")
def scenario():
    return alike.read(FILE)


def test_the_same_record_through_library_and_daemon_on_the_virtual_clock(scenario):
    library_says, broken = alike.on_virtual_clock(scenario, through_daemon=False)
    daemon_says, more = alike.on_virtual_clock(scenario, through_daemon=True)
    assert not broken and not more
    assert library_says == daemon_says and len(library_says) == len(scenario.jobs)
    endings = {story.outcome.value for story in library_says}
    assert endings == {"fulfilled", "denied", "written off"}
    assert {leg.ending.value for story in library_says for leg in story.attempts} >= {
        "fulfilled",
        "timeout",
        "error",
        "full",
    }


def test_a_daemon_that_ends_one_job_otherwise_is_found(scenario, monkeypatch):
    says = alike.told_by(alike.on_virtual_clock(scenario, through_daemon=False)[0])
    whole = alike.Daemon.__init__

    def hasty(self, *words, **more):
        whole(self, *words, **more)
        self.gateway.travel += 890_000_000  # what it tells the decisions leaves page reads 10 ms

    monkeypatch.setattr(alike.Daemon, "__init__", hasty)
    other = alike.told_by(alike.on_virtual_clock(scenario, through_daemon=True)[0])
    found = alike.differences(says, other)
    assert found and "in one" in found[0] and alike.differences(says, other, legs=False)
    assert not alike.differences(says, says) and len(alike.differences(says, {}, legs=False)) == len(says)


def test_without_legs_only_the_answers_count():
    one = {"1.0": alike.Told("1.0", "denied", "turned away", (("full", "turned away"),))}
    other = {"1.0": alike.Told("1.0", "denied", "no leg was sent", ())}
    assert alike.differences(one, other) and not alike.differences(one, other, legs=False)


def test_a_broken_rule_is_told_though_both_end_alike(scenario, monkeypatch):
    """Two answers for each job, in the library only."""
    told = alike.Client._told

    def twice(self, job, how):
        told(self, job, how)
        told(self, job, how)

    monkeypatch.setattr(alike.Client, "_told", twice)
    assert any("one answer" in text for text in alike.on_virtual_clock(scenario, through_daemon=False)[1])


def test_a_scenario_that_could_not_be_alike_is_refused(scenario, tmp_path):
    day = scenario.day
    changes = [
        ({"gateways": 2}, "one gateway"),
        ({"net_ms": (0.1, 0.5)}, "one time"),
        ({"habits": msgspec.structs.replace(day.habits, retries=1)}, "try once"),
        ({"products": day.products[1:]}, "no product 'page-read'"),
    ]
    for change, text in changes:
        path = tmp_path / "bad.json"
        bad = alike.Scenario(day=msgspec.structs.replace(day, **change), jobs=scenario.jobs)
        path.write_bytes(msgspec.json.encode(bad))
        with pytest.raises(BadDay, match=text):
            alike.read(path)
    path.write_text("{")
    with pytest.raises(BadDay, match=r"bad\.json"):
        alike.read(path)


def test_the_librarys_name_of_the_list_server_watcher_takes_the_arguments_of_its_surface():
    network, updates = library.VirtualNetwork(3), []
    server = ListServer(network, 1, 0.01, lambda record: None)
    server.add_initial_entry(EndpointEntry(node=70, address="127.0.0.1:70"), 0)
    port = network.listenTCP(0, server).getHost().port
    follower = library.Follower(
        "g0", network, ("127.0.0.1", port), told=updates.append, path=None, seed=9, warn=updates.append
    )
    follower.start()
    network.advance(0.1)
    assert [type(each) for each in updates] == [library.News] and follower.view is follower.endpoint_list


def test_the_library_in_ten_lines_and_its_names():
    done = subprocess.run(
        [sys.executable, ROOT / "examples" / "embed.py"], capture_output=True, text=True, timeout=LONG
    )
    assert done.returncode == 0 and done.stdout == "job a: fulfilled, legs 1\n", done.stderr
    text = (ROOT / "docs" / "library.md").read_text()
    assert library.SURFACE == 1 and all(
        f"`{name}`" in text or f"library.{name}" in text for name in library.__all__
    )
