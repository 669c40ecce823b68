"""Writes the recordings of the oldest format version: `python tests/forms/record.py`, run with a version that writes it.

The files in the repository were written by the last version that supported no other format. Three gateways on the
virtual network append, compact and restart. The recordings are the journal file of one gateway, the bytes that another
sent to the third over one link, and the contents of the logs at that time. Do not regenerate them: later versions must be
able to read these files unchanged.
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
    frames, write = {}, Link._write

    def record_write(link, data):
        frames.setdefault(link, []).append(data)
        write(link, data)

    Link._write = record_write
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
    for member in fleet.parts.values():
        member.compact("c", upto, {"sum": 15})
    fleet.parts["b"].kill()
    fleet.journals["b"] = MemoryJournal()  # a lost disk: its peers send it the complete log, with snapshots
    fleet.run(1)
    frames.clear()
    fleet.start("b")
    fleet.run(1)
    for i in range(12, 18):
        fleet.parts["abc"[i % 3]].append("c", {"number": i})
        fleet.run(0.1)
    fleet.run(4)
    # The first peer to connect to b sends it everything.
    to_b = [link for link in frames if link.exchange.peer == "b" and link.is_connected]
    (link,) = [link for link in to_b if any(b'"m":"piece"' in data for data in frames[link])]
    (folder / "frames-1").write_bytes(b"".join(frames[link]))
    assert len(fleet.dumps("c")) == len(fleet.dumps("fleet")) == 1
    dumps = {name: fleet.parts["a"].dump(name).decode() for name in ("c", "fleet")}
    wall_ms = EPOCH + int(fleet.network.seconds() * 1000)
    (folder / "held.json").write_text(
        json.dumps({"wall_ms": wall_ms, "from": link.owner.members.name, "dumps": dumps}, indent=1) + "\n"
    )
    fleet.parts["a"].kill()


if __name__ == "__main__":
    where = Path(sys.argv[1]) if len(sys.argv) > 1 else HERE
    where.mkdir(exist_ok=True)
    record(where)
    print(*sorted(shutil.os.listdir(where)))
