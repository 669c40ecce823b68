"""Transcript of requests to a shard that only a left zone stores. `make transcripts` shows differences."""

import pytest
from test_gateway import answer
from test_transcripts import named_harness
from transcript import Approved, Tap


@pytest.fixture
def tap(monkeypatch):
    return Tap(monkeypatch)


def test_shard_that_only_a_left_zone_holds(tap, make_gateway_harness, snapshot):
    """The fleet left a zone, of which node 70 is bounded to the pace of probes and holds its shard alone. The first job is
    tried there, those that follow are denied at once with the time from which there is room; who comes back then is served.
    """
    harness = named_harness(tap, make_gateway_harness, answer)
    client = harness.client()
    harness.gateway.node_rates_received({70: 2.0})  # units a second: three in the 1.5 s of the rule
    for number in (1, 2, 3):
        harness.submit(client, number, units=2.0, timeout_ms=400)
        harness.run(0.6)
    harness.submit(client, 4, units=2.0, timeout_ms=400)
    harness.run(0.1)
    tap.note(harness.network, "the zone returns, and its nodes are bounded no more")
    harness.gateway.node_rates_received({})
    harness.submit(client, 5, units=2.0, timeout_ms=400)
    harness.run(0.5)
    assert tap.text(test_shard_that_only_a_left_zone_holds.__doc__) == snapshot(extension_class=Approved)
