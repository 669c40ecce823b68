"""The membership of the fleet: which incarnation of each name is active.

It is a function of the set of events alone, not of the order in which they are received. Free of I/O, clock
and chance.
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
MAX_ROUNDS = 16  # for finding late events, which have no effect; more than two were never needed


class Admitted(msgspec.Struct, array_like=True, frozen=True):
    """An incarnation that becomes active: its entries after `start` are ordinary (None: after the event).

    `earlier_incarnations`: the last ordinary entry of each earlier incarnation of the name. One that is not
    listed and has not ended yet ends before its first entry.
    """

    name: str
    incarnation: int
    start: Timestamp | None
    earlier_incarnations: list[tuple[int, int]]


class Admit(msgspec.Struct, tag="admit", tag_field="what", frozen=True, rename={"incarnations": "lives"}):
    """Admits incarnations. `first`: the event that starts the fleet, so its writer need not be active yet."""

    incarnations: list[Admitted]
    first: bool = False

    def value(self) -> object:
        """The event's body as a JSON value."""
        return msgspec.to_builtins(self)


class Close(msgspec.Struct, tag="close", tag_field="what", frozen=True, rename={"incarnation": "life"}):
    """Ends an incarnation; its entries after number `through` are late."""

    name: str
    incarnation: int
    through: int

    def value(self) -> object:
        """The event's body as a JSON value."""
        return msgspec.to_builtins(self)


class Retire(msgspec.Struct, tag="retire", tag_field="what", frozen=True, rename={"incarnations": "lives"}):
    """Retires incarnations, listed as (name, incarnation, retained incarnations).

    All incarnations of the name up to that one are removed for good, except the retained ones: every active
    member has stated that it stores nothing of them outside snapshots.
    """

    incarnations: list[tuple[str, int, list[int]]]

    def value(self) -> object:
        """The event's body as a JSON value."""
        return msgspec.to_builtins(self)


class DeclareDeparted(
    msgspec.Struct, tag="give up", tag_field="what", frozen=True, rename={"incarnation": "life"}
):
    """The operator declares that a name does not return. A later incarnation of the name revokes this."""

    name: str
    incarnation: int

    def value(self) -> object:
        """The event's body as a JSON value."""
        return msgspec.to_builtins(self)


Body = Admit | Close | Retire | DeclareDeparted
_decode = msgspec.json.Decoder(Body).decode
_has_event_tag = re.compile(rb'"what":"(?:admit|close|retire|give up)"').search


def decode_event(entry: Entry) -> Body | None:
    """The membership event in an entry; None for other events."""
    if _has_event_tag(entry.body) is None:
        return None  # the usual case
    try:
        return _decode(entry.body)
    except (msgspec.DecodeError, UnicodeError):
        return None


