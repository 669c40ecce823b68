"""Two versions of the program side by side: what each speaks and keeps, the form in force, and what may not be lost."""

import json
from pathlib import Path

import msgspec
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from test_fleet_exchange import HELLO, QUIET, WALL, FleetGateway, deliver, connect_all, exchange_frames
from test_fleet_part import EPOCH, GOOD, SAID, Fleet

from ochrecourse.cli.control_answers import answer
from ochrecourse.storage.journal import JournalError, FileJournal, MemoryJournal
from ochrecourse.storage.process_lock import ProcessLock
from ochrecourse.fleet import format_versions
from ochrecourse.fleet.entries import Entry, Heartbeat, Timestamp
from ochrecourse.fleet.exchange import Exchange
from ochrecourse.fleet.format_versions import NEWEST_VERSION, FormatVersions, VersionRange
from ochrecourse.fleet.log_store import LogStore
from ochrecourse.fleet.log import LogLimits, AppendRejectedError
from ochrecourse.fleet.members import Members
from ochrecourse.fleet.messages import PeerProtocolError, Entries, Hello, encode_frame
from ochrecourse.fleet.frontier import FLEET_CHANNEL
from ochrecourse.fleet.log_state import LogState
from ochrecourse.fleet.member_environment import JOURNAL
from ochrecourse.fleet.exchange_context import ExchangeContext
from ochrecourse.common.time_units import SECOND
from ochrecourse.settings.load import resolve

RECORDED = Path(__file__).parent / "forms"
HELD = json.loads((RECORDED / "held.json").read_text())
OLD = {"newest_form": 1}
BIG = LogLimits(max_clock_ahead_ms=3_600_000)


# --- what older programs wrote ---


def test_a_journal_of_the_first_form_is_read_whole_and_kept_in_its_form(tmp_path):
    path = tmp_path / "a.log"
    path.write_bytes((RECORDED / "journal-1").read_bytes())
    fleet = Fleet("a", shift=float(HELD["wall_ms"] - EPOCH))
    for _ in range(2):  # as it was written, and as this program wrote it
        fleet.parts["a"].kill()
        fleet.journals["a"] = FileJournal(path, *JOURNAL)
        part = fleet.start("a")
        assert not part.log_store.notes and part.dump("fleet").decode() == HELD["dumps"]["fleet"]
        (snapshot, entries), (had, kept) = json.loads(part.dump("c")), json.loads(HELD["dumps"]["c"])
        # What the snapshot stands for is held again until the frontier is past it, and is told to nobody.
        assert snapshot == had and [each for each in entries if each[4] > snapshot[2]] == kept
        assert (
            path.read_bytes().startswith(b"ochrecourse fleet-log 1\n") and part.log_store.format_version == 1
        )


def test_frames_of_the_first_form_are_taken_as_they_were_recorded():
    """All that one gateway told another over one link: rows, entries, snapshots, whom it needs no more."""
    kept = LogStore(MemoryJournal(), "b", BIG, HELD["wall_ms"], 9)
    members = Members("b", kept.log.incarnation, 0, QUIET, 600 * SECOND, "ac")
    common = ExchangeContext(
        "f",
        kept,
        members,
        SECOND // 4,
        QUIET,
        256,
        3_600_000,
        lambda h: "",
        lambda r: None,
        lambda p: None,
        1 << 22,
    )
    link, data, seen = Exchange(common, HELD["from"], 0), (RECORDED / "frames-1").read_bytes(), set()
    while data:
        line, _, data = data.partition(b"\r\n")
        size = link.header_received(line, 0)
        body, data = data[:size], data[size:]
        link.body_received(body, 0, HELD["wall_ms"])
        seen.add(json.loads(line)["m"])
    assert seen >= {"hello", "have", "rows", "entries", "piece"}
    assert (
        link.peer_versions == VersionRange(1, 1)
        and link.format_version == 1
        and link.hello.name == HELD["from"]
    )
    (snapshot, entries), (also, held) = (
        json.loads(text) for text in (kept.log.dump("c"), HELD["dumps"]["c"])
    )
    # What b wrote last itself, and what it got from the other first, did not come this way.
    assert snapshot == also and entries == [e for e in held if e in entries] and len(entries) > len(held) // 2


