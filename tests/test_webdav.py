"""The modules of the WebDAV server that are free of I/O: paths, conditions, locks, namespace, mapping, deduplication."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ochrecourse.webdav import conditions as c
from ochrecourse.webdav import mapping, paths
from ochrecourse.webdav.locks import MAX_TIMEOUT, SECOND, LockConflictError, LockTable, TooManyLocksError
from ochrecourse.webdav.namespace import Content, Namespace, NamespaceError
from ochrecourse.webdav.deduplication import Disposition, RequestDeduplicator, RequestIdentity

# --- paths ---


@pytest.mark.parametrize(
    ("target", "path", "collection"),
    [
        ("/", (), True), ("/a", ("a",), False), ("/a/", ("a",), True), ("//a//b", ("a", "b"), False),
        ("/a/./b/../c", ("a", "c"), False), ("/a/..", (), True), ("/a%20b", ("a b",), False), ("/%41", ("A",), False),
        ("/caf%C3%A9", ("caf\u00e9",), False), ("/cafe%CC%81", ("caf\u00e9",), False), ("/%2e%2E/a", None, 400),
        ("/../a", None, 400), ("/a%2Fb", None, 400), ("/a%5Cb", None, 400), ("/a%", None, 400), ("/a%zz", None, 400),
        ("/%ff", None, 400), ("/a%00", None, 400), ("/a?b", None, 400), ("/a#b", None, 400), ("a", None, 400),
        ("/" + "x" * 256, None, 414), ("/a" * 65, None, 414),
    ],
)  # fmt: skip
def test_targets_are_normalized_or_refused(target, path, collection):
    if path is None:
        with pytest.raises(paths.InvalidPathError) as caught:
            paths.parse(target)
        assert caught.value.status == collection
    else:
        assert paths.parse(target) == (path, collection)


@pytest.mark.parametrize(
    ("value", "result"),
    [
        ("http://host/a/b", ("a", "b")), ("https://HOST/a", ("a",)), ("/a", ("a",)), ("http://other/a", 502), ("a/b", 400),
        ("http://host/a?x", 400), ("ftp://host/a", 400), ("http://host", ()),
    ],
)  # fmt: skip
def test_a_destination_on_another_host_is_refused(value, result):
    if isinstance(result, int):
        with pytest.raises(paths.InvalidPathError) as caught:
            paths.parse_destination(value, "host")
        assert caught.value.status == result
    else:
        assert paths.parse_destination(value, "host").path == result


segments = st.text(
    st.characters(exclude_categories=["Cs", "Cc"], exclude_characters="/\\"), min_size=1, max_size=12
)


@settings(max_examples=200, deadline=None)
@given(st.lists(segments.filter(lambda s: s not in (".", "..")), max_size=5))
def test_an_href_parses_to_the_same_path(path_segments):
    path = paths.parse(paths.href(tuple(path_segments), False) if path_segments else "/").path
    assert paths.parse(paths.href(path, True)).path == path


@settings(max_examples=300, deadline=None)
@given(st.text(max_size=60))
def test_any_target_parses_or_raises_invalid_path(text):
    try:
        path = paths.parse("/" + text).path
    except paths.InvalidPathError as caught:
        assert caught.status in (400, 414)
        return
    assert not any(segment in ("", ".", "..") or "/" in segment for segment in path)


# --- conditions ---

MAPPED, UNMAPPED = c.Resource('"5"', 1_000_000_000), c.Resource(None)
EARLIER, EQUAL, LATER = (
    "Sat, 08 Sep 2001 01:46:40 GMT",
    "Sun, 09 Sep 2001 01:46:40 GMT",
    "Mon, 10 Sep 2001 01:46:40 GMT",
)


@pytest.mark.parametrize(
    ("headers", "resource", "is_read", "status"),
    [
        ({}, MAPPED, True, None),
        ({"if-match": "*"}, MAPPED, False, None), ({"if-match": "*"}, UNMAPPED, False, 412),
        ({"if-match": '"5"'}, MAPPED, False, None), ({"if-match": '"4", "5"'}, MAPPED, False, None),
        ({"if-match": '"4"'}, MAPPED, False, 412), ({"if-match": 'W/"5"'}, MAPPED, False, 412),
        ({"if-none-match": "*"}, MAPPED, False, 412), ({"if-none-match": "*"}, UNMAPPED, False, None),
        ({"if-none-match": '"5"'}, MAPPED, True, 304), ({"if-none-match": 'W/"5"'}, MAPPED, True, 304),
        ({"if-none-match": '"4"'}, MAPPED, True, None),
        ({"if-modified-since": EQUAL}, MAPPED, True, 304), ({"if-modified-since": EARLIER}, MAPPED, True, None),
        ({"if-modified-since": EQUAL}, MAPPED, False, None), ({"if-modified-since": "yesterday"}, MAPPED, True, None),
        ({"if-unmodified-since": EARLIER}, MAPPED, False, 412), ({"if-unmodified-since": EQUAL}, MAPPED, False, None),
        # If-Match has precedence over If-Unmodified-Since, If-None-Match over If-Modified-Since.
        ({"if-match": '"5"', "if-unmodified-since": EARLIER}, MAPPED, False, None),
        ({"if-none-match": '"4"', "if-modified-since": LATER}, MAPPED, True, None),
        ({"if-match": '"4"', "if-none-match": '"5"'}, MAPPED, True, 412),
    ],
)  # fmt: skip
def test_conditions_are_evaluated_in_the_order_of_the_rfc(headers, resource, is_read, status):
    assert c.evaluate(headers, resource, is_read) == status


@pytest.mark.parametrize("value", ["5", '"5', '"5" "6"', '"5",, "6"', ""])
def test_invalid_entity_tags_are_rejected(value):
    with pytest.raises(c.InvalidConditionError):
        c.parse_entity_tags(value)


@pytest.mark.parametrize(
    ("value", "ranges"),
    [
        ("bytes=0-4", [(0, 4)]), ("bytes=5-", [(5, 9)]), ("bytes=-3", [(7, 9)]), ("bytes=-30", [(0, 9)]),
        ("bytes=0-99", [(0, 9)]), ("bytes=10-", []), ("bytes=-0", []), ("bytes=0-1,5-6", [(0, 1), (5, 6)]),
        ("bytes=0-4,3-6", [(0, 6)]), ("bytes=5-2", None), ("bytes=a-b", None), ("lines=1-2", None), ("bytes=", None),
        ("bytes=" + ",".join(["0-1"] * 17), None), ("bytes=0-0,20-30", [(0, 0)]),
    ],
)  # fmt: skip
def test_ranges_are_applied_merged_or_ignored(value, ranges):
    assert c.parse_ranges(value, 10) == ranges


@pytest.mark.parametrize(
    ("value", "applies"),
    [(None, True), ('"5"', True), ('"4"', False), ('W/"5"', False), (EQUAL, True), (EARLIER, False)],
)
def test_a_range_of_an_outdated_version_does_not_apply(value, applies):
    headers = {"range": "bytes=0-1", **({"if-range": value} if value else {})}
    assert c.range_applies(headers, MAPPED) is applies


TOKENS = {("a",): frozenset(["urn:1"]), ("b",): frozenset(["urn:2"])}


@pytest.mark.parametrize(
    ("value", "holds"),
    [
        ("(<urn:1>)", True), ("(<urn:2>)", False), ("(Not <urn:2>)", True), ("(<urn:2>) (<urn:1>)", True),
        ('(<urn:1> ["5"])', True), ('(<urn:1> ["4"])', False), ('(<urn:1> [W/"5"])', False), ("(not <DAV:no-lock>)", True),
        ("<http://h/b> (<urn:2>)", True), ("<http://h/b> (<urn:1>)", False), ("<http://h/b> (<urn:1>) (<urn:2>)", True),
        ("<http://h/b> (<urn:1>) <http://h/a> (<urn:1>)", True), ("</none> (Not <urn:1>)", True),
    ],
)  # fmt: skip
def test_the_if_header_holds_if_any_list_holds(value, holds):
    lists = c.parse_if(value, "h")
    assert c.if_holds(lists, ("a",), lambda path: '"5"', lambda path: TOKENS.get(path, frozenset())) is holds


@pytest.mark.parametrize("value", [
    "", "()", "(<urn:1>", "<urn:1>", "(Not)", "(Not Not <urn:1>)", "((<urn:1>))", "(urn:1)", "(<urn:1>) <http://h/b> (<urn:2>)",
    "<http://other/a> (<urn:1>)", '(["5" "6"])', "(<urn:1>) junk",
])  # fmt: skip
def test_an_invalid_if_header_is_rejected(value):
    with pytest.raises(c.InvalidConditionError):
        c.parse_if(value, "h")


@settings(max_examples=300, deadline=None)
@given(st.text(alphabet='()<>[]"Not urn:1W/ ,*', max_size=40))
def test_any_condition_parses_or_raises_invalid_condition(text):
    for parse in (
        lambda: c.parse_if(text, "h"),
        lambda: c.parse_entity_tags(text),
        lambda: c.parse_ranges("bytes=" + text, 10),
    ):
        try:
            parse()
        except c.InvalidConditionError as caught:
            assert str(caught)


# --- locks ---


@pytest.fixture
def locks():
    count = iter(range(1000))
    table = LockTable(max_locks=4)
    table.new_token = lambda: f"urn:{next(count)}"
    return table


FOLDER, MEMBER, OTHER = ("a",), ("a", "b"), ("x",)


def create_lock(locks, path, exclusive=True, infinite=True, principal="ann", timeout=60 * SECOND, now=0):
    return locks.create(path, exclusive, infinite, "", principal, timeout, now, locks.new_token())


def test_an_exclusive_lock_conflicts_with_any_other_and_shared_locks_coexist(locks):
    create_lock(locks, FOLDER, exclusive=False)
    create_lock(locks, FOLDER, exclusive=False, principal="ben")
    with pytest.raises(LockConflictError) as caught:
        create_lock(locks, MEMBER)
    assert caught.value.roots == [FOLDER]
    create_lock(locks, OTHER)
    with pytest.raises(LockConflictError):
        create_lock(locks, OTHER, exclusive=False)


def test_an_infinite_lock_covers_members_and_requires_them_unlocked(locks):
    own_lock = create_lock(locks, MEMBER)
    with pytest.raises(LockConflictError):
        create_lock(locks, FOLDER)
    create_lock(locks, FOLDER, infinite=False)
    assert locks.covering(("a", "b", "c")) == [own_lock]


def test_a_write_requires_the_token_of_each_lock_from_its_owner(locks):
    own_lock = create_lock(locks, FOLDER)
    for tokens, principal in (((), "ann"), ((own_lock.token,), "ben")):
        with pytest.raises(LockConflictError):
            locks.check_write(MEMBER, tokens, principal, 0)
    locks.check_write(MEMBER, [own_lock.token], "ann", 0)
    below = create_lock(locks, ("x", "y"))
    locks.check_write(OTHER, [], "ann", 0)
    with pytest.raises(LockConflictError) as caught:
        locks.check_write(OTHER, [], "ann", 0, members=True)
    assert caught.value.roots == [below.root]


def test_the_token_of_one_shared_lock_suffices(locks):
    first = create_lock(locks, FOLDER, exclusive=False)
    create_lock(locks, FOLDER, exclusive=False, principal="ben")
    locks.check_write(FOLDER, [first.token], "ann", 0)
    with pytest.raises(LockConflictError):
        locks.check_write(FOLDER, [], "cid", 0)


def test_locks_expire_are_refreshed_released_and_bounded(locks):
    own_lock = create_lock(locks, FOLDER, timeout=10 * SECOND)
    assert locks.refresh(own_lock.token, MEMBER, 20 * SECOND, 5 * SECOND).expires == 25 * SECOND
    assert locks.refresh(own_lock.token, OTHER, SECOND, 5 * SECOND) is None
    assert (
        locks.release(own_lock.token, FOLDER, "ben", 6 * SECOND) is False
        and locks.release("urn:9", FOLDER, "ann", 6 * SECOND) is None
    )
    locks.check_write(FOLDER, [], "ben", 25 * SECOND)
    assert not locks.by_token and not locks.by_root
    for i in range(4):
        create_lock(locks, (str(i),), timeout=10**30, now=26 * SECOND)
    assert max(each.expires for each in locks.by_token.values()) == 26 * SECOND + MAX_TIMEOUT
    with pytest.raises(TooManyLocksError):
        create_lock(locks, OTHER, now=26 * SECOND)


# --- the namespace, against a model ---

names = st.sampled_from(["a", "b", "c"])
paths_strategy = st.lists(names, min_size=1, max_size=3).map(tuple)


class NamespaceMachine(RuleBasedStateMachine):
    """Runs methods in any order and compares with a dict of paths to contents (None: a collection)."""

    def __init__(self):
        super().__init__()
        self.tree = Namespace(0, max_resources=30)
        self.model = {(): None}
        self.staged = []
        self.tags = set()
        self.synced = self.tree.version, dict(self.model)

    def tree_at(self, path):
        return {at: content for at, content in self.model.items() if at[: len(path)] == path}

    def parent_exists(self, path):
        return path[:-1] in self.model and self.model[path[:-1]] is None

    def check_allowed(self, allowed, call):
        """Checks that the call succeeds exactly if the model allows it."""
        try:
            result = call()
        except NamespaceError:
            assert not allowed
            return None
        assert allowed
        return (result,)

    @rule(path=paths_strategy)
    def mkcol(self, path):
        allowed = path not in self.model and self.parent_exists(path) and len(self.model) < 30
        if self.check_allowed(allowed, lambda: self.tree.make_collection(path, 1)):
            self.model[path] = None

    @rule(path=paths_strategy)
    def stage_put(self, path):
        existing = self.model.get(path, 0)
        allowed = existing is not None and (
            path in self.model or (self.parent_exists(path) and len(self.model) < 30)
        )
        result = self.check_allowed(allowed, lambda: self.tree.stage(path))
        if result:
            self.staged.append((result[0], self.tree.find(path) and self.tree.find(path).tag))

    @rule(pick=st.integers(0, 5))
    def publish_put(self, pick):
        if not self.staged:
            return
        staged, tag = self.staged.pop(pick % len(self.staged))
        entry = self.tree.find(staged.path)
        same = (entry.tag if entry else None) == tag and not (entry and entry.is_collection())
        capacity = entry is not None or (self.parent_exists(staged.path) and len(self.model) < 30)
        if self.check_allowed(
            same and capacity, lambda: self.tree.publish(staged, Content(staged.key, 0, 10), 2)
        ):
            self.model[staged.path] = staged.key

    @rule(pick=st.integers(0, 5))
    def abandon_put(self, pick):
        if self.staged:
            self.staged.pop(pick % len(self.staged))  # an abandoned write leaves the old object unchanged

    @rule(path=paths_strategy)
    def delete(self, path):
        if self.check_allowed(path in self.model, lambda: self.tree.delete(path)):
            for removed in self.tree_at(path):
                del self.model[removed]

    @rule(
        source=paths_strategy,
        destination=paths_strategy,
        overwrite=st.booleans(),
        moving=st.booleans(),
        infinite=st.booleans(),
    )
    def copy_or_move(self, source, destination, overwrite, moving, infinite):
        allowed = (
            source in self.model
            and self.parent_exists(destination)
            and (overwrite or destination not in self.model)
        )
        allowed = (
            allowed
            and source[: len(destination)] != destination
            and not (moving and destination[: len(source)] == source)
        )
        transferred = self.tree_at(source) if moving or infinite else {source: self.model.get(source)}
        if not moving:
            allowed = allowed and len(self.model) + len(transferred) - len(self.tree_at(destination)) <= 30
        call = (
            (lambda: self.tree.move(source, destination, overwrite))
            if moving
            else (lambda: self.tree.copy(source, destination, infinite, overwrite, 3))
        )
        if self.check_allowed(allowed, call):
            for removed in self.tree_at(destination):
                del self.model[removed]
            if moving:
                for removed in transferred:
                    del self.model[removed]
            self.model |= {(*destination, *at[len(source) :]): content for at, content in transferred.items()}

    @rule()
    def sync(self):
        """The changes since a version bring a client's old copy up to date."""
        version, copy = self.synced
        truncated = True
        while truncated:
            paths, version, truncated = self.tree.changed_since(version, (), True, 3)
            assert len(paths) <= 3
            for path in paths:
                copy.pop(path, None)
                if (entry := self.tree.find(path)) is not None:
                    copy[path] = entry.content.key if entry.content else None
        assert copy == self.model
        self.synced = self.tree.version, dict(self.model)

    @invariant()
    def matches_the_model(self):
        actual = {
            path: (entry.content.key if entry.content else None) for path, entry in self.tree.walk((), -1)
        }
        assert actual == self.model and self.tree.size == len(self.model)
        assert self.tree.used.total() == 10 * sum(content is not None for content in self.model.values())
        tags = [entry.tag for _, entry in self.tree.walk((), -1)]
        assert len(set(tags)) == len(tags)


