"""The state of one link that all parts of its exchange share: the peer, and the numbering of sent frames.

Bodies are sent in the format version in force, if the peer supports it.
"""

from __future__ import annotations

import zlib
from typing import Any

from ochrecourse.fleet.format_versions import FIRST_VERSION, PACKED_VERSION, VersionRange
from ochrecourse.fleet.messages import Header, Hello, encode_body, encode_frame
from ochrecourse.fleet.exchange_context import ExchangeContext


class LinkState:
    """One link and its peer. `peer`: the gateway's name; empty on an accepted link until its hello."""

    def __init__(self, context: ExchangeContext, peer: str) -> None:
        self.context = context
        self.peer = peer
        self.hello: Hello | None = None  # the peer's
        self.peer_versions = VersionRange(FIRST_VERSION, FIRST_VERSION)  # that the peer supports
        self.starts_over = False  # the next frame does not depend on earlier ones
        self._last_frame_number = 0  # number of the last frame that was sent

    @property
    def format_version(self) -> int:
        """The format version in which bodies are sent."""
        return self.context.format_versions.version_for(self.peer_versions)

    def encode_body(self, value: Any) -> bytes:
        """Encodes the body of a frame for the peer."""
        return encode_body(value, self.format_version)

    def next_frame(self, header: Header, body: bytes = b"") -> bytes:
        """Encodes the next frame for the peer. It must be sent: a gap in the numbers means a lost frame."""
        self._last_frame_number += 1
        if body and self.format_version >= PACKED_VERSION:
            header.format_version, header.checksum = self.format_version, zlib.crc32(body)
        header.frame_number, header.starts_over, self.starts_over = (
            self._last_frame_number,
            self.starts_over,
            False,
        )
        return encode_frame(header, body)
