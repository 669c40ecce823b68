"""The endpoint list cached on disk: written after each update, read after a start."""

from __future__ import annotations

from pathlib import Path

import msgspec

from ochrecourse.membership.endpoint_list import EndpointListSnapshot
from ochrecourse.storage import atomic_file

FILE_KIND = "nodes"
FORMAT_VERSION = 1

_decoder = msgspec.json.Decoder(EndpointListSnapshot)


def save(path: Path, snapshot: EndpointListSnapshot) -> None:
    """Replaces the cached list atomically. Raises OSError."""
    atomic_file.write(path, FILE_KIND, FORMAT_VERSION, msgspec.json.encode(snapshot))


def load(path: Path) -> EndpointListSnapshot | None:
    """Returns the cached list, or None if there is none. Raises atomic_file.DamagedFileError, OSError."""
    data = atomic_file.read(path, FILE_KIND, FORMAT_VERSION)
    if data is None:
        return None
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError as error:
        raise atomic_file.DamagedFileError(f"{path}: {error}") from None
