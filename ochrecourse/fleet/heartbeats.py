"""Heartbeats on one link: which rows to tell the other side, and what to believe of those it tells.

A row is what a gateway says of itself at a heartbeat. Each beat brings one frame of rows, also an empty one:
it is the sign of life of the link. A row goes as a step against the row before on the same link.

News of a gateway comes to each other one from a single neighbour: whoever gets its rows from one says
`enough` of it to the others, and `again` to all when they stay out.
"""

from __future__ import annotations

from collections.abc import Iterable, Set
from typing import Any

from ochrecourse.fleet.entries import Heartbeat, Timestamp
from ochrecourse.fleet.link_state import LinkState
from ochrecourse.fleet.members import BadRow
from ochrecourse.fleet.messages import (
    LONGEST_BODY,
    LONGEST_NAME,
    Again,
    BadPeer,
    Enough,
    More,
    Rows,
    Step,
    encode_body,
    encode_list,
)

LONGEST_TOLD = 131_072  # bytes that all parts of the program say in one row
NO_STAMP = Timestamp(0, 0)


class Heartbeats:
    """The rows told and heard on one link. `link`: what `Common.source` has for it."""

    def __init__(self, state: LinkState, link: object) -> None:
        self.state = state
        self.common = state.common
        self.link = link
        self.rows_in = 0
        self.due = False  # a beat has passed, and no frame of rows went since
        self.no_more: set[str] = set()  # the other side said enough of these
        self._asked: set[str] = set()  # names asked for again, told at once
        self._theirs: dict[str, tuple[int, int]] = {}  # newest life and beat of each row the other side has
        self._sent: dict[str, Heartbeat] = {}  # the row before, by name, each way
        self._came: dict[str, Heartbeat] = {}
        self._said_enough: set[str] = set()
        self._enough: set[str] = set()  # to be said
        self._again: set[str] = set()

    # --- what is reported ---

    def turn(self, stale: Set[str]) -> None:
        """A beat has passed. `stale`: gateways whose news stay out."""
        self.due = True
        if stale:
            for name in self._said_enough & stale:
                self._ask_again(name)

    def _ask_again(self, name: str) -> None:
        self._said_enough.discard(name)
        self._enough.discard(name)
        self._again.add(name)
        self.common.source.pop(name, None)

    def source_gone(self, names: Iterable[str]) -> None:
        """The link that brought news of these gateways is gone."""
        for name in names:
            if name in self._said_enough:
                self._ask_again(name)

    def frame_missing(self) -> None:
        """What the other side was told may not have come."""
        self._said_enough.clear()

    def begin_anew(self) -> None:
        """The other side misses a frame: all is told as on a new link."""
        self._sent.clear()
        self._theirs.clear()
        self.no_more.clear()
        self.due = True

    def took_enough(self, names: list[str]) -> None:
        self.no_more.update(self._known(names))

    def took_again(self, names: list[str]) -> None:
        self.no_more.difference_update(names)
        self._asked.update(self._known(names))

    def _known(self, names: list[str]) -> list[str]:
        rows = self.common.members.rows
        return [name for name in names if name in rows]

    def took_rows(self, steps: list[Step], now: int, wall_ms: int) -> None:
        members, source = self.common.members, self.common.source
        rows = [self._whole_row(step, wall_ms) for step in steps]
        before = {row.name: (members.rows.get(row.name), members.heard_at.get(row.name)) for row in rows}
        news = []
        try:
            for row in rows:
                news.append(members.hear(row, now))
        except BadRow as trouble:
            for name, (old, at) in before.items():  # nothing of a bad frame stays
                _put_back(members.rows, name, old)
                _put_back(members.heard_at, name, at)
            raise BadPeer("bad_row", str(trouble)) from None
        self.rows_in += len(rows)
        for row, new in zip(rows, news, strict=True):
            name = row.name
            self._came[name] = row
            if new:
                self.common.news(row)
            self._theirs[name] = max(self._theirs.get(name, (-1, -1)), (row.incarnation, row.number))
            if name == members.name:
                continue
            if name == self.state.peer or (new and name not in source):
                source[name] = self.link
                self._enough.discard(name)
            elif source.get(name) is not self.link and name not in self._said_enough:
                self._enough.add(name)

    def _whole_row(self, step: Step, wall_ms: int) -> Heartbeat:
        name, beats, ms, turn, floor_ms, floor_turn, more = step
        base = self._came.get(name)
        if more is not None and more.life is not None:
            if not 0 < len(name.encode()) <= LONGEST_NAME:
                raise BadPeer("bad_row", "a row with a name that is none")
            base = Heartbeat(name, more.life, 0, 0, 0, b"", NO_STAMP, NO_STAMP)
        elif base is None:
            raise BadPeer("bad_row", f"{name[:LONGEST_NAME]}: a step of a row that was not told whole")
        promise = Timestamp(base.promise.ms + ms, turn)
        floor = Timestamp(base.watermark.ms + floor_ms, floor_turn)
        beat = base.number + beats
        if (
            beats < 0
            or min(*promise, *floor, base.incarnation) < 0
            or max(*promise, *floor, base.incarnation, beat) >> 63
        ):
            raise BadPeer("bad_row", f"{name}: figures out of bounds")
        if promise.ms > wall_ms + self.common.ahead_ms:
            text = f"{name}: its clock is {(promise.ms - wall_ms) / 1000:g} s ahead"
            raise BadPeer("ahead", text)
        if more is None:
            return Heartbeat(
                name,
                base.incarnation,
                beat,
                base.zone,
                base.seq,
                base.head_hash,
                promise,
                floor,
                base.earlier_incarnations,
                base.statuses,
            )
        told = base.statuses
        if more.told or more.gone:
            told = {part: text for part, text in told.items() if part not in more.gone} | more.told
            if sum(map(len, told.values())) > LONGEST_TOLD:
                raise BadPeer("oversize", f"{name}: a row that tells more than {LONGEST_TOLD} bytes")
        return Heartbeat(
            name,
            base.incarnation,
            beat,
            base.zone if more.zone is None else more.zone,
            base.seq if more.seq is None else more.seq,
            base.head_hash if more.head is None else more.head,
            promise,
            floor,
            base.earlier_incarnations if more.before is None else more.before,
            told,
        )

    # --- what is pulled ---

    def requests_to_send(self) -> bytes | None:
        """What is said of the ways of news, and the rows that were asked for again; None if nothing is."""
        if self._again:
            names, self._again = self._again, set()
            return self.state.frame(Again(), self.state.body(sorted(names)))
        if self._enough:
            names, self._enough = self._enough, set()
            self._said_enough |= names
            return self.state.frame(Enough(), self.state.body(sorted(names)))
        if self._asked:
            names, self._asked = self._asked, set()
            return self._rows_to_send(sorted(names))
        return None

    def rows_to_send(self) -> bytes:
        """The frame of rows of this beat."""
        self.due = False
        names = self.common.members.rows.keys() - self.no_more
        return self._rows_to_send(sorted(names)) or self.state.frame(Rows(), self.state.body([]))

    def _rows_to_send(self, names: Iterable[str]) -> bytes | None:
        """A frame of the rows that the other side lacks; None if it lacks none."""
        parts, size, form = [], 0, self.state.form
        rows, hello = self.common.members.rows, self.state.hello
        for name in names:
            row = rows.get(name)
            if row is None:
                continue
            at = (row.incarnation, row.number)
            if name == self.state.peer and hello is not None and row.incarnation <= hello.life:
                continue  # but a life of its that it does not know of is told: it lost its disk
            if at <= self._theirs.get(name, (-1, -1)):
                continue
            part = encode_body(_step(self._sent.get(name), row), form)
            if size + len(part) > LONGEST_BODY // 2:
                break  # the next beat brings the rest
            size += len(part) + 1
            parts.append(part)
            self._sent[name] = row
            self._theirs[name] = at
        return self.state.frame(Rows(), encode_list(parts, form)) if parts else None


