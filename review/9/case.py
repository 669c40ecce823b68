"""Clients that send many large writes at once take the gateway over its memory, and the platform kills it."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common_2"))
import bed as common  # noqa: E402

MEMORY_MB, SOCKETS = 96, 512  # the pages: 32 to 192 MB, 256 to 1,024 descriptors
CLIENTS, WRITES, VALUE = (
    40,
    200,
    b"x" * 65536,
)  # "hundreds of commands at once"; "a value holds 64 KiB at most"
QUIET_WRITES = 10  # without trouble: as many clients, one command after the other


class Play:
    """Clients that write, one that reads meanwhile, and a platform that watches the memory."""

    def __init__(self, bed: common.Bed) -> None:
        self.bed = bed
        self.ended = False
        self.killed_at = self.peak = 0.0
        self.answers: dict[str, int] = {}

    def note(self, answer: bytes | None) -> None:
        """Counts an answer."""
        kind = "none" if answer is None else answer[:12].decode()
        self.answers[kind] = self.answers.get(kind, 0) + 1

    async def writer(self, number: int) -> None:
        """Sends its writes at once and reads all answers; without trouble one after the other."""
        client = await common.Client(self.bed, f"client-{number}").connect()
        at_once = WRITES if common.trouble() else 1
        for _ in range(1 if common.trouble() else QUIET_WRITES):
            commands = [self._write(number, i) for i in range(at_once)]
            client.send(*commands)
            for _ in commands:
                answer = await client.answer(8)
                self.note(answer)
                if answer is None:
                    return

    def _write(self, number: int, i: int) -> list[bytes]:
        fields = {"c": "trip-write", "d": 2500, "shard": i % 4, "volume": number, "k": True}
        return self.bed.command(b"BLK.WRITE", number * 1000 + i, VALUE, **fields)

    async def reader(self) -> None:
        """A usual client, which asks ten times a second."""
        client = await common.Client(self.bed, "reader").connect()
        while not self.ended and not self.killed_at:
            client.send(self.bed.command(b"BLK.READ", 7, c="status-read", d=2000, shard=1, volume=999))
            self.note(answer := await client.answer(2.5))
            if answer is None:
                return
            await asyncio.sleep(0.1)

    async def platform(self) -> None:
        """Kills the gateway when it is over its memory, as the page on deployment says."""
        while not self.ended and not self.killed_at:
            self.peak = max(self.peak, memory := self.bed.resident_mb())
            if memory > MEMORY_MB:
                self.bed.record.add("platform", f"resident {memory:.1f} MB of {MEMORY_MB}")
                self.killed_at = self.bed.record.now()
                self.bed.signal(9)
            await asyncio.sleep(0.01)


async def play() -> int:
    """Returns 1 if the gateway was killed for its memory."""
    classes = [
        common.request_class("status-read", 300, 2000),
        common.request_class("trip-write", 500, 2500, "keyed", KeyScope="cell", SerialByKey=True),
    ]
    bed = common.Bed(FOLDER, common.settings(classes, [False, True]), SOCKETS, MEMORY_MB)
    bed.nodes = [common.Node(bed, f"s-{i}", i, 0.05) for i in range(4)]
    try:
        await bed.start()
        day = Play(bed)
        usual = asyncio.gather(day.platform(), day.reader())
        await asyncio.sleep(1)
        await asyncio.gather(*(day.writer(i) for i in range(CLIENTS)))
        await asyncio.sleep(1)
        day.ended = True
        await usual
        print(f"resident at most {day.peak:.1f} MB, limit {MEMORY_MB} MB; killed at {day.killed_at:.1f} s")
        print(f"answers: {day.answers}")
        return common.BROKEN if day.killed_at else common.HELD
    finally:
        await bed.close()


if __name__ == "__main__":
    common.main(play)
