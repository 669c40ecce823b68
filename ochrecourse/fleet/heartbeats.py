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
from ochrecourse.fleet.members import InvalidHeartbeatError
from ochrecourse.fleet.messages import (
    MAX_BODY_BYTES,
    MAX_NAME_BYTES,
    ResumeRelaying,
    PeerProtocolError,
    StopRelaying,
    HeartbeatChanges,
    HeartbeatBatch,
    HeartbeatDelta,
    encode_body,
    encode_list,
)

MAX_STATUS_BYTES = 131_072  # bytes that all parts of the program say in one row
NO_STAMP = Timestamp(0, 0)


class Heartbeats:
    """The rows told and heard on one link. `link`: what `ExchangeContext.source` has for it."""

    def __init__(self, state: LinkState, link: object) -> None:
        self.state = state
        self.context = state.context
        self.link = link
        self.heartbeats_in = 0
        self.is_due = False  # a beat has passed, and no frame of rows went since
        self.relaying_stopped: set[str] = set()  # the other side said enough of these
        self._asked: set[str] = set()  # names asked for again, told at once
        self._theirs: dict[str, tuple[int, int]] = {}  # newest life and beat of each row the other side has
        self._sent: dict[str, Heartbeat] = {}  # the row before, by name, each way
        self._came: dict[str, Heartbeat] = {}
        self._stopped_relaying: set[str] = set()
        self._enough: set[str] = set()  # to be said
        self._again: set[str] = set()

    # --- what is reported ---

    def beat_passed(self, stale: Set[str]) -> None:
        """A beat has passed. `stale`: gateways whose news stay out."""
        self.is_due = True
        if stale:
            for name in self._stopped_relaying & stale:
                self._ask_again(name)

    def _ask_again(self, name: str) -> None:
        self._stopped_relaying.discard(name)
        self._enough.discard(name)
        self._again.add(name)
        self.context.sources.pop(name, None)

    def source_lost(self, names: Iterable[str]) -> None:
        """The link that brought news of these gateways is gone."""
        for name in names:
            if name in self._stopped_relaying:
                self._ask_again(name)

    def frame_missing(self) -> None:
        """What the other side was told may not have come."""
        self._stopped_relaying.clear()

    def restart(self) -> None:
        """The other side misses a frame: all is told as on a new link."""
        self._sent.clear()
        self._theirs.clear()
        self.relaying_stopped.clear()
        self.is_due = True

    def stop_relaying_received(self, names: list[str]) -> None:
        self.relaying_stopped.update(self._known(names))

    def resume_relaying_received(self, names: list[str]) -> None:
        self.relaying_stopped.difference_update(names)
        self._asked.update(self._known(names))

    def _known(self, names: list[str]) -> list[str]:
        rows = self.context.members.heartbeats
        return [name for name in names if name in rows]

    def heartbeats_received(self, steps: list[HeartbeatDelta], now: int, wall_ms: int) -> None:
        members, source = self.context.members, self.context.sources
        rows = [self._whole_row(step, wall_ms) for step in steps]
        before = {
            row.name: (members.heartbeats.get(row.name), members.received_at.get(row.name)) for row in rows
        }
        news = []
        try:
            for row in rows:
                news.append(members.receive(row, now))
        except InvalidHeartbeatError as trouble:
            for name, (old, at) in before.items():  # nothing of a bad frame stays
                _put_back(members.heartbeats, name, old)
                _put_back(members.received_at, name, at)
            raise PeerProtocolError("bad_row", str(trouble)) from None
        self.heartbeats_in += len(rows)
        for row, new in zip(rows, news, strict=True):
            name = row.name
            self._came[name] = row
            if new:
                self.context.on_heartbeat(row)
            self._theirs[name] = max(self._theirs.get(name, (-1, -1)), (row.incarnation, row.number))
            if name == members.name:
                continue
            if name == self.state.peer or (new and name not in source):
                source[name] = self.link
                self._enough.discard(name)
            elif source.get(name) is not self.link and name not in self._stopped_relaying:
                self._enough.add(name)

    def _whole_row(self, step: HeartbeatDelta, wall_ms: int) -> Heartbeat:
        name, beats, ms, turn, floor_ms, floor_turn, more = step
        base = self._came.get(name)
        if more is not None and more.incarnation is not None:
            if not 0 < len(name.encode()) <= MAX_NAME_BYTES:
                raise PeerProtocolError("bad_row", "a row with a name that is none")
            base = Heartbeat(name, more.incarnation, 0, 0, 0, b"", NO_STAMP, NO_STAMP)
        elif base is None:
            raise PeerProtocolError(
                "bad_row", f"{name[:MAX_NAME_BYTES]}: a step of a row that was not told whole"
            )
        promise = Timestamp(base.promise.ms + ms, turn)
        floor = Timestamp(base.watermark.ms + floor_ms, floor_turn)
        beat = base.number + beats
        if (
            beats < 0
            or min(*promise, *floor, base.incarnation) < 0
            or max(*promise, *floor, base.incarnation, beat) >> 63
        ):
            raise PeerProtocolError("bad_row", f"{name}: figures out of bounds")
        if promise.ms > wall_ms + self.context.max_clock_ahead_ms:
            text = f"{name}: its clock is {(promise.ms - wall_ms) / 1000:g} s ahead"
            raise PeerProtocolError("ahead", text)
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
        if more.statuses or more.removed_statuses:
            told = {
                part: text for part, text in told.items() if part not in more.removed_statuses
            } | more.statuses
            if sum(map(len, told.values())) > MAX_STATUS_BYTES:
                raise PeerProtocolError(
                    "oversize", f"{name}: a row that tells more than {MAX_STATUS_BYTES} bytes"
                )
        return Heartbeat(
            name,
            base.incarnation,
            beat,
            base.zone if more.zone is None else more.zone,
            base.seq if more.seq is None else more.seq,
            base.head_hash if more.head_hash is None else more.head_hash,
            promise,
            floor,
            base.earlier_incarnations if more.earlier_incarnations is None else more.earlier_incarnations,
            told,
        )

    # --- what is pulled ---

    def requests_to_send(self) -> bytes | None:
        """What is said of the ways of news, and the rows that were asked for again; None if nothing is."""
        if self._again:
            names, self._again = self._again, set()
            return self.state.next_frame(ResumeRelaying(), self.state.encode_body(sorted(names)))
        if self._enough:
            names, self._enough = self._enough, set()
            self._stopped_relaying |= names
            return self.state.next_frame(StopRelaying(), self.state.encode_body(sorted(names)))
        if self._asked:
            names, self._asked = self._asked, set()
            return self._rows_to_send(sorted(names))
        return None

    def heartbeats_to_send(self) -> bytes:
        """The frame of rows of this beat."""
        self.is_due = False
        names = self.context.members.heartbeats.keys() - self.relaying_stopped
        return self._rows_to_send(sorted(names)) or self.state.next_frame(
            HeartbeatBatch(), self.state.encode_body([])
        )

    def _rows_to_send(self, names: Iterable[str]) -> bytes | None:
        """A frame of the rows that the other side lacks; None if it lacks none."""
        parts, size, form = [], 0, self.state.format_version
        rows, hello = self.context.members.heartbeats, self.state.hello
        for name in names:
            row = rows.get(name)
            if row is None:
                continue
            at = (row.incarnation, row.number)
            if name == self.state.peer and hello is not None and row.incarnation <= hello.incarnation:
                continue  # but a life of its that it does not know of is told: it lost its disk
            if at <= self._theirs.get(name, (-1, -1)):
                continue
            part = encode_body(_step(self._sent.get(name), row), form)
            if size + len(part) > MAX_BODY_BYTES // 2:
                break  # the next beat brings the rest
            size += len(part) + 1
            parts.append(part)
            self._sent[name] = row
            self._theirs[name] = at
        return self.state.next_frame(HeartbeatBatch(), encode_list(parts, form)) if parts else None


