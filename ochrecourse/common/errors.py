"""The base class of all exceptions that this package defines, and how an exception is kept."""

from __future__ import annotations

from typing import TypeVar

_Error = TypeVar("_Error", bound=Exception)


class OchrecourseError(Exception):
    """An invalid value, file, peer or call; the message names the value."""


def without_traceback(error: _Error) -> _Error:
    """Returns an error that is to be kept, without the tracebacks of itself and of those it followed from.

    Their frames refer to all that was being done, in reference cycles where the error is kept by one of them.
    """
    error.__traceback__ = error.__context__ = error.__cause__ = None
    return error
