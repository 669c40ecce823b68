"""What all links of one gateway share: its settings, its log and members, and how much of the log may go now.

All links together send no more bytes a second of the log than the settings allow (`has_room`). The newest
events of channel `fleet` are noted here for each link to send ahead of what else its peer lacks.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from ochrecourse.fleet.entries import Entry, Heartbeat, Stream
from ochrecourse.fleet.format_versions import FormatVersions
from ochrecourse.fleet.frontier import FLEET_CHANNEL
from ochrecourse.fleet.log_store import LogStore
from ochrecourse.fleet.log import Holes, Log, Snapshot
from ochrecourse.fleet.members import Members
from ochrecourse.fleet.messages import Hello
from ochrecourse.common.time_units import SECOND

SLICE_BYTES = 8192  # bytes of entries or of a snapshot in a frame: some 60 short ones, merged in 2 ms
MAX_BUDGET_BYTES = (
    2 * SLICE_BYTES
)  # bytes of the log that may go at once, over all links, after a time in which none went
MAX_EARLY_ENTRIES = (
    256  # the newest events of the fleet's own channel that go ahead of whatever else a peer lacks
)
STALE = 3  # beats without news of a gateway after which every neighbour is asked for it


@dataclass(slots=True)
class ExchangeContext:
    """One gateway as all its links see it. Spans in ns. `admit` says why a greeting is turned away, or ''."""

    fleet: str
    log_store: LogStore
    members: Members
    heartbeat_interval: int
    silence_timeout: int
    max_entries_in_flight: int  # entries on the way to one peer
    max_clock_ahead_ms: int
    admit: Callable[[Hello], str]
    on_heartbeat: Callable[[Heartbeat], None]  # hears of each row that is newer than what was known
    on_snapshot: Callable[
        [Snapshot | Holes], None
    ]  # hears of each piece of a peer's snapshots that was taken
    max_snapshot_bytes: int  # bytes of its JSON
    catch_up_rate: int = 0  # bytes a second of entries and snapshots, over all links; 0: as they come
    on_early_entry: Callable[[Entry], None] = lambda entry: None  # hears of each early event
    format_versions: FormatVersions = field(default_factory=FormatVersions)
    compaction_version: int = 0  # counts up when entries gave way to a snapshot here
    log_version: int = 0  # counts up with every change of the log
    sources: dict[str, object] = field(default_factory=dict)  # the link that brings news of each gateway
    is_waiting_for_budget: bool = False  # a link had something to send of the log, and no room for it
    newest_fleet_entries: deque[Entry] = field(
        default_factory=lambda: deque(maxlen=MAX_EARLY_ENTRIES)
    )  # of channel `fleet`
    fleet_entry_count: int = 0  # of all that were ever in `newest`
    _early: dict[tuple[Stream, int], None] = field(default_factory=dict)
    _room: float = MAX_BUDGET_BYTES
    _room_at: int = 0
    _vector: dict[Stream, int] = field(default_factory=dict)
    _vector_at: tuple[int, int] = (-1, -1)

    def __post_init__(self) -> None:
        self.log.listeners.append(self._changed)
        for entry in self.log.events(FLEET_CHANNEL)[-MAX_EARLY_ENTRIES:]:
            self._note(entry)

    def has_budget(self, now: int) -> bool:
        """Whether a slice of the log may go now. A debt is paid first: long entries keep the pace too."""
        if not self.catch_up_rate:
            return True
        self._room = min(MAX_BUDGET_BYTES, self._room + (now - self._room_at) / SECOND * self.catch_up_rate)
        self._room_at = now
        self.is_waiting_for_budget = self.is_waiting_for_budget or self._room <= 0
        return self._room > 0

    def spend(self, size: int) -> None:
        """So many bytes of the log went."""
        if self.catch_up_rate:
            self._room -= size

    def add_early_entry(self, entry: Entry) -> None:
        """An event of channel `fleet` came before what stands in front of it."""
        key = (entry.stream, entry.seq)
        if key in self._early:
            return
        self._early[key] = None
        if len(self._early) > 4 * MAX_EARLY_ENTRIES:
            del self._early[next(iter(self._early))]
        self._note(entry)
        self.on_early_entry(entry)

    def _note(self, entry: Entry) -> None:
        self.newest_fleet_entries.append(entry)
        self.fleet_entry_count += 1

    @property
    def log(self) -> Log:
        return self.log_store.log

    def vector(self) -> dict[Stream, int]:
        """How far each stream is held, made once for each state of the log; not to be changed."""
        if self._vector_at != (self.log_version, self.log.retirement_count):
            self._vector, self._vector_at = self.log.vector(), (self.log_version, self.log.retirement_count)
        return self._vector

    def stale_members(self, now: int) -> set[str]:
        """Gateways that were not heard of for so long that any neighbour is asked for their news."""
        longest = max(
            3 * self.heartbeat_interval // 2, min(STALE * self.heartbeat_interval, self.silence_timeout // 2)
        )
        return {name for name, at in self.members.received_at.items() if now - at > longest}

    def _changed(self, entry: Entry) -> None:
        self.log_version += 1
        if entry.channel == FLEET_CHANNEL and (entry.stream, entry.seq) not in self._early:
            self._note(entry)
