"""Reads the start file from disk; `start_settings` defines its content."""

from __future__ import annotations

import json
from pathlib import Path

from ochrecourse.service.start_settings import StartSettings, StartSettingsError, parse_start_settings

MAX_FILE_BYTES = 16_777_216  # enough for thousands of nodes and tenants


def read_start_file(path: str) -> StartSettings:
    """Reads and parses the file. Raises StartSettingsError."""
    try:
        with Path(path).open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
        if len(data) > MAX_FILE_BYTES:
            raise StartSettingsError(f"{path} is larger than {MAX_FILE_BYTES} bytes")
        document = json.loads(data)
    except OSError as error:
        raise StartSettingsError(f"{path} can't be read: {error.strerror}") from None
    except (ValueError, RecursionError) as error:
        raise StartSettingsError(f"{path} is not JSON: {error}") from None
    return parse_start_settings(document)
