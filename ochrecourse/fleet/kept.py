"""The log as it outlives its process: each entry is written down, an append also synced before its answer.

Where records are kept is handed in (`storage.journal.Journal`). What can't be read any more ends what is
recovered. Every start is a new life, so a number that an older copy of the journal gives out a second time is
never the same writer's: life, then number. Free of I/O, clock and chance.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from typing import Protocol

import msgspec

from ochrecourse.fleet.entries import Entry, Stamp
from ochrecourse.fleet.log import BadEntry, Bounds, Holes, Log, Snapshot

LIFE_BITS = 16  # of chance below the wall clock's ms in a life
PROMISED_MS = 2000  # written down ahead, so that not each promise is a write; the next life begins there
SLACK = 1 << 20  # bytes of records that are no longer needed, before the journal is written anew
PART = 4  # and they must be this part of what is held: each byte is then written anew four times at the most
SHRUNK = 1024  # entries of a compaction that are let go at once; 1.5 ms
SYNCED = 1 << 20  # bytes of a new journal after which it is synced, so that its end holds nothing up


class Anew(Protocol):
    """What is to take a journal's place."""

    def append(self, record: bytes) -> int: ...

    def sync(self) -> None: ...

    def commit(self) -> None: ...

    def abort(self) -> None: ...


class Records(Protocol):
    """What is needed of a journal. `version`: the form in which it is, or is written anew."""

    version: int

    def records(self) -> Iterator[bytes]: ...

    def append(self, record: bytes) -> None: ...

    def sync(self) -> None: ...

    def rewrite(self, records: Iterable[bytes]) -> None: ...

    def begin_rewrite(self) -> Anew: ...

    def close(self) -> None: ...


class Renewal:
    """The journal as it is written anew, by and by. `rest`: records that stood when it began; `since`: what
    was written to the old one meanwhile."""

    def __init__(self, anew: Anew, rest: Iterator[bytes]) -> None:
        self.anew = anew
        self.rest = rest
        self.since: list[bytes] = []
        self.unsynced = 0

    def go_on(self, most: int) -> bool:
        """Writes up to `most` bytes, one record at the least; whether that was all. Raises OSError."""
        while most > 0:
            record = next(self.rest, None)
            if record is None:
                for late in self.since:
                    self.anew.append(late)
                self.anew.commit()
                return True
            size = self.anew.append(record)
            most -= size
            self.unsynced += size
        if self.unsynced > SYNCED:
            self.anew.sync()
            self.unsynced = 0
        return False


class Life(msgspec.Struct, frozen=True, array_like=True, tag="life"):
    """A life began."""

    life: int


class Promised(msgspec.Struct, frozen=True, array_like=True, tag="promised"):
    """No promise went beyond this stamp."""

    upto: Stamp


class Held(msgspec.Struct, frozen=True, array_like=True, tag="entry"):
    """An entry, own or merged."""

    entry: Entry


_encode = msgspec.msgpack.Encoder().encode
_Record = Life | Promised | Held | Snapshot | Holes
_decode = msgspec.msgpack.Decoder(_Record).decode