# --- what is said over a link ---


def test_what_is_sent_is_in_the_form_in_force_and_what_the_other_speaks():
    a, b, c = FleetGateway("a"), FleetGateway("b"), FleetGateway("c")
    c.common.format_versions = FormatVersions(newest=1)
    for end in (a, b):
        end.append("x")
    pairs = connect_all(a, b) + connect_all(b, c)
    for one, other in pairs:
        assert one.format_version == other.format_version == 1
    for end in (a, b):
        end.common.format_versions.in_force = 2  # the event comes to one after the other
        end.append("y")
        sent = exchange_frames(pairs)
        assert {
            json.loads(d.partition(b"\r\n")[0]).get("form") for link, d in sent if link is pairs[0][0]
        } <= {2}
        assert not any(b'"form"' in d for link, d in sent if link in pairs[1])  # it could not read it
        assert end.log.vector() == c.log.vector()
    assert a.log.vector() == b.log.vector() == c.log.vector() and a.log.dump("c") == c.log.dump("c")
    for end in (a, b):
        for now in range(0, 5 * SECOND, SECOND):
            end.pass_interval(now)
            exchange_frames(pairs[:1], now)
    assert b.members.heartbeats["a"] == a.members.heartbeats["a"]  # rows too are the same in either form


@pytest.mark.parametrize("form", [1, 2])
def test_a_body_that_was_changed_on_its_way_is_no_second_history_in_the_newer_form(form):
    a, b = FleetGateway("a"), FleetGateway("b")
    for end in (a, b):
        end.common.format_versions.in_force = form
    ((one, other),) = connect_all(a, b)
    body = "x" * 50
    a.append(body)
    data = one.next_frame(0)
    while b'"entries"' not in data:
        deliver(other, data)
        data = one.next_frame(0)
    changed = data.replace(b"xxxx", b"xyxx", 1) if form == 2 else data.replace(b"eHh4", b"eHl4", 1)
    assert changed != data
    if form == 1:  # it is merged as a's word, and a's next row makes it a fork
        assert deliver(other, changed)
        b.log.compare_head_hash("a", a.log.incarnation, 1, a.log.chains["a", a.log.incarnation].hash_at(1))
        assert b.log.forks
        return
    before = b.log.vector()
    with pytest.raises(PeerProtocolError, match="changed on its way") as told:
        deliver(other, changed)
    assert told.value.code == "damaged" and b.log.vector() == before and not b.log.forks


@pytest.mark.parametrize(
    ("hello", "own", "in_force", "why"),
    [
        ({"version_in_force": 1}, 2, 1, ""), ({"version_in_force": 1, "oldest_version": 1, "newest_version": 2}, 1, 1, ""),
        ({"version_in_force": 1, "oldest_version": 1, "newest_version": 9}, 2, 1, ""),
        ({"version_in_force": 1}, 2, 2, "form 2 is in force in this fleet: a program that speaks it must be started there"),
        ({"version_in_force": 2, "oldest_version": 1, "newest_version": 2}, 1, 1, "form 2 is in force in this fleet, and this program speaks forms 1 to 1: a newer one must be started here"),
        ({"version_in_force": 9, "oldest_version": 9, "newest_version": 9}, 2, 1, "form 9 is in force"),
        ({"version_in_force": 9}, 2, 1, "a newer one must be started here"),
    ],
)  # fmt: skip
def test_who_can_not_read_what_is_in_force_is_told_what_to_do(hello, own, in_force, why):
    end = FleetGateway("a")
    end.common.format_versions = FormatVersions(own, in_force)
    greets = encode_frame(Hello(**{**HELLO, **hello}))
    if not why:
        deliver(end.link(), greets)
        return
    with pytest.raises(PeerProtocolError, match=why) as told:
        deliver(end.link(), greets)
    assert told.value.code == "form"


