"""The tree of collections and files, with their properties: RFC 4918 sections 5, 8 and 9. Free of I/O and
clocks.

It stores names, entity tags, sizes and the locations of contents, not the contents. Each change is atomic:
all checks precede the first modification. A write is staged first (`stage`, then `publish` or nothing), so an
incomplete body leaves the old object unchanged, and a reader continues with the version at its start. Version
numbers increase across the whole tree, so a client can request the changes since a version (RFC 6578).
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from ochrecourse.webdav.paths import Path, is_within

MAX_RESOURCES = 2_000_000  # in one tree; each needs less than 1 KiB of memory
MAX_PROPERTIES = 256  # dead properties of one resource
MAX_PROPERTY_BYTES = 65_536  # of one value
MAX_LOGGED_CHANGES = 100_000  # a client with an older sync-token must start again from a full listing


class NamespaceError(Exception):
    """A method that fails; `status` is that of the response, the text its body."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclass(slots=True)
class Content:
    """The location of the content of one version of a file. `key` is not reused for other content."""

    key: int
    shard: int
    size: int
    digest: str = ""
    content_type: str = "application/octet-stream"


@dataclass(slots=True)
class Entry:
    """A resource. `members` is None for a file; `empty`: a locked empty resource (RFC 4918 7.3)."""

    tag: str
    created: int  # ns
    modified: int  # ns
    content: Content | None = None
    members: dict[str, Entry] | None = None
    properties: dict[str, str] = field(default_factory=dict)
    empty: bool = False
    version: int = 0

    def is_collection(self) -> bool:
        """Returns whether the resource is a collection."""
        return self.members is not None

    def total_size(self) -> int:
        """Returns the bytes of all files in the resource."""
        own = self.content.size if self.content else 0
        return own + sum(member.total_size() for member in (self.members or {}).values())


@dataclass(slots=True)
class StagedWrite:
    """A write under way: its path and key, and the entity tag of the resource when the write started."""

    path: Path
    key: int
    base_tag: str | None


class ChangedPaths(NamedTuple):
    """Changed paths; `version`: the version up to which they are complete; `truncated`: there are more."""

    paths: list[Path]
    version: int
    truncated: bool


