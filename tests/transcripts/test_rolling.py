"""Transcript of two releases side by side: downgrade, raising the format version, rejecting an older release."""

import json
from types import SimpleNamespace

import msgspec
from test_fleet_part import Fleet as Gateways
from test_transcripts import tap  # noqa: F401  (a fixture)
from transcript import Approved, Fleet

from ochrecourse.cli.control_answers import answer
from ochrecourse.storage.journal import MemoryJournal


class AnyVersion(Fleet):
    """Links of a fleet in any format version; shows that a body has a checksum in place of its value."""

    def describe(self, header, body):
        if header.pop("form", 1) == 2:
            header.pop("sum")
            text = super().describe(header, msgspec.json.encode(msgspec.msgpack.decode(body)))
            return f"{text} (form 2, checked)" if text else ""
        return super().describe(header, body)


def test_an_older_program_beside_a_newer_one_until_the_form_is_raised(tap, snapshot):  # noqa: F811
    fleet = Gateways("ab", newest_form=1)
    for name, port in fleet.ports.items():
        tap.name_port(port, name, "a" if name != "a" else "b", AnyVersion)

    def ask(name, **request):
        result = answer(
            SimpleNamespace(fleet_member=fleet.parts[name]), json.dumps({"do": "form", **request}).encode()
        )
        text = result.get("error") or " ".join(
            f"{k}={v}" for k, v in result.items() if k not in ("writer", "seq")
        )
        tap.note(fleet.network, f"{name} is asked {json.dumps(request)}: {text}")

    def replace(name, newest, keeps_disk=True):
        fleet.parts[name].stop()
        if not keeps_disk:
            fleet.journals[name] = MemoryJournal()
        fleet.run(0.2)
        tap.note(
            fleet.network,
            f"{name} starts again and speaks forms 1 to {newest}{'' if keeps_disk else ', with an empty folder'}",
        )
        fleet.start(name, newest_form=newest)
        fleet.run(1.5)

    fleet.run(1)
    replace("a", 2)
    ask("a", form=2)
    replace("b", 2)
    ask("a")
    fleet.parts["b"].append("notes", "in form 1")
    fleet.run(0.3)
    ask("a", form=2)
    fleet.run(0.3)
    fleet.parts["b"].append("notes", "in form 2")
    fleet.run(0.3)
    ask("b", form=1)
    replace("b", 1, keeps_disk=False)
    fleet.run(1.5)
    for name, part in fleet.parts.items():
        tap.note(
            fleet.network,
            f"{name} reaches {fleet.reached(name)} and holds {len(part.log.events('notes'))} notes",
        )
    description = "Gateways a and b are replaced by a newer program one by one; the form is raised once both speak it; then an older program comes."
    assert tap.text(description) == snapshot(extension_class=Approved)
