"""The platform's formats: the start file and the endpoint list."""

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


def endpoint(name="s-1", state="Ready", port=6379, cell=3, started=0):
    return {
        "instanceId": name, "hostPort": f"10.1.0.18:{port}", "zone": "a", "machineType": "m2", "cell": cell,
        "lifecycle": state, "weight": 1.0, "startedAtMs": started,
    }  # fmt: skip


def endpoint_list(version, *lines, reset=False):
    return {"generation": version, "reset": reset, "instances": list(lines)}


def test_settings_are_flattened_as_on_the_simulators_wire():
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
def test_invalid_start_file_is_reported_in_one_sentence(change, text, tmp_path):
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


def test_node_numbers_and_start_times_are_kept_across_all_kinds_of_lists():
    endpoints = DiscoveredEndpoints(["a"], unix_offset_ns=1000 * SECOND)
    known = endpoints.apply(
        endpoint_list(41, endpoint("s-1"), endpoint("s-2", started=1_500_000), reset=True), cached=True
    )
    assert known.kind is ListKind.CACHED and [each.node for each in known.entries] == [1, 2]
    assert [each.started for each in known.entries] == [0, 500 * SECOND]
    update = endpoints.apply(endpoint_list(42, endpoint("s-2", "Terminating", port=7000, started=1_500_000)))
    assert update.kind is ListKind.DELTA and update.entries[0].health is Health.DRAINING
    assert update.entries[0].started == 500 * SECOND and update.addresses == {2: ("10.1.0.18", 7000)}
    assert (
        endpoints.apply(endpoint_list(43, {"instanceId": "s-2", "lifecycle": "Gone"})).entries[0].health
        is Health.GONE
    )
    complete = endpoints.apply(endpoint_list(50, endpoint("s-3"), endpoint("s-2"), reset=True))
    assert complete.kind is ListKind.FULL and [each.node for each in complete.entries] == [3, 2]
    assert endpoints.version == 50 and list(endpoints.entries) == ["s-3", "s-2"]


def test_names_of_removed_nodes_do_not_accumulate():
    endpoints = DiscoveredEndpoints([], 0)
    for i in range(3 * MAX_GONE_NAMES):
        endpoints.apply(endpoint_list(2 * i, endpoint(f"s-{i}")))
        endpoints.apply(endpoint_list(2 * i + 1, endpoint(f"s-{i}", "Gone")))
    assert (
        len(endpoints.node_numbers) == len(endpoints.gone_names) == MAX_GONE_NAMES and not endpoints.entries
    )


def test_a_thousand_nodes_that_leave_at_once_return_with_their_numbers():
    """Guards against nodes that get new numbers when all of them return after an outage."""
    endpoints_of_zones = [{**endpoint(f"s-{i}", cell=i), "zone": f"z{i}"} for i in range(1024)]
    endpoints = DiscoveredEndpoints([], 0)
    first = [
        (entry.node, entry.zone)
        for entry in endpoints.apply(endpoint_list(1, *endpoints_of_zones, reset=True)).entries
    ]
    assert len(set(first)) == 1024
    assert not endpoints.apply(endpoint_list(2, reset=True)).entries and not endpoints.entries
    assert [
        (entry.node, entry.zone) for entry in endpoints.apply(endpoint_list(3, *endpoints_of_zones)).entries
    ] == first


@pytest.mark.parametrize(
    "text",
    [
        b"\xff{", b"[]", b"[" * 100_000, b'{"generation":1}', json.dumps(endpoint_list("1", endpoint())).encode(),
        json.dumps(endpoint_list(1, endpoint(state="Odd"))).encode(), json.dumps(endpoint_list(1, {**endpoint(), "hostPort": "h"})).encode(),
        json.dumps(endpoint_list(1, {**endpoint(), "cell": "x"})).encode(), json.dumps(endpoint_list(1, 5)).encode(),
        json.dumps(endpoint_list(1, {**endpoint(), "startedAtMs": 1e300})).encode(),
    ],
)  # fmt: skip
def test_malformed_line_changes_nothing(text):
    endpoints = DiscoveredEndpoints([], 0)
    endpoints.apply(endpoint_list(7, endpoint()))
    with pytest.raises(MalformedEndpointListError):
        endpoints.apply(LineDecoder(1 << 20).decode(text))
    assert endpoints.version == 7 and list(endpoints.entries) == ["s-1"]


def test_zone_that_the_settings_do_not_name_gets_its_own_number():
    endpoints = DiscoveredEndpoints(["x"], -5 * MS)
    entry = endpoints.apply(endpoint_list(1, endpoint(started=1))).entries[0]
    assert entry.zone == 1 and entry.started == 6 * MS
