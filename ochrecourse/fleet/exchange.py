"""What to tell one other gateway next, and what to believe of what it tells. Free of I/O, clocks and chance.

One `Exchange` a link. It greets, checks and numbers frames, and hands what comes to the module whose job it
is: messages.py has the frames, heartbeats.py rows, anti_entropy.py entries, snapshot_transfer.py snapshots,
link_state.py what these need of the link, shared.py what all links of a gateway share. After hello each side
tells how far it holds each stream of the log. Then rows, and what is told of them, go before entries.

Frames of a side are numbered. A connection keeps them whole and in order, but what stands between two hosts
may not: a frame that comes twice is dropped, and where one is missing that side says `lost` and hears only
what does not rest on it, until the other has begun anew.

Every frame is checked before anything of it is kept; the first mistake raises `BadPeer`, and nothing of that
frame stays.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable, Set

from ochrecourse.fleet.anti_entropy import AntiEntropy
from ochrecourse.fleet.entries import Entry
from ochrecourse.fleet.forms import FIRST, PACKED, Span, whole
from ochrecourse.fleet.heartbeats import Heartbeats
from ochrecourse.fleet.link_state import LinkState
from ochrecourse.fleet.messages import (
    DAMAGED,
    FORM,
    LONGEST_NAME,
    RESTLESS,
    SLOW,
    Again,
    BadPeer,
    Bye,
    Enough,
    Entries,
    Fault,
    Have,
    Header,
    Hello,
    Lost,
    Piece,
    Rows,
    decode_body,
    decode_header,
    tag_of,
)
from ochrecourse.fleet.shared import Common
from ochrecourse.common.time_units import SECOND

FRAMES = 1000  # frames a second that a peer may send; a sender of ours keeps to half of it
BURST = 2000  # and so many at once


class Exchange:
    """One link. `peer`: who is dialled, empty for whoever dials here."""

    def __init__(self, common: Common, peer: str, now: int) -> None:
        self.common = common
        self.state = LinkState(common, peer)
        self.heartbeats = Heartbeats(self.state, self)
        self.entries = AntiEntropy(self.state, self.heartbeats.no_more)
        self.began = now
        self.heard_at = now
        self.over = ""  # why the other side ended it
        self.blamed = False  # the other side says that this one made a mistake
        self.frames_in = 0
        self.bytes_in = 0
        self._room = float(BURST)
        self._room_at = now
        self._pace = float(BURST // 2)
        self._pace_at = now
        self._header: Header | None = None
        self._greeted = False
        self._n_in = 0
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
    def speaks(self) -> Span:
        """The forms that the other side speaks."""
        return self.state.speaks

    @property
    def form(self) -> int:
        """In which bodies are sent."""
        return self.state.form

    @property
    def rows_in(self) -> int:
        return self.heartbeats.rows_in

    @property
    def entries_in(self) -> int:
        return self.entries.entries_in

    # --- what is reported ---

    def turn(self, now: int, stale: Set[str] = frozenset()) -> None:
        """A beat has passed. `stale`: gateways whose news stay out, as `Common.stale` has them."""
        self._say_lost = self._deaf
        self.heartbeats.turn(stale)
        self.entries.turn()

    def source_gone(self, names: Iterable[str]) -> None:
        """The link that brought news of these gateways is gone."""
        self.heartbeats.source_gone(names)

    def silent(self, now: int) -> bool:
        """Nothing was heard for longer than links may be silent."""
        return now - self.heard_at > self.common.quiet

    def begun(self, line: bytes, now: int) -> int:
        """A header came; returns how many bytes of body follow. Raises BadPeer."""
        if self.hello is not None and self.silent(now):
            # Guards against a process that stood still: what it finds unread is old, and would count as news.
            raise BadPeer(SLOW, "a frame after a silence longer than links may be silent")
        self.heard_at = now
        self.frames_in += 1
        self._room = min(BURST, self._room + (now - self._room_at) / SECOND * FRAMES) - 1
        self._room_at = now
        if self._room < 0:
            raise BadPeer("flood", f"more than {FRAMES} frames a second")
        header = decode_header(line)
        self._number(header)
        self._skip = self._skip or bool(self.over)
        if self._skip:
            return header.body
        if self.hello is None and type(header) not in (Hello, Fault, Bye):
            raise BadPeer("no_hello", f"{tag_of(header)} came before hello")
        self._header = header
        self.bytes_in += len(line) + 2
        return header.body

    def took(self, body: bytes, now: int, wall_ms: int) -> list[Entry]:
        """The body of the header that came last; returns the entries that are new here. Raises BadPeer."""
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
            case Have():
                self.entries.took_have(told, header.more, now)
            case Rows():
                self.heartbeats.took_rows(told, now, wall_ms)
            case Entries():
                return self.entries.took_entries(told, wall_ms)
            case Piece():
                self.entries.snapshots.took_piece(body, header.last)
            case Enough():
                self.heartbeats.took_enough(told)
            case Again():
                self.heartbeats.took_again(told)
                self.entries.look_again()
            case Lost():
                self._begin_anew()
            case Fault():
                self.over = f"it says {header.code}: {header.text[:300]}"
                self.blamed = header.code not in RESTLESS
            case Bye():
                self.over = f"it says bye: {header.reason[:100]}"
        return []

    def _check(self, header: Header, body: bytes) -> None:
        """Guards against a body in a form that is not spoken here, and against one that was changed on its
        way, which else would be merged as its writer's word."""
        form = header.form or FIRST
        if not FIRST <= form <= self.common.forms.speaks.newest:
            raise BadPeer(FORM, f"{tag_of(header)} in form {form}, which this program does not speak")
        if form >= PACKED and header.sum != zlib.crc32(body):
            raise BadPeer(DAMAGED, f"{tag_of(header)} whose body was changed on its way")

    def _number(self, header: Header) -> None:
        """Guards against what stands between two hosts and loses or repeats whole frames."""
        if not header.n:
            return
        if header.n <= self._n_in:
            self._skip = True
            return
        if header.n > self._n_in + 1:
            if self.hello is None:
                self._skip, self.over = True, "its hello was lost on the way"
            self._deaf = self._say_lost = True
            self.entries.snapshots.frame_missing()
            self.heartbeats.frame_missing()
        self._n_in = header.n
        if header.fresh:
            self._deaf = self._say_lost = False
        if self._deaf and type(header) in (Rows, Piece):
            self._skip = True

    def _begin_anew(self) -> None:
        """The other side misses a frame: all is told as on a new link."""
        self.state.fresh = True
        self.heartbeats.begin_anew()
        self.entries.begin_anew()

    def _took_hello(self, hello: Hello) -> None:
        common = self.common
        if self.hello is not None:
            raise BadPeer("second_hello", "hello came twice")
        try:
            speaks = whole(Span(hello.oldest or hello.version, hello.newest or hello.version))
        except ValueError as trouble:
            raise BadPeer("bad_hello", str(trouble)) from None
        apart = common.forms.apart(speaks, hello.version)
        if apart:
            raise BadPeer(FORM, apart)
        if hello.fleet != common.fleet:
            raise BadPeer("fleet", f"is of fleet {hello.fleet[:LONGEST_NAME]!r}, not {common.fleet!r}")
        if not 0 < len(hello.name.encode()) <= LONGEST_NAME or hello.zone < 0 or hello.life < 0:
            raise BadPeer("bad_hello", "a hello with a name, zone or life that is none")
        if self.peer and hello.name != self.peer:
            raise BadPeer("name", f"says that it is {hello.name!r}, where {self.peer!r} was dialled")
        if hello.name == common.members.name:
            raise BadPeer("name", f"says that it is {hello.name!r}, which is this gateway")
        why = common.admit(hello)
        if why:
            raise BadPeer("not_admitted", why)
        self.state.peer, self.state.hello = hello.name, hello
        self.state.speaks = speaks
        self.heartbeats.due = True

    # --- what is pulled ---

    def next(self, now: int) -> bytes | None:
        """The next frame to send, None when there is nothing now; asked anew after a beat and after news."""
        if not self._greeted:
            self._greeted = True
            return self._greeting()
        if self.hello is None or self.over:
            return None
        if self._say_lost:
            self._say_lost = False
            return self.state.frame(Lost())
        have = self.entries.have_to_send()
        if have is not None:
            return have
        requests = self.heartbeats.requests_to_send()
        if requests is not None:
            return requests
        if self.heartbeats.due:
            self.entries.acknowledge = True
            return self.heartbeats.rows_to_send()
        self._pace = min(BURST // 2, self._pace + (now - self._pace_at) / SECOND * (FRAMES // 2))
        self._pace_at = now
        if self._pace >= 1 and self.entries.lacks():
            entries = self.entries.to_send(now)
            if entries is not None:
                self._pace -= 1
                return entries
        return None

    def _greeting(self) -> bytes:
        members = self.common.members
        forms = self.common.forms
        told = forms.speaks if forms.speaks.newest > FIRST else Span(0, 0)  # as older programs are
        hello = Hello(
            version=min(forms.in_force, forms.speaks.newest),
            fleet=self.common.fleet,
            name=members.name,
            life=members.incarnation,
            zone=members.zone,
            oldest=told.oldest,
            newest=told.newest,
        )
        return self.state.frame(hello)

    def fault(self, trouble: BadPeer) -> bytes:
        """What is told a peer whose mistake ends the link."""
        return self.state.frame(Fault(code=trouble.code, text=str(trouble)[:300]))

    def bye(self, reason: str) -> bytes:
        return self.state.frame(Bye(reason=reason))
