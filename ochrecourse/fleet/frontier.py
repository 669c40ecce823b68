"""How far the order of the log can no longer change, and which entries came too late for it.

Members and lives are decided by events of channel `fleet`, replayed in the log's order, so whoever holds
the same entries has the same view and calls the same entries late. An event `admit` lets a life count from a
stamp on and ends the name's earlier ones; `close` ends a life that is let go. Each gateway tells, with its
view, a floor: it holds all that can ever be ordinary up to there. The frontier is the least floor over the
members that count, taken only of rows that rest on the very same view: so everybody who counts has agreed to
each change before the order goes on past it. Free of I/O, clock and chance.
"""

from __future__ import annotations

import json
from collections.abc import Collection, Iterable
from hashlib import blake2b
from typing import Any

import msgspec

from ochrecourse.fleet.entries import Entry, Heartbeat, Timestamp, Stream
from ochrecourse.fleet.log import LATE, START, Log, AppendRejectedError, encode_value
from ochrecourse.fleet.streams import has_ended
from ochrecourse.fleet.membership_view import (
    Admit,
    Admitted,
    Close,
    DeclareDeparted,
    Retire,
    MembershipView,
    decode_event,
    membership_view,
)

FLEET_CHANNEL = "fleet"
STATUS_KEY = "log"  # the key of `told` in Heartbeat.statuses
MAX_ENDED_INCARNATIONS = (
    64  # that have ended beyond one a name, from which they are retired: what a beat looks at stays small
)
MAX_RETAINED = (
    16  # lives of a name that may stay when others are retired: those of which entries are still held
)
MAX_LISTED = 2000  # names and lives that a row, or an event, tells of those at once: some 40 KB


class LogStatus(msgspec.Struct, array_like=True):
    """What a row says for this module: the digest of its view, and lives that its sender holds for gone. As
    long as it does not count: a digest of what it holds of dead lives, and its clock when it began. Lives of
    which it met two histories, and up to where they are one. `idle`: name, life, lives that stay: in a
    snapshot that stands here all lives of the name up to that one have ended, and nothing is held of them but
    of those that stay."""

    view: bytes
    departed: list[tuple[str, int]]
    ended_digest: bytes
    started_at: Timestamp
    forks: list[tuple[str, int, int]] = []
    retirable: list[tuple[str, int, list[int]]] = []


