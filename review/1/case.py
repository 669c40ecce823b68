"""Messages come in pieces: requests that were sent whole, one behind the other, are never answered."""

from __future__ import annotations

import asyncio
import contextlib
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))
from review.common import platform  # noqa: E402 (the folder above is not installed)

REQUESTS = 80  # on one connection, each sent before the one ahead of it is answered
REQUEST_EVERY_S = 0.06  # one request in this time, whether its bytes come at once or in two halves
TIMEOUT_MS = 5000  # how long the client waits for each answer
NODES = 8  # each holds a shard; the requests go to them in turn
UNITS = 8  # of each read, the largest; a usual one has 2.07 and a mean work of 93 to 150 ms
WORK_S = 0.5  # of a storage node for each: 8 / 2.07 of the usual is 0.36 to 0.58 s
GRACE_S = 0.5  # an answer may come so much later than the client's time
CROSSING_S = 0.05  # requests sent so shortly before the end of the connection was seen may have crossed it


async def a_client_that_writes_slowly_loses_no_request(record: platform.Record, trouble: bool) -> bool:
    """Plays the case; returns whether each request that was sent whole got an answer."""

    async def healthy(words: list[bytes]) -> bytes | None:
        await asyncio.sleep(WORK_S)
        return platform.served(b"value of " + words[2])

    nodes = [platform.StorageNode(f"n{shard}", shard, record, healthy) for shard in range(NODES)]
    agent = platform.Agent(nodes)
    for each in (*nodes, agent):
        await each.start()
    settings = platform.settings_of(
        {"Name": "history-export", "Aim": 1500.0, "Deadline": float(TIMEOUT_MS), "Writes": False},
    )
    gateway = platform.GatewayProcess(agent, settings, record)
    try:
        await gateway.start()
        reader, writer = await asyncio.open_connection(platform.HOST, gateway.port)
        sent: list[float] = []  # when the last byte of each request was written
        answers: list[bytes] = []
        ended_at = 0.0

        async def read_answers() -> None:
            nonlocal ended_at
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                while True:
                    answer = await platform.read_answer(reader)
                    answers.append(answer)
                    record(f"client: answer {len(answers)}: {answer[:64]!r}")
            ended_at = time.monotonic()
            record("client: the gateway has ended the connection")

        reading = asyncio.create_task(read_answers())
        requests = [
            platform.Request(i, "history-export", TIMEOUT_MS, i % NODES, units=UNITS).encode()
            for i in range(1, REQUESTS + 1)
        ]
        tail = b""  # the second half of the request that was begun in the last write
        for number, request in enumerate([*requests, b""], 1):
            if reading.done():
                break
            half = len(request) // 2 if trouble else len(request)
            writer.write(tail + request[:half])
            if trouble and tail:
                sent.append(time.monotonic())
                record(f"client: second half of request {number - 1}, first half of request {number}")
            elif not trouble and request:
                sent.append(time.monotonic())
                record(f"client: request {number} at once")
            tail = request[half:]
            await asyncio.sleep(REQUEST_EVERY_S)
        until = time.monotonic() + TIMEOUT_MS / 1000 + GRACE_S
        while len(answers) < len(sent) and time.monotonic() < until and not reading.done():
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.1)
        reading.cancel()
        writer.close()
    finally:
        await gateway.close()
    return judge(record, sent, answers, ended_at)


def judge(record: platform.Record, sent: list[float], answers: list[bytes], ended_at: float) -> bool:
    """Counts requests that were sent whole while the connection was open, and that got no answer."""
    lost = 0
    for number, sent_at in enumerate(sent, 1):
        crossed = bool(ended_at) and sent_at > ended_at - CROSSING_S
        if number > len(answers) and not crossed:
            lost += 1
            before = (
                f"{ended_at - sent_at:.2f} s before the end of the connection" if ended_at else "no end seen"
            )
            record(f"LOST: request {number}, whole {before}")
    if len(sent) < 2:
        raise platform.CaseNotRunError("the client could not send")
    record(f"result: {len(sent)} requests sent whole, {len(answers)} answers, {lost} lost")
    print(f"{len(sent)} requests sent whole, {len(answers)} answers, {lost} lost")
    return lost == 0


if __name__ == "__main__":
    sys.exit(platform.play(a_client_that_writes_slowly_loses_no_request, FOLDER))
