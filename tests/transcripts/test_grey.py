"""Transcript of two gateways that number their zones differently."""

import pytest
from test_fleet_grey import start_members
from transcript import Approved, Fleet, Tap


@pytest.fixture
def tap(monkeypatch):
    return Tap(monkeypatch)


def test_two_gateways_name_their_zones_in_another_order(tap, snapshot):
    """Gateway a has zones north, south in its settings, b has them turned. Both say so; what b decides of its zone 1,
    which is north, goes into the one log and moves nothing at a."""
    for port, here, there in ((20_000, "a", "b"), (20_001, "b", "a")):
        tap.name_port(port, here, there, Fleet)
    network, made, lines = start_members({"a": ("north", "south"), "b": ("south", "north")})
    for name, event, fields in lines:
        if event == "fleet settings differ":
            tap.note(
                network,
                f"{name} logs: {event}, peer {fields['peer']}, {fields['what']}: here {fields['here']}, there {fields['there']}",
            )
    channel, body = made["b"].zone_subsystem.operator_entry(1, "left")
    made["b"].append(channel, body)
    network.advance(1)
    for name, part in made.items():
        zones = part.zones.report()["zones"]
        tap.note(
            network,
            f"{name} holds of zones {zones or 'nothing but in'}; its evidence is that of {', '.join(part.zones.context.reachable)}",
        )
    text = tap.text(test_two_gateways_name_their_zones_in_another_order.__doc__)
    assert text == snapshot(extension_class=Approved)