class Frontier:
    """Finds the frontier of `log`. `founders`: the names that make up the fleet when it first begins.

    Heard rows and new entries are only noted; `settle` draws the conclusions, `wants` is what this gateway
    should append to channel `fleet`. `over`: this life counts no more, and the
    process must go on under a new one. Names that whoever runs the fleet says never come back (`give_up`) are
    not waited for: only so can one begin that lacks them from the first, or after all others have restarted
    at once.
    """

    def __init__(self, log: Log, founders: Iterable[str]) -> None:
        self.log = log
        self.founders = frozenset(founders) | {log.name}
        self.membership = MembershipView()
        self._base = MembershipView()  # of the snapshot that stands for older events
        self.heartbeats: dict[str, Heartbeat] = {}
        self.statuses: dict[str, LogStatus] = {}
        self.watermark = START
        self.promise = START
        self._born, self._life = (
            log.clock,
            log.incarnation,
        )  # past all promises of earlier lives, if they are kept
        self._awaiting_entries: dict[str, Heartbeat] = {}  # rows whose entries are awaited while newer come
        self._watermarks: dict[Stream, Timestamp] = {}  # promises that are kept here so far
        self._departed: set[Stream] = set()  # held for gone, which is never taken back
        self._events: list[Entry] = []
        self._changed = False
        self._came = True  # snapshots that were not made here
        self._spent = 0  # lives that ended, and of which a retirement, or a snapshot after it, would free us
        self._retirable: list[tuple[str, int, list[int]]] = []
        self._retirable_at: tuple[Timestamp, int] | None = None
        log.classify = self._classify
        for entry in log.events(FLEET_CHANNEL):
            self._note(entry)
        self._changed = True
        log.listeners.append(self._note)

    # inputs

    def _note(self, entry: Entry) -> None:
        if entry.channel == FLEET_CHANNEL and decode_event(entry) is not None:
            self._events.append(entry)
            self._changed = True
        if entry.incarnation < self.membership.newest_incarnations.get(entry.writer, 0):
            self._retirable_at = None

    def snapshot_received(self) -> None:
        """The log took snapshots of a peer."""
        self._changed = self._came = True
        self._retirable_at = None

    def receive(self, row: Heartbeat) -> None:
        """A row that `members` found new."""
        if row.name == self.log.name:
            return
        self.log.compare_head_hash(row.name, row.incarnation, row.seq, row.head_hash)
        try:
            said = msgspec.json.decode(row.statuses[STATUS_KEY], type=LogStatus)
        except (KeyError, msgspec.DecodeError, UnicodeError):
            said = LogStatus(b"", [], b"", START)
        self.heartbeats[row.name], self.statuses[row.name] = row, said
        for name, life, same in said.forks:
            stream = (name, life)
            if stream in self.log.chains and same < self.log.fork_points.get(stream, same + 1):
                self.log.report_fork(
                    stream, same, f"two histories from entry {same + 1}, as {row.name} has them,"
                )
        waiting = self._awaiting_entries.get(row.name)
        if waiting is None or waiting.incarnation != row.incarnation:
            self._awaiting_entries[row.name] = row

    # decisions

    def _classify(self, entry: Entry) -> str:
        return self.membership.classify(entry.stream, entry.seq, entry.at)

    def settle(self) -> None:
        """Draws the conclusions from all that was noted; cheap when nothing was."""
        if self._life != self.log.incarnation:
            self._born, self._life = self.log.clock, self.log.incarnation
        snapshot = self.log.snapshot(FLEET_CHANNEL)
        if self._changed or (snapshot is not None and snapshot.upto > self._base.upto):
            self._changed = False
            self._update_membership()
        self._achieve()
        self.watermark = self._own_watermark()
        told = [self._watermark_of(name, life) for name, life in self.membership.active.items()]
        self.log.advance_frontier(min([self.watermark, *told]))
        self.log.late_streams = self._lates() if self.membership.last <= self.log.stable else set()

    def _lates(self) -> set[Stream]:
        """Streams that hold late entries; others are spared the look at each entry."""
        found = set()
        for stream, chain in self.log.chains.items():
            first = next(chain.entries_after(0), None)
            last = self.membership.classify(stream, chain.last, chain.at)
            if first is not None and LATE in (self._classify(first), last):
                found.add(stream)
        return found

    def _update_membership(self) -> None:
        snapshot = self.log.snapshot(FLEET_CHANNEL)
        if snapshot is not None and snapshot.upto > self._base.upto:
            self._base = MembershipView.of(json.loads(snapshot.value)[STATUS_KEY], snapshot.upto)
            self._events = [
                e
                for e in self._events
                if e.at > snapshot.upto or isinstance(decode_event(e), DeclareDeparted)
            ]
            self._came = True
            self.log.retire(self._base.ended_incarnations)  # by the view before: it may know what was settled
        self.membership = membership_view(self._base, self._events)
        self.log.view_version += 1
        if self._came and snapshot is not None:
            self._came = False
            self.log.apply_snapshots(self._base.upto)
        view = self.membership
        self._spent = sum(
            life < view.newest_incarnations.get(name, 0)
            and life not in view.ended_incarnations.get(name, (0, ()))[1]
            for name, life in {**view.starts, **view.ends}
        )
        # Guards against a disk lost while the clock was put back: what is appended would be late for a while.
        self.log.clock = max(
            self.log.clock, self.membership.starts.get((self.log.name, self.log.incarnation), START)
        )
        self.log.highest_incarnation = max(
            self.log.highest_incarnation, self.membership.newest_incarnations.get(self.log.name, 0)
        )
        self._watermarks = {
            (name, life): self._watermarks.get((name, life), self.membership.starts[name, life])
            for name, life in self.membership.active.items()
        }
        self._departed &= set(self.membership.active.items())

    def _achieve(self) -> None:
        """Promises whose entries are all here. None more while an own event is not durable yet: what it says
        of other lives' promises was true as it was drafted, and no floor may pass that before it is here."""
        if any(draft.channel == FLEET_CHANNEL for draft in self.log.drafts):
            return
        for stream in self.membership.active.items():
            if stream == (self.log.name, self.log.incarnation):
                self._watermarks[stream] = max(self._watermarks[stream], self.promise)
                continue
            if stream in self._departed:
                continue
            name = stream[0]
            for row in (self._awaiting_entries.get(name), self.heartbeats.get(name)):
                if row is None or (row.name, row.incarnation) != stream:
                    continue
                self.log.compare_head_hash(name, row.incarnation, row.seq, row.head_hash)
                if self._holds(stream, row.seq):
                    self._watermarks[stream] = max(self._watermarks[stream], row.promise)
                    self._awaiting_entries[name] = self.heartbeats[name]

    def _holds(self, stream: Stream, seq: int) -> bool:
        chain = self.log.chains.get(stream)
        same = self.log.fork_points.get(stream, seq)
        return seq == 0 or (chain is not None and chain.last >= seq and same >= seq)

    def _own_watermark(self) -> Timestamp:
        """START while an ended life is not held up to its end."""
        if not self._watermarks or not all(self._holds(s, end) for s, end in self.membership.ends.items()):
            return START
        return min(self._watermarks.values())

    def _watermark_of(self, name: str, life: int) -> Timestamp:
        """A counting member's floor as told from the view that is ours; START where it told of another."""
        if (name, life) == (self.log.name, self.log.incarnation):
            return self.watermark
        row = self.heartbeats.get(name)
        if row is None or row.incarnation != life or self.statuses[name].view != self.membership.digest:
            return START
        return row.watermark

    @property
    def has_ended(self) -> bool:
        """Whether this life has ended for the fleet, a peer holds it for gone, it has two histories, or there
        was a greater one."""
        own = (self.log.name, self.log.incarnation)
        if (
            self.log.highest_incarnation > own[1]
            or own in self.membership.ends
            or own in self.log.fork_points
        ):
            return True
        if self.membership.departed.get(own[0], -1) >= own[1]:
            return True
        return any(own in said.departed for said in self.statuses.values())

    def next_event(self, reached: Collection[str], away: Collection[str]) -> object | None:
        """The body of one event that this gateway should append to channel `fleet`, or None. `reached` and
        `away`: names as `members` has them. Asked again after each append until None."""
        self.settle()
        value = self._wanted(reached, away)
        body = encode_value(value)
        said = any(e.body == body for e in self._events if e.stream == (self.log.name, self.log.incarnation))
        return None if said else value  # once is enough, also where it changed nothing

    def _wanted(self, reached: Collection[str], away: Collection[str]) -> object | None:
        own = (self.log.name, self.log.incarnation)
        if self.membership.active.get(own[0]) != own[1]:
            return self._first_event(reached)
        voters = self.membership.voters()
        if 2 * len(set(reached) & set(voters)) > len(voters):
            self._departed |= {
                s for s in self.membership.active.items() if s[0] in away or s[0] not in voters
            }
        return self._admit(reached) or self._close(reached) or self._cut_short() or self._retire(reached)

    def _first_event(self, reached: Collection[str]) -> object | None:
        """The first event of a fleet, or of one whose members have all begun new lives, so that nobody counts
        who could admit another. It takes all of its names but those given up, all of one view, and holding
        the same of the lives before, so that what was ordinary stays so. A majority would not do: it need not
        know of a beginning that another majority made."""
        here = {n for n in self.membership.active or self.founders if not self._is_departed(n)}
        if self.log.name != min(here, default="") or here - set(reached):
            return None
        own = LogStatus(self.membership.digest, [], self._ended_digest(), self._born)
        said = {n: self.statuses.get(n, LogStatus(b"", [], b"", START)) for n in here if n != self.log.name}
        if any((other.view, other.ended_digest) != (own.view, own.ended_digest) for other in said.values()):
            return None
        start = (
            max(told.started_at for told in [own, *said.values()])
            if self.membership.newest_incarnations
            else START
        )
        # Guards against a beginning that stands before its own start, which is another's promise: it would be
        # late by what it says itself, and never count.
        self.log.clock = max(self.log.clock, start)
        lives = [
            (n, self.log.incarnation if n == self.log.name else self.heartbeats[n].incarnation)
            for n in sorted(here)
        ]
        if any(life <= self.membership.newest_incarnations.get(n, 0) for n, life in lives):
            return None  # lost its disk while its clock went back, and must first begin beyond
        return Admit([self._admitted(n, life, start) for n, life in lives], first=True).value()

    def _ended_digest(self) -> bytes:
        """A digest of what is held of lives that nobody lives any more; nothing once this life counts."""
        if self.membership.active.get(self.log.name) == self.log.incarnation:
            return b""
        now = {name: row.incarnation for name, row in self.heartbeats.items()} | {
            self.log.name: self.log.incarnation
        }
        over = self.membership.ended_incarnations  # some have forgotten those already
        held = [
            (*s, chain.last)
            for s, chain in sorted(self.log.chains.items())
            if s[1] < now.get(s[0], 0) and not has_ended(over, s)
        ]
        return blake2b(msgspec.json.encode(held), digest_size=8).digest()

    def _is_departed(self, name: str) -> bool:
        """Whether a name was given up and no life beyond that has been heard of."""
        row = self.heartbeats.get(name)
        life = self.log.incarnation if name == self.log.name else row.incarnation if row is not None else 0
        return life <= self.membership.departed.get(name, -1)

    def declare_departed(self, name: str, reached: Collection[str]) -> object:
        """The body of the event by which a person gives up a name. Raises AppendRejectedError, in words for
        them."""
        self.settle()
        lives = [life for writer, life in self.log.chains if writer == name]
        lives += [row.incarnation] if (row := self.heartbeats.get(name)) is not None else []
        lives += (
            [self.membership.newest_incarnations[name]] if name in self.membership.newest_incarnations else []
        )
        if name == self.log.name:
            raise AppendRejectedError(f"{name} is this gateway itself")
        if name not in self.founders and not lives:
            raise AppendRejectedError(f"no gateway of this fleet is named {name[:64]!r}")
        if name in reached:
            raise AppendRejectedError(f"{name} is reached; only a name that does not come back is given up")
        if self._is_departed(name):
            raise AppendRejectedError(f"{name} is given up already")
        return DeclareDeparted(name, max(lives, default=0)).value()

    def _holds_earlier_incarnations(self, name: str) -> bool:
        """Whether all that a gateway says it wrote in earlier lives is held here."""
        return all(
            self._holds((name, life), seq)
            or (name, life) in self.membership.ends
            or has_ended(self.membership.ended_incarnations, (name, life))
            for life, seq in self.heartbeats[name].earlier_incarnations
        )

    def _admitted(self, name: str, life: int, start: Timestamp | None) -> Admitted:
        before = [
            (earlier[1], min(chain.last, self.log.fork_points.get(earlier, chain.last)))
            for earlier, chain in sorted(self.log.chains.items())
            if earlier[0] == name and earlier[1] < life and self._open(earlier)
        ]
        return Admitted(name, life, start, before)

    def _admit(self, reached: Collection[str]) -> object | None:
        """New lives of names that are heard, by the least name that counts."""
        lives_now = {n: row.incarnation for n, row in self.heartbeats.items()} | {
            self.log.name: self.log.incarnation
        }
        here = sorted(n for n in reached if n in lives_now and self.membership.active.get(n) == lives_now[n])
        lives = []
        for name in sorted(reached):
            row = self.heartbeats.get(name)
            if (
                row is None
                or row.incarnation <= self.membership.newest_incarnations.get(name, 0)
                or not self._holds_earlier_incarnations(name)
            ):
                continue
            if next((n for n in here if n != name), "") == self.log.name:
                lives.append(self._admitted(name, row.incarnation, self._start_of(name)))
        return Admit(lives).value() if lives else None

    def _start_of(self, name: str) -> Timestamp | None:
        """From where a new life's entries may be ordinary: past every frontier. No frontier is past a promise
        that holds it back here; before this gateway counted, none was past its own admission."""
        life = self.membership.active.get(name)
        if life is None or self._watermarks[name, life] < self.membership.active_since[self.log.name]:
            return None  # where the event itself will stand
        return self._watermarks[name, life]

    def _close(self, reached: Collection[str]) -> object | None:
        """A life that more than half of the members hold for gone, by the least of their names. Who holds us
        for gone has no vote here: of two that would end each other, one at most finds a majority."""
        counting, own = self.membership.voters(), (self.log.name, self.log.incarnation)
        for stream in sorted(self._departed):
            votes = [own[0]]
            for name in set(reached) & set(counting):
                said = self.statuses.get(name)
                if (
                    said is None
                    or self.heartbeats[name].incarnation != counting[name]
                    or own in said.departed
                ):
                    continue
                if stream in said.departed and said.view == self.membership.digest:
                    votes.append(name)
            if 2 * len(votes) > len(counting) and min(votes) == own[0]:
                chain = self.log.chains.get(stream)
                last = chain.last if chain else 0
                return Close(*stream, min(last, self.log.fork_points.get(stream, last))).value()
        return None

    def _cut_short(self) -> object | None:
        """An ended life of which two histories are known ends where they part."""
        for stream, same in self.log.fork_points.items():
            if self.membership.ends.get(stream, 0) > same:
                return Close(*stream, same).value()
        return None

    # lives that are over

    def _open(self, stream: Stream) -> bool:
        """Whether nothing says yet where a life ended."""
        return stream not in self.membership.ends and not has_ended(
            self.membership.ended_incarnations, stream
        )

    def needs_retirement(self, upto: Timestamp) -> bool:
        """Whether a snapshot up to there would help to retire lives, of which there are many."""
        news = any(self._base.upto < e.at <= upto for e in self._events)
        return news and self._spent >= MAX_ENDED_INCARNATIONS + len(self.membership.newest_incarnations)

    def _look_idle(self) -> None:
        """Finds anew what this gateway acknowledges as over, where snapshots have moved."""
        if self._retirable_at == (self._base.upto, self.log.compaction_count):
            return
        self._retirable_at = (self._base.upto, self.log.compaction_count)
        self._retirable = []
        newest = self._base.newest_incarnations
        busy: dict[str, list[int]] = {}
        for (name, life), chain in sorted(self.log.chains.items()):
            whole = chain.last >= self._base.ends.get((name, life), 0)
            if life < newest.get(name, 0) and (chain.entries or not whole or (name, life) in self.log.forks):
                busy.setdefault(name, []).append(life)
        for name, lives in self._base.retirable().items():
            upto, stay = _bounded(newest[name] - 1, busy.get(name, []))
            if sum(life <= upto for life in lives if life not in stay) > 1:
                self._retirable.append((name, upto, stay))
        self._retirable = _fitting(self._retirable)

    def _retire(self, reached: Collection[str]) -> object | None:
        """Lives of which everybody that counts says that it holds nothing any more, by the least name."""
        counting = self.membership.active
        self._look_idle()
        if self.log.name != min(set(reached) & set(counting), default="") or not self._retirable:
            return None
        told = [self._retirable]
        for name, life in sorted(counting.items()):
            if name != self.log.name:
                row = self.heartbeats.get(name)
                if row is None or row.incarnation != life:
                    return None
                told.append(self.statuses[name].retirable)
        by_name = [{name: (upto, stay) for name, upto, stay in each} for each in told]
        lives: list[tuple[str, int, list[int]]] = []
        for name, spent in self.membership.retirable().items():
            if not all(name in each for each in by_name):
                continue
            upto = min(each[name][0] for each in by_name)
            upto, stay = _bounded(upto, sorted({life for each in by_name for life in each[name][1]}))
            if sum(life <= upto for life in spent if life not in stay) > 1:
                lives.append((name, upto, stay))
        return Retire(_fitting(lives)).value() if lives else None

    # what this gateway says of itself

    def heartbeat_fields(self, promise: Timestamp) -> dict[str, Any]:
        """The log's part of this gateway's next row (`members.own`); `told` is the part under PART.
        `promise`: as `log_store.LogStore.promise` gave it just now."""
        self.promise = promise
        self.settle()
        name, life = self.log.name, self.log.incarnation
        chain = self.log.chains.get((name, life))
        return {
            "seq": chain.last if chain else 0,
            "head_hash": chain.hash_at(chain.last) if chain else b"",
            "promise": promise,
            "watermark": self.watermark,
            "earlier_incarnations": self.earlier_incarnations(),
        }

    def earlier_incarnations(self) -> tuple[tuple[int, int], ...]:
        """This gateway's lives before the present one that did not end yet, and how far each is held."""
        return tuple(
            (life, chain.last)
            for (writer, life), chain in sorted(self.log.chains.items())
            if writer == self.log.name and life < self.log.incarnation and self._open((writer, life))
        )

    def status(self) -> bytes:
        """What stands under PART in this gateway's row."""
        return self._told(True)

    def empty_status(self) -> bytes:
        """The same where nothing may be claimed of the log: no row counts with it."""
        return self._told(False)

    def _told(self, claims: bool) -> bytes:
        self.settle()  # guards against the digest of one view beside a floor that rests on the next
        forks = [(*stream, same) for stream, same in sorted(self.log.fork_points.items())]
        if not claims:
            return msgspec.json.encode(LogStatus(b"", [], b"", self._born, forks))
        self._look_idle()
        return msgspec.json.encode(
            LogStatus(
                self.membership.digest,
                sorted(self._departed),
                self._ended_digest(),
                self._born,
                forks,
                self._retirable,
            )
        )

    def snapshot_value(self, upto: Timestamp) -> object:
        """The part of a snapshot of channel `fleet` that stands for this module's events at or before `upto`;
        it belongs under PART in the snapshot's value."""
        return membership_view(self._base, [e for e in self._events if e.at <= upto]).value()

    def late_entries(self) -> list[Entry]:
        """All late entries that are held."""
        return [e for e in self.log.all_entries() if self._classify(e) == LATE]


def _bounded(upto: int, stay: list[int]) -> tuple[int, list[int]]:
    """Up to which life a name may be retired where so many of its lives stay, and those up to there."""
    upto = min(upto, stay[MAX_RETAINED] - 1) if len(stay) > MAX_RETAINED else upto
    return upto, [life for life in stay if life <= upto]


def _fitting(lives: list[tuple[str, int, list[int]]]) -> list[tuple[str, int, list[int]]]:
    """The first of them, as many as one row or event tells."""
    size, found = 0, []
    for each in lives:
        size += 2 + len(each[2])
        if size <= MAX_LISTED:
            found.append(each)
    return found
