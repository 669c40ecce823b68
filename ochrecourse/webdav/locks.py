"""Locks of the namespace: RFC 4918 sections 6, 7 and 9.10. Free of I/O; clock and randomness are handed in.

A lock has a root, a depth (0 or infinity) and a scope. An infinite lock covers what lies below its root, now
and later. Locks are bounded in number and time; one that ran out is as if it had never been. A lock on a path
that is not mapped belongs to an empty resource that the namespace makes for it.
"""

from __future__ import annotations

from ochrecourse.common.time_units import SECOND

from collections.abc import Iterable
from dataclasses import dataclass
from heapq import heappop, heappush
from math import inf

from ochrecourse.webdav.paths import Path, inside

LONGEST = 3600 * SECOND  # ns that a lock lasts at the most before it must be refreshed
MOST = 100_000  # locks at once; each takes under a KiB


@dataclass(slots=True)
class Lock:
    """One lock. `owner` is the client's own XML, given back as it came; `expires` in ns."""

    token: str
    root: Path
    exclusive: bool
    infinite: bool
    owner: str
    principal: str
    expires: int

    def covers(self, path: Path) -> bool:
        return self.root == path or (self.infinite and inside(path, self.root))


class Conflict(Exception):
    """A lock stands in the way; `roots` are those of the locks, for the body of the 423."""

    def __init__(self, locks: Iterable[Lock]) -> None:
        self.roots = sorted({lock.root for lock in locks})
        super().__init__(f"locked at {len(self.roots)} roots")


class TooMany(Exception):
    """No further lock is taken."""


class Locks:
    """All locks. Tokens come from whoever takes one, and must be unguessable."""

    def __init__(self, most: int = MOST) -> None:
        self.most = most
        self.due: list[tuple[int, str]] = []  # a heap of times at which locks may run out, and their tokens
        self.by_token: dict[str, Lock] = {}
        self.by_root: dict[Path, list[Lock]] = {}

    def expire(self, now: int) -> list[Lock]:
        """Drops and returns the locks that ran out."""
        gone = []
        while self.due and self.due[0][0] <= now:
            _, token = heappop(self.due)
            lock = self.by_token.get(token)
            if lock is not None and lock.expires <= now:
                self._drop(lock)
                gone.append(lock)
            elif lock is not None:
                heappush(self.due, (lock.expires, token))  # it was refreshed
        return gone

    def next_due(self) -> float:
        """When the next lock may run out; infinity without one."""
        return self.due[0][0] if self.due else inf

    def covering(self, path: Path) -> list[Lock]:
        """The locks that cover a path: its own, and infinite ones of its ancestors."""
        found = []
        for length in range(len(path) + 1):
            found += [lock for lock in self.by_root.get(path[:length], ()) if lock.covers(path)]
        return found

    def below(self, path: Path) -> list[Lock]:
        """The locks whose roots lie at a path or below it."""
        return [lock for root, locks in self.by_root.items() if inside(root, path) for lock in locks]

    def take(
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
        """A new lock (9.10.1). Raises Conflict, TooMany. `timeout` in ns; at most the longest is given."""
        self.expire(now)
        standing = self.covering(path) + (
            [lock for lock in self.below(path) if lock.root != path] if infinite else []
        )
        if exclusive and standing:
            raise Conflict(standing)
        if any(lock.exclusive for lock in standing):
            raise Conflict([lock for lock in standing if lock.exclusive])
        if len(self.by_token) >= self.most:
            raise TooMany(f"{self.most} locks stand")
        expires = now + min(max(timeout, SECOND), LONGEST)
        lock = Lock(token, path, exclusive, infinite, owner, principal, expires)
        self.put(lock)
        return lock

    def put(self, lock: Lock) -> None:
        """Keeps a lock as it is."""
        self.by_token[lock.token] = lock
        self.by_root.setdefault(lock.root, []).append(lock)
        heappush(self.due, (lock.expires, lock.token))

    def shift(self, by: int) -> None:
        """Moves all times by so many ns."""
        for lock in self.by_token.values():
            lock.expires += by
        self.due = sorted((lock.expires, lock.token) for lock in self.by_token.values())

    def refresh(self, token: str, path: Path, timeout: int, now: int) -> Lock | None:
        """Starts a lock's time anew (9.10.2); None if it does not cover the path, or is not there."""
        self.expire(now)
        lock = self.by_token.get(token)
        if lock is None or not lock.covers(path):
            return None
        lock.expires = now + min(max(timeout, SECOND), LONGEST)
        return lock

    def release(self, token: str, path: Path, principal: str, now: int) -> bool | None:
        """UNLOCK (9.11): True if done, False if it is another's, None if no such lock covers the path."""
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
        """Raises Conflict unless every lock in the way of a write was submitted by who holds it (7.5, 6.4).

        `members`: the write adds, removes or replaces the whole tree below, so its locks are in the way too.
        """
        self.expire(now)
        held = set(tokens)
        standing = self.covering(path) + (self.below(path) if members else [])
        exclusive = [lock for lock in standing if lock.exclusive]
        wrong = [lock for lock in exclusive if lock.token not in held or lock.principal != principal]
        shared = [lock for lock in standing if not lock.exclusive]
        for root in {lock.root for lock in shared}:
            at_root = [lock for lock in shared if lock.root == root]
            if not any(lock.token in held and lock.principal == principal for lock in at_root):
                wrong += at_root
        if wrong:
            raise Conflict(wrong)

    def forget_tree(self, path: Path) -> None:
        """The locks of a tree that is deleted or moved away go with it (7.7, 9.6)."""
        for lock in self.below(path):
            self._drop(lock)

    def _drop(self, lock: Lock) -> None:
        self.by_token.pop(lock.token, None)
        at_root = self.by_root.get(lock.root, [])
        if lock in at_root:
            at_root.remove(lock)
        if not at_root:
            self.by_root.pop(lock.root, None)
