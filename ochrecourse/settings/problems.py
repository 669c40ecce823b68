"""What validation finds: a field's path and what is wrong with its value."""

from __future__ import annotations

from typing import NamedTuple


class Problem(NamedTuple):
    """One problem. The message is `path`, a space and `text`."""

    path: str
    text: str
    at: str = ""  # the path whose place in the file is named; empty: that of `path`
