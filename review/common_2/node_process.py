"""A storage node as a process of its own: a thread a connection, which answers some commands a second time.

The value of a command is its id, so that a client can tell whose answer it got. A command that nothing else
stands behind on its connection may be answered twice, the second time some milliseconds later.
"""

from __future__ import annotations

import argparse
import random
import socket
import threading
import time
from typing import BinaryIO, TextIO

LOCK = threading.Lock()


def read_words(stream: BinaryIO) -> list[bytes] | None:
    """Returns the words of one command; None at the end of the connection."""
    line = stream.readline()
    if not line.endswith(b"\r\n"):
        return None
    words = []
    for _ in range(int(line[1:])):
        size = int(stream.readline()[1:])
        words.append(stream.read(size + 2)[:-2])
    return words


class Node:
    """What the threads share."""

    def __init__(self, arguments: argparse.Namespace, log: TextIO) -> None:
        self.work, self.share = arguments.work, arguments.share
        self.least, self.most = arguments.gap
        self.random = random.Random(arguments.seed)
        self.log = log

    def note(self, what: str) -> None:
        """Writes a line with the time of the machine's monotonic clock."""
        with LOCK:
            self.log.write(f"{time.monotonic():.4f} {what}\n")

    def serve(self, connection: socket.socket) -> None:
        """Answers the commands of one connection in turn."""
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            with connection, connection.makefile("rb") as stream:
                while (words := read_words(stream)) is not None:
                    self._answer(connection, words)
        except (OSError, ValueError):
            return

    def _answer(self, connection: socket.socket, words: list[bytes]) -> None:
        if not words[0].startswith(b"BLK."):  # PROTOCOL.md: requests aside, these have answers of their own
            others = {b"PING": b"+PONG\r\n", b"CLIENT": b"+OK\r\n", b"SELECT": b"+OK\r\n"}
            connection.sendall(others.get(words[0], b"-ERR\r\n"))
            return
        self.note(f"begins {words[1].decode()} {words[2].decode()}")
        time.sleep(self.work)
        value = words[2]
        answer = b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value)
        connection.sendall(answer)
        if self.random.random() < self.share:
            began = time.monotonic()
            time.sleep(self.random.uniform(self.least, self.most) / 1000)
            connection.sendall(answer)
            late = (time.monotonic() - began) * 1000
            self.note(f"answered {words[2].decode()} once more, {late:.1f} ms later")


def main() -> None:
    """Listens on a free port, prints it, and serves until it is ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--work", type=float, required=True, help="s")
    parser.add_argument("--share", type=float, required=True, help="of the answers that come twice")
    parser.add_argument("--gap", type=float, nargs=2, required=True, help="ms, least and most")
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--log", required=True)
    arguments = parser.parse_args()
    listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
    print(listener.getsockname()[1], flush=True)
    with open(arguments.log, "w", buffering=1, encoding="utf-8") as log:
        node = Node(arguments, log)
        while True:
            connection, _ = listener.accept()
            threading.Thread(target=node.serve, args=(connection,), daemon=True).start()


if __name__ == "__main__":
    main()