class Namespace:
    """One tree. `size` is its number of resources, including the root."""

    def __init__(self, now: int, max_resources: int = MAX_RESOURCES) -> None:
        self.version = 0
        self.last_key = 0
        self.max_resources = max_resources
        self.size = 1
        self.used: Counter[str] = Counter()  # bytes of files by first segment
        self.root = Entry(self._next_tag(), now, now, members={})
        self.change_log: deque[tuple[int, Path, bool]] = deque()  # version, path, whether it exists
        self.dropped_version = 0  # changes up to this version are no longer known

    # --- reading ---

    def find(self, path: Path) -> Entry | None:
        """Returns the resource at a path, None if unmapped."""
        entry = self.root
        for segment in path:
            if entry.members is None or segment not in entry.members:
                return None
            entry = entry.members[segment]
        return entry

    def walk(self, path: Path, depth: int) -> Iterator[tuple[Path, Entry]]:
        """Yields a resource and its members down to a depth (below 0: all), parents first, sorted by name.

        The tree may change during the iteration; each resource is yielded in its state at that moment.
        """
        entry = self.find(path)
        if entry is None:
            return
        pending = [(path, entry, depth)]
        while pending:
            at, entry, remaining = pending.pop()
            yield at, entry
            if entry.members is not None and remaining != 0:
                children = sorted(entry.members.items(), reverse=True)
                pending += [((*at, name), member, remaining - 1) for name, member in children]

    def changed_since(self, version: int, path: Path, infinite: bool, limit: int) -> ChangedPaths | None:
        """Returns the paths below `path` that changed after a version, each once, by time of last change.

        They include the members of new collections. None: the version is too old or was never issued.
        """
        if version < self.dropped_version or version > self.version:
            return None
        last: dict[Path, int] = {}
        for at, changed, _ in reversed(self.change_log):
            if at <= version:
                break
            is_member = len(changed) == len(path) + 1
            if (
                changed not in last
                and is_within(changed, path)
                and (is_member or (infinite and changed != path))
            ):
                last[changed] = at
        found = sorted(((at, changed) for changed, at in last.items()))
        last_version = found[limit - 1][0] if len(found) > limit else self.version
        return ChangedPaths([changed for _, changed in found[:limit]], last_version, len(found) > limit)

    # --- writing ---

    def stage(self, path: Path) -> StagedWrite:
        """Starts a PUT (9.7). Raises NamespaceError if it can't succeed, before the body is received."""
        entry = self.find(path)
        if entry is not None and entry.is_collection():
            raise NamespaceError(405, "a collection is there")
        if entry is None:
            self._parent(path, 409)
            self._check_capacity(1)
        self.last_key += 1
        return StagedWrite(path, self.last_key, entry.tag if entry else None)

    def publish(self, staged: StagedWrite, content: Content, now: int) -> tuple[Entry, bool]:
        """Makes a staged write visible; True if it created a resource.

        Raises NamespaceError if the resource was deleted, replaced by a collection or changed since `stage`.
        """
        entry = self.find(staged.path)
        if entry is not None and entry.is_collection():
            raise NamespaceError(409, "a collection took its place")
        if (entry.tag if entry else None) != staged.base_tag:
            raise NamespaceError(412, "another write came first")
        made = entry is None
        if entry is None:
            parent = self._parent(staged.path, 409)
            self._check_capacity(1)
            entry = Entry(self._next_tag(), now, now)
            assert parent.members is not None
            parent.members[staged.path[-1]] = entry
            self.size += 1
        self.used[staged.path[0]] += content.size - (entry.content.size if entry.content else 0)
        made = made or entry.empty
        entry.tag, entry.modified, entry.content, entry.empty = self._next_tag(), now, content, False
        self._record_change(staged.path, entry)
        return entry, made

    def make_collection(self, path: Path, now: int) -> Entry:
        """Creates a collection (MKCOL, 9.3). Raises NamespaceError."""
        existing = self.find(path)
        if existing is not None and not existing.empty:
            raise NamespaceError(405, "something is there already")
        parent = self._parent(path, 409)
        assert parent.members is not None
        if existing is None:
            self._check_capacity(1)
            self.size += 1
        entry = Entry(self._next_tag(), now, now, members={})
        parent.members[path[-1]] = entry
        self._record_change(path, entry)
        return entry

    def make_empty(self, path: Path, now: int) -> Entry:
        """Creates the locked empty resource of a lock on an unmapped URL (7.3). Raises NamespaceError."""
        parent = self._parent(path, 409)
        self._check_capacity(1)
        entry = Entry(self._next_tag(), now, now, content=None, empty=True)
        assert parent.members is not None
        parent.members[path[-1]] = entry
        self.size += 1
        self._record_change(path, entry)
        return entry

    def delete(self, path: Path) -> list[Content]:
        """Deletes a resource with all members (9.6); returns its files' contents. Raises NamespaceError."""
        if not path:
            raise NamespaceError(403, "the root stays")
        entry = self.find(path)
        if entry is None:
            raise NamespaceError(404, "nothing is there")
        removed = self._record_removal(path, entry)
        parent = self._parent(path, 404)
        assert parent.members is not None
        del parent.members[path[-1]]
        return removed

    def copy(
        self, source: Path, target: Path, infinite: bool, overwrite: bool, now: int
    ) -> tuple[bool, list[Content]]:
        """Copies a resource (9.8). Returns whether it created a resource, and the replaced contents.

        Contents are shared, not copied: that of a version never changes. Raises NamespaceError.
        """
        entry = self._check_transfer(source, target, overwrite)
        count = sum(1 for _ in self.walk(source, -1 if infinite else 0))
        replaced = self.find(target)
        replaced_count = sum(1 for _ in self.walk(target, -1)) if replaced else 0
        self._check_capacity(count - replaced_count)
        clone = self._clone(entry, infinite, now)
        removed = self._attach(target, clone)
        return replaced is None, removed

    def move(self, source: Path, target: Path, overwrite: bool) -> tuple[bool, list[Content]]:
        """Moves a resource (9.9) atomically, with its entity tags and times. Raises NamespaceError.

        Returns whether it created a resource, and the replaced contents.
        """
        entry = self._check_transfer(source, target, overwrite)
        if is_within(target, source):
            raise NamespaceError(403, "a collection can't move into itself")
        made = self.find(target) is None
        parent = self._parent(source, 404)
        assert parent.members is not None
        for at, _ in list(self.walk(source, -1)):
            self._log_change(at, False)
        del parent.members[source[-1]]
        self.size -= self._count_resources(entry)
        self.used[source[0]] -= entry.total_size()
        removed = self._attach(target, entry)
        return made, removed

    def patch(self, path: Path, sets: dict[str, str], removes: list[str]) -> Entry:
        """Sets and removes dead properties (9.2): all or none. Raises NamespaceError."""
        entry = self.find(path)
        if entry is None:
            raise NamespaceError(404, "nothing is there")
        after = {name: value for name, value in entry.properties.items() if name not in removes} | sets
        if len(after) > MAX_PROPERTIES or any(
            len(value.encode()) > MAX_PROPERTY_BYTES for value in sets.values()
        ):
            raise NamespaceError(507, f"at most {MAX_PROPERTIES} properties of {MAX_PROPERTY_BYTES} bytes")
        entry.properties = after
        self._record_change(path, entry)
        return entry

    def restore(self, path: Path, entry: Entry) -> None:
        """Adds a resource of a snapshot, whose parent was restored before."""
        if not path:
            self.root = entry
            return
        parent = self._parent(path, 409)
        assert parent.members is not None
        parent.members[path[-1]] = entry
        self.size += 1
        self.used[path[0]] += entry.content.size if entry.content else 0

    def clear_changes(self) -> None:
        """Forgets past changes; clients that synchronize must start again from a full listing."""
        self.change_log.clear()
        self.dropped_version = self.version

    # --- internals ---

    def _check_transfer(self, source: Path, target: Path, overwrite: bool) -> Entry:
        """Returns the resource that is to be copied or moved. Raises NamespaceError."""
        entry = self.find(source)
        if entry is None:
            raise NamespaceError(404, "nothing is there")
        if not source or not target or is_within(source, target):
            raise NamespaceError(403, "source and target contain each other")
        self._parent(target, 409)
        if self.find(target) is not None and not overwrite:
            raise NamespaceError(412, "something is there, and Overwrite is F")
        return entry

    def _attach(self, target: Path, entry: Entry) -> list[Content]:
        """Puts a resource at a path; returns the contents that it replaces."""
        replaced = self.find(target)
        removed = self._record_removal(target, replaced) if replaced else []
        parent = self._parent(target, 409)
        assert parent.members is not None
        parent.members[target[-1]] = entry
        self.size += self._count_resources(entry)
        self.used[target[0]] += entry.total_size()
        for at, each in list(self.walk(target, -1)):
            self._record_change(at, each)
        return removed

    def _clone(self, entry: Entry, infinite: bool, now: int) -> Entry:
        members: dict[str, Entry] | None = None
        if entry.members is not None:
            children = entry.members.items() if infinite else ()
            members = {name: self._clone(member, True, now) for name, member in children}
        return Entry(self._next_tag(), now, now, entry.content, members, dict(entry.properties), entry.empty)

    def _record_removal(self, path: Path, entry: Entry) -> list[Content]:
        """Updates counters and the change log for a removed tree; returns the contents of its files."""
        removed = []
        for at, each in list(self.walk(path, -1)):
            self._log_change(at, False)
            if each.content is not None:
                removed.append(each.content)
        self.size -= self._count_resources(entry)
        self.used[path[0]] -= entry.total_size()
        return removed

    def _parent(self, path: Path, status: int) -> Entry:
        """Returns the parent collection. Raises NamespaceError with `status` if there is none."""
        if not path:
            raise NamespaceError(405, "the root is there")
        parent = self.find(path[:-1])
        if parent is None or not parent.is_collection():
            raise NamespaceError(status, "there is no collection to hold it")
        return parent

    def _check_capacity(self, count: int) -> None:
        """Raises NamespaceError if `count` more resources exceed the maximum."""
        if self.size + count > self.max_resources:
            raise NamespaceError(507, f"{self.max_resources} resources are held at the most")

    def _count_resources(self, entry: Entry) -> int:
        return 1 + sum(self._count_resources(member) for member in (entry.members or {}).values())

    def _next_tag(self) -> str:
        """Returns a strong entity tag that is unique within the tree."""
        self.version += 1
        return f'"{self.version:x}"'

    def _record_change(self, path: Path, entry: Entry) -> None:
        self._log_change(path, True)
        entry.version = self.version

    def _log_change(self, path: Path, exists: bool) -> None:
        self.version += 1
        self.change_log.append((self.version, path, exists))
        while len(self.change_log) > MAX_LOGGED_CHANGES:
            self.dropped_version = self.change_log.popleft()[0]