def _step(base: Heartbeat | None, row: Heartbeat) -> HeartbeatDelta:
    """What a row is against the one before on the same link."""
    if base is None or base.incarnation != row.incarnation:
        base = None
    b_promise, b_floor = (base.promise, base.watermark) if base is not None else (NO_STAMP, NO_STAMP)
    more: HeartbeatChanges | None = None
    if base is None:
        more = HeartbeatChanges(
            incarnation=row.incarnation,
            zone=row.zone,
            seq=row.seq,
            head_hash=row.head_hash,
            earlier_incarnations=row.earlier_incarnations,
            statuses=row.statuses,
        )
    elif (base.zone, base.seq, base.earlier_incarnations, base.statuses) != (
        row.zone,
        row.seq,
        row.earlier_incarnations,
        row.statuses,
    ):
        told = {part: text for part, text in row.statuses.items() if base.statuses.get(part) != text}
        more = HeartbeatChanges(
            zone=row.zone if row.zone != base.zone else None,
            seq=row.seq if row.seq != base.seq else None,
            head_hash=row.head_hash if row.head_hash != base.head_hash else None,
            earlier_incarnations=row.earlier_incarnations
            if row.earlier_incarnations != base.earlier_incarnations
            else None,
            statuses=told,
            removed_statuses=tuple(part for part in base.statuses if part not in row.statuses),
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
