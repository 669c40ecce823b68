"""Settings files: resolution, the message for each error, and that any text gives one of the two."""

from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ochrecourse.lab.day import gateway_record
from ochrecourse.lab.days import built_in
from ochrecourse.settings.load import SettingsError, load, resolve
from ochrecourse.settings.writer import write
from ochrecourse.settings.plain import plain_map

EXAMPLES = sorted((Path(__file__).parent.parent / "ochrecourse/settings/examples").glob("*.cue"))
GOOD = """
// a small gateway
gateway: {name: "g0", travel: 15ms}
list: address: "127.0.0.1:7000"
#Usual: {promised: 250ms, client_timeout: 1.5s}
products: [
	#Usual & {name: "read", payoff: 2},
	#Usual & {name: "write", writes: true, effect: "binding", in_order: true},
]
plans: [{name: "open", rate: 120/min, limit: 4/s, limit_burst: 3_0}]
budget: {floor: 3, share: 25%, window: gateway.travel}
"""


def test_defaults_units_references_and_definitions_resolve():
    record = resolve(GOOD, "g.cue")
    assert record["products"][1] | {"name": "", "promised": 0} == {
        "name": "", "promised": 0, "client_timeout": 1500.0, "payoff": 1, "late_share": 0, "effect": "binding",
        "repeat_group": "all", "repeat_window": 5000.0, "in_order": True, "writes": True,
    }  # fmt: skip
    assert record["plans"][0]["rate"] == 2.0 and record["plans"][0]["limit_burst"] == 30
    assert record["budget"] == {"floor": 3, "share": 0.25, "window": 15.0}
    assert record["clients"]["open_jobs"] == 20000 and record["zones"] == ["here"]


def test_a_written_record_resolves_to_the_same_record():
    record = resolve(GOOD, "g.cue")
    assert resolve(write(record), "again.cue") == record


def test_a_days_record_and_its_text_give_the_same_map():
    record = gateway_record(built_in("bad-evening"), 1, "127.0.0.1:0", "127.0.0.1:7000", "")
    expected, actual = plain_map(record), plain_map(resolve(write(record), "day.cue"))

    def number(text):
        try:
            return float(text)
        except ValueError:
            return text

    assert {name: number(text) for name, text in expected.items()} == {
        name: number(actual[name]) for name in expected
    }


def test_without_a_budget_the_map_has_none():
    text = GOOD.replace("budget:", "// budget:")
    assert "Safety.ExtraRatio" not in plain_map(resolve(text, "g.cue"))
    assert plain_map(resolve(GOOD, "g.cue"))["Safety.ExtraRatio"] == "0.25"


@pytest.mark.parametrize("path", EXAMPLES, ids=lambda path: path.stem)
def test_the_examples_resolve(path):
    assert load(path)["products"]


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ('name: "g0"', 'nam: "g0"', "g.cue:3:11: there is no field 'gateway.nam'; did you mean 'name'?"),
        ("travel: 15ms", "travel: 15", "g.cue:3:31: gateway.travel is 15; it is a duration, as in 150ms"),
        ("travel: 15ms", "travel: 3s", "gateway.travel is 3000ms; it must be <=1000ms"),
        ("travel: 15ms", "travel: 15mss", "'15mss}' is not a number with a unit that is known"),
        ("120/min", "120ms", "plans[0].rate is 120ms; it is a rate, as in 12/s"),
        ("25%", "250%", "budget.share is 2.5; it must be <=1"),
        ('effect: "binding"', 'effect: "bindng"', "or \"binding\"; did you mean 'binding'?"),
        ("in_order: true", 'in_order: "true"', 'products[1].in_order is "true"; it is a bool, as in true'),
        ("#Usual & {name: \"read\"", "#Usul & {name: \"read\"", "nothing is named '#Usul'; did you mean '#Usual'?"),
        ("gateway.travel}", "gateway.travl}", "gateway.travl: no field 'travl'; did you mean 'travel'?"),
        ("payoff: 2", "payoff: 2, promised: 1s", "products[0].promised is 1000ms here and 250ms at g.cue:5:20"),
        ('"write", writes', '"read", writes', "products[1].name is 'read', as is products[0].name"),
        ("#Usual: {promised: 250ms", "#Usual: {promised: 9s", "promised is longer than its client_timeout"),
        ("limit_burst: 3_0", "limit_burst: 3", "must hold a largest job of every gateway: 8 units"),
        ('"127.0.0.1:7000"', '"somewhere"', "list.address is 'somewhere'; an address is HOST:PORT"),
        ("plans: [{", "plans: [{name: 3}, {", "plans[0].name is 3; it is a string"),
        ("plans: [", "plans: ", "was not expected here"),
        ('{name: "g0"', '{name: "g0', "a text that is not closed on its line"),
        ("list: address:", "list = address:", "'=' was not expected here; a field is NAME: VALUE"),
        ("products: [", "products: [{name: products}, ", "products[0].name"),
        ("budget:", 'webdav: {products: [{method: "GET", product: "reed"}], volumes: []}\nbudget:',
         "webdav.products[0].product is 'reed'; it may be 'read' or 'write'"),
        ("budget:", 'webdav: {products: [{method: "POST", product: "read"}], volumes: []}\nbudget:', 'it may be "GET" or "PUT"'),
        ("budget:", 'webdav: {products: [], volumes: [{plan: "gold"}]}\nbudget:', "volumes[0].plan is 'gold'; it may be 'open'"),
        ("budget: {floor: 3,", "budget: {", "budget.floor is missing; it is a number, as in 0.5"),
        ("window: gateway.travel}", "window: gateway.travel", "the file ends with 1 '{' not closed"),
    ],
)  # fmt: skip
def test_each_error_is_reported_with_its_location(old, new, message):
    assert old in GOOD
    with pytest.raises(SettingsError) as raised:
        resolve(GOOD.replace(old, new, 1), "g.cue")
    assert message in str(raised.value)
    assert all(line.startswith("g.cue:") for line in str(raised.value).split("\n"))