def _step(base: Heartbeat | None, row: Heartbeat) -> Step:
    """What a row is against the one before on the same link."""
    if base is None or base.incarnation != row.incarnation:
        base = None
    b_promise, b_floor = (base.promise, base.watermark) if base is not None else (NO_STAMP, NO_STAMP)
    more: More | None = None
    if base is None:
        more = More(
            life=row.incarnation,
            zone=row.zone,
            seq=row.seq,
            head=row.head_hash,
            before=row.earlier_incarnations,
            told=row.statuses,
        )
    elif (base.zone, base.seq, base.earlier_incarnations, base.statuses) != (
        row.zone,
        row.seq,
        row.earlier_incarnations,
        row.statuses,
    ):
        told = {part: text for part, text in row.statuses.items() if base.statuses.get(part) != text}
        more = More(
            zone=row.zone if row.zone != base.zone else None,
            seq=row.seq if row.seq != base.seq else None,
            head=row.head_hash if row.head_hash != base.head_hash else None,
            before=row.earlier_incarnations
            if row.earlier_incarnations != base.earlier_incarnations
            else None,
            told=told,
            gone=tuple(part for part in base.statuses if part not in row.statuses),
        )
    return (
        row.name,
        row.number - (base.number if base is not None else 0),
        row.promise.ms - b_promise.ms,
        row.promise.counter,
        row.watermark.ms - b_floor.ms,
        row.watermark.counter,
        more,
    )


def _put_back(held: dict[str, Any], name: str, old: Any) -> None:
    if old is None:
        held.pop(name, None)
    else:
        held[name] = old
