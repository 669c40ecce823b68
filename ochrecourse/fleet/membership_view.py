"""Which lives of which names count, by the events that say so: a function of the set of events alone.

Free of I/O, clock and chance.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from hashlib import blake2b
from typing import Any

import msgspec

from ochrecourse.fleet.channel import LATE, ORDINARY, PENDING
from ochrecourse.fleet.entries import Entry, Timestamp, Stream
from ochrecourse.fleet.streams import EndedIncarnations, has_ended

START = Timestamp(0, 0)
ROUNDS = 16  # of finding events that came late and so say nothing; more than two were never seen


class Admitted(msgspec.Struct, array_like=True, frozen=True):
    """A life that counts: its entries are ordinary behind `start` (none: behind the event). `before`: where
    the name's earlier lives end; one that is neither there nor ended before ends before its first entry."""

    name: str
    incarnation: int
    start: Timestamp | None
    earlier_incarnations: list[tuple[int, int]]


class Admit(msgspec.Struct, tag="admit", tag_field="what", frozen=True, rename={"incarnations": "lives"}):
    """`first`: of a fleet that has begun, so its writer need not count yet."""

    incarnations: list[Admitted]
    first: bool = False

    def value(self) -> object:
        return msgspec.to_builtins(self)


class Close(msgspec.Struct, tag="close", tag_field="what", frozen=True, rename={"incarnation": "life"}):
    """A life is over; what it wrote beyond entry `through` is late."""

    name: str
    incarnation: int
    through: int

    def value(self) -> object:
        return msgspec.to_builtins(self)


class Retire(msgspec.Struct, tag="retire", tag_field="what", frozen=True, rename={"incarnations": "lives"}):
    """`lives`: name, life, lives that stay. All lives of the name up to that one but for those are over for
    good: whoever counted said that it held nothing of them but in snapshots."""

    incarnations: list[tuple[str, int, list[int]]]

    def value(self) -> object:
        return msgspec.to_builtins(self)


class DeclareDeparted(
    msgspec.Struct, tag="give up", tag_field="what", frozen=True, rename={"incarnation": "life"}
):
    """Whoever runs the fleet says that a name does not come back. A life beyond `life` takes it back."""

    name: str
    incarnation: int

    def value(self) -> object:
        return msgspec.to_builtins(self)


Body = Admit | Close | Retire | DeclareDeparted
_decode = msgspec.json.Decoder(Body).decode
_ours = re.compile(rb'"what":"(?:admit|close|retire|give up)"').search


def decode_event(entry: Entry) -> Body | None:
    """None for events that are somebody else's."""
    if _ours(entry.body) is None:
        return None  # by far the most
    try:
        return _decode(entry.body)
    except (msgspec.DecodeError, UnicodeError):
        return None