def test_several_errors_are_reported_together_in_order_of_location():
    text = GOOD.replace("travel: 15ms", "travel: 15").replace("payoff: 2", "payof: 2").replace("25%", "7")
    with pytest.raises(SettingsError) as raised:
        resolve(text, "g.cue")
    assert [error.location.line for error in raised.value.errors] == [3, 7, 11]
    assert raised.value.troubles == raised.value.errors  # the alias for programs of library surface 1


def test_a_record_that_contains_itself_is_an_error():
    with pytest.raises(SettingsError):
        resolve(GOOD + "#A: #B\n#B: #A\nlog: level: #A\n", "g.cue")


def test_a_missing_file_and_a_binary_file_are_errors(tmp_path):
    with pytest.raises(SettingsError, match="No such file"):
        load(tmp_path / "none.cue")
    (tmp_path / "bad.cue").write_bytes(b"\xff\xfe\x00")
    with pytest.raises(SettingsError, match="not a text in UTF-8"):
        load(tmp_path / "bad.cue")


tokens = st.sampled_from(
    [
        *list("{}[]:,|&*()\n"),
        "gateway",
        "name",
        "#Usual",
        '"x"',
        "5ms",
        "3/s",
        "1.5",
        "-2",
        ">=",
        "true",
        "...",
        "&",
        "//",
    ]
)


@settings(max_examples=300, deadline=None)
@given(st.lists(tokens, max_size=25).map(" ".join) | st.text(max_size=40))
def test_any_text_resolves_or_is_rejected(text):
    try:
        resolve(text, "any.cue")
    except SettingsError as raised:
        assert str(raised)


@settings(max_examples=150, deadline=None)
@given(
    st.integers(0, len(GOOD) - 1),
    st.integers(0, 12),
    st.sampled_from(["", "{", "}", '"', "[", ":", " 3 ", "null"]),
)
def test_any_damage_to_a_valid_file_resolves_or_is_rejected(at, length, inserted):
    try:
        resolve(GOOD[:at] + inserted + GOOD[at + length :], "g.cue")
    except SettingsError as raised:
        assert all(line.startswith("g.cue:") for line in str(raised).split("\n") if line[:1] == "g")


BGP_SETTINGS = (
    GOOD
    + """
bgp: {
	identifier: "10.0.0.5"
	peers: [{name: "p", address: "127.0.0.1:179", local_as: 64512, remote_as: 64600}]
	addresses: [{network: "192.0.2.10/32", next_hop: "192.0.2.1", communities: ["64512:7"]}]
}
"""
)


def test_bgp_settings_resolve_with_defaults_and_are_written_back():
    record = resolve(BGP_SETTINGS, "g.cue")
    assert record["bgp"]["peers"][0]["hold_time"] == 9000.0 and record["bgp"]["fitness"]["rest"] == 3000.0
    assert resolve(write(record), "again.cue") == record and "bgp" not in resolve(GOOD, "g.cue")


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("192.0.2.10/32", "192.0.2.10/31/3", "bgp.addresses[0].network is no prefix"),
        ('"192.0.2.1"', '"2001:db8::1"', "next_hop is not of the network's address family"),
        ("64512:7", "64512:x", "communities holds '64512:x'; one is NUMBER:NUMBER"),
        ("remote_as: 64600", "remote_as: 0", "bgp.peers[0].remote_as is 0; it must be >=1"),
        ("remote_as: 64600", "remote_as: 64600, hold_time: 2s", "must be 0s, or whole seconds from 3s"),
        ("remote_as: 64600", "remote_as: 64600, dials: false", "bgp.listen is empty: the two can never meet"),
        ("10.0.0.5", "0.0.0.0", "bgp.identifier is no IPv4 address above 0.0.0.0"),
        ("127.0.0.1:179", "127.0.0.1", "bgp.peers[0].address is no HOST:PORT"),
    ],
)
def test_each_error_in_bgp_settings_is_reported(old, new, message):
    assert old in BGP_SETTINGS
    with pytest.raises(SettingsError) as raised:
        resolve(BGP_SETTINGS.replace(old, new, 1), "g.cue")
    assert message in str(raised.value)


@pytest.mark.parametrize(("more", "message"), [
    ("registry: {servers: []}\n", "registry.servers names none"), ('registry: servers: ["x"]\n', "registry.servers[0] is 'x'; an address is HOST:PORT"),
    ('registry: servers: ["127.0.0.1:1"]\n', "list.address and registry both tell of nodes"),
])  # fmt: skip
def test_an_invalid_registry_is_reported(more, message):
    with pytest.raises(SettingsError) as raised:
        resolve(GOOD + more, "g.cue")
    assert message in str(raised.value)
