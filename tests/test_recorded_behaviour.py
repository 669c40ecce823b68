"""What the decisions reply and what crosses the wires on recorded days, as digests that a change of names must not move.

A change that is meant to alter behaviour writes them anew and says so in its commit:
`python tests/test_recorded_behaviour.py`, from the root.
"""

import dataclasses
import enum
import hashlib
import json
import random
from pathlib import Path

import pytest
from test_cold_fleet import Day as ColdDay
from test_service import Shop, read, write

from ochrecourse.scheduler.scheduler import Scheduler
from ochrecourse.lab.days import demo
from ochrecourse.lab.play import VirtualPlay
from ochrecourse.lab.virtual import VirtualTransport
from ochrecourse.resp import codec
from ochrecourse.standins.resp_node import success_reply

RECORDED = Path(__file__).parent / "recorded" / "behaviour.json"


def plain(value):
    """A value without the names of its types, fields and members."""
    if dataclasses.is_dataclass(value):
        return [plain(getattr(value, each.name)) for each in dataclasses.fields(value)]
    return list(type(value)).index(value) if isinstance(value, enum.Enum) else value


class Recording:
    """Counts and digests what is noted, in its order."""

    def __init__(self):
        self.count = 0
        self.digest = hashlib.blake2b(digest_size=16)

    def note(self, *values):
        self.count += 1
        self.digest.update(repr(values).encode())

    def told(self):
        return {"count": self.count, "digest": self.digest.hexdigest()}


def recorded_host(recording):
    """The decisions, with every reply and every time at which they want to be asked again noted."""

    class RecordedHost(Scheduler):
        def decide(self, now):
            reply = super().decide(now)
            recording.note(now, plain(reply))
            return reply

        def next_due(self):
            due = super().next_due()
            recording.note(due)
            return due

    return RecordedHost


def write_recorded(recording, monkeypatch):
    """Notes all that either end of any connection of a virtual network writes from now on."""
    plain_write = VirtualTransport.write

    def noted_write(transport, data):
        recording.note(round(transport.network.seconds() * 1e9), bytes(data))
        plain_write(transport, data)

    monkeypatch.setattr(VirtualTransport, "write", noted_write)


def decisions_of_cold_fleets():
    recording = Recording()
    for seed in range(60):
        ColdDay(seed, 5, recorded_host(recording)).plan().play()
    return recording.told()


def decisions_and_wire_of_day(day, monkeypatch):
    decisions, wire = Recording(), Recording()
    write_recorded(wire, monkeypatch)
    VirtualPlay(day, recorded_host(decisions)).run()
    return {"decisions": decisions.told(), "wire": wire.told()}


def answer(draw):
    """What a storage node says to a command, drawn: mostly a value, at times busy, failed, spoilt or nothing."""
    return lambda words: draw.choice(
        [success_reply(words)] * 12 + [b"-BUSY\r\n", b"-ERR failed\r\n", b"nonsense\r\n", None]
    )


def wire_of_platform(monkeypatch):
    """Clients of the platform's protocol for some seconds, up to the end of the gateway."""
    recording, draw = Recording(), random.Random(11)
    write_recorded(recording, monkeypatch)
    shop = Shop(reply=answer(draw))
    clients = [shop.client() for _ in range(4)]
    for number in range(1, 400):
        command = (read if draw.random() < 0.7 else write)(number, d=draw.choice([50, 300, 900, 2000]))
        draw.choice(clients).say(command)
        shop.run(draw.uniform(0, 0.03))
        if draw.random() < 0.02:
            clients[0].transport.loseConnection()
            clients = [*clients[1:], shop.client()]
    shop.service.leave()
    shop.run(4)
    for client in clients:
        reader = codec.Replies()
        reader.feed(client.got)
        recording.note(client.ended, len(client.got))
    return recording.told()


BEHAVIOURS = {
    "demo": lambda monkeypatch: decisions_and_wire_of_day(demo(), monkeypatch),
    "cold fleets": lambda monkeypatch: decisions_of_cold_fleets(),
    "platform": wire_of_platform,
}


@pytest.mark.long
@pytest.mark.parametrize("name", BEHAVIOURS)
def test_behaviour_is_as_recorded(name, monkeypatch):
    assert BEHAVIOURS[name](monkeypatch) == json.loads(RECORDED.read_text())[name]


class LateHost(Scheduler):
    """Mistake: the decisions want to be asked again a nanosecond later."""

    def next_due(self):
        return super().next_due() + 1


def test_a_change_of_behaviour_is_seen(monkeypatch):
    monkeypatch.setattr("test_recorded_behaviour.Scheduler", LateHost)
    assert decisions_of_cold_fleets() != json.loads(RECORDED.read_text())["cold fleets"]


def main():
    told = {}
    for name, behaviour in BEHAVIOURS.items():
        with pytest.MonkeyPatch.context() as monkeypatch:
            told[name] = behaviour(monkeypatch)
    RECORDED.write_text(json.dumps(told, indent=2) + "\n")


if __name__ == "__main__":
    main()