@pytest.mark.parametrize(
    "span",
    [
        {"version_in_force": 0},
        {"version_in_force": -1},
        {"version_in_force": 1, "oldest_version": 5, "newest_version": 2},
        {"version_in_force": 1, "newest_version": 1 << 40},
    ],
)
def test_a_span_that_is_none_is_a_mistake(span):
    with pytest.raises(PeerProtocolError) as told:
        deliver(FleetGateway("a").link(), encode_frame(Hello(**{**HELLO, **span})))
    assert told.value.code == "bad_hello"


def test_a_frame_in_a_form_that_is_not_spoken_here_merges_nothing():
    end = FleetGateway("a")
    end.common.format_versions = FormatVersions(newest=1)
    link = end.link()
    deliver(link, encode_frame(Hello(**HELLO)))
    with pytest.raises(PeerProtocolError) as told:
        deliver(
            link,
            encode_frame(
                Entries(format_version=2),
                msgspec.msgpack.encode([Entry("c", "b", 5, 1, Timestamp(WALL, 0), (), b"1")]),
            ),
        )
    assert told.value.code == "form" and not end.log.events("c")


# --- what is not understood is kept and passed on ---


class Later:
    """What a newer program registers and no other here knows of."""

    name = "later"

    def status(self, now):
        return b'{"beat": [1, {"x": "\\u00fc"}]}'

    def status_received(self, name, zone, told, now):
        pass

    def next_entry(self, now, reached):
        return None

    def node_rates(self, now):
        return {}

    def beat_passed(self, now):
        pass

    def entry_received(self, entry, now):
        pass


def test_parts_of_rows_and_events_of_unknown_kinds_go_through_older_programs_as_they_are():
    fleet = Fleet("abc", **OLD)
    fleet.cut("a", "c")
    fleet.parts["a"].register(Later())
    fleet.run(3)
    assert fleet.parts["c"].members.heartbeats["a"].statuses["later"] == Later().status(0)
    event = {"what": "moon", "form": 9, "deep": [[{"x": None}]]}
    for name in "ab":
        fleet.parts[name].append(FLEET_CHANNEL, event)
    fleet.run(3)
    assert (
        len(fleet.dumps(FLEET_CHANNEL)) == 1
        and b"moon" in fleet.parts["c"].log.events(FLEET_CHANNEL)[-1].body
    )
    assert not any(part.peer_errors for part in fleet.parts.values())


def test_events_of_unknown_kinds_outlive_compaction_and_reach_whoever_understands_them():
    small = {"log": {**SAID["log"], "channel": 6000.0}}
    fleet = Fleet("abc", **small)
    fleet.run(3)
    entry = fleet.parts["a"].appender.append(FLEET_CHANNEL, {"what": "moon", "full": True}, False)
    for number in range(12):  # what nobody needs any more gives way
        fleet.parts["b"].appender.append(
            FLEET_CHANNEL, {"what": "lend", "zone": 0, "to": "c", "units": 0.1, "until": number}, True
        )
    fleet.run(150)
    snapshots = {part.log.snapshot(FLEET_CHANNEL).value for part in fleet.parts.values()}
    assert len(snapshots) == 1 and len(fleet.dumps(FLEET_CHANNEL)) == 1
    fleet.parts["c"].kill()
    fleet.journals["c"] = MemoryJournal()  # it has it from others, by the snapshot
    fleet.run(1)
    fleet.start("c")
    fleet.run(5)
    heard = []
    later = Later()
    later.entry_received = lambda each, now: heard.append(each)
    fleet.parts["c"].register(later)
    assert [each for each in heard if b"moon" in each.body] == [entry]


def test_a_row_and_an_entry_have_no_room_for_more():
    """What is passed on byte for byte is what stands in `statuses` and in bodies: more places would be lost by whoever does
    not know them, and the chain of hashes would call that a second history."""
    assert Entry.__struct_fields__ == ("channel", "writer", "incarnation", "seq", "at", "cause", "body")
    assert Heartbeat.__struct_fields__[-1] == "statuses"


