"""Snapshots on one link, and the holes that they stand for: sent in pieces, put together and taken.

They go before the entries of the same streams, which are of no use to a peer without them.
"""

from __future__ import annotations

from base64 import b64encode
from collections import deque
from collections.abc import Iterator

import msgspec

from ochrecourse.fleet.entries import Timestamp, Stream
from ochrecourse.fleet.link_state import LinkState
from ochrecourse.fleet.log import InvalidEntryError, Holes, Snapshot
from ochrecourse.fleet.messages import PeerProtocolError, SnapshotChunk
from ochrecourse.fleet.exchange_context import SLICE_BYTES

_pieces: msgspec.json.Decoder[Snapshot | Holes] = msgspec.json.Decoder(Snapshot | Holes)
_encode = msgspec.json.encode


class SnapshotTransfer:
    """Both ways of one link. `there`: how far the other side holds, or is about to hold, each stream."""

    def __init__(self, state: LinkState, there: dict[Stream, int]) -> None:
        self.state = state
        self.context = state.context
        self.peer_positions = there
        self._received_chunks: list[bytes] = []
        self._coming_size = 0
        self._going: deque[Snapshot | Holes] = deque()
        self._parts: Iterator[bytes] | None = None  # what is still to be sent of the first of them
        self._part = b""
        self._holes_at = -1
        self._snapshots: dict[str, Timestamp] = {}  # sent on this link

    def frame_missing(self) -> None:
        """A piece may be lost: what came of its snapshot is of no use."""
        self._received_chunks, self._coming_size = [], 0

    def restart(self) -> None:
        """The other side misses a frame: all is sent as on a new link."""
        self._going.clear()
        self._parts = None
        self._snapshots.clear()
        self._holes_at = -1

    def next_frame(self) -> bytes | None:
        """The next piece of what the other side must take before entries are of use to it."""
        if self._holes_at != self.context.compaction_version:
            self._holes_at = self.context.compaction_version
            self._queue()
        return self._piece_to_send() if self._going else None

    def _queue(self) -> None:
        for piece in self.context.log.snapshots_for(self.peer_positions):
            if isinstance(piece, Snapshot):
                if self._snapshots.get(piece.channel) == piece.upto:
                    continue
                self._snapshots[piece.channel] = piece.upto
            self._going.append(piece)

    def _piece_to_send(self) -> bytes:
        """The next slice of the JSON of what was queued, which is made as it goes."""
        if self._parts is None:
            self._parts = _parts_of(self._going[0])
            self._part = next(self._parts)
        data, self._part = self._part, next(self._parts, b"")
        if not self._part:
            self._parts = None
            piece = self._going.popleft()
            for hole in piece.holes if isinstance(piece, Holes) else ():
                stream = (hole.writer, hole.incarnation)
                if hole.first <= self.peer_positions.get(stream, 0) + 1:
                    self.peer_positions[stream] = max(self.peer_positions.get(stream, 0), hole.last)
        self.context.spend(len(data))
        return self.state.next_frame(SnapshotChunk(is_last=not self._part), data)

    def chunk_received(self, body: bytes, last: bool) -> None:
        self._received_chunks.append(body)
        self._coming_size += len(body)
        if self._coming_size > self.context.max_snapshot_bytes:
            begins = self._received_chunks[0][:60].decode("ascii", "replace")
            text = f"a snapshot of more than {self.context.max_snapshot_bytes} bytes, which begins {begins!r}"
            raise PeerProtocolError("oversize", f"{text}; fleet.log.channel here may be less than there")
        if not last:
            return
        data, self._received_chunks, self._coming_size = b"".join(self._received_chunks), [], 0
        try:
            piece = _pieces.decode(data)
            news = self.context.log_store.take_snapshot(piece)
        except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as trouble:
            raise PeerProtocolError("bad_body", f"a snapshot that is none: {trouble}") from None
        except InvalidEntryError as trouble:
            raise PeerProtocolError("bad_entry", str(trouble)) from None
        if news:
            self.context.log_version += 1
            self.context.compaction_version += 1
            self.context.on_snapshot(piece)


def _parts_of(piece: Snapshot | Holes) -> Iterator[bytes]:
    """The JSON of a piece, cut; that of a snapshot is made part by part, as `_encode` would have it whole."""
    if isinstance(piece, Holes):
        whole = _encode(piece)
        yield from (whole[i : i + SLICE_BYTES] for i in range(0, len(whole), SLICE_BYTES))
        return
    head, _, tail = _encode(Snapshot(piece.channel, piece.upto, b"")).rpartition(b'""')
    yield head + b'"'
    size = SLICE_BYTES // 4 * 3  # of the value, whose bytes travel in base 64
    for i in range(0, len(piece.value), size):
        yield b64encode(piece.value[i : i + size])
    yield b'"' + tail
