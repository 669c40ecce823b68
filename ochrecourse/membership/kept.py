"""The last list of nodes on disk: written after each change, read back after a start."""

from __future__ import annotations

from pathlib import Path

import msgspec

from ochrecourse.durable import sealed
from ochrecourse.membership.view import Copy

NAME, VERSION = "nodes", 1

_decoder = msgspec.json.Decoder(Copy)


def save(path: Path, copy: Copy) -> None:
    """Raises OSError."""
    sealed.write(path, NAME, VERSION, msgspec.json.encode(copy))


def load(path: Path) -> Copy | None:
    """The kept list, None if there is none. Raises sealed.Damaged, OSError."""
    data = sealed.read(path, NAME, VERSION)
    if data is None:
        return None
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError as trouble:
        raise sealed.Damaged(f"{path}: {trouble}") from None
