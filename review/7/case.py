"""Other clients send hundreds of commands at once, of many volumes: the gateway stands still for long."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common_2"))
import bed as common  # noqa: E402

FLOODERS, COMMANDS = 80, 300  # "many bad clients"; "hundreds of commands at once"
CLIENTS, D_MS = 40, 480  # d as on the protocol page
LATEST_SECONDS = D_MS / 1000 + 0.5 + 0.05  # "up to half a second after its time"; "50 ms longer"
BEFORE_SECONDS, BETWEEN_SECONDS = 0.5, 0.05
NONE = 99.0  # s


async def start_flood(bed: common.Bed) -> asyncio.subprocess.Process:
    """Starts the other clients' process; all of them are connected when this returns."""
    told = ["--port", str(bed.port), "--clients", str(FLOODERS), "--commands", str(COMMANDS)]
    process = await asyncio.create_subprocess_exec(
        sys.executable, str(FOLDER.parent / "common_2" / "flood.py"), *told,
        stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE,
    )  # fmt: skip
    assert process.stdout is not None
    await process.stdout.readline()
    return process


async def ask(bed: common.Bed, number: int, at: float) -> float:
    """Sends one request at its time; returns how long its answer took, NONE without one in 30 s."""
    client = await common.Client(bed, f"client-{number}").connect()
    client.ping()
    await client.answer(5)
    await asyncio.sleep(max(0.0, at - time.monotonic()))
    client.send(
        bed.command(b"BLK.READ", number, c="status-read", d=D_MS, shard=number % 4, volume=number % 8)
    )
    sent = time.monotonic()
    answer = await client.answer(30)
    client.close()
    return NONE if answer is None else time.monotonic() - sent


async def play() -> int:
    """Returns 1 if a request had no answer half a second after its time."""
    classes = [
        common.request_class("status-read", 300, 2000),
        common.request_class("history-export", 1500, 5000),
    ]
    bed = common.Bed(FOLDER, common.settings(classes, [False, False]))
    bed.nodes = [common.Node(bed, f"s-{i}", i, 0.1 if i == 0 else 0.04) for i in range(4)]
    flood: asyncio.subprocess.Process | None = None
    try:
        await bed.start()
        if common.trouble():
            flood = await start_flood(bed)
        begin = time.monotonic() + BEFORE_SECONDS
        asked = [asyncio.ensure_future(ask(bed, i, begin + i * BETWEEN_SECONDS)) for i in range(CLIENTS)]
        await asyncio.sleep(begin + BEFORE_SECONDS - time.monotonic())
        if flood is not None and flood.stdin is not None:
            flood.stdin.write(b"send\n")
            bed.record.add("flood", f"{FLOODERS} clients send {COMMANDS} commands each")
        return judge(bed, await asyncio.gather(*asked))
    finally:
        await common.end(flood)
        await bed.close()


def judge(bed: common.Bed, took: list[float]) -> int:
    """Compares how long the answers took with the latest that the pages allow."""
    late = sorted(seconds for seconds in took if seconds > LATEST_SECONDS)
    print(f"{len(took)} requests of {D_MS} ms; {len(late)} had no answer after {LATEST_SECONDS:.2f} s")
    slowest = "none within 30 s" if max(took) == NONE else f"after {max(took):.2f} s"
    print(f"the slowest answer came: {slowest}; resident {bed.resident_mb():.0f} MB")
    return common.BROKEN if late else common.HELD


if __name__ == "__main__":
    common.main(play)
