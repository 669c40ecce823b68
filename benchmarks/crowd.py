"""2,000 people at the WebDAV doors of three gateways, all by the commands that operators use; judged from both ends.

    python -m benchmarks.crowd [PEOPLE]

`nodes` plays the troubles of the day school-morning (a node stalls, one is drained, answers are lost and cut), three
`serve` stand before it, `load webdav` sends the people; one gateway is killed and started again on its ports.
`audit --webdav` then judges the records of both ends. Nothing here looks into a process.
"""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import Any

import msgspec

from ochrecourse.audit import records as r
from ochrecourse.lab.day import gateway_record
from ochrecourse.lab.days import school_morning
from ochrecourse.lab.people import door_record
from ochrecourse.lab.play import rolls
from ochrecourse.settings.writer import write

LONGEST = 300  # s for the people, from their first request to their last answer


def command(*words: object) -> list[str]:
    return [sys.executable, "-m", "ochrecourse", *(str(word) for word in words)]


class Street:
    """The processes, and what was done to them."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.day = school_morning()
        (folder / "day.json").write_bytes(msgspec.json.encode(self.day))
        self.nodes = self.start("nodes", folder / "day.json", "--wait", "--records", folder / "nodes.jsonl")
        self.list = self.word(self.nodes)
        self.ports = [(0, 0)] * self.day.gateways
        self.gateways = [self.gateway(index) for index in range(self.day.gateways)]

    def start(self, *words: object) -> subprocess.Popen[bytes]:
        log = open(self.folder / f"{words[0]}.log", "ab")  # noqa: SIM115
        return subprocess.Popen(command(*words), stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=log)

    def word(self, process: subprocess.Popen[bytes]) -> str:
        """The last word of a process's next line: where it listens."""
        assert process.stdout is not None
        line = process.stdout.readline().split()
        assert line, f"a process ended at its start; see {self.folder}"
        return line[-1].decode()

    def gateway(self, index: int) -> subprocess.Popen[bytes]:
        native, door = self.ports[index]
        record = gateway_record(self.day, index, f"127.0.0.1:{native}", self.list, str(self.folder))
        record["webdav"] = door_record(self.day, door)
        path = self.folder / f"g{index}.cue"
        path.write_text(write(record) + 'log: {level: "info", form: "json"}\n')
        process = self.start("serve", path)
        told = [int(self.word(process).rpartition(":")[2]) for _ in range(2)]
        self.ports[index] = told[0], told[1]
        return process

    def roll(self, note: Any) -> None:
        """Kills the gateways that the day kills, at their times, and starts them again."""
        began = time.monotonic()
        for at, index, down in rolls(self.day):
            time.sleep(max(0.0, began + at - time.monotonic()))
            note(r.GatewayKilled(t=time.monotonic_ns(), gateway=f"g{index}"))
            self.gateways[index].kill()
            self.gateways[index].wait()
            time.sleep(down)
            self.gateways[index] = self.gateway(index)
            note(r.GatewayStarted(t=time.monotonic_ns(), gateway=f"g{index}"))

    def end(self) -> list[int]:
        """Asks all gateways to drain, then the nodes to end; exit codes of the gateways."""
        codes = []
        for process in self.gateways:
            process.send_signal(signal.SIGTERM)
        for process in self.gateways:
            codes.append(process.wait(timeout=30))
        self.nodes.send_signal(signal.SIGTERM)
        self.nodes.wait(timeout=30)
        return codes


def main() -> int:
    people = int(sys.argv[1]) if len(sys.argv) > 1 else 2000
    folder = Path(tempfile.mkdtemp(prefix="crowd-"))
    street = Street(folder)
    doors = [f"127.0.0.1:{door}" for _, door in street.ports]
    done = r.RecordFile(folder / "done.jsonl")
    words = ("load", "webdav", folder / "day.json", *doors, "--people", people, "--json")
    load = subprocess.Popen(
        command(*words, "--records", folder / "clients.jsonl"),
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    assert load.stderr is not None and street.nodes.stdin is not None
    faults: list[str] = []
    try:
        for line in load.stderr:
            if line.strip() == "everybody comes":
                break
            faults.append(line)
        street.nodes.stdin.write(b"go\n")
        street.nodes.stdin.flush()
        began, rolling = time.monotonic(), threading.Thread(target=street.roll, args=(done,))
        rolling.start()
        said, more = load.communicate(timeout=LONGEST)
        rolling.join()
        faults += more.splitlines()
        took, codes = time.monotonic() - began, street.end()
        done.close()
    finally:
        for process in [load, *street.gateways, street.nodes]:
            process.kill()
    judged = subprocess.run(
        command("audit", *(folder / f"{each}.jsonl" for each in ("clients", "nodes", "done")), "--day", folder / "day.json", "--webdav"),
        stdout=subprocess.PIPE, text=True, check=False,
    )  # fmt: skip
    told = json.loads(said)
    acted = {name: count for name, count in sorted(told["counts"].items()) if name.endswith("acted")}
    print(
        f"{people} people, {took:.1f} s; load ended with {load.returncode}, gateways with {codes}; folder {folder}"
    )
    print(json.dumps({name: value for name, value in told.items() if name != "counts"}))
    print(", ".join(f"{count} {name}" for name, count in acted.items()))
    print(", ".join(f"{count} {name}" for name, count in sorted(told["counts"].items()) if name not in acted))
    print(judged.stdout, end="")
    for fault in faults[:20]:
        print(fault.rstrip())
    return int(bool(load.returncode or any(codes) or judged.returncode))


if __name__ == "__main__":
    sys.exit(main())
