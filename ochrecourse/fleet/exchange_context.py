"""What all links of one gateway share: settings, the log, the members, and the budget for sending the log.

All links together send no more bytes of the log per second than the settings allow (`has_budget`). The newest
events of channel `fleet` are listed here; each link sends them ahead of other entries that its peer lacks.
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

SLICE_BYTES = 8192  # bytes of entries or of a snapshot per frame: some 60 short entries, merged in 2 ms
MAX_BUDGET_BYTES = 2 * SLICE_BYTES  # bytes of the log that all links may send at once after an idle time
MAX_EARLY_ENTRIES = 256  # newest events of channel `fleet` that are sent ahead of others that a peer lacks
STALE_INTERVALS = 3  # heartbeat intervals without a gateway's heartbeat until every peer is asked for it


@dataclass(slots=True)
class ExchangeContext:
    """One gateway as seen by all its links. Durations are in ns.

    `admit` returns why a hello is rejected, or an empty text.
    """

    fleet: str
    log_store: LogStore
    members: Members
    heartbeat_interval: int
    silence_timeout: int
    max_entries_in_flight: int  # per peer
    max_clock_ahead_ms: int
    admit: Callable[[Hello], str]
    on_heartbeat: Callable[[Heartbeat], None]  # called with each heartbeat that is newer than the known one
    on_snapshot: Callable[[Snapshot | Holes], None]  # called with what was applied of a peer's snapshots
    max_snapshot_bytes: int  # of its JSON
    catch_up_rate: int = 0  # bytes of entries and snapshots per second, over all links; 0: no limit
    on_early_entry: Callable[[Entry], None] = lambda entry: None  # called with each early entry
    format_versions: FormatVersions = field(default_factory=FormatVersions)
    compaction_version: int = 0  # incremented when entries are replaced by a snapshot here
    log_version: int = 0  # incremented with every change of the log
    sources: dict[str, object] = field(default_factory=dict)  # the link that relays each gateway's heartbeats
    is_waiting_for_budget: bool = False  # a link has some of the log to send but no budget
    # Of channel `fleet`.
    newest_fleet_entries: deque[Entry] = field(default_factory=lambda: deque(maxlen=MAX_EARLY_ENTRIES))
    fleet_entry_count: int = 0  # of all that were ever added to `newest_fleet_entries`
    _early: dict[tuple[Stream, int], None] = field(default_factory=dict)
    _budget: float = MAX_BUDGET_BYTES
    _budget_at: int = 0
    _vector: dict[Stream, int] = field(default_factory=dict)
    _vector_at: tuple[int, int] = (-1, -1)

    def __post_init__(self) -> None:
        self.log.listeners.append(self._entry_added)
        for entry in self.log.events(FLEET_CHANNEL)[-MAX_EARLY_ENTRIES:]:
            self._add_newest(entry)

    def has_budget(self, now: int) -> bool:
        """Whether a slice of the log may be sent now.

        The budget may go negative and is then repaid first, so long entries keep to the rate too.
        """
        if not self.catch_up_rate:
            return True
        self._budget = min(
            MAX_BUDGET_BYTES, self._budget + (now - self._budget_at) / SECOND * self.catch_up_rate
        )
        self._budget_at = now
        self.is_waiting_for_budget = self.is_waiting_for_budget or self._budget <= 0
        return self._budget > 0

    def spend(self, size: int) -> None:
        """Takes `size` bytes of the log, which were sent, from the budget."""
        if self.catch_up_rate:
            self._budget -= size

    def add_early_entry(self, entry: Entry) -> None:
        """An event of channel `fleet` was received before earlier entries of its stream."""
        key = (entry.stream, entry.seq)
        if key in self._early:
            return
        self._early[key] = None
        if len(self._early) > 4 * MAX_EARLY_ENTRIES:
            del self._early[next(iter(self._early))]
        self._add_newest(entry)
        self.on_early_entry(entry)

    def _add_newest(self, entry: Entry) -> None:
        self.newest_fleet_entries.append(entry)
        self.fleet_entry_count += 1

    @property
    def log(self) -> Log:
        """The log that `log_store` stores."""
        return self.log_store.log

    def vector(self) -> dict[Stream, int]:
        """Last stored entry of each stream. Cached until the log changes; callers must not modify it."""
        if self._vector_at != (self.log_version, self.log.retirement_count):
            self._vector, self._vector_at = self.log.vector(), (self.log_version, self.log.retirement_count)
        return self._vector

    def stale_members(self, now: int) -> set[str]:
        """Gateways whose heartbeats are overdue so long that every peer is asked to relay them."""
        max_age = max(
            3 * self.heartbeat_interval // 2,
            min(STALE_INTERVALS * self.heartbeat_interval, self.silence_timeout // 2),
        )
        return {name for name, received_at in self.members.received_at.items() if now - received_at > max_age}

    def _entry_added(self, entry: Entry) -> None:
        self.log_version += 1
        if entry.channel == FLEET_CHANNEL and (entry.stream, entry.seq) not in self._early:
            self._add_newest(entry)
