"""The door's pure parts: paths, conditions, locks, the tree, requests to jobs, resends."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ochrecourse.webdav import conditions as c
from ochrecourse.webdav import mapping, paths
from ochrecourse.webdav.locks import LONGEST, SECOND, Conflict, Locks, TooMany
from ochrecourse.webdav.namespace import Content, Namespace, Refused
from ochrecourse.webdav.resends import Resends, Same, What

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
def test_each_oddity_of_a_path_has_one_rule(target, path, collection):
    if path is None:
        with pytest.raises(paths.BadPath) as told:
            paths.parse(target)
        assert told.value.status == collection
    else:
        assert paths.parse(target) == (path, collection)


@pytest.mark.parametrize(
    ("value", "result"),
    [
        ("http://host/a/b", ("a", "b")), ("https://HOST/a", ("a",)), ("/a", ("a",)), ("http://other/a", 502), ("a/b", 400),
        ("http://host/a?x", 400), ("ftp://host/a", 400), ("http://host", ()),
    ],
)  # fmt: skip
def test_a_destination_is_on_this_host_or_refused(value, result):
    if isinstance(result, int):
        with pytest.raises(paths.BadPath) as told:
            paths.destination(value, "host")
        assert told.value.status == result
    else:
        assert paths.destination(value, "host").path == result


segments = st.text(
    st.characters(exclude_categories=["Cs", "Cc"], exclude_characters="/\\"), min_size=1, max_size=12
)


@settings(max_examples=200, deadline=None)
@given(st.lists(segments.filter(lambda s: s not in (".", "..")), max_size=5))
def test_what_is_written_as_a_reference_is_read_as_the_same_path(parts):
    path = paths.parse(paths.href(tuple(parts), False) if parts else "/").path
    assert paths.parse(paths.href(path, True)).path == path


@settings(max_examples=300, deadline=None)
@given(st.text(max_size=60))
def test_any_target_is_a_path_or_a_bad_one(text):
    try:
        path = paths.parse("/" + text).path
    except paths.BadPath as told:
        assert told.status in (400, 414)
        return
    assert not any(part in ("", ".", "..") or "/" in part for part in path)


# --- conditions ---

HERE, NOTHING = c.Resource('"5"', 1_000_000_000), c.Resource(None)
OLD, SAME, NEW = (
    "Sat, 08 Sep 2001 01:46:40 GMT",
    "Sun, 09 Sep 2001 01:46:40 GMT",
    "Mon, 10 Sep 2001 01:46:40 GMT",
)


@pytest.mark.parametrize(
    ("headers", "resource", "reading", "status"),
    [
        ({}, HERE, True, None),
        ({"if-match": "*"}, HERE, False, None), ({"if-match": "*"}, NOTHING, False, 412),
        ({"if-match": '"5"'}, HERE, False, None), ({"if-match": '"4", "5"'}, HERE, False, None),
        ({"if-match": '"4"'}, HERE, False, 412), ({"if-match": 'W/"5"'}, HERE, False, 412),
        ({"if-none-match": "*"}, HERE, False, 412), ({"if-none-match": "*"}, NOTHING, False, None),
        ({"if-none-match": '"5"'}, HERE, True, 304), ({"if-none-match": 'W/"5"'}, HERE, True, 304),
        ({"if-none-match": '"4"'}, HERE, True, None),
        ({"if-modified-since": SAME}, HERE, True, 304), ({"if-modified-since": OLD}, HERE, True, None),
        ({"if-modified-since": SAME}, HERE, False, None), ({"if-modified-since": "yesterday"}, HERE, True, None),
        ({"if-unmodified-since": OLD}, HERE, False, 412), ({"if-unmodified-since": SAME}, HERE, False, None),
        # If-Match stands before If-Unmodified-Since, If-None-Match before If-Modified-Since.
        ({"if-match": '"5"', "if-unmodified-since": OLD}, HERE, False, None),
        ({"if-none-match": '"4"', "if-modified-since": NEW}, HERE, True, None),
        ({"if-match": '"4"', "if-none-match": '"5"'}, HERE, True, 412),
    ],
)  # fmt: skip
def test_conditions_are_evaluated_in_the_order_of_the_rfc(headers, resource, reading, status):
    assert c.evaluate(headers, resource, reading) == status


@pytest.mark.parametrize("value", ["5", '"5', '"5" "6"', '"5",, "6"', ""])
def test_entity_tags_that_are_none_are_told(value):
    with pytest.raises(c.BadCondition):
        c.tags_of(value)


@pytest.mark.parametrize(
    ("value", "slices"),
    [
        ("bytes=0-4", [(0, 4)]), ("bytes=5-", [(5, 9)]), ("bytes=-3", [(7, 9)]), ("bytes=-30", [(0, 9)]),
        ("bytes=0-99", [(0, 9)]), ("bytes=10-", []), ("bytes=-0", []), ("bytes=0-1,5-6", [(0, 1), (5, 6)]),
        ("bytes=0-4,3-6", [(0, 6)]), ("bytes=5-2", None), ("bytes=a-b", None), ("lines=1-2", None), ("bytes=", None),
        ("bytes=" + ",".join(["0-1"] * 17), None), ("bytes=0-0,20-30", [(0, 0)]),
    ],
)  # fmt: skip
def test_ranges_are_followed_joined_or_ignored(value, slices):
    assert c.ranges_of(value, 10) == slices


@pytest.mark.parametrize(
    ("value", "applies"),
    [(None, True), ('"5"', True), ('"4"', False), ('W/"5"', False), (SAME, True), (OLD, False)],
)
def test_a_range_of_a_version_that_is_gone_is_not_followed(value, applies):
    headers = {"range": "bytes=0-1", **({"if-range": value} if value else {})}
    assert c.range_applies(headers, HERE) is applies


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
def test_the_if_header_holds_when_any_of_its_lists_does(value, holds):
    lists = c.parse_if(value, "h")
    assert c.if_holds(lists, ("a",), lambda path: '"5"', lambda path: TOKENS.get(path, frozenset())) is holds


@pytest.mark.parametrize("value", [
    "", "()", "(<urn:1>", "<urn:1>", "(Not)", "(Not Not <urn:1>)", "((<urn:1>))", "(urn:1)", "(<urn:1>) <http://h/b> (<urn:2>)",
    "<http://other/a> (<urn:1>)", '(["5" "6"])', "(<urn:1>) junk",
])  # fmt: skip
def test_an_if_header_that_cannot_be_read_is_told(value):
    with pytest.raises(c.BadCondition):
        c.parse_if(value, "h")


@settings(max_examples=300, deadline=None)
@given(st.text(alphabet='()<>[]"Not urn:1W/ ,*', max_size=40))
def test_any_condition_is_read_or_told(text):
    for read in (
        lambda: c.parse_if(text, "h"),
        lambda: c.tags_of(text),
        lambda: c.ranges_of("bytes=" + text, 10),
    ):
        try:
            read()
        except c.BadCondition as told:
            assert str(told)


# --- locks ---


@pytest.fixture
def locks():
    count = iter(range(1000))
    made = Locks(most=4)
    made.new_token = lambda: f"urn:{next(count)}"
    return made


A, AB, X = ("a",), ("a", "b"), ("x",)


def lock(locks, path, exclusive=True, infinite=True, who="ann", timeout=60 * SECOND, now=0):
    return locks.take(path, exclusive, infinite, "", who, timeout, now, locks.new_token())


def test_an_exclusive_lock_keeps_others_off_and_shared_ones_share(locks):
    lock(locks, A, exclusive=False)
    lock(locks, A, exclusive=False, who="ben")
    with pytest.raises(Conflict) as told:
        lock(locks, AB)
    assert told.value.roots == [A]
    lock(locks, X)
    with pytest.raises(Conflict):
        lock(locks, X, exclusive=False)


def test_an_infinite_lock_covers_what_is_below_and_asks_for_it_free(locks):
    held = lock(locks, AB)
    with pytest.raises(Conflict):
        lock(locks, A)
    lock(locks, A, infinite=False)
    assert locks.covering(("a", "b", "c")) == [held]


def test_a_write_needs_every_lock_in_its_way_from_who_holds_it(locks):
    held = lock(locks, A)
    for tokens, who in (((), "ann"), ((held.token,), "ben")):
        with pytest.raises(Conflict):
            locks.check_write(AB, tokens, who, 0)
    locks.check_write(AB, [held.token], "ann", 0)
    below = lock(locks, ("x", "y"))
    locks.check_write(X, [], "ann", 0)
    with pytest.raises(Conflict) as told:
        locks.check_write(X, [], "ann", 0, members=True)
    assert told.value.roots == [below.root]


def test_one_of_the_shared_locks_is_enough(locks):
    first = lock(locks, A, exclusive=False)
    lock(locks, A, exclusive=False, who="ben")
    locks.check_write(A, [first.token], "ann", 0)
    with pytest.raises(Conflict):
        locks.check_write(A, [], "cid", 0)


def test_locks_run_out_are_refreshed_released_and_bounded(locks):
    held = lock(locks, A, timeout=10 * SECOND)
    assert locks.refresh(held.token, AB, 20 * SECOND, 5 * SECOND).expires == 25 * SECOND
    assert locks.refresh(held.token, X, SECOND, 5 * SECOND) is None
    assert (
        locks.release(held.token, A, "ben", 6 * SECOND) is False
        and locks.release("urn:9", A, "ann", 6 * SECOND) is None
    )
    locks.check_write(A, [], "ben", 25 * SECOND)
    assert not locks.by_token and not locks.by_root
    for i in range(4):
        lock(locks, (str(i),), timeout=10**30, now=26 * SECOND)
    assert max(each.expires for each in locks.by_token.values()) == 26 * SECOND + LONGEST
    with pytest.raises(TooMany):
        lock(locks, X, now=26 * SECOND)


# --- the tree, against a plain model ---

names = st.sampled_from(["a", "b", "c"])
where = st.lists(names, min_size=1, max_size=3).map(tuple)


class Trees(RuleBasedStateMachine):
    """Every method in any order against a plain map of paths to contents (None: a collection)."""

    def __init__(self):
        super().__init__()
        self.tree = Namespace(0, most=30)
        self.plain = {(): None}
        self.staged = []
        self.tags = set()
        self.since = self.tree.version, dict(self.plain)

    def under(self, path):
        return {at: what for at, what in self.plain.items() if at[: len(path)] == path}

    def holds(self, path):
        return path[:-1] in self.plain and self.plain[path[:-1]] is None

    def tried(self, allowed, call):
        """The call succeeds exactly if the model allows it."""
        try:
            result = call()
        except Refused:
            assert not allowed
            return None
        assert allowed
        return (result,)

    @rule(path=where)
    def mkcol(self, path):
        free = path not in self.plain and self.holds(path) and len(self.plain) < 30
        if self.tried(free, lambda: self.tree.make_collection(path, 1)):
            self.plain[path] = None

    @rule(path=where)
    def put_begins(self, path):
        existing = self.plain.get(path, 0)
        allowed = existing is not None and (path in self.plain or (self.holds(path) and len(self.plain) < 30))
        got = self.tried(allowed, lambda: self.tree.stage(path))
        if got:
            self.staged.append((got[0], self.tree.find(path) and self.tree.find(path).tag))

    @rule(pick=st.integers(0, 5))
    def put_ends(self, pick):
        if not self.staged:
            return
        staged, tag = self.staged.pop(pick % len(self.staged))
        entry = self.tree.find(staged.path)
        same = (entry.tag if entry else None) == tag and not (entry and entry.is_collection())
        room = entry is not None or (self.holds(staged.path) and len(self.plain) < 30)
        if self.tried(same and room, lambda: self.tree.publish(staged, Content(staged.key, 0, 10), 2)):
            self.plain[staged.path] = staged.key

    @rule(pick=st.integers(0, 5))
    def put_breaks(self, pick):
        if self.staged:
            self.staged.pop(pick % len(self.staged))  # nothing else happens: the old object is as it was

    @rule(path=where)
    def delete(self, path):
        if self.tried(path in self.plain, lambda: self.tree.delete(path)):
            for gone in self.under(path):
                del self.plain[gone]

    @rule(source=where, goal=where, overwrite=st.booleans(), moving=st.booleans(), infinite=st.booleans())
    def copy_or_move(self, source, goal, overwrite, moving, infinite):
        allowed = source in self.plain and self.holds(goal) and (overwrite or goal not in self.plain)
        allowed = allowed and source[: len(goal)] != goal and not (moving and goal[: len(source)] == source)
        taken = self.under(source) if moving or infinite else {source: self.plain.get(source)}
        if not moving:
            allowed = allowed and len(self.plain) + len(taken) - len(self.under(goal)) <= 30
        call = (
            (lambda: self.tree.move(source, goal, overwrite))
            if moving
            else (lambda: self.tree.copy(source, goal, infinite, overwrite, 3))
        )
        if self.tried(allowed, call):
            for gone in self.under(goal):
                del self.plain[gone]
            if moving:
                for gone in taken:
                    del self.plain[gone]
            self.plain |= {(*goal, *at[len(source) :]): what for at, what in taken.items()}

    @rule()
    def sync(self):
        """What is told as changed since a version makes a client's old copy the same as the tree."""
        version, copy = self.since
        cut = True
        while cut:
            paths, version, cut = self.tree.changed_since(version, (), True, 3)
            assert len(paths) <= 3
            for path in paths:
                copy.pop(path, None)
                if (entry := self.tree.find(path)) is not None:
                    copy[path] = entry.content.key if entry.content else None
        assert copy == self.plain
        self.since = self.tree.version, dict(self.plain)

    @invariant()
    def is_as_the_model_says(self):
        seen = {
            path: (entry.content.key if entry.content else None) for path, entry in self.tree.walk((), -1)
        }
        assert seen == self.plain and self.tree.size == len(self.plain)
        assert self.tree.used.total() == 10 * sum(what is not None for what in self.plain.values())
        tags = [entry.tag for _, entry in self.tree.walk((), -1)]
        assert len(set(tags)) == len(tags)


