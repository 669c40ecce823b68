"""Anti-entropy on one link: each side reports its position in each stream and is sent the entries it lacks.

New entries are sent at once, unless the peer sent `enough` for their writer; then they are sent if the peer
still lacks them two heartbeat intervals later. The backlog after a long absence is sent in slices; how many
bytes may be in flight to a peer depends on how soon it acknowledges. Entries without acknowledgement are sent
again.

The newest events of channel `fleet`, which include decisions on zones, are sent even if the peer still lacks
earlier entries of their streams. The receiver shows such an early entry to the subsystems and relays it. It
enters the log only after the entries before it; until then no `have` includes it.
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

MIN_WINDOW_BYTES = 1024  # bytes of entries that may be in flight to a peer on even the slowest link
MAX_WINDOW_BYTES = (
    65_536  # and on the fastest: what a link of 1 MiB/s carries in a quarter of a heartbeat interval
)
MAX_STREAMS = 65_536  # distinct streams that a peer may report; real fleets have fewer
STREAMS_PER_FRAME = 2000  # streams per frame of `have`
RESEND_INTERVALS = 8  # heartbeat intervals until unacknowledged entries are sent again; doubled each time
LAG_INTERVALS = 2  # heartbeat intervals until entries are sent to a peer that should get them elsewhere


class AntiEntropy:
    """Anti-entropy on one link. `relaying_stopped`: writers that the peer receives from elsewhere."""

    def __init__(self, state: LinkState, relaying_stopped: Set[str]) -> None:
        self.state = state
        self.context = state.context
        self.relaying_stopped = relaying_stopped
        self.entries_in = 0
        self.needs_acknowledgement = False  # positions that changed since the last ones sent are to be sent
        # Last entry of each stream that the peer stores or that is in flight to it.
        self.peer_positions: dict[Stream, int] = {}
        self.snapshots = SnapshotTransfer(state, self.peer_positions)
        self._in_flight: dict[Stream, int] = {}  # last entry sent, of streams not fully acknowledged
        self._acked: dict[Stream, int] = {}
        # Frames in flight: stream and number of the last entry, size in bytes, time sent in ns.
        self._frames_in_flight: deque[tuple[Stream, int, int, int]] = deque()
        self._bytes_in_flight = 0  # of these frames
        self._window = SLICE_BYTES  # bytes of entries that may be in flight
        self._sent_positions: dict[Stream, int] = {}  # own positions as last sent to the peer
        self._sent_positions_at = -1  # version of the log of these
        # The first list of positions, as far as it is still to be sent, one item per frame.
        self._first_positions: deque[list[tuple[str, int, int]]] | None = None
        self._has_peer_positions = False  # the peer's first list of positions is complete
        # Streams in which the peer lags: its position, and for how many intervals it has not changed.
        self._lagging: dict[Stream, tuple[int, int]] = {}
        self._lag_checked_at = -1
        self._send_anyway: set[Stream] = set()  # lagging streams to send although relaying was stopped
        # Last entry received of streams of ended incarnations, to be acknowledged.
        self._ended_to_acknowledge: dict[Stream, int] = {}
        # The log's count when ended incarnations were last removed here.
        self._retirement_count = self.context.log.retirement_count
        self._nothing_missing_at = -1  # version of the log at which the peer lacked nothing
        self._early_checked = 0  # events of channel `fleet` that were checked for sending early
        # By stream: acknowledged number, intervals since it changed, intervals until entries are sent again.
        self._unacknowledged: dict[Stream, tuple[int, int, int]] = {}

    # --- events ---

    def beat_passed(self) -> None:
        """A heartbeat interval has passed."""
        if self._retirement_count != self.context.log.retirement_count:
            self._retirement_count = self.context.log.retirement_count
            self._remove_ended()
        if self._lag_checked_at != self.context.log_version or self._lagging:
            self._lag_checked_at = self.context.log_version
            self._check_lag()
        if self._in_flight or self._unacknowledged:
            self._resend_unacknowledged()

    def _remove_ended(self) -> None:
        """Removes ended incarnations, which would accumulate on a link that lasts for many restarts."""
        tables: tuple[dict[Stream, Any], ...]
        tables = (
            self.peer_positions,
            self._in_flight,
            self._acked,
            self._sent_positions,
            self._lagging,
            self._unacknowledged,
        )
        for table in tables:
            for stream in [stream for stream in table if self.context.log.has_ended(stream)]:
                del table[stream]
        self._clear_in_flight()
        self._send_anyway = {stream for stream in self._send_anyway if not self.context.log.has_ended(stream)}

    def _check_lag(self) -> None:
        behind: dict[Stream, tuple[int, int]] = {}
        for stream, seq in self.context.vector().items():
            peer_position = self.peer_positions.get(stream, 0)
            if peer_position < seq and stream[0] in self.relaying_stopped:
                previous, intervals = self._lagging.get(stream, (peer_position, 0))
                behind[stream] = (peer_position, intervals + 1 if previous == peer_position else 0)
                if behind[stream][1] >= LAG_INTERVALS:
                    self._send_anyway.add(stream)
                    self._nothing_missing_at = -1
        self._lagging = behind

    def _resend_unacknowledged(self) -> None:
        """Sends entries again that the peer could not store when it received them.

        They would count as in flight forever.
        """
        unacknowledged: dict[Stream, tuple[int, int, int]] = {}
        for stream in list(self._in_flight):
            acked = self._acked.get(stream, 0)
            previous, intervals, wait = self._unacknowledged.get(stream, (acked, 0, RESEND_INTERVALS))
            if previous != acked:
                intervals, wait = -1, RESEND_INTERVALS
            elif intervals >= wait:
                self.peer_positions[stream] = acked
                del self._in_flight[stream]
                self._clear_in_flight()
                self._nothing_missing_at, intervals, wait = -1, -1, min(2 * wait, 64 * RESEND_INTERVALS)
            unacknowledged[stream] = (acked, intervals + 1, wait)
        self._unacknowledged = (
            unacknowledged
            if self._in_flight or any(state[2] > RESEND_INTERVALS for state in unacknowledged.values())
            else {}
        )

    def restart(self) -> None:
        """The peer misses a frame: everything is sent again as on a new link."""
        self.peer_positions.clear()
        self.peer_positions.update(self._acked)
        self._in_flight.clear()
        self._clear_in_flight()
        self._first_positions = None
        self.snapshots.restart()
        self._nothing_missing_at = -1
        self._early_checked = 0

    def recheck(self) -> None:
        """The peer may lack entries although nothing is new here."""
        self._nothing_missing_at = -1

    # --- received messages ---

    def positions_received(self, positions: list[tuple[str, int, int]], has_more: bool, now: int) -> None:
        """Positions of the peer. `has_more`: its first list continues. Raises PeerProtocolError."""
        for writer, incarnation, seq in positions:
            stream = (writer, incarnation)
            if self.context.log.has_ended(stream):
                continue
            if seq > self._acked.get(stream, 0):
                self._acked[stream] = seq
            if seq > self.peer_positions.get(stream, 0):
                self.peer_positions[stream] = seq
            if self._in_flight.get(stream, seq + 1) <= seq:
                del self._in_flight[stream]
        if len(self._acked) > MAX_STREAMS:
            raise PeerProtocolError("oversize", f"names more than {MAX_STREAMS} streams")
        self._has_peer_positions = self._has_peer_positions or not has_more
        self._adapt_window(now)

    def _adapt_window(self, now: int) -> None:
        """Adapts the window to the speed of the link.

        On a slow link heartbeats would queue behind the log for more than a heartbeat interval. The window is
        halved if an acknowledgement takes longer than an interval, and doubled if it takes less than half.
        """
        while self._frames_in_flight:
            stream, seq, size, sent_at = self._frames_in_flight[0]
            if self._acked.get(stream, 0) < seq:
                return
            self._frames_in_flight.popleft()
            self._bytes_in_flight -= size
            if now - sent_at > self.context.heartbeat_interval:
                self._window = max(MIN_WINDOW_BYTES, self._window // 2)
            elif now - sent_at < self.context.heartbeat_interval // 2:
                self._window = min(MAX_WINDOW_BYTES, 2 * self._window)

    def _clear_in_flight(self) -> None:
        self._frames_in_flight.clear()
        self._bytes_in_flight = 0

    def entries_received(self, entries: list[Entry], wall_ms: int) -> list[Entry]:
        """Merges entries into the log; returns those that are new. Raises PeerProtocolError."""
        context, chains = self.context, self.context.log.chains
        own = (context.members.name, context.members.incarnation)
        for entry in entries:
            if entry.stream == own and (own not in chains or entry.seq > chains[own].last):
                raise PeerProtocolError(
                    "name", f"an entry in this gateway's name ({own[0]}, number {entry.seq})"
                )
        try:
            new = context.log_store.merge(entries, wall_ms)
        except InvalidEntryError as error:
            raise PeerProtocolError("bad_entry", str(error)) from None
        self.entries_in += len(entries)
        for entry in entries:
            chain = chains.get(entry.stream)
            if context.log.has_ended(entry.stream):
                self._ended_to_acknowledge[entry.stream] = max(
                    entry.seq, self._ended_to_acknowledge.get(entry.stream, 0)
                )
            elif chain is not None and entry.seq <= chain.last:
                if entry.seq > self.peer_positions.get(entry.stream, 0):
                    self.peer_positions[entry.stream] = entry.seq
            elif entry.channel == FLEET_CHANNEL and entry.stream not in context.log.forks:
                # The sender itself may lack the entries before it.
                context.add_early_entry(entry)
        self.needs_acknowledgement = True
        return new

    # --- frames to send ---

    def positions_to_send(self) -> bytes | None:
        """The next frame of own positions: all of them first, then changes; None if there are none."""
        if self._first_positions is None:
            positions = [(*stream, seq) for stream, seq in self.context.vector().items()]
            self._sent_positions = {(writer, incarnation): seq for writer, incarnation, seq in positions}
            self._sent_positions_at = self.context.log_version
            self._first_positions = deque(
                [positions[i : i + STREAMS_PER_FRAME] for i in range(0, len(positions), STREAMS_PER_FRAME)]
                or [[]]
            )
        if self._first_positions:
            frame = self._first_positions.popleft()
            return self.state.next_frame(
                StreamPositions(has_more=bool(self._first_positions)), self.state.encode_body(frame)
            )
        if self._ended_to_acknowledge:  # nothing more of these is stored: the peer must not send them again
            ended, self._ended_to_acknowledge = (
                [(*stream, seq) for stream, seq in self._ended_to_acknowledge.items()],
                {},
            )
            return self.state.next_frame(StreamPositions(), self.state.encode_body(ended[:STREAMS_PER_FRAME]))
        if not self.needs_acknowledgement or self._sent_positions_at == self.context.log_version:
            self.needs_acknowledgement = False
            return None
        vector = self.context.vector()
        changed = [(*at, seq) for at, seq in vector.items() if self._sent_positions.get(at) != seq][
            :STREAMS_PER_FRAME
        ]
        for writer, incarnation, seq in changed:
            self._sent_positions[writer, incarnation] = seq
        if len(changed) < STREAMS_PER_FRAME:
            self.needs_acknowledgement, self._sent_positions_at = False, self.context.log_version
        return self.state.next_frame(StreamPositions(), self.state.encode_body(changed)) if changed else None

    def may_lack_entries(self) -> bool:
        """Whether the peer has reported all its positions and may lack entries."""
        return self._has_peer_positions and self._nothing_missing_at != self.context.log_version

    def next_frame(self, now: int) -> bytes | None:
        """The next frame of what the peer lacks; None if there is none now.

        While others wait for the budget or the window, the newest events of channel `fleet` are still sent.
        """
        may_send = self._bytes_in_flight < self._window and self.context.has_budget(now)
        return (self._entries_to_send(now) if may_send else None) or self._early_to_send()

    def _entries_to_send(self, now: int) -> bytes | None:
        log = self.context.log
        chunk = self.snapshots.next_frame()
        if chunk is not None:
            return chunk
        in_flight = sum(seq - self._acked.get(stream, 0) for stream, seq in self._in_flight.items())
        limit = self.context.max_entries_in_flight - in_flight
        if limit <= 0:
            return None
        positions = self.peer_positions
        if self.relaying_stopped:
            excluded = {
                stream: seq
                for stream, seq in self.context.vector().items()
                if stream[0] in self.relaying_stopped and stream not in self._send_anyway
            }
            positions = {**positions, **excluded}
        entries = log.missing_entries(positions, limit, min(SLICE_BYTES, self._window))
        if not entries:
            self._nothing_missing_at = self.context.log_version
            self._send_anyway.clear()
            return None
        # Guards against small entries with many causes, whose size the limit on values does not bound.
        while len(body := self.state.encode_body(entries)) > MAX_BODY_BYTES and len(entries) > 1:
            entries = entries[: len(entries) // 2]
        for entry in entries:
            self.peer_positions[entry.stream] = self._in_flight[entry.stream] = entry.seq
        self.context.spend(len(body))
        self._frames_in_flight.append((entries[-1].stream, entries[-1].seq, len(body), now))
        self._bytes_in_flight += len(body)
        return self.state.next_frame(Entries(), body)

    def _early_to_send(self) -> bytes | None:
        """The newest events of channel `fleet` that the peer lacks along with entries before them.

        Positions only advance in order, so sending these changes nothing about what is still to be sent.
        """
        context = self.context
        if self._early_checked == context.fleet_entry_count:
            return None
        unchecked = min(context.fleet_entry_count - self._early_checked, len(context.newest_fleet_entries))
        self._early_checked = context.fleet_entry_count
        early, size = [], 0
        for entry in list(context.newest_fleet_entries)[-unchecked:] if unchecked else ():
            if context.log.has_ended(entry.stream):
                continue
            sends_early = (
                entry.seq > self.peer_positions.get(entry.stream, 0) + 1 and entry.writer != self.state.peer
            )
            if sends_early and entry.writer not in self.relaying_stopped and size < MAX_BODY_BYTES // 2:
                early.append(entry)
                size += len(entry.body) + len(entry.cause) * MAX_NAME_BYTES
        while len(body := self.state.encode_body(early)) > MAX_BODY_BYTES:
            early = early[len(early) // 2 :]
        return self.state.next_frame(Entries(), body) if early else None
