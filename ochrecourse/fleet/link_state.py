"""The state of one link that all its parts need: who is on the other side, and the frames that go there.

Frames that are sent are numbered. Their bodies go in the form in force, if the other side speaks it.
"""

from __future__ import annotations

import zlib
from typing import Any

from ochrecourse.fleet.format_versions import FIRST_VERSION, PACKED_VERSION, VersionRange
from ochrecourse.fleet.messages import Header, Hello, encode_body, encode_frame
from ochrecourse.fleet.exchange_context import ExchangeContext


class LinkState:
    """One link and its other side. `peer`: who is dialled, empty for whoever dials here until its hello."""

    def __init__(self, common: ExchangeContext, peer: str) -> None:
        self.context = common
        self.peer = peer
        self.hello: Hello | None = None  # the other side's
        self.peer_versions = VersionRange(FIRST_VERSION, FIRST_VERSION)  # the other side
        self.starts_over = False  # the next frame is the first that rests on nothing
        self._sent = 0  # number of the frame before

    @property
    def format_version(self) -> int:
        """In which bodies are sent."""
        return self.context.format_versions.version_for(self.peer_versions)

    def encode_body(self, value: Any) -> bytes:
        """The body of a frame that goes to the other side."""
        return encode_body(value, self.format_version)

    def next_frame(self, header: Header, body: bytes = b"") -> bytes:
        """The next frame that goes to the other side; it must be sent, as numbers have no gaps."""
        self._sent += 1
        if body and self.format_version >= PACKED_VERSION:
            header.format_version, header.checksum = self.format_version, zlib.crc32(body)
        header.frame_number, header.starts_over, self.starts_over = self._sent, self.starts_over, False
        return encode_frame(header, body)
