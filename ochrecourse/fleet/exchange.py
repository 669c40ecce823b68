"""The protocol between two gateways of a fleet, one `Exchange` per link. Free of I/O, clocks and randomness.

It sends hello, checks the numbers and contents of frames, and passes each message to the module that handles
it: heartbeats.py, anti_entropy.py for entries, snapshot_transfer.py. messages.py defines the messages,
link_state.py what these modules share of a link, exchange_context.py what all links of a gateway share. After
hello each side sends the position that it has reached in each stream of the log. From then on, heartbeats and
requests about relaying are sent before entries.

The frames of each side are numbered. A connection delivers them in order, but a middlebox may lose or repeat
whole frames: a repeated frame is dropped. After a missing one the receiver sends `lost` and ignores frames
that depend on it until the sender has started over.

Every frame is checked before any of it is applied: the first error raises `PeerProtocolError`, and the frame
has no effect.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable, Set

from ochrecourse.fleet.anti_entropy import AntiEntropy
from ochrecourse.fleet.entries import Entry
from ochrecourse.fleet.format_versions import FIRST_VERSION, PACKED_VERSION, VersionRange, checked_range
from ochrecourse.fleet.heartbeats import Heartbeats
from ochrecourse.fleet.link_state import LinkState
from ochrecourse.fleet.messages import (
    DAMAGED,
    FORMAT_VERSION,
    MAX_NAME_BYTES,
    NO_PENALTY_CODES,
    SLOW,
    ResumeRelaying,
    PeerProtocolError,
    Goodbye,
    StopRelaying,
    Entries,
    ErrorNotice,
    StreamPositions,
    Header,
    Hello,
    FrameMissing,
    SnapshotChunk,
    HeartbeatBatch,
    decode_body,
    decode_header,
    tag_of,
)
from ochrecourse.fleet.exchange_context import ExchangeContext
from ochrecourse.common.time_units import SECOND

MAX_FRAMES_PER_SECOND = 1000  # that a peer may send; this side sends at most half as many
MAX_FRAME_BURST = 2000  # frames that a peer may send at once


class Exchange:
    """The exchange over one link. `peer`: the gateway that was dialled; empty on an accepted link."""

    def __init__(self, context: ExchangeContext, peer: str, now: int) -> None:
        self.context = context
        self.state = LinkState(context, peer)
        self.heartbeats = Heartbeats(self.state, self)
        self.anti_entropy = AntiEntropy(self.state, self.heartbeats.relaying_stopped)
        self.started_at = now
        self.received_at = now
        self.end_reason = ""  # why the peer ended the link
        self.is_blamed = False  # the peer reports a protocol violation by this gateway
        self.frames_in = 0
        self.bytes_in = 0
        self._receive_budget = float(MAX_FRAME_BURST)
        self._receive_budget_at = now
        self._send_budget = float(MAX_FRAME_BURST // 2)
        self._send_budget_at = now
        self._header: Header | None = None
        self._hello_sent = False
        self._last_frame_number = 0
        self._skip_frame = False  # ignore the frame that is being received
        self._awaits_restart = False  # a frame is missing, and the peer has not started over yet
        self._reports_missing_frame = False

    @property
    def peer(self) -> str:
        """The gateway that was dialled or that sent the hello; empty on an accepted link before its hello."""
        return self.state.peer

    @property
    def hello(self) -> Hello | None:
        """The peer's; None until it is received."""
        return self.state.hello

    @property
    def peer_versions(self) -> VersionRange:
        """The format versions that the peer supports."""
        return self.state.peer_versions

    @property
    def format_version(self) -> int:
        """The format version in which bodies are sent."""
        return self.state.format_version

    @property
    def heartbeats_in(self) -> int:
        """Heartbeats that were received on this link."""
        return self.heartbeats.heartbeats_in

    @property
    def entries_in(self) -> int:
        """Entries that were received on this link."""
        return self.anti_entropy.entries_in

    # --- events ---

    def beat_passed(self, now: int, stale: Set[str] = frozenset()) -> None:
        """A heartbeat interval has passed. `stale`: the result of `ExchangeContext.stale_members`."""
        self._reports_missing_frame = self._awaits_restart
        self.heartbeats.beat_passed(stale)
        self.anti_entropy.beat_passed()

    def source_lost(self, names: Iterable[str]) -> None:
        """The link that relayed the heartbeats of these gateways has ended."""
        self.heartbeats.source_lost(names)

    def is_silent(self, now: int) -> bool:
        """Whether nothing was received for longer than the silence timeout."""
        return now - self.received_at > self.context.silence_timeout

    def header_received(self, line: bytes, now: int) -> int:
        """A header was received; returns the size of its body in bytes. Raises PeerProtocolError."""
        if self.hello is not None and self.is_silent(now):
            # Guards against a stall of this process: unread frames are old, but would count as received now.
            raise PeerProtocolError(SLOW, "a frame after a silence longer than links may be silent")
        self.received_at = now
        self.frames_in += 1
        self._receive_budget = (
            min(
                MAX_FRAME_BURST,
                self._receive_budget + (now - self._receive_budget_at) / SECOND * MAX_FRAMES_PER_SECOND,
            )
            - 1
        )
        self._receive_budget_at = now
        if self._receive_budget < 0:
            raise PeerProtocolError("flood", f"more than {MAX_FRAMES_PER_SECOND} frames a second")
        header = decode_header(line)
        self._check_frame_number(header)
        self._skip_frame = self._skip_frame or bool(self.end_reason)
        if self._skip_frame:
            return header.body_size
        if self.hello is None and type(header) not in (Hello, ErrorNotice, Goodbye):
            raise PeerProtocolError("no_hello", f"{tag_of(header)} came before hello")
        self._header = header
        self.bytes_in += len(line) + 2
        return header.body_size

    def body_received(self, body: bytes, now: int, wall_ms: int) -> list[Entry]:
        """The body of the last header was received; returns the entries that are new here.

        Raises PeerProtocolError.
        """
        self.bytes_in += len(body)
        if self._skip_frame:
            self._skip_frame = False
            return []
        header, self._header = self._header, None
        assert header is not None
        self._check_body(header, body)
        decoded = decode_body(header, body)
        match header:
            case Hello():
                self._hello_received(header)
            case StreamPositions():
                self.anti_entropy.positions_received(decoded, header.has_more, now)
            case HeartbeatBatch():
                self.heartbeats.heartbeats_received(decoded, now, wall_ms)
            case Entries():
                return self.anti_entropy.entries_received(decoded, wall_ms)
            case SnapshotChunk():
                self.anti_entropy.snapshots.chunk_received(body, header.is_last)
            case StopRelaying():
                self.heartbeats.stop_relaying_received(decoded)
            case ResumeRelaying():
                self.heartbeats.resume_relaying_received(decoded)
                self.anti_entropy.recheck()
            case FrameMissing():
                self._restart()
            case ErrorNotice():
                self.end_reason = f"it says {header.code}: {header.text[:300]}"
                self.is_blamed = header.code not in NO_PENALTY_CODES
            case Goodbye():
                self.end_reason = f"it says bye: {header.reason[:100]}"
        return []

    def _check_body(self, header: Header, body: bytes) -> None:
        """Guards against unsupported format versions, and against bodies that were changed in transit.

        Without the checksum a changed entry would be merged as if its writer had written it.
        """
        format_version = header.format_version or FIRST_VERSION
        if not FIRST_VERSION <= format_version <= self.context.format_versions.supported.newest:
            raise PeerProtocolError(
                FORMAT_VERSION,
                f"{tag_of(header)} in form {format_version}, which this program does not speak",
            )
        if format_version >= PACKED_VERSION and header.checksum != zlib.crc32(body):
            raise PeerProtocolError(DAMAGED, f"{tag_of(header)} whose body was changed on its way")

    def _check_frame_number(self, header: Header) -> None:
        """Guards against a middlebox that loses or repeats whole frames."""
        if not header.frame_number:
            return
        if header.frame_number <= self._last_frame_number:
            self._skip_frame = True
            return
        if header.frame_number > self._last_frame_number + 1:
            if self.hello is None:
                self._skip_frame, self.end_reason = True, "its hello was lost on the way"
            self._awaits_restart = self._reports_missing_frame = True
            self.anti_entropy.snapshots.frame_missing()
            self.heartbeats.frame_missing()
        self._last_frame_number = header.frame_number
        if header.starts_over:
            self._awaits_restart = self._reports_missing_frame = False
        if self._awaits_restart and type(header) in (HeartbeatBatch, SnapshotChunk):
            self._skip_frame = True

    def _restart(self) -> None:
        """The peer misses a frame: everything is sent again as on a new link."""
        self.state.starts_over = True
        self.heartbeats.restart()
        self.anti_entropy.restart()

    def _hello_received(self, hello: Hello) -> None:
        context = self.context
        if self.hello is not None:
            raise PeerProtocolError("second_hello", "hello came twice")
        try:
            peer_versions = checked_range(
                VersionRange(
                    hello.oldest_version or hello.version_in_force,
                    hello.newest_version or hello.version_in_force,
                )
            )
        except ValueError as error:
            raise PeerProtocolError("bad_hello", str(error)) from None
        mismatch = context.format_versions.mismatch(peer_versions, hello.version_in_force)
        if mismatch:
            raise PeerProtocolError(FORMAT_VERSION, mismatch)
        if hello.fleet != context.fleet:
            raise PeerProtocolError(
                "fleet", f"is of fleet {hello.fleet[:MAX_NAME_BYTES]!r}, not {context.fleet!r}"
            )
        if not 0 < len(hello.name.encode()) <= MAX_NAME_BYTES or hello.zone < 0 or hello.incarnation < 0:
            raise PeerProtocolError("bad_hello", "a hello with a name, zone or life that is none")
        if self.peer and hello.name != self.peer:
            raise PeerProtocolError(
                "name", f"says that it is {hello.name!r}, where {self.peer!r} was dialled"
            )
        if hello.name == context.members.name:
            raise PeerProtocolError("name", f"says that it is {hello.name!r}, which is this gateway")
        reason = context.admit(hello)
        if reason:
            raise PeerProtocolError("not_admitted", reason)
        self.state.peer, self.state.hello = hello.name, hello
        self.state.peer_versions = peer_versions
        self.heartbeats.is_due = True

    # --- frames to send ---

    def next_frame(self, now: int) -> bytes | None:
        """The next frame to send, or None. To be called after each heartbeat interval and frame."""
        if not self._hello_sent:
            self._hello_sent = True
            return self._make_hello()
        if self.hello is None or self.end_reason:
            return None
        if self._reports_missing_frame:
            self._reports_missing_frame = False
            return self.state.next_frame(FrameMissing())
        positions = self.anti_entropy.positions_to_send()
        if positions is not None:
            return positions
        requests = self.heartbeats.requests_to_send()
        if requests is not None:
            return requests
        if self.heartbeats.is_due:
            self.anti_entropy.needs_acknowledgement = True
            return self.heartbeats.heartbeats_to_send()
        self._send_budget = min(
            MAX_FRAME_BURST // 2,
            self._send_budget + (now - self._send_budget_at) / SECOND * (MAX_FRAMES_PER_SECOND // 2),
        )
        self._send_budget_at = now
        if self._send_budget >= 1 and self.anti_entropy.may_lack_entries():
            entries = self.anti_entropy.next_frame(now)
            if entries is not None:
                self._send_budget -= 1
                return entries
        return None

    def _make_hello(self) -> bytes:
        members = self.context.members
        versions = self.context.format_versions
        version_range = (
            versions.supported if versions.supported.newest > FIRST_VERSION else VersionRange(0, 0)
        )  # older releases, which know the first version only, send no range
        hello = Hello(
            version_in_force=min(versions.in_force, versions.supported.newest),
            fleet=self.context.fleet,
            name=members.name,
            incarnation=members.incarnation,
            zone=members.zone,
            oldest_version=version_range.oldest,
            newest_version=version_range.newest,
        )
        return self.state.next_frame(hello)

    def error_frame(self, error: PeerProtocolError) -> bytes:
        """The notice to a peer whose protocol violation ends the link."""
        return self.state.next_frame(ErrorNotice(code=error.code, text=str(error)[:300]))

    def goodbye_frame(self, reason: str) -> bytes:
        """The last frame of a link that ends without an error."""
        return self.state.next_frame(Goodbye(reason=reason))
