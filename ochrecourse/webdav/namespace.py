"""The tree of collections and files, with their properties: RFC 4918 sections 5, 8 and 9. Free of I/O and
clocks.

It holds names, entity tags, sizes and where the bytes lie, never the bytes. Each change is whole or not done:
what would fail half-way is found before anything is changed. A write is staged first (`stage`, then `publish`
or nothing), so a body that breaks off leaves the old object as it was, and a reader that began keeps the
version it began with. Versions rise for the whole tree, so a client can ask what changed since one (RFC
6578).
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from ochrecourse.webdav.paths import Path, inside

MOST = 2_000_000  # resources; each takes under a KiB
MOST_PROPERTIES = 256  # of one resource, set by clients
LONGEST_PROPERTY = 65_536  # bytes of one
KEPT_CHANGES = 100_000  # that a sync token may be behind; older ones are refused and the client starts anew


class Refused(Exception):
    """A method that can't be done; `status` is the response that is due, the text says why."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclass(slots=True)
class Content:
    """Where the bytes of one version of a file lie. `key` is never used again for other bytes."""

    key: int
    shard: int
    size: int
    digest: str = ""
    kind: str = "application/octet-stream"


@dataclass(slots=True)
class Entry:
    """One resource. `members` is None for a file; `empty` marks one that a lock made (RFC 4918 7.3)."""

    tag: str
    created: int  # ns
    modified: int  # ns
    content: Content | None = None
    members: dict[str, Entry] | None = None
    properties: dict[str, str] = field(default_factory=dict)
    empty: bool = False
    version: int = 0

    def is_collection(self) -> bool:
        return self.members is not None

    def weight(self) -> int:
        """Bytes of its files, all below included."""
        own = self.content.size if self.content else 0
        return own + sum(member.weight() for member in (self.members or {}).values())


@dataclass(slots=True)
class Staged:
    """A write that is under way: where it will appear, and the entity tag that it found there."""

    path: Path
    key: int
    found: str | None


class Changed(NamedTuple):
    """Paths that changed; `upto`: the version that a client knows then; `cut`: there is more."""

    paths: list[Path]
    upto: int
    cut: bool


