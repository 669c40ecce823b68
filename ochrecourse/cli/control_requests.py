"""The records of the control socket: one request, and the error that its answer reports."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ochrecourse.common.errors import OchrecourseError

Answer = dict[str, Any]  # as JSON on the control socket


class ControlError(OchrecourseError):
    """A command that is not carried out; the text is the answer's `error`, for the operator."""


@dataclass(slots=True)
class ControlRequest:
    """One line of the control socket. `arguments` is the whole object, with `do`."""

    command: str
    arguments: dict[str, Any]