NamespaceMachine.TestCase.settings = settings(max_examples=120, stateful_step_count=30, deadline=None)
TestNamespace = NamespaceMachine.TestCase


def test_a_write_is_refused_if_another_was_published_since_it_started():
    tree = Namespace(0)
    first, second = tree.stage(FOLDER), tree.stage(FOLDER)
    tree.publish(second, Content(second.key, 0, 1), 1)
    with pytest.raises(NamespaceError) as caught:
        tree.publish(first, Content(first.key, 0, 2), 2)
    assert caught.value.status == 412 and tree.find(FOLDER).content.key == second.key


def test_proppatch_is_atomic_and_an_old_sync_token_is_refused():
    tree = Namespace(0)
    tree.make_empty(FOLDER, 1)
    with pytest.raises(NamespaceError):
        tree.patch(FOLDER, {"x": "1", "y": "z" * 70_000}, [])
    assert tree.find(FOLDER).properties == {}
    tree.patch(FOLDER, {"x": "1", "y": "2"}, [])
    tree.patch(FOLDER, {}, ["x", "none"])
    assert (
        tree.find(FOLDER).properties == {"y": "2"}
        and tree.changed_since(tree.version + 1, (), True, 99) is None
    )
    tree.dropped_version = 3
    assert tree.changed_since(2, (), True, 99) is None