Trees.TestCase.settings = settings(max_examples=120, stateful_step_count=30, deadline=None)
TestTrees = Trees.TestCase


def test_a_write_that_was_overtaken_is_refused_and_the_newer_one_stays():
    tree = Namespace(0)
    first, second = tree.stage(A), tree.stage(A)
    tree.publish(second, Content(second.key, 0, 1), 1)
    with pytest.raises(Refused) as told:
        tree.publish(first, Content(first.key, 0, 2), 2)
    assert told.value.status == 412 and tree.find(A).content.key == second.key


def test_properties_are_set_all_or_not_at_all_and_an_old_sync_token_is_refused():
    tree = Namespace(0)
    tree.make_empty(A, 1)
    with pytest.raises(Refused):
        tree.patch(A, {"x": "1", "y": "z" * 70_000}, [])
    assert tree.find(A).properties == {}
    tree.patch(A, {"x": "1", "y": "2"}, [])
    tree.patch(A, {}, ["x", "none"])
    assert (
        tree.find(A).properties == {"y": "2"} and tree.changed_since(tree.version + 1, (), True, 99) is None
    )
    tree.forgotten = 3
    assert tree.changed_since(2, (), True, 99) is None


# --- requests to jobs, resends ---

PRODUCTS = [
    mapping.ProductRule("GET", 100_000, "read", 2.0), mapping.ProductRule("GET", -1, "bulk", 9.0),
    mapping.ProductRule("PUT", -1, "save", 3.0),
]  # fmt: skip
VOLUMES = [mapping.VolumeRule("course", "gold", 2), mapping.VolumeRule("", "open", 1)]


