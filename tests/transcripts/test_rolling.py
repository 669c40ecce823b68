"""Two versions side by side as approved text: going back, the form raised, an older program turned away."""

import json
from types import SimpleNamespace

import msgspec
from test_fleet_part import Fleet as Gateways
from test_transcripts import tap  # noqa: F401  (a fixture)
from transcript import Approved, Fleet

from ochrecourse.cli.control import answer
from ochrecourse.storage.journal import MemoryJournal


class Forms(Fleet):
    """As gateways talk in any form; that a body was checked is said in place of its sum."""

    def told(self, header, body):
        if header.pop("form", 1) == 2:
            header.pop("sum")
            text = super().told(header, msgspec.json.encode(msgspec.msgpack.decode(body)))
            return f"{text} (form 2, checked)" if text else ""
        return super().told(header, body)


def test_an_older_program_beside_a_newer_one_until_the_form_is_raised(tap, snapshot):  # noqa: F811
    fleet = Gateways("ab", newest_form=1)
    for name, port in fleet.ports.items():
        tap.place(port, name, "a" if name != "a" else "b", Forms)

    def ask(name, **asked):
        told = answer(
            SimpleNamespace(fleet_member=fleet.parts[name]), json.dumps({"do": "form", **asked}).encode()
        )
        said = told.get("error") or " ".join(
            f"{k}={v}" for k, v in told.items() if k not in ("writer", "seq")
        )
        tap.note(fleet.network, f"{name} is asked {json.dumps(asked)}: {said}")

    def replace(name, newest, kept=True):
        fleet.parts[name].stop()
        if not kept:
            fleet.journals[name] = MemoryJournal()
        fleet.run(0.2)
        tap.note(
            fleet.network,
            f"{name} starts again and speaks forms 1 to {newest}{'' if kept else ', with an empty folder'}",
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
    replace("b", 1, kept=False)
    fleet.run(1.5)
    for name, part in fleet.parts.items():
        tap.note(
            fleet.network,
            f"{name} reaches {fleet.reached(name)} and holds {len(part.log.events('notes'))} notes",
        )
    story = "Gateways a and b are replaced by a newer program one by one; the form is raised once both speak it; then an older program comes."
    assert tap.text(story) == snapshot(extension_class=Approved)
