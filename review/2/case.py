"""A planned restart while a storage node hangs: requests that came after SIGTERM are never answered."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))
from review.common import platform  # noqa: E402 (the folder above is not installed)

LONGEST_DEADLINE_MS = 4000  # of the write class; the protocol page counts it as 3 s for the kill
KILL_AFTER_S = 3.0 + 0.7 + 0.02  # after SIGTERM: no sooner than this, less the 20 ms
OWED_FROM_S = 0.7  # a request that came later after SIGTERM is lost if SIGKILL finds it unanswered
FIRST_BEFORE_S = 0.05  # before SIGTERM, the write to the node that hangs
LATER_AT_S = (0.9, 1.2, 1.5, 1.8, 2.1, 2.4)  # after SIGTERM, reads of the same client on its open connection
CONTROL_AT_S = (1.0, 1.4, 1.9, 2.3)  # the same on another connection, on which nothing waits
HEALTHY, HANGING = 0, 1  # shards


def read(number: int) -> bytes:
    """A read at the healthy storage node."""
    return platform.Request(number, "rule-read", 2500, HEALTHY, plan="business").encode()


class Client:
    """One connection, on which requests may follow each other before they are answered."""

    def __init__(self, name: str, record: platform.Record) -> None:
        self.name, self.record = name, record
        self.sent: list[tuple[int, float]] = []  # id and time of the last byte, in order
        self.answers: list[bytes] = []
        self.over = False  # the gateway has ended the connection

    async def connect(self, port: int) -> None:
        """Opens the connection and reads what comes."""
        self.reader, self.writer = await asyncio.open_connection(platform.HOST, port)
        self.reading = asyncio.create_task(self._read())

    async def _read(self) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                answer = await platform.read_answer(self.reader)
                number = self.sent[len(self.answers)][0]
                self.answers.append(answer)
                self.record(f"client {self.name}: answer to id {number:016x}: {answer[:24]!r}")
        self.over = True
        self.record(f"client {self.name}: the connection is over")

    def send(self, number: int, data: bytes) -> None:
        """Sends a request if the gateway has not ended the connection."""
        if self.over:
            self.record(f"client {self.name}: id {number:016x} goes elsewhere")
            return
        self.writer.write(data)
        self.sent.append((number, time.monotonic()))
        self.record(f"client {self.name}: sends id {number:016x}")


async def planned_restart_answers_what_came_after_sigterm(record: platform.Record, trouble: bool) -> bool:
    """Plays the case; returns whether every request that came 0.7 s after SIGTERM or later was answered."""

    async def healthy(words: list[bytes]) -> bytes | None:
        await asyncio.sleep(0.03)
        return platform.served(b"value of " + words[2])

    async def hanging(words: list[bytes]) -> bytes | None:
        if trouble:
            return None
        await asyncio.sleep(0.06)
        return platform.served(b"value of " + words[2])

    nodes = [
        platform.StorageNode("healthy", HEALTHY, record, healthy),
        platform.StorageNode("hanging", HANGING, record, hanging),
    ]
    agent = platform.Agent(nodes)
    for each in (*nodes, agent):
        await each.start()
    settings = platform.settings_of(
        {"Name": "rule-read", "Aim": 300.0, "Deadline": 2500.0, "Writes": False},
        {
            "Name": "rule-change",
            "Aim": 600.0,
            "Deadline": float(LONGEST_DEADLINE_MS),
            "Effect": "unsafe",
            "SerialByKey": True,
            "Writes": True,
        },
        plan="business",
    )
    gateway = platform.GatewayProcess(agent, settings, record)
    try:
        await gateway.start()
        first, control = Client("one", record), Client("two", record)
        await first.connect(gateway.port)
        await control.connect(gateway.port)
        for client, number in ((first, 1), (control, 2)):
            client.send(number, read(number))
        await asyncio.sleep(0.5)
        hung = platform.Request(
            16, "rule-change", LONGEST_DEADLINE_MS, HANGING, value=b"new", plan="business"
        )
        first.send(16, hung.encode())
        await asyncio.sleep(FIRST_BEFORE_S)
        told_at = time.monotonic()
        if trouble:
            gateway.signal(signal.SIGTERM)
        plan = sorted(
            [(at, first) for at in LATER_AT_S] + [(at, control) for at in CONTROL_AT_S], key=lambda p: p[0]
        )
        for number, (at, client) in enumerate(plan, 32):
            await asyncio.sleep(max(0.0, told_at + at - time.monotonic()))
            client.send(number, read(number))
        code = await gateway.ended_within(told_at + KILL_AFTER_S - time.monotonic())
        if code is None:
            gateway.signal(signal.SIGKILL)
        else:
            record(f"gateway: ended with {code}")
        await asyncio.sleep(0.2)
    finally:
        await gateway.close()
    return judge(record, (first, control), told_at)


def judge(record: platform.Record, clients: tuple[Client, ...], told_at: float) -> bool:
    """Counts requests that came `OWED_FROM_S` after SIGTERM or later and were never answered."""
    owed = lost = 0
    for client in clients:
        for place, (number, sent_at) in enumerate(client.sent):
            if sent_at - told_at < OWED_FROM_S:
                continue
            owed += 1
            if place >= len(client.answers):
                lost += 1
                record(f"LOST: id {number:016x}, sent {sent_at - told_at:.2f} s after SIGTERM, no answer")
    if not owed:
        raise platform.CaseNotRunError("no request was sent after SIGTERM")
    record(f"result: {owed} requests came {OWED_FROM_S} s after SIGTERM or later, {lost} were never answered")
    print(f"{owed} requests after SIGTERM, {lost} never answered")
    return lost == 0


if __name__ == "__main__":
    sys.exit(platform.play(planned_restart_answers_what_came_after_sigterm, FOLDER))