# --- which form is in force ---


def row(name, life=5, newest=None):
    told = {} if newest is None else {"forms": b"[1,%d]" % newest}
    return Heartbeat(name, life, 1, 0, 0, b"", Timestamp(1, 0), Timestamp(1, 0), (), told)


@pytest.mark.parametrize(
    ("form", "counting", "rows", "why"),
    [
        (2, {"a": 5, "b": 5}, [row("a", newest=2), row("b", newest=2)], ""),
        (2, {"a": 5}, [row("a", newest=2), row("b", newest=1)], ""),  # it counts no more
        (2, {"a": 5, "b": 5}, [row("a", newest=2), row("b")], "1 of 2 that count do not speak form 2: b"),
        (2, {"a": 5, "b": 5}, [row("a", newest=2), row("b", newest=1)], "do not speak form 2: b"),
        (2, {"a": 5, "b": 5}, [row("a", newest=2)], "do not speak form 2: b"),
        (2, {"a": 5, "b": 5}, [row("a", newest=2), row("b", 6, 2)], "do not speak form 2: b"),  # not yet admitted
        (2, {"a": 5, "b": 5}, [row("a", newest=2), row("b", newest=-1)], "do not speak form 2: b"),
        (2, {}, [], "has not begun"), (3, {"a": 5}, [row("a", newest=3)], "speaks forms 1 to 2"),
        (1, {"a": 5}, [row("a", newest=2)], "form 1 is in force"),
    ],
)  # fmt: skip
def test_a_form_is_raised_only_where_all_that_count_speak_it(form, counting, rows, why):
    told = FormatVersions().raise_obstacle(form, counting, {each.name: each for each in rows})
    assert (why in told) if why else told == ""


@pytest.mark.parametrize("body", [{"form": 1}, {"form": 0}, {"form": -2}, {"form": 5000}, {"form": "2"}, {}])
def test_what_raises_no_form(body):
    of = FormatVersions()
    of.entry_received(
        Entry(
            FLEET_CHANNEL,
            "a",
            1,
            1,
            Timestamp(1, 0),
            (),
            json.dumps({"what": "form", **body}, separators=(",", ":")).encode(),
        ),
        0,
    )
    assert of.in_force == 1


@given(st.lists(st.integers(2, 6), min_size=1, max_size=6), st.randoms(use_true_random=False))
def test_the_form_in_force_is_the_same_in_any_order_and_kept_by_one_event(raised, chance):
    events = [
        Entry(FLEET_CHANNEL, f"g{i}", 1, 1, Timestamp(i, 0), (), b'{"form":%d,"what":"form"}' % f)
        for i, f in enumerate(raised)
    ]
    of, also = FormatVersions(), FormatVersions()
    for each in events:
        of.entry_received(each, 0)
    kept = of.keeps(events, Timestamp(9, 0))
    assert len(kept) == 1 and of.keeps(chance.sample(events, len(events)), Timestamp(9, 0)) == kept
    also.entry_received(kept[0], 0)
    assert of.in_force == also.in_force == max(raised)


def test_the_settings_know_the_newest_form():
    record = resolve(GOOD, "g.cue")
    assert record["fleet"]["newest_form"] == NEWEST_VERSION


# --- the whole fleet ---


class Daemon:
    speaker = None

    def __init__(self, part):
        self.fleet_member = part


def asked(part, **line):
    return answer(Daemon(part), json.dumps({"do": "form", **line}).encode())


