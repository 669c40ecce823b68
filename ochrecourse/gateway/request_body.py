"""Request bodies received from clients: small ones in memory, larger ones in an unnamed temporary file.

A retry sends the body again, so it is kept until the request is finished; memory use is bounded however large
the body is.
"""

from __future__ import annotations

import tempfile
from typing import IO

MAX_BYTES_IN_MEMORY = 65_536  # one message's body, so most requests need no file


class RequestBody:
    """One body of `size` bytes, written once in order and read any number of times."""

    def __init__(self, size: int) -> None:
        self.size = size
        self.bytes_received = 0
        self._data = bytearray()
        large = size > MAX_BYTES_IN_MEMORY
        self._file: IO[bytes] | None = tempfile.TemporaryFile() if large else None  # noqa: SIM115

    def write(self, chunk: bytes) -> None:
        """Appends received bytes."""
        self.bytes_received += len(chunk)
        if self._file is None:
            self._data += chunk
        else:
            self._file.seek(0, 2)
            self._file.write(chunk)

    def is_complete(self) -> bool:
        """Whether the whole body was received."""
        return self.bytes_received >= self.size

    def read(self, at: int, most: int) -> bytes:
        """Returns at most `most` bytes from offset `at`."""
        if self._file is None:
            return bytes(self._data[at : at + most])
        self._file.seek(at)
        return self._file.read(most)

    def close(self) -> None:
        """Frees the memory or the file; the body is not read again."""
        self._data = bytearray()
        if self._file is not None:
            self._file.close()
