"""The start file, read from disk; what it means is said in start.py."""

from __future__ import annotations

import json
from pathlib import Path

from ochrecourse.service.start_settings import StartSettingsError, StartSettings, parse

LARGEST_FILE = 16_777_216  # bytes; thousands of nodes and plans fit


def read(path: str) -> StartSettings:
    """Reads the file. Raises StartSettingsError."""
    try:
        with Path(path).open("rb") as file:
            data = file.read(LARGEST_FILE + 1)
        if len(data) > LARGEST_FILE:
            raise StartSettingsError(f"{path} is larger than {LARGEST_FILE} bytes")
        told = json.loads(data)
    except OSError as trouble:
        raise StartSettingsError(f"{path} can't be read: {trouble.strerror}") from None
    except (ValueError, RecursionError) as trouble:
        raise StartSettingsError(f"{path} is not JSON: {trouble}") from None
    return parse(told)
