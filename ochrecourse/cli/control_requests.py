"""The request type of the control socket, and the error that a response reports."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ochrecourse.common.errors import OchrecourseError

Answer = dict[str, Any]  # sent as JSON over the control socket


class ControlError(OchrecourseError):
    """A command was not carried out; the text is sent as the response's `error`, for the operator."""


@dataclass(slots=True)
class ControlRequest:
    """One line received on the control socket. `arguments` is the whole object, including `do`."""

    command: str
    arguments: dict[str, Any]
