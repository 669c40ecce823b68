"""A write that waits behind many commands of its connection is overtaken by a later one with its key."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common_2"))
import bed as common  # noqa: E402

READS, KEY = 45, 0x7F3A9C21E0B4D655


async def play() -> int:
    """Returns 1 if the later write of a key ran before the earlier one."""
    classes = [
        common.request_class("status-read", 1000, 2000),
        common.request_class("trip-write", 500, 2500, "keyed", KeyScope="cell", SerialByKey=True),
    ]
    bed = common.Bed(FOLDER, common.settings(classes, [False, True]))
    exports, trips = common.Node(bed, "s-0", 0, 0.040), common.Node(bed, "s-1", 1, 0.040)
    bed.nodes = [exports, trips]
    try:
        await bed.start()
        return await judge(bed, trips)
    finally:
        await bed.close()


async def judge(bed: common.Bed, trips: common.Node) -> int:
    """Sends both writes; the first one behind many reads of its connection if there is trouble."""
    first, second = [await common.Client(bed, name).connect() for name in ("client-1", "client-2")]
    reads = [bed.command(b"BLK.READ", 100 + i, c="status-read", d=2000, volume=2) for i in range(READS)]
    reads = reads if common.trouble() else []
    trip = {"c": "trip-write", "d": 2500, "shard": 1, "k": True}
    writes = [bed.command(b"BLK.WRITE", KEY, body, **trip) for body in (b"earlier", b"later")]
    first.send(*reads, writes[0])
    await asyncio.sleep(0.2)
    second.send(writes[1])
    last = [await second.answer(4)]
    answers = [await first.answer(4) for _ in range(len(reads) + 1)]
    order = [words[4].decode() for _, words in trips.runs]
    print(f"answers: {answers[-1]!r} to the earlier, {last[0]!r} to the later; the node ran {order}")
    print(f"reads served: {sum(each[:1] == b'$' for each in answers[:-1] if each)} of {len(reads)}")
    if "earlier" in order and "later" in order and order.index("later") < order.index("earlier"):
        return common.BROKEN
    return common.HELD if answers[-1] and last[0] else common.NOT_RUN


if __name__ == "__main__":
    common.main(play)
