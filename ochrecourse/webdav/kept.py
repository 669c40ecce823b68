"""Names and locks that outlive their process: each change is written down before it is made. Free of I/O.

A change is a record of what was asked with all that it needs (times, keys, tokens), so reading the records
makes the same tree again, entity tags and versions included; one that was refused is refused again. `Kept` is
the one place where tree and locks are changed. At a start the records become one snapshot. Where they are
kept is handed in (`storage.journal.Journal`).
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator
from typing import Protocol, TypeVar

import msgspec

from ochrecourse.common.time_units import SECOND
from ochrecourse.webdav.locks import Conflict, Lock, Locks, TooMany
from ochrecourse.webdav.namespace import MOST, Content, Entry, Namespace, Refused, Staged
from ochrecourse.webdav.paths import Path

NEW_LIFE = 1 << 20  # keys left out at a start: the last life may have used some for writes that never showed


class Records(Protocol):
    """What is needed of a journal."""

    def records(self) -> Iterator[bytes]: ...

    def append(self, record: bytes) -> None: ...

    def rewrite(self, records: Iterator[bytes]) -> None: ...


class Unreadable(Exception):
    """A record that is whole but means nothing here."""


class Change(msgspec.Struct, tag=True, array_like=True, frozen=True, gc=False):
    """One change; `now` in ns of its life's clock."""


class Publish(Change, frozen=True):
    now: int
    path: Path
    key: int  # of the write
    at: int  # key at the nodes
    shard: int
    size: int
    kind: str
    found: str | None

    def make(self, tree: Namespace, locks: Locks) -> tuple[Entry, bool]:
        content = Content(self.at, self.shard, self.size, "", self.kind)
        tree.keys = max(tree.keys, self.key)
        return tree.publish(Staged(self.path, self.key, self.found), content, self.now)


class MakeCollection(Change, frozen=True):
    now: int
    path: Path

    def make(self, tree: Namespace, locks: Locks) -> None:
        tree.make_collection(self.path, self.now)


class Delete(Change, frozen=True):
    path: Path

    def make(self, tree: Namespace, locks: Locks) -> None:
        """Its locks go with it (RFC 4918 9.6)."""
        tree.delete(self.path)
        locks.forget_tree(self.path)


class Copy(Change, frozen=True):
    now: int
    source: Path
    target: Path
    infinite: bool
    overwrite: bool

    def make(self, tree: Namespace, locks: Locks) -> bool:
        return tree.copy(self.source, self.target, self.infinite, self.overwrite, self.now)[0]


class Move(Change, frozen=True):
    source: Path
    target: Path
    overwrite: bool

    def make(self, tree: Namespace, locks: Locks) -> bool:
        """Locks do not move (7.6)."""
        made, _ = tree.move(self.source, self.target, self.overwrite)
        locks.forget_tree(self.source)
        return made


class Patch(Change, frozen=True):
    path: Path
    sets: dict[str, str]
    removes: list[str]

    def make(self, tree: Namespace, locks: Locks) -> None:
        tree.patch(self.path, self.sets, self.removes)


class Take(Change, frozen=True):
    now: int
    path: Path
    exclusive: bool
    infinite: bool
    owner: str
    principal: str
    timeout: int
    token: str

    def make(self, tree: Namespace, locks: Locks) -> Lock:
        """A lock on a path that is not mapped comes with an empty resource, or not at all (7.3)."""
        lock = locks.take(
            self.path, self.exclusive, self.infinite, self.owner, self.principal, self.timeout, self.now,
            self.token,
        )  # fmt: skip
        if tree.find(self.path) is None:
            try:
                tree.make_empty(self.path, self.now)
            except Refused:
                locks.release(lock.token, self.path, self.principal, self.now)
                raise
        return lock


class Refresh(Change, frozen=True):
    now: int
    path: Path
    token: str
    timeout: int

    def make(self, tree: Namespace, locks: Locks) -> Lock | None:
        return locks.refresh(self.token, self.path, self.timeout, self.now)


class Release(Change, frozen=True):
    now: int
    path: Path
    token: str
    principal: str

    def make(self, tree: Namespace, locks: Locks) -> bool | None:
        return locks.release(self.token, self.path, self.principal, self.now)


class Expire(Change, frozen=True):
    now: int

    def make(self, tree: Namespace, locks: Locks) -> None:
        """Locks that ran out go, and with them the empty resources that they made (7.3 lets these stay)."""
        for lock in locks.expire(self.now):
            entry = tree.find(lock.root)
            if entry is not None and entry.empty and not locks.covering(lock.root):
                tree.delete(lock.root)


class Base(Change, frozen=True):
    """The start of a snapshot: counters, and s since 1970 at the zero of its life's clock."""

    epoch: int
    version: int
    keys: int

    def make(self, tree: Namespace, locks: Locks) -> None:
        tree.version = tree.forgotten = self.version
        tree.keys = self.keys


class Placed(Change, frozen=True):
    """One resource of a snapshot."""

    path: Path
    tag: str
    created: int
    modified: int
    at: int  # key at the nodes, -1 without content
    shard: int
    size: int
    kind: str
    collection: bool
    properties: dict[str, str]
    empty: bool
    version: int

    def make(self, tree: Namespace, locks: Locks) -> None:
        content = Content(self.at, self.shard, self.size, "", self.kind) if self.at >= 0 else None
        members: dict[str, Entry] | None = {} if self.collection else None
        entry = Entry(
            self.tag, self.created, self.modified, content, members, self.properties, self.empty, self.version
        )  # fmt: skip
        tree.place(self.path, entry)


