"""The base class of all exceptions that this package defines."""

from __future__ import annotations


class OchrecourseError(Exception):
    """An invalid value, file, peer or call; the message names the value."""
