"""The stability frontier of the log: up to where its order is final, and which entries are late.

Events of channel `fleet`, replayed in the log's order, determine the membership. Gateways with the same
entries therefore have the same membership view and classify the same entries as late. An `admit` event makes
an incarnation active from a timestamp on and ends earlier ones of the name; `close` ends a departed
incarnation. Each gateway reports, with the digest of its view, a watermark: it stores all entries up to there
that can ever be ordinary. The frontier is the least watermark of the active members, and only heartbeats with
the same view count: all active members have accepted a change of the membership before the frontier passes
it. Free of I/O, clock and chance.
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
STATUS_KEY = "log"  # the key of LogStatus in Heartbeat.statuses
MAX_ENDED_INCARNATIONS = 64  # beyond one per name, before they are retired; bounds the work per heartbeat
MAX_RETAINED = 16  # incarnations of a name with stored entries that are kept when others are retired
MAX_LISTED = 2000  # names and incarnations to retire in one heartbeat or event: some 40 KB


class LogStatus(msgspec.Struct, array_like=True):
    """A gateway's status of the log, part of its heartbeat.

    `view`: the digest of its membership view. `departed`: incarnations that it considers departed.
    `ended_digest`, `started_at`: while it is not active, a digest of its stored entries of earlier
    incarnations, and its clock at its start. `forks`: streams with two histories, and the last common entry.
    `retirable`: name, incarnation, retained incarnations: according to its snapshot, all incarnations of the
    name up to that one have ended, and it stores entries only of the retained ones.
    """

    view: bytes
    departed: list[tuple[str, int]]
    ended_digest: bytes
    started_at: Timestamp
    forks: list[tuple[str, int, int]] = []
    retirable: list[tuple[str, int, list[int]]] = []


class Frontier:
    """Computes the stability frontier of `log`. `founders`: the names that form the fleet at its first start.

    Received heartbeats and new entries are only recorded; `settle` evaluates them. `next_event` is the event
    that this gateway should append to channel `fleet`. If `has_ended`, this incarnation is no longer active,
    and the process must begin a new one. Names that the operator has declared departed (`declare_departed`)
    are not waited for, so that a fleet can start without them, initially or after all others restarted at
    once.
    """

    def __init__(self, log: Log, founders: Iterable[str]) -> None:
        """Replays the events that the log has stored already."""
        self.log = log
        self.founders = frozenset(founders) | {log.name}
        self.membership = MembershipView()
        self._base = MembershipView()  # from the snapshot that replaces older events
        self.heartbeats: dict[str, Heartbeat] = {}
        self.statuses: dict[str, LogStatus] = {}
        self.watermark = START
        self.promise = START
        # The clock is past all promises of earlier incarnations, if the journal has kept them.
        self._started_at, self._started_incarnation = log.clock, log.incarnation
        self._awaiting_entries: dict[str, Heartbeat] = {}  # heartbeats whose entries are still missing
        self._watermarks: dict[Stream, Timestamp] = {}  # by stream, the last promise with all entries stored
        self._departed: set[Stream] = set()  # considered departed, which is final
        self._events: list[Entry] = []
        self._changed = False
        self._has_peer_snapshot = True  # whether a snapshot of a peer was not applied yet
        self._ended_count = 0  # ended incarnations that a retirement and a snapshot after it would remove
        self._retirable: list[tuple[str, int, list[int]]] = []
        self._retirable_at: tuple[Timestamp, int] | None = None
        log.classify = self._classify
        for entry in log.events(FLEET_CHANNEL):
            self._entry_added(entry)
        self._changed = True
        log.listeners.append(self._entry_added)

    # inputs

    def _entry_added(self, entry: Entry) -> None:
        if entry.channel == FLEET_CHANNEL and decode_event(entry) is not None:
            self._events.append(entry)
            self._changed = True
        if entry.incarnation < self.membership.newest_incarnations.get(entry.writer, 0):
            self._retirable_at = None

    def snapshot_received(self) -> None:
        """Records that the log has applied snapshots of a peer."""
        self._changed = self._has_peer_snapshot = True
        self._retirable_at = None

    def receive(self, heartbeat: Heartbeat) -> None:
        """Records a heartbeat that `members` has accepted as new."""
        if heartbeat.name == self.log.name:
            return
        self.log.compare_head_hash(heartbeat.name, heartbeat.incarnation, heartbeat.seq, heartbeat.head_hash)
        try:
            status = msgspec.json.decode(heartbeat.statuses[STATUS_KEY], type=LogStatus)
        except (KeyError, msgspec.DecodeError, UnicodeError):
            status = LogStatus(b"", [], b"", START)
        self.heartbeats[heartbeat.name], self.statuses[heartbeat.name] = heartbeat, status
        for name, incarnation, common_seq in status.forks:
            stream = (name, incarnation)
            if stream in self.log.chains and common_seq < self.log.fork_points.get(stream, common_seq + 1):
                self.log.report_fork(
                    stream,
                    common_seq,
                    f"two histories from entry {common_seq + 1}, as {heartbeat.name} has them,",
                )
        awaiting = self._awaiting_entries.get(heartbeat.name)
        if awaiting is None or awaiting.incarnation != heartbeat.incarnation:
            self._awaiting_entries[heartbeat.name] = heartbeat

    # decisions

    def _classify(self, entry: Entry) -> str:
        return self.membership.classify(entry.stream, entry.seq, entry.at)

    def settle(self) -> None:
        """Evaluates all recorded inputs and updates the frontier; cheap if there were none."""
        if self._started_incarnation != self.log.incarnation:
            self._started_at, self._started_incarnation = self.log.clock, self.log.incarnation
        snapshot = self.log.snapshot(FLEET_CHANNEL)
        if self._changed or (snapshot is not None and snapshot.upto > self._base.upto):
            self._changed = False
            self._update_membership()
        self._update_watermarks()
        self.watermark = self._own_watermark()
        watermarks = [
            self._watermark_of(name, incarnation) for name, incarnation in self.membership.active.items()
        ]
        self.log.advance_frontier(min([self.watermark, *watermarks]))
        self.log.late_streams = (
            self._find_late_streams() if self.membership.last <= self.log.stable else set()
        )

    def _find_late_streams(self) -> set[Stream]:
        """Streams with late entries, so that readers need not check the entries of the others."""
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
            self._has_peer_snapshot = True
            # Before the view changes: the previous one may know which entries were final.
            self.log.retire(self._base.ended_incarnations)
        self.membership = membership_view(self._base, self._events)
        self.log.view_version += 1
        if self._has_peer_snapshot and snapshot is not None:
            self._has_peer_snapshot = False
            self.log.apply_snapshots(self._base.upto)
        view = self.membership
        self._ended_count = sum(
            incarnation < view.newest_incarnations.get(name, 0)
            and incarnation not in view.ended_incarnations.get(name, (0, ()))[1]
            for name, incarnation in {**view.starts, **view.ends}
        )
        # After a lost disk and a clock set back, new entries would otherwise be late for a while.
        self.log.clock = max(
            self.log.clock, self.membership.starts.get((self.log.name, self.log.incarnation), START)
        )
        self.log.highest_incarnation = max(
            self.log.highest_incarnation, self.membership.newest_incarnations.get(self.log.name, 0)
        )
        self._watermarks = {
            (name, incarnation): self._watermarks.get(
                (name, incarnation), self.membership.starts[name, incarnation]
            )
            for name, incarnation in self.membership.active.items()
        }
        self._departed &= set(self.membership.active.items())

    def _update_watermarks(self) -> None:
        """Advances the watermark of each stream to its last promise whose entries are all stored.

        Not while an own event is being made durable: it relies on the watermarks of other incarnations as of
        its drafting, and no watermark may pass those before the event is stored.
        """
        if any(draft.channel == FLEET_CHANNEL for draft in self.log.drafts):
            return
        for stream in self.membership.active.items():
            if stream == (self.log.name, self.log.incarnation):
                self._watermarks[stream] = max(self._watermarks[stream], self.promise)
                continue
            if stream in self._departed:
                continue
            name = stream[0]
            for heartbeat in (self._awaiting_entries.get(name), self.heartbeats.get(name)):
                if heartbeat is None or (heartbeat.name, heartbeat.incarnation) != stream:
                    continue
                self.log.compare_head_hash(name, heartbeat.incarnation, heartbeat.seq, heartbeat.head_hash)
                if self._holds(stream, heartbeat.seq):
                    self._watermarks[stream] = max(self._watermarks[stream], heartbeat.promise)
                    self._awaiting_entries[name] = self.heartbeats[name]

    def _holds(self, stream: Stream, seq: int) -> bool:
        chain = self.log.chains.get(stream)
        common_seq = self.log.fork_points.get(stream, seq)
        return seq == 0 or (chain is not None and chain.last >= seq and common_seq >= seq)

    def _own_watermark(self) -> Timestamp:
        """This gateway's watermark; START while entries of an ended incarnation are missing."""
        if not self._watermarks or not all(self._holds(s, end) for s, end in self.membership.ends.items()):
            return START
        return min(self._watermarks.values())

    def _watermark_of(self, name: str, incarnation: int) -> Timestamp:
        """An active member's watermark; START if it was computed with another view than the own."""
        if (name, incarnation) == (self.log.name, self.log.incarnation):
            return self.watermark
        heartbeat = self.heartbeats.get(name)
        if (
            heartbeat is None
            or heartbeat.incarnation != incarnation
            or self.statuses[name].view != self.membership.digest
        ):
            return START
        return heartbeat.watermark

    @property
    def has_ended(self) -> bool:
        """Whether this incarnation has ended for the fleet, a peer considers it departed, it has forked, or a
        later one exists.
        """
        own = (self.log.name, self.log.incarnation)
        if (
            self.log.highest_incarnation > own[1]
            or own in self.membership.ends
            or own in self.log.fork_points
        ):
            return True
        if self.membership.departed.get(own[0], -1) >= own[1]:
            return True
        return any(own in status.departed for status in self.statuses.values())

    def next_event(self, reachable: Collection[str], departed: Collection[str]) -> object | None:
        """The body of the next event that this gateway should append to channel `fleet`, or None.

        `reachable` and `departed`: names, as `members` has them. To be called again after each append until
        it returns None.
        """
        self.settle()
        value = self._choose_event(reachable, departed)
        body = encode_value(value)
        is_repeated = any(
            e.body == body for e in self._events if e.stream == (self.log.name, self.log.incarnation)
        )
        return None if is_repeated else value  # events are not repeated, even if they had no effect

    def _choose_event(self, reachable: Collection[str], departed: Collection[str]) -> object | None:
        own = (self.log.name, self.log.incarnation)
        if self.membership.active.get(own[0]) != own[1]:
            return self._first_event(reachable)
        voters = self.membership.voters()
        if 2 * len(set(reachable) & set(voters)) > len(voters):
            self._departed |= {
                s for s in self.membership.active.items() if s[0] in departed or s[0] not in voters
            }
        return (
            self._admit(reachable)
            or self._close(reachable)
            or self._close_at_fork()
            or self._retire(reachable)
        )

    def _first_event(self, reachable: Collection[str]) -> object | None:
        """The first event of a fleet, or of one whose members have all restarted: none is left to admit them.

        It needs all names except those declared departed, with equal views and equal entries of earlier
        incarnations, so that ordinary entries stay ordinary. A majority is not enough: it may not know of a
        first event written by another majority.
        """
        names = {n for n in self.membership.active or self.founders if not self._is_departed(n)}
        if self.log.name != min(names, default="") or names - set(reachable):
            return None
        own = LogStatus(self.membership.digest, [], self._ended_digest(), self._started_at)
        statuses = {
            n: self.statuses.get(n, LogStatus(b"", [], b"", START)) for n in names if n != self.log.name
        }
        if any(
            (other.view, other.ended_digest) != (own.view, own.ended_digest) for other in statuses.values()
        ):
            return None
        start = (
            max(status.started_at for status in [own, *statuses.values()])
            if self.membership.newest_incarnations
            else START
        )
        # `start` may be the promise of another gateway. An event before its own start would be late by its
        # own content and never take effect.
        self.log.clock = max(self.log.clock, start)
        incarnations = [
            (n, self.log.incarnation if n == self.log.name else self.heartbeats[n].incarnation)
            for n in sorted(names)
        ]
        if any(
            incarnation <= self.membership.newest_incarnations.get(n, 0) for n, incarnation in incarnations
        ):
            return None  # a lost disk and a clock set back: that one must first begin a later incarnation
        return Admit(
            [self._admitted(n, incarnation, start) for n, incarnation in incarnations], first=True
        ).value()

    def _ended_digest(self) -> bytes:
        """A digest of the stored entries of earlier incarnations; empty once the present one is active."""
        if self.membership.active.get(self.log.name) == self.log.incarnation:
            return b""
        current = {name: heartbeat.incarnation for name, heartbeat in self.heartbeats.items()} | {
            self.log.name: self.log.incarnation
        }
        ended = self.membership.ended_incarnations  # some gateways have removed those already
        stored = [
            (*s, chain.last)
            for s, chain in sorted(self.log.chains.items())
            if s[1] < current.get(s[0], 0) and not has_ended(ended, s)
        ]
        return blake2b(msgspec.json.encode(stored), digest_size=8).digest()

    def _is_departed(self, name: str) -> bool:
        """Whether a name was declared departed and no later incarnation of it is known."""
        heartbeat = self.heartbeats.get(name)
        incarnation = (
            self.log.incarnation
            if name == self.log.name
            else heartbeat.incarnation
            if heartbeat is not None
            else 0
        )
        return incarnation <= self.membership.departed.get(name, -1)

    def declare_departed(self, name: str, reachable: Collection[str]) -> object:
        """The body of the event by which an operator declares a name departed.

        Raises AppendRejectedError, with a reason for the operator.
        """
        self.settle()
        incarnations = [incarnation for writer, incarnation in self.log.chains if writer == name]
        incarnations += (
            [heartbeat.incarnation] if (heartbeat := self.heartbeats.get(name)) is not None else []
        )
        incarnations += (
            [self.membership.newest_incarnations[name]] if name in self.membership.newest_incarnations else []
        )
        if name == self.log.name:
            raise AppendRejectedError(f"{name} is this gateway itself")
        if name not in self.founders and not incarnations:
            raise AppendRejectedError(f"no gateway of this fleet is named {name[:64]!r}")
        if name in reachable:
            raise AppendRejectedError(f"{name} is reached; only a name that does not come back is given up")
        if self._is_departed(name):
            raise AppendRejectedError(f"{name} is given up already")
        return DeclareDeparted(name, max(incarnations, default=0)).value()

    def _holds_earlier_incarnations(self, name: str) -> bool:
        """Whether all entries that a gateway states of its earlier incarnations are stored."""
        return all(
            self._holds((name, incarnation), seq)
            or (name, incarnation) in self.membership.ends
            or has_ended(self.membership.ended_incarnations, (name, incarnation))
            for incarnation, seq in self.heartbeats[name].earlier_incarnations
        )

    def _admitted(self, name: str, incarnation: int, start: Timestamp | None) -> Admitted:
        earlier_ends = [
            (earlier[1], min(chain.last, self.log.fork_points.get(earlier, chain.last)))
            for earlier, chain in sorted(self.log.chains.items())
            if earlier[0] == name and earlier[1] < incarnation and self._is_open(earlier)
        ]
        return Admitted(name, incarnation, start, earlier_ends)

    def _admit(self, reachable: Collection[str]) -> object | None:
        """Admits new incarnations of reachable names, if this gateway has the least active name."""
        current_incarnations = {n: heartbeat.incarnation for n, heartbeat in self.heartbeats.items()} | {
            self.log.name: self.log.incarnation
        }
        names = sorted(
            n
            for n in reachable
            if n in current_incarnations and self.membership.active.get(n) == current_incarnations[n]
        )
        incarnations = []
        for name in sorted(reachable):
            heartbeat = self.heartbeats.get(name)
            if (
                heartbeat is None
                or heartbeat.incarnation <= self.membership.newest_incarnations.get(name, 0)
                or not self._holds_earlier_incarnations(name)
            ):
                continue
            if next((n for n in names if n != name), "") == self.log.name:
                incarnations.append(self._admitted(name, heartbeat.incarnation, self._start_of(name)))
        return Admit(incarnations).value() if incarnations else None

    def _start_of(self, name: str) -> Timestamp | None:
        """The timestamp after which entries of a new incarnation may be ordinary: past all frontiers.

        No frontier is past a promise that limits the own one; and before this gateway was active, none was
        past its admission.
        """
        incarnation = self.membership.active.get(name)
        if (
            incarnation is None
            or self._watermarks[name, incarnation] < self.membership.active_since[self.log.name]
        ):
            return None  # the position of the event itself
        return self._watermarks[name, incarnation]

    def _close(self, reachable: Collection[str]) -> object | None:
        """Closes an incarnation that a majority of members considers departed, if this is their least name.

        Members that consider this gateway departed have no vote: of two gateways that would close each other,
        at most one finds a majority.
        """
        active, own = self.membership.voters(), (self.log.name, self.log.incarnation)
        for stream in sorted(self._departed):
            supporters = [own[0]]
            for name in set(reachable) & set(active):
                status = self.statuses.get(name)
                if (
                    status is None
                    or self.heartbeats[name].incarnation != active[name]
                    or own in status.departed
                ):
                    continue
                if stream in status.departed and status.view == self.membership.digest:
                    supporters.append(name)
            if 2 * len(supporters) > len(active) and min(supporters) == own[0]:
                chain = self.log.chains.get(stream)
                last = chain.last if chain else 0
                return Close(*stream, min(last, self.log.fork_points.get(stream, last))).value()
        return None

    def _close_at_fork(self) -> object | None:
        """Closes an ended incarnation that has forked at its last common entry."""
        for stream, common_seq in self.log.fork_points.items():
            if self.membership.ends.get(stream, 0) > common_seq:
                return Close(*stream, common_seq).value()
        return None

    # ended incarnations

    def _is_open(self, stream: Stream) -> bool:
        """Whether the end of an incarnation is not known yet."""
        return stream not in self.membership.ends and not has_ended(
            self.membership.ended_incarnations, stream
        )

    def needs_retirement(self, upto: Timestamp) -> bool:
        """Whether many incarnations have ended and a snapshot up to `upto` would help to retire them."""
        has_new_events = any(self._base.upto < e.at <= upto for e in self._events)
        return has_new_events and self._ended_count >= MAX_ENDED_INCARNATIONS + len(
            self.membership.newest_incarnations
        )

    def _update_retirable(self) -> None:
        """Updates the incarnations that this gateway agrees to retire, if snapshots have changed."""
        if self._retirable_at == (self._base.upto, self.log.compaction_count):
            return
        self._retirable_at = (self._base.upto, self.log.compaction_count)
        self._retirable = []
        newest = self._base.newest_incarnations
        in_use: dict[str, list[int]] = {}
        for (name, incarnation), chain in sorted(self.log.chains.items()):
            is_complete = chain.last >= self._base.ends.get((name, incarnation), 0)
            if incarnation < newest.get(name, 0) and (
                chain.entries or not is_complete or (name, incarnation) in self.log.forks
            ):
                in_use.setdefault(name, []).append(incarnation)
        for name, incarnations in self._base.retirable().items():
            upto, retained = _limit_retained(newest[name] - 1, in_use.get(name, []))
            if sum(incarnation <= upto for incarnation in incarnations if incarnation not in retained) > 1:
                self._retirable.append((name, upto, retained))
        self._retirable = _limit_listed(self._retirable)

    def _retire(self, reachable: Collection[str]) -> object | None:
        """Retires incarnations that all active members agree to retire, if this is their least name."""
        active = self.membership.active
        self._update_retirable()
        if self.log.name != min(set(reachable) & set(active), default="") or not self._retirable:
            return None
        all_retirable = [self._retirable]
        for name, incarnation in sorted(active.items()):
            if name != self.log.name:
                heartbeat = self.heartbeats.get(name)
                if heartbeat is None or heartbeat.incarnation != incarnation:
                    return None
                all_retirable.append(self.statuses[name].retirable)
        by_name = [{name: (upto, retained) for name, upto, retained in each} for each in all_retirable]
        incarnations: list[tuple[str, int, list[int]]] = []
        for name, ended in self.membership.retirable().items():
            if not all(name in each for each in by_name):
                continue
            upto = min(each[name][0] for each in by_name)
            upto, retained = _limit_retained(
                upto, sorted({incarnation for each in by_name for incarnation in each[name][1]})
            )
            if sum(incarnation <= upto for incarnation in ended if incarnation not in retained) > 1:
                incarnations.append((name, upto, retained))
        return Retire(_limit_listed(incarnations)).value() if incarnations else None

    # heartbeats and snapshots

    def heartbeat_fields(self, promise: Timestamp) -> dict[str, Any]:
        """The log's fields of this gateway's next heartbeat (`members.next_heartbeat`).

        `promise`: as `log_store.LogStore.promise` has just returned it.
        """
        self.promise = promise
        self.settle()
        name, incarnation = self.log.name, self.log.incarnation
        chain = self.log.chains.get((name, incarnation))
        return {
            "seq": chain.last if chain else 0,
            "head_hash": chain.hash_at(chain.last) if chain else b"",
            "promise": promise,
            "watermark": self.watermark,
            "earlier_incarnations": self.earlier_incarnations(),
        }

    def earlier_incarnations(self) -> tuple[tuple[int, int], ...]:
        """This gateway's earlier incarnations that have not ended yet, and the last stored entry of each."""
        return tuple(
            (incarnation, chain.last)
            for (writer, incarnation), chain in sorted(self.log.chains.items())
            if writer == self.log.name
            and incarnation < self.log.incarnation
            and self._is_open((writer, incarnation))
        )

    def status(self) -> bytes:
        """The log status in this gateway's heartbeat, under STATUS_KEY."""
        return self._encode_status(True)

    def empty_status(self) -> bytes:
        """The log status while no claims about the log are allowed; it does not move the frontier."""
        return self._encode_status(False)

    def _encode_status(self, with_claims: bool) -> bytes:
        self.settle()  # so that the digest and the watermark are of the same view
        forks = [(*stream, common_seq) for stream, common_seq in sorted(self.log.fork_points.items())]
        if not with_claims:
            return msgspec.json.encode(LogStatus(b"", [], b"", self._started_at, forks))
        self._update_retirable()
        return msgspec.json.encode(
            LogStatus(
                self.membership.digest,
                sorted(self._departed),
                self._ended_digest(),
                self._started_at,
                forks,
                self._retirable,
            )
        )

    def snapshot_value(self, upto: Timestamp) -> object:
        """The membership at `upto`: the value under STATUS_KEY in the snapshot of channel `fleet`."""
        return membership_view(self._base, [e for e in self._events if e.at <= upto]).value()

    def late_entries(self) -> list[Entry]:
        """All stored late entries."""
        return [e for e in self.log.all_entries() if self._classify(e) == LATE]


def _limit_retained(upto: int, retained: list[int]) -> tuple[int, list[int]]:
    """Lowers `upto` so that at most MAX_RETAINED incarnations are retained; returns it and those."""
    upto = min(upto, retained[MAX_RETAINED] - 1) if len(retained) > MAX_RETAINED else upto
    return upto, [incarnation for incarnation in retained if incarnation <= upto]


def _limit_listed(incarnations: list[tuple[str, int, list[int]]]) -> list[tuple[str, int, list[int]]]:
    """The first incarnations, as many as fit into one heartbeat or event."""
    listed, found = 0, []
    for each in incarnations:
        listed += 2 + len(each[2])
        if listed <= MAX_LISTED:
            found.append(each)
    return found
