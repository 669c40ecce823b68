"""A bare relay in a process of its own: the gateway's framing and bytes, and no decisions."""

from __future__ import annotations

import subprocess
import sys


def start_relay(ports: list[int]) -> tuple[subprocess.Popen[bytes], int]:
    """Its process and the port it listens on."""
    words = [sys.executable, "-m", "benchmarks.relay", *map(str, ports)]
    process = subprocess.Popen(words, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL)
    assert process.stdout is not None
    return process, int(process.stdout.readline())


def main() -> None:
    from benchmarks.cost import Relay, factory_of, reactor

    ports = [int(word) for word in sys.argv[1:]]
    listening = reactor.listenTCP(0, factory_of(lambda: Relay(ports)), interface="127.0.0.1")
    print(listening.getHost().port, flush=True)
    reactor.run()


if __name__ == "__main__":
    main()
