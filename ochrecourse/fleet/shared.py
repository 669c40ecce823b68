"""What all links of one gateway share: its settings, its log and members, and how much of the log may go now.

All links together send no more bytes a second of the log than the settings allow (`has_room`). The newest
events of channel `fleet` are noted here for each link to send ahead of what else its peer lacks.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from ochrecourse.fleet.entries import Entry, Heartbeat, Stream
from ochrecourse.fleet.forms import Forms
from ochrecourse.fleet.frontier import CHANNEL
from ochrecourse.fleet.log_store import LogStore
from ochrecourse.fleet.log import Holes, Log, Snapshot
from ochrecourse.fleet.members import Members
from ochrecourse.fleet.messages import Hello
from ochrecourse.common.time_units import SECOND

SLICE = 8192  # bytes of entries or of a snapshot in a frame: some 60 short ones, merged in 2 ms
EAGER = 2 * SLICE  # bytes of the log that may go at once, over all links, after a time in which none went
EARLY = 256  # the newest events of the fleet's own channel that go ahead of whatever else a peer lacks
STALE = 3  # beats without news of a gateway after which every neighbour is asked for it


@dataclass(slots=True)
class Common:
    """One gateway as all its links see it. Spans in ns. `admit` says why a greeting is turned away, or ''."""

    fleet: str
    kept: LogStore
    members: Members
    beat: int
    quiet: int
    flight: int  # entries on the way to one peer
    ahead_ms: int
    admit: Callable[[Hello], str]
    news: Callable[[Heartbeat], None]  # hears of each row that is newer than what was known
    restored: Callable[[Snapshot | Holes], None]  # hears of each piece of a peer's snapshots that was taken
    most_snapshot: int  # bytes of its JSON
    catch_up: int = 0  # bytes a second of entries and snapshots, over all links; 0: as they come
    ahead: Callable[[Entry], None] = lambda entry: None  # hears of each early event
    forms: Forms = field(default_factory=Forms)
    holes: int = 0  # counts up when entries gave way to a snapshot here
    version: int = 0  # counts up with every change of the log
    source: dict[str, object] = field(default_factory=dict)  # the link that brings news of each gateway
    waits: bool = False  # a link had something to send of the log, and no room for it
    newest: deque[Entry] = field(default_factory=lambda: deque(maxlen=EARLY))  # of channel `fleet`
    newest_count: int = 0  # of all that were ever in `newest`
    _early: dict[tuple[Stream, int], None] = field(default_factory=dict)
    _room: float = EAGER
    _room_at: int = 0
    _vector: dict[Stream, int] = field(default_factory=dict)
    _vector_at: tuple[int, int] = (-1, -1)

    def __post_init__(self) -> None:
        self.log.listeners.append(self._changed)
        for entry in self.log.events(CHANNEL)[-EARLY:]:
            self._note(entry)

    def has_room(self, now: int) -> bool:
        """Whether a slice of the log may go now. A debt is paid first: long entries keep the pace too."""
        if not self.catch_up:
            return True
        self._room = min(EAGER, self._room + (now - self._room_at) / SECOND * self.catch_up)
        self._room_at = now
        self.waits = self.waits or self._room <= 0
        return self._room > 0

    def sent(self, size: int) -> None:
        """So many bytes of the log went."""
        if self.catch_up:
            self._room -= size

    def early(self, entry: Entry) -> None:
        """An event of channel `fleet` came before what stands in front of it."""
        key = (entry.stream, entry.seq)
        if key in self._early:
            return
        self._early[key] = None
        if len(self._early) > 4 * EARLY:
            del self._early[next(iter(self._early))]
        self._note(entry)
        self.ahead(entry)

    def _note(self, entry: Entry) -> None:
        self.newest.append(entry)
        self.newest_count += 1

    @property
    def log(self) -> Log:
        return self.kept.log

    def vector(self) -> dict[Stream, int]:
        """How far each stream is held, made once for each state of the log; not to be changed."""
        if self._vector_at != (self.version, self.log.retirement_count):
            self._vector, self._vector_at = self.log.vector(), (self.version, self.log.retirement_count)
        return self._vector

    def stale(self, now: int) -> set[str]:
        """Gateways that were not heard of for so long that any neighbour is asked for their news."""
        longest = max(3 * self.beat // 2, min(STALE * self.beat, self.quiet // 2))
        return {name for name, at in self.members.heard_at.items() if now - at > longest}

    def _changed(self, entry: Entry) -> None:
        self.version += 1
        if entry.channel == CHANNEL and (entry.stream, entry.seq) not in self._early:
            self._note(entry)
