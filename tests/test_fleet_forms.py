"""Two program versions in one fleet: supported format versions, the version in force, and unknown content."""

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
OLDER_PROGRAM = {"newest_form": 1}
LIMITS = LogLimits(max_clock_ahead_ms=3_600_000)


# --- data of older programs ---


def test_a_journal_of_version_1_is_read_completely_and_stays_in_its_version(tmp_path):
    path = tmp_path / "a.log"
    path.write_bytes((RECORDED / "journal-1").read_bytes())
    fleet = Fleet("a", shift=float(HELD["wall_ms"] - EPOCH))
    for _ in range(2):  # as recorded, and as rewritten by this program
        fleet.parts["a"].kill()
        fleet.journals["a"] = FileJournal(path, *JOURNAL)
        part = fleet.start("a")
        assert not part.log_store.notes and part.dump("fleet").decode() == HELD["dumps"]["fleet"]
        (snapshot, entries), (recorded_snapshot, recorded_entries) = (
            json.loads(part.dump("c")),
            json.loads(HELD["dumps"]["c"]),
        )
        # Compacted entries are stored again until the frontier is past the snapshot, but not delivered.
        assert (
            snapshot == recorded_snapshot
            and [each for each in entries if each[4] > snapshot[2]] == recorded_entries
        )
        assert (
            path.read_bytes().startswith(b"ochrecourse fleet-log 1\n") and part.log_store.format_version == 1
        )


