"""Usual clients: one request at a time on a connection that they keep; prints what became of the requests as JSON.

python -m floods.usual PORT CLIENTS SECONDS
"""

import asyncio
import json
import sys
import time

from floods.commands import (
    CLASS_LIMITS_MS,
    FLOODED_SHARDS,
    LARGEST_VALUE,
    NODES,
    READ_CLASS,
    WRITE_CLASS,
    Commands,
)

USUAL_SHARDS = range(FLOODED_SHARDS, NODES)
PAUSE_SECONDS = 0.05
LOST_AFTER_SECONDS = 0.5  # STANDING: a request that is answered later than this after its time is lost
NETWORK_SECONDS = 0.05  # the protocol page: "every time limit is 50 ms longer"


async def read_reply(reader):
    line = await reader.readline()
    if line[:1] == b"$" and line != b"$-1\r\n":
        await reader.readexactly(int(line[1:]) + 2)
    return line


class UsualClient:
    """One client; counts its answers."""

    def __init__(self, number, counts, slowest):
        self.commands = Commands(number + 1)
        self.number, self.counts, self.slowest = number, counts, slowest

    async def run(self, port, streams, seconds):
        reader, writer = streams
        until = time.monotonic() + seconds
        turn = 0
        while time.monotonic() < until:
            turn += 1
            kind, command = self.next_command(turn)
            began = time.monotonic()
            writer.write(command)
            deadline = CLASS_LIMITS_MS[kind][1] / 1000
            try:
                line = await asyncio.wait_for(
                    read_reply(reader), deadline + LOST_AFTER_SECONDS + NETWORK_SECONDS
                )
            except (TimeoutError, OSError, asyncio.IncompleteReadError):
                line = b""
            self.note(line, time.monotonic() - began, deadline)
            if not line:
                writer.close()
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
            await asyncio.sleep(PAUSE_SECONDS)
        writer.close()

    def next_command(self, turn):
        where = {"volume": 1000 + self.number, "shard": USUAL_SHARDS[turn % len(USUAL_SHARDS)]}
        if turn % 4 == 0:
            return WRITE_CLASS, self.commands.write(**where)
        if turn % 10 == 1:
            return WRITE_CLASS, self.commands.write(size=LARGEST_VALUE, **where)
        return READ_CLASS, self.commands.read(**where)

    def note(self, line, took, deadline):
        kind = {b"$": "served", b"-": "refused" if line.startswith(b"-BUSY") else "failed"}.get(
            line[:1], "none"
        )
        self.counts[kind] = self.counts.get(kind, 0) + 1
        self.counts["late"] = self.counts.get("late", 0) + (took > deadline + NETWORK_SECONDS)
        self.slowest.append(took)


async def main(port, clients, seconds):
    counts, slowest = {}, []
    streams = [await asyncio.open_connection("127.0.0.1", port) for _ in range(clients)]
    print("connected", flush=True)
    usual = [UsualClient(number, counts, slowest) for number in range(clients)]
    await asyncio.gather(*(each.run(port, streams[each.number], seconds) for each in usual))
    print(json.dumps({**counts, "slowest": round(max(slowest, default=0.0), 3)}))


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3])))
