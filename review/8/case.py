"""Storage nodes close idle connections early: the gateway's memory grows until the platform kills it."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common_2"))
import bed as common  # noqa: E402

MEMORY_MB, SOCKETS = 56, 1024  # the pages: 32 to 192 MB, 256 to 1,024 descriptors
NODES, CLIENTS, RATE = 150, 40, 400.0  # requests a second of this gateway
IDLE_SECONDS = 0.3  # docs/relay.md: "it was 0.3 to 0.5 s on one such day"
PLAY_SECONDS = 100.0
ANSWER_SECONDS = 2.5  # the client's 2 s and the half second in which an answer only earns nothing


class Play:
    """The day: clients that keep their connections, nodes, and a platform that watches the memory."""

    def __init__(self, bed: common.Bed) -> None:
        self.bed = bed
        self.random = random.Random(58)
        self.ends = time.monotonic() + PLAY_SECONDS
        self.killed_at = self.memory = 0.0
        self.sent = self.served = self.lost = 0

    async def client(self, number: int) -> None:
        """Asks at an even pace on one connection, which it keeps."""
        client = await common.Client(self.bed, f"client-{number}").connect()
        await asyncio.sleep(number / RATE)
        while time.monotonic() < self.ends and not self.killed_at:
            began = time.monotonic()
            node = self.random.randrange(NODES)
            client.send(
                self.bed.command(b"BLK.READ", node, c="status-read", d=2000, shard=node, volume=number)
            )
            self.sent += 1
            answer = await client.answer(ANSWER_SECONDS)
            self.served += answer is not None and answer[:1] == b"$"
            self.lost += answer is None
            if answer is None:
                return
            await asyncio.sleep(max(0.0, began + CLIENTS / RATE - time.monotonic()))

    async def platform(self) -> None:
        """Kills the gateway when it is over its memory, as the page on deployment says."""
        while time.monotonic() < self.ends and not self.killed_at:
            memory = self.memory = self.bed.resident_mb()
            self.bed.record.add("platform", f"resident {memory:.1f} MB of {MEMORY_MB}")
            if memory > MEMORY_MB:
                self.killed_at = self.bed.record.now()
                self.bed.signal(9)
            await asyncio.sleep(1)


async def play() -> int:
    """Returns 1 if the gateway was killed for its memory."""
    classes = [
        common.request_class("status-read", 300, 2000),
        common.request_class("trip-write", 500, 2500, "keyed", KeyScope="cell", SerialByKey=True),
    ]
    bed = common.Bed(FOLDER, common.settings(classes, [False, True]), SOCKETS, MEMORY_MB)
    common.Node.slots, common.Node.idle = 4, IDLE_SECONDS if common.trouble() else None
    bed.nodes = [common.Node(bed, f"s-{i}", i, 0.02) for i in range(NODES)]
    try:
        await bed.start()
        day = Play(bed)
        first = bed.resident_mb()
        await asyncio.gather(day.platform(), *(day.client(i) for i in range(CLIENTS)))
        memory = f"resident {first:.1f} MB at the start, {day.memory:.1f} MB at the end, limit {MEMORY_MB} MB"
        print(memory + (f"; killed at {day.killed_at:.0f} s" if day.killed_at else ""))
        print(f"{day.sent} requests sent, {day.served} served, {day.lost} without an answer")
        if day.killed_at:
            return common.BROKEN
        return common.HELD if day.served else common.NOT_RUN
    finally:
        await bed.close()


if __name__ == "__main__":
    common.main(play)