class MembershipView:
    """The membership that follows from the events up to some point.

    `active`: the active incarnation by name. `active_since`: when it was admitted. `newest_incarnations`: the
    last incarnation admitted by name, ended or not. `starts`, `ends`: the bounds of the ordinary entries of a
    stream. `ended_incarnations`: retired incarnations. `departed`: by name, the last incarnation that the
    operator declared departed.
    """

    def __init__(self, upto: Timestamp = START) -> None:
        """An empty membership, as of `upto`."""
        self.upto = upto
        self.active: dict[str, int] = {}
        self.active_since: dict[str, Timestamp] = {}
        self.newest_incarnations: dict[str, int] = {}
        self.starts: dict[Stream, Timestamp] = {}
        self.ends: dict[Stream, int] = {}
        self.ended_incarnations: EndedIncarnations = {}
        self.departed: dict[str, int] = {}
        self.digest = b""
        self.last = upto  # the timestamp of the last event

    def classify(self, stream: Stream, seq: int, at: Timestamp) -> str:
        """Whether that entry is ordinary, late or pending (no event has admitted its incarnation yet)."""
        if seq > self.ends.get(stream, seq):
            return LATE
        start = self.starts.get(stream)
        if start is not None:
            return ORDINARY if at > start else LATE
        return LATE if self.newest_incarnations.get(stream[0], 0) > stream[1] else PENDING

    def _is_active_writer(self, entry: Entry) -> bool:
        return self.active.get(entry.writer) == entry.incarnation

    def voters(self) -> dict[str, int]:
        """The active incarnations by name, without those declared departed."""
        return {
            name: incarnation
            for name, incarnation in self.active.items()
            if incarnation > self.departed.get(name, -1)
        }

    def retirable(self) -> dict[str, list[int]]:
        """By name, the incarnations before its newest that no retirement has covered yet, in order.

        One of them may have to be retained.
        """
        found: dict[str, list[int]] = {}
        for name, incarnation in sorted({**self.starts, **self.ends}):
            upto, _ = self.ended_incarnations.get(name, (0, ()))
            if upto < incarnation < self.newest_incarnations.get(name, 0):
                found.setdefault(name, []).append(incarnation)
        return found

    def apply(self, entry: Entry, body: Admit | Close | Retire) -> None:
        """Applies the next event in the log's order."""
        self.last = max(self.last, entry.at)
        if isinstance(body, Close):
            stream = (body.name, body.incarnation)
            if (
                self._is_active_writer(entry)
                and self.newest_incarnations.get(body.name, 0) >= body.incarnation
            ):
                self._end(stream, body.through)
        elif isinstance(body, Retire):
            for each in body.incarnations if self._is_active_writer(entry) else ():
                self._retire(*each)
        elif self._is_active_writer(entry) or (
            body.first and entry.incarnation > self.departed.get(entry.writer, -1)
        ):
            for admitted in body.incarnations:
                self._admit(admitted, entry.at)

    def _retire(self, name: str, incarnation: int, retained: Iterable[int]) -> None:
        """Retires a name's incarnations up to one.

        Those without an end are retained, and so is the last one that wrote entries: a peer that lacks it is
        sent its hole, and with it the snapshots that replace the entries of all of them.
        """
        incarnation = min(incarnation, self.newest_incarnations.get(name, 0) - 1)
        if incarnation < self.ended_incarnations.get(name, (0, ()))[0]:
            return
        streams = [s for s in {**self.starts, **self.ends} if s[0] == name and s[1] <= incarnation]
        streams = [s for s in streams if not has_ended(self.ended_incarnations, s)]
        retained_incarnations = {
            each
            for each in retained
            if each <= incarnation and not has_ended(self.ended_incarnations, (name, each))
        }
        retained_incarnations |= {s[1] for s in streams if s not in self.ends}
        wrote = [s[1] for s in streams if self.ends.get(s, 0) > 0]
        self.ended_incarnations[name] = (
            incarnation,
            tuple(sorted(retained_incarnations | set(wrote and [max(wrote)]))),
        )

    def _end(self, stream: Stream, through: int) -> None:
        if has_ended(self.ended_incarnations, stream):
            return
        self.ends[stream] = min(through, self.ends.get(stream, through))
        if self.active.get(stream[0]) == stream[1]:
            del self.active[stream[0]], self.active_since[stream[0]]

    def _admit(self, admitted: Admitted, at: Timestamp) -> None:
        name, incarnation = admitted.name, admitted.incarnation
        if has_ended(self.ended_incarnations, (name, incarnation)):
            return
        start = at if admitted.start is None else admitted.start
        earlier_ends = dict(admitted.earlier_incarnations)
        previous = self.active.get(name)
        if previous is not None and previous < incarnation:
            earlier_ends.setdefault(previous, 0)
        newest = self.newest_incarnations.get(name, 0)
        for earlier, through in earlier_ends.items():
            if earlier < newest and (name, earlier) not in self.ends:
                continue  # skipped when a later incarnation was admitted, so all its entries stay late
            if earlier < incarnation and not has_ended(self.ended_incarnations, (name, earlier)):
                self.starts.setdefault((name, earlier), start)
                self._end((name, earlier), through)
        self.starts[name, incarnation] = max(start, self.starts.get((name, incarnation), start))
        if incarnation > self.newest_incarnations.get(name, 0):
            self.newest_incarnations[name] = incarnation
            if (name, incarnation) not in self.ends:
                self.active[name], self.active_since[name] = incarnation, at

    def value(self) -> dict[str, Any]:
        """The membership as a JSON value, without the details of retired incarnations."""
        value: dict[str, Any] = {
            "counting": [
                [name, incarnation, *self.active_since[name]]
                for name, incarnation in sorted(self.active.items())
            ],
            "newest": sorted([name, incarnation] for name, incarnation in self.newest_incarnations.items()),
            "starts": sorted(
                [*s, *start] for s, start in self.starts.items() if not has_ended(self.ended_incarnations, s)
            ),
            "ends": sorted(
                [*s, end] for s, end in self.ends.items() if not has_ended(self.ended_incarnations, s)
            ),
        }
        # Left out when empty: versions without these fields compute the same digest until they are used.
        if self.ended_incarnations:
            value["over"] = [
                [name, incarnation, retained]
                for name, (incarnation, retained) in sorted(self.ended_incarnations.items())
            ]
        if self.departed:
            value["given"] = sorted(self.departed.items())
        return value

    @classmethod
    def of(cls, value: Any, upto: Timestamp) -> MembershipView:
        """The membership that `value` returned. Raises KeyError, TypeError, ValueError if it is malformed."""
        view = cls(upto)
        for name, incarnation, ms, counter in value["counting"]:
            view.active[name], view.active_since[name] = incarnation, Timestamp(ms, counter)
        view.newest_incarnations = dict(value["newest"])
        view.starts = {
            (n, incarnation): Timestamp(ms, counter) for n, incarnation, ms, counter in value["starts"]
        }
        view.ends = {(n, incarnation): end for n, incarnation, end in value["ends"]}
        view.ended_incarnations = {
            name: (incarnation, tuple(retained)) for name, incarnation, retained in value.get("over", ())
        }
        view.departed = dict(value.get("given", ()))
        return view

    def copy(self) -> MembershipView:
        """A copy that can be changed independently, without the digest."""
        return MembershipView.of(self.value(), self.upto)


def membership_view(base: MembershipView, events: Iterable[Entry]) -> MembershipView:
    """The membership that follows from events received in any order; events that are late are ignored."""
    events_in_order = []
    departed = dict(base.departed)
    for entry in events:
        body = decode_event(entry)
        if isinstance(body, DeclareDeparted):
            # Whatever its position: no first event written by that incarnation or an earlier one is valid.
            departed[body.name] = max(body.incarnation, departed.get(body.name, -1))
        elif body is not None:
            events_in_order.append((entry.position, entry, body))
    events_in_order.sort(key=lambda each: each[0])
    ignored: set[Any] = set()
    for _ in range(MAX_ROUNDS):
        view = base.copy()
        view.departed = dict(departed)
        for position, entry, body in events_in_order:
            if position not in ignored:
                view.apply(entry, body)
        late = {p for p, e, _ in events_in_order if view.classify(e.stream, e.seq, e.at) == LATE}
        if late == ignored:
            break
        ignored = late
    view.digest = blake2b(msgspec.json.encode(view.value()), digest_size=8).digest()
    return view
