"""Records in a row of bytes, each with its length and checksum. Free of I/O: reading is handed in.

A frame is 4 bytes length and 4 bytes CRC-32, both big endian, then the record. A frame that is cut short, too
long or whose checksum is wrong ends what can be read: nothing behind it is trusted, for its length may lie.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass

HEAD = struct.Struct(">II")
LONGEST = 1 << 26  # bytes of one record; a length above it is damage, not a record


def framed(record: bytes) -> bytes:
    """A record as it stands in the row."""
    return HEAD.pack(len(record), zlib.crc32(record)) + record


@dataclass(slots=True)
class FrameReader:
    """Reads a row of frames. `at`: bytes of whole frames so far, `count` records; `sound`: no damage yet."""

    read: Callable[[int], bytes]  # up to so many bytes from where the last call ended; fewer only at the end
    at: int = 0
    count: int = 0
    sound: bool = True

    def records(self) -> Iterator[bytes]:
        """All records up to the end, or up to the first that can't be read; `sound` tells which."""
        while head := self.read(HEAD.size):
            record = self._record(head)
            if record is None:
                self.sound = False
                return
            self.at += HEAD.size + len(record)
            self.count += 1
            yield record

    def _record(self, head: bytes) -> bytes | None:
        if len(head) < HEAD.size:
            return None
        length, crc = HEAD.unpack(head)
        if length > LONGEST:
            return None
        record = self.read(length)
        return record if len(record) == length and zlib.crc32(record) == crc else None
