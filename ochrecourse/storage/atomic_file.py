"""Atomic replacement of small files: each is written to a temporary file, synced and renamed, and its
checksum is verified when it is read.

Format: one line `ochrecourse KIND VERSION LENGTH CRC32` in ASCII, then LENGTH bytes. A crash at any point
leaves either the old file or the new one. A write is durable across a power failure only once `write` has
returned.
"""

from __future__ import annotations

import contextlib
import os
import zlib
from pathlib import Path

from ochrecourse.common.errors import OchrecourseError

MAGIC = "ochrecourse"
HEADER_FIELDS = 5


class DamagedFileError(OchrecourseError):
    """The file exists but its header, length or checksum is wrong; the text says which."""


def write(path: Path, kind: str, version: int, data: bytes) -> None:
    """Replaces the file's content with `data`. Raises OSError."""
    temporary = temporary_path(path)
    header = f"{MAGIC} {kind} {version} {len(data)} {zlib.crc32(data):08x}\n".encode()
    with open(temporary, "wb") as file:
        file.write(header + data)
        file.flush()
        os.fsync(file.fileno())
    replace(temporary, path)


def read(path: Path, kind: str, version: int) -> bytes | None:
    """Returns the file's content, or None if there is no file. Raises DamagedFileError, OSError."""
    try:
        content = path.read_bytes()
    except FileNotFoundError:
        return None
    header, _, data = content.partition(b"\n")
    fields = header.decode("ascii", "replace").split(" ")
    _check_header(path, fields, kind, version)
    length, checksum = fields[3:]
    if length != str(len(data)):
        raise DamagedFileError(f"{path}: {len(data)} bytes of {length}")
    if checksum != f"{zlib.crc32(data):08x}":
        raise DamagedFileError(f"{path}: the checksum does not match")
    return data


def temporary_path(path: Path) -> Path:
    """Returns the path of the temporary file that new content is written to before it replaces `path`."""
    return path.with_name(f"{path.name}.new")


def replace(temporary: Path, path: Path) -> None:
    """Renames a complete, synced file to `path` and syncs the directory. Raises OSError."""
    os.replace(temporary, path)
    sync_directory(path.parent)


def sync_directory(path: Path) -> None:
    """Makes created and renamed entries of a directory durable, if its file system supports that."""
    directory = os.open(path, os.O_RDONLY)
    try:
        with contextlib.suppress(OSError):  # not every file system syncs directories
            os.fsync(directory)
    finally:
        os.close(directory)


def _check_header(path: Path, fields: list[str], kind: str, version: int) -> None:
    """Raises DamagedFileError if the header is malformed or of another kind or version."""
    if len(fields) != HEADER_FIELDS or fields[0] != MAGIC:
        raise DamagedFileError(f"{path}: not a file of ours")
    if fields[1] != kind:
        raise DamagedFileError(f"{path}: holds {fields[1]}, not {kind}")
    if fields[2] != str(version):
        age = "a newer" if fields[2].isdigit() and int(fields[2]) > version else "another"
        raise DamagedFileError(f"{path}: is of {age} version, {fields[2]}; this program reads {version}")
