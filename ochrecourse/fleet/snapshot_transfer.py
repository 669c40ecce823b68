"""Snapshots on one link, and the holes that they leave in streams: sent in chunks, reassembled and applied.

They are sent before the entries of the same streams, which a peer cannot store without them.
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

_decoder: msgspec.json.Decoder[Snapshot | Holes] = msgspec.json.Decoder(Snapshot | Holes)
_encode = msgspec.json.encode


class SnapshotTransfer:
    """Snapshots sent and received on one link. `peer_positions`: `AntiEntropy.peer_positions`."""

    def __init__(self, state: LinkState, peer_positions: dict[Stream, int]) -> None:
        self.state = state
        self.context = state.context
        self.peer_positions = peer_positions
        self._received_chunks: list[bytes] = []
        self._received_size = 0
        self._send_queue: deque[Snapshot | Holes] = deque()
        self._chunks: Iterator[bytes] | None = None  # of the first in the queue, still to be sent
        self._next_chunk = b""
        self._queued_at_version = -1
        self._sent_snapshots: dict[str, Timestamp] = {}  # by channel, the last one sent on this link

    def frame_missing(self) -> None:
        """A chunk may be lost: drops those received of its snapshot."""
        self._received_chunks, self._received_size = [], 0

    def restart(self) -> None:
        """The peer misses a frame: everything is sent again as on a new link."""
        self._send_queue.clear()
        self._chunks = None
        self._sent_snapshots.clear()
        self._queued_at_version = -1

    def next_frame(self) -> bytes | None:
        """The next chunk of what the peer must apply before it can store entries; None if there is none."""
        if self._queued_at_version != self.context.compaction_version:
            self._queued_at_version = self.context.compaction_version
            self._fill_queue()
        return self._next_chunk_frame() if self._send_queue else None

    def _fill_queue(self) -> None:
        for item in self.context.log.snapshots_for(self.peer_positions):
            if isinstance(item, Snapshot):
                if self._sent_snapshots.get(item.channel) == item.upto:
                    continue
                self._sent_snapshots[item.channel] = item.upto
            self._send_queue.append(item)

    def _next_chunk_frame(self) -> bytes:
        """The next chunk of the JSON of the queue, which is encoded while it is sent."""
        if self._chunks is None:
            self._chunks = _chunks_of(self._send_queue[0])
            self._next_chunk = next(self._chunks)
        data, self._next_chunk = self._next_chunk, next(self._chunks, b"")
        if not self._next_chunk:
            self._chunks = None
            item = self._send_queue.popleft()
            for hole in item.holes if isinstance(item, Holes) else ():
                stream = (hole.writer, hole.incarnation)
                if hole.first <= self.peer_positions.get(stream, 0) + 1:
                    self.peer_positions[stream] = max(self.peer_positions.get(stream, 0), hole.last)
        self.context.spend(len(data))
        return self.state.next_frame(SnapshotChunk(is_last=not self._next_chunk), data)

    def chunk_received(self, body: bytes, is_last: bool) -> None:
        """A chunk was received; the last one of a snapshot applies it. Raises PeerProtocolError."""
        self._received_chunks.append(body)
        self._received_size += len(body)
        if self._received_size > self.context.max_snapshot_bytes:
            start = self._received_chunks[0][:60].decode("ascii", "replace")
            text = f"a snapshot of more than {self.context.max_snapshot_bytes} bytes, which begins {start!r}"
            raise PeerProtocolError("oversize", f"{text}; fleet.log.channel here may be less than there")
        if not is_last:
            return
        data, self._received_chunks, self._received_size = b"".join(self._received_chunks), [], 0
        try:
            item = _decoder.decode(data)
            is_new = self.context.log_store.take_snapshot(item)
        except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
            raise PeerProtocolError("bad_body", f"a snapshot that is none: {error}") from None
        except InvalidEntryError as error:
            raise PeerProtocolError("bad_entry", str(error)) from None
        if is_new:
            self.context.log_version += 1
            self.context.compaction_version += 1
            self.context.on_snapshot(item)


def _chunks_of(item: Snapshot | Holes) -> Iterator[bytes]:
    """The JSON of a snapshot or of holes in chunks; joined they equal what `_encode` returns."""
    if isinstance(item, Holes):
        encoded = _encode(item)
        yield from (encoded[i : i + SLICE_BYTES] for i in range(0, len(encoded), SLICE_BYTES))
        return
    head, _, tail = _encode(Snapshot(item.channel, item.upto, b"")).rpartition(b'""')
    yield head + b'"'
    size = SLICE_BYTES // 4 * 3  # bytes of the value, which is encoded in base 64
    for i in range(0, len(item.value), size):
        yield b64encode(item.value[i : i + size])
    yield b'"' + tail
