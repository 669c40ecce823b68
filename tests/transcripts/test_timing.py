"""Transcript of reads of one object around the closing time of a site."""

import pytest
from test_transcripts import named_building
from transcript import Approved, Tap


@pytest.fixture
def tap(monkeypatch):
    return Tap(monkeypatch)


def test_reads_around_a_close_share_the_next_fetch(tap, snapshot):
    """Around the close no copy may be used: whoever asks while a leg is out waits for the one after it."""
    building = named_building(tap)
    building.until(8000)
    building.read("g0")
    building.until(29_950)
    tap.note(building.network, "50 ms before the close by true time, within the clocks' bound: four ask")
    for _ in range(4):
        building.send_read("g0")
    building.until(31_000)
    tap.note(building.network, "a second after it two ask, and the second is told from the first one's copy")
    building.read("g0")
    building.read("g0")
    doc = test_reads_around_a_close_share_the_next_fetch.__doc__
    assert tap.text(doc) == snapshot(extension_class=Approved)