def test_a_fleet_is_brought_from_one_form_to_the_next_and_not_back(tmp_path):
    fleet = Fleet("abc", **OLD)
    for name in "abc":
        fleet.parts[name].kill()
        fleet.journals[name] = FileJournal(tmp_path / f"{name}.log", *JOURNAL[:2])
        fleet.start(name)
    fleet.run(3)
    for i, name in enumerate("abcb"):  # one goes back to the older program and on again
        part = fleet.parts[name]
        part.append("c", i)
        part.stop()
        fleet.run(0.5)
        newest = 1 if i == 1 else 2
        fleet.journals[name] = FileJournal(tmp_path / f"{name}.log", "fleet-log", 1, newest)
        fleet.start(name, newest_form=newest)
        fleet.run(3)
        told = asked(fleet.parts["a"], form=2)
        assert ("error" in told) == (i < 3) and (i == 3 or "do not speak form 2" in told["error"])
    fleet.run(2)
    assert len(fleet.dumps("c")) == len(fleet.dumps(FLEET_CHANNEL)) == 1
    assert [asked(part)["in_force"] for part in fleet.parts.values()] == [2, 2, 2]
    assert not any(part.peer_errors for part in fleet.parts.values()) and not fleet.said_of(
        "fleet link refused"
    )
    assert all((tmp_path / f"{n}.log").read_bytes().startswith(b"ochrecourse fleet-log 2\n") for n in "abc")
    assert "only rises" in asked(fleet.parts["b"], form=1)["error"]
    assert "is in force" in asked(fleet.parts["b"], form=2)["error"]
    with pytest.raises(AppendRejectedError, match="by its own word"):
        fleet.parts["b"].append(FLEET_CHANNEL, {"what": "form", "form": 3})
    # The older program finds so at the first line of its journal, and leaves the file as it is.
    fleet.parts["b"].kill()
    before = (tmp_path / "b.log").read_bytes()
    with pytest.raises(JournalError, match="a newer program keeps it; start that one"):
        list(FileJournal(tmp_path / "b.log", *JOURNAL[:2]).records())
    # Without its journal it is turned away, and the others go on.
    fleet.journals["b"] = MemoryJournal()
    fleet.start("b", **OLD)
    fleet.run(6)
    assert (
        fleet.reached("a") == "ac"
        and fleet.parts["a"].peer_errors["form"] > 1
        and len(fleet.parts["a"].peer_links.by_peer) == 1
    )
    assert fleet.said_of("fleet link refused", peer="b")
    fleet.parts["b"].kill()
    assert (tmp_path / "b.log").read_bytes() == before
    fleet.journals["b"] = FileJournal(tmp_path / "b.log", *JOURNAL)
    fleet.start("b", newest_form=2)
    fleet.run(6)
    assert fleet.reached("a") == "abc" and len(fleet.dumps("c")) == len(fleet.dumps(FLEET_CHANNEL)) == 1


ACT = st.one_of(
    st.tuples(st.sampled_from(["older", "newer", "append", "raise"]), st.sampled_from("abcd")),
    st.tuples(st.just("cut"), st.sampled_from(["a", "b", "ab", "ac"])),
    st.tuples(st.sampled_from(["mend", "wait"]), st.just("")),
)


def play(acts, spans):
    """Upgrades, steps back, raises and cuts in any order; what must hold after each is asserted here."""
    fleet = Fleet("abcd", let_go=20_000.0)
    newest, answered, raised = dict(zip("abcd", spans, strict=True)), [], False

    def start(name, form):
        fleet.parts[name].stop()
        fleet.run(0.25)
        newest[name] = form
        fleet.start(name, newest_form=form)

    for name in "abcd":
        start(name, newest[name])
    fleet.run(3)
    for act, who in acts:
        if act in ("older", "newer"):
            if act == "newer" or fleet.journals[who].version == 1:  # else its journal turns it away
                start(who, 1 if act == "older" else 2)
        elif act == "append":
            answered.append(json.loads(fleet.parts[who].append("c", len(answered)).body))
        elif act == "raise":
            counting = dict(fleet.parts[who].frontier.membership.active)
            try:
                fleet.parts[who].raise_form(2)
            except AppendRejectedError:
                pass
            else:
                raised = True
                lives = {name: fleet.parts[name].log.incarnation for name in counting}
                assert all(newest[name] == 2 for name in counting if lives[name] == counting[name])
        elif act == "cut":
            fleet.cut(who, set("abcd") - set(who))
        elif act == "mend":
            fleet.cut("abcd", "abcd", None)
        fleet.run(1.5)
        assert all(part.peer_errors.keys() <= {"form"} for part in fleet.parts.values())
        if not raised:
            assert not any(part.peer_errors for part in fleet.parts.values())
    fleet.cut("abcd", "abcd", None)
    for name in "abcd":
        if newest[name] == 1:
            start(name, 2)
    fleet.run(12)
    assert len(fleet.dumps("c")) == len(fleet.dumps(FLEET_CHANNEL)) == 1
    held = [json.loads(entry.body) for entry in fleet.parts["a"].log.events("c")]
    assert sorted(held) == sorted(answered)
    assert {part.forms.in_force for part in fleet.parts.values()} == {2 if raised else 1}
    assert {part.log_store.format_version for part in fleet.parts.values()} == {2 if raised else 1}
    return raised


