"""Writes the recordings of the oldest form: `python tests/forms/record.py`, run by a program that speaks it.

What the repository has was written by the last program that knew of no other form. Three gateways on the virtual
network append, compact and restart; kept is the journal of one as it stands in its file, all that another told a
third over one link as it crossed the socket, and what the logs held then. It is not written anew: later programs
must read it as it is.
"""

import json
import shutil
import sys
from pathlib import Path

HERE = Path(__file__).parent
sys.path.insert(0, str(HERE.parent))

from test_fleet_part import EPOCH, Fleet  # noqa: E402

from ochrecourse.storage.journal import FileJournal, MemoryJournal  # noqa: E402
from ochrecourse.fleet.link import Link  # noqa: E402


def record(folder):
    told, write = {}, Link._write

    def tapped(link, data):
        told.setdefault(link, []).append(data)
        write(link, data)

    Link._write = tapped
    fleet = Fleet("abc")
    fleet.parts["a"].kill()
    journal = folder / "journal-1"
    journal.unlink(missing_ok=True)
    fleet.journals["a"] = FileJournal(journal, "fleet-log", 1)
    fleet.start("a")
    fleet.run(3)
    for i in range(12):
        fleet.parts["abc"[i % 3]].append("c", {"number": i, "text": "ü" * (i % 4)})
        fleet.run(0.05)
    fleet.run(3)
    upto = fleet.parts["a"].log.events("c")[5].at
    for part in fleet.parts.values():
        part.compact("c", upto, {"sum": 15})
    fleet.parts["b"].kill()
    fleet.journals["b"] = MemoryJournal()  # a lost disk: it is told all that there is, snapshots too
    fleet.run(1)
    told.clear()
    fleet.start("b")
    fleet.run(1)
    for i in range(12, 18):
        fleet.parts["abc"[i % 3]].append("c", {"number": i})
        fleet.run(0.1)
    fleet.run(4)
    # Whoever it met first told it all.
    to_b = [link for link in told if link.exchange.peer == "b" and link.is_connected]
    (link,) = [link for link in to_b if any(b'"m":"piece"' in data for data in told[link])]
    (folder / "frames-1").write_bytes(b"".join(told[link]))
    assert len(fleet.dumps("c")) == len(fleet.dumps("fleet")) == 1
    held = {name: fleet.parts["a"].dump(name).decode() for name in ("c", "fleet")}
    at = EPOCH + int(fleet.network.seconds() * 1000)
    (folder / "held.json").write_text(
        json.dumps({"wall_ms": at, "from": link.owner.members.name, "dumps": held}, indent=1) + "\n"
    )
    fleet.parts["a"].kill()


if __name__ == "__main__":
    where = Path(sys.argv[1]) if len(sys.argv) > 1 else HERE
    where.mkdir(exist_ok=True)
    record(where)
    print(*sorted(shutil.os.listdir(where)))
