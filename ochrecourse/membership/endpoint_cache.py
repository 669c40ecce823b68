"""The last list of nodes on disk: written after each change, read back after a start."""

from __future__ import annotations

from pathlib import Path

import msgspec

from ochrecourse.storage import atomic_file
from ochrecourse.membership.endpoint_list import EndpointListSnapshot

NAME, VERSION = "nodes", 1

_decoder = msgspec.json.Decoder(EndpointListSnapshot)


def save(path: Path, copy: EndpointListSnapshot) -> None:
    """Raises OSError."""
    atomic_file.write(path, NAME, VERSION, msgspec.json.encode(copy))


def load(path: Path) -> EndpointListSnapshot | None:
    """The kept list, None if there is none. Raises atomic_file.DamagedFileError, OSError."""
    data = atomic_file.read(path, NAME, VERSION)
    if data is None:
        return None
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError as trouble:
        raise atomic_file.DamagedFileError(f"{path}: {trouble}") from None