@settings(max_examples=25, deadline=None, suppress_health_check=list(HealthCheck))
@given(st.lists(ACT, max_size=12), st.tuples(*[st.sampled_from([1, 2])] * 4))
def test_any_mix_of_two_versions_and_any_order_of_upgrades_ends_in_equal_logs_and_one_form(acts, spans):
    play(acts, spans)


MISTAKES = {
    "raised without asking who counts": (FormatVersions, "raise_obstacle", lambda of, form, counting, rows: ""),
    "sent in the form in force to whoever": (FormatVersions, "version_for", lambda of, theirs: of.in_force),
    "the form of the last event that came": (
        FormatVersions, "entry_received", lambda of, entry, now: setattr(of, "in_force", format_versions.raised_version(entry) or of.in_force)
    ),
    "a journal that stays as it was": (LogState, "update_journal_form", lambda state: None),
}  # fmt: skip


@pytest.mark.parametrize("which", MISTAKES)
def test_seeded_mistakes_are_caught(which, monkeypatch):
    where, name, wrong = MISTAKES[which]
    if which == "the form of the last event that came":
        low = Entry(FLEET_CHANNEL, "a", 1, 1, Timestamp(1, 0), (), b'{"form":2,"what":"form"}')
        high = msgspec.structs.replace(low, body=b'{"form":3,"what":"form"}')

        def check():
            of = FormatVersions()
            for each in (high, low):
                of.entry_received(each, 0)
            assert of.in_force == 3
    elif which == "sent in the form in force to whoever":

        def check():
            end = FleetGateway("a")
            end.common.format_versions.in_force = 2
            assert end.link().format_version == 1  # nothing is known of the other side yet
    else:

        def check():
            assert play(
                [("raise", "a"), ("append", "b"), ("wait", "")], (2, 2, 2, 2 if "journal" in which else 1)
            ) == ("journal" in which)

    check()
    monkeypatch.setattr(where, name, wrong)
    with pytest.raises(AssertionError):
        check()


# --- one writer ---


def test_a_state_has_one_writer_and_is_free_with_its_end(tmp_path):
    one, other = ProcessLock(tmp_path / "g0.lock"), ProcessLock(tmp_path / "g0.lock")
    one.acquire()
    one.acquire()
    with pytest.raises(JournalError, match="another process runs with this state"):
        other.acquire()
    one.release()
    one.release()
    other.acquire()


def test_a_part_that_gave_its_journal_writes_no_more(tmp_path):
    fleet = Fleet("ab")
    fleet.parts["a"].kill()
    path = tmp_path / "a.log"
    fleet.journals["a"] = FileJournal(path, *JOURNAL)
    part = fleet.start("a")
    fleet.run(3)
    part.append("c", 1)
    part.give()
    before = path.read_bytes()
    with pytest.raises(AppendRejectedError, match="has left its fleet"):
        part.append("c", 2)
    with pytest.raises(OSError, match="another process"):
        part.log_store.append("c", 2, EPOCH)
    part.log_store.merge([Entry("c", "b", 5, 1, Timestamp(EPOCH, 0), (), b"1")], EPOCH)
    part.log_store.promise(EPOCH * 2)
    fleet.run(3)
    assert path.read_bytes() == before
