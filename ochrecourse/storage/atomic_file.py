"""Small files that are whole or not there: written aside, synced, renamed; read back only with the right
checksum.

Format: one line `ochrecourse NAME VERSION LENGTH CRC32` in ASCII, then LENGTH bytes. A crash at any point
leaves the old file or the new one. Not promised: that the newest write survives a power cut before `write`
has returned.
"""

from __future__ import annotations

import contextlib
import os
import zlib
from pathlib import Path


class DamagedFileError(Exception):
    """The file is there but is not what was written; the text says what is wrong with it."""


def write(path: Path, name: str, version: int, data: bytes) -> None:
    """Puts `data` in place of the file's old content. Raises OSError."""
    aside = path.with_name(f"{path.name}.new")
    head = f"ochrecourse {name} {version} {len(data)} {zlib.crc32(data):08x}\n".encode()
    with open(aside, "wb") as file:
        file.write(head + data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(aside, path)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        with contextlib.suppress(OSError):  # not every file system syncs folders
            os.fsync(folder)
    finally:
        os.close(folder)


def read(path: Path, name: str, version: int) -> bytes | None:
    """The file's content, or None if there is no file. Raises DamagedFileError, OSError."""
    try:
        whole = path.read_bytes()
    except FileNotFoundError:
        return None
    head, _, data = whole.partition(b"\n")
    words = head.decode("ascii", "replace").split(" ")
    if len(words) != 5 or words[0] != "ochrecourse":
        raise DamagedFileError(f"{path}: not a file of ours")
    if words[1] != name:
        raise DamagedFileError(f"{path}: holds {words[1]}, not {name}")
    if words[2] != str(version):
        age = "a newer" if words[2].isdigit() and int(words[2]) > version else "another"
        raise DamagedFileError(f"{path}: is of {age} version, {words[2]}; this program reads {version}")
    if words[3] != str(len(data)):
        raise DamagedFileError(f"{path}: {len(data)} bytes of {words[3]}")
    if words[4] != f"{zlib.crc32(data):08x}":
        raise DamagedFileError(f"{path}: the checksum does not match")
    return data