class Kept:
    """A log and its journal. All that changes the log goes through here.

    `notes` say what could not be read or written, a line each. `wall_ms`: ms since 1970; `chance`: 16 bits
    that another start at the same ms would hardly draw. A journal that can't be written yet refuses appends.
    """

    def __init__(self, journal: Records, name: str, bounds: Bounds, wall_ms: int, chance: int) -> None:
        self.journal = journal
        self.notes: list[str] = []
        self.log = Log(name, 0, bounds)
        self._lived = 0
        self._promised = Stamp(0, 0)
        self._sound = True  # the journal has all that the log has, and nothing else
        self.given = False  # the journal is another process's
        self._spent = 0  # bytes of records that a new journal would not have
        self._renewal: Renewal | None = None
        self._unsynced = False  # others' entries or a promise were written since the last sync
        self._forgot = 0  # of the log, when the journal was last begun anew
        self._recover()
        self.log.life = self._lived = max(_life(wall_ms, chance), max(self._lived, self.log.outlived) + 1)
        self._sound = False
        self._try([])

    def _recover(self) -> None:
        for count, record in enumerate(self.journal.records(), 1):
            try:
                kept = _decode(record)
            except (msgspec.DecodeError, UnicodeError):
                kept = None
            if kept is None or not self._take(kept):
                self.notes.append(f"journal of the fleet: record {count} means nothing, the rest is left out")
                return

    def _take(self, kept: _Record) -> bool:
        if isinstance(kept, Life):
            self._lived = max(self._lived, kept.life)
            return True
        if isinstance(kept, Promised):
            self._promised = self.log.clock = max(self.log.clock, kept.upto)
            return True
        if isinstance(kept, Held):
            return self.log.restore(kept.entry)
        try:
            self.log.take_snapshot(kept)
        except BadEntry:
            return False
        return True

    def _all(self) -> Iterator[bytes]:
        """All records that stand now, whatever comes while they are taken."""
        first: list[_Record] = [Life(self._lived), Promised(self._promised), *self.log.snapshots()]
        holes = [piece for piece in self.log.snapshots_for({}) if isinstance(piece, Holes)]
        rows = [list(chain.entries) for _, chain in sorted(self.log.chains.items())]
        return self._encoded([*first, *holes], rows)

    def _encoded(self, first: list[_Record], rows: list[list[Entry | None]]) -> Iterator[bytes]:
        yield from map(_encode, first)
        for row in rows:
            for entry in row:
                if entry is not None:
                    yield _encode(Held(entry))

    def sync(self) -> None:
        """What was merged and promised so far outlives a power cut; asked for before this gateway says that
        it holds it. Once for all that came since the last time."""
        if self._unsynced and self._sound:
            self._unsynced = False
            try:
                self.journal.sync()
            except OSError as error:
                self._failed(error)

    @property
    def busy(self) -> bool:
        """Whether there is something for `work` to do."""
        return self._renewal is not None or bool(self.log.shrinking)

    def work(self, most: int) -> None:
        """Goes on with a compaction, then with writing the journal anew, `most` bytes of it: at a stretch a
        million entries would hold all else up for seconds."""
        if self.log.shrinking:
            self.log.shrink(SHRUNK)
            self._look_at_spent()
            return
        renewal = self._renewal
        if renewal is None:
            return
        try:
            if renewal.go_on(most):
                self._renewal = None
        except OSError as error:
            self._renewal = None  # the old one goes on; again when as much more could be left out
            renewal.anew.abort()
            self._note(error)

    def begin(self, wall_ms: int, chance: int, outlived: int = 0) -> int:
        """A new life within this process, beyond `outlived`: the fleet has let the old one go. Raises
        OSError, and then the old one goes on."""
        life = max(_life(wall_ms, chance), max(self._lived, outlived, self.log.outlived) + 1)
        self._write([Life(life)])
        self.journal.sync()
        self._lived = life
        self.log.begin(life)
        return life

    @property
    def form(self) -> int:
        """In which the journal is kept."""
        return self.journal.version

    def raised(self, form: int) -> None:
        """The journal is kept in a newer form from here on."""
        self.journal.version = form
        self._sound = False
        self._try([])

    def give(self) -> None:
        """Writes no more: another process may open the journal. What was being written anew is dropped: put
        in place later, it would be over the other's."""
        self.given = True
        if self._renewal is not None:
            self._renewal.anew.abort()
            self._renewal = None
        self.journal.close()

    def promise(self, wall_ms: int) -> Stamp:
        """A stamp that all that is appended from now on, in a later life too, stands behind."""
        if self._forgot != self.log.forgot and self._renewal is None:
            # Guards against lives that are over and come back with each start, to be named again.
            self._forgot = self.log.forgot
            self._renew()
        promise = self.log.promise(wall_ms)
        if promise > self._promised:
            self._promised = Stamp(promise.ms + PROMISED_MS, 0)
            self._spent += 32
            self._try([Promised(self._promised)])
        return promise

    def append(self, channel: str, value: object, wall_ms: int, must: bool = False) -> Entry:
        """An entry that outlives this process. Raises log.Refused, OSError; then nothing was appended."""
        entry = self.log.draft(channel, value, wall_ms, must)
        self._write([Held(entry)])
        try:
            self.journal.sync()
        except OSError:
            self._sound = False  # the record may stand there, and its number is given out again
            raise
        self._unsynced = False
        self.log.accept(entry)
        return entry

    def merge(self, entries: Sequence[Entry], wall_ms: int) -> list[Entry]:
        """The new ones. A journal that can't be written does not stop it: a peer has them still. Raises
        log.BadEntry."""
        new = self.log.merge(entries, wall_ms)
        self._try([Held(entry) for entry in new])
        return new

    def take_snapshot(self, piece: Snapshot | Holes) -> bool:
        """Raises log.BadEntry."""
        news = self.log.take_snapshot(piece)
        if news:
            self._try([piece])
        return news

    def compact(self, channel: str, upto: Stamp, value: object) -> Snapshot:
        """Raises log.Refused."""
        snapshot = self.log.compact(channel, upto, value)
        self._try([snapshot])
        self._look_at_spent()
        return snapshot

    def _look_at_spent(self) -> None:
        spent = self._spent + self.log.freed
        if not self.busy and spent > max(SLACK, self.log.bytes_held() // PART):
            self._renew()

    def _renew(self) -> None:
        if self.given:
            return
        self._spent = -self.log.freed
        try:
            self._renewal = Renewal(self.journal.begin_rewrite(), self._all())
        except OSError as error:
            self._note(error)

    def _try(self, records: Sequence[_Record]) -> None:
        try:
            self._write(records)
        except OSError as error:
            self._failed(error)

    def _failed(self, error: OSError) -> None:
        self._sound = False
        self._note(error)

    def _note(self, error: OSError) -> None:
        line = f"journal of the fleet can't be written: {error}"
        if line not in self.notes:
            self.notes.append(line)

    def _write(self, records: Sequence[_Record]) -> None:
        """Raises OSError, and then nothing of them counts."""
        if self.given:
            # Guards against two writers: a restart here would put a file in place of the other's.
            raise OSError("the journal is another process's")
        if not self._sound:
            if self._renewal is not None:
                self._renewal.anew.abort()
                self._renewal = None
            self.journal.rewrite(self._all())  # guards against a gap, or a number with two bodies
            self._sound, self._spent, self._forgot = True, -self.log.freed, self.log.forgot
        for record in records:
            data = _encode(record)
            try:
                self.journal.append(data)
            except OSError:
                self._sound = False
                raise
            if self._renewal is not None:
                self._renewal.since.append(data)
        self._unsynced = self._unsynced or bool(records)


def _life(wall_ms: int, chance: int) -> int:
    return wall_ms << LIFE_BITS | chance % (1 << LIFE_BITS)
