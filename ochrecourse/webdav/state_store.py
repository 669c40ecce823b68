"""Durable names and locks: each change is written to a journal before it is applied. Free of I/O.

The record of a change contains all its inputs (times, keys, tokens), so that replaying the journal reproduces
the tree with its entity tags and versions; a change that failed fails again. `StateStore` alone changes tree
and locks. At start the journal is compacted to a snapshot. The journal is passed in
(`storage.journal.Journal`).

The class name of a change, or its `tag`, identifies it in the journal.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator
from typing import Protocol, TypeVar

import msgspec

from ochrecourse.common.time_units import SECOND
from ochrecourse.webdav.locks import Lock, LockConflictError, LockTable, TooManyLocksError
from ochrecourse.webdav.namespace import MAX_RESOURCES, Content, Entry, Namespace, NamespaceError, StagedWrite
from ochrecourse.webdav.paths import Path

KEY_GAP = 1 << 20  # skipped at start: the previous process may have used keys for writes it did not publish


class RecordJournal(Protocol):
    """The methods of a journal that are used here."""

    def records(self) -> Iterator[bytes]:
        """Yields the stored records."""

    def append(self, record: bytes) -> None:
        """Adds a record. Raises OSError."""

    def rewrite(self, records: Iterator[bytes]) -> None:
        """Replaces all records. Raises OSError."""


class InvalidRecordError(Exception):
    """A record that is intact but can't be decoded."""


class Change(msgspec.Struct, tag=True, array_like=True, frozen=True, gc=False):
    """A change; `now` in ns on the clock of the process that wrote it."""


class Publish(Change, frozen=True):
    """Publishes a staged write."""

    now: int
    path: Path
    key: int  # of the staged write
    node_key: int  # of the content at the nodes
    shard: int
    size: int
    content_type: str
    base_tag: str | None

    def apply(self, tree: Namespace, locks: LockTable) -> tuple[Entry, bool]:
        """Applies the change."""
        content = Content(self.node_key, self.shard, self.size, "", self.content_type)
        tree.last_key = max(tree.last_key, self.key)
        return tree.publish(StagedWrite(self.path, self.key, self.base_tag), content, self.now)


class MakeCollection(Change, frozen=True):
    """Creates a collection."""

    now: int
    path: Path

    def apply(self, tree: Namespace, locks: LockTable) -> None:
        """Applies the change."""
        tree.make_collection(self.path, self.now)


class Delete(Change, frozen=True):
    """Deletes a resource with all members."""

    path: Path

    def apply(self, tree: Namespace, locks: LockTable) -> None:
        """Deletes the resource and its locks (RFC 4918 9.6)."""
        tree.delete(self.path)
        locks.remove_tree(self.path)


class Copy(Change, frozen=True):
    """Copies a resource."""

    now: int
    source: Path
    target: Path
    infinite: bool
    overwrite: bool

    def apply(self, tree: Namespace, locks: LockTable) -> bool:
        """Applies the change."""
        return tree.copy(self.source, self.target, self.infinite, self.overwrite, self.now)[0]


class Move(Change, frozen=True):
    """Moves a resource."""

    source: Path
    target: Path
    overwrite: bool

    def apply(self, tree: Namespace, locks: LockTable) -> bool:
        """Moves the resource; its locks are removed, because locks do not move (7.6)."""
        made, _ = tree.move(self.source, self.target, self.overwrite)
        locks.remove_tree(self.source)
        return made


class Patch(Change, frozen=True):
    """Sets and removes dead properties."""

    path: Path
    sets: dict[str, str]
    removes: list[str]

    def apply(self, tree: Namespace, locks: LockTable) -> None:
        """Applies the change."""
        tree.patch(self.path, self.sets, self.removes)


class AcquireLock(Change, tag="Take", frozen=True):
    """Creates a lock; `timeout` in ns."""

    now: int
    path: Path
    exclusive: bool
    infinite: bool
    owner: str
    principal: str
    timeout: int
    token: str

    def apply(self, tree: Namespace, locks: LockTable) -> Lock:
        """Creates the lock and, on an unmapped URL, a locked empty resource (7.3): both or neither."""
        lock = locks.create(
            self.path, self.exclusive, self.infinite, self.owner, self.principal, self.timeout, self.now,
            self.token,
        )  # fmt: skip
        if tree.find(self.path) is None:
            try:
                tree.make_empty(self.path, self.now)
            except NamespaceError:
                locks.release(lock.token, self.path, self.principal, self.now)
                raise
        return lock


