"""What to tell one other gateway next, and what to believe of what it tells. Free of I/O, clocks and chance.

One `Exchange` a link. It greets, checks and numbers frames, and hands what comes to the module whose job it
is: messages.py has the frames, heartbeats.py rows, anti_entropy.py entries, snapshot_transfer.py snapshots,
link_state.py what these need of the link, exchange_context.py what all links of a gateway share. After hello
each side tells how far it holds each stream of the log. Then rows, and what is told of them, go before
entries.

Frames of a side are numbered. A connection keeps them whole and in order, but what stands between two hosts
may not: a frame that comes twice is dropped, and where one is missing that side says `lost` and hears only
what does not rest on it, until the other has begun anew.

Every frame is checked before anything of it is kept; the first mistake raises `PeerProtocolError`, and
nothing of that frame stays.
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

MAX_FRAMES_PER_SECOND = 1000  # frames a second that a peer may send; a sender of ours keeps to half of it
MAX_FRAME_BURST = 2000  # and so many at once


class Exchange:
    """One link. `peer`: who is dialled, empty for whoever dials here."""

    def __init__(self, common: ExchangeContext, peer: str, now: int) -> None:
        self.context = common
        self.state = LinkState(common, peer)
        self.heartbeats = Heartbeats(self.state, self)
        self.anti_entropy = AntiEntropy(self.state, self.heartbeats.relaying_stopped)
        self.started_at = now
        self.received_at = now
        self.end_reason = ""  # why the other side ended it
        self.is_blamed = False  # the other side says that this one made a mistake
        self.frames_in = 0
        self.bytes_in = 0
        self._room = float(MAX_FRAME_BURST)
        self._room_at = now
        self._pace = float(MAX_FRAME_BURST // 2)
        self._pace_at = now
        self._header: Header | None = None
        self._greeted = False
        self._last_frame_number = 0
        self._skip = False  # the frame that comes is not listened to
        self._deaf = False  # a frame is missing, and the other side has not begun anew
        self._say_lost = False

    @property
    def peer(self) -> str:
        """Who is dialled; who it says it is; empty for whoever dials here and has not said it."""
        return self.state.peer

    @property
    def hello(self) -> Hello | None:
        """The other side's."""
        return self.state.hello

    @property
    def peer_versions(self) -> VersionRange:
        """The forms that the other side speaks."""
        return self.state.peer_versions

    @property
    def format_version(self) -> int:
        """In which bodies are sent."""
        return self.state.format_version

    @property
    def heartbeats_in(self) -> int:
        return self.heartbeats.heartbeats_in

    @property
    def entries_in(self) -> int:
        return self.anti_entropy.entries_in

    # --- what is reported ---

    def beat_passed(self, now: int, stale: Set[str] = frozenset()) -> None:
        """A beat has passed. `stale`: gateways whose news stay out, as `ExchangeContext.stale` has them."""
        self._say_lost = self._deaf
        self.heartbeats.beat_passed(stale)
        self.anti_entropy.beat_passed()

    def source_lost(self, names: Iterable[str]) -> None:
        """The link that brought news of these gateways is gone."""
        self.heartbeats.source_lost(names)

    def is_silent(self, now: int) -> bool:
        """Nothing was heard for longer than links may be silent."""
        return now - self.received_at > self.context.silence_timeout

    def header_received(self, line: bytes, now: int) -> int:
        """A header came; returns how many bytes of body follow. Raises PeerProtocolError."""
        if self.hello is not None and self.is_silent(now):
            # Guards against a process that stood still: what it finds unread is old, and would count as news.
            raise PeerProtocolError(SLOW, "a frame after a silence longer than links may be silent")
        self.received_at = now
        self.frames_in += 1
        self._room = (
            min(MAX_FRAME_BURST, self._room + (now - self._room_at) / SECOND * MAX_FRAMES_PER_SECOND) - 1
        )
        self._room_at = now
        if self._room < 0:
            raise PeerProtocolError("flood", f"more than {MAX_FRAMES_PER_SECOND} frames a second")
        header = decode_header(line)
        self._number(header)
        self._skip = self._skip or bool(self.end_reason)
        if self._skip:
            return header.body_size
        if self.hello is None and type(header) not in (Hello, ErrorNotice, Goodbye):
            raise PeerProtocolError("no_hello", f"{tag_of(header)} came before hello")
        self._header = header
        self.bytes_in += len(line) + 2
        return header.body_size

    def body_received(self, body: bytes, now: int, wall_ms: int) -> list[Entry]:
        """The body of the header that came last; returns the entries that are new here. Raises
        PeerProtocolError."""
        self.bytes_in += len(body)
        if self._skip:
            self._skip = False
            return []
        header, self._header = self._header, None
        assert header is not None
        self._check(header, body)
        told = decode_body(header, body)
        match header:
            case Hello():
                self._took_hello(header)
            case StreamPositions():
                self.anti_entropy.positions_received(told, header.has_more, now)
            case HeartbeatBatch():
                self.heartbeats.heartbeats_received(told, now, wall_ms)
            case Entries():
                return self.anti_entropy.entries_received(told, wall_ms)
            case SnapshotChunk():
                self.anti_entropy.snapshots.chunk_received(body, header.is_last)
            case StopRelaying():
                self.heartbeats.stop_relaying_received(told)
            case ResumeRelaying():
                self.heartbeats.resume_relaying_received(told)
                self.anti_entropy.recheck()
            case FrameMissing():
                self._begin_anew()
            case ErrorNotice():
                self.end_reason = f"it says {header.code}: {header.text[:300]}"
                self.is_blamed = header.code not in NO_PENALTY_CODES
            case Goodbye():
                self.end_reason = f"it says bye: {header.reason[:100]}"
        return []

    def _check(self, header: Header, body: bytes) -> None:
        """Guards against a body in a form that is not spoken here, and against one that was changed on its
        way, which else would be merged as its writer's word."""
        form = header.format_version or FIRST_VERSION
        if not FIRST_VERSION <= form <= self.context.format_versions.supported.newest:
            raise PeerProtocolError(
                FORMAT_VERSION, f"{tag_of(header)} in form {form}, which this program does not speak"
            )
        if form >= PACKED_VERSION and header.checksum != zlib.crc32(body):
            raise PeerProtocolError(DAMAGED, f"{tag_of(header)} whose body was changed on its way")

    def _number(self, header: Header) -> None:
        """Guards against what stands between two hosts and loses or repeats whole frames."""
        if not header.frame_number:
            return
        if header.frame_number <= self._last_frame_number:
            self._skip = True
            return
        if header.frame_number > self._last_frame_number + 1:
            if self.hello is None:
                self._skip, self.end_reason = True, "its hello was lost on the way"
            self._deaf = self._say_lost = True
            self.anti_entropy.snapshots.frame_missing()
            self.heartbeats.frame_missing()
        self._last_frame_number = header.frame_number
        if header.starts_over:
            self._deaf = self._say_lost = False
        if self._deaf and type(header) in (HeartbeatBatch, SnapshotChunk):
            self._skip = True

    def _begin_anew(self) -> None:
        """The other side misses a frame: all is told as on a new link."""
        self.state.starts_over = True
        self.heartbeats.restart()
        self.anti_entropy.restart()

    def _took_hello(self, hello: Hello) -> None:
        common = self.context
        if self.hello is not None:
            raise PeerProtocolError("second_hello", "hello came twice")
        try:
            speaks = checked_range(
                VersionRange(
                    hello.oldest_version or hello.version_in_force,
                    hello.newest_version or hello.version_in_force,
                )
            )
        except ValueError as trouble:
            raise PeerProtocolError("bad_hello", str(trouble)) from None
        apart = common.format_versions.mismatch(speaks, hello.version_in_force)
        if apart:
            raise PeerProtocolError(FORMAT_VERSION, apart)
        if hello.fleet != common.fleet:
            raise PeerProtocolError(
                "fleet", f"is of fleet {hello.fleet[:MAX_NAME_BYTES]!r}, not {common.fleet!r}"
            )
        if not 0 < len(hello.name.encode()) <= MAX_NAME_BYTES or hello.zone < 0 or hello.incarnation < 0:
            raise PeerProtocolError("bad_hello", "a hello with a name, zone or life that is none")
        if self.peer and hello.name != self.peer:
            raise PeerProtocolError(
                "name", f"says that it is {hello.name!r}, where {self.peer!r} was dialled"
            )
        if hello.name == common.members.name:
            raise PeerProtocolError("name", f"says that it is {hello.name!r}, which is this gateway")
        why = common.admit(hello)
        if why:
            raise PeerProtocolError("not_admitted", why)
        self.state.peer, self.state.hello = hello.name, hello
        self.state.peer_versions = speaks
        self.heartbeats.is_due = True

    # --- what is pulled ---

    def next_frame(self, now: int) -> bytes | None:
        """The next frame to send, None when there is nothing now; asked anew after a beat and after news."""
        if not self._greeted:
            self._greeted = True
            return self._greeting()
        if self.hello is None or self.end_reason:
            return None
        if self._say_lost:
            self._say_lost = False
            return self.state.next_frame(FrameMissing())
        have = self.anti_entropy.positions_to_send()
        if have is not None:
            return have
        requests = self.heartbeats.requests_to_send()
        if requests is not None:
            return requests
        if self.heartbeats.is_due:
            self.anti_entropy.needs_acknowledgement = True
            return self.heartbeats.heartbeats_to_send()
        self._pace = min(
            MAX_FRAME_BURST // 2, self._pace + (now - self._pace_at) / SECOND * (MAX_FRAMES_PER_SECOND // 2)
        )
        self._pace_at = now
        if self._pace >= 1 and self.anti_entropy.may_lack_entries():
            entries = self.anti_entropy.next_frame(now)
            if entries is not None:
                self._pace -= 1
                return entries
        return None

    def _greeting(self) -> bytes:
        members = self.context.members
        forms = self.context.format_versions
        told = (
            forms.supported if forms.supported.newest > FIRST_VERSION else VersionRange(0, 0)
        )  # as older programs are
        hello = Hello(
            version_in_force=min(forms.in_force, forms.supported.newest),
            fleet=self.context.fleet,
            name=members.name,
            incarnation=members.incarnation,
            zone=members.zone,
            oldest_version=told.oldest,
            newest_version=told.newest,
        )
        return self.state.next_frame(hello)

    def error_frame(self, trouble: PeerProtocolError) -> bytes:
        """What is told a peer whose mistake ends the link."""
        return self.state.next_frame(ErrorNotice(code=trouble.code, text=str(trouble)[:300]))

    def goodbye_frame(self, reason: str) -> bytes:
        return self.state.next_frame(Goodbye(reason=reason))
