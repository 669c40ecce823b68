"""Records in a sequence of bytes, each with its length and checksum. Free of I/O: reading is handed in.

A frame is 4 bytes length and 4 bytes CRC-32, both big endian, then the record. A frame that is truncated, too
long or whose checksum is wrong ends what can be read: nothing behind it is trusted, for its length may be
wrong.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass

FRAME_HEADER = struct.Struct(">II")  # length and CRC-32 of the record
MAX_RECORD_BYTES = 1 << 26  # a length above it is damage, not a record


def encode_frame(record: bytes) -> bytes:
    """The record with its length and checksum before it."""
    return FRAME_HEADER.pack(len(record), zlib.crc32(record)) + record


@dataclass(slots=True)
class FrameReader:
    """Reads a sequence of frames.

    `read` returns up to so many bytes from where its last call ended, fewer only at the end. `bytes_read` and
    `records_read` count complete frames. `intact`: no damage was found yet.
    """

    read: Callable[[int], bytes]
    bytes_read: int = 0
    records_read: int = 0
    intact: bool = True

    def records(self) -> Iterator[bytes]:
        """All records up to the end, or up to the first that can't be read; `intact` tells which."""
        while header := self.read(FRAME_HEADER.size):
            record = self._read_record(header)
            if record is None:
                self.intact = False
                return
            self.bytes_read += FRAME_HEADER.size + len(record)
            self.records_read += 1
            yield record

    def _read_record(self, header: bytes) -> bytes | None:
        """None if the frame is damaged."""
        if len(header) < FRAME_HEADER.size:
            return None
        length, checksum = FRAME_HEADER.unpack(header)
        if length > MAX_RECORD_BYTES:
            return None
        record = self.read(length)
        return record if len(record) == length and zlib.crc32(record) == checksum else None