class RefreshLock(Change, tag="Refresh", frozen=True):
    """Restarts the timeout of a lock; `timeout` in ns."""

    now: int
    path: Path
    token: str
    timeout: int

    def apply(self, tree: Namespace, locks: LockTable) -> Lock | None:
        """Applies the change."""
        return locks.refresh(self.token, self.path, self.timeout, self.now)


class ReleaseLock(Change, tag="Release", frozen=True):
    """Removes a lock."""

    now: int
    path: Path
    token: str
    principal: str

    def apply(self, tree: Namespace, locks: LockTable) -> bool | None:
        """Applies the change."""
        return locks.release(self.token, self.path, self.principal, self.now)


class ExpireLocks(Change, tag="Expire", frozen=True):
    """Removes expired locks."""

    now: int

    def apply(self, tree: Namespace, locks: LockTable) -> None:
        """Removes expired locks and their locked empty resources (7.3 would allow these to remain)."""
        for lock in locks.expire(self.now):
            entry = tree.find(lock.root)
            if entry is not None and entry.empty and not locks.covering(lock.root):
                tree.delete(lock.root)


class SnapshotHeader(Change, tag="Base", frozen=True):
    """The start of a snapshot: counters; `epoch`: s since 1970 at the zero of the clock of its times."""

    epoch: int
    version: int
    last_key: int

    def apply(self, tree: Namespace, locks: LockTable) -> None:
        """Applies the change."""
        tree.version = tree.dropped_version = self.version
        tree.last_key = self.last_key


class ResourceRecord(Change, tag="Placed", frozen=True):
    """A resource of a snapshot."""

    path: Path
    tag: str
    created: int
    modified: int
    node_key: int  # of the content at the nodes, -1 without content
    shard: int
    size: int
    content_type: str
    collection: bool
    properties: dict[str, str]
    empty: bool
    version: int

    def apply(self, tree: Namespace, locks: LockTable) -> None:
        """Applies the change."""
        content = (
            Content(self.node_key, self.shard, self.size, "", self.content_type)
            if self.node_key >= 0
            else None
        )
        members: dict[str, Entry] | None = {} if self.collection else None
        entry = Entry(
            self.tag, self.created, self.modified, content, members, self.properties, self.empty, self.version
        )  # fmt: skip
        tree.restore(self.path, entry)


class LockRecord(Change, tag="Locked", frozen=True):
    """A lock of a snapshot."""

    token: str
    path: Path
    exclusive: bool
    infinite: bool
    owner: str
    principal: str
    expires: int

    def apply(self, tree: Namespace, locks: LockTable) -> None:
        """Applies the change."""
        lock = Lock(
            self.token, self.path, self.exclusive, self.infinite, self.owner, self.principal, self.expires
        )  # fmt: skip
        locks.add(lock)


_decoder = msgspec.msgpack.Decoder(
    Publish | MakeCollection | Delete | Copy | Move | Patch | AcquireLock | RefreshLock | ReleaseLock
    | ExpireLocks | SnapshotHeader | ResourceRecord | LockRecord
)  # fmt: skip
_encoder = msgspec.msgpack.Encoder()


ChangeT = TypeVar("ChangeT", bound=Change)


