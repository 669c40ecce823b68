"""Clients that each send many commands at once and read what they are sent, in a process of their own."""

from __future__ import annotations

import argparse
import selectors
import socket
import sys
import time

READ_SECONDS = 90.0  # for which the answers are read


def commands_of(client: int, count: int) -> bytes:
    """Returns the reads of one client, each of a volume of its own, all of the same shard."""
    parts = []
    for i in range(count):
        number = b"%016x" % (0xB000000000000000 + client * 10_000 + i)
        volume = b"%016x" % (client * 10_000 + i)
        fields = b"c=history-export,t=standard,d=5000,volume=%b,units=1,shard=0,hosts=1" % volume
        for word in (b"BLK.READ", b"%016x" % i, number, fields):
            parts.append(b"$%d\r\n%b\r\n" % (len(word), word))
    return b"".join(b"*4\r\n" + b"".join(parts[at : at + 4]) for at in range(0, len(parts), 4))


def main() -> None:
    """Connects all clients, says so, sends everything when a line comes, and reads until the end."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--clients", type=int, required=True)
    parser.add_argument("--commands", type=int, required=True)
    arguments = parser.parse_args()
    data = [memoryview(commands_of(i, arguments.commands)) for i in range(arguments.clients)]
    selector = selectors.DefaultSelector()
    left = {}
    for each in data:
        client = socket.create_connection(("127.0.0.1", arguments.port))
        client.setblocking(False)
        left[client] = each
        selector.register(client, selectors.EVENT_READ | selectors.EVENT_WRITE)
    print("connected", flush=True)
    sys.stdin.readline()
    until = time.monotonic() + READ_SECONDS
    while selector.get_map() and time.monotonic() < until:
        for key, events in selector.select(0.5):
            _exchange(selector, key.fileobj, events, left)


def _exchange(selector: selectors.BaseSelector, client: socket.socket, events: int, left: dict) -> None:
    try:
        if events & selectors.EVENT_WRITE:
            left[client] = left[client][client.send(left[client]) :]
            if not left[client]:
                selector.modify(client, selectors.EVENT_READ)
        if events & selectors.EVENT_READ and not client.recv(1 << 20):
            raise ConnectionError
    except OSError:
        selector.unregister(client)
        client.close()


if __name__ == "__main__":
    main()