class MembershipView:
    """`counting`: the life that counts by name, `since` where it was admitted. `newest`: the last life
    admitted by name, also if it ended. `starts`, `ends`: what is ordinary of a life. `over`: lives of which
    nothing is left but this. `given`: by name the last life that whoever runs the fleet gave up."""

    def __init__(self, upto: Timestamp = START) -> None:
        self.upto = upto
        self.active: dict[str, int] = {}
        self.active_since: dict[str, Timestamp] = {}
        self.newest_incarnations: dict[str, int] = {}
        self.starts: dict[Stream, Timestamp] = {}
        self.ends: dict[Stream, int] = {}
        self.ended_incarnations: EndedIncarnations = {}
        self.departed: dict[str, int] = {}
        self.digest = b""
        self.last = upto  # where the last event stands

    def classify(self, stream: Stream, seq: int, at: Timestamp) -> str:
        """Whether that entry is ordinary, late, or of a life that nothing is said of yet."""
        if seq > self.ends.get(stream, seq):
            return LATE
        start = self.starts.get(stream)
        if start is not None:
            return ORDINARY if at > start else LATE
        return LATE if self.newest_incarnations.get(stream[0], 0) > stream[1] else PENDING

    def _counts(self, entry: Entry) -> bool:
        return self.active.get(entry.writer) == entry.incarnation

    def voters(self) -> dict[str, int]:
        """Those that count, less names that were given up in that life or a later one."""
        return {name: life for name, life in self.active.items() if life > self.departed.get(name, -1)}

    def retirable(self) -> dict[str, list[int]]:
        """By name, lives before its newest that no retirement has looked at, in order. One of them may have
        to stay."""
        found: dict[str, list[int]] = {}
        for name, life in sorted({**self.starts, **self.ends}):
            upto, _ = self.ended_incarnations.get(name, (0, ()))
            if upto < life < self.newest_incarnations.get(name, 0):
                found.setdefault(name, []).append(life)
        return found

    def apply(self, entry: Entry, body: Admit | Close | Retire) -> None:
        """The next event in the log's order."""
        self.last = max(self.last, entry.at)
        if isinstance(body, Close):
            stream = (body.name, body.incarnation)
            if self._counts(entry) and self.newest_incarnations.get(body.name, 0) >= body.incarnation:
                self._end(stream, body.through)
        elif isinstance(body, Retire):
            for each in body.incarnations if self._counts(entry) else ():
                self._retire(*each)
        elif self._counts(entry) or (body.first and entry.incarnation > self.departed.get(entry.writer, -1)):
            for admitted in body.incarnations:
                self._admit(admitted, entry.at)

    def _retire(self, name: str, life: int, stay: Iterable[int]) -> None:
        """A life that has no end stays, and so does the last that wrote: whoever lacks it is sent the hole
        that it is, and with it the snapshots that stand for all of them."""
        life = min(life, self.newest_incarnations.get(name, 0) - 1)
        if life < self.ended_incarnations.get(name, (0, ()))[0]:
            return
        here = [s for s in {**self.starts, **self.ends} if s[0] == name and s[1] <= life]
        here = [s for s in here if not has_ended(self.ended_incarnations, s)]
        stays = {
            each for each in stay if each <= life and not has_ended(self.ended_incarnations, (name, each))
        }
        stays |= {s[1] for s in here if s not in self.ends}
        wrote = [s[1] for s in here if self.ends.get(s, 0) > 0]
        self.ended_incarnations[name] = (life, tuple(sorted(stays | set(wrote and [max(wrote)]))))

    def _end(self, stream: Stream, through: int) -> None:
        if has_ended(self.ended_incarnations, stream):
            return
        self.ends[stream] = min(through, self.ends.get(stream, through))
        if self.active.get(stream[0]) == stream[1]:
            del self.active[stream[0]], self.active_since[stream[0]]

    def _admit(self, admitted: Admitted, at: Timestamp) -> None:
        name, life = admitted.name, admitted.incarnation
        if has_ended(self.ended_incarnations, (name, life)):
            return
        start = at if admitted.start is None else admitted.start
        told = dict(admitted.earlier_incarnations)
        last = self.active.get(name)
        if last is not None and last < life:
            told.setdefault(last, 0)
        known = self.newest_incarnations.get(name, 0)
        for earlier, through in told.items():
            if earlier < known and (name, earlier) not in self.ends:
                continue  # passed over when a greater life was admitted, so all of it is late, for good
            if earlier < life and not has_ended(self.ended_incarnations, (name, earlier)):
                self.starts.setdefault((name, earlier), start)
                self._end((name, earlier), through)
        self.starts[name, life] = max(start, self.starts.get((name, life), start))
        if life > self.newest_incarnations.get(name, 0):
            self.newest_incarnations[name] = life
            if (name, life) not in self.ends:
                self.active[name], self.active_since[name] = life, at

    def value(self) -> dict[str, Any]:
        """As JSON has it; what is over for good is left out."""
        value: dict[str, Any] = {
            "counting": [
                [name, life, *self.active_since[name]] for name, life in sorted(self.active.items())
            ],
            "newest": sorted([name, life] for name, life in self.newest_incarnations.items()),
            "starts": sorted(
                [*s, *start] for s, start in self.starts.items() if not has_ended(self.ended_incarnations, s)
            ),
            "ends": sorted(
                [*s, end] for s, end in self.ends.items() if not has_ended(self.ended_incarnations, s)
            ),
        }
        # Left out where there is none: a version that knows of neither has the same digest until then.
        if self.ended_incarnations:
            value["over"] = [
                [name, life, stay] for name, (life, stay) in sorted(self.ended_incarnations.items())
            ]
        if self.departed:
            value["given"] = sorted(self.departed.items())
        return value

    @classmethod
    def of(cls, value: Any, upto: Timestamp) -> MembershipView:
        """The view that `value` made. Raises KeyError, TypeError, ValueError where it is none."""
        view = cls(upto)
        for name, life, ms, turn in value["counting"]:
            view.active[name], view.active_since[name] = life, Timestamp(ms, turn)
        view.newest_incarnations = dict(value["newest"])
        view.starts = {(n, life): Timestamp(ms, turn) for n, life, ms, turn in value["starts"]}
        view.ends = {(n, life): end for n, life, end in value["ends"]}
        view.ended_incarnations = {name: (life, tuple(stay)) for name, life, stay in value.get("over", ())}
        view.departed = dict(value.get("given", ()))
        return view

    def copy(self) -> MembershipView:
        return MembershipView.of(self.value(), self.upto)


def membership_view(base: MembershipView, events: Iterable[Entry]) -> MembershipView:
    """What follows from events, in whatever order they came. An event that is itself late says nothing."""
    read = []
    given = dict(base.departed)
    for entry in events:
        body = decode_event(entry)
        if isinstance(body, DeclareDeparted):  # wherever it stands: no beginning by that life counts
            given[body.name] = max(body.incarnation, given.get(body.name, -1))
        elif body is not None:
            read.append((entry.position, entry, body))
    read.sort(key=lambda each: each[0])
    void: set[Any] = set()
    for _ in range(ROUNDS):
        view = base.copy()
        view.departed = dict(given)
        for place, entry, body in read:
            if place not in void:
                view.apply(entry, body)
        late = {p for p, e, _ in read if view.classify(e.stream, e.seq, e.at) == LATE}
        if late == void:
            break
        void = late
    view.digest = blake2b(msgspec.json.encode(view.value()), digest_size=8).digest()
    return view