class Namespace:
    """One tree. `size` counts its resources, the root too."""

    def __init__(self, now: int, most: int = MOST) -> None:
        self.version = 0
        self.keys = 0
        self.most = most
        self.size = 1
        self.used: Counter[str] = Counter()  # bytes of files, by first segment
        self.root = Entry(self._tag(), now, now, members={})
        self.changes: deque[tuple[int, Path, bool]] = deque()  # version, path, whether it is there
        self.forgotten = 0  # the newest version of which changes were dropped

    # --- reading ---

    def find(self, path: Path) -> Entry | None:
        """The resource at a path."""
        entry = self.root
        for segment in path:
            if entry.members is None or segment not in entry.members:
                return None
            entry = entry.members[segment]
        return entry

    def walk(self, path: Path, depth: int) -> Iterator[tuple[Path, Entry]]:
        """A resource and its members down to a depth (below 0: all), parents first, names in order.

        It may be left and taken up again while the tree changes; each resource is then seen as it is at that
        moment.
        """
        entry = self.find(path)
        if entry is None:
            return
        waiting = [(path, entry, depth)]
        while waiting:
            at, entry, left = waiting.pop()
            yield at, entry
            if entry.members is not None and left != 0:
                below = sorted(entry.members.items(), reverse=True)
                waiting += [((*at, name), member, left - 1) for name, member in below]

    def changed_since(self, version: int, path: Path, infinite: bool, most: int) -> Changed | None:
        """What changed below a path after a version, each path once, oldest last changes first; None: too
        old or never given. Members of a collection that is new to the client are among the changes.
        """
        if version < self.forgotten or version > self.version:
            return None
        last: dict[Path, int] = {}
        for at, changed, _ in reversed(self.changes):
            if at <= version:
                break
            near = len(changed) == len(path) + 1
            if changed not in last and inside(changed, path) and (near or (infinite and changed != path)):
                last[changed] = at
        found = sorted(((at, changed) for changed, at in last.items()))
        upto = found[most - 1][0] if len(found) > most else self.version
        return Changed([changed for _, changed in found[:most]], upto, len(found) > most)

    # --- writing ---

    def stage(self, path: Path) -> Staged:
        """Begins a PUT (9.7). Raises Refused before a byte of the body is read, if it can't succeed."""
        entry = self.find(path)
        if entry is not None and entry.is_collection():
            raise Refused(405, "a collection is there")
        if entry is None:
            self._parent(path, 409)
            self._room(1)
        self.keys += 1
        return Staged(path, self.keys, entry.tag if entry else None)

    def publish(self, staged: Staged, content: Content, now: int) -> tuple[Entry, bool]:
        """Makes a staged write visible, all at once; True if it made a new resource. Raises Refused if what
        it was staged for has gone, become a collection, or was changed by another since.
        """
        entry = self.find(staged.path)
        if entry is not None and entry.is_collection():
            raise Refused(409, "a collection took its place")
        if (entry.tag if entry else None) != staged.found:
            raise Refused(412, "another write came first")
        made = entry is None
        if entry is None:
            parent = self._parent(staged.path, 409)
            self._room(1)
            entry = Entry(self._tag(), now, now)
            assert parent.members is not None
            parent.members[staged.path[-1]] = entry
            self.size += 1
        self.used[staged.path[0]] += content.size - (entry.content.size if entry.content else 0)
        made = made or entry.empty
        entry.tag, entry.modified, entry.content, entry.empty = self._tag(), now, content, False
        self._changed(staged.path, entry)
        return entry, made

    def make_collection(self, path: Path, now: int) -> Entry:
        """MKCOL (9.3)."""
        existing = self.find(path)
        if existing is not None and not existing.empty:
            raise Refused(405, "something is there already")
        parent = self._parent(path, 409)
        assert parent.members is not None
        if existing is None:
            self._room(1)
            self.size += 1
        entry = Entry(self._tag(), now, now, members={})
        parent.members[path[-1]] = entry
        self._changed(path, entry)
        return entry

    def make_empty(self, path: Path, now: int) -> Entry:
        """The empty resource of a lock on a path that is not mapped (7.3)."""
        parent = self._parent(path, 409)
        self._room(1)
        entry = Entry(self._tag(), now, now, content=None, empty=True)
        assert parent.members is not None
        parent.members[path[-1]] = entry
        self.size += 1
        self._changed(path, entry)
        return entry

    def delete(self, path: Path) -> list[Content]:
        """DELETE (9.6): the whole tree below goes; what its files held is returned."""
        if not path:
            raise Refused(403, "the root stays")
        entry = self.find(path)
        if entry is None:
            raise Refused(404, "nothing is there")
        freed = self._forget(path, entry)
        parent = self._parent(path, 404)
        assert parent.members is not None
        del parent.members[path[-1]]
        return freed

    def copy(
        self, source: Path, target: Path, infinite: bool, overwrite: bool, now: int
    ) -> tuple[bool, list[Content]]:
        """COPY (9.8): True if it made a new resource; what was replaced is returned. Bytes are shared, not
        copied: a version's bytes never change.
        """
        entry = self._movable(source, target, overwrite)
        count = sum(1 for _ in self.walk(source, -1 if infinite else 0))
        replaced = self.find(target)
        spare = sum(1 for _ in self.walk(target, -1)) if replaced else 0
        self._room(count - spare)
        fresh = self._cloned(entry, infinite, now)
        freed = self._put(target, fresh)
        return replaced is None, freed

    def move(self, source: Path, target: Path, overwrite: bool) -> tuple[bool, list[Content]]:
        """MOVE (9.9): one change, so nobody sees both or neither. Tags and times go along."""
        entry = self._movable(source, target, overwrite)
        if inside(target, source):
            raise Refused(403, "a collection can't move into itself")
        made = self.find(target) is None
        parent = self._parent(source, 404)
        assert parent.members is not None
        for at, _ in list(self.walk(source, -1)):
            self._note(at, False)
        del parent.members[source[-1]]
        self.size -= self._count(entry)
        self.used[source[0]] -= entry.weight()
        freed = self._put(target, entry)
        return made, freed

    def patch(self, path: Path, sets: dict[str, str], removes: list[str]) -> Entry:
        """PROPPATCH (9.2): all of it or nothing."""
        entry = self.find(path)
        if entry is None:
            raise Refused(404, "nothing is there")
        after = {name: value for name, value in entry.properties.items() if name not in removes} | sets
        if len(after) > MOST_PROPERTIES or any(
            len(value.encode()) > LONGEST_PROPERTY for value in sets.values()
        ):
            raise Refused(507, f"at most {MOST_PROPERTIES} properties of {LONGEST_PROPERTY} bytes")
        entry.properties = after
        self._changed(path, entry)
        return entry

    def place(self, path: Path, entry: Entry) -> None:
        """Puts a resource of a snapshot where it was; its collection is there already."""
        if not path:
            self.root = entry
            return
        parent = self._parent(path, 409)
        assert parent.members is not None
        parent.members[path[-1]] = entry
        self.size += 1
        self.used[path[0]] += entry.content.size if entry.content else 0

    def forget_changes(self) -> None:
        """What changed until now is no longer told; clients that synchronize start anew."""
        self.changes.clear()
        self.forgotten = self.version

    # --- inside ---

    def _movable(self, source: Path, target: Path, overwrite: bool) -> Entry:
        entry = self.find(source)
        if entry is None:
            raise Refused(404, "nothing is there")
        if not source or not target or inside(source, target):
            raise Refused(403, "source and target contain each other")
        self._parent(target, 409)
        if self.find(target) is not None and not overwrite:
            raise Refused(412, "something is there, and Overwrite is F")
        return entry

    def _put(self, target: Path, entry: Entry) -> list[Content]:
        replaced = self.find(target)
        freed = self._forget(target, replaced) if replaced else []
        parent = self._parent(target, 409)
        assert parent.members is not None
        parent.members[target[-1]] = entry
        self.size += self._count(entry)
        self.used[target[0]] += entry.weight()
        for at, each in list(self.walk(target, -1)):
            self._changed(at, each)
        return freed

    def _cloned(self, entry: Entry, infinite: bool, now: int) -> Entry:
        members: dict[str, Entry] | None = None
        if entry.members is not None:
            below = entry.members.items() if infinite else ()
            members = {name: self._cloned(member, True, now) for name, member in below}
        return Entry(self._tag(), now, now, entry.content, members, dict(entry.properties), entry.empty)

    def _forget(self, path: Path, entry: Entry) -> list[Content]:
        freed = []
        for at, each in list(self.walk(path, -1)):
            self._note(at, False)
            if each.content is not None:
                freed.append(each.content)
        self.size -= self._count(entry)
        self.used[path[0]] -= entry.weight()
        return freed

    def _parent(self, path: Path, status: int) -> Entry:
        if not path:
            raise Refused(405, "the root is there")
        parent = self.find(path[:-1])
        if parent is None or not parent.is_collection():
            raise Refused(status, "there is no collection to hold it")
        return parent

    def _room(self, more: int) -> None:
        if self.size + more > self.most:
            raise Refused(507, f"{self.most} resources are held at the most")

    def _count(self, entry: Entry) -> int:
        return 1 + sum(self._count(member) for member in (entry.members or {}).values())

    def _tag(self) -> str:
        """A strong entity tag that no other version of anything in this tree has."""
        self.version += 1
        return f'"{self.version:x}"'

    def _changed(self, path: Path, entry: Entry) -> None:
        self._note(path, True)
        entry.version = self.version

    def _note(self, path: Path, there: bool) -> None:
        self.version += 1
        self.changes.append((self.version, path, there))
        while len(self.changes) > KEPT_CHANGES:
            self.forgotten = self.changes.popleft()[0]
