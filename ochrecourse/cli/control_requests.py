"""The types of the control socket: a request, and the error that an answer reports."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ochrecourse.common.errors import OchrecourseError

Answer = dict[str, Any]  # as JSON on the control socket


class ControlError(OchrecourseError):
    """A command cannot be carried out; the text is the `error` of the answer."""


@dataclass(slots=True)
class ControlRequest:
    """One line on the control socket. `arguments`: the complete object, including `do`."""

    command: str
    arguments: dict[str, Any]
