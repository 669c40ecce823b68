"""Transcript of the exchange after a long absence. `make transcripts` shows differences."""

from test_fleet_part import SAID
from test_transcripts import named_fleet, tap  # noqa: F401 - the fixture
from transcript import Approved

from ochrecourse.fleet import anti_entropy, exchange_context, snapshot_transfer


def test_fleet_decision_goes_before_a_backlog(tap, snapshot, monkeypatch):  # noqa: F811
    """Two gateways were apart, and one wrote much. They meet: some of the backlog, then at once the newest event of
    channel `fleet`, which is of the log only in its turn; the rest at the pace of the settings."""
    monkeypatch.setattr(anti_entropy, "SLICE_BYTES", 600)
    monkeypatch.setattr(snapshot_transfer, "SLICE_BYTES", 600)
    monkeypatch.setattr(exchange_context, "MAX_BUDGET_BYTES", 600)
    fleet = named_fleet(tap, "ab", log={**SAID["log"], "catch_up": 8192.0})
    fleet.cut("a", "b")
    fleet.run(0.2)
    for i in range(24):
        fleet.parts["a"].append(f"lessons-{i % 2}", f"{i}: " + "what was written meanwhile, " * 2)
    fleet.parts["a"].append("fleet", {"what": "told"})
    early = []
    fleet.parts["b"].common.on_early_entry = lambda entry: (
        early.append(entry), tap.note(fleet.network, f"b shows early entry {entry.seq} to what rests on the fleet"),
    )  # fmt: skip
    fleet.cut("a", "b", None)
    fleet.run(4)
    assert len(early) == 1 and fleet.dumps("lessons-0") == {fleet.parts["a"].dump("lessons-0")}
    assert tap.text(test_fleet_decision_goes_before_a_backlog.__doc__) == snapshot(extension_class=Approved)