class StateStore:
    """Tree and locks, backed by a journal. `epoch`: s since 1970 at the zero of this process's clock."""

    def __init__(
        self,
        journal: RecordJournal,
        new_token: Callable[[], str],
        now: int,
        epoch: int,
        max_resources: int = MAX_RESOURCES,
    ) -> None:
        """Replays the journal and compacts it to a snapshot. Raises InvalidRecordError, OSError."""
        self.journal = journal
        self.new_token = new_token
        self.epoch = epoch
        self.tree = Namespace(now, max_resources)
        self.locks = LockTable()
        self.changes = 0  # since the start
        self._recover(now)

    def publish(self, staged: StagedWrite, content: Content, now: int) -> tuple[Entry, bool]:
        """Publishes a staged write; True if it created a resource. Raises NamespaceError, OSError."""
        location = (content.key, content.shard, content.size, content.content_type)
        return self._append(Publish(now, staged.path, staged.key, *location, staged.base_tag)).apply(
            self.tree, self.locks
        )

    def make_collection(self, path: Path, now: int) -> None:
        """Creates a collection. Raises NamespaceError, OSError."""
        self._append(MakeCollection(now, path)).apply(self.tree, self.locks)

    def delete(self, path: Path) -> None:
        """Deletes a resource with its members and locks. Raises NamespaceError, OSError."""
        self._append(Delete(path)).apply(self.tree, self.locks)

    def copy(self, source: Path, target: Path, infinite: bool, overwrite: bool, now: int) -> bool:
        """Copies a resource; True if it created one. Raises NamespaceError, OSError."""
        return self._append(Copy(now, source, target, infinite, overwrite)).apply(self.tree, self.locks)

    def move(self, source: Path, target: Path, overwrite: bool) -> bool:
        """Moves a resource; True if it created one. Raises NamespaceError, OSError."""
        return self._append(Move(source, target, overwrite)).apply(self.tree, self.locks)

    def patch(self, path: Path, sets: dict[str, str], removes: list[str]) -> None:
        """Sets and removes dead properties. Raises NamespaceError, OSError."""
        self._append(Patch(path, sets, removes)).apply(self.tree, self.locks)

    def acquire(
        self, path: Path, exclusive: bool, infinite: bool, owner: str, principal: str, timeout: int, now: int
    ) -> Lock:
        """Creates a lock. Raises LockConflictError, TooManyLocksError, NamespaceError, OSError."""
        change = AcquireLock(now, path, exclusive, infinite, owner, principal, timeout, self.new_token())
        return self._append(change).apply(self.tree, self.locks)

    def refresh(self, token: str, path: Path, timeout: int, now: int) -> Lock | None:
        """Restarts the timeout of a lock; None if no such lock covers the path. Raises OSError."""
        return self._append(RefreshLock(now, path, token, timeout)).apply(self.tree, self.locks)

    def release(self, token: str, path: Path, principal: str, now: int) -> bool | None:
        """Removes a lock, as `LockTable.release` does. Raises OSError."""
        return self._append(ReleaseLock(now, path, token, principal)).apply(self.tree, self.locks)

    def expire(self, now: int) -> None:
        """Removes expired locks, if there are any. Raises OSError."""
        if self.locks.next_expiration() <= now:
            self._append(ExpireLocks(now)).apply(self.tree, self.locks)

    # --- internals ---

    def _append(self, change: ChangeT) -> ChangeT:
        """Writes a change to the journal; it must not be applied before."""
        self.journal.append(_encoder.encode(change))
        self.changes += 1
        return change

    def _recover(self, now: int) -> None:
        """Replays the journal, adjusts its times to this process's clock, and writes a snapshot."""
        epoch = self.epoch
        for record in self.journal.records():
            try:
                change = _decoder.decode(record)
            except msgspec.DecodeError as error:
                raise InvalidRecordError(f"a record of names and locks can't be read: {error}") from None
            if isinstance(change, SnapshotHeader):
                epoch = change.epoch
            with contextlib.suppress(NamespaceError, LockConflictError, TooManyLocksError):
                change.apply(self.tree, self.locks)
        self._shift_times((epoch - self.epoch) * SECOND)
        self.tree.last_key += KEY_GAP
        self.tree.clear_changes()
        self.journal.rewrite(_encoder.encode(each) for each in self._snapshot())
        self.expire(now)

    def _shift_times(self, offset: int) -> None:
        """Adds `offset` ns to all times of tree and locks."""
        if offset:
            for _, entry in self.tree.walk((), -1):
                entry.created += offset
                entry.modified += offset
            self.locks.shift_times(offset)

    def _snapshot(self) -> Iterator[Change]:
        """Yields records that reproduce the current state."""
        yield SnapshotHeader(self.epoch, self.tree.version, self.tree.last_key)
        for path, entry in self.tree.walk((), -1):
            content = entry.content
            location = (
                (content.key, content.shard, content.size, content.content_type)
                if content
                else (-1, -1, 0, "")
            )
            yield ResourceRecord(
                path, entry.tag, entry.created, entry.modified, *location, entry.is_collection(),
                entry.properties, entry.empty, entry.version,
            )  # fmt: skip
        for lock in self.locks.by_token.values():
            yield LockRecord(
                lock.token, lock.root, lock.exclusive, lock.infinite, lock.owner, lock.principal, lock.expires
            )  # fmt: skip
