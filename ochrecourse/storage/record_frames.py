"""Framing of records: each has its length and checksum before it. Free of I/O: the read function is passed
in.

A frame is 4 bytes length and 4 bytes CRC-32, both big endian, then the record. Reading stops at a frame that
is truncated, too long or has a wrong checksum: nothing behind it can be trusted, because its length may be
wrong.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass

FRAME_HEADER = struct.Struct(">II")  # length and CRC-32 of the record
MAX_RECORD_BYTES = 1 << 26  # a greater length is taken for damage


def encode_frame(record: bytes) -> bytes:
    """Returns the record with its length and checksum before it."""
    return FRAME_HEADER.pack(len(record), zlib.crc32(record)) + record


@dataclass(slots=True)
class FrameReader:
    """Reads a sequence of frames.

    `read` returns the next bytes, up to the given number, and fewer only at the end of the input.
    `bytes_read` and `records_read` count complete frames. `intact`: no damage has been found.
    """

    read: Callable[[int], bytes]
    bytes_read: int = 0
    records_read: int = 0
    intact: bool = True

    def records(self) -> Iterator[bytes]:
        """Iterates over the records up to the end or to the first damaged frame, which clears `intact`."""
        while header := self.read(FRAME_HEADER.size):
            record = self._read_record(header)
            if record is None:
                self.intact = False
                return
            self.bytes_read += FRAME_HEADER.size + len(record)
            self.records_read += 1
            yield record

    def _read_record(self, header: bytes) -> bytes | None:
        """Reads a frame's record; returns None if the frame is damaged."""
        if len(header) < FRAME_HEADER.size:
            return None
        length, checksum = FRAME_HEADER.unpack(header)
        if length > MAX_RECORD_BYTES:
            return None
        record = self.read(length)
        return record if len(record) == length and zlib.crc32(record) == checksum else None
