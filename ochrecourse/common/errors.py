"""The base of every error that this package raises on purpose."""

from __future__ import annotations


class OchrecourseError(Exception):
    """Something was wrong with a value, a file, a peer or a call; the text names the value."""
