"""Bodies that clients send: small ones in memory, larger ones in a temporary file without a name.

A further leg needs the body again, so it is kept until the job is over; memory stays bounded however large it
is.
"""

from __future__ import annotations

import tempfile
from typing import IO

KEPT_IN_MEMORY = 65_536  # bytes; one message's worth, so most jobs never touch a file


class RequestBody:
    """One body of a stated size, written once in order and read any number of times."""

    def __init__(self, size: int) -> None:
        self.size = size
        self.bytes_received = 0
        self._data = bytearray()
        large = size > KEPT_IN_MEMORY
        self._file: IO[bytes] | None = tempfile.TemporaryFile() if large else None  # noqa: SIM115

    def write(self, piece: bytes) -> None:
        self.bytes_received += len(piece)
        if self._file is None:
            self._data += piece
        else:
            self._file.seek(0, 2)
            self._file.write(piece)

    def is_complete(self) -> bool:
        return self.bytes_received >= self.size

    def read(self, at: int, most: int) -> bytes:
        if self._file is None:
            return bytes(self._data[at : at + most])
        self._file.seek(at)
        return self._file.read(most)

    def close(self) -> None:
        self._data = bytearray()
        if self._file is not None:
            self._file.close()
