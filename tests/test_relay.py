"""The gateway on the platform: its start file, its list, reload and end."""

import json

import pytest

from ochrecourse.interface import Health, ListKind
from ochrecourse.common.time_units import MS, SECOND
from ochrecourse.service.discovery import (
    MAX_GONE_NAMES,
    MalformedEndpointListError,
    DiscoveredEndpoints,
    LineDecoder,
)
from ochrecourse.service.start_file import read_start_file
from ochrecourse.service.start_settings import StartSettingsError, flatten_settings, parse_start_settings


def line(name="s-1", state="Ready", port=6379, cell=3, started=0):
    return {
        "instanceId": name, "hostPort": f"10.1.0.18:{port}", "zone": "a", "machineType": "m2", "cell": cell,
        "lifecycle": state, "weight": 1.0, "startedAtMs": started,
    }  # fmt: skip


def told(version, *lines, reset=False):
    return {"generation": version, "reset": reset, "instances": list(lines)}


def test_settings_get_the_form_that_they_have_on_the_simulators_wire():
    nested = {
        "Classes": [{"Name": "trip write", "Aim": 300.0, "SerialByKey": True}, {"Name": "b", "Effect": "safe"}],
        "FamilyInfo": {"Writes": [True, False], "TellsElsewhere": False}, "Zones": ["a,b", "c"], "Period": 2,
    }  # fmt: skip
    assert flatten_settings(nested) == {
        "Classes.count": "2", "Classes.0.Name": "trip_write", "Classes.0.Aim": "300.0",
        "Classes.0.SerialByKey": "true", "Classes.1.Name": "b", "Classes.1.Effect": "safe",
        "FamilyInfo.Writes": "true,false", "FamilyInfo.TellsElsewhere": "false", "Zones": "a_b,c", "Period": "2",
    }  # fmt: skip


@pytest.mark.parametrize(
    ("change", "text"),
    [
        ({"settings": None}, "no settings"),
        ({"listen": "nowhere"}, "listen is not HOST:PORT"),
        ({"discovery": "h:99999"}, "discovery is not HOST:PORT"),
        ({"seed": "xyz"}, "a figure that is none"),
        ({"name": ...}, "lacks name"),
    ],
)
def test_broken_start_file_is_reported_in_one_sentence(change, text, tmp_path):
    good = {
        "name": "n",
        "listen": "h:1",
        "discovery": "h:2",
        "seed": "ff",
        "settings": {"Period": 2},
        **change,
    }
    with pytest.raises(StartSettingsError, match=text):
        parse_start_settings({name: each for name, each in good.items() if each is not ...})
    for data, why in ((b"{", "not JSON"), (b"[" * 100_000, "not JSON")):
        (tmp_path / "start.json").write_bytes(data)
        with pytest.raises(StartSettingsError, match=why):
            read_start_file(str(tmp_path / "start.json"))
    with pytest.raises(StartSettingsError, match="can't be read"):
        read_start_file(str(tmp_path / "none.json"))


def test_list_keeps_numbers_and_times_of_starts_through_all_its_forms():
    endpoints = DiscoveredEndpoints(["a"], unix_offset_ns=1000 * SECOND)
    known = endpoints.apply(told(41, line("s-1"), line("s-2", started=1_500_000), reset=True), cached=True)
    assert known.kind is ListKind.CACHED and [each.node for each in known.entries] == [1, 2]
    assert [each.started for each in known.entries] == [0, 500 * SECOND]
    news = endpoints.apply(told(42, line("s-2", "Terminating", port=7000, started=1_500_000)))
    assert news.kind is ListKind.DELTA and news.entries[0].health is Health.DRAINING
    assert news.entries[0].started == 500 * SECOND and news.addresses == {2: ("10.1.0.18", 7000)}
    assert (
        endpoints.apply(told(43, {"instanceId": "s-2", "lifecycle": "Gone"})).entries[0].health is Health.GONE
    )
    whole = endpoints.apply(told(50, line("s-3"), line("s-2"), reset=True))
    assert whole.kind is ListKind.FULL and [each.node for each in whole.entries] == [3, 2]
    assert endpoints.version == 50 and list(endpoints.entries) == ["s-3", "s-2"]


def test_names_of_nodes_that_are_gone_do_not_pile_up():
    endpoints = DiscoveredEndpoints([], 0)
    for i in range(3 * MAX_GONE_NAMES):
        endpoints.apply(told(2 * i, line(f"s-{i}")))
        endpoints.apply(told(2 * i + 1, line(f"s-{i}", "Gone")))
    assert (
        len(endpoints.node_numbers) == len(endpoints.gone_names) == MAX_GONE_NAMES and not endpoints.entries
    )


def test_a_thousand_nodes_of_as_many_zones_that_leave_at_once_come_back_under_their_numbers():
    """Guards against a fleet that returns after an outage as if all of it were new."""
    lines = [{**line(f"s-{i}", cell=i), "zone": f"z{i}"} for i in range(1024)]
    endpoints = DiscoveredEndpoints([], 0)
    first = [(entry.node, entry.zone) for entry in endpoints.apply(told(1, *lines, reset=True)).entries]
    assert len(set(first)) == 1024
    assert not endpoints.apply(told(2, reset=True)).entries and not endpoints.entries
    assert [(entry.node, entry.zone) for entry in endpoints.apply(told(3, *lines)).entries] == first


@pytest.mark.parametrize(
    "text",
    [
        b"\xff{", b"[]", b"[" * 100_000, b'{"generation":1}', json.dumps(told("1", line())).encode(),
        json.dumps(told(1, line(state="Odd"))).encode(), json.dumps(told(1, {**line(), "hostPort": "h"})).encode(),
        json.dumps(told(1, {**line(), "cell": "x"})).encode(), json.dumps(told(1, 5)).encode(),
        json.dumps(told(1, {**line(), "startedAtMs": 1e300})).encode(),
    ],
)  # fmt: skip
def test_line_that_can_not_be_read_changes_nothing(text):
    endpoints = DiscoveredEndpoints([], 0)
    endpoints.apply(told(7, line()))
    with pytest.raises(MalformedEndpointListError):
        endpoints.apply(LineDecoder(1 << 20).decode(text))
    assert endpoints.version == 7 and list(endpoints.entries) == ["s-1"]


def test_zone_that_the_settings_do_not_name_gets_a_number_of_its_own():
    endpoints = DiscoveredEndpoints(["x"], -5 * MS)
    entry = endpoints.apply(told(1, line(started=1))).entries[0]
    assert entry.zone == 1 and entry.started == 6 * MS