def test_recorded_frames_of_version_1_are_accepted():
    """All frames of one link in one direction: heartbeats, entries, snapshots, and the end of relaying."""
    store = LogStore(MemoryJournal(), "b", LIMITS, HELD["wall_ms"], 9)
    members = Members("b", store.log.incarnation, 0, QUIET, 600 * SECOND, "ac")
    common = ExchangeContext(
        "f",
        store,
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
    link, data, kinds_seen = Exchange(common, HELD["from"], 0), (RECORDED / "frames-1").read_bytes(), set()
    while data:
        line, _, data = data.partition(b"\r\n")
        size = link.header_received(line, 0)
        body, data = data[:size], data[size:]
        link.body_received(body, 0, HELD["wall_ms"])
        kinds_seen.add(json.loads(line)["m"])
    assert kinds_seen >= {"hello", "have", "rows", "entries", "piece"}
    assert (
        link.peer_versions == VersionRange(1, 1)
        and link.format_version == 1
        and link.hello.name == HELD["from"]
    )
    (snapshot, entries), (recorded_snapshot, recorded_entries) = (
        json.loads(text) for text in (store.log.dump("c"), HELD["dumps"]["c"])
    )
    # The last entries of b itself, and those that it received from the third gateway first, were not sent.
    assert (
        snapshot == recorded_snapshot
        and entries == [e for e in recorded_entries if e in entries]
        and len(entries) > len(recorded_entries) // 2
    )


# --- frames on a link ---


def test_frames_are_sent_in_the_version_in_force_that_the_peer_supports():
    a, b, c = FleetGateway("a"), FleetGateway("b"), FleetGateway("c")
    c.common.format_versions = FormatVersions(newest=1)
    for end in (a, b):
        end.append("x")
    pairs = connect_all(a, b) + connect_all(b, c)
    for one, other in pairs:
        assert one.format_version == other.format_version == 1
    for end in (a, b):
        end.common.format_versions.in_force = 2  # one receives the event after the other
        end.append("y")
        sent = exchange_frames(pairs)
        assert {
            json.loads(d.partition(b"\r\n")[0]).get("form") for link, d in sent if link is pairs[0][0]
        } <= {2}
        assert not any(b'"form"' in d for link, d in sent if link in pairs[1])  # c could not decode them
        assert end.log.vector() == c.log.vector()
    assert a.log.vector() == b.log.vector() == c.log.vector() and a.log.dump("c") == c.log.dump("c")
    for end in (a, b):
        for now in range(0, 5 * SECOND, SECOND):
            end.pass_interval(now)
            exchange_frames(pairs[:1], now)
    assert (
        b.members.heartbeats["a"] == a.members.heartbeats["a"]
    )  # heartbeats are equal in either version, too


@pytest.mark.parametrize("form", [1, 2])
def test_a_body_corrupted_in_transit_is_no_fork_in_version_2(form):
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
    if form == 1:  # it is merged as if a had sent it, and a's next heartbeat makes it a fork
        assert deliver(other, changed)
        b.log.compare_head_hash("a", a.log.incarnation, 1, a.log.chains["a", a.log.incarnation].hash_at(1))
        assert b.log.forks
        return
    before = b.log.vector()
    with pytest.raises(PeerProtocolError, match="changed on its way") as error_info:
        deliver(other, changed)
    assert error_info.value.code == "damaged" and b.log.vector() == before and not b.log.forks


@pytest.mark.parametrize(
    ("hello", "newest", "in_force", "why"),
    [
        ({"version_in_force": 1}, 2, 1, ""), ({"version_in_force": 1, "oldest_version": 1, "newest_version": 2}, 1, 1, ""),
        ({"version_in_force": 1, "oldest_version": 1, "newest_version": 9}, 2, 1, ""),
        ({"version_in_force": 1}, 2, 2, "form 2 is in force in this fleet: a program that speaks it must be started there"),
        ({"version_in_force": 2, "oldest_version": 1, "newest_version": 2}, 1, 1, "form 2 is in force in this fleet, and this program speaks forms 1 to 1: a newer one must be started here"),
        ({"version_in_force": 9, "oldest_version": 9, "newest_version": 9}, 2, 1, "form 9 is in force"),
        ({"version_in_force": 9}, 2, 1, "a newer one must be started here"),
    ],
)  # fmt: skip
def test_a_peer_without_the_version_in_force_is_rejected_with_instructions(hello, newest, in_force, why):
    end = FleetGateway("a")
    end.common.format_versions = FormatVersions(newest, in_force)
    hello_frame = encode_frame(Hello(**{**HELLO, **hello}))
    if not why:
        deliver(end.link(), hello_frame)
        return
    with pytest.raises(PeerProtocolError, match=why) as error_info:
        deliver(end.link(), hello_frame)
    assert error_info.value.code == "form"


@pytest.mark.parametrize(
    "versions",
    [
        {"version_in_force": 0},
        {"version_in_force": -1},
        {"version_in_force": 1, "oldest_version": 5, "newest_version": 2},
        {"version_in_force": 1, "newest_version": 1 << 40},
    ],
)
def test_a_malformed_version_range_is_a_protocol_violation(versions):
    with pytest.raises(PeerProtocolError) as error_info:
        deliver(FleetGateway("a").link(), encode_frame(Hello(**{**HELLO, **versions})))
    assert error_info.value.code == "bad_hello"


def test_a_frame_of_an_unsupported_version_merges_nothing():
    end = FleetGateway("a")
    end.common.format_versions = FormatVersions(newest=1)
    link = end.link()
    deliver(link, encode_frame(Hello(**HELLO)))
    with pytest.raises(PeerProtocolError) as error_info:
        deliver(
            link,
            encode_frame(
                Entries(format_version=2),
                msgspec.msgpack.encode([Entry("c", "b", 5, 1, Timestamp(WALL, 0), (), b"1")]),
            ),
        )
    assert error_info.value.code == "form" and not end.log.events("c")


# --- unknown content is retained and passed on ---


class UnknownSubsystem:
    """A subsystem of a newer program that other programs do not know."""

    name = "later"

    def status(self, now):
        return b'{"beat": [1, {"x": "\\u00fc"}]}'

    def status_received(self, name, zone, status, now):
        pass

    def next_entry(self, now, reachable):
        return None

    def node_rates(self, now):
        return {}

    def beat_passed(self, now):
        pass

    def entry_received(self, entry, now):
        pass


def test_unknown_statuses_and_events_pass_through_older_programs_unchanged():
    fleet = Fleet("abc", **OLDER_PROGRAM)
    fleet.cut("a", "c")
    fleet.parts["a"].register(UnknownSubsystem())
    fleet.run(3)
    assert fleet.parts["c"].members.heartbeats["a"].statuses["later"] == UnknownSubsystem().status(0)
    event = {"what": "moon", "form": 9, "deep": [[{"x": None}]]}
    for name in "ab":
        fleet.parts[name].append(FLEET_CHANNEL, event)
    fleet.run(3)
    assert (
        len(fleet.dumps(FLEET_CHANNEL)) == 1
        and b"moon" in fleet.parts["c"].log.events(FLEET_CHANNEL)[-1].body
    )
    assert not any(part.peer_errors for part in fleet.parts.values())


def test_unknown_events_are_retained_by_compaction_and_reach_programs_that_know_them():
    small = {"log": {**SAID["log"], "channel": 6000.0}}
    fleet = Fleet("abc", **small)
    fleet.run(3)
    entry = fleet.parts["a"].appender.append(FLEET_CHANNEL, {"what": "moon", "full": True}, False)
    for number in range(12):  # events that are superseded are compacted
        fleet.parts["b"].appender.append(
            FLEET_CHANNEL, {"what": "lend", "zone": 0, "to": "c", "units": 0.1, "until": number}, True
        )
    fleet.run(150)
    snapshots = {part.log.snapshot(FLEET_CHANNEL).value for part in fleet.parts.values()}
    assert len(snapshots) == 1 and len(fleet.dumps(FLEET_CHANNEL)) == 1
    fleet.parts["c"].kill()
    fleet.journals["c"] = MemoryJournal()  # it receives the event from others, in the snapshot
    fleet.run(1)
    fleet.start("c")
    fleet.run(5)
    received = []
    unknown = UnknownSubsystem()
    unknown.entry_received = lambda each, now: received.append(each)
    fleet.parts["c"].register(unknown)
    assert [each for each in received if b"moon" in each.body] == [entry]


def test_heartbeats_and_entries_have_a_fixed_number_of_fields():
    """Only `statuses` and bodies are passed on byte for byte: programs that do not know an additional field would drop
    it, and the hash chain would then report a fork."""
    assert Entry.__struct_fields__ == ("channel", "writer", "incarnation", "seq", "at", "cause", "body")
    assert Heartbeat.__struct_fields__[-1] == "statuses"


# --- the version in force ---


def heartbeat(name, incarnation=5, newest=None):
    statuses = {} if newest is None else {"forms": b"[1,%d]" % newest}
    return Heartbeat(name, incarnation, 1, 0, 0, b"", Timestamp(1, 0), Timestamp(1, 0), (), statuses)


@pytest.mark.parametrize(
    ("form", "active", "heartbeats", "why"),
    [
        (2, {"a": 5, "b": 5}, [heartbeat("a", newest=2), heartbeat("b", newest=2)], ""),
        (2, {"a": 5}, [heartbeat("a", newest=2), heartbeat("b", newest=1)], ""),  # b is not active any more
        (2, {"a": 5, "b": 5}, [heartbeat("a", newest=2), heartbeat("b")], "1 of 2 that count do not speak form 2: b"),
        (2, {"a": 5, "b": 5}, [heartbeat("a", newest=2), heartbeat("b", newest=1)], "do not speak form 2: b"),
        (2, {"a": 5, "b": 5}, [heartbeat("a", newest=2)], "do not speak form 2: b"),
        (2, {"a": 5, "b": 5}, [heartbeat("a", newest=2), heartbeat("b", 6, 2)], "do not speak form 2: b"),  # not yet admitted
        (2, {"a": 5, "b": 5}, [heartbeat("a", newest=2), heartbeat("b", newest=-1)], "do not speak form 2: b"),
        (2, {}, [], "has not begun"), (3, {"a": 5}, [heartbeat("a", newest=3)], "speaks forms 1 to 2"),
        (1, {"a": 5}, [heartbeat("a", newest=2)], "form 1 is in force"),
    ],
)  # fmt: skip
def test_the_version_is_raised_only_if_all_active_members_support_it(form, active, heartbeats, why):
    obstacle = FormatVersions().raise_obstacle(form, active, {each.name: each for each in heartbeats})
    assert (why in obstacle) if why else obstacle == ""


@pytest.mark.parametrize("body", [{"form": 1}, {"form": 0}, {"form": -2}, {"form": 5000}, {"form": "2"}, {}])
def test_events_that_raise_no_version(body):
    versions = FormatVersions()
    versions.entry_received(
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
    assert versions.in_force == 1


@given(st.lists(st.integers(2, 6), min_size=1, max_size=6), st.randoms(use_true_random=False))
def test_the_version_in_force_is_the_same_in_any_order_and_retained_by_one_event(raised, chance):
    events = [
        Entry(FLEET_CHANNEL, f"g{i}", 1, 1, Timestamp(i, 0), (), b'{"form":%d,"what":"form"}' % f)
        for i, f in enumerate(raised)
    ]
    versions, from_retained = FormatVersions(), FormatVersions()
    for each in events:
        versions.entry_received(each, 0)
    retained = versions.keeps(events, Timestamp(9, 0))
    assert (
        len(retained) == 1 and versions.keeps(chance.sample(events, len(events)), Timestamp(9, 0)) == retained
    )
    from_retained.entry_received(retained[0], 0)
    assert versions.in_force == from_retained.in_force == max(raised)


def test_the_settings_default_to_the_newest_version():
    record = resolve(GOOD, "g.cue")
    assert record["fleet"]["newest_form"] == NEWEST_VERSION


# --- the whole fleet ---


class Host:
    speaker = None

    def __init__(self, part):
        self.fleet_member = part


def ask(part, **line):
    return answer(Host(part), json.dumps({"do": "form", **line}).encode())


def test_a_fleet_is_upgraded_to_the_next_version_and_not_back(tmp_path):
    fleet = Fleet("abc", **OLDER_PROGRAM)
    for name in "abc":
        fleet.parts[name].kill()
        fleet.journals[name] = FileJournal(tmp_path / f"{name}.log", *JOURNAL[:2])
        fleet.start(name)
    fleet.run(3)
    for i, name in enumerate("abcb"):  # one is downgraded and upgraded again
        part = fleet.parts[name]
        part.append("c", i)
        part.stop()
        fleet.run(0.5)
        newest = 1 if i == 1 else 2
        fleet.journals[name] = FileJournal(tmp_path / f"{name}.log", "fleet-log", 1, newest)
        fleet.start(name, newest_form=newest)
        fleet.run(3)
        reply = ask(fleet.parts["a"], form=2)
        assert ("error" in reply) == (i < 3) and (i == 3 or "do not speak form 2" in reply["error"])
    fleet.run(2)
    assert len(fleet.dumps("c")) == len(fleet.dumps(FLEET_CHANNEL)) == 1
    assert [ask(part)["in_force"] for part in fleet.parts.values()] == [2, 2, 2]
    assert not any(part.peer_errors for part in fleet.parts.values()) and not fleet.said_of(
        "fleet link refused"
    )
    assert all((tmp_path / f"{n}.log").read_bytes().startswith(b"ochrecourse fleet-log 2\n") for n in "abc")
    assert "only rises" in ask(fleet.parts["b"], form=1)["error"]
    assert "is in force" in ask(fleet.parts["b"], form=2)["error"]
    with pytest.raises(AppendRejectedError, match="by its own word"):
        fleet.parts["b"].append(FLEET_CHANNEL, {"what": "form", "form": 3})
    # The older program rejects the journal at its first line, and does not change the file.
    fleet.parts["b"].kill()
    before = (tmp_path / "b.log").read_bytes()
    with pytest.raises(JournalError, match="a newer program keeps it; start that one"):
        list(FileJournal(tmp_path / "b.log", *JOURNAL[:2]).records())
    # Without its journal its connections are rejected, and the others continue.
    fleet.journals["b"] = MemoryJournal()
    fleet.start("b", **OLDER_PROGRAM)
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


def play(acts, newest_versions):
    """Upgrades, downgrades, raises and partitions in any order; the properties are asserted after each."""
    fleet = Fleet("abcd", let_go=20_000.0)
    newest, confirmed, raised = dict(zip("abcd", newest_versions, strict=True)), [], False

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
            if (
                act == "newer" or fleet.journals[who].version == 1
            ):  # otherwise its journal rejects the older program
                start(who, 1 if act == "older" else 2)
        elif act == "append":
            confirmed.append(json.loads(fleet.parts[who].append("c", len(confirmed)).body))
        elif act == "raise":
            active = dict(fleet.parts[who].frontier.membership.active)
            try:
                fleet.parts[who].raise_form(2)
            except AppendRejectedError:
                pass
            else:
                raised = True
                incarnations = {name: fleet.parts[name].log.incarnation for name in active}
                assert all(newest[name] == 2 for name in active if incarnations[name] == active[name])
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
    log_entries = [json.loads(entry.body) for entry in fleet.parts["a"].log.events("c")]
    assert sorted(log_entries) == sorted(confirmed)
    assert {part.forms.in_force for part in fleet.parts.values()} == {2 if raised else 1}
    assert {part.log_store.format_version for part in fleet.parts.values()} == {2 if raised else 1}
    return raised


@settings(max_examples=25, deadline=None, suppress_health_check=list(HealthCheck))
@given(st.lists(ACT, max_size=12), st.tuples(*[st.sampled_from([1, 2])] * 4))
def test_any_mix_of_two_versions_and_any_order_of_upgrades_ends_in_equal_logs_and_one_form(acts, spans):
    play(acts, spans)


MISTAKES = {
    "raised without asking the active members": (FormatVersions, "raise_obstacle", lambda versions, form, active, heartbeats: ""),
    "sent in the version in force to every peer": (FormatVersions, "version_for", lambda versions, peer_versions: versions.in_force),
    "the version of the last event received": (
        FormatVersions, "entry_received", lambda versions, entry, now: setattr(versions, "in_force", format_versions.raised_version(entry) or versions.in_force)
    ),
    "a journal that stays in its version": (LogState, "update_journal_form", lambda state: None),
}  # fmt: skip


@pytest.mark.parametrize("which", MISTAKES)
def test_seeded_defects_are_detected(which, monkeypatch):
    where, name, wrong = MISTAKES[which]
    if which == "the version of the last event received":
        lower_event = Entry(FLEET_CHANNEL, "a", 1, 1, Timestamp(1, 0), (), b'{"form":2,"what":"form"}')
        higher_event = msgspec.structs.replace(lower_event, body=b'{"form":3,"what":"form"}')

        def check():
            versions = FormatVersions()
            for each in (higher_event, lower_event):
                versions.entry_received(each, 0)
            assert versions.in_force == 3
    elif which == "sent in the version in force to every peer":

        def check():
            end = FleetGateway("a")
            end.common.format_versions.in_force = 2
            assert end.link().format_version == 1  # the versions of the peer are not known yet
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


def test_a_state_directory_has_one_writer_and_is_released_at_its_end(tmp_path):
    one, other = ProcessLock(tmp_path / "g0.lock"), ProcessLock(tmp_path / "g0.lock")
    one.acquire()
    one.acquire()
    with pytest.raises(JournalError, match="another process runs with this state"):
        other.acquire()
    one.release()
    one.release()
    other.acquire()


def test_a_member_that_released_its_journal_writes_nothing(tmp_path):
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
