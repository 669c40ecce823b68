"""Write locks: RFC 4918 sections 6, 7 and 9.10. Free of I/O; times and tokens are passed in.

A lock has a root, a depth (0 or infinity) and a scope. A lock of infinite depth covers all current and
future resources below its root. Locks are bounded in number and time; an expired lock has no effect. For a
lock on an unmapped URL the namespace creates a locked empty resource.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from heapq import heappop, heappush
from math import inf

from ochrecourse.common.time_units import SECOND
from ochrecourse.webdav.paths import Path, is_within

MAX_TIMEOUT = 3600 * SECOND  # ns until a lock must be refreshed
MAX_LOCKS = 100_000  # at a time; each needs less than 1 KiB of memory


@dataclass(slots=True)
class Lock:
    """A lock. `owner` is XML from the client, returned unchanged; `expires` in ns."""

    token: str
    root: Path
    exclusive: bool
    infinite: bool
    owner: str
    principal: str
    expires: int

    def covers(self, path: Path) -> bool:
        """Returns whether the lock applies to the resource at `path`."""
        return self.root == path or (self.infinite and is_within(path, self.root))


class LockConflictError(Exception):
    """Other locks conflict with a request; `roots` are theirs, for the body of the 423."""

    def __init__(self, locks: Iterable[Lock]) -> None:
        self.roots = sorted({lock.root for lock in locks})
        super().__init__(f"locked at {len(self.roots)} roots")


class TooManyLocksError(Exception):
    """The maximum number of locks is reached."""


class LockTable:
    """All locks. The caller supplies the tokens, which must not be guessable."""

    def __init__(self, max_locks: int = MAX_LOCKS) -> None:
        self.max_locks = max_locks
        self.expirations: list[tuple[int, str]] = []  # a heap of expiration times and tokens
        self.by_token: dict[str, Lock] = {}
        self.by_root: dict[Path, list[Lock]] = {}

    def expire(self, now: int) -> list[Lock]:
        """Removes and returns the expired locks."""
        expired = []
        while self.expirations and self.expirations[0][0] <= now:
            _, token = heappop(self.expirations)
            lock = self.by_token.get(token)
            if lock is not None and lock.expires <= now:
                self._drop(lock)
                expired.append(lock)
            elif lock is not None:
                heappush(self.expirations, (lock.expires, token))  # was refreshed
        return expired

    def next_expiration(self) -> float:
        """Returns the earliest time at which a lock may expire; infinity without locks."""
        return self.expirations[0][0] if self.expirations else inf

    def covering(self, path: Path) -> list[Lock]:
        """Returns the locks that cover a path: those on it, and those of infinite depth on its ancestors."""
        found = []
        for length in range(len(path) + 1):
            found += [lock for lock in self.by_root.get(path[:length], ()) if lock.covers(path)]
        return found

    def rooted_below(self, path: Path) -> list[Lock]:
        """Returns the locks whose roots are at a path or below it."""
        return [lock for root, locks in self.by_root.items() if is_within(root, path) for lock in locks]

    def create(
        self,
        path: Path,
        exclusive: bool,
        infinite: bool,
        owner: str,
        principal: str,
        timeout: int,
        now: int,
        token: str,
    ) -> Lock:
        """Creates a lock (9.10.1); `timeout` in ns, reduced to MAX_TIMEOUT.

        Raises LockConflictError, TooManyLocksError.
        """
        self.expire(now)
        overlapping = self.covering(path) + (
            [lock for lock in self.rooted_below(path) if lock.root != path] if infinite else []
        )
        if exclusive and overlapping:
            raise LockConflictError(overlapping)
        if any(lock.exclusive for lock in overlapping):
            raise LockConflictError([lock for lock in overlapping if lock.exclusive])
        if len(self.by_token) >= self.max_locks:
            raise TooManyLocksError(f"{self.max_locks} locks stand")
        expires = now + min(max(timeout, SECOND), MAX_TIMEOUT)
        lock = Lock(token, path, exclusive, infinite, owner, principal, expires)
        self.add(lock)
        return lock

    def add(self, lock: Lock) -> None:
        """Adds a lock without checks."""
        self.by_token[lock.token] = lock
        self.by_root.setdefault(lock.root, []).append(lock)
        heappush(self.expirations, (lock.expires, lock.token))

    def shift_times(self, offset: int) -> None:
        """Adds `offset` ns to all expiration times."""
        for lock in self.by_token.values():
            lock.expires += offset
        self.expirations = sorted((lock.expires, lock.token) for lock in self.by_token.values())

    def refresh(self, token: str, path: Path, timeout: int, now: int) -> Lock | None:
        """Restarts a lock's timeout (9.10.2); returns None if no such lock covers the path."""
        self.expire(now)
        lock = self.by_token.get(token)
        if lock is None or not lock.covers(path):
            return None
        lock.expires = now + min(max(timeout, SECOND), MAX_TIMEOUT)
        return lock

    def release(self, token: str, path: Path, principal: str, now: int) -> bool | None:
        """Removes a lock (9.11). False: it is of another principal. None: no such lock covers the path."""
        self.expire(now)
        lock = self.by_token.get(token)
        if lock is None or not lock.covers(path):
            return None
        if lock.principal != principal:
            return False
        self._drop(lock)
        return True

    def check_write(
        self, path: Path, tokens: Iterable[str], principal: str, now: int, members: bool = False
    ) -> None:
        """Checks that the lock owner submitted the token of each lock that protects `path` (7.5, 6.4).

        Of shared locks with the same root one suffices. `members`: the write affects the whole tree below, so
        locks there are checked too. Raises LockConflictError.
        """
        self.expire(now)
        submitted = set(tokens)
        overlapping = self.covering(path) + (self.rooted_below(path) if members else [])
        exclusive = [lock for lock in overlapping if lock.exclusive]
        blocking = [lock for lock in exclusive if lock.token not in submitted or lock.principal != principal]
        shared = [lock for lock in overlapping if not lock.exclusive]
        for root in {lock.root for lock in shared}:
            at_root = [lock for lock in shared if lock.root == root]
            if not any(lock.token in submitted and lock.principal == principal for lock in at_root):
                blocking += at_root
        if blocking:
            raise LockConflictError(blocking)

    def remove_tree(self, path: Path) -> None:
        """Removes the locks of a tree that is deleted or moved (7.7, 9.6)."""
        for lock in self.rooted_below(path):
            self._drop(lock)

    def _drop(self, lock: Lock) -> None:
        self.by_token.pop(lock.token, None)
        at_root = self.by_root.get(lock.root, [])
        if lock in at_root:
            at_root.remove(lock)
        if not at_root:
            self.by_root.pop(lock.root, None)
