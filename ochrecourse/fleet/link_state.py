"""The state of one link that all its parts need: who is on the other side, and the frames that go there.

Frames that are sent are numbered. Their bodies go in the form in force, if the other side speaks it.
"""

from __future__ import annotations

import zlib
from typing import Any

from ochrecourse.fleet.forms import FIRST, PACKED, Span
from ochrecourse.fleet.messages import Header, Hello, encode_body, frame
from ochrecourse.fleet.shared import Common


class LinkState:
    """One link and its other side. `peer`: who is dialled, empty for whoever dials here until its hello."""

    def __init__(self, common: Common, peer: str) -> None:
        self.common = common
        self.peer = peer
        self.hello: Hello | None = None  # the other side's
        self.speaks = Span(FIRST, FIRST)  # the other side
        self.fresh = False  # the next frame is the first that rests on nothing
        self._sent = 0  # number of the frame before

    @property
    def form(self) -> int:
        """In which bodies are sent."""
        return self.common.forms.sends(self.speaks)

    def body(self, value: Any) -> bytes:
        """The body of a frame that goes to the other side."""
        return encode_body(value, self.form)

    def frame(self, header: Header, body: bytes = b"") -> bytes:
        """The next frame that goes to the other side; it must be sent, as numbers have no gaps."""
        self._sent += 1
        if body and self.form >= PACKED:
            header.form, header.sum = self.form, zlib.crc32(body)
        header.n, header.fresh, self.fresh = self._sent, self.fresh, False
        return frame(header, body)