class Locked(Change, frozen=True):
    """One lock of a snapshot."""

    token: str
    path: Path
    exclusive: bool
    infinite: bool
    owner: str
    principal: str
    expires: int

    def make(self, tree: Namespace, locks: Locks) -> None:
        held = Lock(
            self.token, self.path, self.exclusive, self.infinite, self.owner, self.principal, self.expires
        )  # fmt: skip
        locks.put(held)


_decoder = msgspec.msgpack.Decoder(
    Publish | MakeCollection | Delete | Copy | Move | Patch | Take | Refresh | Release | Expire | Base
    | Placed | Locked
)  # fmt: skip
_encoder = msgspec.msgpack.Encoder()


C = TypeVar("C", bound=Change)


class Kept:
    """Tree and locks over a journal. `epoch`: s since 1970 at the zero of this life's clock."""

    def __init__(
        self, journal: Records, new_token: Callable[[], str], now: int, epoch: int, most: int = MOST
    ) -> None:
        """Reads what the journal holds and writes it anew as a snapshot. Raises Unreadable, OSError."""
        self.journal = journal
        self.new_token = new_token
        self.epoch = epoch
        self.tree = Namespace(now, most)
        self.locks = Locks()
        self.changes = 0  # in this life
        self._recover(now)

    def publish(self, staged: Staged, content: Content, now: int) -> tuple[Entry, bool]:
        """Raises Refused, OSError."""
        where = (content.key, content.shard, content.size, content.kind)
        return self._make(Publish(now, staged.path, staged.key, *where, staged.found)).make(
            self.tree, self.locks
        )

    def make_collection(self, path: Path, now: int) -> None:
        self._make(MakeCollection(now, path)).make(self.tree, self.locks)

    def delete(self, path: Path) -> None:
        self._make(Delete(path)).make(self.tree, self.locks)

    def copy(self, source: Path, target: Path, infinite: bool, overwrite: bool, now: int) -> bool:
        return self._make(Copy(now, source, target, infinite, overwrite)).make(self.tree, self.locks)

    def move(self, source: Path, target: Path, overwrite: bool) -> bool:
        return self._make(Move(source, target, overwrite)).make(self.tree, self.locks)

    def patch(self, path: Path, sets: dict[str, str], removes: list[str]) -> None:
        self._make(Patch(path, sets, removes)).make(self.tree, self.locks)

    def take(
        self, path: Path, exclusive: bool, infinite: bool, owner: str, principal: str, timeout: int, now: int
    ) -> Lock:
        """Raises Conflict, TooMany, Refused, OSError."""
        asked = Take(now, path, exclusive, infinite, owner, principal, timeout, self.new_token())
        return self._make(asked).make(self.tree, self.locks)

    def refresh(self, token: str, path: Path, timeout: int, now: int) -> Lock | None:
        return self._make(Refresh(now, path, token, timeout)).make(self.tree, self.locks)

    def release(self, token: str, path: Path, principal: str, now: int) -> bool | None:
        return self._make(Release(now, path, token, principal)).make(self.tree, self.locks)

    def expire(self, now: int) -> None:
        if self.locks.next_due() <= now:
            self._make(Expire(now)).make(self.tree, self.locks)

    # --- inside ---

    def _make(self, change: C) -> C:
        """Writes a change down; only then may it be made."""
        self.journal.append(_encoder.encode(change))
        self.changes += 1
        return change

    def _recover(self, now: int) -> None:
        epoch = self.epoch
        for record in self.journal.records():
            try:
                change = _decoder.decode(record)
            except msgspec.DecodeError as trouble:
                raise Unreadable(f"a record of names and locks can't be read: {trouble}") from None
            if isinstance(change, Base):
                epoch = change.epoch
            with contextlib.suppress(Refused, Conflict, TooMany):
                change.make(self.tree, self.locks)
        self._shift((epoch - self.epoch) * SECOND)
        self.tree.keys += NEW_LIFE
        self.tree.forget_changes()
        self.journal.rewrite(_encoder.encode(each) for each in self._snapshot())
        self.expire(now)

    def _shift(self, by: int) -> None:
        """Times of the last life's clock as this life's clock tells them."""
        if by:
            for _, entry in self.tree.walk((), -1):
                entry.created += by
                entry.modified += by
            self.locks.shift(by)

    def _snapshot(self) -> Iterator[Change]:
        yield Base(self.epoch, self.tree.version, self.tree.keys)
        for path, entry in self.tree.walk((), -1):
            held = entry.content
            where = (held.key, held.shard, held.size, held.kind) if held else (-1, -1, 0, "")
            yield Placed(
                path, entry.tag, entry.created, entry.modified, *where, entry.is_collection(),
                entry.properties, entry.empty, entry.version,
            )  # fmt: skip
        for lock in self.locks.by_token.values():
            yield Locked(
                lock.token, lock.root, lock.exclusive, lock.infinite, lock.owner, lock.principal, lock.expires
            )  # fmt: skip