# --- mapping, deduplication ---

CLASS_RULES = [
    mapping.RequestClassRule("GET", 100_000, "read", 2.0), mapping.RequestClassRule("GET", -1, "bulk", 9.0),
    mapping.RequestClassRule("PUT", -1, "save", 3.0),
]  # fmt: skip
VOLUME_RULES = [mapping.VolumeRule("course", "gold", 2), mapping.VolumeRule("", "open", 1)]


@pytest.mark.parametrize(
    ("method", "path", "size", "headers", "request_class", "tenant", "units", "timeout"),
    [
        ("GET", ("course", "f"), 10, {}, "read", "gold", 1, 2.0), ("GET", ("x",), 200_000, {}, "bulk", "open", 4, 9.0),
        ("PUT", ("x",), 0, {"prefer": "respond-async, wait=1"}, "save", "open", 1, 1.0),
        ("PUT", ("x",), 10**9, {"prefer": "wait=60"}, "save", "open", 8, 3.0),
    ],
)  # fmt: skip
def test_a_request_is_mapped_by_the_rules(method, path, size, headers, request_class, tenant, units, timeout):
    parameters = mapping.map_request(method, path, size, headers, CLASS_RULES, VOLUME_RULES, 65_536, 8)
    assert (parameters.request_class, parameters.tenant, parameters.units, parameters.timeout) == (
        request_class,
        tenant,
        units,
        timeout,
    )
    assert parameters.volume == mapping.volume_number((path[0], "other"))


