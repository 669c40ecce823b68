"""Writes of clients that sent many commands at once and went begin at storage nodes long after the close."""

from __future__ import annotations

import asyncio
import socket
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common_2"))
import bed as common  # noqa: E402

CLIENTS, WRITES, ROUNDS = 20, 400, 5  # "hundreds of commands at once"
LATEST_SECONDS = 0.15  # "more than 0.1 s after the close", and 50 ms as for every time limit on sockets


async def play() -> int:
    """Returns 1 if an attempt began too long after its client's close."""
    classes = [
        common.request_class("status-read", 300, 2000),
        common.request_class("trip-write", 500, 2500, "keyed", KeyScope="cell", SerialByKey=True),
    ]
    bed = common.Bed(FOLDER, common.settings(classes, [False, True]))
    bed.nodes = [common.Node(bed, f"s-{i}", i, 0.02) for i in range(4)]
    try:
        await bed.start()
        closed: dict[bytes, float] = {}  # by request id
        for number in range(ROUNDS):
            await one_round(bed, number, closed)
        return judge(bed, closed)
    finally:
        await bed.close()


async def one_round(bed: common.Bed, number: int, closed: dict[bytes, float]) -> None:
    """All clients send their commands; then each closes, or waits for its answers if there is no trouble."""
    clients = [socket.create_connection(("127.0.0.1", bed.port)) for _ in range(CLIENTS)]
    work = []
    for i in range(CLIENTS):
        pieces = range((number * CLIENTS + i) * WRITES, (number * CLIENTS + i + 1) * WRITES)
        work.append([write(bed, piece) for piece in pieces])
    data = [b"".join(common.encode(words) for words in commands) for commands in work]
    await asyncio.sleep(0.2)
    for i, (client, commands) in enumerate(zip(clients, work, strict=True)):
        client.sendall(data[i])
        bed.record.add(
            f"client-{i}", f"sent {len(commands)} writes, ids {commands[0][2]!r} to {commands[-1][2]!r}"
        )
        if common.trouble():
            client.close()
            closed.update((words[2], time.monotonic()) for words in commands)
            bed.record.add(f"client-{i}", "closed")
    await asyncio.sleep(1.5 if common.trouble() else 4)
    for i, (client, commands) in enumerate(zip(clients, work, strict=True)):
        if not common.trouble():
            bed.record.add(f"client-{i}", f"read {len(client.recv(1 << 20))} bytes of answers, closes")
        client.close()
        closed.update((words[2], time.monotonic()) for words in commands if words[2] not in closed)
    await asyncio.sleep(0.5)


def write(bed: common.Bed, piece: int) -> list[bytes]:
    """Returns a write with a new id."""
    fields = {"c": "trip-write", "d": 2500, "shard": piece % 4, "volume": piece % 8, "k": True}
    return bed.command(b"BLK.WRITE", piece, b"v", **fields)


def judge(bed: common.Bed, closed: dict[bytes, float]) -> int:
    """Compares when attempts began with when their clients closed."""
    runs = [(at, words[2]) for node in bed.nodes for at, words in node.runs]
    late = sorted(at - closed[number] for at, number in runs if number in closed)
    late = [seconds for seconds in late if seconds > LATEST_SECONDS]
    print(f"{len(runs)} attempts began; {len(late)} more than {LATEST_SECONDS} s after their client's close")
    if late:
        print(f"from {late[0]:.3f} to {late[-1]:.3f} s after it")
        return common.BROKEN
    return common.HELD


if __name__ == "__main__":
    common.main(play)