@pytest.mark.parametrize(
    ("method", "path", "size", "headers", "product", "plan", "units", "timeout"),
    [
        ("GET", ("course", "f"), 10, {}, "read", "gold", 1, 2.0), ("GET", ("x",), 200_000, {}, "bulk", "open", 4, 9.0),
        ("PUT", ("x",), 0, {"prefer": "respond-async, wait=1"}, "save", "open", 1, 1.0),
        ("PUT", ("x",), 10**9, {"prefer": "wait=60"}, "save", "open", 8, 3.0),
    ],
)  # fmt: skip
def test_a_request_becomes_a_job_by_the_tables_alone(
    method, path, size, headers, product, plan, units, timeout
):
    asked = mapping.job_of(method, path, size, headers, PRODUCTS, VOLUMES, 65_536, 8)
    assert (asked.product, asked.plan, asked.units, asked.timeout) == (product, plan, units, timeout)
    assert asked.volume == mapping.volume_of((path[0], "other"))


def test_a_request_that_no_table_fits_is_told():
    with pytest.raises(mapping.NoProduct, match="no product takes PATCH"):
        mapping.job_of("PATCH", A, 1, {}, PRODUCTS, VOLUMES, 1, 8)
    with pytest.raises(mapping.NoProduct, match="no plan"):
        mapping.job_of("GET", A, 1, {}, PRODUCTS, VOLUMES[:1], 1, 8)


def test_a_hundred_resends_are_one_job_and_each_gets_its_answer():
    resends = Resends()
    put = Same("PUT", A, "ann", "mark")
    assert resends.came(put, 0, 0) == (What.RUNS, 0)
    assert {resends.came(put, n, n)[0] for n in range(1, 101)} == {What.JOINS}
    assert resends.left(0) is False and resends.left(50) is False
    assert resends.over(0, 201, 500) == [n for n in range(1, 101) if n != 50]
    assert resends.came(put, 200, 600) == (What.AGAIN, 201) and not resends.running and not resends.writing
    assert resends.came(put, 201, 600 + 31 * SECOND)[0] is What.RUNS


def test_another_write_to_a_path_that_is_being_written_is_denied_and_reads_go_on():
    resends = Resends()
    resends.came(Same("PUT", A, "ann", "1"), 1, 0)
    assert resends.came(Same("PUT", A, "ben", "2"), 2, 0)[0] is What.DENIED
    assert resends.came(Same("GET", A, "ben", ""), 3, 0)[0] is What.RUNS
    assert resends.left(3) is True and resends.over(1, 504, 9) == []
    assert resends.came(Same("PUT", A, "ann", "1"), 4, 10)[0] is What.RUNS  # it failed: nothing is remembered
