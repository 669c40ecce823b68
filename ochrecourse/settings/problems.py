"""The result type of validation: the path of a field and a description of its problem."""

from __future__ import annotations

from typing import NamedTuple


class Problem(NamedTuple):
    """A problem with a field. The message is `path`, a space and `text`."""

    path: str
    text: str
    at: str = ""  # path whose location in the file is reported; empty: `path`
