"""Heartbeats on one link: which ones to send to the peer, and the checks of those that it sends.

A heartbeat is a gateway's report on itself. Each heartbeat interval one frame of heartbeats is sent, even if
empty: it keeps the link alive. A heartbeat is encoded as the difference to the previous one of the same
gateway on the same link.

Each gateway receives the heartbeats and entries of another from a single neighbour: it sends `enough` for
that name to the other neighbours, and `again` to all of them when the heartbeats stop arriving.
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

MAX_STATUS_BYTES = 131_072  # bytes of all statuses of one heartbeat
ZERO = Timestamp(0, 0)


class Heartbeats:
    """The heartbeats sent and received on one link. `link`: its value in `ExchangeContext.sources`."""

    def __init__(self, state: LinkState, link: object) -> None:
        self.state = state
        self.context = state.context
        self.link = link
        self.heartbeats_in = 0
        self.is_due = False  # no heartbeats were sent since the last interval passed
        self.relaying_stopped: set[str] = set()  # writers that the peer receives from elsewhere
        self._requested: set[str] = set()  # names that the peer asks for again, to be sent at once
        self._peer_has: dict[str, tuple[int, int]] = {}  # newest (incarnation, number) that the peer has
        # The previous heartbeat by name in each direction: the base of the next difference.
        self._last_sent: dict[str, Heartbeat] = {}
        self._last_received: dict[str, Heartbeat] = {}
        self._stopped_relaying: set[str] = set()
        self._names_to_stop: set[str] = set()  # names of which StopRelaying is to be sent
        self._names_to_resume: set[str] = set()  # names of which ResumeRelaying is to be sent

    # --- events ---

    def beat_passed(self, stale: Set[str]) -> None:
        """A heartbeat interval has passed. `stale`: gateways whose heartbeats are overdue."""
        self.is_due = True
        if stale:
            for name in self._stopped_relaying & stale:
                self._request_again(name)

    def _request_again(self, name: str) -> None:
        self._stopped_relaying.discard(name)
        self._names_to_stop.discard(name)
        self._names_to_resume.add(name)
        self.context.sources.pop(name, None)

    def source_lost(self, names: Iterable[str]) -> None:
        """The link that relayed the heartbeats of these gateways has ended."""
        for name in names:
            if name in self._stopped_relaying:
                self._request_again(name)

    def frame_missing(self) -> None:
        """A frame of the peer is missing: when it starts over, it relays every name again."""
        self._stopped_relaying.clear()

    def restart(self) -> None:
        """The peer misses a frame: all heartbeats are sent again as on a new link."""
        self._last_sent.clear()
        self._peer_has.clear()
        self.relaying_stopped.clear()
        self.is_due = True

    def stop_relaying_received(self, names: list[str]) -> None:
        """The peer receives the heartbeats and entries of these gateways from elsewhere."""
        self.relaying_stopped.update(self._known_names(names))

    def resume_relaying_received(self, names: list[str]) -> None:
        """The peer asks for the heartbeats and entries of these gateways again."""
        self.relaying_stopped.difference_update(names)
        self._requested.update(self._known_names(names))

    def _known_names(self, names: list[str]) -> list[str]:
        heartbeats = self.context.members.heartbeats
        return [name for name in names if name in heartbeats]

    def heartbeats_received(self, deltas: list[HeartbeatDelta], now: int, wall_ms: int) -> None:
        """Heartbeats of the peer and of gateways that it relays. Raises PeerProtocolError."""
        members, source = self.context.members, self.context.sources
        heartbeats = [self._decode_delta(delta, wall_ms) for delta in deltas]
        previous = {
            heartbeat.name: (members.heartbeats.get(heartbeat.name), members.received_at.get(heartbeat.name))
            for heartbeat in heartbeats
        }
        are_new = []
        try:
            for heartbeat in heartbeats:
                are_new.append(members.receive(heartbeat, now))
        except InvalidHeartbeatError as error:
            for name, (old, received_at) in previous.items():  # an invalid frame has no effect
                _restore(members.heartbeats, name, old)
                _restore(members.received_at, name, received_at)
            raise PeerProtocolError("bad_row", str(error)) from None
        self.heartbeats_in += len(heartbeats)
        for heartbeat, is_new in zip(heartbeats, are_new, strict=True):
            name = heartbeat.name
            self._last_received[name] = heartbeat
            if is_new:
                self.context.on_heartbeat(heartbeat)
            self._peer_has[name] = max(
                self._peer_has.get(name, (-1, -1)), (heartbeat.incarnation, heartbeat.number)
            )
            if name == members.name:
                continue
            if name == self.state.peer or (is_new and name not in source):
                source[name] = self.link
                self._names_to_stop.discard(name)
            elif source.get(name) is not self.link and name not in self._stopped_relaying:
                self._names_to_stop.add(name)

    def _decode_delta(self, delta: HeartbeatDelta, wall_ms: int) -> Heartbeat:
        name, number_delta, promise_ms, promise_counter, watermark_ms, watermark_counter, changes = delta
        base = self._last_received.get(name)
        if changes is not None and changes.incarnation is not None:
            if not 0 < len(name.encode()) <= MAX_NAME_BYTES:
                raise PeerProtocolError("bad_row", "a row with a name that is none")
            base = Heartbeat(name, changes.incarnation, 0, 0, 0, b"", ZERO, ZERO)
        elif base is None:
            raise PeerProtocolError(
                "bad_row", f"{name[:MAX_NAME_BYTES]}: a step of a row that was not told whole"
            )
        promise = Timestamp(base.promise.ms + promise_ms, promise_counter)
        watermark = Timestamp(base.watermark.ms + watermark_ms, watermark_counter)
        number = base.number + number_delta
        if (
            number_delta < 0
            or min(*promise, *watermark, base.incarnation) < 0
            or max(*promise, *watermark, base.incarnation, number) >> 63
        ):
            raise PeerProtocolError("bad_row", f"{name}: figures out of bounds")
        if promise.ms > wall_ms + self.context.max_clock_ahead_ms:
            text = f"{name}: its clock is {(promise.ms - wall_ms) / 1000:g} s ahead"
            raise PeerProtocolError("ahead", text)
        if changes is None:
            return Heartbeat(
                name,
                base.incarnation,
                number,
                base.zone,
                base.seq,
                base.head_hash,
                promise,
                watermark,
                base.earlier_incarnations,
                base.statuses,
            )
        statuses = base.statuses
        if changes.statuses or changes.removed_statuses:
            statuses = {
                key: text for key, text in statuses.items() if key not in changes.removed_statuses
            } | changes.statuses
            if sum(map(len, statuses.values())) > MAX_STATUS_BYTES:
                raise PeerProtocolError(
                    "oversize", f"{name}: a row that tells more than {MAX_STATUS_BYTES} bytes"
                )
        return Heartbeat(
            name,
            base.incarnation,
            number,
            base.zone if changes.zone is None else changes.zone,
            base.seq if changes.seq is None else changes.seq,
            base.head_hash if changes.head_hash is None else changes.head_hash,
            promise,
            watermark,
            base.earlier_incarnations
            if changes.earlier_incarnations is None
            else changes.earlier_incarnations,
            statuses,
        )

    # --- frames to send ---

    def requests_to_send(self) -> bytes | None:
        """The next request about relaying, or heartbeats that the peer asked for; None if there are none."""
        if self._names_to_resume:
            names, self._names_to_resume = self._names_to_resume, set()
            return self.state.next_frame(ResumeRelaying(), self.state.encode_body(sorted(names)))
        if self._names_to_stop:
            names, self._names_to_stop = self._names_to_stop, set()
            self._stopped_relaying |= names
            return self.state.next_frame(StopRelaying(), self.state.encode_body(sorted(names)))
        if self._requested:
            names, self._requested = self._requested, set()
            return self._make_batch(sorted(names))
        return None

    def heartbeats_to_send(self) -> bytes:
        """The frame of heartbeats of this heartbeat interval."""
        self.is_due = False
        names = self.context.members.heartbeats.keys() - self.relaying_stopped
        return self._make_batch(sorted(names)) or self.state.next_frame(
            HeartbeatBatch(), self.state.encode_body([])
        )

    def _make_batch(self, names: Iterable[str]) -> bytes | None:
        """A frame of the heartbeats that the peer lacks; None if it lacks none."""
        batch, size, format_version = [], 0, self.state.format_version
        heartbeats, hello = self.context.members.heartbeats, self.state.hello
        for name in names:
            heartbeat = heartbeats.get(name)
            if heartbeat is None:
                continue
            version = (heartbeat.incarnation, heartbeat.number)
            if name == self.state.peer and hello is not None and heartbeat.incarnation <= hello.incarnation:
                continue  # a later incarnation is sent: the peer lost its disk and does not know it
            if version <= self._peer_has.get(name, (-1, -1)):
                continue
            encoded = encode_body(_encode_delta(self._last_sent.get(name), heartbeat), format_version)
            if size + len(encoded) > MAX_BODY_BYTES // 2:
                break  # the rest is sent after the next heartbeat interval
            size += len(encoded) + 1
            batch.append(encoded)
            self._last_sent[name] = heartbeat
            self._peer_has[name] = version
        return self.state.next_frame(HeartbeatBatch(), encode_list(batch, format_version)) if batch else None


def _encode_delta(base: Heartbeat | None, heartbeat: Heartbeat) -> HeartbeatDelta:
    """Encodes a heartbeat relative to the previous one on the same link, or in full without one."""
    if base is None or base.incarnation != heartbeat.incarnation:
        base = None
    base_promise, base_watermark = (base.promise, base.watermark) if base is not None else (ZERO, ZERO)
    changes: HeartbeatChanges | None = None
    if base is None:
        changes = HeartbeatChanges(
            incarnation=heartbeat.incarnation,
            zone=heartbeat.zone,
            seq=heartbeat.seq,
            head_hash=heartbeat.head_hash,
            earlier_incarnations=heartbeat.earlier_incarnations,
            statuses=heartbeat.statuses,
        )
    elif (base.zone, base.seq, base.earlier_incarnations, base.statuses) != (
        heartbeat.zone,
        heartbeat.seq,
        heartbeat.earlier_incarnations,
        heartbeat.statuses,
    ):
        statuses = {key: text for key, text in heartbeat.statuses.items() if base.statuses.get(key) != text}
        changes = HeartbeatChanges(
            zone=heartbeat.zone if heartbeat.zone != base.zone else None,
            seq=heartbeat.seq if heartbeat.seq != base.seq else None,
            head_hash=heartbeat.head_hash if heartbeat.head_hash != base.head_hash else None,
            earlier_incarnations=heartbeat.earlier_incarnations
            if heartbeat.earlier_incarnations != base.earlier_incarnations
            else None,
            statuses=statuses,
            removed_statuses=tuple(key for key in base.statuses if key not in heartbeat.statuses),
        )
    return (
        heartbeat.name,
        heartbeat.number - (base.number if base is not None else 0),
        heartbeat.promise.ms - base_promise.ms,
        heartbeat.promise.counter,
        heartbeat.watermark.ms - base_watermark.ms,
        heartbeat.watermark.counter,
        changes,
    )


def _restore(table: dict[str, Any], name: str, old: Any) -> None:
    if old is None:
        table.pop(name, None)
    else:
        table[name] = old
