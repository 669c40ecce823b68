"""Anti-entropy on one link: each side says how far it holds each stream of the log and is sent what it lacks.

Entries go to whoever has not said `enough` of their writer at once, and to the others if they still lack them
two beats later. What a gateway lacks after a long absence is sent in slices; how much may be on its way to
one peer depends on how soon it acknowledges. An entry that is not acknowledged is sent again.

The newest events of channel `fleet`, decisions on zones among them, are sent although entries before them are
still to come. Whoever gets such an early one shows it to what rests on the fleet, and hands it on; it becomes
part of the log in its turn, and until then no `have` speaks of it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Set
from typing import Any

from ochrecourse.fleet.entries import Entry, Stream
from ochrecourse.fleet.frontier import FLEET_CHANNEL
from ochrecourse.fleet.link_state import LinkState
from ochrecourse.fleet.log import InvalidEntryError
from ochrecourse.fleet.messages import (
    MAX_BODY_BYTES,
    MAX_NAME_BYTES,
    PeerProtocolError,
    Entries,
    StreamPositions,
)
from ochrecourse.fleet.exchange_context import SLICE_BYTES
from ochrecourse.fleet.snapshot_transfer import SnapshotTransfer

MIN_WINDOW_BYTES = 1024  # bytes of entries that may always be on their way to one peer, however slow the way
BATCH = 65_536  # and at the most: what a way of 1 MiB/s takes up in a quarter of a beat
MOST_STREAMS = 65_536  # streams that a peer may name; more are made up
STREAMS = 2000  # streams in one frame of `have`
AGAIN = 8  # beats after which an entry that was sent and not acknowledged is sent again; doubled each time
LAG = 2  # beats after which an entry is sent to who should have had it from another


class AntiEntropy:
    """Equal logs on both sides of one link. `no_more`: writers of which the other side said enough."""

    def __init__(self, state: LinkState, no_more: Set[str]) -> None:
        self.state = state
        self.context = state.context
        self.relaying_stopped = no_more
        self.entries_in = 0
        self.needs_acknowledgement = (
            False  # the other side is to be told what is held here since it was last told
        )
        self.peer_positions: dict[
            Stream, int
        ] = {}  # how far the other side holds, or is about to hold, each stream
        self.snapshots = SnapshotTransfer(state, self.peer_positions)
        self._in_flight: dict[Stream, int] = {}  # sent and not acknowledged
        self._acked: dict[Stream, int] = {}
        self._flying: deque[tuple[Stream, int, int, int]] = deque()  # last entry, bytes, when it went
        self._aloft = 0  # bytes of these
        self._window = SLICE_BYTES  # bytes of entries that may be on their way
        self._told: dict[Stream, int] = {}  # what it was told that this side holds
        self._told_at = -1  # at which version of the log
        self._first: deque[list[tuple[str, int, int]]] | None = None
        self._whole = False  # its first telling is complete
        self._lag: dict[Stream, tuple[int, int]] = {}  # behind where: since how many beats
        self._lag_at = -1
        self._anyway: set[Stream] = set()
        self._over: dict[Stream, int] = {}  # entries that came of lives that are over, to be acknowledged
        self._forgot = self.context.log.retirement_count  # lives that are over are forgotten here too
        self._done_at = -1  # nothing was missing there at this version of the log
        self._newest_at = 0  # how many of the newest events of channel `fleet` were looked at
        self._still: dict[Stream, tuple[int, int, int]] = {}  # acknowledged, beats since, beats to wait

    # --- what is reported ---

    def beat_passed(self) -> None:
        """A beat has passed."""
        if self._forgot != self.context.log.retirement_count:
            self._forgot = self.context.log.retirement_count
            self._forget()
        if self._lag_at != self.context.log_version or self._lag:
            self._lag_at = self.context.log_version
            self._look_at_lag()
        if self._in_flight or self._still:
            self._look_at_still()

    def _forget(self) -> None:
        """Guards against a link that lasts for many restarts and counts all their lives."""
        known: tuple[dict[Stream, Any], ...]
        known = (self.peer_positions, self._in_flight, self._acked, self._told, self._lag, self._still)
        for each in known:
            for stream in [s for s in each if self.context.log.has_ended(s)]:
                del each[stream]
        self._none_flies()
        self._anyway = {s for s in self._anyway if not self.context.log.has_ended(s)}

    def _look_at_lag(self) -> None:
        behind: dict[Stream, tuple[int, int]] = {}
        for stream, seq in self.context.vector().items():
            there = self.peer_positions.get(stream, 0)
            if there < seq and stream[0] in self.relaying_stopped:
                at, beats = self._lag.get(stream, (there, 0))
                behind[stream] = (there, beats + 1 if at == there else 0)
                if behind[stream][1] >= LAG:
                    self._anyway.add(stream)
                    self._done_at = -1
        self._lag = behind

    def _look_at_still(self) -> None:
        """Guards against entries that the other side could not take when they came: they would count as on
        their way for ever."""
        still: dict[Stream, tuple[int, int, int]] = {}
        for stream in list(self._in_flight):
            acked = self._acked.get(stream, 0)
            at, beats, wait = self._still.get(stream, (acked, 0, AGAIN))
            if at != acked:
                beats, wait = -1, AGAIN
            elif beats >= wait:
                self.peer_positions[stream] = acked
                del self._in_flight[stream]
                self._none_flies()
                self._done_at, beats, wait = -1, -1, min(2 * wait, 64 * AGAIN)
            still[stream] = (acked, beats + 1, wait)
        self._still = still if self._in_flight or any(each[2] > AGAIN for each in still.values()) else {}

    def restart(self) -> None:
        """The other side misses a frame: all is told as on a new link."""
        self.peer_positions.clear()
        self.peer_positions.update(self._acked)
        self._in_flight.clear()
        self._none_flies()
        self._first = None
        self.snapshots.restart()
        self._done_at = -1
        self._newest_at = 0

    def recheck(self) -> None:
        """The other side may lack entries although nothing is new here."""
        self._done_at = -1

    # --- what comes ---

    def positions_received(self, told: list[tuple[str, int, int]], more: bool, now: int) -> None:
        for writer, life, seq in told:
            stream = (writer, life)
            if self.context.log.has_ended(stream):
                continue
            if seq > self._acked.get(stream, 0):
                self._acked[stream] = seq
            if seq > self.peer_positions.get(stream, 0):
                self.peer_positions[stream] = seq
            if self._in_flight.get(stream, seq + 1) <= seq:
                del self._in_flight[stream]
        if len(self._acked) > MOST_STREAMS:
            raise PeerProtocolError("oversize", f"names more than {MOST_STREAMS} streams")
        self._whole = self._whole or not more
        self._look_at_flight(now)

    def _look_at_flight(self, now: int) -> None:
        """Guards against a slow way, on which signs of life would stand behind more than a beat of the log:
        what may be on its way halves where it takes longer, and doubles where it takes half as long."""
        while self._flying:
            stream, seq, size, at = self._flying[0]
            if self._acked.get(stream, 0) < seq:
                return
            self._flying.popleft()
            self._aloft -= size
            if now - at > self.context.heartbeat_interval:
                self._window = max(MIN_WINDOW_BYTES, self._window // 2)
            elif now - at < self.context.heartbeat_interval // 2:
                self._window = min(BATCH, 2 * self._window)

    def _none_flies(self) -> None:
        self._flying.clear()
        self._aloft = 0

    def entries_received(self, entries: list[Entry], wall_ms: int) -> list[Entry]:
        common, chains = self.context, self.context.log.chains
        own = (common.members.name, common.members.incarnation)
        for entry in entries:
            if entry.stream == own and (own not in chains or entry.seq > chains[own].last):
                raise PeerProtocolError(
                    "name", f"an entry in this gateway's name ({own[0]}, number {entry.seq})"
                )
        try:
            new = common.log_store.merge(entries, wall_ms)
        except InvalidEntryError as trouble:
            raise PeerProtocolError("bad_entry", str(trouble)) from None
        self.entries_in += len(entries)
        for entry in entries:
            chain = chains.get(entry.stream)
            if common.log.has_ended(entry.stream):
                self._over[entry.stream] = max(entry.seq, self._over.get(entry.stream, 0))
            elif chain is not None and entry.seq <= chain.last:
                if entry.seq > self.peer_positions.get(entry.stream, 0):
                    self.peer_positions[entry.stream] = entry.seq
            elif entry.channel == FLEET_CHANNEL and entry.stream not in common.log.forks:
                # Its sender may not hold what stands before it either.
                common.add_early_entry(entry)
        self.needs_acknowledgement = True
        return new

    # --- what is pulled ---

    def positions_to_send(self) -> bytes | None:
        if self._first is None:
            told = [(*stream, seq) for stream, seq in self.context.vector().items()]
            self._told = {(writer, life): seq for writer, life, seq in told}
            self._told_at = self.context.log_version
            self._first = deque([told[i : i + STREAMS] for i in range(0, len(told), STREAMS)] or [[]])
        if self._first:
            part = self._first.popleft()
            return self.state.next_frame(
                StreamPositions(has_more=bool(self._first)), self.state.encode_body(part)
            )
        if self._over:  # taken as far as it ever will be: not to be sent again
            over, self._over = [(*stream, seq) for stream, seq in self._over.items()], {}
            return self.state.next_frame(StreamPositions(), self.state.encode_body(over[:STREAMS]))
        if not self.needs_acknowledgement or self._told_at == self.context.log_version:
            self.needs_acknowledgement = False
            return None
        vector = self.context.vector()
        news = [(*at, seq) for at, seq in vector.items() if self._told.get(at) != seq][:STREAMS]
        for writer, life, seq in news:
            self._told[writer, life] = seq
        if len(news) < STREAMS:
            self.needs_acknowledgement, self._told_at = False, self.context.log_version
        return self.state.next_frame(StreamPositions(), self.state.encode_body(news)) if news else None

    def may_lack_entries(self) -> bool:
        """Whether the other side may lack something, and has said all that it holds."""
        return self._whole and self._done_at != self.context.log_version

    def next_frame(self, now: int) -> bytes | None:
        """The next frame of what the other side lacks. What waits for room, or for what is on its way, is
        overtaken by the newest events of the fleet."""
        may = self._aloft < self._window and self.context.has_budget(now)
        return (self._entries_to_send(now) if may else None) or self._early_to_send()

    def _entries_to_send(self, now: int) -> bytes | None:
        log = self.context.log
        piece = self.snapshots.next_frame()
        if piece is not None:
            return piece
        flying = sum(seq - self._acked.get(stream, 0) for stream, seq in self._in_flight.items())
        most = self.context.max_entries_in_flight - flying
        if most <= 0:
            return None
        there = self.peer_positions
        if self.relaying_stopped:
            held = {
                stream: seq
                for stream, seq in self.context.vector().items()
                if stream[0] in self.relaying_stopped and stream not in self._anyway
            }
            there = {**there, **held}
        entries = log.missing_entries(there, most, min(SLICE_BYTES, self._window))
        if not entries:
            self._done_at = self.context.log_version
            self._anyway.clear()
            return None
        # Guards against small entries with long causes, which no count of bodies bounds.
        while len(body := self.state.encode_body(entries)) > MAX_BODY_BYTES and len(entries) > 1:
            entries = entries[: len(entries) // 2]
        for entry in entries:
            self.peer_positions[entry.stream] = self._in_flight[entry.stream] = entry.seq
        self.context.spend(len(body))
        self._flying.append((entries[-1].stream, entries[-1].seq, len(body), now))
        self._aloft += len(body)
        return self.state.next_frame(Entries(), body)

    def _early_to_send(self) -> bytes | None:
        """The newest events of channel `fleet` that the other side lacks, where others that it lacks stand
        before them. What it holds counts up in order alone, so these change nothing of what is still to come.
        """
        common = self.context
        if self._newest_at == common.fleet_entry_count:
            return None
        fresh = min(common.fleet_entry_count - self._newest_at, len(common.newest_fleet_entries))
        self._newest_at = common.fleet_entry_count
        early, size = [], 0
        for entry in list(common.newest_fleet_entries)[-fresh:] if fresh else ():
            if common.log.has_ended(entry.stream):
                continue
            lacks = (
                entry.seq > self.peer_positions.get(entry.stream, 0) + 1 and entry.writer != self.state.peer
            )
            if lacks and entry.writer not in self.relaying_stopped and size < MAX_BODY_BYTES // 2:
                early.append(entry)
                size += len(entry.body) + len(entry.cause) * MAX_NAME_BYTES
        while len(body := self.state.encode_body(early)) > MAX_BODY_BYTES:
            early = early[len(early) // 2 :]
        return self.state.next_frame(Entries(), body) if early else None
