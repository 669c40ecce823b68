"""How soon gateways of the platform are ready when many processes start at the same moment.

    python -m benchmarks.starts --processes 30 --rounds 3

Each process gets a start file of its own and serves on a port of loopback; it is ready when it answers a PING there.
Then all get SIGTERM and must end with exit code 0. Figures are seconds from the start of the first process.
"""

from __future__ import annotations

import argparse
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

PING = b"*1\r\n$4\r\nPING\r\n"
PONG = b"+PONG\r\n"
AGAIN = 0.01  # s between tries to reach a process
LONGEST = 60.0  # s after which a process that is not ready is a failure
SETTINGS = {
    "Classes.count": "1", "Classes.0.Name": "read", "Classes.0.Aim": "300", "Classes.0.Effect": "safe",
    "Classes.0.Deadline": "900", "Policies.count": "1", "Policies.0.Name": "p0", "Policies.0.Rate": "100",
    "Policies.0.Reserve": "100", "FamilyInfo.UnitsTop": "8", "Limits.MaxAttempts": "3",
}  # fmt: skip


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def start_file(folder: Path, number: int, port: int, discovery: int) -> Path:
    known = {"generation": 1, "reset": False, "instances": []}
    start = {
        "name": f"n{number}", "listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{discovery}", "seed": f"{number:02x}",
        "limits": {"sockets": 256, "memory_mb": 64}, "settings": SETTINGS, "known": known,
    }  # fmt: skip
    path = folder / f"n{number}.json"
    path.write_text(json.dumps(start))
    return path


def answers(port: int) -> bool:
    """Whether a PING is answered at a port now."""
    try:
        with socket.create_connection(("127.0.0.1", port), timeout=1) as client:
            client.sendall(PING)
            return client.recv(len(PONG)) == PONG
    except OSError:
        return False


def ready_times(ports: list[int], began: float) -> list[float]:
    """When each port answered, in s; one that does not in its time is left out."""
    times: dict[int, float] = {}
    while len(times) < len(ports) and time.monotonic() - began < LONGEST:
        for port in ports:
            if port not in times and answers(port):
                times[port] = time.monotonic() - began
        time.sleep(AGAIN)
    return sorted(times.values())


def one_round(folder: Path, count: int) -> tuple[list[float], list[int]]:
    """The times at which so many processes were ready, and their exit codes after SIGTERM."""
    discovery = free_port()  # nobody listens there: the known list of the start file counts
    ports = [free_port() for _ in range(count)]
    files = [start_file(folder, number, port, discovery) for number, port in enumerate(ports)]
    began = time.monotonic()
    processes = [
        subprocess.Popen(
            [sys.executable, "-m", "ochrecourse.relay"],
            env={**os.environ, "RELAY_CONFIG": str(path)},
            stderr=subprocess.DEVNULL,
        )
        for path in files
    ]
    times = ready_times(ports, began)
    for process in processes:
        process.send_signal(signal.SIGTERM)
    return times, [process.wait(LONGEST) for process in processes]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--processes", type=int, default=30)
    parser.add_argument("--rounds", type=int, default=3)
    asked = parser.parse_args()
    for number in range(asked.rounds):
        with tempfile.TemporaryDirectory() as folder:
            times, codes = one_round(Path(folder), asked.processes)
        ninth = times[9 * len(times) // 10 - 1] if times else 0.0
        print(
            f"round {number + 1}: {len(times)} of {asked.processes} ready, half by {times[len(times) // 2]:.2f} s, "
            f"nine in ten by {ninth:.2f} s, all by {times[-1]:.2f} s; {codes.count(0)} ended with code 0"
        )


if __name__ == "__main__":
    main()
