"""Transcript of a fleet that restarts without a gateway that does not return."""

import json
from types import SimpleNamespace

import pytest
from test_fleet_part import Fleet as Gateways
from test_fleet_part import bodies
from transcript import Approved, Fleet, Tap

from ochrecourse.cli.control_answers import answer


@pytest.fixture
def tap(monkeypatch):
    return Tap(monkeypatch)


def test_fleet_begins_anew_without_a_name_that_is_given_up(tap, snapshot):
    """All gateways of a fleet lose power, and one does not come back. The others wait for it, whatever is appended,
    until a person gives it up; then what was appended is settled."""
    fleet = Gateways("abc")
    fleet.run(3)
    for part in fleet.parts.values():
        part.kill()
    fleet.run(1)
    tap.events.clear()
    tap.name_port(fleet.ports["b"], "b", "a", Fleet)
    tap.note(fleet.network, "a and b start anew")
    del fleet.parts["c"]
    for name in "ab":
        fleet.start(name)
    fleet.run(4)
    fleet.parts["b"].append("notes", "from b")
    fleet.run(2)
    tap.note(fleet.network, f"a's readers have {len(bodies(fleet.parts['a'], 'notes'))} notes")
    for name in ("b", "c"):
        request = {"do": "give up", "name": name}
        result = answer(SimpleNamespace(fleet_member=fleet.parts["a"]), json.dumps(request).encode())
        text = result.get("error") or "done"
        tap.note(fleet.network, f"a is asked {json.dumps(request)}: {text}")
    fleet.run(4)
    tap.note(fleet.network, f"a's readers have {len(bodies(fleet.parts['a'], 'notes'))} notes")
    assert tap.text(
        " ".join(test_fleet_begins_anew_without_a_name_that_is_given_up.__doc__.split())
    ) == snapshot(extension_class=Approved)
