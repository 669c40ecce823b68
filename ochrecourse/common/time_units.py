"""Units of time. The package uses integer nanoseconds internally."""

from __future__ import annotations

MS = 1_000_000  # ns in a millisecond
SECOND = 1_000 * MS  # ns in a second