def test_a_request_without_a_matching_rule_is_rejected():
    with pytest.raises(mapping.NoMatchingRuleError, match="no product takes PATCH"):
        mapping.map_request("PATCH", FOLDER, 1, {}, CLASS_RULES, VOLUME_RULES, 1, 8)
    with pytest.raises(mapping.NoMatchingRuleError, match="no plan"):
        mapping.map_request("GET", FOLDER, 1, {}, CLASS_RULES, VOLUME_RULES[:1], 1, 8)


def test_a_hundred_duplicates_run_once_and_each_gets_the_status():
    deduplicator = RequestDeduplicator()
    put = RequestIdentity("PUT", FOLDER, "ann", "mark")
    assert deduplicator.register(put, 0, 0) == (Disposition.RUN, 0)
    assert {deduplicator.register(put, n, n)[0] for n in range(1, 101)} == {Disposition.JOIN}
    assert deduplicator.leave(0) is False and deduplicator.leave(50) is False
    assert deduplicator.complete(0, 201, 500) == [n for n in range(1, 101) if n != 50]
    assert (
        deduplicator.register(put, 200, 600) == (Disposition.REPLAY, 201)
        and not deduplicator.active
        and not deduplicator.active_writes
    )
    assert deduplicator.register(put, 201, 600 + 31 * SECOND)[0] is Disposition.RUN


def test_a_different_concurrent_write_is_rejected_and_reads_run():
    deduplicator = RequestDeduplicator()
    deduplicator.register(RequestIdentity("PUT", FOLDER, "ann", "1"), 1, 0)
    assert deduplicator.register(RequestIdentity("PUT", FOLDER, "ben", "2"), 2, 0)[0] is Disposition.REJECT
    assert deduplicator.register(RequestIdentity("GET", FOLDER, "ben", ""), 3, 0)[0] is Disposition.RUN
    assert deduplicator.leave(3) is True and deduplicator.complete(1, 504, 9) == []
    assert (
        deduplicator.register(RequestIdentity("PUT", FOLDER, "ann", "1"), 4, 10)[0] is Disposition.RUN
    )  # the first one failed: no status is stored
