"""Clients that send much at once and close as soon as the system has taken the last byte; the same ids come again later.

    python -m floods.leaving_clients PORT ROUNDS HOW

HOW: `fin` or `reset`. Prints a line of JSON for each connection: when it was closed and its ids.
"""

import json
import random
import select
import socket
import struct
import sys
import threading
import time

from floods.commands import FLOODED_SHARDS, Commands

SMALL_CLIENTS, SMALL_WRITES, SMALL_BYTES = 10, 1_500, 100
LARGE_CLIENTS, LARGE_WRITES, LARGE_BYTES = 6, 400, 64_000
LATEST_RETURN_SECONDS = 2.0
SEND_SECONDS = 20.0
PAUSE_SECONDS = 0.1  # of every second client, after the first part of what it sends
FIRST_FRACTION = 20
PRINTING = threading.Lock()


def send_and_leave(port, commands, first_id, count, size, how, pause):
    numbers = range(first_id, first_id + count)
    data = b"".join(
        commands.write(size=size, volume=number % 64, shard=number % FLOODED_SHARDS, number=number)
        for number in numbers
    )
    opened = time.monotonic()
    client = socket.create_connection(("127.0.0.1", port), timeout=SEND_SECONDS)
    sent, view, until = 0, memoryview(data), time.monotonic() + SEND_SECONDS
    try:
        if pause:
            sent = len(data) // FIRST_FRACTION
            client.sendall(view[:sent])
            time.sleep(pause)  # some of its requests run by then
        client.setblocking(False)
        while sent < len(data) and time.monotonic() < until:
            select.select([], [client], [], 1)
            sent += client.send(view[sent:])
    except OSError:
        pass
    if how == "reset":
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()
    told = {"opened": opened, "closed": time.monotonic(), "first": first_id, "count": count}
    line = json.dumps({**told, "sent": sent == len(data)})
    with PRINTING:
        print(line, flush=True)


def client(port, number, count, size, how, seed):
    drawn = random.Random(seed * 1000 + number)
    first_id = (seed * 100 + number + 1) << 24
    commands = Commands()
    pause = PAUSE_SECONDS if number % 2 else 0
    send_and_leave(port, commands, first_id, count, size, how, pause)
    time.sleep(drawn.uniform(0.0, LATEST_RETURN_SECONDS))
    send_and_leave(port, commands, first_id, count, size, how, pause)


def main(port, rounds, how):
    kinds = [(SMALL_WRITES, SMALL_BYTES)] * SMALL_CLIENTS + [(LARGE_WRITES, LARGE_BYTES)] * LARGE_CLIENTS
    for seed in range(rounds):
        threads = [
            threading.Thread(target=client, args=(port, number, *kind, how, seed))
            for number, kind in enumerate(kinds)
        ]
        for each in threads:
            each.start()
        for each in threads:
            each.join()
    time.sleep(1)


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]), sys.argv[3])
